//! Stand-ins for clients, nodes and the platform, and the cases that use them: `standin-2 CASE FOLDER`.
//! Exit code 0: the rule held; 1: it was broken; 2: the case could not run.

mod common;
mod empty_lines;
mod memory;
mod platform;
mod traffic;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use common::*;
use platform::{Discovery, Member};
use traffic::{Attempts, Behaviour};

/// A small deployment: nodes, discovery, desk, marshals.
pub struct Deployment {
    pub record: Arc<Record>,
    pub run: Attempts,
    pub discovery: Arc<Discovery>,
    pub nodes: Vec<SocketAddr>,
    pub marshals: Vec<Marshal>,
    folder: PathBuf,
}

impl Deployment {
    /// Starts 14 nodes and two marshals, and waits until the marshals are ready. `limits`: memory in MB and sockets.
    pub fn start(case: &Path, behaviour: Behaviour, limits: (u64, u64)) -> Option<Deployment> {
        let marshals = 2;
        let record = Record::create(&case.join("record.txt")).ok()?;
        let run = Arc::new(Mutex::new(Vec::new()));
        let discovery = Discovery::new(&record);
        let nodes: Vec<SocketAddr> = (0..14).map(|n| traffic::start_node(n, behaviour, &run, &record)).collect();
        let member = |addr: &SocketAddr| Member { addr: *addr, phase: "active", build: 41, up_since_ms: 0 };
        discovery.set(nodes.iter().enumerate().map(|(n, addr)| (format!("s-{n}"), member(addr))).collect());
        let (desk, news) = platform::start_desk(41);
        let site = Site { discovery: discovery.start(), desk, known: discovery.text(None), news, limits };
        let folder = std::env::temp_dir().join(format!("ivydrift-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let root = root(case);
        let marshals: Vec<Marshal> = (0..marshals).map(|n| Marshal::start(&root, &folder, n, marshals, &site)).collect();
        let ready = marshals.iter().all(Marshal::wait_ready);
        let deployment = Deployment { record, run, discovery, nodes, marshals, folder };
        if !ready {
            deployment.record.say("a marshal did not get ready");
            return None;
        }
        deployment.record.note("all marshals are ready");
        Some(deployment)
    }

    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.marshals.iter().map(|m| m.addr).collect()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.record.flush();
        self.marshals.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn main() {
    now();
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: standin-2 CASE FOLDER");
        std::process::exit(2);
    };
    let folder = Path::new(folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let held = std::panic::catch_unwind(|| match &case[..] {
        "empty-lines" => empty_lines::run(folder, trouble),
        "memory" => memory::run(folder, trouble),
        _ => None,
    });
    std::process::exit(match held {
        Ok(Some(true)) => 0,
        Ok(Some(false)) => 1,
        _ => 2,
    });
}
