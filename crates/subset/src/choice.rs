//! The choice itself.

use crate::fleet::{lot, Fleet};
use crate::{ARM, ARM_LEAST, HOLDERS};

/// A node of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Node {
    /// The same at every marshal.
    pub name: u64,
    pub zone: usize,
    /// It runs the newest build listed: the arm on trial.
    pub new: bool,
    pub ready: bool,
}

/// What a marshal holds of a list, by arm: the earlier builds', then the newest's.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// For each node, in the list's order.
    pub held: Vec<bool>,
    /// The part of the arm's ready nodes that this marshal holds; 1 where it has none.
    pub seen: [f64; 2],
    /// The part of all marshals that hold a node of the arm, at the least; 1 where it has none.
    pub holders: [f64; 2],
}

/// A part of each arm's nodes by reach: here, in the region, elsewhere.
type Parts = [[f64; 3]; 2];

/// What the last choice found, so that the next one asks only of what has changed. It changes no choice.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    fleet: Option<Fleet>,
    /// Each node's name, place and most holders, and whether this marshal is among them; in the list's order.
    found: Vec<(u64, usize, usize, bool)>,
}

/// How far ahead a node is looked for where others before it have left the list.
const AHEAD: usize = 64;

/// What this marshal holds of a list, of which it wants so many.
pub fn choose(fleet: &Fleet, nodes: &[Node], want: usize) -> Choice {
    choose_again(fleet, nodes, want, &mut Memory::default())
}

/// The same, with what the last choice found.
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
    // For each place of nodes: the marshals as far from it as this one, and how many of them hold a node there.
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
        // All of them, though a product of parts may fall short of it by its last digit.
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

/// The part of each arm's ready nodes that is held; 1 where none is.
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

/// How many ready nodes each arm has, and how many of them a marshal wants: by its share, but at least a few.
fn wants(listed: &[[usize; 2]], want: usize) -> [f64; 2] {
    let all = [0, 1].map(|arm: usize| listed.iter().map(|l| l[arm]).sum::<usize>());
    let total = (all[0] + all[1]).max(1) as f64;
    all.map(|n| (want as f64 * n as f64 / total).max(ARM.min(n) as f64).min(n as f64))
}

/// What part of the nodes at each reach a marshal of some zone takes: the near first, others as far as it wants more.
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

/// The part of the marshals at some reach from a node that hold it: what they want, and no fewer than it needs where
/// nearer ones are not enough. Guards against nodes without marshals, as where all those of its zone are dead.
fn holding(fleet: &Fleet, place: usize, reach: usize, part: f64) -> f64 {
    let nearer: usize = (0..reach).map(|r| fleet.within(place, r)).sum();
    let need = HOLDERS.saturating_sub(nearer) as f64;
    part.max((need / fleet.within(place, reach).max(1) as f64).min(1.0))
}

/// Too few of an arm by chance: more by this marshal's own order, the near ones first. Costs those nodes a holder more.
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

/// The part of all marshals that hold a node of each arm, if all want as many as this one: the most of those places
/// from which it takes any, so that nobody reckons with fewer holders than there are.
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
