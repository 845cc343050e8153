//! Case: new configurations in quick succession while discovery is slow.
//!
//! Each new configuration moves discovery to another address, where a call waits for its turn. The watch at
//! the first address still stands, and a change is written to the marshal there.

use std::sync::atomic::Ordering;
use std::time::Duration;

use review_standin::client::Clients;
use review_standin::desk::Desk;
use review_standin::discovery::Discovery;
use review_standin::marshal::{free_addr, settings, Marshal, Setup};
use review_standin::node::{Attempts, Mode, Node, Work};
use review_standin::{record, trouble, wait, wait_for};

/// The grace for drains, in milliseconds; every time limit is 50 ms longer on sockets.
const GRACE: f64 = 1000.0;
const SLACK: f64 = 50.0;
/// How many new configurations come, how far apart, and how long a call waits for its turn meanwhile.
const CONFIGURATIONS: usize = 5;
const APART_MS: u64 = 500;
const QUEUE_MS: u64 = 1200;

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

fn run() -> i32 {
    let attempts = Attempts::default();
    let nodes: Vec<Node> = (0..14)
        .map(|i| Node::start(&format!("s-{i}"), Work::Fixed(Duration::from_millis(90)), &attempts))
        .collect();
    let discovery = Discovery::default();
    for node in &nodes {
        discovery.set(&node.name, node.addr, "active", 41);
    }
    let doors: Vec<_> = (0..=CONFIGURATIONS).map(|n| discovery.open(&format!("place {n}"))).collect();
    let desk = Desk::start(41);
    let mut setup = Setup {
        name: "A".to_owned(),
        listen: free_addr(),
        discovery: doors[0].addr,
        desk: desk.addr,
        news: desk.state.lock().unwrap().json(),
        known: discovery.whole(),
        settings: settings(0, 2),
        seed: 0x5eed_0001,
    };
    let mut marshal = Marshal::start(&setup);
    if !marshal.ready(10_000) {
        return unable("the marshal was not ready within 10 s");
    }
    let clients = Clients::start(marshal.listen, "A", 24, Duration::from_millis(320));
    wait(5000);
    let drained = &nodes[3];
    let drain = || {
        wait(100);
        let change = discovery.set(&drained.name, drained.addr, "leaving", 41);
        drained.set(Mode::Drains);
        change
    };
    let (revision, _) = if trouble() {
        doors.iter().for_each(|door| door.queue_ms.store(QUEUE_MS, Ordering::SeqCst));
        record::line(&format!("discovery is slow: a call waits {QUEUE_MS} ms for its turn"));
        let mut change = None;
        for n in 1..=CONFIGURATIONS {
            setup.discovery = doors[n].addr;
            setup.known = discovery.whole();
            Marshal::write_config(&setup);
            record::line(&format!("new configuration: discovery is at place {n}"));
            marshal.signal("HUP");
            discovery.retire(&doors[n - 1]);
            let change = *change.get_or_insert_with(drain);
            record::line(&format!("configuration {n} of {CONFIGURATIONS} is out; change at {:.0}", change.1));
            wait(if n == 1 { APART_MS - 100 } else { APART_MS });
        }
        change.expect("a change")
    } else {
        drain()
    };
    wait(8000);
    let counts = clients.stop().text();
    let crashed = marshal.ended();
    marshal.signal("TERM");
    wait_for(4500, || marshal.ended());
    let Some(told) = doors.iter().filter_map(|door| door.told_at(revision)).min_by(f64::total_cmp) else {
        return unable("the change was never written to the marshal");
    };
    let bound = told + GRACE + SLACK;
    let late: Vec<f64> = attempts
        .lock()
        .unwrap()
        .iter()
        .filter(|t| t.node == drained.name && t.first > bound)
        .map(|t| t.first)
        .collect();
    let text = format!(
        "first written to the marshal at {told:.0}, nothing new may begin after {bound:.0}; begun later: {}{}; clients: \
         {counts}",
        late.len(),
        late.last().map_or(String::new(), |last| format!(" (the last {:.0} ms after the bound)", last - bound))
    );
    record::line(&text);
    println!("{text}");
    let broken = crashed || !late.is_empty();
    record::line(if broken { "the rule was broken" } else { "the rule held" });
    i32::from(broken)
}
