use super::*;

const NONE: Duration = Duration::ZERO;

#[test]
fn an_id_is_taken_while_its_rpc_is_in_hand_however_long_and_however_many_others_come() {
    let ids = Ids::default();
    let held = ids.claim("held", NONE).unwrap();
    for i in 0..3 * MOST {
        drop(ids.claim(&i.to_string(), NONE));
    }
    assert!(ids.claim("held", NONE).is_none(), "a copy of an RPC in progress would run in parallel");
    // Time alone does not release the id either.
    ids.0.lock().unwrap().forget(Instant::now() + TAKEN * 100);
    assert!(ids.claim("held", NONE).is_none());
    drop(held);
    assert!(ids.claim("held", NONE).is_none(), "a copy may still be in transit");
}

#[test]
fn an_ended_rpc_s_id_is_remembered_for_as_long_as_its_client_may_have_waited_and_few_are() {
    for (patience, kept) in [(NONE, TAKEN), (TAKEN * 3, TAKEN * 3)] {
        let ids = Ids::default();
        drop(ids.claim("a", patience).unwrap());
        let ended = Instant::now();
        ids.0.lock().unwrap().forget(ended + kept - Duration::from_secs(1));
        assert!(ids.claim("a", patience).is_none());
        ids.0.lock().unwrap().forget(ended + kept);
        assert!(ids.claim("a", patience).is_some());
    }
    let ids = Ids::default();
    (0..3 * MOST).for_each(|i| drop(ids.claim(&i.to_string(), NONE)));
    let known = ids.0.lock().unwrap();
    assert!(known.all.len() <= MOST && known.ended.len() == known.all.len(), "{}", known.all.len());
}
