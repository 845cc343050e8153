//! The table of RPCs and their picks. It ensures that an RPC gets exactly one final answer.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use ivydrift_policy::port::*;

use crate::{Id, Why};

/// A pick that was sent. `picks`: number of the RPC's picks so far.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sent {
    pub node: NodeIx,
    pub build: Build,
    pub at: Duration,
    pub picks: usize,
}

/// An RPC that is in flight or still has picks in flight.
struct Held {
    rpc: RpcIx,
    until: Duration,
    careful: bool,
    picks: Vec<(Sent, bool)>,
    /// The final answer was given, or the client has disconnected.
    over: bool,
    /// The pick whose answer is being streamed to the client.
    streaming: Option<usize>,
    last: Option<Outcome>,
    /// Part of the body was sent with a pick and is not buffered.
    drawn: bool,
}

impl Held {
    fn out(&self) -> impl Iterator<Item = (usize, Sent)> + '_ {
        self.picks.iter().enumerate().filter(|(_, p)| p.1).map(|(i, p)| (i, p.0))
    }

    fn why(&self) -> Why {
        match self.last {
            None | Some(Outcome::Full | Outcome::NoConnection | Outcome::Moot) => Why::NoRoom,
            Some(Outcome::Timeout) => Why::TimedOut,
            Some(_) => Why::Failed,
        }
    }
}

/// What the end of a pick means for its RPC.
pub struct End {
    pub rpc: RpcIx,
    pub sent: Sent,
    /// Its answer is the final one and was not forwarded before.
    pub wins: bool,
    /// Its answer was being streamed.
    pub streaming: bool,
    /// The RPC has its final answer, from this pick or earlier.
    pub done: bool,
    /// The RPC still needs an answer but cannot be sent again.
    pub spent: bool,
}

/// An RPC that was ended with its picks in flight.
pub struct Cut {
    pub rpc: RpcIx,
    pub out: Vec<(usize, Sent)>,
    pub picks: usize,
    pub why: Why,
}

/// An RPC whose client has disconnected, with its picks in flight.
pub struct Left {
    pub rpc: RpcIx,
    pub out: Vec<usize>,
}

/// All RPCs in flight, by id and by the policy's index.
#[derive(Default)]
pub struct Rpcs {
    held: HashMap<Id, Held>,
    ids: HashMap<RpcIx, Id>,
    next: RpcIx,
    /// Unanswered RPCs, ordered by the time by which the policy must have answered.
    until: BTreeSet<(Duration, Id)>,
}

impl Rpcs {
    pub fn len(&self) -> usize {
        self.held.len()
    }

    pub fn holds(&self, id: Id) -> bool {
        self.held.contains_key(&id)
    }

    pub fn first_overdue(&self) -> Option<Duration> {
        self.until.first().map(|u| u.0)
    }

    pub fn take(&mut self, id: Id, until: Duration, careful: bool) -> RpcIx {
        while self.ids.contains_key(&self.next) {
            self.next = self.next.wrapping_add(1);
        }
        let rpc = self.next;
        self.next = self.next.wrapping_add(1);
        let (picks, over, streaming, last, drawn) = (Vec::new(), false, None, None, false);
        let held = Held { rpc, until, careful, picks, over, streaming, last, drawn };
        self.held.insert(id, held);
        self.ids.insert(rpc, id);
        self.until.insert((until, id));
        rpc
    }

    pub fn id(&self, rpc: RpcIx) -> Option<Id> {
        self.ids.get(&rpc).copied()
    }

    /// Whether the RPC must not run twice.
    pub fn careful(&self, id: Id) -> bool {
        self.held.get(&id).is_some_and(|h| h.careful)
    }

    /// Whether the RPC still needs an answer.
    pub fn open(&self, id: Id) -> bool {
        self.held.get(&id).is_some_and(|h| !h.over)
    }

    /// Records a pick; returns the RPC's id and the pick's index.
    pub fn send(&mut self, rpc: RpcIx, node: NodeIx, build: Build, at: Duration) -> Option<(Id, usize)> {
        let id = self.id(rpc)?;
        let held = self.held.get_mut(&id)?;
        let picks = held.picks.len() + 1;
        held.picks.push((Sent { node, build, at, picks }, true));
        Some((id, picks - 1))
    }

    /// Records that the marshal itself gives the final answer; `None` where the RPC already has one.
    pub fn answer(&mut self, rpc: RpcIx) -> Option<(Id, usize, Why)> {
        let id = self.id(rpc)?;
        let held = self.held.get_mut(&id).filter(|h| !h.over)?;
        held.over = true;
        let said = (id, held.picks.len(), held.why());
        self.until.remove(&(held.until, id));
        self.sweep(id);
        Some(said)
    }

    /// Records that part of the body was read from the client for this pick. Time spent waiting for the
    /// client does not count as the node's latency.
    pub fn draw(&mut self, id: Id, pick: usize, waited: Duration) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.drawn = true;
        if let Some((sent, _)) = held.picks.get_mut(pick) {
            sent.at += waited;
        }
    }

    /// Records that the pick's answer is being streamed as the final one; `None` where the RPC already has
    /// one.
    pub fn begin(&mut self, id: Id, pick: usize) -> Option<(RpcIx, Sent)> {
        let held = self.held.get_mut(&id).filter(|h| !h.over)?;
        let sent = held.picks.get(pick).filter(|p| p.1)?.0;
        (held.over, held.streaming) = (true, Some(pick));
        self.until.remove(&(held.until, id));
        Some((held.rpc, Sent { picks: held.picks.len(), ..sent }))
    }

    /// Records the end of a pick; `None` where it has already ended.
    pub fn end_pick(&mut self, id: Id, pick: usize, ok: bool) -> Option<End> {
        let held = self.held.get_mut(&id)?;
        let slot = held.picks.get_mut(pick).filter(|p| p.1)?;
        slot.1 = false;
        let sent = slot.0;
        let wins = ok && !held.over;
        if wins {
            held.over = true;
            self.until.remove(&(held.until, id));
        }
        let streaming = held.streaming == Some(pick);
        let sent = Sent { picks: held.picks.len(), ..sent };
        let spent = held.drawn && !held.over;
        Some(End { rpc: held.rpc, sent, wins, streaming, done: held.over, spent })
    }

    /// Records the outcome of the RPC's latest pick.
    pub fn note(&mut self, id: Id, outcome: Outcome) {
        if let Some(held) = self.held.get_mut(&id) {
            held.last = Some(outcome);
        }
    }

    /// Records that the client has disconnected. No answer is needed any more.
    pub fn leave(&mut self, id: Id) -> Option<Left> {
        let held = self.held.get_mut(&id)?;
        let owed = !held.over;
        held.over = true;
        let left = Left { rpc: held.rpc, out: held.out().map(|(pick, _)| pick).collect() };
        self.until.remove(&(held.until, id));
        self.sweep(id);
        Some(left).filter(|l| owed || !l.out.is_empty())
    }

    /// Unanswered RPCs that the policy should have answered by `now`.
    pub fn overdue(&self, now: Duration) -> Vec<Id> {
        self.until.iter().take_while(|u| u.0 <= now).map(|u| u.1).collect()
    }

    /// Ends an unanswered RPC and its picks.
    pub fn cut(&mut self, id: Id) -> Option<Cut> {
        let held = self.held.get_mut(&id).filter(|h| !h.over)?;
        held.over = true;
        let out: Vec<_> = held.out().collect();
        held.picks.iter_mut().for_each(|p| p.1 = false);
        let why = if out.is_empty() { held.why() } else { Why::TimedOut };
        let cut = Cut { rpc: held.rpc, out, picks: held.picks.len(), why };
        self.until.remove(&(held.until, id));
        self.sweep(id);
        Some(cut)
    }

    /// Removes an RPC that is answered and has no pick in flight.
    pub fn sweep(&mut self, id: Id) {
        if let Some(held) = self.held.get(&id).filter(|h| h.over && h.out().next().is_none()) {
            self.ids.remove(&held.rpc);
            self.held.remove(&id);
        }
    }
}
