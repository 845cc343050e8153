//! The lease on the node list: how long the list may be used before discovery has to confirm it again.
//!
//! A change of the list counts as delivered some time after discovery knew it and was reachable, whether or
//! not it has arrived. A marshal without an answer for that long does not know which of its nodes are
//! draining, and sends nothing new until it gets one.
//!
//! An outage that discovery announced, by ending a watch, does not count against the lease until something
//! shows that it is over. This is the only assumption made in the marshal's favour: late refusals look the
//! same whether discovery is still down or has too many callers.

use super::*;

/// Safety margin at the end of every lease: a process may be suspended between its last look at the clock and
/// the write.
const LEASE_MARGIN: Duration = ms(300);

/// Longest time for which an announced outage extends the lease.
const MAX_OUTAGE: Duration = ms(30_000);

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
        let in_outage = self.outage.is_some_and(|outage| now < outage.since + MAX_OUTAGE);
        self.bounds.is_none() || in_outage || self.valid_until.is_some_and(|until| now < until)
    }

    /// Called at each call of `handle`; the first one starts the lease as expired. How long the process was
    /// away, and what changed meanwhile, is unknown, so a list from before the start must be confirmed by
    /// discovery first.
    pub fn start(&mut self, now: Duration) {
        if self.is_bounded() && self.valid_until.is_none() {
            self.valid_until = Some(now);
        }
    }

    /// Updates the lease by what a call to discovery revealed.
    pub fn observe(&mut self, now: Duration, signal: DiscoverySignal) {
        let (Some(bounds), Some(until)) = (self.bounds, self.valid_until) else { return };
        let delivery = bounds.delivered_within;
        self.valid_until = Some(match signal {
            DiscoverySignal::Confirmed { as_of, .. } => {
                self.outage = None;
                self.expiry(as_of, delivery)
            }
            DiscoverySignal::ShuttingDown => {
                // An expired list does not become valid by that.
                let was_valid = now < until;
                self.outage =
                    self.outage.or(was_valid.then_some(Outage { since: now, last_failed_call: now }));
                if was_valid {
                    self.expiry(now, delivery)
                } else {
                    until
                }
            }
            DiscoverySignal::Unreachable => until.max(self.expiry(now, delivery)),
            DiscoverySignal::RefusedLate { asked } => {
                self.outage = self
                    .outage
                    .map(|outage| Outage { last_failed_call: outage.last_failed_call.max(asked), ..outage });
                until
            }
            // Discovery may have been back since the last call that failed as in an outage.
            DiscoverySignal::Responsive => {
                self.outage.take().map_or(until, |outage| self.expiry(outage.last_failed_call, delivery))
            }
            DiscoverySignal::Reloaded => {
                self.outage = None;
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
