//! Encoding of the typed, numbered sections of a member's record.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Section number of the supported protocol levels ([`crate::level::Speech`]). A section number is never
/// reused; sections with unknown numbers, from later versions, are kept and passed on.
pub const SPEECH: u16 = 0;
/// Section number of the program's version.
pub const PROGRAM: u16 = 1;

/// Marks the start of the block: no earlier record has these two bytes in that place, because such records
/// ended with their first part.
const MARK: [u8; 2] = [0xc0, 0x01];
/// Maximum size of a record, including the part in front of the block.
pub const RECORD_BYTES: usize = 200;
/// Maximum size of one section.
pub const SECTION_BYTES: usize = 120;
/// Maximum number of sections in a record.
pub const SECTIONS: usize = 16;

/// One section of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Section {
    pub id: u16,
    /// Counts up with each change, within a life of its owner.
    pub version: u32,
    /// Validity in milliseconds, counted from the arrival of the record that carries it.
    pub valid: u32,
    pub bytes: Vec<u8>,
}

/// A member's sections, ordered by number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sections {
    all: Vec<Section>,
}

/// Why a section was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Full {
    /// The section has this many bytes, more than [`SECTION_BYTES`].
    Long(usize),
    /// The record would have this many bytes, more than [`RECORD_BYTES`].
    Record(usize),
    /// There are [`SECTIONS`] already.
    Many,
}

impl Sections {
    /// Adds or replaces a section; its version counts up if the bytes differ. `front`: size of the record's
    /// part in front of the block.
    ///
    /// # Errors | If it does not fit; then nothing has changed.
    pub fn put(&mut self, id: u16, valid: Duration, bytes: &[u8], front: usize) -> Result<(), Full> {
        if bytes.len() > SECTION_BYTES {
            return Err(Full::Long(bytes.len()));
        }
        let valid = valid.as_millis().min(u128::from(u32::MAX)) as u32;
        let (mut new, many) = (self.clone(), self.all.len() >= SECTIONS);
        match new.all.iter_mut().find(|s| s.id == id) {
            Some(old) => {
                old.version += u32::from(old.bytes != bytes);
                (old.valid, old.bytes) = (valid, bytes.to_vec());
            }
            None if many => return Err(Full::Many),
            None => {
                new.all.push(Section { id, version: 1, valid, bytes: bytes.to_vec() });
                new.all.sort_by_key(|s| s.id);
            }
        }
        let length = front + new.write().len();
        if length > RECORD_BYTES {
            return Err(Full::Record(length));
        }
        *self = new;
        Ok(())
    }

    pub fn remove(&mut self, id: u16) {
        self.all.retain(|s| s.id != id);
    }

    /// A section, if it is still valid at this age of its record.
    pub fn get(&self, id: u16, age: Duration) -> Option<&Section> {
        self.all.iter().find(|s| s.id == id && age < Duration::from_millis(s.valid.into()))
    }

    /// All sections in order of their numbers, expired ones included.
    pub fn iter(&self) -> impl Iterator<Item = &Section> {
        self.all.iter()
    }

    /// Encodes the block; empty if there is no section.
    pub fn write(&self) -> Vec<u8> {
        if self.all.is_empty() {
            return Vec::new();
        }
        let mut bytes = MARK.to_vec();
        bytes.extend(self.all.iter().flat_map(|s| postcard::to_allocvec(s).unwrap_or_default()));
        bytes
    }

    /// Decodes the block behind a record's first part. `None` if there is no block: the record is of a
    /// version without sections, or damaged. Sections in front of a damaged one are kept.
    pub fn read(bytes: &[u8]) -> Option<Sections> {
        let mut rest = bytes.strip_prefix(&MARK)?;
        let mut all: Vec<Section> = Vec::new();
        while !rest.is_empty() && all.len() < SECTIONS {
            let Ok((section, more)) = postcard::take_from_bytes::<Section>(rest) else { break };
            if section.bytes.len() > SECTION_BYTES || all.iter().any(|s| s.id == section.id) {
                break;
            }
            all.push(section);
            rest = more;
        }
        Some(Sections { all })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const LONG: Duration = Duration::from_secs(10);

    #[test]
    fn a_section_is_had_as_long_as_it_is_valid_and_its_version_counts_changes() {
        let mut own = Sections::default();
        own.put(PROGRAM, LONG, b"one", 20).unwrap();
        own.put(PROGRAM, LONG, b"one", 20).unwrap();
        own.put(SPEECH, LONG, &[1, 1], 20).unwrap();
        own.put(PROGRAM, LONG, b"two", 20).unwrap();
        let read = Sections::read(&own.write()).unwrap();
        assert_eq!(read, own);
        let program = read.get(PROGRAM, Duration::from_millis(9999)).unwrap();
        assert_eq!((program.version, &program.bytes[..]), (2, &b"two"[..]));
        assert_eq!(read.get(PROGRAM, LONG), None, "lapsed");
        own.remove(PROGRAM);
        assert_eq!(own.get(PROGRAM, Duration::ZERO), None);
    }

    #[test]
    fn what_does_not_fit_changes_nothing() {
        let mut own = Sections::default();
        own.put(3, LONG, &[7; 100], 40).unwrap();
        let before = own.clone();
        assert_eq!(own.put(4, LONG, &[7; 121], 40), Err(Full::Long(121)));
        assert!(matches!(own.put(4, LONG, &[7; 60], 40), Err(Full::Record(over)) if over > RECORD_BYTES));
        assert!(matches!(own.put(3, LONG, &[7; 120], 80), Err(Full::Record(_))));
        assert_eq!(own, before);
        let mut many = Sections::default();
        for id in 0..SECTIONS as u16 {
            many.put(id, LONG, &[], 0).unwrap();
        }
        assert_eq!(many.put(99, LONG, &[], 0), Err(Full::Many));
    }

    #[test]
    fn sections_of_a_later_program_are_kept_and_spoilt_ones_end_the_block() {
        let mut own = Sections::default();
        own.put(SPEECH, LONG, &[1, 9], 0).unwrap();
        own.put(4711, LONG, b"of a later program", 0).unwrap();
        let bytes = own.write();
        assert_eq!(Sections::read(&bytes).unwrap().write(), bytes, "carried on as it was");
        let cut = Sections::read(&bytes[..bytes.len() - 1]).unwrap();
        assert_eq!(cut.iter().map(|s| s.id).collect::<Vec<_>>(), [SPEECH]);
        // No block, as at the end of every record of the first program version.
        assert_eq!((Sections::read(&[]), Sections::read(&bytes[1..])), (None, None));
    }

    proptest! {
        #[test]
        fn no_bytes_do_harm(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            let mut marked = MARK.to_vec();
            marked.extend(&bytes);
            let read = Sections::read(&marked).unwrap();
            prop_assert!(read.iter().count() <= SECTIONS && read.write().len() <= marked.len().max(2) + SECTIONS * 12);
            let _ = Sections::read(&bytes);
        }
    }
}
