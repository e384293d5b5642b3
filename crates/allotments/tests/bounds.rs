//! Bounds of an allotment over many entries and owners, with owners that fail.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use shallotdrum_allotments::{
    AppliedAllotments, Beginning, Bucket, Charge, ChargeRequest, ChargeStep, GroupShares, Limits,
    ShardHints, plan_charge, shard_count, shards,
};
use shallotdrum_routes::{Allotment, AllotmentUnit, Customer, RouteTable};
use shallotdrum_types::GroupId;

const ENTRIES: usize = 75;
const STEP: Duration = Duration::from_millis(5);
const WINDOW: Duration = Duration::from_secs(8);
/// Time for which a group has no owner after the previous one failed: a session lease.
const LEASE: Duration = Duration::from_millis(2_700);
/// Interval at which an entry looks for an owner.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Time that a caller waits for an owner, if a test has no other.
const PATIENCE: Duration = Duration::from_secs(10);

/// Group with the instance that owns it.
struct Owner {
    group: GroupId,
    shares: GroupShares,
    /// When the ownership began.
    since: Instant,
    applied: AppliedAllotments,
    /// Without a reply until then.
    down_until: Option<Instant>,
}

struct Deployment {
    start: Instant,
    now: Instant,
    rng: StdRng,
    allotment: Allotment,
    table: Arc<RouteTable>,
    owners: Vec<Owner>,
    entries: Vec<ShardHints>,
    admitted: Vec<(Instant, u64)>,
    /// Messages besides the requests for places.
    messages: usize,
    /// Time that a caller waits for an owner.
    patience: Duration,
}

/// Request that has no place yet.
struct Request {
    until: Instant,
    next: Instant,
    entry: usize,
    units: u64,
    is_within: bool,
}

enum Outcome {
    Admitted,
    Refused,
    /// Waits for an owner, or for its bucket to fill, and is sent again after this time.
    Later(Duration),
}

/// What the callers of a run got.
#[derive(Debug, Default)]
struct Tally {
    sent: usize,
    /// Requests within the allotment by a single bucket that never fails.
    within: usize,
    within_served: usize,
    within_refused: usize,
}

fn group(n: usize) -> GroupId {
    format!("pool/fj/{n}").parse().unwrap()
}

fn table(allotment: Allotment) -> Arc<RouteTable> {
    let customer = Customer {
        name: "c".parse().unwrap(),
        keys: Vec::new(),
        rank: None,
        allotment: Some(allotment),
    };
    Arc::new(RouteTable { customers: Some(vec![Arc::new(customer)]), ..RouteTable::default() })
}

fn tokens(rate: f64, burst: f64) -> Allotment {
    Allotment { rate, burst, unit: AllotmentUnit::Tokens, default_tokens: 1 }
}

impl Deployment {
    fn new(seed: u64, allotment: Allotment, groups: usize) -> Self {
        let start = Instant::now();
        let mut deployment = Self {
            start,
            now: start,
            rng: StdRng::seed_from_u64(seed),
            allotment,
            table: table(allotment),
            owners: Vec::new(),
            entries: (0..ENTRIES).map(|_| ShardHints::default()).collect(),
            admitted: Vec::new(),
            messages: 0,
            patience: PATIENCE,
        };
        (0..groups).for_each(|n| deployment.add_group(n));
        deployment
    }

    fn add_group(&mut self, n: usize) {
        let (group, since) = (group(n), self.now);
        let shares = GroupShares::new(group.clone(), since, Beginning::First);
        let applied = AppliedAllotments::default();
        self.owners.push(Owner { group, shares, since, applied, down_until: None });
        self.apply();
    }

    fn apply(&mut self) {
        let groups: Vec<GroupId> = self.owners.iter().map(|owner| owner.group.clone()).collect();
        for owner in &mut self.owners {
            if owner.applied.update(Some(&self.table), || groups.iter(), self.now) {
                owner.shares.retain_shards(&owner.applied);
            }
        }
    }

    fn set_limits(&mut self, allotment: Allotment) {
        self.allotment = allotment;
        self.table = table(allotment);
        self.apply();
    }

    fn fail(&mut self, at: usize) {
        self.owners[at].down_until = Some(self.now + LEASE);
    }

    /// Advances the time; lost groups get owners.
    fn advance(&mut self) {
        self.now += STEP;
        for owner in &mut self.owners {
            if owner.down_until.is_some_and(|until| self.now >= until) {
                owner.down_until = None;
                let beginning = Beginning::Takeover { quiet_since: Some(owner.since) };
                owner.shares = GroupShares::new(owner.group.clone(), self.now, beginning);
                owner.since = self.now;
            }
        }
    }

    fn send(&mut self, entry: usize, units: u64) -> Outcome {
        let charge = Charge { customer: "c".parse().unwrap(), units };
        let groups: Vec<GroupId> = self.owners.iter().map(|owner| owner.group.clone()).collect();
        let count = shard_count(&self.allotment, groups.len());
        let shards: Vec<&GroupId> =
            shards(&charge.customer, &groups).into_iter().take(count).collect();
        // Requests for places go to owners that reply.
        let up: Vec<usize> =
            (0..groups.len()).filter(|n| self.owners[*n].down_until.is_none()).collect();
        let own = &groups[up[self.rng.random_range(0..up.len())]];
        let mut asked = Vec::new();
        loop {
            let request = ChargeRequest {
                customer: &charge.customer,
                units,
                limits: Limits::share(&self.allotment, groups.len()),
                shards: &shards,
                shard_count: count,
                own: Some(own),
                asked: &asked,
            };
            let sample = self.rng.random();
            let group = match plan_charge(&request, &self.entries[entry], self.now, sample) {
                ChargeStep::Ask(group) => group,
                ChargeStep::NoRoom(_) => return Outcome::Refused,
                ChargeStep::Queued(_) => unreachable!("no request waits for a place here"),
                ChargeStep::Unreached { .. } => return Outcome::Later(POLL_INTERVAL),
                ChargeStep::Recovering(left) => {
                    let wait = (left + POLL_INTERVAL).mul_f64(1.0 + self.rng.random::<f64>());
                    return Outcome::Later(wait);
                }
            };
            asked.push(group.clone());
            self.messages += usize::from(group != own);
            let owner = self.owners.iter_mut().find(|owner| owner.group == *group).unwrap();
            if owner.down_until.is_some() {
                self.entries[entry].record_unreached(&charge.customer, group, self.now);
                continue;
            }
            let reply = owner.shares.charge(&owner.applied, &charge, self.now);
            self.entries[entry].record(&charge.customer, group, &reply, self.now);
            if reply.granted {
                self.admitted.push((self.now, units));
                return Outcome::Admitted;
            }
        }
    }

    /// Sends requests of `load` times the allotment for some time, from `entries` of the entries.
    fn run(&mut self, time: Duration, load: f64, entries: usize, single: &mut Bucket) -> Tally {
        let mut tally = Tally::default();
        let mut requests: Vec<Request> = Vec::new();
        let end = self.now + time;
        while self.now < end {
            self.advance();
            let now = self.now;
            let mut due = load * self.allotment.rate * STEP.as_secs_f64() / 2_400.0;
            while self.rng.random::<f64>() < due {
                due -= 1.0;
                let units = self.rng.random_range(800..=4_000);
                let is_within = single.take(units, now);
                tally.sent += 1;
                tally.within += usize::from(is_within);
                let entry = self.rng.random_range(0..entries);
                requests.push(Request {
                    until: now + self.patience,
                    next: now,
                    entry,
                    units,
                    is_within,
                });
            }
            requests.retain_mut(|request| {
                if now < request.next {
                    return true;
                }
                match self.send(request.entry, request.units) {
                    Outcome::Later(wait) => request.next = now + wait,
                    Outcome::Admitted => tally.within_served += usize::from(request.is_within),
                    Outcome::Refused => tally.within_refused += usize::from(request.is_within),
                }
                request.next > now && request.next < request.until
            });
        }
        tally.within -= requests.iter().filter(|request| request.is_within).count();
        tally
    }

    /// Largest number of units admitted in any window between two times, as a share of the bound
    /// without the extra units of the deployment.
    fn largest_share_of_bound(&self, limits: Allotment, from: Instant, to: Instant) -> f64 {
        let admitted: Vec<_> =
            self.admitted.iter().filter(|(at, _)| (from..to).contains(at)).collect();
        let bound = (limits.rate * WINDOW.as_secs_f64() + limits.burst) * 1.1;
        let (mut first, mut sum, mut most) = (0, 0, 0);
        for (at, units) in &admitted {
            sum += units;
            while admitted[first].0 + WINDOW < *at {
                sum -= admitted[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        println!("most {most} of {bound} units in {:?}", to - from);
        most as f64 / bound
    }
}

/// Guards against more units than the allotment while owners fail, limits fall, traffic moves from
/// one entry to all and groups are added and removed.
#[rstest]
fn window_bound(
    #[values(1, 2, 3)] seed: u64,
    #[values((4_200.0, 33_600.0), (20_000.0, 60_000.0), (120_000.0, 400_000.0))] limits: (f64, f64),
    #[values(0.9, 7.5)] load: f64,
) {
    let allotment = tokens(limits.0, limits.1);
    let mut deployment = Deployment::new(seed, allotment, 10);
    let mut single = Bucket::full(Limits::share(&allotment, 1), deployment.now);
    let second = Duration::from_secs(1);
    let half = tokens(limits.0 / 2.0, limits.1 / 2.0);
    let mut lowered_at = deployment.now;
    for round in 0..12 {
        let entries = if round % 2 == 0 { 1 } else { ENTRIES };
        deployment.run(second * 2, load, entries, &mut single);
        match round {
            2 | 5 => (0..5).for_each(|n| deployment.fail((n * 2 + round) % 10)),
            3 => {
                lowered_at = deployment.now;
                deployment.set_limits(half);
            }
            7 => {
                let share = deployment.largest_share_of_bound(half, lowered_at, deployment.now);
                assert!(share <= 1.0, "with lowered limits: {share}");
                deployment.set_limits(allotment);
            }
            8 => deployment.add_group(20),
            9 => {
                deployment.owners.remove(0);
                deployment.apply();
            }
            10 => {
                (0..5).for_each(|n| deployment.fail(n));
                deployment.add_group(0);
            }
            _ => {}
        }
    }
    let (from, to) = (deployment.start, deployment.now + STEP);
    let share = deployment.largest_share_of_bound(allotment, from, to);
    assert!(share <= 1.0, "{share}");
}

/// Guards against refusals of what lies within the allotment, also for a customer whose requests are
/// spread thinly over the entries.
#[rstest]
#[case::smallest_one_shard(4_200.0, 33_600.0)]
#[case::smallest_two_shards(4_200.0, 42_000.0)]
#[case::large(120_000.0, 400_000.0)]
fn within_limit_served(#[case] rate: f64, #[case] burst: f64, #[values(1, 2, 3)] seed: u64) {
    let allotment = tokens(rate, burst);
    let mut deployment = Deployment::new(seed, allotment, 10);
    let mut single = Bucket::full(Limits::share(&allotment, 1), deployment.now);
    let calm = deployment.run(Duration::from_secs(120), 0.55, ENTRIES, &mut single);
    println!("calm: {calm:?}, {} messages", deployment.messages);
    assert!(calm.within_served as f64 >= 0.99 * calm.within as f64, "{calm:?}");
    let (mut within, mut served) = (0, 0);
    for half in [0, 5].into_iter().cycle().take(10) {
        (half..half + 5).for_each(|n| deployment.fail(n));
        let fault = deployment.run(Duration::from_secs(8), 0.55, ENTRIES, &mut single);
        println!("half of the owners taken over: {fault:?}");
        within += fault.within;
        served += fault.within_served;
    }
    println!("{served} of {within} served");
    assert!(served as f64 >= 0.95 * within as f64, "{served} of {within}");
}

/// Guards against a flood that costs messages: most of it is refused by what the entries know.
#[rstest]
#[case::smallest(4_200.0, 42_000.0)]
#[case::large(120_000.0, 400_000.0)]
fn flood_messages(#[case] rate: f64, #[case] burst: f64) {
    let allotment = tokens(rate, burst);
    let mut deployment = Deployment::new(1, allotment, 10);
    let mut single = Bucket::full(Limits::share(&allotment, 1), deployment.now);
    let flood = deployment.run(Duration::from_secs(60), 7.5, ENTRIES, &mut single);
    let messages = deployment.messages as f64 / flood.sent as f64;
    let used: u64 = deployment.admitted.iter().map(|(_, units)| units).sum();
    let used = used as f64 / (rate * 60.0 + burst);
    println!("{messages} messages a request, {used} of the allotment used, {flood:?}");
    assert!(messages <= 1.0, "{messages}");
    assert!(used >= 0.9, "{used}");
    let after = deployment.run(Duration::from_secs(60), 0.55, ENTRIES, &mut single);
    println!("after the flood: {after:?}");
    assert!(after.within_served as f64 >= 0.95 * after.within as f64, "{after:?}");
}

/// Time that a caller waits in `takeover_refusals`: about a lease.
const SHORT_PATIENCE: Duration = Duration::from_secs(3);

/// Guards against requests within the allotment that are refused, or wait for too long, in the 8 s after the
/// owner of a share is lost.
#[rstest]
#[case::smallest_one_shard(4_200.0, 33_600.0, 0.55, 0.08)]
#[case::smallest_one_shard_busy(4_200.0, 33_600.0, 0.9, 0.18)]
#[case::large(120_000.0, 400_000.0, 0.55, 0.0)]
#[case::large_busy(120_000.0, 400_000.0, 0.9, 0.0)]
fn takeover_refusals(#[case] rate: f64, #[case] burst: f64, #[case] load: f64, #[case] most: f64) {
    let allotment = tokens(rate, burst);
    let (mut within, mut served) = (0, 0);
    for seed in 1..=40 {
        let mut deployment = Deployment::new(seed, allotment, 10);
        deployment.patience = SHORT_PATIENCE;
        let mut single = Bucket::full(Limits::share(&allotment, 1), deployment.now);
        deployment.run(Duration::from_secs(20), load, ENTRIES, &mut single);
        let groups: Vec<GroupId> = (0..10).map(group).collect();
        let first = shards(&"c".parse().unwrap(), &groups)[0].clone();
        let lost = deployment.owners.iter().position(|owner| owner.group == first).unwrap();
        deployment.fail(lost);
        let tally = deployment.run(WINDOW, load, ENTRIES, &mut single);
        within += tally.within;
        served += tally.within_served;
        let (from, to) = (deployment.start, deployment.now + STEP);
        assert!(deployment.largest_share_of_bound(allotment, from, to) <= 1.0);
    }
    let refused = (within - served) as f64 / within as f64;
    println!("{refused} refused: {served} of {within} served");
    assert!(refused <= most, "{refused}");
}

/// Guards against units of a takeover that are given away more than once in a window, whatever the
/// times between the losses of owners.
#[rstest]
#[case::smallest_one_shard(4_200.0, 33_600.0)]
#[case::smallest_two_shards(4_200.0, 42_000.0)]
fn window_bound_takeovers(#[case] rate: f64, #[case] burst: f64, #[values(0.9, 7.5)] load: f64) {
    let allotment = tokens(rate, burst);
    let mut most: f64 = 0.0;
    for seed in 1..=20 {
        let mut deployment = Deployment::new(seed, allotment, 10);
        let mut single = Bucket::full(Limits::share(&allotment, 1), deployment.now);
        deployment.run(Duration::from_secs(17), load, 1, &mut single);
        // A group without a share, if there is one, keeps its owner.
        let groups: Vec<GroupId> = (0..10).map(group).collect();
        let kept = shards(&"c".parse().unwrap(), &groups)[9].clone();
        for _ in 0..8 {
            // Takeovers in quick succession, and those that are just far enough from each other.
            let secs = match deployment.rng.random() {
                true => deployment.rng.random_range(0.0..6.0),
                false => deployment.rng.random_range(12.0..18.0),
            };
            deployment.run(Duration::from_secs_f64(secs), load, 1, &mut single);
            let lost = (0..10).filter(|n| group(*n) != kept);
            lost.for_each(|n| deployment.fail(n));
        }
        deployment.run(WINDOW, load, 1, &mut single);
        let (from, to) = (deployment.start, deployment.now + STEP);
        most = most.max(deployment.largest_share_of_bound(allotment, from, to));
    }
    println!("at most {most} of the bound");
    assert!(most <= 1.0, "{most}");
}
