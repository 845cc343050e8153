//! What is known of each member, and which news of it is still to be passed on.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::message::{Rank, Record, Row, State, Word};
use crate::Number;

/// So many suspect a member on their own before its time is as short as it gets.
pub const CONFIRMED: usize = 3;

/// A suspicion, as Lifeguard has it: the more members came to it by themselves, the sooner it ends.
#[derive(Clone, Debug)]
pub struct Doubt {
    pub begun: Duration,
    pub by: Vec<Number>,
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub life: u64,
    pub turn: u32,
    pub state: State,
    /// Since when it is in this state, by our time.
    pub since: Duration,
    /// When it was last heard without another in between.
    pub heard: Option<Duration>,
    pub doubt: Option<Doubt>,
    pub record: Option<Record>,
    /// When this version of its record came.
    pub record_at: Duration,
    /// How often its word was passed on; none where that was often enough.
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

/// What a word changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Learnt {
    /// The state that it had before, where it is another now, or the life is.
    pub from: Option<State>,
}

pub struct Table {
    entries: Vec<Entry>,
    /// Whose word is still to be passed on, the least told first.
    queue: BTreeSet<(u32, Number)>,
    /// How often each is.
    pub enough: u32,
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

    pub fn resize(&mut self, count: Number) {
        self.entries.resize_with(count.into(), Entry::new);
        self.queue.retain(|(_, number)| *number < count);
        self.present = self.entries.iter().filter(|e| e.state.present()).count();
    }

    pub fn numbers(&self) -> impl Iterator<Item = (Number, &Entry)> {
        self.entries.iter().enumerate().map(|(i, e)| (i as Number, e))
    }

    /// How many take part, ourselves included.
    pub fn present(&self) -> usize {
        self.present
    }

    pub fn word(&self, number: Number, by: Number) -> Option<Word> {
        let e = self.get(number).filter(|e| e.state != State::Unknown)?;
        // Of a suspicion the one who came to it last is named, so that others hear of more than one.
        let by = e.doubt.as_ref().and_then(|d| d.by.last().copied()).unwrap_or(by);
        let record = e.record.clone().filter(|_| e.state.present());
        Some(Word { number, life: e.life, turn: e.turn, state: e.state, by, record })
    }

    pub fn row(&self, number: Number) -> Option<Row> {
        let e = self.get(number).filter(|e| e.state != State::Unknown)?;
        Some(Row { number, life: e.life, turn: e.turn, state: e.state, version: e.version() })
    }

    /// Its word goes out with the next datagrams.
    pub fn spread(&mut self, number: Number) {
        let Some(e) = self.entries.get_mut(usize::from(number)) else { return };
        if let Some(told) = e.told.replace(0) {
            self.queue.remove(&(told, number));
        }
        self.queue.insert((0, number));
    }

    /// The words to pass on, the least told first.
    pub fn due(&self, by: Number, most: usize) -> Vec<Word> {
        self.queue.iter().take(most).filter_map(|&(_, number)| self.word(number, by)).collect()
    }

    /// These words have gone out.
    pub fn told(&mut self, numbers: impl Iterator<Item = Number>) {
        for number in numbers {
            let Some(e) = self.entries.get_mut(usize::from(number)) else { continue };
            let Some(told) = e.told else { continue };
            self.queue.remove(&(told, number));
            e.told = (told + 1 < self.enough).then_some(told + 1);
            self.queue.extend(e.told.map(|told| (told, number)));
        }
    }

    /// Puts a member into a state, and passes it on.
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

    /// Takes a word about another member; what it changed.
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

    /// One more member came to suspect it by itself.
    pub fn confirm(&mut self, number: Number, by: Number) {
        let Some(doubt) = self.get_mut(number).and_then(|e| e.doubt.as_mut()) else { return };
        if doubt.by.len() <= CONFIRMED && !doubt.by.contains(&by) {
            doubt.by.push(by);
            self.spread(number);
        }
    }
}
