//! Simulates thousands of members in one process in virtual time: the shipped membership on links with
//! delays. Who sees whom is counted incrementally rather than recomputed, so that even with thousands of
//! members the simulation can check at every event whether all see all.

use std::collections::BinaryHeap;
use std::time::Duration;

use ivydrift_members::{Input, Members, Number, Out, Pace, State};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Number of zones; two form a region.
pub const ZONES: usize = 12;
/// Number of regions.
pub const REGIONS: usize = 6;
/// Shortest and longest delay of a datagram.
const DELAY: [Duration; 2] = [Duration::from_millis(1), Duration::from_millis(3)];
/// Interval at which each member publishes a new record, as in the marshal.
const RENEW: Duration = Duration::from_millis(500);
/// Size of a record; its first eight bytes are the time of its creation.
const RECORD: usize = 80;

/// A duration of `n` seconds.
pub fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

enum What {
    Tick(Number),
    Mail { from: Number, to: Number, bytes: Vec<u8> },
    Renew,
}

struct Event {
    at: Duration,
    seq: u64,
    what: What,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.seq) == (other.at, other.seq)
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    /// Reversed, so that the max-heap yields the earliest event first.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.seq).cmp(&(self.at, self.seq))
    }
}

/// A simulated fleet of members.
pub struct World {
    pub now: Duration,
    /// The regions are partitioned from one another.
    pub apart: bool,
    /// Seconds from a member's death until each living member noticed it.
    pub deaths: Vec<f32>,
    /// Death notices about members that are alive.
    pub false_deaths: u64,
    count: Number,
    ones: Vec<Option<Box<Members>>>,
    lives: Vec<u64>,
    ticks: Vec<Duration>,
    killed: Vec<Option<Duration>>,
    /// Number of living members that see each member as present.
    seen_by: Vec<u64>,
    live: u64,
    /// Ordered pairs of members of which the first sees the second in the wrong state.
    wrong: u64,
    queue: BinaryHeap<Event>,
    seq: u64,
    rng: StdRng,
    seed: u64,
}

impl World {
    /// Creates `count` members that start at once.
    pub fn new(count: Number, seed: u64) -> Self {
        let all = usize::from(count);
        let mut world = World {
            now: secs(100),
            apart: false,
            deaths: Vec::new(),
            false_deaths: 0,
            count,
            ones: (0..all).map(|_| None).collect(),
            lives: vec![1000; all],
            ticks: vec![Duration::MAX; all],
            killed: vec![None; all],
            seen_by: vec![0; all],
            live: 0,
            wrong: 0,
            queue: BinaryHeap::new(),
            seq: 0,
            rng: StdRng::seed_from_u64(seed),
            seed,
        };
        (0..count).for_each(|n| world.enter(n));
        world.recount();
        world.post(world.now, What::Renew);
        world
    }

    /// The zone of member `n`.
    pub fn zone(&self, n: Number) -> usize {
        usize::from(n) * ZONES / usize::from(self.count)
    }

    fn region(&self, n: Number) -> usize {
        self.zone(n) * REGIONS / ZONES
    }

    fn enter(&mut self, n: Number) {
        let at = usize::from(n);
        self.lives[at] += 1;
        let seed = self.seed << 20 ^ u64::from(n) << 1 ^ self.lives[at] << 40;
        let members = Members::new(n, self.count, self.lives[at], seed, self.now, Pace::default());
        self.ones[at] = Some(Box::new(members));
        self.killed[at] = None;
        self.wake(n);
    }

    /// Restarts member `n` with a new incarnation.
    pub fn start(&mut self, n: Number) {
        if self.ones[usize::from(n)].is_none() {
            self.enter(n);
            self.recount();
        }
    }

    /// Kills member `n` without a farewell.
    pub fn kill(&mut self, n: Number) {
        let at = usize::from(n);
        let Some(gone) = self.ones[at].take() else { return };
        for seen in gone.view(self.now).filter(|v| v.number != n && v.state.present()) {
            self.seen_by[usize::from(seen.number)] -= 1;
        }
        (self.killed[at], self.ticks[at]) = (Some(self.now), Duration::MAX);
        self.recount();
    }

    fn recount(&mut self) {
        self.live = self.ones.iter().flatten().count() as u64;
        let wrong = |(one, seen): (&Option<Box<Members>>, &u64)| match one {
            Some(_) => self.live - 1 - seen,
            None => *seen,
        };
        self.wrong = self.ones.iter().zip(&self.seen_by).map(wrong).sum();
    }

    /// Share of the pairs of which the first sees the second in the right state.
    pub fn right(&self) -> f64 {
        let pairs = self.live.max(1) * u64::from(self.count - 1).max(1);
        1.0 - self.wrong as f64 / pairs as f64
    }

    /// Runs until the share `part` of the pairs is right. Returns the time that took, or `None` after `most`.
    pub fn right_within(&mut self, part: f64, most: Duration) -> Option<Duration> {
        let (from, end) = (self.now, self.now + most);
        let enough = |world: &World| if part < 1.0 { world.right() >= part } else { world.wrong == 0 };
        while !enough(self) {
            if !self.step(end) {
                self.now = end;
                return None;
            }
        }
        Some(self.now - from)
    }

    /// Runs for `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.step(end) {}
        self.now = end;
    }

    /// Datagrams and bytes sent by all living members.
    pub fn sent(&self) -> [u64; 2] {
        let each = self.ones.iter().flatten().map(|m| m.traffic());
        each.fold([0, 0], |sum, t| [sum[0] + t.sent, sum[1] + t.sent_bytes])
    }

    /// Ages, in seconds, of the records that about `viewers` members hold of the others, and the share of
    /// records they hold.
    pub fn ages(&self, viewers: usize) -> (Vec<f32>, f64) {
        let step = usize::from(self.count).div_ceil(viewers.max(1)).max(1);
        let (mut ages, mut all) = (Vec::new(), 0);
        for (n, one) in self.ones.iter().enumerate().step_by(step) {
            for v in one.iter().flat_map(|m| m.view(self.now)).filter(|v| usize::from(v.number) != n) {
                all += usize::from(self.ones[usize::from(v.number)].is_some());
                let made = v.record.and_then(|(bytes, ..)| bytes.first_chunk::<8>().copied());
                let made = made.map(|b| Duration::from_micros(u64::from_be_bytes(b)));
                ages.extend(made.map(|at| self.now.saturating_sub(at).as_secs_f32()));
            }
        }
        let known = ages.len() as f64 / all.max(1) as f64;
        (ages, known)
    }

    fn post(&mut self, at: Duration, what: What) {
        self.seq += 1;
        self.queue.push(Event { at, seq: self.seq, what });
    }

    /// Processes the next event before `end`; false if there is none.
    fn step(&mut self, end: Duration) -> bool {
        if self.queue.peek().is_none_or(|e| e.at > end) {
            return false;
        }
        let Some(Event { at, what, .. }) = self.queue.pop() else { return false };
        self.now = self.now.max(at);
        match what {
            What::Tick(n) if self.ticks[usize::from(n)] == at => {
                self.ticks[usize::from(n)] = Duration::MAX;
                self.tell(n, Input::Tick);
            }
            What::Tick(_) => {}
            What::Mail { from, to, bytes } => self.tell(to, Input::Heard { from, bytes: &bytes }),
            What::Renew => {
                let made = (self.now.as_micros() as u64).to_be_bytes();
                let mut record = vec![0; RECORD];
                record[..8].copy_from_slice(&made);
                for one in self.ones.iter_mut().flatten() {
                    let _ = one.publish(record.clone());
                }
                self.post(self.now + RENEW, What::Renew);
            }
        }
        true
    }

    fn tell(&mut self, n: Number, input: Input) {
        let now = self.now;
        let Some(members) = &mut self.ones[usize::from(n)] else { return };
        for out in members.handle(now, input) {
            match out {
                Out::Send { to, bytes } => {
                    if !(self.apart && self.region(n) != self.region(to)) {
                        let delay = DELAY[0] + (DELAY[1] - DELAY[0]).mul_f64(self.rng.random());
                        self.post(now + delay, What::Mail { from: n, to, bytes });
                    }
                }
                Out::Changed { number, from, to, life } if number != n => {
                    self.saw(n, (number, life), from, to)
                }
                Out::Changed { .. } => {}
            }
        }
        self.wake(n);
    }

    fn saw(&mut self, by: Number, (of, life): (Number, u64), from: State, to: State) {
        let at = usize::from(of);
        let lives = self.ones[at].is_some();
        match (from.present(), to.present()) {
            (false, true) => {
                self.seen_by[at] += 1;
                self.wrong = if lives { self.wrong - 1 } else { self.wrong + 1 };
            }
            (true, false) => {
                self.seen_by[at] -= 1;
                self.wrong = if lives { self.wrong + 1 } else { self.wrong - 1 };
            }
            _ => {}
        }
        if to == State::Dead {
            let killed = self.killed[at].filter(|_| !lives);
            self.deaths.extend(killed.map(|at| (self.now - at).as_secs_f32()));
            let heard = !self.apart || self.region(by) == self.region(of);
            // A late notice about an earlier incarnation is still true.
            self.false_deaths += u64::from(lives && heard && life == self.lives[at]);
        }
    }

    fn wake(&mut self, n: Number) {
        let Some(members) = &self.ones[usize::from(n)] else { return };
        // Like the shell, doesn't tick again at once even if something is overdue.
        let at = members.due().max(self.now + Duration::from_micros(500));
        if self.ticks[usize::from(n)] != at {
            self.ticks[usize::from(n)] = at;
            self.post(at, What::Tick(n));
        }
    }
}
