//! Client-side statistics of a run, by phase.

use std::time::Duration;

use hdrhistogram::Histogram;
use ivydrift_audit::trace::AnswerKind;
use ivydrift_wire::controller::Verdict;

use crate::rollout::RolloutStatus;

/// A phase of the day, and the results of the RPCs that began in it.
pub struct Phase {
    pub from: Duration,
    pub to: Duration,
    /// The active faults, or "quiet".
    pub label: String,
    pub asked: u64,
    pub ok: u64,
    /// Ok answers after the soft deadline.
    pub late: u64,
    pub pushed_back: u64,
    pub aborted: u64,
    /// Without an answer: connection refused or lost, deadline passed, or cancelled.
    pub none: u64,
    pub picks: u64,
    /// Votes that were counted: to promote, to hold, to roll back.
    pub votes: [u64; 3],
    /// Latencies of ok answers, in microseconds.
    pub times: Histogram<u64>,
}

impl Phase {
    /// Creates a phase without results.
    pub fn new(from: Duration, to: Duration, label: String) -> Self {
        // Constant valid bounds: 1 us to 1 min, with three significant digits.
        let times = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds of a histogram");
        Phase {
            from,
            to,
            label,
            asked: 0,
            ok: 0,
            late: 0,
            pushed_back: 0,
            aborted: 0,
            none: 0,
            picks: 0,
            votes: [0; 3],
            times,
        }
    }

    /// Counts an answer. `soft`: the soft deadline.
    pub fn answered(&mut self, kind: AnswerKind, took: Duration, soft: Duration, picks: u32) {
        self.picks += u64::from(picks);
        match kind {
            AnswerKind::Ok => {
                self.ok += 1;
                self.late += u64::from(took > soft);
                self.times.saturating_record(took.as_micros() as u64);
            }
            AnswerKind::PushedBack => self.pushed_back += 1,
            AnswerKind::Aborted => self.aborted += 1,
        }
    }

    /// Counts a vote.
    pub fn voted(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::On => self.votes[0] += 1,
            Verdict::Hold => self.votes[1] += 1,
            Verdict::Back => self.votes[2] += 1,
            Verdict::None => {}
        }
    }

    /// The state of the latest rollout at the end of the phase.
    pub fn stands<'a>(&self, course: &'a [(Duration, RolloutStatus)]) -> Option<&'a RolloutStatus> {
        course.iter().rev().find(|c| c.0 < self.to).map(|c| &c.1)
    }

    /// A quantile of the latencies of ok answers.
    pub fn quantile(&self, q: f64) -> Duration {
        Duration::from_micros(if self.times.is_empty() { 0 } else { self.times.value_at_quantile(q) })
    }
}
