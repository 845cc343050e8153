//! Properties of membership, on simulated fleets in virtual time with injected faults.

mod sim;

use ivydrift_members::message::State;
use sim::{ms, secs, Simulation, StateChange};

#[test]
fn a_new_fleet_converges_and_the_same_seed_gives_the_same_run() {
    for count in [3, 30, 120] {
        let mut first = Simulation::new(count, 7);
        let took = first.converge_within(secs(30));
        assert!(took.is_some(), "{count} members did not converge");
        let mut second = Simulation::new(count, 7);
        second.run_until(first.now);
        assert_eq!(first.changes, second.changes);
    }
}

#[test]
fn deaths_are_detected_by_all_without_false_positives() {
    for seed in 0..10 {
        let mut sim = Simulation::new(30, seed);
        sim.converge_within(secs(30)).expect("the fleet converges");
        let from = sim.now;
        sim.kill(11);
        sim.kill(12);
        let took = sim.converge_within(secs(20));
        assert!(took.is_some_and(|t| t < secs(12)), "seed {seed}: declared dead after {took:?}");
        assert!(sim.deaths_since(from).iter().all(|s| s.of == 11 || s.of == 12));
    }
}

#[test]
fn no_false_positives_in_an_hour_at_5_percent_loss() {
    let mut sim = Simulation::new(12, 3);
    sim.loss = 0.05;
    sim.duplication = 0.02;
    sim.delay = [ms(1), ms(30)];
    sim.converge_within(secs(30)).expect("the fleet converges");
    let from = sim.now;
    sim.run(secs(3600));
    assert_eq!(sim.deaths_since(from), []);
    assert!(sim.converged() || sim.converge_within(secs(10)).is_some());
}

#[test]
fn a_death_is_detected_with_few_false_positives_at_30_percent_loss() {
    let mut sim = Simulation::new(24, 5);
    sim.loss = 0.3;
    sim.converge_within(secs(60)).expect("the fleet converges");
    let from = sim.now;
    sim.kill(3);
    sim.run(secs(60));
    let dead = sim.deaths_since(from);
    let found: std::collections::BTreeSet<_> = dead.iter().filter(|s| s.of == 3).map(|s| s.by).collect();
    assert_eq!(found.len(), 23);
    let wrong = dead.iter().filter(|s| s.of != 3).count();
    assert!(
        wrong <= 2 * 23,
        "{wrong} live members declared dead: more than two such updates reached everybody"
    );
}

#[test]
fn a_partition_heals_by_itself() {
    let mut sim = Simulation::new(24, 9);
    sim.converge_within(secs(30)).expect("the fleet converges");
    sim.cut = Box::new(|a, b| (a < 12) != (b < 12));
    sim.run(secs(30));
    assert_eq!(sim.state(0, 23), State::Dead);
    assert_eq!((sim.state(0, 11), sim.state(23, 12)), (State::Alive, State::Alive));
    sim.cut = Box::new(|_, _| false);
    let took = sim.converge_within(secs(30));
    assert!(took.is_some(), "the two halves did not converge again");
}

#[test]
fn a_member_that_receives_nothing_causes_no_other_false_positives() {
    // All datagrams to member 5 are lost, so it sees the whole fleet silent; what it sends arrives.
    let mut sim = Simulation::new(24, 2);
    sim.converge_within(secs(30)).expect("the fleet converges");
    let from = sim.now;
    sim.cut = Box::new(|_, to| to == 5);
    sim.run(secs(40));
    let wrong: Vec<_> = sim.deaths_since(from).into_iter().filter(|s| s.of != 5 && s.by != 5).collect();
    assert_eq!(wrong, []);
    assert_eq!(sim.state(0, 5), State::Dead);
    // Its health multiplier rises the fewer members answer, so it suspects few.
    let suspected =
        sim.changes.iter().filter(|s| s.at >= from && s.by == 5 && s.to == State::Suspect).count();
    assert!(suspected <= 12, "{suspected} suspected in 40 s");
}

#[test]
fn a_cut_link_between_two_members_makes_neither_dead() {
    let mut sim = Simulation::new(12, 4);
    sim.converge_within(secs(30)).expect("the fleet converges");
    let from = sim.now;
    sim.cut = Box::new(|a, b| a == 1 && b == 2);
    sim.run(secs(120));
    assert_eq!(sim.deaths_since(from), []);
}

#[test]
fn a_paused_member_suspects_nobody_when_it_resumes() {
    for seed in 0..10 {
        let mut sim = Simulation::new(12, seed);
        // With long delays a probe is in progress most of the time.
        sim.delay = [ms(70), ms(90)];
        sim.converge_within(secs(30)).expect("the fleet converges");
        let from = sim.now;
        sim.pause(4);
        sim.run(secs(5));
        sim.resume(4);
        sim.run(ms(400));
        let wrong =
            |s: &&StateChange| s.at >= from && s.of != 4 && matches!(s.to, State::Suspect | State::Dead);
        assert_eq!(sim.changes.iter().filter(wrong).count(), 0, "seed {seed}");
        assert!(sim.converge_within(secs(10)).is_some(), "seed {seed}");
    }
}

#[test]
fn a_restart_is_a_new_life_even_with_the_clock_set_back() {
    for life in [2000, 500] {
        let mut sim = Simulation::new(12, 8);
        sim.converge_within(secs(30)).expect("the fleet converges");
        sim.member(6).expect("the member is running").publish(b"first".to_vec()).expect("the record fits");
        sim.run(secs(5));
        sim.kill(6);
        sim.run(ms(700));
        // It restarts before anybody has missed it; the first record of its new life must win over the old
        // one.
        sim.start(6, life);
        sim.member(6).expect("the member is running").publish(b"second".to_vec()).expect("the record fits");
        sim.converge_within(secs(20)).expect("the fleet converges again");
        sim.run(secs(5));
        let now = sim.now;
        let restarted =
            sim.member(0).expect("the member is running").members(now).nth(6).expect("the member is listed");
        assert!(restarted.life > 1000, "life {} at a start at {life}", restarted.life);
        assert_eq!(restarted.record.map(|r| r.0), Some(&b"second"[..]), "a start at {life}");
    }
}

#[test]
fn a_restarted_member_receives_all_records_without_new_updates() {
    let mut sim = Simulation::new(120, 3);
    for n in 0..120 {
        sim.member(n).expect("the member is running").publish(vec![1; 30]).expect("the record fits");
    }
    sim.converge_within(secs(60)).expect("the fleet converges");
    sim.run(secs(60));
    sim.kill(6);
    sim.run(secs(30));
    sim.start(6, 2000);
    sim.run(secs(15));
    let now = sim.now;
    let known =
        sim.member(6).expect("the member is running").members(now).filter(|v| v.record.is_some()).count();
    assert_eq!(known, 119, "all records but its own, which it has not published");
}

#[test]
fn a_leaving_member_is_gone_at_once_and_may_return() {
    let mut sim = Simulation::new(30, 1);
    sim.converge_within(secs(30)).expect("the fleet converges");
    sim.leave(9);
    let took = sim.converge_within(secs(10));
    assert!(took.is_some_and(|t| t < secs(3)), "{took:?}");
    assert_eq!(sim.state(0, 9), State::Left);
    sim.start(9, 3000);
    assert!(sim.converge_within(secs(10)).is_some());
}

#[test]
fn records_reach_all_despite_loss_and_the_newest_wins() {
    let mut sim = Simulation::new(60, 6);
    sim.loss = 0.1;
    sim.duplication = 0.1;
    sim.converge_within(secs(30)).expect("the fleet converges");
    for round in 0..10u8 {
        for n in 0..60 {
            sim.member(n).expect("the member is running").publish(vec![round; 60]).expect("the record fits");
        }
        sim.run(secs(1));
    }
    sim.run(secs(30));
    let now = sim.now;
    for n in 0..60 {
        let old = sim
            .member(n)
            .expect("the member is running")
            .members(now)
            .filter(|v| v.record.map(|r| r.0[0]) != Some(9));
        assert_eq!(old.count(), 0, "member {n} lacks some of the latest records");
    }
}

#[test]
fn sending_rate_does_not_grow_with_the_fleet() {
    let rate = |count| {
        let mut sim = Simulation::new(count, 1);
        sim.converge_within(secs(60)).expect("the fleet converges");
        let (from, mut sum) = (sim.now, [0.0, 0.0]);
        let all = |sim: &mut Simulation| -> [u64; 2] {
            let each = (0..count).filter_map(|n| sim.member(n).map(|m| m.traffic()));
            each.fold([0, 0], |sum, t| [sum[0] + t.sent, sum[1] + t.sent_bytes])
        };
        let before = all(&mut sim);
        for round in 0..20u8 {
            for n in 0..count {
                sim.member(n)
                    .expect("the member is running")
                    .publish(vec![round; 80])
                    .expect("the record fits");
            }
            sim.run(secs(1));
        }
        let after = all(&mut sim);
        let member_seconds = f64::from(count) * (sim.now - from).as_secs_f64();
        for i in 0..2 {
            sum[i] = (after[i] - before[i]) as f64 / member_seconds;
        }
        sum
    };
    for count in [12, 120] {
        let [datagrams, bytes] = rate(count);
        assert!(
            datagrams < 8.0 && bytes < 8000.0,
            "{count} members: {datagrams:.1} datagrams and {bytes:.0} bytes per second from each"
        );
    }
}
