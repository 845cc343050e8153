//! Votes on a build: which evidence leads to a vote to promote or to roll back, and which must not, one case
//! each.

use crate::simulation::{ms, terms, World};
use ivydrift_policy::port::*;

/// Eight warm nodes of build 1 that have served for 6 s, then `trial` new nodes of build 2 in stage 0.
pub fn on_trial(trial: usize) -> World {
    on_trial_by(terms(), trial)
}

/// As `on_trial`, under the given configuration.
fn on_trial_by(terms: RolloutTerms, trial: usize) -> World {
    let mut w = World::new(terms, 8);
    w.run(ms(6000), 100);
    w.tell(2, 0, Course::OnTrial, 0.35, VoteReply::Unasked);
    (8..8 + trial).for_each(|n| w.list(n, 2, Readiness::Ready, Some(w.now)));
    w
}

#[test]
fn a_good_build_is_voted_on_and_the_vote_is_renewed() {
    let mut w = on_trial(2);
    w.run(ms(2000), 100);
    assert!(!w.voted(Verdict::On), "voted to promote before the minimum observation time");
    w.run(ms(3000), 100);
    w.tell(2, 0, Course::OnTrial, 0.35, VoteReply::Counts);
    w.run(ms(6000), 100);
    assert!(!w.voted(Verdict::Back));
    let on: Vec<_> = w.votes.iter().filter(|v| v.1 == Verdict::On).map(|v| v.0).collect();
    assert!(on.len() >= 2 && on.windows(2).all(|t| t[1] - t[0] < ms(4000)), "{on:?}");
}

#[test]
fn a_lost_vote_is_cast_again() {
    let mut w = on_trial(2);
    w.run(ms(4500), 100);
    let first = w.votes.len();
    w.tell(2, 0, Course::OnTrial, 0.35, VoteReply::Silent);
    w.run(ms(1500), 100);
    assert!(first >= 1 && w.votes.len() > first);
}

#[test]
fn a_build_that_errs_is_voted_back_at_once_also_on_young_nodes() {
    let mut w = on_trial(2);
    w.behave = Box::new(|e, _, _, die| match e.build == 2 && die % 3 == 0 {
        true => (Outcome::Error, ms(20)),
        false => (Outcome::Ok, ms(60)),
    });
    w.run(ms(5000), 100);
    assert!(w.voted(Verdict::Back));
}

#[test]
fn a_build_bad_in_one_method_is_voted_back() {
    let mut w = on_trial(2);
    w.behave = Box::new(|e, method, _, _| match e.build == 2 && method == 1 {
        true => (Outcome::Error, ms(20)),
        false => (Outcome::Ok, ms(60)),
    });
    w.run(ms(6000), 100);
    assert!(w.voted(Verdict::Back));
}

#[test]
fn quick_errors_on_nodes_of_both_builds_convict_neither() {
    let mut w = on_trial(1);
    w.run(ms(6000), 100);
    let struck = w.now + ms(4000);
    w.behave = Box::new(move |e, _, now, _| match (e.node == 8 || e.node == 0) && now < struck {
        true => (Outcome::Error, ms(5)),
        false => (Outcome::Ok, ms(60)),
    });
    w.run(ms(9000), 100);
    assert!(!w.voted(Verdict::Back));
}

#[test]
fn slow_answers_of_cold_nodes_are_not_held_against_the_build() {
    let mut w = on_trial(2);
    let warm = w.now + ms(4500);
    w.behave = Box::new(move |e, _, now, _| match e.build == 2 && now < warm {
        true => (Outcome::Ok, ms(900)),
        false => (Outcome::Ok, ms(60)),
    });
    w.run(ms(10_000), 100);
    assert!(!w.voted(Verdict::Back));
}

#[test]
fn a_slow_build_is_voted_back() {
    let mut w = on_trial(4);
    w.behave = Box::new(|e, _, _, die| (Outcome::Ok, ms(if e.build == 2 { 240 } else { 40 } + die % 40)));
    w.run(ms(16_000), 100);
    assert!(w.voted(Verdict::Back));
}

/// All nodes are slow while the build on trial has got a pick within the last half second.
fn in_step(w: &mut World) {
    let fed = std::rc::Rc::new(std::cell::Cell::new(w.now));
    w.behave = Box::new(move |e, _, now, die| {
        if e.build == 2 {
            fed.set(now);
        }
        (Outcome::Ok, ms(if now < fed.get() + ms(500) { 280 } else { 50 } + die % 30))
    });
}

#[test]
fn a_build_that_slows_every_node_is_found_out_by_abstaining() {
    let mut w = on_trial(2);
    in_step(&mut w);
    w.run(ms(20_000), 60);
    assert!(w.voted(Verdict::Back));
}

#[test]
fn a_slow_dependency_is_told_from_a_build_that_slows_every_node() {
    let mut w = on_trial(2);
    w.run(ms(5500), 60);
    w.behave = Box::new(|_, _, _, die| (Outcome::Ok, ms(250 + die % 30)));
    w.run(ms(14_000), 60);
    assert!(!w.voted(Verdict::Back));
}

#[test]
fn a_released_build_is_watched_against_the_earlier_ones_record() {
    let mut w = on_trial(8);
    w.run(ms(8000), 100);
    w.tell(2, 2, Course::Released, 1.0, VoteReply::Unasked);
    (0..8).for_each(|n| w.list(n, 1, Readiness::Gone, None));
    w.run(ms(4000), 100);
    assert!(!w.voted(Verdict::Back));
    w.behave = Box::new(|_, _, _, die| (if die % 4 == 0 { Outcome::Error } else { Outcome::Ok }, ms(60)));
    w.run(ms(8000), 100);
    assert!(w.voted(Verdict::Back));
}

#[test]
fn nothing_is_voted_on_under_a_clock_but_back_is() {
    let mut t = terms();
    t.release.control = Control::Clock;
    let mut w = World::new(t, 8);
    w.run(ms(6000), 100);
    w.tell(2, 0, Course::OnTrial, 0.35, VoteReply::Unasked);
    (8..10).for_each(|n| w.list(n, 2, Readiness::Ready, Some(w.now)));
    w.run(ms(8000), 100);
    assert!(w.votes.is_empty(), "{:?}", w.votes);
    w.behave = Box::new(|e, _, _, _| (if e.build == 2 { Outcome::Error } else { Outcome::Ok }, ms(30)));
    w.run(ms(6000), 100);
    assert!(w.voted(Verdict::Back) && !w.voted(Verdict::Hold));
}

#[test]
fn the_last_stage_beside_earlier_machines_is_a_rehearsal() {
    let mut w = on_trial(8);
    w.tell(2, 2, Course::OnTrial, 1.0, VoteReply::Unasked);
    w.run(ms(8000), 100);
    let late: Vec<_> = w.sends.iter().filter(|s| s.0 > w.now - ms(2000)).collect();
    let new = late.iter().filter(|s| s.1.build == 2).count() as f64 / late.len() as f64;
    assert!(new > 0.9, "the new nodes got a share of {new} of the picks");
}

/// Nodes answer one RPC after the other; each takes `work` milliseconds, depending on the node's build.
fn queues(w: &mut World, work: impl Fn(Build) -> u64 + 'static) {
    let busy = std::cell::RefCell::new(std::collections::BTreeMap::<NodeIx, std::time::Duration>::new());
    w.behave = Box::new(move |e, _, now, _| {
        let mut busy = busy.borrow_mut();
        let free = busy.entry(e.node).or_default();
        *free = now.max(*free) + ms(work(e.build));
        (Outcome::Ok, *free - now)
    });
}

#[test]
fn the_rehearsal_ends_where_the_new_nodes_alone_cannot_take_the_load() {
    let mut w = on_trial(8);
    queues(&mut w, |_| 40);
    w.tell(2, 2, Course::OnTrial, 1.0, VoteReply::Unasked);
    w.run(ms(6000), 120);
    // A burst of 300 RPCs a second: eight nodes can serve 200, sixteen 400.
    let (from, turned_away) = (w.now, w.pushed_back.len());
    w.run(ms(8000), 300);
    let late: Vec<_> = w.sends.iter().filter(|s| s.0 > from + ms(2000)).collect();
    let old = late.iter().filter(|s| s.1.build == 1).count();
    assert!(3 * old > late.len(), "the earlier nodes got {old} of {} picks", late.len());
    let lost = w.pushed_back.len() - turned_away;
    assert!(lost < 240, "{lost} of 2400 RPCs were pushed back while earlier nodes were idle");
    assert!(!w.voted(Verdict::Back), "voted to roll back for load that only the new nodes were given");
}

/// A burst that comes as the last stage's five nodes start, with three warm nodes of a good build.
fn burst_in_the_last_stage(w: &mut World, work: u64, span: u64, rate: u64) {
    queues(w, move |_| work);
    w.run(ms(6000), 60);
    w.tell(2, 2, Course::OnTrial, 1.0, VoteReply::Unasked);
    (11..16).for_each(|n| w.list(n, 2, Readiness::Ready, Some(w.now)));
    w.run(ms(400), 60);
    w.run(ms(span), rate);
    w.run(ms(4000), 60);
}

#[test]
fn what_the_new_nodes_met_alone_in_a_burst_is_not_held_against_the_build() {
    let mut w = on_trial(3);
    burst_in_the_last_stage(&mut w, 40, 7000, 280);
    assert!(!w.voted(Verdict::Back), "{:?}", w.votes);
}

#[test]
fn the_backlog_of_a_burst_is_not_held_against_the_build() {
    for seed in 1..9 {
        let mut w = on_trial(3);
        w.seed(seed);
        burst_in_the_last_stage(&mut w, 60, 6000, 200);
        assert!(!w.voted(Verdict::Back), "seed {seed}: {:?}", w.votes);
    }
}

/// Other marshals' votes may release a build while this marshal pauses its traffic to test it. With in-place
/// replacement no earlier node is left then, so the pause must end at once.
#[test]
fn a_build_that_is_released_during_the_test_by_abstention_is_sent_all_again() {
    let mut t = terms();
    t.release.in_place = true;
    let mut w = on_trial_by(t, 2);
    in_step(&mut w);
    let fed = |w: &World| w.sends.iter().any(|s| s.1.build == 2 && s.0 + ms(1000) > w.now);
    w.run(ms(3000), 60);
    while fed(&w) {
        w.run(ms(100), 60);
        assert!(w.now < ms(130_000), "the build's traffic was never paused");
    }
    w.behave = Box::new(|_, _, _, _| (Outcome::Ok, ms(60)));
    w.tell(2, 2, Course::Released, 1.0, VoteReply::Unasked);
    (0..8).for_each(|n| w.list(n, 2, Readiness::Ready, Some(w.now - ms(6000))));
    w.run(ms(1000), 60);
    let turned_away = w.pushed_back.len();
    w.run(ms(4000), 60);
    let more = w.pushed_back.len() - turned_away;
    assert!(more < 5, "{more} of 240 RPCs were pushed back while ten nodes were idle");
}

#[test]
fn a_build_too_slow_for_the_load_of_the_release_is_found_out_beside_the_earlier_nodes() {
    let mut w = on_trial(8);
    queues(&mut w, |build| if build == 2 { 100 } else { 40 });
    w.tell(2, 2, Course::OnTrial, 1.0, VoteReply::Unasked);
    w.run(ms(15_000), 120);
    assert!(w.voted(Verdict::Back));
}

#[test]
fn answers_spoilt_at_any_node_alike_are_not_held_against_the_build() {
    for seed in 1..9 {
        let mut w = on_trial(8);
        w.seed(seed);
        w.behave = Box::new(|_, _, _, die| match die % 20 {
            0 => (Outcome::Garbled, ms(60)),
            _ => (Outcome::Ok, ms(60)),
        });
        w.tell(2, 2, Course::OnTrial, 1.0, VoteReply::Unasked);
        w.run(ms(12_000), 100);
        w.tell(2, 2, Course::Released, 1.0, VoteReply::Unasked);
        w.run(ms(8000), 100);
        assert!(!w.voted(Verdict::Back), "seed {seed}: {:?}", w.votes);
    }
}

#[test]
fn after_a_crowd_in_the_last_stage_lateness_is_looked_at_anew_before_the_vote_on() {
    let mut w = on_trial(8);
    queues(&mut w, |build| if build == 2 { 100 } else { 40 });
    w.run(ms(4500), 60);
    w.tell(2, 2, Course::OnTrial, 1.0, VoteReply::Unasked);
    w.run(ms(12_000), 120);
    let on = w.votes.iter().find(|v| v.1 == Verdict::On && v.2 == 2);
    assert!(
        on.is_none(),
        "voted to promote a slow build after the evidence from the congestion was discarded: {on:?}"
    );
    assert!(w.voted(Verdict::Back));
}

#[test]
fn a_build_that_spoils_most_answers_is_voted_back() {
    let mut w = on_trial(2);
    w.behave = Box::new(|e, _, _, die| match e.build == 2 && die % 3 > 0 {
        true => (Outcome::Garbled, ms(20)),
        false => (Outcome::Ok, ms(60)),
    });
    w.run(ms(30_000), 100);
    assert!(w.voted(Verdict::Back), "{:?}", w.votes);
}

/// A trial may begin while nodes from before the last release still drain. They must not raise the number of
/// nodes that the stage waits for (socket run churn+long).
#[test]
fn a_stage_s_machines_are_counted_against_the_places_that_there_are() {
    let mut w = on_trial(8);
    w.run(ms(3000), 100);
    w.tell(2, 2, Course::Released, 1.0, VoteReply::Unasked);
    w.run(ms(200), 100);
    w.tell(3, 0, Course::OnTrial, 0.35, VoteReply::Unasked);
    (0..8).for_each(|n| w.list(n, 1, Readiness::Gone, None));
    w.run(ms(2000), 100);
    (16..18).for_each(|n| w.list(n, 3, Readiness::Ready, Some(w.now)));
    w.run(ms(4000), 100);
    assert!(w.votes.iter().any(|v| (v.1, v.3) == (Verdict::On, 3)), "{:?}", w.votes.last());
}

#[test]
fn nodes_lost_after_the_test_by_abstention_are_not_held_against_the_build() {
    let mut w = on_trial(2);
    w.run(ms(5500), 60);
    // All nodes are slow until the build's traffic has been paused for a while, recover by chance, and are
    // slow again when nodes are lost.
    let (eased, lost) = (w.now + ms(2500), w.now + ms(5500));
    w.behave = Box::new(move |_, _, now, die| {
        (Outcome::Ok, ms(if now < eased || now >= lost { 280 } else { 50 } + die % 30))
    });
    w.run(ms(5500), 60);
    (0..4).for_each(|n| w.list(n, 1, Readiness::Gone, None));
    w.run(ms(9000), 60);
    assert!(!w.voted(Verdict::Back), "{:?}", w.votes);
}

#[test]
fn lateness_while_nodes_come_and_go_is_not_held_against_a_released_build() {
    let mut w = on_trial(8);
    w.run(ms(8000), 60);
    w.tell(2, 2, Course::Released, 1.0, VoteReply::Unasked);
    w.behave = Box::new(|e, _, _, _| (Outcome::Ok, ms(if e.build == 2 { 700 } else { 60 })));
    for n in 0..8 {
        w.list(n, 1, Readiness::Gone, None);
        w.run(ms(1500), 60);
    }
    assert!(!w.voted(Verdict::Back), "{:?}", w.votes);
    w.run(ms(14_000), 60);
    assert!(w.voted(Verdict::Back), "lasting lateness did not lead to a vote to roll back");
}

/// Each marshal sends each node about one RPC, so leaving out a quarter of the nodes as outliers would leave
/// out all the errors that it sees. Peers that add up each other's counts find the fault nevertheless.
#[test]
fn peers_sum_counts_in_rings_so_that_a_marshal_without_traffic_votes_back() {
    let marshal = |i: usize| {
        let mut t = terms();
        (t.marshal, t.marshals, t.seed) = (i, 25, 50 + i as u64);
        let mut w = World::new(t, 40);
        w.run(ms(6000), if i == 0 { 0 } else { 6 });
        w.behave = Box::new(|e, _, _, die| match e.build == 2 && die % 3 == 0 {
            true => (Outcome::Error, ms(20)),
            false => (Outcome::Ok, ms(60)),
        });
        w.tell(2, 0, Course::OnTrial, 0.35, VoteReply::Unasked);
        (40..60).for_each(|n| w.list(n, 2, Readiness::Ready, Some(w.now)));
        w
    };
    let mut crowd: Vec<World> = (0..25).map(marshal).collect();
    for _ in 0..500 {
        for from in 0..crowd.len() {
            crowd[from].tick(if from == 0 { 0 } else { 6 });
            for (to, text) in std::mem::take(&mut crowd[from].told) {
                let to = to.expect("messages go to single peers, not to all");
                assert_ne!(to, from);
                crowd[to].step(vec![Event::Peer { from, text }]);
            }
        }
    }
    assert!(crowd[0].voted(Verdict::Back), "{:?}", crowd[0].votes);
}

/// Where one vote of many marshals suffices for a rollback, each marshal needs a higher confidence, since any
/// of them may be wrong (simulator run ulaanbaatar-farm big-1).
#[test]
fn one_of_many_marshals_is_surer_before_it_sends_a_build_back_alone() {
    let found = |marshals| {
        let mut t = terms();
        (t.marshals, t.limits.peers) = (marshals, false);
        let mut w = on_trial_by(t, 2);
        w.behave = Box::new(|e, _, _, die| match e.build == 2 && die % 3 == 0 {
            true => (Outcome::Error, ms(20)),
            false => (Outcome::Ok, ms(60)),
        });
        w.run(ms(12_000), 100);
        w.votes.iter().find(|v| v.1 == Verdict::Back).map(|v| v.0)
    };
    assert!(found(1).unwrap() < found(400).unwrap());
}

/// RPCs that fail at every node say nothing about a build, even where no node of an earlier build is left to
/// compare with (simulator run ulaanbaatar-farm, seed 3286355413 of the fresh days).
#[test]
fn bad_rpcs_do_not_send_a_released_build_back() {
    let mut w = on_trial(8);
    w.run(ms(7000), 100);
    w.tell(2, 2, Course::Released, 1.0, VoteReply::Unasked);
    (0..8).for_each(|n| w.list(n, 1, Readiness::Gone, None));
    w.terms.methods.truncate(1); // Only the idempotent method from now on.
    w.bad = 35;
    w.run(ms(10_000), 100);
    assert!(!w.voted(Verdict::Back), "{:?}", w.votes);
}

/// One slow method does not show that a build slows every node, so the build's traffic is not paused for a
/// test (simulator run relay-jakarta, slow_class).
#[test]
fn one_slow_method_starts_no_test_by_abstention() {
    let mut t = terms();
    t.methods.truncate(2);
    let mut w = on_trial_by(t, 3);
    w.behave = Box::new(|_, method, _, _| (Outcome::Ok, ms(if method == 1 { 400 } else { 60 })));
    w.run(ms(12_000), 100);
    let times: Vec<_> = w.sends.iter().filter(|s| s.1.build == 2).map(|s| s.0).collect();
    let gap = times.windows(2).map(|t| t[1] - t[0]).max().unwrap();
    assert!(gap < ms(2500) && !w.voted(Verdict::Back), "the longest pause of the build's picks is {gap:?}");
}

/// While the build's traffic is paused for a test, it builds up no arrears of traffic. Guards against many
/// marshals making up for the pause all at once (simulator run ulaanbaatar-farm big-1: 250 picks in a second
/// for three nodes).
#[test]
fn nothing_is_owed_to_a_build_after_the_test_by_abstention() {
    let mut w = on_trial(2);
    in_step(&mut w);
    w.run(ms(14_000), 100);
    let times: Vec<_> = w.sends.iter().filter(|s| s.1.build == 2).map(|s| s.0).collect();
    let gap =
        times.windows(2).find(|t| t[1] - t[0] > ms(3000)).expect("the build's traffic is paused for a test");
    let burst = times.iter().filter(|t| **t >= gap[1] && **t < gap[1] + ms(200)).count();
    assert!(burst <= 4, "{burst} picks within 0.2 s of the end of the pause");
}

/// A pause of the build's traffic before the stage's nodes run would test, and clear, the build at the
/// traffic of an earlier stage (simulator run ulaanbaatar-farm bb12).
#[test]
fn the_test_by_abstention_waits_for_the_stage_s_machines() {
    let mut w = on_trial(2);
    w.run(ms(2000), 100);
    w.tell(2, 1, Course::OnTrial, 0.7, VoteReply::Unasked); // Two more nodes are due and not listed yet.
    in_step(&mut w);
    w.run(ms(5000), 100);
    let times: Vec<_> = w.sends.iter().filter(|s| s.1.build == 2).map(|s| s.0).collect();
    let gap = times.windows(2).map(|t| t[1] - t[0]).max().unwrap().max(w.now - *times.last().unwrap());
    assert!(gap < ms(1500), "the build's traffic was paused for {gap:?}");
}

/// One of 300 marshals with a rollout controller that takes 16 votes a second, so that 96 votes can be valid
/// at the same time.
fn few_votes() -> RolloutTerms {
    let mut terms = RolloutTerms { marshals: 300, ..terms() };
    (terms.release.vote_rate, terms.release.on_votes, terms.release.back_votes) = (16.0, 180, 75);
    terms
}

#[test]
fn votes_on_that_cannot_stand_together_are_not_cast() {
    let mut w = on_trial_by(few_votes(), 2);
    w.run(ms(9000), 100);
    assert!(w.votes.is_empty(), "{:?}", w.votes);
    let mut some = RolloutTerms { marshals: 100, ..few_votes() };
    some.release.on_votes = 60;
    let mut w = on_trial_by(some, 2);
    w.run(ms(9000), 100);
    assert!(w.voted(Verdict::On));
}

#[test]
fn a_vote_back_that_was_turned_away_is_cast_again_within_its_life() {
    let mut w = on_trial_by(few_votes(), 2);
    w.behave = Box::new(|e, _, _, die| match e.build == 2 && die % 2 == 0 {
        true => (Outcome::Error, ms(20)),
        false => (Outcome::Ok, ms(60)),
    });
    for _ in 0..100 {
        w.run(ms(100), 100);
        w.tell(2, 0, Course::OnTrial, 0.35, VoteReply::Full);
    }
    let back: Vec<_> = w.votes.iter().filter(|v| v.1 == Verdict::Back).map(|v| v.0).collect();
    assert!(back.len() > 2 && back.windows(2).all(|t| t[1] - t[0] <= ms(3200)), "{back:?}");
}

#[test]
fn a_vote_that_stands_is_not_renewed_early_where_the_desk_cannot_take_them_all() {
    let mut w = on_trial_by(few_votes(), 2);
    w.behave = Box::new(|e, _, _, die| match e.build == 2 && die % 2 == 0 {
        true => (Outcome::Error, ms(20)),
        false => (Outcome::Ok, ms(60)),
    });
    for _ in 0..140 {
        w.run(ms(100), 100);
        w.tell(2, 0, Course::OnTrial, 0.35, VoteReply::Counts);
    }
    let back: Vec<_> = w.votes.iter().filter(|v| v.1 == Verdict::Back).map(|v| v.0).collect();
    let gaps = |t: &[std::time::Duration]| (ms(4000)..ms(4200)).contains(&(t[1] - t[0]));
    assert!(back.len() > 2 && back.windows(2).all(gaps), "{back:?}");
}
