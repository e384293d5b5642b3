//! Decisions by the freshness of the control state.

use std::time::Duration;

use rstest::rstest;
use shallotdrum_types::{Freshness, Outcome, RequestErrorKind};

const AGE: Duration = Duration::from_secs(6);

/// Guards against refusing for good by a state that is not confirmed, and against serving by one that
/// is known to be outdated.
#[rstest]
#[case::ready(Freshness::Ready, true, true, true)]
#[case::draining(Freshness::Draining, true, true, true)]
#[case::stale(Freshness::Stale { age: AGE }, false, true, false)]
#[case::outdated(Freshness::Outdated { age: AGE }, false, false, false)]
#[case::no_manifest(Freshness::NoManifest, false, false, false)]
#[case::catching_up(Freshness::CatchingUp, false, false, false)]
fn check_by_freshness(
    #[case] freshness: Freshness,
    #[case] serves: bool,
    #[case] serves_when_stale: bool,
    #[case] confirms_absence: bool,
) {
    let checks = [
        (freshness.check_serving(false), serves),
        (freshness.check_serving(true), serves_when_stale),
        (freshness.check_absence(), confirms_absence),
    ];
    for (result, expected) in checks {
        assert_eq!(result.is_ok(), expected);
        if let Err(error) = result {
            assert_eq!((error.kind, error.outcome), (RequestErrorKind::NotReady, Outcome::NotRun));
            assert!(error.retry_after.is_some());
        }
    }
}
