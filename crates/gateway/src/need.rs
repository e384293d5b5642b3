//! What a request needs at a target, and whom it is charged to.

use shallotdrum_engine::Requirements;
use shallotdrum_types::{AdapterId, AdapterRef, AdapterVersion, SubscriberId, Weight};

use crate::{Gateway, Generation, exchange::RequestRun};

/// Tokens per prefix hash. As all blocks are equally long, the share of a prompt's hashes in an
/// engine's cache is about the share of its tokens that are cached.
const BLOCK_TOKENS: u64 = 256;

/// Version of an adapter for which the operators have set none.
const DEFAULT_VERSION: u64 = 1;

impl Gateway {
    /// Returns the resources that the request needs at a target, and the adapter version that it
    /// must run on.
    pub(crate) fn need(&self, run: &RequestRun) -> (Requirements, Option<AdapterVersion>) {
        let Some(generation) = &run.req.generation else {
            let is_repeatable = run.route.repeat.allows_resend();
            return (Requirements::Call { is_repeatable }, None);
        };
        let adapter = generation.adapter.as_ref().map(|adapter| AdapterRef {
            adapter: adapter.clone(),
            version: self.adapter_version(generation, adapter),
        });
        let version = adapter.as_ref().map(|adapter| adapter.version.clone());
        let need = Requirements::Generation {
            prefixes: prefix_hashes(generation, adapter.as_ref()),
            adapter,
            prompt_tokens: generation.prompt_tokens,
            max_tokens: generation.max_tokens,
        };
        (need, version)
    }

    fn adapter_version(&self, generation: &Generation, adapter: &AdapterId) -> AdapterVersion {
        let version = self.cx.view.read(|state| state.adapter_version(&generation.base, adapter));
        // Decimal digits form a valid version name.
        version.unwrap_or(DEFAULT_VERSION).to_string().parse().expect("a number is a valid version")
    }
}

/// Returns the subscriber that a request is charged to in fair queueing: its customer, or else its
/// adapter, as each adapter belongs to one subscriber, or else its route.
pub(crate) fn subscriber(run: &RequestRun) -> SubscriberId {
    if let Some(customer) = &run.customer {
        // Both kinds of names have the same characters.
        return customer.name.as_str().parse().unwrap_or_else(|_| fallback_label());
    }
    let adapter = run.req.generation.as_ref().and_then(|g| g.adapter.as_ref());
    let name = adapter.map_or(run.route.name.as_str(), |adapter| adapter.as_str());
    name.parse().unwrap_or_else(|_| fallback_label())
}

/// Weight of the subscriber in fair queueing.
pub(crate) fn weight(run: &RequestRun) -> Weight {
    let allotment = run.customer.as_ref().and_then(|customer| customer.allotment.as_ref());
    shallotdrum_allotments::weight(allotment)
}

/// Label for names that are not valid identifiers.
pub(crate) fn fallback_label() -> SubscriberId {
    "other".parse().expect("a valid name")
}

/// Returns the hashes of successively longer prompt prefixes. The adapter is hashed too, as engines
/// share cached prefixes only within an adapter.
fn prefix_hashes(generation: &Generation, adapter: Option<&AdapterRef>) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    if let Some(adapter) = adapter {
        hasher.update(adapter.to_string().as_bytes());
    }
    let mut hashes = Vec::new();
    for part in &generation.prompt {
        for block in 0..part.tokens.div_ceil(BLOCK_TOKENS) {
            hasher.update(&part.id.to_le_bytes()).update(&block.to_le_bytes());
            let hash = hasher.finalize();
            let first = hash.as_bytes().first_chunk::<8>();
            hashes.push(first.copied().map_or(0, u64::from_le_bytes));
        }
    }
    hashes
}
