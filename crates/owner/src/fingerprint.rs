//! Fingerprint of a model request, used to recognise duplicates of requests that crash targets.

use shallotdrum_engine::CompletionRequest;
use shallotdrum_types::{Fingerprint, SubscriberId};

/// Hashes everything that determines the response to a model request: subscriber, resolved model,
/// prompt and sampling parameters, but not its id, deadline, priority or resume offset.
///
/// Architecture Invariant: the entry, which rejects quarantined requests, and the owner, which
/// reports crashes, compute the same value for a request.
pub fn completion_fingerprint(subscriber: &SubscriberId, req: &CompletionRequest) -> Fingerprint {
    let identity = (
        subscriber,
        &req.base_model,
        &req.adapter,
        &req.prompt,
        req.max_tokens,
        req.temperature,
        &req.stop,
        req.seed,
    );
    // Strings, numbers and lists always serialize.
    Fingerprint::of(&serde_json::to_vec(&identity).unwrap_or_default())
}
