//! Selection of a marshal's subset.

use crate::fleet::{unit_hash, Fleet};
use crate::{MIN_HELD_PER_ARM, MIN_HOLDERS, MIN_WANTED_PER_ARM};

/// A node of the node list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Node {
    /// Hash of the node's identity, the same at every marshal.
    pub name: u64,
    /// Index of its zone.
    pub zone: usize,
    /// Whether it runs the newest listed build, the one on trial.
    pub on_trial: bool,
    /// Whether it accepts new RPCs.
    pub ready: bool,
}

/// A marshal's subset. Arrays are indexed by arm: the earlier builds, then the newest.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Whether each node is in the subset, in list order.
    pub held: Vec<bool>,
    /// Fraction of the arm's ready nodes that are in this subset; 1 if none is.
    pub held_fraction: [f64; 2],
    /// Fraction of all marshals whose subset has a given node of the arm, a lower bound; 1 if there is none.
    pub holder_fraction: [f64; 2],
}

/// Fractions of each arm's nodes by distance: same zone, same region, elsewhere.
type DistanceFractions = [[f64; 3]; 2];

/// Results of the last choice, so that the next one recomputes only what has changed. It does not affect the
/// result.
#[derive(Clone, Debug, Default)]
pub struct ChoiceCache {
    fleet: Option<Fleet>,
    /// Each node's name, zone index, maximum number of holders, and whether this marshal is one of them, in
    /// list order.
    entries: Vec<(u64, usize, usize, bool)>,
}

/// How far ahead a node is searched for when nodes before it have left the list.
const LOOKAHEAD: usize = 64;

/// Chooses this marshal's subset of a list, with `want` nodes as the target size.
pub fn choose(fleet: &Fleet, nodes: &[Node], want: usize) -> Choice {
    choose_with_memory(fleet, nodes, want, &mut ChoiceCache::default())
}

/// As [`choose`], reusing the results of the last choice.
pub fn choose_with_memory(fleet: &Fleet, nodes: &[Node], want: usize, cache: &mut ChoiceCache) -> Choice {
    if nodes.len() <= want {
        return Choice { held: vec![true; nodes.len()], held_fraction: [1.0; 2], holder_fraction: [1.0; 2] };
    }
    let mut listed = vec![[0usize; 2]; fleet.zone_index_count()];
    for node in nodes.iter().filter(|n| n.ready) {
        listed[fleet.zone_index(node.zone)][usize::from(node.on_trial)] += 1;
    }
    let wanted = wanted_per_arm(&listed, want);
    let own = distance_fractions(fleet, &listed, &wanted, fleet.zone);
    // For each zone of nodes: the number of marshals at this marshal's distance from it, and how many of
    // those hold a given node there.
    let quota: Vec<(usize, [f64; 2])> = (0..fleet.zone_index_count())
        .map(|zone| {
            let distance = fleet.distance(fleet.zone, zone);
            let count = fleet.alive_at_distance(zone, distance);
            (
                count,
                [0, 1].map(|arm: usize| {
                    holder_fraction(fleet, zone, distance, own[arm][distance]) * count as f64
                }),
            )
        })
        .collect();
    let previous = std::mem::take(&mut cache.entries);
    let previous = if cache.fleet.as_ref() == Some(fleet) { &previous[..] } else { &[] };
    cache.entries.reserve(nodes.len());
    let mut next = 0;
    let mut holds = |node: &Node| {
        let (zone, arm) = (fleet.zone_index(node.zone), usize::from(node.on_trial));
        let (count, quota) = (quota[zone].0, quota[zone].1[arm]);
        // Treats it as all of them even if the product of fractions falls short by rounding.
        let all = quota + 1e-6 >= count as f64;
        let max_holders = if all { count } else { (quota + unit_hash(node.name)).floor() as usize };
        let at = previous[next.min(previous.len())..].iter().take(LOOKAHEAD).position(|f| f.0 == node.name);
        let known = at.map(|at| previous[next + at]);
        next += at.map_or(0, |at| at + 1);
        let known = known.filter(|f| (f.1, f.2) == (zone, max_holders)).map(|f| f.3);
        let held = known.unwrap_or_else(|| all || fleet.is_holder(node.name, zone, max_holders));
        cache.entries.push((node.name, zone, max_holders, held));
        held
    };
    let mut held: Vec<bool> = nodes.iter().map(&mut holds).collect();
    cache.fleet = Some(fleet.clone());
    for (arm, wanted) in wanted.iter().enumerate() {
        fill_arm(fleet, nodes, &mut held, arm, (wanted / 2.0) as usize);
    }
    Choice {
        held_fraction: held_fractions(nodes, &held),
        holder_fraction: holders(fleet, &listed, &wanted, &own),
        held,
    }
}

/// Fraction of each arm's ready nodes that are held; 1 if none is.
pub fn held_fractions(nodes: &[Node], held: &[bool]) -> [f64; 2] {
    [false, true].map(|new| {
        let arm = || nodes.iter().zip(held).filter(|(n, _)| n.ready && n.on_trial == new);
        let (all, held_count) = (arm().count(), arm().filter(|(_, held)| **held).count());
        if held_count == 0 {
            1.0
        } else {
            held_count as f64 / all as f64
        }
    })
}

/// Number of ready nodes of each arm that a marshal wants: proportional to the arm's size, but at least a
/// few.
fn wanted_per_arm(listed: &[[usize; 2]], want: usize) -> [f64; 2] {
    let all = [0, 1].map(|arm: usize| listed.iter().map(|l| l[arm]).sum::<usize>());
    let total = (all[0] + all[1]).max(1) as f64;
    all.map(|n| (want as f64 * n as f64 / total).max(MIN_WANTED_PER_ARM.min(n) as f64).min(n as f64))
}

/// Fraction of the nodes at each distance that a marshal of the given zone takes: nearest first, farther ones
/// until it has enough.
fn distance_fractions(
    fleet: &Fleet, listed: &[[usize; 2]], wanted: &[f64; 2], zone: usize,
) -> DistanceFractions {
    [0, 1].map(|arm: usize| {
        let mut left = wanted[arm];
        [0, 1, 2].map(|distance: usize| {
            let zones = (0..listed.len()).filter(|p| fleet.distance(zone, *p) == distance);
            let nodes = zones.map(|p| listed[p][arm]).sum::<usize>() as f64;
            let taken = left.min(nodes);
            left -= taken;
            taken / nodes.max(1.0)
        })
    })
}

/// Fraction of the marshals at the given distance from a node that hold it: as many as want it, but no fewer
/// than the node needs if nearer marshals are too few. This keeps a node from having no marshals, for example
/// when all those of its zone are dead.
fn holder_fraction(fleet: &Fleet, zone: usize, distance: usize, fraction: f64) -> f64 {
    let nearer: usize = (0..distance).map(|r| fleet.alive_at_distance(zone, r)).sum();
    let need = MIN_HOLDERS.saturating_sub(nearer) as f64;
    fraction.max((need / fleet.alive_at_distance(zone, distance).max(1) as f64).min(1.0))
}

/// Adds nodes if chance gave the marshal too few of an arm: nearest first, by its own ranking. Those nodes
/// get one holder more.
fn fill_arm(fleet: &Fleet, nodes: &[Node], held: &mut [bool], arm: usize, target: usize) {
    let of_arm = |i: &usize| nodes[*i].ready && usize::from(nodes[*i].on_trial) == arm;
    let minimum = target.max(MIN_HELD_PER_ARM);
    let held_count = (0..nodes.len()).filter(of_arm).filter(|i| held[*i]).count();
    if held_count >= minimum {
        return;
    }
    let mut others: Vec<usize> = (0..nodes.len()).filter(of_arm).filter(|i| !held[*i]).collect();
    let rank = |i: &usize| {
        (
            fleet.distance(fleet.zone, fleet.zone_index(nodes[*i].zone)),
            fleet.own_rank(nodes[*i].name),
            nodes[*i].name,
        )
    };
    others.sort_unstable_by_key(rank);
    others.iter().take(minimum - held_count).for_each(|i| held[*i] = true);
}

/// Fraction of all marshals that hold a node of each arm, assuming that all want as many as this one: the
/// maximum over the zones it takes nodes from, so that no marshal assumes fewer holders than there are.
fn holders(fleet: &Fleet, listed: &[[usize; 2]], wanted: &[f64; 2], own: &DistanceFractions) -> [f64; 2] {
    let others: Vec<DistanceFractions> =
        (0..fleet.zone_count()).map(|z| distance_fractions(fleet, listed, wanted, z)).collect();
    let marshals: usize = (0..fleet.zone_count()).map(|z| fleet.alive(z)).sum();
    [0, 1].map(|arm: usize| {
        let held = |zone: usize| {
            let of = |z: usize| {
                let distance = fleet.distance(z, zone);
                holder_fraction(fleet, zone, distance, others[z][arm][distance]) * fleet.alive(z) as f64
            };
            (0..fleet.zone_count()).map(of).sum::<f64>() / marshals as f64
        };
        let takes_from = |zone: usize| {
            let distance = fleet.distance(fleet.zone, zone);
            holder_fraction(fleet, zone, distance, own[arm][distance]) > 0.0
        };
        let zones = (0..listed.len()).filter(|p| listed[*p][arm] > 0 && takes_from(*p));
        let max_fraction = zones.map(held).fold(0.0, f64::max);
        if max_fraction > 0.0 {
            max_fraction.min(1.0)
        } else {
            1.0
        }
    })
}
