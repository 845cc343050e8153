//! Chooses the arm and the node of a pick, and sends it.

use super::*;

/// Limit of an arm's picks as a multiple of its share of the ready nodes, and the most picks of credit or
/// debt that an arm can have.
const SHARE_LIMIT: [f64; 2] = [1.1, 3.0];
/// A key's preferred node is used unless the cost of another is below this part of its cost.
const AFFINITY_COST_PART: f64 = 0.75;

impl Dispatcher {
    /// Expected latency of a pick at a node in seconds, at its present capacity. While few of its answers are
    /// known, the mean of its kind and zone dominates (slow machines, lossy links).
    fn pace(&self, c: &NodeStatus, cx: &Context) -> f64 {
        let usual = self.groups.get(&(c.entry.kind, c.entry.zone));
        let usual = usual.copied().unwrap_or(INITIAL_LATENCY_PART * cx.law.least_soft);
        (LATENCY_WEIGHTS[0] * usual + c.met * c.pace)
            / (LATENCY_WEIGHTS[0] + c.met)
            / cx.law.present(cx.age(&c.entry))
    }

    /// Chooses an arm and a node: the arm of the larger UCB index within its limits, then the other; at first
    /// without ejected nodes and with care for those on probation. Returns the arm to charge, the credit that
    /// both arms gain, and the node.
    fn choose(&self, r: &Rpc, cx: &Context) -> Option<(usize, [f64; 2], NodeEntry)> {
        let all = self.arms[0].len() + self.arms[1].len();
        // In the last stage, beside the earlier machines, each new node gets the load that it will have after
        // the release. During congestion this is off, as idle nodes would stand beside RPCs pushed back.
        // Harms where there are too few new nodes.
        let rehearsal = cx.now >= self.relief && self.last_stage(cx);
        let [old, new] = self.fleet;
        let whole = if rehearsal { new.max(old) } else { new + old };
        // A build that gets no traffic accrues no credit: many marshals would spend it all at once.
        let share = if self.starved { 0.0 } else { new / whole.max(1e-9) };
        let reach =
            (self.pulse[0] / self.pulse[1].max(1.0) * cx.law.kept / SUBSET_SIZING[0]).max(SUBSET_SIZING[1]);
        let most_rest = 5 * self.resting >= 4 * all;
        let due = [SHARE_LIMIT[0] * (1.0 - share), SHARE_LIMIT[0] * share];
        let within = [self.due[0] + due[0] >= 1.0, self.due[1] + due[1] >= 1.0 && !self.starved];
        // Repeats try the older arm first.
        let first = usize::from(self.new_first && !r.burnt && !self.starved);
        let mut arms = [first, 1 - first];
        arms.sort_by_key(|&arm| !within[arm]);
        // Cold nodes have send budgets. The arm's picks are split between cold and warm nodes by capacity;
        // otherwise marshals without budget left would send the cold nodes' part to the few warm ones.
        let split = [0, 1].map(|arm: usize| {
            let part = self.cold[arm] / self.weights[arm].max(1e-9);
            usize::from(lot(cx.law.seed, self.draws + 8) >= part)
        });
        let mut charged = None;
        for (wary, apart) in [(true, true), (true, false), (false, false)] {
            for arm in arms {
                let fits = |c: &&NodeStatus| {
                    let unsure = c.in_flight > 0 || cx.law.duties[r.method].repeat == Repeat::NonIdempotent;
                    let failed = || r.picks.iter().any(|p| p.entry.node == c.entry.node);
                    let doubt = c.resting || (c.gentle && unsure) || failed();
                    (if wary { !doubt } else { !c.resting || most_rest }) && self.gate.admits(cx, r, c)
                };
                // Power of two choices among the first nodes of this marshal's own order; the rest of the
                // list is the fallback.
                let (cold, warm) = self.arms[arm].split_at(self.chill[arm]);
                let list = if apart { [cold, warm][split[arm]] } else { &self.arms[arm] };
                let near = (reach * list.len() as f64 / all as f64).ceil().max(2.0) as usize;
                let near = near.min(list.len());
                let draw = |nth: u64| {
                    let die = |i: u64| chance(cx.law.seed, self.draws + i) as usize % near.max(1);
                    let walk = (0..near).map(|i| (die(nth) + i) % near).chain(near..list.len());
                    let tries = (nth..nth + 4).map(die).filter(|_| near > 0).chain(walk);
                    tries.map(|i| &self.cards[list[i]]).find(fits)
                };
                let cost = |c: &NodeStatus| (c.in_flight + 1) as f64 * self.pace(c, cx);
                // Key affinity: where nodes work less for a key handled recently, all marshals agree on its
                // node by rendezvous hashing. It is one of the two choices, and is taken unless clearly
                // busier. Harms where one key has most of the traffic.
                let home = |key: u64| list.iter().max_by_key(|n| chance(key, self.cards[**n].entry.name));
                let home = r.key.filter(|_| cx.law.warm_keys).and_then(home).map(|&n| &self.cards[n]);
                let (a, b, part) = match home.filter(fits) {
                    Some(home) => (Some(home), draw(0), AFFINITY_COST_PART),
                    None => (draw(0), draw(4), 1.0),
                };
                if let (Some(a), Some(b)) = (a, b) {
                    let entry = if cost(b) < part * cost(a) { b.entry } else { a.entry };
                    return Some((charged.unwrap_or(arm), due, entry));
                }
                // Picks that cold nodes cannot take are not saved up as credit for warm ones.
                charged = charged.or((apart && split[arm] == 0 && within[arm]).then_some(arm));
            }
        }
        None
    }

    /// Sends the next pick of an RPC if the concurrency limit and the rules allow one now.
    pub fn send(&mut self, rpc: RpcIx, cx: &mut Context) -> bool {
        if self.stale {
            self.muster(cx);
        }
        if self.out(cx) + 1.0 > self.room {
            return false;
        }
        let Some((arm, due, entry)) = self.rpcs.get(&rpc).and_then(|r| self.choose(r, cx)) else {
            return false;
        };
        self.draws += 9;
        let pace = self.pace(&self.cards[entry.node], cx);
        let Some(r) = self.rpcs.get_mut(&rpc) else { return false };
        self.waiting.remove(&(r.rank, rpc));
        self.gate.book(cx, r.method, &entry);
        let most = SHARE_LIMIT[1];
        self.due = [0, 1].map(|i| (self.due[i] + due[i]).clamp(-most, most));
        self.due[arm] -= 1.0;
        // A first pick that may be repeated leaves time for a second; at a slow node, waiting is better.
        let (left, duty) = (r.until.saturating_sub(cx.now), &cx.law.duties[r.method]);
        let early = (0.6 * duty.soft).max(4.0 * self.usual[r.method].max(pace));
        let repeatable = duty.repeat != Repeat::NonIdempotent && self.retries >= 1.0;
        let leave_room = repeatable && r.picks.is_empty() && early < 0.8 * duty.soft;
        let within = if leave_room { secs(early).min(left) } else { left };
        r.picks.push(Pick { entry, at: cx.now, out: true, never_ran: false, erred: false });
        let (node, pick, method) = (entry.node, r.picks.len() - 1, r.method);
        cx.out.push(Action::Pick { rpc, node, within });
        cx.put(FIRST_NODE + node, Message::PickSent { rpc, pick, method });
        true
    }
}
