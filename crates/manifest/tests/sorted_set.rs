//! `SortedSet`, which holds a subscriber's key hashes and permissions.

use shallotdrum_manifest::SortedSet;

/// Guards against sets whose order depends on the input, so that digests differ between instances,
/// and against lookups that miss a value.
#[test]
fn sorted_set_order() {
    let set: SortedSet<String> = serde_json::from_str(r#"["c","a","b","a"]"#).unwrap();
    assert_eq!(serde_json::to_string(&set).unwrap(), r#"["a","b","c"]"#);
    assert_eq!(set.len(), 3);
    for name in ["a", "b", "c"] {
        assert!(set.contains(name), "{name}");
    }
    assert!(!set.contains("d"));
    let collected: SortedSet<String> = ["b", "c", "a"].map(str::to_owned).into_iter().collect();
    assert_eq!(collected, set);
}

/// Guards against a removal that leaves the value in the set or removes another one.
#[test]
fn sorted_set_remove() {
    let mut set: SortedSet<u32> = [1, 2, 3].into_iter().collect();
    assert!(set.remove(&2));
    assert!(!set.remove(&2));
    assert_eq!(set.iter().copied().collect::<Vec<_>>(), [1, 3]);
}
