//! The subcommands `ivydrift day` and `ivydrift bench-day`.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use ivydrift_standin::day::{self, Day};
use ivydrift_standin::{bench, sim, sockets};

use crate::marshals::Processes;
use crate::table::Played;

/// Options common to `day` and `bench-day`: how a day is run and how its result is printed.
#[derive(Args)]
struct Way {
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
    way: Way,
}

impl BenchDayCommand {
    pub fn run(self) -> ExitCode {
        let name = self.file.display().to_string();
        let read = std::fs::read_to_string(&self.file).map_err(|e| format!("cannot be read: {e}"));
        let carried = match read.and_then(|text| bench::read(&text)) {
            Ok(carried) => carried,
            Err(what) => {
                eprintln!("{name}: {what}");
                return ExitCode::from(2);
            }
        };
        if self.script {
            print!("{}", carried.script);
            return ExitCode::SUCCESS;
        }
        let day = match day::read(&name, &carried.script) {
            Ok(day) => day,
            Err(complaints) => {
                eprintln!("{complaints}");
                return ExitCode::from(2);
            }
        };
        eprintln!("{name}: run at {:.2} of its size; not converted:", carried.scale);
        carried.lost.iter().for_each(|what| eprintln!("  - {what}"));
        self.way.play(day)
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
    way: Way,
}

impl DayCommand {
    pub fn run(self) -> ExitCode {
        match self.script() {
            Ok(day) => self.way.play(day),
            Err(what) => {
                eprintln!("{what}");
                ExitCode::from(2)
            }
        }
    }

    fn script(&self) -> Result<Day, String> {
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

impl Way {
    fn play(&self, day: Day) -> ExitCode {
        let played = if self.sim { self.in_virtual_time(day) } else { self.on_sockets(day) };
        match played {
            Ok(played) => {
                if self.json {
                    println!("{}", played.json());
                } else {
                    print!("{}", played.table());
                }
                if played.fine() {
                    ExitCode::SUCCESS
                } else {
                    ExitCode::FAILURE
                }
            }
            Err(what) => {
                eprintln!("the day could not be run: {what}");
                ExitCode::from(3)
            }
        }
    }

    /// Creates the trace file, if a folder to keep it was given.
    fn trace(&self) -> std::io::Result<Option<Box<dyn Write + Send>>> {
        let Some(folder) = &self.keep else { return Ok(None) };
        std::fs::create_dir_all(folder)?;
        Ok(Some(Box::new(BufWriter::new(File::create(folder.join("trace.jsonl"))?))))
    }

    fn in_virtual_time(&self, day: Day) -> Result<Played, String> {
        let outcome = sim::run(day, self.keep.is_some())?;
        if let Some(mut out) = self.trace().map_err(|e| e.to_string())? {
            for line in &outcome.lines {
                writeln!(out, "{}", line.write()).map_err(|e| e.to_string())?;
            }
            out.flush().map_err(|e| e.to_string())?;
        }
        let sim::Outcome { report, phases, course, votes, .. } = outcome;
        Ok(Played { simulated: true, report, phases, course, votes, clean: vec![], leaked: 0 })
    }

    fn on_sockets(&self, day: Day) -> Result<Played, String> {
        let folder = match &self.keep {
            Some(folder) => folder.clone(),
            None => std::env::temp_dir().join(format!("ivydrift-day-{}", std::process::id())),
        };
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let bar = ProgressBar::new(day.lasts.as_millis() as u64);
        // indicatif draws nothing if there is no terminal.
        let style = "{elapsed_precise} {bar:40} {msg}";
        bar.set_style(ProgressStyle::with_template(style).unwrap_or_else(|_| ProgressStyle::default_bar()));
        let mut processes = Processes::new(&folder, day.marshals);
        let trace = self.trace().map_err(|e| e.to_string())?;
        let outcome = sockets::play(day, &mut processes, trace, &mut |at| {
            bar.set_position(at.now.as_millis() as u64);
            let s = at.standing;
            bar.set_message(format!(
                "{} RPCs, {} in progress; build {} stage {} {:?}",
                at.asked, at.in_hand, s.build, s.stage, s.course
            ));
        });
        bar.finish_and_clear();
        drop(processes);
        if self.keep.is_none() {
            let _ = std::fs::remove_dir_all(&folder);
        }
        let sockets::Outcome { report, phases, course, votes, clean, leaked } =
            outcome.map_err(|e| e.to_string())?;
        Ok(Played { simulated: false, report, phases, course, votes, clean, leaked })
    }
}
