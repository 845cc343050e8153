//! Case: a marshal is killed, a node begins to drain, and discovery is down when the marshal starts again.
//!
//! The marshal starts with the list that it last had, which still names the node as active. Discovery had the
//! change for more than 6 s while it could be reached, so it counts as told.

use std::time::Duration;

use review_standin::client::Clients;
use review_standin::desk::Desk;
use review_standin::discovery::Discovery;
use review_standin::marshal::{free_addr, settings, Marshal, Setup};
use review_standin::node::{Attempts, Mode, Node, Work};
use review_standin::{record, trouble, wait, wait_for};

/// The bounds of the pages, in milliseconds: a change counts as told this long after discovery had it; the
/// grace for drains; every time limit is 50 ms longer on sockets.
const TOLD_AFTER: f64 = 6000.0;
const GRACE: f64 = 1000.0;
const SLACK: f64 = 50.0;
/// How long discovery can be reached after the change, and how long it is down then.
const REACHABLE_MS: u64 = 7000;
const DOWN_MS: u64 = 7900;

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
    let door = discovery.open("A");
    let desk = Desk::start(41);
    let mut setup = Setup {
        name: "A".to_owned(),
        listen: free_addr(),
        discovery: door.addr,
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
    let before = Clients::start(marshal.listen, "before", 12, Duration::from_millis(320));
    wait(4000);
    let before = before.stop().text();
    // The file of the next start has the list as the marshal last had it.
    (setup.known, setup.seed) = (discovery.whole(), 0x5eed_0002);
    marshal.kill();
    let drained = &nodes[3];
    let (_, changed) = discovery.set(&drained.name, drained.addr, "leaving", 41);
    drained.set(Mode::Drains);
    wait(REACHABLE_MS);
    if trouble() {
        discovery.go_down();
    }
    let started = record::now();
    setup.news = desk.state.lock().unwrap().json();
    let mut marshal = Marshal::start(&setup);
    let ready = marshal.ready(DOWN_MS);
    let clients = Clients::start(marshal.listen, "after", 12, Duration::from_millis(320));
    wait((started + DOWN_MS as f64 - record::now()).max(0.0) as u64);
    if trouble() {
        discovery.come_back();
    }
    wait(6000);
    let after = clients.stop().text();
    if marshal.ended() {
        return unable("the marshal ended by itself");
    }
    marshal.signal("TERM");
    wait_for(4500, || marshal.ended());
    if !ready && !trouble() {
        return unable("the marshal was not ready again");
    }
    let counts_as_told = changed + TOLD_AFTER + SLACK;
    let bound = counts_as_told + GRACE + SLACK;
    let late: Vec<f64> = attempts
        .lock()
        .unwrap()
        .iter()
        .filter(|t| t.node == drained.name && t.first > bound)
        .map(|t| t.first)
        .collect();
    let text = format!(
        "change at {changed:.0}, counts as told at {counts_as_told:.0}, started again at {started:.0}, nothing new may \
         begin after {bound:.0}; begun later: {}{}; clients before: {before}; clients after: {after}",
        late.len(),
        late.last().map_or(String::new(), |last| format!(" (the last {:.0} ms after the bound)", last - bound))
    );
    record::line(&text);
    println!("{text}");
    let broken = !late.is_empty();
    record::line(if broken { "the rule was broken" } else { "the rule held" });
    i32::from(broken)
}
