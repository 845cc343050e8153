//! Compares coordinated failover with uncoordinated fleets over the loss and return of one zone, with paired
//! seeds, in virtual time:
//! `cargo run --release -p ivydrift-failover --example outage -- plots-folder`.
//! Traffic is modelled as a flow; overloaded nodes still serve their capacity, which flatters fleets that
//! overload them.

#[path = "../tests/sim/mod.rs"]
mod sim;

use std::error::Error;
use std::path::{Path, PathBuf};

use plotters::prelude::*;
use sim::{secs, Arm, Simulation, COST};

const SEEDS: u64 = 20;
const LOSS_AT: u64 = 10;
const BACK_AT: u64 = 40;
const ENDS: u64 = 90;

/// Measurements of one run.
#[derive(Default)]
struct Run {
    /// Served traffic from the loss to the end, as a fraction of what an ideal splitter with full knowledge
    /// would serve.
    part: f64,
    /// The worst zone's load relative to what it can bear, and for how many seconds any zone's was over 1.
    worst: f64,
    overloaded_for: f64,
    /// Seconds from the loss until nine tenths of the settled rate are served, and from the return until 0.95
    /// of the demand is local again.
    recovered: f64,
    near: f64,
    /// Number of times that traffic was moved out of a zone.
    moves: f64,
    /// Bytes sent per second and marshal.
    bytes: f64,
    /// Maximum difference between the lost zone's marshals in the fraction that leaves, from 2 s after the
    /// loss on.
    max_difference: f64,
    /// Time, worst load of the other zones, fraction of the lost zone's demand that stays local.
    trace: Vec<(f64, f64, f64)>,
}

fn run(arm: Arm, marshals: usize, loads: &[f32], seed: u64) -> Run {
    let mut sim = Simulation::new(loads, marshals, seed);
    sim.arm = arm;
    sim.loss = 0.05;
    let start = sim.now;
    let mut run = Run { recovered: f64::NAN, near: f64::NAN, ..Run::default() };
    let mut rates = Vec::new();
    let (mut before, mut last) = ((0.0, 0.0), (0.0, 0.0));
    for (until, then) in [(LOSS_AT, Some(0.0)), (BACK_AT, Some(1.0)), (ENDS, None)] {
        while sim.now < start + secs(until) {
            sim.step();
            let at = (sim.now - start).as_secs_f64();
            let load = |z: usize| f64::from(sim.zones[z].load * COST / sim.capacity(z).max(1e-6));
            let worst = (1..loads.len()).map(load).fold(0.0, f64::max);
            let demand = f64::from(loads[0] * sim.zones[0].power / COST);
            let near = f64::from(sim.zones[0].own) / demand;
            run.trace.push((at, worst, near));
            let back = if until == ENDS { load(0) } else { 0.0 };
            if until > LOSS_AT {
                run.worst = run.worst.max(worst.max(back));
                run.overloaded_for += if worst.max(back) > 1.0 { sim::STEP.as_secs_f64() } else { 0.0 };
                let served = sim.served - last.0;
                rates.push((at, served));
                if run.near.is_nan() && until == ENDS && near > 0.95 {
                    run.near = at - BACK_AT as f64;
                }
                if at > LOSS_AT as f64 + 2.0 && arm == Arm::Coordinated {
                    let parts = sim.parts(0);
                    let most = parts.iter().copied().fold(0.0, f32::max);
                    let least = parts.iter().copied().fold(1.0, f32::min);
                    run.max_difference = run.max_difference.max(f64::from(most - least));
                }
            }
            last = (sim.served, sim.ideal);
        }
        if until == LOSS_AT {
            before = last;
        }
        if let Some(up) = then {
            sim.set_up(0, up);
        }
    }
    let out =
        |from: u64, to: u64| rates.iter().filter(move |r| r.0 > from as f64 && r.0 <= to as f64).map(|r| r.1);
    let settled = out(BACK_AT - 5, BACK_AT).sum::<f64>() / out(BACK_AT - 5, BACK_AT).count() as f64;
    let first = rates.iter().find(|r| r.1 > 0.9 * settled).map_or(f64::NAN, |r| r.0);
    run.recovered = first - LOSS_AT as f64;
    run.part = (last.0 - before.0) / (last.1 - before.1);
    run.bytes = sim.sent_bytes as f64 / marshals as f64 / ENDS as f64;
    run.moves = sim.log.iter().filter(|l| l.2.contains("near to out")).count() as f64;
    run
}

fn mean(runs: &[Run], of: impl Fn(&Run) -> f64) -> f64 {
    runs.iter().map(of).sum::<f64>() / runs.len() as f64
}

fn table(marshals: usize, loads: &[f32]) -> Vec<(Arm, Vec<Run>)> {
    println!("{marshals} marshals, zones loaded to {loads:?} of their capacity, zone 0 lost for 30 s, means over {SEEDS} seeds");
    println!("fleet    served  worst-load  s-over-1  s-to-0.9  s-to-near  moves  apart  bytes/s");
    let arms = [Arm::Coordinated, Arm::Uncoordinated, Arm::Static].map(|arm| {
        let runs: Vec<Run> = (0..SEEDS).map(|seed| run(arm, marshals, loads, seed)).collect();
        println!(
            "{:7}  {:6.3}  {:10.2}  {:8.2}  {:8.2}  {:9.1}  {:5.1}  {:5.2}  {:7.0}",
            format!("{arm:?}"),
            mean(&runs, |r| r.part),
            mean(&runs, |r| r.worst),
            mean(&runs, |r| r.overloaded_for),
            mean(&runs, |r| r.recovered),
            mean(&runs, |r| r.near),
            mean(&runs, |r| r.moves),
            mean(&runs, |r| r.max_difference),
            mean(&runs, |r| r.bytes),
        );
        (arm, runs)
    });
    println!();
    arms.into()
}

fn draw(
    file: &Path, title: &str, most: f64, arms: &[(Arm, Vec<Run>)], of: fn(&(f64, f64, f64)) -> f64,
) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(file, (840, 380)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..ENDS as f64, 0.0..most)?;
    chart.configure_mesh().x_desc("seconds; loss at 10, return at 40").draw()?;
    for ((arm, runs), color) in arms.iter().zip([&BLUE, &RED, &GREEN]) {
        let name = match arm {
            Arm::Coordinated => "coordinated",
            Arm::Uncoordinated => "uncoordinated",
            Arm::Static => "static weights",
        };
        let line = runs[0].trace.iter().map(|t| (t.0, of(t)));
        chart
            .draw_series(LineSeries::new(line, color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    table(30, &[0.5, 0.5, 0.5]);
    let shown = table(30, &[0.7, 0.7, 0.7]);
    table(300, &[0.7, 0.7, 0.7]);
    table(30, &[0.6, 0.8, 0.8]);
    if let Some(folder) = std::env::args().nth(1).map(PathBuf::from) {
        let load = "load of the busiest other zone, relative to what it can bear";
        draw(&folder.join("failover-load.svg"), load, 1.6, &shown, |t| t.1)?;
        let near = "fraction of the lost zone's demand that is sent to it";
        draw(&folder.join("failover-near.svg"), near, 1.05, &shown, |t| t.2)?;
    }
    Ok(())
}
