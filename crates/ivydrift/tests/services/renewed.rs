//! Services and methods that are added and removed by a config reload (SIGHUP).

use std::time::Duration;

use ivydrift_audit::trace::Kind;
use ivydrift_standin::services::{Ask, Plan, Reply};

use crate::town::*;

#[test]
fn a_signal_adds_and_removes_services_and_methods_under_load() {
    let first = Plots {
        rest_ms: 60_000,
        window_ms: 300,
        without: vec!["relay-book".to_owned()],
        ..Plots::new(&["cart", "relay"])
    };
    let second = Plots { names: vec!["relay".into(), "fresh".into()], without: vec![], ..first.clone() };
    let town = Town::start(("renewed", 5), 3, &first, &["fresh"]);
    let cart = town.services.start("cart", Plan::default()).unwrap();
    for service in ["relay", "relay", "fresh"] {
        town.services.start(service, Plan::default()).unwrap();
    }
    for marshal in 0..3 {
        town.until_ok(marshal, "cart", 5000);
        town.until_ok(marshal, "relay", 5000);
    }
    let book = |m| town.call(m, &Ask::new("relay", "relay-book"));
    let none = Reply::Rejected(404);
    assert!((0..3).all(|m| book(m) == none && town.read(m, "fresh") == none));
    let (beside, ()) = town.beside("relay", 10, || {
        // RPCs of a removed service that are at its node when the config changes must complete.
        town.services.work(cart, Duration::from_millis(2000));
        let held = Ask::new("cart", "cart-book").within(5000);
        let in_hand = at_once(4, |n| match n {
            3 => {
                std::thread::sleep(Duration::from_millis(500));
                town.renew(&second);
                assert!(
                    (0..3).all(|m| town.read(m, "cart") == none),
                    "an RPC of a removed service is accepted"
                );
                none.clone()
            }
            m => town.call(m, &held),
        });
        assert!(in_hand[..3].iter().all(|r| r.kind() == Some(Kind::Ok)), "{in_hand:?}");
        town.until_dropped("cart", 1);
        assert!((0..3).all(|m| town.fleet.log(m).contains("the terms name no method of it")));
        for marshal in 0..3 {
            town.until_ok(marshal, "fresh", 5000);
            assert!(book(marshal).ok(), "a method added to a running service must be served");
        }
        town.services.work(cart, Duration::from_millis(5));
        town.renew(&first);
        for marshal in 0..3 {
            assert!(book(marshal) == none && town.read(marshal, "fresh") == none);
            town.until_ok(marshal, "cart", 5000);
        }
        town.until_dropped("fresh", 1);
        assert!((0..3).all(|m| town.begun(m, "cart") == 2));
    });
    all_ok(&beside);
    assert!((0..3).all(|m| town.begun(m, "relay") == 1 && town.dropped(m, "relay") == 0));
    town.kept();
}
