//! Watches the operators' node list by long polling. Each held call that is answered confirms that discovery
//! is alive.
//!
//! A call that continues a watch is answered within its hold time. A call that opens a watch may first wait
//! in discovery's queue, where it is refused after some 2 s. It must not time out earlier: its slot in the
//! queue would be spent on a closed connection, the next call would wait behind it, and in a crowd no marshal
//! would ever get an answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ivydrift_marshal::{DiscoverySignal, Input};
use ivydrift_platform::members::MAX_LIST_BYTES;
use ivydrift_sockets::coroutine::{sleep, spawn};

use crate::dialect::Platform;
use crate::query::{QueryClient, QueryError};
use crate::services::WatchClaim;
use crate::watch::STUCK_AFTER;
use crate::{Edge, STALL_THRESHOLD};

/// How much longer than its hold time the answer of a continued watch may take.
const CONTINUED_SLACK: Duration = Duration::from_millis(800);
/// How long a call that opens a watch may wait in the queue.
const QUEUE_WAIT: Duration = Duration::from_millis(2600);
/// Hold time of a call that opens a watch: it is answered at its turn, since the marshal may be refusing RPCs
/// until then.
const OPENING_HOLD: Duration = Duration::ZERO;
/// Minimum interval between calls if discovery answers at once. A watch continues if the next call comes
/// within 200 ms.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(100);

/// How long a call may wait in discovery's queue until it is refused.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(2000);
/// A call that has lasted for longer than this has left the queue: the rest is for the network, and for a stall
/// too short to be detected.
const LONGEST_IN_QUEUE: Duration =
    QUEUE_TIMEOUT.saturating_add(Duration::from_millis(50)).saturating_add(STALL_THRESHOLD);

/// Why a call returned no list.
enum CallError {
    Query(QueryError),
    /// The answer is malformed, or its changes do not apply to the known revision.
    Unusable(String),
}

/// What to do after a failed call.
enum AfterFailure {
    /// Call again at once on a new connection.
    Retry,
    /// The watch is lost; the core decides when to ask again.
    GiveUp,
}

/// One watch of the node list.
struct Watch<'a> {
    edge: &'a Arc<Edge>,
    platform: &'a Platform,
    claim: &'a WatchClaim,
    client: QueryClient,
    /// The last call was answered, so the next one continues its watch.
    continues_watch: bool,
    /// A failed call has already been retried at once.
    retried: bool,
}

/// One call and its parameters.
struct Call {
    started: Instant,
    hold: Duration,
    continued: bool,
    /// The call asked for changes, not for the whole list.
    incremental: bool,
}

/// Watches the list until a call fails; the core then decides when to ask again.
pub fn watch(edge: &Arc<Edge>, claim: WatchClaim, address_generation: u64) {
    let edge = edge.clone();
    spawn(move || {
        let Some(platform) = edge.dialect.platform() else { return };
        let client = QueryClient::new(edge.settings().addresses.node_list, edge.marshal);
        let mut watch =
            Watch { edge: &edge, platform, claim: &claim, client, continues_watch: false, retried: false };
        while claim.extend(edge.limits().list_query_wait + QUEUE_WAIT + STUCK_AFTER) {
            match watch.step(address_generation) {
                None => return,
                Some(AfterFailure::Retry) => {}
                Some(AfterFailure::GiveUp) => {
                    drop(claim);
                    edge.dispatch(Input::NodeListLost, 0);
                    return;
                }
            }
        }
    });
}

impl Watch<'_> {
    /// Makes one call and handles its result. Returns `None` if the list has moved in the meantime or another
    /// coroutine has taken over the watch.
    fn step(&mut self, address_generation: u64) -> Option<AfterFailure> {
        let (call, answer) = self.call();
        let edge = self.edge;
        if !self.claim.extend(STUCK_AFTER) {
            return None;
        }
        // Applied and passed on in one step: otherwise the list could move in between, and newer data be
        // overwritten.
        let applied = edge.if_addresses_unchanged(address_generation, || {
            let applied = answer.map_err(CallError::Query).and_then(|body| self.apply(&body));
            match &applied {
                Ok(()) => self.report_confirmed(&call),
                Err(why) => self.report_failure(&call, why),
            }
            applied
        })?;
        Some(match applied {
            Ok(()) => {
                (self.continues_watch, self.retried) = (true, false);
                edge.log_rejected_nodes(&edge.primary);
                sleep(MIN_CALL_INTERVAL.saturating_sub(call.started.elapsed()));
                AfterFailure::Retry
            }
            Err(why) => self.after_failure(&call, &why),
        })
    }

    /// Makes one call.
    fn call(&mut self) -> (Call, Result<Vec<u8>, QueryError>) {
        let continued = self.continues_watch;
        let max_hold = self.edge.limits().list_query_wait;
        let hold = if continued { max_hold } else { OPENING_HOLD };
        let slack = if continued { CONTINUED_SLACK } else { QUEUE_WAIT };
        let path = self.platform.catalog.lock().unwrap().next_request_target(hold.as_millis() as u64);
        let call = Call { started: Instant::now(), hold, continued, incremental: path.contains('?') };
        let answer = self.client.send("GET", &path, b"", MAX_LIST_BYTES, hold + slack);
        let took_ms = call.started.elapsed().as_millis() as u64;
        match &answer {
            Ok(_) if continued => tracing::debug!(path, took_ms, continued, "membership call answered"),
            Ok(_) => tracing::info!(path, took_ms, continued, "membership call answered"),
            Err(why) => tracing::info!(path, took_ms, continued, %why, "membership call failed"),
        }
        (call, answer.map(|reply| reply.body))
    }

    /// Applies an answer to the catalog and passes the list to the core.
    fn apply(&self, body: &[u8]) -> Result<(), CallError> {
        let mut catalog = self.platform.catalog.lock().unwrap();
        catalog.apply(&String::from_utf8_lossy(body)).map_err(CallError::Unusable)?;
        let nodes = catalog.nodes();
        drop(catalog);
        self.edge.read_wall_clock();
        self.edge.dispatch(Input::NodeList(&nodes), 0);
        Ok(())
    }

    /// The list was complete and current when the answer was written, which is by the end of the hold time,
    /// however late it is read. A process that was stalled only knows that it was after the call began.
    fn report_confirmed(&self, call: &Call) {
        let started = self.edge.now().saturating_sub(call.started.elapsed());
        let as_of =
            if self.edge.recently_stalled() { started } else { self.edge.now().min(started + call.hold) };
        let next_within = self.edge.limits().list_query_wait + CONTINUED_SLACK;
        self.edge.dispatch(Input::Discovery(DiscoverySignal::Confirmed { as_of, next_within }), 0);
    }

    /// Passes on what a failed call proves: nothing, unless discovery ended a watch that it was holding. A call
    /// that fails sooner may have waited in the queue, so changes may have been made that it would have told;
    /// one that fails without a status may have lost its connection long before.
    fn report_failure(&self, call: &Call, why: &CallError) {
        let (now, took) = (self.edge.now(), call.started.elapsed());
        let held = call.continued && took > LONGEST_IN_QUEUE && !self.edge.recently_stalled();
        if held && matches!(why, CallError::Query(QueryError::Status(_))) {
            let signal = DiscoverySignal::WatchEnded { asked: now.saturating_sub(took), as_of: now };
            self.edge.dispatch(Input::Discovery(signal), 0);
        }
    }

    /// Decides what follows a failed call.
    fn after_failure(&mut self, call: &Call, why: &CallError) -> AfterFailure {
        let first_failure = !std::mem::replace(&mut self.retried, true);
        self.continues_watch = false;
        let retry = match why {
            // Only the watch's connection may have died or become silent.
            CallError::Query(QueryError::Broken(_) | QueryError::TimedOut) => call.continued,
            CallError::Query(_) => false,
            // The changes do not apply to the known revision: asks for the whole list at once.
            CallError::Unusable(_) => {
                call.incremental && self.platform.catalog.lock().unwrap().revision().is_none()
            }
        };
        if first_failure && retry {
            return AfterFailure::Retry;
        }
        match why {
            CallError::Query(why) => tracing::warn!(%why, "list of members lost"),
            CallError::Unusable(why) => tracing::warn!(why, "list of members lost"),
        }
        AfterFailure::GiveUp
    }
}
