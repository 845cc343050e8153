//! Prints the result of a day: as a table by phase, with the rollout's progress and a line for each rule, or as
//! JSON.

use std::fmt::Write;
use std::time::Duration;

use ivydrift_audit::{Report, RULES};
use ivydrift_standin::tally::Phase;
use ivydrift_wire::desk::Course;
use serde_json::{json, Value};

/// The rollout's states over time, as the rollout controller recorded them.
pub type Standings = Vec<(Duration, ivydrift_standin::Standing)>;

/// The result of a day, or of an audit alone.
pub struct Played {
    pub simulated: bool,
    pub report: Report,
    pub phases: Vec<Phase>,
    pub course: Standings,
    pub votes: u64,
    pub clean: Vec<bool>,
    pub leaked: usize,
}

/// Formats a rollout state in a few words.
fn stands(s: &ivydrift_standin::Standing) -> String {
    let word = match s.course {
        Course::OnTrial => "trial",
        Course::GoingBack => "going back",
        Course::Released => "released",
        Course::Withdrawn => "withdrawn",
    };
    format!("{}, {} {word}", s.build, s.stage)
}

/// Milliseconds, rounded to one decimal.
fn ms(span: Duration) -> f64 {
    (span.as_secs_f64() * 10_000.0).round() / 10.0
}

impl Played {
    /// Returns true if every rule was kept, every marshal shut down cleanly and no connection leaked.
    pub fn fine(&self) -> bool {
        self.report.kept() && self.clean.iter().all(|&c| c) && self.leaked == 0
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
        for p in &self.phases {
            let answered = (p.ok + p.pushed_back + p.aborted).max(1);
            let _ = writeln!(
                out,
                "{:>5.1}-{:>5.1}  {:>6} {:>6} {:>5} {:>6} {:>6} {:>5} {:>8.1} {:>8.1} {:>5.2} {:>12} {:<18} {}",
                p.from.as_secs_f64(),
                p.to.as_secs_f64(),
                p.asked,
                p.ok,
                p.late,
                p.pushed_back,
                p.aborted,
                p.none,
                ms(p.quantile(0.5)),
                ms(p.quantile(0.99)),
                p.picks as f64 / answered as f64,
                p.votes.map(|n| n.to_string()).join("/"),
                p.stands(&self.course).map(stands).unwrap_or_default(),
                p.label
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
        let (mut out, r) = (String::new(), &self.report);
        let _ = writeln!(
            out,
            "\n{} attempts: {} ok, {} pushed back, {} aborted, {} abandoned by the client, {} lost while their marshal was unavailable\n",
            r.asked, r.ok, r.pushed_back, r.aborted, r.left, r.excused
        );
        for (i, rule) in RULES.iter().enumerate() {
            let verdict = if r.broken[i] == 0 { "kept" } else { "BROKEN" };
            let near = if r.nearest[i] > 0.0 {
                format!(", nearest {:.2} of the limit", r.nearest[i])
            } else {
                String::new()
            };
            let times = if r.broken[i] > 0 { format!(" {} times", r.broken[i]) } else { String::new() };
            let _ = writeln!(out, "rule {rule}: {verdict}{times} ({} checked{near})", r.checked[i]);
        }
        for b in r.breaches.iter().take(10) {
            let _ = writeln!(out, "  {:>8.3} s, line {}: {}", b.t as f64 / 1e6, b.line, b.what);
        }
        out
    }

    /// Formats the result as a JSON object.
    pub fn json(&self) -> Value {
        let phase = |p: &Phase| {
            json!({
                "from_s": p.from.as_secs_f64(), "to_s": p.to.as_secs_f64(), "troubles": p.label, "rpcs": p.asked,
                "ok": p.ok, "late": p.late, "pushed_back": p.pushed_back, "aborted": p.aborted, "none": p.none,
                "p50_ms": ms(p.quantile(0.5)), "p99_ms": ms(p.quantile(0.99)), "picks": p.picks,
                "votes": { "on": p.votes[0], "hold": p.votes[1], "back": p.votes[2] },
                "stands": p.stands(&self.course).map(|s| json!({ "build": s.build, "stage": s.stage, "course": s.course })),
            })
        };
        let stand = |(t, s): &(Duration, ivydrift_standin::Standing)| json!({ "t_s": t.as_secs_f64(), "build": s.build, "stage": s.stage, "course": s.course, "cap": s.cap });
        let r = &self.report;
        let rule = |i: usize| json!({ "rule": RULES[i], "checked": r.checked[i], "broken": r.broken[i], "nearest": r.nearest[i] });
        let breach = |b: &ivydrift_audit::Breach| json!({ "t_us": b.t, "line": b.line, "rule": RULES[b.rule], "what": b.what });
        json!({
            "fine": self.fine(),
            "simulated": self.simulated,
            "phases": self.phases.iter().map(phase).collect::<Vec<_>>(),
            "course": self.course.iter().map(stand).collect::<Vec<_>>(),
            "votes": self.votes,
            "tries": r.asked, "ok": r.ok, "pushed_back": r.pushed_back, "aborted": r.aborted, "left": r.left,
            "excused": r.excused,
            "rules": (0..RULES.len()).map(rule).collect::<Vec<_>>(),
            "breaches": r.breaches.iter().map(breach).collect::<Vec<_>>(),
            "clean": self.clean,
            "leaked": self.leaked,
        })
    }
}
