//! Runs a forwarded call to a plain service.
//!
//! A call with an idempotency key runs at most once; a call without one may be retried.
//!
//! Architecture Invariant: an at-most-once call is sent only after the control log replied
//! `Begun` to this attempt, and is sent to a second target only if it is certain that no byte of
//! it reached the first or that the first refused it without running it.
//!
//! Architecture Invariant: a call counts as running until the end of its response's body. The head shows
//! only that the target had not crashed by then.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri, header::HOST,
};
use http_body_util::{BodyExt, Empty};
use shallotdrum_control::{BeginOutcome, CallKey, Command, RecordedAnswer, Reply};
use shallotdrum_engine::{CallError, REQUEST_ID_HEADER, Urgency};
use shallotdrum_links::QuestionFn;
use shallotdrum_scheduler::{AdmissionRequest, Finish, Lease, RequestKind};
use shallotdrum_telemetry::event;
use shallotdrum_types::{
    Fingerprint, IdempotencyKey, Outcome, RequestError, RequestErrorKind, RequestId, SessionId,
    TargetId,
};
use tokio::{sync::oneshot, time::Instant};

use crate::{
    ERROR_HEADER, ForwardBody, OwnerService, ServiceCall,
    crash::{CrashDetector, CrashStatus, RunningGuard},
    end_guard::{EndGuard, Ended},
    full_body,
    service::{InProgressGuard, OwnedGroup},
    target_body::{BodySource, TargetBody, check_end},
};

/// Maximum number of targets that one call is sent to.
const MAX_ATTEMPTS: usize = 3;

/// Maximum size of a response body that is recorded for duplicates of a call; bounds the state of
/// the control log.
const MAX_RECORDED_BODY_BYTES: usize = 64 * 1024;

/// `Retry-After` for a call that is in progress, and the delay between attempts to record its
/// result.
const RETRY_AFTER_IN_PROGRESS: Duration = Duration::from_secs(1);

/// Part of the time left that a call waits for a witness of its target, which takes some round trips.
const WITNESS_SHARE: u32 = 2;

/// Header that marks a response recorded from the first call with the same key.
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("x-shallotdrum-replayed");

/// Header that passes the caller's idempotency key to the target.
const KEY_HEADER: &str = "idempotency-key";

/// Service call whose body has been read completely.
struct BufferedCall {
    call: ServiceCall,
    body: Bytes,
    fingerprint: Fingerprint,
    deadline: Instant,
}

/// Response of a target, which runs the call until the end of the body.
struct Responded {
    response: Response<TargetBody>,
    lease: Lease,
    running: RunningGuard,
    crashes: Arc<CrashDetector>,
}

/// Why one send of a call returned no response.
enum CallFailure {
    /// This target did not run the call; another one may be tried.
    NotRun(RequestError),
    /// The target may have run the call: it crashed, the connection broke or the deadline passed.
    Lost(RequestError),
    /// The call must not be sent to any further target.
    Refused(RequestError),
}

impl OwnerService {
    /// Runs a call to a plain service and returns the target's response. `deadline_ms` of the call
    /// counts from `received`.
    pub async fn call(
        self: &Arc<Self>,
        call: ServiceCall,
        body: Bytes,
        received: Instant,
    ) -> Result<Response<ForwardBody>, RequestError> {
        let in_progress = self.enter();
        let deadline = received + Duration::from_millis(call.deadline_ms);
        let fingerprint = call_fingerprint(&call, &body);
        let call = BufferedCall { call, body, fingerprint, deadline };
        match call.call.idempotency_key.clone() {
            Some(key) => self.call_at_most_once(call, key).await,
            None => self.call_with_retries(&call, in_progress).await,
        }
    }

    async fn call_with_retries(
        self: &Arc<Self>,
        call: &BufferedCall,
        in_progress: InProgressGuard,
    ) -> Result<Response<ForwardBody>, RequestError> {
        let mut avoid = Vec::new();
        let mut was_lost = false;
        let mut last = crate::service::owner_changed(&call.call.group);
        for _ in 0..MAX_ATTEMPTS {
            match self.send(call, &mut avoid).await {
                Ok(responded) => return Ok(self.stream_response(responded, call, in_progress)),
                Err(CallFailure::Refused(error)) => {
                    last = error;
                    break;
                }
                Err(CallFailure::NotRun(error)) => last = error,
                Err(CallFailure::Lost(error)) => {
                    was_lost = true;
                    last = error;
                }
            }
            self.cx.metrics.retries().inc();
        }
        if was_lost {
            last.outcome = Outcome::Unknown;
        }
        Err(last)
    }

    /// Runs a call that has an idempotency key.
    async fn call_at_most_once(
        self: &Arc<Self>,
        call: BufferedCall,
        key: IdempotencyKey,
    ) -> Result<Response<ForwardBody>, RequestError> {
        let group = self.owned_for_send(&call.call.group)?;
        let key = CallKey { subscriber: call.call.subscriber.clone(), key };
        // Runs in a separate task so that the result is recorded even if the caller or its entry
        // disconnects.
        let (tx, rx) = oneshot::channel();
        let service = self.clone();
        tokio::spawn(async move {
            let _in_progress = service.enter();
            let result = service.begin_and_run(&call, &group, key).await;
            // The receiver is dropped if the caller disconnected; the result is recorded
            // regardless.
            let _ = tx.send(result);
        });
        rx.await.unwrap_or_else(|_| {
            Err(RequestError::unknown(
                RequestErrorKind::Internal,
                "the task that ran the call terminated",
            ))
        })
    }

    /// Records the start of a call in the control log, then runs the call.
    async fn begin_and_run(
        self: &Arc<Self>,
        call: &BufferedCall,
        group: &OwnedGroup,
        key: CallKey,
    ) -> Result<Response<ForwardBody>, RequestError> {
        // The entry may forward the same request twice; each forward is a separate attempt.
        let attempt = new_attempt()?;
        let begin = Command::BeginCall {
            key: key.clone(),
            fingerprint: call.fingerprint,
            session: group.session,
            attempt: attempt.clone(),
        };
        match self.cx.propose(begin).await {
            Ok(Reply::Begin(BeginOutcome::Begun)) => {
                self.run_begun(call, group, key, attempt).await
            }
            Ok(Reply::Begin(outcome)) => duplicate_response(outcome, &key),
            Ok(Reply::Refused(error)) => {
                let detail = format!("call with key {}: {error}", key.key);
                Err(RequestError::not_run(RequestErrorKind::NotReady, detail)
                    .retry_after(RETRY_AFTER_IN_PROGRESS))
            }
            Ok(reply) => {
                let detail = format!("unexpected reply from the control log: {reply:?}");
                Err(RequestError::not_run(RequestErrorKind::Internal, detail))
            }
            Err(error) => {
                // The log may have applied `BeginCall`; without this command the key would stay
                // in progress until this session ends.
                let session = group.session;
                self.propose_with_retry(
                    session,
                    Command::AbandonCall { key: key.clone(), session, attempt },
                );
                let detail = format!("call with key {}: {error}", key.key);
                Err(RequestError::not_run(RequestErrorKind::NotReady, detail)
                    .retry_after(RETRY_AFTER_IN_PROGRESS))
            }
        }
    }

    async fn run_begun(
        self: &Arc<Self>,
        call: &BufferedCall,
        group: &OwnedGroup,
        key: CallKey,
        attempt: RequestId,
    ) -> Result<Response<ForwardBody>, RequestError> {
        let mut avoid = Vec::new();
        let mut result = Err(CallFailure::NotRun(crate::service::owner_changed(&group.id)));
        for _ in 0..MAX_ATTEMPTS {
            result = self.send(call, &mut avoid).await;
            if !matches!(result, Err(CallFailure::NotRun(_))) {
                break;
            }
        }
        let session = group.session;
        match result {
            Ok(responded) => self.record(responded, key, group, call).await,
            // A refusal can follow an attempt that may have run the call. The key is released only
            // if no target ran it.
            Err(CallFailure::NotRun(error) | CallFailure::Refused(error))
                if error.outcome == Outcome::NotRun =>
            {
                let abandon = Command::AbandonCall { key, session, attempt };
                // Without a retry the key would stay in progress until this session ends.
                if self.cx.propose(abandon.clone()).await.is_err() {
                    self.propose_with_retry(session, abandon);
                }
                Err(error)
            }
            Err(
                CallFailure::NotRun(error) | CallFailure::Refused(error) | CallFailure::Lost(error),
            ) => {
                self.propose_with_retry(
                    session,
                    Command::FinishCall { key, session, answer: None },
                );
                Err(error)
            }
        }
    }

    /// Records the response in the control log, then returns it.
    async fn record(
        self: &Arc<Self>,
        responded: Responded,
        key: CallKey,
        group: &OwnedGroup,
        call: &BufferedCall,
    ) -> Result<Response<ForwardBody>, RequestError> {
        let session = group.session;
        let Responded { response, lease, running, crashes } = responded;
        let (parts, body) = response.into_parts();
        let collected = tokio::time::timeout_at(call.deadline, body.collect()).await;
        let body = match collected {
            Ok(Ok(body)) => body.to_bytes(),
            ended => {
                if ended.is_err() {
                    event!(self.cx.log, RESPONSE_INTERRUPTED; "request" => %call.call.request,
                        "target" => %lease.target, "error" => "the deadline passed");
                    self.cx.finish_failed(lease);
                } else {
                    self.finish_lost(&crashes, lease, &running).await;
                }
                self.propose_with_retry(
                    session,
                    Command::FinishCall { key, session, answer: None },
                );
                let detail = "the response was truncated; the call ran, but its result is unknown";
                return Err(RequestError::unknown(RequestErrorKind::TargetFailed, detail));
            }
        };
        running.complete(None);
        lease.finish(answered(&call.body, &body));
        let answer = RecordedAnswer {
            status: parts.status.as_u16(),
            headers: header_pairs(&parts.headers),
            body: (body.len() <= MAX_RECORDED_BODY_BYTES).then(|| body.to_vec()),
        };
        let finish = Command::FinishCall { key, session, answer: Some(answer) };
        // The caller gets the response even if it can't be recorded yet.
        if self.cx.propose(finish.clone()).await.is_err() {
            self.propose_with_retry(session, finish);
        }
        Ok(Response::from_parts(parts, full_body(body)))
    }

    /// Sends the call to one target.
    async fn send(
        &self,
        call: &BufferedCall,
        avoid: &mut Vec<TargetId>,
    ) -> Result<Responded, CallFailure> {
        let group = self.owned_for_send(&call.call.group).map_err(CallFailure::Refused)?;
        // Checked after the ledger, so that a duplicate gets the result of the first call with its
        // key even if the call is quarantined by now.
        self.check_quarantine(&call.fingerprint).map_err(CallFailure::Refused)?;
        let request = self.call_admission(call, avoid);
        let lease = group.scheduler.admit(request).await.map_err(CallFailure::Refused)?;
        self.record_waits(&call.call.subscriber, &lease);
        let allowed =
            self.check_owned(&group).and_then(|()| self.check_quarantine(&call.fingerprint));
        if let Err(error) = allowed {
            lease.finish(Finish::Cancelled);
            return Err(CallFailure::Refused(error));
        }
        let req = call.target_request(&lease).map_err(CallFailure::Refused)?;
        let limit = call.deadline.saturating_duration_since(Instant::now()) / WITNESS_SHARE;
        // Few instances call a target, so that each one can keep connections to it for this.
        let witness = self.cx.links.witness(lease.addr, limit, || ping(lease.addr)).await;
        let guard =
            group.crashes.enter(&self.cx, (&lease).into(), &call.call.request, call.fingerprint);
        lease.started();
        let exchange = async {
            match call.call.idempotency_key {
                // If the target had just closed a pooled connection, the result would be unknown
                // and the call could not be retried.
                Some(_) => self.cx.engine.call_unpooled(lease.addr, req).await,
                None => self.cx.engine.call(lease.addr, req).await,
            }
        };
        let sent = tokio::time::timeout_at(call.deadline, exchange);
        let error = match sent.await {
            Ok(Ok(res)) => {
                let source = BodySource {
                    request: call.call.request.clone(),
                    target: lease.target.clone(),
                    log: self.cx.log.clone(),
                    metrics: self.cx.metrics.clone(),
                };
                let mut response = check_end(res, witness, source);
                // Only an owner speaks of errors to an entry.
                response.headers_mut().remove(ERROR_HEADER);
                let crashes = group.crashes.clone();
                return Ok(Responded { response, lease, running: guard, crashes });
            }
            Ok(Err(error)) => error,
            Err(_) => {
                self.cx.finish_failed(lease);
                let detail = "the deadline passed while the target ran the call";
                let error = RequestError::unknown(RequestErrorKind::DeadlineExceeded, detail);
                return Err(CallFailure::Lost(error));
            }
        };
        avoid.push(lease.target.clone());
        let detail = format!("target {}: {error}", lease.target);
        match error {
            CallError::NotSent { .. } | CallError::Refused { .. } => {
                guard.end();
                let is_refused = matches!(error, CallError::Refused { .. });
                match is_refused {
                    true => lease.finish(Finish::Refused),
                    false => self.cx.finish_failed(lease),
                }
                let error = RequestError::not_run(RequestErrorKind::TargetFailed, detail);
                Err(CallFailure::NotRun(error))
            }
            CallError::Lost { .. } => {
                event!(self.cx.log, TARGET_RESPONSE_LOST; "request" => %call.call.request,
                    "target" => %lease.target, "error" => %error);
                let failure = RequestError::unknown(RequestErrorKind::TargetFailed, detail);
                Err(self.call_lost(call, &group, lease, &guard, failure).await)
            }
        }
    }

    /// Checks whether the target crashed after its connection was lost, and classifies the failure.
    async fn call_lost(
        &self,
        call: &BufferedCall,
        group: &OwnedGroup,
        lease: Lease,
        guard: &RunningGuard,
        failure: RequestError,
    ) -> CallFailure {
        let status = self.finish_lost(&group.crashes, lease, guard).await;
        let is_quarantined = self.cx.view.read(|state| state.is_quarantined(&call.fingerprint));
        match status {
            CrashStatus::NotRecorded => CallFailure::Refused(failure),
            CrashStatus::Crashed if is_quarantined => CallFailure::Refused(RequestError::unknown(
                RequestErrorKind::Quarantined,
                format!("call {} crashed two targets and is quarantined", call.fingerprint),
            )),
            CrashStatus::Alive | CrashStatus::Crashed => CallFailure::Lost(failure),
        }
    }

    /// Ends the lease of a call whose connection was lost, after a check whether its target crashed.
    async fn finish_lost(
        &self,
        crashes: &Arc<CrashDetector>,
        lease: Lease,
        running: &RunningGuard,
    ) -> CrashStatus {
        let status = crashes.check(&self.cx, running).await;
        match status {
            CrashStatus::Alive => self.cx.finish_failed(lease),
            CrashStatus::Crashed | CrashStatus::NotRecorded => lease.finish(Finish::TargetCrashed),
        }
        status
    }

    /// Streams a target's response to the entry and finishes the lease when the body ends.
    fn stream_response(
        self: &Arc<Self>,
        responded: Responded,
        call: &BufferedCall,
        in_progress: InProgressGuard,
    ) -> Response<ForwardBody> {
        let Responded { response, lease, running, crashes } = responded;
        let prompt_tokens = body_cost(call.body.len());
        let service = self.clone();
        let mut guards = Some((lease, running, crashes, in_progress));
        let on_end = move |ended| {
            let Some((lease, running, crashes, in_progress)) = guards.take() else { return };
            match ended {
                Ended::Complete => {
                    running.complete(None);
                    lease.finish(Finish::Answered { prompt_tokens, completion_tokens: 0 });
                }
                Ended::Failed => {
                    let service = service.clone();
                    tokio::spawn(async move {
                        // A stop of this instance waits until the crash is recorded.
                        let _in_progress = in_progress;
                        service.finish_lost(&crashes, lease, &running).await;
                    });
                }
                // Only a later process of the target would show a crash.
                Ended::Dropped => lease.finish(Finish::TargetFailed),
            }
        };
        response.map(|body| EndGuard::new(body, on_end).boxed())
    }

    fn call_admission(&self, call: &BufferedCall, avoid: &[TargetId]) -> AdmissionRequest {
        let subscriber = &call.call.subscriber;
        let (limits, is_suspect) = self.cx.view.read(|state| {
            let found = state.manifest().and_then(|manifest| manifest.subscribers.get(subscriber));
            let limits = found.map(|s| (s.weight, s.limits.max_concurrent_requests));
            (limits.unwrap_or_default(), state.suspect_crashes(&call.fingerprint) > 0)
        });
        AdmissionRequest {
            request: call.call.request.clone(),
            subscriber: subscriber.clone(),
            weight: limits.0,
            fingerprint: call.fingerprint,
            kind: RequestKind::Service { is_repeatable: call.call.idempotency_key.is_none() },
            deadline: call.deadline,
            is_suspect,
            avoid: avoid.to_vec(),
            software: None,
            max_concurrent: limits.1,
            urgency: Urgency::default(),
            objective: None,
            spread: 1,
        }
    }

    /// Proposes the command that ends a call, and retries in the background until the log accepts
    /// it or the session that began the call has ended, which ends the call too. A failure to renew
    /// the lease does not stop the retries, as the next leader may keep the session.
    fn propose_with_retry(self: &Arc<Self>, session: SessionId, command: Command) {
        let service = self.clone();
        tokio::spawn(async move {
            while service.cx.propose(command.clone()).await.is_err()
                && service.cx.view.read(|state| state.session(session).is_some())
            {
                tokio::time::sleep(RETRY_AFTER_IN_PROGRESS).await;
            }
        });
    }
}

/// Asks a plain service whether it runs, by a request without an effect (RFC 9110, section 9.3.7).
fn ping(addr: SocketAddr) -> QuestionFn {
    Arc::new(move || {
        let mut request = Request::new(Empty::new());
        *request.method_mut() = Method::OPTIONS;
        *request.uri_mut() = Uri::from_static("*");
        let id = format!("ping-{:032x}", rand::random::<u128>());
        let fields = [(HOST.as_str(), addr.to_string()), (REQUEST_ID_HEADER, id)];
        for (name, value) in fields {
            // Addresses and numbers contain only characters that are valid in a header value.
            if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), value.parse()) {
                request.headers_mut().insert(name, value);
            }
        }
        request
    })
}

impl BufferedCall {
    /// Builds the HTTP request for the target.
    fn target_request(&self, lease: &Lease) -> Result<Request<ForwardBody>, RequestError> {
        let invalid =
            |e: &dyn std::fmt::Display| RequestError::not_run(RequestErrorKind::InvalidRequest, e);
        let method: Method = self.call.method.parse().map_err(|e| invalid(&e))?;
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{}{}", lease.addr, self.call.path))
            .header(REQUEST_ID_HEADER, self.call.request.as_str());
        for (name, value) in &self.call.headers {
            req = req.header(name, value);
        }
        if let Some(key) = &self.call.idempotency_key {
            req = req.header(KEY_HEADER, key.as_str());
        }
        req.body(full_body(self.body.clone())).map_err(|e| invalid(&e))
    }
}

/// Generates the identifier of one attempt to begin a call.
fn new_attempt() -> Result<RequestId, RequestError> {
    format!("attempt-{:032x}", rand::random::<u128>())
        .parse()
        .map_err(|e| RequestError::not_run(RequestErrorKind::Internal, e))
}

/// Returns the response to a call whose key has been used before.
fn duplicate_response(
    outcome: BeginOutcome,
    key: &CallKey,
) -> Result<Response<ForwardBody>, RequestError> {
    let key = &key.key;
    match outcome {
        BeginOutcome::Answered(answer) => replay(answer, key),
        BeginOutcome::InProgress => Err(RequestError::unknown(
            RequestErrorKind::InProgress,
            format!("the call with key {key} is in progress; retry with the same key"),
        )
        .retry_after(RETRY_AFTER_IN_PROGRESS)),
        BeginOutcome::KeyReused => Err(RequestError::not_run(
            RequestErrorKind::KeyReused,
            format!("key {key} was used for a different call; this call was not run"),
        )),
        BeginOutcome::Begun | BeginOutcome::Unknown => Err(RequestError::unknown(
            RequestErrorKind::ResultUnknown,
            format!("the call with key {key} may have run; it will not be run again"),
        )),
    }
}

/// Builds a response from a recorded one.
fn replay(
    answer: RecordedAnswer,
    key: &IdempotencyKey,
) -> Result<Response<ForwardBody>, RequestError> {
    let Some(body) = answer.body else {
        return Err(RequestError {
            kind: RequestErrorKind::ResultNotKept,
            outcome: Outcome::Answered,
            detail: format!(
                "the call with key {key} returned status {}; its body was too large to record",
                answer.status
            ),
            retry_after: None,
        });
    };
    let mut res = Response::new(full_body(body));
    *res.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    for (name, value) in answer.headers {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), value.parse::<HeaderValue>()) {
            res.headers_mut().append(name, value);
        }
    }
    res.headers_mut().insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    Ok(res)
}

/// Hashes everything that determines the effect of a call: subscriber, service, method, path and
/// body.
fn call_fingerprint(call: &ServiceCall, body: &Bytes) -> Fingerprint {
    let identity =
        (&call.subscriber, &call.service, &call.method, &call.path, Fingerprint::of(body));
    // Strings and hashes always serialize.
    Fingerprint::of(&serde_json::to_vec(&identity).unwrap_or_default())
}

fn header_pairs(headers: &HeaderMap) -> Vec<(String, String)> {
    headers
        .iter()
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect()
}

/// Cost of a body in tokens, so that large bodies are charged like long prompts.
fn body_cost(bytes: usize) -> u64 {
    const BYTES_PER_TOKEN: u64 = 4;
    (bytes as u64).div_ceil(BYTES_PER_TOKEN)
}

fn answered(sent: &Bytes, received: &Bytes) -> Finish {
    Finish::Answered {
        prompt_tokens: body_cost(sent.len()),
        completion_tokens: body_cost(received.len()),
    }
}
