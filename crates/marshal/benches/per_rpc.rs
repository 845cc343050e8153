//! Benchmark of the core with the policy: accepting, sending and answering one RPC. `cargo bench -p
//! ivydrift-marshal`.

use std::time::Duration;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use ivydrift_marshal::{Call, Command, Core, Input, Observation};
use ivydrift_wire::controller::{RolloutState, RolloutUpdate, Stage};
use ivydrift_wire::list::{ListedNode, State};
use ivydrift_wire::orca::Metrics;

fn core(nodes: u16) -> Core {
    let config = ivydrift_terms::parse("example.hcl", ivydrift_terms::EXAMPLE).expect("valid example config");
    let mut core = Core::new(config, 0);
    let node = |i| ListedNode {
        host: "127.0.0.1".into(),
        port: 10_000 + i,
        state: State::Ready,
        build: 1,
        zone: "site-a".into(),
        cell: 0,
        kind: "full-1c".into(),
        power: 1.0,
        started_ms: None,
    };
    let now = Duration::from_secs(86_400);
    core.handle(now, Input::NodeList(&(0..nodes).map(node).collect::<Vec<_>>()));
    let stage = Stage { build: 1, stage: 2, course: RolloutState::Released, cap: 1.0, age_ms: 90_000 };
    core.handle(
        now,
        Input::RolloutUpdate(&RolloutUpdate { index: 1, stage: Some(stage), sums: vec![], disputed: vec![] }),
    );
    core
}

fn per_rpc(c: &mut Criterion) {
    let mut group = c.benchmark_group("core and module");
    for nodes in [14, 60, 300] {
        group.bench_with_input(BenchmarkId::from_parameter(nodes), &nodes, |b, &nodes| {
            let (mut core, mut now, mut id) = (core(nodes), Duration::from_secs(86_400), 0);
            let observation = Observation::Answer { status: 200, never_ran: false, load: Metrics::default() };
            b.iter(|| {
                // 5000 RPCs a second, each answered after 2 ms; the core is ticked when due.
                now += Duration::from_micros(200);
                if core.next_tick() <= now {
                    core.handle(now, Input::Tick);
                }
                id += 1;
                let (method, time_left) = ("calendar-read", Some(Duration::from_secs(1)));
                let call = Call {
                    method,
                    tenant: None,
                    key: None,
                    has_idempotency_key: false,
                    time_left,
                    is_retry: false,
                };
                for command in core.handle(now, Input::Rpc { id, call }) {
                    if let Command::Pick { id, pick, .. } = command {
                        core.handle(
                            now + Duration::from_millis(2),
                            Input::PickEnded { id, pick, observation },
                        );
                    }
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, per_rpc);
criterion_main!(benches);
