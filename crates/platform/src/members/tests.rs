use super::*;

fn update(revision: u64, complete: bool, members: &[(&str, &str, u32)]) -> String {
    let member_json = |(id, phase, build): &(&str, &str, u32)| {
        format!(
            r#"{{"id":"{id}","host_port":"10.1.0.{build}:5000","locality":"a","flavor":"m2","cell":3,
                "phase":"{phase}","size":1.5,"up_since_ms":0,"image_id":{build}}}"#
        )
    };
    let members = members.iter().map(member_json).collect::<Vec<_>>().join(",");
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#)
}

#[test]
fn changes_are_merged_and_a_snapshot_replaces_the_list() {
    let mut catalog = Catalog::default();
    assert_eq!(catalog.next_request_target(5000), "/catalog/members");
    // Revision 0 is a valid revision: the next query waits for changes instead of fetching the list again.
    catalog.apply(&update(0, true, &[("a", "active", 1)])).unwrap();
    assert_eq!(catalog.next_request_target(5000), "/catalog/members?from=0&hold_ms=5000");
    catalog.apply(&update(7, true, &[("a", "active", 1), ("b", "active", 1)])).unwrap();
    assert_eq!(catalog.next_request_target(5000), "/catalog/members?from=7&hold_ms=5000");
    catalog.apply(&update(8, false, &[("b", "leaving", 1), ("c", "active", 2)])).unwrap();
    let states = |catalog: &Catalog| {
        catalog.nodes().iter().map(|listed| (listed.state, listed.build)).collect::<Vec<_>>()
    };
    assert_eq!(states(&catalog), [(State::Ready, 1), (State::Draining, 1), (State::Ready, 2)]);
    assert_eq!(catalog.address("c").as_deref(), Some("10.1.0.2:5000"));
    catalog.apply(&update(9, false, &[("b", "left", 1)])).unwrap();
    assert_eq!(catalog.nodes().len(), 2);
    // An update without changes.
    catalog.apply(&update(9, false, &[])).unwrap();
    assert_eq!(catalog.nodes().len(), 2);
    catalog.apply(&update(4, true, &[("c", "active", 3)])).unwrap();
    assert_eq!((states(&catalog), catalog.revision()), (vec![(State::Ready, 3)], Some(4)));
}

#[test]
fn after_a_move_changes_are_requested_only_if_the_lists_are_equal() {
    let list = |revision, build| {
        let mut catalog = Catalog::default();
        catalog.apply(&update(revision, true, &[("a", "active", build)])).unwrap();
        catalog
    };
    for (known, path) in [
        (list(7, 1), "/catalog/members?from=7&hold_ms=5000"),
        (list(6, 1), "/catalog/members"),
        (list(7, 2), "/catalog/members"),
        (Catalog::default(), "/catalog/members"),
    ] {
        let mut catalog = list(7, 1);
        catalog.continue_from(&known);
        assert_eq!((catalog.next_request_target(5000).as_str(), catalog.nodes().len()), (path, 1));
    }
}

#[test]
fn a_malformed_update_changes_nothing() {
    let mut catalog = Catalog::default();
    catalog.apply(&update(7, true, &[("a", "active", 1)])).unwrap();
    let snapshot = update(8, true, &[("b", "active", 1), ("c", "active", 2)]);
    for length in 0..snapshot.len() {
        assert!(catalog.apply(&snapshot[..length]).is_err(), "{length}");
    }
    assert!(catalog.apply(&snapshot.replace("10.1.0.2:5000", "nowhere")).unwrap_err().contains("member c"));
    assert_eq!((catalog.revision(), catalog.nodes().len()), (Some(7), 1));
}
