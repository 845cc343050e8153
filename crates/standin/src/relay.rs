//! A UDP relay between marshals that run as processes. Each marshal gets the relay's address in place of every
//! peer's, and the relay forwards datagrams through scripted link faults.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use ivydrift_wire::peer;

use crate::links::{LinkFault, Links};

/// The longest wait for a datagram before delayed ones are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A relay with one socket for each marshal.
pub struct Relay {
    /// By marshal: the relay address to which its peers send.
    pub to: Vec<SocketAddr>,
    started: Instant,
    links: Arc<Mutex<Links>>,
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Relay {
    /// Starts a relay to the marshals that listen at `own`.
    ///
    /// # Errors
    /// When a socket cannot be bound.
    pub fn new(own: &[SocketAddr], links: Links) -> io::Result<Self> {
        let (links, stopped) = (Arc::new(Mutex::new(links)), Arc::new(AtomicBool::new(false)));
        let started = Instant::now();
        let (mut to, mut threads) = (Vec::new(), Vec::new());
        for (number, own) in own.iter().copied().enumerate() {
            let socket = UdpSocket::bind(("127.0.0.1", 0))?;
            socket.set_read_timeout(Some(POLL_INTERVAL))?;
            to.push(socket.local_addr()?);
            let (links, stopped) = (links.clone(), stopped.clone());
            threads
                .push(std::thread::spawn(move || forward(&socket, number, own, started, &links, &stopped)));
        }
        Ok(Relay { to, started, links, stopped, threads })
    }

    /// The peer addresses for marshal `number`: its own as it is, the relay's for all others.
    pub fn peer_addresses(&self, number: usize, own: SocketAddr) -> Vec<SocketAddr> {
        let mut all = self.to.clone();
        all[number] = own;
        all
    }

    /// Time since the relay started, which the faults refer to.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Applies a fault from now until [`Relay::heal`].
    pub fn inject(&self, fault: LinkFault) {
        let at = self.now();
        self.links.lock().unwrap().add(LinkFault { at, lasts: Duration::MAX, ..fault });
    }

    /// Removes all faults.
    pub fn heal(&self) {
        self.links.lock().unwrap().clear();
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn forward(
    socket: &UdpSocket, number: usize, own: SocketAddr, started: Instant, links: &Mutex<Links>,
    stopped: &AtomicBool,
) {
    let mut delayed: BTreeMap<(Duration, u64), Vec<u8>> = BTreeMap::new();
    let mut datagram = [0; 2048];
    for count in 0u64.. {
        if stopped.load(Ordering::Acquire) {
            return;
        }
        if let Ok((n, _)) = socket.recv_from(&mut datagram) {
            let now = started.elapsed();
            let copies = match peer::read(&datagram[..n]) {
                Some((_, from, _)) => links.lock().unwrap().copy_delays(now, from.into(), number),
                None => vec![Duration::ZERO],
            };
            for (copy, delay) in copies.into_iter().enumerate() {
                delayed.insert((now + delay, count << 1 | copy as u64 & 1), datagram[..n].to_vec());
            }
        }
        let now = started.elapsed();
        while let Some(first) = delayed.first_entry().filter(|w| w.key().0 <= now) {
            let _ = socket.send_to(&first.remove(), own);
        }
    }
}
