//! Fingerprint of a model request, by which crashing requests are recognised.

use shallotdrum_engine::CompletionRequest;
use shallotdrum_types::{Fingerprint, SubscriberId};

/// Identifies a model request by all that determines its answer: subscriber, resolved model,
/// prompt and sampling parameters, but not its id, deadline, priority or resume point.
///
/// Architecture Invariant: owners compute the same value when they report crashes.
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
