//! Cost of one core by the number of known nodes: CPU time of an RPC, of the ticks and of a node list update,
//! and memory.

use std::time::Duration;

use ivydrift_marshal::Input;
use ivydrift_wire::list;
use serde_json::json;

use super::core::{method, nodes, terms, Ask, Rig, Spent};
use super::part::{cpu, memory, runs};
use super::table::{short, whole};
use super::{Error, Plan, Table, MARSHALS, RATE};

const METHODS: usize = 5;
/// RPCs per second of one marshal.
pub const EACH: f64 = RATE / MARSHALS as f64;
const CHANGES: usize = 20;

/// A core that knows `known` nodes and has run for `span`.
///
/// # Errors
/// If the config is invalid.
pub fn rig(known: usize, span: Duration) -> Result<Rig, Error> {
    let names: Vec<String> = (0..METHODS).map(method).collect();
    let mut rig = Rig::new(terms(METHODS, 0)?, 1);
    rig.begin(&nodes(known));
    // The first second is a warm-up in which the module learns the usual load.
    rig.run(Duration::from_secs(1), EACH, |n| ask(&names, n));
    rig.spent = Spent::default();
    rig.run(span, EACH, |n| ask(&names, n));
    Ok(rig)
}

fn ask(names: &[String], n: u64) -> Ask<'_> {
    Ask { method: &names[n as usize % names.len()], tenant: None }
}

/// Applies one node list update, the restart of one node. Returns the CPU time in seconds and the number of
/// commands.
pub fn change(rig: &mut Rig, listed: &mut [list::Listed], at: usize) -> (f64, usize) {
    rig.now += Duration::from_millis(100);
    let one = at * 7 % listed.len();
    listed[one].started_ms = listed[one].started_ms.map(|ms| ms + 1000);
    rig.tell(Input::Membership(listed))
}

fn part(known: usize) -> Result<(), Error> {
    let span = Duration::from_secs(20);
    let before = memory()?;
    let mut rig = rig(known, span)?;
    let held = memory()?;
    let mut listed = nodes(known);
    let mut changes: Vec<f64> = (0..CHANGES).map(|n| change(&mut rig, &mut listed, n).0).collect();
    changes.sort_by(f64::total_cmp);
    let bytes = list::write(&listed);
    let from = cpu();
    let read = list::read(&bytes);
    let read_s = (cpu() - from).as_secs_f64();
    let (spent, seconds) = (rig.spent, span.as_secs_f64());
    println!(
        "{}",
        json!({
            "rpc_us": rig.per_rpc_us(), "ticks": 100.0 * spent.tick_cpu / seconds,
            "ticks_s": spent.ticks as f64 / seconds, "change_ms": changes[CHANGES / 2] * 1000.0,
            "mib": (held.now - before.now) / 1048576.0, "process_mib": held.now / 1048576.0,
            "list_bytes": bytes.len(), "read_ms": read_s * 1000.0, "refused": read.err().unwrap_or_default(),
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
    if plan.part {
        part(sizes[0])?;
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
    let title =
        format!("One core with its module, {EACH:.0} RPCs a second, {METHODS} methods, by nodes known");
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
