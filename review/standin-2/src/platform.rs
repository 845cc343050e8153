//! Discovery and the release desk.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};

use crate::common::*;

/// A listed node.
#[derive(Clone)]
pub struct Member {
    pub addr: SocketAddr,
    pub phase: &'static str,
    pub build: u32,
    pub up_since_ms: u64,
}

#[derive(Default)]
struct List {
    revision: u64,
    /// By id, each with the revision of its last change.
    members: BTreeMap<String, (u64, Member)>,
}

/// Discovery. Calls are served at once.
pub struct Discovery {
    list: Mutex<List>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Discovery {
    pub fn new(record: &Arc<Record>) -> Arc<Discovery> {
        let record = record.clone();
        Arc::new(Discovery { list: Mutex::default(), changed: Condvar::new(), record })
    }

    /// Adds or changes entries; all in one revision.
    pub fn set(&self, entries: Vec<(String, Member)>) {
        let mut list = self.list.lock().unwrap();
        list.revision += 1;
        let revision = list.revision;
        for (id, member) in entries {
            self.record.note(&format!("list revision={revision} id={id} phase={} build={}", member.phase, member.build));
            list.members.insert(id, (revision, member));
        }
        drop(list);
        self.changed.notify_all();
    }

    /// The list in the form of an answer: the whole, or what has changed since a revision.
    pub fn text(&self, since: Option<u64>) -> String {
        let list = self.list.lock().unwrap();
        let entry = |(id, (_, m)): (&String, &(u64, Member))| {
            format!(
                r#"{{"id":"{id}","host_port":"{}","locality":"site-a","flavor":"full-1c","cell":1,"phase":"{}","size":1.0,"up_since_ms":{},"image_id":{}}}"#,
                m.addr, m.phase, m.up_since_ms, m.build
            )
        };
        let wanted = |m: &(&String, &(u64, Member))| match since {
            Some(known) => m.1 .0 > known,
            None => m.1 .1.phase != "left",
        };
        let members: Vec<String> = list.members.iter().filter(wanted).map(entry).collect();
        let (revision, complete) = (list.revision, since.is_none());
        format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, members.join(","))
    }

    /// Serves a connection.
    fn connection(&self, mut stream: TcpStream) {
        let mut buf = Vec::new();
        let port = stream.peer_addr().map_or(0, |a| a.port());
        while let Some(call) = read_message(&mut stream, &mut buf) {
            let target = call.first.get(1).cloned().unwrap_or_default();
            let query = |name: &str| -> Option<u64> {
                target.split(['?', '&']).find_map(|part| part.strip_prefix(name)).and_then(|n| n.parse().ok())
            };
            let known = query("from=").filter(|known| *known <= self.list.lock().unwrap().revision);
            if let Some(known) = known {
                let hold = ms(query("hold_ms=").unwrap_or(0).min(60_000));
                let list = self.list.lock().unwrap();
                drop(self.changed.wait_timeout_while(list, hold, |list| list.revision <= known));
            }
            let text = answer("200 OK", "Content-Type: application/json\r\n", &self.text(known));
            let took = (now() - call.ended).as_millis();
            self.record.note(&format!("discovery from={port} call={target} took_ms={took} answer={}", &text[9..12]));
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    pub fn start(self: &Arc<Self>) -> SocketAddr {
        let discovery = self.clone();
        serve(move |stream| discovery.connection(stream))
    }
}

/// A release desk whose newest build was released long ago.
pub fn start_desk(build: u32) -> (SocketAddr, String) {
    let state = move || format!("{build} 2 live 1.0 {}", 90_000 + now().as_millis());
    let addr = serve(move |mut stream| {
        let mut line = Vec::new();
        let mut byte = [0];
        while !line.ends_with(b"\r\n") {
            match stream.read(&mut byte) {
                Ok(1) => line.push(byte[0]),
                _ => return,
            }
        }
        if line != b"follow\r\n" {
            let _ = stream.write_all(b"ERR moot\r\n");
            return;
        }
        let mut text = format!("OK\r\n* ROLLOUT {}\r\n", state());
        while stream.write_all(text.as_bytes()).is_ok() {
            std::thread::sleep(ms(1000));
            text = format!("*\r\n* ROLLOUT {}\r\n", state());
        }
    });
    (addr, format!(r#"{{"release":{build},"tranche":2,"mode":"live","exposure":1.0,"old_ms":90000}}"#))
}
