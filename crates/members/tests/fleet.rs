//! Properties of membership, on simulated fleets in virtual time with injected faults.

mod world;

use ivydrift_members::message::State;
use world::{ms, secs, Seen, World};

#[test]
fn all_find_all_from_nothing_and_the_same_seed_plays_the_same_run() {
    for count in [3, 30, 120] {
        let mut one = World::new(count, 7);
        let took = one.agree_within(secs(30));
        assert!(took.is_some(), "{count} members did not converge");
        let mut two = World::new(count, 7);
        two.run_until(one.now);
        assert_eq!(one.seen, two.seen);
    }
}

#[test]
fn the_dead_are_found_by_all_and_nobody_else_is_taken_for_dead() {
    for seed in 0..10 {
        let mut world = World::new(30, seed);
        world.agree_within(secs(30)).expect("the fleet converges");
        let from = world.now;
        world.kill(11);
        world.kill(12);
        let took = world.agree_within(secs(20));
        assert!(took.is_some_and(|t| t < secs(12)), "seed {seed}: declared dead after {took:?}");
        assert!(world.dead_since(from).iter().all(|s| s.of == 11 || s.of == 12));
    }
}

#[test]
fn with_a_twentieth_of_all_datagrams_lost_nobody_is_taken_for_dead_in_an_hour() {
    let mut world = World::new(12, 3);
    world.loss = 0.05;
    world.repeats = 0.02;
    world.delay = [ms(1), ms(30)];
    world.agree_within(secs(30)).expect("the fleet converges");
    let from = world.now;
    world.run(secs(3600));
    assert_eq!(world.dead_since(from), []);
    assert!(world.agreed() || world.agree_within(secs(10)).is_some());
}

#[test]
fn with_a_third_of_all_datagrams_lost_the_dead_are_found_and_the_living_kept() {
    let mut world = World::new(24, 5);
    world.loss = 0.3;
    world.agree_within(secs(60)).expect("the fleet converges");
    let from = world.now;
    world.kill(3);
    world.run(secs(60));
    let dead = world.dead_since(from);
    let found: std::collections::BTreeSet<_> = dead.iter().filter(|s| s.of == 3).map(|s| s.by).collect();
    assert_eq!(found.len(), 23);
    let wrong = dead.iter().filter(|s| s.of != 3).count();
    assert!(
        wrong <= 2 * 23,
        "{wrong} live members declared dead: more than two such updates reached everybody"
    );
}

#[test]
fn a_cut_into_halves_heals_without_help() {
    let mut world = World::new(24, 9);
    world.agree_within(secs(30)).expect("the fleet converges");
    world.cut = Box::new(|a, b| (a < 12) != (b < 12));
    world.run(secs(30));
    assert_eq!(world.state(0, 23), State::Dead);
    assert_eq!((world.state(0, 11), world.state(23, 12)), (State::Alive, State::Alive));
    world.cut = Box::new(|_, _| false);
    let took = world.agree_within(secs(30));
    assert!(took.is_some(), "the two halves did not converge again");
}

#[test]
fn one_member_that_hears_nobody_makes_nobody_else_suspect_the_others() {
    // All datagrams to member 5 are lost, so it sees the whole fleet silent; what it sends arrives.
    let mut world = World::new(24, 2);
    world.agree_within(secs(30)).expect("the fleet converges");
    let from = world.now;
    world.cut = Box::new(|_, to| to == 5);
    world.run(secs(40));
    let wrong: Vec<_> = world.dead_since(from).into_iter().filter(|s| s.of != 5 && s.by != 5).collect();
    assert_eq!(wrong, []);
    assert_eq!(world.state(0, 5), State::Dead);
    // Its health multiplier rises the fewer members answer, so it suspects few.
    let accused = world.seen.iter().filter(|s| s.at >= from && s.by == 5 && s.to == State::Suspect).count();
    assert!(accused <= 12, "{accused} suspected in 40 s");
}

#[test]
fn a_way_cut_between_two_members_only_makes_neither_dead() {
    let mut world = World::new(12, 4);
    world.agree_within(secs(30)).expect("the fleet converges");
    let from = world.now;
    world.cut = Box::new(|a, b| a == 1 && b == 2);
    world.run(secs(120));
    assert_eq!(world.dead_since(from), []);
}

#[test]
fn a_member_that_stood_still_suspects_nobody_when_it_goes_on() {
    for seed in 0..10 {
        let mut world = World::new(12, seed);
        // With long delays a probe is in progress most of the time.
        world.delay = [ms(70), ms(90)];
        world.agree_within(secs(30)).expect("the fleet converges");
        let from = world.now;
        world.stop(4);
        world.run(secs(5));
        world.go_on(4);
        world.run(ms(400));
        let wrong = |s: &&Seen| s.at >= from && s.of != 4 && matches!(s.to, State::Suspect | State::Dead);
        assert_eq!(world.seen.iter().filter(wrong).count(), 0, "seed {seed}");
        assert!(world.agree_within(secs(10)).is_some(), "seed {seed}");
    }
}

#[test]
fn a_restart_is_a_new_life_though_its_clock_was_set_back() {
    for life in [2000, 500] {
        let mut world = World::new(12, 8);
        world.agree_within(secs(30)).expect("the fleet converges");
        world.member(6).expect("the member is running").publish(b"first".to_vec()).expect("the record fits");
        world.run(secs(5));
        world.kill(6);
        world.run(ms(700));
        // It restarts before anybody has missed it; the first record of its new life must win over the old
        // one.
        world.start(6, life);
        world.member(6).expect("the member is running").publish(b"second".to_vec()).expect("the record fits");
        world.agree_within(secs(20)).expect("the fleet converges again");
        world.run(secs(5));
        let now = world.now;
        let seen =
            world.member(0).expect("the member is running").view(now).nth(6).expect("the member is listed");
        assert!(seen.life > 1000, "life {} at a start at {life}", seen.life);
        assert_eq!(seen.record.map(|r| r.0), Some(&b"second"[..]), "a start at {life}");
    }
}

#[test]
fn who_was_away_is_brought_up_to_date_though_nobody_has_any_news() {
    let mut world = World::new(120, 3);
    for n in 0..120 {
        world.member(n).expect("the member is running").publish(vec![1; 30]).expect("the record fits");
    }
    world.agree_within(secs(60)).expect("the fleet converges");
    world.run(secs(60));
    world.kill(6);
    world.run(secs(30));
    world.start(6, 2000);
    world.run(secs(15));
    let now = world.now;
    let known =
        world.member(6).expect("the member is running").view(now).filter(|v| v.record.is_some()).count();
    assert_eq!(known, 119, "all records but its own, which it has not published");
}

#[test]
fn who_says_that_it_goes_is_gone_at_once_and_may_come_back() {
    let mut world = World::new(30, 1);
    world.agree_within(secs(30)).expect("the fleet converges");
    world.leave(9);
    let took = world.agree_within(secs(10));
    assert!(took.is_some_and(|t| t < secs(3)), "{took:?}");
    assert_eq!(world.state(0, 9), State::Left);
    world.start(9, 3000);
    assert!(world.agree_within(secs(10)).is_some());
}

#[test]
fn records_reach_all_through_loss_and_the_newest_wins() {
    let mut world = World::new(60, 6);
    world.loss = 0.1;
    world.repeats = 0.1;
    world.agree_within(secs(30)).expect("the fleet converges");
    for round in 0..10u8 {
        for n in 0..60 {
            world
                .member(n)
                .expect("the member is running")
                .publish(vec![round; 60])
                .expect("the record fits");
        }
        world.run(secs(1));
    }
    world.run(secs(30));
    let now = world.now;
    for n in 0..60 {
        let old = world
            .member(n)
            .expect("the member is running")
            .view(now)
            .filter(|v| v.record.map(|r| r.0[0]) != Some(9));
        assert_eq!(old.count(), 0, "member {n} lacks some of the latest records");
    }
}

#[test]
fn what_a_member_sends_does_not_grow_with_the_fleet() {
    let rate = |count| {
        let mut world = World::new(count, 1);
        world.agree_within(secs(60)).expect("the fleet converges");
        let (from, mut sum) = (world.now, [0.0, 0.0]);
        let all = |world: &mut World| -> [u64; 2] {
            let each = (0..count).filter_map(|n| world.member(n).map(|m| m.traffic()));
            each.fold([0, 0], |sum, t| [sum[0] + t.sent, sum[1] + t.sent_bytes])
        };
        let before = all(&mut world);
        for round in 0..20u8 {
            for n in 0..count {
                world
                    .member(n)
                    .expect("the member is running")
                    .publish(vec![round; 80])
                    .expect("the record fits");
            }
            world.run(secs(1));
        }
        let after = all(&mut world);
        let member_seconds = f64::from(count) * (world.now - from).as_secs_f64();
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
