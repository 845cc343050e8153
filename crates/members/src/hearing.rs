//! Handles received messages and synchronizes tables between members (anti-entropy).

use std::time::Duration;

use rand::RngExt;

use crate::message::{self, Row, State, What, Word};
use crate::{table, Members, Number, Out, RANGE, UNHEALTHY};

impl Members {
    pub(crate) fn hear(&mut self, now: Duration, from: Number, bytes: &[u8]) {
        self.traffic.heard += 1;
        self.traffic.heard_bytes += bytes.len() as u64;
        let read = message::read(bytes).filter(|_| from != self.me && from < self.count);
        let Some((what, words)) = read else {
            self.traffic.dropped += 1;
            return;
        };
        if let Some(e) = self.table.get_mut(from) {
            e.heard = Some(now);
        }
        let present = self.table.present();
        for word in &words {
            self.learn(now, from, word);
        }
        // The answer revealed members that we did not know, so there may be more: synchronize again soon.
        if matches!(what, What::Words { .. }) && self.table.present() > present {
            self.next_compare = self.next_compare.min(now + self.pace.period / 2);
        }
        match what {
            What::Ping { seq } => self.send(from, &What::Ack { seq }, Some(from)),
            What::Ack { seq } => self.acked(now, from, seq),
            What::Ask { seq, target } => {
                if target != self.me && target < self.count {
                    self.seq = self.seq.wrapping_add(1);
                    let (own, wait) = (self.seq, self.pace.answer * (1 + self.health));
                    if self.relays.take(now, (from, seq), (target, own), wait, self.pace.period) {
                        self.send(target, &What::Ping { seq: own }, Some(target));
                    }
                }
            }
            What::Nack { seq } => {
                let probe = self.probe.as_mut().filter(|p| p.seq == seq);
                probe.into_iter().for_each(|p| p.nacks += 1);
            }
            What::Digest { start, end, rows } => self.answer_digest(from, start, end, &rows),
            What::Words { want } => {
                if !want.is_empty() {
                    let words = want.iter().filter_map(|n| self.table.word(*n, self.me)).collect();
                    self.send_words(from, &What::Words { want: vec![] }, words);
                }
            }
        }
    }

    /// Handles an ack, either for our own probe or for one that we relay for another member.
    pub(crate) fn acked(&mut self, now: Duration, from: Number, seq: u32) {
        if self.probe.as_ref().is_some_and(|p| p.seq == seq) {
            // Only an ack within the period that applies at full health lowers the health multiplier.
            let quick = self.probe.as_ref().is_some_and(|p| now < p.begun + self.pace.period);
            self.probe = None;
            self.health = self.health.saturating_sub(u32::from(quick));
        } else if let Some((asker, seq)) = self.relays.answered(from, seq) {
            self.send(asker, &What::Ack { seq }, None);
        }
    }

    pub(crate) fn learn(&mut self, now: Duration, from: Number, word: &Word) {
        if word.number == self.me {
            return self.contradict(now, word);
        }
        let learnt = self.table.take(now, word);
        self.changed(word.number, learnt);
        // A member that comes back may have missed many updates, and we may have missed some of its own.
        let back = learnt.from.is_some_and(|s| !s.present()) && word.state.present();
        if back && word.number == from {
            self.next_compare = self.next_compare.min(now + self.pace.period / 2);
        }
    }

    /// Handles an update about this member: refutes an outdated claim with a higher incarnation.
    pub(crate) fn contradict(&mut self, now: Duration, word: &Word) {
        let Some((life, turn, _)) = self.table.get(self.me).map(|e| e.rank()) else { return };
        let new = if word.life > life {
            // Our clock was set back between two starts, or another process uses our number: the later update
            // wins.
            Some((word.life.saturating_add(1), 0))
        } else if word.life == life && word.state != State::Alive && word.turn >= turn {
            self.health = (self.health + 1).min(UNHEALTHY);
            Some((life, word.turn.saturating_add(1)))
        } else {
            None
        };
        if let Some((life, turn)) = new {
            let record = self.table.get(self.me).and_then(|e| e.record.clone());
            self.enter(now, self.me, (life, turn, State::Alive), self.me);
            if let Some(e) = self.table.get_mut(self.me) {
                (e.record, e.record_at) = (record, now);
            }
        }
    }

    pub(crate) fn enter(&mut self, now: Duration, number: Number, rank: message::Rank, by: Number) {
        let learnt = self.table.enter(now, number, rank, by);
        self.changed(number, learnt);
    }

    pub(crate) fn changed(&mut self, number: Number, learnt: table::Learnt) {
        let Some(from) = learnt.from else { return };
        let Some((life, _, to)) = self.table.get(number).map(|e| e.rank()) else { return };
        self.suspects.retain(|s| *s != number);
        if to == State::Suspect {
            self.suspects.push(number);
        }
        self.out.push(Out::Changed { number, from, to, life });
    }

    pub(crate) fn compare(&mut self, to: Number) {
        let start = self.rng.random_range(0..self.count) / RANGE * RANGE;
        let end = start.saturating_add(RANGE).min(self.count);
        let rows = (start..end).filter_map(|n| self.table.row(n)).collect();
        self.send(to, &What::Digest { start, end, rows }, None);
    }

    pub(crate) fn answer_digest(&mut self, from: Number, start: Number, end: Number, rows: &[Row]) {
        let end = end.min(start.saturating_add(RANGE)).min(self.count);
        let (mut words, mut want) = (Vec::new(), Vec::new());
        for number in start..end {
            let theirs = rows.iter().find(|r| r.number == number);
            let age = |r: &Row| ((r.life, r.turn, r.state), r.version);
            let (mine, theirs) = (self.table.row(number).map(|r| age(&r)), theirs.map(age));
            let newer = |a: &Option<(message::Rank, u32)>, b: &Option<(message::Rank, u32)>| match (a, b) {
                (Some(a), Some(b)) => a.0 > b.0 || (a.0 .0 == b.0 .0 && a.1 > b.1),
                (a, b) => a.is_some() && b.is_none(),
            };
            if newer(&mine, &theirs) {
                words.extend(self.table.word(number, self.me));
            }
            if newer(&theirs, &mine) {
                want.push(number);
            }
        }
        if !words.is_empty() || !want.is_empty() {
            self.send_words(from, &What::Words { want }, words);
        }
    }
}
