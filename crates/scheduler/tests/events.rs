//! Log events of the scheduler, identified by their codes.

mod support;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use shallotdrum_engine::TargetKind;
use shallotdrum_scheduler::{
    Finish, GroupScheduler, LoadFailure, LoadFn, RequestKind, SchedulerConfig,
};
use slog::{Drain, KV, Logger, OwnedKVList, Record, Serializer};
use support::{completion, config, engine_spec, request_of_kind, spec, target};
use tokio::time::sleep;

/// Collects the codes of logged events.
#[derive(Clone, Default)]
struct Codes(Arc<Mutex<Vec<String>>>);

impl Drain for Codes {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), slog::Never> {
        struct Code<'a>(&'a Codes);
        impl Serializer for Code<'_> {
            fn emit_arguments(
                &mut self,
                key: slog::Key,
                value: &std::fmt::Arguments<'_>,
            ) -> slog::Result {
                if key == "code" {
                    self.0.0.lock().unwrap().push(value.to_string());
                }
                Ok(())
            }
        }
        record.kv().serialize(record, &mut Code(self)).unwrap();
        Ok(())
    }
}

impl Codes {
    fn count(&self, code: &str) -> usize {
        self.0.lock().unwrap().iter().filter(|logged| *logged == code).count()
    }
}

fn scheduler(cfg: SchedulerConfig, load: LoadFn) -> (GroupScheduler, Codes) {
    let codes = Codes::default();
    let log = Logger::root(codes.clone(), slog::o!());
    (GroupScheduler::new(cfg, load, log), codes)
}

/// Guards against a failed load that is not logged, and against a log line for each missing permit.
#[tokio::test(start_paused = true)]
async fn failed_load_is_logged() {
    for (failure, is_logged) in [(LoadFailure::Failed, true), (LoadFailure::NoPermit, false)] {
        let load: LoadFn = Arc::new(move |_| Box::pin(std::future::ready(Err(failure.clone()))));
        let (scheduler, codes) = scheduler(config(), load);
        scheduler.upsert_target(engine_spec("e1", 1, 1, 1));
        scheduler.report(&target("e1"), shallotdrum_types::Incarnation(1), &Default::default());
        let admit = scheduler.admit(completion("light", "a"));
        let _ = tokio::time::timeout(Duration::from_secs(5), admit).await;
        assert_eq!(codes.count("O0304") > 0, is_logged);
        assert_eq!(codes.count("O0304") as u64, scheduler.snapshot().failed_loads);
    }
}

/// Guards against an ejection that is not logged.
#[tokio::test(start_paused = true)]
async fn ejection_is_logged() {
    let (scheduler, codes) = scheduler(config(), Arc::new(|_| unreachable!()));
    for id in ["s1", "s2"] {
        scheduler.upsert_target(spec(id, 1, TargetKind::Service { max_concurrent: 8 }));
    }
    for _ in 0..10 {
        let kind = RequestKind::Service { is_repeatable: true };
        let lease = scheduler.admit(request_of_kind("light", kind)).await.unwrap();
        lease.started();
        lease.finish(Finish::TargetFailed);
    }
    assert_eq!(codes.count("T0608"), 1);
}

/// Guards against a flood that causes a log line for each refused request.
#[tokio::test(start_paused = true)]
async fn full_queue_is_logged_at_bounded_rate() {
    let cfg = SchedulerConfig { max_queued_per_subscriber: 1, ..config() };
    let (scheduler, codes) = scheduler(cfg, Arc::new(|_| unreachable!()));
    scheduler.upsert_target(spec("s1", 1, TargetKind::Service { max_concurrent: 1 }));
    let call = || request_of_kind("heavy", RequestKind::Service { is_repeatable: true });
    let _running = scheduler.admit(call()).await.unwrap();
    let waiting = scheduler.clone();
    let queued = call();
    tokio::spawn(async move { drop(waiting.admit(queued).await) });
    sleep(Duration::from_millis(1)).await;
    for _ in 0..250 {
        assert!(scheduler.admit(call()).await.is_err());
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(codes.count("O0313"), 3);
}
