//! Hundreds of bad clients stop in the middle of a request and stay. The marshal has to keep to the memory that its
//! configuration tells; over it the platform kills it, and it has crashed.

use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::path::Path;

use crate::common::*;
use crate::traffic::*;
use crate::Deployment;

/// `limits.memory_mb` and `limits.sockets`, of 32 to 192 MB and 256 to 1,024 descriptors.
const LIMITS: (u64, u64) = (48, 768);
const BAD_CLIENTS: usize = 600;

pub fn run(case: &Path, trouble: bool) -> Option<bool> {
    let deployment = Deployment::start(case, SOUND, LIMITS)?;
    let record = deployment.record.clone();
    let from = now();
    let clients = run_clients(&deployment.addrs(), 16, ms(215), from + ms(14_000), &record);
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
    while now() < from + ms(14_000) && !killed {
        let used = anonymous_kib(pid)?;
        if used > most {
            most = used;
            record.note(&format!("the marshal's memory: {most} KiB"));
        }
        if most > LIMITS.0 * 1024 {
            record.say(&format!("BROKEN memory of {most} KiB is over the limit of {} MB: the marshal is killed", LIMITS.0));
            killed = std::process::Command::new("/bin/kill").args(["-KILL", &pid.to_string()]).status().is_ok();
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

/// Each sends all but the last bytes of a request with a body of 64 KiB, and stays until it gets an error or a close.
fn bad_clients(to: std::net::SocketAddr, record: &Record) {
    let body = vec![b'x'; 65_000];
    let mut open = Vec::new();
    for n in 0..BAD_CLIENTS {
        let Ok(mut stream) = TcpStream::connect(to) else { continue };
        let id = format!("m{n}x{}", unix_ms() % 1_000_000);
        let head = format!(
            "POST /pickup-book/7 HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {id}\r\nX-Timeout-Ms: 3000\r\n\
             Content-Length: 65536\r\n\r\n"
        );
        let _ = stream.set_nonblocking(true);
        let text = [head.as_bytes(), &body].concat();
        let sent = stream.write(&text).unwrap_or(0);
        open.push((stream, text, sent, now()));
    }
    record.note(&format!("{} bad clients have connected", open.len()));
    let until = now() + ms(6000);
    let (mut ended, mut longest) = (0, 0);
    while now() < until && !open.is_empty() {
        open.retain_mut(|(stream, text, sent, began)| {
            if *sent < text.len() {
                *sent += stream.write(&text[*sent..]).unwrap_or(0);
            }
            let waits = matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
            if !waits {
                ended += 1;
                longest = longest.max((now() - *began).as_millis());
            }
            waits
        });
        std::thread::sleep(ms(5));
    }
    record.say(&format!(
        "{ended} bad clients got an error or a close, after {longest} ms at most; {} got neither",
        open.len()
    ));
}
