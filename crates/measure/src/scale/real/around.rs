//! Environment of the real marshals: node list, rollout controller and nodes driven by a script, clients with
//! a fixed rate, and UDP proxies on the links between marshals that count datagrams. All run as coroutines
//! and threads of this process on loopback.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use ivydrift_sockets::coroutine::{go, pause, pause_until};
use ivydrift_sockets::Socket;
use ivydrift_wire::desk::{self, Counted, VoteAnswer};
use ivydrift_wire::http::HeadWriter;
use ivydrift_wire::{list, message, peer};
use may::net::TcpListener;

use crate::scale::hollow::script::{answer, Script, WORK};

/// Requests, and bytes in both directions.
pub type Count = [u64; 2];

/// Requests of one marshal: to the node list, to the rollout controller, and votes.
pub type Asked = [Count; 3];

/// Node list, rollout controller, nodes and clients.
pub struct Around {
    script: Script,
    zero: Instant,
    asked: Mutex<Vec<Asked>>,
    pub ok: AtomicU64,
    over: AtomicBool,
}

impl Around {
    /// Starts the nodes and enters their addresses into the script. The fleet's time starts now.
    ///
    /// # Errors
    /// If no socket can be opened.
    pub fn start(mut script: Script) -> io::Result<Arc<Around>> {
        for node in &mut script.nodes {
            let addr = listen(|socket| {
                let mut buf = Vec::new();
                while read(socket, &mut buf).is_some() {
                    pause(WORK);
                    let head = HeadWriter::response(200).field("content-length", "100").finish();
                    if !write(socket, &[&head[..], &[b'x'; 100]].concat()) {
                        return;
                    }
                }
            })?;
            (node.host, node.port) = (addr.ip().to_string(), addr.port());
            node.started_ms = Some(script.zero_ms);
        }
        let asked = Mutex::new(vec![Asked::default(); script.marshals]);
        let (ok, over) = (AtomicU64::new(0), AtomicBool::new(false));
        Ok(Arc::new(Around { script, zero: Instant::now(), asked, ok, over }))
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
    pub fn asked(&self) -> Asked {
        let mut sum = Asked::default();
        for one in self.asked.lock().unwrap_or_else(|e| e.into_inner()).iter() {
            for (sum, n) in sum.iter_mut().flatten().zip(one.iter().flatten()) {
                *sum += n;
            }
        }
        sum
    }

    /// Stops the clients; a held request is answered at its next check.
    pub fn end(&self) {
        self.over.store(true, Ordering::Release);
    }

    /// Serves node list and rollout controller on one port. `counted`: whether to count its requests.
    ///
    /// # Errors
    /// If no socket can be opened.
    pub fn serve(self: &Arc<Self>, counted: bool) -> io::Result<SocketAddr> {
        let around = self.clone();
        listen(move |socket| {
            let mut buf = Vec::new();
            while let Some((request, body, bytes)) = read(socket, &mut buf) {
                let name = request.fields.get("user-agent").unwrap_or("");
                let asker = name.rsplit("marshal-").next().and_then(|n| n.parse::<usize>().ok()).unwrap_or(0);
                let (kind, answer) = around.answer(&request.target, &body);
                if !write(socket, &answer) {
                    return;
                }
                let mut asked = around.asked.lock().unwrap_or_else(|e| e.into_inner());
                if let Some(one) = asked.get_mut(asker).filter(|_| counted) {
                    one[kind][0] += 1;
                    one[kind][1] += (bytes + answer.len()) as u64;
                }
            }
        })
    }

    fn answer(&self, target: &str, body: &[u8]) -> (usize, Vec<u8>) {
        if target.starts_with("/v1/votes") {
            let _vote = desk::read::<desk::Vote>(body);
            let said = VoteAnswer { counted: Counted::Counts, stage: self.script.stage(self.now()) };
            return (2, answer(0, &desk::write(&said)));
        }
        let index = list::query(target, "index").unwrap_or(0);
        let by = self.now() + Duration::from_secs(list::query(target, "wait").unwrap_or(0).min(60));
        let listed = target.contains("/health/");
        loop {
            let now = self.now();
            let at = if listed { self.script.list_index(now) } else { self.script.news_index(now) };
            if index == 0 || index != at || now >= by || self.over.load(Ordering::Acquire) {
                let body = match listed {
                    true => list::write(&self.script.list(now)),
                    false => desk::write(&self.script.news(now)),
                };
                return (usize::from(!listed), answer(at, &body));
            }
            let next = if listed { self.script.list_changes(now) } else { self.script.news_changes(now) };
            pause_until(self.zero + next.min(by).max(now + Duration::from_millis(1)));
        }
    }

    /// Runs the clients of one marshal: RPCs one after the other at the script's rate, over one connection.
    pub fn clients(self: &Arc<Self>, marshal: usize, at: SocketAddr) {
        let around = self.clone();
        go(move || {
            let rate = around.script.rate;
            let phase = (marshal * 7 % 16) as f64 / 16.0;
            let (mut socket, mut buf) = (None, Vec::new());
            for n in 0u64.. {
                let due = around.script.rpcs_from + Duration::from_secs_f64((n as f64 + phase) / rate);
                pause_until(around.zero + due);
                if around.over.load(Ordering::Acquire) {
                    return;
                }
                let open = || Socket::connect(at, Duration::from_secs(1)).ok();
                let Some(mut one) = socket.take().or_else(open) else { continue };
                let path = format!("/{}", around.script.method(n));
                let head = HeadWriter::request("POST", &path).field("host", "m").field("content-length", "4");
                if write(&mut one, &[&head.finish()[..], b"body"].concat()) && ok(&mut one, &mut buf) {
                    around.ok.fetch_add(1, Ordering::Relaxed);
                    socket = Some(one);
                } else {
                    buf.clear();
                }
            }
        });
    }
}

/// Reads an answer; true if its status is 200.
fn ok(socket: &mut Socket, buf: &mut Vec<u8>) -> bool {
    let (by, mut part) = (Instant::now() + Duration::from_secs(4), [0; 4096]);
    let read = message::response(buf, 1 << 16, |buf| {
        let n = socket.read(&mut part, Some(by))?;
        buf.extend_from_slice(&part[..n]);
        Ok(n > 0)
    });
    read.is_ok_and(|(head, _)| head.status == 200)
}

/// Reads a request and its body, with the bytes that it took on the wire.
fn read(socket: &mut Socket, buf: &mut Vec<u8>) -> Option<(ivydrift_wire::http::Request, Vec<u8>, usize)> {
    let (mut part, before) = ([0; 4096], buf.len());
    let mut came = 0;
    let (request, body) = message::request(buf, 1 << 16, |buf| {
        let n = socket.read(&mut part, None)?;
        came += n;
        buf.extend_from_slice(&part[..n]);
        Ok(n > 0)
    })
    .ok()?;
    Some((request, body, before + came - buf.len()))
}

fn write(socket: &mut Socket, bytes: &[u8]) -> bool {
    socket.write(bytes, Instant::now() + Duration::from_secs(5)).is_ok()
}

fn listen(serve: impl Fn(&mut Socket) + Send + Sync + Clone + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    go(move || {
        while let Ok((stream, _)) = listener.accept() {
            let serve = serve.clone();
            let mut socket = Socket::new(stream);
            go(move || serve(&mut socket));
        }
    });
    Ok(addr)
}

/// UDP proxies between the marshals: each marshal gets the proxy's address for every other one. The proxies
/// count the datagrams and forward them.
pub struct Taps {
    to: Vec<SocketAddr>,
    sent: Arc<[AtomicU64; 2]>,
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Taps {
    /// Starts one proxy in front of each marshal address.
    ///
    /// # Errors
    /// If no socket can be opened.
    pub fn new(own: &[SocketAddr]) -> io::Result<Taps> {
        let (sent, over) =
            (Arc::new([AtomicU64::new(0), AtomicU64::new(0)]), Arc::new(AtomicBool::new(false)));
        let (mut to, mut threads) = (vec![], vec![]);
        for own in own.iter().copied() {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_read_timeout(Some(Duration::from_millis(200)))?;
            to.push(socket.local_addr()?);
            let (sent, over) = (sent.clone(), over.clone());
            threads.push(std::thread::spawn(move || {
                let mut datagram = [0; 2048];
                while !over.load(Ordering::Acquire) {
                    let Ok((n, _)) = socket.recv_from(&mut datagram) else { continue };
                    if peer::read(&datagram[..n]).is_some() {
                        sent[0].fetch_add(1, Ordering::Relaxed);
                        sent[1].fetch_add(n as u64, Ordering::Relaxed);
                    }
                    let _ = socket.send_to(&datagram[..n], own);
                }
            }));
        }
        Ok(Taps { to, sent, over, threads })
    }

    /// The peer addresses for a marshal's config: its own address, and the proxies' for all others.
    pub fn told(&self, number: usize, own: SocketAddr) -> Vec<SocketAddr> {
        let mut all = self.to.clone();
        all[number] = own;
        all
    }

    /// Datagrams and bytes sent by all marshals.
    pub fn sent(&self) -> Count {
        [0, 1].map(|i| self.sent[i].load(Ordering::Relaxed))
    }
}

impl Drop for Taps {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}
