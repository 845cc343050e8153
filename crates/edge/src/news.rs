//! What a marshal is told from outside: the node list and the release desk by blocking queries, and votes.

use std::io::ErrorKind;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use ivydrift_marshal::{Ballot, Input};
use ivydrift_wire::{desk, list};

use crate::asker::{jitter, Asker};
use crate::{platform, Edge};
use ivydrift_sockets::coroutine::{go, pause};

/// Queries are held by the far side at most this long.
const LIST_WAIT: Duration = Duration::from_secs(10);
const DESK_WAIT: Duration = Duration::from_secs(5);
/// More than that, and the far side is taken as gone.
const SLACK: Duration = Duration::from_secs(2);

/// Follows the node list until it fails; the module then says when to ask again.
pub fn watch(edge: &Arc<Edge>) {
    let moves = edge.moves.load(Ordering::Acquire);
    if edge.watching.swap(moves, Ordering::AcqRel) == moves {
        return;
    }
    if edge.dialect.platform().is_some() {
        return platform::watch(edge, moves);
    }
    let edge = edge.clone();
    go(move || {
        let places = edge.live().places;
        let (mut asker, mut index) = (Asker::new(places.node_list, edge.number), 0);
        loop {
            let path = list::path(&places.service, index, LIST_WAIT.as_secs());
            let answer = asker.ask("GET", &path, b"", list::LIST_BYTES, LIST_WAIT + SLACK);
            if edge.moves.load(Ordering::Acquire) != moves {
                return; // The list has moved, and is followed there.
            }
            let read = answer.map_err(|e| e.to_string()).and_then(|(at, body)| Ok((at, list::read(&body)?)));
            match read {
                Ok((at, nodes)) => {
                    edge.tell(Input::List(&nodes), 0);
                    edge.complain_of_list();
                    // A list that was started anew counts from the front again.
                    let at = at.unwrap_or(0);
                    index = if at < index { 0 } else { at };
                    if at == 0 {
                        pause(Duration::from_secs(1));
                    }
                }
                Err(why) => {
                    tracing::warn!(why, "node list lost");
                    break;
                }
            }
            if edge.stopping() {
                break;
            }
        }
        let _ = edge.watching.compare_exchange(moves, u64::MAX, Ordering::AcqRel, Ordering::Acquire);
        edge.tell(Input::ListLost, 0);
    });
}

/// Follows the release desk until it moves.
pub fn follow_desk(edge: &Arc<Edge>) {
    if edge.dialect.platform().is_some() {
        return platform::follow_desk(edge);
    }
    let edge = edge.clone();
    go(move || {
        let moves = edge.moves.load(Ordering::Acquire);
        let desk = edge.live().places.release_desk;
        let (mut asker, mut index, mut failures) = (Asker::new(desk, edge.number), 0, 0);
        while !edge.stopping() {
            let path =
                format!("/v1/stage?index={index}&wait={}s&marshal={}", DESK_WAIT.as_secs(), edge.number);
            let answer = asker.ask("GET", &path, b"", desk::NEWS_BYTES, DESK_WAIT + SLACK);
            if edge.moves.load(Ordering::Acquire) != moves {
                return; // The desk has moved, and is followed there.
            }
            match answer.map_err(|e| e.to_string()).and_then(|(_, body)| desk::read_news(&body)) {
                Ok(news) => {
                    failures = 0;
                    index = if news.index < index { 0 } else { news.index };
                    edge.tell(Input::News(&news), 0);
                }
                Err(why) => {
                    let wait = jitter(Duration::from_millis(200), failures);
                    tracing::warn!(why, wait_ms = wait.as_millis() as u64, "release desk lost");
                    failures += 1;
                    pause(wait);
                }
            }
        }
    });
}

pub fn vote(edge: &Arc<Edge>, vote: desk::Vote) {
    if edge.dialect.platform().is_some() {
        return platform::vote(edge, vote);
    }
    let edge = edge.clone();
    go(move || {
        let body = ivydrift_wire::desk::write(&vote);
        let live = edge.live();
        let mut asker = Asker::new(live.places.release_desk, edge.number);
        let answer = asker.ask("POST", "/v1/votes", &body, desk::NEWS_BYTES, live.vote_wait);
        let ballot = match answer {
            Ok((_, body)) => match desk::read_vote_answer(&body) {
                Ok(answer) => Ballot::Answered(answer),
                Err(_) => Ballot::Failed,
            },
            // Without a connection it cannot have come in; else it may have.
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => Ballot::Failed,
            Err(e) if e.kind() == ErrorKind::InvalidData => Ballot::Failed,
            Err(_) => Ballot::Silent,
        };
        tracing::info!(?vote, ?ballot, "voted");
        edge.tell(Input::Voted(ballot), 0);
    });
}
