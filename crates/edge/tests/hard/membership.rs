//! The node list while discovery fails, queues or goes silent: a marshal keeps calling, and sends no new RPCs
//! based on a list that it could not refresh in time.

use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use crate::platform_scene::*;
use crate::process::Process;
use crate::scene::*;

/// After this long without an answer from discovery a node may have been drained, and its grace period with
/// slack is over.
const DRAIN_COMPLETE_AFTER: Duration = Duration::from_millis(7050);

/// A scripted discovery that records when each call arrived.
struct Discovery {
    node: Node,
    calls: Arc<Mutex<Vec<Instant>>>,
}

impl Discovery {
    /// `script` gets the number of the call, its message and its connection; false closes the connection.
    fn new(script: impl Fn(usize, &str, &mut TcpStream) -> bool + Send + Sync + 'static) -> Self {
        let calls = Arc::new(Mutex::new(Vec::new()));
        let log = calls.clone();
        let node = scripted_server(move |message, stream| {
            let number = {
                let mut log = log.lock().unwrap();
                log.push(Instant::now());
                log.len() - 1
            };
            script(number, message, stream)
        });
        Discovery { node, calls }
    }

    fn calls(&self) -> usize {
        self.calls.lock().unwrap().len()
    }

    /// A platform with this discovery.
    fn platform(&self) -> Platform {
        let discovery = Node { addr: self.node.addr, received: Arc::default(), connections: Arc::default() };
        Platform { discovery, ..start_platform(&[], &[]) }
    }
}

#[test]
fn a_failed_watch_is_opened_again_though_a_reload_comes_before_the_retry() {
    let fine = healthy_node("fine");
    let list = member_list(&[(fine.addr, 1)]);
    let discovery = Discovery::new(move |number, _, stream| match number {
        0 => write_ok(stream, &list),
        1 => {
            std::thread::sleep(ms(300));
            refuse(stream)
        }
        _ => {
            std::thread::sleep(ms(1000));
            write_no_change(stream)
        }
    });
    let process = Process::on_platform("deaf", &discovery.platform());
    wait_for("the watch", ms(3000), || discovery.calls() >= 2);
    // The watch fails 300 ms after its call; the retry follows 200 ms after that at the earliest.
    std::thread::sleep(ms(380));
    process.signal(Signal::SIGHUP);
    wait_for("the retry", ms(4000), || discovery.calls() >= 3);
}

#[test]
fn a_call_queued_at_discovery_is_not_cancelled_before_its_turn() {
    let (before, after) = (healthy_node("before"), healthy_node("after"));
    let (first, second) = (member_list(&[(before.addr, 1)]), member_list(&[(after.addr, 1)]));
    let discovery = Discovery::new(move |number, _, stream| match number {
        0 => write_ok(stream, &first),
        1 => refuse(stream),
        // Discovery serves calls one by one: this call waits for those of other marshals.
        _ => {
            std::thread::sleep(ms(1900));
            write_ok(stream, &second)
        }
    });
    let process = Process::on_platform("queue", &discovery.platform());
    let number = AtomicUsize::new(0);
    wait_for("the second list", ms(6000), || {
        process.request_status(&read_request(&format!("q{}", number.fetch_add(1, Ordering::Relaxed))));
        after.messages() > 0
    });
}

/// Sends a new RPC and returns its status.
fn request_status(running: &ivydrift_edge::Running) -> u16 {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let mut stream = connect(running.listen_addr);
    write_text(&mut stream, &read_request(&format!("s{number}")));
    answer(&mut stream).expect("an answer").status
}

#[test]
fn no_new_rpcs_are_sent_with_a_stale_node_list() {
    let fine = healthy_node("fine");
    let list = member_list(&[(fine.addr, 1)]);
    // Discovery answers once and refuses every later call.
    let discovery = Discovery::new(move |number, _, stream| {
        std::thread::sleep(ms(50));
        if number == 0 {
            write_ok(stream, &list)
        } else {
            refuse(stream)
        }
    });
    let platform = discovery.platform();
    let text = config_with_known_node("127.0.0.1:0".parse().unwrap(), &platform, fine.addr);
    let start = ivydrift_platform::start::parse("start.json", &text).unwrap();
    let running = ivydrift_edge::start_platform(start).unwrap();
    wait_for("the first call", ms(4000), || discovery.calls() >= 1);
    let confirmed = Instant::now();
    wait_for("the answer", ms(1000), || request_status(&running) == 200);
    std::thread::sleep((confirmed + DRAIN_COMPLETE_AFTER).saturating_duration_since(Instant::now()));
    let sent_before = fine.messages();
    for _ in 0..20 {
        assert_eq!(request_status(&running), 503, "an RPC is rejected in a way that is safe to retry");
        std::thread::sleep(ms(50));
    }
    assert_eq!(
        fine.messages(),
        sent_before,
        "an RPC was sent based on a list that discovery has not confirmed in time"
    );
}

#[test]
fn nodes_known_from_before_get_rpcs_only_after_discovery_confirms_them() {
    let fine = healthy_node("fine");
    let discovery = Discovery::new(move |number, _, stream| {
        if number < 2 {
            return refuse(stream);
        }
        write_ok(stream, r#"{"revision":0,"complete":false,"members":[]}"#)
    });
    let platform = discovery.platform();
    let text = config_with_known_node("127.0.0.1:0".parse().unwrap(), &platform, fine.addr);
    let start = ivydrift_platform::start::parse("start.json", &text).unwrap();
    let running = ivydrift_edge::start_platform(start).unwrap();
    // The process may have been down for any length of time, so the known nodes may be long gone.
    while discovery.calls() < 2 {
        assert_eq!(request_status(&running), 503);
        std::thread::sleep(ms(50));
    }
    assert_eq!(fine.messages(), 0, "an RPC was sent based on an unconfirmed list");
    wait_for("the confirmation", ms(8000), || request_status(&running) == 200);
}
