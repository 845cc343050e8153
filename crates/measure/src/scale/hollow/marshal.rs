//! One hollow marshal: the shipped core, with as much of a shell as it needs to send requests, datagrams and
//! ticks like the real one.

use std::time::{Duration, Instant};

use ivydrift_marshal::{Ballot, Call, Command, Core, Id, Input, Observation};
use ivydrift_terms::Config;
use ivydrift_wire::controller::{self, Counted, Vote, VoteAnswer};
use ivydrift_wire::list;
use ivydrift_wire::orca::Metrics;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::script::{self, Script, LIST_POLL_TIMEOUT, NEWS_POLL_TIMEOUT, SERVICE_TIME};
use crate::scale::core_harness::START;

/// Longest and shortest interval between the shell's ticks.
const TICK_INTERVAL: [Duration; 2] = [Duration::from_millis(20), Duration::from_micros(500)];
/// One-way delay to node list, rollout controller or node.
const ONE_WAY_DELAY: Duration = Duration::from_micros(500);

/// Creates the shipped core of one marshal from its config and the Unix time, in milliseconds, one day before
/// its start. All hollow marshals are created here.
pub fn new_core(config: Config, zero_ms: u64) -> Core {
    let mut core = Core::new(config, zero_ms);
    core.set_program("0.1.0-0123abcd".to_owned());
    core
}

/// Count and bytes of one kind of work, and the core's time for it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    pub count: u64,
    pub bytes: u64,
    pub took: Duration,
}

impl Work {
    fn add(&mut self, bytes: usize, took: Duration) {
        self.count += 1;
        self.bytes += bytes as u64;
        self.took += took;
    }

    /// Adds the figures.
    pub fn plus(self, other: Work) -> Work {
        Work {
            count: self.count + other.count,
            bytes: self.bytes + other.bytes,
            took: self.took + other.took,
        }
    }

    /// Subtracts earlier figures.
    pub fn since(self, earlier: Work) -> Work {
        let Work { count, bytes, took } = earlier;
        Work { count: self.count - count, bytes: self.bytes - bytes, took: self.took.saturating_sub(took) }
    }
}

/// Counters of one marshal since its start; bytes are in both directions, except for `sent` and `received`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub sent: Work,
    pub received: Work,
    pub list: Work,
    pub controller: Work,
    pub votes: Work,
    pub ticks: Work,
    pub rpcs: Work,
    pub ok: u64,
    /// Node lists that the shell rejects.
    pub refused: u64,
}

impl Counts {
    fn combine(&self, other: &Counts, combine_work: impl Fn(Work, Work) -> Work) -> Counts {
        Counts {
            sent: combine_work(self.sent, other.sent),
            received: combine_work(self.received, other.received),
            list: combine_work(self.list, other.list),
            controller: combine_work(self.controller, other.controller),
            votes: combine_work(self.votes, other.votes),
            ticks: combine_work(self.ticks, other.ticks),
            rpcs: combine_work(self.rpcs, other.rpcs),
            ..*self
        }
    }

    /// Adds the counters.
    pub fn plus(&self, other: &Counts) -> Counts {
        let refused = self.refused + other.refused;
        Counts { ok: self.ok + other.ok, refused, ..self.combine(other, Work::plus) }
    }

    /// Subtracts earlier counters.
    pub fn since(&self, earlier: &Counts) -> Counts {
        let refused = self.refused - earlier.refused;
        Counts { ok: self.ok - earlier.ok, refused, ..self.combine(earlier, Work::since) }
    }
}

/// An event that a marshal schedules for itself.
#[derive(Clone, Debug)]
pub enum LocalEvent {
    Tick,
    /// The answer of node list or rollout controller, with the time at which it was sent.
    ListAnswered(Duration),
    NewsAnswered(Duration),
    VoteAnswered(Vote),
    Rpc(u64),
    RpcAnswered {
        id: Id,
        pick: usize,
    },
}

/// Effects of an input: the marshal's own later events, and datagrams to others, each with its time.
#[derive(Default)]
pub struct Effects {
    pub events: Vec<(Duration, LocalEvent)>,
    pub datagrams: Vec<(Duration, usize, Vec<u8>)>,
    /// State changes seen: the other marshal, and whether it was present before and is now.
    pub changes: Vec<(usize, bool, bool)>,
}

/// A simulated marshal.
pub struct HollowMarshal {
    pub number: usize,
    pub counts: Counts,
    core: Core,
    rng: StdRng,
    delay: [Duration; 2],
    started: Duration,
    rpcs: u64,
    index: [u64; 2],
    watching: bool,
    voting: bool,
    next_vote: Option<Vote>,
}

impl HollowMarshal {
    /// Starts a marshal: schedules its first tick, its first request to the rollout controller and its RPCs.
    pub fn start(
        number: usize, config: Config, delay: [Duration; 2], now: Duration, script: &Script,
        effects: &mut Effects,
    ) -> HollowMarshal {
        let start_ms = now.as_millis() as u64;
        let mut marshal = HollowMarshal {
            number,
            counts: Counts::default(),
            core: new_core(config, script.zero_ms + start_ms),
            rng: StdRng::seed_from_u64(number as u64 ^ start_ms << 20),
            delay,
            started: now,
            rpcs: 0,
            index: [0; 2],
            watching: false,
            voting: false,
            next_vote: None,
        };
        effects.events.push((now + TICK_INTERVAL[1], LocalEvent::Tick));
        marshal.request_news(now, script, effects);
        if script.rate > 0.0 {
            let first = script.rpcs_start.max(now)
                + Duration::from_secs_f64(marshal.rng.random::<f64>() / script.rate);
            effects.events.push((first, LocalEvent::Rpc(0)));
        }
        marshal
    }

    /// Number of nodes that it may send to.
    pub fn ready(&self) -> usize {
        self.core.ready()
    }

    fn request_list(&mut self, now: Duration, script: &Script, effects: &mut Effects) {
        let index = self.index[0];
        self.counts.list.bytes += script::list_request(self.number, index).len() as u64;
        let arrives_at = now + ONE_WAY_DELAY;
        let is_held = index > 0 && index == script.list_index(arrives_at);
        let answered_at = if is_held {
            script.next_list_change(arrives_at).min(arrives_at + LIST_POLL_TIMEOUT)
        } else {
            arrives_at
        };
        effects.events.push((answered_at + ONE_WAY_DELAY, LocalEvent::ListAnswered(answered_at)));
    }

    fn request_news(&mut self, now: Duration, script: &Script, effects: &mut Effects) {
        let index = self.index[1];
        self.counts.controller.bytes += script::news_request(self.number, index).len() as u64;
        let arrives_at = now + ONE_WAY_DELAY;
        let is_held = index > 0 && index == script.news_index(arrives_at);
        let answered_at = if is_held {
            script.next_news_change(arrives_at).min(arrives_at + NEWS_POLL_TIMEOUT)
        } else {
            arrives_at
        };
        effects.events.push((answered_at + ONE_WAY_DELAY, LocalEvent::NewsAnswered(answered_at)));
    }

    /// Processes a received datagram.
    pub fn receive(&mut self, now: Duration, bytes: &[u8], script: &Script, effects: &mut Effects) {
        let took = self.handle_input(now, Input::PeerDatagram(bytes), script, effects);
        self.counts.received.add(bytes.len(), took);
    }

    /// Processes one of its own events. `lists`: the body of the node list's answer by the time at which it
    /// was sent.
    pub fn handle_event(
        &mut self, now: Duration, event: LocalEvent, script: &Script,
        lists: &dyn Fn(Duration) -> std::sync::Arc<Vec<u8>>, effects: &mut Effects,
    ) {
        match event {
            LocalEvent::Tick => {
                let took = self.handle_input(now, Input::Tick, script, effects);
                self.counts.ticks.add(0, took);
                let wait = self
                    .core
                    .next_tick()
                    .saturating_sub(self.shell_time(now))
                    .clamp(TICK_INTERVAL[1], TICK_INTERVAL[0]);
                effects.events.push((now + wait, LocalEvent::Tick));
            }
            LocalEvent::ListAnswered(answered_at) => {
                let (index, body) = (script.list_index(answered_at), lists(answered_at));
                let from = Instant::now();
                let read = list::read(&body);
                let read_took = from.elapsed();
                let took = match &read {
                    Ok(nodes) => self.handle_input(now, Input::NodeList(nodes), script, effects),
                    Err(_) if script.accept_oversized => {
                        self.handle_input(now, Input::NodeList(&script.list(answered_at)), script, effects)
                    }
                    Err(_) => self.handle_input(now, Input::NodeListLost, script, effects),
                };
                self.counts.list.add(body.len() + script::http_response(index, b"").len(), read_took + took);
                if read.is_ok() || script.accept_oversized {
                    self.index[0] = index;
                    self.request_list(now, script, effects);
                } else {
                    // The module decides when to ask again.
                    (self.watching, self.counts.refused) = (false, self.counts.refused + 1);
                }
            }
            LocalEvent::NewsAnswered(answered_at) => {
                let bytes = controller::write(&script.rollout_update(answered_at));
                let from = Instant::now();
                let rollout_update = controller::parse_update(&bytes);
                let read_took = from.elapsed();
                let Ok(rollout_update) = rollout_update else { return };
                let took = self.handle_input(now, Input::RolloutUpdate(&rollout_update), script, effects);
                self.counts
                    .controller
                    .add(script::http_response(rollout_update.index, &bytes).len(), read_took + took);
                self.index[1] = rollout_update.index;
                self.request_news(now, script, effects);
            }
            LocalEvent::VoteAnswered(vote) => self.vote_answered(now, vote, script, effects),
            LocalEvent::Rpc(n) => {
                let id = (self.rpcs << 1) + 2;
                self.rpcs += 1;
                let method = script.method_name(n);
                let time_left = Some(Duration::from_secs(3));
                let call = Call {
                    method: &method,
                    tenant: None,
                    key: None,
                    has_idempotency_key: false,
                    time_left,
                    is_retry: false,
                };
                let took = self.handle_input(now, Input::Rpc { id, call }, script, effects);
                self.counts.rpcs.add(0, took);
                // RPCs arrive at equal intervals, as from the clients of the real marshals.
                effects
                    .events
                    .push((now + Duration::from_secs_f64(1.0 / script.rate), LocalEvent::Rpc(n + 1)));
            }
            LocalEvent::RpcAnswered { id, pick } => {
                let load = Metrics::default();
                let observation = Observation::Answer { status: 200, never_ran: false, load };
                let took =
                    self.handle_input(now, Input::PickEnded { id, pick, observation }, script, effects);
                self.counts.rpcs.took += took;
            }
        }
    }

    /// Sends a vote; like the shell, at most one at a time.
    fn send_vote(&mut self, now: Duration, vote: Vote, effects: &mut Effects) {
        if std::mem::replace(&mut self.voting, true) {
            self.next_vote = Some(vote);
            return;
        }
        self.counts.votes.bytes += script::vote_request(self.number, &vote).len() as u64;
        effects.events.push((now + 2 * ONE_WAY_DELAY, LocalEvent::VoteAnswered(vote)));
    }

    fn vote_answered(&mut self, now: Duration, _: Vote, script: &Script, effects: &mut Effects) {
        let answer = VoteAnswer { counted: Counted::Counts, stage: script.stage(now) };
        let bytes = script::http_response(0, &controller::write(&answer)).len();
        self.voting = false;
        let took = match self.next_vote.take() {
            Some(next) => {
                let stage = Some(answer.stage);
                let rollout_update =
                    controller::RolloutUpdate { index: 0, stage, sums: vec![], disputed: vec![] };
                self.send_vote(now, next, effects);
                self.handle_input(now, Input::RolloutUpdate(&rollout_update), script, effects)
            }
            None => self.handle_input(now, Input::VoteAnswered(Ballot::Answered(answer)), script, effects),
        };
        self.counts.votes.add(bytes, took);
    }

    /// Passes an input to the core and executes its commands. Returns the core's time.
    fn handle_input(
        &mut self, now: Duration, input: Input, script: &Script, effects: &mut Effects,
    ) -> Duration {
        let from = Instant::now();
        let orders = self.core.handle(self.shell_time(now), input);
        let took = from.elapsed();
        for order in orders {
            match order {
                Command::Tell { to, datagram } => {
                    self.counts.sent.add(datagram.len(), Duration::ZERO);
                    let fraction: f64 = self.rng.random();
                    let delay = self.delay[0] + (self.delay[1] - self.delay[0]).mul_f64(fraction);
                    effects.datagrams.push((now + delay, to, datagram));
                }
                Command::Pick { id, pick, .. } => {
                    effects
                        .events
                        .push((now + 2 * ONE_WAY_DELAY + SERVICE_TIME, LocalEvent::RpcAnswered { id, pick }));
                }
                Command::Pass { .. } => self.counts.ok += 1,
                Command::Vote(vote) => self.send_vote(now, vote, effects),
                Command::FollowMembership if !std::mem::replace(&mut self.watching, true) => {
                    self.index[0] = 0;
                    self.request_list(now, script, effects);
                }
                Command::Log(line) => effects.changes.extend(parse_state_change(&line)),
                _ => {}
            }
        }
        took
    }

    /// Time on the shell's clock, whose zero is one day before this marshal's start.
    fn shell_time(&self, now: Duration) -> Duration {
        START + now.saturating_sub(self.started)
    }
}

/// Parses a log line about another marshal: its number, and whether it was and is present.
pub fn parse_state_change(line: &str) -> Option<(usize, bool, bool)> {
    let (number, rest) = line.strip_prefix("marshal ")?.split_once(": ")?;
    let (from, rest) = rest.split_once(" to ")?;
    let (to, _) = rest.split_once(',')?;
    let present = |word: &str| matches!(word, "alive" | "suspect");
    Some((number.parse().ok()?, present(from), present(to)))
}
