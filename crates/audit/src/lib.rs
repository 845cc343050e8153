//! Checks the five rules from a day's trace alone. It shares no code with the decision module and trusts
//! nobody: what a marshal says of itself is not in the trace. Memory is bounded by the RPCs and sends of the
//! longest window, not by the day; where keys may not go back, by the keys as well.
#![forbid(unsafe_code)]

mod exposure;
pub mod rules;
pub mod trace;

pub use rules::{Auditor, Breach, Report, RULES};
