//! The services that are held, and who follows the list and the desk of each.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use ivydrift_marshal::{Dropped, Hold, Rejected, HOME};

use crate::asker::Line;
use crate::{news, Edge};

/// A service that is held, as the shell knows it.
pub struct Held {
    pub of: Hold,
    /// None: `places.service`, whatever the terms call it.
    pub service: Option<Arc<str>>,
    /// The node list is followed for this count of moves; none at `u64::MAX`.
    pub watching: AtomicU64,
    pub votes: Mutex<news::Votes>,
    /// What was last said to be wrong with its list.
    pub complained: Mutex<Vec<Rejected>>,
    /// Connections to list and desk on which an answer may be waited for.
    pub list: Line,
    pub desk: Line,
    gone: AtomicBool,
}

impl Held {
    pub fn new(of: Hold, service: Option<Arc<str>>) -> Arc<Held> {
        Arc::new(Held {
            of,
            service,
            watching: AtomicU64::new(u64::MAX),
            votes: Mutex::default(),
            complained: Mutex::default(),
            list: Line::default(),
            desk: Line::default(),
            gone: AtomicBool::new(false),
        })
    }

    /// It is held no longer: whoever follows its list or desk stops.
    pub fn gone(&self) -> bool {
        self.gone.load(Ordering::Acquire)
    }
}

#[derive(Default)]
pub struct Holds(Mutex<HashMap<Hold, Arc<Held>>>);

impl Holds {
    fn all(&self) -> Vec<Arc<Held>> {
        self.0.lock().unwrap().values().cloned().collect()
    }
}

impl Edge {
    /// Whom an order is about; none where that is held no longer.
    pub fn held(&self, of: Hold) -> Option<Arc<Held>> {
        if of == HOME {
            return Some(self.home.clone());
        }
        self.holds.0.lock().unwrap().get(&of).cloned()
    }

    pub fn follow(self: &Arc<Self>, of: Hold, service: Arc<str>) {
        let held = Held::new(of, Some(service.clone()));
        self.holds.0.lock().unwrap().insert(of, held.clone());
        tracing::info!(service = &*service, "service begun");
        news::follow_desk_of(self, &held);
        // Orders are carried out outside the core's lock: that to leave may have come before this one.
        if !self.core.lock().unwrap().holds(of) {
            self.end_hold(of);
        }
    }

    pub fn unfollow(&self, of: Hold, service: &str, why: Dropped) {
        tracing::info!(service, why = why.word(), "service dropped");
        self.end_hold(of);
    }

    fn end_hold(&self, of: Hold) {
        let Some(held) = self.holds.0.lock().unwrap().remove(&of) else { return };
        held.gone.store(true, Ordering::Release);
        // Else each would wait for an answer of a service that nobody asks for any more.
        for line in [&held.list, &held.desk] {
            line.cut();
        }
    }

    /// List and desk have moved: they are followed at their new places.
    pub fn follow_all(self: &Arc<Self>) {
        for held in std::iter::once(self.home.clone()).chain(self.holds.all()) {
            news::follow_desk_of(self, &held);
            news::watch_of(self, &held);
        }
    }
}
