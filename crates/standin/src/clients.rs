//! The clients of a run on sockets: applications that call marshals through the client library. The library
//! makes the attempts; an observer writes each of them to the trace.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use ivydrift_audit::trace::AnswerKind as Answer;
use ivydrift_client::coroutine::Channel;
use ivydrift_client::{AttemptOutcome, Builder, Call, Cancel, ClientConfig, Error, Kind, Observer, Reply};
use ivydrift_policy::port::Repeat;
use ivydrift_sockets::coroutine::{sleep, spawn};
use ivydrift_wire::rpc;

use crate::day::Day;
use crate::environment::{Attempt, AttemptEnd};
use crate::run_state::RunState;

/// Applications per marshal, each with its own channel, that have this marshal as the nearest one.
const APPS_PER_MARSHAL: usize = 6;

/// The channels of all applications.
pub(crate) struct Clients {
    /// By the nearest marshal.
    channels: Vec<Vec<Channel>>,
}

impl Clients {
    pub fn new(run: &Arc<RunState>, day: &Day) -> io::Result<Self> {
        let traffic = &day.traffic;
        let retry_budget =
            if traffic.retries > 0 { (0.1 * f64::from(traffic.retries), 10.0) } else { (0.0, 0.0) };
        let config = ClientConfig {
            max_queued_calls: 2000,
            max_connections_per_marshal: 200,
            max_handshakes: 8,
            retries_per_call: retry_budget.0,
            max_retry_budget: retry_budget.1,
            retry_backoff: [traffic.retry_wait, Duration::from_secs(1).max(traffic.retry_wait)],
            ..ClientConfig::default()
        };
        let observer = Arc::new(TraceObserver { run: Arc::downgrade(run), open: Mutex::default() });
        let app = |home: usize, n: usize| {
            let seed = day.seed.wrapping_add((home * APPS_PER_MARSHAL + n) as u64);
            let mut builder = Builder::default().config(config.clone()).seed(seed).observer(observer.clone());
            for (m, at) in run.marshal_addrs.iter().enumerate() {
                builder = if m == home { builder.marshal(*at) } else { builder.remote_marshal(*at) };
            }
            for (name, config, _) in &day.methods {
                let kind = match config.repeat {
                    Repeat::Idempotent => Kind::Idempotent,
                    Repeat::Tokened { window, .. } => Kind::Tokened { window },
                    Repeat::NonIdempotent => Kind::NonIdempotent,
                };
                builder = builder.method(name, kind, config.deadline);
            }
            builder.build_for_coroutines().map_err(io::Error::other)
        };
        let home = |m: usize| (0..APPS_PER_MARSHAL).map(|n| app(m, n)).collect::<io::Result<Vec<_>>>();
        Ok(Clients { channels: (0..day.marshals).map(home).collect::<io::Result<_>>()? })
    }

    /// Makes a call in a new coroutine.
    pub fn call(&self, run: &Arc<RunState>, attempt: Attempt) {
        let channel = self.channels[attempt.marshal][attempt.call as usize % APPS_PER_MARSHAL].clone();
        let cancel = Cancel::new();
        if let Some(after) = attempt.cancel_after {
            let (run, cancel, call) = (run.clone(), cancel.clone(), attempt.call);
            spawn(move || {
                sleep(after);
                run.with_env(|env, now| env.library_call_cancelled(now, call));
                cancel.cancel();
            });
        }
        let run = run.clone();
        spawn(move || {
            let name = run.with_env(|env, _| env.day.methods[attempt.method].0.clone());
            let (token, key) = (attempt.call.to_string(), attempt.key.to_string());
            let mut call =
                Call::new(&name, b"ask\r\n").tag(attempt.call).timeout(attempt.time_left).cancel(&cancel);
            call = call.token(&token);
            if attempt.key != 0 {
                call = call.key(&key);
            }
            let answered =
                |kind, build, picks| AttemptEnd::Answered { kind, build, picks, retry_after: Duration::ZERO };
            let end = match channel.call(call) {
                Ok(answer) => answered(Answer::Ok, answer.build, answer.picks),
                Err(Error::PushedBack { .. }) => answered(Answer::PushedBack, 0, 0),
                Err(Error::Aborted) => answered(Answer::Aborted, 0, 0),
                Err(Error::NotSent | Error::Unknown) => AttemptEnd::TimedOut,
                Err(_) => AttemptEnd::Refused,
            };
            run.with_env(|env, now| env.library_call_ended(now, attempt.call, end));
        });
    }
}

/// Writes each attempt to the trace.
struct TraceObserver {
    run: Weak<RunState>,
    /// By call: the attempt in flight.
    open: Mutex<HashMap<u64, u64>>,
}

impl Observer for TraceObserver {
    fn attempt_starting(
        &self, tag: u64, to: SocketAddr, left: Duration, _: u32,
    ) -> Option<(&'static str, String)> {
        let run = self.run.upgrade()?;
        let marshal = run.marshal_addrs.iter().position(|at| *at == to)?;
        let (id, key) = run.with_env(|env, now| env.library_attempt_sent(now, tag, marshal, left))?;
        self.open.lock().unwrap().insert(tag, id);
        Some((rpc::TRACE, format!("{id}.{tag}.{key}")))
    }

    fn attempt_ended(&self, tag: u64, outcome: AttemptOutcome) {
        let Some((run, id)) = self.run.upgrade().zip(self.open.lock().unwrap().remove(&tag)) else { return };
        let (end, more) = match outcome {
            AttemptOutcome::Answered { reply, answer, more } => {
                let kind = match reply {
                    Reply::Ok => Some(Answer::Ok),
                    Reply::PushedBack { .. } => Some(Answer::PushedBack),
                    Reply::Aborted => Some(Answer::Aborted),
                    Reply::Rejected => None,
                };
                let (build, picks, retry_after) = (answer.build, answer.picks, Duration::ZERO);
                let end = kind.map_or(AttemptEnd::Broken, |kind| AttemptEnd::Answered {
                    kind,
                    build,
                    picks,
                    retry_after,
                });
                (end, more)
            }
            AttemptOutcome::DeadlineExceeded => (AttemptEnd::TimedOut, false),
            AttemptOutcome::ConnectionLost { .. } => (AttemptEnd::Broken, false),
        };
        run.with_env(|env, now| {
            env.library_attempt_ended(now, id, end);
            if more {
                env.extra_bytes(now, id);
            }
        });
    }
}
