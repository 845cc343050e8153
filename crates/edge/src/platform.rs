//! The platform's rollout controller: watches its line protocol on a long-lived connection, and casts votes.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ivydrift_marshal::{Ballot, Input};
use ivydrift_platform::controller::{self, Line};
use ivydrift_sockets::coroutine::{restart_on_panic, sleep, spawn};
use ivydrift_sockets::Socket;
use ivydrift_wire::controller::{
    ControllerCounts, Counted, DisputeReport, RolloutUpdate, Stage, Vote, VoteAnswer,
};

use crate::dialect::Platform;
use crate::query::backoff;
use crate::Edge;

/// The watch reconnects after this long without a line; the controller sends one each second.
const RECONNECT_AFTER: Duration = Duration::from_millis(3500);
/// Connect timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// A connection to the rollout controller, read line by line.
struct ControllerConnection {
    socket: Socket,
    buf: Vec<u8>,
}

impl ControllerConnection {
    /// Connects and sends the first line. The error is `ConnectionRefused` if that line was not sent
    /// completely.
    fn open(to: SocketAddr, first_line: &[u8], deadline: Instant) -> io::Result<ControllerConnection> {
        let timeout = deadline.saturating_duration_since(Instant::now()).min(CONNECT_TIMEOUT);
        let socket = Socket::connect(to, timeout)?;
        match socket.write(first_line, deadline) {
            Ok(()) => Ok(ControllerConnection { socket, buf: Vec::new() }),
            // The last byte was not sent, so nothing was carried out.
            Err((_, e)) => Err(io::Error::new(ErrorKind::ConnectionRefused, e)),
        }
    }

    /// Reads the next line.
    fn next(&mut self, deadline: Instant) -> io::Result<Line> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = controller::parse_line(&self.buf[..end]);
                self.buf.drain(..end + 2);
                return line.map_err(|why| io::Error::new(ErrorKind::InvalidData, why));
            }
            if self.buf.len() >= controller::MAX_LINE_BYTES {
                return Err(io::Error::new(
                    ErrorKind::InvalidData,
                    "line from the rollout controller exceeds the length limit",
                ));
            }
            let mut chunk = [0; 2048];
            match self.socket.read(&mut chunk, Some(deadline))? {
                0 => return Err(ErrorKind::UnexpectedEof.into()),
                n => self.buf.extend_from_slice(&chunk[..n]),
            }
        }
    }
}

fn make_news(
    stage: Option<Stage>, sums: Vec<ControllerCounts>, disputed: Vec<DisputeReport>,
) -> RolloutUpdate {
    RolloutUpdate { index: 0, stage, sums, disputed }
}

/// Converts an unsolicited line to an event for the core.
fn news_from_line(platform: &Platform, line: Line) -> Option<RolloutUpdate> {
    match line {
        Line::Stage(stage) => Some(make_news(Some(stage), vec![], vec![])),
        Line::Sums(sums) => Some(make_news(None, vec![sums], vec![])),
        Line::Disputed { unit, method, age_ms } => {
            let node = platform.catalog.lock().unwrap().address(&unit)?;
            Some(make_news(None, vec![], vec![DisputeReport { node, method, age_ms }]))
        }
        Line::Ok(_) | Line::Refused(_) | Line::KeepAlive => None,
    }
}

/// Watches the rollout controller until it moves.
pub fn watch_controller(edge: &Arc<Edge>, address_generation: u64, to: SocketAddr) {
    let edge = edge.clone();
    spawn(move || restart_on_panic(|| run_watch(&edge, address_generation, to)));
}

/// Reconnects and reads lines until the controller moves.
fn run_watch(edge: &Arc<Edge>, address_generation: u64, to: SocketAddr) {
    let Some(platform) = edge.dialect.platform() else { return };
    let has_moved = || edge.address_generation.load(Ordering::Acquire) != address_generation;
    let mut failures = 0;
    while !has_moved() {
        let opened =
            ControllerConnection::open(to, controller::SUBSCRIBE_REQUEST, Instant::now() + CONNECT_TIMEOUT);
        let result = opened.and_then(|mut connection| -> io::Result<()> {
            loop {
                let line = connection.next(Instant::now() + RECONNECT_AFTER)?;
                failures = 0;
                let passed_on = edge.if_addresses_unchanged(address_generation, || {
                    news_from_line(platform, line).iter().for_each(|rollout_update| {
                        drop(edge.dispatch(Input::RolloutUpdate(rollout_update), 0))
                    });
                });
                if passed_on.is_none() {
                    return Ok(());
                }
            }
        });
        if let Some(why) = result.err().filter(|_| !has_moved()) {
            let wait = backoff(Duration::from_millis(100), failures);
            tracing::warn!(%why, wait_ms = wait.as_millis() as u64, "release desk lost");
            failures += 1;
            sleep(wait);
        }
    }
}

/// Sends one vote and returns its result.
pub fn send_vote(edge: &Edge, vote: &Vote) -> Ballot {
    let settings = edge.settings();
    let deadline = Instant::now() + settings.vote_wait;
    let answer = ControllerConnection::open(
        settings.addresses.rollout_controller,
        &controller::format_vote(vote),
        deadline,
    )
    .and_then(|mut connection| connection.next(deadline));
    match answer {
        Ok(Line::Ok(Some(stage))) => Ballot::Answered(VoteAnswer { counted: Counted::Counts, stage }),
        Ok(Line::Refused(counted)) => Ballot::Refused(counted),
        Err(e) if e.kind() == ErrorKind::ConnectionRefused => Ballot::Failed,
        // An unreadable or late answer proves nothing.
        Ok(_) | Err(_) => Ballot::Silent,
    }
}
