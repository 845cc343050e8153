//! Checks at the moment of a send: whether a node may receive new work, and whether a send began too late.

use std::net::SocketAddr;
use std::time::Duration;

use crate::Core;

/// Why a pick is not sent although it was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// Discovery has since reported the node as draining or removed.
    Withdrawn,
    /// Discovery has not confirmed the node list for too long.
    StaleList,
}

impl Withheld {
    /// The reason in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Withheld::Withdrawn => "the node drains or is gone",
            Withheld::StaleList => "the list of nodes is not confirmed",
        }
    }
}

impl Core {
    /// Whether the node list is still valid: confirmed recently enough, or without a validity limit.
    pub(crate) fn list_is_valid(&self, now: Duration) -> bool {
        self.policy.list_is_valid(now)
    }

    /// Checks whether new work may be sent to a node.
    ///
    /// # Errors
    /// The reason why not.
    pub fn may_send(&self, now: Duration, node: SocketAddr) -> Result<(), Withheld> {
        if !self.list_is_valid(now) {
            return Err(Withheld::StaleList);
        }
        if !self.directory.sendable(node) {
            return Err(Withheld::Withdrawn);
        }
        Ok(())
    }

    /// How long after the drain grace period a send that began at `begun` came; `None` where it kept the
    /// drain rule.
    pub fn drain_violation(&self, begun: Duration, node: SocketAddr) -> Option<Duration> {
        let withdrawn_at = self.directory.withdrawn_at(node)?;
        begun.checked_sub(withdrawn_at + self.config.rollout.rules.drain_grace).filter(|late| !late.is_zero())
    }
}
