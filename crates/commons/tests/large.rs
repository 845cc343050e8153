//! Distributes a state of 16 KiB to fleets of 3 to 300 marshals in virtual time, over links with loss and
//! delay.

use std::collections::BTreeMap;
use std::time::Duration;

use ivydrift_commons::large_state::{Key, Message, Notice, States, MAX_STATES, MAX_STATE_BYTES};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

const KEY: Key = Key { owner: 0, id: 9 };

struct Simulation {
    now: Duration,
    rng: Pcg64,
    instances: Vec<Option<States>>,
    in_transit: BTreeMap<(Duration, u64), (usize, usize, Message)>,
    sent_count: u64,
    loss: f64,
    /// Pieces sent by each marshal in each second.
    pieces_sent: BTreeMap<(usize, u64), u64>,
    /// A marshal that corrupts the pieces it passes on.
    corrupts: Option<usize>,
    /// Marshals that receive nothing although all others see them as present.
    unreachable: Vec<usize>,
}

impl Simulation {
    fn new(count: u16, loss: f64, seed: u64) -> Simulation {
        let instances = (0..count).map(|n| Some(States::new(n, ms(0)))).collect();
        let (in_transit, pieces_sent) = (BTreeMap::new(), BTreeMap::new());
        Simulation {
            now: ms(0),
            rng: Pcg64::seed_from_u64(seed),
            instances,
            in_transit,
            sent_count: 0,
            loss,
            pieces_sent,
            corrupts: None,
            unreachable: vec![],
        }
    }

    fn send(&mut self, from: usize, to: usize, mut word: Message) {
        if let Message::Piece { bytes, .. } = &mut word {
            *self.pieces_sent.entry((from, self.now.as_secs())).or_default() += 1;
            if self.corrupts == Some(from) {
                bytes[0] ^= 1;
            }
        }
        if !self.rng.random_bool(self.loss) {
            self.sent_count += 1;
            let at = self.now + ms(self.rng.random_range(1..40));
            self.in_transit.insert((at, self.sent_count), (from, to, word));
        }
    }

    fn step(&mut self) {
        self.now += ms(50);
        while let Some(entry) = self.in_transit.first_entry().filter(|e| e.key().0 <= self.now) {
            let (from, to, word) = entry.remove();
            if self.unreachable.contains(&to) {
                continue;
            }
            let answer = self.instances[to].as_mut().and_then(|s| s.receive(self.now, word));
            if let Some(answer) = answer {
                self.send(to, from, answer);
            }
        }
        let marshals: Vec<u16> = (0..self.instances.len() as u16).collect();
        let up: Vec<bool> = self.instances.iter().map(Option::is_some).collect();
        for n in 0..self.instances.len() {
            let request = |s: &mut States| s.tick(self.now, &marshals, &|n| up[usize::from(n)]);
            let requests = self.instances[n].as_mut().map(request).unwrap_or_default();
            requests.into_iter().for_each(|(to, word)| self.send(n, usize::from(to), word));
        }
    }

    fn count_with(&self, version: u32, bytes: &[u8]) -> usize {
        let has = |(n, s): &(usize, &Option<States>)| {
            !self.unreachable.contains(n) && s.as_ref().is_some_and(|s| s.get(KEY) == Some((version, bytes)))
        };
        self.instances.iter().enumerate().filter(has).count()
    }

    /// Seconds until all marshals that are up have the state.
    fn seconds_until_all_have(&mut self, version: u32, bytes: &[u8], within: u64) -> f64 {
        let from = self.now;
        while self.count_with(version, bytes)
            < self.instances.iter().flatten().count() - self.unreachable.len()
        {
            self.step();
            let took = self.now - from;
            assert!(
                took < Duration::from_secs(within),
                "{} of {} marshals have the state",
                self.count_with(version, bytes),
                self.instances.len()
            );
        }
        (self.now - from).as_secs_f64()
    }

    fn want(&mut self, notice: Notice) {
        let now = self.now;
        self.instances.iter_mut().skip(1).flatten().for_each(|s| s.want(now, KEY, notice));
    }
}

fn state(length: usize, seed: u64) -> Vec<u8> {
    let mut rng = Pcg64::seed_from_u64(seed);
    (0..length).map(|_| rng.random()).collect()
}

#[test]
fn a_state_reaches_fleets_of_any_size_at_a_bounded_load() {
    for (count, loss, max_seconds) in
        [(3, 0.0, 4.0), (30, 0.0, 6.0), (120, 0.0, 8.0), (300, 0.0, 10.0), (300, 0.3, 30.0)]
    {
        let mut sim = Simulation::new(count, loss, 5);
        let bytes = state(16_384, 1);
        let notice = sim.instances[0].as_mut().unwrap().offer(ms(0), KEY.id, 1, &bytes).unwrap();
        sim.want(notice);
        let took = sim.seconds_until_all_have(1, &bytes, 60);
        let busiest = sim.pieces_sent.values().max().copied().unwrap();
        println!("{count} marshals, {loss} lost: {took:.1} s, at most {busiest} pieces per second from one marshal");
        assert!(took <= max_seconds && busiest <= 81, "{count}: {took} s, {busiest} pieces");
    }
}

#[test]
fn dead_unreachable_and_corrupting_marshals_are_bypassed() {
    let mut sim = Simulation::new(30, 0.1, 6);
    let bytes = state(16_384, 2);
    let notice = sim.instances[0].as_mut().unwrap().offer(ms(0), KEY.id, 1, &bytes).unwrap();
    sim.want(notice);
    (0..12).for_each(|_| sim.step());
    for n in [3, 7, 11, 20] {
        sim.instances[n] = None;
    }
    sim.seconds_until_all_have(1, &bytes, 40);
    // Some marshals that all others see as present receive nothing.
    let mut sim = Simulation::new(30, 0.0, 9);
    sim.unreachable = (1..30).step_by(4).collect();
    let notice = sim.instances[0].as_mut().unwrap().offer(ms(0), KEY.id, 1, &bytes).unwrap();
    sim.want(notice);
    sim.seconds_until_all_have(1, &bytes, 40);
    // Whichever marshal corrupts pieces, all others get the correct state.
    for corrupts in 1..6 {
        let mut sim = Simulation::new(6, 0.0, 7);
        sim.corrupts = Some(corrupts);
        let notice = sim.instances[0].as_mut().unwrap().offer(ms(0), KEY.id, 1, &bytes).unwrap();
        sim.want(notice);
        sim.seconds_until_all_have(1, &bytes, 60);
    }
}

#[test]
fn a_later_version_replaces_an_earlier_one_in_transit() {
    let mut sim = Simulation::new(12, 0.1, 8);
    let (first, second) = (state(16_384, 3), state(9_999, 4));
    let notice = sim.instances[0].as_mut().unwrap().offer(ms(0), KEY.id, 1, &first).unwrap();
    sim.want(notice);
    (0..8).for_each(|_| sim.step());
    let now = sim.now;
    let notice = sim.instances[0].as_mut().unwrap().offer(now, KEY.id, 2, &second).unwrap();
    sim.want(notice);
    sim.seconds_until_all_have(2, &second, 30);
}

#[test]
fn a_piece_of_another_version_is_ignored() {
    let (mut states, bytes) = (States::new(1, ms(0)), state(1500, 5));
    states.want(ms(0), KEY, Notice::of(2, &bytes).unwrap());
    let piece = |version, piece: u16, bytes: &[u8]| Message::Piece {
        key: KEY,
        version,
        piece,
        bytes: bytes.to_vec(),
    };
    states.receive(ms(1), piece(1, 0, &state(1000, 6)));
    states.receive(ms(2), piece(2, 1, &state(1000, 6)));
    states.receive(ms(3), piece(2, 0, &bytes[..1000]));
    states.receive(ms(4), piece(2, 1, &bytes[1000..]));
    assert_eq!(states.get(KEY), Some((2, &bytes[..])));
}

#[test]
fn the_number_of_held_states_is_bounded() {
    let mut states = States::new(1, ms(0));
    assert!(states.offer(ms(0), 1, 1, &state(MAX_STATE_BYTES + 1, 1)).is_none());
    assert!(states.offer(ms(0), 1, 1, &state(MAX_STATE_BYTES, 1)).is_some());
    let notice = Notice::of(1, b"").unwrap();
    for id in 0..100 {
        states.want(ms(0), Key { owner: 2, id }, notice);
    }
    let held = (0..100).filter(|id| states.get(Key { owner: 2, id: *id }).is_some()).count();
    assert_eq!(held, MAX_STATES - 1);
    assert!(states.get(Key { owner: 1, id: 1 }).is_some(), "our own state must stay");
    let own = (0..100).filter(|id| states.offer(ms(0), *id, 1, b"own").is_some()).count();
    assert_eq!(own, MAX_STATES, "the number of our own states is bounded too");
    states.want(ms(0), Key { owner: 3, id: 0 }, Notice { length: u32::MAX, ..notice });
    assert!(
        states.tick(ms(9000), &[1, 2, 3], &|_| true).is_empty(),
        "a state over the size limit must not be requested"
    );
}
