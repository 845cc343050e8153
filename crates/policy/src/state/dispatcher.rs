//! State of nodes, send rules and RPC dispatch.

use std::collections::{BTreeMap, BTreeSet};

use super::*;

/// One attempt of an RPC at one node.
pub struct Pick {
    /// The node, as listed when the pick was sent.
    pub entry: NodeEntry,
    /// When the pick was sent.
    pub at: Duration,
    /// Still in flight.
    pub out: bool,
    /// Known not to have been executed.
    pub never_ran: bool,
    /// Answered with an error.
    pub erred: bool,
}

/// An RPC without a final answer.
#[derive(Default)]
pub struct Rpc {
    pub method: usize,
    /// Hash of the key that the RPC is about, if any.
    pub key: Option<u64>,
    /// Soft deadline.
    pub soft: Duration,
    /// Deadline.
    pub until: Duration,
    /// Sort key among waiting RPCs; the smallest is sent first.
    pub rank: Duration,
    pub picks: Vec<Pick>,
    /// A streamed answer has begun.
    pub streaming: bool,
    /// A pick on the build on trial has ended without the final answer.
    pub burnt: bool,
}

/// Health and load of one node.
#[derive(Default)]
pub struct Node {
    /// Status as last published to the other components.
    pub card: NodeStatus,
    /// Picks in flight: RPC, pick, method, time of the send, and the node as listed then.
    pub out: Vec<(RpcIx, usize, usize, Duration, NodeEntry)>,
    /// When the node last answered or failed other than by a timeout.
    pub heard: Duration,
    /// Moving average of failures; 0 is healthy, a timeout or an error weighs 1, a lost connection 3.
    pub ill: f64,
    /// Ejections in a row; above 0 the node is on probation.
    pub rests: u32,
    /// End of the present ejection.
    pub rest_until: Duration,
    /// Moving average of the latency of ok answers, in seconds.
    pub took: f64,
}

/// State of the rules that every send has to pass.
#[derive(Default)]
pub struct SendRules {
    /// The rollout as the controller last reported it.
    pub news: Option<RolloutStatus>,
    /// Times of received RPCs, by method.
    pub taken: BTreeMap<usize, Times>,
    /// Times of picks, by build and method.
    pub sent: BTreeMap<(Build, usize), Times>,
    /// Times of picks, by node, for the slow-start budgets.
    pub cold_sent: BTreeMap<NodeIx, Times>,
    /// Ok answers per second and unit of power, averaged.
    pub served: f64,
    /// Keys that a build on trial has answered under the one-way rule, with that build.
    pub crossed: BTreeMap<u64, Build>,
    /// Keys of RPCs whose client left while a pick was in flight, with the build of that pick.
    pub left: BTreeMap<RpcIx, (u64, Build)>,
    /// When the budgets were set to fully spent, as earlier sends are unknown.
    pub full: Option<Duration>,
}

impl SendRules {
    /// Records that a build has answered a key. A later answer of an earlier build does not undo this.
    pub fn cross(&mut self, key: u64, build: Build) {
        let met = self.crossed.entry(key).or_default();
        *met = build.max(*met);
    }

    /// Records a send for the budgets, whether or not the build is on trial: it may be reported as on trial a
    /// moment later.
    pub fn book(&mut self, cx: &Context, method: usize, entry: &NodeEntry) {
        self.sent.entry((entry.build, method)).or_default().push_back(cx.now);
        self.cold_sent.entry(entry.node).or_default().push_back(cx.now);
    }
    /// Picks that the exposure budget grants regardless of traffic; none within a window of the time at which
    /// the budgets were set to fully spent.
    pub fn free(&self, cx: &Context) -> f64 {
        let full = self.full.is_some_and(|at| cx.now < at + cx.law.exposure.window + crate::policy::TICK);
        if full {
            0.0
        } else {
            cx.law.exposure.free
        }
    }

    /// Unknown earlier sends to a cold node, which count as more than any budget for one window after the
    /// budgets were set to fully spent.
    pub fn unknown(&self, cx: &Context) -> f64 {
        let full = self.full.is_some_and(|at| cx.now < at + cx.law.fall_window);
        if full {
            f64::INFINITY
        } else {
            0.0
        }
    }

    /// Counts the picks of a build and the received RPCs, over the methods of one exposure budget, each
    /// within its own time span. Only methods with recent traffic are visited.
    pub fn counted(&self, cx: &Context, build: Build, slot: usize, [late, early]: [Duration; 2]) -> [f64; 2] {
        let counts = |method: &usize| cx.law.duties.get(*method).is_some_and(|d| d.slot == slot);
        let sent = self.sent.range((build, 0)..=(build, usize::MAX)).filter(|s| counts(&s.0 .1));
        let taken = self.taken.iter().filter(|t| counts(t.0));
        let used = sent.map(|s| recent(Some(s.1), cx.now, late)).sum();
        [used, taken.map(|t| recent(Some(t.1), cx.now, early)).sum()]
    }
    /// Bytes of the send history.
    pub fn bytes(&self) -> usize {
        let held =
            |times: &Times| size_of::<(Build, usize, Times)>() + times.capacity() * size_of::<Duration>();
        let by_method = self.taken.values().chain(self.sent.values()).map(held).sum::<usize>();
        by_method + self.cold_sent.values().map(held).sum::<usize>()
    }
    /// Drops all timestamps before `before`, and entries left empty.
    pub fn forget(&mut self, before: Duration) {
        let all = self.taken.values_mut().chain(self.sent.values_mut()).chain(self.cold_sent.values_mut());
        // The times ascend, so a prefix is dropped; a busy marshal has tens of thousands.
        all.for_each(|times| {
            let old = times.iter().take_while(|&&at| at < before).count();
            times.drain(..old);
        });
        // Without this, each build, method and node ever used would keep an entry forever.
        self.taken.retain(|_, times| !times.is_empty());
        self.sent.retain(|_, times| !times.is_empty());
        self.cold_sent.retain(|_, times| !times.is_empty());
    }
}

/// State of RPC dispatch: the RPCs in progress and what decides where they are sent.
#[derive(Default)]
pub struct Dispatcher {
    /// The rules that every send has to pass.
    pub gate: SendRules,
    /// Status of all nodes, by node index.
    pub cards: Vec<NodeStatus>,
    /// The ready nodes of the older arm and of the newest build, cold nodes first; rebuilt when `stale`.
    pub arms: [Vec<NodeIx>; 2],
    /// The lists and sums over nodes have to be rebuilt.
    pub stale: bool,
    /// Present capacity of each arm's nodes, a lower bound.
    pub weights: [f64; 2],
    /// The same for all listed nodes, extrapolated where this marshal is told of a part only.
    pub fleet: [f64; 2],
    /// The capacity in `weights` that is on cold nodes.
    pub cold: [f64; 2],
    /// Number of cold nodes at the head of each list in `arms`.
    pub chill: [usize; 2],
    /// Number of ready nodes that are ejected.
    pub resting: usize,
    /// RPCs without a final answer.
    pub rpcs: BTreeMap<RpcIx, Rpc>,
    /// RPCs that wait to be sent, by rank.
    pub waiting: BTreeSet<(Duration, RpcIx)>,
    /// Credit in picks of the older arm and of the newest build: each send adds the arms' shares and takes
    /// one from the arm used.
    pub due: [f64; 2],
    /// The newest build listed or announced.
    pub newest: Build,
    /// The newest build has the higher UCB index: it is tried first while within its limits.
    pub new_first: bool,
    /// No traffic goes to the build on trial for now, for the abstention test.
    pub starved: bool,
    /// Fractional count of RPCs to push back during an abstention, where the older arm cannot take the new
    /// build's part.
    pub spare: f64,
    /// Retry budget, in picks.
    pub retries: f64,
    /// Moving average of the latency of ok answers by method, in seconds.
    pub usual: Vec<f64>,
    /// Ok answers since `counted`.
    pub oks: f64,
    /// When the rate of ok answers was last updated.
    pub counted: Duration,
    /// An RPC could not be sent at once since the last update.
    pub barred: bool,
    /// Moving average of latency by node kind and zone, in seconds.
    pub groups: BTreeMap<(usize, usize), f64>,
    /// Concurrency limit: how many own picks may be in flight.
    pub room: f64,
    /// This marshal's part of the fleet's capacity.
    pub fair: f64,
    /// Latencies of recent answers in parts of the soft deadline, as a signal of congestion.
    pub lags: OutcomeStats,
    /// Latencies of recent picks of any length, including those cut short.
    pub odds: OutcomeStats,
    /// Soft deadlines of abandoned picks, which may still occupy a node's queue until then.
    pub ghosts: Times,
    /// When the concurrency limit was last cut.
    pub cut: Duration,
    /// Until then the earlier build's nodes take traffic in the last stage.
    pub relief: Duration,
    /// Decayed count of received RPCs, and the decayed seconds in which they arrived.
    pub pulse: [f64; 2],
    /// Counter for pseudorandom draws.
    pub draws: u64,
}

impl Dispatcher {
    /// Stores a node's status, and marks the lists as stale if it changed in what they rest on.
    pub fn file(&mut self, card: NodeStatus) {
        self.cards.resize(self.cards.len().max(card.entry.node + 1), NodeStatus::default());
        let old = std::mem::replace(&mut self.cards[card.entry.node], card);
        self.stale |= (old.ready, old.resting, old.entry) != (card.ready, card.resting, card.entry);
    }
    /// The part of the fleet's capacity that runs the newest build.
    pub fn lent(&self) -> f64 {
        self.fleet[1] / (self.fleet[0] + self.fleet[1]).max(1e-9)
    }

    /// Own picks that presumably occupy a node: RPCs with a pick in flight, and abandoned picks, each until
    /// its soft deadline.
    pub fn out(&self, cx: &Context) -> f64 {
        let held = |r: &&Rpc| cx.now < r.soft && r.picks.iter().any(|p| p.out);
        let ghosts = self.ghosts.iter().filter(|until| cx.now < **until);
        (self.rpcs.values().filter(held).count() + ghosts.count()) as f64
    }

    /// Whether a rollout is in its last stage and the earlier machines still run.
    pub fn last_stage(&self, cx: &Context) -> bool {
        let trial = |n: &RolloutStatus| n.course == Course::OnTrial && Some(n.stage) == cx.law.rehearse;
        self.gate.news.as_ref().is_some_and(trial)
    }

    /// Removes an RPC that needs no more answer.
    pub fn forget(&mut self, rpc: RpcIx) {
        self.rpcs.remove(&rpc).map(|r| self.waiting.remove(&(r.rank, rpc)));
    }
    /// Rebuilds the list of ready nodes of each arm, in this marshal's own random order, and their present
    /// capacity.
    pub fn muster(&mut self, cx: &Context) {
        let ready = |c: &&NodeStatus| c.ready;
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
        let whole = |node| weigh(node) / cx.sight.seen(entry(node).build);
        self.fleet = [0, 1].map(|arm: usize| self.arms[arm].iter().map(whole).sum());
        self.fair = (self.fleet[0] + self.fleet[1]) / cx.law.marshals;
        self.stale = false;
    }
}
