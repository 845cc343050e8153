//! The file that a marshal is started with, `LB_CONFIG`, and read again at each SIGHUP.

use ivydrift_facts::Facts;
use ivydrift_terms::{Bounds, Places, Terms};
use ivydrift_wire::desk::Stage;
use serde_json::Value;
use std::net::SocketAddr;

use crate::{desk, members};

/// The longest body that the platform's messages have.
pub const BODY: usize = 64 * 1024;

/// The variable that names the file.
pub const FILE: &str = "LB_CONFIG";

/// A start: the terms, and what the platform last knew of members and the newest build.
pub struct Start {
    pub terms: Terms,
    pub known: members::Catalog,
    pub news: Option<Stage>,
}

/// Reads the file's text; `file` is named in complaints.
///
/// # Errors
/// What is wrong, with the file, the line or key, and what to write instead.
pub fn read(file: &str, text: &str) -> Result<Start, String> {
    let top: Value = serde_json::from_str(text).map_err(|e| {
        format!("{file}:{}:{}: this is not JSON ({e}): write one object", e.line(), e.column())
    })?;
    let complain = |key: &str, instead: &str| format!("{file}: {key} cannot be read: write {instead}");
    let address = |key: &str, value: &Value| -> Result<SocketAddr, String> {
        let read = value.as_str().and_then(|text| text.parse().ok());
        read.ok_or_else(|| complain(key, "\"address:port\", as in \"127.0.0.1:5000\""))
    };
    let seed = match &top["seed"] {
        Value::String(hex) => u64::from_str_radix(hex, 16).ok(),
        number => number.as_u64(),
    };
    let seed = seed.ok_or_else(|| complain("seed", "up to 16 hexadecimal digits in quotes"))?;
    let facts = ivydrift_facts::read_object(seed, &top["settings"])
        .map_err(|wrong| format!("{file}: settings: {wrong}"))?;
    let places = Places {
        listen: address("listen", &top["listen"])?,
        node_list: address("discovery", &top["discovery"])?,
        service: String::new(),
        release_desk: address("pipeline.address", &top["pipeline"]["address"])?,
        peers: vec![],
    };
    let sockets = match &top["limits"]["sockets"] {
        Value::Null => 1024,
        number => number
            .as_u64()
            .filter(|n| *n >= 64)
            .ok_or_else(|| complain("limits.sockets", "a whole number of 64 or more"))?,
    };
    let mut known = members::Catalog::default();
    if !top["known"].is_null() {
        known.take(&top["known"].to_string()).map_err(|why| format!("{file}: known: {why}"))?;
    }
    let news = match &top["pipeline"]["news"] {
        Value::Null => None,
        news => Some(desk::stage_of(news).map_err(|why| format!("{file}: pipeline.news: {why}"))?),
    };
    let Facts { terms: mut rollout, methods, tenants, zones, kinds, connect, .. } = facts;
    // Marshals of the platform have no way to one another here.
    rollout.limits.peers = false;
    let bounds = Bounds::by_descriptors(sockets as usize, BODY, connect);
    let regions = vec![0; zones.len()];
    let terms = Terms { places, bounds, rollout, methods, tenants, zones, regions, kinds };
    Ok(Start { terms, known, news })
}

#[cfg(test)]
mod tests {
    use super::*;
    use ivydrift_policy::port::*;
    use std::time::Duration;

    pub const FILE: &str = include_str!("../tests/start.json");

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
        assert!(
            terms.rollout.limits.probes && terms.rollout.limits.second_copies && terms.rollout.ask_discovery
        );
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
}
