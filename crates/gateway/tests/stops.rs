//! Bounds on requests of an instance that stops.

use std::time::Duration;

use rstest::rstest;
use shallotdrum_allotments::ServedKind;
use shallotdrum_gateway::{RequestEnd, RequestsInProgress, RunTimes, Stage, StopTimes};
use tokio::time::Instant;

fn kind(max_tokens: u64) -> ServedKind {
    ServedKind::new("desk".parse().unwrap(), Some(max_tokens))
}

/// Guards against requests that are sent although the process ends before their run does.
#[rstest]
#[case::run_fits(15_000, Some(2_000), Some(5_300))]
#[case::unknown_run(15_000, None, Some(3_650))]
#[case::run_longer_than_stop(15_000, Some(9_000), Some(0))]
#[case::deadline_before_end(7_000, Some(2_000), None)]
#[case::deadline_at_end(7_300, Some(2_000), None)]
fn last_send(
    #[case] deadline_ms: u64,
    #[case] run_ms: Option<u64>,
    #[case] expected_ms: Option<u64>,
) {
    let begins_at = Instant::now();
    let after = |ms| begins_at + Duration::from_millis(ms);
    let stop = StopTimes { begins_at, ends_at: after(7_300) };
    let last = stop.last_send(after(deadline_ms), run_ms.map(Duration::from_millis));
    assert_eq!(last, expected_ms.map(after));
}

/// Guards against an expected time that most runs of a kind exceed, or that is far above them.
#[test]
fn expected_run_time_follows_runs() {
    let (mut times, start) = (RunTimes::default(), Instant::now().into_std());
    assert_eq!(times.expected(&kind(100), start), None);
    for n in 0..40 {
        times.record(&kind(100), Duration::from_millis(1_800 + 100 * (n % 5)), start);
    }
    let expected = times.expected(&kind(100), start).unwrap();
    assert!(expected > Duration::from_millis(2_200), "{expected:?}");
    assert!(expected < Duration::from_millis(2_600), "{expected:?}");
    assert_eq!(times.expected(&kind(1_000), start), None, "a longer kind");
    times.expire(start + Duration::from_secs(300));
    assert_eq!(times.expected(&kind(100), start), None, "outdated");
}

/// Guards against requests that a stop ends and does not count.
#[test]
fn counts_of_stop_are_complete() {
    let requests = RequestsInProgress::default();
    let now = Instant::now();
    let enter = |id: &str| requests.enter(id.parse().unwrap(), now, now + Duration::from_secs(15));
    enter("r-before").record_end(RequestEnd::Answered);
    let guards = ["r-1", "r-2", "r-3", "r-4", "r-5"].map(enter);
    requests.begin_stop();
    guards[4].wait_for(Stage::Place);
    let [answered, refused, failed, broken, waiting] = guards;
    answered.record_end(RequestEnd::Answered);
    refused.record_end(RequestEnd::Refused);
    failed.record_end(RequestEnd::Failed);
    drop((answered, refused, failed, broken));
    let counts = requests.since_stop().unwrap();
    assert_eq!((counts.in_progress, counts.answered, counts.refused), (5, 1, 1));
    assert_eq!((counts.failed, counts.broken), (1, 1));
    let [left] = requests.list().try_into().unwrap();
    assert_eq!((left.id.as_str(), left.stage, left.was_sent), ("r-5", Stage::Place, false));
    drop(waiting);
    assert!(requests.list().is_empty());
}
