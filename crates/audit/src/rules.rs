//! Checks the rules in a single pass over the trace.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::exposure::Exposure;
use crate::trace::{AnswerKind, Event, Group, Limits, Line, Method, ProcessEvent, Repeat, State};

/// The rules, by the index used in [`Breach`] and [`Report`].
pub const RULES: [&str; 5] = [
    "1 no RPC is lost",
    "2 no effect happens twice",
    "3 drains are kept",
    "4 no cold node is pushed over",
    "5 exposure stays within the cap",
];

/// One breach of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Index into [`RULES`].
    pub rule: usize,
    /// Time in microseconds since the run began.
    pub t: u64,
    /// The trace line at which the breach was detected, from 1.
    pub line: u64,
    /// A description for people.
    pub description: String,
}

/// The result of a check. Arrays are indexed by rule.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// How many events each rule was checked against.
    pub checked: [u64; 5],
    /// How many breaches of each rule were found.
    pub breach_counts: [u64; 5],
    /// The first breaches, at most 50.
    pub breaches: Vec<Breach>,
    /// Client attempts, and how they ended.
    pub asked: u64,
    pub ok: u64,
    pub pushed_back: u64,
    pub aborted: u64,
    pub left: u64,
    /// Attempts lost because their marshal was killed or suspended; no breach.
    pub excused: u64,
    /// The largest share of the limit that was reached; 1 is the limit. Only rules 3 to 5 set it.
    pub max_usage: [f64; 5],
}

impl Report {
    /// Whether no rule was broken.
    pub fn is_clean(&self) -> bool {
        self.breach_counts == [0; 5]
    }
}

/// Breaches listed in the report; further ones are only counted.
const MAX_LISTED_BREACHES: usize = 50;
/// How long an attempt is remembered after its end, so that later events for it are still detected.
const RETENTION_US: u64 = 30_000_000;

/// One attempt of an RPC at one node.
struct Pick {
    t: u64,
    node: u32,
    zone: u32,
    cell: u32,
    /// The node has neither answered nor seen the close.
    in_flight: bool,
    /// The node rejected the RPC before running it.
    rejected: bool,
}

/// One attempt of a client at a marshal.
struct Attempt {
    t: u64,
    marshal: u32,
    service: usize,
    method: usize,
    key: u64,
    /// The client's deadline.
    deadline: u64,
    picks: Vec<Pick>,
    /// When it ended for its client, and with which answer, if any.
    end: Option<(u64, Option<AnswerKind>)>,
    answers: u32,
}

/// The state of a marshal as observed from outside.
#[derive(Default)]
struct Marshal {
    /// By service.
    exposure: HashMap<usize, Exposure>,
    /// What the node list told the marshal, by service and node. An entry stays in force until the list changes it,
    /// whether or not the marshal still has the service.
    node_states: HashMap<(usize, u32), (u64, State)>,
    /// Spans in which the process was dead or suspended; the last may still be open.
    absences: VecDeque<(u64, u64)>,
    /// When it was told to stop.
    stopping_since: Option<u64>,
}

/// A node that started during the run.
#[derive(Default)]
struct Node {
    /// When it started, and its capacity when warm.
    started: Option<(u64, f64)>,
    /// Picks in the window of rule 4: time, and cost in microseconds.
    work: VecDeque<(u64, u64)>,
}

/// Checks a trace line by line.
#[derive(Default)]
pub struct Auditor {
    law: Option<Limits>,
    report: Report,
    /// Lines read so far.
    line: u64,
    /// Time of the latest line.
    now: u64,
    /// Service names, and the indexes that replace them here.
    services: HashMap<String, usize>,
    attempts: HashMap<u64, Attempt>,
    /// Ended attempts by the time of their end.
    ended: VecDeque<(u64, u64)>,
    /// Open attempts by the time at which they must have an answer.
    answers_due: BTreeSet<(u64, u64)>,
    /// Attempts with two picks in flight, by the time at which the earlier one must have ended.
    overlapping_picks: VecDeque<(u64, u64)>,
    /// By call: when its effect first happened, and how often it did.
    effects: HashMap<u64, (u64, u32)>,
    effect_order: VecDeque<(u64, u64)>,
    marshals: HashMap<u32, Marshal>,
    nodes: HashMap<u32, Node>,
    /// When each node last stopped; its picks ended with it.
    stopped_at: HashMap<u32, u64>,
}

impl Auditor {
    /// Creates a checker that expects the first line of a trace.
    pub fn new() -> Self {
        Auditor::default()
    }

    fn record_breach(&mut self, rule: usize, what: String) {
        self.report.breach_counts[rule] += 1;
        if self.report.breaches.len() < MAX_LISTED_BREACHES {
            self.report.breaches.push(Breach { rule, t: self.now, line: self.line, description: what });
        }
    }

    fn record_usage(&mut self, rule: usize, part: f64) {
        self.report.max_usage[rule] = self.report.max_usage[rule].max(part);
    }

    /// Checks the next line.
    ///
    /// # Errors
    /// When the line is out of place: no `law` event came first, it is a second one, or time goes backwards.
    pub fn take(&mut self, line: &Line) -> Result<(), String> {
        self.line += 1;
        if line.t < self.now {
            return Err(format!("line {}: time goes backwards", self.line));
        }
        self.now = line.t;
        if let Event::Law(law) = &line.seen {
            if self.law.replace(law.clone()).is_some() {
                return Err(format!("line {}: a second `law` event", self.line));
            }
            return Ok(());
        }
        let Some(law) = self.law.clone() else {
            return Err(format!("line {}: the first line must be the `law` event", self.line));
        };
        self.advance_time(&law);
        let next = self.services.len();
        let service = *self.services.entry(line.service.clone()).or_insert(next);
        self.handle_event(&law, service, &line.seen)
    }

    fn method<'a>(law: &'a Limits, name: &str) -> Result<(usize, &'a Method), String> {
        let found = law.methods.iter().enumerate().find(|(_, m)| m.name == name);
        found.ok_or_else(|| format!("method {name:?} is not listed in the `law` event"))
    }

    fn handle_event(&mut self, law: &Limits, service: usize, seen: &Event) -> Result<(), String> {
        let now = self.now;
        match seen {
            Event::Law(_) => {}
            Event::Asked { marshal, id, method, key, left_us, .. } => {
                let method = Self::method(law, method)?.0;
                self.report.asked += 1;
                self.report.checked[0] += 1;
                let deadline = now + left_us;
                let attempt = Attempt {
                    t: now,
                    marshal: *marshal,
                    service,
                    method,
                    key: *key,
                    deadline,
                    picks: vec![],
                    end: None,
                    answers: 0,
                };
                self.attempts.insert(*id, attempt);
                self.answers_due.insert((deadline + law.late_us + law.slack_us, *id));
                let slot = if law.by_method { method } else { 0 };
                self.exposure(*marshal, service).record_rpc(now, slot);
            }
            Event::Answered { id, kind, build, .. } => self.handle_answer(law, *id, *kind, *build),
            Event::Broken { id } | Event::TimeUp { id } => {
                let Some(attempt) = self.attempts.get(id) else { return Ok(()) };
                if attempt.end.is_none() && !self.is_excused(*id) {
                    self.record_breach(
                        0,
                        format!("try {id} has no answer: its connection ended without one"),
                    );
                } else if attempt.end.is_none() {
                    self.report.excused += 1;
                }
                self.end_attempt(law, *id, None);
            }
            Event::Refused { id } => self.end_attempt(law, *id, None),
            Event::Left { id } => {
                if self.attempts.get(id).is_some_and(|attempt| attempt.end.is_none()) {
                    self.report.left += 1;
                }
                self.end_attempt(law, *id, None);
            }
            Event::Extra { id } => {
                self.record_breach(0, format!("bytes follow the final answer of try {id}"))
            }
            Event::Got { .. } => self.check_pick(law, service, seen)?,
            Event::Turned { node, id } => {
                if let Some(attempt) = self.attempts.get_mut(id) {
                    let pick = attempt.picks.iter_mut().rev().find(|p| p.node == *node);
                    pick.into_iter().for_each(|p| (p.rejected, p.in_flight) = (true, false));
                }
            }
            Event::Ran { call, method, .. } => {
                let (_, method) = Self::method(law, method)?;
                if method.repeat != Repeat::Idempotent {
                    self.report.checked[1] += 1;
                    let times = &mut self.effects.entry(*call).or_insert((now, 0)).1;
                    *times += 1;
                    let times = *times;
                    self.effect_order.push_back((now, *call));
                    if times > 1 {
                        self.record_breach(
                            1,
                            format!("the effect of call {call} ({}) happened {times} times", method.name),
                        );
                    }
                }
            }
            Event::Done { node, id, .. } => {
                if let Some(attempt) = self.attempts.get_mut(id) {
                    let pick = attempt.picks.iter_mut().find(|p| p.node == *node && p.in_flight);
                    pick.into_iter().for_each(|p| p.in_flight = false);
                }
            }
            Event::Told { marshal, node, state } => {
                let node_states = &mut self.marshals.entry(*marshal).or_default().node_states;
                // A node that drains and is then gone leaves once: the grace period runs from the first notice.
                let leaving = node_states.get(&(service, *node));
                let leaving = leaving.filter(|t| t.1 != State::Ready && *state != State::Ready);
                let since = leaving.map_or(now, |t| t.0);
                node_states.insert((service, *node), (since, *state));
            }
            Event::News { marshal, build, stage, course, cap } => {
                self.exposure(*marshal, service).record_rollout(now, law, (*build, *stage, *course, *cap));
            }
            Event::Marshal { marshal, turn } => {
                let state = self.marshals.entry(*marshal).or_default();
                match turn {
                    ProcessEvent::Killed | ProcessEvent::Stopped => state.absences.push_back((now, u64::MAX)),
                    ProcessEvent::Continued => {
                        if let Some(last) = state.absences.back_mut() {
                            last.1 = now;
                        }
                    }
                    ProcessEvent::Started => {
                        if let Some(last) = state.absences.back_mut() {
                            last.1 = now;
                        }
                        // The new process has no state: what the previous one was told no longer applies.
                        let absences = std::mem::take(&mut state.absences);
                        *state = Marshal { absences, ..Marshal::default() };
                    }
                    ProcessEvent::Told => state.stopping_since = Some(now),
                }
            }
            Event::Up { node, capacity, .. } => {
                self.nodes.insert(*node, Node { started: Some((now, *capacity)), work: VecDeque::new() });
            }
            Event::Down { node } => {
                self.nodes.remove(node);
                self.stopped_at.insert(*node, now);
            }
            Event::Fell { node } => self.record_breach(3, format!("node {node} was pushed over")),
        }
        Ok(())
    }

    fn handle_answer(&mut self, law: &Limits, id: u64, kind: AnswerKind, build: u32) {
        let now = self.now;
        let Some(attempt) = self.attempts.get_mut(&id) else {
            self.record_breach(0, format!("an answer to try {id}, which was never asked"));
            return;
        };
        attempt.answers += 1;
        let (marshal, service, key) = (attempt.marshal, attempt.service, attempt.key);
        let (answers, late, end) = (attempt.answers, now.saturating_sub(attempt.deadline), attempt.end);
        let ran = attempt.picks.iter().filter(|p| !p.rejected).map(|p| p.node).next();
        let rpc_method = &law.methods[attempt.method];
        match kind {
            AnswerKind::Ok => self.report.ok += 1,
            AnswerKind::PushedBack => self.report.pushed_back += 1,
            AnswerKind::Aborted => self.report.aborted += 1,
        }
        if law.one_way && kind == AnswerKind::Ok && key != 0 {
            self.exposure(marshal, service).record_answer(now, key, build);
        }
        if answers > 1 {
            self.record_breach(0, format!("try {id} has {answers} answers"));
        } else if end.is_some() {
            self.record_breach(0, format!("try {id} has an answer after its end"));
        } else if late > law.late_us && !self.is_excused(id) {
            self.record_breach(0, format!("the answer to try {id} came {} ms late", late / 1000));
        }
        let repeat_safe = rpc_method.repeat == Repeat::Idempotent
            || (rpc_method.repeat == Repeat::Tokened && rpc_method.group == Group::All);
        if let (AnswerKind::PushedBack, false, Some(node)) = (kind, repeat_safe, ran) {
            self.record_breach(
                1,
                format!("try {id} ({}) was pushed back, but node {node} had it", rpc_method.name),
            );
        }
        self.end_attempt(law, id, Some(kind));
    }

    fn end_attempt(&mut self, law: &Limits, id: u64, kind: Option<AnswerKind>) {
        if let Some(attempt) = self.attempts.get_mut(&id).filter(|attempt| attempt.end.is_none()) {
            attempt.end = Some((self.now, kind));
            self.answers_due.remove(&(attempt.deadline + law.late_us + law.slack_us, id));
            self.ended.push_back((self.now, id));
        }
    }

    /// Whether the marshal was dead, suspended or told to stop while the attempt was open.
    fn is_excused(&self, id: u64) -> bool {
        let Some(attempt) = self.attempts.get(&id) else { return false };
        let Some(marshal) = self.marshals.get(&attempt.marshal) else { return false };
        let was_absent = marshal.absences.iter().any(|&(from, to)| from <= self.now && attempt.t <= to);
        // A stopping marshal may close a connection before it has accepted the RPC; that loses nothing.
        was_absent
            || (marshal.stopping_since.is_some_and(|t| attempt.t + 100_000 >= t) && attempt.picks.is_empty())
    }

    fn exposure(&mut self, marshal: u32, service: usize) -> &mut Exposure {
        self.marshals.entry(marshal).or_default().exposure.entry(service).or_default()
    }

    fn check_pick(&mut self, law: &Limits, service: usize, seen: &Event) -> Result<(), String> {
        let Event::Got { node, build, marshal, id, method, key, zone, cell, work_us } = seen else {
            return Ok(());
        };
        let now = self.now;
        let (method_index, method) = Self::method(law, method)?;
        let Some(attempt) = self.attempts.get(id) else {
            self.record_breach(
                0,
                format!("node {node} got try {id}, which was never asked or ended long ago"),
            );
            return Ok(());
        };
        let wrong_service = attempt.service != service;
        if let Some((end, kind)) = attempt.end {
            let killed = kind.is_none();
            if now > end + law.slack_us && !killed {
                self.record_breach(
                    0,
                    format!("node {node} got try {id} {} ms after its end", (now - end) / 1000),
                );
            }
        }
        if wrong_service {
            self.record_breach(
                0,
                format!("node {node} got try {id}, which was asked of another service than its own"),
            );
        }
        self.check_repeats(law, method, *id, (*node, *zone, *cell));
        self.check_drain(law, *marshal, service, *node, *id);
        self.check_cold_node(law, *node, *work_us);
        let slot = if law.by_method { method_index } else { 0 };
        let found = self.exposure(*marshal, service).check_pick(now, law, (*build, slot), method, *key);
        if let Some(part) = found.cap_used {
            self.report.checked[4] += 1;
            self.record_usage(4, part);
        }
        found
            .breaches
            .into_iter()
            .for_each(|what| self.record_breach(4, format!("marshal {marshal}: {what}")));
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.picks.push(Pick {
                t: now,
                node: *node,
                zone: *zone,
                cell: *cell,
                in_flight: true,
                rejected: false,
            });
        }
        Ok(())
    }

    fn check_repeats(&mut self, law: &Limits, method: &Method, id: u64, (node, zone, cell): (u32, u32, u32)) {
        self.report.checked[1] += 1;
        let Some(attempt) = self.attempts.get(&id) else { return };
        let now = self.now;
        let ran: Vec<&Pick> = attempt.picks.iter().filter(|p| !p.rejected).collect();
        let Some(first) = ran.first() else { return };
        let mut found = Vec::new();
        match method.repeat {
            Repeat::Idempotent => {}
            Repeat::NonIdempotent => {
                found.push(format!(
                    "node {node} got try {id} ({}), which node {} had before",
                    method.name, first.node
                ));
            }
            Repeat::Tokened => {
                let same_group = |p: &&Pick| match method.group {
                    Group::All => true,
                    Group::Zone => p.zone == zone,
                    Group::Cell => p.cell == cell,
                };
                if !ran.iter().all(same_group) {
                    found.push(format!("node {node} got try {id} outside the group that drops its repeats"));
                }
                if now > first.t + method.window_us {
                    found.push(format!("node {node} got try {id} after its token is forgotten"));
                }
            }
        }
        // A node may see the close of an abandoned pick slightly after another node sees the next one.
        let concurrent = ran.iter().any(|p| p.in_flight);
        if !law.copies && concurrent {
            self.overlapping_picks.push_back((now + law.slack_us, id));
        }
        found.into_iter().for_each(|what| self.record_breach(1, what));
    }

    fn check_drain(&mut self, law: &Limits, marshal: u32, service: usize, node: u32, id: u64) {
        self.report.checked[2] += 1;
        let notice = self.marshals.get(&marshal).and_then(|m| m.node_states.get(&(service, node))).copied();
        if let Some((since, state)) = notice.filter(|t| t.1 != State::Ready) {
            let span = self.now - since;
            self.record_usage(2, span as f64 / law.drain_grace_us.max(1) as f64);
            if span > law.drain_grace_us + law.slack_us {
                let ms = span / 1000;
                self.record_breach(
                    2,
                    format!("node {node} got try {id} {ms} ms after marshal {marshal} was told {state:?}"),
                );
            }
        }
    }

    fn check_cold_node(&mut self, law: &Limits, node: u32, work_us: u64) {
        let now = self.now;
        let Some(target) = self.nodes.get_mut(&node) else { return };
        let Some((since, capacity)) = target.started else { return };
        if now - since > law.warm_us + law.fall_us {
            target.work.clear();
            return;
        }
        target.work.push_back((now, work_us));
        while target.work.front().is_some_and(|w| w.0 + law.fall_us <= now) {
            target.work.pop_front();
        }
        let work: u64 = target.work.iter().map(|w| w.1).sum();
        let heaviest = target.work.iter().map(|w| w.1).max().unwrap_or(0);
        // Capacity grows linearly during slow start: take its mean over the window.
        let capacity_at = |t: u64| {
            let warmed = (t.saturating_sub(since)) as f64 / law.warm_us.max(1) as f64;
            capacity * (law.cold_from + (1.0 - law.cold_from) * warmed.min(1.0))
        };
        let mean = (capacity_at(now.saturating_sub(law.fall_us)) + capacity_at(now)) / 2.0;
        let budget = law.fall_multiple * mean * law.fall_us as f64;
        self.report.checked[3] += 1;
        self.record_usage(3, work as f64 / budget.max(1.0));
        if work as f64 > budget + heaviest as f64 {
            self.record_breach(
                3,
                format!("cold node {node} was sent {work} us of work where {budget:.0} are allowed"),
            );
        }
    }

    /// Checks what becomes due as time passes (missing answers, concurrent picks), and drops expired state.
    fn advance_time(&mut self, law: &Limits) {
        let now = self.now;
        while let Some((t, id)) = self.answers_due.first().copied().filter(|o| o.0 < now) {
            self.answers_due.remove(&(t, id));
            if self.attempts.get(&id).is_none_or(|attempt| attempt.end.is_some()) {
                continue;
            }
            if self.is_excused(id) {
                self.report.excused += 1;
            } else {
                self.record_breach(0, format!("try {id} has no answer though its client's time is up"));
            }
            self.end_attempt(law, id, None);
        }
        while let Some((_, id)) = self.overlapping_picks.front().copied().filter(|c| c.0 < now) {
            self.overlapping_picks.pop_front();
            let is_live = |p: &&Pick| p.in_flight && self.stopped_at.get(&p.node).is_none_or(|&t| t < p.t);
            let in_flight =
                self.attempts.get(&id).map_or(0, |attempt| attempt.picks.iter().filter(is_live).count());
            if in_flight > 1 {
                self.record_breach(1, format!("try {id} has {in_flight} picks in flight at once"));
            }
        }
        while let Some((_, id)) = self.ended.front().copied().filter(|e| e.0 + RETENTION_US < now) {
            self.ended.pop_front();
            self.attempts.remove(&id);
        }
        while let Some((_, call)) =
            self.effect_order.front().copied().filter(|e| e.0 + 4 * RETENTION_US < now)
        {
            self.effect_order.pop_front();
            self.effects.remove(&call);
        }
        if self.line.is_multiple_of(4096) {
            for marshal in self.marshals.values_mut() {
                marshal.exposure.values_mut().for_each(|accounts| accounts.drop_expired(now, law));
                while marshal.absences.front().is_some_and(|a| a.1.saturating_add(RETENTION_US) < now) {
                    marshal.absences.pop_front();
                }
            }
        }
    }

    /// Ends the check: every attempt whose deadline has passed must have an answer.
    pub fn finish(mut self) -> Report {
        if let Some(law) = self.law.clone() {
            let last = self.now;
            for (id, attempt) in std::mem::take(&mut self.attempts) {
                let open = attempt.end.is_none() && attempt.deadline + law.late_us < last;
                self.attempts.insert(id, attempt);
                if open && !self.is_excused(id) {
                    self.record_breach(0, format!("try {id} has no answer at the end of the day"));
                }
            }
        }
        self.report
    }
}
