//! Clients that send at full speed: they get a share of the marshal's only worker, and all others are served
//! in time.

use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::memory::{anonymous_kib, start_with_limits};
use crate::platform_scene::*;
use crate::process::Process;
use crate::run_alone;
use crate::scene::*;
use crate::usual_client::run_usual_client;

/// How long each flood lasts.
const FLOOD: Duration = ms(4000);
/// By when a bad client is owed an error or a close.
const OWED_WITHIN: Duration = ms(3000);

/// How a flood of one connection ended.
#[derive(Debug)]
struct FloodEnd {
    /// The client got an error or a close.
    ended: bool,
    after: Duration,
}

/// Sends `part` over and over at full speed, and reads what is sent back, until the connection ends or
/// `until`.
fn flood(to: SocketAddr, part: &[u8], until: Instant) -> FloodEnd {
    let bytes = part.repeat((1 << 18) / part.len());
    let (mut stream, began, mut sent) = (connect(to), Instant::now(), 0);
    stream.set_nonblocking(true).unwrap();
    let mut answers = [0; 1 << 16];
    let ended = loop {
        if Instant::now() > until {
            break false;
        }
        match stream.write(&bytes[sent % part.len()..]) {
            Ok(n) => sent += n,
            Err(e) if e.kind() == ErrorKind::WouldBlock => std::thread::sleep(Duration::from_micros(50)),
            Err(_) => break true,
        }
        match stream.read(&mut answers) {
            Ok(n) if n > 0 && answers.starts_with(b"HTTP/1.1 200") => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            _ => break true,
        }
    };
    FloodEnd { ended, after: began.elapsed() }
}

/// Serves usual clients while `floods` clients at a time send `part` at full speed; where one has ended, another
/// comes. Returns how they ended.
fn serve_beside_floods(floods: usize, part: &'static [u8]) -> Vec<FloodEnd> {
    let fine = healthy_node("fine");
    let platform = start_platform(&[(fine.addr, 1)], &[]);
    let marshal = Process::on_platform("m", &platform);
    let to = marshal.listen_addr;
    let until = Instant::now() + FLOOD;
    let served = Arc::new(AtomicUsize::new(0));
    let usual: Vec<_> = (0..4)
        .map(|n| {
            let served = served.clone();
            std::thread::spawn(move || {
                let service = run_usual_client(to, &format!("usual-{n}"), until);
                served.fetch_add(service.served, Ordering::Relaxed);
                service.longest
            })
        })
        .collect();
    let bad: Vec<_> = (0..floods)
        .map(|_| {
            std::thread::spawn(move || {
                let mut ends = Vec::new();
                while Instant::now() < until {
                    ends.push(flood(to, part, until));
                }
                ends
            })
        })
        .collect();
    let ends = bad.into_iter().flat_map(|bad| bad.join().unwrap()).collect();
    for client in usual {
        let longest = client.join().expect("an RPC of a usual client was lost");
        assert!(longest < ms(1000), "an RPC of a usual client took {longest:?}");
    }
    let served = served.load(Ordering::Relaxed);
    assert!(served > 100, "{served} RPCs of usual clients were served");
    ends
}

/// Sends numbered messages at full speed and reads what comes back, on a new connection where one has ended.
fn flood_numbered(to: SocketAddr, message: fn(usize) -> String, until: Instant) {
    let (mut number, mut answers) = (0, [0; 1 << 16]);
    while Instant::now() < until {
        let mut stream = connect(to);
        stream.set_nonblocking(true).unwrap();
        let mut unsent = Vec::new();
        while Instant::now() < until {
            if unsent.is_empty() {
                unsent = (0..200).map(|part| message(number + part)).collect::<String>().into_bytes();
                number += 200;
            }
            match stream.write(&unsent) {
                Ok(n) => drop(unsent.drain(..n)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => std::thread::sleep(Duration::from_micros(50)),
                Err(_) => break,
            }
            match stream.read(&mut answers) {
                Ok(n) if n > 0 => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                _ => break,
            }
        }
    }
}

/// A request with an id of the greatest length.
fn numbered_request(number: usize) -> String {
    format!("GET /calendar-read HTTP/1.1\r\nX-Request-ID: {number:0>128}\r\nX-Timeout-Ms: 2000\r\n\r\n")
}

/// Messages under ever new names, by their number: RPCs, unknown classes, tenants, unsound requests, and requests
/// that are rejected.
const NAMED_MESSAGES: [fn(usize) -> String; 5] = [
    numbered_request,
    |n| format!("GET /class-{n} HTTP/1.1\r\nX-Request-ID: c{n}\r\nX-Timeout-Ms: 2000\r\n\r\n"),
    |n| {
        let tenant = format!("X-Tenant-Id: tenant-{n}\r\nX-Field-{n}: {n}\r\n");
        format!("GET /calendar-read/{n} HTTP/1.1\r\nX-Request-ID: t{n}\r\nX-Timeout-Ms: 2000\r\n{tenant}\r\n")
    },
    |n| format!("GET /calendar-read HTTP/1.1\r\nX-Request-ID: u{n}\r\nX-Timeout-Ms: soon-{n}\r\n\r\n"),
    |n| {
        format!("POST /pickup-book HTTP/1.1\r\nX-Request-ID: z{n}\r\nX-Timeout-Ms: 0\r\nContent-Length: 1\r\n\r\n{}", n % 10)
    },
];

/// Serves a usual client of a tight marshal while `floods` clients send numbered messages at full speed.
fn hold_beside_numbered_floods(platform: &Platform, floods: usize, message: fn(usize) -> String) {
    let marshal = start_with_limits(platform, (32, 256));
    let (to, until) = (marshal.listen_addr, Instant::now() + FLOOD);
    let bad: Vec<_> =
        (0..floods).map(|_| std::thread::spawn(move || flood_numbered(to, message, until))).collect();
    let usual = std::thread::spawn(move || run_usual_client(to, "usual", until));
    let mut most_kib = 0;
    while Instant::now() < until {
        most_kib = most_kib.max(anonymous_kib(marshal.child.id()));
        std::thread::sleep(ms(10));
    }
    bad.into_iter().for_each(|bad| bad.join().unwrap());
    let service = usual.join().expect("a usual client was not served");
    eprintln!("{floods} floods: {most_kib} KiB, {} served, longest {:?}", service.served, service.longest);
    assert!(most_kib <= 32 * 1024, "{most_kib} KiB");
    assert!(service.longest < ms(1000), "an RPC took {:?}", service.longest);
}

/// Guards against names that are kept without end, and against one connection that keeps the worker.
#[test]
fn messages_under_ever_new_names_at_full_speed_leave_the_worker_and_the_memory_to_others() {
    let _alone = run_alone();
    let fine = healthy_node("fine");
    let platform = start_platform(&[(fine.addr, 1)], &[]);
    NAMED_MESSAGES.into_iter().for_each(|message| hold_beside_numbered_floods(&platform, 1, message));
}

/// Guards against reading ahead for many at the cost of all others.
#[test]
fn many_clients_that_send_requests_at_full_speed_leave_the_worker_and_the_memory_to_others() {
    let _alone = run_alone();
    let fine = healthy_node("fine");
    let platform = start_platform(&[(fine.addr, 1)], &[]);
    hold_beside_numbered_floods(&platform, 20, numbered_request);
}

/// Guards against empty lines that count towards no limit and keep the worker for as long as they come.
#[test]
fn a_client_that_sends_empty_lines_at_full_speed_is_refused_and_others_are_served() {
    let _alone = run_alone();
    let ends = serve_beside_floods(3, b"\r\n");
    let late: Vec<_> = ends.iter().filter(|end| end.after > OWED_WITHIN).collect();
    assert!(late.is_empty(), "{late:?} of {}", ends.len());
    assert!(ends.iter().any(|end| end.ended));
}

/// Guards against complete messages that are read and answered without ever giving way to others.
#[test]
fn clients_that_send_health_checks_at_full_speed_leave_the_worker_to_others() {
    let _alone = run_alone();
    for floods in [1, 12] {
        serve_beside_floods(floods, b"GET /_health HTTP/1.1\r\nHost: b\r\n\r\n");
    }
}
