//! State of the link from this instance to one target.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use tokio::{
    sync::watch,
    time::{Duration, Instant},
};

use crate::witness::Witness;

/// Status of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkStatus {
    /// Connections are opened directly.
    Open,
    /// New connections are refused, though another instance reaches the target. Those that are open
    /// may still work.
    Refusing,
    /// Nothing arrives, though another instance reaches the target.
    Silent,
}

/// Link to one target.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) target: SocketAddr,
    status: watch::Sender<LinkStatus>,
    /// Whether a trial has failed since the link was found broken.
    pub(crate) is_confirmed: AtomicBool,
    /// Held while the link is checked; when the last check ended.
    pub(crate) last_check: tokio::sync::Mutex<Option<Instant>>,
    created_at: Instant,
    /// Times in milliseconds after `created_at`.
    heard_at: AtomicU64,
    used_at: AtomicU64,
    /// Number of times that bytes of the target, or its acceptance of a connection, arrived directly.
    arrivals: AtomicU64,
    /// Until when no other instance is asked, as none reached the target.
    unreachable_until: AtomicU64,
    /// Connections that tell whether the target runs on.
    pub(crate) witness: Mutex<Option<Arc<Witness>>>,
}

impl Link {
    pub(crate) fn new(target: SocketAddr) -> Self {
        Self {
            target,
            status: watch::Sender::new(LinkStatus::Open),
            is_confirmed: AtomicBool::new(false),
            last_check: tokio::sync::Mutex::default(),
            created_at: Instant::now(),
            heard_at: AtomicU64::new(0),
            used_at: AtomicU64::new(0),
            arrivals: AtomicU64::new(0),
            unreachable_until: AtomicU64::new(0),
            witness: Mutex::default(),
        }
    }

    fn now_ms(&self) -> u64 {
        self.created_at.elapsed().as_millis() as u64
    }

    pub(crate) fn status(&self) -> LinkStatus {
        *self.status.borrow()
    }

    /// Whether the link has been broken for some time. A target that restarts can look so for an instant.
    pub(crate) fn is_broken(&self) -> bool {
        self.status() != LinkStatus::Open && self.is_confirmed.load(Ordering::Relaxed)
    }

    /// Changes the status; returns whether it was another one.
    pub(crate) fn set(&self, status: LinkStatus) -> bool {
        self.status.send_if_modified(|current| std::mem::replace(current, status) != status)
    }

    /// Resolves when the link becomes silent.
    pub(crate) async fn silent(&self) {
        let mut status = self.status.subscribe();
        if status.wait_for(|status| *status == LinkStatus::Silent).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Records that bytes of the target arrived on a direct connection.
    pub(crate) fn record_heard(&self) {
        self.heard_at.store(self.now_ms(), Ordering::Relaxed);
        self.arrivals.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that the target accepted a direct connection.
    pub(crate) fn record_opened(&self) {
        self.arrivals.fetch_add(1, Ordering::Relaxed);
    }

    /// Increases whenever anything of the target arrives directly.
    pub(crate) fn arrivals(&self) -> u64 {
        self.arrivals.load(Ordering::Relaxed)
    }

    /// Time since bytes of the target arrived last.
    pub(crate) fn silent_for(&self) -> Duration {
        let heard_at = self.heard_at.load(Ordering::Relaxed);
        Duration::from_millis(self.now_ms().saturating_sub(heard_at))
    }

    pub(crate) fn record_used(&self) {
        self.used_at.store(self.now_ms(), Ordering::Relaxed);
    }

    pub(crate) fn unused_for(&self) -> Duration {
        let used_at = self.used_at.load(Ordering::Relaxed);
        Duration::from_millis(self.now_ms().saturating_sub(used_at))
    }

    /// Records that no other instance reaches the target either.
    pub(crate) fn record_unreachable(&self, memory: Duration) {
        let until = self.now_ms() + memory.as_millis() as u64;
        self.unreachable_until.store(until, Ordering::Relaxed);
    }

    pub(crate) fn is_unreachable(&self) -> bool {
        self.now_ms() < self.unreachable_until.load(Ordering::Relaxed)
    }
}
