//! A fleet of marshals with simulated nodes, node list, rollout controller and clients for many services.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use ivydrift_audit::trace::{AnswerKind, Group, Limits, Method, ProcessEvent, Repeat};
use ivydrift_standin::services::{MultiServiceFakes, NodeConfig, Reply, Request};

use crate::fleet::{Fleet, SharedConfig};

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
pub struct ServicesConfig {
    /// Services besides `HOME`.
    pub names: Vec<String>,
    /// Maximum number of services besides `HOME` that a marshal serves at once.
    pub max_services: usize,
    /// Time without RPCs after which a service is dropped.
    pub idle_ms: u64,
    /// Window of the rules on exposure and on cold nodes.
    pub window_ms: u64,
    /// Methods that are omitted from the config.
    pub omitted_methods: Vec<String>,
    /// Further blocks, as text.
    pub extra_blocks: &'static str,
}

impl ServicesConfig {
    pub fn new(names: &[&str]) -> Self {
        let names = names.iter().map(|n| (*n).to_owned()).collect();
        ServicesConfig {
            names,
            max_services: 64,
            idle_ms: 1000,
            window_ms: 1000,
            omitted_methods: vec![],
            extra_blocks: "",
        }
    }

    /// Returns the blocks of the config file. Each service has an idempotent method `-read` and a
    /// non-idempotent one `-book`.
    pub fn blocks(&self) -> String {
        let method = |service: &str, suffix: &str, repeat: &str| {
            if self.omitted_methods.contains(&format!("{service}-{suffix}")) {
                return String::new();
            }
            let service_line =
                if service == HOME { String::new() } else { format!("  service = \"{service}\"\n") };
            format!(
                "method \"{service}-{suffix}\" {{\n{service_line}  repeat = \"{repeat}\"\n  soft_deadline = \"1s\"\n  \
                 deadline = \"6s\"\n}}\n"
            )
        };
        let both_methods = |s: &str| method(s, "read", "idempotent") + &method(s, "book", "non-idempotent");
        let mut text = both_methods(HOME);
        self.names.iter().for_each(|name| text.push_str(&both_methods(name)));
        let (max_services, idle_ms, window) = (self.max_services, self.idle_ms, self.window_ms);
        text + &format!(
            "services {{\n  most = {max_services}\n  rest = \"{idle_ms}ms\"\n}}\n\
             release {{\n  window = \"{window}ms\"\n  free = {FREE}\n}}\n\
             rules {{\n  fall_window = \"{window}ms\"\n}}\nlimits {{\n  retry_after = \"500ms\"\n}}\n{}",
            self.extra_blocks
        )
    }

    /// Returns the rules for the auditor. `later_services`: those that are added later.
    fn audit_rules(&self, later_services: &[&str]) -> Limits {
        let us = |d: Duration| d.as_micros() as u64;
        let window_us = 1000 * self.window_ms;
        let names = self.names.iter().map(String::as_str).chain(later_services.iter().copied()).chain([HOME]);
        let kinds = [("read", Repeat::Idempotent), ("book", Repeat::NonIdempotent)];
        let methods = names.flat_map(|service| {
            kinds.map(|(suffix, repeat)| Method {
                name: format!("{service}-{suffix}"),
                repeat,
                group: Group::All,
                window_us: 0,
            })
        });
        Limits {
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
const THREADS_PER_MARSHAL: usize = 4;

/// A fleet together with the simulated services.
pub struct ServiceFleet {
    pub processes: Fleet,
    pub services: MultiServiceFakes,
}

impl ServiceFleet {
    /// Starts the marshals and waits until all of them serve `HOME`. `later_services`: those that are not in
    /// the config yet.
    pub fn start(
        name: (&str, u8), marshals: usize, config: &ServicesConfig, later_services: &[&str],
    ) -> ServiceFleet {
        let services = MultiServiceFakes::new(config.audit_rules(later_services), HOME).unwrap();
        services.start_node(HOME, NodeConfig::default()).unwrap();
        config.names.iter().for_each(|name| services.add(name));
        for marshal in 0..marshals {
            services.record_process_event(marshal as u32, ProcessEvent::Started);
        }
        let (node_list, rollout_controller) = (services.node_list, services.rollout_controller);
        let shared =
            SharedConfig { node_list, rollout_controller, service: HOME.to_owned(), blocks: config.blocks() };
        let fleet = ServiceFleet { processes: Fleet::start_with(name, marshals, shared), services };
        fleet.wait_until_all_serve(HOME);
        fleet
    }

    pub fn marshals(&self) -> usize {
        self.processes.addrs.len()
    }

    /// Sends an RPC to a marshal.
    pub fn call(&self, marshal: usize, ask: &Request) -> Reply {
        self.services.call((marshal as u32, self.processes.addrs[marshal]), ask)
    }

    /// Sends an idempotent RPC of a service to a marshal.
    pub fn read(&self, marshal: usize, service: &str) -> Reply {
        self.call(marshal, &Request::new(service, &format!("{service}-read")))
    }

    /// Retries like a client that was pushed back until the answer is ok; returns the number of push-backs.
    pub fn retry_until_ok(&self, marshal: usize, service: &str, within_ms: u64) -> usize {
        let deadline = Instant::now() + Duration::from_millis(within_ms);
        for times in 0.. {
            let reply = self.read(marshal, service);
            let wait = match reply {
                Reply::Answered { kind: AnswerKind::Ok, .. } => return times,
                Reply::Answered { kind: AnswerKind::PushedBack, retry_after, .. } => retry_after,
                Reply::Refused if service == HOME => None,
                _ => panic!("marshal {marshal} on {service}: {reply:?}\n{}", self.processes.log(marshal)),
            };
            assert!(
                Instant::now() < deadline,
                "marshal {marshal} on {service}: {reply:?}\n{}",
                self.processes.log(marshal)
            );
            std::thread::sleep(wait.unwrap_or(Duration::from_millis(50)));
        }
        unreachable!()
    }

    /// Waits until every marshal serves a service.
    pub fn wait_until_all_serve(&self, service: &str) {
        for marshal in 0..self.marshals() {
            self.retry_until_ok(marshal, service, 10_000);
        }
    }

    /// Counts the lines of this kind in a marshal's log that concern the service.
    pub fn count_logged(&self, marshal: usize, what: &str, service: &str) -> usize {
        let named = format!("\"service\":\"{service}\"");
        self.processes.log(marshal).lines().filter(|l| l.contains(what) && l.contains(&named)).count()
    }

    /// Counts how often a marshal began to serve a service.
    pub fn times_begun(&self, marshal: usize, service: &str) -> usize {
        self.count_logged(marshal, BEGUN, service)
    }

    /// Counts how often a marshal dropped a service.
    pub fn times_dropped(&self, marshal: usize, service: &str) -> usize {
        self.count_logged(marshal, DROPPED, service)
    }

    /// Sends RPCs of a service to each of these marshals at `rate` per second, and returns their replies.
    pub fn load(&self, marshals: &[usize], service: &str, rate: u64, lasts_ms: u64) -> Vec<Reply> {
        let (began, every) = (Instant::now(), Duration::from_micros(1_000_000 / rate));
        let all = map_concurrently(marshals.len() * THREADS_PER_MARSHAL, |n| {
            let (marshal, thread) = (marshals[n / THREADS_PER_MARSHAL], (n % THREADS_PER_MARSHAL) as u32);
            let mut replies = Vec::new();
            for nth in 0.. {
                let at = every * (nth * THREADS_PER_MARSHAL as u32 + thread);
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
    pub fn marshals_by_node(&self, service: &str, since: Duration) -> BTreeMap<u32, BTreeSet<usize>> {
        let mut marshals_by_node = BTreeMap::<u32, BTreeSet<usize>>::new();
        for got in self.services.received_rpcs(service).iter().filter(|g| g.at >= since) {
            marshals_by_node.entry(got.node).or_default().insert(got.marshal as usize);
        }
        marshals_by_node
    }

    pub fn kill(&mut self, marshal: usize) {
        self.services.record_process_event(marshal as u32, ProcessEvent::Killed);
        self.processes.kill(marshal);
    }

    /// Waits until every marshal has dropped a service this many times.
    pub fn wait_until_dropped(&self, service: &str, times: usize) {
        wait_for(&format!("{service} to be dropped by all marshals"), 10_000, || {
            (0..self.marshals()).all(|m| self.times_dropped(m, service) >= times)
        });
    }

    /// Sends RPCs of a service to all marshals in turn, one every `every_ms` milliseconds, while `run` runs.
    /// Returns their replies and the result of `run`.
    pub fn with_background_load<T>(
        &self, service: &str, every_ms: u64, run: impl FnOnce() -> T,
    ) -> (Vec<Reply>, T) {
        let stop = AtomicBool::new(false);
        std::thread::scope(|scope| {
            let load = scope.spawn(|| {
                let mut replies = Vec::new();
                for nth in 0.. {
                    if stop.load(Ordering::Acquire) {
                        break;
                    }
                    replies.push(self.read(nth % self.marshals(), service));
                    std::thread::sleep(Duration::from_millis(every_ms));
                }
                replies
            });
            let stop_on_drop = StopOnDrop(&stop);
            let result = run();
            drop(stop_on_drop);
            (load.join().unwrap(), result)
        })
    }

    /// Makes all marshals reload a new config and waits until it is in force.
    pub fn reload(&self, config: &ServicesConfig) {
        let times_reloaded = |m: usize| self.processes.log(m).matches("new terms in force").count();
        let before: Vec<usize> = (0..self.marshals()).map(times_reloaded).collect();
        self.processes.reload(&config.blocks());
        let times_reloaded = |m: usize| self.processes.log(m).matches("new terms in force").count();
        wait_for("new terms in force", 5000, || (0..self.marshals()).all(|m| times_reloaded(m) > before[m]));
    }

    /// Asserts that the five rules were kept, and that some RPCs were checked.
    pub fn assert_rules_kept(&self) {
        let report = self.services.report().unwrap();
        assert!(report.is_clean(), "{:?} {:#?}", report.breach_counts, report.breaches);
        assert!(report.asked > 0 && report.ok > 0, "{report:?}");
    }
}

/// Log messages on services.
pub const BEGUN: &str = "service begun";
pub const DROPPED: &str = "service dropped";

/// Stops a background load when dropped, so also if the test panics.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Release);
    }
}

/// Polls until `done` returns true; panics after `within_ms`.
pub fn wait_for(what: &str, within_ms: u64, done: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_millis(within_ms);
    while !done() {
        assert!(Instant::now() < deadline, "timed out after {within_ms} ms waiting for: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the resident memory of a process in KiB and the number of its open file descriptors.
pub fn process_status(pid: u32) -> (usize, usize) {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap();
    let kib = line.trim().trim_end_matches(" kB").parse().unwrap();
    (kib, std::fs::read_dir(format!("/proc/{pid}/fd")).unwrap().count())
}

/// Runs `count` requests concurrently, each on its own thread.
pub fn run_concurrently(count: usize, ask: impl Fn(usize) -> Reply + Sync) -> Vec<Reply> {
    map_concurrently(count, ask)
}

fn map_concurrently<T: Send>(count: usize, ask: impl Fn(usize) -> T + Sync) -> Vec<T> {
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
pub fn assert_all_ok(replies: &[Reply]) {
    let other: Vec<&Reply> = replies.iter().filter(|r| !r.ok()).collect();
    assert!(other.is_empty(), "{} of {}: {:?}", other.len(), replies.len(), &other[..other.len().min(5)]);
}
