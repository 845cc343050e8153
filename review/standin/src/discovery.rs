//! Discovery. It holds the list of nodes; each marshal reaches it at an address of its own.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::Conn;
use crate::record;

#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub addr: SocketAddr,
    pub phase: &'static str,
    pub build: u32,
    /// Revision of its last change.
    revision: u64,
}

impl Member {
    fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"site-a","flavor":"full-1c","cell":1,"phase":"{}","size":1.0,"up_since_ms":0,"image_id":{}}}"#,
            self.id, self.addr, self.phase, self.build
        )
    }
}

#[derive(Default)]
struct List {
    revision: u64,
    members: Vec<Member>,
}

impl List {
    fn answer(&self, from: Option<u64>) -> String {
        let listed = |m: &&Member| from.map_or(m.phase != "left", |from| m.revision > from);
        let members: Vec<String> = self.members.iter().filter(listed).map(Member::json).collect();
        let complete = from.is_none();
        format!(r#"{{"revision":{},"complete":{complete},"members":[{}]}}"#, self.revision, members.join(","))
    }
}

/// One address of discovery.
pub struct Door {
    pub name: String,
    pub addr: SocketAddr,
    /// Calls that come from now on wait in the queue, and are turned away after 2 s.
    pub crowded: AtomicBool,
    /// Where a watch ends with the process, it ends in 503.
    pub says_so: AtomicBool,
    /// The process is down: watches have ended, connections are refused.
    down: AtomicBool,
    /// Calls that came into the crowd, and calls turned away after their wait.
    pub queued: AtomicUsize,
    pub turned_away: AtomicUsize,
    /// Revisions written here, each with its time.
    pub told: Mutex<Vec<(f64, u64)>>,
}

/// Discovery.
#[derive(Clone, Default)]
pub struct Discovery {
    list: Arc<(Mutex<List>, Condvar)>,
    doors: Arc<Mutex<Vec<Arc<Door>>>>,
}

/// How long a call waits for its turn before it is turned away.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);

impl Discovery {
    /// Adds or changes a member. Returns the revision and the time of the change.
    pub fn set(&self, id: &str, addr: SocketAddr, phase: &'static str, build: u32) -> (u64, f64) {
        let mut list = self.list.0.lock().unwrap();
        list.revision += 1;
        let revision = list.revision;
        let member = Member { id: id.to_owned(), addr, phase, build, revision };
        match list.members.iter_mut().find(|m| m.id == id) {
            Some(known) => *known = member,
            None => list.members.push(member),
        }
        let at = record::now();
        record::line_at(at, &format!("discovery has {id} as {phase}, build {build}: revision {revision}"));
        self.list.1.notify_all();
        (revision, at)
    }

    /// The whole list, as a marshal's file holds it.
    pub fn whole(&self) -> String {
        self.list.0.lock().unwrap().answer(None)
    }

    /// Opens an address for one marshal.
    pub fn open(&self, name: &str) -> Arc<Door> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let door = Arc::new(Door {
            name: name.to_owned(),
            addr: listener.local_addr().unwrap(),
            crowded: AtomicBool::new(false),
            says_so: AtomicBool::new(false),
            down: AtomicBool::new(false),
            queued: AtomicUsize::new(0),
            turned_away: AtomicUsize::new(0),
            told: Mutex::default(),
        });
        self.doors.lock().unwrap().push(door.clone());
        self.listen(&door, listener);
        door
    }

    fn listen(&self, door: &Arc<Door>, listener: TcpListener) {
        let (serving, door) = (self.clone(), door.clone());
        listener.set_nonblocking(true).unwrap();
        std::thread::spawn(move || {
            while !door.down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (serving, door) = (serving.clone(), door.clone());
                        stream.set_nonblocking(false).unwrap();
                        std::thread::spawn(move || serving.serve(&door, Conn::new(stream)));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    /// The process dies: its connections are reset or closed and new ones are refused.
    pub fn go_down(&self) {
        record::line("discovery is down");
        for door in self.doors.lock().unwrap().iter() {
            door.down.store(true, Ordering::SeqCst);
        }
        self.list.1.notify_all();
        std::thread::sleep(Duration::from_millis(10));
    }

    /// It runs again, with its list.
    pub fn come_back(&self) {
        for door in self.doors.lock().unwrap().iter() {
            let listener = TcpListener::bind(door.addr).expect("the address is free again");
            door.down.store(false, Ordering::SeqCst);
            self.listen(door, listener);
        }
        record::line("discovery is back");
    }

    /// Lets a call wait in the queue. Returns whether its turn came, as the crowd was over within its time.
    fn waits_its_turn(&self, door: &Door) -> bool {
        door.queued.fetch_add(1, Ordering::SeqCst);
        let until = Instant::now() + QUEUE_TIMEOUT;
        while Instant::now() < until {
            if !door.crowded.load(Ordering::SeqCst) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }

    fn serve(&self, door: &Door, mut conn: Conn) {
        loop {
            // An idle connection ends with the process.
            let request = loop {
                match conn.read(Some(Instant::now() + Duration::from_millis(20))) {
                    Ok(Some(request)) => break request,
                    Err(e) if e.kind() == std::io::ErrorKind::TimedOut => {
                        if door.down.load(Ordering::SeqCst) {
                            return;
                        }
                    }
                    _ => return,
                }
            };
            let target = request.target().to_owned();
            record::line(&format!("discovery at {} got {target}", door.name));
            if door.crowded.load(Ordering::SeqCst) && !self.waits_its_turn(door) {
                door.turned_away.fetch_add(1, Ordering::SeqCst);
                record::line(&format!(
                    "discovery at {} turned away {target} after 2 s: too many callers",
                    door.name
                ));
                if conn.answer(503, "", "").is_err() {
                    return;
                }
                continue;
            }
            let value = |key: &str| {
                let query = target.split_once('?').map_or("", |(_, query)| query);
                query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let (from, hold) =
                (value("from"), Duration::from_millis(value("hold_ms").unwrap_or(0).min(60_000)));
            let until = Instant::now() + hold;
            let mut list = self.list.0.lock().unwrap();
            while from.is_some_and(|from| list.revision <= from) && !door.down.load(Ordering::SeqCst) {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                list = self.list.1.wait_timeout(list, left).unwrap().0;
            }
            if door.down.load(Ordering::SeqCst) {
                drop(list);
                if door.says_so.load(Ordering::SeqCst) {
                    record::line(&format!("discovery at {} ended the watch with 503", door.name));
                    let _ = conn.answer(503, "", "");
                }
                return;
            }
            let (text, revision) = (list.answer(from), list.revision);
            drop(list);
            let at = record::now();
            if conn.answer(200, "Content-Type: application/json\r\n", &text).is_err() {
                return;
            }
            door.told.lock().unwrap().push((at, revision));
            record::line_at(
                at,
                &format!("discovery at {} told revision {revision}, {} bytes", door.name, text.len()),
            );
        }
    }
}

impl Door {
    /// When this revision, or a later one, was first written here.
    pub fn told_at(&self, revision: u64) -> Option<f64> {
        self.told.lock().unwrap().iter().find(|(_, r)| *r >= revision).map(|(at, _)| *at)
    }
}
