//! Clients that send made-up names.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use ivydrift_standin::services::{Ask, Plan};

use crate::town::*;

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
fn a_client_that_invents_names_makes_nothing_grow() {
    let plots = Plots { rest_ms: 60_000, ..Plots::new(&["cart", "relay"]) };
    let town = Town::start(("invented", 6), 3, &plots, &[]);
    town.services.start("cart", Plan::default()).unwrap();
    town.services.start("relay", Plan::default()).unwrap();
    town.all_serve("relay");
    let asked = || town.services.questions().into_iter().map(|q| q.service).collect::<Vec<_>>();
    let kib = |m: usize| status(town.fleet.children[m].as_ref().unwrap().id()).0;
    // Memory is measured from the end of a first round, so that one-off allocations do not count.
    let own = &town.fleet.own;
    let one = |to: SocketAddr, round: usize| {
        let mut refused = flood(to, |n| format!("invented-{round}-{n}"));
        // Paths that look as if they named a service.
        refused += flood(to, |n| format!("cart-{round}-{n}"));
        refused + flood(to, |n| format!("v1/health/service/cart{n}/{round}"))
    };
    let flood_all = |round: usize| {
        std::thread::scope(|scope| {
            let run = |m: usize| scope.spawn(move || one(own[m], round));
            let threads: Vec<_> = (0..3).map(run).collect();
            threads.into_iter().for_each(|t| assert_eq!(t.join().unwrap(), 3 * NAMES));
        });
    };
    let (beside, ()) = town.beside("relay", 20, || {
        flood_all(0);
        let before: Vec<usize> = (0..3).map(kib).collect();
        let lines: Vec<usize> = (0..3).map(|m| town.fleet.log(m).lines().count()).collect();
        flood_all(1);
        for marshal in 0..3 {
            let (now, was) = (kib(marshal), before[marshal]);
            assert!(
                now < was + 1024,
                "marshal {marshal}: memory grew from {was} to {now} KiB by {} names",
                3 * NAMES
            );
            let more = town.fleet.log(marshal).lines().count() - lines[marshal];
            assert!(more < 20, "marshal {marshal}: {more} new lines in the log");
        }
        // Made-up tenants and keys in RPCs that are served.
        for n in 0..300 {
            let tenant = format!("served-{n}");
            let ask = Ask { tenant: Some(&tenant), key: n + 1, ..Ask::new("relay", "relay-read") };
            assert!(town.call(n as usize % 3, &ask).ok());
        }
    });
    all_ok(&beside);
    assert!(
        asked().iter().all(|service| [HOME, "relay"].contains(&&service[..])),
        "a node list was queried for a made-up name"
    );
    assert!((0..3).all(|m| town.begun(m, "relay") == 1 && town.fleet.log(m).matches(BEGUN).count() == 1));
    town.kept();
}
