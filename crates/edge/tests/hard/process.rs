//! A marshal that runs as a child process.

use std::net::SocketAddr;
use std::process::Child;

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

/// A marshal process, killed when the test ends.
pub struct Process {
    pub child: Child,
    pub listen_addr: SocketAddr,
    /// Its config file.
    pub file: std::path::PathBuf,
    /// The directory of the config file, removed when the test ends.
    pub _folder: tempfile::TempDir,
}

impl Process {
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
