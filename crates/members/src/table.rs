//! Member table, with the queue of updates still to be disseminated.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::message::{DigestEntry, Rank, Record, State, Update};
use crate::MemberIndex;

/// Number of independent confirmations that shortens a suspicion to its minimum.
pub const MAX_CONFIRMATIONS: usize = 3;

/// A suspicion with Lifeguard's rule: the more members suspect independently, the sooner it ends.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// When the suspicion began, by our clock.
    pub started: Duration,
    /// Members that suspect it independently.
    pub by: Vec<MemberIndex>,
}

/// What is known of one member.
#[derive(Clone, Debug)]
pub struct Entry {
    pub life: u64,
    pub turn: u32,
    pub state: State,
    /// When it entered this state, by our clock.
    pub since: Duration,
    /// When it was last heard directly.
    pub heard: Option<Duration>,
    pub suspicion: Option<Suspicion>,
    pub record: Option<Record>,
    /// When this version of its record arrived.
    pub record_at: Duration,
    /// How often its update was sent; `None` once that was often enough.
    send_count: Option<u32>,
}

impl Entry {
    fn new() -> Self {
        Entry {
            life: 0,
            turn: 0,
            state: State::Unknown,
            since: Duration::ZERO,
            heard: None,
            suspicion: None,
            record: None,
            record_at: Duration::ZERO,
            send_count: None,
        }
    }

    pub fn rank(&self) -> Rank {
        (self.life, self.turn, self.state)
    }

    pub fn version(&self) -> u32 {
        self.record.as_ref().map_or(0, |r| r.version)
    }
}

/// Effect of an update.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateChange {
    /// The previous state, if the state or the life changed.
    pub from: Option<State>,
}

/// All members by number.
pub struct Table {
    entries: Vec<Entry>,
    /// Members whose update is still to be sent, the least often sent first.
    queue: BTreeSet<(u32, MemberIndex)>,
    /// How often each update is sent.
    pub max_sends: u32,
    /// Number of members present.
    present: usize,
}

impl Table {
    pub fn new(count: MemberIndex) -> Self {
        let entries = (0..count).map(|_| Entry::new()).collect();
        Table { entries, queue: BTreeSet::new(), max_sends: 4, present: 0 }
    }

    pub fn get(&self, number: MemberIndex) -> Option<&Entry> {
        self.entries.get(usize::from(number))
    }

    pub fn get_mut(&mut self, number: MemberIndex) -> Option<&mut Entry> {
        self.entries.get_mut(usize::from(number))
    }

    /// Changes the number of members.
    pub fn resize(&mut self, count: MemberIndex) {
        self.entries.resize_with(count.into(), Entry::new);
        self.queue.retain(|(_, number)| *number < count);
        self.present = self.entries.iter().filter(|entry| entry.state.is_present()).count();
    }

    pub fn numbered(&self) -> impl Iterator<Item = (MemberIndex, &Entry)> {
        self.entries.iter().enumerate().map(|(i, entry)| (i as MemberIndex, entry))
    }

    /// Number of members present, this one included.
    pub fn present(&self) -> usize {
        self.present
    }

    /// The update about a member, as sent by `by`.
    pub fn update(&self, number: MemberIndex, by: MemberIndex) -> Option<Update> {
        let entry = self.get(number).filter(|entry| entry.state != State::Unknown)?;
        // Naming the latest confirmation lets others learn of more than one.
        let by = entry.suspicion.as_ref().and_then(|d| d.by.last().copied()).unwrap_or(by);
        let record = entry.record.clone().filter(|_| entry.state.is_present());
        Some(Update { number, life: entry.life, turn: entry.turn, state: entry.state, by, record })
    }

    /// The digest entry of a member.
    pub fn digest_entry(&self, number: MemberIndex) -> Option<DigestEntry> {
        let entry = self.get(number).filter(|entry| entry.state != State::Unknown)?;
        Some(DigestEntry {
            number,
            life: entry.life,
            turn: entry.turn,
            state: entry.state,
            version: entry.version(),
        })
    }

    /// Queues the member's update for the next datagrams.
    pub fn enqueue(&mut self, number: MemberIndex) {
        let Some(entry) = self.entries.get_mut(usize::from(number)) else { return };
        if let Some(send_count) = entry.send_count.replace(0) {
            self.queue.remove(&(send_count, number));
        }
        self.queue.insert((0, number));
    }

    /// Up to `limit` updates to send, the least often sent first.
    pub fn pending(&self, by: MemberIndex, limit: usize) -> Vec<Update> {
        self.queue.iter().take(limit).filter_map(|&(_, number)| self.update(number, by)).collect()
    }

    /// Counts these updates as sent once more.
    pub fn mark_sent(&mut self, numbers: impl Iterator<Item = MemberIndex>) {
        for number in numbers {
            let Some(entry) = self.entries.get_mut(usize::from(number)) else { continue };
            let Some(send_count) = entry.send_count else { continue };
            self.queue.remove(&(send_count, number));
            entry.send_count = (send_count + 1 < self.max_sends).then_some(send_count + 1);
            self.queue.extend(entry.send_count.map(|send_count| (send_count, number)));
        }
    }

    /// Sets a member's state and queues the update.
    pub fn set_state(
        &mut self, now: Duration, number: MemberIndex, rank: Rank, by: MemberIndex,
    ) -> StateChange {
        let Some(entry) = self.entries.get_mut(usize::from(number)) else { return StateChange::default() };
        let (previous, same_life) = (entry.state, entry.life == rank.0);
        (entry.life, entry.turn, entry.state) = rank;
        entry.suspicion = (entry.state == State::Suspect).then(|| Suspicion { started: now, by: vec![by] });
        if !same_life {
            entry.record = None;
        }
        let changed = previous != entry.state || !same_life;
        if changed {
            entry.since = now;
        }
        self.present += usize::from(entry.state.is_present());
        self.present -= usize::from(previous.is_present());
        self.enqueue(number);
        StateChange { from: changed.then_some(previous) }
    }

    /// Applies an update about another member.
    pub fn apply(&mut self, now: Duration, update: &Update) -> StateChange {
        let Some(entry) = self.get(update.number) else { return StateChange::default() };
        if update.state == State::Unknown {
            return StateChange::default();
        }
        let newer = update.rank() > entry.rank();
        let confirms = update.rank() == entry.rank() && update.state == State::Suspect;
        let change = if newer {
            self.set_state(now, update.number, update.rank(), update.by)
        } else {
            if confirms {
                self.confirm(update.number, update.by);
            }
            StateChange::default()
        };
        let Some(entry) = self.get_mut(update.number) else { return change };
        let fresh = |r: &&Record| {
            update.life == entry.life && entry.record.as_ref().is_none_or(|k| k.version < r.version)
        };
        if let Some(record) = update.record.as_ref().filter(fresh) {
            (entry.record, entry.record_at) = (Some(record.clone()), now);
            self.enqueue(update.number);
        }
        change
    }

    /// Records that `by` suspects the member independently.
    pub fn confirm(&mut self, number: MemberIndex, by: MemberIndex) {
        let Some(suspicion) = self.get_mut(number).and_then(|entry| entry.suspicion.as_mut()) else { return };
        if suspicion.by.len() <= MAX_CONFIRMATIONS && !suspicion.by.contains(&by) {
            suspicion.by.push(by);
            self.enqueue(number);
        }
    }
}
