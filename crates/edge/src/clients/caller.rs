//! The client's side of an RPC while a pick is in progress.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ivydrift_marshal::{Command, Id, Input};
use ivydrift_policy::admission::MemoryUse;
use ivydrift_wire::body_framing::{BodyDecoder, Part};
use ivydrift_wire::http::ParseError;

use super::{Client, TOO_LONG, TOO_SLOW, WRITE_TIMEOUT};
use crate::exchange::{Answer, BodyRead, Caller};
use crate::Edge;
use ivydrift_sockets::Socket;

/// The part of a request body that is not buffered and still has to come from the client.
pub struct RemainingBody {
    /// Position in the body's framing.
    pub decoder: BodyDecoder,
    /// The client must have sent the whole body by this time.
    pub deadline: Instant,
    /// Bytes buffered, and bytes streamed to a node.
    pub buffered: u64,
    pub streamed: u64,
    /// How long the current pick has waited for the client to send body bytes.
    pub waited: Duration,
    /// Why the client's body ended early.
    pub failure: Option<ReadError>,
}

/// Why a message was not read.
pub enum ReadError {
    /// The client closed the connection or was silent for too long.
    Closed,
    Refused(ParseError),
}

/// The client's side of an RPC while a pick is in progress.
pub struct ConnectionCaller<'a> {
    pub edge: &'a Arc<Edge>,
    pub client: &'a Client,
    /// Memory held for this RPC besides the answer that is being read, in bytes.
    pub held_bytes: usize,
    pub socket: &'a mut Socket,
    pub buf: &'a mut Vec<u8>,
    pub remaining: &'a mut RemainingBody,
    pub id: Id,
    pub pick: usize,
    /// The connection may stay open after this RPC.
    pub keep_alive: bool,
    /// Orders that came back while the pick ran.
    pub commands: Vec<Command>,
    /// The answer has begun to stream to the client.
    pub streaming: bool,
}

impl ConnectionCaller<'_> {
    /// Ends the body early.
    fn stop(&mut self, error: ReadError) -> BodyRead {
        self.remaining.failure = Some(error);
        BodyRead::Failed
    }

    /// Tells the core that the pick has consumed body bytes, and how long it waited for them.
    pub fn report_body_read(&self, waited: Duration) {
        let (id, pick) = (self.id, self.pick);
        self.edge.dispatch(Input::BodyConsumed { id, pick, waited }, id);
    }
}

impl Caller for ConnectionCaller<'_> {
    fn read_body(&mut self, wait: Duration) -> BodyRead {
        let began = Instant::now();
        self.client.close_read_ahead();
        if began >= self.remaining.deadline {
            return self.stop(ReadError::Refused(TOO_SLOW));
        }
        let read = loop {
            match self.remaining.decoder.step(self.buf) {
                Ok(Part::Data(n)) => {
                    if self.remaining.streamed == 0 {
                        self.report_body_read(Duration::ZERO);
                    }
                    self.remaining.streamed += n as u64;
                    if self.remaining.buffered + self.remaining.streamed > self.edge.limits().max_body_bytes {
                        return self.stop(ReadError::Refused(TOO_LONG));
                    }
                    break BodyRead::Data(self.buf.drain(..n).collect());
                }
                Ok(Part::Framing(n)) => {
                    self.buf.drain(..n);
                }
                Ok(Part::End) => break BodyRead::End,
                Ok(Part::Incomplete) => {
                    if let Some(block) = self.edge.take_read_ahead(self.client) {
                        self.buf.extend_from_slice(&block);
                        continue;
                    }
                    let mut chunk = [0; 8192];
                    match self.socket.read(&mut chunk, Some((began + wait).min(self.remaining.deadline))) {
                        Ok(n) if n > 0 => self.buf.extend_from_slice(&chunk[..n]),
                        Err(e) if e.kind() == ErrorKind::TimedOut => break BodyRead::Pending,
                        _ => return self.stop(ReadError::Closed),
                    }
                }
                Err(error) => return self.stop(ReadError::Refused(error)),
            }
        };
        self.remaining.waited += began.elapsed();
        read
    }

    fn hold_answer(&mut self, bytes: usize) -> bool {
        self.edge.hold_memory(self.client, self.held_bytes + bytes, MemoryUse::Rpc)
    }

    fn begin_answer(&mut self, answer: &Answer) -> bool {
        for command in self.edge.dispatch(Input::AnswerBegan { id: self.id, pick: self.pick }, self.id) {
            if let Command::Pass { picks, build, .. } = command {
                self.streaming = true;
                let close = !(self.keep_alive && self.remaining.decoder.is_complete());
                let head = answer.head_bytes(&self.edge.dialect, picks, build, close, self.edge.spread_ms());
                return self.send_part(&head);
            }
            self.commands.push(command);
        }
        false
    }

    fn send_part(&mut self, bytes: &[u8]) -> bool {
        self.socket.write(bytes, Instant::now() + WRITE_TIMEOUT).is_ok()
    }
}
