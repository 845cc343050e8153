//! Kills one of three marshals while many clients hold connections, restarts it, and measures how the clients
//! return with and without the client library. Also runs the same clients against nodes whose capacity is
//! below the offered load.

use std::io::{self, Write};
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use clap::Args;
use serde_json::{json, Value};

use crate::apps::Manner;
use crate::child::ChildProcess;
use crate::plot;
use crate::summary::{add_elementwise, integers, Summary, KILLED_AT_S};

const MANNERS: [Manner; 3] = [Manner::Library, Manner::Doubling, Manner::Naive];

#[derive(Args)]
pub struct Restart {
    #[arg(long, default_value_t = 20_000)]
    pub clients: usize,
    /// Number of processes the clients are divided over
    #[arg(long, default_value_t = 4)]
    pub processes: usize,
    /// Calls per second of all clients together
    #[arg(long, default_value_t = 1500.0)]
    pub rate: f64,
    /// Seconds from time zero; the marshal is killed at 5 s
    #[arg(long, default_value_t = 30.0)]
    pub seconds: f64,
    /// Seconds until the marshal is restarted
    #[arg(long, default_value_t = 2.0)]
    pub away: f64,
    /// Measure only these manners; all three if omitted
    #[arg(long, value_enum)]
    pub manner: Vec<Manner>,
    /// Write the counts of each tenth of a second as CSV
    #[arg(long, value_name = "FILE")]
    pub csv: Option<PathBuf>,
    /// Draw these counts as SVG
    #[arg(long, value_name = "FILE")]
    pub svg: Option<PathBuf>,
    #[arg(long)]
    pub json: bool,
}

#[derive(Args)]
pub struct Overload {
    #[arg(long, default_value_t = 200)]
    pub clients: usize,
    /// Offered load as a multiple of the nodes' capacity
    #[arg(long, default_value_t = 1.5)]
    pub times: f64,
    #[arg(long, default_value_t = 12.0)]
    pub seconds: f64,
    #[arg(long)]
    pub json: bool,
}

struct Scenario {
    clients: usize,
    processes: usize,
    rate: f64,
    seconds: f64,
    ramp: f64,
    warm: bool,
    nodes: usize,
    work_ms: u64,
    /// Seconds for which the first marshal is down, from [`KILLED_AT_S`]; `None`: it isn't killed.
    away: Option<f64>,
}

fn run_scenario(manner: Manner, s: &Scenario) -> io::Result<Summary> {
    let text = |n: usize| n.to_string();
    let work = s.work_ms.to_string();
    let (_nodes, addrs) =
        ChildProcess::listening(&["node".into(), "--ports".into(), text(s.nodes), "--work-ms".into(), work])?;
    let node_list = addrs[0].clone();
    let edge = |listen: &str| {
        ChildProcess::listening(&["edge".into(), node_list.clone(), "--listen".into(), listen.into()])
    };
    let mut edges = (0..3).map(|_| edge("127.0.0.1:0")).collect::<io::Result<Vec<_>>>()?;
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let until_zero = Duration::from_secs_f64(s.ramp + 2.0);
    let time_zero = Instant::now() + until_zero;
    let zero_ms = (unix + until_zero).as_millis().to_string();
    let mut children = Vec::new();
    for process in 0..s.processes {
        let apps = s.clients / s.processes + usize::from(process < s.clients % s.processes);
        let rate = s.rate * apps as f64 / s.clients as f64;
        let mut args: Vec<String> =
            ["apps", "--manner", manner.name(), "--zero-ms", &zero_ms].map(str::to_owned).to_vec();
        args.extend(["--apps".to_owned(), text(apps), "--rate".to_owned(), rate.to_string()]);
        args.extend(["--seconds".to_owned(), s.seconds.to_string(), "--ramp".to_owned(), s.ramp.to_string()]);
        args.extend(["--first".to_owned(), text(process * 100_000_000)]);
        args.extend(s.warm.then(|| "--warm".to_owned()));
        args.extend(edges.iter().map(|e| e.1[0].clone()));
        children.push(ChildProcess::start(&args)?);
    }
    let sleep = |at: f64| {
        let wait = (time_zero + Duration::from_secs_f64(at)).saturating_duration_since(Instant::now());
        std::thread::sleep(wait);
    };
    if let Some(away) = s.away {
        sleep(KILLED_AT_S);
        let (killed, at) = edges.remove(0);
        drop(killed);
        sleep(KILLED_AT_S + away);
        edges.push(edge(&at[0])?);
    }
    let mut summary = Summary {
        manner,
        connects: vec![],
        offered: vec![],
        ok: vec![],
        results: vec![],
        attempts: 0,
        late: 0,
        unfinished: 0,
        p99_ms: 0.0,
        rpcs_run: 0,
        bookings_repeated: 0,
    };
    for child in children {
        let report: Value = serde_json::from_str(&child.finish()?).map_err(io::Error::other)?;
        add_elementwise(&mut summary.connects, &integers(&report["connects"]));
        add_elementwise(&mut summary.offered, &integers(&report["asked"]));
        add_elementwise(&mut summary.ok, &integers(&report["ok"]));
        add_elementwise(&mut summary.results, &integers(&report["ends"]));
        summary.attempts += report["tries"].as_u64().unwrap_or(0);
        summary.late += report["late"].as_u64().unwrap_or(0);
        summary.unfinished += report["unfinished"].as_u64().unwrap_or(0);
        // Quantiles can't be added, so this is the worst of the processes.
        summary.p99_ms = summary.p99_ms.max(report["p99_ms"].as_f64().unwrap_or(0.0));
    }
    let counters = crate::node::fetch_counters(&node_list)?;
    (summary.rpcs_run, summary.bookings_repeated) = (counters.0, counters.1);
    Ok(summary)
}

/// Measures the restart of a marshal for each manner and prints a table or JSON.
///
/// # Errors
/// If a process can't be started or a file can't be written.
pub fn restart(plan: &Restart) -> io::Result<()> {
    let scenario = Scenario {
        clients: plan.clients,
        processes: plan.processes,
        rate: plan.rate,
        seconds: plan.seconds,
        ramp: plan.clients as f64 / 1500.0,
        warm: true,
        nodes: 16,
        work_ms: 0,
        away: Some(plan.away),
    };
    let manners = if plan.manner.is_empty() { &MANNERS[..] } else { &plan.manner };
    let summaries = manners.iter().map(|m| run_scenario(*m, &scenario)).collect::<io::Result<Vec<_>>>()?;
    if let Some(file) = &plan.csv {
        let mut out = io::BufWriter::new(std::fs::File::create(file)?);
        writeln!(out, "manner,seconds,handshakes,asked,ok")?;
        for summary in &summaries {
            for (i, connects) in summary.connects.iter().enumerate() {
                let at = i as f64 / 10.0;
                writeln!(
                    out,
                    "{},{at:.1},{connects},{},{}",
                    summary.manner.name(),
                    summary.offered[i],
                    summary.ok[i]
                )?;
            }
        }
        out.flush()?;
    }
    if let Some(file) = &plan.svg {
        plot::draw(file, &summaries, KILLED_AT_S, KILLED_AT_S + plan.away).map_err(io::Error::other)?;
    }
    if plan.json {
        let summary_json = |summary: &Summary| {
            let (mut value, reconnects) = (summary.json(), summary.reconnects());
            value["handshakes"] = json!({ "all": reconnects.total, "peak": reconnects.peak, "mean": reconnects.mean, "took_s": reconnects.took_s });
            value["recovered_s"] = json!(reconnects.recovered_s);
            value
        };
        println!(
            "{}",
            json!({ "clients": plan.clients, "runs": summaries.iter().map(summary_json).collect::<Vec<_>>() })
        );
        return Ok(());
    }
    println!(
        "{} clients in {} processes, {} calls a second; one marshal of three killed at 5 s, away {} s\n",
        plan.clients, plan.processes, plan.rate, plan.away
    );
    println!(
        "{:>9} {:>10} {:>10} {:>10} {:>8} {:>9} {:>7} {:>7} {:>8} {:>6} {:>6}",
        "manner",
        "handshakes",
        "peak/0.1s",
        "peak/mean",
        "95% in",
        "goodput",
        "calls",
        "ok",
        "unknown",
        "late",
        "twice"
    );
    for summary in &summaries {
        let reconnects = summary.reconnects();
        let recovered = reconnects.recovered_s.map_or("never".to_owned(), |s| format!("{s:.1} s"));
        println!(
            "{:>9} {:>10} {:>10} {:>10.2} {:>6.1} s {:>9} {:>7} {:>7} {:>8} {:>6} {:>6}",
            summary.manner.name(),
            reconnects.total,
            reconnects.peak,
            reconnects.peak as f64 / reconnects.mean.max(1e-9),
            reconnects.took_s,
            recovered,
            summary.calls(),
            summary.results[0],
            summary.results[3],
            summary.late + summary.unfinished,
            summary.bookings_repeated
        );
    }
    println!(
        "\n95% in: until 95% of the handshakes after the kill had begun; the mean is that of those tenths."
    );
    println!(
        "goodput: from the kill until a second with 90% of the ok answers before it. late: after its time."
    );
    Ok(())
}

/// Measures offered load beyond capacity for each manner and prints a table or JSON.
///
/// # Errors
/// If a process can't be started.
pub fn overload(plan: &Overload) -> io::Result<()> {
    const NODES: usize = 8;
    const SERVICE_TIME_MS: u64 = 20;
    let capacity = NODES as f64 * 1000.0 / SERVICE_TIME_MS as f64;
    let scenario = Scenario {
        clients: plan.clients,
        processes: 1,
        rate: capacity * plan.times,
        seconds: plan.seconds,
        ramp: 3.0,
        warm: false,
        nodes: NODES,
        work_ms: SERVICE_TIME_MS,
        away: None,
    };
    let summaries = MANNERS.iter().map(|m| run_scenario(*m, &scenario)).collect::<io::Result<Vec<_>>>()?;
    if plan.json {
        let runs: Vec<Value> = summaries.iter().map(Summary::json).collect();
        println!("{}", json!({ "capacity_per_s": capacity, "asked_per_s": scenario.rate, "runs": runs }));
        return Ok(());
    }
    println!(
        "{} clients ask {:.1} times what {NODES} nodes can do ({capacity:.0} a second)\n",
        plan.clients, plan.times
    );
    println!(
        "{:>9} {:>7} {:>9} {:>11} {:>11} {:>10} {:>8} {:>6}",
        "manner", "calls", "ok", "of capacity", "tries/call", "runs/ok", "p99 ms", "twice"
    );
    for summary in &summaries {
        let (calls, ok) = (summary.calls() as f64, summary.results[0] as f64);
        println!(
            "{:>9} {:>7} {:>9} {:>11.2} {:>11.2} {:>10.2} {:>8.0} {:>6}",
            summary.manner.name(),
            calls,
            ok,
            ok / plan.seconds / capacity,
            // Attempts made before time zero count too; they are few compared with the rest.
            summary.attempts as f64 / calls,
            summary.rpcs_run as f64 / ok,
            summary.p99_ms,
            summary.bookings_repeated
        );
    }
    Ok(())
}
