//! Decisions of buckets, shards and entries.

use std::time::{Duration, Instant};

use rstest::rstest;
use shallotdrum_allotments::{
    AllotmentReply, Bucket, ChargeRequest, ChargeStep, Lack, Limits, ShardHints, plan_charge,
    shard_count, shards, spread_delay, units, weight,
};
use shallotdrum_routes::{Allotment, AllotmentUnit};
use shallotdrum_types::{CustomerName, GroupId};

const LIMITS: Limits = Limits { rate: 10.0, burst: 100.0 };
const SECOND: Duration = Duration::from_secs(1);

fn allotment(unit: AllotmentUnit, rate: f64, burst: f64) -> Allotment {
    Allotment { rate, burst, unit, default_tokens: 700 }
}

fn groups(count: usize) -> Vec<GroupId> {
    (0..count).map(|n| format!("pool/fj/{n}").parse().unwrap()).collect()
}

fn customer() -> CustomerName {
    "c".parse().unwrap()
}

/// Guards against a request that is larger than the bucket and never admitted, or admitted twice.
#[test]
fn take_larger_than_bucket() {
    let now = Instant::now();
    let mut bucket = Bucket::full(LIMITS, now);
    assert!(bucket.take(250, now));
    assert!(!bucket.take(1, now + 15 * SECOND));
    let left = bucket.room_after(250, now + 15 * SECOND);
    assert!(left.abs_diff(10 * SECOND) < Duration::from_micros(1), "{left:?}");
    assert!(!bucket.take(250, now + 24 * SECOND));
    assert!(bucket.take(250, now + 26 * SECOND));
}

/// Guards against units beyond a lowered burst, and against new ones when it is raised again.
#[test]
fn set_limits_lower() {
    let now = Instant::now();
    let mut bucket = Bucket::full(LIMITS, now);
    bucket.set_limits(Limits { rate: 1.0, burst: 20.0 }, now);
    assert_eq!(bucket.level(now), 20.0);
    bucket.set_limits(LIMITS, now + SECOND);
    assert_eq!(bucket.level(now + SECOND), 20.0);
}

/// Guards against requests that queued for some time and reach targets beside as many later ones.
#[test]
fn reserve_bounds_backlog() {
    let now = Instant::now();
    let mut bucket = Bucket::full(LIMITS, now);
    let later = now + 60 * SECOND;
    let mut reserved = 0;
    for n in 0..60 {
        while bucket.reserve(10, now + n * SECOND) {
            reserved += 10;
        }
    }
    assert_eq!(reserved, 100);
    // The units are not used, so a refusal does not mean that the customer exceeds its allotment.
    assert_eq!(bucket.lack(10, later), Lack::Queued);
    (0..10).for_each(|_| bucket.take_reserved(10, later));
    assert_eq!(bucket.level(later), 0.0);
    assert_eq!(bucket.lack(10, later), Lack::Used);
}

/// Guards against units that are returned beyond the burst, or lost.
#[test]
fn refund_up_to_burst() {
    let now = Instant::now();
    let mut bucket = Bucket::full(LIMITS, now);
    assert!(bucket.take(60, now));
    bucket.refund(50, now);
    assert_eq!(bucket.level(now), 90.0);
    bucket.refund(50, now);
    assert_eq!(bucket.level(now), 100.0);
    assert!(bucket.reserve(60, now));
    bucket.release(60);
    assert_eq!(bucket.level(now), 100.0);
}

/// Guards against shares that hold only a few requests, and against none.
#[rstest]
#[case::rounded_down(AllotmentUnit::Tokens, 59_999.0, 10, 2)]
#[case::at_least_one(AllotmentUnit::Tokens, 4_200.0, 10, 1)]
#[case::at_most_groups(AllotmentUnit::Tokens, 1e15, 10, 10)]
#[case::requests(AllotmentUnit::Requests, 24.0, 10, 3)]
#[case::no_groups(AllotmentUnit::Requests, 24.0, 0, 1)]
fn shard_count_bounds(
    #[case] unit: AllotmentUnit,
    #[case] burst: f64,
    #[case] groups: usize,
    #[case] count: usize,
) {
    assert_eq!(shard_count(&allotment(unit, 1.0, burst), groups), count);
}

/// Guards against an order that depends on the order of the groups, or that changes for the other
/// groups when one is added.
#[test]
fn shards_order_stable() {
    let all = groups(12);
    let order: Vec<GroupId> = shards(&customer(), &all).into_iter().cloned().collect();
    let reversed: Vec<&GroupId> = shards(&customer(), all.iter().rev());
    assert!(order.iter().eq(reversed));
    let fewer: Vec<&GroupId> = shards(&customer(), &all[1..]);
    assert!(order.iter().filter(|group| **group != all[0]).eq(fewer));
}

/// Guards against another count of a request than the one that the customer agreed to.
#[test]
fn units_and_weight() {
    let tokens = allotment(AllotmentUnit::Tokens, 4_200.0, 1.0);
    let requests = allotment(AllotmentUnit::Requests, 30.0, 1.0);
    assert_eq!((units(&tokens, Some(2_400)), units(&tokens, None)), (2_400, 700));
    assert_eq!(units(&requests, Some(2_400)), 1);
    let weights = [Some(&tokens), Some(&requests), None].map(|a| weight(a).get());
    assert_eq!(weights, [4.2, 30.0, 1.0]);
    assert_eq!(weight(Some(&allotment(AllotmentUnit::Tokens, 10.0, 1.0))).get(), 1.0);
}

/// Guards against a message to another owner while the request's own group has room, a status 429
/// while a shard was not asked or not reached, and messages while all are known to be empty.
#[test]
fn plan_charge_steps() {
    let now = Instant::now();
    let all = groups(6);
    let shards: Vec<&GroupId> = all.iter().collect();
    let customer = customer();
    let mut hints = ShardHints::default();
    let plan = |hints: &ShardHints, shard_count: usize, asked: &[GroupId]| {
        let request = ChargeRequest {
            customer: &customer,
            units: 10,
            limits: LIMITS,
            shards: &shards,
            shard_count,
            own: Some(&all[3]),
            asked,
        };
        plan_charge(&request, hints, now, 0.999)
    };
    assert_eq!(plan(&hints, 6, &[]), ChargeStep::Ask(&all[3]));
    let refusal =
        |level| AllotmentReply { level, room_after_ms: Some(1), ..AllotmentReply::NOT_A_SHARD };
    hints.record(&customer, &all[3], &refusal(5.0), now);
    hints.record(&customer, &all[5], &AllotmentReply::granted_at(50.0), now);
    assert_eq!(plan(&hints, 6, &all[3..4]), ChargeStep::Ask(&all[4]));
    let asked = [&all[3..4], &all[..3]].concat();
    assert_eq!(plan(&hints, 6, &asked), ChargeStep::NoRoom(SECOND / 2));
    for group in &all {
        hints.record(&customer, group, &refusal(0.0), now);
    }
    assert_eq!(plan(&hints, 6, &[]), ChargeStep::NoRoom(SECOND));
    assert_eq!(plan(&hints, 7, &[]), ChargeStep::Unreached { is_known: true });
    let mut queued = ShardHints::default();
    for group in &all {
        queued.record(
            &customer,
            group,
            &AllotmentReply { lack: Lack::Queued, ..refusal(0.0) },
            now,
        );
    }
    assert_eq!(plan(&queued, 6, &[]), ChargeStep::Queued(SECOND));
    for group in &all {
        hints.record(&customer, group, &AllotmentReply::NOT_A_SHARD, now);
    }
    assert_eq!(plan(&hints, 6, &[]), ChargeStep::Unreached { is_known: false });
}

/// Guards against callers that are told to return before there is room, or all at once.
#[test]
fn spread_delay_bounds() {
    assert_eq!(spread_delay(SECOND, 0.0), SECOND);
    assert!(spread_delay(SECOND, 1.0) >= 3 * SECOND);
}
