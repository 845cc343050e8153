//! Measures membership by the number of members: time until all know all, traffic and cost of a member, age
//! of records, and the effects of a zone's loss and of a partition between regions.

use std::process::{Command, Stdio};
use std::time::Duration;

use serde_json::{json, Value};

use super::subprocess;
use super::table::{short, spread, whole};
use super::{Error, Plan, Table};
use simulation::{secs, Simulation};

pub mod simulation;

const SIZES: [usize; 5] = [100, 300, 1000, 2000, 3700];
/// Seconds of a partition between regions: the first at each size, the second at sizes up to [`SMALL_FLEET`]
/// to show what grows with the duration.
const PARTITION_SECONDS: [u64; 2] = [60, 600];
/// Up to this many members, each phase lasts until all views are right. Above it, the last hundredth is
/// waited for at most [`STRAGGLER_LIMIT`].
const SMALL_FLEET: u16 = 1000;
const STRAGGLER_LIMIT: Duration = Duration::from_secs(60);
/// Runs with the longer partition have seeds above this.
const LONG_SEED_OFFSET: usize = 100;
/// Members that are killed one by one, 0.2 s apart.
const KILLED: u16 = 5;

/// The quantile `fraction` of the values.
pub fn quantile(values: &mut [f32], fraction: f64) -> f64 {
    values.sort_by(f32::total_cmp);
    let at = (values.len().saturating_sub(1)) as f64 * fraction;
    values.get(at.round() as usize).map_or(f64::NAN, |v| f64::from(*v))
}

fn seconds(span: Option<Duration>) -> f64 {
    span.map_or(f64::NAN, |s| s.as_secs_f64())
}

/// Traffic since a moment, per member and second.
struct TrafficMark {
    from: Duration,
    at_start: [u64; 2],
}

impl TrafficMark {
    fn since(simulation: &Simulation) -> TrafficMark {
        TrafficMark { from: simulation.now, at_start: simulation.traffic_sent() }
    }

    fn rates(&self, simulation: &Simulation, members: u16) -> [f64; 2] {
        let span = (simulation.now - self.from).as_secs_f64().max(0.001) * f64::from(members);
        let now = simulation.traffic_sent();
        [0, 1].map(|i| now[i].saturating_sub(self.at_start[i]) as f64 / span)
    }
}

/// Runs one fleet through all phases and returns all values by name. `partition_s`: seconds of the partition
/// between regions.
fn run_phases(count: u16, seed: u64, partition_s: u64) -> Result<Value, Error> {
    let (clean, limit) = (subprocess::memory()?.now, secs(1800));
    let last = if count > SMALL_FLEET { STRAGGLER_LIMIT } else { limit };
    let mut simulation = Simulation::new(count, seed);
    let most = simulation.run_until_right(0.99, limit);
    // Long enough for each member to get its turn to announce a new record.
    let steady = secs(60).max(Duration::from_secs_f64(1.2 * f64::from(count) / 20.0));
    let (mut sent, mut cpu) = (TrafficMark::since(&simulation), subprocess::cpu());
    let all_found = simulation.run_until_right(1.0, if count > SMALL_FLEET { steady } else { limit });
    let all_found = all_found.zip(most).map(|(a, b)| a + b);
    if count > SMALL_FLEET {
        simulation.run(steady.saturating_sub(simulation.now - sent.from));
    } else {
        (sent, cpu) = (TrafficMark::since(&simulation), subprocess::cpu());
        simulation.run(steady);
    }
    let cpu = (subprocess::cpu() - cpu).as_secs_f64()
        / (simulation.now - sent.from).as_secs_f64()
        / f64::from(count);
    let [datagrams, bytes] = sent.rates(&simulation, count);
    let memory = (subprocess::memory()?.now - clean) / f64::from(count);
    let (mut ages, known) = simulation.record_ages(200);
    eprintln!("{count} members, seed {seed}: 99% known after {:.1} s, all after {:.1} s, {datagrams:.2} datagrams and {bytes:.0} bytes \
               per second, {:.3} ms CPU, {:.0} kB, record age p50 {:.1} s, p99 {:.1} s", seconds(most), seconds(all_found), cpu * 1000.0, memory / 1000.0,
              quantile(&mut ages, 0.5), quantile(&mut ages, 0.99));
    // Kills some members one by one, then restarts them.
    let dead: Vec<u16> = (0..KILLED).map(|i| (u32::from(count) * u32::from(i) / 5 + 1) as u16).collect();
    for n in &dead {
        simulation.kill(*n);
        simulation.run(Duration::from_millis(200));
    }
    simulation.run_until_right(1.0, secs(180).min(last));
    let mut deaths = std::mem::take(&mut simulation.deaths);
    let seen_by = deaths.len() as f64 / f64::from(KILLED) / f64::from(count - KILLED);
    dead.iter().for_each(|n| simulation.restart(*n));
    let restarted = simulation.run_until_right(1.0, last / 2 * if count > SMALL_FLEET { 1 } else { 60 });
    eprintln!(
        "{count} members, seed {seed}: deaths seen p50 {:.1} s, p99 {:.1} s, by share {seen_by:.3}; restarts known after {:.1} s",
        quantile(&mut deaths, 0.5),
        quantile(&mut deaths, 0.99),
        seconds(restarted)
    );
    // Loses a zone within one second and brings it back within one second.
    let zone: Vec<u16> = (0..count).filter(|n| simulation.zone(*n) == 0).collect();
    let step = secs(1) / zone.len() as u32;
    for n in &zone {
        simulation.kill(*n);
        simulation.run(step);
    }
    let zone_loss = TrafficMark::since(&simulation);
    let lost = simulation.run_until_right(1.0, 2 * last).map(|t| t + secs(1));
    let [_, gone_bytes] = zone_loss.rates(&simulation, count - zone.len() as u16);
    let mut zone_deaths = std::mem::take(&mut simulation.deaths);
    for n in &zone {
        simulation.restart(*n);
        simulation.run(step);
    }
    let zone_return = TrafficMark::since(&simulation);
    let most_back = simulation.run_until_right(0.99, limit);
    let returned = simulation.run_until_right(1.0, last).zip(most_back).map(|(a, b)| a + b + secs(1));
    let [_, back_bytes] = zone_return.rates(&simulation, count);
    let wrong = simulation.false_deaths;
    eprintln!(
        "{count} members, seed {seed}: zone loss seen p50 {:.1} s, p99 {:.1} s, by all after {:.1} s; return known to 99% after {:.1} s, to all after {:.1} s",
        quantile(&mut zone_deaths, 0.5),
        quantile(&mut zone_deaths, 0.99),
        seconds(lost),
        seconds(most_back),
        seconds(returned)
    );
    // Partitions the regions.
    simulation.partitioned = true;
    let apart = TrafficMark::since(&simulation);
    simulation.run(secs(partition_s));
    let [_, apart_bytes] = apart.rates(&simulation, count);
    let seen = simulation.right_share();
    simulation.partitioned = false;
    let joined = TrafficMark::since(&simulation);
    let most_joined = simulation.run_until_right(0.99, limit);
    let all_joined = simulation.run_until_right(1.0, last).zip(most_joined).map(|(a, b)| a + b);
    let [_, joined_bytes] = joined.rates(&simulation, count);
    let joined_false = (simulation.false_deaths - wrong) as f64 / f64::from(count);
    eprintln!(
        "{count} members, seed {seed}: all views right {:.1} s after the partition",
        seconds(all_joined)
    );
    Ok(json!({
        "found": seconds(all_found), "found_99": seconds(most), "datagrams": datagrams, "bytes": bytes,
        "cpu_ms": cpu * 1000.0, "memory_kb": memory / 1000.0, "known": known,
        "age_50": quantile(&mut ages, 0.5), "age_99": quantile(&mut ages, 0.99),
        "death_50": quantile(&mut deaths, 0.5), "death_99": quantile(&mut deaths, 0.99), "seen_by": seen_by,
        "restarted": seconds(restarted), "zone_50": quantile(&mut zone_deaths, 0.5),
        "zone_99": quantile(&mut zone_deaths, 0.99), "zone_all": seconds(lost), "zone_bytes": gone_bytes,
        "return_99": seconds(most_back), "return": seconds(returned), "return_bytes": back_bytes,
        "false_deaths": wrong, "apart_bytes": apart_bytes, "seen_apart": seen, "joined_99": seconds(most_joined),
        "joined": seconds(all_joined), "joined_bytes": joined_bytes, "joined_false": joined_false,
    }))
}

/// Runs one fleet in its own process, so that memory and CPU time are that run's alone.
fn run_in_child(count: usize, seed: usize) -> Result<Value, Error> {
    let (size, run) = (count.to_string(), seed.to_string());
    let args = ["scale", "members", "--sizes", &size, "--runs", &run, "--part"];
    let out = Command::new(std::env::current_exe()?).args(args).stderr(Stdio::inherit()).output()?;
    if !out.status.success() {
        return Err(format!("run with {count} members, seed {seed}, failed: {}", out.status).into());
    }
    Ok(serde_json::from_slice(&out.stdout)?)
}

/// Runs one size with several seeds, and with the longer partition; small sizes run in parallel.
fn run_seeds(count: usize, runs: usize) -> Result<Vec<Value>, Error> {
    let mut seeds: Vec<usize> = (1..=runs).collect();
    seeds.extend((count <= usize::from(SMALL_FLEET)).then_some(LONG_SEED_OFFSET + 1));
    let mut done = Vec::new();
    for group in seeds.chunks(if count > 2000 { 1 } else { 4 }) {
        let results: Result<Vec<Value>, Error> = std::thread::scope(|s| {
            let each: Vec<_> = group.iter().map(|seed| s.spawn(move || run_in_child(count, *seed))).collect();
            each.into_iter()
                .map(|t| t.join().map_err(|_| Error::from("a measurement thread panicked"))?)
                .collect()
        });
        done.extend(results?);
    }
    Ok(done)
}

/// Head of a column and the name of its value.
type Column = (&'static str, &'static str);

const STEADY: [Column; 12] = [
    ("99% found, s", "found_99"),
    ("all found, s", "found"),
    ("datagrams/s", "datagrams"),
    ("bytes/s", "bytes"),
    ("CPU ms/s", "cpu_ms"),
    ("memory, kB", "memory_kb"),
    ("age p50, s", "age_50"),
    ("p99, s", "age_99"),
    ("a death seen p50, s", "death_50"),
    ("p99, s", "death_99"),
    ("by part of all", "seen_by"),
    ("5 back, known again, s", "restarted"),
];

const ZONE: [Column; 8] = [
    ("seen p50, s", "zone_50"),
    ("p99, s", "zone_99"),
    ("by all, s", "zone_all"),
    ("bytes/s meanwhile", "zone_bytes"),
    ("back: 99%, s", "return_99"),
    ("back: all, s", "return"),
    ("bytes/s meanwhile", "return_bytes"),
    ("living taken for dead", "false_deaths"),
];

const PARTITION: [Column; 6] = [
    ("bytes/s apart", "apart_bytes"),
    ("pairs seen apart", "seen_apart"),
    ("whole again: 99%, s", "joined_99"),
    ("all, s", "joined"),
    ("bytes/s meanwhile", "joined_bytes"),
    ("heard, taken for dead by each", "joined_false"),
];

fn row(size: String, values: &[Value], columns: &[Column]) -> Vec<String> {
    let cell = |(_, name): &Column| {
        let all: Vec<f64> = values.iter().filter_map(|v| v[*name].as_f64()).collect();
        if *name == "false_deaths" {
            return short(all.iter().sum());
        }
        spread(&all)
    };
    std::iter::once(size).chain(columns.iter().map(cell)).collect()
}

fn head<'a>(first: &'a str, columns: &[Column]) -> Vec<&'a str> {
    std::iter::once(first).chain(columns.iter().map(|c| c.0)).collect()
}

/// Measures membership for each number of members.
///
/// # Errors
/// If a run fails.
pub fn run(plan: &Plan) -> Result<Vec<Table>, Error> {
    if plan.child {
        let count = plan.sizes.first().copied().unwrap_or(100);
        let count = u16::try_from(count).map_err(|_| "--sizes: at most 65,535 members are supported")?;
        // For a child process, `--runs` holds the seed, plus `LONG_SEED_OFFSET` for the longer partition.
        let partition_s = PARTITION_SECONDS[usize::from(plan.runs > LONG_SEED_OFFSET)];
        println!("{}", run_phases(count, (plan.runs % LONG_SEED_OFFSET) as u64, partition_s)?);
        return Ok(vec![]);
    }
    let mut steady = Table::new("membership in quiet, for each member", &head("members", &STEADY));
    let mut zone = Table::new("a zone of twelve lost at once, and back", &head("members", &ZONE));
    let mut apart = Table::new("six regions apart, and whole again", &head("members, s apart", &PARTITION));
    for size in plan.sizes_or(&SIZES) {
        let mut all = run_seeds(size, plan.runs())?;
        let long_runs = all.split_off(plan.runs());
        steady.row(row(whole(size as f64), &all, &STEADY));
        zone.row(row(whole(size as f64), &all, &ZONE));
        apart.row(row(format!("{}, {}", whole(size as f64), PARTITION_SECONDS[0]), &all, &PARTITION));
        if !long_runs.is_empty() {
            apart.row(row(
                format!("{}, {}", whole(size as f64), PARTITION_SECONDS[1]),
                &long_runs,
                &PARTITION,
            ));
        }
    }
    let most = whole(SMALL_FLEET.into());
    zone.note(format!("-: over {most} members the last hundredth is waited for 60 s, a loss 120 s, and was not right by then."));
    steady.note(
        "Links of 1 to 3 ms, nothing lost; bytes without heads of IP and UDP; CPU with the simulator's own.",
    );
    steady.note("A member says something new once in members / 20 s: that is most of a record's age.");
    Ok(vec![steady, zone, apart])
}
