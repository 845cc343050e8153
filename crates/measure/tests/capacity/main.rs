//! Checks docs/CAPACITY.md: each figure names its command, sums add up, and message sizes are those that the
//! program writes.

mod page;
mod sizes;
mod sums;
