//! As much of HTTP/1.1 as the stand-ins for many services need, on sockets of the standard library. Marshals have their
//! own, and neither knows the other's.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// The longest message taken.
const MOST: usize = 1 << 20;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line's words.
    first: Vec<String>,
    fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn word(&self, nth: usize) -> &str {
        self.first.get(nth).map_or("", String::as_str)
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|f| f.0 == name).map(|f| &f.1[..])
    }

    /// The path of a question, without its query.
    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or_default()
    }

    /// A word of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.word(1).split_once('?')?.1.split('&').filter_map(|p| p.split_once('='));
        pairs.into_iter().find(|p| p.0 == name).map(|p| p.1)
    }
}

fn wrong(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// The next message, by its Content-Length; none at the end of the stream.
///
/// # Errors
/// When the stream breaks in a message, or what comes is none.
pub fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let (mut message, mut bytes) = (Message::default(), 0);
    loop {
        let mut line = String::new();
        bytes += Read::take(&mut *stream, MOST as u64).read_line(&mut line)?;
        let text = line.strip_suffix("\r\n");
        match (text, message.first.is_empty()) {
            (None, true) if line.is_empty() => return Ok(None),
            (None, _) => return Err(wrong("the stream ends in a head")),
            _ if bytes > MOST => return Err(wrong("a head too long")),
            (Some(text), true) => message.first = text.splitn(3, ' ').map(str::to_owned).collect(),
            (Some(""), false) => break,
            (Some(text), false) => {
                let (name, value) = text.split_once(':').ok_or(wrong("a field without a colon"))?;
                message.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }
    let length = message.field("content-length").map_or(Ok(0), str::parse);
    let length: usize = length.map_err(|_| wrong("a length that is no number"))?;
    if length > MOST {
        return Err(wrong("a body too long"));
    }
    message.body = vec![0; length];
    stream.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// An answer as bytes.
pub fn answer(status: u16, fields: &[(&str, String)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} So\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    format!("{text}\r\n{body}").into_bytes()
}
