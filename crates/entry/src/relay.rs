//! Relay of one model answer from the owner, resumed where it was interrupted.

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
    route::{Route, Watched},
};

/// Part of a relayed answer.
pub(crate) enum Piece {
    /// Part of the text, without gap or overlap.
    Text(String),
    /// The answer is whole.
    End(End),
}

/// Relay of one model answer.
pub(crate) struct Relay {
    route: Route,
    call: CompletionCall,
    open: Option<Open>,
    offset: u64,
    text: String,
    started: Instant,
    last_piece: Option<Instant>,
    metrics: SubscriberMetrics,
    is_finished: bool,
}

/// Stream of the owner that answers at present.
struct Open {
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
            open: None,
            offset: 0,
            text: String::new(),
            started,
            last_piece: None,
            is_finished: false,
        }
    }

    pub(crate) fn call(&self) -> &CompletionCall {
        &self.call
    }

    /// Returns the next part of the answer; nothing follows `Piece::End` or an error.
    pub(crate) async fn next(&mut self) -> Result<Piece, RequestError> {
        match self.try_next().await {
            Ok(Piece::End(end)) => {
                self.finish(Outcome::Answered, "none");
                Ok(Piece::End(end))
            }
            Ok(piece) => Ok(piece),
            Err(error) => {
                self.open = None;
                self.finish(error.outcome, error.kind.code());
                Err(error)
            }
        }
    }

    async fn try_next(&mut self) -> Result<Piece, RequestError> {
        loop {
            let Some(open) = &mut self.open else {
                self.connect().await?;
                continue;
            };
            let (group, owner, has_text) = (open.group.clone(), open.owner, open.has_text);
            let step = self.route.watch(owner, open.frames.next()).await;
            let error = match step {
                Ok(Some(Frame::Chunk(chunk))) => match self.take_chunk(chunk) {
                    Ok(piece) => return Ok(piece),
                    Err(reason) => ForwardError::Malformed { addr: owner.data, reason },
                },
                Ok(Some(Frame::End(end))) => match self.check_end(&end) {
                    Ok(()) => return Ok(Piece::End(end)),
                    Err(reason) => ForwardError::Malformed { addr: owner.data, reason },
                },
                Ok(Some(Frame::Error(mut error))) => {
                    // A forward that generated text did run.
                    if has_text {
                        error.outcome = Outcome::Unknown;
                    }
                    ForwardError::Refused(error)
                }
                Ok(None) => {
                    let reason = "no frame follows the end".to_owned();
                    ForwardError::Malformed { addr: owner.data, reason }
                }
                Err(Watched::Failed(error)) => error,
                Err(Watched::DeadlineExceeded) => {
                    return Err(self.route.deadline_exceeded_at_owner());
                }
            };
            self.open = None;
            self.route.recover(&group, owner, error).await?;
        }
    }

    /// Opens a stream at the group's owner, at the offset reached so far.
    async fn connect(&mut self) -> Result<(), RequestError> {
        loop {
            let (group, owner) = self.route.owner().await?;
            self.call.group = group.clone();
            self.call.request.deadline_ms = self.route.left_ms();
            self.call.request.resume =
                (self.offset > 0).then(|| Resume { offset: self.offset, text: self.text.clone() });
            let forwarder = &self.route.shared.cx.forwarder;
            let step = self.route.watch(owner, forwarder.completion(owner.data, &self.call)).await;
            let error = match step {
                Ok(frames) => {
                    if self.offset > 0 {
                        self.route.shared.cx.metrics.resumes().inc();
                        event!(
                            self.route.shared.cx.log, ENTRY_ANSWER_RESUMED;
                            "request" => %self.call.request.request, "offset" => self.offset
                        );
                    }
                    self.open = Some(Open { frames, group, owner, has_text: false });
                    return Ok(());
                }
                Err(Watched::Failed(error)) => error,
                Err(Watched::DeadlineExceeded) => {
                    return Err(self.route.deadline_exceeded_at_owner());
                }
            };
            self.route.recover(&group, owner, error).await?;
        }
    }

    fn take_chunk(&mut self, chunk: Chunk) -> Result<Piece, String> {
        if chunk.adapter != self.call.request.adapter {
            return Err(format!("the chunk was generated by {}", chunk.adapter));
        }
        if chunk.offset != self.offset {
            let (found, expected) = (chunk.offset, self.offset);
            return Err(format!("the chunk starts at token {found}, expected {expected}"));
        }
        self.route.reached();
        let now = Instant::now();
        match self.last_piece {
            None => self.metrics.first_token(now - self.started),
            Some(last) => {
                let tokens = u32::try_from(chunk.tokens).unwrap_or(u32::MAX).max(1);
                self.metrics.between_tokens((now - last) / tokens);
            }
        }
        self.last_piece = Some(now);
        self.offset += chunk.tokens;
        self.text.push_str(&chunk.text);
        if let Some(open) = &mut self.open {
            open.has_text = true;
        }
        Ok(Piece::Text(chunk.text))
    }

    fn check_end(&self, end: &End) -> Result<(), String> {
        if end.adapter != self.call.request.adapter {
            return Err(format!("the answer was generated by {}", end.adapter));
        }
        if end.usage.completion_tokens.0 != self.offset {
            let (stated, got) = (end.usage.completion_tokens, self.offset);
            return Err(format!("the answer has {stated}, but {got} arrived"));
        }
        Ok(())
    }

    /// Whole text that was relayed.
    pub(crate) fn take_text(&mut self) -> String {
        std::mem::take(&mut self.text)
    }

    fn finish(&mut self, outcome: Outcome, error: &str) {
        self.is_finished = true;
        // The request no longer counts towards its group's load.
        self.route.take_ticket();
        self.metrics.total(self.started.elapsed());
        self.route.shared.cx.metrics.finished(problem::outcome_text(outcome), error);
    }
}

impl Drop for Relay {
    /// The caller is gone; dropping the stream cancels the request at the owner.
    fn drop(&mut self) {
        if !self.is_finished {
            self.finish(Outcome::Unknown, "cancelled");
        }
    }
}
