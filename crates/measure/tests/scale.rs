//! Tests small sizes of the subjects of `ivydrift-measure scale` with bounds on counts and bytes. There are
//! no bounds on times, so that a busy machine changes nothing. Costs that still grow with the fleet have no
//! bound here; docs/CAPACITY.md gives their slope.

use std::process::Command;
use std::time::Duration;

use ivydrift_measure::scale::core_harness::node_list;
use ivydrift_measure::scale::{bursts, cold, evidence, meeting, nodes, services, table, Table};
use ivydrift_wire::list;

/// Guards against work that becomes more frequent, or takes more commands, with more known nodes.
#[test]
fn commands_per_rpc_and_tick_do_not_grow_with_known_nodes() {
    for known in [30, 300, 1_000] {
        let mut harness = nodes::harness(known, Duration::from_secs(5)).unwrap();
        let usage = harness.usage;
        assert!(usage.rpcs > 400, "{known}: {usage:?}");
        assert!(usage.picks <= usage.rpcs && usage.picks.abs_diff(usage.ok) <= 3, "{known}: {usage:?}");
        // Each RPC takes one pick and one final answer; ticks produce no command.
        assert!(usage.commands <= 2 * usage.rpcs + 5, "{known}: {usage:?}");
        assert!(usage.ticks <= 70 * 5, "{known}: {usage:?}");
        // The restart of one node affects only that node.
        let mut nodes = node_list(known);
        let (_, commands) = nodes::apply_update(&mut harness, &mut nodes, 3);
        assert!(commands <= 1, "{known}: {commands} commands for one change");
    }
}

/// Guards against an idle service that ticks as often as a busy one.
#[test]
fn idle_service_ticks_ten_times_a_second_without_commands() {
    let mut cores = services::cores(20).unwrap();
    let before: u64 = cores.iter().map(|harness| harness.usage.commands).sum();
    let rest = services::run_all(&mut cores, Duration::from_secs(5), 1e-9, &["none".to_owned()]);
    assert!(rest.ticks <= 20 * 5 * 11, "{rest:?}");
    let after: u64 = cores.iter().map(|harness| harness.usage.commands).sum();
    assert!(before <= 20 && after == 0, "{before} {after}");
}

/// Guards against a test of builds that needs more and more outcomes, and against one that convicts a build
/// as good as the other.
#[test]
fn verdict_needs_few_outcomes_and_spares_a_good_build() {
    let need = |worse| evidence::fewest_outcomes(worse, 0.5, 1).unwrap();
    let (half, fifth, little) = (need(0.5), need(0.2), need(0.05));
    assert!(half <= fifth && fifth <= little, "{half} {fifth} {little}");
    assert!(half <= 30 && fifth <= 100 && little <= 800, "{half} {fifth} {little}");
    assert!(evidence::conviction_share(1_000, 0.0, 1) <= 0.01);
    // The pooled counts of all marshals suffice in time; those of one marshal never do, with one service of
    // 2,700.
    assert!((1..=5).all(
        |seed| evidence::seconds_to_conviction(0.2, cold::SERVICE_RATE, seed).is_some_and(|s| s <= 20.0)
    ));
    assert_eq!(evidence::seconds_to_conviction(0.5, cold::SERVICE_RATE / 3_700.0, 1), None);
}

/// Guards against services concentrated on few marshals.
#[test]
fn services_are_assigned_evenly_to_marshals() {
    let even = meeting::layout(0, true);
    assert_eq!((even.marshals, even.services), (3_700.0, 2_700.0));
    let homes = meeting::layout(1, true);
    assert_eq!((homes.marshals * 2_700.0).round(), (homes.services * 3_700.0).round());
    assert!(homes.max_services <= 3.0 * homes.services, "{homes:?}");
}

/// Guards against a marshal that keeps connections to more nodes than its traffic needs.
#[test]
fn low_traffic_marshal_keeps_few_node_connections() {
    let [few, _] = meeting::connections(16, 0.1, 120, 1).unwrap();
    let [many, _] = meeting::connections(300, 10.0, 40, 1).unwrap();
    assert!(few <= 6.0, "{few}");
    assert!(many <= 20.0, "{many}");
}

/// Guards against growing messages, and against all marshals polling the node list at once after its return.
#[test]
fn messages_are_short_and_a_returning_node_list_is_not_polled_by_all_at_once() {
    let bytes = list::write(&node_list(1_000)).len();
    assert!(bytes <= 200 * 1_000, "{bytes}");
    let sizes = bursts::message_sizes();
    assert!(sizes.list_request <= 250 && sizes.news_request <= 250, "{}", sizes.list_request);
    assert!(
        sizes.news <= 160 && sizes.vote <= 350 && sizes.vote_answer <= 160,
        "{} {}",
        sizes.news,
        sizes.vote
    );
    let out = bursts::outage(300, 1).unwrap();
    assert!(out.rate <= 300.0 && out.last_request_s <= 10.0, "{out:?}");
    assert!(out.max_per_tenth <= 60, "{out:?}");
}

/// Guards against slow-start budgets (rule 4) whose sum exceeds the bound as more marshals share them, and
/// against a build on trial that gets more than rule 5 allows.
#[test]
fn summed_budgets_of_marshals_stay_within_the_bound() {
    for marshals in [5, 50, 200] {
        for (nodes, times) in [(1, 1.0), (12, 4.0)] {
            let cold = cold::restart_cold_nodes(marshals, nodes, times, 1).unwrap();
            assert!(cold.worst_window <= 1.0, "{marshals} marshals, {nodes} cold: {cold:?}");
        }
    }
    // With half of the nodes on trial, only the cap keeps the build from half of the RPCs. The rule binds
    // each marshal at the times of its own sends. In a sum over several marshals, a window may therefore
    // exceed it by what they sent earlier; the strict bound holds for one.
    let one = cold::expose_trial(1, 8, 1).unwrap();
    assert!(one.excess <= 0.0 && one.share > 0.05, "{one:?}");
    let five = cold::expose_trial(5, 8, 1).unwrap();
    assert!(five.excess <= 5.0 && five.share > 0.05, "{five:?}");
}

/// Guards against a subcommand that measures or draws nothing, and against tenants that take far more memory.
#[test]
fn subject_prints_json_tables_and_an_svg_chart() {
    let svg = std::env::temp_dir().join(format!("ivydrift-scale-{}.svg", std::process::id()));
    let out = Command::new(env!("CARGO_BIN_EXE_ivydrift-measure"))
        .args(["scale", "tenants", "--sizes", "100,1000", "--runs", "1", "--json", "--svg"])
        .arg(&svg)
        .output()
        .unwrap();
    assert!(out.status.success(), "{out:?}");
    let tables: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
    let cell = |row: usize, column: usize| tables[0]["rows"][row][column].as_str().unwrap().to_owned();
    assert_eq!((cell(0, 0).as_str(), cell(1, 0).as_str()), ("100", "1,000"));
    let kept: f64 = cell(1, 4).parse().unwrap();
    assert!(kept < 40.0, "MiB after reading 1,000 tenants: {kept}");
    let drawn = std::fs::read_to_string(&svg).unwrap();
    let _ = std::fs::remove_file(&svg);
    assert!(drawn.starts_with("<svg") && drawn.contains("polyline"), "not an SVG chart: {drawn}");
    let none =
        Command::new(env!("CARGO_BIN_EXE_ivydrift-measure")).args(["scale", "nothing"]).output().unwrap();
    assert_eq!(none.status.code(), Some(2));
}

#[test]
fn tables_are_aligned_and_numbers_have_three_digits() {
    let mut table = Table::new("Title", &["size", "what"]);
    table.row(["300", "1.5 (1.0 to 2.0)"]);
    table.row(["44,000", "9"]);
    table.note("A note.");
    assert_eq!(
        table.to_string(),
        "Title\n\n  size              what\n   300  1.5 (1.0 to 2.0)\n44,000                 9\n\nA note.\n"
    );
    let shown = [0.0, 0.01234, 1.234, 12.34, 123.4, 1_234.5, 44_000.0].map(table::short);
    assert_eq!(shown, ["0.00", "0.012", "1.23", "12.3", "123", "1,234", "44,000"]);
    assert_eq!(table::spread(&[3.0, 1.0, 2.0]), "2.00 (1.00 to 3.00)");
    assert_eq!((table::spread(&[]), table::whole(-1_234_567.0)), ("-".to_owned(), "-1,234,567".to_owned()));
}
