//! Race conditions inside the shell, each forced into its bad order on real connections: steps that threads
//! would rarely interleave this way run here one after the other. docs/crossings.md has the table.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

use ivydrift_marshal::{Call, Command, Input, Observation};
use ivydrift_policy::admission::Need;
use ivydrift_sockets::coroutine::spawn;
use ivydrift_sockets::{Listener, Socket};
use ivydrift_wire::controller::{RolloutState, RolloutUpdate, Stage, Verdict, Vote};
use ivydrift_wire::list::{ListedNode, State};

use crate::clients::{self, Client};
use crate::dialect::{self, Dialect};
use crate::exchange::{Admission, Answer, BodyRead, Caller, OutgoingRequest, Pick, PickHandle};
use crate::guard::Attempt;
use crate::{platform, set_up, watch, Edge};

/// The drain grace in the example config.
const GRACE: Duration = Duration::from_secs(1);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn edge(change: impl FnOnce(&mut ivydrift_terms::Config), dialect: Dialect) -> (Arc<Edge>, Listener) {
    let text = ivydrift_terms::EXAMPLE.replace("127.0.0.1:7100", "127.0.0.1:0");
    let mut config = ivydrift_terms::parse("test.hcl", &text).unwrap();
    change(&mut config);
    set_up(config, dialect).unwrap()
}

/// A discovery entry for a node of build 1.
fn listed(node: SocketAddr, state: State) -> ListedNode {
    ListedNode {
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

pub(crate) fn native() -> (Arc<Edge>, Listener) {
    edge(|_| {}, Dialect::Native)
}

fn run_on_coroutine<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    let (tx, rx) = mpsc::channel();
    spawn(move || {
        let _ = tx.send(work());
    });
    rx.recv_timeout(ms(5000)).expect("the coroutine did not end")
}

/// A client's stream, and the marshal's end of that connection, which no coroutine serves yet.
pub(crate) fn accepted_pair(listener: &Listener) -> (TcpStream, Socket) {
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
fn wait_for_bytes(socket: &Socket) {
    let deadline = Instant::now() + ms(4000);
    while socket.is_idle() {
        assert!(Instant::now() < deadline, "no bytes arrived");
        std::thread::yield_now();
    }
}

const RPC: &str = "POST /pickup-nothing HTTP/1.1\r\nHost: m\r\nContent-Length: 0\r\n\r\n";

fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut head = [0; 12];
    stream.read_exact(&mut head).ok()?;
    std::str::from_utf8(&head[9..]).ok()?.parse().ok()
}

#[test]
fn connections_in_the_listen_backlog_are_served_when_shutdown_begins() {
    let (edge, listener) = native();
    let mut waiting: Vec<TcpStream> = (0..3)
        .map(|_| {
            let mut stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
            stream.write_all(RPC.as_bytes()).unwrap();
            stream.set_read_timeout(Some(ms(4000))).unwrap();
            stream
        })
        .collect();
    edge.shutdown_begun.store(true, Ordering::SeqCst);
    edge.closing.store(true, Ordering::SeqCst);
    let accepting = edge.clone();
    run_on_coroutine(move || clients::accept(&accepting, &listener));
    for stream in &mut waiting {
        assert_eq!(read_status(stream), Some(404), "an RPC in the listen backlog was dropped unread");
    }
}

#[test]
fn a_connection_with_an_unread_rpc_is_neither_closed_as_idle_nor_evicted() {
    let (edge, listener) = native();
    let (mut stream, socket) = accepted_pair(&listener);
    let client = Arc::new(Client::new(socket.handle()));
    let client_id = edge.register(&client).unwrap();
    client.complete_message();
    client.mark_idle();
    stream.write_all(RPC.as_bytes()).unwrap();
    wait_for_bytes(&socket);
    // The connection's reader has not run yet.
    edge.close_idle_clients();
    assert!(!edge.evict_client(&mut edge.clients.lock().unwrap(), Need::Slot { crowded: true }));
    assert!(
        edge.clients.lock().unwrap().contains_key(&client_id),
        "a connection that stays open must stay registered"
    );
    let serving = edge.clone();
    spawn(move || clients::serve(&serving, client, client_id, socket));
    assert_eq!(read_status(&mut stream), Some(404));
}

#[test]
fn a_just_accepted_connection_gets_time_for_its_first_bytes_at_shutdown() {
    let (edge, listener) = native();
    let (_stream, socket) = accepted_pair(&listener);
    let mut new = Client::new(socket.handle());
    new.accepted_at = Instant::now() + ms(10_000);
    assert!(!new.is_silent(), "closed while its first bytes were in transit");
    let (_other, old) = accepted_pair(&listener);
    let mut old = Client::new(old.handle());
    old.accepted_at = Instant::now() - ms(150);
    assert!(old.is_silent() && old.evict());
    drop(edge);
}

#[test]
fn an_order_for_an_ended_rpc_does_not_reach_the_next_one_on_its_connection() {
    let (_edge, listener) = native();
    let (mut node, socket) = accepted_pair(&listener);
    let client = Client::new(socket.handle());
    client.open_mailbox(1);
    assert!(client.post(&Command::Abort { id: 1, picks: 0, why: ivydrift_marshal::FailureReason::Failed }));
    client.close_mailbox();
    client.open_mailbox(2);
    assert!(!client.post(&Command::Abort { id: 1, picks: 0, why: ivydrift_marshal::FailureReason::Failed }));
    assert!(client.next_mail().is_none(), "an RPC got the answer of another");
    // Nor may a command for the earlier RPC's pick cancel the new RPC's pick of the same number.
    client.begin_pick(2, 0);
    assert!(client.attach(socket.handle()));
    client.post(&Command::Sever { id: 1, pick: 0 });
    assert!(!client.is_cancelled());
    node.set_read_timeout(Some(ms(50))).unwrap();
    let seen = node.read(&mut [0]).map_err(|e| e.kind());
    assert!(matches!(seen, Err(ErrorKind::WouldBlock | ErrorKind::TimedOut)), "{seen:?}");
    client.post(&Command::Sever { id: 2, pick: 0 });
    assert!(client.is_cancelled() && matches!(node.read(&mut [0]), Ok(0)));
}

#[test]
fn a_pick_cancelled_before_it_begins_is_not_sent() {
    let (_edge, listener) = native();
    let (_stream, socket) = accepted_pair(&listener);
    let client = Client::new(socket.handle());
    client.open_mailbox(1);
    client.post(&Command::Sever { id: 1, pick: 0 });
    client.begin_pick(1, 0);
    assert!(!client.attach(socket.handle()));
    client.end_pick();
    client.begin_pick(1, 1);
    assert!(client.attach(socket.handle()), "the command must not cancel the next pick");
}

struct DisconnectedCaller;

impl Caller for DisconnectedCaller {
    fn read_body(&mut self, _: Duration) -> BodyRead {
        BodyRead::Failed
    }
    fn hold_answer(&mut self, _: usize) -> bool {
        true
    }
    fn begin_answer(&mut self, _: &Answer) -> bool {
        false
    }
    fn send_part(&mut self, _: &[u8]) -> bool {
        false
    }
}

#[test]
fn a_pick_whose_deadline_has_passed_sends_nothing() {
    let (edge, _listener) = native();
    let (_other, listener) = native();
    let node = listener.local_addr().unwrap();
    let observation = run_on_coroutine(move || {
        let (request, _) = ivydrift_wire::http::parse_request(RPC.as_bytes()).unwrap().unwrap();
        let (http_method, target, fields) = (request.http_method, request.target, request.fields);
        let outgoing = OutgoingRequest {
            http_method,
            target,
            fields,
            body: vec![],
            rest_framing: None,
            via: String::new(),
        };
        let socket = Socket::connect(node, ms(1000)).unwrap();
        let idle = Client::new(socket.handle());
        // The pick's deadline has already passed, as it can after the process was stalled.
        let deadline = Instant::now();
        let (pool, dialect) = (&edge.pool, &edge.dialect);
        let admission = Attempt { edge: &edge, client: &idle, id: 1, node, deadline };
        let pick = Pick {
            node,
            deadline,
            careful: true,
            connect_timeout: ms(1000),
            pool,
            dialect,
            admission: &admission,
        };
        pick.run(&outgoing, &idle, &mut DisconnectedCaller).0
    });
    assert_eq!(observation, Observation::NotAttempted);
    assert!(observation.outcome().never_ran(), "another pick of this RPC must be known to be safe");
    // The only connection is the one that the test itself opened.
    assert!(listener.accept().unwrap().is_some() && listener.accept().unwrap().is_none());
}

/// A node that is withdrawn between the decision and the first byte must receive nothing. An attempt that
/// gets through all the same counts as a violation once the drain grace is over.
#[test]
fn the_guard_withholds_an_attempt_decided_before_its_node_was_withdrawn() {
    let (edge, _listener) = native();
    let (_other, listener) = native();
    let node = listener.local_addr().unwrap();
    edge.dispatch(Input::NodeList(&[listed(node, State::Ready)]), 0);
    let deadline = Instant::now() + ms(10_000);
    let (_stream, socket) = accepted_pair(&listener);
    let client = Client::new(socket.handle());
    assert!(
        Attempt { edge: &edge, client: &client, id: 1, node, deadline }.admit(Instant::now()),
        "an attempt at a ready node must be admitted"
    );
    edge.dispatch(Input::NodeList(&[listed(node, State::Draining)]), 0);
    let withdrawn_at = Instant::now();
    let sending = edge.clone();
    let observation = run_on_coroutine(move || {
        let (request, _) = ivydrift_wire::http::parse_request(RPC.as_bytes()).unwrap().unwrap();
        let (http_method, target, fields) = (request.http_method, request.target, request.fields);
        let outgoing = OutgoingRequest {
            http_method,
            target,
            fields,
            body: vec![],
            rest_framing: None,
            via: String::new(),
        };
        let socket = Socket::connect(node, ms(1000)).unwrap();
        let idle = Client::new(socket.handle());
        let (pool, dialect) = (&sending.pool, &sending.dialect);
        let admission = Attempt { edge: &sending, client: &idle, id: 1, node, deadline };
        let pick = Pick {
            node,
            deadline,
            careful: true,
            connect_timeout: ms(1000),
            pool,
            dialect,
            admission: &admission,
        };
        pick.run(&outgoing, &idle, &mut DisconnectedCaller).0
    });
    assert_eq!((observation, edge.guard.withheld().withdrawn), (Observation::NotAttempted, 1));
    // A send within the drain grace is no violation; one after it is.
    let attempt = Attempt { edge: &edge, client: &client, id: 1, node, deadline };
    attempt.sent(withdrawn_at);
    assert_eq!(edge.guard.violations().sent_to_withdrawn, 0);
    std::thread::sleep(GRACE + ms(50));
    attempt.sent(Instant::now());
    assert_eq!(edge.guard.violations().sent_to_withdrawn, 1);
}

#[test]
fn a_pick_ordered_for_a_client_that_has_left_is_reported_as_ended() {
    let (edge, listener) = native();
    let (_stream, socket) = accepted_pair(&listener);
    let client = Arc::new(Client::new(socket.handle()));
    let node = SocketAddr::from(([127, 0, 0, 1], 9));
    edge.dispatch(Input::NodeList(&[listed(node, State::Ready)]), 0);
    let stage = Stage { build: 1, stage: 2, course: RolloutState::Released, cap: 1.0, age_ms: 90_000 };
    edge.dispatch(
        Input::RolloutUpdate(&RolloutUpdate { index: 1, stage: Some(stage), sums: vec![], disputed: vec![] }),
        0,
    );
    let call = Call {
        method: "calendar-read",
        tenant: None,
        key: None,
        has_idempotency_key: false,
        time_left: None,
        is_retry: false,
    };
    client.open_mailbox(7);
    let commands = edge.begin_rpc(7, &client, Input::Rpc { id: 7, call });
    assert!(commands.iter().any(|o| matches!(o, Command::Pick { .. })), "{commands:?}");
    // The caller still holds the command when the client leaves and its coroutine ends.
    edge.dispatch(Input::ClientLeft { id: 7 }, 0);
    client.close_mailbox();
    edge.end_rpc(7);
    commands.into_iter().for_each(|command| edge.post(7, command));
    assert_eq!(edge.counts().held, 0, "the pick counts as in flight for ever, and shutdown waits for it");
}

#[test]
fn nothing_from_an_earlier_address_is_passed_on_after_a_move() {
    let (edge, _listener) = native();
    let moving = edge.clone();
    let (tx, rx) = mpsc::channel();
    let outcome = edge.if_addresses_unchanged(0, || {
        let thread = std::thread::spawn(move || {
            moving.change_addresses(|| {});
            let _ = tx.send(());
        });
        let early = rx.recv_timeout(ms(100)).is_ok();
        (thread, early)
    });
    let (thread, early) = outcome.expect("nothing has moved yet");
    thread.join().unwrap();
    assert!(!early, "the move came between the check and the event");
    assert!(edge.if_addresses_unchanged(0, || ()).is_none());
}

fn on_platform(controller_addr: SocketAddr) -> Arc<Edge> {
    let platform = Dialect::Platform(dialect::Platform::default());
    edge(|config| config.addresses.rollout_controller = controller_addr, platform).0
}

fn read_line(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(ms(4000))).unwrap();
    let (mut text, mut byte) = (Vec::new(), [0]);
    while !text.ends_with(b"\r\n") && stream.read(&mut byte).is_ok_and(|n| n == 1) {
        text.push(byte[0]);
    }
    String::from_utf8(text).unwrap()
}

#[test]
fn a_vote_waits_for_the_one_in_flight_and_only_the_last_waiting_vote_is_cast() {
    let controller = TcpListener::bind("127.0.0.1:0").unwrap();
    let edge = on_platform(controller.local_addr().unwrap());
    edge.settings.lock().unwrap().vote_wait = ms(4000);
    for verdict in [Verdict::On, Verdict::Hold, Verdict::Back] {
        watch::cast_home_vote(&edge, Vote { marshal: 0, verdict, stage: 1, build: 42 });
    }
    let (mut first, _) = controller.accept().unwrap();
    assert_eq!(read_line(&mut first), "judge 42 1 on\r\n");
    // The controller could count a second vote before the first.
    controller.set_nonblocking(true).unwrap();
    std::thread::sleep(ms(100));
    assert!(controller.accept().is_err(), "two votes are in flight at once");
    controller.set_nonblocking(false).unwrap();
    first.write_all(b"OK 42 1 testing 0.28 310\r\n").unwrap();
    let (mut last, _) = controller.accept().unwrap();
    assert_eq!(read_line(&mut last), "judge 42 1 back\r\n");
    last.write_all(b"ERR moot\r\n").unwrap();
}

#[test]
fn a_watch_of_a_controller_that_has_moved_again_connects_to_nothing() {
    let controller = TcpListener::bind("127.0.0.1:0").unwrap();
    let edge = on_platform(controller.local_addr().unwrap());
    // Both moves happen before the coroutine of the first one begins.
    edge.change_addresses(|| {});
    edge.change_addresses(|| {});
    platform::watch_controller(&edge, 1, controller.local_addr().unwrap());
    controller.set_nonblocking(true).unwrap();
    std::thread::sleep(ms(100));
    assert!(controller.accept().is_err(), "events from the controller would be counted twice");
    controller.set_nonblocking(false).unwrap();
    watch::watch_home_controller(&edge);
    assert_eq!(read_line(&mut controller.accept().unwrap().0), "follow\r\n");
    edge.change_addresses(|| {});
}

#[test]
fn a_marshal_waits_for_an_address_on_which_an_earlier_one_still_listens() {
    let earlier = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = earlier.local_addr().unwrap();
    let (tx, rx) = mpsc::channel();
    let starting = std::thread::spawn(move || {
        let _ = tx.send(());
        crate::listen(addr).map(|_| ()).map_err(|e| e.kind())
    });
    rx.recv().unwrap();
    std::thread::sleep(ms(100));
    assert!(!starting.is_finished(), "binding was not retried");
    drop(earlier);
    assert_eq!(starting.join().unwrap(), Ok(()));
}
