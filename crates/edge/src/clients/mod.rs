//! Client side: accepts connections, reads RPCs (up to the buffered length of their bodies), and writes one
//! final answer for each.

mod client;
mod passage;
mod serve;
#[cfg(test)]
mod tests;

use std::io::ErrorKind;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ivydrift_wire::body::{Part, Walk};
use ivydrift_wire::http::{self, Framing, HeadWriter, Refusal, Request};

use crate::Edge;
pub use client::Client;
use client::{Mail, Stand};
use ivydrift_sockets::coroutine::{go, pause};
use ivydrift_sockets::{out_of_descriptors, Listener, Socket};
use passage::{Rest, Unread};

/// A client that accepts no byte of its answer for this long is disconnected.
const SLOW_READER: Duration = Duration::from_secs(10);

const TOO_SLOW: Refusal = Refusal { status: 408, why: "the message took too long to arrive" };
const TOO_LONG: Refusal =
    Refusal { status: 413, why: "the body is longer than this marshal passes on (bounds.longest_body_kib)" };

/// Accepts connections until shutdown closes the listener. Connections already in the backlog at that point
/// were accepted by the kernel and may carry an RPC, so they are taken too; closing the listener would reset
/// them.
pub fn accept(edge: &Arc<Edge>, listener: &Listener) {
    loop {
        match listener.accept() {
            Ok(Some(socket)) => welcome(edge, socket),
            Ok(None) if edge.closing() => return,
            Ok(None) => listener.wait(),
            Err(e) => {
                // Connections in the backlog keep their place. If descriptors have run out, closing idle
                // connections frees some.
                tracing::warn!(error = %e, "failed to accept a connection");
                if e.raw_os_error().is_some_and(out_of_descriptors) {
                    edge.pool.tidy(true);
                }
                pause(Duration::from_millis(20));
            }
        }
    }
}

/// Registers an accepted connection and serves it on a coroutine of its own, or closes it if there are too
/// many.
fn welcome(edge: &Arc<Edge>, socket: Socket) {
    let client = Arc::new(Client::new(socket.look()));
    let Some(name) = edge.enter(&client) else { return };
    let edge = edge.clone();
    go(move || serve(&edge, client, name, socket));
}

/// Serves the client registered under `name` until either side closes the connection.
pub fn serve(edge: &Arc<Edge>, client: Arc<Client>, name: u64, socket: Socket) {
    let mut connection = Connection { edge, client: &client, socket, buf: Vec::new() };
    if connection.run() {
        client.stand.store(Stand::Leaving as u8, Ordering::Release);
        connection.socket.close_gently(Duration::from_millis(500));
    }
    connection.socket.cut();
    edge.leave(name);
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
    On,
    /// Close the connection; the answer may still be in transit.
    Close,
    /// The rest of the RPC could not be read.
    Refuse(Refusal),
}

impl Connection<'_> {
    /// Serves RPCs until the connection ends. Returns true if the last answer may still be in transit.
    fn run(&mut self) -> bool {
        loop {
            self.client.rest();
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
                let status = if self.edge.serves() { 200 } else { 503 };
                if !self.finish(HeadWriter::response(status), "", keep) || !keep {
                    return true;
                }
                continue;
            }
            // After a stall, requests waiting in the socket may be from clients that left long ago. The id of
            // such a request is still unclaimed, so it may be sent again elsewhere.
            if self.edge.stalled() && self.socket.left() {
                return true;
            }
            let (left, claim) = match self.edge.dialect.read(&request, &self.edge.live()) {
                // The client's time budget started with its first byte.
                Ok((left, claim)) => (left.map(|left| left.saturating_sub(began.elapsed())), claim),
                Err(refusal) => return self.refuse(refusal),
            };
            let by = began + self.edge.bounds().slow_client;
            let rest =
                Rest { walk, by, held: body.len() as u64, taken: 0, waited: Duration::ZERO, stopped: None };
            let served = self.serve(request, body, rest, left, keep);
            drop(claim);
            match served {
                Served::On if keep => {}
                Served::On | Served::Close => return true,
                Served::Refuse(refusal) => return self.refuse(refusal),
            }
        }
    }

    /// Reads more bytes before `by`. Returns false at the end of the stream.
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

    /// Reads the next request head and the time its first byte arrived.
    fn head(&mut self) -> Result<(Request, Instant), Unread> {
        let bounds = self.edge.bounds();
        let first = bounds.first_message.filter(|_| self.client.stands(Stand::New));
        let first = first.map(|within| self.client.came + within);
        let limit = |by: Instant| first.map_or(by, |first| by.min(first));
        let mut by = limit(Instant::now() + bounds.idle_client);
        let mut began = None;
        loop {
            // Empty lines before a request line are ignored (RFC 9112, section 2.2).
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

    /// Reads the body up to the buffered length. The walk continues with whatever is left of it.
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

    /// Rejects a message and closes the connection, because the message boundary cannot be trusted.
    fn refuse(&self, refusal: Refusal) -> bool {
        let head = HeadWriter::response(refusal.status)
            .field("content-type", "text/plain")
            .field("content-length", (refusal.why.len() + 1).to_string())
            .field("connection", "close")
            .finish();
        let bytes = [&head[..], refusal.why.as_bytes(), b"\n"].concat();
        self.socket.write(&bytes, Instant::now() + SLOW_READER).is_ok()
    }
}
