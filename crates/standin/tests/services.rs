//! Tests of the fakes for several services: what node list, rollout controller and nodes answer and record.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use ivydrift_audit::trace::{Event, Group, Limits, Method, Repeat, RolloutState, State};
use ivydrift_standin::services::{ListBehavior, MultiServiceFakes, NodeConfig};

fn law() -> Limits {
    let method = |name: &str| Method {
        name: name.into(),
        repeat: Repeat::NonIdempotent,
        group: Group::All,
        window_us: 0,
    };
    Limits {
        methods: vec![method("cart-book")],
        drain_grace_us: 1_000_000,
        cold_from: 0.4,
        warm_us: 5_000_000,
        fall_multiple: 3.0,
        fall_us: 1_000_000,
        window_us: 1_000_000,
        free: 2.0,
        first_cap: 0.1,
        by_method: false,
        guarded: 0,
        one_way: false,
        copies: false,
        slack_us: 150_000,
        late_us: 150_000,
    }
}

/// Sends a request and returns the answer: complete, or what arrived until the end or a pause of two seconds.
fn request(to: SocketAddr, first: &str, fields: &str) -> String {
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
    let text =
        format!("{first} HTTP/1.1\r\nHost: h\r\nUser-Agent: marshal-3\r\n{fields}Content-Length: 0\r\n\r\n");
    stream.write_all(text.as_bytes()).unwrap();
    let (mut all, mut part) = (Vec::new(), [0; 4096]);
    while let Ok(n) = stream.read(&mut part) {
        all.extend_from_slice(&part[..n]);
        let text = String::from_utf8_lossy(&all).into_owned();
        let length = text.lines().find_map(|l| l.strip_prefix("Content-Length: ")?.parse::<usize>().ok());
        let body = text.split_once("\r\n\r\n").map_or(0, |t| t.1.len());
        if n == 0 || length.is_some_and(|length| body >= length) {
            break;
        }
    }
    String::from_utf8(all).unwrap()
}

fn list(services: &MultiServiceFakes, service: &str, index: u64) -> String {
    request(services.node_list, &format!("GET /v1/health/service/{service}?index={index}&wait=1s"), "")
}

#[test]
fn each_service_has_its_own_list_that_is_long_polled() {
    let services = MultiServiceFakes::new(law(), "town").unwrap();
    let cart = services.start_node("cart", NodeConfig::default()).unwrap();
    services.start_node("relay", NodeConfig { build: 4, ..NodeConfig::default() }).unwrap();
    let (first, other) = (list(&services, "cart", 0), list(&services, "relay", 0));
    let port = services.addr(cart).port().to_string();
    assert!(first.contains(&port) && !other.contains(&port) && other.contains("\"build\":\"4\""));
    let began = Instant::now();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            std::thread::sleep(Duration::from_millis(300));
            services.drain_node(cart);
        });
        assert!(list(&services, "cart", 2).contains("draining"));
    });
    assert!((250..900).contains(&(began.elapsed().as_millis() as u64)), "{:?}", began.elapsed());
    let events: Vec<(String, Event)> = services.lines().into_iter().map(|l| (l.service, l.seen)).collect();
    for state in [State::Ready, State::Draining] {
        assert!(events.contains(&("cart".to_owned(), Event::Told { marshal: 3, node: cart, state })));
    }
}

#[test]
fn truncated_and_missing_lists_record_no_node_state() {
    let services = MultiServiceFakes::new(law(), "town").unwrap();
    services.start_node("cart", NodeConfig::default()).unwrap();
    for manner in [ListBehavior::Truncated, ListBehavior::Stalled, ListBehavior::Silent] {
        services.set_list_behavior("cart", manner);
        let text = list(&services, "cart", 0);
        let body = text.split_once("\r\n\r\n").map_or(0, |t| t.1.len());
        let length = text.lines().find_map(|l| l.strip_prefix("Content-Length: ")?.parse::<usize>().ok());
        assert!(
            length.map_or(manner == ListBehavior::Silent, |length| body > 0 && body < length),
            "{manner:?} {text}"
        );
    }
    assert!(!services.lines().iter().any(|l| matches!(l.seen, Event::Told { .. })));
    services.set_list_behavior("cart", ListBehavior::Normal);
    assert!(list(&services, "cart", 0).contains("passing"));
}

#[test]
fn controller_answers_per_service_and_defaults_to_the_home_service() {
    let services = MultiServiceFakes::new(law(), "town").unwrap();
    services.add("town");
    services.add("cart");
    services.set_rollout_state("cart", (2, 0, RolloutState::OnTrial, 0.25));
    let home = request(services.rollout_controller, "GET /v1/stage?index=0&wait=1s&marshal=3", "");
    let cart =
        request(services.rollout_controller, "GET /v1/stage?index=0&wait=1s&marshal=3&service=cart", "");
    assert!(home.contains("released") && cart.contains("on-trial") && cart.contains("0.25"), "{home} {cart}");
    let (service, marshal, course) = ("cart".to_owned(), 3, RolloutState::OnTrial);
    let news = Event::News { marshal, build: 2, stage: 0, course, cap: 0.25 };
    assert!(services.lines().iter().any(|l| (&l.service, &l.seen) == (&service, &news)));
}

#[test]
fn duplicate_effect_at_a_node_is_recorded_and_found() {
    let services = MultiServiceFakes::new(law(), "town").unwrap();
    let node = services.start_node("cart", NodeConfig::default()).unwrap();
    // Act as a marshal that sends a non-idempotent RPC twice, so that its effect happens twice.
    let fields = "Via: 1.1 ivydrift-3\r\nivydrift-trace: 1.7.0\r\n";
    for _ in 0..2 {
        assert!(request(services.addr(node), "POST /cart-book", fields).ends_with("build 1 node 0\n"));
    }
    let got = services.received_rpcs("cart");
    assert_eq!(
        got.iter().map(|g| (g.node, g.marshal, g.id, g.build)).collect::<Vec<_>>(),
        [(node, 3, 1, 1); 2]
    );
    let report = services.report().unwrap();
    assert!(report.breach_counts[1] > 0 && report.breach_counts[0] > 0, "{:?}", report.breach_counts);
}
