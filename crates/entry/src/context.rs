//! Configuration and dependencies of an entry, and the state that its connections share.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use futures_util::future::BoxFuture;
use shallotdrum_engine::Announcement;
use shallotdrum_owner::Forwarder;
use shallotdrum_settings::{Limits, Settings, WhenStale};
use shallotdrum_telemetry::Metrics;
use shallotdrum_types::{FreshnessFn, Region, RequestError};
use tokio::time::Instant;

use crate::{AnnounceReply, CacheEvents, Catalog, Leave, budget::RetryBudget, routing::InFlight};

/// Minimum delay before a retry after repeated losses. Outlasts the lease of a killed owner
/// (3.3 s); with a shorter delay a request would use up its retries before the group has a new
/// owner.
const REPEATED_LOSS_PAUSE: Duration = Duration::from_secs(4);

/// Configuration of an entry, derived from the instance's [`Settings`].
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// Region of the instance; groups of this region are preferred.
    pub region: Region,
    /// Limits on connections, headers, bodies and deadlines.
    pub limits: Limits,
    /// Whether requests are served or rejected while the manifest is stale.
    pub when_stale: WhenStale,
    /// How long the listener stays open after [`begin_drain`](crate::EntryHandle::begin_drain).
    pub drain_delay: Duration,
    /// How long after [`begin_drain`](crate::EntryHandle::begin_drain) requests that are still in progress end
    /// with an error, so that their callers have it before the process ends.
    pub stop_timeout: Duration,
    /// Minimum delay before each retry once a request has lost two owners; ends early if the owner
    /// changes.
    pub repeated_loss_pause: Duration,
    /// Lower-case names of the caller's headers that are forwarded to plain services.
    pub forward_headers: Vec<String>,
}

impl From<&Settings> for EntryConfig {
    fn from(settings: &Settings) -> Self {
        Self {
            region: settings.region.clone(),
            limits: settings.limits.clone(),
            when_stale: settings.freshness.when_stale,
            drain_delay: Duration::from_millis(settings.drain_delay_ms),
            stop_timeout: settings.grace_period(),
            repeated_loss_pause: REPEATED_LOSS_PAUSE,
            forward_headers: settings.forward_headers.clone(),
        }
    }
}

/// Handler for one type of message from targets.
pub type TargetFn<Message, Reply> =
    Arc<dyn Fn(Message) -> BoxFuture<'static, Result<Reply, RequestError>> + Send + Sync>;

/// Dependencies of an entry.
#[derive(Clone)]
pub struct EntryContext {
    /// View of the replicated state.
    pub catalog: Arc<dyn Catalog>,
    /// Client that forwards requests to group owners.
    pub forwarder: Forwarder,
    /// Reports the freshness of the manifest.
    pub freshness: FreshnessFn,
    /// Handles `POST /targets/announce`.
    pub announce: TargetFn<Announcement, AnnounceReply>,
    /// Handles `POST /targets/leave`.
    pub leave: TargetFn<Leave, ()>,
    /// Handles `POST /targets/cache-events`.
    pub cache_events: TargetFn<CacheEvents, ()>,
    /// Metrics registry of the instance.
    pub metrics: Metrics,
    /// Logger of the instance.
    pub log: slog::Logger,
}

/// State shared by all connections of an entry.
pub(crate) struct Shared {
    pub(crate) cfg: EntryConfig,
    pub(crate) cx: EntryContext,
    pub(crate) budget: RetryBudget,
    pub(crate) in_flight: InFlight,
    pub(crate) phase: tokio::sync::watch::Sender<Phase>,
    /// When requests end that are still in progress; set when the instance stops.
    pub(crate) stop_at: OnceLock<Instant>,
}

/// Shutdown phase of an entry; the order of the variants is the order of the phases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Accepts connections; `/readyz` depends only on the manifest.
    Serving,
    /// Accepts connections, but `/readyz` reports 503.
    Draining,
    /// The listener is closed; requests in progress run to completion.
    Closing,
}
