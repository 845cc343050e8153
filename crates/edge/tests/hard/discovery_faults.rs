//! How long the node list is used, by how calls to discovery fail. A failed call proves that the list was
//! complete only where discovery ends a watch that it has held for longer than a call can wait in its queue.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::faulty_discovery::{Failure, FaultyDiscovery, FAILURES};
use crate::platform_scene::*;
use crate::scene::*;

/// A drain that discovery had at some time may be unknown to the marshal for 6 s, and new work may be sent for
/// the grace of 1 s after that; every limit is 50 ms longer on sockets.
const LAST_SEND_BEFORE: Duration = Duration::from_millis(7100);
/// The same, from a config reload: 4 s in place of 6 s.
const LAST_SEND_AFTER_RELOAD_BEFORE: Duration = Duration::from_millis(5100);
/// The marshal serves at least until a drain could count as known.
const SERVES_FOR: Duration = Duration::from_secs(6);
/// The same, from a config reload.
const SERVES_AFTER_RELOAD_FOR: Duration = Duration::from_secs(4);
/// A restarted marshal has to be back within this time once discovery answers.
const BACK_WITHIN: Duration = Duration::from_secs(10);
/// The age of a watch that has certainly left the queue.
const HELD_FOR: Duration = Duration::from_millis(2600);

/// A marshal with one node, which a client keeps busy.
struct Fixture {
    running: ivydrift_edge::Running,
    discovery: FaultyDiscovery,
    platform: Platform,
    node: SocketAddr,
    /// When RPCs reached the node.
    arrivals: Arc<Mutex<Vec<Instant>>>,
    requests: AtomicUsize,
}

impl Fixture {
    fn new(failure: Option<Failure>) -> Self {
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let log = arrivals.clone();
        let node = node(Box::new(move |_, stream| {
            log.lock().unwrap().push(Instant::now());
            write_ok(stream, "node")
        }));
        let discovery = FaultyDiscovery::new(node.addr, failure);
        let platform = platform_with(discovery.addr);
        let text = config_with_known_node("127.0.0.1:0".parse().unwrap(), &platform, node.addr);
        let start = ivydrift_platform::start::parse("start.json", &text).unwrap();
        let running = ivydrift_edge::start_platform(start).unwrap();
        Fixture { running, discovery, platform, node: node.addr, arrivals, requests: AtomicUsize::new(0) }
    }

    /// Sends RPCs for this time. Returns when the last one reached the node.
    fn send_for(&self, span: Duration) -> Option<Instant> {
        let end = Instant::now() + span;
        while Instant::now() < end {
            let number = self.requests.fetch_add(1, Ordering::Relaxed);
            let mut stream = connect(self.running.listen_addr);
            write_text(&mut stream, &read_request(&format!("f{number}")));
            answer(&mut stream).expect("an answer");
            std::thread::sleep(ms(30));
        }
        self.last_arrival()
    }

    fn last_arrival(&self) -> Option<Instant> {
        self.arrivals.lock().unwrap().last().copied()
    }
}

fn platform_with(discovery: SocketAddr) -> Platform {
    let discovery = Node { addr: discovery, received: Arc::default(), connections: Arc::default() };
    Platform { discovery, ..start_platform(&[], &[]) }
}

/// Checks when the last RPC was sent.
fn assert_last_send(case: &str, from: Instant, last: Option<Instant>, earliest: Duration, before: Duration) {
    let last = last.unwrap_or_else(|| panic!("{case}: no RPC was sent")) - from;
    assert!(last < before, "{case}: an RPC was sent {last:?} after the list was last known to be complete");
    assert!(last > earliest, "{case}: no RPC was sent later than {last:?}, though the list was usable");
}

/// Plays each failure with a marshal of its own, all at the same time.
fn play_each_failure(play: fn(Failure)) {
    let threads = FAILURES.map(|failure| std::thread::spawn(move || play(failure)));
    let failed = threads.into_iter().filter_map(|thread| thread.join().err()).count();
    assert_eq!(failed, 0, "of {FAILURES:?}");
}

/// Guards against review/1: a refusal of a queued call was taken for an outage, and the list was used for 30 s.
#[test]
fn a_failed_watch_does_not_prolong_the_use_of_the_node_list() {
    play_each_failure(|failure| {
        let fixture = Fixture::new(None);
        let complete_at = fixture.discovery.wait_for_continued_call();
        fixture.discovery.fail(Some(failure));
        let last = fixture.send_for(ms(9500));
        assert_last_send(&format!("{failure:?}"), complete_at, last, SERVES_FOR, LAST_SEND_BEFORE);
    });
}

/// A watch that discovery ends after it has held it was complete until then; what new calls show is not
/// counted in addition.
#[test]
fn a_held_watch_that_discovery_ends_confirms_the_node_list_once() {
    play_each_failure(|failure| {
        let fixture = Fixture::new(None);
        fixture.discovery.wait_for_continued_call();
        std::thread::sleep(HELD_FOR);
        fixture.discovery.fail(Some(Failure::EarlyRefusal));
        let ended_at = Instant::now();
        std::thread::sleep(ms(20));
        fixture.discovery.fail(Some(failure));
        let last = fixture.send_for(ms(9500));
        assert_last_send(&format!("{failure:?}"), ended_at, last, SERVES_FOR, LAST_SEND_BEFORE);
    });
}

/// Guards against review/2: each refused connection made the list from before the start usable.
#[test]
fn a_failed_call_at_a_start_does_not_make_the_known_nodes_usable() {
    play_each_failure(|failure| {
        let fixture = Fixture::new(Some(failure));
        let last = fixture.send_for(ms(6000));
        assert_eq!(last, None, "{failure:?}: an RPC was sent based on an unconfirmed list");
        fixture.discovery.fail(None);
        let answering_since = Instant::now();
        while fixture.send_for(ms(50)).is_none() {
            assert!(answering_since.elapsed() < BACK_WITHIN, "{failure:?}: the marshal did not come back");
        }
    });
}

/// After a reload, the list has to be confirmed sooner, however calls to the new address fail.
#[test]
fn a_failed_call_after_a_reload_does_not_prolong_the_use_of_the_node_list() {
    play_each_failure(|failure| {
        let fixture = Fixture::new(None);
        fixture.discovery.wait_for_continued_call();
        let moved = FaultyDiscovery::new(fixture.node, Some(failure));
        let platform =
            Platform { rollout_controller: fixture.platform.rollout_controller, ..platform_with(moved.addr) };
        let text = config_with_known_node("127.0.0.1:0".parse().unwrap(), &platform, fixture.node);
        let config = ivydrift_platform::start::parse("start.json", &text).unwrap();
        let reloaded_at = Instant::now();
        fixture.running.reload_announced();
        fixture.running.reload_on_platform(config).unwrap();
        let last = fixture.send_for(ms(7500));
        assert_last_send(
            &format!("{failure:?}"),
            reloaded_at,
            last,
            SERVES_AFTER_RELOAD_FOR,
            LAST_SEND_AFTER_RELOAD_BEFORE,
        );
    });
}
