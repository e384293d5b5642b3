//! Units with which the bucket of a new owner begins.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use shallotdrum_allotments::{AppliedAllotments, Beginning, Charge, GroupShares};
use shallotdrum_routes::{Allotment, AllotmentUnit, Customer, RouteTable};
use shallotdrum_types::GroupId;

const SECOND: Duration = Duration::from_secs(1);

fn applied(group: &GroupId, now: Instant) -> AppliedAllotments {
    let allotment = Allotment {
        rate: 4_200.0,
        burst: 33_600.0,
        unit: AllotmentUnit::Tokens,
        default_tokens: 1,
    };
    let customer = Customer {
        name: "c".parse().unwrap(),
        keys: Vec::new(),
        rank: None,
        allotment: Some(allotment),
    };
    let table = RouteTable { customers: Some(vec![Arc::new(customer)]), ..RouteTable::default() };
    let mut applied = AppliedAllotments::default();
    applied.update(Some(&Arc::new(table)), || std::iter::once(group), now);
    applied
}

/// Guards against units for a takeover that follows another one or a change of the groups within 16 s, or
/// of which that is not known.
#[test]
fn taken_over_with_units() {
    let group: GroupId = "pool/fj/0".parse().unwrap();
    let start = Instant::now();
    let applied = applied(&group, start);
    let level = |since: Instant, quiet_since: Option<Instant>| {
        let beginning = Beginning::Takeover { quiet_since };
        let mut shares = GroupShares::new(group.clone(), since, beginning);
        // A request of no units takes nothing.
        let charge = Charge { customer: "c".parse().unwrap(), units: 0 };
        shares.charge(&applied, &charge, since).level.round()
    };
    assert_eq!(level(start + 30 * SECOND, Some(start)), 4_788.0);
    assert_eq!(level(start + 30 * SECOND, Some(start + 14 * SECOND)), 4_788.0);
    assert_eq!(level(start + 30 * SECOND, Some(start + 15 * SECOND)), 0.0);
    assert_eq!(level(start + 30 * SECOND, None), 0.0);
    assert_eq!(level(start + 15 * SECOND, Some(start - SECOND)), 0.0);
}

/// Guards against units of a takeover that are given away more than once in a window when owners follow
/// each other without a pause. Requests take what there is, or nothing for some seconds.
#[test]
fn bound_without_pause() {
    let group: GroupId = "pool/fj/0".parse().unwrap();
    let step = Duration::from_millis(20);
    let mut most = 0;
    for seed in 1..=20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let applied = applied(&group, start);
        let (mut now, mut since, mut next) = (start, start, start + 20 * SECOND);
        let mut shares = GroupShares::new(group.clone(), start, Beginning::First);
        let (mut is_idle, mut taken) = (false, VecDeque::new());
        while now < start + 120 * SECOND {
            now += step;
            if now >= next {
                let beginning = Beginning::Takeover { quiet_since: Some(since) };
                shares = GroupShares::new(group.clone(), now, beginning);
                since = now;
                let is_quick = rng.random::<f64>() < 0.7;
                let range = if is_quick { 0.1..2.0 } else { 14.0..20.0 };
                next = now + SECOND.mul_f64(rng.random_range(range));
            }
            is_idle ^= rng.random::<f64>() < 0.005;
            let charge = Charge { customer: "c".parse().unwrap(), units: 400 };
            while !is_idle && shares.charge(&applied, &charge, now).granted {
                taken.push_back(now);
            }
            while taken.front().is_some_and(|at| *at + 8 * SECOND < now) {
                taken.pop_front();
            }
            most = most.max(taken.len() * 400);
        }
    }
    // What is left beside requests that are sent before they are confirmed.
    let bound = 1.1 * (8.0 * 4_200.0 + 33_600.0) - 0.25 * 4_200.0;
    println!("at most {most} of {bound} units");
    assert!(most as f64 <= bound, "{most} of {bound}");
}
