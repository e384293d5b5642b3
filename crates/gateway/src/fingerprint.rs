//! Fingerprint of an opaque request, by which a repeat with a new id is recognised.

use shallotdrum_types::Fingerprint;

use crate::CallerRequest;

/// Hashes everything that determines the effect of a request at a target: method, destination,
/// model, prompt and body, but not its id, deadline or resume position.
pub fn request_fingerprint(req: &CallerRequest) -> Fingerprint {
    let generation = req.generation.as_ref();
    let prompt: Vec<_> = generation
        .into_iter()
        .flat_map(|g| g.prompt.iter().map(|part| (part.id, part.tokens)))
        .collect();
    let identity = (
        req.method.as_str(),
        &req.host,
        req.target.as_str(),
        generation.map(|g| (&g.base, &g.adapter)),
        prompt,
        Fingerprint::of(&req.body),
    );
    // Strings, numbers and hashes always serialize.
    Fingerprint::of(&serde_json::to_vec(&identity).unwrap_or_default())
}
