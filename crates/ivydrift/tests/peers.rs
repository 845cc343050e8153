//! Failure detection between marshals that run as processes, as `ivydrift peers` shows it. A relay injects
//! faults into the links between them, and processes are killed, stopped and restarted.

#[allow(dead_code)] // Each test file uses some of it.
mod fleet;

use std::time::Duration;

use fleet::{fault, Fleet};
use ivydrift_standin::links::{LinkEffect, LinkFault};
use nix::sys::signal::Signal;

#[test]
fn a_killed_marshal_is_detected_as_dead_and_restarts_with_a_new_life() {
    let mut fleet = Fleet::start(("killed", 0), 6);
    fleet.wait_until_all_alive(20);
    let first = fleet.members(0).unwrap()[4].1;
    fleet.kill(4);
    for viewer in [0, 1, 2, 3, 5] {
        fleet.wait_until_shown(viewer, 15, |s| s[4].0 == "dead");
    }
    fleet.launch(4);
    fleet.wait_until_all_alive(20);
    assert!(fleet.members(0).unwrap()[4].1 > first);
    assert!((0..6)
        .all(|viewer| (0..6).all(|member| member == 4 || fleet.count_logged(viewer, member, "dead") == 0)));
}

#[test]
fn a_marshal_that_is_terminated_is_shown_as_left() {
    let fleet = Fleet::start(("told", 1), 4);
    fleet.wait_until_all_alive(20);
    fleet.signal(2, Signal::SIGTERM);
    for viewer in [0, 1, 3] {
        fleet.wait_until_shown(viewer, 5, |s| s[2].0 == "left");
    }
}

#[test]
fn a_marshal_that_was_suspended_suspects_nobody_when_it_resumes() {
    let fleet = Fleet::start(("still", 2), 6);
    fleet.wait_until_all_alive(20);
    fleet.signal(3, Signal::SIGSTOP);
    fleet.wait_until_shown(0, 15, |s| s[3].0 == "dead");
    fleet.signal(3, Signal::SIGCONT);
    fleet.wait_until_all_alive(20);
    let suspicions = (0..6)
        .filter(|member| *member != 3)
        .map(|member| fleet.count_logged(3, member, "suspect"))
        .sum::<usize>();
    assert_eq!(suspicions, 0);
}

#[test]
fn the_halves_of_a_partition_are_dead_to_each_other_until_it_heals() {
    let fleet = Fleet::start(("halves", 3), 8);
    fleet.wait_until_all_alive(20);
    let (left, right) = ([0, 1, 2, 3], [4, 5, 6, 7]);
    fleet.relay.inject(LinkFault { both: true, ..fault(&left, &right, LinkEffect::Down) });
    let only_dead = |s: &[(String, u64)], dead: &[usize]| {
        s.iter().enumerate().all(|(n, m)| (m.0 == "dead") == dead.contains(&n))
    };
    left.iter().for_each(|viewer| fleet.wait_until_shown(*viewer, 25, |s| only_dead(s, &right)));
    right.iter().for_each(|viewer| fleet.wait_until_shown(*viewer, 25, |s| only_dead(s, &left)));
    fleet.relay.heal();
    fleet.wait_until_all_alive(30);
}

#[test]
fn a_marshal_that_receives_nothing_causes_no_false_deaths_elsewhere() {
    let fleet = Fleet::start(("deaf", 4), 6);
    fleet.wait_until_all_alive(20);
    fleet.relay.inject(fault(&[0, 1, 2, 3, 4, 5], &[5], LinkEffect::Down));
    fleet.wait_until_shown(0, 25, |s| s[5].0 == "dead");
    for viewer in 0..5 {
        assert!((0..5).all(|member| fleet.count_logged(viewer, member, "dead") == 0));
    }
    fleet.relay.heal();
    fleet.wait_until_all_alive(30);
}

#[test]
fn with_a_fifth_of_datagrams_lost_repeated_or_reordered_only_the_dead_are_detected() {
    let mut fleet = Fleet::start(("lossy", 5), 6);
    fleet.wait_until_all_alive(20);
    let all = [0, 1, 2, 3, 4, 5];
    fleet.relay.inject(fault(&all, &all, LinkEffect::Loss(0.2)));
    fleet.relay.inject(fault(&all, &all, LinkEffect::Duplicate(0.2)));
    fleet.relay.inject(fault(&all, &all, LinkEffect::Reorder(0.2, Duration::from_millis(80))));
    fleet.kill(1);
    for viewer in [0, 2, 3, 4, 5] {
        fleet.wait_until_shown(viewer, 30, |s| s[1].0 == "dead");
    }
    for viewer in [0, 2, 3, 4, 5] {
        assert!([0, 2, 3, 4, 5].iter().all(|member| fleet.count_logged(viewer, *member, "dead") == 0));
    }
}

#[test]
fn marshals_of_one_program_reach_its_protocol_level_despite_loss_and_a_restart() {
    let mut fleet = Fleet::start(("level", 6), 4);
    let all = [0, 1, 2, 3];
    fleet.relay.inject(fault(&all, &all, LinkEffect::Loss(0.2)));
    fleet.wait_until_all_alive(20);
    assert!(
        all.iter().all(|viewer| fleet.query_peers(*viewer).unwrap()["level"] == 0),
        "the level must not rise before all marshals are known"
    );
    fleet.kill(2);
    fleet.launch(2);
    fleet.wait_for_level(&all, 1, 60);
    let page = fleet.query_peers(0).unwrap();
    let program = |n: usize| page["members"][n]["program"].as_str().unwrap_or_default().to_owned();
    assert!(program(0).starts_with("0.1.0-") && all.iter().all(|n| program(*n) == program(0)), "{page}");
    // A stopped marshal still counts as a member, so the level is not lowered.
    fleet.signal(3, Signal::SIGSTOP);
    fleet.wait_until_shown(0, 15, |s| s[3].0 == "dead");
    assert_eq!(fleet.query_peers(0).unwrap()["level"], 1);
    fleet.signal(3, Signal::SIGCONT);
    fleet.wait_until_all_alive(20);
    assert_eq!(fleet.query_peers(0).unwrap()["level"], 1);
}
