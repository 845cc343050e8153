//! Observations of a zone, aggregated over many marshals so that no single one decides.

use serde::{Deserialize, Serialize};

/// One marshal's current observation of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Observation {
    /// Capacity of its ready nodes by the node list, in nodes of power 1; cold nodes count with their current
    /// capacity.
    pub capacity: f32,
    /// Seconds of a node of power 1 that an RPC takes there, as the nodes report it; `None` without a recent
    /// report.
    pub cost: Option<f32>,
    /// Fraction of that capacity that is busy, as the nodes report it; `None` without a recent report.
    pub busy: Option<f32>,
    /// Fraction of the recently ended picks there that were answered; `None` if there were too few.
    pub answered_fraction: Option<f32>,
    /// RPCs per second sent there, over at least the last second.
    pub sent: f32,
}

/// A mean, as a sum and its weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Mean {
    /// The weight.
    pub n: f32,
    /// Sum of the values.
    pub sum: f32,
}

impl Mean {
    fn of(value: Option<f32>) -> Self {
        let value = value.filter(|v| v.is_finite());
        Mean { n: if value.is_some() { 1.0 } else { 0.0 }, sum: value.unwrap_or(0.0) }
    }

    fn add(&mut self, other: Mean) {
        (self.n, self.sum) = (self.n + other.n, self.sum + other.sum);
    }

    /// The mean; `None` without weight.
    pub fn get(&self) -> Option<f32> {
        (self.n > 0.0 && self.sum.is_finite()).then(|| self.sum / self.n)
    }
}

/// Number of equal bins for the answered fraction; the last bin means all were answered.
const BINS: usize = 6;

/// Aggregated observations of many marshals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AggregatedObservation {
    /// See [`Observation::capacity`].
    pub capacity: Mean,
    /// See [`Observation::cost`].
    pub cost: Mean,
    /// See [`Observation::busy`].
    pub busy: Mean,
    /// RPCs per second sent there by all of them.
    pub sent: f32,
    /// Histogram of the answered fraction, by number of marshals.
    whole: [u16; BINS],
}

impl AggregatedObservation {
    /// The aggregate of a single observation.
    pub fn of(observation: &Observation) -> Self {
        let mut whole = [0; BINS];
        if let Some(part) = observation.answered_fraction {
            let bin = (part.clamp(0.0, 1.0) * (BINS - 1) as f32).round() as usize;
            whole[bin] = 1;
        }
        AggregatedObservation {
            capacity: Mean::of(Some(observation.capacity)),
            cost: Mean::of(observation.cost),
            busy: Mean::of(observation.busy),
            sent: observation.sent,
            whole,
        }
    }

    /// Adds the observations of other marshals.
    pub fn add(&mut self, other: &AggregatedObservation) {
        self.capacity.add(other.capacity);
        self.cost.add(other.cost);
        self.busy.add(other.busy);
        self.sent += other.sent;
        self.whole.iter_mut().zip(other.whole).for_each(|(a, b)| *a = a.saturating_add(b));
    }

    /// Number of marshals that reported an answered fraction.
    pub fn observers(&self) -> u16 {
        self.whole.iter().fold(0, |a, b| a.saturating_add(*b))
    }

    /// Median of the answered fraction, on which one marshal with a bad link has little effect. `None` if
    /// fewer than two marshals report it: a single one cannot tell its own link from the zone.
    pub fn answered(&self) -> Option<f32> {
        let all = self.observers();
        if all < 2 {
            return None;
        }
        // For an even number, the better of the two middle values: more than half must observe a fault.
        let mut remaining = all / 2;
        let bin = self.whole.iter().position(|n| {
            let found = remaining < *n;
            remaining = remaining.saturating_sub(*n);
            found
        });
        Some(bin.unwrap_or(BINS - 1) as f32 / (BINS - 1) as f32)
    }

    /// RPCs per second that the zone can take at the given fraction of its capacity.
    pub fn sustainable_rate(&self, utilization: f32) -> Option<f32> {
        let cost = self.cost.get().filter(|c| *c > 0.0)?;
        Some(utilization * self.capacity.get()? * self.answered().unwrap_or(1.0) / cost)
    }

    /// RPCs per second that the zone can take beside its current load, up to the given fraction of its
    /// capacity.
    pub fn spare_rate(&self, utilization: f32) -> Option<f32> {
        let cost = self.cost.get().filter(|c| *c > 0.0)?;
        let capacity = self.capacity.get()?;
        Some((utilization * self.answered().unwrap_or(1.0) - self.busy.get()?) * capacity / cost)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sights_of(parts: &[f32]) -> AggregatedObservation {
        let mut sum = AggregatedObservation::default();
        for part in parts {
            let observation = Observation {
                capacity: 10.0,
                cost: Some(0.1),
                busy: Some(0.5),
                answered_fraction: Some(*part),
                sent: 1.0,
            };
            sum.add(&AggregatedObservation::of(&observation));
        }
        sum
    }

    #[test]
    fn a_fault_counts_only_if_most_marshals_observe_it() {
        assert_eq!(sights_of(&[1.0, 0.0, 1.0]).answered(), Some(1.0));
        assert_eq!(sights_of(&[0.0, 0.0, 1.0]).answered(), Some(0.0));
        assert_eq!(sights_of(&[0.0, 1.0]).answered(), Some(1.0));
        assert_eq!(sights_of(&[0.0]).answered(), None);
    }

    #[test]
    fn sustainable_and_spare_rates_follow_capacity_and_load() {
        let half = sights_of(&[1.0, 1.0, 1.0]);
        assert!((half.sustainable_rate(0.8).unwrap() - 80.0).abs() < 0.01);
        assert!((half.spare_rate(0.8).unwrap() - 30.0).abs() < 0.01);
        assert_eq!(AggregatedObservation::default().spare_rate(0.8), None);
    }
}
