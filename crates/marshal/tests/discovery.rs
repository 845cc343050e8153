//! The core retries the node list subscription until discovery has answered; node events from other sources
//! must not end the retries.

mod common;

use std::time::Duration;

use common::node;
use ivydrift_marshal::{Command, Core, Input};
use ivydrift_wire::controller::{RolloutState, RolloutUpdate, Stage};
use ivydrift_wire::list::ListedNode;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn config() -> ivydrift_terms::Config {
    ivydrift_terms::parse("example.hcl", ivydrift_terms::EXAMPLE).unwrap()
}

struct Harness {
    core: Core,
    now: Duration,
    /// Number of requests for the list.
    list_requests: usize,
}

impl Harness {
    fn new() -> Self {
        Harness { core: Core::new(config(), 0), now: ms(86_400_000), list_requests: 0 }
    }

    fn handle(&mut self, input: Input) {
        let commands = self.core.handle(self.now, input);
        self.list_requests +=
            commands.iter().filter(|command| matches!(command, Command::FollowMembership)).count();
    }

    fn set_nodes(&mut self) {
        let nodes: Vec<ListedNode> = (9000..9006).map(|port| node(port, 1)).collect();
        self.handle(Input::NodeList(&nodes));
    }

    fn send_stage(&mut self) {
        let stage = Stage { build: 1, stage: 2, course: RolloutState::Released, cap: 1.0, age_ms: 90_000 };
        self.handle(Input::RolloutUpdate(&RolloutUpdate {
            index: 1,
            stage: Some(stage),
            sums: vec![],
            disputed: vec![],
        }));
    }

    /// Number of requests for the list within this time.
    fn list_requests_within(&mut self, span: Duration) -> usize {
        let (before, until) = (self.list_requests, self.now + span);
        while self.now < until {
            self.now = self.core.next_tick().max(self.now + Duration::from_micros(50)).min(until);
            self.handle(Input::Tick);
        }
        self.list_requests - before
    }
}

#[test]
fn a_config_change_does_not_count_as_a_discovery_answer() {
    let mut harness = Harness::new();
    harness.send_stage();
    harness.set_nodes();
    assert_eq!(harness.list_requests_within(ms(6000)), 0, "asked again while subscribed");
    harness.handle(Input::NodeListLost);
    harness.core.reconfigure(config()).unwrap();
    assert!(harness.list_requests_within(ms(6000)) > 0, "no retry after the list was lost");
    harness.set_nodes();
    assert_eq!(harness.list_requests_within(ms(6000)), 0, "asked again while subscribed");
}

#[test]
fn a_list_that_waited_for_the_rollout_controller_does_not_count_as_a_new_answer() {
    let mut harness = Harness::new();
    harness.set_nodes();
    harness.list_requests_within(ms(100));
    harness.handle(Input::NodeListLost);
    harness.send_stage();
    assert!(harness.list_requests_within(ms(6000)) > 0, "no retry after the list was lost");
}

#[test]
fn an_answer_counts_while_its_nodes_wait_for_the_rollout_controller() {
    let mut harness = Harness::new();
    harness.set_nodes();
    assert_eq!(harness.list_requests_within(ms(1500)), 0, "asked again while subscribed");
    harness.send_stage();
    assert_eq!(harness.list_requests_within(ms(6000)), 0, "asked again while subscribed");
}
