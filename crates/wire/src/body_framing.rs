//! Incremental body framing: finds the end of an HTTP body in a byte stream without buffering it.

use crate::http::{Framing, ParseError};

/// Longest chunk-size line, extensions included.
const MAX_LINE_BYTES: usize = 256;
/// Longest trailer section.
const MAX_TRAILER_BYTES: usize = 4096;

/// Meaning of the bytes at the front of a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// This many bytes of content.
    Data(usize),
    /// This many bytes of framing: chunk sizes, line ends, trailers.
    Framing(usize),
    /// The body is complete; the buffer begins with the next message.
    End,
    /// More bytes are needed.
    Incomplete,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Bytes left of a body of known length.
    Remaining(u64),
    /// Before a chunk-size line.
    ChunkSize,
    /// Bytes left of a chunk.
    Chunk(u64),
    /// Before the CRLF after a chunk.
    ChunkEnd,
    /// In the trailer section, with the bytes read of it.
    Trailers(usize),
    UntilClose,
    Ended,
}

/// Decoder that steps through a body according to its framing.
#[derive(Clone, Debug)]
pub struct BodyDecoder(Phase);

impl BodyDecoder {
    pub fn new(framing: Framing) -> Self {
        BodyDecoder(match framing {
            Framing::Length(0) => Phase::Ended,
            Framing::Length(n) => Phase::Remaining(n),
            Framing::Chunked => Phase::ChunkSize,
            Framing::UntilClose => Phase::UntilClose,
        })
    }

    /// Whether the body is complete.
    pub fn is_complete(&self) -> bool {
        self.0 == Phase::Ended
    }

    /// Classifies the bytes at the front of `buf` and advances past them. The caller must drop them from the buffer.
    ///
    /// # Errors
    /// Returns an error for malformed chunks. The end of the body is then unknown and the connection must be closed.
    pub fn step(&mut self, buf: &[u8]) -> Result<Part, ParseError> {
        let malformed = |reason| Err(ParseError { status: 400, reason });
        match self.0 {
            Phase::Ended => Ok(Part::End),
            _ if buf.is_empty() => Ok(Part::Incomplete),
            Phase::UntilClose => Ok(Part::Data(buf.len())),
            Phase::Remaining(n) | Phase::Chunk(n) => {
                let taken = n.min(buf.len() as u64);
                let chunked = matches!(self.0, Phase::Chunk(_));
                self.0 = match (n - taken, chunked) {
                    (0, false) => Phase::Ended,
                    (0, true) => Phase::ChunkEnd,
                    (left, false) => Phase::Remaining(left),
                    (left, true) => Phase::Chunk(left),
                };
                Ok(Part::Data(taken as usize))
            }
            Phase::ChunkEnd => match buf {
                [b'\r', b'\n', ..] => {
                    self.0 = Phase::ChunkSize;
                    Ok(Part::Framing(2))
                }
                [b'\r'] => Ok(Part::Incomplete),
                _ => malformed("a chunk is longer than its size says"),
            },
            Phase::ChunkSize => {
                let Some(line) = line(buf, MAX_LINE_BYTES)? else { return Ok(Part::Incomplete) };
                let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
                let after_digits = line[digits..].iter().find(|b| !matches!(b, b' ' | b'\t'));
                if digits == 0 || digits > 15 || !matches!(after_digits, None | Some(b';')) {
                    return malformed("a chunk size is not a number");
                }
                let text = std::str::from_utf8(&line[..digits]).unwrap_or("");
                let size = u64::from_str_radix(text, 16).unwrap_or(0);
                self.0 = if size == 0 { Phase::Trailers(0) } else { Phase::Chunk(size) };
                Ok(Part::Framing(line.len() + 2))
            }
            Phase::Trailers(total) => {
                let Some(line) = line(buf, MAX_TRAILER_BYTES)? else { return Ok(Part::Incomplete) };
                let total = total + line.len() + 2;
                if total > MAX_TRAILER_BYTES {
                    return malformed("the trailers are longer than 4 KiB");
                }
                self.0 = if line.is_empty() { Phase::Ended } else { Phase::Trailers(total) };
                Ok(Part::Framing(line.len() + 2))
            }
        }
    }

    /// Records that the connection closed. Returns whether the body is complete.
    pub fn on_close(&mut self) -> bool {
        if self.0 == Phase::UntilClose {
            self.0 = Phase::Ended;
        }
        self.is_complete()
    }
}

/// Returns the line at the front of `buf` without its CRLF; none while it is incomplete.
fn line(buf: &[u8], limit: usize) -> Result<Option<&[u8]>, ParseError> {
    let malformed = |reason| Err(ParseError { status: 400, reason });
    match buf.iter().position(|&b| b == b'\n') {
        Some(0) => malformed("a line ends in LF without CR"),
        Some(end) if buf[end - 1] != b'\r' => malformed("a line ends in LF without CR"),
        Some(end) if end < limit => Ok(Some(&buf[..end - 1])),
        None if buf.len() < limit => Ok(None),
        _ => malformed("a line between chunks is too long"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    /// Decodes the body at the front of `bytes`, which arrive `step` at a time. Returns its content and length.
    fn decoder(framing: Framing, bytes: &[u8], step: usize) -> Result<(Vec<u8>, usize), ParseError> {
        let (mut decoder, mut data, mut at, mut available) = (BodyDecoder::new(framing), Vec::new(), 0, 0);
        loop {
            match decoder.step(&bytes[at..available])? {
                Part::Data(n) => {
                    data.extend_from_slice(&bytes[at..at + n]);
                    at += n;
                }
                Part::Framing(n) => at += n,
                Part::End => return Ok((data, at)),
                Part::Incomplete if available == bytes.len() => return Ok((data, usize::MAX)),
                Part::Incomplete => available = (available + step).min(bytes.len()),
            }
        }
    }

    #[test]
    fn malformed_chunks_are_rejected() {
        for malformed in
            ["x\r\n", "5\nhello", "3\r\nabcd\r\n", "-1\r\n", "fffffffffffffffff\r\n", "5 5\r\nhello\r\n"]
        {
            assert!(decoder(Framing::Chunked, malformed.as_bytes(), 1).is_err(), "{malformed:?}");
        }
        let endless_line = format!("5;{}", "x".repeat(300));
        assert!(decoder(Framing::Chunked, endless_line.as_bytes(), 7).is_err());
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(10), ..ProptestConfig::with_cases(256) })]
        /// Chunks of any size, split at any byte, decode to the content, and the next message is left in the buffer.
        #[test]
        fn chunks_decode_to_their_content(parts in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 1..40), 0..6),
                             step in 1usize..30) {
            let mut bytes = Vec::new();
            for part in &parts {
                bytes.extend_from_slice(format!("{:x};x=y\r\n", part.len()).as_bytes());
                bytes.extend_from_slice(part);
                bytes.extend_from_slice(b"\r\n");
            }
            bytes.extend_from_slice(b"0\r\nT: 1\r\n\r\n");
            let length = bytes.len();
            bytes.extend_from_slice(b"GET /next HTTP/1.1\r\n\r\n");
            prop_assert_eq!(decoder(Framing::Chunked, &bytes, step), Ok((parts.concat(), length)));
        }
    }
}
