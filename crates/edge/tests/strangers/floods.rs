//! Clients that send at full speed: they get a share of the marshal's only worker, and all others are served
//! in time.

use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

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
