//! Measures the subjects alternately and prints their ratios.

use std::io;
use std::process::Command;

use serde_json::{json, Value};

use crate::child::ChildProcess;

/// Parameters of a comparison.
pub struct Plan {
    pub nodes: usize,
    pub connections: usize,
    pub seconds: f64,
    pub rounds: usize,
    pub json: bool,
}

fn run_load(to: &[String], plan: &Plan, rate: Option<f64>) -> io::Result<Value> {
    let mut command = Command::new(std::env::current_exe()?);
    command.arg("load").args(["--connections", &plan.connections.to_string()]);
    command.args(["--seconds", &plan.seconds.to_string()]);
    if let Some(rate) = rate {
        command.args(["--rate", &rate.to_string()]);
    }
    let out = command.args(to).output()?;
    serde_json::from_slice(&out.stdout).map_err(io::Error::other)
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

const SUBJECTS: [&str; 4] = ["direct", "relay", "hyper", "edge"];

/// Measures throughput and latency of all subjects and prints a table or JSON.
///
/// # Errors
/// If a process can't be started or prints no result.
pub fn compare(plan: &Plan) -> io::Result<()> {
    let (_nodes, addrs) =
        ChildProcess::listening(&["node".into(), "--ports".into(), plan.nodes.to_string()])?;
    let (node_list, nodes) = (addrs[0].clone(), addrs[1..].to_vec());
    let start_subject = |name: &str| -> io::Result<(Option<ChildProcess>, Vec<String>)> {
        if name == "direct" {
            return Ok((None, nodes.clone()));
        }
        let towards = if name == "edge" { vec![node_list.clone()] } else { nodes.clone() };
        let (child, edge_addrs) = ChildProcess::listening(&[vec![name.to_owned()], towards].concat())?;
        Ok((Some(child), edge_addrs))
    };
    let mut rates = vec![Vec::new(); SUBJECTS.len()];
    let mut bad = vec![0.0; SUBJECTS.len()];
    for _ in 0..plan.rounds {
        for (i, name) in SUBJECTS.iter().enumerate() {
            let (_part, to) = start_subject(name)?;
            let report = run_load(&to, plan, None)?;
            rates[i].push(report["per_s"].as_f64().unwrap_or(0.0));
            bad[i] += report["bad"].as_f64().unwrap_or(0.0);
        }
    }
    let rates: Vec<f64> = rates.into_iter().map(median).collect();
    let half = rates[3] / 2.0;
    let mut latencies = vec![[const { Vec::new() }; 3]; SUBJECTS.len()];
    for _ in 0..plan.rounds {
        for (i, name) in SUBJECTS.iter().enumerate() {
            let (_part, to) = start_subject(name)?;
            let report = run_load(&to, plan, Some(half))?;
            for (latency, key) in latencies[i].iter_mut().zip(["p50_us", "p99_us", "p999_us"]) {
                latency.push(report[key].as_f64().unwrap_or(f64::NAN));
            }
        }
    }
    let latencies: Vec<[f64; 3]> = latencies.into_iter().map(|l| l.map(median)).collect();
    if plan.json {
        let subject_json = |i: usize| json!({ "subject": SUBJECTS[i], "per_s": rates[i], "bad": bad[i], "at_half_us": latencies[i] });
        let subjects: Vec<Value> = (0..SUBJECTS.len()).map(subject_json).collect();
        println!("{}", json!({ "nodes": plan.nodes, "half_load_per_s": half, "subjects": subjects }));
        return Ok(());
    }
    println!(
        "{} nodes, {} connections, medians of {} rounds of {} s; latencies open loop at {half:.0} RPCs a second\n",
        plan.nodes, plan.connections, plan.rounds, plan.seconds
    );
    println!(
        "{:>7} {:>10} {:>9} {:>10} {:>6} {:>10} {:>10} {:>10}",
        "subject", "RPCs/s", "of direct", "of relay", "bad", "p50 us", "p99 us", "p99.9 us"
    );
    for (i, name) in SUBJECTS.iter().enumerate() {
        println!(
            "{name:>7} {:>10.0} {:>9.2} {:>10.2} {:>6} {:>10.0} {:>10.0} {:>10.0}",
            rates[i],
            rates[i] / rates[0],
            rates[i] / rates[1],
            bad[i],
            latencies[i][0],
            latencies[i][1],
            latencies[i][2]
        );
    }
    let added = |q: usize| latencies[3][q] - latencies[0][q];
    println!(
        "\nthe edge adds {:.0} us at p50, {:.0} us at p99, {:.0} us at p99.9; it does {:.2} of the relay, {:.2} of hyper",
        added(0),
        added(1),
        added(2),
        rates[3] / rates[1],
        rates[3] / rates[2]
    );
    Ok(())
}

/// Measures the memory of an edge per client connection: unused, idle and busy.
///
/// # Errors
/// If a process can't be started or a connection fails.
pub fn idle(connections: usize) -> io::Result<()> {
    let (_nodes, addrs) = ChildProcess::listening(&["node".into(), "--ports".into(), "16".into()])?;
    let (edge, edge_addrs) = ChildProcess::listening(&["edge".into(), addrs[0].clone()])?;
    // The load lets the runtime and the connection pool to the nodes reach their size before the first
    // reading.
    let plan = |connections| Plan { nodes: 16, connections, seconds: 2.0, rounds: 1, json: false };
    run_load(&edge_addrs, &plan(64), None)?;
    let before = edge.resident()?;
    let mut streams = Vec::new();
    for _ in 0..connections {
        streams.push(std::net::TcpStream::connect(&edge_addrs[0])?);
    }
    std::thread::sleep(std::time::Duration::from_millis(500));
    let unused = edge.resident()?;
    for stream in &mut streams {
        use std::io::{Read, Write};
        stream.write_all(b"POST /calendar-read HTTP/1.1\r\nHost: m\r\nContent-Length: 1\r\n\r\nx")?;
        let mut chunk = [0; 1024];
        let mut sum = stream.read(&mut chunk)?;
        while !chunk[..sum].ends_with(&[b'x'; 100]) {
            sum += stream.read(&mut chunk[sum..])?;
        }
    }
    let used = edge.resident()?;
    // All connections now have an RPC in flight: the nodes don't answer before its deadline.
    for stream in &mut streams {
        use std::io::Write;
        let rpc = b"POST /calendar-read HTTP/1.1\r\nHost: m\r\nX-Hold: 1\r\nContent-Length: 1\r\n\r\nx";
        stream.write_all(rpc)?;
    }
    std::thread::sleep(std::time::Duration::from_millis(300));
    let busy = edge.resident()?;
    // A connection that already has an answer had its RPC rejected.
    for stream in &streams {
        stream.set_nonblocking(true)?;
    }
    let waiting = streams.iter().filter(|stream| stream.peek(&mut [0]).is_err()).count();
    let kib_per_connection = |now: f64| (now - before) / connections as f64;
    println!(
        "{connections} connections: {:.1} KiB each when never used, {:.1} KiB each when idle after an RPC, {:.1} KiB each when {waiting} of them wait for an answer (before: {before} KiB)",
        kib_per_connection(unused),
        kib_per_connection(used),
        kib_per_connection(busy)
    );
    drop(streams);
    Ok(())
}
