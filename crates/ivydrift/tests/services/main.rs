//! Marshals as processes, each with many services, with faults between them. The tests check the answers, the
//! trace (by the auditor) and the marshals' logs.

#[allow(dead_code)] // Each test file uses some of it.
#[path = "../fleet/mod.rs"]
mod fleet;

mod idle_services;
mod incomplete_list;
mod made_up_names;
mod reload;
// Some of it is for future tests with subsets of nodes: a single marshal left, a partition.
mod changed_unserved;
#[allow(dead_code)]
mod service_fleet;
mod turnover;
mod zone_recovery;
