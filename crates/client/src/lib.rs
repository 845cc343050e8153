//! Client library for calling marshals: one deadline for the whole call, retries only where they are safe and
//! within a retry budget, compliance with push-back, and jittered reconnects.
//!
//! [`core::Core`] makes the decisions and does no I/O. Two runtimes execute them: [`blocking::Channel`] for
//! threads and [`coroutine::Channel`] for coroutines of `may`. `docs/client.md` gives the reasons for its
//! decisions.
#![forbid(unsafe_code)]

pub mod blocking;
mod call;
mod channel;
mod codec;
pub mod core;
pub mod coroutine;
mod tokens;

pub use blocking::Channel;
pub use call::{Answer, AttemptOutcome, Call, Cancel, Error, Observer};
pub use channel::{Builder, Runtime};
pub use core::{ClientConfig, End, Kind, Reply};
