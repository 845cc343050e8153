//! Rules that apply for each service separately, on traces built by hand: each trace passes, and fails after
//! one change.

use ivydrift_audit::trace::{
    AnswerKind, Event, Group, Limits, Line, Method, ProcessEvent, Repeat, RolloutState, State,
};
use ivydrift_audit::{Auditor, Report};

const SECOND: u64 = 1_000_000;

fn law() -> Limits {
    let method =
        |name: &str, repeat| Method { name: name.into(), repeat, group: Group::All, window_us: SECOND };
    Limits {
        methods: vec![method("cart-read", Repeat::Idempotent), method("relay-read", Repeat::Idempotent)],
        drain_grace_us: SECOND,
        cold_from: 0.4,
        warm_us: 5 * SECOND,
        fall_multiple: 3.0,
        fall_us: SECOND,
        window_us: 3 * SECOND,
        free: 2.0,
        first_cap: 0.1,
        by_method: false,
        guarded: 0,
        one_way: false,
        copies: false,
        slack_us: SECOND / 10,
        late_us: SECOND / 10,
    }
}

#[derive(Default)]
struct Trace {
    t: u64,
    ids: u64,
    lines: Vec<Line>,
}

impl Trace {
    fn new() -> Self {
        let mut trace = Trace { t: 0, ids: 0, lines: vec![] };
        trace.record("", Event::Law(law()));
        trace
    }

    fn record(&mut self, service: &str, seen: Event) {
        self.lines.push(Line { t: self.t, service: service.into(), seen });
    }

    fn advance(&mut self, us: u64) {
        self.t += us;
    }

    fn news(&mut self, service: &str, build: u32, course: RolloutState, cap: f64) {
        self.record(service, Event::News { marshal: 0, build, stage: 0, course, cap });
    }

    fn list_says(&mut self, service: &str, node: u32, state: State) {
        self.record(service, Event::Told { marshal: 0, node, state });
    }

    /// An RPC sent to service `asked` and received by a node of service `got`.
    fn rpc(&mut self, (asked, got): (&str, &str), (node, build): (u32, u32), work_us: u64) {
        self.ids += 1;
        let (id, marshal, key) = (self.ids, 0, 0);
        let method = format!("{asked}-read");
        self.record(
            asked,
            Event::Asked { marshal, id, call: id, method: method.clone(), key, left_us: SECOND },
        );
        self.advance(1000);
        let (zone, cell) = (0, 0);
        self.record(got, Event::Got { node, build, marshal, id, method, key, zone, cell, work_us });
        self.advance(1000);
        self.record("", Event::Done { node, id, ok: true });
        self.record("", Event::Answered { id, kind: AnswerKind::Ok, build, picks: 1 });
    }

    /// Reports on the trace as it is, and with the service names left out, as in traces with only one service.
    fn audit(&self) -> (Report, Report) {
        let run = |without_services: bool| {
            let mut auditor = Auditor::new();
            for line in &self.lines {
                let service = if without_services { String::new() } else { line.service.clone() };
                auditor.take(&Line { service, ..line.clone() }).unwrap();
            }
            auditor.finish()
        };
        (run(false), run(true))
    }

    fn broken(&self) -> [u64; 5] {
        self.audit().0.breach_counts
    }
}

const CART: (&str, &str) = ("cart", "cart");
const RELAY: (&str, &str) = ("relay", "relay");

#[test]
fn each_service_has_its_own_free_exposure() {
    let mut trace = Trace::new();
    for service in [CART, RELAY] {
        trace.news(service.0, 2, RolloutState::OnTrial, 0.0001);
        (0..2).for_each(|_| trace.rpc(service, (1, 2), 10));
    }
    let (by_service, without_service) = trace.audit();
    assert!(by_service.is_clean(), "{:?}", by_service.breaches);
    assert_eq!(
        without_service.breach_counts,
        [0, 0, 0, 0, 2],
        "without service names all lines belong to one service"
    );
    trace.rpc(CART, (1, 2), 10);
    assert_eq!(trace.broken(), [0, 0, 0, 0, 1]);
}

#[test]
fn rpcs_of_one_service_allow_no_exposure_of_another() {
    let mut trace = Trace::new();
    trace.news("cart", 2, RolloutState::OnTrial, 0.1);
    trace.news("relay", 2, RolloutState::OnTrial, 0.1);
    (0..30).for_each(|_| trace.rpc(RELAY, (7, 1), 10));
    (0..3).for_each(|_| trace.rpc(CART, (1, 2), 10));
    assert_eq!(trace.broken(), [0, 0, 0, 0, 1]);
    assert!(trace.audit().1.is_clean());
}

#[test]
fn rollout_state_stays_in_force_after_the_service_is_dropped() {
    let mut trace = Trace::new();
    trace.news("cart", 2, RolloutState::Withdrawn, 1.0);
    trace.advance(600 * SECOND);
    let mut started = Trace { lines: trace.lines.clone(), ..trace };
    started.rpc(CART, (1, 2), 10);
    assert_eq!(started.broken(), [0, 0, 0, 0, 1]);
    let place = started.lines.iter().position(|l| matches!(l.seen, Event::Asked { .. })).unwrap();
    let seen = Event::Marshal { marshal: 0, turn: ProcessEvent::Started };
    started.lines.insert(place, Line::new(600 * SECOND, seen));
    assert_eq!(started.broken(), [0; 5], "a new process has no rollout state");
}

#[test]
fn rpc_at_a_node_of_another_service_is_lost() {
    let mut trace = Trace::new();
    trace.rpc(CART, (1, 1), 10);
    assert_eq!(trace.broken(), [0; 5]);
    trace.rpc(("cart", "relay"), (2, 1), 10);
    assert_eq!(trace.broken(), [1, 0, 0, 0, 0]);
    assert!(trace.audit().1.is_clean());
}

#[test]
fn draining_applies_to_the_service_of_the_list() {
    let mut trace = Trace::new();
    trace.list_says("cart", 1, State::Draining);
    trace.advance(2 * SECOND);
    trace.rpc(RELAY, (1, 1), 10);
    assert_eq!(trace.broken(), [0; 5]);
    trace.rpc(CART, (1, 1), 10);
    assert_eq!(trace.broken(), [0, 0, 1, 0, 0]);
    trace.list_says("cart", 1, State::Ready);
    trace.rpc(CART, (1, 1), 10);
    assert_eq!(trace.broken(), [0, 0, 1, 0, 0]);
}

#[test]
fn cold_node_limit_covers_all_services() {
    let broken_by = |services: &[(&str, &str)]| {
        let mut trace = Trace::new();
        trace.advance(SECOND);
        trace.record("", Event::Up { node: 1, build: 1, capacity: 1.0 });
        // One service sends less than the limit in a second (1.2 s of work and the heaviest RPC once more), two
        // send more.
        services.iter().for_each(|service| (0..8).for_each(|_| trace.rpc(*service, (1, 1), 100_000)));
        trace.broken()
    };
    assert_eq!(broken_by(&[CART]), [0; 5]);
    assert!(broken_by(&[CART, RELAY])[3] > 0);
}

#[test]
fn line_without_service_keeps_the_old_format() {
    let line = Line::new(7, Event::Told { marshal: 1, node: 2, state: State::Gone });
    assert_eq!(line.write(), r#"{"t":7,"e":"told","marshal":1,"node":2,"state":"gone"}"#);
    assert_eq!(Line::read(&line.write()), Ok(line.clone()));
    let named = Line { service: "cart".into(), ..line };
    assert!(named.write().contains(r#""service":"cart""#));
    assert_eq!(Line::read(&named.write()), Ok(named));
}
