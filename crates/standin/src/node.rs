//! A fake node: cores that run one RPC at a time, a queue, slow start, and failure under overload while cold.

use std::collections::VecDeque;
use std::time::Duration;

use ivydrift_policy::port::RuleConfig;

/// The life cycle of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lifecycle {
    /// Ordered; it starts at this time.
    Starting(Duration),
    Running,
    /// Drained; it stops at this time.
    Draining(Duration),
    Terminated,
}

/// A fake node.
pub struct Node {
    pub build: u32,
    pub zone: usize,
    /// Index of its machine type.
    pub machine: usize,
    /// Speed of a core relative to a standard core.
    pub speed: f64,
    pub lifecycle: Lifecycle,
    /// When it last started; `None` for the initial nodes, which are warm.
    pub started_at: Option<Duration>,
    /// Its port, once it listens.
    pub port: Option<u16>,
    /// It crashed in a fault that ends at this time.
    pub restart_at: Option<Duration>,
    /// When each core becomes free.
    cores: Vec<Duration>,
    /// When each RPC in the node will be done.
    done_times: VecDeque<Duration>,
    /// Work received while cold: time, and cost in seconds.
    cold_work: VecDeque<(Duration, f64)>,
    /// Arrival times of the RPCs of the last second.
    arrivals: VecDeque<Duration>,
}

impl Node {
    /// Creates a node that has not started.
    pub fn new(
        build: u32, zone: usize, machine: usize, speed: f64, cores: usize, lifecycle: Lifecycle,
    ) -> Self {
        Node {
            build,
            zone,
            machine,
            speed,
            lifecycle,
            started_at: None,
            port: None,
            restart_at: None,
            cores: vec![Duration::ZERO; cores],
            done_times: VecDeque::new(),
            cold_work: VecDeque::new(),
            arrivals: VecDeque::new(),
        }
    }

    /// Whether the node serves RPCs.
    pub fn is_serving(&self) -> bool {
        matches!(self.lifecycle, Lifecycle::Running | Lifecycle::Draining(_))
    }

    /// Seconds of work on a standard core that it does in a second when warm.
    pub fn capacity(&self) -> f64 {
        self.speed * self.cores.len() as f64
    }

    /// Present capacity as a part of the warm capacity.
    pub fn capacity_factor(&self, now: Duration, rules: &RuleConfig) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let warmed = now.saturating_sub(started_at).as_secs_f64() / rules.warm_up.as_secs_f64().max(0.001);
        rules.cold_start_part + (1.0 - rules.cold_start_part) * warmed.min(1.0)
    }

    /// Starts the node, cold and without RPCs.
    pub fn start(&mut self, now: Duration) {
        let cores = self.cores.len();
        self.cores = vec![Duration::ZERO; cores];
        (self.lifecycle, self.started_at, self.restart_at) = (Lifecycle::Running, Some(now), None);
        self.done_times.clear();
        self.cold_work.clear();
    }

    /// RPCs that wait for a core.
    pub fn queue_length(&mut self, now: Duration) -> usize {
        self.done_times.retain(|&done| done > now);
        self.done_times.len().saturating_sub(self.cores.len())
    }

    /// Whether all cores are busy.
    pub fn is_busy(&mut self, now: Duration) -> bool {
        self.done_times.retain(|&done| done > now);
        self.done_times.len() >= self.cores.len()
    }

    /// RPCs that run or wait, as of the latest call with a time.
    pub fn in_flight(&self) -> usize {
        self.done_times.len()
    }

    /// RPCs accepted in the last second.
    pub fn arrival_rate(&mut self, now: Duration) -> f64 {
        while self.arrivals.front().is_some_and(|&t| t + Duration::from_secs(1) < now) {
            self.arrivals.pop_front();
        }
        self.arrivals.len() as f64
    }

    /// Adds work, in seconds; true if it makes the cold node fail.
    pub fn overloads(&mut self, now: Duration, work: f64, rules: &RuleConfig) -> bool {
        let Some(started_at) = self.started_at.filter(|s| now < *s + rules.warm_up + rules.slow_start_window)
        else {
            return false;
        };
        self.cold_work.push_back((now, work));
        while self.cold_work.front().is_some_and(|w| w.0 + rules.slow_start_window <= now) {
            self.cold_work.pop_front();
        }
        let begin = now.saturating_sub(rules.slow_start_window).max(started_at);
        let mean =
            (self.capacity_factor(begin, rules) + self.capacity_factor(now, rules)) / 2.0 * self.capacity();
        let heaviest = self.cold_work.iter().map(|w| w.1).fold(0.0, f64::max);
        let sum: f64 = self.cold_work.iter().map(|w| w.1).sum();
        sum > rules.slow_start_multiple * mean * rules.slow_start_window.as_secs_f64() + heaviest
    }

    /// Queues work (in seconds at the node's present capacity) on the first free core; returns when it will be
    /// done.
    pub fn enqueue(&mut self, now: Duration, work: f64) -> Duration {
        let core = self.cores.iter_mut().min().expect("a node has a core");
        *core = (*core).max(now) + Duration::from_secs_f64(work);
        let done = *core;
        self.done_times.push_back(done);
        self.arrivals.push_back(now);
        done
    }
}
