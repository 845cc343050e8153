//! Indirect probes that this member makes for others, and the nacks due for them.

use std::time::Duration;

use crate::MemberIndex;

/// Maximum number of concurrent relayed probes; further requests are ignored.
const MAX_RELAYS: usize = 64;

struct Relay {
    requester: (MemberIndex, u32),
    target: (MemberIndex, u32),
    /// When the requester is sent a nack.
    nack_at: Option<Duration>,
    /// When the entry is dropped.
    expires: Duration,
}

/// The relayed probes in progress.
#[derive(Default)]
pub struct Relays(Vec<Relay>);

impl Relays {
    /// Registers a relayed probe. `requester` and `target` are each a member with its sequence number; false
    /// if the limit is reached.
    pub fn register(
        &mut self, now: Duration, requester: (MemberIndex, u32), target: (MemberIndex, u32), wait: Duration,
        period: Duration,
    ) -> bool {
        self.0.retain(|r| now < r.expires);
        let has_room = self.0.len() < MAX_RELAYS;
        if has_room {
            // Early enough for the requester's period, or our waiting would raise its health multiplier.
            let nack_at = Some(now + wait.min(period / 2).mul_f64(0.8));
            self.0.push(Relay { requester, target, nack_at, expires: now + 4 * period });
        }
        has_room
    }

    /// Removes the relayed probe that this ack belongs to and returns its requester.
    pub fn take_requester(&mut self, from: MemberIndex, seq: u32) -> Option<(MemberIndex, u32)> {
        let at = self.0.iter().position(|r| r.target == (from, seq))?;
        Some(self.0.swap_remove(at).requester)
    }

    /// Requesters that are due a nack now; each is returned once.
    pub fn take_due(&mut self, now: Duration) -> Vec<(MemberIndex, u32)> {
        let due = self.0.iter_mut().filter(|r| r.nack_at.is_some_and(|at| now >= at));
        let requesters = due.map(|r| {
            r.nack_at = None;
            r.requester
        });
        requesters.collect()
    }

    /// Time of the next nack.
    pub fn due(&self) -> Option<Duration> {
        self.0.iter().filter_map(|r| r.nack_at).min()
    }
}
