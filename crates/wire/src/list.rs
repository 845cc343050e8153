//! The node list, in the format of Consul's health endpoint with blocking queries: `GET
//! /v1/health/service/NAME?index=N&wait=10s` is answered at once if the index is past N, otherwise when it changes or the
//! wait ends. The answer carries the index in `X-Consul-Index`.

use serde::{Deserialize, Serialize};

/// Header field with the index of a list.
pub const INDEX_FIELD: &str = "x-consul-index";
/// Largest accepted list, in bytes.
pub const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
/// Largest accepted list, in nodes.
pub const MAX_LIST_NODES: usize = 20_000;

/// Whether a listed node may get new RPCs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Ready,
    Draining,
}

/// One entry of the node list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedNode {
    pub host: String,
    pub port: u16,
    pub state: State,
    pub build: u32,
    pub zone: String,
    pub cell: u16,
    pub kind: String,
    /// Capacity relative to other nodes; 1 by default.
    pub power: f64,
    /// Last start, in milliseconds of Unix time; none means that the node has been up for long.
    pub started_ms: Option<u64>,
}

#[derive(Serialize, Deserialize)]
struct Entry {
    #[serde(rename = "Service")]
    service: Service,
    #[serde(rename = "Checks", default)]
    checks: Vec<Check>,
}

#[derive(Serialize, Deserialize)]
struct Service {
    #[serde(rename = "Address")]
    address: String,
    #[serde(rename = "Port")]
    port: u16,
    #[serde(rename = "Meta", default)]
    meta: std::collections::BTreeMap<String, String>,
}

#[derive(Serialize, Deserialize)]
struct Check {
    #[serde(rename = "Status")]
    status: String,
}

/// Returns the request target of a query for a service's list.
pub fn query_target(service: &str, index: u64, wait_s: u64) -> String {
    format!("/v1/health/service/{service}?index={index}&wait={wait_s}s")
}

/// Returns a number from the query string of a request target; a unit of seconds (`10s`) is dropped.
pub fn query(target: &str, name: &str) -> Option<u64> {
    let pairs = target.split_once('?')?.1.split('&').filter_map(|p| p.split_once('='));
    pairs.filter(|(n, _)| *n == name).find_map(|(_, v)| v.trim_end_matches('s').parse().ok())
}

/// Serializes a list.
pub fn write(nodes: &[ListedNode]) -> Vec<u8> {
    let entry = |record: &ListedNode| {
        let mut meta = std::collections::BTreeMap::from([
            ("build".to_owned(), record.build.to_string()),
            ("zone".to_owned(), record.zone.clone()),
            ("cell".to_owned(), record.cell.to_string()),
            ("kind".to_owned(), record.kind.clone()),
            ("power".to_owned(), record.power.to_string()),
        ]);
        meta.extend(record.started_ms.map(|ms| ("started_ms".to_owned(), ms.to_string())));
        let status = if record.state == State::Ready { "passing" } else { "draining" };
        Entry {
            service: Service { address: record.host.clone(), port: record.port, meta },
            checks: vec![Check { status: status.to_owned() }],
        }
    };
    serde_json::to_vec(&nodes.iter().map(entry).collect::<Vec<_>>()).unwrap_or_default()
}

/// Parses a list. Nodes with a critical check are left out, as Consul's `passing` filter does; nodes in maintenance count
/// as draining.
///
/// # Errors
/// Returns a sentence on what is malformed; the list must then be ignored as a whole.
pub fn read(bytes: &[u8]) -> Result<Vec<ListedNode>, String> {
    if bytes.len() > MAX_LIST_BYTES {
        return Err(format!("the node list has {} bytes, the limit is {MAX_LIST_BYTES}", bytes.len()));
    }
    let entries: Vec<Entry> =
        serde_json::from_slice(bytes).map_err(|e| format!("malformed node list: {e}"))?;
    if entries.len() > MAX_LIST_NODES {
        return Err(format!("the node list has {} nodes, the limit is {MAX_LIST_NODES}", entries.len()));
    }
    let mut listed = Vec::with_capacity(entries.len());
    for entry in entries {
        let (service, has_check) = (&entry.service, |word| entry.checks.iter().any(|c| c.status == word));
        if has_check("critical") {
            continue;
        }
        let address = format!("{}:{}", service.address, service.port);
        let meta_number = |name: &str| match service.meta.get(name) {
            None => Ok(None),
            Some(text) => match text.parse::<f64>() {
                Ok(v) if v.is_finite() && v >= 0.0 => Ok(Some(v)),
                _ => Err(format!("node {address}: Meta.{name} is {text:?}, not a number of 0 or more")),
            },
        };
        let build = meta_number("build")?.ok_or_else(|| format!("node {address}: Meta.build is missing"))?;
        let draining = has_check("draining") || has_check("maintenance");
        listed.push(ListedNode {
            host: service.address.clone(),
            port: service.port,
            state: if draining { State::Draining } else { State::Ready },
            build: build as u32,
            zone: service.meta.get("zone").cloned().unwrap_or_default(),
            cell: meta_number("cell")?.unwrap_or(0.0) as u16,
            kind: service.meta.get("kind").cloned().unwrap_or_default(),
            power: meta_number("power")?.unwrap_or(1.0),
            started_ms: meta_number("started_ms")?.map(|ms| ms as u64),
        });
    }
    Ok(listed)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_written_list_reads_back_and_malformed_entries_are_named() {
        let node = ListedNode {
            host: "127.0.0.1".into(),
            port: 9000,
            state: State::Draining,
            build: 7,
            zone: "a".into(),
            cell: 0,
            kind: "k".into(),
            power: 1.5,
            started_ms: Some(123),
        };
        assert_eq!(read(&write(std::slice::from_ref(&node))), Ok(vec![node]));
        let malformed = br#"[{"Service":{"Address":"h","Port":1,"Meta":{"build":"x"}}}]"#;
        assert!(read(malformed).unwrap_err().contains("h:1: Meta.build"));
        let critical = br#"[{"Service":{"Address":"h","Port":1,"Meta":{"build":"1"}},"Checks":[{"Status":"critical"}]}]"#;
        assert_eq!(read(critical), Ok(vec![]));
    }
}
