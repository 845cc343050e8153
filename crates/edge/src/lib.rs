//! The marshal on real sockets: a thin shell around [`ivydrift_marshal::Core`], on `may` coroutines.
//!
//! Each client connection is one coroutine, which also runs the picks of its RPC; orders that concern another
//! connection's RPC are posted to that connection. The core is behind one lock, held for a few microseconds
//! and never across a wait. Discovery, rollout controller, peers and timers have a coroutine each.
#![forbid(unsafe_code)]

mod clients;
pub mod command;
#[cfg(test)]
mod crossings;
mod dialect;

mod exchange;
mod guard;
mod held;
mod ids;
mod membership;
mod news;
mod platform;
mod pool;
mod program;
mod query;
mod running;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ivydrift_marshal::{Counts, Hold, Id, Input, Order, Repeat, Said, Saw, Services, HOME};
use ivydrift_sockets::{Listener, Waker};
use ivydrift_terms::{Bounds, Names, Places, Terms};
use ivydrift_wire::peer;
use may::net::UdpSocket;

use clients::Client;
use dialect::Dialect;
pub use guard::{Violations, WithheldCounts};
use ivydrift_sockets::coroutine::{self, go, insist, pause};
use pool::Pool;
pub use running::{start, start_on_platform, Running};

/// The shell's clock starts this long before the process, so that nodes that started earlier have a positive
/// age.
const BEFORE: Duration = Duration::from_secs(86_400);
/// Interval at which clients with an RPC in progress are checked for disconnects.
const LOOK: Duration = Duration::from_millis(50);
/// If the timer coroutine wakes up this much too late, the process was stalled.
const STALL: Duration = Duration::from_millis(300);
/// How long binding is retried while another process holds the address: longer than a stopping marshal lets
/// clients connect.
const HANDOVER: Duration = Duration::from_secs(2);
/// A marshal that starts with nodes known from before reports ready after this long even if discovery has not
/// confirmed them. It rejects RPCs until discovery does.
const CONFIRMED_LATEST: Duration = Duration::from_millis(3500);
/// Descriptors for everything but clients and nodes: listener, event queue, discovery, rollout controller,
/// votes, standard streams.
const OTHERS: usize = 16;

/// State of a marshal, shared by its coroutines.
pub struct Edge {
    dialect: Dialect,
    core: Mutex<Services>,
    /// `places.service`, and the services held in addition to it.
    home: Arc<held::Held>,
    holds: held::Holds,
    /// The clients with an RPC in progress.
    inhand: Mutex<HashMap<Id, Arc<Client>>>,
    clients: Mutex<HashMap<u64, Arc<Client>>>,
    /// Number of entries in `clients`.
    present: AtomicUsize,
    /// Client connections whose coroutines have not ended, including those closed to free a slot.
    open: AtomicUsize,
    /// The name of the next client connection.
    names: AtomicU64,
    /// The listener is open, so connections may wait in its backlog.
    accepting: AtomicBool,
    pool: Pool,
    guard: guard::Guard,
    /// The settings that a config reload may change.
    live: Mutex<Live>,
    /// Counts how often discovery or the rollout controller has moved. A watch of an earlier address stops.
    moves: AtomicU64,
    /// This marshal's number.
    number: usize,
    /// This marshal's name in `Via`.
    via: String,
    /// Socket for datagrams to and from peers, if peers are configured.
    peers: Option<UdpSocket>,
    started: Instant,
    /// The id last given to an RPC.
    ids: AtomicU64,
    /// Shutdown has begun; clients that still connect are served.
    stop: AtomicBool,
    /// No new connections are accepted any more.
    close: AtomicBool,
    /// Held while data from discovery or the rollout controller is passed to the core, and while their
    /// addresses change: nothing from an earlier address is passed on after a move.
    telling: Mutex<()>,
    /// When a stall of the process was last detected, and when the timer coroutine last ran, in milliseconds
    /// on the shell's clock.
    stood: AtomicU64,
    ticked: AtomicU64,
}

/// Settings that a config reload may change.
#[derive(Clone)]
struct Live {
    bounds: Bounds,
    places: Arc<Places>,
    vote_wait: Duration,
    /// The longest deadline of a method.
    longest: Duration,
    methods: Names,
    /// Whether each method may run more than once.
    safe: Arc<Vec<bool>>,
}

impl Live {
    fn of(terms: &Terms) -> Self {
        let safe = terms.rollout.methods.iter().map(|m| m.repeat != Repeat::NonIdempotent);
        Live {
            methods: terms.methods.clone(),
            safe: Arc::new(safe.collect()),
            bounds: terms.bounds,
            places: Arc::new(terms.places.clone()),
            vote_wait: terms.rollout.release.vote_wait,
            longest: terms.rollout.methods.iter().map(|m| m.deadline).max().unwrap_or_default(),
        }
    }
}

// The std locks below guard short sections without a yield; a coroutine never waits while it holds one.
impl Edge {
    /// The current time on the shell's clock, as the core sees it.
    fn now(&self) -> Duration {
        BEFORE + self.started.elapsed()
    }

    /// Converts a time of the core to an `Instant`.
    fn instant(&self, at: Duration) -> Instant {
        self.started + at.saturating_sub(BEFORE)
    }

    fn live(&self) -> Live {
        self.live.lock().unwrap().clone()
    }

    fn bounds(&self) -> Bounds {
        self.live.lock().unwrap().bounds
    }

    fn next_id(&self) -> Id {
        self.ids.fetch_add(1, Ordering::Relaxed) + 1
    }

    fn closing(&self) -> bool {
        self.close.load(Ordering::Acquire)
    }

    fn ready(&self) -> usize {
        self.core.lock().unwrap().ready()
    }

    /// Whether the marshal reports ready: it can serve RPCs, or it has waited so long that a missing node
    /// list must no longer keep it out of service.
    fn serves(&self) -> bool {
        let waited = |latest| self.started.elapsed() >= latest;
        let lists = self.ready() > 0 && (self.list_holds() || waited(CONFIRMED_LATEST));
        lists || self.bounds().ready_latest.is_some_and(waited)
    }

    /// Whether the node list of `places.service` is fresh enough to send new work by.
    fn list_holds(&self) -> bool {
        self.core.lock().unwrap().list_holds(self.now())
    }

    fn stopping(&self) -> bool {
        self.stop.load(Ordering::Acquire)
    }

    /// Whether the process was stalled a moment ago. Whichever coroutine wakes first must notice, so the time
    /// of the timer's last run counts as well as the stalls that the timer has detected.
    fn stalled(&self) -> bool {
        let at = |ms: &AtomicU64| Duration::from_millis(ms.load(Ordering::Relaxed));
        let (stood, ticked, now) = (at(&self.stood), at(&self.ticked), self.now());
        now > ticked + STALL || (!stood.is_zero() && now < stood + Duration::from_secs(5))
    }

    /// Registers an RPC as in progress and returns the core's first orders for it.
    fn begin(self: &Arc<Self>, id: Id, client: &Arc<Client>, input: Input) -> Vec<Order> {
        self.inhand.lock().unwrap().insert(id, client.clone());
        let mut clients = self.clients.lock().unwrap();
        if self.full(clients.len()) {
            self.make_room(&mut clients);
        }
        drop(clients);
        self.tell(input, id)
    }

    fn end(&self, id: Id) {
        self.inhand.lock().unwrap().remove(&id);
    }

    /// Passes an event to the core. Returns the orders for RPC `own`; all others are carried out or posted.
    fn tell(self: &Arc<Self>, input: Input, own: Id) -> Vec<Order> {
        self.tell_of(HOME, input, own)
    }

    /// Like `tell`, for an event from the node list or the rollout controller of service `of`.
    fn tell_of(self: &Arc<Self>, of: Hold, input: Input, own: Id) -> Vec<Order> {
        let said = self.core.lock().unwrap().handle(self.now(), of, input);
        let mut mine = Vec::new();
        for one in said {
            let (of, order) = match one {
                Said::Order { of, order } => (of, order),
                Said::Follow { of, service } => {
                    self.follow(of, service);
                    continue;
                }
                Said::Leave { of, service, why } => {
                    self.unfollow(of, &service, why);
                    continue;
                }
            };
            match order {
                Order::Sever { id, .. } => self.post(id, order),
                Order::Pick { id, .. }
                | Order::Pass { id, .. }
                | Order::PushBack { id, .. }
                | Order::Abort { id, .. }
                | Order::Reject { id, .. }
                | Order::BreakOff { id } => {
                    if id == own {
                        mine.push(order);
                    } else {
                        self.post(id, order);
                    }
                }
                Order::CloseIdle { node } => self.pool.close(node),
                Order::Tell { to, datagram } => {
                    if let (Some(socket), Some(addr)) = (&self.peers, self.live().places.peers.get(to)) {
                        // Losing a datagram does no harm; waiting would.
                        let _ = socket.inner().send_to(&datagram, addr);
                    }
                }
                Order::Vote(vote) => self.held(of).iter().for_each(|held| news::vote_of(self, held, vote)),
                Order::FollowMembership => {
                    self.held(of).iter().for_each(|held| news::follow_membership(self, held))
                }
                Order::Log(line) => tracing::info!("{line}"),
            }
        }
        mine
    }

    /// Sends an order to the connection that serves this RPC.
    fn post(self: &Arc<Self>, id: Id, order: Order) {
        let client = self.inhand.lock().unwrap().get(&id).cloned();
        if !client.is_some_and(|client| client.post(&order)) {
            self.not_begun(&order);
        }
    }

    /// Handles an order that will not be carried out. The core counts a pick as in flight until it is told of
    /// its end.
    fn not_begun(self: &Arc<Self>, order: &Order) {
        if let Order::Pick { id, pick, .. } = *order {
            self.tell(Input::Ended { id, pick, saw: Saw::NotBegun }, 0);
        }
    }

    /// Registers a client connection and returns its name, or `None` if there are too many connections.
    fn enter(&self, client: &Arc<Client>) -> Option<u64> {
        let mut clients = self.clients.lock().unwrap();
        if clients.len() >= self.bounds().crowd {
            self.make_room(&mut clients);
        }
        let room = !self.full(clients.len() + 1) || self.make_room(&mut clients);
        room.then(|| {
            let name = self.names.fetch_add(1, Ordering::Relaxed);
            clients.insert(name, client.clone());
            self.present.store(clients.len(), Ordering::Relaxed);
            self.open.fetch_add(1, Ordering::AcqRel);
            name
        })
    }

    /// Whether there are so many clients that each connection should close after its answer.
    fn crowded(&self) -> bool {
        self.present.load(Ordering::Relaxed) >= self.bounds().crowd
    }

    /// Whether this many client connections, or the descriptors they need, exceed the limits. An RPC in
    /// progress may need one more descriptor for its node.
    fn full(&self, clients: usize) -> bool {
        let bounds = self.bounds();
        let inhand = self.inhand.lock().unwrap().len();
        let wanted = clients + inhand + bounds.idle_to_nodes.min(1 << 20) + OTHERS;
        clients > bounds.clients || bounds.descriptors.is_some_and(|most| wanted > most)
    }

    /// Closes the least valuable client connection to free a slot. Returns false if each has a message in
    /// progress.
    fn make_room(&self, clients: &mut HashMap<u64, Arc<Client>>) -> bool {
        let mut spare: Vec<_> = clients.iter().filter_map(|(name, c)| Some((c.spare()?, *name))).collect();
        spare.sort_unstable();
        // A client may have sent a message since it was ranked; then the next one is closed instead.
        let given = spare.iter().rev().map(|(_, name)| *name).find(|name| clients[name].give_up());
        given.and_then(|name| clients.remove(&name)).is_some()
    }

    /// Milliseconds over which clients should spread their reconnects if this marshal goes away, because a
    /// client cannot know how many others there are. `None` if all may reconnect at once.
    fn spread_ms(&self) -> Option<u64> {
        let ms = self.present.load(Ordering::Relaxed) as u64 * 1000 / self.bounds().handshakes as u64;
        Some(ms).filter(|&ms| ms >= 250)
    }

    /// Removes a client connection whose coroutine ends.
    fn leave(&self, name: u64) {
        let mut clients = self.clients.lock().unwrap();
        clients.remove(&name);
        self.present.store(clients.len(), Ordering::Relaxed);
        self.open.fetch_sub(1, Ordering::AcqRel);
    }

    /// Passes on data from discovery or the rollout controller. Returns `None` without doing so if they have
    /// moved since the address `moves` was current.
    fn unless_moved<T>(&self, moves: u64, tell: impl FnOnce() -> T) -> Option<T> {
        let _telling = self.telling.lock().unwrap();
        (self.moves.load(Ordering::Acquire) == moves).then(tell)
    }

    /// Records a move of discovery or the rollout controller. Nothing from their earlier addresses is
    /// accepted afterwards.
    fn leave_places(&self, then: impl FnOnce()) {
        let _telling = self.telling.lock().unwrap();
        self.moves.fetch_add(1, Ordering::AcqRel);
        then();
    }

    /// Gives the core the offset between the wall clock and the shell's clock, before it interprets
    /// timestamps from elsewhere.
    fn read_wall_clock(&self) {
        let zero_ms = unix_zero_ms(self.now());
        self.core.lock().unwrap().read_wall_clock(zero_ms);
    }

    /// Logs the rejected entries of a service's node list when they change.
    fn complain_of_list(&self, held: &held::Held) {
        let found = self.core.lock().unwrap().rejected(held.of).to_vec();
        let mut known = held.complained.lock().unwrap();
        if *known != found {
            for one in &found {
                let service = held.service.as_deref();
                tracing::warn!(node = one.node, why = one.why, service, "node list entry rejected");
            }
            *known = found;
        }
    }

    /// Tells the core of clients that have disconnected while their RPC was in progress.
    fn look_at_clients(self: &Arc<Self>) {
        let inhand: Vec<(Id, Arc<Client>)> =
            self.inhand.lock().unwrap().iter().map(|(id, c)| (*id, c.clone())).collect();
        for (id, client) in inhand {
            if client.look.left() {
                self.tell(Input::ClientLeft { id }, 0);
                client.leave();
            }
        }
    }

    /// Closes the client connections on which no message has begun.
    fn close_idle_clients(&self) {
        for client in self.clients.lock().unwrap().values() {
            if client.quiet() {
                client.give_up();
            }
        }
    }

    /// Answers a query for this marshal's view of its peers.
    fn show_peers(&self, socket: &UdpSocket, to: SocketAddr, first: u16) {
        let view = self.core.lock().unwrap().peers(self.now(), first);
        let page = view.map(|(view, more)| peer::page(&view, &more));
        let page = page.and_then(|page| peer::write(peer::Kind::View, self.number as u16, &page));
        if let Some(page) = page {
            let _ = socket.inner().send_to(&page, to);
        }
    }

    /// Number of services held in addition to `places.service`, and an estimate of their memory in bytes.
    fn services(&self) -> (usize, usize) {
        let core = self.core.lock().unwrap();
        (core.held().count(), core.bytes())
    }

    /// The core's counts since the start.
    pub fn counts(&self) -> Counts {
        self.core.lock().unwrap().counts()
    }
}

/// Binds the listener. Retries for a while, because a stopping marshal on the same address may still hold it,
/// and because the machine may briefly be short of sockets.
fn listen(addr: SocketAddr) -> io::Result<Listener> {
    let by = Instant::now() + HANDOVER;
    loop {
        match Listener::bind(addr) {
            Err(_) if Instant::now() < by => {
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
fn prepare(terms: Terms, dialect: Dialect) -> io::Result<(Arc<Edge>, Listener)> {
    coroutine::prepare(terms.bounds.workers);
    let listener = listen(terms.places.listen)?;
    let peers = match terms.places.peers.get(terms.rollout.marshal) {
        Some(own) => Some(UdpSocket::bind(own)?),
        None => None,
    };
    let mut core = Services::new(terms.clone(), unix_zero_ms(BEFORE));
    if peers.is_some() {
        core.run_by(program::name());
    }
    let edge = Arc::new(Edge {
        dialect,
        inhand: Mutex::default(),
        clients: Mutex::default(),
        present: AtomicUsize::new(0),
        open: AtomicUsize::new(0),
        names: AtomicU64::new(0),
        accepting: AtomicBool::new(true),
        pool: Pool::new(&terms.bounds, terms.rollout.limits.idle_kept),
        guard: guard::Guard::default(),
        live: Mutex::new(Live::of(&terms)),
        moves: AtomicU64::new(0),
        telling: Mutex::default(),
        number: terms.rollout.marshal,
        via: format!("1.1 ivydrift-{}", terms.rollout.marshal),
        peers,
        started: Instant::now(),
        ids: AtomicU64::new(0),
        stop: AtomicBool::new(false),
        close: AtomicBool::new(false),
        stood: AtomicU64::new(0),
        ticked: AtomicU64::new(0),
        home: held::Held::new(HOME, None),
        holds: held::Holds::default(),
        core: Mutex::new(core),
    });
    Ok((edge, listener))
}

/// Starts the coroutines that accept clients, watch discovery and the rollout controller, and run timers.
/// Returns the listening address and the accept loop's waker.
fn begin(edge: &Arc<Edge>, listener: Listener) -> (SocketAddr, Waker) {
    let waker = listener.waker();
    let listens = listener.local_addr().unwrap_or_else(|_| edge.live().places.listen);
    news::follow_desk_of(edge, &edge.home);
    keep_time(edge);
    hear_peers(edge);
    let accepting = edge.clone();
    go(move || {
        insist(|| clients::accept(&accepting, &listener));
        drop(listener);
        accepting.accepting.store(false, Ordering::Release);
    });
    (listens, waker)
}

/// Starts the timer coroutine and the one that checks clients and idle connections.
fn keep_time(edge: &Arc<Edge>) {
    // Set before the first round, so that a stall before it is detected.
    edge.ticked.store(edge.now().as_millis() as u64, Ordering::Relaxed);
    let ticking = edge.clone();
    go(move || insist(|| tick(&ticking)));
    let looking = edge.clone();
    go(move || insist(|| look_after(&looking)));
}

/// Sends the core a tick whenever one is due, and detects stalls. Never returns.
fn tick(ticking: &Arc<Edge>) {
    loop {
        let due = ticking.core.lock().unwrap().due();
        let wait = due.saturating_sub(ticking.now()).min(Duration::from_millis(20));
        pause(wait.max(Duration::from_micros(500)));
        // Measured from the last round, not the last pause: a stall may begin anywhere in a round.
        let (now, ticked) = (ticking.now(), Duration::from_millis(ticking.ticked.load(Ordering::Relaxed)));
        let round = now.saturating_sub(ticked);
        if round > wait + STALL {
            ticking.stood.store(now.as_millis() as u64, Ordering::Relaxed);
            tracing::warn!(stood_ms = round.as_millis() as u64, "this process stood still");
            // Reports clients that left during the stall first, so that nothing more is sent for them.
            ticking.look_at_clients();
        }
        ticking.ticked.store(ticking.now().as_millis() as u64, Ordering::Relaxed);
        ticking.tell(Input::Tick, 0);
    }
}

/// Checks clients and idle connections and logs the counts. Never returns.
fn look_after(looking: &Arc<Edge>) {
    for round in 0u64.. {
        pause(LOOK);
        looking.look_at_clients();
        if looking.closing() {
            looking.close_idle_clients();
        }
        if round % 20 == 0 {
            looking.pool.tidy(false);
        }
        if round % 200 == 199 {
            let counts = looking.counts();
            let clients = looking.clients.lock().unwrap().len();
            let (idle_to_nodes, coroutines) = (looking.pool.len(), coroutine::alive());
            let (services, bytes) = looking.services();
            let (withheld, violations) = (looking.guard.withheld(), looking.guard.violations());
            tracing::info!(
                ?counts,
                ?withheld,
                ?violations,
                clients,
                idle_to_nodes,
                coroutines,
                services,
                bytes,
                "counts"
            );
        }
    }
}

fn hear_peers(edge: &Arc<Edge>) {
    let edge = edge.clone();
    go(move || insist(|| hear(&edge)));
}

/// Receives datagrams from peers. Never returns.
fn hear(edge: &Arc<Edge>) {
    let Some(socket) = &edge.peers else { return };
    let mut datagram = [0; peer::DATAGRAM_BYTES + 1];
    loop {
        match socket.recv_from(&mut datagram) {
            Ok((n, from)) => {
                let read = peer::read(&datagram[..n]);
                let first = read.filter(|r| r.0 == peer::Kind::Question).and_then(|r| peer::asked(r.2));
                match first {
                    Some(first) => edge.show_peers(socket, from, first),
                    None => drop(edge.tell(Input::Peer(&datagram[..n]), 0)),
                }
            }
            Err(_) => pause(Duration::from_millis(5)),
        }
    }
}
