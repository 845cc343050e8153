//! The block on subsets of large lists.

use crate::Sheet;

/// Where a list is larger than a marshal needs, it takes a part of the nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubsetTerms {
    /// Nodes taken at the least.
    pub least: usize,
    /// How many marshals each zone has, numbered zone by zone; empty where the terms do not say, and then no node is
    /// nearer than another.
    pub marshals: Vec<usize>,
}

/// The block `subset { least, marshals }`, or `subset = false` for whoever wants all nodes.
pub(crate) fn subset(
    top: &Sheet, zones: &[String], (number, of, zone): (usize, usize, usize),
) -> Option<SubsetTerms> {
    if top.has("subset") {
        if top.flag("subset", None) {
            top.complain(Some("subset"), "subset is true: write subset { least = 24 }, or subset = false");
        }
        return None;
    }
    top.block("subset", |s| {
        let least = s.whole("least", Some(ivydrift_subset::LEAST as u64), 2..=10_000) as usize;
        let counts = s.numbers("marshals", Some(vec![]), 0.0..=10_000.0);
        let marshals: Vec<usize> = counts.iter().map(|n| *n as usize).collect();
        let wrong = |what: String| s.complain(Some("marshals"), what);
        if marshals.is_empty() {
        } else if counts.iter().any(|n| n.fract() != 0.0) || marshals.len() != zones.len() {
            let names = zones.join(", ");
            wrong(format!("marshals does not fit zones: write a whole number for each of {names}"));
        } else if marshals.iter().sum::<usize>() != of {
            let sum: usize = marshals.iter().sum();
            wrong(format!("marshals are {sum} together: write as many as marshal.of, {of}"));
        } else {
            let first: usize = marshals[..zone].iter().sum();
            let last = first + marshals[zone];
            if !(first..last).contains(&number) {
                let (name, ends) = (&zones[zone], last.saturating_sub(1));
                wrong(format!(
                    "marshals gives zone {name:?} the numbers {first} to {ends}, and this one is {number}: number them zone by zone"
                ));
            }
        }
        Some(SubsetTerms { least, marshals })
    })
}
