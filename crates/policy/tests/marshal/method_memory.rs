//! Memory by method: configured methods that get no RPC take no memory and change no decision.

use std::time::Duration;

use crate::simulation::{base_config, ms, Simulation};
use ivydrift_policy::port::*;

/// Eight nodes and `methods` configured methods of equal utility.
fn with_methods(methods: usize) -> Simulation {
    let mut config = base_config();
    let templates = config.methods.clone();
    config.methods =
        (0..methods).map(|m| MethodConfig { utility: 1.0, ..templates[m % 3].clone() }).collect();
    config.limits.peers = false;
    Simulation::new(config, 8)
}

/// Advances time by `span` with two RPCs a tick, spread over the first `methods` methods.
fn run_methods(sim: &mut Simulation, span: Duration, methods: u64) {
    let end = sim.now + span;
    while sim.now < end {
        for _ in 0..2 {
            let method = sim.next_random() % methods;
            sim.offer_rpc(method as usize);
        }
        sim.advance_tick();
    }
}

/// Tries build 2, which answers well for 6 s and then fails a third of its RPCs.
fn run_trial(sim: &mut Simulation) {
    run_methods(sim, ms(4000), 100);
    sim.report_stage(2, 0, RolloutState::OnTrial, 0.35, VoteReply::Unsolicited);
    let now = sim.now;
    (8..11).for_each(|n| sim.list_node(n, 2, Readiness::Ready, Some(now)));
    run_methods(sim, ms(6000), 100);
    sim.node_behavior = Box::new(|e, _, _, random| match e.build == 2 && random % 3 == 0 {
        true => (Outcome::Error, ms(20)),
        false => (Outcome::Ok, ms(60)),
    });
    run_methods(sim, ms(5000), 100);
}

#[test]
fn unused_methods_change_no_decision_and_take_no_memory() {
    let (mut few, mut many) = (with_methods(100), with_methods(14_000));
    assert_eq!(
        (few.marshal.evidence_bytes(), many.marshal.evidence_bytes()),
        (0, 0),
        "memory was allocated before the first RPC"
    );
    run_trial(&mut few);
    run_trial(&mut many);
    assert!(few.has_voted(Verdict::On) && few.has_voted(Verdict::Back), "{:?}", few.votes);
    assert_eq!(few.votes, many.votes);
    assert!(few.sent_picks == many.sent_picks, "picks differ with the number of configured methods");
    assert_eq!(
        few.marshal.evidence_bytes(),
        many.marshal.evidence_bytes(),
        "bytes with 100 and with 14,000 configured methods"
    );
}

#[test]
fn evidence_is_allocated_at_the_first_informative_outcome() {
    let mut sim = with_methods(14_000);
    sim.node_behavior = Box::new(|_, _, _, random| match random % 2 {
        0 => (Outcome::Full, ms(5)),
        _ => (Outcome::NoConnection, ms(1)),
    });
    run_methods(&mut sim, ms(2000), 10_000);
    for method in 0..14_000 {
        sim.deliver(vec![Event::Disputed { node: method % 8, method, age: ms(0) }]);
    }
    sim.run(ms(5000), 0);
    assert_eq!(
        sim.marshal.evidence_bytes(),
        0,
        "picks that never ran, and disputed answers of methods without RPCs, are no evidence"
    );
    sim.node_behavior = Box::new(|_, _, _, _| (Outcome::Ok, ms(60)));
    sim.offer_rpc(13_999);
    sim.run(ms(5000), 0);
    let bytes = sim.marshal.evidence_bytes();
    assert!(bytes > 0 && bytes < 4000, "one method at one node takes {bytes} bytes");
}

#[test]
fn pick_accounting_is_freed_after_its_windows() {
    let mut sim = with_methods(10);
    let mut at_rest = Vec::new();
    for build in 2..12 {
        (0..8).for_each(|n| sim.list_node(n, build, Readiness::Ready, None));
        sim.report_stage(build, 2, RolloutState::Released, 1.0, VoteReply::Unsolicited);
        run_methods(&mut sim, ms(8000), 10);
        let under_load = sim.marshal.evidence_bytes();
        sim.run(ms(4000), 0);
        at_rest.push(sim.marshal.evidence_bytes());
        assert!(
            at_rest.last() < Some(&under_load),
            "{under_load} bytes under load, {at_rest:?} after the windows have passed"
        );
    }
    // Each build got each method at each node, so the evidence takes the same memory after each rollout.
    assert_eq!(at_rest[2], at_rest[9], "memory grows with each build released: {at_rest:?}");
}

#[test]
fn adding_thousands_of_methods_keeps_existing_evidence() {
    let (mut unchanged, mut extended) = (with_methods(100), with_methods(100));
    for (sim, extends) in [(&mut unchanged, false), (&mut extended, true)] {
        run_methods(sim, ms(4000), 100);
        let before = sim.marshal.evidence_bytes();
        if extends {
            sim.config = with_methods(14_100).config;
            sim.marshal.reconfigure(&sim.config);
            assert_eq!(
                sim.marshal.evidence_bytes(),
                before,
                "adding 14,000 methods changed the memory in use"
            );
        }
        run_trial(sim);
    }
    assert_eq!(unchanged.votes, extended.votes);
    assert!(unchanged.sent_picks == extended.sent_picks, "picks differ after the change of configuration");
}
