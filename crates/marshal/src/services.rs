//! Many services in one marshal, held on demand. A service has a [`Core`] while it receives RPCs and none
//! while it is unused. `places.service` has one for the whole life of the marshal; a marshal that serves only
//! that one behaves exactly as a single `Core`. Like the core, this has no socket, clock or thread:
//! `Services::handle(now, of, input) -> said`.
//!
//! docs/services.md describes the life cycle of a service, what is never dropped, and what is forgotten.

mod admission;
mod cut;
mod reckon;
mod room;
mod slot;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use ivydrift_terms::Terms;
use ivydrift_wire::peer;

use crate::{Call, Core, Counts, Id, Input, Order, Rejected, Why};
use cut::Others;
use slot::Slot;

/// Identifies one period in which a service is held. Never reused, so late messages from the node list or
/// rollout controller of an earlier period have no effect.
pub type Hold = u64;

/// Identifies `places.service`, which is always held.
pub const HOME: Hold = 0;

/// Upper bound of the retry-after sent to clients that are pushed back because no more services fit.
const ROOM_AGAIN: Duration = Duration::from_secs(1);

/// Interval at which the cores of the other services learn which marshals are dead. Membership itself takes
/// seconds to detect it.
const DEAD_EVERY: Duration = Duration::from_secs(1);

/// Why a service was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dropped {
    /// It received no RPC for `services.rest`.
    Rested,
    /// It was the least recently used when another service needed its memory or its place.
    ForAnother,
    /// Its node list does not fit into `services.kib`.
    NoRoom,
    /// A new config names no method of it.
    NotNamed,
}

impl Dropped {
    /// The reason in log lines.
    pub fn word(self) -> &'static str {
        match self {
            Dropped::Rested => "rested",
            Dropped::ForAnother => "another needed room",
            Dropped::NoRoom => "its list does not fit into services.kib",
            Dropped::NotNamed => "the terms name no method of it",
        }
    }
}

/// A command that the I/O layer must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    /// A command of one service's core. [`Order::FollowMembership`] and [`Order::Vote`] go to that service's
    /// node list and rollout controller.
    Order { of: Hold, order: Order },
    /// Subscribe to the service's rollout controller. Its node list is subscribed to on
    /// [`Order::FollowMembership`].
    Follow { of: Hold, service: Arc<str> },
    /// Unsubscribe from both.
    Leave { of: Hold, service: Arc<str>, why: Dropped },
}

/// State of a held service, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// The period in which it is held.
    pub of: Hold,
    pub service: Arc<str>,
    /// Ready nodes.
    pub ready: usize,
    /// RPCs in the table.
    pub rpcs: usize,
    /// Estimated memory.
    pub bytes: usize,
    /// Nothing is going on, so it is ticked only rarely.
    pub asleep: bool,
}

/// An RPC of a service other than `places.service`.
#[derive(Clone, Copy)]
struct Taken {
    of: Hold,
    /// Window of its idempotency key, counted from each pick.
    window: Duration,
}

/// All services of a marshal: the core of `places.service`, and the cores held on demand.
pub struct Services {
    home: Core,
    others: Others,
    zero_ms: u64,
    slots: BTreeMap<Hold, Slot>,
    names: HashMap<Arc<str>, Hold>,
    rpcs: HashMap<Id, Taken>,
    /// When each service is due, and the order in which they are evicted.
    due: BTreeSet<(Duration, Hold)>,
    ranks: BTreeSet<(slot::Rank, Hold)>,
    bytes: usize,
    next: Hold,
    /// Counters of dropped services, and of RPCs that no service accepted.
    past: Counts,
    /// The dead marshals, and when they were last determined.
    dead: Vec<usize>,
    counted: Duration,
}

impl Services {
    /// See [`Core::new`].
    pub fn new(terms: Terms, zero_ms: u64) -> Self {
        let (home, others) = cut::split(terms);
        Services {
            home: Core::new(home, zero_ms),
            others,
            zero_ms,
            slots: BTreeMap::new(),
            names: HashMap::new(),
            rpcs: HashMap::new(),
            due: BTreeSet::new(),
            ranks: BTreeSet::new(),
            bytes: 0,
            next: HOME + 1,
            past: Counts::default(),
            dead: Vec::new(),
            counted: Duration::ZERO,
        }
    }

    /// See [`Core::run_by`].
    pub fn run_by(&mut self, program: String) {
        self.home.run_by(program);
    }

    /// Counters of all services together.
    pub fn counts(&self) -> Counts {
        let cores = std::iter::once(&self.home).chain(self.slots.values().map(|s| &s.core));
        cores.fold(self.past, |sum, core| sum.plus(core.counts()))
    }

    /// Number of ready nodes of `places.service`.
    pub fn ready(&self) -> usize {
        self.home.ready()
    }

    /// Problems found in a service's latest node list.
    pub fn rejected(&self, of: Hold) -> &[Rejected] {
        match self.slots.get(&of) {
            Some(slot) => slot.core.rejected(),
            None if of == HOME => self.home.rejected(),
            None => &[],
        }
    }

    /// One page of this marshal's view of the others, see [`Core::peers`].
    pub fn peers(&self, now: Duration, first: u16) -> Option<(peer::View, peer::More)> {
        self.home.peers(now, first)
    }

    /// Whether the service is still held.
    pub fn holds(&self, of: Hold) -> bool {
        of == HOME || self.slots.contains_key(&of)
    }

    /// Services held besides `places.service`.
    pub fn held(&self) -> impl Iterator<Item = Holding> + '_ {
        self.slots.iter().map(|(of, slot)| slot.holding(*of))
    }

    /// Estimated memory of those, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// When [`Input::Tick`] is due next.
    pub fn due(&self) -> Duration {
        let home = self.home.due();
        self.due.first().map_or(home, |d| d.0.min(home))
    }

    /// Processes one input. `of`: the service whose node list or rollout controller it comes from. It is
    /// ignored for inputs about an RPC, which is found by its id, and for those about the marshal as a whole.
    pub fn handle(&mut self, now: Duration, of: Hold, input: Input) -> Vec<Said> {
        let mut said = Vec::new();
        match input {
            Input::Rpc { id, call } => match self.others.service(call.method) {
                Some(service) => self.take(now, &service, id, call, &mut said),
                None => self.give(now, HOME, input, &mut said),
            },
            Input::Began { id, .. }
            | Input::Ended { id, .. }
            | Input::Drawn { id, .. }
            | Input::ClientLeft { id } => {
                let of = self.rpcs.get(&id).map_or(HOME, |rpc| rpc.of);
                self.give(now, of, input, &mut said);
                self.forget(of, id);
            }
            Input::Membership(nodes) if of != HOME => self.list(now, of, nodes, &mut said),
            Input::Membership(_)
            | Input::MembershipLost
            | Input::Discovery(_)
            | Input::News(_)
            | Input::Voted(_) => {
                self.give(now, of, input, &mut said);
            }
            Input::Known(_) | Input::Peer(_) | Input::Leaving => self.give(now, HOME, input, &mut said),
            Input::Tick => self.tick(now, &mut said),
        }
        said
    }

    /// Replaces the config while running, see [`Core::renew`]: of every service or, on error, of none.
    /// Services that the new config no longer names are dropped once nothing of them is open.
    ///
    /// # Errors
    /// Names the setting that cannot change without a restart; then nothing has changed.
    pub fn renew(&mut self, terms: Terms) -> Result<(), String> {
        let (home, others) = cut::split(terms);
        let (old, new) = (&self.home.terms.places.service, &home.places.service);
        if new != old && self.names.contains_key(&new[..]) {
            return Err(format!(
                "places.service cannot change from {old:?} to {new:?} while that service is held: wait until it is \
                 dropped, or start another marshal with the new value"
            ));
        }
        // All other errors come from `home.renew`, before any other core has changed.
        for slot in self.slots.values() {
            slot.may_renew(&others)?;
        }
        self.home.renew(home)?;
        for slot in self.slots.values_mut() {
            slot.renew(&others);
        }
        self.others = others;
        // Windows and the idle time may have changed: all services are due at once.
        self.due = self.slots.keys().map(|of| (Duration::ZERO, *of)).collect();
        self.slots.values_mut().for_each(|slot| slot.due = Duration::ZERO);
        Ok(())
    }

    fn take(&mut self, now: Duration, service: &Arc<str>, id: Id, call: Call, said: &mut Vec<Said>) {
        let held = self.names.get(service).copied();
        let of = held.or_else(|| self.begin(now, service, said));
        let slot = of.and_then(|of| Some((of, self.slots.get(&of).filter(|s| !s.refused)?)));
        let Some((of, slot)) = slot else {
            // Pushed back at once: waiting for capacity would use up the client's time, and memory, on
            // something that may never come.
            self.past.rpcs += 1;
            self.past.pushed_back += 1;
            let retry_after = self.others.terms.rollout.limits.retry_after.map(|most| most.min(ROOM_AGAIN));
            let order = Order::PushBack { id, picks: 0, retry_after, why: Why::NoRoom };
            said.push(Said::Order { of: HOME, order });
            return;
        };
        let window = slot.window(call.method);
        self.rpcs.insert(id, Taken { of, window });
        self.give(now, of, Input::Rpc { id, call }, said);
        self.forget(of, id);
    }

    fn tick(&mut self, now: Duration, said: &mut Vec<Said>) {
        // A marshal with a single service ticks on every call, as a core does.
        if self.slots.is_empty() || now >= self.home.due() {
            self.give(now, HOME, Input::Tick, said);
        }
        // Only the core of `places.service` takes part in membership; the subsets of all services depend on
        // which marshals are dead.
        if !self.slots.is_empty() && now >= self.counted + DEAD_EVERY {
            (self.counted, self.dead) = (now, self.home.dead(now));
            self.slots.values_mut().for_each(|slot| slot.core.bury(&self.dead));
        }
        let due: Vec<Hold> = self.due.iter().take_while(|d| d.0 <= now).map(|d| d.1).collect();
        for of in due {
            match self.slots.get(&of).and_then(|slot| slot.over(now, self.others.bounds.rest)) {
                Some(why) => self.leave(of, why, said),
                None => self.give(now, of, Input::Tick, said),
            }
        }
        self.trim(now, None, said);
    }

    /// Passes an input to a service's core.
    fn give(&mut self, now: Duration, of: Hold, input: Input, said: &mut Vec<Said>) {
        if of == HOME {
            let orders = self.home.handle(now, input);
            said.extend(orders.into_iter().map(|order| Said::Order { of, order }));
            return;
        }
        // A late message for a dropped service, or a repeated report of a pick's end.
        let Some(slot) = self.slots.get_mut(&of) else { return };
        for order in slot.give(now, input) {
            let order = match order {
                Order::Pick { id, .. } => {
                    slot.sent(now, self.rpcs.get(&id).map_or(Duration::ZERO, |rpc| rpc.window));
                    order
                }
                Order::Log(line) => Order::Log(format!("service {}: {line}", slot.name)),
                order => order,
            };
            if let Some(id) = order.rpc().filter(|id| !slot.core.holds(*id)) {
                self.rpcs.remove(&id);
            }
            said.push(Said::Order { of, order });
        }
        self.place(now, of);
    }

    /// Removes an RPC from the table once its core has finished with it.
    fn forget(&mut self, of: Hold, id: Id) {
        if self.slots.get(&of).is_some_and(|slot| !slot.core.holds(id)) {
            self.rpcs.remove(&id);
        }
    }
}
