//! A marshal on the operators' platform with scripted discovery and rollout controller: the second dialect.

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use crate::process::Process;
use crate::scene::*;

/// The config file of the platform's tests.
pub const CONFIG_FILE: &str = include_str!("../../../platform/tests/start.json");

/// A scripted discovery and rollout controller.
pub struct Platform {
    pub discovery: Node,
    pub rollout_controller: SocketAddr,
    /// How often a marshal has subscribed to the rollout controller.
    pub subscriptions: Arc<AtomicUsize>,
    /// The votes as received.
    pub votes: Arc<Mutex<Vec<String>>>,
}

/// A complete member list with these nodes and builds, in discovery's format.
pub fn member_list(nodes: &[(SocketAddr, u32)]) -> String {
    let member = |(i, (addr, build)): (usize, &(SocketAddr, u32))| {
        format!(
            r#"{{"id":"s-{i}","host_port":"{addr}","locality":"site-a","flavor":"full-1c","cell":1,
            "phase":"active","size":1.0,"up_since_ms":0,"image_id":{build}}}"#
        )
    };
    let members = nodes.iter().enumerate().map(member).collect::<Vec<_>>().join(",");
    format!(r#"{{"revision":1,"complete":true,"members":[{members}]}}"#)
}

/// Starts a platform. Discovery holds watches; the rollout controller sends `lines` to its first subscriber,
/// then only keep-alives.
pub fn start_platform(nodes: &[(SocketAddr, u32)], lines: &'static [&'static str]) -> Platform {
    let list = member_list(nodes);
    let discovery = scripted_server(move |message, stream| {
        if message.contains("from=1") {
            std::thread::sleep(ms(2000));
            return write_no_change(stream);
        }
        write_ok(stream, &list)
    });
    let (subscriptions, votes) = (Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(Vec::new())));
    let (count, vote_log) = (subscriptions.clone(), votes.clone());
    let rollout_controller = raw_node(move |stream| {
        let mut buffer = [0; 64];
        let n = stream.read(&mut buffer).unwrap_or(0);
        let command = String::from_utf8_lossy(&buffer[..n]).into_owned();
        if command == "follow\r\n" {
            let nth = count.fetch_add(1, Ordering::SeqCst);
            write_text(stream, "OK\r\n* ROLLOUT 1 2 live 1.0 90000\r\n");
            if nth == 0 && !lines.is_empty() {
                lines.iter().all(|line| write_text(stream, line));
            }
            while write_text(stream, "*\r\n") {
                std::thread::sleep(ms(500));
            }
        } else {
            vote_log.lock().unwrap().push(command);
            write_text(stream, "ERR moot\r\n");
        }
    });
    Platform { discovery, rollout_controller: rollout_controller.addr, subscriptions, votes }
}

/// A server whose script gets each message; false closes the connection.
pub fn scripted_server(script: impl Fn(&str, &mut TcpStream) -> bool + Send + Sync + 'static) -> Node {
    raw_node(move |stream| {
        while let Some(message) = read_message(stream) {
            if !script(&message, stream) {
                return;
            }
        }
    })
}

/// The config file of a marshal on this platform.
pub fn config_file(listen: SocketAddr, platform: &Platform) -> String {
    CONFIG_FILE
        .replace("10.0.0.4:5000", &listen.to_string())
        .replace("10.2.0.1:8500", &platform.discovery.addr.to_string())
        .replace("10.2.0.2:6400", &platform.rollout_controller.to_string())
        .replace("\"revision\": 41", "\"revision\": 0")
        .replace("\"phase\": \"active\"", "\"phase\": \"left\"")
        .replace(
            r#""release": 42, "tranche": 1, "mode": "testing", "exposure": 0.28"#,
            r#""release": 1, "tranche": 2, "mode": "live", "exposure": 1.0"#,
        )
        .replace("\"sockets\": 1024", "\"sockets\": 256")
}

/// Turns a call to discovery away, as one does that has too many callers; false if the connection has failed.
pub fn refuse(stream: &mut TcpStream) -> bool {
    write_text(stream, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
}

/// Answers a call to discovery that nothing has changed since revision 1; false if the connection has failed.
pub fn write_no_change(stream: &mut TcpStream) -> bool {
    write_ok(stream, r#"{"revision":1,"complete":false,"members":[]}"#)
}

/// A config file that lists this node as known from before.
pub fn config_with_known_node(listen: SocketAddr, platform: &Platform, node: SocketAddr) -> String {
    config_file(listen, platform)
        .replace("\"phase\": \"left\"", "\"phase\": \"active\"")
        .replace("10.1.0.18:5000", &node.to_string())
}

/// A marshal in this process with its scripted platform.
pub struct PlatformScene {
    pub running: ivydrift_edge::Running,
    pub platform: Platform,
}

impl PlatformScene {
    /// Starts a marshal; all nodes run build 1.
    pub fn new(nodes: &[SocketAddr]) -> Self {
        let nodes: Vec<(SocketAddr, u32)> = nodes.iter().map(|n| (*n, 1)).collect();
        Self::with(&nodes, &[])
    }

    /// Starts a marshal. `lines`: see [`platform`].
    pub fn with(nodes: &[(SocketAddr, u32)], lines: &'static [&'static str]) -> Self {
        let platform = start_platform(nodes, lines);
        let text = config_file("127.0.0.1:0".parse().unwrap(), &platform);
        let start = ivydrift_platform::start::parse("start.json", &text).unwrap();
        let running = ivydrift_edge::start_platform(start).unwrap();
        wait_for("the list", ms(3000), || running.ready_nodes() == nodes.len());
        PlatformScene { running, platform }
    }

    /// Opens a client connection to the marshal.
    pub fn connect(&self) -> TcpStream {
        connect(self.running.listen_addr)
    }

    /// Sends one message on a new connection and returns its answer.
    pub fn request(&self, text: &str) -> Answer {
        let mut stream = self.connect();
        write_text(&mut stream, text);
        answer(&mut stream).expect("an answer")
    }
}

/// An idempotent RPC.
pub fn read_request(id: &str) -> String {
    format!("GET /calendar-read HTTP/1.1\r\nHost: b\r\nX-Request-ID: {id}\r\nX-Timeout-Ms: 2000\r\n\r\n")
}

/// A non-idempotent RPC.
pub fn booking_request(id: &str) -> String {
    format!(
        "POST /pickup-book/7?x=1 HTTP/1.1\r\nHost: b\r\nX-Request-ID: {id}\r\nX-Tenant-Id: wadi-tri\r\n\
         X-Timeout-Ms: 2000\r\nContent-Length: 4\r\n\r\nslot"
    )
}

impl Process {
    /// Starts a marshal process on this platform and waits until it reports ready.
    pub fn on_platform(name: &str, platform: &Platform) -> Self {
        let listen_addr = unused_addr();
        Self::with_config(name, listen_addr, &config_file(listen_addr, platform))
    }

    /// Starts a marshal process with this config and waits until it reports ready.
    pub fn with_config(name: &str, listen_addr: SocketAddr, config: &str) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join(format!("{name}.json"));
        std::fs::write(&path, config).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_ivydrift-edge"))
            .arg("--platform")
            .env("LB_CONFIG", &path)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let process = Process { child, listen_addr, file: path, _folder: folder };
        wait_for("readiness", ms(5000), || {
            process.request_status("GET /_health HTTP/1.1\r\nHost: b\r\n\r\n") == Some(200)
        });
        process
    }

    /// Sends one message on a new connection and returns the status of its answer.
    pub fn request_status(&self, text: &str) -> Option<u16> {
        let mut stream = TcpStream::connect(self.listen_addr).ok()?;
        stream.set_read_timeout(Some(ms(4000))).ok()?;
        write_text(&mut stream, text);
        answer(&mut stream).map(|a| a.status)
    }
}
