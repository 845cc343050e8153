//! Rules that apply for each service separately, on traces built by hand: each trace passes, and fails after
//! one change.

use ivydrift_audit::trace::{Course, Group, Kind, Law, Line, Method, Repeat, Seen, State, Turn};
use ivydrift_audit::{Auditor, Report};

const SECOND: u64 = 1_000_000;

fn law() -> Law {
    let method =
        |name: &str, repeat| Method { name: name.into(), repeat, group: Group::All, window_us: SECOND };
    Law {
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
        trace.say("", Seen::Law(law()));
        trace
    }

    fn say(&mut self, service: &str, seen: Seen) {
        self.lines.push(Line { t: self.t, service: service.into(), seen });
    }

    fn wait(&mut self, us: u64) {
        self.t += us;
    }

    fn news(&mut self, service: &str, build: u32, course: Course, cap: f64) {
        self.say(service, Seen::News { marshal: 0, build, stage: 0, course, cap });
    }

    fn told(&mut self, service: &str, node: u32, state: State) {
        self.say(service, Seen::Told { marshal: 0, node, state });
    }

    /// An RPC sent to service `asked` and received by a node of service `got`.
    fn rpc(&mut self, (asked, got): (&str, &str), (node, build): (u32, u32), work_us: u64) {
        self.ids += 1;
        let (id, marshal, key) = (self.ids, 0, 0);
        let method = format!("{asked}-read");
        self.say(asked, Seen::Asked { marshal, id, call: id, method: method.clone(), key, left_us: SECOND });
        self.wait(1000);
        let (zone, cell) = (0, 0);
        self.say(got, Seen::Got { node, build, marshal, id, method, key, zone, cell, work_us });
        self.wait(1000);
        self.say("", Seen::Done { node, id, ok: true });
        self.say("", Seen::Answered { id, kind: Kind::Ok, build, picks: 1 });
    }

    /// Reports on the trace as it is, and with the service names left out, as in traces with only one service.
    fn audit(&self) -> (Report, Report) {
        let run = |plain: bool| {
            let mut auditor = Auditor::new();
            for line in &self.lines {
                let service = if plain { String::new() } else { line.service.clone() };
                auditor.take(&Line { service, ..line.clone() }).unwrap();
            }
            auditor.finish()
        };
        (run(false), run(true))
    }

    fn broken(&self) -> [u64; 5] {
        self.audit().0.broken
    }
}

const CART: (&str, &str) = ("cart", "cart");
const RELAY: (&str, &str) = ("relay", "relay");

#[test]
fn what_is_free_is_free_for_each_service() {
    let mut trace = Trace::new();
    for service in [CART, RELAY] {
        trace.news(service.0, 2, Course::OnTrial, 0.0001);
        (0..2).for_each(|_| trace.rpc(service, (1, 2), 10));
    }
    let (by_service, as_one) = trace.audit();
    assert!(by_service.kept(), "{:?}", by_service.breaches);
    assert_eq!(as_one.broken, [0, 0, 0, 0, 2], "without the field the lines are of one service");
    trace.rpc(CART, (1, 2), 10);
    assert_eq!(trace.broken(), [0, 0, 0, 0, 1]);
}

#[test]
fn rpcs_of_one_service_earn_no_exposure_for_another() {
    let mut trace = Trace::new();
    trace.news("cart", 2, Course::OnTrial, 0.1);
    trace.news("relay", 2, Course::OnTrial, 0.1);
    (0..30).for_each(|_| trace.rpc(RELAY, (7, 1), 10));
    (0..3).for_each(|_| trace.rpc(CART, (1, 2), 10));
    assert_eq!(trace.broken(), [0, 0, 0, 0, 1]);
    assert!(trace.audit().1.kept());
}

#[test]
fn what_a_marshal_was_told_binds_it_when_it_has_dropped_the_service_meanwhile() {
    let mut trace = Trace::new();
    trace.news("cart", 2, Course::Withdrawn, 1.0);
    trace.wait(600 * SECOND);
    let mut started = Trace { lines: trace.lines.clone(), ..trace };
    started.rpc(CART, (1, 2), 10);
    assert_eq!(started.broken(), [0, 0, 0, 0, 1]);
    let place = started.lines.iter().position(|l| matches!(l.seen, Seen::Asked { .. })).unwrap();
    let seen = Seen::Marshal { marshal: 0, turn: Turn::Started };
    started.lines.insert(place, Line::new(600 * SECOND, seen));
    assert_eq!(started.broken(), [0; 5], "a new process was told nothing");
}

#[test]
fn an_rpc_that_meets_a_node_of_another_service_is_lost() {
    let mut trace = Trace::new();
    trace.rpc(CART, (1, 1), 10);
    assert_eq!(trace.broken(), [0; 5]);
    trace.rpc(("cart", "relay"), (2, 1), 10);
    assert_eq!(trace.broken(), [1, 0, 0, 0, 0]);
    assert!(trace.audit().1.kept());
}

#[test]
fn a_node_drains_for_the_service_whose_list_says_so() {
    let mut trace = Trace::new();
    trace.told("cart", 1, State::Draining);
    trace.wait(2 * SECOND);
    trace.rpc(RELAY, (1, 1), 10);
    assert_eq!(trace.broken(), [0; 5]);
    trace.rpc(CART, (1, 1), 10);
    assert_eq!(trace.broken(), [0, 0, 1, 0, 0]);
    trace.told("cart", 1, State::Ready);
    trace.rpc(CART, (1, 1), 10);
    assert_eq!(trace.broken(), [0, 0, 1, 0, 0]);
}

#[test]
fn a_cold_node_bears_the_work_of_all_services_together() {
    let one = |services: &[(&str, &str)]| {
        let mut trace = Trace::new();
        trace.wait(SECOND);
        trace.say("", Seen::Up { node: 1, build: 1, capacity: 1.0 });
        // One service sends less than the limit in a second (1.2 s of work and the heaviest RPC once more), two
        // send more.
        services.iter().for_each(|of| (0..8).for_each(|_| trace.rpc(*of, (1, 1), 100_000)));
        trace.broken()
    };
    assert_eq!(one(&[CART]), [0; 5]);
    assert!(one(&[CART, RELAY])[3] > 0);
}

#[test]
fn a_line_without_a_service_is_written_and_read_as_before() {
    let line = Line::new(7, Seen::Told { marshal: 1, node: 2, state: State::Gone });
    assert_eq!(line.write(), r#"{"t":7,"e":"told","marshal":1,"node":2,"state":"gone"}"#);
    assert_eq!(Line::read(&line.write()), Ok(line.clone()));
    let named = Line { service: "cart".into(), ..line };
    assert!(named.write().contains(r#""service":"cart""#));
    assert_eq!(Line::read(&named.write()), Ok(named));
}
