//! Ids of RPCs that are in progress or ended recently. A node that received the same id twice would run the
//! RPC twice.

#[cfg(test)]
mod tests;

use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An id stays claimed for this long after its RPC has ended, or for the client's timeout if that is longer:
/// until then a copy that was sent before the answer may still arrive.
const TAKEN: Duration = Duration::from_secs(8);
/// The most ids of ended RPCs that are remembered; they take 2 MB. Ids in progress are limited by the number
/// of connections.
const MOST: usize = 20_000;

/// The ids that are claimed or remembered.
#[derive(Default)]
pub struct Ids(Mutex<Known>);

#[derive(Default)]
struct Known {
    all: HashSet<Arc<str>>,
    /// Ids of ended RPCs, each with the time until which it is remembered.
    ended: VecDeque<(Instant, Arc<str>)>,
}

/// An id that is claimed while this value lives, and for a while after.
pub struct Claim<'a> {
    ids: &'a Ids,
    id: Arc<str>,
    patience: Duration,
}

impl Ids {
    /// Claims an id whose client waits no longer than `patience`. Returns `None` if it is already claimed.
    pub fn claim(&self, id: &str, patience: Duration) -> Option<Claim<'_>> {
        let id: Arc<str> = id.into();
        let mut known = self.0.lock().unwrap();
        known.forget(Instant::now());
        known.all.insert(id.clone()).then(|| Claim { ids: self, id, patience })
    }
}

impl Known {
    /// Releases the ids of ended RPCs that have expired or exceed the limit.
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
