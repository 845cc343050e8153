//! The services that this marshal holds, and the coroutines that watch the node list and the rollout
//! controller of each.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ivydrift_marshal::{DropReason, InstanceId, Rejected, PRIMARY};

use crate::query::QueryHandle;
use crate::{watch, Edge};

/// A held service as the shell sees it.
pub struct HeldService {
    /// The core's id for the service.
    pub service_id: InstanceId,
    /// `None` for `places.service`, whatever its name in the config.
    pub service: Option<Arc<str>>,
    /// The coroutine that watches the node list.
    watch: Mutex<WatchSlot>,
    /// This marshal's votes on the service's rollout.
    pub votes: Mutex<watch::VoteQueue>,
    /// The rejected node-list entries that were last logged.
    pub logged_rejects: Mutex<Vec<Rejected>>,
    /// Connections to discovery and to the rollout controller on which a query may be waiting.
    pub discovery_query: QueryHandle,
    pub controller_query: QueryHandle,
    dropped: AtomicBool,
}

impl HeldService {
    /// A held service that nothing watches yet.
    pub fn new(service_id: InstanceId, service: Option<Arc<str>>) -> Arc<HeldService> {
        Arc::new(HeldService {
            service_id,
            service,
            watch: Mutex::default(),
            votes: Mutex::default(),
            logged_rejects: Mutex::default(),
            discovery_query: QueryHandle::default(),
            controller_query: QueryHandle::default(),
            dropped: AtomicBool::new(false),
        })
    }

    /// Whether the service is no longer held, so that its watches must stop.
    pub fn is_dropped(&self) -> bool {
        self.dropped.load(Ordering::Acquire)
    }
}

/// The watch of a node list: one coroutine at a time.
#[derive(Default)]
struct WatchSlot {
    /// Number of claims so far; only the latest is valid.
    generation: u64,
    current: Option<ActiveClaim>,
}

/// The valid claim on a node list.
struct ActiveClaim {
    /// The value of `Edge::address_generation` for which the list is watched.
    address_generation: u64,
    /// The watcher counts as stuck if it does not report by this time.
    due: Instant,
}

/// The right to watch a node list, until it is dropped or taken over by another coroutine.
pub struct WatchClaim {
    held: Arc<HeldService>,
    generation: u64,
}

impl HeldService {
    /// Claims the watch of the list for this value of `Edge::address_generation`. Returns `None` if a
    /// coroutine that is not stuck already watches it: one that panicked or hangs in a call must not
    /// keep the list for ever.
    pub fn claim(self: &Arc<Self>, address_generation: u64, timeout: Duration) -> Option<WatchClaim> {
        let mut watch = self.watch.lock().unwrap();
        let now = Instant::now();
        if watch
            .current
            .as_ref()
            .is_some_and(|current| current.address_generation == address_generation && now < current.due)
        {
            return None;
        }
        watch.generation += 1;
        watch.current = Some(ActiveClaim { address_generation, due: now + timeout });
        Some(WatchClaim { held: self.clone(), generation: watch.generation })
    }
}

impl WatchClaim {
    /// Announces that the next call ends within this time. Returns false if another coroutine has taken over.
    pub fn extend(&self, timeout: Duration) -> bool {
        let mut watch = self.held.watch.lock().unwrap();
        let still_holds = watch.generation == self.generation;
        if let Some(current) = watch.current.as_mut().filter(|_| still_holds) {
            current.due = Instant::now() + timeout;
        }
        still_holds
    }
}

impl Drop for WatchClaim {
    fn drop(&mut self) {
        let mut watch = self.held.watch.lock().unwrap();
        if watch.generation == self.generation {
            watch.current = None;
        }
    }
}

/// The services held in addition to `places.service`.
#[derive(Default)]
pub struct HeldServices(Mutex<HashMap<InstanceId, Arc<HeldService>>>);

impl HeldServices {
    fn all(&self) -> Vec<Arc<HeldService>> {
        self.0.lock().unwrap().values().cloned().collect()
    }
}

impl Edge {
    /// The service that a command concerns, or `None` if it is no longer held.
    pub fn held_service(&self, id: InstanceId) -> Option<Arc<HeldService>> {
        if id == PRIMARY {
            return Some(self.primary.clone());
        }
        self.held_services.0.lock().unwrap().get(&id).cloned()
    }

    /// Begins to hold a service, and watches its rollout controller.
    pub fn hold_service(self: &Arc<Self>, id: InstanceId, service: Arc<str>) {
        let held = HeldService::new(id, Some(service.clone()));
        self.held_services.0.lock().unwrap().insert(id, held.clone());
        tracing::info!(service = &*service, "service begun");
        watch::watch_controller(self, &held);
        // Commands are carried out outside the core's lock, so the command to drop the service may have been
        // handled first.
        if !self.core.lock().unwrap().is_held(id) {
            self.release_service(id);
        }
    }

    /// Drops a service that is no longer needed.
    pub fn drop_service(&self, id: InstanceId, service: &str, why: DropReason) {
        tracing::info!(service, why = why.as_str(), "service dropped");
        self.release_service(id);
    }

    fn release_service(&self, id: InstanceId) {
        let Some(held) = self.held_services.0.lock().unwrap().remove(&id) else { return };
        held.dropped.store(true, Ordering::Release);
        // Otherwise each watch would keep waiting for an answer about a service that is no longer needed.
        for query in [&held.discovery_query, &held.controller_query] {
            query.abort();
        }
    }

    /// Watches node lists and rollout controller at their new addresses after a move.
    pub fn rewatch_all(self: &Arc<Self>) {
        for held in std::iter::once(self.primary.clone()).chain(self.held_services.all()) {
            watch::watch_controller(self, &held);
            watch::watch_node_list(self, &held);
        }
    }
}
