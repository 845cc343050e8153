//! The other marshals: who is there, and what this one says of itself to them.

use std::time::Duration;

use ivydrift_members::{Input, Members, Out, Pace};
use ivydrift_terms::Terms;
use ivydrift_wire::peer::{self, About, Kind, Row, View};

use crate::Order;

/// What we say of ourselves is renewed this often at most.
const RENEW: Duration = Duration::from_millis(500);

pub struct Peers {
    members: Members,
    number: u16,
    count: u16,
    begun: Duration,
    renewed: Duration,
    /// RPCs taken when that was.
    taken: u64,
}

impl Peers {
    /// None where the terms allow no peers. `life` grows from start to start.
    pub fn new(terms: &Terms, life: u64, now: Duration) -> Option<Self> {
        if !terms.rollout.limits.peers || terms.places.peers.is_empty() {
            return None;
        }
        let (number, count) = (terms.rollout.marshal as u16, terms.places.peers.len() as u16);
        let members = Members::new(number, count, life, terms.rollout.seed ^ life, now, Pace::default());
        Some(Peers { members, number, count, begun: now, renewed: Duration::ZERO, taken: 0 })
    }

    /// The terms name more or fewer marshals.
    pub fn resize(&mut self, terms: &Terms) {
        self.count = terms.places.peers.len() as u16;
        self.members.resize(self.count);
    }

    pub fn due(&self) -> Duration {
        self.members.due()
    }

    /// `about`: what we say of ourselves, the rate left out; `taken`: RPCs since the start.
    pub fn tick(&mut self, now: Duration, about: impl Fn() -> About, taken: u64) -> Vec<Order> {
        if now >= self.renewed + RENEW {
            let span = now.saturating_sub(self.renewed.max(self.begun)).as_secs_f64().max(0.001);
            let rate = (taken.saturating_sub(self.taken) as f64 / span) as f32;
            (self.renewed, self.taken) = (now, taken);
            // It is far shorter than a record may be.
            let _ = self.members.publish(peer::pack(&About { rate, ..about() }));
        }
        let outs = if now >= self.members.due() { self.members.handle(now, Input::Tick) } else { vec![] };
        self.orders(outs)
    }

    pub fn hear(&mut self, now: Duration, from: u16, bytes: &[u8]) -> Vec<Order> {
        let outs = self.members.handle(now, Input::Heard { from, bytes });
        self.orders(outs)
    }

    pub fn leave(&mut self, now: Duration) -> Vec<Order> {
        let outs = self.members.leave(now);
        self.orders(outs)
    }

    fn orders(&self, outs: Vec<Out>) -> Vec<Order> {
        let order = |out| match out {
            Out::Send { to, bytes } => {
                let datagram = peer::write(Kind::Members, self.number, &bytes)?;
                Some(Order::Tell { to: to.into(), datagram })
            }
            Out::Changed { number, from, to, life } => {
                let (from, to) = (from.word(), to.word());
                Some(Order::Log(format!("marshal {number}: {from} to {to}, life {life}")))
            }
        };
        outs.into_iter().filter_map(order).collect()
    }

    /// A page of who is there, as far as we know.
    pub fn view(&self, now: Duration, first: u16) -> View {
        let ms = |span: Duration| span.as_millis() as u64;
        let row = |v: ivydrift_members::View| Row {
            number: v.number,
            state: v.state.word().to_owned(),
            life: v.life,
            since: ms(v.since),
            heard: v.heard.map(ms),
            about: v.record.and_then(|(bytes, _, age)| Some((peer::unpack(bytes)?, ms(age)))),
        };
        let age = now.saturating_sub(self.begun).as_secs_f64().max(0.001);
        View {
            number: self.number,
            of: self.count,
            first,
            doubt: self.members.health() as u8,
            sent: (self.members.traffic().sent_bytes as f64 / age) as f32,
            rows: self.members.view(now).skip(first.into()).take(peer::ROWS).map(row).collect(),
        }
    }
}
