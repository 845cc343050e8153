//! Maps node addresses to the policy's small indices, and turns complete node lists into changes.

mod part;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use ivydrift_policy::port::*;
use ivydrift_terms::Terms;
use ivydrift_wire::list::{Listed, State};

use crate::wall_clock::WallClock;
use part::Part;
pub use part::DEAD;

/// An index is reused for another address only after its node has been gone for this long, no pick at it can
/// be in flight and the rules' windows have passed: the policy keeps its accounting by index.
const REST: Duration = Duration::from_secs(120);

/// A listed node that was rejected or changed on reading.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejected {
    /// The node's address as listed.
    pub node: String,
    /// The problem, for the log.
    pub why: &'static str,
}

/// A node's start time from discovery, and its conversion when that time was first reported.
struct SaidStart {
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
    known: HashMap<SocketAddr, usize>,
    /// Number of ready nodes in it.
    ready: usize,
    /// The subset, where the policy knows only a part of the list.
    part: Option<Part>,
    sight: Sight,
    /// The config has changed since the policy was last told of nodes.
    terms_changed: bool,
    rest: Duration,
    /// Start time of each listed node.
    starts: HashMap<SocketAddr, SaidStart>,
    /// Draining and removed nodes with the time that was reported, kept for `rest`.
    withdrawn: HashMap<SocketAddr, Duration>,
    /// Indices whose nodes have gone, with the time.
    gone: VecDeque<(Duration, NodeIx)>,
    pub rejected: Vec<Rejected>,
    /// Addresses whose process has gone or been replaced according to the latest list.
    pub left_behind: Vec<SocketAddr>,
}

impl Directory {
    pub fn new(terms: &Terms) -> Self {
        Directory {
            listed: Vec::new(),
            known: HashMap::new(),
            ready: 0,
            part: Part::new(terms),
            sight: Sight::default(),
            terms_changed: false,
            rest: rest(terms),
            zones: terms.zones.clone(),
            kinds: terms.kinds.clone(),
            index: HashMap::new(),
            addrs: Vec::new(),
            entries: BTreeMap::new(),
            starts: HashMap::new(),
            withdrawn: HashMap::new(),
            gone: VecDeque::new(),
            rejected: Vec::new(),
            left_behind: Vec::new(),
        }
    }

    /// Takes a new config. Known zones and kinds keep their indices.
    pub fn renew(&mut self, terms: &Terms) {
        (self.zones, self.kinds, self.rest) = (terms.zones.clone(), terms.kinds.clone(), rest(terms));
        self.terms_changed = true;
        match (&mut self.part, Part::new(terms)) {
            (Some(part), Some(new)) => part.renew(new),
            (part, new) => *part = new,
        }
    }

    /// Addresses of all nodes that have an index.
    pub fn addrs(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.addrs.iter().copied()
    }

    pub fn addr(&self, node: NodeIx) -> Option<SocketAddr> {
        self.addrs.get(node).copied()
    }

    pub fn find(&self, addr: SocketAddr) -> Option<NodeIx> {
        self.index.get(&addr).copied()
    }

    /// Whether the list allows new work at this node.
    pub fn sendable(&self, addr: SocketAddr) -> bool {
        self.known.get(&addr).is_some_and(|at| self.listed[*at].1.readiness == Readiness::Ready)
    }

    /// When this node was reported as draining or removed; `None` if it is ready.
    pub fn withdrawn_at(&self, addr: SocketAddr) -> Option<Duration> {
        self.withdrawn.get(&addr).copied()
    }

    pub fn build(&self, node: NodeIx) -> Build {
        self.entries.get(&node).map_or(0, |e| e.build)
    }

    /// The complete node events for a policy that has been told nothing yet, with the given scope.
    pub fn whole(&self, scope: Scope) -> Vec<Event> {
        let present = self.entries.values().filter(|e| e.readiness != Readiness::Gone);
        let nodes = Event::Nodes { scope, nodes: present.copied().collect() };
        let sight = (self.sight != Sight::default()).then_some(Event::Sight(self.sight));
        sight.into_iter().chain([nodes]).collect()
    }

    /// Addresses of the nodes that the policy knows.
    pub fn held(&self) -> Vec<SocketAddr> {
        let present = self.entries.values().filter(|e| e.readiness != Readiness::Gone);
        present.map(|e| self.addrs[e.node]).collect()
    }

    /// Number of nodes that the policy knows, and number of listed nodes.
    pub fn counts(&self) -> (usize, usize) {
        let held = self.entries.values().filter(|e| e.readiness != Readiness::Gone).count();
        (held, self.listed.len())
    }

    /// Number of indices in use, those of removed nodes included.
    pub fn len(&self) -> usize {
        self.addrs.len()
    }

    pub fn ready(&self) -> usize {
        self.ready
    }

    /// The oldest build among the listed nodes.
    pub fn oldest(&self) -> Build {
        self.listed.iter().map(|(_, e)| e.build).min().unwrap_or(0)
    }

    fn place(&mut self, now: Duration, addr: SocketAddr) -> NodeIx {
        if let Some(&node) = self.index.get(&addr) {
            return node;
        }
        let rested = self.gone.front().is_some_and(|g| g.0 + self.rest <= now);
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

    /// Turns a complete list into the change since the last one. A node that is listed twice gets the more
    /// cautious value of each field: draining if either says so, the later build (which may be on trial) and
    /// the later start.
    pub fn take(&mut self, now: Duration, clock: &WallClock, listed: &[Listed]) -> Vec<Event> {
        self.rejected.clear();
        let mut fresh: Vec<(SocketAddr, NodeEntry)> = Vec::with_capacity(listed.len());
        let mut places = HashMap::with_capacity(listed.len());
        for one in listed {
            let Some(addr) = address(one) else {
                let why = "its address is not an IP address; host names are not resolved";
                self.rejected.push(Rejected { node: format!("{}:{}", one.host, one.port), why });
                continue;
            };
            let entry = self.entry(now, clock, addr, one);
            let at = *places.entry(addr).or_insert(fresh.len());
            if let Some((_, other)) = fresh.get_mut(at) {
                let why = "it is listed twice; the more cautious of the two entries is used";
                self.rejected.push(Rejected { node: addr.to_string(), why });
                if entry.readiness == Readiness::Draining {
                    other.readiness = Readiness::Draining;
                }
                other.build = other.build.max(entry.build);
                other.started = other.started.max(entry.started);
            } else {
                fresh.push((addr, entry));
            }
        }
        let said = listed.iter().filter_map(|one| Some((one.started_ms, address(one)?)));
        let said = said.filter_map(|(unix_ms, addr)| {
            let at = fresh[*places.get(&addr)?].1.started;
            Some((addr, SaidStart { unix_ms, at }))
        });
        self.starts = said.collect();
        self.ready = fresh.iter().filter(|(_, e)| e.readiness == Readiness::Ready).count();
        self.listed = fresh;
        let known = std::mem::replace(&mut self.known, places);
        self.note_withdrawn(now, &known);
        self.settle(now, Scope::Delta, &known)
    }

    /// Records since when previously listed nodes must not be sent to. `known`: the previous list.
    fn note_withdrawn(&mut self, now: Duration, known: &HashMap<SocketAddr, usize>) {
        let (listed, places) = (&self.listed, &self.known);
        let sendable = |addr: &SocketAddr| {
            places.get(addr).is_some_and(|at| listed[*at].1.readiness == Readiness::Ready)
        };
        self.withdrawn.retain(|addr, at| !sendable(addr) && now < *at + self.rest);
        for addr in known.keys().chain(places.keys()).filter(|addr| !sendable(addr)) {
            self.withdrawn.entry(*addr).or_insert(now);
        }
    }

    /// Recomputes the subset after changes of the marshal's RPC rate, of the dead marshals or of the config.
    /// Returns the events for the policy, in a scope that does not count as an answer of discovery.
    pub fn look(&mut self, now: Duration, taken: u64, dead: impl FnOnce() -> Vec<usize>) -> Vec<Event> {
        let news = self.part.as_mut().is_some_and(|part| part.look(now, taken, dead));
        if !std::mem::take(&mut self.terms_changed) && !news {
            return vec![];
        }
        let known = std::mem::take(&mut self.known);
        let events = self.settle(now, Scope::Local, &known);
        self.known = known;
        events
    }

    /// Produces the events for the nodes that the policy is to know. `scope`: where they come from. `known`:
    /// the previous list.
    fn settle(&mut self, now: Duration, scope: Scope, known: &HashMap<SocketAddr, usize>) -> Vec<Event> {
        let (index, entries) = (&self.index, &self.entries);
        let held = |addr: &SocketAddr| {
            let told = index.get(addr).and_then(|node| entries.get(node));
            told.is_some_and(|e| e.readiness != Readiness::Gone)
        };
        let drawn = self
            .part
            .as_mut()
            .map(|part| part.draw(now, &self.listed, |addr| !known.contains_key(addr) || held(addr)));
        let (held, sight) = drawn.map_or((None, Sight::default()), |(held, sight)| (Some(held), sight));
        let mut fresh: BTreeMap<NodeIx, NodeEntry> = BTreeMap::new();
        for at in 0..self.listed.len() {
            let (addr, entry) = self.listed[at];
            if held.as_ref().is_none_or(|held| held[at]) {
                let node = self.place(now, addr);
                fresh.insert(node, NodeEntry { node, ..entry });
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
        let mut events = Vec::new();
        if std::mem::replace(&mut self.sight, sight) != sight {
            events.push(Event::Sight(sight));
        }
        events.push(Event::Nodes { scope, nodes });
        events
    }

    /// Converts a list entry; its index is assigned later.
    fn entry(&self, now: Duration, clock: &WallClock, addr: SocketAddr, one: &Listed) -> NodeEntry {
        let position = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let said_before = self.starts.get(&addr).filter(|said| said.unix_ms == one.started_ms);
        // A start in the future comes from a clock that is ahead. Keep the known start if there is one, else
        // treat the node as just started.
        let read = || {
            one.started_ms.and_then(|ms| clock.past(now, ms)).map(|at| {
                let known = || {
                    let told = self.index.get(&addr).and_then(|node| self.entries.get(node));
                    told.or(self.known.get(&addr).map(|at| &self.listed[*at].1))?.started
                };
                let known = if at > now { known() } else { None };
                known.unwrap_or(at.min(now))
            })
        };
        // An unchanged start time means the same process, even if the clock has stepped since.
        let started = said_before.map_or_else(read, |said| said.at);
        let ip = match addr.ip() {
            std::net::IpAddr::V4(ip) => u64::from(ip.to_bits()),
            std::net::IpAddr::V6(ip) => (ip.to_bits() >> 64 ^ ip.to_bits()) as u64,
        };
        NodeEntry {
            node: NodeIx::MAX,
            name: ip << 16 | u64::from(addr.port()),
            kind: position(&self.kinds, &one.kind).unwrap_or(0),
            power: one.power,
            cell: one.cell.into(),
            // A zone that the config does not name is remote from all that it names.
            zone: position(&self.zones, &one.zone).unwrap_or(self.zones.len()),
            readiness: if one.state == State::Ready { Readiness::Ready } else { Readiness::Draining },
            started,
            build: one.build,
        }
    }
}

/// The node's socket address; `None` for a host name, as there is no DNS lookup here.
fn address(one: &Listed) -> Option<SocketAddr> {
    Some(SocketAddr::new(one.host.parse().ok()?, one.port))
}

fn rest(terms: &Terms) -> Duration {
    let deadlines = terms.rollout.methods.iter().map(|m| m.deadline);
    deadlines
        .chain([REST, terms.rollout.rules.fall_window, terms.rollout.release.window])
        .max()
        .unwrap_or(REST)
}
