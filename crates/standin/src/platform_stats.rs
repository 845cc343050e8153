//! Sampled statistics of the platform: for each build and method, how many picks of the sample ended in a past
//! period, how many of them failed, and how long the others took. All marshals get the same figures, with a delay.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use ivydrift_wire::controller::ControllerCounts;

/// How the platform samples picks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sampling {
    /// Length of a period; zero disables the statistics.
    pub period: Duration,
    /// Share of the picks in the sample.
    pub share: f64,
    /// How long after its end a period is reported.
    pub report_delay: Duration,
}

/// Ended periods kept for marshals that poll late.
const MAX_PERIODS: usize = 8;

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
pub struct PickStats {
    /// Sampled picks in flight, by node and attempt: build, method and start.
    in_flight: HashMap<(u32, u64), (u32, usize, Duration)>,
    open_period: BTreeMap<(u32, usize), Count>,
    number: u64,
    past_periods: VecDeque<Period>,
    /// The latest period reported to each marshal.
    reported: HashMap<usize, u64>,
}

impl PickStats {
    /// A sampled pick reached a node.
    pub fn pick_started(&mut self, node: u32, id: u64, build: u32, method: usize, at: Duration) {
        self.in_flight.insert((node, id), (build, method, at));
    }

    /// A pick ended; one outside the sample is ignored.
    pub fn pick_ended(&mut self, node: u32, id: u64, at: Duration, ok: bool) {
        let Some((build, method, since)) = self.in_flight.remove(&(node, id)) else { return };
        let count = self.open_period.entry((build, method)).or_default();
        count.picks += 1;
        if ok {
            count.seconds += at.saturating_sub(since).as_secs_f64();
        } else {
            count.failed += 1;
        }
    }

    /// Closes the periods that have ended.
    pub fn close_periods(&mut self, now: Duration, period_length: Duration) {
        while !period_length.is_zero() && now >= period_length * (self.number as u32 + 1) {
            self.number += 1;
            let (number, ended) = (self.number, period_length * self.number as u32);
            self.past_periods.push_back(Period {
                number,
                ended,
                counts: std::mem::take(&mut self.open_period),
            });
            if self.past_periods.len() > MAX_PERIODS {
                self.past_periods.pop_front();
            }
        }
    }

    /// The periods that are due for a marshal and that it has not seen.
    pub fn take_due(
        &mut self, now: Duration, marshal: usize, delay: Duration, names: &[&str],
    ) -> Vec<ControllerCounts> {
        let latest = self.reported.get(&marshal).copied().unwrap_or(0);
        let due = |p: &&Period| p.number > latest && p.ended + delay <= now;
        let mut sums = Vec::new();
        for period in self.past_periods.iter().filter(due) {
            for (&(build, method), count) in &period.counts {
                let served = count.picks - count.failed;
                sums.push(ControllerCounts {
                    build,
                    method: names[method].to_owned(),
                    picks: count.picks,
                    failed: count.failed,
                    mean_ms: 1000.0 * count.seconds / f64::from(served.max(1)),
                    age_ms: (now - period.ended).as_millis() as u64,
                });
            }
            self.reported.insert(marshal, period.number);
        }
        sums
    }

    /// A restarted marshal has seen no period.
    pub fn forget_marshal(&mut self, marshal: usize) {
        self.reported.remove(&marshal);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_marshal_gets_a_period_once_after_the_delay() {
        let s = Duration::from_secs;
        let mut stats = PickStats::default();
        for id in 0..10 {
            stats.pick_started(1, id, 2, 0, s(1));
            stats.pick_ended(1, id, s(2), id != 0);
        }
        // Still in flight at the end of the period: it counts in the next one.
        stats.pick_started(1, 10, 2, 0, s(4));
        stats.close_periods(s(5), s(5));
        assert!(stats.take_due(s(5), 0, s(1), &["read"]).is_empty());
        let due_sums = stats.take_due(s(6), 0, s(1), &["read"]);
        assert_eq!(due_sums.len(), 1);
        assert_eq!(
            (due_sums[0].build, due_sums[0].picks, due_sums[0].failed, due_sums[0].age_ms),
            (2, 10, 1, 1000)
        );
        assert!((due_sums[0].mean_ms - 1000.0).abs() < 1e-6);
        assert!(stats.take_due(s(7), 0, s(1), &["read"]).is_empty());
        assert_eq!(stats.take_due(s(7), 1, s(1), &["read"]).len(), 1);
        stats.pick_ended(1, 10, s(6), true);
        stats.close_periods(s(10), s(5));
        assert_eq!(stats.take_due(s(11), 0, s(1), &["read"])[0].picks, 1);
        stats.forget_marshal(1);
        assert_eq!(stats.take_due(s(11), 1, s(1), &["read"]).len(), 2);
    }
}
