use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use super::client::Client;
use crate::races::{accepted_pair, native};
use crate::Edge;
use ivydrift_policy::admission::{closing_rank, ClosingRank, MemoryUse, Need, MAX_READ_AHEAD_BYTES};
use ivydrift_policy::presence::{AttemptDecision, Presence, PRESENCE_VALID_FOR};
use ivydrift_sockets::coroutine::spawn;
use ivydrift_sockets::Socket;

/// Rank of a connection when it is closed to free a slot.
fn rank(client: &Client) -> Option<ClosingRank> {
    client.phase().and_then(|(phase, waited)| closing_rank(Need::Slot { crowded: true }, phase, waited))
}

#[test]
fn an_evicted_connection_processes_no_message_and_a_busy_one_is_not_evicted() {
    ivydrift_sockets::coroutine::configure_runtime(2);
    let (tx, rx) = std::sync::mpsc::channel();
    spawn(move || {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let to = listener.local_addr().unwrap();
        let sockets = [0; 3].map(|_| Socket::connect(to, Duration::from_secs(1)).unwrap());
        let [new, busy, idle] = sockets.each_ref().map(|socket| Client::new(socket.handle()));
        let _ = tx.send(("new", new.evict() && !new.begin_message() && !new.complete_message()));
        let _ = tx.send(("busy", busy.complete_message() && !busy.evict() && rank(&busy).is_none()));
        idle.complete_message();
        idle.mark_idle();
        let _ = tx.send(("idle", rank(&idle).is_some() && idle.evict() && !idle.begin_message()));
        let _ = tx.send(("idle, asked", !idle.complete_message()));
    });
    for case in ["new", "busy", "idle", "idle, asked"] {
        assert_eq!(rx.recv_timeout(Duration::from_secs(5)), Ok((case, true)));
    }
}

/// Sends numbered bytes for as long as the sockets' buffers take them. Returns how many.
fn fill(stream: &mut TcpStream) -> usize {
    stream.set_nonblocking(true).unwrap();
    let mut sent = 0;
    loop {
        let part: Vec<u8> = (sent..sent + 1024).map(numbered_byte).collect();
        match stream.write(&part) {
            Ok(n) => sent += n,
            Err(e) if e.kind() == ErrorKind::WouldBlock => return sent,
            Err(e) => panic!("{e}"),
        }
    }
}

fn numbered_byte(number: usize) -> u8 {
    (number % 251) as u8
}

/// Looks until the client's presence is the expected one.
fn expect_presence(edge: &Edge, client: &Client, expected: Presence) {
    let deadline = Instant::now() + Duration::from_secs(2);
    while edge.look_for(client) != expected && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(edge.look_for(client), expected);
}

#[test]
fn read_ahead_keeps_to_its_limit_and_its_order_and_releases_what_it_held() {
    let (edge, listener) = native();
    let (mut stream, socket) = accepted_pair(&listener);
    let client = Client::new(socket.handle());
    let held_before = edge.peer_memory.stats().held;
    client.open_read_ahead(true);
    let sent = fill(&mut stream);
    assert!(sent > MAX_READ_AHEAD_BYTES, "{sent}");
    expect_presence(&edge, &client, Presence::Unknown);
    assert_eq!(edge.peer_memory.stats().held - held_before, MAX_READ_AHEAD_BYTES);
    std::thread::sleep(PRESENCE_VALID_FOR);
    assert_eq!(edge.decide_attempt(1, &client, Instant::now()), AttemptDecision::Refuse);
    assert!(client.close_read_ahead() > 0);
    let mut received = Vec::new();
    while let Some(block) = edge.take_read_ahead(&client) {
        received.extend(block);
    }
    assert_eq!(received.len(), MAX_READ_AHEAD_BYTES);
    assert!(received.iter().enumerate().all(|(number, byte)| *byte == numbered_byte(number)));
    assert_eq!(edge.peer_memory.stats().held, held_before);
    // Nothing is read for a coroutine that reads itself.
    assert_eq!(edge.look_for(&client), Presence::Present);
    assert_eq!(edge.peer_memory.stats().held, held_before);
}

#[test]
fn without_memory_to_read_ahead_a_client_s_presence_is_unknown() {
    let (edge, listener) = native();
    let (mut stream, socket) = accepted_pair(&listener);
    let client = Client::new(socket.handle());
    let limit = 64 * 1024;
    edge.peer_memory.set_limit(limit);
    client.open_read_ahead(true);
    fill(&mut stream);
    expect_presence(&edge, &client, Presence::Unknown);
    assert!(edge.peer_memory.stats().held <= MemoryUse::ReadAhead.bound(limit));
    edge.discard_read_ahead(&client);
    assert_eq!(edge.peer_memory.stats().held, 0);
}

#[test]
fn a_client_that_has_left_gets_no_attempt_and_one_that_stays_does() {
    let (edge, listener) = native();
    let (mut stream, socket) = accepted_pair(&listener);
    let client = Client::new(socket.handle());
    client.open_read_ahead(true);
    std::thread::sleep(PRESENCE_VALID_FOR);
    assert_eq!(edge.decide_attempt(1, &client, Instant::now()), AttemptDecision::Begin);
    stream.write_all(b"more").unwrap();
    std::thread::sleep(PRESENCE_VALID_FOR);
    assert_eq!(edge.decide_attempt(1, &client, Instant::now()), AttemptDecision::Begin);
    drop(stream);
    expect_presence(&edge, &client, Presence::Gone);
    std::thread::sleep(PRESENCE_VALID_FOR);
    assert_eq!(edge.decide_attempt(1, &client, Instant::now()), AttemptDecision::Drop);
    assert_eq!(edge.guard.withheld().departed_client, 1);
    edge.discard_read_ahead(&client);
}
