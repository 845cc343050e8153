use super::*;

const HOUR_MS: u64 = 3_600_000;
const ZERO_MS: u64 = 1_700_000_000_000;

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

#[test]
fn a_node_that_starts_after_a_step_is_young_whichever_way_the_clock_went() {
    for (step, name) in [(HOUR_MS as i64, "ahead"), (-(HOUR_MS as i64), "back"), (-5000, "back a little")] {
        let mut clock = WallClock::new(ZERO_MS);
        let now = seconds(90_000);
        let zero = ZERO_MS.checked_add_signed(step).unwrap();
        clock.read(zero);
        // It started 3 s ago by the current wall clock.
        let started = zero + 90_000_000 - 3000;
        assert_eq!(clock.past(now, started), Some(now - seconds(3)), "{name}");
    }
}

#[test]
fn a_clock_that_does_not_step_is_read_as_it_is() {
    let mut clock = WallClock::new(ZERO_MS);
    clock.read(ZERO_MS + 80);
    assert_eq!(clock.past(seconds(100), ZERO_MS + 40_000), Some(seconds(40)));
    assert_eq!(clock.past(seconds(100), ZERO_MS + 140_000), Some(seconds(140)), "ahead of us");
    assert_eq!(clock.past(seconds(100), ZERO_MS - 1), None, "long ago");
}

#[test]
fn steps_without_end_are_not_all_remembered() {
    let mut clock = WallClock::new(ZERO_MS);
    (1..100).for_each(|n| clock.read(ZERO_MS + n * HOUR_MS));
    assert_eq!(clock.zeros_ms.len(), MOST_STEPS);
}
