//! Who is refused or closed when memory or descriptors run short, in which order.

use std::time::Duration;

use ivydrift_policy::admission::*;
use ConnectionPhase::*;

/// Long enough for an incomplete message to be closed, and for an idle connection.
const LONG: Duration = INCOMPLETE_CLOSABLE_AFTER;
const LONG_IDLE: Duration = IDLE_CLOSABLE_AFTER;
const BRIEF: Duration = Duration::from_millis(10);

/// No descriptor is left, and usual clients keep many connections.
const CROWDED: Need = Need::Slot { crowded: true };

/// Every phase, brief and long.
const ALL: [(ConnectionPhase, Duration); 10] = [
    (Idle, BRIEF),
    (Idle, LONG_IDLE),
    (Serving, LONG_IDLE),
    (Reading, BRIEF),
    (Reading, LONG),
    (New, BRIEF),
    (New, LONG),
    (FirstMessage, BRIEF),
    (FirstMessage, LONG_IDLE),
    (Closing, BRIEF),
];

/// The connections that are closed for a need, in their order.
fn closed_for(need: Need) -> Vec<(ConnectionPhase, Duration)> {
    let mut ranked: Vec<_> = ALL
        .into_iter()
        .filter_map(|(phase, waited)| Some((closing_rank(need, phase, waited)?, phase, waited)))
        .collect();
    ranked.sort_by_key(|(rank, ..)| std::cmp::Reverse(*rank));
    ranked.into_iter().map(|(_, phase, waited)| (phase, waited)).collect()
}

/// Guards against new connections of strangers that close those of usual clients, which wait for a moment
/// between two requests.
#[test]
fn strangers_are_closed_before_idle_clients_and_an_rpc_in_progress_never() {
    let order = [
        (Closing, BRIEF),
        (FirstMessage, LONG_IDLE),
        (New, LONG),
        (Reading, LONG),
        (Idle, LONG_IDLE),
        (FirstMessage, BRIEF),
        (Idle, BRIEF),
    ];
    assert_eq!(closed_for(CROWDED), order);
    assert_eq!(closed_for(Need::Memory(MemoryUse::Rpc)), order);
    // Where strangers take the room, one more of them closes no connection that is in use.
    assert_eq!(closed_for(Need::Slot { crowded: false }), order[..6]);
    assert_eq!(closed_for(Need::Memory(MemoryUse::Connection)), order[..6]);
}

#[test]
fn while_descriptors_are_left_no_connection_is_closed_that_has_just_come_or_just_got_an_answer() {
    assert_eq!(closed_for(Need::SpareSlot), closed_for(CROWDED)[..5]);
}

#[test]
fn an_incomplete_message_closes_no_connection_of_a_usual_client() {
    let need = Need::Memory(MemoryUse::IncompleteMessage(60_000));
    assert_eq!(closed_for(need), closed_for(CROWDED)[..4]);
}

#[test]
fn small_messages_and_rpcs_have_room_when_long_incomplete_messages_are_refused() {
    let limit = peer_memory_bytes(32 << 20);
    let long = MemoryUse::IncompleteMessage(SMALL_MESSAGE_BYTES + 1).bound(limit);
    for memory_use in [MemoryUse::IncompleteMessage(SMALL_MESSAGE_BYTES), MemoryUse::Rpc] {
        assert_eq!(memory_use.bound(limit), limit);
        assert!(long < memory_use.bound(limit));
    }
    assert_eq!(MemoryUse::Connection.bound(limit), long);
}
