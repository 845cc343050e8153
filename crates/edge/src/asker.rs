//! Questions to the node list and the desk, over a connection that is used again.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ivydrift_sockets::{Look, Socket};
use ivydrift_wire::http::HeadWriter;
use ivydrift_wire::{list, message};
use rand::RngExt;

/// The connection on which an asker waits, so that the wait can be ended from elsewhere.
#[derive(Clone, Default)]
pub struct Line(Arc<Mutex<Option<Look>>>);

impl Line {
    pub fn cut(&self) {
        if let Some(look) = &*self.0.lock().unwrap() {
            look.cut();
        }
    }
}

/// A connection to list or desk that is used again for the next question.
pub struct Asker {
    to: SocketAddr,
    /// Who asks, as the User-Agent.
    name: String,
    socket: Option<Socket>,
    line: Line,
}

impl Asker {
    pub fn new(to: SocketAddr, marshal: usize) -> Self {
        let name = format!("ivydrift/{} marshal-{marshal}", env!("CARGO_PKG_VERSION"));
        Asker { to, name, socket: None, line: Line::default() }
    }

    /// One whose waits end when `line` is cut.
    pub fn on(line: &Line, to: SocketAddr, marshal: usize) -> Self {
        Asker { line: line.clone(), ..Asker::new(to, marshal) }
    }

    /// Asks and reads the answer whole: its index, where it has one, and its body.
    pub fn ask(
        &mut self, verb: &str, path: &str, body: &[u8], most: usize, within: Duration,
    ) -> io::Result<(Option<u64>, Vec<u8>)> {
        let by = Instant::now() + within;
        let fresh = || Socket::connect(self.to, within.min(Duration::from_secs(1)));
        let mut socket = match self.socket.take().filter(Socket::quiet) {
            Some(socket) => socket,
            None => fresh()?,
        };
        *self.line.0.lock().unwrap() = Some(socket.look());
        let mut bytes = HeadWriter::request(verb, path)
            .field("host", self.to.to_string())
            .field("user-agent", &self.name)
            .field("content-length", body.len().to_string())
            .field("content-type", "application/json")
            .finish();
        bytes.extend_from_slice(body);
        socket.write(&bytes, by).map_err(|e| e.1)?;
        let (mut buf, mut part) = (Vec::new(), [0; 8192]);
        let (head, body) = message::response(&mut buf, most, |buf| {
            let n = socket.read(&mut part, Some(by))?;
            buf.extend_from_slice(&part[..n]);
            Ok(n > 0)
        })?;
        if head.status != 200 {
            return Err(io::Error::new(ErrorKind::InvalidData, format!("status {}", head.status)));
        }
        let index = head.fields.get(list::INDEX).and_then(|i| i.parse().ok());
        if head.keep_alive {
            self.socket = Some(socket);
        }
        Ok((index, body))
    }
}

/// How long to wait after so many failures: full jitter, so that marshals do not come back together.
pub fn jitter(base: Duration, failures: u32) -> Duration {
    (base * (1 << failures.min(4))).mul_f64(rand::rng().random_range(0.1..=1.0))
}
