//! Runs a forwarded model request: admission, generation, retry and resume.

use std::{sync::Arc, time::Duration};

use shallotdrum_engine::{
    CallError, Chunk, CompletionRequest, End, EngineEvent, Resume, StreamError, prefix_hashes,
};
use shallotdrum_scheduler::{Finish, Job, Lease, Work};
use shallotdrum_telemetry::event;
use shallotdrum_types::{Fingerprint, Outcome, RequestError, RequestErrorKind, TargetId};
use tokio::{sync::mpsc, time::Instant};

use crate::{
    CompletionCall, Frame, OwnerService,
    crash::{RunningGuard, Verdict},
    fingerprint::completion_fingerprint,
    service::{OwnedGroup, owner_changed},
};

/// Targets that one request may be sent to; more would spread a failure over the group.
const MAX_ATTEMPTS: usize = 4;

/// Characters of a token on average, for the estimate of prompt lengths before the engine counts.
const CHARS_PER_TOKEN: u64 = 4;

/// State of a request over all its attempts.
struct Run<'a> {
    call: &'a CompletionCall,
    fingerprint: Fingerprint,
    deadline: Instant,
    offset: u64,
    text: String,
    /// Whether a target may have run any part of the request since it was forwarded here.
    may_have_run: bool,
    avoid: Vec<TargetId>,
}

/// How one attempt ended.
enum Attempt {
    /// The whole answer was relayed, or no one waits for it any more.
    Done,
    /// Another target may take over.
    Retry(RequestError),
    /// The request has failed.
    Failed(RequestError),
}

impl OwnerService {
    /// Runs a model request and sends its frames; the last one is `End` or `Error`.
    pub async fn complete(self: Arc<Self>, call: CompletionCall, tx: mpsc::Sender<Frame>) {
        let _busy = self.enter();
        if let Err(error) = self.try_complete(&call, &tx).await {
            // A closed channel means that the caller is gone.
            let _ = tx.send(Frame::Error(error)).await;
        }
    }

    async fn try_complete(
        &self,
        call: &CompletionCall,
        tx: &mpsc::Sender<Frame>,
    ) -> Result<(), RequestError> {
        let resume = call.request.resume.clone();
        let mut run = Run {
            call,
            fingerprint: completion_fingerprint(&call.subscriber, &call.request),
            deadline: Instant::now() + Duration::from_millis(call.request.deadline_ms),
            offset: resume.as_ref().map_or(0, |resume| resume.offset),
            // Of this forward only; the entry knows that an earlier one ran.
            may_have_run: false,
            text: resume.map(|resume| resume.text).unwrap_or_default(),
            avoid: Vec::new(),
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

    async fn attempt(&self, run: &mut Run<'_>, tx: &mpsc::Sender<Frame>) -> Attempt {
        let group = match self.owned(&run.call.group) {
            Ok(group) => group,
            Err(error) => return Attempt::Failed(error),
        };
        let lease = loop {
            let work = match self.work(run) {
                Ok(work) => work,
                Err(error) => return Attempt::Failed(error),
            };
            let was_suspect = work.is_suspect;
            let admitted = tokio::select! {
                admitted = group.scheduler.admit(work) => admitted,
                () = tx.closed() => return Attempt::Done,
            };
            let lease = match admitted {
                Ok(lease) => lease,
                Err(error) => return Attempt::Failed(error),
            };
            // A copy of the request may have crashed a target since this one was queued.
            let is_suspect = self.cx.view.read(|state| state.suspect_crashes(&run.fingerprint) > 0);
            if was_suspect || !is_suspect {
                break lease;
            }
            lease.finish(Finish::Cancelled);
        };
        self.record_waits(&run.call.subscriber, &lease);
        let allowed =
            self.check_owned(&group).and_then(|()| self.check_quarantine(&run.fingerprint));
        if let Err(error) = allowed {
            lease.finish(Finish::Cancelled);
            return Attempt::Failed(error);
        }
        self.generate(run, &group, lease, tx).await
    }

    /// Sends the request to the lease's target and relays the answer.
    async fn generate(
        &self,
        run: &mut Run<'_>,
        group: &OwnedGroup,
        lease: Lease,
        tx: &mpsc::Sender<Frame>,
    ) -> Attempt {
        let request = run.request(&lease);
        let guard = group.crashes.enter(
            &lease.target,
            lease.incarnation,
            &request.request,
            run.fingerprint,
        );
        lease.started();
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
                () = tx.closed() => {
                    lease.finish(Finish::Cancelled);
                    return Attempt::Done;
                }
            };
            match event {
                Ok(Some(Ok(EngineEvent::Chunk(chunk)))) => {
                    run.relayed(&chunk);
                    lease.tokens(chunk.tokens);
                    // A closed channel is noticed by the select above.
                    let _ = tx.send(Frame::Chunk(chunk)).await;
                }
                Ok(Some(Ok(EngineEvent::End(end)))) => {
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
                        reason: "no end arrived".to_owned(),
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
        run: &mut Run<'_>,
        group: &OwnedGroup,
        lease: Lease,
        guard: RunningGuard<'_>,
        error: CallError,
    ) -> Attempt {
        run.avoid.push(lease.target.clone());
        let failure = RequestError::not_run(
            RequestErrorKind::TargetFailed,
            format!("target {}: {error}", lease.target),
        );
        match error {
            CallError::NotSent { .. } => {
                lease.finish(Finish::TargetFailed);
                Attempt::Retry(failure)
            }
            CallError::Refused { .. } => {
                lease.finish(Finish::Refused);
                Attempt::Retry(failure)
            }
            CallError::Lost { .. } => self.lost(run, group, lease, guard, failure).await,
        }
    }

    async fn stream_failed(
        &self,
        run: &mut Run<'_>,
        group: &OwnedGroup,
        lease: Lease,
        guard: RunningGuard<'_>,
        error: &StreamError,
    ) -> Attempt {
        event!(self.cx.log, ANSWER_BROKEN;
            "request" => %run.call.request.request, "target" => %lease.target, "error" => %error);
        run.avoid.push(lease.target.clone());
        let detail = format!("answer of target {}: {error}", lease.target);
        let failure = RequestError::unknown(RequestErrorKind::TargetFailed, detail);
        self.lost(run, group, lease, guard, failure).await
    }

    /// Decides about a request whose target may have crashed.
    async fn lost(
        &self,
        run: &mut Run<'_>,
        group: &OwnedGroup,
        lease: Lease,
        guard: RunningGuard<'_>,
        failure: RequestError,
    ) -> Attempt {
        run.may_have_run = true;
        let verdict = group.crashes.investigate(&self.cx, &guard, lease.addr).await;
        match verdict {
            Verdict::Alive => lease.finish(Finish::TargetFailed),
            Verdict::Crashed | Verdict::NotRecorded => lease.finish(Finish::TargetCrashed),
        }
        let is_quarantined = self.cx.view.read(|state| state.is_quarantined(&run.fingerprint));
        match verdict {
            Verdict::NotRecorded => Attempt::Failed(failure),
            Verdict::Crashed if is_quarantined => Attempt::Failed(RequestError::unknown(
                RequestErrorKind::Quarantined,
                format!(
                    "request {} crashed two targets and is refused from now on",
                    run.fingerprint
                ),
            )),
            Verdict::Alive | Verdict::Crashed => Attempt::Retry(failure),
        }
    }

    /// Describes the request to the scheduler, with what the manifest says of it.
    fn work(&self, run: &Run<'_>) -> Result<Work, RequestError> {
        let request = &run.call.request;
        let (found, is_suspect) = self.cx.view.read(|state| {
            let found = state.manifest().and_then(|manifest| {
                let adapter = manifest.adapters.get(&request.adapter.adapter)?;
                let source = adapter.versions.get(&request.adapter.version)?;
                let subscriber = manifest.subscribers.get(&run.call.subscriber)?;
                Some((source.path.clone(), subscriber.weight, subscriber.limits.clone()))
            });
            (found, state.suspect_crashes(&run.fingerprint) > 0)
        });
        let Some((source, weight, limits)) = found else {
            let detail = format!(
                "adapter {} or subscriber {} is not in the owner's manifest; try again",
                request.adapter, run.call.subscriber
            );
            return Err(RequestError::not_run(RequestErrorKind::NotReady, detail));
        };
        Ok(Work {
            request: request.request.clone(),
            subscriber: run.call.subscriber.clone(),
            weight,
            fingerprint: run.fingerprint,
            job: Job::Completion {
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
            max_concurrent: limits.max_concurrent_requests,
        })
    }
}

impl Run<'_> {
    /// Request for the engine, which goes on where an earlier attempt broke off.
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

    fn relayed(&mut self, chunk: &Chunk) {
        self.may_have_run = true;
        self.offset += chunk.tokens;
        self.text.push_str(&chunk.text);
    }

    /// Marks an error as unknown once any target may have run the request.
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
    (prompt.len() as u64).div_ceil(CHARS_PER_TOKEN)
}

fn deadline_passed() -> RequestError {
    RequestError::unknown(RequestErrorKind::DeadlineExceeded, "the deadline passed while running")
}
