//! Time until a verdict on a build: by number of outcomes with the shipped test alone, and in virtual time
//! with the shipped modules.

use std::time::Duration;

use ivydrift_policy::evidence::{below, Tally, DELTA, HALVE, LEAST_SAMPLE, MARGIN};
use ivydrift_policy::port::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::cold::SERVICE;
use super::crowd::{stage, Crowd, Setup};
use super::table::{short, spread, whole};
use super::{Error, Plan, Table, MARSHALS, ZONES};

/// Additional failure rates of a bad build.
pub const WORSE: [f64; 4] = [0.02, 0.05, 0.2, 0.5];
/// Failure rate of a good build.
const USUAL: f64 = 0.001;
/// Traffic share of the first rollout stage.
const SHARE: f64 = 0.1;
/// Share of the marshals whose votes roll a build back, by default.
const BACK_PART: f64 = 1.0 / 3.0;
/// Simulated trials per estimate.
const TRIALS: usize = 400;
/// Longest simulated trial.
const LONGEST: Duration = Duration::from_secs(600);

/// The shipped test of whether a build is unsound, as used for a vote.
fn unsound(new: Tally, old: Tally) -> bool {
    let spread = old.mean() * (1.0 - old.mean());
    below(new, old, MARGIN[1], 1.0, spread, DELTA * BACK_PART)
}

fn outcomes(dice: &mut StdRng, n: usize, fails: f64) -> Tally {
    let good = (0..n).filter(|_| dice.random_range(0.0..1.0) >= fails).count();
    Tally { n: n as f64, good: good as f64 }
}

/// Share of trials in which `n` outcomes of the new arm convict it, with the old arm's outcomes in
/// proportion.
pub fn convicted(n: usize, worse: f64, seed: u64) -> f64 {
    let mut dice = StdRng::seed_from_u64(seed);
    let old = (n as f64 * (1.0 - SHARE) / SHARE) as usize;
    let mut one = || unsound(outcomes(&mut dice, n, USUAL + worse), outcomes(&mut dice, old, USUAL));
    (0..TRIALS).filter(|_| one()).count() as f64 / TRIALS as f64
}

/// Fewest outcomes of the new arm with which the share `part` of all trials convicts it, without decay of the
/// records.
pub fn least(worse: f64, part: f64, seed: u64) -> Option<usize> {
    let enough = |n: usize| convicted(n, worse, seed) >= part;
    let mut high = LEAST_SAMPLE as usize;
    while !enough(high) {
        high *= 2;
        if high > 20_000 {
            return None;
        }
    }
    let mut low = high / 2;
    while high - low > (high / 50).max(1) {
        let middle = low + (high - low) / 2;
        if enough(middle) {
            high = middle;
        } else {
            low = middle;
        }
    }
    Some(high)
}

/// Seconds until the test convicts at `rate` RPCs per second, with the shipped exponential decay of the
/// records; `None` if not within [`LONGEST`]. Counts the first check that convicts; the confirmation period
/// is not included.
pub fn halved(worse: f64, rate: f64, seed: u64) -> Option<f64> {
    let mut dice = StdRng::seed_from_u64(seed);
    let step = Duration::from_millis(100);
    let (mut new, mut old, mut now, mut since) =
        (Tally::default(), Tally::default(), Duration::ZERO, Duration::ZERO);
    // The old arm's record is full when the trial begins.
    let standing = rate * HALVE.as_secs_f64();
    old.add(outcomes(&mut dice, standing as usize, USUAL), 1.0);
    while now < LONGEST {
        now += step;
        let expected = rate * step.as_secs_f64();
        let count = expected.floor() as usize + usize::from(dice.random_range(0.0..1.0) < expected.fract());
        let fresh = (0..count).filter(|_| dice.random_range(0.0..1.0) < SHARE).count();
        new.add(outcomes(&mut dice, fresh, USUAL + worse), 1.0);
        old.add(outcomes(&mut dice, count - fresh, USUAL), 1.0);
        if now >= since + HALVE {
            since = now;
            new.add(new, -0.5);
            old.add(old, -0.5);
        }
        if unsound(new, old) {
            return Some(now.as_secs_f64());
        }
    }
    None
}

/// Groups of marshals that pool their counts.
const GROUPS: [(&str, usize); 3] = [("alone", 1), ("a zone", MARSHALS / ZONES), ("all", MARSHALS)];

fn by_test(seeds: u64) -> Vec<Table> {
    let title = "RPCs that the shipped test of soundness needs, if none were forgotten; seconds at a tenth of one service's RPCs";
    let head =
        ["fails more", "RPCs of the build, half convict", "95% convict", "alone s", "a zone s", "all s"];
    let mut whole_record = Table::new(title, &head);
    let title = "Seconds until the shipped test convicts, records halved every 5 s as shipped, of 600; those that never did";
    let head = ["fails more", "alone s", "never", "a zone s", "never", "all s", "never"];
    let mut halving = Table::new(title, &head);
    for worse in WORSE {
        let percent = format!("{:.0}%", worse * 100.0);
        let search = |part: f64| -> Vec<f64> {
            (0..seeds).filter_map(|seed| least(worse, part, seed + 1)).map(|n| n as f64).collect()
        };
        let (half, most) = (search(0.5), search(0.95));
        let mut cells = vec![percent.clone(), spread(&half), spread(&most)];
        let mut sorted = most.clone();
        sorted.sort_by(f64::total_cmp);
        for (_, members) in GROUPS {
            let rate = SERVICE * members as f64 / MARSHALS as f64 * SHARE;
            cells.push(sorted.get(sorted.len() / 2).map_or("-".into(), |n| short(n / rate)));
        }
        whole_record.row(cells);
        let mut cells = vec![percent];
        for (_, members) in GROUPS {
            let rate = SERVICE * members as f64 / MARSHALS as f64;
            let runs: Vec<Option<f64>> = (0..20).map(|seed| halved(worse, rate, seed + 1)).collect();
            let found: Vec<f64> = runs.iter().copied().flatten().collect();
            cells.extend([spread(&found), format!("{} of {}", runs.len() - found.len(), runs.len())]);
        }
        halving.row(cells);
    }
    whole_record.note(format!("Soundness: margin {}, confidence {DELTA} x 1/3, {USUAL} fail on either build; {TRIALS} trials each n, searched {seeds} times.", MARGIN[1]));
    whole_record.note(format!(
        "One marshal sees {:.4} RPCs a second of one service, a zone {:.1}, all {SERVICE:.0}.",
        SERVICE / MARSHALS as f64,
        SERVICE / ZONES as f64
    ));
    halving.note("Pooled without loss or delay; 20 seeds. At a rate r a record holds 5 r to 10 r RPCs and no more, however long it waits.");
    vec![whole_record, halving]
}

/// Results of a trial.
#[derive(Clone, Debug, Default)]
pub struct Trial {
    /// Seconds until the first vote to roll back, until a twentieth of the modules has voted so, and until
    /// the first vote to promote.
    pub back: Option<f64>,
    pub enough: Option<f64>,
    pub on: Option<f64>,
    /// Modules that voted to promote and to roll back within the span.
    pub voted: [usize; 2],
    /// Datagrams to peers per module and second, and the share of them too long to be sent.
    pub told: [f64; 2],
}

/// Parameters of a trial.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub modules: usize,
    /// RPCs per second over all modules.
    pub rate: f64,
    pub worse: f64,
    pub methods: usize,
    /// Whether the rollout controller publishes its counts of all picks once per second.
    pub sums: bool,
    pub seed: u64,
}

/// Seconds of a trial.
const SPAN: u32 = 60;

/// Runs a trial in which two of sixteen nodes get the worse build. The vote thresholds are the number of
/// votes that the rollout controller lets stand at once.
///
/// # Errors
/// If the config is invalid.
pub fn trial(play: Play) -> Result<Trial, Error> {
    let Play { modules, rate, worse, methods, sums, seed } = play;
    // The defaults, one half and one third, exceed at this size what the rollout controller lets stand, so no
    // vote would be sent.
    let of = if modules == 1 { MARSHALS } else { modules };
    let votes = [of.div_ceil(10), of.div_ceil(20)];
    let setup = Setup { modules, of, nodes: 16, methods, rate, peers: modules > 1, votes, seed };
    let mut crowd = Crowd::new(setup)?;
    crowd.fails = [(1, USUAL), (2, USUAL + worse)].into();
    crowd.run(Duration::from_secs(15));
    crowd.tell_all(&stage(2, 0, Course::OnTrial, 0.14, Duration::ZERO));
    crowd.restart(0..2, 2);
    crowd.seen = Default::default();
    let from = crowd.now;
    for _ in 0..SPAN {
        crowd.run(Duration::from_secs(1));
        for (build, [picks, failed]) in std::mem::take(&mut crowd.seen.ended) {
            let (mean, age) = (Duration::from_millis(6), Duration::from_millis(500));
            if sums {
                crowd.tell_all(&Event::Sums { build, method: 0, picks, failed, mean, age });
            }
        }
    }
    let (mut first, mut voted) = ([const { Vec::new() }; 2], [vec![false; modules], vec![false; modules]]);
    for (at, module, verdict) in &crowd.seen.votes {
        let which = match verdict {
            Verdict::On => 0,
            Verdict::Back => 1,
            _ => continue,
        };
        if !std::mem::replace(&mut voted[which][*module], true) {
            first[which].push((*at - from).as_secs_f64());
        }
    }
    let [told, _, long] = crowd.seen.told;
    let seconds = f64::from(SPAN) * modules as f64;
    Ok(Trial {
        back: first[1].first().copied(),
        enough: first[1].get((modules / 20).max(1) - 1).copied(),
        on: first[0].first().copied(),
        voted: [first[0].len(), first[1].len()],
        told: [told as f64 / seconds, long as f64 / told.max(1) as f64],
    })
}

fn by_modules(plan: &Plan) -> Result<Vec<Table>, Error> {
    let title = "Shipped modules: one with the RPCs of a group, as if evidence were pooled without loss; 60 s of a trial";
    let head = ["fails more", "RPCs/s", "votes back after s", "never", "votes on after s", "never"];
    let mut pooled = Table::new(title, &head);
    for worse in WORSE {
        for (name, members) in GROUPS {
            let rate = SERVICE * members as f64 / MARSHALS as f64;
            let play = |seed| Play { modules: 1, rate, worse, methods: 5, sums: false, seed };
            let runs: Vec<Trial> = (1..10).map(|seed| trial(play(seed))).collect::<Result<_, _>>()?;
            let mut cells = vec![format!("{:.0}%, {name}", worse * 100.0), short(rate)];
            for which in [|t: &Trial| t.back, |t: &Trial| t.on] {
                let found: Vec<f64> = runs.iter().filter_map(which).collect();
                cells.extend([spread(&found), format!("{} of {}", runs.len() - found.len(), runs.len())]);
            }
            pooled.row(cells);
        }
    }
    pooled.note("Nine seeds; the build's nodes start as the trial begins. Alone nothing convicts; a vote on needs time, not evidence.");
    let sizes = plan.sizes_or(&[ZONES, 4 * ZONES, MARSHALS / ZONES, MARSHALS]);
    let title = "Shipped modules with peers' datagrams as shipped, all RPCs of one service over so many of them; 60 s of a trial";
    let head = [
        "fails more",
        "marshals",
        "methods",
        "desk's sums",
        "first back s",
        "a twentieth back s",
        "voted back",
        "first on s",
        "voted on",
        "datagrams/s each",
        "too long",
    ];
    let mut crowd = Table::new(title, &head);
    for modules in sizes {
        let plays = WORSE.map(|worse| (worse, 5, false)).into_iter().chain([(0.5, 20, false)]);
        for (worse, methods, sums) in plays.chain(WORSE.map(|worse| (worse, 5, true))) {
            let t = trial(Play { modules, rate: SERVICE, worse, methods, sums, seed: 1 })?;
            let time = |t: Option<f64>| t.map_or("never".into(), short);
            crowd.row([
                format!("{:.0}%", worse * 100.0),
                whole(modules as f64),
                methods.to_string(),
                if sums { "told" } else { "none" }.to_owned(),
                time(t.back),
                time(t.enough),
                whole(t.voted[1] as f64),
                time(t.on),
                whole(t.voted[0] as f64),
                short(t.told[0]),
                format!("{:.0}%", t.told[1] * 100.0),
            ]);
        }
    }
    crowd.note("One run each. A datagram of the policy holds 256 bytes, the counts of 14 methods: with more none is sent, and nothing says so. The desk's sums: of all picks, each second.");
    Ok(vec![pooled, crowd])
}

/// Measures the time to a verdict by test and by modules.
///
/// # Errors
/// If the config is invalid.
pub fn run(plan: &Plan) -> Result<Vec<Table>, Error> {
    let mut tables = by_test(plan.runs() as u64);
    tables.extend(by_modules(plan)?);
    Ok(tables)
}
