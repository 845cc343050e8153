//! Measures the cost of many services in one marshal, in use and idle: `services cores|services COUNT`.
//! `cores` holds one core per service from the start, as marshals of one service do; `services` holds them on
//! demand. Virtual time, real memory and CPU time: 95 RPCs a second over all services for a minute, then a
//! minute without RPCs, then none until all idle services have been dropped.

use std::time::{Duration, Instant};

use ivydrift_marshal::{Call, Command, Core, Id, Input, Observation, Output, Services};
use ivydrift_terms::{Config, EXAMPLE};
use ivydrift_wire::controller::{RolloutState, RolloutUpdate, Stage};
use ivydrift_wire::list::{ListedNode, State};
use ivydrift_wire::orca::Metrics;

const NODES: u16 = 16;
const METHODS: usize = 5;
const NO_LOAD: Metrics =
    Metrics { cpu_utilization: None, rps: None, eps: None, queue: None, in_flight: None, latency_ms: None };
const OK: Observation = Observation::Answer { status: 200, never_ran: false, load: NO_LOAD };

fn nodes(service: usize) -> Vec<ListedNode> {
    let node = |n| ListedNode {
        host: format!("10.1.{}.{}", service / 250, service % 250),
        port: 9000 + n,
        state: State::Ready,
        build: 1,
        zone: "site-a".into(),
        cell: 0,
        kind: "full-1c".into(),
        power: 1.0,
        started_ms: None,
    };
    (0..NODES).map(node).collect()
}

fn methods(service: &str) -> String {
    let method = |n: usize| {
        format!(
            "method \"{service}-m{n}\" {{\n  service = \"{service}\"\n  repeat = \"idempotent\"\n  \
             soft_deadline = \"800ms\"\n  deadline = \"3s\"\n}}\n"
        )
    };
    (0..METHODS).map(method).collect()
}

fn config(count: usize) -> Config {
    let all: String = (0..count).map(|n| methods(&format!("s{n}"))).collect();
    let block = "services {\n  most = 2700\n  rest = \"2m\"\n  kib = 262144\n}\n";
    ivydrift_terms::parse("services.hcl", &format!("{EXAMPLE}\n{all}{block}")).unwrap()
}

fn single_service_config(service: usize) -> Config {
    let name = format!("s{service}");
    let text = EXAMPLE.replace("\"calendar\"", &format!("\"{name}\""));
    let prefix = text.split("method \"").next().unwrap().to_owned();
    let rest = &text[text.find("release {").unwrap()..];
    ivydrift_terms::parse("one.hcl", &format!("{prefix}{}{rest}", methods(&name))).unwrap()
}

enum Variant {
    Cores(Vec<Core>),
    Services(Box<Services>),
}

struct Run {
    variant: Variant,
    now: Duration,
    ticks: u64,
    cpu_time: Duration,
    ok: u64,
    next: Id,
}

impl Run {
    fn due(&self) -> Duration {
        match &self.variant {
            Variant::Cores(cores) => cores.iter().map(Core::next_tick).min().unwrap(),
            Variant::Services(services) => services.next_tick(),
        }
    }

    fn apply(&mut self, instance: u64, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::FollowMembership => {
                    self.feed(instance, Input::NodeList(&nodes(instance as usize - 1)))
                }
                Command::Pick { id, pick, .. } => {
                    self.feed(instance, Input::PickEnded { id, pick, observation: OK })
                }
                Command::Pass { .. } => self.ok += 1,
                _ => {}
            }
        }
    }

    /// `instance`: the service's number plus one, which here is also the id of its first period.
    fn feed(&mut self, instance: u64, input: Input) {
        let at = Instant::now();
        match &mut self.variant {
            Variant::Cores(cores) => {
                let commands = cores[instance as usize - 1].handle(self.now, input);
                self.cpu_time += at.elapsed();
                self.apply(instance, commands);
            }
            Variant::Services(services) => {
                let outputs = services.handle(self.now, instance, input);
                self.cpu_time += at.elapsed();
                for output in outputs {
                    match output {
                        Output::Command { instance, command } if instance > 0 => {
                            self.apply(instance, vec![command])
                        }
                        Output::HoldService { instance, .. } => self.rollout_update(instance),
                        _ => {}
                    }
                }
            }
        }
    }

    fn rollout_update(&mut self, instance: u64) {
        let stage = Stage { build: 1, stage: 2, course: RolloutState::Released, cap: 1.0, age_ms: 90_000 };
        self.feed(
            instance,
            Input::RolloutUpdate(&RolloutUpdate {
                index: 1,
                stage: Some(stage),
                sums: vec![],
                disputed: vec![],
            }),
        );
    }

    fn tick(&mut self) {
        self.ticks += 1;
        let cores = match &self.variant {
            Variant::Cores(cores) => {
                cores.iter().enumerate().filter(|c| c.1.next_tick() <= self.now).map(|c| c.0).collect()
            }
            Variant::Services(_) => vec![],
        };
        if cores.is_empty() {
            return self.feed(0, Input::Tick);
        }
        self.ticks += cores.len() as u64 - 1;
        cores.into_iter().for_each(|n| self.feed(n as u64 + 1, Input::Tick));
    }

    fn advance(&mut self, until: Duration) {
        while self.due() <= until {
            self.now = self.due().max(self.now + Duration::from_micros(50));
            self.tick();
        }
        self.now = until;
    }

    fn rpc(&mut self, service: usize) {
        self.next += 1;
        let method = format!("s{service}-m{}", self.next as usize % METHODS);
        let (id, time_left) = (self.next, Some(Duration::from_secs(1)));
        let call = Call {
            method: &method,
            tenant: None,
            key: None,
            has_idempotency_key: false,
            time_left,
            is_retry: false,
        };
        self.feed(service as u64 + 1, Input::Rpc { id, call });
    }
}

fn resident_kib() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) * 4
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, kind, count] = &args[..] else { panic!("usage: services cores|services COUNT") };
    let count: usize = count.parse().expect("COUNT must be a number");
    let before = resident_kib();
    let variant = match &kind[..] {
        "cores" => Variant::Cores((0..count).map(|n| Core::new(single_service_config(n), 0)).collect()),
        _ => Variant::Services(Box::new(Services::new(config(count), 0))),
    };
    let (now, cpu_time) = (Duration::from_secs(86_400), Duration::ZERO);
    let mut run = Run { variant, now, ticks: 0, cpu_time, ok: 0, next: 0 };
    if matches!(run.variant, Variant::Cores(_)) {
        (1..=count as u64).for_each(|instance| {
            run.feed(instance, Input::Tick);
            run.rollout_update(instance);
        });
    }
    let report = |run: &mut Run, what: &str, seconds: f64| {
        let (held, bytes) = match &run.variant {
            Variant::Cores(cores) => (cores.len(), 0),
            Variant::Services(services) => (services.instances().count(), services.bytes()),
        };
        println!(
            "{kind} {count} {what}: held {held}, resident {} KiB more than at the start, reckoned {} KiB, ticks a second \
             {:.1}, core time {:.3} ms a second, ok {}",
            resident_kib() - before.min(resident_kib()),
            bytes / 1024,
            run.ticks as f64 / seconds,
            run.cpu_time.as_secs_f64() * 1e3 / seconds,
            run.ok
        );
        (run.ticks, run.cpu_time) = (0, Duration::ZERO);
    };
    let start = run.now;
    for n in 0..95 * 60 {
        run.advance(start + Duration::from_secs(1).mul_f64(n as f64 / 95.0));
        run.rpc(n % count);
    }
    run.advance(start + Duration::from_secs(60));
    report(&mut run, "in use, 60 s", 60.0);
    run.advance(start + Duration::from_secs(90));
    (run.ticks, run.cpu_time) = (0, Duration::ZERO);
    run.advance(start + Duration::from_secs(150));
    report(&mut run, "at rest, 60 s", 60.0);
    run.advance(start + Duration::from_secs(200));
    (run.ticks, run.cpu_time) = (0, Duration::ZERO);
    run.advance(start + Duration::from_secs(230));
    report(&mut run, "after services.rest, 30 s", 30.0);
}
