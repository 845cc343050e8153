//! Counts of outcomes, and one ledger for each method on each node.

use crate::port::NodeEntry;

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

/// One method's ledgers: payoff, soundness (no error, no flag), and times of ok answers in coarse bins.
#[derive(Clone, Copy, Default)]
pub struct Ledger {
    pub paid: Tally,
    pub sound: Tally,
    /// Answers that could be read.
    pub whole: Tally,
    pub times: [f64; 16],
}

impl Ledger {
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

#[derive(Clone, Default)]
pub struct Book {
    pub entry: NodeEntry,
    pub ready: bool,
    /// Its health says that it fails.
    pub ill: bool,
    pub methods: Vec<Ledger>,
}

impl Book {
    /// Of the process that this entry names, not of an earlier or later one under its index.
    pub fn is(&self, entry: &NodeEntry) -> bool {
        (self.entry.build, self.entry.started) == (entry.build, entry.started)
    }
    pub fn faults(&self) -> f64 {
        self.methods.iter().map(Ledger::faults).sum()
    }
    /// Soundness and payoff of all methods.
    pub fn sums(&self) -> Pair {
        let mut all = Pair::default();
        self.methods.iter().for_each(|l| join(&mut all, &[l.sound, l.paid]));
        all
    }
    pub fn used(&self) -> bool {
        self.methods.iter().any(|l| l.sound.n + l.paid.n > 0.0)
    }
    pub fn add_to(&self, sums: &mut [Ledger]) {
        let first = self.entry.kind * self.methods.len();
        self.methods.iter().zip(&mut sums[first..]).for_each(|(ledger, sum)| sum.add(ledger, 1.0));
    }
}
