//! What node, gate and front keep.

use std::collections::{BTreeMap, BTreeSet};

use super::*;

pub struct Pick {
    pub entry: NodeEntry,
    pub at: Duration,
    pub out: bool,
    pub never_ran: bool,
    pub erred: bool,
}

#[derive(Default)]
pub struct Rpc {
    pub method: usize,
    pub key: Option<u64>,
    /// By when an answer earns in full, and by when any answer is owed.
    pub soft: Duration,
    pub until: Duration,
    /// Place among those that wait.
    pub rank: Duration,
    pub picks: Vec<Pick>,
    pub streaming: bool,
    /// An earlier pick failed on the build on trial.
    pub burnt: bool,
}

#[derive(Default)]
pub struct Node {
    pub card: Card,
    pub out: Vec<(RpcIx, usize, usize, Duration, NodeEntry)>,
    pub heard: Duration,
    pub ill: f64,
    pub rests: u32,
    pub rest_until: Duration,
    pub took: f64,
}

#[derive(Default)]
pub struct Gate {
    pub news: Option<News>,
    /// RPCs taken by method, and picks by build and method.
    pub taken: BTreeMap<usize, Times>,
    pub sent: BTreeMap<(Build, usize), Times>,
    pub cold_sent: BTreeMap<NodeIx, Times>,
    /// RPCs a second that one unit of warm power has answered to this marshal.
    pub served: f64,
    /// Keys that a build on trial has answered under the one-way rule, with that build.
    pub crossed: BTreeMap<u64, Build>,
    /// Keys of RPCs whose client left while a pick was out, with that pick's build.
    pub left: BTreeMap<RpcIx, (u64, Build)>,
    /// From when on the accounts were taken as full: what was in them before is not known.
    pub full: Option<Duration>,
}

impl Gate {
    /// A key has met a build; an answer of an earlier one that comes later undoes nothing.
    pub fn cross(&mut self, key: u64, build: Build) {
        let met = self.crossed.entry(key).or_default();
        *met = build.max(*met);
    }

    /// Books a send, whatever the build's standing: it may be told to be on trial a moment later.
    pub fn book(&mut self, cx: &Cx, method: usize, entry: &NodeEntry) {
        self.sent.entry((entry.build, method)).or_default().push_back(cx.now);
        self.cold_sent.entry(entry.node).or_default().push_back(cx.now);
    }
    /// Picks that exposure grants whatever the traffic: none in the window from when the accounts were taken as full.
    pub fn free(&self, cx: &Cx) -> f64 {
        let full = self.full.is_some_and(|at| cx.now < at + cx.law.exposure.window + crate::policy::BEAT);
        if full {
            0.0
        } else {
            cx.law.exposure.free
        }
    }

    /// What cold nodes may have had that is not known: as good as any budget, for a window.
    pub fn unknown(&self, cx: &Cx) -> f64 {
        let full = self.full.is_some_and(|at| cx.now < at + cx.law.fall_window);
        if full {
            f64::INFINITY
        } else {
            0.0
        }
    }

    /// Times before this are no longer asked for.
    pub fn forget(&mut self, before: Duration) {
        let all = self.taken.values_mut().chain(self.sent.values_mut()).chain(self.cold_sent.values_mut());
        // They stand in their order; a busy marshal has tens of thousands.
        all.for_each(|times| {
            let old = times.iter().take_while(|&&at| at < before).count();
            times.drain(..old);
        });
    }
}

#[derive(Default)]
pub struct Front {
    pub gate: Gate,
    pub cards: Vec<Card>,
    /// The ready nodes of the older arm and of the newest build; made anew when `stale`.
    pub arms: [Vec<NodeIx>; 2],
    pub stale: bool,
    /// What the nodes of each arm can do at present, at the least.
    pub weights: [f64; 2],
    /// The part of that on cold nodes, which come first in `arms`, and how many those are.
    pub cold: [f64; 2],
    pub chill: [usize; 2],
    pub resting: usize,
    pub rpcs: BTreeMap<RpcIx, Rpc>,
    pub waiting: BTreeSet<(Duration, RpcIx)>,
    /// Picks due to the older arm and to the newest build by their shares.
    pub due: [f64; 2],
    pub newest: Build,
    pub new_first: bool,
    /// The build on trial gets nothing for now.
    pub starved: bool,
    /// RPCs that it would have had meanwhile, where the older arm cannot take them on.
    pub spare: f64,
    pub retries: f64,
    /// Usual time of an ok by method, in seconds.
    pub usual: Vec<f64>,
    pub oks: f64,
    pub counted: Duration,
    /// An RPC could not be sent at once since then.
    pub barred: bool,
    /// Mean times by kind and zone, in seconds.
    pub groups: BTreeMap<(usize, usize), f64>,
    /// How many own picks may be in flight, the part of the fleet's power that is this marshal's, times
    /// of the latest answers, and when room was last cut.
    pub room: f64,
    pub fair: f64,
    pub lags: Ledger,
    /// Times of the latest picks of any length, with those cut short.
    pub odds: Ledger,
    /// Picks that were given up and may still stand in a node's queue, each until its soft deadline.
    pub ghosts: Times,
    pub cut: Duration,
    /// Until then the earlier nodes help in the last stage.
    pub relief: Duration,
    /// RPCs taken lately, and the seconds in which they came.
    pub pulse: [f64; 2],
    pub draws: u64,
}

impl Front {
    pub fn file(&mut self, card: Card) {
        self.cards.resize(self.cards.len().max(card.entry.node + 1), Card::default());
        let old = std::mem::replace(&mut self.cards[card.entry.node], card);
        self.stale |= (old.ready, old.resting, old.entry) != (card.ready, card.resting, card.entry);
    }
    /// The part of the fleet's power that runs the newest build.
    pub fn lent(&self) -> f64 {
        self.weights[1] / (self.weights[0] + self.weights[1]).max(1e-9)
    }

    pub fn out(&self, cx: &Cx) -> f64 {
        let held = |r: &&Rpc| cx.now < r.soft && r.picks.iter().any(|p| p.out);
        let ghosts = self.ghosts.iter().filter(|until| cx.now < **until);
        (self.rpcs.values().filter(held).count() + ghosts.count()) as f64
    }

    /// The last stage, beside earlier machines.
    pub fn last_stage(&self, cx: &Cx) -> bool {
        let trial = |n: &News| n.course == Course::OnTrial && Some(n.stage) == cx.law.rehearse;
        self.gate.news.as_ref().is_some_and(trial)
    }

    pub fn forget(&mut self, rpc: RpcIx) {
        self.rpcs.remove(&rpc).map(|r| self.waiting.remove(&(r.rank, rpc)));
    }
    /// Lists the ready nodes of each arm in this marshal's own order, and what they can do at present.
    pub fn muster(&mut self, cx: &Cx) {
        let ready = |c: &&Card| c.ready;
        for (arm, list) in self.arms.iter_mut().enumerate() {
            let mine =
                self.cards.iter().filter(ready).filter(|c| (c.entry.build == self.newest) == (arm == 1));
            *list = mine.map(|c| c.entry.node).collect();
            let warm = |node: &NodeIx| cx.law.warm(cx.age(&self.cards[*node].entry));
            list.sort_by_cached_key(|node| (warm(node), chance(cx.law.seed, 1 << 62 | *node as u64)));
            self.chill[arm] = list.iter().filter(|node| !warm(node)).count();
        }
        self.resting = self.cards.iter().filter(ready).filter(|c| c.resting).count();
        let entry = |node: &NodeIx| &self.cards[*node].entry;
        let weigh = |node| cx.law.present(cx.age(entry(node))) * power(entry(node));
        self.weights = [0, 1].map(|arm: usize| self.arms[arm].iter().map(weigh).sum());
        let cold = |arm: usize| self.arms[arm][..self.chill[arm]].iter().map(weigh).sum();
        self.cold = [cold(0), cold(1)];
        self.fair = (self.weights[0] + self.weights[1]) / cx.law.marshals;
        self.stale = false;
    }
}
