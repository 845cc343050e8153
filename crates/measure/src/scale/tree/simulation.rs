//! Simulates, in virtual time, the distribution of one state from its owner to all marshals along the tree of
//! `ivydrift_commons::large`.

use std::collections::BTreeMap;
use std::time::Duration;

use ivydrift_commons::large_state::{Key, Message, States};
use ivydrift_wire::peer;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const KEY: Key = Key { owner: 0, id: 9 };
const TICK: Duration = Duration::from_millis(50);
/// Header bytes of a datagram between marshals.
const HEADER_BYTES: u64 = 5;

/// Traffic sent by one marshal.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sent {
    pub pieces: u64,
    pub bytes: u64,
    /// Most pieces sent within one second; `current_second` holds the current second and its count.
    pub max_per_second: u64,
    current_second: (u64, u64),
}

/// A simulated fleet of marshals.
pub struct Simulation {
    pub now: Duration,
    pub sent: Vec<Sent>,
    states: Vec<States>,
    loss: f64,
    in_flight: BTreeMap<(Duration, u64), (usize, usize, Message)>,
    sequence: u64,
    rng: StdRng,
}

impl Simulation {
    /// Creates `count` marshals whose links lose the share `loss` of the datagrams.
    pub fn new(count: u16, loss: f64, seed: u64) -> Simulation {
        Simulation {
            now: Duration::ZERO,
            sent: vec![Sent::default(); usize::from(count)],
            states: (0..count).map(|n| States::new(n, Duration::ZERO)).collect(),
            loss,
            in_flight: BTreeMap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Publishes a new state at its owner and announces it to all others.
    pub fn offer(&mut self, version: u32, bytes: &[u8]) {
        let notice = self.states[0].offer(self.now, KEY.id, version, bytes);
        for states in self.states.iter_mut().skip(1) {
            notice.iter().for_each(|notice| states.want(self.now, KEY, *notice));
        }
    }

    /// Number of marshals that have the complete state.
    pub fn holders(&self, version: u32) -> usize {
        self.states.iter().filter(|s| s.get(KEY).is_some_and(|(v, _)| v == version)).count()
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let (sent, current_second) = (&mut self.sent[from], self.now.as_secs());
        sent.bytes += HEADER_BYTES + peer::serialize(&message).len() as u64;
        if let Message::Piece { .. } = message {
            sent.pieces += 1;
            sent.current_second = if sent.current_second.0 == current_second {
                (current_second, sent.current_second.1 + 1)
            } else {
                (current_second, 1)
            };
            sent.max_per_second = sent.max_per_second.max(sent.current_second.1);
        }
        if !self.rng.random_bool(self.loss) {
            self.sequence += 1;
            let at = self.now + Duration::from_micros(self.rng.random_range(1_000..40_000));
            self.in_flight.insert((at, self.sequence), (from, to, message));
        }
    }

    /// Advances by one tick: delivers the datagrams due by then, then ticks all marshals.
    pub fn step(&mut self) {
        self.now += TICK;
        while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= self.now) {
            let ((at, _), (from, to, message)) = entry.remove_entry();
            if let Some(answer) = self.states[to].receive(at, message) {
                self.send(to, from, answer);
            }
        }
        let marshals: Vec<u16> = (0..self.states.len() as u16).collect();
        for n in 0..self.states.len() {
            for (to, message) in self.states[n].tick(self.now, &marshals, &|_| true) {
                self.send(n, usize::from(to), message);
            }
        }
    }

    /// Runs until `many` marshals have the state. Returns the seconds since the start, or `None` if `most`
    /// passed first.
    pub fn run_until(&mut self, version: u32, many: usize, most: Duration) -> Option<f64> {
        while self.holders(version) < many {
            if self.now >= most {
                return None;
            }
            self.step();
        }
        Some(self.now.as_secs_f64())
    }
}
