//! Nodes that change while no marshal serves their service.

use ivydrift_audit::trace::{Course, Kind};
use ivydrift_standin::services::{Ask, Plan, Reply};

use crate::town::*;

/// The node returns with a build on trial at its old address. Connections, build and health that a marshal
/// remembers from before belong to another process.
#[test]
fn a_node_that_left_unheld_returns_as_another_build_and_is_met_as_that() {
    let plots = Plots { rest_ms: 1000, window_ms: 1000, ..Plots::new(&["cart", "relay"]) };
    let town = Town::start(("unheld", 4), 3, &plots, &[]);
    let nodes: Vec<u32> = (0..3).map(|_| town.services.start("cart", Plan::default()).unwrap()).collect();
    town.services.start("relay", Plan::default()).unwrap();
    for marshal in 0..3 {
        town.until_ok(marshal, "cart", 5000);
        town.until_ok(marshal, "relay", 5000);
    }
    let ask = Ask::new("cart", "cart-book");
    all_ok(&at_once(30, |n| town.call(n % 3, &ask)));
    assert!(nodes.iter().all(|n| town.services.connections(*n) > 0));
    town.until_dropped("cart", 1);
    town.services.stop(nodes[0]);
    town.services.stop(nodes[1]);
    town.services.again(nodes[0], Plan { build: 2, ..Plan::default() }).unwrap();
    // A node of another service takes over the address of a node that left.
    let at = Some(town.services.addr(nodes[1]));
    let other = town.services.start("relay", Plan { at, ..Plan::default() }).unwrap();
    town.services.stage("cart", (2, 0, Course::OnTrial, CAP));
    let before = town.services.got("cart").len();
    for _ in 0..4 {
        for reply in at_once(30, |n| town.call(n % 3, &ask)) {
            assert_eq!(reply.kind(), Some(Kind::Ok), "{reply:?}");
        }
    }
    let got = town.services.got("cart").split_off(before);
    assert!(got.iter().all(|g| g.node != other));
    let of_2 = got.iter().filter(|g| g.build == 2).count();
    assert!(
        of_2 > 0 && got.iter().all(|g| (g.build == 2) == (g.node == nodes[0])),
        "{of_2} of {}",
        got.len()
    );
    assert!((0..3).all(|m| town.begun(m, "cart") == 2));
    // The builds that the marshals report must be those of the nodes that ran the RPCs.
    let replies = at_once(30, |n| town.call(n % 3, &ask));
    let said = replies.iter().filter(|r| matches!(r, Reply::Answered { build: 2, .. })).count();
    let ran = town.services.got("cart").iter().skip(before + got.len()).filter(|g| g.build == 2).count();
    assert_eq!(said, ran);
    town.kept();
}
