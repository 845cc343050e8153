//! Strict parser and writer for HTTP/1.1 message heads (RFC 9112). Messages that two parsers could interpret differently
//! are rejected, which prevents request smuggling.

use std::ops::Range;

/// Largest accepted head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of header fields.
pub const MAX_HEAD_FIELDS: usize = 64;

/// How a body is delimited (RFC 9112, section 6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Exactly this many bytes.
    Length(u64),
    Chunked,
    /// Responses only: the body ends when the connection closes.
    UntilClose,
}

/// Why a message was rejected, and the status code to answer with (RFC 9110).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseError {
    pub status: u16,
    pub reason: &'static str,
}

const fn refuse<T>(status: u16, reason: &'static str) -> Result<T, ParseError> {
    Err(ParseError { status, reason })
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Field {
    name: Range<usize>,
    value: Range<usize>,
}

/// The header fields of one message, stored as ranges of its raw head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fields {
    raw: Vec<u8>,
    fields: Vec<Field>,
}

impl Fields {
    fn new(raw: &[u8], parsed: &[httparse::Header]) -> Self {
        // httparse returns slices of `raw`; ranges stay valid after the receive buffer is reused.
        let range_of = |part: &[u8]| {
            let start = part.as_ptr() as usize - raw.as_ptr() as usize;
            start..start + part.len()
        };
        let fields = parsed
            .iter()
            .map(|h| Field { name: range_of(h.name.as_bytes()), value: range_of(h.value) })
            .collect();
        Fields { raw: raw.to_vec(), fields }
    }

    /// Iterates over all fields in order, as name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|field| {
            (std::str::from_utf8(&self.raw[field.name.clone()]).unwrap_or(""), &self.raw[field.value.clone()])
        })
    }

    /// Iterates over all values of a field; the name is case-insensitive.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let matches =
            move |field: &&Field| self.raw[field.name.clone()].eq_ignore_ascii_case(name.as_bytes());
        self.fields.iter().filter(matches).map(|field| &self.raw[field.value.clone()])
    }

    /// Returns the first value of a field if it is valid UTF-8.
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.values(name).next().and_then(|v| std::str::from_utf8(v).ok()).map(str::trim)
    }

    /// Whether a comma-separated list field contains `word`, ignoring case.
    pub fn list_contains<'a>(&'a self, name: &'a str, word: &str) -> bool {
        self.values(name)
            .filter_map(|v| std::str::from_utf8(v).ok())
            .flat_map(|v| v.split(','))
            .any(|item| item.trim().eq_ignore_ascii_case(word))
    }
}

/// A parsed request head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The HTTP method; `method` is the name for what an RPC calls.
    pub http_method: String,
    pub target: String,
    pub fields: Fields,
    pub framing: Framing,
    /// The connection may be reused for another message.
    pub keep_alive: bool,
    /// The client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// A parsed response head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub fields: Fields,
    pub framing: Framing,
    /// The connection may be reused for another message.
    pub keep_alive: bool,
}

/// A parsed head and its length in bytes; none while the head is incomplete.
pub type Parsed<T> = Result<Option<(T, usize)>, ParseError>;

/// Parses a request head at the front of `buf`.
pub fn parse_request(buf: &[u8]) -> Parsed<Request> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEAD_FIELDS];
    let mut head = httparse::Request::new(&mut headers);
    let used = match head.parse(&buf[..buf.len().min(MAX_HEAD_BYTES)]) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) if buf.len() >= MAX_HEAD_BYTES => {
            return refuse(431, "the head is longer than 16 KiB");
        }
        Ok(httparse::Status::Partial) => {
            reject_bare_lf(buf)?;
            return Ok(None);
        }
        Err(httparse::Error::TooManyHeaders) => return refuse(431, "more than 64 header fields"),
        Err(httparse::Error::Version) => return refuse(505, "only HTTP/1.0 and HTTP/1.1 are spoken"),
        Err(_) => return refuse(400, "the head is malformed"),
    };
    reject_bare_lf(&buf[..used])?;
    let (http_method, target) = (head.method.unwrap_or("").to_owned(), head.path.unwrap_or("").to_owned());
    let is_http_1_1 = head.version == Some(1);
    let fields = Fields::new(&buf[..used], head.headers);
    if !target.starts_with('/') {
        return refuse(400, "the target is not a path");
    }
    let host_count = fields.values("host").count();
    if host_count > 1 || (is_http_1_1 && host_count == 0) {
        return refuse(400, "there must be one Host field");
    }
    let framing = match framing(&fields, is_http_1_1)? {
        Some(framing) => framing,
        None => Framing::Length(0),
    };
    let expects_continue = match fields.get("expect") {
        None => false,
        Some(expectation) if is_http_1_1 && expectation.eq_ignore_ascii_case("100-continue") => true,
        Some(_) => return refuse(417, "only 100-continue can be expected"),
    };
    let keep_alive = is_persistent(&fields, is_http_1_1);
    Ok(Some((Request { http_method, target, fields, framing, keep_alive, expects_continue }, used)))
}

/// Parses a response head at the front of `buf`. `to_head` says that it answers a HEAD request.
pub fn parse_response(buf: &[u8], to_head: bool) -> Parsed<Response> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEAD_FIELDS];
    let mut head = httparse::Response::new(&mut headers);
    let used = match head.parse(&buf[..buf.len().min(MAX_HEAD_BYTES)]) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) if buf.len() >= MAX_HEAD_BYTES => {
            return refuse(502, "the head is too long")
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return refuse(502, "the head is malformed"),
    };
    reject_bare_lf(&buf[..used])?;
    let (status, is_http_1_1) = (head.code.unwrap_or(0), head.version == Some(1));
    if !(100..600).contains(&status) {
        return refuse(502, "the status code is not between 100 and 599");
    }
    let fields = Fields::new(&buf[..used], head.headers);
    let bodiless = to_head || status < 200 || status == 204 || status == 304;
    let framing = match framing(&fields, is_http_1_1)? {
        _ if bodiless => Framing::Length(0),
        Some(framing) => framing,
        None => Framing::UntilClose,
    };
    let keep_alive = is_persistent(&fields, is_http_1_1) && framing != Framing::UntilClose;
    Ok(Some((Response { status, fields, framing, keep_alive }, used)))
}

/// Rejects an LF without CR, which ends a line for some parsers but not for others.
fn reject_bare_lf(head: &[u8]) -> Result<(), ParseError> {
    let is_bare_lf = |i: usize| head[i] == b'\n' && (i == 0 || head[i - 1] != b'\r');
    if (0..head.len()).any(is_bare_lf) {
        return refuse(400, "a line ends in LF without CR");
    }
    Ok(())
}

/// Determines the body framing from the fields; none if they do not state one.
fn framing(fields: &Fields, is_http_1_1: bool) -> Result<Option<Framing>, ParseError> {
    let mut codings = fields.values("transfer-encoding");
    let mut lengths = fields.values("content-length");
    match (codings.next(), lengths.next()) {
        (Some(_), Some(_)) => refuse(400, "both Transfer-Encoding and Content-Length"),
        (Some(_), None) if !is_http_1_1 => refuse(400, "Transfer-Encoding in HTTP/1.0"),
        (Some(coding), None) if coding.eq_ignore_ascii_case(b"chunked") && codings.next().is_none() => {
            Ok(Some(Framing::Chunked))
        }
        (Some(_), None) => refuse(501, "the only transfer coding spoken is chunked"),
        (None, Some(length)) => {
            if lengths.next().is_some() {
                return refuse(400, "more than one Content-Length");
            }
            let digits = !length.is_empty() && length.len() <= 18 && length.iter().all(u8::is_ascii_digit);
            match std::str::from_utf8(length).ok().filter(|_| digits).and_then(|l| l.parse().ok()) {
                Some(length) => Ok(Some(Framing::Length(length))),
                None => refuse(400, "Content-Length is not a number"),
            }
        }
        (None, None) => Ok(None),
    }
}

/// Whether the connection is persistent (RFC 9112, section 9.3).
fn is_persistent(fields: &Fields, is_http_1_1: bool) -> bool {
    if is_http_1_1 {
        !fields.list_contains("connection", "close")
    } else {
        fields.list_contains("connection", "keep-alive")
    }
}

/// Whether a field applies to a single connection (RFC 9110, section 7.6.1) or is rewritten for each hop. Fields named by
/// `Connection` are hop-by-hop as well.
pub fn is_hop_by_hop(name: &str) -> bool {
    const HOP_BY_HOP: [&str; 9] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    ];
    HOP_BY_HOP.iter().any(|known| name.eq_ignore_ascii_case(known))
}

/// Builds a message head. Values are not checked for line breaks: they come from parsed messages or from this program.
pub struct HeadWriter(Vec<u8>);

impl HeadWriter {
    /// Starts a request head.
    pub fn request(http_method: &str, target: &str) -> Self {
        HeadWriter(format!("{http_method} {target} HTTP/1.1\r\n").into_bytes())
    }

    /// Starts a response head.
    pub fn response(status: u16) -> Self {
        HeadWriter(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).into_bytes())
    }

    /// Adds a field.
    pub fn field(mut self, name: &str, value: impl AsRef<[u8]>) -> Self {
        self.0.extend_from_slice(name.as_bytes());
        self.0.extend_from_slice(b": ");
        self.0.extend_from_slice(value.as_ref());
        self.0.extend_from_slice(b"\r\n");
        self
    }

    /// Copies the end-to-end fields of another message, except those listed in `but`.
    pub fn copy_end_to_end(mut self, fields: &Fields, except: &[&str]) -> Self {
        let has_connection = fields.get("connection").is_some();
        for (name, value) in fields.iter() {
            let excluded = except.iter().any(|field| name.eq_ignore_ascii_case(field));
            let is_hop_by_hop =
                is_hop_by_hop(name) || (has_connection && fields.list_contains("connection", name));
            if !excluded && !is_hop_by_hop {
                self = self.field(name, value);
            }
        }
        self
    }

    /// Returns the complete head, with the blank line that ends it.
    pub fn finish(mut self) -> Vec<u8> {
        self.0.extend_from_slice(b"\r\n");
        self.0
    }
}

/// Returns the reason phrase of a status code.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        417 => "Expectation Failed",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Other",
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    fn status(text: &str) -> u16 {
        parse_request(text.as_bytes()).unwrap_err().status
    }

    #[test]
    fn a_plain_head_parses() {
        let text = "POST /calendar-read HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
        let (head, used) = parse_request(text.as_bytes()).unwrap().unwrap();
        assert_eq!((&*head.http_method, &*head.target, used), ("POST", "/calendar-read", text.len() - 3));
        assert_eq!((head.framing, head.keep_alive), (Framing::Length(3), true));
    }

    #[test]
    fn ambiguous_heads_are_rejected() {
        let status_with = |fields: &str| status(&format!("POST /a HTTP/1.1\r\nHost: a\r\n{fields}\r\n"));
        assert_eq!(status_with("Content-Length: 3\r\nContent-Length: 4\r\n"), 400);
        assert_eq!(status_with("Content-Length: 3\r\nContent-Length: 3\r\n"), 400);
        assert_eq!(status_with("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"), 400);
        assert_eq!(status_with("Content-Length: +3\r\n"), 400);
        assert_eq!(status_with("Content-Length: 3, 3\r\n"), 400);
        assert_eq!(status_with("Transfer-Encoding: xchunked\r\n"), 501);
        assert_eq!(status_with("Transfer-Encoding: gzip, chunked\r\n"), 501);
        assert_eq!(status_with("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n"), 501);
        assert_eq!(status_with("Transfer-Encoding : chunked\r\n"), 400);
        assert_eq!(status_with("X: a\r\n folded\r\n"), 400);
        assert_eq!(status_with("Host: b\r\n"), 400);
        assert_eq!(status_with("Expect: 200-maybe\r\n"), 417);
        assert_eq!(status("POST /a HTTP/1.1\nHost: a\r\n\r\n"), 400);
        assert_eq!(status("POST /a HTTP/1.1\r\n\r\n"), 400);
        assert_eq!(status("POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"), 400);
        assert_eq!(status("POST /a HTTP/3.1\r\nHost: a\r\n\r\n"), 505);
    }

    #[test]
    fn oversized_heads_are_rejected_before_they_are_complete() {
        let long = format!("POST /a HTTP/1.1\r\nHost: a\r\nX: {}", "y".repeat(MAX_HEAD_BYTES));
        assert_eq!(status(&long), 431);
        let many = "X: y\r\n".repeat(MAX_HEAD_FIELDS + 1);
        assert_eq!(status(&format!("POST /a HTTP/1.1\r\n{many}\r\n")), 431);
    }

    #[test]
    fn hop_by_hop_fields_are_not_passed_on() {
        let text =
            "GET /a HTTP/1.1\r\nHost: a\r\nConnection: X-Mine\r\nX-Mine: 1\r\nTE: trailers\r\nY: 2\r\n\r\n";
        let (head, _) = parse_request(text.as_bytes()).unwrap().unwrap();
        let out = HeadWriter::request("GET", "/a").copy_end_to_end(&head.fields, &["host"]).finish();
        assert_eq!(String::from_utf8(out).unwrap(), "GET /a HTTP/1.1\r\nY: 2\r\n\r\n");
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(10), ..ProptestConfig::with_cases(512) })]
        /// A partial head gives none, and a complete one the same result whatever follows it.
        #[test]
        fn a_head_parses_only_when_complete(cut in 0usize..60, junk in proptest::collection::vec(any::<u8>(), 0..40)) {
            let text = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n";
            let cut = cut.min(text.len() - 1);
            prop_assert_eq!(parse_request(&text[..cut]), Ok(None));
            let message = [&text[..], &junk].concat();
            let (head, used) = parse_request(&message).unwrap().unwrap();
            prop_assert_eq!((used, head.framing), (text.len(), Framing::Length(3)));
        }
        /// Arbitrary bytes do not make the parser panic.
        #[test]
        fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            let _ = parse_request(&bytes);
            let _ = parse_response(&bytes, false);
        }
    }
}
