//! Race conditions, each forced into its bad order by a peer that delays bytes or by a suspended process.
//! docs/crossings.md has the table; races that can only be forced inside the process are in src/races.rs.

use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{mpsc, Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use nix::sys::signal::Signal;

use crate::platform_scene::*;
use crate::process::Process;
use crate::scene::*;

/// Starts a marshal with a changed config.
fn start_with(
    platform: &Platform, change: impl FnOnce(&mut ivydrift_terms::Config),
) -> ivydrift_edge::Running {
    let text = config_file("127.0.0.1:0".parse().unwrap(), platform);
    let mut start = ivydrift_platform::start::parse("start.json", &text).unwrap();
    change(&mut start.config);
    ivydrift_edge::start_platform(start).unwrap()
}

/// A scripted discovery: the script gets the number and the request line of each call. The log has all
/// request lines.
fn scripted_discovery(
    script: impl Fn(usize, &str, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> (Node, RequestLog) {
    let requests: RequestLog = Arc::default();
    let log = requests.clone();
    let node = scripted_server(move |message, stream| {
        let request_line = message.lines().next().unwrap_or_default().to_owned();
        let nth = {
            let mut log = log.lock().unwrap();
            log.push(request_line.clone());
            log.len() - 1
        };
        script(nth, &request_line, stream)
    });
    (node, requests)
}

type RequestLog = Arc<Mutex<Vec<String>>>;

/// A member in discovery's format.
fn member(addr: SocketAddr, phase: &str, up_since_ms: u64, build: u32) -> String {
    format!(
        r#"{{"id":"s-0","host_port":"{addr}","locality":"site-a","flavor":"full-1c","cell":1,
        "phase":"{phase}","size":1.0,"up_since_ms":{up_since_ms},"image_id":{build}}}"#
    )
}

/// An answer of discovery.
fn list_answer(revision: u64, complete: bool, members: &str) -> String {
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#)
}

/// A client disconnects while the process is suspended, so its RPC never runs: the client may send it again
/// with the same id.
#[test]
fn after_a_stall_the_request_id_of_a_client_that_left_can_be_reused() {
    let fine = healthy_node("fine");
    let process = Process::on_platform("free", &start_platform(&[(fine.addr, 1)], &[]));
    assert_eq!(process.request_status(&booking_request("a")), Some(200));
    process.suspend();
    let mut left = connect(process.listen_addr);
    write_text(&mut left, &booking_request("again"));
    left.shutdown(Shutdown::Write).unwrap();
    // Longer than the stall threshold.
    std::thread::sleep(ms(400));
    process.signal(Signal::SIGCONT);
    assert!(closes_within(&mut left, ms(4000)));
    assert_eq!(
        process.request_status(&booking_request("again")),
        Some(200),
        "the RPC was rejected as a duplicate of itself"
    );
}

/// The second half of the RPC arrives after the listener has closed.
#[test]
fn an_rpc_half_sent_when_shutdown_begins_is_answered() {
    let fine = healthy_node("fine");
    let mut process = Process::on_platform("half", &start_platform(&[(fine.addr, 1)], &[]));
    let text = booking_request("half");
    let (first, second) = text.split_at(text.len() - 2);
    let mut stream = connect(process.listen_addr);
    write_text(&mut stream, first);
    let mut idle = connect(process.listen_addr);
    write_text(&mut idle, &booking_request("idle"));
    assert_eq!(answer(&mut idle).unwrap().status, 200);
    process.signal(Signal::SIGTERM);
    wait_for("the listener's end", ms(4000), || TcpStream::connect(process.listen_addr).is_err());
    assert!(closes_within(&mut idle, ms(4000)), "idle connections are closed by now");
    std::thread::sleep(ms(120)); // At least two more rounds that close idle connections.
    write_text(&mut stream, second);
    let answer = answer(&mut stream).expect("an answer");
    assert_eq!((answer.status, answer.field("connection")), (200, Some("close")));
    assert!(process.child.wait().unwrap().success());
}

/// The connection to the node is established only after the client has disconnected, and RPCs in progress may
/// not be cancelled.
#[test]
fn an_rpc_waiting_for_a_connection_is_not_sent_once_its_client_has_left() {
    let slow = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    slow.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    slow.listen(0).unwrap();
    let slow: TcpListener = slow.into();
    let addr = slow.local_addr().unwrap();
    // The accept queue is full: the kernel completes no further handshake until there is room.
    let mut queue = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&addr, ms(100)) {
        queue.push(stream);
    }
    let running = start_with(&start_platform(&[(addr, 1)], &[]), |config| {
        config.limits.connect_timeout = ms(4000);
        config.rollout.limits.cancel = false;
    });
    wait_for("the list", ms(3000), || running.ready_nodes() == 1);
    let mut client = connect(running.listen_addr);
    write_text(&mut client, &booking_request("left"));
    wait_for("the pick", ms(2000), || running.counts().picks == 1);
    drop(client);
    wait_for("the client's leaving", ms(2000), || running.counts().left == 1);
    for _ in &queue {
        drop(slow.accept().unwrap());
    }
    let (mut late, _) = slow.accept().unwrap();
    late.set_read_timeout(Some(ms(3000))).unwrap();
    let mut text = Vec::new();
    let _ = late.read_to_end(&mut text);
    assert!(text.is_empty(), "sent for a client that had disconnected: {:?}", String::from_utf8_lossy(&text));
    wait_for("the pick's end", ms(1000), || running.counts().held == 0);
}

/// The node list says that a new process has the address while an answer of the previous one is in flight.
#[test]
fn a_connection_to_a_replaced_process_is_not_reused() {
    let (release, held) = mpsc::channel::<()>();
    let held = Mutex::new(held);
    let node = node(Box::new(move |nth, s| {
        if nth == 0 {
            let _ = held.lock().unwrap().recv();
        }
        write_ok(s, "fine")
    }));
    let (change, changed) = mpsc::channel::<()>();
    let changed = Mutex::new(changed);
    let addr = node.addr;
    let an_hour_ago = SystemTime::now().duration_since(UNIX_EPOCH).unwrap() - ms(3_600_000);
    let (list, requests) = scripted_discovery(move |nth, _, s| match nth {
        0 => write_ok(s, &list_answer(1, true, &member(addr, "active", 0, 1))),
        1 => {
            let _ = changed.lock().unwrap().recv();
            write_ok(s, &list_answer(2, false, &member(addr, "active", an_hour_ago.as_millis() as u64, 1)))
        }
        _ => {
            std::thread::sleep(ms(3000));
            write_ok(s, &list_answer(2, false, ""))
        }
    });
    let running = start_with(&Platform { discovery: list, ..start_platform(&[], &[]) }, |_| {});
    wait_for("the list", ms(3000), || running.ready_nodes() == 1);
    let mut client = connect(running.listen_addr);
    write_text(&mut client, &read_request("first"));
    wait_for("the RPC at its node", ms(2000), || node.messages() == 1);
    change.send(()).unwrap();
    wait_for("the next call", ms(3000), || requests.lock().unwrap().len() >= 3);
    release.send(()).unwrap();
    assert_eq!(answer(&mut client).unwrap().body, "fine");
    // Time for a faulty marshal to return the connection to the pool, from which it would be reused.
    std::thread::sleep(ms(30));
    write_text(&mut client, &read_request("second"));
    assert_eq!(answer(&mut client).unwrap().body, "fine");
    assert_eq!(*node.connections.lock().unwrap(), 2, "the connection to the previous process was reused");
}

/// A watch goes silent in the middle of its answer: the next call has no hold, to show soon whether discovery
/// answers.
#[test]
fn after_a_silent_watch_the_next_call_has_no_hold() {
    let fine = healthy_node("fine");
    let addr = fine.addr;
    let (list, requests) = scripted_discovery(move |nth, _, s| match nth {
        0 => write_ok(s, &list_answer(1, true, &member(addr, "active", 0, 1))),
        1 => {
            // Half of a change and nothing more; the connection stays open.
            write_text(s, "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"revision\":2,\"comp")
                && !closes_within(s, ms(9000))
        }
        _ => write_ok(s, &list_answer(3, false, &member(addr, "left", 0, 1))),
    });
    let running = start_with(&Platform { discovery: list, ..start_platform(&[], &[]) }, |config| {
        config.limits.list_query_wait = ms(1000);
    });
    wait_for("the list", ms(3000), || running.ready_nodes() == 1);
    wait_for("the change that the silent watch kept", ms(4000), || running.ready_nodes() == 0);
    let requests = requests.lock().unwrap();
    assert!(requests[1].contains("from=1&hold_ms=1000"), "{requests:?}");
    assert!(
        requests[2].contains("from=1&hold_ms=0"),
        "a second silent watch would take as long: {requests:?}"
    );
}

/// A restarted discovery counts revisions from the start again: its changes do not apply to the list that the
/// marshal has.
#[test]
fn when_revisions_go_back_the_complete_list_is_fetched_at_once() {
    let (old, new) = (healthy_node("old"), healthy_node("new"));
    let (old_addr, new_addr) = (old.addr, new.addr);
    let (list, requests) = scripted_discovery(move |nth, request_line, s| match nth {
        0 => write_ok(s, &list_answer(41, true, &member(old_addr, "active", 0, 1))),
        1 => write_ok(s, &list_answer(3, false, "")),
        _ if !request_line.contains('?') => {
            write_ok(s, &list_answer(3, true, &member(new_addr, "active", 0, 1)))
        }
        _ => {
            std::thread::sleep(ms(3000));
            write_ok(s, &list_answer(3, false, ""))
        }
    });
    let running = start_with(&Platform { discovery: list, ..start_platform(&[], &[]) }, |_| {});
    wait_for("the complete list", ms(3000), || requests.lock().unwrap().len() >= 4);
    let mut client = connect(running.listen_addr);
    write_text(&mut client, &read_request("a"));
    assert_eq!(answer(&mut client).unwrap().body, "new", "{:?}", requests.lock().unwrap());
}

/// Of two rollout states of a build, the older one arrives last, in two parts.
#[test]
fn an_outdated_rollout_state_does_not_raise_a_lowered_cap() {
    let (old, new) = (healthy_node("old"), healthy_node("new"));
    let platform = start_platform(
        &[(old.addr, 1), (new.addr, 2)],
        &[
            "* ROLLOUT 2 2 recalling 0.0 100\r\n",
            "* ROLLOUT 2 2 test",
            "ing 1.0 5000\r\n* SAMPLE 2 x 1 1 1 1\r\n",
        ],
    );
    let running = start_with(&platform, |_| {});
    wait_for("the list", ms(3000), || running.ready_nodes() == 2);
    wait_for("the subscription", ms(3000), || platform.subscriptions.load(Ordering::SeqCst) >= 1);
    // Time for a faulty marshal to apply the second line and to send to the build.
    std::thread::sleep(ms(200));
    let mut client = connect(running.listen_addr);
    for i in 0..30 {
        write_text(&mut client, &read_request(&format!("r{i}")));
        assert_eq!(
            answer(&mut client).unwrap().body,
            "old",
            "RPC {i} was sent to a build that is being rolled back"
        );
    }
    assert_eq!(new.messages(), 0);
}

/// Discovery is down from the start, and no nodes are known from before.
#[test]
fn a_marshal_without_a_node_list_reports_ready_after_the_limit() {
    let (list, _requests) = scripted_discovery(|_, _, s| !closes_within(s, ms(9000)));
    let running = start_with(&Platform { discovery: list, ..start_platform(&[], &[]) }, |config| {
        config.limits.max_ready_delay = Some(ms(700));
    });
    let health = || {
        let mut stream = connect(running.listen_addr);
        write_text(&mut stream, "GET /_health HTTP/1.1\r\nHost: b\r\n\r\n");
        answer(&mut stream).unwrap().status
    };
    let first = health();
    wait_for("readiness", ms(4000), || health() == 200);
    let mut stream = connect(running.listen_addr);
    write_text(&mut stream, &booking_request("none").replace("2000", "100"));
    assert_eq!((first, answer(&mut stream).unwrap().status), (503, 503));
}

/// The signal arrives while the config file is only half written.
#[test]
fn a_truncated_or_invalid_config_file_leaves_the_running_config_in_force() {
    let fine = healthy_node("fine");
    let platform = start_platform(&[(fine.addr, 1)], &[]);
    let process = Process::on_platform("cut", &platform);
    let complete_file = config_file(process.listen_addr, &platform);
    let invalid_files = [
        complete_file[..complete_file.len() / 3].to_owned(),
        complete_file[..complete_file.len() - 2].to_owned(),
        complete_file.replace("\"request_classes\"", "\"no_classes\""),
        complete_file.replace("\"give_up\": 3000000", "\"give_up\": 0"),
    ];
    for text in invalid_files {
        assert_ne!(text, complete_file);
        std::fs::write(&process.file, &text).unwrap();
        process.signal(Signal::SIGHUP);
        assert_eq!(process.request_status(&booking_request(&format!("a{}", fine.messages()))), Some(200));
    }
    // The earlier signals were handled by now: this reload applies the last file.
    let moved = healthy_node("moved");
    let after = start_platform(&[(moved.addr, 1)], &[]);
    std::fs::write(&process.file, config_file(process.listen_addr, &after)).unwrap();
    process.signal(Signal::SIGHUP);
    wait_for("the move", ms(4000), || {
        process
            .request_status(&booking_request(&format!("b{}-{}", fine.messages(), moved.messages())))
            .is_some()
            && moved.messages() > 0
    });
}
