//! Bad clients send hundreds of requests at once on a connection and close it. No attempt may begin later.

use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::time::Duration;

use crate::common::*;
use crate::traffic::*;
use crate::Deployment;

/// 0.1 s by the rule, and 50 ms for sockets.
const LATEST: Duration = Duration::from_millis(150);

pub fn run(case: &Path, trouble: bool) -> Option<bool> {
    // Work of 72 to 120 ms with a cv up to 1.1, on cores of a speed from 0.51 to 1.1: some requests take 300 ms.
    let behaviour = Behaviour { work: |n| if n % 5 < 3 { ms(110) } else { ms(300) }, ..SOUND };
    let deployment = Deployment::start(case, behaviour, (192, 1024))?;
    let record = deployment.record.clone();
    let from = now();
    let clients = run_clients(&deployment.addrs(), 16, ms(215), from + ms(16_000), &record);
    let mut closed = HashMap::new();
    for n in 0..20u64 {
        sleep_until(from + ms(2000 + 600 * n));
        let to = deployment.marshals[n as usize % 2].addr;
        let ids: Vec<String> = (0..200).map(|i| format!("b{n}x{i}x{}", unix_ms() % 1_000_000)).collect();
        let text: String = ids.iter().map(|id| request_text("pickup-book", id, ms(3000))).collect();
        let Ok(mut stream) = TcpStream::connect(to) else { continue };
        let _ = stream.set_nodelay(true);
        stream.write_all(text.as_bytes()).ok()?;
        record.note(&format!("bad client {n} has sent {} requests, {} bytes", ids.len(), text.len()));
        // Without the trouble it stays and reads what it gets.
        if trouble {
            std::thread::sleep(ms(30));
            drop(stream);
            let at = now();
            record.note(&format!("bad client {n} has closed"));
            closed.extend(ids.into_iter().map(|id| (id, at)));
        } else {
            let record = record.clone();
            std::thread::spawn(move || {
                let mut buf = Vec::new();
                let mut answers = 0;
                let _ = stream.set_read_timeout(Some(ms(4000)));
                while answers < 20 && read_message(&mut stream, &mut buf).is_some() {
                    answers += 1;
                }
                record.note(&format!("bad client {n} got {answers} answers"));
                std::thread::sleep(ms(60_000));
            });
        }
    }
    let calls = clients.join().ok()?;
    sum_up(&calls, &record);
    std::thread::sleep(ms(1000));
    let run = deployment.run.lock().unwrap().clone();
    let late: Vec<_> = run
        .iter()
        .filter_map(|a| Some((a, a.began.checked_sub(*closed.get(&a.id)?)?)))
        .filter(|(_, after)| *after > LATEST)
        .collect();
    for (attempt, after) in late.iter().take(40) {
        record.say(&format!(
            "BROKEN id={} node={} began {} ms after its client had closed",
            attempt.id,
            attempt.node,
            after.as_millis()
        ));
    }
    record.say(&format!("attempts: {}, begun too late for clients that had gone: {}", run.len(), late.len()));
    (calls.len() > 500).then_some(late.is_empty())
}
