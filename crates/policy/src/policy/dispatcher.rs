//! Dispatch of RPCs: retries, waiting, and final answers.

use super::*;

/// Seconds over which the rate of ok answers is averaged.
const OK_RATE_WINDOW_SECS: f64 = 3.0;
/// An RPC is itself at fault once this many of its picks were answered with an error. The repeat that showed
/// it is credited back to the retry budget.
const BAD_RPC_ERRORS: usize = 2;
/// The recorded keys of the one-way rule are dropped beyond this number, once no earlier node is left.
const MAX_RECORDED_KEYS: usize = 1 << 20;
/// Seconds by which an RPC of mean utility is moved ahead in the waiting order; others in proportion to their
/// utility.
const UTILITY_HEAD_START_SECS: f64 = 0.2;
/// A waiting RPC is given up this many mean latencies of its method before its soft deadline.
const GIVE_UP_LATENCIES: f64 = 1.5;

impl Dispatcher {
    /// Handles one message.
    pub fn handle(&mut self, message: Message, ctx: &mut Context) {
        match message {
            Message::NodeStatus(status) => self.update_status(status),
            Message::ArmOrder { newest, new_first, abstaining } => {
                if self.newest != newest {
                    // Marshals start at different credits, so that low-traffic ones do not all try a new
                    // build at the same time.
                    (self.lists_stale, self.credit) = (true, [1.0, ctx.config.phase]);
                }
                (self.newest, self.new_first, self.abstaining) = (newest, new_first, abstaining);
            }
            Message::Event(Event::Rpc { rpc, method, key, time_left, is_retry, .. }) => {
                let method_params = &ctx.config.methods[method];
                self.send_rules.received.entry(method).or_default().push_back(ctx.now);
                self.arrivals[0] += 1.0;
                let max_budget =
                    RETRY_GAIN_PER_RPC * RETRY_BUDGET_SECS * self.arrivals[0] / self.arrivals[1].max(1.0);
                self.retry_budget += if is_retry { 0.0 } else { RETRY_GAIN_PER_RPC };
                self.retry_budget =
                    self.retry_budget.min(max_budget.clamp(MIN_RETRY_BUDGET, MAX_RETRY_BUDGET));
                let shed = self.should_shed(time_left.as_secs_f64() / method_params.soft_secs, is_retry, ctx);
                let (soft_deadline, deadline) =
                    (ctx.now + secs(method_params.soft_secs).min(time_left), ctx.now + time_left);
                let rank = soft_deadline
                    .saturating_sub(secs(UTILITY_HEAD_START_SECS * method_params.relative_utility));
                self.rpcs.insert(rpc, Rpc { method, key, soft_deadline, deadline, rank, ..Rpc::default() });
                // Where the build's nodes replaced earlier ones, the remaining nodes must not get more load
                // during an abstention, or the test would show only that: the build's part is pushed back.
                self.pushback_credit += if self.abstaining && ctx.config.rehearsal_stage.is_none() {
                    self.newest_part()
                } else {
                    0.0
                };
                if shed || self.pushback_credit >= 1.0 {
                    self.pushback_credit -= if shed { 0.0 } else { 1.0 };
                    self.reject(rpc, ctx);
                } else {
                    self.send_or_queue(rpc, ctx);
                }
            }
            Message::Event(Event::PickEnded { rpc, pick, node, outcome, took, done, .. }) => {
                self.ok_answers += f64::from(u8::from(outcome == Outcome::Ok));
                let NodeEntry { build, kind, zone, .. } = self.statuses[node].entry;
                let failed = matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::NoConnection);
                if failed || outcome == Outcome::Ok {
                    let took = took.as_secs_f64().max(if failed { ctx.config.min_soft_secs } else { 0.0 });
                    let mean_secs = self
                        .group_latency
                        .entry((kind, zone))
                        .or_insert(INITIAL_LATENCY_PART * ctx.config.min_soft_secs);
                    *mean_secs += 0.1 * (took - *mean_secs);
                }
                if outcome == Outcome::Ok && ctx.config.exposure.one_way {
                    let left = self.send_rules.departed_keys.get(&rpc).copied();
                    let sent = self
                        .rpcs
                        .get(&rpc)
                        .and_then(|state| Some((state.key?, state.picks.get(pick)?.entry.build)));
                    left.or(sent)
                        .into_iter()
                        .for_each(|(key, sent)| self.send_rules.record_key(key, sent.max(build)));
                }
                self.record_latency(rpc, outcome, took, ctx);
                if let Some(state) = self.rpcs.get_mut(&rpc) {
                    if outcome == Outcome::Ok {
                        self.method_latency[state.method] +=
                            0.05 * (took.as_secs_f64() - self.method_latency[state.method]);
                    }
                    if let Some(p) = state.picks.get_mut(pick) {
                        (p.in_flight, p.never_ran, p.erred) =
                            (false, outcome.never_ran(), outcome == Outcome::Error);
                    }
                    state.tried_newest |= build == self.newest;
                    if done {
                        self.remove(rpc);
                    } else if !state.streaming && state.picks.iter().all(|p| !p.in_flight) {
                        self.retry(rpc, outcome.never_ran(), ctx);
                    }
                } else {
                    self.send_rules.departed_keys.remove(&rpc);
                }
                self.adjust_limit(took, ctx);
                ctx.post(DISPATCHER, Message::SendWaiting);
            }
            Message::Event(Event::StreamBegun { rpc, .. }) => {
                self.rpcs.entry(rpc).and_modify(|state| state.streaming = true);
            }
            Message::Event(Event::ClientLeft { rpc }) => {
                // Its pick may still be answered ok, and that build has then answered its key.
                let in_flight = self
                    .rpcs
                    .get(&rpc)
                    .and_then(|state| Some((state.key?, state.picks.iter().rfind(|p| p.in_flight)?)));
                self.send_rules
                    .departed_keys
                    .extend(in_flight.map(|(key, pick)| (rpc, (key, pick.entry.build))));
                self.remove(rpc);
            }
            Message::Event(event) => {
                if let Some((rollout, VoteReply::Unsolicited | VoteReply::Counts)) =
                    RolloutStatus::read(ctx, &event)
                {
                    self.send_rules.rollout = Some(rollout);
                    if rollout.is_rolled_back() {
                        self.send_rules.key_builds.retain(|_, build| *build != rollout.build);
                    }
                }
            }
            Message::Tick if ctx.now >= self.rate_updated_at + EVALUATION_INTERVAL => {
                let power = (self.fleet_capacity[0] + self.fleet_capacity[1]).max(1.0);
                let step = (ctx.now - self.rate_updated_at).as_secs_f64().min(OK_RATE_WINDOW_SECS);
                // If nothing could be sent, nothing was learned; otherwise a fleet of cold nodes only would
                // stay blocked.
                if self.occupied(ctx) + self.ok_answers > 0.0 || !std::mem::take(&mut self.blocked) {
                    self.send_rules.ok_rate_per_power += step / OK_RATE_WINDOW_SECS
                        * (self.ok_answers / step / power - self.send_rules.ok_rate_per_power);
                }
                (self.ok_answers, self.rate_updated_at, self.lists_stale) = (0.0, ctx.now, true);
                let released = self.send_rules.rollout.is_some_and(|n| n.state == RolloutState::Released);
                if released && self.arms[0].is_empty() && self.send_rules.key_builds.len() > MAX_RECORDED_KEYS
                {
                    self.send_rules.key_builds.clear(); // No earlier node is left that a key could return to.
                }
                self.arrivals = self.arrivals.map(|x| x * (1.0 - step / ARRIVAL_WINDOW_SECS));
                self.arrivals[1] += step;
                self.abandoned.retain(|until| ctx.now < *until);
                let horizon =
                    ctx.config.exposure.window.max(ctx.config.slow_start_window) + 2 * EVALUATION_INTERVAL;
                self.send_rules.prune(ctx.now.saturating_sub(horizon));
                ctx.post(DISPATCHER, Message::SendWaiting);
            }
            Message::Tick | Message::SendWaiting => self.send_waiting(ctx),
            _ => {}
        }
    }

    /// Rejects waiting RPCs without enough time left, and tries to send the first three of the others.
    fn send_waiting(&mut self, ctx: &mut Context) {
        // With an expired node list nothing is sent: waiting RPCs are refused at once.
        let list_expired = !ctx.lease.is_valid(ctx.now);
        let too_late = |r: &Rpc| {
            list_expired
                || ctx.now + secs(GIVE_UP_LATENCIES * self.method_latency[r.method]) > r.soft_deadline
        };
        let expired = |w: &&(Duration, RpcIx)| self.rpcs.get(&w.1).is_some_and(too_late);
        let given_up: Vec<RpcIx> = self.waiting.iter().filter(expired).map(|w| w.1).collect();
        given_up.into_iter().for_each(|rpc| self.reject(rpc, ctx));
        let next: Vec<RpcIx> = self.waiting.iter().take(3).map(|w| w.1).collect();
        if next.into_iter().any(|rpc| self.send(rpc, ctx)) {
            ctx.post(DISPATCHER, Message::SendWaiting);
        }
    }

    /// Sends an RPC, or queues it if others wait or it cannot be sent now.
    fn send_or_queue(&mut self, rpc: RpcIx, ctx: &mut Context) {
        if !self.waiting.is_empty() || !self.send(rpc, ctx) {
            self.blocked = true;
            self.waiting.extend(self.rpcs.get(&rpc).map(|r| (r.rank, rpc)));
            ctx.post(DISPATCHER, Message::SendWaiting);
        }
    }

    /// Gives an RPC its final answer in place of a node's: pushed back if a client may safely retry,
    /// otherwise aborted.
    fn reject(&mut self, rpc: RpcIx, ctx: &mut Context) {
        let Some(state) = self.rpcs.get(&rpc) else { return };
        let wait = secs(2.0 * self.method_latency[state.method]);
        let retry_after = ctx.config.retry_after.map(|most| wait.min(most));
        let safe = SendRules::may_push_back(ctx, state);
        ctx.actions.push(if safe { Action::PushBack { rpc, retry_after } } else { Action::Abort { rpc } });
        self.remove(rpc);
    }

    /// Sends an RPC again after a failed pick if time, rules and retry budget allow it, and rejects it
    /// otherwise. `never_ran`: the failed pick was not executed, so the repeat is free. Repeats of picks that
    /// may have been executed draw on the retry budget, so that failing nodes or an overload do not cause a
    /// retry storm.
    fn retry(&mut self, rpc: RpcIx, never_ran: bool, ctx: &mut Context) {
        let (state, cost) = (&self.rpcs[&rpc], if never_ran { 0.0 } else { 1.0 });
        let rpc_at_fault = state.picks.iter().filter(|p| p.erred).count() >= BAD_RPC_ERRORS;
        // The RPC gets errors everywhere, or no repeat can show whether it does: its error proves nothing
        // about node or build. Only first picks were recorded.
        let excused = rpc_at_fault || (self.retry_budget < cost && ctx.config.repeatable(state.method));
        if let Some(&Pick { entry, sent_at, .. }) = state.picks.first().filter(|p| p.erred && excused) {
            ctx.post(CANARY_ANALYSIS, Message::ErrorExcused { entry, method: state.method, at: sent_at });
        }
        self.retry_budget += f64::from(u8::from(rpc_at_fault));
        let in_time = ctx.now + secs(0.5 * self.method_latency[state.method]) < state.deadline
            && self.retry_budget >= cost
            && !rpc_at_fault;
        if in_time && self.statuses.iter().any(|c| self.send_rules.may_repeat(ctx, state, &c.entry)) {
            self.retry_budget -= cost;
            self.send_or_queue(rpc, ctx);
        } else {
            self.reject(rpc, ctx);
        }
    }
}
