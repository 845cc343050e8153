//! Config with many tenants: parse time, memory, and the cost of the tenant lookup in an RPC.

use std::time::Duration;

use serde_json::json;

use super::core::{method, nodes, tenant, text, Ask, Rig, Spent};
use super::part::{cpu, memory, runs};
use super::table::whole;
use super::{Error, Plan, Table};

const METHODS: usize = 5;
const NODES: usize = 16;

fn part(tenants: usize) -> Result<(), Error> {
    let text = text(METHODS, tenants);
    let before = memory()?;
    let from = cpu();
    let terms = ivydrift_terms::read("scale.hcl", &text).map_err(|e| e.to_string())?;
    let read = (cpu() - from).as_secs_f64();
    let bytes = text.len();
    drop(text);
    let after = memory()?;
    let (first, last, other) = (tenant(0), tenant(tenants - 1), "nobody-told-of".to_owned());
    let name = method(0);
    let mut rig = Rig::new(terms, 1);
    rig.begin(&nodes(NODES));
    let held = memory()?;
    let mut cost = |who: Option<&str>| {
        rig.run(Duration::from_millis(200), 500.0, |_| Ask { method: &name, tenant: who });
        rig.spent = Spent::default();
        rig.run(Duration::from_secs(2), 500.0, |_| Ask { method: &name, tenant: who });
        rig.per_rpc_us()
    };
    let (none, first) = (cost(None), cost(Some(&first)));
    let (last, invented) = (cost(Some(&last)), cost(Some(&other)));
    let mib = |bytes: f64| bytes / 1048576.0;
    println!(
        "{}",
        json!({
            "bytes": bytes, "read_s": read, "peak_mib": mib(after.peak), "kept_mib": mib(after.now),
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
    if plan.part {
        part(sizes[0].max(1))?;
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
