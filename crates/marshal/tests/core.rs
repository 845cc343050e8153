//! Tests of the core with the real policy: difficult cases one by one, then seeded random runs. After every
//! step of a run each RPC must have at most one final answer, in time, and must not be sent again afterwards.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use common::node;
use ivydrift_marshal::{Call, Command, Core, Id, Input, Observation};
use ivydrift_wire::controller::{RolloutState, RolloutUpdate, Stage};
use ivydrift_wire::list::{ListedNode, State};
use ivydrift_wire::orca::Metrics;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const OK: Observation = Observation::Answer { status: 200, never_ran: false, load: NONE };
const ERROR: Observation = Observation::Answer { status: 500, never_ran: false, load: NONE };
const FULL: Observation = Observation::Answer { status: 503, never_ran: true, load: NONE };
const NONE: Metrics =
    Metrics { cpu_utilization: None, rps: None, eps: None, queue: None, in_flight: None, latency_ms: None };

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

struct Harness {
    core: Core,
    now: Duration,
    commands: Vec<Command>,
}

impl Harness {
    fn new() -> Self {
        let config = ivydrift_terms::parse("example.hcl", ivydrift_terms::EXAMPLE).unwrap();
        let mut harness = Harness { core: Core::new(config, 0), now: ms(86_400_000), commands: vec![] };
        harness.set_nodes(&(9000..9006).map(|port| node(port, 1)).collect::<Vec<_>>());
        let stage = Stage { build: 1, stage: 2, course: RolloutState::Released, cap: 1.0, age_ms: 90_000 };
        harness.handle(Input::RolloutUpdate(&RolloutUpdate {
            index: 1,
            stage: Some(stage),
            sums: vec![],
            disputed: vec![],
        }));
        harness
    }
    fn handle(&mut self, input: Input) -> Vec<Command> {
        let commands = self.core.handle(self.now, input);
        self.commands.extend(commands.iter().cloned());
        commands
    }
    fn set_nodes(&mut self, nodes: &[ListedNode]) {
        self.handle(Input::NodeList(nodes));
    }
    fn rpc(&mut self, id: Id, method: &str, left: u64) -> Vec<Command> {
        let call = Call {
            method,
            tenant: None,
            key: None,
            has_idempotency_key: true,
            time_left: Some(ms(left)),
            is_retry: false,
        };
        self.handle(Input::Rpc { id, call })
    }
    fn end(&mut self, id: Id, pick: usize, observation: Observation) -> Vec<Command> {
        self.handle(Input::PickEnded { id, pick, observation })
    }
    fn advance(&mut self, span: u64) -> Vec<Command> {
        let mut all = Vec::new();
        let until = self.now + ms(span);
        while self.now < until {
            self.now = self.core.next_tick().max(self.now + Duration::from_micros(50)).min(until);
            all.extend(self.handle(Input::Tick));
        }
        all
    }
    fn answers(&self, id: Id) -> Vec<&'static str> {
        self.commands.iter().filter_map(|o| answer_of(o).filter(|a| a.0 == id).map(|a| a.1)).collect()
    }
    fn picks(&self, id: Id) -> usize {
        self.commands.iter().filter(|o| matches!(o, Command::Pick { id: i, .. } if *i == id)).count()
    }
}

fn answer_of(command: &Command) -> Option<(Id, &'static str)> {
    match command {
        Command::Pass { id, .. } => Some((*id, "ok")),
        Command::PushBack { id, .. } => Some((*id, "pushed back")),
        Command::Abort { id, .. } => Some((*id, "aborted")),
        Command::Reject { id, .. } => Some((*id, "rejected")),
        _ => None,
    }
}

#[test]
fn an_ok_is_forwarded_once_even_if_the_node_answers_twice() {
    let mut harness = Harness::new();
    assert!(matches!(harness.rpc(1, "calendar-read", 1000)[..], [Command::Pick { id: 1, pick: 0, .. }, ..]));
    harness.now += ms(50);
    harness.end(1, 0, OK);
    harness.end(1, 0, OK);
    harness.advance(2000);
    assert_eq!(harness.answers(1), ["ok"]);
    assert_eq!(harness.core.counts().held, 0);
}

#[test]
fn an_answer_at_the_instant_of_the_deadline_makes_one_final_answer_in_either_order() {
    for answer_first in [true, false] {
        let mut harness = Harness::new();
        harness.rpc(1, "pickup-book", 1000);
        harness.now += ms(985);
        if answer_first {
            harness.end(1, 0, OK);
            harness.handle(Input::Tick);
        } else {
            harness.handle(Input::Tick);
            harness.end(1, 0, OK);
        }
        harness.advance(1000);
        assert_eq!(harness.answers(1), [if answer_first { "ok" } else { "aborted" }]);
        assert_eq!((harness.picks(1), harness.core.counts().held), (1, 0));
    }
}

#[test]
fn an_rpc_is_answered_even_if_the_io_layer_reports_nothing() {
    let mut harness = Harness::new();
    harness.rpc(1, "calendar-read", 1000);
    let commands = harness.advance(1000);
    assert!(commands.contains(&Command::Sever { id: 1, pick: 0 }));
    assert_eq!((harness.answers(1), harness.core.counts().overdue), (vec!["aborted"], 1));
    // A later answer of the pick is discarded.
    harness.end(1, 0, OK);
    assert_eq!(harness.answers(1), ["aborted"]);
}

#[test]
fn the_final_answer_is_sent_before_the_client_s_deadline() {
    for left in [40, 300, 1000, 3000] {
        let mut harness = Harness::new();
        let until = harness.now + ms(left);
        harness.rpc(1, "pickup-book", left);
        while harness.answers(1).is_empty() {
            harness.now = harness.core.next_tick().max(harness.now + Duration::from_micros(50));
            harness.handle(Input::Tick);
        }
        let spare = until.saturating_sub(harness.now);
        assert!(spare >= ms(15).min(ms(left) / 10), "{left} ms: answered {spare:?} before the end");
    }
}

#[test]
fn a_repeated_report_of_a_pick_is_no_answer_while_another_pick_is_in_flight() {
    let mut harness = Harness::new();
    harness.rpc(1, "pickup-book", 1000);
    harness.end(1, 0, Observation::NotSent);
    assert_eq!(harness.picks(1), 2);
    harness.end(1, 0, OK);
    assert!(harness.answers(1).is_empty(), "a repeated report of the first pick became the answer");
    harness.end(1, 1, OK);
    assert_eq!(harness.answers(1), ["ok"]);
}

#[test]
fn a_non_idempotent_rpc_is_sent_again_only_if_it_provably_never_ran() {
    for (observation, picks) in [
        (Observation::NotSent, 2),
        (FULL, 2),
        (Observation::Broken, 1),
        (Observation::TimedOut, 1),
        (Observation::Malformed, 1),
        (ERROR, 1),
        // `never_ran` counts on a 503 only.
        (Observation::Answer { status: 500, never_ran: true, load: NONE }, 1),
    ] {
        let mut harness = Harness::new();
        harness.rpc(1, "pickup-book", 1000);
        harness.now += ms(5);
        harness.end(1, 0, observation);
        assert_eq!(harness.picks(1), picks, "{observation:?}");
        if picks == 1 {
            assert_eq!(harness.answers(1), ["aborted"], "{observation:?}: a push-back would invite a repeat");
        }
    }
}

#[test]
fn an_rpc_whose_body_was_consumed_ends_with_its_pick() {
    for (observation, answer) in
        [(ERROR, "aborted"), (Observation::Broken, "aborted"), (FULL, "pushed back"), (OK, "ok")]
    {
        for method in ["calendar-read", "calendar-save", "pickup-book"] {
            let mut harness = Harness::new();
            harness.rpc(1, method, 1000);
            harness.handle(Input::BodyConsumed { id: 1, pick: 0, waited: ms(20) });
            harness.now += ms(100);
            harness.end(1, 0, observation);
            assert_eq!(
                (harness.picks(1), harness.answers(1)),
                (1, vec![answer]),
                "{method} after {observation:?}"
            );
            harness.advance(1500);
            assert_eq!(
                (harness.answers(1).len(), harness.core.counts().held),
                (1, 0),
                "{method} after {observation:?}"
            );
        }
    }
}

#[test]
fn an_rpc_whose_attempts_were_stopped_is_answered_without_another_pick() {
    let cases = [
        ("calendar-read", Observation::NotAttempted, "pushed back"),
        ("calendar-read", Observation::NotSent, "pushed back"),
        ("calendar-read", Observation::Broken, "aborted"),
        ("pickup-book", Observation::NotAttempted, "pushed back"),
        ("pickup-book", Observation::Broken, "aborted"),
        ("pickup-book", OK, "ok"),
    ];
    for (method, observation, answer) in cases {
        let mut harness = Harness::new();
        harness.rpc(1, method, 1000);
        harness.handle(Input::AttemptsStopped { id: 1 });
        assert!(harness.answers(1).is_empty(), "{method}: answered before its pick ended");
        harness.end(1, 0, observation);
        assert_eq!((harness.picks(1), harness.answers(1)), (1, vec![answer]), "{method}, {observation:?}");
        harness.advance(1500);
        assert_eq!(
            (harness.answers(1).len(), harness.core.counts().held),
            (1, 0),
            "{method}, {observation:?}"
        );
    }
    let mut harness = Harness::new();
    harness.handle(Input::AttemptsStopped { id: 1 });
    harness.rpc(1, "calendar-read", 1000);
    harness.end(1, 0, OK);
    assert_eq!(harness.answers(1), vec!["ok"], "an order for an RPC that was not there has no effect");
}

#[test]
fn a_client_that_disconnects_has_its_pick_cancelled_and_gets_no_answer() {
    let mut harness = Harness::new();
    harness.rpc(1, "calendar-read", 1000);
    assert!(harness.handle(Input::ClientLeft { id: 1 }).contains(&Command::Sever { id: 1, pick: 0 }));
    harness.end(1, 0, Observation::Cancelled);
    harness.end(1, 0, OK);
    harness.handle(Input::ClientLeft { id: 1 });
    harness.advance(2000);
    assert!(harness.answers(1).is_empty());
    assert_eq!((harness.picks(1), harness.core.counts().held, harness.core.counts().left), (1, 0, 1));
}

#[test]
fn a_streamed_answer_that_breaks_off_closes_the_connection_and_is_not_retried() {
    let mut harness = Harness::new();
    harness.rpc(1, "calendar-read", 1000);
    assert!(matches!(
        harness.handle(Input::AnswerBegan { id: 1, pick: 0 })[..],
        [Command::Pass { id: 1, .. }, ..]
    ));
    assert!(harness.end(1, 0, Observation::Broken).contains(&Command::BreakOff { id: 1 }));
    harness.advance(2000);
    assert_eq!((harness.answers(1), harness.picks(1), harness.core.counts().held), (vec!["ok"], 1, 0));
}

#[test]
fn an_invalid_rpc_is_rejected_and_never_sent() {
    let mut harness = Harness::new();
    harness.rpc(1, "calendar-burn", 1000);
    let call = Call {
        method: "calendar-save",
        tenant: None,
        key: None,
        has_idempotency_key: false,
        time_left: None,
        is_retry: false,
    };
    harness.handle(Input::Rpc { id: 2, call });
    assert_eq!((harness.answers(1), harness.answers(2)), (vec!["rejected"], vec!["rejected"]));
    assert_eq!((harness.picks(1), harness.picks(2)), (0, 0));
}

#[test]
fn an_empty_list_sends_nothing_and_of_duplicate_entries_the_more_cautious_counts() {
    let mut harness = Harness::new();
    harness.set_nodes(&[]);
    harness.rpc(1, "calendar-read", 500);
    harness.advance(600);
    assert_eq!((harness.answers(1), harness.picks(1)), (vec!["pushed back"], 0));
    let draining = ListedNode { state: State::Draining, ..node(9000, 1) };
    harness.set_nodes(&[
        node(9000, 1),
        draining,
        node(9001, 1),
        ListedNode { host: "name".into(), ..node(9002, 1) },
    ]);
    assert_eq!(harness.core.rejected().len(), 2);
    for id in 2..20 {
        for command in harness.rpc(id, "calendar-read", 500) {
            if let Command::Pick { node, pick, .. } = command {
                assert_eq!(node.port(), 9001);
                harness.end(id, pick, OK);
            }
        }
    }
    assert_eq!(harness.answers(19), ["ok"]);
}

#[test]
fn without_a_rollout_controller_rpcs_wait_and_then_later_builds_are_limited_to_the_first_cap() {
    let config = ivydrift_terms::parse("example.hcl", ivydrift_terms::EXAMPLE).unwrap();
    let mut harness = Harness { core: Core::new(config, 0), now: ms(86_400_000), commands: vec![] };
    harness
        .set_nodes(&(9000..9006).map(|port| node(port, if port < 9003 { 1 } else { 2 })).collect::<Vec<_>>());
    harness.rpc(0, "calendar-read", 3000);
    assert_eq!(harness.picks(0), 0, "sent before it is known which build is on trial");
    harness.advance(2050);
    let mut picks_at_later_build = 0;
    for id in 1..60 {
        harness.now += ms(10);
        for command in harness.rpc(id, "calendar-read", 500) {
            if let Command::Pick { id, node, pick, .. } = command {
                picks_at_later_build += usize::from(node.port() >= 9003);
                harness.end(id, pick, OK);
            }
        }
    }
    // The budget is 2 free RPCs and 0.14 of 60.
    assert!(
        harness.answers(59) == ["ok"] && (1..=10).contains(&picks_at_later_build),
        "{picks_at_later_build} of 60 went to the later build"
    );
}

#[test]
fn a_node_returning_with_an_unannounced_build_is_limited_to_the_first_cap() {
    let mut harness = Harness::new();
    harness.now += ms(1000);
    harness.set_nodes(
        &(9000..9006).map(|port| node(port, if port == 9000 { 2 } else { 1 })).collect::<Vec<_>>(),
    );
    let mut picks_at_later_build = 0;
    for id in 1..100 {
        harness.now += ms(10);
        for command in harness.rpc(id, "calendar-read", 500) {
            if let Command::Pick { id, node, pick, .. } = command {
                picks_at_later_build += usize::from(node.port() == 9000);
                harness.end(id, pick, OK);
            }
        }
    }
    // The budget is 2 free RPCs and 0.14 of the 99 in one window.
    assert!((1..=15).contains(&picks_at_later_build), "{picks_at_later_build} of 99 went to the later build");
}

#[derive(Clone, Debug)]
enum Step {
    Rpc(usize, u64),
    End(usize, Observation),
    RepeatedEnd(usize, usize),
    Streaming(usize),
    BodyConsumed(usize, u64),
    ClientLeft(usize),
    Advance(u64),
    List(u8),
    ListLost,
    RandomBytes(Vec<u8>),
}

fn step_sequences() -> impl Strategy<Value = Vec<Step>> {
    let observation = prop_oneof![
        4 => Just(OK), 1 => Just(ERROR), 1 => Just(FULL), 1 => Just(Observation::NotSent), 1 => Just(Observation::Broken),
        1 => Just(Observation::TimedOut), 1 => Just(Observation::Malformed),
    ];
    let step = prop_oneof![
        6 => (0usize..3, 1u64..1500).prop_map(|(m, left)| Step::Rpc(m, left)),
        8 => (0usize..50, observation).prop_map(|(i, observation)| Step::End(i, observation)),
        1 => (0usize..50, 0usize..3).prop_map(|(i, pick)| Step::RepeatedEnd(i, pick)),
        1 => (0usize..50).prop_map(Step::Streaming),
        1 => (0usize..50, 0u64..400).prop_map(|(i, waited)| Step::BodyConsumed(i, waited)),
        1 => (0usize..50).prop_map(Step::ClientLeft),
        6 => (0u64..300).prop_map(Step::Advance),
        1 => any::<u8>().prop_map(Step::List),
        1 => Just(Step::ListLost),
        1 => proptest::collection::vec(any::<u8>(), 0..40).prop_map(Step::RandomBytes),
    ];
    proptest::collection::vec(step, 1..120)
}

/// State of an RPC that the checks need.
#[derive(Default)]
struct RpcState {
    method: usize,
    until: Duration,
    picks: Vec<(usize, Option<Observation>)>,
    finished: bool,
    answers: usize,
    /// Part of its body can no longer be sent again.
    body_consumed: bool,
}

fn check_invariants(
    now: Duration, commands: &[Command], states: &mut BTreeMap<Id, RpcState>,
) -> Result<(), TestCaseError> {
    for command in commands {
        if let Command::Pick { id, pick, by, .. } = command {
            let rpc = states.get_mut(id).unwrap();
            prop_assert!(!rpc.finished, "pick {pick} of {id} after its end");
            prop_assert!(*by <= rpc.until, "pick of {id} runs past the client's time");
            prop_assert!(rpc.picks.iter().all(|p| p.1.is_some()), "two picks of {id} at once");
            let ran =
                rpc.picks.iter().any(|p| !p.1.is_some_and(|observation| observation.outcome().never_ran()));
            prop_assert!(rpc.method != 2 || !ran, "non-idempotent {id} is sent again");
            prop_assert!(!rpc.body_consumed, "{id} is sent again without its body");
            rpc.picks.push((*pick, None));
        }
        if let Some((id, kind)) = answer_of(command) {
            let rpc = states.get_mut(&id).unwrap();
            rpc.answers += 1;
            prop_assert!(!rpc.finished && rpc.answers == 1, "{id} gets {kind} after its end");
            prop_assert!(now <= rpc.until, "{id} gets {kind} late");
            let ran =
                rpc.picks.iter().any(|p| !p.1.is_some_and(|observation| observation.outcome().never_ran()));
            prop_assert!(kind != "pushed back" || rpc.method != 2 || !ran, "{id} may have run");
            rpc.finished = true;
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, rng_seed: RngSeed::Fixed(10), ..ProptestConfig::with_cases(1000)
    })]
    #[test]
    fn every_rpc_has_one_answer_in_time(step_sequences in step_sequences()) {
        let mut harness = Harness::new();
        let mut states: BTreeMap<Id, RpcState> = BTreeMap::new();
        let mut left: BTreeSet<Id> = BTreeSet::new();
        for step in step_sequences {
            let nth_pick_in_flight = |i: usize, states: &BTreeMap<Id, RpcState>| {
                let out: Vec<(Id, usize)> = states.iter()
                    .flat_map(|(id, s)| s.picks.iter().filter(|p| p.1.is_none()).map(|p| (*id, p.0)))
                    .collect();
                out.get(i % out.len().max(1)).copied()
            };
            let commands = match step {
                Step::Rpc(method, span) => {
                    let id = states.len() as Id;
                    let until = harness.now + ms(span);
                    states.insert(id, RpcState { method, until, ..RpcState::default() });
                    harness.rpc(id, ["calendar-read", "calendar-save", "pickup-book"][method], span)
                }
                Step::End(i, observation) => {
                    let Some((id, pick)) = nth_pick_in_flight(i, &states) else { continue };
                    states.get_mut(&id).unwrap().picks[pick].1 = Some(observation);
                    harness.end(id, pick, observation)
                }
                // A report of a pick that has already ended or never existed.
                Step::RepeatedEnd(i, pick) => {
                    let id = (i % states.len().max(1)) as Id;
                    let out = states.get(&id).and_then(|s| s.picks.get(pick)).is_some_and(|p| p.1.is_none());
                    if out {
                        continue;
                    }
                    let commands = harness.end(id, pick, OK);
                    prop_assert!(!commands.iter().any(|o| answer_of(o).is_some()), "{} answered again", id);
                    commands
                }
                Step::Streaming(i) => {
                    let Some((id, pick)) = nth_pick_in_flight(i, &states) else { continue };
                    harness.handle(Input::AnswerBegan { id, pick })
                }
                Step::BodyConsumed(i, waited) => {
                    let Some((id, pick)) = nth_pick_in_flight(i, &states) else { continue };
                    states.get_mut(&id).unwrap().body_consumed = true;
                    harness.handle(Input::BodyConsumed { id, pick, waited: ms(waited) })
                }
                Step::ClientLeft(i) => {
                    let id = (i % states.len().max(1)) as Id;
                    if let Some(rpc) = states.get_mut(&id) {
                        rpc.finished = true;
                        left.insert(id);
                    }
                    harness.handle(Input::ClientLeft { id })
                }
                Step::Advance(span) => {
                    let until = harness.now + ms(span);
                    while harness.now < until {
                        harness.now = harness.core.next_tick().max(harness.now + Duration::from_micros(50)).min(until);
                        let commands = harness.handle(Input::Tick);
                        check_invariants(harness.now, &commands, &mut states)?;
                        for command in &commands {
                            if let Command::Sever { id, pick } = command {
                                states.get_mut(id).unwrap().picks[*pick].1 = Some(Observation::Cancelled);
                                let more = harness.end(*id, *pick, Observation::Cancelled);
                                check_invariants(harness.now, &more, &mut states)?;
                            }
                        }
                    }
                    vec![]
                }
                Step::List(mask) => {
                    let nodes: Vec<ListedNode> =
                        (0..8).filter(|i| mask & (1 << i) != 0).map(|i| node(9000 + i, 1)).collect();
                    harness.handle(Input::NodeList(&nodes))
                }
                Step::ListLost => harness.handle(Input::NodeListLost),
                Step::RandomBytes(bytes) => harness.handle(Input::PeerDatagram(&bytes)),
            };
            check_invariants(harness.now, &commands, &mut states)?;
            for command in commands {
                if let Command::Sever { id, pick } = command {
                    states.get_mut(&id).unwrap().picks[pick].1 = Some(Observation::Cancelled);
                    let more = harness.end(id, pick, Observation::Cancelled);
                    check_invariants(harness.now, &more, &mut states)?;
                }
            }
        }
        let end = harness.now + ms(2000);
        while harness.now < end {
            harness.now = harness.core.next_tick().max(harness.now + Duration::from_micros(50));
            let commands = harness.handle(Input::Tick);
            check_invariants(harness.now, &commands, &mut states)?;
        }
        for (id, rpc) in &states {
            prop_assert!(rpc.answers == 1 || left.contains(id), "{} has {} answers", id, rpc.answers);
        }
    }
}

#[test]
fn reconfigure_keeps_rpcs_in_flight_and_budgets_and_names_what_cannot_change() {
    let read = |text: &str| ivydrift_terms::parse("new.hcl", text).unwrap();
    let example = ivydrift_terms::EXAMPLE;
    let renamed_config =
        example.replace("\"pickup-book\"", "\"relay-book\"").replace("\"calendar\"", "\"relay\"")
            + "\nwarm_keys = true\n";
    let mut harness = Harness::new();
    for (round, id) in (0..4).zip((10..).step_by(10)) {
        harness.rpc(id, "pickup-book", 2000);
        harness.rpc(id + 1, "calendar-read", 2000);
        harness.core.reconfigure(read(&renamed_config)).unwrap();
        // RPCs accepted under the earlier config end normally, once.
        harness.now += ms(40);
        harness.end(id, 0, OK);
        harness.end(id + 1, 0, FULL);
        harness.end(id + 1, 1, OK);
        assert_eq!((harness.answers(id), harness.answers(id + 1)), (vec!["ok"], vec!["ok"]), "round {round}");
        assert_eq!((harness.picks(id), harness.picks(id + 1)), (1, 2));
        // A new method is accepted, at the same nodes; a removed one is not.
        harness.rpc(id + 2, "relay-book", 2000);
        harness.rpc(id + 3, "pickup-book", 2000);
        assert_eq!((harness.picks(id + 2), harness.answers(id + 3)), (1, vec!["rejected"]));
        harness.core.reconfigure(read(example)).unwrap();
        harness.now += ms(40);
        harness.end(id + 2, 0, OK);
        harness.rpc(id + 4, "relay-book", 2000);
        assert_eq!((harness.answers(id + 2), harness.answers(id + 4)), (vec!["ok"], vec!["rejected"]));
    }
    assert_eq!(harness.core.counts().held, 0);
    for (from, to, word) in [
        ("number = 0\n  of = 1", "number = 1\n  of = 2", "marshal.number"),
        ("listen = \"127.0.0.1:7100\"", "listen = \"127.0.0.1:7101\"", "places.listen"),
    ] {
        let why = harness.core.reconfigure(read(&renamed_config.replace(from, to))).unwrap_err();
        assert!(why.contains(word) && why.contains("start another"), "{why}");
        assert_eq!(harness.rpc(1000, "relay-book", 2000).len(), 1, "a refused config came into force");
    }
}
