//! All decisions of one marshal. Made by `Marshal::new(&terms)`, then called as `handle(now, events) -> actions`
//! whenever something has happened; the plain-typed interface is in `port.rs`, the reasons in `docs/design.md`.
//! Each node is a small actor; front (RPCs), judge (builds, votes) and scout (the list) are the other parts.
//! They talk only by notes in inboxes, which the loop in `Marshal::settle` empties: nodes first, front last.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::time::Duration;

use crate::port::*;

/// The heartbeat: waits, silences and verdicts are looked at this often.
const BEAT: Duration = Duration::from_millis(20);
const ALPHA: f64 = 2.0;
const DELTA: f64 = 0.05;
const LEAST_SAMPLE: f64 = 10.0;
/// An arm gets at most this multiple of its share of the ready nodes.
const SHARE_LIMIT: f64 = 1.1;
/// A node counts for neither arm's payoff before this age.
const YOUNG: Duration = Duration::from_secs(5);
/// From a stage's machines running to the vote on, if nothing leans against the build.
const ON_WAIT: Duration = Duration::from_millis(2500);
/// The platform takes a stage as begun this long after its launch at the latest.
const STAGE_LATEST: Duration = Duration::from_secs(9);
/// Records are halved this often, so that trouble which starts late shows.
const HALVE: Duration = Duration::from_secs(5);
/// Margins by which the new arm must be worse: payoff (the design's), soundness, pace.
const MARGIN: [f64; 3] = [0.05, 0.01, 0.15];
/// A node failing more than this share of its outcomes is suspect itself, whatever its build.
const SUSPECT: f64 = 0.3;
/// Part of the guessed capacity of a cold node that the marshals together may spend.
const COLD_PART: f64 = 0.75;
/// Further picks that may have run, earned per RPC taken.
const RETRY_EARN: f64 = 0.2;
const RETRY_MOST: f64 = 20.0;
const BINS: usize = 16;

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s.max(0.0))
}

/// ε of the design for `n` outcomes of variance `var`.
fn width(n: f64, var: f64) -> f64 {
    let n = n.max(3.0);
    (2.0 * var / n * (3.0 * n.ln().powi(2) / DELTA).ln()).sqrt()
}

/// A two-bin histogram: outcomes, and those that paid.
#[derive(Clone, Copy, Default, Debug, PartialEq)]
struct Tally {
    n: f64,
    good: f64,
}

impl Tally {
    fn add(&mut self, other: Tally) {
        self.n += other.n;
        self.good += other.good;
    }
    fn book(&mut self, good: bool) {
        self.add(Tally { n: 1.0, good: f64::from(u8::from(good)) });
    }
    fn halve(&mut self) {
        *self = Tally { n: self.n / 2.0, good: self.good / 2.0 };
    }
    fn mean(&self) -> f64 {
        if self.n > 0.0 {
            self.good / self.n
        } else {
            1.0
        }
    }
    /// mean + α·ε, with the design's σ² of 1/4; an arm short of the least sample ranks first.
    fn index(&self) -> f64 {
        if self.n < LEAST_SAMPLE {
            f64::INFINITY
        } else {
            self.mean() + ALPHA * width(self.n, 0.25)
        }
    }
}

/// How far the new arm lies below the old one on one ledger.
#[derive(Clone, Copy, PartialEq, PartialOrd, Debug)]
enum Stand {
    Better,
    Open,
    Leans,
    Worse,
}

fn stand(new: Tally, old: Tally, margin: f64) -> Stand {
    if new.n < LEAST_SAMPLE || old.n < LEAST_SAMPLE {
        return Stand::Open;
    }
    // σ² is what the outcomes would have if the build were as good as the earlier one, plus one outcome's doubt.
    let spread = old.mean() * (1.0 - old.mean());
    let eps = |n: f64| width(n, (spread + 1.0 / n).min(0.25));
    let (low, high) = (new.mean() + eps(new.n), old.mean() - eps(old.n) - margin);
    if low < high {
        Stand::Worse
    } else if new.mean() - eps(new.n) > old.mean() + eps(old.n) {
        Stand::Better
    } else if new.mean() + eps(new.n) / 3.0 < old.mean() - margin {
        Stand::Leans
    } else {
        Stand::Open
    }
}

// ---- notes -------------------------------------------------------------------------------------------------

enum ToNode {
    Listed(NodeEntry),
    Sent { rpc: RpcIx, pick: usize, at: Duration },
    Ended { rpc: RpcIx, pick: usize, method: Option<usize>, outcome: Outcome, took: Duration },
    Beat,
}

enum ToFront {
    Taken { rpc: RpcIx, method: usize, tenant: Option<usize>, key: Option<u64>, left: Duration },
    Ended { rpc: RpcIx, pick: usize, node: NodeIx, outcome: Outcome, took: Duration, done: bool },
    Streaming(RpcIx),
    Left(RpcIx),
    Card(NodeIx, Card),
    Favour { newest: Build, new_first: bool },
    News(News),
    Pump,
    Beat,
}

enum ToJudge {
    Card(NodeIx, Card),
    Booked { node: NodeIx, build: Build, method: usize, outcome: Outcome, took: Duration, age: Duration },
    Disputed { node: NodeIx, method: usize, age: Duration },
    News(News, VoteReply),
    Sums { build: Build, method: usize, picks: f64, failed: f64 },
    Peer { from: usize, text: Vec<u8> },
    Beat,
}

enum ToScout {
    Answer(Scope),
    Beat,
}

#[derive(Clone, Copy)]
struct News {
    build: Build,
    stage: usize,
    course: Course,
    cap: f64,
    age: Duration,
}

/// The inboxes, and what goes out.
#[derive(Default)]
struct Post {
    nodes: Vec<VecDeque<ToNode>>,
    front: VecDeque<ToFront>,
    judge: VecDeque<ToJudge>,
    scout: VecDeque<ToScout>,
    out: Vec<Action>,
}

/// What a node shows of itself.
#[derive(Clone, Copy, Debug)]
struct Card {
    ready: bool,
    build: Build,
    kind: usize,
    cell: usize,
    zone: usize,
    power: f64,
    started: Option<Duration>,
    in_flight: usize,
    limit: f64,
    /// Expected time of one RPC here, in seconds, worse for a failing node.
    pace: f64,
    resting: bool,
    gentle: bool,
}

impl Card {
    fn age(&self, now: Duration) -> Duration {
        self.started.map_or(Duration::MAX, |at| now.saturating_sub(at))
    }
}

// ---- node --------------------------------------------------------------------------------------------------

struct Node {
    ix: NodeIx,
    card: Card,
    out: Vec<(RpcIx, usize, Duration, Build)>,
    heard: Duration,
    ill: f64,
    rests: u32,
    rest_until: Duration,
    took: f64,
    soft: Vec<f64>,
}

impl Node {
    fn new(ix: NodeIx, soft: &[f64]) -> Self {
        let took = soft.iter().copied().fold(f64::INFINITY, f64::min) / 6.0;
        let card = Card {
            ready: false,
            build: 0,
            kind: 0,
            cell: 0,
            zone: 0,
            power: 1.0,
            started: None,
            in_flight: 0,
            limit: 4.0,
            pace: took,
            resting: false,
            gentle: false,
        };
        let (out, soft) = (Vec::new(), soft.to_vec());
        Node {
            ix,
            card,
            out,
            heard: Duration::ZERO,
            ill: 0.0,
            rests: 0,
            rest_until: Duration::ZERO,
            took,
            soft,
        }
    }

    fn act(&mut self, now: Duration, note: ToNode, post: &mut Post) {
        match note {
            ToNode::Listed(e) => {
                let fresh = e.started != self.card.started || e.build != self.card.build;
                if fresh {
                    // A new process: what the earlier one did says nothing of it.
                    (self.ill, self.rests, self.rest_until) = (0.0, 0, Duration::ZERO);
                    self.card.limit = 4.0;
                }
                let ready = e.readiness == Readiness::Ready;
                self.card = Card {
                    ready,
                    build: e.build,
                    kind: e.kind,
                    cell: e.cell,
                    zone: e.zone,
                    started: e.started,
                    power: if e.power > 0.0 { e.power } else { 1.0 },
                    ..self.card
                };
            }
            ToNode::Sent { rpc, pick, at } => self.out.push((rpc, pick, at, self.card.build)),
            ToNode::Ended { rpc, pick, method, outcome, took } => {
                let Some(i) = self.out.iter().position(|o| o.0 == rpc && o.1 == pick) else { return };
                let (.., build) = self.out.swap_remove(i);
                self.learn(now, method, outcome, took.as_secs_f64());
                if let (Some(method), true) = (method, build == self.card.build) {
                    let (node, age) = (self.ix, self.card.age(now));
                    post.judge.push_back(ToJudge::Booked { node, build, method, outcome, took, age });
                }
            }
            ToNode::Beat => {}
        }
        self.show(now, post);
    }

    /// Health from own outcomes alone: failures rest the node for growing spans, then it is tried gently.
    /// Guards against dead, silent and quickly failing nodes alike; hurts when a build fails everywhere, for
    /// which the front looks past rests once most nodes of the fleet rest.
    fn learn(&mut self, now: Duration, method: Option<usize>, outcome: Outcome, took: f64) {
        let failed = match outcome {
            Outcome::Ok => 0.0,
            Outcome::Error | Outcome::Timeout | Outcome::Reset | Outcome::NoConnection => 1.0,
            Outcome::Full => {
                // Turned away unseen: the node is full, not ill.
                self.card.limit = (self.card.in_flight as f64 * 0.7).max(1.0);
                return;
            }
            Outcome::Cancelled | Outcome::Moot => return,
        };
        if outcome != Outcome::Timeout {
            self.heard = now;
        }
        self.ill += 0.2 * (failed - self.ill);
        if matches!(outcome, Outcome::NoConnection | Outcome::Reset) {
            self.ill = self.ill.max(0.45);
        }
        if failed > 0.0 && self.ill > 0.4 && now >= self.rest_until {
            self.rest_until = now + secs(0.5 * f64::from(1 << self.rests.min(3)));
            self.rests += 1;
            self.ill = 0.3;
        } else if self.ill < 0.1 {
            self.rests = 0;
        }
        let soft = method.map_or(self.soft[0], |m| self.soft[m]);
        if outcome == Outcome::Ok {
            self.took += 0.15 * (took - self.took);
            // Answers slower than half the soft deadline mean a queue: send less; quick ones at the limit, more.
            if took > 0.55 * soft {
                self.card.limit = (self.card.limit * 0.9).max(1.0);
            } else if self.card.in_flight as f64 > 0.6 * self.card.limit {
                self.card.limit += 1.0 / self.card.limit;
            }
        } else if outcome == Outcome::Timeout {
            self.card.limit = (self.card.limit * 0.8).max(1.0);
        }
    }

    fn show(&mut self, now: Duration, post: &mut Post) {
        // Silence: the oldest pick is overdue and nothing has been heard since it went out.
        let soft = self.soft.iter().copied().fold(f64::INFINITY, f64::min);
        let patience = secs((5.0 * self.took).clamp(0.3 * soft, 0.6 * soft));
        let oldest = self.out.iter().map(|o| o.2).min();
        let silent = oldest.is_some_and(|at| now > at + patience && self.heard < at);
        self.card.in_flight = self.out.len();
        self.card.resting = silent || now < self.rest_until;
        self.card.gentle = self.rests > 0;
        self.card.pace = self.took * (1.0 + 4.0 * self.ill);
        post.front.push_front(ToFront::Card(self.ix, self.card));
        post.judge.push_back(ToJudge::Card(self.ix, self.card));
    }
}

// ---- gate: the one place that every send passes --------------------------------------------------------------

struct Gate {
    methods: Vec<Repeat>,
    caps: Vec<f64>,
    window: Duration,
    free: f64,
    by_method: bool,
    guarded: usize,
    one_way: bool,
    most_picks: usize,
    copies: bool,
    cold_from: f64,
    warm_within: Duration,
    fall_window: Duration,
    fall_budget: f64,
    news: Option<News>,
    taken: Vec<VecDeque<Duration>>,
    sent: BTreeMap<(Build, usize), VecDeque<Duration>>,
    cold_sent: BTreeMap<NodeIx, VecDeque<Duration>>,
    /// RPCs a second that one unit of warm power has answered to this marshal.
    served: f64,
    /// Keys that a build under one-way rule has answered, with that build.
    crossed: BTreeMap<u64, Build>,
}

impl Gate {
    fn slot(&self, method: usize) -> usize {
        if self.by_method {
            method
        } else {
            0
        }
    }

    /// Stage and cap if the build is on trial for this marshal; an unannounced one counts as in stage 0.
    fn trial(&self, build: Build) -> Option<(usize, f64)> {
        let news = self.news?;
        if build > news.build {
            return Some((0, self.caps.first().copied().unwrap_or(0.0)));
        }
        let cap = if news.course == Course::OnTrial { news.cap } else { 0.0 };
        (build == news.build && news.course != Course::Released).then_some((news.stage, cap))
    }

    fn take(&mut self, now: Duration, method: usize) {
        let slot = self.slot(method);
        self.taken[slot].push_back(now);
    }

    fn recent(times: &VecDeque<Duration>, now: Duration, window: Duration) -> usize {
        times.iter().rev().take_while(|&&at| at + window > now).count()
    }

    /// Rule 1 (time left, picks left), rule 2 (repeats), rule 3 (drains), rule 4 (cold), rule 5 (exposure).
    fn admits(&self, now: Duration, rpc: &Rpc, node: NodeIx, cards: &[Card]) -> bool {
        let card = &cards[node];
        card.ready
            && now < rpc.until
            && rpc.picks.len() < self.most_picks
            && self.may_repeat(now, rpc, card, cards)
            && self.exposed(now, rpc, card)
            && self.warm_enough(now, node, card)
    }

    fn may_repeat(&self, now: Duration, rpc: &Rpc, card: &Card, cards: &[Card]) -> bool {
        if rpc.streaming || (!self.copies && rpc.picks.iter().any(|p| p.out)) {
            return false;
        }
        let Some(first) = rpc.picks.iter().find(|p| !p.never_ran) else { return true };
        match self.methods[rpc.method] {
            Repeat::Idempotent => true,
            Repeat::NonIdempotent => false,
            Repeat::Tokened { group, window } => {
                let near = rpc.picks.iter().filter(|p| !p.never_ran).all(|p| match group {
                    Group::All => true,
                    Group::Zone => cards[p.node].zone == card.zone,
                    Group::Cell => cards[p.node].cell == card.cell,
                });
                near && now + Duration::from_millis(250) < first.at + window
            }
        }
    }

    fn may_push_back(&self, rpc: &Rpc) -> bool {
        rpc.picks.iter().all(|p| p.never_ran)
            || match self.methods[rpc.method] {
                Repeat::Idempotent => true,
                Repeat::NonIdempotent => false,
                Repeat::Tokened { group, .. } => group == Group::All,
            }
    }

    fn exposed(&self, now: Duration, rpc: &Rpc, card: &Card) -> bool {
        if let Some(&build) = rpc.key.and_then(|key| self.crossed.get(&key)) {
            let back = self.news.is_some_and(|n| matches!(n.course, Course::GoingBack | Course::Withdrawn));
            if card.build < build && !back {
                return false;
            }
        }
        let Some((stage, cap)) = self.trial(card.build) else { return true };
        if cap <= 0.0 || (stage < self.guarded && self.methods[rpc.method] != Repeat::Idempotent) {
            return false;
        }
        let slot = self.slot(rpc.method);
        let used = self.sent.get(&(card.build, slot)).map_or(0, |t| Self::recent(t, now, self.window + BEAT));
        let taken = Self::recent(&self.taken[slot], now, self.window.saturating_sub(BEAT));
        (used + 1) as f64 <= self.free + cap * taken as f64
    }

    /// Peers are taken to send as this marshal does, in proportion to what each has had answered; that sum is
    /// below what the fleet can do, whatever the fleet's speed is. One RPC a window goes always.
    fn warm_enough(&self, now: Duration, node: NodeIx, card: &Card) -> bool {
        let age = card.age(now);
        if age >= self.warm_within + self.fall_window {
            return true;
        }
        let grown =
            age.saturating_sub(self.fall_window).as_secs_f64() / self.warm_within.as_secs_f64().max(0.001);
        let present = self.cold_from + (1.0 - self.cold_from) * grown.min(1.0);
        let budget = self.fall_budget * present * self.served * card.power;
        let used = self.cold_sent.get(&node).map_or(0, |t| Self::recent(t, now, self.fall_window));
        ((used + 1) as f64) <= budget.max(1.0)
    }

    /// Books a send that `admits` has let through.
    fn book(&mut self, now: Duration, method: usize, node: NodeIx, card: &Card) {
        if self.trial(card.build).is_some() {
            let slot = self.slot(method);
            self.sent.entry((card.build, slot)).or_default().push_back(now);
        }
        if card.age(now) < self.warm_within + self.fall_window {
            self.cold_sent.entry(node).or_default().push_back(now);
        }
    }

    fn sweep(&mut self, now: Duration) {
        let keep = self.window.max(self.fall_window) + BEAT + BEAT;
        let trim = |times: &mut VecDeque<Duration>| {
            while times.front().is_some_and(|&at| at + keep < now) {
                times.pop_front();
            }
            !times.is_empty()
        };
        for times in &mut self.taken {
            trim(times);
        }
        self.sent.retain(|_, times| trim(times));
        self.cold_sent.retain(|_, times| trim(times));
    }
}

// ---- front: RPCs, picks, waits -------------------------------------------------------------------------------

struct Pick {
    node: NodeIx,
    at: Duration,
    out: bool,
    never_ran: bool,
}

struct Rpc {
    method: usize,
    key: Option<u64>,
    over_share: bool,
    /// By when an answer earns in full, and by when any answer is owed.
    soft: Duration,
    until: Duration,
    picks: Vec<Pick>,
    streaming: bool,
    /// An earlier pick failed on the build on trial.
    burnt: bool,
}

struct Tenant {
    rate: f64,
    level: f64,
    at: Duration,
}

struct Front {
    gate: Gate,
    soft: Vec<f64>,
    utility: Vec<f64>,
    retry_after: Option<Duration>,
    tenants: Vec<Tenant>,
    cards: Vec<Card>,
    rpcs: BTreeMap<RpcIx, Rpc>,
    waiting: BTreeSet<(bool, Duration, RpcIx)>,
    /// Picks sent lately to the older arm and to the newest build; halved from time to time.
    sent: [f64; 2],
    newest: Build,
    new_first: bool,
    retries: f64,
    /// Usual time of an ok by method, in seconds.
    usual: Vec<f64>,
    oks: f64,
    seed: u64,
    draws: u64,
}

impl Front {
    fn act(&mut self, now: Duration, note: ToFront, post: &mut Post) {
        match note {
            ToFront::Card(ix, card) => {
                if self.cards.len() <= ix {
                    self.cards.resize(ix + 1, Card { ready: false, ..card });
                }
                self.cards[ix] = card;
            }
            ToFront::Favour { newest, new_first } => (self.newest, self.new_first) = (newest, new_first),
            ToFront::News(news) => self.gate.news = Some(news),
            ToFront::Taken { rpc, method, tenant, key, left } => {
                self.gate.take(now, method);
                self.retries = (self.retries + RETRY_EARN).min(RETRY_MOST);
                let over_share = tenant.is_some_and(|t| self.over_share(now, t));
                let soft = now + secs(self.soft[method]).min(left);
                let picks = Vec::new();
                let entry = Rpc {
                    method,
                    key,
                    over_share,
                    soft,
                    until: now + left,
                    picks,
                    streaming: false,
                    burnt: false,
                };
                self.rpcs.insert(rpc, entry);
                self.serve(now, rpc, post);
            }
            ToFront::Ended { rpc, pick, node, outcome, took, done } => {
                self.ended(now, rpc, pick, node, outcome, took, done, post);
                post.front.push_back(ToFront::Pump);
            }
            ToFront::Streaming(rpc) => {
                if let Some(r) = self.rpcs.get_mut(&rpc) {
                    r.streaming = true;
                }
            }
            ToFront::Left(rpc) => self.forget(rpc),
            ToFront::Pump => self.pump(now, post),
            ToFront::Beat => {
                let warm: f64 =
                    self.cards.iter().filter(|c| c.ready && c.age(now) > YOUNG).map(|c| c.power).sum();
                let share = BEAT.as_secs_f64() / 3.0;
                self.gate.served +=
                    share * (self.oks / BEAT.as_secs_f64() / warm.max(1.0) - self.gate.served);
                self.oks = 0.0;
                self.gate.sweep(now);
                if self.sent[0] + self.sent[1] > 200.0 {
                    self.sent = self.sent.map(|n| n / 2.0);
                }
                post.front.push_back(ToFront::Pump);
            }
        }
    }

    fn over_share(&mut self, now: Duration, tenant: usize) -> bool {
        let Some(t) = self.tenants.get_mut(tenant) else { return false };
        t.level = (t.level - t.rate * now.saturating_sub(t.at).as_secs_f64()).max(0.0) + 1.0;
        t.at = now;
        t.level > 2.0 * t.rate
    }

    fn chance(&mut self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, self.draws).hash(&mut hasher);
        self.draws += 1;
        hasher.finish()
    }

    fn forget(&mut self, rpc: RpcIx) {
        if let Some(r) = self.rpcs.remove(&rpc) {
            self.waiting.remove(&self.rank(rpc, &r));
        }
    }

    /// Who waits where: RPCs over their tenant's share last, then by soft deadline, earlier for more utility.
    fn rank(&self, rpc: RpcIx, r: &Rpc) -> (bool, Duration, RpcIx) {
        let mean = self.utility.iter().sum::<f64>() / self.utility.len() as f64;
        let head_start = secs(0.2 * self.utility[r.method] / mean);
        (r.over_share, r.soft.saturating_sub(head_start), rpc)
    }

    /// One waiting RPC is sent or given up; the next note goes on.
    fn pump(&mut self, now: Duration, post: &mut Post) {
        let mut hopeless = Vec::new();
        for &(.., rpc) in &self.waiting {
            if self
                .rpcs
                .get(&rpc)
                .is_some_and(|r| now + secs(0.8 * self.usual[r.method]) > r.soft.min(r.until))
            {
                hopeless.push(rpc);
            }
        }
        for rpc in hopeless {
            self.give_up(now, rpc, post);
        }
        let first: Vec<RpcIx> = self.waiting.iter().take(3).map(|w| w.2).collect();
        for rpc in first {
            if self.send(now, rpc, post) {
                post.front.push_back(ToFront::Pump);
                return;
            }
        }
    }

    /// Sends at once, waits for a node with room, or gives up.
    fn serve(&mut self, now: Duration, rpc: RpcIx, post: &mut Post) {
        if self.waiting.is_empty() && self.send(now, rpc, post) {
            return;
        }
        let Some(r) = self.rpcs.get(&rpc) else { return };
        let rank = self.rank(rpc, r);
        self.waiting.insert(rank);
        post.front.push_back(ToFront::Pump);
    }

    fn give_up(&mut self, now: Duration, rpc: RpcIx, post: &mut Post) {
        let Some(r) = self.rpcs.get(&rpc) else { return };
        let _ = now;
        if self.gate.may_push_back(r) {
            let come_back = secs(2.0 * self.usual[r.method]);
            let retry_after = self.retry_after.map(|most| come_back.min(most));
            post.out.push(Action::PushBack { rpc, retry_after });
        } else {
            post.out.push(Action::Abort { rpc });
        }
        self.forget(rpc);
    }

    #[allow(clippy::too_many_arguments)]
    fn ended(
        &mut self,
        now: Duration,
        rpc: RpcIx,
        pick: usize,
        node: NodeIx,
        outcome: Outcome,
        took: Duration,
        done: bool,
        post: &mut Post,
    ) {
        let method = self.rpcs.get(&rpc).map(|r| r.method);
        post.nodes[node].push_back(ToNode::Ended { rpc, pick, method, outcome, took });
        let build = self.cards.get(node).map_or(0, |c| c.build);
        if outcome == Outcome::Ok {
            self.oks += 1.0;
            if let Some(m) = method {
                self.usual[m] += 0.05 * (took.as_secs_f64() - self.usual[m]);
            }
            let key = self.rpcs.get(&rpc).and_then(|r| r.key);
            if let (Some(key), true, Some(_)) = (key, self.gate.one_way, self.gate.trial(build)) {
                self.gate.crossed.insert(key, build);
            }
        }
        if done {
            self.forget(rpc);
            return;
        }
        let newest = self.newest;
        let Some(r) = self.rpcs.get_mut(&rpc) else { return };
        if let Some(p) = r.picks.get_mut(pick) {
            p.out = false;
            p.never_ran = outcome.never_ran();
        }
        r.burnt |= build == newest;
        if r.streaming || r.picks.iter().any(|p| p.out) {
            return;
        }
        // Another pick only where there is time for it; those that may have run spend from a small store, so
        // that failing nodes or an overload are not answered with a storm of repeats.
        let in_time = now + secs(0.5 * self.usual[r.method]) < r.until;
        let paid = outcome.never_ran() || self.retries >= 1.0;
        if !in_time
            || !paid
            || !self.cards.iter().any(|c| self.gate.may_repeat(now, &self.rpcs[&rpc], c, &self.cards))
        {
            self.give_up(now, rpc, post);
            return;
        }
        if !outcome.never_ran() {
            self.retries -= 1.0;
        }
        if !self.send(now, rpc, post) {
            self.serve(now, rpc, post);
        }
    }

    /// Picks arm and node for an RPC and sends it, if the gate lets it through anywhere.
    fn send(&mut self, now: Duration, rpc: RpcIx, post: &mut Post) -> bool {
        let Some(r) = self.rpcs.get(&rpc) else { return false };
        let ready = self.cards.iter().filter(|c| c.ready).count();
        let of_new = self.cards.iter().filter(|c| c.ready && c.build == self.newest).count();
        let resting = self.cards.iter().filter(|c| c.ready && c.resting).count();
        let share = of_new as f64 / ready.max(1) as f64;
        let total = self.sent[0] + self.sent[1] + 1.0;
        let within = |arm: usize| {
            let part = if arm == 1 { share } else { 1.0 - share };
            self.sent[arm] + 1.0 <= SHARE_LIMIT * part * total + 1.0
        };
        // A pick that failed on the newest build is repeated on an older one first.
        let first = usize::from(self.new_first && !r.burnt);
        let looks = [(first, true), (1 - first, true), (first, false), (1 - first, false)];
        let mut found = None;
        'look: for fearful in [true, false] {
            for (arm, limited) in looks {
                if limited && !within(arm) {
                    continue;
                }
                let fits = |ix: &NodeIx| {
                    let c = &self.cards[*ix];
                    let fit =
                        (c.build == self.newest) == (arm == 1) && (c.in_flight as f64) < c.limit.floor();
                    let wary = fearful
                        && (r.picks.iter().any(|p| p.node == *ix)
                            || (c.gentle
                                && (c.in_flight > 0
                                    || self.gate.methods[r.method] == Repeat::NonIdempotent)));
                    let rests = c.resting && (fearful || 2 * resting < ready);
                    fit && !wary && !rests && self.gate.admits(now, r, *ix, &self.cards)
                };
                let fit: Vec<NodeIx> = (0..self.cards.len()).filter(fits).collect();
                if !fit.is_empty() {
                    found = Some((arm, fit));
                    break 'look;
                }
            }
        }
        let Some((arm, fit)) = found else { return false };
        let draw = self.chance();
        let (a, b) = (fit[draw as usize % fit.len()], fit[(draw >> 32) as usize % fit.len()]);
        let cost = |ix: NodeIx| (self.cards[ix].in_flight + 1) as f64 * self.cards[ix].pace;
        let node = if cost(b) < cost(a) { b } else { a };
        let method = self.rpcs[&rpc].method;
        let rank = self.rank(rpc, &self.rpcs[&rpc]);
        self.waiting.remove(&rank);
        self.gate.book(now, method, node, &self.cards[node]);
        self.sent[arm] += 1.0;
        let (usual, soft) = (self.usual[method], self.soft[method]);
        let repeatable = self.gate.methods[method] != Repeat::NonIdempotent && self.retries >= 1.0;
        let Some(r) = self.rpcs.get_mut(&rpc) else { return false };
        let left = r.until.saturating_sub(now);
        // A first pick that may be repeated leaves room for another; once the fleet is slow, waiting is better.
        let early = (0.6 * soft).max(4.0 * usual);
        let leave_room = repeatable && r.picks.is_empty() && early < 0.8 * soft;
        let pick_for = if leave_room { secs(early).min(left) } else { left };
        r.picks.push(Pick { node, at: now, out: true, never_ran: false });
        let pick = r.picks.len() - 1;
        post.out.push(Action::Pick { rpc, node, within: pick_for });
        post.nodes[node].push_back(ToNode::Sent { rpc, pick, at: now });
        true
    }
}

// ---- judge: arms, verdicts, votes ----------------------------------------------------------------------------

/// One method's ledgers: payoff, soundness (no error, no flag), and times of ok answers in coarse bins.
#[derive(Clone, Copy, Default)]
struct Ledger {
    paid: Tally,
    sound: Tally,
    times: [f64; BINS],
}

impl Ledger {
    fn add(&mut self, other: &Ledger) {
        self.paid.add(other.paid);
        self.sound.add(other.sound);
        self.times.iter_mut().zip(other.times).for_each(|(a, b)| *a += b);
    }
    fn halve(&mut self) {
        self.paid.halve();
        self.sound.halve();
        self.times.iter_mut().for_each(|n| *n /= 2.0);
    }
}

struct Book {
    build: Build,
    ready: bool,
    kind: usize,
    started: Option<Duration>,
    methods: Vec<Ledger>,
}

/// New and old arm on one question.
type Pair = [Tally; 2];

struct Cast {
    verdict: Verdict,
    stage: usize,
    build: Build,
    at: Duration,
    settled: bool,
}

struct Judge {
    soft: Vec<f64>,
    shares: Vec<f64>,
    by_votes: bool,
    peers: bool,
    vote_life: Duration,
    vote_wait: Duration,
    vote_gap: Duration,
    books: Vec<Book>,
    kinds: usize,
    /// What older builds did on nodes that are gone, by kind and method.
    past: Vec<Ledger>,
    newest: Build,
    places: f64,
    news: Option<News>,
    news_at: Duration,
    begun: Option<(Build, usize, Duration)>,
    heard: BTreeMap<usize, (Duration, Build, Vec<Pair>)>,
    sums: Vec<Pair>,
    cast: Option<Cast>,
    halved: Duration,
    told: Duration,
    looked: Duration,
}

impl Judge {
    fn act(&mut self, now: Duration, note: ToJudge, post: &mut Post) {
        match note {
            ToJudge::Card(ix, card) => self.listed(ix, &card),
            ToJudge::Booked { node, build, method, outcome, took, age } => {
                let soft = self.soft[method];
                let Some(book) = self.books.get_mut(node).filter(|b| b.build == build) else { return };
                let (ledger, ok) = (&mut book.methods[method], outcome == Outcome::Ok);
                match outcome {
                    Outcome::Ok | Outcome::Error => ledger.sound.book(ok),
                    Outcome::Full | Outcome::Moot | Outcome::Cancelled | Outcome::NoConnection => return,
                    Outcome::Timeout | Outcome::Reset => {}
                }
                if age >= YOUNG {
                    ledger.paid.book(ok && took.as_secs_f64() <= soft);
                    if ok {
                        // Bins by half powers of two, the last but two ending at the soft deadline.
                        let bin = (took.as_secs_f64() / soft).max(1e-9).log2() * 2.0 + (BINS - 3) as f64;
                        ledger.times[bin.clamp(0.0, (BINS - 1) as f64) as usize] += 1.0;
                    }
                }
            }
            ToJudge::Disputed { node, method, age } => {
                let Some(book) = self.books.get_mut(node) else { return };
                if book.started.is_none_or(|at| at + age < now) {
                    let ledger = &mut book.methods[method];
                    for tally in [&mut ledger.paid, &mut ledger.sound] {
                        tally.good = (tally.good - 1.0).max(0.0);
                    }
                }
            }
            ToJudge::News(news, reply) => self.news(now, news, reply),
            ToJudge::Sums { build, method, picks, failed } => {
                if let Some(pair) = self.sums.get_mut(method) {
                    let arm = usize::from(build != self.newest);
                    if build <= self.newest {
                        pair[arm].add(Tally { n: picks, good: picks - failed });
                    }
                }
            }
            ToJudge::Peer { from, text } => {
                if let Some((build, pairs)) = read_pairs(&text) {
                    self.heard.insert(from, (now, build, pairs));
                }
            }
            ToJudge::Beat => self.beat(now, post),
        }
    }

    fn listed(&mut self, ix: NodeIx, card: &Card) {
        let blank = || vec![Ledger::default(); self.soft.len()];
        while self.books.len() <= ix {
            let methods = blank();
            self.books.push(Book { build: 0, ready: false, kind: 0, started: None, methods });
        }
        let fresh = self.books[ix].build != card.build || self.books[ix].started != card.started;
        if fresh || !card.ready {
            // The old arm's record outlives its nodes.
            let book = &mut self.books[ix];
            let methods = std::mem::replace(&mut book.methods, vec![Ledger::default(); self.soft.len()]);
            if book.build < self.newest {
                for (m, ledger) in methods.iter().enumerate() {
                    self.past[book.kind * self.soft.len() + m].add(ledger);
                }
            }
        }
        let book = &mut self.books[ix];
        (book.build, book.ready, book.started) = (card.build, card.ready, card.started);
        book.kind = card.kind.min(self.kinds - 1);
        if card.ready && card.build > self.newest {
            self.newer(card.build);
        }
    }

    /// A newer build begins its trial: its counts start anew. What a released one did joins the older arm;
    /// what one that was sent back did is struck out.
    fn newer(&mut self, build: Build) {
        let released = self.news.is_some_and(|n| n.build == self.newest && n.course == Course::Released);
        if released {
            self.past.fill(Ledger::default());
        }
        for book in self.books.iter_mut().filter(|b| b.build == self.newest || b.build == build) {
            if !released || book.build == build {
                book.methods.fill(Ledger::default());
            }
        }
        self.newest = build;
        self.sums.fill(Pair::default());
        self.places = self.books.iter().filter(|b| b.ready && b.build < build).count() as f64;
    }

    fn news(&mut self, now: Duration, news: News, reply: VoteReply) {
        if let Some(cast) = &mut self.cast {
            match reply {
                VoteReply::Unasked => {}
                VoteReply::Counts | VoteReply::Moot => cast.settled = true,
                // May not count: said again after a spread-out pause.
                VoteReply::Full | VoteReply::Error | VoteReply::Silent => cast.settled = false,
            }
        }
        if matches!(reply, VoteReply::Unasked | VoteReply::Counts) {
            if news.build > self.newest {
                self.newer(news.build);
            }
            self.news = Some(news);
            self.news_at = now;
        }
    }

    /// An arm's ledgers by kind and method, its suspect nodes left out where they are the minority, or where
    /// nodes of the other arm are suspect too: trouble on nodes of both builds convicts neither.
    fn arm(&self, new: bool, other_suspects: bool) -> (Vec<Ledger>, bool) {
        let mut sums = if new { vec![Ledger::default(); self.past.len()] } else { self.past.clone() };
        let mine =
            |b: &&Book| b.ready && b.build > 0 && (b.build == self.newest) == new && b.build <= self.newest;
        let suspect = |b: &&Book| {
            let mut all = Tally::default();
            b.methods.iter().for_each(|l| all.add(l.sound));
            all.n >= 4.0 && 1.0 - all.mean() > SUSPECT
        };
        let nodes = self.books.iter().filter(mine).count();
        let suspects = self.books.iter().filter(mine).filter(suspect).count();
        let leave_out = 2 * suspects < nodes || (other_suspects && suspects <= 1 + nodes / 2);
        for book in self.books.iter().filter(mine).filter(|b| !(leave_out && suspect(b))) {
            for (m, ledger) in book.methods.iter().enumerate() {
                sums[book.kind * self.soft.len() + m].add(ledger);
            }
        }
        (sums, suspects > 0)
    }

    /// The questions asked of both arms: payoff pooled, soundness by method, pace.
    fn own_pairs(&self) -> Vec<Pair> {
        let (old, old_suspects) = self.arm(false, false);
        let (new, _) = self.arm(true, old_suspects);
        let count = self.soft.len();
        let mut pairs = vec![Pair::default(); count + 2];
        for (i, (n, o)) in new.iter().zip(&old).enumerate() {
            pairs[0][0].add(n.paid);
            pairs[0][1].add(o.paid);
            pairs[1 + i % count][0].add(n.sound);
            pairs[1 + i % count][1].add(o.sound);
            // Brisk: within the time that three quarters of the older arm's answers need, on nodes of this kind.
            let all: f64 = o.times.iter().sum();
            let mut sum = 0.0;
            let edge = o.times.iter().position(|t| {
                sum += t;
                sum >= 0.75 * all
            });
            if let (Some(edge), true) = (edge, all >= LEAST_SAMPLE) {
                let brisk =
                    |l: &Ledger| Tally { n: l.times.iter().sum(), good: l.times[..=edge].iter().sum() };
                pairs[count + 1][0].add(brisk(n));
                pairs[count + 1][1].add(brisk(o));
            }
        }
        pairs
    }

    /// Own evidence, widened by fresh peers' and by the platform's sums.
    fn pooled(&self, now: Duration, own: &[Pair]) -> Vec<Pair> {
        let mut all = own.to_vec();
        let fresh = Duration::from_secs(3);
        for (at, build, pairs) in self.heard.values() {
            if *build == self.newest && now < *at + fresh && pairs.len() == all.len() {
                all.iter_mut().zip(pairs).for_each(|(a, p)| (0..2).for_each(|i| a[i].add(p[i])));
            }
        }
        for (m, sums) in self.sums.iter().enumerate() {
            (0..2).for_each(|i| all[1 + m][i].add(sums[i]));
        }
        all
    }

    fn judged(&self, pairs: &[Pair], released: bool) -> Stand {
        let last = pairs.len() - 1;
        let mut sound = Pair::default();
        pairs[1..last].iter().for_each(|p| (0..2).for_each(|i| sound[i].add(p[i])));
        let mut stands: Vec<Stand> = pairs[1..last].iter().map(|p| stand(p[0], p[1], MARGIN[1])).collect();
        stands.push(stand(sound[0], sound[1], MARGIN[1]));
        if !released {
            stands.push(stand(pairs[0][0], pairs[0][1], MARGIN[0]));
            stands.push(stand(pairs[last][0], pairs[last][1], MARGIN[2]));
        }
        stands.into_iter().fold(Stand::Better, |worst, s| if s > worst { s } else { worst })
    }

    fn beat(&mut self, now: Duration, post: &mut Post) {
        if now < self.looked + Duration::from_millis(100) {
            return;
        }
        self.looked = now;
        if now >= self.halved + HALVE {
            self.halved = now;
            let live = |b: &&mut Book| b.ready;
            self.books.iter_mut().filter(live).for_each(|b| b.methods.iter_mut().for_each(Ledger::halve));
            // The record of an arm without nodes is kept.
            if self.books.iter().any(|b| b.ready && b.build < self.newest) {
                self.past.iter_mut().for_each(Ledger::halve);
            }
            self.sums.iter_mut().for_each(|pair| pair.iter_mut().for_each(Tally::halve));
        }
        let own = self.own_pairs();
        let new_first = own[0][0].index() >= own[0][1].index();
        post.front.push_back(ToFront::Favour { newest: self.newest, new_first });
        if self.peers && now >= self.told + Duration::from_millis(500) && own.iter().any(|p| p[0].n >= 1.0) {
            self.told = now;
            post.out.push(Action::Tell { to: None, text: write_pairs(self.newest, &own) });
        }
        let wish = self.wish(now, &own);
        self.vote(now, wish, post);
    }

    fn wish(&mut self, now: Duration, own: &[Pair]) -> Option<(Verdict, usize, Build)> {
        let news = self.news.filter(|n| n.build == self.newest)?;
        let released = news.course == Course::Released;
        if !released && news.course != Course::OnTrial {
            return None;
        }
        let pairs = self.pooled(now, own);
        let stand = self.judged(&pairs, released);
        if stand == Stand::Worse {
            return Some((Verdict::Back, news.stage, news.build));
        }
        let begun = self.begun(now, news)?;
        if released || !self.by_votes || stand == Stand::Leans {
            return None;
        }
        let seen: f64 = pairs[1..pairs.len() - 1].iter().map(|p| p[0].n).sum();
        let wait = if seen < LEAST_SAMPLE { 2 * ON_WAIT } else { ON_WAIT };
        (stand == Stand::Better || now >= begun + wait).then_some((Verdict::On, news.stage, news.build))
    }

    /// When the present stage's machines have all started, as far as the list tells.
    fn begun(&mut self, now: Duration, news: News) -> Option<Duration> {
        if let Some((build, stage, at)) = self.begun {
            if (build, stage) == (news.build, news.stage) {
                return Some(at);
            }
        }
        let trial = self.books.iter().filter(|b| b.ready && b.build == news.build);
        let starts: Vec<Duration> = trial.map(|b| b.started.unwrap_or_default()).collect();
        let due = (self.shares.get(news.stage)? * self.places * 0.9).floor().max(1.0);
        let launched = self.news_at.saturating_sub(news.age);
        let at = match starts.iter().max() {
            Some(&last) if starts.len() as f64 >= due => last.max(launched),
            _ if now >= launched + STAGE_LATEST => now,
            _ => return None,
        };
        self.begun = Some((news.build, news.stage, at));
        Some(at)
    }

    fn vote(&mut self, now: Duration, wish: Option<(Verdict, usize, Build)>, post: &mut Post) {
        let (verdict, stage, build) = match (wish, &self.cast) {
            (Some(wish), _) => wish,
            (None, Some(c)) if c.verdict == Verdict::On && now < c.at + self.vote_life => {
                (Verdict::None, c.stage, c.build)
            }
            _ => return,
        };
        if let Some(c) = &self.cast {
            let same = (c.verdict, c.stage, c.build) == (verdict, stage, build);
            let again = if c.settled { self.vote_life.mul_f64(0.6) } else { self.vote_wait + self.vote_gap };
            if now < c.at + if same { again } else { self.vote_gap } || (same && verdict == Verdict::None) {
                return;
            }
            if !same {
                post.out.push(Action::Log(format!("build {build} stage {stage}: vote {verdict:?}")));
            }
        }
        self.cast = Some(Cast { verdict, stage, build, at: now, settled: false });
        post.out.push(Action::Vote { verdict, stage, build });
    }
}

/// Cumulative counts for peers: the build, then four counts a question. Loss and repetition do no harm.
fn write_pairs(build: Build, pairs: &[Pair]) -> Vec<u8> {
    let mut text = (build as u16).to_le_bytes().to_vec();
    for t in pairs.iter().flatten() {
        text.extend_from_slice(&(t.n.min(65535.0) as u16).to_le_bytes());
        text.extend_from_slice(&(t.good.min(t.n).min(65535.0) as u16).to_le_bytes());
    }
    text
}

fn read_pairs(text: &[u8]) -> Option<(Build, Vec<Pair>)> {
    let words: Vec<f64> = text.chunks_exact(2).map(|b| f64::from(u16::from_le_bytes([b[0], b[1]]))).collect();
    let (build, rest) = words.split_first()?;
    let tally = |w: &[f64]| Tally { n: w[0], good: w[1].min(w[0]) };
    Some((*build as Build, rest.chunks_exact(4).map(|w| [tally(&w[..2]), tally(&w[2..])]).collect()))
}

// ---- scout: the list of nodes, where it must be asked for ----------------------------------------------------

struct Scout {
    asks: bool,
    subscribed: bool,
    ask_at: Duration,
    failures: u32,
    spread: f64,
}

impl Scout {
    fn act(&mut self, now: Duration, note: ToScout, post: &mut Post) {
        match note {
            ToScout::Answer(Scope::Failed) => {
                self.subscribed = false;
                self.failures += 1;
                self.ask_at = now + secs(0.4 * f64::from(1 << self.failures.min(3)) * self.spread);
            }
            ToScout::Answer(Scope::Cached) => {}
            ToScout::Answer(_) => (self.subscribed, self.failures) = (true, 0),
            ToScout::Beat => {
                if self.asks && !self.subscribed && now >= self.ask_at {
                    self.ask_at = now + secs(4.0 * self.spread);
                    post.out.push(Action::Subscribe(true));
                }
            }
        }
    }
}

// ---- the marshal ---------------------------------------------------------------------------------------------

pub struct Marshal {
    post: Post,
    nodes: Vec<Node>,
    front: Front,
    judge: Judge,
    scout: Scout,
    soft: Vec<f64>,
    beat_at: Option<Duration>,
}

impl Marshal {
    /// Turns the start terms into the figures that decisions use.
    pub fn new(terms: &RolloutTerms) -> Self {
        let (release, rules, limits) = (&terms.release, &terms.rules, &terms.limits);
        let soft: Vec<f64> = terms.methods.iter().map(|m| m.soft_deadline.as_secs_f64()).collect();
        let marshals = terms.marshals.max(1) as f64;
        let gate = Gate {
            methods: terms.methods.iter().map(|m| m.repeat).collect(),
            caps: release.caps.clone(),
            window: release.window,
            free: release.free,
            by_method: release.by_method,
            guarded: release.guarded_stages,
            one_way: release.one_way,
            most_picks: limits.most_picks,
            copies: limits.second_copies,
            cold_from: rules.cold_from,
            warm_within: rules.warm_within,
            fall_window: rules.fall_window,
            fall_budget: COLD_PART * rules.fall_multiple * rules.fall_window.as_secs_f64(),
            news: None,
            taken: vec![VecDeque::new(); soft.len()],
            sent: BTreeMap::new(),
            cold_sent: BTreeMap::new(),
            served: 0.0,
            crossed: BTreeMap::new(),
        };
        let tenant = |t: &TenantTerms| Tenant { rate: t.quota / marshals, level: 0.0, at: Duration::ZERO };
        let front = Front {
            gate,
            utility: terms.methods.iter().map(|m| m.utility).collect(),
            retry_after: limits.retry_after,
            tenants: terms.tenants.iter().map(tenant).collect(),
            cards: Vec::new(),
            rpcs: BTreeMap::new(),
            waiting: BTreeSet::new(),
            sent: [0.0; 2],
            newest: 0,
            new_first: true,
            retries: RETRY_MOST,
            usual: soft.iter().map(|s| s / 6.0).collect(),
            soft: soft.clone(),
            oks: 0.0,
            seed: terms.seed,
            draws: 0,
        };
        let kinds = terms.kinds.max(1);
        let judge = Judge {
            soft: soft.clone(),
            shares: release.shares.clone(),
            by_votes: release.control == Control::Votes,
            peers: limits.peers,
            vote_life: release.vote_life,
            vote_wait: release.vote_wait,
            vote_gap: secs((2.0 * marshals / release.vote_rate.max(0.1)).max(0.3)),
            books: Vec::new(),
            kinds,
            past: vec![Ledger::default(); kinds * soft.len()],
            newest: 0,
            places: 0.0,
            news: None,
            news_at: Duration::ZERO,
            begun: None,
            heard: BTreeMap::new(),
            sums: vec![Pair::default(); soft.len()],
            cast: None,
            halved: Duration::ZERO,
            told: Duration::ZERO,
            looked: Duration::ZERO,
        };
        let spread = 1.0 + terms.marshal as f64 / marshals;
        let (asks, ask_at) = (terms.ask_discovery, Duration::ZERO);
        let scout = Scout { asks, subscribed: false, ask_at, failures: 0, spread };
        Marshal { post: Post::default(), nodes: Vec::new(), front, judge, scout, soft, beat_at: None }
    }

    pub fn handle(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        for event in events {
            self.sort(event);
            self.settle(now);
        }
        if self.beat_at.is_none_or(|at| now >= at) {
            self.beat_at = Some(now + BEAT);
            self.post.out.push(Action::Wake { after: BEAT, tag: 0 });
            self.post.nodes.iter_mut().for_each(|inbox| inbox.push_back(ToNode::Beat));
            self.post.scout.push_back(ToScout::Beat);
            self.post.judge.push_back(ToJudge::Beat);
            self.post.front.push_back(ToFront::Beat);
            self.settle(now);
        }
        std::mem::take(&mut self.post.out)
    }

    /// Puts an event into the inboxes that it concerns.
    fn sort(&mut self, event: Event) {
        let post = &mut self.post;
        match event {
            Event::Nodes { scope, nodes } => {
                post.scout.push_back(ToScout::Answer(scope));
                let named: BTreeSet<NodeIx> = nodes.iter().map(|e| e.node).collect();
                if matches!(scope, Scope::Full | Scope::Cached) {
                    for node in self.nodes.iter().filter(|n| n.card.ready && !named.contains(&n.ix)) {
                        let c = &node.card;
                        post.nodes[node.ix].push_back(ToNode::Listed(NodeEntry {
                            node: node.ix,
                            kind: c.kind,
                            power: c.power,
                            cell: c.cell,
                            zone: c.zone,
                            readiness: Readiness::Gone,
                            started: c.started,
                            build: c.build,
                        }));
                    }
                }
                for entry in nodes {
                    while self.nodes.len() <= entry.node {
                        self.nodes.push(Node::new(self.nodes.len(), &self.soft));
                        post.nodes.push(VecDeque::new());
                    }
                    post.nodes[entry.node].push_back(ToNode::Listed(entry));
                }
            }
            Event::Rpc { rpc, method, tenant, key, left, .. } => {
                post.front.push_back(ToFront::Taken { rpc, method, tenant, key, left });
            }
            Event::PickEnded { rpc, pick, node, outcome, took, done, .. } => {
                post.front.push_back(ToFront::Ended { rpc, pick, node, outcome, took, done });
            }
            Event::StreamBegun { rpc, .. } => post.front.push_back(ToFront::Streaming(rpc)),
            Event::ClientLeft { rpc } => post.front.push_back(ToFront::Left(rpc)),
            Event::Stage { build, stage, course, reply, cap, age } => {
                let news = News { build, stage, course, cap, age };
                if matches!(reply, VoteReply::Unasked | VoteReply::Counts) {
                    post.front.push_back(ToFront::News(news));
                }
                post.judge.push_back(ToJudge::News(news, reply));
            }
            Event::Sums { build, method, picks, failed, .. } => {
                let (picks, failed) = (picks.into(), failed.into());
                post.judge.push_back(ToJudge::Sums { build, method, picks, failed });
            }
            Event::Disputed { node, method, age } => {
                post.judge.push_back(ToJudge::Disputed { node, method, age });
            }
            Event::Peer { from, text } => post.judge.push_back(ToJudge::Peer { from, text }),
            Event::Probed { .. } | Event::Timer { .. } => {}
        }
    }

    /// Empties the inboxes: nodes, then the judge, the scout and the front, one note at a time.
    fn settle(&mut self, now: Duration) {
        loop {
            let mail = self.post.nodes.iter_mut().zip(&mut self.nodes).find(|(inbox, _)| !inbox.is_empty());
            if let Some((note, node)) = mail.and_then(|(inbox, node)| Some((inbox.pop_front()?, node))) {
                node.act(now, note, &mut self.post);
            } else if let Some(note) = self.post.judge.pop_front() {
                self.judge.act(now, note, &mut self.post);
            } else if let Some(note) = self.post.scout.pop_front() {
                self.scout.act(now, note, &mut self.post);
            } else if let Some(note) = self.post.front.pop_front() {
                self.front.act(now, note, &mut self.post);
            } else {
                return;
            }
        }
    }
}
