//! Fakes for tests with several services: one node list and one rollout controller for all services, nodes of
//! each, and clients. A test drives them by calls, and all events go into one trace for the checker. They use
//! threads and standard library sockets and share no code with the marshals.

mod client;
mod http;
mod served;

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ivydrift_audit::trace::{Course, Law, Line, Seen, State, Turn};
use ivydrift_audit::{Auditor, Report};

pub use client::{Ask, Reply};

/// Zone names, by index.
pub const ZONES: [&str; 4] = ["a", "b", "c", "d"];

/// How the node list answers requests for a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    Fine,
    /// It never answers, and keeps the connection open.
    Silent,
    /// It sends half of the body, then closes the connection.
    Torn,
    /// It sends half of the body, and keeps the connection open.
    Stuck,
    /// It answers after this delay.
    Slow(Duration),
}

/// How a node handles RPCs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Deed {
    Answers,
    /// It does the work, and closes the connection without an answer.
    Breaks,
}

/// The properties of a node.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
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

impl Default for Plan {
    fn default() -> Self {
        Plan { build: 1, zone: 0, work: Duration::from_millis(5), capacity: 1.0, cold: false, at: None }
    }
}

/// A request to the node list.
#[derive(Clone, Debug, PartialEq)]
pub struct Question {
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
type News = (u32, u32, Course, f64);

struct Service {
    /// Versions of the node list and of the rollout state.
    index: [u64; 2],
    news: News,
    /// When the rollout state was set.
    since: Instant,
    manner: Manner,
}

struct Node {
    service: String,
    plan: Plan,
    addr: SocketAddr,
    /// Start time as Unix time, if the node list shows it.
    started_ms: Option<u64>,
    state: State,
    deed: Deed,
    door: Arc<served::Door>,
    /// Connections accepted since it started.
    connections: usize,
}

/// The state of all fakes.
#[derive(Default)]
struct Town {
    lines: Vec<Line>,
    services: HashMap<String, Service>,
    nodes: Vec<Node>,
    /// By marshal and service: the node states it was told.
    told: HashMap<(u32, String), BTreeMap<u32, State>>,
    /// By marshal and service: the rollout state it was told.
    newsed: HashMap<(u32, String), News>,
    questions: Vec<Question>,
    votes: Vec<Vote>,
    got: Vec<Got>,
    /// Open long polls of the node list, by marshal and service.
    watches: HashMap<(u32, String), usize>,
    /// When each token was first seen.
    tokens: HashMap<u64, Instant>,
    ids: u64,
}

/// State shared by all threads.
struct Shared {
    zero: Instant,
    law: Law,
    /// The service of requests that name none.
    home: String,
    town: Mutex<Town>,
    changed: Condvar,
    over: AtomicBool,
}

impl Shared {
    /// Runs a call under the lock, with the time for its trace lines.
    fn with<T>(&self, call: impl FnOnce(&mut Town, Duration) -> T) -> T {
        let mut town = self.town.lock().unwrap();
        let now = self.zero.elapsed();
        call(&mut town, now)
    }

    fn over(&self) -> bool {
        self.over.load(Ordering::Acquire)
    }
}

impl Town {
    fn say(&mut self, now: Duration, service: &str, seen: Seen) {
        self.lines.push(Line { t: now.as_micros() as u64, service: service.to_owned(), seen });
    }

    fn change_list(&mut self, service: &str) {
        if let Some(one) = self.services.get_mut(service) {
            one.index[0] += 1;
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
pub struct Services {
    shared: Arc<Shared>,
    doors: Vec<Arc<served::Door>>,
    pub node_list: SocketAddr,
    pub release_desk: SocketAddr,
}

impl Services {
    /// Starts a node list and a rollout controller. `home`: the `places.service` of the marshals, which their
    /// requests to the rollout controller do not name.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub fn new(law: Law, home: &str) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            zero: Instant::now(),
            law: law.clone(),
            home: home.to_owned(),
            town: Mutex::default(),
            changed: Condvar::new(),
            over: AtomicBool::new(false),
        });
        shared.with(|town, now| town.say(now, "", Seen::Law(law)));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let list = served::open(&shared, TcpListener::bind(any)?, served::Role::List)?;
        let desk = served::open(&shared, TcpListener::bind(any)?, served::Role::Desk)?;
        let (node_list, release_desk) = (list.addr, desk.addr);
        Ok(Services { shared, doors: vec![list, desk], node_list, release_desk })
    }

    fn with<T>(&self, call: impl FnOnce(&mut Town, Duration) -> T) -> T {
        let result = self.shared.with(call);
        self.shared.changed.notify_all();
        result
    }

    /// Adds a service without nodes, with build 1 released long ago.
    pub fn add(&self, service: &str) {
        let one = || Service {
            index: [1, 1],
            news: (1, 2, Course::Released, 1.0),
            since: self.shared.zero,
            manner: Manner::Fine,
        };
        self.with(|town, _| _ = town.services.entry(service.to_owned()).or_insert_with(one));
    }

    /// Starts a node and returns its number. The service is added if it is unknown.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub fn start(&self, service: &str, plan: Plan) -> io::Result<u32> {
        self.add(service);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = bind(plan.at.unwrap_or(any))?;
        let number = self.with(|town, _| town.nodes.len() as u32);
        let door = served::open(&self.shared, listener, served::Role::Node(number))?;
        let (addr, service) = (door.addr, service.to_owned());
        let (state, deed, connections, started_ms) = (State::Gone, Deed::Answers, 0, None);
        self.with(|town, _| {
            town.nodes.push(Node { service, plan, addr, started_ms, state, deed, door, connections });
        });
        self.show(number);
        Ok(number)
    }

    /// Adds a listening node to the node list.
    fn show(&self, number: u32) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.with(|town, now| {
            let node = &mut town.nodes[number as usize];
            (node.state, node.started_ms) = (State::Ready, None);
            let (plan, service) = (node.plan, node.service.clone());
            if plan.cold {
                node.started_ms = Some(unix.as_millis() as u64);
                let (build, capacity) = (plan.build, plan.capacity);
                town.say(now, &service, Seen::Up { node: number, build, capacity });
            }
            town.change_list(&service);
        });
    }

    /// Marks a node as draining in the node list.
    pub fn drain(&self, node: u32) {
        self.with(|town, _| {
            town.nodes[node as usize].state = State::Draining;
            let service = town.nodes[node as usize].service.clone();
            town.change_list(&service);
        });
    }

    /// Stops a node, breaks its connections and removes it from the node list.
    pub fn stop(&self, node: u32) {
        let door = self.with(|town, now| {
            town.nodes[node as usize].state = State::Gone;
            let (door, service) =
                (town.nodes[node as usize].door.clone(), town.nodes[node as usize].service.clone());
            town.say(now, &service, Seen::Down { node });
            town.change_list(&service);
            door
        });
        door.shut();
    }

    /// Restarts a stopped node at the same address.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn again(&self, node: u32, plan: Plan) -> io::Result<()> {
        let addr = self.with(|town, _| town.nodes[node as usize].addr);
        let door = served::open(&self.shared, bind(addr)?, served::Role::Node(node))?;
        self.with(|town, _| {
            let node = &mut town.nodes[node as usize];
            (node.plan, node.door, node.connections) = (plan, door, 0);
        });
        self.show(node);
        Ok(())
    }

    /// Sets how a node handles RPCs.
    pub fn deed(&self, node: u32, deed: Deed) {
        self.with(|town, _| town.nodes[node as usize].deed = deed);
    }

    /// Sets how long a node takes for an RPC.
    pub fn work(&self, node: u32, work: Duration) {
        self.with(|town, _| town.nodes[node as usize].plan.work = work);
    }

    /// The address of a node.
    pub fn addr(&self, node: u32) -> SocketAddr {
        self.with(|town, _| town.nodes[node as usize].addr)
    }

    /// Connections that a node has accepted since it started.
    pub fn connections(&self, node: u32) -> usize {
        self.with(|town, _| town.nodes[node as usize].connections)
    }

    /// Sets the rollout state of a service.
    pub fn stage(&self, service: &str, (build, stage, course, cap): (u32, u32, Course, f64)) {
        self.with(|town, _| {
            if let Some(one) = town.services.get_mut(service) {
                (one.news, one.since) = ((build, stage, course, cap), Instant::now());
                one.index[1] += 1;
            }
        });
    }

    /// Sets how the node list answers requests for a service.
    pub fn manner(&self, service: &str, manner: Manner) {
        self.with(|town, _| town.services.get_mut(service).into_iter().for_each(|one| one.manner = manner));
    }

    /// Records what happens to a marshal's process. Call it before the process is killed or started.
    pub fn turn(&self, marshal: u32, turn: Turn) {
        self.with(|town, now| {
            if turn == Turn::Started {
                town.told.retain(|key, _| key.0 != marshal);
                town.newsed.retain(|key, _| key.0 != marshal);
            }
            town.say(now, "", Seen::Marshal { marshal, turn });
        });
    }

    /// Time since the fakes started.
    pub fn now(&self) -> Duration {
        self.shared.zero.elapsed()
    }

    /// All requests to the node list so far.
    pub fn questions(&self) -> Vec<Question> {
        self.with(|town, _| town.questions.clone())
    }

    /// All votes so far.
    pub fn votes(&self) -> Vec<Vote> {
        self.with(|town, _| town.votes.clone())
    }

    /// All RPCs received by nodes of a service.
    pub fn got(&self, service: &str) -> Vec<Got> {
        let of = |town: &Town, got: &Got| town.nodes[got.node as usize].service == service;
        self.with(|town, _| town.got.iter().filter(|got| of(town, got)).copied().collect())
    }

    /// Services whose node list a marshal is polling now.
    pub fn watches(&self, marshal: u32) -> Vec<String> {
        let held = |town: &mut Town, _| {
            let mine = town.watches.iter().filter(|w| w.0 .0 == marshal && *w.1 > 0);
            mine.map(|w| w.0 .1.clone()).collect()
        };
        self.with(held)
    }

    /// The trace so far.
    pub fn lines(&self) -> Vec<Line> {
        self.with(|town, _| town.lines.clone())
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

impl Drop for Services {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::Release);
        self.shared.changed.notify_all();
        let nodes = self.with(|town, _| town.nodes.iter().map(|n| n.door.clone()).collect::<Vec<_>>());
        self.doors.iter().chain(&nodes).for_each(|door| door.shut());
    }
}
