//! Addresses of nodes to the small indices that the module knows, and whole lists to what has changed.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use ivydrift_policy::port::*;
use ivydrift_terms::Terms;
use ivydrift_wire::list::{Listed, State};

/// An index is given to another address no sooner than this after its node has gone: picks at it have ended.
const REST: Duration = Duration::from_secs(120);

/// A listed node that could not be taken as it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejected {
    pub node: String,
    pub why: &'static str,
}

pub struct Directory {
    zones: Vec<String>,
    kinds: Vec<String>,
    index: HashMap<SocketAddr, NodeIx>,
    addrs: Vec<SocketAddr>,
    entries: BTreeMap<NodeIx, NodeEntry>,
    /// Indices whose nodes have gone, and when.
    gone: VecDeque<(Duration, NodeIx)>,
    pub rejected: Vec<Rejected>,
    /// Addresses whose process has gone, or been followed by another, by the latest list.
    pub left_behind: Vec<SocketAddr>,
}

impl Directory {
    pub fn new(terms: &Terms) -> Self {
        Directory {
            zones: terms.zones.clone(),
            kinds: terms.kinds.clone(),
            index: HashMap::new(),
            addrs: Vec::new(),
            entries: BTreeMap::new(),
            gone: VecDeque::new(),
            rejected: Vec::new(),
            left_behind: Vec::new(),
        }
    }

    /// Zones and kinds by new names; those known keep their places.
    pub fn rename(&mut self, zones: &[String], kinds: &[String]) {
        (self.zones, self.kinds) = (zones.to_vec(), kinds.to_vec());
    }

    pub fn addr(&self, node: NodeIx) -> Option<SocketAddr> {
        self.addrs.get(node).copied()
    }

    pub fn find(&self, addr: SocketAddr) -> Option<NodeIx> {
        self.index.get(&addr).copied()
    }

    pub fn build(&self, node: NodeIx) -> Build {
        self.entries.get(&node).map_or(0, |e| e.build)
    }

    /// All that is listed now, for a module that has been told nothing yet.
    pub fn whole(&self) -> Event {
        let present = self.entries.values().filter(|e| e.readiness != Readiness::Gone);
        Event::Nodes { scope: Scope::Full, nodes: present.copied().collect() }
    }

    /// Indices given out, to nodes that have gone too.
    pub fn len(&self) -> usize {
        self.addrs.len()
    }

    pub fn ready(&self) -> usize {
        self.entries.values().filter(|e| e.readiness == Readiness::Ready).count()
    }

    /// The oldest build that a listed node runs.
    pub fn oldest(&self) -> Build {
        let present = self.entries.values().filter(|e| e.readiness != Readiness::Gone);
        present.map(|e| e.build).min().unwrap_or(0)
    }

    fn place(&mut self, now: Duration, addr: SocketAddr) -> NodeIx {
        if let Some(&node) = self.index.get(&addr) {
            return node;
        }
        let rested = self.gone.front().is_some_and(|g| g.0 + REST <= now);
        let node = match rested.then(|| self.gone.pop_front()).flatten() {
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

    /// A whole list as the change since the last one. A node listed twice counts as the more careful of both:
    /// draining if either says so, the later build (which may be on trial), the later start.
    pub fn take(&mut self, now: Duration, zero_ms: u64, listed: &[Listed]) -> Event {
        self.rejected.clear();
        let mut fresh: BTreeMap<NodeIx, NodeEntry> = BTreeMap::new();
        for one in listed {
            let Ok(ip) = one.host.parse::<std::net::IpAddr>() else {
                let why = "its address is no IP address: names are not looked up here";
                self.rejected.push(Rejected { node: format!("{}:{}", one.host, one.port), why });
                continue;
            };
            let node = self.place(now, SocketAddr::new(ip, one.port));
            let entry = self.entry(now, zero_ms, node, one);
            if let Some(other) = fresh.get_mut(&node) {
                let why = "it is listed twice: taken as the more careful of both";
                self.rejected.push(Rejected { node: format!("{ip}:{}", one.port), why });
                if entry.readiness == Readiness::Draining {
                    other.readiness = Readiness::Draining;
                }
                other.build = other.build.max(entry.build);
                other.started = other.started.max(entry.started);
            } else {
                fresh.insert(node, entry);
            }
        }
        let left = self.entries.values().filter(|e| !fresh.contains_key(&e.node));
        let left = left.filter(|e| e.readiness != Readiness::Gone);
        let left: Vec<NodeEntry> = left.map(|e| NodeEntry { readiness: Readiness::Gone, ..*e }).collect();
        self.gone.extend(left.iter().map(|e| (now, e.node)));
        self.gone.retain(|(_, node)| !fresh.contains_key(node));
        let differs = |e: &&NodeEntry| self.entries.get(&e.node) != Some(*e);
        let nodes: Vec<NodeEntry> = left.iter().chain(fresh.values().filter(differs)).copied().collect();
        let other = |e: &&NodeEntry| {
            let was = self.entries.get(&e.node).filter(|was| was.readiness != Readiness::Gone);
            let process = |e: &NodeEntry| (e.started, e.build);
            e.readiness == Readiness::Gone || was.is_some_and(|was| process(was) != process(e))
        };
        self.left_behind = nodes.iter().filter(other).map(|e| self.addrs[e.node]).collect();
        self.entries.extend(nodes.iter().map(|e| (e.node, *e)));
        Event::Nodes { scope: Scope::Delta, nodes }
    }

    fn entry(&self, now: Duration, zero_ms: u64, node: NodeIx, one: &Listed) -> NodeEntry {
        let position = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let start = |ms: u64| Some(Duration::from_millis(ms.checked_sub(zero_ms)?));
        // A start in the future is a clock that is ahead: the node is at least as young as can be.
        let started = one.started_ms.and_then(start).map(|at| {
            let known = self.entries.get(&node).and_then(|e| e.started).filter(|_| at > now);
            known.unwrap_or(at.min(now))
        });
        let addr = self.addrs[node];
        let ip = match addr.ip() {
            std::net::IpAddr::V4(ip) => u64::from(ip.to_bits()),
            std::net::IpAddr::V6(ip) => (ip.to_bits() >> 64 ^ ip.to_bits()) as u64,
        };
        NodeEntry {
            node,
            name: ip << 16 | u64::from(addr.port()),
            kind: position(&self.kinds, &one.kind).unwrap_or(0),
            power: one.power,
            cell: one.cell.into(),
            // A zone that the terms do not name is far from all that they do.
            zone: position(&self.zones, &one.zone).unwrap_or(self.zones.len()),
            readiness: if one.state == State::Ready { Readiness::Ready } else { Readiness::Draining },
            started,
            build: one.build,
        }
    }
}
