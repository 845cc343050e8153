//! What a core keeps, reckoned in bytes, and what of it stands open.

use std::mem::size_of;
use std::time::Duration;

use ivydrift_policy::port::{MethodTerms, NodeEntry};

use crate::Core;

/// An entry of a map beyond what it holds.
const ENTRY: usize = 24;
/// A name: its text and where that lies.
const NAME: usize = 48;
/// An RPC in hand, with a pick or two.
const RPC: usize = 320;

impl Core {
    /// Accounts of the rules count as full from `now` on, each for its window.
    pub(super) fn fill_accounts(&mut self, now: Duration) {
        self.policy.fill_accounts(now);
    }

    pub(super) fn keys_open(&self) -> bool {
        self.policy.keys_open()
    }

    pub(super) fn holds(&self, id: crate::Id) -> bool {
        self.rpcs.holds(id)
    }

    fn fixed_bytes(&self) -> usize {
        let terms = &self.terms;
        // Zones and kinds stand here and in the directory.
        let names = 2 * (terms.zones.len() + terms.kinds.len()) + 2 * terms.methods.len();
        let duties = terms.methods.len() * (size_of::<MethodTerms>() + 2 * ENTRY);
        size_of::<Core>() + names * NAME + duties + (self.rpcs.len() * RPC)
    }

    fn node_bytes(&self) -> usize {
        let listed = 2 * size_of::<std::net::SocketAddr>() + size_of::<NodeEntry>() + 3 * ENTRY;
        listed + self.policy.bytes().1
    }

    pub(super) fn bytes(&self) -> usize {
        let (module, each) = self.policy.bytes();
        let listed = self.node_bytes() - each;
        self.fixed_bytes() + module + self.directory.len() * listed
    }

    /// With a first list of so many nodes.
    pub(super) fn bytes_with(&self, nodes: usize) -> usize {
        self.bytes() + nodes * self.node_bytes()
    }
}
