//! Measures the cost of configured methods and tenants, used or not. `names methods KNOWN SEEN NODES SECONDS`
//! drives a core in virtual time at 95 RPCs a second over the first SEEN methods; `names tenants COUNT` reads
//! a config with COUNT tenants.

use std::time::{Duration, Instant};

use ivydrift_marshal::{Call, Command, Core, Input, Observation};
use ivydrift_wire::controller::{RolloutState, RolloutUpdate, Stage};
use ivydrift_wire::list::{ListedNode, State};
use ivydrift_wire::orca::Metrics;

/// Resident memory of this process in MB; NaN if the system does not report it.
fn resident_mb() -> f64 {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = pages.split(' ').nth(1).and_then(|n| n.parse().ok()).unwrap_or(f64::NAN);
    pages * 4096.0 / 1e6
}

fn node(i: u16) -> ListedNode {
    ListedNode {
        host: format!("127.0.{}.1", i >> 8),
        port: 10_000 + i,
        state: State::Ready,
        build: 1,
        zone: "site-a".into(),
        cell: 0,
        kind: "full-1c".into(),
        power: 1.0,
        started_ms: None,
    }
}

fn methods(known: usize, seen: usize, nodes: u16, seconds: u64) {
    let method = |i| {
        format!("method \"m-{i}\" {{\n  repeat = \"idempotent\"\n  soft_deadline = \"800ms\"\n  deadline = \"3s\"\n}}\n")
    };
    let text: String =
        [ivydrift_terms::EXAMPLE.to_owned()].into_iter().chain((3..known).map(method)).collect();
    let at_start = resident_mb();
    let config = ivydrift_terms::parse("known.hcl", &text).expect("valid config");
    let after_read = resident_mb();
    let mut core = Core::new(config, 0);
    let mut now = Duration::from_secs(86_400);
    core.handle(now, Input::NodeList(&(0..nodes).map(node).collect::<Vec<_>>()));
    let stage = Stage { build: 1, stage: 2, course: RolloutState::Released, cap: 1.0, age_ms: 90_000 };
    core.handle(
        now,
        Input::RolloutUpdate(&RolloutUpdate { index: 1, stage: Some(stage), sums: vec![], disputed: vec![] }),
    );
    let after_start = resident_mb();
    let observation = Observation::Answer { status: 200, never_ran: false, load: Metrics::default() };
    let (mut ticks, mut rpcs, mut random, mut id) = (Duration::ZERO, Duration::ZERO, 1u64, 0);
    let end = now + Duration::from_secs(seconds);
    let half = now + Duration::from_secs(seconds / 2);
    while now < end {
        now += Duration::from_micros(1_000_000 / 95);
        if now < half {
            (ticks, rpcs, id) = (Duration::ZERO, Duration::ZERO, id & !0xffff_ffff | id);
            // The first half is warm-up.
        }
        while core.next_tick() <= now {
            let started_at = Instant::now();
            core.handle(core.next_tick().max(Duration::from_secs(86_400)), Input::Tick);
            ticks += started_at.elapsed();
        }
        id += 1;
        random = random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let name = match (random >> 33) as usize % seen {
            0 => "calendar-read".to_owned(),
            1 => "calendar-save".to_owned(),
            2 => "pickup-book".to_owned(),
            i => format!("m-{i}"),
        };
        let started_at = Instant::now();
        let call = Call {
            method: &name,
            tenant: None,
            key: None,
            has_idempotency_key: true,
            time_left: None,
            is_retry: false,
        };
        for command in core.handle(now, Input::Rpc { id, call }) {
            if let Command::Pick { id, pick, .. } = command {
                core.handle(now + Duration::from_millis(2), Input::PickEnded { id, pick, observation });
            }
        }
        rpcs += started_at.elapsed();
    }
    let measured = (seconds - seconds / 2) as f64;
    println!(
        "known {known} seen {seen} nodes {nodes}: ticks {:.2}% of a core, RPC {:.1} us, MB empty {at_start:.1} read {after_read:.1} \
         begun {after_start:.1} end {:.1}; ok {} of {id}",
        100.0 * ticks.as_secs_f64() / measured,
        1e6 * rpcs.as_secs_f64() / (95.0 * measured),
        resident_mb(),
        core.counts().ok,
    );
}

fn tenants(count: usize) {
    let tenant = |i| format!("tenant \"tenant-{i}\" {{\n  quota = 10\n  share = 0.1\n}}\n");
    let text: String =
        [ivydrift_terms::EXAMPLE.to_owned()].into_iter().chain((0..count).map(tenant)).collect();
    let (at_start, started_at) = (resident_mb(), Instant::now());
    let config = ivydrift_terms::parse("known.hcl", &text).expect("valid config");
    let (took, after_read) = (started_at.elapsed(), resident_mb());
    let mut core = Core::new(config, 0);
    let after_start = resident_mb();
    let (now, started_at) = (Duration::from_secs(86_400), Instant::now());
    for id in 0..1000 {
        let name = format!("tenant-{}", id as usize * 149 % count);
        let call = Call {
            method: "calendar-read",
            tenant: Some(&name),
            key: None,
            has_idempotency_key: false,
            time_left: None,
            is_retry: false,
        };
        core.handle(now, Input::Rpc { id, call });
    }
    let per_rpc_us = started_at.elapsed().as_secs_f64() * 1e6 / 1000.0;
    println!(
        "tenants {count}: read in {:.2} s, MB empty {at_start:.1} read {after_read:.1} begun {after_start:.1}; RPC {per_rpc_us:.1} us",
        took.as_secs_f64()
    );
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |i: usize| args.get(i).and_then(|w| w.parse::<u64>().ok()).unwrap_or(100).max(4);
    match args.first().map(String::as_str) {
        Some("methods") => methods(number(1) as usize, number(2) as usize, number(3) as u16, number(4)),
        Some("tenants") => tenants(number(1) as usize),
        _ => eprintln!("usage: names methods KNOWN SEEN NODES SECONDS | names tenants COUNT"),
    }
}
