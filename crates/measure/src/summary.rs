//! Sums of the counters of all app processes.

use serde_json::{json, Value};

use crate::apps::{Manner, RESULTS};

/// Time at which the marshal is killed, in seconds from time zero.
pub const KILLED_AT_S: f64 = 5.0;

/// Counters of all app processes, summed.
pub struct Summary {
    pub manner: Manner,
    pub connects: Vec<u64>,
    pub offered: Vec<u64>,
    pub ok: Vec<u64>,
    pub results: Vec<u64>,
    pub attempts: u64,
    pub late: u64,
    pub unfinished: u64,
    pub p99_ms: f64,
    /// Counted by the nodes: RPCs run, and bookings that ran more than once.
    pub rpcs_run: u64,
    pub bookings_repeated: u64,
}

/// The integers of a JSON array.
pub fn integers(value: &Value) -> Vec<u64> {
    value.as_array().map(|list| list.iter().filter_map(Value::as_u64).collect()).unwrap_or_default()
}

/// Adds `more` to `sum` element by element.
pub fn add_elementwise(sum: &mut Vec<u64>, more: &[u64]) {
    sum.resize(sum.len().max(more.len()), 0);
    sum.iter_mut().zip(more).for_each(|(sum, n)| *sum += n);
}

/// How the clients reconnected after the kill.
pub struct Reconnects {
    pub total: u64,
    /// Most handshakes in one tenth of a second, and the mean per tenth until 95 % had begun.
    pub peak: u64,
    pub mean: f64,
    /// Seconds until 95 % of the handshakes had begun, and until one second's goodput reached 90 % of the
    /// goodput before the kill.
    pub took_s: f64,
    pub recovered_s: Option<f64>,
}

impl Summary {
    /// Computes how the clients reconnected after the kill.
    pub fn reconnects(&self) -> Reconnects {
        let killed_slot = (KILLED_AT_S * 10.0) as usize;
        let after = self.connects.get(killed_slot..).unwrap_or_default();
        let total: u64 = after.iter().sum();
        let mut cumulative = 0;
        let slot_95 = after.iter().position(|n| {
            cumulative += n;
            cumulative * 100 >= total * 95
        });
        let slots_95 = slot_95.unwrap_or(0) + 1;
        let mean = after.iter().take(slots_95).sum::<u64>() as f64 / slots_95 as f64;
        let ok_before: u64 = self.ok[killed_slot - 30..killed_slot].iter().sum();
        let goodput_from = |at: usize| self.ok.get(at..at + 10).map(|ok| ok.iter().sum::<u64>() as f64);
        let is_recovered = |at: &usize| goodput_from(*at).is_some_and(|n| n >= 0.9 * ok_before as f64 / 3.0);
        // The first second after the worst one that reaches 90 % of the earlier goodput.
        let worst_second = (killed_slot..killed_slot + 20).min_by(|a, b| {
            goodput_from(*a).unwrap_or(f64::MAX).total_cmp(&goodput_from(*b).unwrap_or(f64::MAX))
        });
        let recovered_s =
            worst_second.and_then(|worst_second| (worst_second..self.ok.len()).find(is_recovered));
        let recovered_s = recovered_s.map(|at| (at - killed_slot) as f64 / 10.0);
        let peak = after.iter().copied().max().unwrap_or(0);
        Reconnects { total, peak, mean, took_s: slots_95 as f64 / 10.0, recovered_s }
    }

    /// Number of calls that ended.
    pub fn calls(&self) -> u64 {
        self.results.iter().sum()
    }

    /// The counters as JSON.
    pub fn json(&self) -> Value {
        let results: serde_json::Map<String, Value> =
            RESULTS.iter().zip(&self.results).map(|(name, n)| ((*name).to_owned(), json!(n))).collect();
        json!({ "manner": self.manner.name(), "calls": self.calls(), "ends": results, "tries": self.attempts,
                "late": self.late, "unfinished": self.unfinished, "p99_ms": self.p99_ms,
                "runs": self.rpcs_run, "bookings_run_twice": self.bookings_repeated })
    }
}
