//! The clients' side: connections, RPCs read (whole, as far as their bodies are held), and their one final answer
//! written.

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ivydrift_marshal::{Id, Input, Order, Saw};
use ivydrift_wire::body::{Part, Walk};
use ivydrift_wire::http::{self, Framing, HeadWriter, Refusal, Request};
use may::net::TcpListener;
use may::sync::Semphore;

use crate::exchange::{Answer, Caller, Drawn, Handle, Outgoing, Pick};
use crate::Edge;
use ivydrift_sockets::coroutine::{go, pause};
use ivydrift_sockets::{Look, Socket};

/// A client that takes none of its answer for this long is cut off.
const SLOW_READER: Duration = Duration::from_secs(10);

/// Where connections run out, those that have sent no whole message for this long since they came are closed first.
const SILENT: Duration = Duration::from_millis(250);

const TOO_SLOW: Refusal = Refusal { status: 408, why: "the message took too long to arrive" };
const TOO_LONG: Refusal =
    Refusal { status: 413, why: "the body is longer than this marshal passes on (bounds.longest_body_kib)" };

/// One client connection, as the rest of the shell sees it.
pub struct Client {
    pub look: Look,
    /// Where it stands, see [`Stand`].
    stand: AtomicU8,
    /// Nothing of a message has come since it came, or came to rest.
    quiet: AtomicBool,
    pub came: Instant,
    /// When it came to rest, in milliseconds since it came.
    rested: AtomicU64,
    /// Orders for the RPC in hand that came out of somebody else's events.
    mail: Mutex<VecDeque<Mail>>,
    wake: Semphore,
    /// The pick in hand: its number, its connection, and whether it was severed.
    pick: Mutex<(usize, Option<Look>, bool)>,
    /// The client has left while its RPC was in hand.
    gone: AtomicBool,
}

/// Where a connection stands with the messages on it.
#[derive(Clone, Copy, PartialEq)]
enum Stand {
    /// No whole message has come yet.
    New,
    Busy,
    Resting,
    /// It ends with the answer that it has.
    Leaving,
    /// It was closed for another, or for the stop: what is still read of it counts for nothing.
    GivenUp,
}

enum Mail {
    Order(Order),
    Gone,
}

impl Client {
    fn new(look: Look) -> Self {
        Client {
            look,
            stand: AtomicU8::new(Stand::New as u8),
            quiet: AtomicBool::new(true),
            came: Instant::now(),
            rested: AtomicU64::new(0),
            mail: Mutex::default(),
            wake: Semphore::new(0),
            pick: Mutex::default(),
            gone: AtomicBool::new(false),
        }
    }

    fn rest(&self) {
        self.rested.store(self.came.elapsed().as_millis() as u64, Ordering::Relaxed);
        self.quiet.store(true, Ordering::Release);
        self.turn(Stand::Busy, Stand::Resting);
    }

    fn turn(&self, from: Stand, to: Stand) -> bool {
        self.stand.compare_exchange(from as u8, to as u8, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    fn stands(&self, at: Stand) -> bool {
        self.stand.load(Ordering::Acquire) == at as u8
    }

    /// The first bytes of a message are here; false where the connection was given up.
    fn spoken(&self) -> bool {
        self.quiet.store(false, Ordering::Release);
        self.turn(Stand::Resting, Stand::Busy) || !self.stands(Stand::GivenUp)
    }

    /// A whole message is here; false where the connection was given up, and nothing of it may be carried out.
    fn asked(&self) -> bool {
        self.turn(Stand::New, Stand::Busy) || self.stands(Stand::Busy)
    }

    /// How gladly this connection is given up for another, where it may be: who has its last answer first, then who
    /// never asked anything, then who has rested longest.
    pub fn spare(&self) -> Option<(u8, Duration)> {
        let rested =
            self.came.elapsed().saturating_sub(Duration::from_millis(self.rested.load(Ordering::Relaxed)));
        let new = self.stands(Stand::New) && rested >= SILENT;
        let ranks = [(self.stands(Stand::Leaving), 2), (new, 1), (self.stands(Stand::Resting), 0)];
        ranks.iter().find(|(may, _)| *may).map(|(_, rank)| (*rank, rested))
    }

    /// Closes the connection where no message is in hand: a client that has sent one meanwhile sends it again
    /// elsewhere, so it must not be carried out here as well.
    pub fn give_up(&self) -> bool {
        let may = [Stand::New, Stand::Resting, Stand::Leaving];
        let given = may.into_iter().any(|from| self.turn(from, Stand::GivenUp));
        if given {
            self.look.cut();
        }
        given
    }

    pub fn quiet(&self) -> bool {
        self.quiet.load(Ordering::Acquire)
    }

    /// Takes an order from another coroutine. Cutting off the pick in hand cannot wait for the mail.
    pub fn post(&self, order: Order) {
        if let Order::Sever { pick, .. } = order {
            let mut hand = self.pick.lock().unwrap();
            if hand.0 == pick {
                hand.2 = true;
                if let Some(look) = &hand.1 {
                    look.cut();
                }
            }
            return;
        }
        self.mail.lock().unwrap().push_back(Mail::Order(order));
        self.wake.post();
    }

    /// The client was seen to leave.
    pub fn leave(&self) {
        self.gone.store(true, Ordering::Release);
        self.mail.lock().unwrap().push_back(Mail::Gone);
        self.wake.post();
    }

    fn next(&self) -> Option<Mail> {
        self.mail.lock().unwrap().pop_front()
    }
}

impl Handle for Client {
    fn hold(&self, look: Look) -> bool {
        let mut hand = self.pick.lock().unwrap();
        hand.1 = Some(look);
        !hand.2
    }

    fn severed(&self) -> bool {
        self.pick.lock().unwrap().2
    }
}

pub fn accept(edge: &Arc<Edge>, listener: &TcpListener) {
    let number = AtomicU64::new(0);
    loop {
        let stream = match listener.accept() {
            _ if edge.closing() => return,
            Ok((stream, _)) => stream,
            Err(e) => {
                // Out of descriptors, most likely: those that wait in the queue keep their place.
                tracing::warn!(error = %e, "cannot accept");
                edge.pool.tidy(true);
                pause(Duration::from_millis(20));
                continue;
            }
        };
        let socket = Socket::new(stream);
        let client = Arc::new(Client::new(socket.look()));
        let name = number.fetch_add(1, Ordering::Relaxed);
        if !edge.enter(name, &client) {
            continue;
        }
        let edge = edge.clone();
        go(move || {
            let mut connection = Connection { edge: &edge, client: &client, socket, buf: Vec::new() };
            if connection.run() {
                client.stand.store(Stand::Leaving as u8, Ordering::Release);
                connection.socket.close_gently(Duration::from_millis(500));
            }
            connection.socket.cut();
            edge.leave(name);
        });
    }
}

struct Connection<'a> {
    edge: &'a Arc<Edge>,
    client: &'a Arc<Client>,
    socket: Socket,
    buf: Vec<u8>,
}

/// What a client connection comes to after an RPC.
enum Served {
    On,
    /// It must end; our last answer may still be on its way.
    Close,
    /// The rest of the RPC could not be read.
    Refuse(Refusal),
}

/// The part of a body that is not held, still with the client.
struct Rest {
    walk: Walk,
    /// The client must have sent all of it by then.
    by: Instant,
    /// Bytes held, and bytes that went past to a node.
    held: u64,
    taken: u64,
    /// How long the present pick waited for the client to send it.
    waited: Duration,
    /// The client gave no more.
    stopped: Option<Unread>,
}

/// Why a message was not read.
enum Unread {
    /// The client closed, or said nothing for too long.
    Over,
    Refused(Refusal),
}

impl Connection<'_> {
    /// Serves until the connection ends; true where our last answer may still be on its way.
    fn run(&mut self) -> bool {
        loop {
            self.client.rest();
            if self.edge.closing() && self.buf.is_empty() {
                return true;
            }
            let (request, began) = match self.head() {
                Ok(read) => read,
                Err(Unread::Over) => return false,
                Err(Unread::Refused(refusal)) => return self.refuse(refusal),
            };
            let (body, walk) = match self.body(&request, began) {
                Ok(body) => body,
                Err(Unread::Over) => return false,
                Err(Unread::Refused(refusal)) => return self.refuse(refusal),
            };
            if !self.client.asked() {
                return false;
            }
            let keep = request.keep_alive && !self.edge.stopping();
            if matches!(&*request.verb, "CONNECT" | "TRACE") {
                return self.refuse(Refusal { status: 405, why: "this method is not for RPCs" });
            }
            if self.edge.dialect.asks_health(&request) {
                let status = if self.edge.ready() > 0 { 200 } else { 503 };
                if !self.finish(HeadWriter::response(status), "", keep) || !keep {
                    return true;
                }
                continue;
            }
            let left = match self.edge.dialect.left(&request, &self.edge.live().methods) {
                // The client's time has run since its first byte.
                Ok(left) => left.map(|left| left.saturating_sub(began.elapsed())),
                Err(refusal) => return self.refuse(refusal),
            };
            let by = began + self.edge.bounds().slow_client;
            let rest =
                Rest { walk, by, held: body.len() as u64, taken: 0, waited: Duration::ZERO, stopped: None };
            match self.serve(request, body, rest, left, keep) {
                Served::On if keep => {}
                Served::On | Served::Close => return true,
                Served::Refuse(refusal) => return self.refuse(refusal),
            }
        }
    }

    /// Reads more by then; false at the end of the stream or of patience.
    fn fill(&mut self, by: Instant) -> Result<bool, ErrorKind> {
        let mut part = [0; 4096];
        match self.socket.read(&mut part, Some(by)) {
            Ok(0) => Ok(false),
            Ok(n) => {
                self.buf.extend_from_slice(&part[..n]);
                Ok(true)
            }
            Err(e) => Err(e.kind()),
        }
    }

    /// The next head, and when its first byte came.
    fn head(&mut self) -> Result<(Request, Instant), Unread> {
        let bounds = self.edge.bounds();
        let first = bounds.first_message.filter(|_| self.client.stands(Stand::New));
        let first = first.map(|within| self.client.came + within);
        let limit = |by: Instant| first.map_or(by, |first| by.min(first));
        let mut by = limit(Instant::now() + bounds.idle_client);
        let mut began = None;
        loop {
            // A line break before a head is forgiven (RFC 9112, section 2.2).
            while self.buf.starts_with(b"\r\n") {
                self.buf.drain(..2);
            }
            if !self.buf.is_empty() && began.is_none() {
                if !self.client.spoken() {
                    return Err(Unread::Over);
                }
                began = Some(Instant::now());
                by = limit(Instant::now() + bounds.slow_client);
            }
            match http::request(&self.buf) {
                Ok(Some((request, used))) => {
                    self.buf.drain(..used);
                    return Ok((request, began.unwrap_or_else(Instant::now)));
                }
                Ok(None) => {}
                Err(refusal) => return Err(Unread::Refused(refusal)),
            }
            match self.fill(by) {
                Ok(true) => {}
                Err(ErrorKind::TimedOut) if began.is_some() => return Err(Unread::Refused(TOO_SLOW)),
                _ => return Err(Unread::Over),
            }
        }
    }

    /// Reads the body as far as it is held; what is left of it stays with the walk.
    fn body(&mut self, request: &Request, began: Instant) -> Result<(Vec<u8>, Walk), Unread> {
        let bounds = self.edge.bounds();
        if matches!(request.framing, Framing::Length(n) if n > bounds.longest_body) {
            return Err(Unread::Refused(TOO_LONG));
        }
        let (mut walk, mut body) = (Walk::new(request.framing), Vec::new());
        if request.expects_continue && !walk.ended() && self.buf.is_empty() {
            let by = Instant::now() + SLOW_READER;
            if self.socket.write(b"HTTP/1.1 100 Continue\r\n\r\n", by).is_err() {
                return Err(Unread::Over);
            }
        }
        let by = began + bounds.slow_client;
        loop {
            match walk.step(&self.buf) {
                Ok(Part::Data(n)) => {
                    body.extend(self.buf.drain(..n));
                    if body.len() as u64 > bounds.longest_body {
                        return Err(Unread::Refused(TOO_LONG));
                    }
                    if body.len() > bounds.body && !walk.ended() {
                        return Ok((body, walk));
                    }
                }
                Ok(Part::Mark(n)) => {
                    self.buf.drain(..n);
                }
                Ok(Part::End) => return Ok((body, walk)),
                Ok(Part::Need) => match self.fill(by) {
                    Ok(true) => {}
                    Err(ErrorKind::TimedOut) => return Err(Unread::Refused(TOO_SLOW)),
                    _ => return Err(Unread::Over),
                },
                Err(refusal) => return Err(Unread::Refused(refusal)),
            }
        }
    }

    /// Says why a message is not taken and closes: where its end is cannot be trusted.
    fn refuse(&self, refusal: Refusal) -> bool {
        let head = HeadWriter::response(refusal.status)
            .field("content-type", "text/plain")
            .field("content-length", (refusal.why.len() + 1).to_string())
            .field("connection", "close")
            .finish();
        let bytes = [&head[..], refusal.why.as_bytes(), b"\n"].concat();
        self.socket.write(&bytes, Instant::now() + SLOW_READER).is_ok()
    }

    /// Takes one RPC to its final answer.
    fn serve(
        &mut self, request: Request, body: Vec<u8>, mut rest: Rest, left: Option<Duration>, go_on: bool,
    ) -> Served {
        let (edge, client) = (self.edge, self.client);
        // Mail for an earlier RPC of this connection is void.
        client.mail.lock().unwrap().clear();
        // After a stall, what waited in the socket may be from clients that have long left.
        if edge.stalled() && self.socket.left() {
            return Served::Close;
        }
        let id = edge.next_id();
        let mut orders: VecDeque<Order> = {
            let fields = &request.fields;
            let call = edge.dialect.call(&request.target, fields, left);
            edge.begin(id, client, Input::Rpc { id, call }).into()
        };
        let Request { verb, target, fields, framing, .. } = request;
        let framing = Some(framing).filter(|_| !rest.walk.ended());
        let outgoing = Outgoing { verb, target, fields, body, rest: framing, via: edge.via.clone() };
        let mut held: Option<(usize, Answer)> = None;
        let mut keep = go_on;
        let fine = loop {
            let order = match orders.pop_front().map(Mail::Order).or_else(|| client.next()) {
                Some(Mail::Order(order)) => order,
                Some(Mail::Gone) => break false,
                None => {
                    client.wake.wait();
                    continue;
                }
            };
            // What is left of the body would be read as the next RPC. The order to stop may have come meanwhile.
            keep = go_on && rest.walk.ended() && !edge.stopping() && !edge.crowded();
            match order {
                Order::Pick { pick, node, within, careful, .. } => {
                    if client.gone.load(Ordering::Acquire) {
                        break false;
                    }
                    *client.pick.lock().unwrap() = (pick, None, false);
                    let (connect, pool, dialect) = (edge.bounds().connect, &edge.pool, &edge.dialect);
                    let run = Pick { node, within, careful, connect, pool, dialect };
                    let (socket, buf, rest) = (&mut self.socket, &mut self.buf, &mut rest);
                    let mut passage =
                        Passage { edge, socket, buf, rest, id, pick, go_on, orders: vec![], passing: false };
                    let (mut saw, answer) = run.run(&outgoing, &**client, &mut passage);
                    let waited = std::mem::take(&mut passage.rest.waited);
                    if passage.rest.taken > 0 {
                        passage.drawn(waited);
                    }
                    let passing = passage.passing;
                    if passage.rest.stopped.is_some() || matches!(saw, Saw::Severed) && passing {
                        edge.tell(Input::ClientLeft { id }, id);
                    }
                    orders.extend(passage.orders);
                    client.pick.lock().unwrap().1 = None;
                    if client.gone.load(Ordering::Acquire) && answer.is_none() {
                        saw = Saw::Severed;
                    }
                    held = answer.map(|a| (pick, a)).or(held);
                    orders.extend(edge.tell(Input::Ended { id, pick, saw }, id));
                    if passing {
                        let whole = matches!(saw, Saw::Answer { .. });
                        break whole;
                    }
                    if rest.stopped.is_some() {
                        break false;
                    }
                }
                Order::Pass { pick, picks, build, .. } => {
                    let Some((_, answer)) = held.take().filter(|h| h.0 == pick) else { break false };
                    let mut bytes = answer.head_bytes(&edge.dialect, picks, build, !keep, edge.spread_ms());
                    bytes.extend_from_slice(&answer.body);
                    break self.socket.write(&bytes, Instant::now() + SLOW_READER).is_ok();
                }
                Order::PushBack { picks, retry_after, why, .. } => {
                    let head = edge.dialect.push_back(picks, retry_after, why);
                    break self.finish(head, "pushed back: try again later\n", keep);
                }
                Order::Abort { picks, why, .. } => {
                    let head = edge.dialect.abort(picks, why);
                    break self.finish(head, "aborted: it may have run\n", keep);
                }
                Order::Reject { status, why, .. } => {
                    let head = HeadWriter::response(status).field("content-type", "text/plain");
                    break self.finish(head, &format!("{why}\n"), keep);
                }
                Order::BreakOff { .. } => break false,
                // Routed by `post`, or of no concern to one RPC.
                _ => {}
            }
        };
        edge.end(id);
        match rest.stopped {
            Some(Unread::Refused(refusal)) => Served::Refuse(refusal),
            None if fine && keep && rest.walk.ended() && !client.gone.load(Ordering::Acquire) => Served::On,
            _ => Served::Close,
        }
    }

    fn finish(&self, head: HeadWriter, text: &str, keep: bool) -> bool {
        let mut head = head.field("content-length", text.len().to_string());
        if let Some(ms) = self.edge.spread_ms() {
            head = head.field(ivydrift_wire::rpc::SPREAD_MS, ms.to_string());
        }
        if !keep {
            head = head.field("connection", "close");
        }
        let bytes = [&head.finish()[..], text.as_bytes()].concat();
        self.socket.write(&bytes, Instant::now() + SLOW_READER).is_ok()
    }
}

/// The client's end of an RPC while a pick is out.
struct Passage<'a> {
    edge: &'a Arc<Edge>,
    socket: &'a mut Socket,
    buf: &'a mut Vec<u8>,
    rest: &'a mut Rest,
    id: Id,
    pick: usize,
    go_on: bool,
    orders: Vec<Order>,
    passing: bool,
}

impl Passage<'_> {
    fn stop(&mut self, why: Unread) -> Drawn {
        self.rest.stopped = Some(why);
        Drawn::Over
    }

    fn drawn(&self, waited: Duration) {
        let (id, pick) = (self.id, self.pick);
        self.edge.tell(Input::Drawn { id, pick, waited }, id);
    }
}

impl Caller for Passage<'_> {
    fn draw(&mut self, wait: Duration) -> Drawn {
        let began = Instant::now();
        if began >= self.rest.by {
            return self.stop(Unread::Refused(TOO_SLOW));
        }
        let drawn = loop {
            match self.rest.walk.step(self.buf) {
                Ok(Part::Data(n)) => {
                    if self.rest.taken == 0 {
                        self.drawn(Duration::ZERO);
                    }
                    self.rest.taken += n as u64;
                    if self.rest.held + self.rest.taken > self.edge.bounds().longest_body {
                        return self.stop(Unread::Refused(TOO_LONG));
                    }
                    break Drawn::Data(self.buf.drain(..n).collect());
                }
                Ok(Part::Mark(n)) => {
                    self.buf.drain(..n);
                }
                Ok(Part::End) => break Drawn::End,
                Ok(Part::Need) => {
                    let mut part = [0; 8192];
                    match self.socket.read(&mut part, Some((began + wait).min(self.rest.by))) {
                        Ok(n) if n > 0 => self.buf.extend_from_slice(&part[..n]),
                        Err(e) if e.kind() == ErrorKind::TimedOut => break Drawn::Nothing,
                        _ => return self.stop(Unread::Over),
                    }
                }
                Err(refusal) => return self.stop(Unread::Refused(refusal)),
            }
        };
        self.rest.waited += began.elapsed();
        drawn
    }

    fn begin(&mut self, answer: &Answer) -> bool {
        for order in self.edge.tell(Input::Began { id: self.id, pick: self.pick }, self.id) {
            if let Order::Pass { picks, build, .. } = order {
                self.passing = true;
                let close = !(self.go_on && self.rest.walk.ended());
                let head = answer.head_bytes(&self.edge.dialect, picks, build, close, self.edge.spread_ms());
                return self.part(&head);
            }
            self.orders.push(order);
        }
        false
    }

    fn part(&mut self, bytes: &[u8]) -> bool {
        self.socket.write(bytes, Instant::now() + SLOW_READER).is_ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn of_a_connection_that_was_given_up_nothing_is_carried_out_and_one_with_a_message_is_not_given_up() {
        ivydrift_sockets::coroutine::prepare(2);
        let (tell, told) = std::sync::mpsc::channel();
        go(move || {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            let to = listener.local_addr().unwrap();
            let sockets = [0; 3].map(|_| Socket::connect(to, Duration::from_secs(1)).unwrap());
            let [new, busy, resting] = sockets.each_ref().map(|socket| Client::new(socket.look()));
            let _ = tell.send(("new", new.give_up() && !new.spoken() && !new.asked()));
            let _ = tell.send(("busy", busy.asked() && !busy.give_up() && busy.spare().is_none()));
            resting.asked();
            resting.rest();
            let _ =
                tell.send(("resting", resting.spare().is_some() && resting.give_up() && !resting.spoken()));
            let _ = tell.send(("resting, asked", !resting.asked()));
        });
        for what in ["new", "busy", "resting", "resting, asked"] {
            assert_eq!(told.recv_timeout(Duration::from_secs(5)), Ok((what, true)));
        }
    }
}
