//! What many marshals may use together, lent for a short time and by voices.
//!
//! The marshals of a group stand in one order. Each speaks, through a tree of bounded width, to the first that is there:
//! the group's steward for now. With what it says it gives its *voice* for a stated span, to one at a time; a voice is
//! worth one part of the whole by all the group's marshals, the dead among them. So stewards which do not know of one
//! another, on two sides of a cut, never lend the same part twice. What a steward may lend goes down the tree by
//! [`ledger`]s: a holder may use the largest of its leases that have not lapsed, until it says which one it uses.
//!
//! No socket, clock or thread, and no clock of one machine is compared with another's: a stamp is its sender's and
//! comes back as it was. What is lent, and what is told on the way, is the user's: rates of any number of lots, and a
//! body for each direction.
#![forbid(unsafe_code)]

pub mod ledger;
pub mod order;
pub mod words;

use std::collections::BTreeMap;
use std::time::Duration;

use ledger::Ledger;
use words::{Down, Up};

/// A marshal, by its place in the terms.
pub type Number = u16;

/// Everybody speaks this often.
pub const BEAT: Duration = Duration::from_millis(250);
/// Who speaks through one marshal directly at most, where nothing else is told: what one sends a beat does not grow
/// with the fleet.
pub const FAN: usize = 16;
/// How long what is lent between groups, and a lease within one, holds at most.
pub const GRANT: Duration = Duration::from_millis(2500);
pub const LEASE: Duration = Duration::from_millis(2000);
/// A marshal that hears no more from its steward keeps to what it was told last for so long, but uses nothing by it.
pub const KEPT: Duration = Duration::from_millis(3000);
/// For how long a voice is given beside the steward, and how much longer with each step away from it.
const PROMISE: [Duration; 2] = [Duration::from_millis(3500), Duration::from_millis(1000)];
/// Longer than any promise of an earlier life.
const NEWBORN: Duration = Duration::from_secs(7);
/// Who has not answered for so long is passed over, for so long.
pub const SILENT: [Duration; 2] = [Duration::from_millis(1100), Duration::from_secs(10)];
/// What a marshal last said counts for so long.
pub const FRESH: Duration = Duration::from_millis(1100);

/// A marshal's place in a group.
#[derive(Clone, Debug)]
pub struct Place {
    pub me: Number,
    /// Grows from start to start.
    pub life: u32,
    /// Tells this group's order from others'.
    pub group: u64,
    /// All its marshals by the terms: the dead among them too.
    pub marshals: Vec<Number>,
    /// Who speaks through one marshal directly at most; [`FAN`] but for tests of deep trees.
    pub fan: usize,
    /// How many lots are lent.
    pub lots: usize,
}

/// A lease that we hold, ourselves and for those who speak through us.
#[derive(Clone, Debug, Default)]
struct Held<D> {
    of: u32,
    version: u32,
    rates: Vec<f32>,
    until: Duration,
    body: D,
}

struct Parent {
    number: Number,
    /// Its latest stamp, and its life.
    nonce: u64,
    life: u32,
    since: Duration,
    heard: Option<Duration>,
}

struct Child<U> {
    life: u32,
    stamp: u64,
    seen: Duration,
    /// Until when its voices are ours.
    ours: Duration,
    voices: u16,
    body: U,
}

/// How a beat found us.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// To whom we speak; none where we are the steward, as far as we know.
    pub to: Option<Number>,
    /// We have become the steward at this beat.
    pub took_over: bool,
}

/// One marshal in the tree of its group. `U`: what is told on the way up, `D`: on the way down.
pub struct Tree<U, D> {
    place: Place,
    order: Vec<Number>,
    begun: Duration,
    version: u32,
    depth: u32,
    parent: Option<Parent>,
    /// Our voice, and those that we passed on, are given to this one until then; we ourselves may be it.
    promised: (Number, Duration),
    passed_over: BTreeMap<Number, Duration>,
    children: BTreeMap<Number, Child<U>>,
    held: Held<D>,
    /// The version of `held` that all behind us keep to, and of which life of the lender.
    holds: (u32, u32),
    /// What we lent within the group, by lot.
    ledgers: Vec<Ledger>,
    own: (Vec<f32>, Duration),
}

fn ms(span: Duration) -> u64 {
    span.as_millis() as u64
}

fn at(stamp: u64, span: u32) -> Duration {
    Duration::from_millis(stamp.saturating_add(span.into()))
}

/// Who is spoken to since then has not answered for too long.
pub fn silent(now: Duration, since: Duration, heard: Option<Duration>) -> bool {
    now > heard.map_or(since, |at| at.max(since)) + SILENT[0]
}

/// For how long a voice is given, so many steps from the steward.
fn promise(depth: u32) -> Duration {
    PROMISE[0] + PROMISE[1] * depth.saturating_sub(1)
}

impl<U, D: Clone + Default> Tree<U, D> {
    /// None where the group does not have this marshal.
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
            // An earlier life may have given our voice away.
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

    pub fn life(&self) -> u32 {
        self.place.life
    }

    /// Counts the beats; each lease bears that of its beat.
    pub fn version(&self) -> u32 {
        self.version
    }

    /// To whom we speak; none where we are the steward, as far as we know.
    pub fn speaks_to(&self) -> Option<Number> {
        self.parent.as_ref().map(|p| p.number)
    }

    /// All the group's marshals in their order.
    pub fn order(&self) -> &[Number] {
        &self.order
    }

    /// What we ourselves may use now, by lot: nothing where it has lapsed.
    pub fn own(&self, now: Duration) -> Vec<f32> {
        if now < self.own.1 {
            self.own.0.clone()
        } else {
            vec![0.0; self.place.lots]
        }
    }

    /// What was last told down the tree, as long as it is kept to.
    pub fn told(&self, now: Duration) -> Option<&D> {
        (now < self.held.until + KEPT).then_some(&self.held.body)
    }

    /// The same, however long ago: a new steward goes on where the group was.
    pub fn last_told(&self) -> &D {
        &self.held.body
    }

    /// Somebody who did not answer is looked past for a while.
    pub fn pass_over(&mut self, now: Duration, number: Number) {
        self.passed_over.insert(number, now + SILENT[1]);
    }

    pub fn is_passed_over(&self, number: Number) -> bool {
        self.passed_over.contains_key(&number)
    }

    /// To be called first at every [`BEAT`]. `present`: who takes part, as membership has it.
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
        // What we held was lent by another; those behind us may use it until it lapses, and that is counted.
        (self.held, self.own.1) = (Held { body: self.held.body.clone(), ..Held::default() }, now);
        self.holds = (0, 0);
        self.parent = to.map(|number| Parent { number, nonce: 0, life: 0, since: now, heard: None });
    }

    /// What those who speak through us said lately.
    pub fn below(&self, now: Duration) -> impl Iterator<Item = &U> {
        self.children.values().filter(move |c| now < c.seen + FRESH).map(|c| &c.body)
    }

    /// The voices that we can pass on, or lend by, our own among them.
    pub fn voices(&self, now: Duration) -> u16 {
        // A voice is passed on, or lent by, only where it is ours for longer than that.
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

    /// What we say to the one above us, with our voices; none where we are the steward.
    pub fn up(&mut self, now: Duration, body: U) -> Option<(Number, Up<U>)> {
        let voices = self.voices(now);
        let parent = self.parent.as_ref()?;
        let (to, echo, of) = (parent.number, parent.nonce, parent.life);
        let promise = promise(self.depth);
        // Who was never heard cannot tell when we spoke, and may not count a voice.
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

    /// All that we lent of a lot, ourselves included, is within what we hold.
    pub fn fits(&self, lot: usize) -> bool {
        self.ledgers[lot].lent() <= self.held.rates.get(lot).copied().unwrap_or(0.0) + 1e-3
    }

    // ---- the steward -----------------------------------------------------------------------------------------

    /// The steward says what it holds, until when, and what is told down the tree.
    pub fn hold(&mut self, rates: Vec<f32>, until: Duration, body: D) {
        self.held = Held { of: 0, version: self.version, rates, until, body };
    }

    /// The part of the whole that the steward may lend for [`GRANT`] from now on, by its voices. They are bound for so
    /// long: what is lent by our voice now must have lapsed before another lends by it.
    pub fn lend_by_voices(&mut self, now: Duration) -> f32 {
        let voices = self.voices(now);
        if voices > 0 {
            self.promised = (self.place.me, self.promised.1.max(now + GRANT));
        }
        (f32::from(voices) / self.order.len().max(1) as f32).min(1.0)
    }

    // ---- down the tree ---------------------------------------------------------------------------------------

    /// Lends on what we hold, to ourselves and to those who speak through us, by their weights.
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
                // Counted from when the child spoke, which lies before now: it ends before we count it ended.
                let (version, valid) = (self.version, ms(until.saturating_sub(now)) as u32);
                let body = self.held.body.clone();
                sends.push((holder, Down { life, stamp, echo, of, version, valid, rates, body }));
            }
        }
        sends
    }

    // ---- hearing ---------------------------------------------------------------------------------------------

    /// Words of one who speaks through us.
    pub fn hear_up(&mut self, now: Duration, from: Number, up: Up<U>) {
        let Up { life, stamp, echo, of, promise, voices, holds, body } = up;
        let newer = self.children.get(&from).is_none_or(|c| c.life != life || c.stamp < stamp);
        if !self.order.contains(&from) || !newer || from == self.place.me {
            return;
        }
        // Its word holds from when it spoke, which was after it had our stamp.
        let echoed = of == self.life() && echo > 0 && Duration::from_millis(echo) <= now;
        let before = self.children.get(&from).filter(|c| c.life == life).map(|c| c.ours);
        let ours = if echoed && voices > 0 { at(echo, promise) } else { before.unwrap_or_default() };
        self.ledgers.iter_mut().for_each(|l| l.confirm(from, holds));
        self.children.insert(from, Child { life, stamp, seen: now, ours, voices, body });
    }

    /// Words of the one we speak to.
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
