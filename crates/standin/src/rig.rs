//! What a day on sockets shares: the town behind its lock, the trace, and who listens where.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ivydrift_audit::trace::Line;
use ivydrift_sockets::Look;

use crate::town::Town;

pub(crate) struct Hub {
    pub(crate) address: SocketAddr,
    pub(crate) shut: AtomicBool,
    pub(crate) open: Mutex<HashMap<u64, Look>>,
}

pub(crate) struct Rig {
    pub(crate) town: Mutex<Town>,
    pub(crate) zero: Instant,
    pub(crate) trace: Mutex<Sender<Line>>,
    pub(crate) nodes: Mutex<HashMap<u32, Arc<Hub>>>,
    pub(crate) servers: Mutex<Vec<Arc<Hub>>>,
    pub(crate) listens: Vec<SocketAddr>,
    pub(crate) over: AtomicBool,
}

impl Rig {
    pub(crate) fn now(&self) -> Duration {
        self.zero.elapsed()
    }

    /// Calls the town, and hands its lines on before anybody else can add to them.
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
    pub(crate) fn close(&self) {
        self.shut.store(true, Ordering::Release);
        // An accept in progress wakes by a connection.
        let _ = std::net::TcpStream::connect_timeout(&self.address, Duration::from_millis(100));
        for look in self.open.lock().unwrap().values() {
            look.cut();
        }
    }
}
