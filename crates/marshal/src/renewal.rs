//! New terms in a running marshal.

use ivydrift_policy::port::*;
use ivydrift_terms::Terms;

use crate::Core;

/// Names that terms may bring in over a marshal's life, of a kind: each keeps its index until a restart.
pub(crate) const MOST_NAMES: usize = 1000;

/// All known names, the earlier ones first, and what `new` says of each where it does.
fn merged<T>(known: &[String], new: Vec<String>, values: Vec<T>) -> (Vec<String>, Vec<Option<T>>) {
    let mut names = known.to_vec();
    let mut kept: Vec<Option<T>> = known.iter().map(|_| None).collect();
    for (name, value) in new.into_iter().zip(values) {
        match names.iter().position(|n| *n == name) {
            Some(at) => kept[at] = Some(value),
            None => {
                names.push(name);
                kept.push(Some(value));
            }
        }
    }
    (names, kept)
}

impl Core {
    /// Takes new terms in mid-run: RPCs in hand stay, with the picks that are out; what the module knows of nodes,
    /// builds and the rules' accounts stays. A method that is left out is taken no longer; its RPCs end as they
    /// would have. The way back is the same step with the earlier terms.
    ///
    /// # Errors
    /// What cannot change without a restart; then nothing has changed.
    pub fn renew(&mut self, mut new: Terms) -> Result<(), String> {
        let (now, fixed) =
            (&self.terms, "it is fixed for the life of a marshal: start another with the new value");
        if new.rollout.marshal != now.rollout.marshal {
            let (from, to) = (now.rollout.marshal, new.rollout.marshal);
            return Err(format!("marshal.number cannot change from {from} to {to}; {fixed}"));
        }
        if new.places.listen != now.places.listen {
            let (from, to) = (now.places.listen, new.places.listen);
            return Err(format!("places.listen cannot change from {from} to {to}; {fixed}"));
        }
        let own = |t: &Terms| t.places.peers.get(t.rollout.marshal).copied();
        if own(&new) != own(now) {
            return Err(format!("this marshal's own address in places.peers cannot change; {fixed}"));
        }
        if new.bounds.workers != now.bounds.workers {
            return Err(format!("bounds.workers cannot change; {fixed}"));
        }
        let offered = new.methods.clone();
        let here = new.zones.get(new.rollout.zone).cloned();
        let (methods, kept) = merged(&now.methods, new.methods, std::mem::take(&mut new.rollout.methods));
        let (tenants, quotas) = merged(&now.tenants, new.tenants, std::mem::take(&mut new.rollout.tenants));
        let (zones, kept_regions) = merged(&now.zones, new.zones, new.regions);
        let (kinds, _) = merged(&now.kinds, new.kinds.clone(), new.kinds);
        if [&methods, &tenants, &zones, &kinds].iter().any(|names| names.len() > MOST_NAMES) {
            return Err(format!("more than {MOST_NAMES} names since the start; restart this marshal"));
        }
        let old = now.rollout.methods.iter();
        let method_terms = kept.into_iter().zip(old.map(Some).chain(std::iter::repeat(None)));
        let method_terms = method_terms.filter_map(|(new, old)| new.or(old.cloned())).collect();
        let none = TenantTerms { quota: 0.0, share: 0.0 };
        let tenant_terms = quotas.into_iter().map(|q| q.unwrap_or(none)).collect();
        let zone = here.and_then(|name| zones.iter().position(|z| *z == name)).unwrap_or(0);
        let (count, old) = (kinds.len(), new.rollout);
        let rollout =
            RolloutTerms { methods: method_terms, tenants: tenant_terms, kinds: count, zone, ..old };
        // A zone that the new terms do not name is a region of its own.
        let lone = |z: usize| zones.len() + z;
        let regions = (0..zones.len()).map(|z| kept_regions[z].unwrap_or(lone(z))).collect();
        self.directory.rename(&zones, &kinds);
        self.terms = Terms {
            places: new.places,
            bounds: new.bounds,
            rollout,
            methods,
            serves: new.serves,
            services: new.services,
            tenants,
            zones,
            regions,
            kinds,
        };
        self.offered = offered;
        self.policy.renew(&self.terms.rollout);
        if let Some(peers) = &mut self.peers {
            peers.resize(&self.terms);
        }
        Ok(())
    }
}
