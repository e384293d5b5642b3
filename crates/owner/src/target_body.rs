//! Bodies of responses of plain services, and those that have neither a length nor chunks and end with their
//! connection.
//!
//! The kernel closes the connections of a process that crashes like any others, so the end of such a body
//! may be that of its target.

use std::{
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http::{
    Response,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use shallotdrum_engine::error_chain;
use shallotdrum_links::{EndEvidence, Links};
use shallotdrum_telemetry::{Metrics, event};
use shallotdrum_types::{RequestId, TargetId};
use tokio::task::JoinHandle;

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a target's response. One that ends with its connection fails at its end if the target accepts
/// no other connection.
pub(crate) struct TargetBody {
    body: Incoming,
    /// Target to probe at the end; absent if the end shows otherwise.
    probed: Option<(Links, SocketAddr)>,
    /// Check of whether the target is alive after the end.
    end_check: Option<JoinHandle<EndEvidence>>,
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
    links: &Links,
    addr: SocketAddr,
    source: BodySource,
) -> Response<TargetBody> {
    let ends_with_connection = !res.body().is_end_stream()
        && !res.headers().contains_key(CONTENT_LENGTH)
        && !res.headers().contains_key(TRANSFER_ENCODING);
    let probed = ends_with_connection.then(|| (links.clone(), addr));
    res.map(|body| TargetBody { body, probed, end_check: None, is_ended: false, source })
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
                if let Ok(evidence) = evidence {
                    this.source.metrics.body_ended(evidence.as_str());
                }
                if !evidence.is_ok_and(EndEvidence::is_alive) {
                    let reason = "the connection ended, and the target accepts no other one";
                    return Poll::Ready(this.interrupted(reason.into()));
                }
                continue;
            }
            let frame = ready!(Pin::new(&mut this.body).poll_frame(cx));
            match (frame, this.probed.take()) {
                (None, Some((links, addr))) => {
                    this.end_check =
                        Some(tokio::spawn(
                            async move { links.evidence_after_end(addr, None).await },
                        ));
                }
                (Some(Err(error)), _) => return Poll::Ready(this.interrupted(error.into())),
                (frame, probed) => {
                    this.probed = probed;
                    return Poll::Ready(frame.map(|frame| frame.map_err(Into::into)));
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.is_ended
            || self.probed.is_none() && self.end_check.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
