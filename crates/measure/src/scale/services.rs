//! Runs one core per service, many in one process, as far as the present core can represent that: memory of
//! each, and CPU time of its ticks when idle and in use.

use std::time::Duration;

use serde_json::json;

use super::core::{method, nodes, terms, Ask, Rig, Spent};
use super::nodes::EACH;
use super::part::{memory, runs};
use super::table::{short, whole};
use super::{Error, Plan, Table, SERVICES};

const METHODS: usize = 5;
/// 44,000 nodes divided over 2,700 services.
const NODES: usize = 16;

/// Creates `count` cores, each with its node list and the rollout controller's state.
///
/// # Errors
/// If the config is invalid.
pub fn cores(count: usize) -> Result<Vec<Rig>, Error> {
    let (terms, listed) = (terms(METHODS, 0)?, nodes(NODES));
    let one = |seed| {
        let mut rig = Rig::new(terms.clone(), seed);
        rig.begin(&listed);
        rig
    };
    Ok((0..count as u64).map(one).collect())
}

/// Runs all cores for `span` with `rate` RPCs per second spread evenly over them. Returns the sum of their
/// counters.
pub fn pass(cores: &mut [Rig], span: Duration, rate: f64, names: &[String]) -> Spent {
    let each = rate / cores.len() as f64;
    let mut all = Spent::default();
    for rig in cores {
        rig.spent = Spent::default();
        rig.run(span, each, |n| Ask { method: &names[n as usize % names.len()], tenant: None });
        all.rpcs += rig.spent.rpcs;
        all.ticks += rig.spent.ticks;
        all.tick_cpu += rig.spent.tick_cpu;
        all.rpc_cpu += rig.spent.rpc_cpu;
    }
    all
}

fn part(count: usize) -> Result<(), Error> {
    let names: Vec<String> = (0..METHODS).map(method).collect();
    let before = memory()?;
    let mut cores = cores(count)?;
    let fresh = memory()?;
    let (span, seconds) = (Duration::from_secs(10), 10.0);
    let rest = pass(&mut cores, span, 1e-9, &names);
    let rested = memory()?;
    let used = pass(&mut cores, span, EACH, &names);
    let after = memory()?;
    let each = |memory: super::part::Memory| (memory.now - before.now) / count as f64 / 1000.0;
    println!(
        "{}",
        json!({
            "fresh": each(fresh), "rested": each(rested), "used": each(after),
            "mib": (after.now - before.now) / 1048576.0,
            "ticks_s": rest.ticks as f64 / seconds / count as f64,
            "rest": 100.0 * rest.tick_cpu / seconds, "use": 100.0 * used.tick_cpu / seconds,
            "rpc_us": used.rpc_cpu * 1e6 / used.rpcs.max(1) as f64, "rpcs": used.rpcs,
        })
    );
    Ok(())
}

/// Measures the cores for each number of services.
///
/// # Errors
/// If a child process fails.
pub fn run(plan: &Plan) -> Result<Vec<Table>, Error> {
    let sizes = plan.sizes_or(&[50, 500, SERVICES]);
    if plan.part {
        part(sizes[0].max(1))?;
        return Ok(vec![]);
    }
    let head = [
        "services",
        "kB each, listed",
        "kB each, in use",
        "MiB of all",
        "ticks/s each at rest",
        "ticks of all at rest, % of a core",
        "in use, % of a core",
        "RPC us",
    ];
    let title = format!(
        "One core a service in one process, {NODES} nodes and {METHODS} methods each, {EACH:.0} RPCs a second over all"
    );
    let mut table = Table::new(title, &head);
    for size in sizes {
        let runs = runs("services", size, plan.runs())?;
        table.row([
            whole(size as f64),
            runs.spread("fresh"),
            runs.spread("used"),
            runs.spread("mib"),
            short(runs.middle("ticks_s")),
            runs.spread("rest"),
            runs.spread("use"),
            runs.spread("rpc_us"),
        ]);
    }
    table.note("10 s of virtual time at rest, then 10 s in use. Each core has terms of its own; no peers, no sockets.");
    Ok(vec![table])
}
