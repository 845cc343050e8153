//! A service with open windows is not dropped, and after a return forgotten budgets count as used up.

use super::harness::*;
use super::{behaviors, harness, nodes};

#[test]
fn no_service_is_dropped_with_a_pick_in_flight_or_a_window_open() {
    // The idle time is far shorter than each window; the harness checks the invariants at every drop.
    for (method, pick_ms, window, at_least) in [
        ("s0-read", 15, "3s", 3000),
        ("s0-read", 15, "100ms", 1000), // The fall window.
        ("s0-save", 15, "3s", 5000),
        ("s0-book", 2600, "100ms", 2600),
    ] {
        let window = format!("window = \"{window}\"");
        let mut harness = Harness::new(config(&names(2), "most = 1\n  rest = \"1s\"", &window), behaviors(2));
        harness.behaviors.values_mut().for_each(|m| m.pick_ms = pick_ms);
        let (at, id) = (harness.now, harness.rpc(method, 3000, None));
        while harness.dropped.is_empty() {
            harness.advance(100);
            assert!(harness.now < at + ms(20_000), "{method}: never dropped");
            // Another service that needs the place cannot evict it.
            let other = harness.rpc("s1-read", 1000, None);
            let held = harness.current_id("s0").is_some();
            assert_eq!(harness.answer_of(other) == "pushed back", held);
        }
        assert_eq!(harness.answer_of(id), "ok");
        assert!(harness.dropped[0].0 >= at + ms(at_least), "{method}: {:?}", harness.dropped[0].0 - at);
        harness.advance(3000);
        harness.all_answered();
    }
}

#[test]
fn after_a_return_there_is_no_free_exposure_for_one_window() {
    let config = |window: &str| {
        config(&names(1), "most = 1\n  rest = \"4s\"", &format!("free = 5\n  window = \"{window}\""))
    };
    let mut harness = Harness::new(config("3s"), behaviors(1));
    let behavior = harness.behaviors.get_mut("s0").unwrap();
    behavior.nodes = [nodes(0, 3, 1), nodes(1, 3, 2)].concat();
    behavior.stage = on_trial(2, 0.14);
    let exposed = |harness: &Harness, from| {
        harness.histories["s0"].picks.iter().filter(|p| p.0 >= from && p.1 == 2).count()
    };
    for round in 0..3 {
        let from = harness.now;
        for _ in 0..20 {
            harness.rpc("s0-read", 1000, None);
            harness.advance(50);
        }
        let exposed_picks = exposed(&harness, from);
        assert!(
            exposed_picks <= 2,
            "round {round}: {exposed_picks} of 20 with a cap of 0.14 and no free budget"
        );
        // While the service stays held, the free budget is back after one window.
        harness.advance(3500);
        let from = harness.now;
        for _ in 0..20 {
            harness.rpc("s0-read", 1000, None);
            harness.advance(50);
        }
        assert!(exposed(&harness, from) > 2, "round {round}: the free budget did not come back");
        harness.advance(9000);
        assert_eq!(harness.dropped.len(), round + 1, "not dropped between the rounds");
    }
}

#[test]
fn a_window_lengthened_while_a_service_is_dropped_is_respected() {
    let config = |window: &str| {
        config(&names(1), "most = 1\n  rest = \"4s\"", &format!("free = 3\n  window = \"{window}\""))
    };
    let mut harness = Harness::new(config("3s"), behaviors(1));
    let behavior = harness.behaviors.get_mut("s0").unwrap();
    behavior.nodes = [nodes(0, 3, 1), nodes(1, 3, 2)].concat();
    behavior.stage = on_trial(2, 0.14);
    let send_rpcs = |harness: &mut Harness| {
        for _ in 0..20 {
            harness.rpc("s0-read", 1000, None);
            harness.advance(50);
        }
    };
    send_rpcs(&mut harness);
    harness.advance(3500);
    send_rpcs(&mut harness);
    harness.advance(5000);
    assert_eq!(harness.dropped.len(), 1);
    harness.reconfigure(config("20s")).unwrap();
    let from = harness.now - ms(15_000);
    send_rpcs(&mut harness);
    let exposed_picks =
        harness.histories["s0"].picks.iter().filter(|p| p.0 >= from && p.1 == 2).count() as f64;
    let taken = harness.histories["s0"].taken.iter().filter(|at| **at >= from).count() as f64;
    assert!(exposed_picks <= 3.0 + 0.14 * taken, "{exposed_picks} of {taken} in one window of 20 s");
}

#[test]
fn after_a_return_cold_nodes_get_nothing_for_one_slow_start_window() {
    let mut harness = harness(1, "most = 1\n  rest = \"4s\"");
    for round in 0..3 {
        let behavior = harness.behaviors.get_mut("s0").unwrap();
        behavior.nodes = nodes(0, 8, 1);
        // So much more powerful than the others that its budget allows a whole RPC at once.
        behavior.nodes[7].power = 500.0;
        behavior.nodes[7].started_ms = Some(harness.now.as_millis() as u64);
        let from = harness.now;
        for _ in 0..180 {
            harness.rpc("s0-read", 1000, None);
            harness.advance(10);
        }
        let cold = harness.histories["s0"].picks.iter().filter(|p| p.0 >= from && p.2 == 10_007);
        let first = cold.map(|p| p.0 - from).min();
        assert!(first.is_some_and(|at| at >= ms(1000)), "round {round}: {first:?}");
        harness.advance(9000);
        assert_eq!(harness.dropped.len(), round + 1);
    }
}

#[test]
fn a_key_on_a_new_build_keeps_its_service_until_no_earlier_node_is_left() {
    let one_way = config(&names(1), "most = 1\n  rest = \"4s\"", "one_way = true\n  free = 50");
    let mut harness = Harness::new(one_way, behaviors(1));
    let behavior = harness.behaviors.get_mut("s0").unwrap();
    behavior.nodes = [nodes(0, 1, 1), nodes(1, 3, 2)].concat();
    behavior.stage = on_trial(2, 1.0);
    for key in 0..20 {
        harness.rpc("s0-read", 1000, Some(key));
        harness.advance(300);
    }
    assert!(harness.histories["s0"].keys_on_new_build, "no key has reached the build on trial");
    harness.advance(60_000);
    assert!(harness.dropped.is_empty(), "dropped during the trial");
    harness.behaviors.get_mut("s0").unwrap().stage = released(2);
    harness.rollout_update("s0");
    harness.advance(60_000);
    assert!(harness.dropped.is_empty(), "dropped while a node of the earlier build is listed");
    harness.behaviors.get_mut("s0").unwrap().nodes.remove(0);
    harness.list("s0");
    harness.histories.get_mut("s0").unwrap().keys_on_new_build = false;
    harness.advance(10_000);
    assert_eq!(harness.dropped.len(), 1, "still held although no node of the earlier build is left");
}
