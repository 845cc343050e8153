//! Sizes of the messages that the page's calculations use, as the shipped code writes them: `cargo test -p
//! ivydrift-measure --test capacity -- --nocapture sizes`.

use std::time::Duration;

use ivydrift_commons::large_state;
use ivydrift_commons::sections::{Sections, LEVELS, PROGRAM};
use ivydrift_failover::message::{Instruction, Message, ZoneReport, MAX_ZONES};
use ivydrift_failover::observation::{AggregatedObservation, Observation};
use ivydrift_leases::message::{Lease, Report};
use ivydrift_members::message::{self, Message as MembersMessage, Record, Update};
use ivydrift_members::{State, DATAGRAM_BYTES};
use ivydrift_wire::http::HeadWriter;
use ivydrift_wire::list::{self, ListedNode, MAX_LIST_BYTES, MAX_LIST_NODES};
use ivydrift_wire::peer::{self, PeerStatus, MAX_POLICY_BYTES};
use ivydrift_wire::{controller, controller::ControllerCounts};

use crate::page::PAGE;

fn node(n: u32) -> ListedNode {
    ListedNode {
        host: format!("10.{}.{}.{}", n >> 16, n >> 8 & 255, n & 255),
        port: 9000,
        state: list::State::Ready,
        build: 312,
        zone: "region-3-zone-1".into(),
        cell: 0,
        kind: "full-1c".into(),
        power: 1.0,
        started_ms: Some(1_780_000_000_000 + u64::from(n)),
    }
}

fn nodes(count: u32) -> usize {
    list::write(&(0..count).map(node).collect::<Vec<_>>()).len()
}

/// The size of a request as `edge::query` writes it.
fn question(path: &str) -> usize {
    HeadWriter::request("GET", path)
        .field("host", "10.0.0.1:7001")
        .field("user-agent", "ivydrift/0.1.0 marshal-3699")
        .field("content-length", "0")
        .field("content-type", "application/json")
        .finish()
        .len()
}

/// What 308 marshals see of `seen` of 12 zones.
fn sights(seen: usize) -> Vec<AggregatedObservation> {
    let one = |zone: usize| {
        let there = zone < seen;
        let some = |v| there.then_some(v);
        let observation = Observation {
            capacity: 3667.0,
            cost: some(0.06),
            busy: some(0.47),
            answered_fraction: some(0.99),
            sent: f32::from(u8::from(there)) * 94.6,
        };
        let mut sum = AggregatedObservation::default();
        (0..308).for_each(|_| sum.add(&AggregatedObservation::of(&observation)));
        sum
    };
    (0..12).map(one).collect()
}

fn up(seen: usize) -> usize {
    let body = ZoneReport { demand: 29_167.0, sights: sights(seen) };
    let (life, stamp, of) = (1_780_000_000, 90_000_000, 1_780_000_000);
    let up = Report { life, stamp, echo: 90_000_000, of, promise: 4500, voices: 20, holds: 360_000, body };
    Message::Up(up).write().len()
}

fn down() -> usize {
    let (life, stamp, of) = (1_780_000_000, 90_000_000, 1_780_000_000);
    let (rates, body) = (vec![12.5; 12], Instruction { stage: 1, part: 0.4 });
    let down = Lease { life, stamp, echo: 90_000_000, of, version: 360_000, valid: 2000, rates, body };
    Message::Down(down).write().len()
}

fn record() -> Vec<u8> {
    let about = PeerStatus { zone: 11, region: 5, rate: 94.6, ready: 44_000 };
    let mut own = Sections::default();
    own.put(LEVELS, Duration::from_secs(86_400), &[0, 1], 0).unwrap();
    own.put(PROGRAM, Duration::from_secs(86_400), b"0.1.0-0123456789abcdef", 0).unwrap();
    [peer::serialize(&about), own.encode()].concat()
}

fn word(state: State) -> usize {
    let record = state.is_present().then(|| Record { version: 3000, bytes: record() });
    let word = Update { number: 3699, life: 1_780_000_000_000, turn: 3, state, by: 3698, record };
    let none = message::encode(&MembersMessage::Ping { seq: 9 }, [].iter()).0.len();
    message::encode(&MembersMessage::Ping { seq: 9 }, [word].iter()).0.len() - none
}

fn sums() -> usize {
    let one = ControllerCounts {
        build: 312,
        method: "calendar-read".into(),
        picks: 1400,
        failed: 12,
        mean_ms: 80.5,
        age_ms: 900,
    };
    controller::write(&one).len()
}

fn stage() -> usize {
    let stage = controller::Stage {
        build: 312,
        stage: 1,
        course: controller::RolloutState::OnTrial,
        cap: 0.14,
        age_ms: 12_000,
    };
    controller::write(&controller::RolloutUpdate {
        index: 123_456,
        stage: Some(stage),
        sums: vec![],
        disputed: vec![],
    })
    .len()
}

#[test]
fn sizes() {
    let rows = [
        ("a node in the list", (nodes(2000) - nodes(1000)) / 1000),
        ("a service's list of 16 nodes", nodes(16)),
        ("the list of 44,000 nodes", nodes(44_000)),
        ("bytes of a list at most", MAX_LIST_BYTES),
        ("nodes of a list at most", MAX_LIST_NODES),
        ("a question to the list, its head", question(&list::query_target("calendar", 123_456, 10))),
        (
            "a question to the desk, its head",
            question("/v1/stage?index=123456&wait=5s&marshal=3699&service=calendar"),
        ),
        ("the desk's standing of a build", stage()),
        ("the desk's sums of one build and method", sums()),
        ("the desk's news at most", controller::MAX_MESSAGE_BYTES),
        ("a marshal's record", record().len()),
        ("a word about a member with its record", word(State::Alive)),
        ("a word about a dead member", word(State::Dead)),
        ("a datagram of membership at most", DATAGRAM_BYTES),
        ("counts told to peers at most", MAX_POLICY_BYTES),
        ("zones that moves have room for", MAX_ZONES),
        ("a move's word up, 12 zones seen", up(12)),
        ("a move's word up, 1 zone seen", up(1)),
        ("a move's word down, 12 zones", down()),
        ("larger state at most", large_state::MAX_STATE_BYTES),
        ("larger states held at most", large_state::MAX_STATES),
    ];
    let line = |(what, bytes): &(&str, usize)| format!("| {what} | {} |", grouped(*bytes));
    let lines: Vec<String> = rows.iter().map(line).collect();
    println!("{}", lines.join("\n"));
    let missing: Vec<&String> = lines.iter().filter(|l| !PAGE.contains(l.as_str())).collect();
    assert!(missing.is_empty(), "docs/CAPACITY.md says otherwise; as written now:\n{missing:#?}");
}

/// Formats 44000 as 44,000.
fn grouped(n: usize) -> String {
    let digits = n.to_string();
    let parts: Vec<&str> =
        digits.as_bytes().rchunks(3).rev().map(|p| std::str::from_utf8(p).unwrap()).collect();
    parts.join(",")
}
