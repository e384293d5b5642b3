//! Passes on a stream of events, and takes it up at another target where that is allowed.

use std::sync::Arc;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use shallotdrum_routes::Repeat;
use shallotdrum_rpc::PlaceEnd;
use shallotdrum_telemetry::event;
use shallotdrum_types::RequestError;
use tokio::{sync::mpsc, time::timeout_at};

use crate::{
    Answer, EventSplitter, Gateway, StreamBody,
    connections::Connection,
    decision::Attempt,
    exchange::{Received, Run, answer_headers, target_failed, timed_out},
    places::Place,
    request::Broken,
};

/// Parts of a stream that wait for the caller; a slow caller holds back its target.
const QUEUED_PARTS: usize = 8;

/// Stream of one target.
pub(crate) struct Relay {
    gateway: Arc<Gateway>,
    place: Place,
    connection: Connection,
}

/// Stream whose first event has arrived.
pub(crate) struct Started {
    pub(crate) answer: Answer,
}

/// How a target's part of a stream ended.
enum Ended {
    Whole,
    Broken(String),
    TimedOut,
    CallerGone,
}

impl Relay {
    pub(crate) fn new(gateway: Arc<Gateway>, place: Place, connection: Connection) -> Self {
        Self { gateway, place, connection }
    }

    /// Waits for the first event, then relays in a task of its own.
    ///
    /// Before the first event, a failure can still be told to the caller.
    pub(crate) async fn start(
        self,
        run: &mut Run,
        response: Response<Incoming>,
    ) -> Result<Started, RequestError> {
        let (parts, mut body) = response.into_parts();
        let mut splitter = EventSplitter::default();
        let first = loop {
            match next_part(run, &mut body).await {
                Ok(Some(part)) => {
                    if let Some(events) = splitter.push(&part) {
                        break Some(events);
                    }
                }
                Ok(None) if splitter.has_pending() => {
                    self.place.end(PlaceEnd::Failed);
                    return Err(target_failed("the stream ended within its first event"));
                }
                Ok(None) => break None,
                Err(Ended::TimedOut) => return Err(timed_out()),
                Err(Ended::Broken(cause)) => {
                    run.avoid.push(self.place.granted.target.clone());
                    self.place.end(PlaceEnd::Failed);
                    return Err(target_failed(cause));
                }
                Err(_) => return Err(target_failed("the caller left")),
            }
        };
        let (tx, rx) = mpsc::channel(QUEUED_PARTS);
        let status = parts.status;
        let headers = answer_headers(parts.headers);
        let run = run.take();
        tokio::spawn(self.relay(run, first, body, splitter, tx));
        Ok(Started { answer: Answer::Stream { status, headers, body: StreamBody(rx) } })
    }

    async fn relay(
        self,
        mut run: Run,
        first: Option<Bytes>,
        body: Incoming,
        mut splitter: EventSplitter,
        tx: mpsc::Sender<Result<Bytes, Broken>>,
    ) {
        let Self { gateway, mut place, mut connection } = self;
        let mut body = body;
        if let Some(first) = first
            && tx.send(Ok(first)).await.is_err()
        {
            return;
        }
        loop {
            let ended = pass_on(&run, &mut body, &mut splitter, &tx).await;
            let cause = match ended {
                Ended::Whole => {
                    connection.keep();
                    let generation = run.req.generation.as_ref();
                    let prompt_tokens = generation.map_or(0, |g| g.prompt_tokens);
                    place.end(PlaceEnd::Answered { prompt_tokens, completion_tokens: 0 });
                    return;
                }
                // Dropping the connection cancels the request at the target.
                Ended::CallerGone => return,
                Ended::TimedOut => "the deadline has passed".to_owned(),
                Ended::Broken(cause) => cause,
            };
            let target = place.granted.target.clone();
            let is_resumable = run.route.repeat == Repeat::Stream { is_resumable: true };
            event!(gateway.cx.log, STREAM_BROKEN; "request" => %run.id(), "target" => %target,
                "cause" => &cause, "last_event" => splitter.last_id().unwrap_or(""));
            run.avoid.push(target);
            place.end(PlaceEnd::Failed);
            run.resume_after = splitter.last_id().map(str::to_owned).or(run.resume_after);
            splitter.discard_pending();
            let resumed = match is_resumable && gateway.may_resend(&mut run, Attempt::Unknown) {
                true => gateway.resume(&mut run).await,
                false => None,
            };
            let Some(Received { place: next_place, connection: next, response }) = resumed else {
                // The caller must not take the answer for a whole one.
                let _ = tx.send(Err(Broken)).await;
                return;
            };
            event!(gateway.cx.log, ENTRY_ANSWER_RESUMED; "request" => %run.id(),
                "target" => %next_place.granted.target);
            (place, connection, body) = (next_place, next, response.into_body());
        }
    }
}

/// Next bytes of a stream; `None` at its end.
async fn next_part(run: &Run, body: &mut Incoming) -> Result<Option<Bytes>, Ended> {
    match timeout_at(run.deadline, body.frame()).await {
        Err(_) => Err(Ended::TimedOut),
        Ok(None) => Ok(None),
        Ok(Some(Err(error))) => Err(Ended::Broken(error.to_string())),
        // Trailers carry nothing that callers need.
        Ok(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
    }
}

/// Passes on events until the target's part of the stream ends.
async fn pass_on(
    run: &Run,
    body: &mut Incoming,
    splitter: &mut EventSplitter,
    tx: &mpsc::Sender<Result<Bytes, Broken>>,
) -> Ended {
    loop {
        let part = tokio::select! {
            part = next_part(run, body) => part,
            () = tx.closed() => return Ended::CallerGone,
        };
        let part = match part {
            Ok(Some(part)) => part,
            Ok(None) if splitter.has_pending() => {
                return Ended::Broken("the stream ended within an event".to_owned());
            }
            Ok(None) => return Ended::Whole,
            Err(ended) => return ended,
        };
        if let Some(events) = splitter.push(&part)
            && tx.send(Ok(events)).await.is_err()
        {
            return Ended::CallerGone;
        }
    }
}
