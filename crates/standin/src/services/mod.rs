//! Fakes for tests with several services: one node list and one rollout controller for all services, nodes of
//! each, and clients. A test drives them by calls, and all events go into one trace for the checker. They use
//! threads and standard library sockets and share no code with the marshals.

mod client;
mod http;
mod servers;

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ivydrift_audit::trace::{Event, Limits, Line, ProcessEvent, RolloutState, State};
use ivydrift_audit::{Auditor, Report};

pub use client::{Reply, Request};

/// Zone names, by index.
pub const ZONES: [&str; 4] = ["a", "b", "c", "d"];

/// How the node list answers requests for a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListBehavior {
    Normal,
    /// It never answers, and keeps the connection open.
    Silent,
    /// It sends half of the body, then closes the connection.
    Truncated,
    /// It sends half of the body, and keeps the connection open.
    Stalled,
    /// It answers after this delay.
    Slow(Duration),
}

/// How a node handles RPCs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeBehavior {
    Answers,
    /// It does the work, and closes the connection without an answer.
    Breaks,
}

/// The properties of a node.
#[derive(Clone, Copy, Debug)]
pub struct NodeConfig {
    pub build: u32,
    pub zone: usize,
    /// How long each RPC takes, which is also its cost.
    pub work: Duration,
    /// Seconds of work that it does in a second when warm.
    pub capacity: f64,
    /// It starts cold; otherwise it counts as long running.
    pub cold: bool,
    /// Its address; `None` for a free port.
    pub at: Option<SocketAddr>,
}

impl Default for NodeConfig {
    fn default() -> Self {
        NodeConfig { build: 1, zone: 0, work: Duration::from_millis(5), capacity: 1.0, cold: false, at: None }
    }
}

/// A request to the node list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListRequest {
    pub at: Duration,
    pub marshal: u32,
    pub service: String,
    pub index: u64,
}

/// A vote received by the rollout controller.
#[derive(Clone, Debug, PartialEq)]
pub struct Vote {
    pub marshal: u32,
    pub service: String,
    pub verdict: String,
    pub build: u32,
}

/// An RPC received by a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Got {
    pub at: Duration,
    pub node: u32,
    pub build: u32,
    pub marshal: u32,
    pub id: u64,
}

/// Build, stage, course and cap of a rollout.
type StageState = (u32, u32, RolloutState, f64);

struct Service {
    /// Versions of the node list and of the rollout state.
    index: [u64; 2],
    rollout: StageState,
    /// When the rollout state was set.
    rollout_since: Instant,
    manner: ListBehavior,
}

struct Node {
    service: String,
    plan: NodeConfig,
    addr: SocketAddr,
    /// Start time as Unix time, if the node list shows it.
    started_ms: Option<u64>,
    state: State,
    behavior: NodeBehavior,
    server: Arc<servers::Server>,
    /// Connections accepted since it started.
    connections: usize,
}

/// The state of all fakes.
#[derive(Default)]
struct Environment {
    lines: Vec<Line>,
    services: HashMap<String, Service>,
    nodes: Vec<Node>,
    /// By marshal and service: the node states it was told.
    told_nodes: HashMap<(u32, String), BTreeMap<u32, State>>,
    /// By marshal and service: the rollout state it was told.
    told_rollouts: HashMap<(u32, String), StageState>,
    questions: Vec<ListRequest>,
    votes: Vec<Vote>,
    got: Vec<Got>,
    /// Open long polls of the node list, by marshal and service.
    open_polls: HashMap<(u32, String), usize>,
    /// When each token was first seen.
    tokens: HashMap<u64, Instant>,
    last_id: u64,
}

/// State shared by all threads.
struct Shared {
    started: Instant,
    law: Limits,
    /// The service of requests that name none.
    home_service: String,
    env: Mutex<Environment>,
    changed: Condvar,
    stopped: AtomicBool,
}

impl Shared {
    /// Runs a call under the lock, with the time for its trace lines.
    fn with<T>(&self, call: impl FnOnce(&mut Environment, Duration) -> T) -> T {
        let mut env = self.env.lock().unwrap();
        let now = self.started.elapsed();
        call(&mut env, now)
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }
}

impl Environment {
    fn record(&mut self, now: Duration, service: &str, seen: Event) {
        self.lines.push(Line { t: now.as_micros() as u64, service: service.to_owned(), seen });
    }

    fn bump_list_version(&mut self, service: &str) {
        if let Some(entry) = self.services.get_mut(service) {
            entry.index[0] += 1;
        }
    }
}

/// Binds an address. One that was just closed is free once its accepting thread has ended, so this retries for two
/// seconds.
fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let by = Instant::now() + Duration::from_secs(2);
    loop {
        match TcpListener::bind(addr) {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && Instant::now() < by => {
                std::thread::sleep(Duration::from_millis(20));
            }
            bound => return bound,
        }
    }
}

/// The running fakes; they stop when this is dropped.
pub struct MultiServiceFakes {
    shared: Arc<Shared>,
    core_servers: Vec<Arc<servers::Server>>,
    pub node_list: SocketAddr,
    pub rollout_controller: SocketAddr,
}

impl MultiServiceFakes {
    /// Starts a node list and a rollout controller. `home_service`: the `places.service` of the marshals, which
    /// their requests to the rollout controller do not name.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub fn new(law: Limits, home_service: &str) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            started: Instant::now(),
            law: law.clone(),
            home_service: home_service.to_owned(),
            env: Mutex::default(),
            changed: Condvar::new(),
            stopped: AtomicBool::new(false),
        });
        shared.with(|env, now| env.record(now, "", Event::Law(law)));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let list = servers::open(&shared, TcpListener::bind(any)?, servers::Role::List)?;
        let controller = servers::open(&shared, TcpListener::bind(any)?, servers::Role::Controller)?;
        let (node_list, rollout_controller) = (list.addr, controller.addr);
        Ok(MultiServiceFakes { shared, core_servers: vec![list, controller], node_list, rollout_controller })
    }

    fn with<T>(&self, call: impl FnOnce(&mut Environment, Duration) -> T) -> T {
        let result = self.shared.with(call);
        self.shared.changed.notify_all();
        result
    }

    /// Adds a service without nodes, with build 1 released long ago.
    pub fn add(&self, service: &str) {
        let entry = || Service {
            index: [1, 1],
            rollout: (1, 2, RolloutState::Released, 1.0),
            rollout_since: self.shared.started,
            manner: ListBehavior::Normal,
        };
        self.with(|env, _| _ = env.services.entry(service.to_owned()).or_insert_with(entry));
    }

    /// Starts a node and returns its number. The service is added if it is unknown.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub fn start_node(&self, service: &str, plan: NodeConfig) -> io::Result<u32> {
        self.add(service);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = bind(plan.at.unwrap_or(any))?;
        let number = self.with(|env, _| env.nodes.len() as u32);
        let server = servers::open(&self.shared, listener, servers::Role::Node(number))?;
        let (addr, service) = (server.addr, service.to_owned());
        let (state, behavior, connections, started_ms) = (State::Gone, NodeBehavior::Answers, 0, None);
        self.with(|env, _| {
            env.nodes.push(Node { service, plan, addr, started_ms, state, behavior, server, connections });
        });
        self.publish(number);
        Ok(number)
    }

    /// Adds a listening node to the node list.
    fn publish(&self, number: u32) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.with(|env, now| {
            let node = &mut env.nodes[number as usize];
            (node.state, node.started_ms) = (State::Ready, None);
            let (plan, service) = (node.plan, node.service.clone());
            if plan.cold {
                node.started_ms = Some(unix.as_millis() as u64);
                let (build, capacity) = (plan.build, plan.capacity);
                env.record(now, &service, Event::Up { node: number, build, capacity });
            }
            env.bump_list_version(&service);
        });
    }

    /// Marks a node as draining in the node list.
    pub fn drain_node(&self, node: u32) {
        self.with(|env, _| {
            env.nodes[node as usize].state = State::Draining;
            let service = env.nodes[node as usize].service.clone();
            env.bump_list_version(&service);
        });
    }

    /// Stops a node, breaks its connections and removes it from the node list.
    pub fn stop_node(&self, node: u32) {
        let server = self.with(|env, now| {
            env.nodes[node as usize].state = State::Gone;
            let (server, service) =
                (env.nodes[node as usize].server.clone(), env.nodes[node as usize].service.clone());
            env.record(now, &service, Event::Down { node });
            env.bump_list_version(&service);
            server
        });
        server.shut();
    }

    /// Restarts a stopped node at the same address.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn restart_node(&self, node: u32, plan: NodeConfig) -> io::Result<()> {
        let addr = self.with(|env, _| env.nodes[node as usize].addr);
        let server = servers::open(&self.shared, bind(addr)?, servers::Role::Node(node))?;
        self.with(|env, _| {
            let node = &mut env.nodes[node as usize];
            (node.plan, node.server, node.connections) = (plan, server, 0);
        });
        self.publish(node);
        Ok(())
    }

    /// Sets how a node handles RPCs.
    pub fn set_behavior(&self, node: u32, behavior: NodeBehavior) {
        self.with(|env, _| env.nodes[node as usize].behavior = behavior);
    }

    /// Sets how long a node takes for an RPC.
    pub fn set_work(&self, node: u32, work: Duration) {
        self.with(|env, _| env.nodes[node as usize].plan.work = work);
    }

    /// The address of a node.
    pub fn addr(&self, node: u32) -> SocketAddr {
        self.with(|env, _| env.nodes[node as usize].addr)
    }

    /// Connections that a node has accepted since it started.
    pub fn connections(&self, node: u32) -> usize {
        self.with(|env, _| env.nodes[node as usize].connections)
    }

    /// Sets the rollout state of a service.
    pub fn set_rollout_state(
        &self, service: &str, (build, stage, course, cap): (u32, u32, RolloutState, f64),
    ) {
        self.with(|env, _| {
            if let Some(entry) = env.services.get_mut(service) {
                (entry.rollout, entry.rollout_since) = ((build, stage, course, cap), Instant::now());
                entry.index[1] += 1;
            }
        });
    }

    /// Sets how the node list answers requests for a service.
    pub fn set_list_behavior(&self, service: &str, manner: ListBehavior) {
        self.with(|env, _| env.services.get_mut(service).into_iter().for_each(|entry| entry.manner = manner));
    }

    /// Records what happens to a marshal's process. Call it before the process is killed or started.
    pub fn record_process_event(&self, marshal: u32, turn: ProcessEvent) {
        self.with(|env, now| {
            if turn == ProcessEvent::Started {
                env.told_nodes.retain(|key, _| key.0 != marshal);
                env.told_rollouts.retain(|key, _| key.0 != marshal);
            }
            env.record(now, "", Event::Marshal { marshal, turn });
        });
    }

    /// Time since the fakes started.
    pub fn now(&self) -> Duration {
        self.shared.started.elapsed()
    }

    /// All requests to the node list so far.
    pub fn list_requests(&self) -> Vec<ListRequest> {
        self.with(|env, _| env.questions.clone())
    }

    /// All votes so far.
    pub fn votes(&self) -> Vec<Vote> {
        self.with(|env, _| env.votes.clone())
    }

    /// All RPCs received by nodes of a service.
    pub fn received_rpcs(&self, service: &str) -> Vec<Got> {
        let of = |env: &Environment, got: &Got| env.nodes[got.node as usize].service == service;
        self.with(|env, _| env.got.iter().filter(|got| of(env, got)).copied().collect())
    }

    /// Services whose node list a marshal is polling now.
    pub fn polled_services(&self, marshal: u32) -> Vec<String> {
        let polled_services = |env: &mut Environment, _| {
            let polled = env.open_polls.iter().filter(|w| w.0 .0 == marshal && *w.1 > 0);
            polled.map(|w| w.0 .1.clone()).collect()
        };
        self.with(polled_services)
    }

    /// The trace so far.
    pub fn lines(&self) -> Vec<Line> {
        self.with(|env, _| env.lines.clone())
    }

    /// Checks the trace so far.
    ///
    /// # Errors
    /// When the trace is malformed.
    pub fn report(&self) -> Result<Report, String> {
        let mut auditor = Auditor::new();
        self.lines().iter().try_for_each(|line| auditor.take(line))?;
        Ok(auditor.finish())
    }
}

impl Drop for MultiServiceFakes {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Release);
        self.shared.changed.notify_all();
        let nodes = self.with(|env, _| env.nodes.iter().map(|n| n.server.clone()).collect::<Vec<_>>());
        self.core_servers.iter().chain(&nodes).for_each(|server| server.shut());
    }
}
