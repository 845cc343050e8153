//! Routing and admission: cold, silent, slow and few nodes, congestion, retries and keys, one case each.

use crate::simulation::{base_config, ms, Simulation};
use crate::verdicts::with_trial_nodes;
use ivydrift_policy::port::*;

#[test]
fn arm_short_of_the_minimum_sample_gets_its_share() {
    let mut sim = with_trial_nodes(2);
    let before = sim.sent_picks.len();
    sim.run(ms(8000), 100);
    let recent: Vec<_> = sim.sent_picks[before..].iter().filter(|s| s.0 > sim.now - ms(3000)).collect();
    let new_share = recent.iter().filter(|s| s.1.build == 2).count() as f64 / recent.len() as f64;
    assert!((0.16..=0.26).contains(&new_share), "the build on trial got a share of {new_share}");
}

#[test]
fn unresponsive_node_is_ejected_and_readmitted() {
    let mut sim = Simulation::new(base_config(), 8);
    sim.run(ms(3000), 100);
    let (failure_start, recovery) = (sim.now, sim.now + ms(6000));
    sim.node_behavior = Box::new(move |e, _, now, _| match e.node == 3 && now < recovery {
        true => (Outcome::Ok, ms(60_000)),
        false => (Outcome::Ok, ms(60)),
    });
    sim.run(ms(6000), 100);
    let picks_since =
        |sim: &Simulation, since| sim.sent_picks.iter().filter(|s| s.0 > since && s.1.node == 3).count();
    assert!(
        picks_since(&sim, failure_start) < 20,
        "a node that does not answer got {} picks",
        picks_since(&sim, failure_start)
    );
    sim.run(ms(8000), 100);
    assert!(picks_since(&sim, sim.now - ms(3000)) > 10, "the recovered node got no traffic again");
}

#[test]
fn excess_load_is_shed_with_retry_after() {
    let mut sim = Simulation::new(base_config(), 1);
    sim.node_behavior = Box::new(|_, _, _, _| (Outcome::Ok, ms(500)));
    sim.run(ms(4000), 200);
    assert!(sim.pushed_back.len() > 100);
    assert!(sim.pushed_back.iter().all(|after| after.is_some_and(|t| t > ms(0) && t <= ms(1000))));
}

#[test]
fn fast_cold_node_stays_within_its_slow_start_budget() {
    let mut sim = Simulation::new(base_config(), 8);
    sim.node_behavior = Box::new(|e, _, _, _| (Outcome::Ok, ms(if e.node == 0 { 10 } else { 200 })));
    sim.run(ms(8000), 100);
    let start = sim.now;
    sim.list_node(0, 1, Readiness::Ready, Some(start));
    sim.run(ms(4000), 100);
    for t in 0..30 {
        let (from, to) = (start + ms(100 * t), start + ms(100 * t + 1000));
        let picks = sim.sent_picks.iter().filter(|s| s.1.node == 0 && s.0 > from && s.0 <= to).count() as f64;
        // The fall multiple, 3, times the part of a node's share of 100 RPCs a second that is warm at the
        // window's end.
        let budget = 3.0 * (0.4 + 0.6 * (to - start).as_secs_f64() / 4.0) * 100.0 / 8.0;
        assert!(picks <= budget, "{picks} picks within a second, the budget is {budget}");
    }
}

#[test]
fn node_with_malformed_answers_is_ejected() {
    let mut sim = Simulation::new(base_config(), 8);
    sim.node_behavior = Box::new(|e, _, _, _| match e.node == 3 {
        true => (Outcome::Malformed, ms(5)),
        false => (Outcome::Ok, ms(60)),
    });
    sim.run(ms(6000), 100);
    let recent: Vec<_> = sim.sent_picks.iter().filter(|s| s.0 > sim.now - ms(3000)).collect();
    let to_node = recent.iter().filter(|s| s.1.node == 3).count();
    assert!(
        20 * to_node < recent.len(),
        "the node with malformed answers got {to_node} of {} picks",
        recent.len()
    );
}

#[test]
fn low_traffic_uses_a_small_subset_that_widens_on_failures() {
    let mut sim = Simulation::new(base_config(), 100);
    sim.run(ms(30_000), 3);
    let nodes_used =
        |sim: &Simulation| sim.sent_picks.iter().map(|s| s.1.node).collect::<std::collections::BTreeSet<_>>();
    let subset = nodes_used(&sim);
    assert!((4..=40).contains(&subset.len()), "3 RPCs a second were spread over {} nodes", subset.len());
    sim.node_behavior = Box::new(move |e, _, _, _| match subset.contains(&e.node) {
        true => (Outcome::NoConnection, ms(50)),
        false => (Outcome::Ok, ms(60)),
    });
    let before = nodes_used(&sim).len();
    sim.run(ms(10_000), 3);
    assert!(nodes_used(&sim).len() > before, "the subset was not widened when its nodes failed");
    // Each node of the subset gets about 20 picks within the 15 s for which an idle connection is kept.
    let mut sim = Simulation::new(base_config(), 100);
    sim.run(ms(20_000), 12);
    assert!(
        (6..=20).contains(&nodes_used(&sim).len()),
        "12 RPCs a second were spread over {} nodes",
        nodes_used(&sim).len()
    );
}

#[test]
fn concurrency_is_limited_when_all_answers_are_slow() {
    let mut sim = Simulation::new(base_config(), 8);
    sim.run(ms(3000), 100);
    sim.node_behavior = Box::new(|_, _, _, _| (Outcome::Ok, ms(500)));
    sim.run(ms(8000), 100);
    let recent = sim.sent_picks.iter().filter(|s| s.0 > sim.now - ms(2000)).count();
    assert!((8..=40).contains(&recent), "{recent} picks within 2 s");
}

/// Guards against a key that returns to the earlier build because an answer of that build arrives after one
/// of the newer build, or because the client had left before the newer build answered. Both came up in
/// simulator runs (ulaanbaatar-farm overload, relay-jakarta rough-1).
#[test]
fn key_stays_on_the_newer_build_after_a_late_answer_of_the_earlier_one() {
    let mut config = base_config();
    config.release.one_way = true;
    let mut sim = Simulation::new(config, 4);
    sim.key_count = 60;
    sim.node_behavior =
        Box::new(|e, _, _, random| (Outcome::Ok, ms(if e.build == 1 { 100 + random % 300 } else { 40 })));
    sim.run(ms(3000), 60);
    sim.report_stage(2, 1, RolloutState::OnTrial, 0.7, VoteReply::Unsolicited);
    (4..8).for_each(|n| sim.list_node(n, 2, Readiness::Ready, Some(sim.now - ms(6000))));
    for _ in 0..200 {
        sim.run(ms(60), 60);
        sim.disconnect_client();
    }
    assert!(sim.sent_picks.iter().any(|s| s.1.build == 2));
}

/// In a large fleet few marshals hold a part of a cold node's budget. Guards against the other marshals
/// sending the cold nodes' share of the arm to its few warm nodes (simulator runs ulaanbaatar-farm big-1,
/// big-2).
#[test]
fn warm_nodes_of_an_arm_do_not_get_its_cold_nodes_share() {
    let mut picks_per_node = [0.0, 0.0];
    for marshal in 0..40 {
        let mut config = base_config();
        (config.marshal, config.marshals, config.seed) = (marshal, 40, 500 + marshal as u64);
        (config.release.exposure_caps, config.rules.slow_start_multiple) = (vec![1.0; 3], 2.0);
        let mut sim = Simulation::new(config, 20);
        sim.set_seed(900 + marshal as u64);
        sim.run(ms(6000), 10);
        sim.report_stage(2, 1, RolloutState::OnTrial, 1.0, VoteReply::Unsolicited);
        (20..22).for_each(|n| sim.list_node(n, 2, Readiness::Ready, Some(sim.now - ms(9000))));
        sim.run(ms(8000), 10);
        let stage_start = sim.now;
        (22..42).for_each(|n| sim.list_node(n, 2, Readiness::Ready, Some(sim.now)));
        sim.run(ms(4000), 10);
        let picks_at = |warm: bool| {
            sim.sent_picks
                .iter()
                .filter(move |s| s.0 > stage_start && s.1.node < 22 && (s.1.node >= 20) == warm)
        };
        picks_per_node[0] += picks_at(false).count() as f64 / 20.0;
        picks_per_node[1] += picks_at(true).count() as f64 / 2.0;
    }
    let [earlier, warm] = picks_per_node;
    assert!(
        (0.6..1.7).contains(&(warm / earlier)),
        "{warm} picks per warm node of the new arm, {earlier} per node of the earlier build"
    );
}

/// Where nodes cache per key, all marshals choose the same node for a key without exchanging messages.
#[test]
fn all_marshals_send_a_key_to_the_same_node() {
    let preferred_node = |seed: u64, warm_keys| {
        let mut config = base_config();
        (config.seed, config.warm_keys) = (seed, warm_keys);
        let mut sim = Simulation::new(config, 12);
        sim.key_count = 1;
        sim.run(ms(12_000), 5);
        let mut counts = [0; 12];
        sim.sent_picks.iter().for_each(|s| counts[s.1.node] += 1);
        let busiest = (0..12).max_by_key(|n| counts[*n]).unwrap();
        (busiest, counts[busiest] as f64 / sim.sent_picks.len() as f64)
    };
    let [a, b] = [preferred_node(1, true), preferred_node(2, true)];
    assert!(a.0 == b.0 && a.1 > 0.7 && b.1 > 0.7, "{a:?} {b:?}");
    assert!(preferred_node(1, false).1 < 0.4);
}

/// An RPC that gets no further pick is answered in the same step in which its last pick ended, not at its
/// deadline.
#[test]
fn rpc_without_further_picks_is_answered_at_once() {
    for (method, picks, pushed_back) in [(0, 2, true), (1, 2, true), (2, 1, false)] {
        let mut sim = Simulation::new(base_config(), 8);
        sim.run(ms(2000), 50);
        (0..10).for_each(|_| sim.advance_tick());
        sim.failing_percent = 100; // Every node answers with an error after 20 ms.
        let (sent, answers) = (sim.sent_picks.len(), sim.pushed_back.len());
        sim.offer_rpc(method);
        (0..picks).for_each(|_| sim.advance_tick());
        assert_eq!((sim.open_rpc_count(), sim.sent_picks.len() - sent), (0, picks), "method {method}");
        assert_eq!(sim.pushed_back.len() - answers, usize::from(pushed_back));
        assert!(!pushed_back || sim.pushed_back.last().unwrap().is_some(), "a push-back without retry_after");
    }
}

/// One of 300 marshals after 1.5 s in which all nodes turned its picks away as full.
fn after_full_queues() -> Simulation {
    let mut sim = Simulation::new(RolloutConfig { marshals: 300, ..base_config() }, 8);
    sim.run(ms(3000), 20);
    sim.node_behavior = Box::new(|_, _, _, _| (Outcome::Full, ms(5)));
    sim.run(ms(1500), 20);
    sim.node_behavior = Box::new(|_, _, _, _| (Outcome::Ok, ms(60)));
    sim.run(ms(700), 0);
    assert_eq!(sim.open_rpc_count(), 0);
    sim
}

#[test]
fn full_queues_count_as_congestion() {
    let mut sim = after_full_queues();
    let before = sim.sent_picks.len();
    (0..4).for_each(|_| sim.offer_rpc(0));
    assert_eq!(
        sim.sent_picks.len() - before,
        1,
        "under congestion one of 300 marshals sends one pick at a time"
    );
}

#[test]
fn slow_cancelled_picks_count_as_congestion() {
    let mut sim = Simulation::new(RolloutConfig { marshals: 300, ..base_config() }, 8);
    sim.run(ms(3000), 20);
    sim.node_behavior = Box::new(|_, _, _, _| (Outcome::Cancelled, ms(400)));
    for _ in 0..40 {
        sim.offer_rpc(0);
        sim.disconnect_client();
        sim.run(ms(100), 0);
    }
    sim.node_behavior = Box::new(|_, _, _, _| (Outcome::Ok, ms(60)));
    sim.run(ms(700), 0);
    let before = sim.sent_picks.len();
    (0..4).for_each(|_| sim.offer_rpc(0));
    assert_eq!(
        sim.sent_picks.len() - before,
        1,
        "under congestion one of 300 marshals sends one pick at a time"
    );
}

#[test]
fn timed_out_pick_counts_as_in_flight_until_its_soft_deadline() {
    let mut sim = after_full_queues();
    sim.node_behavior = Box::new(|_, _, _, _| (Outcome::Ok, ms(5000)));
    let before = sim.sent_picks.len();
    sim.offer_rpc(0);
    sim.run(ms(400), 0); // The pick times out at 360 ms, to leave time for another.
    sim.offer_rpc(0);
    sim.run(ms(1000), 0);
    let pick_times: Vec<_> = sim.sent_picks[before..].iter().map(|s| s.0).collect();
    assert!(pick_times.len() == 2 && pick_times[1] >= pick_times[0] + ms(600), "{pick_times:?}");
}

/// Offers RPCs with `left` to their deadline, five a tick for 2 s, and returns how many of the second
/// second's 250 were sent.
fn sent_of_250(sim: &mut Simulation, left: u64, repeated: bool) -> usize {
    for _ in 0..2 {
        sim.sent_picks.clear();
        for _ in 0..50 {
            (0..5).for_each(|_| sim.offer_rpc_with_deadline(2, ms(left), repeated));
            sim.advance_tick();
        }
    }
    sim.sent_picks.len()
}

#[test]
fn rpcs_with_short_deadlines_are_shed_while_answers_are_slower() {
    let mut sim = Simulation::new(base_config(), 8);
    sim.run(ms(3000), 50);
    sim.node_behavior = Box::new(|_, _, _, _| (Outcome::Ok, ms(140)));
    let sent = sent_of_250(&mut sim, 100, false);
    assert!((1..75).contains(&sent), "{sent} of 250 sent, though none can be answered in time");
    let before = sim.sent_picks.len();
    sim.offer_rpc(0);
    assert_eq!(sim.sent_picks.len(), before + 1, "an RPC with a normal deadline is sent");
    sim.node_behavior = Box::new(|_, _, _, _| (Outcome::Ok, ms(40)));
    assert!(
        sent_of_250(&mut sim, 100, false) > 200,
        "answers are fast again, which the few RPCs sent must show"
    );
}

#[test]
fn client_retries_spend_the_retry_budget_while_answers_are_late() {
    let mut sim = Simulation::new(base_config(), 8);
    sim.run(ms(3000), 50);
    assert_eq!(sent_of_250(&mut sim, 900, true), 250, "while answers are fast all client retries are sent");
    sim.node_behavior = Box::new(|_, _, _, _| (Outcome::Ok, ms(200)));
    let sent = sent_of_250(&mut sim, 900, true);
    assert!(sent < 25, "{sent} client retries sent while answers are late");
    let pushed_back = sim.pushed_back.len();
    sim.offer_rpc_with_deadline(2, ms(900), true);
    assert_eq!(sim.pushed_back.len(), pushed_back + 1, "a client retry is refused at once");
}

#[test]
fn retry_budget_is_proportional_to_the_marshals_rpcs() {
    let mut sim = Simulation::new(base_config(), 8);
    sim.run(ms(20_000), 5);
    sim.node_behavior = Box::new(|_, _, _, _| (Outcome::Reset, ms(20)));
    let before = sim.sent_picks.len();
    (0..15).for_each(|_| sim.offer_rpc(0));
    sim.run(ms(1000), 0);
    let repeats = sim.sent_picks.len() - before - 15;
    assert!((2..=8).contains(&repeats), "{repeats} retries by a marshal that takes five RPCs a second");
}
