//! The block `subset`: using only part of a large node list.

use crate::BlockReader;

/// How a marshal selects a subset of the nodes when the list is larger than it needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubsetConfig {
    /// Minimum number of nodes in the subset.
    pub min_nodes: usize,
    /// Number of marshals in each zone; marshals are numbered zone by zone. If empty, zones do not affect the subset.
    pub marshals_per_zone: Vec<usize>,
}

/// Reads the block `subset { least, marshals }`, or `subset = false`, which selects all nodes.
pub(crate) fn subset(
    top: &BlockReader, zones: &[String], (marshal, total, zone): (usize, usize, usize),
) -> Option<SubsetConfig> {
    if top.has("subset") {
        if top.boolean("subset", None) {
            top.error(Some("subset"), "subset is true: write subset { least = 24 }, or subset = false");
        }
        return None;
    }
    top.block("subset", |block| {
        let least = block.integer("least", Some(ivydrift_subset::MIN_SIZE as u64), 2..=10_000) as usize;
        let numbers = block.numbers("marshals", Some(vec![]), 0.0..=10_000.0);
        let marshals: Vec<usize> = numbers.iter().map(|n| *n as usize).collect();
        let error = |message: String| block.error(Some("marshals"), message);
        if marshals.is_empty() {
        } else if numbers.iter().any(|n| n.fract() != 0.0) || marshals.len() != zones.len() {
            let names = zones.join(", ");
            error(format!("marshals does not match zones: write a whole number for each of {names}"));
        } else if marshals.iter().sum::<usize>() != total {
            let sum: usize = marshals.iter().sum();
            error(format!("marshals add up to {sum}: write numbers that add up to marshal.of, {total}"));
        } else {
            let first: usize = marshals[..zone].iter().sum();
            let last = first + marshals[zone];
            if !(first..last).contains(&marshal) {
                let (zone_name, last_number) = (&zones[zone], last.saturating_sub(1));
                error(format!(
                    "marshals gives zone {zone_name:?} the numbers {first} to {last_number}, and this one is {marshal}: number them zone by zone"
                ));
            }
        }
        Some(SubsetConfig { min_nodes: least, marshals_per_zone: marshals })
    })
}
