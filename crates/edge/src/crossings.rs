//! Race conditions inside the shell, each forced into its bad order on real connections: steps that threads
//! would rarely interleave this way run here one after the other. docs/crossings.md has the table.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

use ivydrift_marshal::{Call, Input, Order, Saw};
use ivydrift_sockets::coroutine::go;
use ivydrift_sockets::{Listener, Socket};
use ivydrift_wire::desk::{Course, News, Stage, Verdict, Vote};
use ivydrift_wire::list::{Listed, State};

use crate::clients::{self, Client};
use crate::dialect::{self, Dialect};
use crate::exchange::{Admission, Answer, Caller, Drawn, Handle, Outgoing, Pick};
use crate::guard::Attempt;
use crate::{news, platform, prepare, Edge};

/// The drain grace in the example config.
const GRACE: Duration = Duration::from_secs(1);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn edge(change: impl FnOnce(&mut ivydrift_terms::Terms), dialect: Dialect) -> (Arc<Edge>, Listener) {
    let text = ivydrift_terms::EXAMPLE.replace("127.0.0.1:7100", "127.0.0.1:0");
    let mut terms = ivydrift_terms::read("test.hcl", &text).unwrap();
    change(&mut terms);
    prepare(terms, dialect).unwrap()
}

/// A discovery entry for a node of build 1.
fn listed(node: SocketAddr, state: State) -> Listed {
    Listed {
        host: node.ip().to_string(),
        port: node.port(),
        state,
        build: 1,
        zone: "site-a".into(),
        cell: 0,
        kind: String::new(),
        power: 1.0,
        started_ms: None,
    }
}

fn native() -> (Arc<Edge>, Listener) {
    edge(|_| {}, Dialect::Native)
}

fn on_a_coroutine<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    let (tell, told) = mpsc::channel();
    go(move || {
        let _ = tell.send(work());
    });
    told.recv_timeout(ms(5000)).expect("the coroutine did not end")
}

/// A client's stream, and the marshal's end of that connection, which no coroutine serves yet.
fn pair(listener: &Listener) -> (TcpStream, Socket) {
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    stream.set_read_timeout(Some(ms(4000))).unwrap();
    loop {
        if let Some(socket) = listener.accept().unwrap() {
            return (stream, socket);
        }
        std::thread::yield_now();
    }
}

/// Waits until bytes have arrived in the marshal's socket.
fn arrived(socket: &Socket) {
    let by = Instant::now() + ms(4000);
    while socket.quiet() {
        assert!(Instant::now() < by, "no bytes arrived");
        std::thread::yield_now();
    }
}

const RPC: &str = "POST /pickup-nothing HTTP/1.1\r\nHost: m\r\nContent-Length: 0\r\n\r\n";

fn status(stream: &mut TcpStream) -> Option<u16> {
    let mut head = [0; 12];
    stream.read_exact(&mut head).ok()?;
    std::str::from_utf8(&head[9..]).ok()?.parse().ok()
}

#[test]
fn what_waits_in_the_listener_s_queue_when_closing_begins_is_served() {
    let (edge, listener) = native();
    let mut waiting: Vec<TcpStream> = (0..3)
        .map(|_| {
            let mut stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
            stream.write_all(RPC.as_bytes()).unwrap();
            stream.set_read_timeout(Some(ms(4000))).unwrap();
            stream
        })
        .collect();
    edge.stop.store(true, Ordering::SeqCst);
    edge.close.store(true, Ordering::SeqCst);
    let accepting = edge.clone();
    on_a_coroutine(move || clients::accept(&accepting, &listener));
    for stream in &mut waiting {
        assert_eq!(status(stream), Some(404), "an RPC in the listen backlog was dropped unread");
    }
}

#[test]
fn a_connection_with_an_rpc_unread_is_not_closed_as_idle_and_makes_no_room() {
    let (edge, listener) = native();
    let (mut stream, socket) = pair(&listener);
    let client = Arc::new(Client::new(socket.look()));
    let name = edge.enter(&client).unwrap();
    client.asked();
    client.rest();
    stream.write_all(RPC.as_bytes()).unwrap();
    arrived(&socket);
    // The connection's reader has not run yet.
    edge.close_idle_clients();
    assert!(!edge.make_room(&mut edge.clients.lock().unwrap()));
    assert!(
        edge.clients.lock().unwrap().contains_key(&name),
        "a connection that stays open must stay registered"
    );
    let serving = edge.clone();
    go(move || clients::serve(&serving, client, name, socket));
    assert_eq!(status(&mut stream), Some(404));
}

#[test]
fn at_a_stop_who_has_only_just_come_is_given_time_to_speak() {
    let (edge, listener) = native();
    let (_stream, socket) = pair(&listener);
    let mut new = Client::new(socket.look());
    new.came = Instant::now() + ms(10_000);
    assert!(!new.quiet(), "closed while its first bytes were in transit");
    let (_other, old) = pair(&listener);
    let mut old = Client::new(old.look());
    old.came = Instant::now() - ms(150);
    assert!(old.quiet() && old.give_up());
    drop(edge);
}

#[test]
fn mail_for_an_ended_rpc_does_not_reach_the_next_one_on_its_connection() {
    let (_edge, listener) = native();
    let (mut node, socket) = pair(&listener);
    let client = Client::new(socket.look());
    client.open(1);
    assert!(client.post(&Order::Abort { id: 1, picks: 0, why: ivydrift_marshal::Why::Failed }));
    client.shut();
    client.open(2);
    assert!(!client.post(&Order::Abort { id: 1, picks: 0, why: ivydrift_marshal::Why::Failed }));
    assert!(client.next().is_none(), "an RPC got the answer of another");
    // Nor may an order for the earlier RPC's pick cancel the new RPC's pick of the same number.
    client.begin(2, 0);
    assert!(client.hold(socket.look()));
    client.post(&Order::Sever { id: 1, pick: 0 });
    assert!(!client.severed());
    node.set_read_timeout(Some(ms(50))).unwrap();
    let seen = node.read(&mut [0]).map_err(|e| e.kind());
    assert!(matches!(seen, Err(ErrorKind::WouldBlock | ErrorKind::TimedOut)), "{seen:?}");
    client.post(&Order::Sever { id: 2, pick: 0 });
    assert!(client.severed() && matches!(node.read(&mut [0]), Ok(0)));
}

#[test]
fn a_pick_severed_before_it_began_does_not_begin() {
    let (_edge, listener) = native();
    let (_stream, socket) = pair(&listener);
    let client = Client::new(socket.look());
    client.open(1);
    client.post(&Order::Sever { id: 1, pick: 0 });
    client.begin(1, 0);
    assert!(!client.hold(socket.look()));
    client.end();
    client.begin(1, 1);
    assert!(client.hold(socket.look()), "the order must not cancel the next pick");
}

struct Nobody;

impl Caller for Nobody {
    fn draw(&mut self, _: Duration) -> Drawn {
        Drawn::Over
    }
    fn begin(&mut self, _: &Answer) -> bool {
        false
    }
    fn part(&mut self, _: &[u8]) -> bool {
        false
    }
}

#[test]
fn an_order_carried_out_late_sends_nothing_after_its_time() {
    let (edge, _listener) = native();
    let (_other, listener) = native();
    let node = listener.local_addr().unwrap();
    let saw = on_a_coroutine(move || {
        let (request, _) = ivydrift_wire::http::request(RPC.as_bytes()).unwrap().unwrap();
        let (verb, target, fields) = (request.verb, request.target, request.fields);
        let outgoing = Outgoing { verb, target, fields, body: vec![], rest: None, via: String::new() };
        let idle = Client::new(Socket::connect(node, ms(1000)).unwrap().look());
        // The pick's deadline has already passed, as it can after the process was stalled.
        let by = Instant::now();
        let (pool, dialect) = (&edge.pool, &edge.dialect);
        let admission = Attempt { edge: &edge, id: 1, node, by };
        let pick = Pick { node, by, careful: true, connect: ms(1000), pool, dialect, admission: &admission };
        pick.run(&outgoing, &idle, &mut Nobody).0
    });
    assert_eq!(saw, Saw::NotBegun);
    assert!(saw.outcome().never_ran(), "another pick of this RPC must be known to be safe");
    // The only connection is the one that the test itself opened.
    assert!(listener.accept().unwrap().is_some() && listener.accept().unwrap().is_none());
}

/// A node that is withdrawn between the decision and the first byte must receive nothing. An attempt that
/// gets through all the same counts as a violation once the drain grace is over.
#[test]
fn the_guard_withholds_what_was_decided_before_a_node_was_withdrawn() {
    let (edge, _listener) = native();
    let (_other, listener) = native();
    let node = listener.local_addr().unwrap();
    edge.tell(Input::Membership(&[listed(node, State::Ready)]), 0);
    let by = Instant::now() + ms(10_000);
    assert!(Attempt { edge: &edge, id: 1, node, by }.admit(), "an attempt at a ready node must be admitted");
    edge.tell(Input::Membership(&[listed(node, State::Draining)]), 0);
    let told = Instant::now();
    let sending = edge.clone();
    let saw = on_a_coroutine(move || {
        let (request, _) = ivydrift_wire::http::request(RPC.as_bytes()).unwrap().unwrap();
        let (verb, target, fields) = (request.verb, request.target, request.fields);
        let outgoing = Outgoing { verb, target, fields, body: vec![], rest: None, via: String::new() };
        let idle = Client::new(Socket::connect(node, ms(1000)).unwrap().look());
        let (pool, dialect) = (&sending.pool, &sending.dialect);
        let admission = Attempt { edge: &sending, id: 1, node, by };
        let pick = Pick { node, by, careful: true, connect: ms(1000), pool, dialect, admission: &admission };
        pick.run(&outgoing, &idle, &mut Nobody).0
    });
    assert_eq!((saw, edge.guard.withheld().withdrawn), (Saw::NotBegun, 1));
    // A send within the drain grace is no violation; one after it is.
    let attempt = Attempt { edge: &edge, id: 1, node, by };
    attempt.sent(told);
    assert_eq!(edge.guard.violations().sent_to_withdrawn, 0);
    std::thread::sleep(GRACE + ms(50));
    attempt.sent(Instant::now());
    assert_eq!(edge.guard.violations().sent_to_withdrawn, 1);
}

#[test]
fn a_pick_ordered_for_who_has_left_is_told_as_ended() {
    let (edge, listener) = native();
    let (_stream, socket) = pair(&listener);
    let client = Arc::new(Client::new(socket.look()));
    let node = SocketAddr::from(([127, 0, 0, 1], 9));
    edge.tell(Input::Membership(&[listed(node, State::Ready)]), 0);
    let stage = Stage { build: 1, stage: 2, course: Course::Released, cap: 1.0, age_ms: 90_000 };
    edge.tell(Input::News(&News { index: 1, stage: Some(stage), sums: vec![], disputed: vec![] }), 0);
    let call = Call {
        method: "calendar-read",
        tenant: None,
        key: None,
        tokened: false,
        left: None,
        repeated: false,
    };
    client.open(7);
    let orders = edge.begin(7, &client, Input::Rpc { id: 7, call });
    assert!(orders.iter().any(|o| matches!(o, Order::Pick { .. })), "{orders:?}");
    // The caller still holds the order when the client leaves and its coroutine ends.
    edge.tell(Input::ClientLeft { id: 7 }, 0);
    client.shut();
    edge.end(7);
    orders.into_iter().for_each(|order| edge.post(7, order));
    assert_eq!(edge.counts().held, 0, "the pick counts as in flight for ever, and shutdown waits for it");
}

#[test]
fn of_a_place_that_was_left_nothing_is_told_after_the_move() {
    let (edge, _listener) = native();
    let moving = edge.clone();
    let (tell, told) = mpsc::channel();
    let within = edge.unless_moved(0, || {
        let thread = std::thread::spawn(move || {
            moving.leave_places(|| {});
            let _ = tell.send(());
        });
        let early = told.recv_timeout(ms(100)).is_ok();
        (thread, early)
    });
    let (thread, early) = within.expect("nothing has moved yet");
    thread.join().unwrap();
    assert!(!early, "the move came between the check and the event");
    assert!(edge.unless_moved(0, || ()).is_none());
}

fn on_platform(desk: SocketAddr) -> Arc<Edge> {
    let platform = Dialect::Platform(dialect::Platform::default());
    edge(|terms| terms.places.release_desk = desk, platform).0
}

fn line(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(ms(4000))).unwrap();
    let (mut text, mut byte) = (Vec::new(), [0]);
    while !text.ends_with(b"\r\n") && stream.read(&mut byte).is_ok_and(|n| n == 1) {
        text.push(byte[0]);
    }
    String::from_utf8(text).unwrap()
}

#[test]
fn a_vote_waits_for_the_one_that_is_out_and_only_the_last_that_waits_is_cast() {
    let desk = TcpListener::bind("127.0.0.1:0").unwrap();
    let edge = on_platform(desk.local_addr().unwrap());
    edge.live.lock().unwrap().vote_wait = ms(4000);
    for verdict in [Verdict::On, Verdict::Hold, Verdict::Back] {
        news::vote(&edge, Vote { marshal: 0, verdict, stage: 1, build: 42 });
    }
    let (mut first, _) = desk.accept().unwrap();
    assert_eq!(line(&mut first), "judge 42 1 on\r\n");
    // The controller could count a second vote before the first.
    desk.set_nonblocking(true).unwrap();
    std::thread::sleep(ms(100));
    assert!(desk.accept().is_err(), "two votes are in flight at once");
    desk.set_nonblocking(false).unwrap();
    first.write_all(b"OK 42 1 testing 0.28 310\r\n").unwrap();
    let (mut last, _) = desk.accept().unwrap();
    assert_eq!(line(&mut last), "judge 42 1 back\r\n");
    last.write_all(b"ERR moot\r\n").unwrap();
}

#[test]
fn who_would_follow_a_desk_that_has_moved_on_follows_nobody() {
    let desk = TcpListener::bind("127.0.0.1:0").unwrap();
    let edge = on_platform(desk.local_addr().unwrap());
    // Both moves happen before the coroutine of the first one begins.
    edge.leave_places(|| {});
    edge.leave_places(|| {});
    platform::follow_desk(&edge, 1, desk.local_addr().unwrap());
    desk.set_nonblocking(true).unwrap();
    std::thread::sleep(ms(100));
    assert!(desk.accept().is_err(), "events from the controller would be counted twice");
    desk.set_nonblocking(false).unwrap();
    news::follow_desk(&edge);
    assert_eq!(line(&mut desk.accept().unwrap().0), "follow\r\n");
    edge.leave_places(|| {});
}

#[test]
fn a_marshal_started_while_the_one_before_it_still_listens_waits_for_the_address() {
    let before = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = before.local_addr().unwrap();
    let (tell, told) = mpsc::channel();
    let starting = std::thread::spawn(move || {
        let _ = tell.send(());
        crate::listen(addr).map(|_| ()).map_err(|e| e.kind())
    });
    told.recv().unwrap();
    std::thread::sleep(ms(100));
    assert!(!starting.is_finished(), "binding was not retried");
    drop(before);
    assert_eq!(starting.join().unwrap(), Ok(()));
}
