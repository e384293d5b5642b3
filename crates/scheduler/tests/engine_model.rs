//! Target selection and loads with an engine model, and reconciliation of engine slots.

mod support;

use std::{sync::Arc, time::Duration};

use rstest::rstest;
use shallotdrum_engine::TargetKind;
use shallotdrum_scheduler::{
    AdmissionRequest, EngineModel, Finish, LoadFailure, RequestKind, SchedulerConfig,
};
use shallotdrum_types::{AdapterRef, Tokens};
use tokio::time::{sleep, timeout};

use support::{
    LOAD_TIME, adapter, answered, completion, config, engine_spec, group, group_with,
    request_of_kind, spec, target,
};

/// Longer than any wait for admission in these tests, except for requests that are never admitted.
const MAX_WAIT: Duration = Duration::from_secs(2);

fn config_with_model() -> SchedulerConfig {
    SchedulerConfig { engine_model: Some(EngineModel::default()), ..config() }
}

fn prompt(name: &str, Tokens(tokens): Tokens) -> AdmissionRequest {
    let mut request = completion(name, name);
    let RequestKind::Completion { prompt_tokens, .. } = &mut request.kind else { unreachable!() };
    *prompt_tokens = tokens;
    request
}

fn version(name: &str, version: &str) -> AdapterRef {
    AdapterRef { version: version.parse().unwrap(), ..adapter(name) }
}

/// Guards against more adapters than slots. While the result of an order is unknown, an order of
/// the previous owner may be carried out and take the slot that appears free.
#[tokio::test(start_paused = true)]
async fn report_unknown_load_counts_foreign_adapter() {
    let outcomes =
        Arc::new(|order: &shallotdrum_scheduler::LoadOrder| match order.adapter.adapter.as_str() {
            "lost" => Err(LoadFailure::Unknown),
            _ => Ok(()),
        });
    let group = group_with(config_with_model(), outcomes);
    group.engine("e1", 1, 2, 8);
    group.report("e1", 1, 0, &[("held", 0)]);
    let waiting = group.run(completion("light", "lost"), Duration::ZERO);
    sleep(LOAD_TIME * 2).await;
    for _ in 0..4 {
        group.report("e1", 1, 0, &[("held", 0), ("foreign", 0)]);
        sleep(Duration::from_millis(300)).await;
    }
    let next = group.run(completion("light", "next"), Duration::ZERO);
    sleep(MAX_WAIT * 3).await;
    let orders = group.orders();
    let later: Vec<_> = orders.iter().skip(1).collect();
    assert!(!later.is_empty(), "nothing was loaded after the reports");
    assert!(later.iter().all(|order| order.evict.is_some()), "{later:?}");
    waiting.abort();
    next.abort();
}

/// Guards against a new adapter version in a second slot, although the engine replaces the previous
/// version, and against evicting the new version by the previous one's name.
#[tokio::test(start_paused = true)]
async fn load_new_version_replaces_former() {
    let group = group(config_with_model());
    group.engine("e1", 1, 3, 8);
    // A report sampled after the takeover shows that nothing runs on the adapter.
    sleep(Duration::from_millis(10)).await;
    group.report("e1", 1, 0, &[("a", 0)]);
    let mut request = completion("light", "a");
    let RequestKind::Completion { adapter, .. } = &mut request.kind else { unreachable!() };
    *adapter = version("a", "2");
    let lease = timeout(MAX_WAIT, group.admit(request)).await.unwrap().unwrap();
    let orders = group.orders();
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].adapter, version("a", "2"));
    assert_eq!(orders[0].evict, Some(version("a", "1")));
    lease.finish(answered(10));
}

/// Guards against loading an adapter from the weight store that is still in an engine's cache.
#[rstest]
#[case::one_other(1)]
#[case::many_others(12)]
#[tokio::test(start_paused = true)]
async fn load_cached_returns_to_its_engine(#[case] others: usize) {
    let group = group(config_with_model());
    for id in ["e1", "e2", "e3"] {
        group.engine(id, 1, 2, 8);
    }
    let first = timeout(MAX_WAIT, group.admit(completion("a", "a"))).await.unwrap().unwrap();
    let first_target = first.target.clone();
    first.finish(answered(10));
    for n in 0..others {
        let name = format!("other{n}");
        let lease =
            timeout(MAX_WAIT, group.admit(completion(&name, &name))).await.unwrap().unwrap();
        lease.finish(answered(10));
        sleep(Duration::from_secs(3)).await;
    }
    let again = timeout(MAX_WAIT, group.admit(completion("a", "a"))).await.unwrap().unwrap();
    assert_eq!(again.target, first_target);
}

/// Guards against a prefill backlog on one engine while another holder of the adapter is idle.
#[tokio::test(start_paused = true)]
async fn target_choice_follows_prefill_backlog() {
    let group = group(config_with_model());
    for id in ["e1", "e2"] {
        group.engine(id, 1, 2, 64);
        group.report(id, 1, 0, &[("a", 0)]);
    }
    let long = group.admit(prompt("a", Tokens(6_000))).await.unwrap();
    let short = group.admit(prompt("a", Tokens(1_000))).await.unwrap();
    let other = group.admit(prompt("a", Tokens(1_000))).await.unwrap();
    assert_ne!(long.target, short.target);
    assert_eq!(short.target, other.target);
}

/// Guards against prompts that wait at a busy engine, where no other engine can take them.
#[tokio::test(start_paused = true)]
async fn admit_waits_for_bounded_backlog() {
    let group = group(config_with_model());
    group.engine("e1", 1, 1, 64);
    group.report("e1", 1, 0, &[("a", 0)]);
    let model = EngineModel::default();
    let per_prompt = Duration::from_millis((5_000.0 / model.prefill_tokens_per_ms) as u64);
    let max_prompts = model.max_backlog.div_duration_f64(per_prompt).ceil() as usize + 1;
    let mut leases = Vec::new();
    for _ in 0..max_prompts {
        leases.push(group.admit(prompt("a", Tokens(5_000))).await.unwrap());
    }
    let next = group.run(prompt("a", Tokens(5_000)), Duration::ZERO);
    let done = next.await.unwrap().unwrap();
    assert!(done.wait > Duration::ZERO && done.wait < per_prompt * 2, "{done:?}");
}

/// Guards against requests for the base model that wait for an adapter.
#[tokio::test(start_paused = true)]
async fn admit_base_runs_without_load() {
    let group = group(config_with_model());
    group.engine("e1", 1, 1, 8);
    let kind =
        RequestKind::Base { prompt_tokens: 100, max_tokens: 10, prompt_prefix_hashes: Vec::new() };
    let lease =
        timeout(MAX_WAIT, group.admit(request_of_kind("base", kind))).await.unwrap().unwrap();
    assert_eq!(lease.target, target("e1"));
    assert_eq!(group.orders(), []);
}

/// Guards against slots that stay pinned after failed requests. On engines that evict only after
/// requests have ended, a few seconds of failures blocked all loads for two minutes.
#[tokio::test(start_paused = true)]
async fn finish_failed_leaves_slot_evictable() {
    let group = group(config_with_model());
    group.engine("e1", 1, 1, 8);
    let first = timeout(MAX_WAIT, group.admit(completion("a", "a"))).await.unwrap().unwrap();
    first.started();
    first.finish(Finish::TargetFailed);
    sleep(Duration::from_secs(3)).await;
    let second = timeout(MAX_WAIT, group.admit(completion("b", "b"))).await.unwrap().unwrap();
    assert_eq!(group.orders().last().unwrap().evict, Some(adapter("a")));
    second.finish(answered(10));
}

/// Guards against ejecting half of a group for a fault that all its targets share, and against a
/// single failing target that still gets requests.
#[rstest]
#[case::all(&["s0", "s1", "s2", "s3"], 0)]
#[case::one(&["s2"], 1)]
#[tokio::test(start_paused = true)]
async fn eject_only_outliers(#[case] failing: &[&str], #[case] expected: usize) {
    let group = group(SchedulerConfig { relative_ejection: true, ..config() });
    for n in 0..4 {
        let kind = TargetKind::Service { max_concurrent: 8 };
        group.scheduler.upsert_target(spec(&format!("s{n}"), 1, kind));
    }
    for _ in 0..20 {
        let mut leases = Vec::new();
        for _ in 0..4 {
            let kind = RequestKind::Service { is_repeatable: true };
            leases.push(
                timeout(MAX_WAIT, group.admit(request_of_kind("light", kind)))
                    .await
                    .unwrap()
                    .unwrap(),
            );
        }
        for lease in leases {
            lease.started();
            let end = match failing.contains(&lease.target.as_str()) {
                true => Finish::TargetFailed,
                false => answered(10),
            };
            lease.finish(end);
        }
    }
    let snapshot = group.scheduler.snapshot();
    let ejected = snapshot.targets.values().filter(|target| target.is_ejected).count();
    assert_eq!(ejected, expected);
}

/// Guards against refusals at a cold start. The wait for a load was estimated from a store that
/// grants two to three loads/s, so requests with seconds left were refused.
#[tokio::test(start_paused = true)]
async fn admit_cold_start_refuses_no_request() {
    let cfg = SchedulerConfig { max_outstanding_loads: 8, ..config_with_model() };
    let group = group(cfg);
    for n in 0..6 {
        group.engine(&format!("e{n}"), 1, 6, 64);
    }
    // These loads take 20 / 8 times 250 ms, well within a fifth of the remaining time.
    let requests: Vec<_> = (0..20)
        .map(|n| {
            let name = format!("a{n}");
            let mut request = completion(&name, &name);
            request.deadline = tokio::time::Instant::now() + Duration::from_secs(5);
            group.run(request, Duration::ZERO)
        })
        .collect();
    for request in requests {
        request.await.unwrap().unwrap();
    }
}

/// Guards against a crash that ejects a target for a minute because each interrupted request
/// doubled the ejection time.
#[tokio::test(start_paused = true)]
async fn eject_once_for_one_crash() {
    let group = group(config_with_model());
    for id in ["e1", "e2"] {
        group.engine(id, 1, 2, 64);
        group.report(id, 1, 0, &[("a", 0)]);
    }
    let mut leases = Vec::new();
    for _ in 0..40 {
        leases.push(timeout(MAX_WAIT, group.admit(completion("a", "a"))).await.unwrap().unwrap());
    }
    for lease in leases.into_iter().filter(|lease| lease.target == target("e1")) {
        lease.started();
        lease.finish(Finish::TargetFailed);
    }
    assert!(group.scheduler.snapshot().targets[&target("e1")].is_ejected);
    sleep(Duration::from_secs(7)).await;
    assert!(!group.scheduler.snapshot().targets[&target("e1")].is_ejected);
}

/// Guards against more adapters than slots after a takeover. An order of the previous owner
/// replaced an adapter between two reports, and the new one has no slot here.
#[tokio::test(start_paused = true)]
async fn takeover_unknown_adapter_blocks_orders() {
    let group = group(config_with_model());
    group.scheduler.upsert_target(engine_spec("e1", 1, 2, 8));
    sleep(Duration::from_millis(10)).await;
    group.report("e1", 1, 0, &[("a", 0), ("b", 0)]);
    sleep(Duration::from_millis(130)).await;
    group.report("e1", 1, 0, &[("a", 0), ("c", 0)]);
    assert!(!group.scheduler.is_reconciled(&target("e1")));
    let next = group.run(completion("d", "d"), Duration::ZERO);
    sleep(Duration::from_millis(500)).await;
    assert_eq!(group.orders(), []);
    for _ in 0..4 {
        group.report("e1", 1, 0, &[("a", 0), ("c", 0)]);
        sleep(Duration::from_millis(130)).await;
    }
    next.await.unwrap().unwrap();
    let evicted = group.orders()[0].evict.clone();
    assert!([adapter("a"), adapter("c")].map(Some).contains(&evicted), "{evicted:?}");
}

/// Reads prompts on one idle engine at a speed, in tokens per millisecond, until the scheduler has seen
/// `count` of them; returns the time from one admission to the next.
async fn read_prompts(group: &support::Group, speed: f64, count: usize) -> Duration {
    const TOKENS: u64 = 40_000;
    let mut last = tokio::time::Instant::now();
    let mut interval = Duration::ZERO;
    for _ in 0..count {
        let lease = group.admit(prompt("a", Tokens(TOKENS))).await.unwrap();
        (interval, last) = (last.elapsed(), tokio::time::Instant::now());
        lease.started();
        let reading = Duration::from_secs_f64(TOKENS as f64 / speed / 1_000.0);
        lease.first_token_after(EngineModel::default().prompt_overhead + reading);
        lease.finish(answered(10));
    }
    interval
}

/// Guards against engines that wait for prompts because they read faster than the settings say, and
/// against less than the speed of the settings because first tokens are late for other causes.
#[rstest]
#[case::faster(40.0, 40.0)]
#[case::as_configured(25.0, 25.0)]
#[case::delayed(10.0, 25.0)]
#[case::implausible(1_000.0, 100.0)]
#[tokio::test(start_paused = true)]
async fn prefill_speed_is_learned(#[case] measured: f64, #[case] expected: f64) {
    let group = group(config_with_model());
    group.engine("e1", 1, 2, 64);
    let interval = read_prompts(&group, measured, 100).await;
    let overhead = EngineModel::default().prompt_overhead;
    let speed = 40_000.0 / (interval - overhead).as_secs_f64() / 1_000.0;
    assert!((speed / expected - 1.0).abs() < 0.05, "{speed} tokens per ms");
}
