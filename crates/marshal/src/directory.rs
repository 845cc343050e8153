//! Maps node addresses to the policy's small indices, and turns complete node lists into changes.

mod subset;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use ivydrift_policy::port::*;
use ivydrift_terms::Config;
use ivydrift_wire::list::{ListedNode, State};

use crate::wall_clock::WallClock;
use subset::Subset;
pub use subset::DEAD_AFTER;

/// An index is reused for another address only after its node has been gone for this long, no pick at it can
/// be in flight and the rules' windows have passed: the policy keeps its accounting by index.
const MIN_INDEX_REUSE_DELAY: Duration = Duration::from_secs(120);

/// A listed node that was rejected or changed on reading.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejected {
    /// The node's address as listed.
    pub node: String,
    /// The problem, for the log.
    pub why: &'static str,
}

/// A node's start time from discovery, and its conversion when that time was first reported.
struct ReportedStart {
    unix_ms: Option<u64>,
    at: Option<Duration>,
}

/// Node list, index table and subset of one service.
pub struct Directory {
    zones: Vec<String>,
    kinds: Vec<String>,
    index: HashMap<SocketAddr, NodeIx>,
    addrs: Vec<SocketAddr>,
    /// What the policy was told of each node.
    entries: BTreeMap<NodeIx, NodeEntry>,
    /// All nodes of the latest list, in its order; `known` holds the position of each address.
    listed: Vec<(SocketAddr, NodeEntry)>,
    positions: HashMap<SocketAddr, usize>,
    /// Number of ready nodes in it.
    ready: usize,
    /// The subset, where the policy knows only a part of the list.
    subset: Option<Subset>,
    coverage: ListCoverage,
    /// The config has changed since the policy was last told of nodes.
    config_changed: bool,
    reuse_delay: Duration,
    /// Start time of each listed node.
    starts: HashMap<SocketAddr, ReportedStart>,
    /// Draining and removed nodes with the time that was reported, kept for `reuse_delay`.
    withdrawn: HashMap<SocketAddr, Duration>,
    /// Indices whose nodes have gone, with the time.
    gone: VecDeque<(Duration, NodeIx)>,
    pub rejected: Vec<Rejected>,
    /// Addresses whose process has gone or been replaced according to the latest list.
    pub obsolete_addrs: Vec<SocketAddr>,
}

impl Directory {
    pub fn new(config: &Config) -> Self {
        Directory {
            listed: Vec::new(),
            positions: HashMap::new(),
            ready: 0,
            subset: Subset::new(config),
            coverage: ListCoverage::default(),
            config_changed: false,
            reuse_delay: reuse_delay(config),
            zones: config.zones.clone(),
            kinds: config.kinds.clone(),
            index: HashMap::new(),
            addrs: Vec::new(),
            entries: BTreeMap::new(),
            starts: HashMap::new(),
            withdrawn: HashMap::new(),
            gone: VecDeque::new(),
            rejected: Vec::new(),
            obsolete_addrs: Vec::new(),
        }
    }

    /// Takes a new config. Known zones and kinds keep their indices.
    pub fn reconfigure(&mut self, config: &Config) {
        (self.zones, self.kinds, self.reuse_delay) =
            (config.zones.clone(), config.kinds.clone(), reuse_delay(config));
        self.config_changed = true;
        match (&mut self.subset, Subset::new(config)) {
            (Some(subset), Some(new)) => subset.reconfigure(new),
            (subset, new) => *subset = new,
        }
    }

    /// Addresses of all nodes that have an index.
    pub fn addrs(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.addrs.iter().copied()
    }

    pub fn addr(&self, node: NodeIx) -> Option<SocketAddr> {
        self.addrs.get(node).copied()
    }

    pub fn index_of(&self, addr: SocketAddr) -> Option<NodeIx> {
        self.index.get(&addr).copied()
    }

    /// Whether the list allows new work at this node.
    pub fn sendable(&self, addr: SocketAddr) -> bool {
        self.positions.get(&addr).is_some_and(|at| self.listed[*at].1.readiness == Readiness::Ready)
    }

    /// When this node was reported as draining or removed; `None` if it is ready.
    pub fn withdrawn_at(&self, addr: SocketAddr) -> Option<Duration> {
        self.withdrawn.get(&addr).copied()
    }

    pub fn build(&self, node: NodeIx) -> Build {
        self.entries.get(&node).map_or(0, |e| e.build)
    }

    /// The complete node events for a policy that has been told nothing yet, with the given scope.
    pub fn snapshot(&self, update: ListUpdate) -> Vec<Event> {
        let present = self.entries.values().filter(|e| e.readiness != Readiness::Gone);
        let nodes = Event::Nodes { update, nodes: present.copied().collect() };
        let coverage =
            (self.coverage != ListCoverage::default()).then_some(Event::ListCoverage(self.coverage));
        coverage.into_iter().chain([nodes]).collect()
    }

    /// Addresses of the nodes that the policy knows.
    pub fn known_addrs(&self) -> Vec<SocketAddr> {
        let present = self.entries.values().filter(|e| e.readiness != Readiness::Gone);
        present.map(|e| self.addrs[e.node]).collect()
    }

    /// Number of nodes that the policy knows, and number of listed nodes.
    pub fn counts(&self) -> (usize, usize) {
        let known = self.entries.values().filter(|e| e.readiness != Readiness::Gone).count();
        (known, self.listed.len())
    }

    /// Number of indices in use, those of removed nodes included.
    pub fn len(&self) -> usize {
        self.addrs.len()
    }

    pub fn ready(&self) -> usize {
        self.ready
    }

    /// The oldest build among the listed nodes.
    pub fn oldest_build(&self) -> Build {
        self.listed.iter().map(|(_, e)| e.build).min().unwrap_or(0)
    }

    fn index_for(&mut self, now: Duration, addr: SocketAddr) -> NodeIx {
        if let Some(&node) = self.index.get(&addr) {
            return node;
        }
        let reusable = self.gone.front().is_some_and(|g| g.0 + self.reuse_delay <= now);
        let node = match reusable.then(|| self.gone.pop_front()).flatten() {
            Some((_, node)) => {
                self.index.remove(&self.addrs[node]);
                self.entries.remove(&node);
                self.addrs[node] = addr;
                node
            }
            None => {
                self.addrs.push(addr);
                self.addrs.len() - 1
            }
        };
        self.index.insert(addr, node);
        node
    }

    /// Turns a complete list into the change since the last one. A node that is listed twice gets the more
    /// cautious value of each field: draining if either says so, the later build (which may be on trial) and
    /// the later start.
    pub fn apply_list(&mut self, now: Duration, clock: &WallClock, listed: &[ListedNode]) -> Vec<Event> {
        self.rejected.clear();
        let mut current: Vec<(SocketAddr, NodeEntry)> = Vec::with_capacity(listed.len());
        let mut positions = HashMap::with_capacity(listed.len());
        for listed_node in listed {
            let Some(addr) = address(listed_node) else {
                let why = "its address is not an IP address; host names are not resolved";
                self.rejected
                    .push(Rejected { node: format!("{}:{}", listed_node.host, listed_node.port), why });
                continue;
            };
            let entry = self.entry(now, clock, addr, listed_node);
            let at = *positions.entry(addr).or_insert(current.len());
            if let Some((_, earlier)) = current.get_mut(at) {
                let why = "it is listed twice; the more cautious of the two entries is used";
                self.rejected.push(Rejected { node: addr.to_string(), why });
                if entry.readiness == Readiness::Draining {
                    earlier.readiness = Readiness::Draining;
                }
                earlier.build = earlier.build.max(entry.build);
                earlier.started = earlier.started.max(entry.started);
            } else {
                current.push((addr, entry));
            }
        }
        let reported =
            listed.iter().filter_map(|listed_node| Some((listed_node.started_ms, address(listed_node)?)));
        let reported = reported.filter_map(|(unix_ms, addr)| {
            let at = current[*positions.get(&addr)?].1.started;
            Some((addr, ReportedStart { unix_ms, at }))
        });
        self.starts = reported.collect();
        self.ready = current.iter().filter(|(_, e)| e.readiness == Readiness::Ready).count();
        self.listed = current;
        let previous = std::mem::replace(&mut self.positions, positions);
        self.record_withdrawn(now, &previous);
        self.emit_changes(now, ListUpdate::Delta, &previous)
    }

    /// Records since when previously listed nodes must not be sent to. `previous`: the previous list.
    fn record_withdrawn(&mut self, now: Duration, previous: &HashMap<SocketAddr, usize>) {
        let (listed, positions) = (&self.listed, &self.positions);
        let sendable = |addr: &SocketAddr| {
            positions.get(addr).is_some_and(|at| listed[*at].1.readiness == Readiness::Ready)
        };
        self.withdrawn.retain(|addr, at| !sendable(addr) && now < *at + self.reuse_delay);
        for addr in previous.keys().chain(positions.keys()).filter(|addr| !sendable(addr)) {
            self.withdrawn.entry(*addr).or_insert(now);
        }
    }

    /// Recomputes the subset after changes of the marshal's RPC rate, of the dead marshals or of the config.
    /// Returns the events for the policy, in an update that does not count as an answer of discovery.
    pub fn refresh_subset(
        &mut self, now: Duration, taken: u64, dead: impl FnOnce() -> Vec<usize>,
    ) -> Vec<Event> {
        let changed = self.subset.as_mut().is_some_and(|subset| subset.refresh(now, taken, dead));
        if !std::mem::take(&mut self.config_changed) && !changed {
            return vec![];
        }
        let previous = std::mem::take(&mut self.positions);
        let events = self.emit_changes(now, ListUpdate::Local, &previous);
        self.positions = previous;
        events
    }

    /// Produces the events for the nodes that the policy is to know. `update`: where they come from.
    /// `previous`: the previous list.
    fn emit_changes(
        &mut self, now: Duration, update: ListUpdate, previous: &HashMap<SocketAddr, usize>,
    ) -> Vec<Event> {
        let (index, entries) = (&self.index, &self.entries);
        let is_known = |addr: &SocketAddr| {
            let entry = index.get(addr).and_then(|node| entries.get(node));
            entry.is_some_and(|e| e.readiness != Readiness::Gone)
        };
        let selected = self.subset.as_mut().map(|subset| {
            subset.select(now, &self.listed, |addr| !previous.contains_key(addr) || is_known(addr))
        });
        let (in_subset, coverage) = selected
            .map_or((None, ListCoverage::default()), |(in_subset, coverage)| (Some(in_subset), coverage));
        let mut current: BTreeMap<NodeIx, NodeEntry> = BTreeMap::new();
        for at in 0..self.listed.len() {
            let (addr, entry) = self.listed[at];
            if in_subset.as_ref().is_none_or(|in_subset| in_subset[at]) {
                let node = self.index_for(now, addr);
                current.insert(node, NodeEntry { node, ..entry });
            }
        }
        let removed = self.entries.values().filter(|e| !current.contains_key(&e.node));
        let removed = removed.filter(|e| e.readiness != Readiness::Gone);
        let removed: Vec<NodeEntry> =
            removed.map(|e| NodeEntry { readiness: Readiness::Gone, ..*e }).collect();
        self.gone.extend(removed.iter().map(|e| (now, e.node)));
        self.gone.retain(|(_, node)| !current.contains_key(node));
        let is_changed = |e: &&NodeEntry| self.entries.get(&e.node) != Some(*e);
        let nodes: Vec<NodeEntry> =
            removed.iter().chain(current.values().filter(is_changed)).copied().collect();
        let is_obsolete = |e: &&NodeEntry| {
            let before = self.entries.get(&e.node).filter(|before| before.readiness != Readiness::Gone);
            let process = |e: &NodeEntry| (e.started, e.build);
            e.readiness == Readiness::Gone || before.is_some_and(|before| process(before) != process(e))
        };
        self.obsolete_addrs = nodes.iter().filter(is_obsolete).map(|e| self.addrs[e.node]).collect();
        self.entries.extend(nodes.iter().map(|e| (e.node, *e)));
        let mut events = Vec::new();
        if std::mem::replace(&mut self.coverage, coverage) != coverage {
            events.push(Event::ListCoverage(coverage));
        }
        events.push(Event::Nodes { update, nodes });
        events
    }

    /// Converts a list entry; its index is assigned later.
    fn entry(
        &self, now: Duration, clock: &WallClock, addr: SocketAddr, listed_node: &ListedNode,
    ) -> NodeEntry {
        let position = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let reported_before =
            self.starts.get(&addr).filter(|reported| reported.unix_ms == listed_node.started_ms);
        // A start in the future comes from a clock that is ahead. Keep the known start if there is one, else
        // treat the node as just started.
        let read = || {
            listed_node.started_ms.and_then(|ms| clock.to_past_time(now, ms)).map(|at| {
                let known_start = || {
                    let entry = self.index.get(&addr).and_then(|node| self.entries.get(node));
                    entry.or(self.positions.get(&addr).map(|at| &self.listed[*at].1))?.started
                };
                let known_start = if at > now { known_start() } else { None };
                known_start.unwrap_or(at.min(now))
            })
        };
        // An unchanged start time means the same process, even if the clock has stepped since.
        let started = reported_before.map_or_else(read, |reported| reported.at);
        let ip = match addr.ip() {
            std::net::IpAddr::V4(ip) => u64::from(ip.to_bits()),
            std::net::IpAddr::V6(ip) => (ip.to_bits() >> 64 ^ ip.to_bits()) as u64,
        };
        NodeEntry {
            node: NodeIx::MAX,
            address_hash: ip << 16 | u64::from(addr.port()),
            kind: position(&self.kinds, &listed_node.kind).unwrap_or(0),
            power: listed_node.power,
            cell: listed_node.cell.into(),
            // A zone that the config does not name is remote from all that it names.
            zone: position(&self.zones, &listed_node.zone).unwrap_or(self.zones.len()),
            readiness: if listed_node.state == State::Ready { Readiness::Ready } else { Readiness::Draining },
            started,
            build: listed_node.build,
        }
    }
}

/// The node's socket address; `None` for a host name, as there is no DNS lookup here.
fn address(listed_node: &ListedNode) -> Option<SocketAddr> {
    Some(SocketAddr::new(listed_node.host.parse().ok()?, listed_node.port))
}

fn reuse_delay(config: &Config) -> Duration {
    let deadlines = config.rollout.methods.iter().map(|m| m.deadline);
    deadlines
        .chain([
            MIN_INDEX_REUSE_DELAY,
            config.rollout.rules.slow_start_window,
            config.rollout.release.exposure_window,
        ])
        .max()
        .unwrap_or(MIN_INDEX_REUSE_DELAY)
}
