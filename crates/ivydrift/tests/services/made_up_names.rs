//! Clients that send made-up names.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use ivydrift_standin::services::{NodeConfig, Request};

use crate::service_fleet::*;

/// Names of each kind, sent to each marshal in each round.
const NAMES: usize = 6000;

/// Posts to many paths on one connection, each with its own tenant and key; returns the number of 404 answers.
fn flood(to: SocketAddr, path: impl Fn(usize) -> String) -> usize {
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut refused = 0;
    for n in 0..NAMES {
        let fields =
            format!("ivydrift-tenant: tenant-{n}\r\nivydrift-key: key-{n}\r\nidempotency-key: {n}\r\n");
        let path = path(n);
        let text = format!("POST /{path} HTTP/1.1\r\nHost: m\r\n{fields}Content-Length: 0\r\n\r\n");
        stream.write_all(text.as_bytes()).unwrap();
        let (mut head, mut byte) = (Vec::new(), [0]);
        while !head.ends_with(b"\r\n\r\n") {
            assert_eq!(stream.read(&mut byte).unwrap(), 1, "no answer to {path}");
            head.push(byte[0]);
        }
        let head = String::from_utf8(head).unwrap();
        let length =
            head.to_lowercase().lines().find_map(|l| l.strip_prefix("content-length: ")?.parse().ok());
        stream.read_exact(&mut vec![0; length.unwrap_or(0)]).unwrap();
        refused += usize::from(head.starts_with("HTTP/1.1 404 "));
    }
    refused
}

#[test]
fn made_up_names_grow_neither_memory_nor_logs() {
    let config = ServicesConfig { idle_ms: 60_000, ..ServicesConfig::new(&["cart", "relay"]) };
    let fleet = ServiceFleet::start(("invented", 6), 3, &config, &[]);
    fleet.services.start_node("cart", NodeConfig::default()).unwrap();
    fleet.services.start_node("relay", NodeConfig::default()).unwrap();
    fleet.wait_until_all_serve("relay");
    let queried_services =
        || fleet.services.list_requests().into_iter().map(|q| q.service).collect::<Vec<_>>();
    let kib = |m: usize| process_status(fleet.processes.children[m].as_ref().unwrap().id()).0;
    // Memory is measured from the end of a first round, so that one-off allocations do not count.
    let addrs = &fleet.processes.addrs;
    let flood_marshal = |to: SocketAddr, round: usize| {
        let mut refused = flood(to, |n| format!("invented-{round}-{n}"));
        // Paths that look as if they named a service.
        refused += flood(to, |n| format!("cart-{round}-{n}"));
        refused + flood(to, |n| format!("v1/health/service/cart{n}/{round}"))
    };
    let flood_all = |round: usize| {
        std::thread::scope(|scope| {
            let run = |m: usize| scope.spawn(move || flood_marshal(addrs[m], round));
            let threads: Vec<_> = (0..3).map(run).collect();
            threads.into_iter().for_each(|t| assert_eq!(t.join().unwrap(), 3 * NAMES));
        });
    };
    let (background, ()) = fleet.with_background_load("relay", 20, || {
        flood_all(0);
        let before: Vec<usize> = (0..3).map(kib).collect();
        let lines: Vec<usize> = (0..3).map(|m| fleet.processes.log(m).lines().count()).collect();
        flood_all(1);
        for marshal in 0..3 {
            let (kib_after, kib_before) = (kib(marshal), before[marshal]);
            assert!(
                kib_after < kib_before + 1024,
                "marshal {marshal}: memory grew from {kib_before} to {kib_after} KiB by {} names",
                3 * NAMES
            );
            let new_lines = fleet.processes.log(marshal).lines().count() - lines[marshal];
            assert!(new_lines < 20, "marshal {marshal}: {new_lines} new lines in the log");
        }
        // Made-up tenants and keys in RPCs that are served.
        for n in 0..300 {
            let tenant = format!("served-{n}");
            let ask = Request { tenant: Some(&tenant), key: n + 1, ..Request::new("relay", "relay-read") };
            assert!(fleet.call(n as usize % 3, &ask).ok());
        }
    });
    assert_all_ok(&background);
    assert!(
        queried_services().iter().all(|service| [HOME, "relay"].contains(&&service[..])),
        "a node list was queried for a made-up name"
    );
    assert!((0..3)
        .all(|m| fleet.times_begun(m, "relay") == 1 && fleet.processes.log(m).matches(BEGUN).count() == 1));
    fleet.assert_rules_kept();
}
