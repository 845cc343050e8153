//! Measures the cost of the client's core by number of marshals, half of them near: time per call with its
//! answer, and memory.
//!
//! `cargo run --release -p ivydrift-client --example choice`.

use std::time::{Duration, Instant};

use ivydrift_client::core::{Action, ClientConfig, Core, Event, Kind, Reply};

/// Number of calls in one timing run.
const CALLS: u64 = 20_000;
/// Number of cores created to measure the memory of one.
const CORES: usize = 400;

/// Returns the resident memory of this process in bytes.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or(0) * 4096
}

fn new_core(marshals: usize, seed: u64) -> Core {
    let near: Vec<bool> = (0..marshals).map(|m| m % 2 == 0).collect();
    Core::new(ClientConfig::default(), &near, seed)
}

/// Returns the mean seconds per call, from its start to its answer.
fn seconds_per_call(marshals: usize, seed: u64) -> f64 {
    let mut core = new_core(marshals, seed);
    let (started, mut now) = (Instant::now(), Duration::ZERO);
    for call in 0..CALLS {
        now += Duration::from_millis(100);
        let timeout = Duration::from_secs(1);
        let mut events = vec![Event::Call { call, kind: Kind::Idempotent, timeout }];
        while let Some(event) = events.pop() {
            for action in core.handle(now, event) {
                match action {
                    Action::Connect { conn, .. } => events.push(Event::Connected { conn }),
                    Action::Send { call, .. } => {
                        events.push(Event::Answered { call, reply: Reply::Ok, keep: true })
                    }
                    Action::Close { .. } | Action::Finish { .. } => {}
                }
            }
        }
    }
    assert_eq!(core.counts.sent, CALLS, "each call was sent once");
    started.elapsed().as_secs_f64() / CALLS as f64
}

fn main() {
    println!("marshals  call us, three runs  core kB");
    for marshals in [4, 48, 308, 3700] {
        let runs: Vec<String> =
            (1..=3).map(|seed| format!("{:.1}", 1e6 * seconds_per_call(marshals, seed))).collect();
        let before = resident();
        let cores: Vec<Core> = (0..CORES).map(|n| new_core(marshals, n as u64)).collect();
        let kb_per_core = (resident() - before) as f64 / CORES as f64 / 1000.0;
        println!("{marshals:8}  {:>19}  {kb_per_core:7.1}", runs.join(" "));
        drop(cores);
    }
}
