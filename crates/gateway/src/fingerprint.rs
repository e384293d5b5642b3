//! Fingerprint of an opaque request, by which a repeat with a new id is recognised.

use shallotdrum_types::Fingerprint;

use crate::CallerRequest;

/// Hashes what determines the effect of a request at a target: method, destination, model and
/// body.
///
/// Other headers are left out. They are new with each repeat (id, deadline, resume position) or
/// describe the body.
pub fn request_fingerprint(req: &CallerRequest) -> Fingerprint {
    let generation = req.generation.as_ref();
    let identity = (
        req.method.as_str(),
        &req.host,
        req.target.as_str(),
        generation.map(|g| (&g.base, &g.adapter)),
        Fingerprint::of(&req.body),
    );
    // Strings and hashes always serialize.
    Fingerprint::of(&serde_json::to_vec(&identity).unwrap_or_default())
}
