use std::net::TcpListener;
use std::sync::mpsc;

use super::*;
use ivydrift_sockets::coroutine::{configure_runtime, spawn};

fn run_on_coroutine<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    configure_runtime(2);
    let (tx, rx) = mpsc::channel();
    spawn(move || {
        let _ = tx.send(work());
    });
    rx.recv_timeout(Duration::from_secs(5)).unwrap()
}

/// A listening node that never closes its connections, and a connection to it.
fn connected() -> (TcpListener, SocketAddr, Socket) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = listener.local_addr().unwrap();
    let socket = Socket::connect(node, Duration::from_secs(1)).unwrap();
    (listener, node, socket)
}

const SETTLED: Duration = Duration::from_millis(20);

fn pool(max_per_node: usize, max_total: usize, idle_timeout: Duration) -> Pool {
    let limits = Limits::by_process(256, None, 1, Duration::ZERO);
    Pool::new(
        &Limits {
            max_idle_per_node: max_per_node,
            max_idle_total: max_total,
            reuse_delay: SETTLED,
            ..limits
        },
        idle_timeout,
    )
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn total_idle_connections_are_bounded_and_the_longest_idle_is_evicted() {
    let seen = run_on_coroutine(|| {
        let pool = pool(2, 3, Duration::from_secs(9));
        let (now, all) = (Instant::now(), [0; 4].map(|_| connected()));
        let nodes = all.each_ref().map(|a| a.1);
        let mut listeners = Vec::new();
        for (i, (listener, node, socket)) in all.into_iter().enumerate() {
            listeners.push(listener);
            pool.put(node, socket, now, now + ms(i as u64));
        }
        (pool.len(), nodes.map(|node| pool.take(node, false, now + 2 * SETTLED).is_some()))
    });
    assert_eq!(seen, (3, [false, true, true, true]));
}

#[test]
fn a_connection_is_not_reused_before_it_has_settled() {
    let seen = run_on_coroutine(|| {
        let pool = pool(4, 9, Duration::from_secs(9));
        let (_listener, node, socket) = connected();
        let now = Instant::now();
        pool.put(node, socket, now, now);
        let early = pool.take(node, false, now + SETTLED - ms(1)).is_some();
        (early, pool.take(node, false, now + SETTLED).is_some())
    });
    assert_eq!(seen, (false, true), "a late second answer would be read as the answer to the next RPC");
}

#[test]
fn a_connection_in_use_when_its_node_is_closed_does_not_return_to_the_pool() {
    let seen = run_on_coroutine(|| {
        let pool = pool(4, 9, Duration::from_secs(9));
        let (_listener, node, socket) = connected();
        let started = Instant::now();
        pool.close_node(node);
        pool.put(node, socket, started, Instant::now());
        let (stale, since) = (pool.len(), Instant::now());
        // A connection opened afterwards leads to the new process.
        let again = Socket::connect(node, Duration::from_secs(1)).unwrap();
        pool.put(node, again, since, Instant::now());
        (stale, pool.len())
    });
    assert_eq!(seen, (0, 1));
}

#[test]
fn connections_expire_before_the_node_s_timeout_and_careful_rpcs_take_only_fresh_ones() {
    for (idle_timeout, expiry, fresh) in [(30_000, 29_500, 1000), (400, 360, 360)] {
        let usable = move |careful: bool, idle_for: u64| {
            run_on_coroutine(move || {
                let pool = pool(4, 9, ms(idle_timeout));
                let (_listener, node, socket) = connected();
                let now = Instant::now();
                pool.put(node, socket, now, now);
                pool.take(node, careful, now + ms(idle_for)).is_some()
            })
        };
        assert_eq!((usable(false, expiry - 1), usable(false, expiry)), (true, false), "{idle_timeout}");
        assert_eq!((usable(true, fresh - 1), usable(true, fresh)), (true, false), "{idle_timeout}");
    }
}
