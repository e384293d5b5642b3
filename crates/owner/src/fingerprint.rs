//! Fingerprint of a model request, by which crashing requests are recognised.

use shallotdrum_engine::CompletionRequest;
use shallotdrum_types::{Fingerprint, SubscriberId};

/// Hashes what makes a request the same when it is sent again: subscriber, resolved model,
/// sampling parameters and prompt, but not its id, deadline, priority or resume point.
pub fn completion_fingerprint(subscriber: &SubscriberId, req: &CompletionRequest) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    // Each part is preceded by its length, so that different parts can't join to equal bytes.
    let mut part = |bytes: &[u8]| {
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(bytes);
    };
    part(subscriber.as_str().as_bytes());
    part(req.base_model.as_str().as_bytes());
    part(req.adapter.adapter.as_str().as_bytes());
    part(req.adapter.version.as_str().as_bytes());
    part(&req.max_tokens.to_le_bytes());
    // Adding zero turns -0.0 into 0.0, which samples in the same way.
    part(&(req.temperature + 0.0).to_bits().to_le_bytes());
    part(&(req.stop.len() as u64).to_le_bytes());
    for stop in &req.stop {
        part(stop.as_bytes());
    }
    part(&req.seed.map_or(Vec::new(), |seed| seed.to_le_bytes().to_vec()));
    part(req.prompt.as_bytes());
    Fingerprint::from_bytes(*hasher.finalize().as_bytes())
}
