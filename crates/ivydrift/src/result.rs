//! Prints the result of a day: as a table by phase, with the rollout's progress and a line for each rule, or as
//! JSON.

use std::fmt::Write;
use std::time::Duration;

use ivydrift_audit::{Report, RULES};
use ivydrift_standin::tally::Phase;
use ivydrift_wire::controller::RolloutState;
use serde_json::{json, Value};

/// The rollout's states over time, as the rollout controller recorded them.
pub type RolloutHistory = Vec<(Duration, ivydrift_standin::RolloutStatus)>;

/// The result of a day, or of an audit alone.
pub struct DayResult {
    pub simulated: bool,
    pub report: Report,
    pub phases: Vec<Phase>,
    pub course: RolloutHistory,
    pub votes: u64,
    pub clean: Vec<bool>,
    pub leaked: usize,
}

/// Formats a rollout state in a few words.
fn describe(s: &ivydrift_standin::RolloutStatus) -> String {
    let word = match s.course {
        RolloutState::OnTrial => "trial",
        RolloutState::GoingBack => "going back",
        RolloutState::Released => "released",
        RolloutState::Withdrawn => "withdrawn",
    };
    format!("{}, {} {word}", s.build, s.stage)
}

/// Milliseconds, rounded to one decimal.
fn ms(span: Duration) -> f64 {
    (span.as_secs_f64() * 10_000.0).round() / 10.0
}

impl DayResult {
    /// Returns true if every rule was kept, every marshal shut down cleanly and no connection leaked.
    pub fn passed(&self) -> bool {
        self.report.is_clean() && self.clean.iter().all(|&c| c) && self.leaked == 0
    }

    /// Formats the result as text.
    pub fn table(&self) -> String {
        let mut out = String::new();
        let _ = writeln!(
            out,
            "{:>11}  {:>6} {:>6} {:>5} {:>6} {:>6} {:>5} {:>8} {:>8} {:>5} {:>12} {:<18} troubles",
            "seconds",
            "RPCs",
            "ok",
            "late",
            "pushed",
            "abort",
            "none",
            "p50 ms",
            "p99 ms",
            "picks",
            "on/hold/back",
            "build, stage"
        );
        for phase in &self.phases {
            let answered = (phase.ok + phase.pushed_back + phase.aborted).max(1);
            let _ = writeln!(
                out,
                "{:>5.1}-{:>5.1}  {:>6} {:>6} {:>5} {:>6} {:>6} {:>5} {:>8.1} {:>8.1} {:>5.2} {:>12} {:<18} {}",
                phase.from.as_secs_f64(),
                phase.to.as_secs_f64(),
                phase.asked,
                phase.ok,
                phase.late,
                phase.pushed_back,
                phase.aborted,
                phase.none,
                ms(phase.quantile(0.5)),
                ms(phase.quantile(0.99)),
                phase.picks as f64 / answered as f64,
                phase.votes.map(|n| n.to_string()).join("/"),
                phase.stands(&self.course).map(describe).unwrap_or_default(),
                phase.label
            );
        }
        let _ = writeln!(
            out,
            "\nbuilds ({} votes counted{}):",
            self.votes,
            if self.simulated { ", simulated" } else { "" }
        );
        for (t, s) in &self.course {
            let _ = writeln!(
                out,
                "  {:>5.1} s  build {} stage {} {:?}, cap {}",
                t.as_secs_f64(),
                s.build,
                s.stage,
                s.course,
                s.cap
            );
        }
        out += &self.rules();
        if !self.simulated {
            let clean = self.clean.iter().filter(|&&c| c).count();
            let _ = writeln!(
                out,
                "{clean} of {} marshals shut down cleanly; {} connections leaked",
                self.clean.len(),
                self.leaked
            );
        }
        out
    }

    /// Formats the outcomes of all attempts, a line for each rule, and the first violations.
    pub fn rules(&self) -> String {
        let (mut out, report) = (String::new(), &self.report);
        let _ = writeln!(
            out,
            "\n{} attempts: {} ok, {} pushed back, {} aborted, {} abandoned by the client, {} lost while their marshal was unavailable\n",
            report.asked, report.ok, report.pushed_back, report.aborted, report.left, report.excused
        );
        for (i, rule) in RULES.iter().enumerate() {
            let verdict = if report.breach_counts[i] == 0 { "kept" } else { "BROKEN" };
            let nearest = if report.max_usage[i] > 0.0 {
                format!(", nearest {:.2} of the limit", report.max_usage[i])
            } else {
                String::new()
            };
            let times = if report.breach_counts[i] > 0 {
                format!(" {} times", report.breach_counts[i])
            } else {
                String::new()
            };
            let _ = writeln!(out, "rule {rule}: {verdict}{times} ({} checked{nearest})", report.checked[i]);
        }
        for breach in report.breaches.iter().take(10) {
            let _ = writeln!(
                out,
                "  {:>8.3} s, line {}: {}",
                breach.t as f64 / 1e6,
                breach.line,
                breach.description
            );
        }
        out
    }

    /// Formats the result as a JSON object.
    pub fn json(&self) -> Value {
        let phase_json = |phase: &Phase| {
            json!({
                "from_s": phase.from.as_secs_f64(), "to_s": phase.to.as_secs_f64(), "troubles": phase.label,
                "rpcs": phase.asked, "ok": phase.ok, "late": phase.late, "pushed_back": phase.pushed_back,
                "aborted": phase.aborted, "none": phase.none,
                "p50_ms": ms(phase.quantile(0.5)), "p99_ms": ms(phase.quantile(0.99)), "picks": phase.picks,
                "votes": { "on": phase.votes[0], "hold": phase.votes[1], "back": phase.votes[2] },
                "stands": phase.stands(&self.course).map(|s| json!({
                    "build": s.build, "stage": s.stage, "course": s.course,
                })),
            })
        };
        let standing_json = |(t, s): &(Duration, ivydrift_standin::RolloutStatus)| {
            json!({
                "t_s": t.as_secs_f64(), "build": s.build, "stage": s.stage, "course": s.course, "cap": s.cap,
            })
        };
        let report = &self.report;
        let rule_json = |i: usize| {
            json!({
                "rule": RULES[i], "checked": report.checked[i], "broken": report.breach_counts[i],
                "nearest": report.max_usage[i],
            })
        };
        let breach_json = |breach: &ivydrift_audit::Breach| {
            json!({
                "t_us": breach.t, "line": breach.line, "rule": RULES[breach.rule], "what": breach.description,
            })
        };
        json!({
            "fine": self.passed(),
            "simulated": self.simulated,
            "phases": self.phases.iter().map(phase_json).collect::<Vec<_>>(),
            "course": self.course.iter().map(standing_json).collect::<Vec<_>>(),
            "votes": self.votes,
            "tries": report.asked, "ok": report.ok, "pushed_back": report.pushed_back, "aborted": report.aborted,
            "left": report.left, "excused": report.excused,
            "rules": (0..RULES.len()).map(rule_json).collect::<Vec<_>>(),
            "breaches": report.breaches.iter().map(breach_json).collect::<Vec<_>>(),
            "clean": self.clean,
            "leaked": self.leaked,
        })
    }
}
