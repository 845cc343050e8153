//! The servers of node list, rollout controller and nodes: one thread for each listener and each connection.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ivydrift_audit::trace::{Course, Repeat, Seen, State};
use serde_json::{json, Value};

use super::http::{self, Message};
use super::{Deed, Got, Manner, Question, Shared, Town, Vote, ZONES};

/// Stack size of a thread, in bytes.
const STACK: usize = 256 * 1024;

/// How often a held request is checked for a closed connection.
const LOOK: Duration = Duration::from_millis(250);

/// What a listener serves.
#[derive(Clone, Copy)]
pub enum Role {
    List,
    Desk,
    Node(u32),
}

/// A listener and its open connections.
pub struct Door {
    pub addr: SocketAddr,
    closed: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Door {
    /// Stops accepting and breaks all connections.
    pub fn shut(&self) {
        if self.closed.swap(true, Ordering::AcqRel) {
            return;
        }
        // A connection wakes the pending accept.
        let _ = TcpStream::connect_timeout(&self.addr, Duration::from_millis(200));
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }
}

fn thread(run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new().stack_size(STACK).spawn(run).map(drop)
}

/// Serves a listener until it is shut.
pub fn open(shared: &Arc<Shared>, listener: TcpListener, role: Role) -> io::Result<Arc<Door>> {
    let addr = listener.local_addr()?;
    let door = Arc::new(Door { addr, closed: AtomicBool::new(false), open: Mutex::default() });
    let (shared, own) = (shared.clone(), door.clone());
    thread(move || {
        for stream in listener.incoming() {
            if own.closed() {
                return;
            }
            let Ok(stream) = stream else { continue };
            if let Role::Node(node) = role {
                shared.with(|town, _| town.nodes[node as usize].connections += 1);
            }
            let _ = stream.set_nodelay(true);
            let (shared, own) = (shared.clone(), own.clone());
            let _ = thread(move || {
                let Ok(other) = stream.try_clone() else { return };
                own.open.lock().unwrap().push(other);
                converse(&shared, &own, stream, role);
            });
        }
    })?;
    Ok(door)
}

fn converse(shared: &Shared, door: &Door, stream: TcpStream, role: Role) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut input = BufReader::new(stream);
    while let Ok(Some(message)) = http::read(&mut input) {
        let answer = match role {
            _ if door.closed() => None,
            Role::List => list(shared, &mut out, &message),
            Role::Desk if message.word(0) == "POST" => vote(shared, &message),
            Role::Desk => news(shared, &out, &message),
            Role::Node(node) => rpc(shared, door, &out, node, &message),
        };
        if answer.is_none_or(|answer| out.write_all(&answer).is_err()) {
            break;
        }
    }
    let _ = out.shutdown(Shutdown::Both);
}

fn left(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(n) => n == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Holds a long poll until there is an answer or the client has closed the connection.
fn hold<T>(
    shared: &Shared, stream: &TcpStream, message: &Message,
    ask: impl Fn(&mut Town, Duration, u64, bool) -> Option<T>,
) -> Option<T> {
    let number = |name| message.query(name).and_then(|n| n.trim_end_matches('s').parse::<u64>().ok());
    let (index, wait) = (number("index").unwrap_or(0), number("wait").unwrap_or(0).min(60));
    let by = Instant::now() + Duration::from_secs(wait);
    loop {
        let must = index == 0 || Instant::now() >= by;
        let mut town = shared.town.lock().unwrap();
        let now = shared.zero.elapsed();
        if let Some(answer) = ask(&mut town, now, index, must) {
            return Some(answer);
        }
        let wait = by.saturating_duration_since(Instant::now()).min(LOOK);
        drop(shared.changed.wait_timeout(town, wait).unwrap());
        if shared.over() || left(stream) {
            return None;
        }
    }
}

fn asker(message: &Message) -> u32 {
    let name = message.field("user-agent").unwrap_or_default();
    name.rsplit("marshal-").next().and_then(|n| n.parse().ok()).unwrap_or(u32::MAX)
}

fn list(shared: &Shared, out: &mut TcpStream, message: &Message) -> Option<Vec<u8>> {
    let service = message.path().strip_prefix("/v1/health/service/").unwrap_or_default().to_owned();
    let marshal = asker(message);
    let index = message.query("index").and_then(|n| n.parse().ok()).unwrap_or(0);
    let manner = shared.with(|town, at| {
        town.questions.push(Question { at, marshal, service: service.clone(), index });
        town.services.get(&service).map_or(Manner::Fine, |one| one.manner)
    });
    match manner {
        Manner::Silent => return silence(shared, out),
        Manner::Slow(time) => std::thread::sleep(time),
        _ => {}
    }
    let key = (marshal, service.clone());
    shared.with(|town, _| *town.watches.entry(key.clone()).or_default() += 1);
    let told = hold(shared, out, message, |town, now, index, must| {
        listed(town, now, marshal, &service, index, must)
    });
    shared.with(|town, _| town.watches.get_mut(&key).into_iter().for_each(|n| *n -= 1));
    let (index, body) = told?;
    let answer = http::answer(200, &[("X-Consul-Index", index.to_string())], &body);
    match shared.with(|town, _| town.services.get(&service).map_or(Manner::Fine, |one| one.manner)) {
        Manner::Torn | Manner::Stuck if body.len() < 4 => None,
        Manner::Torn => {
            let _ = out.write_all(&answer[..answer.len() - body.len() / 2]);
            None
        }
        Manner::Stuck => {
            let _ = out.write_all(&answer[..answer.len() - body.len() / 2]);
            silence(shared, out)
        }
        _ => Some(answer),
    }
}

fn silence(shared: &Shared, out: &TcpStream) -> Option<Vec<u8>> {
    while !shared.over() && !left(out) {
        std::thread::sleep(LOOK);
    }
    None
}

/// The node list of a service, if it is newer than `index` or the wait is over (`must`).
fn listed(
    town: &mut Town, now: Duration, marshal: u32, service: &str, index: u64, must: bool,
) -> Option<(u64, String)> {
    let (at, manner) = town.services.get(service).map_or((1, Manner::Fine), |one| (one.index[0], one.manner));
    if at <= index && !must {
        return None;
    }
    let mine = town.nodes.iter().enumerate().filter(|(_, n)| n.service == service && n.state != State::Gone);
    let fresh: BTreeMap<u32, State> = mine.clone().map(|(i, n)| (i as u32, n.state)).collect();
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
    let body = Value::Array(mine.map(|(_, node)| entry(node)).collect()).to_string();
    // A truncated answer tells the marshal nothing.
    if !matches!(manner, Manner::Torn | Manner::Stuck) {
        let key = (marshal, service.to_owned());
        let known = town.told.insert(key, fresh.clone()).unwrap_or_default();
        let gone = known.keys().filter(|n| !fresh.contains_key(n)).map(|n| (*n, State::Gone));
        let changed = fresh.iter().filter(|(n, s)| known.get(n) != Some(s)).map(|(n, s)| (*n, *s));
        for (node, state) in gone.chain(changed) {
            town.say(now, service, Seen::Told { marshal, node, state });
        }
    }
    Some((at, body))
}

fn word(course: Course) -> &'static str {
    match course {
        Course::OnTrial => "on-trial",
        Course::GoingBack => "going-back",
        Course::Released => "released",
        Course::Withdrawn => "withdrawn",
    }
}

/// The rollout state of a service with its version. Records it in the trace if it is new to the marshal.
fn standing(town: &mut Town, now: Duration, marshal: u32, service: &str) -> Option<(u64, Value)> {
    let one = town.services.get(service)?;
    let ((build, stage, course, cap), index) = (one.news, one.index[1]);
    let age = one.since.elapsed().as_millis() as u64 + if index == 1 { 90_000 } else { 0 };
    let news = (build, stage, course, cap);
    if town.newsed.insert((marshal, service.to_owned()), news) != Some(news) {
        town.say(now, service, Seen::News { marshal, build, stage, course, cap });
    }
    let stage = json!({"build": build, "stage": stage, "course": word(course), "cap": cap, "age_ms": age});
    Some((index, stage))
}

fn news(shared: &Shared, stream: &TcpStream, message: &Message) -> Option<Vec<u8>> {
    let service = message.query("service").unwrap_or(&shared.home).to_owned();
    let marshal = message.query("marshal").and_then(|n| n.parse().ok()).unwrap_or(u32::MAX);
    let told = hold(shared, stream, message, |town, now, index, must| {
        let known = town.services.get(&service).map_or(0, |one| one.index[1]);
        let (index, stage) = (known > index || must).then(|| standing(town, now, marshal, &service))??;
        Some(json!({"index": index, "stage": stage}))
    });
    told.map(|told| http::answer(200, &[], &told.to_string()))
}

fn vote(shared: &Shared, message: &Message) -> Option<Vec<u8>> {
    let vote: Value = serde_json::from_slice(&message.body).ok()?;
    let number = |name: &str| vote[name].as_u64().unwrap_or(u64::from(u32::MAX)) as u32;
    let service = vote["service"].as_str().unwrap_or(&shared.home).to_owned();
    let verdict = vote["verdict"].as_str().unwrap_or_default().to_owned();
    let stage = shared.with(|town, now| {
        let (marshal, build) = (number("marshal"), number("build"));
        town.votes.push(Vote { marshal, service: service.clone(), verdict, build });
        standing(town, now, marshal, &service)
    });
    Some(http::answer(200, &[], &json!({"counted": "counts", "stage": stage?.1}).to_string()))
}

/// Attempt, call and key, as the client wrote them.
fn traced(message: &Message) -> Option<(u64, u64, u64)> {
    let mut parts = message.field("ivydrift-trace")?.split('.').map(|p| p.parse().ok());
    Some((parts.next()??, parts.next()??, parts.next()??))
}

fn rpc(shared: &Shared, door: &Door, out: &TcpStream, node: u32, message: &Message) -> Option<Vec<u8>> {
    let via = message.field("via").unwrap_or_default();
    let marshal: u32 = via.rsplit("ivydrift-").next().and_then(|n| n.parse().ok())?;
    let method = message.path().trim_start_matches('/').to_owned();
    let (id, call, key) = traced(message)?;
    let known = shared.law.methods.iter().find(|m| m.name == method)?;
    let (plan, deed) = shared.with(|town, at| {
        let one = &town.nodes[node as usize];
        let (plan, deed, service) = (one.plan, one.deed, one.service.clone());
        let (build, zone, cell, work_us) = (plan.build, plan.zone as u32, 0, plan.work.as_micros() as u64);
        let name = method.clone();
        let got = Seen::Got { node, build, marshal, id, method: name, key, zone, cell, work_us };
        town.say(at, &service, got);
        town.got.push(Got { at, node, build, marshal, id });
        let window = Duration::from_micros(known.window_us);
        let met = town.tokens.get(&call).is_some_and(|t| t.elapsed() <= window);
        if known.repeat != Repeat::Idempotent && !(known.repeat == Repeat::Tokened && met) {
            town.tokens.insert(call, Instant::now());
            town.say(at, &service, Seen::Ran { node, call, method: method.clone() });
        }
        (plan, deed)
    });
    let by = Instant::now() + plan.work;
    while Instant::now() < by {
        std::thread::sleep(by.saturating_duration_since(Instant::now()).min(Duration::from_millis(20)));
        if door.closed() || left(out) {
            break;
        }
    }
    let fine = deed == Deed::Answers && !door.closed() && !left(out);
    // Record the event before the marshal can react to the answer.
    shared.with(|town, now| town.say(now, "", Seen::Done { node, id, ok: fine }));
    fine.then(|| http::answer(200, &[], &format!("build {} node {node}\n", plan.build)))
}
