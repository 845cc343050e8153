//! Deterministic subsetting: which of a service's nodes a marshal uses if the list is larger than it needs.
//!
//! Each node ranks the marshals by a hash of its name and their numbers (rendezvous hashing), and a marshal
//! holds the nodes that rank it among their first few. Every node is therefore sure to have its holders,
//! whatever fraction each marshal takes; a node that joins or leaves affects no others, except for the few
//! whose number of holders changes by one; and nothing is stored or exchanged: the marshal's number, the
//! counts of marshals, the node list and the set of dead marshals give the same result on both sides of a
//! partition. Marshals known to be dead are left out of the ranking, and the next in each node's order take
//! their place.
//!
//! The crate does no I/O and reads no clock. Of rollouts it knows only that there are two arms.
#![forbid(unsafe_code)]

mod choice;
mod fleet;
mod size;

pub use choice::{choose, choose_with_memory, held_fractions, Choice, ChoiceCache, Node};
pub use fleet::Fleet;
pub use size::Size;

/// Minimum subset size. Two random choices among 24 nodes find an idle one even with a quarter of them
/// ejected as outliers, and at the peak of 95 RPCs/s per marshal each node gets four RPCs a second, so its
/// health shows within seconds.
pub const MIN_SIZE: usize = 24;

/// Minimum number of marshals that hold a node, as far as there are that many. Five can die at once
/// unnoticed, and the random differences between the sizes of its holders' subsets even out.
pub const MIN_HOLDERS: usize = 6;

/// Minimum number of nodes of each arm that a marshal wants, if the arm has them: it then holds at least two
/// in all but 3 of 1,000 random draws.
pub const MIN_WANTED_PER_ARM: usize = 8;

/// Minimum number of nodes of each arm that a marshal takes in any case, by its own ranking: it cannot try an
/// arm that it does not see.
pub const MIN_HELD_PER_ARM: usize = 2;
