//! Simulates many marshals in virtual time. They interact only by datagrams, and no datagram takes less than
//! one window, so several threads can process a window in parallel. The result doesn't depend on the number
//! of threads.

use std::collections::BinaryHeap;
use std::sync::{Arc, Barrier, Mutex};
use std::time::Duration;

use ivydrift_terms::Config;

use super::marshal::{Counts, Effects, HollowMarshal, LocalEvent};
use super::script::Script;
use crate::scale::Error;
use ivydrift_wire::list;

/// Shortest delay of a datagram, and the step by which the simulation advances.
pub const WINDOW: Duration = Duration::from_millis(1);
const DELAY: [Duration; 2] = [WINDOW, Duration::from_millis(3)];

enum EventKind {
    Start,
    Kill,
    Local(LocalEvent),
    Datagram(Vec<u8>),
}

struct Event {
    at: Duration,
    to: usize,
    /// The marshal that created it and that marshal's event number. This orders simultaneous events
    /// reproducibly.
    origin: (usize, u64),
    kind: EventKind,
}

impl Event {
    fn order(&self) -> (Duration, usize, (usize, u64)) {
        (self.at, self.to, self.origin)
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
    marshals: Vec<MarshalSlot>,
    queue: BinaryHeap<Event>,
    /// State changes seen by marshals: time, observer, observed marshal, and whether it appeared (true) or
    /// vanished.
    changes: Vec<(Duration, usize, usize, bool)>,
    visible_pairs: u64,
}

#[derive(Default)]
struct MarshalSlot {
    marshal: Option<Box<HollowMarshal>>,
    next_seq: u64,
}

/// The latest answer of the node list, cached.
#[derive(Default)]
struct ListCache(Mutex<Option<(u64, Arc<Vec<u8>>)>>);

impl ListCache {
    fn get(&self, script: &Script, answered_at: Duration) -> Arc<Vec<u8>> {
        let index = script.list_index(answered_at);
        let mut cached = self.0.lock().unwrap_or_else(|e| e.into_inner());
        if let Some((_, bytes)) = cached.as_ref().filter(|k| k.0 == index) {
            return bytes.clone();
        }
        let bytes = Arc::new(list::write(&script.list(answered_at)));
        *cached = Some((index, bytes.clone()));
        bytes
    }
}

/// A simulated fleet of marshals.
pub struct Simulation {
    pub now: Duration,
    script: Script,
    shards: Vec<Shard>,
    lists: ListCache,
    /// Whether to record the state changes seen by each marshal.
    pub records_changes: bool,
}

impl Simulation {
    /// Creates the marshals; marshal `n` starts at `starts[n]`.
    pub fn new(script: Script, starts: &[Duration], threads: usize) -> Simulation {
        let mut shards: Vec<Shard> = (0..threads.max(1)).map(|_| Shard::default()).collect();
        for (n, at) in starts.iter().enumerate() {
            let shard = &mut shards[n % threads.max(1)];
            shard.marshals.push(MarshalSlot::default());
            shard.queue.push(Event { at: *at, to: n, origin: (n, 0), kind: EventKind::Start });
        }
        Simulation {
            now: Duration::ZERO,
            script,
            shards,
            lists: ListCache::default(),
            records_changes: false,
        }
    }

    fn slots(&self) -> impl Iterator<Item = &MarshalSlot> {
        self.shards.iter().flat_map(|s| &s.marshals)
    }

    /// Counters of all running marshals, summed.
    pub fn counts(&self) -> Counts {
        let running = self.slots().filter_map(|s| s.marshal.as_ref());
        running.fold(Counts::default(), |sum, marshal| sum.plus(&marshal.counts))
    }

    /// Most datagrams sent by one marshal.
    pub fn max_sent(&self) -> u64 {
        self.slots().filter_map(|s| s.marshal.as_ref()).map(|h| h.counts.sent.count).max().unwrap_or(0)
    }

    /// Number of running marshals.
    pub fn running(&self) -> usize {
        self.slots().filter(|s| s.marshal.is_some()).count()
    }

    /// Smallest number of nodes that a marshal may send to.
    pub fn min_ready(&self) -> usize {
        self.slots().filter_map(|s| s.marshal.as_ref()).map(|h| h.ready()).min().unwrap_or(0)
    }

    /// Pairs of marshals of which the first sees the second: appearances less disappearances.
    pub fn pairs(&self) -> u64 {
        self.shards.iter().map(|s| s.visible_pairs).sum()
    }

    /// The recorded state changes in order of time; see [`Simulation::records_changes`].
    pub fn state_changes(&self) -> Vec<(Duration, usize, usize, bool)> {
        let mut changes: Vec<_> = self.shards.iter().flat_map(|s| &s.changes).copied().collect();
        changes.sort_unstable();
        changes
    }

    /// Kills marshal `n`.
    pub fn kill(&mut self, n: usize) {
        let (at, count) = (self.now, self.shards.len());
        self.shards[n % count].queue.push(Event { at, to: n, origin: (n, u64::MAX), kind: EventKind::Kill });
    }

    /// Runs for `span`.
    ///
    /// # Errors
    /// If the config is invalid.
    pub fn run(&mut self, span: Duration) -> Result<(), Error> {
        let Simulation { script, shards, lists, now, records_changes } = self;
        let configs = script.configs()?;
        let (end, threads) = (*now + span, shards.len());
        let inboxes: Vec<Mutex<Vec<Event>>> = (0..threads).map(|_| Mutex::default()).collect();
        let barrier = Barrier::new(threads);
        let run_shard = |shard: &mut Shard, index: usize| {
            let mut at = *now;
            while at < end {
                at = (at + WINDOW).min(end);
                let mut out: Vec<Vec<Event>> = (0..threads).map(|_| Vec::new()).collect();
                let mut context = Context {
                    script,
                    lists,
                    configs: &configs,
                    records_changes: *records_changes,
                    out: &mut out,
                };
                shard.run_window(at, threads, &mut context);
                for (to, events) in out.into_iter().enumerate() {
                    if to == index {
                        shard.queue.extend(events);
                    } else if !events.is_empty() {
                        inboxes[to].lock().unwrap_or_else(|e| e.into_inner()).extend(events);
                    }
                }
                if threads > 1 {
                    barrier.wait();
                    shard.queue.extend(inboxes[index].lock().unwrap_or_else(|e| e.into_inner()).drain(..));
                    barrier.wait();
                }
            }
        };
        if let [shard] = &mut shards[..] {
            run_shard(shard, 0);
        } else {
            std::thread::scope(|s| {
                for (index, shard) in shards.iter_mut().enumerate() {
                    let run_shard = &run_shard;
                    s.spawn(move || run_shard(shard, index));
                }
            });
        }
        *now = end;
        Ok(())
    }
}

/// State shared by the marshals of a thread in one window.
struct Context<'a> {
    script: &'a Script,
    lists: &'a ListCache,
    configs: &'a dyn Fn(usize) -> Config,
    records_changes: bool,
    out: &'a mut Vec<Vec<Event>>,
}

impl Shard {
    /// Processes all events before `until`.
    fn run_window(&mut self, until: Duration, threads: usize, context: &mut Context) {
        let mut effects = Effects::default();
        while self.queue.peek().is_some_and(|e| e.at < until) {
            let Some(Event { at, to, kind, .. }) = self.queue.pop() else { return };
            let slot = &mut self.marshals[to / threads];
            match kind {
                EventKind::Start => {
                    let config = (context.configs)(to);
                    slot.marshal = Some(Box::new(HollowMarshal::start(
                        to,
                        config,
                        DELAY,
                        at,
                        context.script,
                        &mut effects,
                    )));
                }
                EventKind::Kill => slot.marshal = None,
                EventKind::Local(event) => {
                    let Some(marshal) = &mut slot.marshal else { continue };
                    let lists = |answered_at| context.lists.get(context.script, answered_at);
                    marshal.handle_event(at, event, context.script, &lists, &mut effects);
                }
                EventKind::Datagram(bytes) => {
                    let Some(marshal) = &mut slot.marshal else { continue };
                    marshal.receive(at, &bytes, context.script, &mut effects);
                }
            }
            for (at, event) in effects.events.drain(..) {
                slot.next_seq += 1;
                self.queue.push(Event { at, to, origin: (to, slot.next_seq), kind: EventKind::Local(event) });
            }
            for (at, receiver, bytes) in effects.datagrams.drain(..) {
                slot.next_seq += 1;
                let origin = (to, slot.next_seq);
                context.out[receiver % threads].push(Event {
                    at,
                    to: receiver,
                    origin,
                    kind: EventKind::Datagram(bytes),
                });
            }
            for (observed, _, present) in effects.changes.drain(..).filter(|s| s.1 != s.2 && s.0 != to) {
                self.visible_pairs =
                    if present { self.visible_pairs + 1 } else { self.visible_pairs.saturating_sub(1) };
                if context.records_changes {
                    self.changes.push((at, to, observed, present));
                }
            }
        }
    }
}
