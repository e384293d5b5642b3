//! HTTP interface of the fake engine.

use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use http::{Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use shallotdrum_engine::{CompletionRequest, GENERATE_PATH, ORDERS_PATH, OrderRefusal};
use shallotdrum_types::RequestId;
use tokio::sync::mpsc;

use super::{
    Engine,
    batch::Sequence,
    orders::Slot,
    stats::{Run, Violation},
};
use crate::{
    clock::unix_ms,
    presence::lock,
    serve::{CloseConnection, HandlerResult, json, merge_settings, problem, read_body},
    text::expected_text,
};

impl Engine {
    pub(super) async fn handle(self: Arc<Self>, req: Request<Incoming>) -> HandlerResult {
        let path = req.uri().path().to_owned();
        let cancelled = path.strip_prefix(GENERATE_PATH).and_then(|rest| rest.strip_prefix('/'));
        match (req.method(), path.as_str(), cancelled) {
            (&Method::POST, GENERATE_PATH, _) => match read_json(req).await? {
                Ok(req) => self.generate(&req),
                Err(reason) => problem(StatusCode::BAD_REQUEST, &reason),
            },
            (&Method::DELETE, _, Some(request)) => self.cancel(request),
            (&Method::POST, ORDERS_PATH, _) => match read_json(req).await? {
                Ok(req) => match self.order(req).await {
                    Ok(()) => json(StatusCode::OK, &serde_json::json!({})),
                    Err(refusal) => json(refusal_status(&refusal), &refusal),
                },
                Err(reason) => problem(StatusCode::BAD_REQUEST, &reason),
            },
            (&Method::GET, "/fake/stats", _) => json(StatusCode::OK, &self.shared.stats()),
            (&Method::POST, "/fake/leave", _) => {
                let is_accepted = self.shared.presence.leave(self.incarnation).await;
                json(StatusCode::OK, &serde_json::json!({ "accepted": is_accepted }))
            }
            (&Method::POST, "/fake/crash", _) => {
                self.shared.presence.crash();
                Err(CloseConnection)
            }
            (&Method::POST, "/fake/config", _) => {
                let body = read_body(req.into_body()).await.map_err(|_| CloseConnection)?;
                let mut settings = lock(&self.shared.settings);
                match merge_settings(&*settings, &body) {
                    Ok(changed) => {
                        *settings = changed;
                        json(StatusCode::OK, &*settings)
                    }
                    Err(e) => problem(StatusCode::BAD_REQUEST, &e.to_string()),
                }
            }
            _ => problem(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    /// Accepts or refuses a request; batch steps stream the response.
    fn generate(&self, req: &CompletionRequest) -> HandlerResult {
        let shared = &self.shared;
        let settings = shared.settings();
        if req.base_model != shared.cfg.base_model {
            return problem(StatusCode::NOT_FOUND, "the base model is not loaded");
        }
        if let Some(resume) = &req.resume {
            let expected = expected_text(&req.base_model, &req.adapter, &req.prompt, resume.offset);
            if resume.offset > req.max_tokens.into() || resume.text != expected {
                shared
                    .record_violation(Violation::WrongResumeText { request: req.request.clone() });
                return problem(StatusCode::UNPROCESSABLE_ENTITY, "the resume point is wrong");
            }
        }
        // The batch lock prevents an eviction between this check and the insertion into the queue.
        let mut batch = lock(&self.batch);
        let slot = lock(&self.slots).get(&req.adapter);
        if slot != Some(Slot::Ready) {
            shared.record_violation(Violation::AdapterNotReady {
                request: req.request.clone(),
                adapter: req.adapter.clone(),
            });
            return match slot {
                None => problem(StatusCode::NOT_FOUND, "the adapter is not loaded"),
                Some(_) => problem(StatusCode::CONFLICT, "the adapter is being loaded"),
            };
        }
        // The client resends a request after losing its connection, possibly before the engine
        // notices the loss.
        if batch.cancel(&req.request, shared) {
            lock(&shared.stats).superseded += 1;
        }
        if batch.queue.len() >= settings.max_queue {
            return problem(StatusCode::TOO_MANY_REQUESTS, "the queue is full");
        }
        let (tx, mut rx) = mpsc::unbounded_channel();
        let run = self.record_run(req);
        batch.queue.push(Sequence::new(req, run, shared, tx));
        drop(batch);
        self.request_queued.notify_one();
        let events = stream::poll_fn(move |cx| rx.poll_recv(cx));
        let frames =
            futures_util::StreamExt::map(events, |event: Result<Bytes, _>| event.map(Frame::data));
        Response::builder()
            .header(CONTENT_TYPE, "text/event-stream")
            .body(StreamBody::new(frames).boxed_unsync())
            .map_err(|_| CloseConnection)
    }

    fn record_run(&self, req: &CompletionRequest) -> usize {
        let mut stats = lock(&self.shared.stats);
        stats.runs.push(Run {
            request: req.request.clone(),
            adapter: req.adapter.clone(),
            incarnation: self.incarnation,
            arrived_ms: unix_ms(),
            started_ms: None,
            resume_offset: req.resume.as_ref().map_or(0, |resume| resume.offset),
            tokens: 0,
            end: None,
        });
        stats.runs.len() - 1
    }

    fn cancel(&self, request: &str) -> HandlerResult {
        let is_found = request
            .parse::<RequestId>()
            .is_ok_and(|request| lock(&self.batch).cancel(&request, &self.shared));
        if is_found {
            return json(StatusCode::OK, &serde_json::json!({}));
        }
        problem(StatusCode::NOT_FOUND, "no such request is running")
    }
}

/// Reads a JSON body; the inner error describes why parsing failed.
async fn read_json<T: DeserializeOwned>(
    req: Request<Incoming>,
) -> Result<Result<T, String>, CloseConnection> {
    let body = read_body(req.into_body()).await.map_err(|_| CloseConnection)?;
    Ok(serde_json::from_slice(&body).map_err(|e| e.to_string()))
}

fn refusal_status(refusal: &OrderRefusal) -> StatusCode {
    match refusal {
        OrderRefusal::LoadFailed { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        _ => StatusCode::CONFLICT,
    }
}
