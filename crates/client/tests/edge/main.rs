//! Tests of the client library against a real marshal on loopback and against faulty ones.

#[path = "../../../edge/tests/hard/scene.rs"]
#[allow(dead_code)]
mod scene;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ivydrift_client::{Call, Cancel, Channel, ClientConfig, Error, Kind};
use scene::*;

fn channel(marshals: &[SocketAddr]) -> Channel {
    let mut builder = Channel::builder()
        .method("calendar-read", Kind::Idempotent, ms(2000))
        .method("calendar-save", Kind::Tokened { window: ms(5000) }, ms(2000))
        .method("pickup-book", Kind::NonIdempotent, ms(2000))
        .seed(3);
    for at in marshals {
        builder = builder.marshal(*at);
    }
    builder.build().unwrap()
}

/// A marshal that reads an RPC and closes the connection, as if it was killed before it answered.
fn killed_marshal() -> Node {
    node(Box::new(|_, _| false))
}

fn answer_ok(stream: &mut std::net::TcpStream, body: &str) -> bool {
    write_text(
        stream,
        &format!("HTTP/1.1 200 OK\r\nIvydrift-Answer: ok\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
    )
}

#[test]
fn each_error_tells_whether_the_call_may_have_run() {
    let fine = healthy_node("fine");
    let scene = Scene::new(&[fine.addr]);
    let client = channel(&[scene.running.listen_addr]);
    let answer = client.call(Call::new("calendar-read", b"x").key("k")).unwrap();
    assert_eq!((answer.status, &answer.body[..], answer.build), (200, &b"fine"[..], 1));
    assert!(client.call(Call::new("calendar-save", b"x").token("t")).is_ok());
    assert!(matches!(client.call(Call::new("calendar-save", b"x")), Err(Error::BadCall(_))));
    assert!(matches!(client.call(Call::new("unheard", b"x")), Err(Error::BadCall(_))));

    let fails = node(Box::new(|_, s| write_text(s, "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n")));
    let scene = Scene::new(&[fails.addr]);
    assert_eq!(
        channel(&[scene.running.listen_addr]).call(Call::new("pickup-book", b"x")),
        Err(Error::Aborted)
    );
    assert_eq!(fails.messages(), 1, "the booking was sent again");

    let empty = Scene::new(&[]);
    let end = channel(&[empty.running.listen_addr]).call(Call::new("pickup-book", b"x").timeout(ms(400)));
    assert!(matches!(end, Err(Error::PushedBack { local: false } | Error::NotSent)), "{end:?}");
    let unreachable_addr =
        channel(&[unreachable_addr()]).call(Call::new("pickup-book", b"x").timeout(ms(300)));
    assert_eq!(unreachable_addr, Err(Error::NotSent));
}

#[test]
fn a_booking_is_not_retried_when_its_marshal_dies_and_a_read_is() {
    let (killed, fine) = (killed_marshal(), healthy_node("fine"));
    let scene = Scene::new(&[fine.addr]);
    let dead = channel(&[killed.addr]);
    assert_eq!(dead.call(Call::new("pickup-book", b"x")), Err(Error::Unknown));
    assert_eq!(killed.messages(), 1);
    let both = channel(&[killed.addr, scene.running.listen_addr]);
    for _ in 0..10 {
        assert!(both.call(Call::new("calendar-read", b"x")).is_ok());
    }
}

#[test]
fn a_silent_marshal_delays_a_call_no_longer_than_its_deadline() {
    let silent = node(Box::new(|_, s| !closes_within(s, ms(3000))));
    let client = channel(&[silent.addr]);
    for within in [100, 400] {
        let began = Instant::now();
        assert_eq!(client.call(Call::new("calendar-read", b"x").timeout(ms(within))), Err(Error::Unknown));
        let took = began.elapsed();
        assert!(took >= ms(within - 10) && took < ms(within + 60), "{took:?} of {within} ms");
    }
}

#[test]
fn a_late_answer_is_not_given_to_another_call() {
    let late = node(Box::new(|nth, s| {
        std::thread::sleep(ms(if nth == 0 { 250 } else { 0 }));
        answer_ok(s, &nth.to_string())
    }));
    let client = channel(&[late.addr]);
    assert_eq!(client.call(Call::new("calendar-read", b"x").timeout(ms(150))), Err(Error::Unknown));
    std::thread::sleep(ms(150));
    let next = client.call(Call::new("calendar-read", b"y")).unwrap();
    assert_eq!(next.body, b"1");
}

#[test]
fn a_push_back_just_before_the_deadline_ends_the_call_in_time() {
    let full = node(Box::new(|_, s| {
        std::thread::sleep(ms(180));
        write_text(s, "HTTP/1.1 503 No\r\nIvydrift-Answer: pushed-back\r\nRetry-After-Ms: 300\r\nContent-Length: 0\r\n\r\n")
    }));
    let began = Instant::now();
    let end = channel(&[full.addr]).call(Call::new("pickup-book", b"x").timeout(ms(450)));
    assert_eq!(end, Err(Error::PushedBack { local: false }));
    assert!(began.elapsed() < ms(430), "the call waited although there was no time for another attempt");
    assert_eq!(full.messages(), 1);
}

#[test]
fn a_connection_closed_while_idle_does_not_fail_a_booking() {
    let reaps = node(Box::new(|_, s| !answer_ok(s, "fine")));
    let client = channel(&[reaps.addr]);
    for _ in 0..5 {
        assert!(client.call(Call::new("pickup-book", b"x")).is_ok());
        std::thread::sleep(ms(30));
    }
    assert_eq!(reaps.messages(), 5);
}

#[test]
fn a_full_queue_refuses_at_once_and_many_threads_share_a_channel() {
    let fine = healthy_node("fine");
    let scene = Scene::new(&[fine.addr]);
    let client = channel(&[scene.running.listen_addr]);
    let threads: Vec<_> = (0..16)
        .map(|_| {
            let client = client.clone();
            std::thread::spawn(move || {
                (0..50).filter(|_| client.call(Call::new("calendar-read", b"x")).is_ok()).count()
            })
        })
        .collect();
    let ok: usize = threads.into_iter().map(|t| t.join().unwrap()).sum();
    assert_eq!((ok, fine.messages()), (800, 800));

    let silent = node(Box::new(|_, s| !closes_within(s, ms(3000))));
    let config =
        ClientConfig { max_queued_calls: 2, max_connections_per_marshal: 1, ..ClientConfig::default() };
    let client = Channel::builder()
        .marshal(silent.addr)
        .method("calendar-read", Kind::Idempotent, ms(600))
        .config(config)
        .build()
        .unwrap();
    let waiting: Vec<_> = (0..3)
        .map(|_| {
            let client = client.clone();
            std::thread::sleep(ms(30));
            std::thread::spawn(move || client.call(Call::new("calendar-read", b"x")))
        })
        .collect();
    std::thread::sleep(ms(50));
    let began = Instant::now();
    assert_eq!(client.call(Call::new("calendar-read", b"x")), Err(Error::QueueFull));
    assert!(began.elapsed() < Duration::from_millis(300));
    waiting.into_iter().for_each(|t| drop(t.join()));
}

#[test]
fn calls_use_the_current_list_of_marshals() {
    let (a, b) = (healthy_node("a"), healthy_node("b"));
    let (first, second) = (Scene::new(&[a.addr]), Scene::new(&[b.addr]));
    let client = channel(&[first.running.listen_addr]);
    assert_eq!(client.call(Call::new("calendar-read", b"x")).unwrap().body, b"a");
    client.set_marshals(&[(second.running.listen_addr, true)]).unwrap();
    for _ in 0..5 {
        assert_eq!(client.call(Call::new("pickup-book", b"x")).unwrap().body, b"b");
    }
    assert!(client.set_marshals(&[]).is_err());
    // A queued call that has no reachable marshal is sent to one that is added later.
    let unconnected = channel(&[unreachable_addr()]);
    let waiting = {
        let unconnected = unconnected.clone();
        std::thread::spawn(move || unconnected.call(Call::new("pickup-book", b"x")))
    };
    std::thread::sleep(ms(150));
    unconnected
        .set_marshals(&[(first.running.listen_addr, true), (second.running.listen_addr, false)])
        .unwrap();
    assert_eq!(waiting.join().unwrap().unwrap().body, b"a", "the near marshal is preferred");
}

#[test]
fn a_token_reused_for_another_call_is_refused_before_sending() {
    let fine = healthy_node("fine");
    let scene = Scene::new(&[fine.addr]);
    let client = channel(&[scene.running.listen_addr]);
    let save = |token, body| client.call(Call::new("calendar-save", body).token(token));
    assert!(save("t1", b"monday").is_ok());
    assert!(save("t1", b"monday").is_ok(), "the caller may repeat its own call");
    assert!(matches!(save("t1", b"tuesday"), Err(Error::BadCall(_))));
    assert!(save("t2", b"tuesday").is_ok());
    assert!(
        matches!(save("t3\r\nX: y", b"z"), Err(Error::BadCall(_))),
        "a token must not inject header fields"
    );
    assert_eq!(fine.messages(), 3);
}

#[test]
fn a_cancelled_call_returns_at_once_wherever_it_is() {
    let silent = node(Box::new(|_, s| !closes_within(s, ms(4000))));
    let scene = Scene::new(&[silent.addr]);
    for (marshal, what) in [(scene.running.listen_addr, "out"), (unreachable_addr(), "queued")] {
        for after in [0, 3, 40] {
            let (client, cancel) = (channel(&[marshal]), Cancel::new());
            let cancel_from_thread = cancel.clone();
            let waiting = std::thread::spawn(move || {
                let began = Instant::now();
                let end = client.call(Call::new("calendar-read", b"x").cancel(&cancel_from_thread));
                (end, began.elapsed())
            });
            std::thread::sleep(ms(after));
            cancel.cancel();
            let (end, took) = waiting.join().unwrap();
            assert_eq!(end, Err(Error::Unknown), "{what} after {after} ms");
            assert!(took < ms(after + 500), "{what} after {after} ms: {took:?}");
        }
    }
    // The marshal noticed that the clients left.
    wait_for("the end of all calls", ms(1000), || scene.running.counts().held == 0);
}

#[test]
fn a_marshal_that_pushes_back_everything_for_ten_seconds_is_not_flooded() {
    let full = node(Box::new(|_, s| {
        write_text(s, "HTTP/1.1 503 No\r\nIvydrift-Answer: pushed-back\r\nRetry-After-Ms: 50\r\nContent-Length: 0\r\n\r\n")
    }));
    let client = channel(&[full.addr]);
    let (began, mut calls, mut sent_by_second) = (Instant::now(), 0, [0; 11]);
    while began.elapsed() < ms(10_000) {
        let end = client.call(Call::new("calendar-read", b"x").timeout(ms(200)));
        assert!(matches!(end, Err(Error::PushedBack { .. } | Error::NotSent)), "{end:?}");
        calls += 1;
        sent_by_second[began.elapsed().as_secs() as usize] = full.messages();
        std::thread::sleep(ms(10));
    }
    let lately = sent_by_second[9] - sent_by_second[8];
    assert!(calls > 200 && full.messages() < calls / 2, "{} sent for {calls} calls", full.messages());
    assert!(lately < 40, "{lately} attempts in the last second: {sent_by_second:?}");
}

#[test]
fn coroutines_share_a_channel_and_warm_connections_come_back() {
    ivydrift_sockets::coroutine::configure_runtime(2);
    let fine = healthy_node("fine");
    let scene = Scene::new(&[fine.addr]);
    let client = Channel::builder()
        .marshal(scene.running.listen_addr)
        .method("calendar-read", Kind::Idempotent, ms(2000))
        .config(ClientConfig { warm_connections: 1, max_queued_calls: 1000, ..ClientConfig::default() })
        .build_for_coroutines()
        .unwrap();
    wait_for("a warm connection", ms(2000), || client.connections() == 1);
    let (sender, receiver) = std::sync::mpsc::channel();
    for _ in 0..200 {
        let (client, sender) = (client.clone(), sender.clone());
        ivydrift_sockets::coroutine::spawn(move || {
            let end = client.call(Call::new("calendar-read", b"x"));
            let _ = sender.send(end.map(|answer| answer.body));
        });
    }
    for _ in 0..200 {
        let end = receiver.recv_timeout(ms(5000)).expect("every call ends");
        assert_eq!(end, Ok(b"fine".to_vec()));
    }
    assert!(client.connections() <= 4, "{} connections", client.connections());
    // The marshal stops and another starts at a new address: a warm connection to it is established without a
    // call.
    let next = Scene::new(&[fine.addr]);
    scene.running.stop();
    wait_for("the loss of the connection", ms(3000), || client.connections() == 0);
    client.set_marshals(&[(next.running.listen_addr, true)]).unwrap();
    wait_for("another connection", ms(3000), || client.connections() == 1);
}
