//! What marshals of a group say to one another. Spans are in milliseconds; a stamp is the sender's own clock and comes
//! back as it is: nobody compares clocks.

use serde::{Deserialize, Serialize};

/// To who is nearer the steward, with what the sender and all that speak through it have to say.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Up<U> {
    pub life: u32,
    pub stamp: u64,
    /// The latest stamp of the receiver, and of which of its lives.
    pub echo: u64,
    pub of: u32,
    /// Since the sender gave its word with this message, it and those behind it give it to no other for so long.
    pub promise: u32,
    pub voices: u16,
    /// The version of the lease that it and those behind it use.
    pub holds: u32,
    pub body: U,
}

/// Back: what the receiver, with all that speak through it, may use of each lot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Down<D> {
    pub life: u32,
    pub stamp: u64,
    pub echo: u64,
    pub of: u32,
    pub version: u32,
    /// From when the message that this answers was sent.
    pub valid: u32,
    pub rates: Vec<f32>,
    pub body: D,
}
