//! Manifest submissions: concurrent, resent and refused ones.

mod common;

use std::sync::Arc;

use common::{Log, registry, registry_with};
use shallotdrum_control::{Command, CommandError, MAX_SUBMISSIONS, Reply};
use shallotdrum_manifest::Manifest;
use shallotdrum_types::{Digest, KeyHash, Revision};

fn accepted(revision: u64) -> Reply {
    Reply::ManifestAccepted(Revision(revision))
}

/// Guards against accepting more than one of several concurrent submissions with the same base
/// revision.
#[test]
fn submit_race() {
    let mut log = Log::default();
    assert_eq!(log.submit("first", 0, &registry()), accepted(1));
    let contenders: Vec<_> = (1..=5).map(registry_with).collect();
    let commands: Vec<Command> = contenders
        .iter()
        .enumerate()
        .map(|(i, manifest)| {
            log.state.submit_command(format!("c{i}").parse().unwrap(), Revision(1), manifest)
        })
        .collect();
    let replies: Vec<Reply> = commands.into_iter().map(|c| log.apply(c)).collect();
    assert_eq!(replies[0], accepted(2));
    let conflict = CommandError::ManifestConflict { base: Revision(1), current: Revision(2) };
    assert!(replies[1..].iter().all(|reply| *reply == Reply::Refused(conflict.clone())));
    assert_eq!(log.state.digest(), Some(contenders[0].digest()));
}

/// Guards against a resent submission that is refused, is applied twice, or reverts later changes.
#[test]
fn submit_resend() {
    let mut log = Log::default();
    assert_eq!(log.submit("a", 0, &registry()), accepted(1));
    assert_eq!(log.submit("b", 1, &registry_with(5)), accepted(2));
    assert_eq!(log.submit("a", 0, &registry()), accepted(1));
    assert_eq!(log.state.revision(), Revision(2));
    assert_eq!(log.state.manifest().unwrap().weight_store.max_loads_in_flight, 5);
    let reused = CommandError::SubmissionReused { submission: "a".parse().unwrap() };
    assert_eq!(log.submit("a", 2, &registry_with(6)), Reply::Refused(reused));
}

/// Guards against a submission id that cannot be used again after a refusal.
#[test]
fn submit_again_after_conflict() {
    let mut log = Log::default();
    assert_eq!(log.submit("a", 0, &registry()), accepted(1));
    assert!(matches!(log.submit("b", 0, &registry_with(5)), Reply::Refused(_)));
    assert_eq!(log.submit("b", 1, &registry_with(5)), accepted(2));
}

/// Guards against a delta whose result differs from the submitted manifest.
#[test]
fn submit_wrong_digest() {
    let mut log = Log::default();
    let mut command = log.state.submit_command("a".parse().unwrap(), Revision(0), &registry());
    if let Command::SubmitManifest { digest, .. } = &mut command {
        *digest = Digest::of(b"other");
    }
    assert!(matches!(log.refused(command), CommandError::DigestMismatch { .. }));
    assert_eq!((log.state.revision(), log.state.manifest()), (Revision(0), None));
}

/// Guards against an invalid manifest that reaches the log without passing `Manifest::parse`.
#[test]
fn submit_invalid() {
    let mut log = Log::default();
    assert_eq!(log.submit("a", 0, &registry()), accepted(1));
    let mut invalid = registry();
    invalid.base_models.clear();
    let Reply::Refused(CommandError::ManifestInvalid(errors)) = log.submit("b", 1, &invalid) else {
        panic!("the invalid manifest was accepted");
    };
    assert!(errors.errors[0].path.ends_with(".base_model"), "{errors}");
    assert_eq!(log.state.digest(), Some(registry().digest()));
}

/// Guards against a revision that decreases or is reused, and against an unlimited number of stored
/// submissions.
#[test]
fn submit_many() {
    let mut log = Log::default();
    let manifests = [1, 2].map(|max_loads_in_flight| {
        let mut manifest = Manifest::empty();
        manifest.weight_store.max_loads_in_flight = max_loads_in_flight;
        manifest
    });
    let count = MAX_SUBMISSIONS as u64 + 10;
    for i in 0..count {
        assert_eq!(log.submit(&format!("s{i}"), i, &manifests[i as usize % 2]), accepted(i + 1));
    }
    assert!(log.state.submission(&"s9".parse().unwrap()).is_none());
    assert!(log.state.submission(&"s10".parse().unwrap()).is_some());
    // A submission that is no longer stored is refused for its base revision, not applied again.
    assert!(matches!(log.submit("s0", 0, &manifests[0]), Reply::Refused(_)));
    assert_eq!(log.state.revision(), Revision(count));
}

/// Guards against API keys that stay valid after their removal, or that are not found.
#[test]
fn subscriber_of_key_change() {
    let mut log = Log::default();
    let key = KeyHash::of(b"registry-court-suva-key");
    assert_eq!(log.state.subscriber_of_key(&key), None);
    log.submit("a", 0, &registry());
    assert_eq!(log.state.subscriber_of_key(&key).unwrap().as_str(), "court-suva");
    let mut manifest = registry();
    let subscriber = manifest.subscribers.get_mut("court-suva").unwrap();
    Arc::make_mut(subscriber).key_hashes.remove(&key);
    assert_eq!(log.submit("b", 1, &manifest), accepted(2));
    assert_eq!(log.state.subscriber_of_key(&key), None);
}
