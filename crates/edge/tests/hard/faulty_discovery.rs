//! A discovery service that fails on demand, in each way that the platform's protocol knows.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::platform_scene::{member_list, refuse, write_no_change};
use crate::scene::*;

/// How long a call waits in discovery's queue before it is refused.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);
/// The hold of a call that continues a watch.
const HOLD: Duration = Duration::from_secs(3);

/// How a call fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// 503 at once.
    EarlyRefusal,
    /// 503 after the time that a call may wait in the queue.
    LateRefusal,
    /// The connection is reset.
    Reset,
    /// Connections are refused, and open ones are reset once they carry a call.
    RefusedConnection,
    /// Nothing is answered; the connection stays open.
    Silence,
}

/// All of them.
pub const FAILURES: [Failure; 5] = [
    Failure::EarlyRefusal,
    Failure::LateRefusal,
    Failure::Reset,
    Failure::RefusedConnection,
    Failure::Silence,
];

/// A discovery service that fails on demand.
pub struct FaultyDiscovery {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

struct State {
    list: String,
    /// How calls fail now; they are answered if `None`.
    failure: Option<Failure>,
    /// When a list or the news that nothing has changed was last written.
    last_answer: Option<Instant>,
    /// When the last call arrived.
    last_call: Option<Instant>,
}

/// Makes the connection end in a reset, not in an orderly close, once the stream is dropped.
fn reset_on_close(stream: &TcpStream) {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
}

impl FaultyDiscovery {
    /// A discovery service that lists one node.
    pub fn new(node: SocketAddr, failure: Option<Failure>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let list = member_list(&[(node, 1)]);
        let state = State { list, failure, last_answer: None, last_call: None };
        let discovery = FaultyDiscovery { addr, state: Arc::new(Mutex::new(state)) };
        let state = discovery.state.clone();
        std::thread::spawn(move || listen(listener, addr, &state));
        discovery
    }

    /// Makes all calls fail from now on, also those that are held, or answers them again.
    pub fn fail(&self, failure: Option<Failure>) {
        self.state.lock().unwrap().failure = failure;
    }

    fn last_answer(&self) -> Option<Instant> {
        self.state.lock().unwrap().last_answer
    }

    /// Waits until a held call has been answered and the next one has come, which continues the watch. Returns
    /// when that answer was written.
    pub fn wait_for_continued_call(&self) -> Instant {
        wait_for("the first answer", ms(5000), || self.last_answer().is_some());
        let mut answer = self.last_answer().unwrap();
        let mut was_held = false;
        while !was_held {
            wait_for("the next answer", ms(6000), || self.last_answer() > Some(answer));
            let next = self.last_answer().unwrap();
            was_held = next - answer > HOLD - ms(200);
            answer = next;
        }
        wait_for("the call after it", ms(1000), || self.state.lock().unwrap().last_call > Some(answer));
        answer
    }
}

/// Accepts connections, except while connections are refused.
fn listen(listener: TcpListener, addr: SocketAddr, state: &Arc<Mutex<State>>) {
    let mut listener = Some(listener);
    loop {
        let refusing = state.lock().unwrap().failure == Some(Failure::RefusedConnection);
        if refusing {
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(addr).ok();
        }
        if let Some(listener) = &listener {
            listener.set_nonblocking(true).unwrap();
            while let Ok((mut stream, _)) = listener.accept() {
                stream.set_nonblocking(false).unwrap();
                let state = state.clone();
                std::thread::spawn(move || {
                    while let Some(message) = read_message(&mut stream) {
                        if !serve_call(&mut stream, &message, &state) {
                            return;
                        }
                    }
                });
            }
        }
        std::thread::sleep(ms(2));
    }
}

/// Handles one call; false if the connection is of no more use.
fn serve_call(stream: &mut TcpStream, message: &str, state: &Mutex<State>) -> bool {
    let called_at = Instant::now();
    state.lock().unwrap().last_call = Some(called_at);
    let hold_ms = message.split("hold_ms=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
    let hold = Duration::from_millis(hold_ms.unwrap_or(0));
    loop {
        let mut locked = state.lock().unwrap();
        match locked.failure {
            None if called_at.elapsed() >= hold => {
                let is_known = message.contains("from=1");
                let written = if is_known { write_no_change(stream) } else { write_ok(stream, &locked.list) };
                locked.last_answer = Some(Instant::now());
                return written;
            }
            Some(Failure::EarlyRefusal) => return refuse(stream),
            Some(Failure::LateRefusal) if called_at.elapsed() >= QUEUE_TIMEOUT => return refuse(stream),
            Some(Failure::Reset | Failure::RefusedConnection) => {
                reset_on_close(stream);
                return false;
            }
            Some(Failure::Silence) => {
                drop(locked);
                closes_within(stream, ms(12_000));
                return false;
            }
            None | Some(Failure::LateRefusal) => {}
        }
        drop(locked);
        std::thread::sleep(ms(2));
    }
}
