//! Identities of an opaque request, by which a repeat with a new id is recognised.

use std::{net::IpAddr, sync::Arc};

use shallotdrum_types::{Fingerprint, RequestIdentity};

use crate::{CallerRequest, Generation, PromptPart};

/// Maximum number of parts of a prompt that a crash is blamed on; prompts have a few. A header of
/// usual size can name some hundred.
const MAX_PARTS: usize = 16;

/// Hashes what a crash at a target depends on: method, host, path, model and body, with the caller
/// and without, each also without the model.
///
/// The query is left out, as repeats may differ in it, and so are the other headers. They are new
/// with each repeat (id, deadline, resume position) or describe the body. The parts of the prompt are
/// kept apart, as requests of which no two are alike may share the one that crashes their targets.
pub fn request_identity(req: &CallerRequest) -> RequestIdentity {
    let generation = req.generation.as_ref();
    let body = Fingerprint::of(&req.body);
    let model = generation.map(|g| (&g.base, &g.adapter));
    let hash = |caller: Option<IpAddr>, model: Option<_>| {
        let identity = (req.method.as_str(), &req.host, req.target.path(), model, body, caller);
        // Strings and hashes always serialize.
        Fingerprint::of(&serde_json::to_vec(&identity).unwrap_or_default())
    };
    let any_caller = hash(None, model);
    let parts = generation.map(shared_parts).unwrap_or_default();
    match req.caller {
        Some(caller) => {
            let request = hash(Some(caller), model);
            let any_adapter = model.map(|_| hash(Some(caller), None));
            let content = model.map(|_| hash(None, None));
            RequestIdentity { request, any_caller: Some(any_caller), any_adapter, content, parts }
        }
        None => RequestIdentity { parts, ..any_caller.into() },
    }
}

/// Hashes the parts of a prompt without the last one, which belongs to the request itself.
fn shared_parts(generation: &Generation) -> Arc<[Fingerprint]> {
    let Some((_, shared)) = generation.prompt.split_last() else { return Arc::default() };
    let hash = |part: &PromptPart| Fingerprint::of(format!("prompt part {:x}", part.id).as_bytes());
    shared.iter().take(MAX_PARTS).map(hash).collect()
}
