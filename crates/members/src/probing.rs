//! Probing: target selection, indirect probes and suspicion of members that do not answer.

use std::time::Duration;

use rand::RngExt;

use crate::message::{State, What};
use crate::table::CONFIRMED;
use crate::{Members, Number, Probe, REACH, TELLINGS, UNHEALTHY};

impl Members {
    pub(crate) fn begin(&mut self, now: Duration) {
        self.periods = self.periods.wrapping_add(1);
        let members = self.table.present().max(2) as f64;
        self.table.enough = (TELLINGS * members.log2()).ceil() as u32;
        if let Some(target) = self.next_target() {
            self.seq = self.seq.wrapping_add(1);
            let seq = self.seq;
            self.probe = Some(Probe { target, seq, begun: now, asked: None, nacks: 0 });
            self.send(target, &What::Ping { seq }, Some(target));
        }
        // Members not known to be present are probed occasionally, without consequence; in every period while
        // this member is alone.
        if self.periods.is_multiple_of(REACH) || self.table.present() < 2 {
            for _ in 0..10 {
                let number = self.rng.random_range(0..self.count);
                if self.table.get(number).is_some_and(|e| !e.state.present()) {
                    self.seq = self.seq.wrapping_add(1);
                    self.send(number, &What::Ping { seq: self.seq }, Some(number));
                    break;
                }
            }
        }
    }

    /// The next target. Each round probes every present member once, in a new random order.
    pub(crate) fn next_target(&mut self) -> Option<Number> {
        for _ in 0..2 {
            while let Some(number) = self.round.pop() {
                if self.table.get(number).is_some_and(|e| e.state.present()) {
                    return Some(number);
                }
            }
            let present = self.table.numbers().filter(|(n, e)| *n != self.me && e.state.present());
            self.round = present.map(|p| p.0).collect();
            for i in (1..self.round.len()).rev() {
                let j = self.rng.random_range(0..=i);
                self.round.swap(i, j);
            }
        }
        None
    }

    pub(crate) fn ask_others(&mut self) {
        let Some((target, seq)) = self.probe.as_ref().map(|p| (p.target, p.seq)) else { return };
        let helpers = self.some(self.pace.helpers, target);
        if let Some(probe) = &mut self.probe {
            probe.asked = Some(helpers.len());
        }
        for helper in helpers {
            self.send(helper, &What::Ask { seq, target }, None);
        }
    }

    /// Ends the period: the target of an unanswered probe becomes suspect.
    pub(crate) fn unanswered(&mut self, now: Duration) {
        let Some(probe) = self.probe.take() else { return };
        // Members that neither relayed an ack nor sent a nack suggest that our own link is at fault.
        let silent = probe.asked.unwrap_or(0).saturating_sub(probe.nacks);
        let alone = probe.asked.is_none_or(|asked| asked == 0);
        self.health = (self.health + silent as u32 + u32::from(alone)).min(UNHEALTHY);
        let Some(e) = self.table.get(probe.target) else { return };
        match (e.state, e.rank()) {
            (State::Alive, (life, turn, _)) => {
                self.enter(now, probe.target, (life, turn, State::Suspect), self.me);
            }
            (State::Suspect, _) => self.table.confirm(probe.target, self.me),
            _ => {}
        }
    }

    pub(crate) fn doubted_until(&self, number: Number) -> Option<Duration> {
        let doubt = self.table.get(number)?.doubt.as_ref()?;
        let members = self.table.present() as f64;
        let [least, first] = self.pace.suspicion;
        let least = least * members.log10().max(1.0);
        // With few other members, no confirmation by them is required.
        let wanted = CONFIRMED.min(self.table.present().saturating_sub(3));
        let more = doubt.by.len().saturating_sub(1).min(wanted);
        let part = if wanted == 0 { 1.0 } else { ((more + 1) as f64).ln() / ((wanted + 1) as f64).ln() };
        let periods = least * (first - (first - 1.0) * part);
        Some(doubt.begun + self.pace.period.mul_f64(periods))
    }
}
