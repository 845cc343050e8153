//! The fake rollout controller: rolls builds out stage by stage, counts votes, promotes or rolls back.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ivydrift_policy::port::ReleaseTerms;
use ivydrift_wire::desk::{Counted, Course, Stage, Verdict, Vote};

/// A change that the controller requests of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Wish {
    /// Launch nodes of the build for this stage; `usize::MAX` for a full fleet.
    Launch(u32, usize),
    /// Drain all nodes of this build.
    Drain(u32),
}

/// The state of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    pub build: u32,
    pub stage: usize,
    pub course: Course,
    /// The part of the traffic that the build may get.
    pub cap: f64,
    pub since: Duration,
}

impl Standing {
    /// The state in the form sent to marshals.
    pub fn told(&self, now: Duration) -> Stage {
        let age_ms = now.saturating_sub(self.since).as_millis() as u64;
        Stage { build: self.build, stage: self.stage as u32, course: self.course, cap: self.cap, age_ms }
    }
}

/// The controller.
pub struct Desk {
    pub standing: Standing,
    /// The build to roll back to.
    pub earlier: u32,
    /// Since when all nodes of the present stage run.
    running: Option<Duration>,
    /// By marshal: its latest vote.
    votes: BTreeMap<u32, (Vote, Duration)>,
    /// Past states with time and version, oldest first, for delayed reports.
    history: VecDeque<(Duration, u64, Standing)>,
    /// Votes of the last second, for the rate limit.
    taken: VecDeque<Duration>,
    /// All states, with the time at which each began.
    pub log: Vec<(Duration, Standing)>,
    pub votes_counted: u64,
}

impl Desk {
    /// Creates a controller with build 1 released.
    pub fn new(last_stage: usize) -> Self {
        let standing = Standing {
            build: 1,
            stage: last_stage,
            course: Course::Released,
            cap: 1.0,
            since: Duration::ZERO,
        };
        Desk {
            standing,
            earlier: 1,
            running: None,
            votes: BTreeMap::new(),
            history: VecDeque::from([(Duration::ZERO, 1, standing)]),
            taken: VecDeque::new(),
            log: vec![(Duration::ZERO, standing)],
            votes_counted: 0,
        }
    }

    fn stand(&mut self, now: Duration, stage: usize, course: Course, cap: f64) {
        self.standing = Standing { stage, course, cap, since: now, ..self.standing };
        self.running = None;
        let version = self.history.back().map_or(1, |h| h.1 + 1);
        self.history.push_back((now, version, self.standing));
        while self.history.len() > 64 {
            self.history.pop_front();
        }
        self.log.push((now, self.standing));
    }

    /// The version and state that are visible with a delay of `lag`.
    pub fn as_told(&self, now: Duration, lag: Duration) -> (u64, Standing) {
        let known = self.history.iter().rev().find(|h| h.0 + lag <= now).or(self.history.front());
        known.map_or((0, self.standing), |h| (h.1, h.2))
    }

    /// Begins the rollout of a build; one still on trial is drained.
    pub fn offer(&mut self, now: Duration, build: u32, release: &ReleaseTerms) -> Vec<Wish> {
        let mut wishes = Vec::new();
        match self.standing.course {
            Course::Released => self.earlier = self.standing.build,
            Course::OnTrial => wishes.push(Wish::Drain(self.standing.build)),
            _ => {}
        }
        self.standing.build = build;
        self.votes.clear();
        self.stand(now, 0, Course::OnTrial, release.caps[0]);
        wishes.push(Wish::Launch(build, 0));
        wishes
    }

    fn votes(&self, now: Duration, release: &ReleaseTerms, wanted: Verdict) -> usize {
        let stands = |(vote, at): &&(Vote, Duration)| {
            let stage = wanted == Verdict::Back || vote.stage as usize == self.standing.stage;
            now < *at + release.vote_life
                && vote.verdict == wanted
                && vote.build == self.standing.build
                && stage
        };
        self.votes.values().filter(stands).count()
    }

    /// Decides by the votes. `up`: nodes of the newest build that run, `wanted`: how many the stage needs, `left`:
    /// how many are not gone. `back`: the earlier build has enough nodes again.
    pub fn step(
        &mut self, now: Duration, (up, wanted, left): (usize, usize, usize), back: bool,
        release: &ReleaseTerms,
    ) -> Vec<Wish> {
        let Standing { build, stage, course, .. } = self.standing;
        if up >= wanted && self.running.is_none() {
            self.running = Some(now);
        }
        let live = matches!(course, Course::OnTrial | Course::Released) && build > 1;
        if live && self.votes(now, release, Verdict::Back) >= release.back_votes {
            self.stand(now, stage, Course::GoingBack, 0.0);
            return vec![Wish::Launch(self.earlier, usize::MAX)];
        }
        let baked = self.running.is_some_and(|at| now >= at + release.bake);
        let on = self.votes(now, release, Verdict::On) >= release.on_votes;
        match course {
            Course::OnTrial if baked && on && stage + 1 < release.shares.len() => {
                self.stand(now, stage + 1, course, release.caps[stage + 1]);
                vec![Wish::Launch(build, stage + 1)]
            }
            Course::OnTrial if baked && on => {
                self.stand(now, stage, Course::Released, 1.0);
                vec![Wish::Drain(self.earlier)]
            }
            Course::GoingBack if left == 0 => {
                self.stand(now, stage, Course::Withdrawn, 0.0);
                vec![]
            }
            // If nodes of the earlier build were replaced, they must run again before this build is drained.
            Course::GoingBack if back => vec![Wish::Drain(build)],
            _ => vec![],
        }
    }

    /// Counts a vote, within the rate limit.
    pub fn vote(&mut self, now: Duration, vote: Vote, release: &ReleaseTerms) -> Counted {
        while self.taken.front().is_some_and(|&t| t + Duration::from_secs(1) < now) {
            self.taken.pop_front();
        }
        if self.taken.len() as f64 >= 2.0 * release.vote_rate {
            return Counted::Full;
        }
        self.taken.push_back(now);
        let present = vote.build == self.standing.build
            && (vote.stage as usize == self.standing.stage
                || matches!(vote.verdict, Verdict::Back | Verdict::None));
        if !present || matches!(self.standing.course, Course::GoingBack | Course::Withdrawn) {
            return Counted::Moot;
        }
        self.votes_counted += 1;
        self.votes.insert(vote.marshal, (vote, now));
        Counted::Counts
    }
}
