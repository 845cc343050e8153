//! The interface of the decision module: the events that it receives and the actions that it requests, in
//! plain types. Numbers without a unit in their comment are counts, indices from 0, or parts from 0 to 1.
//!
//! A driver creates one [`crate::Marshal`] from [`RolloutConfig`], then calls `handle(now, events) ->
//! actions` whenever something has happened. Times are durations since an arbitrary start; nodes and RPCs are
//! small indices assigned by the driver.

use std::time::Duration;

/// Index of a node, assigned by the driver. It denotes the same address as long as the node is listed.
pub type NodeIx = usize;
/// Index of an RPC, assigned by the driver; not reused while any pick of the earlier RPC is outstanding.
pub type RpcIx = u32;
/// Build number; later builds have higher numbers.
pub type Build = u32;

/// Whether an RPC of a method may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// May be executed more than once.
    Idempotent,
    /// Carries a token by which the nodes of `group` discard repeats for `window`.
    Tokened { group: Group, window: Duration },
    /// Must not be executed more than once.
    NonIdempotent,
}

/// The nodes that share tokens and so recognize one another's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All nodes.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes of one cell, see [`NodeEntry::cell`].
    Cell,
}

/// Config of one method.
#[derive(Clone, Debug)]
pub struct MethodConfig {
    /// Whether its RPCs may be executed more than once.
    pub repeat: Repeat,
    /// An answer within this time after the RPC's arrival earns the full utility.
    pub soft_deadline: Duration,
    /// The soft deadline is extended by this multiple of the RPC's own work (see [`Event::Rpc`]).
    pub stretch: f64,
    /// Default and upper bound of the deadline of an RPC.
    pub deadline: Duration,
    /// Utility of an answer within the soft deadline, in a unit common to all methods.
    pub utility: f64,
    /// Utility of an answer after the soft deadline, in the same unit.
    pub late_utility: f64,
    /// Answers are streamed.
    pub streamed: bool,
}

/// Config of one tenant.
#[derive(Clone, Copy, Debug)]
pub struct TenantConfig {
    /// Rate in RPCs/s up to which the tenant is within its share, summed over all marshals.
    pub quota: f64,
    /// The tenant's share, from 0 to 1.
    pub share: f64,
}

/// What advances a rollout from one stage to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Control {
    /// Votes of the marshals.
    Votes,
    /// Time alone, unless the rollout is held.
    Clock,
}

/// Config of rollouts.
#[derive(Clone, Debug)]
pub struct ReleaseConfig {
    /// What advances a rollout.
    pub control: Control,
    /// Votes needed to promote.
    pub promote_votes: usize,
    /// Votes needed to roll back.
    pub rollback_votes: usize,
    /// Share of the fleet's places (the node slots that a build can occupy) that run the new build, by stage,
    /// from 0 to 1.
    pub shares: Vec<f64>,
    /// Exposure cap by stage: the part of the received RPCs that may be sent to the build on trial, from 0 to
    /// 1.
    pub exposure_caps: Vec<f64>,
    /// The window over which exposure is counted.
    pub exposure_window: Duration,
    /// Picks that the exposure budget grants in each window regardless of traffic.
    pub free_picks: f64,
    /// Exposure is counted by method rather than over all methods.
    pub exposure_by_method: bool,
    /// In stages below this one, only idempotent methods may be sent to the build on trial.
    pub guarded_stages: usize,
    /// A key that the new build has answered is not sent to an earlier build, unless the new build is rolled
    /// back.
    pub one_way: bool,
    /// Each node of the earlier build drains once its replacement runs.
    pub in_place: bool,
    /// The minimum time that a stage lasts once its nodes run.
    pub min_stage_time: Duration,
    /// How long a vote counts.
    pub vote_life: Duration,
    /// The pause before a vote whose outcome is unknown is sent again.
    pub vote_wait: Duration,
    /// Votes per second that the platform accepts from all marshals together.
    pub vote_rate: f64,
    /// Share of the wrong answers that clients report, from 0 to 1.
    pub flag_share: f64,
}

/// Config of the rules for every send.
#[derive(Clone, Copy, Debug)]
pub struct RuleConfig {
    /// How long a node may still be sent to after it was announced as draining.
    pub drain_grace: Duration,
    /// Part of its full capacity that a node has right after its start, from 0 to 1.
    pub cold_start_part: f64,
    /// Time from a node's start to full capacity.
    pub warm_up: Duration,
    /// Slow-start budget, as a multiple of the RPCs that a cold node is expected to answer in
    /// `slow_start_window`.
    pub slow_start_multiple: f64,
    /// The window over which the slow-start budget is counted.
    pub slow_start_window: Duration,
    /// The longest time without a call to discovery while there is no subscription.
    pub max_call_gap: Duration,
    /// Bounds the use of an unconfirmed node list, where the marshal talks to discovery itself. None: the
    /// list stays valid forever.
    pub list_lease: Option<ListLeaseConfig>,
}

/// When a change known to discovery counts as delivered, whether or not it has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListLeaseConfig {
    /// This long after discovery knew the change and was reachable.
    pub delivered_within: Duration,
    /// This long after a new config came into force.
    pub delivered_after_reload: Duration,
}

/// Limits of the marshal, and the optional features of its platform.
#[derive(Clone, Copy, Debug)]
pub struct LimitConfig {
    /// Maximum picks per RPC.
    pub max_picks: usize,
    /// An RPC may have more than one pick in flight (hedged requests).
    pub hedging: bool,
    /// Picks can be cancelled.
    pub cancel: bool,
    /// Nodes can be probed.
    pub probes: bool,
    /// Marshals can send data to one another.
    pub peers: bool,
    /// Idle connections are closed after this time.
    pub idle_timeout: Duration,
    /// Upper bound of the retry-after time in a push-back; none where clients are not told such a time.
    pub retry_after: Option<Duration>,
}

/// The complete config of a marshal.
#[derive(Clone, Debug)]
pub struct RolloutConfig {
    /// Seed of all pseudorandom draws.
    pub seed: u64,
    /// Index of this marshal among all.
    pub marshal: usize,
    /// Number of marshals.
    pub marshals: usize,
    /// Index of the zone in which this marshal runs.
    pub zone: usize,
    /// The marshal must request the node list from discovery; otherwise the driver delivers it unasked.
    pub polls_discovery: bool,
    /// By method index.
    pub methods: Vec<MethodConfig>,
    /// By tenant index.
    pub tenants: Vec<TenantConfig>,
    /// Factor on the utility of answers to a tenant beyond its share.
    pub over_share_utility: f64,
    /// A node does less work for a key that it has handled recently.
    pub warm_keys: bool,
    /// Number of node kinds (machine types).
    pub kinds: usize,
    /// How new builds are rolled out.
    pub release: ReleaseConfig,
    /// The rules that every send has to pass.
    pub rules: RuleConfig,
    /// Limits of this marshal and features of its platform.
    pub limits: LimitConfig,
}

/// Whether a node accepts new work, as discovery lists it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// Accepts new work.
    Ready,
    /// Finishes its work and accepts no more.
    Draining,
    /// Not listed any more, or never listed.
    #[default]
    Gone,
}

/// A node as discovery lists it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeEntry {
    /// Its index.
    pub node: NodeIx,
    /// Hash of the node's address, the same at every marshal; it carries no order or location.
    pub address_hash: u64,
    /// Index of the machine type.
    pub kind: usize,
    /// Capacity in relation to other nodes, in any common unit; 0 where unknown.
    pub power: f64,
    /// Index of the cell that it belongs to.
    pub cell: usize,
    /// Index of the zone that it runs in.
    pub zone: usize,
    /// Whether it accepts new work.
    pub readiness: Readiness,
    /// When its process started; none means long ago.
    pub started: Option<Duration>,
    /// The build that it runs.
    pub build: Build,
}

/// Which part of the nodes the module is told of, where the list is too large for one marshal. The nodes form
/// two arms: those of the earlier builds, at index 0 of the arrays, and those of the newest build, at index
/// 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListCoverage {
    /// The newest build listed; all others belong to the arm of the earlier builds.
    pub newest: Build,
    /// The part of the arm's ready nodes that this module is told of, from 0 to 1.
    pub listed_part: [f64; 2],
    /// The part of all marshals that are told of any given node of the arm, from 0 to 1.
    pub marshal_part: [f64; 2],
}

impl Default for ListCoverage {
    /// Every marshal is told of all nodes.
    fn default() -> Self {
        ListCoverage { newest: 0, listed_part: [1.0; 2], marshal_part: [1.0; 2] }
    }
}

impl ListCoverage {
    /// The part of the nodes in a build's arm that this module is told of.
    pub fn listed_part(&self, build: Build) -> f64 {
        self.listed_part[usize::from(build == self.newest)]
    }
    /// The part of all marshals that are told of any given node of a build.
    pub fn marshal_part(&self, build: Build) -> f64 {
        self.marshal_part[usize::from(build == self.newest)]
    }
}

/// The origin of a node list update, and whether it is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// A call to discovery failed, or the subscription broke; without entries.
    Failed,
    /// The complete list as stored before the marshal's start; not confirmed by discovery since.
    Cached,
    /// Discovery's answer: the complete list.
    Full,
    /// Discovery's answer: the changes, possibly none.
    Delta,
    /// A change made by the marshal itself, such as by a new config. It did not come from discovery, so it
    /// proves nothing about the subscription.
    Local,
}

/// What the calls to discovery prove about the node list, where the marshal talks to discovery itself.
///
/// Most failures of a call prove nothing, and have no signal of their own; the list stays valid for as long as
/// it was. A call that ends in a status, a reset or no answer at all may have met a discovery service that is
/// overloaded. A refused connection shows that discovery is down now, but not that it was down, or had nothing
/// to tell, since the list was last known in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoverySignal {
    /// A complete answer: the list was known in full at `as_of`. The next sign of life is due within
    /// `next_within`.
    Confirmed { as_of: Duration, next_within: Duration },
    /// Discovery itself ended a watch that it had been holding since some time after `asked`: the list was
    /// known in full at `as_of`.
    WatchEnded { asked: Duration, as_of: Duration },
    /// A new config is in force.
    Reloaded,
}

/// How a pick or a probe ended, and whether it may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The node answered without an error; executed.
    Ok,
    /// The node answered with an error; may have been executed.
    Error,
    /// The answer could not be read; may have been executed. This does not implicate the build: a fault on
    /// the connection to any node may corrupt an answer.
    Malformed,
    /// The node refused it unread, as it is at its limit; not executed.
    Full,
    /// No answer in time; may have been executed.
    Timeout,
    /// No connection; not executed.
    NoConnection,
    /// Connection lost; may have been executed.
    Reset,
    /// Cancelled; may have been executed.
    Cancelled,
    /// Not sent; not executed.
    NotAttempted,
}

impl Outcome {
    /// Whether the outcome proves that the pick was not executed.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::NoConnection | Outcome::NotAttempted)
    }
}

/// State of a build's rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// Running on part of the fleet.
    OnTrial,
    /// Being rolled back.
    GoingBack,
    /// Promoted to the whole fleet.
    Released,
    /// Rolled back.
    Withdrawn,
}

/// What became of this marshal's latest vote, as a stage event reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteReply {
    /// The event answers no vote.
    Unsolicited,
    /// The vote counts.
    Counts,
    /// The vote makes no difference any more.
    Moot,
    /// The rollout controller takes no more votes at present.
    Full,
    /// The vote was answered with an error.
    Error,
    /// No answer; the vote may count.
    Silent,
}

/// Load figures that a node reports, where conveyed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// RPCs accepted and not yet answered.
    pub in_flight: Option<f64>,
    /// RPCs in the queue.
    pub queue: Option<f64>,
    /// CPU utilization, from 0 to 1.
    pub cpu_utilization: Option<f64>,
    /// Mean latency in milliseconds.
    pub latency: Option<f64>,
    /// RPCs per second.
    pub rate: Option<f64>,
    /// Errors per second.
    pub errors: Option<f64>,
}

/// What the driver reports to the module.
#[derive(Clone, Debug)]
pub enum Event {
    /// The node list or a change of it, or a failure to get one.
    Nodes { update: ListUpdate, nodes: Vec<NodeEntry> },
    /// Sent in addition to `Nodes`; never by the simulator, which reports a broken subscription instead.
    Discovery(DiscoverySignal),
    /// Sent before the `Nodes` event that it applies to; never where the module is told of all nodes.
    ListCoverage(ListCoverage),
    /// An RPC of a client. `key`: hash of the key that it is about, if any; `time_left`: time until its
    /// deadline; `work`: the time that its processing takes, where known; `is_retry`: the client
    /// itself has sent it before.
    Rpc {
        rpc: RpcIx,
        method: usize,
        tenant: Option<usize>,
        key: Option<u64>,
        time_left: Duration,
        work: Option<Duration>,
        is_retry: bool,
    },
    /// A pick ended. `pick`: its index among the RPC's picks; `took`: time since it was sent; `done`: the RPC
    /// has its final answer, by this outcome or an earlier one.
    PickEnded {
        rpc: RpcIx,
        pick: usize,
        node: NodeIx,
        outcome: Outcome,
        took: Duration,
        done: bool,
        load: Load,
    },
    /// The first part of a streamed answer has arrived, `took` after the pick was sent.
    StreamBegun { rpc: RpcIx, pick: usize, node: NodeIx, took: Duration },
    /// The client has left; no answer is needed.
    ClientLeft { rpc: RpcIx },
    /// The state of a rollout, as the rollout controller reports it. `reply`: what became of this marshal's
    /// vote; `cap`: exposure cap, from 0 to 1; `age`: time since the stage was launched.
    Stage { build: Build, stage: usize, state: RolloutState, reply: VoteReply, cap: f64, age: Duration },
    /// The platform's counts over a sample of all picks of one past period. `picks`: size of the sample;
    /// `failed`: how many of them failed; `mean`: their mean latency; `age`: time since the period ended.
    ControllerCounts { build: Build, method: usize, picks: u32, failed: u32, mean: Duration, age: Duration },
    /// A client reported an answer as wrong. `age`: time since that answer.
    Disputed { node: NodeIx, method: usize, age: Duration },
    /// A probe ended, `took` after it was sent.
    Probed { node: NodeIx, outcome: Outcome, took: Duration, load: Load },
    /// Data from another marshal, sent there by [`Action::Tell`]. `from`: index of that marshal.
    Peer { from: usize, payload: Vec<u8> },
    /// A wake-up requested by [`Action::Wake`] is due; `tag` is the one given there.
    Timer { tag: u64 },
}

/// A vote on a build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Neither; withdraws an earlier vote.
    None,
    /// Promote to the next stage.
    On,
    /// Stay in the stage.
    Hold,
    /// Roll back.
    Back,
}

/// What the module asks the driver to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the RPC to a node and wait for at most `within`.
    Pick { rpc: RpcIx, node: NodeIx, within: Duration },
    /// Answer "pushed back": the client may send the RPC again, after `retry_after` where that is given.
    PushBack { rpc: RpcIx, retry_after: Option<Duration> },
    /// Answer "aborted": the RPC may have been executed.
    Abort { rpc: RpcIx },
    /// Cancel a pick, by its index among the RPC's picks.
    Cancel { rpc: RpcIx, pick: usize },
    /// Call `handle` again after this time, with an [`Event::Timer`] of this tag.
    Wake { after: Duration, tag: u64 },
    /// Probe a node.
    Probe { node: NodeIx },
    /// Close idle connections to a node.
    CloseIdle { node: NodeIx },
    /// Send data to one marshal, or to all others where `to` is none.
    Tell { to: Option<usize>, text: Vec<u8> },
    /// Write a line to the log.
    Log(String),
    /// Start (true) or end (false) the subscription to the node list.
    Subscribe(bool),
    /// Request the node list once.
    FetchList,
    /// Send a vote to the rollout controller.
    Vote { verdict: Verdict, stage: usize, build: Build },
}
