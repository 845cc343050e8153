//! State of one read timeout, shared by the reader and the clock without a lock: two words, each written by
//! one side and read by the other. In every interleaving, either the clock sees a new timeout or the reader
//! adds an entry for it.

use std::sync::atomic::{AtomicU64, Ordering};

/// No timeout, or no entry in the clock; compares later than any time.
const NEVER: u64 = u64::MAX;

/// An atomic word, either std's or the model checker's.
pub(crate) trait AtomicWord {
    fn new(value: u64) -> Self;
    fn load(&self) -> u64;
    fn store(&self, value: u64);
}

impl AtomicWord for AtomicU64 {
    fn new(value: u64) -> Self {
        AtomicU64::new(value)
    }

    fn load(&self) -> u64 {
        AtomicU64::load(self, Ordering::SeqCst)
    }

    fn store(&self, value: u64) {
        AtomicU64::store(self, value, Ordering::SeqCst);
    }
}

/// The shared state of one read timeout; times in nanoseconds since the clock's zero.
pub(crate) struct SharedDeadline<W> {
    /// Deadline of the current read.
    deadline: W,
    /// When the clock will next check.
    next_check: W,
}

/// What the clock finds when its entry has expired.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Expiry {
    /// No read with a timeout is in progress.
    NoRead,
    /// The read has timed out.
    TimedOut,
    /// The read has until the given time.
    Rearm(u64),
}

impl<W: AtomicWord> Default for SharedDeadline<W> {
    fn default() -> Self {
        SharedDeadline { deadline: W::new(NEVER), next_check: W::new(NEVER) }
    }
}

impl<W: AtomicWord> SharedDeadline<W> {
    /// Starts a read. Returns true if the clock would check too late, so that the caller must add an entry.
    pub(crate) fn start_read(&self, at: u64) -> bool {
        self.deadline.store(at);
        self.next_check.load() > at
    }

    /// Ends the read.
    pub(crate) fn end_read(&self) {
        self.deadline.store(NEVER);
    }

    /// Records that the clock has an entry for this time.
    pub(crate) fn entry_added(&self, at: u64) {
        self.next_check.store(at);
    }

    /// Called by the clock when its entry has expired.
    pub(crate) fn entry_expired(&self, now: u64) -> Expiry {
        // The entry is cleared before the deadline is loaded: a read that begins in between sees that there
        // is no entry.
        self.next_check.store(NEVER);
        match self.deadline.load() {
            NEVER => Expiry::NoRead,
            at if at <= now => Expiry::TimedOut,
            at => Expiry::Rearm(at),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use loom::sync::atomic::AtomicU64 as LoomU64;
    use loom::sync::Arc;

    impl AtomicWord for LoomU64 {
        fn new(value: u64) -> Self {
            LoomU64::new(value)
        }

        fn load(&self) -> u64 {
            // Loom treats a SeqCst load as AcqRel; the fence makes it SeqCst.
            loom::sync::atomic::fence(Ordering::SeqCst);
            LoomU64::load(self, Ordering::SeqCst)
        }

        fn store(&self, value: u64) {
            LoomU64::store(self, value, Ordering::SeqCst);
            loom::sync::atomic::fence(Ordering::SeqCst);
        }
    }

    /// Covers every interleaving of a reader that sets a new timeout and a clock whose old entry expires.
    #[test]
    fn the_clock_sees_a_new_deadline_or_the_reader_adds_an_entry() {
        loom::model(|| {
            let state = Arc::new(SharedDeadline::<LoomU64>::default());
            assert!(state.start_read(5), "the clock has no entry yet");
            state.entry_added(5);
            state.end_read();
            let reader = {
                let state = state.clone();
                loom::thread::spawn(move || state.start_read(9))
            };
            let seen = state.entry_expired(5);
            let needs_entry = reader.join().unwrap();
            assert!(needs_entry || seen == Expiry::Rearm(9), "nothing wakes the read: {seen:?}");
        });
    }
}
