//! The rules that every send has to pass.

use super::*;

impl SendRules {
    /// Stage and exposure cap of a build that counts as on trial: one that is announced and not released, or
    /// one that is newer than the announced one, which counts as in stage 0.
    fn trial(&self, ctx: &Context, build: Build) -> Option<(usize, f64)> {
        let rollout = self.rollout?;
        if build > rollout.build {
            return Some((0, ctx.config.exposure.first_cap));
        }
        (build == rollout.build && rollout.state != RolloutState::Released)
            .then_some((rollout.stage, rollout.cap))
    }

    /// Whether all rules allow a pick of this RPC at this node: rule 1 (time left), rule 2 (repeats), rule 3
    /// (no node that is announced as draining, or may be, as the list has expired), rule 5 (exposure), rule 4
    /// (slow start of cold nodes).
    pub fn allows(&self, ctx: &Context, rpc: &Rpc, status: &NodeStatus) -> bool {
        (status.ready && ctx.now < rpc.deadline && ctx.lease.is_valid(ctx.now))
            && self.may_repeat(ctx, rpc, &status.entry)
            && self.within_exposure(ctx, rpc, &status.entry)
            && self.within_slow_start(ctx, &status.entry)
    }

    /// Rule 2: whether the RPC may be sent to this node after its earlier picks.
    pub fn may_repeat(&self, ctx: &Context, rpc: &Rpc, entry: &NodeEntry) -> bool {
        let barred = rpc.streaming || rpc.picks.len() >= ctx.config.max_picks;
        if barred || (!ctx.config.hedging && rpc.picks.iter().any(|p| p.in_flight)) {
            return false;
        }
        let mut ran = rpc.picks.iter().filter(|p| !p.never_ran).peekable();
        let Some(first) = ran.peek().map(|p| p.sent_at) else { return true };
        match ctx.config.methods[rpc.method].repeat {
            Repeat::Idempotent => true,
            Repeat::NonIdempotent => false,
            Repeat::Tokened { group, window } => {
                let same_group_as_node = |p: &Pick| same_group(group, &p.entry, entry);
                ran.all(same_group_as_node) && ctx.now + secs(0.25) < first + window
            }
        }
    }

    /// Whether a client may safely retry the RPC: it may be executed again, or was never executed.
    pub fn may_push_back(ctx: &Context, rpc: &Rpc) -> bool {
        let repeat = ctx.config.methods[rpc.method].repeat;
        let repeatable = matches!(repeat, Repeat::Idempotent | Repeat::Tokened { group: Group::All, .. });
        repeatable || rpc.picks.iter().all(|p| p.never_ran)
    }

    /// Rule 5: whether the exposure budget and the one-way rule allow the node's build.
    fn within_exposure(&self, ctx: &Context, rpc: &Rpc, entry: &NodeEntry) -> bool {
        let (method_params, rule) = (&ctx.config.methods[rpc.method], &ctx.config.exposure);
        let key_build = rpc.key.and_then(|key| self.key_builds.get(&key));
        if !self.rollout.is_some_and(|n| n.is_rolled_back())
            && key_build.is_some_and(|&build| entry.build < build)
        {
            return false;
        }
        let Some((stage, cap)) = self.trial(ctx, entry.build) else { return true };
        if cap <= 0.0 || (stage < rule.guarded_stages && method_params.repeat != Repeat::Idempotent) {
            return false;
        }
        let spans = [rule.window + TICK, rule.window.saturating_sub(TICK)];
        let [used, received] = self.exposure_use(ctx, entry.build, method_params.exposure_budget, spans);
        used + 1.0 <= self.free_picks(ctx) + cap * received
    }

    /// Rule 4: whether a cold node has slow-start budget left. Peers are assumed to send in proportion to
    /// their ok answers, which is less than the fleet can do. Fractional budgets are rounded randomly in each
    /// window, as the budgets of hundreds of marshals add up.
    fn within_slow_start(&self, ctx: &Context, entry: &NodeEntry) -> bool {
        let (age, config) = (ctx.age(entry), &ctx.config);
        if config.is_warm(age) {
            return true;
        }
        let capacity = config.capacity_part(age.saturating_sub(config.slow_start_window));
        let budget = config.slow_start_secs * capacity * self.ok_rate_per_power * power(entry)
            / ctx.coverage.marshal_part(entry.build);
        let window =
            (age.as_secs_f64() / config.slow_start_window.as_secs_f64().max(0.001) + config.phase) as u64;
        let rounding = random_unit(config.seed, 1 << 63 | (entry.node as u64) << 32 | window);
        let used = count_recent(self.sent_by_node.get(&entry.node), ctx.now, config.slow_start_window)
            + self.unknown_sends(ctx);
        used + 1.0 <= (budget + rounding).floor()
    }
}
