//! Method and tenant names of the config cost little memory, and names invented by clients cost none.

mod common;

use std::time::Duration;

use common::node;
use ivydrift_marshal::{Call, Command, Core, Counts, Input, Observation};
use ivydrift_wire::controller::{RolloutState, RolloutUpdate, Stage};
use ivydrift_wire::orca::Metrics;

const OK: Observation = Observation::Answer {
    status: 200,
    never_ran: false,
    load: Metrics {
        cpu_utilization: None,
        rps: None,
        eps: None,
        queue: None,
        in_flight: None,
        latency_ms: None,
    },
};

/// The example config with the methods `m-N` for the given numbers added.
fn config_text(methods: std::ops::Range<usize>) -> String {
    let block = |i| {
        format!("method \"m-{i}\" {{\n  repeat = \"idempotent\"\n  soft_deadline = \"800ms\"\n  deadline = \"3s\"\n}}\n")
    };
    [ivydrift_terms::EXAMPLE.to_owned()].into_iter().chain(methods.map(block)).collect()
}

struct Harness {
    core: Core,
    now: Duration,
    id: u64,
}

impl Harness {
    fn new(config_text: &str) -> Harness {
        let core = Core::new(ivydrift_terms::parse("known.hcl", config_text).unwrap(), 0);
        let mut harness = Harness { core, now: Duration::from_secs(86_400), id: 0 };
        harness.core.handle(
            harness.now,
            Input::NodeList(&(9000..9006).map(|port| node(port, 1)).collect::<Vec<_>>()),
        );
        let stage = Stage { build: 1, stage: 2, course: RolloutState::Released, cap: 1.0, age_ms: 90_000 };
        let rollout_update = RolloutUpdate { index: 1, stage: Some(stage), sums: vec![], disputed: vec![] };
        harness.core.handle(harness.now, Input::RolloutUpdate(&rollout_update));
        harness
    }

    /// Sends one RPC, answered ok if it is accepted; returns whether it was.
    fn send_rpc(&mut self, method: &str, tenant: Option<&str>) -> bool {
        self.id += 1;
        self.now += Duration::from_millis(2);
        if self.core.next_tick() <= self.now {
            self.core.handle(self.now, Input::Tick);
        }
        let call =
            Call { method, tenant, key: None, has_idempotency_key: true, time_left: None, is_retry: false };
        let commands = self.core.handle(self.now, Input::Rpc { id: self.id, call });
        for command in &commands {
            if let Command::Pick { id, pick, .. } = *command {
                self.core.handle(
                    self.now + Duration::from_millis(1),
                    Input::PickEnded { id, pick, observation: OK },
                );
            }
        }
        !commands.iter().any(|o| matches!(o, Command::Reject { .. }))
    }
}

#[test]
fn unknown_methods_and_tenants_use_no_memory() {
    let (mut harness, mut reference) = (Harness::new(&config_text(0..10)), Harness::new(&config_text(0..10)));
    for harness in [&mut harness, &mut reference] {
        (0..500).for_each(|i| assert!(harness.send_rpc(&format!("m-{}", i % 10), None)));
    }
    let (before, evidence) = (harness.core.counts(), harness.core.evidence_bytes());
    assert!(evidence > 0);
    for i in 0..10_000 {
        assert!(!harness.send_rpc(&format!("invented-{i}"), Some(&format!("nobody-{i}"))));
        reference.now = harness.now;
    }
    assert_eq!(harness.core.counts(), Counts { rejected: before.rejected + 10_000, ..before });
    assert!(
        harness.core.evidence_bytes() <= evidence,
        "{evidence} bytes grew to {}",
        harness.core.evidence_bytes()
    );
    // RPCs of known methods are accepted from any tenant, and an unknown tenant takes no more memory than
    // none.
    for i in 0..10_000 {
        let method = format!("m-{}", i % 10);
        assert!(harness.send_rpc(&method, Some(&format!("nobody-{i}"))) && reference.send_rpc(&method, None));
    }
    assert_eq!(
        harness.core.evidence_bytes(),
        reference.core.evidence_bytes(),
        "bytes with invented tenants, and with none"
    );
    assert_eq!(Counts { rejected: 0, ..harness.core.counts() }, reference.core.counts());
}

#[test]
fn reconfigure_adds_and_removes_thousands_of_methods_and_keeps_the_evidence_of_the_others() {
    let read = |methods| ivydrift_terms::parse("known.hcl", &config_text(methods)).unwrap();
    let (first_config, second_config) = (read(0..14_000), read(7_000..21_000));
    let mut harness = Harness::new(&config_text(0..10));
    harness.core.reconfigure(first_config.clone()).unwrap();
    (0..900).for_each(|i| assert!(harness.send_rpc(&format!("m-{}", 6_990 + i % 20), None)));
    let evidence = harness.core.evidence_bytes();
    assert!(evidence > 0 && evidence < 100_000, "{evidence} bytes for 20 methods at six nodes");
    for _ in 0..2 {
        let evidence = harness.core.evidence_bytes();
        harness.core.reconfigure(second_config.clone()).unwrap();
        assert_eq!(
            harness.core.evidence_bytes(),
            evidence,
            "evidence was lost, or allocated for methods without RPCs"
        );
        assert!(
            !harness.send_rpc("m-6999", None)
                && harness.send_rpc("m-7000", None)
                && harness.send_rpc("m-20999", None)
        );
        harness.core.reconfigure(first_config.clone()).unwrap();
        assert!(
            harness.send_rpc("m-6999", None)
                && harness.send_rpc("m-7000", None)
                && !harness.send_rpc("m-20999", None)
        );
        harness.now += Duration::from_secs(10);
        harness.core.handle(harness.now, Input::Tick);
        (0..900).for_each(|i| assert!(harness.send_rpc(&format!("m-{}", 6_990 + i % 20), None)));
    }
    let why = harness.core.reconfigure(read(30_000..75_000)).unwrap_err();
    assert!(why.contains("names of methods") && why.contains("restart"), "{why}");
    assert!(
        harness.send_rpc("m-6999", None) && !harness.send_rpc("m-30000", None),
        "a refused config came into force"
    );
}
