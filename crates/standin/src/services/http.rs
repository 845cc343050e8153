//! The subset of HTTP/1.1 that these fakes need, on standard library sockets. It shares no code with the marshals'
//! implementation.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// The longest head or body accepted, in bytes.
const MAX_BYTES: usize = 1 << 20;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line, split at its first two spaces.
    first: Vec<String>,
    fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// A part of the first line; empty if there is none.
    pub fn start_line_part(&self, nth: usize) -> &str {
        self.first.get(nth).map_or("", String::as_str)
    }

    /// The value of a header field; the name is in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|f| f.0 == name).map(|f| &f.1[..])
    }

    /// The path of a request, without the query.
    pub fn path(&self) -> &str {
        self.start_line_part(1).split('?').next().unwrap_or_default()
    }

    /// The value of a query parameter.
    pub fn query(&self, name: &str) -> Option<&str> {
        let parameters =
            self.start_line_part(1).split_once('?')?.1.split('&').filter_map(|p| p.split_once('='));
        parameters.into_iter().find(|p| p.0 == name).map(|p| p.1)
    }
}

fn malformed(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// Reads the next message; `None` at the end of the stream.
///
/// # Errors
/// When the stream ends within a message, or the message is malformed.
pub fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let (mut message, mut bytes) = (Message::default(), 0);
    loop {
        let mut line = String::new();
        bytes += Read::take(&mut *stream, MAX_BYTES as u64).read_line(&mut line)?;
        let text = line.strip_suffix("\r\n");
        match (text, message.first.is_empty()) {
            (None, true) if line.is_empty() => return Ok(None),
            (None, _) => return Err(malformed("stream ended within a message head")),
            _ if bytes > MAX_BYTES => return Err(malformed("message head longer than 1 MiB")),
            (Some(text), true) => message.first = text.splitn(3, ' ').map(str::to_owned).collect(),
            (Some(""), false) => break,
            (Some(text), false) => {
                let (name, value) = text.split_once(':').ok_or(malformed("header field without a colon"))?;
                message.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }
    let length = message.field("content-length").map_or(Ok(0), str::parse);
    let length: usize = length.map_err(|_| malformed("content-length is not a number"))?;
    if length > MAX_BYTES {
        return Err(malformed("message body longer than 1 MiB"));
    }
    message.body = vec![0; length];
    stream.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Serializes a response.
pub fn response(status: u16, fields: &[(&str, String)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} So\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    format!("{text}\r\n{body}").into_bytes()
}
