//! Metrics in the Prometheus text format.
//!
//! Architecture Invariant: the number of time series is bounded. Histograms have one series for
//! each of the first `MAX_SUBSCRIBER_LABELS` subscribers and one for all others, those of loads from
//! the store one for each of up to `MAX_GROUP_LABELS` owned groups; no label carries an adapter, a
//! target or a request.

use std::{
    collections::HashMap,
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use prometheus::{
    CounterVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};
use shallotdrum_types::{GroupId, SubscriberId};

use crate::store_loads::{StoreLoadMetrics, StoreLoadValues};

/// Number of subscribers with their own label value. 200 subscribers with five histograms of about
/// 16 series each keep the metrics page near 1.5 MB and its memory below 2 MB.
pub const MAX_SUBSCRIBER_LABELS: usize = 200;

/// Label value shared by all subscribers beyond the limit.
const OTHER: &str = "other";

/// Bucket bounds for waits and request durations, in seconds. They double from 1 ms (an idle system
/// responds to lookups in about 2 ms) to 131 s (just above the default maximum deadline); 1.5 s,
/// the goal for the first token, has its own bound.
const WAIT_BUCKETS: &[f64] = &[
    0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1.0, 1.5, 2.0, 4.0, 8.0,
    16.0, 32.0, 64.0, 131.0,
];

/// Bucket bounds for the time between tokens, in seconds; finest around the goal of 56 ms.
const TOKEN_BUCKETS: &[f64] =
    &[0.002, 0.005, 0.01, 0.02, 0.03, 0.04, 0.048, 0.056, 0.064, 0.08, 0.1, 0.2, 0.5, 1.0, 5.0];

/// Metrics of one instance; clones share their values.
#[derive(Clone)]
pub struct Metrics(Arc<Inner>);

struct Inner {
    registry: Registry,
    queue_wait: HistogramVec,
    load_stall: HistogramVec,
    first_token: HistogramVec,
    between_tokens: HistogramVec,
    total: HistogramVec,
    requests: IntCounterVec,
    bodies: IntCounterVec,
    key_refusals: IntCounterVec,
    applied: IntCounterVec,
    apply_time: CounterVec,
    store_loads: StoreLoadMetrics,
    subscribers: RwLock<HashMap<SubscriberId, SubscriberMetrics>>,
    other: SubscriberMetrics,
    unlabelled: UnlabelledMetrics,
}

/// Histograms of one subscriber.
#[derive(Clone)]
pub struct SubscriberMetrics {
    queue_wait: Histogram,
    load_stall: Histogram,
    first_token: Histogram,
    between_tokens: Histogram,
    total: Histogram,
}

impl SubscriberMetrics {
    /// Records the time that a request waited in the owner's queue.
    pub fn queue_wait(&self, time: Duration) {
        self.queue_wait.observe(time.as_secs_f64());
    }

    /// Records the time that a request waited for its adapter to be loaded.
    pub fn load_stall(&self, time: Duration) {
        self.load_stall.observe(time.as_secs_f64());
    }

    /// Records the time from the request to its first token.
    pub fn first_token(&self, time: Duration) {
        self.first_token.observe(time.as_secs_f64());
    }

    /// Records the time between two tokens.
    pub fn between_tokens(&self, time: Duration) {
        self.between_tokens.observe(time.as_secs_f64());
    }

    /// Records the time from the request to the end of its response.
    pub fn total(&self, time: Duration) {
        self.total.observe(time.as_secs_f64());
    }
}

/// Counters of what the scheduler refuses under overload; clones share their values.
#[derive(Clone, Debug)]
pub struct OverloadCounters {
    /// Requests refused on arrival.
    pub refused_on_arrival: IntCounter,
    /// Queued requests that could no longer be finished.
    pub refused_in_queue: IntCounter,
    /// Queued requests refused in favour of more urgent ones.
    pub displaced: IntCounter,
}

/// Defines the counters and gauges without labels, and an accessor for each.
macro_rules! unlabelled_metrics {
    ($($field:ident: $kind:ident, $name:literal, $help:literal;)+) => {
        struct UnlabelledMetrics { $($field: $kind,)+ }

        impl UnlabelledMetrics {
            fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
                Ok(Self {
                    $($field: {
                        let metric = $kind::new($name, $help)?;
                        registry.register(Box::new(metric.clone()))?;
                        metric
                    },)+
                })
            }
        }

        impl Metrics {
            $(#[doc = concat!($help, ".")]
            pub fn $field(&self) -> &$kind {
                &self.0.unlabelled.$field
            })+
        }
    };
}

unlabelled_metrics! {
    retries: IntCounter, "shallotdrum_retries_total", "Requests sent again to an owner";
    resumes: IntCounter, "shallotdrum_resumes_total", "Answers resumed after an interruption";
    unreadable_responses: IntCounter, "shallotdrum_unreadable_responses_total", "Responses of targets that are none, as for their status";
    held_bytes: IntGauge, "shallotdrum_held_bytes", "Memory that bodies take for callers and targets that read slowly";
    paused_reads: IntCounter, "shallotdrum_paused_reads_total", "Times that a target's stream was not read on, as its caller was slow";
    refused_bodies: IntCounter, "shallotdrum_refused_bodies_total", "Requests refused for want of memory for their bodies";
    loads: IntCounter, "shallotdrum_adapter_loads_total", "Adapter loads ordered";
    load_failures: IntCounter, "shallotdrum_adapter_load_failures_total", "Adapter loads that failed";
    evictions: IntCounter, "shallotdrum_adapter_evictions_total", "Adapters evicted";
    refused_on_arrival: IntCounter, "shallotdrum_refused_on_arrival_total", "Requests refused on arrival at a group because they could not be finished by their deadline";
    refused_in_queue: IntCounter, "shallotdrum_refused_in_queue_total", "Queued requests refused because they could no longer be finished by their deadline";
    displaced: IntCounter, "shallotdrum_displaced_total", "Queued requests refused in favour of more urgent ones";
    forwarded: IntCounter, "shallotdrum_forwarded_total", "Requests forwarded to an owner";
    connections: IntGauge, "shallotdrum_connections", "Open caller connections";
    queued: IntGauge, "shallotdrum_queued", "Requests that wait in queues of owned groups";
    in_flight: IntGauge, "shallotdrum_in_flight", "Requests in progress on this entry";
    owned_groups: IntGauge, "shallotdrum_owned_groups", "Target groups owned by this instance";
    manifest_revision: IntGauge, "shallotdrum_manifest_revision", "Manifest revision in force";
    log_index: IntGauge, "shallotdrum_log_index", "Last applied index of the control log";
    log_backlog: IntGauge, "shallotdrum_log_backlog", "Committed entries of the control log that are not applied, on a replica";
    allotment_admitted: IntCounter, "shallotdrum_allotment_admitted_total", "Requests of this entry that were charged to an allotment";
    allotment_refused: IntCounter, "shallotdrum_allotment_refused_total", "Requests of this entry that were refused with 429, as their allotment had no room";
    allotment_unserved: IntCounter, "shallotdrum_allotment_unserved_total", "Requests of this entry that were refused with 503, as no share of their allotment could be charged in time to serve them";
    allotment_asked: IntCounter, "shallotdrum_allotment_asked_total", "Shards of allotments that this entry asked with a message of its own";
    allotment_expired: IntCounter, "shallotdrum_allotment_expired_total", "Reservations of units that this owner counted as used, as they were neither confirmed nor returned";
    allotment_refunds: IntCounter, "shallotdrum_allotment_refunds_total", "Charges that this owner returned to an allotment";
    place_channels: IntGauge, "shallotdrum_place_channels", "Open channels for places from this entry to owners";
    place_channels_served: IntGauge, "shallotdrum_place_channels_served", "Open channels for places from entries to this owner";
    place_channel_requests: IntCounter, "shallotdrum_place_channel_requests_total", "Requests that this entry sent to owners over channels for places";
    place_channel_ends: IntCounter, "shallotdrum_place_channel_ends_total", "Ends of places that this entry reported over channels for places";
    place_channel_writes: IntCounter, "shallotdrum_place_channel_writes_total", "Writes of frames to channels for places, at entry and owner";
    place_channel_failures: IntCounter, "shallotdrum_place_channel_failures_total", "Channels for places that broke or could not be opened";
    place_channels_opened: IntCounter, "shallotdrum_place_channels_opened_total", "Connections of channels for places that this entry opened";
    place_channels_broken: IntCounter, "shallotdrum_place_channels_broken_total", "Open connections of channels for places that broke, at the entry";
    place_channel_failed_requests: IntCounter, "shallotdrum_place_channel_failed_requests_total", "Requests of this entry that waited on a channel for places when it broke or could not be opened";
    place_channel_frames_sent: IntCounter, "shallotdrum_place_channel_frames_sent_total", "Frames sent over channels for places, at entry and owner";
    place_channel_frames_received: IntCounter, "shallotdrum_place_channel_frames_received_total", "Frames received over channels for places, at entry and owner";
    place_channel_fallbacks: IntCounter, "shallotdrum_place_channel_fallbacks_total", "Requests for places that this entry sent by JSON-RPC, as the owner has no channel for places";
    place_channel_refused: IntCounter, "shallotdrum_place_channel_refused_total", "Requests refused as too many wait on one channel for places";
    place_ends_resent: IntCounter, "shallotdrum_place_ends_resent_total", "Ends of places that this entry reported to an owner again, as an earlier report failed or was not confirmed";
    is_leader: IntGauge, "shallotdrum_is_leader", "1 on the control leader, else 0";
}

impl Metrics {
    /// Creates and registers all metrics in a new registry.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let histogram = |name: &str, help: &str, buckets: &[f64]| {
            let opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            let metric = HistogramVec::new(opts, &["subscriber"])?;
            registry.register(Box::new(metric.clone()))?;
            Ok::<_, prometheus::Error>(metric)
        };
        let queue_wait = histogram(
            "shallotdrum_queue_wait_seconds",
            "Wait of requests in the owner's queue",
            WAIT_BUCKETS,
        )?;
        let load_stall = histogram(
            "shallotdrum_load_stall_seconds",
            "Wait of requests for their adapter to be loaded",
            WAIT_BUCKETS,
        )?;
        let first_token = histogram(
            "shallotdrum_first_token_seconds",
            "Time from request to first token",
            WAIT_BUCKETS,
        )?;
        let between_tokens =
            histogram("shallotdrum_between_tokens_seconds", "Time between tokens", TOKEN_BUCKETS)?;
        let total = histogram(
            "shallotdrum_request_seconds",
            "Time from request to the end of the answer",
            WAIT_BUCKETS,
        )?;
        let requests = IntCounterVec::new(
            Opts::new("shallotdrum_requests_total", "Finished requests"),
            &["outcome", "error"],
        )?;
        registry.register(Box::new(requests.clone()))?;
        let bodies = IntCounterVec::new(
            Opts::new(
                "shallotdrum_response_bodies_total",
                "Ends of bodies that targets sent, by what shows whether they are complete",
            ),
            &["evidence"],
        )?;
        registry.register(Box::new(bodies.clone()))?;
        let key_refusals = IntCounterVec::new(
            Opts::new(
                "shallotdrum_key_refusals_total",
                "Requests refused for the key of their caller",
            ),
            &["reason", "error"],
        )?;
        registry.register(Box::new(key_refusals.clone()))?;
        let applied = IntCounterVec::new(
            Opts::new("shallotdrum_applied_total", "Commands of the control log that were applied"),
            &["kind"],
        )?;
        registry.register(Box::new(applied.clone()))?;
        let apply_time = CounterVec::new(
            Opts::new("shallotdrum_apply_seconds_total", "Time that applying these commands took"),
            &["kind"],
        )?;
        registry.register(Box::new(apply_time.clone()))?;
        let other = SubscriberMetrics {
            queue_wait: queue_wait.with_label_values(&[OTHER]),
            load_stall: load_stall.with_label_values(&[OTHER]),
            first_token: first_token.with_label_values(&[OTHER]),
            between_tokens: between_tokens.with_label_values(&[OTHER]),
            total: total.with_label_values(&[OTHER]),
        };
        let store_loads = StoreLoadMetrics::register(&registry)?;
        let unlabelled = UnlabelledMetrics::register(&registry)?;
        let subscribers = RwLock::default();
        Ok(Self(Arc::new(Inner {
            registry,
            queue_wait,
            load_stall,
            first_token,
            between_tokens,
            total,
            requests,
            bodies,
            key_refusals,
            applied,
            apply_time,
            store_loads,
            subscribers,
            other,
            unlabelled,
        })))
    }

    /// Histograms of a subscriber, or the shared ones beyond `MAX_SUBSCRIBER_LABELS` subscribers.
    pub fn subscriber(&self, subscriber: &SubscriberId) -> SubscriberMetrics {
        let inner = &self.0;
        {
            let known = inner.subscribers.read().unwrap_or_else(PoisonError::into_inner);
            match known.get(subscriber) {
                Some(metrics) => return metrics.clone(),
                None if known.len() >= MAX_SUBSCRIBER_LABELS => return inner.other.clone(),
                None => {}
            }
        }
        let mut known = inner.subscribers.write().unwrap_or_else(PoisonError::into_inner);
        if known.len() >= MAX_SUBSCRIBER_LABELS && !known.contains_key(subscriber) {
            return inner.other.clone();
        }
        let create = || {
            let label = &[subscriber.as_str()];
            SubscriberMetrics {
                queue_wait: inner.queue_wait.with_label_values(label),
                load_stall: inner.load_stall.with_label_values(label),
                first_token: inner.first_token.with_label_values(label),
                between_tokens: inner.between_tokens.with_label_values(label),
                total: inner.total.with_label_values(label),
            }
        };
        known.entry(subscriber.clone()).or_insert_with(create).clone()
    }

    /// Counters of what the scheduler refuses under overload.
    pub fn overload_counters(&self) -> OverloadCounters {
        OverloadCounters {
            refused_on_arrival: self.refused_on_arrival().clone(),
            refused_in_queue: self.refused_in_queue().clone(),
            displaced: self.displaced().clone(),
        }
    }

    /// Counts a finished request; `error` is the problem code, or `none` if there was no problem.
    pub fn finished(&self, outcome: &str, error: &str) {
        self.0.requests.with_label_values(&[outcome, error]).inc();
    }

    /// Counts a body that ended, by what shows whether it is complete.
    pub fn body_ended(&self, evidence: &str) {
        self.0.bodies.with_label_values(&[evidence]).inc();
    }

    /// Counts a request that was refused for the key of its caller; `error` is the problem code.
    pub fn key_refused(&self, reason: &str, error: &str) {
        self.0.key_refusals.with_label_values(&[reason, error]).inc();
    }

    /// Counts commands of one kind that were applied, and the time that this took.
    pub fn applied(&self, kind: &str, commands: u64, time: Duration) {
        self.0.applied.with_label_values(&[kind]).inc_by(commands);
        self.0.apply_time.with_label_values(&[kind]).inc_by(time.as_secs_f64());
    }

    /// Sets the metrics of loads from the store for the owned groups, in the order of their names, and
    /// removes those of all other groups.
    pub fn set_store_loads(&self, groups: &[(GroupId, StoreLoadValues)]) {
        self.0.store_loads.set(groups);
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let families = self.0.registry.gather();
        match TextEncoder::new().encode_utf8(&families, &mut text) {
            Ok(()) => text,
            Err(e) => format!("# cannot encode the metrics: {e}\n"),
        }
    }
}
