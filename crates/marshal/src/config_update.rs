//! Replaces the config of a running marshal.

use ivydrift_policy::port::*;
use ivydrift_terms::{Config, Names};

use crate::Core;

/// Limit on method names over a marshal's lifetime: each name keeps its index until a restart, so memory
/// would grow with every config change. The limits are about four times the largest expected fleet (14,000
/// methods, 150,000 tenants); with new names in a quarter of 8,900 changes a day either is reached in weeks.
/// At the limits, names and settings take about 13 MB for methods and 26 MB for tenants.
pub(crate) const MAX_METHODS: usize = 65_536;
const MAX_TENANTS: usize = 600_000;
/// Limit on zone and on kind names. There are few of either, and evidence is kept by kind.
const MAX_ZONES_OR_KINDS: usize = 1000;

/// All known names, the earlier ones first, and for each the value that `new` gives it, if any.
fn merge_names<T>(known: &Names, new: &Names, values: Vec<T>) -> (Names, Vec<Option<T>>) {
    let (names, positions) = known.merged(new);
    let mut merged: Vec<Option<T>> = names.iter().map(|_| None).collect();
    positions.into_iter().zip(values).for_each(|(at, value)| merged[at] = Some(value));
    (names, merged)
}

fn to_strings(names: &Names) -> Vec<String> {
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
    pub fn reconfigure(&mut self, mut new: Config) -> Result<(), String> {
        let (current, restart_needed) =
            (&self.config, "it is fixed while a marshal runs: start another marshal with the new value");
        if new.rollout.marshal != current.rollout.marshal {
            let (from, to) = (current.rollout.marshal, new.rollout.marshal);
            return Err(format!("marshal.number cannot change from {from} to {to}; {restart_needed}"));
        }
        if new.addresses.listen != current.addresses.listen {
            let (from, to) = (current.addresses.listen, new.addresses.listen);
            return Err(format!("places.listen cannot change from {from} to {to}; {restart_needed}"));
        }
        let own_address = |t: &Config| t.addresses.peers.get(t.rollout.marshal).copied();
        if own_address(&new) != own_address(current) {
            return Err(format!(
                "the address of this marshal in places.peers cannot change; {restart_needed}"
            ));
        }
        if new.limits.worker_threads != current.limits.worker_threads {
            return Err(format!("bounds.workers cannot change; {restart_needed}"));
        }
        let zone_name = new.zones.get(new.rollout.zone).cloned();
        let (methods, kept_methods) =
            merge_names(&current.methods, &new.methods, std::mem::take(&mut new.rollout.methods));
        let (tenants, quotas) =
            merge_names(&current.tenants, &new.tenants, std::mem::take(&mut new.rollout.tenants));
        let names = |names: &[String]| names.iter().collect::<Names>();
        let (zones, kept_regions) = merge_names(&names(&current.zones), &names(&new.zones), new.regions);
        let (kinds, _) = names(&current.kinds).merged(&names(&new.kinds));
        let all = [("methods", &methods, MAX_METHODS), ("tenants", &tenants, MAX_TENANTS)];
        let zones_and_kinds = [("zones", &zones, MAX_ZONES_OR_KINDS), ("kinds", &kinds, MAX_ZONES_OR_KINDS)];
        for (what, names, limit) in all.into_iter().chain(zones_and_kinds) {
            if names.len() > limit {
                return Err(format!(
                    "more than {limit} distinct names of {what} since the start; restart this marshal"
                ));
            }
        }
        let method_enabled = kept_methods.iter().map(Option::is_some).collect();
        let old = current.rollout.methods.iter();
        let method_configs = kept_methods.into_iter().zip(old.map(Some).chain(std::iter::repeat(None)));
        let method_configs = method_configs.filter_map(|(new, old)| new.or(old.cloned())).collect();
        let none = TenantConfig { quota: 0.0, share: 0.0 };
        let tenant_configs = quotas.into_iter().map(|q| q.unwrap_or(none)).collect();
        let zone = zone_name.and_then(|name| zones.find(&name)).unwrap_or(0);
        let (kind_count, old) = (kinds.len(), new.rollout);
        let rollout = RolloutConfig {
            methods: method_configs,
            tenants: tenant_configs,
            kinds: kind_count,
            zone,
            ..old
        };
        // A zone that the new config does not name is a region of its own.
        let own_region = |z: usize| zones.len() + z;
        let regions = (0..zones.len()).map(|z| kept_regions[z].unwrap_or(own_region(z))).collect();
        let (zones, kinds) = (to_strings(&zones), to_strings(&kinds));
        self.config = Config {
            addresses: new.addresses,
            limits: new.limits,
            subset: new.subset,
            rollout,
            methods,
            method_services: new.method_services,
            services: new.services,
            tenants,
            zones,
            regions,
            kinds,
        };
        self.method_enabled = method_enabled;
        self.directory.reconfigure(&self.config);
        self.policy.reconfigure(&self.config.rollout);
        if let Some(peers) = &mut self.peers {
            peers.resize(&self.config);
        }
        Ok(())
    }
}
