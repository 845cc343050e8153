//! The operators' platform, the second dialect of the marshal: what its file says as [`ivydrift_terms::Terms`], its
//! heads and answers, its list of members and the lines of its release desk. Everything here is words: no socket,
//! no clock and no decision.
#![forbid(unsafe_code)]

pub mod desk;
pub mod members;
pub mod rpc;
pub mod start;
