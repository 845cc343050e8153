//! Properties that every choice must keep, over hundreds of seeds: each node held, even load, low churn, zone
//! preference, both arms present.

use std::collections::BTreeSet;
use std::time::Duration;

use ivydrift_subset::{
    choose, choose_with_memory, Choice, ChoiceCache, Fleet, Node, Size, MIN_HELD_PER_ARM, MIN_HOLDERS,
    MIN_SIZE,
};

/// The tests' own deterministic random generator.
struct TestRng(u64);

impl TestRng {
    fn below(&mut self, limit: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % limit.max(1)
    }
}

fn nodes(rng: &mut TestRng, count: usize, zones: usize, new: f64) -> Vec<Node> {
    // Realistic addresses: consecutive hosts with four ports each.
    let first = rng.below(1 << 24) as u64;
    let node = |i: usize| Node {
        name: (first + i as u64 / 4) << 16 | (8000 + i as u64 % 4),
        zone: i % zones,
        on_trial: (i as f64) < new * count as f64,
        ready: true,
    };
    (0..count).map(node).collect()
}

fn unzoned_fleets(of: usize) -> Vec<Fleet> {
    (0..of).map(|number| Fleet::new(number, of, 0, &[], &[])).collect()
}

fn zoned_fleets(counts: &[usize], regions: &[usize]) -> Vec<Fleet> {
    let zones = counts.iter().enumerate().flat_map(|(z, n)| std::iter::repeat_n(z, *n));
    let of = counts.iter().sum();
    zones.enumerate().map(|(number, zone)| Fleet::new(number, of, zone, counts, regions)).collect()
}

fn choose_all(fleets: &[Fleet], nodes: &[Node], want: usize) -> Vec<Choice> {
    fleets.iter().map(|f| choose(f, nodes, want)).collect()
}

/// Number of marshals that hold each node.
fn holders(choices: &[Choice], nodes: usize) -> Vec<usize> {
    (0..nodes).map(|i| choices.iter().filter(|c| c.held[i]).count()).collect()
}

/// Each node's load relative to the mean, if every marshal has the same load and spreads it evenly.
fn loads(choices: &[Choice], nodes: usize) -> Vec<f64> {
    let mut loads = vec![0.0; nodes];
    for choice in choices {
        let count = choice.held.iter().filter(|h| **h).count() as f64;
        choice.held.iter().zip(&mut loads).filter(|(h, _)| **h).for_each(|(_, s)| *s += 1.0 / count);
    }
    loads.into_iter().map(|s| s * nodes as f64 / choices.len() as f64).collect()
}

fn links(choices: &[Choice], nodes: &[Node]) -> BTreeSet<(usize, u64)> {
    let of = |(m, c): (usize, &Choice)| {
        nodes.iter().zip(&c.held).filter(|(_, h)| **h).map(move |(n, _)| (m, n.name)).collect::<Vec<_>>()
    };
    choices.iter().enumerate().flat_map(of).collect()
}

#[test]
fn a_list_no_larger_than_wanted_is_taken_whole() {
    for count in [0, 1, 16, MIN_SIZE] {
        let mut nodes = nodes(&mut TestRng(1), count, 3, 0.1);
        // Draining nodes are held too, even if no ready node of their arm is left.
        nodes.iter_mut().filter(|n| n.on_trial).for_each(|n| n.ready = false);
        for choice in choose_all(&unzoned_fleets(40), &nodes, MIN_SIZE) {
            let whole =
                Choice { held: vec![true; count], held_fraction: [1.0; 2], holder_fraction: [1.0; 2] };
            assert_eq!(choice, whole);
        }
    }
}

#[test]
fn the_choice_does_not_depend_on_list_order() {
    for seed in 0..200 {
        let mut rng = TestRng(seed);
        let (of, count) = (1 + rng.below(60), 25 + rng.below(400));
        let listed = nodes(&mut rng, count, 4, 0.1);
        let mut other = listed.clone();
        (0..count).rev().for_each(|i| other.swap(i, rng.below(i + 1)));
        let fleet = Fleet::new(rng.below(of), of, 0, &[], &[]);
        let set = |nodes: &[Node]| links(&[choose(&fleet, nodes, MIN_SIZE)], nodes);
        assert_eq!(set(&listed), set(&other), "seed {seed}");
    }
}

/// The busiest node's load relative to the mean is at most 1.5, and at most 1 + 7 / sqrt(held x holders),
/// both taken as the means of the draw.
#[test]
fn load_is_even_over_nodes() {
    let mut worst = 0.0f64;
    for seed in 0..200 {
        let mut rng = TestRng(1000 + seed);
        let (of, count) = (60 + rng.below(240), 60 + rng.below(1500));
        let listed = nodes(&mut rng, count, 1, 0.0);
        let choices = choose_all(&unzoned_fleets(of), &listed, MIN_SIZE);
        let held = holders(&choices, count);
        let size = held.iter().sum::<usize>() as f64 / of as f64;
        let mean = held.iter().sum::<usize>() as f64 / count as f64;
        let most = loads(&choices, count).into_iter().fold(0.0, f64::max);
        let part = (most - 1.0) * (size * mean).sqrt();
        worst = worst.max(part);
        assert!(
            part <= 7.0 && most <= 1.5,
            "seed {seed}: {of} marshals, {count} nodes: {most:.2}, {part:.2}"
        );
        // Holders are counted, not drawn; only a fraction of one is random.
        let (least, most) = (held.iter().min().unwrap(), held.iter().max().unwrap());
        assert!(most - least <= 3, "seed {seed}: {least} to {most} holders");
    }
    println!("worst excess, in 1 / sqrt(wanted x holders): {worst:.2}");
}

/// With zones, the same holds in each zone relative to the zone's mean; in a zone with fewer marshals they
/// are busier accordingly.
#[test]
fn load_is_even_over_the_nodes_of_a_zone() {
    for seed in 0..60 {
        let mut rng = TestRng(8000 + seed);
        let counts: Vec<usize> = (0..4).map(|_| 20 + rng.below(60)).collect();
        let count = 4 * (60 + rng.below(300));
        let listed = nodes(&mut rng, count, 4, 0.0);
        let choices = choose_all(&zoned_fleets(&counts, &[0, 0, 1, 1]), &listed, MIN_SIZE);
        let loads = loads(&choices, count);
        for zone in 0..4 {
            let zone_loads = || listed.iter().zip(&loads).filter(|(n, _)| n.zone == zone).map(|(_, s)| *s);
            let mean = zone_loads().sum::<f64>() / zone_loads().count() as f64;
            let most = zone_loads().fold(0.0, f64::max) / mean;
            assert!(most <= 1.5, "seed {seed}, zone {zone}: {most:.2} of {counts:?} marshals, {count} nodes");
        }
    }
}

#[test]
fn every_node_has_its_holders_on_each_side_of_a_partition() {
    for seed in 0..300 {
        let mut rng = TestRng(2000 + seed);
        let counts: Vec<usize> = (0..1 + rng.below(4)).map(|_| rng.below(9)).collect();
        let of: usize = counts.iter().sum();
        if of == 0 {
            continue;
        }
        let regions: Vec<usize> = (0..counts.len()).map(|z| z / 2).collect();
        let mut fleets = if seed % 2 == 0 { zoned_fleets(&counts, &regions) } else { unzoned_fleets(of) };
        // One zone of nodes more than there are of marshals: the configuration does not name it.
        let listed = {
            let count = 30 + rng.below(300);
            nodes(&mut rng, count, counts.len() + 1, 0.1)
        };
        // A partition into two sides, each of which takes the other for dead; also covers many deaths, where
        // few marshals are left.
        let side: Vec<usize> = (0..of).map(|_| rng.below(2)).collect();
        for (number, fleet) in fleets.iter_mut().enumerate() {
            fleet.set_dead((0..of).filter(|n| side[*n] != side[number]));
        }
        let choices = choose_all(&fleets, &listed, MIN_SIZE);
        for at in 0..2 {
            let side_choices: Vec<Choice> =
                (0..of).filter(|n| side[*n] == at).map(|n| choices[n].clone()).collect();
            if side_choices.is_empty() {
                continue;
            }
            let least = holders(&side_choices, listed.len()).into_iter().min().unwrap();
            let needed = MIN_HOLDERS.min(side_choices.len());
            assert!(
                least >= needed,
                "seed {seed}: {least} holders with {} live marshals",
                side_choices.len()
            );
        }
    }
}

#[test]
fn the_last_marshal_alive_holds_every_node() {
    let listed = nodes(&mut TestRng(7), 300, 3, 0.1);
    let mut fleet = Fleet::new(3, 40, 0, &[], &[]);
    assert!(fleet.set_dead((0..40).filter(|n| *n != 3)));
    assert!(
        !fleet.set_dead(0..40),
        "a marshal never counts itself as dead, and an unchanged set is no change"
    );
    assert!(choose(&fleet, &listed, MIN_SIZE).held.iter().all(|h| *h));
}

/// Bounds the churn, in links. Removing a node changes its own links, and at most as many again elsewhere
/// plus a few; a marshal's death, or one more configured marshal, changes at most 4.5 subset sizes, counting
/// both lost and new links.
#[test]
fn churn_is_low_when_nodes_or_marshals_come_and_go() {
    let (mut node, mut death, mut more) = (0.0f64, 0.0f64, 0.0f64);
    for seed in 0..100 {
        let mut rng = TestRng(3000 + seed);
        let (of, count) = (50 + rng.below(200), 60 + rng.below(600));
        let mut listed = nodes(&mut rng, count, 1, 0.0);
        let mut fleets = unzoned_fleets(of);
        let choices = choose_all(&fleets, &listed, MIN_SIZE);
        let before = links(&choices, &listed);
        let apart = |after: &BTreeSet<(usize, u64)>| before.symmetric_difference(after).count() as f64;
        let (mean, size) = (before.len() as f64 / count as f64, before.len() as f64 / of as f64);
        let gone = listed.remove(rng.below(count));
        let after = links(&choose_all(&fleets, &listed, MIN_SIZE), &listed);
        listed.push(gone);
        let moved = apart(&after) / mean;
        node = node.max(moved);
        assert!(moved <= 2.0 + 20.0 / mean, "seed {seed}: {moved:.2} of {mean:.1} links");
        let dead = rng.below(of);
        fleets
            .iter_mut()
            .for_each(|f| assert!(f.set_dead([dead]) || f == &Fleet::new(dead, of, 0, &[], &[])));
        let mut living = choose_all(&fleets, &listed, MIN_SIZE);
        living[dead].held.fill(false);
        let moved = apart(&links(&living, &listed)) / size;
        death = death.max(moved);
        assert!(moved <= 4.5, "seed {seed}: a death moves {moved:.2} subsets");
        let moved = apart(&links(&choose_all(&unzoned_fleets(of + 1), &listed, MIN_SIZE), &listed)) / size;
        more = more.max(moved);
        assert!(moved <= 4.5, "seed {seed}: one marshal more moves {moved:.2} subsets");
    }
    println!("most moved: node {node:.2} of its links, death {death:.2}, one more {more:.2} subsets");
}

#[test]
fn near_zones_are_preferred_and_others_used_as_needed() {
    for seed in 0..100 {
        let mut rng = TestRng(4000 + seed);
        let counts: Vec<usize> = (0..6).map(|_| 20 + rng.below(20)).collect();
        let regions = [0, 0, 1, 1, 2, 2];
        let fleets = zoned_fleets(&counts, &regions);
        let many = 6 * (80 + rng.below(100));
        let listed = nodes(&mut rng, many, 6, 0.0);
        for fleet in fleets.iter().step_by(7) {
            let zone = own_zone(fleet, &fleets, &counts);
            let held = choose(fleet, &listed, MIN_SIZE).held;
            let outside = listed.iter().zip(&held).filter(|(n, h)| **h && n.zone != zone).count();
            assert_eq!(outside, 0, "seed {seed}: its zone has enough nodes");
        }
        // Ten nodes per zone: a marshal takes all of its own zone and of the other zone in its region, and
        // some from elsewhere.
        let listed = nodes(&mut rng, 60, 6, 0.0);
        for fleet in fleets.iter().step_by(7) {
            let zone = own_zone(fleet, &fleets, &counts);
            let held = choose(fleet, &listed, MIN_SIZE).held;
            let region = |n: &Node| regions[n.zone] == regions[zone];
            let near = listed.iter().zip(&held).filter(|(n, h)| region(n) && **h).count();
            let far = held.iter().filter(|h| **h).count() - near;
            assert_eq!(near, 20, "seed {seed}");
            assert!(far <= 16, "seed {seed}: {far} nodes from elsewhere where four are wanted");
        }
    }
}

fn own_zone(fleet: &Fleet, fleets: &[Fleet], counts: &[usize]) -> usize {
    let number = fleets.iter().position(|f| f == fleet).unwrap();
    let ends = counts.iter().scan(0, |sum, n| {
        *sum += n;
        Some(*sum)
    });
    ends.take_while(|end| *end <= number).count()
}

#[test]
fn both_arms_are_held_at_every_rollout_stage_and_fractions_extrapolate() {
    for seed in 0..200 {
        let mut rng = TestRng(5000 + seed);
        let (of, count) = (20 + rng.below(100), 40 + rng.below(1000));
        let new = [0.002, 0.1, 0.35, 0.9, 1.0][rng.below(5)];
        let listed = nodes(&mut rng, count, 1, new);
        let arms = [0, 1].map(|arm| listed.iter().filter(|n| usize::from(n.on_trial) == arm).count());
        let choices = choose_all(&unzoned_fleets(of), &listed, MIN_SIZE);
        let mut sums = [0.0; 2];
        for (m, choice) in choices.iter().enumerate() {
            for arm in 0..2 {
                let arm_nodes =
                    listed.iter().zip(&choice.held).filter(|(n, h)| **h && usize::from(n.on_trial) == arm);
                let held = arm_nodes.count();
                assert!(
                    held >= MIN_HELD_PER_ARM.min(arms[arm]),
                    "seed {seed}, marshal {m}: {held} of arm {arm}"
                );
                if arms[arm] > 0 {
                    let estimate = held as f64 / choice.held_fraction[arm];
                    assert!(
                        (estimate - arms[arm] as f64).abs() < 1e-6,
                        "seed {seed}: estimated {estimate} of {}",
                        arms[arm]
                    );
                }
                sums[arm] += held as f64;
            }
        }
        for arm in (0..2).filter(|arm| arms[*arm] > 0) {
            // The predicted number of holders matches the actual one, up to rounding and to nodes added to
            // fill an arm.
            let actual = sums[arm] / arms[arm] as f64 / of as f64;
            let predicted = choices[0].holder_fraction[arm];
            assert!(
                (actual / predicted - 1.0).abs() < 0.1,
                "seed {seed}: {actual:.3} of all marshals hold a node, predicted {predicted:.3}"
            );
        }
    }
}

#[test]
fn an_arm_of_a_tenth_is_held_in_proportion() {
    let listed = nodes(&mut TestRng(9), 3000, 1, 0.1);
    let choices = choose_all(&unzoned_fleets(100), &listed, 240);
    let new = |c: &Choice| listed.iter().zip(&c.held).filter(|(n, h)| n.on_trial && **h).count() as f64;
    let mean =
        choices.iter().map(|c| new(c) / c.held.iter().filter(|h| **h).count() as f64).sum::<f64>() / 100.0;
    assert!((0.09..0.11).contains(&mean), "{mean:.3} of the held nodes are new");
}

#[test]
fn memory_does_not_affect_the_choice() {
    for seed in 0..200 {
        let mut rng = TestRng(7000 + seed);
        let (of, count) = (10 + rng.below(100), 60 + rng.below(300));
        let mut listed = nodes(&mut rng, count, 3, 0.1);
        let counts = [of / 2, of - of / 2];
        let number = rng.below(of);
        let zone = usize::from(number >= counts[0]);
        let mut fleet = Fleet::new(number, of, zone, if seed % 2 == 0 { &counts } else { &[] }, &[0, 1]);
        let mut memory = ChoiceCache::default();
        for round in 0..12 {
            let want = MIN_SIZE + 12 * rng.below(2);
            assert_eq!(
                choose_with_memory(&fleet, &listed, want, &mut memory),
                choose(&fleet, &listed, want),
                "{seed} {round}"
            );
            match rng.below(5) {
                0 => drop(fleet.set_dead([rng.below(of), rng.below(of)])),
                1 => drop(listed.drain(..rng.below(listed.len().min(90)))),
                2 => listed.iter_mut().skip(round).step_by(5).for_each(|n| n.zone = (n.zone + 1) % 3),
                3 => listed.reverse(),
                _ => {
                    let at = rng.below(listed.len());
                    listed.insert(
                        at,
                        Node { name: seed << 40 | round as u64, zone: 1, on_trial: false, ready: true },
                    );
                    listed.swap_remove(rng.below(at + 1));
                }
            }
        }
    }
}

#[test]
fn a_larger_subset_contains_the_smaller() {
    for seed in 0..200 {
        let mut rng = TestRng(6000 + seed);
        let (of, count) = (10 + rng.below(200), 150 + rng.below(1000));
        let listed = nodes(&mut rng, count, 1, 0.0);
        let fleet = Fleet::new(rng.below(of), of, 0, &[], &[]);
        let (small, large) = (choose(&fleet, &listed, MIN_SIZE), choose(&fleet, &listed, 3 * MIN_SIZE));
        let lost = small.held.iter().zip(&large.held).filter(|(s, l)| **s && !**l).count();
        assert_eq!(lost, 0, "seed {seed}");
        assert!(large.held_fraction[0] >= small.held_fraction[0]);
    }
}

#[test]
fn size_grows_at_once_and_shrinks_after_a_minute() {
    let at = Duration::from_secs;
    let mut size = Size::new(MIN_SIZE);
    assert!(
        !size.update(at(0), 95.0) && size.target() == MIN_SIZE,
        "the fleet's mean peak rate needs only the minimum size"
    );
    assert!(size.update(at(1), 400.0));
    let grown = size.target();
    assert!((100..=150).contains(&grown), "{grown}");
    // A rate that varies around a step changes nothing, nor does a lull shorter than a minute.
    for s in 2..200 {
        let rate = if s % 50 == 0 { 400.0 } else { 20.0 };
        assert!(!size.update(at(s), rate), "after {s} s");
    }
    let shrunk = (200..300).find(|s| size.update(at(*s), 20.0)).unwrap();
    assert_eq!((shrunk, size.target()), (211, MIN_SIZE));
    assert!(size.update(at(400), 1e12) && size.target() <= 1024);
}
