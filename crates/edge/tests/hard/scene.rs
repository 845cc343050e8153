//! A marshal with a scripted node list, rollout controller and nodes. They run on threads of the standard
//! library and send exactly what a test wants on their sockets.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Handles the nth message that a node received, counted over all its connections; false closes the
/// connection.
pub type Script = Box<dyn Fn(usize, &mut TcpStream) -> bool + Send + Sync>;

/// A scripted server, in most tests a node.
pub struct Node {
    pub addr: SocketAddr,
    /// Every message as received.
    pub received: Arc<Mutex<Vec<String>>>,
    /// How many connections were accepted.
    pub connections: Arc<Mutex<usize>>,
}

impl Node {
    /// Number of messages received.
    pub fn messages(&self) -> usize {
        self.received.lock().unwrap().len()
    }
}

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Reads one message, framed by its Content-Length; `None` if the stream ends first.
pub fn read_message(stream: &mut TcpStream) -> Option<String> {
    let (mut text, mut byte) = (Vec::new(), [0]);
    while !text.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        text.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&text).to_lowercase();
    let length =
        head.lines().find_map(|l| l.strip_prefix("content-length: ")).and_then(|l| l.trim().parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    text.extend_from_slice(&body);
    Some(String::from_utf8_lossy(&text).into_owned())
}

/// A server that passes each message to the script; false closes the connection.
fn serve(script: impl Fn(&mut TcpStream, String) -> bool + Send + Sync + 'static) -> Node {
    raw_node(move |stream| {
        while let Some(message) = read_message(stream) {
            if !script(stream, message) {
                return;
            }
        }
    })
}

/// Writes the text; false if the connection has failed.
pub fn write_text(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}

/// Writes a 200 answer with this body.
pub fn write_ok(stream: &mut TcpStream, body: &str) -> bool {
    write_text(stream, &format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

/// A node that follows the script and records its messages.
pub fn node(script: Script) -> Node {
    let received = Arc::new(Mutex::new(Vec::new()));
    let log = received.clone();
    let server = serve(move |stream, message| {
        let nth = {
            let mut log = log.lock().unwrap();
            log.push(message);
            log.len() - 1
        };
        script(nth, stream)
    });
    Node { received, ..server }
}

/// A node whose script reads from each connection itself.
pub fn raw_node(script: impl Fn(&mut TcpStream) + Send + Sync + 'static) -> Node {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (addr, connections) = (listener.local_addr().unwrap(), Arc::new(Mutex::new(0)));
    let (script, count) = (Arc::new(script), connections.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            *count.lock().unwrap() += 1;
            let script = script.clone();
            std::thread::spawn(move || script(&mut stream));
        }
    });
    Node { addr, received: Arc::default(), connections }
}

/// A node that answers each RPC with 200 and its name as the body.
pub fn healthy_node(name: &'static str) -> Node {
    node(Box::new(move |_, stream| write_ok(stream, name)))
}

/// An unused address for a process to listen on.
pub fn unused_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// An address where nothing listens or can start to: a merely unused one may be given to another test.
pub fn unreachable_addr() -> SocketAddr {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let addr = socket.local_addr().unwrap().as_socket().unwrap();
    // Keeps the address bound until the process ends.
    std::mem::forget(socket);
    addr
}

/// Whether the peer closes the connection within this time.
pub fn closes_within(stream: &mut TcpStream, within: Duration) -> bool {
    stream.set_read_timeout(Some(within)).unwrap();
    let mut byte = [0];
    let started = Instant::now();
    loop {
        match stream.read(&mut byte) {
            Ok(0) => return true,
            Ok(_) if started.elapsed() < within => {}
            Ok(_) => return false,
            Err(e) => return !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }
}

/// The node list with these nodes, in discovery's format.
fn node_list_json(nodes: &[SocketAddr]) -> String {
    let entry = |a: &SocketAddr| {
        format!(
            r#"{{"Service":{{"Address":"{}","Port":{},"Meta":{{"build":"1","zone":"site-a"}}}},"Checks":[{{"Status":"passing"}}]}}"#,
            a.ip(),
            a.port()
        )
    };
    format!("[{}]", nodes.iter().map(entry).collect::<Vec<_>>().join(","))
}

/// A scripted node list and rollout controller.
pub struct ControlPlane {
    pub node_list: SocketAddr,
    pub rollout_controller: SocketAddr,
    /// While false, the node list closes each connection that asks it.
    pub node_list_up: Arc<AtomicBool>,
}

/// Starts a node list with these nodes, and a rollout controller that has released build 1.
pub fn control_plane(nodes: &[SocketAddr]) -> ControlPlane {
    let (body, node_list_up) = (node_list_json(nodes), Arc::new(AtomicBool::new(true)));
    let serving = node_list_up.clone();
    let node_list = serve(move |stream, message| {
        if !serving.load(Ordering::SeqCst) {
            let _ = stream.shutdown(Shutdown::Both);
            return false;
        }
        if message.contains("index=1") {
            std::thread::sleep(ms(3000));
        }
        write_text(
            stream,
            &format!("HTTP/1.1 200 OK\r\nX-Consul-Index: 1\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
        )
    });
    let rollout_state =
        r#"{"index":1,"stage":{"build":1,"stage":2,"course":"released","cap":1.0,"age_ms":90000}}"#;
    let rollout_controller = serve(move |stream, message| {
        if message.contains("index=1") {
            std::thread::sleep(ms(3000));
        }
        write_ok(stream, rollout_state)
    });
    ControlPlane { node_list: node_list.addr, rollout_controller: rollout_controller.addr, node_list_up }
}

/// The config of a marshal with this node list and rollout controller: the example with some texts replaced.
pub fn config(control_plane: &ControlPlane, replace: &[(&str, &str)]) -> String {
    let mut text = ivydrift_terms::EXAMPLE
        .replace("127.0.0.1:7100", "127.0.0.1:0")
        .replace("127.0.0.1:7001", &control_plane.node_list.to_string())
        .replace("127.0.0.1:7002", &control_plane.rollout_controller.to_string());
    for (from, to) in replace {
        assert!(text.contains(from), "{from} is not in the example");
        text = text.replace(from, to);
    }
    text
}

/// A marshal in this process with its scripted node list and rollout controller.
pub struct Scene {
    pub running: ivydrift_edge::Running,
    _control_plane: ControlPlane,
}

impl Scene {
    /// Starts a marshal with the example config.
    pub fn new(nodes: &[SocketAddr]) -> Self {
        Self::with(nodes, "")
    }

    /// Starts a marshal. `more`: further blocks of the config.
    pub fn with(nodes: &[SocketAddr], more: &str) -> Self {
        let control_plane = control_plane(nodes);
        let text = config(&control_plane, &[]) + more;
        let running = ivydrift_edge::start(ivydrift_terms::parse("test.hcl", &text).unwrap()).unwrap();
        wait_for("the list", ms(3000), || running.ready_nodes() == nodes.len());
        Scene { running, _control_plane: control_plane }
    }

    /// Opens a client connection to the marshal.
    pub fn connect(&self) -> TcpStream {
        connect(self.running.listen_addr)
    }

    /// Sends one RPC on a new connection and returns its answer.
    pub fn rpc(&self, method: &str, fields: &str, body: &str) -> Answer {
        let mut stream = self.connect();
        write_text(&mut stream, &message(method, fields, body));
        answer(&mut stream).expect("an answer")
    }
}

/// Opens a connection with a read time-out of 5 s.
pub fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(ms(5000))).unwrap();
    stream
}

/// An RPC as it goes on the wire. `fields`: further header lines, each with its line end.
pub fn message(method: &str, fields: &str, body: &str) -> String {
    format!("POST /{method} HTTP/1.1\r\nHost: m\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// An HTTP response.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Answer {
    /// The value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .find_map(|l| l.split_once(": ").filter(|f| f.0.eq_ignore_ascii_case(name)).map(|f| f.1))
    }

    /// `ok`, `pushed-back` or `aborted`; empty if the field is missing.
    pub fn kind(&self) -> &str {
        self.field("ivydrift-answer").unwrap_or("")
    }
}

/// Reads the next answer, framed by its Content-Length; `None` if the stream ends first.
pub fn answer(stream: &mut TcpStream) -> Option<Answer> {
    let text = read_message(stream)?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Answer { status, head: head.to_owned(), body: body.to_owned() })
}

/// Waits until the condition holds; panics if it does not within this time.
pub fn wait_for(what: &str, within: Duration, done: impl Fn() -> bool) {
    let deadline = Instant::now() + within;
    while !done() {
        assert!(Instant::now() < deadline, "{what} did not happen within {within:?}");
        std::thread::sleep(ms(5));
    }
}
