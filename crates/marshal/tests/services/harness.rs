//! Test harness: a marshal of many services in virtual time, with simulated node lists, rollout controllers
//! and nodes that behave as configured. It checks the invariants after every step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ivydrift_marshal::{
    Call, Command, DropReason, Id, Input, InstanceId, Observation, Output, Services, PRIMARY,
};
use ivydrift_terms::Config;
use ivydrift_wire::controller::{RolloutState, RolloutUpdate, Stage};
use ivydrift_wire::list::ListedNode;
use ivydrift_wire::orca::Metrics;

pub const NONE: Metrics =
    Metrics { cpu_utilization: None, rps: None, eps: None, queue: None, in_flight: None, latency_ms: None };
pub const OK: Observation = Observation::Answer { status: 200, never_ran: false, load: NONE };
pub const ERROR: Observation = Observation::Answer { status: 500, never_ran: false, load: NONE };
pub const FULL: Observation = Observation::Answer { status: 503, never_ran: true, load: NONE };

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The example config with its three methods of `calendar`, and for each service `NAME-read` (idempotent),
/// `NAME-save` (tokened, window 5 s) and `NAME-book` (non-idempotent).
pub fn config(services: &[String], block: &str, release: &str) -> Config {
    let mut text = ivydrift_terms::EXAMPLE.replace("release {", &format!("release {{\n  {release}\n"));
    for name in services {
        for (what, repeat) in [("read", "idempotent"), ("save", "tokened"), ("book", "non-idempotent")] {
            let window = if what == "save" { "window = \"5s\"\n" } else { "" };
            text += &format!(
                "\nmethod \"{name}-{what}\" {{\n  service = \"{name}\"\n  repeat = \"{repeat}\"\n  {window}  \
                 soft_deadline = \"800ms\"\n  deadline = \"3s\"\n}}\n"
            );
        }
    }
    ivydrift_terms::parse("many.hcl", &format!("{text}\nservices {{\n  {block}\n}}\n")).unwrap()
}

pub fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("s{n}")).collect()
}

/// Simulated behaviour of a service's node list, rollout controller and nodes.
#[derive(Clone)]
pub struct Behavior {
    /// Delay of the node list in ms. `None`: the list never comes, or the subscription breaks if `list_fails`.
    pub list_ms: Option<u64>,
    pub list_fails: bool,
    /// Delay of the rollout controller's message in ms. `None`: it stays silent.
    pub controller_ms: Option<u64>,
    pub stage: Stage,
    pub nodes: Vec<ListedNode>,
    /// Duration of a pick in ms, and how it ends.
    pub pick_ms: u64,
    pub observation: Observation,
}

pub fn released(build: u32) -> Stage {
    Stage { build, stage: 2, course: RolloutState::Released, cap: 1.0, age_ms: 90_000 }
}

pub fn on_trial(build: u32, cap: f64) -> Stage {
    Stage { build, stage: 0, course: RolloutState::OnTrial, cap, age_ms: 5_000 }
}

impl Behavior {
    pub fn plain(nodes: Vec<ListedNode>) -> Behavior {
        Behavior {
            list_ms: Some(20),
            list_fails: false,
            controller_ms: Some(10),
            stage: released(1),
            nodes,
            pick_ms: 15,
            observation: OK,
        }
    }
}

pub struct RpcState {
    pub service: String,
    by: Duration,
    pub answers: Vec<(&'static str, Option<Duration>)>,
    pub out: BTreeSet<usize>,
    pub picks: usize,
    method: String,
    keyed: bool,
    tokened: bool,
    left: bool,
}

#[derive(Default)]
pub struct History {
    pub taken: Vec<Duration>,
    /// Time, build and port of each pick.
    pub picks: Vec<(Duration, u32, u16)>,
    /// Methods of `taken` and of `picks`.
    methods: [Vec<String>; 2],
    idempotency_until: Duration,
    /// A request with a key has been answered by the build on trial while an earlier build is there.
    pub keys_on_new_build: bool,
    /// The same may have happened, as far as the harness can see.
    keys_may_be_new: bool,
}

enum ScheduledEvent {
    List(InstanceId),
    Lost(InstanceId),
    RolloutUpdate(InstanceId),
    Ended(Id, usize, Observation),
}

pub struct Harness {
    pub services: Services,
    pub now: Duration,
    pub behaviors: BTreeMap<String, Behavior>,
    pub rpcs: BTreeMap<Id, RpcState>,
    pub histories: BTreeMap<String, History>,
    pub held: BTreeMap<InstanceId, String>,
    pub dropped: Vec<(Duration, String, DropReason)>,
    pub outputs: Vec<(Duration, Output)>,
    pub ticks: u64,
    /// Interval in ms at which the list is sent again while it is subscribed to.
    pub resend_list_ms: Option<u64>,
    queue: BTreeMap<(Duration, u64), ScheduledEvent>,
    next: u64,
    most: usize,
    bytes: usize,
    window: Duration,
    free: f64,
    one_way: bool,
    by_method: bool,
}

impl Harness {
    pub fn new(config: Config, behaviors: BTreeMap<String, Behavior>) -> Harness {
        let (most, bytes, release) =
            (config.services.max_services, config.services.max_bytes, &config.rollout.release);
        let (window, free, one_way) = (release.exposure_window, release.free_picks, release.one_way);
        let by_method = release.exposure_by_method;
        let mut harness = Harness {
            services: Services::new(config, 0),
            now: ms(86_400_000),
            behaviors,
            rpcs: BTreeMap::new(),
            histories: BTreeMap::new(),
            held: BTreeMap::new(),
            dropped: vec![],
            outputs: vec![],
            ticks: 0,
            resend_list_ms: None,
            queue: BTreeMap::new(),
            next: 0,
            most,
            bytes,
            window,
            free,
            one_way,
            by_method,
        };
        harness.handle(PRIMARY, Input::Tick);
        harness
    }

    pub fn handle(&mut self, instance_id: InstanceId, input: Input) -> Vec<Output> {
        let outputs = self.services.handle(self.now, instance_id, input);
        for output in &outputs {
            self.apply_output(output);
            self.outputs.push((self.now, output.clone()));
        }
        self.check_invariants();
        outputs
    }

    fn schedule(&mut self, after: u64, event: ScheduledEvent) {
        self.next += 1;
        self.queue.insert((self.now + ms(after), self.next), event);
    }

    fn apply_output(&mut self, output: &Output) {
        match output {
            Output::HoldService { instance, service } => {
                assert!(!self.held.values().any(|name| **name == **service), "{service} is held twice");
                assert!(self.held.insert(*instance, service.to_string()).is_none(), "an id is used again");
                if let Some(after) = self.behaviors[&**service].controller_ms {
                    self.schedule(after, ScheduledEvent::RolloutUpdate(*instance));
                }
            }
            Output::DropService { instance, service, why } => {
                let held = self.held.remove(instance);
                assert_eq!(held.as_deref(), Some(&**service), "dropped a service that is not held");
                self.check_drop(service, *why);
                self.dropped.push((self.now, service.to_string(), *why));
            }
            Output::Command { instance, command } => {
                assert!(
                    *instance == PRIMARY || self.held.contains_key(instance),
                    "a command of a service that is not held"
                );
                self.apply_command(*instance, command);
            }
        }
    }

    /// Invariant: no service is dropped while anything of it is open.
    fn check_drop(&self, service: &str, why: DropReason) {
        for (id, rpc) in self.rpcs.iter().filter(|r| r.1.service == service) {
            let answered = !rpc.answers.is_empty() || rpc.left;
            assert!(answered && rpc.out.is_empty(), "{service} dropped ({why:?}) with RPC {id} in flight");
        }
        let Some(history) = self.histories.get(service) else { return };
        let last = history.picks.last().map_or(Duration::ZERO, |p| p.0 + self.window);
        assert!(self.now >= last, "{service} dropped ({why:?}) with its exposure window open");
        assert!(
            self.now >= history.idempotency_until,
            "{service} dropped ({why:?}) with an idempotency key's window open"
        );
        assert!(
            !(self.one_way && history.keys_on_new_build),
            "{service} dropped ({why:?}) with keys that have reached the build on trial"
        );
    }

    /// Whether nothing of the service is open, as far as the harness can see.
    fn can_be_dropped(&self, service: &str) -> bool {
        let service_rpcs = self.rpcs.values().filter(|r| r.service == service);
        let busy = service_rpcs.filter(|r| r.answers.is_empty() && !r.left || !r.out.is_empty()).count() > 0;
        let Some(history) = self.histories.get(service) else { return !busy };
        let last = history.picks.last().map_or(Duration::ZERO, |p| p.0 + self.window + ms(500));
        !busy
            && self.now >= last
            && self.now >= history.idempotency_until
            && !(self.one_way && history.keys_may_be_new)
    }

    fn apply_command(&mut self, instance_id: InstanceId, command: &Command) {
        let name = self.held.get(&instance_id).cloned().unwrap_or_else(|| "calendar".into());
        match command {
            Command::FollowMembership if instance_id != PRIMARY => {
                let behavior = self.behaviors[&name].clone();
                match behavior.list_ms {
                    Some(after) => self.schedule(after, ScheduledEvent::List(instance_id)),
                    None if behavior.list_fails => self.schedule(20, ScheduledEvent::Lost(instance_id)),
                    None => {}
                }
            }
            Command::Pick { id, pick, node, by, .. } => {
                let behavior = &self.behaviors[&name];
                let (pick_ms, observation) = (behavior.pick_ms, behavior.observation);
                let build = behavior.nodes.iter().find(|n| n.port == node.port()).map_or(0, |n| n.build);
                let rpc = self.rpcs.get_mut(id).unwrap();
                assert!(
                    rpc.service == name && rpc.answers.is_empty() && !rpc.left,
                    "RPC {id} picked after its end"
                );
                (rpc.picks, _) = (rpc.picks + 1, rpc.out.insert(*pick));
                let history = self.histories.entry(name.clone()).or_default();
                history.picks.push((self.now, build, node.port()));
                history.methods[1].push(rpc.method.clone());
                // Also if the client disconnects before the answer; 0 is a node whose build is no longer
                // listed.
                history.keys_may_be_new |= rpc.keyed && build != 1;
                if rpc.tokened {
                    history.idempotency_until = self.now + ms(5000);
                }
                let method = rpc.method.clone();
                self.check_exposure(&name, build, &method);
                let late = self.now + ms(pick_ms) > *by;
                let after = if late { by.saturating_sub(self.now).as_millis() as u64 } else { pick_ms };
                self.schedule(
                    after,
                    ScheduledEvent::Ended(*id, *pick, if late { Observation::TimedOut } else { observation }),
                );
            }
            Command::Sever { id, pick } => {
                self.schedule(0, ScheduledEvent::Ended(*id, *pick, Observation::Cancelled))
            }
            Command::Pass { id, build, .. } => {
                // Without a rollout controller the oldest listed build counts as released, and all later ones
                // as on trial.
                let behavior = &self.behaviors[&name];
                let oldest = behavior.nodes.iter().map(|n| n.build).min().unwrap_or(0);
                let trial = match behavior.controller_ms {
                    Some(_) => behavior.stage.course == RolloutState::OnTrial && *build > 1,
                    None => *build > oldest,
                };
                let keyed = self.rpcs[id].keyed;
                let history = self.histories.entry(name.clone()).or_default();
                history.keys_on_new_build |= trial && keyed;
                self.record_answer(*id, "ok", None);
            }
            Command::PushBack { id, retry_after, .. } => self.record_answer(*id, "pushed back", *retry_after),
            Command::Abort { id, .. } => self.record_answer(*id, "aborted", None),
            Command::Reject { id, .. } => self.record_answer(*id, "rejected", None),
            _ => {}
        }
    }

    /// Invariant: over all periods in which the service is held, exposure is at most `free` plus the cap's
    /// share of a window's RPCs.
    fn check_exposure(&self, name: &str, build: u32, method: &str) {
        let (history, stage) = (&self.histories[name], &self.behaviors[name].stage);
        // Without a rollout controller the oldest listed build counts as released, as at any start.
        let silent = self.behaviors[name].controller_ms.is_none();
        if stage.course != RolloutState::OnTrial || build != stage.build || silent {
            return;
        }
        let lately = |at: &&Duration| **at + self.window > self.now;
        // All methods together, or each by itself.
        let counts = |m: &&String| !self.by_method || **m == method;
        let picks = history.picks.iter().zip(&history.methods[1]).filter(|p| p.0 .1 == build && counts(&p.1));
        let sent = picks.filter(|p| lately(&&p.0 .0)).count() as f64;
        let taken = history.taken.iter().zip(&history.methods[0]);
        let taken = taken.filter(|t| lately(&t.0) && counts(&t.1)).count() as f64;
        assert!(sent <= self.free + stage.cap * taken, "{name}: {sent} exposed of {taken}");
    }

    fn record_answer(&mut self, id: Id, word: &'static str, retry_after: Option<Duration>) {
        let (now, rpc) = (self.now, self.rpcs.get_mut(&id).unwrap());
        assert!(rpc.answers.is_empty(), "RPC {id}: {word} after {:?}", rpc.answers);
        assert!(now <= rpc.by, "RPC {id} is answered {:?} too late", now - rpc.by);
        rpc.answers.push((word, retry_after));
    }

    fn check_invariants(&self) {
        let held: Vec<_> = self.services.instances().collect();
        assert!(held.len() <= self.most, "{} held of {}", held.len(), self.most);
        assert!(held.iter().all(|h| self.held[&h.instance] == *h.service) && held.len() == self.held.len());
        assert_eq!(self.services.bytes(), held.iter().map(|h| h.bytes).sum::<usize>());
        let waiting = self.rpcs.values().filter(|r| r.answers.is_empty() && !r.left || !r.out.is_empty());
        assert_eq!(self.services.counts().held, waiting.count(), "RPCs in flight");
    }

    pub fn rpc(&mut self, method: &str, left: u64, key: Option<u64>) -> Id {
        self.next += 1;
        let id = self.next;
        let (service, what) = method.split_once('-').unwrap();
        let (service, tokened, name) = (service.to_owned(), what == "save", method.to_owned());
        let (at, by) = (self.now, self.now + ms(left.min(3000)));
        let (answers, out) = (vec![], BTreeSet::new());
        self.rpcs.insert(
            id,
            RpcState {
                service: service.clone(),
                by,
                answers,
                out,
                picks: 0,
                method: name,
                keyed: key.is_some(),
                tokened,
                left: false,
            },
        );
        let history = self.histories.entry(service).or_default();
        history.taken.push(at);
        history.methods[0].push(method.to_owned());
        let call = Call {
            method,
            tenant: None,
            key,
            has_idempotency_key: true,
            time_left: Some(ms(left)),
            is_retry: false,
        };
        self.handle(PRIMARY, Input::Rpc { id, call });
        id
    }

    pub fn leave(&mut self, id: Id) {
        let Some(rpc) = self.rpcs.get_mut(&id).filter(|r| r.answers.is_empty()) else { return };
        rpc.left = true;
        self.handle(PRIMARY, Input::ClientLeft { id });
    }

    pub fn list(&mut self, name: &str) {
        if let Some(instance_id) = self.current_id(name) {
            self.feed_list(instance_id);
        }
    }

    fn feed_list(&mut self, instance_id: InstanceId) {
        // The list requested while the service was held earlier still arrives.
        let name = self.held.get(&instance_id).cloned();
        let name = name.unwrap_or_else(|| self.behaviors.keys().next().unwrap().clone());
        let nodes = self.behaviors[&name].nodes.clone();
        let held = self.held.contains_key(&instance_id);
        let outputs = self.handle(instance_id, Input::NodeList(&nodes));
        assert!(held || outputs.is_empty(), "a dropped service's list had an effect: {outputs:?}");
    }

    fn run_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::List(instance_id) => {
                self.feed_list(instance_id);
                if let Some(resend_list_ms) =
                    self.resend_list_ms.filter(|_| self.held.contains_key(&instance_id))
                {
                    self.schedule(resend_list_ms, ScheduledEvent::List(instance_id));
                }
            }
            ScheduledEvent::Lost(instance_id) => drop(self.handle(instance_id, Input::NodeListLost)),
            ScheduledEvent::RolloutUpdate(instance_id) => {
                let Some(stage) = self.held.get(&instance_id).map(|name| self.behaviors[name].stage) else {
                    return;
                };
                let rollout_update =
                    RolloutUpdate { index: 1, stage: Some(stage), sums: vec![], disputed: vec![] };
                self.handle(instance_id, Input::RolloutUpdate(&rollout_update));
            }
            ScheduledEvent::Ended(id, pick, observation) => {
                if self.rpcs.get_mut(&id).is_some_and(|r| r.out.remove(&pick)) {
                    self.handle(PRIMARY, Input::PickEnded { id, pick, observation });
                }
            }
        }
    }

    pub fn rollout_update(&mut self, name: &str) {
        if let Some(instance_id) = self.current_id(name) {
            self.run_event(ScheduledEvent::RolloutUpdate(instance_id));
        }
    }

    pub fn lose_list(&mut self, name: &str) {
        if let Some(instance_id) = self.current_id(name) {
            self.run_event(ScheduledEvent::Lost(instance_id));
        }
    }

    pub fn current_id(&self, name: &str) -> Option<InstanceId> {
        self.held.iter().find(|h| h.1 == name).map(|h| *h.0)
    }

    /// Advances the time and processes everything that falls due.
    pub fn advance(&mut self, span: u64) {
        let until = self.now + ms(span);
        while self.now < until {
            let due = self.services.next_tick().max(self.now + Duration::from_micros(50));
            let event = self.queue.first_key_value().map(|e| *e.0);
            match event.filter(|e| e.0 <= due.min(until)) {
                Some(at) => {
                    self.now = at.0.max(self.now);
                    let event = self.queue.remove(&at).unwrap();
                    self.run_event(event);
                }
                None => {
                    self.now = due.min(until);
                    self.ticks += u64::from(due <= until);
                    self.handle(PRIMARY, Input::Tick);
                    // Invariant: memory is over the limit only if every held service has something open.
                    let over = self.services.bytes() > self.bytes;
                    let droppable = || self.held.values().find(|name| self.can_be_dropped(name));
                    assert!(
                        !over || droppable().is_none(),
                        "{} bytes, although {:?} could be dropped",
                        self.services.bytes(),
                        droppable()
                    );
                }
            }
        }
    }

    pub fn reconfigure(&mut self, config: Config) -> Result<(), String> {
        let (most, bytes) = (config.services.max_services, config.services.max_bytes);
        self.services.reconfigure(config)?;
        (self.most, self.bytes) = (self.most.max(most), bytes);
        Ok(())
    }

    pub fn answer_of(&self, id: Id) -> &'static str {
        self.rpcs[&id].answers.first().map_or("", |a| a.0)
    }

    /// Checks that every RPC has exactly one answer or its client has disconnected.
    pub fn all_answered(&self) {
        for (id, rpc) in &self.rpcs {
            assert!(rpc.answers.len() == 1 || rpc.left, "RPC {id} of {}: {:?}", rpc.service, rpc.answers);
        }
    }
}
