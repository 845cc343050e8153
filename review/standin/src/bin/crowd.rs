//! Case: discovery has too many callers for 8 s, and nodes drain meanwhile.
//!
//! Two marshals watch discovery. While it is crowded the calls of marshal A wait for 2 s in the queue and are
//! turned away with 503; the watch of marshal B stands. As the crowd begins four of fourteen nodes begin to
//! drain. B is told at once. A is not, but the change counts as told to A 6 s after discovery had it.
//!
//! With the argument `outage` discovery is down for 8 s before that and ends the watches with 503, and the
//! nodes begin to drain when it is back.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

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
/// How long discovery is crowded; a call that waits at the end of it is answered then.
const CROWD: Duration = Duration::from_millis(8000);
/// A watch without changes is answered this long after its call, by the hold time that the marshal asks for.
const HOLD_MS: u64 = 3000;

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
    let (door_a, door_b) = (discovery.open("A"), discovery.open("B"));
    let desk = Desk::start(41);
    let start = |slot: usize, name: &str, door: &review_standin::discovery::Door| {
        Marshal::start(&Setup {
            name: name.to_owned(),
            listen: free_addr(),
            discovery: door.addr,
            desk: desk.addr,
            news: desk.state.lock().unwrap().json(),
            known: discovery.whole(),
            settings: settings(slot, 2),
            seed: 0x5eed_0001 + slot as u64,
        })
    };
    let (mut a, mut b) = (start(0, "A", &door_a), start(1, "B", &door_b));
    if !a.ready(10_000) || !b.ready(10_000) {
        return unable("a marshal was not ready within 10 s");
    }
    let clients = ["A", "B"].map(|name| {
        let to = if name == "A" { a.listen } else { b.listen };
        Clients::start(to, name, 24, Duration::from_millis(320))
    });
    wait(5000);
    let outage = std::env::args().any(|argument| argument == "outage");
    if trouble() && outage {
        for door in [&door_a, &door_b] {
            door.says_so.store(true, Ordering::SeqCst);
        }
        discovery.go_down();
        wait(7900);
    } else {
        // Just before the watch of A is answered and its next call comes.
        let answers = || door_a.told.lock().unwrap().len();
        let before = answers();
        if !wait_for(2 * HOLD_MS, || answers() > before) {
            return unable("the watch of A was not answered");
        }
        wait(HOLD_MS - 150);
    }
    let crowd_began = Instant::now();
    if trouble() {
        door_a.crowded.store(true, Ordering::SeqCst);
        record::line("discovery has too many callers: the calls of A wait for 2 s and are turned away");
        if outage {
            discovery.come_back();
        } else if !wait_for(1000, || door_a.queued.load(Ordering::SeqCst) > 0) {
            return unable("no call of A came into the crowd");
        }
    }
    let drained = &nodes[3..7];
    let mut change = (0, 0.0);
    for node in drained {
        change = discovery.set(&node.name, node.addr, "leaving", 41);
        node.set(Mode::Drains);
    }
    let (revision, changed) = change;
    std::thread::sleep((crowd_began + CROWD).saturating_duration_since(Instant::now()));
    if trouble() {
        record::line("discovery has room again");
    }
    door_a.crowded.store(false, Ordering::SeqCst);
    wait_for(12_000, || door_a.told_at(revision).is_some());
    wait(2000);
    let counts = clients.map(|clients| clients.stop().text());
    if a.ended() || b.ended() {
        return unable("a marshal ended by itself");
    }
    if trouble() && door_a.turned_away.load(Ordering::SeqCst) == 0 {
        return unable("no call of A was turned away");
    }
    [&a, &b].iter().for_each(|m| m.signal("TERM"));
    wait_for(4500, || a.ended() && b.ended());
    let told = [door_a.told_at(revision), door_b.told_at(revision)];
    let [Some(told_a), Some(told_b)] = told else { return unable("a marshal was never told of the change") };
    if attempts.lock().unwrap().len() < 500 {
        return unable("too few requests came to the nodes");
    }
    let mut broken = 0;
    for (name, told, counts) in [("A", told_a, &counts[0]), ("B", told_b, &counts[1])] {
        let counts_as_told = told.min(changed + TOLD_AFTER + SLACK);
        let bound = counts_as_told + GRACE + SLACK;
        let late: Vec<f64> = attempts
            .lock()
            .unwrap()
            .iter()
            .filter(|t| {
                drained.iter().any(|node| node.name == t.node) && t.id.starts_with(name) && t.first > bound
            })
            .map(|t| t.first)
            .collect();
        let text = format!(
            "marshal {name}: change at {changed:.0}, written to it at {told:.0}, counts as told at {counts_as_told:.0}, \
             nothing new may begin after {bound:.0}; begun later: {}{}; clients: {counts}",
            late.len(),
            late.last().map_or(String::new(), |last| format!(" (the last {:.0} ms after the bound)", last - bound))
        );
        record::line(&text);
        println!("{text}");
        broken += late.len();
    }
    record::line(if broken > 0 { "the rule was broken" } else { "the rule held" });
    i32::from(broken > 0)
}
