//! Compares the complete action sequences of seeded runs with recorded hashes. The hashes come from the
//! program that allocated evidence for every configured method on every node (commit 56d20bd, with the
//! present waits after a refused list). Guards against evidence that is allocated on a method's first use
//! leading to other decisions, be it by a rounding difference.

use std::time::Duration;

use crate::simulation::{base_config, ms, Simulation};
use ivydrift_policy::port::*;

/// What the build on trial does.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Scenario {
    /// As good as the earlier build; it is released.
    GoodBuild,
    /// Fails in some methods and is rolled back; the next build is good.
    FailingBuild,
    /// Slows all nodes while it gets traffic.
    FleetSlowdown,
}

/// Most picks are ok, each kind of failure occurs, and nodes of the second kind are slower.
fn node_behavior(scenario: Scenario) -> crate::simulation::NodeBehavior {
    let last_traffic = std::cell::Cell::new(ms(0));
    Box::new(move |e, method, now, random| {
        if scenario == Scenario::FailingBuild && e.build == 2 && method % 3 != 1 && random % 4 == 0 {
            return (Outcome::Error, ms(20));
        }
        if e.build == 2 {
            last_traffic.set(now);
        }
        let fleet_slowed = scenario == Scenario::FleetSlowdown
            && last_traffic.get() > ms(0)
            && now < last_traffic.get() + ms(500);
        let took = 20 + 9 * (method as u64 % 7) + (random >> 9) % 60 + 60 * e.kind as u64;
        let took = ms(if fleet_slowed { 250 + took } else { took });
        match random % 400 {
            0..=3 => (Outcome::Error, ms(15)),
            4..=6 => (Outcome::Malformed, took),
            7 => (Outcome::Full, ms(5)),
            8 => (Outcome::NoConnection, ms(1)),
            9 => (Outcome::Reset, took),
            10..=12 => (Outcome::Ok, ms(5000)),
            _ => (Outcome::Ok, took),
        }
    })
}

/// Offers an RPC of a random method, low indices more often. With more than five methods every fifth is left
/// out unless `all_methods` is set.
fn offer_random_rpc(sim: &mut Simulation, all_methods: bool) {
    let method_count = sim.config.methods.len();
    let method = (sim.next_random() as usize % method_count).min(sim.next_random() as usize % method_count);
    sim.offer_rpc(if method_count > 5 && !all_methods && method % 5 == 4 { method - 1 } else { method });
}

/// Advances time by `span` with RPCs, peer messages, the rollout controller's counts and disputed answers.
fn run(sim: &mut Simulation, span: Duration, all_methods: bool) {
    let end = sim.now + span;
    for tick in 0u64.. {
        if sim.now >= end {
            return;
        }
        (0..2 + tick % 3).for_each(|_| offer_random_rpc(sim, all_methods));
        sim.advance_tick();
        let (random, newest) = (sim.next_random(), sim.nodes.values().map(|e| e.build).max().unwrap_or(1));
        if tick % 25 == 7 {
            // The marshal's own messages come back to it as from its peers.
            let texts = std::mem::take(&mut sim.peer_messages);
            for (from, (_, text)) in texts.into_iter().enumerate() {
                sim.deliver(vec![Event::Peer { from: from % sim.config.marshals, payload: text }]);
            }
        }
        if tick % 50 == 20 {
            let (method, build) =
                (random as usize % sim.config.methods.len(), newest - (random >> 8) as u32 % 2);
            let (picks, failed) = (20 + (random >> 3) as u32 % 30, (random >> 5) as u32 % 3);
            sim.deliver(vec![Event::ControllerCounts {
                build,
                method,
                picks,
                failed,
                mean: ms(60),
                age: ms(700),
            }]);
        }
        if tick % 60 == 41 {
            let method = random as usize % sim.config.methods.len();
            let node = (random >> 7) as usize % 12;
            sim.deliver(vec![Event::Disputed { node, method, age: ms(random % 900) }]);
        }
    }
}

/// Lists nodes of `build` that start now.
fn start_nodes(sim: &mut Simulation, nodes: std::ops::Range<usize>, build: Build) {
    let now = sim.now;
    nodes.for_each(|n| sim.list_node(n, build, Readiness::Ready, Some(now)));
}

/// Reports nodes of `build` as gone.
fn remove_nodes(sim: &mut Simulation, nodes: std::ops::Range<usize>, build: Build) {
    nodes.for_each(|n| sim.list_node(n, build, Readiness::Gone, None));
}

/// Plays one scenario: a trial, a configuration change, a release, and a failing released build after a good
/// one.
fn play_scenario((methods, kinds, peers): (usize, usize, bool), scenario: Scenario) -> Simulation {
    let mut config = base_config();
    let templates = config.methods.clone();
    let method_at = |m: usize| templates[m % 3].clone();
    config.methods = (0..methods).map(method_at).collect();
    (config.kinds, config.limits.peers, config.marshals) = (kinds, peers, if peers { 10 } else { 2 });
    config.release.exposure_by_method = methods == 3;
    let mut sim = Simulation::new(config, 12);
    sim.set_seed(1 + methods as u64);
    sim.node_behavior = node_behavior(scenario);
    run(&mut sim, ms(5000), false);
    sim.report_stage(2, 0, RolloutState::OnTrial, 0.35, VoteReply::Unsolicited);
    start_nodes(&mut sim, 12..16, 2);
    run(&mut sim, ms(7000), false);
    // A configuration change in mid-run: existing methods keep their indices, two more follow.
    sim.config.methods.extend((methods..methods + 2).map(method_at));
    sim.marshal.reconfigure(&sim.config);
    run(&mut sim, ms(3000), true);
    if scenario == Scenario::FailingBuild {
        sim.report_stage(2, 0, RolloutState::GoingBack, 0.0, VoteReply::Unsolicited);
        remove_nodes(&mut sim, 12..16, 2);
        run(&mut sim, ms(1000), true);
        sim.report_stage(2, 0, RolloutState::Withdrawn, 0.0, VoteReply::Unsolicited);
        sim.report_stage(3, 0, RolloutState::OnTrial, 0.35, VoteReply::Unsolicited);
        start_nodes(&mut sim, 12..15, 3);
        run(&mut sim, ms(6000), true);
    }
    sim.report_stage(sim.nodes[&12].build, 1, RolloutState::OnTrial, 0.7, VoteReply::Counts);
    let build = sim.nodes[&12].build;
    start_nodes(&mut sim, 15..22, build);
    run(&mut sim, ms(6000), true);
    // Released, with no node of the earlier build left: compared with the earlier build's recorded figures.
    sim.report_stage(build, 2, RolloutState::Released, 1.0, VoteReply::Unsolicited);
    remove_nodes(&mut sim, 0..12, 1);
    run(&mut sim, ms(4000), true);
    if scenario == Scenario::GoodBuild {
        sim.node_behavior = node_behavior(Scenario::FailingBuild);
        run(&mut sim, ms(6000), true);
    }
    sim
}

/// Number of methods and of node kinds, whether peers exchange messages, the scenario, and the hash.
type Recording = (usize, usize, bool, Scenario, u64);

#[test]
fn actions_match_recorded_hashes() {
    let mut found = Vec::new();
    let mut verdicts = std::collections::BTreeSet::new();
    for methods in [1, 3, 40] {
        for (kinds, peers) in [(1, false), (2, true), (2, false)] {
            for scenario in [Scenario::GoodBuild, Scenario::FailingBuild, Scenario::FleetSlowdown] {
                let sim = play_scenario((methods, kinds, peers), scenario);
                verdicts.extend(sim.votes.iter().map(|v| format!("{:?}", v.1)));
                found.push((methods, kinds, peers, scenario, sim.action_hash));
            }
        }
    }
    let lines: Vec<String> =
        found.iter().map(|(m, k, p, s, h)| format!("({m}, {k}, {p}, Scenario::{s:?}, {h:#018x}),")).collect();
    assert_eq!(verdicts.into_iter().collect::<Vec<_>>(), ["Back", "None", "On"]);
    assert!(found == RECORDED, "actions differ from the recorded ones; hashes found:\n{}", lines.join("\n"));
}

const RECORDED: &[Recording] = &[
    (1, 1, false, Scenario::GoodBuild, 0x5192cc10abf09762),
    (1, 1, false, Scenario::FailingBuild, 0xb3f3c2c895f41233),
    (1, 1, false, Scenario::FleetSlowdown, 0x2aa03fd18edb3ee0),
    (1, 2, true, Scenario::GoodBuild, 0x8993f6ec4a39b886),
    (1, 2, true, Scenario::FailingBuild, 0xa562e7a4f9c36f8c),
    (1, 2, true, Scenario::FleetSlowdown, 0xa78bbfc0f20d5673),
    (1, 2, false, Scenario::GoodBuild, 0xd4182ce1562389eb),
    (1, 2, false, Scenario::FailingBuild, 0x3534c43b65dbec40),
    (1, 2, false, Scenario::FleetSlowdown, 0x058ec6d1534838ca),
    (3, 1, false, Scenario::GoodBuild, 0x3a97fc3876dc6b5c),
    (3, 1, false, Scenario::FailingBuild, 0xb2502a25c096b8e8),
    (3, 1, false, Scenario::FleetSlowdown, 0xc741c2dc2121c70b),
    (3, 2, true, Scenario::GoodBuild, 0x987267d06056845d),
    (3, 2, true, Scenario::FailingBuild, 0x4cb9756b92dfb081),
    (3, 2, true, Scenario::FleetSlowdown, 0x380178cf082e301f),
    (3, 2, false, Scenario::GoodBuild, 0xcd45905b15e568da),
    (3, 2, false, Scenario::FailingBuild, 0x04eb42aac1ee279d),
    (3, 2, false, Scenario::FleetSlowdown, 0x75269aaf7c8225ac),
    (40, 1, false, Scenario::GoodBuild, 0xf2a253c563312af3),
    (40, 1, false, Scenario::FailingBuild, 0xa5e7b88065f6e018),
    (40, 1, false, Scenario::FleetSlowdown, 0xd16520b8f78e4e5f),
    (40, 2, true, Scenario::GoodBuild, 0xa53ad68109fd8352),
    (40, 2, true, Scenario::FailingBuild, 0xf13ab4a5593ffe62),
    (40, 2, true, Scenario::FleetSlowdown, 0xe4cde68478acf0f5),
    (40, 2, false, Scenario::GoodBuild, 0xf7f24cdf442ec28e),
    (40, 2, false, Scenario::FailingBuild, 0x907aa6d09f386aa6),
    (40, 2, false, Scenario::FleetSlowdown, 0x179dfcd9cee697c4),
];
