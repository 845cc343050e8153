//! Simulated clients that reuse connections, sometimes disconnect early, and record the outcome of each
//! request.

use std::collections::VecDeque;
use std::io::Read;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::net;
use crate::random::Random;

/// Deadline that a client sends with each request.
const DEADLINE: Duration = Duration::from_millis(1200);
/// An answer counts as late only this long after the deadline.
const LATE_AFTER: Duration = Duration::from_millis(500);
/// Extra allowance because machines that run tests are busy.
const BUSY_ALLOWANCE: Duration = Duration::from_millis(400);

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// 200 with the request's own id.
    Served,
    /// 503 or 429.
    Refused,
    /// Any other status.
    Failed,
    /// The client disconnected before the answer.
    Left,
    /// A new connection was closed or reset without an answer.
    Closed,
    /// No answer in time.
    Silent,
    /// 200 with a body that no node sent for this request.
    Wrong(String),
    /// The marshal does not accept connections.
    Unreachable,
}

/// A finished request as its client saw it.
#[derive(Clone, Debug)]
pub struct Request {
    pub marshal: usize,
    pub id: String,
    pub sent: Instant,
    pub ended: Instant,
    pub outcome: Outcome,
}

/// Names a client; no other client has this name, in whichever fleet.
#[derive(Clone, Copy)]
pub struct ClientName {
    pub marshal: usize,
    pub client: usize,
    /// The fleet's address.
    pub fleet: IpAddr,
}

impl ClientName {
    /// The id of the client's request with this number.
    pub fn request_id(self, number: usize) -> String {
        format!("{}-{}-{number}-{}", self.marshal, self.client, self.fleet)
    }
}

/// Sends requests to one marshal until `stop` is set, and records each of them.
pub fn run_client(
    name: ClientName, addr: SocketAddr, seed: u64, stop: &AtomicBool, requests: &Arc<Mutex<Vec<Request>>>,
) {
    let mut random = Random::new(seed);
    let mut reusable: Option<TcpStream> = None;
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        std::thread::sleep(random.millis(20, 120));
        let id = name.request_id(number);
        let disconnect_after = random.chance(4).then(|| random.millis(1, 60));
        let text = request_text(&id, random.chance(30));
        let sent = Instant::now();
        let mut outcome = match reusable.take() {
            Some(stream) => exchange(stream, &text, &id, disconnect_after, &mut reusable),
            None => Outcome::Closed,
        };
        // The marshal may close an idle connection just as a request is sent on it: the client retries once
        // on a new connection.
        if outcome == Outcome::Closed {
            outcome = match TcpStream::connect_timeout(&addr, DEADLINE) {
                Ok(stream) => exchange(stream, &text, &id, disconnect_after, &mut reusable),
                Err(_) => Outcome::Unreachable,
            };
        }
        let request = Request { marshal: name.marshal, id, sent, ended: Instant::now(), outcome };
        requests.lock().unwrap().push(request);
    }
}

/// A crowd: each request comes on a connection of its own, which then stays open, up to so many of them.
const CROWD_CONNECTIONS: usize = 120;

/// Sends one request on each of ever new connections and keeps them open until `stop` is set.
pub fn run_crowd(
    name: ClientName, addr: SocketAddr, seed: u64, stop: &AtomicBool, requests: &Arc<Mutex<Vec<Request>>>,
) {
    let mut random = Random::new(seed);
    let mut open = VecDeque::new();
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        std::thread::sleep(random.millis(5, 60));
        let (id, sent) = (name.request_id(number), Instant::now());
        let mut kept = None;
        let outcome = match TcpStream::connect_timeout(&addr, DEADLINE) {
            Ok(stream) => exchange(stream, &request_text(&id, false), &id, None, &mut kept),
            Err(_) => Outcome::Unreachable,
        };
        open.extend(kept);
        if open.len() > CROWD_CONNECTIONS {
            open.pop_front();
        }
        let request = Request { marshal: name.marshal, id, sent, ended: Instant::now(), outcome };
        requests.lock().unwrap().push(request);
    }
}

/// A request as it goes on the wire.
pub fn request_text(id: &str, non_idempotent: bool) -> String {
    let deadline_ms = DEADLINE.as_millis();
    let fields = format!("Host: b\r\nX-Request-ID: {id}\r\nX-Timeout-Ms: {deadline_ms}\r\n");
    if non_idempotent {
        format!("POST /pickup-book HTTP/1.1\r\n{fields}Content-Length: 4\r\n\r\nslot")
    } else {
        format!("GET /calendar-read HTTP/1.1\r\n{fields}\r\n")
    }
}

/// Sends a request and waits for its answer, or disconnects after `disconnect_after`. The connection goes to
/// `reusable` if it stays open.
fn exchange(
    mut stream: TcpStream, text: &str, id: &str, disconnect_after: Option<Duration>,
    reusable: &mut Option<TcpStream>,
) -> Outcome {
    let _ = stream.set_nodelay(true);
    if !net::write_text(&mut stream, text) {
        return Outcome::Closed;
    }
    if let Some(after) = disconnect_after {
        std::thread::sleep(after);
        return Outcome::Left;
    }
    let _ = stream.set_read_timeout(Some(DEADLINE + LATE_AFTER + BUSY_ALLOWANCE));
    match read_answer(&mut stream) {
        Err(e) if net::is_timeout(&e) => Outcome::Silent,
        Err(_) => Outcome::Closed,
        Ok(answer) => {
            if !answer.to_lowercase().contains("connection: close") {
                *reusable = Some(stream);
            }
            match answer.split(' ').nth(1) {
                Some("200") if answer.ends_with(id) => Outcome::Served,
                Some("200") => Outcome::Wrong(answer),
                Some("503" | "429") => Outcome::Refused,
                _ => Outcome::Failed,
            }
        }
    }
}

fn read_answer(stream: &mut TcpStream) -> std::io::Result<String> {
    let (mut text, mut byte) = (Vec::new(), [0]);
    while !text.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        text.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&text).to_lowercase();
    let mut body = vec![0; net::number_after(&head, "content-length: ").unwrap_or(0) as usize];
    stream.read_exact(&mut body)?;
    text.extend_from_slice(&body);
    Ok(String::from_utf8_lossy(&text).into_owned())
}
