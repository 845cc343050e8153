use super::*;
use ivydrift_policy::port::*;
use std::time::Duration;

pub const FILE: &str = include_str!("../../tests/start.json");

#[test]
fn the_file_says_the_same_as_the_lines_of_the_wire() {
    let start = read("start.json", FILE).unwrap();
    let terms = &start.terms;
    assert_eq!(terms.methods, ["calendar-read", "pickup-book"]);
    assert_eq!(terms.rollout.methods[1].repeat, Repeat::NonIdempotent);
    assert_eq!(terms.rollout.methods[0].soft_deadline, Duration::from_millis(800));
    assert_eq!((terms.rollout.seed, terms.rollout.marshals), (0x8c1f_30d2_7a5b_e964, 2));
    assert_eq!(terms.rollout.release.caps, [0.14, 0.49, 1.0]);
    assert_eq!((&*terms.zones[1], &*terms.kinds[0]), ("site-b", "full-1c"));
    assert_eq!((terms.tenants.len(), terms.rollout.tenants[1].quota), (2, 18.0));
    assert!(terms.rollout.limits.probes && terms.rollout.limits.second_copies && terms.rollout.ask_discovery);
    assert!(!terms.rollout.limits.peers && terms.places.peers.is_empty());
    assert_eq!(start.news.map(|n| (n.build, n.stage, n.age_ms)), Some((42, 1, 310)));
    assert_eq!((start.known.revision(), start.known.listed().len()), (Some(41), 1));
}

#[test]
fn what_is_wrong_is_named_with_the_file_the_key_and_what_to_write() {
    let wrong = |from: &str, to: &str| read("start.json", &FILE.replace(from, to)).err().unwrap();
    let found = wrong("\"discovery\": \"10.2.0.1:8500\"", "\"discovery\": \"here\"");
    assert!(found.starts_with("start.json: discovery") && found.contains("address:port"), "{found}");
    let found = wrong("\"fragile\"", "\"never\"");
    assert!(found.contains("settings: the idempotency of class 1"), "{found}");
    let found = wrong("\"sockets\": 1024", "\"sockets\": -3");
    assert!(found.contains("limits.sockets"), "{found}");
    assert!(read("start.json", "{\n  oh\n}").err().unwrap().starts_with("start.json:2:"));
}
