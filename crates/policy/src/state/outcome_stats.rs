//! Counts of outcomes, and their statistics for each method at each node.

use std::cell::{Cell, RefCell};

use crate::port::NodeEntry;

use super::StatsTable;

/// A two-bin histogram: the number of outcomes, and how many of them were good.
#[derive(Clone, Copy, Default)]
pub struct Tally {
    pub n: f64,
    pub good: f64,
}

impl Tally {
    /// The tally of one outcome.
    pub fn one(good: bool) -> Tally {
        Tally { n: 1.0, good: f64::from(u8::from(good)) }
    }
    /// Adds `part` times another tally.
    pub fn add(&mut self, other: Tally, part: f64) {
        *self = Tally { n: self.n + part * other.n, good: self.good + part * other.good };
    }
    /// The part of good outcomes.
    pub fn mean(&self) -> f64 {
        self.good / self.n.max(1e-9)
    }
    /// Number of outcomes that were not good.
    pub fn missed(&self) -> f64 {
        self.n - self.good
    }
}

/// Outcomes of the new and the old arm on one question.
pub type ArmPair = [Tally; 2];

/// Adds `b` to `a`.
pub fn join(a: &mut ArmPair, b: &ArmPair) {
    a.iter_mut().zip(b).for_each(|(a, b)| a.add(*b, 1.0));
}

/// Statistics of one method: payoff, soundness (no error and no wrong answer reported), and latencies of ok
/// answers in coarse bins.
#[derive(Clone, Copy, Default)]
pub struct OutcomeStats {
    /// Ok answers within the soft deadline.
    pub paid: Tally,
    /// Answers without an error, and not reported as wrong.
    pub sound: Tally,
    /// Answers that could be read.
    pub whole: Tally,
    /// Ok answers by latency bin, see [`bin`].
    pub times: [f64; 16],
}

impl OutcomeStats {
    pub const EMPTY: OutcomeStats = {
        let none = Tally { n: 0.0, good: 0.0 };
        OutcomeStats { paid: none, sound: none, whole: none, times: [0.0; 16] }
    };
    /// Adds `part` times other statistics.
    pub fn add(&mut self, other: &OutcomeStats, part: f64) {
        self.paid.add(other.paid, part);
        self.sound.add(other.sound, part);
        self.whole.add(other.whole, part);
        self.times.iter_mut().zip(other.times).for_each(|(a, b)| *a += part * b);
    }
    /// Number of missed outcomes, of soundness and of payoff.
    pub fn faults(&self) -> f64 {
        self.sound.missed() + self.paid.missed()
    }
    /// The bin by which the given part of the answers had come; none for fewer than `least` answers.
    pub fn edge(&self, part: f64, least: f64) -> Option<usize> {
        let (all, mut sum) = (self.times.iter().sum::<f64>(), 0.0);
        let passed = |t: &f64| {
            sum += t;
            sum >= part * all
        };
        self.times.iter().position(passed).filter(|_| all >= least)
    }
    /// Adds a latency to a histogram of about the latest `most` answers.
    pub fn meet(&mut self, bin: usize, most: f64) {
        if self.times.iter().sum::<f64>() > most {
            self.halve();
        }
        self.times[bin] += 1.0;
    }
    /// Answers up to a bin, out of all.
    pub fn upto(&self, edge: usize) -> Tally {
        Tally { n: self.times.iter().sum(), good: self.times[..=edge].iter().sum() }
    }
    /// Takes back an error that neither the node nor its build caused. `young`: it was not counted for
    /// payoff.
    pub fn excuse(&mut self, young: bool) {
        self.sound.n = (self.sound.n - 1.0).max(self.sound.good);
        self.paid.n = if young { self.paid.n } else { (self.paid.n - 1.0).max(self.paid.good) };
    }
    /// Clears payoff and latencies.
    pub fn forget_lateness(&mut self) {
        *self = OutcomeStats { sound: self.sound, whole: self.whole, ..OutcomeStats::default() };
    }
    /// Takes back an ok answer that a client reported as wrong.
    pub fn dispute(&mut self) {
        self.paid.good = (self.paid.good - 1.0).max(0.0);
        self.sound.good = (self.sound.good - 1.0).max(0.0);
    }
    /// Halves all counts (exponential decay).
    pub fn halve(&mut self) {
        let whole = *self;
        self.add(&whole, -0.5);
    }
}

/// The bin of a latency, given as a part of the soft deadline. Bins grow by half powers of two; the last but
/// two ends at the soft deadline.
pub fn bin(part: f64) -> usize {
    (part.max(1e-9).log2() * 2.0 + 13.0).clamp(0.0, 15.0) as usize
}

/// One method's statistics on one node, and the method's slot.
#[derive(Clone)]
struct MethodStats {
    method: usize,
    slot: usize,
    ledger: OutcomeStats,
}

/// StatsTable over a node's methods, cached until one changes.
#[derive(Clone, Copy)]
struct StatsTotals {
    /// Number of missed outcomes, of soundness and of payoff.
    faults: f64,
    /// Soundness and payoff of all methods.
    sums: ArmPair,
    /// The node has had outcomes.
    used: bool,
}

/// Methods and slots whose statistics have changed since the last sum over the arm.
#[derive(Clone, Default)]
pub enum Changes {
    #[default]
    All,
    Listed(Vec<(usize, usize)>),
}

/// Number of changes that are listed singly; beyond it everything counts as changed.
const MAX_LISTED_CHANGES: usize = 64;

/// Evidence on one process of a node: statistics for each method that has had an outcome there, none for the
/// others.
#[derive(Clone, Default)]
pub struct NodeRecord {
    pub entry: NodeEntry,
    /// Listed as ready.
    pub ready: bool,
    /// Ejected or on probation.
    pub ill: bool,
    /// In ascending order of methods, the order of all sums.
    lines: Vec<MethodStats>,
    brief: Cell<Option<StatsTotals>>,
    touched: RefCell<Changes>,
}

impl NodeRecord {
    /// Whether this is the record of the process that the entry names, not of an earlier or later one with
    /// the same index.
    pub fn is(&self, entry: &NodeEntry) -> bool {
        (self.entry.build, self.entry.started) == (entry.build, entry.started)
    }
    /// The index of a method's statistics, or where to insert them.
    fn find(&self, method: usize) -> Result<usize, usize> {
        self.lines.binary_search_by_key(&method, |l| l.method)
    }
    /// A method's statistics, created if there are none.
    pub fn at(&mut self, method: usize, slot: usize) -> &mut OutcomeStats {
        let at = self.find(method).unwrap_or_else(|at| {
            // These entries are large, so capacity grows by a quarter rather than doubling.
            if self.lines.len() == self.lines.capacity() {
                self.lines.reserve_exact(4.max(self.lines.len() / 4));
            }
            self.lines.insert(at, MethodStats { method, slot, ledger: OutcomeStats::EMPTY });
            at
        });
        self.touch(at)
    }
    /// A method's statistics, if there are any. For corrections, which need no new entry.
    pub fn known(&mut self, method: usize) -> Option<&mut OutcomeStats> {
        self.find(method).ok().map(|at| self.touch(at))
    }
    /// Marks an entry as changed and returns its statistics.
    fn touch(&mut self, at: usize) -> &mut OutcomeStats {
        let line = &mut self.lines[at];
        self.brief.set(None);
        if let Changes::Listed(lines) = self.touched.get_mut() {
            lines.push((line.method, line.slot));
            if lines.len() > MAX_LISTED_CHANGES {
                *self.touched.get_mut() = Changes::All;
            }
        }
        &mut line.ledger
    }
    /// Marks everything as changed.
    pub fn touch_all(&mut self) {
        self.brief.set(None);
        *self.touched.get_mut() = Changes::All;
    }
    /// Returns and resets what has changed since the last call.
    pub fn touched(&self) -> Changes {
        self.touched.replace(Changes::Listed(Vec::new()))
    }
    /// All statistics, marked as changed.
    pub fn ledgers(&mut self) -> impl Iterator<Item = &mut OutcomeStats> {
        self.touch_all();
        self.lines.iter_mut().map(|l| &mut l.ledger)
    }
    /// Removes all statistics, for a new process or a record that no longer applies.
    pub fn clear(&mut self) {
        self.touch_all();
        self.lines = Vec::new();
    }
    /// The sums over all methods, from the cache if nothing has changed.
    fn brief(&self) -> StatsTotals {
        let brief = self.brief.get().unwrap_or_else(|| {
            let (mut faults, mut sums, mut used) = (0.0, ArmPair::default(), false);
            for MethodStats { ledger, .. } in &self.lines {
                faults += ledger.faults();
                join(&mut sums, &[ledger.sound, ledger.paid]);
                used |= ledger.sound.n + ledger.paid.n > 0.0;
            }
            StatsTotals { faults, sums, used }
        });
        self.brief.set(Some(brief));
        brief
    }
    /// Number of missed outcomes over all methods, of soundness and of payoff.
    pub fn faults(&self) -> f64 {
        self.brief().faults
    }
    /// Soundness and payoff of all methods.
    pub fn sums(&self) -> ArmPair {
        self.brief().sums
    }
    /// Whether the node has had outcomes.
    pub fn used(&self) -> bool {
        self.brief().used
    }
    /// Adds all methods to a table.
    pub fn add_to(&self, sums: &mut StatsTable) {
        self.lines.iter().for_each(|l| sums.add(self.entry.kind, l.slot, &l.ledger));
    }
    /// Adds one method to a table.
    pub fn add_one(&self, method: usize, sums: &mut StatsTable) {
        let line = self.find(method).ok().map(|at| &self.lines[at]);
        line.into_iter().for_each(|l| sums.add(self.entry.kind, l.slot, &l.ledger));
    }
    pub fn bytes(&self) -> usize {
        self.lines.capacity() * size_of::<MethodStats>()
    }
}
