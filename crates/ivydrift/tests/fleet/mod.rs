//! A fleet of marshals as processes, with a relay that injects faults into the links between them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use ivydrift_standin::links::{LinkEffect, LinkFault, Links};
use ivydrift_standin::relay::Relay;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use tempfile::TempDir;

/// The program under test.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_ivydrift");

/// Returns loopback addresses that no other test and no other run on this machine uses: each process has its
/// own 127.x.y.0/24 network (by process id), each fleet sixteen addresses of it.
pub fn addresses(fleet: u8, count: usize) -> Vec<SocketAddr> {
    let pid = std::process::id();
    let (net, own) = (64 + (pid >> 8 & 127) as u8, pid as u8);
    let address = |n: usize| SocketAddr::from(([127, net, own, 16 * fleet + 1 + n as u8], 7100));
    assert!(count < 16 && fleet < 15);
    (0..count).map(address).collect()
}

/// The configuration that all marshals of a fleet share.
#[derive(Clone)]
pub struct SharedConfig {
    pub node_list: SocketAddr,
    pub rollout_controller: SocketAddr,
    pub service: String,
    /// All other blocks of the config file.
    pub blocks: String,
}

impl Default for SharedConfig {
    /// The addresses of the node list and the rollout controller refuse connections: both are down throughout
    /// the test.
    fn default() -> Self {
        let unused = SocketAddr::from(([127, 0, 0, 1], 9));
        let blocks = "method \"read\" {\n  repeat = \"idempotent\"\n  soft_deadline = \"800ms\"\n  \
                      deadline = \"3s\"\n}\n";
        SharedConfig {
            node_list: unused,
            rollout_controller: unused,
            service: "town".into(),
            blocks: blocks.into(),
        }
    }
}

/// The marshals' processes, and the relay between them.
pub struct Fleet {
    pub folder: TempDir,
    /// Addresses of the marshals for peers, by number.
    pub addrs: Vec<SocketAddr>,
    pub relay: Relay,
    pub children: Vec<Option<Child>>,
    /// The executable of each marshal.
    pub programs: Vec<PathBuf>,
    pub shared: SharedConfig,
}

impl Fleet {
    pub fn start(name: (&str, u8), count: usize) -> Fleet {
        Fleet::start_with(name, count, SharedConfig::default())
    }

    pub fn start_with((name, index): (&str, u8), count: usize, shared: SharedConfig) -> Fleet {
        let folder = tempfile::Builder::new().prefix(name).tempdir().unwrap();
        let addrs = addresses(index, count);
        let relay = Relay::new(&addrs, Links::new(7, vec![])).unwrap();
        let children = (0..count).map(|_| None).collect();
        let programs = vec![PathBuf::from(PROGRAM); count];
        let mut fleet = Fleet { folder, addrs, relay, children, programs, shared };
        (0..count).for_each(|n| fleet.launch(n));
        fleet
    }

    fn config_path(&self, number: usize) -> PathBuf {
        self.folder.path().join(format!("edge-{number}.hcl"))
    }

    /// Writes this marshal's config file.
    fn write_config(&self, number: usize, blocks: &str) {
        let quoted =
            |all: Vec<SocketAddr>| all.iter().map(|a| format!("\"{a}\"")).collect::<Vec<_>>().join(", ");
        let (count, own) = (self.addrs.len(), self.addrs[number]);
        let SharedConfig { node_list, rollout_controller, service, .. } = &self.shared;
        let config = format!(
            "zones = [\"a\", \"b\"]\n\
             marshal {{\n  number = {number}\n  of = {count}\n  zone = \"{}\"\n}}\n\
             places {{\n  listen = \"{own}\"\n  node_list = \"{node_list}\"\n  service = \"{service}\"\n  \
             release_desk = \"{rollout_controller}\"\n  peers = [{}]\n}}\n{blocks}",
            ["a", "b"][number % 2],
            quoted(self.relay.peer_addresses(number, own)),
        );
        std::fs::write(self.config_path(number), config).unwrap();
    }

    /// Rewrites the other blocks in the config files of all running marshals and makes them reload. A marshal
    /// that is launched later gets the initial blocks again.
    pub fn reload(&self, blocks: &str) {
        for number in (0..self.addrs.len()).filter(|n| self.children[*n].is_some()) {
            self.write_config(number, blocks);
            self.signal(number, Signal::SIGHUP);
        }
    }

    pub fn launch(&mut self, number: usize) {
        self.write_config(number, &self.shared.blocks);
        let file = self.config_path(number);
        let log = std::fs::File::create(self.folder.path().join(format!("edge-{number}.log"))).unwrap();
        let mut edge = Command::new(&self.programs[number]);
        edge.arg("edge").arg(&file).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        self.children[number] = Some(edge.spawn().unwrap());
    }

    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.children[number].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn signal(&self, number: usize, signal: Signal) {
        let child = self.children[number].as_ref().unwrap();
        kill(Pid::from_raw(child.id() as i32), signal).unwrap();
    }

    /// Returns this marshal's view as `ivydrift peers` prints it; none if the command failed.
    pub fn query_peers(&self, viewer: usize) -> Option<Value> {
        let out = Command::new(PROGRAM)
            .args(["peers", "--json", &self.addrs[viewer].to_string()])
            .output()
            .unwrap();
        let view: Value = serde_json::from_slice(&out.stdout).ok()?;
        assert_eq!(view["marshal"], viewer);
        Some(view)
    }

    /// Waits until all of these marshals report this protocol level.
    pub fn wait_for_level(&self, all: &[usize], level: u64, within: u64) {
        let deadline = Instant::now() + Duration::from_secs(within);
        while !all.iter().all(|viewer| self.query_peers(*viewer).is_some_and(|page| page["level"] == level)) {
            assert!(
                Instant::now() < deadline,
                "the marshals do not reach protocol level {level}: {:?}",
                all.iter().map(|viewer| self.query_peers(*viewer)).collect::<Vec<_>>()
            );
            std::thread::sleep(Duration::from_millis(200));
        }
    }

    /// Returns the state and the life of each marshal, as this marshal reports them.
    pub fn members(&self, viewer: usize) -> Option<Vec<(String, u64)>> {
        let view = self.query_peers(viewer)?;
        let row = |m: &Value| Some((m["state"].as_str()?.to_owned(), m["life"].as_u64()?));
        view["members"].as_array()?.iter().map(row).collect()
    }

    /// Waits until this marshal's view is as wanted. On a time-out, panics with its last view.
    pub fn wait_until_shown(&self, viewer: usize, within: u64, wanted: impl Fn(&[(String, u64)]) -> bool) {
        let deadline = Instant::now() + Duration::from_secs(within);
        loop {
            let shown = self.members(viewer);
            if shown.as_ref().is_some_and(|s| wanted(s)) {
                return;
            }
            assert!(Instant::now() < deadline, "marshal {viewer} shows {shown:?}");
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Waits until every marshal reports all marshals as alive.
    pub fn wait_until_all_alive(&self, within: u64) {
        let all = |s: &[(String, u64)]| s.iter().all(|m| m.0 == "alive");
        (0..self.addrs.len()).for_each(|viewer| self.wait_until_shown(viewer, within, all));
    }

    pub fn log(&self, number: usize) -> String {
        std::fs::read_to_string(self.folder.path().join(format!("edge-{number}.log"))).unwrap()
    }

    /// Counts the lines in this marshal's log that report another marshal's change to a state.
    pub fn count_logged(&self, viewer: usize, member: usize, state: &str) -> usize {
        let log = self.log(viewer);
        let line =
            |l: &&str| l.contains(&format!("marshal {member}: ")) && l.contains(&format!(" to {state},"));
        log.lines().filter(line).count()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.addrs.len()).for_each(|n| self.kill(n));
    }
}

/// Returns a permanent fault on the links from one group to another, in that direction only.
pub fn fault(from: &[usize], to: &[usize], effect: LinkEffect) -> LinkFault {
    let zero = Duration::ZERO;
    LinkFault { at: zero, lasts: zero, from: from.to_vec(), to: to.to_vec(), both: false, effect }
}
