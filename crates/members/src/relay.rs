//! Probes made for other members, and what they are owed for them.

use std::time::Duration;

use crate::Number;

/// Probes for others at once; who asks for more is not heard.
const MOST: usize = 64;

struct Relay {
    asker: (Number, u32),
    target: (Number, u32),
    /// When the asker is told that there is no answer yet.
    nack: Option<Duration>,
    until: Duration,
}

#[derive(Default)]
pub struct Relays(Vec<Relay>);

impl Relays {
    /// Both by number and its own count; false where there are too many.
    pub fn take(
        &mut self, now: Duration, asker: (Number, u32), target: (Number, u32), wait: Duration,
        period: Duration,
    ) -> bool {
        self.0.retain(|r| now < r.until);
        let room = self.0.len() < MOST;
        if room {
            // Before the asker's period is over, or its own health would pay for our patience.
            let nack = Some(now + wait.min(period / 2).mul_f64(0.8));
            self.0.push(Relay { asker, target, nack, until: now + 4 * period });
        }
        room
    }

    /// The asker that this answer is for.
    pub fn answered(&mut self, from: Number, seq: u32) -> Option<(Number, u32)> {
        let at = self.0.iter().position(|r| r.target == (from, seq))?;
        Some(self.0.swap_remove(at).asker)
    }

    /// Askers who are to be told now.
    pub fn late(&mut self, now: Duration) -> Vec<(Number, u32)> {
        let due = self.0.iter_mut().filter(|r| r.nack.is_some_and(|at| now >= at));
        let askers = due.map(|r| {
            r.nack = None;
            r.asker
        });
        askers.collect()
    }

    pub fn due(&self) -> Option<Duration> {
        self.0.iter().filter_map(|r| r.nack).min()
    }
}
