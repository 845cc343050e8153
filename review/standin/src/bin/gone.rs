//! Case: clients whose stated length is wrong leave early.
//!
//! Beside the usual clients, 500 come one after the other, each on a connection of its own. Such a client sends
//! one request that states a body of no bytes and sends 16 KiB with it, and closes 100 ms later. No attempt for
//! it may begin later than 100 ms after its close. Without the disruption the same clients come and leave in
//! the same way, and send nothing but their request.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use review_standin::client::{request, Clients};
use review_standin::desk::Desk;
use review_standin::discovery::Discovery;
use review_standin::marshal::{free_addr, settings, Marshal, Setup};
use review_standin::node::{Attempts, Node, Work};
use review_standin::{record, trouble, wait, wait_for};

/// How long after a client's close an attempt for it may begin, in milliseconds; every time limit is 50 ms
/// longer on sockets.
const AFTER_CLOSE: f64 = 100.0;
const SLACK: f64 = 50.0;
/// How many such clients come, how far apart, how long each stays, and what it sends beyond its length.
const COME: usize = 500;
const APART_MS: u64 = 40;
const STAYS_MS: u64 = 100;
const BEYOND: usize = 16 * 1024;
/// The mean work: 72 to 120 ms at the site.
const WORK: Duration = Duration::from_millis(120);

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

/// Sends one request and leaves. Returns the time just after the close.
fn send_and_leave(to: SocketAddr, client: usize) -> Option<f64> {
    let mut text = request(&format!("bad-{client}"), 0);
    if trouble() {
        text = text.replace("\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n");
        text.push_str(&"x".repeat(BEYOND));
    }
    let mut stream = TcpStream::connect(to).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    record::line(&format!("client sends bad-{client}, {} bytes", text.len()));
    wait(STAYS_MS);
    drop(stream);
    let at = record::now();
    record::line_at(at, &format!("client of bad-{client} closed"));
    Some(at)
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
    let threads: Vec<_> = (0..COME)
        .map(|client| {
            let to = marshal.listen;
            wait(APART_MS);
            std::thread::spawn(move || (client, send_and_leave(to, client)))
        })
        .collect();
    let mut closed: HashMap<String, f64> = HashMap::new();
    for (client, at) in threads.into_iter().filter_map(|thread| thread.join().ok()) {
        closed.extend(at.map(|at| (format!("bad-{client}"), at)));
    }
    wait(4000);
    let counts = clients.stop().text();
    if marshal.ended() {
        return unable("the marshal ended by itself");
    }
    marshal.signal("TERM");
    wait_for(4500, || marshal.ended());
    if closed.len() < COME / 2 {
        return unable("too few of the clients could send");
    }
    let mut late = Vec::new();
    for attempt in attempts.lock().unwrap().iter() {
        if let Some(at) = closed.get(&attempt.id) {
            let after = attempt.first - at;
            if after > AFTER_CLOSE + SLACK {
                record::line(&format!(
                    "attempt for {} began {after:.0} ms after its client's close",
                    attempt.id
                ));
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
    record::line(if late.is_empty() { "the rule held" } else { "the rule was broken" });
    i32::from(!late.is_empty())
}
