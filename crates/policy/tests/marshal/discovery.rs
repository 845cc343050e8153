//! A fleet of marshals that call one discovery service. The service handles calls one by one and refuses a
//! call that has queued for 2 s, but still spends capacity on it. Guards against a retry storm: retries that
//! are too frequent keep the queue so long that no call is ever answered.

use std::collections::VecDeque;
use std::time::Duration;

use ivydrift_policy::port::*;
use ivydrift_policy::Marshal;

use crate::simulation::{base_config, ms, Simulation};

const MARSHALS: usize = 120;
/// Discovery's capacity in calls a second, per marshal.
const CALLS_PER_MARSHAL_PER_S: f64 = 0.2;
/// A call that has queued for this long is refused.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between taking a call from the queue and answering it.
const ANSWER_DELAY: Duration = Duration::from_millis(400);
/// The simulation's time step.
const TIME_STEP: Duration = Duration::from_millis(10);

/// A call in discovery's queue. A refused call stays there and still costs capacity.
struct Call {
    marshal: usize,
    arrived_at: Duration,
    refused: bool,
}

/// The simulated discovery service and the marshals that call it.
struct Fleet {
    now: Duration,
    marshals: Vec<Marshal>,
    /// By marshal: a call is outstanding.
    calling: Vec<bool>,
    /// By marshal: it has a watch.
    watching: Vec<bool>,
    queue: VecDeque<Call>,
    /// Unused capacity, in calls; at most one.
    spare_calls: f64,
    /// Answers under way: when each is due, and its marshal.
    answers: VecDeque<(Duration, usize)>,
    /// Discovery is handling calls.
    available: bool,
}

impl Fleet {
    fn new() -> Self {
        let marshal = |number: usize| {
            let mut config = base_config();
            (config.polls_discovery, config.seed) = (true, 1000 + number as u64);
            (config.marshal, config.marshals) = (number, MARSHALS);
            let (delivered_within, delivered_after_reload) = (ms(6000), ms(4000));
            config.rules.list_lease = Some(ListLeaseConfig { delivered_within, delivered_after_reload });
            Marshal::new(&config)
        };
        let mut fleet = Fleet {
            now: ms(100_000),
            marshals: (0..MARSHALS).map(marshal).collect(),
            calling: vec![false; MARSHALS],
            watching: vec![false; MARSHALS],
            queue: VecDeque::new(),
            spare_calls: 0.0,
            answers: VecDeque::new(),
            available: true,
        };
        let known = NodeEntry { readiness: Readiness::Ready, power: 1.0, build: 1, ..NodeEntry::default() };
        for marshal in 0..MARSHALS {
            fleet.deliver(marshal, Event::Nodes { update: ListUpdate::Cached, nodes: vec![known] });
        }
        fleet
    }

    /// Hands an event to a marshal and queues the call that it asks for, if any.
    fn deliver(&mut self, marshal: usize, event: Event) {
        let actions = self.marshals[marshal].handle(self.now, vec![event]);
        let asks = actions.iter().any(|action| matches!(action, Action::Subscribe(true)));
        if asks && !self.calling[marshal] && !self.watching[marshal] {
            self.calling[marshal] = true;
            self.queue.push_back(Call { marshal, arrived_at: self.now, refused: false });
        }
    }

    /// Ends a marshal's call or watch with a failure.
    fn fail_call(&mut self, marshal: usize) {
        (self.calling[marshal], self.watching[marshal]) = (false, false);
        self.deliver(marshal, Event::Nodes { update: ListUpdate::Failed, nodes: vec![] });
    }

    /// Advances the simulation by one time step.
    fn step(&mut self) {
        self.now += TIME_STEP;
        let timed_out: Vec<usize> = self
            .queue
            .iter_mut()
            .filter(|call| !call.refused && call.arrived_at + QUEUE_TIMEOUT <= self.now)
            .map(|call| {
                call.refused = true;
                call.marshal
            })
            .collect();
        timed_out.into_iter().for_each(|marshal| self.fail_call(marshal));
        self.spare_calls =
            (self.spare_calls + CALLS_PER_MARSHAL_PER_S * MARSHALS as f64 * TIME_STEP.as_secs_f64()).min(1.0);
        if self.available && self.spare_calls >= 1.0 {
            if let Some(call) = self.queue.pop_front() {
                self.spare_calls -= 1.0;
                if !call.refused {
                    (self.calling[call.marshal], self.watching[call.marshal]) = (false, true);
                    self.answers.push_back((self.now + ANSWER_DELAY, call.marshal));
                }
            }
        }
        while self.answers.front().is_some_and(|answer| answer.0 <= self.now) {
            let Some((_, marshal)) = self.answers.pop_front() else { break };
            if self.watching[marshal] {
                self.deliver(marshal, Event::Nodes { update: ListUpdate::Delta, nodes: vec![] });
            }
        }
        (0..MARSHALS).for_each(|marshal| self.deliver(marshal, Event::Timer { tag: 0 }));
    }

    /// Runs until every marshal has a watch and returns the seconds that took; `None` after `limit`.
    fn until_all_watch(&mut self, limit: Duration) -> Option<f64> {
        let start = self.now;
        while self.now < start + limit {
            self.step();
            if self.watching.iter().all(|watching| *watching) {
                return Some((self.now - start).as_secs_f64());
            }
        }
        None
    }

    /// Stops discovery and breaks all watches.
    fn go_down(&mut self) {
        self.available = false;
        for marshal in 0..MARSHALS {
            if std::mem::take(&mut self.watching[marshal]) {
                self.fail_call(marshal);
            }
        }
    }
}

#[test]
fn simultaneous_start_causes_no_retry_storm() {
    let mut fleet = Fleet::new();
    let took = fleet.until_all_watch(ms(15_000));
    assert!(took.is_some_and(|seconds| seconds < 12.0), "all marshals had a watch after {took:?} s");
}

#[test]
fn recovery_from_an_outage_causes_no_retry_storm() {
    let mut fleet = Fleet::new();
    fleet.until_all_watch(ms(60_000)).expect("all marshals have a watch before the outage");
    fleet.go_down();
    let outage_end = fleet.now + ms(8000);
    while fleet.now < outage_end {
        fleet.step();
    }
    // A restart of the service loses its queue.
    for call in std::mem::take(&mut fleet.queue) {
        fleet.fail_call(call.marshal);
    }
    fleet.available = true;
    let took = fleet.until_all_watch(ms(20_000));
    assert!(took.is_some_and(|seconds| seconds < 14.0), "all marshals had a watch after {took:?} s");
}

#[test]
fn subscription_is_retried_after_a_failure() {
    let mut config = base_config();
    config.polls_discovery = true;
    let mut sim = Simulation::new(config, 4);
    sim.deliver(vec![Event::Nodes { update: ListUpdate::Failed, nodes: vec![] }]);
    sim.run(ms(3000), 20);
    let nodes = sim.nodes.values().copied().collect();
    sim.deliver(vec![Event::Nodes { update: ListUpdate::Full, nodes }]);
    let calls = sim.subscribe_times.len();
    assert!(calls >= 1);
    sim.run(ms(6000), 20);
    assert_eq!(sim.subscribe_times.len(), calls, "called discovery again though subscribed");
}

/// Marshals that start at the same time and are refused together must retry soon, and not all at the same
/// moment.
#[test]
fn refused_subscriptions_are_retried_soon_with_jitter() {
    let mut third_calls = Vec::new();
    for seed in 0..40 {
        let mut config = base_config();
        (config.polls_discovery, config.seed) = (true, seed);
        let mut sim = Simulation::new(config, 4);
        let (start, refused) = (sim.now, || Event::Nodes { update: ListUpdate::Failed, nodes: vec![] });
        sim.deliver(vec![refused()]);
        while sim.now < start + ms(4500) {
            let calls = sim.subscribe_times.len();
            sim.run(ms(20), 0);
            if sim.subscribe_times.len() > calls {
                sim.deliver(vec![refused()]);
            }
        }
        assert!(sim.subscribe_times.len() >= 4, "{} calls to discovery in 4.5 s", sim.subscribe_times.len());
        assert!(sim.subscribe_times.len() <= 12, "{} calls to discovery in 4.5 s", sim.subscribe_times.len());
        third_calls.push(sim.subscribe_times[2] - start);
    }
    third_calls.sort_unstable();
    let within_50_ms =
        third_calls.iter().map(|a| third_calls.iter().filter(|b| **b >= *a && **b <= *a + ms(50)).count());
    // An idle marshal runs its timer ten times a second; without jitter all forty would retry in the same
    // tick.
    assert!(within_50_ms.max() <= Some(20), "{third_calls:?}");
}
