//! Seeded random runs: the five safety rules hold after every step, whatever events arrive.

use crate::simulation::{ms, terms, World};
use ivydrift_policy::port::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// An outcome and a duration, both drawn from the random number.
fn anyhow(_: &NodeEntry, _: usize, _: std::time::Duration, die: u64) -> (Outcome, std::time::Duration) {
    let outcome = match die % 16 {
        0 => Outcome::Error,
        1 => Outcome::Full,
        2 => Outcome::NoConnection,
        3 => Outcome::Reset,
        4 => return (Outcome::Ok, ms(60_000)),
        _ => Outcome::Ok,
    };
    (outcome, ms(10 + (die >> 5) % 400))
}

/// Applies the random event `op`, with `a` as its random parameter.
fn disturb(w: &mut World, op: u8, a: u64) {
    let node = (a % 8) as usize;
    let newest = w.nodes.values().map(|e| e.build).max().unwrap_or(1);
    let now = w.now;
    match op {
        0 => w.list(node, newest, Readiness::Ready, Some(now.saturating_sub(ms(a % 900)))),
        1 => w.list(node, newest.min(4) + 1, Readiness::Ready, Some(now.saturating_sub(ms(300)))),
        2 => w.list(node, w.nodes[&node].build, Readiness::Draining, w.nodes[&node].started),
        3 => w.list(node, w.nodes[&node].build, Readiness::Gone, w.nodes[&node].started),
        4 => w.tell(newest, 0, Course::OnTrial, 0.35, VoteReply::Unasked),
        5 => w.tell(newest, 1, Course::OnTrial, 0.7, VoteReply::Counts),
        6 => w.tell(newest, 1, Course::GoingBack, 0.0, VoteReply::Unasked),
        7 => w.tell(newest, 2, Course::Released, 1.0, VoteReply::Unasked),
        8 => w.tell(newest, 0, Course::OnTrial, 0.35, [VoteReply::Silent, VoteReply::Full][(a % 2) as usize]),
        9 => w.step(vec![Event::Peer { from: 1, text: a.to_le_bytes().repeat((a % 5) as usize) }]),
        10 => w.step(vec![Event::Disputed { node, method: (a % 3) as usize, age: ms(a % 4000) }]),
        11 => w.step(vec![Event::ClientLeft { rpc: 1_000_000 }]),
        15 => w.marshal.renew(&w.terms),
        16 => (0..1 + a % 3).for_each(|_| w.leave()),
        12 => w.whole(|node| a >> (node % 32) & 1 == 0),
        13 => (100..100 + a as usize % 80).for_each(|n| w.list(n, newest, Readiness::Ready, None)),
        // Peer messages that are truncated, hold absurd counts, name another build, level or length, or come
        // from unknown marshals.
        14 => (0..8).for_each(|i| {
            let mut text = [newest as u8 + i / 6, 0, (a % 12) as u8, 0].to_vec();
            text.extend(a.wrapping_mul(0x9E37_79B9_7F4A_7C15).to_le_bytes().repeat(i.into()));
            w.step(vec![Event::Peer { from: a as usize % 7 * 1000 / 6, text }]);
        }),
        _ => w.run(ms(100 + a % 1500), 20 + a % 300),
    }
}

/// Plays 48 random histories under this configuration; the simulation checks the rules after every step.
fn runs(terms: RolloutTerms) {
    let config = Config { cases: 48, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let steps = prop::collection::vec((0u8..21, 0u64..1 << 40), 1..60);
    TestRunner::new_with_rng(config, rng)
        .run(&(steps, 0u64..1 << 60), |(steps, seed)| {
            let mut w = World::new(terms.clone(), 8);
            w.seed(seed);
            w.behave = Box::new(anyhow);
            w.keys = 40;
            w.run(ms(500), 100);
            steps.into_iter().for_each(|(op, a)| disturb(&mut w, op, a));
            w.run(ms(3000), 0);
            Ok(())
        })
        .unwrap();
}

#[test]
fn rules_hold_whatever_comes() {
    runs(terms());
}

#[test]
fn rules_hold_by_method_and_with_guarded_stages() {
    let mut t = terms();
    (t.release.by_method, t.release.guarded_stages) = (true, 1);
    t.methods[1].repeat = Repeat::Tokened { group: Group::Cell, window: ms(400) };
    runs(t);
}

#[test]
fn rules_hold_with_keys_that_go_one_way() {
    let mut t = terms();
    t.release.one_way = true;
    runs(t);
}

#[test]
fn rules_hold_under_a_clock() {
    let mut t = terms();
    t.release.control = Control::Clock;
    t.limits.retry_after = None;
    runs(t);
}

#[test]
fn same_events_same_actions() {
    let history = |seed| {
        let mut w = World::new(terms(), 8);
        w.seed(seed);
        w.behave = Box::new(anyhow);
        w.run(ms(4000), 150);
        w.sends.iter().map(|s| (s.0, s.1.node, s.2)).collect::<Vec<_>>()
    };
    assert_eq!(history(5), history(5));
    assert_ne!(history(5), history(6));
}

/// 150 marshals with little traffic each and a single cold node left: together they keep within the node's
/// slow-start budget.
#[test]
fn many_marshals_together_do_not_push_a_cold_node_over() {
    let marshal = |i| {
        let mut t = terms();
        (t.marshal, t.marshals, t.seed) = (i, 150, 1000 + i as u64);
        let mut w = World::new(t, 8);
        w.seed(77 + i as u64);
        w
    };
    let mut crowd: Vec<World> = (0..150).map(marshal).collect();
    let start = crowd[0].now + ms(4000);
    while crowd[0].now < start + ms(3000) {
        for w in &mut crowd {
            if w.now == start {
                w.list(0, 1, Readiness::Ready, Some(start));
                w.whole(|node| node == 0);
            }
            w.tick(2);
        }
    }
    let all = crowd.iter().flat_map(|w| &w.sends).filter(|s| s.1.node == 0 && s.0 >= start);
    let sent: Vec<_> = all.map(|s| s.0).collect();
    assert!(sent.len() > 20, "the cold node got {} picks", sent.len());
    // Only the first 0.4 s: after that the node's own answers raise its known capacity.
    for t in 0..4 {
        let (from, to) = (start + ms(100 * t), start + ms(100 * t + 1000));
        let picks = sent.iter().filter(|&&at| at > from && at <= to).count() as f64;
        // The fall multiple, 3, times the part of a node's share of 300 RPCs a second that is warm at the
        // window's start.
        let most = 3.0 * (0.4 + 0.6 * 0.1 * t as f64 / 4.0) * 300.0 / 8.0;
        assert!(picks <= most, "{picks} picks within a second, the budget is {most}");
    }
}

/// Exposure accounting survives a configuration change: picks sent under the earlier configuration count
/// under the new one, by method or in total. Most nodes run the build on trial, so the cap binds.
#[test]
fn rules_hold_while_terms_change_between_two_ways_of_counting() {
    let mut w = World::new(terms(), 8);
    w.seed(3);
    w.run(ms(3000), 100);
    (1..8).for_each(|n| w.list(n, 2, Readiness::Ready, Some(ms(90_000))));
    w.tell(2, 0, Course::OnTrial, 0.35, VoteReply::Unasked);
    for round in 0..40 {
        w.terms.release.by_method = round % 2 == 0;
        w.marshal.renew(&w.terms);
        w.run(ms(700 + 70 * (round % 5)), 100);
    }
    let sent = w.sends.iter().filter(|s| s.1.build == 2).count();
    assert!(sent > 500, "the exposure cap did not bind: {sent} picks at the build on trial");
}
