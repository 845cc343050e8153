//! The channel, generic over its runtime: one core behind a mutex, and callers that run their own calls.

use std::collections::{HashMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use ivydrift_wire::message;

use crate::call::{Answer, AttemptOutcome, Call, Error, Observer};
use crate::codec;
use crate::core::{Action, CallId, ClientConfig, ConnId, Core, Counts, End, Event, Kind, Reply};
use crate::tokens::Tokens;

/// Longest accepted answer.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which idle connections are checked, if the channel keeps warm connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The runtime of a channel: connections, waiting and background tasks.
pub trait Runtime: Send + Sync + 'static {
    /// A connection, owned by the task that uses it.
    type Connection: Send;
    /// A handle to a connection for other tasks: tests whether it is idle, or shuts it down.
    type Handle: Clone + Send;
    /// Wakes one waiting caller.
    type Waker: Default + Send + Sync;

    /// # Errors
    /// Fails if the connection cannot be established within the time.
    fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<Self::Connection>;
    /// Returns a handle to the connection.
    fn handle(connection: &Self::Connection) -> Self::Handle;
    /// Returns true if no bytes have arrived and the peer has not closed the connection.
    fn is_idle(handle: &Self::Handle) -> bool;
    /// Shuts the connection down.
    fn shutdown(handle: &Self::Handle);
    /// Writes all bytes until `by`.
    ///
    /// # Errors
    /// Fails if the write fails; the error carries the number of bytes written.
    fn write(
        connection: &mut Self::Connection, bytes: &[u8], deadline: Instant,
    ) -> Result<(), (usize, io::Error)>;
    /// Reads some bytes into `part` and returns their number, 0 at the end of the stream.
    ///
    /// # Errors
    /// Fails if the read fails, with `TimedOut` if nothing arrived until `by`.
    fn read(connection: &mut Self::Connection, buffer: &mut [u8], deadline: Instant) -> io::Result<usize>;
    /// Wakes the caller that waits on this.
    fn wake(waker: &Self::Waker);
    /// Waits until woken, for at most `span`.
    fn wait(waker: &Self::Waker, span: Duration);
    /// Sleeps for `span`.
    fn sleep(span: Duration);
    /// Runs `work` in the background.
    fn spawn(work: impl FnOnce() + Send + 'static);
}

/// Configures and builds a channel.
#[derive(Clone, Default)]
pub struct Builder {
    marshals: Vec<(SocketAddr, bool)>,
    methods: HashMap<String, (Kind, Duration)>,
    config: ClientConfig,
    seed: Option<u64>,
    observer: Option<Arc<dyn Observer>>,
}

impl Builder {
    /// Adds a marshal of the caller's own zone.
    pub fn marshal(mut self, at: SocketAddr) -> Self {
        self.marshals.push((at, true));
        self
    }

    /// Adds a marshal of another zone, used only if no near one is available.
    pub fn remote_marshal(mut self, at: SocketAddr) -> Self {
        self.marshals.push((at, false));
        self
    }

    /// Declares a method, with the default deadline of its calls.
    pub fn method(mut self, name: &str, kind: Kind, within: Duration) -> Self {
        self.methods.insert(name.to_owned(), (kind, within));
        self
    }

    /// Sets the channel's parameters.
    pub fn config(mut self, config: ClientConfig) -> Self {
        self.config = config;
        self
    }

    /// Seeds the random number generator, for tests.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = Some(seed);
        self
    }

    /// Sets the observer of calls and attempts.
    pub fn observer(mut self, observer: Arc<dyn Observer>) -> Self {
        self.observer = Some(observer);
        self
    }

    pub(crate) fn build_on<M: Runtime>(self) -> Result<Channel<M>, Error> {
        if self.marshals.is_empty() || self.methods.is_empty() {
            return Err(Error::BadCall("a channel needs at least one marshal and one method"));
        }
        let near: Vec<bool> = self.marshals.iter().map(|m| m.1).collect();
        let (seed, warm) = (self.seed.unwrap_or_else(rand::random), self.config.warm_connections > 0);
        let shared = Arc::new(Shared {
            methods: self.methods,
            observer: self.observer,
            epoch: Instant::now(),
            next_id: AtomicU64::new(0),
            inner: Mutex::new(Inner {
                core: Core::new(self.config, &near, seed),
                marshals: self.marshals.into_iter().map(|m| m.0).collect(),
                connections: HashMap::new(),
                mailboxes: HashMap::new(),
                tokens: Tokens::default(),
            }),
        });
        if warm {
            // The task ends when the channel is dropped.
            let weak = Arc::downgrade(&shared);
            M::spawn(move || maintain_connections(&weak));
        }
        Ok(Channel(shared))
    }
}

/// A set of marshals that are used as one; cheap to clone and shared by any number of callers. See
/// [`crate::blocking::Channel`] and [`crate::coroutine::Channel`].
pub struct Channel<M: Runtime>(Arc<Shared<M>>);

impl<M: Runtime> Clone for Channel<M> {
    fn clone(&self) -> Self {
        Channel(self.0.clone())
    }
}

struct Shared<M: Runtime> {
    methods: HashMap<String, (Kind, Duration)>,
    observer: Option<Arc<dyn Observer>>,
    epoch: Instant,
    next_id: AtomicU64,
    inner: Mutex<Inner<M>>,
}

/// An established connection. While a call uses it, `connection` is with that caller.
struct OpenConnection<M: Runtime> {
    addr: SocketAddr,
    handle: M::Handle,
    connection: Option<M::Connection>,
}

struct Inner<M: Runtime> {
    core: Core,
    marshals: Vec<SocketAddr>,
    connections: HashMap<ConnId, OpenConnection<M>>,
    /// The actions for each waiting caller.
    mailboxes: HashMap<CallId, (VecDeque<Action>, Arc<M::Waker>)>,
    tokens: Tokens,
}

impl<M: Runtime> Channel<M> {
    /// Starts the configuration of a channel.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Returns the counters since the channel was built.
    pub fn counts(&self) -> Counts {
        self.0.inner.lock().unwrap().core.counts
    }

    /// Returns the number of established connections.
    pub fn connections(&self) -> usize {
        self.0.inner.lock().unwrap().connections.len()
    }

    /// Replaces the list of marshals, each with whether it is near. Calls in flight complete on the connections
    /// that they use.
    ///
    /// # Errors
    /// Fails if the list is empty; the channel then keeps its marshals.
    pub fn set_marshals(&self, marshals: &[(SocketAddr, bool)]) -> Result<(), Error> {
        if marshals.is_empty() {
            return Err(Error::BadCall("a channel needs at least one marshal"));
        }
        let shared = &self.0;
        let mut wakers = Vec::new();
        {
            let mut inner = shared.inner.lock().unwrap();
            let inner = &mut *inner;
            for slot in 0..inner.marshals.len() {
                let stays = marshals.iter().any(|m| m.0 == inner.marshals[slot]);
                if !stays {
                    let actions = inner.core.remove_marshal(shared.epoch.elapsed(), slot);
                    wakers.extend(shared.dispatch(inner, actions));
                }
            }
            for &(at, near) in marshals {
                let mut same_addr = inner.marshals.iter().enumerate().filter(|m| *m.1 == at);
                if !same_addr.any(|(slot, _)| inner.core.has_marshal(slot)) {
                    let slot = inner.core.add_marshal(near);
                    inner.marshals.resize(inner.marshals.len().max(slot + 1), at);
                    inner.marshals[slot] = at;
                }
            }
            // Calls that are queued for lack of a marshal are tried again.
            let actions = inner.core.handle(shared.epoch.elapsed(), Event::Tick);
            wakers.extend(shared.dispatch(inner, actions));
        }
        wakers.iter().for_each(|waker| M::wake(waker));
        Ok(())
    }

    /// Makes a call and waits for its result, until its deadline at the latest.
    ///
    /// # Errors
    /// See [`Error`], which distinguishes calls that did not run from those that may have.
    pub fn call(&self, call: Call) -> Result<Answer, Error> {
        let shared = &self.0;
        let Some(&(kind, timeout)) = shared.methods.get(call.method) else {
            return Err(Error::BadCall("the method was not declared when the channel was built"));
        };
        let has_control_character = |text: &str| text.bytes().any(|b| b < b' ' && b != b'\t' || b == 0x7f);
        let values = call.token.iter().chain(&call.key).copied();
        let fields = call.fields.iter().flat_map(|f| [f.0, &*f.1]);
        if values.chain(fields).any(has_control_character) {
            return Err(Error::BadCall(
                "token, key and fields must not contain line breaks or control characters",
            ));
        }
        let started = shared.epoch.elapsed();
        if let Kind::Tokened { window } = kind {
            let Some(token) = call.token else {
                return Err(Error::BadCall(
                    "this method needs an idempotency token: set one with Call::token",
                ));
            };
            let mut inner = shared.inner.lock().unwrap();
            if !inner.tokens.record(started, window, token, call.method, call.body) {
                return Err(Error::BadCall(
                    "this token was already used for a different call, so nodes would drop this one as a repeat",
                ));
            }
        }
        let timeout = call.within.unwrap_or(timeout);
        let id = shared.next_id.fetch_add(1, Ordering::Relaxed);
        let waker = Arc::new(M::Waker::default());
        shared.inner.lock().unwrap().mailboxes.insert(id, (VecDeque::new(), waker.clone()));
        shared.handle_event(Event::Call { call: id, kind, timeout });
        if let Some(cancel) = call.cancel {
            let shared = shared.clone();
            cancel.on_cancel(move || shared.handle_event(Event::Cancelled { call: id }));
        }
        let (deadline, mut received, mut tries) = (shared.epoch + started + timeout, None, 0);
        loop {
            match shared.next_action(id, &waker) {
                Action::Send { conn, time_left, previous_attempts, .. } => {
                    tries += 1;
                    let mut announced = false;
                    let attempt =
                        shared.exchange(&call, conn, time_left, previous_attempts, deadline, &mut announced);
                    let past_deadline = Instant::now() >= deadline;
                    let (event, outcome) = match &attempt {
                        Ok(received) => {
                            let (reply, keep, more) = (received.reply, received.keep, received.more);
                            let outcome = AttemptOutcome::Answered { reply, answer: &received.answer, more };
                            (Event::Answered { call: id, reply, keep }, outcome)
                        }
                        // The core decides when the deadline has passed.
                        Err((_, e)) if e.kind() == ErrorKind::TimedOut || past_deadline => {
                            (Event::Tick, AttemptOutcome::DeadlineExceeded)
                        }
                        Err((sent, _)) => (
                            Event::Lost { call: id, sent: *sent },
                            AttemptOutcome::ConnectionLost { sent: *sent },
                        ),
                    };
                    if let Some(span) = attempt.as_ref().ok().and_then(|received| received.spread) {
                        shared.handle_event(Event::Spread { call: id, span });
                    }
                    if let Some(observer) = shared.observer.as_ref().filter(|_| announced) {
                        observer.attempt_ended(call.tag, outcome);
                    }
                    received = attempt.ok().map(|received| received.answer).or(received);
                    shared.handle_event(event);
                }
                Action::Finish { end, .. } => {
                    shared.inner.lock().unwrap().mailboxes.remove(&id);
                    call.cancel.inspect(|cancel| cancel.disarm());
                    let took = shared.epoch.elapsed().saturating_sub(started);
                    tracing::debug!(method = call.method, ?end, ?took, tries, "call ended");
                    if let Some(observer) = &shared.observer {
                        observer.call_ended(call.tag, call.method, end, took, tries);
                    }
                    return call_result(end, received);
                }
                _ => {}
            }
        }
    }
}

fn call_result(end: End, answer: Option<Answer>) -> Result<Answer, Error> {
    match end {
        End::Ok => answer.ok_or(Error::Unknown),
        End::PushedBack { local } => Err(Error::PushedBack { local }),
        End::Aborted => Err(Error::Aborted),
        End::Unknown | End::Cancelled => Err(Error::Unknown),
        End::NotSent => Err(Error::NotSent),
        End::QueueFull => Err(Error::QueueFull),
        End::Rejected => {
            let (status, body) = answer.map_or((0, vec![]), |answer| (answer.status, answer.body));
            Err(Error::Rejected { status, why: String::from_utf8_lossy(&body).trim().to_owned() })
        }
    }
}

/// A received answer.
struct Received {
    reply: Reply,
    answer: Answer,
    /// The connection may be used for another call.
    keep: bool,
    /// Further bytes followed the answer.
    more: bool,
    /// Span over which the marshal wants its clients to reconnect if it goes away.
    spread: Option<Duration>,
}

type Wakers<M> = Vec<Arc<<M as Runtime>::Waker>>;

impl<M: Runtime> Shared<M> {
    /// Passes an event to the core, then executes its actions or hands them to the callers concerned.
    fn handle_event(self: &Arc<Self>, event: Event) {
        let wakers = {
            let mut inner = self.inner.lock().unwrap();
            let actions = inner.core.handle(self.epoch.elapsed(), event);
            self.dispatch(&mut inner, actions)
        };
        wakers.iter().for_each(|waker| M::wake(waker));
    }

    /// Executes actions, or queues them for their callers; returns the wake-up handles of these callers.
    fn dispatch(self: &Arc<Self>, inner: &mut Inner<M>, actions: Vec<Action>) -> Wakers<M> {
        let mut wakers = Vec::new();
        for action in actions {
            match action {
                Action::Send { call, .. } | Action::Finish { call, .. } => {
                    if let Some((mailbox, waker)) = inner.mailboxes.get_mut(&call) {
                        mailbox.push_back(action);
                        wakers.push(waker.clone());
                    }
                }
                Action::Close { conn } => {
                    if let Some(open) = inner.connections.remove(&conn) {
                        M::shutdown(&open.handle);
                    }
                }
                // The core limits concurrent handshakes, and so the number of background tasks.
                Action::Connect { conn, marshal } => {
                    let (shared, to) = (self.clone(), inner.marshals[marshal]);
                    M::spawn(move || {
                        shared.observer.as_ref().inspect(|observer| observer.connecting(to));
                        let event = match M::connect(to, CONNECT_TIMEOUT) {
                            Ok(connection) => {
                                let handle = M::handle(&connection);
                                let open = OpenConnection { addr: to, handle, connection: Some(connection) };
                                shared.inner.lock().unwrap().connections.insert(conn, open);
                                Event::Connected { conn }
                            }
                            Err(_) => Event::ConnectFailed { conn },
                        };
                        shared.handle_event(event);
                    });
                }
            }
        }
        wakers
    }

    /// Waits for the next action of a caller. Callers that wait also deliver timer ticks to the core for all
    /// calls.
    fn next_action(self: &Arc<Self>, id: CallId, waker: &M::Waker) -> Action {
        loop {
            let (wait, wakers) = {
                let mut inner = self.inner.lock().unwrap();
                if let Some(action) = inner.mailboxes.get_mut(&id).and_then(|mailbox| mailbox.0.pop_front()) {
                    return action;
                }
                let (now, due) = (self.epoch.elapsed(), inner.core.due());
                match due.map(|due| due.saturating_sub(now)) {
                    Some(wait) if wait.is_zero() => {
                        let actions = inner.core.handle(now, Event::Tick);
                        (None, self.dispatch(&mut inner, actions))
                    }
                    wait => (Some(wait.unwrap_or(Duration::from_millis(50))), vec![]),
                }
            };
            wakers.iter().for_each(|waker| M::wake(waker));
            if let Some(wait) = wait {
                M::wait(waker, wait.max(Duration::from_micros(100)));
            }
        }
    }

    /// Makes one attempt on its connection. An error tells whether a byte of the RPC was written. `announced` is
    /// set once the observer was told that the attempt is sent.
    fn exchange(
        &self, call: &Call, conn: ConnId, time_left: Duration, previous_attempts: u32, deadline: Instant,
        announced: &mut bool,
    ) -> Result<Received, (bool, io::Error)> {
        let taken = {
            let mut inner = self.inner.lock().unwrap();
            inner.connections.get_mut(&conn).and_then(|open| Some((open.addr, open.connection.take()?)))
        };
        let (to, mut connection) = taken.ok_or((false, io::Error::from(ErrorKind::NotConnected)))?;
        // If the connection was closed while idle, the call is safe to send again: nothing has been sent.
        if !M::is_idle(&M::handle(&connection)) {
            return Err((false, ErrorKind::ConnectionReset.into()));
        }
        let more = self
            .observer
            .as_ref()
            .and_then(|o| o.attempt_starting(call.tag, to, time_left, previous_attempts));
        *announced = true;
        let request = codec::encode_call(call, time_left, previous_attempts, more);
        M::write(&mut connection, &request, deadline).map_err(|(n, e)| (n > 0, e))?;
        let (mut buffer, mut chunk) = (Vec::new(), [0; 4096]);
        let read = message::read_response(&mut buffer, MAX_ANSWER_BYTES, |buffer| {
            let n = M::read(&mut connection, &mut chunk, deadline)?;
            buffer.extend_from_slice(&chunk[..n]);
            Ok(n > 0)
        });
        let (head, body) = read.map_err(|e| (true, e))?;
        // Bytes after the answer belong to no request, so the connection is not reused.
        let more = !buffer.is_empty();
        let keep = head.keep_alive && !more;
        let spread = codec::reconnect_spread(&head);
        let (reply, answer) = codec::decode_answer(&head, body);
        if keep {
            if let Some(open) = self.inner.lock().unwrap().connections.get_mut(&conn) {
                open.connection = Some(connection);
            }
        }
        Ok(Received { reply, answer, keep, more, spread })
    }
}

/// Maintains warm connections between calls: detects closed ones and delivers timer ticks to the core.
fn maintain_connections<M: Runtime>(channel: &Weak<Shared<M>>) {
    // Spreads the checks of a process's channels over time.
    M::sleep(IDLE_CHECK_INTERVAL.mul_f64(rand::random::<f64>()));
    loop {
        let Some(shared) = channel.upgrade() else { return };
        let (now, closed): (_, Vec<ConnId>) = {
            let inner = shared.inner.lock().unwrap();
            let idle = inner.connections.iter().filter(|(_, open)| open.connection.is_some());
            (
                shared.epoch.elapsed(),
                idle.filter(|(_, connection)| !M::is_idle(&connection.handle))
                    .map(|(conn, _)| *conn)
                    .collect(),
            )
        };
        for conn in closed {
            shared.inner.lock().unwrap().connections.remove(&conn);
            shared.handle_event(Event::Closed { conn, draining: false });
        }
        shared.handle_event(Event::Tick);
        let due = shared
            .inner
            .lock()
            .unwrap()
            .core
            .due()
            .map_or(IDLE_CHECK_INTERVAL, |due| due.saturating_sub(now));
        drop(shared);
        M::sleep(due.clamp(Duration::from_millis(2), IDLE_CHECK_INTERVAL));
    }
}
