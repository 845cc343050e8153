//! One held service: its core, and the state that decides when it may sleep and when it may be dropped.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use ivydrift_policy::port::Repeat;
use ivydrift_wire::controller::{RolloutState, Stage};

use super::config_split::OnDemandConfig;
use super::{DropReason, InstanceId, ServiceState};
use crate::config_update::MAX_METHODS;
use crate::{Ballot, Command, Core, Input};

/// A service may sleep after this long without RPCs in flight or news: evidence halves every 5 s and verdicts
/// are weighed for at most 15 s, so nothing is left to decide.
const SLEEP_AFTER: Duration = Duration::from_secs(20);
/// After a node list arrives, the policy needs a few ticks.
const AWAKE_AFTER_LIST: Duration = Duration::from_millis(400);
/// Tick interval of a sleeping service.
const SLEEP_TICK: Duration = Duration::from_secs(5);
/// The policy keeps the rules' accounting this much longer than their windows, because of its tick interval.
const WINDOW_MARGIN: Duration = Duration::from_millis(250);
/// Interval between memory estimates.
const MEASURE_INTERVAL: Duration = Duration::from_secs(1);

/// Eviction order: services without nodes first, then the least recently used.
pub type EvictionRank = (bool, Duration);

/// A held service.
pub struct Instance {
    pub name: Arc<str>,
    pub core: Core,
    /// Times of the last RPC and of the last pick.
    last_rpc: Duration,
    last_pick: Option<Duration>,
    /// End of the last idempotency key's window.
    keys_until: Duration,
    /// The service stays awake until then.
    awake_until: Duration,
    /// The node list is subscribed to; a list has arrived; it has nodes.
    subscribed: bool,
    pub list_received: bool,
    has_nodes: bool,
    on_trial: bool,
    stage: Option<Stage>,
    /// The first list did not fit.
    pub list_refused: bool,
    /// The config names no method of it.
    not_configured: bool,
    asleep: bool,
    /// The values entered in the sets `due` and `eviction_order` and in the sum `bytes` of
    /// [`Services`](super::Services).
    pub due: Duration,
    pub rank: EvictionRank,
    pub bytes: usize,
    measured_at: Option<Duration>,
}

impl Instance {
    pub fn new(now: Duration, name: Arc<str>, mut core: Core) -> Self {
        // Whether the service was held before is not remembered, so all budgets count as used up.
        core.exhaust_budgets(now);
        Instance {
            name,
            bytes: core.bytes(),
            core,
            last_rpc: now,
            last_pick: None,
            keys_until: Duration::ZERO,
            awake_until: now + SLEEP_AFTER,
            subscribed: false,
            list_received: false,
            has_nodes: false,
            on_trial: false,
            stage: None,
            list_refused: false,
            not_configured: false,
            asleep: false,
            due: now,
            rank: (false, now),
            measured_at: Some(now),
        }
    }

    pub fn state(&self, instance_id: InstanceId) -> ServiceState {
        let (service, ready, rpcs) = (self.name.clone(), self.core.ready(), self.core.counts().held);
        ServiceState { instance: instance_id, service, ready, rpcs, bytes: self.bytes, asleep: self.asleep }
    }

    /// Window of a method's idempotency keys.
    pub fn window(&self, method: &str) -> Duration {
        let config = &self.core.config;
        let at = config.methods.find(method);
        match at.map(|at| config.rollout.methods[at].repeat) {
            Some(Repeat::Tokened { window, .. }) => window,
            _ => Duration::ZERO,
        }
    }

    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Command> {
        let mut commands = Vec::new();
        // Tick first, so that the policy decides on the present and not on the time when it fell asleep.
        if std::mem::take(&mut self.asleep) && !matches!(input, Input::Tick) {
            commands = self.core.handle(now, Input::Tick);
        }
        self.observe(now, &input);
        commands.extend(self.core.handle(now, input));
        if commands.iter().any(|o| matches!(o, Command::Vote(_))) {
            self.keep_awake(now, SLEEP_AFTER);
        }
        commands
    }

    fn keep_awake(&mut self, now: Duration, span: Duration) {
        self.awake_until = self.awake_until.max(now + span);
    }

    fn observe(&mut self, now: Duration, input: &Input) {
        match input {
            Input::Rpc { .. } => {
                self.last_rpc = now;
                self.keep_awake(now, SLEEP_AFTER);
            }
            Input::NodeList(nodes) => {
                (self.subscribed, self.list_received, self.has_nodes) = (true, true, !nodes.is_empty());
                self.measured_at = None;
                self.keep_awake(now, AWAKE_AFTER_LIST);
            }
            Input::NodeListLost => self.subscribed = false,
            Input::RolloutUpdate(rollout_update) => {
                let same = |a: &Stage, b: &Stage| Stage { age_ms: b.age_ms, ..*a } == *b;
                let stage_changed = match (&rollout_update.stage, &self.stage) {
                    (Some(new), Some(old)) => !same(new, old),
                    (new, _) => new.is_some(),
                };
                if stage_changed || !rollout_update.sums.is_empty() || !rollout_update.disputed.is_empty() {
                    self.keep_awake(now, SLEEP_AFTER);
                }
                self.set_stage(rollout_update.stage);
            }
            Input::VoteAnswered(ballot) => {
                self.keep_awake(now, SLEEP_AFTER);
                if let Ballot::Answered(answer) = ballot {
                    self.set_stage(Some(answer.stage));
                }
            }
            Input::Tick | Input::Discovery(_) => {}
            _ => self.keep_awake(now, SLEEP_AFTER),
        }
    }

    fn set_stage(&mut self, stage: Option<Stage>) {
        let Some(stage) = stage else { return };
        (self.stage, self.on_trial) =
            (Some(stage), matches!(stage.course, RolloutState::OnTrial | RolloutState::GoingBack));
    }

    pub fn record_pick(&mut self, now: Duration, window: Duration) {
        self.last_pick = Some(now);
        self.keys_until = self.keys_until.max(now + window);
    }

    /// When the windows of the rules and of idempotency keys have passed.
    fn windows_end(&self) -> Duration {
        let config = &self.core.config.rollout;
        let windows = config.release.exposure_window.max(config.rules.slow_start_window) + WINDOW_MARGIN;
        self.last_pick.map_or(Duration::ZERO, |at| at + windows).max(self.keys_until)
    }

    /// Whether something is open: dropping the core now could break a rule or leave an RPC without an answer.
    pub fn is_open(&self, now: Duration) -> bool {
        self.core.counts().held > 0 || now < self.windows_end() || self.core.has_open_keys()
    }

    /// Why the service is to be dropped now, if it is.
    pub fn drop_reason(&self, now: Duration, idle_limit: Duration) -> Option<DropReason> {
        let why = match (self.not_configured, self.list_refused) {
            (true, _) => DropReason::NotConfigured,
            (_, true) => DropReason::ListTooLarge,
            _ if now >= self.last_rpc + idle_limit => DropReason::Idle,
            _ => return None,
        };
        Some(why).filter(|_| !self.is_open(now))
    }

    /// Updates when the service is due, its place in the eviction order, and its memory estimate.
    pub fn update_schedule(&mut self, now: Duration, idle_limit: Duration) {
        let has_rpcs = self.core.counts().held > 0;
        let quiet = !has_rpcs && self.subscribed && !self.on_trial && self.core.pending_nodes.is_none();
        self.asleep = quiet && now >= self.awake_until;
        let wake = if self.asleep { now + SLEEP_TICK } else { self.core.next_tick() };
        let drop_at = if self.not_configured || self.list_refused {
            Duration::ZERO
        } else {
            self.last_rpc + idle_limit
        };
        let drop_at = drop_at.max(self.windows_end());
        self.due = if has_rpcs || drop_at <= now { wake } else { wake.min(drop_at) };
        self.rank = (self.has_nodes, self.last_rpc);
        if self.measured_at.is_none_or(|at| now >= at + MEASURE_INTERVAL) {
            (self.bytes, self.measured_at) = (self.core.bytes(), Some(now));
        }
    }

    /// # Errors
    /// The core would have more method names than it may.
    pub fn check_reconfigure(&self, on_demand: &OnDemandConfig) -> Result<(), String> {
        let known: BTreeSet<&str> = self.core.config.methods.iter().collect();
        let new = on_demand.methods(&self.name).iter().filter(|m| !known.contains(&m.0[..])).count();
        let name = &self.name;
        match known.len() + new > MAX_METHODS {
            true => Err(format!(
                "more than {MAX_METHODS} distinct methods of service {name:?} while it is held; restart this marshal"
            )),
            false => Ok(()),
        }
    }

    pub fn reconfigure(&mut self, on_demand: &OnDemandConfig) {
        self.not_configured = on_demand.methods(&self.name).is_empty();
        // `check_reconfigure` has excluded the errors. If one occurs all the same, the earlier config stays and the
        // service is dropped.
        self.not_configured |= self.core.reconfigure(on_demand.config_for(&self.name)).is_err();
    }
}
