//! Runs a forwarded model request: admission, generation, retries and resumption.

use std::{sync::Arc, time::Duration};

use shallotdrum_engine::{
    CallError, Chunk, CompletionRequest, End, EngineEvent, Resume, StreamError, Urgency,
    prefix_hashes,
};
use shallotdrum_links::LinkStatus;
use shallotdrum_scheduler::{AdmissionRequest, Finish, Lease, RequestKind};
use shallotdrum_telemetry::event;
use shallotdrum_types::{
    Fingerprint, Outcome, RequestError, RequestErrorKind, RequestIdentity, SoftwareVersion,
    TargetId,
};
use tokio::{sync::mpsc, time::Instant};

use crate::{
    CompletionCall, Frame, OwnerService,
    crash::{CrashStatus, RunningGuard},
    fingerprint::completion_identity,
    service::{OwnedGroup, owner_changed},
};

/// Maximum number of targets that one request is sent to. Limits how far a request that makes
/// targets fail spreads over the group.
const MAX_ATTEMPTS: usize = 4;

/// Average number of bytes per token, for estimating the prompt length before the engine reports
/// it.
const BYTES_PER_TOKEN: u64 = 4;

/// State of a model request across its attempts.
struct CompletionRun<'a> {
    call: &'a CompletionCall,
    identity: RequestIdentity,
    /// Quarantined part of the prompt with which the first send is permitted.
    permitted_part: Option<Fingerprint>,
    deadline: Instant,
    /// Number of tokens generated so far, including those of an earlier forward.
    offset: u64,
    /// Text generated so far, including that of an earlier forward.
    text: String,
    /// Whether a target may have run any part of the request since it was forwarded to this owner.
    may_have_run: bool,
    /// Targets that already failed or refused the request.
    avoid: Vec<TargetId>,
    /// Software version of the target that generated the text so far, if it tells one.
    software: Option<SoftwareVersion>,
}

/// How one attempt ended.
enum Attempt {
    /// The complete response was relayed, or the receiver is gone.
    Done,
    /// The request may continue at another target.
    Retry(RequestError),
    /// The request failed and must not be retried.
    Failed(RequestError),
}

impl OwnerService {
    /// Runs a model request and sends its response frames; the last one is `End` or `Error`.
    pub async fn complete(self: Arc<Self>, call: CompletionCall, tx: mpsc::Sender<Frame>) {
        let _in_progress = self.enter();
        if let Err(error) = self.try_complete(&call, &tx).await {
            // The channel is closed if the caller disconnected.
            let _ = tx.send(Frame::Error(error)).await;
        }
    }

    async fn try_complete(
        self: &Arc<Self>,
        call: &CompletionCall,
        tx: &mpsc::Sender<Frame>,
    ) -> Result<(), RequestError> {
        let resume = call.request.resume.clone();
        let identity = completion_identity(&call.subscriber, &call.request);
        let group = self.owned_for_send(&call.group)?;
        let permitted_part = self.admit_parts(&group.crashes, &identity.parts)?;
        let mut run = CompletionRun {
            call,
            identity,
            permitted_part,
            deadline: Instant::now() + Duration::from_millis(call.request.deadline_ms),
            offset: resume.as_ref().map_or(0, |resume| resume.offset),
            // Covers this forward only; the entry tracks whether an earlier forward ran.
            may_have_run: false,
            text: resume.map(|resume| resume.text).unwrap_or_default(),
            avoid: Vec::new(),
            software: None,
        };
        let mut last_error = owner_changed(&call.group);
        for _ in 0..MAX_ATTEMPTS {
            match self.attempt(&mut run, tx).await {
                Attempt::Done => return Ok(()),
                Attempt::Failed(error) => return Err(run.classify(error)),
                Attempt::Retry(error) => last_error = error,
            }
            self.cx.metrics.retries().inc();
        }
        Err(run.classify(last_error))
    }

    async fn attempt(
        self: &Arc<Self>,
        run: &mut CompletionRun<'_>,
        tx: &mpsc::Sender<Frame>,
    ) -> Attempt {
        let group = match self.owned_for_send(&run.call.group) {
            Ok(group) => group,
            Err(error) => return Attempt::Failed(error),
        };
        let lease = loop {
            let request = match self.completion_admission(run) {
                Ok(request) => request,
                Err(error) => return Attempt::Failed(error),
            };
            let was_suspect = request.is_suspect;
            let admitted = tokio::select! {
                admitted = group.scheduler.admit(request) => admitted,
                () = tx.closed() => return Attempt::Done,
            };
            let lease = match admitted {
                Ok(lease) => lease,
                Err(error) => return Attempt::Failed(error),
            };
            // A duplicate of the request may have crashed a target while this one was queued.
            let is_suspect =
                self.cx.view.read(|state| state.suspect_crashes(&run.identity.request) > 0);
            if was_suspect || !is_suspect {
                break lease;
            }
            lease.finish(Finish::Cancelled);
        };
        self.record_waits(&run.call.subscriber, &lease);
        let permitted = run.permitted_part.take();
        let allowed = self
            .check_owned(&group)
            .and_then(|()| self.check_quarantine(&run.identity.request))
            .and_then(|()| {
                self.check_parts(&group.crashes, &run.identity.parts, permitted.as_ref())
            });
        if let Err(error) = allowed {
            lease.finish(Finish::Cancelled);
            return Attempt::Failed(error);
        }
        self.generate(run, &group, lease, tx).await
    }

    /// Sends the request to the lease's target and relays the response.
    async fn generate(
        self: &Arc<Self>,
        run: &mut CompletionRun<'_>,
        group: &OwnedGroup,
        lease: Lease,
        tx: &mpsc::Sender<Frame>,
    ) -> Attempt {
        let request = run.request(&lease);
        let guard =
            group.crashes.enter(&self.cx, (&lease).into(), &request.request, run.identity.clone());
        lease.started();
        let is_direct = self.cx.links.status(lease.addr) == LinkStatus::Open;
        let sent =
            tokio::time::timeout_at(run.deadline, self.cx.engine.generate(lease.addr, &request));
        let mut stream = match sent.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return self.call_failed(run, group, lease, guard, error).await,
            Err(_) => {
                run.may_have_run = true;
                lease.finish(Finish::Cancelled);
                return Attempt::Failed(deadline_passed());
            }
        };
        loop {
            let event = tokio::select! {
                event = tokio::time::timeout_at(run.deadline, stream.next()) => event,
                () = self.cx.links.lost(lease.addr), if is_direct => {
                    let error = StreamError::Incomplete {
                        delivered_tokens: run.offset,
                        reason: "the link to the target was lost".to_owned(),
                    };
                    return self.stream_failed(run, group, lease, guard, &error).await;
                }
                () = tx.closed() => {
                    lease.finish(Finish::Cancelled);
                    return Attempt::Done;
                }
            };
            match event {
                Ok(Some(Ok(EngineEvent::Chunk(chunk)))) => {
                    run.record_chunk(&chunk);
                    run.software.clone_from(&lease.software);
                    lease.tokens(chunk.tokens);
                    // A closed channel is handled by the `select!` above.
                    let _ = tx.send(Frame::Chunk(chunk)).await;
                }
                Ok(Some(Ok(EngineEvent::End(end)))) => {
                    guard.complete(None);
                    self.complete_parts(&group.crashes, &guard);
                    lease.finish(answered(&end));
                    let _ = tx.send(Frame::End(end)).await;
                    return Attempt::Done;
                }
                Ok(Some(Err(error))) => {
                    return self.stream_failed(run, group, lease, guard, &error).await;
                }
                Ok(None) => {
                    let error = StreamError::Incomplete {
                        delivered_tokens: run.offset,
                        reason: "the stream ended without an end event".to_owned(),
                    };
                    return self.stream_failed(run, group, lease, guard, &error).await;
                }
                Err(_) => {
                    run.may_have_run = true;
                    lease.finish(Finish::Cancelled);
                    return Attempt::Failed(deadline_passed());
                }
            }
        }
    }

    async fn call_failed(
        &self,
        run: &mut CompletionRun<'_>,
        group: &OwnedGroup,
        lease: Lease,
        guard: RunningGuard,
        error: CallError,
    ) -> Attempt {
        run.avoid.push(lease.target.clone());
        let failure = RequestError::not_run(
            RequestErrorKind::TargetFailed,
            format!("target {}: {error}", lease.target),
        );
        match error {
            CallError::NotSent { .. } => {
                guard.end();
                self.cx.finish_failed(lease);
                Attempt::Retry(failure)
            }
            CallError::Refused { .. } => {
                guard.end();
                lease.finish(Finish::Refused);
                Attempt::Retry(failure)
            }
            CallError::Lost { .. } => {
                event!(self.cx.log, TARGET_RESPONSE_LOST; "request" => %run.call.request.request,
                    "target" => %lease.target, "error" => %error);
                self.connection_lost(run, group, lease, guard, failure).await
            }
        }
    }

    async fn stream_failed(
        &self,
        run: &mut CompletionRun<'_>,
        group: &OwnedGroup,
        lease: Lease,
        guard: RunningGuard,
        error: &StreamError,
    ) -> Attempt {
        event!(self.cx.log, RESPONSE_INTERRUPTED;
            "request" => %run.call.request.request, "target" => %lease.target, "error" => %error);
        run.avoid.push(lease.target.clone());
        let detail = format!("response of target {}: {error}", lease.target);
        let failure = RequestError::unknown(RequestErrorKind::TargetFailed, detail);
        self.connection_lost(run, group, lease, guard, failure).await
    }

    /// Checks whether the target crashed after its connection was lost, and decides whether to
    /// retry.
    async fn connection_lost(
        &self,
        run: &mut CompletionRun<'_>,
        group: &OwnedGroup,
        lease: Lease,
        guard: RunningGuard,
        failure: RequestError,
    ) -> Attempt {
        run.may_have_run = true;
        let status = group.crashes.check(&self.cx, &guard).await;
        match status {
            CrashStatus::Alive => self.cx.finish_failed(lease),
            CrashStatus::Crashed | CrashStatus::NotRecorded => lease.finish(Finish::TargetCrashed),
        }
        let is_quarantined = self.cx.view.read(|state| state.is_quarantined(&run.identity.request));
        match status {
            CrashStatus::NotRecorded => Attempt::Failed(failure),
            CrashStatus::Crashed if is_quarantined => Attempt::Failed(RequestError::unknown(
                RequestErrorKind::Quarantined,
                format!("request {} crashed two targets and is quarantined", run.identity.request),
            )),
            CrashStatus::Alive | CrashStatus::Crashed => Attempt::Retry(failure),
        }
    }

    /// Describes the request to the scheduler; the subscriber's weight and limits and the path of
    /// the adapter's weights come from the manifest.
    fn completion_admission(
        &self,
        run: &CompletionRun<'_>,
    ) -> Result<AdmissionRequest, RequestError> {
        let request = &run.call.request;
        let (found, is_suspect) = self.cx.view.read(|state| {
            let found = state.manifest().and_then(|manifest| {
                let adapter = manifest.adapters.get(&request.adapter.adapter)?;
                let source = adapter.versions.get(&request.adapter.version)?;
                let subscriber = manifest.subscribers.get(&run.call.subscriber)?;
                Some((source.path.clone(), subscriber.weight, subscriber.limits.clone()))
            });
            (found, state.suspect_crashes(&run.identity.request) > 0)
        });
        let Some((source, weight, limits)) = found else {
            let detail = format!(
                "adapter {} or subscriber {} is not in the owner's manifest yet; retry later",
                request.adapter, run.call.subscriber
            );
            return Err(RequestError::not_run(RequestErrorKind::NotReady, detail));
        };
        Ok(AdmissionRequest {
            request: request.request.clone(),
            subscriber: run.call.subscriber.clone(),
            weight,
            fingerprint: run.identity.request,
            kind: RequestKind::Completion {
                adapter: request.adapter.clone(),
                source,
                prompt_tokens: estimate_tokens(&request.prompt),
                max_tokens: u64::from(request.max_tokens),
                prompt_prefix_hashes: prefix_hashes(&request.adapter, &request.prompt)
                    .into_iter()
                    .map(|hash| hash.0)
                    .collect(),
            },
            deadline: run.deadline,
            is_suspect,
            avoid: run.avoid.clone(),
            software: run.software.clone(),
            max_concurrent: limits.max_concurrent_requests,
            urgency: Urgency::default(),
            objective: None,
            spread: 1,
        })
    }
}

impl CompletionRun<'_> {
    /// Builds the engine request, which resumes where an earlier attempt was interrupted.
    fn request(&self, lease: &Lease) -> CompletionRequest {
        let left = self.deadline.saturating_duration_since(Instant::now());
        CompletionRequest {
            priority: lease.priority,
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            resume: (self.offset > 0)
                .then(|| Resume { offset: self.offset, text: self.text.clone() }),
            ..self.call.request.clone()
        }
    }

    fn record_chunk(&mut self, chunk: &Chunk) {
        self.may_have_run = true;
        self.offset += chunk.tokens;
        self.text.push_str(&chunk.text);
    }

    /// Sets the outcome of an error to `Unknown` if any target may have run the request.
    fn classify(&self, error: RequestError) -> RequestError {
        match self.may_have_run {
            true => RequestError { outcome: Outcome::Unknown, ..error },
            false => error,
        }
    }
}

fn answered(end: &End) -> Finish {
    Finish::Answered {
        prompt_tokens: end.usage.prompt_tokens.0,
        completion_tokens: end.usage.completion_tokens.0,
    }
}

fn estimate_tokens(prompt: &str) -> u64 {
    (prompt.len() as u64).div_ceil(BYTES_PER_TOKEN)
}

fn deadline_passed() -> RequestError {
    RequestError::unknown(
        RequestErrorKind::DeadlineExceeded,
        "the deadline passed while the request was running",
    )
}
