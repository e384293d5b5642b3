//! CPU time per admitted request in the owner's scheduler.

use std::sync::Arc;

use futures_util::FutureExt;
use shallotdrum_engine::{AdapterStatus, LoadReport, TargetKind, Urgency};
use shallotdrum_scheduler::{
    AdmissionRequest, Finish, GroupScheduler, RequestKind, SchedulerConfig, TargetSpec,
};
use shallotdrum_types::{AdapterRef, Fingerprint, Incarnation, TargetId, Weight};
use tokio::{runtime::Builder, time::Instant};

use super::{SEED, report::Report, usage};

/// Number of concurrent requests.
const CONCURRENT: usize = 100;

/// Measures admissions for groups of growing size, each on a single thread.
pub(crate) fn measure(report: &mut Report) -> anyhow::Result<()> {
    report.section("Scheduler: CPU of admitted requests, 4 loaded adapters a target");
    for targets in [4, 8, 16] {
        let points = [5_000, 10_000, 20_000]
            .map(|requests| anyhow::Ok((requests as f64, measure_admissions(targets, requests)?)))
            .into_iter()
            .collect::<Result<Vec<_>, _>>()?;
        report.add(format!("{targets} targets"), "us", "request", &points);
    }
    Ok(())
}

/// Returns the CPU time of `requests` admissions, in microseconds.
fn measure_admissions(targets: usize, requests: usize) -> anyhow::Result<f64> {
    // Use a separate thread, because `block_on` panics inside the caller's runtime.
    let thread = std::thread::spawn(move || -> anyhow::Result<f64> {
        let runtime = Builder::new_current_thread().enable_time().build()?;
        runtime.block_on(run_admissions(targets, requests))
    });
    thread.join().unwrap_or_else(|_| Err(anyhow::anyhow!("the scheduler panicked")))
}

async fn run_admissions(targets: usize, requests: usize) -> anyhow::Result<f64> {
    let cfg = SchedulerConfig { seed: Some(SEED), ..SchedulerConfig::new("suva-a".parse()?) };
    let load = Arc::new(|_| async { Ok(()) }.boxed());
    let scheduler = GroupScheduler::new(cfg, load, shallotdrum_telemetry::discard());
    for i in 0..targets {
        let id: TargetId = format!("engine-{i}").parse()?;
        scheduler.upsert_target(TargetSpec {
            id: id.clone(),
            incarnation: Incarnation(1),
            addr: "127.0.0.1:1".parse()?,
            zone: "suva-a".parse()?,
            kind: TargetKind::Engine {
                base_model: "casereader".parse()?,
                adapter_slots: 4,
                max_batch: 16,
                checks_fencing: true,
            },
            software: None,
            orders_allowed_from: Instant::now(),
        });
        let loaded = |j: usize| {
            anyhow::Ok(AdapterStatus { adapter: adapter(i * 4 + j)?, ready: true, running: 0 })
        };
        let adapters = (0..4).map(loaded).collect::<Result<_, _>>()?;
        let load_report = LoadReport { adapters, ..LoadReport::default() };
        // The scheduler trusts the list of loaded adapters after two reports.
        scheduler.report(&id, Incarnation(1), &load_report);
        scheduler.report(&id, Incarnation(1), &load_report);
    }
    let start = usage::thread_cpu()?;
    let tasks: Vec<_> = (0..CONCURRENT)
        .map(|task| {
            let scheduler = scheduler.clone();
            tokio::spawn(async move {
                for i in 0..requests / CONCURRENT {
                    let lease = scheduler.admit(build_request((task + i) % (targets * 4))?).await?;
                    lease.started();
                    lease.finish(Finish::Answered { prompt_tokens: 10, completion_tokens: 5 });
                }
                anyhow::Ok(())
            })
        })
        .collect();
    for task in tasks {
        task.await??;
    }
    Ok((usage::thread_cpu()? - start).as_secs_f64() * 1e6)
}

fn adapter(i: usize) -> anyhow::Result<AdapterRef> {
    Ok(AdapterRef { adapter: format!("adapter-{i}").parse()?, version: "1".parse()? })
}

fn build_request(i: usize) -> anyhow::Result<AdmissionRequest> {
    Ok(AdmissionRequest {
        request: "request".parse()?,
        subscriber: format!("subscriber-{i}").parse()?,
        weight: Weight::default(),
        fingerprint: Fingerprint::of(&[]),
        kind: RequestKind::Completion {
            adapter: adapter(i)?,
            source: String::new(),
            prompt_tokens: 10,
            max_tokens: 16,
            prompt_prefix_hashes: Vec::new(),
        },
        deadline: Instant::now() + std::time::Duration::from_secs(60),
        is_suspect: false,
        avoid: Vec::new(),
        software: None,
        max_concurrent: None,
        urgency: Urgency::default(),
        objective: None,
        spread: 1,
    })
}
