//! Cost of one core by the number of methods in its config: ticks, memory of used and unused methods, CPU
//! time of an RPC.

use std::time::Duration;

use serde_json::json;

use super::core_harness::{config, method_name, node_list, CoreHarness, RpcSpec, Usage};
use super::nodes::RATE_PER_MARSHAL;
use super::subprocess::{cpu, memory, runs, Runs};
use super::table::{short, spread, whole};
use super::{Error, Plan, Table};

const NODES: usize = 300;
/// Methods that RPCs use before all are used.
const USED: usize = 100;

/// Creates a core with `methods` methods and some known nodes. Returns it with the names of the methods.
///
/// # Errors
/// If the config is invalid.
pub fn harness(methods: usize) -> Result<(CoreHarness, Vec<String>), Error> {
    let mut harness = CoreHarness::new(config(methods, 0)?, 1);
    harness.initialize(&node_list(NODES));
    Ok((harness, (0..methods).map(method_name).collect()))
}

fn run_child(methods: usize) -> Result<(), Error> {
    let (seconds, from) = (10.0, cpu());
    let config = config(methods, 0)?;
    let (read_s, held) = ((cpu() - from).as_secs_f64(), memory()?);
    drop(config);
    let (mut harness, names) = harness(methods)?;
    let used = USED.min(methods);
    let next_rpc =
        |n: u64| RpcSpec { method: &names[n as usize * 7 % used * (names.len() / used)], tenant: None };
    harness.run(Duration::from_secs(1), RATE_PER_MARSHAL, next_rpc);
    harness.usage = Usage::default();
    harness.run(Duration::from_secs_f64(seconds), RATE_PER_MARSHAL, next_rpc);
    let (usage, rpc_us, unseen) = (harness.usage, harness.per_rpc_us(), memory()?);
    // Uses each method once, at a high rate, since the ticks in between cost the most.
    let rate = 2000.0;
    let span = Duration::from_secs_f64(methods as f64 / rate);
    harness.run(span, rate, |n| RpcSpec { method: &names[n as usize % names.len()], tenant: None });
    let seen = memory()?;
    println!(
        "{}",
        json!({
            "read_ms": read_s * 1000.0, "read_mib": held.now / 1048576.0,
            "ticks": 100.0 * usage.tick_cpu / seconds, "rpc_us": rpc_us,
            "unseen": unseen.now, "seen": seen.now,
        })
    );
    Ok(())
}

/// Measures one core for each number of methods.
///
/// # Errors
/// If a child process fails.
pub fn run(plan: &Plan) -> Result<Vec<Table>, Error> {
    let sizes = plan.sizes_or(&[100, 1_000, 14_000]);
    if plan.child {
        run_child(sizes[0])?;
        return Ok(vec![]);
    }
    let head = [
        "methods",
        "ticks % of a core",
        "RPC us",
        "MiB, 100 seen",
        "MiB, all seen",
        "kB a method unseen",
        "kB a method more once seen",
        "terms read ms",
    ];
    let title =
        format!("One core with its module, {NODES} nodes, {RATE_PER_MARSHAL:.0} RPCs a second, by methods in its terms");
    let mut table = Table::new(title, &head);
    let mut previous: Option<(usize, Runs)> = None;
    for size in sizes {
        let runs = runs("methods", size, plan.runs())?;
        let mib = |name| spread(&runs.get(name).iter().map(|b| b / 1048576.0).collect::<Vec<_>>());
        let more = previous.as_ref().map(|(n, b)| {
            let (more, methods) = (runs.middle("unseen") - b.middle("unseen"), (size - n) as f64);
            short(more / methods / 1000.0)
        });
        let seen = (runs.middle("seen") - runs.middle("unseen")) / size.saturating_sub(USED).max(1) as f64;
        table.row([
            whole(size as f64),
            runs.spread("ticks"),
            runs.spread("rpc_us"),
            mib("unseen"),
            mib("seen"),
            more.unwrap_or("-".into()),
            if size > USED { short(seen / 1000.0) } else { "-".into() },
            runs.spread("read_ms"),
        ]);
        previous = Some((size, runs));
    }
    table.note("10 s of virtual time after 1 s, of RPCs to 100 of the methods; then each method once. MiB are of the whole process.");
    table.note("A method unseen: against the row above. Build 1 is out, none on trial.");
    Ok(vec![table])
}
