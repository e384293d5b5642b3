//! Reads settings from JSON.

use std::path::{Path, PathBuf};

use serde_json::Value;

use crate::{
    Addrs, Freshness, Limits, Log, Policy, Problem, ReplicaAddr, Settings, SettingsErrors,
    fields::{Fields, Problems},
    model::{DEFAULT_DRAIN_DELAY_MS, DEFAULT_TARGET_TIMEOUT_MS},
    tree::Tree,
};

const NAME: &str = "a name of 1 to 128 characters from A-Z a-z 0-9 . _ -";
const ADDR: &str = "an IP address with port, such as \"10.0.0.5:7000\"";
const NUMBER: &str = "a whole number of 0 or more";

/// Headers passed on to plain services by default: content negotiation, conditions and tracing.
const DEFAULT_FORWARD_HEADERS: &[&str] = &[
    "accept",
    "accept-language",
    "content-type",
    "content-encoding",
    "if-match",
    "if-none-match",
    "traceparent",
    "tracestate",
];

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, SettingsErrors> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsErrors::Read { path: path.to_owned(), source })?;
        Self::from_json(&text)
    }

    /// Reads and checks settings.
    pub fn from_json(text: &str) -> Result<Self, SettingsErrors> {
        let Tree(value) = serde_json::from_str(text)?;
        let problems = Problems::default();
        let settings = read(value, &problems);
        let mut problems = problems.into_vec();
        match settings {
            Some(settings) => {
                // A value of a wrong type was replaced by its default; its rules say nothing more.
                let is_new = |found: &Problem| problems.iter().all(|p| p.path != found.path);
                let found: Vec<_> = settings.problems().into_iter().filter(is_new).collect();
                problems.extend(found);
                if problems.is_empty() {
                    Ok(settings)
                } else {
                    Err(SettingsErrors::Invalid(problems))
                }
            }
            None => Err(SettingsErrors::Invalid(problems)),
        }
    }
}

/// Reads everything before it gives up, so that all problems are collected.
fn read(value: Value, problems: &Problems) -> Option<Settings> {
    let mut root = Fields::new(String::new(), value, problems)?;
    let instance = root.required("instance", NAME);
    let region = root.required("region", NAME);
    let zone = root.required("zone", NAME);
    let addrs = root.section("addrs").and_then(read_addrs);
    let advertise = root.optional_section("advertise").and_then(read_addrs);
    let seeds = root.or("seeds", "a list of IP numbers", Vec::new());
    let forms_log = root.or("forms_log", "true or false", false);
    let replicas = match seeds.is_empty() {
        true => read_replicas(&mut root, problems),
        false => Some(Vec::new()),
    };
    let data_dir = root.optional::<PathBuf>("data_dir", "a path");
    let limits = root.optional_section("limits").map(read_limits).unwrap_or_default();
    let freshness = root.optional_section("freshness").map(read_freshness).unwrap_or_default();
    let policy = root.optional_section("policy").map(read_policy).unwrap_or_default();
    let target_timeout_ms = root.or("target_timeout_ms", NUMBER, DEFAULT_TARGET_TIMEOUT_MS);
    let drain_delay_ms = root.or("drain_delay_ms", NUMBER, DEFAULT_DRAIN_DELAY_MS);
    let log = root.optional_section("log").map(read_log).unwrap_or_default();
    let default_headers =
        || DEFAULT_FORWARD_HEADERS.iter().map(|name| (*name).to_owned()).collect();
    let forward_headers =
        root.optional("forward_headers", "a list of header names").unwrap_or_else(default_headers);
    let allow_port_zero = root.or("allow_port_zero", "true or false", false);
    root.finish();
    Some(Settings {
        instance: instance?,
        region: region?,
        zone: zone?,
        addrs: addrs?,
        advertise,
        replicas: replicas?,
        seeds,
        forms_log,
        data_dir,
        limits,
        freshness,
        policy,
        target_timeout_ms,
        drain_delay_ms,
        log,
        forward_headers,
        allow_port_zero,
    })
}

fn read_addrs(mut fields: Fields<'_>) -> Option<Addrs> {
    let entry = fields.required("entry", ADDR);
    let rpc = fields.required("rpc", ADDR);
    let data = fields.required("data", ADDR);
    fields.finish();
    Some(Addrs { entry: entry?, rpc: rpc?, data: data? })
}

fn read_replicas(root: &mut Fields<'_>, problems: &Problems) -> Option<Vec<ReplicaAddr>> {
    let (path, value) = root.take("replicas");
    let items = match value {
        Some(Value::Array(items)) => items,
        other => {
            problems.add(&path, other.as_ref(), "a list of {instance, rpc}");
            return None;
        }
    };
    let read = |(i, item)| {
        let mut fields = Fields::new(format!("{path}[{i}]"), item, problems)?;
        let instance = fields.required("instance", NAME);
        let rpc = fields.required("rpc", ADDR);
        fields.finish();
        Some(ReplicaAddr { instance: instance?, rpc: rpc? })
    };
    let replicas: Vec<Option<ReplicaAddr>> = items.into_iter().enumerate().map(read).collect();
    replicas.into_iter().collect()
}

fn read_limits(mut fields: Fields<'_>) -> Limits {
    let default = Limits::default();
    let limits = Limits {
        max_body_bytes: fields.or("max_body_bytes", NUMBER, default.max_body_bytes),
        max_header_bytes: fields.or("max_header_bytes", NUMBER, default.max_header_bytes),
        max_connections: fields.or("max_connections", NUMBER, default.max_connections),
        idle_timeout_ms: fields.or("idle_timeout_ms", NUMBER, default.idle_timeout_ms),
        header_timeout_ms: fields.or("header_timeout_ms", NUMBER, default.header_timeout_ms),
        default_deadline_ms: fields.or("default_deadline_ms", NUMBER, default.default_deadline_ms),
        max_deadline_ms: fields.or("max_deadline_ms", NUMBER, default.max_deadline_ms),
        max_queued: fields.or("max_queued", NUMBER, default.max_queued),
        max_queued_per_subscriber: fields.or(
            "max_queued_per_subscriber",
            NUMBER,
            default.max_queued_per_subscriber,
        ),
    };
    fields.finish();
    limits
}

fn read_freshness(mut fields: Fields<'_>) -> Freshness {
    let default = Freshness::default();
    let freshness = Freshness {
        bound_ms: fields.or("bound_ms", NUMBER, default.bound_ms),
        when_stale: fields.or("when_stale", "\"refuse\" or \"serve\"", default.when_stale),
    };
    fields.finish();
    freshness
}

fn read_policy(mut fields: Fields<'_>) -> Policy {
    let default = Policy::default();
    let policy = Policy {
        stall_weight: fields.or("stall_weight", "a number from 0 to 1", default.stall_weight),
        mode: fields.or("mode", "\"adaptive\" or \"baseline\"", default.mode),
        max_loads: fields.or("max_loads", NUMBER, default.max_loads),
        load_permits: fields.or("load_permits", "true or false", default.load_permits),
        prefill_tokens_per_ms: fields.optional("prefill_tokens_per_ms", "a number above 0"),
    };
    fields.finish();
    policy
}

fn read_log(mut fields: Fields<'_>) -> Log {
    let default = Log::default();
    let log = Log {
        format: fields.or("format", "\"json\" or \"terminal\"", default.format),
        level: fields.or(
            "level",
            "one of \"critical\", \"error\", \"warning\", \"info\", \"debug\", \"trace\"",
            default.level,
        ),
    };
    fields.finish();
    log
}
