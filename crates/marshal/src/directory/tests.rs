use super::*;

#[test]
fn indices_are_reused_so_a_constantly_changing_fleet_stays_bounded() {
    let config = ivydrift_terms::parse("example.hcl", ivydrift_terms::EXAMPLE).unwrap();
    let mut directory = Directory::new(&config);
    for round in 0..500u16 {
        let node = |i| ListedNode {
            host: "127.0.0.1".into(),
            port: 10_000 + 4 * round + i,
            state: State::Ready,
            build: 1,
            zone: String::new(),
            cell: 0,
            kind: String::new(),
            power: 1.0,
            started_ms: None,
        };
        let list: Vec<ListedNode> = (0..4).map(node).collect();
        let now = Duration::from_secs(30 * u64::from(round));
        let [Event::Nodes { nodes, .. }] = &directory.apply_list(now, &WallClock::new(0), &list)[..] else {
            panic!("not a list")
        };
        // Four nodes leave and four come, each under an index that no other listed node has.
        assert_eq!(nodes.len(), if round == 0 { 4 } else { 8 });
        let ready = directory.entries.values().filter(|e| e.readiness == Readiness::Ready).count();
        assert_eq!(ready, 4);
        for listed_node in &list {
            let addr: SocketAddr = format!("{}:{}", listed_node.host, listed_node.port).parse().unwrap();
            assert_eq!(directory.index_of(addr).and_then(|ix| directory.addr(ix)), Some(addr));
        }
    }
    assert!(directory.addrs.len() <= 4 * 7, "{} indices", directory.addrs.len());
    assert_eq!(directory.index.len(), directory.addrs.len());
}

#[test]
fn an_index_is_not_reused_while_a_pick_may_be_in_flight_even_if_its_node_only_left_the_subset() {
    let text = ivydrift_terms::EXAMPLE.replacen("deadline = \"3s\"", "deadline = \"300s\"", 1);
    let text = text.replace("of = 1", "of = 50") + "\nsubset {\n  least = 8\n}\n";
    let mut directory = Directory::new(&ivydrift_terms::parse("example.hcl", &text).unwrap());
    let list = |ports: std::ops::Range<u16>| -> Vec<ListedNode> {
        let node = |port| ListedNode {
            host: "127.0.0.1".into(),
            port,
            state: State::Ready,
            build: 1,
            zone: String::new(),
            cell: 0,
            kind: String::new(),
            power: 1.0,
            started_ms: None,
        };
        ports.map(node).collect()
    };
    let secs = Duration::from_secs;
    directory.apply_list(secs(1000), &WallClock::new(0), &list(9000..9008));
    let first = directory.known_addrs();
    directory.apply_list(secs(1000), &WallClock::new(0), &list(9000..9200));
    let left =
        *first.iter().find(|addr| !directory.known_addrs().contains(addr)).expect("one has left the subset");
    let index = directory.index_of(left).unwrap();
    for (at, ports) in [(1130, 9300..9308), (1290, 9400..9408)] {
        directory.apply_list(secs(at), &WallClock::new(0), &list(ports));
        assert_eq!(
            (directory.index_of(left), directory.addr(index)),
            (Some(index), Some(left)),
            "after {at} s"
        );
    }
    directory.apply_list(secs(1301), &WallClock::new(0), &list(9500..9508));
    assert_ne!(directory.addr(index), Some(left), "never given to another");
}

/// The wall clock steps back by an hour: a node listed before keeps its age, a node that starts now is young.
#[test]
fn a_wall_clock_step_changes_no_node_s_age() {
    const HOUR_MS: u64 = 3_600_000;
    let config = ivydrift_terms::parse("example.hcl", ivydrift_terms::EXAMPLE).unwrap();
    let mut directory = Directory::new(&config);
    let (now, zero) = (Duration::from_secs(90_000), 1_700_000_000_000);
    let node = |port: u16, started_ms: u64| ListedNode {
        host: "127.0.0.1".to_owned(),
        port,
        state: State::Ready,
        build: 1,
        zone: String::new(),
        cell: 0,
        kind: String::new(),
        power: 1.0,
        started_ms: Some(started_ms),
    };
    let mut clock = WallClock::new(zero);
    let old = node(9000, zero + 80_000_000);
    directory.apply_list(now, &clock, std::slice::from_ref(&old));
    clock.record(zero - HOUR_MS);
    let young = node(9001, zero - HOUR_MS + 89_998_000);
    directory.apply_list(now, &clock, &[old, young]);
    let started = |port: u16| {
        let node = directory.index_of(SocketAddr::from(([127, 0, 0, 1], port)));
        node.and_then(|node| directory.entries[&node].started)
    };
    assert_eq!(
        (started(9000), started(9001)),
        (Some(Duration::from_secs(80_000)), Some(Duration::from_secs(89_998)))
    );
}
