//! All decisions of one marshal, and all tuned values. The interface is in `port.rs`; the reasons are in
//! `docs/design.md`.
//!
//! Each node is a small actor. The other components are RPC dispatch, canary analysis with its votes, and the
//! discovery client with the lease on the node list. They communicate only by messages in inboxes, which the
//! loop in `marshal.rs` delivers: nodes first, dispatch last. Their state is defined in `state/`.

mod abstention_test;
mod canary_analysis;
mod congestion;
mod discovery_client;
mod dispatcher;
mod list_lease;
mod node;
mod node_selection;
mod send_rules;
mod statistics;
mod vote;

use std::time::Duration;

use crate::port::*;
use crate::state::*;
pub use {
    canary_analysis::HALVING_INTERVAL,
    statistics::*,
    vote::{PACE_MARGIN, PACE_MARGIN_FEW_NODES, PAYOFF_MARGIN, SOUNDNESS_MARGIN},
};

/// Interval of ticks, which check waiting RPCs and silent nodes, while there is work.
pub const TICK: Duration = ms(20);
/// Interval of evaluations of the evidence, and of ticks while idle.
pub const EVALUATION_INTERVAL: Duration = ms(100);
/// The most marshals in a ring, which exchange counts directly. Also the number of marshals that log all
/// their votes; the others log only votes to roll back, as more logs would repeat the same.
pub const MAX_RING_SIZE: usize = 8;
/// Retry budget for picks that may have been executed: the gain in picks per received RPC.
pub const RETRY_GAIN_PER_RPC: f64 = 0.2;
/// Size of the retry budget: the gain of this many seconds at the present rate of RPCs.
pub const RETRY_BUDGET_SECS: f64 = 4.0;
/// Least size of the retry budget, in picks.
pub const MIN_RETRY_BUDGET: f64 = 2.0;
/// Largest size of the retry budget, in picks.
pub const MAX_RETRY_BUDGET: f64 = 20.0;
/// Assumed latency before the first answer, as a part of the soft deadline.
pub const INITIAL_LATENCY_PART: f64 = 1.0 / 6.0;
/// A pick that times out before this part of its soft deadline counts as cut short by its client.
const CUT_SHORT_PART: f64 = 0.5;
/// Weight of the mean of its kind and zone in a node's expected latency, as a number of answers.
const GROUP_LATENCY_WEIGHT: f64 = 6.0;
/// Largest weight of the node's own mean in its expected latency, as a number of answers.
const MAX_NODE_LATENCY_WEIGHT: f64 = 12.0;
/// Determines the subset size: each node of the subset gets about this many picks in the time for which an
/// idle connection is kept.
const PICKS_PER_IDLE_TIME: f64 = 20.0;
/// Least subset size in nodes.
const MIN_SUBSET_NODES: f64 = 6.0;
/// Seconds over which the rate of RPCs is averaged.
const ARRIVAL_WINDOW_SECS: f64 = 10.0;
/// Interval at which payoff is halved, in addition to the halving of all records: the older arm's must not
/// come from a calmer time than the new build's.
const PAYOFF_HALVING_INTERVAL: Duration = ms(2000);
/// The part of the older arm's answers, without a slowdown, whose latencies count as quick.
const QUICK_PART: f64 = 0.75;
