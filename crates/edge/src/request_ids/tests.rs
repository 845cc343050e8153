use super::*;

const NO_TIMEOUT: Duration = Duration::ZERO;

#[test]
fn an_id_stays_claimed_while_its_rpc_is_in_progress() {
    let ids = RequestIds::default();
    let first_claim = ids.claim("held", NO_TIMEOUT).unwrap();
    for i in 0..3 * MAX_ENDED {
        drop(ids.claim(&i.to_string(), NO_TIMEOUT));
    }
    assert!(ids.claim("held", NO_TIMEOUT).is_none(), "a copy of an RPC in progress would run in parallel");
    // Time alone does not release the id either.
    ids.0.lock().unwrap().expire(Instant::now() + RETENTION * 100);
    assert!(ids.claim("held", NO_TIMEOUT).is_none());
    drop(first_claim);
    assert!(ids.claim("held", NO_TIMEOUT).is_none(), "a copy may still be in transit");
}

#[test]
fn ids_of_ended_rpcs_are_remembered_for_the_client_s_timeout_and_bounded_in_number() {
    for (client_timeout, retained) in [(NO_TIMEOUT, RETENTION), (RETENTION * 3, RETENTION * 3)] {
        let ids = RequestIds::default();
        drop(ids.claim("a", client_timeout).unwrap());
        let ended = Instant::now();
        ids.0.lock().unwrap().expire(ended + retained - Duration::from_secs(1));
        assert!(ids.claim("a", client_timeout).is_none());
        ids.0.lock().unwrap().expire(ended + retained);
        assert!(ids.claim("a", client_timeout).is_some());
    }
    let ids = RequestIds::default();
    (0..3 * MAX_ENDED).for_each(|i| drop(ids.claim(&i.to_string(), NO_TIMEOUT)));
    let claimed = ids.0.lock().unwrap();
    assert!(
        claimed.all.len() <= MAX_ENDED && claimed.ended.len() == claimed.all.len(),
        "{}",
        claimed.all.len()
    );
}
