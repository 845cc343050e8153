//! Verdicts on the build on trial, and the votes sent for them.

use super::*;

/// Wait before a vote to promote, from when the stage's machines run.
const PROMOTE_WAIT: Duration = ms(2500);
/// A stage's machines count as running this long after its launch at the latest.
const STAGE_RUNNING_WITHIN: Duration = ms(9000);
/// Outcomes that the rollout controller, where it counts them, must have counted before a vote to promote,
/// since the list named the last of the build's machines.
const MIN_COUNTED_OUTCOMES: f64 = 30.0;
/// Longest wait for these outcomes.
const MAX_PROMOTE_WAIT: Duration = ms(10_000);
/// How much lower the new arm's payoff (0 to 1) must be to count as worse, by the design.
pub const PAYOFF_MARGIN: f64 = 0.05;
/// How much lower the new arm's soundness, or its part of readable answers, must be to count as worse.
pub const SOUNDNESS_MARGIN: f64 = 0.01;
/// How much lower the new arm's pace (its part of quick answers) must be to count as worse.
pub const PACE_MARGIN: f64 = 0.16;
/// Added to the pace margin where machines are few, divided by the square root of their number.
pub const PACE_MARGIN_FEW_NODES: f64 = 0.25;
/// How long evidence must be against a build, so that trouble in the fleet shows first: when unsound; when
/// failing by the controller's counts of both arms; when late or slow on trial; when failing by those counts,
/// late or slow without an older arm.
const EVIDENCE_DURATIONS: [Duration; 4] = [ms(800), ms(1500), ms(3000), ms(15_000)];
/// The part of the fleet, as it was when the trial began, that must be healthy for the abstention test to be
/// conclusive.
const MIN_HEALTHY_PART: f64 = 0.85;

impl CanaryAnalysis {
    /// Decides on a verdict from the pairs of all questions, peers' included, and votes if that is due.
    /// `nodes`: number of nodes on trial.
    pub fn vote(&mut self, mut pairs: Vec<ArmPair>, nodes: usize, ctx: &mut Context) {
        let live = |n: &RolloutStatus| matches!(n.state, RolloutState::Released | RolloutState::OnTrial);
        let Some(rollout) = self.rollout.filter(|n| n.build == self.newest && live(n)) else { return };
        let released = rollout.state == RolloutState::Released;
        // The abstention test ends with the trial. Otherwise nothing would be sent to a released build, and
        // without an older arm all RPCs would be pushed back.
        self.abstention.abstaining_since = self.abstention.abstaining_since.filter(|_| !released);
        // Questions, each with margin and variance: soundness by method, soundness overall, corrupt answers,
        // the controller's counts, payoff, pace.
        let (mut soundness, payoff) = (ArmPair::default(), pairs.remove(0));
        let slowdown = AbstentionTest::pool(pairs.split_off(self.observed.len() + 2));
        let (readable, pace) = (pairs.pop().unwrap_or_default(), pairs.pop().unwrap_or_default());
        pairs.iter().for_each(|p| add_pair(&mut soundness, p));
        let older_variance = |p: &ArmPair| p[1].mean() * (1.0 - p[1].mean());
        // Any node may return corrupt answers, and the older arm's few are excluded with its worst nodes: σ²
        // is that of both arms if they are alike. Costs power against a build that corrupts few answers.
        let pooled_variance = |p: &ArmPair| {
            let mean = (p[0].good + p[1].good) / (p[0].count + p[1].count).max(1e-9);
            mean * (1.0 - mean)
        };
        let pace_margin = PACE_MARGIN + PACE_MARGIN_FEW_NODES / (nodes.max(1) as f64).sqrt();
        let questions: Vec<(ArmPair, f64, f64)> = (pairs.iter().chain([&soundness]))
            .map(|p| (*p, SOUNDNESS_MARGIN, older_variance(p)))
            .chain([(readable, SOUNDNESS_MARGIN, pooled_variance(&readable))])
            .chain([(self.controller_counts, PAYOFF_MARGIN, pooled_variance(&self.controller_counts))])
            .chain([(payoff, PAYOFF_MARGIN, 0.25), (pace, pace_margin, older_variance(&pace))])
            .collect();
        // Where few of many marshals can roll a build back, each must be more certain, as any of them may
        // err.
        let delta = DELTA * ctx.config.rollback_part;
        let first_worse =
            |part: f64| questions.iter().position(|(p, m, v)| is_below(p[0], p[1], *m, part, *v, delta));
        let healthy = self.healthy_nodes();
        // Before all of the stage's machines run, the test would clear the build at an earlier stage's
        // traffic.
        let stage_runs = ctx.now >= self.stage_running_since(rollout, ctx);
        let testable = stage_runs && !self.lacks_older_arm() && healthy >= MIN_HEALTHY_PART * self.fleet_size;
        let nodes_lost =
            ((self.ready_nodes(false) + self.ready_nodes(true)) as f64) < MIN_HEALTHY_PART * self.fleet_size;
        let trial = Some((rollout.build, rollout.stage)).filter(|_| !released);
        let (held, guilty_of_slowdown) = trial.map_or((false, false), |t| {
            self.abstention.advance(ctx.now, t, nodes, [testable, nodes_lost], slowdown)
        });
        let against = first_worse(1.0).or(guilty_of_slowdown.then_some(questions.len()));
        // Lateness passes with a backlog, which lasts while nodes come and go.
        let lateness = usize::from(against >= Some(questions.len() - 3));
        let late_alone = lateness * usize::from(self.lacks_older_arm());
        let quiet_from = (self.nodes_changed_at * late_alone as u32)
            .max((self.relieved_at + PAYOFF_HALVING_INTERVAL) * lateness as u32);
        let by_controller = usize::from(against == Some(questions.len() - 3));
        let duration = EVIDENCE_DURATIONS[if late_alone > 0 { 3 } else { 2 * lateness - by_controller }];
        self.guilty_since = against.and(self.guilty_since.or(Some(ctx.now)));
        let guilty = self.guilty_since.is_some_and(|since| ctx.now >= since.max(quiet_from) + duration);
        let better = is_below(payoff[1], payoff[0], 0.0, 1.0, 0.25, DELTA);
        // The controller's counts over all marshals are a sample too: one of 300 marshals never has enough by
        // itself.
        let wait = if soundness[0].count.max(self.controller_counts[0].count) < MIN_SAMPLE {
            2 * PROMOTE_WAIT
        } else {
            PROMOTE_WAIT
        };
        // The controller counts from the machines' start, and the list may name them later: with a wait
        // alone, all marshals would vote to promote without evidence.
        let since = self.stage_running_since(rollout, ctx).max(self.relieved_at);
        let counted = self.counted_outcomes >= MIN_COUNTED_OUTCOMES
            || self.controller_counts[1].count == 0.0
            || ctx.now >= since + MAX_PROMOTE_WAIT;
        let promotable = better || (counted && ctx.now >= since + wait);
        let verdict = match against.or(first_worse(0.4)) {
            Some(_) if guilty => Verdict::Back,
            // An earlier vote to promote is withdrawn while the evidence leans against the build.
            lean if held || lean.is_some() => Verdict::None,
            // Votes that can never suffice would only displace votes to roll back at the controller.
            _ if promotable
                && !released
                && ctx.config.by_votes
                && ctx.config.promote_votes <= ctx.config.max_counted_votes =>
            {
                Verdict::On
            }
            _ => return,
        };
        let (stage, build, life) = (rollout.stage, rollout.build, ctx.config.vote_life);
        let vote = (verdict, stage, build);
        // Where all marshals vote more often than the controller accepts, a vote that counts is renewed when
        // it expires, and a refused one is repeated after a random time: a time slot for each marshal would
        // come too late for the few votes that are needed.
        let random = random_unit(ctx.config.seed, self.last_vote.map_or(0, |c| c.1.as_nanos() as u64));
        let within = life.mul_f64(0.25 + 0.5 * random);
        let after_refusal = secs(ctx.config.vote_gap_secs * (0.05 + 0.4 * random)).max(ms(200)).min(within);
        let resend_pause = secs((2.0 * ctx.config.vote_gap_secs).max(0.3)).min(within);
        let pause = match self.last_vote.filter(|c| c.0 == vote) {
            Some((.., VoteReply::Counts | VoteReply::Moot)) => {
                life.mul_f64(0.6).max(secs(ctx.config.vote_gap_secs).min(life))
            }
            Some((.., VoteReply::Full)) => after_refusal,
            Some(_) => ctx.config.vote_wait.max(resend_pause),
            None => resend_pause,
        };
        let idle =
            verdict == Verdict::None && self.last_vote.is_none_or(|(c, ..)| c != (Verdict::On, stage, build));
        if idle || self.last_vote.is_some_and(|(_, at, _)| ctx.now < at + pause) {
            return;
        }
        let logs_votes = ctx.config.marshal < MAX_RING_SIZE || verdict == Verdict::Back;
        if self.last_vote.is_none_or(|(last, ..)| last != vote) && logs_votes {
            let describe =
                |q: usize| describe_pair(self.question_number(q), &questions.get(q).map_or(payoff, |a| a.0));
            let reason = against.or(first_worse(0.4)).map_or(String::new(), describe);
            ctx.actions.push(Action::Log(format!("build {build} stage {stage}: vote {verdict:?}{reason}")));
        }
        self.last_vote = Some((vote, ctx.now, VoteReply::Unsolicited));
        ctx.actions.push(Action::Vote { verdict, stage, build });
    }

    /// When the stage's machines had all started as far as the list shows, or the latest time by which they
    /// must have.
    fn stage_running_since(&self, rollout: RolloutStatus, ctx: &Context) -> Duration {
        let trial = self.records.iter().filter(|b| b.ready && b.entry.build == rollout.build);
        // Nodes from before the last release may drain only after the trial has begun.
        let successors = if ctx.config.rehearsal_stage.is_none() { self.ready_nodes(true) } else { 0 };
        let stay = (self.ready_nodes(false) + successors) as f64;
        let share = ctx.config.shares.get(rollout.stage).copied().unwrap_or(0.0);
        let due = (share * self.fleet_size.min(stay)).round().max(1.0);
        let last =
            trial.filter_map(|b| b.entry.started).max().filter(|_| self.ready_nodes(true) as f64 >= due);
        let late = rollout.launched + STAGE_RUNNING_WITHIN;
        last.map_or(late, |at| at.clamp(rollout.launched, late))
    }
}
