//! The current manifest and recently accepted submissions.
//!
//! Architecture Invariant: the revision increases by one with each accepted submission and never
//! decreases. Only accepted submissions are stored; a refused one changes nothing and may be
//! resubmitted under the same id.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use shallotdrum_manifest::{Manifest, ManifestDelta, ManifestErrors, Subscriber};
use shallotdrum_types::{Digest, KeyHash, Revision, SubmissionId, SubscriberId};

use crate::CommandError;

/// Maximum number of stored submissions: almost four days at 1,100 changes a day.
pub const MAX_SUBMISSIONS: usize = 4_096;

/// Accepted submission, stored so that a resent one gets the same reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Digest of the submitted manifest.
    pub digest: Digest,
    /// Revision that the submission created.
    pub revision: Revision,
}

/// Result of applying a delta to the current manifest. It is computed without the write lock
/// because this takes tens of milliseconds at the design size.
pub(crate) struct PreparedManifest {
    base: Revision,
    manifest: Arc<Manifest>,
    digest: Digest,
    check: Result<(), ManifestErrors>,
    keys: HashMap<KeyHash, SubscriberId>,
}

/// The current manifest and recently accepted submissions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Manifests {
    current: Option<Arc<Manifest>>,
    revision: Revision,
    digest: Option<Digest>,
    submissions: BTreeMap<SubmissionId, Submission>,
    /// Ids of `submissions`, oldest first.
    order: VecDeque<SubmissionId>,
    /// Subscribers by API key hash; derived from `current`.
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

    /// Rebuilds the key index after deserialization.
    pub(crate) fn rebuild_key_index(&mut self) {
        self.keys = self.current.as_deref().map(index_keys).unwrap_or_default();
    }

    /// Computes the delta from the current manifest to a newer one.
    pub(crate) fn diff(&self, newer: &Manifest) -> ManifestDelta {
        match &self.current {
            Some(current) => current.diff(newer),
            None => Manifest::empty().diff(newer),
        }
    }

    /// Applies a delta to a copy of the current manifest.
    pub(crate) fn prepare(&self, delta: &ManifestDelta) -> PreparedManifest {
        let manifest = match &self.current {
            Some(current) => current.apply(delta),
            None => Manifest::empty().apply(delta),
        };
        PreparedManifest {
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
        prepared: Option<PreparedManifest>,
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
