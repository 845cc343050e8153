//! State shared by the threads and coroutines of a run on sockets: the fakes behind a lock, the trace and the
//! listeners.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ivydrift_audit::trace::Line;
use ivydrift_sockets::Look;

use crate::town::Town;

/// A listener and its open connections.
pub(crate) struct Hub {
    pub(crate) address: SocketAddr,
    pub(crate) shut: AtomicBool,
    pub(crate) open: Mutex<HashMap<u64, Look>>,
}

/// The shared state of a run.
pub(crate) struct Rig {
    pub(crate) town: Mutex<Town>,
    /// When the run began.
    pub(crate) zero: Instant,
    pub(crate) trace: Mutex<Sender<Line>>,
    /// Listeners of the nodes, by number.
    pub(crate) nodes: Mutex<HashMap<u32, Arc<Hub>>>,
    /// Listeners of node list and rollout controller.
    pub(crate) servers: Mutex<Vec<Arc<Hub>>>,
    /// Addresses of the marshals.
    pub(crate) listens: Vec<SocketAddr>,
    /// The run has ended.
    pub(crate) over: AtomicBool,
}

impl Rig {
    pub(crate) fn now(&self) -> Duration {
        self.zero.elapsed()
    }

    /// Runs a call on the fakes and passes its trace lines on under the same lock, which keeps them in order.
    pub(crate) fn town<T>(&self, call: impl FnOnce(&mut Town, Duration) -> T) -> T {
        let mut town = self.town.lock().unwrap();
        let result = call(&mut town, self.now());
        let trace = self.trace.lock().unwrap();
        for line in town.lines() {
            let _ = trace.send(line);
        }
        result
    }
}

impl Hub {
    /// Stops listening and breaks all connections.
    pub(crate) fn close(&self) {
        self.shut.store(true, Ordering::Release);
        // A connection wakes the pending accept.
        let _ = std::net::TcpStream::connect_timeout(&self.address, Duration::from_millis(100));
        for look in self.open.lock().unwrap().values() {
            look.cut();
        }
    }
}
