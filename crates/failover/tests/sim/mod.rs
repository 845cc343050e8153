//! Simulation of zones with clients, nodes and marshals in virtual time. Traffic is a flow: each marshal
//! sends what its plan says, and the sum determines how busy nodes are. Datagrams between marshals may be
//! late, lost, duplicated or cut off.
#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ivydrift_failover::controller::Stage;
use ivydrift_failover::message::Message;
use ivydrift_failover::observation::Observation;
use ivydrift_failover::{Failover, MemberIndex, Out, Plan, Site, Snapshot, TICK_INTERVAL};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

pub const STEP: Duration = Duration::from_millis(50);
pub const WARM: Duration = Duration::from_secs(5);
/// Power-seconds per RPC.
pub const COST: f32 = 0.06;
pub struct ZoneState {
    pub power: f32,
    /// Fraction of the nodes that is up.
    pub up: f32,
    /// Cold nodes: when they came up, and their fraction.
    cold: Vec<(Duration, f32)>,
    /// Its nodes do not answer although the node list shows all as ready.
    pub silent: bool,
    /// RPCs per second in total.
    pub load: f32,
    /// RPCs per second from other zones' clients.
    pub foreign: f32,
    /// RPCs per second from its own clients.
    pub own: f32,
}

pub struct Marshal {
    pub demand: f32,
    pub life: u64,
    pub alive: bool,
    pub paused: bool,
    /// Factor by which a faulty marshal overstates its zone's capacity.
    pub overstates: f32,
    /// Its own links to nodes are bad: it observes failures in every zone.
    pub bad_links: bool,
    failover: Option<Failover>,
    sent: Vec<f32>,
    sent_seen: Vec<f32>,
    busy_seen: Vec<f32>,
    answered_seen: Vec<f32>,
    next: Duration,
    waiting: Vec<(MemberIndex, Vec<u8>)>,
}

/// Who decides where traffic goes: this crate, or an uncoordinated fleet to compare with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arm {
    Coordinated,
    /// Each marshal leaves its zone as soon as it observes failures there, and returns as soon as the node
    /// list shows it healthy.
    Uncoordinated,
    /// A fifth of each zone's traffic always goes to the others.
    Static,
}

type Cut = Box<dyn Fn(MemberIndex, MemberIndex) -> bool>;

pub struct Simulation {
    pub now: Duration,
    pub zones: Vec<ZoneState>,
    pub instances: Vec<Marshal>,
    pub loss: f64,
    pub duplication: f64,
    pub delay: [Duration; 2],
    pub cut: Cut,
    /// As `cut`, but membership still sees both as present.
    pub unreachable: Cut,
    pub fan_out: usize,
    pub arm: Arm,
    /// What all nodes together could have served with ideal distribution.
    pub ideal: f64,
    /// Delay with which membership reports a death or a cut.
    pub membership_delay: Duration,
    pub regions: Vec<usize>,
    /// Age of the node list that marshals see.
    pub list_lag: Duration,
    pub log: Vec<(Duration, MemberIndex, String)>,
    /// Total traffic served, in RPCs.
    pub served: f64,
    /// Total demand, in RPCs.
    pub demanded: f64,
    pub sent_bytes: u64,
    capacities: BTreeMap<Duration, Vec<f32>>,
    last_heard: BTreeMap<(MemberIndex, MemberIndex), Duration>,
    in_transit: BTreeMap<(Duration, u64), (MemberIndex, MemberIndex, Vec<u8>)>,
    sent_count: u64,
    rng: Pcg64,
    grants: BTreeMap<(MemberIndex, MemberIndex), Vec<(f32, Duration)>>,
    /// Capacity left beside each zone's own clients, at each step of the last four seconds.
    spare_history: Vec<VecDeque<f32>>,
    /// Fraction of the capacity that counts for `spare_history`.
    pub usable_capacity: f32,
}

impl Simulation {
    /// `zones`: each zone's demand as a fraction of its capacity.
    pub fn new(zones: &[f32], marshals: usize, seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let power = 12.0;
        let state = |_: &f32| ZoneState {
            power,
            up: 1.0,
            cold: vec![],
            silent: false,
            load: 0.0,
            foreign: 0.0,
            own: 0.0,
        };
        let count = zones.len();
        let instances = (0..marshals).map(|n| {
            // One in four marshals has little demand.
            let weight = |n: usize| [0.2, 1.2, 1.3, 1.3][n / count % 4];
            let all: f32 = (0..marshals).filter(|m| m % count == n % count).map(weight).sum();
            let demand = zones[n % count] * power / COST * weight(n) / all;
            Marshal {
                demand,
                life: 1,
                alive: false,
                paused: false,
                overstates: 1.0,
                bad_links: false,
                failover: None,
                sent: vec![0.0; count],
                sent_seen: vec![0.0; count],
                busy_seen: vec![0.0; count],
                answered_seen: vec![1.0; count],
                next: secs(100) + TICK_INTERVAL.mul_f64(rng.random()),
                waiting: vec![],
            }
        });
        let mut sim = Simulation {
            now: secs(100),
            zones: zones.iter().map(state).collect(),
            instances: instances.collect(),
            loss: 0.0,
            duplication: 0.0,
            delay: [ms(1), ms(8)],
            cut: Box::new(|_, _| false),
            unreachable: Box::new(|_, _| false),
            fan_out: ivydrift_failover::FAN_OUT,
            membership_delay: secs(3),
            arm: Arm::Coordinated,
            ideal: 0.0,
            regions: vec![0; count],
            list_lag: ms(300),
            log: vec![],
            served: 0.0,
            demanded: 0.0,
            sent_bytes: 0,
            capacities: BTreeMap::new(),
            last_heard: BTreeMap::new(),
            in_transit: BTreeMap::new(),
            sent_count: 0,
            rng,
            grants: BTreeMap::new(),
            spare_history: vec![VecDeque::new(); count],
            usable_capacity: 1.0,
        };
        (0..marshals).for_each(|n| sim.start(n));
        sim
    }

    pub fn zone_of(&self, n: usize) -> usize {
        n % self.zones.len()
    }

    pub fn start(&mut self, n: usize) {
        let (count, zone) = (self.zones.len(), self.zone_of(n));
        let marshals = (0..count)
            .map(|z| (0..self.instances.len()).filter(|n| n % count == z).map(|n| n as MemberIndex).collect())
            .collect();
        let far = |z: usize| if z == zone { 0 } else { 1 + u8::from(self.regions[z] != self.regions[zone]) };
        let distance = (0..count).map(far).collect();
        let site = Site {
            me: n as MemberIndex,
            life: self.instances[n].life,
            zone,
            marshals,
            distance,
            warm: WARM,
            fan_out: self.fan_out,
        };
        let failover = Failover::new(site, self.now);
        let marshal = &mut self.instances[n];
        (marshal.failover, marshal.alive, marshal.paused, marshal.next) = (failover, true, false, self.now);
    }

    pub fn kill(&mut self, n: usize) {
        let marshal = &mut self.instances[n];
        (marshal.alive, marshal.failover, marshal.life) = (false, None, marshal.life + 1);
    }

    /// Current capacity of a zone: cold nodes start at 0.4 of their full capacity.
    pub fn capacity(&self, z: usize) -> f32 {
        let zone = &self.zones[z];
        let cold: f32 =
            zone.cold.iter().map(|(at, fraction)| fraction * 0.6 * (1.0 - self.warmth(*at))).sum();
        zone.power * (zone.up - cold).max(0.0)
    }

    fn warmth(&self, since: Duration) -> f32 {
        ((self.now.saturating_sub(since)).as_secs_f32() / WARM.as_secs_f32()).min(1.0)
    }

    /// Sets the fraction of the zone's nodes that is up.
    pub fn set_up(&mut self, z: usize, up: f32) {
        let now = self.now;
        let zone = &mut self.zones[z];
        if up > zone.up {
            zone.cold.push((now, up - zone.up));
        } else {
            zone.cold.clear();
        }
        zone.up = up;
    }

    pub fn plan(&self, n: usize) -> Plan {
        self.instances[n].failover.as_ref().map(|c| c.plan(self.now)).unwrap_or_default()
    }

    pub fn parts(&self, z: usize) -> Vec<f32> {
        let all = (0..self.instances.len()).filter(|n| self.zone_of(*n) == z && self.instances[*n].alive);
        all.map(|n| self.plan(n).part).collect()
    }

    /// The most capacity left beside the zone's own clients during the last four seconds plus the datagram
    /// delay: all leases expire by then.
    pub fn recent_spare(&self, z: usize) -> f32 {
        self.spare_history[z].iter().copied().fold(0.0, f32::max)
    }

    /// What a zone's leaders have granted and is still valid: for each pair of marshals the largest grant.
    pub fn granted(&self, z: usize) -> f32 {
        let zone = |n: &MemberIndex| self.zone_of(usize::from(*n));
        let ours = self.grants.iter().filter(|((from, _), _)| zone(from) == z);
        let most = |all: &Vec<(f32, Duration)>| {
            all.iter().filter(|g| self.now < g.1).map(|g| g.0).fold(0.0, f32::max)
        };
        ours.map(|(_, all)| most(all)).sum()
    }

    /// Whether the marshal reports to no other and so leads its zone.
    pub fn leads(&self, n: usize) -> bool {
        self.instances[n].failover.as_ref().is_some_and(|c| c.parent_number().is_none())
    }

    pub fn stages(&self, z: usize) -> Vec<Stage> {
        let all = (0..self.instances.len()).filter(|n| self.zone_of(*n) == z && self.instances[*n].alive);
        all.map(|n| self.plan(n).stage).collect()
    }

    pub fn run(&mut self, span: Duration, mut check: impl FnMut(&Simulation)) {
        let end = self.now + span;
        while self.now < end {
            self.step();
            check(self);
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        while let Some(first) = self.in_transit.first_entry().filter(|m| m.key().0 <= now) {
            let (from, to, bytes) = first.remove();
            let marshal = &mut self.instances[usize::from(to)];
            if marshal.paused {
                marshal.waiting.push((from, bytes));
            } else if let Some(failover) = &mut marshal.failover {
                failover.receive(now, from, &bytes);
            }
        }
        self.flow();
        for n in 0..self.instances.len() {
            if self.instances[n].alive && !self.instances[n].paused && self.instances[n].next <= now {
                self.instances[n].next += TICK_INTERVAL;
                if self.arm == Arm::Coordinated {
                    self.tick(n);
                }
            }
        }
    }

    pub fn resume(&mut self, n: usize) {
        let now = self.now;
        let marshal = &mut self.instances[n];
        marshal.paused = false;
        marshal.next = now;
        let waiting = std::mem::take(&mut marshal.waiting);
        if let Some(failover) = &mut marshal.failover {
            waiting.into_iter().for_each(|(from, bytes)| failover.receive(now, from, &bytes));
        }
    }

    fn flow(&mut self) {
        let count = self.zones.len();
        let capacities: Vec<f32> = (0..count).map(|z| self.capacity(z)).collect();
        self.capacities.insert(self.now, capacities.clone());
        while self.capacities.first_key_value().is_some_and(|c| *c.0 + self.list_lag + STEP < self.now) {
            self.capacities.pop_first();
        }
        for z in 0..count {
            let zone = &mut self.zones[z];
            (zone.load, zone.foreign, zone.own) = (0.0, 0.0, 0.0);
        }
        for n in 0..self.instances.len() {
            let own_zone = self.zone_of(n);
            let plan = self.plan(n);
            let marshal = &mut self.instances[n];
            // A paused process sends nothing; the clients of a dead one are gone.
            let demand = if marshal.alive && !marshal.paused { marshal.demand } else { 0.0 };
            let mut left = demand * plan.part;
            marshal.sent.fill(0.0);
            let others = (count - 1) as f32;
            for z in (0..count).filter(|z| *z != own_zone) {
                marshal.sent[z] = match self.arm {
                    Arm::Coordinated => plan.rates.get(z).copied().unwrap_or(0.0).min(left),
                    Arm::Uncoordinated if marshal.answered_seen[own_zone] < 0.5 => demand / others,
                    Arm::Uncoordinated => 0.0,
                    Arm::Static => 0.2 * demand / others,
                };
                left -= marshal.sent[z];
            }
            // Traffic that is to leave but has no place is pushed back.
            left = if self.arm == Arm::Coordinated { left } else { 0.0 };
            marshal.sent[own_zone] = (demand - left - marshal.sent.iter().sum::<f32>()).max(0.0);
            for z in 0..count {
                self.zones[z].load += marshal.sent[z];
                if z == own_zone {
                    self.zones[z].own += marshal.sent[z];
                } else {
                    self.zones[z].foreign += marshal.sent[z];
                }
            }
        }
        for (z, capacity) in capacities.iter().enumerate() {
            let zone = &self.zones[z];
            let needed = zone.load * COST;
            let whole =
                if zone.silent || *capacity <= 0.0 { 0.0 } else { (capacity / needed.max(1e-6)).min(1.0) };
            let busy = if *capacity > 0.0 { (needed / capacity).min(1.0) } else { 1.0 };
            let (fast_gain, slow_gain) = (STEP.as_secs_f32() / 0.5, STEP.as_secs_f32() / 1.0);
            for marshal in self.instances.iter_mut().filter(|o| o.alive && !o.paused) {
                marshal.sent_seen[z] += slow_gain * (marshal.sent[z] - marshal.sent_seen[z]);
                if marshal.sent[z] > 0.0 {
                    if marshal.sent_seen[z] < 0.2 {
                        (marshal.busy_seen[z], marshal.answered_seen[z]) = (busy, whole);
                    }
                    marshal.busy_seen[z] += fast_gain * (busy - marshal.busy_seen[z]);
                    let seen = if marshal.bad_links { 0.1 } else { whole };
                    marshal.answered_seen[z] += fast_gain * (seen - marshal.answered_seen[z]);
                } else if self.arm == Arm::Uncoordinated && *capacity > 0.0 && !zone.silent {
                    marshal.answered_seen[z] = 1.0;
                }
            }
            let spare = (self.usable_capacity * capacity / COST - zone.own).max(0.0);
            self.spare_history[z].push_back(spare);
            let kept_steps = (secs(4) + self.delay[1]).as_millis() / STEP.as_millis();
            if self.spare_history[z].len() > kept_steps as usize {
                self.spare_history[z].pop_front();
            }
            self.served += f64::from(zone.load * whole) * STEP.as_secs_f64();
        }
        let demand: f32 = self.instances.iter().filter(|o| o.alive && !o.paused).map(|o| o.demand).sum();
        let all: f32 = (0..count).filter(|z| !self.zones[*z].silent).map(|z| capacities[z] / COST).sum();
        self.ideal += f64::from(demand.min(all)) * STEP.as_secs_f64();
        self.demanded += self.instances.iter().map(|o| f64::from(o.demand)).sum::<f64>() * STEP.as_secs_f64();
    }

    fn tick(&mut self, n: usize) {
        let (now, count, own_zone) = (self.now, self.zones.len(), self.zone_of(n));
        let listed = self.capacities.first_key_value().map(|c| c.1.clone()).unwrap_or_default();
        let marshal = &self.instances[n];
        let observation = |z: usize| {
            let seen = marshal.sent_seen[z] > 0.2;
            let overstatement = if z == own_zone { marshal.overstates } else { 1.0 };
            Observation {
                capacity: listed.get(z).copied().unwrap_or(0.0) * overstatement,
                cost: Some(COST),
                busy: seen.then_some(marshal.busy_seen[z] / overstatement),
                answered_fraction: seen.then_some(marshal.answered_seen[z]),
                sent: marshal.sent_seen[z],
            }
        };
        let snapshot = Snapshot { demand: marshal.demand, zones: (0..count).map(observation).collect() };
        for m in 0..self.instances.len() {
            let (a, b) = (n as MemberIndex, m as MemberIndex);
            if self.instances[m].alive && !self.instances[m].paused && !(self.cut)(a, b) && !(self.cut)(b, a)
            {
                self.last_heard.insert((a, b), now);
            }
        }
        let (last_heard, membership_delay) = (&self.last_heard, self.membership_delay);
        let present = |m: MemberIndex| {
            last_heard.get(&(n as MemberIndex, m)).is_some_and(|at| now < *at + membership_delay)
        };
        let Some(failover) = &mut self.instances[n].failover else { return };
        for out in failover.tick(now, &snapshot, &present) {
            match out {
                Out::Log(line) => self.log.push((now, n as MemberIndex, line)),
                Out::Send { to, bytes } => {
                    assert!(bytes.len() <= 1100, "{} bytes", bytes.len());
                    self.sent_bytes += bytes.len() as u64;
                    if let Some(Message::Grant { rate, valid, .. }) = Message::read(&bytes) {
                        let all = self.grants.entry((n as MemberIndex, to)).or_default();
                        all.retain(|g| now < g.1);
                        all.push((rate, now + ms(valid.into())));
                    }
                    let blocked =
                        (self.cut)(n as MemberIndex, to) || (self.unreachable)(n as MemberIndex, to);
                    if blocked || self.rng.random::<f64>() < self.loss {
                        continue;
                    }
                    let copies = 1 + u64::from(self.rng.random::<f64>() < self.duplication);
                    for _ in 0..copies {
                        let fraction: f64 = self.rng.random();
                        let delay = self.delay[0] + (self.delay[1] - self.delay[0]).mul_f64(fraction);
                        self.sent_count += 1;
                        self.in_transit
                            .insert((now + delay, self.sent_count), (n as MemberIndex, to, bytes.clone()));
                    }
                }
            }
        }
    }
}
