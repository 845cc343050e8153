//! What peers make a marshal hold stays inside the memory that its configuration tells, and usual clients are
//! served meanwhile.

use std::collections::VecDeque;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::platform_scene::*;
use crate::process::Process;
use crate::run_alone;
use crate::scene::*;
use crate::usual_client::run_usual_client;

/// Memory in MB and descriptors that the operators' pages tell, from the tightest to the widest.
const LIMITS: [(usize, usize); 5] = [(32, 256), (32, 1024), (48, 384), (64, 512), (192, 1024)];
/// How long bad clients come, for each of the limits.
const TROUBLE: Duration = ms(4000);
/// Bytes of a body that the marshal takes at most.
const BODY_BYTES: usize = 64 * 1024;

/// A request that can't be repeated, with long fields and a body of 64 KiB.
fn long_request(number: usize) -> Vec<u8> {
    let fields = format!("X-Attrs: {}\r\n", "a=1,".repeat(60)).repeat(number * 7 % 58);
    let head = format!(
        "POST /pickup-book/7 HTTP/1.1\r\nHost: b\r\nX-Request-ID: long-{number}\r\nX-Timeout-Ms: 2000\r\n\
         Content-Length: {BODY_BYTES}\r\n{fields}\r\n"
    );
    [head.as_bytes(), &vec![b'x'; BODY_BYTES]].concat()
}

/// What a bad client sends, by its number.
type Shape = fn(usize) -> Vec<u8>;

/// All of a long request but its last 1000 bytes.
fn incomplete_request(number: usize) -> Vec<u8> {
    let mut request = long_request(number);
    request.truncate(request.len() - 1000);
    request
}

/// A complete request with further ones behind it, for longer than may be read ahead.
fn request_with_many_behind(number: usize) -> Vec<u8> {
    let request = |part: usize| {
        format!(
            "POST /pickup-book/7 HTTP/1.1\r\nHost: b\r\nX-Request-ID: ahead-{number}-{part}\r\n\
             X-Timeout-Ms: 2000\r\nContent-Length: 4\r\n\r\nslot"
        )
    };
    (0..3000).flat_map(|part| request(part).into_bytes()).collect()
}

/// A request with as many fields of one letter as a head may have, complete.
fn request_of_short_fields(number: usize) -> Vec<u8> {
    let fields: String = (0..60).map(|field| format!("{}:\r\n", (b'a' + field % 26) as char)).collect();
    let head =
        format!("GET /calendar-read HTTP/1.1\r\nX-Request-ID: short-{number}\r\nX-Timeout-Ms: 2000\r\n");
    format!("{head}{fields}\r\n").into_bytes()
}

/// The first half of a body in chunks of one byte.
fn body_in_tiny_chunks(number: usize) -> Vec<u8> {
    let head = format!(
        "POST /pickup-book/7 HTTP/1.1\r\nHost: b\r\nX-Request-ID: tiny-{number}\r\nX-Timeout-Ms: 2000\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    [head.as_bytes(), &b"1\r\nx\r\n".repeat(BODY_BYTES / 2)].concat()
}

/// A bad client: what it has yet to send.
struct BadClient {
    stream: TcpStream,
    unsent: VecDeque<u8>,
}

impl BadClient {
    /// Connects, to send this shape.
    fn new(to: SocketAddr, number: usize, shape: Shape) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&to, ms(200)).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(BadClient { stream, unsent: shape(number).into() })
    }

    /// Sends what the marshal takes. Returns false once anything has come back.
    fn step(&mut self) -> bool {
        while !self.unsent.is_empty() {
            match self.stream.write(self.unsent.make_contiguous()) {
                Ok(n) => drop(self.unsent.drain(..n)),
                Err(_) => break,
            }
        }
        matches!(self.stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}

/// Keeps `count` bad clients connected until `until`: where one has got an answer or a close, another comes.
fn bad_clients(to: SocketAddr, count: usize, shape: Shape, until: Instant) {
    let (mut open, mut came): (Vec<BadClient>, usize) = (Vec::new(), 0);
    while Instant::now() < until {
        while open.len() < count {
            let Some(client) = BadClient::new(to, came, shape) else { break };
            came += 1;
            open.push(client);
        }
        open.retain_mut(BadClient::step);
        std::thread::sleep(ms(2));
    }
}

/// Starts a marshal with these limits: memory in MB and descriptors.
pub fn start_with_limits(platform: &Platform, (memory_mb, sockets): (usize, usize)) -> Process {
    let listen_addr = unused_addr();
    let config = config_file(listen_addr, platform)
        .replace("\"memory_mb\": 192", &format!("\"memory_mb\": {memory_mb}"))
        .replace("\"sockets\": 256", &format!("\"sockets\": {sockets}"));
    Process::with_config("m", listen_addr, &config)
}

/// Anonymous memory of a process, in KiB.
pub fn anonymous_kib(pid: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).unwrap();
    line.trim().strip_suffix(" kB").unwrap().parse().unwrap()
}

/// Has bad clients come that send this shape. The marshal's memory has to stay below what its configuration tells.
/// `beside` runs meanwhile.
fn hold_to_memory(node: &Node, shape: Shape, limits: (usize, usize), beside: fn(SocketAddr, Instant)) {
    let (memory_mb, sockets) = limits;
    let platform = start_platform(&[(node.addr, 1)], &[]);
    let marshal = start_with_limits(&platform, limits);
    let (to, until) = (marshal.listen_addr, Instant::now() + TROUBLE);
    let beside = std::thread::spawn(move || beside(to, until));
    let bad = std::thread::spawn(move || bad_clients(to, sockets * 4 / 5, shape, until));
    let mut most_kib = 0;
    while Instant::now() < until {
        most_kib = most_kib.max(anonymous_kib(marshal.child.id()));
        assert!(most_kib <= memory_mb * 1024, "{limits:?}: {most_kib} KiB");
        std::thread::sleep(ms(5));
    }
    bad.join().unwrap();
    beside.join().unwrap_or_else(|_| panic!("{limits:?}: an RPC of a usual client was not served"));
    let tries = AtomicUsize::new(0);
    wait_for("service after the bad clients", ms(3000), || {
        marshal
            .request_status(&read_request(&format!("afterwards-{}", tries.fetch_add(1, Ordering::Relaxed))))
            == Some(200)
    });
    eprintln!("{limits:?}: {most_kib} KiB");
}

/// Serves a usual client until `until`.
fn serve_usual_client(to: SocketAddr, until: Instant) {
    let served = run_usual_client(to, "usual", until).served;
    assert!(served > 50, "{served} RPCs were served");
}

/// Guards against the memory of requests that stop in the middle: it has to be bounded for all together.
#[test]
fn incomplete_requests_stay_inside_the_memory_that_the_configuration_tells() {
    let _alone = run_alone();
    let fine = healthy_node("fine");
    LIMITS
        .into_iter()
        .for_each(|limits| hold_to_memory(&fine, incomplete_request, limits, serve_usual_client));
}

/// Guards against the memory of complete requests and of answers: both are held for as long as a node or a client
/// takes.
#[test]
fn requests_in_progress_and_answers_stay_inside_the_memory_that_the_configuration_tells() {
    let _alone = run_alone();
    let answers_late = late_node("y".repeat(BODY_BYTES));
    LIMITS.into_iter().for_each(|limits| hold_to_memory(&answers_late, long_request, limits, |_, _| {}));
}

/// A node that answers bookings after half a second, with this body.
fn late_node(body: String) -> Node {
    raw_node(move |stream| {
        while let Some(message) = read_message(stream) {
            let is_booking = message.starts_with("POST");
            std::thread::sleep(ms(if is_booking { 500 } else { 0 }));
            if !write_ok(stream, if is_booking { &body } else { "fine" }) {
                return;
            }
        }
    })
}

/// Guards against reading ahead without an account.
#[test]
fn what_is_read_ahead_stays_inside_the_memory_that_the_configuration_tells() {
    let _alone = run_alone();
    let answers_late = late_node("fine".to_owned());
    let tight = LIMITS.into_iter().take(4);
    tight.for_each(|limits| hold_to_memory(&answers_late, request_with_many_behind, limits, |_, _| {}));
}

#[test]
fn heads_of_short_fields_and_tiny_chunks_stay_inside_the_memory_that_the_configuration_tells() {
    let _alone = run_alone();
    let fine = healthy_node("fine");
    for shape in [request_of_short_fields as Shape, body_in_tiny_chunks] {
        LIMITS
            .into_iter()
            .take(2)
            .for_each(|limits| hold_to_memory(&fine, shape, limits, serve_usual_client));
    }
}
