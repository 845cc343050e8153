//! Ids of RPCs that are in progress or ended recently. A node that received the same id twice would run the
//! RPC twice.

#[cfg(test)]
mod tests;

use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An id stays claimed for this long after its RPC has ended, or for the client's timeout if that is longer:
/// until then a copy that was sent before the answer may still arrive.
const RETENTION: Duration = Duration::from_secs(8);
/// The most ids of ended RPCs that are remembered; they take 2 MB. Ids in progress are limited by the number
/// of connections.
const MAX_ENDED: usize = 20_000;

/// The ids that are claimed or remembered.
#[derive(Default)]
pub struct RequestIds(Mutex<ClaimedIds>);

#[derive(Default)]
struct ClaimedIds {
    all: HashSet<Arc<str>>,
    /// Ids of ended RPCs, each with the time until which it is remembered.
    ended: VecDeque<(Instant, Arc<str>)>,
}

/// An id that is claimed while this value lives, and for a while after.
pub struct IdClaim<'a> {
    ids: &'a RequestIds,
    id: Arc<str>,
    client_timeout: Duration,
}

impl RequestIds {
    /// Claims an id whose client waits no longer than `client_timeout`. Returns `None` if it is already
    /// claimed.
    pub fn claim(&self, id: &str, client_timeout: Duration) -> Option<IdClaim<'_>> {
        let id: Arc<str> = id.into();
        let mut claimed = self.0.lock().unwrap();
        claimed.expire(Instant::now());
        claimed.all.insert(id.clone()).then(|| IdClaim { ids: self, id, client_timeout })
    }
}

impl ClaimedIds {
    /// Releases the ids of ended RPCs that have expired or exceed the limit.
    fn expire(&mut self, now: Instant) {
        while self.ended.front().is_some_and(|(until, _)| now >= *until) || self.ended.len() > MAX_ENDED {
            if let Some((_, old)) = self.ended.pop_front() {
                self.all.remove(&old);
            }
        }
    }

    fn remember_ended(&mut self, id: Arc<str>, until: Instant) {
        self.ended.push_back((until, id));
    }
}

impl Drop for IdClaim<'_> {
    fn drop(&mut self) {
        let until = Instant::now() + self.client_timeout.max(RETENTION);
        let mut claimed = self.ids.0.lock().unwrap();
        claimed.remember_ended(self.id.clone(), until);
        claimed.expire(Instant::now());
    }
}
