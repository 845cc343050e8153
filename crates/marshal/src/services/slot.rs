//! One held service: its core, and the state that decides when it may sleep and when it may be dropped.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use ivydrift_policy::port::Repeat;
use ivydrift_wire::desk::{Course, Stage};

use super::cut::Others;
use super::{Dropped, Hold, Holding};
use crate::renewal::MOST_METHODS;
use crate::{Ballot, Core, Input, Order};

/// A service may sleep after this long without RPCs in flight or news: evidence halves every 5 s and verdicts
/// are weighed for at most 15 s, so nothing is left to decide.
const STIRRED: Duration = Duration::from_secs(20);
/// After a node list arrives, the policy needs a few ticks.
const LISTED: Duration = Duration::from_millis(400);
/// Tick interval of a sleeping service.
const SLOW: Duration = Duration::from_secs(5);
/// The policy keeps the rules' accounting this much longer than their windows, because of its tick interval.
const MARGIN: Duration = Duration::from_millis(250);
/// Interval between memory estimates.
const RECKON: Duration = Duration::from_secs(1);

/// Eviction order: services without nodes first, then the least recently used.
pub type Rank = (bool, Duration);

/// A held service.
pub struct Slot {
    pub name: Arc<str>,
    pub core: Core,
    /// Times of the last RPC and of the last pick.
    used: Duration,
    sent: Option<Duration>,
    /// End of the last idempotency key's window.
    tokens: Duration,
    /// The service stays awake until then.
    awake: Duration,
    /// The node list is subscribed to; a list has arrived; it has nodes.
    followed: bool,
    pub listed: bool,
    full: bool,
    trial: bool,
    stage: Option<Stage>,
    /// The first list did not fit.
    pub refused: bool,
    /// The config names no method of it.
    retired: bool,
    asleep: bool,
    /// The values entered in the sets `due` and `ranks` and in the sum `bytes` of
    /// [`Services`](super::Services).
    pub due: Duration,
    pub rank: Rank,
    pub bytes: usize,
    reckoned: Option<Duration>,
}

impl Slot {
    pub fn new(now: Duration, name: Arc<str>, mut core: Core) -> Self {
        // Whether the service was held before is not remembered, so all budgets count as used up.
        core.fill_accounts(now);
        Slot {
            name,
            bytes: core.bytes(),
            core,
            used: now,
            sent: None,
            tokens: Duration::ZERO,
            awake: now + STIRRED,
            followed: false,
            listed: false,
            full: false,
            trial: false,
            stage: None,
            refused: false,
            retired: false,
            asleep: false,
            due: now,
            rank: (false, now),
            reckoned: Some(now),
        }
    }

    pub fn holding(&self, of: Hold) -> Holding {
        let (service, ready, rpcs) = (self.name.clone(), self.core.ready(), self.core.counts().held);
        Holding { of, service, ready, rpcs, bytes: self.bytes, asleep: self.asleep }
    }

    /// Window of a method's idempotency keys.
    pub fn window(&self, method: &str) -> Duration {
        let terms = &self.core.terms;
        let at = terms.methods.find(method);
        match at.map(|at| terms.rollout.methods[at].repeat) {
            Some(Repeat::Tokened { window, .. }) => window,
            _ => Duration::ZERO,
        }
    }

    pub fn give(&mut self, now: Duration, input: Input) -> Vec<Order> {
        let mut orders = Vec::new();
        // Tick first, so that the policy decides on the present and not on the time when it fell asleep.
        if std::mem::take(&mut self.asleep) && !matches!(input, Input::Tick) {
            orders = self.core.handle(now, Input::Tick);
        }
        self.heed(now, &input);
        orders.extend(self.core.handle(now, input));
        if orders.iter().any(|o| matches!(o, Order::Vote(_))) {
            self.stir(now, STIRRED);
        }
        orders
    }

    fn stir(&mut self, now: Duration, span: Duration) {
        self.awake = self.awake.max(now + span);
    }

    fn heed(&mut self, now: Duration, input: &Input) {
        match input {
            Input::Rpc { .. } => {
                self.used = now;
                self.stir(now, STIRRED);
            }
            Input::Membership(nodes) => {
                (self.followed, self.listed, self.full) = (true, true, !nodes.is_empty());
                self.reckoned = None;
                self.stir(now, LISTED);
            }
            Input::MembershipLost => self.followed = false,
            Input::News(news) => {
                let same = |a: &Stage, b: &Stage| Stage { age_ms: b.age_ms, ..*a } == *b;
                let told = match (&news.stage, &self.stage) {
                    (Some(new), Some(old)) => !same(new, old),
                    (new, _) => new.is_some(),
                };
                if told || !news.sums.is_empty() || !news.disputed.is_empty() {
                    self.stir(now, STIRRED);
                }
                self.hear(news.stage);
            }
            Input::Voted(ballot) => {
                self.stir(now, STIRRED);
                if let Ballot::Answered(answer) = ballot {
                    self.hear(Some(answer.stage));
                }
            }
            Input::Tick | Input::Discovery(_) => {}
            _ => self.stir(now, STIRRED),
        }
    }

    fn hear(&mut self, stage: Option<Stage>) {
        let Some(stage) = stage else { return };
        (self.stage, self.trial) = (Some(stage), matches!(stage.course, Course::OnTrial | Course::GoingBack));
    }

    pub fn sent(&mut self, now: Duration, window: Duration) {
        self.sent = Some(now);
        self.tokens = self.tokens.max(now + window);
    }

    /// When the windows of the rules and of idempotency keys have passed.
    fn closed(&self) -> Duration {
        let terms = &self.core.terms.rollout;
        let windows = terms.release.window.max(terms.rules.fall_window) + MARGIN;
        self.sent.map_or(Duration::ZERO, |at| at + windows).max(self.tokens)
    }

    /// Whether something is open: dropping the core now could break a rule or leave an RPC without an answer.
    pub fn open(&self, now: Duration) -> bool {
        self.core.counts().held > 0 || now < self.closed() || self.core.keys_open()
    }

    /// Why the service is to be dropped now, if it is.
    pub fn over(&self, now: Duration, rest: Duration) -> Option<Dropped> {
        let why = match (self.retired, self.refused) {
            (true, _) => Dropped::NotNamed,
            (_, true) => Dropped::NoRoom,
            _ if now >= self.used + rest => Dropped::Rested,
            _ => return None,
        };
        Some(why).filter(|_| !self.open(now))
    }

    /// Updates when the service is due, its place in the eviction order, and its memory estimate.
    pub fn plan(&mut self, now: Duration, rest: Duration) {
        let held = self.core.counts().held > 0;
        let still = !held && self.followed && !self.trial && self.core.held_back.is_none();
        self.asleep = still && now >= self.awake;
        let wake = if self.asleep { now + SLOW } else { self.core.due() };
        let leaves = if self.retired || self.refused { Duration::ZERO } else { self.used + rest };
        let leaves = leaves.max(self.closed());
        self.due = if held || leaves <= now { wake } else { wake.min(leaves) };
        self.rank = (self.full, self.used);
        if self.reckoned.is_none_or(|at| now >= at + RECKON) {
            (self.bytes, self.reckoned) = (self.core.bytes(), Some(now));
        }
    }

    /// # Errors
    /// The core would have more method names than it may.
    pub fn may_renew(&self, others: &Others) -> Result<(), String> {
        let known: BTreeSet<&str> = self.core.terms.methods.iter().collect();
        let new = others.methods(&self.name).iter().filter(|m| !known.contains(&m.0[..])).count();
        let name = &self.name;
        match known.len() + new > MOST_METHODS {
            true => Err(format!(
                "more than {MOST_METHODS} distinct methods of service {name:?} while it is held; restart this marshal"
            )),
            false => Ok(()),
        }
    }

    pub fn renew(&mut self, others: &Others) {
        self.retired = others.methods(&self.name).is_empty();
        // `may_renew` has excluded the errors. If one occurs all the same, the earlier config stays and the
        // service is dropped.
        self.retired |= self.core.renew(others.cut(&self.name)).is_err();
    }
}
