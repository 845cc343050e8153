//! Hand-written message sequences to one marshal, one for each rule that keeps two leaders from leasing the
//! same share.

use std::time::Duration;

use ivydrift_leases::words::{Down, Up};
use ivydrift_leases::{order::order, Number, Place, Tree, BEAT, GRANT};

type Node = Tree<(), ()>;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The marshals of a group of four in order: the first is the leader.
fn group() -> Vec<Number> {
    order(0, &[0, 1, 2, 3])
}

fn node(me: Number, now: u64) -> Node {
    Tree::new(Place { me, life: 7, group: 0, marshals: group(), fan: 16, lots: 1 }, at(now)).unwrap()
}

fn everybody(_: Number) -> bool {
    true
}

fn up(stamp: u64, echo: u64, voices: u16) -> Up<()> {
    Up { life: 9, stamp, echo, of: 7, promise: 3500, voices, holds: 0, body: () }
}

fn down(stamp: u64, echo: u64, version: u32, rate: f32) -> Down<()> {
    Down { life: 8, stamp, echo, of: 7, version, valid: 1000, rates: vec![rate], body: () }
}

#[test]
fn a_voice_counts_for_what_it_outlasts_only_and_from_when_its_giver_was_spoken_to() {
    // A vote lasts 3.5 s from the time stamp that it echoes, and must last another 2.5 s to be used.
    for (ago, wanted) in [(250, 0.5), (900, 0.5), (1100, 0.25), (3400, 0.25)] {
        let mut steward = node(group()[0], 0);
        steward.beat(at(20_000), &everybody);
        steward.hear_up(at(20_000), group()[1], up(19_990, 20_000 - ago, 1));
        assert_eq!(steward.lend_by_voices(at(20_000)), wanted, "echoes a time stamp {ago} ms old");
    }
    // The echoed time stamp is of an earlier life, missing, or in the future.
    for (echo, of) in [(19_900, 6), (0, 7), (20_100, 7)] {
        let mut steward = node(group()[0], 0);
        steward.beat(at(20_000), &everybody);
        steward.hear_up(at(20_000), group()[1], Up { of, ..up(19_990, echo, 1) });
        assert_eq!(steward.lend_by_voices(at(20_000)), 0.25, "{echo} of life {of}");
    }
}

#[test]
fn who_was_never_heard_is_given_no_voice() {
    let mut child = node(group()[1], 0);
    child.beat(at(20_000), &everybody);
    assert_eq!(child.up(at(20_000), ()).map(|(to, up)| (to, up.voices)), Some((group()[0], 0)));
    child.hear_down(at(20_010), group()[0], down(500, 20_000, 1, 0.0));
    child.beat(at(20_250), &everybody);
    assert_eq!(child.up(at(20_250), ()).map(|(_, up)| up.voices), Some(1));
}

#[test]
fn who_lent_by_its_own_voice_gives_it_to_another_only_when_that_has_lapsed() {
    let mut one = node(group()[1], 0);
    let alone = |n: Number| n != group()[0];
    assert!(one.beat(at(20_000), &alone).to.is_none(), "without the first, the next in the order leads");
    assert_eq!(one.lend_by_voices(at(20_000)), 0.25);
    let mut now = 20_000;
    while now < 24_000 {
        now += BEAT.as_millis() as u64;
        one.beat(at(now), &everybody);
        let given = one.up(at(now), ()).unwrap().1.voices;
        assert!(given == 0 || at(now) >= at(20_000) + GRANT, "{given} votes at {now}");
        one.hear_down(at(now), group()[0], down(now, now, 1, 0.0));
    }
    assert_eq!(one.voices(at(now)), 1);
}

#[test]
fn a_new_life_lends_nothing_on_while_leases_of_the_earlier_may_be_in_use() {
    let mut steward = node(group()[0], 0);
    for now in (0..4000).step_by(250) {
        steward.beat(at(now), &everybody);
        steward.hear_up(at(now), group()[1], up(now + 1, 0, 0));
        steward.hold(vec![10.0], at(now) + GRANT, ());
        let lent = steward.share(at(now), 1.0, |()| 1.0)[0].1.rates[0];
        assert!(lent == 0.0 || now >= 2000, "{lent} at {now}");
        assert!(lent > 0.0 || now < 2000, "none at {now}");
    }
}

#[test]
fn a_lease_holds_from_when_it_was_asked_for_and_lapses_down_the_tree() {
    let mut middle = node(group()[1], 0);
    middle.beat(at(20_000), &everybody);
    // Requested at 20.0 s, valid for 1 s, received at 20.9 s.
    middle.hear_down(at(20_900), group()[0], down(5, 20_000, 1, 8.0));
    middle.hear_up(at(20_900), group()[2], up(1, 0, 0));
    let shared = middle.share(at(20_900), 1.0, |()| 1.0);
    assert_eq!((shared[0].1.rates[0], shared[0].1.valid), (4.0, 100));
    assert_eq!((middle.own(at(20_950)), middle.own(at(21_000))), (vec![4.0], vec![0.0]));
    assert_eq!(middle.share(at(21_000), 1.0, |()| 1.0)[0].1.rates[0], 0.0, "the lease has expired");
    // An answer to another life, or to a report not sent yet, is ignored.
    middle.hear_down(at(21_000), group()[0], Down { of: 6, ..down(6, 20_990, 2, 8.0) });
    middle.hear_down(at(21_000), group()[0], down(6, 21_500, 2, 8.0));
    assert_eq!(middle.share(at(21_000), 1.0, |()| 1.0)[0].1.rates[0], 0.0);
}
