//! Decides whether, and how much of, a zone's traffic leaves it: quickly out, slowly back, without
//! oscillation.

use std::time::Duration;

/// Stage of a zone's failover.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// All traffic stays in the zone.
    #[default]
    Near,
    /// A fraction leaves; it may grow.
    Out,
    /// The traffic that left is returning.
    Back,
}

impl Stage {
    /// The stage's name in log lines.
    pub fn word(self) -> &'static str {
        match self {
            Stage::Near => "near",
            Stage::Out => "out",
            Stage::Back => "back",
        }
    }
}

/// Minimum fraction that is worth moving.
const WORTH: f32 = 0.05;
/// How long an overload must last before traffic leaves: one late answer moves nothing.
const SEEN: Duration = Duration::from_millis(400);
/// How long a zone must be able to bear more before traffic returns, doubled with each move up to the second
/// value. This prevents oscillation. The cost: a zone that recovers just after it failed twice stays unused for
/// that long.
const HOLD: [Duration; 2] = [Duration::from_secs(4), Duration::from_secs(60)];
/// A zone whose traffic stayed local for this long starts again with the shortest hold.
const FORGIVEN: Duration = Duration::from_secs(180);
/// Fraction of the traffic that always stays in the zone: without it the zone's recovery would not be seen.
pub const TRICKLE: f32 = 0.02;

/// Failover state of one zone.
#[derive(Clone, Debug, Default)]
pub struct Course {
    /// The current stage.
    pub stage: Stage,
    /// Fraction of the zone's RPCs that is to leave.
    pub part: f32,
    /// Number of moves out so far.
    pub moves: u32,
    /// Number of recent returns, completed or broken off; each doubles the hold.
    holds: u32,
    /// Since when the zone has been overloaded, or since when it could bear more.
    since: Option<Duration>,
    /// When the current stage began.
    entered: Duration,
    /// When [`Course::step`] was last called.
    stepped: Duration,
}

impl Course {
    /// `demand` (RPCs/s) of the zone's clients and what the zone can bear of it; `warm`: warm-up time of a
    /// cold node.
    pub fn step(&mut self, now: Duration, demand: f32, bears: f32, warm: Duration) {
        let span = now.saturating_sub(self.stepped).min(warm).as_secs_f32();
        self.stepped = now;
        let most = 1.0 - TRICKLE;
        let wanted = if demand > 0.0 { (1.0 - bears / demand).clamp(0.0, most) } else { 0.0 };
        if self.stage == Stage::Near && now >= self.entered + FORGIVEN {
            self.holds = 0;
        }
        match self.stage {
            Stage::Near if wanted > WORTH => {
                if now >= *self.since.get_or_insert(now) + SEEN {
                    self.enter(now, Stage::Out);
                    (self.part, self.moves) = (wanted, self.moves + 1);
                }
            }
            Stage::Near => self.since = None,
            Stage::Out if wanted > self.part - WORTH => {
                self.part = self.part.max(wanted);
                self.since = None;
            }
            Stage::Out => {
                let hold = HOLD[0].saturating_mul(1 << self.holds.min(8)).min(HOLD[1]);
                if now >= *self.since.get_or_insert(now) + hold {
                    self.enter(now, Stage::Back);
                }
            }
            Stage::Back if wanted > self.part + WORTH => {
                self.enter(now, Stage::Out);
                (self.part, self.moves, self.holds) = (wanted, self.moves + 1, self.holds + 1);
            }
            Stage::Back => {
                // Traffic returns linearly, no faster than cold nodes warm up.
                self.part = (self.part - span / warm.as_secs_f32().max(0.1)).max(wanted);
                if self.part <= WORTH / 2.0 {
                    self.enter(now, Stage::Near);
                    (self.part, self.holds) = (0.0, self.holds + 1);
                }
            }
        }
    }

    fn enter(&mut self, now: Duration, stage: Stage) {
        (self.stage, self.entered, self.since) = (stage, now, None);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WARM: Duration = Duration::from_secs(5);

    /// Runs a zone with a demand of 100, which bears `bears` at each time in seconds; returns the fraction
    /// that has left at each quarter second.
    fn play(seconds: u64, bears: impl Fn(f64) -> f32) -> (Course, Vec<f32>) {
        let (mut course, mut parts) = (Course::default(), Vec::new());
        for beat in 0..4 * seconds {
            let at = beat as f64 / 4.0;
            course.step(Duration::from_secs_f64(at), 100.0, bears(at), WARM);
            parts.push(course.part);
        }
        (course, parts)
    }

    #[test]
    fn a_zone_that_dies_is_left_within_a_second_and_come_back_to_as_a_slope() {
        let (course, parts) = play(60, |at| if (10.0..20.0).contains(&at) { 0.0 } else { 150.0 });
        assert_eq!((parts[39], parts[44]), (0.0, 1.0 - TRICKLE));
        assert!(
            parts.windows(2).all(|w| w[0] - w[1] <= 0.0501),
            "traffic returned faster than nodes warm up"
        );
        assert_eq!((course.moves, course.part, course.stage), (1, 0.0, Stage::Near));
    }

    #[test]
    fn a_zone_that_flickers_for_a_minute_is_left_once_and_come_back_to_once() {
        let (course, parts) = play(120, |at| {
            let flickers = (10.0..70.0).contains(&at) && (at - 10.0) % 4.0 < 2.0;
            if flickers {
                0.0
            } else {
                150.0
            }
        });
        assert_eq!((course.moves, course.stage), (1, Stage::Near));
        assert!(parts[4 * 12..4 * 68].iter().all(|p| *p > 0.9));
    }

    #[test]
    fn each_return_that_failed_makes_the_next_wait_longer() {
        // Healthy for 15 s, dead for 5 s, repeatedly: traffic moves out less and less often.
        let (course, _) = play(600, |at| if at % 20.0 < 5.0 { 0.0 } else { 150.0 });
        assert!(course.moves <= 6, "{} moves", course.moves);
    }

    #[test]
    fn what_a_zone_bears_stays_and_one_bad_moment_moves_nobody() {
        let (course, parts) = play(60, |at| if at == 30.0 { 0.0 } else { 103.0 });
        assert_eq!((course.moves, parts.iter().fold(0.0, |a: f32, b| a.max(*b))), (0, 0.0));
        let (half, _) = play(60, |at| if at > 10.0 { 40.0 } else { 103.0 });
        assert!((half.part - 0.6).abs() < 0.01);
    }
}
