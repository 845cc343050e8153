//! Runs many apps in one process with open-loop load, using the client library or a hand-written client.
//! Prints one line of JSON with the counts of each tenth of a second.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use clap::{Args, ValueEnum};
use hdrhistogram::Histogram;
use ivydrift_client::coroutine::Channel;
use ivydrift_client::{Builder, Call, ClientConfig, Error, Kind, Observer};
use ivydrift_sockets::coroutine::{configure_runtime, sleep, sleep_until, spawn};
use ivydrift_sockets::Socket;
use ivydrift_wire::http::HeadWriter;
use ivydrift_wire::{message, rpc};
use rand::RngExt;

/// How an app reacts to failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Manner {
    /// Uses the client library
    Library,
    /// Reconnects and retries immediately
    Naive,
    /// Doubles its backoff from 100 ms up to 10 s, without jitter
    Doubling,
}

impl Manner {
    /// The name of this manner on the command line and in the output.
    pub fn name(self) -> &'static str {
        match self {
            Manner::Library => "library",
            Manner::Naive => "naive",
            Manner::Doubling => "doubling",
        }
    }
}

#[derive(Args, Clone, Debug)]
pub struct Apps {
    pub to: Vec<SocketAddr>,
    #[arg(long, value_enum)]
    pub manner: Manner,
    #[arg(long)]
    pub apps: usize,
    /// Calls per second of all apps together
    #[arg(long)]
    pub rate: f64,
    #[arg(long)]
    pub seconds: f64,
    /// Unix time, in milliseconds, that all processes use as time zero
    #[arg(long)]
    pub zero_ms: u64,
    /// Seconds before time zero over which the apps start
    #[arg(long, default_value_t = 0.0)]
    pub ramp: f64,
    /// Deadline of a call, in milliseconds
    #[arg(long, default_value_t = 2000)]
    pub within_ms: u64,
    /// Keep a connection open while idle
    #[arg(long)]
    pub warm: bool,
    /// Id of the first call
    #[arg(long)]
    pub first: u64,
}

/// Counters for each tenth of a second since time zero.
struct Timeline(Vec<AtomicU32>);

impl Timeline {
    fn new(seconds: f64) -> Self {
        Timeline((0..(seconds * 10.0).ceil() as usize + 1).map(|_| AtomicU32::new(0)).collect())
    }

    fn record(&self, time_zero: Instant) {
        // Events before time zero belong to the warm-up.
        let Some(at) = Instant::now().checked_duration_since(time_zero) else { return };
        if let Some(slot) = self.0.get((at.as_millis() / 100) as usize) {
            slot.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn counts(&self) -> Vec<u32> {
        self.0.iter().map(|n| n.load(Ordering::Relaxed)).collect()
    }
}

struct Stats {
    time_zero: Instant,
    connects: Timeline,
    offered: Timeline,
    ok: Timeline,
    attempts: AtomicU64,
    /// Calls that ended, by result in the order of [`RESULTS`].
    results: [AtomicU64; 4],
    /// Calls that returned more than 50 ms after their deadline.
    overdue: AtomicU64,
    latencies: Mutex<Histogram<u64>>,
    in_flight: AtomicUsize,
}

/// Names of the results of a call, in the order of the counters.
pub const RESULTS: [&str; 4] = ["ok", "pushed_back", "never_sent", "unknown"];

impl Observer for Stats {
    fn connecting(&self, _: SocketAddr) {
        self.connects.record(self.time_zero);
    }

    fn attempt_starting(&self, _: u64, _: SocketAddr, _: Duration, _: u32) -> Option<(&'static str, String)> {
        self.attempts.fetch_add(1, Ordering::Relaxed);
        None
    }
}

/// Half of all calls are reads; the other half are bookings, which must not run twice.
const METHODS: [&str; 2] = ["calendar-read", "pickup-book"];

/// Runs the apps and prints the counters as JSON.
///
/// # Errors
/// If the histogram can't be created.
pub fn run(apps: &Apps) -> io::Result<()> {
    configure_runtime(1);
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let time_zero = Instant::now() + Duration::from_millis(apps.zero_ms).saturating_sub(unix);
    let stats = Arc::new(Stats {
        time_zero,
        connects: Timeline::new(apps.seconds),
        offered: Timeline::new(apps.seconds),
        ok: Timeline::new(apps.seconds),
        attempts: AtomicU64::new(0),
        results: Default::default(),
        overdue: AtomicU64::new(0),
        latencies: Mutex::new(Histogram::new_with_bounds(1, 600_000_000, 3).map_err(io::Error::other)?),
        in_flight: AtomicUsize::new(0),
    });
    let (end, ids) =
        (time_zero + Duration::from_secs_f64(apps.seconds), Arc::new(AtomicU64::new(apps.first)));
    let started = Instant::now();
    let ramp = time_zero.saturating_duration_since(started).min(Duration::from_secs_f64(apps.ramp));
    for n in 0..apps.apps {
        let start_at = time_zero - ramp.mul_f64(1.0 - n as f64 / apps.apps as f64);
        block_until(start_at);
        let (apps, stats, ids) = (apps.clone(), stats.clone(), ids.clone());
        spawn(move || run_app(n, &apps, &stats, &ids, end));
    }
    // The last calls may run until their deadline, after the end of the measurement.
    let deadline = end + Duration::from_millis(apps.within_ms + 1000);
    while Instant::now() < end || stats.in_flight.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(20));
    }
    let latencies = stats.latencies.lock().unwrap();
    let ms = |q| latencies.value_at_quantile(q) as f64 / 1000.0;
    let results: Vec<u64> = stats.results.iter().map(|n| n.load(Ordering::Relaxed)).collect();
    println!(
        "{}",
        serde_json::json!({
            "connects": stats.connects.counts(), "asked": stats.offered.counts(), "ok": stats.ok.counts(),
            "tries": stats.attempts.load(Ordering::Relaxed), "ends": results, "late": stats.overdue.load(Ordering::Relaxed),
            "p50_ms": ms(0.5), "p99_ms": ms(0.99), "unfinished": stats.in_flight.load(Ordering::Acquire),
        })
    );
    Ok(())
}

fn block_until(until: Instant) {
    let wait = until.saturating_duration_since(Instant::now());
    if !wait.is_zero() {
        std::thread::sleep(wait);
    }
}

/// Runs one app. It calls once immediately and then at exponentially distributed intervals, independent of
/// earlier answers (open loop).
fn run_app(n: usize, apps: &Apps, stats: &Arc<Stats>, ids: &AtomicU64, end: Instant) {
    let timeout = Duration::from_millis(apps.within_ms);
    let caller = match apps.manner {
        Manner::Library => Caller::Library(library_channel(n, apps, timeout, stats)),
        manner => Caller::hand_written(n, apps, manner, stats),
    };
    let caller = Arc::new(caller);
    if apps.warm {
        caller.keep_connected(end);
    }
    let mean = apps.apps as f64 / apps.rate;
    let mut due = Instant::now();
    while due < end {
        sleep_until(due);
        stats.in_flight.fetch_add(1, Ordering::AcqRel);
        let (caller, stats, id) = (caller.clone(), stats.clone(), ids.fetch_add(1, Ordering::Relaxed));
        spawn(move || {
            let method = METHODS[(id % 2) as usize];
            let is_counted = due >= stats.time_zero;
            if is_counted {
                stats.offered.record(stats.time_zero);
            }
            let outcome = caller.call(method, &id.to_string(), timeout, &stats);
            let took = due.elapsed();
            if is_counted {
                let result = match &outcome {
                    Ok(()) => 0,
                    Err(Error::PushedBack { .. } | Error::QueueFull) => 1,
                    Err(why) if why.never_ran() => 2,
                    Err(_) => 3,
                };
                stats.results[result].fetch_add(1, Ordering::Relaxed);
                stats
                    .overdue
                    .fetch_add(u64::from(took > timeout + Duration::from_millis(50)), Ordering::Relaxed);
                if outcome.is_ok() {
                    stats.ok.record(stats.time_zero);
                    stats.latencies.lock().unwrap().saturating_record(took.as_micros() as u64);
                }
            }
            stats.in_flight.fetch_sub(1, Ordering::AcqRel);
        });
        let gap: f64 = -rand::rng().random_range(f64::EPSILON..1.0).ln();
        due += Duration::from_secs_f64(gap * mean);
    }
    // An app that makes no more calls still keeps its connection until the end.
    sleep_until(end);
}

fn library_channel(n: usize, apps: &Apps, timeout: Duration, stats: &Arc<Stats>) -> Channel {
    // Bookings may use any connection that looks alive, as with the other manners, so that only reconnects
    // count as handshakes.
    let fresh = Duration::from_secs(3600);
    let config = ClientConfig {
        warm_connections: usize::from(apps.warm),
        max_idle_for_non_idempotent: fresh,
        ..ClientConfig::default()
    };
    let mut builder = Builder::default().config(config).observer(stats.clone()).seed(apps.first + n as u64);
    for at in &apps.to {
        builder = builder.marshal(*at);
    }
    let builder = builder.method(METHODS[0], Kind::Idempotent, timeout);
    let builder = builder.method(METHODS[1], Kind::NonIdempotent, timeout);
    builder.build_for_coroutines().expect("marshals and methods are set")
}

enum Caller {
    Library(Channel),
    HandWritten(HandWritten),
}

/// A hand-written client: it connects to one marshal at a time and retries until the deadline.
struct HandWritten {
    manner: Manner,
    to: Vec<SocketAddr>,
    /// Index of the next marshal, and the number of consecutive failures.
    next_marshal: AtomicUsize,
    failures: AtomicU32,
    idle: Mutex<Vec<Socket>>,
    stats: Arc<Stats>,
}

impl Caller {
    fn hand_written(n: usize, apps: &Apps, manner: Manner, stats: &Arc<Stats>) -> Caller {
        let (to, next_marshal) = (apps.to.clone(), AtomicUsize::new(n));
        let (failures, idle) = (AtomicU32::new(0), Mutex::default());
        Caller::HandWritten(HandWritten { manner, to, next_marshal, failures, idle, stats: stats.clone() })
    }

    fn call(&self, method: &str, id: &str, timeout: Duration, stats: &Stats) -> Result<(), Error> {
        match self {
            Caller::Library(channel) => channel.call(Call::new(method, id.as_bytes())).map(drop),
            Caller::HandWritten(client) => client.call(method, id, timeout, stats),
        }
    }

    /// Keeps one connection open until `end`. The library does this itself.
    fn keep_connected(self: &Arc<Self>, end: Instant) {
        if let Caller::Library(_) = **self {
            return;
        }
        let caller = self.clone();
        spawn(move || {
            let Caller::HandWritten(client) = &*caller else { return };
            while Instant::now() < end {
                client.idle.lock().unwrap().retain(Socket::is_idle);
                if client.idle.lock().unwrap().is_empty() {
                    match client.connect(Duration::from_secs(1)) {
                        Some(socket) => client.idle.lock().unwrap().push(socket),
                        None => sleep(client.backoff()),
                    }
                }
                sleep(Duration::from_millis(200));
            }
        });
    }
}

impl HandWritten {
    fn connect(&self, timeout: Duration) -> Option<Socket> {
        self.stats.connects.record(self.stats.time_zero);
        let next_marshal = self.next_marshal.load(Ordering::Relaxed);
        let socket =
            Socket::connect(self.to[next_marshal % self.to.len()], timeout.min(Duration::from_secs(1))).ok();
        if socket.is_some() {
            self.failures.store(0, Ordering::Relaxed);
        } else {
            self.failures.fetch_add(1, Ordering::Relaxed);
            self.next_marshal.fetch_add(1, Ordering::Relaxed);
        }
        socket
    }

    /// Backoff after a failure. The naive client also yields, for 1 ms.
    fn backoff(&self) -> Duration {
        let doublings = self.failures.load(Ordering::Relaxed).min(7);
        match self.manner {
            Manner::Doubling => Duration::from_millis(100 << doublings).min(Duration::from_secs(10)),
            _ => Duration::from_millis(1),
        }
    }

    fn call(&self, method: &str, id: &str, timeout: Duration, stats: &Stats) -> Result<(), Error> {
        let deadline = Instant::now() + timeout;
        let mut last_error = Error::NotSent;
        while Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            let idle = self.idle.lock().unwrap().pop().filter(Socket::is_idle);
            let Some(mut socket) = idle.or_else(|| self.connect(left)) else {
                sleep(self.backoff().min(left));
                continue;
            };
            stats.attempts.fetch_add(1, Ordering::Relaxed);
            let head = HeadWriter::request("POST", &format!("/{method}"))
                .field("host", "own")
                .field(rpc::TIMEOUT, rpc::format_timeout(left))
                .field("content-length", id.len().to_string());
            let bytes = [&head.finish()[..], id.as_bytes()].concat();
            let (mut buf, mut chunk) = (Vec::new(), [0; 2048]);
            let read = socket.write(&bytes, deadline).map_err(|e| e.1).and_then(|()| {
                message::read_response(&mut buf, 1 << 20, |buf| {
                    let n = socket.read(&mut chunk, Some(deadline))?;
                    buf.extend_from_slice(&chunk[..n]);
                    Ok(n > 0)
                })
            });
            last_error = match read.map(|(head, _)| (head.keep_alive, rpc::AnswerKind::read(&head.fields))) {
                Ok((keep_alive, kind)) => {
                    if keep_alive {
                        self.idle.lock().unwrap().push(socket);
                    }
                    match kind {
                        Some(rpc::AnswerKind::Ok) => return Ok(()),
                        Some(rpc::AnswerKind::PushedBack) => Error::PushedBack { local: false },
                        _ => Error::Aborted,
                    }
                }
                Err(_) => Error::Unknown,
            };
            self.failures.fetch_add(1, Ordering::Relaxed);
            sleep(self.backoff().min(deadline.saturating_duration_since(Instant::now())));
        }
        Err(last_error)
    }
}
