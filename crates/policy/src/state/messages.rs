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
    /// To a node: a pick was sent to it.
    PickSent { rpc: RpcIx, pick: usize, method: usize },
    /// From a node: its status has changed.
    NodeStatus(NodeStatus),
    /// To canary analysis: the error of a first pick sent at `at` was the RPC's own.
    ErrorExcused { entry: NodeEntry, method: usize, at: Duration },
    /// To canary analysis: a first pick sent at `at` has ended after `took` seconds.
    PickEnded { entry: NodeEntry, method: usize, at: Duration, outcome: Outcome, took: f64 },
    /// To canary analysis: congestion in the last stage; the earlier build's nodes take traffic again.
    CongestionRelief,
    /// From canary analysis to dispatch: which arm comes first.
    ArmOrder { newest: Build, new_first: bool, starved: bool },
    /// To dispatch: try to send waiting RPCs.
    SendWaiting,
    /// The regular tick.
    Tick,
}

/// What every component is given: the time, the config, the node list, the inboxes and the actions to return.
pub struct Context {
    /// Time of the present call.
    pub now: Duration,
    pub law: Config,
    /// Each node as last listed.
    pub listed: BTreeMap<NodeIx, NodeEntry>,
    /// Which part of all nodes that is.
    pub sight: Sight,
    /// Inboxes by component, see [`DISPATCHER`] to [`FIRST_NODE`].
    pub boxes: Vec<VecDeque<Message>>,
    /// Inboxes that are not empty.
    pub full: BTreeSet<usize>,
    /// Nodes with picks in flight, or ejected; only these get ticks.
    pub awake: BTreeSet<NodeIx>,
    /// Actions to return to the driver.
    pub out: Vec<Action>,
    /// How long the node list may be used.
    pub lease: ListLease,
}

impl Context {
    pub fn new(law: Config) -> Self {
        let boxes = (0..FIRST_NODE).map(|_| VecDeque::new()).collect();
        Context {
            now: Duration::ZERO,
            law,
            listed: BTreeMap::new(),
            sight: Sight::default(),
            boxes,
            full: BTreeSet::new(),
            awake: BTreeSet::new(),
            out: Vec::new(),
            lease: ListLease::default(),
        }
    }
    /// Removes the next message and names its inbox: nodes first, dispatch last.
    pub fn next(&mut self) -> Option<(usize, Message)> {
        let to = *self.full.last()?;
        let note = self.boxes[to].pop_front();
        if self.boxes[to].is_empty() {
            self.full.remove(&to);
        }
        Some((to, note?))
    }
    /// Appends a message to an inbox.
    pub fn put(&mut self, to: usize, note: Message) {
        self.boxes[to].push_back(note);
        self.full.insert(to);
    }
    /// Publishes a node's status, to dispatch ahead of all other messages.
    pub fn show(&mut self, card: NodeStatus) {
        self.boxes[DISPATCHER].push_front(Message::NodeStatus(card));
        self.full.insert(DISPATCHER);
        self.put(CANARY_ANALYSIS, Message::NodeStatus(card));
    }
    /// Turns a node's ticks on or off. Idle nodes get none, so they cost nothing however large the fleet is.
    pub fn rouse(&mut self, node: NodeIx, awake: bool) {
        if awake {
            self.awake.insert(node);
        } else {
            self.awake.remove(&node);
        }
    }
    /// Queues an event for the components that it concerns.
    pub fn sort(&mut self, event: Event) {
        let to = match &event {
            Event::Nodes { scope, nodes } => {
                // Nodes missing from a complete list are gone.
                let whole = matches!(scope, Scope::Full | Scope::Cached);
                let named: BTreeSet<NodeIx> = nodes.iter().map(|n| n.node).collect();
                let left = |e: &&NodeEntry| whole && !named.contains(&e.node);
                let listed = self.listed.values().filter(left);
                let gone = listed.map(|e| NodeEntry { readiness: Readiness::Gone, ..*e });
                for entry in gone.chain(nodes.iter().copied()).collect::<Vec<_>>() {
                    let boxes = self.boxes.len().max(FIRST_NODE + entry.node + 1);
                    self.boxes.resize_with(boxes, VecDeque::new);
                    self.listed.insert(entry.node, entry);
                    self.put(FIRST_NODE + entry.node, Message::NodeListed(entry));
                }
                DISCOVERY_CLIENT
            }
            Event::Discovery(sign) => {
                self.lease.hear(self.now, *sign);
                DISCOVERY_CLIENT
            }
            Event::Sight(sight) => {
                self.sight = *sight;
                return;
            }
            Event::PickEnded { node, .. } => {
                self.put(FIRST_NODE + node, Message::Event(event.clone()));
                DISPATCHER
            }
            Event::Stage { .. } => {
                self.put(CANARY_ANALYSIS, Message::Event(event.clone()));
                DISPATCHER
            }
            Event::Rpc { .. } | Event::StreamBegun { .. } | Event::ClientLeft { .. } => DISPATCHER,
            _ => CANARY_ANALYSIS,
        };
        self.put(to, Message::Event(event));
    }
    /// Time since the node's process started; a node without a start time is old.
    pub fn age(&self, entry: &NodeEntry) -> Duration {
        entry.started.map_or(Duration::MAX, |at| self.now.saturating_sub(at))
    }
}

/// A node's status, as it publishes it to the other components.
#[derive(Clone, Copy, Default, PartialEq)]
pub struct NodeStatus {
    pub entry: NodeEntry,
    /// Listed as ready.
    pub ready: bool,
    /// Own picks in flight.
    pub in_flight: usize,
    /// Expected latency of an RPC in seconds, raised for a failing node.
    pub pace: f64,
    /// Number of answers behind `pace`, up to a limit.
    pub met: f64,
    /// Ejected for failures or silence.
    pub resting: bool,
    /// On probation after an ejection.
    pub gentle: bool,
}

/// State of a rollout, as the controller reports it.
#[derive(Clone, Copy)]
pub struct RolloutStatus {
    pub build: Build,
    pub stage: usize,
    /// Whether the build is on trial, released or rolled back.
    pub course: Course,
    /// Exposure cap.
    pub cap: f64,
    /// When the stage was launched.
    pub launched: Duration,
}

impl RolloutStatus {
    /// Whether the build is being rolled back, or has been.
    pub fn back(&self) -> bool {
        matches!(self.course, Course::GoingBack | Course::Withdrawn)
    }
    /// Reads a stage event, with the reply to a vote that it carries.
    pub fn read(cx: &Context, event: &Event) -> Option<(RolloutStatus, VoteReply)> {
        let &Event::Stage { build, stage, course, reply, cap, age } = event else { return None };
        Some((RolloutStatus { build, stage, course, cap, launched: cx.now.saturating_sub(age) }, reply))
    }
}
