//! Validation of a manifest as a whole.

use std::{
    collections::{BTreeMap, HashMap},
    ops::RangeInclusive,
};

use shallotdrum_types::{AdapterId, KeyHash, PoolId, SubscriberId};

use crate::{
    Adapter, BaseModel, Manifest, ManifestErrors, ManifestProblem, Service, Subscriber,
    error::{Path, Problems},
    read::{Skipped, read_manifest},
    tree::Node,
};

/// Maximum file size, in bytes: twice the size of a file with 100,000 adapters.
pub const MAX_FILE_BYTES: usize = 32 * 1024 * 1024;
/// Maximum number of adapters: the design size of 75,000 plus a third.
pub const MAX_ADAPTERS: usize = 100_000;
/// Maximum number of subscribers; the same as for adapters, as each subscriber brings at least one.
pub const MAX_SUBSCRIBERS: usize = 100_000;
/// Maximum number of base models; the design size is 4.
const MAX_BASE_MODELS: usize = 64;
/// Maximum number of services, each of which has its own pool.
const MAX_SERVICES: usize = 1_000;
/// Maximum number of versions of an adapter; the build pipeline removes older ones.
const MAX_VERSIONS: usize = 64;
/// Maximum number of keys of a subscriber; a key rotation needs only a few.
const MAX_KEYS: usize = 64;
/// Maximum number of call rules of a service; each call tries them in order.
const MAX_CALL_RULES: usize = 256;
/// Maximum length of a path in the weight store, in bytes.
const MAX_SOURCE_PATH_BYTES: usize = 1_024;
/// Range of token limits; the maximum is well above the longest context of any known model.
const TOKENS_RANGE: RangeInclusive<u32> = 1..=16_777_216;
/// Range of limits on a subscriber's concurrent requests in one group, which has at most 16
/// targets.
const CONCURRENT_REQUESTS_RANGE: RangeInclusive<u32> = 1..=100_000;
/// Range of limits on concurrent loads; the maximum is about twice the 4,900 accelerators of the
/// design size.
const LOADS_IN_FLIGHT_RANGE: RangeInclusive<u32> = 1..=10_000;
/// Range of subscriber weights, in steps of 0.001; it keeps the scheduler's virtual time exact.
const WEIGHT_RANGE: RangeInclusive<f64> = 0.001..=1_000.0;
/// Range of limits on loads per second; the minimum is about one per quarter of an hour.
const LOADS_PER_SECOND_RANGE: RangeInclusive<f64> = 0.001..=10_000.0;

impl Manifest {
    /// Parses and validates a manifest; on failure, reports all problems that can be found.
    pub fn parse(json: &[u8]) -> Result<Manifest, ManifestErrors> {
        let mut problems = Problems::default();
        if json.len() > MAX_FILE_BYTES {
            let problem = ManifestProblem::FileTooLarge { bytes: json.len(), max: MAX_FILE_BYTES };
            problems.add(&Path::Root, problem);
            return problems.into_result(Manifest::empty());
        }
        let root: Node = match serde_json::from_slice(json) {
            Ok(root) => root,
            Err(e) => {
                problems.add(&Path::Root, ManifestProblem::Syntax { reason: e.to_string() });
                return problems.into_result(Manifest::empty());
            }
        };
        let (manifest, skipped) = read_manifest(&root, &mut problems);
        check_manifest(&manifest, &skipped, &mut problems);
        problems.into_result(manifest)
    }

    /// Validates a manifest that was deserialized or obtained by `apply` instead of `parse`.
    pub fn check(&self) -> Result<(), ManifestErrors> {
        let mut problems = Problems::default();
        check_manifest(self, &Skipped::default(), &mut problems);
        problems.into_result(())
    }
}

fn check_manifest(manifest: &Manifest, skipped: &Skipped, problems: &mut Problems) {
    let root = Path::Root;
    check_count(manifest.base_models.len(), MAX_BASE_MODELS, root.field("base_models"), problems);
    check_count(manifest.adapters.len(), MAX_ADAPTERS, root.field("adapters"), problems);
    check_count(manifest.subscribers.len(), MAX_SUBSCRIBERS, root.field("subscribers"), problems);
    check_count(manifest.services.len(), MAX_SERVICES, root.field("services"), problems);

    let mut cx = Context { manifest, skipped, problems };
    let mut engine_pools = BTreeMap::new();
    let models = root.field("base_models");
    for (id, base_model) in &manifest.base_models {
        check_base_model(base_model, models.key(id.as_str()), cx.problems);
        engine_pools.entry(&base_model.pool).or_insert(id.as_str());
    }
    let adapters = root.field("adapters");
    for (id, adapter) in &manifest.adapters {
        check_adapter(adapter, adapters.key(id.as_str()), &mut cx);
    }
    let mut key_owners = HashMap::new();
    let subscribers = root.field("subscribers");
    for (id, subscriber) in &manifest.subscribers {
        let path = subscribers.key(id.as_str());
        check_subscriber(subscriber, path, &mut cx);
        check_keys(id, subscriber, path, &mut key_owners, cx.problems);
    }
    let services = root.field("services");
    for (id, service) in &manifest.services {
        check_service(service, services.key(id.as_str()), &engine_pools, cx.problems);
    }
    let path = root.field("weight_store");
    let store = &manifest.weight_store;
    let rate = path.field("loads_per_second");
    check_decimal(store.loads_per_second.get(), &LOADS_PER_SECOND_RANGE, rate, cx.problems);
    let in_flight = path.field("max_loads_in_flight");
    check_range(store.max_loads_in_flight, &LOADS_IN_FLIGHT_RANGE, in_flight, cx.problems);
}

/// Data that references are resolved against, and the list of problems to add to.
struct Context<'a> {
    manifest: &'a Manifest,
    skipped: &'a Skipped,
    problems: &'a mut Problems,
}

fn check_base_model(base_model: &BaseModel, path: Path<'_>, problems: &mut Problems) {
    let tokens = path.field("max_context_tokens");
    check_range(base_model.max_context_tokens, &TOKENS_RANGE, tokens, problems);
}

fn check_adapter(adapter: &Adapter, path: Path<'_>, cx: &mut Context<'_>) {
    let base = &adapter.base_model;
    if !cx.manifest.base_models.contains_key(base)
        && !cx.skipped.base_models.contains(base.as_str())
    {
        let problem = ManifestProblem::NoBaseModel(base.to_string());
        cx.problems.add(&path.field("base_model"), problem);
    }
    let versions = path.field("versions");
    check_count(adapter.versions.len(), MAX_VERSIONS, versions, cx.problems);
    if adapter.versions.is_empty() {
        cx.problems.add(&versions, ManifestProblem::Empty);
    } else if !adapter.versions.contains(&adapter.current) {
        let problem = ManifestProblem::NoVersion(adapter.current.to_string());
        cx.problems.add(&path.field("current"), problem);
    }
    for (version, source) in adapter.versions.iter() {
        if !is_valid_source_path(&source.path) {
            let at = versions.key(version.as_str());
            cx.problems.add(&at.field("path"), ManifestProblem::InvalidSourcePath);
        }
    }
}

fn is_valid_source_path(path: &str) -> bool {
    (1..=MAX_SOURCE_PATH_BYTES).contains(&path.len())
        && !path.contains(|c: char| c.is_control())
        && path.split('/').all(|segment| segment != "..")
}

fn check_subscriber(subscriber: &Subscriber, path: Path<'_>, cx: &mut Context<'_>) {
    check_decimal(subscriber.weight.get(), &WEIGHT_RANGE, path.field("weight"), cx.problems);
    let limits = path.field("limits");
    if let Some(limit) = subscriber.limits.max_concurrent_requests {
        let at = limits.field("max_concurrent_requests");
        check_range(limit, &CONCURRENT_REQUESTS_RANGE, at, cx.problems);
    }
    if let Some(limit) = subscriber.limits.max_output_tokens {
        check_range(limit, &TOKENS_RANGE, limits.field("max_output_tokens"), cx.problems);
    }
    let allow = path.field("allow");
    let adapters = allow.field("adapters");
    let allowed = &subscriber.allow.adapters;
    check_count(allowed.len(), MAX_ADAPTERS, adapters, cx.problems);
    for name in allowed {
        if let Some(problem) = check_allowed_adapter(name, cx) {
            cx.problems.add(&adapters.key(name), problem);
        }
    }
    let services = allow.field("services");
    for id in &subscriber.allow.services {
        if !cx.manifest.services.contains_key(id) && !cx.skipped.services.contains(id.as_str()) {
            let problem = ManifestProblem::NoService(id.to_string());
            cx.problems.add(&services.key(id.as_str()), problem);
        }
    }
}

fn check_allowed_adapter(name: &str, cx: &Context<'_>) -> Option<ManifestProblem> {
    let is_name = |name: &str| name.parse::<AdapterId>().is_ok();
    match name.strip_suffix('*') {
        Some(prefix) if prefix.is_empty() || is_name(prefix) => None,
        Some(_) => Some(ManifestProblem::InvalidPattern(name.to_owned())),
        None if cx.manifest.adapters.contains_key(name) => None,
        None if cx.skipped.adapters.contains(name) => None,
        None if is_name(name) => Some(ManifestProblem::NoAdapter(name.to_owned())),
        None => Some(ManifestProblem::InvalidPattern(name.to_owned())),
    }
}

fn check_keys<'m>(
    id: &'m SubscriberId,
    subscriber: &Subscriber,
    path: Path<'_>,
    key_owners: &mut HashMap<KeyHash, &'m SubscriberId>,
    problems: &mut Problems,
) {
    let keys = path.field("key_hashes");
    check_count(subscriber.key_hashes.len(), MAX_KEYS, keys, problems);
    for hash in &subscriber.key_hashes {
        if let Some(other) = key_owners.insert(*hash, id) {
            let problem = ManifestProblem::KeyOfOther { other: other.to_string() };
            problems.add(&keys.key(&hash.to_string()), problem);
        }
    }
}

fn check_service(
    service: &Service,
    path: Path<'_>,
    engine_pools: &BTreeMap<&PoolId, &str>,
    problems: &mut Problems,
) {
    if let Some(base_model) = engine_pools.get(&service.pool) {
        let (pool, base_model) = (service.pool.to_string(), (*base_model).to_owned());
        problems.add(&path.field("pool"), ManifestProblem::PoolShared { pool, base_model });
    }
    let calls = path.field("calls");
    check_count(service.calls.len(), MAX_CALL_RULES, calls, problems);
    for (i, rule) in service.calls.iter().enumerate().take(MAX_CALL_RULES) {
        let at = calls.index(i);
        if !is_allowed_method(&rule.method) {
            let problem = ManifestProblem::InvalidMethod(rule.method.clone());
            problems.add(&at.field("method"), problem);
        }
        if !rule.has_valid_prefix() {
            let problem = ManifestProblem::InvalidPathPrefix(rule.path_prefix.clone());
            problems.add(&at.field("path_prefix"), problem);
            continue;
        }
        if let Some(earlier) = service.calls[..i].iter().position(|other| other.covers(rule)) {
            problems.add(&at, ManifestProblem::UnreachableRule { earlier });
        }
    }
}

/// Whether a rule may name this method; the entry refuses calls with other methods.
fn is_allowed_method(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS" | "POST" | "PUT" | "PATCH" | "DELETE")
}

fn check_count(count: usize, max: usize, path: Path<'_>, problems: &mut Problems) {
    if count > max {
        problems.add(&path, ManifestProblem::TooMany { count, max });
    }
}

fn check_range(value: u32, range: &RangeInclusive<u32>, path: Path<'_>, problems: &mut Problems) {
    if !range.contains(&value) {
        let allowed = format!("{} to {}", range.start(), range.end());
        problems.add(&path, ManifestProblem::OutOfRange { value: value.to_string(), allowed });
    }
}

/// Checks that a number is in range and has at most three decimals.
///
/// Instances exchange the number as decimal text. serde_json parses numbers of few digits exactly,
/// but others may be off by the last bit, and digests would then differ between instances.
fn check_decimal(value: f64, range: &RangeInclusive<f64>, path: Path<'_>, problems: &mut Problems) {
    if !range.contains(&value) {
        let allowed = format!("{} to {}", range.start(), range.end());
        problems.add(&path, ManifestProblem::OutOfRange { value: value.to_string(), allowed });
    } else if (value * 1_000.0).round() / 1_000.0 != value {
        problems.add(&path, ManifestProblem::TooPrecise { value: value.to_string() });
    }
}
