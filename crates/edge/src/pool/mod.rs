//! Idle connections to nodes, kept for reuse in a bounded stack for each node.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use ivydrift_sockets::Socket;
use ivydrift_terms::Limits;

/// An RPC that must not run twice only reuses a connection that was idle for less than this: a node or a
/// middlebox may have dropped an older one without notice.
const FRESH_IDLE: Duration = Duration::from_secs(1);

/// A node measures idle time from when it wrote its answer, the marshal from when it read the answer. The
/// marshal therefore drops connections this much earlier, or by a tenth of the idle time if that is shorter.
/// An answer takes some milliseconds on its way, and the marshal may run some tens of milliseconds late.
const CLOSE_MARGIN: Duration = Duration::from_millis(500);

/// How long the closing of a node's connections is remembered: longer than any pick.
const CLOSED_RETENTION: Duration = Duration::from_secs(120);

/// Idle connections to one node, each with the time it became idle, the latest last.
type IdleStack = Vec<(Instant, Socket)>;

/// The idle connections to all nodes.
pub struct Pool {
    /// The most idle connections to one node.
    max_per_node: AtomicUsize,
    /// The most idle connections to all nodes together.
    max_total: AtomicUsize,
    /// How long nodes keep an idle connection open, in milliseconds.
    idle_timeout_ms: AtomicU64,
    /// How long a connection must be idle before it is reused, in microseconds.
    reuse_delay_us: AtomicU64,
    idle: Mutex<HashMap<SocketAddr, IdleStack>>,
    /// When a node's connections were last closed. A connection that was in use at that time must not return
    /// to the pool.
    closed: Mutex<HashMap<SocketAddr, Instant>>,
}

// The std lock is never held across a yield: nothing under it blocks.
impl Pool {
    /// An empty pool; `idle_timeout` is how long nodes keep an idle connection open.
    pub fn new(limits: &Limits, idle_timeout: Duration) -> Self {
        let new_limit = || AtomicUsize::new(0);
        let (idle, closed) = (Mutex::default(), Mutex::default());
        let (idle_timeout_ms, reuse_delay_us) = (AtomicU64::new(0), AtomicU64::new(0));
        let pool = Pool {
            max_per_node: new_limit(),
            max_total: new_limit(),
            idle_timeout_ms,
            reuse_delay_us,
            idle,
            closed,
        };
        pool.set_limits(limits, idle_timeout);
        pool
    }

    /// Changes the limits. Connections above them are closed when they are next checked.
    pub fn set_limits(&self, limits: &Limits, idle_timeout: Duration) {
        self.max_per_node.store(limits.max_idle_per_node, Ordering::Relaxed);
        self.max_total.store(limits.max_idle_total, Ordering::Relaxed);
        self.reuse_delay_us.store(limits.reuse_delay.as_micros() as u64, Ordering::Relaxed);
        self.idle_timeout_ms.store(idle_timeout.as_millis() as u64, Ordering::Relaxed);
    }

    /// How long this pool keeps an idle connection.
    fn idle_timeout(&self) -> Duration {
        let idle_timeout = Duration::from_millis(self.idle_timeout_ms.load(Ordering::Relaxed));
        idle_timeout - CLOSE_MARGIN.min(idle_timeout / 10)
    }

    /// Takes the most recently used connection that is alive and has been idle for the settle time.
    pub fn take(&self, node: SocketAddr, careful: bool, now: Instant) -> Option<Socket> {
        let reuse_delay = Duration::from_micros(self.reuse_delay_us.load(Ordering::Relaxed));
        loop {
            let (idle_for, socket) = {
                let mut idle = self.idle.lock().unwrap();
                let stack = idle.get_mut(&node)?;
                let at =
                    stack.iter().rposition(|(at, _)| now.saturating_duration_since(*at) >= reuse_delay)?;
                let idle_for = now.saturating_duration_since(stack[at].0);
                if careful && idle_for >= FRESH_IDLE {
                    return None;
                }
                (idle_for, stack.remove(at).1)
            };
            if idle_for < self.idle_timeout() && socket.is_idle() {
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
        if idle.get(&node).is_some_and(|stack| stack.len() >= self.max_per_node.load(Ordering::Relaxed)) {
            return;
        }
        if idle.values().map(Vec::len).sum::<usize>() >= self.max_total.load(Ordering::Relaxed) {
            // Evicts the connection that has been idle for longest.
            let oldest = idle.iter().filter_map(|(node, s)| Some((s.first()?.0, *node))).min();
            let Some((_, oldest)) = oldest else { return };
            idle.entry(oldest).and_modify(|stack| drop(stack.remove(0)));
        }
        idle.entry(node).or_default().push((now, socket));
    }

    /// Closes the node's idle connections, and those in use once they are returned.
    pub fn close_node(&self, node: SocketAddr) {
        let mut idle = self.idle.lock().unwrap();
        self.closed.lock().unwrap().insert(node, Instant::now());
        idle.remove(&node);
    }

    /// Closes connections that were idle for too long or that the node has closed; with `all`, every idle
    /// connection, for when descriptors have run out.
    pub fn close_expired(&self, all: bool) {
        let mut idle = self.idle.lock().unwrap();
        self.closed.lock().unwrap().retain(|_, at| at.elapsed() < CLOSED_RETENTION);
        idle.retain(|_, stack| {
            stack.retain(|(at, socket)| !all && at.elapsed() < self.idle_timeout() && socket.is_idle());
            !stack.is_empty()
        });
    }

    /// Number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.lock().unwrap().values().map(Vec::len).sum()
    }
}
