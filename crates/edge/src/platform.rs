//! The platform's rollout controller: watches its line protocol on a long-lived connection, and casts votes.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ivydrift_marshal::{Ballot, Input};
use ivydrift_platform::desk::{self, Line};
use ivydrift_sockets::coroutine::{go, insist, pause};
use ivydrift_sockets::Socket;
use ivydrift_wire::desk::{Counted, Disputed, News, Stage, Sums, Vote, VoteAnswer};

use crate::dialect::Platform;
use crate::query::jitter;
use crate::Edge;

/// The watch reconnects after this long without a line; the controller sends one each second.
const SILENCE: Duration = Duration::from_millis(3500);
/// Connect timeout.
const CONNECT: Duration = Duration::from_millis(1000);

/// A connection to the rollout controller, read line by line.
struct Lines {
    socket: Socket,
    buf: Vec<u8>,
}

impl Lines {
    /// Connects and sends the first line. The error is `ConnectionRefused` if that line was not sent
    /// completely.
    fn open(to: SocketAddr, first: &[u8], by: Instant) -> io::Result<Lines> {
        let within = by.saturating_duration_since(Instant::now()).min(CONNECT);
        let socket = Socket::connect(to, within)?;
        match socket.write(first, by) {
            Ok(()) => Ok(Lines { socket, buf: Vec::new() }),
            // The last byte was not sent, so nothing was carried out.
            Err((_, e)) => Err(io::Error::new(ErrorKind::ConnectionRefused, e)),
        }
    }

    /// Reads the next line.
    fn next(&mut self, by: Instant) -> io::Result<Line> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = desk::line(&self.buf[..end]);
                self.buf.drain(..end + 2);
                return line.map_err(|why| io::Error::new(ErrorKind::InvalidData, why));
            }
            if self.buf.len() >= desk::LINE_BYTES {
                return Err(io::Error::new(
                    ErrorKind::InvalidData,
                    "line from the rollout controller exceeds the length limit",
                ));
            }
            let mut part = [0; 2048];
            match self.socket.read(&mut part, Some(by))? {
                0 => return Err(ErrorKind::UnexpectedEof.into()),
                n => self.buf.extend_from_slice(&part[..n]),
            }
        }
    }
}

fn told(stage: Option<Stage>, sums: Vec<Sums>, disputed: Vec<Disputed>) -> News {
    News { index: 0, stage, sums, disputed }
}

/// Converts an unsolicited line to an event for the core.
fn news(platform: &Platform, line: Line) -> Option<News> {
    match line {
        Line::Stage(stage) => Some(told(Some(stage), vec![], vec![])),
        Line::Sums(sums) => Some(told(None, vec![sums], vec![])),
        Line::Disputed { unit, method, age_ms } => {
            let node = platform.catalog.lock().unwrap().place(&unit)?;
            Some(told(None, vec![], vec![Disputed { node, method, age_ms }]))
        }
        Line::Done(_) | Line::Refused(_) | Line::Alive => None,
    }
}

/// Watches the rollout controller until it moves.
pub fn follow_desk(edge: &Arc<Edge>, moves: u64, to: SocketAddr) {
    let edge = edge.clone();
    go(move || insist(|| follow(&edge, moves, to)));
}

/// Reconnects and reads lines until the controller moves.
fn follow(edge: &Arc<Edge>, moves: u64, to: SocketAddr) {
    let Some(platform) = edge.dialect.platform() else { return };
    let moved = || edge.moves.load(Ordering::Acquire) != moves;
    let mut failures = 0;
    while !moved() {
        let opened = Lines::open(to, desk::FOLLOW, Instant::now() + CONNECT);
        let lost = opened.and_then(|mut lines| -> io::Result<()> {
            loop {
                let line = lines.next(Instant::now() + SILENCE)?;
                failures = 0;
                let told = edge.unless_moved(moves, || {
                    news(platform, line).iter().for_each(|news| drop(edge.tell(Input::News(news), 0)));
                });
                if told.is_none() {
                    return Ok(());
                }
            }
        });
        if let Some(why) = lost.err().filter(|_| !moved()) {
            let wait = jitter(Duration::from_millis(100), failures);
            tracing::warn!(%why, wait_ms = wait.as_millis() as u64, "release desk lost");
            failures += 1;
            pause(wait);
        }
    }
}

/// Sends one vote and returns its result.
pub fn vote(edge: &Edge, vote: &Vote) -> Ballot {
    let live = edge.live();
    let by = Instant::now() + live.vote_wait;
    let answer = Lines::open(live.places.release_desk, &desk::vote(vote), by).and_then(|mut l| l.next(by));
    match answer {
        Ok(Line::Done(Some(stage))) => Ballot::Answered(VoteAnswer { counted: Counted::Counts, stage }),
        Ok(Line::Refused(counted)) => Ballot::Refused(counted),
        Err(e) if e.kind() == ErrorKind::ConnectionRefused => Ballot::Failed,
        // An unreadable or late answer proves nothing.
        Ok(_) | Err(_) => Ballot::Silent,
    }
}
