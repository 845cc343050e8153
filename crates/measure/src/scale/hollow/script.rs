//! Script of a fleet's environment over time: node list, rollout controller and RPCs. Hollow marshals and
//! real processes use the same script.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use ivydrift_terms::Config;
use ivydrift_wire::controller::{ControllerCounts, RolloutState, RolloutUpdate, Stage, Vote};
use ivydrift_wire::http::HeadWriter;
use ivydrift_wire::list::{self, ListedNode, State};

use crate::scale::core_harness::{method_name, node_entry, ZERO_MS};
use crate::scale::{Error, ZONES};

/// Long-poll times with which the shell asks the node list and the rollout controller.
pub const LIST_POLL_TIMEOUT: Duration = Duration::from_secs(10);
pub const NEWS_POLL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a node takes for an RPC.
pub const SERVICE_TIME: Duration = Duration::from_millis(2);
const METHODS: usize = 5;

/// A script; times count from the fleet's start.
#[derive(Clone, Debug)]
pub struct Script {
    pub marshals: usize,
    /// The node list at the start.
    pub nodes: Vec<ListedNode>,
    /// RPCs per second of one marshal, and their start.
    pub rate: f64,
    pub rpcs_start: Duration,
    /// Interval of node list changes: a node starts to drain, or returns.
    pub change_interval: Duration,
    /// Interval of new sums of the rollout controller.
    pub sums_interval: Duration,
    /// Time from which an eighth of the nodes runs build 2, on trial.
    pub trial_start: Duration,
    /// Whether to accept a list that the shell rejects for its length, to measure its cost.
    pub accept_oversized: bool,
    /// Unix time, in milliseconds, one day before the fleet's start.
    pub zero_ms: u64,
    /// Whether the marshals are peers of one another.
    pub peers: bool,
}

/// Addresses for a marshal's config.
#[derive(Clone, Copy, Debug)]
pub struct Addresses<'a> {
    pub listen: SocketAddr,
    pub list: SocketAddr,
    pub controller: SocketAddr,
    pub peers: &'a [SocketAddr],
}

impl Script {
    /// A script without RPCs and trial for this many marshals and nodes.
    pub fn new(marshals: usize, nodes: usize) -> Script {
        Script {
            marshals,
            nodes: (0..nodes).map(node_entry).collect(),
            rate: 0.0,
            rpcs_start: Duration::from_secs(3),
            change_interval: Duration::from_secs(20),
            sums_interval: Duration::from_secs(2),
            trial_start: Duration::MAX,
            accept_oversized: false,
            zero_ms: ZERO_MS,
            peers: true,
        }
    }

    /// The zone of a marshal.
    pub fn zone(&self, marshal: usize) -> usize {
        marshal * ZONES / self.marshals.max(1)
    }

    /// The config file of one marshal.
    pub fn config_text(&self, number: usize, addresses: &Addresses) -> String {
        let quoted =
            |values: Vec<String>| values.iter().map(|t| format!("\"{t}\"")).collect::<Vec<_>>().join(", ");
        let zones = quoted((0..ZONES).map(|z| format!("zone-{z}")).collect());
        let peers = quoted(addresses.peers.iter().map(SocketAddr::to_string).collect());
        let (of, zone) = (self.marshals, self.zone(number));
        let mut text = format!(
            "zones = [{zones}]\nkinds = [\"full-1c\"]\n\
             marshal {{\n  number = {number}\n  of = {of}\n  zone = \"zone-{zone}\"\n}}\n\
             places {{\n  listen = \"{}\"\n  node_list = \"{}\"\n  service = \"shop\"\n  release_desk = \"{}\"\n  \
             peers = [{peers}]\n}}\nbounds {{\n  workers = 1\n}}\n",
            addresses.listen, addresses.list, addresses.controller
        );
        for pair in 0..ZONES / 2 {
            let (a, b) = (2 * pair, 2 * pair + 1);
            let _ = writeln!(text, "region \"region-{pair}\" {{\n  zones = [\"zone-{a}\", \"zone-{b}\"]\n}}");
        }
        for n in 0..METHODS {
            let _ = writeln!(
                text,
                "method \"{}\" {{\n  repeat = \"idempotent\"\n  soft_deadline = \"800ms\"\n  deadline = \"3s\"\n}}",
                method_name(n)
            );
        }
        text
    }

    /// A function that returns the config of each marshal. It clones the first marshal's config, since a
    /// parsed file per marshal would hold the whole peer list again.
    ///
    /// # Errors
    /// If the config is invalid.
    pub fn configs(&self) -> Result<impl Fn(usize) -> Config + '_, Error> {
        let at = |n: usize| SocketAddr::from(([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 7100));
        let peers: Vec<SocketAddr> = (0..self.marshals).filter(|_| self.peers).map(at).collect();
        let addresses =
            Addresses { listen: at(0), list: at(1 << 17), controller: at(1 << 18), peers: &peers };
        let first = ivydrift_terms::parse("hollow.hcl", &self.config_text(0, &addresses))
            .map_err(|e| e.to_string())?;
        Ok(move |n: usize| {
            let mut config = first.clone();
            config.addresses.listen = at(n);
            (config.rollout.marshal, config.rollout.seed) = (n, n as u64 + 1);
            config.rollout.zone = self.zone(n);
            config
        })
    }

    /// The method of an RPC.
    pub fn method_name(&self, rpc: u64) -> String {
        method_name(rpc as usize % METHODS)
    }

    /// Number of node list changes so far, without the one of the trial.
    fn changes_so_far(&self, at: Duration) -> u64 {
        (at.as_nanos() / self.change_interval.as_nanos().max(1)) as u64
    }

    /// The index of the node list at this time.
    pub fn list_index(&self, at: Duration) -> u64 {
        1 + self.changes_so_far(at) + u64::from(at >= self.trial_start)
    }

    /// Time of the next node list change.
    pub fn next_list_change(&self, at: Duration) -> Duration {
        let turn = self.change_interval.saturating_mul(self.changes_so_far(at) as u32 + 1);
        if at < self.trial_start {
            turn.min(self.trial_start)
        } else {
            turn
        }
    }

    /// The node list at this time.
    pub fn list(&self, at: Duration) -> Vec<ListedNode> {
        let (mut nodes, turns, count) =
            (self.nodes.clone(), self.changes_so_far(at), self.nodes.len().max(1));
        let since = |change: u64| {
            Some(self.zero_ms + 86_400_000 + (self.change_interval.as_millis() as u64) * change)
        };
        // Each node changes twice: it drains, then returns as a process that has just started.
        for turn in 1..=turns {
            let node_entry = &mut nodes[(turn as usize - 1) / 2 % count];
            if turn % 2 == 1 {
                node_entry.state = State::Draining;
            } else {
                (node_entry.state, node_entry.started_ms) = (State::Ready, since(turn));
            }
        }
        if at >= self.trial_start {
            let trial = self.zero_ms + 86_400_000 + self.trial_start.as_millis() as u64;
            for node_entry in nodes.iter_mut().step_by(8) {
                (node_entry.build, node_entry.started_ms) = (2, node_entry.started_ms.max(Some(trial)));
            }
        }
        nodes
    }

    /// The rollout stage at this time.
    pub fn stage(&self, at: Duration) -> Stage {
        if at >= self.trial_start {
            let age_ms = (at - self.trial_start).as_millis() as u64;
            return Stage { build: 2, stage: 0, course: RolloutState::OnTrial, cap: 0.14, age_ms };
        }
        Stage { build: 1, stage: 2, course: RolloutState::Released, cap: 1.0, age_ms: 90_000 }
    }

    /// The index of the rollout controller's state at this time.
    pub fn news_index(&self, at: Duration) -> u64 {
        1 + (at.as_nanos() / self.sums_interval.as_nanos().max(1)) as u64 + u64::from(at >= self.trial_start)
    }

    /// Time of the next change of the rollout controller's state.
    pub fn next_news_change(&self, at: Duration) -> Duration {
        let next = self
            .sums_interval
            .saturating_mul((at.as_nanos() / self.sums_interval.as_nanos().max(1)) as u32 + 1);
        if at < self.trial_start {
            next.min(self.trial_start)
        } else {
            next
        }
    }

    /// The rollout controller's state at this time.
    pub fn rollout_update(&self, at: Duration) -> RolloutUpdate {
        let builds = if at >= self.trial_start { 2 } else { 1 };
        let sums = |build: u32| {
            (0..METHODS).map(move |m| ControllerCounts {
                build,
                method: method_name(m),
                picks: 400,
                failed: 1,
                mean_ms: 2.5,
                age_ms: 500,
            })
        };
        let sums = (1..=builds).flat_map(sums).collect();
        RolloutUpdate { index: self.news_index(at), stage: Some(self.stage(at)), sums, disputed: vec![] }
    }
}

/// The head of a request as the shell writes it; `body` is the length of its body.
pub fn request_head(http_method: &str, path: &str, number: usize, body: usize) -> Vec<u8> {
    HeadWriter::request(http_method, path)
        .field("host", "127.0.0.1:30001")
        .field("user-agent", format!("ivydrift/{} marshal-{number}", env!("CARGO_PKG_VERSION")))
        .field("content-length", body.to_string())
        .field("content-type", "application/json")
        .finish()
}

/// A request to the node list.
pub fn list_request(number: usize, index: u64) -> Vec<u8> {
    request_head("GET", &list::query_target("shop", index, LIST_POLL_TIMEOUT.as_secs()), number, 0)
}

/// A request to the rollout controller.
pub fn news_request(number: usize, index: u64) -> Vec<u8> {
    let path = format!("/v1/stage?index={index}&wait={}s&marshal={number}", NEWS_POLL_TIMEOUT.as_secs());
    request_head("GET", &path, number, 0)
}

/// A vote to the rollout controller, with its body.
pub fn vote_request(number: usize, vote: &Vote) -> Vec<u8> {
    let body = ivydrift_wire::controller::write(vote);
    [request_head("POST", "/v1/votes", number, body.len()), body].concat()
}

/// A complete answer of the node list or rollout controller.
pub fn http_response(index: u64, body: &[u8]) -> Vec<u8> {
    let head = HeadWriter::response(200)
        .field(list::INDEX_FIELD, index.to_string())
        .field("content-length", body.len().to_string())
        .finish();
    [&head[..], body].concat()
}
