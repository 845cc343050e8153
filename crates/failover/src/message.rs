//! Wire format of the messages between marshals about failover; a malformed message is dropped.

use ivydrift_leases::message::{Lease, Report};
use serde::{Deserialize, Serialize};

use crate::controller::Stage;
use crate::observation::AggregatedObservation;

/// Maximum number of zones, so that a message fits a datagram.
pub const MAX_ZONES: usize = 16;

/// Body of a report up a zone's tree: demand and observations of the sender and its subtree.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneReport {
    /// RPCs per second.
    pub demand: f32,
    /// Observations of each zone.
    pub sights: Vec<AggregatedObservation>,
}

/// Body of a message down a zone's tree: the zone's failover stage, see [`encode_stage`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Instruction {
    /// The stage's code.
    pub stage: u8,
    /// Fraction of the zone's traffic that is to leave.
    pub part: f32,
}

/// A message between marshals. A time stamp is read from the sender's own clock and returned unchanged, so
/// clocks are never compared.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A report up a zone's tree.
    Up(Report<ZoneReport>),
    /// A message down a zone's tree.
    Down(Lease<Instruction>),
    /// From one zone's leader to another's: requests a lease of spare capacity.
    Ask {
        /// The sender's life.
        life: u32,
        /// The sender's time stamp.
        stamp: u64,
        /// The sender's zone.
        zone: u16,
        /// RPCs per second that the sender would like to send there.
        wish: f32,
        /// RPCs per second that the asking zone now sends there.
        using: f32,
        /// The lease version that the asking zone keeps to.
        holds: u32,
    },
    /// The answer to [`Message::Ask`]: a lease.
    Grant {
        /// The time stamp of the request that this answers.
        echo: u64,
        /// The life of the asking marshal.
        of: u32,
        /// The granting zone.
        zone: u16,
        /// The version of the lease.
        version: u32,
        /// RPCs per second that may be sent there.
        rate: f32,
        /// Validity in milliseconds, counted from when the request was sent.
        valid: u32,
    },
}

impl Message {
    /// Encodes the message.
    pub fn write(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a message; `None` if it is malformed or holds a value out of range.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        let read: Message = postcard::from_bytes(bytes).ok()?;
        let valid_number = |x: f32| x.is_finite() && x >= 0.0;
        let valid = match &read {
            Message::Up(Report { body, .. }) => valid_number(body.demand) && body.sights.len() <= MAX_ZONES,
            Message::Down(Lease { rates, body, .. }) => {
                valid_number(body.part) && rates.len() <= MAX_ZONES && rates.iter().all(|r| valid_number(*r))
            }
            Message::Ask { wish, using, .. } => valid_number(*wish) && valid_number(*using),
            Message::Grant { rate, .. } => valid_number(*rate),
        };
        valid.then_some(read)
    }
}

/// The stage of a code; an unknown code counts as [`Stage::Back`].
pub fn decode_stage(code: u8) -> Stage {
    match code {
        0 => Stage::Near,
        1 => Stage::Out,
        _ => Stage::Back,
    }
}

/// The code of a stage in [`Instruction`].
pub fn encode_stage(stage: Stage) -> u8 {
    stage as u8
}
