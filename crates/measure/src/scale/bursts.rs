//! Load bursts at the node list and rollout controller, with real wire messages: loss of a zone, restart of
//! all marshals, a peak minute of changes, and a network partition between regions. Counted for several
//! layouts of which marshal watches which list.

use std::time::Duration;

use ivydrift_policy::port::*;
use ivydrift_wire::controller::{self, Counted, Vote, VoteAnswer};
use ivydrift_wire::http::HeadWriter;
use ivydrift_wire::list;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::cold::setup;
use super::core_harness;
use super::policy_fleet::{max_within, PolicyFleet, Setup};
use super::table::{short, whole};
use super::{Error, Plan, Table, MARSHAL_COUNT, NODES, SERVICE_COUNT, ZONES};

const REGIONS: usize = 6;
/// Configuration changes per day; a peak minute has [`PEAK_FACTOR`] times the mean.
const CHANGES_PER_DAY: f64 = 8_900.0;
const PEAK_FACTOR: f64 = 10.0;
const SECOND: Duration = Duration::from_secs(1);

/// Bytes of one request as the edge sends it.
fn request_bytes(http_method: &str, path: &str, body: usize) -> usize {
    let head = HeadWriter::request(http_method, path)
        .field("host", "10.0.0.1:7001")
        .field("user-agent", format!("ivydrift/{} marshal-3699", env!("CARGO_PKG_VERSION")))
        .field("content-length", body.to_string())
        .field("content-type", "application/json");
    head.finish().len() + body
}

/// Bytes of the messages of node list and rollout controller.
pub struct Sizes {
    pub list_request: usize,
    pub news_request: usize,
    pub news: usize,
    pub vote: usize,
    pub vote_answer: usize,
}

/// Encodes each message and returns its size.
pub fn message_sizes() -> Sizes {
    let news = core_harness::released();
    let stage = news.stage.unwrap_or(controller::Stage {
        build: 1,
        stage: 0,
        course: controller::RolloutState::Released,
        cap: 1.0,
        age_ms: 0,
    });
    let vote = Vote { marshal: 3699, verdict: controller::Verdict::Back, stage: 0, build: 312 };
    Sizes {
        list_request: request_bytes("GET", &list::query_target("shop", 123_456, 10), 0),
        news_request: request_bytes("GET", "/v1/stage?index=123456&wait=5s&marshal=3699", 0),
        news: controller::write(&news).len(),
        vote: request_bytes("POST", "/v1/votes", controller::write(&vote).len()),
        vote_answer: controller::write(&VoteAnswer { counted: Counted::Counts, stage }).len(),
    }
}

/// Which marshals watch which node lists.
pub struct Layout {
    pub name: &'static str,
    /// Nodes per list, lists watched by each marshal, and marshals watching each list.
    pub nodes: usize,
    pub lists: f64,
    pub watchers: f64,
}

/// The layouts that are compared.
pub fn layouts() -> Vec<Layout> {
    let (nodes_per_service, marshals) = (NODES / SERVICE_COUNT, MARSHAL_COUNT as f64);
    let homes = |name, h: usize| {
        let watchers = (h * ZONES) as f64;
        Layout { name, nodes: nodes_per_service, lists: watchers * SERVICE_COUNT as f64 / marshals, watchers }
    };
    vec![
        Layout { name: "today, one list of all", nodes: NODES, lists: 1.0, watchers: marshals },
        Layout {
            name: "all services everywhere",
            nodes: nodes_per_service,
            lists: SERVICE_COUNT as f64,
            watchers: marshals,
        },
        homes("homes, 4 of each zone", 4),
        homes("homes, 1 of each zone", 1),
    ]
}

/// Requests of the shipped modules to a node list that is down.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    /// Requests per second while it is down, and the most within one second of that time.
    pub rate: f64,
    pub max_per_second: usize,
    /// After its return: the most within 0.1 s and within one second, and seconds until the last request.
    pub max_per_tenth: usize,
    pub max_per_second_after: usize,
    pub last_request_s: f64,
}

/// Takes the node list down for `modules` of all marshals for one minute. A longer outage gives the same
/// rate, since the backoff is at its limit by then.
///
/// # Errors
/// If the config is invalid.
pub fn outage(modules: usize, seed: u64) -> Result<Outage, Error> {
    let mut fleet = PolicyFleet::new(Setup { marshals: MARSHAL_COUNT, ..setup(modules, 1e-9, seed) })?;
    fleet.run(5 * SECOND);
    fleet.list_up = false;
    fleet.deliver_to_all(&Event::Nodes { update: ListUpdate::Failed, nodes: vec![] });
    fleet.run(60 * SECOND);
    let away = std::mem::take(&mut fleet.observed.list_requests);
    (fleet.list_up, fleet.observed) = (true, Default::default());
    let from = fleet.now;
    fleet.run(30 * SECOND);
    let after_return = &fleet.observed.list_requests;
    Ok(Outage {
        rate: away.len() as f64 / 60.0,
        max_per_second: max_within(&away, SECOND),
        max_per_tenth: max_within(after_return, SECOND / 10),
        max_per_second_after: max_within(after_return, SECOND),
        last_request_s: after_return.last().map_or(0.0, |at| (*at - from).as_secs_f64()),
    })
}

/// Takes the rollout controller down for a minute. Returns the requests per second and the most within one
/// second after its return. Simulates the edge's backoff: full jitter from 200 ms, doubled at most four
/// times. `connect`: seconds until a connection attempt fails.
pub fn controller_outage(marshals: usize, connect: f64, seed: u64) -> [f64; 2] {
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut asked, mut after_return) = (0, Vec::new());
    for _ in 0..marshals {
        let (mut at, mut failures) = (0.0, 0);
        while at < 60.0 {
            asked += 1;
            at += connect + 0.2 * f64::from(1u32 << u32::min(failures, 4)) * rng.random_range(0.1..=1.0);
            failures += 1;
        }
        after_return.push(Duration::from_secs_f64(at));
    }
    after_return.sort();
    [f64::from(asked) / 60.0, max_within(&after_return, SECOND) as f64]
}

fn megabytes(bytes: f64) -> String {
    short(bytes / 1e6)
}

fn watch_table() -> Table {
    let title = "At the node list, messages as the wire writes them; one answer for each list that changed, and one for each change";
    let head = [
        "what happens",
        "who watches",
        "lists changed",
        "answers at least",
        "MB",
        "answers at most",
        "MB",
        "to one marshal MB",
    ];
    let mut table = Table::new(title, &head);
    let zone_nodes = NODES as f64 / ZONES as f64;
    let left = 1.0 - 1.0 / ZONES as f64;
    for layout in layouts() {
        let list_bytes = list::write(&core_harness::node_list(layout.nodes)).len() as f64;
        let lists = if layout.nodes == NODES { 1.0 } else { SERVICE_COUNT as f64 };
        // `share`: share of the marshals that receive the change.
        let mut row = |what: &str, changed: f64, changes: f64, share: f64| {
            let watchers = layout.watchers * share;
            let (least, most) = (changed * watchers, changes * watchers);
            table.row([
                what.to_owned(),
                layout.name.to_owned(),
                whole(changed),
                whole(least),
                megabytes(least * list_bytes),
                whole(most),
                megabytes(most * list_bytes),
                megabytes(least * list_bytes / MARSHAL_COUNT as f64 / share),
            ]);
        };
        // If its nodes are placed in random zones, a list has no node in the lost zone with this probability.
        let touched = lists * (1.0 - left.powf(layout.nodes as f64));
        row("a zone is lost within 1 s, seen by the others", touched, zone_nodes, left);
        row("it returns within 1 s", touched, zone_nodes, 1.0);
        let minute = CHANGES_PER_DAY / 1440.0 * PEAK_FACTOR;
        row("a peak minute: changes, in 60 s", minute.min(lists), minute, 1.0);
        row("an ordinary day: 7,700 nodes go and come", 2.0 * 7_700.0, 2.0 * 7_700.0, 1.0);
        row("all marshals start within 60 s", lists, lists, 1.0);
        row("a region's marshals return after an hour", lists, lists, 1.0 / REGIONS as f64);
    }
    table.note(format!("A peak minute has {PEAK_FACTOR:.0} times the mean of a day's {CHANGES_PER_DAY:.0} changes. At least: all changes of a list within the span in one answer; at most: one answer each, which no marshal can take where lists are long. To one marshal: at least, to each that it reaches."));
    table.note(format!("The wire takes lists of {} nodes and {} bytes at most: one of {NODES} nodes, {} bytes, is refused whole today.", whole(list::MAX_LIST_NODES as f64), whole(list::MAX_LIST_BYTES as f64), whole(list::write(&core_harness::node_list(NODES)).len() as f64)));
    table
}

/// Measures the message sizes and the bursts.
///
/// # Errors
/// If the config is invalid.
pub fn run(plan: &Plan) -> Result<Vec<Table>, Error> {
    let sizes = message_sizes();
    let mut messages = Table::new("Messages of list and desk", &["message", "bytes"]);
    for (name, bytes) in [
        ("question to the list", sizes.list_request),
        (
            "a list's answer, body, for each node of 1,000",
            list::write(&core_harness::node_list(1000)).len() / 1000,
        ),
        ("question to the desk", sizes.news_request),
        ("its news, body", sizes.news),
        ("a vote", sizes.vote),
        ("its answer, body", sizes.vote_answer),
    ] {
        messages.row([name.to_owned(), whole(bytes as f64)]);
    }
    let title = "At list and desk while they are away, and on their return; shipped modules ask the list, one list each";
    let head = [
        "marshals cut off",
        "list: questions/s away",
        "most in 1 s",
        "on return: most in 0.1 s",
        "in 1 s",
        "all told after s",
        "desk refuses: questions/s away",
        "return: most in 1 s",
        "desk silent: questions/s away",
        "return: most in 1 s",
    ];
    let mut away = Table::new(title, &head);
    for size in plan.sizes_or(&[MARSHAL_COUNT / REGIONS, MARSHAL_COUNT]) {
        let out = outage(size, 1)?;
        let (refused, silent) = (controller_outage(size, 0.0, 1), controller_outage(size, 1.0, 1));
        away.row([
            whole(size as f64),
            short(out.rate),
            whole(out.max_per_second as f64),
            whole(out.max_per_tenth as f64),
            whole(out.max_per_second_after as f64),
            short(out.last_request_s),
            short(refused[0]),
            whole(refused[1]),
            short(silent[0]),
            whole(silent[1]),
        ]);
    }
    away.note("A minute away stands for an hour: waits grow to their longest within seconds. The desk's waits are drawn here by the edge's rule; a silent desk costs 1 s of connecting each time.");
    let title = "At list and desk when all marshals start within 60 s";
    let head = [
        "who watches",
        "starts/s",
        "list: questions/s",
        "MB/s",
        "connections to it",
        "desk: questions/s",
        "kB/s",
    ];
    let mut starts = Table::new(title, &head);
    let starts_per_s = MARSHAL_COUNT as f64 / 60.0;
    for layout in layouts() {
        let list_bytes = list::write(&core_harness::node_list(layout.nodes)).len() as f64;
        let questions = starts_per_s * layout.lists;
        starts.row([
            layout.name.to_owned(),
            short(starts_per_s),
            whole(questions),
            megabytes(questions * (list_bytes + sizes.list_request as f64)),
            whole(MARSHAL_COUNT as f64 * layout.lists),
            whole(questions),
            short(questions * (sizes.news + sizes.news_request) as f64 / 1000.0),
        ]);
    }
    starts.note("One connection and one question held for each list and desk watched, as the shell asks today; a service has a desk of its own.");
    Ok(vec![messages, watch_table(), away, starts])
}
