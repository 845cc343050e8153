//! A service that is begun, dropped when idle, and begun again.

use std::time::Duration;

use ivydrift_audit::trace::{Course, Kind};
use ivydrift_standin::services::{Ask, Plan};

use crate::town::*;

/// A build is on trial, so the exposure account is open when the service becomes idle.
#[test]
fn a_service_comes_rests_and_returns_while_rpcs_run() {
    let plots = Plots { rest_ms: 1000, window_ms: 2000, ..Plots::new(&["cart", "relay"]) };
    let town = Town::start(("returns", 0), 3, &plots, &[]);
    for (service, build) in [("cart", 1), ("cart", 1), ("cart", 2), ("relay", 1), ("relay", 1)] {
        town.services.start(service, Plan { build, ..Plan::default() }).unwrap();
    }
    town.services.stage("cart", (2, 0, Course::OnTrial, CAP));
    let (beside, ()) = town.beside("relay", 20, || {
        for round in 1..=3 {
            for marshal in 0..3 {
                town.until_ok(marshal, "cart", 5000);
            }
            for _ in 0..5 {
                all_ok(&at_once(12, |n| town.read(n % 3, "cart")));
            }
            town.until_dropped("cart", round);
            assert!((0..3).all(|m| town.begun(m, "cart") == round));
        }
    });
    all_ok(&beside);
    assert!((0..3).all(|m| town.dropped(m, "relay") == 0 && town.begun(m, "relay") == 1));
    assert!(town.services.got("cart").iter().any(|g| g.build == 2), "the build on trial must receive RPCs");
    town.kept();
}

/// The RPC takes three times the idle time after which a service is dropped.
#[test]
fn a_service_with_an_rpc_in_hand_is_held_however_long_it_takes() {
    let plots = Plots { rest_ms: 1000, window_ms: 300, ..Plots::new(&["cart"]) };
    let town = Town::start(("inhand", 1), 3, &plots, &[]);
    let node = town.services.start("cart", Plan::default()).unwrap();
    town.all_serve("cart");
    town.services.work(node, Duration::from_millis(3000));
    // A non-idempotent method, so that only the node's own answer can complete the RPC.
    let ask = Ask::new("cart", "cart-book").within(5000);
    let replies = at_once(3, |m| town.call(m, &ask));
    assert!(replies.iter().all(|r| r.kind() == Some(Kind::Ok)), "{replies:?}");
    assert!((0..3).all(|m| town.begun(m, "cart") == 1), "the service was dropped with an RPC in progress");
    town.until_dropped("cart", 1);
    town.kept();
}
