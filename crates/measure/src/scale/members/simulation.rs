//! Simulates thousands of members in one process in virtual time: the shipped membership on links with
//! delays. Who sees whom is counted incrementally rather than recomputed, so that even with thousands of
//! members the simulation can check at every event whether all see all.

use std::collections::BinaryHeap;
use std::time::Duration;

use ivydrift_members::{Action, Input, MemberIndex, Members, State, Timing};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Number of zones; two form a region.
pub const ZONES: usize = 12;
/// Number of regions.
pub const REGIONS: usize = 6;
/// Shortest and longest delay of a datagram.
const DELAY: [Duration; 2] = [Duration::from_millis(1), Duration::from_millis(3)];
/// Interval at which each member publishes a new record, as in the marshal.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);
/// Size of a record; its first eight bytes are the time of its creation.
const RECORD_BYTES: usize = 80;

/// A duration of `n` seconds.
pub fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

enum EventKind {
    Tick(MemberIndex),
    Datagram { from: MemberIndex, to: MemberIndex, bytes: Vec<u8> },
    PublishRecords,
}

struct Event {
    at: Duration,
    seq: u64,
    kind: EventKind,
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
pub struct Simulation {
    pub now: Duration,
    /// The regions are partitioned from one another.
    pub partitioned: bool,
    /// Seconds from a member's death until each living member noticed it.
    pub deaths: Vec<f32>,
    /// Death notices about members that are alive.
    pub false_deaths: u64,
    count: MemberIndex,
    members: Vec<Option<Box<Members>>>,
    incarnations: Vec<u64>,
    ticks: Vec<Duration>,
    killed_at: Vec<Option<Duration>>,
    /// Number of living members that see each member as present.
    seen_by: Vec<u64>,
    live_count: u64,
    /// Ordered pairs of members of which the first sees the second in the wrong state.
    wrong_pairs: u64,
    queue: BinaryHeap<Event>,
    seq: u64,
    rng: StdRng,
    seed: u64,
}

impl Simulation {
    /// Creates `count` members that start at once.
    pub fn new(count: MemberIndex, seed: u64) -> Self {
        let all = usize::from(count);
        let mut simulation = Simulation {
            now: secs(100),
            partitioned: false,
            deaths: Vec::new(),
            false_deaths: 0,
            count,
            members: (0..all).map(|_| None).collect(),
            incarnations: vec![1000; all],
            ticks: vec![Duration::MAX; all],
            killed_at: vec![None; all],
            seen_by: vec![0; all],
            live_count: 0,
            wrong_pairs: 0,
            queue: BinaryHeap::new(),
            seq: 0,
            rng: StdRng::seed_from_u64(seed),
            seed,
        };
        (0..count).for_each(|n| simulation.spawn(n));
        simulation.recount();
        simulation.schedule(simulation.now, EventKind::PublishRecords);
        simulation
    }

    /// The zone of member `n`.
    pub fn zone(&self, n: MemberIndex) -> usize {
        usize::from(n) * ZONES / usize::from(self.count)
    }

    fn region(&self, n: MemberIndex) -> usize {
        self.zone(n) * REGIONS / ZONES
    }

    fn spawn(&mut self, n: MemberIndex) {
        let at = usize::from(n);
        self.incarnations[at] += 1;
        let seed = self.seed << 20 ^ u64::from(n) << 1 ^ self.incarnations[at] << 40;
        let members = Members::new(n, self.count, self.incarnations[at], seed, self.now, Timing::default());
        self.members[at] = Some(Box::new(members));
        self.killed_at[at] = None;
        self.schedule_tick(n);
    }

    /// Restarts member `n` with a new incarnation.
    pub fn restart(&mut self, n: MemberIndex) {
        if self.members[usize::from(n)].is_none() {
            self.spawn(n);
            self.recount();
        }
    }

    /// Kills member `n` without a farewell.
    pub fn kill(&mut self, n: MemberIndex) {
        let at = usize::from(n);
        let Some(gone) = self.members[at].take() else { return };
        for seen in gone.members(self.now).filter(|v| v.number != n && v.state.is_present()) {
            self.seen_by[usize::from(seen.number)] -= 1;
        }
        (self.killed_at[at], self.ticks[at]) = (Some(self.now), Duration::MAX);
        self.recount();
    }

    fn recount(&mut self) {
        self.live_count = self.members.iter().flatten().count() as u64;
        let wrong = |(member, seen): (&Option<Box<Members>>, &u64)| match member {
            Some(_) => self.live_count - 1 - seen,
            None => *seen,
        };
        self.wrong_pairs = self.members.iter().zip(&self.seen_by).map(wrong).sum();
    }

    /// Share of the pairs of which the first sees the second in the right state.
    pub fn right_share(&self) -> f64 {
        let pairs = self.live_count.max(1) * u64::from(self.count - 1).max(1);
        1.0 - self.wrong_pairs as f64 / pairs as f64
    }

    /// Runs until the share `share` of the pairs is right. Returns the time that took, or `None` after `limit`.
    pub fn run_until_right(&mut self, share: f64, limit: Duration) -> Option<Duration> {
        let (from, end) = (self.now, self.now + limit);
        let enough = |simulation: &Simulation| {
            if share < 1.0 {
                simulation.right_share() >= share
            } else {
                simulation.wrong_pairs == 0
            }
        };
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
    pub fn traffic_sent(&self) -> [u64; 2] {
        let each = self.members.iter().flatten().map(|m| m.traffic());
        each.fold([0, 0], |sum, t| [sum[0] + t.sent, sum[1] + t.sent_bytes])
    }

    /// Ages, in seconds, of the records that about `viewers` members hold of the others, and the share of
    /// records they hold.
    pub fn record_ages(&self, viewers: usize) -> (Vec<f32>, f64) {
        let step = usize::from(self.count).div_ceil(viewers.max(1)).max(1);
        let (mut ages, mut all) = (Vec::new(), 0);
        for (n, member) in self.members.iter().enumerate().step_by(step) {
            for v in member.iter().flat_map(|m| m.members(self.now)).filter(|v| usize::from(v.number) != n) {
                all += usize::from(self.members[usize::from(v.number)].is_some());
                let made = v.record.and_then(|(bytes, ..)| bytes.first_chunk::<8>().copied());
                let made = made.map(|b| Duration::from_micros(u64::from_be_bytes(b)));
                ages.extend(made.map(|at| self.now.saturating_sub(at).as_secs_f32()));
            }
        }
        let known = ages.len() as f64 / all.max(1) as f64;
        (ages, known)
    }

    fn schedule(&mut self, at: Duration, kind: EventKind) {
        self.seq += 1;
        self.queue.push(Event { at, seq: self.seq, kind });
    }

    /// Processes the next event before `end`; false if there is none.
    fn step(&mut self, end: Duration) -> bool {
        if self.queue.peek().is_none_or(|e| e.at > end) {
            return false;
        }
        let Some(Event { at, kind, .. }) = self.queue.pop() else { return false };
        self.now = self.now.max(at);
        match kind {
            EventKind::Tick(n) if self.ticks[usize::from(n)] == at => {
                self.ticks[usize::from(n)] = Duration::MAX;
                self.deliver(n, Input::Tick);
            }
            EventKind::Tick(_) => {}
            EventKind::Datagram { from, to, bytes } => {
                self.deliver(to, Input::Received { from, bytes: &bytes })
            }
            EventKind::PublishRecords => {
                let made = (self.now.as_micros() as u64).to_be_bytes();
                let mut record = vec![0; RECORD_BYTES];
                record[..8].copy_from_slice(&made);
                for member in self.members.iter_mut().flatten() {
                    let _ = member.publish(record.clone());
                }
                self.schedule(self.now + PUBLISH_INTERVAL, EventKind::PublishRecords);
            }
        }
        true
    }

    fn deliver(&mut self, n: MemberIndex, input: Input) {
        let now = self.now;
        let Some(members) = &mut self.members[usize::from(n)] else { return };
        for out in members.handle(now, input) {
            match out {
                Action::Send { to, bytes } => {
                    if !(self.partitioned && self.region(n) != self.region(to)) {
                        let delay = DELAY[0] + (DELAY[1] - DELAY[0]).mul_f64(self.rng.random());
                        self.schedule(now + delay, EventKind::Datagram { from: n, to, bytes });
                    }
                }
                Action::StateChanged { number, from, to, life } if number != n => {
                    self.record_change(n, (number, life), from, to)
                }
                Action::StateChanged { .. } => {}
            }
        }
        self.schedule_tick(n);
    }

    fn record_change(
        &mut self, observer: MemberIndex, (observed, life): (MemberIndex, u64), from: State, to: State,
    ) {
        let at = usize::from(observed);
        let alive = self.members[at].is_some();
        match (from.is_present(), to.is_present()) {
            (false, true) => {
                self.seen_by[at] += 1;
                self.wrong_pairs = if alive { self.wrong_pairs - 1 } else { self.wrong_pairs + 1 };
            }
            (true, false) => {
                self.seen_by[at] -= 1;
                self.wrong_pairs = if alive { self.wrong_pairs + 1 } else { self.wrong_pairs - 1 };
            }
            _ => {}
        }
        if to == State::Dead {
            let killed = self.killed_at[at].filter(|_| !alive);
            self.deaths.extend(killed.map(|at| (self.now - at).as_secs_f32()));
            let reachable = !self.partitioned || self.region(observer) == self.region(observed);
            // A late notice about an earlier incarnation is still true.
            self.false_deaths += u64::from(alive && reachable && life == self.incarnations[at]);
        }
    }

    fn schedule_tick(&mut self, n: MemberIndex) {
        let Some(members) = &self.members[usize::from(n)] else { return };
        // Like the shell, doesn't tick again at once even if something is overdue.
        let at = members.next_tick_at().max(self.now + Duration::from_micros(500));
        if self.ticks[usize::from(n)] != at {
            self.ticks[usize::from(n)] = at;
            self.schedule(at, EventKind::Tick(n));
        }
    }
}
