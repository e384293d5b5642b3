//! Identities of an opaque request, by which a repeat with a new id is recognised.

use std::net::IpAddr;

use shallotdrum_types::{Fingerprint, RequestIdentity};

use crate::CallerRequest;

/// Hashes what a crash at a target depends on: method, host, path, model and body, with the caller
/// and without.
///
/// The query is left out, as repeats may differ in it, and so are the other headers. They are new
/// with each repeat (id, deadline, resume position) or describe the body.
pub fn request_identity(req: &CallerRequest) -> RequestIdentity {
    let generation = req.generation.as_ref();
    let body = Fingerprint::of(&req.body);
    let hash = |caller: Option<IpAddr>| {
        let model = generation.map(|g| (&g.base, &g.adapter));
        let identity = (req.method.as_str(), &req.host, req.target.path(), model, body, caller);
        // Strings and hashes always serialize.
        Fingerprint::of(&serde_json::to_vec(&identity).unwrap_or_default())
    };
    let any_caller = hash(None);
    match req.caller {
        Some(caller) => {
            RequestIdentity { request: hash(Some(caller)), any_caller: Some(any_caller) }
        }
        None => any_caller.into(),
    }
}
