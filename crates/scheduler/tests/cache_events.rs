//! Correction of the prefix cache estimate by cache events.

mod support;

use std::time::Duration;

use shallotdrum_engine::{CacheEvents, PrefixHash};
use shallotdrum_scheduler::{AdmissionRequest, RequestKind, SchedulerConfig};
use shallotdrum_types::Incarnation;
use support::{Group, answered, completion, config, engine_spec, group, target};
use tokio::time::sleep;

/// Two engines that hold adapter `a`; with equal load, the first one is chosen.
fn two_engines() -> Group {
    let group = group(SchedulerConfig { stall_weight: 1.0, ..config() });
    for id in ["e1", "e2"] {
        group.scheduler.upsert_target(engine_spec(id, 1, 1, 10));
        group.report(id, 1, 0, &[("a", 0)]);
    }
    group
}

fn request(prefixes: &[u64]) -> AdmissionRequest {
    let mut request = completion("light", "a");
    let RequestKind::Completion { prompt_prefix_hashes, .. } = &mut request.kind else {
        unreachable!()
    };
    *prompt_prefix_hashes = prefixes.to_vec();
    request
}

fn events(
    id: &str,
    incarnation: u64,
    sequence: u64,
    stored: &[u64],
    removed: &[u64],
) -> CacheEvents {
    let hashes = |hashes: &[u64]| hashes.iter().copied().map(PrefixHash).collect();
    CacheEvents {
        target: target(id),
        incarnation: Incarnation(incarnation),
        sequence,
        stored: hashes(stored),
        removed: hashes(removed),
    }
}

/// Target that is chosen for a request with these prefixes; the request ends immediately.
async fn chosen(group: &Group, prefixes: &[u64]) -> String {
    let lease = group.admit(request(prefixes)).await.unwrap();
    let id = lease.target.to_string();
    lease.finish(answered(1));
    id
}

/// Guards against ignoring prefixes that another owner's requests stored, and against a removed
/// prefix that still attracts requests.
#[tokio::test(start_paused = true)]
async fn cache_events_store_and_remove() {
    let group = two_engines();
    group.scheduler.cache_events(&events("e2", 1, 1, &[1, 2], &[]));
    assert_eq!(chosen(&group, &[1, 2]).await, "e2");
    // A delayed removal does not apply to prefixes that a request has stored again since.
    group.scheduler.cache_events(&events("e2", 1, 2, &[], &[1, 2]));
    assert_eq!(chosen(&group, &[1, 2]).await, "e2");
    sleep(Duration::from_secs(5)).await;
    group.scheduler.cache_events(&events("e2", 1, 3, &[], &[1]));
    assert_eq!(chosen(&group, &[1, 2]).await, "e1");
}

/// Guards against an event that arrives out of order and overrides a newer one.
#[tokio::test(start_paused = true)]
async fn cache_events_out_of_order_are_ignored() {
    let group = two_engines();
    group.scheduler.cache_events(&events("e2", 1, 2, &[1], &[]));
    group.scheduler.cache_events(&events("e2", 1, 1, &[], &[1]));
    group.scheduler.cache_events(&events("e2", 1, 2, &[], &[1]));
    assert_eq!(chosen(&group, &[1]).await, "e2");
}

/// Guards against prefixes that count in full after their removal may have been lost, and against a
/// gap that moves all conversations to other engines.
#[tokio::test(start_paused = true)]
async fn cache_events_gap_makes_prefixes_uncertain() {
    let group = two_engines();
    group.scheduler.cache_events(&events("e1", 1, 1, &[1], &[]));
    group.scheduler.cache_events(&events("e2", 1, 1, &[2, 3], &[]));
    for id in ["e1", "e2"] {
        group.scheduler.cache_events(&events(id, 1, 3, &[], &[]));
    }
    assert_eq!(chosen(&group, &[2]).await, "e2");
    // Certain on one engine, stale on the other.
    group.scheduler.cache_events(&events("e2", 1, 4, &[1], &[]));
    assert_eq!(chosen(&group, &[1]).await, "e2");
    // Named again after the gap.
    group.scheduler.cache_events(&events("e1", 1, 4, &[3], &[]));
    group.scheduler.cache_events(&events("e1", 1, 6, &[], &[]));
    group.scheduler.cache_events(&events("e2", 1, 5, &[3], &[]));
    assert_eq!(chosen(&group, &[3]).await, "e2");
}

/// Guards against keeping the cache estimate of a restarted engine, and against events of its
/// previous process.
#[tokio::test(start_paused = true)]
async fn cache_events_reset_by_incarnation() {
    let group = two_engines();
    group.scheduler.cache_events(&events("e2", 1, 1, &[1], &[]));
    group.scheduler.upsert_target(engine_spec("e2", 2, 1, 10));
    group.report("e2", 2, 0, &[("a", 0)]);
    group.scheduler.cache_events(&events("e2", 1, 2, &[1], &[]));
    assert_eq!(chosen(&group, &[1]).await, "e1");
    group.scheduler.cache_events(&events("e2", 2, 1, &[7], &[]));
    assert_eq!(chosen(&group, &[7]).await, "e2");
}
