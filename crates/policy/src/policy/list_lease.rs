//! The lease on the node list: how long the list may be used before discovery has to confirm it again.
//!
//! A change of the list counts as delivered some time after discovery knew it and was reachable, whether or
//! not it has arrived. A marshal without an answer for that long does not know which of its nodes are
//! draining, and sends nothing new until it gets one.
//!
//! Only what proves that the list was complete at some time extends the lease. A failed call proves nothing
//! of that kind, as discovery may be up and have too many callers.

use super::*;

/// Safety margin at the end of every lease: a process may be suspended between its last look at the clock and
/// the write.
const LEASE_MARGIN: Duration = ms(300);

impl ListLease {
    /// Applies a new config.
    pub fn configure(&mut self, rules: &RuleConfig) {
        (self.bounds, self.drain_grace) = (rules.list_lease, rules.drain_grace);
    }

    /// Whether the list's validity is bounded.
    pub fn is_bounded(&self) -> bool {
        self.bounds.is_some()
    }

    /// Whether the list may be used for new work now.
    pub fn is_valid(&self, now: Duration) -> bool {
        self.bounds.is_none() || self.valid_until.is_some_and(|until| now < until)
    }

    /// Called at each call of `handle`; the first one starts the lease as expired. How long the process was
    /// away, and what changed meanwhile, is unknown, so a list from before the start must be confirmed by
    /// discovery first.
    pub fn start(&mut self, now: Duration) {
        if self.is_bounded() && self.valid_until.is_none() {
            self.valid_until = Some(now);
        }
    }

    /// Updates the lease by what a call to discovery proved.
    pub fn observe(&mut self, now: Duration, signal: DiscoverySignal) {
        let (Some(bounds), Some(until)) = (self.bounds, self.valid_until) else { return };
        let precedes_reload = |at: Duration| self.reloaded_at.is_some_and(|reload| at < reload);
        self.valid_until = Some(match signal {
            // The list may have changed between that time and the reload, after which changes count as
            // delivered sooner.
            DiscoverySignal::Confirmed { as_of, .. } if precedes_reload(as_of) => until,
            DiscoverySignal::Confirmed { as_of, .. } => self.expiry(as_of, bounds.delivered_within),
            // An expired list does not become valid by a call that failed, and a watch from before a reload may
            // have ended because discovery has moved.
            DiscoverySignal::WatchEnded { asked, .. } if now >= until || precedes_reload(asked) => until,
            DiscoverySignal::WatchEnded { as_of, .. } => {
                until.max(self.expiry(as_of, bounds.delivered_within))
            }
            DiscoverySignal::Reloaded => {
                self.reloaded_at = Some(now);
                until.min(self.expiry(now, bounds.delivered_after_reload))
            }
        });
    }

    /// End of the lease on a list that was complete at `from`, where changes count as delivered after
    /// `delivery`: that, the drain grace, and less the safety margin.
    fn expiry(&self, from: Duration, delivery: Duration) -> Duration {
        (from + delivery + self.drain_grace).saturating_sub(LEASE_MARGIN)
    }
}
