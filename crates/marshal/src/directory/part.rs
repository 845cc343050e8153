//! The subset: which of the listed nodes the policy knows. `ivydrift_subset` chooses them; this module
//! supplies the RPC rate and the dead marshals, and delays cold nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ivydrift_policy::port::*;
use ivydrift_subset::{choose_again, seen, Fleet, Memory, Node, Size};
use ivydrift_terms::Terms;

/// The nodes of a marshal that has been dead for this long are taken over by others. A restart takes less
/// time, so it moves no nodes.
pub const DEAD: Duration = Duration::from_secs(30);
/// Interval for updating the RPC rate and the dead marshals.
const LOOK: Duration = Duration::from_secs(1);
/// Time constant of the RPC rate's exponential moving average, in seconds.
const MEAN: f64 = 10.0;

/// This marshal's subset of a large node list.
pub struct Part {
    fleet: Fleet,
    size: Size,
    memory: Memory,
    /// Age from which a node counts as warm and needs no budget; `window` is the budget's window.
    warm: Duration,
    window: Duration,
    /// Cold nodes whose first use is delayed, with the time it ends.
    late: HashMap<SocketAddr, Duration>,
    looked: Option<Duration>,
    taken: u64,
    rate: f64,
}

impl Part {
    pub fn new(terms: &Terms) -> Option<Self> {
        let (subset, rollout) = (terms.subset.as_ref()?, &terms.rollout);
        let counts = &subset.marshals[..];
        let fleet = Fleet::new(rollout.marshal, rollout.marshals, rollout.zone, counts, &terms.regions);
        Some(Part {
            fleet,
            size: Size::new(subset.least),
            memory: Memory::default(),
            warm: rollout.rules.warm_within + rollout.rules.fall_window,
            window: rollout.rules.fall_window,
            late: HashMap::new(),
            looked: None,
            taken: 0,
            rate: 0.0,
        })
    }

    /// Takes a new config; the RPC rate and the dead marshals stay known.
    pub fn renew(&mut self, new: Part) {
        let (looked, taken, rate, late) =
            (self.looked, self.taken, self.rate, std::mem::take(&mut self.late));
        *self = Part { looked, taken, rate, late, ..new };
        self.looked = self.looked.map(|at| at.saturating_sub(LOOK));
    }

    /// Returns true if the subset may have changed: by the RPC rate, by a marshal that died or came back, or
    /// by a delay that is over.
    pub fn look(&mut self, now: Duration, taken: u64, dead: impl FnOnce() -> Vec<usize>) -> bool {
        let mut news = self.late.values().any(|until| *until <= now);
        let since = *self.looked.get_or_insert(now);
        if now >= since + LOOK {
            let span = (now - since).as_secs_f64();
            let rate = taken.saturating_sub(self.taken) as f64 / span;
            self.rate += (rate - self.rate) * (span / MEAN).min(1.0);
            (self.looked, self.taken) = (Some(now), taken);
            news |= self.size.look(now, self.rate);
            news |= self.fleet.bury(dead());
        }
        news
    }

    /// Chooses the subset: whether each listed node is in it. `before`: the policy already knows the node, or
    /// it was not listed until now.
    ///
    /// A cold node that other marshals have served until now is delayed by one whole window of its budget:
    /// what this marshal and its predecessors sent there is unknown, so the budget counts as used up.
    pub fn draw(
        &mut self, now: Duration, listed: &[(SocketAddr, NodeEntry)], before: impl Fn(&SocketAddr) -> bool,
    ) -> (Vec<bool>, Sight) {
        let newest = listed.iter().map(|(_, e)| e.build).max().unwrap_or(0);
        let node = |(_, e): &(SocketAddr, NodeEntry)| Node {
            name: e.name,
            zone: e.zone,
            new: e.build == newest,
            ready: e.readiness == Readiness::Ready,
        };
        let nodes: Vec<Node> = listed.iter().map(node).collect();
        let choice = choose_again(&self.fleet, &nodes, self.size.want(), &mut self.memory);
        let mut held = choice.held;
        let mut late = HashMap::new();
        for ((addr, entry), held) in listed.iter().zip(&mut held).filter(|(_, held)| **held) {
            let cold = entry.started.is_some_and(|at| now.saturating_sub(at) < self.warm);
            if !cold || before(addr) {
                continue;
            }
            let until = self.late.get(addr).copied().unwrap_or(now + self.window);
            if now < until {
                late.insert(*addr, until);
                *held = false;
            }
        }
        let seen = if late.is_empty() { choice.seen } else { seen(&nodes, &held) };
        self.late = late;
        let sight = Sight { newest, seen, holders: choice.holders };
        let whole = (seen, choice.holders) == ([1.0; 2], [1.0; 2]);
        (held, if whole { Sight::default() } else { sight })
    }
}
