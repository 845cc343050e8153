//! State of the calls to discovery and of the validity of the node list.

use std::time::Duration;

use crate::port::ListLeaseConfig;

/// The subscription to the node list, and when to request it.
#[derive(Default)]
pub struct DiscoveryClient {
    /// The last result from discovery was an answer; false after a failure.
    pub subscribed: bool,
    /// The first call is scheduled.
    pub first_call_planned: bool,
    /// A call has been made.
    pub call_made: bool,
    /// Earliest time of the next call.
    pub next_call: Duration,
    /// Failures in a row.
    pub failures: u32,
    /// By when the watch has to give a sign of life; none where signs are not reported.
    pub sign_due: Option<Duration>,
}

/// How long the node list may be used without another answer from discovery.
#[derive(Default)]
pub struct ListLease {
    /// None: the list is valid forever.
    pub rollout_config: Option<ListLeaseConfig>,
    /// How long a node may still be sent to once it counts as announced to be draining.
    pub drain_grace: Duration,
    /// End of the lease; none before the first event.
    pub valid_until: Option<Duration>,
    /// The outage that discovery has announced, if any.
    pub outage: Option<Outage>,
}

/// Discovery has announced that it shuts down, and nothing has shown since that it is back.
#[derive(Clone, Copy)]
pub struct Outage {
    /// When it was announced.
    pub since: Duration,
    /// When the last call was made that failed as calls do during an outage.
    pub last_failed_call: Duration,
}
