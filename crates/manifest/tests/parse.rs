//! Parsing and validation of manifests.

use rstest::rstest;
use serde_json::{Value, json};
use shallotdrum_manifest::{MAX_FILE_BYTES, MAX_REPORTED_PROBLEMS, Manifest, ManifestErrors};
use shallotdrum_types::KeyHash;

const REGISTRY: &str = include_str!("../../../examples/registry.manifest.json");
const COOPERATIVE: &str = include_str!("../../../examples/cooperative.manifest.json");
const README: &str = include_str!("../../../examples/README.md");

fn key_hash(text: &str) -> String {
    KeyHash::of(text.as_bytes()).to_string()
}

fn valid_manifest() -> Value {
    json!({
        "base_models": {"m": {"pool": "engines", "max_context_tokens": 4096}},
        "adapters": {"a": {
            "base_model": "m", "current": "1", "versions": {"1": {"path": "a/1"}},
        }},
        "subscribers": {"s": {
            "key_hashes": [key_hash("k")], "weight": 1.5,
            "allow": {"adapters": ["a", "none-*", "*"], "services": ["app"]},
            "limits": {"max_concurrent_requests": 4},
        }},
        "services": {"app": {"pool": "apps", "calls": [
            {"method": "POST", "path_prefix": "/issue", "repeatable": false},
        ]}},
        "weight_store": {"loads_per_second": 3, "max_loads_in_flight": 8},
    })
}

/// Replaces or adds the value at a JSON pointer.
fn with(pointer: &str, value: Value) -> Vec<u8> {
    let mut manifest = valid_manifest();
    let (parent, name) = pointer.rsplit_once('/').unwrap();
    let parent = manifest.pointer_mut(parent).unwrap();
    match parent.as_array_mut() {
        Some(items) => items.push(value),
        None => parent[name] = value,
    }
    serde_json::to_vec(&manifest).unwrap()
}

fn errors(json: &[u8]) -> ManifestErrors {
    Manifest::parse(json).unwrap_err()
}

/// Guards against a mistake that is accepted, reported at the wrong path, or that causes further
/// errors elsewhere.
#[rstest]
#[case::unknown_root("/adaptors", json!({}), "$.adaptors", "unknown field")]
#[case::unknown_nested("/adapters/a/curent", json!("1"), r#"$.adapters["a"].curent"#, "unknown")]
#[case::name("/adapters/a b", json!({"base_model": "m", "current": "1",
    "versions": {"1": {"path": "x"}}}), r#"$.adapters["a b"]"#, "invalid AdapterId")]
#[case::base_model("/adapters/a/base_model", json!("n"), r#"$.adapters["a"].base_model"#, "`n`")]
#[case::current("/adapters/a/current", json!("2"), r#"$.adapters["a"].current"#, "`2`")]
#[case::versions("/adapters/a/versions", json!({}), r#"$.adapters["a"].versions"#, "at least one")]
#[case::source("/adapters/a/versions/1", json!({"path": "../x"}),
    r#"$.adapters["a"].versions["1"].path"#, "invalid path")]
#[case::missing("/adapters/a/versions/1", json!({}),
    r#"$.adapters["a"].versions["1"].path"#, "missing")]
#[case::wrong_type("/subscribers/s/key_hashes", json!("x"),
    r#"$.subscribers["s"].key_hashes"#, "expected an array, found a string")]
#[case::hash("/subscribers/s/key_hashes/-", json!("00"),
    r#"$.subscribers["s"].key_hashes[1]"#, "64 hexadecimal digits")]
#[case::hash_twice("/subscribers/s/key_hashes/-", json!(key_hash("k")),
    r#"$.subscribers["s"].key_hashes[1]"#, "duplicate")]
#[case::adapter("/subscribers/s/allow/adapters/-", json!("b"),
    r#"$.subscribers["s"].allow.adapters["b"]"#, "`b`")]
#[case::pattern("/subscribers/s/allow/adapters/-", json!("a*b"),
    r#"$.subscribers["s"].allow.adapters["a*b"]"#, "invalid pattern")]
#[case::service("/subscribers/s/allow/services/-", json!("desk"),
    r#"$.subscribers["s"].allow.services["desk"]"#, "`desk`")]
#[case::weight_zero("/subscribers/s/weight", json!(0), r#"$.subscribers["s"].weight"#, "range")]
#[case::weight_large("/subscribers/s/weight", json!(1001), r#"$.subscribers["s"].weight"#, "range")]
#[case::weight_precise("/subscribers/s/weight", json!(0.33333),
    r#"$.subscribers["s"].weight"#, "three decimals")]
#[case::limit_zero("/subscribers/s/limits/max_concurrent_requests", json!(0),
    r#"$.subscribers["s"].limits.max_concurrent_requests"#, "1 to 100000")]
#[case::limit_negative("/subscribers/s/limits/max_output_tokens", json!(-1),
    r#"$.subscribers["s"].limits.max_output_tokens"#, "whole number")]
#[case::context("/base_models/m/max_context_tokens", json!(99_000_000),
    r#"$.base_models["m"].max_context_tokens"#, "range")]
#[case::rate("/weight_store/loads_per_second", json!(1e9), "$.weight_store.loads_per_second", "")]
#[case::in_flight("/weight_store/max_loads_in_flight", json!(0),
    "$.weight_store.max_loads_in_flight", "range")]
#[case::method("/services/app/calls/-", json!({"method": "get", "path_prefix": "/",
    "repeatable": true}), r#"$.services["app"].calls[1].method"#, "`get`")]
#[case::prefix("/services/app/calls/-", json!({"method": "GET", "path_prefix": "/a/../b",
    "repeatable": true}), r#"$.services["app"].calls[1].path_prefix"#, "`/a/../b`")]
#[case::unreachable("/services/app/calls/-", json!({"method": "POST", "path_prefix": "/issue/x",
    "repeatable": true}), r#"$.services["app"].calls[1]"#, "rule 0")]
#[case::pool("/services/app/pool", json!("engines"), r#"$.services["app"].pool"#, "`engines`")]
fn parse_one_problem(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] path: &str,
    #[case] text: &str,
) {
    let errors = errors(&with(pointer, value)).errors;
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert_eq!(errors[0].path, path);
    assert!(errors[0].problem.to_string().contains(text), "{}", errors[0]);
}

/// Guards against duplicate keys that are accepted silently, as by serde, where the last one wins.
#[rstest]
#[case::entry(
    r#""adapters":{"#,
    r#""adapters":{"a":{"base_model":"m","current":"1",
    "versions":{"1":{"path":"x"}}},"#,
    r#"$.adapters["a"]"#
)]
#[case::field(r#""current":"1""#, r#""current":"0","current":"1""#, r#"$.adapters["a"].current"#)]
#[case::root(r#"{"adapters""#, r#"{"services":{},"adapters""#, "$.services")]
fn parse_duplicate_key(#[case] from: &str, #[case] to: &str, #[case] path: &str) {
    let json = serde_json::to_string(&valid_manifest()).unwrap();
    assert!(json.contains(from), "{json}");
    let errors = errors(json.replacen(from, to, 1).as_bytes()).errors;
    let paths: Vec<&str> = errors.iter().map(|e| e.path.as_str()).collect();
    assert_eq!(paths, [path], "{errors:?}");
}

/// Guards against an API key that authenticates two subscribers.
#[test]
fn parse_key_of_two_subscribers() {
    let second = json!({"key_hashes": [key_hash("k")], "allow": {}});
    let errors = errors(&with("/subscribers/t", second)).errors;
    assert_eq!(errors.len(), 1);
    assert_eq!(errors[0].path, format!(r#"$.subscribers["t"].key_hashes["{}"]"#, key_hash("k")));
}

/// Guards against a parser that stops at the first problem, or that reports references to a
/// malformed entry as missing.
#[test]
fn parse_all_problems() {
    let mut manifest = valid_manifest();
    manifest["base_models"]["m"]["pool"] = json!("");
    manifest["subscribers"]["s"]["weight"] = json!("x");
    manifest["services"]["app"]["extra"] = json!(1);
    manifest["weight_store"] = json!({});
    let errors = errors(&serde_json::to_vec(&manifest).unwrap()).errors;
    let paths: Vec<&str> = errors.iter().map(|e| e.path.as_str()).collect();
    assert_eq!(
        paths,
        [
            r#"$.base_models["m"].pool"#,
            r#"$.subscribers["s"].weight"#,
            r#"$.services["app"].extra"#,
            "$.weight_store.loads_per_second",
            "$.weight_store.max_loads_in_flight",
        ]
    );
}

/// Guards against unbounded work or a panic on malicious or truncated files.
#[rstest]
#[case::empty(b"".to_vec())]
#[case::truncated(br#"{"adapters": {"#.to_vec())]
#[case::not_utf8(vec![b'"', 0xff, b'"'])]
#[case::deep(b"[".repeat(100_000))]
#[case::too_large(vec![b' '; MAX_FILE_BYTES + 1])]
#[case::not_object(b"[]".to_vec())]
fn parse_not_a_manifest(#[case] json: Vec<u8>) {
    let errors = errors(&json).errors;
    assert_eq!((errors.len(), errors[0].path.as_str()), (1, "$"), "{errors:?}");
}

/// Guards against an error list of unbounded size.
#[test]
fn parse_many_problems() {
    let names = (0..MAX_REPORTED_PROBLEMS + 5).map(|i| (format!("x{i}"), json!(null)));
    let errors = errors(&with("/adapters", Value::Object(names.collect())));
    assert_eq!(errors.errors.len(), MAX_REPORTED_PROBLEMS);
    // One problem for each entry, and one for the subscriber's reference to the missing adapter.
    assert_eq!(errors.omitted, 6);
}

/// Guards against examples that fail validation or whose documented keys do not work.
#[rstest]
#[case::registry("registry", REGISTRY)]
#[case::cooperative("cooperative", COOPERATIVE)]
fn parse_example(#[case] name: &str, #[case] json: &str) {
    let manifest = Manifest::parse(json.as_bytes()).unwrap();
    assert_eq!(manifest.adapters.len(), 40);
    let mut documented = 0;
    for row in README.lines().filter(|row| row.starts_with(&format!("| {name} |"))) {
        let cells: Vec<&str> = row.split('`').collect();
        let subscriber = &manifest.subscribers[cells[1]];
        assert!(subscriber.key_hashes.contains(&KeyHash::of(cells[3].as_bytes())), "{row}");
        documented += 1;
    }
    let keys: usize = manifest.subscribers.values().map(|s| s.key_hashes.len()).sum();
    assert_eq!(documented, keys);
}

/// Guards against canonical JSON that loses data or depends on the file's formatting.
#[rstest]
#[case(REGISTRY)]
#[case(COOPERATIVE)]
fn digest_round_trip(#[case] json: &str) {
    let manifest = Manifest::parse(json.as_bytes()).unwrap();
    let again = Manifest::parse(&manifest.to_canonical_json()).unwrap();
    assert_eq!(again, manifest);
    assert_eq!(again.digest(), manifest.digest());
    let by_serde: Manifest = serde_json::from_str(json).unwrap();
    assert_eq!(by_serde.digest(), manifest.digest());
    assert!(by_serde.check().is_ok());
}

/// Guards against weights and rates that change when a delta is serialized and parsed as JSON.
#[test]
fn digest_decimals() {
    let all = (1..=1_000_000u32).map(|n| f64::from(n) / 1_000.0);
    let changed = all.filter(|value| {
        let text = serde_json::to_string(value).unwrap();
        serde_json::from_str::<f64>(&text).unwrap() != *value
    });
    assert_eq!(changed.count(), 0);
}
