//! Distributes a large state along the tree, by the number of marshals: time until all have 16 KiB, and the
//! traffic of each marshal.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

use super::subprocess::cpu;
use super::table::{spread, whole};
use super::{Error, Plan, Table};
use simulation::Simulation;

pub mod simulation;

const SIZES: [usize; 3] = [300, 1000, 3700];
/// Size of the state in bytes, as large as a start file.
pub const MAX_STATE_BYTES: usize = 16_384;
/// Shares of the datagrams that are lost.
const LOSSES: [f64; 2] = [0.0, 0.05];
const TIME_LIMIT: Duration = Duration::from_secs(120);

/// A random state of [`MAX_STATE_BYTES`] bytes.
pub fn random_state(seed: u64) -> Vec<u8> {
    let mut rng = StdRng::seed_from_u64(seed);
    (0..MAX_STATE_BYTES).map(|_| rng.random()).collect()
}

fn run_once(count: u16, loss: f64, seed: u64) -> serde_json::Value {
    let mut simulation = Simulation::new(count, loss, seed);
    let from = cpu();
    simulation.offer(1, &random_state(seed));
    let total = usize::from(count);
    let half = simulation.run_until(1, total / 2, TIME_LIMIT).unwrap_or(f64::NAN);
    let took = simulation.run_until(1, total, TIME_LIMIT).unwrap_or(f64::NAN);
    let cpu = (cpu() - from).as_secs_f64() * 1000.0 / f64::from(count) / simulation.now.as_secs_f64();
    let max_of = |of: fn(&simulation::Sent) -> u64| simulation.sent.iter().map(of).max().unwrap_or(0);
    let bytes = simulation.sent.iter().map(|s| s.bytes).sum::<u64>() as f64 / f64::from(count);
    json!({ "half": half, "all": took, "second": max_of(|s| s.max_per_second), "pieces": max_of(|s| s.pieces),
            "bytes": bytes, "most": max_of(|s| s.bytes), "cpu_ms": cpu })
}

/// Measures the distribution for each number of marshals.
///
/// # Errors
/// If a size exceeds the largest marshal number.
pub fn run(plan: &Plan) -> Result<Vec<Table>, Error> {
    let head = [
        "marshals",
        "half have it, s",
        "all, s",
        "most pieces of one in a second",
        "most pieces of one",
        "bytes sent a marshal",
        "most bytes of one",
        "CPU ms/s a marshal",
    ];
    let mut tables = vec![];
    for loss in LOSSES {
        let mut table =
            Table::new(format!("16 KiB from one to all along the tree, {} of datagrams lost", loss), &head);
        for size in plan.sizes_or(&SIZES) {
            let count = u16::try_from(size).map_err(|_| "--sizes: at most 65,535 marshals are supported")?;
            // CPU time needs only one run of the largest sizes.
            let runs = if size > 1000 { 1 } else { plan.runs() };
            let results: Vec<_> = (1..=runs as u64).map(|seed| run_once(count, loss, seed)).collect();
            let cell = |name: &str| {
                spread(&results.iter().map(|v| v[name].as_f64().unwrap_or(f64::NAN)).collect::<Vec<_>>())
            };
            let names = ["half", "all", "second", "pieces", "bytes", "most", "cpu_ms"];
            table.row(std::iter::once(whole(size as f64)).chain(names.map(cell)));
        }
        table.note("All heard of it at once, links of 1 to 40 ms, beats of 50 ms. CPU with the simulator's own, while it lasts.");
        tables.push(table);
    }
    Ok(tables)
}
