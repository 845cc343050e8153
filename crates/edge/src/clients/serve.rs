//! Serves one RPC of a client connection, from the request to its one final answer.

use std::collections::VecDeque;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use ivydrift_marshal::{Input, Order, Saw};
use ivydrift_wire::http::{HeadWriter, Request};

use super::passage::{Passage, Rest, Unread};
use super::{Connection, Mail, Served, SLOW_READER};
use crate::exchange::{Answer, Outgoing, Pick};
use crate::guard::Attempt;

impl Connection<'_> {
    /// Carries one RPC to its final answer.
    pub(super) fn serve(
        &mut self, request: Request, body: Vec<u8>, mut rest: Rest, left: Option<Duration>, go_on: bool,
    ) -> Served {
        let (edge, client) = (self.edge, self.client);
        let id = edge.next_id();
        client.open(id);
        let mut orders: VecDeque<Order> = {
            let fields = &request.fields;
            let call = edge.dialect.call(&request.target, fields, left);
            edge.begin(id, client, Input::Rpc { id, call }).into()
        };
        let Request { verb, target, fields, framing, .. } = request;
        let framing = Some(framing).filter(|_| !rest.walk.ended());
        let outgoing = Outgoing { verb, target, fields, body, rest: framing, via: edge.via.clone() };
        let mut held: Option<(usize, Answer)> = None;
        let (mut keep, mut answered) = (go_on, false);
        let fine = loop {
            let order = match orders.pop_front().map(Mail::Order).or_else(|| client.next()) {
                Some(Mail::Order(order)) => order,
                Some(Mail::Gone) => break false,
                None => {
                    client.wake.wait();
                    continue;
                }
            };
            // An unread rest of the body would be parsed as the next RPC. Shutdown may also have begun in the
            // meantime.
            keep = go_on && rest.walk.ended() && !edge.stopping() && !edge.crowded();
            match order {
                Order::Pick { .. } if client.gone.load(Ordering::Acquire) => {
                    orders.push_front(order);
                    break false;
                }
                Order::Pick { pick, node, by, careful, .. } => {
                    client.begin(id, pick);
                    let by = edge.instant(by);
                    let (connect, pool, dialect) = (edge.bounds().connect, &edge.pool, &edge.dialect);
                    let admission = Attempt { edge, id, node, by };
                    let run = Pick { node, by, careful, connect, pool, dialect, admission: &admission };
                    let (socket, buf, rest) = (&mut self.socket, &mut self.buf, &mut rest);
                    let mut passage =
                        Passage { edge, socket, buf, rest, id, pick, go_on, orders: vec![], passing: false };
                    let (mut saw, answer) = run.run(&outgoing, &**client, &mut passage);
                    let waited = std::mem::take(&mut passage.rest.waited);
                    if passage.rest.taken > 0 {
                        passage.drawn(waited);
                    }
                    let passing = passage.passing;
                    if passage.rest.stopped.is_some() || matches!(saw, Saw::Severed) && passing {
                        edge.tell(Input::ClientLeft { id }, id);
                    }
                    orders.extend(passage.orders);
                    client.end();
                    if client.gone.load(Ordering::Acquire) && answer.is_none() {
                        saw = Saw::Severed;
                    }
                    held = answer.map(|a| (pick, a)).or(held);
                    orders.extend(edge.tell(Input::Ended { id, pick, saw }, id));
                    if passing {
                        answered = true;
                        let whole = matches!(saw, Saw::Answer { .. });
                        break whole;
                    }
                    if rest.stopped.is_some() {
                        break false;
                    }
                }
                Order::Pass { pick, picks, build, .. } => {
                    let Some((_, answer)) = held.take().filter(|h| h.0 == pick) else { break false };
                    let mut bytes = answer.head_bytes(&edge.dialect, picks, build, !keep, edge.spread_ms());
                    bytes.extend_from_slice(&answer.body);
                    answered = true;
                    break self.socket.write(&bytes, Instant::now() + SLOW_READER).is_ok();
                }
                Order::PushBack { picks, retry_after, why, .. } => {
                    let head = edge.dialect.push_back(picks, retry_after, why);
                    answered = true;
                    break self.finish(head, "pushed back: try again later\n", keep);
                }
                Order::Abort { picks, why, .. } => {
                    let head = edge.dialect.abort(picks, why);
                    answered = true;
                    break self.finish(head, "aborted: it may have run\n", keep);
                }
                Order::Reject { status, why, .. } => {
                    let head = HeadWriter::response(status).field("content-type", "text/plain");
                    answered = true;
                    break self.finish(head, &format!("{why}\n"), keep);
                }
                Order::BreakOff { .. } => break false,
                // The remaining orders are routed by `post` or do not concern a single RPC.
                _ => {}
            }
        };
        edge.end(id);
        let refused_later = rest.stopped.is_some();
        if !answered && !refused_later && !client.gone.load(Ordering::Acquire) && !self.socket.left() {
            edge.guard.closed_unanswered(id);
        }
        // Picks that were ordered but never begun, for example because the client left: the core counts them
        // as in flight until it is told otherwise.
        let unread = client.shut().into_iter().filter_map(|mail| match mail {
            Mail::Order(order) => Some(order),
            Mail::Gone => None,
        });
        orders.into_iter().chain(unread).for_each(|order| edge.not_begun(&order));
        match rest.stopped {
            Some(Unread::Refused(refusal)) => Served::Refuse(refusal),
            None if fine && keep && rest.walk.ended() && !client.gone.load(Ordering::Acquire) => Served::On,
            _ => Served::Close,
        }
    }

    /// Writes a short text answer. Returns false if the client did not accept it.
    pub(super) fn finish(&self, head: HeadWriter, text: &str, keep: bool) -> bool {
        let mut head = head.field("content-length", text.len().to_string());
        if let Some(ms) = self.edge.spread_ms() {
            head = head.field(ivydrift_wire::rpc::SPREAD_MS, ms.to_string());
        }
        if !keep {
            head = head.field("connection", "close");
        }
        let bytes = [&head.finish()[..], text.as_bytes()].concat();
        self.socket.write(&bytes, Instant::now() + SLOW_READER).is_ok()
    }
}
