//! Sampled statistics of the platform: for each build and method, how many picks of the sample ended in a past
//! period, how many of them failed, and how long the others took. All marshals get the same figures, with a delay.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use ivydrift_wire::desk::Sums;

/// How the platform samples picks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tally {
    /// Length of a period; zero disables the statistics.
    pub every: Duration,
    /// Share of the picks in the sample.
    pub share: f64,
    /// How long after its end a period is reported.
    pub late: Duration,
}

/// Ended periods kept for marshals that poll late.
const KEPT: usize = 8;

#[derive(Clone, Copy, Default)]
struct Count {
    picks: u32,
    failed: u32,
    seconds: f64,
}

/// A period that has ended.
struct Period {
    number: u64,
    ended: Duration,
    counts: BTreeMap<(u32, usize), Count>,
}

/// The statistics of all periods, and which marshal has seen which.
#[derive(Default)]
pub struct Tallies {
    /// Sampled picks in flight, by node and attempt: build, method and start.
    held: HashMap<(u32, u64), (u32, usize, Duration)>,
    now: BTreeMap<(u32, usize), Count>,
    number: u64,
    past: VecDeque<Period>,
    /// The latest period reported to each marshal.
    told: HashMap<usize, u64>,
}

impl Tallies {
    /// A sampled pick reached a node.
    pub fn begin(&mut self, node: u32, id: u64, build: u32, method: usize, at: Duration) {
        self.held.insert((node, id), (build, method, at));
    }

    /// A pick ended; one outside the sample is ignored.
    pub fn end(&mut self, node: u32, id: u64, at: Duration, ok: bool) {
        let Some((build, method, since)) = self.held.remove(&(node, id)) else { return };
        let count = self.now.entry((build, method)).or_default();
        count.picks += 1;
        if ok {
            count.seconds += at.saturating_sub(since).as_secs_f64();
        } else {
            count.failed += 1;
        }
    }

    /// Closes the periods that have ended.
    pub fn step(&mut self, now: Duration, every: Duration) {
        while !every.is_zero() && now >= every * (self.number as u32 + 1) {
            self.number += 1;
            let (number, ended) = (self.number, every * self.number as u32);
            self.past.push_back(Period { number, ended, counts: std::mem::take(&mut self.now) });
            if self.past.len() > KEPT {
                self.past.pop_front();
            }
        }
    }

    /// The periods that are due for a marshal and that it has not seen.
    pub fn tell(&mut self, now: Duration, marshal: usize, late: Duration, names: &[&str]) -> Vec<Sums> {
        let known = self.told.get(&marshal).copied().unwrap_or(0);
        let due = |p: &&Period| p.number > known && p.ended + late <= now;
        let mut sums = Vec::new();
        for period in self.past.iter().filter(due) {
            for (&(build, method), count) in &period.counts {
                let served = count.picks - count.failed;
                sums.push(Sums {
                    build,
                    method: names[method].to_owned(),
                    picks: count.picks,
                    failed: count.failed,
                    mean_ms: 1000.0 * count.seconds / f64::from(served.max(1)),
                    age_ms: (now - period.ended).as_millis() as u64,
                });
            }
            self.told.insert(marshal, period.number);
        }
        sums
    }

    /// A restarted marshal has seen no period.
    pub fn forget(&mut self, marshal: usize) {
        self.told.remove(&marshal);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_period_is_told_once_to_each_marshal_and_late() {
        let s = Duration::from_secs;
        let mut tallies = Tallies::default();
        for id in 0..10 {
            tallies.begin(1, id, 2, 0, s(1));
            tallies.end(1, id, s(2), id != 0);
        }
        // Still in flight at the end of the period: it counts in the next one.
        tallies.begin(1, 10, 2, 0, s(4));
        tallies.step(s(5), s(5));
        assert!(tallies.tell(s(5), 0, s(1), &["read"]).is_empty());
        let told = tallies.tell(s(6), 0, s(1), &["read"]);
        assert_eq!(told.len(), 1);
        assert_eq!((told[0].build, told[0].picks, told[0].failed, told[0].age_ms), (2, 10, 1, 1000));
        assert!((told[0].mean_ms - 1000.0).abs() < 1e-6);
        assert!(tallies.tell(s(7), 0, s(1), &["read"]).is_empty());
        assert_eq!(tallies.tell(s(7), 1, s(1), &["read"]).len(), 1);
        tallies.end(1, 10, s(6), true);
        tallies.step(s(10), s(5));
        assert_eq!(tallies.tell(s(11), 0, s(1), &["read"])[0].picks, 1);
        tallies.forget(1);
        assert_eq!(tallies.tell(s(11), 1, s(1), &["read"]).len(), 2);
    }
}
