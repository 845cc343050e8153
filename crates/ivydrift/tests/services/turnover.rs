//! Many more services than a marshal has room for.

use std::time::{Duration, Instant};

use ivydrift_standin::services::NodeConfig;

use crate::service_fleet::*;

const SERVICES: usize = 500;
const ROOM: usize = 50;

/// Each marshal receives RPCs of all services one after the other, and in between again and again RPCs of the
/// same service.
#[test]
fn five_hundred_services_in_turn_are_served_with_room_for_fifty() {
    let names: Vec<String> = (0..SERVICES).map(|n| format!("s{n}")).collect();
    let all: Vec<&str> = names.iter().map(String::as_str).chain(["relay"]).collect();
    let config =
        ServicesConfig { max_services: ROOM, idle_ms: 120_000, window_ms: 300, ..ServicesConfig::new(&all) };
    let fleet = ServiceFleet::start(("turnover", 3), 3, &config, &[]);
    for name in &all {
        fleet
            .services
            .start_node(name, NodeConfig { work: Duration::from_millis(1), ..NodeConfig::default() })
            .unwrap();
    }
    let began = Instant::now();
    let measured = std::thread::scope(|scope| {
        let fleet = &fleet;
        let run = |marshal: usize| {
            let (mut push_backs, mut max_watches, mut kib_early) = (0, 0, 0);
            for (nth, name) in names.iter().enumerate() {
                push_backs += fleet.retry_until_ok(marshal, name, 10_000);
                assert!(fleet.read(marshal, "relay").ok());
                if nth.is_multiple_of(25) {
                    max_watches = max_watches.max(fleet.services.polled_services(marshal as u32).len());
                }
                if nth == 2 * ROOM {
                    kib_early = process_status(fleet.processes.children[marshal].as_ref().unwrap().id()).0;
                }
            }
            (push_backs, max_watches, kib_early)
        };
        let threads: Vec<_> = (0..3).map(|m| scope.spawn(move || run(m))).collect();
        threads.into_iter().map(|t| t.join().unwrap()).collect::<Vec<_>>()
    });
    for (marshal, (push_backs, max_watches, kib_early)) in measured.into_iter().enumerate() {
        let (kib_late, descriptors) =
            process_status(fleet.processes.children[marshal].as_ref().unwrap().id());
        let log = fleet.processes.log(marshal);
        let dropped = names.iter().filter(|n| log.contains(&format!("\"service\":\"{n}\""))).count();
        println!(
            "marshal {marshal}: {push_backs} pushed back, at most {max_watches} node lists watched, {kib_early} KiB after {} services \
             and {kib_late} after all, {descriptors} descriptors, {dropped} in the log, {:?}",
            2 * ROOM,
            began.elapsed()
        );
        // A service that was just dropped may still have a query in progress.
        assert!(
            max_watches <= ROOM + 1 + 5,
            "{max_watches} node lists watched, but there is room for {ROOM} services besides HOME"
        );
        assert!(kib_late < kib_early + 4096, "memory grew from {kib_early} to {kib_late} KiB");
        assert!(descriptors < 4 * ROOM + 64, "{descriptors} descriptors");
        assert!(push_backs < SERVICES / 2, "{push_backs} RPCs pushed back");
        assert_eq!(
            (fleet.times_begun(marshal, "relay"), fleet.times_dropped(marshal, "relay")),
            (1, 0),
            "a service in constant use must not be dropped"
        );
        assert!(fleet.times_dropped(marshal, "s0") == 1 && log.contains("another needed room"));
        assert_eq!(fleet.times_dropped(marshal, &names[SERVICES - 1]), 0, "the latest service must be kept");
    }
    fleet.assert_rules_kept();
}
