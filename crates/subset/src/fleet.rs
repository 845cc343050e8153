//! The marshals by number and zone, and the order in which a node ranks them.

use std::ops::Range;

/// The configured marshals, with those known to be dead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Number of this marshal.
    pub(crate) number: usize,
    /// The zone of this marshal.
    pub(crate) zone: usize,
    /// Marshal numbers of each zone.
    zones: Vec<Range<usize>>,
    /// Region of each zone.
    regions: Vec<usize>,
    /// Whether the zones of all marshals are known.
    zoned: bool,
    dead: Vec<bool>,
    /// Number of live marshals of each zone.
    alive: Vec<usize>,
}

impl Fleet {
    /// `counts` holds the number of marshals of each zone; marshals are numbered zone by zone. If the counts
    /// do not add up to `count`, or do not put this number into this zone, the zones of the others are
    /// unknown, and all marshals and nodes count as one zone.
    pub fn new(number: usize, count: usize, zone: usize, counts: &[usize], regions: &[usize]) -> Self {
        let count = count.max(number + 1);
        let mut end = 0;
        let mut next = |count: &usize| {
            end += count;
            end - count..end
        };
        let zones: Vec<Range<usize>> = counts.iter().map(&mut next).collect();
        let zoned = zones.last().is_some_and(|z| z.end == count)
            && zones.get(zone).is_some_and(|z| z.contains(&number))
            && regions.len() >= zones.len();
        let (zone, zones, regions) = match zoned {
            true => (zone, zones, regions.to_vec()),
            false => (0, std::iter::once(0..count).collect(), vec![0]),
        };
        let alive = zones.iter().map(Range::len).collect();
        Fleet { number, zone, zones, regions, zoned, dead: vec![false; count], alive }
    }

    /// Sets which marshals are dead; true if that changed. This marshal itself never counts as dead.
    pub fn set_dead(&mut self, dead: impl IntoIterator<Item = usize>) -> bool {
        let mut now = vec![false; self.dead.len()];
        for number in dead.into_iter().filter(|n| *n < now.len() && *n != self.number).collect::<Vec<_>>() {
            now[number] = true;
        }
        let changed = now != self.dead;
        self.dead = now;
        self.alive = self.zones.iter().map(|z| z.clone().filter(|n| !self.dead[*n]).count()).collect();
        changed
    }

    /// Number of configured marshals.
    pub fn count(&self) -> usize {
        self.dead.len()
    }

    /// Index of a node's zone in tables; the last index stands for all zones that the configuration does not
    /// name.
    pub(crate) fn zone_index(&self, zone: usize) -> usize {
        if self.zoned {
            zone.min(self.zones.len())
        } else {
            0
        }
    }

    /// Number of zone indices, see [`Fleet::zone_index`].
    pub(crate) fn zone_index_count(&self) -> usize {
        self.zones.len() + usize::from(self.zoned)
    }

    pub(crate) fn zone_count(&self) -> usize {
        self.zones.len()
    }

    pub(crate) fn alive(&self, zone: usize) -> usize {
        self.alive[zone]
    }

    /// Distance from a marshal's zone to a node's: 0 same zone, 1 same region, 2 any other.
    pub(crate) fn distance(&self, marshal: usize, node: usize) -> usize {
        match (marshal == node, self.regions.get(node)) {
            (true, _) => 0,
            (_, Some(region)) if *region == self.regions[marshal] && node < self.zones.len() => 1,
            _ => 2,
        }
    }

    /// Number of live marshals at that distance from a node's zone.
    pub(crate) fn alive_at_distance(&self, node: usize, distance: usize) -> usize {
        let zones = (0..self.zones.len()).filter(|z| self.distance(*z, node) == distance);
        zones.map(|z| self.alive[z]).sum()
    }

    /// Whether the node ranks this marshal among the first `limit` live marshals at its distance.
    pub(crate) fn is_holder(&self, name: u64, node: usize, limit: usize) -> bool {
        let (distance, name) = (self.distance(self.zone, node), salted(name));
        let own_hash = (rank_hash(name, self.number as u64), self.number);
        let peers = (0..self.zones.len()).filter(|z| self.distance(*z, node) == distance);
        let peers = peers.flat_map(|z| self.zones[z].clone()).filter(|n| !self.dead[*n]);
        let better_ranked = peers.filter(|n| (rank_hash(name, *n as u64), *n) < own_hash);
        // For most nodes this ends early, once `limit` better-ranked marshals are found.
        limit > 0 && better_ranked.take(limit).count() < limit
    }

    /// This marshal's ranking of nodes; the same hash as the node's ranking of it.
    pub(crate) fn own_rank(&self, name: u64) -> u64 {
        pair_hash(name, self.number as u64)
    }
}

/// Deterministic hash (splitmix64's finalizer); must be the same on every machine and in every later version.
fn mix(x: u64) -> u64 {
    let x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ x >> 31
}

fn salted(name: u64) -> u64 {
    mix(name.wrapping_add(0x9e37_79b9_7f4a_7c15))
}

/// The hash by which a node ranks a marshal.
fn rank_hash(salted: u64, number: u64) -> u64 {
    mix(salted ^ (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn pair_hash(name: u64, number: u64) -> u64 {
    rank_hash(salted(name), number)
}

/// A node's hash as a fraction from 0 to 1, used to round a fractional number of holders.
pub(crate) fn unit_hash(name: u64) -> f64 {
    (pair_hash(name, u64::MAX - 1) >> 11) as f64 / (1u64 << 53) as f64
}
