//! State of nodes, send rules and RPC dispatch.

use std::collections::{BTreeMap, BTreeSet};

use super::*;

/// One attempt of an RPC at one node.
pub struct Pick {
    /// The node, as listed when the pick was sent.
    pub entry: NodeEntry,
    /// When it was sent.
    pub sent_at: Duration,
    /// Still in flight.
    pub in_flight: bool,
    /// Ended, and known not to have been executed.
    pub never_ran: bool,
    /// Answered with an error.
    pub erred: bool,
}

/// An RPC without a final answer.
#[derive(Default)]
pub struct Rpc {
    /// Index of its method.
    pub method: usize,
    /// Hash of the key that the RPC is about, if any.
    pub key: Option<u64>,
    /// Time until which an answer earns the full utility, at most `deadline`.
    pub soft_deadline: Duration,
    /// Time from which on nothing is sent for the RPC any more.
    pub deadline: Duration,
    /// Sort key among waiting RPCs; the smallest is sent first.
    pub rank: Duration,
    /// Its picks, in the order in which they were sent.
    pub picks: Vec<Pick>,
    /// A streamed answer has begun.
    pub streaming: bool,
    /// A pick on the newest build has ended without the final answer.
    pub tried_newest: bool,
}

/// Health and load of one node.
#[derive(Default)]
pub struct Node {
    /// Status as last published to the other components.
    pub status: NodeStatus,
    /// Picks in flight: RPC, index among the RPC's picks, method, time of the send, and the node as listed
    /// then.
    pub picks: Vec<(RpcIx, usize, usize, Duration, NodeEntry)>,
    /// When the node last answered or failed other than by a timeout; refusals by a full node do not count.
    pub last_response: Duration,
    /// Moving average of outcomes: an ok answer weighs 0, a timeout, an error or a corrupt answer 1, a lost
    /// or refused connection 3.
    pub failure_score: f64,
    /// Ejections in a row; above 0 the node is on probation.
    pub ejections: u32,
    /// End of the present or latest ejection for failures; silence ejects without an end.
    pub ejected_until: Duration,
    /// Moving average of the latency of ok answers, in seconds.
    pub latency_secs: f64,
}

/// State of the rules that every send has to pass.
#[derive(Default)]
pub struct SendRules {
    /// The rollout as the controller last reported it.
    pub rollout: Option<RolloutStatus>,
    /// Times of received RPCs, by method.
    pub received: BTreeMap<usize, Times>,
    /// Times of picks, by build and method.
    pub sent: BTreeMap<(Build, usize), Times>,
    /// Times of picks, by node, for the slow-start budgets.
    pub sent_by_node: BTreeMap<NodeIx, Times>,
    /// Moving average of ok answers to this marshal's picks, per second and unit of power of the whole fleet.
    pub ok_rate_per_power: f64,
    /// Keys that were answered ok under the one-way rule, with the newest build that has answered them.
    pub key_builds: BTreeMap<u64, Build>,
    /// Keys of RPCs whose client left while a pick was in flight, with the build of that pick.
    pub departed_keys: BTreeMap<RpcIx, (u64, Build)>,
    /// When the budgets were set to fully spent because earlier sends were unknown; none if that never
    /// happened.
    pub spent_at: Option<Duration>,
}

impl SendRules {
    /// Records that a build has answered a key. A later answer of an earlier build does not undo this.
    pub fn record_key(&mut self, key: u64, build: Build) {
        let newest = self.key_builds.entry(key).or_default();
        *newest = build.max(*newest);
    }

    /// Records a send for the budgets, whether or not the build is on trial: it may be reported as on trial a
    /// moment later.
    pub fn record_send(&mut self, ctx: &Context, method: usize, entry: &NodeEntry) {
        self.sent.entry((entry.build, method)).or_default().push_back(ctx.now);
        self.sent_by_node.entry(entry.node).or_default().push_back(ctx.now);
    }
    /// Picks that the exposure budget grants regardless of traffic; none within a window of the time at which
    /// the budgets were set to fully spent.
    pub fn free_picks(&self, ctx: &Context) -> f64 {
        let spent =
            self.spent_at.is_some_and(|at| ctx.now < at + ctx.config.exposure.window + crate::policy::TICK);
        if spent {
            0.0
        } else {
            ctx.config.exposure.free
        }
    }

    /// Number of sends to a cold node to assume beside the recorded ones: infinite, and so beyond any budget,
    /// within a slow-start window of the time at which the budgets were set to fully spent; otherwise 0.
    pub fn unknown_sends(&self, ctx: &Context) -> f64 {
        let spent = self.spent_at.is_some_and(|at| ctx.now < at + ctx.config.slow_start_window);
        if spent {
            f64::INFINITY
        } else {
            0.0
        }
    }

    /// Returns the number of picks of a build and the number of received RPCs, over the methods of one
    /// exposure budget, each within its own time span before now. Only methods with recent traffic are
    /// visited.
    pub fn exposure_use(
        &self, ctx: &Context, build: Build, budget: usize, [sent_span, received_span]: [Duration; 2],
    ) -> [f64; 2] {
        let counts =
            |method: &usize| ctx.config.methods.get(*method).is_some_and(|d| d.exposure_budget == budget);
        let sent = self.sent.range((build, 0)..=(build, usize::MAX)).filter(|s| counts(&s.0 .1));
        let received = self.received.iter().filter(|t| counts(t.0));
        let used = sent.map(|s| count_recent(Some(s.1), ctx.now, sent_span)).sum();
        [used, received.map(|t| count_recent(Some(t.1), ctx.now, received_span)).sum()]
    }
    /// Bytes allocated for the timestamps of received RPCs and of sends.
    pub fn bytes(&self) -> usize {
        let bytes_of =
            |times: &Times| size_of::<(Build, usize, Times)>() + times.capacity() * size_of::<Duration>();
        let by_method = self.received.values().chain(self.sent.values()).map(bytes_of).sum::<usize>();
        by_method + self.sent_by_node.values().map(bytes_of).sum::<usize>()
    }
    /// Drops all timestamps before `before`, and entries left empty.
    pub fn prune(&mut self, before: Duration) {
        let all =
            self.received.values_mut().chain(self.sent.values_mut()).chain(self.sent_by_node.values_mut());
        // The times ascend, so a prefix is dropped; a busy marshal has tens of thousands.
        all.for_each(|times| {
            let old = times.iter().take_while(|&&at| at < before).count();
            times.drain(..old);
        });
        // Without this, each build, method and node ever used would keep an entry forever.
        self.received.retain(|_, times| !times.is_empty());
        self.sent.retain(|_, times| !times.is_empty());
        self.sent_by_node.retain(|_, times| !times.is_empty());
    }
}

/// State of RPC dispatch: the RPCs in progress and what decides where they are sent.
#[derive(Default)]
pub struct Dispatcher {
    /// The rules that every send has to pass.
    pub send_rules: SendRules,
    /// Status of all nodes, by node index.
    pub statuses: Vec<NodeStatus>,
    /// The ready nodes of the older arm and of the newest build, cold nodes first; rebuilt when
    /// `lists_stale`.
    pub arms: [Vec<NodeIx>; 2],
    /// The lists and sums over nodes have to be rebuilt.
    pub lists_stale: bool,
    /// Lower bound of the present capacity of each arm's nodes, in the unit of [`NodeEntry::power`].
    pub capacity: [f64; 2],
    /// The same for all listed nodes, extrapolated where this marshal is told of a part only.
    pub fleet_capacity: [f64; 2],
    /// The part of `capacity` that is on cold nodes.
    pub cold_capacity: [f64; 2],
    /// Number of cold nodes at the head of each list in `arms`.
    pub cold_nodes: [usize; 2],
    /// Number of ready nodes that are ejected.
    pub ejected: usize,
    /// RPCs without a final answer.
    pub rpcs: BTreeMap<RpcIx, Rpc>,
    /// RPCs that wait to be sent, by rank.
    pub waiting: BTreeSet<(Duration, RpcIx)>,
    /// Credit in picks of the older arm and of the newest build: each send adds slightly more than each arm's
    /// share of the capacity to its credit, and takes 1 from the arm charged.
    pub credit: [f64; 2],
    /// The newest build listed or announced.
    pub newest: Build,
    /// The newest build's UCB index is at least that of the older arm: it is tried first while within its
    /// limits.
    pub new_first: bool,
    /// No traffic goes to the build on trial for now, for the abstention test.
    pub abstaining: bool,
    /// Accumulated number of RPCs to push back during an abstention, where the older arm cannot take the new
    /// build's part. At 1 the next RPC is pushed back.
    pub pushback_credit: f64,
    /// Retry budget, in picks.
    pub retry_budget: f64,
    /// Moving average of the latency of ok picks by method, in seconds.
    pub method_latency: Vec<f64>,
    /// Ok answers since `rate_updated_at`.
    pub ok_answers: f64,
    /// When the rate of ok answers was last updated.
    pub rate_updated_at: Duration,
    /// An RPC could not be sent at once since the last update.
    pub blocked: bool,
    /// Moving average by node kind and zone of the latency of picks that were answered ok or failed without
    /// an answer, in seconds.
    pub group_latency: BTreeMap<(usize, usize), f64>,
    /// Concurrency limit: how many own picks may occupy nodes, see [`Dispatcher::occupied`].
    pub concurrency_limit: f64,
    /// This marshal's part of the fleet's capacity: an equal part for each marshal, in the unit of
    /// [`NodeEntry::power`].
    pub fair_capacity: f64,
    /// Latencies of recent picks in parts of the soft deadline, as a signal of congestion; without those that
    /// were cut short early in the soft deadline.
    pub latencies: OutcomeStats,
    /// The same for all recent picks, including those cut short early.
    pub pick_latencies: OutcomeStats,
    /// For each pick that timed out or was cancelled, when its soft deadline, counted from its send, ends:
    /// until then it may still occupy a node's queue. Not sorted.
    pub abandoned: Times,
    /// When the concurrency limit was last cut.
    pub limit_cut_at: Duration,
    /// Until then, after congestion, the earlier build's nodes take traffic in the last stage.
    pub relief_until: Duration,
    /// Exponentially decayed number of received RPCs, and of the seconds in which they arrived; their ratio
    /// is the rate of RPCs.
    pub arrivals: [f64; 2],
    /// Counter for pseudorandom draws.
    pub draws: u64,
}

impl Dispatcher {
    /// Stores a node's status, and marks the lists as stale if the node, its readiness or its ejection
    /// changed.
    pub fn update_status(&mut self, status: NodeStatus) {
        self.statuses.resize(self.statuses.len().max(status.entry.node + 1), NodeStatus::default());
        let old = std::mem::replace(&mut self.statuses[status.entry.node], status);
        self.lists_stale |=
            (old.ready, old.ejected, old.entry) != (status.ready, status.ejected, status.entry);
    }
    /// The part of the fleet's capacity that runs the newest build.
    pub fn newest_part(&self) -> f64 {
        self.fleet_capacity[1] / (self.fleet_capacity[0] + self.fleet_capacity[1]).max(1e-9)
    }

    /// Number of own picks that presumably occupy a node: RPCs with a pick in flight, and abandoned picks,
    /// each until its soft deadline.
    pub fn occupied(&self, ctx: &Context) -> f64 {
        let occupying = |r: &&Rpc| ctx.now < r.soft_deadline && r.picks.iter().any(|p| p.in_flight);
        let abandoned = self.abandoned.iter().filter(|until| ctx.now < **until);
        (self.rpcs.values().filter(occupying).count() + abandoned.count()) as f64
    }

    /// Whether a rollout is in its last stage and the earlier machines still run.
    pub fn last_stage(&self, ctx: &Context) -> bool {
        let trial = |n: &RolloutStatus| {
            n.state == RolloutState::OnTrial && Some(n.stage) == ctx.config.rehearsal_stage
        };
        self.send_rules.rollout.as_ref().is_some_and(trial)
    }

    /// Removes an RPC that has its final answer or needs none, also from the waiting ones.
    pub fn remove(&mut self, rpc: RpcIx) {
        self.rpcs.remove(&rpc).map(|r| self.waiting.remove(&(r.rank, rpc)));
    }
    /// Rebuilds the list of ready nodes of each arm, cold nodes first and otherwise in this marshal's own
    /// random order, and the sums over these nodes.
    pub fn rebuild_arms(&mut self, ctx: &Context) {
        let ready = |c: &&NodeStatus| c.ready;
        for (arm, list) in self.arms.iter_mut().enumerate() {
            let in_arm =
                self.statuses.iter().filter(ready).filter(|c| (c.entry.build == self.newest) == (arm == 1));
            *list = in_arm.map(|c| c.entry.node).collect();
            let warm = |node: &NodeIx| ctx.config.is_warm(ctx.age(&self.statuses[*node].entry));
            list.sort_by_cached_key(|node| (warm(node), random_u64(ctx.config.seed, 1 << 62 | *node as u64)));
            self.cold_nodes[arm] = list.iter().filter(|node| !warm(node)).count();
        }
        self.ejected = self.statuses.iter().filter(ready).filter(|c| c.ejected).count();
        let entry = |node: &NodeIx| &self.statuses[*node].entry;
        let node_capacity = |node| ctx.config.capacity_part(ctx.age(entry(node))) * power(entry(node));
        self.capacity = [0, 1].map(|arm: usize| self.arms[arm].iter().map(node_capacity).sum());
        let cold_capacity =
            |arm: usize| self.arms[arm][..self.cold_nodes[arm]].iter().map(node_capacity).sum();
        self.cold_capacity = [cold_capacity(0), cold_capacity(1)];
        let fleet_capacity = |node| node_capacity(node) / ctx.coverage.listed_part(entry(node).build);
        self.fleet_capacity = [0, 1].map(|arm: usize| self.arms[arm].iter().map(fleet_capacity).sum());
        self.fair_capacity = (self.fleet_capacity[0] + self.fleet_capacity[1]) / ctx.config.marshals;
        self.lists_stale = false;
    }
}
