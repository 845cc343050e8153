//! The services that this marshal holds, and the coroutines that watch the node list and the rollout
//! controller of each.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ivydrift_marshal::{Dropped, Hold, Rejected, HOME};

use crate::query::Line;
use crate::{news, Edge};

/// A held service as the shell sees it.
pub struct Held {
    /// The core's id for the service.
    pub of: Hold,
    /// `None` for `places.service`, whatever its name in the config.
    pub service: Option<Arc<str>>,
    /// The coroutine that watches the node list.
    follower: Mutex<Follower>,
    /// This marshal's votes on the service's rollout.
    pub votes: Mutex<news::Votes>,
    /// The rejected node-list entries that were last logged.
    pub complained: Mutex<Vec<Rejected>>,
    /// Connections to discovery and to the rollout controller on which a query may be waiting.
    pub list: Line,
    pub desk: Line,
    gone: AtomicBool,
}

impl Held {
    /// A held service that nothing watches yet.
    pub fn new(of: Hold, service: Option<Arc<str>>) -> Arc<Held> {
        Arc::new(Held {
            of,
            service,
            follower: Mutex::default(),
            votes: Mutex::default(),
            complained: Mutex::default(),
            list: Line::default(),
            desk: Line::default(),
            gone: AtomicBool::new(false),
        })
    }

    /// Whether the service is no longer held, so that its watches must stop.
    pub fn gone(&self) -> bool {
        self.gone.load(Ordering::Acquire)
    }
}

/// The watch of a node list: one coroutine at a time.
#[derive(Default)]
struct Follower {
    /// Number of claims so far; only the latest is valid.
    serial: u64,
    current: Option<Claimed>,
}

/// The valid claim on a node list.
struct Claimed {
    /// The value of `Edge::moves` for which the list is watched.
    moves: u64,
    /// The watcher counts as stuck if it does not report by this time.
    due: Instant,
}

/// The right to watch a node list, until it is dropped or taken over by another coroutine.
pub struct FollowClaim {
    held: Arc<Held>,
    serial: u64,
}

impl Held {
    /// Claims the watch of the list for this value of `Edge::moves`. Returns `None` if a coroutine that is
    /// not stuck already watches it: one that panicked or hangs in a call must not keep the list for ever.
    pub fn claim(self: &Arc<Self>, moves: u64, within: Duration) -> Option<FollowClaim> {
        let mut follower = self.follower.lock().unwrap();
        let now = Instant::now();
        if follower.current.as_ref().is_some_and(|current| current.moves == moves && now < current.due) {
            return None;
        }
        follower.serial += 1;
        follower.current = Some(Claimed { moves, due: now + within });
        Some(FollowClaim { held: self.clone(), serial: follower.serial })
    }
}

impl FollowClaim {
    /// Announces that the next call ends within this time. Returns false if another coroutine has taken over.
    pub fn extend(&self, within: Duration) -> bool {
        let mut follower = self.held.follower.lock().unwrap();
        let holds = follower.serial == self.serial;
        if let Some(current) = follower.current.as_mut().filter(|_| holds) {
            current.due = Instant::now() + within;
        }
        holds
    }
}

impl Drop for FollowClaim {
    fn drop(&mut self) {
        let mut follower = self.held.follower.lock().unwrap();
        if follower.serial == self.serial {
            follower.current = None;
        }
    }
}

/// The services held in addition to `places.service`.
#[derive(Default)]
pub struct Holds(Mutex<HashMap<Hold, Arc<Held>>>);

impl Holds {
    fn all(&self) -> Vec<Arc<Held>> {
        self.0.lock().unwrap().values().cloned().collect()
    }
}

impl Edge {
    /// The service that an order concerns, or `None` if it is no longer held.
    pub fn held(&self, of: Hold) -> Option<Arc<Held>> {
        if of == HOME {
            return Some(self.home.clone());
        }
        self.holds.0.lock().unwrap().get(&of).cloned()
    }

    /// Begins to hold a service, and watches its rollout controller.
    pub fn follow(self: &Arc<Self>, of: Hold, service: Arc<str>) {
        let held = Held::new(of, Some(service.clone()));
        self.holds.0.lock().unwrap().insert(of, held.clone());
        tracing::info!(service = &*service, "service begun");
        news::follow_desk_of(self, &held);
        // Orders are carried out outside the core's lock, so the order to drop the service may have been
        // handled first.
        if !self.core.lock().unwrap().holds(of) {
            self.end_hold(of);
        }
    }

    /// Drops a service that is no longer needed.
    pub fn unfollow(&self, of: Hold, service: &str, why: Dropped) {
        tracing::info!(service, why = why.word(), "service dropped");
        self.end_hold(of);
    }

    fn end_hold(&self, of: Hold) {
        let Some(held) = self.holds.0.lock().unwrap().remove(&of) else { return };
        held.gone.store(true, Ordering::Release);
        // Otherwise each watch would keep waiting for an answer about a service that is no longer needed.
        for line in [&held.list, &held.desk] {
            line.cut();
        }
    }

    /// Watches node lists and rollout controller at their new addresses after a move.
    pub fn follow_all(self: &Arc<Self>) {
        for held in std::iter::once(self.home.clone()).chain(self.holds.all()) {
            news::follow_desk_of(self, &held);
            news::follow_membership(self, &held);
        }
    }
}
