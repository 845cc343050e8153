//! Handles received messages and synchronizes tables between members (anti-entropy).

use std::time::Duration;

use rand::RngExt;

use crate::message::{self, DigestEntry, Message, State, Update};
use crate::{table, Action, MemberIndex, Members, DIGEST_RANGE, MAX_HEALTH_MULTIPLIER};

impl Members {
    pub(crate) fn receive(&mut self, now: Duration, from: MemberIndex, bytes: &[u8]) {
        self.traffic.received += 1;
        self.traffic.received_bytes += bytes.len() as u64;
        let read = message::decode(bytes).filter(|_| from != self.me && from < self.count);
        let Some((message, updates)) = read else {
            self.traffic.malformed += 1;
            return;
        };
        if let Some(entry) = self.table.get_mut(from) {
            entry.heard = Some(now);
        }
        let present_before = self.table.present();
        for update in &updates {
            self.apply_update(now, from, update);
        }
        // The answer revealed members that we did not know, so there may be more: synchronize again soon.
        if matches!(message, Message::Words { .. }) && self.table.present() > present_before {
            self.next_sync = self.next_sync.min(now + self.timing.probe_interval / 2);
        }
        match message {
            Message::Ping { seq } => self.send(from, &Message::Ack { seq }, Some(from)),
            Message::Ack { seq } => self.handle_ack(now, from, seq),
            Message::Ask { seq, target } => {
                if target != self.me && target < self.count {
                    self.seq = self.seq.wrapping_add(1);
                    let (own_seq, wait) = (self.seq, self.timing.ack_timeout * (1 + self.health));
                    if self.relays.register(
                        now,
                        (from, seq),
                        (target, own_seq),
                        wait,
                        self.timing.probe_interval,
                    ) {
                        self.send(target, &Message::Ping { seq: own_seq }, Some(target));
                    }
                }
            }
            Message::Nack { seq } => {
                let probe = self.probe.as_mut().filter(|p| p.seq == seq);
                probe.into_iter().for_each(|p| p.nacks += 1);
            }
            Message::Digest { start, end, rows } => self.answer_digest(from, start, end, &rows),
            Message::Words { want } => {
                if !want.is_empty() {
                    let updates = want.iter().filter_map(|n| self.table.update(*n, self.me)).collect();
                    self.send_updates(from, &Message::Words { want: vec![] }, updates);
                }
            }
        }
    }

    /// Handles an ack, either for our own probe or for one that we relay for another member.
    pub(crate) fn handle_ack(&mut self, now: Duration, from: MemberIndex, seq: u32) {
        if self.probe.as_ref().is_some_and(|p| p.seq == seq) {
            // Only an ack within the period that applies at full health lowers the health multiplier.
            let in_time = self.probe.as_ref().is_some_and(|p| now < p.started + self.timing.probe_interval);
            self.probe = None;
            self.health = self.health.saturating_sub(u32::from(in_time));
        } else if let Some((requester, seq)) = self.relays.take_requester(from, seq) {
            self.send(requester, &Message::Ack { seq }, None);
        }
    }

    pub(crate) fn apply_update(&mut self, now: Duration, from: MemberIndex, update: &Update) {
        if update.number == self.me {
            return self.refute(now, update);
        }
        let change = self.table.apply(now, update);
        self.report_change(update.number, change);
        // A member that comes back may have missed many updates, and we may have missed some of its own.
        let returned = change.from.is_some_and(|s| !s.is_present()) && update.state.is_present();
        if returned && update.number == from {
            self.next_sync = self.next_sync.min(now + self.timing.probe_interval / 2);
        }
    }

    /// Handles an update about this member: refutes an outdated claim with a higher incarnation.
    pub(crate) fn refute(&mut self, now: Duration, update: &Update) {
        let Some((life, turn, _)) = self.table.get(self.me).map(|entry| entry.rank()) else { return };
        let new = if update.life > life {
            // Our clock was set back between two starts, or another process uses our number: the later update
            // wins.
            Some((update.life.saturating_add(1), 0))
        } else if update.life == life && update.state != State::Alive && update.turn >= turn {
            self.health = (self.health + 1).min(MAX_HEALTH_MULTIPLIER);
            Some((life, update.turn.saturating_add(1)))
        } else {
            None
        };
        if let Some((life, turn)) = new {
            let record = self.table.get(self.me).and_then(|entry| entry.record.clone());
            self.set_state(now, self.me, (life, turn, State::Alive), self.me);
            if let Some(entry) = self.table.get_mut(self.me) {
                (entry.record, entry.record_at) = (record, now);
            }
        }
    }

    pub(crate) fn set_state(
        &mut self, now: Duration, number: MemberIndex, rank: message::Rank, by: MemberIndex,
    ) {
        let change = self.table.set_state(now, number, rank, by);
        self.report_change(number, change);
    }

    pub(crate) fn report_change(&mut self, number: MemberIndex, change: table::StateChange) {
        let Some(from) = change.from else { return };
        let Some((life, _, to)) = self.table.get(number).map(|entry| entry.rank()) else { return };
        self.suspects.retain(|s| *s != number);
        if to == State::Suspect {
            self.suspects.push(number);
        }
        self.out.push(Action::StateChanged { number, from, to, life });
    }

    pub(crate) fn send_digest(&mut self, to: MemberIndex) {
        let start = self.rng.random_range(0..self.count) / DIGEST_RANGE * DIGEST_RANGE;
        let end = start.saturating_add(DIGEST_RANGE).min(self.count);
        let rows = (start..end).filter_map(|n| self.table.digest_entry(n)).collect();
        self.send(to, &Message::Digest { start, end, rows }, None);
    }

    pub(crate) fn answer_digest(
        &mut self, from: MemberIndex, start: MemberIndex, end: MemberIndex, rows: &[DigestEntry],
    ) {
        let end = end.min(start.saturating_add(DIGEST_RANGE)).min(self.count);
        let (mut updates, mut want) = (Vec::new(), Vec::new());
        for number in start..end {
            let theirs = rows.iter().find(|r| r.number == number);
            let freshness = |r: &DigestEntry| ((r.life, r.turn, r.state), r.version);
            let (ours, theirs) =
                (self.table.digest_entry(number).map(|r| freshness(&r)), theirs.map(freshness));
            let newer = |a: &Option<(message::Rank, u32)>, b: &Option<(message::Rank, u32)>| match (a, b) {
                (Some(a), Some(b)) => a.0 > b.0 || (a.0 .0 == b.0 .0 && a.1 > b.1),
                (a, b) => a.is_some() && b.is_none(),
            };
            if newer(&ours, &theirs) {
                updates.extend(self.table.update(number, self.me));
            }
            if newer(&theirs, &ours) {
                want.push(number);
            }
        }
        if !updates.is_empty() || !want.is_empty() {
            self.send_updates(from, &Message::Words { want }, updates);
        }
    }
}
