//! Simulated fleet in virtual time: links lose, delay, duplicate and cut datagrams, members die, pause and
//! restart. The same seed gives the same run.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ivydrift_members::message::State;
use ivydrift_members::{Action, Input, MemberIndex, Members, Timing};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// A state change that one member saw of another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateChange {
    pub at: Duration,
    pub by: MemberIndex,
    pub of: MemberIndex,
    pub from: State,
    pub to: State,
}

enum Process {
    Running(Box<Members>),
    /// Paused: datagrams wait in its socket.
    Paused(Box<Members>, Vec<(MemberIndex, Vec<u8>)>),
    Dead,
}

type Cut = Box<dyn Fn(MemberIndex, MemberIndex) -> bool>;

pub struct Simulation {
    pub now: Duration,
    pub loss: f64,
    pub duplication: f64,
    pub delay: [Duration; 2],
    /// Whether datagrams from the first member to the second are lost.
    pub cut: Cut,
    pub changes: Vec<StateChange>,
    count: MemberIndex,
    processes: Vec<Process>,
    timers: BTreeMap<MemberIndex, Duration>,
    due: BTreeSet<(Duration, MemberIndex)>,
    in_transit: BTreeMap<(Duration, u64), (MemberIndex, MemberIndex, Vec<u8>)>,
    sent_count: u64,
    rng: Pcg64,
    seed: u64,
}

impl Simulation {
    pub fn new(count: MemberIndex, seed: u64) -> Self {
        let mut sim = Simulation {
            now: secs(100),
            loss: 0.0,
            duplication: 0.0,
            delay: [ms(1), ms(3)],
            cut: Box::new(|_, _| false),
            changes: Vec::new(),
            count,
            processes: (0..count).map(|_| Process::Dead).collect(),
            timers: BTreeMap::new(),
            due: BTreeSet::new(),
            in_transit: BTreeMap::new(),
            sent_count: 0,
            rng: Pcg64::seed_from_u64(seed),
            seed,
        };
        (0..count).for_each(|n| sim.start(n, 1000));
        sim
    }

    pub fn start(&mut self, n: MemberIndex, life: u64) {
        let seed = self.seed << 20 ^ u64::from(n) << 1 ^ life << 40;
        let members = Members::new(n, self.count, life, seed, self.now, Timing::default());
        self.processes[usize::from(n)] = Process::Running(Box::new(members));
        self.schedule(n);
    }

    pub fn kill(&mut self, n: MemberIndex) {
        self.processes[usize::from(n)] = Process::Dead;
        self.cancel_timer(n);
    }

    pub fn pause(&mut self, n: MemberIndex) {
        let process = std::mem::replace(&mut self.processes[usize::from(n)], Process::Dead);
        if let Process::Running(members) = process {
            self.processes[usize::from(n)] = Process::Paused(members, Vec::new());
        }
        self.cancel_timer(n);
    }

    /// Resumes the member: its timer fires before the socket is read, as it can in a real process.
    pub fn resume(&mut self, n: MemberIndex) {
        let process = std::mem::replace(&mut self.processes[usize::from(n)], Process::Dead);
        let Process::Paused(members, waiting) = process else { return };
        self.processes[usize::from(n)] = Process::Running(members);
        self.deliver(n, Input::Tick);
        for (from, bytes) in waiting {
            self.deliver(n, Input::Received { from, bytes: &bytes });
        }
    }

    pub fn leave(&mut self, n: MemberIndex) {
        let now = self.now;
        if let Process::Running(members) = &mut self.processes[usize::from(n)] {
            let actions = members.leave(now);
            self.perform(n, actions);
        }
        self.kill(n);
    }

    pub fn member(&mut self, n: MemberIndex) -> Option<&mut Members> {
        match &mut self.processes[usize::from(n)] {
            Process::Running(members) => Some(members),
            _ => None,
        }
    }

    /// The state of `of` as seen by `by`.
    pub fn state(&mut self, by: MemberIndex, of: MemberIndex) -> State {
        let now = self.now;
        let members = self.member(by).expect("the member is running");
        let state = members.members(now).nth(usize::from(of)).map(|v| v.state);
        state.expect("the member is listed")
    }

    /// Whether every running member sees exactly the members that have not died as present.
    pub fn converged(&mut self) -> bool {
        let live: Vec<bool> = self.processes.iter().map(|o| !matches!(o, Process::Dead)).collect();
        let now = self.now;
        self.processes.iter().all(|process| match process {
            Process::Running(m) => m.members(now).zip(&live).all(|(v, live)| v.state.is_present() == *live),
            _ => true,
        })
    }

    pub fn run_until(&mut self, until: Duration) {
        loop {
            let arrival = self.in_transit.first_key_value().map(|m| m.0 .0);
            let due = self.due.first().map(|d| d.0);
            let Some(at) = arrival.into_iter().chain(due).min().filter(|at| *at <= until) else { break };
            self.now = self.now.max(at);
            if arrival == Some(at) {
                if let Some((_, (from, to, bytes))) = self.in_transit.pop_first() {
                    if let Process::Paused(_, waiting) = &mut self.processes[usize::from(to)] {
                        waiting.push((from, bytes));
                    } else {
                        self.deliver(to, Input::Received { from, bytes: &bytes });
                    }
                }
            } else if let Some(&(_, n)) = self.due.first() {
                self.deliver(n, Input::Tick);
            }
        }
        self.now = until;
    }

    pub fn run(&mut self, span: Duration) {
        self.run_until(self.now + span);
    }

    /// Runs until all agree; returns the time that took, or `None` if they did not in time.
    pub fn converge_within(&mut self, limit: Duration) -> Option<Duration> {
        let from = self.now;
        while self.now < from + limit {
            if self.converged() {
                return Some(self.now - from);
            }
            self.run(ms(100));
        }
        None
    }

    /// Deaths that members declared since `from`.
    pub fn deaths_since(&self, from: Duration) -> Vec<StateChange> {
        self.changes.iter().filter(|s| s.at >= from && s.to == State::Dead).cloned().collect()
    }

    fn deliver(&mut self, n: MemberIndex, input: Input) {
        let now = self.now;
        let Process::Running(members) = &mut self.processes[usize::from(n)] else { return };
        let actions = members.handle(now, input);
        self.perform(n, actions);
        self.schedule(n);
    }

    fn perform(&mut self, by: MemberIndex, actions: Vec<Action>) {
        for out in actions {
            match out {
                Action::StateChanged { number: of, from, to, .. } => {
                    self.changes.push(StateChange { at: self.now, by, of, from, to })
                }
                Action::Send { to, bytes } => {
                    if (self.cut)(by, to) || self.rng.random::<f64>() < self.loss {
                        continue;
                    }
                    let copies = 1 + usize::from(self.rng.random::<f64>() < self.duplication);
                    for _ in 0..copies {
                        let fraction: f64 = self.rng.random();
                        let delay = self.delay[0] + (self.delay[1] - self.delay[0]).mul_f64(fraction);
                        self.sent_count += 1;
                        self.in_transit.insert((self.now + delay, self.sent_count), (by, to, bytes.clone()));
                    }
                }
            }
        }
    }

    fn cancel_timer(&mut self, n: MemberIndex) {
        if let Some(at) = self.timers.remove(&n) {
            self.due.remove(&(at, n));
        }
    }

    fn schedule(&mut self, n: MemberIndex) {
        self.cancel_timer(n);
        if let Process::Running(members) = &self.processes[usize::from(n)] {
            // As in the real event loop: an overdue timer does not fire again at once.
            let at = members.next_tick_at().max(self.now + Duration::from_micros(500));
            self.timers.insert(n, at);
            self.due.insert((at, n));
        }
    }
}
