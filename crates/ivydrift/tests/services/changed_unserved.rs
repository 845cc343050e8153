//! Nodes that change while no marshal serves their service.

use ivydrift_audit::trace::{AnswerKind, RolloutState};
use ivydrift_standin::services::{NodeConfig, Reply, Request};

use crate::service_fleet::*;

/// The node returns with a build on trial at its old address. Connections, build and health that a marshal
/// remembers from before belong to another process.
#[test]
fn a_node_that_changes_build_while_unserved_is_used_with_its_new_build() {
    let config = ServicesConfig { idle_ms: 1000, window_ms: 1000, ..ServicesConfig::new(&["cart", "relay"]) };
    let fleet = ServiceFleet::start(("unheld", 4), 3, &config, &[]);
    let nodes: Vec<u32> =
        (0..3).map(|_| fleet.services.start_node("cart", NodeConfig::default()).unwrap()).collect();
    fleet.services.start_node("relay", NodeConfig::default()).unwrap();
    for marshal in 0..3 {
        fleet.retry_until_ok(marshal, "cart", 5000);
        fleet.retry_until_ok(marshal, "relay", 5000);
    }
    let ask = Request::new("cart", "cart-book");
    assert_all_ok(&run_concurrently(30, |n| fleet.call(n % 3, &ask)));
    assert!(nodes.iter().all(|n| fleet.services.connections(*n) > 0));
    fleet.wait_until_dropped("cart", 1);
    fleet.services.stop_node(nodes[0]);
    fleet.services.stop_node(nodes[1]);
    fleet.services.restart_node(nodes[0], NodeConfig { build: 2, ..NodeConfig::default() }).unwrap();
    // A node of another service takes over the address of a node that left.
    let at = Some(fleet.services.addr(nodes[1]));
    let other = fleet.services.start_node("relay", NodeConfig { at, ..NodeConfig::default() }).unwrap();
    fleet.services.set_rollout_state("cart", (2, 0, RolloutState::OnTrial, CAP));
    let before = fleet.services.received_rpcs("cart").len();
    for _ in 0..4 {
        for reply in run_concurrently(30, |n| fleet.call(n % 3, &ask)) {
            assert_eq!(reply.kind(), Some(AnswerKind::Ok), "{reply:?}");
        }
    }
    let got = fleet.services.received_rpcs("cart").split_off(before);
    assert!(got.iter().all(|g| g.node != other));
    let of_2 = got.iter().filter(|g| g.build == 2).count();
    assert!(
        of_2 > 0 && got.iter().all(|g| (g.build == 2) == (g.node == nodes[0])),
        "{of_2} of {}",
        got.len()
    );
    assert!((0..3).all(|m| fleet.times_begun(m, "cart") == 2));
    // The builds that the marshals report must be those of the nodes that ran the RPCs.
    let replies = run_concurrently(30, |n| fleet.call(n % 3, &ask));
    let reported = replies.iter().filter(|r| matches!(r, Reply::Answered { build: 2, .. })).count();
    let ran =
        fleet.services.received_rpcs("cart").iter().skip(before + got.len()).filter(|g| g.build == 2).count();
    assert_eq!(reported, ran);
    fleet.assert_rules_kept();
}
