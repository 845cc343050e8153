//! Simulates, in virtual time, the distribution of one state from its owner to all marshals along the tree of
//! `ivydrift_commons::large`.

use std::collections::BTreeMap;
use std::time::Duration;

use ivydrift_commons::large::{Key, States, Word};
use ivydrift_wire::peer;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const KEY: Key = Key { owner: 0, id: 9 };
const BEAT: Duration = Duration::from_millis(50);
/// Header bytes of a datagram between marshals.
const HEAD: u64 = 5;

/// Traffic sent by one marshal.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sent {
    pub pieces: u64,
    pub bytes: u64,
    /// Most pieces sent within one second; `second` holds the current second and its count.
    pub most: u64,
    second: (u64, u64),
}

/// A simulated fleet of marshals.
pub struct World {
    pub now: Duration,
    pub sent: Vec<Sent>,
    all: Vec<States>,
    loss: f64,
    mail: BTreeMap<(Duration, u64), (usize, usize, Word)>,
    posted: u64,
    rng: StdRng,
}

impl World {
    /// Creates `count` marshals whose links lose the share `loss` of the datagrams.
    pub fn new(count: u16, loss: f64, seed: u64) -> World {
        World {
            now: Duration::ZERO,
            sent: vec![Sent::default(); usize::from(count)],
            all: (0..count).map(|n| States::new(n, Duration::ZERO)).collect(),
            loss,
            mail: BTreeMap::new(),
            posted: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Publishes a new state at its owner and announces it to all others.
    pub fn offer(&mut self, version: u32, bytes: &[u8]) {
        let notice = self.all[0].offer(self.now, KEY.id, version, bytes);
        for states in self.all.iter_mut().skip(1) {
            notice.iter().for_each(|notice| states.want(self.now, KEY, *notice));
        }
    }

    /// Number of marshals that have the complete state.
    pub fn have(&self, version: u32) -> usize {
        self.all.iter().filter(|s| s.get(KEY).is_some_and(|(v, _)| v == version)).count()
    }

    fn post(&mut self, from: usize, to: usize, word: Word) {
        let (sent, second) = (&mut self.sent[from], self.now.as_secs());
        sent.bytes += HEAD + peer::pack(&word).len() as u64;
        if let Word::Piece { .. } = word {
            sent.pieces += 1;
            sent.second = if sent.second.0 == second { (second, sent.second.1 + 1) } else { (second, 1) };
            sent.most = sent.most.max(sent.second.1);
        }
        if !self.rng.random_bool(self.loss) {
            self.posted += 1;
            let at = self.now + Duration::from_micros(self.rng.random_range(1_000..40_000));
            self.mail.insert((at, self.posted), (from, to, word));
        }
    }

    /// Advances by one tick: delivers the datagrams due by then, then ticks all marshals.
    pub fn step(&mut self) {
        self.now += BEAT;
        while let Some(entry) = self.mail.first_entry().filter(|e| e.key().0 <= self.now) {
            let ((at, _), (from, to, word)) = entry.remove_entry();
            if let Some(answer) = self.all[to].hear(at, word) {
                self.post(to, from, answer);
            }
        }
        let marshals: Vec<u16> = (0..self.all.len() as u16).collect();
        for n in 0..self.all.len() {
            for (to, word) in self.all[n].beat(self.now, &marshals, &|_| true) {
                self.post(n, usize::from(to), word);
            }
        }
    }

    /// Runs until `many` marshals have the state. Returns the seconds since the start, or `None` if `most`
    /// passed first.
    pub fn until(&mut self, version: u32, many: usize, most: Duration) -> Option<f64> {
        while self.have(version) < many {
            if self.now >= most {
                return None;
            }
            self.step();
        }
        Some(self.now.as_secs_f64())
    }
}
