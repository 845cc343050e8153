//! Encodes calls as HTTP requests and decodes the heads of answers.

use std::time::Duration;

use ivydrift_wire::http::{HeadWriter, Response};
use ivydrift_wire::rpc;

use crate::call::{Answer, Call};
use crate::core::Reply;

/// Upper limit of `retry-after-ms`; higher values are taken for a mistake.
const MAX_RETRY_AFTER_MS: u64 = 600_000;

/// Encodes a call. `previous_attempts`: number of attempts made before this one; `extra_field`: a further header field.
pub fn encode_call(
    call: &Call, time_left: Duration, previous_attempts: u32, extra_field: Option<(&str, String)>,
) -> Vec<u8> {
    let mut head = HeadWriter::request("POST", &format!("/{}", call.method))
        .field("host", "ivydrift")
        .field(rpc::TIMEOUT, rpc::format_timeout(time_left))
        .field("content-length", call.body.len().to_string());
    if previous_attempts > 0 {
        head = head.field(rpc::PREVIOUS_ATTEMPTS, previous_attempts.to_string());
    }
    if let Some(token) = call.token {
        head = head.field(rpc::IDEMPOTENCY_KEY, token);
    }
    if let Some(key) = call.key {
        head = head.field(rpc::ROUTING_KEY, key);
    }
    for (name, value) in
        call.fields.iter().map(|f| (f.0, &f.1)).chain(extra_field.as_ref().map(|f| (f.0, &f.1)))
    {
        head = head.field(name, value);
    }
    [&head.finish()[..], call.body].concat()
}

/// Reads the span over which the marshal wants its clients to reconnect if it goes away.
pub fn reconnect_spread(head: &Response) -> Option<Duration> {
    head.fields.get(rpc::RECONNECT_SPREAD_MS).and_then(|ms| ms.parse().ok()).map(Duration::from_millis)
}

/// Decodes an answer. One without the marshal's answer field and with a status from 500 on counts as aborted.
pub fn decode_answer(head: &Response, body: Vec<u8>) -> (Reply, Answer) {
    let number = |name| head.fields.get(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    let reply = match rpc::AnswerKind::read(&head.fields) {
        Some(rpc::AnswerKind::Ok) => Reply::Ok,
        Some(rpc::AnswerKind::PushedBack) => Reply::PushedBack {
            retry_after: Duration::from_millis(number(rpc::RETRY_AFTER_MS).min(MAX_RETRY_AFTER_MS)),
        },
        Some(rpc::AnswerKind::Aborted) => Reply::Aborted,
        None if head.status < 500 => Reply::Rejected,
        // Sent by an intermediary, so the RPC may have run.
        None => Reply::Aborted,
    };
    let (build, picks) = (number(rpc::BUILD) as u32, number(rpc::PICKS) as u32);
    (reply, Answer { status: head.status, body, build, picks })
}
