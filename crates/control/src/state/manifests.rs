//! The manifest in force and the submissions that led to it.
//!
//! Architecture Invariant: the revision rises by one with each accepted submission and never
//! falls. Only accepted submissions are remembered; a refused one changed nothing and may be sent
//! again under the same id.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use shallotdrum_manifest::{Manifest, ManifestDelta, ManifestErrors, Subscriber};
use shallotdrum_types::{Digest, KeyHash, Revision, SubmissionId, SubscriberId};

use crate::CommandError;

/// Submissions that are remembered: almost four days at 1,100 changes a day.
pub const MAX_SUBMISSIONS: usize = 4_096;

/// Accepted submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Digest of the submitted manifest.
    pub digest: Digest,
    /// Revision that it was accepted as.
    pub revision: Revision,
}

/// Result of applying a delta to the manifest of a revision; computed without a write lock, as it
/// takes tens of milliseconds at the design size.
pub(crate) struct Prepared {
    base: Revision,
    manifest: Arc<Manifest>,
    digest: Digest,
    check: Result<(), ManifestErrors>,
    keys: HashMap<KeyHash, SubscriberId>,
}

/// The manifest in force and the submissions that led to it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Manifests {
    current: Option<Arc<Manifest>>,
    revision: Revision,
    digest: Option<Digest>,
    submissions: BTreeMap<SubmissionId, Submission>,
    /// Ids of `submissions`, oldest first.
    order: VecDeque<SubmissionId>,
    /// Subscribers by key; derived from `current`.
    #[serde(skip)]
    keys: HashMap<KeyHash, SubscriberId>,
}

impl Manifests {
    pub(crate) fn current(&self) -> Option<&Arc<Manifest>> {
        self.current.as_ref()
    }

    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    pub(crate) fn digest(&self) -> Option<Digest> {
        self.digest
    }

    pub(crate) fn submission(&self, id: &SubmissionId) -> Option<&Submission> {
        self.submissions.get(id)
    }

    pub(crate) fn submissions(&self) -> impl Iterator<Item = (&SubmissionId, &Submission)> {
        self.submissions.iter()
    }

    pub(crate) fn subscriber_of_key(&self, key: &KeyHash) -> Option<&SubscriberId> {
        self.keys.get(key)
    }

    /// Restores what is derived, after deserializing.
    pub(crate) fn rebuild(&mut self) {
        self.keys = self.current.as_deref().map(index_keys).unwrap_or_default();
    }

    /// Difference from the manifest in force.
    pub(crate) fn diff(&self, newer: &Manifest) -> ManifestDelta {
        match &self.current {
            Some(current) => current.diff(newer),
            None => Manifest::empty().diff(newer),
        }
    }

    /// Applies a delta to the manifest in force, without putting the result in force.
    pub(crate) fn prepare(&self, delta: &ManifestDelta) -> Prepared {
        let manifest = match &self.current {
            Some(current) => current.apply(delta),
            None => Manifest::empty().apply(delta),
        };
        Prepared {
            base: self.revision,
            digest: manifest.digest(),
            check: manifest.check(),
            keys: index_keys(&manifest),
            manifest: Arc::new(manifest),
        }
    }

    pub(crate) fn submit(
        &mut self,
        id: SubmissionId,
        base: Revision,
        delta: &ManifestDelta,
        digest: Digest,
        prepared: Option<Prepared>,
    ) -> Result<Revision, CommandError> {
        match self.submissions.get(&id) {
            Some(earlier) if earlier.digest == digest => return Ok(earlier.revision),
            Some(_) => return Err(CommandError::SubmissionReused { submission: id }),
            None => {}
        }
        if base != self.revision {
            return Err(CommandError::ManifestConflict { base, current: self.revision });
        }
        let prepared = prepared.filter(|p| p.base == base).unwrap_or_else(|| self.prepare(delta));
        if prepared.digest != digest {
            let actual = prepared.digest;
            return Err(CommandError::DigestMismatch { expected: digest, actual });
        }
        prepared.check.map_err(CommandError::ManifestInvalid)?;

        self.current = Some(prepared.manifest);
        self.digest = Some(digest);
        self.revision = self.revision.next();
        self.keys = prepared.keys;
        if self.order.len() >= MAX_SUBMISSIONS
            && let Some(oldest) = self.order.pop_front()
        {
            self.submissions.remove(&oldest);
        }
        self.order.push_back(id.clone());
        self.submissions.insert(id, Submission { digest, revision: self.revision });
        Ok(self.revision)
    }
}

fn index_keys(manifest: &Manifest) -> HashMap<KeyHash, SubscriberId> {
    let keys_of = |(id, subscriber): (&SubscriberId, &Arc<Subscriber>)| {
        let id = id.clone();
        subscriber.key_hashes.iter().map(move |hash| (*hash, id.clone())).collect::<Vec<_>>()
    };
    manifest.subscribers.iter().flat_map(keys_of).collect()
}
