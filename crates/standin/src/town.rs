//! All fakes as one state machine without I/O: nodes, node list, rollout controller and clients, driven by the
//! script. The caller reports what happened on its sockets (real or simulated) and carries out the returned
//! commands. The state machine writes the trace.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use ivydrift_audit::trace::{self, Kind as Answer, Line, Seen, State, Turn};
use ivydrift_policy::port::{MethodTerms, Repeat};
use ivydrift_wire::desk::{Counted, Course, Disputed, News, Stage, Vote, VoteAnswer};
use ivydrift_wire::list::{self, Listed};
use ivydrift_wire::orca::Metrics;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, Zipf};

use crate::day::{Day, Fault, Kind, Trouble, Work};
use crate::desk::{Desk, Standing, Wish};
use crate::node::{Life, Node};
use crate::sums::Tallies;
use crate::tally::Phase;

/// A command for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Do {
    /// Make a node listen, then call [`Town::opened`].
    Open(u32),
    /// Stop a node and break all its connections.
    Shut(u32),
    /// Suspend a marshal.
    Stop(usize),
    /// Resume a marshal.
    Continue(usize),
    /// Kill a marshal.
    Kill(usize),
    /// Start a marshal.
    Start(usize),
}

/// An RPC that arrived at a node.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: u64,
    pub call: u64,
    pub marshal: usize,
    pub method: usize,
    pub key: u64,
}

/// How a node handles an RPC.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    /// It never answers.
    Silence,
    /// The connection breaks at this time, without an answer.
    Cut(Duration),
    /// It answers at time `at`.
    Answer { at: Duration, status: u16, never_ran: bool, load: Metrics },
}

/// An attempt of a client at a marshal.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    pub id: u64,
    pub call: u64,
    pub marshal: usize,
    pub method: usize,
    pub key: u64,
    /// Time until the client's deadline.
    pub left: Duration,
    /// When the client cancels, if it does.
    pub leaves: Option<Duration>,
    /// The number of this attempt, from 1.
    pub tries: u32,
}

/// How an attempt ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Answered { kind: Answer, build: u32, picks: u32, retry_after: Duration },
    Broken,
    Refused,
    TimeUp,
    Left,
}

/// A client's RPC, with all its attempts: its start, its deadline and the phase that it counts in.
struct Call {
    first: Duration,
    until: Duration,
    phase: usize,
}

/// An attempt in flight.
struct Open {
    ask: Ask,
    at: Duration,
}

/// The state of all fakes.
pub struct Town {
    pub day: Day,
    rng: StdRng,
    now: Duration,
    lines: Vec<Line>,
    pub nodes: Vec<Node>,
    pub desk: Desk,
    /// Nodes wanted for the present rollout stage.
    wanted: usize,
    /// Versions of the node list with time and index, oldest first.
    lists: VecDeque<(Duration, u64, Vec<Listed>)>,
    /// By marshal: the node states it was told.
    told: HashMap<usize, BTreeMap<u32, State>>,
    /// By marshal: the rollout state it was told.
    newsed: HashMap<usize, (u32, u32, Course, f64)>,
    /// Wrong answers that clients will report: when, and to which marshal.
    disputes: Vec<(Duration, usize, Disputed)>,
    tallies: Tallies,
    /// Indexes of the faults that have begun.
    begun: BTreeSet<usize>,
    /// Indexes of the faults that have ended.
    ended: BTreeSet<usize>,
    /// By fault: the nodes that it affects.
    struck: HashMap<usize, BTreeSet<u32>>,
    /// By call: when its token was first seen.
    tokens: HashMap<u64, Duration>,
    /// Builds of the RPCs of the last two seconds.
    lately: VecDeque<(Duration, u32)>,
    /// When the next new call comes.
    next: Duration,
    /// Scheduled retries, by time and call.
    again: BTreeMap<(Duration, u64), Ask>,
    calls: HashMap<u64, Call>,
    open: HashMap<u64, Open>,
    /// Calls made through the client library, and whether their client has cancelled.
    carried: HashMap<u64, (Ask, bool)>,
    ids: u64,
    /// The phases of the day and their statistics.
    pub phases: Vec<Phase>,
    /// Unix time at the begin of the run.
    pub unix_zero_ms: u64,
    /// Builds of the script whose rollout has begun.
    offered: usize,
}

impl Town {
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
            nodes.push(Node::new(1, zone, machine, speed, cores, Life::Starting(Duration::ZERO)));
        }
        let law = Line::new(0, Seen::Law(day.law(slack)));
        let phases = phases(&day);
        let desk = Desk::new(day.release.shares.len() - 1);
        let started = |m| Line::new(0, Seen::Marshal { marshal: m as u32, turn: Turn::Started });
        let lines = std::iter::once(law).chain((0..day.marshals).map(started)).collect();
        Town {
            rng,
            now: Duration::ZERO,
            lines,
            nodes,
            desk,
            wanted: 0,
            lists: VecDeque::from([(Duration::ZERO, 1, vec![])]),
            told: HashMap::new(),
            newsed: HashMap::new(),
            disputes: Vec::new(),
            tallies: Tallies::default(),
            begun: BTreeSet::new(),
            ended: BTreeSet::new(),
            struck: HashMap::new(),
            tokens: HashMap::new(),
            lately: VecDeque::new(),
            next: Duration::from_millis(1500),
            again: BTreeMap::new(),
            calls: HashMap::new(),
            open: HashMap::new(),
            carried: HashMap::new(),
            ids: 0,
            phases,
            unix_zero_ms,
            offered: 0,
            day,
        }
    }

    /// Takes the trace lines since the last call, in order of time.
    pub fn lines(&mut self) -> Vec<Line> {
        std::mem::take(&mut self.lines)
    }

    fn log(&mut self, seen: Seen) {
        self.lines.push(Line::new(self.now.as_micros() as u64, seen));
    }

    /// Advances the time. Threads may report out of order, so an earlier time is ignored.
    fn at(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    fn active(&self, kind: Kind) -> impl Iterator<Item = (usize, &Trouble)> {
        let now = self.now;
        self.day.troubles.iter().enumerate().filter(move |(_, t)| t.kind == kind && t.on(now))
    }

    fn much(&self, kind: Kind) -> f64 {
        self.active(kind).map(|t| t.1.much).sum()
    }

    fn method(&self, method: usize) -> &(String, MethodTerms, Work) {
        &self.day.methods[method]
    }

    // ---- script -------------------------------------------------------------------------------------------

    /// Advances the script, the rollout controller and starting nodes. Call it every few milliseconds.
    pub fn step(&mut self, now: Duration) -> Vec<Do> {
        self.at(now);
        let mut todo = Vec::new();
        for i in 0..self.day.troubles.len() {
            let trouble = self.day.troubles[i].clone();
            if self.now >= trouble.at && self.begun.insert(i) {
                self.begin(i, &trouble, &mut todo);
            }
            if self.now >= trouble.at + trouble.lasts && self.ended.insert(i) {
                self.finish(&trouble, &mut todo);
            }
        }
        for number in 0..self.nodes.len() as u32 {
            let node = &mut self.nodes[number as usize];
            match node.life {
                Life::Starting(at) if self.now >= at => {
                    // It is up once the caller reports that it listens.
                    node.life = Life::Gone;
                    todo.push(Do::Open(number));
                }
                Life::Leaving(until) if self.now >= until => self.die(number, &mut todo),
                _ => {}
            }
        }
        self.step_desk();
        self.tallies.step(self.now, self.day.tally.every);
        todo
    }

    /// Reports that a node listens.
    pub fn opened(&mut self, now: Duration, number: u32, port: u16) {
        self.at(now);
        let first = self.now < Duration::from_millis(500);
        let at = self.now;
        let node = &mut self.nodes[number as usize];
        node.start(at);
        if first {
            node.since = None;
        }
        node.port = Some(port);
        let (build, capacity) = (node.build, node.capacity());
        if !first {
            self.log(Seen::Up { node: number, build, capacity });
        }
        self.relist();
    }

    fn die(&mut self, number: u32, todo: &mut Vec<Do>) {
        self.nodes[number as usize].life = Life::Gone;
        todo.push(Do::Shut(number));
        self.log(Seen::Down { node: number });
        self.relist();
    }

    fn begin(&mut self, i: usize, trouble: &Trouble, todo: &mut Vec<Do>) {
        let marshal = (trouble.much as usize).min(self.day.marshals - 1);
        let turn = |turn| Seen::Marshal { marshal: marshal as u32, turn };
        let up: Vec<u32> =
            (0..self.nodes.len() as u32).filter(|&n| self.nodes[n as usize].life == Life::Up).collect();
        let part = match trouble.kind {
            Kind::Crash | Kind::Hang => trouble.much,
            _ => trouble.nodes,
        };
        match trouble.kind {
            Kind::Stall => {
                self.log(turn(Turn::Stopped));
                todo.push(Do::Stop(marshal));
            }
            Kind::Kill => {
                self.log(turn(Turn::Killed));
                todo.push(Do::Kill(marshal));
            }
            Kind::Crash | Kind::Hang | Kind::FastErrors | Kind::Neighbour | Kind::LostZone => {
                let many = ((part * up.len() as f64).round() as usize).max(1);
                let mut chosen = BTreeSet::new();
                if trouble.kind == Kind::LostZone {
                    let zone = trouble.zone.unwrap_or(0);
                    chosen.extend(up.iter().filter(|&&n| self.nodes[n as usize].zone == zone));
                } else {
                    while chosen.len() < many.min(up.len()) {
                        chosen.insert(up[self.rng.random_range(0..up.len())]);
                    }
                }
                if matches!(trouble.kind, Kind::Crash | Kind::LostZone) {
                    for &number in &chosen {
                        self.nodes[number as usize].back_at = Some(trouble.at + trouble.lasts);
                        self.die(number, todo);
                    }
                }
                self.struck.insert(i, chosen);
            }
            _ => {}
        }
    }

    fn finish(&mut self, trouble: &Trouble, todo: &mut Vec<Do>) {
        let marshal = (trouble.much as usize).min(self.day.marshals - 1);
        match trouble.kind {
            Kind::Stall => {
                let seen = Seen::Marshal { marshal: marshal as u32, turn: Turn::Continued };
                self.log(seen);
                todo.push(Do::Continue(marshal));
            }
            Kind::Kill => {
                let seen = Seen::Marshal { marshal: marshal as u32, turn: Turn::Started };
                self.log(seen);
                self.told.remove(&marshal);
                self.newsed.remove(&marshal);
                self.tallies.forget(marshal);
                todo.push(Do::Start(marshal));
            }
            Kind::Crash | Kind::LostZone => {
                let now = self.now;
                let back = |n: &&mut Node| n.back_at.is_some_and(|at| now >= at) && n.life == Life::Gone;
                self.nodes.iter_mut().filter(back).for_each(|n| n.life = Life::Starting(now));
            }
            _ => {}
        }
    }

    fn step_desk(&mut self) {
        let release = self.day.release.clone();
        if let Some(offer) = self.day.offers.get(self.offered).filter(|o| self.now >= o.at).cloned() {
            self.offered += 1;
            let wishes = self.desk.offer(self.now, offer.build, &release);
            self.grant(wishes);
        }
        let newest = self.desk.standing.build;
        let mine = || self.nodes.iter().filter(|n| n.build == newest);
        let (up, left) =
            (mine().filter(|n| n.life == Life::Up).count(), mine().filter(|n| n.life != Life::Gone).count());
        if release.in_place && self.desk.standing.course == Course::OnTrial {
            // A node of the earlier build leaves once its replacement runs.
            let (earlier, places) = (self.desk.earlier, self.day.fleet.nodes);
            let old = self.nodes.iter().filter(|n| n.build == earlier && n.life == Life::Up).count();
            let leaving = (old + up).saturating_sub(places);
            self.drain(earlier, leaving);
        }
        let earlier = self.desk.earlier;
        let old = self.nodes.iter().filter(|n| n.build == earlier && n.life == Life::Up).count();
        let back = 10 * old >= 8 * self.day.fleet.nodes;
        let wishes = self.desk.step(self.now, (up, self.wanted, left), back, &release);
        self.grant(wishes);
    }

    fn grant(&mut self, wishes: Vec<Wish>) {
        let places = self.day.fleet.nodes;
        for wish in wishes {
            match wish {
                Wish::Launch(build, stage) => {
                    let part = self.day.release.shares.get(stage).copied().unwrap_or(1.0);
                    let wanted = ((part * places as f64).round() as usize).max(1);
                    if stage != usize::MAX {
                        self.wanted = wanted;
                    }
                    let counts = |n: &&Node| {
                        n.build == build
                            && (n.life != Life::Gone || n.back_at.is_some())
                            && !matches!(n.life, Life::Leaving(_))
                    };
                    let have = self.nodes.iter().filter(counts).count();
                    for i in have..wanted {
                        let machine = self.nodes[i % places].machine;
                        let speed = self.nodes[i % places].speed;
                        let (zone, cores) = (i % self.day.zones.len(), self.day.fleet.cores);
                        let wait = self.day.fleet.start.mul_f64(self.rng.random_range(0.5..1.0));
                        let life = Life::Starting(self.now + wait);
                        self.nodes.push(Node::new(build, zone, machine, speed, cores, life));
                    }
                }
                Wish::Drain(build) => self.drain(build, usize::MAX),
            }
        }
    }

    fn drain(&mut self, build: u32, many: usize) {
        let until = self.now + self.day.fleet.leave;
        let mut done = 0;
        for node in self.nodes.iter_mut().filter(|n| n.build == build) {
            if done == many {
                break;
            }
            done += 1;
            match node.life {
                Life::Up => node.life = Life::Leaving(until),
                Life::Starting(_) => node.life = Life::Gone,
                _ => done -= 1,
            }
            node.back_at = None;
        }
        if done > 0 {
            self.relist();
        }
    }

    // ---- node list ----------------------------------------------------------------------------------------

    fn relist(&mut self) {
        let (zones, machines, zero) = (&self.day.zones, &self.day.fleet.machines, self.unix_zero_ms);
        let listed = |n: &Node| {
            Some(Listed {
                host: "127.0.0.1".to_owned(),
                port: n.port?,
                state: if n.life == Life::Up { list::State::Ready } else { list::State::Draining },
                build: n.build,
                zone: zones[n.zone].clone(),
                cell: 0,
                kind: machines[n.machine].name.clone(),
                power: n.capacity(),
                started_ms: n.since.map(|since| zero + since.as_millis() as u64),
            })
        };
        let nodes: Vec<Listed> = self.nodes.iter().filter(|n| n.running()).filter_map(listed).collect();
        let index = self.lists.back().map_or(0, |l| l.1) + 1;
        self.lists.push_back((self.now, index, nodes));
        while self.lists.len() > 256 {
            self.lists.pop_front();
        }
    }

    fn lag(&self) -> Duration {
        Duration::from_secs_f64(self.much(Kind::LateReports))
    }

    /// Whether the node list is down.
    pub fn list_down(&self) -> bool {
        self.active(Kind::ListDown).next().is_some()
    }

    /// Whether the rollout controller is down.
    pub fn desk_down(&self) -> bool {
        self.active(Kind::DeskDown).next().is_some()
    }

    /// The node list, if it is newer than the marshal's index. `must`: the wait of the long poll is over, so answer
    /// in any case.
    pub fn list(
        &mut self, now: Duration, marshal: usize, index: u64, must: bool,
    ) -> Option<(u64, Vec<Listed>)> {
        self.at(now);
        let lag = self.day.list_lag + self.lag();
        let (_, at, nodes) = self.lists.iter().rev().find(|l| l.0 + lag <= self.now || l.1 <= 2)?.clone();
        if at <= index && !must {
            return None;
        }
        let known = self.told.remove(&marshal).unwrap_or_default();
        let number = |port: u16| self.nodes.iter().rposition(|n| n.port == Some(port)).unwrap_or(0) as u32;
        let state = |s: list::State| if s == list::State::Ready { State::Ready } else { State::Draining };
        let fresh: BTreeMap<u32, State> = nodes.iter().map(|n| (number(n.port), state(n.state))).collect();
        let gone = known.keys().filter(|n| !fresh.contains_key(n)).map(|n| (*n, State::Gone));
        let changed = fresh.iter().filter(|(n, s)| known.get(n) != Some(s)).map(|(n, s)| (*n, *s));
        let lines: Vec<(u32, State)> = gone.chain(changed).collect();
        for (node, state) in lines {
            self.log(Seen::Told { marshal: marshal as u32, node, state });
        }
        self.told.insert(marshal, fresh);
        Some((at, nodes))
    }

    // ---- rollout controller -------------------------------------------------------------------------------

    fn told_stage(&mut self, marshal: usize, standing: &Standing) -> Stage {
        let Standing { build, stage, course, cap, .. } = *standing;
        if self.newsed.insert(marshal, (build, stage as u32, course, cap))
            != Some((build, stage as u32, course, cap))
        {
            let course = match course {
                Course::OnTrial => trace::Course::OnTrial,
                Course::GoingBack => trace::Course::GoingBack,
                Course::Released => trace::Course::Released,
                Course::Withdrawn => trace::Course::Withdrawn,
            };
            self.log(Seen::News { marshal: marshal as u32, build, stage: stage as u32, course, cap });
        }
        standing.told(self.now)
    }

    /// The rollout state, if it is newer than the marshal's index or there is other news. `must`: as for
    /// [`Town::list`].
    pub fn news(&mut self, now: Duration, marshal: usize, index: u64, must: bool) -> Option<News> {
        self.at(now);
        let (version, standing) = self.desk.as_told(self.now, self.day.desk_lag + self.lag());
        let due = |d: &(Duration, usize, Disputed)| d.1 == marshal && d.0 <= self.now;
        let disputed: Vec<Disputed> = self.disputes.iter().filter(|d| due(d)).map(|d| d.2.clone()).collect();
        let names: Vec<&str> = self.day.methods.iter().map(|m| &*m.0).collect();
        let late = self.day.tally.late + self.lag();
        let sums = self.tallies.tell(self.now, marshal, late, &names);
        if version <= index && disputed.is_empty() && sums.is_empty() && !must {
            return None;
        }
        let now = self.now;
        self.disputes.retain(|d| !(d.1 == marshal && d.0 <= now));
        let stage = Some(self.told_stage(marshal, &standing));
        Some(News { index: version, stage, sums, disputed })
    }

    /// Handles a vote. `None`: the controller does not answer, but the vote may have been counted.
    pub fn vote(&mut self, now: Duration, vote: Vote) -> Option<VoteAnswer> {
        self.at(now);
        let down = self.desk_down();
        if down && self.rng.random_bool(0.5) {
            return None;
        }
        let release = self.day.release.clone();
        let counted = self.desk.vote(self.now, vote, &release);
        if down {
            return None;
        }
        if counted == Counted::Counts {
            let phase = self.phase();
            self.phases[phase].voted(vote.verdict);
        }
        let standing = self.desk.standing;
        // A marshal reads the state from the answer to a counted vote only; the trace records only that.
        let stage = match counted {
            Counted::Counts => self.told_stage(vote.marshal as usize, &standing),
            _ => standing.told(self.now),
        };
        Some(VoteAnswer { counted, stage })
    }

    // ---- nodes --------------------------------------------------------------------------------------------

    /// The severity of an active fault of this kind that affects the node.
    pub fn is_struck(&self, kind: Kind, node: u32) -> Option<f64> {
        let hit = |t: &(usize, &Trouble)| self.struck.get(&t.0).is_some_and(|s| s.contains(&node));
        self.active(kind).find(hit).map(|t| t.1.much)
    }

    /// How long nodes keep idle connections, if they close them.
    pub fn reap_after(&self) -> Option<Duration> {
        self.active(Kind::IdleReap).next().map(|t| Duration::from_secs_f64(t.1.much))
    }

    /// A node read an RPC. `None` if the node is gone.
    pub fn arrive(&mut self, now: Duration, number: u32, rpc: &Arrival) -> Option<(Fate, Vec<Do>)> {
        self.at(now);
        let now = self.now;
        let (name, terms, work) = self.method(rpc.method).clone();
        let mean = work.mean.as_secs_f64();
        let base = mean * self.rng.random_range(1.0 - work.spread..=1.0 + work.spread);
        let node = self.nodes.get(number as usize).filter(|n| n.running())?;
        let (build, zone, port) = (node.build, node.zone, node.port.unwrap_or(0));
        let (marshal, id, method, key) = (rpc.marshal as u32, rpc.id, name.clone(), rpc.key);
        let work_us = (base * 1e6) as u64;
        self.log(Seen::Got {
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
        let mut todo = Vec::new();
        if !self.day.tally.every.is_zero() && self.rng.random_bool(self.day.tally.share) {
            self.tallies.begin(number, rpc.id, build, rpc.method, now);
        }
        let rules = self.day.rules;
        if self.nodes[number as usize].topples(now, base, &rules) {
            self.log(Seen::Fell { node: number });
            self.die(number, &mut todo);
            return Some((Fate::Cut(now), todo));
        }
        // The factor by which active faults slow this RPC down.
        let mut slower = 1.0 + self.active(Kind::SharedSlow).map(|t| t.1.much - 1.0).sum::<f64>();
        slower *= self.is_struck(Kind::Neighbour, number).unwrap_or(1.0);
        let slow_method = self.active(Kind::SlowMethod).find(|t| t.1.method == Some(rpc.method));
        slower *= slow_method.map_or(1.0, |t| t.1.much);
        let heavy = self.active(Kind::HeavyTail).find(|t| t.1.method.is_none_or(|m| m == rpc.method));
        if let Some((much, times)) = heavy.map(|t| (t.1.much, t.1.times)) {
            slower *= if self.rng.random_bool(much.min(1.0)) { times } else { 1.0 };
        }
        let offer = self.day.offers.iter().find(|o| o.build == build).cloned();
        let mut fails = 0.0;
        if let Some(offer) = &offer {
            let node = &mut self.nodes[number as usize];
            let old = node.since.is_some_and(|s| now > s + Duration::from_secs(6));
            match offer.fault {
                Fault::Errors => fails = offer.much,
                Fault::OneMethod if offer.method == Some(rpc.method) => fails = offer.much,
                Fault::Slow => slower *= offer.much,
                Fault::Late if old => {
                    slower *= 2.0;
                    fails = offer.much;
                }
                Fault::UnderLoad if node.busy(now) => fails = offer.much,
                _ => {}
            }
        }
        self.lately.push_back((now, build));
        while self.lately.front().is_some_and(|l| l.0 + Duration::from_secs(2) < now) {
            self.lately.pop_front();
        }
        if let Some(shared) = self.day.offers.iter().find(|o| o.fault == Fault::Shared) {
            let mine = self.lately.iter().filter(|l| l.1 == shared.build).count();
            slower *= 1.0 + shared.much * mine as f64 / self.lately.len().max(1) as f64;
        }
        let link =
            self.active(Kind::SlowLink).filter(|t| t.1.zone == Some(zone)).map(|t| t.1.much).sum::<f64>();
        let far = self.day.zone_of_marshal(rpc.marshal) != zone;
        let way = Duration::from_secs_f64(if far { 2.0 * link } else { 0.0 });
        let queue = self.nodes[number as usize].queue(now);
        let fast = self.is_struck(Kind::FastErrors, number);
        if queue >= self.day.fleet.queue {
            self.log(Seen::Turned { node: number, id });
            let at = now + way + Duration::from_micros(300);
            return Some((Fate::Answer { at, status: 503, never_ran: true, load: self.load(number) }, todo));
        }
        if fast.is_some_and(|p| self.rng.random_bool(p.min(1.0))) {
            let at = now + way + Duration::from_millis(2);
            return Some((Fate::Answer { at, status: 500, never_ran: false, load: self.load(number) }, todo));
        }
        let repeat = matches!(terms.repeat, Repeat::Tokened { window, .. }
            if self.tokens.get(&rpc.call).is_some_and(|&t| now < t + window));
        if !repeat {
            self.log(Seen::Ran { node: number, call: rpc.call, method: name.clone() });
            if matches!(terms.repeat, Repeat::Tokened { .. }) {
                self.tokens.insert(rpc.call, now);
                if self.tokens.len() > 200_000 {
                    self.tokens.retain(|_, &mut t| t + Duration::from_secs(60) > now);
                }
            }
        }
        if self.is_struck(Kind::Hang, number).is_some() {
            return Some((Fate::Silence, todo));
        }
        let node = &mut self.nodes[number as usize];
        let cost = if repeat { 0.002 } else { base * slower / (node.speed * node.present(now, &rules)) };
        let done = node.load(now, cost) + way;
        let lost = self.much(Kind::LostAnswers).min(1.0);
        if lost > 0.0 && self.rng.random_bool(lost) {
            return Some((Fate::Cut(done), todo));
        }
        let failed = fails > 0.0 && self.rng.random_bool(fails.min(1.0));
        let wrong = offer.is_some_and(|o| o.fault == Fault::Wrong && self.rng.random_bool(o.much.min(1.0)));
        if wrong && !failed && self.rng.random_bool(self.day.release.flag_share.clamp(0.0, 1.0)) {
            let at = done + Duration::from_secs_f64(self.rng.random_range(0.7..3.0));
            let age_ms = (at - now).as_millis() as u64;
            let disputed = Disputed { node: format!("127.0.0.1:{port}"), method: name, age_ms };
            self.disputes.push((at, rpc.marshal, disputed));
        }
        let status = if failed { 500 } else { 200 };
        Some((Fate::Answer { at: done, status, never_ran: false, load: self.load(number) }, todo))
    }

    fn load(&mut self, number: u32) -> Metrics {
        let now = self.now;
        let node = &mut self.nodes[number as usize];
        let (queue, rate) = (node.queue(now) as f64, node.rate(now));
        Metrics {
            queue: Some(queue),
            in_flight: Some(node.in_flight() as f64),
            rps: Some(rate),
            ..Metrics::default()
        }
    }

    /// A node wrote its answer, or saw the marshal close the connection.
    pub fn done(&mut self, now: Duration, node: u32, id: u64, ok: bool) {
        self.at(now);
        self.tallies.end(node, id, self.now, ok);
        self.log(Seen::Done { node, id, ok });
    }

    // ---- clients ------------------------------------------------------------------------------------------

    /// When the next attempt is due; `None` once the traffic is over.
    pub fn next_ask(&self) -> Option<Duration> {
        let fresh = Some(self.next).filter(|&t| t < self.traffic_ends());
        fresh.into_iter().chain(self.again.keys().next().map(|k| k.0)).min()
    }

    /// Traffic stops before the end of the run, so that every attempt ends within it.
    pub fn traffic_ends(&self) -> Duration {
        let longest = self.day.methods.iter().map(|m| m.1.deadline).max().unwrap_or_default();
        self.day.lasts.saturating_sub(longest + Duration::from_millis(500))
    }

    /// Starts the attempts that are due.
    pub fn asks(&mut self, now: Duration) -> Vec<Ask> {
        self.at(now);
        let mut due = Vec::new();
        while let Some((&(at, call), _)) = self.again.first_key_value().filter(|a| a.0 .0 <= self.now) {
            due.extend(self.again.remove(&(at, call)));
        }
        while self.next <= self.now && self.next < self.traffic_ends() {
            due.push(self.fresh_ask());
            self.pass_to_next();
        }
        for ask in &mut due {
            self.ids += 1;
            ask.id = self.ids;
            let method = self.method(ask.method).0.clone();
            let (marshal, left_us) = (ask.marshal as u32, ask.left.as_micros() as u64);
            self.log(Seen::Asked { marshal, id: ask.id, call: ask.call, method, key: ask.key, left_us });
            self.open.insert(ask.id, Open { ask: ask.clone(), at: self.now });
        }
        due
    }

    /// Starts the calls that are due, for clients that use the client library, which makes the attempts.
    pub fn calls(&mut self, now: Duration) -> Vec<Ask> {
        self.at(now);
        let mut due = Vec::new();
        while self.next <= self.now && self.next < self.traffic_ends() {
            due.push(self.fresh_ask());
            self.pass_to_next();
        }
        for ask in &due {
            self.carried.insert(ask.call, (ask.clone(), false));
        }
        due
    }

    /// The library sends an attempt of a call to a marshal. Returns the attempt's id and the call's key.
    pub fn sent(&mut self, now: Duration, call: u64, marshal: usize, left: Duration) -> Option<(u64, u64)> {
        self.at(now);
        let (mut ask, _) = self.carried.get(&call).cloned()?;
        self.ids += 1;
        (ask.id, ask.marshal, ask.left) = (self.ids, marshal, left);
        let (id, key, method) = (ask.id, ask.key, self.method(ask.method).0.clone());
        let left_us = left.as_micros() as u64;
        self.log(Seen::Asked { marshal: marshal as u32, id, call, method, key, left_us });
        self.open.insert(id, Open { ask, at: self.now });
        Some((id, key))
    }

    /// An attempt made by the library ended.
    pub fn tried(&mut self, now: Duration, id: u64, end: End) {
        self.at(now);
        let Some(open) = self.open.remove(&id) else { return };
        let left = self.carried.get(&open.ask.call).is_some_and(|c| c.1);
        self.log(seen(id, if left { End::Left } else { end }));
    }

    /// The client is about to cancel a call made through the library.
    pub fn leaving(&mut self, now: Duration, call: u64) {
        self.at(now);
        if let Some(carried) = self.carried.get_mut(&call) {
            carried.1 = true;
        }
    }

    /// A call made through the library ended for its client.
    pub fn finished(&mut self, now: Duration, call: u64, end: End) {
        self.at(now);
        if let Some((ask, _)) = self.carried.remove(&call) {
            let since = self.calls.get(&call).map_or(self.now, |c| c.first);
            self.close(&ask, since, end);
        }
    }

    fn marshal(&mut self) -> usize {
        let shift = self.active(Kind::Shift).next().map(|t| (t.1.much, t.1.zone.unwrap_or(0)));
        let marshal = self.rng.random_range(0..self.day.marshals);
        match shift {
            Some((much, zone)) if self.rng.random_bool(much.min(1.0)) => {
                let there: Vec<usize> =
                    (0..self.day.marshals).filter(|&m| self.day.zone_of_marshal(m) == zone).collect();
                there.get(marshal % there.len().max(1)).copied().unwrap_or(marshal)
            }
            _ => marshal,
        }
    }

    /// Draws the time of the next call.
    fn pass_to_next(&mut self) {
        let burst: f64 = self.active(Kind::Burst).map(|t| t.1.much).product();
        let gap = Exp::new(self.day.traffic.rate * burst).map_or(1.0, |e| e.sample(&mut self.rng));
        self.next += Duration::from_secs_f64(gap);
    }

    fn fresh_ask(&mut self) -> Ask {
        let mut at =
            self.rng.random_range(0.0..1.0) * self.day.methods.iter().map(|m| m.2.share).sum::<f64>();
        let method = self.day.methods.iter().position(|m| {
            at -= m.2.share;
            at < 0.0
        });
        let method = method.unwrap_or(0);
        let deadline = self.method(method).1.deadline;
        let traffic = self.day.traffic.clone();
        let patience = self.rng.random_range(traffic.patience..=1.0);
        let left = deadline.mul_f64(patience);
        let key = match Zipf::new(traffic.keys as f64, traffic.zipf) {
            Ok(zipf) if traffic.keys > 0 => zipf.sample(&mut self.rng) as u64,
            _ => 0,
        };
        self.ids += 1;
        let (call, marshal) = (self.ids, self.marshal());
        let phase = self.phase();
        self.phases[phase].asked += 1;
        self.calls.insert(call, Call { first: self.now, until: self.now + deadline, phase });
        let leaves = self.leaves(left);
        Ask { id: 0, call, marshal, method, key, left, leaves, tries: 1 }
    }

    /// The index of the present phase.
    fn phase(&self) -> usize {
        self.phases.iter().position(|p| self.now < p.to).unwrap_or(self.phases.len() - 1)
    }

    fn leaves(&mut self, left: Duration) -> Option<Duration> {
        let much = self.much(Kind::GiveUp).min(1.0);
        (much > 0.0 && self.rng.random_bool(much)).then(|| left.mul_f64(self.rng.random_range(0.02..0.5)))
    }

    /// An attempt ended. The client may retry, if the method allows it.
    pub fn ended(&mut self, now: Duration, id: u64, end: End) {
        self.at(now);
        let Some(open) = self.open.remove(&id) else { return };
        self.log(seen(id, end));
        let Open { mut ask, at } = open;
        let Some(call) = self.calls.get(&ask.call) else { return };
        let (first, until) = (call.first, call.until);
        let terms = self.method(ask.method).1.clone();
        let within = match terms.repeat {
            Repeat::Idempotent => true,
            Repeat::Tokened { window, .. } => self.now + Duration::from_secs(1) < first + window,
            Repeat::NonIdempotent => false,
        };
        let mut wait = self.day.traffic.retry_wait;
        let again = match end {
            End::Answered { kind: Answer::Ok, .. } | End::Left | End::TimeUp => false,
            End::Answered { kind: Answer::PushedBack, retry_after, .. } => {
                wait = wait.max(retry_after);
                true
            }
            End::Refused => true,
            _ => within,
        };
        let start = self.now + wait;
        let room = until.saturating_sub(start) > Duration::from_millis(50);
        // Nodes drop a repeat only while they remember its token.
        let known = !matches!(terms.repeat, Repeat::Tokened { .. }) || within;
        if again && room && known && ask.tries <= self.day.traffic.retries && start < self.traffic_ends() {
            ask.tries += 1;
            ask.left = ask.left.min(until - start);
            ask.leaves = self.leaves(ask.left);
            if end == End::Refused {
                ask.marshal = self.marshal();
            }
            self.again.insert((start, ask.call), ask);
            return;
        }
        self.close(&ask, at, end);
    }

    /// Counts the end of a call in its phase. `since`: when its client began to wait.
    fn close(&mut self, ask: &Ask, since: Duration, end: End) {
        let Some(call) = self.calls.remove(&ask.call) else { return };
        let soft = self.method(ask.method).1.soft_deadline;
        let (took, phase) = (self.now.saturating_sub(since), &mut self.phases[call.phase]);
        match end {
            End::Answered { kind, picks, .. } => phase.answered(kind, took, soft, picks),
            _ => phase.none += 1,
        }
    }

    /// Bytes arrived after the final answer of an attempt.
    pub fn extra(&mut self, now: Duration, id: u64) {
        self.at(now);
        self.log(Seen::Extra { id });
    }

    /// A marshal was asked to shut down.
    pub fn told_to_stop(&mut self, now: Duration, marshal: usize) {
        self.at(now);
        self.log(Seen::Marshal { marshal: marshal as u32, turn: Turn::Told });
    }

    /// Attempts in flight.
    pub fn in_hand(&self) -> usize {
        self.open.len()
    }
}

fn seen(id: u64, end: End) -> Seen {
    match end {
        End::Answered { kind, build, picks, .. } => Seen::Answered { id, kind, build, picks },
        End::Broken => Seen::Broken { id },
        End::Refused => Seen::Refused { id },
        End::TimeUp => Seen::TimeUp { id },
        End::Left => Seen::Left { id },
    }
}

/// Splits the day where faults begin or end and rollouts begin, into phases of at least two seconds.
fn phases(day: &Day) -> Vec<Phase> {
    let mut cuts: Vec<Duration> = day.troubles.iter().flat_map(|t| [t.at, t.at + t.lasts]).collect();
    cuts.extend(day.offers.iter().map(|o| o.at));
    cuts.sort();
    let mut phases: Vec<Phase> = Vec::new();
    let mut from = Duration::ZERO;
    for to in cuts.into_iter().chain([day.lasts]) {
        if to < from + Duration::from_secs(2) && to < day.lasts || to <= from || to > day.lasts {
            continue;
        }
        let middle = (from + to) / 2;
        let names = day.troubles.iter().filter(|t| t.on(middle)).map(|t| t.kind.word());
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
