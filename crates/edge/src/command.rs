//! The command line of a marshal, used by the binary and by `ivydrift edge`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Parser;
use ivydrift_platform::start;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// A marshal: receives RPCs, picks a node and a build for each, and votes on builds.
///
/// Exit codes: 0 stopped with no RPC unfinished; 1 stopped with RPCs unfinished, or failed to start; 2 the
/// command line or the config is wrong.
#[derive(Parser, Debug)]
#[command(
    name = "ivydrift-edge",
    version,
    after_help = "Examples:\n  ivydrift-edge edge.hcl\n  RUST_LOG=debug ivydrift-edge edge.hcl 2> edge.log\n  \
                  ivydrift-edge --example > edge.hcl"
)]
pub struct EdgeCommand {
    /// The config file, in HCL; with --platform the platform's file, by default the one that LB_CONFIG names
    #[arg(required_unless_present_any = ["example", "platform"])]
    file: Option<PathBuf>,
    /// Speak the operators' platform protocol, configured by the platform's file
    #[arg(long, conflicts_with = "example")]
    platform: bool,
    /// Print a valid example config and exit
    #[arg(long)]
    example: bool,
}

/// Logs as JSON lines to standard error, filtered by `RUST_LOG`.
pub fn log_to_stderr() {
    let filter =
        tracing_subscriber::EnvFilter::try_from_default_env().unwrap_or_else(|_| "info,may=warn".into());
    let _ = tracing_subscriber::fmt().json().with_env_filter(filter).with_writer(std::io::stderr).try_init();
}

/// A config file that was read, in the format of either dialect.
enum ConfigFile {
    Native(Box<ivydrift_terms::Config>),
    Platform(Box<start::PlatformConfig>),
}

impl ConfigFile {
    fn load(file: &Path, platform: bool) -> Result<Self, String> {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: cannot be read: {e}"))?;
        if platform {
            return start::parse(&name, &text).map(|platform| ConfigFile::Platform(Box::new(platform)));
        }
        let config = ivydrift_terms::parse(&name, &text).map_err(|errors| errors.to_string())?;
        Ok(ConfigFile::Native(Box::new(config)))
    }

    fn apply(self, running: &crate::Running) -> Result<(), String> {
        match self {
            ConfigFile::Native(config) => running.reload(*config),
            ConfigFile::Platform(platform) => running.reload_on_platform(*platform),
        }
    }

    fn start(self) -> std::io::Result<crate::Running> {
        match self {
            ConfigFile::Native(config) => crate::start(*config),
            ConfigFile::Platform(platform) => crate::start_platform(*platform),
        }
    }
}

/// Reads the config file again and applies it. Errors are logged, and the running config stays in force.
fn reload(running: &crate::Running, file: &Path, platform: bool) {
    running.reload_announced();
    let name = file.display().to_string();
    let apply = || ConfigFile::load(file, platform)?.apply(running).map_err(|why| format!("{name}: {why}"));
    match apply() {
        Ok(()) => tracing::info!(file = name, "new terms in force"),
        Err(why) => {
            why.lines().for_each(|why| tracing::error!(why, "new terms refused, the running ones stay"))
        }
    }
}

impl EdgeCommand {
    /// Runs a marshal until SIGTERM or SIGINT; SIGHUP reloads the config.
    pub fn run(self) -> ExitCode {
        if self.example {
            print!("{}", ivydrift_terms::EXAMPLE);
            return ExitCode::SUCCESS;
        }
        let from_env =
            || std::env::var_os(start::CONFIG_PATH_ENV).filter(|_| self.platform).map(PathBuf::from);
        let Some(file) = self.file.clone().or_else(from_env) else {
            eprintln!("no config file given: pass its path or set {} to it", start::CONFIG_PATH_ENV);
            return ExitCode::from(2);
        };
        let config = match ConfigFile::load(&file, self.platform) {
            Ok(config) => config,
            Err(why) => {
                eprintln!("{why}");
                return ExitCode::from(2);
            }
        };
        log_to_stderr();
        let listen_addr = match &config {
            ConfigFile::Native(config) => config.addresses.listen,
            ConfigFile::Platform(platform) => platform.config.addresses.listen,
        };
        // Signal handlers are installed before the start so that no signal is lost.
        let mut signals = match Signals::new([SIGTERM, SIGINT, SIGHUP]) {
            Ok(signals) => signals,
            Err(e) => {
                eprintln!("cannot install signal handlers: {e}");
                return ExitCode::FAILURE;
            }
        };
        let running = match config.start() {
            Ok(running) => running,
            Err(e) => {
                eprintln!(
                    "{listen_addr} or the peers' address cannot be had: {e}. Is another marshal running?"
                );
                return ExitCode::FAILURE;
            }
        };
        tracing::info!(listens = %running.listen_addr, "started");
        let signal = signals.forever().find(|signal| {
            if *signal == SIGHUP {
                reload(&running, &file, self.platform);
            }
            *signal != SIGHUP
        });
        tracing::info!(?signal, "stopping");
        let clean = running.stop();
        let (withheld, violations) = (running.withheld(), running.violations());
        tracing::info!(clean, counts = ?running.counts(), ?withheld, ?violations, "stopped");
        if clean {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }
}
