//! Calls marshals the way they want to be called: one deadline from the caller's first word to the last, repeats
//! only where they are safe and earned, push-back honoured, reconnects spread out.
//!
//! [`core::Core`] decides and has no I/O; [`Channel`] is its shell for threads. `docs/client.md` says why it
//! decides as it does.
#![forbid(unsafe_code)]

mod blocking;
pub mod core;

pub use blocking::{Answer, Builder, Call, Channel, Error};
pub use core::{Kind, Manners};
