//! Pseudorandom numbers, durations, and small helpers on timestamps and nodes.

use std::collections::hash_map::DefaultHasher;
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use crate::port::*;

/// Timestamps in ascending order.
pub type Times = VecDeque<Duration>;

/// Counts the timestamps within the last `window`.
pub fn count_recent(times: Option<&Times>, now: Duration, window: Duration) -> f64 {
    times.map_or(0, |t| t.iter().rev().take_while(|&&at| at + window > now).count()) as f64
}

/// A node's full capacity in relation to other nodes; 1 where unknown.
pub fn power(entry: &NodeEntry) -> f64 {
    if entry.power > 0.0 {
        entry.power
    } else {
        1.0
    }
}

/// Pseudorandom number: the hash of a seed and of the number of a draw.
pub fn random_u64(seed: u64, draw: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (seed, draw).hash(&mut hasher);
    hasher.finish()
}

/// Pseudorandom number between 0 and 1.
pub fn random_unit(seed: u64, draw: u64) -> f64 {
    random_u64(seed, draw) as f64 / u64::MAX as f64
}

/// Duration of `n` milliseconds.
pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Duration of `s` seconds; negative values become 0.
pub fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s.max(0.0))
}

/// Whether two nodes share tokens, and so recognize one another's repeats, in a group of this scope.
pub fn same_group(group: Group, a: &NodeEntry, b: &NodeEntry) -> bool {
    match group {
        Group::All => true,
        Group::Zone => a.zone == b.zone,
        Group::Cell => a.cell == b.cell,
    }
}
