//! Compares real marshals, processes of this program on loopback, with hollow (simulated) ones, the same core
//! in virtual time, by the same script. The tolerances were set before the first run.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ivydrift_sockets::coroutine::configure_runtime;

use super::hollow::marshal::Counts;
use super::hollow::script::{Addresses, Script};
use super::hollow::simulation::Simulation;
use super::hollow::SERVICE_NODES;
use super::subprocess::memory;
use super::table::short;
use super::{Error, Plan, Table};
use environment::{Environment, LinkProxies, Requests};
use process::{Process, Sample};

pub mod environment;
pub mod process;

const SIZES: [usize; 1] = [50];
/// RPCs per second of each marshal. Small fleets get more: at the lower rate hardly any RPC would reach the
/// build on trial in the time of the run.
const RATE_PER_MARSHAL: [f64; 2] = [2.0, 20.0];
/// Fleets smaller than this run a short form, for tests.
const SHORT_FORM_BELOW: usize = 20;
/// Most processes at once.
const MAX_PROCESSES: usize = 250;

/// How far a hollow figure may differ from the real one. Set before the first run and not widened since.
#[derive(Clone, Copy, Debug)]
enum Tolerance {
    /// By this share, or by this amount.
    Relative(f64, f64),
    /// By this factor in either direction, or by this amount.
    Factor(f64, f64),
    /// Not checked: a hollow marshal has no sockets.
    Unchecked,
}

impl Tolerance {
    fn check(self, real: f64, hollow: f64) -> Option<bool> {
        let near = |share: f64, least: f64| (real - hollow).abs() <= (share * real.abs()).max(least);
        match self {
            Tolerance::Relative(share, least) => Some(near(share, least)),
            Tolerance::Factor(factor, least) => {
                Some(near(0.0, least) || (hollow <= real * factor && real <= hollow * factor))
            }
            Tolerance::Unchecked => None,
        }
    }

    fn description(self) -> String {
        match self {
            Tolerance::Relative(share, least) => format!("{:.0}% or {}", share * 100.0, short(least)),
            Tolerance::Factor(factor, least) => format!("{factor} times or {}", short(least)),
            Tolerance::Unchecked => "shown only".to_owned(),
        }
    }
}

/// Phases begin and end this long before whole seconds, at which the script changes: an event on the boundary
/// could fall on either side.
const PHASE_LEAD: Duration = Duration::from_millis(500);

/// Durations of the phases: settling, each measured phase, and the watch after a kill.
struct Schedule {
    settle: Duration,
    phase: Duration,
    watch: Duration,
}

impl Schedule {
    fn of(marshals: usize) -> Schedule {
        let secs = Duration::from_secs;
        if marshals < SHORT_FORM_BELOW {
            return Schedule { settle: secs(3), phase: secs(4), watch: secs(6) };
        }
        Schedule { settle: secs(10 + marshals as u64 / 12), phase: secs(20), watch: secs(20) }
    }
}

fn rate(marshals: usize) -> f64 {
    RATE_PER_MARSHAL[usize::from(marshals < SHORT_FORM_BELOW)]
}

fn script(marshals: usize, schedule: &Schedule) -> Script {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let zero_ms = unix.saturating_sub(Duration::from_secs(86_400)).as_millis() as u64;
    let (rpcs_start, trial_start) = (Duration::from_secs(2), schedule.settle + schedule.phase);
    let change_interval = schedule.phase / 2;
    Script {
        rate: rate(marshals),
        rpcs_start,
        trial_start,
        change_interval,
        zero_ms,
        ..Script::new(marshals, SERVICE_NODES)
    }
}

/// Counters of all marshals at one moment.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    /// Datagrams and bytes sent by the marshals.
    sent: [u64; 2],
    requests: Requests,
    ok: u64,
    cpu: Duration,
}

/// Results of a run: two phases, and times since the fleet's start.
#[derive(Debug, Default)]
struct Results {
    phases: Vec<Totals>,
    starts: Vec<Duration>,
    /// Seconds until the last marshal saw the last other, and the share of pairs that saw each other.
    found_s: f64,
    pairs: f64,
    /// Seconds from the kill until each of the others noticed it.
    deaths: Vec<f32>,
    /// Bytes of memory per marshal; the same of a marshal without peers, and its CPU time in the two phases.
    memory: f64,
    single: f64,
    single_cpu: Vec<Duration>,
}

impl Totals {
    fn since(&self, earlier: &Totals) -> Totals {
        let mut requests = self.requests;
        requests.iter_mut().flatten().zip(earlier.requests.iter().flatten()).for_each(|(a, b)| *a -= b);
        let sent = [0, 1].map(|i| self.sent[i] - earlier.sent[i]);
        let cpu = self.cpu.saturating_sub(earlier.cpu);
        Totals { sent, requests, ok: self.ok - earlier.ok, cpu }
    }
}

fn differences(at: &[Totals]) -> Vec<Totals> {
    at.windows(2).map(|pair| pair[1].since(&pair[0])).collect()
}

/// Directory of a run, removed on drop.
struct RunDir(PathBuf);

impl Drop for RunDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Evaluates the log: seconds until the last pair saw each other, the share of such pairs, and seconds from
/// the kill until each marshal noticed it. Times are since the fleet's start.
fn evaluate_changes(
    state_changes: &[(f64, usize, usize, bool)], marshals: usize, killed: f64,
) -> (f64, f64, Vec<f32>) {
    let mut first_seen: std::collections::BTreeMap<(usize, usize), f64> = Default::default();
    let mut deaths = vec![];
    for &(at, observer, observed, present) in state_changes {
        if present {
            first_seen.entry((observer, observed)).or_insert(at);
        } else if observed == marshals - 1 && at >= killed {
            deaths.push((at - killed) as f32);
        }
    }
    let pairs = first_seen.len() as f64 / (marshals * (marshals - 1)) as f64;
    (first_seen.values().copied().fold(0.0, f64::max), pairs, deaths)
}

fn run_real(marshals: usize, schedule: &Schedule) -> Result<Results, Error> {
    configure_runtime(2);
    let (pid, unix) =
        (std::process::id(), || SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default());
    let run_dir = RunDir(std::env::temp_dir().join(format!("ivydrift-measure-{pid}-{marshals}")));
    std::fs::create_dir_all(&run_dir.0)?;
    // Each run uses its own subnet of 127.0.0.0/8.
    let (subnet, run_octet) = (64 + (pid >> 8 & 127) as u8, pid as u8);
    let marshal_addrs: Vec<SocketAddr> =
        (0..=marshals).map(|n| SocketAddr::from(([127, subnet, run_octet, 1 + n as u8], 7100))).collect();
    let proxies = LinkProxies::new(&marshal_addrs[..marshals])?;
    let environment = Environment::start(script(marshals, schedule))?;
    let (counted, other) = (environment.serve(true)?, environment.serve(false)?);
    let zero = unix().as_secs_f64() % 86_400.0 - environment.now().as_secs_f64();
    let (mut results, mut processes) = (Results::default(), vec![]);
    for (number, addr) in marshal_addrs[..marshals].iter().enumerate() {
        let peers = proxies.peer_addresses(number, *addr);
        let addresses = Addresses { listen: *addr, list: counted, controller: counted, peers: &peers };
        let text = environment.script().config_text(number, &addresses);
        results.starts.push(environment.now());
        processes.push(Process::start(&run_dir.0, &format!("edge-{number}"), &text)?);
        environment.run_clients(number, *addr);
    }
    // One additional marshal without peers.
    let addresses = Addresses { listen: marshal_addrs[marshals], list: other, controller: other, peers: &[] };
    let single = Process::start(&run_dir.0, "alone", &environment.script().config_text(0, &addresses))?;
    let (mut at, mut single_samples) = (vec![], vec![]);
    for n in 0..3 {
        environment.wait_until(schedule.settle + schedule.phase * n - PHASE_LEAD);
        let samples: Vec<Sample> = processes.iter().map(Process::sample).collect::<Result<_, _>>()?;
        let cpu = samples.iter().map(|s| s.cpu).sum();
        results.memory = samples.iter().map(|s| s.resident).sum::<f64>() / marshals as f64;
        let ok = environment.ok.load(std::sync::atomic::Ordering::Relaxed);
        at.push(Totals { sent: proxies.sent(), requests: environment.requests(), ok, cpu });
        single_samples.push(single.sample()?);
    }
    results.phases = differences(&at);
    results.single = single_samples[2].resident;
    results.single_cpu = single_samples.windows(2).map(|p| p[1].cpu.saturating_sub(p[0].cpu)).collect();
    let killed = environment.now().as_secs_f64();
    processes[marshals - 1].kill();
    environment.wait_until(Duration::from_secs_f64(killed) + schedule.watch);
    environment.end();
    let mut state_changes = vec![];
    for (observer, process) in processes.iter().enumerate() {
        state_changes.extend(
            process.state_changes()?.into_iter().map(|(at, observed, present)| {
                ((at - zero).rem_euclid(86_400.0), observer, observed, present)
            }),
        );
    }
    (results.found_s, results.pairs, results.deaths) = evaluate_changes(&state_changes, marshals, killed);
    Ok(results)
}

fn totals(counts: &Counts) -> Totals {
    let pair = |d: super::hollow::marshal::Work| [d.count, d.bytes];
    let processes =
        [counts.ticks, counts.received, counts.list, counts.controller, counts.votes, counts.rpcs];
    Totals {
        sent: pair(counts.sent),
        requests: [pair(counts.list), pair(counts.controller), pair(counts.votes)],
        ok: counts.ok,
        cpu: processes.iter().map(|d| d.took).sum(),
    }
}

fn run_hollow(marshals: usize, schedule: &Schedule, starts: &[Duration]) -> Result<Results, Error> {
    let clean = memory()?.now;
    let mut results = Results::default();
    let run_one = |peers: bool| -> Result<(Vec<Totals>, Simulation, f64), Error> {
        let before = memory()?.now;
        let mut simulation = Simulation::new(Script { peers, ..script(marshals, schedule) }, starts, 1);
        simulation.records_changes = true;
        simulation.run(schedule.settle - PHASE_LEAD)?;
        let mut at = vec![totals(&simulation.counts())];
        for _ in 0..2 {
            simulation.run(schedule.phase)?;
            at.push(totals(&simulation.counts()));
        }
        Ok((differences(&at), simulation, (memory()?.now - before.max(clean)) / marshals as f64))
    };
    let (phases, mut simulation, memory) = run_one(true)?;
    let killed = simulation.now.as_secs_f64();
    simulation.kill(marshals - 1);
    simulation.run(schedule.watch)?;
    let state_changes: Vec<_> = simulation
        .state_changes()
        .into_iter()
        .map(|(at, observer, observed, present)| (at.as_secs_f64(), observer, observed, present))
        .collect();
    (results.found_s, results.pairs, results.deaths) = evaluate_changes(&state_changes, marshals, killed);
    (results.phases, results.memory) = (phases, memory);
    let (without, _world, memory) = run_one(false)?;
    results.single = memory;
    results.single_cpu = without.iter().map(|s| s.cpu / marshals as u32).collect();
    Ok(results)
}

/// Adds a row that shows whether the figures lie within the tolerance.
fn row(table: &mut Table, name: &str, (real, hollow): (f64, f64), tolerance: Tolerance) {
    let kept = match tolerance.check(real, hollow) {
        Some(true) => "yes",
        Some(false) => "NO",
        None => "-",
    };
    let ratio = if real == 0.0 { "-".to_owned() } else { short(hollow / real) };
    table.row([name.to_owned(), short(real), short(hollow), ratio, tolerance.description(), kept.to_owned()]);
}

fn compare(marshals: usize) -> Result<Table, Error> {
    use Tolerance::{Factor, Relative, Unchecked};
    let schedule = Schedule::of(marshals);
    let mut real = run_real(marshals, &schedule)?;
    let mut hollow = run_hollow(marshals, &schedule, &real.starts)?;
    let (n, span) = (marshals as f64, schedule.phase.as_secs_f64());
    let title = format!(
        "{marshals} processes beside {marshals} hollow marshals, each; {} RPCs a second",
        rate(marshals)
    );
    let mut table = Table::new(title, &["what", "real", "hollow", "hollow / real", "tolerance", "kept"]);
    for (phase, name) in ["released", "on trial"].into_iter().enumerate() {
        let (a, b) = (real.phases[phase], hollow.phases[phase]);
        let per_marshal = |a: u64, b: u64| (a as f64 / n / span, b as f64 / n / span);
        // One request more or less per marshal is no difference in a phase with few requests.
        let one_request = 1.0 / span;
        let mut put =
            |what: &str, pair, tolerance| row(&mut table, &format!("{name}: {what}"), pair, tolerance);
        put("datagrams sent/s", per_marshal(a.sent[0], b.sent[0]), Relative(0.1, 0.0));
        put("bytes sent/s", per_marshal(a.sent[1], b.sent[1]), Relative(0.1, 0.0));
        for (i, what) in ["list questions", "desk questions", "votes"].into_iter().enumerate() {
            let (fraction, bytes) =
                (if i == 2 { 0.25 } else { 0.1 }, a.requests[i][1] as f64 / a.requests[i][0].max(1) as f64);
            put(
                &format!("{what}/s"),
                per_marshal(a.requests[i][0], b.requests[i][0]),
                Relative(fraction, one_request),
            );
            put(
                &format!("{what}, bytes/s"),
                per_marshal(a.requests[i][1], b.requests[i][1]),
                Relative(fraction, one_request * bytes),
            );
        }
        put("RPCs answered ok/s", per_marshal(a.ok, b.ok), Relative(0.05, one_request));
        let ms =
            |a: Duration, b: Duration| (a.as_secs_f64() * 1e3 / n / span, b.as_secs_f64() * 1e3 / n / span);
        put("processor time, ms/s", ms(a.cpu, b.cpu), Unchecked);
        let peer_cost = |processes: Duration, single: Duration| {
            processes.as_secs_f64() * 1e3 / n / span - single.as_secs_f64() * 1e3 / span
        };
        let peers = (peer_cost(a.cpu, real.single_cpu[phase]), peer_cost(b.cpu, hollow.single_cpu[phase]));
        put("of it by peers, ms/s", peers, Unchecked);
    }
    row(&mut table, "part of all pairs found", (real.pairs, hollow.pairs), Relative(0.01, 0.0));
    row(&mut table, "the last found after, s", (real.found_s, hollow.found_s), Factor(2.0, 2.0));
    row(
        &mut table,
        "saw a death",
        (real.deaths.len() as f64, hollow.deaths.len() as f64),
        Relative(0.05, 1.0),
    );
    for (name, fraction) in [("a death seen p50, s", 0.5), ("p99, s", 0.99)] {
        let [a, b] = [&mut real.deaths, &mut hollow.deaths].map(|d| super::members::quantile(d, fraction));
        row(&mut table, name, (a, b), Relative(0.3, 1.5));
    }
    row(&mut table, "memory, kB", (real.memory / 1e3, hollow.memory / 1e3), Unchecked);
    let grown = ((real.memory - real.single) / 1e3, (hollow.memory - hollow.single) / 1e3);
    row(
        &mut table,
        "of it by peers, kB",
        grown,
        if marshals < SHORT_FORM_BELOW { Unchecked } else { Relative(0.3, 300.0) },
    );
    table.note(
        "Real: bytes by taps on the links, questions by the list and desk that were asked, times by the logs, processor time and \
         memory by the kernel; 'by peers' is less a process without peers beside them. Hollow: processor time is the core's alone.",
    );
    let kept = table.rows.iter().filter(|r| r[5] == "yes").count();
    let not = table.rows.iter().filter(|r| r[5] == "NO").count();
    table.note(format!("Tolerances kept: {kept} of {}.", kept + not));
    Ok(table)
}

/// Compares real with hollow marshals for each size.
///
/// # Errors
/// If a process can't be started, a socket can't be opened, or a size is out of range.
pub fn run(plan: &Plan) -> Result<Vec<Table>, Error> {
    let sizes = plan.sizes_or(&SIZES);
    if sizes.iter().any(|n| !(2..=MAX_PROCESSES).contains(n)) {
        return Err(format!("--sizes: between 2 and {MAX_PROCESSES} processes are supported").into());
    }
    sizes.into_iter().map(compare).collect()
}
