//! A client that opens a connection for each RPC.

use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use ivydrift_audit::trace::{AnswerKind, Event};

use super::{http, MultiServiceFakes};

/// How long it waits past the deadline, so that a late answer is seen and recorded.
const LATE_ANSWER_WAIT: Duration = Duration::from_secs(1);

/// An RPC to send.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    pub service: &'a str,
    pub method: &'a str,
    /// Time until the deadline.
    pub left: Duration,
    /// The routing key; 0 for none.
    pub key: u64,
    pub tenant: Option<&'a str>,
    /// The call that this is a further attempt of; `None` for a new call.
    pub call: Option<u64>,
}

impl<'a> Request<'a> {
    /// Creates an RPC with a deadline of two seconds, without key or tenant.
    pub fn new(service: &'a str, method: &'a str) -> Self {
        Request { service, method, left: Duration::from_secs(2), key: 0, tenant: None, call: None }
    }

    /// Sets the deadline, in milliseconds.
    #[must_use]
    pub fn within(self, ms: u64) -> Self {
        Request { left: Duration::from_millis(ms), ..self }
    }
}

/// The result of an RPC.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Answered {
        kind: AnswerKind,
        status: u16,
        build: u32,
        picks: u32,
        retry_after: Option<Duration>,
        took: Duration,
    },
    /// The marshal did not accept it as an RPC; the HTTP status.
    Rejected(u16),
    /// The connection ended without a complete answer.
    Broken,
    /// No connection could be made.
    Refused,
    /// No answer came in time.
    TimeUp,
}

impl Reply {
    /// The final answer, if there is one.
    pub fn kind(&self) -> Option<AnswerKind> {
        match self {
            Reply::Answered { kind, .. } => Some(*kind),
            _ => None,
        }
    }

    /// Whether the final answer is ok.
    pub fn ok(&self) -> bool {
        self.kind() == Some(AnswerKind::Ok)
    }
}

impl MultiServiceFakes {
    /// Sends an RPC to a marshal, and records it and its result in the trace.
    pub fn call(&self, (marshal, to): (u32, SocketAddr), ask: &Request) -> Reply {
        let (key, left_us) = (ask.key, ask.left.as_micros() as u64);
        let (id, call) = self.with(|env, now| {
            env.last_id += 1;
            let (id, call) = (env.last_id, ask.call.unwrap_or(env.last_id));
            let method = ask.method.to_owned();
            env.record(now, ask.service, Event::Asked { marshal, id, call, method, key, left_us });
            (id, call)
        });
        let reply = exchange(to, ask, (id, call));
        let seen = match reply {
            Reply::Answered { kind, build, picks, .. } => Event::Answered { id, kind, build, picks },
            Reply::Rejected(_) | Reply::Refused => Event::Refused { id },
            Reply::Broken => Event::Broken { id },
            Reply::TimeUp => Event::TimeUp { id },
        };
        self.with(|env, now| env.record(now, ask.service, seen));
        reply
    }
}

fn exchange(to: SocketAddr, ask: &Request, (id, call): (u64, u64)) -> Reply {
    let started = Instant::now();
    let Ok(mut stream) = TcpStream::connect_timeout(&to, ask.left) else { return Reply::Refused };
    let _ = stream.set_nodelay(true);
    let mut text = format!(
        "POST /{} HTTP/1.1\r\nHost: marshal\r\ngrpc-timeout: {}m\r\nidempotency-key: {call}\r\n\
         ivydrift-trace: {id}.{call}.{}\r\nContent-Length: 4\r\n",
        ask.method,
        ask.left.as_millis(),
        ask.key
    );
    if ask.key != 0 {
        text.push_str(&format!("ivydrift-key: {}\r\n", ask.key));
    }
    if let Some(tenant) = ask.tenant {
        text.push_str(&format!("ivydrift-tenant: {tenant}\r\n"));
    }
    text.push_str("\r\nask\n");
    if stream.write_all(text.as_bytes()).is_err() {
        return Reply::Broken;
    }
    let _ = stream.set_read_timeout(Some(ask.left + LATE_ANSWER_WAIT));
    let message = match http::read(&mut BufReader::new(stream)) {
        Ok(Some(message)) => message,
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return Reply::TimeUp,
        _ => return Reply::Broken,
    };
    let number = |name: &str| message.field(name).and_then(|n| n.parse::<u64>().ok());
    let status = message.start_line_part(1).parse().unwrap_or(0);
    let kind = match message.field("ivydrift-answer") {
        Some("ok") => AnswerKind::Ok,
        Some("pushed-back") => AnswerKind::PushedBack,
        Some("aborted") => AnswerKind::Aborted,
        _ => return Reply::Rejected(status),
    };
    let build = number("ivydrift-build").unwrap_or(0) as u32;
    let picks = number("ivydrift-picks").unwrap_or(0) as u32;
    let retry_after = number("retry-after-ms").map(Duration::from_millis);
    Reply::Answered { kind, status, build, picks, retry_after, took: started.elapsed() }
}
