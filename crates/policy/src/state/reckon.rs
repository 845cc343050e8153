//! What a module keeps, reckoned in bytes: by counts, without a look at the allocator.

use std::mem::size_of;

use super::*;

/// An entry of a map or set beyond what it holds.
const ENTRY: usize = 24;
/// An inbox keeps room for a few notes once it had one.
const INBOX: usize = 4;

/// Of one listed node, in use or not.
pub fn node_bytes(law: &Charter) -> usize {
    let inbox = size_of::<std::collections::VecDeque<Note>>() + INBOX * size_of::<Note>();
    let listed = size_of::<NodeEntry>() + 2 * ENTRY;
    let book = size_of::<Book>() + law.duties.len() * size_of::<Ledger>();
    size_of::<Node>() + inbox + listed + book + size_of::<Card>() + 2 * size_of::<NodeIx>()
}

pub fn reckon(cx: &Cx, nodes: &[Node], front: &Front, judge: &Judge) -> usize {
    let gate = &front.gate;
    let lists = || gate.taken.values().chain(gate.sent.values()).chain(gate.cold_sent.values());
    let times = lists().map(|t| size_of::<Times>() + 2 * ENTRY + t.capacity() * size_of::<Duration>());
    let keys = (gate.crossed.len() + gate.left.len()) * (2 * size_of::<u64>() + ENTRY);
    let rpc = size_of::<Rpc>() + 2 * size_of::<Pick>() + 3 * ENTRY;
    let ledgers = (judge.past.len() + judge.before.len()) * size_of::<Ledger>();
    let picks: usize = nodes
        .iter()
        .map(|n| n.out.capacity() * size_of::<(RpcIx, usize, usize, Duration, NodeEntry)>())
        .sum();
    let own = size_of::<Cx>() + size_of::<Front>() + size_of::<Judge>();
    own + nodes.len() * node_bytes(&cx.law)
        + picks
        + front.rpcs.len() * rpc
        + times.sum::<usize>()
        + keys
        + ledgers
}

impl Gate {
    /// A key that met a build could go to an earlier one if it were forgotten. Not so once its build is released and no
    /// earlier node is left: nothing is there that it could go back to.
    pub fn keys_open(&self, cx: &Cx) -> bool {
        let Some(newest) = self.crossed.values().max().filter(|_| cx.law.exposure.one_way) else {
            return false;
        };
        let released = self.news.is_some_and(|n| n.course == Course::Released);
        let listed = || cx.listed.values().filter(|e| e.readiness != Readiness::Gone);
        !released || listed().any(|e| e.build < *newest)
    }
}
