//! A marshal: the `run` command of the deploy file as a process of its own.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Conn;
use crate::record;

/// The settings of the site calendar-rollout, as the wire page gives them, for marshal `slot` of `siblings`.
pub fn settings(slot: usize, siblings: usize) -> String {
    let class = |name: &str, idempotency: &str, objective: u32, late: f64, value: f64| {
        format!(
            r#"{{"name":"{name}","idempotency":"{idempotency}","group":"all","repeat_window":5000000,"stream":false,
            "give_up":3000000,"objective":{objective},"late_value":{late},"value":{value}}}"#
        )
    };
    let classes = [
        class("calendar-read", "retryable", 800_000, 0.2, 2.0),
        class("calendar-save", "retryable", 800_000, 0.2, 2.0),
        class("pickup-book", "fragile", 1_000_000, 0.0, 6.0),
    ]
    .join(",");
    format!(
        r#"{{"azs":["site-a","site-b"],"zone":0,"models":["full-1c","slow-1c"],"slot_no":{slot},"siblings":{siblings},
        "discovery":"subscribe","family":"rollout","over_share_worth":0.2,"weights":"nominal","counted_by":"request",
        "bounds":{{"cancel":true,"conn_idle":30000000,"dial_timeout":250000,"max_open":30000,"max_streams":1,
          "max_retry_after":2000000,"most_tries":5,"peers":false,"probes":true,"retry_after":true,"second_copies":true,
          "cpu_us_per_s":750000}},
        "rules":{{"answer_slack":20000,"ask_within":10000000,"cold_from":0.42,"drain_grace":1000000,"fall":1000000,
          "fall_multiple":3.0,"warm_within":5000000}},
        "family_info":{{"answer_wait":800000,"api_rate":80.0,"control":"share","counts":"all","counted_share":0.4,
          "exposure_caps":[0.14,0.49,1.0],"flag_share":0.15,"forward_only":false,"free":2.0,"hold_votes":0,
          "min_dwell":1000000,"on_votes":2,"repeat_every":2000000,"replace_mode":"beside","safe_only_stages":0,
          "shares":[0.1,0.35,1.0],"span":3000000,"step":0,"tally_every":1000000,"vote_stands":4000000,
          "votes_to_revert":1,"warm_keys":false}},
        "load_report":{{"how":"on_probe","columns":["tps"]}},
        "request_classes":[{classes}],
        "tenants":[{{"name":"nadhif-sahel","quota_per_s":64.0,"share":0.64}},
          {{"name":"bayt-nadhif","quota_per_s":18.0,"share":0.18}},{{"name":"wadi-tri","quota_per_s":18.0,"share":0.18}}]}}"#
    )
}

/// What a marshal is told at its start.
pub struct Setup {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub desk: SocketAddr,
    /// JSON of the desk's state, and of the list as the marshal last had it.
    pub news: String,
    pub known: String,
    pub settings: String,
    pub seed: u64,
}

impl Setup {
    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{}","seed":"{:016x}",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
            "pipeline":{{"address":"{}","news":{}}},"known":{},"settings":{}}}"#,
            self.name,
            self.listen,
            self.discovery,
            self.seed,
            self.desk,
            self.news,
            self.known,
            self.settings
        )
    }
}

/// A running marshal. It is killed when this value goes.
pub struct Marshal {
    pub name: String,
    pub listen: SocketAddr,
    folder: PathBuf,
    child: Child,
}

/// A free loopback address.
pub fn free_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("a free port").local_addr().unwrap()
}

/// The `run` command of the deploy file.
fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = text.lines().find(|l| l.trim_start().starts_with("run")).expect("a line run");
    line.split('"').nth(1).expect("a command in quotes").to_owned()
}

/// The repository's root, and the temporary folder of this run.
pub fn places() -> (PathBuf, PathBuf) {
    let of =
        |name: &str| PathBuf::from(std::env::var_os(name).unwrap_or_else(|| panic!("{name} is not set")));
    (of("REVIEW_ROOT"), of("REVIEW_TMP"))
}

impl Marshal {
    /// Writes the marshal's file.
    pub fn write_config(setup: &Setup) {
        let folder = places().1.join(&setup.name);
        std::fs::create_dir_all(&folder).expect("a folder");
        let (new, file) = (folder.join("config.new"), folder.join("config.json"));
        std::fs::write(&new, setup.json()).expect("the file");
        std::fs::rename(new, file).expect("the file");
    }

    /// Starts a marshal.
    pub fn start(setup: &Setup) -> Marshal {
        Marshal::write_config(setup);
        let (root, folder) = places();
        let folder = folder.join(&setup.name);
        let log = File::options().create(true).append(true).open(folder.join("log")).expect("a log");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command(&root))
            .current_dir(&root)
            .env("LB_NAME", &setup.name)
            .env("LB_LISTEN", setup.listen.to_string())
            .env("LB_DISCOVERY", setup.discovery.to_string())
            .env("LB_CONFIG", folder.join("config.json"))
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the marshal starts");
        record::line(&format!("marshal {} started", setup.name));
        // Where the script is ended early it ends these.
        let mut pids =
            File::options().create(true).append(true).open(places().1.join("pids")).expect("a file");
        let _ = writeln!(pids, "{}", child.id());
        Marshal { name: setup.name.clone(), listen: setup.listen, folder, child }
    }

    /// Waits until the marshal is ready, for at most `ms` milliseconds.
    pub fn ready(&self, ms: u64) -> bool {
        let end = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < end {
            if self.health() == Some(200) {
                record::line(&format!("marshal {} ready", self.name));
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn health(&self) -> Option<u16> {
        let mut conn = Conn::new(TcpStream::connect(self.listen).ok()?);
        conn.stream.write_all(b"GET /_health HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n").ok()?;
        let until = Instant::now() + Duration::from_millis(500);
        Some(conn.read(Some(until)).ok()??.status())
    }

    /// Sends a signal to the program that `run` started.
    pub fn signal(&self, name: &str) {
        record::line(&format!("marshal {} gets SIG{name}", self.name));
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
    }

    /// Kills the marshal outright.
    pub fn kill(&mut self) {
        record::line(&format!("marshal {} killed", self.name));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process has ended by itself.
    pub fn ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// The log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Marshal {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
