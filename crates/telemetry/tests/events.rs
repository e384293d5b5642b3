//! Catalogue and page of events.

use std::{collections::BTreeSet, path::Path};

use shallotdrum_telemetry::events::{self, CATALOGUE, Event};

fn all() -> impl Iterator<Item = (&'static str, &'static Event)> {
    CATALOGUE.iter().flat_map(|area| area.events.iter().map(|event| (area.prefix, event)))
}

/// Guards against a page that lacks an event, lists a removed one or states other facts.
#[test]
fn page_equals_catalogue() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/events.md");
    if std::env::var_os("UPDATE_EVENTS").is_some() {
        std::fs::write(&path, events::page()).unwrap();
    }
    let page = std::fs::read_to_string(&path).unwrap();
    let listed: BTreeSet<&str> =
        page.lines().filter_map(|line| line.strip_prefix("| ")?.split(' ').next()).collect();
    for (_, event) in all() {
        assert!(listed.contains(event.code), "docs/events.md lacks {}", event.code);
    }
    for code in listed.into_iter().filter(|code| *code != "Code") {
        assert!(all().any(|(_, event)| event.code == code), "no event {code} in the catalogue");
    }
    assert_eq!(page, events::page(), "run with UPDATE_EVENTS=1 to rewrite docs/events.md");
}

/// Guards against two events that share a code, and codes outside their area.
#[test]
fn codes_are_unique_and_in_their_area() {
    let mut seen = BTreeSet::new();
    for (prefix, event) in all() {
        assert!(seen.insert(event.code), "code {} is used twice", event.code);
        assert!(event.code.starts_with(prefix) && event.code.len() == 5, "{}", event.code);
    }
}
