//! A running marshal: start, config reload, and stop.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ivydrift_marshal::{Counts, DiscoverySignal, Input};
use ivydrift_platform::members::Catalog;
use ivydrift_platform::start::PlatformConfig;
use ivydrift_terms::{Addresses, Config};
use ivydrift_wire::controller::RolloutUpdate;

use crate::dialect::{self, Dialect};
use crate::guard::{Violations, WithheldCounts};
use crate::{run, set_up, Edge, Settings};
use ivydrift_sockets::{Listener, Waker};

/// A running marshal.
pub struct Running {
    edge: Arc<Edge>,
    /// The address that clients connect to.
    pub listen_addr: SocketAddr,
    /// Wakes the accept loop.
    waker: Waker,
}

impl Running {
    fn begin(edge: Arc<Edge>, listener: Listener) -> Self {
        let (listen_addr, waker) = run(&edge, listener);
        Running { edge, listen_addr, waker }
    }
}

/// Starts a marshal from its config. The first one started in a process sets the number of runtime workers.
///
/// # Errors
/// If one of its addresses cannot be bound.
pub fn start(config: Config) -> io::Result<Running> {
    let (edge, listener) = set_up(config, Dialect::Native)?;
    Ok(Running::begin(edge, listener))
}

/// Starts a marshal of the platform from the contents of its file.
///
/// # Errors
/// If its address cannot be bound.
pub fn start_platform(platform: PlatformConfig) -> io::Result<Running> {
    let (known_nodes, config) = (platform.catalog.nodes(), platform.config);
    let (edge, listener) = set_up(config, Dialect::Platform(dialect::Platform::new(platform.catalog)))?;
    // Data known from before is passed on first, since everything received later is newer.
    if let Some(stage) = platform.rollout_stage {
        let rollout_update = RolloutUpdate { index: 0, stage: Some(stage), sums: vec![], disputed: vec![] };
        edge.dispatch(Input::RolloutUpdate(&rollout_update), 0);
    }
    if !known_nodes.is_empty() {
        edge.dispatch(Input::CachedNodeList(&known_nodes), 0);
    }
    Ok(Running::begin(edge, listener))
}

impl Running {
    /// The core's counts since the start.
    pub fn counts(&self) -> Counts {
        self.edge.counts()
    }

    /// Notes that a new config was announced, whether or not it is valid: discovery counts as heard from
    /// sooner.
    pub fn reload_announced(&self) {
        self.edge.dispatch(Input::Discovery(DiscoverySignal::Reloaded), 0);
    }

    /// Applies a new config without a restart. No RPC in progress is lost or sent twice. If discovery or the
    /// rollout controller has moved, it is watched at its new address from now on.
    ///
    /// # Errors
    /// Names what cannot change in a running marshal; the earlier config stays in force.
    pub fn reload(&self, config: Config) -> Result<(), String> {
        self.apply_config(config, None)
    }

    /// Like [`Running::reload`], from the contents of the platform's file.
    ///
    /// # Errors
    /// As for [`Running::reload`].
    pub fn reload_on_platform(&self, platform: PlatformConfig) -> Result<(), String> {
        self.apply_config(platform.config, Some(&platform.catalog))
    }

    fn apply_config(&self, config: Config, known_nodes: Option<&Catalog>) -> Result<(), String> {
        let (edge, new, limits) = (&self.edge, Settings::of(&config), config.rollout.limits);
        edge.core.lock().unwrap().reconfigure(config)?;
        edge.pool.set_limits(&new.limits, limits.idle_timeout);
        edge.peer_memory.set_limit(new.limits.peer_memory_bytes.unwrap_or(usize::MAX));
        // An RPC accepted under the earlier config may need its longer deadline.
        let old = edge.settings();
        let longest_deadline = old.longest_deadline.max(new.longest_deadline);
        *edge.settings.lock().unwrap() = Settings { longest_deadline, ..new.clone() };
        let list = |p: &Addresses| (p.node_list, p.service.clone());
        if list(&old.addresses) != list(&new.addresses)
            || old.addresses.rollout_controller != new.addresses.rollout_controller
        {
            edge.change_addresses(|| {
                if let (Some(platform), Some(known_nodes)) = (edge.dialect.platform(), known_nodes) {
                    platform.catalog.lock().unwrap().continue_from(known_nodes);
                }
            });
            edge.rewatch_all();
        }
        Ok(())
    }

    /// Attempts that the guard withheld.
    pub fn withheld(&self) -> WithheldCounts {
        self.edge.guard.withheld()
    }

    /// Rules that this marshal has broken as far as it can tell; all zero unless something is wrong with it.
    pub fn violations(&self) -> Violations {
        self.edge.guard.violations()
    }

    /// Number of nodes known to be ready.
    pub fn ready_nodes(&self) -> usize {
        self.edge.ready_nodes()
    }

    /// Stops accepting, finishes the RPCs in progress, and returns within the longest deadline. Returns true
    /// if nothing was left unfinished.
    pub fn stop(&self) -> bool {
        self.edge.shutdown_begun.store(true, Ordering::Release);
        self.edge.dispatch(Input::ShuttingDown, 0);
        // Clients that still connect are served and told to close.
        std::thread::sleep(self.edge.limits().accept_after_stop);
        self.edge.closing.store(true, Ordering::Release);
        self.waker.wake();
        let deadline = Instant::now() + self.edge.settings().longest_deadline + Duration::from_millis(200);
        while Instant::now() < deadline {
            // The order of these reads matters: a connection counts as open before the listener closes, and
            // stays open until the core holds nothing for it.
            let accepting = self.edge.accepting.load(Ordering::Acquire);
            let open = self.edge.open_connections.load(Ordering::Acquire);
            if !accepting && open == 0 && self.edge.counts().held == 0 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.edge.counts().held == 0
    }
}
