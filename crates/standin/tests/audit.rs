//! Mutation tests of the checker: a correct trace passes, and after one change to it the rule concerned fails.

use ivydrift_audit::trace::{AnswerKind, Event, Line, Repeat, RolloutState, State};
use ivydrift_audit::{Auditor, Report};
use ivydrift_standin::{day, sim};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::sync::OnceLock;

fn trace() -> &'static [Line] {
    static TRACE: OnceLock<Vec<Line>> = OnceLock::new();
    TRACE.get_or_init(|| {
        let mut day = day::read("short.hcl", day::SHORT).unwrap();
        day.faults.clear();
        sim::run(day, true).unwrap().lines
    })
}

fn audit(lines: &[Line]) -> Report {
    let mut auditor = Auditor::new();
    lines.iter().for_each(|line| auditor.take(line).unwrap());
    auditor.finish()
}

#[derive(Clone, Copy, Debug)]
enum Change {
    AnswerGone,
    AnswerTwice,
    AnswerLate,
    BytesAfterAnswer,
    SendAfterEnd,
    EffectTwice,
    NonIdempotentElsewhere,
    PushedBackThoughRun,
    DrainNoticeEarlier,
    WeakerNode,
    NodeFell,
    CapWithdrawn,
}

const CHANGES: [(Change, usize); 12] = [
    (Change::AnswerGone, 0),
    (Change::AnswerTwice, 0),
    (Change::AnswerLate, 0),
    (Change::BytesAfterAnswer, 0),
    (Change::SendAfterEnd, 0),
    (Change::EffectTwice, 1),
    (Change::NonIdempotentElsewhere, 1),
    (Change::PushedBackThoughRun, 1),
    (Change::DrainNoticeEarlier, 2),
    (Change::WeakerNode, 3),
    (Change::NodeFell, 3),
    (Change::CapWithdrawn, 4),
];

/// Applies the change to the nth line (modulo their number) that it fits; `None` if it fits no line.
fn changed(change: Change, nth: usize) -> Option<Vec<Line>> {
    let mut lines = trace().to_vec();
    let Event::Law(law) = lines[0].seen.clone() else { panic!("the first event is not `law`") };
    let kind = |name: &str| law.methods.iter().find(|m| m.name == name).unwrap().repeat;
    let method_of = |id: u64| {
        lines.iter().find_map(|l| match &l.seen {
            Event::Asked { id: i, method, .. } if *i == id => Some(method.clone()),
            _ => None,
        })
    };
    let last = lines.last().unwrap().t;
    let fits = |line: &Line| match (change, &line.seen) {
        (Change::AnswerGone, Event::Answered { .. }) => line.t + 4_000_000 < last,
        (Change::AnswerTwice | Change::BytesAfterAnswer | Change::AnswerLate, Event::Answered { .. }) => true,
        (Change::SendAfterEnd, Event::Answered { .. }) => line.t + 1_000_000 < last,
        (Change::EffectTwice, Event::Ran { method, .. }) => kind(method) != Repeat::Idempotent,
        (Change::NonIdempotentElsewhere, Event::Got { method, .. }) => kind(method) == Repeat::NonIdempotent,
        (Change::PushedBackThoughRun, Event::Answered { id, kind: AnswerKind::Ok, .. }) => {
            method_of(*id).is_some_and(|m| kind(&m) == Repeat::NonIdempotent)
        }
        (Change::DrainNoticeEarlier, Event::Got { .. }) => line.t > 4_000_000,
        // The heaviest pick is always allowed, so the node must have got two picks within the window while cold.
        (Change::WeakerNode, Event::Up { node, .. }) => {
            let cold = line.t..line.t + law.warm_us;
            let got = |l: &&Line| matches!(&l.seen, Event::Got { node: n, .. } if n == node);
            let at: Vec<u64> = lines.iter().filter(got).map(|l| l.t).filter(|t| cold.contains(t)).collect();
            at.windows(2).any(|w| w[1] - w[0] < law.fall_us)
        }
        (Change::NodeFell, Event::Up { .. }) => true,
        (Change::CapWithdrawn, Event::News { course: RolloutState::OnTrial, stage: 0, .. }) => true,
        _ => false,
    };
    let candidates: Vec<usize> = (0..lines.len()).filter(|&i| fits(&lines[i])).collect();
    let at = *candidates.get(nth % candidates.len().max(1))?;
    let line = lines[at].clone();
    let insert = |lines: &mut Vec<Line>, t: u64, seen: Event| {
        let position_after = lines.iter().position(|l| l.t > t).unwrap_or(lines.len());
        lines.insert(position_after, Line::new(t, seen));
    };
    match (change, line.seen.clone()) {
        (Change::AnswerGone, _) => {
            lines.remove(at);
        }
        (Change::AnswerTwice, seen) => insert(&mut lines, line.t, seen),
        (Change::AnswerLate, seen) => {
            lines.remove(at);
            let t = last + 5_000_000;
            lines.push(Line::new(t, seen));
        }
        (Change::BytesAfterAnswer, Event::Answered { id, .. }) => {
            insert(&mut lines, line.t, Event::Extra { id })
        }
        (Change::SendAfterEnd, Event::Answered { id, .. }) => {
            let got = lines.iter().find(|l| matches!(&l.seen, Event::Got { id: i, .. } if *i == id))?;
            let seen = got.seen.clone();
            insert(&mut lines, line.t + 2 * law.slack_us, seen);
        }
        (Change::EffectTwice, seen) => insert(&mut lines, line.t + 1, seen),
        (
            Change::NonIdempotentElsewhere,
            Event::Got { build, marshal, id, method, key, zone, cell, work_us, node },
        ) => {
            let node = node + 1000;
            let seen = Event::Got { node, build, marshal, id, method, key, zone, cell, work_us };
            insert(&mut lines, line.t + 1, seen);
        }
        (Change::PushedBackThoughRun, Event::Answered { id, build, picks, .. }) => {
            lines[at].seen = Event::Answered { id, kind: AnswerKind::PushedBack, build, picks };
        }
        (Change::DrainNoticeEarlier, Event::Got { marshal, node, .. }) => {
            let t = line.t - law.drain_grace_us - law.slack_us - 1000;
            insert(&mut lines, t, Event::Told { marshal, node, state: State::Draining });
            // Later notices about the node stay as they are.
        }
        (Change::WeakerNode, Event::Up { node, build, capacity }) => {
            lines[at].seen = Event::Up { node, build, capacity: capacity / 200.0 };
        }
        (Change::NodeFell, Event::Up { node, .. }) => insert(&mut lines, line.t + 10, Event::Fell { node }),
        (Change::CapWithdrawn, Event::News { marshal, build, stage, course, .. }) => {
            lines[at].seen = Event::News { marshal, build, stage, course, cap: 0.0 };
        }
        _ => return None,
    }
    Some(lines)
}

#[test]
fn unchanged_trace_passes() {
    let report = audit(trace());
    assert!(report.is_clean(), "{:#?}", report.breaches);
    assert!(report.asked > 500 && report.checked.iter().all(|&n| n > 0), "{report:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, rng_seed: RngSeed::Fixed(10), ..ProptestConfig::with_cases(240)
    })]
    #[test]
    fn each_change_is_detected(which in 0..CHANGES.len(), nth in any::<usize>()) {
        let (change, rule) = CHANGES[which];
        let lines = changed(change, nth).expect("a line of the trace that fits the change");
        let report = audit(&lines);
        prop_assert!(report.breach_counts[rule] > 0, "{:?} was not found: {:?}", change, report.breach_counts);
    }
}

#[test]
fn malformed_trace_is_rejected() {
    let first_error = |lines: &[Line]| {
        let mut auditor = Auditor::new();
        lines.iter().find_map(|line| auditor.take(line).err())
    };
    let lines = trace();
    assert!(first_error(&lines[1..]).unwrap().contains("law"));
    let mut back = lines.to_vec();
    back.swap(1, lines.len() - 1);
    assert!(first_error(&back).unwrap().contains("time"));
    assert!(Line::read("{\"t\":1,\"e\":\"sung\"}").is_err());
    let parsed: Vec<Line> = lines.iter().map(|l| Line::read(&l.write()).unwrap()).collect();
    assert!(parsed == lines);
}
