//! `ivydrift-measure`: ratios within one run on one machine. Nodes, subject and load are processes of their own,
//! each with one thread that works; subjects are measured in turns, several times.
#![forbid(unsafe_code)]

mod apps;
mod client;
mod compare;
mod load;
mod node;
mod part;
mod plot;
mod restart;
mod subjects;
mod sum;

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use ivydrift_measure::scale;

/// Measures the edge on loopback.
///
/// Exit codes: 0 measured; 1 could not be measured; 2 the command is wrong.
#[derive(Parser)]
#[command(
    version,
    after_help = "Examples:\n  ivydrift-measure compare                 throughput and latency beside three others\n  \
                  ivydrift-measure compare --nodes 300     the same with 300 listed nodes\n  \
                  ivydrift-measure idle --connections 2000 memory of idle and busy connections\n  \
                  ivydrift-measure restart --svg back.svg  20,000 clients come back after a restart\n  \
                  ivydrift-measure overload                1.5 times what the nodes can do\n  \
                  ivydrift-measure scale nodes --svg n.svg one marshal's core by nodes known"
)]
struct Measure {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Throughput (closed loop) and latency at half of it (open loop) of direct, relay, hyper and edge
    Compare {
        #[arg(long, default_value_t = 16)]
        nodes: usize,
        #[arg(long, default_value_t = 64)]
        connections: usize,
        /// Seconds of each measurement
        #[arg(long, default_value_t = 4.0)]
        seconds: f64,
        #[arg(long, default_value_t = 3)]
        rounds: usize,
        #[arg(long)]
        json: bool,
    },
    /// Memory of an edge with idle and with busy client connections
    Idle {
        #[arg(long, default_value_t = 2000)]
        connections: usize,
    },
    /// What the client library costs: time of a call, memory of an app that rests
    Client {
        #[arg(long, default_value_t = 5000)]
        clients: usize,
        #[arg(long)]
        json: bool,
    },
    /// 20,000 clients, one marshal of three restarted: reconnects and goodput of the client library beside others
    Restart(restart::Restart),
    /// More asked than the nodes can do: goodput and tries of the client library beside others
    Overload(restart::Overload),
    /// What grows with the size of the fleet, on the shipped cores, one subject at a time
    Scale(scale::Scale),
    /// A part of a measurement: many clients in one process
    #[command(hide = true)]
    Apps(apps::Apps),
    /// A part of a measurement: answers on many ports, and is node list and desk
    #[command(hide = true)]
    Node {
        #[arg(long)]
        ports: usize,
        /// Each port does one RPC at a time, for so long
        #[arg(long, default_value_t = 0)]
        work_ms: u64,
    },
    /// A part of a measurement: forwards to nodes in turn, on may
    #[command(hide = true)]
    Relay { nodes: Vec<SocketAddr> },
    /// A part of a measurement: forwards to nodes in turn, on hyper
    #[command(hide = true)]
    Hyper { nodes: Vec<SocketAddr> },
    /// A part of a measurement: an edge
    #[command(hide = true)]
    Edge {
        towards: SocketAddr,
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
    },
    /// A part of a measurement: a marshal by its terms
    #[command(hide = true)]
    Marshal(ivydrift_edge::command::EdgeCommand),
    /// A part of a measurement: load from one process
    #[command(hide = true)]
    Load {
        to: Vec<SocketAddr>,
        #[arg(long)]
        connections: usize,
        #[arg(long)]
        seconds: f64,
        /// RPCs a second, open loop; without it closed loop
        #[arg(long)]
        rate: Option<f64>,
    },
}

fn main() -> ExitCode {
    let done = match Measure::parse().command {
        Command::Compare { nodes, connections, seconds, rounds, json } => {
            compare::compare(&compare::Plan { nodes, connections, seconds, rounds, json })
        }
        Command::Idle { connections } => compare::idle(connections),
        Command::Client { clients, json } => client::run(clients, json),
        Command::Restart(plan) => restart::restart(&plan),
        Command::Overload(plan) => restart::overload(&plan),
        Command::Scale(plan) => scale::scale(&plan).map_err(std::io::Error::other),
        Command::Apps(apps) => apps::run(&apps),
        Command::Node { ports, work_ms } => node::run(ports, work_ms),
        Command::Relay { nodes } => subjects::relay(nodes),
        Command::Hyper { nodes } => subjects::hyper(nodes),
        Command::Edge { towards, listen } => subjects::edge(towards, listen),
        Command::Marshal(edge) => return edge.run(),
        Command::Load { to, connections, seconds, rate } => load::run(&to, connections, seconds, rate),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("ivydrift-measure: {e}");
            ExitCode::FAILURE
        }
    }
}
