//! The context that every component gets, and the messages between components.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::{Config, ListLease};
use crate::port::*;

/// Inbox of RPC dispatch.
pub const DISPATCHER: usize = 0;
/// Inbox of canary analysis.
pub const CANARY_ANALYSIS: usize = 1;
/// Inbox of the discovery client.
pub const DISCOVERY_CLIENT: usize = 2;
/// Inbox of node 0; the other nodes' inboxes follow by node index.
pub const FIRST_NODE: usize = 3;

/// A message between components.
pub enum Message {
    /// An event from the driver.
    Event(Event),
    /// To a node: its entry in the node list.
    NodeListed(NodeEntry),
    /// To a node: a pick was sent to it. `pick`: its index among the RPC's picks.
    PickSent { rpc: RpcIx, pick: usize, method: usize },
    /// From a node: its status has changed.
    NodeStatus(NodeStatus),
    /// To canary analysis: the RPC itself, not the node or its build, is taken to have caused the error of
    /// its first pick, sent at `at`, or nothing can show which did.
    ErrorExcused { entry: NodeEntry, method: usize, at: Duration },
    /// To canary analysis: a first pick sent at `at` has ended after `took` seconds.
    PickEnded { entry: NodeEntry, method: usize, at: Duration, outcome: Outcome, took: f64 },
    /// To canary analysis: congestion in the last stage; the earlier build's nodes take traffic again.
    CongestionRelief,
    /// From canary analysis to dispatch: the newest build, whether it is tried before the older arm, and
    /// whether it gets no traffic for now.
    ArmOrder { newest: Build, new_first: bool, abstaining: bool },
    /// To dispatch: try to send waiting RPCs.
    SendWaiting,
    /// The regular tick, see [`crate::policy::TICK`].
    Tick,
}

/// What every component is given: the time, the config, the node list, the inboxes and the actions to
/// return.
pub struct Context {
    /// Time of the present call of `handle`.
    pub now: Duration,
    /// The config in force.
    pub config: Config,
    /// Each node as last listed.
    pub listed: BTreeMap<NodeIx, NodeEntry>,
    /// Which part of all nodes `listed` covers.
    pub coverage: ListCoverage,
    /// Inboxes by component, see [`DISPATCHER`] to [`FIRST_NODE`].
    pub inboxes: Vec<VecDeque<Message>>,
    /// Inboxes that are not empty.
    pub nonempty: BTreeSet<usize>,
    /// Nodes that have picks in flight or are ejected; only these get ticks.
    pub active_nodes: BTreeSet<NodeIx>,
    /// Actions to return to the driver.
    pub actions: Vec<Action>,
    /// How long the node list may be used.
    pub lease: ListLease,
}

impl Context {
    /// A context without nodes, messages or actions, at time 0.
    pub fn new(config: Config) -> Self {
        let inboxes = (0..FIRST_NODE).map(|_| VecDeque::new()).collect();
        Context {
            now: Duration::ZERO,
            config,
            listed: BTreeMap::new(),
            coverage: ListCoverage::default(),
            inboxes,
            nonempty: BTreeSet::new(),
            active_nodes: BTreeSet::new(),
            actions: Vec::new(),
            lease: ListLease::default(),
        }
    }
    /// Removes and returns the next message with the index of its inbox: nodes' messages first, dispatch's
    /// last.
    pub fn next_message(&mut self) -> Option<(usize, Message)> {
        let to = *self.nonempty.last()?;
        let message = self.inboxes[to].pop_front();
        if self.inboxes[to].is_empty() {
            self.nonempty.remove(&to);
        }
        Some((to, message?))
    }
    /// Appends a message to an inbox.
    pub fn post(&mut self, to: usize, message: Message) {
        self.inboxes[to].push_back(message);
        self.nonempty.insert(to);
    }
    /// Sends a node's status to canary analysis and to dispatch, there ahead of all other messages.
    pub fn publish(&mut self, status: NodeStatus) {
        self.inboxes[DISPATCHER].push_front(Message::NodeStatus(status));
        self.nonempty.insert(DISPATCHER);
        self.post(CANARY_ANALYSIS, Message::NodeStatus(status));
    }
    /// Turns a node's ticks on or off. Idle nodes get none, so they cost nothing however large the fleet is.
    pub fn set_active(&mut self, node: NodeIx, active: bool) {
        if active {
            self.active_nodes.insert(node);
        } else {
            self.active_nodes.remove(&node);
        }
    }
    /// Records what an event says about the node list, and queues it for the components that it concerns.
    pub fn route(&mut self, event: Event) {
        let to = match &event {
            Event::Nodes { update, nodes } => {
                // Nodes missing from a complete list are gone.
                let complete = matches!(update, ListUpdate::Full | ListUpdate::Cached);
                let named_nodes: BTreeSet<NodeIx> = nodes.iter().map(|n| n.node).collect();
                let missing = |e: &&NodeEntry| complete && !named_nodes.contains(&e.node);
                let listed = self.listed.values().filter(missing);
                let gone = listed.map(|e| NodeEntry { readiness: Readiness::Gone, ..*e });
                for entry in gone.chain(nodes.iter().copied()).collect::<Vec<_>>() {
                    let inboxes = self.inboxes.len().max(FIRST_NODE + entry.node + 1);
                    self.inboxes.resize_with(inboxes, VecDeque::new);
                    self.listed.insert(entry.node, entry);
                    self.post(FIRST_NODE + entry.node, Message::NodeListed(entry));
                }
                DISCOVERY_CLIENT
            }
            Event::Discovery(signal) => {
                self.lease.observe(self.now, *signal);
                DISCOVERY_CLIENT
            }
            Event::ListCoverage(coverage) => {
                self.coverage = *coverage;
                return;
            }
            Event::PickEnded { node, .. } => {
                self.post(FIRST_NODE + node, Message::Event(event.clone()));
                DISPATCHER
            }
            Event::Stage { .. } => {
                self.post(CANARY_ANALYSIS, Message::Event(event.clone()));
                DISPATCHER
            }
            Event::Rpc { .. } | Event::StreamBegun { .. } | Event::ClientLeft { .. } => DISPATCHER,
            _ => CANARY_ANALYSIS,
        };
        self.post(to, Message::Event(event));
    }
    /// Time since the node's process started; [`Duration::MAX`] for a node without a start time.
    pub fn age(&self, entry: &NodeEntry) -> Duration {
        entry.started.map_or(Duration::MAX, |at| self.now.saturating_sub(at))
    }
}

/// A node's status, as it publishes it to the other components.
#[derive(Clone, Copy, Default, PartialEq)]
pub struct NodeStatus {
    /// The node, as last listed.
    pub entry: NodeEntry,
    /// Listed as ready.
    pub ready: bool,
    /// Own picks in flight.
    pub in_flight: usize,
    /// Expected latency of an RPC in seconds, raised for a failing node.
    pub expected_secs: f64,
    /// Number of answers behind `expected_secs`, up to a limit.
    pub samples: f64,
    /// Ejected for failures or silence.
    pub ejected: bool,
    /// On probation after an ejection.
    pub on_probation: bool,
}

/// State of a rollout, as the controller reports it.
#[derive(Clone, Copy)]
pub struct RolloutStatus {
    /// The build that is rolled out.
    pub build: Build,
    /// Index of its stage.
    pub stage: usize,
    /// Whether the build is on trial, released or (being) rolled back.
    pub state: RolloutState,
    /// Exposure cap: the part of the RPCs that the build may get while on trial, from 0 to 1.
    pub cap: f64,
    /// When the stage was launched.
    pub launched: Duration,
}

impl RolloutStatus {
    /// Whether the build is being rolled back, or has been.
    pub fn is_rolled_back(&self) -> bool {
        matches!(self.state, RolloutState::GoingBack | RolloutState::Withdrawn)
    }
    /// Reads a stage event, with the reply to a vote that it carries; none for any other event.
    pub fn read(ctx: &Context, event: &Event) -> Option<(RolloutStatus, VoteReply)> {
        let &Event::Stage { build, stage, state, reply, cap, age } = event else { return None };
        Some((RolloutStatus { build, stage, state, cap, launched: ctx.now.saturating_sub(age) }, reply))
    }
}
