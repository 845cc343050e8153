//! Runs a day in virtual time: the real core and decision module of the marshals, and the fakes, in a simulated
//! network. Deterministic for a given seed, and hundreds of times faster than real time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use ivydrift_audit::trace::{Kind as Answer, Line};
use ivydrift_audit::{Auditor, Report};
use ivydrift_marshal::{Ballot, Call, Core, Counts, Id, Input, Order, Saw};
use ivydrift_wire::desk::{News, Vote};
use ivydrift_wire::list::Listed;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::day::{Addresses, Day};
use crate::desk::Standing;
use crate::tally::Phase;
use crate::town::{Arrival, Ask, Do, End, Fate, Town};

/// The marshals' clock starts this long before the run, as it does in the real process.
const BEFORE: Duration = Duration::from_secs(86_400);
/// Unix time at the begin of the run, in milliseconds.
const ZERO_MS: u64 = 1_000_000_000_000;
/// How far apart in time a client, a marshal and a node may see the same event.
pub const SLACK: Duration = Duration::from_millis(10);
/// Interval at which the script is advanced.
const STEP: Duration = Duration::from_millis(5);

/// The result of a run.
pub struct Outcome {
    pub report: Report,
    pub phases: Vec<Phase>,
    /// Every state of the rollouts, and when it began.
    pub course: Vec<(Duration, Standing)>,
    /// Votes that were counted.
    pub votes: u64,
    /// Attempt accounting of the marshal processes that lived to the end.
    pub counts: Vec<Counts>,
    /// The trace, if requested.
    pub lines: Vec<Line>,
}

/// An input for a marshal, with the data it owns.
#[derive(Clone, Debug)]
enum Told {
    Rpc(Ask),
    Ended { id: Id, pick: usize, saw: Saw },
    Left(Id),
    List(Vec<Listed>),
    ListLost,
    News(News),
    Voted(Ballot),
    Peer(Vec<u8>),
    Tick,
}

/// An event of the simulation.
#[derive(Clone, Debug)]
enum Ev {
    Step,
    Asks,
    Tell {
        to: usize,
        life: u32,
        told: Told,
    },
    AtNode {
        from: usize,
        life: u32,
        pick: usize,
        node: u32,
        rpc: Arrival,
    },
    /// A node finishes with an RPC.
    Fate {
        from: usize,
        life: u32,
        id: Id,
        pick: usize,
        node: u32,
        fate: Fate,
    },
    /// A pick's deadline passed.
    Late {
        from: usize,
        life: u32,
        id: Id,
        pick: usize,
    },
    /// A node sees that the marshal closed a connection.
    Closed {
        node: u32,
        id: Id,
    },
    /// A marshal's long poll of the node list (`list`) or the rollout controller is checked for news.
    Poll {
        marshal: usize,
        life: u32,
        list: bool,
        since: Duration,
    },
    Vote {
        from: usize,
        life: u32,
        vote: Vote,
    },
    /// An answer, or the end of the connection, reaches the client.
    AtClient {
        id: Id,
        end: End,
    },
    TimeUp {
        ask: Ask,
    },
    Leaves {
        ask: Ask,
    },
}

/// A marshal process.
struct Host {
    core: Option<Core>,
    /// Counts restarts: events meant for an earlier process are dropped.
    life: u32,
    stopped: bool,
    /// Inputs that arrived while the process was suspended.
    inbox: Vec<Told>,
    watching: bool,
    /// Version of the latest answer, from the rollout controller and from the node list.
    index: [u64; 2],
    /// The nodes of the picks in flight.
    picks: HashMap<(Id, usize), u32>,
    asks: HashMap<Id, Ask>,
    /// When the next timer is due.
    ticks: Option<Duration>,
}

/// The state of the simulation.
pub struct Sim {
    town: Town,
    hosts: Vec<Host>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Ev>,
    seq: u64,
    now: Duration,
    rng: StdRng,
    ports: HashMap<u16, u32>,
    /// Attempts that have ended for their clients.
    over: HashSet<Id>,
    /// When the next client attempt is due.
    asks_at: Option<Duration>,
}

fn addresses(day: &Day) -> Addresses {
    let at = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let peers = (0..day.marshals).map(|m| at(7000 + m as u16)).collect();
    Addresses { listen: at(7100), node_list: at(7001), release_desk: at(7002), peers }
}

/// Runs a day. `keep` returns its trace as well.
///
/// # Errors
/// When a marshal's config is invalid, or the trace is malformed.
pub fn run(day: Day, keep: bool) -> Result<Outcome, String> {
    let lasts = day.lasts;
    let seed = day.seed;
    let marshals = day.marshals;
    let town = Town::new(day, ZERO_MS, SLACK);
    let mut sim = Sim {
        town,
        hosts: Vec::new(),
        queue: BinaryHeap::new(),
        events: HashMap::new(),
        seq: 0,
        now: Duration::ZERO,
        rng: StdRng::seed_from_u64(seed ^ 0x5eed),
        ports: HashMap::new(),
        over: HashSet::new(),
        asks_at: None,
    };
    for marshal in 0..marshals {
        sim.hosts.push(Host::blank());
        sim.start(marshal)?;
    }
    sim.at(Duration::ZERO, Ev::Step);
    sim.next_asks();
    let (mut auditor, mut lines) = (Auditor::new(), Vec::new());
    while let Some(Reverse((t, seq))) = sim.queue.pop() {
        if t > lasts {
            break;
        }
        sim.now = t;
        if let Some(ev) = sim.events.remove(&seq) {
            sim.play(ev)?;
        }
        for line in sim.town.lines() {
            auditor.take(&line)?;
            if keep {
                lines.push(line);
            }
        }
    }
    let counts = sim.hosts.iter().filter_map(|h| h.core.as_ref().map(Core::counts)).collect();
    let Town { phases, desk, .. } = sim.town;
    let (course, votes) = (desk.log, desk.votes_counted);
    Ok(Outcome { report: auditor.finish(), phases, course, votes, counts, lines })
}

impl Host {
    fn blank() -> Self {
        Host {
            core: None,
            life: 0,
            stopped: false,
            inbox: Vec::new(),
            watching: false,
            index: [0; 2],
            picks: HashMap::new(),
            asks: HashMap::new(),
            ticks: None,
        }
    }
}

impl Sim {
    fn at(&mut self, t: Duration, ev: Ev) {
        self.seq += 1;
        self.events.insert(self.seq, ev);
        self.queue.push(Reverse((t.max(self.now), self.seq)));
    }

    /// A random one-way network delay.
    fn way(&mut self, far: bool) -> Duration {
        let traffic = &self.town.day.traffic;
        let mean = if far { traffic.far } else { traffic.near };
        mean.mul_f64(self.rng.random_range(0.7..1.6)) + Duration::from_micros(20)
    }

    fn way_to_node(&mut self, marshal: usize, node: u32) -> Duration {
        let far = self.town.nodes.get(node as usize).map(|n| n.zone)
            != Some(self.town.day.zone_of_marshal(marshal));
        self.way(far)
    }

    fn start(&mut self, marshal: usize) -> Result<(), String> {
        let text = self.town.day.terms(marshal, &addresses(&self.town.day));
        let terms = ivydrift_terms::read("terms", &text).map_err(|e| e.to_string())?;
        let life = self.hosts[marshal].life + 1;
        let core = Core::new(terms, ZERO_MS - BEFORE.as_millis() as u64);
        self.hosts[marshal] = Host { core: Some(core), life, ..Host::blank() };
        let since = self.now;
        self.at(since, Ev::Poll { marshal, life, list: false, since });
        self.at(since, Ev::Tell { to: marshal, life, told: Told::Tick });
        Ok(())
    }

    fn play(&mut self, ev: Ev) -> Result<(), String> {
        match ev {
            Ev::Step => {
                for one in self.town.step(self.now) {
                    self.carry_out(one)?;
                }
                self.at(self.now + STEP, Ev::Step);
            }
            Ev::Asks => {
                self.asks_at = self.asks_at.filter(|&at| at > self.now);
                for ask in self.town.asks(self.now) {
                    self.ask(ask);
                }
                self.next_asks();
            }
            Ev::Tell { to, life, told } => {
                if self.hosts[to].life == life {
                    self.tell(to, told);
                }
            }
            Ev::AtNode { from, life, pick, node, rpc } => self.at_node(from, life, pick, node, rpc),
            Ev::Fate { from, life, id, pick, node, fate } => {
                let out = self.hosts[from].life == life && self.hosts[from].picks.contains_key(&(id, pick));
                let saw = match fate {
                    Fate::Silence => return Ok(()),
                    Fate::Cut(_) => Saw::Broken,
                    Fate::Answer { status, never_ran, load, .. } => Saw::Answer { status, never_ran, load },
                };
                if out {
                    self.town.done(self.now, node, id, matches!(saw, Saw::Answer { status: 200, .. }));
                    let way = self.way_to_node(from, node);
                    self.at(self.now + way, Ev::Tell { to: from, life, told: Told::Ended { id, pick, saw } });
                }
            }
            Ev::Late { from, life, id, pick } => {
                if self.hosts[from].life == life && self.hosts[from].picks.contains_key(&(id, pick)) {
                    self.tell(from, Told::Ended { id, pick, saw: Saw::TimedOut });
                }
            }
            Ev::Closed { node, id } => self.town.done(self.now, node, id, false),
            Ev::Poll { marshal, life, list, since } => self.poll(marshal, life, list, since),
            Ev::Vote { from, life, vote } => {
                let answer = self.town.vote(self.now, vote);
                let (wait, ballot) = match answer {
                    Some(answer) => (self.way(true), Ballot::Answered(answer)),
                    None => (self.town.day.release.vote_wait, Ballot::Silent),
                };
                self.at(self.now + wait, Ev::Tell { to: from, life, told: Told::Voted(ballot) });
            }
            Ev::AtClient { id, end } => {
                if self.over.insert(id) {
                    self.town.ended(self.now, id, end);
                    self.next_asks();
                }
            }
            Ev::TimeUp { ask } => self.client_goes(&ask, End::TimeUp),
            Ev::Leaves { ask } => self.client_goes(&ask, End::Left),
        }
        Ok(())
    }

    fn next_asks(&mut self) {
        let Some(t) = self.town.next_ask() else { return };
        if self.asks_at.is_none_or(|at| t < at) {
            self.asks_at = Some(t);
            self.at(t, Ev::Asks);
        }
    }

    fn ask(&mut self, ask: Ask) {
        let way = self.way(false);
        let (to, life) = (ask.marshal, self.hosts[ask.marshal].life);
        if self.hosts[to].core.is_none() {
            self.at(self.now + way, Ev::AtClient { id: ask.id, end: End::Refused });
            return;
        }
        self.at(self.now + ask.left, Ev::TimeUp { ask: ask.clone() });
        if let Some(leaves) = ask.leaves {
            self.at(self.now + leaves, Ev::Leaves { ask: ask.clone() });
        }
        self.at(self.now + way, Ev::Tell { to, life, told: Told::Rpc(ask) });
    }

    fn client_goes(&mut self, ask: &Ask, end: End) {
        if self.over.insert(ask.id) {
            self.town.ended(self.now, ask.id, end);
            let (to, life, way) = (ask.marshal, self.hosts[ask.marshal].life, self.way(false));
            self.at(self.now + way, Ev::Tell { to, life, told: Told::Left(ask.id) });
            self.next_asks();
        }
    }

    fn at_node(&mut self, from: usize, life: u32, pick: usize, node: u32, rpc: Arrival) {
        if self.hosts[from].life != life || !self.hosts[from].picks.contains_key(&(rpc.id, pick)) {
            return;
        }
        let id = rpc.id;
        match self.town.arrive(self.now, node, &rpc) {
            None => {
                let way = self.way_to_node(from, node);
                let told = Told::Ended { id, pick, saw: Saw::NotSent };
                self.at(self.now + way, Ev::Tell { to: from, life, told });
            }
            Some((fate, todo)) => {
                let t = match fate {
                    Fate::Silence => None,
                    Fate::Cut(t) | Fate::Answer { at: t, .. } => Some(t),
                };
                if let Some(t) = t {
                    self.at(t, Ev::Fate { from, life, id, pick, node, fate });
                }
                for one in todo {
                    if let Do::Shut(node) = one {
                        self.shut(node);
                    }
                }
            }
        }
    }

    /// A node is gone: all its connections break.
    fn shut(&mut self, node: u32) {
        for from in 0..self.hosts.len() {
            let mut held: Vec<(Id, usize)> =
                self.hosts[from].picks.iter().filter(|p| *p.1 == node).map(|p| *p.0).collect();
            held.sort_unstable();
            for (id, pick) in held {
                let (life, way) = (self.hosts[from].life, self.way_to_node(from, node));
                self.at(
                    self.now + way,
                    Ev::Tell { to: from, life, told: Told::Ended { id, pick, saw: Saw::Broken } },
                );
            }
        }
    }

    fn carry_out(&mut self, one: Do) -> Result<(), String> {
        match one {
            Do::Open(node) => {
                let port = 10_000 + node as u16;
                self.ports.insert(port, node);
                self.town.opened(self.now, node, port);
            }
            Do::Shut(node) => self.shut(node),
            Do::Stop(marshal) => self.hosts[marshal].stopped = true,
            Do::Continue(marshal) => {
                self.hosts[marshal].stopped = false;
                let inbox = std::mem::take(&mut self.hosts[marshal].inbox);
                // The real process checks first which clients have disconnected; so does this.
                let left: HashSet<Id> = inbox
                    .iter()
                    .filter_map(|t| if let Told::Left(id) = t { Some(*id) } else { None })
                    .collect();
                for told in inbox {
                    if !matches!(&told, Told::Rpc(ask) if left.contains(&ask.id)) {
                        self.tell(marshal, told);
                    }
                }
                self.tell(marshal, Told::Tick);
            }
            Do::Kill(marshal) => {
                let host = std::mem::replace(&mut self.hosts[marshal], Host::blank());
                self.hosts[marshal].life = host.life + 1;
                let mut asks: Vec<Id> = host.asks.keys().copied().collect();
                asks.sort_unstable();
                for id in asks {
                    let way = self.way(false);
                    self.at(self.now + way, Ev::AtClient { id, end: End::Broken });
                }
                let mut picks: Vec<((Id, usize), u32)> = host.picks.into_iter().collect();
                picks.sort_unstable();
                for ((id, _), node) in picks {
                    let way = self.way(false);
                    self.at(self.now + way, Ev::Closed { node, id });
                }
            }
            Do::Start(marshal) => self.start(marshal)?,
        }
        Ok(())
    }

    fn poll(&mut self, marshal: usize, life: u32, list: bool, since: Duration) {
        if self.hosts[marshal].life != life || self.hosts[marshal].core.is_none() {
            return;
        }
        let again = |since| Ev::Poll { marshal, life, list, since };
        let hold = Duration::from_secs(if list { 10 } else { 5 });
        let must = self.now >= since + hold;
        let down = if list { self.town.list_down() } else { self.town.desk_down() };
        // A suspended process does not poll; an answer under way waits in its socket.
        if self.hosts[marshal].stopped || (down && !list) {
            self.at(self.now + Duration::from_millis(50), again(self.now));
            return;
        }
        let way = self.way(true);
        if list && down {
            self.hosts[marshal].watching = false;
            self.at(self.now + way, Ev::Tell { to: marshal, life, told: Told::ListLost });
            return;
        }
        let index = self.hosts[marshal].index[usize::from(list)];
        let told = if list {
            self.town.list(self.now, marshal, index, must).map(|(at, nodes)| (at, Told::List(nodes)))
        } else {
            self.town.news(self.now, marshal, index, must).map(|news| (news.index, Told::News(news)))
        };
        match told {
            Some((at, told)) => {
                self.hosts[marshal].index[usize::from(list)] = at;
                self.at(self.now + way, Ev::Tell { to: marshal, life, told });
                self.at(self.now + 2 * way, again(self.now));
            }
            None => self.at(self.now + Duration::from_millis(20), again(since)),
        }
    }

    fn tell(&mut self, marshal: usize, told: Told) {
        let host = &mut self.hosts[marshal];
        if host.stopped {
            // Missed timers fire once when the process resumes.
            if !matches!(told, Told::Tick) {
                host.inbox.push(told);
            }
            return;
        }
        let Some(core) = &mut host.core else { return };
        let now = BEFORE + self.now;
        let mut gone = None;
        let orders = match &told {
            Told::Rpc(ask) => {
                host.asks.insert(ask.id, ask.clone());
                let method = self.town.day.methods[ask.method].0.clone();
                let call = Call {
                    method: &method,
                    tenant: None,
                    key: Some(ask.key).filter(|k| *k != 0),
                    tokened: true,
                    left: Some(ask.left),
                    repeated: ask.tries > 1,
                };
                core.handle(now, Input::Rpc { id: ask.id, call })
            }
            Told::Ended { id, pick, saw } => {
                gone = host.picks.remove(&(*id, *pick)).map(|node| (node, *id, *saw));
                core.handle(now, Input::Ended { id: *id, pick: *pick, saw: *saw })
            }
            Told::Left(id) => {
                host.asks.remove(id);
                core.handle(now, Input::ClientLeft { id: *id })
            }
            Told::List(nodes) => core.handle(now, Input::Membership(nodes)),
            Told::ListLost => core.handle(now, Input::MembershipLost),
            Told::News(news) => core.handle(now, Input::News(news)),
            Told::Voted(ballot) => core.handle(now, Input::Voted(*ballot)),
            Told::Peer(datagram) => core.handle(now, Input::Peer(datagram)),
            Told::Tick => core.handle(now, Input::Tick),
        };
        let due = core.due().saturating_sub(BEFORE);
        if let Some((node, id, Saw::TimedOut | Saw::Severed)) = gone {
            // The marshal closes the connection; the node sees that after the network delay.
            let way = self.way_to_node(marshal, node);
            self.at(self.now + way, Ev::Closed { node, id });
        }
        for order in orders {
            self.obey(marshal, order);
        }
        let host = &mut self.hosts[marshal];
        let due = due.max(self.now + Duration::from_micros(100));
        if host.ticks.is_none_or(|t| t <= self.now || due < t) {
            host.ticks = Some(due);
            let life = host.life;
            self.at(due, Ev::Tell { to: marshal, life, told: Told::Tick });
        }
    }

    fn obey(&mut self, marshal: usize, order: Order) {
        let life = self.hosts[marshal].life;
        let answer =
            |kind, build, picks, retry_after| End::Answered { kind, build, picks: picks as u32, retry_after };
        let (id, end) = match order {
            Order::Pick { id, pick, node, by, .. } => {
                let Some(ask) = self.hosts[marshal].asks.get(&id).cloned() else { return };
                let number = self.ports.get(&node.port()).copied().unwrap_or(u32::MAX);
                self.hosts[marshal].picks.insert((id, pick), number);
                let (call, method, key) = (ask.call, ask.method, ask.key);
                let rpc = Arrival { id, call, marshal, method, key };
                let way = self.way_to_node(marshal, number);
                self.at(self.now + way, Ev::AtNode { from: marshal, life, pick, node: number, rpc });
                self.at(by.saturating_sub(BEFORE), Ev::Late { from: marshal, life, id, pick });
                return;
            }
            Order::Sever { id, pick } => {
                self.at(
                    self.now,
                    Ev::Tell { to: marshal, life, told: Told::Ended { id, pick, saw: Saw::Severed } },
                );
                return;
            }
            Order::Tell { to, datagram } => {
                // 2 % of the datagrams are lost.
                if self.rng.random_bool(0.98) {
                    let (way, life) = (self.way(true), self.hosts[to].life);
                    self.at(self.now + way, Ev::Tell { to, life, told: Told::Peer(datagram) });
                }
                return;
            }
            Order::Vote(vote) => {
                let way = self.way(true);
                self.at(self.now + way, Ev::Vote { from: marshal, life, vote });
                return;
            }
            Order::FollowMembership => {
                if !std::mem::replace(&mut self.hosts[marshal].watching, true) {
                    let since = self.now;
                    self.at(since, Ev::Poll { marshal, life, list: true, since });
                }
                return;
            }
            Order::Pass { id, picks, build, .. } => (id, answer(Answer::Ok, build, picks, Duration::ZERO)),
            Order::PushBack { id, picks, retry_after, .. } => {
                (id, answer(Answer::PushedBack, 0, picks, retry_after.unwrap_or_default()))
            }
            Order::Abort { id, picks, .. } => (id, answer(Answer::Aborted, 0, picks, Duration::ZERO)),
            Order::Reject { id, .. } | Order::BreakOff { id } => (id, End::Broken),
            Order::CloseIdle { .. } | Order::Log(_) => return,
        };
        self.hosts[marshal].asks.remove(&id);
        let way = self.way(false);
        self.at(self.now + way, Ev::AtClient { id, end });
    }
}
