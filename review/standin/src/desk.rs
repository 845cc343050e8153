//! The release desk. It tells one state to all that follow it and once a second gives a sign of life.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::record;

/// The standing of the newest build.
#[derive(Clone)]
pub struct State {
    pub release: u32,
    pub tranche: u32,
    pub mode: &'static str,
    pub exposure: f64,
    pub since: Instant,
}

impl State {
    /// The words of a state, as after `ROLLOUT` and `OK`.
    pub fn words(&self) -> String {
        let old = self.since.elapsed().as_millis();
        format!("{} {} {} {} {old}", self.release, self.tranche, self.mode, self.exposure)
    }

    /// The state as the configuration holds it.
    pub fn json(&self) -> String {
        format!(
            r#"{{"release":{},"tranche":{},"mode":"{}","exposure":{},"old_ms":{}}}"#,
            self.release,
            self.tranche,
            self.mode,
            self.exposure,
            self.since.elapsed().as_millis()
        )
    }
}

/// A desk.
#[derive(Clone)]
pub struct Desk {
    pub addr: SocketAddr,
    pub state: Arc<Mutex<State>>,
}

impl Desk {
    /// Starts a desk whose newest build was released long ago.
    pub fn start(release: u32) -> Desk {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap();
        // Long ago; the clock may have begun only just before.
        let since = Instant::now().checked_sub(Duration::from_secs(60)).unwrap_or_else(Instant::now);
        let state = State { release, tranche: 2, mode: "live", exposure: 1.0, since };
        let desk = Desk { addr, state: Arc::new(Mutex::new(state)) };
        let serving = desk.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        desk
    }

    fn serve(&self, stream: std::net::TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        for line in BufReader::new(stream).lines() {
            let Ok(line) = line else { return };
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            let answer = match words[..] {
                ["follow"] => {
                    let first = format!("OK\r\n* ROLLOUT {}\r\n", self.state.lock().unwrap().words());
                    record::line(&format!("desk told {}", first.trim_end().replace("\r\n", " | ")));
                    if out.write_all(first.as_bytes()).is_err() {
                        return;
                    }
                    let (mut out, state) = (out.try_clone().unwrap(), self.state.clone());
                    std::thread::spawn(move || loop {
                        std::thread::sleep(Duration::from_millis(1000));
                        let text = format!("* ROLLOUT {}\r\n*\r\n", state.lock().unwrap().words());
                        if out.write_all(text.as_bytes()).is_err() {
                            return;
                        }
                    });
                    continue;
                }
                ["judge", ..] => "ERR moot\r\n",
                _ => "ERR malformed\r\n",
            };
            record::line(&format!("desk got {line}, answered {}", answer.trim_end()));
            if out.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}
