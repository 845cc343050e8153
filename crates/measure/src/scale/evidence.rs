//! Time until a verdict on a build: by number of outcomes with the shipped test alone, and in virtual time
//! with the shipped modules.

use std::time::Duration;

use ivydrift_policy::evidence::{is_below, Tally, DELTA, HALVING_INTERVAL, MIN_SAMPLE, SOUNDNESS_MARGIN};
use ivydrift_policy::port::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::cold::SERVICE_RATE;
use super::policy_fleet::{stage_event, PolicyFleet, Setup};
use super::table::{short, spread, whole};
use super::{Error, Plan, Table, MARSHAL_COUNT, ZONES};

/// Additional failure rates of a bad build.
pub const ADDED_FAILURE_RATES: [f64; 4] = [0.02, 0.05, 0.2, 0.5];
/// Failure rate of a good build.
const BASE_FAILURE_RATE: f64 = 0.001;
/// Traffic share of the first rollout stage.
const CANARY_SHARE: f64 = 0.1;
/// Share of the marshals whose votes roll a build back, by default.
const ROLLBACK_SHARE: f64 = 1.0 / 3.0;
/// Simulated trials per estimate.
const TRIALS: usize = 400;
/// Longest simulated trial.
const MAX_TRIAL: Duration = Duration::from_secs(600);

/// The shipped test of whether a build is unsound, as used for a vote.
fn unsound(new: Tally, old: Tally) -> bool {
    let spread = old.mean() * (1.0 - old.mean());
    is_below(new, old, SOUNDNESS_MARGIN, 1.0, spread, DELTA * ROLLBACK_SHARE)
}

fn sample_outcomes(rng: &mut StdRng, n: usize, failure_rate: f64) -> Tally {
    let good = (0..n).filter(|_| rng.random_range(0.0..1.0) >= failure_rate).count();
    Tally { count: n as f64, good: good as f64 }
}

/// Share of trials in which `n` outcomes of the new arm convict it, with the old arm's outcomes in
/// proportion.
pub fn conviction_share(n: usize, worse: f64, seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let old = (n as f64 * (1.0 - CANARY_SHARE) / CANARY_SHARE) as usize;
    let mut convicts = || {
        unsound(
            sample_outcomes(&mut rng, n, BASE_FAILURE_RATE + worse),
            sample_outcomes(&mut rng, old, BASE_FAILURE_RATE),
        )
    };
    (0..TRIALS).filter(|_| convicts()).count() as f64 / TRIALS as f64
}

/// Fewest outcomes of the new arm with which `share` of all trials convicts it, without decay of the
/// records.
pub fn fewest_outcomes(worse: f64, share: f64, seed: u64) -> Option<usize> {
    let enough = |n: usize| conviction_share(n, worse, seed) >= share;
    let mut high = MIN_SAMPLE as usize;
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
/// records; `None` if not within [`MAX_TRIAL`]. Counts the first check that convicts; the confirmation period
/// is not included.
pub fn seconds_to_conviction(worse: f64, rate: f64, seed: u64) -> Option<f64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let step = Duration::from_millis(100);
    let (mut new, mut old, mut now, mut last_decay) =
        (Tally::default(), Tally::default(), Duration::ZERO, Duration::ZERO);
    // The old arm's record is full when the trial begins.
    let standing = rate * HALVING_INTERVAL.as_secs_f64();
    old.add(sample_outcomes(&mut rng, standing as usize, BASE_FAILURE_RATE), 1.0);
    while now < MAX_TRIAL {
        now += step;
        let expected = rate * step.as_secs_f64();
        let count = expected.floor() as usize + usize::from(rng.random_range(0.0..1.0) < expected.fract());
        let fresh = (0..count).filter(|_| rng.random_range(0.0..1.0) < CANARY_SHARE).count();
        new.add(sample_outcomes(&mut rng, fresh, BASE_FAILURE_RATE + worse), 1.0);
        old.add(sample_outcomes(&mut rng, count - fresh, BASE_FAILURE_RATE), 1.0);
        if now >= last_decay + HALVING_INTERVAL {
            last_decay = now;
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
const GROUPS: [(&str, usize); 3] = [("alone", 1), ("a zone", MARSHAL_COUNT / ZONES), ("all", MARSHAL_COUNT)];

fn by_test(seeds: u64) -> Vec<Table> {
    let title = "RPCs that the shipped test of soundness needs, if none were forgotten; seconds at a tenth of one service's RPCs";
    let head =
        ["fails more", "RPCs of the build, half convict", "95% convict", "alone s", "a zone s", "all s"];
    let mut without_decay = Table::new(title, &head);
    let title = "Seconds until the shipped test convicts, records halved every 5 s as shipped, of 600; those that never did";
    let head = ["fails more", "alone s", "never", "a zone s", "never", "all s", "never"];
    let mut with_decay = Table::new(title, &head);
    for worse in ADDED_FAILURE_RATES {
        let percent = format!("{:.0}%", worse * 100.0);
        let search = |share: f64| -> Vec<f64> {
            (0..seeds).filter_map(|seed| fewest_outcomes(worse, share, seed + 1)).map(|n| n as f64).collect()
        };
        let (half, most) = (search(0.5), search(0.95));
        let mut cells = vec![percent.clone(), spread(&half), spread(&most)];
        let mut sorted = most.clone();
        sorted.sort_by(f64::total_cmp);
        for (_, members) in GROUPS {
            let rate = SERVICE_RATE * members as f64 / MARSHAL_COUNT as f64 * CANARY_SHARE;
            cells.push(sorted.get(sorted.len() / 2).map_or("-".into(), |n| short(n / rate)));
        }
        without_decay.row(cells);
        let mut cells = vec![percent];
        for (_, members) in GROUPS {
            let rate = SERVICE_RATE * members as f64 / MARSHAL_COUNT as f64;
            let runs: Vec<Option<f64>> =
                (0..20).map(|seed| seconds_to_conviction(worse, rate, seed + 1)).collect();
            let found: Vec<f64> = runs.iter().copied().flatten().collect();
            cells.extend([spread(&found), format!("{} of {}", runs.len() - found.len(), runs.len())]);
        }
        with_decay.row(cells);
    }
    without_decay.note(format!("Soundness: margin {}, confidence {DELTA} x 1/3, {BASE_FAILURE_RATE} fail on either build; {TRIALS} trials each n, searched {seeds} times.", SOUNDNESS_MARGIN));
    without_decay.note(format!(
        "One marshal sees {:.4} RPCs a second of one service, a zone {:.1}, all {SERVICE_RATE:.0}.",
        SERVICE_RATE / MARSHAL_COUNT as f64,
        SERVICE_RATE / ZONES as f64
    ));
    with_decay.note("Pooled without loss or delay; 20 seeds. At a rate r a record holds 5 r to 10 r RPCs and no more, however long it waits.");
    vec![without_decay, with_decay]
}

/// Results of a trial.
#[derive(Clone, Debug, Default)]
pub struct Trial {
    /// Seconds until the first vote to roll back, until a twentieth of the modules has voted so, and until
    /// the first vote to promote.
    pub first_rollback_s: Option<f64>,
    pub rollback_quorum_s: Option<f64>,
    pub first_promotion_s: Option<f64>,
    /// Modules that voted to promote and to roll back within the span.
    pub voters: [usize; 2],
    /// Datagrams to peers per module and second, and the share of them too long to be sent.
    pub peer_datagrams: [f64; 2],
}

/// Parameters of a trial.
#[derive(Clone, Copy, Debug)]
pub struct TrialSetup {
    pub modules: usize,
    /// RPCs per second over all modules.
    pub rate: f64,
    pub worse: f64,
    pub methods: usize,
    /// Whether the rollout controller publishes its counts of all picks once per second.
    pub with_controller_sums: bool,
    pub seed: u64,
}

/// Seconds of a trial.
const TRIAL_S: u32 = 60;

/// Runs a trial in which two of sixteen nodes get the worse build. The vote thresholds are the number of
/// votes that the rollout controller lets stand at once.
///
/// # Errors
/// If the config is invalid.
pub fn run_trial(setup: TrialSetup) -> Result<Trial, Error> {
    let TrialSetup { modules, rate, worse, methods, with_controller_sums, seed } = setup;
    // The defaults, one half and one third, exceed at this size what the rollout controller lets stand, so no
    // vote would be sent.
    let marshals = if modules == 1 { MARSHAL_COUNT } else { modules };
    let votes = [marshals.div_ceil(10), marshals.div_ceil(20)];
    let setup = Setup { modules, marshals, nodes: 16, methods, rate, peers: modules > 1, votes, seed };
    let mut fleet = PolicyFleet::new(setup)?;
    fleet.failure_rates = [(1, BASE_FAILURE_RATE), (2, BASE_FAILURE_RATE + worse)].into();
    fleet.run(Duration::from_secs(15));
    fleet.deliver_to_all(&stage_event(2, 0, RolloutState::OnTrial, 0.14, Duration::ZERO));
    fleet.restart(0..2, 2);
    fleet.observed = Default::default();
    let from = fleet.now;
    for _ in 0..TRIAL_S {
        fleet.run(Duration::from_secs(1));
        for (build, [picks, failed]) in std::mem::take(&mut fleet.observed.ended) {
            let (mean, age) = (Duration::from_millis(6), Duration::from_millis(500));
            if with_controller_sums {
                fleet.deliver_to_all(&Event::ControllerCounts { build, method: 0, picks, failed, mean, age });
            }
        }
    }
    let (mut first, mut voted) = ([const { Vec::new() }; 2], [vec![false; modules], vec![false; modules]]);
    for (at, module, verdict) in &fleet.observed.votes {
        let which = match verdict {
            Verdict::On => 0,
            Verdict::Back => 1,
            _ => continue,
        };
        if !std::mem::replace(&mut voted[which][*module], true) {
            first[which].push((*at - from).as_secs_f64());
        }
    }
    let [sent, _, oversized] = fleet.observed.peer_datagrams;
    let seconds = f64::from(TRIAL_S) * modules as f64;
    Ok(Trial {
        first_rollback_s: first[1].first().copied(),
        rollback_quorum_s: first[1].get((modules / 20).max(1) - 1).copied(),
        first_promotion_s: first[0].first().copied(),
        voters: [first[0].len(), first[1].len()],
        peer_datagrams: [sent as f64 / seconds, oversized as f64 / sent.max(1) as f64],
    })
}

fn by_modules(plan: &Plan) -> Result<Vec<Table>, Error> {
    let title = "Shipped modules: one with the RPCs of a group, as if evidence were pooled without loss; 60 s of a trial";
    let head = ["fails more", "RPCs/s", "votes back after s", "never", "votes on after s", "never"];
    let mut pooled = Table::new(title, &head);
    for worse in ADDED_FAILURE_RATES {
        for (name, members) in GROUPS {
            let rate = SERVICE_RATE * members as f64 / MARSHAL_COUNT as f64;
            let setup =
                |seed| TrialSetup { modules: 1, rate, worse, methods: 5, with_controller_sums: false, seed };
            let runs: Vec<Trial> = (1..10).map(|seed| run_trial(setup(seed))).collect::<Result<_, _>>()?;
            let mut cells = vec![format!("{:.0}%, {name}", worse * 100.0), short(rate)];
            for which in [|t: &Trial| t.first_rollback_s, |t: &Trial| t.first_promotion_s] {
                let found: Vec<f64> = runs.iter().filter_map(which).collect();
                cells.extend([spread(&found), format!("{} of {}", runs.len() - found.len(), runs.len())]);
            }
            pooled.row(cells);
        }
    }
    pooled.note("Nine seeds; the build's nodes start as the trial begins. Alone nothing convicts; a vote on needs time, not evidence.");
    let sizes = plan.sizes_or(&[ZONES, 4 * ZONES, MARSHAL_COUNT / ZONES, MARSHAL_COUNT]);
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
    let mut fleet = Table::new(title, &head);
    for modules in sizes {
        let setups = ADDED_FAILURE_RATES.map(|worse| (worse, 5, false)).into_iter().chain([(0.5, 20, false)]);
        for (worse, methods, with_controller_sums) in
            setups.chain(ADDED_FAILURE_RATES.map(|worse| (worse, 5, true)))
        {
            let t = run_trial(TrialSetup {
                modules,
                rate: SERVICE_RATE,
                worse,
                methods,
                with_controller_sums,
                seed: 1,
            })?;
            let time = |t: Option<f64>| t.map_or("never".into(), short);
            fleet.row([
                format!("{:.0}%", worse * 100.0),
                whole(modules as f64),
                methods.to_string(),
                if with_controller_sums { "told" } else { "none" }.to_owned(),
                time(t.first_rollback_s),
                time(t.rollback_quorum_s),
                whole(t.voters[1] as f64),
                time(t.first_promotion_s),
                whole(t.voters[0] as f64),
                short(t.peer_datagrams[0]),
                format!("{:.0}%", t.peer_datagrams[1] * 100.0),
            ]);
        }
    }
    fleet.note("One run each. A datagram of the policy holds 256 bytes, the counts of 14 methods: with more none is sent, and nothing says so. The desk's sums: of all picks, each second.");
    Ok(vec![pooled, fleet])
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
