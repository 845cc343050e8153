//! A simulation of one marshal's surroundings. It feeds events to the marshal, ends its picks as the test
//! specifies and checks every action against the safety rules, using its own bookkeeping:
//!
//! 1. Each RPC gets exactly one final answer, and no pick is sent after the answer or the deadline.
//! 2. An RPC never has two picks in flight and is repeated only as far as its method allows.
//! 3. Draining and gone nodes get no picks.
//! 4. A cold node gets no more picks than its slow-start budget allows.
//! 5. A build on trial stays within its exposure cap, guarded stages take idempotent methods only, and under
//!    the one-way rule a key that a newer build has answered never returns to an earlier one.

use std::collections::BTreeMap;
use std::time::Duration;

use ivydrift_policy::port::*;
use ivydrift_policy::Marshal;

/// A span of `n` milliseconds.
pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The configuration that most tests start from: three methods, one of each repeat kind, and a
/// vote-controlled rollout in three stages.
pub fn base_config() -> RolloutConfig {
    let method = |repeat, utility| MethodConfig {
        repeat,
        soft_deadline: ms(600),
        stretch: 0.0,
        deadline: ms(2000),
        utility,
        late_utility: 0.0,
        streamed: false,
    };
    let tokened = Repeat::Tokened { group: Group::All, window: ms(1500) };
    RolloutConfig {
        seed: 7,
        marshal: 0,
        marshals: 2,
        zone: 0,
        polls_discovery: false,
        methods: vec![
            method(Repeat::Idempotent, 1.0),
            method(tokened, 2.0),
            method(Repeat::NonIdempotent, 3.0),
        ],
        tenants: vec![],
        over_share_utility: 0.0,
        warm_keys: false,
        kinds: 1,
        release: ReleaseConfig {
            control: Control::Votes,
            promote_votes: 1,
            rollback_votes: 1,
            shares: vec![0.25, 0.5, 1.0],
            exposure_caps: vec![0.35, 0.7, 1.0],
            exposure_window: ms(2000),
            free_picks: 2.0,
            exposure_by_method: false,
            guarded_stages: 0,
            one_way: false,
            in_place: false,
            min_stage_time: ms(1000),
            vote_life: ms(4000),
            vote_wait: ms(500),
            vote_rate: 50.0,
            flag_share: 0.0,
        },
        rules: RuleConfig {
            drain_grace: ms(500),
            cold_start_part: 0.4,
            warm_up: ms(4000),
            slow_start_multiple: 3.0,
            slow_start_window: ms(1000),
            max_call_gap: ms(10000),
            list_lease: None,
        },
        limits: LimitConfig {
            max_picks: 3,
            hedging: false,
            cancel: true,
            probes: false,
            peers: true,
            idle_timeout: ms(15_000),
            retry_after: Some(ms(1000)),
        },
    }
}

/// A pick that the simulated node has not ended yet.
struct InFlightPick {
    rpc: RpcIx,
    pick: usize,
    entry: NodeEntry,
    /// When it ends, in simulated time.
    ends_at: Duration,
    outcome: Outcome,
    took: Duration,
    key: Option<u64>,
}

/// An RPC without a final answer.
struct OpenRpc {
    method: usize,
    key: Option<u64>,
    /// Every node answers it with an error.
    fails_everywhere: bool,
    deadline: Duration,
    /// When each pick was sent, and how it ended.
    picks: Vec<(Duration, Option<Outcome>)>,
}

/// How a node ends a pick, and how long that takes; called with the node, the method, the current time and a
/// random number.
pub type NodeBehavior = Box<dyn Fn(&NodeEntry, usize, Duration, u64) -> (Outcome, Duration)>;

/// One marshal with its simulated nodes, clients, peers and rollout controller.
pub struct Simulation {
    pub marshal: Marshal,
    pub now: Duration,
    pub config: RolloutConfig,
    pub nodes: BTreeMap<NodeIx, NodeEntry>,
    pub node_behavior: NodeBehavior,
    /// Each vote cast: when, verdict, stage and build.
    pub votes: Vec<(Duration, Verdict, usize, Build)>,
    /// The `retry_after` of each push-back.
    pub pushed_back: Vec<Option<Duration>>,
    /// When the marshal asked discovery for a subscription.
    pub subscribe_times: Vec<Duration>,
    /// Messages to peers, with the addressee; `None` addresses all.
    pub peer_messages: Vec<(Option<usize>, Vec<u8>)>,
    /// Each pick sent: when, to which node, and the method.
    pub sent_picks: Vec<(Duration, NodeEntry, usize)>,
    in_flight: Vec<InFlightPick>,
    open_rpcs: BTreeMap<RpcIx, OpenRpc>,
    /// Each RPC offered: when, and its method.
    offered: Vec<(Duration, usize)>,
    /// When each RPC was answered ok.
    ok_times: Vec<Duration>,
    /// The rollout's state as last reported: build, stage, rollout state and exposure cap.
    stage: Option<(Build, usize, RolloutState, f64)>,
    next_rpc: RpcIx,
    /// State of the random number generator.
    random_state: u64,
    /// The number of distinct keys that RPCs carry; 0 for RPCs without keys.
    pub key_count: u64,
    /// The percentage of RPCs that fail at every node.
    pub failing_percent: u64,
    /// For each key, the newest build that has answered it, unless that build was rolled back since.
    newest_answered_build: BTreeMap<u64, Build>,
    /// FNV-1a hash over all actions so far, each with its time.
    pub action_hash: u64,
}

impl Simulation {
    /// Starts with `nodes` warm nodes of build 1, which is released.
    pub fn new(config: RolloutConfig, nodes: usize) -> Self {
        let mut sim = Simulation {
            marshal: Marshal::new(&config),
            now: ms(100_000),
            config,
            nodes: BTreeMap::new(),
            node_behavior: Box::new(|_, _, _, _| (Outcome::Ok, ms(60))),
            votes: Vec::new(),
            pushed_back: Vec::new(),
            subscribe_times: Vec::new(),
            peer_messages: Vec::new(),
            sent_picks: Vec::new(),
            in_flight: Vec::new(),
            open_rpcs: BTreeMap::new(),
            offered: Vec::new(),
            ok_times: Vec::new(),
            stage: None,
            next_rpc: 0,
            random_state: 1,
            key_count: 0,
            failing_percent: 0,
            newest_answered_build: BTreeMap::new(),
            action_hash: 0xcbf2_9ce4_8422_2325,
        };
        sim.report_stage(1, 2, RolloutState::Released, 1.0, VoteReply::Unsolicited);
        (0..nodes).for_each(|n| sim.list_node(n, 1, Readiness::Ready, None));
        sim
    }

    /// The next random number, 31 bits, from a linear congruential generator.
    pub fn next_random(&mut self) -> u64 {
        self.random_state =
            self.random_state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        self.random_state >> 33
    }

    /// Restarts the random number generator from `seed`.
    pub fn set_seed(&mut self, seed: u64) {
        self.random_state = seed;
    }

    /// Reports one new or changed node through discovery.
    pub fn list_node(&mut self, node: NodeIx, build: Build, readiness: Readiness, started: Option<Duration>) {
        let entry = NodeEntry {
            address_hash: node as u64,
            node,
            kind: node % self.config.kinds,
            power: 1.0,
            cell: node / 2,
            zone: node % 2,
            readiness,
            started,
            build,
        };
        self.nodes.insert(node, entry);
        self.deliver(vec![Event::Nodes { update: ListUpdate::Delta, nodes: vec![entry] }]);
    }

    /// Reports a full node list with the nodes that `keep` accepts, the first of them twice; the others are
    /// gone.
    pub fn list_only(&mut self, keep: impl Fn(NodeIx) -> bool) {
        self.nodes.values_mut().filter(|e| !keep(e.node)).for_each(|e| e.readiness = Readiness::Gone);
        let mut nodes: Vec<NodeEntry> = self.nodes.values().copied().filter(|e| keep(e.node)).collect();
        nodes.extend(nodes.first().copied());
        self.deliver(vec![Event::Nodes { update: ListUpdate::Full, nodes }]);
    }

    /// Reports the rollout's state; it takes effect unless `reply` says that the vote call failed.
    pub fn report_stage(
        &mut self, build: Build, stage: usize, state: RolloutState, cap: f64, reply: VoteReply,
    ) {
        if matches!(reply, VoteReply::Unsolicited | VoteReply::Counts) {
            self.stage = Some((build, stage, state, cap));
            if matches!(state, RolloutState::GoingBack | RolloutState::Withdrawn) {
                self.newest_answered_build.retain(|_, newest| *newest != build);
            }
        }
        self.deliver(vec![Event::Stage { build, stage, state, reply, cap, age: ms(0) }]);
    }

    /// A client sends an RPC with 1, 1.5 or 2 s to its deadline, depending on the method.
    pub fn offer_rpc(&mut self, method: usize) {
        self.offer_rpc_with_deadline(method, ms(1000 + 500 * (method as u64 % 3)), false);
    }

    /// A client sends an RPC with `time_left` to its deadline; `is_retry` marks it as the client's own retry.
    pub fn offer_rpc_with_deadline(&mut self, method: usize, time_left: Duration, is_retry: bool) {
        let rpc = self.next_rpc;
        self.next_rpc += 1;
        let key = (self.key_count > 0).then(|| 1 + self.next_random() % self.key_count);
        let fails_everywhere = self.failing_percent > 0 && self.next_random() % 100 < self.failing_percent;
        self.open_rpcs.insert(
            rpc,
            OpenRpc { method, key, fails_everywhere, deadline: self.now + time_left, picks: vec![] },
        );
        self.offered.push((self.now, method));
        let (tenant, work) = (None, None);
        self.deliver(vec![Event::Rpc { rpc, method, tenant, key, time_left, work, is_retry }]);
    }

    /// Advances time by `span` with `rate` RPCs a second, spread over all methods.
    pub fn run(&mut self, span: Duration, rate: u64) {
        let end = self.now + span;
        while self.now < end {
            self.tick(rate);
        }
    }

    /// Advances one tick of 20 ms with `rate` RPCs a second.
    pub fn tick(&mut self, rate: u64) {
        for _ in 0..rate / 50 + u64::from(self.next_random() % 50 < rate % 50) {
            let method = self.next_random() as usize % self.config.methods.len();
            self.offer_rpc(method);
        }
        self.advance_tick();
    }

    /// Advances one tick of 20 ms without new RPCs: ends the picks that are due, then fires the marshal's
    /// timer.
    pub fn advance_tick(&mut self) {
        self.now += ms(20);
        let now = self.now;
        let (due, remaining): (Vec<_>, Vec<_>) = self.in_flight.drain(..).partition(|s| s.ends_at <= now);
        self.in_flight = remaining;
        for sent in due {
            let InFlightPick { rpc, pick, entry, outcome, took, key, .. } = sent;
            if let Some(key) = key.filter(|_| outcome == Outcome::Ok) {
                let newest = self.newest_answered_build.entry(key).or_default();
                *newest = entry.build.max(*newest);
            }
            let is_open = self.open_rpcs.get_mut(&rpc).map(|o| o.picks[pick].1 = Some(outcome)).is_some();
            let done = !is_open || outcome == Outcome::Ok;
            if outcome == Outcome::Ok {
                self.ok_times.push(now);
                self.open_rpcs.remove(&rpc);
            }
            let (node, load) = (entry.node, Load::default());
            self.deliver(vec![Event::PickEnded { rpc, pick, node, outcome, took, done, load }]);
        }
        self.deliver(vec![Event::Timer { tag: 0 }]);
        let overdue = self.open_rpcs.iter().find(|(_, o)| now > o.deadline + ms(20));
        assert!(overdue.is_none(), "rule 1: an RPC got no answer within 20 ms of its deadline");
    }

    /// Hands events to the marshal, then checks and carries out the actions that it returns.
    pub fn deliver(&mut self, events: Vec<Event>) {
        for action in self.marshal.handle(self.now, events) {
            for byte in format!("{:?} {action:?}\n", self.now).bytes() {
                self.action_hash = (self.action_hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
            }
            match action {
                Action::Pick { rpc, node, within } => self.record_pick(rpc, node, within),
                Action::PushBack { rpc, retry_after } => {
                    let open = self.open_rpcs.remove(&rpc).expect("rule 1: an RPC was answered twice");
                    let may_have_run = open.picks.iter().any(|p| p.1.is_none_or(|o| !o.never_ran()));
                    let unsafe_method = self.config.methods[open.method].repeat == Repeat::NonIdempotent;
                    assert!(
                        !may_have_run || !unsafe_method,
                        "rule 2: a non-idempotent RPC that may have run was pushed back"
                    );
                    self.pushed_back.push(retry_after);
                }
                Action::Abort { rpc } => {
                    self.open_rpcs.remove(&rpc).expect("rule 1: an RPC was answered twice");
                }
                Action::Vote { verdict, stage, build } => self.votes.push((self.now, verdict, stage, build)),
                Action::Tell { to, text } => self.peer_messages.push((to, text)),
                Action::Subscribe(true) => self.subscribe_times.push(self.now),
                _ => {}
            }
        }
    }

    /// Checks a pick against the rules and schedules its end.
    fn record_pick(&mut self, rpc: RpcIx, node: NodeIx, within: Duration) {
        let (now, entry, random) = (self.now, self.nodes[&node], self.next_random());
        let open = self.open_rpcs.get_mut(&rpc).expect("rule 1: a pick was sent after the final answer");
        assert!(now < open.deadline, "rule 1: a pick was sent after the deadline");
        assert!(
            open.picks.iter().all(|p| p.1.is_some()),
            "rule 2: a second pick was sent while one is in flight"
        );
        assert!(
            open.picks.len() < self.config.limits.max_picks,
            "an RPC got more picks than the configured maximum"
        );
        let mut executed = open.picks.iter().filter(|p| p.1.is_some_and(|o| !o.never_ran()));
        match (self.config.methods[open.method].repeat, executed.next()) {
            (Repeat::NonIdempotent, Some(_)) => {
                panic!("rule 2: a non-idempotent RPC that may have run was sent again")
            }
            (Repeat::Tokened { window, .. }, Some(first)) => {
                assert!(
                    now < first.0 + window,
                    "rule 2: a tokened RPC was repeated after its deduplication window"
                )
            }
            _ => {}
        }
        assert_eq!(entry.readiness, Readiness::Ready, "rule 3: a pick was sent to a draining or gone node");
        let (method, deadline, key, fails_everywhere) =
            (open.method, open.deadline, open.key, open.fails_everywhere);
        open.picks.push((now, None));
        let pick = open.picks.len() - 1;
        self.sent_picks.push((now, entry, method));
        self.check_slow_start(&entry);
        self.check_exposure(&entry, method);
        self.check_one_way(&entry, key);
        let (outcome, took) = (self.node_behavior)(&entry, method, now, random);
        let (outcome, took) = if fails_everywhere { (Outcome::Error, ms(20)) } else { (outcome, took) };
        let limit = within.min(deadline - now);
        let (outcome, took) = if took > limit { (Outcome::Timeout, limit) } else { (outcome, took) };
        self.in_flight.push(InFlightPick { rpc, pick, entry, ends_at: now + took, outcome, took, key });
    }

    /// Rule 4: the slow-start budget of a cold node.
    fn check_slow_start(&self, entry: &NodeEntry) {
        let rules = &self.config.rules;
        let Some(started) = entry.started.filter(|&at| self.now < at + rules.warm_up) else { return };
        let in_window =
            |sent_pick: &&(Duration, NodeEntry, usize)| sent_pick.0 + rules.slow_start_window > self.now;
        let recent = self.sent_picks.iter().rev().take_while(in_window);
        let count = recent.filter(|s| s.1.node == entry.node && s.1.started == entry.started).count() as f64;
        let warmed = (self.now - started).as_secs_f64() / rules.warm_up.as_secs_f64();
        let capacity_part = rules.cold_start_part + (1.0 - rules.cold_start_part) * warmed;
        // A node's capacity is at most the rate of its ok answers over its best 3 s, and these are no more
        // than all ok answers of the last 15 s.
        let ok_count =
            self.ok_times.iter().rev().take_while(|&&at| at + ms(15_000) > self.now).count() as f64;
        let budget =
            rules.slow_start_multiple * capacity_part * rules.slow_start_window.as_secs_f64() * ok_count
                / 3.0;
        assert!(count <= budget.max(1.0), "rule 4: a cold node got {count} picks, its budget is {budget}");
    }

    /// Rule 5: exposure cap and guarded stages.
    fn check_exposure(&self, entry: &NodeEntry, method: usize) {
        let (build, stage, state, cap) = self.stage.expect("the rollout's state is reported at the start");
        let release = &self.config.release;
        let (stage, cap) = match entry.build {
            b if b > build => (0, release.exposure_caps[0]),
            b if b == build && state != RolloutState::Released => (stage, cap),
            _ => return,
        };
        assert!(cap > 0.0, "rule 5: a build with exposure cap 0 got a pick");
        let idempotent = self.config.methods[method].repeat == Repeat::Idempotent;
        assert!(
            stage >= release.guarded_stages || idempotent,
            "rule 5: a method that is not idempotent went to the build on trial in a guarded stage"
        );
        let window_start = self.now.saturating_sub(release.exposure_window);
        let in_scope = |m: usize| !release.exposure_by_method || m == method;
        let sent = self
            .sent_picks
            .iter()
            .filter(|s| s.0 > window_start && s.1.build == entry.build && in_scope(s.2))
            .count();
        let offered = self.offered.iter().filter(|t| t.0 > window_start && in_scope(t.1)).count();
        assert!(
            sent as f64 <= release.free_picks + cap * offered as f64,
            "rule 5: the build on trial got {sent} picks of {offered} RPCs"
        );
    }

    /// Rule 5: keys move to newer builds only.
    fn check_one_way(&self, entry: &NodeEntry, key: Option<u64>) {
        let Some((build, _, RolloutState::OnTrial | RolloutState::Released, _)) = self.stage else { return };
        let answered_by =
            key.and_then(|key| self.newest_answered_build.get(&key)).filter(|_| self.config.release.one_way);
        assert!(
            answered_by != Some(&build) || entry.build >= build,
            "rule 5: a key returned to an earlier build"
        );
    }

    /// Disconnects the client of the latest RPC with a pick in flight; the pick itself goes on.
    pub fn disconnect_client(&mut self) {
        let latest = self.in_flight.iter().rev().map(|s| s.rpc).find(|rpc| self.open_rpcs.contains_key(rpc));
        if let Some(rpc) = latest {
            self.open_rpcs.remove(&rpc);
            self.deliver(vec![Event::ClientLeft { rpc }]);
        }
    }

    /// The number of RPCs without a final answer.
    pub fn open_rpc_count(&self) -> usize {
        self.open_rpcs.len()
    }

    /// Whether the marshal has cast a vote with this verdict.
    pub fn has_voted(&self, verdict: Verdict) -> bool {
        self.votes.iter().any(|v| v.1 == verdict)
    }
}
