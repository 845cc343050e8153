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
    pub fn heed(&mut self, rpc: RpcIx, outcome: Outcome, took: Duration, cx: &Context) {
        let soft = self.rpcs.get(&rpc).map_or(cx.law.least_soft, |r| cx.law.duties[r.method].soft);
        let part = took.as_secs_f64() / soft;
        let at = match outcome {
            Outcome::Ok => bin(part),
            Outcome::Full => bin(f64::MAX),
            Outcome::Timeout | Outcome::Cancelled => {
                self.ghosts.push_back(cx.now + secs(soft).saturating_sub(took));
                (bin(part) + 1).min(bin(f64::MAX))
            }
            _ => return,
        };
        self.odds.meet(at, CONGESTION[2] / 2.0);
        if part > CUT_SHORT_PART || matches!(outcome, Outcome::Ok | Outcome::Full) {
            self.lags.meet(at, CONGESTION[2]);
        }
    }

    /// Whether an RPC is not worth a pick now, by the time left as a part of its soft deadline. Guards
    /// against clients that give up early and retry at once: during congestion all nodes would work for them
    /// alone. A new RPC with normal time always passes. May reject some RPCs whose method is quicker than the
    /// others.
    pub fn slim(&mut self, left: f64, repeated: bool, cx: &Context) -> bool {
        let (odds, draw) = (self.odds.upto(bin(left)), lot(cx.law.seed, cx.now.as_nanos() as u64));
        let part = (SHORT_SEND[0] * odds.mean()).powi(2).max(SHORT_SEND[1]);
        let late =
            self.lags.edge(CONGESTION[3], CONGESTION[2] / 6.0).is_some_and(|e| e >= bin(CONGESTION[1]));
        // A client's retry is a repeat like one of ours, and draws on the same retry budget.
        let paid = !repeated || !late || self.retries >= 1.0;
        let short = left < 1.0 && odds.n >= CONGESTION[2] / 6.0 && draw > part;
        self.retries -= f64::from(u8::from(repeated && late && paid && !short));
        short || !paid
    }

    /// Adjusts the concurrency limit, never below this marshal's part of the fleet: with many marshals a
    /// node's queue grows though each has only one pick there. Guards against overload where time-outs do not
    /// stop the work.
    pub fn make_room(&mut self, took: Duration, cx: &mut Context) {
        let crowded =
            self.lags.edge(CONGESTION[0], CONGESTION[2] / 3.0).is_some_and(|e| e >= bin(CONGESTION[1]));
        if crowded && cx.now > self.cut + took {
            if self.last_stage(cx) {
                self.relief = cx.now + RELIEF_PERIOD;
                cx.put(CANARY_ANALYSIS, Message::CongestionRelief);
            }
            (self.room, self.cut) =
                ((0.8 * self.out(cx)).max(MIN_IN_FLIGHT_PER_POWER * self.fair).max(1.0), cx.now);
        } else if !crowded && self.out(cx) + 2.0 > self.room {
            self.room += 1.0 / self.room;
        }
    }
}
