//! Client side: accepts connections, reads RPCs (up to the buffered length of their bodies), and writes one
//! final answer for each.

mod caller;
mod client;
mod serve;
#[cfg(test)]
mod tests;

use std::io::ErrorKind;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ivydrift_wire::body_framing::{BodyDecoder, Part};
use ivydrift_wire::http::{self, Framing, HeadWriter, ParseError, Request};

use crate::Edge;
use caller::{ReadError, RemainingBody};
pub use client::Client;
use client::{ConnectionState, Mail};
use ivydrift_sockets::coroutine::{sleep, spawn};
use ivydrift_sockets::{out_of_descriptors, Listener, Socket};

/// A client that accepts no byte of its answer for this long is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

const TOO_SLOW: ParseError = ParseError { status: 408, reason: "the message took too long to arrive" };
const TOO_MANY_EMPTY_LINES: ParseError =
    ParseError { status: 431, reason: "more than 16 KiB of empty lines before a request" };
const TOO_LONG: ParseError = ParseError {
    status: 413,
    reason: "the body is longer than this marshal passes on (bounds.longest_body_kib)",
};

/// Accepts connections until shutdown closes the listener. Connections already in the backlog at that point
/// were accepted by the kernel and may carry an RPC, so they are taken too; closing the listener would reset
/// them.
pub fn accept(edge: &Arc<Edge>, listener: &Listener) {
    loop {
        match listener.accept() {
            Ok(Some(socket)) => start_serving(edge, socket),
            Ok(None) if edge.closing() => return,
            Ok(None) => listener.wait(),
            Err(e) => {
                // Connections in the backlog keep their place. If descriptors have run out, closing idle
                // connections frees some.
                tracing::warn!(error = %e, "failed to accept a connection");
                if e.raw_os_error().is_some_and(out_of_descriptors) {
                    edge.pool.close_expired(true);
                }
                sleep(Duration::from_millis(20));
            }
        }
    }
}

/// Registers an accepted connection and serves it on a coroutine of its own, or closes it if there are too
/// many.
fn start_serving(edge: &Arc<Edge>, socket: Socket) {
    let client = Arc::new(Client::new(socket.handle()));
    let Some(client_id) = edge.register(&client) else { return };
    let edge = edge.clone();
    spawn(move || serve(&edge, client, client_id, socket));
}

/// Serves the client registered under `client_id` until either side closes the connection.
pub fn serve(edge: &Arc<Edge>, client: Arc<Client>, client_id: u64, socket: Socket) {
    let mut connection = Connection { edge, client: &client, socket, buf: Vec::new() };
    if connection.run() {
        client.state.store(ConnectionState::Closing as u8, Ordering::Release);
        connection.socket.close_with_drain(Duration::from_millis(500));
    }
    connection.socket.shutdown();
    edge.unregister(client_id);
}

/// The socket of a client connection and the bytes read ahead from it.
struct Connection<'a> {
    edge: &'a Arc<Edge>,
    client: &'a Arc<Client>,
    socket: Socket,
    buf: Vec<u8>,
}

/// What happens to a client connection after an RPC.
enum Served {
    /// Go on with the next RPC.
    KeepAlive,
    /// Close the connection; the answer may still be in transit.
    Close,
    /// The rest of the RPC could not be read.
    Refuse(ParseError),
}

impl Connection<'_> {
    /// Serves RPCs until the connection ends. Returns true if the last answer may still be in transit.
    fn run(&mut self) -> bool {
        loop {
            self.client.mark_idle();
            self.socket.wait_for_turn();
            let (request, first_byte_at) = match self.read_head() {
                Ok(read) => read,
                Err(ReadError::Closed) => return false,
                Err(ReadError::Refused(error)) => return self.refuse(error),
            };
            let (body, decoder) = match self.read_body_prefix(&request, first_byte_at) {
                Ok(body) => body,
                Err(ReadError::Closed) => return false,
                Err(ReadError::Refused(error)) => return self.refuse(error),
            };
            if !self.client.complete_message() {
                return false;
            }
            let keep = request.keep_alive && !self.edge.stopping();
            if matches!(&*request.http_method, "CONNECT" | "TRACE") {
                return self.refuse(ParseError { status: 405, reason: "this method is not for RPCs" });
            }
            if self.edge.dialect.is_health_check(&request) {
                let status = if self.edge.is_ready() { 200 } else { 503 };
                if !self.write_answer(HeadWriter::response(status), "", keep) || !keep {
                    return true;
                }
                continue;
            }
            // After a stall, requests waiting in the socket may be from clients that left long ago. The id of
            // such a request is still unclaimed, so it may be sent again elsewhere.
            if self.edge.recently_stalled() && self.socket.peer_closed() {
                return true;
            }
            let (time_left, claim) =
                match self.edge.dialect.read_timeout_and_id(&request, &self.edge.settings()) {
                    // The client's time budget started with its first byte.
                    Ok((time_left, claim)) => {
                        (time_left.map(|time_left| time_left.saturating_sub(first_byte_at.elapsed())), claim)
                    }
                    Err(error) => return self.refuse(error),
                };
            let deadline = first_byte_at + self.edge.limits().message_timeout;
            let remaining = RemainingBody {
                decoder,
                deadline,
                buffered: body.len() as u64,
                streamed: 0,
                waited: Duration::ZERO,
                failure: None,
            };
            let served = self.serve_rpc(request, body, remaining, time_left, keep);
            drop(claim);
            match served {
                Served::KeepAlive if keep => {}
                Served::KeepAlive | Served::Close => return true,
                Served::Refuse(error) => return self.refuse(error),
            }
        }
    }

    /// Reads more bytes before `deadline`. Returns false at the end of the stream.
    fn read_more(&mut self, deadline: Instant) -> Result<bool, ErrorKind> {
        let mut chunk = [0; 4096];
        match self.socket.read(&mut chunk, Some(deadline)) {
            Ok(0) => Ok(false),
            Ok(n) => {
                self.buf.extend_from_slice(&chunk[..n]);
                Ok(true)
            }
            Err(e) => Err(e.kind()),
        }
    }

    /// Reads the next request head and the time its first byte arrived.
    fn read_head(&mut self) -> Result<(Request, Instant), ReadError> {
        let limits = self.edge.limits();
        let first_message_by =
            limits.first_message_timeout.filter(|_| self.client.in_state(ConnectionState::New));
        let first_message_by = first_message_by.map(|within| self.client.accepted_at + within);
        let limit = |deadline: Instant| {
            first_message_by.map_or(deadline, |first_message_by| deadline.min(first_message_by))
        };
        let mut deadline = limit(Instant::now() + limits.client_idle_timeout);
        let mut first_byte_at = None;
        let mut empty_line_bytes = 0;
        loop {
            empty_line_bytes += self.drop_empty_lines();
            if empty_line_bytes > http::MAX_HEAD_BYTES {
                return Err(ReadError::Refused(TOO_MANY_EMPTY_LINES));
            }
            if !self.buf.is_empty() && first_byte_at.is_none() {
                if !self.client.begin_message() {
                    return Err(ReadError::Closed);
                }
                first_byte_at = Some(Instant::now());
                deadline = limit(Instant::now() + limits.message_timeout);
            }
            match http::parse_request(&self.buf) {
                Ok(Some((request, used))) => {
                    self.buf.drain(..used);
                    return Ok((request, first_byte_at.unwrap_or_else(Instant::now)));
                }
                Ok(None) => {}
                Err(error) => return Err(ReadError::Refused(error)),
            }
            match self.read_more(deadline) {
                Ok(true) => {}
                Err(ErrorKind::TimedOut) if first_byte_at.is_some() => {
                    return Err(ReadError::Refused(TOO_SLOW))
                }
                _ => return Err(ReadError::Closed),
            }
        }
    }

    /// Drops the empty lines before a request line (RFC 9112, section 2.2). Returns their length in bytes.
    fn drop_empty_lines(&mut self) -> usize {
        let count = self.buf.chunks_exact(2).take_while(|line| *line == b"\r\n").count();
        self.buf.drain(..2 * count);
        2 * count
    }

    /// Reads the body up to the buffered length. The decoder continues with whatever is left of it.
    fn read_body_prefix(
        &mut self, request: &Request, first_byte_at: Instant,
    ) -> Result<(Vec<u8>, BodyDecoder), ReadError> {
        let limits = self.edge.limits();
        if matches!(request.framing, Framing::Length(n) if n > limits.max_body_bytes) {
            return Err(ReadError::Refused(TOO_LONG));
        }
        let (mut decoder, mut body) = (BodyDecoder::new(request.framing), Vec::new());
        if request.expects_continue && !decoder.is_complete() && self.buf.is_empty() {
            let deadline = Instant::now() + WRITE_TIMEOUT;
            if self.socket.write(b"HTTP/1.1 100 Continue\r\n\r\n", deadline).is_err() {
                return Err(ReadError::Closed);
            }
        }
        let deadline = first_byte_at + limits.message_timeout;
        loop {
            match decoder.step(&self.buf) {
                Ok(Part::Data(n)) => {
                    body.extend(self.buf.drain(..n));
                    if body.len() as u64 > limits.max_body_bytes {
                        return Err(ReadError::Refused(TOO_LONG));
                    }
                    if body.len() > limits.buffered_body_bytes && !decoder.is_complete() {
                        return Ok((body, decoder));
                    }
                }
                Ok(Part::Framing(n)) => {
                    self.buf.drain(..n);
                }
                Ok(Part::End) => return Ok((body, decoder)),
                Ok(Part::Incomplete) => match self.read_more(deadline) {
                    Ok(true) => {}
                    Err(ErrorKind::TimedOut) => return Err(ReadError::Refused(TOO_SLOW)),
                    _ => return Err(ReadError::Closed),
                },
                Err(error) => return Err(ReadError::Refused(error)),
            }
        }
    }

    /// Rejects a message and closes the connection, because the message boundary cannot be trusted.
    fn refuse(&self, error: ParseError) -> bool {
        let head = HeadWriter::response(error.status)
            .field("content-type", "text/plain")
            .field("content-length", (error.reason.len() + 1).to_string())
            .field("connection", "close")
            .finish();
        let bytes = [&head[..], error.reason.as_bytes(), b"\n"].concat();
        self.socket.write(&bytes, Instant::now() + WRITE_TIMEOUT).is_ok()
    }
}
