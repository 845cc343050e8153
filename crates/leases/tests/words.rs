//! Hand-written message sequences to one marshal, one for each rule that keeps two leaders from leasing the
//! same share.

use std::time::Duration;

use ivydrift_leases::message::{Lease, Report};
use ivydrift_leases::{order::order, MemberIndex, Place, Tree, GRANT_TERM, TICK_INTERVAL};

type GroupTree = Tree<(), ()>;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The marshals of a group of four in order: the first is the leader.
fn group() -> Vec<MemberIndex> {
    order(0, &[0, 1, 2, 3])
}

fn tree(me: MemberIndex, now: u64) -> GroupTree {
    Tree::new(Place { me, life: 7, group: 0, marshals: group(), fan_out: 16, resources: 1 }, at(now)).unwrap()
}

fn everyone(_: MemberIndex) -> bool {
    true
}

fn report_message(stamp: u64, echo: u64, voices: u16) -> Report<()> {
    Report { life: 9, stamp, echo, of: 7, promise: 3500, voices, holds: 0, body: () }
}

fn lease_message(stamp: u64, echo: u64, version: u32, rate: f32) -> Lease<()> {
    Lease { life: 8, stamp, echo, of: 7, version, valid: 1000, rates: vec![rate], body: () }
}

#[test]
fn a_vote_counts_from_the_echoed_stamp_and_only_if_it_outlasts_its_use() {
    // A vote lasts 3.5 s from the time stamp that it echoes, and must last another 2.5 s to be used.
    for (ago, expected) in [(250, 0.5), (900, 0.5), (1100, 0.25), (3400, 0.25)] {
        let mut leader = tree(group()[0], 0);
        leader.tick(at(20_000), &everyone);
        leader.receive_report(at(20_000), group()[1], report_message(19_990, 20_000 - ago, 1));
        assert_eq!(leader.lend_by_votes(at(20_000)), expected, "echoes a time stamp {ago} ms old");
    }
    // The echoed time stamp is of an earlier life, missing, or in the future.
    for (echo, of) in [(19_900, 6), (0, 7), (20_100, 7)] {
        let mut leader = tree(group()[0], 0);
        leader.tick(at(20_000), &everyone);
        leader.receive_report(at(20_000), group()[1], Report { of, ..report_message(19_990, echo, 1) });
        assert_eq!(leader.lend_by_votes(at(20_000)), 0.25, "{echo} of life {of}");
    }
}

#[test]
fn a_parent_that_was_never_heard_gets_no_vote() {
    let mut child = tree(group()[1], 0);
    child.tick(at(20_000), &everyone);
    assert_eq!(child.report(at(20_000), ()).map(|(to, report)| (to, report.voices)), Some((group()[0], 0)));
    child.receive_lease(at(20_010), group()[0], lease_message(500, 20_000, 1, 0.0));
    child.tick(at(20_250), &everyone);
    assert_eq!(child.report(at(20_250), ()).map(|(_, report)| report.voices), Some(1));
}

#[test]
fn a_leader_gives_its_vote_away_only_after_its_grants_have_expired() {
    let mut marshal = tree(group()[1], 0);
    let without_first = |n: MemberIndex| n != group()[0];
    assert!(
        marshal.tick(at(20_000), &without_first).parent.is_none(),
        "without the first, the next in the order leads"
    );
    assert_eq!(marshal.lend_by_votes(at(20_000)), 0.25);
    let mut now = 20_000;
    while now < 24_000 {
        now += TICK_INTERVAL.as_millis() as u64;
        marshal.tick(at(now), &everyone);
        let votes_given = marshal.report(at(now), ()).unwrap().1.voices;
        assert!(votes_given == 0 || at(now) >= at(20_000) + GRANT_TERM, "{votes_given} votes at {now}");
        marshal.receive_lease(at(now), group()[0], lease_message(now, now, 1, 0.0));
    }
    assert_eq!(marshal.votes(at(now)), 1);
}

#[test]
fn a_new_life_leases_nothing_out_while_earlier_leases_may_be_in_use() {
    let mut leader = tree(group()[0], 0);
    for now in (0..4000).step_by(250) {
        leader.tick(at(now), &everyone);
        leader.receive_report(at(now), group()[1], report_message(now + 1, 0, 0));
        leader.set_lease(vec![10.0], at(now) + GRANT_TERM, ());
        let leased = leader.lease_out(at(now), 1.0, |()| 1.0)[0].1.rates[0];
        assert!(leased == 0.0 || now >= 2000, "{leased} at {now}");
        assert!(leased > 0.0 || now < 2000, "none at {now}");
    }
}

#[test]
fn a_lease_counts_from_its_request_and_expires_down_the_tree() {
    let mut inner = tree(group()[1], 0);
    inner.tick(at(20_000), &everyone);
    // Requested at 20.0 s, valid for 1 s, received at 20.9 s.
    inner.receive_lease(at(20_900), group()[0], lease_message(5, 20_000, 1, 8.0));
    inner.receive_report(at(20_900), group()[2], report_message(1, 0, 0));
    let shared = inner.lease_out(at(20_900), 1.0, |()| 1.0);
    assert_eq!((shared[0].1.rates[0], shared[0].1.valid), (4.0, 100));
    assert_eq!((inner.own(at(20_950)), inner.own(at(21_000))), (vec![4.0], vec![0.0]));
    assert_eq!(inner.lease_out(at(21_000), 1.0, |()| 1.0)[0].1.rates[0], 0.0, "the lease has expired");
    // An answer to another life, or to a report not sent yet, is ignored.
    inner.receive_lease(at(21_000), group()[0], Lease { of: 6, ..lease_message(6, 20_990, 2, 8.0) });
    inner.receive_lease(at(21_000), group()[0], lease_message(6, 21_500, 2, 8.0));
    assert_eq!(inner.lease_out(at(21_000), 1.0, |()| 1.0)[0].1.rates[0], 0.0);
}
