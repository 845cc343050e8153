//! The operators' rules, checked on what was recorded outside the marshals.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::clients::{Outcome, Request};
use crate::departures::{self, Departure};
use crate::fleet::Fleet;
use crate::truth::Truth;

/// New work may reach a draining node for this long after the marshal must know of the drain.
const GRACE: Duration = Duration::from_millis(1050);
/// Allowance for the delay between a marshal's write and the node's record of it.
const RECORDING_DELAY: Duration = Duration::from_millis(100);
/// An attempt may begin so long after its client's close, with the 50 ms by which each limit is longer on sockets.
const MAY_BEGIN_AFTER_CLOSE: Duration = Duration::from_millis(150);
/// After SIGTERM new connections keep coming for at least this long, and what comes on them is to be answered.
const SERVED_AFTER_STOP: Duration = Duration::from_millis(200);
/// A marshal that is killed or stopped may leave requests unanswered that fall within this time of its end.
const END_MARGIN: Duration = Duration::from_millis(1500);

/// Describes each broken rule; empty if all were kept.
pub fn check(fleet: &mut Fleet) -> Vec<String> {
    let mut violations = Vec::new();
    check_drains(fleet, &mut violations);
    check_duplicates(fleet, &mut violations);
    check_answers(fleet, &mut violations);
    check_departures(fleet, &mut violations);
    for marshal in &mut fleet.marshals {
        if marshal.crashed() {
            violations.push(format!("crash: marshal {} exited without being told to", marshal.number));
        }
        violations.extend(
            marshal.logged_violations().into_iter().map(|line| format!("marshal {}: {line}", marshal.number)),
        );
    }
    violations
}

/// No new work reaches a draining node once the grace period is over.
fn check_drains(fleet: &Fleet, violations: &mut Vec<String>) {
    let truth = fleet.truth.lock().unwrap();
    for arrival in &fleet.arrivals.lock().unwrap().all {
        let known_for = truth.drain_known_for(arrival.marshal, arrival.node, arrival.at);
        if let Some(known_for) = known_for.filter(|known_for| *known_for > GRACE + RECORDING_DELAY) {
            let at = arrival.at.duration_since(truth.started);
            violations.push(format!(
                "drain: {} reached node {} at {at:.3?}, {known_for:.3?} after marshal {} had to know of the drain",
                arrival.id, arrival.node, arrival.marshal
            ));
        }
    }
}

/// No non-idempotent request runs twice.
fn check_duplicates(fleet: &Fleet, violations: &mut Vec<String>) {
    for (id, runs) in &fleet.arrivals.lock().unwrap().non_idempotent_runs {
        if *runs > 1 {
            violations.push(format!("duplicate: {id} ran {runs} times"));
        }
    }
}

/// Every request gets its own answer in time, unless its marshal was killed or stopped around then.
fn check_answers(fleet: &Fleet, violations: &mut Vec<String>) {
    let truth = fleet.truth.lock().unwrap();
    for request in fleet.requests.lock().unwrap().iter() {
        let unanswered = matches!(request.outcome, Outcome::Closed | Outcome::Silent | Outcome::Wrong(_));
        if unanswered && !near_an_end(&truth, request) {
            let at = request.sent.duration_since(truth.started);
            violations.push(format!("lost: {} sent at {at:.3?} ended as {:?}", request.id, request.outcome));
        }
    }
}

/// No attempt for a client that has left begins later than the pages allow.
fn check_departures(fleet: &Fleet, violations: &mut Vec<String>) {
    let departures = fleet.departures.lock().unwrap();
    // By marshal and first number: a client that fills the buffers has thousands of ids.
    let left: BTreeMap<(usize, usize), &Departure> =
        departures.iter().map(|departure| ((departure.marshal, departure.first_number), departure)).collect();
    for arrival in &fleet.arrivals.lock().unwrap().all {
        let Some((marshal, number)) = departures::marshal_and_number(&arrival.id) else { continue };
        let Some((_, departure)) = left.range(..=(marshal, number)).next_back() else { continue };
        if departure.marshal != marshal || number >= departure.end_number {
            continue;
        }
        let late = arrival.at.saturating_duration_since(departure.left);
        if late > MAY_BEGIN_AFTER_CLOSE + RECORDING_DELAY {
            violations.push(format!(
                "lost: {} reached node {} {late:.3?} after its client had left, marshal {}, {:?} behind the first of {}, {:?}",
                arrival.id,
                arrival.node,
                departure.marshal,
                departure.behind,
                departure.end_number - departure.first_number,
                departure.leaving
            ));
        }
    }
}

fn near_an_end(truth: &Truth, request: &Request) -> bool {
    let Some(marshal) = truth.marshals.get(&request.marshal) else { return false };
    let is_near =
        |end: &Instant| request.sent < *end + 3 * END_MARGIN && *end < request.ended + END_MARGIN / 10;
    // What a stopping marshal was sent before and right after its signal has to be answered.
    let is_near_stop = |stop: &Instant| is_near(stop) && request.sent > *stop + SERVED_AFTER_STOP;
    marshal.ends.iter().any(is_near) || marshal.stops.iter().any(is_near_stop)
}
