//! Checks five rules from the trace of a run alone. The crate shares no code with the decision module, and the
//! trace holds nothing that a marshal reports about itself. Memory is bounded by the RPCs and picks within the
//! longest window, not by the length of the run; where a key must not return to an earlier build, also by the
//! number of keys.
#![forbid(unsafe_code)]

mod exposure;
pub mod rules;
pub mod trace;

pub use rules::{Auditor, Breach, Report, RULES};
