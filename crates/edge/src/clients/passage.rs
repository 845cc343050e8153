//! The client's side of an RPC while a pick is in progress.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ivydrift_marshal::{Id, Input, Order};
use ivydrift_wire::body::{Part, Walk};
use ivydrift_wire::http::Refusal;

use super::{SLOW_READER, TOO_LONG, TOO_SLOW};
use crate::exchange::{Answer, Caller, Drawn};
use crate::Edge;
use ivydrift_sockets::Socket;

/// The part of a request body that is not buffered and still has to come from the client.
pub struct Rest {
    /// Position in the body's framing.
    pub walk: Walk,
    /// The client must have sent the whole body by this time.
    pub by: Instant,
    /// Bytes buffered, and bytes streamed to a node.
    pub held: u64,
    pub taken: u64,
    /// How long the current pick has waited for the client to send body bytes.
    pub waited: Duration,
    /// Why the client's body ended early.
    pub stopped: Option<Unread>,
}

/// Why a message was not read.
pub enum Unread {
    /// The client closed the connection or was silent for too long.
    Over,
    Refused(Refusal),
}

/// The client's side of an RPC while a pick is in progress.
pub struct Passage<'a> {
    pub edge: &'a Arc<Edge>,
    pub socket: &'a mut Socket,
    pub buf: &'a mut Vec<u8>,
    pub rest: &'a mut Rest,
    pub id: Id,
    pub pick: usize,
    /// The connection may stay open after this RPC.
    pub go_on: bool,
    /// Orders that came back while the pick ran.
    pub orders: Vec<Order>,
    /// The answer has begun to stream to the client.
    pub passing: bool,
}

impl Passage<'_> {
    /// Ends the body early.
    fn stop(&mut self, why: Unread) -> Drawn {
        self.rest.stopped = Some(why);
        Drawn::Over
    }

    /// Tells the core that the pick has consumed body bytes, and how long it waited for them.
    pub fn drawn(&self, waited: Duration) {
        let (id, pick) = (self.id, self.pick);
        self.edge.tell(Input::Drawn { id, pick, waited }, id);
    }
}

impl Caller for Passage<'_> {
    fn draw(&mut self, wait: Duration) -> Drawn {
        let began = Instant::now();
        if began >= self.rest.by {
            return self.stop(Unread::Refused(TOO_SLOW));
        }
        let drawn = loop {
            match self.rest.walk.step(self.buf) {
                Ok(Part::Data(n)) => {
                    if self.rest.taken == 0 {
                        self.drawn(Duration::ZERO);
                    }
                    self.rest.taken += n as u64;
                    if self.rest.held + self.rest.taken > self.edge.bounds().longest_body {
                        return self.stop(Unread::Refused(TOO_LONG));
                    }
                    break Drawn::Data(self.buf.drain(..n).collect());
                }
                Ok(Part::Mark(n)) => {
                    self.buf.drain(..n);
                }
                Ok(Part::End) => break Drawn::End,
                Ok(Part::Need) => {
                    let mut part = [0; 8192];
                    match self.socket.read(&mut part, Some((began + wait).min(self.rest.by))) {
                        Ok(n) if n > 0 => self.buf.extend_from_slice(&part[..n]),
                        Err(e) if e.kind() == ErrorKind::TimedOut => break Drawn::Nothing,
                        _ => return self.stop(Unread::Over),
                    }
                }
                Err(refusal) => return self.stop(Unread::Refused(refusal)),
            }
        };
        self.rest.waited += began.elapsed();
        drawn
    }

    fn begin(&mut self, answer: &Answer) -> bool {
        for order in self.edge.tell(Input::Began { id: self.id, pick: self.pick }, self.id) {
            if let Order::Pass { picks, build, .. } = order {
                self.passing = true;
                let close = !(self.go_on && self.rest.walk.ended());
                let head = answer.head_bytes(&self.edge.dialect, picks, build, close, self.edge.spread_ms());
                return self.part(&head);
            }
            self.orders.push(order);
        }
        false
    }

    fn part(&mut self, bytes: &[u8]) -> bool {
        self.socket.write(bytes, Instant::now() + SLOW_READER).is_ok()
    }
}
