//! One of many marshals with a rollout controller that counts a sample of all picks: what its counts decide,
//! and how votes share its limited rate.

use ivydrift_policy::port::*;

use crate::simulation::{base_config, ms, Simulation};

/// One of 300 marshals, a rollout controller that takes 80 votes a second, and a build on trial on two nodes
/// beside eight of the earlier build.
fn fleet_member_on_trial() -> Simulation {
    let mut config = RolloutConfig { marshals: 300, ..base_config() };
    (config.release.vote_rate, config.release.promote_votes, config.release.rollback_votes) = (80.0, 180, 75);
    let mut sim = Simulation::new(config, 8);
    sim.run(ms(3000), 5);
    sim.report_stage(2, 0, RolloutState::OnTrial, 0.35, VoteReply::Unsolicited);
    let now = sim.now;
    (8..10).for_each(|n| sim.list_node(n, 2, Readiness::Ready, Some(now)));
    sim
}

/// Reports the rollout controller's counts for one period: `failed` percent of the picks at the build on
/// trial failed, and 1 percent of those at the earlier build.
fn report_counts(sim: &mut Simulation, failed: u32) {
    for (build, picks, failed) in [(2, 50, failed / 2), (1, 500, 5)] {
        let (mean, age) = (ms(60), ms(700));
        sim.deliver(vec![Event::ControllerCounts { build, method: 0, picks, failed, mean, age }]);
    }
}

/// Runs for `seconds`, reporting counts each second where `failed` is given, and returns the milliseconds
/// until the first vote with this verdict.
fn first_vote_ms(sim: &mut Simulation, verdict: Verdict, seconds: u64, failed: Option<u32>) -> Option<u64> {
    let start = sim.now;
    for _ in 0..seconds {
        sim.run(ms(1000), 5);
        failed.into_iter().for_each(|failed| report_counts(sim, failed));
    }
    sim.votes.iter().find(|v| v.1 == verdict).map(|v| (v.0 - start).as_millis() as u64)
}

#[test]
fn controller_counts_shorten_the_wait_for_a_vote_to_promote() {
    let without_counts = first_vote_ms(&mut fleet_member_on_trial(), Verdict::On, 8, None).unwrap();
    let with_counts = first_vote_ms(&mut fleet_member_on_trial(), Verdict::On, 8, Some(1)).unwrap();
    assert!((4900..5300).contains(&without_counts), "{without_counts} ms without the controller's counts");
    assert!((2400..2800).contains(&with_counts), "{with_counts} ms with the controller's counts");
}

/// The node list names new nodes seconds after their start, so the minimum observation time, which counts
/// from the start, can pass before any marshal could send to them; counts of earlier stages say nothing of
/// them. Guards against a vote to promote on elapsed time alone.
#[test]
fn promotion_waits_for_enough_controller_counts() {
    let promote_delay_ms = |counts: &[u32]| {
        let mut sim = fleet_member_on_trial();
        sim.run(ms(2000), 5);
        report_counts(&mut sim, 1);
        sim.report_stage(2, 1, RolloutState::OnTrial, 0.7, VoteReply::Unsolicited);
        // Nodes that start right after the stage begins and are listed 2.4 s later.
        let start = sim.now;
        sim.run(ms(2400), 5);
        (10..12).for_each(|n| sim.list_node(n, 2, Readiness::Ready, Some(start)));
        let (listed, votes_before) = (sim.now, sim.votes.len());
        for picks in counts {
            sim.run(ms(1000), 5);
            let age = ms(700);
            for (build, picks) in [(1, 500), (2, *picks)] {
                sim.deliver(vec![Event::ControllerCounts {
                    build,
                    method: 0,
                    picks,
                    failed: 0,
                    mean: ms(60),
                    age,
                }]);
            }
        }
        let mut later = sim.votes[votes_before..].iter();
        later.find(|v| v.1 == Verdict::On && v.2 == 1).map(|v| (v.0 - listed).as_millis())
    };
    let with_enough = promote_delay_ms(&[20, 20, 20, 20]).unwrap();
    assert!(
        (2000..2400).contains(&with_enough),
        "{with_enough} ms: the second report brings the controller's counts above 30 outcomes"
    );
    assert_eq!(promote_delay_ms(&[5, 5, 5, 5, 5]), None, "voted to promote on 25 counted outcomes");
    // Where the controller counts next to nothing of the build, the vote is delayed by no more than this.
    let with_none = promote_delay_ms(&[0; 14]).unwrap();
    assert!((7000..9000).contains(&with_none), "{with_none} ms");
}

#[test]
fn build_failing_in_controller_counts_is_rolled_back_not_promoted() {
    // 14 percent fail: with the confidence interval for unknown variance, the verdict takes some 500
    // outcomes.
    let mut sim = fleet_member_on_trial();
    let rollback_ms = first_vote_ms(&mut sim, Verdict::Back, 9, Some(15));
    assert!(rollback_ms.is_some_and(|ms| ms < 8000), "{rollback_ms:?}");
    assert!(!sim.has_voted(Verdict::On));
    // 40 percent fail: two of the controller's periods suffice, though this marshal itself saw too little.
    let rollback_ms = first_vote_ms(&mut fleet_member_on_trial(), Verdict::Back, 6, Some(40));
    assert!(rollback_ms.is_some_and(|ms| ms < 3000), "{rollback_ms:?}");
    // 4 percent, as cold nodes cost a good build, are within the margin.
    let mut sim = fleet_member_on_trial();
    assert_eq!(first_vote_ms(&mut sim, Verdict::Back, 9, Some(4)), None);
    assert!(sim.has_voted(Verdict::On));
}

#[test]
fn refused_votes_are_retried_soon_with_jitter() {
    let mut gaps = std::collections::BTreeSet::new();
    for seed in 0..12 {
        let mut config = RolloutConfig { marshals: 300, seed, ..base_config() };
        (config.release.vote_rate, config.release.promote_votes) = (80.0, 180);
        let mut sim = Simulation::new(config, 8);
        sim.report_stage(2, 0, RolloutState::OnTrial, 0.35, VoteReply::Unsolicited);
        let now = sim.now;
        (8..10).for_each(|n| sim.list_node(n, 2, Readiness::Ready, Some(now)));
        while sim.votes.len() < 2 && sim.now < now + ms(12_000) {
            sim.run(ms(20), 5);
            if sim.votes.len() == 1 && sim.now - sim.votes[0].0 < ms(40) {
                sim.report_stage(2, 0, RolloutState::OnTrial, 0.35, VoteReply::Full);
            }
        }
        gaps.insert((sim.votes[1].0 - sim.votes[0].0).as_millis() as u64 / 100);
    }
    // 300 votes at 80 a second take 3.75 s; refused votes are retried at random within some two fifths of
    // that.
    let (least, most) = (gaps.first().copied().unwrap(), gaps.last().copied().unwrap());
    assert!(
        least >= 2 && most <= 18 && most - least >= 6 && gaps.len() >= 4,
        "gaps before the second vote, in tenths of a second: {gaps:?}"
    );
}

#[test]
fn votes_with_a_short_lifetime_are_retried() {
    let mut config = RolloutConfig { marshals: 300, ..base_config() };
    (config.release.vote_rate, config.release.promote_votes) = (80.0, 100);
    config.release.vote_life = ms(300);
    let mut sim = Simulation::new(config, 8);
    sim.report_stage(2, 0, RolloutState::OnTrial, 0.35, VoteReply::Unsolicited);
    let now = sim.now;
    (8..10).for_each(|n| sim.list_node(n, 2, Readiness::Ready, Some(now)));
    for _ in 0..100 {
        sim.run(ms(100), 5);
        sim.report_stage(2, 0, RolloutState::OnTrial, 0.35, VoteReply::Full);
    }
    assert!(sim.votes.len() > 5, "{} votes in 10 s", sim.votes.len());
}
