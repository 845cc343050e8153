//! State of the calls to discovery and of the validity of the node list.

use std::time::Duration;

use crate::port::ListLeaseConfig;

/// The subscription to the node list, and when to request it.
#[derive(Default)]
pub struct DiscoveryClient {
    /// The last result from discovery was an answer; false before the first one, after a failure, and once a
    /// sign of life is overdue.
    pub subscribed: bool,
    /// The first call is scheduled.
    pub first_call_planned: bool,
    /// A call has been made.
    pub call_made: bool,
    /// Earliest time of the next call.
    pub next_call: Duration,
    /// Failures of calls and subscriptions since the last answer.
    pub failures: u32,
    /// By when the watch has to give a sign of life; none where signs are not reported.
    pub sign_due: Option<Duration>,
}

/// How long the node list may be used without another answer from discovery.
#[derive(Default)]
pub struct ListLease {
    /// The bounds on the list's validity. None: the list is valid forever.
    pub bounds: Option<ListLeaseConfig>,
    /// How long a node may still be sent to once it counts as announced to be draining.
    pub drain_grace: Duration,
    /// End of the lease; none before the first event, or where the list's validity was never bounded.
    pub valid_until: Option<Duration>,
    /// When the last config reload was announced.
    pub reloaded_at: Option<Duration>,
}
