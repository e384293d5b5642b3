//! Relays event streams, and resumes an interrupted one at another target if its route allows it.

use std::sync::Arc;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use shallotdrum_owner::RunningGuard;
use shallotdrum_routes::RetryPolicy;
use shallotdrum_rpc::PlaceEnd;
use shallotdrum_telemetry::event;
use shallotdrum_types::RequestError;
use tokio::time::timeout_at;

use crate::{
    EventSplitter, Gateway, GatewayResponse, StreamBody, StreamSender,
    connections::{Connection, LINK_LOST, response_headers},
    crash::{ends_with_connection, is_alive_after_end},
    decision::SendFailure,
    errors::{target_failed, target_timed_out},
    exchange::{Received, RequestRun},
    places::Place,
    stream_log::{StreamLog, StreamOutcome},
};

/// Number of chunks buffered for the caller; while the buffer is full, the target's stream is not
/// read.
const CHANNEL_CAPACITY: usize = 8;

/// Event stream of one target, together with its place and connection.
pub(crate) struct Relay {
    gateway: Arc<Gateway>,
    place: Place,
    running: RunningGuard,
    connection: Connection,
}

/// Stream whose first event has arrived, or that ended without one.
pub(crate) struct StartedStream {
    pub(crate) response: GatewayResponse,
}

/// Cause of a broken stream whose end may be that of its target.
const TARGET_GONE: &str = "the connection ended, and the target accepts no other one";

/// Body of one target's response.
struct StreamPart {
    body: Incoming,
    /// Whether it has neither a length nor chunks.
    ends_with_connection: bool,
}

/// How the stream of one target ended.
enum StreamEnd {
    Complete,
    Broken(String),
    TimedOut,
    CallerGone,
}

impl Relay {
    pub(crate) fn new(
        gateway: Arc<Gateway>,
        place: Place,
        running: RunningGuard,
        connection: Connection,
    ) -> Self {
        Self { gateway, place, running, connection }
    }

    /// Waits for the first event, then relays the stream in a separate task.
    ///
    /// Before the first event, a failure can still be returned to the caller as an error.
    pub(crate) async fn start(
        mut self,
        run: &mut RequestRun,
        response: Response<Incoming>,
    ) -> Result<StartedStream, RequestError> {
        let (parts, mut body) = response.into_parts();
        let ends_with_connection = ends_with_connection(&parts.headers, &body);
        let mut splitter = EventSplitter::default();
        let first = loop {
            match next_chunk(run, &self.connection, &mut body).await {
                Ok(Some(chunk)) => match splitter.push(&chunk) {
                    Ok(Some(events)) => break Some(events),
                    Ok(None) => {}
                    Err(error) => return Err(self.broken_at_start(run, &error.to_string())),
                },
                Ok(None) if splitter.has_pending() => {
                    let cause = "the stream ended within its first event";
                    return Err(self.broken_at_start(run, cause));
                }
                Ok(None)
                    if ends_with_connection
                        && !is_alive_after_end(self.gateway.links(), &self.place).await =>
                {
                    return Err(self.broken_at_start(run, TARGET_GONE));
                }
                Ok(None) => break None,
                Err(StreamEnd::TimedOut) => return Err(target_timed_out()),
                Err(StreamEnd::Broken(cause)) => return Err(self.broken_at_start(run, &cause)),
                Err(_) => return Err(target_failed("the caller disconnected")),
            }
        };
        let (sender, caller_body) = StreamBody::channel(CHANNEL_CAPACITY);
        let status = parts.status;
        let body = StreamPart { body, ends_with_connection };
        let headers = response_headers(parts.headers);
        let mut run = run.take_for_relay();
        if first.is_some() {
            self.place.record_first_event();
            run.software.clone_from(&self.place.granted.software);
            let streams = &self.gateway.cx.owner.streams;
            streams.record_begin(run.id(), run.software.as_ref());
        }
        tokio::spawn(self.relay(run, first, body, splitter, sender));
        Ok(StartedStream {
            response: GatewayResponse::Stream { status, headers, body: caller_body },
        })
    }

    /// Ends a stream that broke before its first event.
    fn broken_at_start(self, run: &mut RequestRun, cause: &str) -> RequestError {
        let target = &self.place.granted.target;
        self.gateway.log_send_failure(run, target, SendFailure::Unknown, &cause);
        run.avoid.push(target.clone());
        self.gateway.check_crash(run, self.running);
        self.gateway.end_failed(self.place);
        target_failed(cause)
    }

    /// Forwards events until the stream ends, resuming at other targets if allowed.
    async fn relay(
        self,
        mut run: RequestRun,
        first: Option<Bytes>,
        mut body: StreamPart,
        mut splitter: EventSplitter,
        sender: StreamSender,
    ) {
        let Self { gateway, mut place, mut running, mut connection } = self;
        let mut ended = StreamLog {
            log: gateway.cx.log.clone(),
            request: run.id().clone(),
            target: place.granted.target.clone(),
            last_event: None,
            resumptions: 0,
            outcome: StreamOutcome::Dropped,
            started: run.req.arrived,
        };
        if let Some(first) = first
            && sender.send(first).await.is_err()
        {
            ended.outcome = StreamOutcome::CallerLeft;
            return;
        }
        loop {
            let forwarded =
                forward_events(&run, &connection, &mut body.body, &mut splitter, &sender).await;
            ended.last_event = splitter.last_id().map(str::to_owned);
            let end = match forwarded {
                StreamEnd::Complete
                    if body.ends_with_connection
                        && !is_alive_after_end(gateway.links(), &place).await =>
                {
                    StreamEnd::Broken(TARGET_GONE.to_owned())
                }
                end => end,
            };
            let cause = match end {
                StreamEnd::Complete => {
                    connection.release();
                    running.complete();
                    gateway.cx.owner.complete_relayed(&running);
                    let generation = run.req.generation.as_ref();
                    let prompt_tokens = generation.map_or(0, |g| g.prompt_tokens);
                    place.end(PlaceEnd::Answered { prompt_tokens, completion_tokens: 0 });
                    ended.outcome = StreamOutcome::Complete;
                    sender.complete();
                    return;
                }
                // Dropping the connection cancels the request at the target.
                StreamEnd::CallerGone => {
                    ended.outcome = StreamOutcome::CallerLeft;
                    return;
                }
                StreamEnd::TimedOut => "the deadline passed".to_owned(),
                StreamEnd::Broken(cause) => {
                    gateway.check_crash(&mut run, running);
                    cause
                }
            };
            let target = place.granted.target.clone();
            let is_resumable = run.route.repeat == RetryPolicy::Stream { is_resumable: true };
            event!(gateway.cx.log, STREAM_INTERRUPTED; "request" => %run.id(),
                "fingerprint" => %run.identity.request, "target" => %target,
                "cause" => &cause, "last_event" => splitter.last_id().unwrap_or(""));
            run.avoid.push(target);
            gateway.end_failed(place);
            run.resume_after = splitter.last_id().map(str::to_owned).or(run.resume_after);
            splitter.discard_pending();
            let resumed =
                match is_resumable && gateway.may_resend(&mut run, SendFailure::Unknown).await {
                    true => gateway.resume(&mut run).await,
                    false => None,
                };
            let Some(Received {
                place: next_place,
                running: next_running,
                connection: next,
                response,
            }) = resumed
            else {
                ended.outcome = StreamOutcome::Broken;
                return;
            };
            event!(gateway.cx.log, ENTRY_ANSWER_RESUMED; "request" => %run.id(),
                "target" => %next_place.granted.target);
            ended.target = next_place.granted.target.clone();
            ended.resumptions += 1;
            (place, running) = (next_place, next_running);
            let ends_with_connection = ends_with_connection(response.headers(), response.body());
            (connection, body) =
                (next, StreamPart { body: response.into_body(), ends_with_connection });
        }
    }
}

/// Returns the next bytes of a stream, or `None` at its end.
async fn next_chunk(
    run: &RequestRun,
    connection: &Connection,
    body: &mut Incoming,
) -> Result<Option<Bytes>, StreamEnd> {
    let frame = tokio::select! {
        frame = timeout_at(run.deadline, body.frame()) => frame,
        () = connection.lost() => return Err(StreamEnd::Broken(LINK_LOST.to_owned())),
    };
    connection.record_heard();
    match frame {
        Err(_) => Err(StreamEnd::TimedOut),
        Ok(None) => Ok(None),
        Ok(Some(Err(error))) => Err(StreamEnd::Broken(error.to_string())),
        // Trailers are dropped; callers do not need them.
        Ok(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
    }
}

/// Forwards events to the caller until the target's stream ends.
async fn forward_events(
    run: &RequestRun,
    connection: &Connection,
    body: &mut Incoming,
    splitter: &mut EventSplitter,
    sender: &StreamSender,
) -> StreamEnd {
    loop {
        let chunk = tokio::select! {
            chunk = next_chunk(run, connection, body) => chunk,
            () = sender.closed() => return StreamEnd::CallerGone,
        };
        let chunk = match chunk {
            Ok(Some(chunk)) => chunk,
            Ok(None) if splitter.has_pending() => {
                return StreamEnd::Broken("the stream ended within an event".to_owned());
            }
            Ok(None) => return StreamEnd::Complete,
            Err(ended) => return ended,
        };
        let events = match splitter.push(&chunk) {
            Ok(Some(events)) => events,
            Ok(None) => continue,
            Err(error) => return StreamEnd::Broken(error.to_string()),
        };
        if sender.send(events).await.is_err() {
            return StreamEnd::CallerGone;
        }
    }
}
