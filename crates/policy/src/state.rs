//! What the parts of the module keep and pass round: plain state, notes and inboxes, histograms, and the
//! codec of the peers' counts. No decision and no tuned value is made here; they are all in `policy/`.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::time::Duration;

use crate::port::*;

/// A two-bin histogram: all outcomes, and those that paid.
#[derive(Clone, Copy, Default)]
pub struct Tally {
    pub n: f64,
    pub good: f64,
}

impl Tally {
    pub fn one(good: bool) -> Tally {
        Tally { n: 1.0, good: f64::from(u8::from(good)) }
    }
    pub fn add(&mut self, other: Tally, part: f64) {
        *self = Tally { n: self.n + part * other.n, good: self.good + part * other.good };
    }
    pub fn mean(&self) -> f64 {
        self.good / self.n.max(1e-9)
    }
    pub fn missed(&self) -> f64 {
        self.n - self.good
    }
}

/// New and old arm on one question.
pub type Pair = [Tally; 2];

pub fn join(a: &mut Pair, b: &Pair) {
    a.iter_mut().zip(b).for_each(|(a, b)| a.add(*b, 1.0));
}

/// The figures that decisions use, derived from the start terms.
pub struct Charter {
    pub duties: Vec<Duty>,
    pub least_soft: f64,
    pub exposure: Exposure,
    pub most_picks: usize,
    pub copies: bool,
    pub retry_after: Option<Duration>,
    pub cold_from: f64,
    pub warming: Duration,
    pub fall_window: Duration,
    pub fall_budget: f64,
    pub by_votes: bool,
    pub shares: Vec<f64>,
    pub vote_life: Duration,
    pub vote_wait: Duration,
    /// Seconds a vote that all marshals together may send.
    pub vote_gap: f64,
    /// Votes that a vote on needs, and the most that can stand at once: the desk takes twice its rate at once.
    pub on_votes: f64,
    pub standing: f64,
    /// The part of all marshals that can send a build back.
    pub back_part: f64,
    pub peers: bool,
    /// The last stage, where the earlier machines stay until the release.
    pub rehearse: Option<usize>,
    pub kinds: usize,
    pub warm_keys: bool,
    pub ask_pause: Option<f64>,
    /// The longest silence towards discovery without a subscription.
    pub ask_within: Duration,
    pub seed: u64,
    /// This marshal's place among all, from 0 to 1.
    pub phase: f64,
    /// Seconds for which an idle connection is kept.
    pub kept: f64,
    pub marshals: f64,
    pub crowd: usize,
    pub marshal: usize,
}

/// What is owed to a method's RPCs.
pub struct Duty {
    pub repeat: Repeat,
    pub soft: f64,
    /// Utility against the mean of all methods.
    pub worth: f64,
    /// Where exposure counts this method.
    pub slot: usize,
}

pub struct Exposure {
    pub first_cap: f64,
    pub window: Duration,
    pub free: f64,
    pub guarded: usize,
    pub one_way: bool,
}

impl Charter {
    pub fn new(terms: &RolloutTerms) -> Self {
        let (release, rules, limits) = (&terms.release, &terms.rules, &terms.limits);
        let mean = terms.methods.iter().map(|m| m.utility).sum::<f64>() / terms.methods.len() as f64;
        let marshals = terms.marshals.max(1) as f64;
        let duty = |(i, m): (usize, &MethodTerms)| {
            let (soft, worth) = (m.soft_deadline.as_secs_f64(), m.utility / mean);
            Duty { repeat: m.repeat, soft, worth, slot: if release.by_method { i } else { 0 } }
        };
        let duties: Vec<Duty> = terms.methods.iter().enumerate().map(duty).collect();
        let (window, free, one_way) = (release.window, release.free, release.one_way);
        let (first_cap, guarded) = (release.caps.first().copied().unwrap_or(0.0), release.guarded_stages);
        Charter {
            least_soft: duties.iter().map(|d| d.soft).fold(f64::INFINITY, f64::min),
            duties,
            exposure: Exposure { first_cap, window, free, guarded, one_way },
            most_picks: limits.most_picks,
            copies: limits.second_copies,
            retry_after: limits.retry_after,
            cold_from: rules.cold_from,
            warming: rules.warm_within,
            fall_window: rules.fall_window,
            fall_budget: rules.fall_multiple * rules.fall_window.as_secs_f64(),
            by_votes: release.control == Control::Votes,
            shares: release.shares.clone(),
            vote_life: release.vote_life,
            vote_wait: release.vote_wait,
            vote_gap: marshals / release.vote_rate,
            on_votes: release.on_votes as f64,
            standing: release.vote_rate * (release.vote_life.as_secs_f64() + 2.0),
            back_part: release.back_votes.max(1) as f64 / marshals,
            peers: limits.peers,
            rehearse: release.shares.len().checked_sub(1).filter(|_| !release.in_place),
            kinds: terms.kinds.max(1),
            warm_keys: terms.warm_keys,
            ask_pause: terms.ask_discovery.then(|| 1.0 + terms.marshal as f64 / marshals),
            ask_within: if rules.ask_within.is_zero() { Duration::MAX } else { rules.ask_within },
            seed: terms.seed,
            phase: terms.marshal as f64 / marshals,
            marshals,
            kept: limits.idle_kept.as_secs_f64(),
            crowd: terms.marshals.max(1),
            marshal: terms.marshal,
        }
    }

    /// An RPC that erred may be sent again.
    pub fn repeatable(&self, method: usize) -> bool {
        self.duties[method].repeat != Repeat::NonIdempotent
    }

    /// From this age on a node needs no budget.
    pub fn warm(&self, age: Duration) -> bool {
        age >= self.warming + self.fall_window
    }

    /// The least part of its capacity that a node has at some age.
    pub fn present(&self, age: Duration) -> f64 {
        let grown = age.as_secs_f64() / self.warming.as_secs_f64().max(0.001);
        self.cold_from + (1.0 - self.cold_from) * grown.min(1.0)
    }
}

pub const FRONT: usize = 0;
pub const JUDGE: usize = 1;
pub const SCOUT: usize = 2;
pub const NODES: usize = 3;

pub enum Note {
    Told(Event),
    Listed(NodeEntry),
    Sent { rpc: RpcIx, pick: usize, method: usize },
    Card(Card),
    Excused { entry: NodeEntry, method: usize, at: Duration },
    Booked { entry: NodeEntry, method: usize, at: Duration, outcome: Outcome, took: f64 },
    Relieved,
    Favour { newest: Build, new_first: bool, starved: bool },
    Pump,
    Beat,
}

/// What every part is handed: the hour, the law, the inboxes and what goes out.
pub struct Cx {
    pub now: Duration,
    pub law: Charter,
    /// Each node as last listed.
    pub listed: BTreeMap<NodeIx, NodeEntry>,
    pub boxes: Vec<VecDeque<Note>>,
    /// The inboxes that are not empty.
    pub full: BTreeSet<usize>,
    /// Nodes with picks out, or resting; the others get no beats.
    pub awake: BTreeSet<NodeIx>,
    pub out: Vec<Action>,
}

impl Cx {
    pub fn new(law: Charter) -> Self {
        let boxes = (0..NODES).map(|_| VecDeque::new()).collect();
        Cx {
            now: Duration::ZERO,
            law,
            listed: BTreeMap::new(),
            boxes,
            full: BTreeSet::new(),
            awake: BTreeSet::new(),
            out: Vec::new(),
        }
    }
    /// The next note: nodes first, the front last.
    pub fn next(&mut self) -> Option<(usize, Note)> {
        let to = *self.full.last()?;
        let note = self.boxes[to].pop_front();
        if self.boxes[to].is_empty() {
            self.full.remove(&to);
        }
        Some((to, note?))
    }
    pub fn put(&mut self, to: usize, note: Note) {
        self.boxes[to].push_back(note);
        self.full.insert(to);
    }
    /// What a node shows of itself goes to the front ahead of all else.
    pub fn show(&mut self, card: Card) {
        self.boxes[FRONT].push_front(Note::Card(card));
        self.full.insert(FRONT);
        self.put(JUDGE, Note::Card(card));
    }
    /// Nodes that wait for something get beats; idle ones cost nothing, however large the fleet.
    pub fn rouse(&mut self, node: NodeIx, awake: bool) {
        if awake {
            self.awake.insert(node);
        } else {
            self.awake.remove(&node);
        }
    }
    /// Puts an event into the inboxes that it concerns.
    pub fn sort(&mut self, event: Event) {
        let to = match &event {
            Event::Nodes { scope, nodes } => {
                // What a whole list leaves out is gone.
                let whole = matches!(scope, Scope::Full | Scope::Cached);
                let named: BTreeSet<NodeIx> = nodes.iter().map(|n| n.node).collect();
                let left = |e: &&NodeEntry| whole && !named.contains(&e.node);
                let listed = self.listed.values().filter(left);
                let gone = listed.map(|e| NodeEntry { readiness: Readiness::Gone, ..*e });
                for entry in gone.chain(nodes.iter().copied()).collect::<Vec<_>>() {
                    let boxes = self.boxes.len().max(NODES + entry.node + 1);
                    self.boxes.resize_with(boxes, VecDeque::new);
                    self.listed.insert(entry.node, entry);
                    self.put(NODES + entry.node, Note::Listed(entry));
                }
                SCOUT
            }
            Event::PickEnded { node, .. } => {
                self.put(NODES + node, Note::Told(event.clone()));
                FRONT
            }
            Event::Stage { .. } => {
                self.put(JUDGE, Note::Told(event.clone()));
                FRONT
            }
            Event::Rpc { .. } | Event::StreamBegun { .. } | Event::ClientLeft { .. } => FRONT,
            _ => JUDGE,
        };
        self.put(to, Note::Told(event));
    }
    pub fn age(&self, entry: &NodeEntry) -> Duration {
        entry.started.map_or(Duration::MAX, |at| self.now.saturating_sub(at))
    }
}

/// What a node shows of itself.
#[derive(Clone, Copy, Default, PartialEq)]
pub struct Card {
    pub entry: NodeEntry,
    pub ready: bool,
    pub in_flight: usize,
    /// Expected time of one RPC here, in seconds, worse for a failing node.
    pub pace: f64,
    /// Answers that the pace rests on.
    pub met: f64,
    pub resting: bool,
    pub gentle: bool,
}

#[derive(Clone, Copy)]
pub struct News {
    pub build: Build,
    pub stage: usize,
    pub course: Course,
    pub cap: f64,
    pub launched: Duration,
}

impl News {
    /// The build is being sent back, or has been.
    pub fn back(&self) -> bool {
        matches!(self.course, Course::GoingBack | Course::Withdrawn)
    }
    pub fn read(cx: &Cx, event: &Event) -> Option<(News, VoteReply)> {
        let &Event::Stage { build, stage, course, reply, cap, age } = event else { return None };
        Some((News { build, stage, course, cap, launched: cx.now.saturating_sub(age) }, reply))
    }
}

pub type Times = VecDeque<Duration>;

pub fn recent(times: Option<&Times>, now: Duration, window: Duration) -> f64 {
    times.map_or(0, |t| t.iter().rev().take_while(|&&at| at + window > now).count()) as f64
}

pub fn power(entry: &NodeEntry) -> f64 {
    if entry.power > 0.0 {
        entry.power
    } else {
        1.0
    }
}

pub struct Pick {
    pub entry: NodeEntry,
    pub at: Duration,
    pub out: bool,
    pub never_ran: bool,
    pub erred: bool,
}

#[derive(Default)]
pub struct Rpc {
    pub method: usize,
    pub key: Option<u64>,
    /// By when an answer earns in full, and by when any answer is owed.
    pub soft: Duration,
    pub until: Duration,
    /// Place among those that wait.
    pub rank: Duration,
    pub picks: Vec<Pick>,
    pub streaming: bool,
    /// An earlier pick failed on the build on trial.
    pub burnt: bool,
}

/// One method's ledgers: payoff, soundness (no error, no flag), and times of ok answers in coarse bins.
#[derive(Clone, Copy, Default)]
pub struct Ledger {
    pub paid: Tally,
    pub sound: Tally,
    /// Answers that could be read.
    pub whole: Tally,
    pub times: [f64; 16],
}

impl Ledger {
    pub fn add(&mut self, other: &Ledger, part: f64) {
        self.paid.add(other.paid, part);
        self.sound.add(other.sound, part);
        self.whole.add(other.whole, part);
        self.times.iter_mut().zip(other.times).for_each(|(a, b)| *a += part * b);
    }
    pub fn faults(&self) -> f64 {
        self.sound.missed() + self.paid.missed()
    }
    /// The bin within which the given part of the answers came.
    pub fn edge(&self, part: f64, least: f64) -> Option<usize> {
        let (all, mut sum) = (self.times.iter().sum::<f64>(), 0.0);
        let passed = |t: &f64| {
            sum += t;
            sum >= part * all
        };
        self.times.iter().position(passed).filter(|_| all >= least)
    }
    /// One more time, among about the latest so many.
    pub fn meet(&mut self, bin: usize, most: f64) {
        if self.times.iter().sum::<f64>() > most {
            self.halve();
        }
        self.times[bin] += 1.0;
    }
    pub fn upto(&self, edge: usize) -> Tally {
        Tally { n: self.times.iter().sum(), good: self.times[..=edge].iter().sum() }
    }
    /// An error was not the node's, nor its build's. `young`: it did not count for payoff.
    pub fn excuse(&mut self, young: bool) {
        self.sound.n = (self.sound.n - 1.0).max(self.sound.good);
        self.paid.n = if young { self.paid.n } else { (self.paid.n - 1.0).max(self.paid.good) };
    }
    pub fn forget_lateness(&mut self) {
        *self = Ledger { sound: self.sound, whole: self.whole, ..Ledger::default() };
    }
    /// An answer was found wrong.
    pub fn dispute(&mut self) {
        self.paid.good = (self.paid.good - 1.0).max(0.0);
        self.sound.good = (self.sound.good - 1.0).max(0.0);
    }
    pub fn halve(&mut self) {
        let whole = *self;
        self.add(&whole, -0.5);
    }
}

/// Bins of times by half powers of two, the last but two ending at the soft deadline.
pub fn bin(part: f64) -> usize {
    (part.max(1e-9).log2() * 2.0 + 13.0).clamp(0.0, 15.0) as usize
}

#[derive(Clone, Default)]
pub struct Book {
    pub entry: NodeEntry,
    pub ready: bool,
    /// Its health says that it fails.
    pub ill: bool,
    pub methods: Vec<Ledger>,
}

impl Book {
    /// Of the process that this entry names, not of an earlier or later one under its index.
    pub fn is(&self, entry: &NodeEntry) -> bool {
        (self.entry.build, self.entry.started) == (entry.build, entry.started)
    }
    pub fn faults(&self) -> f64 {
        self.methods.iter().map(Ledger::faults).sum()
    }
    /// Soundness and payoff of all methods.
    pub fn sums(&self) -> Pair {
        let mut all = Pair::default();
        self.methods.iter().for_each(|l| join(&mut all, &[l.sound, l.paid]));
        all
    }
    pub fn used(&self) -> bool {
        self.methods.iter().any(|l| l.sound.n + l.paid.n > 0.0)
    }
    pub fn add_to(&self, sums: &mut [Ledger]) {
        let first = self.entry.kind * self.methods.len();
        self.methods.iter().zip(&mut sums[first..]).for_each(|(ledger, sum)| sum.add(ledger, 1.0));
    }
}

/// Counts for peers: the build, whether it gets nothing, the level, then four counts a question, scaled to
/// fit where they are many. Loss and repetition do no harm.
pub fn write_pairs(build: Build, abstains: bool, level: u32, pairs: &[Pair]) -> Vec<u8> {
    let counts = || pairs.iter().flatten().flat_map(|t| [t.n, t.good]);
    let scale = (65535.0 / counts().fold(1.0, f64::max)).min(1.0);
    let head = [build as u16, u16::from(abstains) + 2 * level as u16];
    let words = head.into_iter().chain(counts().map(|x| (x.max(0.0) * scale) as u16));
    words.flat_map(u16::to_le_bytes).collect()
}

pub fn read_pairs(text: &[u8]) -> Option<(Build, bool, u32, Vec<Pair>)> {
    let words: Vec<u16> = text.chunks_exact(2).map(|b| u16::from_le_bytes([b[0], b[1]])).collect();
    let [build, head, counts @ ..] = &words[..] else { return None };
    let tally = |n: u16, good: u16| Tally { n: n.into(), good: good.min(n).into() };
    let pairs = counts.chunks_exact(4).map(|w| [tally(w[0], w[1]), tally(w[2], w[3])]);
    Some(((*build).into(), head % 2 != 0, (head / 2).into(), pairs.collect()))
}

// ---- the parts' own state --------------------------------------------------------------------------------

#[derive(Default)]
pub struct Node {
    pub card: Card,
    pub out: Vec<(RpcIx, usize, usize, Duration, NodeEntry)>,
    pub heard: Duration,
    pub ill: f64,
    pub rests: u32,
    pub rest_until: Duration,
    pub took: f64,
}

#[derive(Default)]
pub struct Gate {
    pub news: Option<News>,
    /// RPCs taken by method, and picks by build and method.
    pub taken: BTreeMap<usize, Times>,
    pub sent: BTreeMap<(Build, usize), Times>,
    pub cold_sent: BTreeMap<NodeIx, Times>,
    /// RPCs a second that one unit of warm power has answered to this marshal.
    pub served: f64,
    /// Keys that a build on trial has answered under the one-way rule, with that build.
    pub crossed: BTreeMap<u64, Build>,
    /// Keys of RPCs whose client left while a pick was out, with that pick's build.
    pub left: BTreeMap<RpcIx, (u64, Build)>,
}

impl Gate {
    /// A key has met a build; an answer of an earlier one that comes later undoes nothing.
    pub fn cross(&mut self, key: u64, build: Build) {
        let met = self.crossed.entry(key).or_default();
        *met = build.max(*met);
    }

    /// Books a send, whatever the build's standing: it may be told to be on trial a moment later.
    pub fn book(&mut self, cx: &Cx, method: usize, entry: &NodeEntry) {
        self.sent.entry((entry.build, method)).or_default().push_back(cx.now);
        self.cold_sent.entry(entry.node).or_default().push_back(cx.now);
    }
    /// Times before this are no longer asked for.
    pub fn forget(&mut self, before: Duration) {
        let all = self.taken.values_mut().chain(self.sent.values_mut()).chain(self.cold_sent.values_mut());
        // They stand in their order; a busy marshal has tens of thousands.
        all.for_each(|times| {
            let old = times.iter().take_while(|&&at| at < before).count();
            times.drain(..old);
        });
    }
}

#[derive(Default)]
pub struct Front {
    pub gate: Gate,
    pub cards: Vec<Card>,
    /// The ready nodes of the older arm and of the newest build; made anew when `stale`.
    pub arms: [Vec<NodeIx>; 2],
    pub stale: bool,
    /// What the nodes of each arm can do at present, at the least.
    pub weights: [f64; 2],
    /// The part of that on cold nodes, which come first in `arms`, and how many those are.
    pub cold: [f64; 2],
    pub chill: [usize; 2],
    pub resting: usize,
    pub rpcs: BTreeMap<RpcIx, Rpc>,
    pub waiting: BTreeSet<(Duration, RpcIx)>,
    /// Picks due to the older arm and to the newest build by their shares.
    pub due: [f64; 2],
    pub newest: Build,
    pub new_first: bool,
    /// The build on trial gets nothing for now.
    pub starved: bool,
    /// RPCs that it would have had meanwhile, where the older arm cannot take them on.
    pub spare: f64,
    pub retries: f64,
    /// Usual time of an ok by method, in seconds.
    pub usual: Vec<f64>,
    pub oks: f64,
    pub counted: Duration,
    /// An RPC could not be sent at once since then.
    pub barred: bool,
    /// Mean times by kind and zone, in seconds.
    pub groups: BTreeMap<(usize, usize), f64>,
    /// How many own picks may be in flight, the part of the fleet's power that is this marshal's, times
    /// of the latest answers, and when room was last cut.
    pub room: f64,
    pub fair: f64,
    pub lags: Ledger,
    /// Times of the latest picks of any length, with those cut short.
    pub odds: Ledger,
    /// Picks that were given up and may still stand in a node's queue, each until its soft deadline.
    pub ghosts: Times,
    pub cut: Duration,
    /// Until then the earlier nodes help in the last stage.
    pub relief: Duration,
    /// RPCs taken lately, and the seconds in which they came.
    pub pulse: [f64; 2],
    pub draws: u64,
}

impl Front {
    pub fn file(&mut self, card: Card) {
        self.cards.resize(self.cards.len().max(card.entry.node + 1), Card::default());
        let old = std::mem::replace(&mut self.cards[card.entry.node], card);
        self.stale |= (old.ready, old.resting, old.entry) != (card.ready, card.resting, card.entry);
    }
    /// The part of the fleet's power that runs the newest build.
    pub fn lent(&self) -> f64 {
        self.weights[1] / (self.weights[0] + self.weights[1]).max(1e-9)
    }

    pub fn out(&self, cx: &Cx) -> f64 {
        let held = |r: &&Rpc| cx.now < r.soft && r.picks.iter().any(|p| p.out);
        let ghosts = self.ghosts.iter().filter(|until| cx.now < **until);
        (self.rpcs.values().filter(held).count() + ghosts.count()) as f64
    }

    /// The last stage, beside earlier machines.
    pub fn last_stage(&self, cx: &Cx) -> bool {
        let trial = |n: &News| n.course == Course::OnTrial && Some(n.stage) == cx.law.rehearse;
        self.gate.news.as_ref().is_some_and(trial)
    }

    pub fn forget(&mut self, rpc: RpcIx) {
        self.rpcs.remove(&rpc).map(|r| self.waiting.remove(&(r.rank, rpc)));
    }
    /// Lists the ready nodes of each arm in this marshal's own order, and what they can do at present.
    pub fn muster(&mut self, cx: &Cx) {
        let ready = |c: &&Card| c.ready;
        for (arm, list) in self.arms.iter_mut().enumerate() {
            let mine =
                self.cards.iter().filter(ready).filter(|c| (c.entry.build == self.newest) == (arm == 1));
            *list = mine.map(|c| c.entry.node).collect();
            let warm = |node: &NodeIx| cx.law.warm(cx.age(&self.cards[*node].entry));
            list.sort_by_cached_key(|node| (warm(node), chance(cx.law.seed, 1 << 62 | *node as u64)));
            self.chill[arm] = list.iter().filter(|node| !warm(node)).count();
        }
        self.resting = self.cards.iter().filter(ready).filter(|c| c.resting).count();
        let entry = |node: &NodeIx| &self.cards[*node].entry;
        let weigh = |node| cx.law.present(cx.age(entry(node))) * power(entry(node));
        self.weights = [0, 1].map(|arm: usize| self.arms[arm].iter().map(weigh).sum());
        let cold = |arm: usize| self.arms[arm][..self.chill[arm]].iter().map(weigh).sum();
        self.cold = [cold(0), cold(1)];
        self.fair = (self.weights[0] + self.weights[1]) / cx.law.marshals;
        self.stale = false;
    }
}

#[derive(Default)]
pub struct Judge {
    pub books: Vec<Book>,
    /// What older builds did on nodes that are gone, by kind and method.
    pub past: Vec<Ledger>,
    /// What the earlier build did before the present trial.
    pub before: Vec<Ledger>,
    pub newest: Build,
    pub places: f64,
    pub news: Option<News>,
    /// What peers summed, by level and place in the ring.
    pub heard: BTreeMap<(u32, usize), (Duration, Build, Vec<Pair>)>,
    pub ring: usize,
    pub levels: u32,
    /// Methods that the records are laid out for.
    pub count: usize,
    pub sums: Pair,
    /// The last vote, when it was sent, and what was said of it.
    pub cast: Option<((Verdict, usize, Build), Duration, VoteReply)>,
    pub strain: Strain,
    /// Since when the evidence has stood against the build.
    pub guilty: Option<Duration>,
    /// When the earlier nodes were last called to help in the last stage.
    pub relieved: Duration,
    /// When a node last came or went.
    pub stirred: Duration,
    pub halved: Duration,
    pub renewed: Duration,
    pub told: Duration,
    /// Whether the build got nothing when peers were last told.
    pub said: bool,
    pub looked: Duration,
}

impl Judge {
    /// Makes room for the methods and kinds that there are now; those known keep their places and records.
    pub fn lay_out(&mut self, law: &Charter, (ring, levels): (usize, u32)) {
        let (count, known) = (law.duties.len(), self.count.max(1));
        for sums in [&mut self.past, &mut self.before] {
            let mut fresh = vec![Ledger::default(); law.kinds * count];
            for (i, ledger) in sums.iter().enumerate().filter(|(i, _)| i / known < law.kinds) {
                fresh[i / known * count + i % known] = *ledger;
            }
            *sums = fresh;
        }
        self.books.iter_mut().for_each(|b| b.methods.resize(count, Ledger::default()));
        (self.count, self.ring, self.levels) = (count, ring, levels);
        self.heard.clear(); // Peers may count other methods, or stand elsewhere in the rings.
    }

    /// Files a node as it shows itself now.
    pub fn listed(&mut self, card: &Card, cx: &Cx) {
        if self.books.len() <= card.entry.node {
            let blank = Book { methods: vec![Ledger::default(); cx.law.duties.len()], ..Book::default() };
            self.books.resize(card.entry.node + 1, blank);
        }
        let book = &mut self.books[card.entry.node];
        let fresh = (book.entry.build, book.entry.started) != (card.entry.build, card.entry.started);
        if fresh || card.ready != book.ready {
            self.stirred = cx.now;
        }
        if fresh || !card.ready {
            // The old arm's record outlives its nodes.
            if book.entry.build < self.newest {
                book.add_to(&mut self.past);
            }
            book.methods.fill(Ledger::default());
        }
        (book.entry, book.ready, book.ill) = (card.entry, card.ready, card.gentle || card.resting);
        book.entry.kind = card.entry.kind.min(cx.law.kinds - 1);
    }

    /// Where in this marshal's ring of a level the sender sits; only who sits a whole number of spans before it
    /// sums what nobody else there does.
    pub fn place(&self, from: usize, level: u32, law: &Charter) -> Option<usize> {
        let back = (law.marshal + law.crowd).checked_sub(from)? % law.crowd;
        let span = self.ring.pow(level.min(self.levels));
        let place = back / span;
        (level < self.levels && back.is_multiple_of(span) && (1..self.ring).contains(&place)).then_some(place)
    }

    /// Halves all records, but for that of an arm without nodes.
    pub fn halve(&mut self) {
        self.books.iter_mut().flat_map(|b| &mut b.methods).for_each(Ledger::halve);
        if self.ready(false) > 0 {
            self.past.iter_mut().for_each(Ledger::halve);
        }
        self.sums.iter_mut().for_each(|t| t.add(*t, -0.5));
    }

    /// How many nodes of the newest build, or of older ones, are ready.
    pub fn ready(&self, new: bool) -> usize {
        self.books.iter().filter(|b| b.ready && (b.entry.build == self.newest) == new).count()
    }
}

#[derive(Default)]
pub struct Scout {
    pub subscribed: bool,
    pub ask_at: Duration,
    pub failures: i32,
}

/// The test by abstention: the older arm with the build's traffic and without it, by method.
#[derive(Default)]
pub struct Strain {
    pub lately: Vec<Tally>,
    pub off: Vec<Tally>,
    pub since: Option<Duration>,
    /// A peer has begun to abstain.
    pub joined: bool,
    /// The older arm recovered without the build, at this time.
    pub relieved: Option<Duration>,
    pub cleared: Option<(Build, usize)>,
    pub stage: Option<(Build, usize)>,
    /// How brisk the older arm was before the test.
    pub level: f64,
}

/// Rings of rings: as few levels as let each marshal tell few others, at any number of marshals.
pub fn rings(law: &Charter, most: usize) -> (usize, u32) {
    let levels = ((law.marshals.ln() / (most as f64).ln()).ceil()).max(1.0);
    ((law.marshals.powf(1.0 / levels) + 1e-6) as usize, levels as u32)
}

/// New beside old, for the log.
pub fn beside(pair: &Pair) -> String {
    let [new, old] = pair;
    format!("{:.0}/{:.0} beside {:.0}/{:.0}", new.good, new.n, old.good, old.n)
}

/// Chance: the hash of the seed and a counter.
pub fn chance(seed: u64, draw: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (seed, draw).hash(&mut hasher);
    hasher.finish()
}

/// The same as a figure from 0 to 1.
pub fn lot(seed: u64, draw: u64) -> f64 {
    chance(seed, draw) as f64 / u64::MAX as f64
}

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s.max(0.0))
}

pub fn same_group(group: Group, a: &NodeEntry, b: &NodeEntry) -> bool {
    match group {
        Group::All => true,
        Group::Zone => a.zone == b.zone,
        Group::Cell => a.cell == b.cell,
    }
}
