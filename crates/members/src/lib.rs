//! Membership of a fixed set of marshals, with one small record per member that is disseminated to all.
//!
//! The protocol is SWIM (Das, Gupta, Motivala 2002: probes, indirect probes, suspicion with incarnation
//! numbers, updates piggybacked on probes) with Lifeguard (Dadgar, Phillips, Currey 2018: local health
//! multiplier, nacks, suspicion time-outs that shorten with independent confirmations, a suspect informed
//! first). Each start of a member has its own `life` (a start epoch); a later life counts as a new member
//! under the same number. Within a life, `turn` is SWIM's incarnation number. Members that were away catch up
//! through digests of ranges of member numbers.
//!
//! The crate uses no socket, clock or thread: [`Members::handle`] takes one event and returns what to send.
//! The load that each member sends per second is constant; only the time that an update takes to reach all
//! members grows with their number.
#![forbid(unsafe_code)]

pub mod message;
mod probing;
mod receive;
mod relay;
mod table;

use std::time::Duration;

use message::{Message, Record, Update, RECORD_BYTES};
pub use message::{State, DATAGRAM_BYTES};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use relay::Relays;
use table::Table;

/// A member, by its index in the configuration.
pub type MemberIndex = u16;

/// Protocol timing. The load of a member follows from these values and not from the number of members.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between probes; one member is probed in each.
    pub probe_interval: Duration,
    /// Time-out after which an unanswered probe is repeated through other members.
    pub ack_timeout: Duration,
    /// Number of members that are asked for an indirect probe.
    pub indirect_probes: usize,
    /// Minimum suspicion time-out, in periods times the common logarithm of the number of members, and the
    /// factor by which the initial time-out exceeds it.
    pub suspicion_timeout: [f64; 2],
    /// Interval between table synchronizations with a random member.
    pub sync_interval: Duration,
    /// Maximum rate of new record versions, per second over all members.
    pub max_versions_per_second: f64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            probe_interval: Duration::from_millis(500),
            ack_timeout: Duration::from_millis(200),
            indirect_probes: 3,
            suspicion_timeout: [4.0, 4.0],
            sync_interval: Duration::from_secs(2),
            max_versions_per_second: 20.0,
        }
    }
}

/// Number of members in one digest, so that it fits a datagram.
const DIGEST_RANGE: MemberIndex = 40;
/// Each update is sent this many times the binary logarithm of the number of members.
const RETRANSMIT_FACTOR: f64 = 3.0;
/// Upper limit of the local health multiplier.
const MAX_HEALTH_MULTIPLIER: u32 = 8;
/// Every this many periods, a member that is not present is probed too.
const ABSENT_PROBE_PERIODS: u32 = 3;
/// Minimum interval between two versions of a member's record.
const MIN_RECORD_INTERVAL: Duration = Duration::from_millis(500);
/// A member that wakes this many periods late concludes that its own process was paused, not that others
/// failed.
const PAUSE_PERIODS: u32 = 2;

/// An event for [`Members::handle`].
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// Time has passed; see [`Members::next_tick_at`].
    Tick,
    /// A datagram from another member.
    Received { from: MemberIndex, bytes: &'a [u8] },
}

/// An action that [`Members::handle`] requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// A datagram to send.
    Send { to: MemberIndex, bytes: Vec<u8> },
    /// A member changed its state or started a new life.
    StateChanged { number: MemberIndex, from: State, to: State, life: u64 },
}

/// A member as seen by this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView<'a> {
    /// The member.
    pub number: MemberIndex,
    /// Its state.
    pub state: State,
    /// Start epoch of the member.
    pub life: u64,
    /// Incarnation number within the life.
    pub turn: u32,
    /// Time since it entered this state.
    pub in_state_for: Duration,
    /// Time since it was last heard directly.
    pub heard_ago: Option<Duration>,
    /// Its record's bytes and version, and the time since that version arrived.
    pub record: Option<(&'a [u8], u32, Duration)>,
}

/// A probe in progress.
struct Probe {
    target: MemberIndex,
    seq: u32,
    started: Duration,
    /// Number of members asked for an indirect probe, once they were asked.
    helpers_asked: Option<usize>,
    /// How many of them have reported that the target did not answer them either.
    nacks: usize,
}

/// Datagrams and bytes sent and received since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub received_bytes: u64,
    /// Datagrams that could not be decoded.
    pub malformed: u64,
}

/// The membership state of one member.
pub struct Members {
    me: MemberIndex,
    count: MemberIndex,
    timing: Timing,
    rng: Pcg64,
    table: Table,
    /// Lifeguard's local health multiplier: 0 is healthy, higher values mean that our own failures are
    /// likely.
    health: u32,
    probe: Option<Probe>,
    /// Members still to be probed in this round, the next one last.
    round: Vec<MemberIndex>,
    period_count: u32,
    next_period: Duration,
    next_sync: Duration,
    seq: u32,
    relays: Relays,
    suspects: Vec<MemberIndex>,
    /// Our next record to publish.
    next_record: Option<Vec<u8>>,
    /// When the last record was published.
    published_at: Option<Duration>,
    /// The latest time seen.
    last_time: Duration,
    leaving: bool,
    traffic: Traffic,
    out: Vec<Action>,
}

impl Members {
    /// Creates one of `count` members. `life` should grow from start to start, for example the start time; a
    /// clock that was set back does no harm.
    pub fn new(
        me: MemberIndex, count: MemberIndex, life: u64, seed: u64, now: Duration, timing: Timing,
    ) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut table = Table::new(count.max(me.saturating_add(1)));
        table.set_state(now, me, (life, 0, State::Alive), me);
        // A random phase keeps members that start together from sending at the same times.
        let phase = timing.probe_interval.mul_f64(rng.random());
        Members {
            me,
            count: count.max(me.saturating_add(1)),
            timing,
            rng,
            table,
            health: 0,
            probe: None,
            round: Vec::new(),
            period_count: 0,
            next_period: now + phase,
            next_sync: now + phase + timing.probe_interval,
            seq: 0,
            relays: Relays::default(),
            suspects: Vec::new(),
            next_record: None,
            published_at: None,
            last_time: now,
            leaving: false,
            traffic: Traffic::default(),
            out: Vec::new(),
        }
    }

    /// Changes the number of members.
    pub fn resize(&mut self, count: MemberIndex) {
        self.count = count.max(self.me.saturating_add(1));
        self.table.resize(self.count);
        let count = self.count;
        self.suspects.retain(|n| *n < count);
        self.round.retain(|n| *n < count);
        self.probe = self.probe.take().filter(|p| p.target < count);
    }

    /// Replaces our record. It is sent as soon as the rate limit of record versions allows.
    ///
    /// # Errors | The record's length, if it exceeds [`RECORD_BYTES`].
    pub fn publish(&mut self, record: Vec<u8>) -> Result<(), usize> {
        if record.len() > RECORD_BYTES {
            return Err(record.len());
        }
        self.next_record = Some(record);
        Ok(())
    }

    /// Leaves the fleet: tells a few members at once, which pass it on.
    pub fn leave(&mut self, now: Duration) -> Vec<Action> {
        self.leaving = true;
        if let Some((life, turn, _)) = self.table.get(self.me).map(|entry| entry.rank()) {
            self.table.set_state(now, self.me, (life, turn, State::Left), self.me);
        }
        for to in self.random_alive(2 * self.timing.indirect_probes, self.me) {
            self.send(to, &Message::Words { want: vec![] }, None);
        }
        std::mem::take(&mut self.out)
    }

    /// Time of the next [`Input::Tick`].
    pub fn next_tick_at(&self) -> Duration {
        if self.leaving {
            return Duration::MAX;
        }
        let indirect = self.probe.as_ref().filter(|p| p.helpers_asked.is_none());
        let indirect = indirect.map(|p| p.started + self.timing.ack_timeout * (1 + self.health));
        let suspects = self.suspects.iter().filter_map(|n| self.suspicion_end(*n)).min();
        let times = [indirect, suspects, self.relays.due(), Some(self.next_sync)];
        times.into_iter().flatten().fold(self.next_period, Duration::min)
    }

    /// Datagrams and bytes sent and received since the start.
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// The local health multiplier, 0 (healthy) to 8.
    pub fn health_multiplier(&self) -> u32 {
        self.health
    }

    /// Our own start epoch.
    pub fn life(&self) -> u64 {
        self.table.get(self.me).map_or(0, |entry| entry.life)
    }

    /// All members, this one included.
    pub fn members(&self, now: Duration) -> impl Iterator<Item = MemberView<'_>> {
        self.table.numbered().map(move |(number, entry)| MemberView {
            number,
            state: entry.state,
            life: entry.life,
            turn: entry.turn,
            in_state_for: now.saturating_sub(entry.since),
            heard_ago: if number == self.me { Some(Duration::ZERO) } else { entry.heard }
                .map(|at| now.saturating_sub(at)),
            record: entry
                .record
                .as_ref()
                .map(|r| (&r.bytes[..], r.version, now.saturating_sub(entry.record_at))),
        })
    }

    /// Handles one event and returns the actions it causes; none after [`Members::leave`].
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Action> {
        if self.leaving {
            return Vec::new();
        }
        self.detect_pause(now);
        match input {
            Input::Tick => self.tick(now),
            Input::Received { from, bytes } => self.receive(now, from, bytes),
        }
        std::mem::take(&mut self.out)
    }

    /// Detects that this process was paused: answers to its probes may lie unread, so their absence says
    /// nothing about other members. Without this check a resumed member would suspect all others. The cost:
    /// if only this process is woken late while others run, it suspects failed members later by as much.
    fn detect_pause(&mut self, now: Duration) {
        let late = now.saturating_sub(self.next_tick_at().max(self.last_time));
        self.last_time = now;
        if late < self.timing.probe_interval * PAUSE_PERIODS {
            return;
        }
        self.probe = None;
        self.relays = Relays::default();
        self.health = (self.health + 1).min(MAX_HEALTH_MULTIPLIER);
        self.next_period = now + self.timing.ack_timeout;
        for number in self.suspects.clone() {
            let suspicion = self.table.get_mut(number).and_then(|entry| entry.suspicion.as_mut());
            suspicion.into_iter().for_each(|suspicion| suspicion.started += late);
        }
    }

    fn tick(&mut self, now: Duration) {
        self.publish_next(now);
        let late = self.probe.as_ref().filter(|p| p.helpers_asked.is_none());
        if late.is_some_and(|p| now >= p.started + self.timing.ack_timeout * (1 + self.health)) {
            self.probe_indirectly();
        }
        for (requester, seq) in self.relays.take_due(now) {
            self.send(requester, &Message::Nack { seq }, None);
        }
        for number in self.suspects.clone() {
            if self.suspicion_end(number).is_none_or(|end| now >= end) {
                self.suspects.retain(|s| *s != number);
                let entry = self.table.get(number).filter(|entry| entry.state == State::Suspect);
                if let Some((life, turn, _)) = entry.map(|entry| entry.rank()) {
                    self.set_state(now, number, (life, turn, State::Dead), self.me);
                }
            }
        }
        if now >= self.next_period {
            self.finish_period(now);
            self.next_period = now + self.timing.probe_interval * (1 + self.health);
            self.start_period(now);
        }
        if now >= self.next_sync {
            self.next_sync = now + self.timing.sync_interval;
            for to in self.random_alive(1, self.me) {
                self.send_digest(to);
            }
        }
    }

    /// Publishes our next record once the rate limit allows.
    fn publish_next(&mut self, now: Duration) {
        let interval =
            Duration::from_secs_f64(self.table.present() as f64 / self.timing.max_versions_per_second);
        if self.published_at.is_some_and(|at| now < at + interval.max(MIN_RECORD_INTERVAL)) {
            return;
        }
        let Some(bytes) = self.next_record.take() else { return };
        self.published_at = Some(now);
        let me = self.me;
        let Some(entry) = self.table.get_mut(me) else { return };
        let version = entry.version() + 1;
        (entry.record, entry.record_at) = (Some(Record { version, bytes }), now);
        self.table.enqueue(me);
    }

    /// Up to `count` random alive members other than `excluded`.
    fn random_alive(&mut self, count: usize, excluded: MemberIndex) -> Vec<MemberIndex> {
        let mut found = Vec::new();
        // Random draws instead of a full listing keep the cost independent of the number of members.
        for _ in 0..20 * count {
            let number = self.rng.random_range(0..self.count);
            let eligible = number != self.me && number != excluded && !found.contains(&number);
            if eligible && self.table.get(number).is_some_and(|entry| entry.state == State::Alive) {
                found.push(number);
                if found.len() == count {
                    break;
                }
            }
        }
        found
    }

    /// Sends a message with the update about ourselves first, then the one about `about` unless it is alive,
    /// then the queued updates.
    fn send(&mut self, to: MemberIndex, message: &Message, about: Option<MemberIndex>) {
        let own = self.table.update(self.me, self.me);
        let target_update =
            about.and_then(|n| self.table.update(n, self.me)).filter(|w| w.state != State::Alive);
        let leading: Vec<Update> = own.into_iter().chain(target_update).collect();
        let queued = self.table.pending(self.me, 24);
        let queued = queued.into_iter().filter(|w| leading.iter().all(|f| f.number != w.number));
        let updates: Vec<Update> = leading.iter().cloned().chain(queued).collect();
        self.send_updates(to, message, updates);
    }

    fn send_updates(&mut self, to: MemberIndex, message: &Message, updates: Vec<Update>) {
        let (bytes, count) = message::encode(message, updates.iter());
        self.table.mark_sent(updates[..count].iter().map(|w| w.number));
        self.traffic.sent += 1;
        self.traffic.sent_bytes += bytes.len() as u64;
        self.out.push(Action::Send { to, bytes });
    }
}
