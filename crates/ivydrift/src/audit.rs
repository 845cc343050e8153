//! The subcommand `ivydrift audit`.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use ivydrift_audit::trace::Line;
use ivydrift_audit::{Auditor, Report};

use crate::result::DayResult;

#[derive(Args)]
pub struct AuditCommand {
    /// A trace written by `ivydrift day --keep`
    trace: PathBuf,
    /// Print one JSON object instead of text
    #[arg(long)]
    json: bool,
}

impl AuditCommand {
    pub fn run(self) -> ExitCode {
        let name = self.trace.display().to_string();
        match audit_file(&self.trace) {
            Ok(report) => {
                let (phases, course) = (vec![], vec![]);
                let result =
                    DayResult { simulated: true, report, phases, course, votes: 0, clean: vec![], leaked: 0 };
                if self.json {
                    println!("{}", result.json());
                } else {
                    print!("{}", result.rules());
                }
                if result.report.is_clean() {
                    ExitCode::SUCCESS
                } else {
                    ExitCode::FAILURE
                }
            }
            Err(error) => {
                eprintln!("{name}: {error}");
                ExitCode::from(2)
            }
        }
    }
}

/// Maximum length of a line. Lines of real traces are far shorter.
const MAX_LINE_BYTES: u64 = 64 * 1024;

fn audit_file(file: &PathBuf) -> Result<Report, String> {
    let mut input = BufReader::new(File::open(file).map_err(|e| format!("cannot be read: {e}"))?);
    let (mut auditor, mut text, mut number) = (Auditor::new(), String::new(), 0u64);
    loop {
        text.clear();
        number += 1;
        let mut limited_input = std::io::Read::take(&mut input, MAX_LINE_BYTES);
        match limited_input.read_line(&mut text) {
            Ok(0) => return Ok(auditor.finish()),
            Ok(_) if !text.ends_with('\n') && text.len() as u64 == MAX_LINE_BYTES => {
                return Err(format!("line {number}: longer than {MAX_LINE_BYTES} bytes, so not a trace"));
            }
            Ok(_) => {}
            Err(e) => return Err(format!("line {number}: {e}")),
        }
        let line = Line::read(&text).map_err(|e| format!("line {number}: {e}"))?;
        auditor.take(&line)?;
    }
}
