//! Deltas between manifests, and lookups on behalf of requests.

use std::sync::Arc;

use rstest::rstest;
use shallotdrum_manifest::{AdapterSource, Manifest, ManifestDelta, ResolveError};

fn registry() -> Manifest {
    let json = include_bytes!("../../../examples/registry.manifest.json");
    Manifest::parse(json).unwrap()
}

fn cooperative() -> Manifest {
    let json = include_bytes!("../../../examples/cooperative.manifest.json");
    Manifest::parse(json).unwrap()
}

/// Manifest with an added version, an added adapter, a removed subscriber and another load limit.
fn changed() -> Manifest {
    let mut manifest = registry();
    let adapter = Arc::make_mut(manifest.adapters.get_mut("court-suva-renewal").unwrap());
    let added = [("4".parse().unwrap(), AdapterSource { path: "x".to_owned() })];
    let versions =
        adapter.versions.iter().map(|(version, source)| (version.clone(), source.clone()));
    adapter.versions = versions.chain(added).collect();
    let copy = Arc::new(adapter.clone());
    manifest.adapters.insert("court-suva-new".parse().unwrap(), copy);
    manifest.subscribers.remove("court-nadi");
    manifest.weight_store.max_loads_in_flight = 4;
    manifest
}

/// Guards against a delta that loses a change, including when the log stores it as JSON.
#[rstest]
#[case::same(registry(), registry())]
#[case::small(registry(), changed())]
#[case::back(changed(), registry())]
#[case::first(Manifest::empty(), registry())]
#[case::all(registry(), cooperative())]
fn diff_apply(#[case] older: Manifest, #[case] newer: Manifest) {
    let delta = older.diff(&newer);
    let logged: ManifestDelta =
        serde_json::from_slice(&serde_json::to_vec(&delta).unwrap()).unwrap();
    assert_eq!(older.apply(&logged).digest(), newer.digest());
    assert_eq!(older.apply(&logged), newer);
    assert_eq!(delta.is_empty(), older == newer);
}

/// Guards against a small delta that is as large as the manifest, and against a wrong summary.
#[test]
fn diff_summary() {
    let (older, newer) = (registry(), changed());
    let delta = older.diff(&newer);
    let size = serde_json::to_vec(&delta).unwrap().len();
    assert!(size * 10 < older.to_canonical_json().len(), "{size}");
    let summary = delta.summary(&older);
    assert_eq!(summary.adapters.added, ["court-suva-new"]);
    assert_eq!(summary.adapters.changed, ["court-suva-renewal"]);
    assert_eq!(summary.subscribers.removed, ["court-nadi"]);
    assert!(summary.weight_store && summary.services.added.is_empty());
    assert!(summary.to_string().contains("adapters: 1 added, 1 changed, 0 removed"));
}

/// Guards against a request that runs on an adapter or version other than the requested one.
#[rstest]
#[case("casereader/court-suva-renewal", Ok("court-suva-renewal@3"))]
#[case("casereader/court-suva-renewal@2", Ok("court-suva-renewal@2"))]
#[case("casereader/court-suva-renewal@9", Err("no version"))]
#[case("casereader/none", Err("does not exist"))]
#[case("other/court-suva-renewal", Err("does not exist"))]
fn resolve_name(#[case] name: &str, #[case] expected: Result<&str, &str>) {
    let result = registry().resolve(&name.parse().unwrap());
    match (result, expected) {
        (Ok(model), Ok(adapter)) => {
            assert_eq!(model.adapter.to_string(), adapter);
            assert_eq!(model.pool.as_str(), "casereader");
            let version = model.adapter.version;
            let path = format!("casereader/court-suva-renewal/v{version}.safetensors");
            assert_eq!(model.source, path);
        }
        (Err(e), Err(text)) => assert!(e.to_string().contains(text), "{e}"),
        (result, expected) => panic!("{result:?} instead of {expected:?}"),
    }
}

/// Guards against an adapter that runs on a base model other than its own.
#[test]
fn resolve_base_model_mismatch() {
    let mut manifest = registry();
    let base = manifest.base_models["casereader"].clone();
    manifest.base_models.insert("second".parse().unwrap(), base);
    let result = manifest.resolve(&"second/court-suva-renewal".parse().unwrap());
    assert!(matches!(result, Err(ResolveError::BaseModelMismatch { .. })), "{result:?}");
}

/// Guards against access to adapters and services that a subscriber is not allowed to use.
#[rstest]
#[case("court-suva", "court-suva-renewal", true)]
#[case("court-suva", "mediators-renewal", true)]
#[case("court-suva", "mediators-land", false)]
#[case("court-suva", "court-nadi-renewal", false)]
#[case("court-suva", "court-suva", false)]
#[case("mediators", "mediators-land", true)]
#[case("registry-audit", "court-nadi-renewal", true)]
fn subscriber_may_use(#[case] subscriber: &str, #[case] adapter: &str, #[case] expected: bool) {
    let subscriber = &registry().subscribers[subscriber];
    assert_eq!(subscriber.may_use_adapter(&adapter.parse().unwrap()), expected);
    let service = "registry-app".parse().unwrap();
    assert_eq!(subscriber.may_use_service(&service), !subscriber.allow.services.is_empty());
}

/// Guards against a certificate that is issued twice because its call is treated as repeatable,
/// for example through an ambiguous path.
#[rstest]
#[case::rule("POST", "/certificates", false)]
#[case::below("POST", "/certificates/12/issue", false)]
#[case::trailing_slash("POST", "/certificates/", false)]
#[case::lookup("POST", "/status/lookups?id=1", true)]
#[case::lookup_encoded("POST", "/status/look%75ps", true)]
#[case::boundary("POST", "/status/lookups-all", false)]
#[case::dot_segments("POST", "/status/lookups/../../certificates", false)]
#[case::encoded_dots("POST", "/status/lookups/%2e%2e/%2e%2e/certificates", false)]
#[case::half_encoded_dots("POST", "/status/lookups/.%2E/x", false)]
#[case::encoded_slash("POST", "/status/lookups%2f..%2f..%2fcertificates", false)]
#[case::double_encoding("POST", "/status/lookups/%252e%252e/certificates", false)]
#[case::backslash("POST", "/status/lookups/..\\..\\certificates", false)]
#[case::parameter("POST", "/status/lookups/..;/..;/certificates", false)]
#[case::empty_segment("POST", "/status//lookups", false)]
#[case::bad_encoding("POST", "/status/lookups/%zz", false)]
#[case::nul("POST", "/status/lookups/%00", false)]
#[case::relative("POST", "status/lookups", false)]
#[case::no_path("POST", "", false)]
#[case::double_slash("GET", "//certificates", false)]
#[case::repeatable_exact("POST", "/Status/Lookups", false)]
#[case::method_case("post", "/status/lookups", false)]
#[case::put("PUT", "/anything", false)]
#[case::get("GET", "/anything", true)]
#[case::unicode("GET", "/status/%E0%A6%86%E0%A6%B2%E0%A7%8B", true)]
fn service_is_repeatable(#[case] method: &str, #[case] path: &str, #[case] expected: bool) {
    assert_eq!(registry().services["registry-app"].is_repeatable(method, path), expected);
}

/// Guards against a rule for GET that HEAD, letter case or percent-encoding bypasses.
#[rstest]
#[case("GET", "/issue", false)]
#[case("HEAD", "/issue/1", false)]
#[case("GET", "/ISSUE", false)]
#[case("GET", "/%69ssue", false)]
#[case("GET", "/issues", true)]
fn service_is_repeatable_get(#[case] method: &str, #[case] path: &str, #[case] expected: bool) {
    let mut service = registry().services["registry-app"].clone();
    service.calls.truncate(1);
    service.calls[0].method = "GET".to_owned();
    service.calls[0].path_prefix = "/issue".to_owned();
    assert_eq!(service.is_repeatable(method, path), expected);
}
