//! A fleet of marshals with simulated nodes, node list, rollout controller and clients for many services.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use ivydrift_audit::trace::{Group, Kind, Law, Method, Repeat, Turn};
use ivydrift_standin::services::{Ask, Plan, Reply, Services};

use crate::fleet::{Fleet, Told};

/// The service named by `places.service` of all marshals.
pub const HOME: &str = "town";
/// Tolerance for the times at which processes on a busy machine see the same event.
const SLACK: Duration = Duration::from_millis(150);
/// Parameters of rule 5, given to the marshals and to the auditor.
pub const FREE: f64 = 2.0;
/// Exposure cap of the first stage; see `FREE`.
pub const CAP: f64 = 0.14;

/// The services part of the marshals' config.
#[derive(Clone, Debug)]
pub struct Plots {
    /// Services besides `HOME`.
    pub names: Vec<String>,
    /// Maximum number of services besides `HOME` that a marshal serves at once.
    pub most: usize,
    /// Time without RPCs after which a service is dropped.
    pub rest_ms: u64,
    /// Window of the rules on exposure and on cold nodes.
    pub window_ms: u64,
    /// Methods that are omitted from the config.
    pub without: Vec<String>,
    /// Further blocks, as text.
    pub more: &'static str,
}

impl Plots {
    pub fn new(names: &[&str]) -> Self {
        let names = names.iter().map(|n| (*n).to_owned()).collect();
        Plots { names, most: 64, rest_ms: 1000, window_ms: 1000, without: vec![], more: "" }
    }

    /// Returns the blocks of the config file. Each service has an idempotent method `-read` and a
    /// non-idempotent one `-book`.
    pub fn blocks(&self) -> String {
        let method = |service: &str, does: &str, repeat: &str| {
            if self.without.contains(&format!("{service}-{does}")) {
                return String::new();
            }
            let whose = if service == HOME { String::new() } else { format!("  service = \"{service}\"\n") };
            format!(
                "method \"{service}-{does}\" {{\n{whose}  repeat = \"{repeat}\"\n  soft_deadline = \"1s\"\n  \
                 deadline = \"6s\"\n}}\n"
            )
        };
        let both = |s: &str| method(s, "read", "idempotent") + &method(s, "book", "non-idempotent");
        let mut text = both(HOME);
        self.names.iter().for_each(|name| text.push_str(&both(name)));
        let (most, rest, window) = (self.most, self.rest_ms, self.window_ms);
        text + &format!(
            "services {{\n  most = {most}\n  rest = \"{rest}ms\"\n}}\n\
             release {{\n  window = \"{window}ms\"\n  free = {FREE}\n}}\n\
             rules {{\n  fall_window = \"{window}ms\"\n}}\nlimits {{\n  retry_after = \"500ms\"\n}}\n{}",
            self.more
        )
    }

    /// Returns the rules for the auditor. `more`: services that are added later.
    fn law(&self, more: &[&str]) -> Law {
        let us = |d: Duration| d.as_micros() as u64;
        let window_us = 1000 * self.window_ms;
        let names = self.names.iter().map(String::as_str).chain(more.iter().copied()).chain([HOME]);
        let kinds = [("read", Repeat::Idempotent), ("book", Repeat::NonIdempotent)];
        let methods = names.flat_map(|service| {
            kinds.map(|(does, repeat)| Method {
                name: format!("{service}-{does}"),
                repeat,
                group: Group::All,
                window_us: 0,
            })
        });
        Law {
            methods: methods.collect(),
            drain_grace_us: 1_000_000,
            cold_from: 0.4,
            warm_us: 5_000_000,
            fall_multiple: 3.0,
            fall_us: window_us,
            window_us,
            free: FREE,
            first_cap: CAP,
            by_method: false,
            guarded: 0,
            one_way: false,
            copies: false,
            slack_us: us(SLACK),
            late_us: us(SLACK),
        }
    }
}

/// Threads that send the load of one marshal.
const PARTS: usize = 4;

/// A fleet together with the simulated services.
pub struct Town {
    pub fleet: Fleet,
    pub services: Services,
}

impl Town {
    /// Starts the marshals and waits until all of them serve `HOME`. `more`: services that are not in the
    /// config yet.
    pub fn start(name: (&str, u8), marshals: usize, plots: &Plots, more: &[&str]) -> Town {
        let services = Services::new(plots.law(more), HOME).unwrap();
        services.start(HOME, Plan::default()).unwrap();
        plots.names.iter().for_each(|name| services.add(name));
        for marshal in 0..marshals {
            services.turn(marshal as u32, Turn::Started);
        }
        let (node_list, release_desk) = (services.node_list, services.release_desk);
        let told = Told { node_list, release_desk, service: HOME.to_owned(), blocks: plots.blocks() };
        let town = Town { fleet: Fleet::start_told(name, marshals, told), services };
        town.all_serve(HOME);
        town
    }

    pub fn marshals(&self) -> usize {
        self.fleet.own.len()
    }

    /// Sends an RPC to a marshal.
    pub fn call(&self, marshal: usize, ask: &Ask) -> Reply {
        self.services.call((marshal as u32, self.fleet.own[marshal]), ask)
    }

    /// Sends an idempotent RPC of a service to a marshal.
    pub fn read(&self, marshal: usize, service: &str) -> Reply {
        self.call(marshal, &Ask::new(service, &format!("{service}-read")))
    }

    /// Retries like a client that was pushed back until the answer is ok; returns the number of push-backs.
    pub fn until_ok(&self, marshal: usize, service: &str, within_ms: u64) -> usize {
        let by = Instant::now() + Duration::from_millis(within_ms);
        for times in 0.. {
            let reply = self.read(marshal, service);
            let wait = match reply {
                Reply::Answered { kind: Kind::Ok, .. } => return times,
                Reply::Answered { kind: Kind::PushedBack, retry_after, .. } => retry_after,
                Reply::Refused if service == HOME => None,
                _ => panic!("marshal {marshal} on {service}: {reply:?}\n{}", self.fleet.log(marshal)),
            };
            assert!(
                Instant::now() < by,
                "marshal {marshal} on {service}: {reply:?}\n{}",
                self.fleet.log(marshal)
            );
            std::thread::sleep(wait.unwrap_or(Duration::from_millis(50)));
        }
        unreachable!()
    }

    /// Waits until every marshal serves a service.
    pub fn all_serve(&self, service: &str) {
        for marshal in 0..self.marshals() {
            self.until_ok(marshal, service, 10_000);
        }
    }

    /// Counts the lines of this kind in a marshal's log that concern the service.
    pub fn logged(&self, marshal: usize, what: &str, service: &str) -> usize {
        let named = format!("\"service\":\"{service}\"");
        self.fleet.log(marshal).lines().filter(|l| l.contains(what) && l.contains(&named)).count()
    }

    /// Counts how often a marshal began to serve a service.
    pub fn begun(&self, marshal: usize, service: &str) -> usize {
        self.logged(marshal, BEGUN, service)
    }

    /// Counts how often a marshal dropped a service.
    pub fn dropped(&self, marshal: usize, service: &str) -> usize {
        self.logged(marshal, DROPPED, service)
    }

    /// Sends RPCs of a service to each of these marshals at `rate` per second, and returns their replies.
    pub fn load(&self, marshals: &[usize], service: &str, rate: u64, lasts_ms: u64) -> Vec<Reply> {
        let (began, every) = (Instant::now(), Duration::from_micros(1_000_000 / rate));
        let all = at_once_with(marshals.len() * PARTS, |n| {
            let (marshal, part) = (marshals[n / PARTS], (n % PARTS) as u32);
            let mut replies = Vec::new();
            for nth in 0.. {
                let at = every * (nth * PARTS as u32 + part);
                if at >= Duration::from_millis(lasts_ms) {
                    break;
                }
                std::thread::sleep(at.saturating_sub(began.elapsed()));
                replies.push(self.read(marshal, service));
            }
            replies
        });
        all.into_iter().flatten().collect()
    }

    /// Returns, for each node of a service, the marshals from which it received RPCs since a time.
    pub fn met(&self, service: &str, since: Duration) -> BTreeMap<u32, BTreeSet<usize>> {
        let mut met = BTreeMap::<u32, BTreeSet<usize>>::new();
        for got in self.services.got(service).iter().filter(|g| g.at >= since) {
            met.entry(got.node).or_default().insert(got.marshal as usize);
        }
        met
    }

    pub fn kill(&mut self, marshal: usize) {
        self.services.turn(marshal as u32, Turn::Killed);
        self.fleet.kill(marshal);
    }

    /// Waits until every marshal has dropped a service this many times.
    pub fn until_dropped(&self, service: &str, times: usize) {
        wait_for(&format!("{service} to be dropped by all marshals"), 10_000, || {
            (0..self.marshals()).all(|m| self.dropped(m, service) >= times)
        });
    }

    /// Sends RPCs of a service to all marshals in turn, one every `every_ms` milliseconds, while `run` runs.
    /// Returns their replies and the result of `run`.
    pub fn beside<T>(&self, service: &str, every_ms: u64, run: impl FnOnce() -> T) -> (Vec<Reply>, T) {
        let over = AtomicBool::new(false);
        std::thread::scope(|scope| {
            let load = scope.spawn(|| {
                let mut replies = Vec::new();
                for nth in 0.. {
                    if over.load(Ordering::Acquire) {
                        break;
                    }
                    replies.push(self.read(nth % self.marshals(), service));
                    std::thread::sleep(Duration::from_millis(every_ms));
                }
                replies
            });
            let ends = Ends(&over);
            let result = run();
            drop(ends);
            (load.join().unwrap(), result)
        })
    }

    /// Makes all marshals reload a new config and waits until it is in force.
    pub fn renew(&self, plots: &Plots) {
        let taken = |m: usize| self.fleet.log(m).matches("new terms in force").count();
        let before: Vec<usize> = (0..self.marshals()).map(taken).collect();
        self.fleet.renew(&plots.blocks());
        let taken = |m: usize| self.fleet.log(m).matches("new terms in force").count();
        wait_for("new terms in force", 5000, || (0..self.marshals()).all(|m| taken(m) > before[m]));
    }

    /// Asserts that the five rules were kept, and that some RPCs were checked.
    pub fn kept(&self) {
        let report = self.services.report().unwrap();
        assert!(report.kept(), "{:?} {:#?}", report.broken, report.breaches);
        assert!(report.asked > 0 && report.ok > 0, "{report:?}");
    }
}

/// Log messages on services.
pub const BEGUN: &str = "service begun";
pub const DROPPED: &str = "service dropped";

/// Stops a background load when dropped, so also if the test panics.
struct Ends<'a>(&'a AtomicBool);

impl Drop for Ends<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Release);
    }
}

/// Polls until `done` returns true; panics after `within_ms`.
pub fn wait_for(what: &str, within_ms: u64, done: impl Fn() -> bool) {
    let by = Instant::now() + Duration::from_millis(within_ms);
    while !done() {
        assert!(Instant::now() < by, "timed out after {within_ms} ms waiting for: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the resident memory of a process in KiB and the number of its open file descriptors.
pub fn status(pid: u32) -> (usize, usize) {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap();
    let kib = line.trim().trim_end_matches(" kB").parse().unwrap();
    (kib, std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap().count())
}

/// Runs `count` requests concurrently, each on its own thread.
pub fn at_once(count: usize, ask: impl Fn(usize) -> Reply + Sync) -> Vec<Reply> {
    at_once_with(count, ask)
}

fn at_once_with<T: Send>(count: usize, ask: impl Fn(usize) -> T + Sync) -> Vec<T> {
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..count)
            .map(|n| {
                scope.spawn({
                    let ask = &ask;
                    move || ask(n)
                })
            })
            .collect();
        threads.into_iter().map(|t| t.join().unwrap()).collect()
    })
}

/// Asserts that all replies are ok.
pub fn all_ok(replies: &[Reply]) {
    let other: Vec<&Reply> = replies.iter().filter(|r| !r.ok()).collect();
    assert!(other.is_empty(), "{} of {}: {:?}", other.len(), replies.len(), &other[..other.len().min(5)]);
}
