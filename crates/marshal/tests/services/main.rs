//! Tests of many services in one marshal: cases one by one, then seeded random mixes. The invariants are in
//! `harness.rs`.

#[path = "../common/mod.rs"]
mod common;
mod harness;
mod random_runs;
mod windows;

use std::collections::BTreeMap;

use common::node;
use harness::*;
use ivydrift_marshal::{Call, Command, Core, DropReason, Input, Output, Services, PRIMARY};
use ivydrift_wire::controller::{RolloutState, RolloutUpdate, Stage};
use ivydrift_wire::list::ListedNode;

fn nodes(service: usize, count: u16, build: u32) -> Vec<ListedNode> {
    (0..count).map(|n| node(10_000 + 10 * service as u16 + n, build)).collect()
}

fn behaviors(count: usize) -> BTreeMap<String, Behavior> {
    names(count).into_iter().enumerate().map(|(n, name)| (name, Behavior::plain(nodes(n, 3, 1)))).collect()
}

fn harness(count: usize, block: &str) -> Harness {
    Harness::new(config(&names(count), block, ""), behaviors(count))
}

#[test]
fn a_marshal_of_one_service_behaves_exactly_as_a_core() {
    let config = ivydrift_terms::parse("example.hcl", ivydrift_terms::EXAMPLE).unwrap();
    let (mut core, mut services) = (Core::new(config.clone(), 0), Services::new(config, 0));
    let mut now = ms(86_400_000);
    let mut handle_both = |now, input: Input| {
        let wanted = core.handle(now, input);
        let outputs = services.handle(now, PRIMARY, input);
        let command = |s| match s {
            Output::Command { instance: PRIMARY, command } => command,
            other => panic!("{other:?}"),
        };
        assert_eq!(outputs.into_iter().map(command).collect::<Vec<_>>(), wanted);
        assert_eq!(
            (services.next_tick(), services.counts(), services.ready()),
            (core.next_tick(), core.counts(), core.ready())
        );
        (wanted, core.next_tick())
    };
    let stage = Stage { build: 2, stage: 0, course: RolloutState::OnTrial, cap: 0.3, age_ms: 50 };
    handle_both(now, Input::NodeList(&[nodes(0, 4, 1), nodes(1, 2, 2)].concat()));
    handle_both(
        now,
        Input::RolloutUpdate(&RolloutUpdate { index: 1, stage: Some(stage), sums: vec![], disputed: vec![] }),
    );
    let mut out = vec![];
    for id in 1..400 {
        let method = ["calendar-read", "calendar-save", "pickup-book", "nothing"][id as usize % 4];
        let (tokened, left) = (id % 3 > 0, Some(ms(40 + id * 7 % 900)));
        let call = Call {
            method,
            tenant: None,
            key: Some(id % 9),
            has_idempotency_key: tokened,
            time_left: left,
            is_retry: false,
        };
        let (mut commands, mut due) = handle_both(now, Input::Rpc { id, call });
        for _ in 0..1 + id % 5 {
            out.extend(commands.iter().filter_map(|o| match o {
                Command::Pick { id, pick, .. } | Command::Sever { id, pick } => Some((*id, *pick)),
                _ => None,
            }));
            now = due.max(now + ms(id % 7));
            (commands, due) = handle_both(now, Input::Tick);
        }
        if id % 2 == 0 {
            for (id, pick) in out.drain(..out.len().min(3)) {
                let observation = [OK, ERROR, FULL, OK][(id % 4) as usize];
                handle_both(now, Input::PickEnded { id, pick, observation });
            }
        }
        match id % 50 {
            7 => drop(handle_both(now, Input::NodeListLost)),
            9 => drop(handle_both(now, Input::ClientLeft { id })),
            11 => drop(handle_both(now, Input::NodeList(&nodes(0, 3, 1)))),
            13 => drop(handle_both(now, Input::NodeList(&[nodes(0, 4, 1), nodes(1, 2, 2)].concat()))),
            _ => {}
        }
    }
}

#[test]
fn a_service_is_held_from_its_first_rpc_until_idle_and_again_on_the_next() {
    let mut harness = harness(3, "most = 2\n  rest = \"8s\"");
    assert!(harness.held.is_empty(), "a service is held before its first RPC");
    let first = harness.rpc("s0-read", 2000, None);
    assert_eq!(harness.answer_of(first), "", "answered before the list arrived");
    harness.advance(200);
    assert_eq!((harness.answer_of(first), harness.rpcs[&first].picks), ("ok", 1));
    // RPCs continue for longer than the idle time: the service stays.
    for _ in 0..30 {
        let id = harness.rpc("s0-read", 1000, None);
        harness.advance(400);
        assert_eq!(harness.answer_of(id), "ok");
    }
    let (instance_id, last) = (harness.current_id("s0").unwrap(), harness.now - ms(400));
    harness.advance(7_500);
    assert_eq!(harness.current_id("s0"), Some(instance_id), "dropped before its idle time was over");
    harness.advance(1_000);
    assert_eq!(harness.dropped, [(last + ms(8_000), "s0".into(), DropReason::Idle)]);
    let back = harness.rpc("s0-read", 2000, None);
    harness.advance(200);
    assert_eq!(harness.answer_of(back), "ok");
    assert!(
        harness.current_id("s0").unwrap() > instance_id,
        "the same id again: late messages for the first period would have an effect"
    );
}

#[test]
fn a_first_rpc_is_pushed_back_in_time_if_the_list_is_late_lost_or_empty() {
    for (list, list_fails, listed) in
        [(None, false, 3), (None, true, 3), (Some(2500), false, 3), (Some(20), false, 0)]
    {
        let mut harness = harness(2, "most = 1\n  rest = \"8s\"");
        let behavior = harness.behaviors.get_mut("s0").unwrap();
        (behavior.list_ms, behavior.list_fails, behavior.nodes) = (list, list_fails, nodes(0, listed, 1));
        let ids: Vec<_> = ["s0-read", "s0-save", "s0-book"].map(|m| harness.rpc(m, 1000, None)).into();
        harness.advance(1000);
        for id in ids {
            let [(word, back)] = harness.rpcs[&id].answers[..] else { panic!("no answer") };
            assert!(word == "pushed back" && back.is_some_and(|b| !b.is_zero()), "{word} {back:?}");
        }
        // It is evicted first, although it was used last.
        harness.rpc("s1-read", 1000, None);
        assert_eq!(harness.dropped.last().map(|d| (&d.1[..], d.2)), Some(("s0", DropReason::Evicted)));
    }
}

#[test]
fn without_a_rollout_controller_a_first_rpc_waits_no_longer_than_at_a_marshal_s_start() {
    let mut harness = harness(1, "most = 1");
    harness.behaviors.get_mut("s0").unwrap().controller_ms = None;
    let early = harness.rpc("s0-read", 1000, None);
    harness.advance(2100);
    let later = harness.rpc("s0-read", 1000, None);
    harness.advance(100);
    assert_eq!((harness.answer_of(early), harness.answer_of(later)), ("pushed back", "ok"));
}

#[test]
fn five_hundred_services_in_turn_with_a_limit_of_fifty() {
    let mut harness = harness(500, "most = 50\n  rest = \"60s\"");
    let mut ids = vec![];
    for round in 0..1000 {
        ids.push(harness.rpc(&format!("s{}-read", round % 500), 2000, None));
        harness.advance(100);
    }
    harness.advance(2000);
    assert!(
        ids.iter().all(|id| harness.answer_of(*id) == "ok"),
        "pushed back although the least recently used service could be evicted"
    );
    assert_eq!((harness.held.len(), harness.dropped.len()), (50, 950));
    assert!(harness.dropped.iter().all(|d| d.2 == DropReason::Evicted));
    // The least recently used were evicted first.
    let left: Vec<_> = harness.dropped.iter().map(|d| d.1.clone()).collect();
    assert_eq!(left, (0..950).map(|n| format!("s{}", n % 500)).collect::<Vec<_>>());
}

#[test]
fn an_rpc_is_pushed_back_at_once_if_no_service_can_be_evicted() {
    let mut harness = harness(3, "most = 2");
    harness.behaviors.values_mut().for_each(|m| m.pick_ms = 400);
    harness.rpc("s0-read", 2000, None);
    harness.rpc("s1-read", 2000, None);
    harness.advance(50);
    let third = harness.rpc("s2-read", 2000, None);
    let [("pushed back", Some(back))] = harness.rpcs[&third].answers[..] else {
        panic!("not answered at once")
    };
    assert!(back > ms(0) && back <= ms(2000));
    assert!(
        harness.dropped.is_empty() && harness.current_id("s2").is_none(),
        "a service that does not fit was recorded, or another dropped for it"
    );
    // Their RPCs have ended but the exposure window is still open: no capacity. Once it has passed there is.
    harness.advance(2000);
    let early = harness.rpc("s2-read", 2000, None);
    assert_eq!(harness.answer_of(early), "pushed back");
    harness.advance(2500);
    let fourth = harness.rpc("s2-read", 2000, None);
    harness.advance(1000);
    assert_eq!((harness.answer_of(fourth), harness.dropped.len()), ("ok", 1));
    harness.all_answered();
}

#[test]
fn unknown_names_use_no_memory_and_a_list_that_does_not_fit_is_refused() {
    let mut harness = harness(3, "most = 3\n  rest = \"60s\"\n  kib = 400");
    for n in 0..2000 {
        let id = harness.rpc(&format!("nobody-{n}"), 1000, None);
        assert_eq!(harness.answer_of(id), "rejected");
    }
    assert!(harness.held.is_empty() && harness.services.bytes() == 0);
    harness.behaviors.get_mut("s1").unwrap().nodes = (0..3000).map(|n| node(20_000 + n, 1)).collect();
    let first = harness.rpc("s0-read", 1000, None);
    harness.advance(100);
    let large = harness.rpc("s1-read", 1000, None);
    harness.advance(100);
    let more = harness.rpc("s1-read", 1000, None);
    assert_eq!(harness.answer_of(more), "pushed back", "the list is known not to fit");
    harness.advance(2000);
    assert_eq!((harness.answer_of(first), harness.answer_of(large)), ("ok", "pushed back"));
    assert!(harness.current_id("s0").is_some(), "s0 was dropped although that could not make the list fit");
    assert_eq!(
        harness.dropped.iter().map(|d| (&d.1[..], d.2)).collect::<Vec<_>>(),
        [("s1", DropReason::ListTooLarge)]
    );
    // A held service always gets its node list, as draining nodes must be known; other services are evicted
    // as far as they may be.
    harness.rpc("s2-read", 1000, None);
    harness.advance(4000);
    harness.behaviors.get_mut("s2").unwrap().nodes = (0..3000).map(|n| node(20_000 + n, 1)).collect();
    harness.list("s2");
    assert_eq!(harness.dropped.last().map(|d| (&d.1[..], d.2)), Some(("s0", DropReason::Evicted)));
    let state = harness.services.instances().next().unwrap();
    assert_eq!((&*state.service, state.ready), ("s2", 3000));
    let other = harness.rpc("s0-read", 1000, None);
    assert_eq!(
        harness.answer_of(other),
        "",
        "the service with the large list has nothing open but was not evicted"
    );
}

#[test]
fn an_idle_service_ticks_rarely_and_wakes_at_once() {
    let mut harness = harness(1, "most = 1\n  rest = \"1h\"");
    harness.resend_list_ms = Some(10_000);
    harness.rpc("s0-read", 1000, None);
    harness.advance(30_000);
    harness.ticks = 0;
    let output_count = harness.outputs.len();
    harness.advance(60_000);
    // The service itself ticks 12 times, and 4 times after each of 6 lists; `places.service` ticks 10 times a
    // second.
    let lists = harness.outputs[output_count..]
        .iter()
        .filter(|s| !matches!(s.1, Output::Command { instance: PRIMARY, .. }))
        .count();
    assert!(harness.ticks < 600 + 60 && lists == 0, "{} ticks, {lists} commands", harness.ticks);
    assert!(harness.services.instances().all(|h| h.asleep));
    let id = harness.rpc("s0-read", 1000, None);
    assert_eq!(harness.rpcs[&id].picks, 1, "sent at once");
    harness.advance(60_000);
    assert!(harness.services.instances().all(|h| h.asleep));
    // A lost list is requested again at the policy's retry interval, not at the slow tick.
    harness.advance(2_000);
    harness.lose_list("s0");
    let (at, output_count) = (harness.now, harness.outputs.len());
    harness.advance(4000);
    let request = harness.outputs[output_count..]
        .iter()
        .find(|s| matches!(s.1, Output::Command { instance, command: Command::FollowMembership } if instance != PRIMARY));
    assert!(request.is_some_and(|s| s.0 - at < ms(3000)), "{request:?}");
    // During a trial it does not sleep: votes are due.
    harness.behaviors.get_mut("s0").unwrap().stage = on_trial(2, 0.2);
    harness.rollout_update("s0");
    harness.advance(60_000);
    assert!(harness.services.instances().all(|h| !h.asleep));
}

#[test]
fn reconfigure_adds_and_removes_services_and_methods_under_load() {
    let all = |services: &[String]| config(services, "most = 3\n  rest = \"60s\"", "");
    let mut harness = harness(3, "most = 3\n  rest = \"60s\"");
    harness.behaviors.values_mut().for_each(|m| m.pick_ms = 300);
    harness.reconfigure(all(&names(2))).unwrap();
    let unknown = harness.rpc("s2-read", 1000, None);
    assert_eq!(harness.answer_of(unknown), "rejected");
    let ids: Vec<_> = (0..40)
        .map(|n| {
            let id = harness.rpc(["s0-read", "s1-save", "s0-book", "calendar-read"][n % 4], 2000, None);
            harness.advance(20);
            id
        })
        .collect();
    // s0 is removed and s2 added while picks of both s0 and s1 are in flight.
    harness.reconfigure(all(&["s1".to_owned(), "s2".to_owned()])).unwrap();
    let gone = harness.rpc("s0-read", 1000, None);
    let new = harness.rpc("s2-read", 1000, None);
    harness.advance(600);
    assert_eq!((harness.answer_of(gone), harness.answer_of(new)), ("rejected", "ok"));
    harness.advance(2000);
    let ends: Vec<_> = ids
        .iter()
        .filter(|id| harness.rpcs[id].service != "calendar")
        .map(|id| harness.answer_of(*id))
        .collect();
    assert!(ends.iter().all(|e| *e == "ok"), "RPCs in flight did not end normally: {ends:?}");
    assert!(harness.current_id("s0").is_some(), "dropped with its windows open");
    // s0 returns before its windows have passed: the same instance, with its accounting.
    let instance_id = harness.current_id("s0");
    harness.reconfigure(all(&names(3))).unwrap();
    let back = harness.rpc("s0-read", 1000, None);
    harness.advance(400);
    assert_eq!((harness.answer_of(back), harness.current_id("s0")), ("ok", instance_id));
    harness.reconfigure(all(&names(1)[..0])).unwrap();
    harness.advance(6000);
    assert_eq!(harness.dropped.len(), 3);
    assert!(
        harness.dropped.iter().all(|d| d.2 == DropReason::NotConfigured) && harness.services.bytes() == 0
    );
    harness.all_answered();
}

#[test]
fn places_service_cannot_be_renamed_to_a_service_that_is_held() {
    let mut harness = harness(2, "most = 3\n  rest = \"60s\"");
    harness.rpc("s0-read", 1000, None);
    harness.advance(100);
    let renamed = |to: &str| {
        let mut new = config(&names(2), "most = 3", "");
        new.addresses.service = to.to_owned();
        new
    };
    let why = harness.reconfigure(renamed("s0")).unwrap_err();
    assert!(why.contains("places.service cannot change from \"calendar\" to \"s0\""), "{why}");
    let id = harness.rpc("s1-read", 1000, None);
    harness.advance(100);
    assert_eq!(harness.answer_of(id), "ok", "the earlier config is no longer in force");
    harness.reconfigure(renamed("other")).unwrap();
}
