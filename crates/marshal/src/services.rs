//! Many services in one marshal, held on demand. A service has a [`Core`] while it receives RPCs and none
//! while it is unused. `places.service` has one for the whole life of the marshal; a marshal that serves only
//! that one behaves exactly as a single `Core`. Like the core, this has no socket, clock or thread:
//! `Services::handle(now, instance_id, input) -> outputs`.
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

use ivydrift_terms::Config;
use ivydrift_wire::peer;

use crate::{Call, Command, Core, Counts, FailureReason, Id, Input, Rejected};
use config_split::OnDemandConfig;
use instance::Instance;

/// Identifies one period in which a service is held. Never reused, so late messages from the node list or
/// rollout controller of an earlier period have no effect.
pub type InstanceId = u64;

/// Identifies `places.service`, which is always held.
pub const PRIMARY: InstanceId = 0;

/// Upper bound of the retry-after sent to clients that are pushed back because no more services fit.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Interval at which the cores of the other services learn which marshals are dead. Membership itself takes
/// seconds to detect it.
const DEAD_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Why a service was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// It received no RPC for `services.rest`.
    Idle,
    /// It was the least recently used when another service needed its memory or its place.
    Evicted,
    /// Its node list does not fit into `services.kib`.
    ListTooLarge,
    /// A new config names no method of it.
    NotConfigured,
}

impl DropReason {
    /// The reason in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::Idle => "rested",
            DropReason::Evicted => "another needed room",
            DropReason::ListTooLarge => "its list does not fit into services.kib",
            DropReason::NotConfigured => "the terms name no method of it",
        }
    }
}

/// A command that the I/O layer must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A command of one service's core. [`Command::FollowMembership`] and [`Command::Vote`] go to that service's
    /// node list and rollout controller.
    Command { instance: InstanceId, command: Command },
    /// Subscribe to the service's rollout controller. Its node list is subscribed to on
    /// [`Command::FollowMembership`].
    HoldService { instance: InstanceId, service: Arc<str> },
    /// Unsubscribe from both.
    DropService { instance: InstanceId, service: Arc<str>, why: DropReason },
}

/// State of a held service, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceState {
    /// The period in which it is held.
    pub instance: InstanceId,
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
    instance_id: InstanceId,
    /// Window of its idempotency key, counted from each pick.
    window: Duration,
}

/// All services of a marshal: the core of `places.service`, and the cores held on demand.
pub struct Services {
    primary: Core,
    on_demand: OnDemandConfig,
    epoch_ms: u64,
    instances: BTreeMap<InstanceId, Instance>,
    by_name: HashMap<Arc<str>, InstanceId>,
    rpcs: HashMap<Id, RpcRoute>,
    /// When each service is due, and the order in which they are evicted.
    due: BTreeSet<(Duration, InstanceId)>,
    eviction_order: BTreeSet<(instance::EvictionRank, InstanceId)>,
    bytes: usize,
    next: InstanceId,
    /// Counters of dropped services, and of RPCs that no service accepted.
    retired_counts: Counts,
    /// The dead marshals, and when they were last determined.
    dead_marshals: Vec<usize>,
    dead_checked_at: Duration,
}

impl Services {
    /// See [`Core::new`].
    pub fn new(config: Config, epoch_ms: u64) -> Self {
        let (primary, on_demand) = config_split::split(config);
        Services {
            primary: Core::new(primary, epoch_ms),
            on_demand,
            epoch_ms,
            instances: BTreeMap::new(),
            by_name: HashMap::new(),
            rpcs: HashMap::new(),
            due: BTreeSet::new(),
            eviction_order: BTreeSet::new(),
            bytes: 0,
            next: PRIMARY + 1,
            retired_counts: Counts::default(),
            dead_marshals: Vec::new(),
            dead_checked_at: Duration::ZERO,
        }
    }

    /// See [`Core::set_program`].
    pub fn set_program(&mut self, program: String) {
        self.primary.set_program(program);
    }

    /// Counters of all services together.
    pub fn counts(&self) -> Counts {
        let cores = std::iter::once(&self.primary).chain(self.instances.values().map(|s| &s.core));
        cores.fold(self.retired_counts, |sum, core| sum.plus(core.counts()))
    }

    /// Number of ready nodes of `places.service`.
    pub fn ready(&self) -> usize {
        self.primary.ready()
    }

    /// Problems found in a service's latest node list.
    pub fn rejected(&self, instance_id: InstanceId) -> &[Rejected] {
        match self.instances.get(&instance_id) {
            Some(instance) => instance.core.rejected(),
            None if instance_id == PRIMARY => self.primary.rejected(),
            None => &[],
        }
    }

    /// One page of this marshal's view of the others, see [`Core::peers`].
    pub fn peers(&self, now: Duration, first: u16) -> Option<(peer::View, peer::ViewExtension)> {
        self.primary.peers(now, first)
    }

    /// Whether the service is still held.
    pub fn is_held(&self, instance_id: InstanceId) -> bool {
        instance_id == PRIMARY || self.instances.contains_key(&instance_id)
    }

    /// Services held besides `places.service`.
    pub fn instances(&self) -> impl Iterator<Item = ServiceState> + '_ {
        self.instances.iter().map(|(instance_id, instance)| instance.state(*instance_id))
    }

    /// Estimated memory of those, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// When [`Input::Tick`] is due next.
    pub fn next_tick(&self) -> Duration {
        let primary = self.primary.next_tick();
        self.due.first().map_or(primary, |d| d.0.min(primary))
    }

    /// Processes one input. `instance_id`: the service whose node list or rollout controller it comes from. It is
    /// ignored for inputs about an RPC, which is found by its id, and for those about the marshal as a whole.
    pub fn handle(&mut self, now: Duration, instance_id: InstanceId, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Rpc { id, call } => match self.on_demand.service(call.method) {
                Some(service) => self.accept_rpc(now, &service, id, call, &mut outputs),
                None => self.forward(now, PRIMARY, input, &mut outputs),
            },
            Input::AnswerBegan { id, .. }
            | Input::PickEnded { id, .. }
            | Input::BodyConsumed { id, .. }
            | Input::AttemptsStopped { id }
            | Input::ClientLeft { id } => {
                let instance_id = self.rpcs.get(&id).map_or(PRIMARY, |rpc| rpc.instance_id);
                self.forward(now, instance_id, input, &mut outputs);
                self.drop_finished_rpc(instance_id, id);
            }
            Input::NodeList(nodes) if instance_id != PRIMARY => {
                self.apply_list(now, instance_id, nodes, &mut outputs)
            }
            Input::NodeList(_)
            | Input::NodeListLost
            | Input::Discovery(_)
            | Input::RolloutUpdate(_)
            | Input::VoteAnswered(_) => {
                self.forward(now, instance_id, input, &mut outputs);
            }
            Input::CachedNodeList(_) | Input::PeerDatagram(_) | Input::ShuttingDown => {
                self.forward(now, PRIMARY, input, &mut outputs)
            }
            Input::Tick => self.tick(now, &mut outputs),
        }
        outputs
    }

    /// Replaces the config while running, see [`Core::reconfigure`]: of every service or, on error, of none.
    /// Services that the new config no longer names are dropped once nothing of them is open.
    ///
    /// # Errors
    /// Names the setting that cannot change without a restart; then nothing has changed.
    pub fn reconfigure(&mut self, config: Config) -> Result<(), String> {
        let (primary, on_demand) = config_split::split(config);
        let (old, new) = (&self.primary.config.addresses.service, &primary.addresses.service);
        if new != old && self.by_name.contains_key(&new[..]) {
            return Err(format!(
                "places.service cannot change from {old:?} to {new:?} while that service is held: wait until it is \
                 dropped, or start another marshal with the new value"
            ));
        }
        // All other errors come from `primary.reconfigure`, before any other core has changed.
        for instance in self.instances.values() {
            instance.check_reconfigure(&on_demand)?;
        }
        self.primary.reconfigure(primary)?;
        for instance in self.instances.values_mut() {
            instance.reconfigure(&on_demand);
        }
        self.on_demand = on_demand;
        // Windows and the idle time may have changed: all services are due at once.
        self.due = self.instances.keys().map(|instance_id| (Duration::ZERO, *instance_id)).collect();
        self.instances.values_mut().for_each(|instance| instance.due = Duration::ZERO);
        Ok(())
    }

    fn accept_rpc(
        &mut self, now: Duration, service: &Arc<str>, id: Id, call: Call, outputs: &mut Vec<Output>,
    ) {
        let held = self.by_name.get(service).copied();
        let instance_id = held.or_else(|| self.start_service(now, service, outputs));
        let instance = instance_id.and_then(|instance_id| {
            Some((instance_id, self.instances.get(&instance_id).filter(|s| !s.list_refused)?))
        });
        let Some((instance_id, instance)) = instance else {
            // Pushed back at once: waiting for capacity would use up the client's time, and memory, on
            // something that may never come.
            self.retired_counts.rpcs += 1;
            self.retired_counts.pushed_back += 1;
            let retry_after =
                self.on_demand.config.rollout.limits.retry_after.map(|most| most.min(MAX_RETRY_AFTER));
            let command = Command::PushBack { id, picks: 0, retry_after, why: FailureReason::NoRoom };
            outputs.push(Output::Command { instance: PRIMARY, command });
            return;
        };
        let window = instance.window(call.method);
        self.rpcs.insert(id, RpcRoute { instance_id, window });
        self.forward(now, instance_id, Input::Rpc { id, call }, outputs);
        self.drop_finished_rpc(instance_id, id);
    }

    fn tick(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        // A marshal with a single service ticks on every call, as a core does.
        if self.instances.is_empty() || now >= self.primary.next_tick() {
            self.forward(now, PRIMARY, Input::Tick, outputs);
        }
        // Only the core of `places.service` takes part in membership; the subsets of all services depend on
        // which marshals are dead.
        if !self.instances.is_empty() && now >= self.dead_checked_at + DEAD_REFRESH_INTERVAL {
            (self.dead_checked_at, self.dead_marshals) = (now, self.primary.dead_marshals(now));
            self.instances
                .values_mut()
                .for_each(|instance| instance.core.set_dead_marshals(&self.dead_marshals));
        }
        let due: Vec<InstanceId> = self.due.iter().take_while(|d| d.0 <= now).map(|d| d.1).collect();
        for instance_id in due {
            match self
                .instances
                .get(&instance_id)
                .and_then(|instance| instance.drop_reason(now, self.on_demand.limits.idle_timeout))
            {
                Some(why) => self.drop_service(instance_id, why, outputs),
                None => self.forward(now, instance_id, Input::Tick, outputs),
            }
        }
        self.shrink_to_limit(now, None, outputs);
    }

    /// Passes an input to a service's core.
    fn forward(&mut self, now: Duration, instance_id: InstanceId, input: Input, outputs: &mut Vec<Output>) {
        if instance_id == PRIMARY {
            let commands = self.primary.handle(now, input);
            outputs.extend(
                commands.into_iter().map(|command| Output::Command { instance: instance_id, command }),
            );
            return;
        }
        // A late message for a dropped service, or a repeated report of a pick's end.
        let Some(instance) = self.instances.get_mut(&instance_id) else { return };
        for command in instance.handle(now, input) {
            let command = match command {
                Command::Pick { id, .. } => {
                    instance.record_pick(now, self.rpcs.get(&id).map_or(Duration::ZERO, |rpc| rpc.window));
                    command
                }
                Command::Log(line) => Command::Log(format!("service {}: {line}", instance.name)),
                command => command,
            };
            if let Some(id) = command.rpc().filter(|id| !instance.core.has_rpc(*id)) {
                self.rpcs.remove(&id);
            }
            outputs.push(Output::Command { instance: instance_id, command });
        }
        self.reindex(now, instance_id);
    }

    /// Removes an RPC from the table once its core has finished with it.
    fn drop_finished_rpc(&mut self, instance_id: InstanceId, id: Id) {
        if self.instances.get(&instance_id).is_some_and(|instance| !instance.core.has_rpc(id)) {
            self.rpcs.remove(&id);
        }
    }
}
