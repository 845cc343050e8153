//! Decides, on each marshal, where RPCs are sent and how a new build is tried on live traffic.
//!
//! [`Marshal`] makes all decisions; [`port`] is its plain-typed interface. Neither does I/O, reads a clock or
//! depends on a wire protocol, so that a real marshal and the simulator's adapter drive the same code.
#![forbid(unsafe_code)]

pub mod admission;
mod marshal;
mod policy;
pub mod port;
pub mod presence;
mod state;

pub use marshal::Marshal;

/// The statistical test behind verdicts, exported for measurements of how many outcomes a verdict takes.
pub mod evidence {
    pub use crate::policy::{confidence_half_width, is_below, DELTA, HALVING_INTERVAL, MIN_SAMPLE};
    pub use crate::policy::{PACE_MARGIN, PACE_MARGIN_FEW_NODES, PAYOFF_MARGIN, SOUNDNESS_MARGIN};
    pub use crate::state::Tally;
}
