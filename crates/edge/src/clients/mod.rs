//! Client side: accepts connections, reads RPCs (up to the buffered length of their bodies), and writes one
//! final answer for each.

mod caller;
mod client;
mod memory;
mod read_ahead;
mod reading;
mod serve;
#[cfg(test)]
mod tests;

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ivydrift_policy::presence::{Presence, PRESENCE_VALID_FOR};
use ivydrift_wire::http::{HeadWriter, ParseError};

use crate::Edge;
use caller::{ReadError, RemainingBody};
pub use client::Client;
use client::{ConnectionState, Mail};
use ivydrift_sockets::coroutine::{sleep, spawn};
use ivydrift_sockets::{out_of_descriptors, Listener, Socket};
pub use memory::PeerMemory;
pub(crate) use reading::grown_capacity;

/// A client that accepts no byte of its answer for this long is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

const TOO_SLOW: ParseError = ParseError { status: 408, reason: "the message took too long to arrive" };
const TOO_MANY_EMPTY_LINES: ParseError =
    ParseError { status: 431, reason: "more than 16 KiB of empty lines before a request" };
const NO_MEMORY: ParseError =
    ParseError { status: 503, reason: "no memory is left for this message: try again later" };
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
    let mut connection =
        Connection { edge, client: &client, socket, buf: Vec::new(), message_bytes: 0, is_usual: false };
    let may_be_in_transit = connection.run();
    edge.discard_read_ahead(&client);
    if connection.is_usual {
        edge.usual_connections.fetch_sub(1, Ordering::Relaxed);
    }
    if may_be_in_transit {
        client.state.store(ConnectionState::Closing as u8, Ordering::Release);
        connection.buf = Vec::new();
        connection.release_message();
        connection.socket.close_with_drain(Duration::from_millis(500));
    }
    connection.socket.shutdown();
    edge.release_memory(&client);
    edge.unregister(client_id);
}

/// The socket of a client connection and the bytes read ahead from it.
struct Connection<'a> {
    edge: &'a Arc<Edge>,
    client: &'a Arc<Client>,
    socket: Socket,
    buf: Vec<u8>,
    /// Memory held for the current message besides `buf`, in bytes.
    message_bytes: usize,
    /// The connection has completed a message.
    is_usual: bool,
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
            self.release_message();
            // Not idle meanwhile: the buffer may hold the next message, and an idle connection may be closed.
            self.socket.wait_for_turn();
            self.client.mark_idle();
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
            if !std::mem::replace(&mut self.is_usual, true) {
                self.edge.usual_connections.fetch_add(1, Ordering::Relaxed);
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
            // The id of such a request is still unclaimed, so it may be sent again elsewhere.
            if self.client_left_before(decoder.is_complete()) {
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
            self.socket.record_reads(self.client.close_read_ahead());
            match served {
                Served::KeepAlive if keep => self.client.record_answer(),
                Served::KeepAlive | Served::Close => return true,
                Served::Refuse(error) => return self.refuse(error),
            }
        }
    }

    /// Whether the client left before its request, which was just read, is taken. The request may have waited
    /// unread behind another one, or while the process ran late. From now on bytes after it may be read ahead.
    fn client_left_before(&self, body_is_complete: bool) -> bool {
        self.client.open_read_ahead(body_is_complete);
        let (waited_until, now) = (self.socket.waited_until(), Instant::now());
        let just_arrived = now.saturating_duration_since(waited_until) < PRESENCE_VALID_FOR;
        if just_arrived && !self.edge.recently_delayed(now) {
            self.client.record_present(waited_until);
            return false;
        }
        self.edge.look_for(self.client) == Presence::Gone
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
