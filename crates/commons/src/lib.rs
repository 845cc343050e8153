//! The one seam for what marshals share; laws and reasons are in `docs/commons.md`.
//!
//! A member's record is its words about itself in the form that the first program had, and behind them a block of
//! numbered [`sections`]. Who does not know the block reads the words and leaves the rest; records are passed on whole,
//! so a section that nobody on the way knows arrives as it was. A section lapses by itself. How fleets of several
//! programs speak with one another is settled by [`level`].
//!
//! No socket, clock or thread.
#![forbid(unsafe_code)]

pub mod large;
pub mod level;
pub mod sections;
