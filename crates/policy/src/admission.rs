//! Which client connections and messages are taken, refused or closed when memory or descriptors run short.
//!
//! Usual clients come before strangers. A stranger is a connection whose message is not complete: it may never
//! be. [`ClosingClass`] has the order in which connections are closed, and [`Need`] how far down the order each
//! need may go. What asks for room is refused at once if nothing is left to close for it. Incomplete messages
//! are refused before all of the memory is used, so that small ones, and the answers of nodes, still have room.
//! An RPC in progress is never closed.

use std::time::Duration;

/// When room is short, a message that is still incomplete after this time is closed.
pub const INCOMPLETE_CLOSABLE_AFTER: Duration = Duration::from_millis(250);

/// An idle connection is closed before new ones after this time, and otherwise as the last of all. The
/// operators allow the close of any connection that has had no open request for so long.
pub const IDLE_CLOSABLE_AFTER: Duration = Duration::from_secs(2);

/// A message up to this many bytes counts as small.
pub const SMALL_MESSAGE_BYTES: usize = 8 * 1024;

/// The share of a process's memory that is held for its peers together. The rest is for the process itself,
/// its node list, and what the allocator cannot give back.
const PEER_MEMORY_SHARE: usize = 2;

/// The part of the peers' memory, in quarters, that connections and incomplete messages may use.
const INCOMPLETE_QUARTERS: usize = 3;

/// The part of the peers' memory, in quarters, above which nothing is read ahead.
const READ_AHEAD_QUARTERS: usize = 2;

/// The most that is read ahead on one connection while an RPC of it is in progress.
pub const MAX_READ_AHEAD_BYTES: usize = 128 * 1024;

/// When room is short, at least this part of the peers' memory is freed at once, since each search for
/// connections to close looks at all of them.
const FREED_PART: usize = 16;

/// The memory held for peers together, in bytes, in a process that may use `process_bytes`.
pub fn peer_memory_bytes(process_bytes: usize) -> usize {
    process_bytes / PEER_MEMORY_SHARE
}

/// What memory is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// A connection that was just accepted.
    Connection,
    /// A message that is being read, of this many bytes so far.
    IncompleteMessage(usize),
    /// What a client sent behind its RPC in progress.
    ReadAhead,
    /// An RPC in progress: its complete request, and the answer of its node.
    Rpc,
}

impl MemoryUse {
    /// The bound on the memory held for all peers, above which this use is refused; `limit` is the bound on
    /// all uses together. Both in bytes.
    pub fn bound(self, limit: usize) -> usize {
        match self {
            MemoryUse::IncompleteMessage(bytes) if bytes <= SMALL_MESSAGE_BYTES => limit,
            MemoryUse::Connection | MemoryUse::IncompleteMessage(_) => limit / 4 * INCOMPLETE_QUARTERS,
            MemoryUse::ReadAhead => limit / 4 * READ_AHEAD_QUARTERS,
            MemoryUse::Rpc => limit,
        }
    }
}

/// How many bytes to free for a use that lacks `missing`; `limit` is the bound on all uses together.
pub fn bytes_to_free(missing: usize, limit: usize) -> usize {
    missing.max(limit / FREED_PART)
}

/// State of a client connection with respect to its messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No byte of a message has arrived yet.
    New,
    /// The first message has begun and is incomplete.
    FirstMessage,
    /// A message has begun on a connection that has completed one before.
    Reading,
    /// An RPC is in progress.
    Serving,
    /// The last answer is complete and no byte of another message has been read.
    Idle,
    /// The connection closes after the answer that was just written.
    Closing,
}

/// What connections are closed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// A new connection, while there are more than a marshal keeps open at leisure.
    SpareSlot,
    /// A new connection or an RPC, while no descriptor is left. `crowded`: usual clients alone keep more
    /// connections than a marshal keeps open at leisure.
    Slot { crowded: bool },
    /// Memory.
    Memory(MemoryUse),
}

impl Need {
    /// The last class that is closed for this need.
    fn last_closed(self) -> ClosingClass {
        match self {
            Need::SpareSlot => ClosingClass::Idle,
            Need::Slot { crowded: true } | Need::Memory(MemoryUse::Rpc) => ClosingClass::BrieflyIdle,
            // Where strangers take the room, a usual client does not lose its connection for another of them.
            Need::Slot { crowded: false } | Need::Memory(MemoryUse::Connection) => {
                ClosingClass::BrieflyIncomplete
            }
            // A stranger's message closes no other connection than a stranger's.
            Need::Memory(MemoryUse::IncompleteMessage(_)) => ClosingClass::IncompleteOfKnown,
            // Nobody loses a connection for it: what is not read ahead waits in the socket.
            Need::Memory(MemoryUse::ReadAhead) => ClosingClass::Answered,
        }
    }
}

/// The order in which connections are closed: the greatest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClosingRank {
    class: ClosingClass,
    waited: Duration,
}

/// Classes of connections, the last to be closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClosingClass {
    /// Idle for less than [`IDLE_CLOSABLE_AFTER`].
    BrieflyIdle,
    /// The first message is incomplete, for less than [`INCOMPLETE_CLOSABLE_AFTER`]. Usual clients send theirs
    /// as a whole. A connection on which nothing has arrived may have one on its way, and stays for so long.
    BrieflyIncomplete,
    /// Idle for longer.
    Idle,
    /// An incomplete message of a connection that has completed one before.
    IncompleteOfKnown,
    /// No complete message yet, for longer.
    IncompleteOfNew,
    /// The last answer was written.
    Answered,
}

/// The rank of a connection that has been in its phase for `waited`, or `None` if it must stay.
pub fn closing_rank(need: Need, phase: ConnectionPhase, waited: Duration) -> Option<ClosingRank> {
    let is_incomplete_long = waited >= INCOMPLETE_CLOSABLE_AFTER;
    let class = match phase {
        ConnectionPhase::Serving => return None,
        ConnectionPhase::New | ConnectionPhase::FirstMessage if is_incomplete_long => {
            ClosingClass::IncompleteOfNew
        }
        ConnectionPhase::FirstMessage => ClosingClass::BrieflyIncomplete,
        ConnectionPhase::Reading if is_incomplete_long => ClosingClass::IncompleteOfKnown,
        ConnectionPhase::New | ConnectionPhase::Reading => return None,
        ConnectionPhase::Idle if waited >= IDLE_CLOSABLE_AFTER => ClosingClass::Idle,
        ConnectionPhase::Idle => ClosingClass::BrieflyIdle,
        ConnectionPhase::Closing => ClosingClass::Answered,
    };
    (class >= need.last_closed()).then_some(ClosingRank { class, waited })
}
