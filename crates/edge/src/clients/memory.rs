//! Accounts for the memory that is held for client connections and their RPCs together.
//!
//! Who gets memory, and who is closed for it, is decided in [`ivydrift_policy::admission`].

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ivydrift_policy::admission::{self, MemoryUse, Need};

use super::Client;
use crate::Edge;
use ivydrift_sockets::coroutine::sleep;

/// Memory of a connection besides the buffers of its messages: the used part of its coroutine's stack, its
/// state here and in the runtime, and its connection to a node.
const CONNECTION_BYTES: usize = 20 * 1024;

/// How long something waits for the memory of connections that were closed for it.
const ROOM_WAIT: Duration = Duration::from_millis(50);

/// Interval at which it looks.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// After a search that found nothing to close, the next one begins no sooner than this. Each looks at all
/// connections.
const SEARCH_INTERVAL: Duration = Duration::from_millis(10);

/// The memory held for all client connections, in bytes.
pub struct PeerMemory {
    limit: AtomicUsize,
    used: AtomicUsize,
    /// Before this time, in microseconds after the process started, no connections are searched for that could
    /// be closed.
    next_search_us: AtomicU64,
    refused: AtomicU64,
    closed: AtomicU64,
}

/// What was held, and what happened for lack of memory, since the process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerMemoryStats {
    /// Bytes held now.
    pub held: usize,
    /// Messages, answers and connections that were refused.
    pub refused: u64,
    /// Connections that were closed to make room for others.
    pub closed: u64,
}

impl PeerMemory {
    /// No memory is held; `limit` is the most that may be, in bytes.
    pub fn new(limit: usize) -> Self {
        PeerMemory {
            limit: AtomicUsize::new(limit),
            used: AtomicUsize::new(0),
            next_search_us: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            closed: AtomicU64::new(0),
        }
    }

    /// Changes the limit. What is above it is kept until it is released.
    pub fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// What is held, and what was refused or closed.
    pub fn stats(&self) -> PeerMemoryStats {
        PeerMemoryStats {
            held: self.used.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
            closed: self.closed.load(Ordering::Relaxed),
        }
    }

    fn limit(&self) -> usize {
        self.limit.load(Ordering::Relaxed)
    }

    /// Changes what is held for a client to `wanted` bytes. Returns false, and changes nothing, if that is more
    /// than there is for this use. Only the client's own coroutine may call this.
    fn try_hold(&self, client: &Client, wanted: usize, memory_use: MemoryUse) -> bool {
        let held = client.held_bytes.load(Ordering::Relaxed);
        if wanted <= held {
            self.used.fetch_sub(held - wanted, Ordering::Relaxed);
        } else if !self.grow(wanted - held, memory_use) {
            return false;
        }
        client.held_bytes.store(wanted, Ordering::Relaxed);
        true
    }

    /// Releases this many bytes that [`PeerMemory::grow`] held.
    pub(super) fn shrink(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Holds this many bytes more. Returns false, and changes nothing, if that is more than there is for this use.
    pub(super) fn grow(&self, bytes: usize, memory_use: MemoryUse) -> bool {
        let bound = memory_use.bound(self.limit());
        let grown = |used: usize| used.checked_add(bytes).filter(|used| *used <= bound);
        self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, grown).is_ok()
    }
}

/// Clients with a rank are closed, the greatest first, until they free enough bytes. Returns how many were
/// closed.
fn close_clients(clients: &HashMap<u64, Arc<Client>>, memory_use: MemoryUse, bytes: usize) -> usize {
    let mut candidates: Vec<_> = clients
        .values()
        .filter_map(|client| {
            let (phase, waited) = client.phase()?;
            Some((admission::closing_rank(Need::Memory(memory_use), phase, waited)?, client))
        })
        .collect();
    candidates.sort_unstable_by_key(|(rank, _)| std::cmp::Reverse(*rank));
    let (mut freed, mut closed) = (0, 0);
    for (_, client) in candidates {
        if freed >= bytes {
            break;
        }
        // A client may have sent more since it was ranked.
        if client.evict() || client.evict_incomplete() {
            freed += client.held_bytes.load(Ordering::Relaxed);
            closed += 1;
        }
    }
    closed
}

impl Edge {
    /// Holds `buffer_bytes` for the messages of a client, and what its connection needs, in place of what was
    /// held for it before. If there is no room, others are closed for it. Returns false if there is still none;
    /// then nothing has changed. Only the client's own coroutine may call this.
    pub(super) fn hold_memory(&self, client: &Client, buffer_bytes: usize, memory_use: MemoryUse) -> bool {
        let memory = &self.peer_memory;
        if memory.try_hold(client, CONNECTION_BYTES + buffer_bytes, memory_use) {
            return true;
        }
        client.awaits_memory.store(true, Ordering::Release);
        let holds = self.wait_for_memory(client, buffer_bytes, memory_use);
        client.awaits_memory.store(false, Ordering::Release);
        memory.refused.fetch_add(u64::from(!holds), Ordering::Relaxed);
        holds
    }

    /// Closes others to make room, and waits for what they held.
    fn wait_for_memory(&self, client: &Client, buffer_bytes: usize, memory_use: MemoryUse) -> bool {
        let (until, wanted) = (Instant::now() + ROOM_WAIT, CONNECTION_BYTES + buffer_bytes);
        while Instant::now() < until {
            let closed = self.close_for_memory(memory_use, buffer_bytes);
            if !closed && memory_use != MemoryUse::Rpc {
                break;
            }
            // The memory is released by the coroutines of the closed connections.
            sleep(ROOM_CHECK_INTERVAL);
            if self.peer_memory.try_hold(client, wanted, memory_use) {
                return true;
            }
        }
        false
    }

    /// Holds the memory of a connection that was just accepted. Returns false if there is no room.
    pub(crate) fn hold_connection(&self, clients: &HashMap<u64, Arc<Client>>, client: &Client) -> bool {
        let memory = &self.peer_memory;
        if memory.try_hold(client, CONNECTION_BYTES, MemoryUse::Connection) {
            return true;
        }
        // What is closed now releases its memory a little later. Until then the rest of the memory serves.
        let bytes = admission::bytes_to_free(CONNECTION_BYTES, memory.limit());
        let closed = close_clients(clients, MemoryUse::Connection, bytes);
        memory.closed.fetch_add(closed as u64, Ordering::Relaxed);
        let holds = closed > 0 && memory.try_hold(client, CONNECTION_BYTES, MemoryUse::Rpc);
        memory.refused.fetch_add(u64::from(!holds), Ordering::Relaxed);
        holds
    }

    /// Releases all memory held for a client.
    pub(crate) fn release_memory(&self, client: &Client) {
        self.peer_memory.try_hold(client, 0, MemoryUse::Rpc);
    }

    /// Closes connections to make room for `missing` bytes. Returns whether any was closed.
    fn close_for_memory(&self, memory_use: MemoryUse, missing: usize) -> bool {
        let (memory, now_us) = (&self.peer_memory, self.started.elapsed().as_micros() as u64);
        if now_us < memory.next_search_us.load(Ordering::Relaxed) {
            return false;
        }
        let bytes = admission::bytes_to_free(missing, memory.limit());
        let closed = close_clients(&self.clients.lock().unwrap(), memory_use, bytes);
        memory.closed.fetch_add(closed as u64, Ordering::Relaxed);
        if closed == 0 {
            let next = now_us + SEARCH_INTERVAL.as_micros() as u64;
            memory.next_search_us.store(next, Ordering::Relaxed);
        }
        closed > 0
    }
}
