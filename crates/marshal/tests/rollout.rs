//! Tests of rollout controller messages that arrive out of order.

mod common;

use std::time::Duration;

use common::node;
use ivydrift_marshal::{Ballot, Call, Command, Core, Input};
use ivydrift_wire::controller::{Counted, RolloutState, RolloutUpdate, Stage, VoteAnswer};
use ivydrift_wire::list::{ListedNode, State};

struct Harness {
    core: Core,
    now: Duration,
    next: u64,
}

impl Harness {
    /// Nodes of build 1 at even ports, of build 2 at odd ports.
    fn new() -> Self {
        let config = ivydrift_terms::parse("example.hcl", ivydrift_terms::EXAMPLE).unwrap();
        let mut harness = Harness { core: Core::new(config, 0), now: Duration::from_secs(86_400), next: 0 };
        harness.set_nodes(&(9000..9008).map(|port| node(port, 1 + u32::from(port % 2))).collect::<Vec<_>>());
        harness
    }

    fn set_nodes(&mut self, nodes: &[ListedNode]) -> Vec<Command> {
        self.core.handle(self.now, Input::NodeList(nodes))
    }

    fn stage(course: RolloutState, stage: u32, cap: f64, age_ms: u64) -> Stage {
        Stage { build: 2, stage, course, cap, age_ms }
    }

    fn update(&mut self, stage: Stage) {
        let rollout_update = RolloutUpdate { index: 0, stage: Some(stage), sums: vec![], disputed: vec![] };
        self.core.handle(self.now, Input::RolloutUpdate(&rollout_update));
    }

    fn vote_answer(&mut self, stage: Stage) {
        let answer = VoteAnswer { counted: Counted::Counts, stage };
        self.core.handle(self.now, Input::VoteAnswered(Ballot::Answered(answer)));
    }

    /// How many of 40 RPCs have their first pick at build 2.
    fn picks_at_build_2(&mut self) -> usize {
        let call = Call {
            method: "calendar-read",
            tenant: None,
            key: None,
            has_idempotency_key: false,
            time_left: None,
            is_retry: false,
        };
        let mut picks = 0;
        for _ in 0..40 {
            self.now += Duration::from_millis(5);
            self.next += 1;
            let commands = self.core.handle(self.now, Input::Rpc { id: self.next, call });
            picks += commands
                .iter()
                .filter(|o| matches!(o, Command::Pick { node, .. } if node.port() % 2 == 1))
                .count();
        }
        picks
    }
}

#[test]
fn a_vote_answer_overtaken_by_an_update_raises_no_cap() {
    let mut harness = Harness::new();
    harness.update(Harness::stage(RolloutState::OnTrial, 2, 1.0, 5000));
    assert!(harness.picks_at_build_2() > 0, "the build is on trial");
    harness.update(Harness::stage(RolloutState::GoingBack, 2, 0.0, 50));
    // The controller sent this 0.7 s earlier; its age was right then.
    harness.vote_answer(Harness::stage(RolloutState::OnTrial, 2, 1.0, 5100));
    assert_eq!(harness.picks_at_build_2(), 0, "rule 5: the cap is 0");
    harness.vote_answer(Harness::stage(RolloutState::OnTrial, 2, 1.0, 0));
    assert_eq!(harness.picks_at_build_2(), 0, "an age that omits the transfer time raised the cap");
}

#[test]
fn a_status_from_a_controller_that_was_really_reset_is_accepted() {
    let mut harness = Harness::new();
    harness.update(Harness::stage(RolloutState::GoingBack, 2, 0.0, 50));
    assert_eq!(harness.picks_at_build_2(), 0);
    harness.now += Duration::from_secs(10);
    harness.update(Harness::stage(RolloutState::OnTrial, 2, 1.0, 3000));
    assert!(harness.picks_at_build_2() > 0);
}

#[test]
fn idle_connections_of_a_removed_or_replaced_process_are_closed() {
    let mut harness = Harness::new();
    harness.update(Harness::stage(RolloutState::OnTrial, 0, 0.1, 5000));
    let closed_ports = |commands: Vec<Command>| -> Vec<u16> {
        let port = |o| if let Command::CloseIdle { node } = o { Some(node.port()) } else { None };
        commands.into_iter().filter_map(port).collect()
    };
    let mut nodes: Vec<ListedNode> = (9000..9008).map(|port| node(port, 1 + u32::from(port % 2))).collect();
    assert!(closed_ports(harness.set_nodes(&nodes)).is_empty(), "nothing has changed");
    nodes[0].state = State::Draining;
    assert!(closed_ports(harness.set_nodes(&nodes)).is_empty(), "a draining node finishes its RPCs");
    nodes[2].build = 2;
    nodes[3].started_ms = Some(86_000_000);
    nodes.remove(7);
    let mut ports = closed_ports(harness.set_nodes(&nodes));
    ports.sort_unstable();
    assert_eq!(ports, [9002, 9003, 9007]);
    assert!(closed_ports(harness.set_nodes(&nodes)).is_empty());
}
