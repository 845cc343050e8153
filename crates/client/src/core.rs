//! The client's decisions, without I/O: which marshal to use, when to connect, when to retry and when to give
//! up. The interface is `Core::handle(now, event) -> actions`; the runtime owns sockets and bytes.
//!
//! Three invariants always hold: a call ends exactly once, at its deadline at the latest; a non-idempotent call
//! is sent again only if no earlier attempt can have run; the number of retries never exceeds the retry budget.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Identifies a call; chosen by the runtime.
pub type CallId = u64;
/// Identifies a connection; chosen by the core.
pub type ConnId = u64;

/// Whether the RPCs of a method may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Idempotent,
    /// Nodes drop a repeat of the same token for this time, counted from when the first attempt was sent.
    Tokened {
        window: Duration,
    },
    NonIdempotent,
}

/// Parameters of a channel. The defaults suit an application with a few calls per second.
#[derive(Clone, Debug)]
pub struct Manners {
    /// Maximum number of calls queued for a connection; further calls are refused at once.
    pub queue: usize,
    /// Number of connections kept established between calls, so that a call needs no handshake.
    pub warm: usize,
    /// Maximum number of connections to one marshal.
    pub connections: usize,
    /// Maximum number of concurrent handshakes, to all marshals together.
    pub handshakes: usize,
    /// Retry budget: retries earned by each call.
    pub earned: f64,
    /// Maximum of the retry budget, which is also its initial value.
    pub store: f64,
    /// Backoff before a retry, as base and maximum: a random part of a span that starts at the base and doubles
    /// with each attempt.
    pub wait: [Duration; 2],
    /// The same for connections to a marshal that refused or closed one.
    pub reconnect: [Duration; 2],
    /// Outlier ejection: after this many consecutive failures a marshal is not used for this time. At most half
    /// of the marshals are ejected at once.
    pub eject: (u32, Duration),
    /// Connections that have been idle for longer than this are not used for non-idempotent calls.
    pub fresh: Duration,
    /// Calls are throttled at random once attempts exceed this multiple of the accepted ones.
    pub throttle: f64,
    /// Shortest time in which an answer can arrive; nothing is sent with less time left.
    pub least: Duration,
}

impl Default for Manners {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Manners {
            queue: 100,
            warm: 0,
            connections: 4,
            handshakes: 2,
            earned: 0.1,
            store: 10.0,
            wait: [ms(50), ms(1000)],
            reconnect: [ms(200), ms(10_000)],
            eject: (3, ms(2000)),
            fresh: ms(1000),
            throttle: 2.0,
            least: ms(5),
        }
    }
}

/// An input of the core, reported by the runtime.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// A caller makes a call, with this much time until its deadline.
    Call { call: CallId, kind: Kind, within: Duration },
    /// A connection was established.
    Connected { conn: ConnId },
    /// A connection could not be established.
    ConnectFailed { conn: ConnId },
    /// An idle connection was closed. `draining`: the marshal had announced it.
    Closed { conn: ConnId, draining: bool },
    /// A complete answer arrived. `keep`: the connection may be used for another call.
    Answered { call: CallId, reply: Reply, keep: bool },
    /// The marshal that handles this call's attempt asks its clients to spread their reconnects over this span
    /// if it goes away.
    Spread { call: CallId, span: Duration },
    /// The connection failed before an answer arrived. `sent`: a byte of the RPC was written to it.
    Lost { call: CallId, sent: bool },
    /// The caller cancelled the call.
    Cancelled { call: CallId },
    /// Time has passed; see [`Core::due`].
    Tick,
}

/// A marshal's answer to an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    Ok,
    PushedBack {
        retry_after: Duration,
    },
    Aborted,
    /// The marshal refused the request as invalid.
    Rejected,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Ok,
    /// It did not run; the caller may try again later. `local`: it was never sent, because the channel
    /// throttles calls during an overload.
    PushedBack {
        local: bool,
    },
    /// A marshal aborted it; it may have run.
    Aborted,
    /// The deadline passed or the connection failed; it may have run.
    Unknown,
    /// The deadline passed, and it never ran.
    NotSent,
    Rejected,
    /// Too many calls are queued.
    QueueFull,
    Cancelled,
}

/// An output of the core, executed by the runtime.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Open a connection to the marshal in this slot.
    Connect { conn: ConnId, marshal: usize },
    /// Send the call on this connection. `earlier`: number of attempts made before, to be sent along.
    Send { call: CallId, conn: ConnId, left: Duration, earlier: u32 },
    /// Close this connection.
    Close { conn: ConnId },
    /// Return this result to the caller.
    Finish { call: CallId, end: End },
}

/// State of a connection, with the slot of its marshal; the time is that since when it is idle.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Conn {
    Connecting(usize),
    Idle(usize, Duration),
    Busy(usize, CallId),
}

impl Conn {
    fn marshal(&self) -> usize {
        match *self {
            Conn::Connecting(of) | Conn::Idle(of, _) | Conn::Busy(of, _) => of,
        }
    }
}

struct Call {
    kind: Kind,
    /// Deadline.
    until: Duration,
    /// When the first attempt was sent.
    first: Option<Duration>,
    tries: u32,
    /// An earlier attempt may have run.
    ran: bool,
    /// Result of the latest attempt: the call ends with it if it cannot be retried.
    last: Option<End>,
    stage: Stage,
}

/// Queued for a connection, waiting for a retry at this time, or in flight on this connection.
#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Queued,
    Waiting(Duration),
    Out(ConnId),
}

#[derive(Default)]
struct Marshal {
    near: bool,
    /// The marshal was removed; the slot is free once it has no connection left.
    gone: bool,
    /// Consecutive failures.
    failures: u32,
    /// Ejected until this time.
    out_until: Duration,
    /// Failed connection attempts and lost connections since a connection was last established.
    attempts: u32,
    /// No new connection before this time.
    connect_at: Duration,
    /// Span over which the marshal wants its clients to reconnect if it goes away.
    spread: Duration,
}

/// Time constant, in seconds, of the exponential decay of `asked` and `through`.
const FADE: f64 = 3.0;
/// Upper limit of a marshal's spread; higher values are taken for a mistake.
const LONGEST_SPREAD: Duration = Duration::from_secs(120);
/// Highest probability with which a call is throttled. Some calls always pass, so that the recovery of a
/// marshal is noticed.
const MOST_HELD: f64 = 0.9;

/// The state machine of a channel.
pub struct Core {
    manners: Manners,
    marshals: Vec<Marshal>,
    conns: BTreeMap<ConnId, Conn>,
    calls: HashMap<CallId, Call>,
    queue: VecDeque<CallId>,
    /// Deadlines and retry times, by call.
    due: BTreeSet<(Duration, CallId)>,
    /// No warm connection is opened before this time, to any marshal: clients that lost their connections
    /// together must not reconnect together, wherever they connect to.
    warm_at: Duration,
    /// Retries left in the budget.
    store: f64,
    /// Exponentially decayed numbers of attempts that have ended (including throttled calls) and of those that
    /// were accepted. Attempts in flight count for neither: many concurrent calls are not a sign of overload.
    asked: f64,
    through: f64,
    /// When the two were last decayed.
    faded: Duration,
    now: Duration,
    next_conn: ConnId,
    rng: StdRng,
    /// Counters since the start.
    pub counts: Counts,
}

/// Counters of a channel. `held_back`: throttled calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub calls: u64,
    pub sent: u64,
    pub repeats: u64,
    pub connects: u64,
    pub held_back: u64,
}

impl Core {
    /// Creates the core. `near` tells for each marshal whether it is in the caller's zone.
    pub fn new(manners: Manners, near: &[bool], seed: u64) -> Self {
        let marshals = near.iter().map(|&near| Marshal { near, ..Marshal::default() }).collect();
        Core {
            store: manners.store,
            manners,
            marshals,
            conns: BTreeMap::new(),
            calls: HashMap::new(),
            queue: VecDeque::new(),
            due: BTreeSet::new(),
            warm_at: Duration::ZERO,
            asked: 0.0,
            through: 0.0,
            faded: Duration::ZERO,
            now: Duration::ZERO,
            next_conn: 0,
            rng: StdRng::seed_from_u64(seed),
            counts: Counts::default(),
        }
    }

    /// Returns when [`Event::Tick`] is due next; none if nothing waits for a time.
    pub fn due(&self) -> Option<Duration> {
        // Times in the past were handled when they came.
        let ahead = self.marshals.iter().map(|m| m.connect_at.max(m.out_until)).filter(|&at| at > self.now);
        let next = ahead.min();
        let queued = next.filter(|_| !self.queue.is_empty());
        let warm = (self.conns.len() < self.manners.warm).then_some(());
        let warm = warm.and_then(|()| Some(self.warm_at).filter(|&at| at > self.now).or(next));
        self.due.first().map(|d| d.0).into_iter().chain(queued).chain(warm).min()
    }

    /// Returns true if the slot holds a marshal.
    pub fn has_marshal(&self, slot: usize) -> bool {
        self.marshals.get(slot).is_some_and(|m| !m.gone)
    }

    /// Adds a marshal and returns its slot. The slot of a removed marshal is reused once it has no connection
    /// left.
    pub fn add_marshal(&mut self, near: bool) -> usize {
        let used = |core: &Self, slot: usize| core.conns.values().any(|c| c.marshal() == slot);
        let free = (0..self.marshals.len()).find(|&slot| self.marshals[slot].gone && !used(self, slot));
        let slot = free.unwrap_or(self.marshals.len());
        self.marshals.resize_with(self.marshals.len().max(slot + 1), Marshal::default);
        self.marshals[slot] = Marshal { near, ..Marshal::default() };
        slot
    }

    /// Removes a marshal: idle connections to it are closed, calls in flight complete on theirs.
    pub fn remove_marshal(&mut self, now: Duration, slot: usize) -> Vec<Action> {
        let Some(marshal) = self.marshals.get_mut(slot).filter(|m| !m.gone) else { return vec![] };
        marshal.gone = true;
        let idle = |c: &Conn| matches!(*c, Conn::Idle(of, _) if of == slot);
        let close: Vec<ConnId> = self.conns.iter().filter(|c| idle(c.1)).map(|c| *c.0).collect();
        close.iter().for_each(|conn| _ = self.conns.remove(conn));
        let mut out: Vec<Action> = close.into_iter().map(|conn| Action::Close { conn }).collect();
        out.extend(self.handle(now, Event::Tick));
        out
    }

    /// Handles an event and returns the actions to execute.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        // Two callers may read the clock in one order and get here in the other.
        let now = now.max(self.now);
        self.now = now;
        match event {
            Event::Call { call, kind, within } => self.take(now, call, kind, within, &mut out),
            Event::Connected { conn } => {
                if let Some(Conn::Connecting(marshal)) = self.conns.get(&conn).copied() {
                    if self.marshals[marshal].gone {
                        self.conns.remove(&conn);
                        out.push(Action::Close { conn });
                    } else {
                        self.conns.insert(conn, Conn::Idle(marshal, now));
                        self.marshals[marshal].attempts = 0;
                    }
                }
            }
            Event::ConnectFailed { conn } => {
                if let Some(Conn::Connecting(marshal)) = self.conns.remove(&conn) {
                    self.failed(now, marshal);
                    self.hold_off(now, marshal);
                }
            }
            Event::Closed { conn, draining } => {
                if let Some(Conn::Idle(marshal, _)) = self.conns.get(&conn).copied() {
                    self.conns.remove(&conn);
                    // The marshal's other clients may have lost their connections at the same time, so the
                    // reconnect is jittered.
                    self.hold_off(now, marshal);
                    if draining {
                        self.marshals[marshal].out_until = now + self.manners.eject.1;
                    }
                }
            }
            Event::Answered { call, reply, keep } => self.answered(now, call, reply, keep, &mut out),
            Event::Lost { call, sent } => self.lost(now, call, sent, &mut out),
            Event::Spread { call, span } => {
                if let Some(marshal) = self.place_of(call) {
                    self.marshals[marshal].spread = span.min(LONGEST_SPREAD);
                }
            }
            Event::Cancelled { call } => self.finish(call, End::Cancelled, &mut out),
            Event::Tick => {}
        }
        self.pass_time(now, &mut out);
        self.pump(now, &mut out);
        out
    }

    /// Admits a call: throttles it, refuses it if the queue is full, or queues it.
    fn take(&mut self, now: Duration, call: CallId, kind: Kind, within: Duration, out: &mut Vec<Action>) {
        self.counts.calls += 1;
        self.fade(now);
        self.store = (self.store + self.manners.earned).min(self.manners.store);
        // Adaptive throttling as in Google's SRE book: the rate of local refusals grows with that of the
        // marshals' push-backs.
        let excess = (self.asked - self.manners.throttle * (self.through + 5.0)) / (self.asked + 1.0);
        if excess > 0.0 && self.rng.random_bool(excess.min(MOST_HELD)) {
            self.counts.held_back += 1;
            self.asked += 1.0;
            out.push(Action::Finish { call, end: End::PushedBack { local: true } });
            return;
        }
        if self.queue.len() >= self.manners.queue {
            out.push(Action::Finish { call, end: End::QueueFull });
            return;
        }
        let until = now + within;
        let stage = Stage::Queued;
        let one = Call { kind, until, first: None, tries: 0, ran: false, last: None, stage };
        if self.calls.insert(call, one).is_none() {
            self.queue.push_back(call);
            self.due.insert((until, call));
        }
    }

    /// Applies the decay up to `now`.
    fn fade(&mut self, now: Duration) {
        let past = now.saturating_sub(self.faded).as_secs_f64();
        let part = (-past / FADE).exp();
        (self.asked, self.through, self.faded) = (self.asked * part, self.through * part, now);
    }

    /// Returns a random part of a span that doubles with each attempt (full jitter).
    fn jitter(&mut self, [base, most]: [Duration; 2], attempts: u32) -> Duration {
        let span = base.saturating_mul(1 << attempts.min(16)).min(most);
        span.mul_f64(self.rng.random_range(0.0..1.0))
    }

    /// Returns the slot of the marshal that handles the call's attempt.
    fn place_of(&self, call: CallId) -> Option<usize> {
        let Stage::Out(conn) = self.calls.get(&call)?.stage else { return None };
        self.conns.get(&conn).map(Conn::marshal)
    }

    /// Delays new connections to a marshal after a failed or closed connection.
    fn hold_off(&mut self, now: Duration, marshal: usize) {
        let Marshal { attempts, spread, .. } = self.marshals[marshal];
        let [base, most] = self.manners.reconnect;
        let (base, most) = (base.max(spread), most.max(spread));
        let wait = self.jitter([base, most], attempts);
        self.marshals[marshal].attempts += 1;
        // If other marshals are usable, this one is reconnected last, and its backoff does not delay
        // connections to the others.
        let fine = |(m, other): (usize, &Marshal)| m != marshal && !other.gone && other.attempts == 0;
        let others = self.marshals.iter().enumerate().any(fine);
        let (first, again) = if others { (self.jitter([base, base], 0), base + wait) } else { (wait, wait) };
        self.warm_at = self.warm_at.max(now + first);
        let marshal = &mut self.marshals[marshal];
        marshal.connect_at = marshal.connect_at.max(now + again);
    }

    /// Counts a failure of a marshal and ejects it if it has too many, as long as at most half of the marshals
    /// are ejected.
    fn failed(&mut self, now: Duration, marshal: usize) {
        let (most, span) = self.manners.eject;
        self.marshals[marshal].failures += 1;
        let present = || self.marshals.iter().filter(|m| !m.gone);
        let (out, all) = (present().filter(|m| m.out_until > now).count(), present().count());
        if self.marshals[marshal].failures >= most && 2 * (out + 1) <= all {
            self.marshals[marshal].out_until = now + span;
            self.marshals[marshal].failures = 0;
        }
    }

    /// Ends the call's attempt: its connection becomes idle or is closed. Returns the marshal's slot.
    fn release(&mut self, now: Duration, call: CallId, keep: bool, out: &mut Vec<Action>) -> Option<usize> {
        let Stage::Out(conn) = self.calls.get(&call)?.stage else { return None };
        let Some(Conn::Busy(marshal, _)) = self.conns.get(&conn).copied() else { return None };
        if keep && !self.marshals[marshal].gone {
            self.conns.insert(conn, Conn::Idle(marshal, now));
        } else {
            self.conns.remove(&conn);
            out.push(Action::Close { conn });
        }
        Some(marshal)
    }

    fn answered(&mut self, now: Duration, call: CallId, reply: Reply, keep: bool, out: &mut Vec<Action>) {
        let Some(marshal) = self.release(now, call, keep, out) else { return };
        self.marshals[marshal].failures = 0;
        self.asked += 1.0;
        match reply {
            Reply::Ok => {
                self.through += 1.0;
                self.finish(call, End::Ok, out);
            }
            Reply::Rejected => self.finish(call, End::Rejected, out),
            Reply::PushedBack { retry_after } => {
                // Jitter is added: calls that were pushed back together must not return together.
                let wait = retry_after.mul_f64(self.rng.random_range(1.0..1.5));
                self.again(now, call, false, End::PushedBack { local: false }, Some(wait), out);
            }
            Reply::Aborted => {
                self.through += 1.0;
                self.again(now, call, true, End::Aborted, None, out);
            }
        }
    }

    fn lost(&mut self, now: Duration, call: CallId, sent: bool, out: &mut Vec<Action>) {
        let Some(marshal) = self.release(now, call, false, out) else { return };
        self.asked += 1.0;
        self.failed(now, marshal);
        self.hold_off(now, marshal);
        let end = if sent { End::Unknown } else { End::NotSent };
        self.again(now, call, sent, end, None, out);
    }

    /// Retries a call if that is safe, possible before its deadline and within the retry budget; ends it
    /// otherwise.
    fn again(
        &mut self, now: Duration, id: CallId, ran: bool, end: End, wait: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        let Some(tries) = self.calls.get(&id).map(|c| c.tries) else { return };
        let wait = wait.unwrap_or_else(|| self.jitter(self.manners.wait, tries.saturating_sub(1)));
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.ran |= ran;
        // Once an attempt may have run, the call may have run, whatever a later attempt reports.
        let end = match end {
            End::PushedBack { .. } | End::NotSent if call.ran => End::Unknown,
            end => end,
        };
        call.last = Some(end);
        let at = now + wait;
        let allowed = match call.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => !call.ran,
            Kind::Tokened { window } => {
                !call.ran || call.first.is_none_or(|first| at + self.manners.least < first + window)
            }
        };
        if !allowed || at + self.manners.least >= call.until || self.store < 1.0 {
            self.finish(id, end, out);
            return;
        }
        self.store -= 1.0;
        call.stage = Stage::Waiting(at);
        self.due.insert((at, id));
    }

    /// Ends a call. An attempt in flight loses its connection.
    fn finish(&mut self, id: CallId, end: End, out: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&id) else { return };
        if let Stage::Out(conn) = call.stage {
            if matches!(self.conns.get(&conn), Some(Conn::Busy(_, of)) if *of == id) {
                // A late answer must not reach another call, so the connection is closed.
                self.conns.remove(&conn);
                out.push(Action::Close { conn });
            }
        }
        self.due.remove(&(call.until, id));
        if let Stage::Waiting(at) = call.stage {
            self.due.remove(&(at, id));
        }
        self.queue.retain(|&queued| queued != id);
        out.push(Action::Finish { call: id, end });
    }

    /// Ends calls whose deadline has passed and queues those whose retry is due.
    fn pass_time(&mut self, now: Duration, out: &mut Vec<Action>) {
        while let Some(&(at, id)) = self.due.first().filter(|d| d.0 <= now) {
            self.due.remove(&(at, id));
            let Some(call) = self.calls.get_mut(&id) else { continue };
            if now >= call.until {
                let out_now = matches!(call.stage, Stage::Out(_));
                self.asked += f64::from(u8::from(out_now));
                let end = match call.last {
                    _ if out_now || call.ran => End::Unknown,
                    Some(end) => end,
                    None => End::NotSent,
                };
                self.finish(id, end, out);
            } else if call.stage == Stage::Waiting(at) {
                call.stage = Stage::Queued;
                self.queue.push_back(id);
            }
        }
    }

    /// Returns the number of attempts in flight at a marshal.
    fn load(&self, marshal: usize) -> usize {
        self.conns.values().filter(|c| matches!(c, Conn::Busy(m, _) if *m == marshal)).count()
    }

    /// Chooses the less loaded of two random marshals (by this client's own attempts) among those that fit and
    /// are not ejected; those of the own zone take precedence.
    fn choose(&mut self, now: Duration, fits: impl Fn(&Self, usize) -> bool) -> Option<usize> {
        for near in [true, false] {
            let list: Vec<usize> = (0..self.marshals.len())
                .filter(|&m| {
                    let marshal = &self.marshals[m];
                    marshal.near == near && !marshal.gone && marshal.out_until <= now && fits(self, m)
                })
                .collect();
            if list.is_empty() {
                continue;
            }
            let (a, b) = (self.rng.random_range(0..list.len()), self.rng.random_range(0..list.len()));
            let (a, b) = (list[a], list[b]);
            return Some(if self.load(b) < self.load(a) { b } else { a });
        }
        None
    }

    /// Sends queued calls on idle connections, then opens connections for the rest and for the warm pool.
    fn pump(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut held = VecDeque::new();
        while let Some(id) = self.queue.pop_front() {
            let Some(call) = self.calls.get(&id) else { continue };
            let left = call.until.saturating_sub(now);
            if left <= self.manners.least {
                // No answer can arrive in time: the call stays queued until its deadline ends it.
                held.push_back(id);
                continue;
            }
            // The nodes may have forgotten the token while the call was queued.
            if let (Kind::Tokened { window }, true, Some(first)) = (call.kind, call.ran, call.first) {
                if now + self.manners.least >= first + window {
                    let end = call.last.unwrap_or(End::Unknown);
                    self.finish(id, end, out);
                    continue;
                }
            }
            let careful = call.kind == Kind::NonIdempotent;
            let fresh = self.manners.fresh;
            let usable = move |c: &Conn, m: usize| matches!(*c, Conn::Idle(of, since) if of == m && (!careful || now.saturating_sub(since) < fresh));
            let idle = self.choose(now, |core, m| core.conns.values().any(|c| usable(c, m)));
            let conn = idle.and_then(|m| self.conns.iter().rev().find(|c| usable(c.1, m)).map(|c| *c.0));
            let Some((conn, marshal)) = conn.zip(idle) else {
                held.push_back(id);
                continue;
            };
            self.conns.insert(conn, Conn::Busy(marshal, id));
            if let Some(call) = self.calls.get_mut(&id) {
                call.stage = Stage::Out(conn);
                call.first = call.first.or(Some(now));
                let earlier = call.tries;
                call.tries += 1;
                self.counts.sent += 1;
                self.counts.repeats += u64::from(earlier > 0);
                out.push(Action::Send { call: id, conn, left, earlier });
            }
        }
        self.queue = held;
        // One connection for each queued call, within the limits.
        let connecting = self.conns.values().filter(|c| matches!(c, Conn::Connecting(_))).count();
        let cold = if now < self.warm_at { 0 } else { self.manners.warm.saturating_sub(self.conns.len()) };
        let wanted = self.queue.len().max(cold + connecting).min(self.manners.handshakes);
        for _ in connecting..wanted {
            let most = self.manners.connections;
            let room = |core: &Self, m: usize| {
                let own = core.conns.values().filter(|c| c.marshal() == m).count();
                core.marshals[m].connect_at <= now && own < most
            };
            let Some(marshal) = self.choose(now, room) else { break };
            self.next_conn += 1;
            self.conns.insert(self.next_conn, Conn::Connecting(marshal));
            self.counts.connects += 1;
            out.push(Action::Connect { conn: self.next_conn, marshal });
        }
    }
}
