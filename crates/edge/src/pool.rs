//! Connections to nodes that wait to be used again, a bounded stack for each node.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use ivydrift_sockets::Socket;

/// A connection for an RPC that must not run twice was used this lately: a node, or what stands between, may
/// have dropped an older one unseen.
const FRESH: Duration = Duration::from_secs(1);

/// Idle connections to one node, each with the time when it came to rest, the latest last.
type Stack = Vec<(Instant, Socket)>;

pub struct Pool {
    most: AtomicUsize,
    /// The most to all nodes together.
    most_in_all: AtomicUsize,
    kept_ms: AtomicU64,
    idle: Mutex<HashMap<SocketAddr, Stack>>,
}

// The std lock is never held across a yield: nothing under it blocks.
impl Pool {
    pub fn new(most: usize, most_in_all: usize, kept: Duration) -> Self {
        let zero = || AtomicUsize::new(0);
        let pool =
            Pool { most: zero(), most_in_all: zero(), kept_ms: AtomicU64::new(0), idle: Mutex::default() };
        pool.renew(most, most_in_all, kept);
        pool
    }

    /// New bounds; what is over them goes when it is next looked at.
    pub fn renew(&self, most: usize, most_in_all: usize, kept: Duration) {
        self.most.store(most, Ordering::Relaxed);
        self.most_in_all.store(most_in_all, Ordering::Relaxed);
        self.kept_ms.store(kept.as_millis() as u64, Ordering::Relaxed);
    }

    fn kept(&self) -> Duration {
        Duration::from_millis(self.kept_ms.load(Ordering::Relaxed))
    }

    /// A connection that looks alive, the latest used first.
    pub fn take(&self, node: SocketAddr, careful: bool) -> Option<Socket> {
        loop {
            let (at, socket) = self.idle.lock().unwrap().get_mut(&node)?.pop()?;
            let rested = at.elapsed();
            if socket.quiet() && rested < self.kept() {
                if careful && rested >= FRESH {
                    self.put_back(node, at, socket);
                    return None;
                }
                return Some(socket);
            }
        }
    }

    fn put_back(&self, node: SocketAddr, at: Instant, socket: Socket) {
        self.idle.lock().unwrap().entry(node).or_default().push((at, socket));
    }

    pub fn put(&self, node: SocketAddr, socket: Socket) {
        let mut idle = self.idle.lock().unwrap();
        if idle.get(&node).is_some_and(|stack| stack.len() >= self.most.load(Ordering::Relaxed)) {
            return;
        }
        if idle.values().map(Vec::len).sum::<usize>() >= self.most_in_all.load(Ordering::Relaxed) {
            // The one that has rested longest makes room.
            let oldest = idle.iter().filter_map(|(node, s)| Some((s.first()?.0, *node))).min();
            let Some((_, oldest)) = oldest else { return };
            idle.entry(oldest).and_modify(|stack| drop(stack.remove(0)));
        }
        idle.entry(node).or_default().push((Instant::now(), socket));
    }

    pub fn close(&self, node: SocketAddr) {
        self.idle.lock().unwrap().remove(&node);
    }

    /// Closes what has rested too long, or was closed by the node. `all`: whatever is idle, when descriptors
    /// have run out.
    pub fn tidy(&self, all: bool) {
        let mut idle = self.idle.lock().unwrap();
        idle.retain(|_, stack| {
            stack.retain(|(at, socket)| !all && at.elapsed() < self.kept() && socket.quiet());
            !stack.is_empty()
        });
    }

    pub fn len(&self) -> usize {
        self.idle.lock().unwrap().values().map(Vec::len).sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ivydrift_sockets::coroutine::{go, prepare};

    #[test]
    fn idle_connections_to_all_nodes_together_are_bounded_and_the_longest_rested_goes() {
        prepare(2);
        let (tell, told) = std::sync::mpsc::channel();
        go(move || {
            let pool = Pool::new(2, 3, Duration::from_secs(9));
            let listeners = [0; 4].map(|_| std::net::TcpListener::bind("127.0.0.1:0").unwrap());
            let nodes = listeners.each_ref().map(|l| l.local_addr().unwrap());
            for node in nodes {
                pool.put(node, Socket::connect(node, Duration::from_secs(1)).unwrap());
            }
            let _ = tell.send((pool.len(), nodes.map(|node| pool.take(node, false).is_some())));
        });
        let seen = told.recv_timeout(Duration::from_secs(5)).unwrap();
        assert_eq!(seen, (3, [false, true, true, true]));
    }
}
