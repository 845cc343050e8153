//! What the platform tells: members by a watch, the release desk's lines on a connection that follows, and votes.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ivydrift_marshal::{Ballot, Input};
use ivydrift_platform::desk::{self, Line};
use ivydrift_platform::members::LIST_BYTES;
use ivydrift_sockets::coroutine::{go, pause};
use ivydrift_sockets::Socket;
use ivydrift_wire::desk::{Counted, Disputed, News, Stage, Sums, Vote, VoteAnswer};

use crate::asker::{jitter, Asker};
use crate::dialect::Platform;
use crate::Edge;

/// Members hold a question for this long, and may take this much longer to answer.
const HOLD: Duration = Duration::from_millis(5000);
const SLACK: Duration = Duration::from_millis(800);
/// Members that answer at once whatever is asked are asked no sooner again; within 200 ms a watch goes on.
const BREATH: Duration = Duration::from_millis(100);
/// A desk that gives no sign of life for this long is asked anew; it gives one each second.
const SILENCE: Duration = Duration::from_millis(3500);
const CONNECT: Duration = Duration::from_millis(1000);

/// Follows the list of members until it fails; the module then says when to ask again.
pub fn watch(edge: &Arc<Edge>, moves: u64) {
    let edge = edge.clone();
    go(move || {
        let Some(platform) = edge.dialect.platform() else { return };
        let places = edge.live().places;
        let mut asker = Asker::new(places.node_list, edge.number);
        let mut again = true;
        loop {
            let path = platform.catalog.lock().unwrap().path(HOLD.as_millis() as u64);
            let asked = Instant::now();
            let answer = asker.ask("GET", &path, b"", LIST_BYTES, HOLD + SLACK);
            let mut catalog = platform.catalog.lock().unwrap();
            if edge.moves.load(Ordering::Acquire) != moves {
                return; // The list has moved, and is followed there.
            }
            let taken = answer.map_err(|e| (e.kind(), e.to_string())).and_then(|(_, body)| {
                let text = String::from_utf8_lossy(&body);
                catalog.take(&text).map_err(|why| (ErrorKind::InvalidData, why))?;
                Ok(catalog.listed())
            });
            drop(catalog);
            match taken {
                Ok(nodes) => {
                    again = true;
                    edge.tell(Input::List(&nodes), 0);
                    edge.complain_of_list();
                    pause(BREATH.saturating_sub(asked.elapsed()));
                }
                // A connection may have died unseen, and only it.
                Err((kind, _)) if again && kind != ErrorKind::InvalidData => again = false,
                Err((_, why)) => {
                    tracing::warn!(why, "list of members lost");
                    break;
                }
            }
        }
        let _ = edge.watching.compare_exchange(moves, u64::MAX, Ordering::AcqRel, Ordering::Acquire);
        edge.tell(Input::ListLost, 0);
    });
}

/// A connection to the desk, line by line.
struct Lines {
    socket: Socket,
    buf: Vec<u8>,
}

impl Lines {
    fn open(to: SocketAddr, first: &[u8], by: Instant) -> io::Result<Lines> {
        let within = by.saturating_duration_since(Instant::now()).min(CONNECT);
        let socket = Socket::connect(to, within)?;
        match socket.write(first, by) {
            Ok(()) => Ok(Lines { socket, buf: Vec::new() }),
            // Its last byte has not left: nothing of it was carried out.
            Err((_, e)) => Err(io::Error::new(ErrorKind::ConnectionRefused, e)),
        }
    }

    fn next(&mut self, by: Instant) -> io::Result<Line> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = desk::line(&self.buf[..end]);
                self.buf.drain(..end + 2);
                return line.map_err(|why| io::Error::new(ErrorKind::InvalidData, why));
            }
            if self.buf.len() >= desk::LINE_BYTES {
                return Err(io::Error::new(ErrorKind::InvalidData, "a line of the desk never ends"));
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

/// A line that came unasked, as news for the core.
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

/// Follows the release desk until it moves.
pub fn follow_desk(edge: &Arc<Edge>) {
    let edge = edge.clone();
    go(move || {
        let Some(platform) = edge.dialect.platform() else { return };
        let moves = edge.moves.load(Ordering::Acquire);
        let to = edge.live().places.release_desk;
        let moved = || edge.moves.load(Ordering::Acquire) != moves;
        let mut failures = 0;
        while !moved() {
            let opened = Lines::open(to, desk::FOLLOW, Instant::now() + CONNECT);
            let lost = opened.and_then(|mut lines| -> io::Result<()> {
                loop {
                    let line = lines.next(Instant::now() + SILENCE)?;
                    if moved() {
                        return Ok(());
                    }
                    failures = 0;
                    if let Some(news) = news(platform, line) {
                        edge.tell(Input::News(&news), 0);
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
    });
}

pub fn vote(edge: &Arc<Edge>, vote: Vote) {
    let edge = edge.clone();
    go(move || {
        let live = edge.live();
        let by = Instant::now() + live.vote_wait;
        let answer =
            Lines::open(live.places.release_desk, &desk::vote(&vote), by).and_then(|mut l| l.next(by));
        let ballot = match answer {
            Ok(Line::Done(Some(stage))) => Ballot::Answered(VoteAnswer { counted: Counted::Counts, stage }),
            Ok(Line::Refused(counted)) => Ballot::Refused(counted),
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => Ballot::Failed,
            // What cannot be read, or comes too late, proves nothing.
            Ok(_) | Err(_) => Ballot::Silent,
        };
        tracing::info!(?vote, ?ballot, "voted");
        edge.tell(Input::Voted(ballot), 0);
    });
}
