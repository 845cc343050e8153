//! State of one client connection that other coroutines share.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use ivydrift_marshal::{Command, Id};
use ivydrift_policy::admission::ConnectionPhase;
use may::sync::Semphore;

use super::read_ahead::ReadAhead;
use crate::exchange::PickHandle;
use ivydrift_sockets::SocketHandle;

/// During shutdown, a connection that was only just accepted gets this long to deliver its first bytes: it
/// may have waited in the listen backlog, and its client may already have written to it.
const NEW_CLIENT_GRACE: Duration = Duration::from_millis(100);

/// One client connection as other coroutines see it.
pub struct Client {
    /// Lets other coroutines check or shut down the connection.
    pub socket_handle: SocketHandle,
    /// The connection's [`ConnectionState`] as an integer.
    pub(super) state: AtomicU8,
    /// No byte of a message has arrived since the connection was accepted or last became idle.
    pub(super) silent: AtomicBool,
    /// When the connection was accepted.
    pub accepted_at: Instant,
    /// When the connection last became idle, or began a message after that, in milliseconds after
    /// `accepted_at`.
    phase_since_ms: AtomicU64,
    /// Memory held for the connection and its messages, in bytes.
    pub(super) held_bytes: AtomicUsize,
    /// The connection waits for memory. What it has read may be a complete message, so it is not closed.
    pub(super) awaits_memory: AtomicBool,
    /// What was read behind the RPC in progress.
    pub(super) read_ahead: Mutex<ReadAhead>,
    /// When the client was last seen to be there, in milliseconds after `accepted_at`.
    pub(super) present_at_ms: AtomicU64,
    /// When an answer was last written to it.
    pub(super) answered_at: Mutex<Option<Instant>>,
    mailbox: Mutex<Mailbox>,
    /// Posted for each entry of the mailbox.
    pub(super) wake: Semphore,
    current: Mutex<CurrentPick>,
    /// The client disconnected while its RPC was in progress.
    pub(super) disconnected: AtomicBool,
}

/// State of a connection with respect to its messages.
#[derive(Clone, Copy, PartialEq)]
pub enum ConnectionState {
    /// No complete message has arrived yet.
    New,
    /// A message has begun on a connection that has completed one before.
    Reading,
    /// An RPC is in progress.
    Busy,
    /// Idle: the last answer is complete and no byte of another message has been read.
    Idle,
    /// The connection closes after the answer that was just written.
    Closing,
    /// The connection was closed to free a slot or for shutdown. Anything still read from it is discarded.
    Evicted,
}

/// Commands for the RPC in progress that result from events handled by other coroutines.
#[derive(Default)]
struct Mailbox {
    rpc: Option<Id>,
    mail: VecDeque<Mail>,
}

/// Identifies a pick. The RPC id is needed because each RPC of a connection numbers its picks from 0.
type PickId = (Id, usize);

/// The pick in progress for this client.
#[derive(Default)]
struct CurrentPick {
    pick: Option<PickId>,
    /// Its connection, once established.
    socket_handle: Option<SocketHandle>,
    /// The last pick that a command cancelled. The command may arrive before that pick has begun.
    cancelled: Option<PickId>,
}

impl CurrentPick {
    /// Whether the pick in progress has been cancelled.
    fn is_cancelled(&self) -> bool {
        self.pick.is_some() && self.pick == self.cancelled
    }
}

/// An entry of a client's mailbox.
pub enum Mail {
    Command(Command),
    /// The client has disconnected.
    Disconnected,
}

impl Client {
    /// A connection that was just accepted.
    pub(crate) fn new(socket_handle: SocketHandle) -> Self {
        Client {
            socket_handle,
            state: AtomicU8::new(ConnectionState::New as u8),
            silent: AtomicBool::new(true),
            accepted_at: Instant::now(),
            phase_since_ms: AtomicU64::new(0),
            held_bytes: AtomicUsize::new(0),
            awaits_memory: AtomicBool::new(false),
            read_ahead: Mutex::default(),
            present_at_ms: AtomicU64::new(0),
            answered_at: Mutex::default(),
            mailbox: Mutex::default(),
            wake: Semphore::new(0),
            current: Mutex::default(),
            disconnected: AtomicBool::new(false),
        }
    }

    /// Marks the connection as idle.
    pub(crate) fn mark_idle(&self) {
        self.restart_phase();
        self.silent.store(true, Ordering::Release);
        self.transition(ConnectionState::Busy, ConnectionState::Idle);
    }

    /// Records that the connection has been in its phase since now.
    fn restart_phase(&self) {
        self.phase_since_ms.store(self.accepted_at.elapsed().as_millis() as u64, Ordering::Relaxed);
    }

    /// Changes the state. Returns false if the connection was not in state `from`.
    pub(crate) fn transition(&self, from: ConnectionState, to: ConnectionState) -> bool {
        self.state.compare_exchange(from as u8, to as u8, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }

    /// Whether the connection is in this state.
    pub(crate) fn in_state(&self, at: ConnectionState) -> bool {
        self.state.load(Ordering::Acquire) == at as u8
    }

    /// Records that the first bytes of a message have arrived. Returns false if the connection was evicted.
    pub(crate) fn begin_message(&self) -> bool {
        self.silent.store(false, Ordering::Release);
        let begins = self.transition(ConnectionState::Idle, ConnectionState::Reading);
        if begins {
            self.restart_phase();
        }
        begins || !self.in_state(ConnectionState::Evicted)
    }

    /// Records that a complete message has arrived. Returns false if the connection was evicted, in which
    /// case the message must not be processed.
    pub(crate) fn complete_message(&self) -> bool {
        let incomplete = [ConnectionState::New, ConnectionState::Reading];
        incomplete.into_iter().any(|from| self.transition(from, ConnectionState::Busy))
    }

    /// The phase that decides whether this connection may be closed to free a slot or memory, and for how long
    /// it has lasted. `None` if the connection is closed already.
    pub fn phase(&self) -> Option<(ConnectionPhase, Duration)> {
        let phase = [
            (ConnectionState::Closing, ConnectionPhase::Closing),
            (ConnectionState::Idle, ConnectionPhase::Idle),
            (ConnectionState::Reading, ConnectionPhase::Reading),
            (ConnectionState::New, ConnectionPhase::New),
            (ConnectionState::Busy, ConnectionPhase::Serving),
        ];
        let (_, phase) = phase.into_iter().find(|(state, _)| self.in_state(*state))?;
        let has_begun = phase == ConnectionPhase::New && !self.silent.load(Ordering::Acquire);
        let phase = if has_begun { ConnectionPhase::FirstMessage } else { phase };
        let since = Duration::from_millis(self.phase_since_ms.load(Ordering::Relaxed));
        let waited = self.accepted_at.elapsed().saturating_sub(since);
        Some(match self.awaits_memory.load(Ordering::Acquire) {
            true => (ConnectionPhase::Serving, waited),
            false => (phase, waited),
        })
    }

    /// Closes the connection if its message is incomplete: nothing of it waits to be read.
    pub fn evict_incomplete(&self) -> bool {
        let evicted = self.socket_handle.is_idle()
            && self.transition(ConnectionState::Reading, ConnectionState::Evicted);
        if evicted {
            self.socket_handle.shutdown();
        }
        evicted
    }

    /// Closes the connection if no message is in progress or has arrived. A client that sends a message at
    /// this very moment sends it again elsewhere, so it must not be processed here as well. Unread bytes in
    /// the socket count as an accepted message even if the reader has not run yet; only after the
    /// connection's last answer are they ignored.
    pub fn evict(&self) -> bool {
        if !self.in_state(ConnectionState::Closing) && !self.socket_handle.is_idle() {
            return false;
        }
        let eligible = [ConnectionState::New, ConnectionState::Idle, ConnectionState::Closing];
        let evicted = eligible.into_iter().any(|from| self.transition(from, ConnectionState::Evicted));
        if evicted {
            self.socket_handle.shutdown();
        }
        evicted
    }

    /// Whether no byte of a message has arrived although the client had time to send one.
    pub fn is_silent(&self) -> bool {
        let too_new = self.in_state(ConnectionState::New) && self.accepted_at.elapsed() < NEW_CLIENT_GRACE;
        !too_new && self.silent.load(Ordering::Acquire)
    }

    /// Delivers a command from another coroutine. Returns false if its RPC is no longer in progress on this
    /// connection: the caller looked the client up earlier, and the RPC may have ended since. Cancelling the
    /// pick in progress bypasses the mailbox because it cannot wait.
    pub fn post(&self, command: &Command) -> bool {
        if let Command::Sever { id, pick } = command {
            let mut current = self.current.lock().unwrap();
            current.cancelled = Some((*id, *pick));
            if current.is_cancelled() {
                current.socket_handle.iter().for_each(SocketHandle::shutdown);
            }
            return true;
        }
        let mut mailbox = self.mailbox.lock().unwrap();
        let accepted = mailbox.rpc.is_some() && mailbox.rpc == command.rpc();
        if accepted {
            mailbox.mail.push_back(Mail::Command(command.clone()));
            self.wake.post();
        }
        accepted
    }

    /// Records that the client has disconnected.
    pub fn mark_disconnected(&self) {
        self.disconnected.store(true, Ordering::Release);
        self.mailbox.lock().unwrap().mail.push_back(Mail::Disconnected);
        self.wake.post();
    }

    /// Accepts commands for this RPC, and for no other, from now on.
    pub(crate) fn open_mailbox(&self, id: Id) {
        *self.mailbox.lock().unwrap() = Mailbox { rpc: Some(id), mail: VecDeque::new() };
    }

    /// Stops accepting commands and returns the unread ones.
    pub(crate) fn close_mailbox(&self) -> VecDeque<Mail> {
        std::mem::take(&mut *self.mailbox.lock().unwrap()).mail
    }

    /// The next entry of the mailbox, if there is one.
    pub(crate) fn next_mail(&self) -> Option<Mail> {
        self.mailbox.lock().unwrap().mail.pop_front()
    }

    /// Marks a pick as in progress.
    pub(crate) fn begin_pick(&self, id: Id, pick: usize) {
        let mut current = self.current.lock().unwrap();
        (current.pick, current.socket_handle) = (Some((id, pick)), None);
    }

    /// Marks the pick in progress as ended.
    pub(crate) fn end_pick(&self) {
        let mut current = self.current.lock().unwrap();
        (current.pick, current.socket_handle) = (None, None);
    }
}

impl PickHandle for Client {
    fn attach(&self, socket_handle: SocketHandle) -> bool {
        let mut current = self.current.lock().unwrap();
        current.socket_handle = Some(socket_handle);
        // Nothing is started for a client that has left, even if the method does not allow cancelling work
        // that already runs.
        !current.is_cancelled() && !self.disconnected.load(Ordering::Acquire)
    }

    fn is_cancelled(&self) -> bool {
        self.current.lock().unwrap().is_cancelled()
    }
}
