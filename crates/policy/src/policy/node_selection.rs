//! Chooses the arm and the node of a pick, and sends it.

use super::*;

/// Limit of an arm's picks as a multiple of its share of the capacity.
const MAX_SHARE_MULTIPLE: f64 = 1.1;
/// Bound on an arm's credit, positive or negative, in picks.
const MAX_CREDIT_PICKS: f64 = 3.0;
/// A key's preferred node is used unless the cost of the other choice (picks in flight there and this one,
/// times expected latency) is below this part of its cost.
const AFFINITY_COST_PART: f64 = 0.75;

impl Dispatcher {
    /// Expected latency of a pick at a node in seconds, at its present capacity. While few of its answers are
    /// known, the mean of its kind and zone dominates (slow machines, lossy links).
    fn expected_latency(&self, status: &NodeStatus, ctx: &Context) -> f64 {
        let group_secs = self.group_latency.get(&(status.entry.kind, status.entry.zone));
        let group_secs = group_secs.copied().unwrap_or(INITIAL_LATENCY_PART * ctx.config.min_soft_secs);
        (GROUP_LATENCY_WEIGHT * group_secs + status.samples * status.expected_secs)
            / (GROUP_LATENCY_WEIGHT + status.samples)
            / ctx.config.capacity_part(ctx.age(&status.entry))
    }

    /// Chooses an arm and a node: the arm of the larger UCB index within its limits, then the other; at first
    /// without ejected nodes, nodes that this RPC has failed at, and nodes on probation that are busy or
    /// would get a non-idempotent RPC. Returns the arm to charge, the credit that both arms gain, and the
    /// node; none if no node may be used now.
    fn choose(&self, state: &Rpc, ctx: &Context) -> Option<(usize, [f64; 2], NodeEntry)> {
        let all = self.arms[0].len() + self.arms[1].len();
        // In the last stage, beside the earlier machines, each new node gets the load that it will have after
        // the release. During congestion this is off, as idle nodes would stand beside RPCs pushed back.
        // Harms where there are too few new nodes.
        let rehearsing = ctx.now >= self.relief_until && self.last_stage(ctx);
        let [old, new] = self.fleet_capacity;
        let whole = if rehearsing { new.max(old) } else { new + old };
        // A build that gets no traffic accrues no credit: many marshals would spend it all at once.
        let share = if self.abstaining { 0.0 } else { new / whole.max(1e-9) };
        let subset_size = (self.arrivals[0] / self.arrivals[1].max(1.0) * ctx.config.idle_timeout_secs
            / PICKS_PER_IDLE_TIME)
            .max(MIN_SUBSET_NODES);
        let mostly_ejected = 5 * self.ejected >= 4 * all;
        let gain = [MAX_SHARE_MULTIPLE * (1.0 - share), MAX_SHARE_MULTIPLE * share];
        let within = [self.credit[0] + gain[0] >= 1.0, self.credit[1] + gain[1] >= 1.0 && !self.abstaining];
        // Repeats try the older arm first.
        let first = usize::from(self.new_first && !state.tried_newest && !self.abstaining);
        let mut arms = [first, 1 - first];
        arms.sort_by_key(|&arm| !within[arm]);
        // Cold nodes have send budgets. The arm's picks are split between cold and warm nodes by capacity;
        // otherwise marshals without budget left would send the cold nodes' part to the few warm ones.
        let use_warm = [0, 1].map(|arm: usize| {
            let part = self.cold_capacity[arm] / self.capacity[arm].max(1e-9);
            usize::from(random_unit(ctx.config.seed, self.draws + 8) >= part)
        });
        let mut charged = None;
        for (careful, separate) in [(true, true), (true, false), (false, false)] {
            for arm in arms {
                let fits = |node: &&NodeStatus| {
                    let unproven = node.in_flight > 0
                        || ctx.config.methods[state.method].repeat == Repeat::NonIdempotent;
                    let failed = || state.picks.iter().any(|p| p.entry.node == node.entry.node);
                    let doubtful = node.ejected || (node.on_probation && unproven) || failed();
                    (if careful { !doubtful } else { !node.ejected || mostly_ejected })
                        && self.send_rules.allows(ctx, state, node)
                };
                // Power of two choices among the first nodes of this marshal's own order; the rest of the
                // list is the fallback.
                let (cold, warm) = self.arms[arm].split_at(self.cold_nodes[arm]);
                let list = if separate { [cold, warm][use_warm[arm]] } else { &self.arms[arm] };
                let subset = (subset_size * list.len() as f64 / all as f64).ceil().max(2.0) as usize;
                let subset = subset.min(list.len());
                let draw = |nth: u64| {
                    let roll = |i: u64| random_u64(ctx.config.seed, self.draws + i) as usize % subset.max(1);
                    let walk = (0..subset).map(|i| (roll(nth) + i) % subset).chain(subset..list.len());
                    let tries = (nth..nth + 4).map(roll).filter(|_| subset > 0).chain(walk);
                    tries.map(|i| &self.statuses[list[i]]).find(fits)
                };
                let cost = |node: &NodeStatus| (node.in_flight + 1) as f64 * self.expected_latency(node, ctx);
                // Key affinity: where nodes work less for a key handled recently, all marshals agree on its
                // node by rendezvous hashing. It is one of the two choices, and is taken unless clearly
                // busier. Harms where one key has most of the traffic.
                let preferred = |key: u64| {
                    list.iter().max_by_key(|n| random_u64(key, self.statuses[**n].entry.address_hash))
                };
                let preferred = state
                    .key
                    .filter(|_| ctx.config.warm_keys)
                    .and_then(preferred)
                    .map(|&n| &self.statuses[n]);
                let (a, b, part) = match preferred.filter(fits) {
                    Some(preferred) => (Some(preferred), draw(0), AFFINITY_COST_PART),
                    None => (draw(0), draw(4), 1.0),
                };
                if let (Some(a), Some(b)) = (a, b) {
                    let entry = if cost(b) < part * cost(a) { b.entry } else { a.entry };
                    return Some((charged.unwrap_or(arm), gain, entry));
                }
                // Picks that cold nodes cannot take are not saved up as credit for warm ones.
                charged = charged.or((separate && use_warm[arm] == 0 && within[arm]).then_some(arm));
            }
        }
        None
    }

    /// Sends the next pick of an RPC if the concurrency limit and the rules allow one now. Returns whether it
    /// did.
    pub fn send(&mut self, rpc: RpcIx, ctx: &mut Context) -> bool {
        if self.lists_stale {
            self.rebuild_arms(ctx);
        }
        if self.occupied(ctx) + 1.0 > self.concurrency_limit {
            return false;
        }
        let Some((arm, gain, entry)) = self.rpcs.get(&rpc).and_then(|state| self.choose(state, ctx)) else {
            return false;
        };
        self.draws += 9;
        let expected_secs = self.expected_latency(&self.statuses[entry.node], ctx);
        let Some(state) = self.rpcs.get_mut(&rpc) else { return false };
        self.waiting.remove(&(state.rank, rpc));
        self.send_rules.record_send(ctx, state.method, &entry);
        let max_credit = MAX_CREDIT_PICKS;
        self.credit = [0, 1].map(|i| (self.credit[i] + gain[i]).clamp(-max_credit, max_credit));
        self.credit[arm] -= 1.0;
        // A first pick that may be repeated leaves time for a second; at a slow node, waiting is better.
        let (left, method_params) =
            (state.deadline.saturating_sub(ctx.now), &ctx.config.methods[state.method]);
        let first_wait =
            (0.6 * method_params.soft_secs).max(4.0 * self.method_latency[state.method].max(expected_secs));
        let may_retry = method_params.repeat != Repeat::NonIdempotent && self.retry_budget >= 1.0;
        let limit_wait = may_retry && state.picks.is_empty() && first_wait < 0.8 * method_params.soft_secs;
        let within = if limit_wait { secs(first_wait).min(left) } else { left };
        state.picks.push(Pick { entry, sent_at: ctx.now, in_flight: true, never_ran: false, erred: false });
        let (node, pick, method) = (entry.node, state.picks.len() - 1, state.method);
        ctx.actions.push(Action::Pick { rpc, node, within });
        ctx.post(FIRST_NODE + node, Message::PickSent { rpc, pick, method });
        true
    }
}
