//! Indirect probes that this member makes for others, and the nacks due for them.

use std::time::Duration;

use crate::Number;

/// Maximum number of concurrent relayed probes; further requests are ignored.
const MOST: usize = 64;

struct Relay {
    asker: (Number, u32),
    target: (Number, u32),
    /// When the requester is sent a nack.
    nack: Option<Duration>,
    /// When the entry is dropped.
    until: Duration,
}

/// The relayed probes in progress.
#[derive(Default)]
pub struct Relays(Vec<Relay>);

impl Relays {
    /// Registers a relayed probe. `asker` and `target` are each a member with its sequence number; false if
    /// the limit is reached.
    pub fn take(
        &mut self, now: Duration, asker: (Number, u32), target: (Number, u32), wait: Duration,
        period: Duration,
    ) -> bool {
        self.0.retain(|r| now < r.until);
        let room = self.0.len() < MOST;
        if room {
            // Early enough for the requester's period, or our waiting would raise its health multiplier.
            let nack = Some(now + wait.min(period / 2).mul_f64(0.8));
            self.0.push(Relay { asker, target, nack, until: now + 4 * period });
        }
        room
    }

    /// Removes the relayed probe that this ack belongs to and returns its requester.
    pub fn answered(&mut self, from: Number, seq: u32) -> Option<(Number, u32)> {
        let at = self.0.iter().position(|r| r.target == (from, seq))?;
        Some(self.0.swap_remove(at).asker)
    }

    /// Requesters that are due a nack now; each is returned once.
    pub fn late(&mut self, now: Duration) -> Vec<(Number, u32)> {
        let due = self.0.iter_mut().filter(|r| r.nack.is_some_and(|at| now >= at));
        let askers = due.map(|r| {
            r.nack = None;
            r.asker
        });
        askers.collect()
    }

    /// Time of the next nack.
    pub fn due(&self) -> Option<Duration> {
        self.0.iter().filter_map(|r| r.nack).min()
    }
}
