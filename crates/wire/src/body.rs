//! Incremental body framing: finds the end of an HTTP body in a byte stream without buffering it.

use crate::http::{Framing, Refusal};

/// Longest chunk-size line, extensions included.
const LINE_BYTES: usize = 256;
/// Longest trailer section.
const TRAILER_BYTES: usize = 4096;

/// Meaning of the bytes at the front of a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// This many bytes of content.
    Data(usize),
    /// This many bytes of framing: chunk sizes, line ends, trailers.
    Mark(usize),
    /// The body is complete; the buffer begins with the next message.
    End,
    /// More bytes are needed.
    Need,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Bytes left of a body of known length.
    Left(u64),
    /// Before a chunk-size line.
    Size,
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
pub struct Walk(State);

impl Walk {
    pub fn new(framing: Framing) -> Self {
        Walk(match framing {
            Framing::Length(0) => State::Ended,
            Framing::Length(n) => State::Left(n),
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::UntilClose,
        })
    }

    /// Whether the body is complete.
    pub fn ended(&self) -> bool {
        self.0 == State::Ended
    }

    /// Classifies the bytes at the front of `buf` and advances past them. The caller must drop them from the buffer.
    ///
    /// # Errors
    /// Returns an error for malformed chunks. The end of the body is then unknown and the connection must be closed.
    pub fn step(&mut self, buf: &[u8]) -> Result<Part, Refusal> {
        let bad = |why| Err(Refusal { status: 400, why });
        match self.0 {
            State::Ended => Ok(Part::End),
            _ if buf.is_empty() => Ok(Part::Need),
            State::UntilClose => Ok(Part::Data(buf.len())),
            State::Left(n) | State::Chunk(n) => {
                let take = n.min(buf.len() as u64);
                let chunked = matches!(self.0, State::Chunk(_));
                self.0 = match (n - take, chunked) {
                    (0, false) => State::Ended,
                    (0, true) => State::ChunkEnd,
                    (left, false) => State::Left(left),
                    (left, true) => State::Chunk(left),
                };
                Ok(Part::Data(take as usize))
            }
            State::ChunkEnd => match buf {
                [b'\r', b'\n', ..] => {
                    self.0 = State::Size;
                    Ok(Part::Mark(2))
                }
                [b'\r'] => Ok(Part::Need),
                _ => bad("a chunk is longer than its size says"),
            },
            State::Size => {
                let Some(line) = line(buf, LINE_BYTES)? else { return Ok(Part::Need) };
                let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
                let rest = line[digits..].iter().find(|b| !matches!(b, b' ' | b'\t'));
                if digits == 0 || digits > 15 || !matches!(rest, None | Some(b';')) {
                    return bad("a chunk size is not a number");
                }
                let text = std::str::from_utf8(&line[..digits]).unwrap_or("");
                let size = u64::from_str_radix(text, 16).unwrap_or(0);
                self.0 = if size == 0 { State::Trailers(0) } else { State::Chunk(size) };
                Ok(Part::Mark(line.len() + 2))
            }
            State::Trailers(seen) => {
                let Some(line) = line(buf, TRAILER_BYTES)? else { return Ok(Part::Need) };
                let seen = seen + line.len() + 2;
                if seen > TRAILER_BYTES {
                    return bad("the trailers are longer than 4 KiB");
                }
                self.0 = if line.is_empty() { State::Ended } else { State::Trailers(seen) };
                Ok(Part::Mark(line.len() + 2))
            }
        }
    }

    /// Records that the connection closed. Returns whether the body is complete.
    pub fn closed(&mut self) -> bool {
        if self.0 == State::UntilClose {
            self.0 = State::Ended;
        }
        self.ended()
    }
}

/// Returns the line at the front of `buf` without its CRLF; none while it is incomplete.
fn line(buf: &[u8], most: usize) -> Result<Option<&[u8]>, Refusal> {
    let bad = |why| Err(Refusal { status: 400, why });
    match buf.iter().position(|&b| b == b'\n') {
        Some(0) => bad("a line ends in LF without CR"),
        Some(end) if buf[end - 1] != b'\r' => bad("a line ends in LF without CR"),
        Some(end) if end < most => Ok(Some(&buf[..end - 1])),
        None if buf.len() < most => Ok(None),
        _ => bad("a line between chunks is too long"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    /// Decodes the body at the front of `bytes`, which arrive `step` at a time. Returns its content and length.
    fn walk(framing: Framing, bytes: &[u8], step: usize) -> Result<(Vec<u8>, usize), Refusal> {
        let (mut walk, mut data, mut at, mut have) = (Walk::new(framing), Vec::new(), 0, 0);
        loop {
            match walk.step(&bytes[at..have])? {
                Part::Data(n) => {
                    data.extend_from_slice(&bytes[at..at + n]);
                    at += n;
                }
                Part::Mark(n) => at += n,
                Part::End => return Ok((data, at)),
                Part::Need if have == bytes.len() => return Ok((data, usize::MAX)),
                Part::Need => have = (have + step).min(bytes.len()),
            }
        }
    }

    #[test]
    fn malformed_chunks_are_errors() {
        for bad in
            ["x\r\n", "5\nhello", "3\r\nabcd\r\n", "-1\r\n", "fffffffffffffffff\r\n", "5 5\r\nhello\r\n"]
        {
            assert!(walk(Framing::Chunked, bad.as_bytes(), 1).is_err(), "{bad:?}");
        }
        let endless = format!("5;{}", "x".repeat(300));
        assert!(walk(Framing::Chunked, endless.as_bytes(), 7).is_err());
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(10), ..ProptestConfig::with_cases(256) })]
        /// Chunks of any size, split at any byte, decode to the content, and the next message is left in the buffer.
        #[test]
        fn chunks_are_walked(parts in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 1..40), 0..6),
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
            prop_assert_eq!(walk(Framing::Chunked, &bytes, step), Ok((parts.concat(), length)));
        }
    }
}
