//! A fleet of real marshals on loopback with simulated nodes, discovery and clients.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::clients::{self, Request};
use crate::discovery::Discovery;
use crate::marshals::{MachineFaults, Marshal};
use crate::net;
use crate::nodes::{Arrivals, Node};
use crate::truth::{Phase, Truth};

/// Minimum number of active nodes; no fault goes below it.
const LEAST_ACTIVE: usize = 4;
const CLIENTS_PER_MARSHAL: usize = 2;

/// Everything that takes part in a run, and what was recorded.
pub struct Fleet {
    pub truth: Arc<Mutex<Truth>>,
    pub arrivals: Arc<Mutex<Arrivals>>,
    pub requests: Arc<Mutex<Vec<Request>>>,
    pub discovery: Discovery,
    pub nodes: Vec<Node>,
    pub marshals: Vec<Marshal>,
    over: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    _folder: tempfile::TempDir,
}

/// A rollout controller that sends one rollout state and then keep-alives every 700 ms.
fn desk() -> SocketAddr {
    net::listen(|stream| {
        let mut first = [0; 64];
        let n = stream.read(&mut first).unwrap_or(0);
        if &first[..n] != b"follow\r\n" {
            net::say(stream, "ERR moot\r\n");
            return;
        }
        net::say(stream, "OK\r\n* ROLLOUT 1 2 live 1.0 90000\r\n");
        while net::say(stream, "*\r\n") {
            std::thread::sleep(Duration::from_millis(700));
        }
    })
}

impl Fleet {
    /// Starts nodes, discovery, marshals and clients.
    pub fn new(marshals: usize, nodes: usize, seed: u64, faults: Option<MachineFaults>) -> Self {
        let arrivals = Arc::<Mutex<Arrivals>>::default();
        let nodes: Vec<Node> = (0..nodes).map(|number| Node::new(number, &arrivals)).collect();
        let truth = Arc::new(Mutex::new(Truth::new(nodes.iter().map(|node| node.addr).collect())));
        let (discovery, desk) = (Discovery::new(&truth), desk());
        let folder = tempfile::tempdir().unwrap();
        // Every second marshal runs with fault injection in its system calls.
        let faults_of = |number: usize| faults.clone().filter(|_| number % 2 == 1);
        let marshal = |number| Marshal::new(number, folder.path().to_owned(), desk, faults_of(number));
        let mut fleet = Fleet {
            arrivals,
            requests: Arc::default(),
            nodes,
            marshals: (0..marshals).map(marshal).collect(),
            over: Arc::default(),
            clients: Vec::new(),
            _folder: folder,
            truth,
            discovery,
        };
        (0..marshals).for_each(|number| fleet.start(number));
        fleet.begin_clients(seed);
        fleet
    }

    pub fn start(&mut self, marshal: usize) {
        self.marshals[marshal].start(&self.discovery, &self.truth);
    }

    /// Changes a node's phase, unless the change is not possible now or would leave too few active nodes.
    pub fn turn(&mut self, node: usize, phase: Phase) {
        let mut truth = self.truth.lock().unwrap();
        let active = (0..self.nodes.len()).filter(|n| truth.phase(*n) == Phase::Active).count();
        let now = truth.phase(node);
        let wanted = match phase {
            Phase::Active => now == Phase::Left,
            Phase::Leaving => now == Phase::Active && active > LEAST_ACTIVE,
            Phase::Left => now == Phase::Leaving,
        };
        if wanted {
            truth.change(node, phase);
        }
    }

    fn begin_clients(&mut self, seed: u64) {
        for marshal in &self.marshals {
            for client in 0..CLIENTS_PER_MARSHAL {
                let (number, to) = (marshal.number, marshal.listens);
                let (over, record) = (self.over.clone(), self.requests.clone());
                let seed = seed * 10_000 + (number * CLIENTS_PER_MARSHAL + client) as u64;
                let run = move || clients::ask(number, client, to, seed, &over, &record);
                self.clients.push(std::thread::spawn(run));
            }
        }
    }

    /// Stops the clients, then records the end of the marshals: by then their logs contain every violation.
    pub fn end(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        self.clients.drain(..).for_each(|client| client.join().unwrap());
        let ended = Instant::now();
        for marshal in &mut self.marshals {
            if !marshal.crashed() {
                self.truth.lock().unwrap().marshal(marshal.number).ends.push(ended);
            }
        }
    }
}
