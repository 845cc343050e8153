//! The subset: which of the listed nodes the module hears of. `ivydrift_subset` decides; here is what that needs of the
//! hour, and the wait of cold nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ivydrift_policy::port::*;
use ivydrift_subset::{choose_again, seen, Fleet, Memory, Node, Size};
use ivydrift_terms::Terms;

/// A marshal that has been dead for so long has its nodes taken by others. A restart is over by then: it moves nothing.
pub const DEAD: Duration = Duration::from_secs(30);
/// Rate and deaths are looked at this often, and the rate is that of the last seconds.
const LOOK: Duration = Duration::from_secs(1);
const MEAN: f64 = 10.0;

pub struct Part {
    fleet: Fleet,
    size: Size,
    memory: Memory,
    /// From this age on a node needs no budget, whose window the second figure is.
    warm: Duration,
    window: Duration,
    /// Nodes that wait until then, by address.
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

    /// Takes other terms. Of the rate, and of who is dead, what was known stays known.
    pub fn renew(&mut self, new: Part) {
        let (looked, taken, rate, late) =
            (self.looked, self.taken, self.rate, std::mem::take(&mut self.late));
        *self = Part { looked, taken, rate, late, ..new };
        self.looked = self.looked.map(|at| at.saturating_sub(LOOK));
    }

    /// True where it may hold other nodes now: by its rate, by who has died or come back, or a wait that is over.
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

    /// Which of these are held. `before`: the module hears of it already, or it was not listed until now.
    ///
    /// A cold node that others have held until now waits for a whole window of its budget: what this marshal and those
    /// before it have sent there is not known, and counts as all that the rule allows.
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
