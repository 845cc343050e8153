//! The subcommands `ivydrift day` and `ivydrift bench-day`.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use ivydrift_standin::day::{self, Day};
use ivydrift_standin::{bench, sim, sockets};

use crate::processes::MarshalProcesses;
use crate::result::DayResult;

/// Options common to `day` and `bench-day`: how a day is run and how its result is printed.
#[derive(Args)]
struct RunOptions {
    /// Simulate in virtual time, with the marshals' core in this process
    #[arg(long)]
    sim: bool,
    /// Print one JSON object instead of the table
    #[arg(long)]
    json: bool,
    /// Keep the trace, the marshals' config files and their logs in this folder
    #[arg(long, value_name = "DIR")]
    keep: Option<PathBuf>,
}

/// A day file as the operators' bench draws it.
#[derive(Args)]
pub struct BenchDayCommand {
    /// The day file (JSON); it is only read
    file: PathBuf,
    /// Print the converted script instead of running it
    #[arg(long)]
    script: bool,
    #[command(flatten)]
    way: RunOptions,
}

impl BenchDayCommand {
    pub fn run(self) -> ExitCode {
        let name = self.file.display().to_string();
        let read = std::fs::read_to_string(&self.file).map_err(|e| format!("cannot be read: {e}"));
        let converted = match read.and_then(|text| bench::read(&text)) {
            Ok(converted) => converted,
            Err(error) => {
                eprintln!("{name}: {error}");
                return ExitCode::from(2);
            }
        };
        if self.script {
            print!("{}", converted.script);
            return ExitCode::SUCCESS;
        }
        let day = match day::read(&name, &converted.script) {
            Ok(day) => day,
            Err(errors) => {
                eprintln!("{errors}");
                return ExitCode::from(2);
            }
        };
        eprintln!("{name}: run at {:.2} of its size; not converted:", converted.scale);
        converted.lost.iter().for_each(|item| eprintln!("  - {item}"));
        self.way.run_day(day)
    }
}

#[derive(Args)]
pub struct DayCommand {
    /// The day's script; the built-in day of faults if omitted
    file: Option<PathBuf>,
    /// Run the built-in short day
    #[arg(long, conflicts_with = "file")]
    short: bool,
    /// Override the script's seed
    #[arg(long)]
    seed: Option<u64>,
    #[command(flatten)]
    way: RunOptions,
}

impl DayCommand {
    pub fn run(self) -> ExitCode {
        match self.load_script() {
            Ok(day) => self.way.run_day(day),
            Err(error) => {
                eprintln!("{error}");
                ExitCode::from(2)
            }
        }
    }

    fn load_script(&self) -> Result<Day, String> {
        let mut day = match &self.file {
            None if self.short => day::read("days/short.hcl", day::SHORT).map_err(|e| e.to_string())?,
            None => day::read("days/bad.hcl", day::BAD).map_err(|e| e.to_string())?,
            Some(file) => {
                let name = file.display().to_string();
                let text =
                    std::fs::read_to_string(file).map_err(|e| format!("{name}: cannot be read: {e}"))?;
                day::read(&name, &text).map_err(|e| e.to_string())?
            }
        };
        day.seed = self.seed.unwrap_or(day.seed);
        Ok(day)
    }
}

impl RunOptions {
    fn run_day(&self, day: Day) -> ExitCode {
        let result = if self.sim { self.simulate(day) } else { self.run_processes(day) };
        match result {
            Ok(result) => {
                if self.json {
                    println!("{}", result.json());
                } else {
                    print!("{}", result.table());
                }
                if result.passed() {
                    ExitCode::SUCCESS
                } else {
                    ExitCode::FAILURE
                }
            }
            Err(error) => {
                eprintln!("the day could not be run: {error}");
                ExitCode::from(3)
            }
        }
    }

    /// Creates the trace file, if a folder to keep it was given.
    fn trace_writer(&self) -> std::io::Result<Option<Box<dyn Write + Send>>> {
        let Some(folder) = &self.keep else { return Ok(None) };
        std::fs::create_dir_all(folder)?;
        Ok(Some(Box::new(BufWriter::new(File::create(folder.join("trace.jsonl"))?))))
    }

    fn simulate(&self, day: Day) -> Result<DayResult, String> {
        let outcome = sim::run(day, self.keep.is_some())?;
        if let Some(mut out) = self.trace_writer().map_err(|e| e.to_string())? {
            for line in &outcome.lines {
                writeln!(out, "{}", line.write()).map_err(|e| e.to_string())?;
            }
            out.flush().map_err(|e| e.to_string())?;
        }
        let sim::Outcome { report, phases, course, votes, .. } = outcome;
        Ok(DayResult { simulated: true, report, phases, course, votes, clean: vec![], leaked: 0 })
    }

    fn run_processes(&self, day: Day) -> Result<DayResult, String> {
        let folder = match &self.keep {
            Some(folder) => folder.clone(),
            None => std::env::temp_dir().join(format!("ivydrift-day-{}", std::process::id())),
        };
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let progress_bar = ProgressBar::new(day.lasts.as_millis() as u64);
        // indicatif draws nothing if there is no terminal.
        let style = "{elapsed_precise} {bar:40} {msg}";
        progress_bar
            .set_style(ProgressStyle::with_template(style).unwrap_or_else(|_| ProgressStyle::default_bar()));
        let mut processes = MarshalProcesses::new(&folder, day.marshals);
        let trace = self.trace_writer().map_err(|e| e.to_string())?;
        let outcome = sockets::run(day, &mut processes, trace, &mut |progress| {
            progress_bar.set_position(progress.now.as_millis() as u64);
            let rollout_status = progress.rollout_status;
            progress_bar.set_message(format!(
                "{} RPCs, {} in progress; build {} stage {} {:?}",
                progress.asked,
                progress.attempts_in_flight,
                rollout_status.build,
                rollout_status.stage,
                rollout_status.course
            ));
        });
        progress_bar.finish_and_clear();
        drop(processes);
        if self.keep.is_none() {
            let _ = std::fs::remove_dir_all(&folder);
        }
        let sockets::Outcome { report, phases, course, votes, clean, leaked } =
            outcome.map_err(|e| e.to_string())?;
        Ok(DayResult { simulated: false, report, phases, course, votes, clean, leaked })
    }
}
