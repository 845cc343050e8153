//! ivydrift decides, on each marshal by itself, how a new build is tried on live traffic.
//!
//! [`Marshal`] holds every decision; [`port`] is the plain-typed interface to it. Neither does IO,
//! reads a clock or knows a wire, so that the bench's adapter and a real marshal can drive the same module.
#![forbid(unsafe_code)]

mod marshal;
mod policy;
pub mod port;
mod state;

pub use marshal::Marshal;

/// The test that verdicts rest on, for whoever measures how many outcomes one takes.
pub mod evidence {
    pub use crate::policy::{below, width, DELTA, HALVE, LEAST_SAMPLE, MARGIN};
    pub use crate::state::Tally;
}
