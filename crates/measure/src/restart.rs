//! Kills one of three marshals while many clients hold connections, restarts it, and measures how the clients
//! return with and without the client library. Also runs the same clients against nodes whose capacity is
//! below the offered load.

use std::io::{self, Write};
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use clap::Args;
use serde_json::{json, Value};

use crate::apps::Manner;
use crate::part::Part;
use crate::plot;
use crate::sum::{add, numbers, Sum, KILLED};

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

struct Setting {
    clients: usize,
    processes: usize,
    rate: f64,
    seconds: f64,
    ramp: f64,
    warm: bool,
    nodes: usize,
    work_ms: u64,
    /// Seconds for which the first marshal is down, from [`KILLED`]; `None`: it isn't killed.
    away: Option<f64>,
}

fn play(manner: Manner, s: &Setting) -> io::Result<Sum> {
    let text = |n: usize| n.to_string();
    let work = s.work_ms.to_string();
    let (_nodes, addrs) =
        Part::listening(&["node".into(), "--ports".into(), text(s.nodes), "--work-ms".into(), work])?;
    let town = addrs[0].clone();
    let edge =
        |listen: &str| Part::listening(&["edge".into(), town.clone(), "--listen".into(), listen.into()]);
    let mut edges = (0..3).map(|_| edge("127.0.0.1:0")).collect::<io::Result<Vec<_>>>()?;
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let until_zero = Duration::from_secs_f64(s.ramp + 2.0);
    let zero = Instant::now() + until_zero;
    let zero_ms = (unix + until_zero).as_millis().to_string();
    let mut parts = Vec::new();
    for process in 0..s.processes {
        let apps = s.clients / s.processes + usize::from(process < s.clients % s.processes);
        let rate = s.rate * apps as f64 / s.clients as f64;
        let mut args: Vec<String> =
            ["apps", "--manner", manner.word(), "--zero-ms", &zero_ms].map(str::to_owned).to_vec();
        args.extend(["--apps".to_owned(), text(apps), "--rate".to_owned(), rate.to_string()]);
        args.extend(["--seconds".to_owned(), s.seconds.to_string(), "--ramp".to_owned(), s.ramp.to_string()]);
        args.extend(["--first".to_owned(), text(process * 100_000_000)]);
        args.extend(s.warm.then(|| "--warm".to_owned()));
        args.extend(edges.iter().map(|e| e.1[0].clone()));
        parts.push(Part::start(&args)?);
    }
    let sleep = |at: f64| {
        let wait = (zero + Duration::from_secs_f64(at)).saturating_duration_since(Instant::now());
        std::thread::sleep(wait);
    };
    if let Some(away) = s.away {
        sleep(KILLED);
        let (killed, at) = edges.remove(0);
        drop(killed);
        sleep(KILLED + away);
        edges.push(edge(&at[0])?);
    }
    let mut sum = Sum {
        manner,
        connects: vec![],
        asked: vec![],
        ok: vec![],
        ends: vec![],
        tries: 0,
        late: 0,
        unfinished: 0,
        p99_ms: 0.0,
        runs: 0,
        twice: 0,
    };
    for part in parts {
        let got: Value = serde_json::from_str(&part.finish()?).map_err(io::Error::other)?;
        add(&mut sum.connects, &numbers(&got["connects"]));
        add(&mut sum.asked, &numbers(&got["asked"]));
        add(&mut sum.ok, &numbers(&got["ok"]));
        add(&mut sum.ends, &numbers(&got["ends"]));
        sum.tries += got["tries"].as_u64().unwrap_or(0);
        sum.late += got["late"].as_u64().unwrap_or(0);
        sum.unfinished += got["unfinished"].as_u64().unwrap_or(0);
        // Quantiles can't be added, so this is the worst of the processes.
        sum.p99_ms = sum.p99_ms.max(got["p99_ms"].as_f64().unwrap_or(0.0));
    }
    let counted = crate::node::counted(&town)?;
    (sum.runs, sum.twice) = (counted.0, counted.1);
    Ok(sum)
}

/// Measures the restart of a marshal for each manner and prints a table or JSON.
///
/// # Errors
/// If a process can't be started or a file can't be written.
pub fn restart(plan: &Restart) -> io::Result<()> {
    let setting = Setting {
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
    let sums = manners.iter().map(|m| play(*m, &setting)).collect::<io::Result<Vec<_>>>()?;
    if let Some(file) = &plan.csv {
        let mut out = io::BufWriter::new(std::fs::File::create(file)?);
        writeln!(out, "manner,seconds,handshakes,asked,ok")?;
        for sum in &sums {
            for (i, connects) in sum.connects.iter().enumerate() {
                let at = i as f64 / 10.0;
                writeln!(out, "{},{at:.1},{connects},{},{}", sum.manner.word(), sum.asked[i], sum.ok[i])?;
            }
        }
        out.flush()?;
    }
    if let Some(file) = &plan.svg {
        plot::draw(file, &sums, KILLED, KILLED + plan.away).map_err(io::Error::other)?;
    }
    if plan.json {
        let one = |sum: &Sum| {
            let (mut value, back) = (sum.json(), sum.back());
            value["handshakes"] =
                json!({ "all": back.all, "peak": back.peak, "mean": back.mean, "took_s": back.took });
            value["recovered_s"] = json!(back.recovered);
            value
        };
        println!("{}", json!({ "clients": plan.clients, "runs": sums.iter().map(one).collect::<Vec<_>>() }));
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
    for sum in &sums {
        let back = sum.back();
        let recovered = back.recovered.map_or("never".to_owned(), |s| format!("{s:.1} s"));
        println!(
            "{:>9} {:>10} {:>10} {:>10.2} {:>6.1} s {:>9} {:>7} {:>7} {:>8} {:>6} {:>6}",
            sum.manner.word(),
            back.all,
            back.peak,
            back.peak as f64 / back.mean.max(1e-9),
            back.took,
            recovered,
            sum.calls(),
            sum.ends[0],
            sum.ends[3],
            sum.late + sum.unfinished,
            sum.twice
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
    const WORK_MS: u64 = 20;
    let capacity = NODES as f64 * 1000.0 / WORK_MS as f64;
    let setting = Setting {
        clients: plan.clients,
        processes: 1,
        rate: capacity * plan.times,
        seconds: plan.seconds,
        ramp: 3.0,
        warm: false,
        nodes: NODES,
        work_ms: WORK_MS,
        away: None,
    };
    let sums = MANNERS.iter().map(|m| play(*m, &setting)).collect::<io::Result<Vec<_>>>()?;
    if plan.json {
        let all: Vec<Value> = sums.iter().map(Sum::json).collect();
        println!("{}", json!({ "capacity_per_s": capacity, "asked_per_s": setting.rate, "runs": all }));
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
    for sum in &sums {
        let (calls, ok) = (sum.calls() as f64, sum.ends[0] as f64);
        println!(
            "{:>9} {:>7} {:>9} {:>11.2} {:>11.2} {:>10.2} {:>8.0} {:>6}",
            sum.manner.word(),
            calls,
            ok,
            ok / plan.seconds / capacity,
            // Attempts made before time zero count too; they are few compared with the rest.
            sum.tries as f64 / calls,
            sum.runs as f64 / ok,
            sum.p99_ms,
            sum.twice
        );
    }
    Ok(())
}
