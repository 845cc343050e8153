//! What the shells on `may` share: connections, and the start of coroutines.
#![deny(unsafe_code)]

pub mod coroutine;
mod socket;

pub use socket::{Look, Socket};
