//! State of canary analysis: the evidence on both arms, what peers sent, and this marshal's vote.

use std::collections::BTreeMap;

use super::*;

/// Evidence on the older arm (the nodes of all earlier builds) and on the new arm (those of the newest
/// build), and the vote that follows from it.
#[derive(Default)]
pub struct CanaryAnalysis {
    /// By node index.
    pub records: Vec<NodeRecord>,
    /// Which part of all nodes `records` covers.
    pub coverage: ListCoverage,
    /// Outcomes of older builds on nodes that are no longer ready or have restarted, by kind and method.
    pub past_nodes: StatsTable,
    /// Outcomes of the earlier build before the present trial.
    pub baseline: StatsTable,
    /// Sums over the older arm and the new arm, as last computed.
    pub arms: [ArmStats; 2],
    /// The methods that have had traffic.
    pub observed: ObservedMethods,
    /// The newest build listed or announced.
    pub newest: Build,
    /// Ready nodes of older builds when the trial began: the size of the fleet.
    pub fleet_size: f64,
    /// The rollout as the controller last reported it.
    pub rollout: Option<RolloutStatus>,
    /// Latest counts of peers, by level and place in the ring: time of arrival, build, and a pair of tallies
    /// per question (a comparison of the arms, see `question_count`).
    pub peer_counts: BTreeMap<(u32, usize), (Duration, Build, Vec<ArmPair>)>,
    /// Number of marshals in a ring: those that exchange counts directly with one another at one level.
    pub ring_size: usize,
    /// Number of levels of nested rings, see [`ring_layout`].
    pub levels: u32,
    /// Number of configured methods.
    pub method_count: usize,
    /// Outcomes that the rollout controller has counted over all marshals: of the newest build, of older
    /// builds.
    pub controller_counts: ArmPair,
    /// The last vote (verdict, stage, build), when it was sent, and the reply.
    pub last_vote: Option<((Verdict, usize, Build), Duration, VoteReply)>,
    /// The test for a build that slows down all nodes.
    pub abstention: AbstentionTest,
    /// Since when the evidence has been against the build; none while it is not.
    pub guilty_since: Option<Duration>,
    /// When congestion in the last stage last made the earlier build's nodes take traffic again.
    pub relieved_at: Duration,
    /// When a node last appeared or disappeared.
    pub nodes_changed_at: Duration,
    /// When the list last named another machine of the newest build.
    pub last_machine_at: Duration,
    /// Outcomes of the newest build that the rollout controller has counted in periods that ended since
    /// `last_machine_at`.
    pub counted_outcomes: f64,
    /// When all records were last halved.
    pub halved_at: Duration,
    /// When payoff records were last halved in addition.
    pub payoff_halved_at: Duration,
    /// When counts were last sent to peers.
    pub counts_sent_at: Duration,
    /// Whether the last counts sent to peers said that this marshal abstains from the build.
    pub sent_abstaining: bool,
    /// When the evidence was last evaluated.
    pub evaluated_at: Duration,
}

impl CanaryAnalysis {
    /// Applies a config and its ring layout. Known methods keep their records.
    pub fn configure(&mut self, config: &Config, (ring_size, levels): (usize, u32)) {
        [&mut self.past_nodes, &mut self.baseline]
            .into_iter()
            .for_each(|sums| sums.truncate_kinds(config.kinds));
        (self.method_count, self.ring_size, self.levels) = (config.methods.len(), ring_size, levels);
        self.peer_counts.clear(); // Peers may have other methods, or other places in the rings.
    }

    /// Stores a node's status. The record of a node that has restarted or is not ready is cleared; for an
    /// older build it is first added to `past_nodes`.
    pub fn update_node(&mut self, status: &NodeStatus, ctx: &Context) {
        if self.records.len() <= status.entry.node {
            self.records.resize_with(status.entry.node + 1, NodeRecord::default);
        }
        self.coverage = ctx.coverage;
        let record = &mut self.records[status.entry.node];
        let new_process =
            (record.entry.build, record.entry.started) != (status.entry.build, status.entry.started);
        if new_process || status.ready != record.ready {
            self.nodes_changed_at = ctx.now;
        }
        if status.ready && status.entry.build >= self.newest && (new_process || !record.ready) {
            (self.last_machine_at, self.counted_outcomes) = (ctx.now, 0.0);
        }
        if new_process || !status.ready {
            // The older arm's record outlives its nodes.
            if record.entry.build < self.newest {
                record.add_to(&mut self.past_nodes);
            }
            record.clear();
        }
        let kind = status.entry.kind.min(ctx.config.kinds - 1);
        if kind != record.entry.kind {
            record.mark_all_changed();
        }
        (record.entry, record.ready, record.failing) =
            (status.entry, status.ready, status.on_probation || status.ejected);
        record.entry.kind = kind;
    }

    /// The place of a sender in this marshal's ring of a level, from 1. A level's span is the number of
    /// marshals that each of its senders sums over. Only a sender that precedes this marshal by a whole
    /// number of spans, less than the ring's size, sends sums that no other member of the ring covers; for
    /// any other sender the result is none.
    pub fn ring_place(&self, from: usize, level: u32, config: &Config) -> Option<usize> {
        let distance = (config.marshal + config.marshal_count).checked_sub(from)? % config.marshal_count;
        let span = self.ring_size.pow(level.min(self.levels));
        let place = distance / span;
        (level < self.levels && distance.is_multiple_of(span) && (1..self.ring_size).contains(&place))
            .then_some(place)
    }

    /// Halves all records, except that of gone nodes while the older arm has no nodes.
    pub fn halve(&mut self) {
        self.records.iter_mut().flat_map(NodeRecord::all_stats).for_each(OutcomeStats::halve);
        if self.ready_nodes(false) > 0 {
            self.past_nodes.iter_mut().for_each(OutcomeStats::halve);
        }
        self.controller_counts.iter_mut().for_each(|t| t.add(*t, -0.5));
    }

    /// Estimates how many nodes of the whole fleet these records stand for: each also counts for the nodes of
    /// its arm that this marshal is not told of.
    fn extrapolated_count<'a>(&self, records: impl Iterator<Item = &'a NodeRecord>) -> f64 {
        records.map(|b| 1.0 / self.coverage.listed_part(b.entry.build)).sum()
    }

    /// Stores counts received from a peer. Methods in them count as observed from now on.
    pub fn record_peer_counts(&mut self, place: (u32, usize), counts: (Duration, Build, Vec<ArmPair>)) {
        let has_outcomes = |p: &ArmPair| p.iter().any(|t| t.count > 0.0);
        if counts.2.len() == self.question_count() {
            let by_method = |from: usize| {
                (0..self.method_count).filter(|m| has_outcomes(&counts.2[from + m])).collect::<Vec<_>>()
            };
            for method in [1, self.method_count + 3].into_iter().flat_map(by_method) {
                self.observed.slot(method);
            }
        }
        self.peer_counts.insert(place, counts);
    }

    /// Number of questions over all configured methods. A question compares the two arms in one respect:
    /// payoff, pace and corrupt answers overall, and soundness and slowdown for each method.
    fn question_count(&self) -> usize {
        2 * self.method_count + 3
    }

    /// Whether to send counts to peers: they can be reached, the counts fit into a message, and an earlier
    /// build has been measured.
    pub fn sends_counts(&self, config: &Config) -> bool {
        config.peers
            && self.question_count() <= MAX_QUESTIONS
            && self.baseline.iter().any(|l| l.payoff.count > 0.0)
    }

    /// Expands pairs for the observed methods to pairs for all configured methods.
    pub fn expand(&self, pairs: &[ArmPair]) -> Vec<ArmPair> {
        let mut all = vec![ArmPair::default(); self.question_count()];
        self.observed.question_indices(self.method_count).zip(pairs).for_each(|(at, pair)| all[at] = *pair);
        all
    }

    /// Adds a peer's counts, provided that the peer has the same number of questions.
    pub fn add_peer_counts(&self, pairs: &mut [ArmPair], counts: &[ArmPair]) {
        if counts.len() == self.question_count() {
            pairs
                .iter_mut()
                .zip(self.observed.question_indices(self.method_count))
                .for_each(|(a, at)| add_pair(a, &counts[at]));
        }
    }

    /// Converts the index of a question in the vote, where payoff is left out at the front and only observed
    /// methods count, to its index over all configured methods.
    pub fn question_number(&self, index: usize) -> usize {
        self.observed
            .question_indices(self.method_count)
            .nth(index + 1)
            .filter(|_| index < self.observed.len())
            .map_or(index + self.method_count - self.observed.len(), |at| at - 1)
    }

    /// Bytes allocated for evidence.
    pub fn bytes(&self) -> usize {
        let abstention = (self.abstention.with_build.capacity() + self.abstention.without_build.capacity())
            * size_of::<Tally>();
        let sums = self.past_nodes.bytes()
            + self.baseline.bytes()
            + self.arms.iter().map(ArmStats::bytes).sum::<usize>();
        self.records.iter().map(NodeRecord::bytes).sum::<usize>() + sums + abstention + self.observed.bytes()
    }

    /// Number of ready nodes of the newest build, or of all older builds.
    pub fn ready_nodes(&self, new: bool) -> usize {
        let arm = |b: &&NodeRecord| b.ready && (b.entry.build == self.newest) == new;
        self.extrapolated_count(self.records.iter().filter(arm)).round() as usize
    }

    /// Number of ready nodes that run builds before this one.
    pub fn older_nodes(&self, build: Build) -> f64 {
        self.extrapolated_count(self.records.iter().filter(|b| b.ready && b.entry.build < build))
    }

    /// Number of nodes that are ready, and neither ejected nor on probation.
    pub fn healthy_nodes(&self) -> f64 {
        self.extrapolated_count(self.records.iter().filter(|b| b.ready && !b.failing))
    }
}

/// The abstention test compares the older arm's speed with traffic on the new build and without it. Vectors
/// are indexed by the slot of an observed method.
#[derive(Default)]
pub struct AbstentionTest {
    /// Answers of the older arm while the new build gets traffic; the quick ones count as good.
    pub with_build: Vec<Tally>,
    /// Answers of the older arm while the new build gets none; the quick ones count as good.
    pub without_build: Vec<Tally>,
    /// Since when this marshal has sent nothing to the new build; none outside an abstention.
    pub abstaining_since: Option<Duration>,
    /// A peer has begun to abstain.
    pub peer_abstains: bool,
    /// When an abstention ended in which the older arm had recovered, and the build's traffic was restored;
    /// none if the last one showed no recovery.
    pub recovered_at: Option<Duration>,
    /// The build and stage that the test has cleared.
    pub cleared: Option<(Build, usize)>,
    /// The build and stage under test.
    pub tested: Option<(Build, usize)>,
    /// The part of the older arm's answers that were quick before the abstention.
    pub earlier_mean: f64,
}
