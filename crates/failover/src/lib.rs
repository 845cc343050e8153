//! Moves of traffic between zones as decisions of the fleet; the laws and the reasons are in `docs/failover.md`.
//!
//! The marshals of a zone speak through a tree to one of them, its steward for now. The steward decides how far
//! the zone's traffic leaves ([`course`]) by what many marshals see ([`sight`]), and asks the stewards of other
//! zones for room. Room is lent for a short time and by voices: each marshal gives its voice, and with it its part
//! of its zone's room, to one steward at a time, so that stewards which do not know of one another never lend the
//! same room twice. What was lent goes down the tree as leases by [`ledger`]s.
//!
//! No socket, clock or thread, and no clock of one machine is compared with another's.
#![forbid(unsafe_code)]

pub mod course;
pub mod ledger;
pub mod message;
pub mod sight;

use std::collections::BTreeMap;
use std::time::Duration;

use course::{Course, Stage};
use ledger::Ledger;
use message::{Message, ZONES};
use sight::{Sight, Sights};

/// A marshal, by its place in the terms.
pub type Number = u16;

/// Everybody speaks this often.
pub const BEAT: Duration = Duration::from_millis(250);
/// Who speaks through one marshal directly at most, where nothing else is told: what one sends a beat does not grow
/// with the fleet.
pub const FAN: usize = 16;
/// How long a zone's grant, and a lease within a zone, holds at most.
const GRANT: Duration = Duration::from_millis(2500);
const LEASE: Duration = Duration::from_millis(2000);
/// A marshal that hears no more of its zone's move keeps to its part for so long, but sends nothing by it.
const KEPT: Duration = Duration::from_millis(3000);
/// For how long a voice is given beside the steward, and how much longer with each step away from it.
const PROMISE: [Duration; 2] = [Duration::from_millis(3500), Duration::from_millis(1000)];
/// Longer than any promise of an earlier life.
const NEWBORN: Duration = Duration::from_secs(7);
/// Who has not answered for so long is passed over, for so long.
const SILENT: [Duration; 2] = [Duration::from_millis(1100), Duration::from_secs(10)];
/// What a marshal last said counts for so long.
const FRESH: Duration = Duration::from_millis(1100);
/// The part of a zone's capacity that is used for its own clients, and up to which room is lent to others.
const BEARS: [f32; 2] = [0.85, 0.8];
/// The part of a zone's capacity that is sent there before any of it has been answered.
const UNSEEN: f32 = 0.25;
/// Far zones are asked once near ones have left so much of the demand without a place, for so long.
const LACKING: (f32, Duration) = (0.02, Duration::from_millis(750));

/// What a marshal is told of its place.
#[derive(Clone, Debug)]
pub struct Site {
    pub me: Number,
    /// Grows from start to start.
    pub life: u64,
    pub zone: usize,
    /// The marshals of each zone, by the terms: the dead among them too.
    pub marshals: Vec<Vec<Number>>,
    /// Steps from this zone to each: 0 itself, 1 in its region, 2 farther.
    pub distance: Vec<u8>,
    /// How long a cold node takes to be warm.
    pub warm: Duration,
    /// Who speaks through one marshal directly at most; [`FAN`] but for tests of deep trees.
    pub fan: usize,
}

/// What a marshal sees at a beat.
#[derive(Clone, Debug, Default)]
pub struct Look {
    /// RPCs a second that its clients bring.
    pub demand: f32,
    pub zones: Vec<Sight>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    Send {
        to: Number,
        bytes: Vec<u8>,
    },
    /// For the log: a change of the move, with its reason.
    Said(String),
}

/// What this marshal may do now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    pub stage: Stage,
    /// The part of the zone's traffic that is to leave it.
    pub part: f32,
    /// RPCs a second that this marshal may send to each other zone.
    pub rates: Vec<f32>,
}

/// A lease that we hold, ourselves and for those who speak through us.
#[derive(Clone, Debug, Default)]
struct Held {
    of: u32,
    version: u32,
    rates: Vec<f32>,
    until: Duration,
    stage: Stage,
    part: f32,
}

struct Parent {
    number: Number,
    /// Its latest stamp, and its life.
    nonce: u64,
    life: u32,
    since: Duration,
    heard: Option<Duration>,
}

struct Child {
    life: u32,
    stamp: u64,
    seen: Duration,
    /// Until when its voices are ours.
    ours: Duration,
    voices: u16,
    demand: f32,
    sights: Vec<Sights>,
}

/// A steward that we ask for room.
#[derive(Default)]
struct Source {
    asked: Option<(Number, Duration)>,
    heard: Option<Duration>,
    version: u32,
    rate: f32,
    until: Duration,
    /// The version that those who speak through us use at most.
    holds: u32,
}

/// A steward that asks us.
struct Asker {
    zone: usize,
    life: u32,
    stamp: u64,
    wish: f32,
    using: f32,
    seen: Duration,
}

pub struct Failover {
    site: Site,
    /// The marshals of each zone in the order that all agree on.
    order: Vec<Vec<Number>>,
    begun: Duration,
    version: u32,
    parent: Option<Parent>,
    /// Our voice, and those that we passed on, are given to this one until then; we ourselves may be it.
    promised: (Number, Duration),
    passed_over: BTreeMap<Number, Duration>,
    children: BTreeMap<Number, Child>,
    held: Held,
    /// The version of `held` that all behind us keep to, and of which life of the lender.
    holds: (u32, u32),
    /// What we lent within the zone, by zone that it is for.
    ledgers: Vec<Ledger>,
    own: (Vec<f32>, Duration),
    course: Course,
    sources: Vec<Source>,
    lacking: Option<Duration>,
    askers: BTreeMap<Number, Asker>,
    lent: Ledger,
    out: Vec<Out>,
}

/// The same at every marshal; spreads stewards over the numbers.
fn lot(zone: usize, number: Number) -> u64 {
    let mut x = (zone as u64) << 32 ^ u64::from(number) ^ 0x9e37_79b9_7f4a_7c15;
    for _ in 0..3 {
        x = (x ^ x >> 31).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    }
    x ^ x >> 29
}

fn ms(span: Duration) -> u64 {
    span.as_millis() as u64
}

impl Failover {
    /// None where there is but one zone, more than [`ZONES`], or the terms do not say where this marshal is.
    pub fn new(site: Site, now: Duration) -> Option<Self> {
        let zones = site.marshals.len();
        let known = site.marshals.get(site.zone)?.contains(&site.me) && site.distance.len() == zones;
        if !known || !(2..=ZONES).contains(&zones) {
            return None;
        }
        let sorted = |(zone, all): (usize, &Vec<Number>)| {
            let mut all = all.clone();
            all.sort_by_key(|n| (lot(zone, *n), *n));
            all
        };
        Some(Failover {
            order: site.marshals.iter().enumerate().map(sorted).collect(),
            begun: now,
            version: 0,
            parent: None,
            // An earlier life may have given our voice away.
            promised: (Number::MAX, now + NEWBORN),
            passed_over: BTreeMap::new(),
            children: BTreeMap::new(),
            held: Held::default(),
            holds: (0, 0),
            ledgers: vec![Ledger::default(); zones],
            own: (vec![0.0; zones], now),
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
        self.site.life as u32
    }

    /// What this marshal may do now: `part` of its RPCs leave, as far as `rates` have a place for them, and the rest
    /// of that part is pushed back. A plan that lapsed long ago says that all stays near.
    pub fn plan(&self, now: Duration) -> Plan {
        let rates = if now < self.own.1 { self.own.0.clone() } else { vec![0.0; self.order.len()] };
        let steward = self.parent.is_none();
        let (stage, part) = match steward {
            true => (self.course.stage, self.course.part),
            false if now < self.held.until + KEPT => (self.held.stage, self.held.part),
            false => (Stage::Near, 0.0),
        };
        Plan { stage, part, rates }
    }

    /// To whom this marshal speaks; none where it is its zone's steward, as far as it knows.
    pub fn speaks_to(&self) -> Option<Number> {
        self.parent.as_ref().map(|p| p.number)
    }

    /// To be called every [`BEAT`]. `present`: who takes part, as membership has it.
    pub fn beat(&mut self, now: Duration, look: &Look, present: &dyn Fn(Number) -> bool) -> Vec<Out> {
        self.version += 1;
        self.passed_over.retain(|_, until| now < *until);
        self.children.retain(|_, c| now < c.seen + GRANT || now < c.ours);
        self.askers.retain(|_, a| now < a.seen + FRESH);
        self.lent.tidy(now);
        self.ledgers.iter_mut().for_each(|l| l.tidy(now));
        let (depth, parent) = self.place(now, present);
        self.follow(now, parent);

        let zones = self.order.len();
        let sight = |z: usize| look.zones.get(z).copied().unwrap_or_default();
        let mut sights: Vec<Sights> = (0..zones).map(|z| Sights::of(&sight(z))).collect();
        let mut demand = look.demand.max(0.0);
        let fresh = self.children.values().filter(|c| now < c.seen + FRESH);
        for child in fresh {
            demand += child.demand;
            sights.iter_mut().zip(&child.sights).for_each(|(a, b)| a.add(b));
        }
        // A voice is passed on, or lent by, only where it is ours for longer than that.
        let needed = if parent.is_some() { promise(depth) } else { GRANT };
        let theirs = self.children.values().filter(|c| c.ours >= now + needed).map(|c| c.voices);
        let to = parent.unwrap_or(self.site.me);
        let free = self.promised.0 == to || now >= self.promised.1;
        let voices = if free { theirs.fold(1, u16::saturating_add) } else { 0 };

        match parent {
            Some(to) => self.speak(now, to, depth, voices, demand, sights),
            None => self.decide(now, voices, demand, &sights, present),
        }
        self.share(now, look.demand.max(0.0));
        std::mem::take(&mut self.out)
    }

    /// Our steps from the steward, and through whom we speak to it.
    fn place(&mut self, now: Duration, present: &dyn Fn(Number) -> bool) -> (u32, Option<Number>) {
        if let Some(p) = &self.parent {
            if silent(now, p.since, p.heard) {
                self.passed_over.insert(p.number, now + SILENT[1]);
            }
        }
        let me = self.site.me;
        let fits = |n: &&Number| **n == me || (present(**n) && !self.passed_over.contains_key(n));
        let chain: Vec<Number> = self.order[self.site.zone].iter().filter(fits).copied().collect();
        let at = chain.iter().position(|n| *n == me).unwrap_or(0);
        let fan = self.site.fan.max(1);
        let above = |i: usize| (i > 0).then(|| (i - 1) / fan);
        let depth = std::iter::successors(Some(at), |i| above(*i)).count() as u32 - 1;
        (depth, above(at).map(|i| chain[i]))
    }

    fn follow(&mut self, now: Duration, parent: Option<Number>) {
        let now_with = self.parent.as_ref().map(|p| p.number);
        if now_with == parent {
            return;
        }
        // What we held was lent by another; those behind us may use it until it lapses, and that is counted.
        (self.held, self.own.1) =
            (Held { stage: self.held.stage, part: self.held.part, ..Held::default() }, now);
        self.holds = (0, 0);
        if parent.is_none() {
            // The new steward goes on where the zone was.
            self.course.stage = self.held.stage;
            self.course.part = self.held.part;
        }
        self.parent = parent.map(|number| Parent { number, nonce: 0, life: 0, since: now, heard: None });
    }

    fn speak(
        &mut self, now: Duration, to: Number, depth: u32, voices: u16, demand: f32, sights: Vec<Sights>,
    ) {
        let Some(parent) = &self.parent else { return };
        let (echo, of) = (parent.nonce, parent.life);
        let promise = promise(depth);
        // Who was never heard cannot tell when we spoke, and may not count a voice.
        let voices = if echo == 0 { 0 } else { voices };
        if voices > 0 {
            self.promised = (to, self.promised.1.max(now + promise));
        }
        if self.fits_below() {
            self.holds = (self.held.of, self.held.version);
        }
        let holds = if self.holds.0 == of { self.holds.1 } else { 0 };
        let (life, stamp, promise) = (self.life(), ms(now), ms(promise) as u32);
        self.send(to, Message::Up { life, stamp, echo, of, promise, voices, demand, holds, sights });
    }

    /// All that we lent, ourselves included, is within what we hold.
    fn fits_below(&self) -> bool {
        let rate = |z: usize| self.held.rates.get(z).copied().unwrap_or(0.0);
        self.ledgers.iter().enumerate().all(|(z, l)| l.lent() <= rate(z) + 1e-3)
    }

    // ---- the steward -----------------------------------------------------------------------------------------

    fn decide(
        &mut self, now: Duration, voices: u16, demand: f32, sights: &[Sights],
        present: &dyn Fn(Number) -> bool,
    ) {
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
                "zone {}: {from} to {to}, {part:.0}% is to leave: clients bring {demand:.1} RPCs/s, its nodes bear \
                 {bears:.1}, {:.0}% of picks there are answered as {} marshals see it",
                self.site.zone,
                100.0 * seen,
                home.witnesses(),
            )));
        }
        self.seek(now, demand, sights, present);
        self.grant(now, voices, demand, &home);
    }

    /// Asks other zones for room, near ones first, and holds what they gave as far as we see room there ourselves.
    fn seek(&mut self, now: Duration, demand: f32, sights: &[Sights], present: &dyn Fn(Number) -> bool) {
        let zones = self.order.len();
        let mut byway: Vec<usize> = (0..zones).filter(|z| *z != self.site.zone).collect();
        byway.sort_by_key(|z| self.site.distance[*z]);
        let want = demand * self.course.part;
        // A zone that says ten times its room by mistake is not believed beyond what we see there.
        let believed = |z: usize| {
            // Before any of ours has been answered there we go by the list, and feel our way.
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
            // What is equally far takes a like part of what it gave.
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
        self.held = Held {
            of: 0,
            version: self.version,
            rates: rates.clone(),
            until,
            stage: self.course.stage,
            part: self.course.part,
        };
        let fits = |z: usize, ledgers: &[Ledger]| ledgers[z].lent() <= rates[z] + 1e-3;
        for &z in &byway {
            let near = self.site.distance[z] <= 1;
            let wish = rates[z] + if near || far_too { left } else { 0.0 };
            let fits = fits(z, &self.ledgers);
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
                    self.passed_over.insert(number, now + SILENT[1]);
                }
            }
            let over = &self.passed_over;
            let fits = |n: &&Number| present(**n) && !over.contains_key(n);
            let Some(&to) = self.order[z].iter().find(fits) else { continue };
            if source.asked.is_none_or(|a| a.0 != to) {
                // Another lends: what the one before it gave is gone by itself, and is not used beside.
                (source.asked, source.heard) = (Some((to, now)), None);
                (source.version, source.holds) = (0, 0);
            }
            let (life, stamp, zone, holds) =
                (self.site.life as u32, ms(now), self.site.zone as u16, source.holds);
            let using = sights[z].sent;
            self.send(to, Message::Ask { life, stamp, zone, wish, using, holds });
        }
    }

    /// Lends our zone's room to those who ask: what they use already, and of the room that is left the part that
    /// our voices are of all the zone's marshals.
    fn grant(&mut self, now: Duration, voices: u16, demand: f32, home: &Sights) {
        if self.askers.is_empty() {
            return;
        }
        // What is lent by our voice now must have lapsed before another lends by it.
        if voices > 0 {
            self.promised = (self.site.me, self.promised.1.max(now + GRANT));
        }
        let all = self.order[self.site.zone].len().max(1) as f32;
        let weight = (f32::from(voices) / all).min(1.0);
        let using: f32 = self.askers.iter().map(|(n, a)| a.using.min(self.lent.held(*n))).sum();
        // Our own clients that are away come first.
        let away = demand * self.course.part;
        let room = home.room(BEARS[1]).map_or(f32::MIN, |room| room - away);
        let total = if room == f32::MIN {
            0.0
        } else if room < 0.0 || self.course.stage == Stage::Out {
            (using + room.min(0.0)).max(0.0)
        } else {
            using + weight * room
        };
        // Never more than the nodes there now bear beside our own: of nodes that are gone none are busy.
        let total = total.min((home.bears(BEARS[1]).unwrap_or(0.0) - home.sent).max(0.0));
        // Near askers first; among equals the smaller wish first, each up to an equal part of what is left.
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
        let rates = self.lent.lend(now, self.version, &wishes, total, now + GRANT);
        for ((to, _), rate) in wishes.into_iter().zip(rates) {
            let a = &self.askers[&to];
            let (echo, of, zone) = (a.stamp, a.life, self.site.zone as u16);
            let (version, valid) = (self.version, ms(GRANT) as u32);
            self.send(to, Message::Grant { echo, of, zone, version, rate, valid });
        }
    }

    // ---- down the tree ---------------------------------------------------------------------------------------

    /// Lends on what we hold, to ourselves and to those who speak through us, by what their clients bring.
    fn share(&mut self, now: Duration, own: f32) {
        let (me, zones) = (self.site.me, self.order.len());
        let newborn = now < self.begun + LEASE;
        let lapsed = now >= self.held.until || newborn;
        let until = self.held.until.min(now + LEASE);
        let fresh = |c: &Child| now < c.seen + FRESH;
        let mut holders: Vec<(Number, f32)> =
            self.children.iter().filter(|(_, c)| fresh(c)).map(|(n, c)| (*n, c.demand)).collect();
        holders.push((me, own));
        let sum: f32 = holders.iter().map(|h| h.1).sum::<f32>().max(1e-6);
        let mut leases = vec![vec![0.0; zones]; holders.len()];
        for z in (0..zones).filter(|z| *z != self.site.zone) {
            let total = if lapsed { 0.0 } else { self.held.rates.get(z).copied().unwrap_or(0.0) };
            let wishes: Vec<(Number, f32)> = holders.iter().map(|(n, d)| (*n, total * d / sum)).collect();
            let rates = self.ledgers[z].lend(now, self.version, &wishes, total, until);
            leases.iter_mut().zip(rates).for_each(|(lease, rate)| lease[z] = rate);
        }
        let mut sends = Vec::new();
        for ((holder, _), rates) in holders.into_iter().zip(leases) {
            if holder == me {
                self.ledgers.iter_mut().for_each(|l| l.confirm(me, self.version));
                self.own = (rates, until);
            } else if let Some(child) = self.children.get(&holder) {
                let (echo, of, stage) = (child.stamp, child.life, message::code(self.held.stage));
                // Counted from when the child spoke, which lies before now: it ends before we count it ended.
                let valid = ms(until.saturating_sub(now)) as u32;
                let (life, stamp, version, part) = (self.life(), ms(now), self.version, self.held.part);
                sends.push((
                    holder,
                    Message::Down { life, stamp, echo, of, version, valid, rates, stage, part },
                ));
            }
        }
        sends.into_iter().for_each(|(to, message)| self.send(to, message));
    }

    // ---- hearing ---------------------------------------------------------------------------------------------

    pub fn hear(&mut self, now: Duration, from: Number, bytes: &[u8]) {
        let Some(message) = Message::read(bytes) else { return };
        let at = |stamp: u64, span: u32| Duration::from_millis(stamp.saturating_add(span.into()));
        let zones = self.order.len();
        match message {
            Message::Up { life, stamp, echo, of, promise, voices, demand, holds, sights } => {
                let ours = self.order[self.site.zone].contains(&from) && sights.len() == zones;
                let newer = self.children.get(&from).is_none_or(|c| c.life != life || c.stamp < stamp);
                if !ours || !newer || from == self.site.me {
                    return;
                }
                // Its word holds from when it spoke, which was after it had our stamp.
                let echoed = of == self.life() && echo > 0 && Duration::from_millis(echo) <= now;
                let before = self.children.get(&from).filter(|c| c.life == life).map(|c| c.ours);
                let ours = if echoed && voices > 0 { at(echo, promise) } else { before.unwrap_or_default() };
                self.ledgers.iter_mut().for_each(|l| l.confirm(from, holds));
                self.children.insert(from, Child { life, stamp, seen: now, ours, voices, demand, sights });
            }
            Message::Down { life, stamp, echo, of, version, valid, rates, stage, part } => {
                let lease_of = self.held.of;
                let Some(parent) = self.parent.as_mut().filter(|p| p.number == from) else { return };
                if of != self.site.life as u32 || rates.len() != zones || ms(now) < echo {
                    return;
                }
                parent.heard = Some(now);
                if life != parent.life || stamp > parent.nonce {
                    (parent.life, parent.nonce) = (life, stamp);
                }
                if life != lease_of || version > self.held.version {
                    let stage = message::stage(stage);
                    self.held = Held { of: life, version, rates, until: at(echo, valid), stage, part };
                }
            }
            Message::Ask { life, stamp, zone, wish, using, holds } => {
                let zone = usize::from(zone);
                let theirs =
                    zone != self.site.zone && self.order.get(zone).is_some_and(|o| o.contains(&from));
                let newer = self.askers.get(&from).is_none_or(|a| a.life != life || a.stamp < stamp);
                if theirs && newer && self.parent.is_none() {
                    self.lent.confirm(from, holds);
                    self.askers.insert(from, Asker { zone, life, stamp, wish, using, seen: now });
                }
            }
            Message::Grant { echo, of, zone, version, rate, valid } => {
                let zone = usize::from(zone);
                let Some(source) = self.sources.get_mut(zone) else { return };
                let asked = source.asked.is_some_and(|a| a.0 == from) && of == self.site.life as u32;
                if asked && self.parent.is_none() && ms(now) >= echo {
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

/// Who is spoken to since then has not answered for too long.
fn silent(now: Duration, since: Duration, heard: Option<Duration>) -> bool {
    now > heard.map_or(since, |at| at.max(since)) + SILENT[0]
}

/// For how long a voice is given, so many steps from the steward.
fn promise(depth: u32) -> Duration {
    PROMISE[0] + PROMISE[1] * depth.saturating_sub(1)
}
