//! Idle connections to nodes, kept for reuse in a bounded stack for each node.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use ivydrift_sockets::Socket;
use ivydrift_terms::Bounds;

/// An RPC that must not run twice only reuses a connection that was idle for less than this: a node or a
/// middlebox may have dropped an older one without notice.
const FRESH: Duration = Duration::from_secs(1);

/// A node measures idle time from when it wrote its answer, the marshal from when it read the answer. The
/// marshal therefore drops connections this much earlier, or by a tenth of the idle time if that is shorter.
/// An answer takes some milliseconds on its way, and the marshal may run some tens of milliseconds late.
const SOONER: Duration = Duration::from_millis(500);

/// How long the closing of a node's connections is remembered: longer than any pick.
const REMEMBERED: Duration = Duration::from_secs(120);

/// Idle connections to one node, each with the time it became idle, the latest last.
type Stack = Vec<(Instant, Socket)>;

/// The idle connections to all nodes.
pub struct Pool {
    /// The most idle connections to one node.
    most: AtomicUsize,
    /// The most idle connections to all nodes together.
    most_in_all: AtomicUsize,
    /// How long nodes keep an idle connection open, in milliseconds.
    kept_ms: AtomicU64,
    /// How long a connection must be idle before it is reused, in microseconds.
    settle_us: AtomicU64,
    idle: Mutex<HashMap<SocketAddr, Stack>>,
    /// When a node's connections were last closed. A connection that was in use at that time must not return
    /// to the pool.
    closed: Mutex<HashMap<SocketAddr, Instant>>,
}

// The std lock is never held across a yield: nothing under it blocks.
impl Pool {
    /// An empty pool; `kept` is how long nodes keep an idle connection open.
    pub fn new(bounds: &Bounds, kept: Duration) -> Self {
        let zero = || AtomicUsize::new(0);
        let (idle, closed) = (Mutex::default(), Mutex::default());
        let (kept_ms, settle_us) = (AtomicU64::new(0), AtomicU64::new(0));
        let pool = Pool { most: zero(), most_in_all: zero(), kept_ms, settle_us, idle, closed };
        pool.renew(bounds, kept);
        pool
    }

    /// Changes the limits. Connections above them are closed when they are next checked.
    pub fn renew(&self, bounds: &Bounds, kept: Duration) {
        self.most.store(bounds.idle_to_node, Ordering::Relaxed);
        self.most_in_all.store(bounds.idle_to_nodes, Ordering::Relaxed);
        self.settle_us.store(bounds.settle.as_micros() as u64, Ordering::Relaxed);
        self.kept_ms.store(kept.as_millis() as u64, Ordering::Relaxed);
    }

    /// How long this pool keeps an idle connection.
    fn kept(&self) -> Duration {
        let kept = Duration::from_millis(self.kept_ms.load(Ordering::Relaxed));
        kept - SOONER.min(kept / 10)
    }

    /// Takes the most recently used connection that is alive and has been idle for the settle time.
    pub fn take(&self, node: SocketAddr, careful: bool, now: Instant) -> Option<Socket> {
        let settle = Duration::from_micros(self.settle_us.load(Ordering::Relaxed));
        loop {
            let (rested, socket) = {
                let mut idle = self.idle.lock().unwrap();
                let stack = idle.get_mut(&node)?;
                let at = stack.iter().rposition(|(at, _)| now.saturating_duration_since(*at) >= settle)?;
                let rested = now.saturating_duration_since(stack[at].0);
                if careful && rested >= FRESH {
                    return None;
                }
                (rested, stack.remove(at).1)
            };
            if rested < self.kept() && socket.quiet() {
                return Some(socket);
            }
        }
    }

    /// Returns a connection to the pool; `since` is when the pick that used it began.
    pub fn put(&self, node: SocketAddr, socket: Socket, since: Instant, now: Instant) {
        let mut idle = self.idle.lock().unwrap();
        if self.closed.lock().unwrap().get(&node).is_some_and(|closed| *closed >= since) {
            return;
        }
        if idle.get(&node).is_some_and(|stack| stack.len() >= self.most.load(Ordering::Relaxed)) {
            return;
        }
        if idle.values().map(Vec::len).sum::<usize>() >= self.most_in_all.load(Ordering::Relaxed) {
            // Evicts the connection that has been idle for longest.
            let oldest = idle.iter().filter_map(|(node, s)| Some((s.first()?.0, *node))).min();
            let Some((_, oldest)) = oldest else { return };
            idle.entry(oldest).and_modify(|stack| drop(stack.remove(0)));
        }
        idle.entry(node).or_default().push((now, socket));
    }

    /// Closes the node's idle connections, and those in use once they are returned.
    pub fn close(&self, node: SocketAddr) {
        let mut idle = self.idle.lock().unwrap();
        self.closed.lock().unwrap().insert(node, Instant::now());
        idle.remove(&node);
    }

    /// Closes connections that were idle for too long or that the node has closed; with `all`, every idle
    /// connection, for when descriptors have run out.
    pub fn tidy(&self, all: bool) {
        let mut idle = self.idle.lock().unwrap();
        self.closed.lock().unwrap().retain(|_, at| at.elapsed() < REMEMBERED);
        idle.retain(|_, stack| {
            stack.retain(|(at, socket)| !all && at.elapsed() < self.kept() && socket.quiet());
            !stack.is_empty()
        });
    }

    /// Number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.lock().unwrap().values().map(Vec::len).sum()
    }
}
