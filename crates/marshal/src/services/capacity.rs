//! Decides which services are held, within the limits on their number and memory.

use super::*;
use ivydrift_wire::list::ListedNode;

/// Estimated memory of a new service without nodes, in bytes.
const NEW_SERVICE_BYTES: usize = 12 * 1024;

impl Services {
    /// Starts holding a service if there is capacity or others can be evicted.
    pub(super) fn start_service(
        &mut self, now: Duration, service: &Arc<str>, outputs: &mut Vec<Output>,
    ) -> Option<InstanceId> {
        if !self.make_room(now, None, 1, NEW_SERVICE_BYTES, outputs) {
            return None;
        }
        let mut core = Core::new(self.on_demand.config_for(service), self.epoch_ms);
        core.set_dead_marshals(&self.dead_marshals);
        let instance = Instance::new(now, service.clone(), core);
        let instance_id = self.next;
        self.next += 1;
        self.bytes += instance.bytes;
        self.due.insert((instance.due, instance_id));
        self.eviction_order.insert((instance.rank, instance_id));
        self.by_name.insert(service.clone(), instance_id);
        self.instances.insert(instance_id, instance);
        outputs.push(Output::HoldService { instance: instance_id, service: service.clone() });
        // The policy asks for the node list on its first tick.
        self.forward(now, instance_id, Input::Tick, outputs);
        Some(instance_id)
    }

    /// Evicts services, in eviction order, until `more` services and `need` bytes fit. Returns false if that
    /// is not possible; then none was evicted.
    fn make_room(
        &mut self, now: Duration, keep: Option<InstanceId>, more: usize, bytes_needed: usize,
        outputs: &mut Vec<Output>,
    ) -> bool {
        let limits = self.on_demand.limits;
        let (mut count, mut bytes, mut evicted) =
            (self.instances.len() + more, self.bytes + bytes_needed, Vec::new());
        let mut candidates = self.eviction_order.iter().map(|r| r.1);
        while count > limits.max_services || bytes > limits.max_bytes {
            let evictable = |instance_id: &InstanceId| {
                Some(*instance_id) != keep && self.instances.get(instance_id).is_some_and(|s| !s.is_open(now))
            };
            let Some(instance_id) = candidates.find(evictable) else { return false };
            count -= 1;
            bytes -= self.instances[&instance_id].bytes;
            evicted.push(instance_id);
        }
        evicted
            .into_iter()
            .for_each(|instance_id| self.drop_service(instance_id, DropReason::Evicted, outputs));
        true
    }

    /// Takes a service's node list. The first list is accepted only if it fits. A later list always is,
    /// because draining nodes and new builds must be known; other services are then evicted as far as they
    /// may be.
    pub(super) fn apply_list(
        &mut self, now: Duration, instance_id: InstanceId, nodes: &[ListedNode], outputs: &mut Vec<Output>,
    ) {
        let Some(instance) = self.instances.get(&instance_id) else { return };
        if !instance.list_received {
            let bytes_needed = instance.core.bytes_with_list(nodes.len()).saturating_sub(instance.bytes);
            let fits = self.make_room(now, Some(instance_id), 0, bytes_needed, outputs);
            if let Some(instance) = self.instances.get_mut(&instance_id) {
                instance.list_refused = !fits;
            }
            if !fits {
                self.reindex(now, instance_id);
                return;
            }
        }
        self.forward(now, instance_id, Input::NodeList(nodes), outputs);
        self.shrink_to_limit(now, Some(instance_id), outputs);
    }

    /// Evicts services that may be dropped until memory is within the limit, as held services may have grown.
    pub(super) fn shrink_to_limit(
        &mut self, now: Duration, keep: Option<InstanceId>, outputs: &mut Vec<Output>,
    ) {
        while self.bytes > self.on_demand.limits.max_bytes {
            let evictable = |instance_id: &InstanceId| {
                Some(*instance_id) != keep && !self.instances[instance_id].is_open(now)
            };
            let Some(instance_id) = self.eviction_order.iter().map(|r| r.1).find(evictable) else { break };
            self.drop_service(instance_id, DropReason::Evicted, outputs);
        }
    }

    pub(super) fn drop_service(
        &mut self, instance_id: InstanceId, why: DropReason, outputs: &mut Vec<Output>,
    ) {
        let Some(instance) = self.instances.remove(&instance_id) else { return };
        self.due.remove(&(instance.due, instance_id));
        self.eviction_order.remove(&(instance.rank, instance_id));
        self.by_name.remove(&instance.name);
        self.bytes -= instance.bytes;
        self.retired_counts = self.retired_counts.plus(Counts { held: 0, ..instance.core.counts() });
        // Otherwise the number of idle connections would grow with all services ever held, not with those
        // held now.
        let close_idle = instance
            .core
            .directory
            .addrs()
            .map(|node| Output::Command { instance: PRIMARY, command: Command::CloseIdle { node } });
        outputs.extend(close_idle);
        outputs.push(Output::DropService { instance: instance_id, service: instance.name, why });
    }

    /// Updates the due time, eviction order and memory of a service.
    pub(super) fn reindex(&mut self, now: Duration, instance_id: InstanceId) {
        let Some(instance) = self.instances.get_mut(&instance_id) else { return };
        let (due, rank, bytes) = (instance.due, instance.rank, instance.bytes);
        instance.update_schedule(now, self.on_demand.limits.idle_timeout);
        if instance.due != due {
            self.due.remove(&(due, instance_id));
            self.due.insert((instance.due, instance_id));
        }
        if instance.rank != rank {
            self.eviction_order.remove(&(rank, instance_id));
            self.eviction_order.insert((instance.rank, instance_id));
        }
        self.bytes = self.bytes - bytes + instance.bytes;
    }
}
