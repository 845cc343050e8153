//! Simulated fleet in virtual time: links lose, delay, duplicate and cut datagrams, members die, pause and
//! restart. The same seed gives the same run.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ivydrift_members::message::State;
use ivydrift_members::{Input, Members, Number, Out, Pace};
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
pub struct Seen {
    pub at: Duration,
    pub by: Number,
    pub of: Number,
    pub from: State,
    pub to: State,
}

enum One {
    Live(Box<Members>),
    /// Paused: datagrams wait in its socket.
    Still(Box<Members>, Vec<(Number, Vec<u8>)>),
    Dead,
}

type Cut = Box<dyn Fn(Number, Number) -> bool>;

pub struct World {
    pub now: Duration,
    pub loss: f64,
    pub repeats: f64,
    pub delay: [Duration; 2],
    /// Whether datagrams from the first member to the second are lost.
    pub cut: Cut,
    pub seen: Vec<Seen>,
    count: Number,
    ones: Vec<One>,
    ticks: BTreeMap<Number, Duration>,
    due: BTreeSet<(Duration, Number)>,
    mail: BTreeMap<(Duration, u64), (Number, Number, Vec<u8>)>,
    posted: u64,
    rng: Pcg64,
    seed: u64,
}

impl World {
    pub fn new(count: Number, seed: u64) -> Self {
        let mut world = World {
            now: secs(100),
            loss: 0.0,
            repeats: 0.0,
            delay: [ms(1), ms(3)],
            cut: Box::new(|_, _| false),
            seen: Vec::new(),
            count,
            ones: (0..count).map(|_| One::Dead).collect(),
            ticks: BTreeMap::new(),
            due: BTreeSet::new(),
            mail: BTreeMap::new(),
            posted: 0,
            rng: Pcg64::seed_from_u64(seed),
            seed,
        };
        (0..count).for_each(|n| world.start(n, 1000));
        world
    }

    pub fn start(&mut self, n: Number, life: u64) {
        let seed = self.seed << 20 ^ u64::from(n) << 1 ^ life << 40;
        let members = Members::new(n, self.count, life, seed, self.now, Pace::default());
        self.ones[usize::from(n)] = One::Live(Box::new(members));
        self.wake(n);
    }

    pub fn kill(&mut self, n: Number) {
        self.ones[usize::from(n)] = One::Dead;
        self.forget(n);
    }

    pub fn stop(&mut self, n: Number) {
        let one = std::mem::replace(&mut self.ones[usize::from(n)], One::Dead);
        if let One::Live(members) = one {
            self.ones[usize::from(n)] = One::Still(members, Vec::new());
        }
        self.forget(n);
    }

    /// Resumes the member: its timer fires before the socket is read, as it can in a real process.
    pub fn go_on(&mut self, n: Number) {
        let one = std::mem::replace(&mut self.ones[usize::from(n)], One::Dead);
        let One::Still(members, mail) = one else { return };
        self.ones[usize::from(n)] = One::Live(members);
        self.tell(n, Input::Tick);
        for (from, bytes) in mail {
            self.tell(n, Input::Heard { from, bytes: &bytes });
        }
    }

    pub fn leave(&mut self, n: Number) {
        let now = self.now;
        if let One::Live(members) = &mut self.ones[usize::from(n)] {
            let outs = members.leave(now);
            self.carry(n, outs);
        }
        self.kill(n);
    }

    pub fn member(&mut self, n: Number) -> Option<&mut Members> {
        match &mut self.ones[usize::from(n)] {
            One::Live(members) => Some(members),
            _ => None,
        }
    }

    /// The state of `of` as seen by `by`.
    pub fn state(&mut self, by: Number, of: Number) -> State {
        let now = self.now;
        let members = self.member(by).expect("the member is running");
        let state = members.view(now).nth(usize::from(of)).map(|v| v.state);
        state.expect("the member is listed")
    }

    /// Whether every running member sees exactly the members that have not died as present.
    pub fn agreed(&mut self) -> bool {
        let live: Vec<bool> = self.ones.iter().map(|o| !matches!(o, One::Dead)).collect();
        let now = self.now;
        self.ones.iter().all(|one| match one {
            One::Live(m) => m.view(now).zip(&live).all(|(v, live)| v.state.present() == *live),
            _ => true,
        })
    }

    pub fn run_until(&mut self, until: Duration) {
        loop {
            let mail = self.mail.first_key_value().map(|m| m.0 .0);
            let due = self.due.first().map(|d| d.0);
            let Some(at) = mail.into_iter().chain(due).min().filter(|at| *at <= until) else { break };
            self.now = self.now.max(at);
            if mail == Some(at) {
                if let Some((_, (from, to, bytes))) = self.mail.pop_first() {
                    if let One::Still(_, waiting) = &mut self.ones[usize::from(to)] {
                        waiting.push((from, bytes));
                    } else {
                        self.tell(to, Input::Heard { from, bytes: &bytes });
                    }
                }
            } else if let Some(&(_, n)) = self.due.first() {
                self.tell(n, Input::Tick);
            }
        }
        self.now = until;
    }

    pub fn run(&mut self, span: Duration) {
        self.run_until(self.now + span);
    }

    /// Runs until all agree; returns the time that took, or `None` if they did not in time.
    pub fn agree_within(&mut self, most: Duration) -> Option<Duration> {
        let from = self.now;
        while self.now < from + most {
            if self.agreed() {
                return Some(self.now - from);
            }
            self.run(ms(100));
        }
        None
    }

    /// Deaths that members declared since `from`.
    pub fn dead_since(&self, from: Duration) -> Vec<Seen> {
        self.seen.iter().filter(|s| s.at >= from && s.to == State::Dead).cloned().collect()
    }

    fn tell(&mut self, n: Number, input: Input) {
        let now = self.now;
        let One::Live(members) = &mut self.ones[usize::from(n)] else { return };
        let outs = members.handle(now, input);
        self.carry(n, outs);
        self.wake(n);
    }

    fn carry(&mut self, by: Number, outs: Vec<Out>) {
        for out in outs {
            match out {
                Out::Changed { number: of, from, to, .. } => {
                    self.seen.push(Seen { at: self.now, by, of, from, to })
                }
                Out::Send { to, bytes } => {
                    if (self.cut)(by, to) || self.rng.random::<f64>() < self.loss {
                        continue;
                    }
                    let copies = 1 + usize::from(self.rng.random::<f64>() < self.repeats);
                    for _ in 0..copies {
                        let part: f64 = self.rng.random();
                        let delay = self.delay[0] + (self.delay[1] - self.delay[0]).mul_f64(part);
                        self.posted += 1;
                        self.mail.insert((self.now + delay, self.posted), (by, to, bytes.clone()));
                    }
                }
            }
        }
    }

    fn forget(&mut self, n: Number) {
        if let Some(at) = self.ticks.remove(&n) {
            self.due.remove(&(at, n));
        }
    }

    fn wake(&mut self, n: Number) {
        self.forget(n);
        if let One::Live(members) = &self.ones[usize::from(n)] {
            // As in the real event loop: an overdue timer does not fire again at once.
            let at = members.due().max(self.now + Duration::from_micros(500));
            self.ticks.insert(n, at);
            self.due.insert((at, n));
        }
    }
}
