//! Watches the node list and the rollout controller with blocking queries, and casts votes.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use ivydrift_marshal::{Ballot, DiscoverySign, Input};
use ivydrift_wire::{desk, list};

use crate::dialect::Dialect;
use crate::held::{FollowClaim, Held};
use crate::query::{jitter, QueryClient, QueryError};
use crate::{membership, platform, Edge};
use ivydrift_sockets::coroutine::{go, pause};

/// The longest time for which the rollout controller holds a query.
const DESK_WAIT: Duration = Duration::from_secs(5);
/// How much longer than its hold time a query may take before the server counts as unreachable.
const SLACK: Duration = Duration::from_secs(2);
/// A watcher that reports this much later than its call may take counts as stuck.
pub const STUCK: Duration = Duration::from_secs(3);

/// Watches the node list until a query fails; the core then decides when to ask again. Does nothing if the
/// list is already being watched.
pub fn follow_membership(edge: &Arc<Edge>, held: &Arc<Held>) {
    let moves = edge.moves.load(Ordering::Acquire);
    let hold = edge.bounds().list_hold;
    let Some(claim) = held.claim(moves, hold + SLACK + STUCK) else { return };
    if edge.dialect.platform().is_some() {
        return membership::follow(edge, claim, moves);
    }
    let (edge, held) = (edge.clone(), held.clone());
    go(move || {
        let why = match follow_native(&edge, &held, &claim, moves) {
            Some(why) => why,
            None => return,
        };
        tracing::warn!(why, service = held.service.as_deref(), "node list lost");
        drop(claim);
        edge.tell_of(held.of, Input::MembershipLost, 0);
    });
}

/// Returns why the list was lost, or `None` if nobody has to be told: the list has moved and is watched at
/// its new address, the service is no longer held, or another coroutine has taken over.
fn follow_native(edge: &Arc<Edge>, held: &Arc<Held>, claim: &FollowClaim, moves: u64) -> Option<String> {
    let places = edge.live().places;
    let service = held.service.as_deref().unwrap_or(&places.service);
    let mut client = QueryClient::on(&held.list, places.node_list, edge.number);
    let mut index = 0;
    loop {
        let hold = edge.bounds().list_hold;
        if !claim.extend(hold + SLACK + STUCK) {
            return None;
        }
        let path = list::path(service, index, hold.as_secs());
        let answer = client.send("GET", &path, b"", list::LIST_BYTES, hold + SLACK);
        let read =
            answer.map_err(|e| e.to_string()).and_then(|reply| Ok((reply.index, list::read(&reply.body)?)));
        let told = edge.unless_moved(moves, || {
            let Ok((_, nodes)) = &read else { return };
            edge.read_wall_clock();
            edge.tell_of(held.of, Input::Membership(nodes), 0);
            let sign = DiscoverySign::Confirmed { as_of: edge.now(), next_within: hold + SLACK };
            edge.tell_of(held.of, Input::Discovery(sign), 0);
        });
        if told.is_none() || held.gone() {
            return None;
        }
        let at = match read {
            Ok((at, _)) => at.unwrap_or(0),
            Err(why) => return Some(why),
        };
        edge.complain_of_list(held);
        // The index of a restarted list begins again at the front.
        index = if at < index { 0 } else { at };
        if at == 0 {
            pause(Duration::from_secs(1));
        }
    }
}

/// Watches the rollout controller until it moves.
#[cfg(test)]
pub fn follow_desk(edge: &Arc<Edge>) {
    follow_desk_of(edge, &edge.home);
}

/// Watches the rollout controller for one service until the controller moves or the service is no longer
/// held.
pub fn follow_desk_of(edge: &Arc<Edge>, held: &Arc<Held>) {
    // Read here rather than in the coroutine: after two moves in a row, both coroutines would watch the
    // second address.
    let (moves, desk) = (edge.moves.load(Ordering::Acquire), edge.live().places.release_desk);
    if edge.dialect.platform().is_some() {
        return platform::follow_desk(edge, moves, desk);
    }
    let (edge, held) = (edge.clone(), held.clone());
    go(move || {
        let mut client = QueryClient::on(&held.desk, desk, edge.number);
        let (mut index, mut failures) = (0, 0);
        while !edge.stopping() {
            let path = desk::path(index, DESK_WAIT.as_secs(), edge.number, held.service.as_deref());
            let answer = client.send("GET", &path, b"", desk::NEWS_BYTES, DESK_WAIT + SLACK);
            let read = answer.map_err(|e| e.to_string()).and_then(|reply| desk::read_news(&reply.body));
            let told = edge.unless_moved(moves, || {
                read.iter().for_each(|news| drop(edge.tell_of(held.of, Input::News(news), 0)));
            });
            if told.is_none() || held.gone() {
                return; // The desk has moved, and is followed there; or nobody needs it any more.
            }
            match read {
                Ok(news) => {
                    failures = 0;
                    index = if news.index < index { 0 } else { news.index };
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

/// This marshal's votes on one service. One vote is in flight at a time, because each has its own connection
/// and a later vote could otherwise be counted first.
#[derive(Default)]
pub struct Votes {
    /// A vote is in flight.
    out: bool,
    /// The latest vote that waits for the one in flight.
    next: Option<desk::Vote>,
}

/// Casts a vote once no other is in flight. A waiting vote is replaced by a newer one, since only the last
/// counts.
#[cfg(test)]
pub fn vote(edge: &Arc<Edge>, vote: desk::Vote) {
    vote_of(edge, &edge.home, vote);
}

/// Casts a vote on one service.
pub fn vote_of(edge: &Arc<Edge>, held: &Arc<Held>, vote: desk::Vote) {
    let mut votes = held.votes.lock().unwrap();
    if std::mem::replace(&mut votes.out, true) {
        votes.next = Some(vote);
        return;
    }
    drop(votes);
    let (edge, held) = (edge.clone(), held.clone());
    go(move || {
        let mut vote = vote;
        loop {
            let ballot = match &edge.dialect {
                Dialect::Platform(_) => platform::vote(&edge, &vote),
                Dialect::Native => cast(&edge, &held, &vote),
            };
            tracing::info!(?vote, ?ballot, service = held.service.as_deref(), "voted");
            let next = {
                let mut votes = held.votes.lock().unwrap();
                votes.out = votes.next.is_some();
                votes.next.take()
            };
            let Some(later) = next else {
                edge.tell_of(held.of, Input::Voted(ballot), 0);
                return;
            };
            // The core waits for the answer to a later vote, but what this answer says about the build is
            // still valid.
            if let Ballot::Answered(answer) = ballot {
                let news = desk::News { index: 0, stage: Some(answer.stage), sums: vec![], disputed: vec![] };
                edge.tell_of(held.of, Input::News(&news), 0);
            }
            vote = later;
        }
    });
}

/// Sends one vote in the native dialect and returns its result.
fn cast(edge: &Edge, held: &Held, vote: &desk::Vote) -> Ballot {
    let service = held.service.as_deref().map(str::to_owned);
    let body = desk::write(&desk::ServiceVote { vote: *vote, service });
    let live = edge.live();
    let mut client = QueryClient::new(live.places.release_desk, edge.number);
    let answer = client.send("POST", "/v1/votes", &body, desk::NEWS_BYTES, live.vote_wait);
    match answer {
        Ok(reply) => match desk::read_vote_answer(&reply.body) {
            Ok(answer) => Ballot::Answered(answer),
            Err(_) => Ballot::Failed,
        },
        // Without a connection the vote cannot have arrived; otherwise it may have.
        Err(QueryError::Status(_) | QueryError::Unreadable(_)) => Ballot::Failed,
        Err(e) if e.refused_connection() => Ballot::Failed,
        Err(_) => Ballot::Silent,
    }
}
