//! Formats of the operators' platform, the marshal's second dialect: the config file (parsed into
//! [`ivydrift_terms::Config`]), HTTP heads and answers, the member list and the rollout controller's line protocol.
//! Pure parsing and formatting: no sockets, clocks or decisions.
#![forbid(unsafe_code)]

pub mod controller;
pub mod members;
pub mod rpc;
pub mod start;
