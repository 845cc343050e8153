//! Tests membership at small sizes: a member's traffic doesn't grow with their number, all find all, and all
//! notice a zone's loss and its return.

use ivydrift_measure::scale::members::simulation::{secs, Simulation};

/// Datagrams and bytes per second of one member when nothing changes.
fn traffic_sent(count: u16) -> [f64; 2] {
    let mut simulation = Simulation::new(count, 1);
    simulation.run_until_right(1.0, secs(60)).expect("all members find all others");
    let before = simulation.traffic_sent();
    simulation.run(secs(20));
    let after = simulation.traffic_sent();
    [0, 1].map(|i| (after[i] - before[i]) as f64 / 20.0 / f64::from(count))
}

#[test]
fn member_traffic_does_not_grow_between_30_and_120_members() {
    let (few, many) = (traffic_sent(30), traffic_sent(120));
    for (what, most, i) in [("datagrams", 7.0, 0), ("bytes", 6500.0, 1)] {
        assert!(many[i] < most, "{:.1} {what} a second", many[i]);
        assert!(many[i] < 1.25 * few[i], "{what}: {:.1} with 30 members, {:.1} with 120", few[i], many[i]);
    }
}

#[test]
fn all_members_notice_zone_loss_return_and_partition() {
    let mut simulation = Simulation::new(60, 2);
    simulation.run_until_right(1.0, secs(60)).expect("all members find all others");
    let zone: Vec<u16> = (0..60).filter(|n| simulation.zone(*n) == 0).collect();
    assert_eq!(zone.len(), 5);
    zone.iter().for_each(|n| simulation.kill(*n));
    simulation.run_until_right(1.0, secs(60)).expect("all remaining members see the loss");
    assert_eq!(simulation.deaths.len(), 5 * 55);
    zone.iter().for_each(|n| simulation.restart(*n));
    simulation.run_until_right(1.0, secs(60)).expect("all members see the return");
    simulation.partitioned = true;
    simulation.run(secs(60));
    assert!(simulation.right_share() < 0.3, "{} of all pairs see each other", simulation.right_share());
    assert_eq!(simulation.false_deaths, 0, "death notices about living, reachable members");
    // After the partition, death notices from the other regions reach each region until the member concerned
    // contradicts them.
    simulation.partitioned = false;
    simulation.run_until_right(1.0, secs(60)).expect("all views right after the partition");
}
