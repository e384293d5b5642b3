//! The rendered metrics page.

use std::{collections::BTreeSet, time::Duration};

use shallotdrum_telemetry::{MAX_SUBSCRIBER_LABELS, Metrics};

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
