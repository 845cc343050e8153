//! Wire formats between clients, marshals, nodes, the node list, the rollout controller and peers: parsing, formatting
//! and the plain types they map to. No sockets and no clocks; `docs/protocol.md` has the grammar and the limits.
#![forbid(unsafe_code)]

pub mod body_framing;
pub mod controller;
pub mod http;
pub mod list;
pub mod message;
pub mod orca;
pub mod peer;
pub mod rpc;
