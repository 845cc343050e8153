//! The clients of a run on sockets: applications that call marshals through the client library. The library
//! makes the attempts; an observer writes each of them to the trace.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use ivydrift_audit::trace::Kind as Answer;
use ivydrift_client::coroutine::Channel;
use ivydrift_client::{Builder, Call, Cancel, Error, Kind, Manners, Observer, Reply, Tried};
use ivydrift_policy::port::Repeat;
use ivydrift_sockets::coroutine::{go, pause};
use ivydrift_wire::rpc;

use crate::day::Day;
use crate::rig::Rig;
use crate::town::{Ask, End};

/// Applications per marshal, each with its own channel, that have this marshal as the nearest one.
const APPS: usize = 6;

/// The channels of all applications.
pub(crate) struct Clients {
    /// By the nearest marshal.
    channels: Vec<Vec<Channel>>,
}

impl Clients {
    pub fn new(rig: &Arc<Rig>, day: &Day) -> io::Result<Self> {
        let traffic = &day.traffic;
        let repeats = if traffic.retries > 0 { (0.1 * f64::from(traffic.retries), 10.0) } else { (0.0, 0.0) };
        let manners = Manners {
            queue: 2000,
            connections: 200,
            handshakes: 8,
            earned: repeats.0,
            store: repeats.1,
            wait: [traffic.retry_wait, Duration::from_secs(1).max(traffic.retry_wait)],
            ..Manners::default()
        };
        let witness = Arc::new(Witness { rig: Arc::downgrade(rig), tries: Mutex::default() });
        let app = |home: usize, n: usize| {
            let seed = day.seed.wrapping_add((home * APPS + n) as u64);
            let mut builder =
                Builder::default().manners(manners.clone()).seed(seed).observer(witness.clone());
            for (m, at) in rig.listens.iter().enumerate() {
                builder = if m == home { builder.marshal(*at) } else { builder.far_marshal(*at) };
            }
            for (name, terms, _) in &day.methods {
                let kind = match terms.repeat {
                    Repeat::Idempotent => Kind::Idempotent,
                    Repeat::Tokened { window, .. } => Kind::Tokened { window },
                    Repeat::NonIdempotent => Kind::NonIdempotent,
                };
                builder = builder.method(name, kind, terms.deadline);
            }
            builder.build_for_coroutines().map_err(io::Error::other)
        };
        let home = |m: usize| (0..APPS).map(|n| app(m, n)).collect::<io::Result<Vec<_>>>();
        Ok(Clients { channels: (0..day.marshals).map(home).collect::<io::Result<_>>()? })
    }

    /// Makes a call in a new coroutine.
    pub fn call(&self, rig: &Arc<Rig>, ask: Ask) {
        let channel = self.channels[ask.marshal][ask.call as usize % APPS].clone();
        let cancel = Cancel::new();
        if let Some(after) = ask.leaves {
            let (rig, cancel, call) = (rig.clone(), cancel.clone(), ask.call);
            go(move || {
                pause(after);
                rig.town(|town, now| town.leaving(now, call));
                cancel.cancel();
            });
        }
        let rig = rig.clone();
        go(move || {
            let name = rig.town(|town, _| town.day.methods[ask.method].0.clone());
            let (token, key) = (ask.call.to_string(), ask.key.to_string());
            let mut call = Call::new(&name, b"ask\r\n").tag(ask.call).within(ask.left).cancel(&cancel);
            call = call.token(&token);
            if ask.key != 0 {
                call = call.key(&key);
            }
            let answered =
                |kind, build, picks| End::Answered { kind, build, picks, retry_after: Duration::ZERO };
            let end = match channel.call(call) {
                Ok(answer) => answered(Answer::Ok, answer.build, answer.picks),
                Err(Error::PushedBack { .. }) => answered(Answer::PushedBack, 0, 0),
                Err(Error::Aborted) => answered(Answer::Aborted, 0, 0),
                Err(Error::NotSent | Error::Unknown) => End::TimeUp,
                Err(_) => End::Refused,
            };
            rig.town(|town, now| town.finished(now, ask.call, end));
        });
    }
}

/// Writes each attempt to the trace.
struct Witness {
    rig: Weak<Rig>,
    /// By call: the attempt in flight.
    tries: Mutex<HashMap<u64, u64>>,
}

impl Observer for Witness {
    fn sending(&self, tag: u64, to: SocketAddr, left: Duration, _: u32) -> Option<(&'static str, String)> {
        let rig = self.rig.upgrade()?;
        let marshal = rig.listens.iter().position(|at| *at == to)?;
        let (id, key) = rig.town(|town, now| town.sent(now, tag, marshal, left))?;
        self.tries.lock().unwrap().insert(tag, id);
        Some((rpc::TRACE, format!("{id}.{tag}.{key}")))
    }

    fn tried(&self, tag: u64, how: Tried) {
        let Some((rig, id)) = self.rig.upgrade().zip(self.tries.lock().unwrap().remove(&tag)) else { return };
        let (end, more) = match how {
            Tried::Answered { reply, answer, more } => {
                let kind = match reply {
                    Reply::Ok => Some(Answer::Ok),
                    Reply::PushedBack { .. } => Some(Answer::PushedBack),
                    Reply::Aborted => Some(Answer::Aborted),
                    Reply::Rejected => None,
                };
                let (build, picks, retry_after) = (answer.build, answer.picks, Duration::ZERO);
                let end = kind.map_or(End::Broken, |kind| End::Answered { kind, build, picks, retry_after });
                (end, more)
            }
            Tried::TimeUp => (End::TimeUp, false),
            Tried::Broken { .. } => (End::Broken, false),
        };
        rig.town(|town, now| {
            town.tried(now, id, end);
            if more {
                town.extra(now, id);
            }
        });
    }
}
