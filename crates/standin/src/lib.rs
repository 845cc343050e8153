//! Stand-ins for all that a marshal meets: nodes, node list, release desk and clients, by a scripted day.
//! [`town::Town`] holds what they do, without I/O; [`sockets`] puts it on loopback sockets, [`sim`] into a
//! simulated network with virtual time. Both write the same trace.
#![forbid(unsafe_code)]
#![cfg_attr(test, recursion_limit = "256")]

pub mod bench;
mod clients;
pub mod day;
mod desk;
pub mod links;
mod node;
pub mod relay;
mod rig;
pub mod services;
pub mod sim;
pub mod sockets;
pub mod sums;
pub mod tally;
pub mod town;

pub use desk::Standing;
