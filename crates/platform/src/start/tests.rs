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

/// Cut at any byte it is no file, and says where it ends.
#[test]
fn a_file_cut_anywhere_is_refused_with_the_place() {
    let whole = FILE.trim_end();
    for cut in 0..whole.len() {
        let found =
            read("start.json", &whole[..cut]).err().unwrap_or_else(|| panic!("cut at {cut} it is read"));
        assert!(found.starts_with("start.json:"), "{cut}: {found}");
    }
}

#[test]
fn what_no_marshal_could_run_by_is_named_with_its_key_and_what_to_write() {
    let refused = |path: &str, value: Value| {
        let mut top: Value = serde_json::from_str(FILE).unwrap();
        *top["settings"].pointer_mut(&format!("/{path}")).unwrap() = value;
        read("start.json", &top.to_string()).err().unwrap_or_else(|| panic!("{path} passed"))
    };
    let json = |text: &str| serde_json::from_str::<Value>(text).unwrap();
    for (path, value, names) in [
        ("request_classes", "[]", "request_classes"),
        ("request_classes", "7", "request_classes"),
        ("request_classes/0/objective", "0", "request_classes.0.objective"),
        ("request_classes/1/give_up", "0", "request_classes.1.give_up"),
        ("request_classes/1/give_up", "1e300", "request_classes.1.give_up"),
        ("request_classes/0/give_up", "\"soon\"", "request_classes.0.give_up"),
        ("request_classes/0/value", "-1", "request_classes.0.value"),
        ("request_classes/1/name", "\"calendar-read\"", "request_classes.1.name"),
        ("tenants/0/share", "1.5", "tenants.0.share"),
        ("tenants/1", "{\"share\": 0.2, \"quota_per_s\": 5}", "tenants.1.name"),
        ("siblings", "0", "siblings"),
        ("slot_no", "2", "slot_no"),
        ("zone", "2", "zone"),
        ("bounds/most_tries", "0", "bounds.most_tries"),
        ("bounds/conn_idle", "0", "bounds.conn_idle"),
        ("bounds/dial_timeout", "0", "bounds.dial_timeout"),
        ("rules/fall", "0", "rules.fall"),
        ("rules/cold_from", "0", "rules.cold_from"),
        ("rules/drain_grace", "1e18", "rules.drain_grace"),
        ("family_info/exposure_caps", "[]", "exposure_caps"),
        ("family_info/exposure_caps", "[0.1, 2, 1]", "exposure_caps"),
        ("family_info/shares", "[0.1]", "shares"),
        ("family_info/span", "0", "family_info.span"),
        ("family_info/api_rate", "0", "api_rate"),
    ] {
        let found = refused(path, json(value));
        let placed = found.starts_with("start.json: settings: ") && found.contains(names);
        assert!(placed, "{path} = {value}: {found}");
    }
}
