//! Nodes. A node begins a request when its last byte has come, works for a while and answers.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::Conn;
use crate::record;

/// One request that came whole to a node.
#[derive(Clone)]
pub struct Attempt {
    pub node: String,
    pub id: String,
    /// When its first and its last byte came, in milliseconds of the record.
    pub first: f64,
    pub last: f64,
}

/// What a request costs a node.
#[derive(Clone, Copy)]
pub enum Work {
    Fixed(Duration),
    /// Exponentially distributed with this mean, by the request's id.
    Exponential(Duration),
}

impl Work {
    fn of(self, id: &str) -> Duration {
        match self {
            Work::Fixed(span) => span,
            Work::Exponential(mean) => {
                let mut hash = 0xcbf2_9ce4_8422_2325_u64;
                for byte in id.bytes() {
                    hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
                }
                hash ^= hash >> 29;
                hash = hash.wrapping_mul(0xbf58_476d_1ce4_e5b9);
                let part = (hash >> 11) as f64 / (1u64 << 53) as f64;
                mean.mul_f64((-(1.0 - part).ln()).clamp(0.05, 8.0))
            }
        }
    }
}

/// What a node does with a request.
#[derive(Clone, Copy, PartialEq)]
pub enum Mode {
    /// Works and answers 200.
    Serves,
    /// Turns new requests away: it drains.
    Drains,
}

/// A node of the fleet.
#[derive(Clone)]
pub struct Node {
    pub name: String,
    pub addr: SocketAddr,
    pub mode: Arc<Mutex<Mode>>,
}

/// All attempts at all nodes.
pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

impl Node {
    /// Starts a node that needs this work for a request.
    pub fn start(name: &str, work: Work, attempts: &Attempts) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap();
        let node = Node { name: name.to_owned(), addr, mode: Arc::new(Mutex::new(Mode::Serves)) };
        let (served, attempts) = (node.clone(), attempts.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (served, attempts) = (served.clone(), attempts.clone());
                std::thread::spawn(move || served.serve(Conn::new(stream), work, &attempts));
            }
        });
        node
    }

    pub fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
    }

    fn serve(&self, mut conn: Conn, work: Work, attempts: &Attempts) {
        while let Ok(Some(request)) = conn.read(None) {
            let id = request.field("x-request-id").unwrap_or("").to_owned();
            let (first, last) = (record::ms_of(request.first), record::ms_of(request.last));
            let told = request.field("x-timeout-ms").unwrap_or("-").to_owned();
            record::line_at(
                last,
                &format!("node {} got {id} ({}), timeout {told}", self.name, request.start_line),
            );
            attempts.lock().unwrap().push(Attempt { node: self.name.clone(), id: id.clone(), first, last });
            if *self.mode.lock().unwrap() == Mode::Drains {
                record::line(&format!("node {} turned away {id}: it drains", self.name));
                if conn.answer(503, "X-Not-Processed: 1\r\n", "").is_err() {
                    return;
                }
                continue;
            }
            std::thread::sleep(work.of(&id));
            record::line(&format!("node {} answered {id}", self.name));
            if conn.answer(200, "", &format!("answer to {id}")).is_err() {
                return;
            }
        }
    }
}
