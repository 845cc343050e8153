//! Timers for coroutines, run by a dedicated thread.
//!
//! may's own timers are not used anywhere. Its timer thread runs the coroutines that it wakes by itself, and
//! a coroutine that then reads a socket with a timeout modifies the timer list of an event loop that runs on
//! another thread; that list is not thread-safe (`EventData::fast_schedule` in may 0.3.51, `Entry::remove` in
//! may_queue 0.1.24). With 5,000 clients in one process the heap was corrupted within seconds. A wake-up from
//! a thread that runs no coroutines goes to the workers' queues instead.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::time::{Duration, Instant};

use may::io::WaitIoWaker;
use may::sync::Semphore;

use crate::pending::{Look, Pending};

/// The longest time between two checks of a connection's timeout, so that a closed connection is soon
/// released.
const LONGEST: Duration = Duration::from_secs(5);

/// The read timeout of a connection. Its entry stays in the clock from one read to the next, so most reads
/// need no entry of their own.
pub(crate) struct Limit {
    pending: Pending<AtomicU64>,
    waker: WaitIoWaker,
}

/// What an expired entry wakes.
enum Wakes {
    Reader(Arc<Limit>),
    Sleeper(Arc<Semphore>),
}

/// A timer; `at` is in nanoseconds since the clock's zero.
struct Entry {
    at: u64,
    wakes: Wakes,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.cmp(&other.at)
    }
}

/// The process-wide timer queue and its thread.
struct Clock {
    zero: Instant,
    entries: Mutex<BinaryHeap<Reverse<Entry>>>,
    /// Notified when a new entry expires before all others.
    earlier: Condvar,
}

impl Clock {
    fn get() -> &'static Clock {
        static CLOCK: OnceLock<Clock> = OnceLock::new();
        static RUNS: OnceLock<()> = OnceLock::new();
        let clock = CLOCK.get_or_init(|| Clock {
            zero: Instant::now(),
            entries: Mutex::default(),
            earlier: Condvar::new(),
        });
        RUNS.get_or_init(|| {
            std::thread::spawn(|| clock.run());
        });
        clock
    }

    fn nanos(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.zero).as_nanos() as u64
    }

    fn add(&self, at: u64, wakes: Wakes) {
        let first = {
            let mut entries = self.entries.lock().unwrap();
            let first = entries.peek().is_none_or(|next| at < next.0.at);
            entries.push(Reverse(Entry { at, wakes }));
            first
        };
        if first {
            self.earlier.notify_one();
        }
    }

    /// Wakes what has expired. Never returns.
    fn run(&self) {
        let mut due = Vec::new();
        loop {
            let now = self.nanos(Instant::now());
            {
                let mut entries = self.entries.lock().unwrap();
                while entries.peek().is_some_and(|next| next.0.at <= now) {
                    due.extend(entries.pop().map(|entry| entry.0.wakes));
                }
                if due.is_empty() {
                    let wait = entries.peek().map(|next| Duration::from_nanos(next.0.at - now));
                    drop(match wait {
                        Some(wait) => self.earlier.wait_timeout(entries, wait).unwrap().0,
                        None => self.earlier.wait(entries).unwrap(),
                    });
                }
            }
            for wakes in due.drain(..) {
                match wakes {
                    Wakes::Sleeper(semaphore) => semaphore.post(),
                    Wakes::Reader(limit) => self.look(limit, now),
                }
            }
        }
    }

    /// Handles the expired entry of a connection.
    fn look(&self, limit: Arc<Limit>, now: u64) {
        match limit.pending.come_up(now) {
            Look::Nothing => {}
            Look::Late => limit.waker.wakeup(),
            Look::Again(at) => self.enter(limit, at, now),
        }
    }

    /// Adds an entry for a connection's timeout.
    fn enter(&self, limit: Arc<Limit>, at: u64, now: u64) {
        let at = at.min(now + LONGEST.as_nanos() as u64);
        limit.pending.entered(at);
        self.add(at, Wakes::Reader(limit));
    }
}

impl Limit {
    pub(crate) fn new(waker: WaitIoWaker) -> Arc<Self> {
        Arc::new(Limit { pending: Pending::default(), waker })
    }

    /// Wakes the read that begins now at `by`.
    pub(crate) fn set(self: &Arc<Self>, by: Instant) {
        let clock = Clock::get();
        let at = clock.nanos(by);
        if self.pending.begin(at) {
            clock.enter(self.clone(), at, clock.nanos(Instant::now()));
        }
    }

    /// Ends the read, and its timeout with it.
    pub(crate) fn clear(&self) {
        self.pending.end();
    }
}

/// Posts to the semaphore at the given time.
pub fn post_at(at: Instant, semaphore: Arc<Semphore>) {
    let clock = Clock::get();
    clock.add(clock.nanos(at), Wakes::Sleeper(semaphore));
}
