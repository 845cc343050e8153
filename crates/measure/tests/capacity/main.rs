//! docs/CAPACITY.md keeps its promise: no figure without its command, sums that add up, sizes as the program writes them.

mod page;
mod sizes;
mod sums;
