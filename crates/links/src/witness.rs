//! Evidence of whether the process of a target runs on after a connection to it has ended.
//!
//! A response without a length ends with its connection, and nothing in it tells whether it is
//! complete. The kernel closes the connections of a process that ends like any others, in any order
//! and over any time; this instance reads their ends when it gets to it; and another process may listen
//! at the address by then. So neither an open connection nor a listener shows that the process which
//! wrote the response has finished it.
//!
//! What does is an answer: a connection on which the process answered before the request was sent
//! brings the answer to a question that was asked after the end of the response was read. A `Witness`
//! keeps such connections to one target, two if it can, as targets close connections now and then.
//! With a target that closes each connection after one answer, it keeps one that was opened before the
//! request was sent and is asked once.
//!
//! An answer shows that the process runs, not that it meant to end the response there. A process that
//! ends its connections one after the other while it answers and listens can't be told from a sound one.
//!
//! Architecture Invariant: all connections of a witness belong to one process. Another one joins them
//! only if an older one answers after it was opened, and the last one to end ends the witness. This
//! relies on one process at a time serving at an address, and on its listener ending with it.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, StatusCode, Version, header};
use http_body::Body;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use tokio::{
    sync::{Notify, mpsc, oneshot, watch},
    task::AbortHandle,
    time::{Instant, sleep_until, timeout},
};

use crate::{ConnectError, Links, ReadMeter, ends_with_connection, is_final, links::timeout_read};

/// Returns a request without an effect whose answer shows that a target runs.
pub type QuestionFn = Arc<dyn Fn() -> Request<Empty<Bytes>> + Send + Sync>;

/// Number of connections of a witness.
const CONNECTIONS: usize = 2;

/// Timeout for an answer. A sound target may fall silent for about a second, and an instance with a small
/// share of a core takes some hundred milliseconds to ask and to read.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 256 * 1024;

/// First interval between questions while a response is being read, if the target names no idle timeout;
/// shorter than any in use.
const MIN_INTERVAL: Duration = Duration::from_millis(60);

/// Maximum of that interval, whatever idle timeout the target names. Also the interval at which a connection
/// that has carried no request is replaced, as targets wait for the first one for seconds.
const MAX_INTERVAL: Duration = Duration::from_secs(2);

/// Factor by which the youngest connection is left idle for longer than the others, to learn whether the
/// target keeps it.
const INTERVAL_GROWTH: u32 = 2;

/// Time for which a request waits for an answer on connections that were idle for long: some round trips.
const RECHECK_TIMEOUT: Duration = Duration::from_millis(20);

/// Time after a failure until another connection is opened beside the one that is left.
const ADD_DELAY: Duration = Duration::from_secs(1);

/// Time for which a target that gave no first answer in time is not asked again.
const FAILURE_MEMORY: Duration = Duration::from_secs(1);

/// Time without a request after which a witness is given up.
const LINGER: Duration = Duration::from_secs(20);

/// Why a witness did not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unanswered {
    /// The response was not expected to end with its connection, or no connection was open before.
    NoWitness,
    /// All connections had ended before the question.
    Ended,
    /// The connections ended with the question.
    EndedUnanswered,
    /// No answer came in time.
    TimedOut,
    /// Another process answered.
    OtherProcess,
    /// The process answered, and accepts no other connection.
    Refuses,
}

impl Unanswered {
    /// Name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoWitness => "no-witness",
            Self::Ended => "witness-ended",
            Self::EndedUnanswered => "witness-ended-unanswered",
            Self::TimedOut => "no-answer",
            Self::OtherProcess => "other-process",
            Self::Refuses => "refuses-connections",
        }
    }
}

/// Connections to a target that it has answered on; ends when dropped.
#[derive(Debug)]
pub(crate) struct Witness {
    state: watch::Receiver<State>,
    asks: mpsc::UnboundedSender<Ask>,
    /// Number of responses that rely on it.
    in_use: Arc<AtomicUsize>,
    changed: Arc<Notify>,
    task: AbortHandle,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Has not answered yet.
    Opening,
    /// Has answered, and keeps its connections until this time without a question.
    Answered {
        until: Instant,
    },
    /// The target gave no first answer.
    Failed {
        retry_at: Instant,
    },
    Ended,
}

/// Why a witness can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotOpen {
    /// The target does not answer.
    Failed,
    /// The connections have ended since the target answered.
    Ended,
}

#[derive(Debug)]
struct Ask {
    is_after_end: bool,
    reply: oneshot::Sender<Result<(), Unanswered>>,
}

impl Drop for Witness {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Use of a witness for one response; the target had answered on it before the request was sent.
#[derive(Debug)]
pub struct WitnessUse(Arc<Witness>);

impl Drop for WitnessUse {
    fn drop(&mut self) {
        self.0.in_use.fetch_sub(1, Ordering::Relaxed);
    }
}

impl WitnessUse {
    /// Asks the target, after the end of a response was read.
    pub async fn ask(&self) -> Result<(), Unanswered> {
        self.0.ask(true).await
    }
}

impl Witness {
    /// Opens connections to a target in the background.
    pub(crate) fn open(links: Links, target: SocketAddr, question: QuestionFn) -> Arc<Self> {
        let (state_tx, state) = watch::channel(State::Opening);
        let (asks, asked) = mpsc::unbounded_channel();
        let in_use = Arc::new(AtomicUsize::new(0));
        let changed = Arc::new(Notify::new());
        let attendant = Attendant {
            links,
            target,
            question,
            connections: Vec::new(),
            is_single_use: false,
            interval: MIN_INTERVAL,
            is_settled: false,
            state: state_tx,
            in_use: in_use.clone(),
            changed: changed.clone(),
        };
        let task = tokio::spawn(attendant.run(asked)).abort_handle();
        Arc::new(Self { state, asks, in_use, changed, task })
    }

    /// Whether another witness may be opened in its place.
    pub(crate) fn is_over(&self) -> bool {
        match *self.state.borrow() {
            State::Ended => true,
            State::Failed { retry_at } => Instant::now() >= retry_at,
            State::Opening | State::Answered { .. } => false,
        }
    }

    /// Uses the witness for a request that is about to be sent, once it is known to be open.
    pub(crate) async fn begin_use(self: Arc<Self>) -> Result<WitnessUse, NotOpen> {
        self.in_use.fetch_add(1, Ordering::Relaxed);
        let witness_use = WitnessUse(self);
        let witness = &witness_use.0;
        let mut state = witness.state.clone();
        let settled = state.wait_for(|state| *state != State::Opening).await;
        match settled.map(|state| *state) {
            Ok(State::Answered { until }) if Instant::now() < until => {
                // From now on the connections are kept.
                witness.changed.notify_one();
                Ok(witness_use)
            }
            // The target may have closed the connections by now. A busy one answers later.
            Ok(State::Answered { .. }) => {
                match timeout(RECHECK_TIMEOUT, witness.ask(false)).await {
                    Ok(Err(_)) => Err(NotOpen::Ended),
                    Ok(Ok(())) | Err(_) => Ok(witness_use),
                }
            }
            Ok(State::Ended) => Err(NotOpen::Ended),
            _ => Err(NotOpen::Failed),
        }
    }

    async fn ask(&self, is_after_end: bool) -> Result<(), Unanswered> {
        let (reply, answer) = oneshot::channel();
        self.asks.send(Ask { is_after_end, reply }).map_err(|_| Unanswered::Ended)?;
        answer.await.unwrap_or(Err(Unanswered::Ended))
    }
}

/// Task of a witness.
struct Attendant {
    links: Links,
    target: SocketAddr,
    question: QuestionFn,
    /// Oldest first.
    connections: Vec<Connection>,
    /// Whether the target closes each connection after one answer.
    is_single_use: bool,
    /// Interval of questions within which the target has kept idle connections.
    interval: Duration,
    /// Whether a longer interval has failed, or is not wanted.
    is_settled: bool,
    state: watch::Sender<State>,
    in_use: Arc<AtomicUsize>,
    /// Notified when a connection ends or a use begins.
    changed: Arc<Notify>,
}

struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    meter: ReadMeter,
    /// Ends the connection when dropped.
    _task: ConnectionTask,
    /// When the target answered last, the connection was opened, or another one could not be opened.
    answered_at: Instant,
    /// Interval of questions by the idle timeout that the target names.
    stated_interval: Option<Duration>,
    is_closing: bool,
}

struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Attendant {
    async fn run(mut self, mut asks: mpsc::UnboundedReceiver<Ask>) {
        if let Err(unanswered) = self.open_first().await {
            let retry_at = match unanswered {
                Unanswered::TimedOut => Instant::now() + FAILURE_MEMORY,
                _ => Instant::now(),
            };
            self.state.send_replace(State::Failed { retry_at });
            return;
        }
        self.record_answer();
        self.attend(&mut asks).await;
        self.state.send_replace(State::Ended);
    }

    async fn open_first(&mut self) -> Result<(), Unanswered> {
        let mut first = self.open().await?;
        first.ask(&self.question).await?;
        self.is_single_use = first.is_closing;
        if self.is_single_use {
            first = self.open().await?;
        }
        self.connections.push(first);
        Ok(())
    }

    /// Answers until no connection is left, or the witness is not used any more.
    async fn attend(&mut self, asks: &mut mpsc::UnboundedReceiver<Ask>) {
        let mut used_at = Instant::now();
        let mut add_at = used_at;
        loop {
            self.connections.retain(|c| !c.is_closing && !c.sender.is_closed());
            if self.connections.is_empty() {
                return;
            }
            let is_used = self.in_use.load(Ordering::Relaxed) > 0;
            if is_used {
                used_at = Instant::now();
            }
            let is_short = self.connections.len() < CONNECTIONS && !self.is_single_use;
            // One connection is enough as long as it lasts.
            if is_used && is_short && used_at >= add_at && self.ask_and_add().await.is_err() {
                add_at = Instant::now() + ADD_DELAY;
                continue;
            }
            let wake_at = self.due_at(is_used);
            let mut batch = Vec::new();
            tokio::select! {
                received = asks.recv_many(&mut batch, usize::MAX) => {
                    if received == 0 {
                        return;
                    }
                    let answer = match batch.iter().any(|ask| ask.is_after_end) {
                        true => self.ask_after_end().await,
                        false if self.connections.len() < CONNECTIONS => self.ask_and_add().await,
                        false => self.ask_any().await,
                    };
                    for ask in batch {
                        let _ = ask.reply.send(answer);
                    }
                }
                // A connection has ended, or the first response relies on the witness.
                () = self.changed.notified() => {}
                () = sleep_until(wake_at) => match is_used {
                    true if self.is_single_use => {
                        if self.ask_and_add().await.is_err() {
                            // The one that is left may still serve the end of a response.
                            let now = Instant::now();
                            self.connections.iter_mut().for_each(|c| c.answered_at = now);
                        }
                    }
                    true => self.ask_idle().await,
                    false if used_at.elapsed() > LINGER => return,
                    false => {}
                },
            }
        }
    }

    /// Time for which a connection may be idle.
    fn idle_limit(&self, position: usize) -> Duration {
        let is_youngest = position > 0 && position + 1 == self.connections.len();
        match self.connections[position].stated_interval {
            _ if self.is_single_use => MAX_INTERVAL,
            Some(stated) => stated,
            None if is_youngest && !self.is_settled => self.interval * INTERVAL_GROWTH,
            None => self.interval,
        }
    }

    /// When the next question is due.
    fn due_at(&self, is_used: bool) -> Instant {
        let due = |(position, c): (usize, &Connection)| c.answered_at + self.idle_limit(position);
        match self.connections.iter().enumerate().map(due).min() {
            Some(due_at) if is_used => due_at,
            _ => Instant::now() + MAX_INTERVAL,
        }
    }

    fn record_answer(&self) {
        let limit = self.connections.first().map_or(MIN_INTERVAL, |_| self.idle_limit(0));
        self.state.send_replace(State::Answered { until: Instant::now() + limit });
    }

    async fn open(&self) -> Result<Connection, Unanswered> {
        let stream =
            self.links.connect(self.target, "witness").await.map_err(|error| match error {
                ConnectError::Failed(_) => Unanswered::Refuses,
                ConnectError::TimedOut | ConnectError::NoDetour => Unanswered::TimedOut,
            })?;
        let meter = stream.meter().clone();
        let handshake = http1::handshake(stream).await;
        let (sender, connection) = handshake.map_err(|_| Unanswered::EndedUnanswered)?;
        let changed = self.changed.clone();
        let run = async move {
            // Its questions report an error themselves.
            let _ = connection.await;
            changed.notify_one();
        };
        let _task = ConnectionTask(tokio::spawn(run).abort_handle());
        let (answered_at, stated_interval) = (Instant::now(), None);
        Ok(Connection { sender, meter, _task, answered_at, stated_interval, is_closing: false })
    }

    /// Asks until one connection brings an answer; drops those that bring none.
    async fn ask_any(&mut self) -> Result<(), Unanswered> {
        let mut unanswered = Unanswered::Ended;
        while let Some(connection) = self.connections.iter_mut().find(|c| !c.is_closing) {
            match connection.ask(&self.question).await {
                Ok(()) => {
                    self.record_answer();
                    return Ok(());
                }
                Err(error) => {
                    unanswered = error;
                    connection.is_closing = true;
                }
            }
        }
        Err(unanswered)
    }

    /// Asks on a connection that the target may close as idle otherwise.
    async fn ask_idle(&mut self) {
        let now = Instant::now();
        let is_due = |p: &usize| self.connections[*p].answered_at + self.idle_limit(*p) <= now;
        let Some(position) = (0..self.connections.len()).find(is_due) else { return };
        let limit = self.idle_limit(position);
        let connection = &mut self.connections[position];
        let is_trial = limit > self.interval && connection.stated_interval.is_none();
        let is_answered = connection.ask(&self.question).await.is_ok();
        connection.is_closing |= !is_answered;
        match is_trial {
            true if is_answered => self.interval = limit.min(MAX_INTERVAL),
            // The idle timeout may be just above the interval that was kept.
            true => {
                self.interval = (self.interval / INTERVAL_GROWTH).max(MIN_INTERVAL);
                self.is_settled = true;
            }
            false => {}
        }
        self.is_settled |= self.interval >= MAX_INTERVAL;
        if is_answered {
            self.record_answer();
        }
    }

    /// Opens a connection, which joins the others if one of them answers after it, and asks on one that
    /// may end with the answer.
    async fn ask_and_add(&mut self) -> Result<(), Unanswered> {
        let added = self.open().await?;
        self.ask_any().await?;
        self.is_single_use = self.connections.iter().any(|c| c.is_closing);
        self.connections.retain(|c| !c.is_closing);
        self.connections.truncate(CONNECTIONS - 1);
        self.connections.push(added);
        self.record_answer();
        Ok(())
    }

    /// Asks after the end of a response.
    ///
    /// A process that still answers while it ends has closed its listener.
    async fn ask_after_end(&mut self) -> Result<(), Unanswered> {
        if self.connections.len() < CONNECTIONS {
            return self.ask_and_add().await;
        }
        self.ask_any().await?;
        match self.links.is_listening(self.target).await {
            true => Ok(()),
            false => Err(Unanswered::Refuses),
        }
    }
}

impl Connection {
    async fn ask(&mut self, question: &QuestionFn) -> Result<(), Unanswered> {
        let answered = timeout_read(ANSWER_TIMEOUT, self.exchange(question())).await;
        answered.unwrap_or(Err(Unanswered::TimedOut))
    }

    async fn exchange(&mut self, question: Request<Empty<Bytes>>) -> Result<(), Unanswered> {
        let ended = |_| Unanswered::EndedUnanswered;
        self.sender.ready().await.map_err(ended)?;
        self.meter.expect_head();
        let response = self.sender.send_request(question).await.map_err(ended)?;
        self.meter.record_progress();
        let (parts, body) = response.into_parts();
        if !is_final(parts.status) {
            return Err(Unanswered::EndedUnanswered);
        }
        let ends_with_connection = !body.is_end_stream() && ends_with_connection(&parts.headers);
        let read = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        read.map_err(|_| Unanswered::EndedUnanswered)?;
        // The latter two are those of a proxy that speaks for its server.
        let is_other =
            [StatusCode::MISDIRECTED_REQUEST, StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
        if is_other.contains(&parts.status) {
            return Err(Unanswered::OtherProcess);
        }
        let text = |name| parts.headers.get(name).and_then(|value| value.to_str().ok());
        let option = text(header::CONNECTION).unwrap_or_default().to_ascii_lowercase();
        self.is_closing = ends_with_connection
            || option.contains("close")
            || parts.version == Version::HTTP_10 && !option.contains("keep-alive");
        let stated = text(header::HeaderName::from_static("keep-alive"))
            .and_then(|value| value.split(',').find_map(|p| p.trim().strip_prefix("timeout=")))
            .and_then(|seconds| seconds.trim().parse().ok())
            .map(Duration::from_secs);
        self.stated_interval = stated.map(|idle| (idle / 2).clamp(MIN_INTERVAL, MAX_INTERVAL));
        self.answered_at = Instant::now();
        Ok(())
    }
}
