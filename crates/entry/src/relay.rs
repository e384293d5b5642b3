//! Relays a completion from the group's owner; after an interruption it resumes at the last offset.

use std::sync::Arc;

use shallotdrum_engine::{Chunk, End, Resume};
use shallotdrum_owner::{CompletionCall, ForwardError, Frame, FrameStream};
use shallotdrum_telemetry::{SubscriberMetrics, event};
use shallotdrum_types::{GroupId, Outcome, PoolId, RequestError};
use tokio::time::Instant;

use crate::{
    Owner,
    context::Shared,
    problem,
    route::{Route, StepError},
};

/// Item of a relayed completion.
pub(crate) enum RelayEvent {
    /// Next part of the text, contiguous with the previous one.
    Text(String),
    /// The completion has ended and all of its text was received.
    End(End),
}

/// Relay of one completion, across as many owners as its retries need.
pub(crate) struct Relay {
    route: Route,
    call: CompletionCall,
    owner_stream: Option<OwnerStream>,
    /// Number of tokens received so far.
    offset: u64,
    /// Text received so far, which an owner needs to resume the completion.
    text: String,
    started: Instant,
    last_chunk_at: Option<Instant>,
    metrics: SubscriberMetrics,
    is_finished: bool,
}

/// Response stream of the current owner.
struct OwnerStream {
    frames: FrameStream,
    group: GroupId,
    owner: Owner,
    has_text: bool,
}

impl Relay {
    pub(crate) fn new(
        shared: &Arc<Shared>,
        call: CompletionCall,
        pool: PoolId,
        started: Instant,
        deadline: Instant,
    ) -> Self {
        let key = call.request.adapter.adapter.as_str().to_owned();
        Self {
            route: Route::new(shared, pool, key, deadline),
            metrics: shared.cx.metrics.subscriber(&call.subscriber),
            call,
            owner_stream: None,
            offset: 0,
            text: String::new(),
            started,
            last_chunk_at: None,
            is_finished: false,
        }
    }

    pub(crate) fn call(&self) -> &CompletionCall {
        &self.call
    }

    /// Returns the next event; must not be called again after `RelayEvent::End` or an error.
    pub(crate) async fn next(&mut self) -> Result<RelayEvent, RequestError> {
        match self.try_next().await {
            Ok(RelayEvent::End(end)) => {
                self.finish(Outcome::Answered, "none");
                Ok(RelayEvent::End(end))
            }
            Ok(event) => Ok(event),
            Err(error) => {
                self.owner_stream = None;
                self.finish(error.outcome, error.kind.code());
                Err(error)
            }
        }
    }

    async fn try_next(&mut self) -> Result<RelayEvent, RequestError> {
        loop {
            let Some(owner_stream) = &mut self.owner_stream else {
                self.connect().await?;
                continue;
            };
            let (group, owner, has_text) =
                (owner_stream.group.clone(), owner_stream.owner, owner_stream.has_text);
            let step = self.route.run_step(owner, owner_stream.frames.next()).await;
            let error = match step {
                Ok(Some(Frame::Chunk(chunk))) => match self.take_chunk(chunk) {
                    Ok(event) => return Ok(event),
                    Err(reason) => ForwardError::Malformed { addr: owner.addr, reason },
                },
                Ok(Some(Frame::End(end))) => match self.check_end(&end) {
                    Ok(()) => return Ok(RelayEvent::End(end)),
                    Err(reason) => ForwardError::Malformed { addr: owner.addr, reason },
                },
                Ok(Some(Frame::Error(mut error))) => {
                    // Tokens were generated, so the request did run.
                    if has_text {
                        error.outcome = Outcome::Unknown;
                    }
                    ForwardError::Refused(error)
                }
                Ok(None) => {
                    let reason = "the stream has already ended".to_owned();
                    ForwardError::Malformed { addr: owner.addr, reason }
                }
                Err(StepError::Failed(error)) => error,
                Err(StepError::DeadlineExceeded) => {
                    return Err(self.route.owner_deadline_exceeded());
                }
            };
            self.owner_stream = None;
            self.route.recover(&group, owner, error).await?;
        }
    }

    /// Opens a stream from the group's owner, starting at the current offset.
    async fn connect(&mut self) -> Result<(), RequestError> {
        loop {
            let (group, owner) = self.route.resolve_owner().await?;
            self.call.group = group.clone();
            self.call.request.deadline_ms = self.route.left_ms();
            self.call.request.resume =
                (self.offset > 0).then(|| Resume { offset: self.offset, text: self.text.clone() });
            let forwarder = &self.route.shared.cx.forwarder;
            let step =
                self.route.run_step(owner, forwarder.completion(owner.addr, &self.call)).await;
            let error = match step {
                Ok(frames) => {
                    if self.offset > 0 {
                        self.route.shared.cx.metrics.resumes().inc();
                        event!(
                            self.route.shared.cx.log, ENTRY_ANSWER_RESUMED;
                            "request" => %self.call.request.request, "offset" => self.offset
                        );
                    }
                    self.owner_stream = Some(OwnerStream { frames, group, owner, has_text: false });
                    return Ok(());
                }
                Err(StepError::Failed(error)) => error,
                Err(StepError::DeadlineExceeded) => {
                    return Err(self.route.owner_deadline_exceeded());
                }
            };
            self.route.recover(&group, owner, error).await?;
        }
    }

    fn take_chunk(&mut self, chunk: Chunk) -> Result<RelayEvent, String> {
        if chunk.adapter != self.call.request.adapter {
            return Err(format!("the chunk was generated by adapter {}", chunk.adapter));
        }
        if chunk.offset != self.offset {
            let (found, expected) = (chunk.offset, self.offset);
            return Err(format!("the chunk starts at token {found}, expected {expected}"));
        }
        self.route.reset_backoff();
        let now = Instant::now();
        match self.last_chunk_at {
            None => self.metrics.first_token(now - self.started),
            Some(last) => {
                let tokens = u32::try_from(chunk.tokens).unwrap_or(u32::MAX).max(1);
                self.metrics.between_tokens((now - last) / tokens);
            }
        }
        self.last_chunk_at = Some(now);
        self.offset += chunk.tokens;
        self.text.push_str(&chunk.text);
        if let Some(owner_stream) = &mut self.owner_stream {
            owner_stream.has_text = true;
        }
        Ok(RelayEvent::Text(chunk.text))
    }

    fn check_end(&self, end: &End) -> Result<(), String> {
        if end.adapter != self.call.request.adapter {
            return Err(format!("the completion was generated by adapter {}", end.adapter));
        }
        if end.usage.completion_tokens.0 != self.offset {
            let (stated, got) = (end.usage.completion_tokens, self.offset);
            return Err(format!("the end frame states {stated}, but {got} tokens were received"));
        }
        Ok(())
    }

    /// Takes all text received so far.
    pub(crate) fn take_text(&mut self) -> String {
        std::mem::take(&mut self.text)
    }

    fn finish(&mut self, outcome: Outcome, error: &str) {
        self.is_finished = true;
        // From here on the request does not count towards its group's load.
        self.route.take_in_flight_guard();
        self.metrics.total(self.started.elapsed());
        self.route.shared.cx.metrics.finished(problem::outcome_text(outcome), error);
    }
}

impl Drop for Relay {
    /// Reached without `finish` if the caller has disconnected; dropping the stream cancels the
    /// request at the owner.
    fn drop(&mut self) {
        if !self.is_finished {
            self.finish(Outcome::Unknown, "cancelled");
        }
    }
}
