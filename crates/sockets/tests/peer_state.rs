//! What a connection knows of its peer, whatever is unread.

use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use ivydrift_sockets::coroutine::{configure_runtime, spawn};
use ivydrift_sockets::{PeerState, Socket};

/// A connection: our side and the peer's.
fn connection() -> (Socket, TcpStream) {
    configure_runtime(2);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (tx, rx) = mpsc::channel();
    spawn(move || drop(tx.send(Socket::connect(addr, Duration::from_secs(1)).unwrap())));
    let (peer, _) = listener.accept().unwrap();
    (rx.recv_timeout(Duration::from_secs(3)).unwrap(), peer)
}

/// Waits until the state is the expected one.
fn expect(socket: &Socket, expected: PeerState) {
    let deadline = Instant::now() + Duration::from_secs(2);
    while socket.handle().peer_state() != expected && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(socket.handle().peer_state(), expected);
}

#[test]
fn a_peer_that_is_connected_is_quiet_or_has_sent_something() {
    let (socket, mut peer) = connection();
    expect(&socket, PeerState::Quiet);
    peer.write_all(b"x").unwrap();
    expect(&socket, PeerState::Unread);
    assert!(!socket.peer_closed());
}

#[test]
fn a_close_a_reset_and_the_end_of_sending_are_seen_behind_unread_bytes() {
    for unread in [0, 1, 20_000] {
        let sent = vec![b'x'; unread];
        let (socket, mut peer) = connection();
        peer.write_all(&sent).unwrap();
        drop(peer);
        expect(&socket, PeerState::Closed);

        let (socket, mut peer) = connection();
        peer.write_all(&sent).unwrap();
        socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).unwrap();
        drop(peer);
        expect(&socket, PeerState::Closed);

        let (socket, mut peer) = connection();
        peer.write_all(&sent).unwrap();
        peer.shutdown(Shutdown::Write).unwrap();
        expect(&socket, PeerState::Closed);
    }
}

#[test]
fn a_connection_that_its_owner_has_closed_counts_as_closed() {
    let (socket, _peer) = connection();
    let handle = socket.handle();
    drop(socket);
    assert_eq!(handle.peer_state(), PeerState::Closed);
}
