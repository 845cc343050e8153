//! Runs marshals as child processes: this same executable, called as `ivydrift edge`.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use ivydrift_standin::sockets::ProcessControl;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;

/// The marshals of a day, each a child process with a config file and a log in `folder`.
pub struct MarshalProcesses {
    folder: PathBuf,
    children: Vec<Option<Child>>,
}

impl MarshalProcesses {
    pub fn new(folder: &Path, marshals: usize) -> Self {
        MarshalProcesses { folder: folder.to_owned(), children: (0..marshals).map(|_| None).collect() }
    }

    fn signal(&self, marshal: usize, signal: Signal) {
        if let Some(child) = &self.children[marshal] {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }
}

impl ProcessControl for MarshalProcesses {
    fn start(&mut self, marshal: usize, config: &str) -> io::Result<()> {
        let config_path = self.folder.join(format!("edge-{marshal}.hcl"));
        std::fs::write(&config_path, config)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("edge-{marshal}.log")))?;
        let child = Command::new(std::env::current_exe()?)
            .arg("edge")
            .arg(&config_path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.children[marshal] = Some(child);
        Ok(())
    }

    fn kill(&mut self, marshal: usize) {
        if let Some(mut child) = self.children[marshal].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn set_suspended(&mut self, marshal: usize, suspend: bool) {
        self.signal(marshal, if suspend { Signal::SIGSTOP } else { Signal::SIGCONT });
    }

    fn shut_down(&mut self, marshal: usize) -> bool {
        self.signal(marshal, Signal::SIGTERM);
        let Some(mut child) = self.children[marshal].take() else { return false };
        let deadline = Instant::now() + Duration::from_secs(8);
        while Instant::now() < deadline {
            match child.try_wait() {
                Ok(Some(status)) => return status.success(),
                Ok(None) => std::thread::sleep(Duration::from_millis(10)),
                Err(_) => break,
            }
        }
        let _ = child.kill();
        let _ = child.wait();
        false
    }
}

impl Drop for MarshalProcesses {
    fn drop(&mut self) {
        // SIGKILL also ends a process that is stopped by SIGSTOP. No marshal may outlive the day.
        (0..self.children.len()).for_each(|m| self.kill(m));
    }
}
