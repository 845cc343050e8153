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
pub mod message;
pub mod order;

use std::collections::BTreeMap;
use std::time::Duration;

use ledger::Ledger;
use message::{Lease, Report};

/// A marshal, by its index in the configuration.
pub type MemberIndex = u16;

/// Interval between the ticks of every marshal.
pub const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Default maximum number of marshals that report directly to one: what a marshal sends per tick does not
/// grow with the fleet.
pub const FAN_OUT: usize = 16;
/// Maximum term of a lease between groups.
pub const GRANT_TERM: Duration = Duration::from_millis(2500);
/// Maximum term of a lease within a group.
pub const LEASE_TERM: Duration = Duration::from_millis(2000);
/// How long a marshal that hears no more from its leader keeps to the last instruction after its lease has
/// expired; it uses none of the leased rates in that time.
pub const INSTRUCTION_LIFETIME: Duration = Duration::from_millis(3000);
/// Duration of a vote given directly to the leader, and the addition for each further tree level.
const VOTE_TERM: [Duration; 2] = [Duration::from_millis(3500), Duration::from_millis(1000)];
/// How long a new life gives no vote: longer than any vote of an earlier life lasts.
const STARTUP_HOLD: Duration = Duration::from_secs(7);
/// Time after which a marshal that does not answer is skipped, and for how long it is skipped.
pub const SILENCE_LIMITS: [Duration; 2] = [Duration::from_millis(1100), Duration::from_secs(10)];
/// How long a marshal's last report counts.
pub const REPORT_LIFETIME: Duration = Duration::from_millis(1100);

/// A marshal's place in a group.
#[derive(Clone, Debug)]
pub struct Place {
    /// This marshal.
    pub me: MemberIndex,
    /// Grows from start to start.
    pub life: u32,
    /// The group's identity, which determines the order of its marshals.
    pub group: u64,
    /// All configured marshals of the group, the dead included.
    pub marshals: Vec<MemberIndex>,
    /// Maximum number of marshals that report directly to one; [`FAN_OUT`] except in tests of deep trees.
    pub fan_out: usize,
    /// Number of resources that are leased.
    pub resources: usize,
}

/// The lease that we hold for ourselves and our subtree.
#[derive(Clone, Debug, Default)]
struct HeldLease<D> {
    /// The life of the lender; 0 if we are the leader.
    of: u32,
    /// The version of the lease.
    version: u32,
    /// The leased rate of each resource.
    rates: Vec<f32>,
    until: Duration,
    /// The instruction that came with it.
    body: D,
}

/// The marshal that we report to.
struct Parent {
    number: MemberIndex,
    /// Its latest time stamp, and its life.
    latest_stamp: u64,
    life: u32,
    since: Duration,
    heard_at: Option<Duration>,
}

/// A marshal that reports to us.
struct Child<U> {
    life: u32,
    /// Its latest time stamp.
    stamp: u64,
    seen_at: Duration,
    /// Until when its votes are ours.
    votes_until: Duration,
    voices: u16,
    body: U,
}

/// Result of a tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TickOutcome {
    /// The marshal that we report to; `None` if we are the leader as far as we know.
    pub parent: Option<MemberIndex>,
    /// Whether we became the leader at this tick.
    pub became_leader: bool,
}

/// One marshal in the tree of its group. `U` is the body of reports up the tree, `D` that of messages down
/// the tree.
pub struct Tree<U, D> {
    place: Place,
    order: Vec<MemberIndex>,
    started: Duration,
    version: u32,
    /// Number of tree levels below the leader.
    depth: u32,
    parent: Option<Parent>,
    /// The marshal to which our vote and those we passed on are given, which may be ourselves, and until
    /// when.
    vote_given: (MemberIndex, Duration),
    /// Marshals that are skipped, and until when.
    skipped: BTreeMap<MemberIndex, Duration>,
    children: BTreeMap<MemberIndex, Child<U>>,
    held: HeldLease<D>,
    /// The version of `held` that our whole subtree keeps to, with the life of the lender.
    confirmed: (u32, u32),
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
pub fn timed_out(now: Duration, since: Duration, heard_at: Option<Duration>) -> bool {
    now > heard_at.map_or(since, |at| at.max(since)) + SILENCE_LIMITS[0]
}

/// How long a vote is given at this depth of the tree.
fn vote_term(depth: u32) -> Duration {
    VOTE_TERM[0] + VOTE_TERM[1] * depth.saturating_sub(1)
}

impl<U, D: Clone + Default> Tree<U, D> {
    /// `None` if the group does not contain this marshal.
    pub fn new(place: Place, now: Duration) -> Option<Self> {
        if !place.marshals.contains(&place.me) {
            return None;
        }
        Some(Tree {
            order: order::order(place.group, &place.marshals),
            started: now,
            version: 0,
            depth: 0,
            parent: None,
            // An earlier life may have given our vote away.
            vote_given: (MemberIndex::MAX, now + STARTUP_HOLD),
            skipped: BTreeMap::new(),
            children: BTreeMap::new(),
            held: HeldLease::default(),
            confirmed: (0, 0),
            ledgers: vec![Ledger::default(); place.resources],
            own: (vec![0.0; place.resources], now),
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
    pub fn parent_number(&self) -> Option<MemberIndex> {
        self.parent.as_ref().map(|p| p.number)
    }

    /// All the group's marshals in their order.
    pub fn order(&self) -> &[MemberIndex] {
        &self.order
    }

    /// The rates that we ourselves may use now, by resource; zero once expired.
    pub fn own(&self, now: Duration) -> Vec<f32> {
        if now < self.own.1 {
            self.own.0.clone()
        } else {
            vec![0.0; self.place.resources]
        }
    }

    /// The last instruction from up the tree, as long as it is to be kept to.
    pub fn instruction(&self, now: Duration) -> Option<&D> {
        (now < self.held.until + INSTRUCTION_LIFETIME).then_some(&self.held.body)
    }

    /// The last instruction, however old: a new leader continues from it.
    pub fn last_instruction(&self) -> &D {
        &self.held.body
    }

    /// Skips a marshal that did not answer for a while.
    pub fn skip(&mut self, now: Duration, number: MemberIndex) {
        self.skipped.insert(number, now + SILENCE_LIMITS[1]);
    }

    /// Whether the marshal is being skipped.
    pub fn is_skipped(&self, number: MemberIndex) -> bool {
        self.skipped.contains_key(&number)
    }

    /// Advances the state; to be called first at every [`TICK_INTERVAL`]. `present`: whether membership sees
    /// a marshal as up.
    pub fn tick(&mut self, now: Duration, present: &dyn Fn(MemberIndex) -> bool) -> TickOutcome {
        self.version += 1;
        self.skipped.retain(|_, until| now < *until);
        self.children.retain(|_, c| now < c.seen_at + GRANT_TERM || now < c.votes_until);
        self.ledgers.iter_mut().for_each(|l| l.expire(now));
        let silent_parent =
            self.parent.as_ref().filter(|p| timed_out(now, p.since, p.heard_at)).map(|p| p.number);
        silent_parent.into_iter().for_each(|number| self.skip(now, number));
        let me = self.place.me;
        let eligible = |n: &&MemberIndex| **n == me || (present(**n) && !self.skipped.contains_key(n));
        let chain: Vec<MemberIndex> = self.order.iter().filter(eligible).copied().collect();
        let own_index = chain.iter().position(|n| *n == me).unwrap_or(0);
        let fan_out = self.place.fan_out.max(1);
        let parent_position = |i: usize| (i > 0).then(|| (i - 1) / fan_out);
        self.depth = std::iter::successors(Some(own_index), |i| parent_position(*i)).count() as u32 - 1;
        let to = parent_position(own_index).map(|i| chain[i]);
        let changed = self.parent_number() != to;
        if changed {
            self.set_parent(now, to);
        }
        TickOutcome { parent: to, became_leader: changed && to.is_none() }
    }

    fn set_parent(&mut self, now: Duration, to: Option<MemberIndex>) {
        // Our lease came from another lender. Our subtree may use its leases until they expire; the ledgers
        // still count them.
        (self.held, self.own.1) = (HeldLease { body: self.held.body.clone(), ..HeldLease::default() }, now);
        self.confirmed = (0, 0);
        self.parent =
            to.map(|number| Parent { number, latest_stamp: 0, life: 0, since: now, heard_at: None });
    }

    /// The recent reports of our direct children in the tree.
    pub fn child_reports(&self, now: Duration) -> impl Iterator<Item = &U> {
        self.children.values().filter(move |c| now < c.seen_at + REPORT_LIFETIME).map(|c| &c.body)
    }

    /// The votes that we can pass on or lease by, our own included.
    pub fn votes(&self, now: Duration) -> u16 {
        // A vote may be passed on or used only if it remains ours for longer than that takes.
        let required = if self.parent.is_some() { vote_term(self.depth) } else { GRANT_TERM };
        let child_votes =
            self.children.values().filter(|c| c.votes_until >= now + required).map(|c| c.voices);
        let to = self.parent_number().unwrap_or(self.place.me);
        let may_give = self.vote_given.0 == to || now >= self.vote_given.1;
        if may_give {
            child_votes.fold(1, u16::saturating_add)
        } else {
            0
        }
    }

    /// Our report to our parent, with our votes; `None` if we are the leader.
    pub fn report(&mut self, now: Duration, body: U) -> Option<(MemberIndex, Report<U>)> {
        let voices = self.votes(now);
        let parent = self.parent.as_ref()?;
        let (to, echo, of) = (parent.number, parent.latest_stamp, parent.life);
        let promise = vote_term(self.depth);
        // A parent we never heard from gave us no time stamp to echo, and so must not count our votes.
        let voices = if echo == 0 { 0 } else { voices };
        if voices > 0 {
            self.vote_given = (to, self.vote_given.1.max(now + promise));
        }
        if (0..self.ledgers.len()).all(|resource| self.within_lease(resource)) {
            self.confirmed = (self.held.of, self.held.version);
        }
        let holds = if self.confirmed.0 == of { self.confirmed.1 } else { 0 };
        let (life, stamp, promise) = (self.life(), ms(now), ms(promise) as u32);
        Some((to, Report { life, stamp, echo, of, promise, voices, holds, body }))
    }

    /// Whether all that we leased out of a resource, our own use included, is within what we hold.
    pub fn within_lease(&self, resource: usize) -> bool {
        self.ledgers[resource].total_lent() <= self.held.rates.get(resource).copied().unwrap_or(0.0) + 1e-3
    }

    // ---- leader ----

    /// Sets what the leader holds, until when, and the instruction to send down the tree.
    pub fn set_lease(&mut self, rates: Vec<f32>, until: Duration, body: D) {
        self.held = HeldLease { of: 0, version: self.version, rates, until, body };
    }

    /// Fraction of the whole that the leader may lease out for [`GRANT_TERM`] from now on, by its votes. Its
    /// own vote is bound for that long: what is leased by it must have expired before another leader uses it.
    pub fn lend_by_votes(&mut self, now: Duration) -> f32 {
        let voices = self.votes(now);
        if voices > 0 {
            self.vote_given = (self.place.me, self.vote_given.1.max(now + GRANT_TERM));
        }
        (f32::from(voices) / self.order.len().max(1) as f32).min(1.0)
    }

    // ---- down the tree ----

    /// Leases out what we hold, to ourselves and to our children, in proportion to their weights.
    pub fn lease_out(
        &mut self, now: Duration, own: f32, weight: impl Fn(&U) -> f32,
    ) -> Vec<(MemberIndex, Lease<D>)> {
        let me = self.place.me;
        let starting = now < self.started + LEASE_TERM;
        let expired = now >= self.held.until || starting;
        let until = self.held.until.min(now + LEASE_TERM);
        let recent = |c: &Child<U>| now < c.seen_at + REPORT_LIFETIME;
        let mut holders: Vec<(MemberIndex, f32)> =
            self.children.iter().filter(|(_, c)| recent(c)).map(|(n, c)| (*n, weight(&c.body))).collect();
        holders.push((me, own));
        let sum: f32 = holders.iter().map(|h| h.1).sum::<f32>().max(1e-6);
        let mut leases = vec![vec![0.0; self.place.resources]; holders.len()];
        for resource in 0..self.place.resources {
            let total = if expired { 0.0 } else { self.held.rates.get(resource).copied().unwrap_or(0.0) };
            if total <= 0.0 && self.ledgers[resource].is_empty() {
                continue;
            }
            let wishes: Vec<(MemberIndex, f32)> =
                holders.iter().map(|(n, d)| (*n, total * d / sum)).collect();
            let rates = self.ledgers[resource].lend(now, self.version, &wishes, total, until);
            leases.iter_mut().zip(rates).for_each(|(lease, rate)| lease[resource] = rate);
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
                sends.push((holder, Lease { life, stamp, echo, of, version, valid, rates, body }));
            }
        }
        sends
    }

    // ---- received messages ----

    /// Handles a report from a child.
    pub fn receive_report(&mut self, now: Duration, from: MemberIndex, up: Report<U>) {
        let Report { life, stamp, echo, of, promise, voices, holds, body } = up;
        let newer = self.children.get(&from).is_none_or(|c| c.life != life || c.stamp < stamp);
        if !self.order.contains(&from) || !newer || from == self.place.me {
            return;
        }
        // The vote counts from when the child sent it, which was after it had received our time stamp.
        let echoed = of == self.life() && echo > 0 && Duration::from_millis(echo) <= now;
        let previous = self.children.get(&from).filter(|c| c.life == life).map(|c| c.votes_until);
        let votes_until = if echoed && voices > 0 { at(echo, promise) } else { previous.unwrap_or_default() };
        self.ledgers.iter_mut().for_each(|l| l.confirm(from, holds));
        self.children.insert(from, Child { life, stamp, seen_at: now, votes_until, voices, body });
    }

    /// Handles a message from our parent.
    pub fn receive_lease(&mut self, now: Duration, from: MemberIndex, down: Lease<D>) {
        let (resources, own_life, lender) = (self.place.resources, self.place.life, self.held.of);
        let Some(parent) = self.parent.as_mut().filter(|p| p.number == from) else { return };
        let Lease { life, stamp, echo, of, version, valid, rates, body } = down;
        if of != own_life || rates.len() != resources || ms(now) < echo {
            return;
        }
        parent.heard_at = Some(now);
        if life != parent.life || stamp > parent.latest_stamp {
            (parent.life, parent.latest_stamp) = (life, stamp);
        }
        if life != lender || version > self.held.version {
            self.held = HeldLease { of: life, version, rates, until: at(echo, valid), body };
        }
    }
}
