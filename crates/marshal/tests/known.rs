//! Method and tenant names of the config cost little memory, and names invented by clients cost none.

mod listed;

use std::time::Duration;

use ivydrift_marshal::{Call, Core, Counts, Input, Order, Saw};
use ivydrift_wire::desk::{Course, News, Stage};
use ivydrift_wire::orca::Metrics;
use listed::node;

const OK: Saw = Saw::Answer {
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
fn text(methods: std::ops::Range<usize>) -> String {
    let block = |i| {
        format!("method \"m-{i}\" {{\n  repeat = \"idempotent\"\n  soft_deadline = \"800ms\"\n  deadline = \"3s\"\n}}\n")
    };
    [ivydrift_terms::EXAMPLE.to_owned()].into_iter().chain(methods.map(block)).collect()
}

struct Bed {
    core: Core,
    now: Duration,
    id: u64,
}

impl Bed {
    fn new(text: &str) -> Bed {
        let core = Core::new(ivydrift_terms::read("known.hcl", text).unwrap(), 0);
        let mut bed = Bed { core, now: Duration::from_secs(86_400), id: 0 };
        bed.core
            .handle(bed.now, Input::Membership(&(9000..9006).map(|port| node(port, 1)).collect::<Vec<_>>()));
        let stage = Stage { build: 1, stage: 2, course: Course::Released, cap: 1.0, age_ms: 90_000 };
        let news = News { index: 1, stage: Some(stage), sums: vec![], disputed: vec![] };
        bed.core.handle(bed.now, Input::News(&news));
        bed
    }

    /// Sends one RPC, answered ok if it is accepted; returns whether it was.
    fn ask(&mut self, method: &str, tenant: Option<&str>) -> bool {
        self.id += 1;
        self.now += Duration::from_millis(2);
        if self.core.due() <= self.now {
            self.core.handle(self.now, Input::Tick);
        }
        let call = Call { method, tenant, key: None, tokened: true, left: None, repeated: false };
        let orders = self.core.handle(self.now, Input::Rpc { id: self.id, call });
        for order in &orders {
            if let Order::Pick { id, pick, .. } = *order {
                self.core.handle(self.now + Duration::from_millis(1), Input::Ended { id, pick, saw: OK });
            }
        }
        !orders.iter().any(|o| matches!(o, Order::Reject { .. }))
    }
}

#[test]
fn ten_thousand_invented_methods_and_tenants_grow_nothing() {
    let (mut bed, mut twin) = (Bed::new(&text(0..10)), Bed::new(&text(0..10)));
    for bed in [&mut bed, &mut twin] {
        (0..500).for_each(|i| assert!(bed.ask(&format!("m-{}", i % 10), None)));
    }
    let (before, laid_out) = (bed.core.counts(), bed.core.laid_out());
    assert!(laid_out > 0);
    for i in 0..10_000 {
        assert!(!bed.ask(&format!("invented-{i}"), Some(&format!("nobody-{i}"))));
        twin.now = bed.now;
    }
    assert_eq!(bed.core.counts(), Counts { rejected: before.rejected + 10_000, ..before });
    assert!(bed.core.laid_out() <= laid_out, "{laid_out} bytes grew to {}", bed.core.laid_out());
    // RPCs of known methods are accepted from any tenant, and an unknown tenant takes no more memory than
    // none.
    for i in 0..10_000 {
        let method = format!("m-{}", i % 10);
        assert!(bed.ask(&method, Some(&format!("nobody-{i}"))) && twin.ask(&method, None));
    }
    assert_eq!(bed.core.laid_out(), twin.core.laid_out(), "bytes with invented tenants, and with none");
    assert_eq!(Counts { rejected: 0, ..bed.core.counts() }, twin.core.counts());
}

#[test]
fn sighup_adds_and_removes_thousands_of_methods_and_keeps_the_evidence_of_those_that_stay() {
    let read = |methods| ivydrift_terms::read("known.hcl", &text(methods)).unwrap();
    let (earlier, later) = (read(0..14_000), read(7_000..21_000));
    let mut bed = Bed::new(&text(0..10));
    bed.core.renew(earlier.clone()).unwrap();
    (0..900).for_each(|i| assert!(bed.ask(&format!("m-{}", 6_990 + i % 20), None)));
    let laid_out = bed.core.laid_out();
    assert!(laid_out > 0 && laid_out < 100_000, "{laid_out} bytes for 20 methods at six nodes");
    for _ in 0..2 {
        let laid_out = bed.core.laid_out();
        bed.core.renew(later.clone()).unwrap();
        assert_eq!(bed.core.laid_out(), laid_out, "evidence was lost, or allocated for methods without RPCs");
        assert!(!bed.ask("m-6999", None) && bed.ask("m-7000", None) && bed.ask("m-20999", None));
        bed.core.renew(earlier.clone()).unwrap();
        assert!(bed.ask("m-6999", None) && bed.ask("m-7000", None) && !bed.ask("m-20999", None));
        bed.now += Duration::from_secs(10);
        bed.core.handle(bed.now, Input::Tick);
        (0..900).for_each(|i| assert!(bed.ask(&format!("m-{}", 6_990 + i % 20), None)));
    }
    let why = bed.core.renew(read(30_000..75_000)).unwrap_err();
    assert!(why.contains("names of methods") && why.contains("restart"), "{why}");
    assert!(bed.ask("m-6999", None) && !bed.ask("m-30000", None), "a refused config came into force");
}
