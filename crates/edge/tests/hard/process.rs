use std::net::SocketAddr;
use std::process::Child;

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

/// A marshal as a process, ended with the test.
pub struct Process {
    pub child: Child,
    pub listens: SocketAddr,
    pub file: std::path::PathBuf,
    /// Where the file is; gone with the test.
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
