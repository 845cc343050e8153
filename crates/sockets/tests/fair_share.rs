//! A peer that always has bytes ready gets a share of the only worker, and its deadline holds.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ivydrift_sockets::coroutine::{configure_runtime, sleep, spawn};
use ivydrift_sockets::{Listener, Socket};

/// Waits until no other test of this process uses the worker.
fn run_alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How long the flood of each test lasts.
const FLOOD: Duration = Duration::from_secs(2);
/// The longest wait of the other coroutines meanwhile: an answer that comes half a second late is lost. A flood
/// that keeps the worker makes them wait for as long as it lasts.
const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// Writes to each connection at full speed until it fails. Returns the address to connect to.
fn flooding_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || while stream.write_all(&[b'x'; 1 << 16]).is_ok() {});
        }
    });
    addr
}

/// Work of a coroutine for each of its operations: its peer is quicker.
const WORK: Duration = Duration::from_micros(200);
/// The same for an accept: a full backlog takes a second, and clients that find it full come again only later.
const ACCEPT_WORK: Duration = Duration::from_millis(1);

/// Keeps the worker busy, as the handling of what was read does.
fn work(span: Duration) {
    let began = Instant::now();
    while began.elapsed() < span {
        std::hint::spin_loop();
    }
}

/// Sends each byte back. Returns the address to connect to.
fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut byte = [0];
                while std::io::Read::read_exact(&mut stream, &mut byte).is_ok() {
                    let _ = stream.write_all(&byte);
                }
            });
        }
    });
    addr
}

/// Reads one byte after the other from an echo until `until`. Returns the longest wait for one, and how many
/// there were.
fn echo_until(echo: SocketAddr, until: Instant) -> (Duration, usize) {
    let mut socket = Socket::connect(echo, Duration::from_secs(5)).unwrap();
    let (mut longest, mut count) = (Duration::ZERO, 0);
    while Instant::now() < until {
        let began = Instant::now();
        socket.write(b"x", began + Duration::from_secs(5)).unwrap();
        socket.read(&mut [0; 1], Some(began + Duration::from_secs(5))).unwrap();
        longest = longest.max(began.elapsed());
        count += 1;
        sleep(Duration::from_millis(2));
    }
    (longest, count)
}

/// Guards against a peer at full speed that keeps the worker, with its timers and all other sockets.
#[test]
fn peers_that_always_have_bytes_ready_leave_the_worker_to_others() {
    let _alone = run_alone();
    configure_runtime(1);
    let (flood, echo) = (flooding_server(), echo_server());
    for peers in [1, 30] {
        let (until, bytes) = (Instant::now() + FLOOD, Arc::new(AtomicUsize::new(0)));
        for _ in 0..peers {
            let bytes = bytes.clone();
            spawn(move || {
                let mut socket = Socket::connect(flood, Duration::from_secs(5)).unwrap();
                let mut buf = [0; 4096];
                while Instant::now() < until {
                    match socket.read(&mut buf, None) {
                        Ok(n) => _ = bytes.fetch_add(n, Ordering::Relaxed),
                        Err(_) => break,
                    }
                    work(WORK);
                }
            });
        }
        let (tx, rx) = mpsc::channel();
        spawn(move || _ = tx.send(echo_until(echo, until)));
        let (longest, count) = rx.recv_timeout(FLOOD * 10).expect("the echo did not end");
        assert!(longest < LONGEST_WAIT, "{peers} peers: an echo took {longest:?}");
        assert!(count > 20, "{peers} peers: {count} echoes");
        let read = bytes.load(Ordering::Relaxed);
        assert!(read > 1 << 19, "{peers} peers: they were starved, {read} bytes were read");
    }
}

/// Guards against a deadline that is looked at only where no byte is ready.
#[test]
fn the_deadline_of_a_message_ends_it_although_bytes_are_always_ready() {
    let _alone = run_alone();
    configure_runtime(1);
    let flood = flooding_server();
    let (tx, rx) = mpsc::channel();
    spawn(move || {
        let mut socket = Socket::connect(flood, Duration::from_secs(5)).unwrap();
        let (began, mut buf) = (Instant::now(), [0; 4096]);
        let deadline = began + Duration::from_millis(200);
        let end = loop {
            match socket.read(&mut buf, Some(deadline)) {
                Ok(n) if n > 0 && began.elapsed() < FLOOD => work(WORK),
                end => break end,
            }
        };
        let _ = tx.send((end.map_err(|e| e.kind()), began.elapsed()));
    });
    let (end, took) = rx.recv_timeout(FLOOD * 10).expect("the message did not end");
    assert_eq!(end, Err(ErrorKind::TimedOut));
    assert!(took < Duration::from_millis(200) + LONGEST_WAIT, "ended after {took:?}");
}

/// Guards against a loop of accepts that keeps the worker while clients connect at full speed.
#[test]
fn clients_that_connect_at_full_speed_leave_the_worker_to_others() {
    let _alone = run_alone();
    configure_runtime(1);
    let echo = echo_server();
    let listener = Listener::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = listener.local_addr().unwrap();
    let ends = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let ends = ends.clone();
            std::thread::spawn(
                move || while !ends.load(Ordering::Relaxed) && TcpStream::connect(addr).is_ok() {},
            )
        })
        .collect();
    let (until, accepted) = (Instant::now() + FLOOD, Arc::new(AtomicUsize::new(0)));
    let count = accepted.clone();
    spawn(move || {
        while Instant::now() < until {
            match listener.accept() {
                Ok(Some(_)) => {
                    count.fetch_add(1, Ordering::Relaxed);
                    work(ACCEPT_WORK);
                }
                Ok(None) => listener.wait(),
                Err(_) => sleep(Duration::from_millis(1)),
            }
        }
    });
    let (tx, rx) = mpsc::channel();
    spawn(move || _ = tx.send(echo_until(echo, until)));
    let (longest, _) = rx.recv_timeout(FLOOD * 10).expect("the echo did not end");
    ends.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    assert!(longest < LONGEST_WAIT, "an echo took {longest:?}");
    assert!(accepted.load(Ordering::Relaxed) > 500, "{accepted:?} connections were accepted");
}
