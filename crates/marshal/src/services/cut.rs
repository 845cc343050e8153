//! One file of terms as the terms of each service.

use std::collections::HashMap;
use std::sync::Arc;

use ivydrift_policy::port::{MethodTerms, TenantTerms};
use ivydrift_terms::services::ServicesTerms;
use ivydrift_terms::Terms;

/// What the terms say of all services but `places.service`.
pub struct Others {
    /// All that services have in common: no method, tenant or peer is in it.
    pub terms: Terms,
    pub bounds: ServicesTerms,
    of: HashMap<String, Arc<str>>,
    methods: HashMap<Arc<str>, Vec<(String, MethodTerms)>>,
}

impl Others {
    /// Whose method it is; none for `places.service` and for what no service has.
    pub fn service(&self, method: &str) -> Option<Arc<str>> {
        self.of.get(method).cloned()
    }

    pub fn methods(&self, service: &str) -> &[(String, MethodTerms)] {
        self.methods.get(service).map_or(&[], |m| m)
    }

    /// The terms of one service.
    pub fn cut(&self, service: &str) -> Terms {
        let mut terms = self.terms.clone();
        terms.places.service = service.to_owned();
        (terms.methods, terms.rollout.methods) = self.methods(service).iter().cloned().unzip();
        terms
    }
}

/// The terms of `places.service`, and those of all others.
pub fn split(mut terms: Terms) -> (Terms, Others) {
    let home: Arc<str> = terms.places.service.clone().into();
    let serves = std::mem::take(&mut terms.serves);
    let (names, values) = (std::mem::take(&mut terms.methods), std::mem::take(&mut terms.rollout.methods));
    let tenants: (Vec<String>, Vec<TenantTerms>) =
        (std::mem::take(&mut terms.tenants), std::mem::take(&mut terms.rollout.tenants));
    let mut shared = terms.clone();
    shared.places.peers.clear();
    shared.rollout.limits.peers = false;
    let bounds = terms.services;
    let mut others = Others { terms: shared, bounds, of: HashMap::new(), methods: HashMap::new() };
    (terms.tenants, terms.rollout.tenants) = tenants;
    // Terms that say nothing of services are those of one.
    let of = serves.into_iter().map(Some).chain(std::iter::repeat(None));
    for ((name, value), of) in names.into_iter().zip(values).zip(of) {
        match of.filter(|of| *of != home) {
            None => {
                terms.methods.push(name);
                terms.rollout.methods.push(value);
            }
            Some(of) => {
                let known = others.methods.get_key_value(&of).map(|known| known.0.clone());
                let of = known.unwrap_or(of);
                others.of.insert(name.clone(), of.clone());
                others.methods.entry(of).or_default().push((name, value));
            }
        }
    }
    (terms, others)
}
