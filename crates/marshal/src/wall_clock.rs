//! Converts wall clock times given by others. The wall clock may step while the marshal runs.

use std::time::Duration;

/// Smaller differences are clock slewing and rounding, not a step.
const STEP_MS: u64 = 500;

/// Number of clock offsets remembered.
const MAX_OFFSETS: usize = 8;

/// Offsets of the wall clock to the marshal's own time, as Unix milliseconds of its zero, the latest last.
pub struct WallClock {
    zeros_ms: Vec<u64>,
}

impl WallClock {
    pub fn new(epoch_ms: u64) -> Self {
        WallClock { zeros_ms: vec![epoch_ms] }
    }

    /// Records the current offset, if it differs from all known ones by a step.
    pub fn record(&mut self, epoch_ms: u64) {
        if self.zeros_ms.iter().any(|known| known.abs_diff(epoch_ms) <= STEP_MS) {
            return;
        }
        if self.zeros_ms.len() >= MAX_OFFSETS {
            self.zeros_ms.remove(0);
        }
        self.zeros_ms.push(epoch_ms);
    }

    /// Converts a Unix time given by another process to the marshal's time, by each known offset. Returns the
    /// latest result that is not in the future, so that a process counts as young (cold) rather than warm. If
    /// all results lie in the future, returns the earliest; `None` if all lie before zero.
    pub fn to_past_time(&self, now: Duration, unix_ms: u64) -> Option<Duration> {
        let times = || {
            let since = |zero: &u64| Some(Duration::from_millis(unix_ms.checked_sub(*zero)?));
            self.zeros_ms.iter().filter_map(since)
        };
        times().filter(|at| *at <= now).max().or(times().min())
    }
}

#[cfg(test)]
mod tests;
