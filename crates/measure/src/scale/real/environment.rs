//! Environment of the real marshals: node list, rollout controller and nodes driven by a script, clients with
//! a fixed rate, and UDP proxies on the links between marshals that count datagrams. All run as coroutines
//! and threads of this process on loopback.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use ivydrift_sockets::coroutine::{sleep, sleep_until, spawn};
use ivydrift_sockets::Socket;
use ivydrift_wire::controller::{self, Counted, VoteAnswer};
use ivydrift_wire::http::HeadWriter;
use ivydrift_wire::{list, message, peer};
use may::net::TcpListener;

use crate::scale::hollow::script::{http_response, Script, SERVICE_TIME};

/// Requests, and bytes in both directions.
pub type Count = [u64; 2];

/// Requests of one marshal: to the node list, to the rollout controller, and votes.
pub type Requests = [Count; 3];

/// Node list, rollout controller, nodes and clients.
pub struct Environment {
    script: Script,
    zero: Instant,
    requests: Mutex<Vec<Requests>>,
    pub ok: AtomicU64,
    stopped: AtomicBool,
}

impl Environment {
    /// Starts the nodes and enters their addresses into the script. The fleet's time starts now.
    ///
    /// # Errors
    /// If no socket can be opened.
    pub fn start(mut script: Script) -> io::Result<Arc<Environment>> {
        for node in &mut script.nodes {
            let addr = listen(|socket| {
                let mut buf = Vec::new();
                while read_request(socket, &mut buf).is_some() {
                    sleep(SERVICE_TIME);
                    let head = HeadWriter::response(200).field("content-length", "100").finish();
                    if !send(socket, &[&head[..], &[b'x'; 100]].concat()) {
                        return;
                    }
                }
            })?;
            (node.host, node.port) = (addr.ip().to_string(), addr.port());
            node.started_ms = Some(script.zero_ms);
        }
        let requests = Mutex::new(vec![Requests::default(); script.marshals]);
        let (ok, stopped) = (AtomicU64::new(0), AtomicBool::new(false));
        Ok(Arc::new(Environment { script, zero: Instant::now(), requests, ok, stopped }))
    }

    /// The script that drives the environment.
    pub fn script(&self) -> &Script {
        &self.script
    }

    /// Time since the fleet's start.
    pub fn now(&self) -> Duration {
        self.zero.elapsed()
    }

    /// Blocks until `at`, counted from the fleet's start.
    pub fn wait_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.now()));
    }

    /// Requests of all marshals, summed.
    pub fn requests(&self) -> Requests {
        let mut sum = Requests::default();
        for marshal_requests in self.requests.lock().unwrap_or_else(|e| e.into_inner()).iter() {
            for (sum, n) in sum.iter_mut().flatten().zip(marshal_requests.iter().flatten()) {
                *sum += n;
            }
        }
        sum
    }

    /// Stops the clients; a held request is answered at its next check.
    pub fn end(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    /// Serves node list and rollout controller on one port. `counted`: whether to count its requests.
    ///
    /// # Errors
    /// If no socket can be opened.
    pub fn serve(self: &Arc<Self>, counted: bool) -> io::Result<SocketAddr> {
        let environment = self.clone();
        listen(move |socket| {
            let mut buf = Vec::new();
            while let Some((request, body, bytes)) = read_request(socket, &mut buf) {
                let name = request.fields.get("user-agent").unwrap_or("");
                let marshal =
                    name.rsplit("marshal-").next().and_then(|n| n.parse::<usize>().ok()).unwrap_or(0);
                let (kind, answer) = environment.respond(&request.target, &body);
                if !send(socket, &answer) {
                    return;
                }
                let mut requests = environment.requests.lock().unwrap_or_else(|e| e.into_inner());
                if let Some(count) = requests.get_mut(marshal).filter(|_| counted) {
                    count[kind][0] += 1;
                    count[kind][1] += (bytes + answer.len()) as u64;
                }
            }
        })
    }

    fn respond(&self, target: &str, body: &[u8]) -> (usize, Vec<u8>) {
        if target.starts_with("/v1/votes") {
            let _vote = controller::parse::<controller::Vote>(body);
            let answer = VoteAnswer { counted: Counted::Counts, stage: self.script.stage(self.now()) };
            return (2, http_response(0, &controller::write(&answer)));
        }
        let index = list::query(target, "index").unwrap_or(0);
        let deadline = self.now() + Duration::from_secs(list::query(target, "wait").unwrap_or(0).min(60));
        let is_node_list = target.contains("/health/");
        loop {
            let now = self.now();
            let at = if is_node_list { self.script.list_index(now) } else { self.script.news_index(now) };
            if index == 0 || index != at || now >= deadline || self.stopped.load(Ordering::Acquire) {
                let body = match is_node_list {
                    true => list::write(&self.script.list(now)),
                    false => controller::write(&self.script.rollout_update(now)),
                };
                return (usize::from(!is_node_list), http_response(at, &body));
            }
            let next = if is_node_list {
                self.script.next_list_change(now)
            } else {
                self.script.next_news_change(now)
            };
            sleep_until(self.zero + next.min(deadline).max(now + Duration::from_millis(1)));
        }
    }

    /// Runs the clients of one marshal: RPCs one after the other at the script's rate, over one connection.
    pub fn run_clients(self: &Arc<Self>, marshal: usize, at: SocketAddr) {
        let environment = self.clone();
        spawn(move || {
            let rate = environment.script.rate;
            let phase = (marshal * 7 % 16) as f64 / 16.0;
            let (mut socket, mut buf) = (None, Vec::new());
            for n in 0u64.. {
                let due = environment.script.rpcs_start + Duration::from_secs_f64((n as f64 + phase) / rate);
                sleep_until(environment.zero + due);
                if environment.stopped.load(Ordering::Acquire) {
                    return;
                }
                let open = || Socket::connect(at, Duration::from_secs(1)).ok();
                let Some(mut connection) = socket.take().or_else(open) else { continue };
                let path = format!("/{}", environment.script.method_name(n));
                let head = HeadWriter::request("POST", &path).field("host", "m").field("content-length", "4");
                if send(&mut connection, &[&head.finish()[..], b"body"].concat())
                    && read_ok_response(&mut connection, &mut buf)
                {
                    environment.ok.fetch_add(1, Ordering::Relaxed);
                    socket = Some(connection);
                } else {
                    buf.clear();
                }
            }
        });
    }
}

/// Reads an answer; true if its status is 200.
fn read_ok_response(socket: &mut Socket, buf: &mut Vec<u8>) -> bool {
    let (deadline, mut chunk) = (Instant::now() + Duration::from_secs(4), [0; 4096]);
    let read = message::read_response(buf, 1 << 16, |buf| {
        let n = socket.read(&mut chunk, Some(deadline))?;
        buf.extend_from_slice(&chunk[..n]);
        Ok(n > 0)
    });
    read.is_ok_and(|(head, _)| head.status == 200)
}

/// Reads a request and its body, with the bytes that it took on the wire.
fn read_request(
    socket: &mut Socket, buf: &mut Vec<u8>,
) -> Option<(ivydrift_wire::http::Request, Vec<u8>, usize)> {
    let (mut chunk, before) = ([0; 4096], buf.len());
    let mut received = 0;
    let (request, body) = message::read_request(buf, 1 << 16, |buf| {
        let n = socket.read(&mut chunk, None)?;
        received += n;
        buf.extend_from_slice(&chunk[..n]);
        Ok(n > 0)
    })
    .ok()?;
    Some((request, body, before + received - buf.len()))
}

fn send(socket: &mut Socket, bytes: &[u8]) -> bool {
    socket.write(bytes, Instant::now() + Duration::from_secs(5)).is_ok()
}

fn listen(serve: impl Fn(&mut Socket) + Send + Sync + Clone + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let serve = serve.clone();
            let mut socket = Socket::new(stream);
            spawn(move || serve(&mut socket));
        }
    });
    Ok(addr)
}

/// UDP proxies between the marshals: each marshal gets the proxy's address for every other one. The proxies
/// count the datagrams and forward them.
pub struct LinkProxies {
    to: Vec<SocketAddr>,
    sent: Arc<[AtomicU64; 2]>,
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl LinkProxies {
    /// Starts one proxy in front of each marshal address.
    ///
    /// # Errors
    /// If no socket can be opened.
    pub fn new(marshal_addrs: &[SocketAddr]) -> io::Result<LinkProxies> {
        let (sent, stopped) =
            (Arc::new([AtomicU64::new(0), AtomicU64::new(0)]), Arc::new(AtomicBool::new(false)));
        let (mut to, mut threads) = (vec![], vec![]);
        for marshal_addrs in marshal_addrs.iter().copied() {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_read_timeout(Some(Duration::from_millis(200)))?;
            to.push(socket.local_addr()?);
            let (sent, stopped) = (sent.clone(), stopped.clone());
            threads.push(std::thread::spawn(move || {
                let mut datagram = [0; 2048];
                while !stopped.load(Ordering::Acquire) {
                    let Ok((n, _)) = socket.recv_from(&mut datagram) else { continue };
                    if peer::read(&datagram[..n]).is_some() {
                        sent[0].fetch_add(1, Ordering::Relaxed);
                        sent[1].fetch_add(n as u64, Ordering::Relaxed);
                    }
                    let _ = socket.send_to(&datagram[..n], marshal_addrs);
                }
            }));
        }
        Ok(LinkProxies { to, sent, stopped, threads })
    }

    /// The peer addresses for a marshal's config: its own address, and the proxies' for all others.
    pub fn peer_addresses(&self, number: usize, marshal_addrs: SocketAddr) -> Vec<SocketAddr> {
        let mut addresses = self.to.clone();
        addresses[number] = marshal_addrs;
        addresses
    }

    /// Datagrams and bytes sent by all marshals.
    pub fn sent(&self) -> Count {
        [0, 1].map(|i| self.sent[i].load(Ordering::Relaxed))
    }
}

impl Drop for LinkProxies {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
