//! A stand-in node: cores that work one RPC at a time, a bounded queue, a cold start, and falling over.

use std::collections::VecDeque;
use std::time::Duration;

use ivydrift_policy::port::RuleTerms;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Life {
    /// Ordered; it runs from then on.
    Starting(Duration),
    Up,
    /// Drained; gone from then on.
    Leaving(Duration),
    Gone,
}

pub struct Node {
    pub build: u32,
    pub zone: usize,
    pub machine: usize,
    pub speed: f64,
    pub life: Life,
    /// When it last started; none for the day's first nodes, which are warm.
    pub since: Option<Duration>,
    /// Where it listens, once it does.
    pub port: Option<u16>,
    /// It died in a trouble that lasts until then.
    pub back_at: Option<Duration>,
    cores: Vec<Duration>,
    /// Times at which RPCs held now will be done.
    held: VecDeque<Duration>,
    /// Work sent while cold, in seconds.
    work: VecDeque<(Duration, f64)>,
    served: VecDeque<Duration>,
}

impl Node {
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

    pub fn running(&self) -> bool {
        matches!(self.life, Life::Up | Life::Leaving(_))
    }

    /// Work a second when warm, in seconds of a standard core.
    pub fn capacity(&self) -> f64 {
        self.speed * self.cores.len() as f64
    }

    /// What it can do now, against what it can do warm.
    pub fn present(&self, now: Duration, rules: &RuleTerms) -> f64 {
        let Some(since) = self.since else { return 1.0 };
        let grown = now.saturating_sub(since).as_secs_f64() / rules.warm_within.as_secs_f64().max(0.001);
        rules.cold_from + (1.0 - rules.cold_from) * grown.min(1.0)
    }

    /// Starts anew, with nothing of before.
    pub fn start(&mut self, now: Duration) {
        let cores = self.cores.len();
        self.cores = vec![Duration::ZERO; cores];
        (self.life, self.since, self.back_at) = (Life::Up, Some(now), None);
        self.held.clear();
        self.work.clear();
    }

    pub fn queue(&mut self, now: Duration) -> usize {
        self.held.retain(|&done| done > now);
        self.held.len().saturating_sub(self.cores.len())
    }

    pub fn busy(&mut self, now: Duration) -> bool {
        self.held.retain(|&done| done > now);
        self.held.len() >= self.cores.len()
    }

    pub fn in_flight(&self) -> usize {
        self.held.len()
    }

    pub fn rate(&mut self, now: Duration) -> f64 {
        while self.served.front().is_some_and(|&t| t + Duration::from_secs(1) < now) {
            self.served.pop_front();
        }
        self.served.len() as f64
    }

    /// Whether this much work, in seconds, pushes it over.
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

    /// Takes work (in seconds of this node as it is now) onto its earliest core; when it will be done.
    pub fn load(&mut self, now: Duration, work: f64) -> Duration {
        let core = self.cores.iter_mut().min().expect("a node has a core");
        *core = (*core).max(now) + Duration::from_secs_f64(work);
        let done = *core;
        self.held.push_back(done);
        self.served.push_back(now);
        done
    }
}
