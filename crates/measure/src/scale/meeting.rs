//! Which marshals serve which service, and the resulting connections per node: counts only, with the nodes
//! picked by the shipped modules.

use std::collections::hash_map::DefaultHasher;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use super::cold::{setup, SERVICE};
use super::crowd::{Crowd, Setup};
use super::nodes::EACH;
use super::table::{short, spread, whole};
use super::{Error, Plan, Table, MARSHALS, NODES, RATE, SERVICES, ZONES};

/// Marshals of each zone that serve one service; 0: all marshals serve it.
pub const HOMES: [usize; 5] = [0, 8, 4, 2, 1];
/// Default time for which an idle connection is kept.
const KEPT: Duration = Duration::from_secs(30);
const SECOND: Duration = Duration::from_secs(1);

/// RPCs per second of each service: all equal, or those of the n-th largest service one n-th of the
/// largest's.
fn rates(alike: bool) -> Vec<f64> {
    let weight = |n: usize| if alike { 1.0 } else { 1.0 / (n + 1) as f64 };
    let all: f64 = (0..SERVICES).map(weight).sum();
    (0..SERVICES).map(|n| RATE * weight(n) / all).collect()
}

fn hash(what: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    what.hash(&mut hasher);
    hasher.finish()
}

/// The marshals of each service: in each zone those with the highest hash of service and marshal (rendezvous
/// hashing).
pub fn homes(each: usize) -> Vec<Vec<usize>> {
    let of = |service: usize| -> Vec<usize> {
        if each == 0 {
            return (0..MARSHALS).collect();
        }
        let zone = |zone: usize| {
            let mut all: Vec<usize> = (zone..MARSHALS).step_by(ZONES).collect();
            all.sort_by_cached_key(|marshal| std::cmp::Reverse(hash((service, *marshal))));
            all.truncate(each);
            all
        };
        (0..ZONES).flat_map(zone).collect()
    };
    (0..SERVICES).map(of).collect()
}

/// Load of the marshals in one layout.
#[derive(Clone, Copy, Debug, Default)]
pub struct Layout {
    /// Mean marshals per service.
    pub marshals: f64,
    /// Services per marshal, mean and worst, and RPCs per second of the busiest marshal.
    pub services: f64,
    pub most: f64,
    pub busiest: f64,
    /// Mean number of services of which a marshal has had an RPC within 30 s, and within 300 s.
    pub held: [f64; 2],
}

/// Computes the load with `each` marshals per zone and service; see [`HOMES`].
pub fn layout(each: usize, alike: bool) -> Layout {
    let (rates, homes) = (rates(alike), homes(each));
    let mut load = vec![(0usize, 0.0, [0.0; 2]); MARSHALS];
    for (rate, homes) in rates.iter().zip(&homes) {
        let own = rate / homes.len() as f64;
        for marshal in homes {
            let one = &mut load[*marshal];
            (one.0, one.1) = (one.0 + 1, one.1 + own);
            for (held, span) in one.2.iter_mut().zip([30.0, 300.0]) {
                *held += 1.0 - (-own * span).exp();
            }
        }
    }
    let mean =
        |value: fn(&(usize, f64, [f64; 2])) -> f64| load.iter().map(value).sum::<f64>() / MARSHALS as f64;
    Layout {
        marshals: homes.iter().map(Vec::len).sum::<usize>() as f64 / SERVICES as f64,
        services: mean(|l| l.0 as f64),
        most: load.iter().map(|l| l.0).max().unwrap_or(0) as f64,
        busiest: load.iter().map(|l| l.1).fold(0.0, f64::max),
        held: [mean(|l| l.2[0]), mean(|l| l.2[1])],
    }
}

/// Mean number of nodes to which one marshal's module has an idle or used connection, and new connections per
/// second.
///
/// # Errors
/// If the config is invalid.
pub fn connections(nodes: usize, rate: f64, seconds: u32, seed: u64) -> Result<[f64; 2], Error> {
    let mut crowd = Crowd::new(Setup { nodes, of: MARSHALS, ..setup(1, rate, seed) })?;
    let (mut last, mut sum, mut fresh) = (HashMap::new(), 0.0, 0.0);
    for second in 0..2 * seconds {
        crowd.seen = Default::default();
        crowd.run(SECOND);
        for (at, _, node, _) in &crowd.seen.picks {
            let before = last.insert(*node, *at);
            let new = before.is_none_or(|b: Duration| b + KEPT < *at);
            fresh += f64::from(u8::from(new && second >= seconds));
        }
        last.retain(|_, at| *at + KEPT >= crowd.now);
        sum += if second >= seconds { last.len() as f64 } else { 0.0 };
    }
    Ok([sum / f64::from(seconds), fresh / f64::from(seconds)])
}

fn name(each: usize) -> String {
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
        format!("Who meets which service: {MARSHALS} marshals, {SERVICES} services, {RATE:.0} RPCs a second");
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
    let mut who = Table::new(title, &head);
    for (each, alike) in HOMES.into_iter().flat_map(|each| [(each, true), (each, false)]) {
        let l = layout(each, alike);
        let own = SERVICE / l.marshals;
        who.row([
            name(each),
            if alike { "alike".into() } else { "1/n".into() },
            short(l.marshals),
            short(l.services),
            short(l.most),
            short(l.held[0]),
            short(l.held[1]),
            short(own),
            short(1.0 / own),
            short(l.busiest),
        ]);
    }
    who.note("Homes by the highest hash of service and marshal in each zone. 1/n: the nth service in the order of size has one nth of the first's RPCs.");
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
    for (each, k) in HOMES.into_iter().flat_map(|each| [16, 8, 4].map(|k| (each, k))) {
        let marshals = if each == 0 { MARSHALS } else { each * ZONES } as f64;
        let rate = SERVICE / marshals;
        let runs: Vec<[f64; 2]> = (0..plan.runs() as u64)
            .map(|seed| connections(k, rate, 600, seed + 1))
            .collect::<Result<_, _>>()?;
        let held: Vec<f64> = runs.iter().map(|r| r[0]).collect();
        let services = marshals * SERVICES as f64 / MARSHALS as f64;
        let per_node = marshals / (NODES as f64 / SERVICES as f64);
        let scaled = |i: usize, by: f64| spread(&runs.iter().map(|r| r[i] * by).collect::<Vec<_>>());
        nodes.row([
            name(each),
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
        format!("Today: one list of all nodes at each of {MARSHALS} marshals, {EACH:.0} RPCs a second each");
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
        let [held, fresh] = connections(size, EACH, 40, 1)?;
        // Each module has its own random node order.
        let mut at = vec![0u32; size];
        for marshal in 0..MARSHALS {
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
        let by = MARSHALS as f64 / size as f64;
        today.row([
            whole(size as f64),
            short(held),
            short(held * by),
            whole(f64::from(at.iter().copied().max().unwrap_or(0))),
            whole(at.iter().filter(|n| **n == 0).count() as f64),
            short(fresh * by),
        ]);
    }
    today.note("One module run for 40 s after 40 s; the worst node and those without any by drawing each marshal's nodes by lot, as its order is drawn.");
    Ok(vec![who, nodes, today])
}
