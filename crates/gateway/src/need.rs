//! What a request needs at a target, and whom it is charged to.

use shallotdrum_engine::Requirements;
use shallotdrum_types::{AdapterId, AdapterRef, AdapterVersion, SubscriberId, Weight};

use crate::{Gateway, Generation, exchange::RequestRun};

/// Tokens per prefix hash. As all blocks are equally long, the share of a prompt's hashes in an
/// engine's cache is about the share of its tokens that are cached.
const BLOCK_TOKENS: u64 = 256;

/// Version of an adapter for which the operators have set none.
const DEFAULT_VERSION: u64 = 1;

/// What a request needs at a target.
pub(crate) struct Need {
    pub(crate) requirements: Requirements,
    /// Version of its adapter; absent without an adapter.
    pub(crate) version: Option<u64>,
}

impl Gateway {
    /// Returns the resources that the request needs at a target, and the version of its adapter that it
    /// must run on.
    pub(crate) fn need(&self, run: &RequestRun) -> Need {
        let version = self.adapter_version(run);
        let Some(generation) = &run.req.generation else {
            let is_repeatable = run.route.repeat.allows_resend();
            return Need { requirements: Requirements::Call { is_repeatable }, version };
        };
        let adapter = generation
            .adapter
            .clone()
            .zip(version_name(version))
            .map(|(adapter, version)| AdapterRef { adapter, version });
        let requirements = Requirements::Generation {
            prefixes: prefix_hashes(generation, adapter.as_ref()),
            adapter,
            prompt_tokens: generation.prompt_tokens,
            max_tokens: generation.max_tokens,
        };
        Need { requirements, version }
    }

    /// Newest version of the request's adapter that this instance knows of.
    pub(crate) fn adapter_version(&self, run: &RequestRun) -> Option<u64> {
        let generation = run.req.generation.as_ref()?;
        let adapter = generation.adapter.as_ref()?;
        let version = self.cx.view.read(|state| state.adapter_version(&generation.base, adapter));
        Some(version.unwrap_or(DEFAULT_VERSION))
    }
}

/// Name of a version; its decimal digits form a valid one.
pub(crate) fn version_name(version: Option<u64>) -> Option<AdapterVersion> {
    version.map(|version| version.to_string().parse().expect("a number is a valid version"))
}

/// Returns the subscriber that a request is charged to: its customer if there is one, else its adapter, as
/// each adapter belongs to one subscriber, or else its route.
pub(crate) fn subscriber(run: &RequestRun) -> SubscriberId {
    let customer = run.customer.as_ref().map(|customer| customer.name.as_str());
    let adapter = run.req.generation.as_ref().and_then(|g| g.adapter.as_ref());
    let name = customer.or(adapter.map(AdapterId::as_str)).unwrap_or(&run.route.name);
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
