//! Shared foundation of the programs that run on `may`: connections, listeners, timers, and starting
//! coroutines.
#![deny(unsafe_code)]

mod clock;
pub mod coroutine;
mod deadline;
mod fair_share;
mod listen;
mod socket;

pub use fair_share::{Turn, TurnClass};
pub use listen::{listen, Listener, Waker};
pub use socket::{out_of_descriptors, PeerState, Socket, SocketHandle};
