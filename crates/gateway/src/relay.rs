//! Relays event streams, and resumes an interrupted one at another target if its route allows it.

use std::sync::Arc;

use bytes::Bytes;
use http::{StatusCode, response::Parts};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use shallotdrum_links::WitnessUse;
use shallotdrum_owner::RunningGuard;
use shallotdrum_routes::RetryPolicy;
use shallotdrum_rpc::PlaceEnd;
use shallotdrum_telemetry::event;
use shallotdrum_types::{RequestError, TargetId};
use tokio::time::timeout_at;

use crate::{
    BodyEnd, CallerLeft, EventSplitter, Framing, Gateway, GatewayResponse, StreamBody,
    StreamSender,
    connections::{Connection, LINK_LOST, response_headers},
    continuation::{ContinuationError, EventOrder},
    decision::SendFailure,
    errors::{target_failed, target_timed_out},
    exchange::{Received, RequestRun},
    places::Place,
    progress::{RequestEnd, Stage},
    stop::stopped_unfinished,
    stream_log::{StreamLog, StreamOutcome},
};

/// Cause of a broken stream whose end may be that of its target.
const UNPROVEN_END: &str = "the connection ended, and nothing shows that the stream is complete";

/// Response of one target, together with its place and connection.
pub(crate) struct Relay {
    gateway: Arc<Gateway>,
    place: Place,
    running: RunningGuard,
    connection: Connection,
    body: Incoming,
    framing: Framing,
    /// Tells at the end of a body that ends with its connection whether its target runs on.
    witness: Option<WitnessUse>,
    splitter: EventSplitter,
}

/// How the response of one target ended.
enum StreamEnd {
    Complete(BodyEnd),
    Interrupted(Interruption),
    CallerGone,
}

/// Why the response of one target is not the stream, or not the rest of it.
enum Interruption {
    Broken(String),
    /// The target is well, but what it sends does not go on with the stream.
    Refused(ContinuationError),
    TimedOut,
    /// The caller did not read until the deadline.
    CallerStalled,
    /// This instance ends.
    Stopped,
}

impl Relay {
    /// Returns the relay of a response, and its head.
    pub(crate) fn new(gateway: Arc<Gateway>, received: Received) -> (Self, Parts) {
        let Received { place, running, connection, response, framing, witness } = received;
        let (parts, body) = response.into_parts();
        let relay = Self {
            gateway,
            place,
            running,
            connection,
            body,
            framing,
            witness,
            splitter: EventSplitter::default(),
        };
        (relay, parts)
    }

    /// Waits for the first event, then relays the stream in a separate task.
    ///
    /// Before the first event, a failure can still be returned to the caller as an error.
    pub(crate) async fn start(
        mut self,
        run: &mut RequestRun,
        head: Parts,
    ) -> Result<GatewayResponse, RequestError> {
        let mut order = EventOrder::new(run.resume_after.as_deref());
        run.progress.wait_for(Stage::FirstEvent);
        let stop_end = self.gateway.stop_end();
        let first = tokio::select! {
            first = self.first_events(run, &mut order) => first,
            () = stop_end => Err(Interruption::Stopped),
        };
        let (first, refused) = match first {
            Ok(first) => first,
            Err(Interruption::Stopped) => return Err(stopped_unfinished()),
            Err(Interruption::TimedOut | Interruption::CallerStalled) => {
                return Err(target_timed_out());
            }
            Err(Interruption::Broken(cause)) => return Err(self.broken_at_start(run, &cause)),
            Err(Interruption::Refused(error)) => return Err(self.refused_at_start(run, error)),
        };
        let (sender, body) = StreamBody::channel(&self.gateway.memory);
        // A caller that never reads on must not hold memory for good.
        tokio::spawn(sender.expire_at(run.deadline));
        let status = head.status;
        let mut run = run.take_for_relay();
        if !first.is_empty() {
            self.place.record_first_event();
            self.place.record_events(order.events());
            run.software.clone_from(&self.place.granted.software);
            self.gateway.record_begin(&run);
        }
        tokio::spawn(self.relay(run, status, first, refused, order, sender));
        Ok(GatewayResponse::Stream { status, headers: response_headers(head.headers), body })
    }

    /// Waits for the first events, of which there are none if the stream is empty. What follows them may
    /// have to be refused.
    async fn first_events(
        &mut self,
        run: &RequestRun,
        order: &mut EventOrder,
    ) -> Result<(Bytes, Option<ContinuationError>), Interruption> {
        while let Some(chunk) = self.next_chunk(run).await? {
            let Some(events) = self.split(&chunk)? else { continue };
            match order.admit(&events) {
                (first, Ok(())) if first.is_empty() => {}
                (first, Err(error)) if first.is_empty() => {
                    return Err(Interruption::Refused(error));
                }
                (first, checked) => return Ok((first, checked.err())),
            }
        }
        self.check_end(run, order).await?;
        Ok((Bytes::new(), None))
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

    /// Ends a stream whose first event can't be the one that its caller asked for.
    fn refused_at_start(self, run: &mut RequestRun, error: ContinuationError) -> RequestError {
        let target = &self.place.granted.target;
        self.gateway.log_refused(run, target, &error, run.resume_after.as_deref());
        run.avoid.push(target.clone());
        self.gateway.end_failed(self.place);
        target_failed(error)
    }

    /// Forwards events until the stream ends, resuming at other targets if allowed.
    async fn relay(
        mut self,
        mut run: RequestRun,
        status: StatusCode,
        first: Bytes,
        refused: Option<ContinuationError>,
        mut order: EventOrder,
        sender: StreamSender,
    ) {
        let gateway = self.gateway.clone();
        let mut ended = StreamLog {
            log: gateway.cx.log.clone(),
            request: run.id().clone(),
            target: self.place.granted.target.clone(),
            last_event: None,
            resumptions: 0,
            pauses: 0,
            end: None,
            outcome: StreamOutcome::Dropped,
            started: run.req.arrived,
        };
        if !first.is_empty() && sender.send(first).await.is_err() {
            ended.outcome = StreamOutcome::CallerLeft;
            return;
        }
        let mut refused = refused;
        loop {
            run.progress.wait_for(Stage::Stream);
            let end = match refused.take() {
                Some(error) => StreamEnd::Interrupted(Interruption::Refused(error)),
                None => self.forward_events(&run, &mut order, &sender).await,
            };
            ended.last_event = Some(order.last_id().to_owned());
            ended.pauses = sender.pauses();
            let target = self.place.granted.target.clone();
            let cause = match end {
                StreamEnd::Complete(end) => {
                    self.complete(&run);
                    ended.end = Some(end);
                    let (deadline, progress) = (run.deadline, run.progress.clone());
                    // The body of the request counts as held.
                    drop(run);
                    ended.outcome = match sender.complete_and_wait(deadline).await {
                        true => {
                            progress.record_end(RequestEnd::Answered);
                            StreamOutcome::Complete
                        }
                        false => StreamOutcome::CallerLeft,
                    };
                    return;
                }
                // Dropping the connection cancels the request at the target.
                StreamEnd::CallerGone => {
                    ended.outcome = StreamOutcome::CallerLeft;
                    return;
                }
                StreamEnd::Interrupted(interruption) => {
                    self.abandon(&mut run, interruption, &order)
                }
            };
            event!(gateway.cx.log, STREAM_INTERRUPTED; "request" => %run.id(),
                "fingerprint" => %run.identity.request, "target" => %target,
                "cause" => &cause, "last_event" => order.last_id());
            let resumed = tokio::select! {
                resumed = gateway.resume_stream(&mut run, status, &order) => resumed,
                () = sender.closed() => {
                    ended.outcome = StreamOutcome::CallerLeft;
                    return;
                }
            };
            let Some(received) = resumed else {
                ended.outcome = StreamOutcome::Broken;
                return;
            };
            order.begin_resumption();
            ended.target = received.place.granted.target.clone();
            ended.resumptions += 1;
            event!(gateway.cx.log, ENTRY_ANSWER_RESUMED; "request" => %run.id(),
                "target" => %ended.target);
            (self, _) = Self::new(gateway.clone(), received);
        }
    }

    /// Ends the place and returns the connection to the pool, after a complete response.
    fn complete(self, run: &RequestRun) {
        self.running.complete(Some(self.connection.opened_at()));
        self.connection.release();
        self.gateway.record_served(run);
        self.gateway.cx.owner.complete_relayed(&self.running);
        let prompt_tokens = run.req.generation.as_ref().map_or(0, |g| g.prompt_tokens);
        self.place.end(PlaceEnd::Answered { prompt_tokens, completion_tokens: 0 });
    }

    /// Ends the response of a target that another one is to go on with; returns why.
    fn abandon(
        self,
        run: &mut RequestRun,
        interruption: Interruption,
        order: &EventOrder,
    ) -> String {
        let Self { gateway, place, running, connection, body, .. } = self;
        // Cancels the request at the target, which may still be at work on it.
        drop((connection, body));
        let target = place.granted.target.clone();
        let cause = match interruption {
            Interruption::Refused(error) => {
                // The request may still crash its target.
                drop(running);
                gateway.log_refused(run, &target, &error, Some(order.last_id()));
                error.to_string()
            }
            Interruption::Broken(cause) => {
                gateway.check_crash(run, running);
                cause
            }
            Interruption::TimedOut => "the deadline passed".to_owned(),
            // These say nothing about the target.
            Interruption::CallerStalled => {
                place.end(PlaceEnd::Cancelled);
                return "the caller did not read until the deadline".to_owned();
            }
            Interruption::Stopped => {
                place.end(PlaceEnd::Cancelled);
                return "this instance stopped".to_owned();
            }
        };
        run.avoid.push(target);
        gateway.end_failed(place);
        cause
    }

    /// Forwards events to the caller until the target's response ends.
    async fn forward_events(
        &mut self,
        run: &RequestRun,
        order: &mut EventOrder,
        sender: &StreamSender,
    ) -> StreamEnd {
        let stop_end = self.gateway.stop_end();
        let forwarded = async {
            while let Some(chunk) = self.next_chunk(run).await? {
                let Some(events) = self.split(&chunk)? else { continue };
                let (events, checked) = order.admit(&events);
                self.place.record_events(order.events());
                if !events.is_empty() {
                    match timeout_at(run.deadline, sender.send(events)).await {
                        Ok(Ok(())) => {}
                        Ok(Err(CallerLeft)) => return Ok(StreamEnd::CallerGone),
                        Err(_) => return Err(Interruption::CallerStalled),
                    }
                }
                checked.map_err(Interruption::Refused)?;
            }
            self.check_end(run, order).await.map(StreamEnd::Complete)
        };
        tokio::select! {
            forwarded = forwarded => forwarded.unwrap_or_else(StreamEnd::Interrupted),
            () = sender.closed() => StreamEnd::CallerGone,
            () = stop_end => StreamEnd::Interrupted(Interruption::Stopped),
        }
    }

    /// Fails unless a body that has ended is complete.
    async fn check_end(
        &self,
        run: &RequestRun,
        order: &EventOrder,
    ) -> Result<BodyEnd, Interruption> {
        if self.splitter.has_pending() {
            return Err(Interruption::Broken("the stream ended within an event".to_owned()));
        }
        let check = BodyEnd::check(self.framing, self.witness.as_ref());
        let Ok(end) = timeout_at(run.deadline, check).await else {
            return Err(Interruption::TimedOut);
        };
        self.gateway.cx.metrics.body_ended(end.evidence());
        if !end.is_complete() {
            return Err(Interruption::Broken(format!("{UNPROVEN_END}: {}", end.evidence())));
        }
        match order.lacks_event() {
            // Whether the last event was delivered before is not known.
            true => Err(Interruption::Refused(ContinuationError::NoEvent)),
            false => Ok(end),
        }
    }

    /// Returns the events that a part of the body completes.
    fn split(&mut self, chunk: &[u8]) -> Result<Option<Bytes>, Interruption> {
        self.splitter.push(chunk).map_err(|error| Interruption::Broken(error.to_string()))
    }

    /// Returns the next bytes of the body, or `None` at its end.
    async fn next_chunk(&mut self, run: &RequestRun) -> Result<Option<Bytes>, Interruption> {
        let frame = tokio::select! {
            frame = timeout_at(run.deadline, self.body.frame()) => frame,
            () = self.connection.lost() => {
                return Err(Interruption::Broken(LINK_LOST.to_owned()));
            }
        };
        self.connection.record_heard();
        match frame {
            Err(_) => Err(Interruption::TimedOut),
            Ok(None) => Ok(None),
            Ok(Some(Err(error))) => Err(Interruption::Broken(error.to_string())),
            // Trailers are dropped; callers do not need them.
            Ok(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
        }
    }
}

impl Gateway {
    /// Resumes an interrupted stream at another target, if its route and its position allow it.
    async fn resume_stream(
        &self,
        run: &mut RequestRun,
        began_with: StatusCode,
        order: &EventOrder,
    ) -> Option<Received> {
        if run.route.repeat != (RetryPolicy::Stream { is_resumable: true }) {
            return None;
        }
        run.resume_after = order.resume_after().ok()?.map(str::to_owned);
        match self.may_resend(run, SendFailure::Unknown).await {
            true => self.resume(run, began_with).await,
            false => None,
        }
    }

    /// Logs a response that does not go on with its stream.
    pub(crate) fn log_refused(
        &self,
        run: &RequestRun,
        target: &TargetId,
        error: &ContinuationError,
        last_event: Option<&str>,
    ) {
        event!(self.cx.log, RESUMPTION_REFUSED; "request" => %run.id(), "target" => %target,
            "cause" => %error, "last_event" => last_event.unwrap_or(""));
    }

    /// Ends a send whose response can't go on with its stream.
    pub(crate) fn refuse_resumption(
        &self,
        run: &mut RequestRun,
        received: Received,
        error: &ContinuationError,
    ) -> SendFailure {
        let Received { place, response, .. } = received;
        let target = place.granted.target.clone();
        self.log_refused(run, &target, error, run.resume_after.as_deref());
        run.avoid.push(target);
        self.end_failed(place);
        match response.status().is_server_error() {
            true => SendFailure::Failed,
            false => SendFailure::Unknown,
        }
    }
}
