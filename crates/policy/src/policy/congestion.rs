//! Congestion: what answers reveal about load, and which RPCs are sent under it.

use super::*;

/// An RPC with less time left than its soft deadline is sent with a probability: the square of this multiple
/// of the part of recent picks that were answered in such time, and never below the second figure, or nothing
/// would be learned.
const SHORT_SEND: [f64; 2] = [2.0, 0.05];
/// The fleet is congested when even this part of recent answers, the quickest, took this part of their soft
/// deadline or longer (queues delay all alike; far zones and failing nodes delay only some). Then: the number
/// of recent answers considered, and the part of answers that counts for clients' repeats.
const CONGESTION: [f64; 4] = [0.25, 0.25, 24.0, 0.5];
/// In the last stage, the earlier build's nodes take traffic for this long after the concurrency limit was
/// last cut, while a backlog drains.
const RELIEF_PERIOD: Duration = ms(6000);
/// Own picks in flight that are always allowed per unit of capacity in this marshal's part of the fleet.
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
        self.pick_latencies.add_latency(bin, CONGESTION[2] / 2.0);
        if soft_part > CUT_SHORT_PART || matches!(outcome, Outcome::Ok | Outcome::Full) {
            self.latencies.add_latency(bin, CONGESTION[2]);
        }
    }

    /// Whether an RPC is not worth a pick now, by the time left as a part of its soft deadline. Guards
    /// against clients that give up early and retry at once: during congestion all nodes would work for them
    /// alone. A new RPC with normal time always passes. May reject some RPCs whose method is quicker than the
    /// others.
    pub fn should_shed(&mut self, left: f64, repeated: bool, ctx: &Context) -> bool {
        let (answered, draw) = (
            self.pick_latencies.up_to(latency_bin(left)),
            random_unit(ctx.config.seed, ctx.now.as_nanos() as u64),
        );
        let send_probability = (SHORT_SEND[0] * answered.mean()).powi(2).max(SHORT_SEND[1]);
        let congested = self
            .latencies
            .quantile_bin(CONGESTION[3], CONGESTION[2] / 6.0)
            .is_some_and(|e| e >= latency_bin(CONGESTION[1]));
        // A client's retry is a repeat like one of ours, and draws on the same retry budget.
        let affordable = !repeated || !congested || self.retry_budget >= 1.0;
        let shed = left < 1.0 && answered.n >= CONGESTION[2] / 6.0 && draw > send_probability;
        self.retry_budget -= f64::from(u8::from(repeated && congested && affordable && !shed));
        shed || !affordable
    }

    /// Adjusts the concurrency limit, never below this marshal's part of the fleet: with many marshals a
    /// node's queue grows though each has only one pick there. Guards against overload where time-outs do not
    /// stop the work.
    pub fn adjust_limit(&mut self, took: Duration, ctx: &mut Context) {
        let congested = self
            .latencies
            .quantile_bin(CONGESTION[0], CONGESTION[2] / 3.0)
            .is_some_and(|e| e >= latency_bin(CONGESTION[1]));
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
