//! The marshal on real sockets: a thin shell around [`ivydrift_marshal::Core`], on `may` coroutines.
//!
//! Each client connection is one coroutine, which also runs the picks of its RPC; commands that concern another
//! connection's RPC are posted to that connection. The core is behind one lock, held for a few microseconds
//! and never across a wait. Discovery, rollout controller, peers and timers have a coroutine each.
#![forbid(unsafe_code)]

mod clients;
pub mod command;
mod dialect;
mod exchange;
mod executable;
mod guard;
mod membership;
mod platform;
mod pool;
mod query;
#[cfg(test)]
mod races;
mod request_ids;
mod running;
mod services;
mod watch;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ivydrift_marshal::{
    Command, Counts, Id, Input, InstanceId, Observation, Output, Repeat, Services, PRIMARY,
};
use ivydrift_policy::admission::{closing_rank, Need};
use ivydrift_sockets::{Listener, Turn, TurnClass, Waker};
use ivydrift_terms::{Addresses, Config, Limits, Names};
use ivydrift_wire::peer;
use may::net::UdpSocket;
use may::sync::Semphore;

use clients::{Client, PeerMemory};
use dialect::Dialect;
pub use guard::{Violations, WithheldCounts};
use ivydrift_sockets::coroutine::{self, restart_on_panic, sleep, spawn};
use pool::Pool;
pub use running::{start, start_platform, Running};

/// The shell's clock starts this long before the process, so that nodes that started earlier have a positive
/// age.
const CLOCK_OFFSET: Duration = Duration::from_secs(86_400);
/// Interval at which clients with an RPC in progress are checked for disconnects.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// If the timer coroutine wakes up this much too late, the process was stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(300);
/// If it wakes up this much too late, requests may have waited unread while their clients left.
const DELAY_THRESHOLD: Duration = Duration::from_millis(50);
/// What arrived during a stall is read within this time after it.
const STALL_READ_WITHIN: Duration = Duration::from_secs(5);
/// What arrived during a delay is read within this time after it.
const DELAY_READ_WITHIN: Duration = Duration::from_secs(1);
/// The longest wait of the timer coroutine.
const MAX_TICK_WAIT: Duration = Duration::from_millis(20);
/// How long binding is retried while another process holds the address: longer than a stopping marshal lets
/// clients connect.
const BIND_RETRY: Duration = Duration::from_secs(2);
/// A marshal that starts with nodes known from before reports ready after this long even if discovery has not
/// confirmed them. It rejects RPCs until discovery does.
const READY_UNCONFIRMED_AFTER: Duration = Duration::from_millis(3500);
/// Descriptors for everything but clients and nodes: listener, event queue, discovery, rollout controller,
/// votes, standard streams.
const RESERVED_DESCRIPTORS: usize = 16;

/// State of a marshal, shared by its coroutines.
pub struct Edge {
    dialect: Dialect,
    core: Mutex<Services>,
    /// `places.service`, and the services held in addition to it.
    primary: Arc<services::HeldService>,
    held_services: services::HeldServices,
    /// The clients with an RPC in progress.
    in_progress: Mutex<HashMap<Id, Arc<Client>>>,
    clients: Mutex<HashMap<u64, Arc<Client>>>,
    /// Clients with an RPC in progress that have sent more, for the coroutine that reads it ahead.
    unread_clients: Mutex<Vec<(Id, Arc<Client>)>>,
    unread_clients_wake: Semphore,
    /// Number of entries in `clients`.
    client_count: AtomicUsize,
    /// Client connections whose coroutines have not ended, including those closed to free a slot.
    open_connections: AtomicUsize,
    /// The id of the next client connection.
    next_client_id: AtomicU64,
    /// The listener is open, so connections may wait in its backlog.
    accepting: AtomicBool,
    pool: Pool,
    peer_memory: PeerMemory,
    /// Client connections that have completed a message and do not have their last answer yet.
    usual_connections: AtomicUsize,
    guard: guard::Guard,
    /// The settings that a config reload may change.
    settings: Mutex<Settings>,
    /// Counts how often discovery or the rollout controller has moved. A watch of an earlier address stops.
    address_generation: AtomicU64,
    /// This marshal's number.
    marshal: usize,
    /// This marshal's name in `Via`.
    via: String,
    /// Socket for datagrams to and from peers, if peers are configured.
    peers: Option<UdpSocket>,
    started: Instant,
    /// The id last given to an RPC.
    last_rpc_id: AtomicU64,
    /// Shutdown has begun; clients that still connect are served.
    shutdown_begun: AtomicBool,
    /// No new connections are accepted any more.
    closing: AtomicBool,
    /// Held while data from discovery or the rollout controller is passed to the core, and while their
    /// addresses change: nothing from an earlier address is passed on after a move.
    address_lock: Mutex<()>,
    /// When a stall or a delay of the process was last detected, and when the timer coroutine last ran, in
    /// milliseconds on the shell's clock.
    last_stall_ms: AtomicU64,
    last_delay_ms: AtomicU64,
    last_tick_ms: AtomicU64,
}

/// Settings that a config reload may change.
#[derive(Clone)]
struct Settings {
    limits: Limits,
    addresses: Arc<Addresses>,
    vote_wait: Duration,
    /// The longest deadline of a method.
    longest_deadline: Duration,
    methods: Names,
    /// Whether each method may run more than once.
    repeatable: Arc<Vec<bool>>,
}

impl Settings {
    fn of(config: &Config) -> Self {
        let repeatable = config.rollout.methods.iter().map(|m| m.repeat != Repeat::NonIdempotent);
        Settings {
            methods: config.methods.clone(),
            repeatable: Arc::new(repeatable.collect()),
            limits: config.limits,
            addresses: Arc::new(config.addresses.clone()),
            vote_wait: config.rollout.release.vote_wait,
            longest_deadline: config.rollout.methods.iter().map(|m| m.deadline).max().unwrap_or_default(),
        }
    }
}

// The std locks below guard short sections without a yield; a coroutine never waits while it holds one.
impl Edge {
    /// The current time on the shell's clock, as the core sees it.
    fn now(&self) -> Duration {
        CLOCK_OFFSET + self.started.elapsed()
    }

    /// Converts a time of the core to an `Instant`.
    fn instant(&self, at: Duration) -> Instant {
        self.started + at.saturating_sub(CLOCK_OFFSET)
    }

    fn settings(&self) -> Settings {
        self.settings.lock().unwrap().clone()
    }

    fn limits(&self) -> Limits {
        self.settings.lock().unwrap().limits
    }

    fn next_rpc_id(&self) -> Id {
        self.last_rpc_id.fetch_add(1, Ordering::Relaxed) + 1
    }

    fn closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    fn ready_nodes(&self) -> usize {
        self.core.lock().unwrap().ready()
    }

    /// Whether the marshal reports ready: it can serve RPCs, or it has waited so long that a missing node
    /// list must no longer keep it out of service.
    fn is_ready(&self) -> bool {
        let waited = |latest| self.started.elapsed() >= latest;
        let list_usable = self.ready_nodes() > 0 && (self.list_is_fresh() || waited(READY_UNCONFIRMED_AFTER));
        list_usable || self.limits().max_ready_delay.is_some_and(waited)
    }

    /// Whether the node list of `places.service` is fresh enough to send new work by.
    fn list_is_fresh(&self) -> bool {
        self.core.lock().unwrap().list_is_valid(self.now())
    }

    fn stopping(&self) -> bool {
        self.shutdown_begun.load(Ordering::Acquire)
    }

    /// Whether the process was stalled a moment ago. Whichever coroutine wakes first must notice, so the time
    /// of the timer's last run counts as well as the stalls that the timer has detected.
    fn recently_stalled(&self) -> bool {
        self.was_late(Instant::now(), STALL_THRESHOLD, &self.last_stall_ms, STALL_READ_WITHIN)
    }

    /// Whether requests that are read now may have waited unread because the process ran late.
    fn recently_delayed(&self, now: Instant) -> bool {
        let threshold = MAX_TICK_WAIT + DELAY_THRESHOLD;
        self.was_late(now, threshold, &self.last_delay_ms, DELAY_READ_WITHIN)
            || self.was_late(now, STALL_THRESHOLD, &self.last_stall_ms, STALL_READ_WITHIN)
    }

    /// Whether the timer is late by more than `threshold` now, or was found to be at `last_late_ms`, less than
    /// `within` ago.
    fn was_late(
        &self, now: Instant, threshold: Duration, last_late_ms: &AtomicU64, within: Duration,
    ) -> bool {
        let at = |ms: &AtomicU64| Duration::from_millis(ms.load(Ordering::Relaxed));
        let (last_late, last_tick, now) = (
            at(last_late_ms),
            at(&self.last_tick_ms),
            CLOCK_OFFSET + now.saturating_duration_since(self.started),
        );
        now > last_tick + threshold || (!last_late.is_zero() && now < last_late + within)
    }

    /// Registers an RPC as in progress and returns the core's first commands for it.
    fn begin_rpc(self: &Arc<Self>, id: Id, client: &Arc<Client>, input: Input) -> Vec<Command> {
        self.in_progress.lock().unwrap().insert(id, client.clone());
        let mut clients = self.clients.lock().unwrap();
        if self.over_limits(clients.len()) {
            self.evict_client(&mut clients, self.need_of_slot());
        }
        drop(clients);
        self.dispatch(input, id)
    }

    fn end_rpc(&self, id: Id) {
        self.in_progress.lock().unwrap().remove(&id);
    }

    /// Passes an event to the core. Returns the commands for RPC `own`; all others are carried out or posted.
    fn dispatch(self: &Arc<Self>, input: Input, own: Id) -> Vec<Command> {
        self.dispatch_for(PRIMARY, input, own)
    }

    /// Like `dispatch`, for an event from the node list or the rollout controller of service `instance`.
    fn dispatch_for(self: &Arc<Self>, instance: InstanceId, input: Input, own: Id) -> Vec<Command> {
        let outputs = self.core.lock().unwrap().handle(self.now(), instance, input);
        let mut own_commands = Vec::new();
        for output in outputs {
            let (instance, command) = match output {
                Output::Command { instance, command } => (instance, command),
                Output::HoldService { instance, service } => {
                    self.hold_service(instance, service);
                    continue;
                }
                Output::DropService { instance, service, why } => {
                    self.drop_service(instance, &service, why);
                    continue;
                }
            };
            match command {
                Command::Sever { id, .. } => self.post(id, command),
                Command::Pick { id, .. }
                | Command::Pass { id, .. }
                | Command::PushBack { id, .. }
                | Command::Abort { id, .. }
                | Command::Reject { id, .. }
                | Command::BreakOff { id } => {
                    if id == own {
                        own_commands.push(command);
                    } else {
                        self.post(id, command);
                    }
                }
                Command::CloseIdle { node } => self.pool.close_node(node),
                Command::Tell { to, datagram } => {
                    if let (Some(socket), Some(addr)) = (&self.peers, self.settings().addresses.peers.get(to))
                    {
                        // Losing a datagram does no harm; waiting would.
                        let _ = socket.inner().send_to(&datagram, addr);
                    }
                }
                Command::Vote(vote) => {
                    self.held_service(instance).iter().for_each(|held| watch::cast_vote(self, held, vote))
                }
                Command::FollowMembership => {
                    self.held_service(instance).iter().for_each(|held| watch::watch_node_list(self, held))
                }
                Command::Log(line) => tracing::info!("{line}"),
            }
        }
        own_commands
    }

    /// Sends a command to the connection that serves this RPC.
    fn post(self: &Arc<Self>, id: Id, command: Command) {
        let client = self.in_progress.lock().unwrap().get(&id).cloned();
        if !client.is_some_and(|client| client.post(&command)) {
            self.discard_command(&command);
        }
    }

    /// Handles a command that will not be carried out. The core counts a pick as in flight until it is told of
    /// its end.
    fn discard_command(self: &Arc<Self>, command: &Command) {
        if let Command::Pick { id, pick, .. } = *command {
            self.dispatch(Input::PickEnded { id, pick, observation: Observation::NotAttempted }, 0);
        }
    }

    /// Registers a client connection and returns its id, or `None` if there are too many connections.
    fn register(&self, client: &Arc<Client>) -> Option<u64> {
        let mut clients = self.clients.lock().unwrap();
        if clients.len() >= self.limits().close_after_answer_above {
            self.evict_client(&mut clients, Need::SpareSlot);
        }
        let has_room =
            !self.over_limits(clients.len() + 1) || self.evict_client(&mut clients, self.need_of_slot());
        let has_room = has_room && self.hold_connection(&clients, client);
        has_room.then(|| {
            let client_id = self.next_client_id.fetch_add(1, Ordering::Relaxed);
            clients.insert(client_id, client.clone());
            self.client_count.store(clients.len(), Ordering::Relaxed);
            self.open_connections.fetch_add(1, Ordering::AcqRel);
            client_id
        })
    }

    /// Whether there are so many clients that each connection should close after its answer. Strangers don't
    /// count: usual clients keep their connections however many of them come.
    fn is_crowded(&self) -> bool {
        self.usual_connections.load(Ordering::Relaxed) >= self.limits().close_after_answer_above
    }

    /// What a connection is closed for if no descriptor is left.
    fn need_of_slot(&self) -> Need {
        Need::Slot { crowded: self.is_crowded() }
    }

    /// Whether this many client connections, or the descriptors they need, exceed the limits. An RPC in
    /// progress may need one more descriptor for its node.
    fn over_limits(&self, clients: usize) -> bool {
        let limits = self.limits();
        let in_progress = self.in_progress.lock().unwrap().len();
        let wanted = clients + in_progress + limits.max_idle_total.min(1 << 20) + RESERVED_DESCRIPTORS;
        clients > limits.max_clients || limits.max_descriptors.is_some_and(|most| wanted > most)
    }

    /// Closes the least valuable client connection to free a slot. Returns false if none may be closed for this
    /// need.
    fn evict_client(&self, clients: &mut HashMap<u64, Arc<Client>>, need: Need) -> bool {
        let rank =
            |client: &Client| client.phase().and_then(|(phase, waited)| closing_rank(need, phase, waited));
        let mut candidates: Vec<_> =
            clients.iter().filter_map(|(client_id, client)| Some((rank(client)?, *client_id))).collect();
        candidates.sort_unstable();
        // A client may have sent a message since it was ranked; then the next one is closed instead.
        let evicted = candidates
            .iter()
            .rev()
            .map(|(_, client_id)| *client_id)
            .find(|client_id| clients[client_id].evict() || clients[client_id].evict_incomplete());
        evicted.and_then(|client_id| clients.remove(&client_id)).is_some()
    }

    /// Milliseconds over which clients should spread their reconnects if this marshal goes away, because a
    /// client cannot know how many others there are. `None` if all may reconnect at once.
    fn spread_ms(&self) -> Option<u64> {
        let ms =
            self.client_count.load(Ordering::Relaxed) as u64 * 1000 / self.limits().handshakes_per_s as u64;
        Some(ms).filter(|&ms| ms >= 250)
    }

    /// Removes a client connection whose coroutine ends.
    fn unregister(&self, client_id: u64) {
        let mut clients = self.clients.lock().unwrap();
        clients.remove(&client_id);
        self.client_count.store(clients.len(), Ordering::Relaxed);
        self.open_connections.fetch_sub(1, Ordering::AcqRel);
    }

    /// Passes on data from discovery or the rollout controller. Returns `None` without doing so if they have
    /// moved since the address of `address_generation` was current.
    fn if_addresses_unchanged<T>(&self, address_generation: u64, action: impl FnOnce() -> T) -> Option<T> {
        let _guard = self.address_lock.lock().unwrap();
        (self.address_generation.load(Ordering::Acquire) == address_generation).then(action)
    }

    /// Records a move of discovery or the rollout controller. Nothing from their earlier addresses is
    /// accepted afterwards.
    fn change_addresses(&self, action: impl FnOnce()) {
        let _guard = self.address_lock.lock().unwrap();
        self.address_generation.fetch_add(1, Ordering::AcqRel);
        action();
    }

    /// Gives the core the offset between the wall clock and the shell's clock, before it interprets
    /// timestamps from elsewhere.
    fn read_wall_clock(&self) {
        let zero_ms = unix_zero_ms(self.now());
        self.core.lock().unwrap().set_wall_clock(zero_ms);
    }

    /// Logs the rejected entries of a service's node list when they change.
    fn log_rejected_nodes(&self, held: &services::HeldService) {
        let rejected = self.core.lock().unwrap().rejected(held.service_id).to_vec();
        let mut logged = held.logged_rejects.lock().unwrap();
        if *logged != rejected {
            for entry in &rejected {
                let service = held.service.as_deref();
                tracing::warn!(node = entry.node, why = entry.why, service, "node list entry rejected");
            }
            *logged = rejected;
        }
    }

    /// Closes the client connections on which no message has begun.
    fn close_idle_clients(&self) {
        for client in self.clients.lock().unwrap().values() {
            if client.is_silent() {
                client.evict();
            }
        }
    }

    /// Answers a query for this marshal's view of its peers.
    fn answer_peer_query(&self, socket: &UdpSocket, to: SocketAddr, first: u16) {
        let view = self.core.lock().unwrap().peers(self.now(), first);
        let page = view.map(|(view, more)| peer::serialize_page(&view, &more));
        let page = page
            .and_then(|serialize_page| peer::write(peer::Kind::View, self.marshal as u16, &serialize_page));
        if let Some(serialize_page) = page {
            let _ = socket.inner().send_to(&serialize_page, to);
        }
    }

    /// Number of services held in addition to `places.service`, and an estimate of their memory in bytes.
    fn service_stats(&self) -> (usize, usize) {
        let core = self.core.lock().unwrap();
        (core.instances().count(), core.bytes())
    }

    /// The core's counts since the start.
    pub fn counts(&self) -> Counts {
        self.core.lock().unwrap().counts()
    }
}

/// Binds the listener. Retries for a while, because a stopping marshal on the same address may still hold it,
/// and because the machine may briefly be short of sockets.
fn listen(addr: SocketAddr) -> io::Result<Listener> {
    let deadline = Instant::now() + BIND_RETRY;
    loop {
        match Listener::bind(addr) {
            Err(_) if Instant::now() < deadline => {
                std::thread::sleep(Duration::from_millis(20));
            }
            bound => return bound,
        }
    }
}

/// Unix time, in milliseconds, of the shell's zero; `now` is the shell's current time.
fn unix_zero_ms(now: Duration) -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    unix.saturating_sub(now).as_millis() as u64
}

/// Binds the addresses and sets up a marshal's state; no coroutine runs yet.
fn set_up(config: Config, dialect: Dialect) -> io::Result<(Arc<Edge>, Listener)> {
    coroutine::configure_runtime(config.limits.worker_threads);
    let listener = listen(config.addresses.listen)?;
    let peers = match config.addresses.peers.get(config.rollout.marshal) {
        Some(own) => Some(UdpSocket::bind(own)?),
        None => None,
    };
    let mut core = Services::new(config.clone(), unix_zero_ms(CLOCK_OFFSET));
    if peers.is_some() {
        core.set_program(executable::identity());
    }
    let edge = Arc::new(Edge {
        dialect,
        in_progress: Mutex::default(),
        clients: Mutex::default(),
        unread_clients: Mutex::default(),
        unread_clients_wake: Semphore::new(0),
        client_count: AtomicUsize::new(0),
        open_connections: AtomicUsize::new(0),
        next_client_id: AtomicU64::new(0),
        accepting: AtomicBool::new(true),
        peer_memory: PeerMemory::new(config.limits.peer_memory_bytes.unwrap_or(usize::MAX)),
        usual_connections: AtomicUsize::new(0),
        pool: Pool::new(&config.limits, config.rollout.limits.idle_timeout),
        guard: guard::Guard::default(),
        settings: Mutex::new(Settings::of(&config)),
        address_generation: AtomicU64::new(0),
        address_lock: Mutex::default(),
        marshal: config.rollout.marshal,
        via: format!("1.1 ivydrift-{}", config.rollout.marshal),
        peers,
        started: Instant::now(),
        last_rpc_id: AtomicU64::new(0),
        shutdown_begun: AtomicBool::new(false),
        closing: AtomicBool::new(false),
        last_stall_ms: AtomicU64::new(0),
        last_delay_ms: AtomicU64::new(0),
        last_tick_ms: AtomicU64::new(0),
        primary: services::HeldService::new(PRIMARY, None),
        held_services: services::HeldServices::default(),
        core: Mutex::new(core),
    });
    Ok((edge, listener))
}

/// Starts the coroutines that accept clients, watch discovery and the rollout controller, and run timers.
/// Returns the listening address and the accept loop's waker.
fn run(edge: &Arc<Edge>, listener: Listener) -> (SocketAddr, Waker) {
    let waker = listener.waker();
    let listen_addr = listener.local_addr().unwrap_or_else(|_| edge.settings().addresses.listen);
    watch::watch_controller(edge, &edge.primary);
    start_timers(edge);
    start_peer_receiver(edge);
    let accepting = edge.clone();
    spawn(move || {
        restart_on_panic(|| clients::accept(&accepting, &listener));
        drop(listener);
        accepting.accepting.store(false, Ordering::Release);
    });
    (listen_addr, waker)
}

/// Starts the timer coroutine, and those that check clients and idle connections and read ahead.
fn start_timers(edge: &Arc<Edge>) {
    // Set before the first round, so that a stall before it is detected.
    edge.last_tick_ms.store(edge.now().as_millis() as u64, Ordering::Relaxed);
    let ticking = edge.clone();
    spawn(move || restart_on_panic(|| run_ticks(&ticking)));
    let maintained = edge.clone();
    spawn(move || restart_on_panic(|| run_maintenance(&maintained)));
    let reading = edge.clone();
    spawn(move || restart_on_panic(|| reading.read_ahead_for_clients()));
}

/// Sends the core a tick whenever one is due, and detects stalls. Never returns.
fn run_ticks(ticking: &Arc<Edge>) {
    loop {
        let due = ticking.core.lock().unwrap().next_tick();
        let wait = due.saturating_sub(ticking.now()).min(MAX_TICK_WAIT);
        sleep(wait.max(Duration::from_micros(500)));
        // Measured from the last round, not the last pause: a stall may begin anywhere in a round.
        let (now, last_tick) =
            (ticking.now(), Duration::from_millis(ticking.last_tick_ms.load(Ordering::Relaxed)));
        let round = now.saturating_sub(last_tick);
        if round > wait + DELAY_THRESHOLD {
            ticking.last_delay_ms.store(now.as_millis() as u64, Ordering::Relaxed);
        }
        if round > wait + STALL_THRESHOLD {
            ticking.last_stall_ms.store(now.as_millis() as u64, Ordering::Relaxed);
            tracing::warn!(stood_ms = round.as_millis() as u64, "this process stood still");
            // Reports clients that left during the stall first, so that nothing more is sent for them.
            ticking.report_departures();
        }
        ticking.last_tick_ms.store(ticking.now().as_millis() as u64, Ordering::Relaxed);
        ticking.dispatch(Input::Tick, 0);
    }
}

/// Checks clients and idle connections and logs the counts. Never returns.
fn run_maintenance(edge: &Arc<Edge>) {
    for round in 0u64.. {
        sleep(DISCONNECT_CHECK_INTERVAL);
        edge.report_departures();
        if edge.closing() {
            edge.close_idle_clients();
        }
        if round % 20 == 0 {
            edge.pool.close_expired(false);
        }
        if round % 200 == 199 {
            let counts = edge.counts();
            let clients = edge.clients.lock().unwrap().len();
            let (idle_to_nodes, coroutines) = (edge.pool.len(), coroutine::live_count());
            let (services, bytes) = edge.service_stats();
            let (withheld, violations) = (edge.guard.withheld(), edge.guard.violations());
            let peer_memory = edge.peer_memory.stats();
            tracing::info!(
                ?counts,
                ?withheld,
                ?violations,
                clients,
                idle_to_nodes,
                coroutines,
                services,
                bytes,
                ?peer_memory,
                "counts"
            );
        }
    }
}

fn start_peer_receiver(edge: &Arc<Edge>) {
    let edge = edge.clone();
    spawn(move || restart_on_panic(|| receive_from_peers(&edge)));
}

/// Receives datagrams from peers. Never returns.
fn receive_from_peers(edge: &Arc<Edge>) {
    let Some(socket) = &edge.peers else { return };
    let mut datagram = [0; peer::MAX_DATAGRAM_BYTES + 1];
    let turn = Turn::new(TurnClass::Listener);
    loop {
        turn.wait_if_used_up();
        turn.record_operation();
        match socket.recv_from(&mut datagram) {
            Ok((n, from)) => {
                let message = peer::read(&datagram[..n]);
                let first = message
                    .filter(|r| r.0 == peer::Kind::ViewQuery)
                    .and_then(|r| peer::parse_view_query(r.2));
                match first {
                    Some(first) => edge.answer_peer_query(socket, from, first),
                    None => drop(edge.dispatch(Input::PeerDatagram(&datagram[..n]), 0)),
                }
            }
            Err(_) => sleep(Duration::from_millis(5)),
        }
    }
}
