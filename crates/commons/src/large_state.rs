//! Distribution of state that is too large for a record. The owner publishes version, length and digest in a
//! section of its record; marshals that want the state fetch it in pieces along a tree that all compute
//! alike, so that the load of one marshal does not grow with their number.

use std::collections::BTreeMap;
use std::time::Duration;

use ivydrift_leases::order::order;
use ivydrift_leases::MemberIndex;
use serde::{Deserialize, Serialize};

/// Maximum size of a state.
pub const MAX_STATE_BYTES: usize = 64 * 1024;
/// Size of one piece.
pub const PIECE_BYTES: usize = 1000;
/// Maximum number of states held, our own included; beyond it the state that was requested first is dropped.
pub const MAX_STATES: usize = 16;
/// Maximum number of marshals that fetch directly from one marshal.
const FAN_OUT: usize = 4;
/// Maximum rate of piece requests sent per second, and the maximum burst.
const MAX_REQUESTS_PER_SECOND: f64 = 20.0;
/// Maximum rate of pieces sent per second, and the maximum burst.
const MAX_PIECES_PER_SECOND: f64 = 40.0;
/// Time-out after which an unanswered piece request is repeated.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// A parent that has sent no piece for this long is skipped for the one above it.
const PARENT_TIMEOUT: Duration = Duration::from_millis(2500);

/// Identifies a state: its owner, and which of the owner's states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The marshal that publishes the state.
    pub owner: MemberIndex,
    /// Number of the state among the owner's.
    pub id: u16,
}

/// What the owner publishes about a state, in a section of its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Version of the state.
    pub version: u32,
    /// Length in bytes.
    pub length: u32,
    /// First 16 bytes of its BLAKE3 hash.
    pub digest: [u8; 16],
}

impl Notice {
    /// The notice for these bytes; `None` if they are too long.
    pub fn of(version: u32, bytes: &[u8]) -> Option<Notice> {
        (bytes.len() <= MAX_STATE_BYTES).then(|| Notice {
            version,
            length: bytes.len() as u32,
            digest: digest(bytes),
        })
    }

    fn pieces(&self) -> usize {
        (self.length as usize).div_ceil(PIECE_BYTES)
    }
}

fn digest(bytes: &[u8]) -> [u8; 16] {
    let mut prefix = [0; 16];
    prefix.copy_from_slice(&blake3::hash(bytes).as_bytes()[..16]);
    prefix
}

/// A message between marshals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests one piece.
    Ask { key: Key, version: u32, piece: u16 },
    /// Carries one piece; all but the last have [`PIECE_BYTES`].
    Piece { key: Key, version: u32, piece: u16, bytes: Vec<u8> },
}

/// A state, complete or being fetched.
struct State {
    notice: Notice,
    pieces: Vec<Option<Vec<u8>>>,
    /// The complete state, once its digest has been verified.
    complete: Option<Vec<u8>>,
    /// When each missing piece was last requested.
    requested_at: Vec<Option<Duration>>,
    /// How many tree levels above the direct parent the requests go to, and since when.
    skipped: usize,
    progress_at: Duration,
    /// Position in the order of requests.
    sequence: u64,
}

/// Token bucket.
struct TokenBucket {
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    fn take(&mut self, now: Duration, rate: f64) -> bool {
        self.tokens = (self.tokens + rate * now.saturating_sub(self.refilled_at).as_secs_f64()).min(rate);
        self.refilled_at = now;
        let available = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(available));
        available
    }
}

/// The states of one marshal: its own, and those that it fetches from others.
pub struct States {
    me: MemberIndex,
    states: BTreeMap<Key, State>,
    request_budget: TokenBucket,
    answer_budget: TokenBucket,
    next_sequence: u64,
}

impl States {
    /// No states yet.
    pub fn new(me: MemberIndex, now: Duration) -> Self {
        let bucket = |rate| TokenBucket { tokens: rate, refilled_at: now };
        States {
            me,
            states: BTreeMap::new(),
            request_budget: bucket(MAX_REQUESTS_PER_SECOND),
            answer_budget: bucket(MAX_PIECES_PER_SECOND),
            next_sequence: 0,
        }
    }

    /// Sets our own state and returns the notice to publish; `None` if it is too long or if we already have
    /// [`MAX_STATES`] of our own.
    pub fn offer(&mut self, now: Duration, id: u16, version: u32, bytes: &[u8]) -> Option<Notice> {
        let notice = Notice::of(version, bytes)?;
        let key = Key { owner: self.me, id };
        let own = self.states.keys().filter(|k| k.owner == self.me).count();
        if own >= MAX_STATES && !self.states.contains_key(&key) {
            return None;
        }
        self.insert_state(now, key, notice);
        if let Some(state) = self.states.get_mut(&key) {
            state.pieces = bytes.chunks(PIECE_BYTES).map(|piece| Some(piece.to_vec())).collect();
            state.complete = Some(bytes.to_vec());
        }
        Some(notice)
    }

    /// Starts to fetch another owner's state as its notice describes it; an earlier version is dropped.
    pub fn want(&mut self, now: Duration, key: Key, notice: Notice) {
        let known = self.states.get(&key).is_some_and(|s| s.notice == notice);
        if !known && key.owner != self.me && notice.length as usize <= MAX_STATE_BYTES {
            self.insert_state(now, key, notice);
        }
    }

    fn insert_state(&mut self, now: Duration, key: Key, notice: Notice) {
        self.next_sequence += 1;
        let (pieces, sequence) = (notice.pieces(), self.next_sequence);
        let (empty, complete) = (vec![None; pieces], (pieces == 0).then(Vec::new));
        let state = State {
            notice,
            pieces: empty,
            complete,
            requested_at: vec![None; pieces],
            skipped: 0,
            progress_at: now,
            sequence,
        };
        self.states.insert(key, state);
        if self.states.len() > MAX_STATES {
            let others = self.states.iter().filter(|(k, _)| k.owner != self.me);
            let oldest = others.min_by_key(|(_, s)| s.sequence).map(|(k, _)| *k);
            oldest.into_iter().for_each(|k| drop(self.states.remove(&k)));
        }
    }

    /// A state's version and bytes, once complete.
    pub fn get(&self, key: Key) -> Option<(u32, &[u8])> {
        let state = self.states.get(&key)?;
        state.complete.as_deref().map(|complete| (state.notice.version, complete))
    }

    /// Piece requests to send now. `marshals`: all configured marshals; `present`: whether a marshal is up.
    pub fn tick(
        &mut self, now: Duration, marshals: &[MemberIndex], present: &dyn Fn(MemberIndex) -> bool,
    ) -> Vec<(MemberIndex, Message)> {
        let (me, mut out) = (self.me, Vec::new());
        for (&key, state) in self.states.iter_mut().filter(|(_, s)| s.complete.is_none()) {
            let path = ancestors(me, key, marshals, present);
            if now >= state.progress_at + PARENT_TIMEOUT {
                (state.skipped, state.progress_at) = ((state.skipped + 1) % path.len().max(1), now);
            }
            let Some(&to) = path.get(state.skipped.min(path.len().saturating_sub(1))) else { continue };
            let version = state.notice.version;
            for (piece, requested_at) in state.requested_at.iter_mut().enumerate() {
                let due = state.pieces[piece].is_none()
                    && requested_at.is_none_or(|at| now >= at + REQUEST_TIMEOUT);
                if due && self.request_budget.take(now, MAX_REQUESTS_PER_SECOND) {
                    *requested_at = Some(now);
                    out.push((to, Message::Ask { key, version, piece: piece as u16 }));
                }
            }
        }
        out
    }

    /// Handles a message from another marshal; returns the answer to send, if any.
    pub fn receive(&mut self, now: Duration, message: Message) -> Option<Message> {
        match message {
            Message::Ask { key, version, piece } => {
                let state = self.states.get(&key).filter(|s| s.notice.version == version)?;
                let bytes = state.pieces.get(usize::from(piece))?.clone()?;
                self.answer_budget.take(now, MAX_PIECES_PER_SECOND).then_some(Message::Piece {
                    key,
                    version,
                    piece,
                    bytes,
                })
            }
            Message::Piece { key, version, piece, bytes } => {
                let state = self
                    .states
                    .get_mut(&key)
                    .filter(|s| s.notice.version == version && s.complete.is_none())?;
                let last = usize::from(piece) + 1 == state.pieces.len();
                let length = if last {
                    state.notice.length as usize - usize::from(piece) * PIECE_BYTES
                } else {
                    PIECE_BYTES
                };
                let slot = state
                    .pieces
                    .get_mut(usize::from(piece))
                    .filter(|p| p.is_none() && bytes.len() == length)?;
                (*slot, state.progress_at) = (Some(bytes), now);
                if state.pieces.iter().all(Option::is_some) {
                    let complete: Vec<u8> = state.pieces.iter().flatten().flatten().copied().collect();
                    if digest(&complete) == state.notice.digest {
                        state.complete = Some(complete);
                    } else {
                        // A marshal on the way passed on wrong bytes: fetch everything again, from one level
                        // higher.
                        state.pieces.fill(None);
                        state.requested_at.fill(None);
                        (state.skipped, state.progress_at) = (state.skipped + 1, now);
                    }
                }
                None
            }
        }
    }
}

/// The marshals to fetch a state from, nearest first, the owner last. The tree consists of the owner at the
/// root and the marshals that are present, in the order given by the key.
fn ancestors(
    me: MemberIndex, key: Key, marshals: &[MemberIndex], present: &dyn Fn(MemberIndex) -> bool,
) -> Vec<MemberIndex> {
    let others: Vec<MemberIndex> = marshals.iter().copied().filter(|n| *n != key.owner).collect();
    let group = u64::from(key.owner) << 16 | u64::from(key.id);
    let present_in_order = order(group, &others).into_iter().filter(|n| *n == me || present(*n));
    let chain: Vec<MemberIndex> = std::iter::once(key.owner).chain(present_in_order).collect();
    let position = chain.iter().position(|n| *n == me).unwrap_or(0);
    let parent = |i: &usize| (*i > 0).then(|| (i - 1) / FAN_OUT);
    std::iter::successors(Some(position), parent).skip(1).map(|i| chain[i]).collect()
}
