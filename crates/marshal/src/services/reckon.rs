//! Estimates a core's memory, and tells what of it is still open.

use std::mem::size_of;
use std::time::Duration;

use ivydrift_policy::port::{MethodTerms, NodeEntry};

use crate::Core;

/// Overhead of a map entry, in bytes.
const ENTRY: usize = 24;
/// A name's text and its string header, in bytes.
const NAME: usize = 48;
/// An RPC in the table with one or two picks, in bytes.
const RPC: usize = 320;

impl Core {
    /// Marks the accounting of the rules as used up from `now` on, each for its window.
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
        // Zones and kinds are stored here and in the directory.
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

    /// Estimated memory after a first list of `nodes` nodes.
    pub(super) fn bytes_with(&self, nodes: usize) -> usize {
        self.bytes() + nodes * self.node_bytes()
    }
}
