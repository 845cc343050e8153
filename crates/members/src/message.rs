//! Wire format between members: one message, then as many updates about members as fit. A malformed datagram
//! is dropped as a whole.

use serde::{Deserialize, Serialize};

use crate::MemberIndex;

/// Maximum datagram size; passes any link without fragmentation.
pub const DATAGRAM_BYTES: usize = 1100;
/// Maximum size of a member's record.
pub const RECORD_BYTES: usize = 200;

/// State of a member. The order matters: between two updates of the same incarnation, the later variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// Never heard of.
    Unknown,
    /// Answers probes, or is not known to have missed one.
    Alive,
    /// Missed a probe; it can refute the suspicion.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
    /// Announced that it leaves.
    Left,
}

impl State {
    /// Whether it takes part: it is probed, and its record counts.
    pub fn is_present(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }

    /// The state's name in lower case.
    pub fn word(self) -> &'static str {
        match self {
            State::Unknown => "unknown",
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }
}

/// Precedence of an update: a later life beats any earlier one, a later turn (incarnation) beats any earlier
/// one of the same life.
pub type Rank = (u64, u32, State);

/// The record that a member publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Counts up within a life.
    pub version: u32,
    /// Content, of at most [`RECORD_BYTES`].
    pub bytes: Vec<u8>,
}

/// An update: the state of one member, with its record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member that the update is about.
    pub number: MemberIndex,
    /// Its start epoch.
    pub life: u64,
    /// Its incarnation within the life.
    pub turn: u32,
    pub state: State,
    /// The member that reports the suspicion.
    pub by: MemberIndex,
    /// Its record, if it is present and has published one.
    pub record: Option<Record>,
}

impl Update {
    /// The update's precedence.
    pub fn rank(&self) -> Rank {
        (self.life, self.turn, self.state)
    }
}

/// Digest entry: what a member knows of another, without the record's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEntry {
    pub number: MemberIndex,
    /// Its start epoch.
    pub life: u64,
    /// Its incarnation within the life.
    pub turn: u32,
    pub state: State,
    /// Version of its record, 0 without one.
    pub version: u32,
}

/// The kind of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A probe.
    Ping { seq: u32 },
    /// The answer to a ping, with its sequence number.
    Ack { seq: u32 },
    /// Asks the receiver to ping the target for the sender.
    Ask { seq: u32, target: MemberIndex },
    /// The target of a requested ping has not answered yet.
    Nack { seq: u32 },
    /// Digest of all members known to the sender from `start` up to but excluding `end`; a member left out is
    /// unknown to it.
    Digest { start: MemberIndex, end: MemberIndex, rows: Vec<DigestEntry> },
    /// Carries updates only; requests the updates of the listed members, of which the sender knows less.
    Words { want: Vec<MemberIndex> },
}

/// Encodes a message and as many of the updates as fit behind it, in order; returns the bytes and the number
/// of updates encoded.
pub fn encode<'a>(message: &Message, updates: impl Iterator<Item = &'a Update>) -> (Vec<u8>, usize) {
    let mut bytes = postcard::to_allocvec(message).unwrap_or_default();
    let mut count = 0;
    for update in updates {
        let Ok(encoded) = postcard::to_allocvec(update) else { break };
        if bytes.len() + encoded.len() > DATAGRAM_BYTES {
            break;
        }
        bytes.extend(encoded);
        count += 1;
    }
    (bytes, count)
}

/// Decodes a message and its updates; `None` if any byte differs from what [`encode()`] produces.
pub fn decode(bytes: &[u8]) -> Option<(Message, Vec<Update>)> {
    if bytes.len() > DATAGRAM_BYTES {
        return None;
    }
    let (message, mut rest) = postcard::take_from_bytes(bytes).ok()?;
    let mut updates: Vec<Update> = Vec::new();
    while !rest.is_empty() {
        let (update, encoded) = postcard::take_from_bytes::<Update>(rest).ok()?;
        if update.record.as_ref().is_some_and(|r| r.bytes.len() > RECORD_BYTES) {
            return None;
        }
        updates.push(update);
        rest = encoded;
    }
    Some((message, updates))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn update(number: MemberIndex, len: usize) -> Update {
        let record = Some(Record { version: 7, bytes: vec![1; len] });
        Update { number, life: 1 << 40, turn: 3, state: State::Suspect, by: 2, record }
    }

    #[test]
    fn fitting_updates_round_trip() {
        let updates: Vec<Update> = (0..20).map(|n| update(n, RECORD_BYTES)).collect();
        let (bytes, count) = encode(&Message::Ping { seq: 9 }, updates.iter());
        assert!(bytes.len() <= DATAGRAM_BYTES && (4..20).contains(&count), "{count}");
        assert_eq!(decode(&bytes), Some((Message::Ping { seq: 9 }, updates[..count].to_vec())));
        // A record over the size limit, or a truncated update, invalidates the whole datagram.
        let (long, _) = encode(&Message::Ping { seq: 9 }, [update(1, RECORD_BYTES + 1)].iter());
        assert_eq!((decode(&long), decode(&bytes[..bytes.len() - 1])), (None, None));
    }

    proptest! {
        #[test]
        fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..1200)) {
            if let Some((message, updates)) = decode(&bytes) {
                prop_assert!(bytes.len() <= DATAGRAM_BYTES);
                let (_, count) = encode(&message, updates.iter());
                prop_assert!(count <= updates.len());
            }
        }
    }
}
