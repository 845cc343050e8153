//! Checks at the moment of a send, by the node list of the RPC's service.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Services, PRIMARY};
use crate::{Core, Id, Withheld};

impl Services {
    /// See [`Core::set_wall_clock`], for every service.
    pub fn set_wall_clock(&mut self, epoch_ms: u64) {
        self.epoch_ms = epoch_ms;
        self.primary.set_wall_clock(epoch_ms);
        self.instances.values_mut().for_each(|instance| instance.core.set_wall_clock(epoch_ms));
    }

    /// Whether the node list of `places.service` is still valid.
    pub fn list_is_valid(&self, now: Duration) -> bool {
        self.primary.list_is_valid(now)
    }

    fn core_for(&self, id: Id) -> &Core {
        let instance_id = self.rpcs.get(&id).map_or(PRIMARY, |taken| taken.instance_id);
        self.instances.get(&instance_id).map_or(&self.primary, |instance| &instance.core)
    }

    /// See [`Core::may_send`], by the node list of the RPC's service.
    ///
    /// # Errors
    /// The reason why not.
    pub fn may_send(&self, now: Duration, id: Id, node: SocketAddr) -> Result<(), Withheld> {
        self.core_for(id).may_send(now, node)
    }

    /// See [`Core::drain_violation`], by the node list of the RPC's service.
    pub fn drain_violation(&self, begun: Duration, id: Id, node: SocketAddr) -> Option<Duration> {
        self.core_for(id).drain_violation(begun, node)
    }
}
