//! One pick on its socket: sends the RPC, reads the answer, and reports what was observed.

use std::borrow::Cow;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ivydrift_marshal::Observation;
use ivydrift_wire::body_framing::{BodyDecoder, Part};
use ivydrift_wire::http::{self, Framing, Response};

use crate::clients::grown_capacity;
use crate::dialect::Dialect;
use crate::pool::Pool;
use ivydrift_sockets::{out_of_descriptors, Socket, SocketHandle};

/// Bytes of one read from a node.
const READ_BYTES: usize = 8192;

/// An answer up to this many bytes is buffered until complete, so that another pick can still replace one
/// that breaks off.
pub const MAX_BUFFERED_ANSWER: usize = 16 * 1024;

/// A streamed answer that delivers no bytes for this long is cancelled.
const STREAM_TIMEOUT: Duration = Duration::from_secs(10);

/// While a client pauses in a long body, the node's connection is polled at this interval for an early
/// answer.
const EARLY_ANSWER_POLL: Duration = Duration::from_millis(20);

/// The RPC as it is sent to any node.
pub struct OutgoingRequest {
    pub http_method: String,
    pub target: String,
    pub fields: http::Fields,
    /// The buffered part of the body; all of it if `rest_framing` is `None`.
    pub body: Vec<u8>,
    /// The framing of the body if part of it is still to come from the client.
    pub rest_framing: Option<Framing>,
    /// This marshal's name in `Via`.
    pub via: String,
}

impl OutgoingRequest {
    /// The head of the request for this node.
    fn head_bytes(&self, dialect: &Dialect, node: SocketAddr, time_left: Duration) -> Vec<u8> {
        let mut head =
            dialect.request_head(&self.http_method, &self.target, &self.fields, &self.via, node, time_left);
        head = match self.rest_framing {
            Some(Framing::Length(n)) => head.field("content-length", n.to_string()),
            Some(_) => head.field("transfer-encoding", "chunked"),
            None if self.body.is_empty() && matches!(&*self.http_method, "GET" | "HEAD") => head,
            None => head.field("content-length", self.body.len().to_string()),
        };
        head.finish()
    }

    /// The body in its framing, as far as it is buffered.
    fn framed_body(&self) -> Cow<'_, [u8]> {
        match self.is_chunked() && !self.body.is_empty() {
            true => Cow::Owned(encode_chunk(&self.body)),
            false => Cow::Borrowed(&self.body),
        }
    }

    fn is_chunked(&self) -> bool {
        self.rest_framing.is_some_and(|framing| !matches!(framing, Framing::Length(_)))
    }
}

/// The head and the buffered part of an answer.
pub struct Answer {
    pub head: Response,
    /// Length of the head as it was read, in bytes.
    pub head_length: usize,
    pub body: Vec<u8>,
    /// The body is longer than the buffer; the rest is streamed.
    pub streamed: bool,
}

/// Copies of an answer's head: its fields, and the head for the client.
const HEAD_COPIES: usize = 2;

impl Answer {
    /// Memory that the answer takes, in bytes.
    pub fn held_bytes(&self) -> usize {
        HEAD_COPIES * self.head_length + self.body.capacity()
    }

    /// The head of the answer for the client, with the answer's kind and number of picks.
    pub fn head_bytes(
        &self, dialect: &Dialect, picks: usize, build: u32, close: bool, spread_ms: Option<u64>,
    ) -> Vec<u8> {
        let mut head = dialect.ok_head(&self.head, picks, build);
        head = match (self.streamed, self.head.framing) {
            (true, Framing::Length(n)) => head.field("content-length", n.to_string()),
            (true, _) => head.field("transfer-encoding", "chunked"),
            // A 204 or 304 has no length, and the length that a HEAD response would announce is not that of
            // this body.
            (false, _) if matches!(self.head.status, 204 | 304) => head,
            (false, _) => head.field("content-length", self.body.len().to_string()),
        };
        if let Some(ms) = spread_ms {
            head = head.field(ivydrift_wire::rpc::RECONNECT_SPREAD_MS, ms.to_string());
        }
        if close {
            head = head.field("connection", "close");
        }
        head.finish()
    }
}

/// Result of a wait for more of a long request body.
pub enum BodyRead {
    Data(Vec<u8>),
    /// No bytes arrived within the wait.
    Pending,
    End,
    /// No more will arrive: the client has left, sends too slowly, or sent malformed data.
    Failed,
}

/// The client's side of an RPC as a pick uses it: source of the rest of a long request body and destination
/// of a long answer.
pub trait Caller {
    /// Waits for more of the body. From the first call on, the body is no longer complete for any other pick.
    fn read_body(&mut self, wait: Duration) -> BodyRead;
    /// Accounts for `bytes` of memory for the answer that is being read. Returns false if there is no room.
    fn hold_answer(&mut self, bytes: usize) -> bool;
    /// Sends the head and the first part of the answer. Returns false if the client no longer wants them.
    fn begin_answer(&mut self, answer: &Answer) -> bool;
    /// Sends more of a streamed answer. Returns false if the client no longer accepts it.
    fn send_part(&mut self, bytes: &[u8]) -> bool;
}

/// Gives access to a pick's connection while it is in use, so that another coroutine can cancel the pick.
pub trait PickHandle {
    /// Registers the connection. Returns false if the pick was cancelled in the meantime.
    fn attach(&self, socket_handle: SocketHandle) -> bool;
    /// Whether the pick was cancelled.
    fn is_cancelled(&self) -> bool;
}

/// Admission check for one attempt.
pub trait Admission {
    /// Called once the connection is established, right before the first byte is written. Returns false if
    /// nothing may be sent.
    fn admit(&self, now: Instant) -> bool;
    /// Called after the request was written; `write_began` was taken right before its first byte.
    fn sent(&self, write_began: Instant);
}

/// One attempt of an RPC at one node.
pub struct Pick<'a> {
    pub node: SocketAddr,
    /// The pick's deadline.
    pub deadline: Instant,
    /// The RPC must not run twice, so only a recently used idle connection is reused.
    pub careful: bool,
    /// Connect timeout.
    pub connect_timeout: Duration,
    pub pool: &'a Pool,
    pub dialect: &'a Dialect,
    pub admission: &'a dyn Admission,
}

impl Pick<'_> {
    /// Sends the RPC and reads its answer. The answer is present whenever [`Observation::Answer`] is returned.
    pub fn run(
        &self, rpc: &OutgoingRequest, handle: &dyn PickHandle, caller: &mut dyn Caller,
    ) -> (Observation, Option<Answer>) {
        let (deadline, began) = (self.deadline, Instant::now());
        if began >= deadline {
            return (Observation::NotAttempted, None);
        }
        let mut socket = match self.pool.take(self.node, self.careful, began) {
            Some(socket) => socket,
            None => match Socket::connect(self.node, (deadline - began).min(self.connect_timeout)) {
                Ok(socket) => socket,
                Err(e) => {
                    // Closing idle connections frees descriptors for the next attempt.
                    if e.raw_os_error().is_some_and(out_of_descriptors) {
                        self.pool.close_expired(true);
                    }
                    return (Observation::NotSent, None);
                }
            },
        };
        if !handle.attach(socket.handle()) {
            return (Observation::NotAttempted, None);
        }
        let write_began = Instant::now();
        let left = deadline.saturating_duration_since(write_began);
        if left.is_zero() {
            return (Observation::NotSent, None);
        }
        let head = rpc.head_bytes(self.dialect, self.node, left);
        let body = rpc.framed_body();
        if !self.admission.admit(write_began) {
            return (Observation::NotAttempted, None);
        }
        let written = socket.write_message(head, &body, deadline);
        drop(body);
        self.admission.sent(write_began);
        if let Err((bytes_written, e)) = written {
            // The kernel accepted no byte, so no node can have seen any of the RPC.
            let observation = match e.kind() {
                _ if bytes_written == 0 || self.dialect.runs_only_complete() => Observation::NotSent,
                ErrorKind::TimedOut => Observation::TimedOut,
                _ => Observation::Broken,
            };
            return (observation, None);
        }
        let upload = match rpc.rest_framing {
            Some(_) => upload(&socket, rpc.is_chunked(), caller, deadline),
            None => Upload::Complete,
        };
        match upload {
            Upload::Complete | Upload::EarlyAnswer => {}
            Upload::TimedOut => return (Observation::TimedOut, None),
            Upload::Failed => return (Observation::Cancelled, None),
        }
        let mut reader = Reader {
            socket: &mut socket,
            dialect: self.dialect,
            caller,
            buf: Vec::new(),
            answer_bytes: 0,
            deadline,
            streaming: false,
        };
        let (observation, answer) = reader.answer(&rpc.http_method);
        let complete = matches!(observation, Observation::Answer { .. });
        if handle.is_cancelled() && !complete {
            return (Observation::Cancelled, None);
        }
        // Bytes after the answer belong to no request: the node answered twice or sent a wrong length.
        let unread = reader.buf;
        let clean = unread.is_empty() && matches!(upload, Upload::Complete);
        if complete && clean && answer.as_ref().is_some_and(|a| a.head.keep_alive) {
            self.pool.put(self.node, socket, began, Instant::now());
        }
        (observation, answer)
    }
}

/// How sending a long body ended.
enum Upload {
    Complete,
    /// The node answered or disconnected before the end; an answer may still be readable.
    EarlyAnswer,
    /// The node did not accept the body in time.
    TimedOut,
    /// The client did not deliver the body.
    Failed,
}

/// Streams the rest of a request body from the client, buffering one part at a time.
fn upload(socket: &Socket, chunked: bool, caller: &mut dyn Caller, deadline: Instant) -> Upload {
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        let (chunk, last) = match caller.read_body(left.min(EARLY_ANSWER_POLL)) {
            BodyRead::End if !chunked => return Upload::Complete,
            // After an early answer, sending the rest of the body is pointless.
            _ if !socket.is_idle() => return Upload::EarlyAnswer,
            BodyRead::Pending if left > EARLY_ANSWER_POLL => continue,
            BodyRead::Pending | BodyRead::Failed => return Upload::Failed,
            BodyRead::End => (encode_chunk(&[]), true),
            BodyRead::Data(data) if chunked => (encode_chunk(&data), false),
            BodyRead::Data(data) => (data, false),
        };
        match socket.write(&chunk, deadline) {
            Ok(()) if last => return Upload::Complete,
            Ok(()) => {}
            Err((_, e)) if e.kind() == ErrorKind::TimedOut => return Upload::TimedOut,
            Err(_) => return Upload::EarlyAnswer,
        }
    }
}

/// Encodes data as one chunk; empty data gives the last chunk.
fn encode_chunk(data: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat()
}

/// Reads one answer from a node.
struct Reader<'a> {
    socket: &'a mut Socket,
    dialect: &'a Dialect,
    caller: &'a mut dyn Caller,
    buf: Vec<u8>,
    /// Memory held for what was read of the answer besides `buf`, in bytes.
    answer_bytes: usize,
    deadline: Instant,
    /// The answer is being streamed to the client.
    streaming: bool,
}

/// Why an answer is incomplete.
enum Incomplete {
    Observation(Observation),
    /// The client no longer wants the answer.
    Unwanted,
}

impl Reader<'_> {
    /// Reads more bytes. Returns false at the end of the stream.
    fn read_more(&mut self) -> Result<bool, Incomplete> {
        let mut chunk = [0; READ_BYTES];
        if self.streaming {
            // The answer now belongs to the client: neither the pick's timeout nor the RPC's deadline applies
            // any longer.
            self.deadline = Instant::now() + STREAM_TIMEOUT;
        }
        match self.socket.read(&mut chunk, Some(self.deadline)) {
            Ok(0) => Ok(false),
            Ok(n) => {
                self.reserve_buffer(n)?;
                self.buf.extend_from_slice(&chunk[..n]);
                Ok(true)
            }
            Err(e) if matches!(e.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock) => {
                Err(Incomplete::Observation(Observation::TimedOut))
            }
            Err(_) => Err(Incomplete::Observation(Observation::Broken)),
        }
    }

    /// Makes room for `more` bytes in the buffer.
    fn reserve_buffer(&mut self, more: usize) -> Result<(), Incomplete> {
        let (length, capacity) = (self.buf.len(), self.buf.capacity());
        if length + more > capacity {
            let capacity = grown_capacity(capacity, length + more, http::MAX_HEAD_BYTES);
            self.hold(self.answer_bytes, capacity)?;
            self.buf.reserve_exact(capacity - length);
        }
        Ok(())
    }

    /// Makes room for `more` bytes in the body of an answer that is buffered up to `longest` bytes.
    fn reserve_body(&mut self, answer: &mut Answer, more: usize, longest: usize) -> Result<(), Incomplete> {
        let (length, capacity) = (answer.body.len(), answer.body.capacity());
        if length + more > capacity {
            let grown = grown_capacity(capacity, length + more, longest);
            self.hold(answer.held_bytes() - capacity + grown, self.buf.capacity())?;
            answer.body.reserve_exact(grown - length);
        }
        Ok(())
    }

    /// Accounts for what is held of the answer besides the read buffer, and for the buffer.
    fn hold(&mut self, answer_bytes: usize, buffer_capacity: usize) -> Result<(), Incomplete> {
        self.answer_bytes = answer_bytes;
        match self.caller.hold_answer(answer_bytes + buffer_capacity) {
            true => Ok(()),
            // The answer stays unread, so the RPC may have run.
            false => Err(Incomplete::Observation(Observation::Broken)),
        }
    }

    /// Reads the final response head and its length; `to_head`: the request was a HEAD.
    fn head(&mut self, to_head: bool) -> Result<(Response, usize), Incomplete> {
        // Interim responses (1xx) are skipped. The limit stops a node that sends nothing else.
        for _ in 0..8 {
            let (head, length) = loop {
                match http::parse_response(&self.buf, to_head) {
                    Ok(Some((head, used))) => {
                        self.buf.drain(..used);
                        break (head, used);
                    }
                    Ok(None) if self.read_more()? => {}
                    Ok(None) => return Err(Incomplete::Observation(Observation::Broken)),
                    Err(_) => return Err(Incomplete::Observation(Observation::Malformed)),
                }
            };
            if head.status == 101 {
                break;
            }
            if head.status >= 200 {
                return Ok((head, length));
            }
        }
        Err(Incomplete::Observation(Observation::Malformed))
    }

    /// Reads the whole answer. A long successful one is streamed to the client.
    fn answer(&mut self, http_method: &str) -> (Observation, Option<Answer>) {
        let (head, head_length) = match self.head(http_method == "HEAD") {
            Ok(read) => read,
            Err(Incomplete::Observation(observation)) => return (observation, None),
            Err(Incomplete::Unwanted) => return (Observation::Cancelled, None),
        };
        if self.dialect.is_invalid_framing(head.framing) {
            return (Observation::Malformed, None);
        }
        let (status, never_ran, load) = self.dialect.interpret_response(&head);
        let observation = Observation::Answer { status, never_ran, load };
        let mut answer = Answer { head, head_length, body: Vec::new(), streamed: false };
        match self.body(&mut answer, observation.outcome()) {
            Ok(()) => (observation, Some(answer)),
            Err(Incomplete::Observation(observation)) => (observation, None),
            Err(Incomplete::Unwanted) => (Observation::Cancelled, None),
        }
    }

    /// Reads the body into `answer`, or streams it once it exceeds the buffer.
    fn body(&mut self, answer: &mut Answer, outcome: ivydrift_marshal::Outcome) -> Result<(), Incomplete> {
        self.hold(answer.held_bytes(), self.buf.capacity())?;
        let buffered = self.dialect.max_answer_bytes().unwrap_or(MAX_BUFFERED_ANSWER) + READ_BYTES;
        let longest = match answer.head.framing {
            Framing::Length(n) => n.min(buffered as u64) as usize,
            _ => buffered,
        };
        let mut decoder = BodyDecoder::new(answer.head.framing);
        let chunked = !matches!(answer.head.framing, Framing::Length(_));
        loop {
            match decoder.step(&self.buf) {
                Ok(Part::Data(n)) => {
                    if answer.streamed {
                        stream_part(self.caller, &self.buf[..n], chunked)?;
                        self.buf.drain(..n);
                        continue;
                    }
                    self.reserve_body(answer, n, longest)?;
                    answer.body.extend(self.buf.drain(..n));
                    if let Some(max_bytes) = self.dialect.max_answer_bytes() {
                        if answer.body.len() > max_bytes {
                            return Err(Incomplete::Observation(Observation::Malformed));
                        }
                    } else if answer.body.len() > MAX_BUFFERED_ANSWER && !decoder.is_complete() {
                        if outcome != ivydrift_marshal::Outcome::Ok {
                            // The rest of a long error response is not needed: its status is known.
                            answer.head.keep_alive = false;
                            return Ok(());
                        }
                        answer.streamed = true;
                        self.streaming = true;
                        if !self.caller.begin_answer(answer) {
                            return Err(Incomplete::Unwanted);
                        }
                        stream_part(self.caller, &answer.body, chunked)?;
                        answer.body.clear();
                    }
                }
                Ok(Part::Framing(n)) => {
                    self.buf.drain(..n);
                }
                Ok(Part::End) => break,
                Ok(Part::Incomplete) => {
                    if !self.read_more()? {
                        if decoder.on_close() {
                            break;
                        }
                        return Err(Incomplete::Observation(Observation::Broken));
                    }
                }
                Err(_) => return Err(Incomplete::Observation(Observation::Malformed)),
            }
        }
        if answer.streamed && chunked && !self.caller.send_part(b"0\r\n\r\n") {
            return Err(Incomplete::Unwanted);
        }
        Ok(())
    }
}

/// Streams data to the client, chunked if `chunked` is set.
fn stream_part(caller: &mut dyn Caller, data: &[u8], chunked: bool) -> Result<(), Incomplete> {
    let wanted = if chunked { caller.send_part(&encode_chunk(data)) } else { caller.send_part(data) };
    wanted.then_some(()).ok_or(Incomplete::Unwanted)
}
