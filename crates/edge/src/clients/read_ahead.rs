//! Whether the client of an RPC in progress is still there, and what has to be read ahead to know it.
//!
//! A close arrives behind everything that the client has sent. While that fills the receive buffer, it cannot arrive,
//! so it is read ahead, within the limits of [`ivydrift_policy::admission`]. What was read ahead is served after
//! the RPC in progress.

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

use ivydrift_marshal::{Command, Id, Input, Observation};
use ivydrift_policy::admission::{MemoryUse, MAX_READ_AHEAD_BYTES};
use ivydrift_policy::presence::{
    decide_attempt, wait_for_reset, AttemptDecision, Presence, PRESENCE_VALID_FOR,
};

use super::Client;
use crate::Edge;
use ivydrift_sockets::coroutine::sleep;
use ivydrift_sockets::{PeerState, SocketHandle, Turn, TurnClass};

/// Bytes of one block that is read ahead. Blocks of one size leave no gaps behind in the heap.
const BLOCK_BYTES: usize = 4096;

/// The most blocks of one connection.
const MAX_BLOCKS: usize = MAX_READ_AHEAD_BYTES / BLOCK_BYTES;

/// What was read on a connection behind its RPC in progress, and not yet gone on with.
#[derive(Default)]
pub struct ReadAhead {
    /// An RPC is in progress and its coroutine does not read.
    open: bool,
    /// The RPC's body is complete, so what is read belongs to the messages after it.
    body_is_complete: bool,
    blocks: VecDeque<Vec<u8>>,
    /// Reads since the RPC began.
    reads: u32,
}

impl Client {
    /// Allows reading ahead, as the connection's coroutine does not read until it ends this.
    pub(crate) fn open_read_ahead(&self, body_is_complete: bool) {
        let mut read_ahead = self.read_ahead.lock().unwrap();
        (read_ahead.open, read_ahead.body_is_complete) = (true, body_is_complete);
    }

    /// Ends the reading ahead. Returns the number of reads since it was allowed.
    pub(crate) fn close_read_ahead(&self) -> u32 {
        let mut read_ahead = self.read_ahead.lock().unwrap();
        read_ahead.open = false;
        std::mem::take(&mut read_ahead.reads)
    }

    /// Reads since the RPC in progress began.
    fn reads_ahead(&self) -> u32 {
        self.read_ahead.lock().unwrap().reads
    }

    /// Records that an answer was written.
    pub(super) fn record_answer(&self) {
        *self.answered_at.lock().unwrap() = Some(Instant::now());
    }

    /// Records that the client was there at this time.
    pub(crate) fn record_present(&self, at: Instant) {
        let ms = at.saturating_duration_since(self.accepted_at).as_millis() as u64;
        self.present_at_ms.fetch_max(ms, Ordering::Relaxed);
    }

    /// Whether the client was seen to be there a moment ago.
    fn was_just_present(&self, now: Instant) -> bool {
        let ms = now.saturating_duration_since(self.accepted_at).as_millis() as u64;
        let seen_before_ms = ms.saturating_sub(self.present_at_ms.load(Ordering::Relaxed));
        seen_before_ms < PRESENCE_VALID_FOR.as_millis() as u64
    }
}

impl Edge {
    /// Looks whether a client is there.
    pub(crate) fn look_for(&self, client: &Client) -> Presence {
        match client.socket_handle.peer_state() {
            PeerState::Closed => Presence::Gone,
            PeerState::Unread => self.read_ahead(client),
            PeerState::Quiet => {
                client.record_present(Instant::now());
                Presence::Present
            }
        }
    }

    /// Reads ahead until nothing is unread, or no more may be held.
    fn read_ahead(&self, client: &Client) -> Presence {
        let mut read_ahead = client.read_ahead.lock().unwrap();
        if !read_ahead.open {
            // The connection's coroutine reads, and so finds the end by itself.
            return Presence::Present;
        }
        while self.reserve_block(&mut read_ahead) {
            read_ahead.reads += 1;
            let Some(block) = read_ahead.blocks.back_mut() else { break };
            match read_into_block(&client.socket_handle, block) {
                Ok(0) => return Presence::Gone,
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    client.record_present(Instant::now());
                    return Presence::Present;
                }
                Err(_) => return Presence::Gone,
            }
        }
        Presence::Unknown
    }

    /// Makes room for one more read in the last block. Returns false if no more may be held.
    fn reserve_block(&self, read_ahead: &mut ReadAhead) -> bool {
        if read_ahead.blocks.back().is_some_and(|block| block.len() < BLOCK_BYTES) {
            return true;
        }
        let has_room =
            read_ahead.blocks.len() < MAX_BLOCKS && self.peer_memory.grow(BLOCK_BYTES, MemoryUse::ReadAhead);
        if has_room {
            read_ahead.blocks.push_back(Vec::with_capacity(BLOCK_BYTES));
        }
        has_room
    }

    /// Takes the next block that was read ahead, which is what the connection has to go on with before it reads.
    pub(super) fn take_read_ahead(&self, client: &Client) -> Option<Vec<u8>> {
        let block = client.read_ahead.lock().unwrap().blocks.pop_front()?;
        self.peer_memory.shrink(BLOCK_BYTES);
        // A block is empty if nothing came after room was made for it.
        Some(block).filter(|block| !block.is_empty())
    }

    /// Discards what was read ahead.
    pub(super) fn discard_read_ahead(&self, client: &Client) {
        client.close_read_ahead();
        while self.take_read_ahead(client).is_some() {}
    }

    /// What becomes of an attempt for this client that is about to begin.
    pub(crate) fn decide_attempt(&self, id: Id, client: &Client, now: Instant) -> AttemptDecision {
        if client.disconnected.load(Ordering::Acquire) {
            return AttemptDecision::Drop;
        }
        if client.was_just_present(now) {
            return AttemptDecision::Begin;
        }
        let presence = match self.look_for(client) {
            Presence::Unknown => self.presence_by_answer(client),
            known => known,
        };
        let body_is_complete = client.read_ahead.lock().unwrap().body_is_complete;
        let decision = decide_attempt(presence, body_is_complete);
        self.guard.record_decision(id, decision);
        decision
    }

    /// What the last answer on this connection shows of a client whose close could not arrive.
    fn presence_by_answer(&self, client: &Client) -> Presence {
        let Some(answered_at) = *client.answered_at.lock().unwrap() else { return Presence::Unknown };
        let Some(wait) = wait_for_reset(answered_at.elapsed()) else { return Presence::Unknown };
        sleep(wait);
        if client.socket_handle.peer_closed() {
            return Presence::Gone;
        }
        client.record_present(answered_at);
        Presence::Present
    }

    /// Ends an RPC of which a pick was ordered that may not begin. Returns the commands that follow.
    pub(crate) fn refuse_attempt(self: &Arc<Self>, id: Id, pick: usize) -> Vec<Command> {
        self.dispatch(Input::AttemptsStopped { id }, id);
        self.dispatch(Input::PickEnded { id, pick, observation: Observation::NotAttempted }, id)
    }

    /// Tells the core that the client of an RPC in progress has left.
    pub(crate) fn record_departure(self: &Arc<Self>, id: Id, client: &Client) {
        tracing::debug!(
            id,
            read_ahead = client.reads_ahead(),
            "the client left with its request in progress"
        );
        self.dispatch(Input::ClientLeft { id }, 0);
        client.mark_disconnected();
    }

    /// Tells the core of clients that have left while their RPC was in progress, as far as the kernel knows of it.
    /// For those with unread bytes it may not, so they are handed to [`Edge::read_ahead_for_clients`].
    pub(crate) fn report_departures(self: &Arc<Self>) {
        let in_progress: Vec<(Id, Arc<Client>)> =
            self.in_progress.lock().unwrap().iter().map(|(id, client)| (*id, client.clone())).collect();
        let mut unread = Vec::new();
        for (id, client) in in_progress {
            match client.socket_handle.peer_state() {
                PeerState::Closed => self.record_departure(id, &client),
                PeerState::Unread => unread.push((id, client)),
                PeerState::Quiet => client.record_present(Instant::now()),
            }
        }
        if !unread.is_empty() {
            *self.unread_clients.lock().unwrap() = unread;
            self.unread_clients_wake.post();
        }
    }

    /// Reads ahead for clients with unread bytes, in turn with all that others send. Never returns.
    pub(crate) fn read_ahead_for_clients(self: &Arc<Self>) {
        let turn = Turn::new(TurnClass::Connection);
        loop {
            self.unread_clients_wake.wait();
            let unread = std::mem::take(&mut *self.unread_clients.lock().unwrap());
            for (id, client) in unread {
                turn.wait_if_used_up();
                let reads_before = client.reads_ahead();
                if self.look_for(&client) == Presence::Gone {
                    self.record_departure(id, &client);
                }
                (reads_before..client.reads_ahead()).for_each(|_| turn.record_operation());
            }
        }
    }
}

/// Reads what is there into the rest of a block without waiting. Returns the number of bytes.
fn read_into_block(socket_handle: &SocketHandle, block: &mut Vec<u8>) -> std::io::Result<usize> {
    let length = block.len();
    block.resize(BLOCK_BYTES, 0);
    let read = socket_handle.read_available(&mut block[length..]);
    block.truncate(length + read.as_ref().map_or(0, |n| *n));
    read
}
