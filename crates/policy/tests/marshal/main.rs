//! Tests of the decision module through its public interface: safety rules under random runs, and single
//! cases.

mod desk;
mod discovery;
mod known;
mod lease;
mod rules;
mod streams;
mod traffic;
mod verdicts;
mod world;
