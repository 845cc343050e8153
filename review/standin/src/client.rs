//! Clients. Each keeps one connection, sends one request at a time and waits for its answer.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::http::Conn;
use crate::record;

/// How long a client waits for its answer, in milliseconds.
pub const TIMEOUT_MS: u64 = 3000;

/// A class of the site, its HTTP method and its tenant.
const CLASSES: [(&str, &str); 3] =
    [("GET", "calendar-read"), ("GET", "calendar-save"), ("POST", "pickup-book")];
const TENANTS: [&str; 3] = ["nadhif-sahel", "bayt-nadhif", "wadi-tri"];

/// The bytes of a request.
pub fn request(id: &str, nth: usize) -> String {
    let ((verb, class), tenant) = (CLASSES[nth % 3], TENANTS[nth % 5 % 3]);
    let body = if verb == "POST" { "slot=7" } else { "" };
    let length = if verb == "POST" { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
    format!(
        "{verb} /{class} HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {id}\r\nX-Tenant-Id: {tenant}\r\n\
         X-Timeout-Ms: {TIMEOUT_MS}\r\n{length}\r\n{body}"
    )
}

/// What became of the requests of a group of clients.
#[derive(Default)]
pub struct Counts {
    pub sent: AtomicUsize,
    pub served: AtomicUsize,
    pub refused: AtomicUsize,
    pub failed: AtomicUsize,
    pub unanswered: AtomicUsize,
}

impl Counts {
    pub fn text(&self) -> String {
        let of = |n: &AtomicUsize| n.load(Ordering::Relaxed);
        format!(
            "{} sent, {} served, {} refused, {} failed, {} unanswered",
            of(&self.sent),
            of(&self.served),
            of(&self.refused),
            of(&self.failed),
            of(&self.unanswered)
        )
    }
}

/// Clients of one marshal.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    pub counts: Arc<Counts>,
}

impl Clients {
    /// Starts `number` clients that send one request every `pause` each; ids begin with `prefix`.
    pub fn start(to: SocketAddr, prefix: &str, number: usize, pause: Duration) -> Clients {
        let (stop, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(Counts::default()));
        let threads = (0..number).map(|client| {
            let (stop, counts, prefix) = (stop.clone(), counts.clone(), prefix.to_owned());
            std::thread::spawn(move || {
                std::thread::sleep(pause * client as u32 / number as u32);
                run(to, &format!("{prefix}-{client}"), pause, &stop, &counts);
            })
        });
        let threads = threads.collect();
        Clients { stop, threads, counts }
    }

    /// Lets the clients end what they are at, and ends them.
    pub fn stop(self) -> Arc<Counts> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| drop(thread.join()));
        self.counts
    }
}

fn run(to: SocketAddr, prefix: &str, pause: Duration, stop: &AtomicBool, counts: &Counts) {
    let mut conn: Option<Conn> = None;
    let mut due = Instant::now();
    for nth in 0.. {
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        due = (due + pause).max(Instant::now());
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{prefix}-{nth}");
        counts.sent.fetch_add(1, Ordering::Relaxed);
        let outcome = exchange(to, &mut conn, &id, nth);
        let (count, text) = match outcome {
            Some(200) => (&counts.served, "200".to_owned()),
            Some(status @ (429 | 503)) => (&counts.refused, status.to_string()),
            Some(status) => (&counts.failed, status.to_string()),
            None => (&counts.unanswered, "nothing".to_owned()),
        };
        count.fetch_add(1, Ordering::Relaxed);
        record::line(&format!("client of {id} got {text}"));
    }
}

/// Sends one request and returns the status of its answer. Where a kept connection ends before any byte of an
/// answer, the request goes out once more on a new one, as the protocol page says.
fn exchange(to: SocketAddr, kept: &mut Option<Conn>, id: &str, nth: usize) -> Option<u16> {
    let until = Instant::now() + Duration::from_millis(TIMEOUT_MS + 550);
    record::line(&format!("client sends {id}"));
    for fresh in [kept.is_none(), true] {
        let mut conn = match kept.take() {
            Some(conn) => conn,
            None => Conn::new(TcpStream::connect(to).ok()?),
        };
        let answer = match conn.stream.write_all(request(id, nth).as_bytes()) {
            Ok(()) => conn.read(Some(until)),
            Err(e) => Err(e),
        };
        match answer {
            Ok(Some(answer)) => {
                if answer.keeps() {
                    *kept = Some(conn);
                }
                return Some(answer.status());
            }
            Err(e) if e.kind() == std::io::ErrorKind::TimedOut => return None,
            _ if fresh => return None,
            _ => {}
        }
    }
    None
}
