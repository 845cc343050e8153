//! The channel, generic over its runtime: one core behind a mutex, and callers that run their own calls.

use std::collections::{HashMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use ivydrift_wire::message;

use crate::call::{Answer, Call, Error, Observer, Tried};
use crate::core::{Action, CallId, ConnId, Core, Counts, End, Event, Kind, Manners, Reply};
use crate::spoken;
use crate::tokens::Tokens;

/// Longest accepted answer.
const ANSWER_BYTES: usize = 16 << 20;
/// Timeout for establishing a connection.
const CONNECT: Duration = Duration::from_secs(1);
/// Interval at which idle connections are checked, if the channel keeps warm connections.
const LOOK: Duration = Duration::from_millis(200);

/// The runtime of a channel: connections, waiting and background tasks.
pub trait Means: Send + Sync + 'static {
    /// A connection, owned by the task that uses it.
    type Line: Send;
    /// A handle to a connection for other tasks: tests whether it is idle, or shuts it down.
    type Look: Clone + Send;
    /// Wakes one waiting caller.
    type Bell: Default + Send + Sync;

    /// # Errors
    /// Fails if the connection cannot be established within the time.
    fn connect(to: SocketAddr, within: Duration) -> io::Result<Self::Line>;
    /// Returns a handle to the connection.
    fn look(line: &Self::Line) -> Self::Look;
    /// Returns true if no bytes have arrived and the peer has not closed the connection.
    fn quiet(look: &Self::Look) -> bool;
    /// Shuts the connection down.
    fn cut(look: &Self::Look);
    /// Writes all bytes until `by`.
    ///
    /// # Errors
    /// Fails if the write fails; the error carries the number of bytes written.
    fn write(line: &mut Self::Line, bytes: &[u8], by: Instant) -> Result<(), (usize, io::Error)>;
    /// Reads some bytes into `part` and returns their number, 0 at the end of the stream.
    ///
    /// # Errors
    /// Fails if the read fails, with `TimedOut` if nothing arrived until `by`.
    fn read(line: &mut Self::Line, part: &mut [u8], by: Instant) -> io::Result<usize>;
    /// Wakes the caller that waits on this.
    fn ring(bell: &Self::Bell);
    /// Waits until woken, for at most `span`.
    fn wait(bell: &Self::Bell, span: Duration);
    /// Sleeps for `span`.
    fn pause(span: Duration);
    /// Runs `work` in the background.
    fn beside(work: impl FnOnce() + Send + 'static);
}

/// Configures and builds a channel.
#[derive(Clone, Default)]
pub struct Builder {
    marshals: Vec<(SocketAddr, bool)>,
    methods: HashMap<String, (Kind, Duration)>,
    manners: Manners,
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
    pub fn far_marshal(mut self, at: SocketAddr) -> Self {
        self.marshals.push((at, false));
        self
    }

    /// Declares a method, with the default deadline of its calls.
    pub fn method(mut self, name: &str, kind: Kind, within: Duration) -> Self {
        self.methods.insert(name.to_owned(), (kind, within));
        self
    }

    /// Sets the channel's parameters.
    pub fn manners(mut self, manners: Manners) -> Self {
        self.manners = manners;
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

    pub(crate) fn on<M: Means>(self) -> Result<Channel<M>, Error> {
        if self.marshals.is_empty() || self.methods.is_empty() {
            return Err(Error::BadCall("a channel needs at least one marshal and one method"));
        }
        let near: Vec<bool> = self.marshals.iter().map(|m| m.1).collect();
        let (seed, warm) = (self.seed.unwrap_or_else(rand::random), self.manners.warm > 0);
        let shared = Arc::new(Shared {
            methods: self.methods,
            observer: self.observer,
            zero: Instant::now(),
            ids: AtomicU64::new(0),
            inner: Mutex::new(Inner {
                core: Core::new(self.manners, &near, seed),
                marshals: self.marshals.into_iter().map(|m| m.0).collect(),
                lines: HashMap::new(),
                mail: HashMap::new(),
                tokens: Tokens::default(),
            }),
        });
        if warm {
            // The task ends when the channel is dropped.
            let keeper = Arc::downgrade(&shared);
            M::beside(move || keep(&keeper));
        }
        Ok(Channel(shared))
    }
}

/// A set of marshals that are used as one; cheap to clone and shared by any number of callers. See
/// [`crate::blocking::Channel`] and [`crate::coroutine::Channel`].
pub struct Channel<M: Means>(Arc<Shared<M>>);

impl<M: Means> Clone for Channel<M> {
    fn clone(&self) -> Self {
        Channel(self.0.clone())
    }
}

struct Shared<M: Means> {
    methods: HashMap<String, (Kind, Duration)>,
    observer: Option<Arc<dyn Observer>>,
    zero: Instant,
    ids: AtomicU64,
    inner: Mutex<Inner<M>>,
}

/// An established connection. While a call uses it, `line` is with that caller.
struct Standing<M: Means> {
    to: SocketAddr,
    look: M::Look,
    line: Option<M::Line>,
}

struct Inner<M: Means> {
    core: Core,
    marshals: Vec<SocketAddr>,
    lines: HashMap<ConnId, Standing<M>>,
    /// The actions for each waiting caller.
    mail: HashMap<CallId, (VecDeque<Action>, Arc<M::Bell>)>,
    tokens: Tokens,
}

impl<M: Means> Channel<M> {
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
        self.0.inner.lock().unwrap().lines.len()
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
        let mut bells = Vec::new();
        {
            let mut inner = shared.inner.lock().unwrap();
            let inner = &mut *inner;
            for slot in 0..inner.marshals.len() {
                let stays = marshals.iter().any(|m| m.0 == inner.marshals[slot]);
                if !stays {
                    let actions = inner.core.remove_marshal(shared.zero.elapsed(), slot);
                    bells.extend(shared.route(inner, actions));
                }
            }
            for &(at, near) in marshals {
                let mut slots = inner.marshals.iter().enumerate().filter(|m| *m.1 == at);
                if !slots.any(|(slot, _)| inner.core.has_marshal(slot)) {
                    let slot = inner.core.add_marshal(near);
                    inner.marshals.resize(inner.marshals.len().max(slot + 1), at);
                    inner.marshals[slot] = at;
                }
            }
            // Calls that are queued for lack of a marshal are tried again.
            let actions = inner.core.handle(shared.zero.elapsed(), Event::Tick);
            bells.extend(shared.route(inner, actions));
        }
        bells.iter().for_each(|bell| M::ring(bell));
        Ok(())
    }

    /// Makes a call and waits for its result, until its deadline at the latest.
    ///
    /// # Errors
    /// See [`Error`], which distinguishes calls that did not run from those that may have.
    pub fn call(&self, call: Call) -> Result<Answer, Error> {
        let shared = &self.0;
        let Some(&(kind, within)) = shared.methods.get(call.method) else {
            return Err(Error::BadCall("the method was not declared when the channel was built"));
        };
        let broken = |text: &str| text.bytes().any(|b| b < b' ' && b != b'\t' || b == 0x7f);
        let texts = call.token.iter().chain(&call.key).copied();
        let fields = call.fields.iter().flat_map(|f| [f.0, &*f.1]);
        if texts.chain(fields).any(broken) {
            return Err(Error::BadCall(
                "token, key and fields must not contain line breaks or control characters",
            ));
        }
        let began = shared.zero.elapsed();
        if let Kind::Tokened { window } = kind {
            let Some(token) = call.token else {
                return Err(Error::BadCall(
                    "this method needs an idempotency token: set one with Call::token",
                ));
            };
            let mut inner = shared.inner.lock().unwrap();
            if !inner.tokens.take(began, window, token, call.method, call.body) {
                return Err(Error::BadCall(
                    "this token was already used for a different call, so nodes would drop this one as a repeat",
                ));
            }
        }
        let within = call.within.unwrap_or(within);
        let id = shared.ids.fetch_add(1, Ordering::Relaxed);
        let bell = Arc::new(M::Bell::default());
        shared.inner.lock().unwrap().mail.insert(id, (VecDeque::new(), bell.clone()));
        shared.tell(Event::Call { call: id, kind, within });
        if let Some(cancel) = call.cancel {
            let shared = shared.clone();
            cancel.then(move || shared.tell(Event::Cancelled { call: id }));
        }
        let (until, mut got, mut tries) = (shared.zero + began + within, None, 0);
        loop {
            match shared.next(id, &bell) {
                Action::Send { conn, left, earlier, .. } => {
                    tries += 1;
                    let mut seen = false;
                    let tried = shared.exchange(&call, conn, left, earlier, until, &mut seen);
                    let late = Instant::now() >= until;
                    let (event, how) = match &tried {
                        Ok(got) => {
                            let (reply, keep, more) = (got.reply, got.keep, got.more);
                            let how = Tried::Answered { reply, answer: &got.answer, more };
                            (Event::Answered { call: id, reply, keep }, how)
                        }
                        // The core decides when the deadline has passed.
                        Err((_, e)) if e.kind() == ErrorKind::TimedOut || late => {
                            (Event::Tick, Tried::TimeUp)
                        }
                        Err((sent, _)) => {
                            (Event::Lost { call: id, sent: *sent }, Tried::Broken { sent: *sent })
                        }
                    };
                    if let Some(span) = tried.as_ref().ok().and_then(|got| got.spread) {
                        shared.tell(Event::Spread { call: id, span });
                    }
                    if let Some(observer) = shared.observer.as_ref().filter(|_| seen) {
                        observer.tried(call.tag, how);
                    }
                    got = tried.ok().map(|got| got.answer).or(got);
                    shared.tell(event);
                }
                Action::Finish { end, .. } => {
                    shared.inner.lock().unwrap().mail.remove(&id);
                    call.cancel.inspect(|cancel| cancel.over());
                    let took = shared.zero.elapsed().saturating_sub(began);
                    tracing::debug!(method = call.method, ?end, ?took, tries, "call ended");
                    if let Some(observer) = &shared.observer {
                        observer.ended(call.tag, call.method, end, took, tries);
                    }
                    return result(end, got);
                }
                _ => {}
            }
        }
    }
}

fn result(end: End, got: Option<Answer>) -> Result<Answer, Error> {
    match end {
        End::Ok => got.ok_or(Error::Unknown),
        End::PushedBack { local } => Err(Error::PushedBack { local }),
        End::Aborted => Err(Error::Aborted),
        End::Unknown | End::Cancelled => Err(Error::Unknown),
        End::NotSent => Err(Error::NotSent),
        End::QueueFull => Err(Error::QueueFull),
        End::Rejected => {
            let (status, body) = got.map_or((0, vec![]), |got| (got.status, got.body));
            Err(Error::Rejected { status, why: String::from_utf8_lossy(&body).trim().to_owned() })
        }
    }
}

/// A received answer.
struct Got {
    reply: Reply,
    answer: Answer,
    /// The connection may be used for another call.
    keep: bool,
    /// Further bytes followed the answer.
    more: bool,
    /// Span over which the marshal wants its clients to reconnect if it goes away.
    spread: Option<Duration>,
}

type Bells<M> = Vec<Arc<<M as Means>::Bell>>;

impl<M: Means> Shared<M> {
    /// Passes an event to the core, then executes its actions or hands them to the callers concerned.
    fn tell(self: &Arc<Self>, event: Event) {
        let bells = {
            let mut inner = self.inner.lock().unwrap();
            let actions = inner.core.handle(self.zero.elapsed(), event);
            self.route(&mut inner, actions)
        };
        bells.iter().for_each(|bell| M::ring(bell));
    }

    /// Executes actions, or queues them for their callers; returns the wake-up handles of these callers.
    fn route(self: &Arc<Self>, inner: &mut Inner<M>, actions: Vec<Action>) -> Bells<M> {
        let mut bells = Vec::new();
        for action in actions {
            match action {
                Action::Send { call, .. } | Action::Finish { call, .. } => {
                    if let Some((mail, bell)) = inner.mail.get_mut(&call) {
                        mail.push_back(action);
                        bells.push(bell.clone());
                    }
                }
                Action::Close { conn } => {
                    if let Some(standing) = inner.lines.remove(&conn) {
                        M::cut(&standing.look);
                    }
                }
                // The core limits concurrent handshakes, and so the number of background tasks.
                Action::Connect { conn, marshal } => {
                    let (shared, to) = (self.clone(), inner.marshals[marshal]);
                    M::beside(move || {
                        shared.observer.as_ref().inspect(|observer| observer.connecting(to));
                        let event = match M::connect(to, CONNECT) {
                            Ok(line) => {
                                let look = M::look(&line);
                                let standing = Standing { to, look, line: Some(line) };
                                shared.inner.lock().unwrap().lines.insert(conn, standing);
                                Event::Connected { conn }
                            }
                            Err(_) => Event::ConnectFailed { conn },
                        };
                        shared.tell(event);
                    });
                }
            }
        }
        bells
    }

    /// Waits for the next action of a caller. Callers that wait also deliver timer ticks to the core for all
    /// calls.
    fn next(self: &Arc<Self>, id: CallId, bell: &M::Bell) -> Action {
        loop {
            let (wait, bells) = {
                let mut inner = self.inner.lock().unwrap();
                if let Some(action) = inner.mail.get_mut(&id).and_then(|mail| mail.0.pop_front()) {
                    return action;
                }
                let (now, due) = (self.zero.elapsed(), inner.core.due());
                match due.map(|due| due.saturating_sub(now)) {
                    Some(wait) if wait.is_zero() => {
                        let actions = inner.core.handle(now, Event::Tick);
                        (None, self.route(&mut inner, actions))
                    }
                    wait => (Some(wait.unwrap_or(Duration::from_millis(50))), vec![]),
                }
            };
            bells.iter().for_each(|bell| M::ring(bell));
            if let Some(wait) = wait {
                M::wait(bell, wait.max(Duration::from_micros(100)));
            }
        }
    }

    /// Makes one attempt on its connection. An error tells whether a byte of the RPC was written. `seen` is set
    /// once the observer was told that the attempt is sent.
    fn exchange(
        &self, call: &Call, conn: ConnId, left: Duration, earlier: u32, until: Instant, seen: &mut bool,
    ) -> Result<Got, (bool, io::Error)> {
        let taken = {
            let mut inner = self.inner.lock().unwrap();
            inner.lines.get_mut(&conn).and_then(|standing| Some((standing.to, standing.line.take()?)))
        };
        let (to, mut line) = taken.ok_or((false, io::Error::from(ErrorKind::NotConnected)))?;
        // If the connection was closed while idle, the call is safe to send again: nothing has been sent.
        if !M::quiet(&M::look(&line)) {
            return Err((false, ErrorKind::ConnectionReset.into()));
        }
        let more = self.observer.as_ref().and_then(|o| o.sending(call.tag, to, left, earlier));
        *seen = true;
        let bytes = spoken::bytes(call, left, earlier, more);
        M::write(&mut line, &bytes, until).map_err(|(n, e)| (n > 0, e))?;
        let (mut buf, mut part) = (Vec::new(), [0; 4096]);
        let read = message::response(&mut buf, ANSWER_BYTES, |buf| {
            let n = M::read(&mut line, &mut part, until)?;
            buf.extend_from_slice(&part[..n]);
            Ok(n > 0)
        });
        let (head, body) = read.map_err(|e| (true, e))?;
        // Bytes after the answer belong to no request, so the connection is not reused.
        let more = !buf.is_empty();
        let keep = head.keep_alive && !more;
        let spread = spoken::spread(&head);
        let (reply, answer) = spoken::read(&head, body);
        if keep {
            if let Some(place) = self.inner.lock().unwrap().lines.get_mut(&conn) {
                place.line = Some(line);
            }
        }
        Ok(Got { reply, answer, keep, more, spread })
    }
}

/// Maintains warm connections between calls: detects closed ones and delivers timer ticks to the core.
fn keep<M: Means>(channel: &Weak<Shared<M>>) {
    // Spreads the checks of a process's channels over time.
    M::pause(LOOK.mul_f64(rand::random::<f64>()));
    loop {
        let Some(shared) = channel.upgrade() else { return };
        let (now, ended): (_, Vec<ConnId>) = {
            let inner = shared.inner.lock().unwrap();
            let resting = inner.lines.iter().filter(|(_, line)| line.line.is_some());
            (
                shared.zero.elapsed(),
                resting.filter(|(_, l)| !M::quiet(&l.look)).map(|(conn, _)| *conn).collect(),
            )
        };
        for conn in ended {
            shared.inner.lock().unwrap().lines.remove(&conn);
            shared.tell(Event::Closed { conn, draining: false });
        }
        shared.tell(Event::Tick);
        let due = shared.inner.lock().unwrap().core.due().map_or(LOOK, |due| due.saturating_sub(now));
        drop(shared);
        M::pause(due.clamp(Duration::from_millis(2), LOOK));
    }
}
