//! A fleet of real marshals on loopback with simulated nodes, discovery and clients.

use std::io::Read;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::clients::{self, ClientName, Request};
use crate::departures::{self, Departure};
use crate::discovery::Discovery;
use crate::marshals::{MachineFaults, Marshal};
use crate::net;
use crate::nodes::{Arrivals, Node};
use crate::truth::{Phase, Truth};

/// Minimum number of active nodes; no fault goes below it.
const MIN_ACTIVE: usize = 4;
const CLIENTS_PER_MARSHAL: usize = 2;

/// Everything that takes part in a run, and what was recorded.
pub struct Fleet {
    pub truth: Arc<Mutex<Truth>>,
    pub arrivals: Arc<Mutex<Arrivals>>,
    pub requests: Arc<Mutex<Vec<Request>>>,
    pub departures: Arc<Mutex<Vec<Departure>>>,
    pub discovery: Discovery,
    pub nodes: Vec<Node>,
    pub marshals: Vec<Marshal>,
    /// The address of everything that listens.
    ip: IpAddr,
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    _folder: tempfile::TempDir,
}

/// A rollout controller that sends one rollout state and then keep-alives every 700 ms.
fn start_rollout_controller(ip: IpAddr) -> SocketAddr {
    net::listen(ip, |stream| {
        let mut command = [0; 64];
        let length = stream.read(&mut command).unwrap_or(0);
        if &command[..length] != b"follow\r\n" {
            net::write_text(stream, "ERR moot\r\n");
            return;
        }
        net::write_text(stream, "OK\r\n* ROLLOUT 1 2 live 1.0 90000\r\n");
        while net::write_text(stream, "*\r\n") {
            std::thread::sleep(Duration::from_millis(700));
        }
    })
}

impl Fleet {
    /// Starts nodes, discovery, marshals and clients, with a crowd of them if asked for.
    pub fn new(
        marshals: usize, nodes: usize, seed: u64, faults: Option<MachineFaults>, with_crowd: bool,
    ) -> Self {
        let (arrivals, ip) = (Arc::<Mutex<Arrivals>>::default(), net::unused_ip());
        let nodes: Vec<Node> = (0..nodes).map(|number| Node::new(number, ip, &arrivals)).collect();
        let truth = Arc::new(Mutex::new(Truth::new(nodes.iter().map(|node| node.addr).collect())));
        let (discovery, rollout_controller) = (Discovery::new(&truth, ip), start_rollout_controller(ip));
        let folder = tempfile::tempdir().unwrap();
        // Every second marshal runs with fault injection in its system calls.
        let faults_of = |number: usize| faults.clone().filter(|_| number % 2 == 1);
        let marshal = |number| {
            Marshal::new(number, ip, folder.path().to_owned(), rollout_controller, faults_of(number))
        };
        let mut fleet = Fleet {
            arrivals,
            requests: Arc::default(),
            departures: Arc::default(),
            nodes,
            marshals: (0..marshals).map(marshal).collect(),
            ip,
            stop: Arc::default(),
            clients: Vec::new(),
            _folder: folder,
            truth,
            discovery,
        };
        (0..marshals).for_each(|number| fleet.start(number));
        fleet.start_clients(seed);
        fleet.start_departing_clients(seed);
        if with_crowd {
            fleet.start_crowd(seed);
        }
        fleet
    }

    pub fn start(&mut self, marshal: usize) {
        if self.marshals[marshal].start(&self.discovery, &self.truth) {
            self.truth.lock().unwrap().marshal(marshal).starts.push(Instant::now());
        }
    }

    /// Changes a node's phase, unless the change is not possible now or would leave too few active nodes.
    pub fn set_phase(&mut self, node: usize, phase: Phase) {
        let mut truth = self.truth.lock().unwrap();
        let active = (0..self.nodes.len()).filter(|node| truth.phase(*node) == Phase::Active).count();
        let current = truth.phase(node);
        let possible = match phase {
            Phase::Active => current == Phase::Left,
            Phase::Leaving => current == Phase::Active && active > MIN_ACTIVE,
            Phase::Left => current == Phase::Leaving,
        };
        if possible {
            truth.set_phase(node, phase);
        }
    }

    fn start_clients(&mut self, seed: u64) {
        for marshal in &self.marshals {
            for client in 0..CLIENTS_PER_MARSHAL {
                let (number, addr) = (marshal.number, marshal.listen_addr);
                let (stop, requests) = (self.stop.clone(), self.requests.clone());
                let seed = seed * 10_000 + (number * CLIENTS_PER_MARSHAL + client) as u64;
                let name = ClientName { marshal: number, client, fleet: self.ip };
                let run = move || clients::run_client(name, addr, seed, &stop, &requests);
                self.clients.push(std::thread::spawn(run));
            }
        }
    }

    /// Starts a client of each marshal that leaves with something unread, again and again.
    fn start_departing_clients(&mut self, seed: u64) {
        for marshal in &self.marshals {
            let (number, addr) = (marshal.number, marshal.listen_addr);
            let (stop, departures) = (self.stop.clone(), self.departures.clone());
            let name = ClientName { marshal: number, client: departures::CLIENT, fleet: self.ip };
            let seed = seed * 20_000 + number as u64;
            let run = move || departures::run_departing_client(name, addr, seed, &stop, &departures);
            self.clients.push(std::thread::spawn(run));
        }
    }

    /// Starts clients of each marshal that ask once and keep their connections.
    fn start_crowd(&mut self, seed: u64) {
        for marshal in &self.marshals {
            let (number, addr) = (marshal.number, marshal.listen_addr);
            let (stop, requests) = (self.stop.clone(), self.requests.clone());
            let name = ClientName { marshal: number, client: CLIENTS_PER_MARSHAL + 1, fleet: self.ip };
            let seed = seed * 30_000 + number as u64;
            let run = move || clients::run_crowd(name, addr, seed, &stop, &requests);
            self.clients.push(std::thread::spawn(run));
        }
    }

    /// Stops the clients, then records the end of the marshals: by then their logs contain every violation.
    pub fn finish(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.clients.drain(..).for_each(|client| client.join().unwrap());
        let ended_at = Instant::now();
        for marshal in &mut self.marshals {
            if !marshal.crashed() {
                self.truth.lock().unwrap().marshal(marshal.number).ends.push(ended_at);
            }
        }
    }
}
