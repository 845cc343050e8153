//! The platform's config file, named by `LB_CONFIG`. A marshal reads it at start and again on each SIGHUP.

#[cfg(test)]
mod tests;

use ivydrift_facts::StartSettings;
use ivydrift_policy::port::ListLeaseConfig;
use ivydrift_terms::{Addresses, Config, Limits};
use ivydrift_wire::controller::Stage;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

use crate::{controller, members};

/// Longest body of the platform's messages, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// The least memory that a marshal can be given, in MB.
const MIN_MEMORY_MB: f64 = 16.0;
const BYTES_PER_MB: f64 = 1_048_576.0;

/// Environment variable that names the file.
pub const CONFIG_PATH_ENV: &str = "LB_CONFIG";

/// The operators count a change of the node list as delivered after these times, whether or not it has arrived.
const LIST_LEASE: ListLeaseConfig = ListLeaseConfig {
    delivered_within: Duration::from_secs(6),
    delivered_after_reload: Duration::from_secs(4),
};

/// Contents of the config file: the config, the last known member list and the newest build's rollout stage.
pub struct PlatformConfig {
    pub config: Config,
    pub catalog: members::Catalog,
    pub rollout_stage: Option<Stage>,
}

/// Parses the file's text. `file` is the name used in error messages.
///
/// # Errors
/// Returns the first error, with the file, the line or key, and what to write instead.
pub fn parse(file: &str, text: &str) -> Result<PlatformConfig, String> {
    let top: Value = serde_json::from_str(text).map_err(|e| {
        format!("{file}:{}:{}: this is not JSON ({e}): write one object", e.line(), e.column())
    })?;
    let invalid = |key: &str, instead: &str| format!("{file}: {key} cannot be read: write {instead}");
    let address = |key: &str, value: &Value| -> Result<SocketAddr, String> {
        let parsed = value.as_str().and_then(|text| text.parse().ok());
        parsed.ok_or_else(|| invalid(key, "\"address:port\", as in \"127.0.0.1:5000\""))
    };
    let seed = match &top["seed"] {
        Value::String(hex) => u64::from_str_radix(hex, 16).ok(),
        number => number.as_u64(),
    };
    let seed = seed.ok_or_else(|| invalid("seed", "up to 16 hexadecimal digits in quotes"))?;
    let settings = ivydrift_facts::parse_json(seed, &top["settings"])
        .map_err(|error| format!("{file}: settings: {error}"))?;
    let addresses = Addresses {
        listen: address("listen", &top["listen"])?,
        node_list: address("discovery", &top["discovery"])?,
        service: String::new(),
        rollout_controller: address("pipeline.address", &top["pipeline"]["address"])?,
        peers: vec![],
    };
    let sockets = match &top["limits"]["sockets"] {
        Value::Null => 1024,
        number => number
            .as_u64()
            .filter(|n| *n >= 64)
            .ok_or_else(|| invalid("limits.sockets", "a whole number of 64 or more"))?,
    };
    let memory_bytes = match &top["limits"]["memory_mb"] {
        Value::Null => None,
        number => Some(
            number
                .as_f64()
                .filter(|megabytes| *megabytes >= MIN_MEMORY_MB)
                .map(|megabytes| (megabytes * BYTES_PER_MB) as usize)
                .ok_or_else(|| invalid("limits.memory_mb", "a number of 16 or more"))?,
        ),
    };
    let mut catalog = members::Catalog::default();
    if !top["known"].is_null() {
        catalog.apply(&top["known"].to_string()).map_err(|error| format!("{file}: known: {error}"))?;
    }
    let rollout_stage = match &top["pipeline"]["news"] {
        Value::Null => None,
        rollout_stage => Some(
            controller::stage_from_json(rollout_stage)
                .map_err(|error| format!("{file}: pipeline.news: {error}"))?,
        ),
    };
    let StartSettings { mut rollout, methods, tenants, zones, kinds, connect_timeout, .. } = settings;
    // The platform offers no channel between marshals.
    rollout.limits.peers = false;
    // Discovery does not push node lists either: `discovery` in the settings concerns the simulator, here the list is
    // always polled over HTTP.
    rollout.polls_discovery = true;
    rollout.rules.list_lease = Some(LIST_LEASE);
    let limits = Limits::by_process(sockets as usize, memory_bytes, MAX_BODY_BYTES, connect_timeout);
    let regions = vec![0; zones.len()];
    let (methods, tenants) = (methods.iter().collect(), tenants.iter().collect());
    // The platform has a single service, so methods name none.
    let (method_services, services) = (vec![], Default::default());
    // All nodes of the list are used.
    let subset = None;
    let config = Config {
        addresses,
        limits,
        subset,
        rollout,
        methods,
        method_services,
        services,
        tenants,
        zones,
        regions,
        kinds,
    };
    Ok(PlatformConfig { config, catalog, rollout_stage })
}
