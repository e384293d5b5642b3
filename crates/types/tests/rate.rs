//! Rates of requests.

use rstest::rstest;
use shallotdrum_types::RequestRate;

#[rstest]
#[case::integer("3", 3.0)]
#[case::fraction("0.25", 0.25)]
#[case::zero("0", 0.0)]
#[case::unit("1.5/s", 1.5)]
fn rate_parsed(#[case] text: &str, #[case] expected: f64) {
    let rate: RequestRate = text.parse().unwrap();
    assert!((rate.get() - expected).abs() < f64::EPSILON);
    assert_eq!(rate.to_string().parse::<RequestRate>().unwrap(), rate);
}

#[rstest]
fn rate_refused(
    #[values("", "-1", "+1", "inf", "nan", "1e3", "0,5", "1 2", ".", "1.2.3", "one")] text: &str,
) {
    let error = text.parse::<RequestRate>().unwrap_err().to_string();
    assert!(error.contains("decimal number"), "{error}");
}

#[rstest]
fn rate_new_refused(#[values(-0.1, f64::INFINITY, f64::NAN)] value: f64) {
    assert!(RequestRate::new(value).is_err());
}
