//! What requests of an entry call: one channel for each owner.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use shallotdrum_allotments::AllotmentReply;
use shallotdrum_telemetry::{Metrics, event};
use shallotdrum_types::{ChannelId, ConnectionNumber, RequestNumber};
use tokio::{sync::Notify, task::AbortHandle};

use super::{
    connection,
    messages::{AllotmentCall, EntryMessage},
    state::{Answer, AnswerReceiver, ChannelError, ChannelState, EndReport, Failed},
};
use crate::{PlaceReply, PlaceRequest};

/// Delivers reports of ended places to the owner at an RPC address when no channel to it can be opened.
pub type UndeliveredFn = Arc<dyn Fn(SocketAddr, Vec<EndReport>) + Send + Sync>;

/// What channels need of their instance.
#[derive(Clone)]
pub struct ChannelConfig {
    /// Takes the reports that no connection could deliver.
    pub undelivered: UndeliveredFn,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// Log of the instance.
    pub log: slog::Logger,
}

/// Channels of an entry by the data address of the owner; clones share them.
#[derive(Clone)]
pub struct PlaceChannels {
    cfg: ChannelConfig,
    channels: Arc<Mutex<HashMap<SocketAddr, PlaceChannel>>>,
}

impl PlaceChannels {
    /// Creates an empty set; a channel is created when its owner is first asked.
    pub fn new(cfg: ChannelConfig) -> Self {
        Self { cfg, channels: Arc::default() }
    }

    /// Returns the channel to the owner with these addresses, unless the owner is known to have none.
    ///
    /// The connection is opened when the channel is first used.
    pub fn get(&self, data: SocketAddr, rpc: SocketAddr) -> Option<PlaceChannel> {
        let channel = {
            let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
            let create = || PlaceChannel::new(self.cfg.clone(), data, rpc);
            channels.entry(data).or_insert_with(create).clone()
        };
        let is_unsupported = channel.shared().state().is_unsupported(Instant::now());
        (!is_unsupported).then_some(channel)
    }

    /// Counts a request that is sent by JSON-RPC, as its owner has no channel.
    pub fn record_fallback(&self) {
        self.cfg.metrics.place_channel_fallbacks().inc();
    }

    /// Drops the channels to owners that are gone; their reports are lost with the owner.
    pub fn retain(&self, is_current: impl Fn(SocketAddr) -> bool) {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        channels.retain(|addr, _| is_current(*addr));
    }
}

/// Channel to one owner; clones share it, and its task ends with the last one.
#[derive(Clone)]
pub struct PlaceChannel(Arc<Running>);

struct Running {
    shared: Arc<Shared>,
    task: AbortHandle,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What requests and the task of a channel share.
pub(crate) struct Shared {
    pub(crate) id: ChannelId,
    pub(crate) addr: SocketAddr,
    rpc: SocketAddr,
    pub(crate) cfg: ChannelConfig,
    /// Tells the task that there is something to write.
    pub(crate) wake: Notify,
    state: Mutex<ChannelState>,
}

impl Shared {
    pub(crate) fn state(&self) -> MutexGuard<'_, ChannelState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn deliver(&self, ends: Vec<EndReport>) {
        if !ends.is_empty() {
            (self.cfg.undelivered)(self.rpc, ends);
        }
    }

    pub(crate) fn log_broken(
        &self,
        error: &str,
        number: ConnectionNumber,
        failed: Failed,
        ends: usize,
    ) {
        let metrics = &self.cfg.metrics;
        metrics.place_channel_failures().inc();
        metrics.place_channel_failed_requests().inc_by(failed.requests as u64);
        metrics.place_ends_resent().inc_by(failed.resent as u64);
        event!(self.cfg.log, PLACE_CHANNEL_BROKEN; "owner" => %self.addr, "error" => error,
            "connection" => number.0, "failed_requests" => failed.requests, "resent_ends" => failed.resent,
            "ends_by_rpc" => ends);
    }
}

/// Request that waits for its reply; cancelled when dropped before.
struct Call {
    shared: Arc<Shared>,
    number: RequestNumber,
    /// Report of the place that is asked for, if it is not used.
    unused: Option<EndReport>,
    rx: AnswerReceiver,
    is_done: bool,
}

impl Call {
    async fn answer(mut self) -> Result<Answer, ChannelError> {
        let answer = (&mut self.rx).await;
        self.is_done = true;
        answer.unwrap_or_else(|_| Err(ChannelError::Broken("the channel was dropped".to_owned())))
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if self.is_done {
            return;
        }
        let mut state = self.shared.state();
        let has_cancelled = state.cancel(self.number, Instant::now());
        // The reply may have arrived and not been read.
        let granted = match (self.unused, self.rx.try_recv()) {
            (
                Some(report),
                Ok(Ok(Answer::Place(PlaceReply::Granted(_) | PlaceReply::Charged { .. }))),
            ) => Some(report),
            _ => None,
        };
        if let Some(report) = granted {
            state.end(report);
        }
        drop(state);
        if has_cancelled || granted.is_some() {
            self.shared.wake.notify_one();
        }
    }
}

impl PlaceChannel {
    fn new(cfg: ChannelConfig, addr: SocketAddr, rpc: SocketAddr) -> Self {
        let shared = Arc::new(Shared {
            id: ChannelId(rand::random()),
            addr,
            rpc,
            cfg,
            wake: Notify::new(),
            state: Mutex::new(ChannelState::new(Instant::now())),
        });
        let task = tokio::spawn(connection::run(shared.clone())).abort_handle();
        Self(Arc::new(Running { shared, task }))
    }

    fn shared(&self) -> &Arc<Shared> {
        &self.0.shared
    }

    /// Sends a request and waits for its reply.
    async fn call(
        &self,
        unused: Option<EndReport>,
        message: impl FnOnce(RequestNumber) -> EntryMessage,
    ) -> Result<Answer, ChannelError> {
        let shared = self.shared();
        let submitted = shared.state().submit(unused, Instant::now(), message);
        let (number, rx) = submitted.inspect_err(|error| {
            if *error == ChannelError::Overloaded {
                shared.cfg.metrics.place_channel_refused().inc();
            }
        })?;
        shared.cfg.metrics.place_channel_requests().inc();
        shared.wake.notify_one();
        Call { shared: shared.clone(), number, unused, rx, is_done: false }.answer().await
    }

    /// Waits for a place. Dropping the future cancels the request, or releases the place.
    pub async fn take_place(&self, request: PlaceRequest) -> Result<PlaceReply, ChannelError> {
        let unused = EndReport::unused(&request, Instant::now());
        let take = Box::new(request.into());
        match self.call(Some(unused), |number| EntryMessage::Take(number, take)).await? {
            Answer::Place(reply) => Ok(reply),
            answer => Err(unexpected(&answer)),
        }
    }

    /// Changes a share of a customer's allotment; the level is absent if the step has none.
    pub async fn change_allotment(
        &self,
        call: AllotmentCall,
    ) -> Result<Option<AllotmentReply>, ChannelError> {
        match self.call(None, |number| EntryMessage::Allotment(number, call)).await? {
            Answer::Allotment(reply) => Ok(reply),
            answer => Err(unexpected(&answer)),
        }
    }

    /// Changes a share of a customer's allotment without waiting for the reply. The change is lost with the
    /// connection.
    pub fn send_allotment(&self, call: AllotmentCall) -> Result<(), ChannelError> {
        let message = |number| EntryMessage::Allotment(number, call);
        self.shared().state().send(Instant::now(), message)?;
        self.shared().wake.notify_one();
        Ok(())
    }

    /// Waits for the owner's reply to a ping.
    pub async fn ping(&self) -> Result<(), ChannelError> {
        match self.call(None, EntryMessage::Ping).await? {
            Answer::Pong => Ok(()),
            answer => Err(unexpected(&answer)),
        }
    }

    /// Reports that a place ended. The report goes over the next connection if this one breaks, or to
    /// [`ChannelConfig::undelivered`].
    pub fn end_place(&self, report: EndReport) {
        self.shared().state().end(report);
        self.shared().wake.notify_one();
    }

    /// Number of requests that wait for a reply.
    pub fn waiting(&self) -> usize {
        self.shared().state().waiting()
    }
}

fn unexpected(answer: &Answer) -> ChannelError {
    ChannelError::Failed(format!("unexpected reply: {answer:?}"))
}
