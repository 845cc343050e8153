//! Child processes of a measurement.

use std::io::{self, BufRead, BufReader, Read};
use std::process::{Child, ChildStdout, Command, Stdio};

/// A child process that is killed when dropped.
pub struct ChildProcess {
    child: Child,
    out: BufReader<ChildStdout>,
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl ChildProcess {
    /// Starts this program with other arguments.
    ///
    /// # Errors
    /// If it can't be started.
    pub fn start(args: &[String]) -> io::Result<ChildProcess> {
        let mut child = Command::new(std::env::current_exe()?).args(args).stdout(Stdio::piped()).spawn()?;
        let out = child.stdout.take().ok_or_else(|| io::Error::other("the child process has no stdout"))?;
        Ok(ChildProcess { child, out: BufReader::new(out) })
    }

    /// Starts a child process and reads the addresses that it listens on.
    ///
    /// # Errors
    /// If it can't be started or prints no address.
    pub fn listening(args: &[String]) -> io::Result<(ChildProcess, Vec<String>)> {
        let mut child = ChildProcess::start(args)?;
        let mut line = String::new();
        child.out.read_line(&mut line)?;
        let addrs: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
        if addrs.is_empty() {
            return Err(io::Error::other(format!("{} printed no listening address", args[0])));
        }
        Ok((child, addrs))
    }

    /// Waits for the process to end and returns its output.
    ///
    /// # Errors
    /// If the output can't be read.
    pub fn finish(mut self) -> io::Result<String> {
        let mut text = String::new();
        self.out.read_to_string(&mut text)?;
        Ok(text)
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Resident memory, in KiB.
    ///
    /// # Errors
    /// If the process has ended.
    pub fn resident(&self) -> io::Result<f64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()))?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kib = line.and_then(|l| l.trim().trim_end_matches(" kB").trim().parse().ok());
        kib.ok_or_else(|| io::Error::other("/proc/PID/status has no VmRSS"))
    }
}
