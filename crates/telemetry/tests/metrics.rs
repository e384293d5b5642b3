//! The rendered metrics page.

use std::{collections::BTreeSet, time::Duration};

use shallotdrum_telemetry::{MAX_GROUP_LABELS, MAX_SUBSCRIBER_LABELS, Metrics, StoreLoadValues};
use shallotdrum_types::GroupId;

/// Guards against a number of time series that grows without bound with the subscribers.
#[test]
fn subscriber_labels_are_bounded() {
    let metrics = Metrics::new().unwrap();
    let total = MAX_SUBSCRIBER_LABELS + 50;
    // The second pass reuses the labels that the first one assigned.
    for i in (0..total).chain(0..total) {
        let subscriber = format!("s{i}").parse().unwrap();
        metrics.subscriber(&subscriber).total(Duration::from_millis(3));
    }
    let page = metrics.render();
    let counts = page.lines().filter(|line| line.starts_with("shallotdrum_request_seconds_count"));
    let labels: BTreeSet<&str> = counts.collect();
    assert_eq!(labels.len(), MAX_SUBSCRIBER_LABELS + 1);
    assert!(labels.contains("shallotdrum_request_seconds_count{subscriber=\"other\"} 100"));
    assert!(labels.contains("shallotdrum_request_seconds_count{subscriber=\"s0\"} 2"));
}

/// Guards against clones with separate values.
#[test]
fn clones_share_values() {
    let metrics = Metrics::new().unwrap();
    let clone = metrics.clone();
    clone.retries().inc();
    clone.is_leader().set(1);
    clone.finished("not-run", "overloaded");
    let page = metrics.render();
    for line in [
        "shallotdrum_retries_total 1",
        "shallotdrum_is_leader 1",
        "shallotdrum_requests_total{error=\"overloaded\",outcome=\"not-run\"} 1",
    ] {
        assert!(page.lines().any(|found| found == line), "{line} is not in:\n{page}");
    }
}

fn store_loads(groups: std::ops::Range<usize>, limit: usize) -> Vec<(GroupId, StoreLoadValues)> {
    let values = StoreLoadValues {
        limit,
        in_flight: 7,
        unanswered: 2,
        rate: 27.5,
        shortest: Some(Duration::from_millis(250)),
        median: None,
    };
    groups.map(|n| (format!("pool/fj/{n}").parse().unwrap(), values)).collect()
}

fn store_lines(metrics: &Metrics) -> BTreeSet<String> {
    let page = metrics.render();
    let lines = page.lines().filter(|line| line.starts_with("shallotdrum_store_load"));
    lines.map(str::to_owned).collect()
}

/// Guards against series of groups that the instance owns no more, and of values that are not known.
#[test]
fn store_loads_of_owned_groups() {
    let metrics = Metrics::new().unwrap();
    assert_eq!(store_lines(&metrics), BTreeSet::new());
    metrics.set_store_loads(&store_loads(0..2, 8));
    metrics.set_store_loads(&store_loads(1..2, 9));
    let expected = [
        r#"shallotdrum_store_load_limit{group="pool/fj/1"} 9"#,
        r#"shallotdrum_store_load_rate{group="pool/fj/1"} 27.5"#,
        r#"shallotdrum_store_load_shortest_seconds{group="pool/fj/1"} 0.25"#,
        r#"shallotdrum_store_loads_unanswered{group="pool/fj/1"} 2"#,
        r#"shallotdrum_store_loads{group="pool/fj/1"} 7"#,
    ];
    assert_eq!(store_lines(&metrics), expected.map(str::to_owned).into());
    metrics.set_store_loads(&[]);
    assert_eq!(store_lines(&metrics), BTreeSet::new());
}

/// Guards against a number of time series that grows without bound with the groups.
#[test]
fn group_labels_are_bounded() {
    let metrics = Metrics::new().unwrap();
    metrics.set_store_loads(&store_loads(0..MAX_GROUP_LABELS + 50, 8));
    let lines = store_lines(&metrics);
    let limits = lines.iter().filter(|line| line.starts_with("shallotdrum_store_load_limit{"));
    assert_eq!(limits.count(), MAX_GROUP_LABELS);
}
