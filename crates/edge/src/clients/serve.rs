//! Serves one RPC of a client connection, from the request to its one final answer.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use ivydrift_marshal::{Command, Id, Input, Observation};
use ivydrift_policy::presence::AttemptDecision;
use ivydrift_wire::http::{HeadWriter, Request};

use super::caller::{ConnectionCaller, ReadError, RemainingBody};
use super::{Connection, Mail, Served, WRITE_TIMEOUT};
use crate::exchange::{Answer, OutgoingRequest, Pick};
use crate::guard::Attempt;

/// A pick as the core ordered it.
struct PickOrder {
    id: Id,
    pick: usize,
    node: SocketAddr,
    deadline: Instant,
    careful: bool,
}

/// How a pick ended.
struct EndedPick {
    /// Its answer, buffered.
    answer: Option<Answer>,
    /// The core's commands since it began.
    commands: Vec<Command>,
    /// Its answer was streamed to the client.
    streamed: bool,
    /// The node's answer was complete.
    complete: bool,
}

impl Connection<'_> {
    /// Carries one RPC to its final answer.
    pub(super) fn serve_rpc(
        &mut self, request: Request, body: Vec<u8>, mut remaining: RemainingBody, left: Option<Duration>,
        keep_alive: bool,
    ) -> Served {
        let (edge, client) = (self.edge, self.client);
        let id = edge.next_rpc_id();
        client.open_mailbox(id);
        let mut commands: VecDeque<Command> = {
            let fields = &request.fields;
            let call = edge.dialect.call(&request.target, fields, left);
            edge.begin_rpc(id, client, Input::Rpc { id, call }).into()
        };
        let Request { http_method, target, fields, framing, .. } = request;
        let framing = Some(framing).filter(|_| !remaining.decoder.is_complete());
        let outgoing = OutgoingRequest {
            http_method,
            target,
            fields,
            body,
            rest_framing: framing,
            via: edge.via.clone(),
        };
        let mut buffered: Option<(usize, Answer)> = None;
        let (mut keep_open, mut answered) = (keep_alive, false);
        let delivered = loop {
            let command = match commands.pop_front().map(Mail::Command).or_else(|| client.next_mail()) {
                Some(Mail::Command(command)) => command,
                Some(Mail::Disconnected) => break false,
                None => {
                    client.wake.wait();
                    continue;
                }
            };
            // An unread rest of the body would be parsed as the next RPC. Shutdown may also have begun in the
            // meantime.
            keep_open =
                keep_alive && remaining.decoder.is_complete() && !edge.stopping() && !edge.is_crowded();
            if let Command::Pick { pick, .. } = command {
                match edge.decide_attempt(id, client, Instant::now()) {
                    AttemptDecision::Begin => {}
                    AttemptDecision::Refuse => {
                        commands.extend(edge.refuse_attempt(id, pick));
                        continue;
                    }
                    AttemptDecision::Drop => {
                        edge.record_departure(id, client);
                        commands.push_front(command);
                        break false;
                    }
                }
            }
            match command {
                Command::Pick { pick, node, by, careful, .. } => {
                    let held_answer = buffered.as_ref().map_or(0, |(_, answer)| answer.held_bytes());
                    let order = PickOrder { id, pick, node, deadline: edge.instant(by), careful };
                    let ended = self.run_pick(&order, &outgoing, &mut remaining, held_answer, keep_alive);
                    buffered = ended.answer.map(|answer| (pick, answer)).or(buffered);
                    commands.extend(ended.commands);
                    if ended.streamed {
                        answered = true;
                        break ended.complete;
                    }
                    if remaining.failure.is_some() {
                        break false;
                    }
                }
                Command::Pass { pick, picks, build, .. } => {
                    let Some((_, answer)) = buffered.take().filter(|h| h.0 == pick) else { break false };
                    let head = answer.head_bytes(&edge.dialect, picks, build, !keep_open, edge.spread_ms());
                    answered = true;
                    let deadline = Instant::now() + WRITE_TIMEOUT;
                    break self.socket.write_message(head, &answer.body, deadline).is_ok();
                }
                Command::PushBack { picks, retry_after, why, .. } => {
                    let head = edge.dialect.push_back_head(picks, retry_after, why);
                    answered = true;
                    break self.write_answer(head, "pushed back: try again later\n", keep_open);
                }
                Command::Abort { picks, why, .. } => {
                    let head = edge.dialect.abort_head(picks, why);
                    answered = true;
                    break self.write_answer(head, "aborted: it may have run\n", keep_open);
                }
                Command::Reject { status, why, .. } => {
                    let head = HeadWriter::response(status).field("content-type", "text/plain");
                    answered = true;
                    break self.write_answer(head, &format!("{why}\n"), keep_open);
                }
                Command::BreakOff { .. } => break false,
                // The remaining commands are routed by `post` or do not concern a single RPC.
                _ => {}
            }
        };
        edge.end_rpc(id);
        let body_failed = remaining.failure.is_some();
        if !answered
            && !body_failed
            && !client.disconnected.load(Ordering::Acquire)
            && !self.socket.peer_closed()
        {
            edge.guard.closed_unanswered(id);
        }
        // Picks that were ordered but never begun, for example because the client left: the core counts them
        // as in flight until it is told otherwise.
        let unread_commands = client.close_mailbox().into_iter().filter_map(|mail| match mail {
            Mail::Command(command) => Some(command),
            Mail::Disconnected => None,
        });
        commands.into_iter().chain(unread_commands).for_each(|command| edge.discard_command(&command));
        match remaining.failure {
            Some(ReadError::Refused(error)) => Served::Refuse(error),
            None if delivered
                && keep_open
                && remaining.decoder.is_complete()
                && !client.disconnected.load(Ordering::Acquire) =>
            {
                Served::KeepAlive
            }
            _ => Served::Close,
        }
    }

    /// Carries out one pick and tells the core how it ended. `held_answer`: memory held for an earlier pick's
    /// answer, in bytes.
    fn run_pick(
        &mut self, order: &PickOrder, outgoing: &OutgoingRequest, remaining: &mut RemainingBody,
        held_answer: usize, keep_alive: bool,
    ) -> EndedPick {
        let (edge, client) = (self.edge, self.client);
        let &PickOrder { id, pick, node, deadline, careful } = order;
        client.begin_pick(id, pick);
        let admission = Attempt { edge, client, id, node, deadline };
        let attempt = Pick {
            node,
            deadline,
            careful,
            connect_timeout: edge.limits().connect_timeout,
            pool: &edge.pool,
            dialect: &edge.dialect,
            admission: &admission,
        };
        let held_bytes = self.buffer_bytes() + held_answer;
        let mut caller = ConnectionCaller {
            edge,
            client,
            held_bytes,
            socket: &mut self.socket,
            buf: &mut self.buf,
            remaining,
            id,
            pick,
            keep_alive,
            commands: vec![],
            streaming: false,
        };
        let (mut observation, answer) = attempt.run(outgoing, &**client, &mut caller);
        let waited = std::mem::take(&mut caller.remaining.waited);
        if caller.remaining.streamed > 0 {
            caller.report_body_read(waited);
        }
        let streamed = caller.streaming;
        if caller.remaining.failure.is_some() || matches!(observation, Observation::Cancelled) && streamed {
            edge.dispatch(Input::ClientLeft { id }, id);
        }
        let mut commands = caller.commands;
        client.end_pick();
        if client.disconnected.load(Ordering::Acquire) && answer.is_none() {
            observation = Observation::Cancelled;
        }
        commands.extend(edge.dispatch(Input::PickEnded { id, pick, observation }, id));
        let complete = matches!(observation, Observation::Answer { .. });
        EndedPick { answer, commands, streamed, complete }
    }

    /// Writes a short text answer. Returns false if the client did not accept it.
    pub(super) fn write_answer(&self, head: HeadWriter, text: &str, keep_open: bool) -> bool {
        let mut head = head.field("content-length", text.len().to_string());
        if let Some(ms) = self.edge.spread_ms() {
            head = head.field(ivydrift_wire::rpc::RECONNECT_SPREAD_MS, ms.to_string());
        }
        if !keep_open {
            head = head.field("connection", "close");
        }
        let bytes = [&head.finish()[..], text.as_bytes()].concat();
        self.socket.write(&bytes, Instant::now() + WRITE_TIMEOUT).is_ok()
    }
}
