//! Compares subsetting algorithms: evenness and churn at 3,700 marshals and four list sizes.
//! `cargo run --release -p ivydrift-subset --example options`

use ivydrift_subset::{choose, Fleet, Node, MIN_HOLDERS, MIN_SIZE};

const MARSHALS: usize = 3700;

fn mix(x: u64) -> u64 {
    let x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ x >> 31
}

fn hash(a: u64, b: u64) -> u64 {
    mix(mix(a.wrapping_add(0x9e37_79b9_7f4a_7c15)) ^ (b + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn shuffled(ids: &[u32], seed: u64) -> Vec<u32> {
    let mut ids = ids.to_vec();
    (1..ids.len()).rev().for_each(|i| ids.swap(i, hash(seed, i as u64) as usize % (i + 1)));
    ids
}

fn ordered(ids: &[u32], seed: u64) -> Vec<u32> {
    let mut ids = ids.to_vec();
    ids.sort_by_cached_key(|id| hash(u64::from(*id), seed << 32));
    ids
}

fn window(ring: &[u32], start: f64, size: usize) -> Vec<u32> {
    let first = (start * ring.len() as f64) as usize;
    (0..size).map(|i| ring[(first + i) % ring.len()]).collect()
}

fn van_der_corput(mut i: u64) -> f64 {
    let (mut part, mut sum) = (0.5, 0.0);
    while i > 0 {
        sum += part * (i % 2) as f64;
        (part, i) = (part / 2.0, i / 2);
    }
    sum
}

type Algorithm = fn(&[u32], usize, usize) -> Vec<Vec<u32>>;

fn random(ids: &[u32], marshals: usize, size: usize) -> Vec<Vec<u32>> {
    let of = |m| shuffled(ids, 1 << 40 | m as u64).into_iter().take(size).collect();
    (0..marshals).map(of).collect()
}

/// Deterministic subsetting as in the Google SRE book, chapter 20.
fn rounds(ids: &[u32], marshals: usize, size: usize) -> Vec<Vec<u32>> {
    let lot_size = (ids.len() / size).max(1);
    let mut all = Vec::new();
    for round in 0..marshals.div_ceil(lot_size) {
        let nodes = shuffled(ids, round as u64);
        all.extend((0..lot_size).map(|i| nodes[i * size..(i + 1) * size].to_vec()));
    }
    all.truncate(marshals);
    all
}

/// Low-discrepancy rings, each shared by a lot of marshals.
fn rings(ids: &[u32], marshals: usize, size: usize) -> Vec<Vec<u32>> {
    let lot_size = (ids.len() / size).max(1).next_power_of_two();
    let rings: Vec<Vec<u32>> = (0..marshals.div_ceil(lot_size)).map(|r| ordered(ids, r as u64)).collect();
    (0..marshals).map(|m| window(&rings[m / lot_size], van_der_corput((m % lot_size) as u64), size)).collect()
}

/// Rendezvous hashing in which each marshal ranks the nodes.
fn rendezvous(ids: &[u32], marshals: usize, size: usize) -> Vec<Vec<u32>> {
    let of = |m: usize| {
        let mut ranked: Vec<(u64, u32)> =
            ids.iter().map(|id| (hash(u64::from(*id), m as u64), *id)).collect();
        if ranked.len() > size {
            ranked.select_nth_unstable(size);
        }
        ranked.into_iter().take(size).map(|r| r.1).collect()
    };
    (0..marshals).map(of).collect()
}

/// Consistent hashing: nodes and marshals at hashed points of one ring, as in Maglev's predecessors.
fn consistent(ids: &[u32], marshals: usize, size: usize) -> Vec<Vec<u32>> {
    let ring = ordered(ids, 0);
    let points: Vec<u64> = ring.iter().map(|id| hash(u64::from(*id), 0)).collect();
    let of = |m: usize| {
        let first = points.partition_point(|p| *p < hash(1 << 50, m as u64));
        (0..size).map(|i| ring[(first + i) % ring.len()]).collect()
    };
    (0..marshals).map(of).collect()
}

/// Deterministic aperture: one ordered ring of nodes, with the marshals evenly spaced around it.
fn aperture(ids: &[u32], marshals: usize, size: usize) -> Vec<Vec<u32>> {
    let ring = ordered(ids, 0);
    (0..marshals).map(|m| window(&ring, m as f64 / marshals as f64, size)).collect()
}

fn node_ranked_rendezvous(ids: &[u32], marshals: usize, _: usize) -> Vec<Vec<u32>> {
    let node = |id: &u32| Node { name: u64::from(*id), zone: 0, on_trial: false, ready: true };
    let nodes: Vec<Node> = ids.iter().map(node).collect();
    let of = |m| {
        let held = choose(&Fleet::new(m, marshals, 0, &[], &[]), &nodes, MIN_SIZE).held;
        ids.iter().zip(held).filter(|(_, h)| *h).map(|(id, _)| *id).collect()
    };
    (0..marshals).map(of).collect()
}

/// Number of new links of the marshals that both assignments have.
fn new_links(before: &[Vec<u32>], after: &[Vec<u32>]) -> usize {
    let new = |(b, a): (&Vec<u32>, &Vec<u32>)| {
        let b: std::collections::HashSet<&u32> = b.iter().collect();
        a.iter().filter(|id| !b.contains(id)).count()
    };
    before.iter().zip(after).map(new).sum()
}

fn main() {
    let algorithms: [(&str, Algorithm); 7] = [
        ("random, by places in the list", random),
        ("deterministic rounds (SRE book)", rounds),
        ("low-discrepancy rings, by lots", rings),
        ("rendezvous, marshals rank nodes", rendezvous),
        ("consistent ring", consistent),
        ("deterministic aperture", aperture),
        ("rendezvous, nodes rank marshals", node_ranked_rendezvous),
    ];
    println!(
        "| nodes | way | nodes a marshal | worst share | least share | holders | node gone | marshal gone |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for count in [16u32, 300, 3000, 44_000] {
        let ids: Vec<u32> = (0..count).collect();
        let size = MIN_SIZE.max((MIN_HOLDERS * ids.len()).div_ceil(MARSHALS)).min(ids.len());
        for (name, algorithm) in algorithms {
            let before = algorithm(&ids, MARSHALS, size);
            let (mut shares, mut holders) = (vec![0.0; ids.len()], vec![0; ids.len()]);
            for held in &before {
                held.iter().for_each(|id| {
                    shares[*id as usize] += ids.len() as f64 / MARSHALS as f64 / held.len() as f64;
                    holders[*id as usize] += 1;
                });
            }
            let links: usize = before.iter().map(Vec::len).sum();
            let without_one: Vec<u32> = ids.iter().copied().filter(|id| *id != count / 3).collect();
            let node = new_links(&before, &algorithm(&without_one, MARSHALS, size.min(without_one.len())));
            let marshal = new_links(&before, &algorithm(&ids, MARSHALS - 1, size));
            let (max_share, min_share) =
                (shares.iter().copied().fold(0.0, f64::max), shares.iter().copied().fold(9.0, f64::min));
            let sizes = (before.iter().map(Vec::len).min(), before.iter().map(Vec::len).max());
            println!(
                "| {count} | {name} | {} to {} | {max_share:.2} | {min_share:.2} | {} to {} | {:.2} | {:.2} |",
                sizes.0.unwrap_or(0),
                sizes.1.unwrap_or(0),
                holders.iter().min().unwrap_or(&0),
                holders.iter().max().unwrap_or(&0),
                node as f64 / (links as f64 / ids.len() as f64),
                marshal as f64 / (links as f64 / MARSHALS as f64),
            );
        }
    }
}
