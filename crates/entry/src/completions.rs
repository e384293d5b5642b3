//! Model requests: `POST /v1/completions` and `POST /v1/chat/completions`.

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
    Model, auth,
    body::{self, Body, BodyError},
    context::Shared,
    fingerprint,
    openai::{self, Api, Completion, Shape},
    problem::{self, Problem},
    relay::{Piece, Relay},
    router::{MODEL_HEADER, OUTCOME_HEADER},
    sse,
};

/// Tokens generated for requests that name no number; enough for a short draft, and small enough
/// that a forgotten field does not fill a batch for minutes.
const DEFAULT_MAX_TOKENS: u32 = 256;

pub(crate) async fn handle(
    shared: &Arc<Shared>,
    api: Api,
    req: Request<Incoming>,
    request: &RequestId,
) -> Result<Response<Body>, RequestError> {
    let started = Instant::now();
    // A stale manifest may lack the subscriber, so this comes before the bearer key.
    auth::check_ready(shared)?;
    let subscriber = auth::subscriber(shared, req.headers())?;
    let deadline = auth::deadline(shared, req.headers())?;
    let body = body::read(req.into_body(), &shared.cfg.limits).await?;
    let parsed = openai::parse(api, &body)?;
    let model = shared.cx.catalog.model(&subscriber, &parsed.model)?;
    let (stream, include_usage) = (parsed.stream, parsed.include_usage);
    let call = make_call(shared, parsed, &model, subscriber, request)?;
    let fingerprint = fingerprint(&call.subscriber, &call.request);
    if shared.cx.catalog.is_quarantined(&fingerprint) {
        let detail = format!("request {fingerprint} crashed targets; ask the operators to lift it");
        return Err(RequestError::not_run(RequestErrorKind::Quarantined, detail));
    }
    let name = format!("{}/{}", model.base, model.adapter);
    let model_header = HeaderValue::from_str(&name).map_err(|_| internal())?;
    let shape = Shape::new(api, request, name);
    let relay = Relay::new(shared, call, model.pool, started, deadline);
    let mut res = if stream {
        streamed(shared, relay, shape, include_usage).await?
    } else {
        whole(relay, &shape).await?
    };
    res.headers_mut().insert(MODEL_HEADER, model_header);
    Ok(res)
}

fn make_call(
    shared: &Shared,
    parsed: Completion,
    model: &Model,
    subscriber: SubscriberId,
    request: &RequestId,
) -> Result<CompletionCall, RequestError> {
    let most = model.max_output_tokens.unwrap_or(u32::MAX).min(model.max_context_tokens);
    let max_tokens = parsed.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS.min(most));
    if max_tokens > most {
        let detail = format!("max_tokens: expected at most {most} for this model and subscriber");
        return Err(RequestError::not_run(RequestErrorKind::InvalidRequest, detail));
    }
    Ok(CompletionCall {
        // Replaced when the group is chosen.
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

fn internal() -> RequestError {
    RequestError::not_run(RequestErrorKind::Internal, "the request can't be formed")
}

/// Answers when the answer is whole.
async fn whole(mut relay: Relay, shape: &Shape) -> Result<Response<Body>, RequestError> {
    let end = loop {
        if let Piece::End(end) = relay.next().await? {
            break end;
        }
    };
    let text = relay.take_text();
    let mut buf = Vec::with_capacity(text.len() + 512);
    let answer = shape.whole(&text, end.finish_reason, end.usage);
    serde_json::to_writer(&mut buf, &answer).map_err(|_| internal())?;
    let mut res = Response::new(body::full(buf));
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res.headers_mut().insert(OUTCOME_HEADER, problem::outcome_value(Outcome::Answered));
    Ok(res)
}

/// Streamed answer.
struct Events {
    shared: Arc<Shared>,
    relay: Relay,
    shape: Shape,
    include_usage: bool,
    first: Option<Piece>,
    has_role: bool,
    state: State,
}

/// Where a streamed answer is.
#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    Broken,
    Closed,
}

/// Answers with server-sent events; errors before the first event are ordinary responses.
async fn streamed(
    shared: &Arc<Shared>,
    mut relay: Relay,
    shape: Shape,
    include_usage: bool,
) -> Result<Response<Body>, RequestError> {
    let first = Some(relay.next().await?);
    let shared = shared.clone();
    let has_role = false;
    let events =
        Events { shared, relay, shape, include_usage, first, has_role, state: State::Open };
    let body = stream::unfold(events, |mut events| async move {
        let item = events.next().await?;
        Some((item.map(Frame::data), events))
    });
    let mut res = Response::new(StreamBody::new(body).boxed_unsync());
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    // The outcome is not known yet; an answer that ends with `[DONE]` is whole.
    headers.insert(OUTCOME_HEADER, problem::outcome_value(Outcome::Unknown));
    Ok(res)
}

impl Events {
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        match self.state {
            State::Open => {}
            State::Closed => return None,
            State::Broken => {
                self.state = State::Closed;
                // Pending once lets hyper write the error event before the connection is closed.
                tokio::task::yield_now().await;
                return Some(Err("the answer broke off".into()));
            }
        }
        let piece = match self.first.take() {
            Some(piece) => Ok(piece),
            None => self.relay.next().await,
        };
        let event = match piece {
            Ok(Piece::Text(text)) => {
                let is_first = !std::mem::replace(&mut self.has_role, true);
                sse::data(&self.shape.text(&text, is_first, self.include_usage))
            }
            Ok(Piece::End(end)) => {
                self.state = State::Closed;
                let mut buf = BytesMut::new();
                buf.extend_from_slice(&sse::data(
                    &self.shape.end(end.finish_reason, self.include_usage),
                ));
                if self.include_usage {
                    buf.extend_from_slice(&sse::data(&self.shape.usage(end.usage)));
                }
                buf.extend_from_slice(&sse::DONE);
                buf.freeze()
            }
            Err(error) => {
                self.state = State::Broken;
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
