//! Verdicts on the build on trial, and the votes sent for them.

use super::*;

/// Wait before a vote to promote, from when the stage's machines run.
const PROMOTE_WAIT: Duration = ms(2500);
/// A stage's machines count as running this long after its launch at the latest.
const STAGE_RUNNING_WITHIN: Duration = ms(9000);
/// Outcomes that the rollout controller, where it counts them, must have counted before a vote to promote,
/// since the list named the last of the build's machines; and the longest wait for that.
const MIN_COUNTED_OUTCOMES: f64 = 30.0;
const MAX_PROMOTE_WAIT: Duration = ms(10_000);
/// How much worse the new arm must be: in payoff (by the design), in soundness, in pace (plus a term for few
/// machines).
pub const MARGIN: [f64; 4] = [0.05, 0.01, 0.16, 0.25];
/// How long evidence must be against a build, so that trouble in the fleet shows first: when unsound; when
/// failing by the controller's counts of both arms; when late or slow on trial; when late or slow without an
/// older arm.
const EVIDENCE_DURATIONS: [Duration; 4] = [ms(800), ms(1500), ms(3000), ms(15_000)];
/// The part of the fleet that must be healthy for the abstention test to be conclusive.
const MIN_HEALTHY_PART: f64 = 0.85;

impl CanaryAnalysis {
    /// Decides on a verdict from the pairs of all questions, and votes if that is due.
    pub fn vote(&mut self, mut pairs: Vec<ArmPair>, nodes: usize, cx: &mut Context) {
        let live = |n: &RolloutStatus| matches!(n.course, Course::Released | Course::OnTrial);
        let Some(news) = self.news.filter(|n| n.build == self.newest && live(n)) else { return };
        let released = news.course == Course::Released;
        // The abstention test ends with the trial. Otherwise nothing would be sent to a released build, and
        // without an older arm all RPCs would be pushed back.
        self.strain.since = self.strain.since.filter(|_| !released);
        // Questions, each with margin and variance: soundness by method, soundness overall, corrupt answers,
        // the controller's counts, payoff, pace.
        let (mut sound, payoff) = (ArmPair::default(), pairs.remove(0));
        let strain = AbstentionTest::pool(pairs.split_off(self.seen.len() + 2));
        let (whole, pace) = (pairs.pop().unwrap_or_default(), pairs.pop().unwrap_or_default());
        pairs.iter().for_each(|p| join(&mut sound, p));
        let var = |p: &ArmPair| p[1].mean() * (1.0 - p[1].mean());
        // Any node may return corrupt answers, and the older arm's few are excluded with its worst nodes: σ²
        // is that of both arms if they are alike. Costs power against a build that corrupts few answers.
        let pooled = |p: &ArmPair| {
            let mean = (p[0].good + p[1].good) / (p[0].n + p[1].n).max(1e-9);
            mean * (1.0 - mean)
        };
        let slower = MARGIN[2] + MARGIN[3] / (nodes.max(1) as f64).sqrt();
        let asked: Vec<(ArmPair, f64, f64)> = (pairs.iter().chain([&sound]))
            .map(|p| (*p, MARGIN[1], var(p)))
            .chain([(whole, MARGIN[1], pooled(&whole))])
            .chain([(self.sums, MARGIN[0], pooled(&self.sums))])
            .chain([(payoff, MARGIN[0], 0.25), (pace, slower, var(&pace))])
            .collect();
        // Where few of many marshals can roll a build back, each must be more certain, as any of them may
        // err.
        let delta = DELTA * cx.law.back_part;
        let worse = |part: f64| asked.iter().position(|(p, m, v)| below(p[0], p[1], *m, part, *v, delta));
        let sound_nodes = self.sound();
        // Before all of the stage's machines run, the test would clear the build at an earlier stage's
        // traffic.
        let runs = cx.now >= self.begun(news, cx);
        let apart = runs && !self.alone() && sound_nodes >= MIN_HEALTHY_PART * self.places;
        let lost = ((self.ready(false) + self.ready(true)) as f64) < MIN_HEALTHY_PART * self.places;
        let trial = Some((news.build, news.stage)).filter(|_| !released);
        let (held, shared) =
            trial.map_or((false, false), |t| self.strain.weigh(cx.now, t, nodes, [apart, lost], strain));
        let found = worse(1.0).or(shared.then_some(asked.len()));
        // Lateness passes with a backlog, which lasts while nodes come and go.
        let late = usize::from(found >= Some(asked.len() - 3));
        let alone = late * usize::from(self.alone());
        let calm = (self.stirred * alone as u32).max((self.relieved + PAYOFF_HALVING_INTERVAL) * late as u32);
        let counted = usize::from(found == Some(asked.len() - 3));
        let ponder = EVIDENCE_DURATIONS[if alone > 0 { 3 } else { 2 * late - counted }];
        self.guilty = found.and(self.guilty.or(Some(cx.now)));
        let guilty = self.guilty.is_some_and(|since| cx.now >= since.max(calm) + ponder);
        let better = below(payoff[1], payoff[0], 0.0, 1.0, 0.25, DELTA);
        // The controller's counts over all marshals are a sample too: one of 300 marshals never has enough by
        // itself.
        let wait =
            if sound[0].n.max(self.sums[0].n) < LEAST_SAMPLE { 2 * PROMOTE_WAIT } else { PROMOTE_WAIT };
        // The controller counts from the machines' start, and the list may name them later: with a wait
        // alone, all marshals would vote to promote without evidence.
        let since = self.begun(news, cx).max(self.relieved);
        let told =
            self.tried >= MIN_COUNTED_OUTCOMES || self.sums[1].n == 0.0 || cx.now >= since + MAX_PROMOTE_WAIT;
        let ripe = better || (told && cx.now >= since + wait);
        let verdict = match found.or(worse(0.4)) {
            Some(_) if guilty => Verdict::Back,
            // An earlier vote to promote is withdrawn while the evidence leans against the build.
            lean if held || lean.is_some() => Verdict::None,
            // Votes that can never suffice would only displace votes to roll back at the controller.
            _ if ripe && !released && cx.law.by_votes && cx.law.on_votes <= cx.law.standing => Verdict::On,
            _ => return,
        };
        let (stage, build, life) = (news.stage, news.build, cx.law.vote_life);
        let wish = (verdict, stage, build);
        // Where all marshals vote more often than the controller accepts, a vote that counts is renewed when
        // it expires, and a refused one is repeated after a random time: a time slot for each marshal would
        // come too late for the few votes that are needed.
        let draw = lot(cx.law.seed, self.cast.map_or(0, |c| c.1.as_nanos() as u64));
        let within = life.mul_f64(0.25 + 0.5 * draw);
        let soon = secs(cx.law.vote_gap * (0.05 + 0.4 * draw)).max(ms(200)).min(within);
        let gap = secs((2.0 * cx.law.vote_gap).max(0.3)).min(within);
        let pause = match self.cast.filter(|c| c.0 == wish) {
            Some((.., VoteReply::Counts | VoteReply::Moot)) => {
                life.mul_f64(0.6).max(secs(cx.law.vote_gap).min(life))
            }
            Some((.., VoteReply::Full)) => soon,
            Some(_) => cx.law.vote_wait.max(gap),
            None => gap,
        };
        let idle =
            verdict == Verdict::None && self.cast.is_none_or(|(c, ..)| c != (Verdict::On, stage, build));
        if idle || self.cast.is_some_and(|(_, at, _)| cx.now < at + pause) {
            return;
        }
        let teller = cx.law.marshal < MAX_RING_SIZE || verdict == Verdict::Back;
        if self.cast.is_none_or(|(cast, ..)| cast != wish) && teller {
            let told = |q: usize| beside(self.question(q), &asked.get(q).map_or(payoff, |a| a.0));
            let why = found.or(worse(0.4)).map_or(String::new(), told);
            cx.out.push(Action::Log(format!("build {build} stage {stage}: vote {verdict:?}{why}")));
        }
        self.cast = Some((wish, cx.now, VoteReply::Unasked));
        cx.out.push(Action::Vote { verdict, stage, build });
    }

    /// When the stage's machines had all started as far as the list shows, or the latest time by which they
    /// must have.
    fn begun(&self, news: RolloutStatus, cx: &Context) -> Duration {
        let trial = self.books.iter().filter(|b| b.ready && b.entry.build == news.build);
        // Nodes from before the last release may drain only after the trial has begun.
        let successors = if cx.law.rehearse.is_none() { self.ready(true) } else { 0 };
        let stay = (self.ready(false) + successors) as f64;
        let share = cx.law.shares.get(news.stage).copied().unwrap_or(0.0);
        let due = (share * self.places.min(stay)).round().max(1.0);
        let last = trial.filter_map(|b| b.entry.started).max().filter(|_| self.ready(true) as f64 >= due);
        let late = news.launched + STAGE_RUNNING_WITHIN;
        last.map_or(late, |at| at.clamp(news.launched, late))
    }
}
