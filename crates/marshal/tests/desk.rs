//! Tests of rollout controller messages that arrive out of order.

mod listed;

use std::time::Duration;

use ivydrift_marshal::{Ballot, Call, Core, Input, Order};
use ivydrift_wire::desk::{Counted, Course, News, Stage, VoteAnswer};
use ivydrift_wire::list::{Listed, State};
use listed::node;

struct Bed {
    core: Core,
    now: Duration,
    next: u64,
}

impl Bed {
    /// Nodes of build 1 at even ports, of build 2 at odd ports.
    fn new() -> Self {
        let terms = ivydrift_terms::read("example.hcl", ivydrift_terms::EXAMPLE).unwrap();
        let mut bed = Bed { core: Core::new(terms, 0), now: Duration::from_secs(86_400), next: 0 };
        bed.list(&(9000..9008).map(|port| node(port, 1 + u32::from(port % 2))).collect::<Vec<_>>());
        bed
    }

    fn list(&mut self, nodes: &[Listed]) -> Vec<Order> {
        self.core.handle(self.now, Input::Membership(nodes))
    }

    fn stage(course: Course, stage: u32, cap: f64, age_ms: u64) -> Stage {
        Stage { build: 2, stage, course, cap, age_ms }
    }

    fn news(&mut self, stage: Stage) {
        let news = News { index: 0, stage: Some(stage), sums: vec![], disputed: vec![] };
        self.core.handle(self.now, Input::News(&news));
    }

    fn answered(&mut self, stage: Stage) {
        let answer = VoteAnswer { counted: Counted::Counts, stage };
        self.core.handle(self.now, Input::Voted(Ballot::Answered(answer)));
    }

    /// How many of 40 RPCs have their first pick at build 2.
    fn exposed(&mut self) -> usize {
        let call = Call {
            method: "calendar-read",
            tenant: None,
            key: None,
            tokened: false,
            left: None,
            repeated: false,
        };
        let mut met = 0;
        for _ in 0..40 {
            self.now += Duration::from_millis(5);
            self.next += 1;
            let orders = self.core.handle(self.now, Input::Rpc { id: self.next, call });
            met += orders
                .iter()
                .filter(|o| matches!(o, Order::Pick { node, .. } if node.port() % 2 == 1))
                .count();
        }
        met
    }
}

#[test]
fn an_answer_to_a_vote_that_was_overtaken_by_the_news_raises_no_cap() {
    let mut bed = Bed::new();
    bed.news(Bed::stage(Course::OnTrial, 2, 1.0, 5000));
    assert!(bed.exposed() > 0, "the build is on trial");
    bed.news(Bed::stage(Course::GoingBack, 2, 0.0, 50));
    // The controller sent this 0.7 s earlier; its age was right then.
    bed.answered(Bed::stage(Course::OnTrial, 2, 1.0, 5100));
    assert_eq!(bed.exposed(), 0, "rule 5: the cap is 0");
    bed.answered(Bed::stage(Course::OnTrial, 2, 1.0, 0));
    assert_eq!(bed.exposed(), 0, "an age that omits the transfer time raised the cap");
}

#[test]
fn a_build_goes_on_by_the_news_and_a_desk_that_was_really_set_back_is_believed() {
    let mut bed = Bed::new();
    bed.news(Bed::stage(Course::GoingBack, 2, 0.0, 50));
    assert_eq!(bed.exposed(), 0);
    bed.now += Duration::from_secs(10);
    bed.news(Bed::stage(Course::OnTrial, 2, 1.0, 3000));
    assert!(bed.exposed() > 0);
}

#[test]
fn idle_connections_of_a_process_that_has_gone_or_been_followed_are_ordered_closed() {
    let mut bed = Bed::new();
    bed.news(Bed::stage(Course::OnTrial, 0, 0.1, 5000));
    let closed = |orders: Vec<Order>| -> Vec<u16> {
        let port = |o| if let Order::CloseIdle { node } = o { Some(node.port()) } else { None };
        orders.into_iter().filter_map(port).collect()
    };
    let mut nodes: Vec<Listed> = (9000..9008).map(|port| node(port, 1 + u32::from(port % 2))).collect();
    assert!(closed(bed.list(&nodes)).is_empty(), "nothing has changed");
    nodes[0].state = State::Draining;
    assert!(closed(bed.list(&nodes)).is_empty(), "a draining node finishes its RPCs");
    nodes[2].build = 2;
    nodes[3].started_ms = Some(86_000_000);
    nodes.remove(7);
    let mut ports = closed(bed.list(&nodes));
    ports.sort_unstable();
    assert_eq!(ports, [9002, 9003, 9007]);
    assert!(closed(bed.list(&nodes)).is_empty());
}
