//! Methods cost nothing until they are met: what is known beside them changes neither decisions nor what is held.

use std::time::Duration;

use crate::world::{ms, terms, World};
use ivydrift_policy::port::*;

/// Eight nodes and so many known methods, each worth the same.
fn known(methods: usize) -> World {
    let mut t = terms();
    let three = t.methods.clone();
    t.methods = (0..methods).map(|m| MethodTerms { utility: 1.0, ..three[m % 3].clone() }).collect();
    t.limits.peers = false;
    World::new(t, 8)
}

/// RPCs of the first so many methods.
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

/// A good build on trial, then an erring one beside it.
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
    assert_eq!((few.marshal.laid_out(), many.marshal.laid_out()), (0, 0), "laid out before the first RPC");
    trial(&mut few);
    trial(&mut many);
    assert!(few.voted(Verdict::On) && few.voted(Verdict::Back), "{:?}", few.votes);
    assert_eq!(few.votes, many.votes);
    assert!(few.sends == many.sends, "other picks where more methods are known");
    assert_eq!(
        few.marshal.laid_out(),
        many.marshal.laid_out(),
        "bytes with 100 methods known, and with 14,000"
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
    assert_eq!(w.marshal.laid_out(), 0, "what never ran, and what was not asked for, is no evidence");
    w.behave = Box::new(|_, _, _, _| (Outcome::Ok, ms(60)));
    w.offer(13_999);
    w.run(ms(5000), 0);
    let one = w.marshal.laid_out();
    assert!(one > 0 && one < 4000, "{one} bytes for one method at one node");
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
        assert!(rested.last() < Some(&busy), "{busy} bytes under load, {rested:?} at rest");
    }
    // Each build was met by each method at each node, so that the evidence is as much after each.
    assert_eq!(rested[2], rested[9], "an account is kept for each build that was ever met: {rested:?}");
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
            assert_eq!(
                w.marshal.laid_out(),
                before,
                "what 14,000 new methods lay out, or what is lost with them"
            );
        }
        trial(w);
    }
    assert_eq!(same.votes, renewed.votes);
    assert!(same.sends == renewed.sends, "other picks after new terms");
}
