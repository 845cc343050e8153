//! Congestion: what answers reveal about load, and which RPCs are sent under it.

use super::*;

/// An RPC with less time left than its soft deadline is sent with this probability: take the part of recent
/// picks that were answered within the time left, multiply it by this constant, and square the product.
const SHORT_SEND_MULTIPLE: f64 = 2.0;
/// Least such probability: if none were sent, nothing would be learned.
const MIN_SHORT_SEND_PROBABILITY: f64 = 0.05;
/// The fleet is congested when fewer than this part of recent answers are not slow: queues delay all answers
/// alike, while far zones and failing nodes delay only some.
const CONGESTED_PART: f64 = 0.25;
/// An answer is slow if it takes at least this part of its soft deadline.
const SLOW_DEADLINE_PART: f64 = 0.25;
/// Approximate number of recent answers that are considered.
const RECENT_ANSWERS: f64 = 24.0;
/// Replaces [`CONGESTED_PART`] when an RPC is a client's own retry.
const CONGESTED_PART_FOR_REPEATS: f64 = 0.5;
/// In the last stage, the earlier build's nodes take traffic for this long after the concurrency limit was
/// last cut, while a backlog drains.
const RELIEF_PERIOD: Duration = ms(6000);
/// Lower bound of the concurrency limit: picks per unit of capacity in this marshal's part of the fleet.
const MIN_IN_FLIGHT_PER_POWER: f64 = 2.0;

impl Dispatcher {
    /// Updates the latency histograms when a pick ends. A pick cut short would have taken longer, and a full
    /// queue counts as the longest. An abandoned pick may still occupy a node's queue, and counts as in
    /// flight until its soft deadline.
    pub fn record_latency(&mut self, rpc: RpcIx, outcome: Outcome, took: Duration, ctx: &Context) {
        let soft_secs =
            self.rpcs.get(&rpc).map_or(ctx.config.min_soft_secs, |r| ctx.config.methods[r.method].soft_secs);
        let soft_part = took.as_secs_f64() / soft_secs;
        let bin = match outcome {
            Outcome::Ok => latency_bin(soft_part),
            Outcome::Full => latency_bin(f64::MAX),
            Outcome::Timeout | Outcome::Cancelled => {
                self.abandoned.push_back(ctx.now + secs(soft_secs).saturating_sub(took));
                (latency_bin(soft_part) + 1).min(latency_bin(f64::MAX))
            }
            _ => return,
        };
        self.pick_latencies.add_latency(bin, RECENT_ANSWERS / 2.0);
        if soft_part > CUT_SHORT_PART || matches!(outcome, Outcome::Ok | Outcome::Full) {
            self.latencies.add_latency(bin, RECENT_ANSWERS);
        }
    }

    /// Whether an RPC is not worth a pick now. `left`: its time left as a part of its soft deadline;
    /// `repeated`: it is a client's own retry, which is charged to the retry budget during congestion. Guards
    /// against clients that give up early and retry at once: during congestion all nodes would work for them
    /// alone. A new RPC with normal time always passes. May reject some RPCs whose method is quicker than the
    /// others.
    pub fn should_shed(&mut self, left: f64, repeated: bool, ctx: &Context) -> bool {
        let (answered, draw) = (
            self.pick_latencies.up_to(latency_bin(left)),
            random_unit(ctx.config.seed, ctx.now.as_nanos() as u64),
        );
        let send_probability =
            (SHORT_SEND_MULTIPLE * answered.mean()).powi(2).max(MIN_SHORT_SEND_PROBABILITY);
        let congested = self
            .latencies
            .quantile_bin(CONGESTED_PART_FOR_REPEATS, RECENT_ANSWERS / 6.0)
            .is_some_and(|e| e >= latency_bin(SLOW_DEADLINE_PART));
        // A client's retry is a repeat like one of ours, and draws on the same retry budget.
        let affordable = !repeated || !congested || self.retry_budget >= 1.0;
        let shed = left < 1.0 && answered.count >= RECENT_ANSWERS / 6.0 && draw > send_probability;
        self.retry_budget -= f64::from(u8::from(repeated && congested && affordable && !shed));
        shed || !affordable
    }

    /// Adjusts the concurrency limit by additive increase and multiplicative decrease, at most one cut per
    /// `took`, the latency of the pick that ended. The limit has a lower bound by this marshal's part of the
    /// fleet: with many marshals a node's queue grows though each has only one pick there. Guards against
    /// overload where time-outs do not stop the work.
    pub fn adjust_limit(&mut self, took: Duration, ctx: &mut Context) {
        let congested = self
            .latencies
            .quantile_bin(CONGESTED_PART, RECENT_ANSWERS / 3.0)
            .is_some_and(|e| e >= latency_bin(SLOW_DEADLINE_PART));
        if congested && ctx.now > self.limit_cut_at + took {
            if self.last_stage(ctx) {
                self.relief_until = ctx.now + RELIEF_PERIOD;
                ctx.post(CANARY_ANALYSIS, Message::CongestionRelief);
            }
            (self.concurrency_limit, self.limit_cut_at) = (
                (0.8 * self.occupied(ctx)).max(MIN_IN_FLIGHT_PER_POWER * self.fair_capacity).max(1.0),
                ctx.now,
            );
        } else if !congested && self.occupied(ctx) + 2.0 > self.concurrency_limit {
            self.concurrency_limit += 1.0 / self.concurrency_limit;
        }
    }
}
