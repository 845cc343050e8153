//! The methods that have had traffic, and statistics with room for those only.

use super::*;

/// The observed methods in ascending order, each with a slot. A slot is assigned at first sight and never
/// changes, so that records survive a new config. Methods without traffic have none.
#[derive(Default)]
pub struct ObservedMethods(Vec<(usize, usize)>);

impl ObservedMethods {
    /// Number of observed methods.
    pub fn len(&self) -> usize {
        self.0.len()
    }
    /// The slot of a method, which counts as observed from now on.
    pub fn slot(&mut self, method: usize) -> usize {
        let slot = self.0.len();
        match self.0.binary_search_by_key(&method, |s| s.0) {
            Ok(at) => self.0[at].1,
            Err(at) => {
                self.0.insert(at, (method, slot));
                slot
            }
        }
    }
    /// Methods and slots, in the order of methods.
    pub fn iter(&self) -> impl Iterator<Item = (usize, usize)> + '_ {
        self.0.iter().copied()
    }
    /// Statistics of two arms, by kind, then by method, the order of all sums. Each item holds the method's
    /// index among those observed, the method, and the entries of both arms.
    pub fn cells<'a>(
        &'a self, a: &'a StatsTable, b: &'a StatsTable,
    ) -> impl Iterator<Item = (usize, usize, &'a OutcomeStats, &'a OutcomeStats)> + 'a {
        let kinds = a.of.len().max(b.of.len());
        let row = move |kind| {
            self.iter()
                .enumerate()
                .map(move |(at, (method, slot))| (at, method, a.get(kind, slot), b.get(kind, slot)))
        };
        (0..kinds).flat_map(row)
    }
    /// For each question over the observed methods, its index over all `known` methods: payoff, soundness by
    /// method, pace, corrupt answers, slowdown by method.
    pub fn places(&self, known: usize) -> impl Iterator<Item = usize> + '_ {
        let by_method = |from: usize| self.iter().map(move |(method, _)| from + method);
        [0].into_iter().chain(by_method(1)).chain([known + 1, known + 2]).chain(by_method(known + 3))
    }
    pub fn bytes(&self) -> usize {
        self.0.capacity() * size_of::<(usize, usize)>()
    }
}

/// Statistics by node kind and by slot of the observed methods.
#[derive(Clone, Default)]
pub struct StatsTable {
    of: Vec<Vec<OutcomeStats>>,
    /// Incremented by each change; at 0 nothing has been added.
    version: u64,
}

impl StatsTable {
    /// The entry of a kind and slot; an empty one where nothing was added.
    pub fn get(&self, kind: usize, slot: usize) -> &OutcomeStats {
        const EMPTY: &OutcomeStats = &OutcomeStats::EMPTY;
        self.of.get(kind).and_then(|of| of.get(slot)).unwrap_or(EMPTY)
    }
    /// Adds to the entry of a kind and slot.
    pub fn add(&mut self, kind: usize, slot: usize, ledger: &OutcomeStats) {
        self.version += 1;
        if self.of.len() <= kind {
            self.of.resize_with(kind + 1, Vec::new);
        }
        let of = &mut self.of[kind];
        if of.len() <= slot {
            of.resize(slot + 1, OutcomeStats::EMPTY);
        }
        of[slot].add(ledger, 1.0);
    }
    pub fn iter(&self) -> impl Iterator<Item = &OutcomeStats> {
        self.of.iter().flatten()
    }
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut OutcomeStats> {
        self.version += 1;
        self.of.iter_mut().flatten()
    }
    /// Removes all entries.
    pub fn clear(&mut self) {
        *self = StatsTable { of: Vec::new(), version: self.version + 1 };
    }
    /// Removes the entries of kinds that are no longer configured.
    pub fn limit(&mut self, kinds: usize) {
        self.version += 1;
        self.of.truncate(kinds);
    }
    /// Copies one method's entries from another table.
    fn copy(&mut self, slot: usize, other: &StatsTable) {
        for (kind, of) in self.of.iter_mut().enumerate() {
            of.get_mut(slot).into_iter().for_each(|ledger| *ledger = *other.get(kind, slot));
        }
    }
    pub fn bytes(&self) -> usize {
        self.of.iter().map(|of| of.capacity() * size_of::<OutcomeStats>()).sum()
    }
}

/// Statistics of one arm: a base table plus its nodes' records, added in node order. After a change, only the
/// methods concerned are summed anew, always from the start and in the same order, because rounding depends
/// on the order.
#[derive(Default)]
pub struct ArmStats {
    pub sums: StatsTable,
    /// The nodes included, in order.
    nodes: Vec<NodeIx>,
    /// Version of the base table; none before the first sum.
    base: Option<u64>,
}

impl ArmStats {
    /// Brings the sums up to date with the base table and the given nodes.
    pub fn sum(&mut self, base: Option<&StatsTable>, books: &[&NodeRecord]) {
        let nothing = StatsTable::default();
        let base = base.unwrap_or(&nothing);
        let same = self.nodes.iter().copied().eq(books.iter().map(|b| b.entry.node));
        let mut touched = Some(Vec::new()).filter(|_| same && self.base == Some(base.version));
        for book in books {
            match (book.touched(), &mut touched) {
                (Changes::Listed(lines), Some(touched)) => touched.extend(lines),
                _ => touched = None,
            }
        }
        if let Some(mut touched) = touched {
            touched.sort_unstable();
            touched.dedup();
            for (method, slot) in touched {
                self.sums.copy(slot, base);
                books.iter().for_each(|book| book.add_one(method, &mut self.sums));
            }
            return;
        }
        self.sums = base.clone();
        books.iter().for_each(|book| book.add_to(&mut self.sums));
        (self.nodes, self.base) = (books.iter().map(|b| b.entry.node).collect(), Some(base.version));
    }
    pub fn bytes(&self) -> usize {
        self.sums.bytes() + self.nodes.capacity() * size_of::<NodeIx>()
    }
}
