//! Reads complete HTTP messages, head and body, for callers that do not stream them.

use std::io::{self, ErrorKind};

use crate::body_framing::{BodyDecoder, Part};
use crate::http::{self, Framing, Parsed, Request, Response};

/// Reads a request. `read_more` appends bytes to the buffer and returns false at the end of the stream. Bytes after the
/// message stay in the buffer.
///
/// # Errors
/// Returns errors of `read_more`; `UnexpectedEof` if the stream ends within the message; `InvalidData`, with the reason, if
/// the message is malformed or its body is longer than `max_body` bytes.
pub fn read_request(
    buf: &mut Vec<u8>, max_body: usize, mut read_more: impl FnMut(&mut Vec<u8>) -> io::Result<bool>,
) -> io::Result<(Request, Vec<u8>)> {
    let head = head(buf, &mut read_more, http::parse_request)?;
    let body = body(buf, head.framing, max_body, &mut read_more)?;
    Ok((head, body))
}

/// Reads a response to any request but HEAD, skipping interim (1xx) responses; otherwise like [`read_request`].
///
/// # Errors
/// As for [`read_request`]; also `InvalidData` after 8 interim responses.
pub fn read_response(
    buf: &mut Vec<u8>, max_body: usize, mut read_more: impl FnMut(&mut Vec<u8>) -> io::Result<bool>,
) -> io::Result<(Response, Vec<u8>)> {
    // Bounds the number of interim responses, so that a peer cannot keep this loop running.
    for _ in 0..8 {
        let head = head(buf, &mut read_more, |buf| http::parse_response(buf, false))?;
        if head.status >= 200 {
            let body = body(buf, head.framing, max_body, &mut read_more)?;
            return Ok((head, body));
        }
    }
    Err(invalid_data("too many interim responses"))
}

fn invalid_data(why: &'static str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, why)
}

fn head<T>(
    buf: &mut Vec<u8>, read_more: &mut impl FnMut(&mut Vec<u8>) -> io::Result<bool>,
    parse: impl Fn(&[u8]) -> Parsed<T>,
) -> io::Result<T> {
    loop {
        match parse(buf).map_err(|error| invalid_data(error.reason))? {
            Some((head, used)) => {
                buf.drain(..used);
                return Ok(head);
            }
            None if read_more(buf)? => {}
            None => return Err(ErrorKind::UnexpectedEof.into()),
        }
    }
}

fn body(
    buf: &mut Vec<u8>, framing: Framing, max_body: usize,
    read_more: &mut impl FnMut(&mut Vec<u8>) -> io::Result<bool>,
) -> io::Result<Vec<u8>> {
    let (mut decoder, mut body, mut at) = (BodyDecoder::new(framing), Vec::new(), 0);
    loop {
        match decoder.step(&buf[at..]).map_err(|error| invalid_data(error.reason))? {
            Part::Data(n) => {
                body.extend_from_slice(&buf[at..at + n]);
                at += n;
                if body.len() > max_body {
                    return Err(invalid_data("the body is longer than the limit"));
                }
            }
            Part::Framing(n) => at += n,
            Part::End => break,
            Part::Incomplete => {
                buf.drain(..at);
                at = 0;
                if !read_more(buf)? {
                    if decoder.on_close() {
                        break;
                    }
                    return Err(ErrorKind::UnexpectedEof.into());
                }
            }
        }
    }
    buf.drain(..at);
    Ok(body)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A reader that returns `bytes` in parts of `step`.
    fn parts(bytes: &[u8], step: usize) -> impl FnMut(&mut Vec<u8>) -> io::Result<bool> + '_ {
        let mut remaining = bytes;
        move |buf| {
            let (part, rest) = remaining.split_at(step.min(remaining.len()));
            buf.extend_from_slice(part);
            remaining = rest;
            Ok(!part.is_empty())
        }
    }

    #[test]
    fn messages_split_anywhere_are_read_without_the_next_one() {
        let first = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
                      3\r\nabc\r\n0\r\n\r\n";
        let both = [&first[..], b"HTTP/1.1 204 No\r\n\r\n"].concat();
        for step in 1..both.len() {
            let (mut buf, mut read_more) = (Vec::new(), parts(&both, step));
            let (head, body) = read_response(&mut buf, 3, &mut read_more).unwrap();
            assert_eq!((head.status, &body[..]), (200, &b"abc"[..]), "parts of {step}");
            assert_eq!(read_response(&mut buf, 3, &mut read_more).unwrap().0.status, 204);
            assert!(buf.is_empty());
        }
    }

    #[test]
    fn truncated_too_long_and_malformed_messages_are_errors() {
        let error_kind = |text: &str, max_body| {
            read_request(&mut Vec::new(), max_body, parts(text.as_bytes(), 7)).map_err(|e| e.kind()).err()
        };
        let post = "POST /x HTTP/1.1\r\nHost: m\r\nContent-Length: 5\r\n\r\n";
        assert_eq!(error_kind(&format!("{post}12345"), 5), None);
        assert_eq!(error_kind(&format!("{post}1234"), 5), Some(ErrorKind::UnexpectedEof));
        assert_eq!(error_kind(&format!("{post}12345"), 4), Some(ErrorKind::InvalidData));
        assert_eq!(error_kind("POST /x\r\n\r\n", 5), Some(ErrorKind::InvalidData));
        let until_close = b"HTTP/1.0 200 OK\r\n\r\nto the end";
        assert!(read_response(&mut Vec::new(), 9, parts(until_close, 4)).is_err());
        let (head, body) = read_response(&mut Vec::new(), 10, parts(until_close, 4)).unwrap();
        assert_eq!((head.status, &body[..]), (200, &b"to the end"[..]));
    }
}
