//! Large node lists: each marshal's policy knows a subset, and the rules also hold for nodes that enter and
//! leave it.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use common::node;
use ivydrift_marshal::{Call, Command, Core, Id, Input, Observation};
use ivydrift_wire::controller::{RolloutState, RolloutUpdate, Stage, Verdict};
use ivydrift_wire::list::ListedNode;
use ivydrift_wire::orca::Metrics;

const NONE: Metrics =
    Metrics { cpu_utilization: None, rps: None, eps: None, queue: None, in_flight: None, latency_ms: None };
const OK: Observation = Observation::Answer { status: 200, never_ran: false, load: NONE };
const DAY_MS: u64 = 86_400_000;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

struct Harness {
    core: Core,
    now: Duration,
    next: Id,
    picks: Vec<(SocketAddr, Id, usize)>,
    /// When it first voted to promote.
    first_promote_vote: Option<Duration>,
}

impl Harness {
    fn new(number: usize, of: usize, settings: &str) -> Self {
        let who = format!("number = {number}\n  of = {of}");
        let text = ivydrift_terms::EXAMPLE.replace("number = 0\n  of = 1", &who) + settings;
        let config = ivydrift_terms::parse("subset.hcl", &text).unwrap_or_else(|e| panic!("{e}"));
        let mut harness = Harness {
            core: Core::new(config, 0),
            now: ms(DAY_MS),
            next: 1,
            picks: vec![],
            first_promote_vote: None,
        };
        harness.stage(1, RolloutState::Released, 2, 1.0);
        harness
    }
    fn handle(&mut self, input: Input) -> Vec<Command> {
        let commands = self.core.handle(self.now, input);
        for command in &commands {
            if let Command::Pick { id, pick, node, .. } = command {
                self.picks.push((*node, *id, *pick));
            }
            if matches!(command, Command::Vote(vote) if vote.verdict == Verdict::On) {
                self.first_promote_vote = self.first_promote_vote.or(Some(self.now));
            }
        }
        commands
    }
    fn stage(&mut self, build: u32, course: RolloutState, stage: u32, cap: f64) {
        let stage = Stage { build, stage, course, cap, age_ms: 100 };
        self.handle(Input::RolloutUpdate(&RolloutUpdate {
            index: 1,
            stage: Some(stage),
            sums: vec![],
            disputed: vec![],
        }));
    }
    fn rpc(&mut self) -> Vec<Command> {
        self.next += 1;
        let left = Some(ms(2000));
        let call = Call {
            method: "calendar-read",
            tenant: None,
            key: None,
            has_idempotency_key: false,
            time_left: left,
            is_retry: false,
        };
        self.handle(Input::Rpc { id: self.next, call })
    }
    /// Sends `count` RPCs, one every `gap_ms` ms, each answered at once; returns the number of picks by port.
    fn send_rpcs(&mut self, count: usize, gap_ms: u64) -> BTreeMap<u16, usize> {
        let mut picks_by_port = BTreeMap::new();
        for _ in 0..count {
            self.advance(gap_ms);
            self.rpc();
            for (node, id, pick) in std::mem::take(&mut self.picks) {
                *picks_by_port.entry(node.port()).or_default() += 1;
                self.handle(Input::PickEnded { id, pick, observation: OK });
            }
        }
        picks_by_port
    }
    fn advance(&mut self, span: u64) {
        let until = self.now + ms(span);
        while self.now < until {
            self.now = self.core.next_tick().max(self.now + ms(1)).min(until);
            self.handle(Input::Tick);
        }
    }
    fn held(&self) -> BTreeSet<u16> {
        self.core.known_nodes().iter().map(SocketAddr::port).collect()
    }
}

fn nodes(ports: std::ops::Range<u16>, build: u32) -> Vec<ListedNode> {
    ports.map(|port| node(port, build)).collect()
}

const SMALL_SUBSET: &str = "\nsubset {\n  least = 8\n}\n";

/// One of fifty marshals that held all of a short list and lost a node of it when the list grew beyond the
/// subset; returns the marshal and that node's port.
fn harness_that_lost_a_node() -> (Harness, u16) {
    let mut harness = Harness::new(3, 50, SMALL_SUBSET);
    harness.handle(Input::NodeList(&nodes(9000..9008, 1)));
    assert_eq!(harness.held(), (9000..9008).collect());
    harness.send_rpcs(40, 10);
    harness.handle(Input::NodeList(&nodes(9000..9200, 1)));
    let held = harness.held();
    assert!((6..60).contains(&held.len()), "{} of 200 held", held.len());
    let left = (9000..9008).find(|port| !held.contains(port)).expect("one node has left the subset");
    (harness, left)
}

#[test]
fn of_a_large_list_only_a_subset_is_held_and_gets_rpcs() {
    let (mut harness, _) = harness_that_lost_a_node();
    let held = harness.held();
    let picks_by_port = harness.send_rpcs(400, 5);
    assert!(picks_by_port.keys().all(|port| held.contains(port)), "{picks_by_port:?} outside of {held:?}");
    // Most of them get RPCs, and a marshal with the same number that starts anew holds the same nodes.
    assert!(picks_by_port.len() > held.len() / 2, "{} of {} met", picks_by_port.len(), held.len());
    let mut other = Harness::new(3, 50, SMALL_SUBSET);
    let commands = other.handle(Input::NodeList(&nodes(9000..9200, 1)));
    assert_eq!(other.held(), held);
    let line = format!("holds {} of 200 listed nodes", held.len());
    assert!(commands.contains(&Command::Log(line)), "{commands:?}");
}

#[test]
fn a_node_that_left_outside_the_subset_and_returns_with_another_build_is_known_by_that_build() {
    let (mut harness, port) = harness_that_lost_a_node();
    let without: Vec<ListedNode> = nodes(9000..9200, 1).into_iter().filter(|n| n.port != port).collect();
    harness.handle(Input::NodeList(&without));
    harness.advance(1000);
    // The only node of its build: every marshal holds it, limited as on trial although no rollout was
    // announced.
    harness.handle(Input::NodeList(&[&without[..], &[node(port, 2)]].concat()));
    assert!(harness.held().contains(&port));
    let picks_by_port = harness.send_rpcs(600, 10);
    let to = picks_by_port.get(&port).copied().unwrap_or(0);
    // One of 200 nodes: 1.1 times its share is three RPCs, even though it is one of about two dozen that this
    // marshal holds.
    assert!((1..=4).contains(&to), "{to} of 600 went to the unannounced build");
    harness.advance(4000);
    let mut builds = BTreeSet::new();
    for _ in 0..400 {
        harness.advance(10);
        harness.rpc();
        for (node, id, pick) in std::mem::take(&mut harness.picks) {
            for command in harness.handle(Input::PickEnded { id, pick, observation: OK }) {
                if let Command::Pass { build, .. } = command {
                    builds.insert((node.port() == port, build));
                }
            }
        }
    }
    assert_eq!(builds, BTreeSet::from([(false, 1), (true, 2)]));
}

#[test]
fn picks_in_flight_at_a_node_that_leaves_the_subset_end_normally() {
    let mut harness = Harness::new(3, 50, SMALL_SUBSET);
    harness.handle(Input::NodeList(&nodes(9000..9008, 1)));
    (0..40).for_each(|_| drop(harness.rpc()));
    let out = std::mem::take(&mut harness.picks);
    let commands = harness.handle(Input::NodeList(&nodes(9000..9200, 1)));
    let held = harness.held();
    let picks_outside: Vec<_> = out.iter().filter(|o| !held.contains(&o.0.port())).copied().collect();
    assert!(!picks_outside.is_empty(), "a node with a pick has left the subset");
    // Only idle connections are closed.
    assert!(commands.iter().all(|o| !matches!(o, Command::Sever { .. } | Command::Abort { .. })));
    assert!(picks_outside.iter().all(|o| commands.contains(&Command::CloseIdle { node: o.0 })));
    for (i, (node, id, pick)) in out.into_iter().enumerate() {
        let observation = if i % 4 == 3 { Observation::Broken } else { OK };
        let commands = harness.handle(Input::PickEnded { id, pick, observation });
        let again = std::mem::take(&mut harness.picks);
        match observation {
            OK => {
                assert!(
                    commands.iter().any(|o| matches!(o, Command::Pass { id: i, .. } if *i == id)),
                    "{node}"
                )
            }
            // Sent again, but only to nodes in the subset.
            _ => again.iter().for_each(|(node, id, pick)| {
                assert!(held.contains(&node.port()), "{node} is no longer in the subset");
                harness.core.handle(harness.now, Input::PickEnded { id: *id, pick: *pick, observation: OK });
            }),
        }
    }
    harness.advance(3000);
    assert_eq!((harness.core.counts().held, harness.core.counts().overdue), (0, 0));
}

#[test]
fn a_cold_node_that_enters_the_subset_is_delayed_by_one_window() {
    let mut harness = Harness::new(3, 50, SMALL_SUBSET);
    harness.handle(Input::NodeList(&nodes(9000..9007, 1)));
    harness.send_rpcs(1000, 2);
    let cold =
        |port: u16, at: Duration| ListedNode { started_ms: Some(at.as_millis() as u64), ..node(port, 1) };
    let start = harness.now;
    // The cold node starts among many others, and this marshal does not hold it.
    let long_list = nodes(9000..9300, 1);
    let port = (9300..9400)
        .find(|port| {
            harness.handle(Input::NodeList(&[&long_list[..], &[cold(*port, start)]].concat()));
            !harness.held().contains(port)
        })
        .unwrap();
    // Then few nodes are left and the marshal holds all of them: the budget counts as used up by what other
    // marshals may have sent.
    let short_list = [&nodes(9000..9007, 1)[..], &[cold(port, start)]].concat();
    harness.advance(100);
    harness.handle(Input::NodeList(&short_list));
    let first = harness.send_rpcs(240, 4);
    assert_eq!(first.get(&port), None, "sent to within its first window");
    harness.advance(100);
    assert!(harness.held().contains(&port));
    let then = harness.send_rpcs(240, 4);
    assert!(then.get(&port).is_some_and(|n| *n > 0), "never sent to: {then:?}");
    // A node that is new in the list has no earlier picks anywhere and may be sent to at once.
    let now = harness.now;
    harness.handle(Input::NodeList(&[&short_list[..7], &[cold(9500, now)]].concat()));
    assert!(harness.held().contains(&9500));
}

#[test]
fn both_arms_are_in_every_subset_and_a_tenth_on_trial_gets_its_share() {
    let trial = |port: u16| if port < 9040 { 2 } else { 1 };
    let listed: Vec<ListedNode> = (9000..9400).map(|port| node(port, trial(port))).collect();
    let (mut new, mut all) = (0, 0);
    let mut picks_by_port: BTreeMap<u16, usize> = BTreeMap::new();
    for number in 0..100 {
        let mut harness = Harness::new(number, 100, "\nsubset {\n  least = 24\n}\n");
        harness.stage(2, RolloutState::OnTrial, 0, 0.14);
        harness.handle(Input::NodeList(&listed));
        let held = harness.held();
        let on_trial = held.iter().filter(|port| trial(**port) == 2).count();
        assert!(
            on_trial >= 2 && held.len() - on_trial >= 10,
            "marshal {number}: {on_trial} of {}",
            held.len()
        );
        // The first RPCs may use up the whole free budget; after that the share decides.
        harness.send_rpcs(100, 10);
        for (port, n) in harness.send_rpcs(300, 10) {
            all += n;
            new += if trial(port) == 2 { n } else { 0 };
            *picks_by_port.entry(port).or_default() += n;
        }
    }
    // A tenth of the RPCs is due, and at most 1.1 times that, although more than a tenth of each marshal's
    // subset is on trial.
    let part = new as f64 / all as f64;
    assert!((0.05..=0.112).contains(&part), "{part:.3} of all went to a tenth of the nodes");
    let worst = |build| {
        (9000..9400).filter(|p| trial(*p) == build).map(|p| picks_by_port.get(&p).copied().unwrap_or(0)).max()
    };
    let mean = all as f64 / 400.0;
    let (new, old) = (worst(2).unwrap() as f64 / mean, worst(1).unwrap() as f64 / mean);
    assert!(new < 2.0 && old < 2.0, "the worst nodes got {new:.2} and {old:.2} of the mean");
}

/// Marshals that exchange datagrams with those on the same side of a network partition. Dead ones (`None`)
/// neither tick nor receive.
struct Fleet {
    harnesses: Vec<Harness>,
    sides: Vec<Option<usize>>,
}

impl Fleet {
    fn new(count: usize, listed: &[ListedNode]) -> Self {
        let peers: Vec<String> = (0..count).map(|n| format!("\"127.0.0.1:{}\"", 7200 + n)).collect();
        let peers = format!("release_desk = \"127.0.0.1:7002\"\n  peers = [{}]", peers.join(", "));
        let harness = |number| {
            let who = format!("number = {number}\n  of = {count}");
            let text = ivydrift_terms::EXAMPLE.replace("number = 0\n  of = 1", &who);
            let text = text.replace("release_desk = \"127.0.0.1:7002\"", &peers) + SMALL_SUBSET;
            let config = ivydrift_terms::parse("subset.hcl", &text).unwrap_or_else(|e| panic!("{e}"));
            let mut harness = Harness {
                core: Core::new(config, 0),
                now: ms(DAY_MS),
                next: 1,
                picks: vec![],
                first_promote_vote: None,
            };
            harness.stage(1, RolloutState::Released, 2, 1.0);
            harness.handle(Input::NodeList(listed));
            harness
        };
        Fleet { harnesses: (0..count).map(harness).collect(), sides: vec![Some(0); count] }
    }
    fn run(&mut self, span: u64) {
        for _ in 0..span / 20 {
            let mut mailbox = Vec::new();
            for from in (0..self.harnesses.len()).filter(|n| self.sides[*n].is_some()) {
                self.harnesses[from].now += ms(20);
                if self.harnesses[from].core.next_tick() > self.harnesses[from].now {
                    continue;
                }
                mailbox.extend(self.harnesses[from].handle(Input::Tick).into_iter().map(|o| (from, o)));
            }
            while let Some((from, command)) = mailbox.pop() {
                let Command::Tell { to, datagram } = command else { continue };
                if self.sides[from] == self.sides[to] {
                    mailbox.extend(
                        self.harnesses[to]
                            .handle(Input::PeerDatagram(&datagram))
                            .into_iter()
                            .map(|o| (to, o)),
                    );
                }
            }
        }
    }
    /// Number of marshals of one side that hold each node.
    fn holders(&self, side: usize) -> BTreeMap<u16, usize> {
        let mut count = BTreeMap::new();
        for harness in
            self.harnesses.iter().zip(&self.sides).filter(|(_, s)| **s == Some(side)).map(|(b, _)| b)
        {
            harness.held().into_iter().for_each(|port| *count.entry(port).or_default() += 1);
        }
        count
    }
}

#[test]
fn the_last_marshal_alive_holds_all_nodes() {
    let listed = nodes(9000..9060, 1);
    let mut fleet = Fleet::new(12, &listed);
    fleet.run(20_000);
    let before = fleet.holders(0);
    assert!(before.len() == 60 && before.values().all(|n| *n == 6), "{before:?}");
    let subset_before = fleet.harnesses[5].held();
    assert!(subset_before.len() < 50, "{} held with all alive", subset_before.len());
    (0..12).filter(|n| *n != 5).for_each(|n| fleet.sides[n] = None);
    // A restart moves no nodes: marshals count as dead only after half a minute.
    fleet.run(15_000);
    assert_eq!(fleet.harnesses[5].held(), subset_before);
    fleet.run(300_000);
    assert_eq!(fleet.harnesses[5].held().len(), 60);
    let picks_by_port = fleet.harnesses[5].send_rpcs(400, 5);
    assert!(picks_by_port.len() > 50, "{} of 60 nodes get RPCs", picks_by_port.len());
}

#[test]
fn each_side_of_a_partition_holds_every_node() {
    let listed = nodes(9000..9060, 1);
    let mut fleet = Fleet::new(10, &listed);
    fleet.run(20_000);
    let before = fleet.harnesses[0].held();
    for n in 0..10 {
        fleet.sides[n] = Some(usize::from(n < 3));
    }
    fleet.run(300_000);
    let (smaller_side, larger_side) = (fleet.holders(1), fleet.holders(0));
    assert!(
        smaller_side.len() == 60 && smaller_side.values().all(|n| *n == 3),
        "three marshals: {smaller_side:?}"
    );
    assert!(
        larger_side.len() == 60 && larger_side.values().all(|n| *n == 6),
        "seven marshals: {larger_side:?}"
    );
    // After the partition heals they hold the same nodes as before.
    fleet.sides = vec![Some(0); 10];
    fleet.run(300_000);
    assert_eq!(fleet.harnesses[0].held(), before);
}

/// A hash of all commands of a marshal in a run with a trial, cold nodes, a draining node and a removed node.
fn command_hash(settings: &str, count: u16) -> u64 {
    let mut harness = Harness::new(3, 7, settings);
    let mut hasher = DefaultHasher::new();
    let mut record = |commands: Vec<Command>| format!("{commands:?}").hash(&mut hasher);
    let mut listed = nodes(9000..9000 + count, 1);
    record(harness.handle(Input::NodeList(&listed)));
    for step in 0..3000usize {
        match step {
            400 => harness.stage(2, RolloutState::OnTrial, 0, 0.14),
            500 => listed[..3].iter_mut().for_each(|n| {
                (n.build, n.started_ms) = (2, Some(harness.now.as_millis() as u64));
            }),
            1500 => listed[5].state = ivydrift_wire::list::State::Draining,
            2000 => drop(listed.remove(7)),
            _ => {}
        }
        if matches!(step, 500 | 1500 | 2000) {
            record(harness.handle(Input::NodeList(&listed)));
        }
        harness.now += ms(4);
        if harness.core.next_tick() <= harness.now {
            record(harness.handle(Input::Tick));
        }
        record(harness.rpc());
        for (i, (_, id, pick)) in std::mem::take(&mut harness.picks).into_iter().enumerate() {
            let observation = if (step + i) % 17 == 0 { Observation::Broken } else { OK };
            record(harness.handle(Input::PickEnded { id, pick, observation }));
        }
    }
    hasher.finish()
}

/// Hashes that this test printed, without the `subset` setting, for the program version before subsets
/// existed.
const HASHES_BEFORE_SUBSETS: [u64; 2] = [17678505184007387320, 18069984979106029001];

#[test]
fn without_a_subset_all_commands_are_as_before_subsets_existed() {
    let off = "\nsubset = false\n";
    assert_eq!([command_hash(off, 20), command_hash(off, 120)], HASHES_BEFORE_SUBSETS);
    // A subset does not change a list that is no larger than the wanted size.
    assert_eq!(command_hash("", 20), HASHES_BEFORE_SUBSETS[0]);
    assert_ne!(command_hash("\nsubset {\n  least = 8\n}\n", 120), HASHES_BEFORE_SUBSETS[1]);
}

#[test]
fn reconfigure_switches_between_the_whole_list_and_a_subset() {
    let (mut harness, _) = harness_that_lost_a_node();
    let held = harness.held();
    let text = |settings| {
        ivydrift_terms::EXAMPLE.replace("number = 0\n  of = 1", "number = 3\n  of = 50") + settings
    };
    harness.core.reconfigure(ivydrift_terms::parse("new.hcl", &text("\nsubset = false\n")).unwrap()).unwrap();
    harness.advance(200);
    assert_eq!(harness.held().len(), 200);
    harness.core.reconfigure(ivydrift_terms::parse("new.hcl", &text(SMALL_SUBSET)).unwrap()).unwrap();
    harness.advance(200);
    assert_eq!(harness.held(), held);
    let picks_by_port = harness.send_rpcs(100, 10);
    assert!(picks_by_port.keys().all(|port| held.contains(port)));
}

/// Picks that twenty cold nodes of 400 get from a hundred marshals in their first second under a surge: in
/// all, and at the node with most.
fn picks_at_cold_nodes(settings: &str) -> (usize, usize) {
    let mut picks_by_port: BTreeMap<u16, usize> = BTreeMap::new();
    for number in 0..100 {
        let mut harness = Harness::new(number, 100, settings);
        let mut listed = nodes(9000..9400, 1);
        harness.handle(Input::NodeList(&listed));
        harness.send_rpcs(400, 10);
        let start = harness.now.as_millis() as u64;
        listed[..20].iter_mut().for_each(|n| n.started_ms = Some(start));
        harness.handle(Input::NodeList(&listed));
        for (port, n) in harness.send_rpcs(500, 2) {
            if port < 9020 {
                *picks_by_port.entry(port).or_default() += n;
            }
        }
    }
    (picks_by_port.values().sum(), picks_by_port.values().copied().max().unwrap_or(0))
}

#[test]
fn cold_nodes_get_as_much_in_all_with_subsets_as_with_the_whole_list() {
    let ((whole, worst), (part, worst_with_subset)) =
        (picks_at_cold_nodes("\nsubset = false\n"), picks_at_cold_nodes(""));
    let ratio = part as f64 / whole as f64;
    assert!((0.7..1.3).contains(&ratio), "{part} in all with a subset, {whole} without");
    // The picks of a node's six holders vary more than those of a hundred marshals, but by no more than half.
    assert!(
        worst_with_subset as f64 <= 1.5 * worst as f64,
        "{worst_with_subset} at one node with a subset, {worst} without"
    );
}

/// Time from the launch of a trial to the marshal's first vote to promote, where `run` of the stage's forty
/// machines run.
fn time_to_promote_vote(settings: &str, run: usize) -> Duration {
    let mut harness = Harness::new(3, 100, settings);
    let mut listed = nodes(9000..9400, 1);
    harness.handle(Input::NodeList(&listed));
    harness.send_rpcs(500, 10);
    let launch = harness.now;
    harness.stage(2, RolloutState::OnTrial, 0, 0.14);
    listed[..run].iter_mut().for_each(|n| (n.build, n.started_ms) = (2, Some(launch.as_millis() as u64)));
    harness.handle(Input::NodeList(&listed));
    harness.send_rpcs(2500, 10);
    harness.first_promote_vote.expect("no vote to promote") - launch
}

#[test]
fn a_stage_begins_when_all_its_machines_run_not_only_those_in_the_subset() {
    for (run, least) in [(40, 2500), (12, 9000)] {
        let (whole, part) = (time_to_promote_vote("\nsubset = false\n", run), time_to_promote_vote("", run));
        assert!(whole >= ms(least), "{whole:?} with the whole list, {run} of 40 run");
        assert!(part >= ms(least) && part <= whole + ms(3000), "{part:?} with a subset, {whole:?} without");
    }
}
