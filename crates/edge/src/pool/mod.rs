//! Connections to nodes that wait to be used again, a bounded stack for each node.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use ivydrift_sockets::Socket;
use ivydrift_terms::Bounds;

/// A connection for an RPC that must not run twice was used this lately: a node, or what stands between, may have
/// dropped an older one unseen.
const FRESH: Duration = Duration::from_secs(1);

/// A node counts idle time from when it wrote its answer, we from when we had read it: ours ends this much sooner,
/// by a tenth where idle times are short. An answer's way is some milliseconds, and we may run some tens late.
const SOONER: Duration = Duration::from_millis(500);

/// So long it is remembered that a node's connections were closed: longer than any pick.
const REMEMBERED: Duration = Duration::from_secs(120);

/// Idle connections to one node, each with the time when it came to rest, the latest last.
type Stack = Vec<(Instant, Socket)>;

pub struct Pool {
    most: AtomicUsize,
    /// The most to all nodes together.
    most_in_all: AtomicUsize,
    kept_ms: AtomicU64,
    settle_us: AtomicU64,
    idle: Mutex<HashMap<SocketAddr, Stack>>,
    /// When a node's connections were last closed: what was out on one by then must not come back to rest.
    closed: Mutex<HashMap<SocketAddr, Instant>>,
}

// The std lock is never held across a yield: nothing under it blocks.
impl Pool {
    pub fn new(bounds: &Bounds, kept: Duration) -> Self {
        let zero = || AtomicUsize::new(0);
        let (idle, closed) = (Mutex::default(), Mutex::default());
        let (kept_ms, settle_us) = (AtomicU64::new(0), AtomicU64::new(0));
        let pool = Pool { most: zero(), most_in_all: zero(), kept_ms, settle_us, idle, closed };
        pool.renew(bounds, kept);
        pool
    }

    /// New bounds; what is over them goes when it is next looked at.
    pub fn renew(&self, bounds: &Bounds, kept: Duration) {
        self.most.store(bounds.idle_to_node, Ordering::Relaxed);
        self.most_in_all.store(bounds.idle_to_nodes, Ordering::Relaxed);
        self.settle_us.store(bounds.settle.as_micros() as u64, Ordering::Relaxed);
        self.kept_ms.store(kept.as_millis() as u64, Ordering::Relaxed);
    }

    fn kept(&self) -> Duration {
        let kept = Duration::from_millis(self.kept_ms.load(Ordering::Relaxed));
        kept - SOONER.min(kept / 10)
    }

    /// A connection that looks alive and has settled, the latest used first.
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

    /// `since`: when the pick that used it began.
    pub fn put(&self, node: SocketAddr, socket: Socket, since: Instant, now: Instant) {
        let mut idle = self.idle.lock().unwrap();
        if self.closed.lock().unwrap().get(&node).is_some_and(|closed| *closed >= since) {
            return;
        }
        if idle.get(&node).is_some_and(|stack| stack.len() >= self.most.load(Ordering::Relaxed)) {
            return;
        }
        if idle.values().map(Vec::len).sum::<usize>() >= self.most_in_all.load(Ordering::Relaxed) {
            // The one that has rested longest makes room.
            let oldest = idle.iter().filter_map(|(node, s)| Some((s.first()?.0, *node))).min();
            let Some((_, oldest)) = oldest else { return };
            idle.entry(oldest).and_modify(|stack| drop(stack.remove(0)));
        }
        idle.entry(node).or_default().push((now, socket));
    }

    /// Closes what is idle to this node, and what is in use now once it comes to rest.
    pub fn close(&self, node: SocketAddr) {
        let mut idle = self.idle.lock().unwrap();
        self.closed.lock().unwrap().insert(node, Instant::now());
        idle.remove(&node);
    }

    /// Closes what has rested too long, or was closed by the node. `all`: whatever is idle, when descriptors
    /// have run out.
    pub fn tidy(&self, all: bool) {
        let mut idle = self.idle.lock().unwrap();
        self.closed.lock().unwrap().retain(|_, at| at.elapsed() < REMEMBERED);
        idle.retain(|_, stack| {
            stack.retain(|(at, socket)| !all && at.elapsed() < self.kept() && socket.quiet());
            !stack.is_empty()
        });
    }

    pub fn len(&self) -> usize {
        self.idle.lock().unwrap().values().map(Vec::len).sum()
    }
}
