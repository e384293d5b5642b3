//! Runs a forwarded call of a plain service.
//!
//! Architecture Invariant: a call that may not be repeated is sent only after the control log
//! answered `Begun` to this attempt, and is sent to one target only, unless it is certain that
//! no byte of it reached the target.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use shallotdrum_control::{BeginOutcome, CallKey, Command, RecordedAnswer, Reply};
use shallotdrum_engine::{CallError, REQUEST_ID_HEADER};
use shallotdrum_scheduler::{Finish, Job, Lease, Work};
use shallotdrum_types::{
    Fingerprint, IdempotencyKey, Outcome, RequestError, RequestErrorKind, RequestId, SessionId,
    TargetId,
};
use tokio::{sync::oneshot, time::Instant};

use crate::{
    ForwardBody, OwnerService, ServiceCall,
    crash::{RunningGuard, Verdict},
    end_guard::EndGuard,
    full_body,
    service::{BusyGuard, OwnedGroup},
};

/// Targets that one call may be sent to.
const MAX_ATTEMPTS: usize = 3;

/// Largest answer body that is recorded for resends; bounds the state of the control log.
const MAX_RECORDED_BODY_BYTES: usize = 64 * 1024;

/// When a caller should ask again for a call that is in progress.
const RETRY_AFTER_IN_PROGRESS: Duration = Duration::from_secs(1);

/// Header that marks an answer recorded from the first call with the same key.
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("x-shallotdrum-replayed");

/// Header that gives a target the caller's key.
const KEY_HEADER: &str = "idempotency-key";

/// Call with its body at hand.
struct BufferedCall {
    call: ServiceCall,
    body: Bytes,
    fingerprint: Fingerprint,
    deadline: Instant,
}

/// Why a call got no answer.
enum CallFailure {
    /// Certainly not run by this target; another may try.
    NotRun(RequestError),
    /// Possibly run; the target crashed or only the connection broke.
    Lost(RequestError),
    /// Refused for good.
    Refused(RequestError),
}

impl OwnerService {
    /// Runs a call of a plain service and returns the target's response; the time that the call
    /// has left counts from `received`.
    pub async fn call(
        self: &Arc<Self>,
        call: ServiceCall,
        body: Bytes,
        received: Instant,
    ) -> Result<Response<ForwardBody>, RequestError> {
        let busy = self.enter();
        let deadline = received + Duration::from_millis(call.deadline_ms);
        let fingerprint = call_fingerprint(&call, &body);
        let call = BufferedCall { call, body, fingerprint, deadline };
        match call.call.idempotency_key.clone() {
            Some(key) => self.call_once(call, key).await,
            None => self.call_repeatable(&call, busy).await,
        }
    }

    async fn call_repeatable(
        self: &Arc<Self>,
        call: &BufferedCall,
        busy: BusyGuard,
    ) -> Result<Response<ForwardBody>, RequestError> {
        let mut avoid = Vec::new();
        let mut was_lost = false;
        let mut last = crate::service::owner_changed(&call.call.group);
        for _ in 0..MAX_ATTEMPTS {
            match self.send(call, &mut avoid).await {
                Ok((res, lease)) => return Ok(stream_response(res, lease, call, busy)),
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

    /// Runs a call that may not be repeated.
    async fn call_once(
        self: &Arc<Self>,
        call: BufferedCall,
        key: IdempotencyKey,
    ) -> Result<Response<ForwardBody>, RequestError> {
        let group = self.owned(&call.call.group)?;
        let key = CallKey { subscriber: call.call.subscriber.clone(), key };
        // A task of its own, so that the intent is followed by a result when the caller or its
        // entry has gone.
        let (tx, rx) = oneshot::channel();
        let service = self.clone();
        tokio::spawn(async move {
            let _busy = service.enter();
            let result = service.begin_and_run(&call, &group, key).await;
            // The caller may be gone; the result is recorded all the same.
            let _ = tx.send(result);
        });
        rx.await.unwrap_or_else(|_| {
            Err(RequestError::unknown(RequestErrorKind::Internal, "the call's task ended early"))
        })
    }

    /// Writes the intent of a call to the control log, then runs the call.
    async fn begin_and_run(
        self: &Arc<Self>,
        call: &BufferedCall,
        group: &OwnedGroup,
        key: CallKey,
    ) -> Result<Response<ForwardBody>, RequestError> {
        // The entry may forward the same request twice; each forward is an attempt of its own.
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
            Ok(Reply::Begin(outcome)) => not_begun(outcome, &key),
            Ok(Reply::Refused(error)) => {
                let detail = format!("call with key {}: {error}", key.key);
                Err(RequestError::not_run(RequestErrorKind::NotReady, detail)
                    .retry_after(RETRY_AFTER_IN_PROGRESS))
            }
            Ok(reply) => {
                let detail = format!("unexpected reply of the control log: {reply:?}");
                Err(RequestError::not_run(RequestErrorKind::Internal, detail))
            }
            Err(error) => {
                // The intent may have been written; without this the key would stay in progress
                // until this session ends.
                let session = group.session;
                self.settle(session, Command::AbandonCall { key: key.clone(), session, attempt });
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
            Ok((res, lease)) => self.record(res, lease, key, group, call).await,
            // A failure that ends the attempts can follow a run; the key is free again only if the
            // call was certainly not run.
            Err(CallFailure::NotRun(error) | CallFailure::Refused(error))
                if error.outcome == Outcome::NotRun =>
            {
                let abandon = Command::AbandonCall { key, session, attempt };
                // Otherwise the key would stay in progress until this session ends.
                if self.cx.propose(abandon.clone()).await.is_err() {
                    self.settle(session, abandon);
                }
                Err(error)
            }
            Err(
                CallFailure::NotRun(error) | CallFailure::Refused(error) | CallFailure::Lost(error),
            ) => {
                self.settle(session, Command::FinishCall { key, session, answer: None });
                Err(error)
            }
        }
    }

    /// Records the answer, then returns it.
    async fn record(
        self: &Arc<Self>,
        res: Response<Incoming>,
        lease: Lease,
        key: CallKey,
        group: &OwnedGroup,
        call: &BufferedCall,
    ) -> Result<Response<ForwardBody>, RequestError> {
        let session = group.session;
        let (parts, body) = res.into_parts();
        let collected = tokio::time::timeout_at(call.deadline, body.collect()).await;
        let body = match collected {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) | Err(_) => {
                lease.finish(Finish::TargetFailed);
                self.settle(session, Command::FinishCall { key, session, answer: None });
                let detail = "the answer broke off; the call was run, its answer is not known";
                return Err(RequestError::unknown(RequestErrorKind::TargetFailed, detail));
            }
        };
        lease.finish(answered(&call.body, &body));
        let answer = RecordedAnswer {
            status: parts.status.as_u16(),
            headers: header_pairs(&parts.headers),
            body: (body.len() <= MAX_RECORDED_BODY_BYTES).then(|| body.to_vec()),
        };
        let finish = Command::FinishCall { key, session, answer: Some(answer) };
        // The answer is known even if it can't be recorded at the moment.
        if self.cx.propose(finish.clone()).await.is_err() {
            self.settle(session, finish);
        }
        Ok(Response::from_parts(parts, full_body(body)))
    }

    /// Sends the call to one target.
    async fn send(
        &self,
        call: &BufferedCall,
        avoid: &mut Vec<TargetId>,
    ) -> Result<(Response<Incoming>, Lease), CallFailure> {
        let group = self.owned(&call.call.group).map_err(CallFailure::Refused)?;
        // After the ledger was asked: a resend gets what became of the first call with its key.
        self.check_quarantine(&call.fingerprint).map_err(CallFailure::Refused)?;
        let work = self.call_work(call, avoid);
        let lease = group.scheduler.admit(work).await.map_err(CallFailure::Refused)?;
        self.record_waits(&call.call.subscriber, &lease);
        let allowed =
            self.check_owned(&group).and_then(|()| self.check_quarantine(&call.fingerprint));
        if let Err(error) = allowed {
            lease.finish(Finish::Cancelled);
            return Err(CallFailure::Refused(error));
        }
        let req = call.target_request(&lease).map_err(CallFailure::Refused)?;
        let guard = group.crashes.enter(
            &lease.target,
            lease.incarnation,
            &call.call.request,
            call.fingerprint,
        );
        lease.started();
        let exchange = async {
            match call.call.idempotency_key {
                // A pooled connection that the target has just closed would make the result
                // unknown, and the call could not be sent again.
                Some(_) => self.cx.engine.call_unpooled(lease.addr, req).await,
                None => self.cx.engine.call(lease.addr, req).await,
            }
        };
        let sent = tokio::time::timeout_at(call.deadline, exchange);
        let error = match sent.await {
            Ok(Ok(res)) => return Ok((res, lease)),
            Ok(Err(error)) => error,
            Err(_) => {
                lease.finish(Finish::TargetFailed);
                let detail = "the deadline passed while the target ran the call";
                let error = RequestError::unknown(RequestErrorKind::DeadlineExceeded, detail);
                return Err(CallFailure::Lost(error));
            }
        };
        avoid.push(lease.target.clone());
        let detail = format!("target {}: {error}", lease.target);
        match error {
            CallError::NotSent { .. } | CallError::Refused { .. } => {
                let is_refused = matches!(error, CallError::Refused { .. });
                lease.finish(if is_refused { Finish::Refused } else { Finish::TargetFailed });
                let error = RequestError::not_run(RequestErrorKind::TargetFailed, detail);
                Err(CallFailure::NotRun(error))
            }
            CallError::Lost { .. } => {
                let failure = RequestError::unknown(RequestErrorKind::TargetFailed, detail);
                Err(self.call_lost(call, &group, lease, &guard, failure).await)
            }
        }
    }

    async fn call_lost(
        &self,
        call: &BufferedCall,
        group: &OwnedGroup,
        lease: Lease,
        guard: &RunningGuard<'_>,
        failure: RequestError,
    ) -> CallFailure {
        let verdict = group.crashes.investigate(&self.cx, guard, lease.addr).await;
        match verdict {
            Verdict::Alive => lease.finish(Finish::TargetFailed),
            Verdict::Crashed | Verdict::NotRecorded => lease.finish(Finish::TargetCrashed),
        }
        let is_quarantined = self.cx.view.read(|state| state.is_quarantined(&call.fingerprint));
        match verdict {
            Verdict::NotRecorded => CallFailure::Refused(failure),
            Verdict::Crashed if is_quarantined => CallFailure::Refused(RequestError::unknown(
                RequestErrorKind::Quarantined,
                format!("call {} crashed two targets and is refused from now on", call.fingerprint),
            )),
            Verdict::Alive | Verdict::Crashed => CallFailure::Lost(failure),
        }
    }

    fn call_work(&self, call: &BufferedCall, avoid: &[TargetId]) -> Work {
        let subscriber = &call.call.subscriber;
        let (limits, is_suspect) = self.cx.view.read(|state| {
            let found = state.manifest().and_then(|manifest| manifest.subscribers.get(subscriber));
            let limits = found.map(|s| (s.weight, s.limits.max_concurrent_requests));
            (limits.unwrap_or_default(), state.suspect_crashes(&call.fingerprint) > 0)
        });
        Work {
            request: call.call.request.clone(),
            subscriber: subscriber.clone(),
            weight: limits.0,
            fingerprint: call.fingerprint,
            job: Job::Service { is_repeatable: call.call.idempotency_key.is_none() },
            deadline: call.deadline,
            is_suspect,
            avoid: avoid.to_vec(),
            max_concurrent: limits.1,
        }
    }

    /// Writes a command that settles a call, trying until the log takes it or has ended the session
    /// that began the call, which settles it too. A lease that cannot be renewed is no such end:
    /// the next leader may keep the session.
    fn settle(self: &Arc<Self>, session: SessionId, command: Command) {
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

impl BufferedCall {
    /// Request as the target receives it.
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

/// Identifier of one attempt to begin a call.
fn new_attempt() -> Result<RequestId, RequestError> {
    format!("attempt-{:032x}", rand::random::<u128>())
        .parse()
        .map_err(|e| RequestError::not_run(RequestErrorKind::Internal, e))
}

/// Reply to a call whose key was used before.
fn not_begun(outcome: BeginOutcome, key: &CallKey) -> Result<Response<ForwardBody>, RequestError> {
    let key = &key.key;
    match outcome {
        BeginOutcome::Answered(answer) => replay(answer, key),
        BeginOutcome::InProgress => Err(RequestError::unknown(
            RequestErrorKind::InProgress,
            format!("the call with key {key} is running; ask again with the same key"),
        )
        .retry_after(RETRY_AFTER_IN_PROGRESS)),
        BeginOutcome::KeyReused => Err(RequestError::not_run(
            RequestErrorKind::KeyReused,
            format!("key {key} was used for another call; this one was not run"),
        )),
        BeginOutcome::Begun | BeginOutcome::Unknown => Err(RequestError::unknown(
            RequestErrorKind::ResultUnknown,
            format!("the call with key {key} may have run once; it will not be run again"),
        )),
    }
}

/// Response made from a recorded answer.
fn replay(
    answer: RecordedAnswer,
    key: &IdempotencyKey,
) -> Result<Response<ForwardBody>, RequestError> {
    let Some(body) = answer.body else {
        return Err(RequestError {
            kind: RequestErrorKind::ResultNotKept,
            outcome: Outcome::Answered,
            detail: format!(
                "the call with key {key} was answered with status {}; the body was too large to keep",
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

/// Streams a target's response to the entry; the lease ends with the body.
fn stream_response(
    res: Response<Incoming>,
    lease: Lease,
    call: &BufferedCall,
    busy: BusyGuard,
) -> Response<ForwardBody> {
    let prompt_tokens = body_cost(call.body.len());
    let mut held = Some((lease, busy));
    let on_end = move |is_whole| {
        let Some((lease, _busy)) = held.take() else { return };
        lease.finish(match is_whole {
            true => Finish::Answered { prompt_tokens, completion_tokens: 0 },
            false => Finish::TargetFailed,
        });
    };
    res.map(|body| EndGuard::new(body, on_end).map_err(Into::into).boxed())
}

/// Identifies a call by all that determines its effect.
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

/// Charge of a service call, so that large bodies weigh as much as long prompts.
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
