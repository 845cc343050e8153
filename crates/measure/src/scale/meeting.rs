//! Which marshals serve which service, and the resulting connections per node: counts only, with the nodes
//! picked by the shipped modules.

use std::collections::hash_map::DefaultHasher;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use super::cold::{setup, SERVICE_RATE};
use super::nodes::RATE_PER_MARSHAL;
use super::policy_fleet::{PolicyFleet, Setup};
use super::table::{short, spread, whole};
use super::{Error, Plan, Table, MARSHAL_COUNT, NODES, SERVICE_COUNT, TOTAL_RATE, ZONES};

/// Marshals of each zone that serve one service; 0: all marshals serve it.
pub const MARSHALS_PER_ZONE: [usize; 5] = [0, 8, 4, 2, 1];
/// Default time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const SECOND: Duration = Duration::from_secs(1);

/// RPCs per second of each service: all equal, or those of the n-th largest service one n-th of the
/// largest's.
fn rates(alike: bool) -> Vec<f64> {
    let weight = |n: usize| if alike { 1.0 } else { 1.0 / (n + 1) as f64 };
    let all: f64 = (0..SERVICE_COUNT).map(weight).sum();
    (0..SERVICE_COUNT).map(|n| TOTAL_RATE * weight(n) / all).collect()
}

fn hash(what: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    what.hash(&mut hasher);
    hasher.finish()
}

/// The marshals of each service: in each zone those with the highest hash of service and marshal (rendezvous
/// hashing).
pub fn assign_marshals(each: usize) -> Vec<Vec<usize>> {
    let of = |service: usize| -> Vec<usize> {
        if each == 0 {
            return (0..MARSHAL_COUNT).collect();
        }
        let zone = |zone: usize| {
            let mut all: Vec<usize> = (zone..MARSHAL_COUNT).step_by(ZONES).collect();
            all.sort_by_cached_key(|marshal| std::cmp::Reverse(hash((service, *marshal))));
            all.truncate(each);
            all
        };
        (0..ZONES).flat_map(zone).collect()
    };
    (0..SERVICE_COUNT).map(of).collect()
}

/// Load of the marshals in one layout.
#[derive(Clone, Copy, Debug, Default)]
pub struct Layout {
    /// Mean marshals per service.
    pub marshals: f64,
    /// Services per marshal, mean and worst, and RPCs per second of the busiest marshal.
    pub services: f64,
    pub max_services: f64,
    pub max_rate: f64,
    /// Mean number of services of which a marshal has had an RPC within 30 s, and within 300 s.
    pub services_in_window: [f64; 2],
}

/// Computes the load with `each` marshals per zone and service; see [`MARSHALS_PER_ZONE`].
pub fn layout(each: usize, alike: bool) -> Layout {
    let (rates, homes) = (rates(alike), assign_marshals(each));
    let mut load = vec![(0usize, 0.0, [0.0; 2]); MARSHAL_COUNT];
    for (rate, homes) in rates.iter().zip(&homes) {
        let rate_each = rate / homes.len() as f64;
        for marshal in homes {
            let marshal_load = &mut load[*marshal];
            (marshal_load.0, marshal_load.1) = (marshal_load.0 + 1, marshal_load.1 + rate_each);
            for (held, span) in marshal_load.2.iter_mut().zip([30.0, 300.0]) {
                *held += 1.0 - (-rate_each * span).exp();
            }
        }
    }
    let mean = |value: fn(&(usize, f64, [f64; 2])) -> f64| {
        load.iter().map(value).sum::<f64>() / MARSHAL_COUNT as f64
    };
    Layout {
        marshals: homes.iter().map(Vec::len).sum::<usize>() as f64 / SERVICE_COUNT as f64,
        services: mean(|l| l.0 as f64),
        max_services: load.iter().map(|l| l.0).max().unwrap_or(0) as f64,
        max_rate: load.iter().map(|l| l.1).fold(0.0, f64::max),
        services_in_window: [mean(|l| l.2[0]), mean(|l| l.2[1])],
    }
}

/// Mean number of nodes to which one marshal's module has an idle or used connection, and new connections per
/// second.
///
/// # Errors
/// If the config is invalid.
pub fn connections(nodes: usize, rate: f64, seconds: u32, seed: u64) -> Result<[f64; 2], Error> {
    let mut fleet = PolicyFleet::new(Setup { nodes, marshals: MARSHAL_COUNT, ..setup(1, rate, seed) })?;
    let (mut last, mut sum, mut new_connections) = (HashMap::new(), 0.0, 0.0);
    for second in 0..2 * seconds {
        fleet.observed = Default::default();
        fleet.run(SECOND);
        for (at, _, node, _) in &fleet.observed.picks {
            let before = last.insert(*node, *at);
            let new = before.is_none_or(|b: Duration| b + IDLE_TIMEOUT < *at);
            new_connections += f64::from(u8::from(new && second >= seconds));
        }
        last.retain(|_, at| *at + IDLE_TIMEOUT >= fleet.now);
        sum += if second >= seconds { last.len() as f64 } else { 0.0 };
    }
    Ok([sum / f64::from(seconds), new_connections / f64::from(seconds)])
}

fn layout_name(each: usize) -> String {
    match each {
        0 => "evenly over all".into(),
        n => format!("{n} of each zone"),
    }
}

/// Measures the layouts and their connections.
///
/// # Errors
/// If the config is invalid.
pub fn run(plan: &Plan) -> Result<Vec<Table>, Error> {
    let title =
        format!("Who meets which service: {MARSHAL_COUNT} marshals, {SERVICE_COUNT} services, {TOTAL_RATE:.0} RPCs a second");
    let head = [
        "a service's RPCs go",
        "sizes",
        "marshals a service",
        "services a marshal",
        "the worst",
        "held, rest 30 s",
        "held, rest 300 s",
        "RPCs/s a marshal and service",
        "seconds between",
        "RPCs/s of the busiest marshal",
    ];
    let mut layouts = Table::new(title, &head);
    for (each, alike) in MARSHALS_PER_ZONE.into_iter().flat_map(|each| [(each, true), (each, false)]) {
        let l = layout(each, alike);
        let rate_each = SERVICE_RATE / l.marshals;
        layouts.row([
            layout_name(each),
            if alike { "alike".into() } else { "1/n".into() },
            short(l.marshals),
            short(l.services),
            short(l.max_services),
            short(l.services_in_window[0]),
            short(l.services_in_window[1]),
            short(rate_each),
            short(1.0 / rate_each),
            short(l.max_rate),
        ]);
    }
    layouts.note("Homes by the highest hash of service and marshal in each zone. 1/n: the nth service in the order of size has one nth of the first's RPCs.");
    let title = "Connections by the nodes that one shipped module picks, kept 30 s idle; a service of 16 nodes, a subset of k known to a marshal";
    let head = [
        "a service's RPCs go",
        "k",
        "RPCs/s a marshal and service",
        "connections a marshal and service",
        "of a marshal, all services",
        "of a node, from all marshals",
        "new/s at a node",
    ];
    let mut nodes = Table::new(title, &head);
    for (each, k) in MARSHALS_PER_ZONE.into_iter().flat_map(|each| [16, 8, 4].map(|k| (each, k))) {
        let marshals = if each == 0 { MARSHAL_COUNT } else { each * ZONES } as f64;
        let rate = SERVICE_RATE / marshals;
        let runs: Vec<[f64; 2]> = (0..plan.runs() as u64)
            .map(|seed| connections(k, rate, 600, seed + 1))
            .collect::<Result<_, _>>()?;
        let held: Vec<f64> = runs.iter().map(|r| r[0]).collect();
        let services = marshals * SERVICE_COUNT as f64 / MARSHAL_COUNT as f64;
        let per_node = marshals / (NODES as f64 / SERVICE_COUNT as f64);
        let scaled = |i: usize, by: f64| spread(&runs.iter().map(|r| r[i] * by).collect::<Vec<_>>());
        nodes.row([
            layout_name(each),
            k.to_string(),
            short(rate),
            spread(&held),
            scaled(0, services),
            scaled(0, per_node),
            scaled(1, per_node),
        ]);
    }
    nodes.note("600 s of virtual time after 600 s. Of a node: the mean over nodes. The shipped program sends no probes to nodes: none are counted.");
    let title =
        format!("Today: one list of all nodes at each of {MARSHAL_COUNT} marshals, {RATE_PER_MARSHAL:.0} RPCs a second each");
    let head = [
        "nodes",
        "connections of a marshal",
        "of a node, mean",
        "the worst node",
        "nodes without any",
        "new/s at a node",
    ];
    let mut today = Table::new(title, &head);
    for size in plan.sizes_or(&[300, 3_000, NODES]) {
        let [held, new_connections] = connections(size, RATE_PER_MARSHAL, 40, 1)?;
        // Each module has its own random node order.
        let mut at = vec![0u32; size];
        for marshal in 0..MARSHAL_COUNT {
            let mut first: Vec<usize> = Vec::new();
            for draw in 0u64.. {
                let node = hash((marshal, draw)) as usize % size;
                if !first.contains(&node) {
                    first.push(node);
                    at[node] += 1;
                }
                if first.len() >= (held.round() as usize).min(size) {
                    break;
                }
            }
        }
        let by = MARSHAL_COUNT as f64 / size as f64;
        today.row([
            whole(size as f64),
            short(held),
            short(held * by),
            whole(f64::from(at.iter().copied().max().unwrap_or(0))),
            whole(at.iter().filter(|n| **n == 0).count() as f64),
            short(new_connections * by),
        ]);
    }
    today.note("One module run for 40 s after 40 s; the worst node and those without any by drawing each marshal's nodes by lot, as its order is drawn.");
    Ok(vec![layouts, nodes, today])
}
