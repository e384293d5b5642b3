//! Parses settings from JSON.

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
};

use serde_json::Value;

use crate::{
    Addrs, Freshness, Limits, Log, Policy, Problem, ReplicaAddr, Settings, SettingsError,
    fields::{Fields, Problems},
    model::{DEFAULT_DRAIN_DELAY_MS, DEFAULT_TARGET_TIMEOUT_MS},
    strict_json::StrictValue,
};

const NAME_EXPECTED: &str = "a name of 1 to 128 characters from A-Z a-z 0-9 . _ -";
const ADDR_EXPECTED: &str = "an IP address with port, such as \"10.0.0.5:7000\"";
const NUMBER_EXPECTED: &str = "a whole number of 0 or more";

/// Default of `forward_headers`: content negotiation, conditional requests and tracing.
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
    /// Parses and validates a settings file.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
        Self::from_json(&text)
    }

    /// Parses and validates settings.
    pub fn from_json(text: &str) -> Result<Self, SettingsError> {
        let StrictValue(value) = serde_json::from_str(text)?;
        let problems = Problems::default();
        let settings = parse_settings(value, &problems);
        let mut problems = problems.into_vec();
        match settings {
            Some(settings) => {
                // A value of the wrong type was replaced by its default and is already reported, so
                // drop further problems at the same path.
                let is_unreported = |found: &Problem| problems.iter().all(|p| p.path != found.path);
                let found: Vec<_> = settings.problems().into_iter().filter(is_unreported).collect();
                problems.extend(found);
                if problems.is_empty() {
                    Ok(settings)
                } else {
                    Err(SettingsError::Invalid(problems))
                }
            }
            None => Err(SettingsError::Invalid(problems)),
        }
    }
}

/// Parses all fields before returning `None`, so that all problems are collected.
fn parse_settings(value: Value, problems: &Problems) -> Option<Settings> {
    let mut root = Fields::new(String::new(), value, problems)?;
    let instance = root.required("instance", NAME_EXPECTED);
    let region = root.required("region", NAME_EXPECTED);
    let zone = root.required("zone", NAME_EXPECTED);
    let addrs = root.section("addrs").and_then(parse_addrs);
    let advertise = root.optional_section("advertise").and_then(parse_addrs);
    let seeds = root.optional_or("seeds", "a list of IP addresses", Vec::new());
    let forms_log = root.optional_or("forms_log", "true or false", false);
    let replicas = match seeds.is_empty() {
        true => parse_replicas(&mut root, problems),
        false => Some(Vec::new()),
    };
    let forwarded_targets =
        root.optional_or("forwarded_targets", "addresses by address", BTreeMap::new());
    let data_dir = root.optional::<PathBuf>("data_dir", "a path");
    let cores = root.optional("cores", "a number of thousandths of a core above zero");
    let limits = root.optional_section("limits").map(parse_limits).unwrap_or_default();
    let freshness = root.optional_section("freshness").map(parse_freshness).unwrap_or_default();
    let revocation_ms = root.optional("revocation_ms", NUMBER_EXPECTED);
    let policy = root.optional_section("policy").map(parse_policy).unwrap_or_default();
    let target_timeout_ms =
        root.optional_or("target_timeout_ms", NUMBER_EXPECTED, DEFAULT_TARGET_TIMEOUT_MS);
    let drain_delay_ms =
        root.optional_or("drain_delay_ms", NUMBER_EXPECTED, DEFAULT_DRAIN_DELAY_MS);
    let grace_period_ms = root.optional("grace_period_ms", NUMBER_EXPECTED);
    let log = root.optional_section("log").map(parse_log).unwrap_or_default();
    let default_headers =
        || DEFAULT_FORWARD_HEADERS.iter().map(|name| (*name).to_owned()).collect();
    let forward_headers =
        root.optional("forward_headers", "a list of header names").unwrap_or_else(default_headers);
    let max_control_format = root.optional("max_control_format", NUMBER_EXPECTED);
    let memory_mb = root.optional("memory_mb", NUMBER_EXPECTED);
    let allow_port_zero = root.optional_or("allow_port_zero", "true or false", false);
    root.finish();
    Some(Settings {
        instance: instance?,
        region: region?,
        zone: zone?,
        addrs: addrs?,
        advertise,
        replicas: replicas?,
        forwarded_targets,
        seeds,
        forms_log,
        data_dir,
        cores,
        limits,
        freshness,
        revocation_ms,
        policy,
        target_timeout_ms,
        drain_delay_ms,
        grace_period_ms,
        log,
        forward_headers,
        max_control_format,
        memory_mb,
        allow_port_zero,
    })
}

fn parse_addrs(mut fields: Fields<'_>) -> Option<Addrs> {
    let entry = fields.required("entry", ADDR_EXPECTED);
    let rpc = fields.required("rpc", ADDR_EXPECTED);
    let data = fields.required("data", ADDR_EXPECTED);
    fields.finish();
    Some(Addrs { entry: entry?, rpc: rpc?, data: data? })
}

fn parse_replicas(root: &mut Fields<'_>, problems: &Problems) -> Option<Vec<ReplicaAddr>> {
    let (path, value) = root.take("replicas");
    let items = match value {
        Some(Value::Array(items)) => items,
        other => {
            problems.add(&path, other.as_ref(), "a list of {instance, rpc}");
            return None;
        }
    };
    let parse = |(i, item)| {
        let mut fields = Fields::new(format!("{path}[{i}]"), item, problems)?;
        let instance = fields.required("instance", NAME_EXPECTED);
        let rpc = fields.required("rpc", ADDR_EXPECTED);
        fields.finish();
        Some(ReplicaAddr { instance: instance?, rpc: rpc? })
    };
    let replicas: Vec<Option<ReplicaAddr>> = items.into_iter().enumerate().map(parse).collect();
    replicas.into_iter().collect()
}

fn parse_limits(mut fields: Fields<'_>) -> Limits {
    let default = Limits::default();
    let limits = Limits {
        max_body_bytes: fields.optional_or(
            "max_body_bytes",
            NUMBER_EXPECTED,
            default.max_body_bytes,
        ),
        max_header_bytes: fields.optional_or(
            "max_header_bytes",
            NUMBER_EXPECTED,
            default.max_header_bytes,
        ),
        max_connections: fields.optional_or(
            "max_connections",
            NUMBER_EXPECTED,
            default.max_connections,
        ),
        idle_timeout_ms: fields.optional_or(
            "idle_timeout_ms",
            NUMBER_EXPECTED,
            default.idle_timeout_ms,
        ),
        header_timeout_ms: fields.optional_or(
            "header_timeout_ms",
            NUMBER_EXPECTED,
            default.header_timeout_ms,
        ),
        default_deadline_ms: fields.optional_or(
            "default_deadline_ms",
            NUMBER_EXPECTED,
            default.default_deadline_ms,
        ),
        max_deadline_ms: fields.optional_or(
            "max_deadline_ms",
            NUMBER_EXPECTED,
            default.max_deadline_ms,
        ),
        max_queued: fields.optional_or("max_queued", NUMBER_EXPECTED, default.max_queued),
        max_queued_per_subscriber: fields.optional_or(
            "max_queued_per_subscriber",
            NUMBER_EXPECTED,
            default.max_queued_per_subscriber,
        ),
    };
    fields.finish();
    limits
}

fn parse_freshness(mut fields: Fields<'_>) -> Freshness {
    let default = Freshness::default();
    let freshness = Freshness {
        bound_ms: fields.optional_or("bound_ms", NUMBER_EXPECTED, default.bound_ms),
        when_stale: fields.optional_or("when_stale", "\"refuse\" or \"serve\"", default.when_stale),
    };
    fields.finish();
    freshness
}

fn parse_policy(mut fields: Fields<'_>) -> Policy {
    let default = Policy::default();
    let policy = Policy {
        stall_weight: fields.optional_or(
            "stall_weight",
            "a number from 0 to 1",
            default.stall_weight,
        ),
        mode: fields.optional_or("mode", "\"adaptive\" or \"baseline\"", default.mode),
        max_loads: fields.optional_or("max_loads", NUMBER_EXPECTED, default.max_loads),
        load_permits: fields.optional_or("load_permits", "true or false", default.load_permits),
        prefill_tokens_per_ms: fields.optional("prefill_tokens_per_ms", "a number above 0"),
        scheduling: fields.optional_or(
            "scheduling",
            "\"shares\", \"urgency\" or \"when-paced\"",
            default.scheduling,
        ),
        place_channel: fields.optional_or("place_channel", "true or false", default.place_channel),
        startup_wait_ms: fields.optional_or(
            "startup_wait_ms",
            NUMBER_EXPECTED,
            default.startup_wait_ms,
        ),
    };
    fields.finish();
    policy
}

fn parse_log(mut fields: Fields<'_>) -> Log {
    let default = Log::default();
    let log = Log {
        format: fields.optional_or("format", "\"json\" or \"terminal\"", default.format),
        level: fields.optional_or(
            "level",
            "one of \"critical\", \"error\", \"warning\", \"info\", \"debug\", \"trace\"",
            default.level,
        ),
    };
    fields.finish();
    log
}
