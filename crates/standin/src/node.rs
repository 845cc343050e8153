//! A fake node: cores that run one RPC at a time, a queue, slow start, and failure under overload while cold.

use std::collections::VecDeque;
use std::time::Duration;

use ivydrift_policy::port::RuleTerms;

/// The life cycle of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Life {
    /// Ordered; it starts at this time.
    Starting(Duration),
    Up,
    /// Drained; it stops at this time.
    Leaving(Duration),
    Gone,
}

/// A fake node.
pub struct Node {
    pub build: u32,
    pub zone: usize,
    /// Index of its machine type.
    pub machine: usize,
    /// Speed of a core relative to a standard core.
    pub speed: f64,
    pub life: Life,
    /// When it last started; `None` for the initial nodes, which are warm.
    pub since: Option<Duration>,
    /// Its port, once it listens.
    pub port: Option<u16>,
    /// It crashed in a fault that ends at this time.
    pub back_at: Option<Duration>,
    /// When each core becomes free.
    cores: Vec<Duration>,
    /// When each RPC in the node will be done.
    held: VecDeque<Duration>,
    /// Work received while cold: time, and cost in seconds.
    work: VecDeque<(Duration, f64)>,
    /// Arrival times of the RPCs of the last second.
    served: VecDeque<Duration>,
}

impl Node {
    /// Creates a node that has not started.
    pub fn new(build: u32, zone: usize, machine: usize, speed: f64, cores: usize, life: Life) -> Self {
        Node {
            build,
            zone,
            machine,
            speed,
            life,
            since: None,
            port: None,
            back_at: None,
            cores: vec![Duration::ZERO; cores],
            held: VecDeque::new(),
            work: VecDeque::new(),
            served: VecDeque::new(),
        }
    }

    /// Whether the node serves RPCs.
    pub fn running(&self) -> bool {
        matches!(self.life, Life::Up | Life::Leaving(_))
    }

    /// Seconds of work on a standard core that it does in a second when warm.
    pub fn capacity(&self) -> f64 {
        self.speed * self.cores.len() as f64
    }

    /// Present capacity as a part of the warm capacity.
    pub fn present(&self, now: Duration, rules: &RuleTerms) -> f64 {
        let Some(since) = self.since else { return 1.0 };
        let grown = now.saturating_sub(since).as_secs_f64() / rules.warm_within.as_secs_f64().max(0.001);
        rules.cold_from + (1.0 - rules.cold_from) * grown.min(1.0)
    }

    /// Starts the node, cold and without RPCs.
    pub fn start(&mut self, now: Duration) {
        let cores = self.cores.len();
        self.cores = vec![Duration::ZERO; cores];
        (self.life, self.since, self.back_at) = (Life::Up, Some(now), None);
        self.held.clear();
        self.work.clear();
    }

    /// RPCs that wait for a core.
    pub fn queue(&mut self, now: Duration) -> usize {
        self.held.retain(|&done| done > now);
        self.held.len().saturating_sub(self.cores.len())
    }

    /// Whether all cores are busy.
    pub fn busy(&mut self, now: Duration) -> bool {
        self.held.retain(|&done| done > now);
        self.held.len() >= self.cores.len()
    }

    /// RPCs that run or wait, as of the latest call with a time.
    pub fn in_flight(&self) -> usize {
        self.held.len()
    }

    /// RPCs accepted in the last second.
    pub fn rate(&mut self, now: Duration) -> f64 {
        while self.served.front().is_some_and(|&t| t + Duration::from_secs(1) < now) {
            self.served.pop_front();
        }
        self.served.len() as f64
    }

    /// Adds work, in seconds; true if it makes the cold node fail.
    pub fn topples(&mut self, now: Duration, work: f64, rules: &RuleTerms) -> bool {
        let Some(since) = self.since.filter(|s| now < *s + rules.warm_within + rules.fall_window) else {
            return false;
        };
        self.work.push_back((now, work));
        while self.work.front().is_some_and(|w| w.0 + rules.fall_window <= now) {
            self.work.pop_front();
        }
        let begin = now.saturating_sub(rules.fall_window).max(since);
        let mean = (self.present(begin, rules) + self.present(now, rules)) / 2.0 * self.capacity();
        let heaviest = self.work.iter().map(|w| w.1).fold(0.0, f64::max);
        let sum: f64 = self.work.iter().map(|w| w.1).sum();
        sum > rules.fall_multiple * mean * rules.fall_window.as_secs_f64() + heaviest
    }

    /// Queues work (in seconds at the node's present capacity) on the first free core; returns when it will be
    /// done.
    pub fn load(&mut self, now: Duration, work: f64) -> Duration {
        let core = self.cores.iter_mut().min().expect("a node has a core");
        *core = (*core).max(now) + Duration::from_secs_f64(work);
        let done = *core;
        self.held.push_back(done);
        self.served.push_back(now);
        done
    }
}
