//! Reads requests from a client connection, within the limits on their size, time and memory.

use std::io::ErrorKind;
use std::time::Instant;

use ivydrift_policy::admission::MemoryUse;
use ivydrift_wire::body_framing::{BodyDecoder, Part};
use ivydrift_wire::http::{self, Framing, Request};

use super::caller::ReadError;
use super::client::ConnectionState;
use super::{Connection, NO_MEMORY, TOO_LONG, TOO_MANY_EMPTY_LINES, TOO_SLOW, WRITE_TIMEOUT};

/// Bytes of one read.
const READ_BYTES: usize = 4096;

/// Copies of a request's head: its fields, its target, and the head for a node.
const HEAD_COPIES: usize = 3;

/// The capacity of a buffer that has to grow to `needed` bytes: doubled, so that it grows seldom, but to no
/// more than `most` bytes unless they are needed.
pub(crate) fn grown_capacity(capacity: usize, needed: usize, most: usize) -> usize {
    needed.max((2 * capacity).min(most))
}

impl Connection<'_> {
    /// Memory held for the messages of this connection, in bytes.
    pub(super) fn buffer_bytes(&self) -> usize {
        self.buf.capacity() + self.message_bytes
    }

    /// Accounts for a message of which `message_bytes` are held besides a read buffer of `buffer_capacity`.
    fn hold_message(&mut self, message_bytes: usize, buffer_capacity: usize) -> Result<(), ReadError> {
        let bytes = message_bytes + buffer_capacity;
        if !self.edge.hold_memory(self.client, bytes, MemoryUse::IncompleteMessage(bytes)) {
            return Err(ReadError::Refused(NO_MEMORY));
        }
        self.message_bytes = message_bytes;
        Ok(())
    }

    /// Releases what was held for the last message.
    pub(super) fn release_message(&mut self) {
        self.message_bytes = 0;
        if self.buf.capacity() > READ_BYTES {
            self.buf.shrink_to(READ_BYTES);
        }
        let bytes = self.buffer_bytes();
        // Less than before, so there is room.
        self.edge.hold_memory(self.client, bytes, MemoryUse::Rpc);
    }

    /// Reads more bytes before `deadline`. The error is `on_timeout` if none have come until then.
    fn read_more(&mut self, deadline: Instant, on_timeout: ReadError) -> Result<(), ReadError> {
        if let Some(block) = self.edge.take_read_ahead(self.client) {
            return self.append(&block);
        }
        let mut chunk = [0; READ_BYTES];
        match self.socket.read(&mut chunk, Some(deadline)) {
            Ok(n) if n > 0 => self.append(&chunk[..n]),
            Err(e) if e.kind() == ErrorKind::TimedOut => Err(on_timeout),
            _ => Err(ReadError::Closed),
        }
    }

    /// Appends bytes to the buffer.
    fn append(&mut self, bytes: &[u8]) -> Result<(), ReadError> {
        let (length, capacity) = (self.buf.len(), self.buf.capacity());
        let needed = length + bytes.len();
        if needed > capacity {
            let capacity = grown_capacity(capacity.max(READ_BYTES / 2), needed, http::MAX_HEAD_BYTES);
            self.hold_message(self.message_bytes, capacity)?;
            self.buf.reserve_exact(capacity - length);
        }
        self.buf.extend_from_slice(bytes);
        Ok(())
    }

    /// Reads the next request head and the time its first byte arrived.
    pub(super) fn read_head(&mut self) -> Result<(Request, Instant), ReadError> {
        let limits = self.edge.limits();
        let first_message_by =
            limits.first_message_timeout.filter(|_| self.client.in_state(ConnectionState::New));
        let first_message_by = first_message_by.map(|within| self.client.accepted_at + within);
        let limit = |deadline: Instant| {
            first_message_by.map_or(deadline, |first_message_by| deadline.min(first_message_by))
        };
        let mut deadline = limit(Instant::now() + limits.client_idle_timeout);
        let mut first_byte_at = None;
        let mut empty_line_bytes = 0;
        loop {
            empty_line_bytes += self.drop_empty_lines();
            if empty_line_bytes > http::MAX_HEAD_BYTES {
                return Err(ReadError::Refused(TOO_MANY_EMPTY_LINES));
            }
            if !self.buf.is_empty() && first_byte_at.is_none() {
                if !self.client.begin_message() {
                    return Err(ReadError::Closed);
                }
                first_byte_at = Some(Instant::now());
                deadline = limit(Instant::now() + limits.message_timeout);
            }
            match http::parse_request(&self.buf) {
                Ok(Some((request, used))) => {
                    self.take_head(used)?;
                    return Ok((request, first_byte_at.unwrap_or_else(Instant::now)));
                }
                Ok(None) => {}
                Err(error) => return Err(ReadError::Refused(error)),
            }
            let on_timeout = match first_byte_at {
                Some(_) => ReadError::Refused(TOO_SLOW),
                None => ReadError::Closed,
            };
            self.read_more(deadline, on_timeout)?;
        }
    }

    /// Removes a parsed head of this length from the buffer, and accounts for its copies.
    fn take_head(&mut self, length: usize) -> Result<(), ReadError> {
        self.buf.drain(..length);
        if self.buf.capacity() > 2 * READ_BYTES {
            self.buf.shrink_to(READ_BYTES);
        }
        self.hold_message(HEAD_COPIES * length, self.buf.capacity())
    }

    /// Drops the empty lines before a request line (RFC 9112, section 2.2). Returns their length in bytes.
    fn drop_empty_lines(&mut self) -> usize {
        let count = self.buf.chunks_exact(2).take_while(|line| *line == b"\r\n").count();
        self.buf.drain(..2 * count);
        2 * count
    }

    /// Reads the body up to the buffered length. The decoder continues with whatever is left of it.
    pub(super) fn read_body_prefix(
        &mut self, request: &Request, first_byte_at: Instant,
    ) -> Result<(Vec<u8>, BodyDecoder), ReadError> {
        let limits = self.edge.limits();
        let longest = match request.framing {
            Framing::Length(n) if n > limits.max_body_bytes => return Err(ReadError::Refused(TOO_LONG)),
            Framing::Length(n) => (limits.buffered_body_bytes as u64 + READ_BYTES as u64).min(n) as usize,
            _ => limits.buffered_body_bytes + READ_BYTES,
        };
        let (mut decoder, mut body) = (BodyDecoder::new(request.framing), Vec::new());
        if request.expects_continue && !decoder.is_complete() && self.buf.is_empty() {
            self.write_continue()?;
        }
        let deadline = first_byte_at + limits.message_timeout;
        let mut at = 0;
        loop {
            let part = decoder.step(&self.buf[at..]).map_err(ReadError::Refused)?;
            match part {
                Part::Data(n) => {
                    self.reserve_body(&mut body, n, longest)?;
                    body.extend_from_slice(&self.buf[at..at + n]);
                    at += n;
                    if body.len() as u64 > limits.max_body_bytes {
                        return Err(ReadError::Refused(TOO_LONG));
                    }
                    if body.len() > limits.buffered_body_bytes && !decoder.is_complete() {
                        break;
                    }
                }
                Part::Framing(n) => at += n,
                Part::End => break,
                Part::Incomplete => {
                    self.buf.drain(..at);
                    at = 0;
                    self.read_more(deadline, ReadError::Refused(TOO_SLOW))?;
                }
            }
        }
        self.buf.drain(..at);
        Ok((body, decoder))
    }

    /// Makes room for `more` bytes of a body that is buffered up to `longest` bytes.
    fn reserve_body(&mut self, body: &mut Vec<u8>, more: usize, longest: usize) -> Result<(), ReadError> {
        let needed = body.len() + more;
        if needed <= body.capacity() {
            return Ok(());
        }
        let capacity = grown_capacity(body.capacity(), needed, longest);
        let message_bytes = self.message_bytes - body.capacity() + capacity;
        self.hold_message(message_bytes, self.buf.capacity())?;
        body.reserve_exact(capacity - body.len());
        // The allocator may have given more.
        self.message_bytes = message_bytes - capacity + body.capacity();
        Ok(())
    }

    /// Asks the client for the body that it holds back.
    fn write_continue(&self) -> Result<(), ReadError> {
        let deadline = Instant::now() + WRITE_TIMEOUT;
        let written = self.socket.write(b"HTTP/1.1 100 Continue\r\n\r\n", deadline);
        written.map_err(|_| ReadError::Closed)
    }
}
