//! Runs the fakes on loopback sockets, for marshals that run as processes. [`crate::environment::Environment`]
//! decides what happens; this module reads, waits and writes, and passes on the trace in the order in which the
//! events were recorded.

use std::io::{self, ErrorKind, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ivydrift_audit::trace::Line;
use ivydrift_audit::{Auditor, Report};
use ivydrift_sockets::coroutine::{configure_runtime, sleep, spawn};
use ivydrift_sockets::{listen, Socket};
use ivydrift_wire::http::{self, HeadWriter};
use ivydrift_wire::{controller, list, message, orca, rpc};

use crate::clients::Clients;
use crate::day::{Addresses, Day};
use crate::environment::{Command, Environment, NodeResponse, ReceivedRpc};
use crate::rollout::RolloutStatus;
use crate::run_state::{RunState, Server};
use crate::tally::Phase;

/// How far apart in time several processes on a busy machine may see the same event.
pub const SLACK: Duration = Duration::from_millis(150);

/// The longest body accepted.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Starts and controls the marshal processes.
pub trait ProcessControl {
    /// Starts a marshal. `config`: its config, as HCL.
    ///
    /// # Errors
    /// When it cannot be started.
    fn start(&mut self, marshal: usize, config: &str) -> io::Result<()>;
    /// Kills a marshal without notice.
    fn kill(&mut self, marshal: usize);
    /// Suspends (`suspended`) or resumes a marshal.
    fn set_suspended(&mut self, marshal: usize, suspended: bool);
    /// Asks a marshal to shut down and waits for it; true if it left no RPC unfinished.
    fn shut_down(&mut self, marshal: usize) -> bool;
}

/// The progress of a run.
pub struct Progress {
    pub now: Duration,
    /// RPCs begun so far.
    pub asked: u64,
    /// Attempts in flight.
    pub attempts_in_flight: usize,
    pub rollout_status: RolloutStatus,
}

/// The result of a run.
pub struct Outcome {
    pub report: Report,
    pub phases: Vec<Phase>,
    /// Every state of the rollouts, and when it began.
    pub course: Vec<(Duration, RolloutStatus)>,
    /// Votes that were counted.
    pub votes: u64,
    /// By marshal: whether it shut down with no RPC unfinished.
    pub clean: Vec<bool>,
    /// Connections to nodes, node list and rollout controller still open after all marshals have ended.
    pub leaked: usize,
}

/// An address reserved for a marshal. A socket of the other protocol on the same port keeps concurrent runs on this
/// machine from choosing it.
struct ReservedAddr {
    addr: SocketAddr,
    _other_protocol: Box<dyn std::any::Any>,
}

/// Reserves a port below the ephemeral range. `udp`: for datagrams.
fn reserve(from: &mut u16, udp: bool) -> io::Result<ReservedAddr> {
    for _ in 0..5000 {
        *from = if *from >= 31_000 { 21_000 } else { *from + 1 };
        let addr = SocketAddr::from(([127, 0, 0, 1], *from));
        let (stream, datagram) = (std::net::TcpListener::bind(addr), std::net::UdpSocket::bind(addr));
        if let (Ok(stream), Ok(datagram)) = (stream, datagram) {
            let other_protocol: Box<dyn std::any::Any> =
                if udp { Box::new(stream) } else { Box::new(datagram) };
            return Ok(ReservedAddr { addr, _other_protocol: other_protocol });
        }
    }
    Err(ErrorKind::AddrInUse.into())
}

/// Runs a day on sockets. The trace is written to `trace`, line by line.
///
/// # Errors
/// When a socket cannot be bound, a marshal cannot be started, or the trace cannot be written.
pub fn run(
    day: Day, marshals: &mut dyn ProcessControl, mut trace: Option<Box<dyn Write + Send>>,
    progress: &mut dyn FnMut(&Progress),
) -> io::Result<Outcome> {
    configure_runtime(2);
    let unix_now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let (lasts, count) = (day.lasts, day.marshals);
    let mut port = 21_000 + (std::process::id() % 9000) as u16;
    let reserved: Vec<ReservedAddr> =
        (0..2 * count).map(|i| reserve(&mut port, i >= count)).collect::<io::Result<_>>()?;
    let addrs: Vec<SocketAddr> = reserved.iter().map(|c| c.addr).collect();
    let (marshal_addrs, peers) = (addrs[..count].to_vec(), addrs[count..].to_vec());
    let (send, receive) = channel::<Line>();
    let run = Arc::new(RunState {
        env: Mutex::new(Environment::new(day.clone(), unix_now.as_millis() as u64, SLACK)),
        started: Instant::now(),
        trace: Mutex::new(send),
        nodes: Mutex::default(),
        servers: Mutex::default(),
        marshal_addrs: marshal_addrs.clone(),
        ended: AtomicBool::new(false),
    });
    let checker = std::thread::spawn(move || -> io::Result<Report> {
        let mut auditor = Auditor::new();
        for line in receive {
            if let Some(out) = &mut trace {
                writeln!(out, "{}", line.write())?;
            }
            auditor.take(&line).map_err(|e| io::Error::new(ErrorKind::InvalidData, e))?;
        }
        if let Some(out) = &mut trace {
            out.flush()?;
        }
        Ok(auditor.finish())
    });
    let node_list = serve(&run, None, answer_list)?;
    let rollout_controller = serve(&run, None, answer_controller)?;
    let config = |m: usize| {
        let at = Addresses { listen: marshal_addrs[m], node_list, rollout_controller, peers: peers.clone() };
        day.config(m, &at)
    };
    for m in 0..count {
        marshals.start(m, &config(m))?;
    }
    let clients = Clients::new(&run, &day)?;
    let mut next_report = Duration::ZERO;
    while run.now() < lasts {
        let commands = run.with_env(Environment::step);
        for command in commands {
            match command {
                Command::OpenNode(_) | Command::CloseNode(_) => execute_node_command(&run, command),
                Command::SuspendMarshal(m) => marshals.set_suspended(m, true),
                Command::ResumeMarshal(m) => marshals.set_suspended(m, false),
                Command::KillMarshal(m) => marshals.kill(m),
                Command::StartMarshal(m) => marshals.start(m, &config(m))?,
            }
        }
        for attempt in run.with_env(Environment::due_library_calls) {
            clients.call(&run, attempt);
        }
        let (next, attempts_in_flight, rollout_status) = {
            let env = run.env.lock().unwrap();
            (env.next_attempt(), env.attempts_in_flight(), env.controller.rollout_status)
        };
        if run.now() >= next_report {
            next_report = run.now() + Duration::from_millis(250);
            let asked = run.env.lock().unwrap().phases.iter().map(|p| p.asked).sum();
            progress(&Progress { now: run.now(), asked, attempts_in_flight, rollout_status });
        }
        let wait = next.map_or(Duration::MAX, |t| t.saturating_sub(run.now()));
        std::thread::sleep(wait.min(Duration::from_millis(4)));
    }
    for m in 0..count {
        run.with_env(|env, now| env.marshal_stopping(now, m));
    }
    // Close the clients' idle connections first: a marshal waits for them when it shuts down.
    drop(clients);
    let clean: Vec<bool> = (0..count).map(|m| marshals.shut_down(m)).collect();
    // The fakes see the marshals' connections close a moment later.
    let open_connections = || -> usize {
        let nodes = run.nodes.lock().unwrap();
        let servers = run.servers.lock().unwrap();
        nodes.values().chain(servers.iter()).map(|h| h.connections.lock().unwrap().len()).sum()
    };
    let by = Instant::now() + Duration::from_secs(2);
    while open_connections() > 0 && Instant::now() < by {
        std::thread::sleep(Duration::from_millis(20));
    }
    let leaked = open_connections();
    run.ended.store(true, Ordering::Release);
    let servers: Vec<Arc<Server>> = run.servers.lock().unwrap().clone();
    let nodes: Vec<Arc<Server>> = run.nodes.lock().unwrap().values().cloned().collect();
    servers.iter().chain(&nodes).for_each(|server| server.close());
    // Dropping the sender closes the channel, which ends the checker.
    let (last, _) = channel();
    *run.trace.lock().unwrap() = last;
    let report = checker.join().map_err(|_| io::Error::other("the trace checker panicked"))??;
    let mut env = run.env.lock().unwrap();
    let phases = std::mem::take(&mut env.phases);
    let (course, votes) = (env.controller.transitions.clone(), env.controller.votes_counted);
    Ok(Outcome { report, phases, course, votes, clean, leaked })
}

fn execute_node_command(run: &Arc<RunState>, command: Command) {
    match command {
        Command::OpenNode(node) => {
            let old = run.nodes.lock().unwrap().get(&node).map(|h| h.address);
            let served = serve(run, Some((node, old)), answer_rpc);
            if let Ok(address) = served {
                run.with_env(|env, now| env.node_opened(now, node, address.port()));
            }
        }
        Command::CloseNode(node) => {
            let server = run.nodes.lock().unwrap().get(&node).cloned();
            if let Some(server) = server {
                server.close();
            }
        }
        _ => {}
    }
}

/// A complete request.
struct Message {
    request: http::Request,
    body: Vec<u8>,
}

/// Answers a request; false closes the connection.
type Handler = fn(&Arc<RunState>, &mut Socket, u32, Message) -> bool;

/// Listens, and answers the requests of each connection in turn.
fn serve(
    run: &Arc<RunState>, node: Option<(u32, Option<SocketAddr>)>, handler: Handler,
) -> io::Result<SocketAddr> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    // A restarted node listens at its previous address, if that is free.
    let rebound = node.and_then(|n| n.1).and_then(|addr| listen(addr).ok());
    let listener = match rebound {
        Some(listener) => listener,
        None => listen(any)?,
    };
    let address = listener.local_addr()?;
    let server = Arc::new(Server { address, closed: AtomicBool::new(false), connections: Mutex::default() });
    match node {
        Some((number, _)) => {
            run.nodes.lock().unwrap().insert(number, server.clone());
        }
        None => run.servers.lock().unwrap().push(server.clone()),
    }
    let (run, number) = (run.clone(), node.map_or(0, |n| n.0));
    spawn(move || {
        for connection_id in 0u64.. {
            let accepted = listener.accept();
            if server.closed.load(Ordering::Acquire) {
                return;
            }
            let Ok((stream, _)) = accepted else {
                sleep(Duration::from_millis(5));
                continue;
            };
            let mut socket = Socket::new(stream);
            server.connections.lock().unwrap().insert(connection_id, socket.handle());
            let (run, server) = (run.clone(), server.clone());
            spawn(move || {
                let mut buf = Vec::new();
                while let Some(message) = read_message(&run, &server, &mut socket, &mut buf, node.is_some()) {
                    if !handler(&run, &mut socket, number, message) {
                        break;
                    }
                }
                socket.shutdown();
                server.connections.lock().unwrap().remove(&connection_id);
            });
        }
    });
    Ok(address)
}

fn read_message(
    run: &RunState, server: &Server, socket: &mut Socket, buf: &mut Vec<u8>, node: bool,
) -> Option<Message> {
    let (idle_since, mut part) = (Instant::now(), [0; 4096]);
    let (request, body) = message::read_request(buf, MAX_BODY_BYTES, |buf| loop {
        match socket.read(&mut part, Some(Instant::now() + Duration::from_millis(200))) {
            Ok(n) => {
                buf.extend_from_slice(&part[..n]);
                return Ok(n > 0);
            }
            Err(e) if e.kind() == ErrorKind::TimedOut => {
                let idle_timeout = run.env.lock().unwrap().idle_timeout().filter(|_| node && buf.is_empty());
                let expired = idle_timeout.is_some_and(|after| idle_since.elapsed() > after);
                if expired || server.closed.load(Ordering::Acquire) {
                    return Ok(false);
                }
            }
            Err(e) => return Err(e),
        }
    })
    .ok()?;
    Some(Message { request, body })
}

fn send(socket: &Socket, status: u16, fields: &[(&str, &str)], body: &[u8]) -> bool {
    let mut head = HeadWriter::response(status).field("content-length", body.len().to_string());
    for (name, value) in fields {
        head = head.field(name, value);
    }
    let bytes = [&head.finish()[..], body].concat();
    socket.write(&bytes, Instant::now() + Duration::from_secs(5)).is_ok()
}

fn marshal_of(message: &Message) -> usize {
    let name = message.request.fields.get("user-agent").unwrap_or("");
    name.rsplit("marshal-").next().and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Holds a long poll until there is an answer, its wait is over, or the client has closed the connection.
fn long_poll<T>(
    run: &RunState, socket: &Socket, message: &Message, down: impl Fn(&Environment) -> bool,
    poll: impl Fn(&mut Environment, Duration, u64, bool) -> Option<T>,
) -> Option<T> {
    let index = list::query(&message.request.target, "index").unwrap_or(0);
    let wait = list::query(&message.request.target, "wait").unwrap_or(0).min(60);
    let by = Instant::now() + Duration::from_secs(wait);
    loop {
        let silent = down(&run.env.lock().unwrap());
        if socket.peer_closed() || run.ended.load(Ordering::Acquire) {
            return None;
        }
        if !silent {
            let wait_over = index == 0 || Instant::now() >= by;
            if let Some(answer) = run.with_env(|env, now| poll(env, now, index, wait_over)) {
                return Some(answer);
            }
        }
        sleep(Duration::from_millis(15));
    }
}

fn answer_list(run: &Arc<RunState>, socket: &mut Socket, _: u32, message: Message) -> bool {
    if run.env.lock().unwrap().list_down() {
        return false;
    }
    let marshal = marshal_of(&message);
    let update = long_poll(
        run,
        socket,
        &message,
        |_| false,
        |env, now, index, wait_over| env.list(now, marshal, index, wait_over),
    );
    let Some((index, nodes)) = update else { return false };
    send(socket, 200, &[(list::INDEX_FIELD, &index.to_string())], &list::write(&nodes))
}

fn answer_controller(run: &Arc<RunState>, socket: &mut Socket, _: u32, message: Message) -> bool {
    let marshal = marshal_of(&message);
    if message.request.http_method == "POST" {
        let Ok(vote) = controller::parse::<controller::Vote>(&message.body) else {
            return send(socket, 400, &[], b"");
        };
        return match run.with_env(|env, now| env.vote(now, vote)) {
            Some(answer) => send(socket, 200, &[], &controller::write(&answer)),
            None => {
                // No answer: the marshal times out.
                let _ = socket.read(&mut [0], Some(Instant::now() + Duration::from_secs(10)));
                false
            }
        };
    }
    let update =
        long_poll(run, socket, &message, Environment::controller_down, |env, now, index, wait_over| {
            env.rollout_news(now, marshal, index, wait_over)
        });
    update.is_some_and(|rollout_update| send(socket, 200, &[], &controller::write(&rollout_update)))
}

/// Reads `id.call.key` of an attempt from the trace header that the client set.
fn trace_ids(message: &Message) -> Option<(u64, u64, u64)> {
    let mut parts = message.request.fields.get(rpc::TRACE)?.split('.').map(|p| p.parse().ok());
    Some((parts.next()??, parts.next()??, parts.next()??))
}

fn answer_rpc(run: &Arc<RunState>, socket: &mut Socket, node: u32, message: Message) -> bool {
    let via = message.request.fields.get("via").unwrap_or("");
    let marshal = via.rsplit("ivydrift-").next().and_then(|n| n.parse().ok());
    let name = rpc::method_from_target(&message.request.target);
    let Some((marshal, (id, call, key))) = marshal.zip(trace_ids(&message)) else {
        return send(socket, 400, &[], b"not from a marshal\n");
    };
    let arrived = run.with_env(|env, now| {
        let method = env.day.methods.iter().position(|m| m.0 == name)?;
        let build = env.nodes.get(node as usize)?.build;
        let (response, commands) = env.receive(now, node, &ReceivedRpc { id, call, marshal, method, key })?;
        Some((response, commands, build))
    });
    let Some((response, commands, build)) = arrived else { return false };
    commands.into_iter().for_each(|command| execute_node_command(run, command));
    let (at, answer) = match response {
        NodeResponse::Never => (Duration::from_secs(3600), None),
        NodeResponse::Break(at) => (at, None),
        NodeResponse::Answer { at, status, never_ran, load } => (at, Some((status, never_ran, load))),
    };
    // Wait until the work is done or the marshal closes the connection; nothing else may arrive meanwhile.
    let waited = socket.read(&mut [0], Some(run.started + at));
    let closed_by_marshal = !matches!(waited, Err(e) if e.kind() == ErrorKind::TimedOut);
    let keep_open = match answer.filter(|_| !closed_by_marshal) {
        Some((status, never_ran, load)) => {
            // Record the event before the marshal can react to the answer.
            run.with_env(|env, now| env.node_done(now, node, id, status == 200));
            let (load, build) = (load.write(), format!("build {build} node {node}\n"));
            let mut fields = vec![(orca::LOAD_FIELD, load.as_str())];
            if never_ran {
                fields.push((rpc::NEVER_RAN, "1"));
            }
            return send(socket, status, &fields, build.as_bytes());
        }
        None => false,
    };
    run.with_env(|env, now| env.node_done(now, node, id, false));
    keep_open
}
