//! One of many marshals with a rollout controller that counts a sample of all picks: what its counts decide,
//! and how votes share its limited rate.

use ivydrift_policy::port::*;

use crate::simulation::{ms, terms, World};

/// One of 300 marshals, a rollout controller that takes 80 votes a second, and a build on trial on two nodes
/// beside eight of the earlier build.
fn one_of_many() -> World {
    let mut terms = RolloutTerms { marshals: 300, ..terms() };
    (terms.release.vote_rate, terms.release.on_votes, terms.release.back_votes) = (80.0, 180, 75);
    let mut w = World::new(terms, 8);
    w.run(ms(3000), 5);
    w.tell(2, 0, Course::OnTrial, 0.35, VoteReply::Unasked);
    let now = w.now;
    (8..10).for_each(|n| w.list(n, 2, Readiness::Ready, Some(now)));
    w
}

/// Reports the rollout controller's counts for one period: `failed` percent of the picks at the build on
/// trial failed, and 1 percent of those at the earlier build.
fn counted(w: &mut World, failed: u32) {
    for (build, picks, failed) in [(2, 50, failed / 2), (1, 500, 5)] {
        let (mean, age) = (ms(60), ms(700));
        w.step(vec![Event::Sums { build, method: 0, picks, failed, mean, age }]);
    }
}

/// Runs for `seconds`, reporting counts each second where `failed` is given, and returns the milliseconds
/// until the first vote with this verdict.
fn first(w: &mut World, verdict: Verdict, seconds: u64, failed: Option<u32>) -> Option<u64> {
    let from = w.now;
    for _ in 0..seconds {
        w.run(ms(1000), 5);
        failed.into_iter().for_each(|failed| counted(w, failed));
    }
    w.votes.iter().find(|v| v.1 == verdict).map(|v| (v.0 - from).as_millis() as u64)
}

#[test]
fn a_sample_that_the_desk_has_counted_shortens_the_wait_for_a_vote_on() {
    let own = first(&mut one_of_many(), Verdict::On, 8, None).unwrap();
    let counted = first(&mut one_of_many(), Verdict::On, 8, Some(1)).unwrap();
    assert!((4900..5300).contains(&own), "{own} ms without the controller's counts");
    assert!((2400..2800).contains(&counted), "{counted} ms with the controller's counts");
}

/// The node list names new nodes seconds after their start, so the minimum observation time, which counts
/// from the start, can pass before any marshal could send to them; counts of earlier stages say nothing of
/// them. Guards against a vote to promote on elapsed time alone.
#[test]
fn where_the_desk_counts_time_alone_is_no_consent() {
    let told = |counts: &[u32]| {
        let mut w = one_of_many();
        w.run(ms(2000), 5);
        counted(&mut w, 1);
        w.tell(2, 1, Course::OnTrial, 0.7, VoteReply::Unasked);
        // Nodes that start right after the stage begins and are listed 2.4 s later.
        let start = w.now;
        w.run(ms(2400), 5);
        (10..12).for_each(|n| w.list(n, 2, Readiness::Ready, Some(start)));
        let (listed, before) = (w.now, w.votes.len());
        for picks in counts {
            w.run(ms(1000), 5);
            let age = ms(700);
            for (build, picks) in [(1, 500), (2, *picks)] {
                w.step(vec![Event::Sums { build, method: 0, picks, failed: 0, mean: ms(60), age }]);
            }
        }
        let mut later = w.votes[before..].iter();
        later.find(|v| v.1 == Verdict::On && v.2 == 1).map(|v| (v.0 - listed).as_millis())
    };
    let soon = told(&[20, 20, 20, 20]).unwrap();
    assert!(
        (2000..2400).contains(&soon),
        "{soon} ms: the second report brings the controller's counts above 30 outcomes"
    );
    assert_eq!(told(&[5, 5, 5, 5, 5]), None, "voted to promote on 25 counted outcomes");
    // Where the controller counts next to nothing of the build, the vote is delayed by no more than this.
    let late = told(&[0; 14]).unwrap();
    assert!((7000..9000).contains(&late), "{late} ms");
}

#[test]
fn a_build_that_fails_by_the_desk_s_counts_is_voted_back_and_not_on() {
    // 14 percent fail: with the confidence interval for unknown variance, the verdict takes some 500
    // outcomes.
    let mut w = one_of_many();
    let back = first(&mut w, Verdict::Back, 9, Some(15));
    assert!(back.is_some_and(|ms| ms < 8000), "{back:?}");
    assert!(!w.voted(Verdict::On));
    // 40 percent fail: two of the controller's periods suffice, though this marshal itself saw too little.
    let back = first(&mut one_of_many(), Verdict::Back, 6, Some(40));
    assert!(back.is_some_and(|ms| ms < 3000), "{back:?}");
    // 4 percent, as cold nodes cost a good build, are within the margin.
    let mut w = one_of_many();
    assert_eq!(first(&mut w, Verdict::Back, 9, Some(4)), None);
    assert!(w.voted(Verdict::On));
}

#[test]
fn a_vote_that_was_turned_away_is_asked_again_soon_and_by_lot() {
    let mut gaps = std::collections::BTreeSet::new();
    for seed in 0..12 {
        let mut terms = RolloutTerms { marshals: 300, seed, ..terms() };
        (terms.release.vote_rate, terms.release.on_votes) = (80.0, 180);
        let mut w = World::new(terms, 8);
        w.tell(2, 0, Course::OnTrial, 0.35, VoteReply::Unasked);
        let now = w.now;
        (8..10).for_each(|n| w.list(n, 2, Readiness::Ready, Some(now)));
        while w.votes.len() < 2 && w.now < now + ms(12_000) {
            w.run(ms(20), 5);
            if w.votes.len() == 1 && w.now - w.votes[0].0 < ms(40) {
                w.tell(2, 0, Course::OnTrial, 0.35, VoteReply::Full);
            }
        }
        gaps.insert((w.votes[1].0 - w.votes[0].0).as_millis() as u64 / 100);
    }
    // 300 votes at 80 a second take 3.75 s; refused votes are retried at random within some two fifths of
    // that.
    let (least, most) = (gaps.first().copied().unwrap(), gaps.last().copied().unwrap());
    assert!(
        least >= 2 && most <= 18 && most - least >= 6 && gaps.len() >= 4,
        "gaps before the second vote, in tenths of a second: {gaps:?}"
    );
}

#[test]
fn votes_that_stand_for_a_moment_only_are_asked_again_all_the_same() {
    let mut terms = RolloutTerms { marshals: 300, ..terms() };
    (terms.release.vote_rate, terms.release.on_votes) = (80.0, 100);
    terms.release.vote_life = ms(300);
    let mut w = World::new(terms, 8);
    w.tell(2, 0, Course::OnTrial, 0.35, VoteReply::Unasked);
    let now = w.now;
    (8..10).for_each(|n| w.list(n, 2, Readiness::Ready, Some(now)));
    for _ in 0..100 {
        w.run(ms(100), 5);
        w.tell(2, 0, Course::OnTrial, 0.35, VoteReply::Full);
    }
    assert!(w.votes.len() > 5, "{} votes in 10 s", w.votes.len());
}
