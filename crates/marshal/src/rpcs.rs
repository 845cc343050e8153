//! The table of RPCs and their picks. It ensures that an RPC gets exactly one final answer.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use ivydrift_policy::port::*;

use crate::{FailureReason, Id};

/// A pick that was sent. `picks`: number of the RPC's picks so far.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentPick {
    pub node: NodeIx,
    pub build: Build,
    pub at: Duration,
    pub picks: usize,
}

/// An RPC that is in flight or still has picks in flight.
struct RpcEntry {
    rpc: RpcIx,
    policy_deadline: Duration,
    at_most_once: bool,
    /// Each pick, and whether it is in flight.
    picks: Vec<(SentPick, bool)>,
    /// The final answer was given, or the client has disconnected.
    finished: bool,
    /// The pick whose answer is being streamed to the client.
    streaming: Option<usize>,
    last_outcome: Option<Outcome>,
    /// No further pick may begin: part of the body was sent with a pick and is not buffered, or it is not known
    /// whether the client is still there.
    attempts_stopped: bool,
}

impl RpcEntry {
    fn in_flight(&self) -> impl Iterator<Item = (usize, SentPick)> + '_ {
        self.picks.iter().enumerate().filter(|(_, p)| p.1).map(|(i, p)| (i, p.0))
    }

    fn why(&self) -> FailureReason {
        match self.last_outcome {
            None | Some(Outcome::Full | Outcome::NoConnection | Outcome::NotAttempted) => {
                FailureReason::NoRoom
            }
            Some(Outcome::Timeout) => FailureReason::TimedOut,
            Some(_) => FailureReason::Failed,
        }
    }
}

/// What the end of a pick means for its RPC.
pub struct PickEnd {
    pub rpc: RpcIx,
    pub sent: SentPick,
    /// Its answer is the final one and was not forwarded before.
    pub is_final: bool,
    /// Its answer was being streamed.
    pub streaming: bool,
    /// The RPC has its final answer, from this pick or earlier.
    pub done: bool,
    /// The RPC still needs an answer but cannot be sent again.
    pub cannot_retry: bool,
}

/// An RPC that was ended with its picks in flight.
pub struct AbortedRpc {
    pub rpc: RpcIx,
    pub in_flight: Vec<(usize, SentPick)>,
    pub picks: usize,
    pub why: FailureReason,
}

/// An RPC whose client has disconnected, with its picks in flight.
pub struct DisconnectedRpc {
    pub rpc: RpcIx,
    pub in_flight: Vec<usize>,
}

/// All RPCs in flight, by id and by the policy's index.
#[derive(Default)]
pub struct Rpcs {
    entries: HashMap<Id, RpcEntry>,
    ids: HashMap<RpcIx, Id>,
    next: RpcIx,
    /// Unanswered RPCs, ordered by the time by which the policy must have answered.
    by_deadline: BTreeSet<(Duration, Id)>,
}

impl Rpcs {
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn contains(&self, id: Id) -> bool {
        self.entries.contains_key(&id)
    }

    pub fn first_overdue(&self) -> Option<Duration> {
        self.by_deadline.first().map(|entry| entry.0)
    }

    pub fn add(&mut self, id: Id, policy_deadline: Duration, at_most_once: bool) -> RpcIx {
        while self.ids.contains_key(&self.next) {
            self.next = self.next.wrapping_add(1);
        }
        let rpc = self.next;
        self.next = self.next.wrapping_add(1);
        let (picks, finished, streaming, last_outcome, attempts_stopped) =
            (Vec::new(), false, None, None, false);
        let entry = RpcEntry {
            rpc,
            policy_deadline,
            at_most_once,
            picks,
            finished,
            streaming,
            last_outcome,
            attempts_stopped,
        };
        self.entries.insert(id, entry);
        self.ids.insert(rpc, id);
        self.by_deadline.insert((policy_deadline, id));
        rpc
    }

    pub fn id_of(&self, rpc: RpcIx) -> Option<Id> {
        self.ids.get(&rpc).copied()
    }

    /// Whether the RPC must not run twice.
    pub fn at_most_once(&self, id: Id) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.at_most_once)
    }

    /// Whether the RPC still needs an answer.
    pub fn needs_answer(&self, id: Id) -> bool {
        self.entries.get(&id).is_some_and(|entry| !entry.finished)
    }

    /// Records a pick; returns the RPC's id and the pick's index.
    pub fn send(&mut self, rpc: RpcIx, node: NodeIx, build: Build, at: Duration) -> Option<(Id, usize)> {
        let id = self.id_of(rpc)?;
        let entry = self.entries.get_mut(&id)?;
        let picks = entry.picks.len() + 1;
        entry.picks.push((SentPick { node, build, at, picks }, true));
        Some((id, picks - 1))
    }

    /// Records that the marshal itself gives the final answer; `None` where the RPC already has one.
    pub fn finish(&mut self, rpc: RpcIx) -> Option<(Id, usize, FailureReason)> {
        let id = self.id_of(rpc)?;
        let entry = self.entries.get_mut(&id).filter(|entry| !entry.finished)?;
        entry.finished = true;
        let finished_rpc = (id, entry.picks.len(), entry.why());
        self.by_deadline.remove(&(entry.policy_deadline, id));
        self.remove_if_done(id);
        Some(finished_rpc)
    }

    /// Records that no pick may follow the one that has begun.
    pub fn stop_attempts(&mut self, id: Id) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.attempts_stopped = true;
        }
    }

    /// Records that part of the body was read from the client for this pick. Time spent waiting for the
    /// client does not count as the node's latency.
    pub fn consume_body(&mut self, id: Id, pick: usize, waited: Duration) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.attempts_stopped = true;
        if let Some((sent, _)) = entry.picks.get_mut(pick) {
            sent.at += waited;
        }
    }

    /// Records that the pick's answer is being streamed as the final one; `None` where the RPC already has
    /// one.
    pub fn begin_stream(&mut self, id: Id, pick: usize) -> Option<(RpcIx, SentPick)> {
        let entry = self.entries.get_mut(&id).filter(|entry| !entry.finished)?;
        let sent = entry.picks.get(pick).filter(|p| p.1)?.0;
        (entry.finished, entry.streaming) = (true, Some(pick));
        self.by_deadline.remove(&(entry.policy_deadline, id));
        Some((entry.rpc, SentPick { picks: entry.picks.len(), ..sent }))
    }

    /// Records the end of a pick; `None` where it has already ended.
    pub fn end_pick(&mut self, id: Id, pick: usize, ok: bool) -> Option<PickEnd> {
        let entry = self.entries.get_mut(&id)?;
        let pick_entry = entry.picks.get_mut(pick).filter(|p| p.1)?;
        pick_entry.1 = false;
        let sent = pick_entry.0;
        let is_final = ok && !entry.finished;
        if is_final {
            entry.finished = true;
            self.by_deadline.remove(&(entry.policy_deadline, id));
        }
        let streaming = entry.streaming == Some(pick);
        let sent = SentPick { picks: entry.picks.len(), ..sent };
        let cannot_retry = entry.attempts_stopped && !entry.finished;
        Some(PickEnd { rpc: entry.rpc, sent, is_final, streaming, done: entry.finished, cannot_retry })
    }

    /// Records the outcome of the RPC's latest pick.
    pub fn record_outcome(&mut self, id: Id, outcome: Outcome) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.last_outcome = Some(outcome);
        }
    }

    /// Records that the client has disconnected. No answer is needed any more.
    pub fn disconnect(&mut self, id: Id) -> Option<DisconnectedRpc> {
        let entry = self.entries.get_mut(&id)?;
        let unanswered = !entry.finished;
        entry.finished = true;
        let disconnected =
            DisconnectedRpc { rpc: entry.rpc, in_flight: entry.in_flight().map(|(pick, _)| pick).collect() };
        self.by_deadline.remove(&(entry.policy_deadline, id));
        self.remove_if_done(id);
        Some(disconnected).filter(|rpc| unanswered || !rpc.in_flight.is_empty())
    }

    /// Unanswered RPCs that the policy should have answered by `now`.
    pub fn overdue(&self, now: Duration) -> Vec<Id> {
        self.by_deadline.iter().take_while(|entry| entry.0 <= now).map(|entry| entry.1).collect()
    }

    /// Ends an unanswered RPC and its picks.
    pub fn abort(&mut self, id: Id) -> Option<AbortedRpc> {
        let entry = self.entries.get_mut(&id).filter(|entry| !entry.finished)?;
        entry.finished = true;
        let in_flight: Vec<_> = entry.in_flight().collect();
        entry.picks.iter_mut().for_each(|p| p.1 = false);
        let why = if in_flight.is_empty() { entry.why() } else { FailureReason::TimedOut };
        let aborted = AbortedRpc { rpc: entry.rpc, in_flight, picks: entry.picks.len(), why };
        self.by_deadline.remove(&(entry.policy_deadline, id));
        self.remove_if_done(id);
        Some(aborted)
    }

    /// Removes an RPC that is answered and has no pick in flight.
    pub fn remove_if_done(&mut self, id: Id) {
        if let Some(entry) =
            self.entries.get(&id).filter(|entry| entry.finished && entry.in_flight().next().is_none())
        {
            self.ids.remove(&entry.rpc);
            self.entries.remove(&id);
        }
    }
}
