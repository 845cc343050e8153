//! Member table, with the queue of updates still to be disseminated.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::message::{Rank, Record, Row, State, Word};
use crate::Number;

/// Number of independent confirmations that shortens a suspicion to its minimum.
pub const CONFIRMED: usize = 3;

/// A suspicion with Lifeguard's rule: the more members suspect independently, the sooner it ends.
#[derive(Clone, Debug)]
pub struct Doubt {
    /// When the suspicion began, by our clock.
    pub begun: Duration,
    /// Members that suspect it independently.
    pub by: Vec<Number>,
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
    pub doubt: Option<Doubt>,
    pub record: Option<Record>,
    /// When this version of its record arrived.
    pub record_at: Duration,
    /// How often its update was sent; `None` once that was often enough.
    told: Option<u32>,
}

impl Entry {
    fn new() -> Self {
        Entry {
            life: 0,
            turn: 0,
            state: State::Unknown,
            since: Duration::ZERO,
            heard: None,
            doubt: None,
            record: None,
            record_at: Duration::ZERO,
            told: None,
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
pub struct Learnt {
    /// The previous state, if the state or the life changed.
    pub from: Option<State>,
}

/// All members by number.
pub struct Table {
    entries: Vec<Entry>,
    /// Members whose update is still to be sent, the least often sent first.
    queue: BTreeSet<(u32, Number)>,
    /// How often each update is sent.
    pub enough: u32,
    /// Number of members present.
    present: usize,
}

impl Table {
    pub fn new(count: Number) -> Self {
        let entries = (0..count).map(|_| Entry::new()).collect();
        Table { entries, queue: BTreeSet::new(), enough: 4, present: 0 }
    }

    pub fn get(&self, number: Number) -> Option<&Entry> {
        self.entries.get(usize::from(number))
    }

    pub fn get_mut(&mut self, number: Number) -> Option<&mut Entry> {
        self.entries.get_mut(usize::from(number))
    }

    /// Changes the number of members.
    pub fn resize(&mut self, count: Number) {
        self.entries.resize_with(count.into(), Entry::new);
        self.queue.retain(|(_, number)| *number < count);
        self.present = self.entries.iter().filter(|e| e.state.present()).count();
    }

    pub fn numbers(&self) -> impl Iterator<Item = (Number, &Entry)> {
        self.entries.iter().enumerate().map(|(i, e)| (i as Number, e))
    }

    /// Number of members present, this one included.
    pub fn present(&self) -> usize {
        self.present
    }

    /// The update about a member, as sent by `by`.
    pub fn word(&self, number: Number, by: Number) -> Option<Word> {
        let e = self.get(number).filter(|e| e.state != State::Unknown)?;
        // Naming the latest confirmation lets others learn of more than one.
        let by = e.doubt.as_ref().and_then(|d| d.by.last().copied()).unwrap_or(by);
        let record = e.record.clone().filter(|_| e.state.present());
        Some(Word { number, life: e.life, turn: e.turn, state: e.state, by, record })
    }

    /// The digest entry of a member.
    pub fn row(&self, number: Number) -> Option<Row> {
        let e = self.get(number).filter(|e| e.state != State::Unknown)?;
        Some(Row { number, life: e.life, turn: e.turn, state: e.state, version: e.version() })
    }

    /// Queues the member's update for the next datagrams.
    pub fn spread(&mut self, number: Number) {
        let Some(e) = self.entries.get_mut(usize::from(number)) else { return };
        if let Some(told) = e.told.replace(0) {
            self.queue.remove(&(told, number));
        }
        self.queue.insert((0, number));
    }

    /// Up to `most` updates to send, the least often sent first.
    pub fn due(&self, by: Number, most: usize) -> Vec<Word> {
        self.queue.iter().take(most).filter_map(|&(_, number)| self.word(number, by)).collect()
    }

    /// Counts these updates as sent once more.
    pub fn told(&mut self, numbers: impl Iterator<Item = Number>) {
        for number in numbers {
            let Some(e) = self.entries.get_mut(usize::from(number)) else { continue };
            let Some(told) = e.told else { continue };
            self.queue.remove(&(told, number));
            e.told = (told + 1 < self.enough).then_some(told + 1);
            self.queue.extend(e.told.map(|told| (told, number)));
        }
    }

    /// Sets a member's state and queues the update.
    pub fn enter(&mut self, now: Duration, number: Number, rank: Rank, by: Number) -> Learnt {
        let Some(e) = self.entries.get_mut(usize::from(number)) else { return Learnt::default() };
        let (old, same_life) = (e.state, e.life == rank.0);
        (e.life, e.turn, e.state) = rank;
        e.doubt = (e.state == State::Suspect).then(|| Doubt { begun: now, by: vec![by] });
        if !same_life {
            e.record = None;
        }
        let changed = old != e.state || !same_life;
        if changed {
            e.since = now;
        }
        self.present += usize::from(e.state.present());
        self.present -= usize::from(old.present());
        self.spread(number);
        Learnt { from: changed.then_some(old) }
    }

    /// Applies an update about another member.
    pub fn take(&mut self, now: Duration, word: &Word) -> Learnt {
        let Some(e) = self.get(word.number) else { return Learnt::default() };
        if word.state == State::Unknown {
            return Learnt::default();
        }
        let newer = word.rank() > e.rank();
        let confirms = word.rank() == e.rank() && word.state == State::Suspect;
        let learnt = if newer {
            self.enter(now, word.number, word.rank(), word.by)
        } else {
            if confirms {
                self.confirm(word.number, word.by);
            }
            Learnt::default()
        };
        let Some(e) = self.get_mut(word.number) else { return learnt };
        let fresh =
            |r: &&Record| word.life == e.life && e.record.as_ref().is_none_or(|k| k.version < r.version);
        if let Some(record) = word.record.as_ref().filter(fresh) {
            (e.record, e.record_at) = (Some(record.clone()), now);
            self.spread(word.number);
        }
        learnt
    }

    /// Records that `by` suspects the member independently.
    pub fn confirm(&mut self, number: Number, by: Number) {
        let Some(doubt) = self.get_mut(number).and_then(|e| e.doubt.as_mut()) else { return };
        if doubt.by.len() <= CONFIRMED && !doubt.by.contains(&by) {
            doubt.by.push(by);
            self.spread(number);
        }
    }
}
