//! Config with many tenants: parse time, memory, and the cost of the tenant lookup in an RPC.

use std::time::Duration;

use serde_json::json;

use super::core_harness::{config_text, method_name, node_list, tenant_name, CoreHarness, RpcSpec, Usage};
use super::subprocess::{cpu, memory, runs};
use super::table::whole;
use super::{Error, Plan, Table};

const METHODS: usize = 5;
const NODES: usize = 16;

fn run_child(tenants: usize) -> Result<(), Error> {
    let text = config_text(METHODS, tenants);
    let before = memory()?;
    let from = cpu();
    let config = ivydrift_terms::parse("scale.hcl", &text).map_err(|e| e.to_string())?;
    let read_s = (cpu() - from).as_secs_f64();
    let bytes = text.len();
    drop(text);
    let after = memory()?;
    let (first, last, unknown) = (tenant_name(0), tenant_name(tenants - 1), "nobody-told-of".to_owned());
    let name = method_name(0);
    let mut harness = CoreHarness::new(config, 1);
    harness.initialize(&node_list(NODES));
    let held = memory()?;
    let mut rpc_cost_us = |who: Option<&str>| {
        harness.run(Duration::from_millis(200), 500.0, |_| RpcSpec { method: &name, tenant: who });
        harness.usage = Usage::default();
        harness.run(Duration::from_secs(2), 500.0, |_| RpcSpec { method: &name, tenant: who });
        harness.per_rpc_us()
    };
    let (none, first) = (rpc_cost_us(None), rpc_cost_us(Some(&first)));
    let (last, invented) = (rpc_cost_us(Some(&last)), rpc_cost_us(Some(&unknown)));
    let mib = |bytes: f64| bytes / 1048576.0;
    println!(
        "{}",
        json!({
            "bytes": bytes, "read_s": read_s, "peak_mib": mib(after.peak), "kept_mib": mib(after.now),
            "kept": after.now - before.now, "core_mib": mib(held.now), "none": none, "first": first,
            "last": last, "invented": invented,
        })
    );
    Ok(())
}

/// Measures the config for each number of tenants.
///
/// # Errors
/// If a child process fails.
pub fn run(plan: &Plan) -> Result<Vec<Table>, Error> {
    let sizes = plan.sizes_or(&[1_500, 15_000, 150_000]);
    if plan.child {
        run_child(sizes[0].max(1))?;
        return Ok(vec![]);
    }
    let head = [
        "tenants",
        "file bytes",
        "read s",
        "MiB peak",
        "MiB kept",
        "MiB with a core",
        "RPC us, no tenant",
        "the first",
        "the last",
        "an invented one",
    ];
    let mut table = Table::new("Reading terms, and an RPC's cost, by tenants in the terms", &head);
    for size in sizes {
        let runs = runs("tenants", size, plan.runs())?;
        table.row([
            whole(size as f64),
            whole(runs.middle("bytes")),
            runs.spread("read_s"),
            runs.spread("peak_mib"),
            runs.spread("kept_mib"),
            runs.spread("core_mib"),
            runs.spread("none"),
            runs.spread("first"),
            runs.spread("last"),
            runs.spread("invented"),
        ]);
    }
    table.note("MiB of the whole process: at its peak while reading, after reading with the text freed, and with a core of 16 nodes.");
    Ok(vec![table])
}
