//! Target size of a marshal's subset.

use std::time::Duration;

/// Maximum mean rate of RPCs per second from a marshal to one node. At the fleet's mean peak of 95 RPCs/s a
/// marshal wants the minimum size; a busier one wants more, or its nodes would get more load than others.
const MAX_RATE_PER_NODE: f64 = 4.0;
/// Ratio between successive sizes: small changes of the rate do not change the subset.
const STEP_FACTOR: f64 = 1.5;
/// The subset shrinks only if the smaller size would suffice for this multiple of the rate...
const SHRINK_MARGIN: f64 = 1.5;
/// ...and has done so for this long. This keeps the subset from following bursts: each change costs
/// connections.
const SHRINK_DELAY: Duration = Duration::from_secs(60);
/// Maximum size. Beyond it, more nodes do not improve two random choices, and each one costs connections.
const MAX_SIZE: usize = 1024;

/// Target subset size by the rate of RPCs.
#[derive(Clone, Debug)]
pub struct Size {
    least: usize,
    target: usize,
    /// Since when a smaller size has sufficed.
    smaller_since: Option<Duration>,
}

impl Size {
    /// Starts at the minimum size.
    pub fn new(least: usize) -> Self {
        Size { least, target: least, smaller_since: None }
    }

    /// The target number of nodes.
    pub fn target(&self) -> usize {
        self.target
    }

    /// The smallest size that suffices for this many RPCs per second.
    fn size_for(&self, rate: f64) -> usize {
        let mut size = self.least;
        while (size as f64) * MAX_RATE_PER_NODE < rate && size < MAX_SIZE {
            size = ((size as f64 * STEP_FACTOR) as usize).max(size + 1).min(MAX_SIZE.max(self.least));
        }
        size
    }

    /// Takes the rate of the last seconds, in RPCs per second; true if the target size changed.
    pub fn update(&mut self, now: Duration, rate: f64) -> bool {
        let (needed, smaller) = (self.size_for(rate), self.size_for(rate * SHRINK_MARGIN));
        if needed > self.target {
            (self.target, self.smaller_since) = (needed, None);
            return true;
        }
        if smaller >= self.target {
            self.smaller_since = None;
            return false;
        }
        let since = *self.smaller_since.get_or_insert(now);
        let shrink = now >= since + SHRINK_DELAY;
        if shrink {
            (self.target, self.smaller_since) = (smaller, None);
        }
        shrink
    }
}
