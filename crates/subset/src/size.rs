//! Target size of a marshal's subset.

use std::time::Duration;

/// Maximum mean rate of RPCs per second from a marshal to one node. At the fleet's mean peak of 95 RPCs/s a
/// marshal wants the minimum size; a busier one wants more, or its nodes would get more load than others.
const PER_NODE: f64 = 4.0;
/// Ratio between successive sizes: small changes of the rate do not change the subset.
const STEP: f64 = 1.5;
/// The subset shrinks only if the smaller size would suffice for this multiple of the rate...
const SLACK: f64 = 1.5;
/// ...and has done so for this long. This keeps the subset from following bursts: each change costs
/// connections.
const CALM: Duration = Duration::from_secs(60);
/// Maximum size. Beyond it, more nodes do not improve two random choices, and each one costs connections.
const MOST: usize = 1024;

/// Target subset size by the rate of RPCs.
#[derive(Clone, Debug)]
pub struct Size {
    least: usize,
    want: usize,
    /// Since when a smaller size has sufficed.
    calm: Option<Duration>,
}

impl Size {
    /// Starts at the minimum size.
    pub fn new(least: usize) -> Self {
        Size { least, want: least, calm: None }
    }

    /// The target number of nodes.
    pub fn want(&self) -> usize {
        self.want
    }

    /// The smallest size that suffices for this many RPCs per second.
    fn step(&self, rate: f64) -> usize {
        let mut size = self.least;
        while (size as f64) * PER_NODE < rate && size < MOST {
            size = ((size as f64 * STEP) as usize).max(size + 1).min(MOST.max(self.least));
        }
        size
    }

    /// Takes the rate of the last seconds, in RPCs per second; true if the target size changed.
    pub fn look(&mut self, now: Duration, rate: f64) -> bool {
        let (due, fewer) = (self.step(rate), self.step(rate * SLACK));
        if due > self.want {
            (self.want, self.calm) = (due, None);
            return true;
        }
        if fewer >= self.want {
            self.calm = None;
            return false;
        }
        let since = *self.calm.get_or_insert(now);
        let calm = now >= since + CALM;
        if calm {
            (self.want, self.calm) = (fewer, None);
        }
        calm
    }
}
