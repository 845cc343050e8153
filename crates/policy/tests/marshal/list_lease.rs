//! The lease on the node list: no pick is sent from a list that discovery has not confirmed in time.

use ivydrift_policy::port::*;

use crate::simulation::{ms, terms, World};

/// Four nodes, with a list lease of 6 s (4 s after a reload) and a drain grace of 1 s.
fn world() -> World {
    let mut terms = terms();
    terms.ask_discovery = true;
    terms.rules.drain_grace = ms(1000);
    let (told_within, told_after_reload) = (ms(6000), ms(4000));
    terms.rules.list_lease = Some(ListLeaseTerms { told_within, told_after_reload });
    World::new(terms, 4)
}

/// Reports what a call showed of discovery.
fn sign(w: &mut World, sign: DiscoverySign) {
    w.step(vec![Event::Discovery(sign)]);
}

/// Discovery confirms the node list as of now.
fn confirm(w: &mut World) {
    let as_of = w.now;
    sign(w, DiscoverySign::Confirmed { as_of, next_within: ms(3800) });
}

/// Offers RPCs for 25 s and returns the milliseconds until the last pick; 0 without any pick.
fn sends_for(w: &mut World) -> u64 {
    let (start, before) = (w.now, w.sends.len());
    w.run(ms(25_000), 20);
    let last = w.sends[before..].iter().map(|send| send.0).max();
    last.map_or(0, |at| (at - start).as_millis() as u64)
}

#[test]
fn sends_end_before_a_change_that_did_not_arrive_counts_as_told() {
    let mut w = world();
    confirm(&mut w);
    let sent = sends_for(&mut w);
    assert!((6400..6950).contains(&sent), "lease of 6 s and drain grace of 1 s, last pick after {sent} ms");
    let refused = w.pushed_back.len();
    w.run(ms(1000), 20);
    assert!(w.pushed_back.len() >= refused + 15, "RPCs are refused at once after the lease");
    confirm(&mut w);
    assert!(sends_for(&mut w) > 6400, "a confirmation renews the lease");
}

#[test]
fn what_is_known_at_the_start_is_sent_by_only_once_it_is_confirmed() {
    let mut w = world();
    assert_eq!(sends_for(&mut w), 0, "a cached list of unknown age was used");
    assert!(w.pushed_back.len() > 400, "RPCs are refused without a lease");
    confirm(&mut w);
    assert!(sends_for(&mut w) > 6400);
}

#[test]
fn while_nobody_listens_at_discovery_a_start_serves_by_what_it_knows() {
    let mut w = world();
    sign(&mut w, DiscoverySign::Unreachable);
    let sent = sends_for(&mut w);
    assert!((6400..6950).contains(&sent), "last pick after {sent} ms");
}

#[test]
fn an_outage_that_discovery_announced_does_not_count_until_it_shows_to_be_over() {
    let mut w = world();
    confirm(&mut w);
    sign(&mut w, DiscoverySign::WentDown);
    assert!(sends_for(&mut w) > 24_000, "picks stopped during an announced outage");
    let asked = w.now;
    sign(&mut w, DiscoverySign::RefusedLate { asked });
    w.run(ms(2000), 20);
    sign(&mut w, DiscoverySign::Lives);
    let sent = sends_for(&mut w) + 2000;
    assert!(
        (6400..6950).contains(&sent),
        "discovery may have been up since the last failed call; last pick {sent} ms after that"
    );
    sign(&mut w, DiscoverySign::WentDown);
    assert_eq!(sends_for(&mut w), 0, "an outage renewed a lease that had expired");
}

#[test]
fn no_outage_is_trusted_for_ever() {
    let mut w = world();
    confirm(&mut w);
    sign(&mut w, DiscoverySign::WentDown);
    w.run(ms(20_000), 20);
    let sent = sends_for(&mut w) + 20_000;
    assert!((29_500..30_050).contains(&sent), "last pick after {sent} ms");
}

#[test]
fn after_new_terms_changes_count_as_told_sooner() {
    let mut w = world();
    confirm(&mut w);
    sign(&mut w, DiscoverySign::Reloaded);
    let sent = sends_for(&mut w);
    assert!((4400..4950).contains(&sent), "lease of 4 s and drain grace of 1 s, last pick after {sent} ms");
}

#[test]
fn without_a_bound_a_list_is_sent_by_for_ever() {
    let mut w = World::new(terms(), 4);
    assert!(sends_for(&mut w) > 24_000);
}
