//! A zone that returns to service: RPCs of all its services arrive at once.

use std::time::{Duration, Instant};

use ivydrift_audit::trace::AnswerKind;
use ivydrift_standin::services::{ListBehavior, NodeConfig, Reply, Request};

use crate::service_fleet::*;

const SERVICES: usize = 40;
const RPCS: usize = 4;

/// Marshals 0 and 2 are in zone a. The zone's nodes are cold, and each query of a node list takes 100 ms.
#[test]
fn all_services_of_a_zone_are_begun_within_one_second() {
    let names: Vec<String> = (0..SERVICES).map(|n| format!("s{n}")).collect();
    let all: Vec<&str> = names.iter().map(String::as_str).chain(["relay"]).collect();
    let config = ServicesConfig { idle_ms: 60_000, ..ServicesConfig::new(&all) };
    let fleet = ServiceFleet::start(("zone", 7), 4, &config, &[]);
    fleet.services.start_node("relay", NodeConfig::default()).unwrap();
    fleet.wait_until_all_serve("relay");
    let work = Duration::from_millis(40);
    let (background, replies) = fleet.with_background_load("relay", 20, || {
        for name in &names {
            let cold = NodeConfig { zone: 0, work, capacity: 1.0, cold: true, ..NodeConfig::default() };
            fleet.services.start_node(name, cold).unwrap();
            fleet.services.start_node(name, NodeConfig { zone: 1, work, ..NodeConfig::default() }).unwrap();
            fleet.services.set_list_behavior(name, ListBehavior::Slow(Duration::from_millis(100)));
        }
        let began = Instant::now();
        let replies = run_concurrently(SERVICES * RPCS * 2, |n| {
            // All RPCs are sent within a second, with services and marshals interleaved.
            let at = Duration::from_millis((n * 7919 % 900) as u64);
            std::thread::sleep(at.saturating_sub(began.elapsed()));
            let (service, marshal) = (&names[n % SERVICES], [0, 2][n / SERVICES % 2]);
            let method = format!("{service}-read");
            fleet.call(marshal, &Request::new(service, &method).within(3000))
        });
        // The load goes on for the next seconds.
        for _ in 0..10 {
            std::thread::sleep(Duration::from_millis(200));
            run_concurrently(SERVICES, |n| fleet.read([0, 2][n % 2], &names[n]));
        }
        replies
    });
    assert_all_ok(&background);
    let pushed_back =
        |r: &&Reply| matches!(r, Reply::Answered { kind: AnswerKind::PushedBack, retry_after: Some(_), .. });
    let (ok, pushed_back_count) =
        (replies.iter().filter(|r| r.ok()).count(), replies.iter().filter(pushed_back).count());
    println!("{ok} ok and {pushed_back_count} pushed back of {}", replies.len());
    assert_eq!(
        ok + pushed_back_count,
        replies.len(),
        "{:?}",
        replies.iter().find(|r| !r.ok() && !pushed_back(r))
    );
    assert!(ok * 10 >= replies.len() * 9, "{ok} ok of {}", replies.len());
    for marshal in [0, 2] {
        assert!(names.iter().all(|name| fleet.times_begun(marshal, name) == 1));
        let is_full_query =
            |q: &&ivydrift_standin::services::ListRequest| q.marshal == marshal as u32 && q.index == 0;
        let questions = fleet.services.list_requests();
        let full_queries =
            questions.iter().filter(is_full_query).filter(|q| names.contains(&q.service)).count();
        assert!(full_queries <= SERVICES + 4, "marshal {marshal} queried {full_queries} complete node lists");
    }
    assert!([1, 3].iter().all(|m| names.iter().all(|name| fleet.times_begun(*m, name) == 0)));
    let cold = names
        .iter()
        .flat_map(|name| fleet.services.received_rpcs(name))
        .filter(|g| g.node.is_multiple_of(2))
        .count();
    println!("{cold} RPCs at cold nodes");
    assert!(cold > 0, "the zone's own nodes must be used");
    fleet.assert_rules_kept();
}
