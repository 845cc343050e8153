//! Tests hollow marshals at small sizes: control traffic stays below its budget and doesn't grow between 30
//! and 120 marshals, the result is the same with one thread and with several, and the shell rejects an
//! overlong node list.

use std::time::Duration;

use ivydrift_measure::scale::hollow::marshal::Counts;
use ivydrift_measure::scale::hollow::script::Script;
use ivydrift_measure::scale::hollow::simulation::Simulation;
use ivydrift_measure::scale::hollow::{control_bytes, CONTROL_BUDGET, SERVICE_NODES};

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn starts(count: usize) -> Vec<Duration> {
    (0..count as u64).map(|n| Duration::from_millis(13 * n)).collect()
}

/// A fleet with RPCs from 15 s and a build on trial from 20 s.
fn simulation(count: usize, threads: usize) -> Simulation {
    let mut script = Script::new(count, SERVICE_NODES);
    (script.rate, script.rpcs_start, script.trial_start) = (5.0, secs(15), secs(20));
    Simulation::new(script, &starts(count), threads)
}

/// Counters of all marshals within `span`, summed.
fn usage(simulation: &mut Simulation, span: Duration) -> Counts {
    let before = simulation.counts();
    simulation.run(span).unwrap();
    simulation.counts().since(&before)
}

#[test]
fn control_traffic_stays_within_budget_and_does_not_grow_with_the_fleet() {
    let each = |count: usize| {
        let mut simulation = simulation(count, 1);
        simulation.run(secs(15)).unwrap();
        let pairs = simulation.pairs() as f64 / (count * (count - 1)) as f64;
        assert!(pairs > 0.99, "{count} marshals: {pairs} of all pairs see each other");
        assert!(simulation.min_ready() >= SERVICE_NODES - 1);
        let quiet = control_bytes(&usage(&mut simulation, secs(5))) as f64 / 5.0 / count as f64;
        let counts = usage(&mut simulation, secs(5));
        assert!(counts.ok > 0 && counts.votes.count > 0, "{counts:?}");
        [quiet, control_bytes(&counts) as f64 / 5.0 / count as f64]
    };
    let (few, many) = (each(30), each(120));
    for (what, i) in [("idle", 0), ("on trial", 1)] {
        assert!(many[i] < CONTROL_BUDGET.2, "{what}: {:.0} bytes a second", many[i]);
        assert!(many[i] < 1.25 * few[i], "{what}: {:.0} with 30 marshals, {:.0} with 120", few[i], many[i]);
    }
}

#[test]
fn result_does_not_depend_on_the_number_of_threads() {
    let numbers = |threads: usize| {
        let mut simulation = simulation(12, threads);
        simulation.records_changes = true;
        simulation.run(secs(12)).unwrap();
        simulation.kill(5);
        simulation.run(secs(13)).unwrap();
        let counts = simulation.counts();
        let done = [
            counts.sent,
            counts.received,
            counts.list,
            counts.controller,
            counts.votes,
            counts.ticks,
            counts.rpcs,
        ];
        (done.map(|d| (d.count, d.bytes)), counts.ok, simulation.state_changes())
    };
    let one = numbers(1);
    assert!(one.1 > 0 && one.2.iter().filter(|s| !s.3 && s.2 == 5).count() == 11);
    assert_eq!(one, numbers(3));
}

#[test]
fn overlong_node_list_is_rejected_and_no_rpc_is_served() {
    let mut script = Script::new(2, 20_001);
    script.rate = 5.0;
    let mut simulation = Simulation::new(script, &starts(2), 1);
    simulation.run(secs(6)).unwrap();
    let counts = simulation.counts();
    assert!(counts.refused > 0 && counts.rpcs.count > 0);
    assert_eq!((counts.ok, simulation.min_ready()), (0, 0));
}
