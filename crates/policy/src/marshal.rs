//! The event loop of one marshal. The driver creates it with `Marshal::new(&terms)` and calls `handle(now,
//! events) -> actions` whenever something has happened. The loop delivers messages between the components and
//! makes no decisions of its own.

use std::time::Duration;

use crate::policy::{EVALUATION_INTERVAL, INITIAL_LATENCY_PART, MAX_RING_SIZE, RETRY_BUDGET, TICK};
use crate::port::*;
use crate::state::*;

/// One replica of the balancer: its components and the time of the next tick.
pub struct Marshal {
    cx: Context,
    nodes: Vec<Node>,
    front: Dispatcher,
    judge: CanaryAnalysis,
    membership: DiscoveryClient,
    /// When the next tick is due.
    beat_at: Duration,
}

impl Marshal {
    /// Creates a marshal that knows no nodes and has no history.
    pub fn new(terms: &RolloutTerms) -> Self {
        let law = Config::new(terms);
        let usual = law.duties.iter().map(|d| INITIAL_LATENCY_PART * d.soft).collect();
        let front = Dispatcher {
            usual,
            new_first: true,
            retries: RETRY_BUDGET[2],
            room: f64::MAX,
            ..Dispatcher::default()
        };
        let mut judge = CanaryAnalysis::default();
        judge.lay_out(&law, rings(&law, MAX_RING_SIZE));
        let (nodes, membership, beat_at) = (Vec::new(), DiscoveryClient::default(), Duration::ZERO);
        let mut cx = Context::new(law);
        cx.lease.renew(&terms.rules);
        Marshal { cx, nodes, front, judge, membership, beat_at }
    }

    /// Applies a new config between two calls of `handle`. Methods and kinds keep their indices, and new ones
    /// are appended. RPCs in progress, the send history behind the rules, node health and evidence are kept.
    pub fn renew(&mut self, terms: &RolloutTerms) {
        self.cx.law = Config::new(terms);
        self.cx.lease.renew(&terms.rules);
        let soft = self.cx.law.duties.iter().map(|d| INITIAL_LATENCY_PART * d.soft);
        self.front.usual.extend(soft.skip(self.front.usual.len()));
        self.front.stale = true;
        self.judge.lay_out(&self.cx.law, rings(&self.cx.law, MAX_RING_SIZE));
    }

    /// Treats the exposure and slow-start budgets as fully spent at `now`, each until its window has passed:
    /// after a restart, earlier sends are unknown.
    pub fn fill_accounts(&mut self, now: Duration) {
        self.front.gate.full = Some(now);
    }

    /// Whether forgetting the recorded keys could break the one-way rule: a key that a build has answered
    /// could then be sent to an earlier build.
    pub fn keys_open(&self) -> bool {
        self.front.gate.keys_open(&self.cx)
    }

    /// Whether the node list is still valid for new work: discovery has confirmed it in time.
    pub fn list_holds(&self, now: Duration) -> bool {
        self.cx.lease.holds(now)
    }

    /// Estimated memory in bytes: the total, and the share of each listed node.
    pub fn bytes(&self) -> (usize, usize) {
        (reckon(&self.nodes, &self.front, &self.judge), node_bytes())
    }

    /// Bytes allocated per method: evidence, allocated at the first outcome of a method at a node, and the
    /// history of sends. A method without RPCs takes none.
    pub fn laid_out(&self) -> usize {
        self.judge.bytes() + self.front.gate.bytes()
    }

    /// Handles all that happened up to `now`, in order, and returns what the driver has to do.
    pub fn handle(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        self.cx.now = now;
        self.cx.lease.begin(now);
        for event in events {
            self.cx.sort(event);
            self.settle();
        }
        let due = now >= self.beat_at;
        if due {
            let awake = self.cx.awake.iter().map(|node| FIRST_NODE + node).chain([
                DISPATCHER,
                CANARY_ANALYSIS,
                DISCOVERY_CLIENT,
            ]);
            awake.collect::<Vec<_>>().into_iter().for_each(|to| self.cx.put(to, Message::Tick));
            self.settle();
        }
        let idle = self.front.rpcs.is_empty() && self.cx.awake.is_empty();
        let next = if idle { EVALUATION_INTERVAL } else { TICK };
        if due || self.beat_at > now + next {
            self.beat_at = now + next;
            self.cx.out.push(Action::Wake { after: next, tag: 0 });
        }
        std::mem::take(&mut self.cx.out)
    }

    /// Delivers queued messages until all inboxes are empty.
    fn settle(&mut self) {
        self.nodes.resize_with(self.cx.boxes.len() - FIRST_NODE, Node::default);
        while let Some((to, note)) = self.cx.next() {
            match to {
                DISPATCHER => self.front.act(note, &mut self.cx),
                CANARY_ANALYSIS => self.judge.act(note, &mut self.cx),
                DISCOVERY_CLIENT => self.membership.act(note, &mut self.cx),
                _ => self.nodes[to - FIRST_NODE].act(note, &mut self.cx),
            }
        }
    }
}
