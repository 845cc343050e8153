//! Tests the distribution of a large state along the tree at small sizes: all marshals get it, and no marshal
//! sends more as their number grows.

use std::time::Duration;

use ivydrift_measure::scale::tree::simulation::Simulation;
use ivydrift_measure::scale::tree::{random_state, MAX_STATE_BYTES};

#[test]
fn state_reaches_all_and_traffic_does_not_grow_with_the_fleet() {
    for count in [30, 120] {
        let mut simulation = Simulation::new(count, 0.0, 1);
        simulation.offer(1, &random_state(1));
        let took = simulation.run_until(1, count.into(), Duration::from_secs(20));
        assert!(took.is_some(), "{} of {count} have it after 20 s", simulation.holders(1));
        let pieces = MAX_STATE_BYTES.div_ceil(1000) as u64;
        // Four marshals ask each one; without loss each asks for a piece at most twice.
        let most = simulation.sent.iter().map(|s| s.pieces).max().unwrap_or(0);
        assert!(most <= 8 * pieces, "{count}: one marshal sent {most} pieces of a state of {pieces}");
        let mean = simulation.sent.iter().map(|s| s.bytes).sum::<u64>() as f64 / f64::from(count);
        assert!(mean < 2.0 * MAX_STATE_BYTES as f64, "{count}: {mean:.0} bytes a marshal");
    }
}
