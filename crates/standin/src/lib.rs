//! Fakes of everything that a marshal talks to (nodes, node list, rollout controller, clients), driven by the
//! script of a day. [`environment::Environment`] holds their behaviour without I/O; [`sockets`] runs it on
//! loopback sockets, [`sim`] in a simulated network under virtual time. Both write the same trace.
#![forbid(unsafe_code)]
#![cfg_attr(test, recursion_limit = "256")]

pub mod bench;
mod clients;
pub mod day;
pub mod environment;
pub mod links;
mod node;
pub mod platform_stats;
pub mod relay;
mod rollout;
mod run_state;
pub mod services;
pub mod sim;
pub mod sockets;
pub mod tally;

pub use rollout::RolloutStatus;
