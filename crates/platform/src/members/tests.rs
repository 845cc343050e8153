use super::*;

fn page(revision: u64, complete: bool, members: &[(&str, &str, u32)]) -> String {
    let one = |(id, phase, build): &(&str, &str, u32)| {
        format!(
            r#"{{"id":"{id}","host_port":"10.1.0.{build}:5000","locality":"a","flavor":"m2","cell":3,
                "phase":"{phase}","size":1.5,"up_since_ms":0,"image_id":{build}}}"#
        )
    };
    let members = members.iter().map(one).collect::<Vec<_>>().join(",");
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#)
}

#[test]
fn changes_are_laid_over_the_list_and_a_whole_list_replaces_it() {
    let mut catalog = Catalog::default();
    assert_eq!(catalog.path(5000), "/catalog/members");
    // The first revision there is is a revision: what follows it is watched for, not asked for at once again.
    catalog.take(&page(0, true, &[("a", "active", 1)])).unwrap();
    assert_eq!(catalog.path(5000), "/catalog/members?from=0&hold_ms=5000");
    catalog.take(&page(7, true, &[("a", "active", 1), ("b", "active", 1)])).unwrap();
    assert_eq!(catalog.path(5000), "/catalog/members?from=7&hold_ms=5000");
    catalog.take(&page(8, false, &[("b", "leaving", 1), ("c", "active", 2)])).unwrap();
    let states = |c: &Catalog| c.listed().iter().map(|l| (l.state, l.build)).collect::<Vec<_>>();
    assert_eq!(states(&catalog), [(State::Ready, 1), (State::Draining, 1), (State::Ready, 2)]);
    assert_eq!(catalog.place("c").as_deref(), Some("10.1.0.2:5000"));
    catalog.take(&page(9, false, &[("b", "left", 1)])).unwrap();
    assert_eq!(catalog.listed().len(), 2);
    // No change is none.
    catalog.take(&page(9, false, &[])).unwrap();
    assert_eq!(catalog.listed().len(), 2);
    catalog.take(&page(4, true, &[("c", "active", 3)])).unwrap();
    assert_eq!((states(&catalog), catalog.revision()), (vec![(State::Ready, 3)], Some(4)));
}

#[test]
fn at_another_place_changes_go_on_only_from_the_very_list_that_is_known_there() {
    let list = |revision, build| {
        let mut catalog = Catalog::default();
        catalog.take(&page(revision, true, &[("a", "active", build)])).unwrap();
        catalog
    };
    for (known, path) in [
        (list(7, 1), "/catalog/members?from=7&hold_ms=5000"),
        (list(6, 1), "/catalog/members"),
        (list(7, 2), "/catalog/members"),
        (Catalog::default(), "/catalog/members"),
    ] {
        let mut catalog = list(7, 1);
        catalog.moved(&known);
        assert_eq!((catalog.path(5000).as_str(), catalog.listed().len()), (path, 1));
    }
}

#[test]
fn what_cannot_be_read_whole_changes_nothing() {
    let mut catalog = Catalog::default();
    catalog.take(&page(7, true, &[("a", "active", 1)])).unwrap();
    let whole = page(8, true, &[("b", "active", 1), ("c", "active", 2)]);
    for cut in 0..whole.len() {
        assert!(catalog.take(&whole[..cut]).is_err(), "{cut}");
    }
    assert!(catalog.take(&whole.replace("10.1.0.2:5000", "nowhere")).unwrap_err().contains("member c"));
    assert_eq!((catalog.revision(), catalog.listed().len()), (Some(7), 1));
}
