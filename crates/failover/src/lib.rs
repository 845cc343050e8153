//! Failover of traffic between zones, decided by the fleet as a whole; invariants and design reasons are in
//! `docs/failover.md`.
//!
//! The marshals of a zone report through the tree of their group to its leader ([`ivydrift_leases`]). The
//! leader decides which fraction of the zone's traffic leaves ([`controller`]) from what many marshals
//! observe ([`observation`]), and asks the leaders of other zones for spare capacity. Spare capacity is leased for
//! a short time and by votes: each marshal gives its vote, and with it its share of its zone's spare
//! capacity, to one leader at a time, so that leaders which do not know of each other never lease the same
//! capacity twice. What was leased goes down the tree as leases.
//!
//! The crate uses no socket, clock or thread, and never compares the clocks of two machines.
#![forbid(unsafe_code)]

pub mod controller;
pub mod message;
pub mod observation;

use std::collections::BTreeMap;
use std::time::Duration;

use controller::{Controller, Stage};
use ivydrift_leases::ledger::Ledger;
use ivydrift_leases::{order::order, timed_out, Place, Tree, GRANT_TERM, LEASE_TERM, REPORT_LIFETIME};
pub use ivydrift_leases::{MemberIndex, FAN_OUT, TICK_INTERVAL};
use message::{Instruction, Message, ZoneReport, MAX_ZONES};
use observation::{AggregatedObservation, Observation};

/// Fraction of a zone's capacity that its own clients may use, and up to which spare capacity is leased to
/// others.
const UTILIZATION_LIMITS: [f32; 2] = [0.85, 0.8];
/// Fraction of a zone's capacity that is used before any RPC sent there has been answered.
const INITIAL_UTILIZATION: f32 = 0.25;
/// Far zones are asked once near ones have left this fraction of the demand unplaced for this long.
const ASK_FAR: (f32, Duration) = (0.02, Duration::from_millis(750));

/// A marshal's place in the fleet.
#[derive(Clone, Debug)]
pub struct Site {
    /// This marshal.
    pub me: MemberIndex,
    /// Grows from start to start.
    pub life: u64,
    /// The zone of this marshal.
    pub zone: usize,
    /// The configured marshals of each zone, the dead included.
    pub marshals: Vec<Vec<MemberIndex>>,
    /// Distance from this zone to each: 0 itself, 1 in the same region, 2 farther.
    pub distance: Vec<u8>,
    /// Warm-up time of a cold node.
    pub warm: Duration,
    /// Maximum number of marshals that report directly to one; [`FAN_OUT`] except in tests of deep trees.
    pub fan_out: usize,
}

/// A marshal's observations at a tick.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// RPCs per second from its clients.
    pub demand: f32,
    /// Its observation of each zone.
    pub zones: Vec<Observation>,
}

/// An action that [`Failover`] requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// A datagram to send.
    Send { to: MemberIndex, bytes: Vec<u8> },
    /// A log line about a stage change, with its reason.
    Log(String),
}

/// What this marshal may do now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Failover stage of the zone.
    pub stage: Stage,
    /// Fraction of the zone's traffic that is to leave it.
    pub part: f32,
    /// RPCs per second that this marshal may send to each other zone.
    pub rates: Vec<f32>,
}

/// The leader of another zone that we ask for spare capacity.
#[derive(Default)]
struct Source {
    /// The marshal that we ask, and since when.
    asked: Option<(MemberIndex, Duration)>,
    /// When it last answered.
    heard_at: Option<Duration>,
    version: u32,
    rate: f32,
    until: Duration,
    /// The lease version that our subtree keeps to.
    holds: u32,
}

/// The leader of another zone that asks us.
struct Requester {
    zone: usize,
    life: u32,
    stamp: u64,
    wish: f32,
    using: f32,
    seen: Duration,
}

/// One marshal's part in the failover of its zone.
pub struct Failover {
    site: Site,
    /// The tree of our zone's marshals, this one included; each zone is a resource of its leases.
    tree: Tree<ZoneReport, Instruction>,
    /// The marshals of each zone in the order that all agree on.
    order: Vec<Vec<MemberIndex>>,
    /// Failover state of our zone, while we lead it.
    controller: Controller,
    sources: Vec<Source>,
    /// Since when near zones have left demand unplaced.
    unplaced_since: Option<Duration>,
    requesters: BTreeMap<MemberIndex, Requester>,
    /// What we leased to other zones' leaders.
    ledger: Ledger,
    out: Vec<Out>,
}

fn ms(span: Duration) -> u64 {
    span.as_millis() as u64
}

impl Failover {
    /// `None` if there is only one zone, if there are more than [`MAX_ZONES`], or if the configuration does not
    /// place this marshal.
    pub fn new(site: Site, now: Duration) -> Option<Self> {
        let zones = site.marshals.len();
        let known = site.marshals.get(site.zone)?.contains(&site.me) && site.distance.len() == zones;
        if !known || !(2..=MAX_ZONES).contains(&zones) {
            return None;
        }
        let place = Place {
            me: site.me,
            life: site.life as u32,
            group: site.zone as u64,
            marshals: site.marshals[site.zone].clone(),
            fan_out: site.fan_out,
            resources: zones,
        };
        Some(Failover {
            tree: Tree::new(place, now)?,
            order: site.marshals.iter().enumerate().map(|(zone, all)| order(zone as u64, all)).collect(),
            controller: Controller::default(),
            sources: (0..zones).map(|_| Source::default()).collect(),
            unplaced_since: None,
            requesters: BTreeMap::new(),
            ledger: Ledger::default(),
            out: Vec::new(),
            site,
        })
    }

    fn life(&self) -> u32 {
        self.tree.life()
    }

    /// What this marshal may do now: `part` of its RPCs leave as far as `rates` allow, and the rest of that
    /// part is pushed back. Once the last plan is too old, all traffic stays local.
    pub fn plan(&self, now: Duration) -> Plan {
        let rates = self.tree.own(now);
        let (stage, part) = match (self.tree.parent_number(), self.tree.instruction(now)) {
            (None, _) => (self.controller.stage, self.controller.part),
            (_, Some(instruction)) => (message::decode_stage(instruction.stage), instruction.part),
            (_, None) => (Stage::Near, 0.0),
        };
        Plan { stage, part, rates }
    }

    /// The marshal that this one reports to; `None` if it is its zone's leader as far as it knows.
    pub fn parent_number(&self) -> Option<MemberIndex> {
        self.tree.parent_number()
    }

    /// Advances the state; to be called every [`TICK_INTERVAL`]. `present`: whether membership sees a marshal
    /// as up.
    pub fn tick(
        &mut self, now: Duration, snapshot: &Snapshot, present: &dyn Fn(MemberIndex) -> bool,
    ) -> Vec<Out> {
        self.requesters.retain(|_, requester| now < requester.seen + REPORT_LIFETIME);
        self.ledger.expire(now);
        let outcome = self.tree.tick(now, present);
        if outcome.became_leader {
            // A new leader continues from the zone's current stage.
            let instruction = self.tree.last_instruction();
            (self.controller.stage, self.controller.part) =
                (message::decode_stage(instruction.stage), instruction.part);
        }
        let zones = self.order.len();
        let observation = |z: usize| snapshot.zones.get(z).copied().unwrap_or_default();
        let mut observations: Vec<AggregatedObservation> =
            (0..zones).map(|z| AggregatedObservation::of(&observation(z))).collect();
        let mut demand = snapshot.demand.max(0.0);
        for report in self.tree.child_reports(now) {
            demand += report.demand;
            observations.iter_mut().zip(&report.sights).for_each(|(merged, child)| merged.add(child));
        }
        if outcome.parent.is_none() {
            self.decide(now, demand, &observations, present);
        } else if let Some((to, up)) = self.tree.report(now, ZoneReport { demand, sights: observations }) {
            self.send(to, Message::Up(up));
        }
        for (to, down) in self.tree.lease_out(now, snapshot.demand.max(0.0), |report| report.demand) {
            self.send(to, Message::Down(down));
        }
        std::mem::take(&mut self.out)
    }

    // ---- leader ----

    fn decide(
        &mut self, now: Duration, demand: f32, observations: &[AggregatedObservation],
        present: &dyn Fn(MemberIndex) -> bool,
    ) {
        let own_zone = observations[self.site.zone];
        let sustainable = own_zone.sustainable_rate(UTILIZATION_LIMITS[0]);
        let before = self.controller.stage;
        if let Some(sustainable) = sustainable {
            self.controller.step(now, demand, sustainable, self.site.warm);
        }
        let stage = self.controller.stage;
        if stage != before {
            let (from, to, part) = (before.word(), stage.word(), 100.0 * self.controller.part);
            let (sustainable, seen) = (sustainable.unwrap_or(0.0), own_zone.answered().unwrap_or(1.0));
            self.out.push(Out::Log(format!(
                "zone {}: {from} to {to}, {part:.0}% of traffic to leave: demand {demand:.1} RPCs/s, its nodes \
                 can take {sustainable:.1}, {:.0}% of picks answered as observed by {} marshals",
                self.site.zone,
                100.0 * seen,
                own_zone.observers(),
            )));
        }
        self.request_capacity(now, demand, observations, present);
        self.grant_capacity(now, demand, &own_zone);
    }

    /// Asks other zones for spare capacity, near ones first, and uses what they granted as far as we observe
    /// spare capacity there ourselves.
    fn request_capacity(
        &mut self, now: Duration, demand: f32, observations: &[AggregatedObservation],
        present: &dyn Fn(MemberIndex) -> bool,
    ) {
        let zones = self.order.len();
        let mut other_zones: Vec<usize> = (0..zones).filter(|z| *z != self.site.zone).collect();
        other_zones.sort_by_key(|z| self.site.distance[*z]);
        let want = demand * self.controller.part;
        // A zone that by mistake reports ten times its spare capacity is believed only up to what we observe.
        let usable = |z: usize| {
            // Until the first of our RPCs has been answered there, go by the node list and start low.
            let first = observations[z].sustainable_rate(INITIAL_UTILIZATION).unwrap_or(0.0);
            let seen = observations[z]
                .spare_rate(UTILIZATION_LIMITS[0])
                .map_or(first, |spare| observations[z].sent + spare.max(0.0));
            let source = &self.sources[z];
            if now < source.until {
                source.rate.min(seen)
            } else {
                0.0
            }
        };
        let (mut unplaced, mut rates, mut until) = (want, vec![0.0; zones], now + LEASE_TERM);
        for far in 1..=2 {
            // Zones at the same distance take equal fractions of what they granted.
            let equidistant: Vec<usize> =
                other_zones.iter().copied().filter(|z| self.site.distance[*z] == far).collect();
            let granted: f32 = equidistant.iter().map(|z| usable(*z)).sum();
            let part = if granted > unplaced { unplaced / granted } else { 1.0 };
            for z in equidistant {
                rates[z] = part * usable(z);
                if rates[z] > 0.0 {
                    until = until.min(self.sources[z].until);
                }
            }
            unplaced = (unplaced - part * granted).max(0.0);
        }
        if unplaced <= ASK_FAR.0 * demand {
            self.unplaced_since = None;
        } else if self.unplaced_since.is_none() {
            self.unplaced_since = Some(now);
        }
        let ask_far = self.unplaced_since.is_some_and(|since| now >= since + ASK_FAR.1);
        let instruction =
            Instruction { stage: message::encode_stage(self.controller.stage), part: self.controller.part };
        self.tree.set_lease(rates.clone(), until, instruction);
        for &z in &other_zones {
            let near = self.site.distance[z] <= 1;
            let wish = rates[z] + if near || ask_far { unplaced } else { 0.0 };
            let fits = self.tree.within_lease(z);
            let source = &mut self.sources[z];
            if fits {
                source.holds = source.version;
            }
            if wish <= 0.0 && source.rate <= 0.0 {
                source.asked = None;
                continue;
            }
            if let Some((number, since)) = source.asked {
                if timed_out(now, since, source.heard_at) {
                    self.tree.skip(now, number);
                }
            }
            let fits = |n: &&MemberIndex| present(**n) && !self.tree.is_skipped(**n);
            let Some(&to) = self.order[z].iter().find(fits) else { continue };
            if source.asked.is_none_or(|addressee| addressee.0 != to) {
                // Another leader grants now: the earlier grant expires by itself and is not used beside it.
                (source.asked, source.heard_at) = (Some((to, now)), None);
                (source.version, source.holds) = (0, 0);
            }
            let (life, stamp, zone, holds) = (self.tree.life(), ms(now), self.site.zone as u16, source.holds);
            let using = observations[z].sent;
            self.send(to, Message::Ask { life, stamp, zone, wish, using, holds });
        }
    }

    /// Leases our zone's spare capacity to the leaders that ask: what they already use, and of the remainder
    /// the share that our votes are of all the zone's marshals.
    fn grant_capacity(&mut self, now: Duration, demand: f32, own_zone: &AggregatedObservation) {
        if self.requesters.is_empty() {
            return;
        }
        let vote_share = self.tree.lend_by_votes(now);
        let using: f32 =
            self.requesters.iter().map(|(n, requester)| requester.using.min(self.ledger.max_rate(*n))).sum();
        // Our own clients whose traffic is away come first.
        let displaced = demand * self.controller.part;
        let spare = own_zone.spare_rate(UTILIZATION_LIMITS[1]).map_or(f32::MIN, |spare| spare - displaced);
        let total = if spare == f32::MIN {
            0.0
        } else if spare < 0.0 || self.controller.stage == Stage::Out {
            (using + spare.min(0.0)).max(0.0)
        } else {
            using + vote_share * spare
        };
        // Never more than the remaining nodes bear beside our own traffic: nodes that are gone do not count
        // as busy.
        let total = total
            .min((own_zone.sustainable_rate(UTILIZATION_LIMITS[1]).unwrap_or(0.0) - own_zone.sent).max(0.0));
        // Near zones first; at equal distance the smaller wish first, each up to an equal share of the
        // remainder.
        let mut order: Vec<MemberIndex> = self.requesters.keys().copied().collect();
        let key = |n: &MemberIndex| {
            let requester = &self.requesters[n];
            (self.site.distance[requester.zone], requester.wish)
        };
        order.sort_by(|a, b| key(a).0.cmp(&key(b).0).then(key(a).1.total_cmp(&key(b).1)));
        let (mut unplaced, mut wishes) = (total, Vec::new());
        for (i, number) in order.iter().enumerate() {
            let requester = &self.requesters[number];
            let peers = order[i..].iter().filter(|n| key(n).0 == key(number).0).count().max(1);
            let wish = requester.wish.min(unplaced / peers as f32).max(0.0);
            unplaced = (unplaced - wish).max(0.0);
            wishes.push((*number, wish));
        }
        let rates = self.ledger.lend(now, self.tree.version(), &wishes, total, now + GRANT_TERM);
        for ((to, _), rate) in wishes.into_iter().zip(rates) {
            let requester = &self.requesters[&to];
            let (echo, of, zone) = (requester.stamp, requester.life, self.site.zone as u16);
            let (version, valid) = (self.tree.version(), ms(GRANT_TERM) as u32);
            self.send(to, Message::Grant { echo, of, zone, version, rate, valid });
        }
    }

    // ---- received messages ----

    /// Handles a datagram from another marshal; a malformed one is ignored.
    pub fn receive(&mut self, now: Duration, from: MemberIndex, bytes: &[u8]) {
        let Some(message) = Message::read(bytes) else { return };
        let at = |stamp: u64, span: u32| Duration::from_millis(stamp.saturating_add(span.into()));
        let zones = self.order.len();
        match message {
            Message::Up(up) => {
                if up.body.sights.len() == zones {
                    self.tree.receive_report(now, from, up);
                }
            }
            Message::Down(down) => self.tree.receive_lease(now, from, down),
            Message::Ask { life, stamp, zone, wish, using, holds } => {
                let zone = usize::from(zone);
                let valid_zone =
                    zone != self.site.zone && self.order.get(zone).is_some_and(|o| o.contains(&from));
                let newer = self
                    .requesters
                    .get(&from)
                    .is_none_or(|requester| requester.life != life || requester.stamp < stamp);
                if valid_zone && newer && self.parent_number().is_none() {
                    self.ledger.confirm(from, holds);
                    self.requesters.insert(from, Requester { zone, life, stamp, wish, using, seen: now });
                }
            }
            Message::Grant { echo, of, zone, version, rate, valid } => {
                let zone = usize::from(zone);
                let leading = self.parent_number().is_none() && of == self.life();
                let Some(source) = self.sources.get_mut(zone) else { return };
                let asked = source.asked.is_some_and(|addressee| addressee.0 == from);
                if asked && leading && ms(now) >= echo {
                    source.heard_at = Some(now);
                    if version > source.version {
                        (source.version, source.rate, source.until) = (version, rate, at(echo, valid));
                    }
                }
            }
        }
    }

    fn send(&mut self, to: MemberIndex, message: Message) {
        self.out.push(Out::Send { to, bytes: message.write() });
    }
}
