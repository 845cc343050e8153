//! The block `subset`: using only part of a large node list.

use crate::Sheet;

/// How a marshal selects a subset of the nodes when the list is larger than it needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubsetTerms {
    /// Minimum number of nodes in the subset.
    pub least: usize,
    /// Number of marshals in each zone; marshals are numbered zone by zone. If empty, zones do not affect the subset.
    pub marshals: Vec<usize>,
}

/// Reads the block `subset { least, marshals }`, or `subset = false`, which selects all nodes.
pub(crate) fn subset(
    top: &Sheet, zones: &[String], (marshal, total, zone): (usize, usize, usize),
) -> Option<SubsetTerms> {
    if top.has("subset") {
        if top.flag("subset", None) {
            top.complain(Some("subset"), "subset is true: write subset { least = 24 }, or subset = false");
        }
        return None;
    }
    top.block("subset", |block| {
        let least = block.whole("least", Some(ivydrift_subset::LEAST as u64), 2..=10_000) as usize;
        let numbers = block.numbers("marshals", Some(vec![]), 0.0..=10_000.0);
        let marshals: Vec<usize> = numbers.iter().map(|n| *n as usize).collect();
        let complain = |message: String| block.complain(Some("marshals"), message);
        if marshals.is_empty() {
        } else if numbers.iter().any(|n| n.fract() != 0.0) || marshals.len() != zones.len() {
            let names = zones.join(", ");
            complain(format!("marshals does not match zones: write a whole number for each of {names}"));
        } else if marshals.iter().sum::<usize>() != total {
            let sum: usize = marshals.iter().sum();
            complain(format!("marshals add up to {sum}: write numbers that add up to marshal.of, {total}"));
        } else {
            let first: usize = marshals[..zone].iter().sum();
            let last = first + marshals[zone];
            if !(first..last).contains(&marshal) {
                let (zone_name, last_number) = (&zones[zone], last.saturating_sub(1));
                complain(format!(
                    "marshals gives zone {zone_name:?} the numbers {first} to {last_number}, and this one is {marshal}: number them zone by zone"
                ));
            }
        }
        Some(SubsetTerms { least, marshals })
    })
}
