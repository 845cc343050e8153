//! Failure cases on real sockets: misbehaving clients, nodes and discovery, and limits and stalls of the
//! machine.

mod bodies;
mod clients;
mod departures;
mod discovery_faults;
mod faulty_discovery;
mod machine;
mod membership;
mod nodes;
mod platform;
mod platform_scene;
mod process;
mod races;
mod scene;
