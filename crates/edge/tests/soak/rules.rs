//! The operators' rules, checked on what was recorded outside the marshals.

use std::time::{Duration, Instant};

use crate::clients::{Outcome, Request};
use crate::fleet::Fleet;
use crate::truth::Truth;

/// New work may reach a draining node for this long after the marshal must know of the drain.
const GRACE: Duration = Duration::from_millis(1050);
/// Allowance for the delay between a marshal's write and the node's record of it.
const NOISE: Duration = Duration::from_millis(100);
/// A marshal that is killed or stopped may leave requests unanswered that fall within this time of its end.
const AROUND_END: Duration = Duration::from_millis(1500);

/// Describes each broken rule; empty if all were kept.
pub fn broken(fleet: &mut Fleet) -> Vec<String> {
    let mut found = Vec::new();
    drains(fleet, &mut found);
    repeats(fleet, &mut found);
    answers(fleet, &mut found);
    for marshal in &mut fleet.marshals {
        if marshal.crashed() {
            found.push(format!("crash: marshal {} exited without being told to", marshal.number));
        }
        found.extend(
            marshal.complaints().into_iter().map(|line| format!("marshal {}: {line}", marshal.number)),
        );
    }
    found
}

/// No new work reaches a draining node once the grace period is over.
fn drains(fleet: &Fleet, found: &mut Vec<String>) {
    let truth = fleet.truth.lock().unwrap();
    for arrival in &fleet.arrivals.lock().unwrap().all {
        let since = truth.withdrawn_for(arrival.marshal, arrival.node, arrival.at);
        if let Some(since) = since.filter(|since| *since > GRACE + NOISE) {
            let at = arrival.at.duration_since(truth.begun);
            found.push(format!(
                "drain: {} reached node {} at {at:.3?}, {since:.3?} after marshal {} had to know of the drain",
                arrival.id, arrival.node, arrival.marshal
            ));
        }
    }
}

/// No non-idempotent request runs twice.
fn repeats(fleet: &Fleet, found: &mut Vec<String>) {
    for (id, runs) in &fleet.arrivals.lock().unwrap().unsafe_runs {
        if *runs > 1 {
            found.push(format!("duplicate: {id} ran {runs} times"));
        }
    }
}

/// Every request gets its own answer in time, unless its marshal was killed or stopped around then.
fn answers(fleet: &Fleet, found: &mut Vec<String>) {
    let truth = fleet.truth.lock().unwrap();
    for request in fleet.requests.lock().unwrap().iter() {
        let lost = matches!(request.outcome, Outcome::Closed | Outcome::Silent | Outcome::Wrong(_));
        if lost && !near_an_end(&truth, request) {
            let at = request.sent.duration_since(truth.begun);
            found.push(format!("lost: {} sent at {at:.3?} ended as {:?}", request.id, request.outcome));
        }
    }
}

fn near_an_end(truth: &Truth, request: &Request) -> bool {
    let Some(marshal) = truth.marshals.get(&request.marshal) else { return false };
    let near = |end: &Instant| request.sent < *end + 3 * AROUND_END && *end < request.ended + AROUND_END / 10;
    marshal.ends.iter().any(near)
}
