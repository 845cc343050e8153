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

use crate::deadline::{Expiry, SharedDeadline};

/// The longest time between two checks of a connection's timeout, so that a closed connection is soon
/// released.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The read timeout of a connection. Its entry stays in the clock from one read to the next, so most reads
/// need no entry of their own.
pub(crate) struct ReadTimeout {
    deadline_state: SharedDeadline<AtomicU64>,
    waker: WaitIoWaker,
}

/// What an expired entry wakes.
enum WakeTarget {
    Reader(Arc<ReadTimeout>),
    Sleeper(Arc<Semphore>),
}

/// A timer; `at` is in nanoseconds since the clock's zero.
struct Entry {
    at: u64,
    target: WakeTarget,
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
    epoch: Instant,
    entries: Mutex<BinaryHeap<Reverse<Entry>>>,
    /// Notified when a new entry expires before all others.
    rescheduled: Condvar,
}

impl Clock {
    fn global() -> &'static Clock {
        static GLOBAL: OnceLock<Clock> = OnceLock::new();
        static THREAD_STARTED: OnceLock<()> = OnceLock::new();
        let clock = GLOBAL.get_or_init(|| Clock {
            epoch: Instant::now(),
            entries: Mutex::default(),
            rescheduled: Condvar::new(),
        });
        THREAD_STARTED.get_or_init(|| {
            std::thread::spawn(|| clock.run());
        });
        clock
    }

    fn nanos_since_epoch(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.epoch).as_nanos() as u64
    }

    fn add(&self, at: u64, target: WakeTarget) {
        let is_earliest = {
            let mut entries = self.entries.lock().unwrap();
            let is_earliest = entries.peek().is_none_or(|next| at < next.0.at);
            entries.push(Reverse(Entry { at, target }));
            is_earliest
        };
        if is_earliest {
            self.rescheduled.notify_one();
        }
    }

    /// Wakes what has expired. Never returns.
    fn run(&self) {
        let mut expired = Vec::new();
        loop {
            let now = self.nanos_since_epoch(Instant::now());
            {
                let mut entries = self.entries.lock().unwrap();
                while entries.peek().is_some_and(|next| next.0.at <= now) {
                    expired.extend(entries.pop().map(|entry| entry.0.target));
                }
                if expired.is_empty() {
                    let wait = entries.peek().map(|next| Duration::from_nanos(next.0.at - now));
                    drop(match wait {
                        Some(wait) => self.rescheduled.wait_timeout(entries, wait).unwrap().0,
                        None => self.rescheduled.wait(entries).unwrap(),
                    });
                }
            }
            for target in expired.drain(..) {
                match target {
                    WakeTarget::Sleeper(semaphore) => semaphore.post(),
                    WakeTarget::Reader(timeout) => self.handle_expired(timeout, now),
                }
            }
        }
    }

    /// Handles the expired entry of a connection.
    fn handle_expired(&self, timeout: Arc<ReadTimeout>, now: u64) {
        match timeout.deadline_state.entry_expired(now) {
            Expiry::NoRead => {}
            Expiry::TimedOut => timeout.waker.wakeup(),
            Expiry::Rearm(at) => self.add_read_timeout(timeout, at, now),
        }
    }

    /// Adds an entry for a connection's timeout.
    fn add_read_timeout(&self, timeout: Arc<ReadTimeout>, at: u64, now: u64) {
        let at = at.min(now + MAX_CHECK_INTERVAL.as_nanos() as u64);
        timeout.deadline_state.entry_added(at);
        self.add(at, WakeTarget::Reader(timeout));
    }
}

impl ReadTimeout {
    pub(crate) fn new(waker: WaitIoWaker) -> Arc<Self> {
        Arc::new(ReadTimeout { deadline_state: SharedDeadline::default(), waker })
    }

    /// Wakes the read that begins now at `deadline`.
    pub(crate) fn arm(self: &Arc<Self>, deadline: Instant) {
        let clock = Clock::global();
        let at = clock.nanos_since_epoch(deadline);
        if self.deadline_state.start_read(at) {
            clock.add_read_timeout(self.clone(), at, clock.nanos_since_epoch(Instant::now()));
        }
    }

    /// Ends the read, and its timeout with it.
    pub(crate) fn disarm(&self) {
        self.deadline_state.end_read();
    }
}

/// Posts to the semaphore at the given time.
pub fn post_at(at: Instant, semaphore: Arc<Semphore>) {
    let clock = Clock::global();
    clock.add(clock.nanos_since_epoch(at), WakeTarget::Sleeper(semaphore));
}
