//! Slow-start budgets (rule 4) and exposure caps (rule 5) of one service, divided over more and more marshals
//! at the same traffic: what all modules together let through, compared with the bound.

use std::time::Duration;

use ivydrift_policy::port::*;

use super::policy_fleet::{capacity_share, max_within, stage_event, PolicyFleet, Setup, SLOW_START};
use super::table::{short, spread, whole};
use super::{Error, Plan, Table, MARSHAL_COUNT, SERVICE_COUNT, TOTAL_RATE};

const NODES: usize = 16;
/// RPCs per second of one service.
pub const SERVICE_RATE: f64 = TOTAL_RATE / SERVICE_COUNT as f64;
const SECOND: Duration = Duration::from_secs(1);

/// Defaults of rule 5: cap of the first stage, free RPCs, window in seconds.
const EXPOSURE_CAP: [f64; 3] = [0.14, 2.0, 3.0];

/// A simulation of `modules` marshals with the default votes: one half to promote, one third to roll back.
pub fn setup(modules: usize, rate: f64, seed: u64) -> Setup {
    let votes = [modules.div_ceil(2), modules.div_ceil(3)];
    Setup { modules, marshals: modules, nodes: NODES, methods: 5, rate, peers: false, votes, seed }
}

/// Traffic that cold nodes received.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cold {
    /// Worst window of the worst cold node: RPCs sent as a share of the bound, with one RPC over it allowed.
    pub worst_window: f64,
    /// Mean RPCs per second sent to a cold node.
    pub mean: f64,
    /// Share of all RPCs pushed back while nodes were cold.
    pub pushed_back: f64,
}

/// Restarts `cold` of the nodes at once; from then on RPCs arrive `times` as fast.
///
/// # Errors
/// If the config is invalid.
pub fn restart_cold_nodes(modules: usize, cold: usize, times: f64, seed: u64) -> Result<Cold, Error> {
    let mut fleet = PolicyFleet::new(setup(modules, SERVICE_RATE, seed))?;
    // Warm nodes are at half of their capacity.
    let capacity = 2.0 * SERVICE_RATE / NODES as f64;
    fleet.capacity = Some(capacity);
    fleet.run(30 * SECOND);
    fleet.observed = Default::default();
    fleet.rate *= times;
    let from = fleet.now;
    fleet.restart(0..cold, 1);
    fleet.run(6 * SECOND);
    let [.., multiple, window] = SLOW_START;
    let span = Duration::from_secs_f64(window);
    let mut worst_window: f64 = 0.0;
    for node in 0..cold {
        let sent: Vec<Duration> =
            fleet.observed.picks.iter().filter(|p| p.2 == node).map(|p| p.0 - from).collect();
        for (i, at) in sent.iter().enumerate() {
            let used = sent[..=i].iter().rev().take_while(|t| **t + span > *at).count() as f64;
            let at = at.as_secs_f64();
            let mean = (capacity_share((at - window).max(0.0)) + capacity_share(at)) / 2.0;
            worst_window = worst_window.max((used - 1.0) / (multiple * mean * capacity * window));
        }
    }
    let sent = fleet.observed.picks.iter().filter(|p| p.2 < cold).count();
    let (rpcs, back) = (fleet.observed.rpcs.len().max(1), fleet.observed.pushed_back.len());
    Ok(Cold { worst_window, mean: sent as f64 / 6.0 / cold as f64, pushed_back: back as f64 / rpcs as f64 })
}

/// Traffic of a build on trial in its first stage.
#[derive(Clone, Copy, Debug, Default)]
pub struct Exposure {
    /// Most RPCs in any window; the sum of each marshal's own budget; the budget of all marshals as one.
    pub max_in_window: f64,
    pub bound_each: f64,
    pub bound_pooled: f64,
    /// Share of all RPCs.
    pub share: f64,
    /// Largest excess of a window over the sum of the marshals' budgets for the RPCs of that same window.
    pub excess: f64,
}

/// Runs `trial` of the nodes on a build on trial that is as good as the other.
///
/// # Errors
/// If the config is invalid.
pub fn expose_trial(modules: usize, trial: usize, seed: u64) -> Result<Exposure, Error> {
    let mut fleet = PolicyFleet::new(setup(modules, SERVICE_RATE, seed))?;
    fleet.run(10 * SECOND);
    fleet.deliver_to_all(&stage_event(2, 0, RolloutState::OnTrial, EXPOSURE_CAP[0], Duration::ZERO));
    fleet.restart(0..trial, 2);
    fleet.observed = Default::default();
    fleet.run(30 * SECOND);
    let (span, seen) = (Duration::from_secs_f64(EXPOSURE_CAP[2]), &fleet.observed);
    let sent: Vec<Duration> = seen.picks.iter().filter(|p| p.3 == 2).map(|p| p.0).collect();
    let taken = seen.rpcs.len() as f64 / 30.0 * EXPOSURE_CAP[2];
    let within = |times: &[Duration], at: Duration| {
        times.partition_point(|t| *t <= at) - times.partition_point(|t| *t + span <= at)
    };
    let full_windows = sent.iter().filter(|at| seen.rpcs.first().is_some_and(|first| **at >= *first + span));
    let over = full_windows.map(|at| {
        let allowed = modules as f64 * EXPOSURE_CAP[1] + EXPOSURE_CAP[0] * within(&seen.rpcs, *at) as f64;
        within(&sent, *at) as f64 - allowed
    });
    Ok(Exposure {
        excess: over.fold(f64::MIN, f64::max),
        max_in_window: max_within(&sent, span) as f64,
        bound_each: modules as f64 * EXPOSURE_CAP[1] + EXPOSURE_CAP[0] * taken,
        bound_pooled: EXPOSURE_CAP[1] + EXPOSURE_CAP[0] * taken,
        share: sent.len() as f64 / seen.rpcs.len().max(1) as f64,
    })
}

/// Measures rule 4 and rule 5 for each number of marshals.
///
/// # Errors
/// If the config is invalid.
pub fn run(plan: &Plan) -> Result<Vec<Table>, Error> {
    let sizes = plan.sizes_or(&[10, 100, 308, 1_000, MARSHAL_COUNT]);
    let title = format!(
        "Rule 4: one service, {NODES} nodes, {SERVICE_RATE:.0} RPCs a second over all marshals; worst window of the worst cold node"
    );
    let head = [
        "marshals",
        "1 cold: of the bound",
        "RPC/s to it",
        "pushed back",
        "all cold: of the bound",
        "RPC/s to each",
        "pushed back",
        "12 cold, 4 times the RPCs: of the bound",
        "RPC/s to each",
        "pushed back",
    ];
    let mut rule4 = Table::new(title, &head);
    let title = "Rule 5: the same service, nodes with a build on trial in its first stage, cap 0.14, 2 free, window 3 s";
    let head = [
        "marshals",
        "bound, each by itself",
        "bound, all as one",
        "2 of 16 on trial: most in a window",
        "part of RPCs",
        "8 of 16: most in a window",
        "part of RPCs",
    ];
    let mut rule5 = Table::new(title, &head);
    for size in sizes {
        let mut cells = vec![whole(size as f64)];
        for (cold_nodes, times) in [(1, 1.0), (NODES, 1.0), (12, 4.0)] {
            let runs: Vec<Cold> = (0..plan.runs() as u64)
                .map(|seed| restart_cold_nodes(size, cold_nodes, times, seed + 1))
                .collect::<Result<_, _>>()?;
            let values = |value: fn(&Cold) -> f64| spread(&runs.iter().map(value).collect::<Vec<_>>());
            cells.extend([values(|c| c.worst_window), values(|c| c.mean), values(|c| c.pushed_back)]);
        }
        rule4.row(cells);
        let mut cells = vec![whole(size as f64)];
        for trial in [2, NODES / 2] {
            let runs: Vec<Exposure> = (0..plan.runs() as u64)
                .map(|seed| expose_trial(size, trial, seed + 1))
                .collect::<Result<_, _>>()?;
            let values = |value: fn(&Exposure) -> f64| runs.iter().map(value).collect::<Vec<_>>();
            if cells.len() == 1 {
                cells.extend([short(values(|e| e.bound_each)[0]), short(values(|e| e.bound_pooled)[0])]);
            }
            cells.extend([spread(&values(|e| e.max_in_window)), spread(&values(|e| e.share))]);
        }
        rule5.row(cells);
    }
    rule4.note("The bound: 3 x present capacity x 1 s, and one RPC over it; capacity: twice what comes, so 4 times the RPCs are twice what warm nodes can do. Nodes work one RPC after the other; picks time out. All of these modules run.");
    rule5.note("Each by itself: the sum of 2 + 0.14 x its own RPCs over all marshals, what the checker holds each to. As one: 2 + 0.14 x all RPCs. Both by the mean of RPCs: a window may have more.");
    Ok(vec![rule4, rule5])
}
