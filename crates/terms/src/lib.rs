//! The marshal's config: parses an HCL file into [`Config`] and reports all its errors at once. [`EXAMPLE`] is a valid
//! file; `docs/operators.md` explains each key.
#![forbid(unsafe_code)]

#[cfg(test)]
mod tests;

pub mod hcl_reader;
mod names;
pub mod services;
mod subset;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hcl_reader::{BlockReader, ConfigErrors, SourceFile};
use ivydrift_policy::admission;
use ivydrift_policy::port::*;
pub use names::Names;
pub use subset::SubsetConfig;

/// An example config: a single marshal that uses the default addresses of the simulated services.
pub const EXAMPLE: &str = include_str!("../example.hcl");

/// Network addresses that the marshal listens on or connects to.
#[derive(Clone, Debug, PartialEq)]
pub struct Addresses {
    /// Listens here for clients' RPCs.
    pub listen: SocketAddr,
    /// The node list (discovery).
    pub node_list: SocketAddr,
    /// Name of the service in the node list.
    pub service: String,
    /// The rollout controller.
    pub rollout_controller: SocketAddr,
    /// UDP addresses of all marshals by number, this one included. Empty if marshals do not exchange data.
    pub peers: Vec<SocketAddr>,
}

/// Limits on connections, memory and socket waits of the marshal's I/O layer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Concurrent client connections; further ones are closed on arrival.
    pub max_clients: usize,
    /// From this number of client connections on, each is closed after its answer, and idle ones are closed in favour of
    /// new ones.
    pub close_after_answer_above: usize,
    /// File descriptors the process may use. If set, idle clients are also closed to stay below it.
    pub max_descriptors: Option<usize>,
    /// The most memory in bytes held for peers together: connections, messages, answers. None: no bound but those of
    /// single messages and of `max_clients`.
    pub peer_memory_bytes: Option<usize>,
    /// Bodies of up to this many bytes are buffered so that the RPC can be retried. A longer body is streamed to the
    /// node, so the RPC is sent only once.
    pub buffered_body_bytes: usize,
    /// Longest accepted body of an RPC, in bytes.
    pub max_body_bytes: u64,
    /// Handshakes per second that the marshals together can absorb when all clients of this one reconnect.
    pub handshakes_per_s: usize,
    /// Time a client has to complete a message that it has begun.
    pub message_timeout: Duration,
    /// Idle client connections are closed after this time.
    pub client_idle_timeout: Duration,
    /// Time a new client has to send its first message completely; none: no such limit.
    pub first_message_timeout: Option<Duration>,
    /// Minimum idle time before a connection to a node is reused. A faulty node may send a second, late answer, which
    /// would be taken as the answer to the next RPC. Costs one more connection for each RPC within this time.
    pub reuse_delay: Duration,
    /// How long the server may hold a blocking query.
    pub list_query_wait: Duration,
    /// After this time the readiness check succeeds even without any node, so that a start-up that waits for the marshal
    /// can proceed; RPCs are pushed back until nodes are known.
    pub max_ready_delay: Option<Duration>,
    /// New clients are still accepted for this long after a stop was requested.
    pub accept_after_stop: Duration,
    /// Timeout for establishing a connection to a node.
    pub connect_timeout: Duration,
    /// Idle connections kept per node.
    pub max_idle_per_node: usize,
    /// Idle connections kept to all nodes together.
    pub max_idle_total: usize,
    /// The final answer is sent this long before the client's deadline.
    pub deadline_margin: Duration,
    /// Threads that run coroutines.
    pub worker_threads: usize,
}

impl Limits {
    /// Default limits for a process with `descriptors` file descriptors, which may use `memory` bytes. Clients may use those descriptors that are not needed by
    /// RPCs in progress (up to one more each, to a node) and idle connections to nodes. Clients that send one RPC and
    /// stay connected could fill a third of the descriptors and block new clients, so `close_after_answer_above` is a quarter.
    pub fn by_process(descriptors: usize, memory: Option<usize>, body: usize, connect: Duration) -> Limits {
        Limits {
            max_clients: descriptors,
            close_after_answer_above: descriptors / 4,
            max_descriptors: Some(descriptors),
            peer_memory_bytes: memory.map(admission::peer_memory_bytes),
            buffered_body_bytes: body,
            max_body_bytes: body as u64,
            handshakes_per_s: 2000,
            message_timeout: Duration::from_millis(2000),
            client_idle_timeout: Duration::from_millis(5000),
            first_message_timeout: Some(Duration::from_millis(2300)),
            reuse_delay: Duration::from_millis(20),
            list_query_wait: Duration::from_millis(3000),
            max_ready_delay: Some(Duration::from_secs(8)),
            accept_after_stop: Duration::from_millis(600),
            connect_timeout: connect,
            max_idle_per_node: 16,
            max_idle_total: descriptors / 8,
            deadline_margin: Duration::from_millis(20),
            worker_threads: 1,
        }
    }
}

/// The parsed and validated config of one marshal.
#[derive(Clone, Debug)]
pub struct Config {
    pub addresses: Addresses,
    pub limits: Limits,
    /// None: all listed nodes are used.
    pub subset: Option<SubsetConfig>,
    pub rollout: RolloutConfig,
    /// Names of methods, by the indices used in the policy. `tenants`, `zones` and `kinds` do the same for their kind.
    pub methods: Names,
    /// The service of each method. Methods without an entry belong to [`Addresses::service`].
    pub method_services: Vec<Arc<str>>,
    pub services: services::ServicesConfig,
    pub tenants: Names,
    pub zones: Vec<String>,
    /// Region index of each zone.
    pub regions: Vec<usize>,
    pub kinds: Vec<String>,
}

/// Network distance between two zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The same zone.
    SameZone,
    /// Another zone of the same region.
    SameRegion,
    /// Another region.
    OtherRegion,
}

impl Config {
    /// Returns the distance between two zones, given as indices into [`Config::zones`]. An index that is not in the config
    /// is far from all others.
    pub fn distance(&self, a: usize, b: usize) -> Distance {
        match (self.regions.get(a), self.regions.get(b)) {
            _ if a == b => Distance::SameZone,
            (Some(a), Some(b)) if a == b => Distance::SameRegion,
            _ => Distance::OtherRegion,
        }
    }
}

/// Parses a config. `file` is the name used in error messages.
///
/// # Errors
/// Returns all errors of the text, each with file, line, column and what to write instead.
pub fn parse(file: &str, text: &str) -> Result<Config, ConfigErrors> {
    SourceFile::new(file, text).read(from_hcl)
}

fn address(reader: &BlockReader, key: &str) -> SocketAddr {
    let form = "\"address:port\", as in \"127.0.0.1:7100\"";
    let parse_address = |text: &str| text.parse().ok();
    reader.parsed(key, None, form, parse_address).unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn from_hcl(top: &BlockReader) -> Config {
    let zones = top.strings("zones", Some(vec!["here".to_owned()]));
    let regions = regions(top, &zones);
    let kinds = top.strings("kinds", Some(vec!["plain".to_owned()]));
    let (marshal, marshals, zone, seed) = top.block("marshal", |block| {
        let marshals = block.integer("of", Some(1), 1..=10_000) as usize;
        let number = block.integer("number", Some(0), 0..=9_999) as usize;
        if number >= marshals {
            block.error(
                Some("number"),
                format!("number is {number}: write 0 to {}, for of = {marshals}", marshals - 1),
            );
        }
        let zone = block.string("zone", zones.first().map(String::as_str), "one of the zones");
        let index = zones.iter().position(|known| *known == zone);
        if index.is_none() {
            block.error(
                Some("zone"),
                format!("zone {zone:?} is not among zones: write one of {}", zones.join(", ")),
            );
        }
        (number, marshals, index.unwrap_or(0), block.integer("seed", Some(number as u64 + 1), 0..=u64::MAX))
    });
    let addresses = top.block("places", |block| {
        let peer = |text: &String| match text.parse() {
            Ok(addr) => Some(addr),
            Err(_) => {
                block.error(Some("peers"), format!("peers holds {text:?}: write \"address:port\" for each"));
                None
            }
        };
        let peers: Vec<SocketAddr> = block.strings("peers", Some(vec![])).iter().filter_map(peer).collect();
        if !peers.is_empty() && peers.len() != marshals {
            let message =
                format!("peers has {} addresses: write one for each of the {marshals} marshals", peers.len());
            block.error(Some("peers"), message);
        }
        Addresses {
            listen: address(block, "listen"),
            node_list: address(block, "node_list"),
            service: block.string("service", None, "the service's name in the node list"),
            rollout_controller: address(block, "release_desk"),
            peers,
        }
    });
    let methods = top.labelled_blocks("method", |name, block| {
        let value = method(block);
        (name.to_owned(), (value, services::of_method(block, &addresses.service)))
    });
    if methods.is_empty() {
        top.error(None, "no method is named: write at least one method \"its-path\" { ... }");
    }
    let tenants = top.labelled_blocks("tenant", |name, block| {
        let quota = block.number("quota", None, 0.0..=f64::INFINITY);
        (name.to_owned(), TenantConfig { quota, share: block.number("share", None, 0.0..=1.0) })
    });
    let limits = top.block("bounds", |block| Limits {
        max_clients: block.integer("clients", Some(10_000), 1..=1_000_000) as usize,
        close_after_answer_above: usize::MAX,
        max_descriptors: None,
        peer_memory_bytes: None,
        buffered_body_bytes: block.integer("body_kib", Some(64), 1..=16_384) as usize * 1024,
        max_body_bytes: block.integer("longest_body_kib", Some(65_536), 1..=1 << 30) * 1024,
        handshakes_per_s: block.integer("handshakes", Some(2000), 1..=1_000_000) as usize,
        message_timeout: block.duration("slow_client", Some(Duration::from_secs(10))),
        client_idle_timeout: block.duration("idle_client", Some(Duration::from_secs(300))),
        first_message_timeout: None,
        reuse_delay: Duration::ZERO,
        list_query_wait: Duration::from_secs(10),
        max_ready_delay: None,
        accept_after_stop: Duration::ZERO,
        connect_timeout: block.duration("connect", Some(Duration::from_millis(250))),
        max_idle_per_node: block.integer("idle_to_node", Some(64), 1..=10_000) as usize,
        max_idle_total: usize::MAX,
        deadline_margin: block.duration("reserve", Some(Duration::from_millis(20))),
        worker_threads: block.integer("workers", Some(2), 1..=256) as usize,
    });
    let policy_limits = top.block("limits", |block| LimitConfig {
        max_picks: block.integer("most_picks", Some(4), 1..=100) as usize,
        hedging: block.boolean("second_copies", Some(false)),
        cancel: block.boolean("cancel", Some(true)),
        probes: false,
        peers: !addresses.peers.is_empty(),
        idle_timeout: block.duration("idle_kept", Some(Duration::from_secs(30))),
        retry_after: Some(block.duration("retry_after", Some(Duration::from_secs(2))))
            .filter(|d| !d.is_zero()),
    });
    let rules = top.block("rules", rules);
    let release = top.block("release", |block| release(block, marshals));
    let names = methods.iter().map(|method| &method.0).collect();
    let (method_configs, method_services): (_, Vec<Arc<str>>) =
        methods.into_iter().map(|method| method.1).unzip();
    let services = services::parse(top, &addresses.service, &method_services);
    let subset = subset::subset(top, &zones, (marshal, marshals, zone));
    let (tenant_names, tenant_configs) =
        (tenants.iter().map(|tenant| &tenant.0).collect(), tenants.iter().map(|tenant| tenant.1).collect());
    let rollout = RolloutConfig {
        seed,
        marshal,
        marshals,
        zone,
        // A blocking query is a subscription that can fail, so the policy decides when to query again.
        polls_discovery: true,
        methods: method_configs,
        tenants: tenant_configs,
        over_share_utility: top.number("over_share_utility", Some(1.0), 0.0..=1.0),
        warm_keys: top.boolean("warm_keys", Some(false)),
        kinds: kinds.len(),
        release,
        rules,
        limits: policy_limits,
    };
    let (methods, tenants) = (names, tenant_names);
    Config {
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
    }
}

/// Reads the blocks `region "north" { zones = [...] }` into the region index of each zone. Without any such block all
/// zones are in one region.
fn regions(top: &BlockReader, zones: &[String]) -> Vec<usize> {
    let blocks = top.labelled_blocks("region", |name, block| (name.to_owned(), block.strings("zones", None)));
    let mut region_of: Vec<Option<usize>> = vec![None; zones.len()];
    for (region, (name, members)) in blocks.iter().enumerate() {
        for zone in members {
            match zones.iter().position(|known| known == zone) {
                Some(index) if region_of[index].is_none() => region_of[index] = Some(region),
                Some(_) => {
                    let message =
                        format!("zone {zone:?} is in two regions, {name:?} is the second: list it in one");
                    top.error(Some("zones"), message);
                }
                None => {
                    let message = format!(
                        "region {name:?} names zone {zone:?}, which is not among zones: write one of {}",
                        zones.join(", ")
                    );
                    top.error(Some("zones"), message);
                }
            }
        }
    }
    if !blocks.is_empty() {
        let unassigned: Vec<&str> = zones
            .iter()
            .zip(&region_of)
            .filter(|(_, region)| region.is_none())
            .map(|(zone, _)| &zone[..])
            .collect();
        if !unassigned.is_empty() {
            let message =
                format!("no region contains zone {}: list each zone in one region", unassigned.join(", "));
            top.error(Some("zones"), message);
        }
    }
    region_of.into_iter().map(|region| region.unwrap_or(0)).collect()
}

/// Reads the block `rules`.
pub fn rules(block: &BlockReader) -> RuleConfig {
    RuleConfig {
        drain_grace: block.duration("drain_grace", Some(Duration::from_secs(1))),
        cold_start_part: block.number("cold_from", Some(0.4), 0.01..=1.0),
        warm_up: block.duration("warm_within", Some(Duration::from_secs(5))),
        slow_start_multiple: block.number("fall_multiple", Some(3.0), 1.0..=1000.0),
        slow_start_window: block.duration("fall_window", Some(Duration::from_secs(1))),
        max_call_gap: block.duration("ask_within", Some(Duration::from_secs(10))),
        list_lease: None,
    }
}

/// Values of the key `repeat`: whether a method may run more than once.
#[derive(Clone, Copy, PartialEq)]
enum RepeatKind {
    Idempotent,
    Tokened,
    NonIdempotent,
}

/// Reads a `method` block.
pub fn method(block: &BlockReader) -> MethodConfig {
    let repeat_kinds = [
        ("idempotent", RepeatKind::Idempotent),
        ("tokened", RepeatKind::Tokened),
        ("non-idempotent", RepeatKind::NonIdempotent),
    ];
    let repeat = match block.one_of("repeat", None, &repeat_kinds) {
        RepeatKind::Idempotent => Repeat::Idempotent,
        RepeatKind::NonIdempotent => Repeat::NonIdempotent,
        RepeatKind::Tokened => {
            let groups = [("all", Group::All), ("zone", Group::Zone), ("cell", Group::Cell)];
            Repeat::Tokened {
                group: block.one_of("group", Some(Group::All), &groups),
                window: block.duration("window", None),
            }
        }
    };
    let (soft_deadline, deadline) = (block.duration("soft_deadline", None), block.duration("deadline", None));
    if soft_deadline > deadline {
        block.error(Some("soft_deadline"), "soft_deadline is after deadline: write at most the deadline");
    }
    if soft_deadline.is_zero() && block.has("soft_deadline") {
        block.error(Some("soft_deadline"), "soft_deadline is 0: write a duration over 0");
    }
    MethodConfig {
        repeat,
        soft_deadline,
        stretch: 0.0,
        deadline,
        utility: block.number("utility", Some(1.0), 0.0..=1e9),
        late_utility: block.number("late_utility", Some(0.0), 0.0..=1.0),
        streamed: block.boolean("streamed", Some(false)),
    }
}

/// Reads the block `release`. The default vote counts depend on the number of marshals.
pub fn release(block: &BlockReader, marshals: usize) -> ReleaseConfig {
    let shares = block.numbers("shares", Some(vec![0.1, 0.35, 1.0]), 0.0..=1.0);
    let caps = block.numbers("caps", Some(vec![0.14, 0.49, 1.0]), 0.0..=1.0);
    if shares.len() != caps.len() || shares.is_empty() {
        let message = format!(
            "caps has {} stages and shares has {}: write one of each for every stage",
            caps.len(),
            shares.len()
        );
        block.error(Some("caps"), message);
    }
    let marshals = marshals as u64;
    ReleaseConfig {
        control: block.one_of(
            "control",
            Some(Control::Votes),
            &[("votes", Control::Votes), ("clock", Control::Clock)],
        ),
        promote_votes: block.integer("on_votes", Some(marshals.div_ceil(2)), 1..=marshals) as usize,
        rollback_votes: block.integer("back_votes", Some(marshals.div_ceil(3)), 1..=marshals) as usize,
        shares,
        exposure_caps: caps,
        exposure_window: block.duration("window", Some(Duration::from_secs(3))),
        free_picks: block.number("free", Some(2.0), 0.0..=1e6),
        exposure_by_method: block.boolean("by_method", Some(false)),
        guarded_stages: block.integer("guarded_stages", Some(0), 0..=100) as usize,
        one_way: block.boolean("one_way", Some(false)),
        in_place: block.boolean("in_place", Some(false)),
        min_stage_time: block.duration("bake", Some(Duration::from_secs(1))),
        vote_life: block.duration("vote_life", Some(Duration::from_secs(4))),
        vote_wait: block.duration("vote_wait", Some(Duration::from_millis(800))),
        vote_rate: block.number("vote_rate", Some(80.0), 0.1..=1e6),
        flag_share: block.number("flag_share", Some(0.0), 0.0..=1.0),
    }
}
