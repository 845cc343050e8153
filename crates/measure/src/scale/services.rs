//! Runs one core per service, many in one process, as far as the present core can represent that: memory of
//! each, and CPU time of its ticks when idle and in use.

use std::time::Duration;

use serde_json::json;

use super::core_harness::{config, method_name, node_list, CoreHarness, RpcSpec, Usage};
use super::nodes::RATE_PER_MARSHAL;
use super::subprocess::{memory, runs};
use super::table::{short, whole};
use super::{Error, Plan, Table, SERVICE_COUNT};

const METHODS: usize = 5;
/// 44,000 nodes divided over 2,700 services.
const NODES: usize = 16;

/// Creates `count` cores, each with its node list and the rollout controller's state.
///
/// # Errors
/// If the config is invalid.
pub fn cores(count: usize) -> Result<Vec<CoreHarness>, Error> {
    let (config, listed) = (config(METHODS, 0)?, node_list(NODES));
    let new_core = |seed| {
        let mut harness = CoreHarness::new(config.clone(), seed);
        harness.initialize(&listed);
        harness
    };
    Ok((0..count as u64).map(new_core).collect())
}

/// Runs all cores for `span` with `rate` RPCs per second spread evenly over them. Returns the sum of their
/// counters.
pub fn run_all(cores: &mut [CoreHarness], span: Duration, rate: f64, names: &[String]) -> Usage {
    let each = rate / cores.len() as f64;
    let mut total = Usage::default();
    for harness in cores {
        harness.usage = Usage::default();
        harness.run(span, each, |n| RpcSpec { method: &names[n as usize % names.len()], tenant: None });
        total.rpcs += harness.usage.rpcs;
        total.ticks += harness.usage.ticks;
        total.tick_cpu += harness.usage.tick_cpu;
        total.rpc_cpu += harness.usage.rpc_cpu;
    }
    total
}

fn run_child(count: usize) -> Result<(), Error> {
    let names: Vec<String> = (0..METHODS).map(method_name).collect();
    let before = memory()?;
    let mut cores = cores(count)?;
    let fresh = memory()?;
    let (span, seconds) = (Duration::from_secs(10), 10.0);
    let idle = run_all(&mut cores, span, 1e-9, &names);
    let rested = memory()?;
    let used = run_all(&mut cores, span, RATE_PER_MARSHAL, &names);
    let after = memory()?;
    let each = |memory: super::subprocess::Memory| (memory.now - before.now) / count as f64 / 1000.0;
    println!(
        "{}",
        json!({
            "fresh": each(fresh), "rested": each(rested), "used": each(after),
            "mib": (after.now - before.now) / 1048576.0,
            "ticks_s": idle.ticks as f64 / seconds / count as f64,
            "rest": 100.0 * idle.tick_cpu / seconds, "use": 100.0 * used.tick_cpu / seconds,
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
    let sizes = plan.sizes_or(&[50, 500, SERVICE_COUNT]);
    if plan.child {
        run_child(sizes[0].max(1))?;
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
        "One core a service in one process, {NODES} nodes and {METHODS} methods each, {RATE_PER_MARSHAL:.0} RPCs a second over all"
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
