//! Rates leased to others for a short time. The sum of what all holders may use never exceeds the total, even
//! if messages about leases are late, lost or duplicated.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::MemberIndex;

/// A rate leased to one holder.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Lease {
    version: u32,
    rate: f32,
    until: Duration,
}

/// The leases of one lender. A holder may use the largest of its leases that have not expired, until it
/// confirms which version it uses; that voids all earlier ones.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    leases: BTreeMap<MemberIndex, Vec<Lease>>,
}

/// Maximum number of concurrent leases of one holder; at the limit it waits until one expires. The limit
/// exceeds the number of leases issued, one per tick, during the longest lease term; otherwise a holder that
/// is slow to confirm would at times get nothing.
const MAX_LEASES: usize = 16;

impl Ledger {
    /// Whether no lease is recorded.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Drops expired leases.
    pub fn expire(&mut self, now: Duration) {
        self.leases.retain(|_, all| {
            all.retain(|l| now < l.until);
            !all.is_empty()
        });
    }

    /// The holder confirms that it uses this version or a later one.
    pub fn confirm(&mut self, holder: MemberIndex, version: u32) {
        if let Some(all) = self.leases.get_mut(&holder) {
            if all.iter().any(|l| l.version == version) {
                all.retain(|l| l.version >= version);
            }
        }
    }

    /// The maximum rate that this holder may be using.
    pub fn max_rate(&self, holder: MemberIndex) -> f32 {
        let all = self.leases.get(&holder).into_iter().flatten();
        all.map(|l| l.rate).fold(0.0, f32::max)
    }

    /// The maximum rate that all holders together may be using.
    pub fn total_lent(&self) -> f32 {
        self.leases.keys().map(|h| self.max_rate(*h)).sum()
    }

    /// Renews the leases of all these holders, each up to its wish and all together up to `total`; returns
    /// each one's rate.
    ///
    /// A lease grows only by rate that is not leased to anybody. A lease that does not grow adds nothing to
    /// the maximum in use, so a shrinking total reduces all leases in proportion instead of leaving the first
    /// ones with nothing.
    pub fn lend(
        &mut self, now: Duration, version: u32, wishes: &[(MemberIndex, f32)], total: f32, until: Duration,
    ) -> Vec<f32> {
        self.expire(now);
        let sum: f32 = wishes.iter().map(|w| w.1.max(0.0)).sum();
        // Holders that are not in this call may go on with their newest lease.
        let absent = self.leases.iter().filter(|(h, _)| wishes.iter().all(|w| w.0 != **h));
        let absent_rate: f32 = absent.filter_map(|(_, all)| all.last()).map(|l| l.rate).sum();
        let available = (total - absent_rate).max(0.0);
        let scale = if sum > available { available / sum } else { 1.0 };
        let mut unleased = (total - self.total_lent()).max(0.0);
        let renew = |&(holder, wish): &(MemberIndex, f32)| {
            let max_rate = self.max_rate(holder);
            let all = self.leases.entry(holder).or_default();
            let newest = all.last().map_or(0.0, |l| l.rate);
            let rate = (scale * wish.max(0.0)).min(newest + unleased);
            if all.len() >= MAX_LEASES {
                return 0.0;
            }
            unleased -= (rate - max_rate).max(0.0);
            all.push(Lease { version, rate, until });
            rate
        };
        wishes.iter().map(renew).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn at(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    #[test]
    fn a_smaller_lease_frees_capacity_only_once_confirmed_or_the_larger_expires() {
        let mut ledger = Ledger::default();
        assert_eq!(ledger.lend(at(0), 1, &[(1, 8.0)], 10.0, at(1000)), [8.0]);
        assert_eq!(ledger.lend(at(100), 2, &[(1, 3.0), (2, 7.0)], 10.0, at(1100)), [3.0, 2.0]);
        ledger.confirm(1, 2);
        assert_eq!(ledger.lend(at(200), 3, &[(2, 9.0)], 10.0, at(1200)), [7.0]);
        assert_eq!(ledger.lend(at(1150), 4, &[(3, 9.0)], 10.0, at(2000)), [3.0]);
    }

    #[test]
    fn a_shrinking_total_reduces_all_leases_in_proportion() {
        let mut ledger = Ledger::default();
        ledger.lend(at(0), 1, &[(1, 6.0), (2, 4.0)], 10.0, at(1000));
        assert_eq!(ledger.lend(at(100), 2, &[(1, 6.0), (2, 4.0)], 5.0, at(1100)), [3.0, 2.0]);
    }

    #[test]
    fn a_holder_that_never_confirms_still_gets_a_lease_at_each_tick() {
        let mut ledger = Ledger::default();
        for i in 0..40u32 {
            let now = crate::TICK_INTERVAL * i;
            let wish = if i == 0 { 9.0 } else { 4.0 };
            assert_eq!(ledger.lend(now, i, &[(1, wish)], 10.0, now + crate::GRANT_TERM), [wish]);
        }
        assert_eq!(ledger.max_rate(1), 4.0);
    }

    proptest! {
        /// Holders receive some leases late or never and use the newest received one that has not expired.
        /// Together they never use more than the largest total of the last lease term.
        #[test]
        fn all_holders_together_stay_within_the_total(
            steps in proptest::collection::vec(
                (proptest::collection::vec((0u16..4, 0f32..20.0, 0u8..3), 1..4), 1f32..20.0, 1u64..400),
                1..200,
            )
        ) {
            const SPAN: u64 = 1000;
            let mut ledger = Ledger::default();
            let mut now = 0;
            let mut using: BTreeMap<u16, (f32, u64)> = BTreeMap::new();
            let mut totals: Vec<(u64, f32)> = Vec::new();
            for (version, (mut batch, total, pause)) in (1u32..).zip(steps) {
                now += pause;
                totals.push((now, total));
                totals.retain(|t| t.0 + SPAN > now);
                batch.sort_by_key(|b| b.0);
                batch.dedup_by_key(|b| b.0);
                let wishes: Vec<(u16, f32)> = batch.iter().map(|b| (b.0, b.1)).collect();
                let rates = ledger.lend(at(now), version, &wishes, total, at(now + SPAN));
                for (rate, (holder, _, fate)) in rates.into_iter().zip(batch) {
                    if fate > 0 {
                        using.insert(holder, (rate, now + SPAN));
                    }
                    if fate == 2 {
                        ledger.confirm(holder, version);
                    }
                }
                let sum: f32 = using.values().filter(|u| now < u.1).map(|u| u.0).sum();
                let most = totals.iter().map(|t| t.1).fold(0.0, f32::max);
                prop_assert!(sum <= most + 1e-3, "{sum} of {most}");
            }
        }
    }
}
