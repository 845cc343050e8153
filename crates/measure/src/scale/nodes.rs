//! Cost of one core by the number of known nodes: CPU time of an RPC, of the ticks and of a node list update,
//! and memory.

use std::time::Duration;

use ivydrift_marshal::Input;
use ivydrift_wire::list;
use serde_json::json;

use super::core_harness::{config, method_name, node_list, CoreHarness, RpcSpec, Usage};
use super::subprocess::{cpu, memory, runs};
use super::table::{short, whole};
use super::{Error, Plan, Table, MARSHAL_COUNT, TOTAL_RATE};

const METHODS: usize = 5;
/// RPCs per second of one marshal.
pub const RATE_PER_MARSHAL: f64 = TOTAL_RATE / MARSHAL_COUNT as f64;
const CHANGES: usize = 20;

/// A core that knows `known` nodes and has run for `span`.
///
/// # Errors
/// If the config is invalid.
pub fn harness(known: usize, span: Duration) -> Result<CoreHarness, Error> {
    let names: Vec<String> = (0..METHODS).map(method_name).collect();
    let mut harness = CoreHarness::new(config(METHODS, 0)?, 1);
    harness.initialize(&node_list(known));
    // The first second is a warm-up in which the module learns the usual load.
    harness.run(Duration::from_secs(1), RATE_PER_MARSHAL, |n| next_rpc(&names, n));
    harness.usage = Usage::default();
    harness.run(span, RATE_PER_MARSHAL, |n| next_rpc(&names, n));
    Ok(harness)
}

fn next_rpc(names: &[String], n: u64) -> RpcSpec<'_> {
    RpcSpec { method: &names[n as usize % names.len()], tenant: None }
}

/// Applies one node list update, the restart of one node. Returns the CPU time in seconds and the number of
/// commands.
pub fn apply_update(harness: &mut CoreHarness, listed: &mut [list::ListedNode], at: usize) -> (f64, usize) {
    harness.now += Duration::from_millis(100);
    let index = at * 7 % listed.len();
    listed[index].started_ms = listed[index].started_ms.map(|ms| ms + 1000);
    harness.handle(Input::NodeList(listed))
}

fn run_child(known: usize) -> Result<(), Error> {
    let span = Duration::from_secs(20);
    let before = memory()?;
    let mut harness = harness(known, span)?;
    let after = memory()?;
    let mut listed = node_list(known);
    let mut update_s: Vec<f64> = (0..CHANGES).map(|n| apply_update(&mut harness, &mut listed, n).0).collect();
    update_s.sort_by(f64::total_cmp);
    let bytes = list::write(&listed);
    let from = cpu();
    let parsed = list::read(&bytes);
    let read_s = (cpu() - from).as_secs_f64();
    let (usage, seconds) = (harness.usage, span.as_secs_f64());
    println!(
        "{}",
        json!({
            "rpc_us": harness.per_rpc_us(), "ticks": 100.0 * usage.tick_cpu / seconds,
            "ticks_s": usage.ticks as f64 / seconds, "change_ms": update_s[CHANGES / 2] * 1000.0,
            "mib": (after.now - before.now) / 1048576.0, "process_mib": after.now / 1048576.0,
            "list_bytes": bytes.len(), "read_ms": read_s * 1000.0, "refused": parsed.err().unwrap_or_default(),
        })
    );
    Ok(())
}

/// Measures one core for each number of nodes.
///
/// # Errors
/// If a child process fails.
pub fn run(plan: &Plan) -> Result<Vec<Table>, Error> {
    let sizes = plan.sizes_or(&[300, 3_000, 44_000]);
    if plan.child {
        run_child(sizes[0])?;
        return Ok(vec![]);
    }
    let head = [
        "nodes",
        "RPC us",
        "ticks % of a core",
        "ticks/s",
        "change of the list ms",
        "MiB held",
        "list bytes",
        "read ms",
    ];
    let title = format!(
        "One core with its module, {RATE_PER_MARSHAL:.0} RPCs a second, {METHODS} methods, by nodes known"
    );
    let mut table = Table::new(title, &head);
    for size in sizes {
        let runs = runs("nodes", size, plan.runs())?;
        table.row([
            whole(size as f64),
            runs.spread("rpc_us"),
            runs.spread("ticks"),
            short(runs.middle("ticks_s")),
            runs.spread("change_ms"),
            runs.spread("mib"),
            whole(runs.middle("list_bytes")),
            runs.spread("read_ms"),
        ]);
        let refused = runs.text("refused");
        if !refused.is_empty() {
            table.note(format!("{size} nodes: the wire refuses the list: {refused}"));
        }
    }
    table.note("Processor time by the process's clock; 20 s of virtual time after 1 s; build 1 is out, none on trial.");
    table.note(
        "A change of the list: one node has started again, in the core alone; reading the list is beside it.",
    );
    Ok(vec![table])
}
