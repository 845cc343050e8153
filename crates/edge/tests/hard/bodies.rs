//! Request bodies longer than a marshal buffers: it streams them to the node as they arrive, with one pick.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Instant;

use crate::scene::*;

/// Config with a body buffer of 4 KiB.
const SMALL_BUFFER: &str = "bounds {\n  body_kib = 4\n}\n";
/// Length of a body that exceeds the buffer, in bytes.
const LONG_BODY_LEN: usize = 300_000;

/// A body of [`LONG_BODY_LEN`] bytes in which misplaced parts are noticed.
fn body() -> String {
    (0..LONG_BODY_LEN).map(|i| char::from(b'a' + (i * i / 7 % 26) as u8)).collect()
}

/// The head of an RPC with a body of this length.
pub fn request_head(method: &str, length: usize) -> String {
    format!("POST /{method} HTTP/1.1\r\nHost: m\r\nContent-Length: {length}\r\n\r\n")
}

/// Reads a head and then up to `limit` bytes of the body. Returns how many body bytes were read.
pub fn read_body(stream: &mut TcpStream, limit: usize) -> usize {
    let (mut text, mut byte) = (Vec::new(), [0]);
    while !text.ends_with(b"\r\n\r\n") {
        if !matches!(stream.read(&mut byte), Ok(1)) {
            return 0;
        }
        text.push(byte[0]);
    }
    let (mut total, mut buffer) = (0, [0; 4096]);
    while total < limit {
        match stream.read(&mut buffer[..(limit - total).min(4096)]) {
            Ok(n) if n > 0 => total += n,
            _ => break,
        }
    }
    total
}

#[test]
fn a_long_body_reaches_the_node_whole_and_the_connection_is_reused() {
    let fine = healthy_node("fine");
    let scene = Scene::with(&[fine.addr], SMALL_BUFFER);
    let (mut stream, body) = (scene.connect(), body());
    for _ in 0..3 {
        write_text(&mut stream, &(request_head("pickup-book", LONG_BODY_LEN) + &body));
        assert_eq!(answer(&mut stream).unwrap().body, "fine");
    }
    write_text(&mut stream, &message("calendar-read", "", "short"));
    assert_eq!(answer(&mut stream).unwrap().body, "fine");
    let received = fine.received.lock().unwrap().clone();
    assert_eq!(received.len(), 4);
    assert!(received[..3].iter().all(|m| m.ends_with(&format!("\r\n\r\n{body}"))));
    assert!(received[3].ends_with("short"));
    assert_eq!(*fine.connections.lock().unwrap(), 1, "a complete exchange keeps its connection");
}

#[test]
fn a_long_body_in_chunks_is_passed_in_chunks_and_its_end_is_found() {
    let body_bytes = Arc::new(AtomicUsize::new(0));
    let log = body_bytes.clone();
    let chunked = raw_node(move |stream| {
        let mut text = Vec::new();
        let mut buffer = [0; 4096];
        while !text.ends_with(b"\r\n0\r\n\r\n") {
            match stream.read(&mut buffer) {
                Ok(n) if n > 0 => text.extend_from_slice(&buffer[..n]),
                _ => return,
            }
        }
        log.store(text.iter().filter(|b| **b == b'~').count(), Ordering::SeqCst);
        write_ok(stream, "counted");
    });
    let scene = Scene::with(&[chunked.addr], SMALL_BUFFER);
    let mut stream = scene.connect();
    write_text(&mut stream, "POST /calendar-read HTTP/1.1\r\nHost: m\r\nTransfer-Encoding: chunked\r\n\r\n");
    for _ in 0..100 {
        write_text(&mut stream, &format!("bb8\r\n{}\r\n", "~".repeat(3000)));
    }
    write_text(&mut stream, "0\r\n\r\n");
    assert_eq!(answer(&mut stream).unwrap().body, "counted");
    assert_eq!(body_bytes.load(Ordering::SeqCst), LONG_BODY_LEN);
}

#[test]
fn a_node_lost_mid_body_aborts_the_rpc_without_a_second_pick() {
    // The method is idempotent, and there are time and another node: only the missing body prevents a second
    // pick.
    let closes_mid_body = || {
        raw_node(|stream| {
            read_body(stream, 50_000);
        })
    };
    let nodes = [closes_mid_body(), closes_mid_body()];
    let scene = Scene::with(&[nodes[0].addr, nodes[1].addr], SMALL_BUFFER);
    let mut stream = scene.connect();
    // More than the socket buffers on the path can hold.
    write_text(&mut stream, &request_head("calendar-read", 40 * LONG_BODY_LEN));
    let _ = stream.write_all(body().repeat(40).as_bytes());
    let aborted = answer(&mut stream).unwrap();
    assert_eq!(
        (aborted.status, aborted.kind(), aborted.field("ivydrift-picks")),
        (502, "aborted", Some("1"))
    );
    assert!(closes_within(&mut stream, ms(2000)), "the rest of the body must not be parsed as an RPC");
    let reached: usize = nodes.iter().map(|n| *n.connections.lock().unwrap()).sum();
    assert_eq!((reached, scene.running.counts().picks), (1, 1));
}

#[test]
fn an_rpc_can_be_picked_again_until_the_rest_of_its_body_is_read() {
    let scene = Scene::with(&[unreachable_addr()], SMALL_BUFFER);
    let mut stream = scene.connect();
    write_text(&mut stream, &request_head("pickup-book", LONG_BODY_LEN));
    let _ = stream.write_all(body().as_bytes());
    let pushed = answer(&mut stream).unwrap();
    assert_eq!((pushed.status, pushed.kind()), (503, "pushed-back"));
    let picks: usize = pushed.field("ivydrift-picks").unwrap().parse().unwrap();
    assert!(picks > 1, "{picks} picks: the first had read nothing of the rest of the body");
}

#[test]
fn a_node_lost_while_the_client_pauses_mid_body_leads_to_a_second_pick() {
    let first = AtomicUsize::new(0);
    let fails_once = raw_node(move |stream| {
        if first.fetch_add(1, Ordering::SeqCst) == 0 {
            // The node closes while the marshal still waits for the client.
            read_body(stream, 2000);
            std::thread::sleep(ms(60));
            return;
        }
        if read_body(stream, LONG_BODY_LEN) == LONG_BODY_LEN {
            write_ok(stream, "second");
        }
    });
    let scene = Scene::with(&[fails_once.addr], SMALL_BUFFER);
    let (mut stream, body) = (scene.connect(), body());
    write_text(&mut stream, &(request_head("calendar-read", LONG_BODY_LEN) + &body[..5000]));
    std::thread::sleep(ms(400));
    write_text(&mut stream, &body[5000..]);
    let answer = answer(&mut stream).unwrap();
    assert_eq!((answer.status, &*answer.body, answer.field("ivydrift-picks")), (200, "second", Some("2")));
}

#[test]
fn a_rejection_before_the_end_of_the_body_is_passed_on_at_once() {
    let full = raw_node(|stream| {
        read_body(stream, 10_000);
        write_text(stream, "HTTP/1.1 503 Full\r\nIvydrift-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
        closes_within(stream, ms(2000));
    });
    let scene = Scene::with(&[full.addr], SMALL_BUFFER);
    let mut stream = scene.connect();
    write_text(&mut stream, &request_head("pickup-book", LONG_BODY_LEN));
    write_text(&mut stream, &"x".repeat(20_000));
    // The client never sends the rest, and the marshal does not wait for it.
    let started = Instant::now();
    let pushed = answer(&mut stream).unwrap();
    assert_eq!((pushed.status, pushed.kind()), (503, "pushed-back"));
    assert!(started.elapsed() < ms(1000), "{:?}", started.elapsed());
    assert!(closes_within(&mut stream, ms(2000)));
}

#[test]
fn a_body_that_its_client_breaks_off_counts_as_left_and_not_as_a_failure() {
    let reading = raw_node(|stream| while read_body(stream, 4096) == 4096 {});
    let config = "bounds {\n  body_kib = 4\n  slow_client = \"300ms\"\n}\n";
    let scene = Scene::with(&[reading.addr], config);
    let mut stream = scene.connect();
    write_text(&mut stream, &request_head("calendar-read", LONG_BODY_LEN));
    write_text(&mut stream, &"x".repeat(20_000));
    assert_eq!(answer(&mut stream).unwrap().status, 408);
    assert!(closes_within(&mut stream, ms(2000)));
    // Malformed in a later chunk: the end of the body is unknown.
    let mut stream = scene.connect();
    write_text(&mut stream, "POST /calendar-read HTTP/1.1\r\nHost: m\r\nTransfer-Encoding: chunked\r\n\r\n");
    write_text(&mut stream, &format!("2000\r\n{}\r\nzz\r\n", "x".repeat(0x2000)));
    assert_eq!(answer(&mut stream).unwrap().status, 400);
    // The client disconnects in the middle of the body.
    let mut stream = scene.connect();
    write_text(&mut stream, &request_head("calendar-read", 20_000));
    write_text(&mut stream, &"x".repeat(10_000));
    drop(stream);
    wait_for("the end of all three RPCs", ms(2000), || scene.running.counts().left == 3);
    let counts = scene.running.counts();
    assert_eq!((counts.held, counts.aborted, counts.pushed_back), (0, 0, 0), "{counts:?}");
}
