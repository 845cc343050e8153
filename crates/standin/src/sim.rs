//! Runs a day in virtual time: the real core and decision module of the marshals, and the fakes, in a simulated
//! network. Deterministic for a given seed, and hundreds of times faster than real time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use ivydrift_audit::trace::{AnswerKind as Answer, Line};
use ivydrift_audit::{Auditor, Report};
use ivydrift_marshal::{Ballot, Call, Command as MarshalCommand, Core, Counts, Id, Input, Observation};
use ivydrift_wire::controller::{RolloutUpdate, Vote};
use ivydrift_wire::list::ListedNode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::day::{Addresses, Day};
use crate::environment::{Attempt, AttemptEnd, Command, Environment, NodeResponse, ReceivedRpc};
use crate::rollout::RolloutStatus;
use crate::tally::Phase;

/// The marshals' clock starts this long before the run, as it does in the real process.
const CLOCK_OFFSET: Duration = Duration::from_secs(86_400);
/// Unix time at the begin of the run, in milliseconds.
const START_UNIX_MS: u64 = 1_000_000_000_000;
/// How far apart in time a client, a marshal and a node may see the same event.
pub const SLACK: Duration = Duration::from_millis(10);
/// Interval at which the script is advanced.
const STEP_INTERVAL: Duration = Duration::from_millis(5);

/// The result of a run.
pub struct Outcome {
    pub report: Report,
    pub phases: Vec<Phase>,
    /// Every state of the rollouts, and when it began.
    pub course: Vec<(Duration, RolloutStatus)>,
    /// Votes that were counted.
    pub votes: u64,
    /// Attempt accounting of the marshal processes that lived to the end.
    pub counts: Vec<Counts>,
    /// The trace, if requested.
    pub lines: Vec<Line>,
}

/// An input for a marshal, with the data it owns.
#[derive(Clone, Debug)]
enum Message {
    Rpc(Attempt),
    PickEnded { id: Id, pick: usize, observation: Observation },
    ClientLeft(Id),
    List(Vec<ListedNode>),
    ListLost,
    RolloutUpdate(RolloutUpdate),
    Voted(Ballot),
    Peer(Vec<u8>),
    Tick,
}

/// An event of the simulation.
#[derive(Clone, Debug)]
enum Event {
    Step,
    ClientsDue,
    Deliver {
        to: usize,
        generation: u32,
        message: Message,
    },
    ReachNode {
        from: usize,
        generation: u32,
        pick: usize,
        node: u32,
        rpc: ReceivedRpc,
    },
    /// A node finishes with an RPC.
    NodeResponds {
        from: usize,
        generation: u32,
        id: Id,
        pick: usize,
        node: u32,
        response: NodeResponse,
    },
    /// A pick's deadline passed.
    PickTimedOut {
        from: usize,
        generation: u32,
        id: Id,
        pick: usize,
    },
    /// A node sees that the marshal closed a connection.
    NodeSeesClose {
        node: u32,
        id: Id,
    },
    /// A marshal's long poll of the node list (`list`) or the rollout controller is checked for news.
    Poll {
        marshal: usize,
        generation: u32,
        list: bool,
        since: Duration,
    },
    Vote {
        from: usize,
        generation: u32,
        vote: Vote,
    },
    /// An answer, or the end of the connection, reaches the client.
    ReachClient {
        id: Id,
        end: AttemptEnd,
    },
    ClientTimedOut {
        attempt: Attempt,
    },
    ClientCancels {
        attempt: Attempt,
    },
}

/// A marshal process.
struct MarshalProcess {
    core: Option<Core>,
    /// Counts restarts: events meant for an earlier process are dropped.
    generation: u32,
    suspended: bool,
    /// Inputs that arrived while the process was suspended.
    inbox: Vec<Message>,
    watching: bool,
    /// Version of the latest answer, from the rollout controller and from the node list.
    index: [u64; 2],
    /// The nodes of the picks in flight.
    picks: HashMap<(Id, usize), u32>,
    attempts: HashMap<Id, Attempt>,
    /// When the next timer is due.
    next_tick: Option<Duration>,
}

/// The state of the simulation.
pub struct Sim {
    env: Environment,
    processes: Vec<MarshalProcess>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Event>,
    seq: u64,
    now: Duration,
    rng: StdRng,
    ports: HashMap<u16, u32>,
    /// Attempts that have ended for their clients.
    ended: HashSet<Id>,
    /// When the next client attempt is due.
    clients_due_at: Option<Duration>,
}

fn addresses(day: &Day) -> Addresses {
    let at = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let peers = (0..day.marshals).map(|m| at(7000 + m as u16)).collect();
    Addresses { listen: at(7100), node_list: at(7001), rollout_controller: at(7002), peers }
}

/// Runs a day. `keep_trace` returns its trace as well.
///
/// # Errors
/// When a marshal's config is invalid, or the trace is malformed.
pub fn run(day: Day, keep_trace: bool) -> Result<Outcome, String> {
    let lasts = day.lasts;
    let seed = day.seed;
    let marshals = day.marshals;
    let env = Environment::new(day, START_UNIX_MS, SLACK);
    let mut sim = Sim {
        env,
        processes: Vec::new(),
        queue: BinaryHeap::new(),
        events: HashMap::new(),
        seq: 0,
        now: Duration::ZERO,
        rng: StdRng::seed_from_u64(seed ^ 0x5eed),
        ports: HashMap::new(),
        ended: HashSet::new(),
        clients_due_at: None,
    };
    for marshal in 0..marshals {
        sim.processes.push(MarshalProcess::not_running());
        sim.start(marshal)?;
    }
    sim.schedule(Duration::ZERO, Event::Step);
    sim.schedule_clients();
    let (mut auditor, mut lines) = (Auditor::new(), Vec::new());
    while let Some(Reverse((t, seq))) = sim.queue.pop() {
        if t > lasts {
            break;
        }
        sim.now = t;
        if let Some(event) = sim.events.remove(&seq) {
            sim.handle_event(event)?;
        }
        for line in sim.env.lines() {
            auditor.take(&line)?;
            if keep_trace {
                lines.push(line);
            }
        }
    }
    let counts = sim.processes.iter().filter_map(|h| h.core.as_ref().map(Core::counts)).collect();
    let Environment { phases, controller, .. } = sim.env;
    let (course, votes) = (controller.transitions, controller.votes_counted);
    Ok(Outcome { report: auditor.finish(), phases, course, votes, counts, lines })
}

impl MarshalProcess {
    fn not_running() -> Self {
        MarshalProcess {
            core: None,
            generation: 0,
            suspended: false,
            inbox: Vec::new(),
            watching: false,
            index: [0; 2],
            picks: HashMap::new(),
            attempts: HashMap::new(),
            next_tick: None,
        }
    }
}

impl Sim {
    fn schedule(&mut self, t: Duration, event: Event) {
        self.seq += 1;
        self.events.insert(self.seq, event);
        self.queue.push(Reverse((t.max(self.now), self.seq)));
    }

    /// A random one-way network delay.
    fn network_delay(&mut self, far: bool) -> Duration {
        let traffic = &self.env.day.traffic;
        let mean = if far { traffic.delay_far } else { traffic.delay_near };
        mean.mul_f64(self.rng.random_range(0.7..1.6)) + Duration::from_micros(20)
    }

    fn delay_to_node(&mut self, marshal: usize, node: u32) -> Duration {
        let far =
            self.env.nodes.get(node as usize).map(|n| n.zone) != Some(self.env.day.zone_of_marshal(marshal));
        self.network_delay(far)
    }

    fn start(&mut self, marshal: usize) -> Result<(), String> {
        let text = self.env.day.config(marshal, &addresses(&self.env.day));
        let config = ivydrift_terms::parse("terms", &text).map_err(|e| e.to_string())?;
        let generation = self.processes[marshal].generation + 1;
        let core = Core::new(config, START_UNIX_MS - CLOCK_OFFSET.as_millis() as u64);
        self.processes[marshal] =
            MarshalProcess { core: Some(core), generation, ..MarshalProcess::not_running() };
        let since = self.now;
        self.schedule(since, Event::Poll { marshal, generation, list: false, since });
        self.schedule(since, Event::Deliver { to: marshal, generation, message: Message::Tick });
        Ok(())
    }

    fn handle_event(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Step => {
                for command in self.env.step(self.now) {
                    self.execute(command)?;
                }
                self.schedule(self.now + STEP_INTERVAL, Event::Step);
            }
            Event::ClientsDue => {
                self.clients_due_at = self.clients_due_at.filter(|&at| at > self.now);
                for attempt in self.env.due_attempts(self.now) {
                    self.send_attempt(attempt);
                }
                self.schedule_clients();
            }
            Event::Deliver { to, generation, message } => {
                if self.processes[to].generation == generation {
                    self.deliver(to, message);
                }
            }
            Event::ReachNode { from, generation, pick, node, rpc } => {
                self.reach_node(from, generation, pick, node, rpc)
            }
            Event::NodeResponds { from, generation, id, pick, node, response } => {
                let in_flight = self.processes[from].generation == generation
                    && self.processes[from].picks.contains_key(&(id, pick));
                let observation = match response {
                    NodeResponse::Never => return Ok(()),
                    NodeResponse::Break(_) => Observation::Broken,
                    NodeResponse::Answer { status, never_ran, load, .. } => {
                        Observation::Answer { status, never_ran, load }
                    }
                };
                if in_flight {
                    self.env.node_done(
                        self.now,
                        node,
                        id,
                        matches!(observation, Observation::Answer { status: 200, .. }),
                    );
                    let delay = self.delay_to_node(from, node);
                    self.schedule(
                        self.now + delay,
                        Event::Deliver {
                            to: from,
                            generation,
                            message: Message::PickEnded { id, pick, observation },
                        },
                    );
                }
            }
            Event::PickTimedOut { from, generation, id, pick } => {
                if self.processes[from].generation == generation
                    && self.processes[from].picks.contains_key(&(id, pick))
                {
                    self.deliver(from, Message::PickEnded { id, pick, observation: Observation::TimedOut });
                }
            }
            Event::NodeSeesClose { node, id } => self.env.node_done(self.now, node, id, false),
            Event::Poll { marshal, generation, list, since } => self.poll(marshal, generation, list, since),
            Event::Vote { from, generation, vote } => {
                let answer = self.env.vote(self.now, vote);
                let (wait, ballot) = match answer {
                    Some(answer) => (self.network_delay(true), Ballot::Answered(answer)),
                    None => (self.env.day.release.vote_wait, Ballot::Silent),
                };
                self.schedule(
                    self.now + wait,
                    Event::Deliver { to: from, generation, message: Message::Voted(ballot) },
                );
            }
            Event::ReachClient { id, end } => {
                if self.ended.insert(id) {
                    self.env.attempt_ended(self.now, id, end);
                    self.schedule_clients();
                }
            }
            Event::ClientTimedOut { attempt } => self.end_at_client(&attempt, AttemptEnd::TimedOut),
            Event::ClientCancels { attempt } => self.end_at_client(&attempt, AttemptEnd::Cancelled),
        }
        Ok(())
    }

    fn schedule_clients(&mut self) {
        let Some(t) = self.env.next_attempt() else { return };
        if self.clients_due_at.is_none_or(|at| t < at) {
            self.clients_due_at = Some(t);
            self.schedule(t, Event::ClientsDue);
        }
    }

    fn send_attempt(&mut self, attempt: Attempt) {
        let delay = self.network_delay(false);
        let (to, generation) = (attempt.marshal, self.processes[attempt.marshal].generation);
        if self.processes[to].core.is_none() {
            self.schedule(self.now + delay, Event::ReachClient { id: attempt.id, end: AttemptEnd::Refused });
            return;
        }
        self.schedule(self.now + attempt.time_left, Event::ClientTimedOut { attempt: attempt.clone() });
        if let Some(cancel_after) = attempt.cancel_after {
            self.schedule(self.now + cancel_after, Event::ClientCancels { attempt: attempt.clone() });
        }
        self.schedule(self.now + delay, Event::Deliver { to, generation, message: Message::Rpc(attempt) });
    }

    fn end_at_client(&mut self, attempt: &Attempt, end: AttemptEnd) {
        if self.ended.insert(attempt.id) {
            self.env.attempt_ended(self.now, attempt.id, end);
            let (to, generation, delay) =
                (attempt.marshal, self.processes[attempt.marshal].generation, self.network_delay(false));
            self.schedule(
                self.now + delay,
                Event::Deliver { to, generation, message: Message::ClientLeft(attempt.id) },
            );
            self.schedule_clients();
        }
    }

    fn reach_node(&mut self, from: usize, generation: u32, pick: usize, node: u32, rpc: ReceivedRpc) {
        if self.processes[from].generation != generation
            || !self.processes[from].picks.contains_key(&(rpc.id, pick))
        {
            return;
        }
        let id = rpc.id;
        match self.env.receive(self.now, node, &rpc) {
            None => {
                let delay = self.delay_to_node(from, node);
                let message = Message::PickEnded { id, pick, observation: Observation::NotSent };
                self.schedule(self.now + delay, Event::Deliver { to: from, generation, message });
            }
            Some((response, commands)) => {
                let t = match response {
                    NodeResponse::Never => None,
                    NodeResponse::Break(t) | NodeResponse::Answer { at: t, .. } => Some(t),
                };
                if let Some(t) = t {
                    self.schedule(t, Event::NodeResponds { from, generation, id, pick, node, response });
                }
                for command in commands {
                    if let Command::CloseNode(node) = command {
                        self.break_connections(node);
                    }
                }
            }
        }
    }

    /// A node is gone: all its connections break.
    fn break_connections(&mut self, node: u32) {
        for from in 0..self.processes.len() {
            let mut open_picks: Vec<(Id, usize)> =
                self.processes[from].picks.iter().filter(|p| *p.1 == node).map(|p| *p.0).collect();
            open_picks.sort_unstable();
            for (id, pick) in open_picks {
                let (generation, delay) = (self.processes[from].generation, self.delay_to_node(from, node));
                self.schedule(
                    self.now + delay,
                    Event::Deliver {
                        to: from,
                        generation,
                        message: Message::PickEnded { id, pick, observation: Observation::Broken },
                    },
                );
            }
        }
    }

    fn execute(&mut self, command: Command) -> Result<(), String> {
        match command {
            Command::OpenNode(node) => {
                let port = 10_000 + node as u16;
                self.ports.insert(port, node);
                self.env.node_opened(self.now, node, port);
            }
            Command::CloseNode(node) => self.break_connections(node),
            Command::SuspendMarshal(marshal) => self.processes[marshal].suspended = true,
            Command::ResumeMarshal(marshal) => {
                self.processes[marshal].suspended = false;
                let inbox = std::mem::take(&mut self.processes[marshal].inbox);
                // The real process checks first which clients have disconnected; so does this.
                let cancelled: HashSet<Id> = inbox
                    .iter()
                    .filter_map(|t| if let Message::ClientLeft(id) = t { Some(*id) } else { None })
                    .collect();
                for message in inbox {
                    if !matches!(&message, Message::Rpc(attempt) if cancelled.contains(&attempt.id)) {
                        self.deliver(marshal, message);
                    }
                }
                self.deliver(marshal, Message::Tick);
            }
            Command::KillMarshal(marshal) => {
                let process = std::mem::replace(&mut self.processes[marshal], MarshalProcess::not_running());
                self.processes[marshal].generation = process.generation + 1;
                let mut attempts: Vec<Id> = process.attempts.keys().copied().collect();
                attempts.sort_unstable();
                for id in attempts {
                    let delay = self.network_delay(false);
                    self.schedule(self.now + delay, Event::ReachClient { id, end: AttemptEnd::Broken });
                }
                let mut picks: Vec<((Id, usize), u32)> = process.picks.into_iter().collect();
                picks.sort_unstable();
                for ((id, _), node) in picks {
                    let delay = self.network_delay(false);
                    self.schedule(self.now + delay, Event::NodeSeesClose { node, id });
                }
            }
            Command::StartMarshal(marshal) => self.start(marshal)?,
        }
        Ok(())
    }

    fn poll(&mut self, marshal: usize, generation: u32, list: bool, since: Duration) {
        if self.processes[marshal].generation != generation || self.processes[marshal].core.is_none() {
            return;
        }
        let next_poll = |since| Event::Poll { marshal, generation, list, since };
        let hold = Duration::from_secs(if list { 10 } else { 5 });
        let wait_over = self.now >= since + hold;
        let down = if list { self.env.list_down() } else { self.env.controller_down() };
        // A suspended process does not poll; an answer under way waits in its socket.
        if self.processes[marshal].suspended || (down && !list) {
            self.schedule(self.now + Duration::from_millis(50), next_poll(self.now));
            return;
        }
        let delay = self.network_delay(true);
        if list && down {
            self.processes[marshal].watching = false;
            self.schedule(
                self.now + delay,
                Event::Deliver { to: marshal, generation, message: Message::ListLost },
            );
            return;
        }
        let index = self.processes[marshal].index[usize::from(list)];
        let message = if list {
            self.env.list(self.now, marshal, index, wait_over).map(|(at, nodes)| (at, Message::List(nodes)))
        } else {
            self.env
                .rollout_news(self.now, marshal, index, wait_over)
                .map(|rollout_update| (rollout_update.index, Message::RolloutUpdate(rollout_update)))
        };
        match message {
            Some((at, message)) => {
                self.processes[marshal].index[usize::from(list)] = at;
                self.schedule(self.now + delay, Event::Deliver { to: marshal, generation, message });
                self.schedule(self.now + 2 * delay, next_poll(self.now));
            }
            None => self.schedule(self.now + Duration::from_millis(20), next_poll(since)),
        }
    }

    fn deliver(&mut self, marshal: usize, message: Message) {
        let process = &mut self.processes[marshal];
        if process.suspended {
            // Missed timers fire once when the process resumes.
            if !matches!(message, Message::Tick) {
                process.inbox.push(message);
            }
            return;
        }
        let Some(core) = &mut process.core else { return };
        let now = CLOCK_OFFSET + self.now;
        let mut closed_pick = None;
        let commands = match &message {
            Message::Rpc(attempt) => {
                process.attempts.insert(attempt.id, attempt.clone());
                let method = self.env.day.methods[attempt.method].0.clone();
                let call = Call {
                    method: &method,
                    tenant: None,
                    key: Some(attempt.key).filter(|k| *k != 0),
                    has_idempotency_key: true,
                    time_left: Some(attempt.time_left),
                    is_retry: attempt.number > 1,
                };
                core.handle(now, Input::Rpc { id: attempt.id, call })
            }
            Message::PickEnded { id, pick, observation } => {
                closed_pick = process.picks.remove(&(*id, *pick)).map(|node| (node, *id, *observation));
                core.handle(now, Input::PickEnded { id: *id, pick: *pick, observation: *observation })
            }
            Message::ClientLeft(id) => {
                process.attempts.remove(id);
                core.handle(now, Input::ClientLeft { id: *id })
            }
            Message::List(nodes) => core.handle(now, Input::NodeList(nodes)),
            Message::ListLost => core.handle(now, Input::NodeListLost),
            Message::RolloutUpdate(rollout_update) => core.handle(now, Input::RolloutUpdate(rollout_update)),
            Message::Voted(ballot) => core.handle(now, Input::VoteAnswered(*ballot)),
            Message::Peer(datagram) => core.handle(now, Input::PeerDatagram(datagram)),
            Message::Tick => core.handle(now, Input::Tick),
        };
        let due = core.next_tick().saturating_sub(CLOCK_OFFSET);
        if let Some((node, id, Observation::TimedOut | Observation::Cancelled)) = closed_pick {
            // The marshal closes the connection; the node sees that after the network delay.
            let delay = self.delay_to_node(marshal, node);
            self.schedule(self.now + delay, Event::NodeSeesClose { node, id });
        }
        for command in commands {
            self.execute_marshal_command(marshal, command);
        }
        let process = &mut self.processes[marshal];
        let due = due.max(self.now + Duration::from_micros(100));
        if process.next_tick.is_none_or(|t| t <= self.now || due < t) {
            process.next_tick = Some(due);
            let generation = process.generation;
            self.schedule(due, Event::Deliver { to: marshal, generation, message: Message::Tick });
        }
    }

    fn execute_marshal_command(&mut self, marshal: usize, command: MarshalCommand) {
        let generation = self.processes[marshal].generation;
        let answer = |kind, build, picks, retry_after| AttemptEnd::Answered {
            kind,
            build,
            picks: picks as u32,
            retry_after,
        };
        let (id, end) = match command {
            MarshalCommand::Pick { id, pick, node, by, .. } => {
                let Some(attempt) = self.processes[marshal].attempts.get(&id).cloned() else { return };
                let number = self.ports.get(&node.port()).copied().unwrap_or(u32::MAX);
                self.processes[marshal].picks.insert((id, pick), number);
                let (call, method, key) = (attempt.call, attempt.method, attempt.key);
                let rpc = ReceivedRpc { id, call, marshal, method, key };
                let delay = self.delay_to_node(marshal, number);
                self.schedule(
                    self.now + delay,
                    Event::ReachNode { from: marshal, generation, pick, node: number, rpc },
                );
                self.schedule(
                    by.saturating_sub(CLOCK_OFFSET),
                    Event::PickTimedOut { from: marshal, generation, id, pick },
                );
                return;
            }
            MarshalCommand::Sever { id, pick } => {
                self.schedule(
                    self.now,
                    Event::Deliver {
                        to: marshal,
                        generation,
                        message: Message::PickEnded { id, pick, observation: Observation::Cancelled },
                    },
                );
                return;
            }
            MarshalCommand::Tell { to, datagram } => {
                // 2 % of the datagrams are lost.
                if self.rng.random_bool(0.98) {
                    let (delay, generation) = (self.network_delay(true), self.processes[to].generation);
                    self.schedule(
                        self.now + delay,
                        Event::Deliver { to, generation, message: Message::Peer(datagram) },
                    );
                }
                return;
            }
            MarshalCommand::Vote(vote) => {
                let delay = self.network_delay(true);
                self.schedule(self.now + delay, Event::Vote { from: marshal, generation, vote });
                return;
            }
            MarshalCommand::FollowMembership => {
                if !std::mem::replace(&mut self.processes[marshal].watching, true) {
                    let since = self.now;
                    self.schedule(since, Event::Poll { marshal, generation, list: true, since });
                }
                return;
            }
            MarshalCommand::Pass { id, picks, build, .. } => {
                (id, answer(Answer::Ok, build, picks, Duration::ZERO))
            }
            MarshalCommand::PushBack { id, picks, retry_after, .. } => {
                (id, answer(Answer::PushedBack, 0, picks, retry_after.unwrap_or_default()))
            }
            MarshalCommand::Abort { id, picks, .. } => {
                (id, answer(Answer::Aborted, 0, picks, Duration::ZERO))
            }
            MarshalCommand::Reject { id, .. } | MarshalCommand::BreakOff { id } => (id, AttemptEnd::Broken),
            MarshalCommand::CloseIdle { .. } | MarshalCommand::Log(_) => return,
        };
        self.processes[marshal].attempts.remove(&id);
        let delay = self.network_delay(false);
        self.schedule(self.now + delay, Event::ReachClient { id, end });
    }
}
