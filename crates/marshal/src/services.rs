//! Many services in one marshal, held on demand. A service has a [`Core`] while it receives RPCs and none
//! while it is unused. `places.service` has one for the whole life of the marshal; a marshal that serves only
//! that one behaves exactly as a single `Core`. Like the core, this has no socket, clock or thread:
//! `Services::handle(now, of, input) -> outputs`.
//!
//! docs/services.md describes the life cycle of a service, what is never dropped, and what is forgotten.

mod capacity;
mod config_split;
mod instance;
mod memory;
mod send_check;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use ivydrift_terms::Terms;
use ivydrift_wire::peer;

use crate::{Call, Core, Counts, Id, Input, Order, Rejected, Why};
use config_split::OnDemandConfig;
use instance::Instance;

/// Identifies one period in which a service is held. Never reused, so late messages from the node list or
/// rollout controller of an earlier period have no effect.
pub type Hold = u64;

/// Identifies `places.service`, which is always held.
pub const HOME: Hold = 0;

/// Upper bound of the retry-after sent to clients that are pushed back because no more services fit.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Interval at which the cores of the other services learn which marshals are dead. Membership itself takes
/// seconds to detect it.
const DEAD_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Why a service was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dropped {
    /// It received no RPC for `services.rest`.
    Idle,
    /// It was the least recently used when another service needed its memory or its place.
    Evicted,
    /// Its node list does not fit into `services.kib`.
    ListTooLarge,
    /// A new config names no method of it.
    NotConfigured,
}

impl Dropped {
    /// The reason in log lines.
    pub fn word(self) -> &'static str {
        match self {
            Dropped::Idle => "rested",
            Dropped::Evicted => "another needed room",
            Dropped::ListTooLarge => "its list does not fit into services.kib",
            Dropped::NotConfigured => "the terms name no method of it",
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
pub struct ServiceState {
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
struct RpcRoute {
    of: Hold,
    /// Window of its idempotency key, counted from each pick.
    window: Duration,
}

/// All services of a marshal: the core of `places.service`, and the cores held on demand.
pub struct Services {
    home: Core,
    on_demand: OnDemandConfig,
    zero_ms: u64,
    instances: BTreeMap<Hold, Instance>,
    by_name: HashMap<Arc<str>, Hold>,
    rpcs: HashMap<Id, RpcRoute>,
    /// When each service is due, and the order in which they are evicted.
    due: BTreeSet<(Duration, Hold)>,
    eviction_order: BTreeSet<(instance::EvictionRank, Hold)>,
    bytes: usize,
    next: Hold,
    /// Counters of dropped services, and of RPCs that no service accepted.
    retired_counts: Counts,
    /// The dead marshals, and when they were last determined.
    dead_marshals: Vec<usize>,
    dead_checked_at: Duration,
}

impl Services {
    /// See [`Core::new`].
    pub fn new(terms: Terms, zero_ms: u64) -> Self {
        let (home, on_demand) = config_split::split(terms);
        Services {
            home: Core::new(home, zero_ms),
            on_demand,
            zero_ms,
            instances: BTreeMap::new(),
            by_name: HashMap::new(),
            rpcs: HashMap::new(),
            due: BTreeSet::new(),
            eviction_order: BTreeSet::new(),
            bytes: 0,
            next: HOME + 1,
            retired_counts: Counts::default(),
            dead_marshals: Vec::new(),
            dead_checked_at: Duration::ZERO,
        }
    }

    /// See [`Core::run_by`].
    pub fn run_by(&mut self, program: String) {
        self.home.run_by(program);
    }

    /// Counters of all services together.
    pub fn counts(&self) -> Counts {
        let cores = std::iter::once(&self.home).chain(self.instances.values().map(|s| &s.core));
        cores.fold(self.retired_counts, |sum, core| sum.plus(core.counts()))
    }

    /// Number of ready nodes of `places.service`.
    pub fn ready(&self) -> usize {
        self.home.ready()
    }

    /// Problems found in a service's latest node list.
    pub fn rejected(&self, of: Hold) -> &[Rejected] {
        match self.instances.get(&of) {
            Some(instance) => instance.core.rejected(),
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
        of == HOME || self.instances.contains_key(&of)
    }

    /// Services held besides `places.service`.
    pub fn held(&self) -> impl Iterator<Item = ServiceState> + '_ {
        self.instances.iter().map(|(of, instance)| instance.state(*of))
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
        let mut outputs = Vec::new();
        match input {
            Input::Rpc { id, call } => match self.on_demand.service(call.method) {
                Some(service) => self.accept_rpc(now, &service, id, call, &mut outputs),
                None => self.forward(now, HOME, input, &mut outputs),
            },
            Input::Began { id, .. }
            | Input::Ended { id, .. }
            | Input::Drawn { id, .. }
            | Input::ClientLeft { id } => {
                let of = self.rpcs.get(&id).map_or(HOME, |rpc| rpc.of);
                self.forward(now, of, input, &mut outputs);
                self.drop_finished_rpc(of, id);
            }
            Input::Membership(nodes) if of != HOME => self.apply_list(now, of, nodes, &mut outputs),
            Input::Membership(_)
            | Input::MembershipLost
            | Input::Discovery(_)
            | Input::News(_)
            | Input::Voted(_) => {
                self.forward(now, of, input, &mut outputs);
            }
            Input::Known(_) | Input::Peer(_) | Input::Leaving => self.forward(now, HOME, input, &mut outputs),
            Input::Tick => self.tick(now, &mut outputs),
        }
        outputs
    }

    /// Replaces the config while running, see [`Core::renew`]: of every service or, on error, of none.
    /// Services that the new config no longer names are dropped once nothing of them is open.
    ///
    /// # Errors
    /// Names the setting that cannot change without a restart; then nothing has changed.
    pub fn renew(&mut self, terms: Terms) -> Result<(), String> {
        let (home, on_demand) = config_split::split(terms);
        let (old, new) = (&self.home.terms.places.service, &home.places.service);
        if new != old && self.by_name.contains_key(&new[..]) {
            return Err(format!(
                "places.service cannot change from {old:?} to {new:?} while that service is held: wait until it is \
                 dropped, or start another marshal with the new value"
            ));
        }
        // All other errors come from `home.renew`, before any other core has changed.
        for instance in self.instances.values() {
            instance.check_renew(&on_demand)?;
        }
        self.home.renew(home)?;
        for instance in self.instances.values_mut() {
            instance.renew(&on_demand);
        }
        self.on_demand = on_demand;
        // Windows and the idle time may have changed: all services are due at once.
        self.due = self.instances.keys().map(|of| (Duration::ZERO, *of)).collect();
        self.instances.values_mut().for_each(|instance| instance.due = Duration::ZERO);
        Ok(())
    }

    fn accept_rpc(&mut self, now: Duration, service: &Arc<str>, id: Id, call: Call, outputs: &mut Vec<Said>) {
        let held = self.by_name.get(service).copied();
        let of = held.or_else(|| self.start_service(now, service, outputs));
        let instance = of.and_then(|of| Some((of, self.instances.get(&of).filter(|s| !s.list_refused)?)));
        let Some((of, instance)) = instance else {
            // Pushed back at once: waiting for capacity would use up the client's time, and memory, on
            // something that may never come.
            self.retired_counts.rpcs += 1;
            self.retired_counts.pushed_back += 1;
            let retry_after =
                self.on_demand.terms.rollout.limits.retry_after.map(|most| most.min(MAX_RETRY_AFTER));
            let order = Order::PushBack { id, picks: 0, retry_after, why: Why::NoRoom };
            outputs.push(Said::Order { of: HOME, order });
            return;
        };
        let window = instance.window(call.method);
        self.rpcs.insert(id, RpcRoute { of, window });
        self.forward(now, of, Input::Rpc { id, call }, outputs);
        self.drop_finished_rpc(of, id);
    }

    fn tick(&mut self, now: Duration, outputs: &mut Vec<Said>) {
        // A marshal with a single service ticks on every call, as a core does.
        if self.instances.is_empty() || now >= self.home.due() {
            self.forward(now, HOME, Input::Tick, outputs);
        }
        // Only the core of `places.service` takes part in membership; the subsets of all services depend on
        // which marshals are dead.
        if !self.instances.is_empty() && now >= self.dead_checked_at + DEAD_REFRESH_INTERVAL {
            (self.dead_checked_at, self.dead_marshals) = (now, self.home.dead_marshals(now));
            self.instances
                .values_mut()
                .for_each(|instance| instance.core.set_dead_marshals(&self.dead_marshals));
        }
        let due: Vec<Hold> = self.due.iter().take_while(|d| d.0 <= now).map(|d| d.1).collect();
        for of in due {
            match self
                .instances
                .get(&of)
                .and_then(|instance| instance.drop_reason(now, self.on_demand.bounds.rest))
            {
                Some(why) => self.drop_service(of, why, outputs),
                None => self.forward(now, of, Input::Tick, outputs),
            }
        }
        self.shrink_to_limit(now, None, outputs);
    }

    /// Passes an input to a service's core.
    fn forward(&mut self, now: Duration, of: Hold, input: Input, outputs: &mut Vec<Said>) {
        if of == HOME {
            let orders = self.home.handle(now, input);
            outputs.extend(orders.into_iter().map(|order| Said::Order { of, order }));
            return;
        }
        // A late message for a dropped service, or a repeated report of a pick's end.
        let Some(instance) = self.instances.get_mut(&of) else { return };
        for order in instance.handle(now, input) {
            let order = match order {
                Order::Pick { id, .. } => {
                    instance.record_pick(now, self.rpcs.get(&id).map_or(Duration::ZERO, |rpc| rpc.window));
                    order
                }
                Order::Log(line) => Order::Log(format!("service {}: {line}", instance.name)),
                order => order,
            };
            if let Some(id) = order.rpc().filter(|id| !instance.core.has_rpc(*id)) {
                self.rpcs.remove(&id);
            }
            outputs.push(Said::Order { of, order });
        }
        self.reindex(now, of);
    }

    /// Removes an RPC from the table once its core has finished with it.
    fn drop_finished_rpc(&mut self, of: Hold, id: Id) {
        if self.instances.get(&of).is_some_and(|instance| !instance.core.has_rpc(id)) {
            self.rpcs.remove(&id);
        }
    }
}
