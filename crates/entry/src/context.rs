//! What an entry is given at start.

use std::{sync::Arc, time::Duration};

use futures_util::future::BoxFuture;
use shallotdrum_engine::Announcement;
use shallotdrum_owner::Forwarder;
use shallotdrum_settings::{Limits, Settings, WhenStale};
use shallotdrum_telemetry::Metrics;
use shallotdrum_types::{Region, RequestError};

use crate::{AnnounceReply, CacheEvents, Catalog, Leave, budget::RetryBudget, routing::InFlight};

/// A killed owner keeps its lease for 3.3 s; without a pause of this length a request would use up
/// its tries in less.
const REPEATED_LOSS_PAUSE: Duration = Duration::from_secs(4);

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// Region that the instance is in.
    pub region: Region,
    /// Limits of the listener.
    pub limits: Limits,
    /// What to do with requests while stale.
    pub when_stale: WhenStale,
    /// How long the listener stays open after `begin_drain`.
    pub drain_delay: Duration,
    /// Pause after a second loss of an owner, unless the owner changes before.
    pub repeated_loss_pause: Duration,
    /// Caller's headers, in lower case, that are passed on to plain services.
    pub forward_headers: Vec<String>,
}

impl From<&Settings> for EntryConfig {
    fn from(settings: &Settings) -> Self {
        Self {
            region: settings.region.clone(),
            limits: settings.limits.clone(),
            when_stale: settings.freshness.when_stale,
            drain_delay: Duration::from_millis(settings.drain_delay_ms),
            repeated_loss_pause: REPEATED_LOSS_PAUSE,
            forward_headers: settings.forward_headers.clone(),
        }
    }
}

/// Whether the instance can confirm its manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It can.
    Ready,
    /// It has no manifest yet.
    NoManifest,
    /// The last confirmation is too old.
    Stale {
        /// Time since the last confirmation.
        age: Duration,
    },
    /// The instance is stopping; it still serves requests.
    Draining,
}

/// Tells whether the instance can confirm its manifest.
pub type FreshnessFn = Arc<dyn Fn() -> Freshness + Send + Sync>;

/// Handles one kind of message of targets.
pub type TargetFn<Message, Reply> =
    Arc<dyn Fn(Message) -> BoxFuture<'static, Result<Reply, RequestError>> + Send + Sync>;

/// What an entry works with.
#[derive(Clone)]
pub struct EntryContext {
    /// Replicated state.
    pub catalog: Arc<dyn Catalog>,
    /// Client to the owners.
    pub forwarder: Forwarder,
    /// Whether the instance can confirm its manifest.
    pub is_fresh: FreshnessFn,
    /// Handles announcements of targets.
    pub announce: TargetFn<Announcement, AnnounceReply>,
    /// Handles targets that leave.
    pub leave: TargetFn<Leave, ()>,
    /// Handles cache events of engines.
    pub cache_events: TargetFn<CacheEvents, ()>,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// Log of the instance.
    pub log: slog::Logger,
}

/// What all connections of an entry share.
pub(crate) struct Shared {
    pub(crate) cfg: EntryConfig,
    pub(crate) cx: EntryContext,
    pub(crate) budget: RetryBudget,
    pub(crate) in_flight: InFlight,
    pub(crate) phase: tokio::sync::watch::Sender<Phase>,
}

/// Phase of an entry's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Accepts connections and reports ready.
    Serving,
    /// Accepts connections but reports not ready.
    Draining,
    /// The listener is closed; requests in progress are finished.
    Closing,
}
