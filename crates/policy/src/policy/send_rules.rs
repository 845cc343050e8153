//! The rules that every send has to pass.

use super::*;

impl SendRules {
    /// Stage and cap if the build is on trial as far as this marshal knows; an unannounced build counts as in
    /// stage 0.
    fn trial(&self, cx: &Context, build: Build) -> Option<(usize, f64)> {
        let news = self.news?;
        if build > news.build {
            return Some((0, cx.law.exposure.first_cap));
        }
        (build == news.build && news.course != Course::Released).then_some((news.stage, news.cap))
    }

    /// Checks all rules for a pick: rule 1 (time left), rule 2 (repeats), rule 3 (drains, announced or deemed
    /// so), rule 5 (exposure), rule 4 (slow start of cold nodes).
    pub fn admits(&self, cx: &Context, rpc: &Rpc, card: &NodeStatus) -> bool {
        (card.ready && cx.now < rpc.until && cx.lease.holds(cx.now))
            && self.may_repeat(cx, rpc, &card.entry)
            && self.exposable(cx, rpc, &card.entry)
            && self.warm_enough(cx, &card.entry)
    }

    /// Rule 2: whether the RPC may be sent to this node after its earlier picks.
    pub fn may_repeat(&self, cx: &Context, rpc: &Rpc, entry: &NodeEntry) -> bool {
        let barred = rpc.streaming || rpc.picks.len() >= cx.law.most_picks;
        if barred || (!cx.law.copies && rpc.picks.iter().any(|p| p.out)) {
            return false;
        }
        let mut ran = rpc.picks.iter().filter(|p| !p.never_ran).peekable();
        let Some(first) = ran.peek().map(|p| p.at) else { return true };
        match cx.law.duties[rpc.method].repeat {
            Repeat::Idempotent => true,
            Repeat::NonIdempotent => false,
            Repeat::Tokened { group, window } => {
                let near = |p: &Pick| same_group(group, &p.entry, entry);
                ran.all(near) && cx.now + secs(0.25) < first + window
            }
        }
    }

    /// Whether a client may safely retry the RPC: it may be executed again, or was never executed.
    pub fn may_push_back(cx: &Context, rpc: &Rpc) -> bool {
        let repeat = cx.law.duties[rpc.method].repeat;
        let harmless = matches!(repeat, Repeat::Idempotent | Repeat::Tokened { group: Group::All, .. });
        harmless || rpc.picks.iter().all(|p| p.never_ran)
    }

    /// Rule 5: whether the exposure budget and the one-way rule allow the node's build.
    fn exposable(&self, cx: &Context, rpc: &Rpc, entry: &NodeEntry) -> bool {
        let (duty, rule) = (&cx.law.duties[rpc.method], &cx.law.exposure);
        let crossed = rpc.key.and_then(|key| self.crossed.get(&key));
        if !self.news.is_some_and(|n| n.back()) && crossed.is_some_and(|&build| entry.build < build) {
            return false;
        }
        let Some((stage, cap)) = self.trial(cx, entry.build) else { return true };
        if cap <= 0.0 || (stage < rule.guarded && duty.repeat != Repeat::Idempotent) {
            return false;
        }
        let spans = [rule.window + TICK, rule.window.saturating_sub(TICK)];
        let [used, taken] = self.counted(cx, entry.build, duty.slot, spans);
        used + 1.0 <= self.free(cx) + cap * taken
    }

    /// Rule 4: whether a cold node has slow-start budget left. Peers are assumed to send in proportion to
    /// their ok answers, which is less than the fleet can do. Fractional budgets are rounded randomly in each
    /// window, as the budgets of hundreds of marshals add up.
    fn warm_enough(&self, cx: &Context, entry: &NodeEntry) -> bool {
        let (age, law) = (cx.age(entry), &cx.law);
        if law.warm(age) {
            return true;
        }
        let least = law.present(age.saturating_sub(law.fall_window));
        let budget = law.fall_budget * least * self.served * power(entry) / cx.sight.holders(entry.build);
        let window = (age.as_secs_f64() / law.fall_window.as_secs_f64().max(0.001) + law.phase) as u64;
        let lot = lot(law.seed, 1 << 63 | (entry.node as u64) << 32 | window);
        let used = recent(self.cold_sent.get(&entry.node), cx.now, law.fall_window) + self.unknown(cx);
        used + 1.0 <= (budget + lot).floor()
    }
}
