//! The event loop of one marshal. The driver creates it with `Marshal::new(&rollout_config)` and calls
//! `handle(now, events) -> actions` whenever something has happened. The loop delivers messages between the
//! components and makes no decisions of its own.

use std::time::Duration;

use crate::policy::{EVALUATION_INTERVAL, INITIAL_LATENCY_PART, MAX_RING_SIZE, MIN_RETRY_BUDGET, TICK};
use crate::port::*;
use crate::state::*;

/// One replica of the balancer: its components and the time of the next tick.
pub struct Marshal {
    /// What all components are given.
    ctx: Context,
    /// Health and load of each node, by node index.
    nodes: Vec<Node>,
    /// Decides where RPCs are sent.
    dispatcher: Dispatcher,
    /// Compares the builds, and votes.
    analysis: CanaryAnalysis,
    /// Decides when to call discovery.
    discovery: DiscoveryClient,
    /// When the next tick is due.
    next_tick: Duration,
}

impl Marshal {
    /// Creates a marshal that knows no nodes and has no history.
    pub fn new(rollout_config: &RolloutConfig) -> Self {
        let config = Config::new(rollout_config);
        let method_latency = config.methods.iter().map(|d| INITIAL_LATENCY_PART * d.soft_secs).collect();
        let dispatcher = Dispatcher {
            method_latency,
            new_first: true,
            retry_budget: MIN_RETRY_BUDGET,
            concurrency_limit: f64::MAX,
            ..Dispatcher::default()
        };
        let mut analysis = CanaryAnalysis::default();
        analysis.configure(&config, ring_layout(&config, MAX_RING_SIZE));
        let (nodes, discovery, next_tick) = (Vec::new(), DiscoveryClient::default(), Duration::ZERO);
        let mut ctx = Context::new(config);
        ctx.lease.configure(&rollout_config.rules);
        Marshal { ctx, nodes, dispatcher, analysis, discovery, next_tick }
    }

    /// Applies a new config between two calls of `handle`. The caller must keep the indices of methods and
    /// kinds and append new ones. RPCs in progress, the send history behind the rules, node health and
    /// evidence are kept.
    pub fn reconfigure(&mut self, rollout_config: &RolloutConfig) {
        self.ctx.config = Config::new(rollout_config);
        self.ctx.lease.configure(&rollout_config.rules);
        let latency = self.ctx.config.methods.iter().map(|d| INITIAL_LATENCY_PART * d.soft_secs);
        self.dispatcher.method_latency.extend(latency.skip(self.dispatcher.method_latency.len()));
        self.dispatcher.lists_stale = true;
        self.analysis.configure(&self.ctx.config, ring_layout(&self.ctx.config, MAX_RING_SIZE));
    }

    /// Treats the exposure and slow-start budgets as fully spent at `now`, each until its window has passed:
    /// after a restart, earlier sends are unknown.
    pub fn mark_budgets_spent(&mut self, now: Duration) {
        self.dispatcher.send_rules.spent_at = Some(now);
    }

    /// Whether forgetting the recorded keys could break the one-way rule: a key that a build has answered
    /// could then be sent to an earlier build.
    pub fn needs_recorded_keys(&self) -> bool {
        self.dispatcher.send_rules.needs_keys(&self.ctx)
    }

    /// Whether the node list is still valid for new work: discovery has confirmed it in time.
    pub fn list_is_valid(&self, now: Duration) -> bool {
        self.ctx.lease.is_valid(now)
    }

    /// Estimated memory in bytes: the total, and how much of it each listed node takes.
    pub fn memory_bytes(&self) -> (usize, usize) {
        (memory_bytes(&self.nodes, &self.dispatcher, &self.analysis), node_bytes())
    }

    /// Bytes allocated for what is kept by method, over all methods: evidence, allocated at the first outcome
    /// of a method at a node, and the history of sends. A method without RPCs takes none.
    pub fn evidence_bytes(&self) -> usize {
        self.analysis.bytes() + self.dispatcher.send_rules.bytes()
    }

    /// Handles all that happened up to `now`, in order, and returns what the driver has to do, in order.
    pub fn handle(&mut self, now: Duration, events: Vec<Event>) -> Vec<Action> {
        self.ctx.now = now;
        self.ctx.lease.start(now);
        for event in events {
            self.ctx.route(event);
            self.settle();
        }
        let due = now >= self.next_tick;
        if due {
            let active = self.ctx.active_nodes.iter().map(|node| FIRST_NODE + node).chain([
                DISPATCHER,
                CANARY_ANALYSIS,
                DISCOVERY_CLIENT,
            ]);
            active.collect::<Vec<_>>().into_iter().for_each(|to| self.ctx.post(to, Message::Tick));
            self.settle();
        }
        let idle = self.dispatcher.rpcs.is_empty() && self.ctx.active_nodes.is_empty();
        let next = if idle { EVALUATION_INTERVAL } else { TICK };
        if due || self.next_tick > now + next {
            self.next_tick = now + next;
            self.ctx.actions.push(Action::Wake { after: next, tag: 0 });
        }
        std::mem::take(&mut self.ctx.actions)
    }

    /// Delivers queued messages until all inboxes are empty.
    fn settle(&mut self) {
        self.nodes.resize_with(self.ctx.inboxes.len() - FIRST_NODE, Node::default);
        while let Some((to, message)) = self.ctx.next_message() {
            match to {
                DISPATCHER => self.dispatcher.handle(message, &mut self.ctx),
                CANARY_ANALYSIS => self.analysis.handle(message, &mut self.ctx),
                DISCOVERY_CLIENT => self.discovery.handle(message, &mut self.ctx),
                _ => self.nodes[to - FIRST_NODE].handle(message, &mut self.ctx),
            }
        }
    }
}
