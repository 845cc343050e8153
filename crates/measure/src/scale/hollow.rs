//! Measures hollow (simulated) marshals by their number: many shipped cores with memory, timers and datagrams
//! in one process, on links in virtual time. Shows what the control plane costs each: requests to the node
//! list and rollout controller, votes, peers, ticks.

use std::time::Duration;

use serde_json::{json, Value};

use super::subprocess::{cpu, memory};
use super::table::{short, whole};
use super::{Error, Plan, Table, MARSHAL_COUNT, TOTAL_RATE};
use marshal::Counts;
use script::Script;
use simulation::Simulation;

pub mod marshal;
pub mod script;
pub mod simulation;

const SIZES: [usize; 3] = [50, 200, 1000];
/// Nodes of one service in the fleet under study.
pub const SERVICE_NODES: usize = 16;
/// Control budget of a marshal: bytes of memory, share of a core, bytes per second.
pub const CONTROL_BUDGET: (f64, f64, f64) = (64e6, 0.027, 22_000.0);
/// Bytes of the IP and UDP headers.
const HEADER_BYTES: u64 = 28;
/// List lengths of the second series, and its number of marshals.
const LIST_LENGTHS: [usize; 3] = [16, 20_000, 44_000];
const LIST_SERIES_MARSHALS: usize = 10;
/// Node list changes per second at 44,000 nodes: per day 7,910 of them restart, are replaced or fail, and
/// each appears twice.
const LIST_CHANGES_PER_S: f64 = 2.0 * 7910.0 / 86_400.0;
/// Larger sizes run for a shorter time.
const LARGE_FLEET: usize = 1000;
const PHASE_NAMES: [&str; 3] =
    ["no RPCs", "95 RPCs a second each", "95 RPCs a second each, a build on trial"];

/// Time for the marshals to find one another: about as long as 90 % of all pairs need.
fn settle_time(marshals: usize) -> Duration {
    Duration::from_secs((10 + marshals as u64 / 12).min(100))
}

/// Duration of each of the three measured phases.
fn phase_time(marshals: usize) -> Duration {
    Duration::from_secs(if marshals > LARGE_FLEET { 6 } else { 20 })
}

/// Bytes of control traffic in both directions, with datagram headers.
pub fn control_bytes(counts: &Counts) -> u64 {
    let peers = counts.sent.plus(counts.received);
    peers.bytes
        + HEADER_BYTES * peers.count
        + counts.list.bytes
        + counts.controller.bytes
        + counts.votes.bytes
}

/// Time of the core for control.
pub fn control_time(counts: &Counts) -> Duration {
    [counts.ticks, counts.received, counts.list, counts.controller, counts.votes].iter().map(|d| d.took).sum()
}

/// The figures of one phase, per marshal and second.
fn figures(counts: &Counts, simulation: &Simulation, span: Duration, took: Duration) -> Value {
    let marshal_seconds = simulation.running().max(1) as f64 * span.as_secs_f64();
    let bytes = |n: u64| n as f64 / marshal_seconds;
    let ms = |took: Duration| took.as_secs_f64() * 1000.0 / marshal_seconds;
    json!({
        "sent": bytes(counts.sent.bytes), "heard": bytes(counts.received.bytes),
        "datagrams": bytes(counts.sent.count + counts.received.count), "list": bytes(counts.list.bytes),
        "desk": bytes(counts.controller.bytes), "votes": bytes(counts.votes.bytes),
        "control": bytes(control_bytes(counts)), "ticks_ms": ms(counts.ticks.took), "peers_ms": ms(counts.received.took),
        "list_ms": ms(counts.list.took), "desk_ms": ms(counts.controller.took + counts.votes.took),
        "control_ms": ms(control_time(counts)), "rpc_us": counts.rpcs.took.as_secs_f64() * 1e6
            / counts.rpcs.count.max(1) as f64, "ok": counts.ok as f64 / counts.rpcs.count.max(1) as f64,
        "refused": counts.refused, "all_ms": ms(took),
    })
}

/// Runs the three phases in sequence for this many marshals and nodes. Also measures the memory per marshal.
fn run_child(marshals: usize, nodes: usize) -> Result<Value, Error> {
    let mut script = Script::new(marshals, nodes);
    script.rate = TOTAL_RATE / MARSHAL_COUNT as f64;
    let span = phase_time(marshals);
    (script.rpcs_start, script.trial_start) =
        (settle_time(marshals) + span, settle_time(marshals) + 2 * span);
    if nodes > SERVICE_NODES {
        script.change_interval = Duration::from_secs_f64(44_000.0 / nodes as f64 / LIST_CHANGES_PER_S);
        script.accept_oversized = nodes > ivydrift_wire::list::MAX_LIST_NODES;
    }
    let list = ivydrift_wire::list::write(&script.nodes).len();
    let starts: Vec<Duration> =
        (0..marshals).map(|n| Duration::from_secs(2) * n as u32 / marshals as u32).collect();
    let threads = if marshals < 500 { 1 } else { 4 };
    let clean = memory()?.now;
    let mut simulation = Simulation::new(script, &starts, threads);
    simulation.run(settle_time(marshals))?;
    let pairs = (marshals * (marshals - 1)).max(1) as f64;
    eprintln!("{marshals} marshals: {:.3} of all pairs see each other", simulation.pairs() as f64 / pairs);
    let settled_counts = simulation.counts();
    let mut phases = vec![];
    for name in PHASE_NAMES {
        let (before, from) = (simulation.counts(), cpu());
        simulation.run(span)?;
        let phase_figures = figures(&simulation.counts().since(&before), &simulation, span, cpu() - from);
        eprintln!("{marshals} marshals, {name}: {phase_figures}");
        phases.push(phase_figures);
    }
    let settled = settled_counts.sent.plus(settled_counts.received);
    let settling_rate = settled.bytes as f64 / marshals as f64 / settle_time(marshals).as_secs_f64();
    Ok(json!({
        "stretches": phases, "memory": (memory()?.now - clean) / marshals as f64, "list_bytes": list,
        "found": simulation.pairs() as f64 / pairs, "settling": settling_rate, "ready": simulation.min_ready(),
    }))
}

/// Performs one run in its own process.
fn run_in_child(marshals: usize, nodes: usize) -> Result<Value, Error> {
    let sizes = format!("{marshals},{nodes}");
    let mut command = std::process::Command::new(std::env::current_exe()?);
    command.args(["scale", "hollow", "--sizes", &sizes, "--part"]).stderr(std::process::Stdio::inherit());
    let out = command.output()?;
    if !out.status.success() {
        return Err(
            format!("run with {marshals} hollow marshals and {nodes} nodes failed: {}", out.status).into()
        );
    }
    Ok(serde_json::from_slice(&out.stdout)?)
}

const COLUMNS: [&str; 15] = [
    "pairs found",
    "peers sent, B/s",
    "heard, B/s",
    "datagrams/s",
    "list, B/s",
    "desk and votes, B/s",
    "control, B/s",
    "of 22 kB/s",
    "ticks, ms/s",
    "peers, ms/s",
    "list and desk, ms/s",
    "control, % of a core",
    "with the simulator, %",
    "RPC, us",
    "memory, kB",
];

fn row(size: usize, run: &Value, phase: usize) -> Vec<String> {
    let phase_figures = &run["stretches"][phase];
    let n = |name: &str| phase_figures[name].as_f64().unwrap_or(f64::NAN);
    let found = run["found"].as_f64().unwrap_or(f64::NAN);
    vec![
        whole(size as f64),
        format!("{found:.3}"),
        whole(n("sent")),
        whole(n("heard")),
        short(n("datagrams")),
        whole(n("list")),
        whole(n("desk") + n("votes")),
        whole(n("control")),
        short(n("control") / CONTROL_BUDGET.2),
        short(n("ticks_ms")),
        short(n("peers_ms")),
        short(n("list_ms") + n("desk_ms")),
        format!("{:.3}", n("control_ms") / 10.0),
        format!("{:.3}", n("all_ms") / 10.0),
        short(n("rpc_us")),
        whole(run["memory"].as_f64().unwrap_or(f64::NAN) / 1000.0),
    ]
}

fn phase_tables(first: &str, title: &str) -> Vec<Table> {
    let head: Vec<&str> = std::iter::once(first).chain(COLUMNS).collect();
    PHASE_NAMES.iter().map(|name| Table::new(format!("{title}: {name}"), &head)).collect()
}

/// Measures the marshals by their number, and a few by the length of their node list.
///
/// # Errors
/// If a run fails.
pub fn run(plan: &Plan) -> Result<Vec<Table>, Error> {
    if plan.child {
        let size = |at: usize, or: usize| plan.sizes.get(at).copied().unwrap_or(or);
        println!("{}", run_child(size(0, LIST_SERIES_MARSHALS), size(1, SERVICE_NODES))?);
        return Ok(vec![]);
    }
    let mut tables = phase_tables("marshals", "a hollow marshal with a list of 16 nodes");
    for size in plan.sizes_or(&SIZES) {
        let run = run_in_child(size, SERVICE_NODES)?;
        tables.iter_mut().enumerate().for_each(|(phase, table)| table.row(row(size, &run, phase)));
    }
    if let Some(last) = tables.last_mut() {
        last.note(
            "Bytes go both ways, with 28 for the heads of each datagram; without those of TCP. CPU is the core's alone, a \
             shell's sockets are not in it (see the subject real); 'with the simulator' is all that the process took, RPCs \
             and the script among it.",
        );
    }
    if plan.sizes.is_empty() {
        let mut long = phase_tables("nodes", "ten hollow marshals by the length of their list");
        for nodes in LIST_LENGTHS {
            let run = run_in_child(LIST_SERIES_MARSHALS, nodes)?;
            long.iter_mut().enumerate().for_each(|(phase, table)| table.row(row(nodes, &run, phase)));
            if let Some(last) = long.last_mut() {
                let bytes = whole(run["list_bytes"].as_f64().unwrap_or(f64::NAN));
                last.note(format!("A list of {} nodes has {bytes} bytes.", whole(nodes as f64)));
            }
        }
        if let Some(last) = long.last_mut() {
            last.note(
                "The shipped shell takes at most 20,000 nodes and 4 MiB: a list of 44,000 is refused whole. Its row is what it \
                 would cost if it were taken, the reading of it left out.",
            );
        }
        tables.extend(long);
    }
    Ok(tables)
}
