//! Bodies of responses of plain services, and those that have neither a length nor chunks and end with their
//! connection.
//!
//! The kernel closes the connections of a process that crashes like any others, so the end of such a body
//! may be that of its target.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http::Response;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use shallotdrum_engine::error_chain;
use shallotdrum_links::{Unanswered, WitnessUse, ends_with_connection};
use shallotdrum_telemetry::{Metrics, event};
use shallotdrum_types::{RequestId, TargetId};
use tokio::task::JoinHandle;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a target's response. One that ends with its connection fails at its end unless the target
/// answers after it.
pub(crate) struct TargetBody {
    body: Incoming,
    /// Asks the target at the end; absent if the framing shows the end.
    unproven: Option<Option<WitnessUse>>,
    /// Check of whether the target answers after the end.
    end_check: Option<JoinHandle<Result<(), Unanswered>>>,
    is_ended: bool,
    source: BodySource,
}

/// What the log says of an interrupted body.
pub(crate) struct BodySource {
    pub(crate) request: RequestId,
    pub(crate) target: TargetId,
    pub(crate) log: slog::Logger,
    pub(crate) metrics: Metrics,
}

/// Checks the end of a response's body.
pub(crate) fn check_end(
    res: Response<Incoming>,
    witness: Option<WitnessUse>,
    source: BodySource,
) -> Response<TargetBody> {
    let is_unproven = !res.body().is_end_stream() && ends_with_connection(res.headers());
    let unproven = is_unproven.then_some(witness);
    res.map(|body| TargetBody { body, unproven, end_check: None, is_ended: false, source })
}

impl TargetBody {
    fn interrupted(&mut self, error: BoxError) -> Option<Result<Frame<Bytes>, BoxError>> {
        self.is_ended = true;
        let BodySource { request, target, log, .. } = &self.source;
        event!(log, RESPONSE_INTERRUPTED; "request" => %request, "target" => %target,
            "error" => error_chain(&*error));
        Some(Err(error))
    }
}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let this = &mut *self;
        loop {
            if this.is_ended {
                return Poll::Ready(None);
            }
            if let Some(end_check) = &mut this.end_check {
                let evidence = ready!(Pin::new(end_check).poll(cx));
                this.is_ended = true;
                let evidence = evidence.unwrap_or(Err(Unanswered::Ended));
                let name = evidence.map_or_else(Unanswered::as_str, |()| "answer");
                this.source.metrics.body_ended(name);
                if evidence.is_err() {
                    let reason =
                        "the connection ended, and nothing shows that the body is complete";
                    return Poll::Ready(this.interrupted(format!("{reason}: {name}").into()));
                }
                continue;
            }
            let frame = ready!(Pin::new(&mut this.body).poll_frame(cx));
            match (frame, this.unproven.take()) {
                (None, Some(witness)) => {
                    this.end_check = Some(tokio::spawn(async move {
                        match &witness {
                            Some(witness) => witness.ask().await,
                            None => Err(Unanswered::NoWitness),
                        }
                    }));
                }
                (Some(Err(error)), _) => return Poll::Ready(this.interrupted(error.into())),
                (frame, unproven) => {
                    this.unproven = unproven;
                    return Poll::Ready(frame.map(|frame| frame.map_err(Into::into)));
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.is_ended
            || self.unproven.is_none() && self.end_check.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
