//! A marshal as a child process of this program with a config file. Its log shows which marshals it saw come
//! and go.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::scale::hollow::marshal::parse_state_change;

/// A running marshal; killed on drop.
pub struct Process {
    child: Child,
    log: PathBuf,
}

/// CPU time so far, and resident memory in bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    pub cpu: Duration,
    pub resident: f64,
}

impl Process {
    /// Writes the config to `run_dir` and starts a marshal with it.
    ///
    /// # Errors
    /// If the files can't be written or the process can't be started.
    pub fn start(run_dir: &Path, name: &str, config: &str) -> io::Result<Process> {
        let (file, log) = (run_dir.join(format!("{name}.hcl")), run_dir.join(format!("{name}.log")));
        std::fs::write(&file, config)?;
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("marshal").arg(&file).env_remove("RUST_LOG");
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(File::create(&log)?).spawn()?;
        Ok(Process { child, log })
    }

    /// Kills this process, and no other.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Reads CPU time and memory from `/proc`.
    ///
    /// # Errors
    /// If the process has ended.
    pub fn sample(&self) -> io::Result<Sample> {
        let proc_dir = PathBuf::from(format!("/proc/{}", self.child.id()));
        let mut cpu = 0;
        for task in std::fs::read_dir(proc_dir.join("task"))? {
            // A thread may end while it is being read.
            let text = std::fs::read_to_string(task?.path().join("schedstat")).unwrap_or_default();
            cpu += text.split_whitespace().next().and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
        }
        let status = std::fs::read_to_string(proc_dir.join("status"))?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or("0 kB");
        let kib: f64 = line.trim().trim_end_matches(" kB").trim().parse().unwrap_or(0.0);
        Ok(Sample { cpu: Duration::from_nanos(cpu), resident: kib * 1024.0 })
    }

    /// The marshals that it saw come (true) or go (false), with the second of the day.
    ///
    /// # Errors
    /// If the log can't be read.
    pub fn state_changes(&self) -> io::Result<Vec<(f64, usize, bool)>> {
        let text = std::fs::read_to_string(&self.log)?;
        let line = |line: &str| {
            let value: serde_json::Value = serde_json::from_str(line).ok()?;
            let (observed, was_present, is_present) =
                parse_state_change(value["fields"]["message"].as_str()?)?;
            Some((second_of_day(value["timestamp"].as_str()?)?, observed, is_present))
                .filter(|_| was_present != is_present)
        };
        Ok(text.lines().filter_map(line).collect())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Second of the day of a timestamp such as `2026-12-02T04:27:45.123456Z`.
fn second_of_day(stamp: &str) -> Option<f64> {
    let (_, time) = stamp.split_once('T')?;
    let mut parts = time.trim_end_matches('Z').split(':').map(str::parse::<f64>);
    let (h, m, s) = (parts.next()?.ok()?, parts.next()?.ok()?, parts.next()?.ok()?);
    Some(h * 3600.0 + m * 60.0 + s)
}
