//! Callers that return, the shares of all kinds and the shares of customers under overload.

mod simulation;
mod support;

use std::time::Duration;

use rstest::rstest;
use shallotdrum_engine::TargetKind;
use shallotdrum_scheduler::{AdmissionRequest, RequestKind, SchedulerConfig, Scheduling};
use tokio::time::Instant;

use simulation::{Callers, Demand, Kind, Load, Phase, run, run_with};
use support::{request_of_kind, spec};

const CALM: Phase = Phase { secs: 6.0, factor: 0.6 };
/// Fraction of complete responses of any kind, relative to all.
const MIN_RELATIVE_SERVICE: f64 = 0.25;
/// Latency of a customer within its share beside one that floods, relative to that without the flood.
const MAX_RELATIVE_LATENCY: f64 = 1.2;

fn kind(name: &'static str, rank: u8, share: f64, work: Demand, deadline_ms: u64) -> Kind {
    let deadline = Duration::from_millis(deadline_ms);
    Kind { name, rank, share, work, deadline, objective: None, customer: None }
}

fn call() -> Demand {
    Demand::Call { ms: 60..140 }
}

fn short() -> Demand {
    Demand::Response { prompt: 1_500..2_400, tokens: 24 }
}

fn calls() -> Vec<Kind> {
    vec![
        kind("urgent", 0, 0.3, call(), 1_000),
        kind("usual", 1, 0.3, call(), 2_000),
        kind("patient", 2, 0.4, call(), 4_000),
    ]
}

fn streams() -> Vec<Kind> {
    vec![
        kind("urgent", 0, 0.3, short(), 2_000),
        kind("usual", 1, 0.35, short(), 3_000),
        kind("patient", 2, 0.35, short(), 3_000),
    ]
}

/// Answers callers that return once at the time that they were told, at 1.5 times the capacity. Guards
/// against returns that take the room of others, and against times at which those with a new deadline
/// find no room. Those with the first deadline return in vain: the queue is not shorter than expected.
#[rstest]
#[case::calls(calls(), Callers::Return, 1.0, 0.65)]
#[case::streams(streams(), Callers::Return, 1.0, 0.68)]
#[case::renewed_calls(calls(), Callers::Renew, 0.55, 0.72)]
#[case::renewed_streams(streams(), Callers::Renew, 0.75, 0.7)]
#[tokio::test(start_paused = true)]
async fn callers_return_in_vain(
    #[case] kinds: Vec<Kind>,
    #[case] callers: Callers,
    #[case] max_in_vain: f64,
    #[case] min_finished: f64,
) {
    let overload = Phase { secs: 8.0, factor: 1.5 };
    let load = Load { kinds, phases: vec![CALM, overload, CALM], outage: None, seed: 11 };
    let report = run_with(&load, Scheduling::Urgency, callers).await;
    let all = report.all(1..2);
    println!("{report}");
    println!("in vain {:.3}, finished {:.3}", all.in_vain_share(), all.finished_share());
    assert!(all.returned > 0, "no request was refused");
    assert!(all.in_vain_share() <= max_in_vain, "{all:?}");
    assert!(all.finished_share() >= min_finished, "{all:?}");
}

/// Guards against callers that are refused at the same time and told the same time.
#[tokio::test(start_paused = true)]
async fn refused_together_return_one_by_one() {
    const CALL: Duration = Duration::from_millis(100);
    let cfg = SchedulerConfig { scheduling: Scheduling::Urgency, ..support::config() };
    let group = support::group(cfg);
    group.scheduler.upsert_target(spec("s1", 1, TargetKind::Service { max_concurrent: 1 }));
    let call = |time: Duration| {
        let request = request_of_kind("a", RequestKind::Service { is_repeatable: true });
        AdmissionRequest { deadline: Instant::now() + time, ..request }
    };
    for _ in 0..4 {
        group.run(call(Duration::from_secs(9)), CALL).await.unwrap().unwrap();
    }
    for _ in 0..31 {
        drop(group.run(call(Duration::from_secs(9)), CALL));
    }
    tokio::task::yield_now().await;
    let mut told = Vec::new();
    for _ in 0..6 {
        let error = group.admit(call(Duration::from_millis(2_900))).await.unwrap_err();
        told.push(error.retry_after.unwrap());
    }
    let gaps: Vec<_> = told.windows(2).map(|pair| pair[1].saturating_sub(pair[0])).collect();
    assert!(gaps.iter().all(|gap| *gap >= CALL * 9 / 10), "{told:?}");
}

/// Answers long overloads with four kinds. Guards against a kind that is starved by more urgent ones, by
/// its short deadline or by the turns of the others.
#[rstest]
#[case::calls([call(), call(), call(), call()], [1_000, 2_000, 2_000, 1_000], 1.5)]
#[case::many_calls([call(), call(), call(), call()], [1_000, 2_000, 2_000, 1_000], 3.0)]
#[case::streams([short(), short(), short(), short()], [4_000, 12_000, 15_000, 5_000], 2.0)]
#[tokio::test(start_paused = true)]
async fn kinds_get_quarter(
    #[case] work: [Demand; 4],
    #[case] deadlines_ms: [u64; 4],
    #[case] factor: f64,
) {
    let names = ["first", "second", "third", "fourth"];
    let kinds: Vec<Kind> = work
        .into_iter()
        .zip(deadlines_ms)
        .enumerate()
        .map(|(n, (work, deadline_ms))| kind(names[n], n as u8, 0.25, work, deadline_ms))
        .collect();
    let phases = vec![CALM, Phase { secs: 10.0, factor }];
    let load = Load { kinds, phases, outage: None, seed: 12 };
    let report = run(&load, Scheduling::Urgency).await;
    println!("{report}");
    let all = report.all(1..2).finished_share();
    for name in names {
        let share = report.of(1..2, name).finished_share();
        assert!(share >= MIN_RELATIVE_SERVICE * all, "{name} got {share:.3}, all got {all:.3}");
    }
}

/// Answers an overload in which few requests are of the least urgent kind, so that none of them may be
/// queued for long. Guards against a kind that is refused on arrival and gets no turns for that reason.
#[rstest]
#[case::calls(call(), 1.5)]
#[case::many_calls(call(), 3.0)]
#[case::streams(short(), 2.0)]
#[tokio::test(start_paused = true)]
async fn rare_kind_gets_quarter(#[case] work: Demand, #[case] factor: f64) {
    let kinds = vec![
        kind("first", 0, 0.65, work.clone(), 2_500),
        kind("second", 1, 0.3, work.clone(), 2_500),
        kind("rare", 9, 0.05, work, 2_500),
    ];
    let phases = vec![CALM, Phase { secs: 15.0, factor }];
    let load = Load { kinds, phases, outage: None, seed: 14 };
    let report = run(&load, Scheduling::Urgency).await;
    println!("{report}");
    let (all, rare) = (report.all(1..2), report.of(1..2, "rare"));
    let (all, rare) = (all.finished_share(), rare.finished_share());
    assert!(rare >= MIN_RELATIVE_SERVICE * all, "the rare kind got {rare:.3}, all got {all:.3}");
}

/// Answers a customer that sends 10 times its share. Guards against others that wait behind it, or are
/// refused for it.
#[rstest]
#[case::calls(call(), 2_000)]
#[case::streams(short(), 8_000)]
#[tokio::test(start_paused = true)]
async fn flood_spares_light_customer(#[case] work: Demand, #[case] deadline_ms: u64) {
    // Load of the light customer, of five others, and of the one that floods, relative to the capacity.
    let run_beside = async |flood: f64| {
        let loads = [0.05, 0.4, flood];
        let factor: f64 = loads.iter().sum();
        let of = |name, load: f64| kind(name, 0, load / factor, work.clone(), deadline_ms);
        let kinds = vec![
            Kind { customer: Some("light"), ..of("light", loads[0]) },
            of("others", loads[1]),
            Kind { customer: Some("flood"), ..of("flood", loads[2]) },
        ];
        let phases = vec![CALM, Phase { secs: 20.0, factor }];
        run(&Load { kinds, phases, outage: None, seed: 13 }, Scheduling::Urgency).await
    };
    let (calm, flooded) = (run_beside(0.1).await, run_beside(1.0).await);
    println!("calm\n{calm}flooded\n{flooded}");
    let (before, after) = (calm.p99(1, "light"), flooded.p99(1, "light"));
    println!("p99 of the light customer: {before:?} without the flood, {after:?} beside it");
    let light = flooded.of(1..2, "light");
    assert_eq!(light.finished, light.sent, "{light:?}");
    assert!(after <= before.mul_f64(MAX_RELATIVE_LATENCY), "{before:?}, {after:?}");
}

/// Guards against a customer that is limited for others while there are none.
#[tokio::test(start_paused = true)]
async fn flood_alone_unlimited() {
    let flood = Kind { customer: Some("flood"), ..kind("flood", 0, 1.0, short(), 8_000) };
    let phases = vec![CALM, Phase { secs: 20.0, factor: 1.45 }];
    let load = Load { kinds: vec![flood], phases, outage: None, seed: 13 };
    let report = run(&load, Scheduling::Urgency).await;
    println!("{report}");
    assert!(report.all(1..2).finished_share() >= 0.75, "{report}");
}
