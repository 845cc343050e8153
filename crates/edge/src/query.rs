//! HTTP queries to discovery and the rollout controller on a reused connection.

use std::fmt;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ivydrift_sockets::{Socket, SocketHandle};
use ivydrift_wire::http::HeadWriter;
use ivydrift_wire::{list, message};
use rand::RngExt;

/// A connection must be established within this time, or the query fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The connection on which a query waits, so that another coroutine can end the wait.
#[derive(Clone, Default)]
pub struct QueryHandle(Arc<Mutex<Option<SocketHandle>>>);

impl QueryHandle {
    /// Shuts down the connection, which ends the wait.
    pub fn abort(&self) {
        if let Some(socket_handle) = &*self.0.lock().unwrap() {
            socket_handle.shutdown();
        }
    }
}

/// Why a query returned no answer.
#[derive(Debug)]
pub enum QueryError {
    /// No connection was established; the query was not sent.
    Connect(io::Error),
    /// The established connection broke.
    Broken(io::Error),
    /// No complete answer arrived in time.
    TimedOut,
    /// The answer had a status other than 200.
    Status(u16),
    /// The answer could not be parsed.
    Unreadable(String),
}

impl QueryError {
    /// Whether the connection was refused, so nobody listens at the address.
    pub fn refused_connection(&self) -> bool {
        matches!(self, QueryError::Connect(e) if e.kind() == ErrorKind::ConnectionRefused)
    }

    fn from_io(e: io::Error) -> Self {
        match e.kind() {
            ErrorKind::TimedOut | ErrorKind::WouldBlock => QueryError::TimedOut,
            ErrorKind::InvalidData => QueryError::Unreadable(e.to_string()),
            _ => QueryError::Broken(e),
        }
    }
}

impl fmt::Display for QueryError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            QueryError::Connect(e) => write!(f, "connect failed: {e}"),
            QueryError::Broken(e) => write!(f, "connection broke: {e}"),
            QueryError::TimedOut => f.write_str("timed out"),
            QueryError::Status(status) => write!(f, "status {status}"),
            QueryError::Unreadable(why) => f.write_str(why),
        }
    }
}

/// A complete answer of status 200.
pub struct Reply {
    /// The blocking-query index, if the answer has one.
    pub index: Option<u64>,
    pub body: Vec<u8>,
}

/// Queries one address on a connection that is kept for the next query.
pub struct QueryClient {
    to: SocketAddr,
    /// Value of the User-Agent field.
    user_agent: String,
    socket: Option<Socket>,
    handle: QueryHandle,
}

impl QueryClient {
    /// A client for queries to one address.
    pub fn new(to: SocketAddr, marshal: usize) -> Self {
        let user_agent = format!("ivydrift/{} marshal-{marshal}", env!("CARGO_PKG_VERSION"));
        QueryClient { to, user_agent, socket: None, handle: QueryHandle::default() }
    }

    /// A client whose waits end when `handle` is cut.
    pub fn with_handle(handle: &QueryHandle, to: SocketAddr, marshal: usize) -> Self {
        QueryClient { handle: handle.clone(), ..QueryClient::new(to, marshal) }
    }

    /// Sends a query and reads its complete answer of at most `max_bytes` bytes within the given time.
    ///
    /// # Errors
    /// Anything but a complete answer of status 200.
    pub fn send(
        &mut self, http_method: &str, path: &str, body: &[u8], max_bytes: usize, timeout: Duration,
    ) -> Result<Reply, QueryError> {
        let deadline = Instant::now() + timeout;
        let mut socket = match self.socket.take().filter(Socket::is_idle) {
            Some(socket) => socket,
            None => Socket::connect(self.to, timeout.min(CONNECT_TIMEOUT)).map_err(QueryError::Connect)?,
        };
        *self.handle.0.lock().unwrap() = Some(socket.handle());
        let bytes = self.request_bytes(http_method, path, body);
        socket.write(&bytes, deadline).map_err(|(_, e)| QueryError::from_io(e))?;
        let (mut buf, mut chunk) = (Vec::new(), [0; 8192]);
        let parsed = message::read_response(&mut buf, max_bytes, |buf| {
            let n = socket.read(&mut chunk, Some(deadline))?;
            buf.extend_from_slice(&chunk[..n]);
            Ok(n > 0)
        });
        let (head, body) = parsed.map_err(QueryError::from_io)?;
        if head.status != 200 {
            return Err(QueryError::Status(head.status));
        }
        let index = head.fields.get(list::INDEX_FIELD).and_then(|i| i.parse().ok());
        if head.keep_alive {
            self.socket = Some(socket);
        }
        Ok(Reply { index, body })
    }

    fn request_bytes(&self, http_method: &str, path: &str, body: &[u8]) -> Vec<u8> {
        let mut bytes = HeadWriter::request(http_method, path)
            .field("host", self.to.to_string())
            .field("user-agent", &self.user_agent)
            .field("content-length", body.len().to_string())
            .field("content-type", "application/json")
            .finish();
        bytes.extend_from_slice(body);
        bytes
    }
}

/// The wait after this many failures: exponential backoff with full jitter, so that marshals do not retry in
/// step.
pub fn backoff(base: Duration, failures: u32) -> Duration {
    (base * (1 << failures.min(4))).mul_f64(rand::rng().random_range(0.1..=1.0))
}
