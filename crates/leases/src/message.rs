//! Messages between the marshals of a group. Durations are in milliseconds. A time stamp is read from the
//! sender's own clock and returned unchanged, so clocks are never compared.

use serde::{Deserialize, Serialize};

/// A report to the parent in the tree, on behalf of the sender and its subtree.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report<U> {
    /// The sender's life.
    pub life: u32,
    /// The sender's time stamp.
    pub stamp: u64,
    /// The receiver's latest time stamp.
    pub echo: u64,
    /// The receiver's life to which `echo` belongs.
    pub of: u32,
    /// How long the sender and its subtree give their votes to no other, counted from when this message was
    /// sent.
    pub promise: u32,
    /// Number of votes given with this message.
    pub voices: u16,
    /// The version of the lease that the sender and its subtree use.
    pub holds: u32,
    /// The caller's part of the report.
    pub body: U,
}

/// The answer to a report: what the child and its subtree may use of each resource.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lease<D> {
    /// The sender's life.
    pub life: u32,
    /// The sender's time stamp.
    pub stamp: u64,
    /// The receiver's time stamp in the report that this answers.
    pub echo: u64,
    /// The receiver's life to which `echo` belongs.
    pub of: u32,
    /// The version of this lease.
    pub version: u32,
    /// Validity, counted from when the report that this answers was sent.
    pub valid: u32,
    /// The leased rate of each resource.
    pub rates: Vec<f32>,
    /// The caller's part of the message.
    pub body: D,
}
