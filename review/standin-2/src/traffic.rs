//! Nodes and usual clients.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::common::*;

/// An attempt as a node saw it.
#[derive(Clone)]
pub struct Attempt {
    pub node: usize,
    pub id: String,
    pub began: Duration,
    pub ended: Duration,
}

/// What nodes have run.
pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

/// How nodes behave.
#[derive(Clone, Copy)]
pub struct Behaviour {
    /// How long the nth request of a node runs.
    pub work: fn(u64) -> Duration,
    /// The answer to the nth request of a node, by the request's id.
    pub reply: fn(u64, &str) -> String,
}

/// A sound node's work: 70 to 160 ms.
pub const SOUND: Behaviour = Behaviour { work: |n| ms(70 + 10 * (n % 10)), reply: |_, id| sound_reply(id) };

/// 200 with a body made for this request.
pub fn sound_reply(id: &str) -> String {
    answer("200 OK", "Content-Type: text/plain\r\n", &format!("done {id}"))
}

/// Starts a node.
pub fn start_node(number: usize, behaviour: Behaviour, run: &Attempts, record: &Arc<Record>) -> SocketAddr {
    let (run, record, count) = (run.clone(), record.clone(), AtomicU64::new(0));
    serve(move |mut stream| {
        let mut buf = Vec::new();
        while let Some(m) = read_message(&mut stream, &mut buf) {
            let id = m.field("x-request-id").to_owned();
            let text = if id.is_empty() {
                answer("404 Not Found", "", "")
            } else {
                let attempt = Attempt { node: number, id: id.clone(), began: m.began, ended: m.ended };
                run.lock().unwrap().push(attempt);
                record.line(m.began, &format!("attempt node={number} id={id} target={}", m.first[1]));
                let nth = count.fetch_add(1, Ordering::Relaxed);
                std::thread::sleep((behaviour.work)(nth));
                (behaviour.reply)(nth, &id)
            };
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// A usual client's request and what became of it.
#[derive(Clone)]
pub struct Call {
    pub id: String,
    /// When its last byte was written.
    pub sent: Duration,
    /// How long its client waits.
    pub timeout: Duration,
    /// When the answer was whole, and its status.
    pub answered: Option<(Duration, u16)>,
    /// The answer was not the one that a node made for this request.
    pub foreign: bool,
    /// Why there is no answer.
    pub why: &'static str,
}

/// How long clients wait for their answers, as they say in their requests: 40 to 100% of the deadline of 3 s.
pub const TIMEOUTS: [Duration; 3] = [ms(1200), ms(2100), ms(3000)];
/// How long the rule on lost requests gives beyond that: half a second, and 50 ms for sockets.
pub const SLACK: Duration = ms(550);

pub fn request_text(method: &str, id: &str, timeout: Duration) -> String {
    let timeout = timeout.as_millis();
    let fields =
        format!("Host: backend.local\r\nX-Request-ID: {id}\r\nX-Tenant-Id: nadhif-sahel\r\nX-Timeout-Ms: {timeout}\r\n");
    match method {
        "pickup-book" => format!("POST /{method}/7 HTTP/1.1\r\n{fields}Content-Length: 4\r\n\r\nslot"),
        _ => format!("GET /{method}/7 HTTP/1.1\r\n{fields}\r\n"),
    }
}

/// One connection of a usual client: one request at a time; a request whose connection is closed before any answer is sent
/// once more on a new one.
pub struct Client {
    to: SocketAddr,
    stream: Option<TcpStream>,
}

impl Client {
    pub fn new(to: SocketAddr) -> Client {
        Client { to, stream: None }
    }

    pub fn call(&mut self, method: &str, id: String, timeout: Duration, record: &Record) -> Call {
        let text = request_text(method, &id, timeout);
        let mut call = Call { id: id.clone(), sent: now(), timeout, answered: None, foreign: false, why: "" };
        for try_number in 0..2 {
            let reused = self.stream.is_some();
            let stream = match self.stream.take() {
                Some(stream) => Ok(stream),
                None => TcpStream::connect_timeout(&self.to, timeout),
            };
            let Ok(mut stream) = stream else {
                call.why = "no connection";
                break;
            };
            let _ = stream.set_nodelay(true);
            if stream.write_all(text.as_bytes()).is_err() {
                call.why = "write failed";
                if reused && try_number == 0 {
                    continue;
                }
                break;
            }
            call.sent = now();
            record.line(
                call.sent,
                &format!("sent id={id} method={method} timeout_ms={} to={}", timeout.as_millis(), self.to.port()),
            );
            let _ = stream.set_read_timeout(Some(timeout + SLACK));
            match read_message(&mut stream, &mut Vec::new()) {
                Some(m) => {
                    let status = m.first.get(1).and_then(|s| s.parse().ok()).unwrap_or(0);
                    call.answered = Some((m.ended, status));
                    call.foreign = status == 200 && m.body != format!("done {id}").as_bytes();
                    call.why = "";
                    if !m.field("connection").eq_ignore_ascii_case("close") {
                        self.stream = Some(stream);
                    }
                    break;
                }
                None if now() >= call.sent + timeout + SLACK - ms(5) => {
                    call.why = "no answer";
                    break;
                }
                None => call.why = "connection closed",
            }
        }
        let (status, took) =
            call.answered.map_or((0, now() - call.sent), |(at, status)| (status, at.saturating_sub(call.sent)));
        let foreign = if call.foreign { " WRONG BODY" } else { "" };
        record.note(&format!("answered id={id} status={status} took_ms={} {}{foreign}", took.as_millis(), call.why));
        call
    }
}

/// Runs usual clients against marshals until a time: `clients` of them, each with `pause` between its requests.
pub fn run_clients(
    to: &[SocketAddr],
    clients: usize,
    pause: Duration,
    until: Duration,
    record: &Arc<Record>,
) -> std::thread::JoinHandle<Vec<Call>> {
    let (to, record) = (to.to_vec(), record.clone());
    std::thread::spawn(move || {
        let threads: Vec<_> = (0..clients)
            .map(|n| {
                let (to, record) = (to[n % to.len()], record.clone());
                std::thread::spawn(move || {
                    let (mut client, mut calls) = (Client::new(to), Vec::new());
                    std::thread::sleep(pause.mul_f64(n as f64 / clients as f64));
                    for i in 0.. {
                        let began = now();
                        if began >= until {
                            break;
                        }
                        let method = ["calendar-read", "calendar-save", "calendar-read", "pickup-book"][i % 4];
                        calls.push(client.call(
                            method,
                            format!("u{n}x{i}x{}", unix_ms() % 1_000_000),
                            TIMEOUTS[(n + i) % 3],
                            &record,
                        ));
                        sleep_until(began + pause);
                    }
                    calls
                })
            })
            .collect();
        threads.into_iter().flat_map(|t| t.join().unwrap_or_default()).collect()
    })
}

/// Prints how the calls ended; returns those that the rule on lost requests counts as lost.
pub fn sum_up(calls: &[Call], record: &Record) -> Vec<Call> {
    let with = |wanted: &dyn Fn(u16) -> bool| calls.iter().filter(|c| c.answered.is_some_and(|a| wanted(a.1))).count();
    let (ok, refused) = (with(&|s| s == 200), with(&|s| s == 503 || s == 429));
    let failed = with(&|s| !matches!(s, 200 | 503 | 429));
    let none = calls.len() - ok - refused - failed;
    record.say(&format!(
        "usual clients: {} requests, {ok} served, {refused} refused, {failed} failed, {none} without an answer",
        calls.len()
    ));
    let lost = |c: &&Call| match c.answered {
        Some((at, _)) => at > c.sent + c.timeout + SLACK || c.foreign,
        None => c.why == "no answer",
    };
    calls.iter().filter(lost).cloned().collect()
}
