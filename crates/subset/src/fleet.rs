//! All marshals, by number and zone, and the order in which a node ranks them.

use std::ops::Range;

/// The marshals as the terms have them, and who is known to be dead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    pub(crate) number: usize,
    /// The zone of this marshal.
    pub(crate) zone: usize,
    zones: Vec<Range<usize>>,
    regions: Vec<usize>,
    /// It is known where the marshals are.
    zoned: bool,
    dead: Vec<bool>,
    alive: Vec<usize>,
}

impl Fleet {
    /// `counts`: marshals of each zone, numbered zone by zone. Where they do not add up to `of`, or do not have this
    /// number in this zone, nobody knows where the others are, and all marshals and nodes count as lying together.
    pub fn new(number: usize, of: usize, zone: usize, counts: &[usize], regions: &[usize]) -> Self {
        let of = of.max(number + 1);
        let mut end = 0;
        let mut next = |count: &usize| {
            end += count;
            end - count..end
        };
        let zones: Vec<Range<usize>> = counts.iter().map(&mut next).collect();
        let zoned = zones.last().is_some_and(|z| z.end == of)
            && zones.get(zone).is_some_and(|z| z.contains(&number))
            && regions.len() >= zones.len();
        let (zone, zones, regions) = match zoned {
            true => (zone, zones, regions.to_vec()),
            false => (0, std::iter::once(0..of).collect(), vec![0]),
        };
        let alive = zones.iter().map(Range::len).collect();
        Fleet { number, zone, zones, regions, zoned, dead: vec![false; of], alive }
    }

    /// These are dead, and no others; true where that is news. This marshal itself never is.
    pub fn bury(&mut self, dead: impl IntoIterator<Item = usize>) -> bool {
        let mut now = vec![false; self.dead.len()];
        for number in dead.into_iter().filter(|n| *n < now.len() && *n != self.number).collect::<Vec<_>>() {
            now[number] = true;
        }
        let news = now != self.dead;
        self.dead = now;
        self.alive = self.zones.iter().map(|z| z.clone().filter(|n| !self.dead[*n]).count()).collect();
        news
    }

    pub fn of(&self) -> usize {
        self.dead.len()
    }

    /// Where a node's zone stands in tables: the last place is that of all zones that the terms do not name.
    pub(crate) fn place(&self, zone: usize) -> usize {
        if self.zoned {
            zone.min(self.zones.len())
        } else {
            0
        }
    }

    pub(crate) fn places(&self) -> usize {
        self.zones.len() + usize::from(self.zoned)
    }

    pub(crate) fn zones(&self) -> usize {
        self.zones.len()
    }

    pub(crate) fn alive(&self, zone: usize) -> usize {
        self.alive[zone]
    }

    /// How far a marshal's zone lies from a node's: 0 the same, 1 another of the region, 2 any other.
    pub(crate) fn reach(&self, marshal: usize, node: usize) -> usize {
        match (marshal == node, self.regions.get(node)) {
            (true, _) => 0,
            (_, Some(region)) if *region == self.regions[marshal] && node < self.zones.len() => 1,
            _ => 2,
        }
    }

    /// Living marshals of that reach from a node's zone.
    pub(crate) fn within(&self, node: usize, reach: usize) -> usize {
        let zones = (0..self.zones.len()).filter(|z| self.reach(*z, node) == reach);
        zones.map(|z| self.alive[z]).sum()
    }

    /// The node ranks this marshal among the first `most` of the living that are as far from it.
    pub(crate) fn among(&self, name: u64, node: usize, most: usize) -> bool {
        let (reach, name) = (self.reach(self.zone, node), salted(name));
        let own = (lots(name, self.number as u64), self.number);
        let peers = (0..self.zones.len()).filter(|z| self.reach(*z, node) == reach);
        let peers = peers.flat_map(|z| self.zones[z].clone()).filter(|n| !self.dead[*n]);
        let earlier = peers.filter(|n| (lots(name, *n as u64), *n) < own);
        // Most nodes end this after a few: `most` earlier ones are soon found.
        most > 0 && earlier.take(most).count() < most
    }

    /// This marshal's own order of nodes, the same as the node's order of it.
    pub(crate) fn taste(&self, name: u64) -> u64 {
        draw(name, self.number as u64)
    }
}

/// Chance by hash (splitmix64's finalizer): the same on every machine and in every later program.
fn mix(x: u64) -> u64 {
    let x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ x >> 31
}

fn salted(name: u64) -> u64 {
    mix(name.wrapping_add(0x9e37_79b9_7f4a_7c15))
}

fn lots(salted: u64, number: u64) -> u64 {
    mix(salted ^ (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn draw(name: u64, number: u64) -> u64 {
    lots(salted(name), number)
}

/// A node's lot from 0 to 1, by which a part of a holder is rounded.
pub(crate) fn lot(name: u64) -> f64 {
    (draw(name, u64::MAX - 1) >> 11) as f64 / (1u64 << 53) as f64
}
