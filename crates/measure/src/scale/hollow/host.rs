//! One hollow marshal: the shipped core, with as much of a shell as it needs to send requests, datagrams and
//! ticks like the real one.

use std::time::{Duration, Instant};

use ivydrift_marshal::{Ballot, Call, Core, Id, Input, Order, Saw};
use ivydrift_terms::Terms;
use ivydrift_wire::desk::{self, Counted, Vote, VoteAnswer};
use ivydrift_wire::list;
use ivydrift_wire::orca::Metrics;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::script::{self, Script, DESK_HOLD, LIST_HOLD, WORK};
use crate::scale::core::START;

/// Longest and shortest interval between the shell's ticks.
const TICK: [Duration; 2] = [Duration::from_millis(20), Duration::from_micros(500)];
/// One-way delay to node list, rollout controller or node.
const WAY: Duration = Duration::from_micros(500);

/// Creates the shipped core of one marshal from its config and the Unix time, in milliseconds, one day before
/// its start. All hollow marshals are created here.
pub fn marshal(terms: Terms, zero_ms: u64) -> Core {
    let mut core = Core::new(terms, zero_ms);
    core.run_by("0.1.0-0123abcd".to_owned());
    core
}

/// Count and bytes of one kind of work, and the core's time for it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Done {
    pub count: u64,
    pub bytes: u64,
    pub took: Duration,
}

impl Done {
    fn add(&mut self, bytes: usize, took: Duration) {
        self.count += 1;
        self.bytes += bytes as u64;
        self.took += took;
    }

    /// Adds the figures.
    pub fn plus(self, other: Done) -> Done {
        Done {
            count: self.count + other.count,
            bytes: self.bytes + other.bytes,
            took: self.took + other.took,
        }
    }

    /// Subtracts earlier figures.
    pub fn since(self, earlier: Done) -> Done {
        let Done { count, bytes, took } = earlier;
        Done { count: self.count - count, bytes: self.bytes - bytes, took: self.took.saturating_sub(took) }
    }
}

/// Counters of one marshal since its start; bytes are in both directions, except for `sent` and `heard`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub sent: Done,
    pub heard: Done,
    pub list: Done,
    pub desk: Done,
    pub votes: Done,
    pub ticks: Done,
    pub rpcs: Done,
    pub ok: u64,
    /// Node lists that the shell rejects.
    pub refused: u64,
}

impl Counts {
    fn each(&self, other: &Counts, with: impl Fn(Done, Done) -> Done) -> Counts {
        Counts {
            sent: with(self.sent, other.sent),
            heard: with(self.heard, other.heard),
            list: with(self.list, other.list),
            desk: with(self.desk, other.desk),
            votes: with(self.votes, other.votes),
            ticks: with(self.ticks, other.ticks),
            rpcs: with(self.rpcs, other.rpcs),
            ..*self
        }
    }

    /// Adds the counters.
    pub fn plus(&self, other: &Counts) -> Counts {
        let refused = self.refused + other.refused;
        Counts { ok: self.ok + other.ok, refused, ..self.each(other, Done::plus) }
    }

    /// Subtracts earlier counters.
    pub fn since(&self, earlier: &Counts) -> Counts {
        let refused = self.refused - earlier.refused;
        Counts { ok: self.ok - earlier.ok, refused, ..self.each(earlier, Done::since) }
    }
}

/// An event that a marshal schedules for itself.
#[derive(Clone, Debug)]
pub enum Own {
    Tick,
    /// The answer of node list or rollout controller, with the time at which it was sent.
    List(Duration),
    Desk(Duration),
    Voted(Vote),
    Rpc(u64),
    Answer {
        id: Id,
        pick: usize,
    },
}

/// Effects of an input: the marshal's own later events, and datagrams to others, each with its time.
#[derive(Default)]
pub struct Later {
    pub own: Vec<(Duration, Own)>,
    pub mail: Vec<(Duration, usize, Vec<u8>)>,
    /// State changes seen: the other marshal, and whether it was present before and is now.
    pub saw: Vec<(usize, bool, bool)>,
}

/// A simulated marshal.
pub struct Host {
    pub number: usize,
    pub counts: Counts,
    core: Core,
    rng: StdRng,
    delay: [Duration; 2],
    began: Duration,
    rpcs: u64,
    index: [u64; 2],
    watching: bool,
    voting: bool,
    next_vote: Option<Vote>,
}

impl Host {
    /// Starts a marshal: schedules its first tick, its first request to the rollout controller and its RPCs.
    pub fn start(
        number: usize, terms: Terms, delay: [Duration; 2], now: Duration, script: &Script, later: &mut Later,
    ) -> Host {
        let life = now.as_millis() as u64;
        let mut host = Host {
            number,
            counts: Counts::default(),
            core: marshal(terms, script.zero_ms + life),
            rng: StdRng::seed_from_u64(number as u64 ^ life << 20),
            delay,
            began: now,
            rpcs: 0,
            index: [0; 2],
            watching: false,
            voting: false,
            next_vote: None,
        };
        later.own.push((now + TICK[1], Own::Tick));
        host.ask_desk(now, script, later);
        if script.rate > 0.0 {
            let first =
                script.rpcs_from.max(now) + Duration::from_secs_f64(host.rng.random::<f64>() / script.rate);
            later.own.push((first, Own::Rpc(0)));
        }
        host
    }

    /// Number of nodes that it may send to.
    pub fn ready(&self) -> usize {
        self.core.ready()
    }

    fn ask_list(&mut self, now: Duration, script: &Script, later: &mut Later) {
        let index = self.index[0];
        self.counts.list.bytes += script::list_question(self.number, index).len() as u64;
        let there = now + WAY;
        let held = index > 0 && index == script.list_index(there);
        let said = if held { script.list_changes(there).min(there + LIST_HOLD) } else { there };
        later.own.push((said + WAY, Own::List(said)));
    }

    fn ask_desk(&mut self, now: Duration, script: &Script, later: &mut Later) {
        let index = self.index[1];
        self.counts.desk.bytes += script::desk_question(self.number, index).len() as u64;
        let there = now + WAY;
        let held = index > 0 && index == script.news_index(there);
        let said = if held { script.news_changes(there).min(there + DESK_HOLD) } else { there };
        later.own.push((said + WAY, Own::Desk(said)));
    }

    /// Processes a received datagram.
    pub fn hear(&mut self, now: Duration, bytes: &[u8], script: &Script, later: &mut Later) {
        let took = self.tell(now, Input::Peer(bytes), script, later);
        self.counts.heard.add(bytes.len(), took);
    }

    /// Processes one of its own events. `lists`: the body of the node list's answer by the time at which it
    /// was sent.
    pub fn own(
        &mut self, now: Duration, own: Own, script: &Script,
        lists: &dyn Fn(Duration) -> std::sync::Arc<Vec<u8>>, later: &mut Later,
    ) {
        match own {
            Own::Tick => {
                let took = self.tell(now, Input::Tick, script, later);
                self.counts.ticks.add(0, took);
                let wait = self.core.due().saturating_sub(self.clock(now)).clamp(TICK[1], TICK[0]);
                later.own.push((now + wait, Own::Tick));
            }
            Own::List(said) => {
                let (index, body) = (script.list_index(said), lists(said));
                let from = Instant::now();
                let read = list::read(&body);
                let read_took = from.elapsed();
                let took = match &read {
                    Ok(nodes) => self.tell(now, Input::Membership(nodes), script, later),
                    Err(_) if script.beyond => {
                        self.tell(now, Input::Membership(&script.list(said)), script, later)
                    }
                    Err(_) => self.tell(now, Input::MembershipLost, script, later),
                };
                self.counts.list.add(body.len() + script::answer(index, b"").len(), read_took + took);
                if read.is_ok() || script.beyond {
                    self.index[0] = index;
                    self.ask_list(now, script, later);
                } else {
                    // The module decides when to ask again.
                    (self.watching, self.counts.refused) = (false, self.counts.refused + 1);
                }
            }
            Own::Desk(said) => {
                let bytes = desk::write(&script.news(said));
                let from = Instant::now();
                let news = desk::read_news(&bytes);
                let read_took = from.elapsed();
                let Ok(news) = news else { return };
                let took = self.tell(now, Input::News(&news), script, later);
                self.counts.desk.add(script::answer(news.index, &bytes).len(), read_took + took);
                self.index[1] = news.index;
                self.ask_desk(now, script, later);
            }
            Own::Voted(vote) => self.voted(now, vote, script, later),
            Own::Rpc(n) => {
                let id = (self.rpcs << 1) + 2;
                self.rpcs += 1;
                let method = script.method(n);
                let left = Some(Duration::from_secs(3));
                let call =
                    Call { method: &method, tenant: None, key: None, tokened: false, left, repeated: false };
                let took = self.tell(now, Input::Rpc { id, call }, script, later);
                self.counts.rpcs.add(0, took);
                // RPCs arrive at equal intervals, as from the clients of the real marshals.
                later.own.push((now + Duration::from_secs_f64(1.0 / script.rate), Own::Rpc(n + 1)));
            }
            Own::Answer { id, pick } => {
                let load = Metrics::default();
                let saw = Saw::Answer { status: 200, never_ran: false, load };
                let took = self.tell(now, Input::Ended { id, pick, saw }, script, later);
                self.counts.rpcs.took += took;
            }
        }
    }

    /// Sends a vote; like the shell, at most one at a time.
    fn vote(&mut self, now: Duration, vote: Vote, later: &mut Later) {
        if std::mem::replace(&mut self.voting, true) {
            self.next_vote = Some(vote);
            return;
        }
        self.counts.votes.bytes += script::vote_question(self.number, &vote).len() as u64;
        later.own.push((now + 2 * WAY, Own::Voted(vote)));
    }

    fn voted(&mut self, now: Duration, _: Vote, script: &Script, later: &mut Later) {
        let answer = VoteAnswer { counted: Counted::Counts, stage: script.stage(now) };
        let bytes = script::answer(0, &desk::write(&answer)).len();
        self.voting = false;
        let took = match self.next_vote.take() {
            Some(next) => {
                let stage = Some(answer.stage);
                let news = desk::News { index: 0, stage, sums: vec![], disputed: vec![] };
                self.vote(now, next, later);
                self.tell(now, Input::News(&news), script, later)
            }
            None => self.tell(now, Input::Voted(Ballot::Answered(answer)), script, later),
        };
        self.counts.votes.add(bytes, took);
    }

    /// Passes an input to the core and executes its commands. Returns the core's time.
    fn tell(&mut self, now: Duration, input: Input, script: &Script, later: &mut Later) -> Duration {
        let from = Instant::now();
        let orders = self.core.handle(self.clock(now), input);
        let took = from.elapsed();
        for order in orders {
            match order {
                Order::Tell { to, datagram } => {
                    self.counts.sent.add(datagram.len(), Duration::ZERO);
                    let part: f64 = self.rng.random();
                    let delay = self.delay[0] + (self.delay[1] - self.delay[0]).mul_f64(part);
                    later.mail.push((now + delay, to, datagram));
                }
                Order::Pick { id, pick, .. } => {
                    later.own.push((now + 2 * WAY + WORK, Own::Answer { id, pick }));
                }
                Order::Pass { .. } => self.counts.ok += 1,
                Order::Vote(vote) => self.vote(now, vote, later),
                Order::FollowMembership if !std::mem::replace(&mut self.watching, true) => {
                    self.index[0] = 0;
                    self.ask_list(now, script, later);
                }
                Order::Log(line) => later.saw.extend(seen(&line)),
                _ => {}
            }
        }
        took
    }

    /// Time on the shell's clock, whose zero is one day before this marshal's start.
    fn clock(&self, now: Duration) -> Duration {
        START + now.saturating_sub(self.began)
    }
}

/// Parses a log line about another marshal: its number, and whether it was and is present.
pub fn seen(line: &str) -> Option<(usize, bool, bool)> {
    let (number, rest) = line.strip_prefix("marshal ")?.split_once(": ")?;
    let (from, rest) = rest.split_once(" to ")?;
    let (to, _) = rest.split_once(',')?;
    let present = |word: &str| matches!(word, "alive" | "suspect");
    Some((number.parse().ok()?, present(from), present(to)))
}
