//! The core retries the node list subscription until discovery has answered; node events from other sources
//! must not end the retries.

mod listed;

use std::time::Duration;

use ivydrift_marshal::{Core, Input, Order};
use ivydrift_wire::desk::{Course, News, Stage};
use ivydrift_wire::list::Listed;
use listed::node;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn terms() -> ivydrift_terms::Terms {
    ivydrift_terms::read("example.hcl", ivydrift_terms::EXAMPLE).unwrap()
}

struct Bed {
    core: Core,
    now: Duration,
    /// Number of requests for the list.
    calls: usize,
}

impl Bed {
    fn new() -> Self {
        Bed { core: Core::new(terms(), 0), now: ms(86_400_000), calls: 0 }
    }

    fn feed(&mut self, input: Input) {
        let orders = self.core.handle(self.now, input);
        self.calls += orders.iter().filter(|order| matches!(order, Order::FollowMembership)).count();
    }

    fn list(&mut self) {
        let nodes: Vec<Listed> = (9000..9006).map(|port| node(port, 1)).collect();
        self.feed(Input::Membership(&nodes));
    }

    fn hear_desk(&mut self) {
        let stage = Stage { build: 1, stage: 2, course: Course::Released, cap: 1.0, age_ms: 90_000 };
        self.feed(Input::News(&News { index: 1, stage: Some(stage), sums: vec![], disputed: vec![] }));
    }

    /// Number of requests for the list within this time.
    fn calls_within(&mut self, span: Duration) -> usize {
        let (before, until) = (self.calls, self.now + span);
        while self.now < until {
            self.now = self.core.due().max(self.now + Duration::from_micros(50)).min(until);
            self.feed(Input::Tick);
        }
        self.calls - before
    }
}

#[test]
fn new_terms_are_no_answer_of_discovery() {
    let mut bed = Bed::new();
    bed.hear_desk();
    bed.list();
    assert_eq!(bed.calls_within(ms(6000)), 0, "asked again while subscribed");
    bed.feed(Input::MembershipLost);
    bed.core.renew(terms()).unwrap();
    assert!(bed.calls_within(ms(6000)) > 0, "no retry after the list was lost");
    bed.list();
    assert_eq!(bed.calls_within(ms(6000)), 0, "asked again while subscribed");
}

#[test]
fn a_list_told_late_is_no_answer_of_discovery() {
    let mut bed = Bed::new();
    bed.list();
    bed.calls_within(ms(100));
    bed.feed(Input::MembershipLost);
    bed.hear_desk();
    assert!(bed.calls_within(ms(6000)) > 0, "no retry after the list was lost");
}

#[test]
fn an_answer_that_waits_for_the_desk_is_an_answer() {
    let mut bed = Bed::new();
    bed.list();
    assert_eq!(bed.calls_within(ms(1500)), 0, "asked again while subscribed");
    bed.hear_desk();
    assert_eq!(bed.calls_within(ms(6000)), 0, "asked again while subscribed");
}
