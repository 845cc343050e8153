//! Watches the node list and the rollout controller with blocking queries, and casts votes.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use ivydrift_marshal::{Ballot, DiscoverySignal, Input};
use ivydrift_wire::{controller, list};

use crate::dialect::Dialect;
use crate::query::{backoff, QueryClient, QueryError};
use crate::services::{HeldService, WatchClaim};
use crate::{membership, platform, Edge};
use ivydrift_sockets::coroutine::{sleep, spawn};

/// The longest time for which the rollout controller holds a query.
const CONTROLLER_HOLD: Duration = Duration::from_secs(5);
/// How much longer than its hold time a query may take before the server counts as unreachable.
const QUERY_SLACK: Duration = Duration::from_secs(2);
/// A watcher that reports this much later than its call may take counts as stuck.
pub const STUCK_AFTER: Duration = Duration::from_secs(3);

/// Watches the node list until a query fails; the core then decides when to ask again. Does nothing if the
/// list is already being watched.
pub fn watch_node_list(edge: &Arc<Edge>, held: &Arc<HeldService>) {
    let address_generation = edge.address_generation.load(Ordering::Acquire);
    let hold = edge.limits().list_query_wait;
    let Some(claim) = held.claim(address_generation, hold + QUERY_SLACK + STUCK_AFTER) else { return };
    if edge.dialect.platform().is_some() {
        return membership::watch(edge, claim, address_generation);
    }
    let (edge, held) = (edge.clone(), held.clone());
    spawn(move || {
        let why = match watch_native(&edge, &held, &claim, address_generation) {
            Some(why) => why,
            None => return,
        };
        tracing::warn!(why, service = held.service.as_deref(), "node list lost");
        drop(claim);
        edge.dispatch_for(held.service_id, Input::NodeListLost, 0);
    });
}

/// Returns why the list was lost, or `None` if nobody has to be told: the list has moved and is watched at
/// its new address, the service is no longer held, or another coroutine has taken over.
fn watch_native(
    edge: &Arc<Edge>, held: &Arc<HeldService>, claim: &WatchClaim, address_generation: u64,
) -> Option<String> {
    let addresses = edge.settings().addresses;
    let service = held.service.as_deref().unwrap_or(&addresses.service);
    let mut client = QueryClient::with_handle(&held.discovery_query, addresses.node_list, edge.marshal);
    let mut index = 0;
    loop {
        let hold = edge.limits().list_query_wait;
        if !claim.extend(hold + QUERY_SLACK + STUCK_AFTER) {
            return None;
        }
        let path = list::query_target(service, index, hold.as_secs());
        let answer = client.send("GET", &path, b"", list::MAX_LIST_BYTES, hold + QUERY_SLACK);
        let parsed =
            answer.map_err(|e| e.to_string()).and_then(|reply| Ok((reply.index, list::read(&reply.body)?)));
        let passed_on = edge.if_addresses_unchanged(address_generation, || {
            let Ok((_, nodes)) = &parsed else { return };
            edge.read_wall_clock();
            edge.dispatch_for(held.service_id, Input::NodeList(nodes), 0);
            let event = DiscoverySignal::Confirmed { as_of: edge.now(), next_within: hold + QUERY_SLACK };
            edge.dispatch_for(held.service_id, Input::Discovery(event), 0);
        });
        if passed_on.is_none() || held.is_dropped() {
            return None;
        }
        let new_index = match parsed {
            Ok((new_index, _)) => new_index.unwrap_or(0),
            Err(why) => return Some(why),
        };
        edge.log_rejected_nodes(held);
        // The index of a restarted list begins again at the front.
        index = if new_index < index { 0 } else { new_index };
        if new_index == 0 {
            sleep(Duration::from_secs(1));
        }
    }
}

/// Watches the rollout controller until it moves.
#[cfg(test)]
pub fn watch_home_controller(edge: &Arc<Edge>) {
    watch_controller(edge, &edge.primary);
}

/// Watches the rollout controller for one service until the controller moves or the service is no longer
/// held.
pub fn watch_controller(edge: &Arc<Edge>, held: &Arc<HeldService>) {
    // Read here rather than in the coroutine: after two moves in a row, both coroutines would watch the
    // second address.
    let (address_generation, controller_addr) =
        (edge.address_generation.load(Ordering::Acquire), edge.settings().addresses.rollout_controller);
    if edge.dialect.platform().is_some() {
        return platform::watch_controller(edge, address_generation, controller_addr);
    }
    let (edge, held) = (edge.clone(), held.clone());
    spawn(move || {
        let mut client = QueryClient::with_handle(&held.controller_query, controller_addr, edge.marshal);
        let (mut index, mut failures) = (0, 0);
        while !edge.stopping() {
            let path = controller::stage_query_target(
                index,
                CONTROLLER_HOLD.as_secs(),
                edge.marshal,
                held.service.as_deref(),
            );
            let answer =
                client.send("GET", &path, b"", controller::MAX_MESSAGE_BYTES, CONTROLLER_HOLD + QUERY_SLACK);
            let parsed =
                answer.map_err(|e| e.to_string()).and_then(|reply| controller::parse_update(&reply.body));
            let passed_on = edge.if_addresses_unchanged(address_generation, || {
                parsed.iter().for_each(|rollout_update| {
                    drop(edge.dispatch_for(held.service_id, Input::RolloutUpdate(rollout_update), 0))
                });
            });
            if passed_on.is_none() || held.is_dropped() {
                return; // The controller is watched at its new address, or the service is no longer held.
            }
            match parsed {
                Ok(rollout_update) => {
                    failures = 0;
                    index = if rollout_update.index < index { 0 } else { rollout_update.index };
                }
                Err(why) => {
                    let wait = backoff(Duration::from_millis(200), failures);
                    tracing::warn!(why, wait_ms = wait.as_millis() as u64, "release desk lost");
                    failures += 1;
                    sleep(wait);
                }
            }
        }
    });
}

/// This marshal's votes on one service. One vote is in flight at a time, because each has its own connection
/// and a later vote could otherwise be counted first.
#[derive(Default)]
pub struct VoteQueue {
    /// A vote is in flight.
    in_flight: bool,
    /// The latest vote that waits for the one in flight.
    waiting: Option<controller::Vote>,
}

/// Casts a vote once no other is in flight. A waiting vote is replaced by a newer one, since only the last
/// counts.
#[cfg(test)]
pub fn cast_home_vote(edge: &Arc<Edge>, vote: controller::Vote) {
    cast_vote(edge, &edge.primary, vote);
}

/// Casts a vote on one service.
pub fn cast_vote(edge: &Arc<Edge>, held: &Arc<HeldService>, vote: controller::Vote) {
    let mut votes = held.votes.lock().unwrap();
    if std::mem::replace(&mut votes.in_flight, true) {
        votes.waiting = Some(vote);
        return;
    }
    drop(votes);
    let (edge, held) = (edge.clone(), held.clone());
    spawn(move || {
        let mut vote = vote;
        loop {
            let ballot = match &edge.dialect {
                Dialect::Platform(_) => platform::send_vote(&edge, &vote),
                Dialect::Native => send_vote(&edge, &held, &vote),
            };
            tracing::info!(?vote, ?ballot, service = held.service.as_deref(), "voted");
            let next = {
                let mut votes = held.votes.lock().unwrap();
                votes.in_flight = votes.waiting.is_some();
                votes.waiting.take()
            };
            let Some(later) = next else {
                edge.dispatch_for(held.service_id, Input::VoteAnswered(ballot), 0);
                return;
            };
            // The core waits for the answer to a later vote, but what this answer says about the build is
            // still valid.
            if let Ballot::Answered(answer) = ballot {
                let rollout_update = controller::RolloutUpdate {
                    index: 0,
                    stage: Some(answer.stage),
                    sums: vec![],
                    disputed: vec![],
                };
                edge.dispatch_for(held.service_id, Input::RolloutUpdate(&rollout_update), 0);
            }
            vote = later;
        }
    });
}

/// Sends one vote in the native dialect and returns its result.
fn send_vote(edge: &Edge, held: &HeldService, vote: &controller::Vote) -> Ballot {
    let service = held.service.as_deref().map(str::to_owned);
    let body = controller::write(&controller::ServiceVote { vote: *vote, service });
    let settings = edge.settings();
    let mut client = QueryClient::new(settings.addresses.rollout_controller, edge.marshal);
    let answer = client.send("POST", "/v1/votes", &body, controller::MAX_MESSAGE_BYTES, settings.vote_wait);
    match answer {
        Ok(reply) => match controller::parse_vote_answer(&reply.body) {
            Ok(answer) => Ballot::Answered(answer),
            Err(_) => Ballot::Failed,
        },
        // Without a connection the vote cannot have arrived; otherwise it may have.
        Err(QueryError::Status(_) | QueryError::Unreadable(_)) => Ballot::Failed,
        Err(e) if e.refused_connection() => Ballot::Failed,
        Err(_) => Ballot::Silent,
    }
}
