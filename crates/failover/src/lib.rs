//! Failover of traffic between zones, decided by the fleet as a whole; invariants and design reasons are in
//! `docs/failover.md`.
//!
//! The marshals of a zone report through the tree of their group to its leader ([`ivydrift_leases`]). The
//! leader decides which fraction of the zone's traffic leaves ([`course`]) from what many marshals observe
//! ([`sight`]), and asks the leaders of other zones for spare capacity. Spare capacity is leased for a short
//! time and by votes: each marshal gives its vote, and with it its share of its zone's spare capacity, to one
//! leader at a time, so that leaders which do not know of each other never lease the same capacity twice.
//! What was leased goes down the tree as leases.
//!
//! The crate uses no socket, clock or thread, and never compares the clocks of two machines.
#![forbid(unsafe_code)]

pub mod course;
pub mod message;
pub mod sight;

use std::collections::BTreeMap;
use std::time::Duration;

use course::{Course, Stage};
use ivydrift_leases::ledger::Ledger;
use ivydrift_leases::{order::order, silent, Place, Tree, FRESH, GRANT, LEASE};
pub use ivydrift_leases::{Number, BEAT, FAN};
use message::{Message, Move, Told, ZONES};
use sight::{Sight, Sights};

/// Fraction of a zone's capacity that its own clients may use, and up to which spare capacity is leased to
/// others.
const BEARS: [f32; 2] = [0.85, 0.8];
/// Fraction of a zone's capacity that is used before any RPC sent there has been answered.
const UNSEEN: f32 = 0.25;
/// Far zones are asked once near ones have left this fraction of the demand unplaced for this long.
const LACKING: (f32, Duration) = (0.02, Duration::from_millis(750));

/// A marshal's place in the fleet.
#[derive(Clone, Debug)]
pub struct Site {
    pub me: Number,
    /// Grows from start to start.
    pub life: u64,
    /// The zone of this marshal.
    pub zone: usize,
    /// The configured marshals of each zone, the dead included.
    pub marshals: Vec<Vec<Number>>,
    /// Distance from this zone to each: 0 itself, 1 in the same region, 2 farther.
    pub distance: Vec<u8>,
    /// Warm-up time of a cold node.
    pub warm: Duration,
    /// Maximum number of marshals that report directly to one; [`FAN`] except in tests of deep trees.
    pub fan: usize,
}

/// A marshal's observations at a tick.
#[derive(Clone, Debug, Default)]
pub struct Look {
    /// RPCs per second from its clients.
    pub demand: f32,
    /// Its observation of each zone.
    pub zones: Vec<Sight>,
}

/// An action that [`Failover`] requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// A datagram to send.
    Send { to: Number, bytes: Vec<u8> },
    /// A log line about a stage change, with its reason.
    Said(String),
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
    asked: Option<(Number, Duration)>,
    /// When it last answered.
    heard: Option<Duration>,
    version: u32,
    rate: f32,
    until: Duration,
    /// The lease version that our subtree keeps to.
    holds: u32,
}

/// The leader of another zone that asks us.
struct Asker {
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
    tree: Tree<Told, Move>,
    /// The marshals of each zone in the order that all agree on.
    order: Vec<Vec<Number>>,
    /// Failover state of our zone, while we lead it.
    course: Course,
    sources: Vec<Source>,
    /// Since when near zones have left demand unplaced.
    lacking: Option<Duration>,
    askers: BTreeMap<Number, Asker>,
    /// What we leased to other zones' leaders.
    lent: Ledger,
    out: Vec<Out>,
}

fn ms(span: Duration) -> u64 {
    span.as_millis() as u64
}

impl Failover {
    /// `None` if there is only one zone, if there are more than [`ZONES`], or if the configuration does not
    /// place this marshal.
    pub fn new(site: Site, now: Duration) -> Option<Self> {
        let zones = site.marshals.len();
        let known = site.marshals.get(site.zone)?.contains(&site.me) && site.distance.len() == zones;
        if !known || !(2..=ZONES).contains(&zones) {
            return None;
        }
        let place = Place {
            me: site.me,
            life: site.life as u32,
            group: site.zone as u64,
            marshals: site.marshals[site.zone].clone(),
            fan: site.fan,
            lots: zones,
        };
        Some(Failover {
            tree: Tree::new(place, now)?,
            order: site.marshals.iter().enumerate().map(|(zone, all)| order(zone as u64, all)).collect(),
            course: Course::default(),
            sources: (0..zones).map(|_| Source::default()).collect(),
            lacking: None,
            askers: BTreeMap::new(),
            lent: Ledger::default(),
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
        let (stage, part) = match (self.tree.speaks_to(), self.tree.told(now)) {
            (None, _) => (self.course.stage, self.course.part),
            (_, Some(told)) => (message::stage(told.stage), told.part),
            (_, None) => (Stage::Near, 0.0),
        };
        Plan { stage, part, rates }
    }

    /// The marshal that this one reports to; `None` if it is its zone's leader as far as it knows.
    pub fn speaks_to(&self) -> Option<Number> {
        self.tree.speaks_to()
    }

    /// Advances the state; to be called every [`BEAT`]. `present`: whether membership sees a marshal as up.
    pub fn beat(&mut self, now: Duration, look: &Look, present: &dyn Fn(Number) -> bool) -> Vec<Out> {
        self.askers.retain(|_, a| now < a.seen + FRESH);
        self.lent.tidy(now);
        let turn = self.tree.beat(now, present);
        if turn.took_over {
            // A new leader continues from the zone's current stage.
            let told = self.tree.last_told();
            (self.course.stage, self.course.part) = (message::stage(told.stage), told.part);
        }
        let zones = self.order.len();
        let sight = |z: usize| look.zones.get(z).copied().unwrap_or_default();
        let mut sights: Vec<Sights> = (0..zones).map(|z| Sights::of(&sight(z))).collect();
        let mut demand = look.demand.max(0.0);
        for told in self.tree.below(now) {
            demand += told.demand;
            sights.iter_mut().zip(&told.sights).for_each(|(a, b)| a.add(b));
        }
        if turn.to.is_none() {
            self.decide(now, demand, &sights, present);
        } else if let Some((to, up)) = self.tree.up(now, Told { demand, sights }) {
            self.send(to, Message::Up(up));
        }
        for (to, down) in self.tree.share(now, look.demand.max(0.0), |told| told.demand) {
            self.send(to, Message::Down(down));
        }
        std::mem::take(&mut self.out)
    }

    // ---- leader
    // ----------------------------------------------------------------------------------------------

    fn decide(&mut self, now: Duration, demand: f32, sights: &[Sights], present: &dyn Fn(Number) -> bool) {
        let home = sights[self.site.zone];
        let bears = home.bears(BEARS[0]);
        let before = self.course.stage;
        if let Some(bears) = bears {
            self.course.step(now, demand, bears, self.site.warm);
        }
        let stage = self.course.stage;
        if stage != before {
            let (from, to, part) = (before.word(), stage.word(), 100.0 * self.course.part);
            let (bears, seen) = (bears.unwrap_or(0.0), home.whole().unwrap_or(1.0));
            self.out.push(Out::Said(format!(
                "zone {}: {from} to {to}, {part:.0}% of traffic to leave: demand {demand:.1} RPCs/s, its nodes \
                 can take {bears:.1}, {:.0}% of picks answered as observed by {} marshals",
                self.site.zone,
                100.0 * seen,
                home.witnesses(),
            )));
        }
        self.seek(now, demand, sights, present);
        self.grant(now, demand, &home);
    }

    /// Asks other zones for spare capacity, near ones first, and uses what they granted as far as we observe
    /// spare capacity there ourselves.
    fn seek(&mut self, now: Duration, demand: f32, sights: &[Sights], present: &dyn Fn(Number) -> bool) {
        let zones = self.order.len();
        let mut byway: Vec<usize> = (0..zones).filter(|z| *z != self.site.zone).collect();
        byway.sort_by_key(|z| self.site.distance[*z]);
        let want = demand * self.course.part;
        // A zone that by mistake reports ten times its spare capacity is believed only up to what we observe.
        let believed = |z: usize| {
            // Until the first of our RPCs has been answered there, go by the node list and start low.
            let first = sights[z].bears(UNSEEN).unwrap_or(0.0);
            let seen = sights[z].room(BEARS[0]).map_or(first, |room| sights[z].sent + room.max(0.0));
            let source = &self.sources[z];
            if now < source.until {
                source.rate.min(seen)
            } else {
                0.0
            }
        };
        let (mut left, mut rates, mut until) = (want, vec![0.0; zones], now + LEASE);
        for far in 1..=2 {
            // Zones at the same distance take equal fractions of what they granted.
            let like: Vec<usize> = byway.iter().copied().filter(|z| self.site.distance[*z] == far).collect();
            let given: f32 = like.iter().map(|z| believed(*z)).sum();
            let part = if given > left { left / given } else { 1.0 };
            for z in like {
                rates[z] = part * believed(z);
                if rates[z] > 0.0 {
                    until = until.min(self.sources[z].until);
                }
            }
            left = (left - part * given).max(0.0);
        }
        if left <= LACKING.0 * demand {
            self.lacking = None;
        } else if self.lacking.is_none() {
            self.lacking = Some(now);
        }
        let far_too = self.lacking.is_some_and(|since| now >= since + LACKING.1);
        let told = Move { stage: message::code(self.course.stage), part: self.course.part };
        self.tree.hold(rates.clone(), until, told);
        for &z in &byway {
            let near = self.site.distance[z] <= 1;
            let wish = rates[z] + if near || far_too { left } else { 0.0 };
            let fits = self.tree.fits(z);
            let source = &mut self.sources[z];
            if fits {
                source.holds = source.version;
            }
            if wish <= 0.0 && source.rate <= 0.0 {
                source.asked = None;
                continue;
            }
            if let Some((number, since)) = source.asked {
                if silent(now, since, source.heard) {
                    self.tree.pass_over(now, number);
                }
            }
            let fits = |n: &&Number| present(**n) && !self.tree.is_passed_over(**n);
            let Some(&to) = self.order[z].iter().find(fits) else { continue };
            if source.asked.is_none_or(|a| a.0 != to) {
                // Another leader grants now: the earlier grant expires by itself and is not used beside it.
                (source.asked, source.heard) = (Some((to, now)), None);
                (source.version, source.holds) = (0, 0);
            }
            let (life, stamp, zone, holds) = (self.tree.life(), ms(now), self.site.zone as u16, source.holds);
            let using = sights[z].sent;
            self.send(to, Message::Ask { life, stamp, zone, wish, using, holds });
        }
    }

    /// Leases our zone's spare capacity to the leaders that ask: what they already use, and of the remainder
    /// the share that our votes are of all the zone's marshals.
    fn grant(&mut self, now: Duration, demand: f32, home: &Sights) {
        if self.askers.is_empty() {
            return;
        }
        let weight = self.tree.lend_by_voices(now);
        let using: f32 = self.askers.iter().map(|(n, a)| a.using.min(self.lent.held(*n))).sum();
        // Our own clients whose traffic is away come first.
        let away = demand * self.course.part;
        let room = home.room(BEARS[1]).map_or(f32::MIN, |room| room - away);
        let total = if room == f32::MIN {
            0.0
        } else if room < 0.0 || self.course.stage == Stage::Out {
            (using + room.min(0.0)).max(0.0)
        } else {
            using + weight * room
        };
        // Never more than the remaining nodes bear beside our own traffic: nodes that are gone do not count
        // as busy.
        let total = total.min((home.bears(BEARS[1]).unwrap_or(0.0) - home.sent).max(0.0));
        // Near zones first; at equal distance the smaller wish first, each up to an equal share of the
        // remainder.
        let mut order: Vec<Number> = self.askers.keys().copied().collect();
        let key = |n: &Number| {
            let a = &self.askers[n];
            (self.site.distance[a.zone], a.wish)
        };
        order.sort_by(|a, b| key(a).0.cmp(&key(b).0).then(key(a).1.total_cmp(&key(b).1)));
        let (mut left, mut wishes) = (total, Vec::new());
        for (i, number) in order.iter().enumerate() {
            let a = &self.askers[number];
            let peers = order[i..].iter().filter(|n| key(n).0 == key(number).0).count().max(1);
            let wish = a.wish.min(left / peers as f32).max(0.0);
            left = (left - wish).max(0.0);
            wishes.push((*number, wish));
        }
        let rates = self.lent.lend(now, self.tree.version(), &wishes, total, now + GRANT);
        for ((to, _), rate) in wishes.into_iter().zip(rates) {
            let a = &self.askers[&to];
            let (echo, of, zone) = (a.stamp, a.life, self.site.zone as u16);
            let (version, valid) = (self.tree.version(), ms(GRANT) as u32);
            self.send(to, Message::Grant { echo, of, zone, version, rate, valid });
        }
    }

    // ---- received messages
    // -----------------------------------------------------------------------------------

    /// Handles a datagram from another marshal; a malformed one is ignored.
    pub fn hear(&mut self, now: Duration, from: Number, bytes: &[u8]) {
        let Some(message) = Message::read(bytes) else { return };
        let at = |stamp: u64, span: u32| Duration::from_millis(stamp.saturating_add(span.into()));
        let zones = self.order.len();
        match message {
            Message::Up(up) => {
                if up.body.sights.len() == zones {
                    self.tree.hear_up(now, from, up);
                }
            }
            Message::Down(down) => self.tree.hear_down(now, from, down),
            Message::Ask { life, stamp, zone, wish, using, holds } => {
                let zone = usize::from(zone);
                let theirs =
                    zone != self.site.zone && self.order.get(zone).is_some_and(|o| o.contains(&from));
                let newer = self.askers.get(&from).is_none_or(|a| a.life != life || a.stamp < stamp);
                if theirs && newer && self.speaks_to().is_none() {
                    self.lent.confirm(from, holds);
                    self.askers.insert(from, Asker { zone, life, stamp, wish, using, seen: now });
                }
            }
            Message::Grant { echo, of, zone, version, rate, valid } => {
                let zone = usize::from(zone);
                let steward = self.speaks_to().is_none() && of == self.life();
                let Some(source) = self.sources.get_mut(zone) else { return };
                let asked = source.asked.is_some_and(|a| a.0 == from);
                if asked && steward && ms(now) >= echo {
                    source.heard = Some(now);
                    if version > source.version {
                        (source.version, source.rate, source.until) = (version, rate, at(echo, valid));
                    }
                }
            }
        }
    }

    fn send(&mut self, to: Number, message: Message) {
        self.out.push(Out::Send { to, bytes: message.write() });
    }
}
