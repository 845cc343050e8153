//! Nodes that misbehave: stray, late, truncated or malformed answers, resets and closed connections.

use std::net::Shutdown;

use crate::scene::*;

#[test]
fn a_second_answer_from_a_node_reaches_no_client() {
    let answers_twice =
        node(Box::new(|nth, s| write_ok(s, &format!("answer {nth}")) && write_ok(s, "stray")));
    let scene = Scene::new(&[answers_twice.addr]);
    let mut stream = scene.connect();
    for nth in 0..5 {
        write_text(&mut stream, &message("calendar-read", "", "x"));
        assert_eq!(answer(&mut stream).unwrap().body, format!("answer {nth}"));
        // The stray answer arrives at once, or a moment later on a connection that may be idle already.
        std::thread::sleep(ms(if nth % 2 == 0 { 0 } else { 20 }));
    }
}

#[test]
fn an_rpc_that_provably_never_ran_goes_to_another_node() {
    // Either nothing listens at the address, or the node rejects the RPC without running it.
    let fine = healthy_node("fine");
    let scene = Scene::new(&[unreachable_addr(), unreachable_addr(), fine.addr]);
    for _ in 0..8 {
        let answer = scene.rpc("pickup-book", "", "x");
        assert_eq!((answer.kind(), &*answer.body), ("ok", "fine"));
    }
    let full = node(Box::new(|_, s| {
        write_text(s, "HTTP/1.1 503 Full\r\nIvydrift-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
    }));
    let fine = healthy_node("fine");
    let scene = Scene::new(&[full.addr, fine.addr]);
    for _ in 0..40 {
        assert_eq!(scene.rpc("pickup-book", "", "x").kind(), "ok");
    }
    assert!(full.messages() > 0, "the full node was never tried");
}

#[test]
fn an_rpc_that_may_have_run_is_aborted_and_not_sent_again() {
    type Ends = fn(&mut std::net::TcpStream) -> bool;
    let ends: [(&str, Ends); 7] = [
        ("reset after the send", |s| {
            let _ = s.shutdown(Shutdown::Both);
            false
        }),
        ("half a head", |s| !write_text(s, "HTTP/1.1 200 O")),
        ("half a body", |s| !write_text(s, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")),
        ("no HTTP", |s| write_text(s, "SSH-2.0-nonsense\r\n\r\n")),
        ("two lengths", |s| {
            write_text(s, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nabc")
        }),
        ("a plain 503", |s| write_text(s, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")),
        ("an ok that never ran", |s| {
            write_text(s, "HTTP/1.1 500 Oh\r\nIvydrift-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
        }),
    ];
    for (what, end) in ends {
        let nodes = [node(Box::new(move |_, s| end(s))), node(Box::new(move |_, s| end(s)))];
        let scene = Scene::new(&[nodes[0].addr, nodes[1].addr]);
        let answer = scene.rpc("pickup-book", "grpc-timeout: 900m\r\n", "x");
        assert_eq!(answer.kind(), "aborted", "{what}");
        assert_eq!(nodes[0].messages() + nodes[1].messages(), 1, "{what}: sent again");
    }
}

#[test]
fn a_non_idempotent_rpc_survives_an_idle_connection_closed_by_the_node() {
    // The node closes each connection a moment after its answer, without announcing it.
    let closing = node(Box::new(|_, s| {
        write_ok(s, "fine");
        std::thread::sleep(ms(10));
        false
    }));
    let scene = Scene::new(&[closing.addr]);
    for _ in 0..6 {
        let answer = scene.rpc("pickup-book", "", "x");
        assert_eq!((answer.kind(), answer.field("ivydrift-picks")), ("ok", Some("1")));
        std::thread::sleep(ms(60));
    }
    assert_eq!(closing.messages(), 6);
}

#[test]
fn a_non_idempotent_rpc_uses_no_connection_that_was_idle_for_long() {
    let fine = healthy_node("fine");
    let scene = Scene::new(&[fine.addr]);
    scene.rpc("calendar-read", "", "x");
    std::thread::sleep(ms(1150));
    scene.rpc("pickup-book", "", "x");
    assert_eq!(
        *fine.connections.lock().unwrap(),
        2,
        "a non-idempotent RPC used a connection that may be closed already"
    );
    scene.rpc("calendar-read", "", "x");
    assert_eq!(*fine.connections.lock().unwrap(), 2, "an idempotent RPC reuses any idle connection");
}

#[test]
fn an_answer_after_the_pick_timed_out_reaches_no_client() {
    let late = node(Box::new(|_, s| {
        std::thread::sleep(ms(400));
        write_ok(s, "late")
    }));
    let scene = Scene::new(&[late.addr]);
    let mut stream = scene.connect();
    write_text(&mut stream, &message("pickup-book", "grpc-timeout: 200m\r\n", "x"));
    let first = answer(&mut stream).unwrap();
    assert_eq!(
        (first.status, first.kind(), first.field("ivydrift-why")),
        (504, "aborted", Some("timed-out"))
    );
    std::thread::sleep(ms(400));
    // The next RPC on the connection gets its own answer, not the late one.
    write_text(&mut stream, &message("calendar-nothing", "", ""));
    assert_eq!(answer(&mut stream).unwrap().status, 404);
}

#[test]
fn the_client_is_answered_by_its_deadline() {
    let silent = node(Box::new(|_, s| !closes_within(s, ms(3000))));
    let scene = Scene::new(&[silent.addr]);
    for (method, timeout) in [("pickup-book", 300), ("calendar-read", 300), ("pickup-book", 60)] {
        let started = std::time::Instant::now();
        scene.rpc(method, &format!("grpc-timeout: {timeout}m\r\n"), "x");
        assert!(
            started.elapsed() < ms(timeout + 15),
            "{method} took {:?} of {timeout} ms",
            started.elapsed()
        );
    }
}

#[test]
fn a_truncated_answer_closes_the_client_s_connection() {
    let truncating = node(Box::new(|_, s| {
        write_text(s, &format!("HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n{}", "x".repeat(40_000)));
        std::thread::sleep(ms(50));
        false
    }));
    let scene = Scene::new(&[truncating.addr]);
    let mut stream = scene.connect();
    write_text(&mut stream, &message("calendar-read", "", "x"));
    assert!(answer(&mut stream).is_none(), "a truncated answer was passed on as complete");
    // With chunked encoding: the last chunk must not be sent.
    let truncating = node(Box::new(|_, s| {
        write_text(
            s,
            &format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9c40\r\n{}\r\n",
                "x".repeat(40_000)
            ),
        );
        std::thread::sleep(ms(50));
        false
    }));
    let scene = Scene::new(&[truncating.addr]);
    let mut stream = scene.connect();
    write_text(&mut stream, &message("calendar-read", "", "x"));
    let mut all = Vec::new();
    let _ = std::io::Read::read_to_end(&mut stream, &mut all);
    assert!(all.len() >= 40_000 && !all.ends_with(b"0\r\n\r\n"));
}

#[test]
fn a_streamed_answer_may_outlast_the_pick_timeout() {
    // The first pick of this method times out after 0.6 of 800 ms.
    let slow_stream = node(Box::new(|_, s| {
        write_text(s, "HTTP/1.1 200 OK\r\nContent-Length: 80000\r\n\r\n");
        (0..16).all(|_| {
            std::thread::sleep(ms(80));
            write_text(s, &"x".repeat(5000))
        })
    }));
    let scene = Scene::new(&[slow_stream.addr]);
    let answer = scene.rpc("calendar-read", "", "x");
    assert_eq!((answer.status, answer.body.len(), slow_stream.messages()), (200, 80_000, 1));
}

#[test]
fn an_rpc_whose_connection_is_reset_while_it_is_sent_is_aborted_and_not_sent_again() {
    // The node accepts, reads the first bytes of a long RPC and resets the connection.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let accepted = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let count = accepted.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            count.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
            let _ = std::io::Read::read(&mut stream, &mut [0; 100]);
            // Closing a socket with unread bytes sends a reset.
        }
    });
    let scene = Scene::new(&[addr]);
    let answer = scene.rpc("pickup-book", "grpc-timeout: 900m\r\n", &"z".repeat(60_000));
    assert_eq!(answer.kind(), "aborted");
    assert_eq!(accepted.load(std::sync::atomic::Ordering::SeqCst), 1, "sent again");
}

#[test]
fn short_answers_of_any_framing_are_passed_whole() {
    for (text, body) in [
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "abc"),
        ("HTTP/1.1 200 OK\r\n\r\nuntil the end", "until the end"),
        ("HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 404 No\r\nContent-Length: 2\r\n\r\nno", "no"),
        ("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nab", "ab"),
        ("HTTP/1.1 204 None\r\n\r\n", ""),
    ] {
        let node_with_framing = node(Box::new(move |_, s| write_text(s, text) && !text.contains("until")));
        let scene = Scene::new(&[node_with_framing.addr]);
        let mut stream = scene.connect();
        write_text(&mut stream, &message("calendar-read", "", "x"));
        let got = answer(&mut stream).unwrap();
        assert_eq!((got.kind(), &*got.body), ("ok", body), "{text:?}");
        write_text(&mut stream, &message("calendar-read", "", "x"));
        assert_eq!(answer(&mut stream).unwrap().body, body, "the client's connection stays usable");
    }
}
