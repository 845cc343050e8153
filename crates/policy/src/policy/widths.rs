//! The paper's index and widths.

use super::*;

pub const ALPHA: f64 = 2.0;
pub const DELTA: f64 = 0.05;
pub const LEAST_SAMPLE: f64 = 10.0;
/// A node counts for neither arm's payoff before this age.
pub const YOUNG: Duration = ms(5000);

/// ε of the design for `n` outcomes of variance `var`, at confidence `delta`.
pub fn width(n: f64, var: f64, delta: f64) -> f64 {
    let n = n.max(3.0);
    (2.0 * var / n * (3.0 * n.ln().powi(2) / delta).ln()).sqrt()
}

/// mean + α·ε, with the design's σ² of 1/4; an arm short of the least sample ranks first.
pub fn index(t: Tally) -> f64 {
    t.mean() + if t.n < LEAST_SAMPLE { f64::INFINITY } else { ALPHA * width(t.n, 0.25, DELTA) }
}

/// What was sent to a node then counts for no payoff.
pub fn young(entry: &NodeEntry, at: Duration) -> bool {
    entry.started.is_some_and(|start| at < start + YOUNG)
}

/// Arm `a` lies below `b` by more than the margin and the given part of both widths. σ² is what outcomes
/// would have if the new build paid as the older one does, plus one outcome's doubt.
pub fn below(a: Tally, b: Tally, margin: f64, part: f64, spread: f64, delta: f64) -> bool {
    let eps = |t: Tally| part * width(t.n, (spread + 1.0 / t.n).min(0.25), delta);
    a.n.min(b.n) >= LEAST_SAMPLE && a.mean() + eps(a) < b.mean() - eps(b) - margin
}
