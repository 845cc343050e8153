//! Canary analysis: gathers the evidence on both arms.

use super::*;

/// Interval at which all records are halved (exponential decay).
pub const HALVING_INTERVAL: Duration = ms(5000);
/// Interval at which counts are sent to peers.
const PEER_COUNTS_INTERVAL: Duration = ms(1000);
/// Age from which on received counts are ignored.
const PEER_COUNTS_MAX_AGE: Duration = ms(3200);
/// A node counts as failing on its own beyond this multiple of its arm's rate of outcomes that are not good.
const OUTLIER_MULTIPLE: f64 = 2.0;

impl CanaryAnalysis {
    /// Handles one message.
    pub fn handle(&mut self, message: Message, ctx: &mut Context) {
        match message {
            Message::NodeStatus(status) => {
                self.update_node(&status, ctx);
                self.begin_trial(if status.ready { status.entry.build } else { 0 });
            }
            Message::PickEnded { outcome, .. } if outcome.never_ran() || outcome == Outcome::Cancelled => {}
            Message::PickEnded { entry, method, at, outcome, took } => {
                let Some(node) = self.records.get_mut(entry.node).filter(|b| b.is_of(&entry)) else { return };
                let (soft, ok) = (ctx.config.methods[method].soft_secs, outcome == Outcome::Ok);
                let (slot, kind) = (self.observed.slot(method), node.entry.kind);
                let stats = node.stats_or_insert(method, slot);
                if matches!(outcome, Outcome::Ok | Outcome::Error) {
                    stats.soundness.add(Tally::one(ok), 1.0);
                }
                if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Malformed) {
                    stats.readable.add(Tally::one(outcome != Outcome::Malformed), 1.0);
                }
                if at >= self.relieved_at && !is_young(&entry, at) {
                    stats.payoff.add(Tally::one(ok && took <= soft), 1.0);
                    let bin = latency_bin(took / soft);
                    stats.latencies[bin] += Tally::one(ok).good;
                    let baseline = self.baseline.get(kind, slot);
                    // The latency of an error or a corrupt answer, or of a node on trial, tells nothing about
                    // a slowdown of the older arm.
                    let erred = matches!(outcome, Outcome::Error | Outcome::Malformed);
                    let comparable = entry.build < self.newest && !erred;
                    let quick_bin =
                        baseline.quantile_bin(QUICK_PART, MIN_SAMPLE / 3.0).filter(|_| comparable);
                    if let Some(quick_bin) = quick_bin {
                        self.abstention.record(at, slot, Tally::one(ok && bin <= quick_bin));
                    }
                }
            }
            Message::CongestionRelief => {
                // Congestion in the last stage: the latencies so far were measured at a different load and no
                // longer apply.
                self.relieved_at = ctx.now;
                let all =
                    self.records.iter_mut().flat_map(NodeRecord::all_stats).chain(self.past_nodes.iter_mut());
                all.for_each(OutcomeStats::clear_lateness);
            }
            Message::ErrorExcused { entry, method, at } => {
                let record = self.records.get_mut(entry.node).filter(|b| b.is_of(&entry));
                record
                    .and_then(|b| b.stats_if_any(method))
                    .into_iter()
                    .for_each(|l| l.remove_error(is_young(&entry, at)));
            }
            Message::Event(Event::Disputed { node, method, age }) => {
                let record = self.records.get_mut(node).filter(|b| ctx.age(&b.entry) > age);
                record
                    .and_then(|b| b.stats_if_any(method))
                    .into_iter()
                    .for_each(OutcomeStats::remove_disputed);
            }
            Message::Event(Event::ControllerCounts { build, picks, failed, age, .. })
                if build <= self.newest =>
            {
                let sum = Tally { count: picks.into(), good: picks.saturating_sub(failed).into() };
                let after_last_machine = build == self.newest && ctx.now >= self.last_machine_at + age;
                self.counted_outcomes += if after_last_machine { sum.count } else { 0.0 };
                self.controller_counts[usize::from(build != self.newest)].add(sum, 1.0);
            }
            Message::Event(Event::Peer { from, payload }) => {
                let Some((build, abstains, level, pairs)) = decode_counts(&payload) else { return };
                let Some(place) = self.ring_place(from, level, &ctx.config) else { return };
                self.record_peer_counts((level, place), (ctx.now, build, pairs));
                // All marshals abstain together.
                self.abstention.peer_abstains |= abstains && build == self.newest;
            }
            Message::Event(event) => {
                let Some((rollout, reply)) = RolloutStatus::read(ctx, &event) else { return };
                if let Some(vote) = self.last_vote.as_mut().filter(|_| reply != VoteReply::Unsolicited) {
                    vote.2 = reply;
                }
                if matches!(reply, VoteReply::Unsolicited | VoteReply::Counts) {
                    self.begin_trial(rollout.build);
                    self.rollout = Some(rollout);
                }
            }
            Message::Tick if ctx.now >= self.evaluated_at + EVALUATION_INTERVAL => self.evaluate(ctx),
            _ => {}
        }
    }

    /// Starts the trial of a build if it is newer than all before. The record of the previous build becomes
    /// the older arm's if that build was released, and is discarded otherwise.
    fn begin_trial(&mut self, build: Build) {
        if build <= self.newest {
            return;
        }
        let released =
            self.rollout.is_none_or(|n| n.build == self.newest && n.state == RolloutState::Released);
        if released {
            self.past_nodes.clear();
        }
        self.sum_arm(released, true, false);
        self.baseline = std::mem::take(&mut self.arms)[usize::from(released)].sums.clone();
        let discarded =
            |b: &&mut NodeRecord| b.entry.build == build || (b.entry.build == self.newest && !released);
        self.records.iter_mut().filter(discarded).for_each(NodeRecord::clear);
        self.newest = build;
        self.controller_counts = ArmPair::default();
        self.abstention = AbstentionTest::default();
        self.fleet_size = self.older_nodes(build);
    }

    /// Sums up the new or the older arm by kind and method. Of the quarter of its nodes that failed most,
    /// those beyond the rate of the whole arm are left out: trouble at a few nodes must not convict a build.
    /// `few_on_trial`: only the worst quarter, at least one node, is summed, with which the few nodes on
    /// trial are compared. `with_past_nodes` includes the outcomes on nodes that are gone. Returns the number
    /// of the arm's ready nodes.
    fn sum_arm(&mut self, new: bool, with_past_nodes: bool, few_on_trial: bool) -> usize {
        let in_arm = |b: &&NodeRecord| b.ready && (b.entry.build == self.newest) == new;
        let with_misses = |b| (NodeRecord::misses(b), b);
        let mut records: Vec<(f64, &NodeRecord)> =
            self.records.iter().filter(in_arm).map(with_misses).collect();
        let quarter = records.len() / 4;
        records.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.entry.node.cmp(&b.1.entry.node)));
        // A node's errors are its own only beyond the rate of its whole arm: errors of the only node of an
        // arm, or errors that bad RPCs cause at every node, are not.
        let mut total = ArmPair::default();
        records.iter().for_each(|b| add_pair(&mut total, &b.1.soundness_and_payoff()));
        let within_rate = |own: &Tally, all: &Tally| {
            own.missed() <= 1.0 + OUTLIER_MULTIPLE * own.count * (1.0 - all.mean())
        };
        let normal = |b: &NodeRecord| {
            b.soundness_and_payoff().iter().zip(&total).all(|(own, all)| within_rate(own, all))
        };
        let included = |i: usize, b: &NodeRecord| {
            if few_on_trial {
                i < quarter.max(1)
            } else {
                i >= quarter || normal(b)
            }
        };
        let included_records = records.iter().enumerate().filter(|(i, b)| b.1.used() && included(*i, b.1));
        let included_records: Vec<&NodeRecord> = included_records.map(|(_, b)| b.1).collect();
        self.arms[usize::from(new)].sum(with_past_nodes.then_some(&self.past_nodes), &included_records);
        records.len()
    }

    /// Whether the newest build is released or runs on more than 4/5 of the ready nodes, and so is compared
    /// with the record from before its trial.
    pub fn lacks_older_arm(&self) -> bool {
        let released =
            self.rollout.is_some_and(|n| n.build == self.newest && n.state == RolloutState::Released);
        released || 4 * self.ready_nodes(false) < self.ready_nodes(true)
    }

    /// Collects the evidence of this marshal as a pair per question, and the number of nodes on trial. The
    /// questions are, in this order, payoff, soundness by method, pace (the part of answers that are quick by
    /// the older arm's latencies), corrupt answers, and slowdown of the older arm by method. A slowdown pair
    /// holds the older arm's answers without and with the build's traffic, all others those of the new and
    /// older arm.
    fn own_evidence(&mut self, ctx: &Context) -> (Vec<ArmPair>, usize) {
        let (nodes, no_older_arm) = (self.sum_arm(true, false, false), self.lacks_older_arm());
        if !no_older_arm {
            self.sum_arm(false, true, nodes < 4);
        }
        let [old, new] = [if no_older_arm { &self.baseline } else { &self.arms[0].sums }, &self.arms[1].sums];
        let methods = self.observed.len();
        let mut pairs = vec![ArmPair::default(); methods + 3];
        let [off, on] = [&self.abstention.without_build, &self.abstention.with_build];
        let slowdown = |slot| [off, on].map(|t| t.get(slot).copied().unwrap_or_default());
        pairs.extend(self.observed.iter().map(|(_, slot)| slowdown(slot)));
        for (at, method, new_stats, old_stats) in self.observed.entries(new, old) {
            add_pair(&mut pairs[0], &[new_stats.payoff, old_stats.payoff]);
            add_pair(&mut pairs[methods + 2], &[new_stats.readable, old_stats.readable]);
            // Without an older arm, nothing tells whether the errors of methods that are not repeated come
            // from bad RPCs.
            if !no_older_arm || ctx.config.repeatable(method) {
                add_pair(&mut pairs[1 + at], &[new_stats.soundness, old_stats.soundness]);
            }
            if let Some(quick_bin) = old_stats.quantile_bin(QUICK_PART, MIN_SAMPLE) {
                add_pair(&mut pairs[methods + 1], &[new_stats.up_to(quick_bin), old_stats.up_to(quick_bin)]);
            }
        }
        (pairs, nodes)
    }

    /// Decays the records, tells dispatch which arm comes first, sends counts to peers and adds theirs, and
    /// votes.
    fn evaluate(&mut self, ctx: &mut Context) {
        self.evaluated_at = ctx.now;

        if ctx.now >= self.halved_at + HALVING_INTERVAL {
            self.halved_at = ctx.now;
            self.halve();
        }
        if ctx.now >= self.payoff_halved_at + PAYOFF_HALVING_INTERVAL {
            self.payoff_halved_at = ctx.now;
            self.records
                .iter_mut()
                .flat_map(NodeRecord::all_stats)
                .for_each(|l| l.payoff.add(l.payoff, -0.5));
            self.past_nodes.iter_mut().for_each(|l| l.payoff.add(l.payoff, -0.5));
        }
        let (mut pairs, nodes) = self.own_evidence(ctx);
        let (new_first, abstaining) =
            (ucb_index(pairs[0][0]) >= ucb_index(pairs[0][1]), self.abstention.abstaining_since.is_some());
        ctx.post(DISPATCHER, Message::ArmOrder { newest: self.newest, new_first, abstaining });
        // A vote rests on own evidence, the controller's counts, and recent counts of peers. At level k a
        // marshal sends the sums over the ring^k marshals up to itself to ring - 1 others, so that each
        // marshal is counted once.
        let due = ctx.now >= self.counts_sent_at + PEER_COUNTS_INTERVAL
            || abstaining != std::mem::replace(&mut self.sent_abstaining, abstaining);
        let send_counts = due && self.sends_counts(&ctx.config);
        for level in 0..self.levels {
            let span = self.ring_size.pow(level);
            if send_counts && pairs.iter().any(|p| p[0].count >= 1.0) {
                self.counts_sent_at = ctx.now;
                let text = encode_counts(self.newest, abstaining, level, &self.expand(&pairs));
                let to = (1..self.ring_size)
                    .map(|j| Some((ctx.config.marshal + j * span) % ctx.config.marshal_count));
                ctx.actions.extend(to.map(|to| Action::Tell { to, text: text.clone() }));
            }
            for (at, build, counts) in self.peer_counts.range((level, 0)..(level + 1, 0)).map(|h| h.1) {
                if *build == self.newest && ctx.now < *at + PEER_COUNTS_MAX_AGE {
                    self.add_peer_counts(&mut pairs, counts);
                }
            }
        }
        // The controller's counts include refusals by full nodes as failures: they are evidence of payoff,
        // not soundness.
        add_pair(&mut pairs[0], &self.controller_counts);
        self.vote(pairs, nodes, ctx);
    }
}
