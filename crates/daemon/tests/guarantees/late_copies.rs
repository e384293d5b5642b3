//! G4 and G5 with targets that write responses once more, late: no request that is reported as "not run"
//! was run, and nobody gets the response to another request.

use futures_util::{StreamExt, future::join_all, stream};
use http::Method;
use rstest::rstest;
use shallotdrum_harness::CallerError;

use crate::{
    answers::{BackgroundRequest, check_not_run},
    setup::{START_LIMIT, Setup, start},
};

/// Number of calls in progress at a time; connections to targets are used again and again.
const CONCURRENT_CALLS: usize = 16;

async fn call(
    setup: &Setup,
    number: usize,
    method: Method,
    path: &str,
    key: Option<&str>,
) -> Result<String, CallerError> {
    let entry = setup.cluster.entry(number % setup.cluster.len());
    let path = format!("/{}{path}", setup.deployment.service);
    let response = setup.caller.call(entry, method, &path, key, "").await?;
    Ok(String::from_utf8_lossy(&response.body).into_owned())
}

fn paths_looked_up(setup: &Setup) -> Vec<String> {
    setup.targets.services.iter().flat_map(|service| service.stats().lookups).collect()
}

fn keys_run(setup: &Setup) -> Vec<String> {
    let runs = setup.targets.services.iter().flat_map(|service| service.stats().executions);
    runs.filter_map(|run| run.idempotency_key).collect()
}

/// Guards against reporting "not run" for a call that ran, and against the response to another call,
/// because a service repeats an earlier response.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn calls() {
    let setup = start().await;
    for service in &setup.targets.services {
        service.configure(|settings| {
            settings.refuse = 0.6;
            settings.late_copy = 0.5;
        });
    }
    let calls = (0..300).map(|i| {
        let setup = &setup;
        async move {
            let path = format!("/status/late-{i}");
            let looked_up = call(setup, i, Method::GET, &path, None).await;
            let key = format!("late-{i}");
            let issued = call(setup, i, Method::POST, "/certificates", Some(&key)).await;
            (path, looked_up, key, issued)
        }
    });
    let results: Vec<_> = stream::iter(calls).buffer_unordered(CONCURRENT_CALLS).collect().await;
    let (looked_up, keys) = (paths_looked_up(&setup), keys_run(&setup));
    let (mut wrong, mut refused) = (Vec::new(), 0);
    for (path, lookup, key, issued) in results {
        let runs = keys.iter().filter(|run| **run == key).count();
        match lookup {
            Ok(body) if !body.contains(&format!("{path}\"")) => {
                wrong.push(format!("{path}: {body}"));
            }
            Err(e) if e.is_not_run() => {
                refused += 1;
                if looked_up.contains(&path) {
                    wrong.push(format!("{path} ran: {e}"));
                }
            }
            Ok(_) | Err(_) => {}
        }
        match issued {
            Err(e) if e.is_not_run() && runs > 0 => wrong.push(format!("{key} ran: {e}")),
            Ok(_) if runs != 1 => wrong.push(format!("{key} was answered after {runs} runs")),
            Ok(_) | Err(_) if runs > 1 => wrong.push(format!("{key} ran {runs} times")),
            Ok(_) | Err(_) => {}
        }
    }
    eprintln!("{refused} of 300 lookups were reported as not run");
    assert!(wrong.is_empty(), "{} of 600 calls: {wrong:#?}", wrong.len());
    assert!(refused > 0, "the services refused nothing");
}

/// Guards against reporting "not run" for a completion that ran, because an engine repeats its refusal of
/// an earlier one.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn completions() {
    let setup = start().await;
    let engines = &setup.targets.engines;
    let (mut errors, mut served) = (Vec::new(), 0);
    for round in 0..10 {
        for (max_queue, late_copy) in [(0, 0.0), (1024, 1.0)] {
            for engine in engines {
                engine.configure(|settings| {
                    settings.max_queue = max_queue;
                    settings.late_copy = late_copy;
                });
            }
            let send = |i| {
                let prompt = format!("late {round} {max_queue} {i}");
                BackgroundRequest::send(&setup, i, i % 4, &prompt, 4)
            };
            let requests: Vec<_> = (0..8).map(send).collect();
            for result in join_all(requests.into_iter().map(|req| req.finish(&setup))).await {
                match result {
                    Ok(_) => served += 1,
                    Err(e) => errors.push(e),
                }
            }
        }
    }
    let not_run = errors.iter().filter(|e| e.is_not_run()).count();
    let unknown = errors.iter().find(|e| !e.is_not_run());
    eprintln!("{served} served, {} failed, {not_run} of them not run; {unknown:?}", errors.len());
    check_not_run(&setup, &errors);
    engines.iter().for_each(|engine| engine.configure(|settings| settings.late_copy = 0.0));
    setup.wait_serving(0, START_LIMIT).await;
    setup.check_targets();
}
