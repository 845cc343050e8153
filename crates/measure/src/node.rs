//! Fake nodes that answer immediately, on many ports of one process. The first port also serves as node list
//! and rollout controller.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ivydrift_sockets::coroutine::{configure_runtime, sleep, spawn};
use ivydrift_sockets::Socket;
use ivydrift_wire::http::{self, HeadWriter};
use ivydrift_wire::list::{self, ListedNode, State};
use ivydrift_wire::{message, rpc};
use may::net::TcpListener;

/// Reads one request with its body; `None` at the end of the connection.
pub fn read_request(socket: &mut Socket, buf: &mut Vec<u8>) -> Option<(http::Request, Vec<u8>)> {
    let mut chunk = [0; 4096];
    let read = message::read_request(buf, 1 << 20, |buf| {
        let n = socket.read(&mut chunk, None)?;
        buf.extend_from_slice(&chunk[..n]);
        Ok(n > 0)
    });
    read.ok()
}

/// Listens on a free port and serves each connection in its own coroutine.
///
/// # Errors
/// If no socket can be bound.
pub fn listen(answer: impl Fn(&mut Socket) + Send + Sync + Clone + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let answer = answer.clone();
            let mut socket = Socket::new(stream);
            spawn(move || answer(&mut socket));
        }
    });
    Ok(addr)
}

/// Prints the listening addresses and blocks until the process is killed.
pub fn announce(addrs: &[SocketAddr]) -> io::Result<()> {
    let text: Vec<String> = addrs.iter().map(ToString::to_string).collect();
    println!("{}", text.join(" "));
    loop {
        std::thread::sleep(Duration::from_secs(3600));
    }
}

/// Counters of all nodes of one process.
#[derive(Default)]
struct Counters {
    rpcs_run: AtomicU64,
    /// Ids of the bookings that ran, and the number of bookings that ran again.
    booked: Mutex<HashSet<Vec<u8>>>,
    repeated: AtomicU64,
}

/// Longest queue of one port, as waiting time; RPCs beyond it are rejected. Only used if each RPC takes time.
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(800);

/// Asks the node process for its counters: RPCs run, and bookings that ran more than once.
///
/// # Errors
/// If the process can't be reached or sends no counters.
pub fn fetch_counters(node_list: &str) -> io::Result<(u64, u64)> {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect(node_list)?;
    stream.write_all(b"GET /counted HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n")?;
    let mut chunk = [0; 512];
    let (_, body) = message::read_response(&mut Vec::new(), 512, |buf| {
        let n = stream.read(&mut chunk)?;
        buf.extend_from_slice(&chunk[..n]);
        Ok(n > 0)
    })?;
    let text = String::from_utf8_lossy(&body).into_owned();
    let mut numbers = text.split_whitespace().filter_map(|n| n.parse().ok());
    numbers.next().zip(numbers.next()).ok_or_else(|| io::Error::other("the node process sent no counters"))
}

/// Runs the nodes and prints their addresses, that of the node list first.
///
/// # Errors
/// If no socket can be bound.
pub fn run(ports: usize, work_ms: u64) -> io::Result<()> {
    configure_runtime(1);
    let (counters, work) = (Arc::new(Counters::default()), Duration::from_millis(work_ms));
    let body = [b'x'; 100];
    let ok_response: Arc<[u8]> =
        [&HeadWriter::response(200).field("content-length", "100").finish()[..], &body].concat().into();
    let mut addrs = Vec::new();
    for _ in 0..ports {
        let (ok_response, counters, free_at) =
            (ok_response.clone(), counters.clone(), Arc::new(Mutex::new(Instant::now())));
        addrs.push(listen(move |socket| {
            let mut buf = Vec::new();
            while let Some((request, body)) = read_request(socket, &mut buf) {
                if !work.is_zero() {
                    let wait = {
                        let mut free_at = free_at.lock().unwrap();
                        let now = Instant::now();
                        let wait = free_at.saturating_duration_since(now);
                        if wait < MAX_QUEUE_WAIT {
                            *free_at = now + wait + work;
                        }
                        wait
                    };
                    if wait >= MAX_QUEUE_WAIT {
                        let head =
                            HeadWriter::response(503).field(rpc::NEVER_RAN, "1").field("content-length", "0");
                        if socket.write(&head.finish(), Instant::now() + Duration::from_secs(5)).is_err() {
                            return;
                        }
                        continue;
                    }
                    sleep(wait + work);
                }
                counters.rpcs_run.fetch_add(1, Ordering::Relaxed);
                if request.target == "/pickup-book" && !counters.booked.lock().unwrap().insert(body) {
                    counters.repeated.fetch_add(1, Ordering::Relaxed);
                }
                if request.fields.get("x-hold").is_some() {
                    sleep(Duration::from_secs(10));
                }
                if socket.write(&ok_response, Instant::now() + Duration::from_secs(5)).is_err() {
                    return;
                }
            }
        })?);
    }
    let list_entry = |a: &SocketAddr| ListedNode {
        host: a.ip().to_string(),
        port: a.port(),
        state: State::Ready,
        build: 1,
        zone: "site-a".into(),
        cell: 0,
        kind: "full-1c".into(),
        power: 1.0,
        started_ms: None,
    };
    let list: Arc<[u8]> = list::write(&addrs.iter().map(list_entry).collect::<Vec<_>>()).into();
    let news = br#"{"index":1,"stage":{"build":1,"stage":2,"course":"released","cap":1.0,"age_ms":90000}}"#;
    let node_list = listen(move |socket| {
        let mut buf = Vec::new();
        while let Some((request, _)) = read_request(socket, &mut buf) {
            if request.target.contains("index=1") {
                sleep(Duration::from_secs(4));
            }
            let counts = format!(
                "{} {}",
                counters.rpcs_run.load(Ordering::Relaxed),
                counters.repeated.load(Ordering::Relaxed)
            );
            let body: &[u8] = match &*request.target {
                "/counted" => counts.as_bytes(),
                target if target.contains("/health/") => &list,
                _ => news,
            };
            let head = HeadWriter::response(200)
                .field(list::INDEX_FIELD, "1")
                .field("content-length", body.len().to_string())
                .finish();
            let bytes = [&head[..], body].concat();
            if socket.write(&bytes, Instant::now() + Duration::from_secs(5)).is_err() {
                return;
            }
        }
    })?;
    addrs.insert(0, node_list);
    announce(&addrs)
}
