//! Probing: target selection, indirect probes and suspicion of members that do not answer.

use std::time::Duration;

use rand::RngExt;

use crate::message::{Message, State};
use crate::table::MAX_CONFIRMATIONS;
use crate::{MemberIndex, Members, Probe, ABSENT_PROBE_PERIODS, MAX_HEALTH_MULTIPLIER, RETRANSMIT_FACTOR};

impl Members {
    pub(crate) fn start_period(&mut self, now: Duration) {
        self.period_count = self.period_count.wrapping_add(1);
        let members = self.table.present().max(2) as f64;
        self.table.max_sends = (RETRANSMIT_FACTOR * members.log2()).ceil() as u32;
        if let Some(target) = self.next_target() {
            self.seq = self.seq.wrapping_add(1);
            let seq = self.seq;
            self.probe = Some(Probe { target, seq, started: now, helpers_asked: None, nacks: 0 });
            self.send(target, &Message::Ping { seq }, Some(target));
        }
        // Members not known to be present are probed occasionally, without consequence; in every period while
        // this member is alone.
        if self.period_count.is_multiple_of(ABSENT_PROBE_PERIODS) || self.table.present() < 2 {
            for _ in 0..10 {
                let number = self.rng.random_range(0..self.count);
                if self.table.get(number).is_some_and(|entry| !entry.state.is_present()) {
                    self.seq = self.seq.wrapping_add(1);
                    self.send(number, &Message::Ping { seq: self.seq }, Some(number));
                    break;
                }
            }
        }
    }

    /// The next target. Each round probes every present member once, in a new random order.
    pub(crate) fn next_target(&mut self) -> Option<MemberIndex> {
        for _ in 0..2 {
            while let Some(number) = self.round.pop() {
                if self.table.get(number).is_some_and(|entry| entry.state.is_present()) {
                    return Some(number);
                }
            }
            let present =
                self.table.numbered().filter(|(n, entry)| *n != self.me && entry.state.is_present());
            self.round = present.map(|p| p.0).collect();
            for i in (1..self.round.len()).rev() {
                let j = self.rng.random_range(0..=i);
                self.round.swap(i, j);
            }
        }
        None
    }

    pub(crate) fn probe_indirectly(&mut self) {
        let Some((target, seq)) = self.probe.as_ref().map(|p| (p.target, p.seq)) else { return };
        let helpers = self.random_alive(self.timing.indirect_probes, target);
        if let Some(probe) = &mut self.probe {
            probe.helpers_asked = Some(helpers.len());
        }
        for helper in helpers {
            self.send(helper, &Message::Ask { seq, target }, None);
        }
    }

    /// Ends the period: the target of an unanswered probe becomes suspect.
    pub(crate) fn finish_period(&mut self, now: Duration) {
        let Some(probe) = self.probe.take() else { return };
        // Members that neither relayed an ack nor sent a nack suggest that our own link is at fault.
        let silent_helpers = probe.helpers_asked.unwrap_or(0).saturating_sub(probe.nacks);
        let no_helpers = probe.helpers_asked.is_none_or(|helpers_asked| helpers_asked == 0);
        self.health =
            (self.health + silent_helpers as u32 + u32::from(no_helpers)).min(MAX_HEALTH_MULTIPLIER);
        let Some(entry) = self.table.get(probe.target) else { return };
        match (entry.state, entry.rank()) {
            (State::Alive, (life, turn, _)) => {
                self.set_state(now, probe.target, (life, turn, State::Suspect), self.me);
            }
            (State::Suspect, _) => self.table.confirm(probe.target, self.me),
            _ => {}
        }
    }

    pub(crate) fn suspicion_end(&self, number: MemberIndex) -> Option<Duration> {
        let suspicion = self.table.get(number)?.suspicion.as_ref()?;
        let members = self.table.present() as f64;
        let [minimum, factor] = self.timing.suspicion_timeout;
        let minimum = minimum * members.log10().max(1.0);
        // With few other members, no confirmation by them is required.
        let wanted_confirmations = MAX_CONFIRMATIONS.min(self.table.present().saturating_sub(3));
        let confirmations = suspicion.by.len().saturating_sub(1).min(wanted_confirmations);
        let progress = if wanted_confirmations == 0 {
            1.0
        } else {
            ((confirmations + 1) as f64).ln() / ((wanted_confirmations + 1) as f64).ln()
        };
        let periods = minimum * (factor - (factor - 1.0) * progress);
        Some(suspicion.started + self.timing.probe_interval.mul_f64(periods))
    }
}
