//! `ivydrift`: the command line.
#![forbid(unsafe_code)]

mod audit;
mod day;
mod peers;
mod processes;
mod result;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Rollouts of new builds on live traffic: the rollout controller's marshal, simulated services for it, and
/// checks
#[derive(Parser)]
#[command(
    version,
    after_help = "Examples:\n  ivydrift day                      run the built-in day of faults, about a minute\n  \
                  ivydrift day --sim --seed 9       simulate the same in virtual time\n  \
                  ivydrift check edge.hcl           validate a marshal's config file\n  \
                  ivydrift audit day/trace.jsonl    check a recorded trace against the five rules"
)]
struct Ivydrift {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a scripted day of faults: marshals as processes, with simulated nodes, node list, rollout controller
    /// and clients, all on loopback
    ///
    /// Exit codes: 0 every rule was kept and every RPC had one answer; 1 otherwise; 2 the command or the script
    /// is invalid; 3 the day could not be run.
    Day(day::DayCommand),
    /// Run a day file of the operators' bench with real marshals
    ///
    /// Lists what could not be converted. Exit codes as for day.
    BenchDay(day::BenchDayCommand),
    /// Validate a marshal's config file, or a day's script
    ///
    /// Exit codes: 0 valid; 2 invalid, with each error on a line with file, line and column.
    Check {
        /// Config file of a marshal; or a day's script, with --day
        file: PathBuf,
        /// Validate the file as a day's script
        #[arg(long)]
        day: bool,
    },
    /// Check a trace against the five rules
    ///
    /// Exit codes: 0 every rule was kept; 1 a rule was broken; 2 the file is not a trace.
    Audit(audit::AuditCommand),
    /// Show one marshal's view of the other marshals: their state, and what each reports about itself
    ///
    /// Exit codes: 0 shown; 1 no answer; 2 the command is invalid.
    Peers(peers::PeersCommand),
    /// Run one marshal, like ivydrift-edge
    Edge(ivydrift_edge::command::EdgeCommand),
}

fn main() -> ExitCode {
    match Ivydrift::parse().command {
        Command::Day(command) => command.run(),
        Command::BenchDay(command) => command.run(),
        Command::Check { file, day } => check(&file, day),
        Command::Audit(command) => command.run(),
        Command::Peers(command) => command.run(),
        Command::Edge(command) => command.run(),
    }
}

fn check(file: &std::path::Path, day: bool) -> ExitCode {
    let name = file.display().to_string();
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("{name}: cannot be read: {e}");
            return ExitCode::from(2);
        }
    };
    let checked = match day {
        true => ivydrift_standin::day::read(&name, &text).map(drop),
        false => ivydrift_terms::parse(&name, &text).map(drop),
    };
    match checked {
        Ok(()) => {
            println!("{name}: valid");
            ExitCode::SUCCESS
        }
        Err(errors) => {
            eprintln!("{errors}");
            ExitCode::from(2)
        }
    }
}
