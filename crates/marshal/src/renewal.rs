//! Replaces the config of a running marshal.

use ivydrift_policy::port::*;
use ivydrift_terms::{Names, Terms};

use crate::Core;

/// Limit on method names over a marshal's lifetime: each name keeps its index until a restart, so memory
/// would grow with every config change. The limits are about four times the largest expected fleet (14,000
/// methods, 150,000 tenants); with new names in a quarter of 8,900 changes a day either is reached in weeks.
/// At the limits, names and settings take about 13 MB for methods and 26 MB for tenants.
pub(crate) const MOST_METHODS: usize = 65_536;
const MOST_TENANTS: usize = 600_000;
/// Limit on zone and on kind names. There are few of either, and evidence is kept by kind.
const MOST_PLACES: usize = 1000;

/// All known names, the earlier ones first, and for each the value that `new` gives it, if any.
fn merged<T>(known: &Names, new: &Names, values: Vec<T>) -> (Names, Vec<Option<T>>) {
    let (names, places) = known.with(new);
    let mut kept: Vec<Option<T>> = names.iter().map(|_| None).collect();
    places.into_iter().zip(values).for_each(|(at, value)| kept[at] = Some(value));
    (names, kept)
}

fn listed(names: &Names) -> Vec<String> {
    names.iter().map(str::to_owned).collect()
}

impl Core {
    /// Replaces the config while running. RPCs in flight and their picks continue, and the policy keeps what
    /// it knows of nodes and builds and the accounting of its rules. A method that the new config leaves out
    /// accepts no more RPCs; those in flight end normally. Renewing with the earlier config reverts the
    /// change.
    ///
    /// # Errors
    /// Names the setting that cannot change without a restart; then nothing has changed.
    pub fn renew(&mut self, mut new: Terms) -> Result<(), String> {
        let (now, fixed) =
            (&self.terms, "it is fixed while a marshal runs: start another marshal with the new value");
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
            return Err(format!("the address of this marshal in places.peers cannot change; {fixed}"));
        }
        if new.bounds.workers != now.bounds.workers {
            return Err(format!("bounds.workers cannot change; {fixed}"));
        }
        let here = new.zones.get(new.rollout.zone).cloned();
        let (methods, kept) = merged(&now.methods, &new.methods, std::mem::take(&mut new.rollout.methods));
        let (tenants, quotas) = merged(&now.tenants, &new.tenants, std::mem::take(&mut new.rollout.tenants));
        let names = |names: &[String]| names.iter().collect::<Names>();
        let (zones, kept_regions) = merged(&names(&now.zones), &names(&new.zones), new.regions);
        let (kinds, _) = names(&now.kinds).with(&names(&new.kinds));
        let all = [("methods", &methods, MOST_METHODS), ("tenants", &tenants, MOST_TENANTS)];
        let places = [("zones", &zones, MOST_PLACES), ("kinds", &kinds, MOST_PLACES)];
        for (what, names, most) in all.into_iter().chain(places) {
            if names.len() > most {
                return Err(format!(
                    "more than {most} distinct names of {what} since the start; restart this marshal"
                ));
            }
        }
        let offered = kept.iter().map(Option::is_some).collect();
        let old = now.rollout.methods.iter();
        let method_terms = kept.into_iter().zip(old.map(Some).chain(std::iter::repeat(None)));
        let method_terms = method_terms.filter_map(|(new, old)| new.or(old.cloned())).collect();
        let none = TenantTerms { quota: 0.0, share: 0.0 };
        let tenant_terms = quotas.into_iter().map(|q| q.unwrap_or(none)).collect();
        let zone = here.and_then(|name| zones.find(&name)).unwrap_or(0);
        let (count, old) = (kinds.len(), new.rollout);
        let rollout =
            RolloutTerms { methods: method_terms, tenants: tenant_terms, kinds: count, zone, ..old };
        // A zone that the new config does not name is a region of its own.
        let lone = |z: usize| zones.len() + z;
        let regions = (0..zones.len()).map(|z| kept_regions[z].unwrap_or(lone(z))).collect();
        let (zones, kinds) = (listed(&zones), listed(&kinds));
        self.terms = Terms {
            places: new.places,
            bounds: new.bounds,
            subset: new.subset,
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
        self.directory.renew(&self.terms);
        self.policy.renew(&self.terms.rollout);
        if let Some(peers) = &mut self.peers {
            peers.resize(&self.terms);
        }
        Ok(())
    }
}
