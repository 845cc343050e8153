//! A service whose node list does not arrive, or only in part, at its first RPC.

use std::time::Duration;

use ivydrift_audit::trace::AnswerKind;
use ivydrift_standin::services::{ListBehavior, NodeConfig, Reply, Request};

use crate::service_fleet::*;

const FAULTY_LISTS: [(&str, ListBehavior); 3] =
    [("mute", ListBehavior::Silent), ("torn", ListBehavior::Truncated), ("stuck", ListBehavior::Stalled)];

#[test]
fn a_faulty_list_at_the_first_rpc_affects_only_its_own_service_and_recovers() {
    let config =
        ServicesConfig { idle_ms: 60_000, ..ServicesConfig::new(&["mute", "torn", "stuck", "relay"]) };
    let fleet = ServiceFleet::start(("first", 2), 3, &config, &[]);
    for (service, manner) in FAULTY_LISTS {
        for _ in 0..2 {
            fleet.services.start_node(service, NodeConfig::default()).unwrap();
        }
        fleet.services.set_list_behavior(service, manner);
    }
    fleet.services.start_node("relay", NodeConfig::default()).unwrap();
    fleet.wait_until_all_serve("relay");
    let (background, ()) = fleet.with_background_load("relay", 20, || {
        for _ in 0..2 {
            for (service, _) in FAULTY_LISTS {
                let method = format!("{service}-read");
                let ask = Request::new(service, &method).within(800);
                for reply in run_concurrently(9, |n| fleet.call(n % 3, &ask)) {
                    let Reply::Answered { kind: AnswerKind::PushedBack, retry_after, took, picks: 0, .. } =
                        reply
                    else {
                        panic!("{service}: {reply:?}");
                    };
                    assert!(took < Duration::from_millis(950), "{service}: pushed back only after {took:?}");
                    assert!(retry_after.is_some_and(|t| !t.is_zero()), "{service}: no retry-after");
                }
            }
        }
        // A node list that does not answer must not be queried for each RPC.
        for marshal in 0..3 {
            let is_query_of_marshal =
                |q: &&ivydrift_standin::services::ListRequest| q.marshal == marshal && q.service == "mute";
            let queries = fleet.services.list_requests().iter().filter(is_query_of_marshal).count();
            assert!(
                (1..=6).contains(&queries),
                "marshal {marshal} queried a silent node list {queries} times"
            );
        }
        assert!(
            FAULTY_LISTS.iter().all(|(service, _)| fleet.services.received_rpcs(service).is_empty()),
            "an RPC was sent on the basis of an incomplete node list"
        );
        FAULTY_LISTS
            .iter()
            .for_each(|(service, _)| fleet.services.set_list_behavior(service, ListBehavior::Normal));
        run_concurrently(9, |n| {
            let service = FAULTY_LISTS[n / 3].0;
            fleet.retry_until_ok(n % 3, service, 20_000);
            fleet.read(n % 3, service)
        })
        .iter()
        .for_each(|reply| assert!(reply.ok(), "{reply:?}"));
    });
    assert_all_ok(&background);
    fleet.assert_rules_kept();
}
