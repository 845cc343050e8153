use super::*;
use ivydrift_policy::port::*;
use std::time::Duration;

pub const EXAMPLE: &str = include_str!("../../tests/start.json");

#[test]
fn the_example_file_parses() {
    let start = parse("start.json", EXAMPLE).unwrap();
    let config = &start.config;
    assert_eq!(config.methods, ["calendar-read", "pickup-book"]);
    assert_eq!(config.rollout.methods[1].repeat, Repeat::NonIdempotent);
    assert_eq!(config.rollout.methods[0].soft_deadline, Duration::from_millis(800));
    assert_eq!((config.rollout.seed, config.rollout.marshals), (0x8c1f_30d2_7a5b_e964, 2));
    assert_eq!(config.rollout.release.exposure_caps, [0.14, 0.49, 1.0]);
    assert_eq!((&*config.zones[1], &*config.kinds[0]), ("site-b", "full-1c"));
    assert_eq!((config.tenants.len(), config.rollout.tenants[1].quota), (2, 18.0));
    assert!(config.rollout.limits.probes && config.rollout.limits.hedging && config.rollout.polls_discovery);
    assert!(!config.rollout.limits.peers && config.addresses.peers.is_empty());
    assert_eq!(start.rollout_stage.map(|n| (n.build, n.stage, n.age_ms)), Some((42, 1, 310)));
    assert_eq!((start.catalog.revision(), start.catalog.nodes().len()), (Some(41), 1));
}

#[test]
fn errors_name_the_file_the_key_and_the_remedy() {
    let error_after_replacing =
        |from: &str, to: &str| parse("start.json", &EXAMPLE.replace(from, to)).err().unwrap();
    let error = error_after_replacing("\"discovery\": \"10.2.0.1:8500\"", "\"discovery\": \"here\"");
    assert!(error.starts_with("start.json: discovery") && error.contains("address:port"), "{error}");
    let error = error_after_replacing("\"fragile\"", "\"never\"");
    assert!(error.contains("settings: the idempotency of class 1"), "{error}");
    let error = error_after_replacing("\"sockets\": 1024", "\"sockets\": -3");
    assert!(error.contains("limits.sockets"), "{error}");
    let error = error_after_replacing("\"memory_mb\": 192", "\"memory_mb\": 3");
    assert!(error.contains("limits.memory_mb") && error.contains("16 or more"), "{error}");
    assert!(parse("start.json", "{\n  oh\n}").err().unwrap().starts_with("start.json:2:"));
}

/// Guards against a memory limit that is told and not looked at.
#[test]
fn what_is_held_for_peers_is_bounded_by_the_memory_of_the_configuration() {
    let peer_memory = |text: &str| parse("start.json", text).unwrap().config.limits.peer_memory_bytes;
    assert_eq!(peer_memory(EXAMPLE), Some(96 << 20));
    assert_eq!(peer_memory(&EXAMPLE.replace("\"memory_mb\": 192", "\"memory_mb\": 32")), Some(16 << 20));
}

/// The example file, cut after any byte.
#[test]
fn a_truncated_file_is_rejected_with_its_position() {
    let file = EXAMPLE.trim_end();
    for length in 0..file.len() {
        let error = parse("start.json", &file[..length])
            .err()
            .unwrap_or_else(|| panic!("the file cut at {length} bytes was accepted"));
        assert!(error.starts_with("start.json:"), "{length}: {error}");
    }
}

#[test]
fn settings_out_of_range_are_named_with_their_key() {
    let error_for = |path: &str, value: Value| {
        let mut file: Value = serde_json::from_str(EXAMPLE).unwrap();
        *file["settings"].pointer_mut(&format!("/{path}")).unwrap() = value;
        parse("start.json", &file.to_string()).err().unwrap_or_else(|| panic!("{path} was accepted"))
    };
    let json = |text: &str| serde_json::from_str::<Value>(text).unwrap();
    for (path, value, expected_key) in [
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
        let error = error_for(path, json(value));
        let names_the_key = error.starts_with("start.json: settings: ") && error.contains(expected_key);
        assert!(names_the_key, "{path} = {value}: {error}");
    }
}
