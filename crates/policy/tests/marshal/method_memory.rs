//! Memory by method: configured methods that get no RPC take no memory and change no decision.

use std::time::Duration;

use crate::simulation::{ms, terms, World};
use ivydrift_policy::port::*;

/// Eight nodes and `methods` configured methods of equal utility.
fn known(methods: usize) -> World {
    let mut t = terms();
    let three = t.methods.clone();
    t.methods = (0..methods).map(|m| MethodTerms { utility: 1.0, ..three[m % 3].clone() }).collect();
    t.limits.peers = false;
    World::new(t, 8)
}

/// Advances time by `span` with two RPCs a tick, spread over the first `methods` methods.
fn run(w: &mut World, span: Duration, methods: u64) {
    let end = w.now + span;
    while w.now < end {
        for _ in 0..2 {
            let method = w.roll() % methods;
            w.offer(method as usize);
        }
        w.pass();
    }
}

/// Tries build 2, which answers well for 6 s and then fails a third of its RPCs.
fn trial(w: &mut World) {
    run(w, ms(4000), 100);
    w.tell(2, 0, Course::OnTrial, 0.35, VoteReply::Unasked);
    let now = w.now;
    (8..11).for_each(|n| w.list(n, 2, Readiness::Ready, Some(now)));
    run(w, ms(6000), 100);
    w.behave = Box::new(|e, _, _, die| match e.build == 2 && die % 3 == 0 {
        true => (Outcome::Error, ms(20)),
        false => (Outcome::Ok, ms(60)),
    });
    run(w, ms(5000), 100);
}

#[test]
fn methods_that_were_not_met_change_no_decision_and_take_no_room() {
    let (mut few, mut many) = (known(100), known(14_000));
    assert_eq!(
        (few.marshal.laid_out(), many.marshal.laid_out()),
        (0, 0),
        "memory was allocated before the first RPC"
    );
    trial(&mut few);
    trial(&mut many);
    assert!(few.voted(Verdict::On) && few.voted(Verdict::Back), "{:?}", few.votes);
    assert_eq!(few.votes, many.votes);
    assert!(few.sends == many.sends, "picks differ with the number of configured methods");
    assert_eq!(
        few.marshal.laid_out(),
        many.marshal.laid_out(),
        "bytes with 100 and with 14,000 configured methods"
    );
}

#[test]
fn evidence_is_laid_out_by_the_first_outcome_that_says_something() {
    let mut w = known(14_000);
    w.behave = Box::new(|_, _, _, die| match die % 2 {
        0 => (Outcome::Full, ms(5)),
        _ => (Outcome::NoConnection, ms(1)),
    });
    run(&mut w, ms(2000), 10_000);
    for method in 0..14_000 {
        w.step(vec![Event::Disputed { node: method % 8, method, age: ms(0) }]);
    }
    w.run(ms(5000), 0);
    assert_eq!(
        w.marshal.laid_out(),
        0,
        "picks that never ran, and disputed answers of methods without RPCs, are no evidence"
    );
    w.behave = Box::new(|_, _, _, _| (Outcome::Ok, ms(60)));
    w.offer(13_999);
    w.run(ms(5000), 0);
    let one = w.marshal.laid_out();
    assert!(one > 0 && one < 4000, "one method at one node takes {one} bytes");
}

#[test]
fn accounts_of_sends_go_when_their_windows_have_passed() {
    let mut w = known(10);
    let mut rested = Vec::new();
    for build in 2..12 {
        (0..8).for_each(|n| w.list(n, build, Readiness::Ready, None));
        w.tell(build, 2, Course::Released, 1.0, VoteReply::Unasked);
        run(&mut w, ms(8000), 10);
        let busy = w.marshal.laid_out();
        w.run(ms(4000), 0);
        rested.push(w.marshal.laid_out());
        assert!(
            rested.last() < Some(&busy),
            "{busy} bytes under load, {rested:?} after the windows have passed"
        );
    }
    // Each build got each method at each node, so the evidence takes the same memory after each rollout.
    assert_eq!(rested[2], rested[9], "memory grows with each build released: {rested:?}");
}

#[test]
fn new_terms_with_thousands_of_methods_keep_the_evidence_of_those_that_stay() {
    let (mut same, mut renewed) = (known(100), known(100));
    for (w, renews) in [(&mut same, false), (&mut renewed, true)] {
        run(w, ms(4000), 100);
        let before = w.marshal.laid_out();
        if renews {
            w.terms = known(14_100).terms;
            w.marshal.renew(&w.terms);
            assert_eq!(w.marshal.laid_out(), before, "adding 14,000 methods changed the memory in use");
        }
        trial(w);
    }
    assert_eq!(same.votes, renewed.votes);
    assert!(same.sends == renewed.sends, "picks differ after the change of configuration");
}
