//! Discovery is crowded: each call waits for its turn in vain and is turned away. A change that it had before counts as told
//! 6 s after it had it.

use std::path::Path;

use crate::common::*;
use crate::platform::Member;
use crate::traffic::*;
use crate::Deployment;

pub fn run(case: &Path, trouble: bool) -> Option<bool> {
    let deployment = Deployment::start(case, SOUND, (192, 1024))?;
    let record = deployment.record.clone();
    let from = now();
    let clients = run_clients(&deployment.addrs(), 16, ms(215), from + ms(19_000), &record);
    sleep_until(from + ms(4000));
    let node = start_node(14, SOUND, &deployment.run, &record);
    let crowded = now();
    if trouble {
        *deployment.discovery.crowd.lock().unwrap() = Some((crowded, crowded + ms(12_000), ms(2500)));
    }
    // A node joins: all watches are answered. Their next calls find discovery crowded.
    deployment
        .discovery
        .set(vec![("s-14".into(), Member { addr: node, phase: "active", build: 41, up_since_ms: unix_ms() })]);
    std::thread::sleep(ms(500));
    let drained = now();
    let member = Member { addr: deployment.nodes[0], phase: "leaving", build: 41, up_since_ms: 0 };
    deployment.discovery.set(vec![("s-0".into(), member)]);
    let calls = clients.join().ok()?;
    sum_up(&calls, &record);
    // Told 6 s after discovery had it, 1 s of grace, 50 ms for sockets.
    let latest = drained + ms(6000 + 1000 + 50);
    let run = deployment.run.lock().unwrap().clone();
    let late: Vec<_> = run.iter().filter(|a| a.node == 0 && a.began > latest).collect();
    for attempt in late.iter().take(40) {
        let after = (attempt.began - drained).as_millis();
        record.say(&format!("BROKEN id={} began at the draining node {after} ms after discovery had the drain", attempt.id));
    }
    let before = run.iter().filter(|a| a.node == 0 && a.began <= latest).count();
    record.say(&format!("attempts at the draining node: {before} in time, {} too late", late.len()));
    (calls.len() > 300 && before > 20).then_some(late.is_empty())
}
