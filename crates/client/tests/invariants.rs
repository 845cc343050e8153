//! Property tests of the core with seeded random event sequences; the invariants are checked after each step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ivydrift_client::core::{Action, CallId, ClientConfig, ConnId, Core, End, Event, Kind, Reply};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}
/// One step of a sequence. Indices select among the connections or calls that the step can apply to.

#[derive(Clone, Copy, Debug)]
enum Step {
    Call(u8, u64),
    Connect(usize, bool),
    Answer(usize, u8, bool),
    Lose(usize, bool),
    Close(usize, bool),
    Cancel(usize),
    Advance(u64),
    Stray(u64),
    /// Removes a marshal and adds another.
    ReplaceMarshal(usize, bool),
    Spread(usize, u64),
    /// A caller that read the clock earlier gets to the core later.
    ClockBack(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        5 => (0u8..3, 10u64..2000).prop_map(|(kind, timeout)| Step::Call(kind, timeout)),
        5 => (0usize..20, prop::bool::weighted(0.8)).prop_map(|(i, up)| Step::Connect(i, up)),
        6 => (0usize..20, 0u8..8, any::<bool>()).prop_map(|(i, reply, keep)| Step::Answer(i, reply, keep)),
        2 => (0usize..20, any::<bool>()).prop_map(|(i, sent)| Step::Lose(i, sent)),
        1 => (0usize..20, any::<bool>()).prop_map(|(i, draining)| Step::Close(i, draining)),
        1 => (0usize..20).prop_map(Step::Cancel),
        5 => (1u64..400).prop_map(Step::Advance),
        1 => (0u64..30).prop_map(Step::Stray),
        1 => (0usize..6, any::<bool>()).prop_map(|(slot, near)| Step::ReplaceMarshal(slot, near)),
        1 => (1u64..3000).prop_map(Step::ClockBack),
        1 => (0usize..20, 0u64..500_000).prop_map(|(i, ms)| Step::Spread(i, ms)),
    ];
    proptest::collection::vec(step, 1..150)
}

/// The test's record of a call.
#[derive(Debug)]
struct CallRecord {
    kind: Kind,
    deadline: Duration,
    first_sent: Option<Duration>,
    sends: u32,
    may_have_run: bool,
    in_flight: Option<ConnId>,
    end: Option<End>,
}

/// The test's record of calls and connections, to check the actions of the core against.
#[derive(Default)]
struct Model {
    calls: BTreeMap<CallId, CallRecord>,
    connecting: Vec<ConnId>,
    idle: Vec<ConnId>,
    retries: f64,
    /// The slot of each connection's marshal.
    marshal_of: BTreeMap<ConnId, usize>,
    /// Slots whose marshal was removed.
    removed: BTreeSet<usize>,
}

impl Model {
    fn check(
        &mut self, now: Duration, actions: &[Action], config: &ClientConfig,
    ) -> Result<(), TestCaseError> {
        for action in actions {
            match *action {
                Action::Connect { conn, marshal } => {
                    prop_assert!(!self.removed.contains(&marshal), "connects to a removed marshal");
                    self.marshal_of.insert(conn, marshal);
                    self.connecting.push(conn);
                    prop_assert!(self.connecting.len() <= config.max_handshakes, "too many handshakes");
                }
                Action::Close { conn } => {
                    self.idle.retain(|c| *c != conn);
                    for call in self.calls.values_mut().filter(|c| c.in_flight == Some(conn)) {
                        call.in_flight = None;
                    }
                }
                Action::Send { call, conn, time_left, previous_attempts } => {
                    prop_assert!(
                        self.idle.contains(&conn),
                        "{} is sent on a connection that is not idle",
                        call
                    );
                    prop_assert!(
                        !self.removed.contains(&self.marshal_of[&conn]),
                        "{} is sent to a removed marshal",
                        call
                    );
                    self.idle.retain(|c| *c != conn);
                    let record = self.calls.get_mut(&call).unwrap();
                    prop_assert!(
                        record.end.is_none() && record.in_flight.is_none(),
                        "{} is sent after its end or twice",
                        call
                    );
                    prop_assert!(
                        now + time_left <= record.deadline && time_left > config.min_time_left,
                        "{} is sent with {:?} left",
                        call,
                        time_left
                    );
                    prop_assert_eq!(previous_attempts, record.sends, "an unmarked retry");
                    prop_assert!(
                        record.kind != Kind::NonIdempotent || !record.may_have_run,
                        "{} may have run",
                        call
                    );
                    if let Kind::Tokened { window } = record.kind {
                        let in_time = record.first_sent.is_none_or(|first| now < first + window);
                        prop_assert!(
                            !record.may_have_run || in_time,
                            "{} is sent after its token expired",
                            call
                        );
                    }
                    self.retries += f64::from(u32::from(previous_attempts > 0));
                    record.first_sent = record.first_sent.or(Some(now));
                    (record.sends, record.in_flight) = (record.sends + 1, Some(conn));
                }
                Action::Finish { call, end } => {
                    let record = self.calls.get_mut(&call).unwrap();
                    prop_assert!(record.end.is_none(), "{} ends twice", call);
                    prop_assert!(now <= record.deadline, "{} ends late", call);
                    let harmless = matches!(end, End::PushedBack { .. } | End::NotSent | End::QueueFull);
                    prop_assert!(
                        !harmless || !record.may_have_run,
                        "{} may have run and ends as {:?}",
                        call,
                        end
                    );
                    prop_assert!(record.in_flight.is_none(), "{} ends with its attempt in flight", call);
                    record.end = Some(end);
                }
            }
        }
        let calls = self.calls.len() as f64;
        prop_assert!(
            self.retries <= config.max_retry_budget + config.retries_per_call * calls + 1e-6,
            "more retries than the budget allows"
        );
        Ok(())
    }
    fn nth_in_flight(&self, i: usize) -> Option<(CallId, ConnId)> {
        let in_flight: Vec<_> = self.calls.iter().filter_map(|(id, c)| Some((*id, c.in_flight?))).collect();
        in_flight.get(i % in_flight.len().max(1)).copied()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::with_cases(1500)
    })]
    #[test]
    fn the_invariants_hold_after_every_step(steps in steps(), seed in any::<u64>(), warm in 0usize..3) {
        let config = ClientConfig { max_queued_calls: 8, max_retry_budget: 3.0, warm_connections: warm, ..ClientConfig::default() };
        let mut core = Core::new(config.clone(), &[true, true, false], seed);
        let (mut now, mut model) = (ms(1000), Model::default());
        for step in steps {
            let event = match step {
                Step::Call(kind, timeout) => {
                    let call = model.calls.len() as CallId;
                    let window = ms(700);
                    let kind = [Kind::Idempotent, Kind::Tokened { window }, Kind::NonIdempotent][usize::from(kind)];
                    let (deadline, first_sent) = (now + ms(timeout), None);
                    model.calls.insert(call, CallRecord { kind, deadline, first_sent, sends: 0, may_have_run: false, in_flight: None, end: None });
                    Event::Call { call, kind, timeout: ms(timeout) }
                }
                Step::Connect(i, up) => {
                    if model.connecting.is_empty() {
                        continue;
                    }
                    let conn = model.connecting.swap_remove(i % model.connecting.len());
                    if up {
                        if !model.removed.contains(&model.marshal_of[&conn]) {
                            model.idle.push(conn);
                        }
                        Event::Connected { conn }
                    } else {
                        Event::ConnectFailed { conn }
                    }
                }
                Step::Answer(i, reply, keep) => {
                    let Some((call, conn)) = model.nth_in_flight(i) else { continue };
                    let reply = match reply {
                        0..4 => Reply::Ok,
                        4..6 => Reply::PushedBack { retry_after: ms(100) },
                        6 => Reply::Aborted,
                        _ => Reply::Rejected,
                    };
                    let record = model.calls.get_mut(&call).unwrap();
                    record.in_flight = None;
                    record.may_have_run |= matches!(reply, Reply::Ok | Reply::Aborted);
                    if keep && !model.removed.contains(&model.marshal_of[&conn]) {
                        model.idle.push(conn);
                    }
                    Event::Answered { call, reply, keep }
                }
                Step::Lose(i, sent) => {
                    let Some((call, _)) = model.nth_in_flight(i) else { continue };
                    let record = model.calls.get_mut(&call).unwrap();
                    (record.in_flight, record.may_have_run) = (None, record.may_have_run | sent);
                    Event::Lost { call, sent }
                }
                Step::Close(i, draining) => {
                    if model.idle.is_empty() {
                        continue;
                    }
                    let conn = model.idle.swap_remove(i % model.idle.len());
                    Event::Closed { conn, draining }
                }
                Step::Cancel(i) => Event::Cancelled { call: (i % model.calls.len().max(1)) as CallId },
                Step::Advance(span) => {
                    let target = now + ms(span);
                    while now < target {
                        now = tick_time(now, core.due().unwrap_or(target)).min(target);
                        let actions = core.handle(now, Event::Tick);
                        mark_calls_ended_in_flight(&mut model, &actions);
                        model.check(now, &actions, &config)?;
                    }
                    Event::Tick
                }
                Step::ReplaceMarshal(slot, near) => {
                    if core.has_marshal(slot) {
                        // No connection to the removed marshal may stay idle.
                        model.removed.insert(slot);
                        let actions = core.remove_marshal(now, slot);
                        mark_calls_ended_in_flight(&mut model, &actions);
                        model.check(now, &actions, &config)?;
                        let stays_idle = model.idle.iter().any(|conn| model.marshal_of[conn] == slot);
                        prop_assert!(!stays_idle, "an idle connection to a removed marshal is kept");
                        let new = core.add_marshal(near);
                        let used = model.connecting.iter().chain(&model.idle).any(|c| model.marshal_of[c] == new);
                        prop_assert!(!used, "a slot with connections is reused");
                        model.removed.remove(&new);
                    }
                    Event::Tick
                }
                Step::Spread(i, span) => {
                    let Some((call, _)) = model.nth_in_flight(i) else { continue };
                    Event::Spread { call, span: ms(span) }
                }
                Step::ClockBack(span) => {
                    let actions = core.handle(now.saturating_sub(ms(span)), Event::Tick);
                    mark_calls_ended_in_flight(&mut model, &actions);
                    model.check(now, &actions, &config)?;
                    Event::Tick
                }
                // Reports for unknown calls, or for calls without an attempt in flight.
                Step::Stray(n) => {
                    if model.calls.get(&n).is_some_and(|c| c.in_flight.is_some()) {
                        continue;
                    }
                    Event::Answered { call: n, reply: Reply::Ok, keep: true }
                }
            };
            let actions = core.handle(now, event);
            mark_calls_ended_in_flight(&mut model, &actions);
            model.check(now, &actions, &config)?;
        }
        for _ in 0..2000 {
            let Some(due) = core.due() else { break };
            now = tick_time(now, due);
            let actions = core.handle(now, Event::Tick);
            mark_calls_ended_in_flight(&mut model, &actions);
            model.check(now, &actions, &config)?;
        }
        for (id, call) in &model.calls {
            prop_assert!(call.end.is_some(), "{} never ends: {:?}", id, call);
        }
    }
}

/// Returns the time of the next tick. If it is not in the future, returns a time shortly after `now`, so that
/// time advances.
fn tick_time(now: Duration, due: Duration) -> Duration {
    if due > now {
        due
    } else {
        now + Duration::from_micros(10)
    }
}

/// A call that ends with its attempt in flight (deadline, cancellation) may have run.
fn mark_calls_ended_in_flight(model: &mut Model, actions: &[Action]) {
    for action in actions {
        if let Action::Finish { call, .. } = action {
            let record = model.calls.get_mut(call).unwrap();
            record.may_have_run |= record.in_flight.is_some();
        }
    }
}

/// 20,000 clients lose the connections to their marshal at the same time. The handshakes must be spread evenly
/// over time, counted here per 100 ms.
#[test]
fn reconnects_after_a_restart_are_spread_evenly() {
    let config = ClientConfig { reconnect_backoff: [ms(4000), ms(20_000)], ..ClientConfig::default() };
    let mut slots = [0u32; 60];
    for client in 0..20_000u64 {
        let mut core = Core::new(config.clone(), &[true], client);
        let call = |call| Event::Call { call, kind: Kind::Idempotent, timeout: ms(8000) };
        let first = core.handle(ms(1000), call(1));
        let [Action::Connect { conn, .. }] = first[..] else { panic!("{first:?}") };
        core.handle(ms(1001), Event::Connected { conn });
        core.handle(ms(1002), Event::Answered { call: 1, reply: Reply::Ok, keep: true });
        core.handle(ms(2000), Event::Closed { conn, draining: false });
        // Each client makes a call at once.
        let mut now = ms(2000);
        let mut actions = core.handle(now, call(2));
        while !actions.iter().any(|a| matches!(a, Action::Connect { .. })) {
            now = core.due().expect("the core waits to connect").max(now + ms(1));
            actions = core.handle(now, Event::Tick);
        }
        slots[((now - ms(2000)).as_millis() / 100) as usize] += 1;
    }
    let used: Vec<u32> = slots.iter().copied().filter(|n| *n > 0).collect();
    let (peak, mean) = (*used.iter().max().unwrap() as f64, 20_000.0 / used.len() as f64);
    assert!(
        peak / mean <= 2.0 && used.len() >= 38,
        "peak {peak} over mean {mean:.0} in {} slots",
        used.len()
    );
}

/// Clients with a warm connection reconnect over the span that the marshal asked for. The marshal sets it in
/// proportion to its number of clients, so the handshake rate must not depend on that number.
#[test]
fn the_reconnect_rate_does_not_depend_on_the_number_of_clients() {
    for clients in [2_000u64, 20_000, 60_000] {
        let (config, spread) =
            (ClientConfig { warm_connections: 1, ..ClientConfig::default() }, ms(clients / 2));
        let mut slots = vec![0u32; 1000];
        for client in 0..clients {
            let mut core = Core::new(config.clone(), &[true, true], client);
            let call = Event::Call { call: 1, kind: Kind::Idempotent, timeout: ms(8000) };
            let first = core.handle(ms(1000), call);
            let [Action::Connect { conn, .. }] = first[..] else { panic!("{first:?}") };
            core.handle(ms(1001), Event::Connected { conn });
            core.handle(ms(1002), Event::Spread { call: 1, span: spread });
            core.handle(ms(1002), Event::Answered { call: 1, reply: Reply::Ok, keep: true });
            let mut now = ms(2000);
            let mut actions = core.handle(now, Event::Closed { conn, draining: false });
            while !actions.iter().any(|a| matches!(a, Action::Connect { .. })) {
                now = core.due().expect("the core waits to connect").max(now + Duration::from_micros(100));
                actions = core.handle(now, Event::Tick);
            }
            slots[((now - ms(2000)).as_millis() / 100) as usize] += 1;
        }
        // A span of 1 s per 2,000 clients was set, which is 200 handshakes per 100 ms on average.
        let peak = slots.iter().max().unwrap();
        assert!(*peak <= 400, "{clients} clients: {peak} handshakes in one tenth of a second");
    }
}

#[test]
fn attempts_drop_during_an_overload_and_recover_afterwards() {
    // A marshal pushes back everything for 10 s. The number of attempts must drop meanwhile and recover
    // afterwards.
    let mut core = Core::new(ClientConfig::default(), &[true], 5);
    let (mut now, mut sent, mut conn_of) = (ms(1000), [0u32; 20], BTreeMap::new());
    for call in 0..2000u64 {
        now += ms(10);
        let mut todo = core.handle(now, Event::Call { call, kind: Kind::Idempotent, timeout: ms(1000) });
        todo.extend(core.handle(now, Event::Tick));
        while let Some(action) = todo.pop() {
            match action {
                Action::Connect { conn, .. } => todo.extend(core.handle(now, Event::Connected { conn })),
                Action::Send { call, conn, .. } => {
                    conn_of.insert(call, conn);
                    let second = ((now - ms(1000)).as_secs() as usize).min(19);
                    sent[second] += 1;
                    let reply =
                        if second < 10 { Reply::PushedBack { retry_after: ms(200) } } else { Reply::Ok };
                    todo.extend(core.handle(now, Event::Answered { call, reply, keep: true }));
                }
                _ => {}
            }
        }
    }
    // A tenth of the calls passes the throttle as a probe, and the retry budget may double that.
    assert!(sent[9] <= 25, "{} attempts per second are sent for 100 calls: {sent:?}", sent[9]);
    assert!(sent[19] > 80, "the load does not recover: {sent:?}");
}

#[test]
fn many_concurrent_calls_are_not_taken_for_an_overload() {
    let config = ClientConfig { max_queued_calls: 200, ..ClientConfig::default() };
    let mut core = Core::new(config, &[true], 9);
    for call in 0..200 {
        let actions = core.handle(ms(1000), Event::Call { call, kind: Kind::Idempotent, timeout: ms(1000) });
        assert!(!actions.iter().any(|a| matches!(a, Action::Finish { .. })), "call {call}: {actions:?}");
    }
}
