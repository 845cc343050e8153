//! Simulates many marshals in virtual time. They interact only by datagrams, and no datagram takes less than
//! one window, so several threads can process a window in parallel. The result doesn't depend on the number
//! of threads.

use std::collections::BinaryHeap;
use std::sync::{Arc, Barrier, Mutex};
use std::time::Duration;

use ivydrift_terms::Terms;

use super::host::{Counts, Host, Later, Own};
use super::script::Script;
use crate::scale::Error;
use ivydrift_wire::list;

/// Shortest delay of a datagram, and the step by which the simulation advances.
pub const WINDOW: Duration = Duration::from_millis(1);
const DELAY: [Duration; 2] = [WINDOW, Duration::from_millis(3)];

enum What {
    Start,
    Kill,
    Own(Own),
    Mail(Vec<u8>),
}

struct Event {
    at: Duration,
    to: usize,
    /// The marshal that created it and that marshal's event number. This orders simultaneous events
    /// reproducibly.
    by: (usize, u64),
    what: What,
}

impl Event {
    fn order(&self) -> (Duration, usize, (usize, u64)) {
        (self.at, self.to, self.by)
    }
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.order() == other.order()
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    /// Reversed, so that the max-heap yields the earliest event first.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other.order().cmp(&self.order())
    }
}

/// The marshals of one thread: every n-th of them.
#[derive(Default)]
struct Shard {
    hosts: Vec<Slot>,
    queue: BinaryHeap<Event>,
    /// State changes seen by marshals: time, observer, observed marshal, and whether it appeared (true) or
    /// vanished.
    saw: Vec<(Duration, usize, usize, bool)>,
    present: u64,
}

#[derive(Default)]
struct Slot {
    host: Option<Box<Host>>,
    made: u64,
}

/// The latest answer of the node list, cached.
#[derive(Default)]
struct Lists(Mutex<Option<(u64, Arc<Vec<u8>>)>>);

impl Lists {
    fn get(&self, script: &Script, said: Duration) -> Arc<Vec<u8>> {
        let index = script.list_index(said);
        let mut kept = self.0.lock().unwrap_or_else(|e| e.into_inner());
        if let Some((_, bytes)) = kept.as_ref().filter(|k| k.0 == index) {
            return bytes.clone();
        }
        let bytes = Arc::new(list::write(&script.list(said)));
        *kept = Some((index, bytes.clone()));
        bytes
    }
}

/// A simulated fleet of marshals.
pub struct World {
    pub now: Duration,
    script: Script,
    shards: Vec<Shard>,
    lists: Lists,
    /// Whether to record the state changes seen by each marshal.
    pub keeps: bool,
}

impl World {
    /// Creates the marshals; marshal `n` starts at `starts[n]`.
    pub fn new(script: Script, starts: &[Duration], threads: usize) -> World {
        let mut shards: Vec<Shard> = (0..threads.max(1)).map(|_| Shard::default()).collect();
        for (n, at) in starts.iter().enumerate() {
            let shard = &mut shards[n % threads.max(1)];
            shard.hosts.push(Slot::default());
            shard.queue.push(Event { at: *at, to: n, by: (n, 0), what: What::Start });
        }
        World { now: Duration::ZERO, script, shards, lists: Lists::default(), keeps: false }
    }

    fn slots(&self) -> impl Iterator<Item = &Slot> {
        self.shards.iter().flat_map(|s| &s.hosts)
    }

    /// Counters of all running marshals, summed.
    pub fn counts(&self) -> Counts {
        let live = self.slots().filter_map(|s| s.host.as_ref());
        live.fold(Counts::default(), |sum, host| sum.plus(&host.counts))
    }

    /// Most datagrams sent by one marshal.
    pub fn most_sent(&self) -> u64 {
        self.slots().filter_map(|s| s.host.as_ref()).map(|h| h.counts.sent.count).max().unwrap_or(0)
    }

    /// Number of running marshals.
    pub fn live(&self) -> usize {
        self.slots().filter(|s| s.host.is_some()).count()
    }

    /// Smallest number of nodes that a marshal may send to.
    pub fn least_ready(&self) -> usize {
        self.slots().filter_map(|s| s.host.as_ref()).map(|h| h.ready()).min().unwrap_or(0)
    }

    /// Pairs of marshals of which the first sees the second: appearances less disappearances.
    pub fn pairs(&self) -> u64 {
        self.shards.iter().map(|s| s.present).sum()
    }

    /// The recorded state changes in order of time; see [`World::keeps`].
    pub fn saw(&self) -> Vec<(Duration, usize, usize, bool)> {
        let mut all: Vec<_> = self.shards.iter().flat_map(|s| &s.saw).copied().collect();
        all.sort_unstable();
        all
    }

    /// Kills marshal `n`.
    pub fn kill(&mut self, n: usize) {
        let (at, count) = (self.now, self.shards.len());
        self.shards[n % count].queue.push(Event { at, to: n, by: (n, u64::MAX), what: What::Kill });
    }

    /// Runs for `span`.
    ///
    /// # Errors
    /// If the config is invalid.
    pub fn run(&mut self, span: Duration) -> Result<(), Error> {
        let World { script, shards, lists, now, keeps } = self;
        let terms = script.terms()?;
        let (end, threads) = (*now + span, shards.len());
        let boxes: Vec<Mutex<Vec<Event>>> = (0..threads).map(|_| Mutex::default()).collect();
        let barrier = Barrier::new(threads);
        let play = |shard: &mut Shard, index: usize| {
            let mut at = *now;
            while at < end {
                at = (at + WINDOW).min(end);
                let mut out: Vec<Vec<Event>> = (0..threads).map(|_| Vec::new()).collect();
                let mut round = Round { script, lists, terms: &terms, keeps: *keeps, out: &mut out };
                shard.window(at, threads, &mut round);
                for (to, mail) in out.into_iter().enumerate() {
                    if to == index {
                        shard.queue.extend(mail);
                    } else if !mail.is_empty() {
                        boxes[to].lock().unwrap_or_else(|e| e.into_inner()).extend(mail);
                    }
                }
                if threads > 1 {
                    barrier.wait();
                    shard.queue.extend(boxes[index].lock().unwrap_or_else(|e| e.into_inner()).drain(..));
                    barrier.wait();
                }
            }
        };
        if let [one] = &mut shards[..] {
            play(one, 0);
        } else {
            std::thread::scope(|s| {
                for (index, shard) in shards.iter_mut().enumerate() {
                    let play = &play;
                    s.spawn(move || play(shard, index));
                }
            });
        }
        *now = end;
        Ok(())
    }
}

/// State shared by the marshals of a thread in one window.
struct Round<'a> {
    script: &'a Script,
    lists: &'a Lists,
    terms: &'a dyn Fn(usize) -> Terms,
    keeps: bool,
    out: &'a mut Vec<Vec<Event>>,
}

impl Shard {
    /// Processes all events before `until`.
    fn window(&mut self, until: Duration, threads: usize, round: &mut Round) {
        let mut later = Later::default();
        while self.queue.peek().is_some_and(|e| e.at < until) {
            let Some(Event { at, to, what, .. }) = self.queue.pop() else { return };
            let slot = &mut self.hosts[to / threads];
            match what {
                What::Start => {
                    let terms = (round.terms)(to);
                    slot.host = Some(Box::new(Host::start(to, terms, DELAY, at, round.script, &mut later)));
                }
                What::Kill => slot.host = None,
                What::Own(own) => {
                    let Some(host) = &mut slot.host else { continue };
                    let lists = |said| round.lists.get(round.script, said);
                    host.own(at, own, round.script, &lists, &mut later);
                }
                What::Mail(bytes) => {
                    let Some(host) = &mut slot.host else { continue };
                    host.hear(at, &bytes, round.script, &mut later);
                }
            }
            for (at, own) in later.own.drain(..) {
                slot.made += 1;
                self.queue.push(Event { at, to, by: (to, slot.made), what: What::Own(own) });
            }
            for (at, receiver, bytes) in later.mail.drain(..) {
                slot.made += 1;
                let by = (to, slot.made);
                round.out[receiver % threads].push(Event { at, to: receiver, by, what: What::Mail(bytes) });
            }
            for (whom, _, is) in later.saw.drain(..).filter(|s| s.1 != s.2 && s.0 != to) {
                self.present = if is { self.present + 1 } else { self.present.saturating_sub(1) };
                if round.keeps {
                    self.saw.push((at, to, whom, is));
                }
            }
        }
    }
}
