//! Splits one config into the configs of the services.

use std::collections::HashMap;
use std::sync::Arc;

use ivydrift_policy::port::{MethodConfig, TenantConfig};
use ivydrift_terms::services::ServicesConfig;
use ivydrift_terms::{Config, Names};

/// The config of all services except `places.service`.
pub struct OnDemandConfig {
    /// The common part of the config, without methods, tenants and peers.
    pub config: Config,
    pub limits: ServicesConfig,
    of: HashMap<String, Arc<str>>,
    methods: HashMap<Arc<str>, Vec<(String, MethodConfig)>>,
}

impl OnDemandConfig {
    /// The service of a method; `None` for `places.service` and for unknown methods.
    pub fn service(&self, method: &str) -> Option<Arc<str>> {
        self.of.get(method).cloned()
    }

    pub fn methods(&self, service: &str) -> &[(String, MethodConfig)] {
        self.methods.get(service).map_or(&[], |m| m)
    }

    /// The config of one service.
    pub fn config_for(&self, service: &str) -> Config {
        let mut config = self.config.clone();
        config.addresses.service = service.to_owned();
        let methods = self.methods(service);
        config.methods = methods.iter().map(|m| &m.0).collect();
        config.rollout.methods = methods.iter().map(|m| m.1.clone()).collect();
        config
    }
}

/// Returns the config of `places.service` and that of all others.
pub fn split(mut config: Config) -> (Config, OnDemandConfig) {
    let primary: Arc<str> = config.addresses.service.clone().into();
    let method_services = std::mem::take(&mut config.method_services);
    let (names, values) = (std::mem::take(&mut config.methods), std::mem::take(&mut config.rollout.methods));
    let tenants: (Names, Vec<TenantConfig>) =
        (std::mem::take(&mut config.tenants), std::mem::take(&mut config.rollout.tenants));
    let mut shared = config.clone();
    shared.addresses.peers.clear();
    shared.rollout.limits.peers = false;
    let limits = config.services;
    let mut on_demand =
        OnDemandConfig { config: shared, limits, of: HashMap::new(), methods: HashMap::new() };
    (config.tenants, config.rollout.tenants) = tenants;
    // Methods without a service belong to `places.service`.
    let of = method_services.into_iter().map(Some).chain(std::iter::repeat(None));
    let mut home_methods = Vec::new();
    for ((name, value), of) in names.iter().zip(values).zip(of) {
        match of.filter(|of| *of != primary) {
            None => {
                home_methods.push(name);
                config.rollout.methods.push(value);
            }
            Some(of) => {
                let known = on_demand.methods.get_key_value(&of).map(|known| known.0.clone());
                let of = known.unwrap_or(of);
                on_demand.of.insert(name.to_owned(), of.clone());
                on_demand.methods.entry(of).or_default().push((name.to_owned(), value));
            }
        }
    }
    config.methods = home_methods.into_iter().collect();
    (config, on_demand)
}
