use std::cell::Cell;

use super::*;

thread_local! {
    static COMPARISONS: Cell<usize> = const { Cell::new(0) };
}

pub fn count_comparison() {
    COMPARISONS.set(COMPARISONS.get() + 1);
}

fn numbered(range: std::ops::Range<usize>) -> Names {
    // Unsorted, so that the sort has work to do.
    range.map(|i| format!("method-{}", i * 7919 % 100_003)).collect()
}

#[test]
fn lookups_work_in_both_directions() {
    let names: Names = ["read", "save", "", "book", "save"].iter().collect();
    assert_eq!(names, ["read", "save", "", "book", "save"]);
    assert_eq!(["read", "save", "", "book"].map(|n| names.find(n)), [Some(0), Some(1), Some(2), Some(3)]);
    assert_eq!((names.find("rea"), names.find("reads"), names.find("zoo")), (None, None, None));
    assert_eq!((names.get(4), names.get(5)), (Some("save"), None));
    assert_eq!((Names::default().find(""), Names::default().len()), (None, 0));
}

#[test]
fn new_names_are_appended() {
    let names: Names = ["read", "save"].iter().collect();
    let (all, indices) = names.merged(&["book", "save", "plan", "book"].iter().collect());
    assert_eq!(all, ["read", "save", "book", "plan"]);
    assert_eq!(indices, [2, 1, 3, 2]);
    let (unchanged, indices) = all.merged(&names);
    assert!(Arc::ptr_eq(&unchanged.0, &all.0), "merging known names must not copy the list");
    assert_eq!(indices, [0, 1]);
}

/// Guards against a quadratic merge: comparing all pairs of 14,000 by 14,000 names would take a hundred times as many
/// steps. Counts comparisons instead of measuring time.
#[test]
fn merging_takes_n_log_n_comparisons() {
    let comparisons = |n: usize| {
        let (known, new) = (numbered(0..n), numbered(n / 2..n + n / 2));
        COMPARISONS.set(0);
        let (all, indices) = known.merged(&new);
        assert_eq!((all.len(), indices[0], indices[n - 1]), (n + n / 2, n / 2, n + n / 2 - 1));
        COMPARISONS.get()
    };
    let (few, many) = (comparisons(1_400), comparisons(14_000));
    assert!(many < 14_000 * 60 && many < 15 * few, "{few} comparisons for 1,400 names, {many} for 14,000");
}
