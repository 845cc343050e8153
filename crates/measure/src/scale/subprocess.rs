//! Performs each run of one size in its own process, so that CPU time and memory are that run's alone.

use std::process::{Command, Stdio};
use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};
use serde_json::Value;

use super::Error;

/// CPU time of this process since its start.
pub fn cpu() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec.try_into().unwrap_or(0), time.tv_nsec.try_into().unwrap_or(0))
}

/// Resident memory of this process in bytes, current and peak.
#[derive(Clone, Copy, Debug, Default)]
pub struct Memory {
    pub now: f64,
    pub peak: f64,
}

/// Reads the resident memory of this process.
///
/// # Errors
/// If `/proc/self/status` lacks a figure.
pub fn memory() -> Result<Memory, Error> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let field = |name: &str| {
        let line = status.lines().find_map(|l| l.strip_prefix(name))?;
        line.trim().trim_end_matches("kB").trim().parse::<f64>().ok().map(|kib| kib * 1024.0)
    };
    match (field("VmRSS:"), field("VmHWM:")) {
        (Some(now), Some(peak)) => Ok(Memory { now, peak }),
        _ => Err("/proc/self/status has no VmRSS or no VmHWM".into()),
    }
}

/// Runs one size of a subject in a child process and returns its result.
///
/// # Errors
/// If the process can't be started, fails, or prints no JSON.
pub fn measure(subject: &str, size: usize) -> Result<Value, Error> {
    let sizes = size.to_string();
    let args = ["scale", subject, "--sizes", &sizes, "--part"];
    let out = Command::new(std::env::current_exe()?).args(args).stderr(Stdio::inherit()).output()?;
    if !out.status.success() {
        return Err(format!("{subject} run of size {size} failed: {}", out.status).into());
    }
    Ok(serde_json::from_slice(&out.stdout)?)
}

/// Performs several such runs.
///
/// # Errors
/// As [`measure`].
pub fn runs(subject: &str, size: usize, runs: usize) -> Result<Runs, Error> {
    (0..runs).map(|_| measure(subject, size)).collect::<Result<_, _>>().map(Runs)
}

/// Results of several runs of one size.
pub struct Runs(Vec<Value>);

impl Runs {
    /// The values with this name, one per run.
    pub fn get(&self, name: &str) -> Vec<f64> {
        self.0.iter().filter_map(|run| run[name].as_f64()).collect()
    }

    /// The first run's text with this name; empty if there is none.
    pub fn text(&self, name: &str) -> String {
        self.0.iter().find_map(|run| run[name].as_str()).unwrap_or("").to_owned()
    }

    /// The median of the values with this name.
    pub fn middle(&self, name: &str) -> f64 {
        let mut values = self.get(name);
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
    }

    /// The values with this name as median, minimum and maximum.
    pub fn spread(&self, name: &str) -> String {
        super::table::spread(&self.get(name))
    }
}
