//! The client's end of an RPC while a pick is out.

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

/// The part of a body that is not held, still with the client.
pub struct Rest {
    pub walk: Walk,
    /// The client must have sent all of it by then.
    pub by: Instant,
    /// Bytes held, and bytes that went past to a node.
    pub held: u64,
    pub taken: u64,
    /// How long the present pick waited for the client to send it.
    pub waited: Duration,
    /// The client gave no more.
    pub stopped: Option<Unread>,
}

/// Why a message was not read.
pub enum Unread {
    /// The client closed, or said nothing for too long.
    Over,
    Refused(Refusal),
}

/// The client's end of an RPC while a pick is out.
pub struct Passage<'a> {
    pub edge: &'a Arc<Edge>,
    pub socket: &'a mut Socket,
    pub buf: &'a mut Vec<u8>,
    pub rest: &'a mut Rest,
    pub id: Id,
    pub pick: usize,
    pub go_on: bool,
    pub orders: Vec<Order>,
    pub passing: bool,
}

impl Passage<'_> {
    fn stop(&mut self, why: Unread) -> Drawn {
        self.rest.stopped = Some(why);
        Drawn::Over
    }

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
