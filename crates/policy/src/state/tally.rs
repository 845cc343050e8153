//! Counts of outcomes, and one ledger for each method on each node.

use std::cell::{Cell, RefCell};

use crate::port::NodeEntry;

use super::Sums;

/// A two-bin histogram: all outcomes, and those that paid.
#[derive(Clone, Copy, Default)]
pub struct Tally {
    pub n: f64,
    pub good: f64,
}

impl Tally {
    pub fn one(good: bool) -> Tally {
        Tally { n: 1.0, good: f64::from(u8::from(good)) }
    }
    pub fn add(&mut self, other: Tally, part: f64) {
        *self = Tally { n: self.n + part * other.n, good: self.good + part * other.good };
    }
    pub fn mean(&self) -> f64 {
        self.good / self.n.max(1e-9)
    }
    pub fn missed(&self) -> f64 {
        self.n - self.good
    }
}

/// New and old arm on one question.
pub type Pair = [Tally; 2];

pub fn join(a: &mut Pair, b: &Pair) {
    a.iter_mut().zip(b).for_each(|(a, b)| a.add(*b, 1.0));
}

/// One method's ledger: payoff, soundness (no error, no flag), and times of ok answers in coarse bins.
#[derive(Clone, Copy, Default)]
pub struct Ledger {
    pub paid: Tally,
    pub sound: Tally,
    /// Answers that could be read.
    pub whole: Tally,
    pub times: [f64; 16],
}

impl Ledger {
    pub const NONE: Ledger = {
        let none = Tally { n: 0.0, good: 0.0 };
        Ledger { paid: none, sound: none, whole: none, times: [0.0; 16] }
    };
    pub fn add(&mut self, other: &Ledger, part: f64) {
        self.paid.add(other.paid, part);
        self.sound.add(other.sound, part);
        self.whole.add(other.whole, part);
        self.times.iter_mut().zip(other.times).for_each(|(a, b)| *a += part * b);
    }
    pub fn faults(&self) -> f64 {
        self.sound.missed() + self.paid.missed()
    }
    /// The bin within which the given part of the answers came.
    pub fn edge(&self, part: f64, least: f64) -> Option<usize> {
        let (all, mut sum) = (self.times.iter().sum::<f64>(), 0.0);
        let passed = |t: &f64| {
            sum += t;
            sum >= part * all
        };
        self.times.iter().position(passed).filter(|_| all >= least)
    }
    /// One more time, among about the latest so many.
    pub fn meet(&mut self, bin: usize, most: f64) {
        if self.times.iter().sum::<f64>() > most {
            self.halve();
        }
        self.times[bin] += 1.0;
    }
    pub fn upto(&self, edge: usize) -> Tally {
        Tally { n: self.times.iter().sum(), good: self.times[..=edge].iter().sum() }
    }
    /// An error was not the node's, nor its build's. `young`: it did not count for payoff.
    pub fn excuse(&mut self, young: bool) {
        self.sound.n = (self.sound.n - 1.0).max(self.sound.good);
        self.paid.n = if young { self.paid.n } else { (self.paid.n - 1.0).max(self.paid.good) };
    }
    pub fn forget_lateness(&mut self) {
        *self = Ledger { sound: self.sound, whole: self.whole, ..Ledger::default() };
    }
    /// An answer was found wrong.
    pub fn dispute(&mut self) {
        self.paid.good = (self.paid.good - 1.0).max(0.0);
        self.sound.good = (self.sound.good - 1.0).max(0.0);
    }
    pub fn halve(&mut self) {
        let whole = *self;
        self.add(&whole, -0.5);
    }
}

/// Bins of times by half powers of two, the last but two ending at the soft deadline.
pub fn bin(part: f64) -> usize {
    (part.max(1e-9).log2() * 2.0 + 13.0).clamp(0.0, 15.0) as usize
}

/// One method's record on one node, and the method's slot.
#[derive(Clone)]
struct Line {
    method: usize,
    slot: usize,
    ledger: Ledger,
}

/// What a node's lines come to, as long as none has changed.
#[derive(Clone, Copy)]
struct Brief {
    faults: f64,
    /// Soundness and payoff of all methods.
    sums: Pair,
    used: bool,
}

/// Methods and slots of lines that have changed since an arm was last summed up.
#[derive(Clone, Default)]
pub enum Touched {
    #[default]
    All,
    Some(Vec<(usize, usize)>),
}

/// So many lines are named one by one.
const MOST_TOUCHED: usize = 64;

/// What is known of a node's process: a line for each method that it has ended a pick of, none for the others.
#[derive(Clone, Default)]
pub struct Book {
    pub entry: NodeEntry,
    pub ready: bool,
    /// Its health says that it fails.
    pub ill: bool,
    /// In the methods' order, which is that of all sums.
    lines: Vec<Line>,
    brief: Cell<Option<Brief>>,
    touched: RefCell<Touched>,
}

impl Book {
    /// Of the process that this entry names, not of an earlier or later one under its index.
    pub fn is(&self, entry: &NodeEntry) -> bool {
        (self.entry.build, self.entry.started) == (entry.build, entry.started)
    }
    fn find(&self, method: usize) -> Result<usize, usize> {
        self.lines.binary_search_by_key(&method, |l| l.method)
    }
    /// A method's record, laid out where there is none.
    pub fn at(&mut self, method: usize, slot: usize) -> &mut Ledger {
        let at = self.find(method).unwrap_or_else(|at| {
            // Records are large: a quarter to spare, not as much again.
            if self.lines.len() == self.lines.capacity() {
                self.lines.reserve_exact(4.max(self.lines.len() / 4));
            }
            self.lines.insert(at, Line { method, slot, ledger: Ledger::NONE });
            at
        });
        self.touch(at)
    }
    /// A method's record, where there is one: what would change nothing but counts that there are lays out none.
    pub fn known(&mut self, method: usize) -> Option<&mut Ledger> {
        self.find(method).ok().map(|at| self.touch(at))
    }
    fn touch(&mut self, at: usize) -> &mut Ledger {
        let line = &mut self.lines[at];
        self.brief.set(None);
        if let Touched::Some(lines) = self.touched.get_mut() {
            lines.push((line.method, line.slot));
            if lines.len() > MOST_TOUCHED {
                *self.touched.get_mut() = Touched::All;
            }
        }
        &mut line.ledger
    }
    /// All is to be summed up anew.
    pub fn touch_all(&mut self) {
        self.brief.set(None);
        *self.touched.get_mut() = Touched::All;
    }
    /// What has changed since this was asked last.
    pub fn touched(&self) -> Touched {
        self.touched.replace(Touched::Some(Vec::new()))
    }
    pub fn ledgers(&mut self) -> impl Iterator<Item = &mut Ledger> {
        self.touch_all();
        self.lines.iter_mut().map(|l| &mut l.ledger)
    }
    /// A new process, or a void record.
    pub fn clear(&mut self) {
        self.touch_all();
        self.lines = Vec::new();
    }
    fn brief(&self) -> Brief {
        let brief = self.brief.get().unwrap_or_else(|| {
            let (mut faults, mut sums, mut used) = (0.0, Pair::default(), false);
            for Line { ledger, .. } in &self.lines {
                faults += ledger.faults();
                join(&mut sums, &[ledger.sound, ledger.paid]);
                used |= ledger.sound.n + ledger.paid.n > 0.0;
            }
            Brief { faults, sums, used }
        });
        self.brief.set(Some(brief));
        brief
    }
    pub fn faults(&self) -> f64 {
        self.brief().faults
    }
    /// Soundness and payoff of all methods.
    pub fn sums(&self) -> Pair {
        self.brief().sums
    }
    pub fn used(&self) -> bool {
        self.brief().used
    }
    pub fn add_to(&self, sums: &mut Sums) {
        self.lines.iter().for_each(|l| sums.add(self.entry.kind, l.slot, &l.ledger));
    }
    /// One method's record alone.
    pub fn add_one(&self, method: usize, sums: &mut Sums) {
        let line = self.find(method).ok().map(|at| &self.lines[at]);
        line.into_iter().for_each(|l| sums.add(self.entry.kind, l.slot, &l.ledger));
    }
    pub fn bytes(&self) -> usize {
        self.lines.capacity() * size_of::<Line>()
    }
}
