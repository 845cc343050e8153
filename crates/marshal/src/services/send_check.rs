//! Checks at the moment of a send, by the node list of the RPC's service.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Services, HOME};
use crate::{Core, Id, Withheld};

impl Services {
    /// See [`Core::read_wall_clock`], for every service.
    pub fn read_wall_clock(&mut self, zero_ms: u64) {
        self.zero_ms = zero_ms;
        self.home.read_wall_clock(zero_ms);
        self.instances.values_mut().for_each(|instance| instance.core.read_wall_clock(zero_ms));
    }

    /// Whether the node list of `places.service` is still valid.
    pub fn list_holds(&self, now: Duration) -> bool {
        self.home.list_holds(now)
    }

    fn core_for(&self, id: Id) -> &Core {
        let of = self.rpcs.get(&id).map_or(HOME, |taken| taken.of);
        self.instances.get(&of).map_or(&self.home, |instance| &instance.core)
    }

    /// See [`Core::may_send`], by the node list of the RPC's service.
    ///
    /// # Errors
    /// The reason why not.
    pub fn may_send(&self, now: Duration, id: Id, node: SocketAddr) -> Result<(), Withheld> {
        self.core_for(id).may_send(now, node)
    }

    /// See [`Core::late_send`], by the node list of the RPC's service.
    pub fn late_send(&self, begun: Duration, id: Id, node: SocketAddr) -> Option<Duration> {
        self.core_for(id).late_send(begun, node)
    }
}
