//! Parsing and validation of settings: valid files load, and each invalid value is reported with
//! its path.

use std::path::Path;

use rstest::rstest;
use serde_json::{Value, json};
use shallotdrum_settings::{PolicyMode, Scheduling, Settings, SettingsError, WhenStale};

fn valid_settings() -> Value {
    json!({
        "instance": "i1", "region": "north", "zone": "a",
        "addrs": {"entry": "127.0.0.1:8080", "rpc": "127.0.0.1:7001", "data": "127.0.0.1:7002"},
        "replicas": [{"instance": "i1", "rpc": "127.0.0.1:7001"}],
        "data_dir": "/data",
    })
}

/// Sets the value at a path such as `/limits/max_queued`; `null` removes the field.
fn set_value(settings: &mut Value, path: &str, value: Value) {
    let (parent, name) = path.rsplit_once('/').unwrap();
    let parent = parent.split('/').skip(1).fold(settings, |at, name| match at {
        Value::Array(items) => &mut items[name.parse::<usize>().unwrap()],
        at => at.as_object_mut().unwrap().entry(name).or_insert_with(|| json!({})),
    });
    let parent = parent.as_object_mut().unwrap();
    match value {
        Value::Null => parent.remove(name),
        value => parent.insert(name.to_owned(), value),
    };
}

fn problem_paths(settings: &Value) -> Vec<String> {
    match Settings::from_json(&settings.to_string()) {
        Ok(_) => Vec::new(),
        Err(e) => e.problems().iter().map(|problem| problem.path.clone()).collect(),
    }
}

/// Guards against invalid values that are accepted, reported at a wrong path or reported twice.
#[rstest]
#[case("/instance", json!(null), "instance")]
#[case("/instance", json!("a b"), "instance")]
#[case("/region", json!(7), "region")]
#[case("/zone", json!(""), "zone")]
#[case("/colour", json!("red"), "colour")]
#[case("/memory_mb", json!(0), "memory_mb")]
#[case("/memory_mb", json!(-1), "memory_mb")]
#[case("/memory_mb", json!("much"), "memory_mb")]
#[case("/addrs", json!([]), "addrs")]
#[case("/addrs/entry", json!("localhost:80"), "addrs.entry")]
#[case("/addrs/entry", json!("127.0.0.1"), "addrs.entry")]
#[case("/addrs/entry", json!("127.0.0.1:0"), "addrs.entry")]
#[case("/addrs/data", json!("127.0.0.1:7001"), "addrs.data")]
#[case("/addrs/extra", json!("127.0.0.1:1"), "addrs.extra")]
#[case("/addrs/entry", json!("0.0.0.0:8080"), "advertise")]
#[case("/advertise", json!({"entry": "0.0.0.0:1", "rpc": "127.0.0.1:7001", "data": "10.0.0.1:3"}), "advertise.entry")]
#[case("/replicas", json!(null), "replicas")]
#[case("/replicas", json!({}), "replicas")]
#[case("/replicas/0/rpc", json!("127.0.0.1"), "replicas[0].rpc")]
#[case("/replicas/0/rpc", json!("127.0.0.1:7009"), "replicas[0].rpc")]
#[case("/replicas/0/disk", json!(1), "replicas[0].disk")]
#[case("/replicas/0/instance", json!("i2"), "data_dir")]
#[case("/data_dir", json!(null), "data_dir")]
#[case("/data_dir", json!(""), "data_dir")]
#[case("/data_dir", json!(3), "data_dir")]
#[case("/limits/max_body_bytes", json!(0), "limits.max_body_bytes")]
#[case("/limits/max_body_bytes", json!(-1), "limits.max_body_bytes")]
#[case("/limits/max_header_bytes", json!(1024), "limits.max_header_bytes")]
#[case("/limits/max_connections", json!(0), "limits.max_connections")]
#[case("/limits/idle_timeout_ms", json!("5s"), "limits.idle_timeout_ms")]
#[case("/limits/header_timeout_ms", json!(0), "limits.header_timeout_ms")]
#[case("/limits/default_deadline_ms", json!(120_001), "limits.default_deadline_ms")]
#[case("/limits/max_deadline_ms", json!(3_600_001), "limits.max_deadline_ms")]
#[case("/limits/max_queued", json!(1.5), "limits.max_queued")]
#[case("/limits/max_queued_per_subscriber", json!(4097), "limits.max_queued_per_subscriber")]
#[case("/limits/max_body", json!(1), "limits.max_body")]
#[case("/freshness/bound_ms", json!(2_999), "freshness.bound_ms")]
#[case("/freshness", json!({"bound_ms": 1_499, "when_stale": "serve"}), "freshness.bound_ms")]
#[case("/freshness/when_stale", json!("ignore"), "freshness.when_stale")]
#[case("/policy/stall_weight", json!(1.01), "policy.stall_weight")]
#[case("/policy/stall_weight", json!("0.5"), "policy.stall_weight")]
#[case("/policy/mode", json!("fifo"), "policy.mode")]
#[case("/policy/scheduling", json!("paced"), "policy.scheduling")]
#[case("/policy/place_channel", json!("on"), "policy.place_channel")]
#[case("/drain_delay_ms", json!(600_001), "drain_delay_ms")]
#[case("/grace_period_ms", json!(3_999), "grace_period_ms")]
#[case("/grace_period_ms", json!(8_400_001), "grace_period_ms")]
#[case("/grace_period_ms", json!("30s"), "grace_period_ms")]
#[case("/log/format", json!("xml"), "log.format")]
#[case("/log/level", json!("loud"), "log.level")]
#[case("/forward_headers", json!(["Accept"]), "forward_headers[0]")]
#[case("/forward_headers", json!(["accept", "host"]), "forward_headers[1]")]
#[case("/allow_port_zero", json!("yes"), "allow_port_zero")]
fn settings_bad_value(#[case] path: &str, #[case] value: Value, #[case] reported: &str) {
    let mut settings = valid_settings();
    assert_eq!(problem_paths(&settings), [""; 0]);
    set_value(&mut settings, path, value);
    assert_eq!(problem_paths(&settings), [reported]);
}

/// Guards against validation that stops at the first problem, and against incomplete messages.
#[test]
fn settings_all_problems() {
    let mut settings = valid_settings();
    set_value(&mut settings, "/zone", json!(null));
    set_value(&mut settings, "/limits/max_queued", json!("many"));
    set_value(&mut settings, "/policy/mode", json!("fifo"));
    let error = Settings::from_json(&settings.to_string()).unwrap_err().to_string();
    assert!(error.contains("3 problem(s)"), "{error}");
    assert!(error.contains("zone: missing, expected a name"), "{error}");
    assert!(
        error.contains("limits.max_queued: found \"many\", expected a whole number"),
        "{error}"
    );
    assert!(error.contains("policy.mode: found \"fifo\", expected \"adaptive\""), "{error}");
}

/// Guards against duplicate replicas, which would count one disk twice towards a quorum.
#[test]
fn settings_replicas_are_distinct() {
    let mut settings = valid_settings();
    let replica = settings["replicas"][0].clone();
    settings["replicas"].as_array_mut().unwrap().push(replica);
    assert_eq!(problem_paths(&settings), ["replicas[1].instance", "replicas[1].rpc"]);
}

/// Guards against a duplicate field of which one value is silently ignored.
#[test]
fn settings_repeated_field() {
    let text = valid_settings().to_string().replacen("\"zone\":", "\"zone\":\"b\",\"zone\":", 1);
    let error = Settings::from_json(&text).unwrap_err();
    assert!(matches!(error, SettingsError::Json(_)), "{error}");
    assert!(error.to_string().contains("field `zone` is given twice"), "{error}");
}

/// Guards against accidental changes of the defaults.
#[test]
fn settings_defaults() {
    let settings = Settings::from_json(&valid_settings().to_string()).unwrap();
    assert_eq!(settings.limits.max_body_bytes, 4 * 1024 * 1024);
    assert_eq!(settings.limits.max_header_bytes, 16 * 1024);
    assert_eq!(settings.limits.default_deadline_ms, 60_000);
    assert_eq!(settings.limits.max_deadline_ms, 120_000);
    assert_eq!(settings.freshness.bound_ms, 5_000);
    assert_eq!(settings.freshness.when_stale, WhenStale::Refuse);
    assert_eq!((settings.policy.mode, settings.drain_delay_ms), (PolicyMode::Adaptive, 2_000));
    assert_eq!(settings.policy.scheduling, Scheduling::Shares);
    assert!(!settings.policy.place_channel);
    assert!(settings.is_replica());
    assert_eq!(settings.advertised(), settings.addrs);
}

/// Guards against values of the setting that are refused or mixed up.
#[rstest]
#[case::shares("shares", Scheduling::Shares)]
#[case::urgency("urgency", Scheduling::Urgency)]
#[case::when_paced("when-paced", Scheduling::WhenPaced)]
fn settings_scheduling(#[case] value: &str, #[case] expected: Scheduling) {
    let mut settings = valid_settings();
    set_value(&mut settings, "/policy/scheduling", json!(value));
    let settings = Settings::from_json(&settings.to_string()).unwrap();
    assert_eq!(settings.policy.scheduling, expected);
}

/// Guards against a setting that is not read.
#[rstest]
#[case::off(false)]
#[case::on(true)]
fn settings_place_channel(#[case] value: bool) {
    let mut settings = valid_settings();
    set_value(&mut settings, "/policy/place_channel", json!(value));
    let settings = Settings::from_json(&settings.to_string()).unwrap();
    assert_eq!(settings.policy.place_channel, value);
}

/// Guards against port 0 being accepted without `allow_port_zero`, or refused with it.
#[test]
fn settings_port_zero_needs_flag() {
    let mut settings = valid_settings();
    for path in ["/addrs/entry", "/addrs/rpc", "/addrs/data", "/replicas/0/rpc"] {
        set_value(&mut settings, path, json!("127.0.0.1:0"));
    }
    assert_eq!(
        problem_paths(&settings),
        ["addrs.entry", "addrs.rpc", "addrs.data", "replicas[0].rpc"]
    );
    set_value(&mut settings, "/allow_port_zero", json!(true));
    assert_eq!(problem_paths(&settings), [""; 0]);
}

/// Guards against invalid example files, and against `Serialize` output that `from_json` refuses.
#[rstest]
#[case::registry("registry", "suva-a", 0.8, true)]
#[case::cooperative("cooperative", "kolkata", 0.2, false)]
fn settings_example(
    #[case] name: &str,
    #[case] zone: &str,
    #[case] stall_weight: f64,
    #[case] is_replica: bool,
) {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let settings = Settings::load(dir.join(format!("{name}.settings.json"))).unwrap();
    assert_eq!(settings.zone.as_str(), zone);
    assert!((settings.policy.stall_weight - stall_weight).abs() < f64::EPSILON);
    assert_eq!(settings.is_replica(), is_replica);
    let written = serde_json::to_string(&settings).unwrap();
    assert_eq!(Settings::from_json(&written).unwrap(), settings);
}

/// Guards against panics and unspecific errors for files that are missing or not valid JSON.
#[test]
fn settings_unreadable() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("settings.json");
    let missing = Settings::load(&path).unwrap_err();
    assert!(matches!(missing, SettingsError::Read { .. }));
    assert!(missing.to_string().contains("settings.json"));
    std::fs::write(&path, "{\"instance\": ").unwrap();
    assert!(matches!(Settings::load(&path).unwrap_err(), SettingsError::Json(_)));
    assert_eq!(problem_paths(&json!([1])), ["$"]);
}
