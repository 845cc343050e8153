use super::*;

#[test]
fn indices_are_used_again_so_that_a_fleet_that_changes_for_ever_stays_bounded() {
    let terms = ivydrift_terms::read("example.hcl", ivydrift_terms::EXAMPLE).unwrap();
    let mut directory = Directory::new(&terms);
    for round in 0..500u16 {
        let node = |i| Listed {
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
        let list: Vec<Listed> = (0..4).map(node).collect();
        let now = Duration::from_secs(30 * u64::from(round));
        let Event::Nodes { nodes, .. } = directory.take(now, 0, &list) else { panic!("not a list") };
        // Four leave and four come, each under an index that no other listed node has.
        assert_eq!(nodes.len(), if round == 0 { 4 } else { 8 });
        let ready = directory.entries.values().filter(|e| e.readiness == Readiness::Ready).count();
        assert_eq!(ready, 4);
        for one in &list {
            let addr: SocketAddr = format!("{}:{}", one.host, one.port).parse().unwrap();
            assert_eq!(directory.find(addr).and_then(|ix| directory.addr(ix)), Some(addr));
        }
    }
    assert!(directory.addrs.len() <= 4 * 7, "{} indices", directory.addrs.len());
    assert_eq!(directory.index.len(), directory.addrs.len());
}
