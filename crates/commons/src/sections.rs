//! Encoding of the typed, numbered sections of a member's record.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Section number of the supported protocol levels ([`crate::level::LevelRange`]). A section number is never
/// reused; sections with unknown numbers, from later versions, are kept and passed on.
pub const LEVELS: u16 = 0;
/// Section number of the program's version.
pub const PROGRAM: u16 = 1;

/// Marks the start of the block: no earlier record has these two bytes in that place, because such records
/// ended with their first part.
const BLOCK_MARK: [u8; 2] = [0xc0, 0x01];
/// Maximum size of a record, including the part in front of the block.
pub const RECORD_BYTES: usize = 200;
/// Maximum size of one section.
pub const MAX_SECTION_BYTES: usize = 120;
/// Maximum number of sections in a record.
pub const MAX_SECTIONS: usize = 16;

/// One section of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Section {
    /// Section number, such as [`LEVELS`].
    pub id: u16,
    /// Counts up with each change, within a life of its owner.
    pub version: u32,
    /// Validity in milliseconds, counted from the arrival of the record that carries it.
    pub valid: u32,
    /// Content, of at most [`MAX_SECTION_BYTES`].
    pub bytes: Vec<u8>,
}

/// A member's sections, ordered by number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sections {
    sections: Vec<Section>,
}

/// Why a section was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutError {
    /// The section has this many bytes, more than [`MAX_SECTION_BYTES`].
    TooLong(usize),
    /// The record would have this many bytes, more than [`RECORD_BYTES`].
    RecordTooLong(usize),
    /// There are [`MAX_SECTIONS`] already.
    TooMany,
}

impl Sections {
    /// Adds or replaces a section; its version counts up if the bytes differ. `prefix_bytes`: size of the
    /// record's part in front of the block.
    ///
    /// # Errors | If it does not fit; then nothing has changed.
    pub fn put(
        &mut self, id: u16, valid: Duration, bytes: &[u8], prefix_bytes: usize,
    ) -> Result<(), PutError> {
        if bytes.len() > MAX_SECTION_BYTES {
            return Err(PutError::TooLong(bytes.len()));
        }
        let valid = valid.as_millis().min(u128::from(u32::MAX)) as u32;
        let (mut updated, full) = (self.clone(), self.sections.len() >= MAX_SECTIONS);
        match updated.sections.iter_mut().find(|s| s.id == id) {
            Some(existing) => {
                existing.version += u32::from(existing.bytes != bytes);
                (existing.valid, existing.bytes) = (valid, bytes.to_vec());
            }
            None if full => return Err(PutError::TooMany),
            None => {
                updated.sections.push(Section { id, version: 1, valid, bytes: bytes.to_vec() });
                updated.sections.sort_by_key(|s| s.id);
            }
        }
        let length = prefix_bytes + updated.encode().len();
        if length > RECORD_BYTES {
            return Err(PutError::RecordTooLong(length));
        }
        *self = updated;
        Ok(())
    }

    /// Removes a section, if there is one of this number.
    pub fn remove(&mut self, id: u16) {
        self.sections.retain(|s| s.id != id);
    }

    /// A section, if it is still valid at this age of its record.
    pub fn get(&self, id: u16, age: Duration) -> Option<&Section> {
        self.sections.iter().find(|s| s.id == id && age < Duration::from_millis(s.valid.into()))
    }

    /// All sections in order of their numbers, expired ones included.
    pub fn iter(&self) -> impl Iterator<Item = &Section> {
        self.sections.iter()
    }

    /// Encodes the block; empty if there is no section.
    pub fn encode(&self) -> Vec<u8> {
        if self.sections.is_empty() {
            return Vec::new();
        }
        let mut bytes = BLOCK_MARK.to_vec();
        bytes.extend(self.sections.iter().flat_map(|s| postcard::to_allocvec(s).unwrap_or_default()));
        bytes
    }

    /// Decodes the block behind a record's first part. `None` if there is no block: the record is of a
    /// version without sections, or damaged. Sections in front of a damaged one are kept.
    pub fn decode(bytes: &[u8]) -> Option<Sections> {
        let mut rest = bytes.strip_prefix(&BLOCK_MARK)?;
        let mut sections: Vec<Section> = Vec::new();
        while !rest.is_empty() && sections.len() < MAX_SECTIONS {
            let Ok((section, remaining)) = postcard::take_from_bytes::<Section>(rest) else { break };
            if section.bytes.len() > MAX_SECTION_BYTES || sections.iter().any(|s| s.id == section.id) {
                break;
            }
            sections.push(section);
            rest = remaining;
        }
        Some(Sections { sections })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const VALID: Duration = Duration::from_secs(10);

    #[test]
    fn a_section_expires_and_its_version_counts_changes() {
        let mut own = Sections::default();
        own.put(PROGRAM, VALID, b"one", 20).unwrap();
        own.put(PROGRAM, VALID, b"one", 20).unwrap();
        own.put(LEVELS, VALID, &[1, 1], 20).unwrap();
        own.put(PROGRAM, VALID, b"two", 20).unwrap();
        let read = Sections::decode(&own.encode()).unwrap();
        assert_eq!(read, own);
        let program = read.get(PROGRAM, Duration::from_millis(9999)).unwrap();
        assert_eq!((program.version, &program.bytes[..]), (2, &b"two"[..]));
        assert_eq!(read.get(PROGRAM, VALID), None, "expired");
        own.remove(PROGRAM);
        assert_eq!(own.get(PROGRAM, Duration::ZERO), None);
    }

    #[test]
    fn a_section_that_does_not_fit_changes_nothing() {
        let mut own = Sections::default();
        own.put(3, VALID, &[7; 100], 40).unwrap();
        let before = own.clone();
        assert_eq!(own.put(4, VALID, &[7; 121], 40), Err(PutError::TooLong(121)));
        assert!(
            matches!(own.put(4, VALID, &[7; 60], 40), Err(PutError::RecordTooLong(over)) if over > RECORD_BYTES)
        );
        assert!(matches!(own.put(3, VALID, &[7; 120], 80), Err(PutError::RecordTooLong(_))));
        assert_eq!(own, before);
        let mut full = Sections::default();
        for id in 0..MAX_SECTIONS as u16 {
            full.put(id, VALID, &[], 0).unwrap();
        }
        assert_eq!(full.put(99, VALID, &[], 0), Err(PutError::TooMany));
    }

    #[test]
    fn unknown_sections_are_kept_and_a_damaged_one_ends_the_block() {
        let mut own = Sections::default();
        own.put(LEVELS, VALID, &[1, 9], 0).unwrap();
        own.put(4711, VALID, b"of a later program", 0).unwrap();
        let bytes = own.encode();
        assert_eq!(Sections::decode(&bytes).unwrap().encode(), bytes, "carried on as it was");
        let cut = Sections::decode(&bytes[..bytes.len() - 1]).unwrap();
        assert_eq!(cut.iter().map(|s| s.id).collect::<Vec<_>>(), [LEVELS]);
        // No block, as at the end of every record of the first program version.
        assert_eq!((Sections::decode(&[]), Sections::decode(&bytes[1..])), (None, None));
    }

    proptest! {
        #[test]
        fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            let mut block = BLOCK_MARK.to_vec();
            block.extend(&bytes);
            let read = Sections::decode(&block).unwrap();
            prop_assert!(read.iter().count() <= MAX_SECTIONS && read.encode().len() <= block.len().max(2) + MAX_SECTIONS * 12);
            let _ = Sections::decode(&bytes);
        }
    }
}
