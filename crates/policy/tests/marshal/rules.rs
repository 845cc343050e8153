//! Seeded random runs: the five safety rules hold after every step, whatever events arrive.

use crate::simulation::{base_config, ms, Simulation};
use ivydrift_policy::port::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// An outcome and a duration, both drawn from the random number.
fn random_outcome(
    _: &NodeEntry, _: usize, _: std::time::Duration, random: u64,
) -> (Outcome, std::time::Duration) {
    let outcome = match random % 16 {
        0 => Outcome::Error,
        1 => Outcome::Full,
        2 => Outcome::NoConnection,
        3 => Outcome::Reset,
        4 => return (Outcome::Ok, ms(60_000)),
        _ => Outcome::Ok,
    };
    (outcome, ms(10 + (random >> 5) % 400))
}

/// Applies the random event `op`, with `param` as its random parameter.
fn apply_random_event(sim: &mut Simulation, op: u8, param: u64) {
    let node = (param % 8) as usize;
    let newest = sim.nodes.values().map(|e| e.build).max().unwrap_or(1);
    let now = sim.now;
    match op {
        0 => sim.list_node(node, newest, Readiness::Ready, Some(now.saturating_sub(ms(param % 900)))),
        1 => sim.list_node(node, newest.min(4) + 1, Readiness::Ready, Some(now.saturating_sub(ms(300)))),
        2 => sim.list_node(node, sim.nodes[&node].build, Readiness::Draining, sim.nodes[&node].started),
        3 => sim.list_node(node, sim.nodes[&node].build, Readiness::Gone, sim.nodes[&node].started),
        4 => sim.report_stage(newest, 0, RolloutState::OnTrial, 0.35, VoteReply::Unsolicited),
        5 => sim.report_stage(newest, 1, RolloutState::OnTrial, 0.7, VoteReply::Counts),
        6 => sim.report_stage(newest, 1, RolloutState::GoingBack, 0.0, VoteReply::Unsolicited),
        7 => sim.report_stage(newest, 2, RolloutState::Released, 1.0, VoteReply::Unsolicited),
        8 => sim.report_stage(
            newest,
            0,
            RolloutState::OnTrial,
            0.35,
            [VoteReply::Silent, VoteReply::Full][(param % 2) as usize],
        ),
        9 => sim.deliver(vec![Event::Peer {
            from: 1,
            payload: param.to_le_bytes().repeat((param % 5) as usize),
        }]),
        10 => {
            sim.deliver(vec![Event::Disputed { node, method: (param % 3) as usize, age: ms(param % 4000) }])
        }
        11 => sim.deliver(vec![Event::ClientLeft { rpc: 1_000_000 }]),
        15 => sim.marshal.reconfigure(&sim.config),
        16 => (0..1 + param % 3).for_each(|_| sim.disconnect_client()),
        12 => sim.list_only(|node| param >> (node % 32) & 1 == 0),
        13 => (100..100 + param as usize % 80).for_each(|n| sim.list_node(n, newest, Readiness::Ready, None)),
        // Peer messages that are truncated, hold absurd counts, name another build, level or length, or come
        // from unknown marshals.
        14 => (0..8).for_each(|i| {
            let mut text = [newest as u8 + i / 6, 0, (param % 12) as u8, 0].to_vec();
            text.extend(param.wrapping_mul(0x9E37_79B9_7F4A_7C15).to_le_bytes().repeat(i.into()));
            sim.deliver(vec![Event::Peer { from: param as usize % 7 * 1000 / 6, payload: text }]);
        }),
        _ => sim.run(ms(100 + param % 1500), 20 + param % 300),
    }
}

/// Plays 48 random histories under this configuration; the simulation checks the rules after every step.
fn check_random_runs(config: RolloutConfig) {
    let proptest_config = Config { cases: 48, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let steps = prop::collection::vec((0u8..21, 0u64..1 << 40), 1..60);
    TestRunner::new_with_rng(proptest_config, rng)
        .run(&(steps, 0u64..1 << 60), |(steps, seed)| {
            let mut sim = Simulation::new(config.clone(), 8);
            sim.set_seed(seed);
            sim.node_behavior = Box::new(random_outcome);
            sim.key_count = 40;
            sim.run(ms(500), 100);
            steps.into_iter().for_each(|(op, param)| apply_random_event(&mut sim, op, param));
            sim.run(ms(3000), 0);
            Ok(())
        })
        .unwrap();
}

#[test]
fn rules_hold_under_random_events() {
    check_random_runs(base_config());
}

#[test]
fn rules_hold_with_exposure_by_method_and_guarded_stages() {
    let mut config = base_config();
    (config.release.exposure_by_method, config.release.guarded_stages) = (true, 1);
    config.methods[1].repeat = Repeat::Tokened { group: Group::Cell, window: ms(400) };
    check_random_runs(config);
}

#[test]
fn rules_hold_with_one_way_keys() {
    let mut config = base_config();
    config.release.one_way = true;
    check_random_runs(config);
}

#[test]
fn rules_hold_with_clock_control() {
    let mut config = base_config();
    config.release.control = Control::Clock;
    config.limits.retry_after = None;
    check_random_runs(config);
}

#[test]
fn actions_are_deterministic() {
    let history = |seed| {
        let mut sim = Simulation::new(base_config(), 8);
        sim.set_seed(seed);
        sim.node_behavior = Box::new(random_outcome);
        sim.run(ms(4000), 150);
        sim.sent_picks.iter().map(|s| (s.0, s.1.node, s.2)).collect::<Vec<_>>()
    };
    assert_eq!(history(5), history(5));
    assert_ne!(history(5), history(6));
}

/// 150 marshals with little traffic each and a single cold node left: together they keep within the node's
/// slow-start budget.
#[test]
fn many_marshals_together_keep_a_cold_node_within_its_budget() {
    let marshal = |i| {
        let mut config = base_config();
        (config.marshal, config.marshals, config.seed) = (i, 150, 1000 + i as u64);
        let mut sim = Simulation::new(config, 8);
        sim.set_seed(77 + i as u64);
        sim
    };
    let mut fleet: Vec<Simulation> = (0..150).map(marshal).collect();
    let start = fleet[0].now + ms(4000);
    while fleet[0].now < start + ms(3000) {
        for sim in &mut fleet {
            if sim.now == start {
                sim.list_node(0, 1, Readiness::Ready, Some(start));
                sim.list_only(|node| node == 0);
            }
            sim.tick(2);
        }
    }
    let to_cold_node = fleet.iter().flat_map(|sim| &sim.sent_picks).filter(|s| s.1.node == 0 && s.0 >= start);
    let pick_times: Vec<_> = to_cold_node.map(|s| s.0).collect();
    assert!(pick_times.len() > 20, "the cold node got {} picks", pick_times.len());
    // Only the first 0.4 s: after that the node's own answers raise its known capacity.
    for tenth_s in 0..4 {
        let (from, to) = (start + ms(100 * tenth_s), start + ms(100 * tenth_s + 1000));
        let picks = pick_times.iter().filter(|&&at| at > from && at <= to).count() as f64;
        // The fall multiple, 3, times the part of a node's share of 300 RPCs a second that is warm at the
        // window's start.
        let budget = 3.0 * (0.4 + 0.6 * 0.1 * tenth_s as f64 / 4.0) * 300.0 / 8.0;
        assert!(picks <= budget, "{picks} picks within a second, the budget is {budget}");
    }
}

/// Exposure accounting survives a configuration change: picks sent under the earlier configuration count
/// under the new one, by method or in total. Most nodes run the build on trial, so the cap binds.
#[test]
fn rules_hold_while_config_switches_exposure_accounting() {
    let mut sim = Simulation::new(base_config(), 8);
    sim.set_seed(3);
    sim.run(ms(3000), 100);
    (1..8).for_each(|n| sim.list_node(n, 2, Readiness::Ready, Some(ms(90_000))));
    sim.report_stage(2, 0, RolloutState::OnTrial, 0.35, VoteReply::Unsolicited);
    for round in 0..40 {
        sim.config.release.exposure_by_method = round % 2 == 0;
        sim.marshal.reconfigure(&sim.config);
        sim.run(ms(700 + 70 * (round % 5)), 100);
    }
    let sent = sim.sent_picks.iter().filter(|s| s.1.build == 2).count();
    assert!(sent > 500, "the exposure cap did not bind: {sent} picks at the build on trial");
}
