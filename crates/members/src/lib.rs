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

pub mod message;
mod relay;
mod table;

use std::time::Duration;

use message::{Record, Row, What, Word, RECORD_BYTES};
pub use message::{State, DATAGRAM_BYTES};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use relay::Relays;
use table::{Table, CONFIRMED};

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

    // ---- probing ---------------------------------------------------------------------------------------------

    fn begin(&mut self, now: Duration) {
        self.periods = self.periods.wrapping_add(1);
        let members = self.table.present().max(2) as f64;
        self.table.enough = (TELLINGS * members.log2()).ceil() as u32;
        if let Some(target) = self.next_target() {
            self.seq = self.seq.wrapping_add(1);
            let seq = self.seq;
            self.probe = Some(Probe { target, seq, begun: now, asked: None, nacks: 0 });
            self.send(target, &What::Ping { seq }, Some(target));
        }
        // Who is not known to be present is tried now and then, without consequence; often while alone.
        if self.periods.is_multiple_of(REACH) || self.table.present() < 2 {
            for _ in 0..10 {
                let number = self.rng.random_range(0..self.count);
                if self.table.get(number).is_some_and(|e| !e.state.present()) {
                    self.seq = self.seq.wrapping_add(1);
                    self.send(number, &What::Ping { seq: self.seq }, Some(number));
                    break;
                }
            }
        }
    }

    /// All that are present once each, in an order that changes from round to round.
    fn next_target(&mut self) -> Option<Number> {
        for _ in 0..2 {
            while let Some(number) = self.round.pop() {
                if self.table.get(number).is_some_and(|e| e.state.present()) {
                    return Some(number);
                }
            }
            let present = self.table.numbers().filter(|(n, e)| *n != self.me && e.state.present());
            self.round = present.map(|p| p.0).collect();
            for i in (1..self.round.len()).rev() {
                let j = self.rng.random_range(0..=i);
                self.round.swap(i, j);
            }
        }
        None
    }

    fn ask_others(&mut self) {
        let Some((target, seq)) = self.probe.as_ref().map(|p| (p.target, p.seq)) else { return };
        let helpers = self.some(self.pace.helpers, target);
        if let Some(probe) = &mut self.probe {
            probe.asked = Some(helpers.len());
        }
        for helper in helpers {
            self.send(helper, &What::Ask { seq, target }, None);
        }
    }

    /// The period is over: a probe that nobody answered makes its target suspect.
    fn unanswered(&mut self, now: Duration) {
        let Some(probe) = self.probe.take() else { return };
        // Helpers that are silent too speak against ourselves.
        let silent = probe.asked.unwrap_or(0).saturating_sub(probe.nacks);
        let alone = probe.asked.is_none_or(|asked| asked == 0);
        self.health = (self.health + silent as u32 + u32::from(alone)).min(UNHEALTHY);
        let Some(e) = self.table.get(probe.target) else { return };
        match (e.state, e.rank()) {
            (State::Alive, (life, turn, _)) => {
                self.enter(now, probe.target, (life, turn, State::Suspect), self.me);
            }
            (State::Suspect, _) => self.table.confirm(probe.target, self.me),
            _ => {}
        }
    }

    fn doubted_until(&self, number: Number) -> Option<Duration> {
        let doubt = self.table.get(number)?.doubt.as_ref()?;
        let members = self.table.present() as f64;
        let [least, first] = self.pace.suspicion;
        let least = least * members.log10().max(1.0);
        // Where there are few others, none of them need confirm it.
        let wanted = CONFIRMED.min(self.table.present().saturating_sub(3));
        let more = doubt.by.len().saturating_sub(1).min(wanted);
        let part = if wanted == 0 { 1.0 } else { ((more + 1) as f64).ln() / ((wanted + 1) as f64).ln() };
        let periods = least * (first - (first - 1.0) * part);
        Some(doubt.begun + self.pace.period.mul_f64(periods))
    }

    // ---- hearing ---------------------------------------------------------------------------------------------

    fn hear(&mut self, now: Duration, from: Number, bytes: &[u8]) {
        self.traffic.heard += 1;
        self.traffic.heard_bytes += bytes.len() as u64;
        let read = message::read(bytes).filter(|_| from != self.me && from < self.count);
        let Some((what, words)) = read else {
            self.traffic.dropped += 1;
            return;
        };
        if let Some(e) = self.table.get_mut(from) {
            e.heard = Some(now);
        }
        let present = self.table.present();
        for word in &words {
            self.learn(now, from, word);
        }
        // An answer that brought members we did not know of: there may be more.
        if matches!(what, What::Words { .. }) && self.table.present() > present {
            self.next_compare = self.next_compare.min(now + self.pace.period / 2);
        }
        match what {
            What::Ping { seq } => self.send(from, &What::Ack { seq }, Some(from)),
            What::Ack { seq } => self.acked(now, from, seq),
            What::Ask { seq, target } => {
                if target != self.me && target < self.count {
                    self.seq = self.seq.wrapping_add(1);
                    let (own, wait) = (self.seq, self.pace.answer * (1 + self.health));
                    if self.relays.take(now, (from, seq), (target, own), wait, self.pace.period) {
                        self.send(target, &What::Ping { seq: own }, Some(target));
                    }
                }
            }
            What::Nack { seq } => {
                let probe = self.probe.as_mut().filter(|p| p.seq == seq);
                probe.into_iter().for_each(|p| p.nacks += 1);
            }
            What::Digest { start, end, rows } => self.answer_digest(from, start, end, &rows),
            What::Words { want } => {
                if !want.is_empty() {
                    let words = want.iter().filter_map(|n| self.table.word(*n, self.me)).collect();
                    self.send_words(from, &What::Words { want: vec![] }, words);
                }
            }
        }
    }

    /// An answer to our own probe, or to one that we made for another.
    fn acked(&mut self, now: Duration, from: Number, seq: u32) {
        if self.probe.as_ref().is_some_and(|p| p.seq == seq) {
            // Within the time that we would wait at full health, so that health returns only once it is so.
            let quick = self.probe.as_ref().is_some_and(|p| now < p.begun + self.pace.period);
            self.probe = None;
            self.health = self.health.saturating_sub(u32::from(quick));
        } else if let Some((asker, seq)) = self.relays.answered(from, seq) {
            self.send(asker, &What::Ack { seq }, None);
        }
    }

    fn learn(&mut self, now: Duration, from: Number, word: &Word) {
        if word.number == self.me {
            return self.contradict(now, word);
        }
        let learnt = self.table.take(now, word);
        self.changed(word.number, learnt);
        // A member that returned may have missed much, and so may we.
        let back = learnt.from.is_some_and(|s| !s.present()) && word.state.present();
        if back && word.number == from {
            self.next_compare = self.next_compare.min(now + self.pace.period / 2);
        }
    }

    /// A word about ourselves: what is not so any more is outdone by a later turn.
    fn contradict(&mut self, now: Duration, word: &Word) {
        let Some((life, turn, _)) = self.table.get(self.me).map(|e| e.rank()) else { return };
        let new = if word.life > life {
            // Our clock was set back between two starts, or another has our number: the later word stands.
            Some((word.life.saturating_add(1), 0))
        } else if word.life == life && word.state != State::Alive && word.turn >= turn {
            self.health = (self.health + 1).min(UNHEALTHY);
            Some((life, word.turn.saturating_add(1)))
        } else {
            None
        };
        if let Some((life, turn)) = new {
            let record = self.table.get(self.me).and_then(|e| e.record.clone());
            self.enter(now, self.me, (life, turn, State::Alive), self.me);
            if let Some(e) = self.table.get_mut(self.me) {
                (e.record, e.record_at) = (record, now);
            }
        }
    }

    fn enter(&mut self, now: Duration, number: Number, rank: message::Rank, by: Number) {
        let learnt = self.table.enter(now, number, rank, by);
        self.changed(number, learnt);
    }

    fn changed(&mut self, number: Number, learnt: table::Learnt) {
        let Some(from) = learnt.from else { return };
        let Some((life, _, to)) = self.table.get(number).map(|e| e.rank()) else { return };
        self.suspects.retain(|s| *s != number);
        if to == State::Suspect {
            self.suspects.push(number);
        }
        self.out.push(Out::Changed { number, from, to, life });
    }

    // ---- comparing -------------------------------------------------------------------------------------------

    fn compare(&mut self, to: Number) {
        let start = self.rng.random_range(0..self.count) / RANGE * RANGE;
        let end = start.saturating_add(RANGE).min(self.count);
        let rows = (start..end).filter_map(|n| self.table.row(n)).collect();
        self.send(to, &What::Digest { start, end, rows }, None);
    }

    fn answer_digest(&mut self, from: Number, start: Number, end: Number, rows: &[Row]) {
        let end = end.min(start.saturating_add(RANGE)).min(self.count);
        let (mut words, mut want) = (Vec::new(), Vec::new());
        for number in start..end {
            let theirs = rows.iter().find(|r| r.number == number);
            let age = |r: &Row| ((r.life, r.turn, r.state), r.version);
            let (mine, theirs) = (self.table.row(number).map(|r| age(&r)), theirs.map(age));
            let newer = |a: &Option<(message::Rank, u32)>, b: &Option<(message::Rank, u32)>| match (a, b) {
                (Some(a), Some(b)) => a.0 > b.0 || (a.0 .0 == b.0 .0 && a.1 > b.1),
                (a, b) => a.is_some() && b.is_none(),
            };
            if newer(&mine, &theirs) {
                words.extend(self.table.word(number, self.me));
            }
            if newer(&theirs, &mine) {
                want.push(number);
            }
        }
        if !words.is_empty() || !want.is_empty() {
            self.send_words(from, &What::Words { want }, words);
        }
    }

    // ---- sending ---------------------------------------------------------------------------------------------

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
