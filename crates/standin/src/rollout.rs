//! The fake rollout controller: rolls builds out stage by stage, counts votes, promotes or rolls back.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ivydrift_policy::port::ReleaseConfig;
use ivydrift_wire::controller::{Counted, RolloutState, Stage, Verdict, Vote};

/// A change that the controller requests of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FleetChange {
    /// Launch nodes of the build for this stage; `usize::MAX` for a full fleet.
    Launch(u32, usize),
    /// Drain all nodes of this build.
    Drain(u32),
}

/// The state of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutStatus {
    pub build: u32,
    pub stage: usize,
    pub course: RolloutState,
    /// The part of the traffic that the build may get.
    pub cap: f64,
    pub since: Duration,
}

impl RolloutStatus {
    /// The state in the form sent to marshals.
    pub fn to_wire(&self, now: Duration) -> Stage {
        let age_ms = now.saturating_sub(self.since).as_millis() as u64;
        Stage { build: self.build, stage: self.stage as u32, course: self.course, cap: self.cap, age_ms }
    }
}

/// The controller.
pub struct RolloutController {
    pub rollout_status: RolloutStatus,
    /// The build to roll back to.
    pub previous_build: u32,
    /// Since when all nodes of the present stage run.
    running_since: Option<Duration>,
    /// By marshal: its latest vote.
    votes: BTreeMap<u32, (Vote, Duration)>,
    /// Past states with time and version, oldest first, for delayed reports.
    versions: VecDeque<(Duration, u64, RolloutStatus)>,
    /// Votes of the last second, for the rate limit.
    recent_votes: VecDeque<Duration>,
    /// All states, with the time at which each began.
    pub transitions: Vec<(Duration, RolloutStatus)>,
    pub votes_counted: u64,
}

impl RolloutController {
    /// Creates a controller with build 1 released.
    pub fn new(last_stage: usize) -> Self {
        let rollout_status = RolloutStatus {
            build: 1,
            stage: last_stage,
            course: RolloutState::Released,
            cap: 1.0,
            since: Duration::ZERO,
        };
        RolloutController {
            rollout_status,
            previous_build: 1,
            running_since: None,
            votes: BTreeMap::new(),
            versions: VecDeque::from([(Duration::ZERO, 1, rollout_status)]),
            recent_votes: VecDeque::new(),
            transitions: vec![(Duration::ZERO, rollout_status)],
            votes_counted: 0,
        }
    }

    fn set_state(&mut self, now: Duration, stage: usize, course: RolloutState, cap: f64) {
        self.rollout_status = RolloutStatus { stage, course, cap, since: now, ..self.rollout_status };
        self.running_since = None;
        let version = self.versions.back().map_or(1, |v| v.1 + 1);
        self.versions.push_back((now, version, self.rollout_status));
        while self.versions.len() > 64 {
            self.versions.pop_front();
        }
        self.transitions.push((now, self.rollout_status));
    }

    /// The version and state that are visible with a delay of `lag`.
    pub fn delayed_state(&self, now: Duration, lag: Duration) -> (u64, RolloutStatus) {
        let known = self.versions.iter().rev().find(|v| v.0 + lag <= now).or(self.versions.front());
        known.map_or((0, self.rollout_status), |v| (v.1, v.2))
    }

    /// Begins the rollout of a build; one still on trial is drained.
    pub fn begin_rollout(&mut self, now: Duration, build: u32, release: &ReleaseConfig) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        match self.rollout_status.course {
            RolloutState::Released => self.previous_build = self.rollout_status.build,
            RolloutState::OnTrial => changes.push(FleetChange::Drain(self.rollout_status.build)),
            _ => {}
        }
        self.rollout_status.build = build;
        self.votes.clear();
        self.set_state(now, 0, RolloutState::OnTrial, release.exposure_caps[0]);
        changes.push(FleetChange::Launch(build, 0));
        changes
    }

    fn count_votes(&self, now: Duration, release: &ReleaseConfig, wanted: Verdict) -> usize {
        let counts = |(vote, at): &&(Vote, Duration)| {
            let stage = wanted == Verdict::Back || vote.stage as usize == self.rollout_status.stage;
            now < *at + release.vote_life
                && vote.verdict == wanted
                && vote.build == self.rollout_status.build
                && stage
        };
        self.votes.values().filter(counts).count()
    }

    /// Decides by the votes. `up`: nodes of the newest build that run, `wanted`: how many the stage needs, `left`:
    /// how many are not gone. `back`: the earlier build has enough nodes again.
    pub fn step(
        &mut self, now: Duration, (running, wanted, remaining): (usize, usize, usize), previous_ready: bool,
        release: &ReleaseConfig,
    ) -> Vec<FleetChange> {
        let RolloutStatus { build, stage, course, .. } = self.rollout_status;
        if running >= wanted && self.running_since.is_none() {
            self.running_since = Some(now);
        }
        let revocable = matches!(course, RolloutState::OnTrial | RolloutState::Released) && build > 1;
        if revocable && self.count_votes(now, release, Verdict::Back) >= release.rollback_votes {
            self.set_state(now, stage, RolloutState::GoingBack, 0.0);
            return vec![FleetChange::Launch(self.previous_build, usize::MAX)];
        }
        let baked = self.running_since.is_some_and(|at| now >= at + release.min_stage_time);
        let promote = self.count_votes(now, release, Verdict::On) >= release.promote_votes;
        match course {
            RolloutState::OnTrial if baked && promote && stage + 1 < release.shares.len() => {
                self.set_state(now, stage + 1, course, release.exposure_caps[stage + 1]);
                vec![FleetChange::Launch(build, stage + 1)]
            }
            RolloutState::OnTrial if baked && promote => {
                self.set_state(now, stage, RolloutState::Released, 1.0);
                vec![FleetChange::Drain(self.previous_build)]
            }
            RolloutState::GoingBack if remaining == 0 => {
                self.set_state(now, stage, RolloutState::Withdrawn, 0.0);
                vec![]
            }
            // If nodes of the earlier build were replaced, they must run again before this build is drained.
            RolloutState::GoingBack if previous_ready => vec![FleetChange::Drain(build)],
            _ => vec![],
        }
    }

    /// Counts a vote, within the rate limit.
    pub fn vote(&mut self, now: Duration, vote: Vote, release: &ReleaseConfig) -> Counted {
        while self.recent_votes.front().is_some_and(|&t| t + Duration::from_secs(1) < now) {
            self.recent_votes.pop_front();
        }
        if self.recent_votes.len() as f64 >= 2.0 * release.vote_rate {
            return Counted::Full;
        }
        self.recent_votes.push_back(now);
        let current = vote.build == self.rollout_status.build
            && (vote.stage as usize == self.rollout_status.stage
                || matches!(vote.verdict, Verdict::Back | Verdict::None));
        if !current || matches!(self.rollout_status.course, RolloutState::GoingBack | RolloutState::Withdrawn)
        {
            return Counted::Moot;
        }
        self.votes_counted += 1;
        self.votes.insert(vote.marshal, (vote, now));
        Counted::Counts
    }
}
