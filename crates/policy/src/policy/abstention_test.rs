//! The abstention test: finds builds that slow down all nodes, those of the older arm too, so that comparing
//! the arms does not show it.

use super::*;

/// Drop in the older arm's part of quick answers (0 to 1) that counts as a slowdown.
const SLOWDOWN_MARGIN: f64 = 0.08;
/// Rise in that part (0 to 1) while the build gets no traffic that counts as a recovery.
const RECOVERY_MARGIN: f64 = 0.02;
/// How long the build gets no traffic in a test.
const ABSTENTION: Duration = ms(4000);
/// Time at the start of an abstention in which answers are not counted.
const ABSTENTION_SETTLING: Duration = ms(1500);
/// How long the older arm is watched for another slowdown once the build's traffic has returned.
const WATCH_AFTER_ABSTENTION: Duration = ms(5000);

/// Distinguishes a build that slows down all nodes in step with its traffic from other causes. While the
/// older arm is slower than before the trial, the build gets no traffic for a while. If that arm mostly
/// recovers, and is slowed again when the build's traffic returns, the build is guilty; otherwise it is
/// cleared for the stage. Costs the delay of the test.
impl AbstentionTest {
    /// Adds an answer of the older arm, good if quick, to the tally of the phase in which its pick was sent
    /// (`at`).
    pub fn record(&mut self, at: Duration, slot: usize, outcome: Tally) {
        let slots = self.with_build.len().max(slot + 1);
        self.with_build.resize(slots, Tally::default());
        self.without_build.resize(slots, Tally::default());
        // Of the picks sent around the return of the build's traffic, the slow ones end after it, so they
        // would be over-represented: picks sent before it or shortly after it are not counted.
        match (self.abstaining_since, self.recovered_at) {
            (None, Some(recovered_at)) if at < recovered_at + 5 * EVALUATION_INTERVAL => {}
            (None, _) => self.with_build[slot].add(outcome, 1.0),
            (Some(since), _) if at >= since + ABSTENTION_SETTLING => {
                self.without_build[slot].add(outcome, 1.0)
            }
            _ => {}
        }
    }

    /// Sums the pairs of all methods (quick answers without and with the build's traffic) except the slowest
    /// method, if there are others: a slowdown of one method alone is not a slowdown of the nodes.
    pub fn pool(mut pairs: Vec<ArmPair>) -> ArmPair {
        let quick_part = |p: &ArmPair| (p[0].good + p[1].good) / (p[0].count + p[1].count).max(1e-9);
        let has_outcomes = |p: &ArmPair| p[0].count + p[1].count > 0.0;
        pairs.retain(has_outcomes);
        pairs.sort_by(|a, b| quick_part(a).total_cmp(&quick_part(b)));
        let mut sum = ArmPair::default();
        pairs.iter().skip(usize::from(pairs.len() > 1)).for_each(|p| add_pair(&mut sum, p));
        sum
    }

    /// Advances the test by the pooled quick answers of the older arm without and with the build's traffic.
    /// `nodes`: number of the build's nodes; `testable`: an abstention would be conclusive now; `nodes_lost`:
    /// too few of the fleet's nodes are ready to blame the build. Returns whether the build is held for a
    /// slowdown, and whether it is guilty of it.
    pub fn advance(
        &mut self, now: Duration, trial: (Build, usize), nodes: usize, [testable, nodes_lost]: [bool; 2],
        [without, with]: ArmPair,
    ) -> (bool, bool) {
        let quick = Tally { count: 1000.0, good: 1000.0 * QUICK_PART };
        let (variance, peer_abstains) =
            (QUICK_PART * (1.0 - QUICK_PART), std::mem::take(&mut self.peer_abstains));
        // `with` and `without` include the counts of peers: one marshal alone may see too little.
        let slowed = is_below(with, quick, SLOWDOWN_MARGIN, 0.5, variance, DELTA);
        if slowed && nodes == 0 {
            self.cleared = Some(trial); // The slowdown came before the build had any node here.
        }
        if self.tested.replace(trial) != Some(trial) {
            // Another share of traffic is not comparable.
            (self.abstaining_since, self.recovered_at) = (None, None);
        }
        if self.cleared == Some(trial) {
            return (false, false);
        }
        let recovered = is_below(with, without, RECOVERY_MARGIN, 0.2, variance, DELTA);
        let slowed_again =
            !nodes_lost && slowed && recovered && 2.0 * with.mean() < self.earlier_mean + without.mean();
        match (self.abstaining_since, self.recovered_at) {
            (None, Some(_)) if slowed_again => return (true, true),
            (None, Some(at)) if now >= at + WATCH_AFTER_ABSTENTION => {
                (self.recovered_at, self.cleared) = (None, Some(trial))
            }
            (None, None) if (slowed || peer_abstains) && testable && nodes > 0 => {
                self.abstaining_since = Some(now);
                self.without_build.fill(Tally::default());
            }
            (Some(since), _) if now >= since + ABSTENTION => {
                // A recovery must make up for 40 % of the loss: other causes recover on their own, but by
                // less.
                let mostly_recovered =
                    recovered && without.mean() > with.mean() + 0.4 * (QUICK_PART - with.mean());
                self.recovered_at = mostly_recovered.then_some(now);
                (self.earlier_mean, self.cleared) = (with.mean(), (!mostly_recovered).then_some(trial));
                self.abstaining_since = None;
                self.with_build.fill(Tally::default());
            }
            _ => {}
        }
        if self.abstaining_since.is_none() {
            self.with_build.iter_mut().for_each(|t| t.add(*t, -0.05));
        }
        // Where no test is possible, holding the build gives no information.
        (slowed && testable || self.abstaining_since.is_some() || self.recovered_at.is_some(), false)
    }
}
