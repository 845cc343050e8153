//! Formats of the data that marshals share; invariants and design reasons are in `docs/commons.md`.
//!
//! A member's record starts with the data in the form that the first program version had, followed by a block
//! of numbered [`sections`]. A version that does not know the block reads the first part and ignores the
//! rest; records are passed on whole, so a section arrives unchanged even through members that do not know
//! it. Each section expires by itself. [`level`] settles which protocol level a fleet of several program
//! versions uses.
//!
//! The crate uses no socket, clock or thread.
#![forbid(unsafe_code)]

pub mod large_state;
pub mod level;
pub mod sections;
