//! Some hundreds of bad clients stop in the middle of a request and stay. The marshal has to keep to the memory that its
//! configuration tells; over it the platform kills it, and it has crashed.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

use crate::common::*;
use crate::traffic::*;
use crate::Deployment;

/// `limits.memory_mb` and `limits.sockets`, of 32 to 192 MB and 256 to 1,024 descriptors.
const LIMITS: (u64, u64) = (32, 256);
/// So many bad clients at a time. One that got its error or its close is followed by another.
const BAD_CLIENTS: usize = 205;
/// For how long they come.
const TROUBLE: Duration = ms(16_000);

pub fn run(case: &Path, trouble: bool) -> Option<bool> {
    let mut deployment = Deployment::start(case, SOUND, LIMITS)?;
    let record = deployment.record.clone();
    let from = now();
    let clients = run_clients(&deployment.addrs(), 16, ms(215), from + ms(4000) + TROUBLE, &record);
    let pid = deployment.marshals[0].child.id();
    let to = deployment.marshals[0].addr;
    let bad = std::thread::spawn({
        let record = record.clone();
        move || {
            sleep_until(from + ms(4000));
            if trouble {
                bad_clients(to, &record);
            }
        }
    });
    // The platform: over the limit the marshal is killed. Memory that is not mapped from a file counts.
    let (mut most, mut killed) = (0, false);
    while now() < from + ms(4000) + TROUBLE && !killed {
        let used = anonymous_kib(pid)?;
        if used > most {
            most = used;
            record.note(&format!("the marshal's memory: {most} KiB"));
        }
        if most > LIMITS.0 * 1024 {
            record.say(&format!("BROKEN memory of {most} KiB is over the limit of {} MB: the marshal is killed", LIMITS.0));
            let _ = deployment.marshals[0].child.kill();
            killed = true;
        }
        std::thread::sleep(ms(10));
    }
    bad.join().ok()?;
    let calls = clients.join().ok()?;
    sum_up(&calls, &record);
    record.say(&format!("most memory of the marshal: {most} KiB, limit {} KiB", LIMITS.0 * 1024));
    (calls.len() > 300).then_some(!killed)
}

/// Anonymous memory of a process.
fn anonymous_kib(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    text.lines().find_map(|l| l.strip_prefix("RssAnon:"))?.trim().strip_suffix(" kB")?.parse().ok()
}

/// A request that stops 500 to 5,500 bytes before the end of its body of 64 KiB, with up to 14 KB of fields.
fn half_request(n: u64, lot: u64) -> Vec<u8> {
    let id = format!("m{n}x{}", unix_ms() % 1_000_000);
    let fields = format!("X-Attrs: {}\r\n", "a=1,".repeat(60)).repeat((lot >> 20) as usize % 58);
    let head = format!(
        "POST /pickup-book/7 HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {id}\r\nX-Timeout-Ms: 3000\r\n\
         Content-Length: 65536\r\n{fields}\r\n"
    );
    [head.as_bytes(), &vec![b'x'; 60_000 + lot as usize % 5000]].concat()
}

/// Each sends half a request and stays until it gets an error or a close.
fn bad_clients(to: SocketAddr, record: &Record) {
    let until = now() + TROUBLE;
    let (mut lot, mut came, mut longest) = (0x5eed_0054_5eed_0054_u64, 0, 0);
    let mut open: Vec<(TcpStream, Vec<u8>, usize, Duration)> = Vec::new();
    while now() < until {
        while open.len() < BAD_CLIENTS {
            let Ok(mut stream) = TcpStream::connect_timeout(&to, ms(200)) else { break };
            came += 1;
            for shift in [13, -7, 17] {
                lot ^= if shift > 0 { lot << shift } else { lot >> -shift };
            }
            let text = half_request(came, lot);
            let _ = stream.set_nonblocking(true);
            let sent = stream.write(&text).unwrap_or(0);
            open.push((stream, text, sent, now()));
        }
        open.retain_mut(|(stream, text, sent, began)| {
            if *sent < text.len() {
                *sent += stream.write(&text[*sent..]).unwrap_or(0);
            }
            longest = longest.max((now() - *began).as_millis());
            matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
        });
        std::thread::sleep(ms(2));
    }
    record.say(&format!("{came} bad clients came, {BAD_CLIENTS} at a time; the longest stayed {longest} ms"));
}
