//! State of canary analysis: the evidence on both arms, what peers sent, and this marshal's vote.

use std::collections::BTreeMap;

use super::*;

/// Evidence on the older arm and the newest build, and the vote that follows from it.
#[derive(Default)]
pub struct CanaryAnalysis {
    /// By node index.
    pub books: Vec<NodeRecord>,
    /// Which part of all nodes these are.
    pub sight: Sight,
    /// Outcomes of older builds on nodes that are gone, by kind and method.
    pub past: StatsTable,
    /// Outcomes of the earlier build before the present trial.
    pub before: StatsTable,
    /// The older arm and the newest build, as last summed up.
    pub arms: [ArmStats; 2],
    /// The methods that have had traffic.
    pub seen: ObservedMethods,
    /// The newest build listed or announced.
    pub newest: Build,
    /// Ready nodes of older builds when the trial began: the size of the fleet.
    pub places: f64,
    /// The rollout as the controller last reported it.
    pub news: Option<RolloutStatus>,
    /// Latest counts of peers, by level and place in the ring: time of arrival, build, and a pair per
    /// question.
    pub heard: BTreeMap<(u32, usize), (Duration, Build, Vec<ArmPair>)>,
    /// Number of marshals in a ring.
    pub ring: usize,
    /// Number of levels of rings.
    pub levels: u32,
    /// Number of configured methods.
    pub count: usize,
    /// Outcomes that the rollout controller has counted over all marshals.
    pub sums: ArmPair,
    /// The last vote (verdict, stage, build), when it was sent, and the reply.
    pub cast: Option<((Verdict, usize, Build), Duration, VoteReply)>,
    pub strain: AbstentionTest,
    /// Since when the evidence has been against the build.
    pub guilty: Option<Duration>,
    /// When the earlier build's nodes last began to take traffic in the last stage.
    pub relieved: Duration,
    /// When a node last appeared or disappeared.
    pub stirred: Duration,
    /// When the list last named another machine of the newest build.
    pub manned: Duration,
    /// Outcomes of the newest build that the rollout controller has counted since then.
    pub tried: f64,
    /// When all records were last halved.
    pub halved: Duration,
    /// When payoff records were last halved in addition.
    pub renewed: Duration,
    /// When counts were last sent to peers.
    pub told: Duration,
    /// Whether the last counts sent to peers said that this marshal abstains from the build.
    pub said: bool,
    /// When the evidence was last evaluated.
    pub looked: Duration,
}

impl CanaryAnalysis {
    /// Adopts the present methods, kinds and rings; known methods keep their records.
    pub fn lay_out(&mut self, law: &Config, (ring, levels): (usize, u32)) {
        [&mut self.past, &mut self.before].into_iter().for_each(|sums| sums.limit(law.kinds));
        (self.count, self.ring, self.levels) = (law.duties.len(), ring, levels);
        self.heard.clear(); // Peers may have other methods, or other places in the rings.
    }

    /// Takes over a node's status. The record of a process that has ended is cleared.
    pub fn listed(&mut self, card: &NodeStatus, cx: &Context) {
        if self.books.len() <= card.entry.node {
            self.books.resize_with(card.entry.node + 1, NodeRecord::default);
        }
        self.sight = cx.sight;
        let book = &mut self.books[card.entry.node];
        let fresh = (book.entry.build, book.entry.started) != (card.entry.build, card.entry.started);
        if fresh || card.ready != book.ready {
            self.stirred = cx.now;
        }
        if card.ready && card.entry.build >= self.newest && (fresh || !book.ready) {
            (self.manned, self.tried) = (cx.now, 0.0);
        }
        if fresh || !card.ready {
            // The older arm's record outlives its nodes.
            if book.entry.build < self.newest {
                book.add_to(&mut self.past);
            }
            book.clear();
        }
        let kind = card.entry.kind.min(cx.law.kinds - 1);
        if kind != book.entry.kind {
            book.touch_all();
        }
        (book.entry, book.ready, book.ill) = (card.entry, card.ready, card.gentle || card.resting);
        book.entry.kind = kind;
    }

    /// The sender's place in this marshal's ring of a level. Only a sender a whole number of spans before
    /// this marshal reports sums that no other member of the ring covers; all others give none.
    pub fn place(&self, from: usize, level: u32, law: &Config) -> Option<usize> {
        let back = (law.marshal + law.crowd).checked_sub(from)? % law.crowd;
        let span = self.ring.pow(level.min(self.levels));
        let place = back / span;
        (level < self.levels && back.is_multiple_of(span) && (1..self.ring).contains(&place)).then_some(place)
    }

    /// Halves all records, except that of gone nodes while the older arm has no nodes.
    pub fn halve(&mut self) {
        self.books.iter_mut().flat_map(NodeRecord::ledgers).for_each(OutcomeStats::halve);
        if self.ready(false) > 0 {
            self.past.iter_mut().for_each(OutcomeStats::halve);
        }
        self.sums.iter_mut().for_each(|t| t.add(*t, -0.5));
    }

    /// Extrapolates the number of listed nodes from these: each stands for those of its arm that this marshal
    /// is not told of.
    fn count<'a>(&self, books: impl Iterator<Item = &'a NodeRecord>) -> f64 {
        books.map(|b| 1.0 / self.sight.seen(b.entry.build)).sum()
    }

    /// Stores counts received from a peer. Methods in them count as observed from now on.
    pub fn hear(&mut self, place: (u32, usize), said: (Duration, Build, Vec<ArmPair>)) {
        let met = |p: &ArmPair| p.iter().any(|t| t.n > 0.0);
        if said.2.len() == self.questions() {
            let by_method =
                |from: usize| (0..self.count).filter(|m| met(&said.2[from + m])).collect::<Vec<_>>();
            for method in [1, self.count + 3].into_iter().flat_map(by_method) {
                self.seen.slot(method);
            }
        }
        self.heard.insert(place, said);
    }

    /// Number of questions over all configured methods: payoff, pace and corrupt answers, and by method
    /// soundness and slowdown.
    fn questions(&self) -> usize {
        2 * self.count + 3
    }

    /// Whether to send counts to peers: they can be reached, the counts fit into a message, and an earlier
    /// build has been measured.
    pub fn tells(&self, law: &Config) -> bool {
        law.peers && self.questions() <= MAX_QUESTIONS && self.before.iter().any(|l| l.paid.n > 0.0)
    }

    /// Expands pairs for the observed methods to pairs for all configured methods.
    pub fn whole(&self, pairs: &[ArmPair]) -> Vec<ArmPair> {
        let mut all = vec![ArmPair::default(); self.questions()];
        self.seen.places(self.count).zip(pairs).for_each(|(at, pair)| all[at] = *pair);
        all
    }

    /// Adds a peer's counts, provided that the peer has the same number of questions.
    pub fn join(&self, pairs: &mut [ArmPair], theirs: &[ArmPair]) {
        if theirs.len() == self.questions() {
            pairs.iter_mut().zip(self.seen.places(self.count)).for_each(|(a, at)| join(a, &theirs[at]));
        }
    }

    /// Converts the index of a question in the vote, over observed methods, to its index over all configured
    /// methods.
    pub fn question(&self, asked: usize) -> usize {
        self.seen
            .places(self.count)
            .nth(asked + 1)
            .filter(|_| asked < self.seen.len())
            .map_or(asked + self.count - self.seen.len(), |at| at - 1)
    }

    /// Bytes allocated for evidence.
    pub fn bytes(&self) -> usize {
        let strain = (self.strain.lately.capacity() + self.strain.off.capacity()) * size_of::<Tally>();
        let sums =
            self.past.bytes() + self.before.bytes() + self.arms.iter().map(ArmStats::bytes).sum::<usize>();
        self.books.iter().map(NodeRecord::bytes).sum::<usize>() + sums + strain + self.seen.bytes()
    }

    /// Number of ready nodes of the newest build, or of all older builds.
    pub fn ready(&self, new: bool) -> usize {
        let arm = |b: &&NodeRecord| b.ready && (b.entry.build == self.newest) == new;
        self.count(self.books.iter().filter(arm)).round() as usize
    }

    /// Number of ready nodes that run builds before this one.
    pub fn older(&self, build: Build) -> f64 {
        self.count(self.books.iter().filter(|b| b.ready && b.entry.build < build))
    }

    /// Number of nodes that are ready and healthy.
    pub fn sound(&self) -> f64 {
        self.count(self.books.iter().filter(|b| b.ready && !b.ill))
    }
}

/// The abstention test compares the older arm's speed with traffic on the new build and without it. Vectors
/// are indexed by the slot of an observed method.
#[derive(Default)]
pub struct AbstentionTest {
    /// Quick answers of the older arm while the new build gets traffic.
    pub lately: Vec<Tally>,
    /// Quick answers of the older arm while the new build gets none.
    pub off: Vec<Tally>,
    /// Since when this marshal has sent nothing to the new build.
    pub since: Option<Duration>,
    /// A peer has begun to abstain.
    pub joined: bool,
    /// When the older arm had recovered without the build, and traffic was restored.
    pub relieved: Option<Duration>,
    /// The build and stage that the test has cleared.
    pub cleared: Option<(Build, usize)>,
    /// The build and stage under test.
    pub stage: Option<(Build, usize)>,
    /// The older arm's part of quick answers before the abstention.
    pub level: f64,
}
