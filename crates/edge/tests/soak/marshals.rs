//! Marshals as real processes: config files, starts, signals and stops.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

use crate::discovery::Discovery;
use crate::net::ReservedPort;
use crate::truth::Truth;

/// The config file of the platform's tests, adapted for each marshal.
const CONFIG: &str = include_str!("../../../platform/tests/start.json");

/// SIGKILL follows SIGTERM after this time at the earliest: the longest deadline plus 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3700);

/// Time between the signals of a series.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(5);

/// Log lines that are shown of a marshal that has crashed.
const SHOWN_LINES: usize = 6;

/// The fault injection library, and how many system calls in 1000 it makes fail.
#[derive(Clone)]
pub struct MachineFaults {
    pub library: PathBuf,
    pub per_mille: u32,
}

/// A marshal process, or its config while it is not running.
pub struct Marshal {
    pub number: usize,
    pub listen_addr: SocketAddr,
    _listen_port: ReservedPort,
    child: Option<Child>,
    folder: PathBuf,
    rollout_controller: SocketAddr,
    /// Index into [`Discovery::addrs`].
    addr_index: usize,
    faults: Option<MachineFaults>,
    starts: usize,
    started: Instant,
}

/// No SIGHUP is sent earlier than this after a start.
const FIRST_RELOAD: Duration = Duration::from_millis(1500);

impl Marshal {
    pub fn new(
        number: usize, ip: IpAddr, folder: PathBuf, rollout_controller: SocketAddr,
        faults: Option<MachineFaults>,
    ) -> Self {
        let listen_port = ReservedPort::new(ip);
        Marshal {
            number,
            listen_addr: listen_port.addr,
            _listen_port: listen_port,
            child: None,
            folder,
            rollout_controller,
            addr_index: 0,
            faults,
            starts: 0,
            started: Instant::now(),
        }
    }

    fn file(&self) -> PathBuf {
        self.folder.join(format!("marshal-{}.json", self.number))
    }

    fn log(&self) -> PathBuf {
        self.folder.join(format!("marshal-{}.log", self.number))
    }

    /// Writes the config file, with the nodes that discovery last wrote to this marshal.
    fn write_file(&self, discovery: &Discovery, truth: &Truth) {
        let mut config: serde_json::Value = serde_json::from_str(CONFIG).unwrap();
        config["name"] = format!("n{}", self.number).into();
        config["listen"] = self.listen_addr.to_string().into();
        config["discovery"] = discovery.addrs[self.addr_index].to_string().into();
        config["pipeline"]["address"] = self.rollout_controller.to_string().into();
        let rollout_state = r#"{"release":1,"tranche":2,"mode":"live","exposure":1.0,"old_ms":90000}"#;
        config["pipeline"]["news"] = serde_json::from_str(rollout_state).unwrap();
        let known = truth.list_json(truth.last_written(self.number), None);
        config["known"] = serde_json::from_str(&known).unwrap();
        config["settings"]["slot_no"] = self.number.into();
        config["settings"]["siblings"] = 40.into();
        discovery.addr_index_of.lock().unwrap().insert(self.number, self.addr_index);
        std::fs::write(self.file(), config.to_string()).unwrap();
    }

    /// Starts the process unless it is running. Returns whether it was started.
    pub fn start(&mut self, discovery: &Discovery, truth: &Arc<Mutex<Truth>>) -> bool {
        if self.child.is_some() {
            return false;
        }
        self.write_file(discovery, &truth.lock().unwrap());
        self.starts += 1;
        self.started = Instant::now();
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.log()).unwrap();
        // The same rules can be checked on another build of the program.
        let program =
            std::env::var("SOAK_PROGRAM").unwrap_or_else(|_| env!("CARGO_BIN_EXE_ivydrift-edge").to_owned());
        let mut command = Command::new(program);
        command.env("RUST_LOG", "info,ivydrift_edge=debug,may=warn");
        command.arg("--platform").env("LB_CONFIG", self.file()).stderr(log).stdout(Stdio::null());
        if let Some(faults) = &self.faults {
            let seed = self.number * 1000 + self.starts;
            command.env("LD_PRELOAD", &faults.library).env("FAULT_SEED", seed.to_string());
            command.env("FAULT_PER_MILLE", faults.per_mille.to_string()).env("FAULT_STEP", "1");
        }
        self.child = Some(command.spawn().unwrap());
        true
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Reloads the config. `switch_addr`: discovery is at its other address from now on.
    pub fn reload(&mut self, switch_addr: bool, discovery: &Discovery, truth: &Arc<Mutex<Truth>>) {
        if self.child.is_none() || self.started.elapsed() < FIRST_RELOAD {
            return;
        }
        self.addr_index = if switch_addr { 1 - self.addr_index } else { self.addr_index };
        let mut truth = truth.lock().unwrap();
        self.write_file(discovery, &truth);
        self.signal(Signal::SIGHUP);
        truth.marshal(self.number).reloads.push(Instant::now());
    }

    /// Suspends the process for this time.
    pub fn stall(&self, span: Duration) {
        self.signal(Signal::SIGSTOP);
        std::thread::sleep(span);
        self.signal(Signal::SIGCONT);
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self, truth: &Arc<Mutex<Truth>>) {
        truth.lock().unwrap().marshal(self.number).ends.push(Instant::now());
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends this many signals, one after the other, and SIGTERM as the last.
    fn signal_to_stop(&self, earlier: usize) {
        // Before its first reload is due, SIGHUP may still end the process.
        let earlier = if self.started.elapsed() < FIRST_RELOAD { 0 } else { earlier };
        for _ in 0..earlier {
            self.signal(Signal::SIGHUP);
            std::thread::sleep(SIGNAL_INTERVAL);
        }
        self.signal(Signal::SIGTERM);
        for _ in 0..earlier {
            std::thread::sleep(SIGNAL_INTERVAL);
            self.signal(Signal::SIGHUP);
            self.signal(Signal::SIGTERM);
        }
    }

    /// A planned stop: SIGTERM, and SIGKILL only after [`KILL_AFTER`]. `series`: signals around SIGTERM.
    pub fn stop(&mut self, series: usize, truth: &Arc<Mutex<Truth>>) {
        if self.child.is_none() {
            return;
        }
        truth.lock().unwrap().marshal(self.number).stops.push(Instant::now());
        self.signal_to_stop(series);
        let Some(mut child) = self.child.take() else { return };
        let kill_at = Instant::now() + KILL_AFTER;
        while Instant::now() < kill_at && matches!(child.try_wait(), Ok(None)) {
            std::thread::sleep(Duration::from_millis(10));
        }
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Whether the process exited without being told to.
    pub fn crashed(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Log lines that report violations or panics.
    pub fn logged_violations(&self) -> Vec<String> {
        let log = std::fs::read_to_string(self.log()).unwrap_or_default();
        let is_violation = |line: &&str| line.contains("violation:") || line.contains("panicked");
        log.lines().filter(is_violation).map(str::to_owned).collect()
    }

    /// The last log lines, to help find out why the process ended.
    pub fn last_lines(&self) -> Vec<String> {
        let log = std::fs::read_to_string(self.log()).unwrap_or_default();
        let lines: Vec<_> = log.lines().map(str::to_owned).collect();
        lines[lines.len().saturating_sub(SHOWN_LINES)..].to_vec()
    }

    /// Log lines about discovery, to help find out why a rule was broken.
    pub fn discovery_log(&self) -> Vec<String> {
        let log = std::fs::read_to_string(self.log()).unwrap_or_default();
        let patterns =
            ["membership call", "list of members", "new terms", "\"started\"", "sign of life", "stood still"];
        let about_discovery = |line: &&str| patterns.iter().any(|pattern| line.contains(pattern));
        log.lines().filter(about_discovery).map(str::to_owned).collect()
    }

    /// The highest logged count of attempts that the guard withheld because of a stale node list.
    pub fn withheld(&self) -> u64 {
        let log = std::fs::read_to_string(self.log()).unwrap_or_default();
        let stale_list_count = |line: &str| crate::net::number_after(line, "stale_list: ");
        log.lines().filter_map(stale_list_count).max().unwrap_or(0)
    }
}

impl Drop for Marshal {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
