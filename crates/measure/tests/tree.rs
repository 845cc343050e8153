//! Tests the distribution of a large state along the tree at small sizes: all marshals get it, and no marshal
//! sends more as their number grows.

use std::time::Duration;

use ivydrift_measure::scale::tree::world::World;
use ivydrift_measure::scale::tree::{state, STATE};

#[test]
fn a_state_reaches_all_and_nobody_sends_more_the_more_there_are() {
    for count in [30, 120] {
        let mut world = World::new(count, 0.0, 1);
        world.offer(1, &state(1));
        let took = world.until(1, count.into(), Duration::from_secs(20));
        assert!(took.is_some(), "{} of {count} have it after 20 s", world.have(1));
        let pieces = STATE.div_ceil(1000) as u64;
        // Four marshals ask each one; without loss each asks for a piece at most twice.
        let most = world.sent.iter().map(|s| s.pieces).max().unwrap_or(0);
        assert!(most <= 8 * pieces, "{count}: one marshal sent {most} pieces of a state of {pieces}");
        let mean = world.sent.iter().map(|s| s.bytes).sum::<u64>() as f64 / f64::from(count);
        assert!(mean < 2.0 * STATE as f64, "{count}: {mean:.0} bytes a marshal");
    }
}
