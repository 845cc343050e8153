//! State of one read timeout, shared by the reader and the clock without a lock: two words, each written by
//! one side and read by the other. In every interleaving, either the clock sees a new timeout or the reader
//! adds an entry for it.

use std::sync::atomic::{AtomicU64, Ordering};

/// No timeout, or no entry in the clock; compares later than any time.
const NONE: u64 = u64::MAX;

/// An atomic word, either std's or the model checker's.
pub(crate) trait Word {
    fn new(value: u64) -> Self;
    fn load(&self) -> u64;
    fn store(&self, value: u64);
}

impl Word for AtomicU64 {
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
pub(crate) struct Pending<W> {
    /// Deadline of the current read.
    at: W,
    /// When the clock will next check.
    entry: W,
}

/// What the clock finds when its entry has expired.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Look {
    /// No read with a timeout is in progress.
    Nothing,
    /// The read has timed out.
    Late,
    /// The read has until the given time.
    Again(u64),
}

impl<W: Word> Default for Pending<W> {
    fn default() -> Self {
        Pending { at: W::new(NONE), entry: W::new(NONE) }
    }
}

impl<W: Word> Pending<W> {
    /// Starts a read. Returns true if the clock would check too late, so that the caller must add an entry.
    pub(crate) fn begin(&self, at: u64) -> bool {
        self.at.store(at);
        self.entry.load() > at
    }

    /// Ends the read.
    pub(crate) fn end(&self) {
        self.at.store(NONE);
    }

    /// Records that the clock has an entry for this time.
    pub(crate) fn entered(&self, at: u64) {
        self.entry.store(at);
    }

    /// Called by the clock when its entry has expired.
    pub(crate) fn come_up(&self, now: u64) -> Look {
        // The entry is cleared before the deadline is loaded: a read that begins in between sees that there
        // is no entry.
        self.entry.store(NONE);
        match self.at.load() {
            NONE => Look::Nothing,
            at if at <= now => Look::Late,
            at => Look::Again(at),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use loom::sync::atomic::AtomicU64 as Checked;
    use loom::sync::Arc;

    impl Word for Checked {
        fn new(value: u64) -> Self {
            Checked::new(value)
        }

        fn load(&self) -> u64 {
            // Loom treats a SeqCst load as AcqRel; the fence makes it SeqCst.
            loom::sync::atomic::fence(Ordering::SeqCst);
            Checked::load(self, Ordering::SeqCst)
        }

        fn store(&self, value: u64) {
            Checked::store(self, value, Ordering::SeqCst);
            loom::sync::atomic::fence(Ordering::SeqCst);
        }
    }

    /// Covers every interleaving of a reader that sets a new timeout and a clock whose old entry expires.
    #[test]
    fn a_limit_is_seen_by_the_clock_or_entered_by_the_reader() {
        loom::model(|| {
            let pending = Arc::new(Pending::<Checked>::default());
            assert!(pending.begin(5), "the clock has no entry yet");
            pending.entered(5);
            pending.end();
            let reader = {
                let pending = pending.clone();
                loom::thread::spawn(move || pending.begin(9))
            };
            let seen = pending.come_up(5);
            let entered = reader.join().unwrap();
            assert!(entered || seen == Look::Again(9), "nothing wakes the read: {seen:?}");
        });
    }
}
