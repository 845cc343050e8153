//! Leases on a capacity that many marshals share, granted for a short time by votes.
//!
//! The marshals of a group have one fixed order. Each reports, through a tree of bounded fan-out, to the
//! first marshal in that order that is up: the group's current leader. With a report a marshal gives its
//! *vote* (`voices` on the wire) for a stated duration, to one leader at a time; a vote is worth one share of
//! the whole, divided by the number of all the group's marshals, the dead included. Two leaders that do not
//! know of each other, on the two sides of a partition, therefore never lease the same share twice. What a
//! leader may lease out goes down the tree through [`ledger`]s: a holder may use the largest of its leases
//! that have not expired, until it confirms which one it uses.
//!
//! The crate uses no socket, clock or thread, and never compares the clocks of two machines: a time stamp is
//! read only by its sender, which gets it back unchanged. The caller defines what is leased (rates of any
//! number of resources) and what the messages carry (a body for each direction).
#![forbid(unsafe_code)]

pub mod ledger;
pub mod order;
pub mod words;

use std::collections::BTreeMap;
use std::time::Duration;

use ledger::Ledger;
use words::{Down, Up};

/// A marshal, by its index in the configuration.
pub type Number = u16;

/// Interval between the ticks of every marshal.
pub const BEAT: Duration = Duration::from_millis(250);
/// Default maximum number of marshals that report directly to one: what a marshal sends per tick does not
/// grow with the fleet.
pub const FAN: usize = 16;
/// Maximum term of a lease between groups.
pub const GRANT: Duration = Duration::from_millis(2500);
/// Maximum term of a lease within a group.
pub const LEASE: Duration = Duration::from_millis(2000);
/// How long a marshal that hears no more from its leader keeps to the last instruction; its leases have
/// expired by then.
pub const KEPT: Duration = Duration::from_millis(3000);
/// Duration of a vote given directly to the leader, and the addition for each further tree level.
const PROMISE: [Duration; 2] = [Duration::from_millis(3500), Duration::from_millis(1000)];
/// How long a new life gives no vote: longer than any vote of an earlier life lasts.
const NEWBORN: Duration = Duration::from_secs(7);
/// Time after which a marshal that does not answer is skipped, and for how long it is skipped.
pub const SILENT: [Duration; 2] = [Duration::from_millis(1100), Duration::from_secs(10)];
/// How long a marshal's last report counts.
pub const FRESH: Duration = Duration::from_millis(1100);

/// A marshal's place in a group.
#[derive(Clone, Debug)]
pub struct Place {
    pub me: Number,
    /// Grows from start to start.
    pub life: u32,
    /// The group's identity, which determines the order of its marshals.
    pub group: u64,
    /// All configured marshals of the group, the dead included.
    pub marshals: Vec<Number>,
    /// Maximum number of marshals that report directly to one; [`FAN`] except in tests of deep trees.
    pub fan: usize,
    /// Number of resources that are leased.
    pub lots: usize,
}

/// The lease that we hold for ourselves and our subtree.
#[derive(Clone, Debug, Default)]
struct Held<D> {
    of: u32,
    version: u32,
    rates: Vec<f32>,
    until: Duration,
    body: D,
}

/// The marshal that we report to.
struct Parent {
    number: Number,
    /// Its latest time stamp, and its life.
    nonce: u64,
    life: u32,
    since: Duration,
    heard: Option<Duration>,
}

/// A marshal that reports to us.
struct Child<U> {
    life: u32,
    /// Its latest time stamp.
    stamp: u64,
    seen: Duration,
    /// Until when its votes are ours.
    ours: Duration,
    voices: u16,
    body: U,
}

/// Result of a tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// The marshal that we report to; `None` if we are the leader as far as we know.
    pub to: Option<Number>,
    /// Whether we became the leader at this tick.
    pub took_over: bool,
}

/// One marshal in the tree of its group. `U` is the body of reports up the tree, `D` that of messages down
/// the tree.
pub struct Tree<U, D> {
    place: Place,
    order: Vec<Number>,
    begun: Duration,
    version: u32,
    /// Number of tree levels below the leader.
    depth: u32,
    parent: Option<Parent>,
    /// The marshal to which our vote and those we passed on are given, which may be ourselves, and until
    /// when.
    promised: (Number, Duration),
    /// Marshals that are skipped, and until when.
    passed_over: BTreeMap<Number, Duration>,
    children: BTreeMap<Number, Child<U>>,
    held: Held<D>,
    /// The version of `held` that our whole subtree keeps to, with the life of the lender.
    holds: (u32, u32),
    /// What we leased out within the group, by resource.
    ledgers: Vec<Ledger>,
    /// The rates that we ourselves may use, and until when.
    own: (Vec<f32>, Duration),
}

fn ms(span: Duration) -> u64 {
    span.as_millis() as u64
}

fn at(stamp: u64, span: u32) -> Duration {
    Duration::from_millis(stamp.saturating_add(span.into()))
}

/// Whether a marshal that was addressed from `since` on has not answered for too long.
pub fn silent(now: Duration, since: Duration, heard: Option<Duration>) -> bool {
    now > heard.map_or(since, |at| at.max(since)) + SILENT[0]
}

/// How long a vote is given at this depth of the tree.
fn promise(depth: u32) -> Duration {
    PROMISE[0] + PROMISE[1] * depth.saturating_sub(1)
}

impl<U, D: Clone + Default> Tree<U, D> {
    /// `None` if the group does not contain this marshal.
    pub fn new(place: Place, now: Duration) -> Option<Self> {
        if !place.marshals.contains(&place.me) {
            return None;
        }
        Some(Tree {
            order: order::order(place.group, &place.marshals),
            begun: now,
            version: 0,
            depth: 0,
            parent: None,
            // An earlier life may have given our vote away.
            promised: (Number::MAX, now + NEWBORN),
            passed_over: BTreeMap::new(),
            children: BTreeMap::new(),
            held: Held::default(),
            holds: (0, 0),
            ledgers: vec![Ledger::default(); place.lots],
            own: (vec![0.0; place.lots], now),
            place,
        })
    }

    /// This marshal's life.
    pub fn life(&self) -> u32 {
        self.place.life
    }

    /// Number of ticks so far; each lease carries the number of its tick.
    pub fn version(&self) -> u32 {
        self.version
    }

    /// The marshal that we report to; `None` if we are the leader as far as we know.
    pub fn speaks_to(&self) -> Option<Number> {
        self.parent.as_ref().map(|p| p.number)
    }

    /// All the group's marshals in their order.
    pub fn order(&self) -> &[Number] {
        &self.order
    }

    /// The rates that we ourselves may use now, by resource; zero once expired.
    pub fn own(&self, now: Duration) -> Vec<f32> {
        if now < self.own.1 {
            self.own.0.clone()
        } else {
            vec![0.0; self.place.lots]
        }
    }

    /// The last instruction from up the tree, as long as it is to be kept to.
    pub fn told(&self, now: Duration) -> Option<&D> {
        (now < self.held.until + KEPT).then_some(&self.held.body)
    }

    /// The last instruction, however old: a new leader continues from it.
    pub fn last_told(&self) -> &D {
        &self.held.body
    }

    /// Skips a marshal that did not answer for a while.
    pub fn pass_over(&mut self, now: Duration, number: Number) {
        self.passed_over.insert(number, now + SILENT[1]);
    }

    /// Whether the marshal is being skipped.
    pub fn is_passed_over(&self, number: Number) -> bool {
        self.passed_over.contains_key(&number)
    }

    /// Advances the state; to be called first at every [`BEAT`]. `present`: whether membership sees a marshal
    /// as up.
    pub fn beat(&mut self, now: Duration, present: &dyn Fn(Number) -> bool) -> Turn {
        self.version += 1;
        self.passed_over.retain(|_, until| now < *until);
        self.children.retain(|_, c| now < c.seen + GRANT || now < c.ours);
        self.ledgers.iter_mut().for_each(|l| l.tidy(now));
        let silent_one = self.parent.as_ref().filter(|p| silent(now, p.since, p.heard)).map(|p| p.number);
        silent_one.into_iter().for_each(|number| self.pass_over(now, number));
        let me = self.place.me;
        let fits = |n: &&Number| **n == me || (present(**n) && !self.passed_over.contains_key(n));
        let chain: Vec<Number> = self.order.iter().filter(fits).copied().collect();
        let place = chain.iter().position(|n| *n == me).unwrap_or(0);
        let fan = self.place.fan.max(1);
        let above = |i: usize| (i > 0).then(|| (i - 1) / fan);
        self.depth = std::iter::successors(Some(place), |i| above(*i)).count() as u32 - 1;
        let to = above(place).map(|i| chain[i]);
        let changed = self.speaks_to() != to;
        if changed {
            self.follow(now, to);
        }
        Turn { to, took_over: changed && to.is_none() }
    }

    fn follow(&mut self, now: Duration, to: Option<Number>) {
        // Our lease came from another lender. Our subtree may use its leases until they expire; the ledgers
        // still count them.
        (self.held, self.own.1) = (Held { body: self.held.body.clone(), ..Held::default() }, now);
        self.holds = (0, 0);
        self.parent = to.map(|number| Parent { number, nonce: 0, life: 0, since: now, heard: None });
    }

    /// The recent reports of our direct children in the tree.
    pub fn below(&self, now: Duration) -> impl Iterator<Item = &U> {
        self.children.values().filter(move |c| now < c.seen + FRESH).map(|c| &c.body)
    }

    /// The votes that we can pass on or lease by, our own included.
    pub fn voices(&self, now: Duration) -> u16 {
        // A vote may be passed on or used only if it remains ours for longer than that takes.
        let needed = if self.parent.is_some() { promise(self.depth) } else { GRANT };
        let theirs = self.children.values().filter(|c| c.ours >= now + needed).map(|c| c.voices);
        let to = self.speaks_to().unwrap_or(self.place.me);
        let free = self.promised.0 == to || now >= self.promised.1;
        if free {
            theirs.fold(1, u16::saturating_add)
        } else {
            0
        }
    }

    /// Our report to our parent, with our votes; `None` if we are the leader.
    pub fn up(&mut self, now: Duration, body: U) -> Option<(Number, Up<U>)> {
        let voices = self.voices(now);
        let parent = self.parent.as_ref()?;
        let (to, echo, of) = (parent.number, parent.nonce, parent.life);
        let promise = promise(self.depth);
        // A parent we never heard from gave us no time stamp to echo, and so must not count our votes.
        let voices = if echo == 0 { 0 } else { voices };
        if voices > 0 {
            self.promised = (to, self.promised.1.max(now + promise));
        }
        if (0..self.ledgers.len()).all(|lot| self.fits(lot)) {
            self.holds = (self.held.of, self.held.version);
        }
        let holds = if self.holds.0 == of { self.holds.1 } else { 0 };
        let (life, stamp, promise) = (self.life(), ms(now), ms(promise) as u32);
        Some((to, Up { life, stamp, echo, of, promise, voices, holds, body }))
    }

    /// Whether all that we leased out of a resource, our own use included, is within what we hold.
    pub fn fits(&self, lot: usize) -> bool {
        self.ledgers[lot].lent() <= self.held.rates.get(lot).copied().unwrap_or(0.0) + 1e-3
    }

    // ---- leader
    // ----------------------------------------------------------------------------------------------

    /// Sets what the leader holds, until when, and the instruction to send down the tree.
    pub fn hold(&mut self, rates: Vec<f32>, until: Duration, body: D) {
        self.held = Held { of: 0, version: self.version, rates, until, body };
    }

    /// Fraction of the whole that the leader may lease out for [`GRANT`] from now on, by its votes. Its own
    /// vote is bound for that long: what is leased by it must have expired before another leader uses it.
    pub fn lend_by_voices(&mut self, now: Duration) -> f32 {
        let voices = self.voices(now);
        if voices > 0 {
            self.promised = (self.place.me, self.promised.1.max(now + GRANT));
        }
        (f32::from(voices) / self.order.len().max(1) as f32).min(1.0)
    }

    // ---- down the tree
    // ---------------------------------------------------------------------------------------

    /// Leases out what we hold, to ourselves and to our children, in proportion to their weights.
    pub fn share(&mut self, now: Duration, own: f32, weight: impl Fn(&U) -> f32) -> Vec<(Number, Down<D>)> {
        let me = self.place.me;
        let newborn = now < self.begun + LEASE;
        let lapsed = now >= self.held.until || newborn;
        let until = self.held.until.min(now + LEASE);
        let fresh = |c: &Child<U>| now < c.seen + FRESH;
        let mut holders: Vec<(Number, f32)> =
            self.children.iter().filter(|(_, c)| fresh(c)).map(|(n, c)| (*n, weight(&c.body))).collect();
        holders.push((me, own));
        let sum: f32 = holders.iter().map(|h| h.1).sum::<f32>().max(1e-6);
        let mut leases = vec![vec![0.0; self.place.lots]; holders.len()];
        for lot in 0..self.place.lots {
            let total = if lapsed { 0.0 } else { self.held.rates.get(lot).copied().unwrap_or(0.0) };
            if total <= 0.0 && self.ledgers[lot].is_empty() {
                continue;
            }
            let wishes: Vec<(Number, f32)> = holders.iter().map(|(n, d)| (*n, total * d / sum)).collect();
            let rates = self.ledgers[lot].lend(now, self.version, &wishes, total, until);
            leases.iter_mut().zip(rates).for_each(|(lease, rate)| lease[lot] = rate);
        }
        let mut sends = Vec::new();
        for ((holder, _), rates) in holders.into_iter().zip(leases) {
            if holder == me {
                self.ledgers.iter_mut().for_each(|l| l.confirm(me, self.version));
                self.own = (rates, until);
            } else if let Some(child) = self.children.get(&holder) {
                let (echo, of, life, stamp) = (child.stamp, child.life, self.life(), ms(now));
                // The validity counts from when the child sent its report, which is before now: the lease
                // ends at the child before it ends in our ledger.
                let (version, valid) = (self.version, ms(until.saturating_sub(now)) as u32);
                let body = self.held.body.clone();
                sends.push((holder, Down { life, stamp, echo, of, version, valid, rates, body }));
            }
        }
        sends
    }

    // ---- received messages
    // -----------------------------------------------------------------------------------

    /// Handles a report from a child.
    pub fn hear_up(&mut self, now: Duration, from: Number, up: Up<U>) {
        let Up { life, stamp, echo, of, promise, voices, holds, body } = up;
        let newer = self.children.get(&from).is_none_or(|c| c.life != life || c.stamp < stamp);
        if !self.order.contains(&from) || !newer || from == self.place.me {
            return;
        }
        // The vote counts from when the child sent it, which was after it had received our time stamp.
        let echoed = of == self.life() && echo > 0 && Duration::from_millis(echo) <= now;
        let before = self.children.get(&from).filter(|c| c.life == life).map(|c| c.ours);
        let ours = if echoed && voices > 0 { at(echo, promise) } else { before.unwrap_or_default() };
        self.ledgers.iter_mut().for_each(|l| l.confirm(from, holds));
        self.children.insert(from, Child { life, stamp, seen: now, ours, voices, body });
    }

    /// Handles a message from our parent.
    pub fn hear_down(&mut self, now: Duration, from: Number, down: Down<D>) {
        let (lots, mine, lease_of) = (self.place.lots, self.place.life, self.held.of);
        let Some(parent) = self.parent.as_mut().filter(|p| p.number == from) else { return };
        let Down { life, stamp, echo, of, version, valid, rates, body } = down;
        if of != mine || rates.len() != lots || ms(now) < echo {
            return;
        }
        parent.heard = Some(now);
        if life != parent.life || stamp > parent.nonce {
            (parent.life, parent.nonce) = (life, stamp);
        }
        if life != lease_of || version > self.held.version {
            self.held = Held { of: life, version, rates, until: at(echo, valid), body };
        }
    }
}
