//! Validation rules for single values and for combinations of values.

use std::{
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
};

use serde_json::json;

use crate::{Addrs, Problem, Settings, SettingsError, WhenStale, fields::Problems};

/// Session lease, the minimum of the freshness bound. With a shorter bound, a healthy instance
/// would count as stale after one lost renewal and refuse requests until the next one.
const SESSION_LEASE_MS: u64 = 3_000;
/// Minimum of the freshness bound of an instance that serves when stale. Renewals confirm the manifest
/// every second; without a longer bound, a healthy instance would never say that a name does not exist.
const MIN_SERVING_BOUND_MS: u64 = 1_500;
/// Upper limit of deadlines; a longer one would let abandoned requests occupy the queue.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Minimum header buffer size that hyper accepts.
const MIN_HEADER_BYTES: usize = 8 * 1024;
/// Upper limit of the header section; each connection may buffer one.
const MAX_HEADER_BYTES: usize = 1024 * 1024;
/// Upper limit of the body size; an instance has 64 MB for control state and buffers.
const MAX_BODY_BYTES: usize = 256 * 1024 * 1024;
/// Upper limit of the drain delay; platforms kill a process that takes longer to stop.
const MAX_DRAIN_DELAY_MS: u64 = 600_000;
/// Minimum time between the drain delay and the end of the grace period, in which the last requests get their
/// responses and the instance ends.
const MIN_CLOSE_MS: u64 = 2_000;
/// Upper limit of the grace period: the longest drain delay and deadline, and as much for slow callers.
const MAX_GRACE_PERIOD_MS: u64 = 2 * (MAX_DRAIN_DELAY_MS + MAX_DEADLINE_MS);
/// Headers that the entry handles itself, and hop-by-hop headers.
const RESERVED_HEADERS: &[&str] = &[
    "authorization",
    "connection",
    "content-length",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

impl Settings {
    /// Validates all rules. Settings that are constructed in code must pass before they are used.
    pub fn check(&self) -> Result<(), SettingsError> {
        match self.problems() {
            problems if problems.is_empty() => Ok(()),
            problems => Err(SettingsError::Invalid(problems)),
        }
    }

    pub(crate) fn problems(&self) -> Vec<Problem> {
        let problems = Problems::default();
        self.check_addrs("addrs", &self.addrs, true, &problems);
        if let Some(advertise) = &self.advertise {
            self.check_addrs("advertise", advertise, false, &problems);
        }
        self.check_replicas(&problems);
        self.check_limits(&problems);
        self.check_remaining_fields(&problems);
        problems.into_vec()
    }

    fn check_addrs(&self, path: &str, addrs: &Addrs, is_listen_addr: bool, problems: &Problems) {
        let named = [("entry", addrs.entry), ("rpc", addrs.rpc), ("data", addrs.data)];
        for (i, (name, addr)) in named.iter().enumerate() {
            let path = format!("{path}.{name}");
            self.check_port(&path, *addr, problems);
            if !is_listen_addr && addr.ip().is_unspecified() {
                problems.add(&path, Some(&json!(addr)), "an address that peers can connect to");
            }
            let is_duplicate = named[..i].iter().any(|(_, earlier)| earlier == addr);
            if is_duplicate && addr.port() != 0 {
                problems.add(&path, Some(&json!(addr)), "an address that differs from the others");
            }
        }
        let has_unspecified =
            is_listen_addr && named.iter().any(|(_, addr)| addr.ip().is_unspecified());
        if has_unspecified && self.advertise.is_none() {
            let expected =
                "addresses for peers, because `addrs` contains an unspecified IP address";
            problems.add("advertise", None, expected);
        }
    }

    fn check_seeds(&self, problems: &Problems) {
        for (i, seed) in self.seeds.iter().enumerate() {
            if seed.as_str().parse::<IpAddr>().is_err() {
                problems.add(&format!("seeds[{i}]"), Some(&json!(seed)), "an IP address");
            }
        }
        if self.instance.as_str().parse() != Ok(self.advertised().rpc.ip()) {
            let expected = "the IP address of this instance's rpc address, because of `seeds`";
            problems.add("instance", Some(&json!(self.instance)), expected);
        }
    }

    fn check_port(&self, path: &str, addr: SocketAddr, problems: &Problems) {
        if addr.port() == 0 && !self.allow_port_zero {
            problems.add(path, Some(&json!(addr)), "a port from 1 to 65535");
        }
    }

    fn check_replicas(&self, problems: &Problems) {
        if !self.seeds.is_empty() {
            return self.check_seeds(problems);
        }
        if self.replicas.is_empty() {
            problems.add("replicas", Some(&json!([])), "at least one control replica");
        }
        let mut names = BTreeSet::new();
        let mut addrs = BTreeSet::new();
        for (i, replica) in self.replicas.iter().enumerate() {
            let path = format!("replicas[{i}].instance");
            if !names.insert(&replica.instance) {
                problems.add(&path, Some(&json!(replica.instance)), "an instance listed once");
            }
            let path = format!("replicas[{i}].rpc");
            self.check_port(&path, replica.rpc, problems);
            if replica.rpc.port() != 0 && !addrs.insert(replica.rpc) {
                problems.add(&path, Some(&json!(replica.rpc)), "an address listed once");
            }
            let is_own = replica.instance == self.instance;
            if is_own && replica.rpc != self.advertised().rpc {
                let expected = format!("this instance's rpc address {}", self.advertised().rpc);
                problems.add(&path, Some(&json!(replica.rpc)), expected);
            }
        }
        match &self.data_dir {
            None if self.is_replica() => {
                problems.add("data_dir", None, "a path, because `replicas` lists this instance");
            }
            Some(dir) if !self.is_replica() => {
                let expected = "no data folder, because `replicas` does not list this instance";
                problems.add("data_dir", Some(&json!(dir)), expected);
            }
            Some(dir) if dir.as_os_str().is_empty() => {
                problems.add("data_dir", Some(&json!(dir)), "a path that is not empty");
            }
            _ => {}
        }
    }

    fn check_limits(&self, problems: &Problems) {
        let limits = &self.limits;
        let check = |name: &str, value: u64, min: u64, max: u64| {
            if value < min || value > max {
                let expected = format!("a number from {min} to {max}");
                problems.add(&format!("limits.{name}"), Some(&json!(value)), expected);
            }
        };
        check("max_body_bytes", limits.max_body_bytes as u64, 1024, MAX_BODY_BYTES as u64);
        let (min, max) = (MIN_HEADER_BYTES as u64, MAX_HEADER_BYTES as u64);
        check("max_header_bytes", limits.max_header_bytes as u64, min, max);
        check("max_connections", limits.max_connections as u64, 1, 1_000_000);
        check("idle_timeout_ms", limits.idle_timeout_ms, 100, MAX_DEADLINE_MS);
        check("header_timeout_ms", limits.header_timeout_ms, 100, MAX_DEADLINE_MS);
        check("max_deadline_ms", limits.max_deadline_ms, 1, MAX_DEADLINE_MS);
        let max_deadline = limits.max_deadline_ms.clamp(1, MAX_DEADLINE_MS);
        check("default_deadline_ms", limits.default_deadline_ms, 1, max_deadline);
        check("max_queued", limits.max_queued as u64, 1, 1_000_000);
        let max_queued = (limits.max_queued as u64).clamp(1, 1_000_000);
        check("max_queued_per_subscriber", limits.max_queued_per_subscriber as u64, 1, max_queued);
    }

    fn check_remaining_fields(&self, problems: &Problems) {
        if self.memory_mb == Some(0) {
            problems.add("memory_mb", Some(&json!(0)), "a number from 1");
        }
        let bound_ms = self.freshness.bound_ms;
        let (min_ms, reason) = match self.freshness.when_stale {
            WhenStale::Refuse => (SESSION_LEASE_MS, "the session lease"),
            WhenStale::Serve => (MIN_SERVING_BOUND_MS, "a renewal interval and a half"),
        };
        if !(min_ms..=MAX_DEADLINE_MS).contains(&bound_ms) {
            let expected = format!("a number from {min_ms} ({reason}) to {MAX_DEADLINE_MS}");
            problems.add("freshness.bound_ms", Some(&json!(bound_ms)), expected);
        }
        if self.revocation_ms.is_some_and(|ms| !(1..=MAX_DEADLINE_MS).contains(&ms)) {
            let expected = format!("a number from 1 to {MAX_DEADLINE_MS}");
            problems.add("revocation_ms", Some(&json!(self.revocation_ms)), expected);
        }
        let stall_weight = self.policy.stall_weight;
        if !(0.0..=1.0).contains(&stall_weight) {
            let path = "policy.stall_weight";
            problems.add(path, Some(&json!(stall_weight)), "a number from 0 to 1");
        }
        if self.drain_delay_ms > MAX_DRAIN_DELAY_MS {
            let expected = format!("a number from 0 to {MAX_DRAIN_DELAY_MS}");
            problems.add("drain_delay_ms", Some(&json!(self.drain_delay_ms)), expected);
        }
        let min_ms = self.drain_delay_ms.saturating_add(MIN_CLOSE_MS);
        if self.grace_period_ms.is_some_and(|ms| !(min_ms..=MAX_GRACE_PERIOD_MS).contains(&ms)) {
            let expected = format!(
                "a number from {min_ms} (drain_delay_ms and {MIN_CLOSE_MS}) to {MAX_GRACE_PERIOD_MS}"
            );
            problems.add("grace_period_ms", Some(&json!(self.grace_period_ms)), expected);
        }
        for (i, name) in self.forward_headers.iter().enumerate() {
            let is_token = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
            let is_valid = !name.is_empty() && name.bytes().all(is_token);
            if !is_valid || RESERVED_HEADERS.contains(&name.as_str()) {
                let expected = "a header name in lower case that the entry does not handle itself";
                problems.add(&format!("forward_headers[{i}]"), Some(&json!(name)), expected);
            }
        }
    }
}
