//! Sums of the counters of all app processes.

use serde_json::{json, Value};

use crate::apps::{Manner, ENDS};

/// Time at which the marshal is killed, in seconds from time zero.
pub const KILLED: f64 = 5.0;

/// Counters of all app processes, summed.
pub struct Sum {
    pub manner: Manner,
    pub connects: Vec<u64>,
    pub asked: Vec<u64>,
    pub ok: Vec<u64>,
    pub ends: Vec<u64>,
    pub tries: u64,
    pub late: u64,
    pub unfinished: u64,
    pub p99_ms: f64,
    /// Counted by the nodes: RPCs run, and bookings that ran more than once.
    pub runs: u64,
    pub twice: u64,
}

/// The integers of a JSON array.
pub fn numbers(value: &Value) -> Vec<u64> {
    value.as_array().map(|list| list.iter().filter_map(Value::as_u64).collect()).unwrap_or_default()
}

/// Adds `more` to `sum` element by element.
pub fn add(sum: &mut Vec<u64>, more: &[u64]) {
    sum.resize(sum.len().max(more.len()), 0);
    sum.iter_mut().zip(more).for_each(|(sum, n)| *sum += n);
}

/// How the clients reconnected after the kill.
pub struct Return {
    pub all: u64,
    /// Most handshakes in one tenth of a second, and the mean per tenth until 95 % had begun.
    pub peak: u64,
    pub mean: f64,
    /// Seconds until 95 % of the handshakes had begun, and until one second's goodput reached 90 % of the
    /// goodput before the kill.
    pub took: f64,
    pub recovered: Option<f64>,
}

impl Sum {
    /// Computes how the clients reconnected after the kill.
    pub fn back(&self) -> Return {
        let from = (KILLED * 10.0) as usize;
        let after = self.connects.get(from..).unwrap_or_default();
        let all: u64 = after.iter().sum();
        let mut so_far = 0;
        let done = after.iter().position(|n| {
            so_far += n;
            so_far * 100 >= all * 95
        });
        let slots = done.unwrap_or(0) + 1;
        let mean = after.iter().take(slots).sum::<u64>() as f64 / slots as f64;
        let before: u64 = self.ok[from - 30..from].iter().sum();
        let second = |at: usize| self.ok.get(at..at + 10).map(|ok| ok.iter().sum::<u64>() as f64);
        let good = |at: &usize| second(*at).is_some_and(|n| n >= 0.9 * before as f64 / 3.0);
        // The first second after the worst one that reaches 90 % of the earlier goodput.
        let worst = (from..from + 20)
            .min_by(|a, b| second(*a).unwrap_or(f64::MAX).total_cmp(&second(*b).unwrap_or(f64::MAX)));
        let recovered = worst.and_then(|worst| (worst..self.ok.len()).find(good));
        let recovered = recovered.map(|at| (at - from) as f64 / 10.0);
        let peak = after.iter().copied().max().unwrap_or(0);
        Return { all, peak, mean, took: slots as f64 / 10.0, recovered }
    }

    /// Number of calls that ended.
    pub fn calls(&self) -> u64 {
        self.ends.iter().sum()
    }

    /// The counters as JSON.
    pub fn json(&self) -> Value {
        let ends: serde_json::Map<String, Value> =
            ENDS.iter().zip(&self.ends).map(|(name, n)| ((*name).to_owned(), json!(n))).collect();
        json!({ "manner": self.manner.word(), "calls": self.calls(), "ends": ends, "tries": self.tries,
                "late": self.late, "unfinished": self.unfinished, "p99_ms": self.p99_ms,
                "runs": self.runs, "bookings_run_twice": self.twice })
    }
}
