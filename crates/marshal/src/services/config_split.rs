//! Splits one config into the configs of the services.

use std::collections::HashMap;
use std::sync::Arc;

use ivydrift_policy::port::{MethodConfig, TenantConfig};
use ivydrift_terms::services::ServicesTerms;
use ivydrift_terms::{Names, Terms};

/// The config of all services except `places.service`.
pub struct OnDemandConfig {
    /// The common part of the config, without methods, tenants and peers.
    pub terms: Terms,
    pub bounds: ServicesTerms,
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
    pub fn config_for(&self, service: &str) -> Terms {
        let mut terms = self.terms.clone();
        terms.places.service = service.to_owned();
        let methods = self.methods(service);
        terms.methods = methods.iter().map(|m| &m.0).collect();
        terms.rollout.methods = methods.iter().map(|m| m.1.clone()).collect();
        terms
    }
}

/// Returns the config of `places.service` and that of all others.
pub fn split(mut terms: Terms) -> (Terms, OnDemandConfig) {
    let primary: Arc<str> = terms.places.service.clone().into();
    let serves = std::mem::take(&mut terms.serves);
    let (names, values) = (std::mem::take(&mut terms.methods), std::mem::take(&mut terms.rollout.methods));
    let tenants: (Names, Vec<TenantConfig>) =
        (std::mem::take(&mut terms.tenants), std::mem::take(&mut terms.rollout.tenants));
    let mut shared = terms.clone();
    shared.places.peers.clear();
    shared.rollout.limits.peers = false;
    let bounds = terms.services;
    let mut on_demand = OnDemandConfig { terms: shared, bounds, of: HashMap::new(), methods: HashMap::new() };
    (terms.tenants, terms.rollout.tenants) = tenants;
    // Methods without a service belong to `places.service`.
    let of = serves.into_iter().map(Some).chain(std::iter::repeat(None));
    let mut home_methods = Vec::new();
    for ((name, value), of) in names.iter().zip(values).zip(of) {
        match of.filter(|of| *of != primary) {
            None => {
                home_methods.push(name);
                terms.rollout.methods.push(value);
            }
            Some(of) => {
                let known = on_demand.methods.get_key_value(&of).map(|known| known.0.clone());
                let of = known.unwrap_or(of);
                on_demand.of.insert(name.to_owned(), of.clone());
                on_demand.methods.entry(of).or_default().push((name.to_owned(), value));
            }
        }
    }
    terms.methods = home_methods.into_iter().collect();
    (terms, on_demand)
}
