//! What the desk says, as events for the module. It says it on several connections, that of the news and one for each
//! vote, so what was said earlier may be read later: of one build's standings the later one holds.

use std::time::Duration;

use ivydrift_policy::port::*;
use ivydrift_wire::desk;

use crate::{Ballot, Core};

/// What is behind on a build's course and began no more than this later may have been on its way for so long: an
/// answer is waited for less than that. A desk that was really set back tells a standing that began later.
const WAY: Duration = Duration::from_secs(2);

/// The latest standing that the desk has told.
#[derive(Default)]
pub(crate) struct Standing(Option<Told>);

#[derive(Clone, Copy)]
struct Told {
    stage: desk::Stage,
    since: Duration,
}

impl Told {
    /// How far a build has come: its stages, its release, the way back.
    fn course(&self) -> (u32, u32, u32) {
        let at = match self.stage.course {
            desk::Course::OnTrial => 0,
            desk::Course::Released => 1,
            desk::Course::GoingBack => 2,
            desk::Course::Withdrawn => 3,
        };
        (self.stage.build, at, if at == 0 { self.stage.stage } else { 0 })
    }
}

impl Standing {
    /// Takes what was read now, and returns what holds and its age. What lies behind on the build's course was overtaken
    /// on its way: with it a cap that has been lowered would be raised again. Ages alone would not do, as each is
    /// shorter by its own way here.
    fn hear(&mut self, now: Duration, stage: &desk::Stage) -> (desk::Stage, Duration) {
        let new = Told { stage: *stage, since: now.saturating_sub(Duration::from_millis(stage.age_ms)) };
        let overtaken = |old: &Told| new.course() < old.course() && new.since <= old.since + WAY;
        let holds = self.0.filter(overtaken).unwrap_or(new);
        self.0 = Some(holds);
        (holds.stage, now.saturating_sub(holds.since))
    }
}

impl Core {
    pub(crate) fn news(&mut self, now: Duration, news: &desk::News, events: &mut Vec<Event>) {
        let held = news.stage.map(|stage| self.standing.hear(now, &stage));
        events.extend(held.map(|(stage, age)| stage_event(&stage, age, VoteReply::Unasked)));
        let methods = &self.terms.methods;
        for sums in &news.sums {
            let Some(method) = methods.find(&sums.method) else { continue };
            let mean = Duration::try_from_secs_f64(sums.mean_ms / 1000.0).unwrap_or_default();
            let age = Duration::from_millis(sums.age_ms);
            let (build, picks, failed) = (sums.build, sums.picks, sums.failed.min(sums.picks));
            events.push(Event::Sums { build, method, picks, failed, mean, age });
        }
        for disputed in &news.disputed {
            let method = methods.find(&disputed.method);
            let node = disputed.node.parse().ok().and_then(|addr| self.directory.find(addr));
            if let (Some(method), Some(node)) = (method, node) {
                events.push(Event::Disputed { node, method, age: Duration::from_millis(disputed.age_ms) });
            }
        }
    }

    pub(crate) fn voted(&mut self, now: Duration, ballot: Ballot) -> Option<Event> {
        let stand = |reply| {
            let (build, stage, course) = (0, 0, Course::Withdrawn);
            Event::Stage { build, stage, course, reply, cap: 0.0, age: Duration::ZERO }
        };
        Some(match ballot {
            // The module reads the standing only from answers that count.
            Ballot::Failed => stand(VoteReply::Error),
            Ballot::Silent => stand(VoteReply::Silent),
            // A vote that counts comes with the standing; without it, nothing is known of either.
            Ballot::Refused(desk::Counted::Counts) => stand(VoteReply::Silent),
            Ballot::Refused(counted) => stand(reply_of(counted)),
            Ballot::Answered(answer) => {
                let (stage, age) = self.standing.hear(now, &answer.stage);
                stage_event(&stage, age, reply_of(answer.counted))
            }
        })
    }
}

fn reply_of(counted: desk::Counted) -> VoteReply {
    match counted {
        desk::Counted::Counts => VoteReply::Counts,
        desk::Counted::Moot => VoteReply::Moot,
        desk::Counted::Full => VoteReply::Full,
        desk::Counted::Error => VoteReply::Error,
    }
}

fn stage_event(stage: &desk::Stage, age: Duration, reply: VoteReply) -> Event {
    let course = match stage.course {
        desk::Course::OnTrial => Course::OnTrial,
        desk::Course::GoingBack => Course::GoingBack,
        desk::Course::Released => Course::Released,
        desk::Course::Withdrawn => Course::Withdrawn,
    };
    Event::Stage { build: stage.build, stage: stage.stage as usize, course, reply, cap: stage.cap, age }
}
