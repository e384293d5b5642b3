//! What each kind of caller gets under the heaviest loads, by fair shares and by urgency.
//!
//! Each test runs the same seeded load under both settings. The bounds are those of
//! `docs/design/hard-load.md`: only the least urgent requests or those that would be late anyway are
//! refused, none is held until its deadline, and the least urgent kind is served at least a quarter as
//! often as all.

mod simulation;
mod support;

use std::time::Duration;

use rstest::rstest;
use shallotdrum_scheduler::Scheduling;

use simulation::{Demand, Kind, Load, Phase, Report, run};

/// Least urgent kind against all: fraction of complete responses.
const MIN_RELATIVE_SERVICE: f64 = 0.25;
/// Fraction of the most urgent requests that finish although there is an overload, if they alone leave
/// capacity unused; what the page asks for during faults.
const MIN_URGENT: f64 = 0.95;

const CALM: Phase = Phase { secs: 6.0, factor: 0.6 };

fn kind(name: &'static str, rank: u8, share: f64, work: Demand, deadline_secs: u64) -> Kind {
    let deadline = Duration::from_secs(deadline_secs);
    Kind { name, rank, share, work, deadline, objective: None, customer: None }
}

fn short() -> Demand {
    Demand::Response { prompt: 1_500..2_400, tokens: 24 }
}

fn long() -> Demand {
    Demand::Response { prompt: 1_500..2_400, tokens: 170 }
}

fn three_kinds() -> Vec<Kind> {
    let objective = Some(Duration::from_millis(800));
    vec![
        Kind { objective, ..kind("urgent", 0, 0.3, short(), 4) },
        kind("usual", 1, 0.35, short(), 12),
        kind("patient", 2, 0.35, long(), 15),
    ]
}

/// Runs the load by fair shares and by urgency and prints what each kind got.
async fn compare(load: &Load) -> (Report, Report) {
    let shares = run(load, Scheduling::Shares).await;
    let urgency = run(load, Scheduling::Urgency).await;
    println!("shares\n{shares}urgency\n{urgency}");
    (shares, urgency)
}

/// Checks what holds under any load: none is held until its deadline, and the least urgent kind is not
/// starved.
fn check_common(report: &Report, phases: std::ops::Range<usize>, least: &str) {
    let all = report.all(phases.clone());
    assert_eq!(all.held, 0, "requests were held until their deadline");
    let least = report.of(phases, least).finished_share();
    assert!(
        least >= MIN_RELATIVE_SERVICE * all.finished_share(),
        "the least urgent kind got {least:.3}, all got {:.3}",
        all.finished_share()
    );
}

/// Answers the burst of 2.4 times the capacity for 4.5 s on a day with three kinds of callers. Guards
/// against urgent requests that wait behind patient ones.
#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
#[tokio::test(start_paused = true)]
async fn burst_spares_urgent(#[case] seed: u64) {
    let burst = Phase { secs: 4.5, factor: 2.4 };
    let after = Phase { secs: 10.0, factor: 0.6 };
    let load = Load { kinds: three_kinds(), phases: vec![CALM, burst, after], outage: None, seed };
    let (shares, urgency) = compare(&load).await;
    check_common(&urgency, 1..3, "patient");
    let urgent = urgency.of(1..2, "urgent");
    assert!(urgent.finished_share() >= MIN_URGENT, "{urgent:?}");
    assert!(urgent.objective_share() > shares.of(1..2, "urgent").objective_share(), "{urgent:?}");
    assert_eq!(urgency.all(0..1).refused, 0, "requests were refused in calm");
}

/// Answers the failure of a quarter of the engines for 2 s, also in a burst. Guards against urgent
/// requests that are refused or late while others are served.
#[rstest]
#[case::busy(0.9)]
#[case::burst(1.5)]
#[tokio::test(start_paused = true)]
async fn outage_spares_urgent(#[case] factor: f64) {
    let load = Load {
        kinds: three_kinds(),
        phases: vec![CALM, Phase { secs: 4.5, factor }, CALM],
        outage: Some(6.0..8.0),
        seed: 3,
    };
    let (shares, urgency) = compare(&load).await;
    check_common(&urgency, 1..3, "patient");
    let (new, old) = (urgency.of(1..2, "urgent"), shares.of(1..2, "urgent"));
    // Requests that run on an engine when it stops fail under either setting.
    assert!(new.finished + new.cut_off >= new.sent * 95 / 100, "{new:?}");
    assert!(new.objective_share() >= old.objective_share(), "{new:?} {old:?}");
}

/// Answers deployment B, where the most urgent kind has the long responses. Guards against an order
/// by the size of the work or by the deadline alone.
#[tokio::test(start_paused = true)]
async fn burst_inverted_kinds_follow_rank() {
    let kinds = vec![
        kind("long", 0, 0.3, long(), 15),
        kind("usual", 1, 0.35, short(), 12),
        kind("short", 2, 0.35, short(), 5),
    ];
    let burst = Phase { secs: 4.5, factor: 2.4 };
    let load = Load { kinds, phases: vec![CALM, burst, CALM], outage: None, seed: 4 };
    let (_, urgency) = compare(&load).await;
    check_common(&urgency, 1..3, "short");
    check_common(&urgency, 1..2, "short");
    let long = urgency.of(1..2, "long");
    assert!(long.finished_share() >= MIN_URGENT, "{long:?}");
}

/// Answers plain services at 1.5 times their capacity. Guards against calls that are held until their
/// deadline, and against a duration of calls that is learned from streams.
#[tokio::test(start_paused = true)]
async fn services_overload_spares_urgent() {
    let call = || Demand::Call { ms: 60..140 };
    let objective = Some(Duration::from_millis(500));
    let kinds = vec![
        Kind { objective, ..kind("urgent", 0, 0.3, call(), 1) },
        kind("usual", 1, 0.3, call(), 2),
        kind("patient", 2, 0.4, call(), 2),
    ];
    let overload = Phase { secs: 8.0, factor: 1.5 };
    let load = Load { kinds, phases: vec![CALM, overload, CALM], outage: None, seed: 5 };
    let (shares, urgency) = compare(&load).await;
    check_common(&urgency, 1..2, "patient");
    let (new, old) = (urgency.of(1..2, "urgent"), shares.of(1..2, "urgent"));
    assert!(new.finished_share() >= MIN_URGENT, "{new:?}");
    assert!(new.objective_share() >= MIN_URGENT, "{new:?} {old:?}");
}

/// Answers an overload that lasts for 20 s, in which the most urgent kind alone exceeds the capacity.
/// Guards against the starvation of the least urgent kind.
#[tokio::test(start_paused = true)]
async fn overload_starves_no_kind() {
    let kinds = vec![
        kind("urgent", 0, 0.6, short(), 4),
        kind("usual", 1, 0.2, short(), 12),
        kind("patient", 2, 0.2, short(), 15),
    ];
    let overload = Phase { secs: 20.0, factor: 2.0 };
    let load = Load { kinds, phases: vec![CALM, overload], outage: None, seed: 6 };
    let (_, urgency) = compare(&load).await;
    check_common(&urgency, 1..2, "patient");
    let all = urgency.all(1..2);
    // Half of the load fits; little of the capacity may go to responses that are cut off.
    assert!(all.cut_off * 20 <= all.sent, "{all:?}");
}

/// Answers calm periods at less than 70% of the engines' time. Guards against requests that are
/// refused by a wrong estimate although nothing is short, also after an overload has raised it.
#[rstest]
#[case::from_start(vec![Phase { secs: 20.0, factor: 0.65 }], 0)]
#[case::after_burst(
    vec![CALM, Phase { secs: 4.5, factor: 2.4 }, Phase { secs: 8.0, factor: 0.5 },
        Phase { secs: 10.0, factor: 0.65 }],
    3,
)]
#[tokio::test(start_paused = true)]
async fn calm_refuses_none(#[case] phases: Vec<Phase>, #[case] calm: usize) {
    let load = Load { kinds: three_kinds(), phases, outage: None, seed: 7 };
    let (_, urgency) = compare(&load).await;
    let all = urgency.all(calm..calm + 1);
    assert_eq!((all.refused, all.finished), (0, all.sent), "{all:?}");
}

/// Answers callers that leave less time than a response takes. Guards against requests that are held
/// or run although they are known to miss their deadline.
#[tokio::test(start_paused = true)]
async fn impossible_deadline_refused_at_once() {
    let mut kinds = vec![kind("usual", 0, 0.5, long(), 15), kind("hasty", 0, 0.5, long(), 1)];
    kinds[1].deadline = Duration::from_millis(700);
    let load =
        Load { kinds, phases: vec![CALM, Phase { secs: 6.0, factor: 0.6 }], outage: None, seed: 8 };
    let (_, urgency) = compare(&load).await;
    let hasty = urgency.of(1..2, "hasty");
    assert_eq!((hasty.refused, hasty.refused_at_once), (hasty.sent, hasty.sent), "{hasty:?}");
    let usual = urgency.of(1..2, "usual");
    assert_eq!(usual.finished, usual.sent, "{usual:?}");
}

/// Guards against a change of what a deployment gets that does not ask for it.
#[tokio::test(start_paused = true)]
async fn when_paced_without_pace_equals_shares() {
    let burst = Phase { secs: 2.0, factor: 2.4 };
    let load = Load { kinds: three_kinds(), phases: vec![CALM, burst], outage: None, seed: 9 };
    assert_eq!(run(&load, Scheduling::WhenPaced).await, run(&load, Scheduling::Shares).await);
}

/// Guards against a group that refuses everything because of one long prompt: its backlog was spread
/// over all engines, as if each had to wait for it.
#[tokio::test(start_paused = true)]
async fn long_prompt_holds_up_one_engine() {
    let model = shallotdrum_scheduler::EngineModel::default();
    let cfg = shallotdrum_scheduler::SchedulerConfig {
        scheduling: Scheduling::Urgency,
        engine_model: Some(model),
        ..support::config()
    };
    let group = support::group(cfg);
    for i in 0..4 {
        let id = format!("e{i}");
        group.engine(&id, 1, 2, 8);
        group.report(&id, 1, 0, &[("a", 0)]);
        group.report(&id, 1, 0, &[("a", 0)]);
    }
    let prompt = |tokens: u64, secs: u64| {
        let mut request = support::completion("light", "a");
        let shallotdrum_scheduler::RequestKind::Completion { prompt_tokens, .. } =
            &mut request.kind
        else {
            unreachable!()
        };
        *prompt_tokens = tokens;
        request.deadline = tokio::time::Instant::now() + Duration::from_secs(secs);
        request
    };
    // 60 s of the engine that gets it.
    let long = group.run(prompt(1_500_000, 110), Duration::from_secs(60));
    tokio::time::sleep(Duration::from_millis(50)).await;
    let short = group.run(prompt(1_500, 4), Duration::from_millis(300)).await.unwrap();
    assert!(short.is_ok(), "{short:?}");
    long.abort();
}
