//! Ids of RPCs in hand and of those that ended lately. A node that saw one twice would run it twice.

#[cfg(test)]
mod tests;

use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An id stays taken for this long after its RPC has ended, and for as long as a client may wait where that is
/// longer: until then a copy may still come that was sent before the answer.
const TAKEN: Duration = Duration::from_secs(8);
/// The most ids of ended RPCs that are remembered: 2 MB. Those in hand are bounded by the connections.
const MOST: usize = 20_000;

#[derive(Default)]
pub struct Ids(Mutex<Known>);

#[derive(Default)]
struct Known {
    all: HashSet<Arc<str>>,
    /// Those that have ended, and until when each is remembered.
    ended: VecDeque<(Instant, Arc<str>)>,
}

/// An id that is taken as long as this lives, and for a while after.
pub struct Claim<'a> {
    ids: &'a Ids,
    id: Arc<str>,
    patience: Duration,
}

impl Ids {
    /// Takes an id whose client waits no longer than `patience`; none where it is taken.
    pub fn claim(&self, id: &str, patience: Duration) -> Option<Claim<'_>> {
        let id: Arc<str> = id.into();
        let mut known = self.0.lock().unwrap();
        known.forget(Instant::now());
        known.all.insert(id.clone()).then(|| Claim { ids: self, id, patience })
    }
}

impl Known {
    fn forget(&mut self, now: Instant) {
        while self.ended.front().is_some_and(|(until, _)| now >= *until) || self.ended.len() > MOST {
            if let Some((_, old)) = self.ended.pop_front() {
                self.all.remove(&old);
            }
        }
    }

    fn end(&mut self, id: Arc<str>, until: Instant) {
        self.ended.push_back((until, id));
    }
}

impl Drop for Claim<'_> {
    fn drop(&mut self) {
        let until = Instant::now() + self.patience.max(TAKEN);
        let mut known = self.ids.0.lock().unwrap();
        known.end(self.id.clone(), until);
        known.forget(Instant::now());
    }
}
