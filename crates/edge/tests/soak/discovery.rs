//! Simulated discovery with faults: outages in which calls fail in different ways, crowds that turn calls away,
//! queueing, watches that go silent, and truncated answers.

use std::net::{IpAddr, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::net::{self, write_ok, write_text};
use crate::truth::{SilentWatch, Truth};

/// How calls fail during an outage.
#[derive(Clone, Copy, Debug, PartialEq)]
#[repr(u8)]
pub enum OutageKind {
    /// 503 after the longest time in the queue; open watches get it at once.
    RefusesLate,
    /// 503 at once.
    RefusesEarly,
    /// Calls and open watches are reset.
    Resets,
    /// Open watches are reset, and connections are refused.
    RefusesConnections,
    /// Open watches get 503, and connections are refused.
    ShutsDown,
    /// Calls and open watches are never answered.
    Silent,
}

/// All of them, indexed by [`DiscoveryFaults::outage_kind`].
pub const OUTAGE_KINDS: [OutageKind; 6] = [
    OutageKind::RefusesLate,
    OutageKind::RefusesEarly,
    OutageKind::Resets,
    OutageKind::RefusesConnections,
    OutageKind::ShutsDown,
    OutageKind::Silent,
];

/// The faults of discovery in force, apart from the start and end of outages.
#[derive(Default)]
pub struct DiscoveryFaults {
    /// Service time in the queue of a call that opens a watch, in milliseconds. A call that is refused in the
    /// meantime uses its time all the same.
    pub service_ms: AtomicU64,
    /// How many of the next calls that open a watch are refused at once.
    pub refuse_next: AtomicU64,
    /// How many of the next held calls go silent.
    pub silence_next: AtomicU64,
    /// How many of the next answers are truncated.
    pub truncate_next: AtomicU64,
    /// How an outage makes calls fail: an index into [`OUTAGE_KINDS`].
    pub outage_kind: AtomicU8,
    /// Every call of the marshals with a lower number than this waits in the queue, and is refused after the
    /// longest time there unless the crowd is over by then.
    pub crowded_out: AtomicU64,
}

impl DiscoveryFaults {
    fn outage_kind(&self) -> OutageKind {
        OUTAGE_KINDS[self.outage_kind.load(Ordering::SeqCst) as usize]
    }
}

/// Simulated discovery.
pub struct Discovery {
    /// Its two addresses; a marshal is served only at the one in its config file.
    pub addrs: [std::net::SocketAddr; 2],
    pub faults: Arc<DiscoveryFaults>,
    /// For each marshal, the index of its address in `addrs`.
    pub addr_index_of: Arc<Mutex<std::collections::HashMap<usize, usize>>>,
}

/// A call within this time of the last answer on its connection continues the watch.
const CONTINUATION_WINDOW: Duration = Duration::from_millis(200);
/// Calls that would queue for longer than this are refused after this time.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(2);
/// Interval at which a held call checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

struct Server {
    addr_index: usize,
    truth: Arc<Mutex<Truth>>,
    faults: Arc<DiscoveryFaults>,
    addr_index_of: Arc<Mutex<std::collections::HashMap<usize, usize>>>,
    /// When the queue is next free.
    free_at: Arc<Mutex<Instant>>,
}

impl Discovery {
    pub fn new(truth: &Arc<Mutex<Truth>>, ip: IpAddr) -> Self {
        let (faults, addr_index_of) = (Arc::<DiscoveryFaults>::default(), Arc::default());
        let free_at = Arc::new(Mutex::new(Instant::now()));
        let serve = |addr_index: usize| {
            let server = Server {
                addr_index,
                truth: truth.clone(),
                faults: faults.clone(),
                free_at: free_at.clone(),
                addr_index_of: Arc::clone(&addr_index_of),
            };
            let (truth, faults) = (truth.clone(), faults.clone());
            let is_open = move || {
                let refusing =
                    matches!(faults.outage_kind(), OutageKind::RefusesConnections | OutageKind::ShutsDown);
                !(refusing && truth.lock().unwrap().discovery_is_down())
            };
            net::listen_while(ip, is_open, move |stream| server.serve(stream))
        };
        Discovery { addrs: [serve(0), serve(1)], faults, addr_index_of }
    }
}

/// Decrements the count; false if it is 0 already.
fn take_one(count: &AtomicU64) -> bool {
    count.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1)).is_ok()
}

impl Server {
    fn serve(&self, stream: &mut TcpStream) {
        let mut last_answer: Option<Instant> = None;
        while let Some(message) = net::read_message(stream) {
            let Some(marshal) = net::number_after(&message, "marshal-") else { return };
            let marshal = marshal as usize;
            if self.addr_index_of.lock().unwrap().get(&marshal) != Some(&self.addr_index) {
                return; // The marshal uses the other address now.
            }
            let called_at = Instant::now();
            let continues = last_answer.is_some_and(|at| called_at.duration_since(at) < CONTINUATION_WINDOW);
            let keep_open = self.wait_in_queue(stream, marshal, continues)
                && self.answer(stream, marshal, &message, called_at);
            if !keep_open {
                return;
            }
            last_answer = Some(Instant::now());
        }
    }

    /// Reserves a place in the queue, and returns the time until the call is through.
    fn enqueue(&self) -> Duration {
        let service_time = Duration::from_millis(self.faults.service_ms.load(Ordering::SeqCst));
        let mut free_at = self.free_at.lock().unwrap();
        let now = Instant::now();
        *free_at = (*free_at).max(now) + service_time;
        *free_at - now
    }

    fn is_down(&self) -> bool {
        self.truth.lock().unwrap().discovery_is_down()
    }

    /// Lets a call fail as the outage demands. Always returns false: the connection must not be used again.
    fn fail_in_outage(&self, stream: &mut TcpStream, held: bool) -> bool {
        match self.faults.outage_kind() {
            OutageKind::RefusesLate if !held => std::thread::sleep(MAX_QUEUE_WAIT),
            OutageKind::RefusesLate | OutageKind::RefusesEarly | OutageKind::ShutsDown => {}
            OutageKind::Resets | OutageKind::RefusesConnections => return net::reset_on_close(stream),
            OutageKind::Silent => return net::wait_for_close(stream, Duration::from_secs(12)),
        }
        write_text(stream, "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
        false
    }

    fn crowds_out(&self, marshal: usize) -> bool {
        (marshal as u64) < self.faults.crowded_out.load(Ordering::SeqCst)
    }

    /// Waits in the queue; false if the call was refused or reset.
    fn wait_in_queue(&self, stream: &mut TcpStream, marshal: usize, continues: bool) -> bool {
        if self.is_down() {
            return self.fail_in_outage(stream, false);
        }
        if !continues && take_one(&self.faults.refuse_next) {
            write_text(stream, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            return false;
        }
        let wait = if continues { Duration::ZERO } else { self.enqueue() };
        let through_at = Instant::now() + wait;
        let refused_at = Instant::now() + MAX_QUEUE_WAIT;
        while Instant::now() < through_at || self.crowds_out(marshal) {
            if self.is_down() {
                return self.fail_in_outage(stream, true);
            }
            if Instant::now() >= refused_at {
                write_text(stream, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                return false;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        true
    }

    /// Answers once there is a change or the hold is over; false if the connection is to be closed.
    fn answer(&self, stream: &mut TcpStream, marshal: usize, message: &str, called_at: Instant) -> bool {
        let from = net::number_after(message, "from=");
        let hold = Duration::from_millis(net::number_after(message, "hold_ms=").unwrap_or(0));
        let held_since = Instant::now();
        if from.is_some() && take_one(&self.faults.silence_next) {
            let silent_watch = SilentWatch { since: held_since, called_at, hold };
            self.truth.lock().unwrap().marshal(marshal).silent_watches.push(silent_watch);
            return net::wait_for_close(stream, Duration::from_secs(12));
        }
        loop {
            if self.is_down() {
                return self.fail_in_outage(stream, true);
            }
            let mut truth = self.truth.lock().unwrap();
            let changed = from.is_none_or(|from| truth.revision > from);
            if changed || held_since.elapsed() >= hold {
                let revision = truth.revision;
                let list = truth.list_json(revision, from);
                if take_one(&self.faults.truncate_next) {
                    drop(truth);
                    let length = list.len();
                    write_text(
                        stream,
                        &format!(
                            "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{}",
                            &list[..length / 2]
                        ),
                    );
                    return false;
                }
                let written = write_ok(stream, &list);
                if written {
                    truth.marshal(marshal).written.push((Instant::now(), revision));
                }
                return written;
            }
            drop(truth);
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
