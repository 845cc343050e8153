//! Counts of outcomes, and their statistics for each method at each node.

use std::cell::{Cell, RefCell};

use crate::port::NodeEntry;

use super::StatsTable;

/// A two-bin histogram: the number of outcomes, and how many of them were good. Both are fractional, as
/// counts decay.
#[derive(Clone, Copy, Default)]
pub struct Tally {
    pub count: f64,
    pub good: f64,
}

impl Tally {
    /// The tally of one outcome.
    pub fn one(good: bool) -> Tally {
        Tally { count: 1.0, good: f64::from(u8::from(good)) }
    }
    /// Adds `part` times another tally.
    pub fn add(&mut self, other: Tally, part: f64) {
        *self = Tally { count: self.count + part * other.count, good: self.good + part * other.good };
    }
    /// The part of good outcomes, from 0 to 1; 0 without outcomes.
    pub fn mean(&self) -> f64 {
        self.good / self.count.max(1e-9)
    }
    /// Number of outcomes that were not good.
    pub fn missed(&self) -> f64 {
        self.count - self.good
    }
}

/// Outcomes of the new arm and of the older arm, in this order, on one question.
pub type ArmPair = [Tally; 2];

/// Adds the tallies of `b` to those of `a`.
pub fn add_pair(a: &mut ArmPair, b: &ArmPair) {
    a.iter_mut().zip(b).for_each(|(a, b)| a.add(*b, 1.0));
}

/// Statistics of the outcomes of one method: payoff (an ok answer in time), soundness (no error and no wrong
/// answer reported), readable answers, and latencies of ok answers in coarse bins.
#[derive(Clone, Copy, Default)]
pub struct OutcomeStats {
    /// All outcomes; good are ok answers within the soft deadline.
    pub payoff: Tally,
    /// Readable answers; good are those without an error and not reported as wrong.
    pub soundness: Tally,
    /// All answers; good are those that could be read.
    pub readable: Tally,
    /// Number of ok answers by latency bin, see [`latency_bin`].
    pub latencies: [f64; 16],
}

impl OutcomeStats {
    /// Statistics without outcomes.
    pub const EMPTY: OutcomeStats = {
        let none = Tally { count: 0.0, good: 0.0 };
        OutcomeStats { payoff: none, soundness: none, readable: none, latencies: [0.0; 16] }
    };
    /// Adds `part` times other statistics.
    pub fn add(&mut self, other: &OutcomeStats, part: f64) {
        self.payoff.add(other.payoff, part);
        self.soundness.add(other.soundness, part);
        self.readable.add(other.readable, part);
        self.latencies.iter_mut().zip(other.latencies).for_each(|(a, b)| *a += part * b);
    }
    /// Number of outcomes that were not good, for soundness and for payoff together.
    pub fn misses(&self) -> f64 {
        self.soundness.missed() + self.payoff.missed()
    }
    /// The first bin up to which at least this part of the answers lies (a quantile of the latency); none for
    /// fewer than `least` answers.
    pub fn quantile_bin(&self, part: f64, least: f64) -> Option<usize> {
        let (all, mut sum) = (self.latencies.iter().sum::<f64>(), 0.0);
        let passed = |t: &f64| {
            sum += t;
            sum >= part * all
        };
        self.latencies.iter().position(passed).filter(|_| all >= least)
    }
    /// Counts a latency in its bin. Beyond `most` counts, all statistics are halved first, so that the
    /// histogram holds about the latest `most`.
    pub fn add_latency(&mut self, bin: usize, most: f64) {
        if self.latencies.iter().sum::<f64>() > most {
            self.halve();
        }
        self.latencies[bin] += 1.0;
    }
    /// All answers; good are those up to and including a bin.
    pub fn up_to(&self, bin: usize) -> Tally {
        Tally { count: self.latencies.iter().sum(), good: self.latencies[..=bin].iter().sum() }
    }
    /// Takes back an error that neither the node nor its build caused. `young`: it was not counted for
    /// payoff.
    pub fn remove_error(&mut self, young: bool) {
        self.soundness.count = (self.soundness.count - 1.0).max(self.soundness.good);
        self.payoff.count =
            if young { self.payoff.count } else { (self.payoff.count - 1.0).max(self.payoff.good) };
    }
    /// Clears what depends on latency: payoff and the latency bins.
    pub fn clear_lateness(&mut self) {
        *self =
            OutcomeStats { soundness: self.soundness, readable: self.readable, ..OutcomeStats::default() };
    }
    /// Takes back an ok answer that a client reported as wrong.
    pub fn remove_disputed(&mut self) {
        self.payoff.good = (self.payoff.good - 1.0).max(0.0);
        self.soundness.good = (self.soundness.good - 1.0).max(0.0);
    }
    /// Halves all counts (exponential decay).
    pub fn halve(&mut self) {
        let whole = *self;
        self.add(&whole, -0.5);
    }
}

/// The bin, from 0 to 15, of a latency given as a part of the soft deadline. Each bin ends at √2 times its
/// start; bin 12 ends at the soft deadline. Bin 0 also takes all shorter latencies, and bin 15 all longer
/// ones.
pub fn latency_bin(part: f64) -> usize {
    (part.max(1e-9).log2() * 2.0 + 13.0).clamp(0.0, 15.0) as usize
}

/// One method's statistics on one node, and the method's slot.
#[derive(Clone)]
struct MethodStats {
    method: usize,
    slot: usize,
    stats: OutcomeStats,
}

/// Sums over a node's methods, cached until one changes.
#[derive(Clone, Copy)]
struct StatsTotals {
    /// Number of outcomes that were not good, for soundness and for payoff together.
    misses: f64,
    /// Soundness and payoff of all methods, in this order; not a pair of arms.
    soundness_and_payoff: ArmPair,
    /// The record has outcomes.
    used: bool,
}

/// Methods and slots whose statistics have changed since the last sum over the arm.
#[derive(Clone, Default)]
pub enum Changes {
    /// Any of them may have changed.
    #[default]
    All,
    /// These pairs of method and slot have changed; repeats are possible.
    Listed(Vec<(usize, usize)>),
}

/// Maximum number of changes that are listed singly; beyond it everything counts as changed.
const MAX_LISTED_CHANGES: usize = 64;

/// Evidence on one process of a node: statistics for each method that has had an outcome there, none for the
/// others.
#[derive(Clone, Default)]
pub struct NodeRecord {
    /// The node, as last listed, with its kind limited to the configured ones.
    pub entry: NodeEntry,
    /// Listed as ready.
    pub ready: bool,
    /// Ejected or on probation.
    pub failing: bool,
    /// In ascending order of methods, the order of all sums.
    methods: Vec<MethodStats>,
    /// Cached sums over `methods`.
    totals: Cell<Option<StatsTotals>>,
    /// Methods changed since the last sum over the arm.
    changes: RefCell<Changes>,
}

impl NodeRecord {
    /// Whether this is the record of the process that the entry names, not of an earlier or later one with
    /// the same index.
    pub fn is_of(&self, entry: &NodeEntry) -> bool {
        (self.entry.build, self.entry.started) == (entry.build, entry.started)
    }
    /// The index of a method's statistics, or where to insert them.
    fn find(&self, method: usize) -> Result<usize, usize> {
        self.methods.binary_search_by_key(&method, |l| l.method)
    }
    /// A method's statistics, created if there are none.
    pub fn stats_or_insert(&mut self, method: usize, slot: usize) -> &mut OutcomeStats {
        let at = self.find(method).unwrap_or_else(|at| {
            // These entries are large, so capacity grows by a quarter rather than doubling.
            if self.methods.len() == self.methods.capacity() {
                self.methods.reserve_exact(4.max(self.methods.len() / 4));
            }
            self.methods.insert(at, MethodStats { method, slot, stats: OutcomeStats::EMPTY });
            at
        });
        self.mark_changed(at)
    }
    /// A method's statistics, if there are any. For corrections, which need no new entry.
    pub fn stats_if_any(&mut self, method: usize) -> Option<&mut OutcomeStats> {
        self.find(method).ok().map(|at| self.mark_changed(at))
    }
    /// Marks an entry as changed and returns its statistics.
    fn mark_changed(&mut self, at: usize) -> &mut OutcomeStats {
        let entry = &mut self.methods[at];
        self.totals.set(None);
        if let Changes::Listed(listed) = self.changes.get_mut() {
            listed.push((entry.method, entry.slot));
            if listed.len() > MAX_LISTED_CHANGES {
                *self.changes.get_mut() = Changes::All;
            }
        }
        &mut entry.stats
    }
    /// Marks everything as changed.
    pub fn mark_all_changed(&mut self) {
        self.totals.set(None);
        *self.changes.get_mut() = Changes::All;
    }
    /// Returns and resets what has changed since the last call.
    pub fn take_changes(&self) -> Changes {
        self.changes.replace(Changes::Listed(Vec::new()))
    }
    /// All statistics, marked as changed.
    pub fn all_stats(&mut self) -> impl Iterator<Item = &mut OutcomeStats> {
        self.mark_all_changed();
        self.methods.iter_mut().map(|l| &mut l.stats)
    }
    /// Removes all statistics, for a new process or a record that no longer applies.
    pub fn clear(&mut self) {
        self.mark_all_changed();
        self.methods = Vec::new();
    }
    /// The sums over all methods, from the cache if nothing has changed.
    fn totals(&self) -> StatsTotals {
        let totals = self.totals.get().unwrap_or_else(|| {
            let (mut misses, mut soundness_and_payoff, mut used) = (0.0, ArmPair::default(), false);
            for MethodStats { stats, .. } in &self.methods {
                misses += stats.misses();
                add_pair(&mut soundness_and_payoff, &[stats.soundness, stats.payoff]);
                used |= stats.soundness.count + stats.payoff.count > 0.0;
            }
            StatsTotals { misses, soundness_and_payoff, used }
        });
        self.totals.set(Some(totals));
        totals
    }
    /// Number of outcomes over all methods that were not good, for soundness and for payoff together.
    pub fn misses(&self) -> f64 {
        self.totals().misses
    }
    /// Soundness and payoff of all methods, in this order; not a pair of arms.
    pub fn soundness_and_payoff(&self) -> ArmPair {
        self.totals().soundness_and_payoff
    }
    /// Whether the record has outcomes.
    pub fn used(&self) -> bool {
        self.totals().used
    }
    /// Adds all methods to a table.
    pub fn add_to(&self, sums: &mut StatsTable) {
        self.methods.iter().for_each(|l| sums.add(self.entry.kind, l.slot, &l.stats));
    }
    /// Adds one method to a table.
    pub fn add_method(&self, method: usize, sums: &mut StatsTable) {
        let entry = self.find(method).ok().map(|at| &self.methods[at]);
        entry.into_iter().for_each(|l| sums.add(self.entry.kind, l.slot, &l.stats));
    }
    /// Bytes allocated for statistics.
    pub fn bytes(&self) -> usize {
        self.methods.capacity() * size_of::<MethodStats>()
    }
}
