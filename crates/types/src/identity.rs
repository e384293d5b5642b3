//! Identities by which the repeats of a request are recognised.

use serde::{Deserialize, Serialize};

use crate::Fingerprint;

/// Identities of a request, from the more to the less specific one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestIdentity {
    /// Equal for repeats by the same caller.
    pub request: Fingerprint,
    /// Equal for repeats by any caller; absent where `request` names the subscriber and callers
    /// are not told apart further.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub any_caller: Option<Fingerprint>,
}

impl RequestIdentity {
    /// All identities of the request.
    pub fn all(self) -> impl Iterator<Item = Fingerprint> {
        std::iter::once(self.request).chain(self.any_caller)
    }
}

impl From<Fingerprint> for RequestIdentity {
    fn from(request: Fingerprint) -> Self {
        Self { request, any_caller: None }
    }
}
