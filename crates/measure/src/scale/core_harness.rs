//! Runs one shipped core with its module in virtual time: RPCs arrive at a rate, nodes answer after some
//! milliseconds, and ticks come when due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt::Write;
use std::time::Duration;

use ivydrift_marshal::{Call, Command, Core, Id, Input, Observation};
use ivydrift_terms::Config;
use ivydrift_wire::controller::{RolloutState, RolloutUpdate, Stage};
use ivydrift_wire::list::{ListedNode, State};
use ivydrift_wire::orca::Metrics;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::subprocess::cpu;
use super::{Error, MARSHAL_COUNT, ZONES};

/// Start of a run on the shell's clock, whose zero is one day earlier.
pub const START: Duration = Duration::from_secs(86_400);
/// Unix time, in milliseconds, of the shell's zero.
pub const ZERO_MS: u64 = 1_700_000_000_000;
/// Time that a node takes for an RPC, in milliseconds.
pub const SERVICE_TIME_MS: std::ops::Range<f64> = 2.0..10.0;

/// The name of the method with this index.
pub fn method_name(n: usize) -> String {
    format!("shop-{}/method-{n}", n % 100)
}

/// The name of the tenant with this index.
pub fn tenant_name(n: usize) -> String {
    format!("tenant-{n:06}")
}

/// The config file of one marshal with this many methods and tenants, all else by default.
pub fn config_text(methods: usize, tenants: usize) -> String {
    let zones: Vec<String> = (0..ZONES).map(|z| format!("\"zone-{z}\"")).collect();
    let mut text = format!("zones = [{}]\nkinds = [\"full-1c\"]\n", zones.join(", "));
    let _ = write!(
        text,
        "marshal {{\n  number = 0\n  of = {MARSHAL_COUNT}\n  zone = \"zone-0\"\n}}\n\
         places {{\n  listen = \"127.0.0.1:7100\"\n  node_list = \"127.0.0.1:7001\"\n  service = \"shop\"\n  \
         release_desk = \"127.0.0.1:7002\"\n}}\n"
    );
    for n in 0..methods {
        let name = method_name(n);
        let _ = write!(
            text,
            "method \"{name}\" {{\n  repeat = \"idempotent\"\n  soft_deadline = \"800ms\"\n  deadline = \"3s\"\n}}\n"
        );
    }
    for n in 0..tenants {
        let name = tenant_name(n);
        let _ = write!(text, "tenant \"{name}\" {{\n  quota = 20\n  share = 0.001\n}}\n");
    }
    text
}

/// The parsed config of one marshal with this many methods and tenants.
///
/// # Errors
/// If the config is invalid.
pub fn config(methods: usize, tenants: usize) -> Result<Config, Error> {
    ivydrift_terms::parse("scale.hcl", &config_text(methods, tenants)).map_err(|e| e.to_string().into())
}

/// The node list entry with this index.
pub fn node_entry(n: usize) -> ListedNode {
    let [.., a, b, c] = (n as u32).to_be_bytes();
    ListedNode {
        host: format!("10.{a}.{b}.{c}"),
        port: 9000,
        state: State::Ready,
        build: 1,
        zone: format!("zone-{}", n % ZONES),
        cell: (n % 64) as u16,
        kind: "full-1c".into(),
        power: 1.0,
        started_ms: Some(ZERO_MS),
    }
}

/// A node list with `count` entries.
pub fn node_list(count: usize) -> Vec<ListedNode> {
    (0..count).map(node_entry).collect()
}

/// The rollout controller's state: build 1 is released and none is on trial.
pub fn released() -> RolloutUpdate {
    let stage = Stage { build: 1, stage: 2, course: RolloutState::Released, cap: 1.0, age_ms: 90_000 };
    RolloutUpdate { index: 1, stage: Some(stage), sums: vec![], disputed: vec![] }
}

/// Counters of a run; CPU times in seconds, without the time of reading the clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub rpcs: u64,
    pub picks: u64,
    pub ok: u64,
    pub ticks: u64,
    pub commands: u64,
    pub rpc_cpu: f64,
    pub tick_cpu: f64,
}

/// A core with simulated nodes, clients and clock.
pub struct CoreHarness {
    pub core: Core,
    pub now: Duration,
    pub usage: Usage,
    id: Id,
    /// Picks in flight, ordered by the time of their answer.
    in_flight: BinaryHeap<Reverse<(Duration, Id, usize)>>,
    rng: StdRng,
    /// Seconds of CPU time of reading the clock.
    clock_cost_s: f64,
}

/// One RPC as a client sends it.
#[derive(Clone, Copy, Debug)]
pub struct RpcSpec<'a> {
    pub method: &'a str,
    pub tenant: Option<&'a str>,
}

impl CoreHarness {
    /// Creates a core with this config. Calibrates the cost of reading the clock.
    pub fn new(config: Config, seed: u64) -> CoreHarness {
        let from = cpu();
        (0..1000).for_each(|_| _ = std::hint::black_box(cpu()));
        let clock_cost_s = (cpu() - from).as_secs_f64() / 1000.0;
        CoreHarness {
            core: Core::new(config, ZERO_MS),
            now: START,
            usage: Usage::default(),
            id: 0,
            in_flight: BinaryHeap::new(),
            rng: StdRng::seed_from_u64(seed),
            clock_cost_s,
        }
    }

    /// Passes one input to the core. Returns its CPU time in seconds and the number of commands.
    pub fn handle(&mut self, input: Input) -> (f64, usize) {
        let from = cpu();
        let commands = self.core.handle(self.now, input);
        let took = ((cpu() - from).as_secs_f64() - self.clock_cost_s).max(0.0);
        self.usage.commands += commands.len() as u64;
        for command in &commands {
            match command {
                Command::Pick { id, pick, .. } => {
                    self.usage.picks += 1;
                    let work = self.rng.random_range(SERVICE_TIME_MS) / 1000.0;
                    self.in_flight.push(Reverse((self.now + Duration::from_secs_f64(work), *id, *pick)));
                }
                Command::Pass { .. } => self.usage.ok += 1,
                _ => {}
            }
        }
        (took, commands.len())
    }

    /// Passes the first node list and the rollout controller's state to the core.
    pub fn initialize(&mut self, nodes: &[ListedNode]) {
        self.handle(Input::NodeList(nodes));
        self.handle(Input::RolloutUpdate(&released()));
    }

    /// Runs for `span` with Poisson arrivals of `rate` RPCs per second; `next_rpc` returns the next RPC.
    pub fn run<'a>(&mut self, span: Duration, rate: f64, mut next_rpc: impl FnMut(u64) -> RpcSpec<'a>) {
        let end = self.now + span;
        let mut next = self.now + self.next_interval(rate);
        loop {
            let answer = self.in_flight.peek().map(|o| o.0 .0);
            let due = self.core.next_tick();
            let at = answer.into_iter().chain([due, next]).min().unwrap_or(end);
            if at > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(at);
            // Ticks run first, so that due work is not charged to an RPC.
            if due <= self.now {
                self.usage.tick_cpu += self.handle(Input::Tick).0;
                self.usage.ticks += 1;
            } else if answer.is_some_and(|answer| answer <= self.now) {
                let Some(Reverse((_, id, pick))) = self.in_flight.pop() else { return };
                let observation =
                    Observation::Answer { status: 200, never_ran: false, load: Metrics::default() };
                self.usage.rpc_cpu += self.handle(Input::PickEnded { id, pick, observation }).0;
            } else {
                let RpcSpec { method, tenant } = next_rpc(self.usage.rpcs);
                let time_left = Some(Duration::from_secs(3));
                let call = Call {
                    method,
                    tenant,
                    key: None,
                    has_idempotency_key: false,
                    time_left,
                    is_retry: false,
                };
                self.id += 1;
                self.usage.rpcs += 1;
                let id = self.id;
                self.usage.rpc_cpu += self.handle(Input::Rpc { id, call }).0;
                next = self.now + self.next_interval(rate);
            }
        }
    }

    fn next_interval(&mut self, rate: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(1e-12..1.0);
        Duration::try_from_secs_f64(-uniform.ln() / rate).unwrap_or(Duration::from_secs(1 << 40))
    }

    /// CPU time per RPC, in microseconds.
    pub fn per_rpc_us(&self) -> f64 {
        self.usage.rpc_cpu * 1e6 / self.usage.rpcs.max(1) as f64
    }
}
