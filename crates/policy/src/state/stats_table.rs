//! The methods that have had traffic, and statistics with room for those only.

use super::*;

/// The observed methods in ascending order, each with a slot, its index in vectors that have room for
/// observed methods only. A slot is assigned when the method is first observed and never changes, so that
/// records survive a new config. Methods without traffic have none.
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
    pub fn entries<'a>(
        &'a self, a: &'a StatsTable, b: &'a StatsTable,
    ) -> impl Iterator<Item = (usize, usize, &'a OutcomeStats, &'a OutcomeStats)> + 'a {
        let kinds = a.by_kind.len().max(b.by_kind.len());
        let row = move |kind| {
            self.iter()
                .enumerate()
                .map(move |(at, (method, slot))| (at, method, a.get(kind, slot), b.get(kind, slot)))
        };
        (0..kinds).flat_map(row)
    }
    /// For each question over the observed methods, its index over all `known` methods: payoff, soundness by
    /// method, pace, corrupt answers, slowdown by method.
    pub fn question_indices(&self, known: usize) -> impl Iterator<Item = usize> + '_ {
        let by_method = |from: usize| self.iter().map(move |(method, _)| from + method);
        [0].into_iter().chain(by_method(1)).chain([known + 1, known + 2]).chain(by_method(known + 3))
    }
    /// Bytes allocated for the list.
    pub fn bytes(&self) -> usize {
        self.0.capacity() * size_of::<(usize, usize)>()
    }
}

/// Statistics by node kind and by slot of the observed methods.
#[derive(Clone, Default)]
pub struct StatsTable {
    /// By kind, then by slot.
    by_kind: Vec<Vec<OutcomeStats>>,
    /// Incremented by each change; at 0 nothing has been added.
    version: u64,
}

impl StatsTable {
    /// The entry of a kind and slot; an empty one where nothing was added.
    pub fn get(&self, kind: usize, slot: usize) -> &OutcomeStats {
        const EMPTY: &OutcomeStats = &OutcomeStats::EMPTY;
        self.by_kind.get(kind).and_then(|by_slot| by_slot.get(slot)).unwrap_or(EMPTY)
    }
    /// Adds to the entry of a kind and slot.
    pub fn add(&mut self, kind: usize, slot: usize, stats: &OutcomeStats) {
        self.version += 1;
        if self.by_kind.len() <= kind {
            self.by_kind.resize_with(kind + 1, Vec::new);
        }
        let by_slot = &mut self.by_kind[kind];
        if by_slot.len() <= slot {
            by_slot.resize(slot + 1, OutcomeStats::EMPTY);
        }
        by_slot[slot].add(stats, 1.0);
    }
    /// All entries, by kind, then by slot.
    pub fn iter(&self) -> impl Iterator<Item = &OutcomeStats> {
        self.by_kind.iter().flatten()
    }
    /// All entries for changes; counts as a change of the table.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut OutcomeStats> {
        self.version += 1;
        self.by_kind.iter_mut().flatten()
    }
    /// Removes all entries.
    pub fn clear(&mut self) {
        *self = StatsTable { by_kind: Vec::new(), version: self.version + 1 };
    }
    /// Removes the entries of kinds that are no longer configured.
    pub fn truncate_kinds(&mut self, kinds: usize) {
        self.version += 1;
        self.by_kind.truncate(kinds);
    }
    /// Overwrites one method's entries with those of another table.
    fn copy_slot(&mut self, slot: usize, other: &StatsTable) {
        for (kind, by_slot) in self.by_kind.iter_mut().enumerate() {
            by_slot.get_mut(slot).into_iter().for_each(|stats| *stats = *other.get(kind, slot));
        }
    }
    /// Bytes allocated for entries.
    pub fn bytes(&self) -> usize {
        self.by_kind.iter().map(|by_slot| by_slot.capacity() * size_of::<OutcomeStats>()).sum()
    }
}

/// Statistics of one arm: a base table plus its nodes' records, added in node order. After a change, only the
/// methods concerned are summed anew, always from the start and in the same order, because rounding depends
/// on the order.
#[derive(Default)]
pub struct ArmStats {
    /// The base table plus the records of `nodes`.
    pub sums: StatsTable,
    /// The nodes included, in order.
    nodes: Vec<NodeIx>,
    /// Version of the base table at the last sum; none before the first.
    base: Option<u64>,
}

impl ArmStats {
    /// Brings the sums up to date with the base table and the given nodes.
    pub fn sum(&mut self, base: Option<&StatsTable>, records: &[&NodeRecord]) {
        let empty = StatsTable::default();
        let base = base.unwrap_or(&empty);
        let same_nodes = self.nodes.iter().copied().eq(records.iter().map(|b| b.entry.node));
        let mut changed = Some(Vec::new()).filter(|_| same_nodes && self.base == Some(base.version));
        for record in records {
            match (record.take_changes(), &mut changed) {
                (Changes::Listed(listed), Some(changed)) => changed.extend(listed),
                _ => changed = None,
            }
        }
        if let Some(mut changed) = changed {
            changed.sort_unstable();
            changed.dedup();
            for (method, slot) in changed {
                self.sums.copy_slot(slot, base);
                records.iter().for_each(|record| record.add_method(method, &mut self.sums));
            }
            return;
        }
        self.sums = base.clone();
        records.iter().for_each(|record| record.add_to(&mut self.sums));
        (self.nodes, self.base) = (records.iter().map(|b| b.entry.node).collect(), Some(base.version));
    }
    /// Bytes allocated for sums and node indices.
    pub fn bytes(&self) -> usize {
        self.sums.bytes() + self.nodes.capacity() * size_of::<NodeIx>()
    }
}
