//! The event catalogue and its generated page.

use std::{collections::BTreeSet, path::Path};

use shallotdrum_telemetry::events::{self, CATALOGUE, Event};

fn all_events() -> impl Iterator<Item = (&'static str, &'static Event)> {
    CATALOGUE.iter().flat_map(|area| area.events.iter().map(|event| (area.prefix, event)))
}

/// Guards against an outdated `docs/events.md`: missing, removed or changed events.
#[test]
fn page_equals_catalogue() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/events.md");
    if std::env::var_os("UPDATE_EVENTS").is_some() {
        std::fs::write(&path, events::page()).unwrap();
    }
    let page = std::fs::read_to_string(&path).unwrap();
    let listed: BTreeSet<&str> =
        page.lines().filter_map(|line| line.strip_prefix("| ")?.split(' ').next()).collect();
    for (_, event) in all_events() {
        assert!(listed.contains(event.code), "docs/events.md lacks {}", event.code);
    }
    for code in listed.into_iter().filter(|code| *code != "Code") {
        assert!(
            all_events().any(|(_, event)| event.code == code),
            "no event {code} in the catalogue"
        );
    }
    assert_eq!(page, events::page(), "run with UPDATE_EVENTS=1 to rewrite docs/events.md");
}

/// Guards against two events with the same code, and codes without the prefix of their area.
#[test]
fn codes_are_unique_and_in_their_area() {
    let mut seen = BTreeSet::new();
    for (prefix, event) in all_events() {
        assert!(seen.insert(event.code), "code {} is used twice", event.code);
        assert!(event.code.starts_with(prefix) && event.code.len() == 5, "{}", event.code);
    }
}
