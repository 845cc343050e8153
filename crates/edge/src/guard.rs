//! The guard that every attempt passes before it is sent to a node, and run-time checks of the operators'
//! rules.
//!
//! Withheld attempts are normal and counted by reason. A violation is a rule that was broken nevertheless: it
//! is counted and logged as an error, whatever its cause.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use ivydrift_marshal::{Id, Withheld};
use ivydrift_policy::presence::AttemptDecision;

use crate::clients::Client;
use crate::exchange::Admission;
use crate::Edge;

/// Tolerance for an attempt that begins after its deadline, or after the client was seen to leave.
const START_TOLERANCE: Duration = Duration::from_millis(100);

/// Counters since the process started.
#[derive(Default)]
pub struct Guard {
    withheld_withdrawn: AtomicU64,
    withheld_stale: AtomicU64,
    withheld_departed: AtomicU64,
    withheld_unseen: AtomicU64,
    sent_to_withdrawn: AtomicU64,
    sent_too_late: AtomicU64,
    closed_unanswered: AtomicU64,
}

/// Attempts that were decided on but not sent, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WithheldCounts {
    /// The node had been withdrawn from the list.
    pub withdrawn: u64,
    /// The node list was too old.
    pub stale_list: u64,
    /// The client had left.
    pub departed_client: u64,
    /// More of the client's bytes were unread than may be read ahead, so it was not known whether it had left.
    pub unseen_client: u64,
}

/// Broken rules, by rule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// An attempt was sent to a node later than the drain grace after that node began to drain or was gone.
    pub sent_to_withdrawn: u64,
    /// An attempt began after its deadline.
    pub sent_too_late: u64,
    /// A request was read and its connection closed without an answer although the client was connected.
    pub closed_unanswered: u64,
}

impl Guard {
    /// Attempts withheld so far.
    pub fn withheld(&self) -> WithheldCounts {
        WithheldCounts {
            withdrawn: self.withheld_withdrawn.load(Ordering::Relaxed),
            stale_list: self.withheld_stale.load(Ordering::Relaxed),
            departed_client: self.withheld_departed.load(Ordering::Relaxed),
            unseen_client: self.withheld_unseen.load(Ordering::Relaxed),
        }
    }

    /// Violations so far.
    pub fn violations(&self) -> Violations {
        Violations {
            sent_to_withdrawn: self.sent_to_withdrawn.load(Ordering::Relaxed),
            sent_too_late: self.sent_too_late.load(Ordering::Relaxed),
            closed_unanswered: self.closed_unanswered.load(Ordering::Relaxed),
        }
    }

    /// Counts an attempt that is withheld for what is known of its client.
    pub fn record_decision(&self, id: Id, decision: AttemptDecision) {
        let count = match decision {
            AttemptDecision::Begin => return,
            AttemptDecision::Refuse => &self.withheld_unseen,
            AttemptDecision::Drop => &self.withheld_departed,
        };
        count.fetch_add(1, Ordering::Relaxed);
        tracing::debug!(id, ?decision, "attempt withheld for its client");
    }

    /// Records that a request ended without an answer to a client that is still connected.
    pub fn closed_unanswered(&self, id: Id) {
        self.closed_unanswered.fetch_add(1, Ordering::Relaxed);
        tracing::error!(id, rule = "lost", "violation: a request was read and closed without an answer");
    }
}

/// One attempt of an RPC at a node.
pub struct Attempt<'a> {
    pub edge: &'a Edge,
    pub client: &'a Client,
    pub id: Id,
    pub node: SocketAddr,
    /// The attempt's deadline.
    pub deadline: Instant,
}

impl Admission for Attempt<'_> {
    fn admit(&self, now: Instant) -> bool {
        let edge = self.edge;
        if edge.decide_attempt(self.id, self.client, now) != AttemptDecision::Begin {
            return false;
        }
        let withheld = edge.core.lock().unwrap().may_send(edge.now(), self.id, self.node).err();
        let Some(why) = withheld else { return true };
        let count = match why {
            Withheld::Withdrawn => &edge.guard.withheld_withdrawn,
            Withheld::StaleList => &edge.guard.withheld_stale,
        };
        count.fetch_add(1, Ordering::Relaxed);
        tracing::debug!(id = self.id, node = %self.node, why = why.as_str(), "attempt withheld");
        false
    }

    fn sent(&self, write_began: Instant) {
        let (edge, guard) = (self.edge, &self.edge.guard);
        let at = edge.now().saturating_sub(write_began.elapsed());
        let lateness = edge.core.lock().unwrap().drain_violation(at, self.id, self.node);
        if let Some(lateness) = lateness {
            guard.sent_to_withdrawn.fetch_add(1, Ordering::Relaxed);
            let late_ms = lateness.as_millis() as u64;
            tracing::error!(id = self.id, node = %self.node, late_ms, rule = "drain", "violation: sent to a drained node");
        }
        if write_began > self.deadline + START_TOLERANCE {
            guard.sent_too_late.fetch_add(1, Ordering::Relaxed);
            tracing::error!(id = self.id, node = %self.node, rule = "lost", "violation: sent after its time");
        }
    }
}
