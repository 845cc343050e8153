//! Estimates a core's memory, and tells what of it is still open.

use std::mem::size_of;
use std::time::Duration;

use ivydrift_policy::port::{MethodConfig, NodeEntry};

use crate::Core;

/// Overhead of a map entry, in bytes.
const MAP_ENTRY_BYTES: usize = 24;
/// A name's text and its string header, in bytes.
const NAME_BYTES: usize = 48;
/// An RPC in the table with one or two picks, in bytes.
const RPC_BYTES: usize = 320;

impl Core {
    /// Marks the accounting of the rules as used up from `now` on, each for its window.
    pub(super) fn exhaust_budgets(&mut self, now: Duration) {
        self.policy.mark_budgets_spent(now);
    }

    pub(super) fn has_open_keys(&self) -> bool {
        self.policy.needs_recorded_keys()
    }

    pub(super) fn has_rpc(&self, id: crate::Id) -> bool {
        self.rpcs.contains(id)
    }

    fn fixed_bytes(&self) -> usize {
        let config = &self.config;
        // Zones and kinds are stored here and in the directory.
        let names = 2 * (config.zones.len() + config.kinds.len()) + 2 * config.methods.len();
        let method_configs = config.methods.len() * (size_of::<MethodConfig>() + 2 * MAP_ENTRY_BYTES);
        size_of::<Core>() + names * NAME_BYTES + method_configs + (self.rpcs.len() * RPC_BYTES)
    }

    fn node_bytes(&self) -> usize {
        let listed = 2 * size_of::<std::net::SocketAddr>() + size_of::<NodeEntry>() + 3 * MAP_ENTRY_BYTES;
        listed + self.policy.memory_bytes().1
    }

    pub(super) fn bytes(&self) -> usize {
        let (policy, per_node) = self.policy.memory_bytes();
        let listed = self.node_bytes() - per_node;
        self.fixed_bytes() + policy + self.directory.len() * listed
    }

    /// Estimated memory after a first list of `nodes` nodes.
    pub(super) fn bytes_with_list(&self, nodes: usize) -> usize {
        self.bytes() + nodes * self.node_bytes()
    }
}
