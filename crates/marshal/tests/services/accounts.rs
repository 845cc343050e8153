//! A service with open windows is not dropped, and after a return forgotten budgets count as used up.

use super::bed::*;
use super::{bed, manners, nodes};

#[test]
fn nothing_is_dropped_with_a_pick_in_hand_a_token_s_window_or_an_account_open() {
    // The idle time is far shorter than each window; the harness checks the invariants at every drop.
    for (method, takes, window, at_least) in [
        ("s0-read", 15, "3s", 3000),
        ("s0-read", 15, "100ms", 1000), // The fall window.
        ("s0-save", 15, "3s", 5000),
        ("s0-book", 2600, "100ms", 2600),
    ] {
        let window = format!("window = \"{window}\"");
        let mut bed = Bed::new(terms(&names(2), "most = 1\n  rest = \"1s\"", &window), manners(2));
        bed.manners.values_mut().for_each(|m| m.takes = takes);
        let (at, id) = (bed.now, bed.rpc(method, 3000, None));
        while bed.dropped.is_empty() {
            bed.pass(100);
            assert!(bed.now < at + ms(20_000), "{method}: never dropped");
            // Another service that needs the place cannot evict it.
            let other = bed.rpc("s1-read", 1000, None);
            let held = bed.hold("s0").is_some();
            assert_eq!(bed.answer_of(other) == "pushed back", held);
        }
        assert_eq!(bed.answer_of(id), "ok");
        assert!(bed.dropped[0].0 >= at + ms(at_least), "{method}: {:?}", bed.dropped[0].0 - at);
        bed.pass(3000);
        bed.all_answered();
    }
}

#[test]
fn after_a_return_exposure_has_nothing_free_for_a_window() {
    let fresh = |window: &str| {
        terms(&names(1), "most = 1\n  rest = \"4s\"", &format!("free = 5\n  window = \"{window}\""))
    };
    let mut bed = Bed::new(fresh("3s"), manners(1));
    let manner = bed.manners.get_mut("s0").unwrap();
    manner.nodes = [nodes(0, 3, 1), nodes(1, 3, 2)].concat();
    manner.stage = on_trial(2, 0.14);
    let exposed =
        |bed: &Bed, from| bed.stories["s0"].picks.iter().filter(|p| p.0 >= from && p.1 == 2).count();
    for round in 0..3 {
        let from = bed.now;
        for _ in 0..20 {
            bed.rpc("s0-read", 1000, None);
            bed.pass(50);
        }
        let met = exposed(&bed, from);
        assert!(met <= 2, "round {round}: {met} of 20 with a cap of 0.14 and no free budget");
        // While the service stays held, the free budget is back after one window.
        bed.pass(3500);
        let from = bed.now;
        for _ in 0..20 {
            bed.rpc("s0-read", 1000, None);
            bed.pass(50);
        }
        assert!(exposed(&bed, from) > 2, "round {round}: the free budget did not come back");
        bed.pass(9000);
        assert_eq!(bed.dropped.len(), round + 1, "not dropped between the rounds");
    }
}

#[test]
fn a_window_that_new_terms_lengthen_while_a_service_is_away_is_kept() {
    let fresh = |window: &str| {
        terms(&names(1), "most = 1\n  rest = \"4s\"", &format!("free = 3\n  window = \"{window}\""))
    };
    let mut bed = Bed::new(fresh("3s"), manners(1));
    let manner = bed.manners.get_mut("s0").unwrap();
    manner.nodes = [nodes(0, 3, 1), nodes(1, 3, 2)].concat();
    manner.stage = on_trial(2, 0.14);
    let run = |bed: &mut Bed| {
        for _ in 0..20 {
            bed.rpc("s0-read", 1000, None);
            bed.pass(50);
        }
    };
    run(&mut bed);
    bed.pass(3500);
    run(&mut bed);
    bed.pass(5000);
    assert_eq!(bed.dropped.len(), 1);
    bed.renew(fresh("20s")).unwrap();
    let from = bed.now - ms(15_000);
    run(&mut bed);
    let met = bed.stories["s0"].picks.iter().filter(|p| p.0 >= from && p.1 == 2).count() as f64;
    let taken = bed.stories["s0"].taken.iter().filter(|at| **at >= from).count() as f64;
    assert!(met <= 3.0 + 0.14 * taken, "{met} of {taken} in one window of 20 s");
}

#[test]
fn cold_nodes_get_nothing_for_a_fall_window_after_a_return() {
    let mut bed = bed(1, "most = 1\n  rest = \"4s\"");
    for round in 0..3 {
        let manner = bed.manners.get_mut("s0").unwrap();
        manner.nodes = nodes(0, 8, 1);
        // So much more powerful than the others that its budget allows a whole RPC at once.
        manner.nodes[7].power = 500.0;
        manner.nodes[7].started_ms = Some(bed.now.as_millis() as u64);
        let from = bed.now;
        for _ in 0..180 {
            bed.rpc("s0-read", 1000, None);
            bed.pass(10);
        }
        let cold = bed.stories["s0"].picks.iter().filter(|p| p.0 >= from && p.2 == 10_007);
        let first = cold.map(|p| p.0 - from).min();
        assert!(first.is_some_and(|at| at >= ms(1000)), "round {round}: {first:?}");
        bed.pass(9000);
        assert_eq!(bed.dropped.len(), round + 1);
    }
}

#[test]
fn a_key_that_has_crossed_keeps_its_service_until_it_can_go_nowhere_back() {
    let one_way = terms(&names(1), "most = 1\n  rest = \"4s\"", "one_way = true\n  free = 50");
    let mut bed = Bed::new(one_way, manners(1));
    let manner = bed.manners.get_mut("s0").unwrap();
    manner.nodes = [nodes(0, 1, 1), nodes(1, 3, 2)].concat();
    manner.stage = on_trial(2, 1.0);
    for key in 0..20 {
        bed.rpc("s0-read", 1000, Some(key));
        bed.pass(300);
    }
    assert!(bed.stories["s0"].keys, "no key has reached the build on trial");
    bed.pass(60_000);
    assert!(bed.dropped.is_empty(), "dropped during the trial");
    bed.manners.get_mut("s0").unwrap().stage = released(2);
    bed.news("s0");
    bed.pass(60_000);
    assert!(bed.dropped.is_empty(), "dropped while a node of the earlier build is listed");
    bed.manners.get_mut("s0").unwrap().nodes.remove(0);
    bed.list("s0");
    bed.stories.get_mut("s0").unwrap().keys = false;
    bed.pass(10_000);
    assert_eq!(bed.dropped.len(), 1, "still held although no node of the earlier build is left");
}
