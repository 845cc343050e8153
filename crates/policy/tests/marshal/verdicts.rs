//! Votes on a build: which evidence leads to a vote to promote or to roll back, and which must not, one case
//! each.

use crate::simulation::{base_config, ms, Simulation};
use ivydrift_policy::port::*;

/// Eight warm nodes of build 1 that have served for 6 s, then `trial` new nodes of build 2 in stage 0.
pub fn with_trial_nodes(trial: usize) -> Simulation {
    with_trial_nodes_and_config(base_config(), trial)
}

/// As `with_trial_nodes`, under the given configuration.
fn with_trial_nodes_and_config(config: RolloutConfig, trial: usize) -> Simulation {
    let mut sim = Simulation::new(config, 8);
    sim.run(ms(6000), 100);
    sim.report_stage(2, 0, RolloutState::OnTrial, 0.35, VoteReply::Unsolicited);
    (8..8 + trial).for_each(|n| sim.list_node(n, 2, Readiness::Ready, Some(sim.now)));
    sim
}

#[test]
fn good_build_is_promoted_and_the_vote_is_renewed() {
    let mut sim = with_trial_nodes(2);
    sim.run(ms(2000), 100);
    assert!(!sim.has_voted(Verdict::On), "voted to promote before the minimum observation time");
    sim.run(ms(3000), 100);
    sim.report_stage(2, 0, RolloutState::OnTrial, 0.35, VoteReply::Counts);
    sim.run(ms(6000), 100);
    assert!(!sim.has_voted(Verdict::Back));
    let promote_times: Vec<_> = sim.votes.iter().filter(|v| v.1 == Verdict::On).map(|v| v.0).collect();
    assert!(
        promote_times.len() >= 2 && promote_times.windows(2).all(|t| t[1] - t[0] < ms(4000)),
        "{promote_times:?}"
    );
}

#[test]
fn unanswered_vote_is_cast_again() {
    let mut sim = with_trial_nodes(2);
    sim.run(ms(4500), 100);
    let votes_before = sim.votes.len();
    sim.report_stage(2, 0, RolloutState::OnTrial, 0.35, VoteReply::Silent);
    sim.run(ms(1500), 100);
    assert!(votes_before >= 1 && sim.votes.len() > votes_before);
}

#[test]
fn failing_build_is_rolled_back_even_on_cold_nodes() {
    let mut sim = with_trial_nodes(2);
    sim.node_behavior = Box::new(|e, _, _, random| match e.build == 2 && random % 3 == 0 {
        true => (Outcome::Error, ms(20)),
        false => (Outcome::Ok, ms(60)),
    });
    sim.run(ms(5000), 100);
    assert!(sim.has_voted(Verdict::Back));
}

#[test]
fn build_failing_in_one_method_is_rolled_back() {
    let mut sim = with_trial_nodes(2);
    sim.node_behavior = Box::new(|e, method, _, _| match e.build == 2 && method == 1 {
        true => (Outcome::Error, ms(20)),
        false => (Outcome::Ok, ms(60)),
    });
    sim.run(ms(6000), 100);
    assert!(sim.has_voted(Verdict::Back));
}

#[test]
fn errors_of_single_nodes_of_both_builds_cause_no_rollback() {
    let mut sim = with_trial_nodes(1);
    sim.run(ms(6000), 100);
    let errors_end = sim.now + ms(4000);
    sim.node_behavior =
        Box::new(move |e, _, now, _| match (e.node == 8 || e.node == 0) && now < errors_end {
            true => (Outcome::Error, ms(5)),
            false => (Outcome::Ok, ms(60)),
        });
    sim.run(ms(9000), 100);
    assert!(!sim.has_voted(Verdict::Back));
}

#[test]
fn slow_answers_of_cold_nodes_cause_no_rollback() {
    let mut sim = with_trial_nodes(2);
    let warm_at = sim.now + ms(4500);
    sim.node_behavior = Box::new(move |e, _, now, _| match e.build == 2 && now < warm_at {
        true => (Outcome::Ok, ms(900)),
        false => (Outcome::Ok, ms(60)),
    });
    sim.run(ms(10_000), 100);
    assert!(!sim.has_voted(Verdict::Back));
}

#[test]
fn slow_build_is_rolled_back() {
    let mut sim = with_trial_nodes(4);
    sim.node_behavior =
        Box::new(|e, _, _, random| (Outcome::Ok, ms(if e.build == 2 { 240 } else { 40 } + random % 40)));
    sim.run(ms(16_000), 100);
    assert!(sim.has_voted(Verdict::Back));
}

/// All nodes are slow while the build on trial has got a pick within the last half second.
fn slow_all_while_build_gets_traffic(sim: &mut Simulation) {
    let last_traffic = std::rc::Rc::new(std::cell::Cell::new(sim.now));
    sim.node_behavior = Box::new(move |e, _, now, random| {
        if e.build == 2 {
            last_traffic.set(now);
        }
        (Outcome::Ok, ms(if now < last_traffic.get() + ms(500) { 280 } else { 50 } + random % 30))
    });
}

#[test]
fn build_that_slows_every_node_is_found_by_pausing_its_traffic() {
    let mut sim = with_trial_nodes(2);
    slow_all_while_build_gets_traffic(&mut sim);
    sim.run(ms(20_000), 60);
    assert!(sim.has_voted(Verdict::Back));
}

#[test]
fn slow_dependency_causes_no_rollback() {
    let mut sim = with_trial_nodes(2);
    sim.run(ms(5500), 60);
    sim.node_behavior = Box::new(|_, _, _, random| (Outcome::Ok, ms(250 + random % 30)));
    sim.run(ms(14_000), 60);
    assert!(!sim.has_voted(Verdict::Back));
}

#[test]
fn released_build_is_compared_with_the_earlier_builds_record() {
    let mut sim = with_trial_nodes(8);
    sim.run(ms(8000), 100);
    sim.report_stage(2, 2, RolloutState::Released, 1.0, VoteReply::Unsolicited);
    (0..8).for_each(|n| sim.list_node(n, 1, Readiness::Gone, None));
    sim.run(ms(4000), 100);
    assert!(!sim.has_voted(Verdict::Back));
    sim.node_behavior =
        Box::new(|_, _, _, random| (if random % 4 == 0 { Outcome::Error } else { Outcome::Ok }, ms(60)));
    sim.run(ms(8000), 100);
    assert!(sim.has_voted(Verdict::Back));
}

#[test]
fn under_clock_control_only_rollback_is_voted() {
    let mut config = base_config();
    config.release.control = Control::Clock;
    let mut sim = Simulation::new(config, 8);
    sim.run(ms(6000), 100);
    sim.report_stage(2, 0, RolloutState::OnTrial, 0.35, VoteReply::Unsolicited);
    (8..10).for_each(|n| sim.list_node(n, 2, Readiness::Ready, Some(sim.now)));
    sim.run(ms(8000), 100);
    assert!(sim.votes.is_empty(), "{:?}", sim.votes);
    sim.node_behavior =
        Box::new(|e, _, _, _| (if e.build == 2 { Outcome::Error } else { Outcome::Ok }, ms(30)));
    sim.run(ms(6000), 100);
    assert!(sim.has_voted(Verdict::Back) && !sim.has_voted(Verdict::Hold));
}

#[test]
fn last_stage_sends_nearly_all_picks_to_the_new_nodes() {
    let mut sim = with_trial_nodes(8);
    sim.report_stage(2, 2, RolloutState::OnTrial, 1.0, VoteReply::Unsolicited);
    sim.run(ms(8000), 100);
    let recent: Vec<_> = sim.sent_picks.iter().filter(|s| s.0 > sim.now - ms(2000)).collect();
    let new_share = recent.iter().filter(|s| s.1.build == 2).count() as f64 / recent.len() as f64;
    assert!(new_share > 0.9, "the new nodes got a share of {new_share} of the picks");
}

/// Nodes answer one RPC after the other; each takes `work` milliseconds, depending on the node's build.
fn serve_one_by_one(sim: &mut Simulation, work: impl Fn(Build) -> u64 + 'static) {
    let busy_until =
        std::cell::RefCell::new(std::collections::BTreeMap::<NodeIx, std::time::Duration>::new());
    sim.node_behavior = Box::new(move |e, _, now, _| {
        let mut busy_until = busy_until.borrow_mut();
        let next_free = busy_until.entry(e.node).or_default();
        *next_free = now.max(*next_free) + ms(work(e.build));
        (Outcome::Ok, *next_free - now)
    });
}

#[test]
fn earlier_nodes_help_when_new_nodes_are_overloaded_in_the_last_stage() {
    let mut sim = with_trial_nodes(8);
    serve_one_by_one(&mut sim, |_| 40);
    sim.report_stage(2, 2, RolloutState::OnTrial, 1.0, VoteReply::Unsolicited);
    sim.run(ms(6000), 120);
    // A burst of 300 RPCs a second: eight nodes can serve 200, sixteen 400.
    let (from, refused_before) = (sim.now, sim.pushed_back.len());
    sim.run(ms(8000), 300);
    let recent: Vec<_> = sim.sent_picks.iter().filter(|s| s.0 > from + ms(2000)).collect();
    let to_earlier = recent.iter().filter(|s| s.1.build == 1).count();
    assert!(3 * to_earlier > recent.len(), "the earlier nodes got {to_earlier} of {} picks", recent.len());
    let refused = sim.pushed_back.len() - refused_before;
    assert!(refused < 240, "{refused} of 2400 RPCs were pushed back while earlier nodes were idle");
    assert!(!sim.has_voted(Verdict::Back), "voted to roll back for load that only the new nodes were given");
}

/// A burst that comes as the last stage's five nodes start, with three warm nodes of a good build.
fn burst_in_the_last_stage(sim: &mut Simulation, work: u64, span: u64, rate: u64) {
    serve_one_by_one(sim, move |_| work);
    sim.run(ms(6000), 60);
    sim.report_stage(2, 2, RolloutState::OnTrial, 1.0, VoteReply::Unsolicited);
    (11..16).for_each(|n| sim.list_node(n, 2, Readiness::Ready, Some(sim.now)));
    sim.run(ms(400), 60);
    sim.run(ms(span), rate);
    sim.run(ms(4000), 60);
}

#[test]
fn burst_on_the_new_nodes_alone_causes_no_rollback() {
    let mut sim = with_trial_nodes(3);
    burst_in_the_last_stage(&mut sim, 40, 7000, 280);
    assert!(!sim.has_voted(Verdict::Back), "{:?}", sim.votes);
}

#[test]
fn backlog_of_a_burst_causes_no_rollback() {
    for seed in 1..9 {
        let mut sim = with_trial_nodes(3);
        sim.set_seed(seed);
        burst_in_the_last_stage(&mut sim, 60, 6000, 200);
        assert!(!sim.has_voted(Verdict::Back), "seed {seed}: {:?}", sim.votes);
    }
}

/// Other marshals' votes may release a build while this marshal pauses its traffic to test it. With in-place
/// replacement no earlier node is left then, so the pause must end at once.
#[test]
fn release_ends_a_traffic_pause_at_once() {
    let mut config = base_config();
    config.release.in_place = true;
    let mut sim = with_trial_nodes_and_config(config, 2);
    slow_all_while_build_gets_traffic(&mut sim);
    let gets_traffic =
        |sim: &Simulation| sim.sent_picks.iter().any(|s| s.1.build == 2 && s.0 + ms(1000) > sim.now);
    sim.run(ms(3000), 60);
    while gets_traffic(&sim) {
        sim.run(ms(100), 60);
        assert!(sim.now < ms(130_000), "the build's traffic was never paused");
    }
    sim.node_behavior = Box::new(|_, _, _, _| (Outcome::Ok, ms(60)));
    sim.report_stage(2, 2, RolloutState::Released, 1.0, VoteReply::Unsolicited);
    (0..8).for_each(|n| sim.list_node(n, 2, Readiness::Ready, Some(sim.now - ms(6000))));
    sim.run(ms(1000), 60);
    let refused_before = sim.pushed_back.len();
    sim.run(ms(4000), 60);
    let refused = sim.pushed_back.len() - refused_before;
    assert!(refused < 5, "{refused} of 240 RPCs were pushed back while ten nodes were idle");
}

#[test]
fn build_too_slow_for_full_load_is_rolled_back_in_the_last_stage() {
    let mut sim = with_trial_nodes(8);
    serve_one_by_one(&mut sim, |build| if build == 2 { 100 } else { 40 });
    sim.report_stage(2, 2, RolloutState::OnTrial, 1.0, VoteReply::Unsolicited);
    sim.run(ms(15_000), 120);
    assert!(sim.has_voted(Verdict::Back));
}

#[test]
fn malformed_answers_of_both_builds_cause_no_rollback() {
    for seed in 1..9 {
        let mut sim = with_trial_nodes(8);
        sim.set_seed(seed);
        sim.node_behavior = Box::new(|_, _, _, random| match random % 20 {
            0 => (Outcome::Malformed, ms(60)),
            _ => (Outcome::Ok, ms(60)),
        });
        sim.report_stage(2, 2, RolloutState::OnTrial, 1.0, VoteReply::Unsolicited);
        sim.run(ms(12_000), 100);
        sim.report_stage(2, 2, RolloutState::Released, 1.0, VoteReply::Unsolicited);
        sim.run(ms(8000), 100);
        assert!(!sim.has_voted(Verdict::Back), "seed {seed}: {:?}", sim.votes);
    }
}

#[test]
fn lateness_is_measured_again_after_congestion_in_the_last_stage() {
    let mut sim = with_trial_nodes(8);
    serve_one_by_one(&mut sim, |build| if build == 2 { 100 } else { 40 });
    sim.run(ms(4500), 60);
    sim.report_stage(2, 2, RolloutState::OnTrial, 1.0, VoteReply::Unsolicited);
    sim.run(ms(12_000), 120);
    let promote = sim.votes.iter().find(|v| v.1 == Verdict::On && v.2 == 2);
    assert!(
        promote.is_none(),
        "voted to promote a slow build after the evidence from the congestion was discarded: {promote:?}"
    );
    assert!(sim.has_voted(Verdict::Back));
}

#[test]
fn build_with_mostly_malformed_answers_is_rolled_back() {
    let mut sim = with_trial_nodes(2);
    sim.node_behavior = Box::new(|e, _, _, random| match e.build == 2 && random % 3 > 0 {
        true => (Outcome::Malformed, ms(20)),
        false => (Outcome::Ok, ms(60)),
    });
    sim.run(ms(30_000), 100);
    assert!(sim.has_voted(Verdict::Back), "{:?}", sim.votes);
}

/// A trial may begin while nodes from before the last release still drain. They must not raise the number of
/// nodes that the stage waits for (socket run churn+long).
#[test]
fn draining_nodes_do_not_raise_the_stages_node_count() {
    let mut sim = with_trial_nodes(8);
    sim.run(ms(3000), 100);
    sim.report_stage(2, 2, RolloutState::Released, 1.0, VoteReply::Unsolicited);
    sim.run(ms(200), 100);
    sim.report_stage(3, 0, RolloutState::OnTrial, 0.35, VoteReply::Unsolicited);
    (0..8).for_each(|n| sim.list_node(n, 1, Readiness::Gone, None));
    sim.run(ms(2000), 100);
    (16..18).for_each(|n| sim.list_node(n, 3, Readiness::Ready, Some(sim.now)));
    sim.run(ms(4000), 100);
    assert!(sim.votes.iter().any(|v| (v.1, v.3) == (Verdict::On, 3)), "{:?}", sim.votes.last());
}

#[test]
fn nodes_lost_after_a_traffic_pause_cause_no_rollback() {
    let mut sim = with_trial_nodes(2);
    sim.run(ms(5500), 60);
    // All nodes are slow until the build's traffic has been paused for a while, recover by chance, and are
    // slow again when nodes are lost.
    let (recovery, node_loss) = (sim.now + ms(2500), sim.now + ms(5500));
    sim.node_behavior = Box::new(move |_, _, now, random| {
        (Outcome::Ok, ms(if now < recovery || now >= node_loss { 280 } else { 50 } + random % 30))
    });
    sim.run(ms(5500), 60);
    (0..4).for_each(|n| sim.list_node(n, 1, Readiness::Gone, None));
    sim.run(ms(9000), 60);
    assert!(!sim.has_voted(Verdict::Back), "{:?}", sim.votes);
}

#[test]
fn lateness_while_nodes_change_causes_no_rollback() {
    let mut sim = with_trial_nodes(8);
    sim.run(ms(8000), 60);
    sim.report_stage(2, 2, RolloutState::Released, 1.0, VoteReply::Unsolicited);
    sim.node_behavior = Box::new(|e, _, _, _| (Outcome::Ok, ms(if e.build == 2 { 700 } else { 60 })));
    for n in 0..8 {
        sim.list_node(n, 1, Readiness::Gone, None);
        sim.run(ms(1500), 60);
    }
    assert!(!sim.has_voted(Verdict::Back), "{:?}", sim.votes);
    sim.run(ms(14_000), 60);
    assert!(sim.has_voted(Verdict::Back), "lasting lateness did not lead to a vote to roll back");
}

/// Each marshal sends each node about one RPC, so leaving out a quarter of the nodes as outliers would leave
/// out all the errors that it sees. Peers that add up each other's counts find the fault nevertheless.
#[test]
fn peers_sum_counts_so_that_a_marshal_without_traffic_votes_to_roll_back() {
    let marshal = |i: usize| {
        let mut config = base_config();
        (config.marshal, config.marshals, config.seed) = (i, 25, 50 + i as u64);
        let mut sim = Simulation::new(config, 40);
        sim.run(ms(6000), if i == 0 { 0 } else { 6 });
        sim.node_behavior = Box::new(|e, _, _, random| match e.build == 2 && random % 3 == 0 {
            true => (Outcome::Error, ms(20)),
            false => (Outcome::Ok, ms(60)),
        });
        sim.report_stage(2, 0, RolloutState::OnTrial, 0.35, VoteReply::Unsolicited);
        (40..60).for_each(|n| sim.list_node(n, 2, Readiness::Ready, Some(sim.now)));
        sim
    };
    let mut fleet: Vec<Simulation> = (0..25).map(marshal).collect();
    for _ in 0..500 {
        for from in 0..fleet.len() {
            fleet[from].tick(if from == 0 { 0 } else { 6 });
            for (to, text) in std::mem::take(&mut fleet[from].peer_messages) {
                let to = to.expect("messages go to single peers, not to all");
                assert_ne!(to, from);
                fleet[to].deliver(vec![Event::Peer { from, payload: text }]);
            }
        }
    }
    assert!(fleet[0].has_voted(Verdict::Back), "{:?}", fleet[0].votes);
}

/// Where one vote of many marshals suffices for a rollback, each marshal needs a higher confidence, since any
/// of them may be wrong (simulator run ulaanbaatar-farm big-1).
#[test]
fn single_vote_rollback_in_a_large_fleet_needs_higher_confidence() {
    let rollback_time = |marshals| {
        let mut config = base_config();
        (config.marshals, config.limits.peers) = (marshals, false);
        let mut sim = with_trial_nodes_and_config(config, 2);
        sim.node_behavior = Box::new(|e, _, _, random| match e.build == 2 && random % 3 == 0 {
            true => (Outcome::Error, ms(20)),
            false => (Outcome::Ok, ms(60)),
        });
        sim.run(ms(12_000), 100);
        sim.votes.iter().find(|v| v.1 == Verdict::Back).map(|v| v.0)
    };
    assert!(rollback_time(1).unwrap() < rollback_time(400).unwrap());
}

/// RPCs that fail at every node say nothing about a build, even where no node of an earlier build is left to
/// compare with (simulator run ulaanbaatar-farm, seed 3286355413 of the fresh days).
#[test]
fn rpcs_failing_everywhere_do_not_roll_back_a_released_build() {
    let mut sim = with_trial_nodes(8);
    sim.run(ms(7000), 100);
    sim.report_stage(2, 2, RolloutState::Released, 1.0, VoteReply::Unsolicited);
    (0..8).for_each(|n| sim.list_node(n, 1, Readiness::Gone, None));
    sim.config.methods.truncate(1); // Only the idempotent method from now on.
    sim.failing_percent = 35;
    sim.run(ms(10_000), 100);
    assert!(!sim.has_voted(Verdict::Back), "{:?}", sim.votes);
}

/// One slow method does not show that a build slows every node, so the build's traffic is not paused for a
/// test (simulator run relay-jakarta, slow_class).
#[test]
fn one_slow_method_does_not_pause_the_builds_traffic() {
    let mut config = base_config();
    config.methods.truncate(2);
    let mut sim = with_trial_nodes_and_config(config, 3);
    sim.node_behavior = Box::new(|_, method, _, _| (Outcome::Ok, ms(if method == 1 { 400 } else { 60 })));
    sim.run(ms(12_000), 100);
    let times: Vec<_> = sim.sent_picks.iter().filter(|s| s.1.build == 2).map(|s| s.0).collect();
    let gap = times.windows(2).map(|t| t[1] - t[0]).max().unwrap();
    assert!(
        gap < ms(2500) && !sim.has_voted(Verdict::Back),
        "the longest pause of the build's picks is {gap:?}"
    );
}

/// While the build's traffic is paused for a test, it builds up no arrears of traffic. Guards against many
/// marshals making up for the pause all at once (simulator run ulaanbaatar-farm big-1: 250 picks in a second
/// for three nodes).
#[test]
fn traffic_pause_is_not_made_up_for_afterwards() {
    let mut sim = with_trial_nodes(2);
    slow_all_while_build_gets_traffic(&mut sim);
    sim.run(ms(14_000), 100);
    let times: Vec<_> = sim.sent_picks.iter().filter(|s| s.1.build == 2).map(|s| s.0).collect();
    let gap =
        times.windows(2).find(|t| t[1] - t[0] > ms(3000)).expect("the build's traffic is paused for a test");
    let burst = times.iter().filter(|t| **t >= gap[1] && **t < gap[1] + ms(200)).count();
    assert!(burst <= 4, "{burst} picks within 0.2 s of the end of the pause");
}

/// A pause of the build's traffic before the stage's nodes run would test, and clear, the build at the
/// traffic of an earlier stage (simulator run ulaanbaatar-farm bb12).
#[test]
fn traffic_pause_waits_for_the_stages_nodes() {
    let mut sim = with_trial_nodes(2);
    sim.run(ms(2000), 100);
    // Two more nodes are due and not listed yet.
    sim.report_stage(2, 1, RolloutState::OnTrial, 0.7, VoteReply::Unsolicited);
    slow_all_while_build_gets_traffic(&mut sim);
    sim.run(ms(5000), 100);
    let times: Vec<_> = sim.sent_picks.iter().filter(|s| s.1.build == 2).map(|s| s.0).collect();
    let gap = times.windows(2).map(|t| t[1] - t[0]).max().unwrap().max(sim.now - *times.last().unwrap());
    assert!(gap < ms(1500), "the build's traffic was paused for {gap:?}");
}

/// One of 300 marshals with a rollout controller that takes 16 votes a second, so that 96 votes can be valid
/// at the same time.
fn few_valid_votes() -> RolloutConfig {
    let mut config = RolloutConfig { marshals: 300, ..base_config() };
    (config.release.vote_rate, config.release.promote_votes, config.release.rollback_votes) = (16.0, 180, 75);
    config
}

#[test]
fn promote_votes_that_cannot_reach_the_quorum_are_not_cast() {
    let mut sim = with_trial_nodes_and_config(few_valid_votes(), 2);
    sim.run(ms(9000), 100);
    assert!(sim.votes.is_empty(), "{:?}", sim.votes);
    let mut smaller = RolloutConfig { marshals: 100, ..few_valid_votes() };
    smaller.release.promote_votes = 60;
    let mut sim = with_trial_nodes_and_config(smaller, 2);
    sim.run(ms(9000), 100);
    assert!(sim.has_voted(Verdict::On));
}

#[test]
fn refused_rollback_vote_is_retried_within_its_lifetime() {
    let mut sim = with_trial_nodes_and_config(few_valid_votes(), 2);
    sim.node_behavior = Box::new(|e, _, _, random| match e.build == 2 && random % 2 == 0 {
        true => (Outcome::Error, ms(20)),
        false => (Outcome::Ok, ms(60)),
    });
    for _ in 0..100 {
        sim.run(ms(100), 100);
        sim.report_stage(2, 0, RolloutState::OnTrial, 0.35, VoteReply::Full);
    }
    let rollback_times: Vec<_> = sim.votes.iter().filter(|v| v.1 == Verdict::Back).map(|v| v.0).collect();
    assert!(
        rollback_times.len() > 2 && rollback_times.windows(2).all(|t| t[1] - t[0] <= ms(3200)),
        "{rollback_times:?}"
    );
}

#[test]
fn valid_vote_is_not_renewed_early_when_the_controller_is_rate_limited() {
    let mut sim = with_trial_nodes_and_config(few_valid_votes(), 2);
    sim.node_behavior = Box::new(|e, _, _, random| match e.build == 2 && random % 2 == 0 {
        true => (Outcome::Error, ms(20)),
        false => (Outcome::Ok, ms(60)),
    });
    for _ in 0..140 {
        sim.run(ms(100), 100);
        sim.report_stage(2, 0, RolloutState::OnTrial, 0.35, VoteReply::Counts);
    }
    let rollback_times: Vec<_> = sim.votes.iter().filter(|v| v.1 == Verdict::Back).map(|v| v.0).collect();
    let renewed_on_expiry = |t: &[std::time::Duration]| (ms(4000)..ms(4200)).contains(&(t[1] - t[0]));
    assert!(
        rollback_times.len() > 2 && rollback_times.windows(2).all(renewed_on_expiry),
        "{rollback_times:?}"
    );
}
