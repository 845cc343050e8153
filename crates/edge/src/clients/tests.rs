use std::time::Duration;

use super::client::Client;
use ivydrift_policy::admission::{closing_rank, ClosingRank, Need};
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
