//! One pick on its socket: sends the RPC, reads the answer, and reports what was observed.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ivydrift_marshal::Saw;
use ivydrift_wire::body::{Part, Walk};
use ivydrift_wire::http::{self, Framing, Response};

use crate::dialect::Dialect;
use crate::pool::Pool;
use ivydrift_sockets::{out_of_descriptors, Look, Socket};

/// An answer up to this many bytes is buffered until complete, so that another pick can still replace one
/// that breaks off.
pub const HELD: usize = 16 * 1024;

/// A streamed answer that delivers no bytes for this long is cancelled.
const STALLED: Duration = Duration::from_secs(10);

/// While a client pauses in a long body, the node's connection is polled at this interval for an early
/// answer.
const EARLY: Duration = Duration::from_millis(20);

/// The RPC as it is sent to any node.
pub struct Outgoing {
    pub verb: String,
    pub target: String,
    pub fields: http::Fields,
    /// The buffered part of the body; all of it if `rest` is `None`.
    pub body: Vec<u8>,
    /// The framing of the body if part of it is still to come from the client.
    pub rest: Option<Framing>,
    /// This marshal's name in `Via`.
    pub via: String,
}

impl Outgoing {
    /// The request for this node as far as it is buffered; `within` is the time left.
    fn bytes(&self, dialect: &Dialect, node: SocketAddr, within: Duration) -> Vec<u8> {
        let mut head = dialect.to_node(&self.verb, &self.target, &self.fields, &self.via, node, within);
        head = match self.rest {
            Some(Framing::Length(n)) => head.field("content-length", n.to_string()),
            Some(_) => head.field("transfer-encoding", "chunked"),
            None if self.body.is_empty() && matches!(&*self.verb, "GET" | "HEAD") => head,
            None => head.field("content-length", self.body.len().to_string()),
        };
        let mut bytes = head.finish();
        if self.in_chunks() && !self.body.is_empty() {
            bytes.extend_from_slice(&chunk(&self.body));
        } else {
            bytes.extend_from_slice(&self.body);
        }
        bytes
    }

    fn in_chunks(&self) -> bool {
        self.rest.is_some_and(|framing| !matches!(framing, Framing::Length(_)))
    }
}

/// The head and the buffered part of an answer.
pub struct Answer {
    pub head: Response,
    pub body: Vec<u8>,
    /// The body is longer than the buffer; the rest is streamed.
    pub more: bool,
}

impl Answer {
    /// The head of the answer for the client, with the answer's kind and number of picks.
    pub fn head_bytes(
        &self, dialect: &Dialect, picks: usize, build: u32, close: bool, spread_ms: Option<u64>,
    ) -> Vec<u8> {
        let mut head = dialect.ok(&self.head, picks, build);
        head = match (self.more, self.head.framing) {
            (true, Framing::Length(n)) => head.field("content-length", n.to_string()),
            (true, _) => head.field("transfer-encoding", "chunked"),
            // A 204 or 304 has no length, and the length that a HEAD response would announce is not that of
            // this body.
            (false, _) if matches!(self.head.status, 204 | 304) => head,
            (false, _) => head.field("content-length", self.body.len().to_string()),
        };
        if let Some(ms) = spread_ms {
            head = head.field(ivydrift_wire::rpc::SPREAD_MS, ms.to_string());
        }
        if close {
            head = head.field("connection", "close");
        }
        head.finish()
    }
}

/// Result of a wait for more of a long request body.
pub enum Drawn {
    Data(Vec<u8>),
    /// No bytes arrived within the wait.
    Nothing,
    End,
    /// No more will arrive: the client has left, sends too slowly, or sent malformed data.
    Over,
}

/// The client's side of an RPC as a pick uses it: source of the rest of a long request body and destination
/// of a long answer.
pub trait Caller {
    /// Waits for more of the body. From the first call on, the body is no longer complete for any other pick.
    fn draw(&mut self, wait: Duration) -> Drawn;
    /// Sends the head and the first part of the answer. Returns false if the client no longer wants them.
    fn begin(&mut self, answer: &Answer) -> bool;
    /// Sends more of a streamed answer. Returns false if the client no longer accepts it.
    fn part(&mut self, bytes: &[u8]) -> bool;
}

/// Gives access to a pick's connection while it is in use, so that another coroutine can cancel the pick.
pub trait Handle {
    /// Registers the connection. Returns false if the pick was cancelled in the meantime.
    fn hold(&self, look: Look) -> bool;
    /// Whether the pick was cancelled.
    fn severed(&self) -> bool;
}

/// Admission check for one attempt.
pub trait Admission {
    /// Called once the connection is established, right before the first byte is written. Returns false if
    /// nothing may be sent.
    fn admit(&self) -> bool;
    /// Called after the request was written; `begun` was taken right before its first byte.
    fn sent(&self, begun: Instant);
}

/// One attempt of an RPC at one node.
pub struct Pick<'a> {
    pub node: SocketAddr,
    /// The pick's deadline.
    pub by: Instant,
    /// The RPC must not run twice, so only a recently used idle connection is reused.
    pub careful: bool,
    /// Connect timeout.
    pub connect: Duration,
    pub pool: &'a Pool,
    pub dialect: &'a Dialect,
    pub admission: &'a dyn Admission,
}

impl Pick<'_> {
    /// Sends the RPC and reads its answer. The answer is present whenever [`Saw::Answer`] is returned.
    pub fn run(&self, rpc: &Outgoing, handle: &dyn Handle, caller: &mut dyn Caller) -> (Saw, Option<Answer>) {
        let (by, began) = (self.by, Instant::now());
        if began >= by {
            return (Saw::NotBegun, None);
        }
        let mut socket = match self.pool.take(self.node, self.careful, began) {
            Some(socket) => socket,
            None => match Socket::connect(self.node, (by - began).min(self.connect)) {
                Ok(socket) => socket,
                Err(e) => {
                    // Closing idle connections frees descriptors for the next attempt.
                    if e.raw_os_error().is_some_and(out_of_descriptors) {
                        self.pool.tidy(true);
                    }
                    return (Saw::NotSent, None);
                }
            },
        };
        if !handle.hold(socket.look()) {
            return (Saw::NotBegun, None);
        }
        let begun = Instant::now();
        let left = by.saturating_duration_since(begun);
        if left.is_zero() {
            return (Saw::NotSent, None);
        }
        let bytes = rpc.bytes(self.dialect, self.node, left);
        if !self.admission.admit() {
            return (Saw::NotBegun, None);
        }
        let written = socket.write(&bytes, by);
        self.admission.sent(begun);
        if let Err((handed, e)) = written {
            // The kernel accepted no byte, so no node can have seen any of the RPC.
            let saw = match e.kind() {
                _ if handed == 0 || self.dialect.begins_whole() => Saw::NotSent,
                ErrorKind::TimedOut => Saw::TimedOut,
                _ => Saw::Broken,
            };
            return (saw, None);
        }
        let upload = match rpc.rest {
            Some(_) => upload(&socket, rpc.in_chunks(), caller, by),
            None => Upload::Whole,
        };
        match upload {
            Upload::Whole | Upload::Early => {}
            Upload::Late => return (Saw::TimedOut, None),
            Upload::Over => return (Saw::Severed, None),
        }
        let mut reader =
            Reader { socket: &mut socket, dialect: self.dialect, buf: Vec::new(), by, passing: false };
        let (saw, answer) = reader.answer(&rpc.verb, caller);
        let whole = matches!(saw, Saw::Answer { .. });
        if handle.severed() && !whole {
            return (Saw::Severed, None);
        }
        // Bytes after the answer belong to no request: the node answered twice or sent a wrong length.
        let rest = reader.buf;
        let clean = rest.is_empty() && matches!(upload, Upload::Whole);
        if whole && clean && answer.as_ref().is_some_and(|a| a.head.keep_alive) {
            self.pool.put(self.node, socket, began, Instant::now());
        }
        (saw, answer)
    }
}

/// How sending a long body ended.
enum Upload {
    Whole,
    /// The node answered or disconnected before the end; an answer may still be readable.
    Early,
    /// The node did not accept the body in time.
    Late,
    /// The client did not deliver the body.
    Over,
}

/// Streams the rest of a request body from the client, buffering one part at a time.
fn upload(socket: &Socket, chunks: bool, caller: &mut dyn Caller, by: Instant) -> Upload {
    loop {
        let left = by.saturating_duration_since(Instant::now());
        let (part, last) = match caller.draw(left.min(EARLY)) {
            Drawn::End if !chunks => return Upload::Whole,
            // After an early answer, sending the rest of the body is pointless.
            _ if !socket.quiet() => return Upload::Early,
            Drawn::Nothing if left > EARLY => continue,
            Drawn::Nothing | Drawn::Over => return Upload::Over,
            Drawn::End => (chunk(&[]), true),
            Drawn::Data(data) if chunks => (chunk(&data), false),
            Drawn::Data(data) => (data, false),
        };
        match socket.write(&part, by) {
            Ok(()) if last => return Upload::Whole,
            Ok(()) => {}
            Err((_, e)) if e.kind() == ErrorKind::TimedOut => return Upload::Late,
            Err(_) => return Upload::Early,
        }
    }
}

/// Encodes data as one chunk; empty data gives the last chunk.
fn chunk(data: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat()
}

/// Reads one answer from a node.
struct Reader<'a> {
    socket: &'a mut Socket,
    dialect: &'a Dialect,
    buf: Vec<u8>,
    by: Instant,
    /// The answer is being streamed to the client.
    passing: bool,
}

/// Why an answer is incomplete.
enum Stop {
    Saw(Saw),
    /// The client no longer wants the answer.
    Unwanted,
}

impl Reader<'_> {
    /// Reads more bytes. Returns false at the end of the stream.
    fn fill(&mut self) -> Result<bool, Stop> {
        let mut part = [0; 8192];
        if self.passing {
            // The answer now belongs to the client: neither the pick's timeout nor the RPC's deadline applies
            // any longer.
            self.by = Instant::now() + STALLED;
        }
        match self.socket.read(&mut part, Some(self.by)) {
            Ok(0) => Ok(false),
            Ok(n) => {
                self.buf.extend_from_slice(&part[..n]);
                Ok(true)
            }
            Err(e) if matches!(e.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock) => {
                Err(Stop::Saw(Saw::TimedOut))
            }
            Err(_) => Err(Stop::Saw(Saw::Broken)),
        }
    }

    /// Reads the final response head; `to_head`: the request was a HEAD.
    fn head(&mut self, to_head: bool) -> Result<Response, Stop> {
        // Interim responses (1xx) are skipped. The limit stops a node that sends nothing else.
        for _ in 0..8 {
            let head = loop {
                match http::response(&self.buf, to_head) {
                    Ok(Some((head, used))) => {
                        self.buf.drain(..used);
                        break head;
                    }
                    Ok(None) if self.fill()? => {}
                    Ok(None) => return Err(Stop::Saw(Saw::Broken)),
                    Err(_) => return Err(Stop::Saw(Saw::Garbled)),
                }
            };
            if head.status == 101 {
                break;
            }
            if head.status >= 200 {
                return Ok(head);
            }
        }
        Err(Stop::Saw(Saw::Garbled))
    }

    /// Reads the whole answer. A long successful one is streamed to the client.
    fn answer(&mut self, verb: &str, caller: &mut dyn Caller) -> (Saw, Option<Answer>) {
        let head = match self.head(verb == "HEAD") {
            Ok(head) => head,
            Err(Stop::Saw(saw)) => return (saw, None),
            Err(Stop::Unwanted) => return (Saw::Severed, None),
        };
        if self.dialect.spoilt(head.framing) {
            return (Saw::Garbled, None);
        }
        let (status, never_ran, load) = self.dialect.heard(&head);
        let saw = Saw::Answer { status, never_ran, load };
        let mut answer = Answer { head, body: Vec::new(), more: false };
        match self.body(&mut answer, saw.outcome(), caller) {
            Ok(()) => (saw, Some(answer)),
            Err(Stop::Saw(saw)) => (saw, None),
            Err(Stop::Unwanted) => (Saw::Severed, None),
        }
    }

    /// Reads the body into `answer`, or streams it once it exceeds the buffer.
    fn body(
        &mut self, answer: &mut Answer, outcome: ivydrift_marshal::Outcome, caller: &mut dyn Caller,
    ) -> Result<(), Stop> {
        let mut walk = Walk::new(answer.head.framing);
        let chunks = !matches!(answer.head.framing, Framing::Length(_));
        loop {
            match walk.step(&self.buf) {
                Ok(Part::Data(n)) => {
                    let data: Vec<u8> = self.buf.drain(..n).collect();
                    if answer.more {
                        pass(caller, &data, chunks)?;
                        continue;
                    }
                    answer.body.extend_from_slice(&data);
                    if let Some(longest) = self.dialect.longest_answer() {
                        if answer.body.len() > longest {
                            return Err(Stop::Saw(Saw::Garbled));
                        }
                    } else if answer.body.len() > HELD && !walk.ended() {
                        if outcome != ivydrift_marshal::Outcome::Ok {
                            // The rest of a long error response is not needed: its status is known.
                            answer.head.keep_alive = false;
                            return Ok(());
                        }
                        answer.more = true;
                        self.passing = true;
                        if !caller.begin(answer) {
                            return Err(Stop::Unwanted);
                        }
                        pass(caller, &answer.body, chunks)?;
                        answer.body.clear();
                    }
                }
                Ok(Part::Mark(n)) => {
                    self.buf.drain(..n);
                }
                Ok(Part::End) => break,
                Ok(Part::Need) => {
                    if !self.fill()? {
                        if walk.closed() {
                            break;
                        }
                        return Err(Stop::Saw(Saw::Broken));
                    }
                }
                Err(_) => return Err(Stop::Saw(Saw::Garbled)),
            }
        }
        if answer.more && chunks && !caller.part(b"0\r\n\r\n") {
            return Err(Stop::Unwanted);
        }
        Ok(())
    }
}

/// Streams data to the client, chunked if `chunks` is set.
fn pass(caller: &mut dyn Caller, data: &[u8], chunks: bool) -> Result<(), Stop> {
    let wanted = if chunks { caller.part(&chunk(data)) } else { caller.part(data) };
    wanted.then_some(()).ok_or(Stop::Unwanted)
}
