//! Tests of the decision module through its public interface: safety rules under random runs, and single
//! cases.

mod controller;
mod discovery;
mod list_lease;
mod method_memory;
mod recorded_actions;
mod routing;
mod rules;
mod simulation;
mod verdicts;
