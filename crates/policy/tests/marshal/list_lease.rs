//! The lease on the node list: no pick is sent from a list that discovery has not confirmed in time.

use ivydrift_policy::port::*;

use crate::simulation::{base_config, ms, Simulation};

/// Four nodes, with a list lease of 6 s (4 s after a reload) and a drain grace of 1 s.
fn with_list_lease() -> Simulation {
    let mut config = base_config();
    config.polls_discovery = true;
    config.rules.drain_grace = ms(1000);
    let (delivered_within, delivered_after_reload) = (ms(6000), ms(4000));
    config.rules.list_lease = Some(ListLeaseConfig { delivered_within, delivered_after_reload });
    Simulation::new(config, 4)
}

/// Reports what a call showed of discovery.
fn report_sign(sim: &mut Simulation, sign: DiscoverySignal) {
    sim.deliver(vec![Event::Discovery(sign)]);
}

/// Discovery confirms the node list as of now.
fn confirm_list(sim: &mut Simulation) {
    let as_of = sim.now;
    report_sign(sim, DiscoverySignal::Confirmed { as_of, next_within: ms(3800) });
}

/// Offers RPCs for 25 s and returns the milliseconds until the last pick; 0 without any pick.
fn ms_until_last_pick(sim: &mut Simulation) -> u64 {
    let (start, picks_before) = (sim.now, sim.sent_picks.len());
    sim.run(ms(25_000), 20);
    let last = sim.sent_picks[picks_before..].iter().map(|pick| pick.0).max();
    last.map_or(0, |at| (at - start).as_millis() as u64)
}

#[test]
fn picks_stop_before_an_unrenewed_lease_and_grace_expire() {
    let mut sim = with_list_lease();
    confirm_list(&mut sim);
    let last_pick_ms = ms_until_last_pick(&mut sim);
    assert!(
        (6400..6950).contains(&last_pick_ms),
        "lease of 6 s and drain grace of 1 s, last pick after {last_pick_ms} ms"
    );
    let refused_before = sim.pushed_back.len();
    sim.run(ms(1000), 20);
    assert!(sim.pushed_back.len() >= refused_before + 15, "RPCs are refused at once after the lease");
    confirm_list(&mut sim);
    assert!(ms_until_last_pick(&mut sim) > 6400, "a confirmation renews the lease");
}

#[test]
fn cached_list_is_used_only_once_confirmed() {
    let mut sim = with_list_lease();
    assert_eq!(ms_until_last_pick(&mut sim), 0, "a cached list of unknown age was used");
    assert!(sim.pushed_back.len() > 400, "RPCs are refused without a lease");
    confirm_list(&mut sim);
    assert!(ms_until_last_pick(&mut sim) > 6400);
}

#[test]
fn cached_list_is_not_used_when_a_call_fails() {
    let mut sim = with_list_lease();
    let now = sim.now;
    report_sign(&mut sim, DiscoverySignal::WatchEnded { asked: now, as_of: now });
    sim.deliver(vec![Event::Nodes { update: ListUpdate::Failed, nodes: vec![] }]);
    assert_eq!(ms_until_last_pick(&mut sim), 0, "a failed call made a list of unknown age valid");
    confirm_list(&mut sim);
    assert!(ms_until_last_pick(&mut sim) > 6400);
}

#[test]
fn a_watch_that_discovery_ends_confirms_the_list_once() {
    let mut sim = with_list_lease();
    confirm_list(&mut sim);
    let asked = sim.now;
    sim.run(ms(2500), 20);
    let as_of = sim.now;
    report_sign(&mut sim, DiscoverySignal::WatchEnded { asked, as_of });
    let last_pick_ms = ms_until_last_pick(&mut sim);
    assert!(
        (6400..6950).contains(&last_pick_ms),
        "the list was complete when the watch ended; last pick {last_pick_ms} ms after that"
    );
    let as_of = sim.now;
    report_sign(&mut sim, DiscoverySignal::WatchEnded { asked: as_of, as_of });
    assert_eq!(ms_until_last_pick(&mut sim), 0, "the end of a watch renewed a lease that had expired");
}

#[test]
fn the_end_of_a_watch_from_before_a_reload_confirms_nothing() {
    let mut sim = with_list_lease();
    confirm_list(&mut sim);
    let asked = sim.now;
    sim.run(ms(1000), 20);
    report_sign(&mut sim, DiscoverySignal::Reloaded);
    sim.run(ms(1500), 20);
    let as_of = sim.now;
    report_sign(&mut sim, DiscoverySignal::WatchEnded { asked, as_of });
    let last_pick_ms = ms_until_last_pick(&mut sim) + 1500;
    assert!((4400..4950).contains(&last_pick_ms), "last pick {last_pick_ms} ms after the reload");
}

#[test]
fn config_reload_shortens_the_lease() {
    let mut sim = with_list_lease();
    confirm_list(&mut sim);
    report_sign(&mut sim, DiscoverySignal::Reloaded);
    let last_pick_ms = ms_until_last_pick(&mut sim);
    assert!(
        (4400..4950).contains(&last_pick_ms),
        "lease of 4 s and drain grace of 1 s, last pick after {last_pick_ms} ms"
    );
}

/// A process that was suspended only knows that the list was complete when it made the call.
#[test]
fn a_confirmation_from_before_a_reload_does_not_undo_it() {
    let mut sim = with_list_lease();
    confirm_list(&mut sim);
    sim.run(ms(1000), 20);
    let as_of = sim.now - ms(100);
    report_sign(&mut sim, DiscoverySignal::Reloaded);
    report_sign(&mut sim, DiscoverySignal::Confirmed { as_of, next_within: ms(3800) });
    let last_pick_ms = ms_until_last_pick(&mut sim);
    assert!((4400..4950).contains(&last_pick_ms), "last pick {last_pick_ms} ms after the reload");
    confirm_list(&mut sim);
    assert!(ms_until_last_pick(&mut sim) > 6400, "a later confirmation is not bound by the reload");
}

/// The earlier of two reloads binds what was known before both.
#[test]
fn a_confirmation_from_before_two_reloads_is_bound_by_the_first() {
    let mut sim = with_list_lease();
    confirm_list(&mut sim);
    sim.run(ms(1000), 20);
    let as_of = sim.now - ms(100);
    report_sign(&mut sim, DiscoverySignal::Reloaded);
    sim.run(ms(1500), 20);
    report_sign(&mut sim, DiscoverySignal::Reloaded);
    report_sign(&mut sim, DiscoverySignal::Confirmed { as_of, next_within: ms(3800) });
    let last_pick_ms = ms_until_last_pick(&mut sim) + 1500;
    assert!((4400..4950).contains(&last_pick_ms), "last pick {last_pick_ms} ms after the first reload");
}

#[test]
fn list_without_lease_never_expires() {
    let mut sim = Simulation::new(base_config(), 4);
    assert!(ms_until_last_pick(&mut sim) > 24_000);
}
