//! A seeded pseudorandom generator that yields the same sequence on every machine.

use std::time::Duration;

/// A linear congruential generator.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(2_654_435_761).wrapping_add(88_172_645_463_325_252))
    }

    /// A number in `0..most`.
    pub fn below(&mut self, most: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % most.max(1)
    }

    /// True with this probability in percent.
    pub fn chance(&mut self, percent: usize) -> bool {
        self.below(100) < percent
    }

    /// A duration of at least `least` and less than `most` milliseconds.
    pub fn millis(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(least + self.below((most - least) as usize) as u64)
    }
}
