//! Datagrams between marshals: a magic, a version, the sender and the policy's own bytes. Loss, repetition and
//! reordering do no harm; anything malformed is dropped by the reader.

/// The policy's bytes at most.
pub const TEXT_BYTES: usize = 256;
const HEAD: [u8; 3] = *b"iv\x01";

pub fn write(from: u16, text: &[u8]) -> Option<Vec<u8>> {
    (text.len() <= TEXT_BYTES).then(|| [&HEAD[..], &from.to_be_bytes(), text].concat())
}

/// The sender and its bytes.
pub fn read(datagram: &[u8]) -> Option<(u16, &[u8])> {
    let rest = datagram.strip_prefix(&HEAD)?;
    let (from, text) = rest.split_first_chunk::<2>()?;
    (text.len() <= TEXT_BYTES).then_some((u16::from_be_bytes(*from), text))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_whole_datagrams_of_ours_are_read() {
        let sent = write(3, b"abc").unwrap();
        assert_eq!(read(&sent), Some((3, &b"abc"[..])));
        assert_eq!(read(&sent[..4]), None);
        assert_eq!(read(b"iv\x02\0\x03abc"), None);
        assert_eq!(write(3, &[0; 257]), None);
        assert_eq!(read(&[&sent[..], &[0; 300]].concat()), None);
    }
}
