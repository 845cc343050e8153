//! Shares the workers among sockets that always have something ready.
//!
//! An operation that finds bytes or connections ready does not wait, so a peer at full speed would keep its
//! coroutine running and its worker busy. Each socket therefore has turns: after [`TURN_OPERATIONS`]
//! operations without a wait, its coroutine queues for the next one. In each round of I/O events, one
//! connection and one listener get a turn, however many are queued.
//!
//! may's own yield is no substitute: it puts the coroutine back into the worker's run queue, and the worker
//! polls for I/O events and wake-ups from other threads only when that queue is empty. The queue here is
//! served by a coroutine that waits for an I/O event itself, so the events of all others are collected first.

use std::cell::Cell;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use may::io::{CoIo, WaitIo};
use may::sync::Semphore;
use nix::sys::eventfd::{EfdFlags, EventFd};

use crate::coroutine::{restart_on_panic, sleep, spawn_uncounted};

/// Operations of one socket in one turn. The longest message of a usual client, 64 KiB in reads of 4 KiB,
/// fits into one.
const TURN_OPERATIONS: u32 = 32;

/// Wait in place of a turn's queue if no descriptor is left for it.
const PAUSE_WITHOUT_QUEUE: Duration = Duration::from_millis(1);

/// Whom a turn belongs to. Listeners do not queue behind connections, or new clients would wait for all of
/// those that send at full speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnClass {
    /// A socket that accepts connections or receives datagrams from anyone.
    Listener,
    /// A connection to one peer.
    Connection,
}

/// The operations of one socket since its coroutine last waited.
#[derive(Debug)]
pub struct Turn {
    class: TurnClass,
    operations: Cell<u32>,
}

impl Turn {
    /// The first turn of a socket.
    pub fn new(class: TurnClass) -> Self {
        Turn { class, operations: Cell::new(0) }
    }

    /// Records an operation that did not wait.
    pub fn record_operation(&self) {
        self.operations.set(self.operations.get() + 1);
    }

    /// Records that the coroutine has waited for its peer, which gave all others their turn.
    pub fn record_wait(&self) {
        self.operations.set(0);
    }

    /// Waits for the next turn if this one is used up. Returns whether it has waited.
    pub fn wait_if_used_up(&self) -> bool {
        let used_up = self.operations.get() >= TURN_OPERATIONS;
        if used_up {
            wait_for_turn(self.class);
            self.record_wait();
        }
        used_up
    }
}

/// Coroutines that wait for a turn, first come, first served within each class.
#[derive(Default)]
struct Waiting {
    listeners: VecDeque<Arc<Semphore>>,
    connections: VecDeque<Arc<Semphore>>,
}

impl Waiting {
    fn is_empty(&self) -> bool {
        self.listeners.is_empty() && self.connections.is_empty()
    }

    fn push(&mut self, class: TurnClass, woken: Arc<Semphore>) {
        match class {
            TurnClass::Listener => self.listeners.push_back(woken),
            TurnClass::Connection => self.connections.push_back(woken),
        }
    }

    /// Removes those whose turn is in this round.
    fn next_round(&mut self) -> [Option<Arc<Semphore>>; 2] {
        [self.listeners.pop_front(), self.connections.pop_front()]
    }
}

/// The process-wide queue of coroutines that wait for a turn.
struct TurnQueue {
    waiting: Mutex<Waiting>,
    /// Becomes ready in the next round of I/O events whenever it is written to.
    event: CoIo<EventFd>,
}

impl TurnQueue {
    /// The queue, started at its first use; `None` if there is no descriptor for it.
    fn global() -> Option<&'static TurnQueue> {
        static GLOBAL: OnceLock<TurnQueue> = OnceLock::new();
        if let Some(queue) = GLOBAL.get() {
            return Some(queue);
        }
        let event = EventFd::from_flags(EfdFlags::EFD_NONBLOCK | EfdFlags::EFD_CLOEXEC).ok()?;
        let queue = TurnQueue { waiting: Mutex::default(), event: CoIo::new(event).ok()? };
        if GLOBAL.set(queue).is_ok() {
            spawn_uncounted(|| restart_on_panic(|| GLOBAL.get().into_iter().for_each(TurnQueue::run)));
        }
        GLOBAL.get()
    }

    /// Queues the calling coroutine and waits until it is its turn.
    fn wait(&self, class: TurnClass) {
        let woken = Arc::new(Semphore::new(0));
        let is_first = {
            let mut waiting = self.waiting.lock().unwrap();
            let is_first = waiting.is_empty();
            waiting.push(class, woken.clone());
            is_first
        };
        if is_first {
            self.request_round();
        }
        woken.wait();
    }

    /// Makes the event ready. It is never read: each write alone causes another event, and the counter holds
    /// more of them than a process can make.
    fn request_round(&self) {
        let _ = self.event.inner().write(1);
    }

    /// Grants the turns of one round after the other. Never returns.
    fn run(&self) {
        loop {
            self.event.wait_io();
            let (next, more) = {
                let mut waiting = self.waiting.lock().unwrap();
                (waiting.next_round(), !waiting.is_empty())
            };
            if more {
                self.request_round();
            }
            next.iter().flatten().for_each(|woken| woken.post());
        }
    }
}

/// Waits until all other coroutines with something to do have had their turn, and then for this one's.
fn wait_for_turn(class: TurnClass) {
    match TurnQueue::global() {
        Some(queue) => queue.wait(class),
        None => sleep(PAUSE_WITHOUT_QUEUE),
    }
}
