//! A service whose node list does not arrive, or only in part, at its first RPC.

use std::time::Duration;

use ivydrift_audit::trace::Kind;
use ivydrift_standin::services::{Ask, Manner, Plan, Reply};

use crate::town::*;

const ILL: [(&str, Manner); 3] = [("mute", Manner::Silent), ("torn", Manner::Torn), ("stuck", Manner::Stuck)];

#[test]
fn a_list_that_is_silent_or_torn_at_the_first_rpc_costs_its_own_service_and_heals() {
    let plots = Plots { rest_ms: 60_000, ..Plots::new(&["mute", "torn", "stuck", "relay"]) };
    let town = Town::start(("first", 2), 3, &plots, &[]);
    for (service, manner) in ILL {
        for _ in 0..2 {
            town.services.start(service, Plan::default()).unwrap();
        }
        town.services.manner(service, manner);
    }
    town.services.start("relay", Plan::default()).unwrap();
    town.all_serve("relay");
    let (beside, ()) = town.beside("relay", 20, || {
        for _ in 0..2 {
            for (service, _) in ILL {
                let method = format!("{service}-read");
                let ask = Ask::new(service, &method).within(800);
                for reply in at_once(9, |n| town.call(n % 3, &ask)) {
                    let Reply::Answered { kind: Kind::PushedBack, retry_after, took, picks: 0, .. } = reply
                    else {
                        panic!("{service}: {reply:?}");
                    };
                    assert!(took < Duration::from_millis(950), "{service}: pushed back only after {took:?}");
                    assert!(retry_after.is_some_and(|t| !t.is_zero()), "{service}: no retry-after");
                }
            }
        }
        // A node list that does not answer must not be queried for each RPC.
        for marshal in 0..3 {
            let of = |q: &&ivydrift_standin::services::Question| q.marshal == marshal && q.service == "mute";
            let asked = town.services.questions().iter().filter(of).count();
            assert!((1..=6).contains(&asked), "marshal {marshal} queried a silent node list {asked} times");
        }
        assert!(
            ILL.iter().all(|(service, _)| town.services.got(service).is_empty()),
            "an RPC was sent on the basis of an incomplete node list"
        );
        ILL.iter().for_each(|(service, _)| town.services.manner(service, Manner::Fine));
        at_once(9, |n| {
            let service = ILL[n / 3].0;
            town.until_ok(n % 3, service, 20_000);
            town.read(n % 3, service)
        })
        .iter()
        .for_each(|reply| assert!(reply.ok(), "{reply:?}"));
    });
    all_ok(&beside);
    town.kept();
}
