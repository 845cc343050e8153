//! Clients that misbehave: ambiguous, oversized or slow messages, pipelining, early disconnects and slow
//! readers.

use std::io::{Read, Write};
use std::net::Shutdown;
use std::time::Instant;

use crate::scene::*;

#[test]
fn ok_pushed_back_and_aborted_answers_carry_their_kind() {
    let fails = node(Box::new(|_, s| write_text(s, "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n")));
    let scene = Scene::new(&[fails.addr]);
    let aborted = scene.rpc("pickup-book", "", "x");
    assert_eq!(
        (aborted.status, aborted.kind(), aborted.field("ivydrift-why")),
        (502, "aborted", Some("failed"))
    );
    let fine = healthy_node("fine");
    let scene = Scene::new(&[fine.addr]);
    let ok = scene.rpc("calendar-read", "grpc-timeout: 800m\r\n", "x");
    assert_eq!((ok.status, ok.kind(), &*ok.body, ok.field("ivydrift-build")), (200, "ok", "fine", Some("1")));
    let empty = Scene::new(&[]);
    let pushed = empty.rpc("pickup-book", "grpc-timeout: 300m\r\n", "x");
    assert_eq!((pushed.status, pushed.kind()), (503, "pushed-back"));
    assert!(pushed.field("retry-after").is_some_and(|s| s.parse::<u64>().is_ok()));
}

#[test]
fn ambiguous_messages_are_refused_and_no_part_of_them_reaches_a_node() {
    let fine = healthy_node("fine");
    let scene = Scene::new(&[fine.addr]);
    scene.rpc("calendar-read", "", "x");
    let smuggled = "POST /pickup-book HTTP/1.1\r\nHost: m\r\nContent-Length: 1\r\n\r\ny";
    for (fields, status) in [
        ("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", 400),
        ("Content-Length: 0\r\nContent-Length: 70\r\n", 400),
        ("Transfer-Encoding: chunked, identity\r\n", 501),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n", 501),
        ("Content-Length: 0x10\r\n", 400),
        ("Content-Length : 5\r\n", 400),
        ("X: y\nContent-Length: 5\r\n", 400),
        ("X: y\r\n folded: 1\r\n", 400),
        ("grpc-timeout: soon\r\nContent-Length: 0\r\n", 400),
    ] {
        let mut stream = scene.connect();
        write_text(
            &mut stream,
            &format!("POST /calendar-read HTTP/1.1\r\nHost: m\r\n{fields}\r\n0\r\n\r\n{smuggled}"),
        );
        let refused = answer(&mut stream).unwrap_or_else(|| panic!("{fields:?}: no answer"));
        assert_eq!(refused.status, status, "{fields:?}");
        assert!(closes_within(&mut stream, ms(2000)), "{fields:?}: the connection stays open");
    }
    let mut stream = scene.connect();
    write_text(
        &mut stream,
        &format!("POST /calendar-read HTTP/1.1\r\nHost: m\r\nX: {}\r\n\r\n", "y".repeat(20_000)),
    );
    assert_eq!(answer(&mut stream).unwrap().status, 431);
    // Malformed chunks: the end of the message is unknown.
    let mut stream = scene.connect();
    write_text(
        &mut stream,
        "POST /calendar-read HTTP/1.1\r\nHost: m\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
    );
    assert_eq!(answer(&mut stream).unwrap().status, 400);
    assert_eq!(fine.messages(), 1, "{:?}", fine.received);
}

#[test]
fn pipelined_rpcs_are_answered_in_their_order() {
    let slow_first = node(Box::new(|nth, s| {
        std::thread::sleep(ms(if nth == 0 { 150 } else { 0 }));
        write_ok(s, &nth.to_string())
    }));
    let scene = Scene::new(&[slow_first.addr]);
    let mut stream = scene.connect();
    let all: String = (0..3).map(|i| message("calendar-read", "", &format!("rpc {i}"))).collect();
    write_text(&mut stream, &all);
    for i in 0..3 {
        assert_eq!(answer(&mut stream).unwrap().body, i.to_string());
    }
    let received = slow_first.received.lock().unwrap().clone();
    assert!((0..3).all(|i| received[i].ends_with(&format!("rpc {i}"))), "{received:?}");
}

#[test]
fn a_client_that_sends_too_slowly_gets_408_and_is_disconnected() {
    let fine = healthy_node("fine");
    let scene = Scene::with(&[fine.addr], "bounds {\n  slow_client = \"300ms\"\n}\n");
    for start in
        ["POST /calendar-re", "POST /calendar-read HTTP/1.1\r\nHost: m\r\nContent-Length: 900\r\n\r\n"]
    {
        let mut stream = scene.connect();
        write_text(&mut stream, start);
        let started = Instant::now();
        while started.elapsed() < ms(250) {
            let _ = stream.write(b"a");
            std::thread::sleep(ms(20));
        }
        assert_eq!(answer(&mut stream).unwrap().status, 408);
        assert!(closes_within(&mut stream, ms(2000)));
    }
    assert_eq!(fine.messages(), 0);
}

#[test]
fn a_client_that_waits_for_100_continue_gets_it() {
    let fine = healthy_node("fine");
    let scene = Scene::new(&[fine.addr]);
    let mut stream = scene.connect();
    write_text(
        &mut stream,
        "POST /calendar-read HTTP/1.1\r\nHost: m\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n",
    );
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).unwrap();
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    write_text(&mut stream, "ab");
    assert_eq!(answer(&mut stream).unwrap().body, "fine");
    assert!(!fine.received.lock().unwrap()[0].to_lowercase().contains("expect"));
}

#[test]
fn a_body_in_chunks_reaches_the_node_whole_and_one_too_long_is_refused() {
    let fine = healthy_node("fine");
    let scene = Scene::with(&[fine.addr], "bounds {\n  body_kib = 1\n  longest_body_kib = 1\n}\n");
    let mut stream = scene.connect();
    write_text(
        &mut stream,
        "POST /calendar-read HTTP/1.1\r\nHost: m\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n",
    );
    assert_eq!(answer(&mut stream).unwrap().body, "fine");
    let received = fine.received.lock().unwrap()[0].clone();
    assert!(
        received.ends_with("\r\n\r\nabcde") && !received.to_lowercase().contains("chunked"),
        "{received}"
    );
    assert_eq!(scene.rpc("calendar-read", "", &"z".repeat(2000)).status, 413);
    let mut stream = scene.connect();
    write_text(&mut stream, "POST /calendar-read HTTP/1.1\r\nHost: m\r\nTransfer-Encoding: chunked\r\n\r\n");
    let chunk = format!("200\r\n{}\r\n", "z".repeat(512));
    for _ in 0..3 {
        write_text(&mut stream, &chunk);
    }
    assert_eq!(answer(&mut stream).unwrap().status, 413);
    assert_eq!(fine.messages(), 1);
}

#[test]
fn a_client_that_disconnects_or_half_closes_has_its_pick_cancelled() {
    for half in [false, true] {
        let silent = node(Box::new(|_, s| !closes_within(s, ms(1500))));
        let scene = Scene::new(&[silent.addr]);
        let mut stream = scene.connect();
        write_text(&mut stream, &message("calendar-read", "", "x"));
        wait_for("the pick", ms(1000), || silent.messages() == 1);
        if half {
            stream.shutdown(Shutdown::Write).unwrap();
            assert!(closes_within(&mut stream, ms(500)), "a half-closed client is left waiting");
        }
        drop(stream);
        wait_for("the client's leaving", ms(500), || {
            let counts = scene.running.counts();
            counts.left == 1 && counts.held == 0
        });
        assert_eq!(silent.messages(), 1, "the RPC was sent to another node");
    }
}

#[test]
fn a_slow_reader_of_a_long_answer_does_not_delay_other_clients() {
    const LENGTH: usize = 30 << 20;
    let long = node(Box::new(|_, s| {
        write_text(s, &format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n"));
        let part = [b'x'; 1 << 16];
        (0..LENGTH / part.len()).all(|_| s.write_all(&part).is_ok())
    }));
    let scene = Scene::new(&[long.addr]);
    let mut slow = scene.connect();
    write_text(&mut slow, &message("calendar-read", "", "x"));
    std::thread::sleep(ms(100));
    let mut quick = scene.connect();
    write_text(&mut quick, &message("calendar-read", "", "x"));
    let (mut sum, mut part) = (0, vec![0; 1 << 16]);
    while sum < LENGTH {
        let n = quick.read(&mut part).unwrap();
        assert!(n > 0, "ended after {sum}");
        sum += n;
    }
    sum = 0;
    while sum < LENGTH {
        let n = slow.read(&mut part).unwrap();
        assert!(n > 0, "the slow reader's answer ended after {sum}");
        sum += n;
    }
    wait_for("the end of both", ms(2000), || scene.running.counts().held == 0);
    assert_eq!(scene.running.counts().ok, 2);
}

#[test]
fn clients_above_the_configured_limit_are_closed_at_once() {
    let fine = healthy_node("fine");
    let scene = Scene::with(&[fine.addr], "bounds {\n  clients = 5\n}\n");
    let mut connected: Vec<_> = (0..5).map(|_| scene.connect()).collect();
    std::thread::sleep(ms(50));
    assert!(closes_within(&mut scene.connect(), ms(1000)));
    write_text(&mut connected[4], &message("calendar-read", "", "x"));
    assert_eq!(answer(&mut connected[4]).unwrap().status, 200);
    connected.clear();
    std::thread::sleep(ms(150));
    assert_eq!(scene.rpc("calendar-read", "", "x").status, 200);
}

/// Guards against empty lines that count towards no limit: a head that never ends.
#[test]
fn empty_lines_before_a_request_are_ignored_up_to_the_length_of_a_head() {
    let fine = healthy_node("fine");
    let scene = Scene::new(&[fine.addr]);
    let mut stream = scene.connect();
    for count in [1, 2000, 8192] {
        write_text(&mut stream, &format!("{}{}", "\r\n".repeat(count), message("calendar-read", "", "x")));
        assert_eq!(answer(&mut stream).unwrap().body, "fine", "after {count} empty lines");
    }
    write_text(&mut stream, &"\r\n".repeat(10_000));
    assert_eq!(answer(&mut stream).unwrap().status, 431);
    assert!(closes_within(&mut stream, ms(2000)));
}
