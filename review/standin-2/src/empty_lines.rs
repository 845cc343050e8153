//! Bad clients, one at a time, send a head that never ends, of empty lines, at full speed. Usual clients have to get their answers.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::common::*;
use crate::traffic::*;
use crate::Deployment;

pub fn run(case: &Path, trouble: bool) -> Option<bool> {
    let deployment = Deployment::start(case, SOUND, (192, 1024))?;
    let record = deployment.record.clone();
    let from = now();
    let clients = run_clients(&deployment.addrs(), 16, ms(215), from + ms(16_000), &record);
    sleep_until(from + ms(4000));
    // One bad client at a time, for 10 s; where one has got its error or its close, another comes.
    let bad = trouble.then(|| {
        let (to, record) = (deployment.marshals[0].addr, record.clone());
        std::thread::spawn(move || {
            let until = from + ms(14_000);
            while now() < until {
                let (open, bytes, end) = bad_client(to, until, &record);
                record.say(&format!("a bad client sent {bytes} bytes in {open} ms, then: {end}"));
            }
        })
    });
    let calls = clients.join().ok()?;
    if let Some(bad) = bad {
        bad.join().ok()?;
    }
    let lost = sum_up(&calls, &record);
    for call in lost.iter().take(10) {
        record.say(&format!("LOST id={} sent at {} ms: {}", call.id, call.sent.as_millis(), call.why));
    }
    record.say(&format!("lost: {}", lost.len()));
    (calls.len() > 500).then_some(lost.is_empty())
}

/// Sends empty lines at full speed until it gets anything or a close, or until a time. Returns for how long, how many bytes,
/// and the end.
fn bad_client(to: SocketAddr, until: Duration, record: &Record) -> (u128, usize, &'static str) {
    let began = now();
    let Ok(mut stream) = TcpStream::connect(to) else { return (0, 0, "no connection") };
    record.note("the bad client has connected");
    let _ = stream.set_write_timeout(Some(ms(500)));
    let got = Arc::new(Mutex::new(None));
    if let Ok(mut reading) = stream.try_clone() {
        let got = got.clone();
        std::thread::spawn(move || {
            let end = match reading.read(&mut [0; 1024]) {
                Ok(0) => "it was closed",
                Ok(_) => "it got an answer",
                Err(_) => "it was reset",
            };
            got.lock().unwrap().get_or_insert((now(), end));
        });
    }
    let lines = b"\r\n".repeat(128 * 1024);
    let mut sent = 0;
    while got.lock().unwrap().is_none() && now() < until {
        match stream.write(&lines[sent % 2..]) {
            Ok(n) => sent += n,
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => break,
        }
    }
    std::thread::sleep(ms(20));
    let (at, end) = got.lock().unwrap().unwrap_or((now(), "it left without an error or a close"));
    record.line(at, &format!("the bad client: {end}"));
    ((at - began).as_millis(), sent, end)
}
