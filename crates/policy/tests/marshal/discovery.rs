//! A fleet of marshals that call one discovery service. The service handles calls one by one and refuses a
//! call that has queued for 2 s, but still spends capacity on it. Guards against a retry storm: retries that
//! are too frequent keep the queue so long that no call is ever answered.

use std::collections::VecDeque;
use std::time::Duration;

use ivydrift_policy::port::*;
use ivydrift_policy::Marshal;

use crate::simulation::{ms, terms, World};

const MARSHALS: usize = 120;
/// Discovery's capacity in calls a second, per marshal.
const TURNS: f64 = 0.2;
/// A call that has queued for this long is refused.
const PATIENCE: Duration = Duration::from_secs(2);
/// Delay between taking a call from the queue and answering it.
const HELD: Duration = Duration::from_millis(400);
/// The simulation's time step.
const STEP: Duration = Duration::from_millis(10);

/// A call in discovery's queue. A refused call stays there and still costs capacity.
struct Call {
    marshal: usize,
    came: Duration,
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
    turns: f64,
    /// Answers under way: when each is due, and its marshal.
    answers: VecDeque<(Duration, usize)>,
    /// Discovery is handling calls.
    up: bool,
}

impl Fleet {
    fn new() -> Self {
        let marshal = |number: usize| {
            let mut terms = terms();
            (terms.ask_discovery, terms.seed) = (true, 1000 + number as u64);
            (terms.marshal, terms.marshals) = (number, MARSHALS);
            let (told_within, told_after_reload) = (ms(6000), ms(4000));
            terms.rules.list_lease = Some(ListLeaseTerms { told_within, told_after_reload });
            Marshal::new(&terms)
        };
        let mut fleet = Fleet {
            now: ms(100_000),
            marshals: (0..MARSHALS).map(marshal).collect(),
            calling: vec![false; MARSHALS],
            watching: vec![false; MARSHALS],
            queue: VecDeque::new(),
            turns: 0.0,
            answers: VecDeque::new(),
            up: true,
        };
        let known = NodeEntry { readiness: Readiness::Ready, power: 1.0, build: 1, ..NodeEntry::default() };
        for marshal in 0..MARSHALS {
            fleet.tell(marshal, Event::Nodes { scope: Scope::Cached, nodes: vec![known] });
        }
        fleet
    }

    /// Hands an event to a marshal and queues the call that it asks for, if any.
    fn tell(&mut self, marshal: usize, event: Event) {
        let actions = self.marshals[marshal].handle(self.now, vec![event]);
        let asks = actions.iter().any(|action| matches!(action, Action::Subscribe(true)));
        if asks && !self.calling[marshal] && !self.watching[marshal] {
            self.calling[marshal] = true;
            self.queue.push_back(Call { marshal, came: self.now, refused: false });
        }
    }

    /// Ends a marshal's call or watch with a failure.
    fn fail(&mut self, marshal: usize) {
        (self.calling[marshal], self.watching[marshal]) = (false, false);
        self.tell(marshal, Event::Nodes { scope: Scope::Failed, nodes: vec![] });
    }

    /// Advances the simulation by one time step.
    fn step(&mut self) {
        self.now += STEP;
        let late: Vec<usize> = self
            .queue
            .iter_mut()
            .filter(|call| !call.refused && call.came + PATIENCE <= self.now)
            .map(|call| {
                call.refused = true;
                call.marshal
            })
            .collect();
        late.into_iter().for_each(|marshal| self.fail(marshal));
        self.turns = (self.turns + TURNS * MARSHALS as f64 * STEP.as_secs_f64()).min(1.0);
        if self.up && self.turns >= 1.0 {
            if let Some(call) = self.queue.pop_front() {
                self.turns -= 1.0;
                if !call.refused {
                    (self.calling[call.marshal], self.watching[call.marshal]) = (false, true);
                    self.answers.push_back((self.now + HELD, call.marshal));
                }
            }
        }
        while self.answers.front().is_some_and(|answer| answer.0 <= self.now) {
            let Some((_, marshal)) = self.answers.pop_front() else { break };
            if self.watching[marshal] {
                self.tell(marshal, Event::Nodes { scope: Scope::Delta, nodes: vec![] });
            }
        }
        (0..MARSHALS).for_each(|marshal| self.tell(marshal, Event::Timer { tag: 0 }));
    }

    /// Runs until every marshal has a watch and returns the seconds that took; `None` after `most`.
    fn until_all_watch(&mut self, most: Duration) -> Option<f64> {
        let begun = self.now;
        while self.now < begun + most {
            self.step();
            if self.watching.iter().all(|watching| *watching) {
                return Some((self.now - begun).as_secs_f64());
            }
        }
        None
    }

    /// Stops discovery and breaks all watches.
    fn go_down(&mut self) {
        self.up = false;
        for marshal in 0..MARSHALS {
            if std::mem::take(&mut self.watching[marshal]) {
                self.fail(marshal);
            }
        }
    }
}

#[test]
fn a_fleet_that_starts_together_is_answered_and_does_not_keep_itself_out() {
    let mut fleet = Fleet::new();
    let took = fleet.until_all_watch(ms(15_000));
    assert!(took.is_some_and(|seconds| seconds < 12.0), "all marshals had a watch after {took:?} s");
}

#[test]
fn after_an_outage_a_fleet_is_answered_and_does_not_keep_itself_out() {
    let mut fleet = Fleet::new();
    fleet.until_all_watch(ms(60_000)).expect("all marshals have a watch before the outage");
    fleet.go_down();
    let back = fleet.now + ms(8000);
    while fleet.now < back {
        fleet.step();
    }
    // A restart of the service loses its queue.
    for call in std::mem::take(&mut fleet.queue) {
        fleet.fail(call.marshal);
    }
    fleet.up = true;
    let took = fleet.until_all_watch(ms(20_000));
    assert!(took.is_some_and(|seconds| seconds < 14.0), "all marshals had a watch after {took:?} s");
}

#[test]
fn discovery_is_asked_again_after_a_failure() {
    let mut t = terms();
    t.ask_discovery = true;
    let mut w = World::new(t, 4);
    w.step(vec![Event::Nodes { scope: Scope::Failed, nodes: vec![] }]);
    w.run(ms(3000), 20);
    let nodes = w.nodes.values().copied().collect();
    w.step(vec![Event::Nodes { scope: Scope::Full, nodes }]);
    let asked = w.subscribed.len();
    assert!(asked >= 1);
    w.run(ms(6000), 20);
    assert_eq!(w.subscribed.len(), asked, "called discovery again though subscribed");
}

/// Marshals that start at the same time and are refused together must retry soon, and not all at the same
/// moment.
#[test]
fn who_is_turned_away_by_discovery_asks_again_soon_and_not_in_step_with_others() {
    let mut thirds = Vec::new();
    for seed in 0..40 {
        let mut t = terms();
        (t.ask_discovery, t.seed) = (true, seed);
        let mut w = World::new(t, 4);
        let (start, refused) = (w.now, || Event::Nodes { scope: Scope::Failed, nodes: vec![] });
        w.step(vec![refused()]);
        while w.now < start + ms(4500) {
            let asked = w.subscribed.len();
            w.run(ms(20), 0);
            if w.subscribed.len() > asked {
                w.step(vec![refused()]);
            }
        }
        assert!(w.subscribed.len() >= 4, "{} calls to discovery in 4.5 s", w.subscribed.len());
        assert!(w.subscribed.len() <= 12, "{} calls to discovery in 4.5 s", w.subscribed.len());
        thirds.push(w.subscribed[2] - start);
    }
    thirds.sort_unstable();
    let together = thirds.iter().map(|a| thirds.iter().filter(|b| **b >= *a && **b <= *a + ms(50)).count());
    // An idle marshal runs its timer ten times a second; without jitter all forty would retry in the same
    // tick.
    assert!(together.max() <= Some(20), "{thirds:?}");
}
