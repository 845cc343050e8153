//! Whether an attempt may begin for a client, by what is known of its presence.
//!
//! A client that has closed its connection gets no further attempt. Its close arrives behind everything that it has
//! sent, so it is only known once that is read, or fits into the buffers on the way.

use std::time::Duration;

/// A client counts as present for this long after it was seen to be.
pub const PRESENCE_VALID_FOR: Duration = Duration::from_millis(20);

/// A client that has closed its connection meets an answer with a reset, which arrives within this time.
pub const RESET_WITHIN: Duration = Duration::from_millis(10);

/// An answer that met no reset proves for this long that its client was there: half of the time for which attempts may
/// begin after a close.
pub const ANSWER_PROVES_FOR: Duration = Duration::from_millis(50);

/// What is known of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It is connected, and all that it has sent was read.
    Present,
    /// It has closed its connection or ended its sending.
    Gone,
    /// More is unread than may be read ahead, so a close could not arrive.
    Unknown,
}

/// What becomes of an attempt that is about to begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptDecision {
    Begin,
    /// The RPC gets its final answer without a further attempt.
    Refuse,
    /// The RPC ends without an answer, since nobody waits for it.
    Drop,
}

/// How long to wait for a reset by which an answer of this age would show that its client is gone. `None` if the
/// answer is too old to prove that it is there.
pub fn wait_for_reset(answer_age: Duration) -> Option<Duration> {
    (answer_age < ANSWER_PROVES_FOR).then(|| RESET_WITHIN.saturating_sub(answer_age))
}

/// Decides on an attempt. While part of the RPC's body is still to come, the unread bytes belong to it: reading on
/// takes an attempt, and a client that left halfway leaves it incomplete.
pub fn decide_attempt(presence: Presence, body_is_complete: bool) -> AttemptDecision {
    match presence {
        Presence::Present => AttemptDecision::Begin,
        Presence::Gone => AttemptDecision::Drop,
        Presence::Unknown if body_is_complete => AttemptDecision::Refuse,
        Presence::Unknown => AttemptDecision::Begin,
    }
}
