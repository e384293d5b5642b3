//! Parsing and formatting of names and compound names.

use rstest::rstest;
use shallotdrum_types::{GroupId, ModelName, SubscriberId};

/// Guards against names that would need escaping in a URL path, header or metric label.
#[rstest]
#[case("", false)]
#[case("court-suva.1_x", true)]
#[case("a/b", false)]
#[case("a b", false)]
#[case("a\"b", false)]
fn name_parse(#[case] text: &str, #[case] is_valid: bool) {
    assert_eq!(text.parse::<SubscriberId>().is_ok(), is_valid);
}

/// Guards against an off-by-one or a partial count in the length check.
#[test]
fn name_too_long() {
    assert!("a".repeat(128).parse::<SubscriberId>().is_ok());
    assert!("a".repeat(129).parse::<SubscriberId>().is_err());
}

/// Guards against a version that is dropped or parsed as part of the adapter name.
#[rstest]
#[case("base/adapter", None)]
#[case("base/adapter@3", Some("3"))]
fn model_name_round_trip(#[case] text: &str, #[case] version: Option<&str>) {
    let name: ModelName = text.parse().unwrap();
    assert_eq!(name.version.as_ref().map(|v| v.as_str()), version);
    assert_eq!(name.to_string(), text);
}

/// Guards against a group identifier that parses into a different group.
#[test]
fn group_id_round_trip() {
    let id: GroupId = "casereader/fj-central/0".parse().unwrap();
    assert_eq!(id.to_string(), "casereader/fj-central/0");
    assert!("casereader/fj-central".parse::<GroupId>().is_err());
}
