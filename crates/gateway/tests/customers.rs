//! Which requests may run by the key of their caller.

#[path = "support/customers.rs"]
mod support;

use std::time::Duration;

use http::{HeaderMap, HeaderValue};
use rstest::rstest;
use shallotdrum_gateway::{Access, Credentials, KeyRefusalReason, RevocationBound, decide_access};
use shallotdrum_types::{Freshness, Outcome, RequestErrorKind};

use support::{confirmed, credentials, route, routes};

const CUSTOMERS: &[(&str, &str)] = &[("kelp", "k-1"), ("moss", "k-2")];
const STALE: Freshness = Freshness::Stale { age: Duration::from_secs(9) };
const OUTDATED: Freshness = Freshness::Outdated { age: Duration::from_secs(9) };

/// Bound of the deployments, with 4,500 ms left by the margin.
fn bound() -> RevocationBound {
    RevocationBound::new(Duration::from_millis(5_000))
}

/// Name of the customer that a request runs for, or why it does not run and with which status.
fn decide(
    values: &[&str],
    is_public: bool,
    freshness: Freshness,
    age_ms: Option<u64>,
    bound: Option<RevocationBound>,
) -> Result<Option<String>, (KeyRefusalReason, u16, bool)> {
    let confirmation = confirmed(freshness, age_ms.map(Duration::from_millis));
    let (route, routes) = (route(is_public), routes(Some(CUSTOMERS)));
    match decide_access(&credentials(values), &route, &routes, &confirmation, bound) {
        Ok(Access::Checked(customer)) => Ok(customer.map(|customer| customer.name.to_string())),
        Ok(Access::Unchecked) => panic!("the table has customers"),
        Err(refusal) => {
            assert_eq!(refusal.error.outcome, Outcome::NotRun);
            let (kind, retry_after) = (refusal.error.kind, refusal.error.retry_after);
            Err((refusal.reason, kind.status(), retry_after.is_some()))
        }
    }
}

/// Guards against a request with a key that is refused although it may run, or that runs although its key
/// may have been withdrawn.
#[rstest]
#[case::fresh(Freshness::Ready, Some(0), true)]
#[case::draining(Freshness::Draining, Some(100), true)]
#[case::just_below_bound(STALE, Some(4_499), true)]
#[case::at_bound(STALE, Some(4_500), false)]
#[case::outdated_at_bound(OUTDATED, Some(4_500), false)]
#[case::never_confirmed(STALE, None, false)]
fn known_key(#[case] freshness: Freshness, #[case] age_ms: Option<u64>, #[case] runs: bool) {
    let strict = decide(&["Bearer k-2"], false, freshness, age_ms, Some(bound()));
    match runs {
        true => assert_eq!(strict, Ok(Some("moss".to_owned()))),
        false => assert_eq!(strict, Err((KeyRefusalReason::UnconfirmedKey, 503, true))),
    }
    // Without a bound, the age of the confirmation does not matter.
    let served = decide(&["Bearer k-2"], false, freshness, age_ms, None);
    assert_eq!(served, Ok(Some("moss".to_owned())));
}

/// Guards against a final refusal by a table that is not confirmed, and against one without need.
#[rstest]
#[case::ready(Freshness::Ready, 401)]
#[case::draining(Freshness::Draining, 401)]
#[case::stale(STALE, 503)]
#[case::outdated(OUTDATED, 503)]
#[case::catching_up(Freshness::CatchingUp, 503)]
fn no_usable_key(
    #[case] freshness: Freshness,
    #[case] status: u16,
    #[values(None, Some(bound()))] bound: Option<RevocationBound>,
    #[values(Some(0), Some(9_000), None)] age_ms: Option<u64>,
) {
    for (values, reason) in [
        (&[][..], KeyRefusalReason::NoKey),
        (&["Bearer k-3"], KeyRefusalReason::UnknownKey),
        (&["Basic k-1"], KeyRefusalReason::MalformedKey),
        (&["Bearer k-1", "Bearer k-1"], KeyRefusalReason::MalformedKey),
    ] {
        let refused = decide(values, false, freshness, age_ms, bound);
        assert_eq!(refused, Err((reason, status, status == 503)));
    }
}

/// Guards against a public route that depends on keys or on confirmations.
#[rstest]
fn public_route(
    #[values(Freshness::Ready, STALE, OUTDATED)] freshness: Freshness,
    #[values(None, Some(9_000))] age_ms: Option<u64>,
) {
    let served = |values: &[&str]| decide(values, true, freshness, age_ms, Some(bound()));
    assert_eq!(served(&[]), Ok(None));
    assert_eq!(served(&["Bearer k-3"]), Ok(None));
    assert_eq!(served(&["Bearer k-1", "Bearer k-2"]), Ok(None));
    assert_eq!(served(&["Bearer k-1"]), Ok(Some("kelp".to_owned())));
}

/// Guards against keys that are demanded by a table without customers.
#[rstest]
fn table_without_customers(#[values(Freshness::Ready, STALE)] freshness: Freshness) {
    for values in [&[][..], &["Bearer k-1"], &["Basic x"]] {
        let confirmation = confirmed(freshness, None);
        let (credentials, route, routes) = (credentials(values), route(false), routes(None));
        let access = decide_access(&credentials, &route, &routes, &confirmation, Some(bound()));
        assert_eq!(access, Ok(Access::Unchecked));
    }
}

/// Guards against an empty list of customers that lets everybody in.
#[test]
fn empty_list_of_customers() {
    let confirmation = confirmed(Freshness::Ready, Some(Duration::ZERO));
    let refused = decide_access(
        &credentials(&["Bearer k"]),
        &route(false),
        &routes(Some(&[])),
        &confirmation,
        None,
    );
    assert_eq!(refused.unwrap_err().error.kind, RequestErrorKind::Unauthorized);
}

fn values<const N: usize>(values: [impl AsRef<[u8]>; N]) -> Vec<Vec<u8>> {
    values.map(|value| value.as_ref().to_vec()).into()
}

/// Guards against a header that is taken for a key, and against a usual form that is not.
#[rstest]
#[case::usual(values(["Bearer k-1"]), true)]
#[case::scheme_in_lower_case(values(["bearer k-1"]), true)]
#[case::several_spaces(values(["Bearer   k-1"]), true)]
#[case::longest(values([format!("Bearer {:k>1017}", "")]), true)]
#[case::oversized(values([format!("Bearer {:k>1018}", "")]), false)]
#[case::empty(values([""]), false)]
#[case::only_scheme(values(["Bearer"]), false)]
#[case::empty_key(values(["Bearer  "]), false)]
#[case::no_space(values(["Bearerk-1"]), false)]
#[case::tab(values(["Bearer\tk-1"]), false)]
#[case::other_scheme(values(["Basic k-1"]), false)]
#[case::no_scheme(values(["k-1"]), false)]
#[case::two_keys(values(["Bearer k-1 k-2"]), false)]
#[case::two_fields(values(["Bearer k-1", "Bearer k-1"]), false)]
#[case::second_field_empty(values(["Bearer k-1", ""]), false)]
#[case::no_text(values([b"Bearer k\xff1"]), false)]
#[case::utf_8(values(["Bearer k\u{e9}1"]), false)]
fn header_value(#[case] values: Vec<Vec<u8>>, #[case] is_key: bool) {
    let key = values[0].get(7..).unwrap_or_default();
    let key = String::from_utf8_lossy(key.trim_ascii()).into_owned();
    let routes = routes(Some(&[("kelp", &key)]));
    let confirmation = confirmed(Freshness::Ready, Some(Duration::ZERO));
    let decision =
        decide_access(&credentials(&values), &route(false), &routes, &confirmation, Some(bound()));
    assert_eq!(decision.is_ok(), is_key, "{decision:?}");
}

/// Guards against a key in a dump of a request.
#[test]
fn debug_hides_key() {
    let value = HeaderValue::from_static("Bearer secret-1");
    let forwarded = HeaderMap::from_iter([(http::header::AUTHORIZATION, value.clone())]);
    let text = format!("{:?}", Credentials::new([&value], forwarded));
    assert!(!text.contains("secret"), "{text}");
    let hash = shallotdrum_types::KeyHash::of(b"secret-1").to_string();
    assert!(!text.contains(&hash), "{text}");
}
