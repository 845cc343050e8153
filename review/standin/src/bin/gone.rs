//! Case: clients that send many requests at once and leave.
//!
//! Beside the usual clients, some send 200 bookings at once on one connection, read what comes, and close the
//! connection 400 ms later. No attempt for such a client may begin later than 100 ms after its close.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use review_standin::client::{request, Clients};
use review_standin::desk::Desk;
use review_standin::discovery::Discovery;
use review_standin::http::Conn;
use review_standin::marshal::{free_addr, settings, Marshal, Setup};
use review_standin::node::{Attempts, Node, Work};
use review_standin::{record, trouble, wait, wait_for};

/// How long after a client's close an attempt for it may begin, in milliseconds; every time limit is 50 ms
/// longer on sockets.
const AFTER_CLOSE: f64 = 100.0;
const SLACK: f64 = 50.0;
/// Requests that such a client sends at once, how long it stays, and how many of these clients come.
const AT_ONCE: usize = 200;
const STAYS: Duration = Duration::from_millis(400);
const COME: usize = 20;
/// The mean work: 72 to 120 ms at the site, on machines of speed 0.51 to 1.1.
const WORK: Duration = Duration::from_millis(150);

fn main() {
    record::open("record.txt");
    let code = run();
    record::flush();
    std::process::exit(code);
}

fn unable(why: &str) -> i32 {
    record::line(&format!("the case could not run: {why}"));
    println!("the case could not run: {why}");
    2
}

/// Sends the requests and reads answers, then closes. Returns the time just after the close, or `None` where
/// the marshal closed first.
fn send_and_leave(to: SocketAddr, client: usize) -> Option<f64> {
    let text: String = (0..AT_ONCE).map(|n| request(&format!("bad{client}-{n}"), 2)).collect();
    let mut conn = Conn::new(TcpStream::connect(to).ok()?);
    conn.stream.write_all(text.as_bytes()).ok()?;
    record::line(&format!("client bad{client} sent {AT_ONCE} bookings at once, {} bytes", text.len()));
    // Without the disruption the client stays until everything is answered, or its time is up.
    let until = Instant::now() + if trouble() { STAYS } else { Duration::from_secs(80) };
    let mut answers = 0;
    let left = loop {
        match conn.read(Some(until)) {
            Ok(Some(answer)) => {
                record::line(&format!("client bad{client} got {}", answer.status()));
                answers += 1;
                if answers == AT_ONCE {
                    break true;
                }
            }
            Ok(None) => break false,
            Err(e) => break e.kind() == std::io::ErrorKind::TimedOut,
        }
    };
    drop(conn);
    let at = record::now();
    record::line_at(at, &format!("client bad{client} closed after {answers} answers"));
    left.then_some(at)
}

fn run() -> i32 {
    let attempts = Attempts::default();
    let nodes: Vec<Node> =
        (0..14).map(|i| Node::start(&format!("s-{i}"), Work::Exponential(WORK), &attempts)).collect();
    let discovery = Discovery::default();
    for node in &nodes {
        discovery.set(&node.name, node.addr, "active", 41);
    }
    let door = discovery.open("A");
    let desk = Desk::start(41);
    let mut marshal = Marshal::start(&Setup {
        name: "A".to_owned(),
        listen: free_addr(),
        discovery: door.addr,
        desk: desk.addr,
        news: desk.state.lock().unwrap().json(),
        known: discovery.whole(),
        settings: settings(0, 2),
        seed: 0x5eed_0001,
    });
    if !marshal.ready(10_000) {
        return unable("the marshal was not ready within 10 s");
    }
    let clients = Clients::start(marshal.listen, "good", 12, Duration::from_millis(320));
    wait(2000);
    let mut closed: HashMap<String, f64> = HashMap::new();
    let threads: Vec<_> = (0..COME)
        .map(|client| {
            let to = marshal.listen;
            std::thread::spawn(move || {
                wait(client as u64 * 137);
                (client, send_and_leave(to, client))
            })
        })
        .collect();
    for (client, at) in threads.into_iter().filter_map(|thread| thread.join().ok()) {
        closed.extend(at.map(|at| (format!("bad{client}"), at)));
    }
    wait(4000);
    let counts = clients.stop().text();
    let crashed = marshal.ended();
    marshal.signal("TERM");
    wait_for(4500, || marshal.ended());
    if closed.is_empty() && trouble() {
        return unable("no client left");
    }
    let mut late = Vec::new();
    for attempt in attempts.lock().unwrap().iter() {
        let client = attempt.id.split('-').next().unwrap_or("");
        if let Some(at) = closed.get(client) {
            let after = attempt.first - at;
            if after > AFTER_CLOSE + SLACK {
                record::line(&format!("attempt {} began {after:.0} ms after its client's close", attempt.id));
                late.push(after);
            }
        }
    }
    let longest = late.iter().fold(0.0_f64, |a, b| a.max(*b));
    let text = format!(
        "{} clients left; attempts that began later than {:.0} ms after the close: {} (the latest {longest:.0} ms); usual \
         clients: {counts}",
        closed.len(),
        AFTER_CLOSE + SLACK,
        late.len()
    );
    record::line(&text);
    println!("{text}");
    let broken = crashed || !late.is_empty();
    record::line(if broken { "the rule was broken" } else { "the rule held" });
    i32::from(broken)
}
