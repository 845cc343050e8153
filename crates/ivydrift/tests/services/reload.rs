//! Services and methods that are added and removed by a config reload (SIGHUP).

use std::time::Duration;

use ivydrift_audit::trace::AnswerKind;
use ivydrift_standin::services::{NodeConfig, Reply, Request};

use crate::service_fleet::*;

#[test]
fn a_signal_adds_and_removes_services_and_methods_under_load() {
    let first = ServicesConfig {
        idle_ms: 60_000,
        window_ms: 300,
        omitted_methods: vec!["relay-book".to_owned()],
        ..ServicesConfig::new(&["cart", "relay"])
    };
    let second = ServicesConfig {
        names: vec!["relay".into(), "fresh".into()],
        omitted_methods: vec![],
        ..first.clone()
    };
    let fleet = ServiceFleet::start(("renewed", 5), 3, &first, &["fresh"]);
    let cart = fleet.services.start_node("cart", NodeConfig::default()).unwrap();
    for service in ["relay", "relay", "fresh"] {
        fleet.services.start_node(service, NodeConfig::default()).unwrap();
    }
    for marshal in 0..3 {
        fleet.retry_until_ok(marshal, "cart", 5000);
        fleet.retry_until_ok(marshal, "relay", 5000);
    }
    let book = |m| fleet.call(m, &Request::new("relay", "relay-book"));
    let not_found = Reply::Rejected(404);
    assert!((0..3).all(|m| book(m) == not_found && fleet.read(m, "fresh") == not_found));
    let (background, ()) = fleet.with_background_load("relay", 10, || {
        // RPCs of a removed service that are at its node when the config changes must complete.
        fleet.services.set_work(cart, Duration::from_millis(2000));
        let long_call = Request::new("cart", "cart-book").within(5000);
        let in_flight = run_concurrently(4, |n| match n {
            3 => {
                std::thread::sleep(Duration::from_millis(500));
                fleet.reload(&second);
                assert!(
                    (0..3).all(|m| fleet.read(m, "cart") == not_found),
                    "an RPC of a removed service is accepted"
                );
                not_found.clone()
            }
            m => fleet.call(m, &long_call),
        });
        assert!(in_flight[..3].iter().all(|r| r.kind() == Some(AnswerKind::Ok)), "{in_flight:?}");
        fleet.wait_until_dropped("cart", 1);
        assert!((0..3).all(|m| fleet.processes.log(m).contains("the terms name no method of it")));
        for marshal in 0..3 {
            fleet.retry_until_ok(marshal, "fresh", 5000);
            assert!(book(marshal).ok(), "a method added to a running service must be served");
        }
        fleet.services.set_work(cart, Duration::from_millis(5));
        fleet.reload(&first);
        for marshal in 0..3 {
            assert!(book(marshal) == not_found && fleet.read(marshal, "fresh") == not_found);
            fleet.retry_until_ok(marshal, "cart", 5000);
        }
        fleet.wait_until_dropped("fresh", 1);
        assert!((0..3).all(|m| fleet.times_begun(m, "cart") == 2));
    });
    assert_all_ok(&background);
    assert!((0..3).all(|m| fleet.times_begun(m, "relay") == 1 && fleet.times_dropped(m, "relay") == 0));
    fleet.assert_rules_kept();
}
