//! What marshals say to one another of moves, as bytes; anything malformed is dropped.

use ivydrift_leases::words::{Down, Up};
use serde::{Deserialize, Serialize};

use crate::course::Stage;
use crate::sight::Sights;

/// Zones at most: a message fits a datagram.
pub const ZONES: usize = 16;

/// What is told up a zone's tree: what the sender and all that speak through it see and want.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Told {
    pub demand: f32,
    pub sights: Vec<Sights>,
}

/// And down: how the zone moves, see [`code`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Move {
    pub stage: u8,
    pub part: f32,
}

/// A stamp is the sender's own clock and comes back as it is: nobody compares clocks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    Up(Up<Told>),
    Down(Down<Move>),
    /// From one zone's steward to another's.
    Ask {
        life: u32,
        stamp: u64,
        zone: u16,
        wish: f32,
        /// What all that speak through the steward send there now.
        using: f32,
        holds: u32,
    },
    Grant {
        echo: u64,
        of: u32,
        zone: u16,
        version: u32,
        rate: f32,
        valid: u32,
    },
}

impl Message {
    pub fn write(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    pub fn read(bytes: &[u8]) -> Option<Self> {
        let read: Message = postcard::from_bytes(bytes).ok()?;
        let fine = |x: f32| x.is_finite() && x >= 0.0;
        let sound = match &read {
            Message::Up(Up { body, .. }) => fine(body.demand) && body.sights.len() <= ZONES,
            Message::Down(Down { rates, body, .. }) => {
                fine(body.part) && rates.len() <= ZONES && rates.iter().all(|r| fine(*r))
            }
            Message::Ask { wish, using, .. } => fine(*wish) && fine(*using),
            Message::Grant { rate, .. } => fine(*rate),
        };
        sound.then_some(read)
    }
}

pub fn stage(code: u8) -> Stage {
    match code {
        0 => Stage::Near,
        1 => Stage::Out,
        _ => Stage::Back,
    }
}

pub fn code(stage: Stage) -> u8 {
    stage as u8
}
