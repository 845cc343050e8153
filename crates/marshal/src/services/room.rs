//! Decides which services are held, within the limits on their number and memory.

use super::*;
use ivydrift_wire::list::Listed;

/// Estimated memory of a new service without nodes, in bytes.
const FRESH: usize = 12 * 1024;

impl Services {
    /// Starts holding a service if there is capacity or others can be evicted.
    pub(super) fn begin(&mut self, now: Duration, service: &Arc<str>, said: &mut Vec<Said>) -> Option<Hold> {
        if !self.room(now, None, 1, FRESH, said) {
            return None;
        }
        let mut core = Core::new(self.others.cut(service), self.zero_ms);
        core.bury(&self.dead);
        let slot = Slot::new(now, service.clone(), core);
        let of = self.next;
        self.next += 1;
        self.bytes += slot.bytes;
        self.due.insert((slot.due, of));
        self.ranks.insert((slot.rank, of));
        self.names.insert(service.clone(), of);
        self.slots.insert(of, slot);
        said.push(Said::Follow { of, service: service.clone() });
        // The policy asks for the node list on its first tick.
        self.give(now, of, Input::Tick, said);
        Some(of)
    }

    /// Evicts services, in eviction order, until `more` services and `need` bytes fit. Returns false if that
    /// is not possible; then none was evicted.
    fn room(
        &mut self, now: Duration, stays: Option<Hold>, more: usize, need: usize, said: &mut Vec<Said>,
    ) -> bool {
        let bounds = self.others.bounds;
        let (mut count, mut bytes, mut leave) = (self.slots.len() + more, self.bytes + need, Vec::new());
        let mut ranks = self.ranks.iter().map(|r| r.1);
        while count > bounds.most || bytes > bounds.bytes {
            let may = |of: &Hold| Some(*of) != stays && self.slots.get(of).is_some_and(|s| !s.open(now));
            let Some(of) = ranks.find(may) else { return false };
            count -= 1;
            bytes -= self.slots[&of].bytes;
            leave.push(of);
        }
        leave.into_iter().for_each(|of| self.leave(of, Dropped::ForAnother, said));
        true
    }

    /// Takes a service's node list. The first list is accepted only if it fits. A later list always is,
    /// because draining nodes and new builds must be known; other services are then evicted as far as they
    /// may be.
    pub(super) fn list(&mut self, now: Duration, of: Hold, nodes: &[Listed], said: &mut Vec<Said>) {
        let Some(slot) = self.slots.get(&of) else { return };
        if !slot.listed {
            let need = slot.core.bytes_with(nodes.len()).saturating_sub(slot.bytes);
            let fits = self.room(now, Some(of), 0, need, said);
            if let Some(slot) = self.slots.get_mut(&of) {
                slot.refused = !fits;
            }
            if !fits {
                self.place(now, of);
                return;
            }
        }
        self.give(now, of, Input::Membership(nodes), said);
        self.trim(now, Some(of), said);
    }

    /// Evicts services that may be dropped until memory is within the limit, as held services may have grown.
    pub(super) fn trim(&mut self, now: Duration, stays: Option<Hold>, said: &mut Vec<Said>) {
        while self.bytes > self.others.bounds.bytes {
            let may = |of: &Hold| Some(*of) != stays && !self.slots[of].open(now);
            let Some(of) = self.ranks.iter().map(|r| r.1).find(may) else { break };
            self.leave(of, Dropped::ForAnother, said);
        }
    }

    pub(super) fn leave(&mut self, of: Hold, why: Dropped, said: &mut Vec<Said>) {
        let Some(slot) = self.slots.remove(&of) else { return };
        self.due.remove(&(slot.due, of));
        self.ranks.remove(&(slot.rank, of));
        self.names.remove(&slot.name);
        self.bytes -= slot.bytes;
        self.past = self.past.plus(Counts { held: 0, ..slot.core.counts() });
        // Otherwise the number of idle connections would grow with all services ever held, not with those
        // held now.
        let idle = slot
            .core
            .directory
            .addrs()
            .map(|node| Said::Order { of: HOME, order: Order::CloseIdle { node } });
        said.extend(idle);
        said.push(Said::Leave { of, service: slot.name, why });
    }

    /// Updates the due time, eviction order and memory of a service.
    pub(super) fn place(&mut self, now: Duration, of: Hold) {
        let Some(slot) = self.slots.get_mut(&of) else { return };
        let (due, rank, bytes) = (slot.due, slot.rank, slot.bytes);
        slot.plan(now, self.others.bounds.rest);
        if slot.due != due {
            self.due.remove(&(due, of));
            self.due.insert((slot.due, of));
        }
        if slot.rank != rank {
            self.ranks.remove(&(rank, of));
            self.ranks.insert((slot.rank, of));
        }
        self.bytes = self.bytes - bytes + slot.bytes;
    }
}
