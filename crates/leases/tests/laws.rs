//! Leases one resource of 100 units in a group by votes, in virtual time with injected faults. Under any
//! faults the marshals together never use more than the total; without faults they use nearly all of it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ivydrift_leases::message::{Lease, Report};
use ivydrift_leases::{MemberIndex, Place, Tree, GRANT_TERM, TICK_INTERVAL};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const TOTAL: f32 = 100.0;
const STEP: Duration = Duration::from_millis(25);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The body of a report is the demand of its subtree.
type GroupTree = Tree<f32, ()>;

#[derive(Clone)]
enum Message {
    Up(Report<f32>),
    Down(Lease<()>),
}

struct Process {
    /// `None` while it is dead.
    tree: Option<GroupTree>,
    life: u32,
    /// How far its clock is ahead of the simulation's.
    clock_offset: Duration,
    next_tick: Duration,
    paused: bool,
    demand: f32,
    side: u8,
}

struct Simulation {
    now: Duration,
    rng: Pcg64,
    fan_out: usize,
    processes: Vec<Process>,
    /// Messages in transit, by arrival time and sequence number.
    in_transit: BTreeMap<(Duration, u64), (usize, MemberIndex, Message)>,
    sent_count: u64,
    loss: f64,
    max_delay: u64,
    /// Whether messages from the first side to the second are lost.
    cut: [[bool; 3]; 3],
    /// Pairs of which the first wrongly takes the second for dead.
    false_deaths: BTreeSet<(usize, usize)>,
}

impl Simulation {
    fn new(count: usize, fan_out: usize, seed: u64) -> Simulation {
        let mut rng = Pcg64::seed_from_u64(seed);
        let process = |rng: &mut Pcg64| Process {
            tree: None,
            life: 0,
            clock_offset: ms(rng.random_range(0..90_000_000)),
            next_tick: ms(rng.random_range(0..250)),
            paused: false,
            demand: rng.random_range(0.1..2.0),
            side: 0,
        };
        let processes = (0..count).map(|_| process(&mut rng)).collect();
        let cut = [[false; 3]; 3];
        let mut sim = Simulation {
            now: ms(0),
            rng,
            fan_out,
            processes,
            in_transit: BTreeMap::new(),
            sent_count: 0,
            loss: 0.0,
            max_delay: 20,
            cut,
            false_deaths: BTreeSet::new(),
        };
        (0..count).for_each(|n| sim.start(n));
        sim
    }

    fn start(&mut self, n: usize) {
        let marshals = (0..self.processes.len() as MemberIndex).collect();
        let process = &mut self.processes[n];
        process.life += 1;
        // Lives differ by their number; the clock continues.
        let place = Place {
            me: n as MemberIndex,
            life: process.life,
            group: 9,
            marshals,
            fan_out: self.fan_out,
            resources: 1,
        };
        process.tree = Tree::new(place, self.now + process.clock_offset);
        process.paused = false;
    }

    fn tick(&mut self, n: usize) {
        let (side, cut) = (self.processes[n].side, self.cut);
        let reachable =
            |o: &Process| o.tree.is_some() && !o.paused && !cut[usize::from(o.side)][usize::from(side)];
        let false_deaths = &self.false_deaths;
        let present: Vec<bool> = self
            .processes
            .iter()
            .enumerate()
            .map(|(i, o)| reachable(o) && !false_deaths.contains(&(n, i)))
            .collect();
        let process = &mut self.processes[n];
        let (at, demand) = (self.now + process.clock_offset, process.demand);
        let Some(tree) = &mut process.tree else { return };
        let outcome = tree.tick(at, &|other| present[usize::from(other)]);
        let sum: f32 = demand + tree.child_reports(at).sum::<f32>();
        let mut messages = Vec::new();
        if outcome.parent.is_none() {
            let part = tree.lend_by_votes(at);
            tree.set_lease(vec![part * TOTAL], at + GRANT_TERM, ());
        } else if let Some((to, up)) = tree.report(at, sum) {
            messages.push((to, Message::Up(up)));
        }
        messages.extend(
            tree.lease_out(at, demand, |child_demand| *child_demand)
                .into_iter()
                .map(|(to, down)| (to, Message::Down(down))),
        );
        messages.into_iter().for_each(|(to, message)| self.send(n, to, message));
    }

    fn send(&mut self, from: usize, to: MemberIndex, message: Message) {
        let (a, b) =
            (usize::from(self.processes[from].side), usize::from(self.processes[usize::from(to)].side));
        if self.cut[a][b] || self.rng.random_bool(self.loss) {
            return;
        }
        // Some messages are duplicated.
        for _ in 0..1 + usize::from(self.rng.random_bool(0.02)) {
            self.sent_count += 1;
            let at = self.now + ms(self.rng.random_range(1..=self.max_delay));
            self.in_transit
                .insert((at, self.sent_count), (usize::from(to), from as MemberIndex, message.clone()));
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some(entry) = self.in_transit.first_entry().filter(|e| e.key().0 <= self.now) {
            let (to, from, message) = entry.remove();
            let process = &mut self.processes[to];
            let at = self.now + process.clock_offset;
            // In a real process the messages to a paused marshal wait. Here they are lost; its leases must
            // expire all the same.
            let Some(tree) = process.tree.as_mut().filter(|_| !process.paused) else { continue };
            match message {
                Message::Up(up) => tree.receive_report(at, from, up),
                Message::Down(down) => tree.receive_lease(at, from, down),
            }
        }
        for n in 0..self.processes.len() {
            if self.now >= self.processes[n].next_tick {
                self.processes[n].next_tick += TICK_INTERVAL;
                if !self.processes[n].paused {
                    self.tick(n);
                }
            }
        }
    }

    fn total_used(&self) -> f32 {
        let own = |o: &Process| {
            o.tree.as_ref().filter(|_| !o.paused).map_or(0.0, |n| n.own(self.now + o.clock_offset)[0])
        };
        self.processes.iter().map(own).sum()
    }

    fn run(&mut self, span: Duration, mut check: impl FnMut(&Simulation)) {
        let end = self.now + span;
        while self.now < end {
            self.step();
            let total_used = self.total_used();
            assert!(total_used <= 1.001 * TOTAL, "{:?}: {total_used} of {TOTAL} in use", self.now);
            check(self);
        }
    }

    fn inject_fault(&mut self) {
        let n = self.rng.random_range(0..self.processes.len());
        match self.rng.random_range(0..14) {
            0 => self.processes[n].tree = None,
            1 => self.start(n),
            2 => self.processes[n].paused = true,
            3 => self.processes[n].paused = false,
            4 => self.processes.iter_mut().enumerate().for_each(|(i, o)| o.side = ((i + n) % 3) as u8),
            5 => {
                let (a, b) = (n % 3, (n / 3) % 3);
                // In one direction or in both.
                self.cut[a][b] = a != b;
                self.cut[b][a] = a != b && n % 2 == 0;
            }
            6 => self.cut = [[false; 3]; 3],
            7 => self.false_deaths.clear(),
            8 | 9 => {
                // Some marshals take the leader for dead and report to the next.
                let first = self
                    .processes
                    .iter()
                    .position(|o| o.tree.as_ref().is_some_and(|t| t.parent_number().is_none()));
                let modulus = self.rng.random_range(1..4);
                let some = (0..self.processes.len()).filter(|i| i % modulus == 0).collect::<Vec<_>>();
                first.into_iter().for_each(|f| {
                    self.false_deaths.extend(some.iter().filter(|i| **i != f).map(|i| (*i, f)))
                });
            }
            10 => {
                let other = self.rng.random_range(0..self.processes.len());
                self.false_deaths.insert((n, other));
            }
            11 => self.loss = f64::from(self.rng.random_range(0..4u8)) / 10.0,
            _ => self.max_delay = [20, 200, 1500][n % 3],
        }
        // Pauses or resumes a leader more often than chance would: all messages go through it.
        if self.rng.random_bool(0.2) {
            let first = self
                .processes
                .iter()
                .position(|o| o.tree.as_ref().is_some_and(|t| t.parent_number().is_none()));
            first.into_iter().for_each(|n| self.processes[n].paused = !self.processes[n].paused);
        }
    }
}

#[test]
fn no_mix_of_faults_exceeds_the_total() {
    for seed in 0..200 {
        let (count, fan_out) = [(5, 16), (12, 2), (30, 3), (30, 16)][seed as usize % 4];
        let mut sim = Simulation::new(count, fan_out, seed);
        sim.run(ms(12_000), |_| {});
        for _ in 0..30 {
            sim.inject_fault();
            let span = sim.rng.random_range(100..3000);
            sim.run(ms(span), |_| {});
        }
    }
}

#[test]
fn nearly_all_is_used_without_faults_in_any_fleet_size() {
    for count in [3, 30, 120, 300] {
        let mut sim = Simulation::new(count, 16, 7);
        sim.run(ms(20_000), |_| {});
        let mut least = f32::MAX;
        sim.run(ms(5000), |w| least = least.min(w.total_used()));
        assert!(least >= 0.95 * TOTAL, "{count} marshals: {least}");
    }
}

#[test]
fn a_demand_increase_is_served_within_two_seconds() {
    for count in [3, 30, 300] {
        let mut sim = Simulation::new(count, 16, 8);
        sim.processes.iter_mut().for_each(|o| o.demand = 1.0);
        sim.run(ms(20_000), |_| {});
        // From now on one marshal gets half of all demand.
        sim.processes[2].demand = count as f32 - 1.0;
        sim.run(ms(2000), |_| {});
        let process = &sim.processes[2];
        let own = process.tree.as_ref().unwrap().own(sim.now + process.clock_offset)[0];
        assert!(own >= 0.45 * TOTAL, "{count} marshals: {own}");
    }
}

#[test]
fn each_side_of_a_partition_uses_its_share() {
    let mut sim = Simulation::new(30, 16, 9);
    sim.run(ms(20_000), |_| {});
    sim.processes.iter_mut().take(10).for_each(|o| o.side = 1);
    (sim.cut[0][1], sim.cut[1][0]) = (true, true);
    sim.run(ms(15_000), |_| {});
    let side = |sim: &Simulation, side: u8| -> f32 {
        let own = |o: &Process| o.tree.as_ref().map_or(0.0, |n| n.own(sim.now + o.clock_offset)[0]);
        sim.processes.iter().filter(|o| o.side == side).map(own).sum()
    };
    let (large, small) = (side(&sim, 0), side(&sim, 1));
    assert!((60.0..67.0).contains(&large) && (28.0..34.0).contains(&small), "{large} and {small}");
    sim.cut = [[false; 3]; 3];
    sim.run(ms(20_000), |_| {});
    assert!(sim.total_used() > 0.95 * TOTAL);
}

#[test]
fn a_new_life_uses_nothing_that_the_earlier_may_have_leased() {
    let mut sim = Simulation::new(6, 16, 10);
    sim.run(ms(20_000), |_| {});
    for n in 0..6 {
        sim.start(n);
    }
    // All marshals are new: no vote counts for 7 s.
    let from = sim.now;
    sim.run(ms(6000), |w| assert!(w.total_used() == 0.0, "{:?} after the start", w.now - from));
    sim.run(ms(10_000), |_| {});
    assert!(sim.total_used() > 0.95 * TOTAL);
}
