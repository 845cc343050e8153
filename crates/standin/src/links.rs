//! Scripted faults of the network links between processes: which datagrams are lost, delayed or duplicated. Without
//! I/O and seeded, so that sockets and virtual time can use it.

use std::ops::Range;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// The effect of a fault on a datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkEffect {
    /// Every datagram is lost.
    Down,
    /// The link is down and up alternately, each for this long, down first.
    Flap(Duration),
    /// This part of the datagrams is lost.
    Loss(f64),
    /// A delay drawn uniformly from this range is added.
    Delay(Range<Duration>),
    /// This part of the datagrams arrives twice.
    Duplicate(f64),
    /// This part of the datagrams is delayed by this long, so that later ones overtake them.
    Reorder(f64, Duration),
}

/// A fault that is active for some time on some links.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkFault {
    pub at: Duration,
    pub lasts: Duration,
    /// The senders affected.
    pub from: Vec<usize>,
    /// The receivers affected.
    pub to: Vec<usize>,
    /// The reverse direction is affected as well.
    pub both: bool,
    pub effect: LinkEffect,
}

impl LinkFault {
    fn affects(&self, now: Duration, from: usize, to: usize) -> bool {
        let matches_link = |a: usize, b: usize| self.from.contains(&a) && self.to.contains(&b);
        let on = now >= self.at && now < self.at.saturating_add(self.lasts);
        on && (matches_link(from, to) || (self.both && matches_link(to, from)))
    }
}

/// All faults, and the random generator that applies them.
pub struct Links {
    faults: Vec<LinkFault>,
    rng: Pcg64,
}

impl Links {
    /// Creates links with these faults.
    pub fn new(seed: u64, faults: Vec<LinkFault>) -> Self {
        Links { faults, rng: Pcg64::seed_from_u64(seed) }
    }

    /// Adds a fault.
    pub fn add(&mut self, fault: LinkFault) {
        self.faults.push(fault);
    }

    /// Removes all faults.
    pub fn clear(&mut self) {
        self.faults.clear();
    }

    /// The delay of each copy of a datagram; empty if it is lost.
    pub fn copy_delays(&mut self, now: Duration, from: usize, to: usize) -> Vec<Duration> {
        let (mut delay, mut copies) = (Duration::ZERO, 1);
        for fault in self.faults.iter().filter(|f| f.affects(now, from, to)) {
            let rng = &mut self.rng;
            let mut happens = |part: f64| rng.random::<f64>() < part;
            match &fault.effect {
                LinkEffect::Down => return vec![],
                LinkEffect::Flap(half_period) => {
                    let half_periods = (now - fault.at).as_nanos() / half_period.as_nanos().max(1);
                    if half_periods.is_multiple_of(2) {
                        return vec![];
                    }
                }
                LinkEffect::Loss(part) => {
                    if happens(*part) {
                        return vec![];
                    }
                }
                LinkEffect::Delay(span) => {
                    let part: f64 = rng.random();
                    delay += span.start + span.end.saturating_sub(span.start).mul_f64(part);
                }
                LinkEffect::Duplicate(part) => copies += usize::from(happens(*part)),
                LinkEffect::Reorder(part, by) => {
                    if happens(*part) {
                        delay += *by;
                    }
                }
            }
        }
        vec![delay; copies]
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fault(effect: LinkEffect) -> LinkFault {
        let (at, lasts) = (Duration::from_secs(10), Duration::from_secs(20));
        LinkFault { at, lasts, from: vec![0, 1], to: vec![2], both: false, effect }
    }

    fn at(seconds: f64) -> Duration {
        Duration::from_secs_f64(seconds)
    }

    #[test]
    fn a_cut_applies_in_its_time_and_direction_only() {
        let mut links = Links::new(1, vec![fault(LinkEffect::Down)]);
        let arrives = |links: &mut Links, s, from, to| !links.copy_delays(at(s), from, to).is_empty();
        assert!(!arrives(&mut links, 10.0, 0, 2) && !arrives(&mut links, 29.9, 1, 2));
        assert!(arrives(&mut links, 9.9, 0, 2) && arrives(&mut links, 30.0, 0, 2));
        assert!(arrives(&mut links, 15.0, 2, 0) && arrives(&mut links, 15.0, 0, 1));
        let mut both = Links::new(1, vec![LinkFault { both: true, ..fault(LinkEffect::Down) }]);
        assert!(!arrives(&mut both, 15.0, 2, 0));
    }

    #[test]
    fn loss_duplication_and_delay_match_their_parameters() {
        let half = Links::new(5, vec![fault(LinkEffect::Loss(0.3)), fault(LinkEffect::Duplicate(0.2))]);
        let count =
            |mut links: Links| (0..10_000).map(|_| links.copy_delays(at(12.0), 0, 2).len()).sum::<usize>();
        assert!((8200..8600).contains(&count(half)));
        let mut slow = Links::new(5, vec![fault(LinkEffect::Delay(at(0.1)..at(0.3)))]);
        let delays: Vec<Duration> = (0..1000).flat_map(|_| slow.copy_delays(at(12.0), 0, 2)).collect();
        assert!(delays.iter().all(|d| (at(0.1)..at(0.3)).contains(d)));
        assert!(delays.iter().any(|d| *d > at(0.28)) && delays.iter().any(|d| *d < at(0.12)));
    }

    #[test]
    fn a_flapping_link_is_down_and_up_alternately() {
        let mut links = Links::new(1, vec![fault(LinkEffect::Flap(at(2.0)))]);
        let arrived: Vec<bool> =
            (0..8).map(|i| !links.copy_delays(at(10.5 + f64::from(i)), 0, 2).is_empty()).collect();
        assert_eq!(arrived, [false, false, true, true, false, false, true, true]);
    }
}
