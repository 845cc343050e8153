//! Simulates many shipped modules of one service in virtual time, driven as their marshals would drive them:
//! RPCs arrive at random marshals, nodes answer after some milliseconds, and peers' datagrams take one
//! millisecond.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use ivydrift_policy::port::*;
use ivydrift_policy::Marshal;
use ivydrift_wire::peer::MAX_POLICY_BYTES;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::core_harness::{config, SERVICE_TIME_MS, START};
use super::{Error, ZONES};

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Number of modules that run, and of marshals in their config.
    pub modules: usize,
    pub marshals: usize,
    pub nodes: usize,
    pub methods: usize,
    /// RPCs per second over all modules.
    pub rate: f64,
    pub peers: bool,
    /// Votes needed to promote a build and to roll it back.
    pub votes: [usize; 2],
    pub seed: u64,
}

enum SimEvent {
    Rpc,
    Ended { module: usize, rpc: RpcIx, pick: usize, node: NodeIx, took: Duration, late: bool },
    Wake { module: usize, tag: u64 },
    Peer { to: usize, from: usize, text: Vec<u8> },
}

struct Scheduled(Duration, u64, SimEvent);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// Observations of all modules, in order of time.
#[derive(Default)]
pub struct Observations {
    pub rpcs: Vec<Duration>,
    /// Each pick: time, module, node and the node's build.
    pub picks: Vec<(Duration, usize, NodeIx, Build)>,
    pub ok: u64,
    pub pushed_back: Vec<Duration>,
    pub aborted: u64,
    pub votes: Vec<(Duration, usize, Verdict)>,
    /// Picks that ended, and those of them that did not end ok, by build.
    pub ended: HashMap<Build, [u32; 2]>,
    /// Requests to the node list.
    pub list_requests: Vec<Duration>,
    /// Datagrams to peers, their bytes, and the number of texts too long for a datagram.
    pub peer_datagrams: [u64; 3],
}

/// Defaults of rule 4 (slow start): share of the capacity at the start, seconds until warm, multiple of the
/// capacity, window in seconds.
pub const SLOW_START: [f64; 4] = [0.4, 5.0, 3.0, 1.0];

/// Share of its capacity that a node has `age` seconds after its start.
pub fn capacity_share(age: f64) -> f64 {
    SLOW_START[0] + (1.0 - SLOW_START[0]) * (age / SLOW_START[1]).clamp(0.0, 1.0)
}

/// Simulated modules, nodes and node list.
pub struct PolicyFleet {
    pub now: Duration,
    pub observed: Observations,
    pub entries: Vec<NodeEntry>,
    /// Share of the RPCs that fail, by build.
    pub failure_rates: HashMap<Build, f64>,
    /// Whether the node list answers.
    pub list_up: bool,
    pub rate: f64,
    /// RPCs per second of a warm node, which processes them one by one; `None`: unlimited.
    pub capacity: Option<f64>,
    /// Time at which each node finishes its queue.
    busy_until: Vec<Duration>,
    setup: Setup,
    modules: Vec<Marshal>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    seq: u64,
    /// Number of picks of each RPC in flight.
    in_flight: HashMap<(usize, RpcIx), usize>,
    next_rpc: RpcIx,
    rng: StdRng,
}

impl PolicyFleet {
    /// Creates the modules and nodes. All nodes run build 1, which has been released for a long time.
    ///
    /// # Errors
    /// If the config is invalid.
    pub fn new(setup: Setup) -> Result<PolicyFleet, Error> {
        let base = config(setup.methods, 0)?.rollout;
        let module = |nth: usize| {
            // Fewer modules than marshals represent all of them, with evenly spaced marshal numbers.
            let (mut own, marshal) = (base.clone(), nth * setup.marshals / setup.modules);
            (own.marshal, own.marshals, own.zone) = (marshal, setup.marshals, marshal % ZONES);
            own.seed = marshal as u64 + 1 + (setup.seed << 32);
            own.limits.peers = setup.peers;
            [own.release.promote_votes, own.release.rollback_votes] = setup.votes;
            Marshal::new(&own)
        };
        let entry = |node| NodeEntry {
            node,
            address_hash: node as u64,
            kind: 0,
            power: 1.0,
            cell: 0,
            zone: node % ZONES,
            readiness: Readiness::Ready,
            started: None,
            build: 1,
        };
        let mut fleet = PolicyFleet {
            now: START,
            observed: Observations::default(),
            entries: (0..setup.nodes).map(entry).collect(),
            failure_rates: HashMap::new(),
            list_up: true,
            rate: setup.rate,
            capacity: None,
            busy_until: vec![Duration::ZERO; setup.nodes],
            modules: (0..setup.modules).map(module).collect(),
            queue: BinaryHeap::new(),
            seq: 0,
            in_flight: HashMap::new(),
            next_rpc: 0,
            rng: StdRng::seed_from_u64(setup.seed),
            setup,
        };
        let full_list = Event::Nodes { update: ListUpdate::Full, nodes: fleet.entries.clone() };
        let released = stage_event(1, 2, RolloutState::Released, 1.0, Duration::from_secs(90));
        // Each module starts at its own phase of the tick.
        for module in 0..setup.modules {
            fleet.now = START + Duration::from_micros(fleet.rng.random_range(0..100_000));
            fleet.deliver(module, vec![released.clone(), full_list.clone()]);
        }
        fleet.now = START + Duration::from_millis(100);
        let first = fleet.now + fleet.next_interval();
        fleet.schedule(first, SimEvent::Rpc);
        Ok(fleet)
    }

    fn schedule(&mut self, at: Duration, ev: SimEvent) {
        self.seq += 1;
        self.queue.push(Reverse(Scheduled(at, self.seq, ev)));
    }

    fn next_interval(&mut self) -> Duration {
        let uniform: f64 = self.rng.random_range(1e-12..1.0);
        Duration::from_secs_f64((-uniform.ln() / self.rate).min(1e9))
    }

    /// Time until the node answers one more RPC from now on. Cancelled RPCs stay in its queue.
    fn response_time(&mut self, node: NodeIx) -> Duration {
        let way = Duration::from_secs_f64(self.rng.random_range(SERVICE_TIME_MS) / 1000.0);
        let Some(capacity) = self.capacity else { return way };
        let age = self.entries[node].started.map_or(f64::MAX, |at| (self.now - at).as_secs_f64());
        let work = Duration::from_secs_f64(1.0 / (capacity * capacity_share(age)));
        self.busy_until[node] = self.busy_until[node].max(self.now) + work;
        way + self.busy_until[node] - self.now
    }

    /// Delivers the event to all modules at once.
    pub fn deliver_to_all(&mut self, event: &Event) {
        (0..self.modules.len()).for_each(|module| self.deliver(module, vec![event.clone()]));
    }

    /// Restarts these nodes now with this build.
    pub fn restart(&mut self, nodes: std::ops::Range<NodeIx>, build: Build) {
        let now = self.now;
        self.entries[nodes.clone()].iter_mut().for_each(|e| (e.started, e.build) = (Some(now), build));
        let nodes = self.entries[nodes].to_vec();
        self.deliver_to_all(&Event::Nodes { update: ListUpdate::Delta, nodes });
    }

    fn deliver(&mut self, module: usize, events: Vec<Event>) {
        for action in self.modules[module].handle(self.now, events) {
            match action {
                Action::Pick { rpc, node, within } => {
                    let Some(picks) = self.in_flight.get_mut(&(module, rpc)) else { continue };
                    let pick = *picks;
                    *picks += 1;
                    self.observed.picks.push((self.now, module, node, self.entries[node].build));
                    let answer = self.response_time(node);
                    let (took, late) = (answer.min(within), answer > within);
                    self.schedule(self.now + took, SimEvent::Ended { module, rpc, pick, node, took, late });
                }
                Action::PushBack { rpc, .. } => {
                    self.in_flight.remove(&(module, rpc));
                    self.observed.pushed_back.push(self.now);
                }
                Action::Abort { rpc } => {
                    self.in_flight.remove(&(module, rpc));
                    self.observed.aborted += 1;
                }
                Action::Wake { after, tag } => {
                    self.schedule(self.now + after, SimEvent::Wake { module, tag })
                }
                Action::Tell { to, text } => {
                    self.observed.peer_datagrams[0] += 1;
                    self.observed.peer_datagrams[1] += text.len() as u64;
                    // Too long a text is never sent: `wire::peer::write` returns none for it.
                    if text.len() > MAX_POLICY_BYTES {
                        self.observed.peer_datagrams[2] += 1;
                    } else if let Some(to) = to.filter(|to| *to < self.modules.len()) {
                        let at = self.now + Duration::from_millis(1);
                        self.schedule(at, SimEvent::Peer { to, from: module, text });
                    }
                }
                Action::Vote { verdict, .. } => self.observed.votes.push((self.now, module, verdict)),
                Action::Subscribe(true) | Action::FetchList => {
                    self.observed.list_requests.push(self.now);
                    let update = if self.list_up { ListUpdate::Delta } else { ListUpdate::Failed };
                    self.deliver(module, vec![Event::Nodes { update, nodes: vec![] }]);
                }
                _ => {}
            }
        }
    }

    /// Runs for `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.queue.peek().is_some_and(|h| h.0 .0 <= end) {
            let Some(Reverse(Scheduled(at, _, ev))) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            match ev {
                SimEvent::Rpc => {
                    let module = self.rng.random_range(0..self.modules.len());
                    let method = self.rng.random_range(0..self.setup.methods);
                    self.next_rpc = self.next_rpc.wrapping_add(1);
                    let (rpc, left) = (self.next_rpc, Duration::from_secs(3));
                    self.in_flight.insert((module, rpc), 0);
                    self.observed.rpcs.push(self.now);
                    let (tenant, key, work, repeated) = (None, None, None, false);
                    self.deliver(
                        module,
                        vec![Event::Rpc {
                            rpc,
                            method,
                            tenant,
                            key,
                            time_left: left,
                            work,
                            is_retry: repeated,
                        }],
                    );
                    let next = self.now + self.next_interval();
                    self.schedule(next, SimEvent::Rpc);
                }
                SimEvent::Ended { module, rpc, pick, node, took, late } => {
                    let failure_rate =
                        self.failure_rates.get(&self.entries[node].build).copied().unwrap_or(0.0);
                    let failed = failure_rate > 0.0 && self.rng.random_range(0.0..1.0) < failure_rate;
                    let outcome = match (late, failed) {
                        (true, _) => Outcome::Timeout,
                        (_, true) => Outcome::Error,
                        _ => Outcome::Ok,
                    };
                    let failed = failed || late;
                    let ended = self.observed.ended.entry(self.entries[node].build).or_default();
                    *ended = [ended[0] + 1, ended[1] + u32::from(failed)];
                    if !failed && self.in_flight.remove(&(module, rpc)).is_some() {
                        self.observed.ok += 1;
                    }
                    let (done, load) = (!failed, Load::default());
                    let ended = Event::PickEnded { rpc, pick, node, outcome, took, done, load };
                    self.deliver(module, vec![ended]);
                }
                SimEvent::Wake { module, tag } => self.deliver(module, vec![Event::Timer { tag }]),
                SimEvent::Peer { to, from, text } => {
                    self.deliver(to, vec![Event::Peer { from, payload: text }])
                }
            }
        }
        self.now = end;
    }
}

/// An event that reports a rollout stage.
pub fn stage_event(build: Build, stage: usize, course: RolloutState, cap: f64, age: Duration) -> Event {
    Event::Stage { build, stage, state: course, reply: VoteReply::Unsolicited, cap, age }
}

/// The most events within one span; `times` are sorted.
pub fn max_within(times: &[Duration], span: Duration) -> usize {
    let mut first = 0;
    let counts = times.iter().enumerate().map(|(i, at)| {
        while times[first] + span <= *at {
            first += 1;
        }
        i + 1 - first
    });
    counts.max().unwrap_or(0)
}
