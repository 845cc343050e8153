//! Cost and convergence times of membership by fleet size, in virtual time:
//! `cargo run --release -p ivydrift-members --example fleet`.

#[path = "../tests/sim/mod.rs"]
mod sim;

use std::time::Instant;

use sim::{ms, secs, Simulation};

fn quantile(sorted: &[f64], part: f64) -> f64 {
    sorted.get(((sorted.len().max(1) - 1) as f64 * part).round() as usize).copied().unwrap_or(f64::NAN)
}

fn main() {
    println!("marshals  found-all-s  datagrams/s  bytes/s  cpu-us/s  records-known age-s p50 p99  death-seen-s p50 p99");
    for count in [3u16, 12, 30, 120, 300] {
        let mut sim = Simulation::new(count, 1);
        let found = sim.converge_within(secs(120)).map_or(f64::NAN, |d| d.as_secs_f64());
        let all = |sim: &mut Simulation| {
            let each: Vec<_> = (0..count).filter_map(|n| sim.member(n).map(|m| m.traffic())).collect();
            (each.iter().map(|t| t.sent).sum::<u64>(), each.iter().map(|t| t.sent_bytes).sum::<u64>())
        };
        let (before, from, clock) = (all(&mut sim), sim.now, Instant::now());
        // Each record carries the time at which it was made.
        for _ in 0..600 {
            let at = (sim.now.as_millis() as u64).to_be_bytes();
            for n in 0..count {
                let record = [&at[..], &[0; 72]].concat();
                sim.member(n).expect("the member is running").publish(record).expect("the record fits");
            }
            sim.run(ms(100));
        }
        let (after, cpu) = (all(&mut sim), clock.elapsed().as_secs_f64());
        let span = (sim.now - from).as_secs_f64() * f64::from(count);
        let mut ages = Vec::new();
        for n in 0..count {
            let now = sim.now;
            for v in sim.member(n).expect("the member is running").members(now).filter(|v| v.number != n) {
                let Some((bytes, ..)) = v.record else { continue };
                let made = bytes.first_chunk::<8>().map_or(0, |b| u64::from_be_bytes(*b));
                ages.push(now.as_secs_f64() - made as f64 / 1000.0);
            }
        }
        ages.sort_by(f64::total_cmp);
        let mut deaths = Vec::new();
        for seed in 0..20 {
            let mut sim = Simulation::new(count, 100 + seed);
            sim.converge_within(secs(120)).expect("the fleet converges");
            let killed = sim.now + ms(37 * seed);
            sim.run_until(killed);
            sim.kill(1);
            sim.run(secs(40));
            deaths.extend(sim.deaths_since(killed).iter().map(|s| (s.at - killed).as_secs_f64()));
        }
        deaths.sort_by(f64::total_cmp);
        println!(
            "{count:8}  {found:11.1}  {:11.1}  {:7.0}  {:8.0}  {:12.1} {:.1} {:.1} {:10.1} {:.1}",
            (after.0 - before.0) as f64 / span,
            (after.1 - before.1) as f64 / span,
            cpu * 1e6 / span,
            ages.len() as f64 / f64::from(count) / f64::from(count - 1),
            quantile(&ages, 0.5),
            quantile(&ages, 0.99),
            quantile(&deaths, 0.5),
            quantile(&deaths, 0.99),
        );
    }
    println!(
        "\nfalse positives (live members declared dead) in one hour, 300 marshals, 5% of datagrams lost:"
    );
    let mut sim = Simulation::new(300, 2);
    sim.loss = 0.05;
    sim.converge_within(secs(120)).expect("the fleet converges");
    let from = sim.now;
    sim.run(secs(3600));
    println!("{}", sim.deaths_since(from).len());
}
