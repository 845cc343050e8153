//! Reads end at their deadline, however short the remaining time is, and at a shutdown of the connection.

use std::io::ErrorKind;
use std::net::TcpListener;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use ivydrift_sockets::coroutine::{configure_runtime, spawn};
use ivydrift_sockets::Socket;

#[test]
fn a_read_with_less_than_a_millisecond_left_times_out() {
    configure_runtime(2);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    for left in [1, 200, 600, 999, 1000, 1001, 2500].map(Duration::from_micros) {
        let (tx, rx) = mpsc::channel();
        spawn(move || {
            let mut socket = Socket::connect(addr, Duration::from_secs(1)).unwrap();
            let began = Instant::now();
            let read = socket.read(&mut [0; 16], Some(began + left));
            let _ = tx.send((read.map_err(|e| e.kind()), began.elapsed()));
        });
        let (read, took) = rx.recv_timeout(Duration::from_secs(3)).expect("the read did not end");
        assert_eq!(read, Err(ErrorKind::TimedOut));
        assert!(took >= left, "timed out after {took:?} instead of {left:?}");
    }
}

/// Bytes that arrive around a shutdown count as not accepted, whatever wakes the reader.
#[test]
fn bytes_are_not_read_after_a_shutdown() {
    use std::io::Write;
    configure_runtime(2);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (tx, rx) = mpsc::channel();
    let (unused_tx, unused_rx) = mpsc::channel::<()>();
    spawn(move || {
        let mut socket = Socket::connect(addr, Duration::from_secs(1)).unwrap();
        let _ = tx.send(Err(()));
        ivydrift_sockets::coroutine::sleep(Duration::from_millis(100));
        drop(unused_rx);
        // The bytes have arrived; the connection is shut down before they are read.
        socket.shutdown();
        let read = socket.read(&mut [0; 16], Some(Instant::now() + Duration::from_secs(1)));
        let _ = tx.send(Ok(read.map_err(|e| e.kind())));
    });
    let (mut peer, _) = listener.accept().unwrap();
    assert_eq!(rx.recv_timeout(Duration::from_secs(3)).unwrap(), Err(()));
    peer.write_all(b"GET / HTTP/1.1\r\n").unwrap();
    let _ = unused_tx;
    assert_eq!(rx.recv_timeout(Duration::from_secs(3)).unwrap(), Ok(Ok(0)));
}
