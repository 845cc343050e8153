//! The servers of node list, rollout controller and nodes: one thread for each listener and each connection.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ivydrift_audit::trace::{Event, Repeat, RolloutState, State};
use serde_json::{json, Value};

use super::http::{self, Message};
use super::{Environment, Got, ListBehavior, ListRequest, NodeBehavior, Shared, Vote, ZONES};

/// Stack size of a thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// How often a held request is checked for a closed connection.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What a listener serves.
#[derive(Clone, Copy)]
pub enum Role {
    List,
    Controller,
    Node(u32),
}

/// A listener and its open connections.
pub struct Server {
    pub addr: SocketAddr,
    closed: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Server {
    /// Stops accepting and breaks all connections.
    pub fn shut(&self) {
        if self.closed.swap(true, Ordering::AcqRel) {
            return;
        }
        // A connection wakes the pending accept.
        let _ = TcpStream::connect_timeout(&self.addr, Duration::from_millis(200));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }
}

fn spawn_thread(run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new().stack_size(STACK_BYTES).spawn(run).map(drop)
}

/// Serves a listener until it is shut.
pub fn open(shared: &Arc<Shared>, listener: TcpListener, role: Role) -> io::Result<Arc<Server>> {
    let addr = listener.local_addr()?;
    let server = Arc::new(Server { addr, closed: AtomicBool::new(false), streams: Mutex::default() });
    let (shared, own_server) = (shared.clone(), server.clone());
    spawn_thread(move || {
        for stream in listener.incoming() {
            if own_server.closed() {
                return;
            }
            let Ok(stream) = stream else { continue };
            if let Role::Node(node) = role {
                shared.with(|env, _| env.nodes[node as usize].connections += 1);
            }
            let _ = stream.set_nodelay(true);
            let (shared, own_server) = (shared.clone(), own_server.clone());
            let _ = spawn_thread(move || {
                let Ok(other) = stream.try_clone() else { return };
                own_server.streams.lock().unwrap().push(other);
                serve_connection(&shared, &own_server, stream, role);
            });
        }
    })?;
    Ok(server)
}

fn serve_connection(shared: &Shared, server: &Server, stream: TcpStream, role: Role) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Ok(Some(message)) = http::read(&mut input) {
        let answer = match role {
            _ if server.closed() => None,
            Role::List => answer_list(shared, &mut out, &message),
            Role::Controller if message.start_line_part(0) == "POST" => answer_vote(shared, &message),
            Role::Controller => answer_rollout(shared, &out, &message),
            Role::Node(node) => answer_rpc(shared, server, &out, node, &message),
        };
        if answer.is_none_or(|answer| out.write_all(&answer).is_err()) {
            break;
        }
    }
    let _ = out.shutdown(Shutdown::Both);
}

fn disconnected(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(n) => n == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Holds a long poll until there is an answer or the client has closed the connection.
fn long_poll<T>(
    shared: &Shared, stream: &TcpStream, message: &Message,
    poll: impl Fn(&mut Environment, Duration, u64, bool) -> Option<T>,
) -> Option<T> {
    let number = |name| message.query(name).and_then(|n| n.trim_end_matches('s').parse::<u64>().ok());
    let (index, wait) = (number("index").unwrap_or(0), number("wait").unwrap_or(0).min(60));
    let by = Instant::now() + Duration::from_secs(wait);
    loop {
        let wait_over = index == 0 || Instant::now() >= by;
        let mut env = shared.env.lock().unwrap();
        let now = shared.started.elapsed();
        if let Some(answer) = poll(&mut env, now, index, wait_over) {
            return Some(answer);
        }
        let wait = by.saturating_duration_since(Instant::now()).min(DISCONNECT_CHECK_INTERVAL);
        drop(shared.changed.wait_timeout(env, wait).unwrap());
        if shared.is_stopped() || disconnected(stream) {
            return None;
        }
    }
}

fn marshal_of(message: &Message) -> u32 {
    let name = message.field("user-agent").unwrap_or_default();
    name.rsplit("marshal-").next().and_then(|n| n.parse().ok()).unwrap_or(u32::MAX)
}

fn answer_list(shared: &Shared, out: &mut TcpStream, message: &Message) -> Option<Vec<u8>> {
    let service = message.path().strip_prefix("/v1/health/service/").unwrap_or_default().to_owned();
    let marshal = marshal_of(message);
    let index = message.query("index").and_then(|n| n.parse().ok()).unwrap_or(0);
    let manner = shared.with(|env, at| {
        env.questions.push(ListRequest { at, marshal, service: service.clone(), index });
        env.services.get(&service).map_or(ListBehavior::Normal, |service_state| service_state.manner)
    });
    match manner {
        ListBehavior::Silent => return wait_for_disconnect(shared, out),
        ListBehavior::Slow(time) => std::thread::sleep(time),
        _ => {}
    }
    let key = (marshal, service.clone());
    shared.with(|env, _| *env.open_polls.entry(key.clone()).or_default() += 1);
    let update = long_poll(shared, out, message, |env, now, index, wait_over| {
        node_list(env, now, marshal, &service, index, wait_over)
    });
    shared.with(|env, _| env.open_polls.get_mut(&key).into_iter().for_each(|n| *n -= 1));
    let (index, body) = update?;
    let answer = http::response(200, &[("X-Consul-Index", index.to_string())], &body);
    match shared.with(|env, _| {
        env.services.get(&service).map_or(ListBehavior::Normal, |service_state| service_state.manner)
    }) {
        ListBehavior::Truncated | ListBehavior::Stalled if body.len() < 4 => None,
        ListBehavior::Truncated => {
            let _ = out.write_all(&answer[..answer.len() - body.len() / 2]);
            None
        }
        ListBehavior::Stalled => {
            let _ = out.write_all(&answer[..answer.len() - body.len() / 2]);
            wait_for_disconnect(shared, out)
        }
        _ => Some(answer),
    }
}

fn wait_for_disconnect(shared: &Shared, out: &TcpStream) -> Option<Vec<u8>> {
    while !shared.is_stopped() && !disconnected(out) {
        std::thread::sleep(DISCONNECT_CHECK_INTERVAL);
    }
    None
}

/// The node list of a service, if it is newer than `index` or the wait is over (`wait_over`).
fn node_list(
    env: &mut Environment, now: Duration, marshal: u32, service: &str, index: u64, wait_over: bool,
) -> Option<(u64, String)> {
    let (at, manner) = env
        .services
        .get(service)
        .map_or((1, ListBehavior::Normal), |service_state| (service_state.index[0], service_state.manner));
    if at <= index && !wait_over {
        return None;
    }
    let service_nodes =
        env.nodes.iter().enumerate().filter(|(_, n)| n.service == service && n.state != State::Gone);
    let current: BTreeMap<u32, State> = service_nodes.clone().map(|(i, n)| (i as u32, n.state)).collect();
    let entry = |node: &super::Node| {
        let mut meta = json!({
            "build": node.plan.build.to_string(), "zone": ZONES[node.plan.zone % ZONES.len()],
            "power": node.plan.capacity.to_string(),
        });
        if let Some(ms) = node.started_ms {
            meta["started_ms"] = json!(ms.to_string());
        }
        let status = if node.state == State::Ready { "passing" } else { "draining" };
        json!({"Service": {"Address": node.addr.ip().to_string(), "Port": node.addr.port(), "Meta": meta},
               "Checks": [{"Status": status}]})
    };
    let body = Value::Array(service_nodes.map(|(_, node)| entry(node)).collect()).to_string();
    // A truncated answer tells the marshal nothing.
    if !matches!(manner, ListBehavior::Truncated | ListBehavior::Stalled) {
        let key = (marshal, service.to_owned());
        let known = env.told_nodes.insert(key, current.clone()).unwrap_or_default();
        let gone = known.keys().filter(|n| !current.contains_key(n)).map(|n| (*n, State::Gone));
        let changed = current.iter().filter(|(n, s)| known.get(n) != Some(s)).map(|(n, s)| (*n, *s));
        for (node, state) in gone.chain(changed) {
            env.record(now, service, Event::Told { marshal, node, state });
        }
    }
    Some((at, body))
}

fn course_name(course: RolloutState) -> &'static str {
    match course {
        RolloutState::OnTrial => "on-trial",
        RolloutState::GoingBack => "going-back",
        RolloutState::Released => "released",
        RolloutState::Withdrawn => "withdrawn",
    }
}

/// The rollout state of a service with its version. Records it in the trace if it is new to the marshal.
fn rollout_state(env: &mut Environment, now: Duration, marshal: u32, service: &str) -> Option<(u64, Value)> {
    let service_state = env.services.get(service)?;
    let ((build, stage, course, cap), index) = (service_state.rollout, service_state.index[1]);
    let age = service_state.rollout_since.elapsed().as_millis() as u64 + if index == 1 { 90_000 } else { 0 };
    let rollout = (build, stage, course, cap);
    if env.told_rollouts.insert((marshal, service.to_owned()), rollout) != Some(rollout) {
        env.record(now, service, Event::News { marshal, build, stage, course, cap });
    }
    let stage =
        json!({"build": build, "stage": stage, "course": course_name(course), "cap": cap, "age_ms": age});
    Some((index, stage))
}

fn answer_rollout(shared: &Shared, stream: &TcpStream, message: &Message) -> Option<Vec<u8>> {
    let service = message.query("service").unwrap_or(&shared.home_service).to_owned();
    let marshal = message.query("marshal").and_then(|n| n.parse().ok()).unwrap_or(u32::MAX);
    let update = long_poll(shared, stream, message, |env, now, index, wait_over| {
        let known = env.services.get(&service).map_or(0, |service_state| service_state.index[1]);
        let (index, stage) =
            (known > index || wait_over).then(|| rollout_state(env, now, marshal, &service))??;
        Some(json!({"index": index, "stage": stage}))
    });
    update.map(|update| http::response(200, &[], &update.to_string()))
}

fn answer_vote(shared: &Shared, message: &Message) -> Option<Vec<u8>> {
    let vote: Value = serde_json::from_slice(&message.body).ok()?;
    let number = |name: &str| vote[name].as_u64().unwrap_or(u64::from(u32::MAX)) as u32;
    let service = vote["service"].as_str().unwrap_or(&shared.home_service).to_owned();
    let verdict = vote["verdict"].as_str().unwrap_or_default().to_owned();
    let stage = shared.with(|env, now| {
        let (marshal, build) = (number("marshal"), number("build"));
        env.votes.push(Vote { marshal, service: service.clone(), verdict, build });
        rollout_state(env, now, marshal, &service)
    });
    Some(http::response(200, &[], &json!({"counted": "counts", "stage": stage?.1}).to_string()))
}

/// Attempt, call and key, as the client wrote them.
fn trace_ids(message: &Message) -> Option<(u64, u64, u64)> {
    let mut parts = message.field("ivydrift-trace")?.split('.').map(|p| p.parse().ok());
    Some((parts.next()??, parts.next()??, parts.next()??))
}

fn answer_rpc(
    shared: &Shared, server: &Server, out: &TcpStream, node: u32, message: &Message,
) -> Option<Vec<u8>> {
    let via = message.field("via").unwrap_or_default();
    let marshal: u32 = via.rsplit("ivydrift-").next().and_then(|n| n.parse().ok())?;
    let method = message.path().trim_start_matches('/').to_owned();
    let (id, call, key) = trace_ids(message)?;
    let known = shared.law.methods.iter().find(|m| m.name == method)?;
    let (plan, behavior) = shared.with(|env, at| {
        let target = &env.nodes[node as usize];
        let (plan, behavior, service) = (target.plan, target.behavior, target.service.clone());
        let (build, zone, cell, work_us) = (plan.build, plan.zone as u32, 0, plan.work.as_micros() as u64);
        let name = method.clone();
        let got = Event::Got { node, build, marshal, id, method: name, key, zone, cell, work_us };
        env.record(at, &service, got);
        env.got.push(Got { at, node, build, marshal, id });
        let window = Duration::from_micros(known.window_us);
        let token_known = env.tokens.get(&call).is_some_and(|t| t.elapsed() <= window);
        if known.repeat != Repeat::Idempotent && !(known.repeat == Repeat::Tokened && token_known) {
            env.tokens.insert(call, Instant::now());
            env.record(at, &service, Event::Ran { node, call, method: method.clone() });
        }
        (plan, behavior)
    });
    let by = Instant::now() + plan.work;
    while Instant::now() < by {
        std::thread::sleep(by.saturating_duration_since(Instant::now()).min(Duration::from_millis(20)));
        if server.closed() || disconnected(out) {
            break;
        }
    }
    let answered = behavior == NodeBehavior::Answers && !server.closed() && !disconnected(out);
    // Record the event before the marshal can react to the answer.
    shared.with(|env, now| env.record(now, "", Event::Done { node, id, ok: answered }));
    answered.then(|| http::response(200, &[], &format!("build {} node {node}\n", plan.build)))
}
