//! Who is there: membership among a known set of marshals, and a record of each that spreads to all.
//!
//! SWIM as published (Das, Gupta, Motivala 2002: probe, indirect probe, suspicion with incarnation, rumours on
//! the back of probes) with Lifeguard (Dadgar, Phillips, Currey 2018: local health, nacks, suspicion that ends
//! sooner the more members come to it by themselves, the suspect told first). A member says how often it has
//! started by its `life`; a later life is a new member under the same number. Who was away is brought up to
//! date by digests of a range of numbers.
//!
//! No socket, clock or thread: [`Members::handle`] is told what happened and says what to send. What each member
//! sends a second is fixed; only how long a word takes to reach all grows with their number.
#![forbid(unsafe_code)]

mod hearing;
pub mod message;
mod probing;
mod relay;
mod table;

use std::time::Duration;

use message::{Record, What, Word, RECORD_BYTES};
pub use message::{State, DATAGRAM_BYTES};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use relay::Relays;
use table::Table;

/// A member, by its place in the terms.
pub type Number = u16;

/// How fast membership works. What it costs follows from these, and not from the number of members.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// One member is probed in each period.
    pub period: Duration,
    /// A probe unanswered for so long is tried through others.
    pub answer: Duration,
    /// Through so many.
    pub helpers: usize,
    /// A suspicion lasts at least so many periods, times the common logarithm of the members, and at first so
    /// many times that.
    pub suspicion: [f64; 2],
    /// A member compares what it knows with another's this often.
    pub compare: Duration,
    /// New versions of all records in a second at most, over all members.
    pub versions: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Pace {
            period: Duration::from_millis(500),
            answer: Duration::from_millis(200),
            helpers: 3,
            suspicion: [4.0, 4.0],
            compare: Duration::from_secs(2),
            versions: 20.0,
        }
    }
}

/// How many members a digest is about: it fits a datagram.
const RANGE: Number = 40;
/// Words are passed on so many times the logarithm of the members.
const TELLINGS: f64 = 3.0;
/// Local health is at worst this.
const UNHEALTHY: u32 = 8;
/// Every so many periods somebody who is not present is tried too.
const REACH: u32 = 3;
/// A member's new version of its record goes out no sooner than this after the last.
const LEAST_GAP: Duration = Duration::from_millis(500);
/// Woken so many periods after its time, a member knows that it stood still, not the others.
const STOOD: u32 = 2;

#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// Time has passed, see [`Members::due`].
    Tick,
    /// Bytes from another member.
    Heard { from: Number, bytes: &'a [u8] },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Out {
    Send {
        to: Number,
        bytes: Vec<u8>,
    },
    /// A member entered another state, or another life of the same.
    Changed {
        number: Number,
        from: State,
        to: State,
        life: u64,
    },
}

/// One member, as we see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View<'a> {
    pub number: Number,
    pub state: State,
    pub life: u64,
    pub turn: u32,
    /// How long it has been in this state.
    pub since: Duration,
    /// How long ago it was last heard without another in between.
    pub heard: Option<Duration>,
    /// Its record, the version and how long ago it came.
    pub record: Option<(&'a [u8], u32, Duration)>,
}

/// A probe under way.
struct Probe {
    target: Number,
    seq: u32,
    begun: Duration,
    /// Tried through others, of whom so many have said that they hear nothing either.
    asked: Option<usize>,
    nacks: usize,
}

/// What went out and came in since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub sent: u64,
    pub sent_bytes: u64,
    pub heard: u64,
    pub heard_bytes: u64,
    /// Datagrams that could not be read.
    pub dropped: u64,
}

pub struct Members {
    me: Number,
    count: Number,
    pace: Pace,
    rng: Pcg64,
    table: Table,
    /// Lifeguard's multiplier: how far we doubt ourselves.
    health: u32,
    probe: Option<Probe>,
    /// Who is probed next, last first.
    round: Vec<Number>,
    periods: u32,
    next_period: Duration,
    next_compare: Duration,
    seq: u32,
    relays: Relays,
    suspects: Vec<Number>,
    /// Our next record, and when the last went out.
    next_record: Option<Vec<u8>>,
    published: Option<Duration>,
    /// When time was last seen.
    seen: Duration,
    leaving: bool,
    traffic: Traffic,
    out: Vec<Out>,
}

impl Members {
    /// One of `count` members. `life` grows from start to start, as by the time of the start; a clock that was
    /// set back does no harm.
    pub fn new(me: Number, count: Number, life: u64, seed: u64, now: Duration, pace: Pace) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut table = Table::new(count.max(me.saturating_add(1)));
        table.enter(now, me, (life, 0, State::Alive), me);
        // Members that start together do not speak together.
        let lot = pace.period.mul_f64(rng.random());
        Members {
            me,
            count: count.max(me.saturating_add(1)),
            pace,
            rng,
            table,
            health: 0,
            probe: None,
            round: Vec::new(),
            periods: 0,
            next_period: now + lot,
            next_compare: now + lot + pace.period,
            seq: 0,
            relays: Relays::default(),
            suspects: Vec::new(),
            next_record: None,
            published: None,
            seen: now,
            leaving: false,
            traffic: Traffic::default(),
            out: Vec::new(),
        }
    }

    /// There are more or fewer members now.
    pub fn resize(&mut self, count: Number) {
        self.count = count.max(self.me.saturating_add(1));
        self.table.resize(self.count);
        let count = self.count;
        self.suspects.retain(|n| *n < count);
        self.round.retain(|n| *n < count);
        self.probe = self.probe.take().filter(|p| p.target < count);
    }

    /// Our record from now on. It goes out as soon as the fleet's rate of versions allows.
    ///
    /// # Errors
    /// Its length, where it is over [`RECORD_BYTES`].
    pub fn publish(&mut self, record: Vec<u8>) -> Result<(), usize> {
        if record.len() > RECORD_BYTES {
            return Err(record.len());
        }
        self.next_record = Some(record);
        Ok(())
    }

    /// We go: some are told at once, and pass it on.
    pub fn leave(&mut self, now: Duration) -> Vec<Out> {
        self.leaving = true;
        if let Some((life, turn, _)) = self.table.get(self.me).map(|e| e.rank()) {
            self.table.enter(now, self.me, (life, turn, State::Left), self.me);
        }
        for to in self.some(2 * self.pace.helpers, self.me) {
            self.send(to, &What::Words { want: vec![] }, None);
        }
        std::mem::take(&mut self.out)
    }

    /// When [`Input::Tick`] is due next.
    pub fn due(&self) -> Duration {
        if self.leaving {
            return Duration::MAX;
        }
        let indirect = self.probe.as_ref().filter(|p| p.asked.is_none());
        let indirect = indirect.map(|p| p.begun + self.pace.answer * (1 + self.health));
        let suspects = self.suspects.iter().filter_map(|n| self.doubted_until(*n)).min();
        let times = [indirect, suspects, self.relays.due(), Some(self.next_compare)];
        times.into_iter().flatten().fold(self.next_period, Duration::min)
    }

    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// How far this member doubts itself, 0 to 8.
    pub fn health(&self) -> u32 {
        self.health
    }

    pub fn life(&self) -> u64 {
        self.table.get(self.me).map_or(0, |e| e.life)
    }

    /// All members, ourselves among them.
    pub fn view(&self, now: Duration) -> impl Iterator<Item = View<'_>> {
        self.table.numbers().map(move |(number, e)| View {
            number,
            state: e.state,
            life: e.life,
            turn: e.turn,
            since: now.saturating_sub(e.since),
            heard: if number == self.me { Some(Duration::ZERO) } else { e.heard }
                .map(|at| now.saturating_sub(at)),
            record: e.record.as_ref().map(|r| (&r.bytes[..], r.version, now.saturating_sub(e.record_at))),
        })
    }

    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Out> {
        if self.leaving {
            return Vec::new();
        }
        self.stood_still(now);
        match input {
            Input::Tick => self.tick(now),
            Input::Heard { from, bytes } => self.hear(now, from, bytes),
        }
        std::mem::take(&mut self.out)
    }

    /// If time has leapt, this process stood still: what it waited for may lie unread, and says nothing of
    /// others. Guards against a stopped member that suspects all when it goes on. Harms where nothing wakes
    /// a member for long though others live: they are suspected later by as much.
    fn stood_still(&mut self, now: Duration) {
        let late = now.saturating_sub(self.due().max(self.seen));
        self.seen = now;
        if late < self.pace.period * STOOD {
            return;
        }
        self.probe = None;
        self.relays = Relays::default();
        self.health = (self.health + 1).min(UNHEALTHY);
        self.next_period = now + self.pace.answer;
        for number in self.suspects.clone() {
            let doubt = self.table.get_mut(number).and_then(|e| e.doubt.as_mut());
            doubt.into_iter().for_each(|doubt| doubt.begun += late);
        }
    }

    fn tick(&mut self, now: Duration) {
        self.version(now);
        let late = self.probe.as_ref().filter(|p| p.asked.is_none());
        if late.is_some_and(|p| now >= p.begun + self.pace.answer * (1 + self.health)) {
            self.ask_others();
        }
        for (asker, seq) in self.relays.late(now) {
            self.send(asker, &What::Nack { seq }, None);
        }
        for number in self.suspects.clone() {
            if self.doubted_until(number).is_none_or(|until| now >= until) {
                self.suspects.retain(|s| *s != number);
                let e = self.table.get(number).filter(|e| e.state == State::Suspect);
                if let Some((life, turn, _)) = e.map(|e| e.rank()) {
                    self.enter(now, number, (life, turn, State::Dead), self.me);
                }
            }
        }
        if now >= self.next_period {
            self.unanswered(now);
            self.next_period = now + self.pace.period * (1 + self.health);
            self.begin(now);
        }
        if now >= self.next_compare {
            self.next_compare = now + self.pace.compare;
            for to in self.some(1, self.me) {
                self.compare(to);
            }
        }
    }

    /// Puts out our next record where it is time.
    fn version(&mut self, now: Duration) {
        let share = Duration::from_secs_f64(self.table.present() as f64 / self.pace.versions);
        if self.published.is_some_and(|at| now < at + share.max(LEAST_GAP)) {
            return;
        }
        let Some(bytes) = self.next_record.take() else { return };
        self.published = Some(now);
        let me = self.me;
        let Some(e) = self.table.get_mut(me) else { return };
        let version = e.version() + 1;
        (e.record, e.record_at) = (Some(Record { version, bytes }), now);
        self.table.spread(me);
    }

    /// So many members that are alive, but not `without`, by lot.
    fn some(&mut self, count: usize, without: Number) -> Vec<Number> {
        let mut found = Vec::new();
        // Drawn, not listed: this must cost no more where members are many.
        for _ in 0..20 * count {
            let number = self.rng.random_range(0..self.count);
            let fits = number != self.me && number != without && !found.contains(&number);
            if fits && self.table.get(number).is_some_and(|e| e.state == State::Alive) {
                found.push(number);
                if found.len() == count {
                    break;
                }
            }
        }
        found
    }

    /// Sends with our own word first, then that of `about` where it is not simply alive, then the news.
    fn send(&mut self, to: Number, what: &What, about: Option<Number>) {
        let own = self.table.word(self.me, self.me);
        let doubted = about.and_then(|n| self.table.word(n, self.me)).filter(|w| w.state != State::Alive);
        let first: Vec<Word> = own.into_iter().chain(doubted).collect();
        let news = self.table.due(self.me, 24);
        let news = news.into_iter().filter(|w| first.iter().all(|f| f.number != w.number));
        let words: Vec<Word> = first.iter().cloned().chain(news).collect();
        self.send_words(to, what, words);
    }

    fn send_words(&mut self, to: Number, what: &What, words: Vec<Word>) {
        let (bytes, count) = message::write(what, words.iter());
        self.table.told(words[..count].iter().map(|w| w.number));
        self.traffic.sent += 1;
        self.traffic.sent_bytes += bytes.len() as u64;
        self.out.push(Out::Send { to, bytes });
    }
}
