//! What members say to one another, as bytes: one purpose, then as many words about members as fit. Anything
//! malformed is dropped whole.

use serde::{Deserialize, Serialize};

use crate::Number;

/// A datagram at most: passes any link unbroken.
pub const DATAGRAM_BYTES: usize = 1100;
/// A member's record at most.
pub const RECORD_BYTES: usize = 200;

/// What is believed of a member. The order matters: of two words of one turn the later in this list wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// Never heard of.
    Unknown,
    Alive,
    /// Did not answer somebody; it may contradict.
    Suspect,
    /// Did not contradict in time.
    Dead,
    /// Said itself that it goes.
    Left,
}

impl State {
    /// It takes part: it is probed, and its record counts.
    pub fn present(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }

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

/// How new a word is: a later life beats all of an earlier one, a later turn all of an earlier turn.
pub type Rank = (u64, u32, State);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Counts up within a life.
    pub version: u32,
    pub bytes: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    pub number: Number,
    pub life: u64,
    pub turn: u32,
    pub state: State,
    /// Who suspects it.
    pub by: Number,
    pub record: Option<Record>,
}

impl Word {
    pub fn rank(&self) -> Rank {
        (self.life, self.turn, self.state)
    }
}

/// What one member knows of another, without the record itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    pub number: Number,
    pub life: u64,
    pub turn: u32,
    pub state: State,
    pub version: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    Ping {
        seq: u32,
    },
    Ack {
        seq: u32,
    },
    /// Ping the target for me.
    Ask {
        seq: u32,
        target: Number,
    },
    /// I pinged it for you, and have no answer yet.
    Nack {
        seq: u32,
    },
    /// All that I know of the members from `start` to before `end`; who is left out I don't know.
    Digest {
        start: Number,
        end: Number,
        rows: Vec<Row>,
    },
    /// Words alone; of these members I know less than you.
    Words {
        want: Vec<Number>,
    },
}

/// The bytes of a purpose and of the words that fit behind it, in their order; how many did.
pub fn write<'a>(what: &What, words: impl Iterator<Item = &'a Word>) -> (Vec<u8>, usize) {
    let mut bytes = postcard::to_allocvec(what).unwrap_or_default();
    let mut count = 0;
    for word in words {
        let Ok(more) = postcard::to_allocvec(word) else { break };
        if bytes.len() + more.len() > DATAGRAM_BYTES {
            break;
        }
        bytes.extend(more);
        count += 1;
    }
    (bytes, count)
}

/// The purpose and the words; none where a byte of them is not as written by [`write`].
pub fn read(bytes: &[u8]) -> Option<(What, Vec<Word>)> {
    if bytes.len() > DATAGRAM_BYTES {
        return None;
    }
    let (what, mut rest) = postcard::take_from_bytes(bytes).ok()?;
    let mut words: Vec<Word> = Vec::new();
    while !rest.is_empty() {
        let (word, more) = postcard::take_from_bytes::<Word>(rest).ok()?;
        if word.record.as_ref().is_some_and(|r| r.bytes.len() > RECORD_BYTES) {
            return None;
        }
        words.push(word);
        rest = more;
    }
    Some((what, words))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn word(number: Number, len: usize) -> Word {
        let record = Some(Record { version: 7, bytes: vec![1; len] });
        Word { number, life: 1 << 40, turn: 3, state: State::Suspect, by: 2, record }
    }

    #[test]
    fn as_many_words_as_fit_go_out_and_come_back() {
        let words: Vec<Word> = (0..20).map(|n| word(n, RECORD_BYTES)).collect();
        let (bytes, count) = write(&What::Ping { seq: 9 }, words.iter());
        assert!(bytes.len() <= DATAGRAM_BYTES && (4..20).contains(&count), "{count}");
        assert_eq!(read(&bytes), Some((What::Ping { seq: 9 }, words[..count].to_vec())));
        // A record over the bound, and a word cut short, spoil the whole.
        let (long, _) = write(&What::Ping { seq: 9 }, [word(1, RECORD_BYTES + 1)].iter());
        assert_eq!((read(&long), read(&bytes[..bytes.len() - 1])), (None, None));
    }

    proptest! {
        #[test]
        fn no_bytes_do_harm(bytes in proptest::collection::vec(any::<u8>(), 0..1200)) {
            if let Some((what, words)) = read(&bytes) {
                prop_assert!(bytes.len() <= DATAGRAM_BYTES);
                let (_, count) = write(&what, words.iter());
                prop_assert!(count <= words.len());
            }
        }
    }
}
