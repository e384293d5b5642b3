//! Owner's side of channels: one task for each connection, and none for each request.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::BytesMut;
use futures_util::{FutureExt, StreamExt, future::BoxFuture, stream::FuturesUnordered};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use shallotdrum_allotments::AllotmentReply;
use shallotdrum_telemetry::{Metrics, event};
use shallotdrum_types::{
    ChannelId, ConnectionNumber, RequestError, RequestErrorKind, RequestNumber, SessionId,
};
use tokio::{net::TcpStream, sync::Notify, time};

use super::{
    CHANNEL_HEADER, CONNECTION_HEADER, IDLE_TIMEOUT, MAX_WAITING, PLACES_PROTOCOL,
    frame::{FrameError, decode, encode, read_available, write_available},
    messages::{AllotmentCall, EntryMessage, OwnerMessage, Take},
    state::PlaceKey,
};
use crate::{EndedPlace, PlaceReply, PlaceRequest, RpcError};

/// Maximum number of requests that are begun before the connection is read again, so that ends of places
/// do not wait for a long queue of requests.
const MAX_BEGUN: usize = 64;

/// Maximum size of replies that an entry has not read; its connection is then ended. Replies to the most
/// requests that may wait take about 2 MiB.
const MAX_UNREAD_BYTES: usize = 4 * 1024 * 1024;

/// `Retry-After` of a request beyond the bound of a connection.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Future with the result of a method.
pub type MethodFuture<T> = BoxFuture<'static, Result<T, RpcError>>;

/// Function that carries out a request.
pub type MethodFn<Q, T> = Box<dyn Fn(Q) -> MethodFuture<T> + Send + Sync>;

/// Functions that carry out the requests of entries.
pub struct ChannelHandlers {
    /// Waits for a place. The place is requested when the future is first polled.
    pub take: MethodFn<PlaceRequest, PlaceReply>,
    /// Ends places of a session.
    pub end: Box<dyn Fn(SessionId, Vec<EndedPlace>) + Send + Sync>,
    /// Changes a share of an allotment; the level is absent if the step has none.
    pub allotment: MethodFn<AllotmentCall, Option<AllotmentReply>>,
}

/// Server of channels; upgrades requests for [`super::PLACES_PATH`].
pub struct PlaceServer {
    handlers: ChannelHandlers,
    /// Newest connection of each channel.
    connections: Mutex<HashMap<ChannelId, (ConnectionNumber, Arc<Gate>)>>,
    metrics: Metrics,
    log: slog::Logger,
}

/// Closed when a channel has a newer connection.
#[derive(Default)]
struct Gate {
    is_closed: Mutex<bool>,
    closed: Notify,
}

impl Gate {
    /// While the guard is held, a newer connection does not begin.
    fn lock(&self) -> MutexGuard<'_, bool> {
        self.is_closed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn close(&self) {
        *self.lock() = true;
        self.closed.notify_one();
    }
}

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
enum EndReason {
    #[error("the entry closed the connection")]
    Closed,
    #[error("the entry opened another connection")]
    Replaced,
    #[error("the entry sent nothing for {} s", IDLE_TIMEOUT.as_secs())]
    Idle,
    #[error("the entry does not read its replies")]
    Unread,
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error(transparent)]
    Io(io::Error),
}

impl From<io::Error> for EndReason {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::UnexpectedEof => Self::Closed,
            _ => Self::Io(error),
        }
    }
}

impl PlaceServer {
    /// Creates a server that carries out requests by the handlers.
    pub fn new(handlers: ChannelHandlers, metrics: Metrics, log: slog::Logger) -> Arc<Self> {
        Arc::new(Self { handlers, connections: Mutex::default(), metrics, log })
    }

    /// Responds to the request for an upgrade, and serves the connection after it.
    pub fn upgrade(self: &Arc<Self>, mut req: Request<Incoming>) -> Response<()> {
        let mut response = Response::new(());
        if !offers_protocol(req.headers()) {
            *response.status_mut() = StatusCode::UPGRADE_REQUIRED;
            response
                .headers_mut()
                .insert(header::UPGRADE, HeaderValue::from_static(PLACES_PROTOCOL));
            return response;
        }
        *response.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
        let headers = response.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
        headers.insert(header::UPGRADE, HeaderValue::from_static(PLACES_PROTOCOL));
        let server = self.clone();
        tokio::spawn(async move {
            let channel = parsed_header(req.headers(), CHANNEL_HEADER);
            let number = parsed_header(req.headers(), CONNECTION_HEADER);
            // An error means that the entry is gone.
            let Ok(upgraded) = hyper::upgrade::on(&mut req).await else { return };
            let Ok(parts) = upgraded.downcast::<TokioIo<TcpStream>>() else { return };
            let (stream, read) = (parts.io.into_inner(), BytesMut::from(parts.read_buf));
            server.serve(&stream, read, channel.zip(number)).await;
        });
        response
    }

    fn connections(&self) -> MutexGuard<'_, HashMap<ChannelId, (ConnectionNumber, Arc<Gate>)>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves a connection until it ends.
    async fn serve(
        &self,
        stream: &TcpStream,
        read: BytesMut,
        id: Option<(ChannelId, ConnectionNumber)>,
    ) {
        let gate = Arc::<Gate>::default();
        if let Some((channel, number)) = id {
            let mut connections = self.connections();
            match connections.get(&channel) {
                Some((newest, _)) if *newest >= number => return,
                Some((_, earlier)) => earlier.close(),
                None => {}
            }
            connections.insert(channel, (number, gate.clone()));
        }
        let (channel, number) = id.unwrap_or_default();
        event!(self.log, PLACE_CHANNEL_ACCEPTED; "channel" => channel.0, "connection" => number.0);
        self.metrics.place_channels_served().inc();
        let mut connection = Connection::new(self, read);
        let reason = connection.run(stream, &gate).await;
        let (waiting, unsent) = connection.end();
        self.metrics.place_channels_served().dec();
        event!(self.log, PLACE_CHANNEL_ENDED; "channel" => channel.0, "connection" => number.0,
            "error" => %reason, "waiting" => waiting, "released" => unsent);
        let mut connections = self.connections();
        if connections.get(&channel).is_some_and(|(newest, _)| *newest == number) {
            connections.remove(&channel);
        }
    }
}

/// Whether an entry offers a version of the protocol that this server has.
fn offers_protocol(headers: &HeaderMap) -> bool {
    let offered = headers.get_all(header::UPGRADE).iter().filter_map(|value| value.to_str().ok());
    offered.flat_map(|value| value.split(',')).any(|name| name.trim() == PLACES_PROTOCOL)
}

fn parsed_header<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Reply to a request, and the place that it grants.
type Outcome = (OwnerMessage, Option<Granted>);

/// Place that is granted by a reply.
struct Granted {
    key: PlaceKey,
    /// Returns the units that the request was charged for.
    return_units: Option<Box<AllotmentCall>>,
}

/// Request that waits.
struct Begun {
    number: RequestNumber,
    kind: BegunKind,
}

enum BegunKind {
    Take(Option<Granted>, MethodFuture<PlaceReply>),
    Allotment(MethodFuture<Option<AllotmentReply>>),
}

impl Future for Begun {
    type Output = Outcome;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Outcome> {
        let number = self.number;
        let failed = |error: &RpcError| (OwnerMessage::Failed(number, error.to_string()), None);
        match &mut self.kind {
            BegunKind::Take(granted, fut) => fut.as_mut().poll(cx).map(|reply| match reply {
                Ok(reply) => {
                    let granted = granted.take().and_then(|granted| match &reply {
                        PlaceReply::Charged { .. } => Some(granted),
                        PlaceReply::Granted(_) => Some(Granted { return_units: None, ..granted }),
                        PlaceReply::NoRoom { .. } | PlaceReply::Refused { .. } => None,
                    });
                    (OwnerMessage::Place(number, reply.into()), granted)
                }
                Err(error) => failed(&error),
            }),
            BegunKind::Allotment(fut) => fut.as_mut().poll(cx).map(|reply| match reply {
                Ok(reply) => (OwnerMessage::Allotment(number, reply.map(Into::into)), None),
                Err(error) => failed(&error),
            }),
        }
    }
}

/// Connection of an entry.
struct Connection<'a> {
    server: &'a PlaceServer,
    read: BytesMut,
    /// Requests that are read and not begun, in their order.
    arrived: VecDeque<(RequestNumber, Box<Take>)>,
    /// Places of the requests in `arrived` that are not cancelled.
    pending: HashSet<PlaceKey>,
    begun: FuturesUnordered<Begun>,
    out: BytesMut,
    /// Number of bytes written.
    written: u64,
    /// Granted places whose reply is not written completely, with the position of its end.
    unsent: VecDeque<(u64, Granted)>,
}

impl<'a> Connection<'a> {
    fn new(server: &'a PlaceServer, read: BytesMut) -> Self {
        Self {
            server,
            read,
            arrived: VecDeque::new(),
            pending: HashSet::new(),
            begun: FuturesUnordered::new(),
            out: BytesMut::new(),
            written: 0,
            unsent: VecDeque::new(),
        }
    }

    async fn run(&mut self, stream: &TcpStream, gate: &Gate) -> EndReason {
        let mut last_read = Instant::now();
        let mut idle = std::pin::pin!(time::sleep_until((last_read + IDLE_TIMEOUT).into()));
        loop {
            match read_available(stream, &mut self.read) {
                Ok(true) => last_read = Instant::now(),
                Ok(false) => {}
                Err(error) => return error.into(),
            }
            {
                let is_closed = gate.lock();
                if *is_closed {
                    return EndReason::Replaced;
                }
                if let Err(error) = self.receive() {
                    return error.into();
                }
            }
            while let Some(Some(outcome)) = self.begun.next().now_or_never() {
                if let Err(error) = self.reply(outcome) {
                    return error.into();
                }
            }
            if let Err(error) = self.write(stream) {
                return error.into();
            }
            if self.out.len() > MAX_UNREAD_BYTES {
                return EndReason::Unread;
            }
            if !self.arrived.is_empty() {
                // Lets other tasks run, and the connection be read.
                tokio::task::yield_now().await;
                continue;
            }
            let ready = tokio::select! {
                ready = stream.readable() => ready,
                ready = stream.writable(), if !self.out.is_empty() => ready,
                Some(outcome) = self.begun.next(), if !self.begun.is_empty() => {
                    if let Err(error) = self.reply(outcome) {
                        return error.into();
                    }
                    Ok(())
                }
                () = gate.closed.notified() => return EndReason::Replaced,
                () = idle.as_mut() => {
                    if last_read.elapsed() >= IDLE_TIMEOUT {
                        return EndReason::Idle;
                    }
                    idle.as_mut().reset((last_read + IDLE_TIMEOUT).into());
                    Ok(())
                }
            };
            if let Err(error) = ready {
                return error.into();
            }
        }
    }

    /// Carries out what has arrived: requests for places in their order, the rest at once.
    ///
    /// Whatever a reply confirms has been carried out then, apart from requests for places.
    fn receive(&mut self) -> Result<(), FrameError> {
        let mut received = 0;
        while let Some(message) = decode(&mut self.read)? {
            received += 1;
            match message {
                EntryMessage::End(session, ended) => {
                    let ended = ended.into_iter().map(Into::into).collect();
                    (self.server.handlers.end)(session, ended);
                }
                EntryMessage::Ping(number) => self.reply((OwnerMessage::Pong(number), None))?,
                EntryMessage::Allotment(number, call) => {
                    let reply = (self.server.handlers.allotment)(call);
                    self.begin(Begun { number, kind: BegunKind::Allotment(reply) })?;
                }
                EntryMessage::Cancel(session, place) => {
                    // A request that has not begun is skipped when its turn comes.
                    if !self.pending.remove(&(session, place)) {
                        (self.server.handlers.end)(session, vec![EndedPlace::cancelled(place)]);
                    }
                }
                EntryMessage::Take(number, _)
                    if self.begun.len() + self.pending.len() >= MAX_WAITING =>
                {
                    self.refuse(number)?;
                }
                EntryMessage::Take(number, take) => {
                    self.pending.insert(take.key());
                    self.arrived.push_back((number, take));
                }
            }
        }
        if received > 0 {
            self.server.metrics.place_channel_frames_received().inc_by(received);
        }
        for _ in 0..MAX_BEGUN {
            let Some((number, take)) = self.arrived.pop_front() else { break };
            let key = take.key();
            if self.pending.remove(&key) {
                let granted = Granted { key, return_units: take.return_units() };
                let reply = (self.server.handlers.take)(PlaceRequest::from(*take));
                self.begin(Begun { number, kind: BegunKind::Take(Some(granted), reply) })?;
            }
        }
        Ok(())
    }

    fn refuse(&mut self, number: RequestNumber) -> Result<(), FrameError> {
        self.server.metrics.place_channel_refused().inc();
        let detail = format!("{MAX_WAITING} requests wait on the channel for places");
        let error = RequestError::not_run(RequestErrorKind::Overloaded, detail)
            .retry_after(OVERLOADED_RETRY_AFTER);
        let reply = PlaceReply::Refused { error, group_wait_ms: None };
        self.reply((OwnerMessage::Place(number, reply.into()), None))
    }

    fn begin(&mut self, mut begun: Begun) -> Result<(), FrameError> {
        // The first poll registers the request, so that a cancellation finds it. Most have their reply
        // at once. The others are polled again with the waker of this task.
        match (&mut begun).now_or_never() {
            Some(outcome) => self.reply(outcome),
            None => {
                self.begun.push(begun);
                Ok(())
            }
        }
    }

    fn reply(&mut self, (message, granted): Outcome) -> Result<(), FrameError> {
        let encoded = encode(&message, &mut self.out);
        self.server.metrics.place_channel_frames_sent().inc();
        if let Some(granted) = granted {
            self.unsent.push_back((self.written + self.out.len() as u64, granted));
        }
        encoded
    }

    fn write(&mut self, stream: &TcpStream) -> io::Result<()> {
        let written = write_available(stream, &mut self.out)?;
        if written > 0 {
            self.server.metrics.place_channel_writes().inc();
        }
        self.written += written as u64;
        while self.unsent.front().is_some_and(|(end, _)| *end <= self.written) {
            self.unsent.pop_front();
        }
        Ok(())
    }

    /// Cancels the requests that wait, and releases the places whose reply the entry cannot have, with their
    /// units; returns the numbers of both.
    fn end(mut self) -> (usize, usize) {
        let waiting = self.begun.len() + self.pending.len();
        self.begun.clear();
        let released = self.unsent.len();
        for (_, Granted { key: (session, place), return_units }) in self.unsent {
            (self.server.handlers.end)(session, vec![EndedPlace::cancelled(place)]);
            if let Some(call) = return_units {
                tokio::spawn((self.server.handlers.allotment)(*call));
            }
        }
        (waiting, released)
    }
}
