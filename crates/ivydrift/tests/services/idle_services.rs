//! A service that is begun, dropped when idle, and begun again.

use std::time::Duration;

use ivydrift_audit::trace::{AnswerKind, RolloutState};
use ivydrift_standin::services::{NodeConfig, Request};

use crate::service_fleet::*;

/// A build is on trial, so the exposure account is open when the service becomes idle.
#[test]
fn a_service_is_begun_dropped_and_begun_again_under_load() {
    let config = ServicesConfig { idle_ms: 1000, window_ms: 2000, ..ServicesConfig::new(&["cart", "relay"]) };
    let fleet = ServiceFleet::start(("returns", 0), 3, &config, &[]);
    for (service, build) in [("cart", 1), ("cart", 1), ("cart", 2), ("relay", 1), ("relay", 1)] {
        fleet.services.start_node(service, NodeConfig { build, ..NodeConfig::default() }).unwrap();
    }
    fleet.services.set_rollout_state("cart", (2, 0, RolloutState::OnTrial, CAP));
    let (background, ()) = fleet.with_background_load("relay", 20, || {
        for round in 1..=3 {
            for marshal in 0..3 {
                fleet.retry_until_ok(marshal, "cart", 5000);
            }
            for _ in 0..5 {
                assert_all_ok(&run_concurrently(12, |n| fleet.read(n % 3, "cart")));
            }
            fleet.wait_until_dropped("cart", round);
            assert!((0..3).all(|m| fleet.times_begun(m, "cart") == round));
        }
    });
    assert_all_ok(&background);
    assert!((0..3).all(|m| fleet.times_dropped(m, "relay") == 0 && fleet.times_begun(m, "relay") == 1));
    assert!(
        fleet.services.received_rpcs("cart").iter().any(|g| g.build == 2),
        "the build on trial must receive RPCs"
    );
    fleet.assert_rules_kept();
}

/// The RPC takes three times the idle time after which a service is dropped.
#[test]
fn a_service_with_an_rpc_in_progress_is_never_dropped() {
    let config = ServicesConfig { idle_ms: 1000, window_ms: 300, ..ServicesConfig::new(&["cart"]) };
    let fleet = ServiceFleet::start(("inhand", 1), 3, &config, &[]);
    let node = fleet.services.start_node("cart", NodeConfig::default()).unwrap();
    fleet.wait_until_all_serve("cart");
    fleet.services.set_work(node, Duration::from_millis(3000));
    // A non-idempotent method, so that only the node's own answer can complete the RPC.
    let ask = Request::new("cart", "cart-book").within(5000);
    let replies = run_concurrently(3, |m| fleet.call(m, &ask));
    assert!(replies.iter().all(|r| r.kind() == Some(AnswerKind::Ok)), "{replies:?}");
    assert!(
        (0..3).all(|m| fleet.times_begun(m, "cart") == 1),
        "the service was dropped with an RPC in progress"
    );
    fleet.wait_until_dropped("cart", 1);
    fleet.assert_rules_kept();
}
