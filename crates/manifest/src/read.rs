//! Converts a JSON tree into the data model and reports each problem with its path.
//!
//! A malformed entry is omitted from the result. Its name is recorded in `Skipped`, so that
//! references to it are not reported as missing.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    fmt::Display,
    str::FromStr,
    sync::Arc,
};

use shallotdrum_types::{RatePerSecond, Weight};

use crate::{
    Adapter, AdapterSource, BaseModel, CallRule, Limits, Manifest, ManifestProblem, Permissions,
    Service, SortedSet, Subscriber, WeightStore,
    error::{Path, Problems},
    tree::Node,
};

/// Names of the malformed entries that were omitted.
#[derive(Debug, Default)]
pub(crate) struct Skipped {
    pub(crate) base_models: BTreeSet<String>,
    pub(crate) adapters: BTreeSet<String>,
    pub(crate) services: BTreeSet<String>,
}

/// Reads a manifest; a missing or malformed section keeps its value from `Manifest::empty`.
pub(crate) fn read_manifest(root: &Node, problems: &mut Problems) -> (Manifest, Skipped) {
    let path = Path::Root;
    let mut manifest = Manifest::empty();
    let mut skipped = Skipped::default();
    let mut ignored = BTreeSet::new();
    let Some(mut object) = Fields::new(root, path, problems) else { return (manifest, skipped) };
    if let Some(node) = object.required("base_models") {
        manifest.base_models = read_map(
            node,
            path.field("base_models"),
            object.problems,
            &mut skipped.base_models,
            read_base_model,
        );
    }
    if let Some(node) = object.required("adapters") {
        let at = path.field("adapters");
        manifest.adapters =
            read_map(node, at, object.problems, &mut skipped.adapters, read_adapter);
    }
    if let Some(node) = object.required("subscribers") {
        let at = path.field("subscribers");
        manifest.subscribers = read_map(node, at, object.problems, &mut ignored, read_subscriber);
    }
    if let Some(node) = object.optional("services") {
        let at = path.field("services");
        manifest.services =
            read_map(node, at, object.problems, &mut skipped.services, read_service);
    }
    if let Some(node) = object.required("weight_store")
        && let Some(store) = read_weight_store(node, path.field("weight_store"), object.problems)
    {
        manifest.weight_store = store;
    }
    object.finish();
    (manifest, skipped)
}

fn read_base_model(node: &Node, path: Path<'_>, problems: &mut Problems) -> Option<BaseModel> {
    let mut object = Fields::new(node, path, problems)?;
    let pool = object.required("pool");
    let pool = object.read_field(pool, "pool", read_text);
    let tokens = object.required("max_context_tokens");
    let max_context_tokens = object.read_field(tokens, "max_context_tokens", read_u32);
    object.finish();
    Some(BaseModel { pool: pool?, max_context_tokens: max_context_tokens? })
}

fn read_adapter(node: &Node, path: Path<'_>, problems: &mut Problems) -> Option<Arc<Adapter>> {
    let mut object = Fields::new(node, path, problems)?;
    let base_model = object.required("base_model");
    let base_model = object.read_field(base_model, "base_model", read_text);
    let current = object.required("current");
    let current = object.read_field(current, "current", read_text);
    let versions = object.required("versions");
    let versions = object.read_field(versions, "versions", |node, path, problems| {
        let mut skipped = BTreeSet::new();
        let versions = read_map(node, path, problems, &mut skipped, read_source);
        skipped.is_empty().then(|| versions.into())
    });
    object.finish();
    Some(Arc::new(Adapter { base_model: base_model?, current: current?, versions: versions? }))
}

fn read_source(node: &Node, path: Path<'_>, problems: &mut Problems) -> Option<AdapterSource> {
    let mut object = Fields::new(node, path, problems)?;
    let source = object.required("path");
    let source = object.read_field(source, "path", read_text);
    object.finish();
    Some(AdapterSource { path: source? })
}

fn read_subscriber(
    node: &Node,
    path: Path<'_>,
    problems: &mut Problems,
) -> Option<Arc<Subscriber>> {
    let mut object = Fields::new(node, path, problems)?;
    let keys = object.required("key_hashes");
    let key_hashes = object.read_field(keys, "key_hashes", read_set);
    let weight = object.optional("weight").map_or(Some(Weight::default()), |node| {
        object.read_field(Some(node), "weight", |node, path, problems| {
            read_positive(node, path, problems, Weight::new)
        })
    });
    let allow = object.required("allow");
    let allow = object.read_field(allow, "allow", read_permissions);
    let limits = object.optional("limits").map_or(Some(Limits::default()), |node| {
        object.read_field(Some(node), "limits", read_limits)
    });
    object.finish();
    Some(Arc::new(Subscriber {
        key_hashes: key_hashes?,
        weight: weight?,
        allow: allow?,
        limits: limits?,
    }))
}

fn read_permissions(node: &Node, path: Path<'_>, problems: &mut Problems) -> Option<Permissions> {
    let mut object = Fields::new(node, path, problems)?;
    let adapters = object.optional("adapters").map_or(Some(SortedSet::default()), |node| {
        object.read_field(Some(node), "adapters", read_set)
    });
    let services = object.optional("services").map_or(Some(SortedSet::default()), |node| {
        object.read_field(Some(node), "services", read_set)
    });
    object.finish();
    Some(Permissions { adapters: adapters?, services: services? })
}

fn read_limits(node: &Node, path: Path<'_>, problems: &mut Problems) -> Option<Limits> {
    let mut object = Fields::new(node, path, problems)?;
    let mut limit = |name| match object.optional(name) {
        Some(node) => object.read_field(Some(node), name, read_u32).map(Some),
        None => Some(None),
    };
    let max_concurrent_requests = limit("max_concurrent_requests");
    let max_output_tokens = limit("max_output_tokens");
    object.finish();
    Some(Limits {
        max_concurrent_requests: max_concurrent_requests?,
        max_output_tokens: max_output_tokens?,
    })
}

fn read_service(node: &Node, path: Path<'_>, problems: &mut Problems) -> Option<Service> {
    let mut object = Fields::new(node, path, problems)?;
    let pool = object.required("pool");
    let pool = object.read_field(pool, "pool", read_text);
    let calls = object.optional("calls").map_or(Some(Vec::new()), |node| {
        object.read_field(Some(node), "calls", |node, path, problems| {
            let items = read_array(node, path, problems)?;
            let read = |(i, item)| read_call_rule(item, path.index(i), problems);
            let rules: Vec<_> = items.iter().enumerate().map(read).collect();
            rules.into_iter().collect()
        })
    });
    object.finish();
    Some(Service { pool: pool?, calls: calls? })
}

fn read_call_rule(node: &Node, path: Path<'_>, problems: &mut Problems) -> Option<CallRule> {
    let mut object = Fields::new(node, path, problems)?;
    let method = object.required("method");
    let method = object.read_field(method, "method", read_text);
    let prefix = object.required("path_prefix");
    let path_prefix = object.read_field(prefix, "path_prefix", read_text);
    let repeatable = object.required("repeatable");
    let repeatable =
        object.read_field(repeatable, "repeatable", |node, path, problems| match node {
            Node::Bool(value) => Some(*value),
            _ => wrong_type(node, path, problems, "a boolean"),
        });
    object.finish();
    Some(CallRule { method: method?, path_prefix: path_prefix?, repeatable: repeatable? })
}

fn read_weight_store(node: &Node, path: Path<'_>, problems: &mut Problems) -> Option<WeightStore> {
    let mut object = Fields::new(node, path, problems)?;
    let rate = object.required("loads_per_second");
    let loads_per_second = object.read_field(rate, "loads_per_second", |node, path, problems| {
        read_positive(node, path, problems, RatePerSecond::new)
    });
    let in_flight = object.required("max_loads_in_flight");
    let max_loads_in_flight = object.read_field(in_flight, "max_loads_in_flight", read_u32);
    object.finish();
    Some(WeightStore {
        loads_per_second: loads_per_second?,
        max_loads_in_flight: max_loads_in_flight?,
    })
}

/// Reads an object whose keys are names; adds the names of malformed entries to `skipped`.
fn read_map<K, V>(
    node: &Node,
    path: Path<'_>,
    problems: &mut Problems,
    skipped: &mut BTreeSet<String>,
    read: impl Fn(&Node, Path<'_>, &mut Problems) -> Option<V>,
) -> BTreeMap<K, V>
where
    K: FromStr<Err: Display> + Ord,
{
    let Node::Object(entries) = node else {
        wrong_type::<()>(node, path, problems, "an object");
        return BTreeMap::new();
    };
    let mut map = BTreeMap::new();
    let mut names = HashSet::new();
    for (name, node) in entries {
        let at = path.key(name);
        if !names.insert(name) {
            problems.add(&at, ManifestProblem::Duplicate);
        }
        let key = parse_text(name, at, problems);
        let value = read(node, at, problems);
        let (Some(key), Some(value)) = (key, value) else {
            skipped.insert(name.clone());
            continue;
        };
        map.insert(key, value);
    }
    map
}

/// Reads an array of distinct strings; `None` if a value is malformed.
fn read_set<T>(node: &Node, path: Path<'_>, problems: &mut Problems) -> Option<SortedSet<T>>
where
    T: FromStr<Err: Display> + Ord,
{
    let mut set = BTreeSet::new();
    let mut is_complete = true;
    for (i, item) in read_array(node, path, problems)?.iter().enumerate() {
        let at = path.index(i);
        let Some(value) = read_text(item, at, problems) else {
            is_complete = false;
            continue;
        };
        if !set.insert(value) {
            problems.add(&at, ManifestProblem::Duplicate);
        }
    }
    is_complete.then(|| set.into())
}

fn read_array<'n>(node: &'n Node, path: Path<'_>, problems: &mut Problems) -> Option<&'n [Node]> {
    match node {
        Node::Array(items) => Some(items),
        _ => wrong_type(node, path, problems, "an array"),
    }
}

fn read_text<T>(node: &Node, path: Path<'_>, problems: &mut Problems) -> Option<T>
where
    T: FromStr<Err: Display>,
{
    match node {
        Node::String(text) => parse_text(text, path, problems),
        _ => wrong_type(node, path, problems, "a string"),
    }
}

fn parse_text<T>(text: &str, path: Path<'_>, problems: &mut Problems) -> Option<T>
where
    T: FromStr<Err: Display>,
{
    let parsed = text.parse();
    parsed
        .map_err(|e: T::Err| {
            problems.add(&path, ManifestProblem::InvalidName { reason: e.to_string() });
        })
        .ok()
}

fn read_u32(node: &Node, path: Path<'_>, problems: &mut Problems) -> Option<u32> {
    let Node::Number(number) = node else {
        return wrong_type(node, path, problems, "a number");
    };
    let value = number.as_u64().and_then(|value| u32::try_from(value).ok());
    if value.is_none() {
        let allowed = "an unsigned 32-bit whole number".to_owned();
        problems.add(&path, ManifestProblem::OutOfRange { value: number.to_string(), allowed });
    }
    value
}

fn read_positive<T, E>(
    node: &Node,
    path: Path<'_>,
    problems: &mut Problems,
    new: fn(f64) -> Result<T, E>,
) -> Option<T> {
    let Node::Number(number) = node else {
        return wrong_type(node, path, problems, "a number");
    };
    let value = number.as_f64().and_then(|value| new(value).ok());
    if value.is_none() {
        let allowed = "a number above zero".to_owned();
        problems.add(&path, ManifestProblem::OutOfRange { value: number.to_string(), allowed });
    }
    value
}

fn wrong_type<T>(
    node: &Node,
    path: Path<'_>,
    problems: &mut Problems,
    expected: &str,
) -> Option<T> {
    let (expected, found) = (expected.to_owned(), node.type_name().to_owned());
    problems.add(&path, ManifestProblem::WrongType { expected, found });
    None
}

/// Fields of a JSON object that have not been read yet.
struct Fields<'n, 'p> {
    path: Path<'p>,
    fields: HashMap<&'n str, &'n Node>,
    problems: &'p mut Problems,
}

impl<'n, 'p> Fields<'n, 'p> {
    fn new(node: &'n Node, path: Path<'p>, problems: &'p mut Problems) -> Option<Self> {
        let Node::Object(entries) = node else {
            return wrong_type(node, path, problems, "an object");
        };
        let mut fields = HashMap::new();
        for (name, node) in entries {
            if fields.insert(name.as_str(), node).is_some() {
                problems.add(&path.field(name), ManifestProblem::Duplicate);
            }
        }
        Some(Self { path, fields, problems })
    }

    fn required(&mut self, name: &str) -> Option<&'n Node> {
        let node = self.fields.remove(name);
        if node.is_none() {
            self.problems.add(&self.path.field(name), ManifestProblem::MissingField);
        }
        node
    }

    fn optional(&mut self, name: &str) -> Option<&'n Node> {
        self.fields.remove(name)
    }

    fn read_field<T>(
        &mut self,
        node: Option<&'n Node>,
        name: &str,
        read: impl FnOnce(&'n Node, Path<'_>, &mut Problems) -> Option<T>,
    ) -> Option<T> {
        read(node?, self.path.field(name), self.problems)
    }

    /// Reports the remaining fields as unknown.
    fn finish(self) {
        let unknown: BTreeSet<&str> = self.fields.keys().copied().collect();
        for name in unknown {
            self.problems.add(&self.path.field(name), ManifestProblem::UnknownField);
        }
    }
}
