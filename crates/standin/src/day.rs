//! The script of a day, in HCL: the fleet, its traffic, the builds rolled out and the faults injected. The same
//! script runs on sockets and in virtual time.

use std::time::Duration;

use ivydrift_audit::trace;
use ivydrift_policy::port::{Group, MethodConfig, ReleaseConfig, Repeat, RuleConfig};
use ivydrift_terms::hcl_reader::{BlockReader, ConfigErrors, SourceFile};

use crate::platform_stats::Sampling;

/// The built-in script with many faults.
pub const BAD: &str = include_str!("../../../days/bad.hcl");
/// A short script for tests.
pub const SHORT: &str = include_str!("../../../days/short.hcl");

/// The kinds of fault that a script can inject. Each describes what `severity` of its [`InjectedFault`] means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Traffic is multiplied by `severity`.
    Burst,
    /// A part `severity` of one method's RPCs costs `work_factor` times the usual work.
    HeavyTail,
    /// A part `severity` of the nodes crashes; they restart cold at the end.
    Crash,
    /// A part `severity` of the nodes accepts RPCs and never answers.
    Hang,
    /// A part `node_share` of the nodes immediately fails a part `severity` of their RPCs.
    FastErrors,
    /// A noisy neighbour: a part `node_share` of the nodes works `severity` times slower.
    NoisyNeighbour,
    /// A part `severity` of the answers is lost: the connection breaks after the RPC ran.
    LostAnswers,
    /// RPCs from other zones to `zone` take `severity` seconds longer each way.
    SlowLink,
    /// All nodes of `zone` stop; they restart cold at the end.
    LostZone,
    /// Node list and rollout controller report everything `severity` seconds later.
    LateReports,
    /// The rollout controller does not answer; a vote may still be counted.
    ControllerDown,
    /// The node list closes connections without an answer.
    ListDown,
    /// A part `severity` of the traffic moves to the marshals of `zone`.
    ShiftTraffic,
    /// A part `severity` of the clients cancels before its deadline.
    ClientsCancel,
    /// Nodes close idle connections after `severity` seconds.
    CloseIdle,
    /// The process of marshal number `severity` is suspended.
    Suspend,
    /// Marshal number `severity` is killed, and restarted at the end.
    Kill,
    /// All nodes work `severity` times slower.
    SharedSlow,
    /// RPCs of `method` cost `severity` times the work.
    SlowMethod,
}

const FAULT_KINDS: [(&str, FaultKind); 19] = [
    ("burst", FaultKind::Burst),
    ("heavy-tail", FaultKind::HeavyTail),
    ("crash", FaultKind::Crash),
    ("hang", FaultKind::Hang),
    ("fast-errors", FaultKind::FastErrors),
    ("neighbour", FaultKind::NoisyNeighbour),
    ("lost-answers", FaultKind::LostAnswers),
    ("slow-link", FaultKind::SlowLink),
    ("lost-zone", FaultKind::LostZone),
    ("late-reports", FaultKind::LateReports),
    ("desk-down", FaultKind::ControllerDown),
    ("list-down", FaultKind::ListDown),
    ("shift", FaultKind::ShiftTraffic),
    ("give-up", FaultKind::ClientsCancel),
    ("idle-reap", FaultKind::CloseIdle),
    ("stall", FaultKind::Suspend),
    ("kill", FaultKind::Kill),
    ("shared-slow", FaultKind::SharedSlow),
    ("slow-method", FaultKind::SlowMethod),
];

impl FaultKind {
    /// The name of the kind in scripts.
    pub fn word(self) -> &'static str {
        FAULT_KINDS.iter().find(|k| k.1 == self).map_or("", |k| k.0)
    }
}

/// A fault that is active for a part of the day.
#[derive(Clone, Debug, PartialEq)]
pub struct InjectedFault {
    pub name: String,
    pub kind: FaultKind,
    pub at: Duration,
    pub lasts: Duration,
    /// How severe it is; see [`FaultKind`].
    pub severity: f64,
    /// The part of the nodes affected, for kinds that use it.
    pub node_share: f64,
    /// Cost of a heavy RPC as a multiple of the usual work.
    pub work_factor: f64,
    pub zone: Option<usize>,
    pub method: Option<usize>,
}

impl InjectedFault {
    /// Whether the fault is active.
    pub fn is_active(&self, now: Duration) -> bool {
        now >= self.at && now < self.at + self.lasts
    }
}

/// How a build is defective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Not at all.
    None,
    /// Fails a part `severity` of all RPCs.
    Errors,
    /// Fails a part `severity` of one method's RPCs.
    OneMethod,
    /// Works `severity` times slower.
    Slow,
    /// Some seconds after its node started, works at half speed and fails a part `severity` of the RPCs.
    LateOnset,
    /// Fails a part `severity` of the RPCs while all cores of its node are busy.
    UnderLoad,
    /// A part `severity` of its answers is wrong; some are reported by clients later.
    Wrong,
    /// Slows all nodes, of any build, in proportion to `severity` times its share of the traffic.
    Shared,
}

const DEFECTS: [(&str, Defect); 8] = [
    ("none", Defect::None),
    ("errors", Defect::Errors),
    ("one-method", Defect::OneMethod),
    ("slow", Defect::Slow),
    ("late", Defect::LateOnset),
    ("under-load", Defect::UnderLoad),
    ("wrong", Defect::Wrong),
    ("shared", Defect::Shared),
];

/// A build that is rolled out during the day.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRollout {
    pub build: u32,
    pub at: Duration,
    pub defect: Defect,
    pub severity: f64,
    pub method: Option<usize>,
}

/// A type of machine: its share of the fleet, and its speed relative to a standard core.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    pub name: String,
    pub share: f64,
    pub speed: f64,
}

/// The nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    pub nodes: usize,
    pub cores: usize,
    pub machines: Vec<MachineType>,
    /// The longest time from ordering a node until it runs.
    pub start_time: Duration,
    /// How long a drained node lives on.
    pub drain_time: Duration,
    /// RPCs that may wait at a node; further ones are rejected without running.
    pub queue: usize,
}

/// What the RPCs of a method cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// Share of the traffic.
    pub share: f64,
    pub mean: Duration,
    /// Work is uniform between the mean times `1 - spread` and times `1 + spread`.
    pub spread: f64,
}

/// The traffic of the clients.
#[derive(Clone, Debug, PartialEq)]
pub struct Traffic {
    /// RPCs per second.
    pub rate: f64,
    /// How often a client retries an RPC.
    pub retries: u32,
    pub retry_wait: Duration,
    /// The shortest client time-out, as a part of the method's deadline.
    pub min_timeout_share: f64,
    /// Number of keys, drawn by a Zipf distribution; 0 for RPCs without keys.
    pub keys: u64,
    pub zipf: f64,
    /// One-way network delay within a zone.
    pub delay_near: Duration,
    /// One-way network delay between zones.
    pub delay_far: Duration,
}

/// A script that has been read and checked.
#[derive(Clone, Debug)]
pub struct Day {
    pub name: String,
    pub seed: u64,
    pub lasts: Duration,
    pub marshals: usize,
    pub zones: Vec<String>,
    /// Marshals may exchange reports with each other.
    pub peers: bool,
    pub methods: Vec<(String, MethodConfig, Work)>,
    pub release: ReleaseConfig,
    pub rules: RuleConfig,
    pub fleet: Fleet,
    pub traffic: Traffic,
    pub rollouts: Vec<PlannedRollout>,
    pub faults: Vec<InjectedFault>,
    /// How late the node list reports a change, at any time.
    pub list_lag: Duration,
    /// How late the rollout controller reports a change, at any time.
    pub controller_lag: Duration,
    pub sampling: Sampling,
    /// The blocks that are copied unchanged into the marshals' configs.
    config_blocks: String,
}

/// Reads the script of a day. `file` is its name in messages.
///
/// # Errors
/// Everything that is wrong with it, each with file, line, column and what to write instead.
pub fn read(file: &str, text: &str) -> Result<Day, ConfigErrors> {
    SourceFile::new(file, text).read(|top| parse_day(file, top))
}

fn parse_name(s: &BlockReader, key: &str, names: &[String]) -> Option<usize> {
    if !s.has(key) {
        s.string(key, Some(""), "a name");
        return None;
    }
    let form = format!("one of {}", names.iter().map(|n| format!("{n:?}")).collect::<Vec<_>>().join(", "));
    s.parsed(key, None, &form, |text| names.iter().position(|n| n == text))
}

fn parse_day(file: &str, top: &BlockReader) -> Day {
    let seconds = |s: f64| Some(Duration::from_secs_f64(s));
    let zones = top.strings("zones", Some(vec!["site-a".to_owned()]));
    let marshals = top.integer("marshals", Some(3), 1..=500) as usize;
    let methods: Vec<(String, MethodConfig)> =
        top.labelled_blocks("method", |name, s| (name.to_owned(), ivydrift_terms::method(s)));
    if methods.is_empty() {
        top.error(None, "no method is named: write at least one method \"its-path\" { ... }");
    }
    let method_names: Vec<String> = methods.iter().map(|m| m.0.clone()).collect();
    let all_work = top.labelled_blocks("work", |name, s| {
        if !method_names.iter().any(|n| n == name) {
            s.error(None, format!("work is given for {name:?}, but there is no such method"));
        }
        let work = Work {
            share: s.number("share", None, 0.0..=1.0),
            mean: s.duration("mean", None),
            spread: s.number("spread", Some(0.25), 0.0..=0.95),
        };
        (name.to_owned(), work)
    });
    let work = |name: &str| {
        let found = all_work.iter().find(|w| w.0 == name).map(|w| w.1.clone());
        if found.is_none() {
            top.error(None, format!("no work is given for method {name:?}: write work {name:?} {{ ... }}"));
        }
        found.unwrap_or(Work { share: 0.0, mean: Duration::from_millis(1), spread: 0.0 })
    };
    let methods: Vec<_> =
        methods.into_iter().map(|(name, config)| (name.clone(), config, work(&name))).collect();
    let machines = top.labelled_blocks("machine", |name, s| MachineType {
        name: name.to_owned(),
        share: s.number("share", None, 0.0..=1.0),
        speed: s.number("speed", Some(1.0), 0.01..=100.0),
    });
    let default_machines = || vec![MachineType { name: "plain".to_owned(), share: 1.0, speed: 1.0 }];
    let machines = if machines.is_empty() { default_machines() } else { machines };
    let fleet = top.block("fleet", |s| Fleet {
        nodes: s.integer("nodes", Some(16), 1..=2000) as usize,
        cores: s.integer("cores", Some(1), 1..=256) as usize,
        machines,
        start_time: s.duration("start", seconds(1.0)),
        drain_time: s.duration("leave", seconds(3.0)),
        queue: s.integer("queue", Some(40), 1..=100_000) as usize,
    });
    let traffic = top.block("traffic", |s| Traffic {
        rate: s.number("rate", None, 0.1..=100_000.0),
        retries: s.integer("retries", Some(1), 0..=10) as u32,
        retry_wait: s.duration("retry_wait", seconds(0.1)),
        min_timeout_share: s.number("patience", Some(0.6), 0.05..=1.0),
        keys: s.integer("keys", Some(0), 0..=10_000_000),
        zipf: s.number("zipf", Some(1.0), 0.0..=3.0),
        delay_near: s.duration("near", seconds(0.0003)),
        delay_far: s.duration("far", seconds(0.001)),
    });
    let rollouts = top.labelled_blocks("build", |name, s| {
        let build = name.parse().unwrap_or_else(|_| {
            s.error(None, format!("build {name:?}: write its number, over 1, as in build \"2\""));
            2
        });
        let defect = s.one_of("fault", Some(Defect::None), &DEFECTS);
        let method = parse_name(s, "method", &method_names);
        if defect == Defect::OneMethod && method.is_none() {
            s.error(None, "one-method needs the method: write method = \"its-path\"");
        }
        let (at, severity) = (s.duration("at", None), s.number("much", Some(0.3), 0.0..=1000.0));
        PlannedRollout { build, at, defect, severity, method }
    });
    let faults = top.labelled_blocks("trouble", |name, s| InjectedFault {
        name: name.to_owned(),
        kind: s.one_of("kind", None, &FAULT_KINDS),
        at: s.duration("at", None),
        lasts: s.duration("lasts", None),
        severity: s.number("much", Some(0.0), 0.0..=1000.0),
        node_share: s.number("nodes", Some(0.2), 0.0..=1.0),
        work_factor: s.number("times", Some(10.0), 1.0..=1000.0),
        zone: parse_name(s, "zone", &zones),
        method: parse_name(s, "method", &method_names),
    });
    Day {
        name: file.to_owned(),
        seed: top.integer("seed", Some(1), 0..=u64::MAX),
        lasts: top.duration("lasts", seconds(60.0)),
        marshals,
        peers: top.boolean("peers", Some(true)),
        release: top.block("release", |s| ivydrift_terms::release(s, marshals)),
        rules: top.block("rules", ivydrift_terms::rules),
        list_lag: top.duration("list_lag", seconds(0.3)),
        controller_lag: top.duration("desk_lag", seconds(0.2)),
        sampling: top.block("tally", |s| Sampling {
            period: s.duration("every", seconds(0.0)),
            share: s.number("share", Some(0.2), 0.0..=1.0),
            report_delay: s.duration("late", seconds(1.0)),
        }),
        config_blocks: top.blocks_as_hcl(&["method", "release", "rules"]),
        zones,
        methods,
        fleet,
        traffic,
        rollouts,
        faults,
    }
}

/// The addresses of one marshal and of the services that it uses.
pub struct Addresses {
    pub listen: std::net::SocketAddr,
    pub node_list: std::net::SocketAddr,
    pub rollout_controller: std::net::SocketAddr,
    pub peers: Vec<std::net::SocketAddr>,
}

impl Day {
    /// The index of a marshal's zone.
    pub fn zone_of_marshal(&self, marshal: usize) -> usize {
        marshal % self.zones.len()
    }

    /// The config of one marshal, as HCL.
    pub fn config(&self, marshal: usize, at: &Addresses) -> String {
        let quoted =
            |names: Vec<String>| names.iter().map(|n| format!("{n:?}")).collect::<Vec<_>>().join(", ");
        let kinds = self.fleet.machines.iter().map(|m| m.name.clone()).collect();
        let peers: Vec<String> =
            if self.peers { at.peers.iter().map(ToString::to_string).collect() } else { vec![] };
        format!(
            "zones = [{}]\nkinds = [{}]\n\nmarshal {{\n  number = {marshal}\n  of = {}\n  zone = {:?}\n  seed = {}\n}}\n\n\
             places {{\n  listen = \"{}\"\n  node_list = \"{}\"\n  service = \"town\"\n  release_desk = \"{}\"\n  \
             peers = [{}]\n}}\n\nlimits {{\n  cancel = true\n}}\n\n{}",
            quoted(self.zones.clone()),
            quoted(kinds),
            self.marshals,
            self.zones[self.zone_of_marshal(marshal)],
            self.seed * 1000 + marshal as u64,
            at.listen,
            at.node_list,
            at.rollout_controller,
            quoted(peers),
            self.config_blocks
        )
    }

    /// The limits that the trace checker applies. `slack`: how far apart two observers may see the same event.
    pub fn law(&self, slack: Duration) -> trace::Limits {
        let us = |d: Duration| d.as_micros() as u64;
        let method = |(name, config, _): &(String, MethodConfig, Work)| {
            let (repeat, group, window) = match config.repeat {
                Repeat::Idempotent => (trace::Repeat::Idempotent, Group::All, Duration::ZERO),
                Repeat::NonIdempotent => (trace::Repeat::NonIdempotent, Group::All, Duration::ZERO),
                Repeat::Tokened { group, window } => (trace::Repeat::Tokened, group, window),
            };
            let group = match group {
                Group::All => trace::Group::All,
                Group::Zone => trace::Group::Zone,
                Group::Cell => trace::Group::Cell,
            };
            trace::Method { name: name.clone(), repeat, group, window_us: us(window) }
        };
        trace::Limits {
            methods: self.methods.iter().map(method).collect(),
            drain_grace_us: us(self.rules.drain_grace),
            cold_from: self.rules.cold_start_part,
            warm_us: us(self.rules.warm_up),
            fall_multiple: self.rules.slow_start_multiple,
            fall_us: us(self.rules.slow_start_window),
            window_us: us(self.release.exposure_window),
            free: self.release.free_picks,
            first_cap: self.release.exposure_caps.first().copied().unwrap_or(0.0),
            by_method: self.release.exposure_by_method,
            guarded: self.release.guarded_stages as u32,
            one_way: self.release.one_way,
            copies: false,
            slack_us: us(slack),
            late_us: us(slack),
        }
    }
}
