//! Converts messages of the rollout controller into events for the policy. They arrive on several connections
//! (the update stream and one for each vote), so an older message may be read after a newer one; the newer
//! status of a build wins.

use std::time::Duration;

use ivydrift_policy::port::*;
use ivydrift_wire::controller;

use crate::{Ballot, Core};

/// A status that is behind in a build's rollout and began no more than this later may merely have been
/// delayed: replies are awaited for less than this. A controller that was really reset reports a status that
/// began later.
const MAX_REORDER_DELAY: Duration = Duration::from_secs(2);

/// The latest rollout status from the controller.
#[derive(Default)]
pub(crate) struct RolloutStatus(Option<TimedStage>);

#[derive(Clone, Copy)]
struct TimedStage {
    stage: controller::Stage,
    since: Duration,
}

impl TimedStage {
    /// Position of the status in a build's rollout, for comparison: trial stages, release, rollback,
    /// withdrawal.
    fn progress(&self) -> (u32, u32, u32) {
        let phase = match self.stage.course {
            controller::RolloutState::OnTrial => 0,
            controller::RolloutState::Released => 1,
            controller::RolloutState::GoingBack => 2,
            controller::RolloutState::Withdrawn => 3,
        };
        (self.stage.build, phase, if phase == 0 { self.stage.stage } else { 0 })
    }
}

impl RolloutStatus {
    /// Takes a status that was just read; returns the one in force and its age. A status that is behind in
    /// the build's rollout was overtaken on its way; accepting it would raise a cap that has been lowered.
    /// The reported ages alone do not show this, as each is too small by its transfer time.
    fn update(&mut self, now: Duration, stage: &controller::Stage) -> (controller::Stage, Duration) {
        let new =
            TimedStage { stage: *stage, since: now.saturating_sub(Duration::from_millis(stage.age_ms)) };
        let overtaken =
            |old: &TimedStage| new.progress() < old.progress() && new.since <= old.since + MAX_REORDER_DELAY;
        let current = self.0.filter(overtaken).unwrap_or(new);
        self.0 = Some(current);
        (current.stage, now.saturating_sub(current.since))
    }
}

impl Core {
    pub(crate) fn apply_rollout_update(
        &mut self, now: Duration, rollout_update: &controller::RolloutUpdate, events: &mut Vec<Event>,
    ) {
        let current = rollout_update.stage.map(|stage| self.rollout_status.update(now, &stage));
        events.extend(current.map(|(stage, age)| stage_event(&stage, age, VoteReply::Unsolicited)));
        let methods = &self.config.methods;
        for sums in &rollout_update.sums {
            let Some(method) = methods.find(&sums.method) else { continue };
            let mean = Duration::try_from_secs_f64(sums.mean_ms / 1000.0).unwrap_or_default();
            let age = Duration::from_millis(sums.age_ms);
            let (build, picks, failed) = (sums.build, sums.picks, sums.failed.min(sums.picks));
            events.push(Event::ControllerCounts { build, method, picks, failed, mean, age });
        }
        for disputed in &rollout_update.disputed {
            let method = methods.find(&disputed.method);
            let node = disputed.node.parse().ok().and_then(|addr| self.directory.index_of(addr));
            if let (Some(method), Some(node)) = (method, node) {
                events.push(Event::Disputed { node, method, age: Duration::from_millis(disputed.age_ms) });
            }
        }
    }

    pub(crate) fn vote_event(&mut self, now: Duration, answer_to_vote: Ballot) -> Option<Event> {
        let reply_without_stage = |reply| {
            let (build, stage, course) = (0, 0, RolloutState::Withdrawn);
            Event::Stage { build, stage, state: course, reply, cap: 0.0, age: Duration::ZERO }
        };
        Some(match answer_to_vote {
            // The policy reads the status only from answers to counted votes.
            Ballot::Failed => reply_without_stage(VoteReply::Error),
            Ballot::Silent => reply_without_stage(VoteReply::Silent),
            // A counted vote comes with the status. Without it, neither is known.
            Ballot::Refused(controller::Counted::Counts) => reply_without_stage(VoteReply::Silent),
            Ballot::Refused(counted) => reply_without_stage(vote_reply(counted)),
            Ballot::Answered(answer) => {
                let (stage, age) = self.rollout_status.update(now, &answer.stage);
                stage_event(&stage, age, vote_reply(answer.counted))
            }
        })
    }
}

fn vote_reply(counted: controller::Counted) -> VoteReply {
    match counted {
        controller::Counted::Counts => VoteReply::Counts,
        controller::Counted::Moot => VoteReply::Moot,
        controller::Counted::Full => VoteReply::Full,
        controller::Counted::Error => VoteReply::Error,
    }
}

fn stage_event(stage: &controller::Stage, age: Duration, reply: VoteReply) -> Event {
    let course = match stage.course {
        controller::RolloutState::OnTrial => RolloutState::OnTrial,
        controller::RolloutState::GoingBack => RolloutState::GoingBack,
        controller::RolloutState::Released => RolloutState::Released,
        controller::RolloutState::Withdrawn => RolloutState::Withdrawn,
    };
    Event::Stage {
        build: stage.build,
        stage: stage.stage as usize,
        state: course,
        reply,
        cap: stage.cap,
        age,
    }
}
