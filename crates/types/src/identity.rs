//! Identities by which the repeats of a request are recognised.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Fingerprint;

/// Identities of a request, from the more to the less specific one, and the parts of its prompt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestIdentity {
    /// Equal for repeats by the same caller.
    pub request: Fingerprint,
    /// Equal for repeats by any caller; absent where `request` names the subscriber and callers
    /// are not told apart further.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub any_caller: Option<Fingerprint>,
    /// Equal for repeats by the same caller that name another model or adapter; absent where they name
    /// none, and where `request` does not tell callers apart.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub any_adapter: Option<Fingerprint>,
    /// Equal for repeats by any caller that name another model or adapter; absent where `any_adapter` is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Fingerprint>,
    /// Parts of the prompt that other requests may share, in order.
    #[serde(default = "no_parts", skip_serializing_if = "<[_]>::is_empty")]
    pub parts: Arc<[Fingerprint]>,
}

fn no_parts() -> Arc<[Fingerprint]> {
    Arc::default()
}

impl RequestIdentity {
    /// Identities of the request as a whole.
    pub fn whole(&self) -> impl Iterator<Item = Fingerprint> + use<> {
        std::iter::once(self.request).chain(self.groups())
    }

    /// Identities that the request shares with those of other callers, or for other adapters.
    pub fn groups(&self) -> impl Iterator<Item = Fingerprint> + use<> {
        self.any_caller.into_iter().chain(self.any_adapter).chain(self.content)
    }

    /// Pairs of an identity and a less specific one that includes it.
    pub fn inclusions(&self) -> impl Iterator<Item = (Fingerprint, Fingerprint)> + use<> {
        let Self { request, any_caller, any_adapter, content, .. } = *self;
        let of_request =
            any_caller.into_iter().chain(any_adapter).map(move |group| (request, group));
        let groups = any_caller.into_iter().chain(any_adapter);
        of_request.chain(groups.filter_map(move |group| Some((group, content?))))
    }

    /// The same request without one of the identities that it shares, or without a part of its prompt.
    pub fn without(&self, removed: &Fingerprint) -> Self {
        let any_caller = self.any_caller.filter(|other| other != removed);
        let any_adapter = self.any_adapter.filter(|other| other != removed);
        let content = self.content.filter(|other| other != removed);
        let parts = self.parts.iter().filter(|other| *other != removed).copied().collect();
        Self { request: self.request, any_caller, any_adapter, content, parts }
    }
}

impl From<Fingerprint> for RequestIdentity {
    fn from(request: Fingerprint) -> Self {
        Self { request, any_caller: None, any_adapter: None, content: None, parts: no_parts() }
    }
}
