//! Clients that leave while something they sent is still unread: it must not hide that they have gone.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use crate::platform_scene::*;
use crate::process::Process;
use crate::scene::*;

/// How long after a client's close an attempt for it may begin; each time limit is 50 ms longer on sockets.
const MAY_BEGIN_WITHIN: Duration = ms(150);
/// How long the nodes are watched after that: longer than any attempt lasts.
const WATCHED: Duration = ms(2500);
/// How long a client stays after its last byte.
const STAYS: Duration = ms(100);

/// How a client ends its connection.
#[derive(Clone, Copy)]
enum Departure {
    Close,
    Reset,
    /// It ends its sending and still reads. On the wire this looks like a close.
    HalfClose,
}

/// Ends the connection. A stream that comes back is one that still reads.
fn leave(stream: TcpStream, departure: Departure) -> Option<TcpStream> {
    match departure {
        Departure::Close => None,
        Departure::Reset => {
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            None
        }
        Departure::HalfClose => {
            stream.shutdown(Shutdown::Write).unwrap();
            Some(stream)
        }
    }
}

/// Nodes that break off each attempt after 400 ms, so that another one follows.
fn breaking_nodes() -> Vec<Node> {
    let breaking = || {
        node(Box::new(|_, _| {
            std::thread::sleep(ms(400));
            false
        }))
    };
    (0..4).map(|_| breaking()).collect()
}

fn addrs(nodes: &[Node]) -> Vec<SocketAddr> {
    nodes.iter().map(|node| node.addr).collect()
}

fn messages(nodes: &[Node]) -> usize {
    nodes.iter().map(Node::messages).sum()
}

/// Checks that nodes get nothing more for a client that has just left.
fn assert_nothing_follows(nodes: &[Node]) {
    std::thread::sleep(MAY_BEGIN_WITHIN);
    let before = messages(nodes);
    assert!(before > 0, "no attempt was made while the client was there");
    std::thread::sleep(WATCHED);
    assert_eq!(messages(nodes) - before, 0, "attempts began after the client had left");
}

/// A client sends a request, then `more`, and leaves.
fn check_departure(more: impl Fn(&mut TcpStream), departure: Departure) {
    let nodes = breaking_nodes();
    let scene = PlatformScene::new(&addrs(&nodes));
    let mut stream = scene.connect();
    write_text(&mut stream, &read_request("first"));
    wait_for("the first attempt", ms(1000), || messages(&nodes) > 0);
    more(&mut stream);
    std::thread::sleep(STAYS);
    let _reading = leave(stream, departure);
    assert_nothing_follows(&nodes);
    wait_for("the end of its requests", ms(1000), || scene.running.counts().held == 0);
}

fn send(stream: &mut TcpStream, text: &str) {
    assert!(write_text(stream, text), "the marshal has closed the connection");
}

/// Sends as much as the sockets' buffers of both sides take, in requests one behind the other.
fn fill(stream: &mut TcpStream) {
    stream.set_nonblocking(true).unwrap();
    for number in 0.. {
        // A partly written request at the end changes nothing: what is before it is whole.
        match stream.write(booking_request(&format!("fill-{number}")).repeat(40).as_bytes()) {
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            Err(e) => panic!("{e}"),
        }
    }
    stream.set_nonblocking(false).unwrap();
}

#[test]
fn a_request_in_the_marshals_buffer_does_not_hide_a_close() {
    for departure in [Departure::Close, Departure::Reset, Departure::HalfClose] {
        let nodes = breaking_nodes();
        let scene = PlatformScene::new(&addrs(&nodes));
        let mut stream = scene.connect();
        write_text(&mut stream, &(read_request("first") + &read_request("second")));
        std::thread::sleep(STAYS);
        let _reading = leave(stream, departure);
        assert_nothing_follows(&nodes);
    }
}

#[test]
fn a_request_unread_in_the_socket_does_not_hide_a_close() {
    check_departure(|stream| send(stream, &read_request("second")), Departure::Close);
}

#[test]
fn a_request_unread_in_the_socket_does_not_hide_a_reset() {
    check_departure(|stream| send(stream, &read_request("second")), Departure::Reset);
}

#[test]
fn a_request_unread_in_the_socket_does_not_hide_the_end_of_sending() {
    check_departure(|stream| send(stream, &read_request("second")), Departure::HalfClose);
}

#[test]
fn many_further_requests_do_not_hide_a_close() {
    let further = |stream: &mut TcpStream| {
        (0..200).for_each(|number| send(stream, &booking_request(&format!("further-{number}"))));
    };
    check_departure(further, Departure::Close);
}

#[test]
fn more_than_the_sockets_buffers_take_does_not_hide_a_close() {
    check_departure(fill, Departure::Close);
}

#[test]
fn more_than_the_sockets_buffers_take_does_not_hide_a_reset() {
    check_departure(fill, Departure::Reset);
}

/// The answers that nobody reads show that the client has gone: its end cannot arrive.
#[test]
fn answers_in_quick_succession_do_not_hide_that_a_client_with_much_unread_has_left() {
    for departure in [Departure::Close, Departure::Reset] {
        let nodes = vec![node(Box::new(|_, stream| {
            std::thread::sleep(ms(30));
            write_ok(stream, "done")
        }))];
        let scene = PlatformScene::new(&addrs(&nodes));
        let mut stream = scene.connect();
        fill(&mut stream);
        std::thread::sleep(STAYS);
        drop(leave(stream, departure));
        assert_nothing_follows(&nodes);
    }
}

#[test]
fn a_body_longer_than_stated_does_not_hide_a_close() {
    check_departure(|stream| send(stream, &"x".repeat(16 * 1024)), Departure::Close);
}

#[test]
fn a_half_sent_chunked_body_and_trailers_do_not_hide_a_close() {
    let further = |stream: &mut TcpStream| {
        let head = "POST /pickup-book HTTP/1.1\r\nHost: b\r\nX-Request-ID: chunked\r\nX-Timeout-Ms: 2000\r\n";
        let body = format!(
            "Transfer-Encoding: chunked\r\n\r\n2000\r\n{}\r\n0\r\nX-Trailer: 1\r\n",
            "x".repeat(0x2000)
        );
        write_text(stream, &format!("{head}{body}"));
    };
    check_departure(further, Departure::Close);
}

/// A node to which connections come up only once `queue` is taken off its accept queue.
fn node_with_full_accept_queue() -> (TcpListener, Vec<TcpStream>) {
    let slow = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    slow.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    slow.listen(0).unwrap();
    let slow: TcpListener = slow.into();
    let addr = slow.local_addr().unwrap();
    let mut queue = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&addr, ms(100)) {
        queue.push(stream);
    }
    (slow, queue)
}

/// The next connection, if one comes up within this time.
fn accept_within(listener: &TcpListener, within: Duration) -> Option<TcpStream> {
    listener.set_nonblocking(true).unwrap();
    let deadline = Instant::now() + within;
    while Instant::now() < deadline {
        if let Ok((stream, _)) = listener.accept() {
            return Some(stream);
        }
        std::thread::sleep(ms(5));
    }
    None
}

/// What comes until the stream ends, for this time at most.
fn read_all(mut stream: TcpStream, within: Duration) -> Vec<u8> {
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(within)).unwrap();
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    text
}

/// The rest of a long body and its trailers stay in the socket until the node's connection comes up.
#[test]
fn the_unread_rest_of_a_body_and_its_trailers_do_not_hide_a_close() {
    let (slow, queue) = node_with_full_accept_queue();
    let scene =
        Scene::with(&[slow.local_addr().unwrap()], "bounds {\n  body_kib = 1\n  connect = \"4s\"\n}\n");
    let mut client = scene.connect();
    let head = "POST /calendar-read HTTP/1.1\r\nHost: m\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunk = format!("2000\r\n{}\r\n", "x".repeat(0x2000));
    write_text(&mut client, &format!("{head}{chunk}"));
    wait_for("the pick", ms(2000), || scene.running.counts().picks == 1);
    write_text(&mut client, &format!("{chunk}0\r\nX-Trailer: 1\r\n\r\n"));
    std::thread::sleep(STAYS);
    drop(client);
    std::thread::sleep(MAY_BEGIN_WITHIN);
    queue.iter().for_each(|_| drop(slow.accept().unwrap()));
    let text = accept_within(&slow, ms(3000)).map_or(Vec::new(), |stream| read_all(stream, ms(2000)));
    assert!(text.is_empty(), "sent for a client that had left: {:.80}", String::from_utf8_lossy(&text));
}

#[test]
fn an_id_that_waits_behind_another_request_runs_once_when_it_returns_elsewhere() {
    let nodes = vec![node(Box::new(|nth, stream| {
        std::thread::sleep(ms(if nth == 0 { 600 } else { 0 }));
        write_ok(stream, "done")
    }))];
    let (left, other) = (PlatformScene::new(&addrs(&nodes)), PlatformScene::new(&addrs(&nodes)));
    let mut stream = left.connect();
    write_text(&mut stream, &read_request("first"));
    wait_for("the first attempt", ms(1000), || messages(&nodes) == 1);
    write_text(&mut stream, &booking_request("returns"));
    std::thread::sleep(STAYS);
    drop(stream);
    assert_eq!(other.request(&booking_request("returns")).status, 200);
    std::thread::sleep(ms(1500));
    let received = nodes[0].received.lock().unwrap();
    assert_eq!(received.iter().filter(|text| text.contains("returns")).count(), 1, "it ran twice");
}

/// Shorter than what counts as a stall elsewhere, and longer than an attempt may begin after a close.
#[test]
fn a_request_whose_client_left_during_a_short_stall_is_not_sent() {
    let fine = healthy_node("fine");
    let process = Process::on_platform("stalled", &start_platform(&[(fine.addr, 1)], &[]));
    for number in 0..5 {
        let before = fine.messages();
        process.suspend();
        let mut stream = connect(process.listen_addr);
        write_text(&mut stream, &read_request(&format!("stalled-{number}")));
        drop(stream);
        std::thread::sleep(ms(200));
        process.signal(Signal::SIGCONT);
        std::thread::sleep(ms(300));
        assert_eq!(fine.messages(), before, "it was sent 0.2 s after its client's close");
    }
}

#[test]
fn requests_that_wait_behind_a_slow_one_are_all_served() {
    let slow_first = node(Box::new(|nth, stream| {
        std::thread::sleep(ms(if nth == 0 { 400 } else { 0 }));
        write_ok(stream, "done")
    }));
    let scene = PlatformScene::new(&[slow_first.addr]);
    let mut stream = scene.connect();
    let count = 300;
    (0..count).for_each(|number| send(&mut stream, &booking_request(&format!("b{number}"))));
    for number in 0..count {
        let answer = answer(&mut stream).unwrap_or_else(|| panic!("no answer to request {number}"));
        assert_eq!((answer.status, &*answer.body), (200, "done"), "request {number}");
    }
    assert_eq!(slow_first.messages(), count);
}

/// Guards against a look ahead that costs requests of a client that is still there.
#[test]
fn each_request_of_a_client_that_stays_is_served_however_many_wait() {
    let quick = healthy_node("fine");
    let scene = PlatformScene::new(&[quick.addr]);
    let mut stream = scene.connect();
    let mut writing = stream.try_clone().unwrap();
    let (count, mut served) = (6000, 0);
    let writer = std::thread::spawn(move || {
        (0..count)
            .for_each(|number| assert!(write_text(&mut writing, &booking_request(&format!("w{number}")))));
    });
    for number in 0..count {
        let answer = answer(&mut stream).unwrap_or_else(|| panic!("no answer to request {number}"));
        assert!(matches!(answer.status, 200 | 503), "request {number}: {}", answer.status);
        served += usize::from(answer.status == 200);
    }
    assert_eq!(served, count, "requests of a client that stayed were refused");
    writer.join().unwrap();
}
