//! All fakes as one state machine without I/O: nodes, node list, rollout controller and clients, driven by the
//! script. The caller reports what happened on its sockets (real or simulated) and carries out the returned
//! commands. The state machine writes the trace.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use ivydrift_audit::trace::{self, AnswerKind as Answer, Event, Line, ProcessEvent, State};
use ivydrift_policy::port::{MethodConfig, Repeat};
use ivydrift_wire::controller::{
    Counted, DisputeReport, RolloutState, RolloutUpdate, Stage, Vote, VoteAnswer,
};
use ivydrift_wire::list::{self, ListedNode};
use ivydrift_wire::orca::Metrics;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};

use crate::day::{Day, Defect, FaultKind, InjectedFault, Work};
use crate::node::{Lifecycle, Node};
use crate::platform_stats::PickStats;
use crate::rollout::{FleetChange, RolloutController, RolloutStatus};
use crate::tally::Phase;

/// A command for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Make a node listen, then call [`Environment::node_opened`].
    OpenNode(u32),
    /// Stop a node and break all its connections.
    CloseNode(u32),
    /// Suspend a marshal.
    SuspendMarshal(usize),
    /// Resume a marshal.
    ResumeMarshal(usize),
    /// Kill a marshal.
    KillMarshal(usize),
    /// Start a marshal.
    StartMarshal(usize),
}

/// An RPC that arrived at a node.
#[derive(Clone, Debug)]
pub struct ReceivedRpc {
    pub id: u64,
    pub call: u64,
    pub marshal: usize,
    pub method: usize,
    pub key: u64,
}

/// How a node handles an RPC.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeResponse {
    /// It never answers.
    Never,
    /// The connection breaks at this time, without an answer.
    Break(Duration),
    /// It answers at time `at`.
    Answer { at: Duration, status: u16, never_ran: bool, load: Metrics },
}

/// An attempt of a client at a marshal.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    pub id: u64,
    pub call: u64,
    pub marshal: usize,
    pub method: usize,
    pub key: u64,
    /// Time until the client's deadline.
    pub time_left: Duration,
    /// When the client cancels, if it does.
    pub cancel_after: Option<Duration>,
    /// The number of this attempt, from 1.
    pub number: u32,
}

/// How an attempt ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEnd {
    Answered { kind: Answer, build: u32, picks: u32, retry_after: Duration },
    Broken,
    Refused,
    TimedOut,
    Cancelled,
}

/// A client's RPC, with all its attempts: its start, its deadline and the phase that it counts in.
struct ClientCall {
    started: Duration,
    call_deadline: Duration,
    phase: usize,
}

/// An attempt in flight.
struct OpenAttempt {
    attempt: Attempt,
    at: Duration,
}

/// The state of all fakes.
pub struct Environment {
    pub day: Day,
    rng: StdRng,
    now: Duration,
    lines: Vec<Line>,
    pub nodes: Vec<Node>,
    pub controller: RolloutController,
    /// Nodes wanted for the present rollout stage.
    wanted_nodes: usize,
    /// Versions of the node list with time and index, oldest first.
    list_versions: VecDeque<(Duration, u64, Vec<ListedNode>)>,
    /// By marshal: the node states it was told.
    told_nodes: HashMap<usize, BTreeMap<u32, State>>,
    /// By marshal: the rollout state it was told.
    told_rollouts: HashMap<usize, (u32, u32, RolloutState, f64)>,
    /// Wrong answers that clients will report: when, and to which marshal.
    disputes: Vec<(Duration, usize, DisputeReport)>,
    pick_stats: PickStats,
    /// Indexes of the faults that have begun.
    faults_begun: BTreeSet<usize>,
    /// Indexes of the faults that have ended.
    faults_ended: BTreeSet<usize>,
    /// By fault: the nodes that it affects.
    affected: HashMap<usize, BTreeSet<u32>>,
    /// By call: when its token was first seen.
    tokens_seen: HashMap<u64, Duration>,
    /// Builds of the RPCs of the last two seconds.
    recent_builds: VecDeque<(Duration, u32)>,
    /// When the next new call comes.
    next_call: Duration,
    /// Scheduled retries, by time and call.
    retries: BTreeMap<(Duration, u64), Attempt>,
    open_calls: HashMap<u64, ClientCall>,
    open_attempts: HashMap<u64, OpenAttempt>,
    /// Calls made through the client library, and whether their client has cancelled.
    library_calls: HashMap<u64, (Attempt, bool)>,
    last_id: u64,
    /// The phases of the day and their statistics.
    pub phases: Vec<Phase>,
    /// Unix time at the begin of the run.
    pub unix_zero_ms: u64,
    /// Builds of the script whose rollout has begun.
    rollouts_begun: usize,
}

impl Environment {
    /// `unix_zero_ms`: Unix time at the begin of the run, for the start times in the node list.
    pub fn new(day: Day, unix_zero_ms: u64, slack: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(day.seed);
        let mut nodes = Vec::new();
        for i in 0..day.fleet.nodes {
            // Machine types are assigned by their shares, zones in rotation.
            let mut at = (i as f64 + 0.5) / day.fleet.nodes as f64;
            let machine = day.fleet.machines.iter().position(|m| {
                at -= m.share;
                at < 0.0
            });
            let machine = machine.unwrap_or(0);
            let speed = day.fleet.machines[machine].speed * rng.random_range(0.95..1.05);
            let (zone, cores) = (i % day.zones.len(), day.fleet.cores);
            nodes.push(Node::new(1, zone, machine, speed, cores, Lifecycle::Starting(Duration::ZERO)));
        }
        let law = Line::new(0, Event::Law(day.law(slack)));
        let phases = phases(&day);
        let controller = RolloutController::new(day.release.shares.len() - 1);
        let started = |m| Line::new(0, Event::Marshal { marshal: m as u32, turn: ProcessEvent::Started });
        let lines = std::iter::once(law).chain((0..day.marshals).map(started)).collect();
        Environment {
            rng,
            now: Duration::ZERO,
            lines,
            nodes,
            controller,
            wanted_nodes: 0,
            list_versions: VecDeque::from([(Duration::ZERO, 1, vec![])]),
            told_nodes: HashMap::new(),
            told_rollouts: HashMap::new(),
            disputes: Vec::new(),
            pick_stats: PickStats::default(),
            faults_begun: BTreeSet::new(),
            faults_ended: BTreeSet::new(),
            affected: HashMap::new(),
            tokens_seen: HashMap::new(),
            recent_builds: VecDeque::new(),
            next_call: Duration::from_millis(1500),
            retries: BTreeMap::new(),
            open_calls: HashMap::new(),
            open_attempts: HashMap::new(),
            library_calls: HashMap::new(),
            last_id: 0,
            phases,
            unix_zero_ms,
            rollouts_begun: 0,
            day,
        }
    }

    /// Takes the trace lines since the last call, in order of time.
    pub fn lines(&mut self) -> Vec<Line> {
        std::mem::take(&mut self.lines)
    }

    fn record(&mut self, seen: Event) {
        self.lines.push(Line::new(self.now.as_micros() as u64, seen));
    }

    /// Advances the time. Threads may report out of order, so an earlier time is ignored.
    fn advance_to(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    fn active_faults(&self, kind: FaultKind) -> impl Iterator<Item = (usize, &InjectedFault)> {
        let now = self.now;
        self.day.faults.iter().enumerate().filter(move |(_, t)| t.kind == kind && t.is_active(now))
    }

    fn total_severity(&self, kind: FaultKind) -> f64 {
        self.active_faults(kind).map(|t| t.1.severity).sum()
    }

    fn method(&self, method: usize) -> &(String, MethodConfig, Work) {
        &self.day.methods[method]
    }

    // ---- script -------------------------------------------------------------------------------------------

    /// Advances the script, the rollout controller and starting nodes. Call it every few milliseconds.
    pub fn step(&mut self, now: Duration) -> Vec<Command> {
        self.advance_to(now);
        let mut commands = Vec::new();
        for i in 0..self.day.faults.len() {
            let fault = self.day.faults[i].clone();
            if self.now >= fault.at && self.faults_begun.insert(i) {
                self.begin_fault(i, &fault, &mut commands);
            }
            if self.now >= fault.at + fault.lasts && self.faults_ended.insert(i) {
                self.end_fault(&fault, &mut commands);
            }
        }
        for number in 0..self.nodes.len() as u32 {
            let node = &mut self.nodes[number as usize];
            match node.lifecycle {
                Lifecycle::Starting(at) if self.now >= at => {
                    // It is up once the caller reports that it listens.
                    node.lifecycle = Lifecycle::Terminated;
                    commands.push(Command::OpenNode(number));
                }
                Lifecycle::Draining(until) if self.now >= until => self.stop_node(number, &mut commands),
                _ => {}
            }
        }
        self.step_rollout();
        self.pick_stats.close_periods(self.now, self.day.sampling.period);
        commands
    }

    /// Reports that a node listens.
    pub fn node_opened(&mut self, now: Duration, number: u32, port: u16) {
        self.advance_to(now);
        let initial = self.now < Duration::from_millis(500);
        let at = self.now;
        let node = &mut self.nodes[number as usize];
        node.start(at);
        if initial {
            node.started_at = None;
        }
        node.port = Some(port);
        let (build, capacity) = (node.build, node.capacity());
        if !initial {
            self.record(Event::Up { node: number, build, capacity });
        }
        self.publish_list();
    }

    fn stop_node(&mut self, number: u32, commands: &mut Vec<Command>) {
        self.nodes[number as usize].lifecycle = Lifecycle::Terminated;
        commands.push(Command::CloseNode(number));
        self.record(Event::Down { node: number });
        self.publish_list();
    }

    fn begin_fault(&mut self, i: usize, fault: &InjectedFault, commands: &mut Vec<Command>) {
        let marshal = (fault.severity as usize).min(self.day.marshals - 1);
        let turn = |turn| Event::Marshal { marshal: marshal as u32, turn };
        let running: Vec<u32> = (0..self.nodes.len() as u32)
            .filter(|&n| self.nodes[n as usize].lifecycle == Lifecycle::Running)
            .collect();
        let share = match fault.kind {
            FaultKind::Crash | FaultKind::Hang => fault.severity,
            _ => fault.node_share,
        };
        match fault.kind {
            FaultKind::Suspend => {
                self.record(turn(ProcessEvent::Stopped));
                commands.push(Command::SuspendMarshal(marshal));
            }
            FaultKind::Kill => {
                self.record(turn(ProcessEvent::Killed));
                commands.push(Command::KillMarshal(marshal));
            }
            FaultKind::Crash
            | FaultKind::Hang
            | FaultKind::FastErrors
            | FaultKind::NoisyNeighbour
            | FaultKind::LostZone => {
                let count = ((share * running.len() as f64).round() as usize).max(1);
                let mut affected = BTreeSet::new();
                if fault.kind == FaultKind::LostZone {
                    let zone = fault.zone.unwrap_or(0);
                    affected.extend(running.iter().filter(|&&n| self.nodes[n as usize].zone == zone));
                } else {
                    while affected.len() < count.min(running.len()) {
                        affected.insert(running[self.rng.random_range(0..running.len())]);
                    }
                }
                if matches!(fault.kind, FaultKind::Crash | FaultKind::LostZone) {
                    for &number in &affected {
                        self.nodes[number as usize].restart_at = Some(fault.at + fault.lasts);
                        self.stop_node(number, commands);
                    }
                }
                self.affected.insert(i, affected);
            }
            _ => {}
        }
    }

    fn end_fault(&mut self, fault: &InjectedFault, commands: &mut Vec<Command>) {
        let marshal = (fault.severity as usize).min(self.day.marshals - 1);
        match fault.kind {
            FaultKind::Suspend => {
                let seen = Event::Marshal { marshal: marshal as u32, turn: ProcessEvent::Continued };
                self.record(seen);
                commands.push(Command::ResumeMarshal(marshal));
            }
            FaultKind::Kill => {
                let seen = Event::Marshal { marshal: marshal as u32, turn: ProcessEvent::Started };
                self.record(seen);
                self.told_nodes.remove(&marshal);
                self.told_rollouts.remove(&marshal);
                self.pick_stats.forget_marshal(marshal);
                commands.push(Command::StartMarshal(marshal));
            }
            FaultKind::Crash | FaultKind::LostZone => {
                let now = self.now;
                let back = |n: &&mut Node| {
                    n.restart_at.is_some_and(|at| now >= at) && n.lifecycle == Lifecycle::Terminated
                };
                self.nodes.iter_mut().filter(back).for_each(|n| n.lifecycle = Lifecycle::Starting(now));
            }
            _ => {}
        }
    }

    fn step_rollout(&mut self) {
        let release = self.day.release.clone();
        if let Some(rollout) =
            self.day.rollouts.get(self.rollouts_begun).filter(|o| self.now >= o.at).cloned()
        {
            self.rollouts_begun += 1;
            let changes = self.controller.begin_rollout(self.now, rollout.build, &release);
            self.apply_fleet_changes(changes);
        }
        let newest = self.controller.rollout_status.build;
        let newest_nodes = || self.nodes.iter().filter(|n| n.build == newest);
        let (running, remaining) = (
            newest_nodes().filter(|n| n.lifecycle == Lifecycle::Running).count(),
            newest_nodes().filter(|n| n.lifecycle != Lifecycle::Terminated).count(),
        );
        if release.in_place && self.controller.rollout_status.course == RolloutState::OnTrial {
            // A node of the earlier build leaves once its replacement runs.
            let (earlier, fleet_size) = (self.controller.previous_build, self.day.fleet.nodes);
            let old =
                self.nodes.iter().filter(|n| n.build == earlier && n.lifecycle == Lifecycle::Running).count();
            let leaving = (old + running).saturating_sub(fleet_size);
            self.drain(earlier, leaving);
        }
        let earlier = self.controller.previous_build;
        let old =
            self.nodes.iter().filter(|n| n.build == earlier && n.lifecycle == Lifecycle::Running).count();
        let previous_ready = 10 * old >= 8 * self.day.fleet.nodes;
        let changes =
            self.controller.step(self.now, (running, self.wanted_nodes, remaining), previous_ready, &release);
        self.apply_fleet_changes(changes);
    }

    fn apply_fleet_changes(&mut self, changes: Vec<FleetChange>) {
        let fleet_size = self.day.fleet.nodes;
        for change in changes {
            match change {
                FleetChange::Launch(build, stage) => {
                    let share = self.day.release.shares.get(stage).copied().unwrap_or(1.0);
                    let wanted_nodes = ((share * fleet_size as f64).round() as usize).max(1);
                    if stage != usize::MAX {
                        self.wanted_nodes = wanted_nodes;
                    }
                    let counts = |n: &&Node| {
                        n.build == build
                            && (n.lifecycle != Lifecycle::Terminated || n.restart_at.is_some())
                            && !matches!(n.lifecycle, Lifecycle::Draining(_))
                    };
                    let existing = self.nodes.iter().filter(counts).count();
                    for i in existing..wanted_nodes {
                        let machine = self.nodes[i % fleet_size].machine;
                        let speed = self.nodes[i % fleet_size].speed;
                        let (zone, cores) = (i % self.day.zones.len(), self.day.fleet.cores);
                        let wait = self.day.fleet.start_time.mul_f64(self.rng.random_range(0.5..1.0));
                        let lifecycle = Lifecycle::Starting(self.now + wait);
                        self.nodes.push(Node::new(build, zone, machine, speed, cores, lifecycle));
                    }
                }
                FleetChange::Drain(build) => self.drain(build, usize::MAX),
            }
        }
    }

    fn drain(&mut self, build: u32, limit: usize) {
        let until = self.now + self.day.fleet.drain_time;
        let mut drained = 0;
        for node in self.nodes.iter_mut().filter(|n| n.build == build) {
            if drained == limit {
                break;
            }
            drained += 1;
            match node.lifecycle {
                Lifecycle::Running => node.lifecycle = Lifecycle::Draining(until),
                Lifecycle::Starting(_) => node.lifecycle = Lifecycle::Terminated,
                _ => drained -= 1,
            }
            node.restart_at = None;
        }
        if drained > 0 {
            self.publish_list();
        }
    }

    // ---- node list ----------------------------------------------------------------------------------------

    fn publish_list(&mut self) {
        let (zones, machines, zero) = (&self.day.zones, &self.day.fleet.machines, self.unix_zero_ms);
        let listed = |n: &Node| {
            Some(ListedNode {
                host: "127.0.0.1".to_owned(),
                port: n.port?,
                state: if n.lifecycle == Lifecycle::Running {
                    list::State::Ready
                } else {
                    list::State::Draining
                },
                build: n.build,
                zone: zones[n.zone].clone(),
                cell: 0,
                kind: machines[n.machine].name.clone(),
                power: n.capacity(),
                started_ms: n.started_at.map(|since| zero + since.as_millis() as u64),
            })
        };
        let nodes: Vec<ListedNode> =
            self.nodes.iter().filter(|n| n.is_serving()).filter_map(listed).collect();
        let index = self.list_versions.back().map_or(0, |l| l.1) + 1;
        self.list_versions.push_back((self.now, index, nodes));
        while self.list_versions.len() > 256 {
            self.list_versions.pop_front();
        }
    }

    fn report_delay(&self) -> Duration {
        Duration::from_secs_f64(self.total_severity(FaultKind::LateReports))
    }

    /// Whether the node list is down.
    pub fn list_down(&self) -> bool {
        self.active_faults(FaultKind::ListDown).next().is_some()
    }

    /// Whether the rollout controller is down.
    pub fn controller_down(&self) -> bool {
        self.active_faults(FaultKind::ControllerDown).next().is_some()
    }

    /// The node list, if it is newer than the marshal's index. `wait_over`: the wait of the long poll is over,
    /// so answer in any case.
    pub fn list(
        &mut self, now: Duration, marshal: usize, index: u64, wait_over: bool,
    ) -> Option<(u64, Vec<ListedNode>)> {
        self.advance_to(now);
        let lag = self.day.list_lag + self.report_delay();
        let (_, list_index, nodes) =
            self.list_versions.iter().rev().find(|l| l.0 + lag <= self.now || l.1 <= 2)?.clone();
        if list_index <= index && !wait_over {
            return None;
        }
        let previous = self.told_nodes.remove(&marshal).unwrap_or_default();
        let number = |port: u16| self.nodes.iter().rposition(|n| n.port == Some(port)).unwrap_or(0) as u32;
        let state = |s: list::State| if s == list::State::Ready { State::Ready } else { State::Draining };
        let current: BTreeMap<u32, State> = nodes.iter().map(|n| (number(n.port), state(n.state))).collect();
        let gone = previous.keys().filter(|n| !current.contains_key(n)).map(|n| (*n, State::Gone));
        let changed = current.iter().filter(|(n, s)| previous.get(n) != Some(s)).map(|(n, s)| (*n, *s));
        let lines: Vec<(u32, State)> = gone.chain(changed).collect();
        for (node, state) in lines {
            self.record(Event::Told { marshal: marshal as u32, node, state });
        }
        self.told_nodes.insert(marshal, current);
        Some((list_index, nodes))
    }

    // ---- rollout controller -------------------------------------------------------------------------------

    fn stage_for(&mut self, marshal: usize, rollout_status: &RolloutStatus) -> Stage {
        let RolloutStatus { build, stage, course, cap, .. } = *rollout_status;
        if self.told_rollouts.insert(marshal, (build, stage as u32, course, cap))
            != Some((build, stage as u32, course, cap))
        {
            let course = match course {
                RolloutState::OnTrial => trace::RolloutState::OnTrial,
                RolloutState::GoingBack => trace::RolloutState::GoingBack,
                RolloutState::Released => trace::RolloutState::Released,
                RolloutState::Withdrawn => trace::RolloutState::Withdrawn,
            };
            self.record(Event::News { marshal: marshal as u32, build, stage: stage as u32, course, cap });
        }
        rollout_status.to_wire(self.now)
    }

    /// The rollout state, if it is newer than the marshal's index or there is other news. `wait_over`: as for
    /// [`Environment::list`].
    pub fn rollout_news(
        &mut self, now: Duration, marshal: usize, index: u64, wait_over: bool,
    ) -> Option<RolloutUpdate> {
        self.advance_to(now);
        let (version, rollout_status) =
            self.controller.delayed_state(self.now, self.day.controller_lag + self.report_delay());
        let due = |d: &(Duration, usize, DisputeReport)| d.1 == marshal && d.0 <= self.now;
        let disputed: Vec<DisputeReport> =
            self.disputes.iter().filter(|d| due(d)).map(|d| d.2.clone()).collect();
        let names: Vec<&str> = self.day.methods.iter().map(|m| &*m.0).collect();
        let late = self.day.sampling.report_delay + self.report_delay();
        let sums = self.pick_stats.take_due(self.now, marshal, late, &names);
        if version <= index && disputed.is_empty() && sums.is_empty() && !wait_over {
            return None;
        }
        let now = self.now;
        self.disputes.retain(|d| !(d.1 == marshal && d.0 <= now));
        let stage = Some(self.stage_for(marshal, &rollout_status));
        Some(RolloutUpdate { index: version, stage, sums, disputed })
    }

    /// Handles a vote. `None`: the controller does not answer, but the vote may have been counted.
    pub fn vote(&mut self, now: Duration, vote: Vote) -> Option<VoteAnswer> {
        self.advance_to(now);
        let down = self.controller_down();
        if down && self.rng.random_bool(0.5) {
            return None;
        }
        let release = self.day.release.clone();
        let counted = self.controller.vote(self.now, vote, &release);
        if down {
            return None;
        }
        if counted == Counted::Counts {
            let phase = self.current_phase();
            self.phases[phase].voted(vote.verdict);
        }
        let rollout_status = self.controller.rollout_status;
        // A marshal reads the state from the answer to a counted vote only; the trace records only that.
        let stage = match counted {
            Counted::Counts => self.stage_for(vote.marshal as usize, &rollout_status),
            _ => rollout_status.to_wire(self.now),
        };
        Some(VoteAnswer { counted, stage })
    }

    // ---- nodes --------------------------------------------------------------------------------------------

    /// The severity of an active fault of this kind that affects the node.
    pub fn fault_severity(&self, kind: FaultKind, node: u32) -> Option<f64> {
        let affects_node =
            |t: &(usize, &InjectedFault)| self.affected.get(&t.0).is_some_and(|s| s.contains(&node));
        self.active_faults(kind).find(affects_node).map(|t| t.1.severity)
    }

    /// How long nodes keep idle connections, if they close them.
    pub fn idle_timeout(&self) -> Option<Duration> {
        self.active_faults(FaultKind::CloseIdle).next().map(|t| Duration::from_secs_f64(t.1.severity))
    }

    /// A node read an RPC. `None` if the node is gone.
    pub fn receive(
        &mut self, now: Duration, number: u32, rpc: &ReceivedRpc,
    ) -> Option<(NodeResponse, Vec<Command>)> {
        self.advance_to(now);
        let now = self.now;
        let (name, config, work) = self.method(rpc.method).clone();
        let mean = work.mean.as_secs_f64();
        let base = mean * self.rng.random_range(1.0 - work.spread..=1.0 + work.spread);
        let node = self.nodes.get(number as usize).filter(|n| n.is_serving())?;
        let (build, zone, port) = (node.build, node.zone, node.port.unwrap_or(0));
        let (marshal, id, method, key) = (rpc.marshal as u32, rpc.id, name.clone(), rpc.key);
        let work_us = (base * 1e6) as u64;
        self.record(Event::Got {
            node: number,
            build,
            marshal,
            id,
            method,
            key,
            zone: zone as u32,
            cell: 0,
            work_us,
        });
        let mut commands = Vec::new();
        if !self.day.sampling.period.is_zero() && self.rng.random_bool(self.day.sampling.share) {
            self.pick_stats.pick_started(number, rpc.id, build, rpc.method, now);
        }
        let rules = self.day.rules;
        if self.nodes[number as usize].overloads(now, base, &rules) {
            self.record(Event::Fell { node: number });
            self.stop_node(number, &mut commands);
            return Some((NodeResponse::Break(now), commands));
        }
        // The factor by which active faults slow this RPC down.
        let mut slowdown =
            1.0 + self.active_faults(FaultKind::SharedSlow).map(|t| t.1.severity - 1.0).sum::<f64>();
        slowdown *= self.fault_severity(FaultKind::NoisyNeighbour, number).unwrap_or(1.0);
        let slow_method = self.active_faults(FaultKind::SlowMethod).find(|t| t.1.method == Some(rpc.method));
        slowdown *= slow_method.map_or(1.0, |t| t.1.severity);
        let heavy =
            self.active_faults(FaultKind::HeavyTail).find(|t| t.1.method.is_none_or(|m| m == rpc.method));
        if let Some((severity, work_factor)) = heavy.map(|t| (t.1.severity, t.1.work_factor)) {
            slowdown *= if self.rng.random_bool(severity.min(1.0)) { work_factor } else { 1.0 };
        }
        let rollout = self.day.rollouts.iter().find(|o| o.build == build).cloned();
        let mut fails = 0.0;
        if let Some(rollout) = &rollout {
            let node = &mut self.nodes[number as usize];
            let old = node.started_at.is_some_and(|s| now > s + Duration::from_secs(6));
            match rollout.defect {
                Defect::Errors => fails = rollout.severity,
                Defect::OneMethod if rollout.method == Some(rpc.method) => fails = rollout.severity,
                Defect::Slow => slowdown *= rollout.severity,
                Defect::LateOnset if old => {
                    slowdown *= 2.0;
                    fails = rollout.severity;
                }
                Defect::UnderLoad if node.is_busy(now) => fails = rollout.severity,
                _ => {}
            }
        }
        self.recent_builds.push_back((now, build));
        while self.recent_builds.front().is_some_and(|l| l.0 + Duration::from_secs(2) < now) {
            self.recent_builds.pop_front();
        }
        if let Some(shared) = self.day.rollouts.iter().find(|o| o.defect == Defect::Shared) {
            let shared_count = self.recent_builds.iter().filter(|l| l.1 == shared.build).count();
            slowdown *= 1.0 + shared.severity * shared_count as f64 / self.recent_builds.len().max(1) as f64;
        }
        let link = self
            .active_faults(FaultKind::SlowLink)
            .filter(|t| t.1.zone == Some(zone))
            .map(|t| t.1.severity)
            .sum::<f64>();
        let other_zone = self.day.zone_of_marshal(rpc.marshal) != zone;
        let link_delay = Duration::from_secs_f64(if other_zone { 2.0 * link } else { 0.0 });
        let queue = self.nodes[number as usize].queue_length(now);
        let fast = self.fault_severity(FaultKind::FastErrors, number);
        if queue >= self.day.fleet.queue {
            self.record(Event::Turned { node: number, id });
            let at = now + link_delay + Duration::from_micros(300);
            return Some((
                NodeResponse::Answer { at, status: 503, never_ran: true, load: self.load_report(number) },
                commands,
            ));
        }
        if fast.is_some_and(|p| self.rng.random_bool(p.min(1.0))) {
            let at = now + link_delay + Duration::from_millis(2);
            return Some((
                NodeResponse::Answer { at, status: 500, never_ran: false, load: self.load_report(number) },
                commands,
            ));
        }
        let repeat = matches!(config.repeat, Repeat::Tokened { window, .. }
            if self.tokens_seen.get(&rpc.call).is_some_and(|&t| now < t + window));
        if !repeat {
            self.record(Event::Ran { node: number, call: rpc.call, method: name.clone() });
            if matches!(config.repeat, Repeat::Tokened { .. }) {
                self.tokens_seen.insert(rpc.call, now);
                if self.tokens_seen.len() > 200_000 {
                    self.tokens_seen.retain(|_, &mut t| t + Duration::from_secs(60) > now);
                }
            }
        }
        if self.fault_severity(FaultKind::Hang, number).is_some() {
            return Some((NodeResponse::Never, commands));
        }
        let node = &mut self.nodes[number as usize];
        let cost =
            if repeat { 0.002 } else { base * slowdown / (node.speed * node.capacity_factor(now, &rules)) };
        let done = node.enqueue(now, cost) + link_delay;
        let lost = self.total_severity(FaultKind::LostAnswers).min(1.0);
        if lost > 0.0 && self.rng.random_bool(lost) {
            return Some((NodeResponse::Break(done), commands));
        }
        let failed = fails > 0.0 && self.rng.random_bool(fails.min(1.0));
        let wrong =
            rollout.is_some_and(|o| o.defect == Defect::Wrong && self.rng.random_bool(o.severity.min(1.0)));
        if wrong && !failed && self.rng.random_bool(self.day.release.flag_share.clamp(0.0, 1.0)) {
            let at = done + Duration::from_secs_f64(self.rng.random_range(0.7..3.0));
            let age_ms = (at - now).as_millis() as u64;
            let disputed = DisputeReport { node: format!("127.0.0.1:{port}"), method: name, age_ms };
            self.disputes.push((at, rpc.marshal, disputed));
        }
        let status = if failed { 500 } else { 200 };
        Some((
            NodeResponse::Answer { at: done, status, never_ran: false, load: self.load_report(number) },
            commands,
        ))
    }

    fn load_report(&mut self, number: u32) -> Metrics {
        let now = self.now;
        let node = &mut self.nodes[number as usize];
        let (queue, rate) = (node.queue_length(now) as f64, node.arrival_rate(now));
        Metrics {
            queue: Some(queue),
            in_flight: Some(node.in_flight() as f64),
            rps: Some(rate),
            ..Metrics::default()
        }
    }

    /// A node wrote its answer, or saw the marshal close the connection.
    pub fn node_done(&mut self, now: Duration, node: u32, id: u64, ok: bool) {
        self.advance_to(now);
        self.pick_stats.pick_ended(node, id, self.now, ok);
        self.record(Event::Done { node, id, ok });
    }

    // ---- clients ------------------------------------------------------------------------------------------

    /// When the next attempt is due; `None` once the traffic is over.
    pub fn next_attempt(&self) -> Option<Duration> {
        let new_calls = Some(self.next_call).filter(|&t| t < self.traffic_end());
        new_calls.into_iter().chain(self.retries.keys().next().map(|k| k.0)).min()
    }

    /// Traffic stops before the end of the run, so that every attempt ends within it.
    pub fn traffic_end(&self) -> Duration {
        let longest = self.day.methods.iter().map(|m| m.1.deadline).max().unwrap_or_default();
        self.day.lasts.saturating_sub(longest + Duration::from_millis(500))
    }

    /// Starts the attempts that are due.
    pub fn due_attempts(&mut self, now: Duration) -> Vec<Attempt> {
        self.advance_to(now);
        let mut due = Vec::new();
        while let Some((&(at, call), _)) = self.retries.first_key_value().filter(|a| a.0 .0 <= self.now) {
            due.extend(self.retries.remove(&(at, call)));
        }
        while self.next_call <= self.now && self.next_call < self.traffic_end() {
            due.push(self.new_call());
            self.schedule_next_call();
        }
        for attempt in &mut due {
            self.last_id += 1;
            attempt.id = self.last_id;
            let method = self.method(attempt.method).0.clone();
            let (marshal, left_us) = (attempt.marshal as u32, attempt.time_left.as_micros() as u64);
            self.record(Event::Asked {
                marshal,
                id: attempt.id,
                call: attempt.call,
                method,
                key: attempt.key,
                left_us,
            });
            self.open_attempts.insert(attempt.id, OpenAttempt { attempt: attempt.clone(), at: self.now });
        }
        due
    }

    /// Starts the calls that are due, for clients that use the client library, which makes the attempts.
    pub fn due_library_calls(&mut self, now: Duration) -> Vec<Attempt> {
        self.advance_to(now);
        let mut due = Vec::new();
        while self.next_call <= self.now && self.next_call < self.traffic_end() {
            due.push(self.new_call());
            self.schedule_next_call();
        }
        for attempt in &due {
            self.library_calls.insert(attempt.call, (attempt.clone(), false));
        }
        due
    }

    /// The library sends an attempt of a call to a marshal. Returns the attempt's id and the call's key.
    pub fn library_attempt_sent(
        &mut self, now: Duration, call: u64, marshal: usize, time_left: Duration,
    ) -> Option<(u64, u64)> {
        self.advance_to(now);
        let (mut attempt, _) = self.library_calls.get(&call).cloned()?;
        self.last_id += 1;
        (attempt.id, attempt.marshal, attempt.time_left) = (self.last_id, marshal, time_left);
        let (id, key, method) = (attempt.id, attempt.key, self.method(attempt.method).0.clone());
        let left_us = time_left.as_micros() as u64;
        self.record(Event::Asked { marshal: marshal as u32, id, call, method, key, left_us });
        self.open_attempts.insert(id, OpenAttempt { attempt, at: self.now });
        Some((id, key))
    }

    /// An attempt made by the library ended.
    pub fn library_attempt_ended(&mut self, now: Duration, id: u64, end: AttemptEnd) {
        self.advance_to(now);
        let Some(open) = self.open_attempts.remove(&id) else { return };
        let cancelled = self.library_calls.get(&open.attempt.call).is_some_and(|c| c.1);
        self.record(end_event(id, if cancelled { AttemptEnd::Cancelled } else { end }));
    }

    /// The client is about to cancel a call made through the library.
    pub fn library_call_cancelled(&mut self, now: Duration, call: u64) {
        self.advance_to(now);
        if let Some(entry) = self.library_calls.get_mut(&call) {
            entry.1 = true;
        }
    }

    /// A call made through the library ended for its client.
    pub fn library_call_ended(&mut self, now: Duration, call: u64, end: AttemptEnd) {
        self.advance_to(now);
        if let Some((attempt, _)) = self.library_calls.remove(&call) {
            let since = self.open_calls.get(&call).map_or(self.now, |c| c.started);
            self.finish_call(&attempt, since, end);
        }
    }

    fn choose_marshal(&mut self) -> usize {
        let shift =
            self.active_faults(FaultKind::ShiftTraffic).next().map(|t| (t.1.severity, t.1.zone.unwrap_or(0)));
        let marshal = self.rng.random_range(0..self.day.marshals);
        match shift {
            Some((severity, zone)) if self.rng.random_bool(severity.min(1.0)) => {
                let zone_marshals: Vec<usize> =
                    (0..self.day.marshals).filter(|&m| self.day.zone_of_marshal(m) == zone).collect();
                zone_marshals.get(marshal % zone_marshals.len().max(1)).copied().unwrap_or(marshal)
            }
            _ => marshal,
        }
    }

    /// Draws the time of the next call.
    fn schedule_next_call(&mut self) {
        let burst: f64 = self.active_faults(FaultKind::Burst).map(|t| t.1.severity).product();
        let gap = Exp::new(self.day.traffic.rate * burst).map_or(1.0, |e| e.sample(&mut self.rng));
        self.next_call += Duration::from_secs_f64(gap);
    }

    fn new_call(&mut self) -> Attempt {
        let mut draw =
            self.rng.random_range(0.0..1.0) * self.day.methods.iter().map(|m| m.2.share).sum::<f64>();
        let method = self.day.methods.iter().position(|m| {
            draw -= m.2.share;
            draw < 0.0
        });
        let method = method.unwrap_or(0);
        let deadline = self.method(method).1.deadline;
        let traffic = self.day.traffic.clone();
        let timeout_share = self.rng.random_range(traffic.min_timeout_share..=1.0);
        let time_left = deadline.mul_f64(timeout_share);
        let key = match Zipf::new(traffic.keys as f64, traffic.zipf) {
            Ok(zipf) if traffic.keys > 0 => zipf.sample(&mut self.rng) as u64,
            _ => 0,
        };
        self.last_id += 1;
        let (call, marshal) = (self.last_id, self.choose_marshal());
        let phase = self.current_phase();
        self.phases[phase].asked += 1;
        self.open_calls
            .insert(call, ClientCall { started: self.now, call_deadline: self.now + deadline, phase });
        let cancel_after = self.draw_cancellation(time_left);
        Attempt { id: 0, call, marshal, method, key, time_left, cancel_after, number: 1 }
    }

    /// The index of the present phase.
    fn current_phase(&self) -> usize {
        self.phases.iter().position(|p| self.now < p.to).unwrap_or(self.phases.len() - 1)
    }

    fn draw_cancellation(&mut self, time_left: Duration) -> Option<Duration> {
        let severity = self.total_severity(FaultKind::ClientsCancel).min(1.0);
        (severity > 0.0 && self.rng.random_bool(severity))
            .then(|| time_left.mul_f64(self.rng.random_range(0.02..0.5)))
    }

    /// An attempt ended. The client may retry, if the method allows it.
    pub fn attempt_ended(&mut self, now: Duration, id: u64, end: AttemptEnd) {
        self.advance_to(now);
        let Some(open) = self.open_attempts.remove(&id) else { return };
        self.record(end_event(id, end));
        let OpenAttempt { mut attempt, at } = open;
        let Some(call) = self.open_calls.get(&attempt.call) else { return };
        let (started, call_deadline) = (call.started, call.call_deadline);
        let config = self.method(attempt.method).1.clone();
        let within = match config.repeat {
            Repeat::Idempotent => true,
            Repeat::Tokened { window, .. } => self.now + Duration::from_secs(1) < started + window,
            Repeat::NonIdempotent => false,
        };
        let mut wait = self.day.traffic.retry_wait;
        let retry = match end {
            AttemptEnd::Answered { kind: Answer::Ok, .. } | AttemptEnd::Cancelled | AttemptEnd::TimedOut => {
                false
            }
            AttemptEnd::Answered { kind: Answer::PushedBack, retry_after, .. } => {
                wait = wait.max(retry_after);
                true
            }
            AttemptEnd::Refused => true,
            _ => within,
        };
        let start = self.now + wait;
        let time_remains = call_deadline.saturating_sub(start) > Duration::from_millis(50);
        // Nodes drop a repeat only while they remember its token.
        let token_known = !matches!(config.repeat, Repeat::Tokened { .. }) || within;
        if retry
            && time_remains
            && token_known
            && attempt.number <= self.day.traffic.retries
            && start < self.traffic_end()
        {
            attempt.number += 1;
            attempt.time_left = attempt.time_left.min(call_deadline - start);
            attempt.cancel_after = self.draw_cancellation(attempt.time_left);
            if end == AttemptEnd::Refused {
                attempt.marshal = self.choose_marshal();
            }
            self.retries.insert((start, attempt.call), attempt);
            return;
        }
        self.finish_call(&attempt, at, end);
    }

    /// Counts the end of a call in its phase. `since`: when its client began to wait.
    fn finish_call(&mut self, attempt: &Attempt, since: Duration, end: AttemptEnd) {
        let Some(call) = self.open_calls.remove(&attempt.call) else { return };
        let soft = self.method(attempt.method).1.soft_deadline;
        let (took, phase) = (self.now.saturating_sub(since), &mut self.phases[call.phase]);
        match end {
            AttemptEnd::Answered { kind, picks, .. } => phase.answered(kind, took, soft, picks),
            _ => phase.none += 1,
        }
    }

    /// Bytes arrived after the final answer of an attempt.
    pub fn extra_bytes(&mut self, now: Duration, id: u64) {
        self.advance_to(now);
        self.record(Event::Extra { id });
    }

    /// A marshal was asked to shut down.
    pub fn marshal_stopping(&mut self, now: Duration, marshal: usize) {
        self.advance_to(now);
        self.record(Event::Marshal { marshal: marshal as u32, turn: ProcessEvent::Told });
    }

    /// Attempts in flight.
    pub fn attempts_in_flight(&self) -> usize {
        self.open_attempts.len()
    }
}

fn end_event(id: u64, end: AttemptEnd) -> Event {
    match end {
        AttemptEnd::Answered { kind, build, picks, .. } => Event::Answered { id, kind, build, picks },
        AttemptEnd::Broken => Event::Broken { id },
        AttemptEnd::Refused => Event::Refused { id },
        AttemptEnd::TimedOut => Event::TimeUp { id },
        AttemptEnd::Cancelled => Event::Left { id },
    }
}

/// Splits the day where faults begin or end and rollouts begin, into phases of at least two seconds.
fn phases(day: &Day) -> Vec<Phase> {
    let mut cuts: Vec<Duration> = day.faults.iter().flat_map(|t| [t.at, t.at + t.lasts]).collect();
    cuts.extend(day.rollouts.iter().map(|o| o.at));
    cuts.sort();
    let mut phases: Vec<Phase> = Vec::new();
    let mut from = Duration::ZERO;
    for to in cuts.into_iter().chain([day.lasts]) {
        if to < from + Duration::from_secs(2) && to < day.lasts || to <= from || to > day.lasts {
            continue;
        }
        let middle = (from + to) / 2;
        let names = day.faults.iter().filter(|t| t.is_active(middle)).map(|t| t.kind.word());
        let mut label = names.collect::<Vec<_>>().join("+");
        if label.is_empty() {
            label = "quiet".to_owned();
        }
        phases.push(Phase::new(from, to, label));
        from = to;
    }
    if phases.is_empty() {
        phases.push(Phase::new(Duration::ZERO, day.lasts, "quiet".to_owned()));
    }
    phases
}
