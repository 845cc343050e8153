//! Compares real marshals, processes of this program on loopback, with hollow (simulated) ones, the same core
//! in virtual time, by the same script. The tolerances were set before the first run.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ivydrift_sockets::coroutine::prepare;

use super::hollow::host::Counts;
use super::hollow::script::{Places, Script};
use super::hollow::world::World;
use super::hollow::SERVICE;
use super::part::memory;
use super::table::short;
use super::{Error, Plan, Table};
use around::{Around, Asked, Taps};
use process::{Process, Sample};

pub mod around;
pub mod process;

const SIZES: [usize; 1] = [50];
/// RPCs per second of each marshal. Small fleets get more: at the lower rate hardly any RPC would reach the
/// build on trial in the time of the run.
const RATE: [f64; 2] = [2.0, 20.0];
/// Fleets smaller than this run a short form, for tests.
const SHORT: usize = 20;
/// Most processes at once.
const MOST: usize = 250;

/// How far a hollow figure may differ from the real one. Set before the first run and not widened since.
#[derive(Clone, Copy, Debug)]
enum Tolerance {
    /// By this share, or by this amount.
    Within(f64, f64),
    /// By this factor in either direction, or by this amount.
    Times(f64, f64),
    /// Not checked: a hollow marshal has no sockets.
    Shown,
}

impl Tolerance {
    fn kept(self, real: f64, hollow: f64) -> Option<bool> {
        let near = |part: f64, least: f64| (real - hollow).abs() <= (part * real.abs()).max(least);
        match self {
            Tolerance::Within(part, least) => Some(near(part, least)),
            Tolerance::Times(factor, least) => {
                Some(near(0.0, least) || (hollow <= real * factor && real <= hollow * factor))
            }
            Tolerance::Shown => None,
        }
    }

    fn text(self) -> String {
        match self {
            Tolerance::Within(part, least) => format!("{:.0}% or {}", part * 100.0, short(least)),
            Tolerance::Times(factor, least) => format!("{factor} times or {}", short(least)),
            Tolerance::Shown => "shown only".to_owned(),
        }
    }
}

/// Phases begin and end this long before whole seconds, at which the script changes: an event on the boundary
/// could fall on either side.
const BEFORE: Duration = Duration::from_millis(500);

/// Durations of the phases: settling, each measured phase, and the watch after a kill.
struct Times {
    settle: Duration,
    stretch: Duration,
    watch: Duration,
}

impl Times {
    fn of(marshals: usize) -> Times {
        let secs = Duration::from_secs;
        if marshals < SHORT {
            return Times { settle: secs(3), stretch: secs(4), watch: secs(6) };
        }
        Times { settle: secs(10 + marshals as u64 / 12), stretch: secs(20), watch: secs(20) }
    }
}

fn rate(marshals: usize) -> f64 {
    RATE[usize::from(marshals < SHORT)]
}

fn script(marshals: usize, times: &Times) -> Script {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let zero_ms = unix.saturating_sub(Duration::from_secs(86_400)).as_millis() as u64;
    let (rpcs_from, trial) = (Duration::from_secs(2), times.settle + times.stretch);
    let turn = times.stretch / 2;
    Script { rate: rate(marshals), rpcs_from, trial, turn, zero_ms, ..Script::new(marshals, SERVICE) }
}

/// Counters of all marshals at one moment.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    /// Datagrams and bytes sent by the marshals.
    sent: [u64; 2],
    asked: Asked,
    ok: u64,
    cpu: Duration,
}

/// Results of a run: two phases, and times since the fleet's start.
#[derive(Debug, Default)]
struct Seen {
    stretches: Vec<Sums>,
    starts: Vec<Duration>,
    /// Seconds until the last marshal saw the last other, and the share of pairs that saw each other.
    found: f64,
    pairs: f64,
    /// Seconds from the kill until each of the others noticed it.
    deaths: Vec<f32>,
    /// Bytes of memory per marshal; the same of a marshal without peers, and its CPU time in the two phases.
    memory: f64,
    alone: f64,
    alone_cpu: Vec<Duration>,
}

impl Sums {
    fn since(&self, earlier: &Sums) -> Sums {
        let mut asked = self.asked;
        asked.iter_mut().flatten().zip(earlier.asked.iter().flatten()).for_each(|(a, b)| *a -= b);
        let sent = [0, 1].map(|i| self.sent[i] - earlier.sent[i]);
        let cpu = self.cpu.saturating_sub(earlier.cpu);
        Sums { sent, asked, ok: self.ok - earlier.ok, cpu }
    }
}

fn differences(at: &[Sums]) -> Vec<Sums> {
    at.windows(2).map(|pair| pair[1].since(&pair[0])).collect()
}

/// Directory of a run, removed on drop.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Evaluates the log: seconds until the last pair saw each other, the share of such pairs, and seconds from
/// the kill until each marshal noticed it. Times are since the fleet's start.
fn found(saw: &[(f64, usize, usize, bool)], marshals: usize, killed: f64) -> (f64, f64, Vec<f32>) {
    let mut came: std::collections::BTreeMap<(usize, usize), f64> = Default::default();
    let mut deaths = vec![];
    for &(at, by, whom, is) in saw {
        if is {
            came.entry((by, whom)).or_insert(at);
        } else if whom == marshals - 1 && at >= killed {
            deaths.push((at - killed) as f32);
        }
    }
    let pairs = came.len() as f64 / (marshals * (marshals - 1)) as f64;
    (came.values().copied().fold(0.0, f64::max), pairs, deaths)
}

fn play_real(marshals: usize, times: &Times) -> Result<Seen, Error> {
    prepare(2);
    let (pid, unix) =
        (std::process::id(), || SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default());
    let folder = Folder(std::env::temp_dir().join(format!("ivydrift-measure-{pid}-{marshals}")));
    std::fs::create_dir_all(&folder.0)?;
    // Each run uses its own subnet of 127.0.0.0/8.
    let (net, own) = (64 + (pid >> 8 & 127) as u8, pid as u8);
    let own: Vec<SocketAddr> =
        (0..=marshals).map(|n| SocketAddr::from(([127, net, own, 1 + n as u8], 7100))).collect();
    let taps = Taps::new(&own[..marshals])?;
    let around = Around::start(script(marshals, times))?;
    let (counted, other) = (around.serve(true)?, around.serve(false)?);
    let zero = unix().as_secs_f64() % 86_400.0 - around.now().as_secs_f64();
    let (mut seen, mut all) = (Seen::default(), vec![]);
    for (number, own) in own[..marshals].iter().enumerate() {
        let peers = taps.told(number, *own);
        let places = Places { listen: *own, list: counted, desk: counted, peers: &peers };
        let text = around.script().text(number, &places);
        seen.starts.push(around.now());
        all.push(Process::start(&folder.0, &format!("edge-{number}"), &text)?);
        around.clients(number, *own);
    }
    // One additional marshal without peers.
    let places = Places { listen: own[marshals], list: other, desk: other, peers: &[] };
    let alone = Process::start(&folder.0, "alone", &around.script().text(0, &places))?;
    let (mut at, mut alone_at) = (vec![], vec![]);
    for n in 0..3 {
        around.wait_until(times.settle + times.stretch * n - BEFORE);
        let samples: Vec<Sample> = all.iter().map(Process::sample).collect::<Result<_, _>>()?;
        let cpu = samples.iter().map(|s| s.cpu).sum();
        seen.memory = samples.iter().map(|s| s.resident).sum::<f64>() / marshals as f64;
        let ok = around.ok.load(std::sync::atomic::Ordering::Relaxed);
        at.push(Sums { sent: taps.sent(), asked: around.asked(), ok, cpu });
        alone_at.push(alone.sample()?);
    }
    seen.stretches = differences(&at);
    seen.alone = alone_at[2].resident;
    seen.alone_cpu = alone_at.windows(2).map(|p| p[1].cpu.saturating_sub(p[0].cpu)).collect();
    let killed = around.now().as_secs_f64();
    all[marshals - 1].kill();
    around.wait_until(Duration::from_secs_f64(killed) + times.watch);
    around.end();
    let mut saw = vec![];
    for (by, process) in all.iter().enumerate() {
        saw.extend(
            process.saw()?.into_iter().map(|(at, whom, is)| ((at - zero).rem_euclid(86_400.0), by, whom, is)),
        );
    }
    (seen.found, seen.pairs, seen.deaths) = found(&saw, marshals, killed);
    Ok(seen)
}

fn sums(counts: &Counts) -> Sums {
    let pair = |d: super::hollow::host::Done| [d.count, d.bytes];
    let all = [counts.ticks, counts.heard, counts.list, counts.desk, counts.votes, counts.rpcs];
    Sums {
        sent: pair(counts.sent),
        asked: [pair(counts.list), pair(counts.desk), pair(counts.votes)],
        ok: counts.ok,
        cpu: all.iter().map(|d| d.took).sum(),
    }
}

fn play_hollow(marshals: usize, times: &Times, starts: &[Duration]) -> Result<Seen, Error> {
    let clean = memory()?.now;
    let mut seen = Seen::default();
    let play = |peers: bool| -> Result<(Vec<Sums>, World, f64), Error> {
        let before = memory()?.now;
        let mut world = World::new(Script { peers, ..script(marshals, times) }, starts, 1);
        world.keeps = true;
        world.run(times.settle - BEFORE)?;
        let mut at = vec![sums(&world.counts())];
        for _ in 0..2 {
            world.run(times.stretch)?;
            at.push(sums(&world.counts()));
        }
        Ok((differences(&at), world, (memory()?.now - before.max(clean)) / marshals as f64))
    };
    let (stretches, mut world, held) = play(true)?;
    let killed = world.now.as_secs_f64();
    world.kill(marshals - 1);
    world.run(times.watch)?;
    let saw: Vec<_> =
        world.saw().into_iter().map(|(at, by, whom, is)| (at.as_secs_f64(), by, whom, is)).collect();
    (seen.found, seen.pairs, seen.deaths) = found(&saw, marshals, killed);
    (seen.stretches, seen.memory) = (stretches, held);
    let (without, _world, held) = play(false)?;
    seen.alone = held;
    seen.alone_cpu = without.iter().map(|s| s.cpu / marshals as u32).collect();
    Ok(seen)
}

/// Adds a row that shows whether the figures lie within the tolerance.
fn row(table: &mut Table, name: &str, (real, hollow): (f64, f64), tolerance: Tolerance) {
    let kept = match tolerance.kept(real, hollow) {
        Some(true) => "yes",
        Some(false) => "NO",
        None => "-",
    };
    let ratio = if real == 0.0 { "-".to_owned() } else { short(hollow / real) };
    table.row([name.to_owned(), short(real), short(hollow), ratio, tolerance.text(), kept.to_owned()]);
}

fn compare(marshals: usize) -> Result<Table, Error> {
    use Tolerance::{Shown, Times as Factor, Within};
    let times = Times::of(marshals);
    let mut real = play_real(marshals, &times)?;
    let mut hollow = play_hollow(marshals, &times, &real.starts)?;
    let (n, span) = (marshals as f64, times.stretch.as_secs_f64());
    let title = format!(
        "{marshals} processes beside {marshals} hollow marshals, each; {} RPCs a second",
        rate(marshals)
    );
    let mut table = Table::new(title, &["what", "real", "hollow", "hollow / real", "tolerance", "kept"]);
    for (stretch, name) in ["released", "on trial"].into_iter().enumerate() {
        let (a, b) = (real.stretches[stretch], hollow.stretches[stretch]);
        let each = |a: u64, b: u64| (a as f64 / n / span, b as f64 / n / span);
        // One request more or less per marshal is no difference in a phase with few requests.
        let one = 1.0 / span;
        let mut put =
            |what: &str, pair, tolerance| row(&mut table, &format!("{name}: {what}"), pair, tolerance);
        put("datagrams sent/s", each(a.sent[0], b.sent[0]), Within(0.1, 0.0));
        put("bytes sent/s", each(a.sent[1], b.sent[1]), Within(0.1, 0.0));
        for (i, what) in ["list questions", "desk questions", "votes"].into_iter().enumerate() {
            let (part, bytes) =
                (if i == 2 { 0.25 } else { 0.1 }, a.asked[i][1] as f64 / a.asked[i][0].max(1) as f64);
            put(&format!("{what}/s"), each(a.asked[i][0], b.asked[i][0]), Within(part, one));
            put(&format!("{what}, bytes/s"), each(a.asked[i][1], b.asked[i][1]), Within(part, one * bytes));
        }
        put("RPCs answered ok/s", each(a.ok, b.ok), Within(0.05, one));
        let ms =
            |a: Duration, b: Duration| (a.as_secs_f64() * 1e3 / n / span, b.as_secs_f64() * 1e3 / n / span);
        put("processor time, ms/s", ms(a.cpu, b.cpu), Shown);
        let more = |all: Duration, alone: Duration| {
            all.as_secs_f64() * 1e3 / n / span - alone.as_secs_f64() * 1e3 / span
        };
        let peers = (more(a.cpu, real.alone_cpu[stretch]), more(b.cpu, hollow.alone_cpu[stretch]));
        put("of it by peers, ms/s", peers, Shown);
    }
    row(&mut table, "part of all pairs found", (real.pairs, hollow.pairs), Within(0.01, 0.0));
    row(&mut table, "the last found after, s", (real.found, hollow.found), Factor(2.0, 2.0));
    row(&mut table, "saw a death", (real.deaths.len() as f64, hollow.deaths.len() as f64), Within(0.05, 1.0));
    for (name, part) in [("a death seen p50, s", 0.5), ("p99, s", 0.99)] {
        let [a, b] = [&mut real.deaths, &mut hollow.deaths].map(|d| super::members::quantile(d, part));
        row(&mut table, name, (a, b), Within(0.3, 1.5));
    }
    row(&mut table, "memory, kB", (real.memory / 1e3, hollow.memory / 1e3), Shown);
    let grown = ((real.memory - real.alone) / 1e3, (hollow.memory - hollow.alone) / 1e3);
    row(&mut table, "of it by peers, kB", grown, if marshals < SHORT { Shown } else { Within(0.3, 300.0) });
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
    if sizes.iter().any(|n| !(2..=MOST).contains(n)) {
        return Err(format!("--sizes: between 2 and {MOST} processes are supported").into());
    }
    sizes.into_iter().map(compare).collect()
}
