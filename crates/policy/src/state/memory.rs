//! Memory estimate of a marshal, from the sizes and counts of what it stores, without asking the allocator.

use std::mem::size_of;

use super::*;

/// Overhead in bytes of each entry of a map or set.
const ENTRY_OVERHEAD_BYTES: usize = 24;
/// Messages for which an inbox that was used keeps capacity.
const INBOX_CAPACITY: usize = 4;

/// Estimated bytes per listed node, whether or not it was ever sent to.
pub fn node_bytes() -> usize {
    let inbox = size_of::<std::collections::VecDeque<Message>>() + INBOX_CAPACITY * size_of::<Message>();
    let listed = size_of::<NodeEntry>() + 2 * ENTRY_OVERHEAD_BYTES;
    // Its evidence is allocated with the first outcome, and counted there.
    size_of::<Node>()
        + inbox
        + listed
        + size_of::<NodeRecord>()
        + size_of::<NodeStatus>()
        + 2 * size_of::<NodeIx>()
}

/// Estimated bytes of all state of a marshal.
pub fn memory_bytes(nodes: &[Node], dispatcher: &Dispatcher, analysis: &CanaryAnalysis) -> usize {
    let rules = &dispatcher.send_rules;
    let lists = || rules.received.values().chain(rules.sent.values()).chain(rules.sent_by_node.values());
    let times =
        lists().map(|t| size_of::<Times>() + 2 * ENTRY_OVERHEAD_BYTES + t.capacity() * size_of::<Duration>());
    let keys =
        (rules.key_builds.len() + rules.departed_keys.len()) * (2 * size_of::<u64>() + ENTRY_OVERHEAD_BYTES);
    let rpc = size_of::<Rpc>() + 2 * size_of::<Pick>() + 3 * ENTRY_OVERHEAD_BYTES;
    let evidence = analysis.bytes();
    let picks: usize = nodes
        .iter()
        .map(|n| n.picks.capacity() * size_of::<(RpcIx, usize, usize, Duration, NodeEntry)>())
        .sum();
    let own = size_of::<Context>() + size_of::<Dispatcher>() + size_of::<CanaryAnalysis>();
    own + nodes.len() * node_bytes()
        + picks
        + dispatcher.rpcs.len() * rpc
        + times.sum::<usize>()
        + keys
        + evidence
}

impl SendRules {
    /// Whether forgetting the recorded keys could break the one-way rule: a key that a build has answered
    /// could then be sent to an earlier build. Once that build is released and no earlier node is left, it
    /// cannot.
    pub fn needs_keys(&self, ctx: &Context) -> bool {
        let Some(newest) = self.key_builds.values().max().filter(|_| ctx.config.exposure.one_way) else {
            return false;
        };
        // Builds before the one on trial were released earlier.
        let released = self.rollout.is_some_and(|n| n.state == RolloutState::Released || n.build > *newest);
        let listed = || ctx.listed.values().filter(|e| e.readiness != Readiness::Gone);
        !released || listed().any(|e| e.build < *newest)
    }
}
