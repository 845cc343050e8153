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
const MIN_MOVE: f32 = 0.05;
/// How long an overload must last before traffic leaves: one late answer moves nothing.
const OVERLOAD_DELAY: Duration = Duration::from_millis(400);
/// How long a zone must be able to bear more before traffic returns, doubled with each move up to the second
/// value. This prevents oscillation. The cost: a zone that recovers just after it failed twice stays unused
/// for that long.
const RETURN_HOLDS: [Duration; 2] = [Duration::from_secs(4), Duration::from_secs(60)];
/// A zone whose traffic stayed local for this long starts again with the shortest hold.
const HOLD_RESET: Duration = Duration::from_secs(180);
/// Fraction of the traffic that always stays in the zone: without it the zone's recovery would not be seen.
pub const MIN_LOCAL: f32 = 0.02;

/// Failover state of one zone.
#[derive(Clone, Debug, Default)]
pub struct Controller {
    /// The current stage.
    pub stage: Stage,
    /// Fraction of the zone's RPCs that is to leave.
    pub part: f32,
    /// Number of moves out so far.
    pub moves_out: u32,
    /// Number of recent returns, completed or broken off; each doubles the hold.
    returns: u32,
    /// Since when the zone has been overloaded, or since when it could bear more.
    condition_since: Option<Duration>,
    /// When the current stage began.
    entered_at: Duration,
    /// When [`Controller::step`] was last called.
    stepped_at: Duration,
}

impl Controller {
    /// `demand` (RPCs/s) of the zone's clients and what the zone can bear of it; `warm`: warm-up time of a
    /// cold node.
    pub fn step(&mut self, now: Duration, demand: f32, sustainable: f32, warm: Duration) {
        let elapsed = now.saturating_sub(self.stepped_at).min(warm).as_secs_f32();
        self.stepped_at = now;
        let max_part = 1.0 - MIN_LOCAL;
        let wanted_part = if demand > 0.0 { (1.0 - sustainable / demand).clamp(0.0, max_part) } else { 0.0 };
        if self.stage == Stage::Near && now >= self.entered_at + HOLD_RESET {
            self.returns = 0;
        }
        match self.stage {
            Stage::Near if wanted_part > MIN_MOVE => {
                if now >= *self.condition_since.get_or_insert(now) + OVERLOAD_DELAY {
                    self.enter_stage(now, Stage::Out);
                    (self.part, self.moves_out) = (wanted_part, self.moves_out + 1);
                }
            }
            Stage::Near => self.condition_since = None,
            Stage::Out if wanted_part > self.part - MIN_MOVE => {
                self.part = self.part.max(wanted_part);
                self.condition_since = None;
            }
            Stage::Out => {
                let hold = RETURN_HOLDS[0].saturating_mul(1 << self.returns.min(8)).min(RETURN_HOLDS[1]);
                if now >= *self.condition_since.get_or_insert(now) + hold {
                    self.enter_stage(now, Stage::Back);
                }
            }
            Stage::Back if wanted_part > self.part + MIN_MOVE => {
                self.enter_stage(now, Stage::Out);
                (self.part, self.moves_out, self.returns) =
                    (wanted_part, self.moves_out + 1, self.returns + 1);
            }
            Stage::Back => {
                // Traffic returns linearly, no faster than cold nodes warm up.
                self.part = (self.part - elapsed / warm.as_secs_f32().max(0.1)).max(wanted_part);
                if self.part <= MIN_MOVE / 2.0 {
                    self.enter_stage(now, Stage::Near);
                    (self.part, self.returns) = (0.0, self.returns + 1);
                }
            }
        }
    }

    fn enter_stage(&mut self, now: Duration, stage: Stage) {
        (self.stage, self.entered_at, self.condition_since) = (stage, now, None);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WARM: Duration = Duration::from_secs(5);

    /// Runs a zone with a demand of 100, which bears `sustainable` at each time in seconds; returns the
    /// fraction that has left at each quarter second.
    fn run(seconds: u64, sustainable: impl Fn(f64) -> f32) -> (Controller, Vec<f32>) {
        let (mut controller, mut parts) = (Controller::default(), Vec::new());
        for tick in 0..4 * seconds {
            let at = tick as f64 / 4.0;
            controller.step(Duration::from_secs_f64(at), 100.0, sustainable(at), WARM);
            parts.push(controller.part);
        }
        (controller, parts)
    }

    #[test]
    fn traffic_leaves_a_dead_zone_within_a_second_and_returns_gradually() {
        let (controller, parts) = run(60, |at| if (10.0..20.0).contains(&at) { 0.0 } else { 150.0 });
        assert_eq!((parts[39], parts[44]), (0.0, 1.0 - MIN_LOCAL));
        assert!(
            parts.windows(2).all(|w| w[0] - w[1] <= 0.0501),
            "traffic returned faster than nodes warm up"
        );
        assert_eq!((controller.moves_out, controller.part, controller.stage), (1, 0.0, Stage::Near));
    }

    #[test]
    fn traffic_leaves_a_flapping_zone_once_and_returns_once() {
        let (controller, parts) = run(120, |at| {
            let flickers = (10.0..70.0).contains(&at) && (at - 10.0) % 4.0 < 2.0;
            if flickers {
                0.0
            } else {
                150.0
            }
        });
        assert_eq!((controller.moves_out, controller.stage), (1, Stage::Near));
        assert!(parts[4 * 12..4 * 68].iter().all(|p| *p > 0.9));
    }

    #[test]
    fn each_failed_return_lengthens_the_next_hold() {
        // Healthy for 15 s, dead for 5 s, repeatedly: traffic moves out less and less often.
        let (controller, _) = run(600, |at| if at % 20.0 < 5.0 { 0.0 } else { 150.0 });
        assert!(controller.moves_out <= 6, "{} moves", controller.moves_out);
    }

    #[test]
    fn sustainable_traffic_stays_and_one_bad_moment_moves_nothing() {
        let (controller, parts) = run(60, |at| if at == 30.0 { 0.0 } else { 103.0 });
        assert_eq!((controller.moves_out, parts.iter().fold(0.0, |a: f32, b| a.max(*b))), (0, 0.0));
        let (half, _) = run(60, |at| if at > 10.0 { 40.0 } else { 103.0 });
        assert!((half.part - 0.6).abs() < 0.01);
    }
}
