//! Fingerprint of a model request, used to recognise duplicates of requests that crash targets.

use shallotdrum_engine::CompletionRequest;
use shallotdrum_types::{Fingerprint, RequestIdentity, SubscriberId};

/// Begin of each message in the prompt that a chat is rendered to.
const MESSAGE_START: &str = "<|";

/// Maximum number of messages of a prompt that a crash is blamed on, the latest ones.
const MAX_PARTS: usize = 16;

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

/// Identity of a model request. The parts of its prompt are the messages of the chat without the
/// last one; a prompt that is no chat has none.
pub fn completion_identity(subscriber: &SubscriberId, req: &CompletionRequest) -> RequestIdentity {
    let starts = req.prompt.match_indices(MESSAGE_START).map(|(start, _)| start);
    let starts: Vec<_> = starts.filter(|start| is_line_start(&req.prompt, *start)).collect();
    let messages: Vec<_> =
        starts.windows(2).map(|window| &req.prompt.as_bytes()[window[0]..window[1]]).collect();
    // The prompt ends with the start of the reply, so that the last message is complete.
    let shared = messages.split_last().map_or(&[][..], |(_, shared)| shared);
    let latest = &shared[shared.len().saturating_sub(MAX_PARTS)..];
    let parts = latest.iter().map(|message| Fingerprint::of(message)).collect();
    RequestIdentity { parts, ..completion_fingerprint(subscriber, req).into() }
}

fn is_line_start(text: &str, index: usize) -> bool {
    index == 0 || text.as_bytes()[index - 1] == b'\n'
}
