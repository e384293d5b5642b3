//! Reports of ended places that no channel delivered, sent by JSON-RPC until their owner has them.
//!
//! A report is kept until the owner confirms it, the owner's session has ended, or the owner ends the place
//! itself after the request's deadline. The number of a place is used once, so a report that arrives twice
//! does nothing the second time.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use shallotdrum_control::ControlView;
use shallotdrum_rpc::{EndReport, MAX_WAITING, PeerApiClient, Peers};
use shallotdrum_telemetry::{Metrics, event};
use shallotdrum_types::SessionId;

use crate::owner_calls::REPORT_TIMEOUT;

/// Pause before reports are sent again; a restarted connection takes less.
const RESEND_DELAY: Duration = Duration::from_millis(250);

/// Maximum number of reports that are kept for one owner; twice those of a full connection that breaks, since
/// its requests and their places may both be reported.
const MAX_REPORTS: usize = 2 * MAX_WAITING;

/// Maximum number of reports in a message; about 200 KiB of JSON.
const MAX_REPORTS_PER_MESSAGE: usize = 1_024;

/// Why reports are dropped whose owner is gone.
const SESSION_ENDED: &str = "the owner's session has ended";

/// Reports that no channel delivered; clones share them.
#[derive(Clone)]
pub(crate) struct UndeliveredEnds(Arc<Shared>);

struct Shared {
    peers: Peers,
    view: ControlView,
    metrics: Metrics,
    log: slog::Logger,
    /// Reports by the RPC address of their owner. A task sends those of each owner that is listed.
    owners: Mutex<HashMap<SocketAddr, Reports>>,
}

/// Reports for an owner, oldest first.
struct Reports {
    /// Session of the owner that granted the places.
    owner: SessionId,
    reports: VecDeque<EndReport>,
}

/// Reports that are not sent again.
struct Dropped {
    places: usize,
    cause: &'static str,
}

impl UndeliveredEnds {
    pub(crate) fn new(
        peers: Peers,
        view: ControlView,
        metrics: Metrics,
        log: slog::Logger,
    ) -> Self {
        Self(Arc::new(Shared { peers, view, metrics, log, owners: Mutex::default() }))
    }

    fn owners(&self) -> MutexGuard<'_, HashMap<SocketAddr, Reports>> {
        self.0.owners.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends reports to the owner at an RPC address until they are delivered.
    pub(crate) fn send(&self, addr: SocketAddr, ends: Vec<EndReport>) {
        let owner = self.0.view.read(|state| {
            state.sessions().find(|session| session.info.addrs.rpc == addr).map(|s| s.id)
        });
        let Some(owner) = owner else {
            return self.log_dropped(addr, Dropped { places: ends.len(), cause: SESSION_ENDED });
        };
        let beyond = {
            let mut owners = self.owners();
            let is_new = !owners.contains_key(&addr);
            let known = owners.entry(addr).or_insert(Reports { owner, reports: VecDeque::new() });
            // Places of an earlier session of the owner ended with it.
            let is_replaced = known.owner != owner;
            if is_replaced {
                *known = Reports { owner, reports: VecDeque::new() };
            }
            known.reports.extend(ends);
            // The oldest ones are the nearest to their requests' deadlines.
            let beyond = known.reports.len().saturating_sub(MAX_REPORTS);
            known.reports.drain(..beyond);
            if is_new {
                tokio::spawn(self.clone().deliver(addr));
            }
            beyond
        };
        self.log_dropped(addr, Dropped { places: beyond, cause: "too many reports" });
    }

    /// Sends the reports of an owner until none is left.
    async fn deliver(self, addr: SocketAddr) {
        let mut is_resent = false;
        while let Some(reports) = self.next_message(addr) {
            if is_resent {
                self.0.metrics.place_ends_resent().inc_by(reports.len() as u64);
            }
            let result = self.send_once(addr, &reports).await;
            is_resent = result.is_err();
            match result {
                Ok(()) => self.remove(addr, &reports),
                Err(error) => {
                    event!(self.0.log, PLACE_END_DELAYED; "owner" => %addr, "error" => error,
                        "places" => reports.len());
                    tokio::time::sleep(RESEND_DELAY).await;
                }
            }
        }
    }

    /// Sends reports of one session.
    async fn send_once(&self, addr: SocketAddr, reports: &[EndReport]) -> Result<(), String> {
        let client = self.0.peers.get(addr).map_err(|e| e.to_string())?;
        let ended = reports.iter().map(|report| report.ended).collect();
        let sent = client.end_places(reports[0].session, ended);
        match tokio::time::timeout(REPORT_TIMEOUT, sent).await {
            Ok(sent) => sent.map_err(|e| e.to_string()),
            Err(_) => Err("timed out".to_owned()),
        }
    }

    /// Reports to send next, all of one session; `None` if there are none, after which their task ends.
    fn next_message(&self, addr: SocketAddr) -> Option<Vec<EndReport>> {
        let now = std::time::Instant::now();
        let (message, dropped) = {
            let mut owners = self.owners();
            let known = owners.get_mut(&addr)?;
            let is_live = self.0.view.read(|state| state.session(known.owner).is_some());
            let before = known.reports.len();
            known.reports.retain(|report| is_live && now < report.until);
            let cause = if is_live { "the place has expired" } else { SESSION_ENDED };
            let dropped = Dropped { places: before - known.reports.len(), cause };
            let first = known.reports.front().map(|report| report.session);
            let same = known.reports.iter().take_while(|report| Some(report.session) == first);
            let message: Vec<EndReport> = same.take(MAX_REPORTS_PER_MESSAGE).copied().collect();
            if message.is_empty() {
                owners.remove(&addr);
            }
            (message, dropped)
        };
        self.log_dropped(addr, dropped);
        (!message.is_empty()).then_some(message)
    }

    /// Removes reports that were delivered.
    fn remove(&self, addr: SocketAddr, delivered: &[EndReport]) {
        let mut owners = self.owners();
        let Some(known) = owners.get_mut(&addr) else { return };
        // The oldest ones may have been dropped meanwhile.
        for report in delivered {
            let key = |report: &EndReport| (report.session, report.ended.place);
            if known.reports.front().is_some_and(|front| key(front) == key(report)) {
                known.reports.pop_front();
            }
        }
    }

    fn log_dropped(&self, addr: SocketAddr, Dropped { places, cause }: Dropped) {
        if places > 0 {
            event!(self.0.log, PLACE_END_LOST; "owner" => %addr, "error" => cause,
                "places" => places);
        }
    }
}
