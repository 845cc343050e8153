//! Selection of a marshal's subset.

use crate::fleet::{lot, Fleet};
use crate::{ARM, ARM_LEAST, HOLDERS};

/// A node of the node list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Node {
    /// Hash of the node's identity, the same at every marshal.
    pub name: u64,
    /// Index of its zone.
    pub zone: usize,
    /// Whether it runs the newest listed build, the one on trial.
    pub new: bool,
    /// Whether it accepts new RPCs.
    pub ready: bool,
}

/// A marshal's subset. Arrays are indexed by arm: the earlier builds, then the newest.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Whether each node is in the subset, in list order.
    pub held: Vec<bool>,
    /// Fraction of the arm's ready nodes that are in this subset; 1 if none is.
    pub seen: [f64; 2],
    /// Fraction of all marshals whose subset has a given node of the arm, a lower bound; 1 if there is none.
    pub holders: [f64; 2],
}

/// Fractions of each arm's nodes by distance: same zone, same region, elsewhere.
type Parts = [[f64; 3]; 2];

/// Results of the last choice, so that the next one recomputes only what has changed. It does not affect the
/// result.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    fleet: Option<Fleet>,
    /// Each node's name, zone index, maximum number of holders, and whether this marshal is one of them, in
    /// list order.
    found: Vec<(u64, usize, usize, bool)>,
}

/// How far ahead a node is searched for when nodes before it have left the list.
const AHEAD: usize = 64;

/// Chooses this marshal's subset of a list, with `want` nodes as the target size.
pub fn choose(fleet: &Fleet, nodes: &[Node], want: usize) -> Choice {
    choose_again(fleet, nodes, want, &mut Memory::default())
}

/// As [`choose`], reusing the results of the last choice.
pub fn choose_again(fleet: &Fleet, nodes: &[Node], want: usize, memory: &mut Memory) -> Choice {
    if nodes.len() <= want {
        return Choice { held: vec![true; nodes.len()], seen: [1.0; 2], holders: [1.0; 2] };
    }
    let mut listed = vec![[0usize; 2]; fleet.places()];
    for node in nodes.iter().filter(|n| n.ready) {
        listed[fleet.place(node.zone)][usize::from(node.new)] += 1;
    }
    let wanted = wants(&listed, want);
    let own = parts(fleet, &listed, &wanted, fleet.zone);
    // For each zone of nodes: the number of marshals at this marshal's distance from it, and how many of
    // those hold a given node there.
    let quota: Vec<(usize, [f64; 2])> = (0..fleet.places())
        .map(|place| {
            let reach = fleet.reach(fleet.zone, place);
            let count = fleet.within(place, reach);
            (count, [0, 1].map(|arm: usize| holding(fleet, place, reach, own[arm][reach]) * count as f64))
        })
        .collect();
    let earlier = std::mem::take(&mut memory.found);
    let earlier = if memory.fleet.as_ref() == Some(fleet) { &earlier[..] } else { &[] };
    memory.found.reserve(nodes.len());
    let mut next = 0;
    let mut holds = |node: &Node| {
        let (place, arm) = (fleet.place(node.zone), usize::from(node.new));
        let (count, quota) = (quota[place].0, quota[place].1[arm]);
        // Treats it as all of them even if the product of fractions falls short by rounding.
        let all = quota + 1e-6 >= count as f64;
        let most = if all { count } else { (quota + lot(node.name)).floor() as usize };
        let at = earlier[next.min(earlier.len())..].iter().take(AHEAD).position(|f| f.0 == node.name);
        let known = at.map(|at| earlier[next + at]);
        next += at.map_or(0, |at| at + 1);
        let known = known.filter(|f| (f.1, f.2) == (place, most)).map(|f| f.3);
        let held = known.unwrap_or_else(|| all || fleet.among(node.name, place, most));
        memory.found.push((node.name, place, most, held));
        held
    };
    let mut held: Vec<bool> = nodes.iter().map(&mut holds).collect();
    memory.fleet = Some(fleet.clone());
    for (arm, wanted) in wanted.iter().enumerate() {
        fill(fleet, nodes, &mut held, arm, (wanted / 2.0) as usize);
    }
    Choice { seen: seen(nodes, &held), holders: holders(fleet, &listed, &wanted, &own), held }
}

/// Fraction of each arm's ready nodes that are held; 1 if none is.
pub fn seen(nodes: &[Node], held: &[bool]) -> [f64; 2] {
    [false, true].map(|new| {
        let arm = || nodes.iter().zip(held).filter(|(n, _)| n.ready && n.new == new);
        let (all, mine) = (arm().count(), arm().filter(|(_, held)| **held).count());
        if mine == 0 {
            1.0
        } else {
            mine as f64 / all as f64
        }
    })
}

/// Number of ready nodes of each arm that a marshal wants: proportional to the arm's size, but at least a
/// few.
fn wants(listed: &[[usize; 2]], want: usize) -> [f64; 2] {
    let all = [0, 1].map(|arm: usize| listed.iter().map(|l| l[arm]).sum::<usize>());
    let total = (all[0] + all[1]).max(1) as f64;
    all.map(|n| (want as f64 * n as f64 / total).max(ARM.min(n) as f64).min(n as f64))
}

/// Fraction of the nodes at each distance that a marshal of the given zone takes: nearest first, farther ones
/// until it has enough.
fn parts(fleet: &Fleet, listed: &[[usize; 2]], wanted: &[f64; 2], zone: usize) -> Parts {
    [0, 1].map(|arm: usize| {
        let mut left = wanted[arm];
        [0, 1, 2].map(|reach: usize| {
            let places = (0..listed.len()).filter(|p| fleet.reach(zone, *p) == reach);
            let nodes = places.map(|p| listed[p][arm]).sum::<usize>() as f64;
            let taken = left.min(nodes);
            left -= taken;
            taken / nodes.max(1.0)
        })
    })
}

/// Fraction of the marshals at the given distance from a node that hold it: as many as want it, but no fewer
/// than the node needs if nearer marshals are too few. This keeps a node from having no marshals, for example
/// when all those of its zone are dead.
fn holding(fleet: &Fleet, place: usize, reach: usize, part: f64) -> f64 {
    let nearer: usize = (0..reach).map(|r| fleet.within(place, r)).sum();
    let need = HOLDERS.saturating_sub(nearer) as f64;
    part.max((need / fleet.within(place, reach).max(1) as f64).min(1.0))
}

/// Adds nodes if chance gave the marshal too few of an arm: nearest first, by its own ranking. Those nodes
/// get one holder more.
fn fill(fleet: &Fleet, nodes: &[Node], held: &mut [bool], arm: usize, half: usize) {
    let mine = |i: &usize| nodes[*i].ready && usize::from(nodes[*i].new) == arm;
    let least = half.max(ARM_LEAST);
    let has = (0..nodes.len()).filter(mine).filter(|i| held[*i]).count();
    if has >= least {
        return;
    }
    let mut others: Vec<usize> = (0..nodes.len()).filter(mine).filter(|i| !held[*i]).collect();
    let taste = |i: &usize| {
        (fleet.reach(fleet.zone, fleet.place(nodes[*i].zone)), fleet.taste(nodes[*i].name), nodes[*i].name)
    };
    others.sort_unstable_by_key(taste);
    others.iter().take(least - has).for_each(|i| held[*i] = true);
}

/// Fraction of all marshals that hold a node of each arm, assuming that all want as many as this one: the
/// maximum over the zones it takes nodes from, so that no marshal assumes fewer holders than there are.
fn holders(fleet: &Fleet, listed: &[[usize; 2]], wanted: &[f64; 2], own: &Parts) -> [f64; 2] {
    let others: Vec<Parts> = (0..fleet.zones()).map(|z| parts(fleet, listed, wanted, z)).collect();
    let marshals: usize = (0..fleet.zones()).map(|z| fleet.alive(z)).sum();
    [0, 1].map(|arm: usize| {
        let held = |place: usize| {
            let of = |z: usize| {
                let reach = fleet.reach(z, place);
                holding(fleet, place, reach, others[z][arm][reach]) * fleet.alive(z) as f64
            };
            (0..fleet.zones()).map(of).sum::<f64>() / marshals as f64
        };
        let takes = |place: usize| {
            let reach = fleet.reach(fleet.zone, place);
            holding(fleet, place, reach, own[arm][reach]) > 0.0
        };
        let places = (0..listed.len()).filter(|p| listed[*p][arm] > 0 && takes(*p));
        let most = places.map(held).fold(0.0, f64::max);
        if most > 0.0 {
            most.min(1.0)
        } else {
            1.0
        }
    })
}
