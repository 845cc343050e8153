//! A seeded pseudorandom generator that yields the same sequence on every machine.

use std::time::Duration;

/// A linear congruential generator.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(2_654_435_761).wrapping_add(88_172_645_463_325_252))
    }

    /// A number in `0..bound`.
    pub fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % bound.max(1)
    }

    /// True with this probability in percent.
    pub fn chance(&mut self, percent: usize) -> bool {
        self.below(100) < percent
    }

    /// A duration of at least `from` and less than `to` milliseconds.
    pub fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.below((to - from) as usize) as u64)
    }
}
