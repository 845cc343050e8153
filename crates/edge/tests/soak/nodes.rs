//! Simulated nodes that record every attempt and misbehave on demand.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::net;

/// How a node misbehaves on each request.
#[derive(Clone, Copy, PartialEq)]
#[repr(u8)]
pub enum Misbehavior {
    None,
    /// Answers after 350 ms instead of 15 ms.
    Slow,
    /// Reads the request and never answers.
    Hangs,
    /// Closes the connection without an answer.
    Resets,
    /// Answers 500.
    Fails,
    /// Answers 503 with `X-Not-Processed`.
    Rejects,
}

/// All of them, indexed by [`Node::misbehavior`].
pub const MISBEHAVIORS: [Misbehavior; 6] = [
    Misbehavior::None,
    Misbehavior::Slow,
    Misbehavior::Hangs,
    Misbehavior::Resets,
    Misbehavior::Fails,
    Misbehavior::Rejects,
];

/// An attempt that reached a node.
#[derive(Clone)]
pub struct Arrival {
    pub at: Instant,
    pub node: usize,
    pub marshal: usize,
    pub id: String,
}

/// Everything that reached any node.
#[derive(Default)]
pub struct Arrivals {
    pub all: Vec<Arrival>,
    /// How often each non-idempotent request ran, by its id.
    pub non_idempotent_runs: HashMap<String, usize>,
}

/// A simulated node.
pub struct Node {
    pub addr: SocketAddr,
    /// Index into [`MISBEHAVIORS`].
    pub misbehavior: Arc<AtomicU8>,
}

impl Node {
    pub fn new(number: usize, ip: IpAddr, arrivals: &Arc<Mutex<Arrivals>>) -> Self {
        let (misbehavior, arrivals) = (Arc::new(AtomicU8::new(0)), arrivals.clone());
        let current = misbehavior.clone();
        let addr = net::listen(ip, move |stream| {
            while serve(number, stream, &arrivals, MISBEHAVIORS[current.load(Ordering::SeqCst) as usize]) {}
        });
        Node { addr, misbehavior }
    }
}

/// The id of a request, `MARSHAL-CLIENT-NUMBER-FLEET`.
fn id_of(message: &str) -> Option<String> {
    let line = message.lines().find(|line| line.to_lowercase().starts_with("x-request-id: "))?;
    Some(line["x-request-id: ".len()..].to_owned())
}

/// Serves one request. Returns whether the connection stays open.
fn serve(
    number: usize, stream: &mut TcpStream, arrivals: &Mutex<Arrivals>, misbehavior: Misbehavior,
) -> bool {
    let mut first_byte = [0];
    // The arrival time is that of the first byte.
    if !matches!(stream.peek(&mut first_byte), Ok(1)) {
        return false;
    }
    let at = Instant::now();
    let Some(message) = net::read_message(stream) else { return false };
    let Some(id) = id_of(&message) else { return false };
    let marshal = id.split('-').next().and_then(|m| m.parse().ok()).unwrap_or(usize::MAX);
    let runs = misbehavior != Misbehavior::Rejects;
    {
        let mut arrivals = arrivals.lock().unwrap();
        if runs && message.starts_with("POST") {
            *arrivals.non_idempotent_runs.entry(id.clone()).or_default() += 1;
        }
        arrivals.all.push(Arrival { at, node: number, marshal, id: id.clone() });
    }
    match misbehavior {
        Misbehavior::None => std::thread::sleep(Duration::from_millis(15)),
        Misbehavior::Slow => std::thread::sleep(Duration::from_millis(350)),
        Misbehavior::Hangs => return net::wait_for_close(stream, Duration::from_secs(5)),
        Misbehavior::Resets => return false,
        Misbehavior::Fails => {
            return net::write_text(stream, "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
        }
        Misbehavior::Rejects => {
            return net::write_text(
                stream,
                "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
            )
        }
    }
    net::write_ok(stream, &id)
}
