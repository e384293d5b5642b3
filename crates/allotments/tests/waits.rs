//! Waits of requests that cannot be charged yet.

use std::time::{Duration, Instant};

use rstest::rstest;
use shallotdrum_allotments::{
    AllotmentReply, ServedKind, ServedTimes, ShardHints, WaitStep, plan_wait,
};
use shallotdrum_types::{CustomerName, GroupId};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// Guards against a request that waits though it could not be served any more, and against the refusal of
/// one that could be.
#[rstest]
#[case::time_left(2_000 * MS, 300 * MS, Duration::ZERO, 40 * MS, WaitStep::Wait(40 * MS))]
#[case::last_try(320 * MS, 300 * MS, Duration::ZERO, 40 * MS, WaitStep::Wait(20 * MS))]
#[case::too_late(300 * MS, 300 * MS, Duration::ZERO, 40 * MS, WaitStep::Refuse)]
#[case::room_in_time(2_000 * MS, 300 * MS, 1_700 * MS, 3_000 * MS, WaitStep::Wait(1_700 * MS))]
#[case::room_too_late(2_000 * MS, 300 * MS, 1_701 * MS, 1_800 * MS, WaitStep::Refuse)]
fn plan_wait_by_time_left(
    #[case] left: Duration,
    #[case] shortest: Duration,
    #[case] needed: Duration,
    #[case] wanted: Duration,
    #[case] step: WaitStep,
) {
    assert_eq!(plan_wait(left, shortest, needed, wanted), step);
}

/// Guards against a request that is refused early by the time of a longer one, of one in another pool, or
/// of targets that were slower before.
#[test]
fn shortest_of_kind() {
    let now = Instant::now();
    let kind = |pool: &str, tokens| ServedKind::new(pool.parse().unwrap(), tokens);
    let long = kind("a", Some(200));
    let mut times = ServedTimes::default();
    times.record(&long, 900 * MS, now);
    times.record(&long, 700 * MS, now + SECOND);
    times.record(&long, 800 * MS, now + 2 * SECOND);
    assert_eq!(times.shortest(&long, now + 2 * SECOND), 700 * MS);
    assert_eq!(times.shortest(&kind("a", Some(255)), now + 2 * SECOND), 700 * MS);
    for other in [kind("a", Some(20)), kind("a", None), kind("b", Some(200))] {
        assert_eq!(times.shortest(&other, now + 2 * SECOND), Duration::ZERO);
    }
}

/// Guards against a shortest time that is kept for good, so that no request is refused early after the
/// targets became slower.
#[test]
fn shortest_expires() {
    let now = Instant::now();
    let kind = ServedKind::new("a".parse().unwrap(), None);
    let mut times = ServedTimes::default();
    times.record(&kind, 10 * MS, now);
    times.record(&kind, 400 * MS, now + 61 * SECOND);
    assert_eq!(times.shortest(&kind, now + 61 * SECOND), 10 * MS);
    times.record(&kind, 500 * MS, now + 122 * SECOND);
    assert_eq!(times.shortest(&kind, now + 122 * SECOND), 400 * MS);
    assert_eq!(times.shortest(&kind, now + 300 * SECOND), Duration::ZERO);
    times.expire(now + 300 * SECOND);
    assert_eq!(times.shortest(&kind, now + 122 * SECOND), Duration::ZERO);
}

/// Guards against callers that are told to return before there can be another owner, or long after.
#[test]
fn next_owner_after_lease() {
    let now = Instant::now();
    let customer: CustomerName = "c".parse().unwrap();
    let groups: Vec<GroupId> = (0..2).map(|n| format!("pool/fj/{n}").parse().unwrap()).collect();
    let shards: Vec<&GroupId> = groups.iter().collect();
    let mut hints = ShardHints::default();
    let expected =
        |hints: &ShardHints, at| hints.next_owner_after(&customer, &shards, 3 * SECOND, now + at);
    assert_eq!(expected(&hints, Duration::ZERO), None);
    hints.record_unreached(&customer, &groups[0], now);
    hints.record_unreached(&customer, &groups[0], now + SECOND);
    // Counted from the first time that it did not reply.
    assert_eq!(expected(&hints, SECOND), Some(2 * SECOND));
    hints.record_unreached(&customer, &groups[1], now + SECOND);
    assert_eq!(expected(&hints, SECOND), Some(2 * SECOND));
    assert_eq!(expected(&hints, 5 * SECOND), Some(Duration::ZERO));
    for group in &groups {
        hints.record(&customer, group, &AllotmentReply::granted_at(1.0), now + 2 * SECOND);
    }
    assert_eq!(expected(&hints, 2 * SECOND), None);
}
