use super::*;

const HOUR_MS: u64 = 3_600_000;
const ZERO_MS: u64 = 1_700_000_000_000;

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

#[test]
fn a_node_started_after_a_clock_step_is_young_in_either_direction() {
    for (step, name) in [(HOUR_MS as i64, "ahead"), (-(HOUR_MS as i64), "back"), (-5000, "back a little")] {
        let mut clock = WallClock::new(ZERO_MS);
        let now = seconds(90_000);
        let zero = ZERO_MS.checked_add_signed(step).unwrap();
        clock.record(zero);
        // It started 3 s ago by the current wall clock.
        let started = zero + 90_000_000 - 3000;
        assert_eq!(clock.to_past_time(now, started), Some(now - seconds(3)), "{name}");
    }
}

#[test]
fn without_a_step_times_convert_directly() {
    let mut clock = WallClock::new(ZERO_MS);
    clock.record(ZERO_MS + 80);
    assert_eq!(clock.to_past_time(seconds(100), ZERO_MS + 40_000), Some(seconds(40)));
    assert_eq!(clock.to_past_time(seconds(100), ZERO_MS + 140_000), Some(seconds(140)), "ahead of us");
    assert_eq!(clock.to_past_time(seconds(100), ZERO_MS - 1), None, "long ago");
}

#[test]
fn the_number_of_remembered_steps_is_bounded() {
    let mut clock = WallClock::new(ZERO_MS);
    (1..100).for_each(|n| clock.record(ZERO_MS + n * HOUR_MS));
    assert_eq!(clock.zeros_ms.len(), MAX_OFFSETS);
}
