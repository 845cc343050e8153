//! Seeded random mixes of RPCs over services whose node lists come late, are lost or never come, with drops,
//! returns, config changes and clients that disconnect. The harness checks the invariants after every step.

use ivydrift_marshal::Observation;

use super::common::node;
use super::harness::*;

/// Seeded random numbers (xorshift).
struct Rng(u64);

impl Rng {
    fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % n
    }
    fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }
}

fn behavior(n: usize, rng: &mut Rng) -> Behavior {
    let port = |i: u64| 10_000 + 20 * n as u16 + i as u16;
    let old = (0..rng.below(4)).map(|i| node(port(i), 1));
    let mut nodes: Vec<_> = old.chain((0..1 + rng.below(4)).map(|i| node(port(10 + i), 2))).collect();
    // Some services are so large that the memory limit allows only a few of them.
    if rng.one_in(12) {
        nodes.extend((0..150).map(|i| node(30_000 + i, 1)));
    }
    let stage = [released(2), on_trial(2, 0.14), on_trial(2, 0.5)][rng.below(3) as usize];
    let list_ms = (!rng.one_in(6)).then(|| [5, 40, 400, 3000][rng.below(4) as usize]);
    let controller_ms = (!rng.one_in(6)).then(|| [5, 40, 900][rng.below(3) as usize]);
    let observation =
        [OK, OK, OK, OK, ERROR, FULL, Observation::Broken, Observation::NotSent][rng.below(8) as usize];
    let pick_ms = [3, 20, 150, 900][rng.below(4) as usize];
    Behavior { list_ms, list_fails: rng.one_in(2), controller_ms, stage, nodes, pick_ms, observation }
}

/// Events counted over all mixes, to notice if the mixes no longer exercise what they are meant to.
#[derive(Default, Debug)]
struct Totals {
    ok: usize,
    pushed_back: usize,
    dropped: usize,
    returned: usize,
    renewed: usize,
}

fn run_random(seed: u64, totals: &mut Totals) {
    let rng = &mut Rng(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
    let (count, most) = (4 + rng.below(10) as usize, 1 + rng.below(5));
    let release = ["", "one_way = true", "window = \"1s\"", "by_method = true"][rng.below(4) as usize];
    let block =
        format!("most = {most}\n  rest = \"{}s\"\n  kib = {}", 1 + rng.below(9), 150 + rng.below(600));
    let all = names(count);
    let behaviors = all.iter().enumerate().map(|(n, name)| (name.clone(), behavior(n, rng))).collect();
    let mut harness = Harness::new(config(&all, &block, release), behaviors);
    harness.resend_list_ms = rng.one_in(2).then_some(3000);
    let mut ids = vec![];
    for _ in 0..150 {
        // Two services get most RPCs, the others few.
        let of = if rng.one_in(3) { rng.below(count as u64) } else { rng.below(2) };
        let what = ["read", "read", "save", "book"][rng.below(4) as usize];
        let key = rng.one_in(2).then(|| rng.below(6));
        ids.push(harness.rpc(&format!("s{of}-{what}"), [60, 700, 1500, 3000][rng.below(4) as usize], key));
        if rng.one_in(20) {
            harness.leave(ids[rng.below(ids.len() as u64) as usize]);
        }
        let name = format!("s{}", rng.below(count as u64));
        match rng.below(30) {
            0 => harness.lose_list(&name),
            1 => {
                harness.behaviors.get_mut(&name).unwrap().nodes.truncate(1);
                harness.list(&name);
            }
            2 => harness.behaviors.get_mut(&name).unwrap().list_ms = Some(30),
            3 => {
                // Some services are removed, and return at the next such step.
                let kept: Vec<_> = all.iter().filter(|_| !rng.one_in(4)).cloned().collect();
                harness.reconfigure(config(&kept, &block, release)).unwrap();
                totals.renewed += 1;
            }
            4 => harness.behaviors.get_mut(&name).unwrap().pick_ms = [5, 400][rng.below(2) as usize],
            _ => {}
        }
        harness.advance([0, 1, 15, 120, 700][rng.below(5) as usize] + if rng.one_in(25) { 9000 } else { 0 });
    }
    harness.advance(3200);
    harness.all_answered();
    let count = |word| ids.iter().filter(|id| harness.answer_of(**id) == word).count();
    (totals.ok, totals.pushed_back) = (totals.ok + count("ok"), totals.pushed_back + count("pushed back"));
    totals.dropped += harness.dropped.len();
    let dropped_again = |d: &&(_, String, _)| harness.dropped.iter().filter(|o| o.1 == d.1).count() > 1;
    totals.returned += harness.dropped.iter().filter(dropped_again).count();
}

#[test]
fn random_runs_keep_the_invariants() {
    let mut totals = Totals::default();
    for seed in 1..=400 {
        // Names the seed that fails; the panic message itself does not.
        let run = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run_random(seed, &mut totals)));
        assert!(run.is_ok(), "seed {seed}");
    }
    println!("{totals:?}");
    assert!(
        totals.ok > 7000 && totals.pushed_back > 30_000 && totals.dropped > 8000 && totals.returned > 8000,
        "{totals:?}"
    );
    assert!(totals.renewed > 1500, "{totals:?}");
}
