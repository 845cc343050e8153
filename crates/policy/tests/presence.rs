//! Whether an attempt may begin, by what is known of its client.

use std::time::Duration;

use ivydrift_policy::admission::{closing_rank, ConnectionPhase, MemoryUse, Need, IDLE_CLOSABLE_AFTER};
use ivydrift_policy::presence::*;

#[test]
fn no_attempt_begins_for_a_client_that_has_left_or_may_have() {
    for body_is_complete in [false, true] {
        assert_eq!(decide_attempt(Presence::Present, body_is_complete), AttemptDecision::Begin);
        assert_eq!(decide_attempt(Presence::Gone, body_is_complete), AttemptDecision::Drop);
    }
    assert_eq!(decide_attempt(Presence::Unknown, true), AttemptDecision::Refuse);
}

/// Guards against long uploads that fail because their rest fills the buffers.
#[test]
fn unread_bytes_of_the_request_s_own_body_do_not_hold_it_back() {
    assert_eq!(decide_attempt(Presence::Unknown, false), AttemptDecision::Begin);
}

#[test]
fn an_answer_proves_presence_once_a_reset_would_have_come_and_not_for_long() {
    assert_eq!(wait_for_reset(Duration::ZERO), Some(RESET_WITHIN));
    assert_eq!(wait_for_reset(RESET_WITHIN * 2), Some(Duration::ZERO));
    assert_eq!(wait_for_reset(ANSWER_PROVES_FOR), None);
    assert!(
        ANSWER_PROVES_FOR + PRESENCE_VALID_FOR < Duration::from_millis(100),
        "later than the pages allow"
    );
}

#[test]
fn reading_ahead_leaves_room_for_requests_and_closes_no_connection_in_use() {
    let limit = 16 << 20;
    assert!(MemoryUse::ReadAhead.bound(limit) < MemoryUse::Connection.bound(limit));
    assert!(MemoryUse::ReadAhead.bound(limit) < MemoryUse::IncompleteMessage(1 << 20).bound(limit));
    let need = Need::Memory(MemoryUse::ReadAhead);
    for phase in
        [ConnectionPhase::New, ConnectionPhase::Reading, ConnectionPhase::Idle, ConnectionPhase::Serving]
    {
        assert_eq!(closing_rank(need, phase, IDLE_CLOSABLE_AFTER), None, "{phase:?}");
    }
}
