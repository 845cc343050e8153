//! The actual state of the nodes over time, and the time by which each marshal must know of a change. The
//! checks compare the marshals' behavior with this record.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A marshal must know of a change this long after discovery first had it and was reachable, whether or not an
/// outage follows.
const KNOWN_WITHIN: Duration = Duration::from_secs(6);
/// The same, counted from a SIGHUP.
const KNOWN_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// The same, counted from the end of the hold of a long poll that went silent.
const KNOWN_AFTER_HOLD: Duration = Duration::from_secs(2);

/// The state of a node in discovery.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    Active,
    Leaving,
    Left,
}

impl Phase {
    /// The phase as discovery writes it.
    pub fn word(self) -> &'static str {
        match self {
            Phase::Active => "active",
            Phase::Leaving => "leaving",
            Phase::Left => "left",
        }
    }
}

/// A change of a node's phase.
#[derive(Clone, Copy)]
pub struct Change {
    pub at: Instant,
    pub revision: u64,
    pub phase: Phase,
}

/// A watch that went silent: discovery wrote nothing more on it.
#[derive(Clone, Copy)]
pub struct SilentWatch {
    pub since: Instant,
    /// When the call arrived at discovery.
    pub called_at: Instant,
    /// The hold that the marshal requested.
    pub hold: Duration,
}

/// What happened to one marshal.
#[derive(Default)]
pub struct Marshal {
    /// When discovery wrote to it, and which revision.
    pub written: Vec<(Instant, u64)>,
    /// When it was sent SIGHUP.
    pub reloads: Vec<Instant>,
    pub silent_watches: Vec<SilentWatch>,
    /// When its process was started.
    pub starts: Vec<Instant>,
    /// When it was killed, or at the end of the run.
    pub ends: Vec<Instant>,
    /// When it was sent SIGTERM.
    pub stops: Vec<Instant>,
}

impl Marshal {
    /// When it was told to end, in whichever way.
    pub fn ends_and_stops(&self) -> impl Iterator<Item = &Instant> {
        self.ends.iter().chain(&self.stops)
    }
}

/// The record of a run.
pub struct Truth {
    pub started: Instant,
    /// The revision of the node list.
    pub revision: u64,
    pub nodes: Vec<SocketAddr>,
    /// The changes of each node, the latest last.
    pub changes: Vec<Vec<Change>>,
    /// Start of each discovery outage, and its end if it is over.
    pub outages: Vec<(Instant, Option<Instant>)>,
    pub marshals: HashMap<usize, Marshal>,
}

impl Truth {
    pub fn new(nodes: Vec<SocketAddr>) -> Self {
        let first = Change { at: Instant::now(), revision: 1, phase: Phase::Active };
        let changes = nodes.iter().map(|_| vec![first]).collect();
        Truth { started: first.at, revision: 1, nodes, changes, outages: vec![], marshals: HashMap::new() }
    }

    /// Records a change of a node under a new revision.
    pub fn set_phase(&mut self, node: usize, phase: Phase) {
        self.revision += 1;
        self.changes[node].push(Change { at: Instant::now(), revision: self.revision, phase });
    }

    pub fn phase(&self, node: usize) -> Phase {
        self.changes[node].last().map_or(Phase::Left, |change| change.phase)
    }

    pub fn discovery_is_down(&self) -> bool {
        self.outages.last().is_some_and(|outage| outage.1.is_none())
    }

    pub fn marshal(&mut self, number: usize) -> &mut Marshal {
        self.marshals.entry(number).or_default()
    }

    /// The node list as of revision `up_to`, in discovery's format. `after`: only what changed since that
    /// revision.
    pub fn list_json(&self, up_to: u64, after: Option<u64>) -> String {
        let entry = |(number, changes): (usize, &Vec<Change>)| {
            let last = changes.iter().rev().find(|change| change.revision <= up_to)?;
            let included = match after {
                Some(after) => last.revision > after,
                None => last.phase != Phase::Left,
            };
            included.then(|| {
                let (addr, phase) = (self.nodes[number], last.phase.word());
                format!(
                    r#"{{"id":"s-{number}","host_port":"{addr}","locality":"site-a","flavor":"full-1c","cell":1,
                    "phase":"{phase}","size":1.0,"up_since_ms":0,"image_id":1}}"#
                )
            })
        };
        let members: Vec<String> = self.changes.iter().enumerate().filter_map(entry).collect();
        let complete = after.is_none();
        format!(r#"{{"revision":{up_to},"complete":{complete},"members":[{}]}}"#, members.join(","))
    }

    /// The latest revision that discovery wrote to a marshal.
    pub fn last_written(&self, marshal: usize) -> u64 {
        self.marshals.get(&marshal).and_then(|m| m.written.iter().map(|w| w.1).max()).unwrap_or(1)
    }

    /// When discovery was first reachable at this time or later.
    fn reachable_from(&self, at: Instant) -> Instant {
        let outage = self.outages.iter().find(|(start, end)| *start <= at && end.is_none_or(|end| end > at));
        match outage {
            None => at,
            Some((_, Some(end))) => *end,
            Some((_, None)) => Instant::now() + KNOWN_WITHIN,
        }
    }

    /// Whether an outage began between these times. It ends all watches.
    fn outage_began_between(&self, from: Instant, to: Instant) -> bool {
        self.outages.iter().any(|(start, _)| (from..=to).contains(start))
    }

    /// When a marshal must know of a change, even if little of it arrived.
    fn must_know_by(&self, marshal: usize, change: &Change) -> Instant {
        let reachable_from = self.reachable_from(change.at);
        let mut deadline = reachable_from + KNOWN_WITHIN;
        let Some(marshal) = self.marshals.get(&marshal) else { return deadline };
        let written = marshal.written.iter().filter(|written| written.1 >= change.revision);
        deadline = written.map(|written| written.0).chain([deadline]).min().unwrap_or(deadline);
        for reload in marshal.reloads.iter().filter(|reload| **reload >= change.at) {
            deadline = deadline.min(reachable_from.max(*reload) + KNOWN_AFTER_RELOAD);
        }
        for silent_watch in &marshal.silent_watches {
            let wrote_since = marshal.written.iter().any(|w| w.0 > silent_watch.since && w.0 <= change.at);
            let ended = self.outage_began_between(silent_watch.since, change.at);
            if silent_watch.since <= change.at && !wrote_since && !ended {
                let hold_over = silent_watch.called_at + silent_watch.hold + KNOWN_AFTER_HOLD;
                deadline = deadline.min((silent_watch.since + KNOWN_WITHIN).max(hold_over).max(change.at));
            }
        }
        deadline
    }

    /// The outages, what discovery wrote to one marshal and the signals sent to it, in seconds since the
    /// start of the run.
    pub fn history(&self, marshal: usize) -> String {
        let seconds = |at: &Instant| format!("{:.2}", at.duration_since(self.started).as_secs_f64());
        let outage_end = |end: &Option<Instant>| end.as_ref().map_or("on".to_owned(), seconds);
        let outages: Vec<String> = self
            .outages
            .iter()
            .map(|(from, to)| format!("{} to {}", seconds(from), outage_end(to)))
            .collect();
        let Some(marshal) = self.marshals.get(&marshal) else { return format!("outages {outages:?}") };
        let written: Vec<String> =
            marshal.written.iter().map(|w| format!("{} v{}", seconds(&w.0), w.1)).collect();
        let reloads: Vec<String> = marshal.reloads.iter().map(seconds).collect();
        let ends: Vec<String> = marshal.ends_and_stops().map(seconds).collect();
        let silent_watches: Vec<String> = marshal.silent_watches.iter().map(|s| seconds(&s.since)).collect();
        format!(
            "outages {outages:?}, written {written:?}, reloads {reloads:?}, ends {ends:?}, silent watches {silent_watches:?}, \
             second 0 is {:?} of the wall clock",
            std::time::SystemTime::now() - self.started.elapsed()
        )
    }

    /// How long a marshal has been bound at this time to send nothing new to this node; `None` if it may
    /// send.
    pub fn drain_known_for(&self, marshal: usize, node: usize, at: Instant) -> Option<Duration> {
        let before = || self.changes[node].iter().rev().skip_while(|change| change.at > at);
        if before().next()?.phase == Phase::Active {
            return None;
        }
        let first = before().take_while(|change| change.phase != Phase::Active).last()?;
        at.checked_duration_since(self.must_know_by(marshal, first))
    }
}
