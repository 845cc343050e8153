//! A zone that returns to service: RPCs of all its services arrive at once.

use std::time::{Duration, Instant};

use ivydrift_audit::trace::Kind;
use ivydrift_standin::services::{Ask, Manner, Plan, Reply};

use crate::town::*;

const SERVICES: usize = 40;
const RPCS: usize = 4;

/// Marshals 0 and 2 are in zone a. The zone's nodes are cold, and each query of a node list takes 100 ms.
#[test]
fn a_zone_s_services_all_begun_in_one_second() {
    let names: Vec<String> = (0..SERVICES).map(|n| format!("s{n}")).collect();
    let all: Vec<&str> = names.iter().map(String::as_str).chain(["relay"]).collect();
    let plots = Plots { rest_ms: 60_000, ..Plots::new(&all) };
    let town = Town::start(("zone", 7), 4, &plots, &[]);
    town.services.start("relay", Plan::default()).unwrap();
    town.all_serve("relay");
    let work = Duration::from_millis(40);
    let (beside, replies) = town.beside("relay", 20, || {
        for name in &names {
            let cold = Plan { zone: 0, work, capacity: 1.0, cold: true, ..Plan::default() };
            town.services.start(name, cold).unwrap();
            town.services.start(name, Plan { zone: 1, work, ..Plan::default() }).unwrap();
            town.services.manner(name, Manner::Slow(Duration::from_millis(100)));
        }
        let began = Instant::now();
        let replies = at_once(SERVICES * RPCS * 2, |n| {
            // All RPCs are sent within a second, with services and marshals interleaved.
            let at = Duration::from_millis((n * 7919 % 900) as u64);
            std::thread::sleep(at.saturating_sub(began.elapsed()));
            let (service, marshal) = (&names[n % SERVICES], [0, 2][n / SERVICES % 2]);
            let method = format!("{service}-read");
            town.call(marshal, &Ask::new(service, &method).within(3000))
        });
        // The load goes on for the next seconds.
        for _ in 0..10 {
            std::thread::sleep(Duration::from_millis(200));
            at_once(SERVICES, |n| town.read([0, 2][n % 2], &names[n]));
        }
        replies
    });
    all_ok(&beside);
    let told = |r: &&Reply| matches!(r, Reply::Answered { kind: Kind::PushedBack, retry_after: Some(_), .. });
    let (fine, pushed) = (replies.iter().filter(|r| r.ok()).count(), replies.iter().filter(told).count());
    println!("{fine} ok and {pushed} pushed back of {}", replies.len());
    assert_eq!(fine + pushed, replies.len(), "{:?}", replies.iter().find(|r| !r.ok() && !told(r)));
    assert!(fine * 10 >= replies.len() * 9, "{fine} ok of {}", replies.len());
    for marshal in [0, 2] {
        assert!(names.iter().all(|name| town.begun(marshal, name) == 1));
        let mine = |q: &&ivydrift_standin::services::Question| q.marshal == marshal as u32 && q.index == 0;
        let questions = town.services.questions();
        let whole = questions.iter().filter(mine).filter(|q| names.contains(&q.service)).count();
        assert!(whole <= SERVICES + 4, "marshal {marshal} queried {whole} complete node lists");
    }
    assert!([1, 3].iter().all(|m| names.iter().all(|name| town.begun(*m, name) == 0)));
    let cold =
        names.iter().flat_map(|name| town.services.got(name)).filter(|g| g.node.is_multiple_of(2)).count();
    println!("{cold} RPCs at cold nodes");
    assert!(cold > 0, "the zone's own nodes must be used");
    town.kept();
}
