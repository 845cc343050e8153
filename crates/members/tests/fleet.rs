//! The laws of membership, on fleets in virtual time with faults between them.

mod world;

use ivydrift_members::message::State;
use world::{ms, secs, Seen, World};

#[test]
fn all_find_all_from_nothing_and_the_same_seed_plays_the_same_run() {
    for count in [3, 30, 120] {
        let mut one = World::new(count, 7);
        let took = one.agree_within(secs(30));
        assert!(took.is_some(), "{count} members have not found one another");
        let mut two = World::new(count, 7);
        two.run_until(one.now);
        assert_eq!(one.seen, two.seen);
    }
}

#[test]
fn the_dead_are_found_by_all_and_nobody_else_is_taken_for_dead() {
    for seed in 0..10 {
        let mut world = World::new(30, seed);
        world.agree_within(secs(30)).expect("a whole fleet");
        let from = world.now;
        world.kill(11);
        world.kill(12);
        let took = world.agree_within(secs(20));
        assert!(took.is_some_and(|t| t < secs(12)), "seed {seed}: found dead after {took:?}");
        assert!(world.dead_since(from).iter().all(|s| s.of == 11 || s.of == 12));
    }
}

#[test]
fn with_a_twentieth_of_all_datagrams_lost_nobody_is_taken_for_dead_in_an_hour() {
    let mut world = World::new(12, 3);
    world.loss = 0.05;
    world.repeats = 0.02;
    world.delay = [ms(1), ms(30)];
    world.agree_within(secs(30)).expect("a whole fleet");
    let from = world.now;
    world.run(secs(3600));
    assert_eq!(world.dead_since(from), []);
    assert!(world.agreed() || world.agree_within(secs(10)).is_some());
}

#[test]
fn with_a_third_of_all_datagrams_lost_the_dead_are_found_and_the_living_kept() {
    let mut world = World::new(24, 5);
    world.loss = 0.3;
    world.agree_within(secs(60)).expect("a whole fleet");
    let from = world.now;
    world.kill(3);
    world.run(secs(60));
    let dead = world.dead_since(from);
    let found: std::collections::BTreeSet<_> = dead.iter().filter(|s| s.of == 3).map(|s| s.by).collect();
    assert_eq!(found.len(), 23);
    let wrong = dead.iter().filter(|s| s.of != 3).count();
    assert!(wrong <= 2 * 23, "{wrong} words of death about the living: more than two such rumours");
}

#[test]
fn a_cut_into_halves_heals_without_help() {
    let mut world = World::new(24, 9);
    world.agree_within(secs(30)).expect("a whole fleet");
    world.cut = Box::new(|a, b| (a < 12) != (b < 12));
    world.run(secs(30));
    assert_eq!(world.state(0, 23), State::Dead);
    assert_eq!((world.state(0, 11), world.state(23, 12)), (State::Alive, State::Alive));
    world.cut = Box::new(|_, _| false);
    let took = world.agree_within(secs(30));
    assert!(took.is_some(), "the halves have not found one another again");
}

#[test]
fn one_member_that_hears_nobody_makes_nobody_else_suspect_the_others() {
    // All that is sent to it is lost: to it the whole fleet is silent. What it sends arrives.
    let mut world = World::new(24, 2);
    world.agree_within(secs(30)).expect("a whole fleet");
    let from = world.now;
    world.cut = Box::new(|_, to| to == 5);
    world.run(secs(40));
    let wrong: Vec<_> = world.dead_since(from).into_iter().filter(|s| s.of != 5 && s.by != 5).collect();
    assert_eq!(wrong, []);
    assert_eq!(world.state(0, 5), State::Dead);
    // It doubts itself the more, the fewer answer, and so it accuses few.
    let accused = world.seen.iter().filter(|s| s.at >= from && s.by == 5 && s.to == State::Suspect).count();
    assert!(accused <= 12, "{accused} accused in 40 s");
}

#[test]
fn a_way_cut_between_two_members_only_makes_neither_dead() {
    let mut world = World::new(12, 4);
    world.agree_within(secs(30)).expect("a whole fleet");
    let from = world.now;
    world.cut = Box::new(|a, b| a == 1 && b == 2);
    world.run(secs(120));
    assert_eq!(world.dead_since(from), []);
}

#[test]
fn a_member_that_stood_still_suspects_nobody_when_it_goes_on() {
    for seed in 0..10 {
        let mut world = World::new(12, seed);
        // Far apart: at most times a probe is under way.
        world.delay = [ms(70), ms(90)];
        world.agree_within(secs(30)).expect("a whole fleet");
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
        world.agree_within(secs(30)).expect("a whole fleet");
        world.member(6).expect("it lives").publish(b"first".to_vec()).expect("short");
        world.run(secs(5));
        world.kill(6);
        world.run(ms(700));
        // Back before anybody has missed it; its first record of its new life must not lose to the old one.
        world.start(6, life);
        world.member(6).expect("it lives").publish(b"second".to_vec()).expect("short");
        world.agree_within(secs(20)).expect("a whole fleet again");
        world.run(secs(5));
        let now = world.now;
        let seen = world.member(0).expect("it lives").view(now).nth(6).expect("it is a member");
        assert!(seen.life > 1000, "life {} at a start at {life}", seen.life);
        assert_eq!(seen.record.map(|r| r.0), Some(&b"second"[..]), "a start at {life}");
    }
}

#[test]
fn who_was_away_is_brought_up_to_date_though_nobody_has_any_news() {
    let mut world = World::new(120, 3);
    for n in 0..120 {
        world.member(n).expect("it lives").publish(vec![1; 30]).expect("short");
    }
    world.agree_within(secs(60)).expect("a whole fleet");
    world.run(secs(60));
    world.kill(6);
    world.run(secs(30));
    world.start(6, 2000);
    world.run(secs(15));
    let now = world.now;
    let known = world.member(6).expect("it lives").view(now).filter(|v| v.record.is_some()).count();
    assert_eq!(known, 119, "all but its own, which it has not published");
}

#[test]
fn who_says_that_it_goes_is_gone_at_once_and_may_come_back() {
    let mut world = World::new(30, 1);
    world.agree_within(secs(30)).expect("a whole fleet");
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
    world.agree_within(secs(30)).expect("a whole fleet");
    for round in 0..10u8 {
        for n in 0..60 {
            world.member(n).expect("it lives").publish(vec![round; 60]).expect("short");
        }
        world.run(secs(1));
    }
    world.run(secs(30));
    let now = world.now;
    for n in 0..60 {
        let old =
            world.member(n).expect("it lives").view(now).filter(|v| v.record.map(|r| r.0[0]) != Some(9));
        assert_eq!(old.count(), 0, "member {n} has not all of the last records");
    }
}

#[test]
fn what_a_member_sends_does_not_grow_with_the_fleet() {
    let rate = |count| {
        let mut world = World::new(count, 1);
        world.agree_within(secs(60)).expect("a whole fleet");
        let (from, mut sum) = (world.now, [0.0, 0.0]);
        let all = |world: &mut World| -> [u64; 2] {
            let each = (0..count).filter_map(|n| world.member(n).map(|m| m.traffic()));
            each.fold([0, 0], |sum, t| [sum[0] + t.sent, sum[1] + t.sent_bytes])
        };
        let before = all(&mut world);
        for round in 0..20u8 {
            for n in 0..count {
                world.member(n).expect("it lives").publish(vec![round; 80]).expect("short");
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
        assert!(datagrams < 8.0 && bytes < 8000.0, "{count}: {datagrams:.1} and {bytes:.0} bytes a second");
    }
}
