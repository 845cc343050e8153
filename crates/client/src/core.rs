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
pub struct ClientConfig {
    /// Maximum number of calls queued for a connection; further calls are refused at once.
    pub max_queued_calls: usize,
    /// Number of connections kept established between calls, so that a call needs no handshake.
    pub warm_connections: usize,
    /// Maximum number of connections to one marshal.
    pub max_connections_per_marshal: usize,
    /// Maximum number of concurrent handshakes, to all marshals together.
    pub max_handshakes: usize,
    /// Retry budget: retries earned by each call.
    pub retries_per_call: f64,
    /// Maximum of the retry budget, which is also its initial value.
    pub max_retry_budget: f64,
    /// Backoff before a retry, as base and maximum: a random part of a span that starts at the base and doubles
    /// with each attempt.
    pub retry_backoff: [Duration; 2],
    /// The same for connections to a marshal that refused or closed one.
    pub reconnect_backoff: [Duration; 2],
    /// Outlier ejection: after this many consecutive failures a marshal is not used for this time. At most half
    /// of the marshals are ejected at once.
    pub ejection: (u32, Duration),
    /// Connections that have been idle for longer than this are not used for non-idempotent calls.
    pub max_idle_for_non_idempotent: Duration,
    /// Calls are throttled at random once attempts exceed this multiple of the accepted ones.
    pub throttle_ratio: f64,
    /// Shortest time in which an answer can arrive; nothing is sent with less time left.
    pub min_time_left: Duration,
}

impl Default for ClientConfig {
    fn default() -> Self {
        let ms = Duration::from_millis;
        ClientConfig {
            max_queued_calls: 100,
            warm_connections: 0,
            max_connections_per_marshal: 4,
            max_handshakes: 2,
            retries_per_call: 0.1,
            max_retry_budget: 10.0,
            retry_backoff: [ms(50), ms(1000)],
            reconnect_backoff: [ms(200), ms(10_000)],
            ejection: (3, ms(2000)),
            max_idle_for_non_idempotent: ms(1000),
            throttle_ratio: 2.0,
            min_time_left: ms(5),
        }
    }
}

/// An input of the core, reported by the runtime.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// A caller makes a call, with this much time until its deadline.
    Call { call: CallId, kind: Kind, timeout: Duration },
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
    /// Send the call on this connection. `previous_attempts`: number of attempts made before, to be sent along.
    Send { call: CallId, conn: ConnId, time_left: Duration, previous_attempts: u32 },
    /// Close this connection.
    Close { conn: ConnId },
    /// Return this result to the caller.
    Finish { call: CallId, end: End },
}

/// State of a connection, with the slot of its marshal; the time is that since when it is idle.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnState {
    Connecting(usize),
    Idle(usize, Duration),
    Busy(usize, CallId),
}

impl ConnState {
    fn marshal(&self) -> usize {
        match *self {
            ConnState::Connecting(owner) | ConnState::Idle(owner, _) | ConnState::Busy(owner, _) => owner,
        }
    }
}

struct Call {
    kind: Kind,
    /// Deadline.
    deadline: Duration,
    /// When the first attempt was sent.
    first_sent: Option<Duration>,
    attempts: u32,
    /// An earlier attempt may have run.
    may_have_run: bool,
    /// Result of the latest attempt: the call ends with it if it cannot be retried.
    last_end: Option<End>,
    state: CallState,
}

/// Queued for a connection, waiting for a retry at this time, or in flight on this connection.
#[derive(Clone, Copy, PartialEq)]
enum CallState {
    Queued,
    Backoff(Duration),
    InFlight(ConnId),
}

#[derive(Default)]
struct Marshal {
    near: bool,
    /// The marshal was removed; the slot is free once it has no connection left.
    removed: bool,
    /// Consecutive failures.
    failures: u32,
    /// Ejected until this time.
    ejected_until: Duration,
    /// Failed connection attempts and lost connections since a connection was last established.
    connect_failures: u32,
    /// No new connection before this time.
    connect_after: Duration,
    /// Span over which the marshal wants its clients to reconnect if it goes away.
    reconnect_spread: Duration,
}

/// Time constant, in seconds, of the exponential decay of `recent_attempts` and `recent_accepted`.
const DECAY_SECONDS: f64 = 3.0;
/// Upper limit of a marshal's spread; higher values are taken for a mistake.
const MAX_RECONNECT_SPREAD: Duration = Duration::from_secs(120);
/// Highest probability with which a call is throttled. Some calls always pass, so that the recovery of a
/// marshal is noticed.
const MAX_THROTTLE_PROBABILITY: f64 = 0.9;

/// The state machine of a channel.
pub struct Core {
    config: ClientConfig,
    marshals: Vec<Marshal>,
    conns: BTreeMap<ConnId, ConnState>,
    calls: HashMap<CallId, Call>,
    queue: VecDeque<CallId>,
    /// Deadlines and retry times, by call.
    timers: BTreeSet<(Duration, CallId)>,
    /// No warm connection is opened before this time, to any marshal: clients that lost their connections
    /// together must not reconnect together, wherever they connect to.
    warm_connect_after: Duration,
    /// Retries left in the budget.
    retry_budget: f64,
    /// Exponentially decayed numbers of attempts that have ended (including throttled calls) and of those that
    /// were accepted. Attempts in flight count for neither: many concurrent calls are not a sign of overload.
    recent_attempts: f64,
    recent_accepted: f64,
    /// When the two were last decayed.
    decayed_at: Duration,
    now: Duration,
    next_conn: ConnId,
    rng: StdRng,
    /// Counters since the start.
    pub counts: Counts,
}

/// Counters of a channel. `throttled`: calls that were refused here and not sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub calls: u64,
    pub sent: u64,
    pub retries: u64,
    pub connects: u64,
    pub throttled: u64,
}

impl Core {
    /// Creates the core. `near` tells for each marshal whether it is in the caller's zone.
    pub fn new(config: ClientConfig, near: &[bool], seed: u64) -> Self {
        let marshals = near.iter().map(|&near| Marshal { near, ..Marshal::default() }).collect();
        Core {
            retry_budget: config.max_retry_budget,
            config,
            marshals,
            conns: BTreeMap::new(),
            calls: HashMap::new(),
            queue: VecDeque::new(),
            timers: BTreeSet::new(),
            warm_connect_after: Duration::ZERO,
            recent_attempts: 0.0,
            recent_accepted: 0.0,
            decayed_at: Duration::ZERO,
            now: Duration::ZERO,
            next_conn: 0,
            rng: StdRng::seed_from_u64(seed),
            counts: Counts::default(),
        }
    }

    /// Returns when [`Event::Tick`] is due next; none if nothing waits for a time.
    pub fn due(&self) -> Option<Duration> {
        // Times in the past were handled when they came.
        let ahead =
            self.marshals.iter().map(|m| m.connect_after.max(m.ejected_until)).filter(|&at| at > self.now);
        let next = ahead.min();
        let queued = next.filter(|_| !self.queue.is_empty());
        let warm = (self.conns.len() < self.config.warm_connections).then_some(());
        let warm = warm.and_then(|()| Some(self.warm_connect_after).filter(|&at| at > self.now).or(next));
        self.timers.first().map(|d| d.0).into_iter().chain(queued).chain(warm).min()
    }

    /// Returns true if the slot holds a marshal.
    pub fn has_marshal(&self, slot: usize) -> bool {
        self.marshals.get(slot).is_some_and(|m| !m.removed)
    }

    /// Adds a marshal and returns its slot. The slot of a removed marshal is reused once it has no connection
    /// left.
    pub fn add_marshal(&mut self, near: bool) -> usize {
        let used = |core: &Self, slot: usize| core.conns.values().any(|c| c.marshal() == slot);
        let free = (0..self.marshals.len()).find(|&slot| self.marshals[slot].removed && !used(self, slot));
        let slot = free.unwrap_or(self.marshals.len());
        self.marshals.resize_with(self.marshals.len().max(slot + 1), Marshal::default);
        self.marshals[slot] = Marshal { near, ..Marshal::default() };
        slot
    }

    /// Removes a marshal: idle connections to it are closed, calls in flight complete on theirs.
    pub fn remove_marshal(&mut self, now: Duration, slot: usize) -> Vec<Action> {
        let Some(marshal) = self.marshals.get_mut(slot).filter(|m| !m.removed) else { return vec![] };
        marshal.removed = true;
        let idle = |c: &ConnState| matches!(*c, ConnState::Idle(owner, _) if owner == slot);
        let close: Vec<ConnId> = self.conns.iter().filter(|c| idle(c.1)).map(|c| *c.0).collect();
        close.iter().for_each(|conn| _ = self.conns.remove(conn));
        let mut actions: Vec<Action> = close.into_iter().map(|conn| Action::Close { conn }).collect();
        actions.extend(self.handle(now, Event::Tick));
        actions
    }

    /// Handles an event and returns the actions to execute.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        // Two callers may read the clock in one order and get here in the other.
        let now = now.max(self.now);
        self.now = now;
        match event {
            Event::Call { call, kind, timeout } => self.admit(now, call, kind, timeout, &mut actions),
            Event::Connected { conn } => {
                if let Some(ConnState::Connecting(marshal)) = self.conns.get(&conn).copied() {
                    if self.marshals[marshal].removed {
                        self.conns.remove(&conn);
                        actions.push(Action::Close { conn });
                    } else {
                        self.conns.insert(conn, ConnState::Idle(marshal, now));
                        self.marshals[marshal].connect_failures = 0;
                    }
                }
            }
            Event::ConnectFailed { conn } => {
                if let Some(ConnState::Connecting(marshal)) = self.conns.remove(&conn) {
                    self.record_failure(now, marshal);
                    self.back_off(now, marshal);
                }
            }
            Event::Closed { conn, draining } => {
                if let Some(ConnState::Idle(marshal, _)) = self.conns.get(&conn).copied() {
                    self.conns.remove(&conn);
                    // The marshal's other clients may have lost their connections at the same time, so the
                    // reconnect is jittered.
                    self.back_off(now, marshal);
                    if draining {
                        self.marshals[marshal].ejected_until = now + self.config.ejection.1;
                    }
                }
            }
            Event::Answered { call, reply, keep } => self.on_answered(now, call, reply, keep, &mut actions),
            Event::Lost { call, sent } => self.on_lost(now, call, sent, &mut actions),
            Event::Spread { call, span } => {
                if let Some(marshal) = self.marshal_of(call) {
                    self.marshals[marshal].reconnect_spread = span.min(MAX_RECONNECT_SPREAD);
                }
            }
            Event::Cancelled { call } => self.finish(call, End::Cancelled, &mut actions),
            Event::Tick => {}
        }
        self.expire_timers(now, &mut actions);
        self.send_and_connect(now, &mut actions);
        actions
    }

    /// Admits a call: throttles it, refuses it if the queue is full, or queues it.
    fn admit(
        &mut self, now: Duration, call: CallId, kind: Kind, timeout: Duration, actions: &mut Vec<Action>,
    ) {
        self.counts.calls += 1;
        self.decay(now);
        self.retry_budget =
            (self.retry_budget + self.config.retries_per_call).min(self.config.max_retry_budget);
        // Adaptive throttling as in Google's SRE book: the rate of local refusals grows with that of the
        // marshals' push-backs.
        let excess = (self.recent_attempts - self.config.throttle_ratio * (self.recent_accepted + 5.0))
            / (self.recent_attempts + 1.0);
        if excess > 0.0 && self.rng.random_bool(excess.min(MAX_THROTTLE_PROBABILITY)) {
            self.counts.throttled += 1;
            self.recent_attempts += 1.0;
            actions.push(Action::Finish { call, end: End::PushedBack { local: true } });
            return;
        }
        if self.queue.len() >= self.config.max_queued_calls {
            actions.push(Action::Finish { call, end: End::QueueFull });
            return;
        }
        let deadline = now + timeout;
        let state = CallState::Queued;
        let new_call = Call {
            kind,
            deadline,
            first_sent: None,
            attempts: 0,
            may_have_run: false,
            last_end: None,
            state,
        };
        if self.calls.insert(call, new_call).is_none() {
            self.queue.push_back(call);
            self.timers.insert((deadline, call));
        }
    }

    /// Applies the decay up to `now`.
    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.decayed_at).as_secs_f64();
        let factor = (-elapsed / DECAY_SECONDS).exp();
        (self.recent_attempts, self.recent_accepted, self.decayed_at) =
            (self.recent_attempts * factor, self.recent_accepted * factor, now);
    }

    /// Returns a random part of a span that doubles with each attempt (full jitter).
    fn jitter(&mut self, [base, limit]: [Duration; 2], attempts: u32) -> Duration {
        let span = base.saturating_mul(1 << attempts.min(16)).min(limit);
        span.mul_f64(self.rng.random_range(0.0..1.0))
    }

    /// Returns the slot of the marshal that handles the call's attempt.
    fn marshal_of(&self, call: CallId) -> Option<usize> {
        let CallState::InFlight(conn) = self.calls.get(&call)?.state else { return None };
        self.conns.get(&conn).map(ConnState::marshal)
    }

    /// Delays new connections to a marshal after a failed or closed connection.
    fn back_off(&mut self, now: Duration, marshal: usize) {
        let Marshal { connect_failures, reconnect_spread, .. } = self.marshals[marshal];
        let [base, limit] = self.config.reconnect_backoff;
        let (base, limit) = (base.max(reconnect_spread), limit.max(reconnect_spread));
        let wait = self.jitter([base, limit], connect_failures);
        self.marshals[marshal].connect_failures += 1;
        // If other marshals are usable, this one is reconnected last, and its backoff does not delay
        // connections to the others.
        let usable =
            |(m, other): (usize, &Marshal)| m != marshal && !other.removed && other.connect_failures == 0;
        let other_usable = self.marshals.iter().enumerate().any(usable);
        let (warm_delay, delay) =
            if other_usable { (self.jitter([base, base], 0), base + wait) } else { (wait, wait) };
        self.warm_connect_after = self.warm_connect_after.max(now + warm_delay);
        let marshal = &mut self.marshals[marshal];
        marshal.connect_after = marshal.connect_after.max(now + delay);
    }

    /// Counts a failure of a marshal and ejects it if it has too many, as long as at most half of the marshals
    /// are ejected.
    fn record_failure(&mut self, now: Duration, marshal: usize) {
        let (limit, span) = self.config.ejection;
        self.marshals[marshal].failures += 1;
        let present = || self.marshals.iter().filter(|m| !m.removed);
        let (ejected, total) = (present().filter(|m| m.ejected_until > now).count(), present().count());
        if self.marshals[marshal].failures >= limit && 2 * (ejected + 1) <= total {
            self.marshals[marshal].ejected_until = now + span;
            self.marshals[marshal].failures = 0;
        }
    }

    /// Ends the call's attempt: its connection becomes idle or is closed. Returns the marshal's slot.
    fn end_attempt(
        &mut self, now: Duration, call: CallId, keep: bool, actions: &mut Vec<Action>,
    ) -> Option<usize> {
        let CallState::InFlight(conn) = self.calls.get(&call)?.state else { return None };
        let Some(ConnState::Busy(marshal, _)) = self.conns.get(&conn).copied() else { return None };
        if keep && !self.marshals[marshal].removed {
            self.conns.insert(conn, ConnState::Idle(marshal, now));
        } else {
            self.conns.remove(&conn);
            actions.push(Action::Close { conn });
        }
        Some(marshal)
    }

    fn on_answered(
        &mut self, now: Duration, call: CallId, reply: Reply, keep: bool, actions: &mut Vec<Action>,
    ) {
        let Some(marshal) = self.end_attempt(now, call, keep, actions) else { return };
        self.marshals[marshal].failures = 0;
        self.recent_attempts += 1.0;
        match reply {
            Reply::Ok => {
                self.recent_accepted += 1.0;
                self.finish(call, End::Ok, actions);
            }
            Reply::Rejected => self.finish(call, End::Rejected, actions),
            Reply::PushedBack { retry_after } => {
                // Jitter is added: calls that were pushed back together must not return together.
                let wait = retry_after.mul_f64(self.rng.random_range(1.0..1.5));
                self.retry_or_finish(now, call, false, End::PushedBack { local: false }, Some(wait), actions);
            }
            Reply::Aborted => {
                self.recent_accepted += 1.0;
                self.retry_or_finish(now, call, true, End::Aborted, None, actions);
            }
        }
    }

    fn on_lost(&mut self, now: Duration, call: CallId, sent: bool, actions: &mut Vec<Action>) {
        let Some(marshal) = self.end_attempt(now, call, false, actions) else { return };
        self.recent_attempts += 1.0;
        self.record_failure(now, marshal);
        self.back_off(now, marshal);
        let end = if sent { End::Unknown } else { End::NotSent };
        self.retry_or_finish(now, call, sent, end, None, actions);
    }

    /// Retries a call if that is safe, possible before its deadline and within the retry budget; ends it
    /// otherwise.
    fn retry_or_finish(
        &mut self, now: Duration, id: CallId, may_have_run: bool, end: End, wait: Option<Duration>,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempts) = self.calls.get(&id).map(|c| c.attempts) else { return };
        let wait = wait.unwrap_or_else(|| self.jitter(self.config.retry_backoff, attempts.saturating_sub(1)));
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.may_have_run |= may_have_run;
        // Once an attempt may have run, the call may have run, whatever a later attempt reports.
        let end = match end {
            End::PushedBack { .. } | End::NotSent if call.may_have_run => End::Unknown,
            end => end,
        };
        call.last_end = Some(end);
        let at = now + wait;
        let allowed = match call.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => !call.may_have_run,
            Kind::Tokened { window } => {
                !call.may_have_run
                    || call
                        .first_sent
                        .is_none_or(|first_sent| at + self.config.min_time_left < first_sent + window)
            }
        };
        if !allowed || at + self.config.min_time_left >= call.deadline || self.retry_budget < 1.0 {
            self.finish(id, end, actions);
            return;
        }
        self.retry_budget -= 1.0;
        call.state = CallState::Backoff(at);
        self.timers.insert((at, id));
    }

    /// Ends a call. An attempt in flight loses its connection.
    fn finish(&mut self, id: CallId, end: End, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&id) else { return };
        if let CallState::InFlight(conn) = call.state {
            if matches!(self.conns.get(&conn), Some(ConnState::Busy(_, owner)) if *owner == id) {
                // A late answer must not reach another call, so the connection is closed.
                self.conns.remove(&conn);
                actions.push(Action::Close { conn });
            }
        }
        self.timers.remove(&(call.deadline, id));
        if let CallState::Backoff(at) = call.state {
            self.timers.remove(&(at, id));
        }
        self.queue.retain(|&queued| queued != id);
        actions.push(Action::Finish { call: id, end });
    }

    /// Ends calls whose deadline has passed and queues those whose retry is due.
    fn expire_timers(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while let Some(&(at, id)) = self.timers.first().filter(|d| d.0 <= now) {
            self.timers.remove(&(at, id));
            let Some(call) = self.calls.get_mut(&id) else { continue };
            if now >= call.deadline {
                let was_in_flight = matches!(call.state, CallState::InFlight(_));
                self.recent_attempts += f64::from(u8::from(was_in_flight));
                let end = match call.last_end {
                    _ if was_in_flight || call.may_have_run => End::Unknown,
                    Some(end) => end,
                    None => End::NotSent,
                };
                self.finish(id, end, actions);
            } else if call.state == CallState::Backoff(at) {
                call.state = CallState::Queued;
                self.queue.push_back(id);
            }
        }
    }

    /// Returns the number of attempts in flight at a marshal.
    fn in_flight(&self, marshal: usize) -> usize {
        self.conns.values().filter(|c| matches!(c, ConnState::Busy(m, _) if *m == marshal)).count()
    }

    /// Chooses the less loaded of two random marshals (by this client's own attempts) among those that fit and
    /// are not ejected; those of the own zone take precedence.
    fn choose_marshal(&mut self, now: Duration, eligible: impl Fn(&Self, usize) -> bool) -> Option<usize> {
        for near in [true, false] {
            let candidates: Vec<usize> = (0..self.marshals.len())
                .filter(|&m| {
                    let marshal = &self.marshals[m];
                    marshal.near == near
                        && !marshal.removed
                        && marshal.ejected_until <= now
                        && eligible(self, m)
                })
                .collect();
            if candidates.is_empty() {
                continue;
            }
            let (a, b) =
                (self.rng.random_range(0..candidates.len()), self.rng.random_range(0..candidates.len()));
            let (a, b) = (candidates[a], candidates[b]);
            return Some(if self.in_flight(b) < self.in_flight(a) { b } else { a });
        }
        None
    }

    /// Sends queued calls on idle connections, then opens connections for the rest and for the warm pool.
    fn send_and_connect(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut unsent = VecDeque::new();
        while let Some(id) = self.queue.pop_front() {
            let Some(call) = self.calls.get(&id) else { continue };
            let time_left = call.deadline.saturating_sub(now);
            if time_left <= self.config.min_time_left {
                // No answer can arrive in time: the call stays queued until its deadline ends it.
                unsent.push_back(id);
                continue;
            }
            // The nodes may have forgotten the token while the call was queued.
            if let (Kind::Tokened { window }, true, Some(first_sent)) =
                (call.kind, call.may_have_run, call.first_sent)
            {
                if now + self.config.min_time_left >= first_sent + window {
                    let end = call.last_end.unwrap_or(End::Unknown);
                    self.finish(id, end, actions);
                    continue;
                }
            }
            let must_be_fresh = call.kind == Kind::NonIdempotent;
            let fresh = self.config.max_idle_for_non_idempotent;
            let usable = move |c: &ConnState, m: usize| matches!(*c, ConnState::Idle(owner, since) if owner == m && (!must_be_fresh || now.saturating_sub(since) < fresh));
            let idle = self.choose_marshal(now, |core, m| core.conns.values().any(|c| usable(c, m)));
            let conn = idle.and_then(|m| self.conns.iter().rev().find(|c| usable(c.1, m)).map(|c| *c.0));
            let Some((conn, marshal)) = conn.zip(idle) else {
                unsent.push_back(id);
                continue;
            };
            self.conns.insert(conn, ConnState::Busy(marshal, id));
            if let Some(call) = self.calls.get_mut(&id) {
                call.state = CallState::InFlight(conn);
                call.first_sent = call.first_sent.or(Some(now));
                let previous_attempts = call.attempts;
                call.attempts += 1;
                self.counts.sent += 1;
                self.counts.retries += u64::from(previous_attempts > 0);
                actions.push(Action::Send { call: id, conn, time_left, previous_attempts });
            }
        }
        self.queue = unsent;
        // One connection for each queued call, within the limits.
        let connecting = self.conns.values().filter(|c| matches!(c, ConnState::Connecting(_))).count();
        let missing_warm = if now < self.warm_connect_after {
            0
        } else {
            self.config.warm_connections.saturating_sub(self.conns.len())
        };
        let wanted = self.queue.len().max(missing_warm + connecting).min(self.config.max_handshakes);
        for _ in connecting..wanted {
            let limit = self.config.max_connections_per_marshal;
            let has_room = |core: &Self, m: usize| {
                let own = core.conns.values().filter(|c| c.marshal() == m).count();
                core.marshals[m].connect_after <= now && own < limit
            };
            let Some(marshal) = self.choose_marshal(now, has_room) else { break };
            self.next_conn += 1;
            self.conns.insert(self.next_conn, ConnState::Connecting(marshal));
            self.counts.connects += 1;
            actions.push(Action::Connect { conn: self.next_conn, marshal });
        }
    }
}
