//! The core of a marshal, between its sockets and the policy (the decision module). It keeps the table of
//! RPCs and picks, maps addresses and names to small indices, passes events to the policy and turns the
//! policy's actions into [`Command`]s. It has no socket, clock or thread: `Core::handle(now, input) -> commands`.
//!
//! It makes none of the policy's decisions. Four rules are enforced here because they follow from facts and
//! leave no choice: which [`Outcome`] an observation on the socket proves; that an RPC gets exactly one final
//! answer; that an RPC which the policy has not answered in time is aborted; and that an RPC whose body
//! cannot be sent again ends with its pick.
#![forbid(unsafe_code)]

mod config_update;
mod directory;
mod messages;
mod node_list;
mod peers;
mod rollout;
mod rpcs;
mod send_check;
mod services;
mod wall_clock;

use std::collections::BTreeSet;
use std::time::Duration;

use ivydrift_policy::port::*;
use ivydrift_policy::Marshal;
use ivydrift_terms::Config;
use ivydrift_wire::{controller, peer};

use directory::Directory;
pub use directory::Rejected;
pub use ivydrift_policy::port::{DiscoverySignal, Outcome, Repeat};
pub use messages::{Ballot, Call, Command, Counts, FailureReason, Id, Input, Observation};
use peers::Peers;
use rpcs::Rpcs;
pub use send_check::Withheld;
pub use services::{DropReason, InstanceId, Output, ServiceState, Services, PRIMARY};
use wall_clock::WallClock;

/// State of one service: RPC table, node list, timers and the policy. All times are offsets from the I/O
/// layer's zero.
pub struct Core {
    policy: Marshal,
    config: Config,
    directory: Directory,
    rpcs: Rpcs,
    timers: BTreeSet<(Duration, u64)>,
    counts: Counts,
    /// Unix time of the I/O layer's zero in milliseconds, as read at the start.
    epoch_ms: u64,
    wall_clock: WallClock,
    pending_nodes: Option<PendingNodes>,
    controller_heard: bool,
    rollout_status: rollout::RolloutStatus,
    /// Whether RPCs of a method are accepted, by method index. A method of an earlier config may be gone
    /// while RPCs of it are still in flight.
    method_enabled: Vec<bool>,
    /// Membership among the marshals; `None` before the first call and where the config allows no peers.
    peers: Option<Peers>,
    /// Numbers of the dead marshals, for a core without peers; another core of this process supplies them.
    dead_marshals: Vec<usize>,
    started: bool,
    program: String,
}

/// Node events that arrived before the rollout controller's first message. The policy receives them after it.
struct PendingNodes {
    /// Arrival time of the first of them.
    since: Duration,
    events: Vec<Event>,
}

/// Without a message from the rollout controller a marshal does not know which build is on trial. After this
/// time the oldest listed build counts as released, so that all later builds are limited to the first stage's
/// cap.
const CONTROLLER_TIMEOUT: Duration = Duration::from_secs(2);

/// Upper bound on how long after an RPC's deadline the core waits for the policy to answer before it aborts
/// the RPC. The rest of the deadline margin is left for sending the answer.
const POLICY_GRACE: Duration = Duration::from_millis(5);

impl Core {
    /// `epoch_ms` is the Unix time of the I/O layer's zero in milliseconds. Zero must lie well before the
    /// start, so that nodes started earlier have a representable age.
    pub fn new(config: Config, epoch_ms: u64) -> Self {
        Core {
            policy: Marshal::new(&config.rollout),
            directory: Directory::new(&config),
            rpcs: Rpcs::default(),
            timers: BTreeSet::new(),
            counts: Counts::default(),
            epoch_ms,
            wall_clock: WallClock::new(epoch_ms),
            pending_nodes: None,
            controller_heard: false,
            rollout_status: rollout::RolloutStatus::default(),
            method_enabled: vec![true; config.methods.len()],
            peers: None,
            dead_marshals: Vec::new(),
            started: false,
            program: String::new(),
            config,
        }
    }

    /// Updates the Unix time of the I/O layer's zero (milliseconds) from the current wall clock, which may
    /// have stepped.
    pub fn set_wall_clock(&mut self, epoch_ms: u64) {
        self.wall_clock.record(epoch_ms);
    }

    /// Sets the program name announced to the other marshals. Call it before the first [`Core::handle`].
    pub fn set_program(&mut self, program: String) {
        self.program = program;
    }

    /// Numbers of the marshals that have been dead for [`directory::DEAD_AFTER`].
    fn dead_marshals(&self, now: Duration) -> Vec<usize> {
        long_dead(&self.peers, &self.dead_marshals, now)
    }

    /// Sets the dead marshals for a core without peers.
    fn set_dead_marshals(&mut self, dead: &[usize]) {
        self.dead_marshals = dead.to_vec();
    }

    /// Counters since the start; `held` is the number of RPCs in the table now.
    pub fn counts(&self) -> Counts {
        Counts { held: self.rpcs.len(), ..self.counts }
    }

    /// Bytes that the policy has allocated for evidence by method. A method without RPCs takes none.
    pub fn evidence_bytes(&self) -> usize {
        self.policy.evidence_bytes()
    }

    /// Number of ready nodes that the policy knows of; 0 while node events wait for the rollout controller.
    pub fn ready(&self) -> usize {
        if self.pending_nodes.is_some() {
            return 0;
        }
        self.directory.ready()
    }

    /// Problems found in the latest node list, by node.
    pub fn rejected(&self) -> &[Rejected] {
        &self.directory.rejected
    }

    /// When [`Input::Tick`] is due next.
    pub fn next_tick(&self) -> Duration {
        let wake = self.timers.first().map(|timer| timer.0);
        let overdue = self.rpcs.first_overdue();
        let pending_nodes = self.pending_nodes.as_ref().map(|pending| pending.since + CONTROLLER_TIMEOUT);
        let peers = self.peers.as_ref().map(Peers::next_tick);
        wake.into_iter().chain(overdue).chain(pending_nodes).chain(peers).min().unwrap_or(Duration::ZERO)
    }

    /// Processes one input and returns the commands to carry out, in order.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Command> {
        let mut commands = Vec::new();
        let mut events = Vec::new();
        if !std::mem::replace(&mut self.started, true) {
            // Zero lies at a fixed span before each start, so a later start has a larger `epoch_ms`.
            self.peers = Peers::new(&self.config, &self.program, self.epoch_ms, now);
        }
        self.dispatch(now, input, &mut events, &mut commands);
        // The policy must be called once before any event, to set its timers.
        while self.run_policy(now, std::mem::take(&mut events), &mut events, &mut commands) {}
        commands
    }

    fn dispatch(
        &mut self, now: Duration, input: Input, events: &mut Vec<Event>, commands: &mut Vec<Command>,
    ) {
        match input {
            Input::Rpc { id, call } => self.accept_rpc(now, id, call, events, commands),
            Input::AnswerBegan { id, pick } => {
                if let Some((rpc, sent)) = self.rpcs.begin_stream(id, pick) {
                    let (node, took) = (sent.node, now.saturating_sub(sent.at));
                    events.push(Event::StreamBegun { rpc, pick, node, took });
                    self.counts.ok += 1;
                    commands.push(Command::Pass { id, pick, picks: sent.picks, build: sent.build });
                }
            }
            Input::PickEnded { id, pick, observation } => {
                self.end_pick(now, id, pick, observation, events, commands)
            }
            Input::BodyConsumed { id, pick, waited } => self.rpcs.consume_body(id, pick, waited),
            Input::AttemptsStopped { id } => self.rpcs.stop_attempts(id),
            Input::ClientLeft { id } => {
                let Some(disconnected) = self.rpcs.disconnect(id) else { return };
                self.counts.left += 1;
                events.push(Event::ClientLeft { rpc: disconnected.rpc });
                if self.config.rollout.limits.cancel {
                    commands
                        .extend(disconnected.in_flight.into_iter().map(|pick| Command::Sever { id, pick }));
                }
            }
            Input::NodeList(nodes) => {
                let node_events = self.directory.apply_list(now, &self.wall_clock, nodes);
                self.apply_node_events(now, node_events, events, commands);
            }
            Input::CachedNodeList(nodes) => {
                self.directory.apply_list(now, &self.wall_clock, nodes);
                self.load_saved_nodes(now, events);
            }
            Input::NodeListLost => events.push(Event::Nodes { update: ListUpdate::Failed, nodes: vec![] }),
            Input::Discovery(sign) => events.push(Event::Discovery(sign)),
            Input::RolloutUpdate(rollout_update) => {
                self.apply_rollout_update(now, rollout_update, events);
                if rollout_update.stage.is_some() {
                    self.controller_heard = true;
                    events.extend(self.pending_nodes.take().into_iter().flat_map(|pending| pending.events));
                }
            }
            Input::VoteAnswered(ballot) => events.extend(self.vote_event(now, ballot)),
            Input::PeerDatagram(datagram) => {
                let config = &self.config.rollout;
                let other = |from| from < config.marshals && from != config.marshal;
                let message = peer::read(datagram).filter(|(_, from, _)| other(usize::from(*from)));
                match (message, &mut self.peers) {
                    (Some((peer::Kind::Policy, from, text)), _) => {
                        events.push(Event::Peer { from: from.into(), payload: text.to_vec() });
                    }
                    (Some((peer::Kind::Members, from, bytes)), Some(peers)) => {
                        commands.extend(peers.receive(now, from, bytes));
                    }
                    _ => {}
                }
            }
            Input::ShuttingDown => {
                commands.extend(self.peers.as_mut().into_iter().flat_map(|p| p.leave(now)));
            }
            Input::Tick => {
                if self
                    .pending_nodes
                    .as_ref()
                    .is_some_and(|pending| now >= pending.since + CONTROLLER_TIMEOUT)
                {
                    let (state, reply) = (RolloutState::Released, VoteReply::Unsolicited);
                    let (build, stage, age) = (self.directory.oldest_build(), 0, Duration::ZERO);
                    events.push(Event::Stage { build, stage, state, reply, cap: 1.0, age });
                    events.extend(self.pending_nodes.take().into_iter().flat_map(|pending| pending.events));
                    self.controller_heard = true;
                    let line = "no message from the rollout controller; treating the oldest listed build as released";
                    commands.push(Command::Log(line.to_owned()));
                }
                while let Some(&(at, tag)) = self.timers.first().filter(|timer| timer.0 <= now) {
                    self.timers.remove(&(at, tag));
                    events.push(Event::Timer { tag });
                }
                let (peers, known_dead) = (&self.peers, &self.dead_marshals);
                let dead = || long_dead(peers, known_dead, now);
                let node_events = self.directory.refresh_subset(now, self.counts.rpcs, dead);
                self.apply_node_events(now, node_events, events, commands);
                if let Some(peers) = &mut self.peers {
                    let record = || own_record(&self.config, &self.directory);
                    commands.extend(peers.tick(now, record, self.counts.rpcs));
                }
                for id in self.rpcs.overdue(now) {
                    self.abort_overdue(now, id, events, commands);
                }
            }
        }
    }

    /// Returns one page of this marshal's view of the others, from row `first`; `None` where the config
    /// allows no peers.
    pub fn peers(&self, now: Duration, first: u16) -> Option<(peer::View, peer::ViewExtension)> {
        self.peers.as_ref().map(|p| p.view(now, first))
    }

    fn accept_rpc(
        &mut self, now: Duration, id: Id, call: Call, events: &mut Vec<Event>, commands: &mut Vec<Command>,
    ) {
        let known = self.config.methods.find(call.method);
        let Some(method) = known.filter(|&method| self.method_enabled[method]) else {
            self.counts.rejected += 1;
            commands.push(Command::Reject {
                id,
                status: 404,
                why: "unknown method: the path must name a method of the config",
            });
            return;
        };
        let config = &self.config.rollout.methods[method];
        if matches!(config.repeat, Repeat::Tokened { .. }) && !call.has_idempotency_key {
            self.counts.rejected += 1;
            let why = "this method requires an Idempotency-Key header";
            commands.push(Command::Reject { id, status: 400, why });
            return;
        }
        // The answer must leave before the client's deadline.
        let left = call.time_left.unwrap_or(config.deadline).min(config.deadline);
        let deadline_margin = self.config.limits.deadline_margin.min(left / 4);
        let left = left.saturating_sub(deadline_margin);
        let tenant = call.tenant.and_then(|name| self.config.tenants.find(name));
        let at_most_once = config.repeat == Repeat::NonIdempotent;
        let rpc = self.rpcs.add(id, now + left + POLICY_GRACE.min(deadline_margin / 2), at_most_once);
        self.counts.rpcs += 1;
        let (key, is_retry) = (call.key, call.is_retry);
        events.push(Event::Rpc { rpc, method, tenant, key, time_left: left, work: None, is_retry });
    }

    fn end_pick(
        &mut self, now: Duration, id: Id, pick: usize, observation: Observation, events: &mut Vec<Event>,
        commands: &mut Vec<Command>,
    ) {
        let outcome = observation.outcome();
        // A second report of a pick, or a report of a pick that was already cancelled, is ignored.
        let Some(end) = self.rpcs.end_pick(id, pick, outcome == Outcome::Ok) else { return };
        let took = now.saturating_sub(end.sent.at);
        if outcome == Outcome::Ok && end.is_final {
            self.counts.ok += 1;
            commands.push(Command::Pass { id, pick, picks: end.sent.picks, build: end.sent.build });
        }
        if end.streaming && outcome != Outcome::Ok {
            commands.push(Command::BreakOff { id });
        }
        let (rpc, node, load, done) =
            (end.rpc, end.sent.node, observation.load(), end.done || end.cannot_retry);
        self.rpcs.record_outcome(id, outcome);
        if end.cannot_retry {
            // The RPC cannot be sent again, so there is nothing for the policy to decide: to the policy it is
            // over.
            events.push(Event::ClientLeft { rpc });
            let never_ran = matches!(outcome, Outcome::Full | Outcome::NoConnection | Outcome::NotAttempted);
            if let Some((id, picks, why)) = self.rpcs.finish(rpc) {
                commands.push(if never_ran {
                    self.counts.pushed_back += 1;
                    let retry_after = self.config.rollout.limits.retry_after;
                    Command::PushBack { id, picks, retry_after, why }
                } else {
                    self.counts.aborted += 1;
                    Command::Abort { id, picks, why }
                });
            }
        }
        events.push(Event::PickEnded { rpc, pick, node, outcome, took, done, load });
        self.rpcs.remove_if_done(id);
    }

    /// Aborts an RPC that the policy did not answer in time, so that it does not stay without an answer.
    fn abort_overdue(&mut self, now: Duration, id: Id, events: &mut Vec<Event>, commands: &mut Vec<Command>) {
        let Some(aborted) = self.rpcs.abort(id) else { return };
        let (picks, why) = (aborted.picks, aborted.why);
        self.counts.overdue += 1;
        self.counts.aborted += 1;
        events.push(Event::ClientLeft { rpc: aborted.rpc });
        for (pick, sent) in aborted.in_flight {
            let (rpc, node, took) = (aborted.rpc, sent.node, now.saturating_sub(sent.at));
            let (outcome, load) = (Outcome::Timeout, Load::default());
            events.push(Event::PickEnded { rpc, pick, node, outcome, took, done: true, load });
            commands.push(Command::Sever { id, pick });
        }
        commands.push(Command::Abort { id, picks, why });
    }

    /// Passes events to the policy and turns its actions into commands; true if that produced new events.
    fn run_policy(
        &mut self, now: Duration, events: Vec<Event>, more: &mut Vec<Event>, commands: &mut Vec<Command>,
    ) -> bool {
        for action in self.policy.handle(now, events) {
            match action {
                Action::Pick { rpc, node, within } => self.start_pick(now, rpc, node, within, more, commands),
                Action::PushBack { rpc, retry_after } => {
                    if let Some((id, picks, why)) = self.rpcs.finish(rpc) {
                        self.counts.pushed_back += 1;
                        commands.push(Command::PushBack { id, picks, retry_after, why });
                    }
                }
                Action::Abort { rpc } => {
                    if let Some((id, picks, why)) = self.rpcs.finish(rpc) {
                        self.counts.aborted += 1;
                        commands.push(Command::Abort { id, picks, why });
                    }
                }
                Action::Cancel { rpc, pick } => {
                    commands.extend(self.rpcs.id_of(rpc).map(|id| Command::Sever { id, pick }));
                }
                Action::Wake { after, tag } => {
                    self.timers.insert((now + after, tag));
                }
                Action::CloseIdle { node } => {
                    commands.extend(self.directory.addr(node).map(|node| Command::CloseIdle { node }));
                }
                Action::Tell { to, text } => self.send_to_peers(to, &text, commands),
                Action::Log(line) => commands.push(Command::Log(line)),
                Action::Subscribe(true) | Action::FetchList => commands.push(Command::FollowMembership),
                // Unsubscribing and probing are not implemented here; `limits.probes` is never set.
                Action::Subscribe(false) | Action::Probe { .. } => {}
                Action::Vote { verdict, stage, build } => {
                    let verdict = match verdict {
                        Verdict::None => controller::Verdict::None,
                        Verdict::On => controller::Verdict::On,
                        Verdict::Hold => controller::Verdict::Hold,
                        Verdict::Back => controller::Verdict::Back,
                    };
                    let (marshal, stage) = (self.config.rollout.marshal as u32, stage as u32);
                    commands.push(Command::Vote(controller::Vote { marshal, verdict, stage, build }));
                }
            }
        }
        !more.is_empty()
    }

    fn start_pick(
        &mut self, now: Duration, rpc: RpcIx, node: NodeIx, within: Duration, more: &mut Vec<Event>,
        commands: &mut Vec<Command>,
    ) {
        let build = self.directory.build(node);
        let Some((id, pick)) = self.rpcs.send(rpc, node, build, now) else {
            return;
        };
        match (self.rpcs.needs_answer(id), self.directory.addr(node)) {
            (true, Some(addr)) => {
                self.counts.picks += 1;
                let careful = self.rpcs.at_most_once(id);
                commands.push(Command::Pick { id, pick, node: addr, by: now + within, careful });
            }
            _ => {
                // The RPC ended within this batch of actions: the pick is not issued and the policy is told
                // so.
                self.rpcs.end_pick(id, pick, false);
                let (outcome, load) = (Outcome::NotAttempted, Load::default());
                let took = Duration::ZERO;
                more.push(Event::PickEnded { rpc, pick, node, outcome, took, done: true, load });
                self.rpcs.remove_if_done(id);
            }
        }
    }

    fn send_to_peers(&self, to: Option<usize>, text: &[u8], commands: &mut Vec<Command>) {
        let own = self.config.rollout.marshal;
        let Some(datagram) = peer::write(peer::Kind::Policy, own as u16, text) else { return };
        let all = 0..self.config.addresses.peers.len();
        for to in all.filter(|&n| n != own && to.is_none_or(|wanted| wanted == n)) {
            commands.push(Command::Tell { to, datagram: datagram.clone() });
        }
    }
}

/// Numbers of the marshals that have been dead for [`directory::DEAD_AFTER`]; `known_dead` where this
/// core has no peers.
fn long_dead(peers: &Option<Peers>, known_dead: &[usize], now: Duration) -> Vec<usize> {
    peers.as_ref().map_or_else(|| known_dead.to_vec(), |p| p.dead(now, directory::DEAD_AFTER))
}

/// This marshal's record for the others, without its RPC rate.
fn own_record(config: &Config, directory: &Directory) -> peer::PeerStatus {
    let zone = config.rollout.zone;
    let region = config.regions.get(zone).copied().unwrap_or(0);
    let ready = directory.ready().min(u16::MAX.into()) as u16;
    peer::PeerStatus { zone: zone as u16, region: region as u16, rate: 0.0, ready }
}
