//! Continuous batching: requests join and leave the batch between steps.

use bytes::Bytes;
use shallotdrum_engine::{
    Chunk, CompletionRequest, End, EngineEvent, FinishReason, PREFIX_BLOCK_BYTES, PrefixHash,
    Priority, Usage, prefix_hashes,
};
use shallotdrum_types::{AdapterRef, AdapterVersion, RequestId, Tokens};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};

use super::{Engine, EngineSettings, Shared, stats::RunEnd};
use crate::{
    clock::unix_ms,
    presence::lock,
    serve::CloseConnection,
    text::{TextModel, count_prompt_tokens},
};

/// Receiving side of an answer.
pub(super) type EventSender = mpsc::UnboundedSender<Result<Bytes, CloseConnection>>;

/// Requests that wait and requests that run.
#[derive(Default)]
pub(super) struct BatchState {
    pub(super) queue: Vec<Sequence>,
    pub(super) running: Vec<Sequence>,
}

/// One request and its progress.
pub(super) struct Sequence {
    request: RequestId,
    pub(super) adapter: AdapterRef,
    /// Adapter and version that the events name.
    reported: AdapterRef,
    model: TextModel,
    prompt_tokens: u64,
    prefixes: Vec<PrefixHash>,
    has_crash_marker: bool,
    priority: Priority,
    /// Tokens of the whole answer so far.
    offset: u64,
    max_tokens: u64,
    /// Tokens that this run has generated.
    generated: u64,
    /// Index into the run records.
    run: usize,
    tx: EventSender,
    /// Chunk that is sent after the next one.
    delayed: Option<Bytes>,
}

impl BatchState {
    /// Requests of an adapter that wait or run and are not cancelled.
    pub(super) fn count(&self, adapter: &AdapterRef) -> u32 {
        let all = self.queue.iter().chain(&self.running);
        let is_live = |s: &&Sequence| s.adapter == *adapter && !s.tx.is_closed();
        all.filter(is_live).count() as u32
    }

    /// Takes out the requests for which the condition holds.
    pub(super) fn take(&mut self, condition: impl Fn(&Sequence) -> bool) -> Vec<Sequence> {
        let mut taken: Vec<_> = self.queue.extract_if(.., |s| condition(s)).collect();
        taken.extend(self.running.extract_if(.., |s| condition(s)));
        taken
    }

    /// Ends the run of a request; false if there is none.
    pub(super) fn cancel(&mut self, request: &RequestId, shared: &Shared) -> bool {
        let taken = self.take(|sequence| sequence.request == *request);
        let is_found = !taken.is_empty();
        for sequence in taken {
            sequence.cut(shared, RunEnd::Cancelled);
        }
        is_found
    }
}

impl Sequence {
    pub(super) fn new(
        req: &CompletionRequest,
        run: usize,
        shared: &Shared,
        tx: EventSender,
    ) -> Self {
        let settings = shared.settings();
        let mut reported = req.adapter.clone();
        if shared.draw(settings.wrong_version) {
            reported.version = other_version(&reported.version);
        }
        Self {
            request: req.request.clone(),
            adapter: req.adapter.clone(),
            model: TextModel::new(&req.base_model, &reported, &req.prompt),
            reported,
            prompt_tokens: count_prompt_tokens(&req.prompt),
            prefixes: prefix_hashes(&req.adapter, &req.prompt),
            has_crash_marker: settings
                .crash_marker
                .is_some_and(|marker| req.prompt.contains(&marker)),
            priority: req.priority,
            offset: req.resume.as_ref().map_or(0, |resume| resume.offset),
            max_tokens: req.max_tokens.into(),
            generated: 0,
            run,
            tx,
            delayed: None,
        }
    }

    /// Closes the connection of the request.
    pub(super) fn cut(self, shared: &Shared, end: RunEnd) {
        let _ = self.tx.send(Err(CloseConnection));
        self.record_end(shared, end);
    }

    fn record_end(&self, shared: &Shared, end: RunEnd) {
        let run = &mut lock(&shared.stats).runs[self.run];
        run.tokens = self.generated;
        run.end.get_or_insert(end);
    }

    /// Generates the tokens of one step; returns how the run ended, if it did.
    fn step(&mut self, settings: &EngineSettings, shared: &Shared) -> Option<RunEnd> {
        if self.tx.is_closed() {
            return Some(RunEnd::Cancelled);
        }
        let tokens = settings.tokens_per_chunk.clamp(1, (self.max_tokens - self.offset).max(1));
        if self.offset < self.max_tokens {
            self.generate(tokens, settings, shared);
        }
        if self.offset >= self.max_tokens {
            self.finish();
            return Some(RunEnd::Finished);
        }
        let is_cut = settings.cut_after_tokens.is_some_and(|limit| self.generated >= limit)
            || shared.draw(settings.cut);
        is_cut.then_some(RunEnd::Cut)
    }

    fn generate(&mut self, tokens: u64, settings: &EngineSettings, shared: &Shared) {
        let chunk = Chunk {
            request: self.request.clone(),
            adapter: self.reported.clone(),
            offset: self.offset,
            tokens,
            text: (self.offset..self.offset + tokens).map(|at| self.model.token(at)).collect(),
        };
        self.offset += tokens;
        self.generated += tokens;
        if shared.draw(settings.foreign_chunk) {
            let request = format!("other-{}", self.run).parse();
            let request = request.unwrap_or_else(|_| self.request.clone());
            self.send(encode(&EngineEvent::Chunk(Chunk { request, ..chunk.clone() })));
        }
        let event = encode(&EngineEvent::Chunk(chunk));
        if shared.draw(settings.lose_chunk) {
            return;
        }
        if self.delayed.is_none() && shared.draw(settings.reorder_chunk) {
            self.delayed = Some(event);
            return;
        }
        if shared.draw(settings.duplicate_chunk) {
            self.send(event.clone());
        }
        self.send(event);
        if let Some(delayed) = self.delayed.take() {
            self.send(delayed);
        }
    }

    fn finish(&mut self) {
        let end = EngineEvent::End(End {
            request: self.request.clone(),
            adapter: self.reported.clone(),
            finish_reason: FinishReason::Length,
            usage: Usage {
                prompt_tokens: Tokens(self.prompt_tokens),
                completion_tokens: Tokens(self.offset),
            },
        });
        self.send(encode(&end));
        if let Some(delayed) = self.delayed.take() {
            self.send(delayed);
        }
    }

    fn send(&self, event: Bytes) {
        // A closed channel is noticed at the next step.
        let _ = self.tx.send(Ok(event));
    }
}

impl Engine {
    /// Runs batch steps for ever.
    pub(super) async fn run_batches(&self) {
        let mut step_end = Instant::now();
        loop {
            let settings = self.shared.settings();
            let prefill_tokens = self.admit();
            let batch = lock(&self.batch).running.len();
            if batch == 0 {
                self.work.notified().await;
                step_end = Instant::now();
                continue;
            }
            // Steps are counted from the end of the one before, so that timer delays don't add up.
            step_end = step_end.max(Instant::now() - settings.step_time(1, 0))
                + settings.step_time(batch, prefill_tokens);
            sleep_until(step_end).await;
            self.step(&settings, prefill_tokens);
        }
    }

    /// Moves waiting requests into the batch; returns the prompt tokens to process.
    fn admit(&self) -> u64 {
        let mut batch = lock(&self.batch);
        let mut prefill_tokens = 0;
        while batch.running.len() < self.shared.cfg.max_batch as usize {
            // The queue is in order of arrival, and the first of equal minima is taken.
            let next = (0..batch.queue.len()).min_by_key(|i| batch.queue[*i].priority);
            let Some(next) = next else { break };
            let sequence = batch.queue.remove(next);
            if sequence.tx.is_closed() {
                sequence.record_end(&self.shared, RunEnd::Cancelled);
                continue;
            }
            let mut stats = lock(&self.shared.stats);
            stats.runs[sequence.run].started_ms = Some(unix_ms());
            if sequence.has_crash_marker {
                stats.crashes += 1;
                drop(stats);
                self.shared.presence.crash();
                return 0;
            }
            let hits = lock(&self.cache).touch(&sequence.prefixes);
            let cached_tokens = count_prompt_tokens_in(hits).min(sequence.prompt_tokens);
            stats.cached_tokens += cached_tokens;
            prefill_tokens += sequence.prompt_tokens - cached_tokens;
            batch.running.push(sequence);
        }
        prefill_tokens
    }

    fn step(&self, settings: &EngineSettings, prefill_tokens: u64) {
        let mut batch = lock(&self.batch);
        let size = batch.running.len() as u64;
        let mut tokens = 0;
        for mut sequence in std::mem::take(&mut batch.running) {
            let before = sequence.generated;
            let end = sequence.step(settings, &self.shared);
            tokens += sequence.generated - before;
            match end {
                None => batch.running.push(sequence),
                Some(RunEnd::Cut) => sequence.cut(&self.shared, RunEnd::Cut),
                Some(end) => sequence.record_end(&self.shared, end),
            }
        }
        drop(batch);
        let mut stats = lock(&self.shared.stats);
        stats.steps += 1;
        stats.occupancy_sum += size;
        stats.tokens += tokens;
        stats.prefill_tokens += prefill_tokens;
    }
}

/// Prompt tokens in the given number of cached blocks.
fn count_prompt_tokens_in(blocks: usize) -> u64 {
    (blocks * PREFIX_BLOCK_BYTES / 4) as u64
}

fn other_version(version: &AdapterVersion) -> AdapterVersion {
    format!("{version}-x").parse().unwrap_or_else(|_| version.clone())
}

fn encode(event: &EngineEvent) -> Bytes {
    match serde_json::to_string(event) {
        Ok(json) => format!("data: {json}\n\n").into(),
        Err(_) => Bytes::new(),
    }
}
