//! What all stand-ins share: the clock, the record, messages, the processes of the marshals.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufWriter, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static START: OnceLock<Instant> = OnceLock::new();

/// Time since the start of this program.
pub fn now() -> Duration {
    START.get_or_init(Instant::now).elapsed()
}

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_until(at: Duration) {
    std::thread::sleep(at.saturating_sub(now()));
}

/// `record.txt`: one line for each thing that was sent, answered or run, with the time in milliseconds.
pub struct Record(Mutex<BufWriter<File>>);

impl Record {
    pub fn create(path: &Path) -> io::Result<Arc<Record>> {
        Ok(Arc::new(Record(Mutex::new(BufWriter::new(File::create(path)?)))))
    }

    pub fn line(&self, at: Duration, text: &str) {
        let _ = writeln!(self.0.lock().unwrap(), "{:10.1} {text}", at.as_secs_f64() * 1000.0);
    }

    pub fn note(&self, text: &str) {
        self.line(now(), text);
    }

    /// Writes to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.note(text);
        println!("{text}");
    }

    pub fn flush(&self) {
        let _ = self.0.lock().unwrap().flush();
    }
}

/// One HTTP message: the words of its first line, its fields in lower case, its body.
pub struct Message {
    pub first: Vec<String>,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
    /// When its first and its last byte were read.
    pub began: Duration,
    pub ended: Duration,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", |value| value)
    }
}

/// Reads one message with a Content-Length; `None` at the end of the stream or at anything else.
pub fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Message> {
    let mut began = (!buf.is_empty()).then(now);
    let mut more = |buf: &mut Vec<u8>| -> Option<()> {
        let mut chunk = [0; 8192];
        let n = stream.read(&mut chunk).ok().filter(|n| *n > 0)?;
        began.get_or_insert_with(now);
        buf.extend_from_slice(&chunk[..n]);
        Some(())
    };
    let end = loop {
        match buf.windows(4).position(|w| w == b"\r\n\r\n") {
            Some(at) => break at,
            None => more(buf)?,
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    buf.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next()?.split(' ').map(str::to_owned).collect();
    let fields: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = fields.get("content-length").map_or(Some(0), |n| n.parse().ok())?;
    while buf.len() < length {
        more(buf)?;
    }
    let body = buf.drain(..length).collect();
    Some(Message { first, fields, body, began: began?, ended: now() })
}

/// An answer with a body.
pub fn answer(status: &str, fields: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{fields}\r\n{body}", body.len())
}

/// Listens on a free port and serves each connection on a thread of its own.
pub fn serve(each: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().unwrap();
    let each = Arc::new(each);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let each = each.clone();
            std::thread::spawn(move || each(stream));
        }
    });
    addr
}

/// The repository's root: two folders above the case.
pub fn root(case: &Path) -> PathBuf {
    case.join("../..").canonicalize().expect("the repository's root")
}

/// A marshal's process, killed when this is dropped.
pub struct Marshal {
    pub child: Child,
    pub addr: SocketAddr,
    pub name: String,
}

impl Drop for Marshal {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Marshal {
    /// Starts a marshal with the command of the deploy file.
    pub fn start(root: &Path, folder: &Path, number: usize, marshals: usize, site: &Site) -> Marshal {
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("deploy/balancer.toml");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).and_then(|l| l.split('"').next());
        let name = format!("n{number}");
        let addr = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port");
        let config = folder.join(format!("{name}.json"));
        std::fs::write(&config, site.config(&name, addr, number, marshals)).expect("the config");
        let log = File::create(folder.join(format!("{name}.log"))).expect("the log");
        let child = Command::new("/bin/sh")
            .args(["-c", run.expect("the command `run`")])
            .current_dir(root)
            .env("LB_NAME", &name)
            .env("LB_LISTEN", addr.to_string())
            .env("LB_DISCOVERY", site.discovery.to_string())
            .env("LB_CONFIG", &config)
            .env("TMPDIR", folder)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the marshal");
        Marshal { child, addr, name }
    }

    /// Waits until the marshal reports ready, for 30 s at most.
    pub fn wait_ready(&self) -> bool {
        let until = now() + ms(30_000);
        while now() < until {
            if let Ok(mut stream) = TcpStream::connect(self.addr) {
                let _ = stream.set_read_timeout(Some(ms(1000)));
                let _ = stream.write_all(b"GET /_health HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
                if read_message(&mut stream, &mut Vec::new()).is_some_and(|m| m.first.get(1).is_some_and(|s| s == "200")) {
                    return true;
                }
            }
            std::thread::sleep(ms(50));
        }
        false
    }
}

/// The addresses of the platform, and the list and the news that a marshal has at its start.
pub struct Site {
    pub discovery: SocketAddr,
    pub desk: SocketAddr,
    pub known: String,
    pub news: String,
    /// `limits.memory_mb` and `limits.sockets`.
    pub limits: (u64, u64),
}

impl Site {
    /// A marshal's configuration, with the settings of the small deployment on the operators' pages.
    fn config(&self, name: &str, listen: SocketAddr, number: usize, marshals: usize) -> String {
        let (memory, sockets) = self.limits;
        let (discovery, desk, known, news) = (self.discovery, self.desk, &self.known, &self.news);
        let seed = 0x5eed_0054_u64 + number as u64;
        let class = |name: &str, objective: u32, kind: &str, late: f64, value: f64| {
            format!(
                r#"{{"name":"{name}","give_up":3000000,"objective":{objective},"idempotency":"{kind}","group":"all",
                "repeat_window":5000000,"late_value":{late},"value":{value},"stream":false}}"#
            )
        };
        let classes = [
            class("calendar-read", 800_000, "retryable", 0.2, 2.0),
            class("calendar-save", 800_000, "retryable", 0.2, 2.0),
            class("pickup-book", 1_000_000, "fragile", 0.0, 6.0),
        ]
        .join(",");
        let settings = format!(
            r#"{{"azs":["site-a","site-b"],"models":["full-1c","slow-1c"],"slot_no":{number},"siblings":{marshals},"zone":0,
            "discovery":"subscribe","over_share_worth":0.2,
            "bounds":{{"cancel":true,"conn_idle":30000000,"dial_timeout":250000,"max_retry_after":2000000,"most_tries":5,
              "peers":false,"probes":true,"retry_after":true,"second_copies":true,"max_open":30000,"max_streams":32}},
            "rules":{{"answer_slack":20000,"ask_within":10000000,"cold_from":0.42,"drain_grace":1000000,"fall":1000000,
              "fall_multiple":3.0,"warm_within":5000000}},
            "family":"rollout","family_info":{{"answer_wait":800000,"api_rate":80.0,"control":"share","counts":"all",
              "exposure_caps":[0.14,0.49,1.0],"flag_share":0.15,"forward_only":false,"free":2.0,"min_dwell":1000000,
              "on_votes":2,"replace_mode":"beside","safe_only_stages":0,"shares":[0.1,0.35,1.0],"span":3000000,
              "vote_stands":4000000,"votes_to_revert":1,"warm_keys":false}},
            "request_classes":[{classes}],
            "tenants":[{{"name":"nadhif-sahel","quota_per_s":64.0,"share":0.64}},
              {{"name":"bayt-nadhif","quota_per_s":18.0,"share":0.18}},
              {{"name":"wadi-tri","quota_per_s":18.0,"share":0.18}}],
            "load_report":{{"how":"on_probe","columns":["tps"]}},"weights":"nominal"}}"#
        );
        format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:x}",
            "limits":{{"cores":1.0,"memory_mb":{memory},"sockets":{sockets}}},
            "pipeline":{{"address":"{desk}","news":{news}}},"known":{known},"settings":{settings}}}"#
        )
    }
}
