//! Tests membership at small sizes: a member's traffic doesn't grow with their number, all find all, and all
//! notice a zone's loss and its return.

use ivydrift_measure::scale::members::world::{secs, World};

/// Datagrams and bytes per second of one member when nothing changes.
fn sent(count: u16) -> [f64; 2] {
    let mut world = World::new(count, 1);
    world.right_within(1.0, secs(60)).expect("all members find all others");
    let before = world.sent();
    world.run(secs(20));
    let after = world.sent();
    [0, 1].map(|i| (after[i] - before[i]) as f64 / 20.0 / f64::from(count))
}

#[test]
fn what_a_member_sends_is_flat_between_30_and_120() {
    let (few, many) = (sent(30), sent(120));
    for (what, most, i) in [("datagrams", 7.0, 0), ("bytes", 6500.0, 1)] {
        assert!(many[i] < most, "{:.1} {what} a second", many[i]);
        assert!(many[i] < 1.25 * few[i], "{what}: {:.1} with 30 members, {:.1} with 120", few[i], many[i]);
    }
}

#[test]
fn a_zones_loss_and_return_and_regions_apart_are_seen_by_all() {
    let mut world = World::new(60, 2);
    world.right_within(1.0, secs(60)).expect("all members find all others");
    let zone: Vec<u16> = (0..60).filter(|n| world.zone(*n) == 0).collect();
    assert_eq!(zone.len(), 5);
    zone.iter().for_each(|n| world.kill(*n));
    world.right_within(1.0, secs(60)).expect("all remaining members see the loss");
    assert_eq!(world.deaths.len(), 5 * 55);
    zone.iter().for_each(|n| world.start(*n));
    world.right_within(1.0, secs(60)).expect("all members see the return");
    world.apart = true;
    world.run(secs(60));
    assert!(world.right() < 0.3, "{} of all pairs see each other", world.right());
    assert_eq!(world.false_deaths, 0, "death notices about living, reachable members");
    // After the partition, death notices from the other regions reach each region until the member concerned
    // contradicts them.
    world.apart = false;
    world.right_within(1.0, secs(60)).expect("all views right after the partition");
}
