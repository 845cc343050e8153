//! The paper's UCB index and confidence intervals.

use super::*;

/// Weight of the confidence interval in the UCB index.
pub const ALPHA: f64 = 2.0;
/// Error probability of a confidence interval.
pub const DELTA: f64 = 0.05;
/// Least number of outcomes of each arm for a comparison.
pub const MIN_SAMPLE: f64 = 10.0;
/// Below this age a node counts for neither arm's payoff.
pub const YOUNG_AGE: Duration = ms(5000);

/// Half-width ε of the confidence interval, by the design, for `n` outcomes of variance `var` at error
/// probability `delta`.
pub fn confidence_half_width(n: f64, var: f64, delta: f64) -> f64 {
    let n = n.max(3.0);
    (2.0 * var / n * (3.0 * n.ln().powi(2) / delta).ln()).sqrt()
}

/// UCB index: mean + α·ε, with the design's σ² of 1/4. An arm short of the least sample comes first.
pub fn ucb_index(t: Tally) -> f64 {
    t.mean()
        + if t.count < MIN_SAMPLE {
            f64::INFINITY
        } else {
            ALPHA * confidence_half_width(t.count, 0.25, DELTA)
        }
}

/// Whether a pick sent at `at` does not count for payoff, as the node had just started.
pub fn is_young(entry: &NodeEntry, at: Duration) -> bool {
    entry.started.is_some_and(|start| at < start + YOUNG_AGE)
}

/// Whether the mean of arm `a` lies below that of `b` by more than the margin and the given part of both
/// half-widths, at error probability `delta`. σ² (`spread`) is the variance that outcomes would have if the new
/// build paid like the older one, plus the uncertainty of one outcome.
pub fn is_below(a: Tally, b: Tally, margin: f64, part: f64, spread: f64, delta: f64) -> bool {
    let eps = |t: Tally| part * confidence_half_width(t.count, (spread + 1.0 / t.count).min(0.25), delta);
    a.count.min(b.count) >= MIN_SAMPLE && a.mean() + eps(a) < b.mean() - eps(b) - margin
}
