//! Runs one shipped core with its module in virtual time: RPCs arrive at a rate, nodes answer after some
//! milliseconds, and ticks come when due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt::Write;
use std::time::Duration;

use ivydrift_marshal::{Call, Core, Id, Input, Order, Saw};
use ivydrift_terms::Terms;
use ivydrift_wire::desk::{Course, News, Stage};
use ivydrift_wire::list::{Listed, State};
use ivydrift_wire::orca::Metrics;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::part::cpu;
use super::{Error, MARSHALS, ZONES};

/// Start of a run on the shell's clock, whose zero is one day earlier.
pub const START: Duration = Duration::from_secs(86_400);
/// Unix time, in milliseconds, of the shell's zero.
pub const ZERO_MS: u64 = 1_700_000_000_000;
/// Time that a node takes for an RPC, in milliseconds.
pub const WORK_MS: std::ops::Range<f64> = 2.0..10.0;

/// The name of the method with this index.
pub fn method(n: usize) -> String {
    format!("shop-{}/method-{n}", n % 100)
}

/// The name of the tenant with this index.
pub fn tenant(n: usize) -> String {
    format!("tenant-{n:06}")
}

/// The config file of one marshal with this many methods and tenants, all else by default.
pub fn text(methods: usize, tenants: usize) -> String {
    let zones: Vec<String> = (0..ZONES).map(|z| format!("\"zone-{z}\"")).collect();
    let mut text = format!("zones = [{}]\nkinds = [\"full-1c\"]\n", zones.join(", "));
    let _ = write!(
        text,
        "marshal {{\n  number = 0\n  of = {MARSHALS}\n  zone = \"zone-0\"\n}}\n\
         places {{\n  listen = \"127.0.0.1:7100\"\n  node_list = \"127.0.0.1:7001\"\n  service = \"shop\"\n  \
         release_desk = \"127.0.0.1:7002\"\n}}\n"
    );
    for n in 0..methods {
        let name = method(n);
        let _ = write!(
            text,
            "method \"{name}\" {{\n  repeat = \"idempotent\"\n  soft_deadline = \"800ms\"\n  deadline = \"3s\"\n}}\n"
        );
    }
    for n in 0..tenants {
        let name = tenant(n);
        let _ = write!(text, "tenant \"{name}\" {{\n  quota = 20\n  share = 0.001\n}}\n");
    }
    text
}

/// The parsed config of one marshal with this many methods and tenants.
///
/// # Errors
/// If the config is invalid.
pub fn terms(methods: usize, tenants: usize) -> Result<Terms, Error> {
    ivydrift_terms::read("scale.hcl", &text(methods, tenants)).map_err(|e| e.to_string().into())
}

/// The node list entry with this index.
pub fn node(n: usize) -> Listed {
    let [.., a, b, c] = (n as u32).to_be_bytes();
    Listed {
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
pub fn nodes(count: usize) -> Vec<Listed> {
    (0..count).map(node).collect()
}

/// The rollout controller's state: build 1 is released and none is on trial.
pub fn released() -> News {
    let stage = Stage { build: 1, stage: 2, course: Course::Released, cap: 1.0, age_ms: 90_000 };
    News { index: 1, stage: Some(stage), sums: vec![], disputed: vec![] }
}

/// Counters of a run; CPU times in seconds, without the time of reading the clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spent {
    pub rpcs: u64,
    pub picks: u64,
    pub ok: u64,
    pub ticks: u64,
    pub orders: u64,
    pub rpc_cpu: f64,
    pub tick_cpu: f64,
}

/// A core with simulated nodes, clients and clock.
pub struct Rig {
    pub core: Core,
    pub now: Duration,
    pub spent: Spent,
    id: Id,
    /// Picks in flight, ordered by the time of their answer.
    out: BinaryHeap<Reverse<(Duration, Id, usize)>>,
    dice: StdRng,
    /// Seconds of CPU time of reading the clock.
    clock: f64,
}

/// One RPC as a client sends it.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    pub method: &'a str,
    pub tenant: Option<&'a str>,
}

impl Rig {
    /// Creates a core with this config. Calibrates the cost of reading the clock.
    pub fn new(terms: Terms, seed: u64) -> Rig {
        let from = cpu();
        (0..1000).for_each(|_| _ = std::hint::black_box(cpu()));
        let clock = (cpu() - from).as_secs_f64() / 1000.0;
        Rig {
            core: Core::new(terms, ZERO_MS),
            now: START,
            spent: Spent::default(),
            id: 0,
            out: BinaryHeap::new(),
            dice: StdRng::seed_from_u64(seed),
            clock,
        }
    }

    /// Passes one input to the core. Returns its CPU time in seconds and the number of commands.
    pub fn tell(&mut self, input: Input) -> (f64, usize) {
        let from = cpu();
        let orders = self.core.handle(self.now, input);
        let took = ((cpu() - from).as_secs_f64() - self.clock).max(0.0);
        self.spent.orders += orders.len() as u64;
        for order in &orders {
            match order {
                Order::Pick { id, pick, .. } => {
                    self.spent.picks += 1;
                    let work = self.dice.random_range(WORK_MS) / 1000.0;
                    self.out.push(Reverse((self.now + Duration::from_secs_f64(work), *id, *pick)));
                }
                Order::Pass { .. } => self.spent.ok += 1,
                _ => {}
            }
        }
        (took, orders.len())
    }

    /// Passes the first node list and the rollout controller's state to the core.
    pub fn begin(&mut self, nodes: &[Listed]) {
        self.tell(Input::Membership(nodes));
        self.tell(Input::News(&released()));
    }

    /// Runs for `span` with Poisson arrivals of `rate` RPCs per second; `ask` returns the next RPC.
    pub fn run<'a>(&mut self, span: Duration, rate: f64, mut ask: impl FnMut(u64) -> Ask<'a>) {
        let end = self.now + span;
        let mut next = self.now + self.gap(rate);
        loop {
            let answer = self.out.peek().map(|o| o.0 .0);
            let due = self.core.due();
            let at = answer.into_iter().chain([due, next]).min().unwrap_or(end);
            if at > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(at);
            // Ticks run first, so that due work is not charged to an RPC.
            if due <= self.now {
                self.spent.tick_cpu += self.tell(Input::Tick).0;
                self.spent.ticks += 1;
            } else if answer.is_some_and(|answer| answer <= self.now) {
                let Some(Reverse((_, id, pick))) = self.out.pop() else { return };
                let saw = Saw::Answer { status: 200, never_ran: false, load: Metrics::default() };
                self.spent.rpc_cpu += self.tell(Input::Ended { id, pick, saw }).0;
            } else {
                let Ask { method, tenant } = ask(self.spent.rpcs);
                let left = Some(Duration::from_secs(3));
                let call = Call { method, tenant, key: None, tokened: false, left, repeated: false };
                self.id += 1;
                self.spent.rpcs += 1;
                let id = self.id;
                self.spent.rpc_cpu += self.tell(Input::Rpc { id, call }).0;
                next = self.now + self.gap(rate);
            }
        }
    }

    fn gap(&mut self, rate: f64) -> Duration {
        let part: f64 = self.dice.random_range(1e-12..1.0);
        Duration::try_from_secs_f64(-part.ln() / rate).unwrap_or(Duration::from_secs(1 << 40))
    }

    /// CPU time per RPC, in microseconds.
    pub fn per_rpc_us(&self) -> f64 {
        self.spent.rpc_cpu * 1e6 / self.spent.rpcs.max(1) as f64
    }
}
