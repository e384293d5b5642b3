//! Completion requests: `POST /v1/completions` and `POST /v1/chat/completions`.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http::{
    HeaderValue, Request, Response,
    header::{CACHE_CONTROL, CONTENT_TYPE},
};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use shallotdrum_engine::{CompletionRequest, Priority};
use shallotdrum_owner::CompletionCall;
use shallotdrum_telemetry::event;
use shallotdrum_types::{
    GroupId, Outcome, RequestError, RequestErrorKind, RequestId, SubscriberId,
};
use tokio::time::Instant;

use crate::{
    ResolvedModel, auth,
    body::{self, Body, BodyError},
    context::Shared,
    fingerprint,
    openai::{self, Api, ParsedRequest, ResponseBuilder},
    problem::{self, Problem},
    relay::{Relay, RelayEvent},
    router::{MODEL_HEADER, OUTCOME_HEADER},
    sse,
};

/// Default of `max_tokens`: enough for a short draft, and small enough that a request without the
/// field does not occupy a slot in a batch for minutes.
const DEFAULT_MAX_TOKENS: u32 = 256;

pub(crate) async fn handle(
    shared: &Arc<Shared>,
    api: Api,
    req: Request<Incoming>,
    request: &RequestId,
) -> Result<Response<Body>, RequestError> {
    let started = Instant::now();
    let subscriber = auth::subscriber(shared, req.headers())?;
    let deadline = auth::deadline(shared, req.headers())?;
    let body = body::read(req.into_body(), &shared.cfg.limits).await?;
    let parsed = openai::parse(api, &body)?;
    // The body may have taken long.
    let freshness = auth::check_ready(shared)?;
    let model = shared.cx.catalog.model(&subscriber, &parsed.model);
    let model = model.map_err(|error| freshness.refuse(error.into()))?;
    let (stream, include_usage) = (parsed.stream, parsed.include_usage);
    let call = build_call(shared, parsed, &model, subscriber, request);
    let call = call.map_err(|error| freshness.refuse(error))?;
    let fingerprint = fingerprint(&call.subscriber, &call.request);
    if shared.cx.catalog.is_quarantined(&fingerprint) {
        let detail = format!(
            "request {fingerprint} crashed targets and is quarantined; ask an operator to lift it"
        );
        return Err(RequestError::not_run(RequestErrorKind::Quarantined, detail));
    }
    let name = format!("{}/{}", model.base, model.adapter);
    let model_header = HeaderValue::from_str(&name).map_err(|_| internal_error())?;
    let builder = ResponseBuilder::new(api, request, name);
    let relay = Relay::new(shared, call, model.pool, started, deadline);
    let mut res = if stream {
        stream_response(shared, relay, builder, include_usage).await?
    } else {
        buffered_response(relay, &builder).await?
    };
    res.headers_mut().insert(MODEL_HEADER, model_header);
    Ok(res)
}

fn build_call(
    shared: &Shared,
    parsed: ParsedRequest,
    model: &ResolvedModel,
    subscriber: SubscriberId,
    request: &RequestId,
) -> Result<CompletionCall, RequestError> {
    let limit = model.max_output_tokens.unwrap_or(u32::MAX).min(model.max_context_tokens);
    let max_tokens = parsed.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS.min(limit));
    if max_tokens > limit {
        let detail = format!("max_tokens: expected at most {limit} for this model and subscriber");
        return Err(RequestError::not_run(RequestErrorKind::InvalidRequest, detail));
    }
    Ok(CompletionCall {
        // Placeholder until a group is chosen.
        group: GroupId { pool: model.pool.clone(), region: shared.cfg.region.clone(), shard: 0 },
        subscriber,
        request: CompletionRequest {
            request: request.clone(),
            base_model: model.base.clone(),
            adapter: model.adapter.clone(),
            prompt: parsed.prompt,
            max_tokens,
            temperature: parsed.temperature,
            stop: parsed.stop,
            seed: parsed.seed,
            priority: Priority::default(),
            deadline_ms: 0,
            resume: None,
        },
    })
}

fn internal_error() -> RequestError {
    RequestError::not_run(RequestErrorKind::Internal, "cannot build the request or the response")
}

/// Buffers the completion and responds once it is complete.
async fn buffered_response(
    mut relay: Relay,
    builder: &ResponseBuilder,
) -> Result<Response<Body>, RequestError> {
    let end = loop {
        if let RelayEvent::End(end) = relay.next().await? {
            break end;
        }
    };
    let text = relay.take_text();
    let mut buf = Vec::with_capacity(text.len() + 512);
    let response = builder.complete(&text, end.finish_reason, end.usage);
    serde_json::to_writer(&mut buf, &response).map_err(|_| internal_error())?;
    let mut res = Response::new(body::full(buf));
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res.headers_mut().insert(OUTCOME_HEADER, problem::outcome_value(Outcome::Answered));
    Ok(res)
}

/// Body of a streamed response, as server-sent events.
struct EventStream {
    shared: Arc<Shared>,
    relay: Relay,
    builder: ResponseBuilder,
    include_usage: bool,
    first: Option<RelayEvent>,
    is_role_sent: bool,
    state: StreamState,
}

/// Progress of a streamed response.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamState {
    /// More events follow.
    Open,
    /// The error event was sent; the connection is aborted next.
    Failed,
    /// The body has ended.
    Closed,
}

/// Responds with server-sent events; an error before the first event becomes a plain response.
async fn stream_response(
    shared: &Arc<Shared>,
    mut relay: Relay,
    builder: ResponseBuilder,
    include_usage: bool,
) -> Result<Response<Body>, RequestError> {
    let first = Some(relay.next().await?);
    let shared = shared.clone();
    let is_role_sent = false;
    let events = EventStream {
        shared,
        relay,
        builder,
        include_usage,
        first,
        is_role_sent,
        state: StreamState::Open,
    };
    let body = stream::unfold(events, |mut events| async move {
        let item = events.next().await?;
        Some((item.map(Frame::data), events))
    });
    let mut res = Response::new(StreamBody::new(body).boxed_unsync());
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    // The outcome is not known yet; a stream that ends with `[DONE]` is complete.
    headers.insert(OUTCOME_HEADER, problem::outcome_value(Outcome::Unknown));
    Ok(res)
}

impl EventStream {
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        match self.state {
            StreamState::Open => {}
            StreamState::Closed => return None,
            StreamState::Failed => {
                self.state = StreamState::Closed;
                // Yielding once lets hyper write the error event before the connection is closed.
                tokio::task::yield_now().await;
                return Some(Err("the completion failed before its end".into()));
            }
        }
        let relayed = match self.first.take() {
            Some(relayed) => Ok(relayed),
            None => self.relay.next().await,
        };
        let event = match relayed {
            Ok(RelayEvent::Text(text)) => {
                let is_first = !std::mem::replace(&mut self.is_role_sent, true);
                sse::data(&self.builder.text(&text, is_first, self.include_usage))
            }
            Ok(RelayEvent::End(end)) => {
                self.state = StreamState::Closed;
                let mut buf = BytesMut::new();
                buf.extend_from_slice(&sse::data(
                    &self.builder.end(end.finish_reason, self.include_usage),
                ));
                if self.include_usage {
                    buf.extend_from_slice(&sse::data(&self.builder.usage(end.usage)));
                }
                buf.extend_from_slice(&sse::DONE);
                buf.freeze()
            }
            Err(error) => {
                self.state = StreamState::Failed;
                let request = &self.relay.call().request.request;
                event!(
                    self.shared.cx.log, ENTRY_REQUEST_FAILED;
                    "request" => %request, "error" => %error
                );
                sse::error(&Problem::new(&error, request))
            }
        };
        Some(Ok(event))
    }
}
