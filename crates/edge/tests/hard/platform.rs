//! The second dialect on real sockets: the operators' platform with valid and malformed messages.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use nix::sys::signal::Signal;

use crate::platform_scene::*;
use crate::process::Process;
use crate::scene::*;

#[test]
fn an_rpc_is_forwarded_unchanged_and_the_health_check_passes() {
    let fine = healthy_node("fine");
    let scene = PlatformScene::new(&[fine.addr]);
    assert_eq!(scene.request("GET /_health HTTP/1.1\r\nHost: b\r\n\r\n").status, 200);
    let answer = scene.request(&booking_request("a1"));
    assert_eq!((answer.status, &*answer.body), (200, "fine"));
    let received = fine.received.lock().unwrap()[0].clone();
    assert!(
        received.starts_with("POST /pickup-book/7?x=1 HTTP/1.1\r\n") && received.ends_with("\r\n\r\nslot"),
        "{received}"
    );
    let lower = received.to_lowercase();
    assert!(lower.contains("x-request-id: a1\r\n") && !lower.contains("grpc-timeout"), "{received}");
    let left: u64 =
        lower.split("x-timeout-ms: ").nth(1).unwrap().split('\r').next().unwrap().parse().unwrap();
    assert!((1000..2000).contains(&left), "{left}");
}

#[test]
fn a_duplicate_request_id_is_rejected() {
    let fine = healthy_node("fine");
    let scene = PlatformScene::new(&[fine.addr]);
    assert_eq!(scene.request(&booking_request("a1")).status, 200);
    assert_eq!(scene.request(&booking_request("a1")).status, 409);
    assert_eq!(scene.request(&booking_request("a2")).status, 200);
    assert_eq!(fine.messages(), 2);
}

#[test]
fn an_invalid_rpc_is_refused_and_reaches_no_node() {
    let fine = healthy_node("fine");
    let scene = PlatformScene::new(&[fine.addr]);
    let head = "POST /pickup-book HTTP/1.1\r\nHost: b\r\nX-Request-ID: a1\r\nX-Timeout-Ms: 2000\r\n";
    for (text, status) in [
        (format!("{head}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n"), 400),
        (format!("{head}Content-Length: -4\r\n\r\n"), 400),
        (format!("{head}Content-Length: 60000000\r\n\r\n{}", "x".repeat(9000)), 413),
        (head.replace("2000", "soon") + "Content-Length: 0\r\n\r\n", 400),
        (head.replace("X-Request-ID: a1\r\n", "") + "Content-Length: 0\r\n\r\n", 400),
        (head.replace("pickup-book", "no-such") + "Content-Length: 0\r\n\r\n", 404),
        (head.replace("POST", "GET") + "\r\n", 405),
        ("nonsense\r\n\r\n".to_owned(), 400),
    ] {
        assert_eq!(scene.request(&text).status, status, "{text:.120}");
    }
    assert_eq!(fine.messages(), 0);
}

#[test]
fn a_malformed_answer_is_an_error_and_is_not_retried() {
    for malformed in [
        "\x01\x02\x03 noise\r\n\r\n",
        "HTTP/1.1 OK 200\r\nContent-Length: 1\r\n\r\na",
        "ICY 200 OK\r\nContent-Length: 1\r\n\r\na",
        "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 1\r\n\r\na",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 1\r\n\r\na",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\naaaa",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabcde\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nwithout an end",
        "HTTP/1.1 204 No\r\n\r\n",
    ] {
        let bad = node(Box::new(move |_, s| write_text(s, malformed)));
        let scene = PlatformScene::new(&[bad.addr]);
        let started = Instant::now();
        let answer = scene.request(&booking_request("a1"));
        assert!(
            (500..600).contains(&answer.status) && answer.status != 503,
            "{malformed:?}: {}",
            answer.status
        );
        assert!(answer.field("retry-after").is_none() && started.elapsed() < ms(1000), "{malformed:?}");
        assert_eq!(bad.messages(), 1, "{malformed:?}");
    }
    // An answer followed by stray bytes is valid, but its connection is not reused.
    let stray = node(Box::new(|nth, s| {
        write_text(s, "HTTP/1.1 102 Wait\r\n\r\n")
            && write_ok(s, &format!("answer {nth}"))
            && write_ok(s, "answer again")
    }));
    let scene = PlatformScene::new(&[stray.addr]);
    for nth in 0..6 {
        assert_eq!(scene.request(&read_request(&format!("b{nth}"))).body, format!("answer {nth}"));
    }
}

#[test]
fn an_answer_above_the_platform_s_size_limit_gives_502() {
    let long = node(Box::new(|_, s| {
        let data = "a".repeat(70_000);
        write_text(
            s,
            &format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n{data}\r\n0\r\n\r\n"),
        )
    }));
    let scene = PlatformScene::new(&[long.addr]);
    assert_eq!((scene.request(&booking_request("a1")).status, long.messages()), (502, 1));
}

#[test]
fn known_members_are_loaded_at_once_and_discovery_is_still_asked() {
    let (known, listed) = (healthy_node("known"), healthy_node("listed"));
    let platform = start_platform(&[(listed.addr, 1)], &[]);
    let text = config_file("127.0.0.1:0".parse().unwrap(), &platform)
        .replace("\"phase\": \"left\"", "\"phase\": \"active\"")
        .replace("10.1.0.18:5000", &known.addr.to_string());
    let start = ivydrift_platform::start::parse("start.json", &text).unwrap();
    let running = ivydrift_edge::start_platform(start).unwrap();
    assert_eq!(running.ready_nodes(), 1);
    wait_for("the list", ms(4000), || *platform.discovery.connections.lock().unwrap() > 0);
    // Each request has an id of its own: one sent before the list is applied is pushed back, and a repeat of its id
    // is refused as a duplicate for seconds.
    let requests = AtomicUsize::new(0);
    wait_for("the listed member", ms(3000), || {
        let mut stream = connect(running.listen_addr);
        write_text(&mut stream, &read_request(&format!("k{}", requests.fetch_add(1, Ordering::SeqCst))));
        answer(&mut stream).is_some_and(|a| a.body == "listed")
    });
}

/// How many calls a marshal makes per second to a discovery that answers with revision 0. `holds_calls`:
/// discovery holds a call until there is a change, as requested.
fn calls_in_a_second(holds_calls: bool) -> usize {
    let fine = healthy_node("fine");
    let mut platform = start_platform(&[(fine.addr, 1)], &[]);
    let list = member_list(&[(fine.addr, 1)]).replace("\"revision\":1", "\"revision\":0");
    let calls = Arc::new(AtomicUsize::new(0));
    let count = calls.clone();
    platform.discovery = scripted_server(move |message, stream| {
        count.fetch_add(1, Ordering::SeqCst);
        if holds_calls && message.contains("from=0&hold_ms=") {
            std::thread::sleep(ms(1500));
        }
        write_ok(stream, &list)
    });
    let text = config_file("127.0.0.1:0".parse().unwrap(), &platform);
    let start = ivydrift_platform::start::parse("start.json", &text).unwrap();
    let running = ivydrift_edge::start_platform(start).unwrap();
    wait_for("the list", ms(3000), || running.ready_nodes() == 1);
    let before = calls.load(Ordering::SeqCst);
    std::thread::sleep(ms(1000));
    calls.load(Ordering::SeqCst) - before
}

#[test]
fn a_list_at_revision_0_is_watched_and_not_fetched_again() {
    let calls = calls_in_a_second(true);
    assert!(calls <= 2, "{calls} calls in a second");
}

#[test]
fn a_discovery_that_holds_no_calls_is_not_called_without_pause() {
    let calls = calls_in_a_second(false);
    assert!((2..=11).contains(&calls), "{calls} calls in a second");
}

#[test]
fn an_rpc_that_a_node_did_not_process_goes_to_another() {
    let full = node(Box::new(|nth, s| {
        let status = 503 + nth % 2;
        write_text(s, &format!("HTTP/1.1 {status} Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"))
    }));
    let fine = healthy_node("fine");
    let scene = PlatformScene::new(&[full.addr, fine.addr, unreachable_addr()]);
    for i in 0..30 {
        assert_eq!(scene.request(&booking_request(&format!("a{i}"))).status, 200);
    }
    assert!(full.messages() > 0);
}

#[test]
fn an_rpc_without_a_reachable_node_is_rejected_at_once_with_retry_after() {
    let scene = PlatformScene::new(&[unreachable_addr(), unreachable_addr()]);
    for i in 0..4 {
        let started = Instant::now();
        let answer = scene.request(&booking_request(&format!("a{i}")));
        assert_eq!(answer.status, 503);
        let after: f64 = answer.field("retry-after").expect("a time to return").parse().unwrap();
        assert!(after > 0.0 && after <= 2.0, "{after}");
        assert!(started.elapsed() < ms(1000), "rejected after {:?} of 2 s", started.elapsed());
    }
}

#[test]
fn a_client_without_a_complete_rpc_is_answered_or_closed_within_three_seconds() {
    let fine = healthy_node("fine");
    let scene = PlatformScene::new(&[fine.addr]);
    let started = Instant::now();
    let (mut silent, mut half, mut active) = (scene.connect(), scene.connect(), scene.connect());
    write_text(&mut active, &read_request("u1"));
    assert_eq!(answer(&mut active).unwrap().status, 200);
    std::thread::sleep(ms(1500));
    write_text(&mut half, "GET /calendar-read HTTP/1.1\r\nX-Pad: y");
    assert!(closes_within(&mut silent, ms(3000)), "a silent client was not closed");
    assert_eq!(answer(&mut half).map(|a| a.status), Some(408));
    assert!(started.elapsed() < ms(2900), "{:?}", started.elapsed());
    // A connection that has carried an RPC may be idle for longer.
    write_text(&mut active, &read_request("u2"));
    assert_eq!(answer(&mut active).unwrap().status, 200);
}

#[test]
fn silent_clients_are_closed_to_make_room_for_active_ones() {
    let fine = healthy_node("fine");
    let scene = PlatformScene::new(&[fine.addr]);
    let silent: Vec<TcpStream> = (0..230).map(|_| scene.connect()).collect();
    std::thread::sleep(ms(400));
    let mut asking: Vec<TcpStream> = (0..20).map(|_| scene.connect()).collect();
    for (i, stream) in asking.iter_mut().enumerate() {
        write_text(stream, &read_request(&format!("a{i}")));
        assert_eq!(answer(stream).expect("an answer").status, 200);
    }
    drop(silent);
}

#[test]
fn idle_clients_are_closed_to_make_room_for_new_ones() {
    let fine = healthy_node("fine");
    let scene = PlatformScene::new(&[fine.addr]);
    let mut clients = Vec::new();
    for i in 0..400 {
        let mut stream = scene.connect();
        write_text(&mut stream, &read_request(&format!("a{i}")));
        let answer = answer(&mut stream).unwrap_or_else(|| panic!("client {i} was closed"));
        // Clients may hold a third of 256 sockets: answers carry `close` before that many stay open.
        assert_eq!((answer.status, answer.field("connection")), (200, (i >= 63).then_some("close")), "{i}");
        clients.push(stream);
    }
    // A client that was asked to close and did not is disconnected; what it sends on that connection reaches
    // no node.
    write_text(&mut clients[70], &read_request("gone"));
    assert!(answer(&mut clients[70]).is_none());
    assert!(fine.received.lock().unwrap().iter().all(|m| !m.contains("gone")));
}

#[test]
fn a_malformed_line_from_the_rollout_controller_leads_to_a_new_subscription() {
    let fine = healthy_node("fine");
    let scene = PlatformScene::with(&[(fine.addr, 1)], &["* ROLLOUT 9 0 tes\x07\r\n"]);
    wait_for("another subscription", ms(3000), || scene.platform.subscriptions.load(Ordering::SeqCst) >= 2);
    assert_eq!(scene.request(&read_request("a1")).status, 200);
    // A line without its end is ignored.
    let scene = PlatformScene::with(&[(fine.addr, 1)], &["* ROLLOUT 2 0 live 1.0 1"]);
    std::thread::sleep(ms(300));
    assert_eq!(scene.request(&read_request("a2")).status, 200);
}

#[test]
fn votes_go_to_the_rollout_controller_as_lines() {
    let (old, new) = (healthy_node("old"), healthy_node("new"));
    let nodes = [(old.addr, 1), (old.addr, 1), (new.addr, 2)];
    let platform = start_platform(&nodes, &["* ROLLOUT 2 0 testing 0.14 9000\r\n"]);
    let text = config_file("127.0.0.1:0".parse().unwrap(), &platform);
    let start = ivydrift_platform::start::parse("start.json", &text).unwrap();
    let running = ivydrift_edge::start_platform(start).unwrap();
    wait_for("the list", ms(3000), || running.ready_nodes() >= 2);
    let mut stream = connect(running.listen_addr);
    let deadline = Instant::now() + ms(12_000);
    let mut i = 0;
    while platform.votes.lock().unwrap().is_empty() && Instant::now() < deadline {
        write_text(&mut stream, &read_request(&format!("v{i}")));
        assert_eq!(answer(&mut stream).unwrap().status, 200);
        std::thread::sleep(ms(10));
        i += 1;
    }
    assert_eq!(platform.votes.lock().unwrap().first().map(String::as_str), Some("judge 2 0 on\r\n"));
}

#[test]
fn a_planned_stop_answers_rpcs_in_progress_and_still_serves_new_clients() {
    let slow = node(Box::new(|_, s| {
        std::thread::sleep(ms(1200));
        write_ok(s, "late")
    }));
    let platform = start_platform(&[(slow.addr, 1)], &[]);
    let mut process = Process::on_platform("stop", &platform);
    let mut in_progress = connect(process.listen_addr);
    write_text(&mut in_progress, &booking_request("held"));
    let mut idle = connect(process.listen_addr);
    std::thread::sleep(ms(100));
    process.signal(Signal::SIGTERM);
    std::thread::sleep(ms(300));
    let mut new_client =
        TcpStream::connect(process.listen_addr).expect("new connections are accepted for a while");
    write_text(&mut new_client, &booking_request("comes"));
    write_text(&mut idle, &booking_request("kept"));
    for stream in [&mut in_progress, &mut new_client, &mut idle] {
        stream.set_read_timeout(Some(ms(4000))).unwrap();
        let answer = answer(stream).expect("an answer");
        assert_eq!((answer.status, answer.field("connection")), (200, Some("close")));
    }
    assert!(process.child.wait().unwrap().success());
}

#[test]
fn a_config_reload_moves_to_another_discovery_and_rollout_controller() {
    let (first, second) = (healthy_node("first"), healthy_node("second"));
    let before = start_platform(&[(first.addr, 1)], &[]);
    let after = start_platform(&[(second.addr, 1)], &[]);
    let process = Process::on_platform("hup", &before);
    assert_eq!(process.request_status(&booking_request("a")), Some(200));
    std::fs::write(&process.file, config_file(process.listen_addr, &after)).unwrap();
    process.signal(Signal::SIGHUP);
    // The first answer of the new discovery is a complete list, not a change of the old one: the first node
    // is gone.
    wait_for("the move", ms(4000), || {
        let sent = second.messages();
        process.request_status(&read_request(&format!("r{}", first.messages() + sent))) == Some(200)
            && second.messages() > sent
    });
    assert!(after.subscriptions.load(Ordering::SeqCst) >= 1);
    // A config file that cannot be parsed leaves the running config in force.
    std::fs::write(&process.file, "{").unwrap();
    process.signal(Signal::SIGHUP);
    std::thread::sleep(ms(200));
    assert_eq!(process.request_status(&booking_request("z")), Some(200));
}

/// The first request line that a marshal sends to a new discovery address. `known`: the node list in the new
/// config file.
fn first_request_after_a_move(known: &str) -> String {
    let fine = healthy_node("fine");
    let before = start_platform(&[(fine.addr, 1)], &[]);
    let running = {
        let text = config_file("127.0.0.1:0".parse().unwrap(), &before);
        ivydrift_edge::start_platform(ivydrift_platform::start::parse("f", &text).unwrap()).unwrap()
    };
    wait_for("the list", ms(3000), || running.ready_nodes() == 1);
    let (calls, list) = (Arc::new(Mutex::new(Vec::new())), member_list(&[(fine.addr, 1)]));
    let log = calls.clone();
    let discovery = scripted_server(move |message, stream| {
        log.lock().unwrap().push(message.lines().next().unwrap_or_default().to_owned());
        std::thread::sleep(ms(500));
        write_ok(stream, &list)
    });
    let after = Platform { discovery, ..start_platform(&[], &[]) };
    let mut config: serde_json::Value =
        serde_json::from_str(&config_file(running.listen_addr, &after)).unwrap();
    config["known"] = serde_json::from_str(&known.replace("ADDR", &fine.addr.to_string())).unwrap();
    config["listen"] = "127.0.0.1:0".into();
    running.reload_on_platform(ivydrift_platform::start::parse("f", &config.to_string()).unwrap()).unwrap();
    wait_for("a call", ms(3000), || !calls.lock().unwrap().is_empty());
    assert_eq!(running.ready_nodes(), 1, "the known nodes stay in use meanwhile");
    let first = calls.lock().unwrap()[0].clone();
    first
}

#[test]
fn after_a_move_only_changes_are_requested_if_the_file_lists_the_nodes_in_use() {
    let known = member_list(&[]).replace(
        "[]",
        r#"[{"id":"s-0","host_port":"ADDR","locality":"site-a","flavor":"full-1c","cell":1,
            "phase":"active","size":1.0,"up_since_ms":0,"image_id":1}]"#,
    );
    assert!(first_request_after_a_move(&known).contains("from=1&hold_ms="));
    let other = known.replace("\"image_id\":1", "\"image_id\":2");
    assert!(first_request_after_a_move(&other).starts_with("GET /catalog/members HTTP"));
}

#[test]
fn without_lb_config_the_start_fails_and_names_the_variable() {
    let output = Command::new(env!("CARGO_BIN_EXE_ivydrift-edge"))
        .arg("--platform")
        .env_remove("LB_CONFIG")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("LB_CONFIG"));
}

/// A rollout controller closes each subscription: the marshal subscribes again, and nothing else waits for
/// it.
#[test]
fn a_subscription_closed_by_the_rollout_controller_is_reopened() {
    let fine = healthy_node("fine");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let rollout_controller = listener.local_addr().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let subscriptions = count.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            subscriptions.fetch_add(1, Ordering::SeqCst);
            let _ = stream.write_all(b"OK\r\n* ROLLOUT 1 2 live 1.0 90000\r\n");
        }
    });
    let platform = Platform { rollout_controller, ..start_platform(&[(fine.addr, 1)], &[]) };
    let text = config_file("127.0.0.1:0".parse().unwrap(), &platform);
    let running =
        ivydrift_edge::start_platform(ivydrift_platform::start::parse("f", &text).unwrap()).unwrap();
    wait_for("three subscriptions", ms(4000), || count.load(Ordering::SeqCst) >= 3);
    wait_for("the list", ms(3000), || running.ready_nodes() == 1);
}
