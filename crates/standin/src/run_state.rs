//! State shared by the threads and coroutines of a run on sockets: the fakes behind a lock, the trace and the
//! listeners.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ivydrift_audit::trace::Line;
use ivydrift_sockets::SocketHandle;

use crate::environment::Environment;

/// A listener and its open connections.
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    pub(crate) closed: AtomicBool,
    pub(crate) connections: Mutex<HashMap<u64, SocketHandle>>,
}

/// The shared state of a run.
pub(crate) struct RunState {
    pub(crate) env: Mutex<Environment>,
    /// When the run began.
    pub(crate) started: Instant,
    pub(crate) trace: Mutex<Sender<Line>>,
    /// Listeners of the nodes, by number.
    pub(crate) nodes: Mutex<HashMap<u32, Arc<Server>>>,
    /// Listeners of node list and rollout controller.
    pub(crate) servers: Mutex<Vec<Arc<Server>>>,
    /// Addresses of the marshals.
    pub(crate) marshal_addrs: Vec<SocketAddr>,
    /// The run has ended.
    pub(crate) ended: AtomicBool,
}

impl RunState {
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Runs a call on the fakes and passes its trace lines on under the same lock, which keeps them in order.
    pub(crate) fn with_env<T>(&self, call: impl FnOnce(&mut Environment, Duration) -> T) -> T {
        let mut env = self.env.lock().unwrap();
        let result = call(&mut env, self.now());
        let trace = self.trace.lock().unwrap();
        for line in env.lines() {
            let _ = trace.send(line);
        }
        result
    }
}

impl Server {
    /// Stops listening and breaks all connections.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::Release);
        // A connection wakes the pending accept.
        let _ = std::net::TcpStream::connect_timeout(&self.address, Duration::from_millis(100));
        for connection in self.connections.lock().unwrap().values() {
            connection.shutdown();
        }
    }
}
