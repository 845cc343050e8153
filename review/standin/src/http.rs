//! HTTP/1.1 messages with a Content-Length, as the platform's pages speak them.

use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A message that was read whole.
pub struct Message {
    pub start_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When its first and its last byte were read.
    pub first: Instant,
    pub last: Instant,
}

impl Message {
    /// A field's value; `name` in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| &**v)
    }

    /// The status of an answer; 0 where the line is not one of an answer.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }

    fn closes(&self) -> bool {
        self.field("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }

    /// Whether the connection stays open after this message.
    pub fn keeps(&self) -> bool {
        !self.closes()
    }
}

/// A connection with what was read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buf: Vec::new() }
    }

    /// Reads the next message. `None`: the far side closed between two messages, or in one.
    pub fn read(&mut self, until: Option<Instant>) -> io::Result<Option<Message>> {
        let mut first = (!self.buf.is_empty()).then(Instant::now);
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                let mut lines = head.split("\r\n");
                let start_line = lines.next().unwrap_or("").to_owned();
                let fields: Vec<(String, String)> = lines
                    .filter_map(|l| l.split_once(':'))
                    .map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()))
                    .collect();
                let length = fields.iter().find(|(n, _)| n == "content-length");
                let length: usize = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
                if self.buf.len() >= end + 4 + length {
                    let body = self.buf[end + 4..end + 4 + length].to_vec();
                    self.buf.drain(..end + 4 + length);
                    let last = Instant::now();
                    return Ok(Some(Message {
                        start_line,
                        fields,
                        body,
                        first: first.unwrap_or(last),
                        last,
                    }));
                }
            }
            let left = match until {
                Some(until) => {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        return Err(ErrorKind::TimedOut.into());
                    }
                    Some(left.max(Duration::from_millis(1)))
                }
                None => None,
            };
            self.stream.set_read_timeout(left)?;
            let mut chunk = [0; 8192];
            match self.stream.read(&mut chunk) {
                Ok(0) => return Ok(None),
                Ok(n) => {
                    first.get_or_insert_with(Instant::now);
                    self.buf.extend_from_slice(&chunk[..n]);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Err(ErrorKind::TimedOut.into())
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Writes an answer.
    pub fn answer(&mut self, status: u16, fields: &str, body: &str) -> io::Result<()> {
        let text = format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len());
        self.stream.write_all(text.as_bytes())
    }
}
