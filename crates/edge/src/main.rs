#![forbid(unsafe_code)]

use clap::Parser;

fn main() -> std::process::ExitCode {
    ivydrift_edge::command::EdgeCommand::parse().run()
}
