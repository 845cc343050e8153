//! `ivydrift-measure` compares subjects as ratios within one run on one machine. The nodes, the subject and
//! the load generator are separate processes with one worker thread each; the subjects are measured
//! alternately over several rounds.
#![forbid(unsafe_code)]

mod apps;
mod child;
mod client;
mod compare;
mod load;
mod node;
mod plot;
mod restart;
mod subjects;
mod summary;

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
    after_help = "Examples:\n  ivydrift-measure compare                 throughput and latency compared with three baselines\n  \
                  ivydrift-measure compare --nodes 300     the same with 300 listed nodes\n  \
                  ivydrift-measure idle --connections 2000 memory of idle and busy connections\n  \
                  ivydrift-measure restart --svg back.svg  20,000 clients reconnect after a restart\n  \
                  ivydrift-measure overload                1.5 times the capacity of the nodes\n  \
                  ivydrift-measure scale nodes --svg n.svg one marshal's core by number of known nodes"
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
    /// Cost of the client library: time per call, memory of an idle app
    Client {
        #[arg(long, default_value_t = 5000)]
        clients: usize,
        #[arg(long)]
        json: bool,
    },
    /// 20,000 clients, one of three marshals restarted: reconnects and goodput of the client library and
    /// others
    Restart(restart::Restart),
    /// Offered load beyond the capacity of the nodes: goodput and attempts of the client library and others
    Overload(restart::Overload),
    /// Costs that grow with the size of the fleet, on the shipped cores, one subject at a time
    Scale(scale::Scale),
    /// Child process of a measurement: many clients in one process
    #[command(hide = true)]
    Apps(apps::Apps),
    /// Child process of a measurement: answers on many ports and serves as node list and rollout controller
    #[command(hide = true)]
    Node {
        #[arg(long)]
        ports: usize,
        /// Each port processes one RPC at a time, for this many milliseconds
        #[arg(long, default_value_t = 0)]
        work_ms: u64,
    },
    /// Child process of a measurement: forwards to the nodes round-robin, on may
    #[command(hide = true)]
    Relay { nodes: Vec<SocketAddr> },
    /// Child process of a measurement: forwards to the nodes round-robin, on hyper
    #[command(hide = true)]
    Hyper { nodes: Vec<SocketAddr> },
    /// Child process of a measurement: an edge
    #[command(hide = true)]
    Edge {
        towards: SocketAddr,
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
    },
    /// Child process of a measurement: a marshal started from its config file
    #[command(hide = true)]
    Marshal(ivydrift_edge::command::EdgeCommand),
    /// Child process of a measurement: generates load
    #[command(hide = true)]
    Load {
        to: Vec<SocketAddr>,
        #[arg(long)]
        connections: usize,
        #[arg(long)]
        seconds: f64,
        /// RPCs per second, open loop; closed loop if omitted
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
