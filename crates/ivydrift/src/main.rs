//! `ivydrift`: the command line.
#![forbid(unsafe_code)]

mod audit;
mod day;
mod marshals;
mod peers;
mod table;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Tries new builds on live traffic: a release controller's marshal, its stand-ins and its checks.
#[derive(Parser)]
#[command(
    version,
    after_help = "Examples:\n  ivydrift day                      play the built-in bad day, about a minute\n  \
                  ivydrift day --sim --seed 9       the same in virtual time\n  \
                  ivydrift check edge.hcl           is this file of terms right?\n  \
                  ivydrift audit day/trace.jsonl    check a kept trace against the five rules"
)]
struct Ivydrift {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a day of troubles: marshals as processes, nodes, list, desk and clients on loopback
    ///
    /// Exit codes: 0 every rule was kept and every RPC had one answer; 1 not so; 2 the command or the script is
    /// wrong; 3 the day could not be played.
    Day(day::DayCommand),
    /// Play a day file of the operators' bench through real marshals
    ///
    /// Says what of it could not be carried over. Exit codes as for day.
    BenchDay(day::BenchDayCommand),
    /// Check a file of terms, or a day's script, whole
    ///
    /// Exit codes: 0 it is right; 2 it is not, each fault on a line with file, line and column.
    Check {
        /// Terms of a marshal; or a day's script, with --day
        file: PathBuf,
        #[arg(long)]
        day: bool,
    },
    /// Check a trace against the five rules
    ///
    /// Exit codes: 0 kept; 1 broken; 2 not a trace.
    Audit(audit::AuditCommand),
    /// Show what one marshal knows of the others: who is there, and what each says of itself
    ///
    /// Exit codes: 0 shown; 1 no answer; 2 the command is wrong.
    Peers(peers::PeersCommand),
    /// Run one marshal, as ivydrift-edge does
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
    let found = match day {
        true => ivydrift_standin::day::read(&name, &text).map(drop),
        false => ivydrift_terms::read(&name, &text).map(drop),
    };
    match found {
        Ok(()) => {
            println!("{name}: right");
            ExitCode::SUCCESS
        }
        Err(complaints) => {
            eprintln!("{complaints}");
            ExitCode::from(2)
        }
    }
}
