//! Leases, load permits and group assignment by the leader.

mod common;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use common::{Log, engine, instance_info, registry};
use rstest::rstest;
use shallotdrum_control::{
    CLOCK_DRIFT_MARGIN, Command, InstanceInfo, LeaderState, PERMIT_LIFETIME, PermitReply,
    PermitTable, RenewError, Reply, SESSION_LEASE, SessionTable, assignments, permit_term,
    rebalance,
};
use shallotdrum_types::{GroupId, MilliCores, PermitId, Revision, SessionId, Term};

const A: SessionId = SessionId(1);
const B: SessionId = SessionId(2);
const C: SessionId = SessionId(3);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn granted(answer: PermitReply) -> Option<PermitId> {
    match answer {
        PermitReply::Granted(permit) => Some(permit),
        PermitReply::Wait(_) => None,
    }
}

/// Table with limits of 3 loads a second and 8 in flight that can grant permits immediately.
fn permits(now: Instant) -> PermitTable {
    PermitTable::new(now - ms(1_000), Term(1), &registry().weight_store, [])
}

/// Guards against the renewal of a lease that has expired, and against a session that expires
/// although it was renewed in time.
#[test]
fn session_lease() {
    let start = Instant::now();
    let mut table = SessionTable::default();
    table.reset(start, [A, B]);
    let renew =
        |table: &mut SessionTable, session, now| table.renew(session, now, Revision(3), Vec::new());
    let first = SESSION_LEASE + CLOCK_DRIFT_MARGIN;
    let late = start + first - ms(1);
    assert_eq!(renew(&mut table, A, late), Ok(()));
    assert!(table.expired(late).is_empty());
    assert_eq!(table.expired(start + first), [B]);
    assert_eq!(renew(&mut table, B, late), Err(RenewError::Expired(B)));
    assert_eq!(table.expired(late + SESSION_LEASE - ms(1)), [B]);
    // A renewal at the deadline is refused, even if `expired` has not been called since.
    assert_eq!(renew(&mut table, A, late + SESSION_LEASE), Err(RenewError::Expired(A)));
    table.sync(late, [A, C]);
    assert_eq!(renew(&mut table, B, late), Err(RenewError::Ended(B)));
    assert_eq!(table.applied_revision(A), Some(Revision(3)));
    assert_eq!(table.live(late), BTreeSet::from([C]));
}

/// Guards against a rate of grants above or below `loads_per_second`.
#[test]
fn permit_rate() {
    let start = Instant::now();
    let mut table = permits(start);
    let mut grants = 0;
    for i in 0..10_000 {
        let now = start + ms(i);
        if let Some(permit) = granted(table.request(A, now)) {
            table.release(A, permit);
            grants += 1;
        }
    }
    assert!((29..=31).contains(&grants), "{grants}");
}

/// Guards against more loads in flight than the store allows, and against permits that never
/// expire if their release is lost.
#[test]
fn permit_in_flight() {
    let start = Instant::now();
    let mut table = permits(start);
    let mut held = Vec::new();
    let mut now = start;
    while held.len() < 8 {
        held.extend(granted(table.request(A, now)));
        now += ms(350);
    }
    assert_eq!(granted(table.request(B, now)), None);
    table.release(B, held[0]);
    assert_eq!(granted(table.request(B, now)), None, "released by another session");
    table.release(A, held[0]);
    assert!(granted(table.request(B, now)).is_some());
    table.remove_session(A);
    assert_eq!(table.in_flight(now), 1);
    assert_eq!(table.in_flight(now + PERMIT_LIFETIME), 0);
}

/// Guards against a session that gets more permits by retrying more often, and against one that
/// blocks the queue after it stopped retrying.
#[test]
fn permit_fairness() {
    let start = Instant::now();
    let mut table = permits(start);
    let mut counts = [0u32; 3];
    for i in 0..12_000 {
        let now = start + ms(i);
        for (session, count, every) in [(A, 0, 1), (B, 1, 20), (C, 2, 200)] {
            // C stops retrying after six seconds.
            let retries = i % every == 0 && (session != C || i < 6_000);
            if retries && let Some(permit) = granted(table.request(session, now)) {
                table.release(session, permit);
                counts[count] += 1;
            }
        }
    }
    let [a, b, c] = counts;
    assert!(a + b + c >= 30, "{counts:?}");
    assert!(a.abs_diff(b) <= 2 && (4..=7).contains(&c), "{counts:?}");
}

/// Guards against exceeding the store's limits after an election: the permits of the previous
/// leader count, and none is granted until all of them are known.
#[rstest]
#[case::renews(true)]
#[case::expires(false)]
fn permits_across_election(#[case] b_renews: bool) {
    let mut log = Log::default();
    log.submit("s", 0, &registry());
    let (a, b) = (log.open("fj-a", 1), log.open("fj-b", 1));
    let start = Instant::now();
    let mut first = LeaderState::new(start, Term(4), &log.state);
    let renew = |leader_state: &mut LeaderState, log: &Log, now, session, permits: &[PermitId]| {
        leader_state.renew(now, &log.state, session, Revision(1), permits.to_vec()).unwrap();
    };
    renew(&mut first, &log, start, a, &[]);
    renew(&mut first, &log, start, b, &[]);
    let mut held = Vec::new();
    let mut now = start + ms(334);
    for session in [a, a, a, a, b, b, b, b] {
        renew(&mut first, &log, now, a, &[]);
        renew(&mut first, &log, now, b, &[]);
        held.extend(granted(first.request_permit(now, &log.state, session).unwrap()));
        now += ms(334);
    }
    assert_eq!(held.len(), 8);

    let elected = now;
    let mut second = LeaderState::new(elected, Term(5), &log.state);
    now += ms(1_000);
    renew(&mut second, &log, now, a, &held[..4]);
    assert_eq!(
        granted(second.request_permit(now, &log.state, a).unwrap()),
        None,
        "b has not renewed"
    );
    match b_renews {
        true => renew(&mut second, &log, now, b, &held[4..]),
        false => {
            now = elected + SESSION_LEASE + CLOCK_DRIFT_MARGIN;
            renew(&mut second, &log, now - ms(10), a, &held[..4]);
            for command in second.due_commands(now, &log.state) {
                log.apply(command);
            }
            assert!(log.state.session(b).is_none());
        }
    }
    let permit = granted(second.request_permit(now, &log.state, a).unwrap());
    assert_eq!(permit.is_some(), !b_renews, "8 loads are in flight unless b has ended");
    second.release_permit(a, held[0]);
    now += ms(400);
    let permit = granted(second.request_permit(now, &log.state, a).unwrap()).unwrap();
    assert!(permit_term(permit) == Term(5) && !held.contains(&permit));
}

/// Guards against grants at a higher rate right after an election.
#[test]
fn permit_first_interval() {
    let start = Instant::now();
    let mut table = PermitTable::new(start, Term(1), &registry().weight_store, [A]);
    assert_eq!(granted(table.request(A, start + ms(400))), None, "A has not renewed");
    table.record_renewal(A, &[], start + ms(10));
    assert_eq!(granted(table.request(A, start + ms(300))), None);
    assert!(granted(table.request(A, start + ms(400))).is_some());
}

/// Guards against changed limits that take effect only after the next election.
#[test]
fn permit_limits_change() {
    let mut log = Log::default();
    let a = log.open("fj-a", 1);
    let start = Instant::now();
    let mut leader_state = LeaderState::new(start, Term(1), &log.state);
    leader_state.renew(start, &log.state, a, Revision(0), Vec::new()).unwrap();
    log.submit("s", 0, &registry());
    let mut now = start + ms(1_000);
    for _ in 0..2 {
        // Without a manifest, one load is allowed in flight.
        assert!(granted(leader_state.request_permit(now, &log.state, a).unwrap()).is_some());
        now += ms(350);
    }
}

/// State with sessions in two regions and unowned groups in region `fj`.
fn log_with_groups(groups: usize) -> (Log, BTreeSet<SessionId>) {
    let mut log = Log::default();
    let live = ["fj-a", "fj-b", "in-c"].map(|name| log.open(name, 1)).into();
    register_groups(&mut log, groups);
    (log, live)
}

/// Registers one engine for each group.
fn register_groups(log: &mut Log, groups: usize) {
    for i in 0..groups {
        let mut target = engine(&format!("e{i}"), 1);
        target.pool = format!("pool{i}").parse().unwrap();
        log.register(target);
    }
}

fn group(i: usize) -> GroupId {
    format!("pool{i}/fj/0").parse().unwrap()
}

/// Guards against groups that stay unowned, are assigned to a draining or remote instance, or are
/// all assigned to one instance.
#[test]
fn assignments_spread() {
    let (mut log, mut live) = log_with_groups(4);
    let expected = [(group(0), A), (group(1), B), (group(2), A), (group(3), B)];
    assert_eq!(assignments(&log.state, &live), expected);
    assert_eq!(assignments(&log.state, &BTreeSet::new()), []);
    log.assign(&group(0), B);
    assert_eq!(assignments(&log.state, &live)[0], (group(1), A));
    log.apply(Command::DrainSession { session: A });
    assert!(assignments(&log.state, &live).iter().all(|(_, session)| *session == B));
    live.remove(&B);
    assert!(assignments(&log.state, &live).iter().all(|(_, session)| *session == C));
}

/// Guards against groups that an instance without links to targets gets while another one could.
#[test]
fn assignments_cut_off() {
    let (mut log, live) = log_with_groups(2);
    let report = |session, is_cut_off| Command::ReportLinks { session, is_cut_off };
    log.apply(report(A, true));
    log.apply(report(B, true));
    assert!(assignments(&log.state, &live).iter().all(|(_, session)| *session == C));
    log.apply(report(C, true));
    assert_eq!(assignments(&log.state, &live)[0], (group(0), A));
    log.apply(report(B, false));
    assert!(assignments(&log.state, &live).iter().all(|(_, session)| *session == B));
}

/// Guards against groups that stay on one instance after the others have restarted, and against
/// groups that move back and forth.
#[test]
fn rebalance_settles() {
    let (mut log, live) = log_with_groups(5);
    for i in 0..5 {
        let owner = if i == 4 { C } else { A };
        log.assign(&group(i), owner);
    }
    let mut moves = 0;
    while let Some((moved, owner)) = rebalance(&log.state, &live) {
        log.release(&moved, owner);
        assert_eq!(rebalance(&log.state, &live), None, "one group at a time");
        for (group, session) in assignments(&log.state, &live) {
            log.assign(&group, session);
        }
        moves += 1;
        assert!(moves < 10, "groups move back and forth");
    }
    let owned = |session| log.state.groups().filter(|g| g.owner == Some(session)).count();
    let counts = (owned(A), owned(B), owned(C));
    assert!(counts == (3, 2, 0) || counts == (2, 3, 0), "{counts:?}");
}

/// Guards against groups at instances with little processor time while others have more: an owner
/// handles two messages for each request, and three of them on a tenth of a core delay all requests.
#[test]
fn assignments_uneven_cores() {
    let mut log = Log::default();
    let mut open = |name, cores| {
        let cores = MilliCores::from_fraction(cores);
        let info = InstanceInfo { cores, ..instance_info(name, 1) };
        let Reply::SessionOpened(session) = log.apply(Command::OpenSession(info)) else { panic!() };
        session
    };
    let small = [open("fj-1", 0.09), open("fj-2", 0.09)];
    let large = open("fj-3", 0.3);
    let live: BTreeSet<_> = small.into_iter().chain([large]).collect();
    register_groups(&mut log, 4);
    let assigned = assignments(&log.state, &live);
    let of = |session| assigned.iter().filter(|(_, owner)| *owner == session).count();
    assert_eq!((of(small[0]), of(small[1]), of(large)), (1, 0, 3));
    log.assign(&group(0), small[0]);
    log.assign(&group(1), small[1]);
    log.assign(&group(2), large);
    log.assign(&group(3), small[1]);
    assert_eq!(rebalance(&log.state, &live).map(|(_, owner)| owner), Some(small[1]));
}

/// Guards against an instance that repeatedly gets its expired session when it opens a new one.
/// When `EndSession` waited behind other work of the leader, instances opened the expired session
/// up to ten times.
#[test]
fn expired_session_ends_before_opening() {
    let start = Instant::now();
    let mut log = Log::default();
    let (a, b) = (log.open("a", 1), log.open("b", 1));
    let mut leader_state = LeaderState::new(start, Term(1), &log.state);
    let late = start + SESSION_LEASE + CLOCK_DRIFT_MARGIN;
    let renewed = leader_state.renew(late - ms(1), &log.state, b, Revision(0), Vec::new());
    assert_eq!(renewed, Ok(()));
    let mut expired = |log: &Log, instance: &str| {
        leader_state.expired_session_of(late, &log.state, &instance.parse().unwrap())
    };
    assert_eq!(expired(&log, "a"), Some(a));
    assert_eq!(expired(&log, "b"), None);
    assert_eq!(expired(&log, "c"), None);
    log.apply(Command::EndSession { session: a });
    assert!(log.open("a", 1) > a);
    assert_eq!(expired(&log, "a"), None);
}
