//! How many nodes a marshal wants.

use std::time::Duration;

/// RPCs a second that a marshal sends one node on the mean, at the most. A marshal of the fleet's mean at the peak, 95
/// RPCs a second, wants the least; a busier one wants more, or its nodes would have more to do than others.
const PER_NODE: f64 = 4.0;
/// Sizes are steps, each so many times the last: a rate that wavers moves no nodes.
const STEP: f64 = 1.5;
/// It shrinks to a smaller step only where that would fit this multiple of the rate...
const SLACK: f64 = 1.5;
/// ...and has for so long. Guards against subsets that breathe with bursts: each change costs connections.
const CALM: Duration = Duration::from_secs(60);
/// Beyond this more nodes say nothing more to two random choices, and each is a cost.
const MOST: usize = 1024;

/// How many nodes a marshal wants, by the rate of its RPCs.
#[derive(Clone, Debug)]
pub struct Size {
    least: usize,
    want: usize,
    /// Since when fewer would do.
    calm: Option<Duration>,
}

impl Size {
    pub fn new(least: usize) -> Self {
        Size { least, want: least, calm: None }
    }

    pub fn want(&self) -> usize {
        self.want
    }

    /// The smallest step that suffices for so many RPCs a second.
    fn step(&self, rate: f64) -> usize {
        let mut size = self.least;
        while (size as f64) * PER_NODE < rate && size < MOST {
            size = ((size as f64 * STEP) as usize).max(size + 1).min(MOST.max(self.least));
        }
        size
    }

    /// Takes the rate of the last seconds; true where it wants another number now.
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
