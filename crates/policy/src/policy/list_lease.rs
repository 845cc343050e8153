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
    pub fn renew(&mut self, rules: &RuleTerms) {
        (self.terms, self.grace) = (rules.list_lease, rules.drain_grace);
    }

    /// Whether the list's validity is bounded.
    pub fn bounded(&self) -> bool {
        self.terms.is_some()
    }

    /// Whether the list may be used for new work now.
    pub fn holds(&self, now: Duration) -> bool {
        let trusted = self.outage.is_some_and(|outage| now < outage.since + MAX_OUTAGE);
        self.terms.is_none() || trusted || self.until.is_some_and(|until| now < until)
    }

    /// Called with each event; the first one starts the lease as expired. How long the process was away, and
    /// what changed meanwhile, is unknown, so a list from before the start must be confirmed by discovery
    /// first.
    pub fn begin(&mut self, now: Duration) {
        if self.bounded() && self.until.is_none() {
            self.until = Some(now);
        }
    }

    /// Updates the lease by what a call to discovery revealed.
    pub fn hear(&mut self, now: Duration, sign: DiscoverySign) {
        let (Some(terms), Some(until)) = (self.terms, self.until) else { return };
        let told = terms.told_within;
        self.until = Some(match sign {
            DiscoverySign::Confirmed { as_of, .. } => {
                self.outage = None;
                self.end(as_of, told)
            }
            DiscoverySign::WentDown => {
                // An expired list does not become valid by that.
                let held = now < until;
                self.outage = self.outage.or(held.then_some(Outage { since: now, seen: now }));
                if held {
                    self.end(now, told)
                } else {
                    until
                }
            }
            DiscoverySign::Unreachable => until.max(self.end(now, told)),
            DiscoverySign::RefusedLate { asked } => {
                self.outage = self.outage.map(|outage| Outage { seen: outage.seen.max(asked), ..outage });
                until
            }
            // Discovery may have been back since the last call that failed as in an outage.
            DiscoverySign::Lives => self.outage.take().map_or(until, |outage| self.end(outage.seen, told)),
            DiscoverySign::Reloaded => {
                self.outage = None;
                until.min(self.end(now, terms.told_after_reload))
            }
        });
    }

    /// End of a lease on a list known at `from`, when changes count as delivered after `told`.
    fn end(&self, from: Duration, told: Duration) -> Duration {
        (from + told + self.grace).saturating_sub(LEASE_MARGIN)
    }
}
