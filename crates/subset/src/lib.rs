//! Which of a service's nodes a marshal holds where the list is larger than it needs.
//!
//! Each node ranks the marshals by a hash of its name and their numbers (rendezvous hashing), and a marshal holds the
//! nodes that rank it among their first few. So each node has its holders for certain, whatever each marshal's part
//! comes to; a node that comes or goes moves no other, but for the few whose count of holders changes by one; and
//! nothing is kept or told: number, counts of marshals, the list and who is dead give the same on both sides of a cut.
//! The marshals known to be dead are left out of the ranks, and the next in each node's order step in.
//!
//! No I/O, no clocks, and nothing of builds' trials but that there are two arms.
#![forbid(unsafe_code)]

mod choice;
mod fleet;
mod size;

pub use choice::{choose, choose_again, seen, Choice, Memory, Node};
pub use fleet::Fleet;
pub use size::Size;

/// Nodes that a marshal takes at the least. Two random choices among so many find an idle one, a quarter of them may
/// rest, and at the peak of 95 RPCs a second each is met four times a second: its health shows within seconds.
pub const LEAST: usize = 24;

/// Each node has so many holders at the least, as far as there are marshals: five may die at once unheard, and the sizes of
/// its holders' subsets, which chance moves, even out.
pub const HOLDERS: usize = 6;

/// Of each arm of a trial a marshal wants so many at the least, where the arm has them: by chance it then holds two
/// with all but 3 in 1,000 draws.
pub const ARM: usize = 8;

/// And takes so many in any case, by its own order: an arm that a marshal does not see it cannot try.
pub const ARM_LEAST: usize = 2;
