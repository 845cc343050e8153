//! Config of a marshal that serves several services: the service of each method, and limits on the services loaded at
//! once.

use std::sync::Arc;
use std::time::Duration;

use crate::hcl_reader::BlockReader;

/// Maximum length of a service name, which is part of the path and query of requests to the node list and the rollout
/// controller.
const MAX_NAME_BYTES: usize = 100;

/// Limits on the services loaded in addition to [`crate::Addresses::service`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServicesConfig {
    /// Services loaded at once.
    pub max_services: usize,
    /// A service without RPCs is unloaded after this time.
    pub idle_timeout: Duration,
    /// Estimated memory of all of them together, in bytes.
    pub max_bytes: usize,
}

impl Default for ServicesConfig {
    fn default() -> Self {
        ServicesConfig { max_services: 64, idle_timeout: Duration::from_secs(120), max_bytes: 16_384 * 1024 }
    }
}

/// Reads the service that a `method` block names; `default_service`, the service of `places`, if it names none.
pub fn of_method(method: &BlockReader, default_service: &str) -> Arc<str> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    let read = |name: &str| {
        let valid = (1..=MAX_NAME_BYTES).contains(&name.len()) && name.chars().all(is_allowed);
        valid.then(|| Arc::from(name))
    };
    let form = "a service's name in the node list: letters, digits, - _ or ., at most 100";
    method
        .parsed("service", Some(default_service.into()), form, read)
        .unwrap_or_else(|| default_service.into())
}

/// Reads the block `services`, and checks that the service of `places` (`default_service`) has at least one method.
pub fn parse(top: &BlockReader, default_service: &str, method_services: &[Arc<str>]) -> ServicesConfig {
    if !method_services.is_empty() && method_services.iter().all(|name| **name != *default_service) {
        let message = format!(
            "no method belongs to places.service {default_service:?}: leave `service` out of at least one method, or write a service \
             that has a method as places.service"
        );
        top.error(None, message);
    }
    let defaults = ServicesConfig::default();
    top.block("services", |block| {
        let idle_timeout = block.duration("rest", Some(defaults.idle_timeout));
        if idle_timeout < Duration::from_secs(1) && block.has("rest") {
            block.error(Some("rest"), "rest is under a second: write a duration of \"1s\" or more");
        }
        ServicesConfig {
            max_services: block.integer("most", Some(defaults.max_services as u64), 1..=10_000) as usize,
            idle_timeout,
            max_bytes: block.integer("kib", Some(defaults.max_bytes as u64 / 1024), 64..=16 << 20) as usize
                * 1024,
        }
    })
}
