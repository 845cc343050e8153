//! Measures the cost of a node list for one of 3,700 marshals (core and policy) by list size, with the whole
//! list and with a subset, at 95 RPCs a second. `cargo run --release -p ivydrift-marshal --example node_list`

use std::time::{Duration, Instant};

use ivydrift_marshal::{Call, Command, Core, Input, Observation};
use ivydrift_wire::controller::{RolloutState, RolloutUpdate, Stage};
use ivydrift_wire::list::{self, ListedNode, State};
use ivydrift_wire::orca::Metrics;

fn node(i: usize) -> ListedNode {
    ListedNode {
        host: format!("10.{}.{}.{}", i >> 16, i >> 8 & 255, i & 255),
        port: 8000,
        state: State::Ready,
        build: 1,
        zone: "site-a".into(),
        cell: 0,
        kind: "full-1c".into(),
        power: 1.0,
        started_ms: None,
    }
}

fn median(mut spans: Vec<Duration>) -> f64 {
    spans.sort();
    spans[spans.len() / 2].as_secs_f64() * 1e6
}

fn main() {
    println!("| nodes | taken | held | RPC us, mean | p50 | ticks, % of a core | a change of the list, ms | first list, ms |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (name, setting) in [("whole", "\nsubset = false\n"), ("in part", "")] {
        for count in [300, 3000, 44_000] {
            let text = ivydrift_terms::EXAMPLE.replace("number = 0\n  of = 1", "number = 17\n  of = 3700");
            let config = ivydrift_terms::parse("known.hcl", &(text + setting)).expect("valid example config");
            let mut core = Core::new(config, 0);
            let mut now = Duration::from_secs(86_400);
            let stage =
                Stage { build: 1, stage: 2, course: RolloutState::Released, cap: 1.0, age_ms: 90_000 };
            let rollout_update =
                RolloutUpdate { index: 1, stage: Some(stage), sums: vec![], disputed: vec![] };
            core.handle(now, Input::RolloutUpdate(&rollout_update));
            let mut listed: Vec<ListedNode> = (0..count).map(node).collect();
            let timer_start = Instant::now();
            core.handle(now, Input::NodeList(&listed));
            let first_list_ms = timer_start.elapsed().as_secs_f64() * 1e3;
            let observation = Observation::Answer { status: 200, never_ran: false, load: Metrics::default() };
            let (mut rpc_times, mut tick_time) = (Vec::new(), Duration::ZERO);
            let start = now;
            let mut next = 0u32;
            while next < 1900 {
                let at = start + Duration::from_secs(1) * next / 95;
                while core.next_tick() <= at {
                    now = core.next_tick().max(now);
                    let timer_start = Instant::now();
                    core.handle(now, Input::Tick);
                    tick_time += timer_start.elapsed();
                }
                now = at;
                let (id, time_left) = (next.into(), Some(Duration::from_secs(1)));
                let call = Call {
                    method: "calendar-read",
                    tenant: None,
                    key: None,
                    has_idempotency_key: false,
                    time_left,
                    is_retry: false,
                };
                let timer_start = Instant::now();
                for command in core.handle(now, Input::Rpc { id, call }) {
                    if let Command::Pick { id, pick, .. } = command {
                        core.handle(now, Input::PickEnded { id, pick, observation });
                    }
                }
                rpc_times.push(timer_start.elapsed());
                next += 1;
            }
            // Three nodes are replaced by new ones, twenty times.
            let mut change_times = Vec::new();
            for round in 0..20 {
                (0..3).for_each(|i| listed[(round * 7 + i * 13) % count] = node(count + round * 3 + i));
                now += Duration::from_millis(20);
                let timer_start = Instant::now();
                core.handle(now, Input::NodeList(&listed));
                change_times.push(timer_start.elapsed());
            }
            let mean = rpc_times.iter().sum::<Duration>().as_secs_f64() / rpc_times.len() as f64 * 1e6;
            println!(
                "| {count} | {name} | {} | {mean:.1} | {:.1} | {:.2} | {:.2} | {first_list_ms:.1} |",
                core.known_nodes().len(),
                median(rpc_times),
                tick_time.as_secs_f64() / (now - start).as_secs_f64() * 100.0,
                median(change_times) / 1e3,
            );
        }
    }
    println!("| nodes | list on the wire, bytes | read, ms |");
    println!("| --- | --- | --- |");
    for count in [300, 3000, 14_000, 44_000] {
        let bytes = list::write(&(0..count).map(node).collect::<Vec<_>>());
        let timer_start = Instant::now();
        let read = list::read(&bytes).map(|_| format!("{:.1}", timer_start.elapsed().as_secs_f64() * 1e3));
        println!("| {count} | {} | {} |", bytes.len(), read.unwrap_or_else(|why| format!("refused: {why}")));
    }
}
