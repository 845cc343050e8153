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

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The configuration that most tests start from: three methods, one of each repeat kind, and a
/// vote-controlled rollout in three stages.
pub fn terms() -> RolloutTerms {
    let method = |repeat, utility| MethodTerms {
        repeat,
        soft_deadline: ms(600),
        stretch: 0.0,
        deadline: ms(2000),
        utility,
        late_utility: 0.0,
        streamed: false,
    };
    let tokened = Repeat::Tokened { group: Group::All, window: ms(1500) };
    RolloutTerms {
        seed: 7,
        marshal: 0,
        marshals: 2,
        zone: 0,
        ask_discovery: false,
        methods: vec![
            method(Repeat::Idempotent, 1.0),
            method(tokened, 2.0),
            method(Repeat::NonIdempotent, 3.0),
        ],
        tenants: vec![],
        over_share_utility: 0.0,
        warm_keys: false,
        kinds: 1,
        release: ReleaseTerms {
            control: Control::Votes,
            on_votes: 1,
            back_votes: 1,
            shares: vec![0.25, 0.5, 1.0],
            caps: vec![0.35, 0.7, 1.0],
            window: ms(2000),
            free: 2.0,
            by_method: false,
            guarded_stages: 0,
            one_way: false,
            in_place: false,
            bake: ms(1000),
            vote_life: ms(4000),
            vote_wait: ms(500),
            vote_rate: 50.0,
            flag_share: 0.0,
        },
        rules: RuleTerms {
            drain_grace: ms(500),
            cold_from: 0.4,
            warm_within: ms(4000),
            fall_multiple: 3.0,
            fall_window: ms(1000),
            ask_within: ms(10000),
            list_lease: None,
        },
        limits: LimitTerms {
            most_picks: 3,
            second_copies: false,
            cancel: true,
            probes: false,
            peers: true,
            idle_kept: ms(15_000),
            retry_after: Some(ms(1000)),
        },
    }
}

/// A pick that the simulated node has not ended yet.
struct Sent {
    rpc: RpcIx,
    pick: usize,
    entry: NodeEntry,
    /// When it ends, in simulated time.
    ends: Duration,
    outcome: Outcome,
    took: Duration,
    key: Option<u64>,
}

/// An RPC without a final answer.
struct Owed {
    method: usize,
    key: Option<u64>,
    /// Every node answers it with an error.
    bad: bool,
    until: Duration,
    /// When each pick was sent, and how it ended.
    picks: Vec<(Duration, Option<Outcome>)>,
}

/// How a node ends a pick, and how long that takes; called with the node, the method, the current time and a
/// random number.
pub type Behaviour = Box<dyn Fn(&NodeEntry, usize, Duration, u64) -> (Outcome, Duration)>;

/// One marshal with its simulated nodes, clients, peers and rollout controller.
pub struct World {
    pub marshal: Marshal,
    pub now: Duration,
    pub terms: RolloutTerms,
    pub nodes: BTreeMap<NodeIx, NodeEntry>,
    pub behave: Behaviour,
    /// Each vote cast: when, verdict, stage and build.
    pub votes: Vec<(Duration, Verdict, usize, Build)>,
    /// The `retry_after` of each push-back.
    pub pushed_back: Vec<Option<Duration>>,
    /// When the marshal asked discovery for a subscription.
    pub subscribed: Vec<Duration>,
    /// Messages to peers, with the addressee; `None` addresses all.
    pub told: Vec<(Option<usize>, Vec<u8>)>,
    /// Each pick sent: when, to which node, and the method.
    pub sends: Vec<(Duration, NodeEntry, usize)>,
    out: Vec<Sent>,
    owed: BTreeMap<RpcIx, Owed>,
    /// Each RPC offered: when, and its method.
    taken: Vec<(Duration, usize)>,
    /// When each RPC was answered ok.
    oks: Vec<Duration>,
    /// The rollout's state as last reported: build, stage, course and exposure cap.
    stage: Option<(Build, usize, Course, f64)>,
    next: RpcIx,
    /// State of the random number generator.
    die: u64,
    /// The number of distinct keys that RPCs carry; 0 for RPCs without keys.
    pub keys: u64,
    /// The percentage of RPCs that fail at every node.
    pub bad: u64,
    /// For each key, the newest build that has answered it, unless that build was rolled back since.
    crossed: BTreeMap<u64, Build>,
    /// FNV-1a hash over all actions so far, each with its time.
    pub stream: u64,
}

impl World {
    /// Starts with `nodes` warm nodes of build 1, which is released.
    pub fn new(terms: RolloutTerms, nodes: usize) -> Self {
        let mut world = World {
            marshal: Marshal::new(&terms),
            now: ms(100_000),
            terms,
            nodes: BTreeMap::new(),
            behave: Box::new(|_, _, _, _| (Outcome::Ok, ms(60))),
            votes: Vec::new(),
            pushed_back: Vec::new(),
            subscribed: Vec::new(),
            told: Vec::new(),
            sends: Vec::new(),
            out: Vec::new(),
            owed: BTreeMap::new(),
            taken: Vec::new(),
            oks: Vec::new(),
            stage: None,
            next: 0,
            die: 1,
            keys: 0,
            bad: 0,
            crossed: BTreeMap::new(),
            stream: 0xcbf2_9ce4_8422_2325,
        };
        world.tell(1, 2, Course::Released, 1.0, VoteReply::Unasked);
        (0..nodes).for_each(|n| world.list(n, 1, Readiness::Ready, None));
        world
    }

    /// The next random number, 31 bits, from a linear congruential generator.
    pub fn roll(&mut self) -> u64 {
        self.die = self.die.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        self.die >> 33
    }

    /// Restarts the random number generator from `seed`.
    pub fn seed(&mut self, seed: u64) {
        self.die = seed;
    }

    /// Reports one new or changed node through discovery.
    pub fn list(&mut self, node: NodeIx, build: Build, readiness: Readiness, started: Option<Duration>) {
        let entry = NodeEntry {
            name: node as u64,
            node,
            kind: node % self.terms.kinds,
            power: 1.0,
            cell: node / 2,
            zone: node % 2,
            readiness,
            started,
            build,
        };
        self.nodes.insert(node, entry);
        self.step(vec![Event::Nodes { scope: Scope::Delta, nodes: vec![entry] }]);
    }

    /// Reports a full node list with the nodes that `keep` accepts, the first of them twice; the others are
    /// gone.
    pub fn whole(&mut self, keep: impl Fn(NodeIx) -> bool) {
        self.nodes.values_mut().filter(|e| !keep(e.node)).for_each(|e| e.readiness = Readiness::Gone);
        let mut nodes: Vec<NodeEntry> = self.nodes.values().copied().filter(|e| keep(e.node)).collect();
        nodes.extend(nodes.first().copied());
        self.step(vec![Event::Nodes { scope: Scope::Full, nodes }]);
    }

    /// Reports the rollout's state; it takes effect unless `reply` says that the vote call failed.
    pub fn tell(&mut self, build: Build, stage: usize, course: Course, cap: f64, reply: VoteReply) {
        if matches!(reply, VoteReply::Unasked | VoteReply::Counts) {
            self.stage = Some((build, stage, course, cap));
            if matches!(course, Course::GoingBack | Course::Withdrawn) {
                self.crossed.retain(|_, met| *met != build);
            }
        }
        self.step(vec![Event::Stage { build, stage, course, reply, cap, age: ms(0) }]);
    }

    /// A client sends an RPC with 1, 1.5 or 2 s to its deadline, depending on the method.
    pub fn offer(&mut self, method: usize) {
        self.offer_in(method, ms(1000 + 500 * (method as u64 % 3)), false);
    }

    /// A client sends an RPC with `left` to its deadline; `repeated` marks it as the client's own retry.
    pub fn offer_in(&mut self, method: usize, left: Duration, repeated: bool) {
        let rpc = self.next;
        self.next += 1;
        let key = (self.keys > 0).then(|| 1 + self.roll() % self.keys);
        let bad = self.bad > 0 && self.roll() % 100 < self.bad;
        self.owed.insert(rpc, Owed { method, key, bad, until: self.now + left, picks: vec![] });
        self.taken.push((self.now, method));
        let (tenant, work) = (None, None);
        self.step(vec![Event::Rpc { rpc, method, tenant, key, left, work, repeated }]);
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
        for _ in 0..rate / 50 + u64::from(self.roll() % 50 < rate % 50) {
            let method = self.roll() as usize % self.terms.methods.len();
            self.offer(method);
        }
        self.pass();
    }

    /// Advances one tick of 20 ms without new RPCs: ends the picks that are due, then fires the marshal's
    /// timer.
    pub fn pass(&mut self) {
        self.now += ms(20);
        let now = self.now;
        let (due, out): (Vec<_>, Vec<_>) = self.out.drain(..).partition(|s| s.ends <= now);
        self.out = out;
        for sent in due {
            let Sent { rpc, pick, entry, outcome, took, key, .. } = sent;
            if let Some(key) = key.filter(|_| outcome == Outcome::Ok) {
                let met = self.crossed.entry(key).or_default();
                *met = entry.build.max(*met);
            }
            let open = self.owed.get_mut(&rpc).map(|o| o.picks[pick].1 = Some(outcome)).is_some();
            let done = !open || outcome == Outcome::Ok;
            if outcome == Outcome::Ok {
                self.oks.push(now);
                self.owed.remove(&rpc);
            }
            let (node, load) = (entry.node, Load::default());
            self.step(vec![Event::PickEnded { rpc, pick, node, outcome, took, done, load }]);
        }
        self.step(vec![Event::Timer { tag: 0 }]);
        let late = self.owed.iter().find(|(_, o)| now > o.until + ms(20));
        assert!(late.is_none(), "rule 1: an RPC got no answer within 20 ms of its deadline");
    }

    /// Hands events to the marshal, then checks and carries out the actions that it returns.
    pub fn step(&mut self, events: Vec<Event>) {
        for action in self.marshal.handle(self.now, events) {
            for byte in format!("{:?} {action:?}\n", self.now).bytes() {
                self.stream = (self.stream ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
            }
            match action {
                Action::Pick { rpc, node, within } => self.sent(rpc, node, within),
                Action::PushBack { rpc, retry_after } => {
                    let owed = self.owed.remove(&rpc).expect("rule 1: an RPC was answered twice");
                    let ran = owed.picks.iter().any(|p| p.1.is_none_or(|o| !o.never_ran()));
                    let unsafe_method = self.terms.methods[owed.method].repeat == Repeat::NonIdempotent;
                    assert!(
                        !ran || !unsafe_method,
                        "rule 2: a non-idempotent RPC that may have run was pushed back"
                    );
                    self.pushed_back.push(retry_after);
                }
                Action::Abort { rpc } => {
                    self.owed.remove(&rpc).expect("rule 1: an RPC was answered twice");
                }
                Action::Vote { verdict, stage, build } => self.votes.push((self.now, verdict, stage, build)),
                Action::Tell { to, text } => self.told.push((to, text)),
                Action::Subscribe(true) => self.subscribed.push(self.now),
                _ => {}
            }
        }
    }

    /// Checks a pick against the rules and schedules its end.
    fn sent(&mut self, rpc: RpcIx, node: NodeIx, within: Duration) {
        let (now, entry, die) = (self.now, self.nodes[&node], self.roll());
        let owed = self.owed.get_mut(&rpc).expect("rule 1: a pick was sent after the final answer");
        assert!(now < owed.until, "rule 1: a pick was sent after the deadline");
        assert!(
            owed.picks.iter().all(|p| p.1.is_some()),
            "rule 2: a second pick was sent while one is in flight"
        );
        assert!(
            owed.picks.len() < self.terms.limits.most_picks,
            "an RPC got more picks than the configured maximum"
        );
        let mut ran = owed.picks.iter().filter(|p| p.1.is_some_and(|o| !o.never_ran()));
        match (self.terms.methods[owed.method].repeat, ran.next()) {
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
        let (method, until, key, bad) = (owed.method, owed.until, owed.key, owed.bad);
        owed.picks.push((now, None));
        let pick = owed.picks.len() - 1;
        self.sends.push((now, entry, method));
        self.check_cold(&entry);
        self.check_exposure(&entry, method);
        self.check_one_way(&entry, key);
        let (outcome, took) = (self.behave)(&entry, method, now, die);
        let (outcome, took) = if bad { (Outcome::Error, ms(20)) } else { (outcome, took) };
        let limit = within.min(until - now);
        let (outcome, took) = if took > limit { (Outcome::Timeout, limit) } else { (outcome, took) };
        self.out.push(Sent { rpc, pick, entry, ends: now + took, outcome, took, key });
    }

    /// Rule 4.
    fn check_cold(&self, entry: &NodeEntry) {
        let rules = &self.terms.rules;
        let Some(started) = entry.started.filter(|&at| self.now < at + rules.warm_within) else { return };
        let lately = |at: &&(Duration, NodeEntry, usize)| at.0 + rules.fall_window > self.now;
        let same = self.sends.iter().rev().take_while(lately);
        let count = same.filter(|s| s.1.node == entry.node && s.1.started == entry.started).count() as f64;
        let grown = (self.now - started).as_secs_f64() / rules.warm_within.as_secs_f64();
        let present = rules.cold_from + (1.0 - rules.cold_from) * grown;
        // A node's capacity is at most the rate of its ok answers over its best 3 s, and these are no more
        // than all ok answers of the last 15 s.
        let oks = self.oks.iter().rev().take_while(|&&at| at + ms(15_000) > self.now).count() as f64;
        let most = rules.fall_multiple * present * rules.fall_window.as_secs_f64() * oks / 3.0;
        assert!(count <= most.max(1.0), "rule 4: a cold node got {count} picks, its budget is {most}");
    }

    /// Rule 5: exposure cap and guarded stages.
    fn check_exposure(&self, entry: &NodeEntry, method: usize) {
        let (build, stage, course, cap) = self.stage.expect("the rollout's state is reported at the start");
        let release = &self.terms.release;
        let (stage, cap) = match entry.build {
            b if b > build => (0, release.caps[0]),
            b if b == build && course != Course::Released => (stage, cap),
            _ => return,
        };
        assert!(cap > 0.0, "rule 5: a build with exposure cap 0 got a pick");
        let safe = self.terms.methods[method].repeat == Repeat::Idempotent;
        assert!(
            stage >= release.guarded_stages || safe,
            "rule 5: a method that is not idempotent went to the build on trial in a guarded stage"
        );
        let since = self.now.saturating_sub(release.window);
        let counts = |m: usize| !release.by_method || m == method;
        let sent =
            self.sends.iter().filter(|s| s.0 > since && s.1.build == entry.build && counts(s.2)).count();
        let taken = self.taken.iter().filter(|t| t.0 > since && counts(t.1)).count();
        assert!(
            sent as f64 <= release.free + cap * taken as f64,
            "rule 5: the build on trial got {sent} picks of {taken} RPCs"
        );
    }

    /// Rule 5: keys move to newer builds only.
    fn check_one_way(&self, entry: &NodeEntry, key: Option<u64>) {
        let Some((build, _, Course::OnTrial | Course::Released, _)) = self.stage else { return };
        let met = key.and_then(|key| self.crossed.get(&key)).filter(|_| self.terms.release.one_way);
        assert!(met != Some(&build) || entry.build >= build, "rule 5: a key returned to an earlier build");
    }

    /// Disconnects the client of the latest RPC with a pick in flight; the pick itself goes on.
    pub fn leave(&mut self) {
        let out = self.out.iter().rev().map(|s| s.rpc).find(|rpc| self.owed.contains_key(rpc));
        if let Some(rpc) = out {
            self.owed.remove(&rpc);
            self.step(vec![Event::ClientLeft { rpc }]);
        }
    }

    /// The number of RPCs without a final answer.
    pub fn owing(&self) -> usize {
        self.owed.len()
    }

    /// Whether the marshal has cast a vote with this verdict.
    pub fn voted(&self, verdict: Verdict) -> bool {
        self.votes.iter().any(|v| v.1 == verdict)
    }
}
