//! What the desk says, as events for the module.

use std::time::Duration;

use ivydrift_policy::port::*;
use ivydrift_wire::desk;

use crate::{Ballot, Core};

impl Core {
    pub(crate) fn news(&mut self, news: &desk::News, events: &mut Vec<Event>) {
        events.extend(news.stage.map(|stage| stage_event(&stage, VoteReply::Unasked)));
        let methods = &self.terms.methods;
        for sums in &news.sums {
            let Some(method) = methods.iter().position(|m| *m == sums.method) else { continue };
            let mean = Duration::try_from_secs_f64(sums.mean_ms / 1000.0).unwrap_or_default();
            let age = Duration::from_millis(sums.age_ms);
            let (build, picks, failed) = (sums.build, sums.picks, sums.failed.min(sums.picks));
            events.push(Event::Sums { build, method, picks, failed, mean, age });
        }
        for disputed in &news.disputed {
            let method = methods.iter().position(|m| *m == disputed.method);
            let node = disputed.node.parse().ok().and_then(|addr| self.directory.find(addr));
            if let (Some(method), Some(node)) = (method, node) {
                events.push(Event::Disputed { node, method, age: Duration::from_millis(disputed.age_ms) });
            }
        }
    }

    pub(crate) fn voted(&self, ballot: Ballot) -> Option<Event> {
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
            Ballot::Answered(answer) => stage_event(&answer.stage, reply_of(answer.counted)),
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

fn stage_event(stage: &desk::Stage, reply: VoteReply) -> Event {
    let course = match stage.course {
        desk::Course::OnTrial => Course::OnTrial,
        desk::Course::GoingBack => Course::GoingBack,
        desk::Course::Released => Course::Released,
        desk::Course::Withdrawn => Course::Withdrawn,
    };
    let age = Duration::from_millis(stage.age_ms);
    Event::Stage { build: stage.build, stage: stage.stage as usize, course, reply, cap: stage.cap, age }
}
