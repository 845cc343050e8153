//! The subset: which of the listed nodes the policy knows. `ivydrift_subset` chooses them; this module
//! supplies the RPC rate and the dead marshals, and delays cold nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ivydrift_policy::port::*;
use ivydrift_subset::{choose_with_memory, held_fractions, ChoiceCache, Fleet, Node, Size};
use ivydrift_terms::Config;

/// The nodes of a marshal that has been dead for this long are taken over by others. A restart takes less
/// time, so it moves no nodes.
pub const DEAD_AFTER: Duration = Duration::from_secs(30);
/// Interval for updating the RPC rate and the dead marshals.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Time constant of the RPC rate's exponential moving average, in seconds.
const RATE_TIME_CONSTANT_S: f64 = 10.0;

/// This marshal's subset of a large node list.
pub struct Subset {
    fleet: Fleet,
    size: Size,
    memory: ChoiceCache,
    /// Age from which a node counts as warm and needs no budget; `budget_window` is the budget's window.
    warm_age: Duration,
    budget_window: Duration,
    /// Cold nodes whose first use is delayed, with the time it ends.
    delayed: HashMap<SocketAddr, Duration>,
    last_refresh: Option<Duration>,
    rpcs_seen: u64,
    rate: f64,
}

impl Subset {
    pub fn new(config: &Config) -> Option<Self> {
        let (subset, rollout) = (config.subset.as_ref()?, &config.rollout);
        let counts = &subset.marshals_per_zone[..];
        let fleet = Fleet::new(rollout.marshal, rollout.marshals, rollout.zone, counts, &config.regions);
        Some(Subset {
            fleet,
            size: Size::new(subset.min_nodes),
            memory: ChoiceCache::default(),
            warm_age: rollout.rules.warm_up + rollout.rules.slow_start_window,
            budget_window: rollout.rules.slow_start_window,
            delayed: HashMap::new(),
            last_refresh: None,
            rpcs_seen: 0,
            rate: 0.0,
        })
    }

    /// Takes a new config. The RPC rate is kept; the dead marshals are read again at the next refresh.
    pub fn reconfigure(&mut self, new: Subset) {
        let (last_refresh, rpcs_seen, rate, delayed) =
            (self.last_refresh, self.rpcs_seen, self.rate, std::mem::take(&mut self.delayed));
        *self = Subset { last_refresh, rpcs_seen, rate, delayed, ..new };
        self.last_refresh = self.last_refresh.map(|at| at.saturating_sub(REFRESH_INTERVAL));
    }

    /// Returns true if the subset may have changed: by the RPC rate, by a marshal that died or came back, or
    /// by a delay that is over.
    pub fn refresh(&mut self, now: Duration, taken: u64, dead: impl FnOnce() -> Vec<usize>) -> bool {
        let mut changed = self.delayed.values().any(|until| *until <= now);
        let since = *self.last_refresh.get_or_insert(now);
        if now >= since + REFRESH_INTERVAL {
            let span = (now - since).as_secs_f64();
            let rate = taken.saturating_sub(self.rpcs_seen) as f64 / span;
            self.rate += (rate - self.rate) * (span / RATE_TIME_CONSTANT_S).min(1.0);
            (self.last_refresh, self.rpcs_seen) = (Some(now), taken);
            changed |= self.size.update(now, self.rate);
            changed |= self.fleet.set_dead(dead());
        }
        changed
    }

    /// Chooses the subset: whether each listed node is in it. `needs_no_delay`: the policy already knows the
    /// node, or it was not listed until now.
    ///
    /// A cold node that other marshals have served until now is delayed by one whole window of its budget:
    /// what this marshal and its predecessors sent there is unknown, so the budget counts as used up.
    pub fn select(
        &mut self, now: Duration, listed: &[(SocketAddr, NodeEntry)],
        needs_no_delay: impl Fn(&SocketAddr) -> bool,
    ) -> (Vec<bool>, ListCoverage) {
        let newest = listed.iter().map(|(_, e)| e.build).max().unwrap_or(0);
        let node = |(_, e): &(SocketAddr, NodeEntry)| Node {
            name: e.address_hash,
            zone: e.zone,
            on_trial: e.build == newest,
            ready: e.readiness == Readiness::Ready,
        };
        let nodes: Vec<Node> = listed.iter().map(node).collect();
        let choice = choose_with_memory(&self.fleet, &nodes, self.size.target(), &mut self.memory);
        let mut in_subset = choice.held;
        let mut delayed = HashMap::new();
        for ((addr, entry), selected) in listed.iter().zip(&mut in_subset).filter(|(_, selected)| **selected)
        {
            let cold = entry.started.is_some_and(|at| now.saturating_sub(at) < self.warm_age);
            if !cold || needs_no_delay(addr) {
                continue;
            }
            let until = self.delayed.get(addr).copied().unwrap_or(now + self.budget_window);
            if now < until {
                delayed.insert(*addr, until);
                *selected = false;
            }
        }
        let seen = if delayed.is_empty() { choice.held_fraction } else { held_fractions(&nodes, &in_subset) };
        self.delayed = delayed;
        let coverage = ListCoverage { newest, listed_part: seen, marshal_part: choice.holder_fraction };
        let sees_all = (seen, choice.holder_fraction) == ([1.0; 2], [1.0; 2]);
        (in_subset, if sees_all { ListCoverage::default() } else { coverage })
    }
}
