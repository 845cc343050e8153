//! Decides which services are held, within the limits on their number and memory.

use super::*;
use ivydrift_wire::list::Listed;

/// Estimated memory of a new service without nodes, in bytes.
const NEW_SERVICE_BYTES: usize = 12 * 1024;

impl Services {
    /// Starts holding a service if there is capacity or others can be evicted.
    pub(super) fn start_service(
        &mut self, now: Duration, service: &Arc<str>, outputs: &mut Vec<Said>,
    ) -> Option<Hold> {
        if !self.make_room(now, None, 1, NEW_SERVICE_BYTES, outputs) {
            return None;
        }
        let mut core = Core::new(self.on_demand.config_for(service), self.zero_ms);
        core.set_dead_marshals(&self.dead_marshals);
        let instance = Instance::new(now, service.clone(), core);
        let of = self.next;
        self.next += 1;
        self.bytes += instance.bytes;
        self.due.insert((instance.due, of));
        self.eviction_order.insert((instance.rank, of));
        self.by_name.insert(service.clone(), of);
        self.instances.insert(of, instance);
        outputs.push(Said::Follow { of, service: service.clone() });
        // The policy asks for the node list on its first tick.
        self.forward(now, of, Input::Tick, outputs);
        Some(of)
    }

    /// Evicts services, in eviction order, until `more` services and `need` bytes fit. Returns false if that
    /// is not possible; then none was evicted.
    fn make_room(
        &mut self, now: Duration, keep: Option<Hold>, more: usize, bytes_needed: usize,
        outputs: &mut Vec<Said>,
    ) -> bool {
        let bounds = self.on_demand.bounds;
        let (mut count, mut bytes, mut evicted) =
            (self.instances.len() + more, self.bytes + bytes_needed, Vec::new());
        let mut candidates = self.eviction_order.iter().map(|r| r.1);
        while count > bounds.most || bytes > bounds.bytes {
            let evictable =
                |of: &Hold| Some(*of) != keep && self.instances.get(of).is_some_and(|s| !s.is_open(now));
            let Some(of) = candidates.find(evictable) else { return false };
            count -= 1;
            bytes -= self.instances[&of].bytes;
            evicted.push(of);
        }
        evicted.into_iter().for_each(|of| self.drop_service(of, Dropped::Evicted, outputs));
        true
    }

    /// Takes a service's node list. The first list is accepted only if it fits. A later list always is,
    /// because draining nodes and new builds must be known; other services are then evicted as far as they
    /// may be.
    pub(super) fn apply_list(&mut self, now: Duration, of: Hold, nodes: &[Listed], outputs: &mut Vec<Said>) {
        let Some(instance) = self.instances.get(&of) else { return };
        if !instance.list_received {
            let bytes_needed = instance.core.bytes_with_list(nodes.len()).saturating_sub(instance.bytes);
            let fits = self.make_room(now, Some(of), 0, bytes_needed, outputs);
            if let Some(instance) = self.instances.get_mut(&of) {
                instance.list_refused = !fits;
            }
            if !fits {
                self.reindex(now, of);
                return;
            }
        }
        self.forward(now, of, Input::Membership(nodes), outputs);
        self.shrink_to_limit(now, Some(of), outputs);
    }

    /// Evicts services that may be dropped until memory is within the limit, as held services may have grown.
    pub(super) fn shrink_to_limit(&mut self, now: Duration, keep: Option<Hold>, outputs: &mut Vec<Said>) {
        while self.bytes > self.on_demand.bounds.bytes {
            let evictable = |of: &Hold| Some(*of) != keep && !self.instances[of].is_open(now);
            let Some(of) = self.eviction_order.iter().map(|r| r.1).find(evictable) else { break };
            self.drop_service(of, Dropped::Evicted, outputs);
        }
    }

    pub(super) fn drop_service(&mut self, of: Hold, why: Dropped, outputs: &mut Vec<Said>) {
        let Some(instance) = self.instances.remove(&of) else { return };
        self.due.remove(&(instance.due, of));
        self.eviction_order.remove(&(instance.rank, of));
        self.by_name.remove(&instance.name);
        self.bytes -= instance.bytes;
        self.retired_counts = self.retired_counts.plus(Counts { held: 0, ..instance.core.counts() });
        // Otherwise the number of idle connections would grow with all services ever held, not with those
        // held now.
        let close_idle = instance
            .core
            .directory
            .addrs()
            .map(|node| Said::Order { of: HOME, order: Order::CloseIdle { node } });
        outputs.extend(close_idle);
        outputs.push(Said::Leave { of, service: instance.name, why });
    }

    /// Updates the due time, eviction order and memory of a service.
    pub(super) fn reindex(&mut self, now: Duration, of: Hold) {
        let Some(instance) = self.instances.get_mut(&of) else { return };
        let (due, rank, bytes) = (instance.due, instance.rank, instance.bytes);
        instance.update_schedule(now, self.on_demand.bounds.rest);
        if instance.due != due {
            self.due.remove(&(due, of));
            self.due.insert((instance.due, of));
        }
        if instance.rank != rank {
            self.eviction_order.remove(&(rank, of));
            self.eviction_order.insert((instance.rank, of));
        }
        self.bytes = self.bytes - bytes + instance.bytes;
    }
}
