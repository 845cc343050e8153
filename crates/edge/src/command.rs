//! The command line of a marshal, for the binary and for `ivydrift edge`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// A marshal: takes RPCs, picks a node and a build for each, votes on builds.
///
/// Exit codes: 0 stopped with nothing left unfinished; 1 stopped with RPCs unfinished, or could not start;
/// 2 the command or the terms are wrong.
#[derive(Parser, Debug)]
#[command(
    name = "ivydrift-edge",
    version,
    after_help = "Examples:\n  ivydrift-edge edge.hcl\n  RUST_LOG=debug ivydrift-edge edge.hcl 2> edge.log\n  \
                  ivydrift-edge --example > edge.hcl"
)]
pub struct EdgeCommand {
    /// The terms, in HCL
    #[arg(required_unless_present = "example")]
    file: Option<PathBuf>,
    /// Print terms that are known to be right, and end
    #[arg(long)]
    example: bool,
}

/// Logs as JSON lines on standard error; `RUST_LOG` says how much.
pub fn log_to_stderr() {
    let filter =
        tracing_subscriber::EnvFilter::try_from_default_env().unwrap_or_else(|_| "info,may=warn".into());
    let _ = tracing_subscriber::fmt().json().with_env_filter(filter).with_writer(std::io::stderr).try_init();
}

/// Reads the file of terms again and puts it in force; what is wrong with it is logged, and the running terms stay.
fn renew(running: &crate::Running, file: &std::path::Path) {
    let name = file.display().to_string();
    let read = || {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: cannot be read: {e}"))?;
        let terms = ivydrift_terms::read(&name, &text).map_err(|complaints| complaints.to_string())?;
        running.renew(terms).map_err(|why| format!("{name}: {why}"))
    };
    match read() {
        Ok(()) => tracing::info!(file = name, "new terms in force"),
        Err(why) => {
            why.lines().for_each(|why| tracing::error!(why, "new terms refused, the running ones stay"))
        }
    }
}

impl EdgeCommand {
    pub fn run(self) -> ExitCode {
        let Some(file) = self.file.filter(|_| !self.example) else {
            print!("{}", ivydrift_terms::EXAMPLE);
            return ExitCode::SUCCESS;
        };
        let name = file.display().to_string();
        let text = match std::fs::read_to_string(&file) {
            Ok(text) => text,
            Err(e) => {
                eprintln!("{name}: cannot be read: {e}. Name a file of terms; --example prints one.");
                return ExitCode::from(2);
            }
        };
        let terms = match ivydrift_terms::read(&name, &text) {
            Ok(terms) => terms,
            Err(complaints) => {
                eprintln!("{complaints}");
                return ExitCode::from(2);
            }
        };
        log_to_stderr();
        let wanted = terms.places.listen;
        // Signals are taken before the start, so that none is lost.
        let mut signals = match Signals::new([SIGTERM, SIGINT, SIGHUP]) {
            Ok(signals) => signals,
            Err(e) => {
                eprintln!("signals cannot be taken: {e}");
                return ExitCode::FAILURE;
            }
        };
        let running = match crate::start(terms) {
            Ok(running) => running,
            Err(e) => {
                eprintln!("{wanted} or the peers' address cannot be had: {e}. Is another marshal running?");
                return ExitCode::FAILURE;
            }
        };
        tracing::info!(listens = %running.listens, "started");
        let signal = signals.forever().find(|signal| {
            if *signal == SIGHUP {
                renew(&running, &file);
            }
            *signal != SIGHUP
        });
        tracing::info!(?signal, "stopping");
        let clean = running.stop();
        tracing::info!(clean, counts = ?running.counts(), "stopped");
        if clean {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }
}
