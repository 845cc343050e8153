//! An earlier build of this program and the current one in the same fleet. `.ci/run` builds the earlier one
//! from the repository's history, at the revision in `earlier`, and passes its path in IVYDRIFT_EARLIER.

#[allow(dead_code)] // Each test file uses some of it.
mod fleet;

use std::path::PathBuf;
use std::time::{Duration, Instant};

use fleet::{fault, Fleet, PROGRAM};
use ivydrift_standin::links::{LinkEffect, LinkFault};
use nix::sys::signal::Signal;
use serde_json::Value;

/// Marshals 0 and 1 run the earlier program, 2 and 3 the current one. One of each is stopped for a while; then
/// the two groups are partitioned.
fn suspend_and_partition(fleet: &Fleet) {
    for (suspended, viewer) in [(0, 2), (3, 1)] {
        fleet.signal(suspended, Signal::SIGSTOP);
        fleet.wait_until_shown(viewer, 20, |s| s[suspended].0 == "dead");
        fleet.signal(suspended, Signal::SIGCONT);
        fleet.wait_until_all_alive(30);
    }
    fleet.relay.inject(LinkFault { both: true, ..fault(&[0, 1], &[2, 3], LinkEffect::Down) });
    fleet.wait_until_shown(0, 25, |s| s[2].0 == "dead" && s[3].0 == "dead" && s[1].0 == "alive");
    fleet.wait_until_shown(2, 25, |s| s[0].0 == "dead" && s[1].0 == "dead" && s[3].0 == "alive");
    fleet.relay.heal();
    fleet.relay.inject(fault(&[0, 1, 2, 3], &[0, 1, 2, 3], LinkEffect::Loss(0.1)));
    fleet.wait_until_all_alive(30);
}

#[test]
#[ignore = "needs a program from before records had sections, with its path in IVYDRIFT_EARLIER"]
fn the_earlier_and_the_current_program_work_in_one_fleet_at_every_split() {
    let earlier = PathBuf::from(
        std::env::var_os("IVYDRIFT_EARLIER").expect("IVYDRIFT_EARLIER must be set to the path of a program"),
    );
    let mut fleet = Fleet::start(("split", 7), 4);
    fleet.relay.inject(fault(&[0, 1, 2, 3], &[0, 1, 2, 3], LinkEffect::Loss(0.1)));
    // All marshals are downgraded one by one, then upgraded again.
    for n in 0..8 {
        fleet.programs[n % 4] = if n < 4 { earlier.clone() } else { PathBuf::from(PROGRAM) };
        fleet.kill(n % 4);
        fleet.launch(n % 4);
        fleet.wait_until_all_alive(30);
        let current: Vec<usize> = (0..4).filter(|m| fleet.programs[*m] != earlier).collect();
        if current.len() < 4 {
            fleet.wait_for_level(&current, 0, 5);
        }
        let is_up_to_date = |view: &Value, m: usize| {
            let member = &view["members"][m];
            let is_current = member["program"].as_str().unwrap_or_default().starts_with("0.1.0-");
            is_current == (fleet.programs[m] != earlier) && member["about"]["zone"] == m % 2
        };
        let deadline = Instant::now() + Duration::from_secs(30);
        while !current.iter().all(|viewer| {
            fleet.query_peers(*viewer).is_some_and(|view| (0..4).all(|m| is_up_to_date(&view, m)))
        }) {
            assert!(
                Instant::now() < deadline,
                "{:?}",
                current.iter().map(|viewer| fleet.query_peers(*viewer)).collect::<Vec<_>>()
            );
            std::thread::sleep(Duration::from_millis(200));
        }
        if n == 1 {
            suspend_and_partition(&fleet);
        }
    }
    fleet.wait_for_level(&[0, 1, 2, 3], 1, 60);
}
