//! Ledger of non-repeatable calls.
//!
//! Architecture Invariant: for each key, at most one attempt gets `BeginOutcome::Begun` until that
//! attempt abandons the call or the call expires after `LEDGER_LIFETIME_MS`.
//!
//! The result of a begun call is unknown once its session has ended. No other session may send the
//! call, so an answer that its session records later is correct and replaces the unknown result.
//! A recorded answer never changes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use shallotdrum_types::{ControlTimeMs, Fingerprint, LogIndex, RequestId, SessionId};

use crate::{BeginOutcome, CallKey, CommandError, RecordedAnswer};

/// Maximum number of calls in the ledger: 2.3 calls a second for 24 hours. Both organisations,
/// the registry and the cooperative, make far fewer.
pub const MAX_LEDGER_CALLS: usize = 200_000;
/// Maximum size of a recorded body; certificates and receipts are far smaller.
pub const MAX_RECORDED_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of the recorded headers of an answer; the usual limit of HTTP servers.
pub const MAX_RECORDED_HEADER_BYTES: usize = 8 * 1024;
/// Maximum size of all recorded answers, a quarter of an instance's 64 MB. Once it is reached,
/// only the status of an answer is recorded.
pub const MAX_RECORDED_BYTES: usize = 16 * 1024 * 1024;
/// Control time after which a call expires and its key may be reused.
pub const LEDGER_LIFETIME_MS: u64 = 24 * 60 * 60 * 1_000;

/// Call in the ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Hash of service, method, path and body.
    pub fingerprint: Fingerprint,
    /// Session that began the call.
    pub session: SessionId,
    /// Attempt that began the call.
    pub attempt: RequestId,
    /// Control time at which the call was begun.
    pub begun_at: ControlTimeMs,
    /// Log index of `BeginCall`.
    pub begun_index: LogIndex,
    /// Result reported by the session.
    pub result: CallResult,
}

/// Result that the session reported for its call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallResult {
    /// None so far; the result counts as unknown if the session has ended.
    Pending,
    /// The service has answered.
    Answered(RecordedAnswer),
    /// The session reported that the result is unknown.
    Unknown,
}

/// Non-repeatable calls by key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "LedgerSnapshot", into = "LedgerSnapshot")]
pub(crate) struct Ledger {
    now: ControlTimeMs,
    calls: BTreeMap<CallKey, Call>,
    /// Keys by the log index of their `BeginCall`, so oldest first.
    order: BTreeMap<LogIndex, CallKey>,
    /// Total size of all recorded answers.
    recorded_bytes: usize,
}

/// Serialised form of the ledger. `calls` is a list because JSON objects cannot have compound keys;
/// the other fields of `Ledger` are derived from it.
#[derive(Serialize, Deserialize)]
struct LedgerSnapshot {
    now: ControlTimeMs,
    calls: Vec<(CallKey, Call)>,
}

impl From<Ledger> for LedgerSnapshot {
    fn from(ledger: Ledger) -> Self {
        Self { now: ledger.now, calls: ledger.calls.into_iter().collect() }
    }
}

impl From<LedgerSnapshot> for Ledger {
    fn from(saved: LedgerSnapshot) -> Self {
        let order = saved.calls.iter().map(|(key, call)| (call.begun_index, key.clone())).collect();
        let recorded_bytes = saved.calls.iter().map(|(_, call)| call.recorded_bytes()).sum();
        Self { now: saved.now, calls: saved.calls.into_iter().collect(), order, recorded_bytes }
    }
}

impl Call {
    fn recorded_bytes(&self) -> usize {
        match &self.result {
            CallResult::Answered(answer) => answer_bytes(answer),
            CallResult::Pending | CallResult::Unknown => 0,
        }
    }
}

impl Ledger {
    pub(crate) fn now(&self) -> ControlTimeMs {
        self.now
    }

    pub(crate) fn get(&self, key: &CallKey) -> Option<&Call> {
        self.calls.get(key)
    }

    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Advances control time and removes expired calls.
    pub(crate) fn advance(&mut self, at: ControlTimeMs) {
        self.now = self.now.max(at);
        while let Some((index, key)) = self.order.first_key_value()
            && self
                .calls
                .get(key)
                .is_none_or(|call| self.now.0.saturating_sub(call.begun_at.0) >= LEDGER_LIFETIME_MS)
        {
            let (index, key) = (*index, key.clone());
            self.order.remove(&index);
            self.remove(&key);
        }
    }

    pub(crate) fn begin(
        &mut self,
        index: LogIndex,
        key: CallKey,
        fingerprint: Fingerprint,
        (session, attempt): (SessionId, RequestId),
        is_live: impl Fn(SessionId) -> bool,
    ) -> Result<BeginOutcome, CommandError> {
        if let Some(call) = self.calls.get(&key) {
            return Ok(match &call.result {
                _ if call.fingerprint != fingerprint => BeginOutcome::KeyReused,
                CallResult::Answered(answer) => BeginOutcome::Answered(answer.clone()),
                CallResult::Pending if !is_live(call.session) => BeginOutcome::Unknown,
                // The attempt resends the command because the first reply was lost, so it has not
                // sent the call yet.
                CallResult::Pending if (call.session, &call.attempt) == (session, &attempt) => {
                    BeginOutcome::Begun
                }
                CallResult::Pending => BeginOutcome::InProgress,
                CallResult::Unknown => BeginOutcome::Unknown,
            });
        }
        if !is_live(session) {
            return Err(CommandError::NoSession(session));
        }
        if self.calls.len() >= MAX_LEDGER_CALLS {
            return Err(CommandError::LedgerFull);
        }
        let call = Call {
            fingerprint,
            session,
            attempt,
            begun_at: self.now,
            begun_index: index,
            result: CallResult::Pending,
        };
        self.order.insert(index, key.clone());
        self.calls.insert(key, call);
        Ok(BeginOutcome::Begun)
    }

    pub(crate) fn finish(
        &mut self,
        key: &CallKey,
        session: SessionId,
        answer: Option<RecordedAnswer>,
    ) -> Result<(), CommandError> {
        let available = MAX_RECORDED_BYTES.saturating_sub(self.recorded_bytes);
        let call = self.calls.get_mut(key).filter(|call| call.session == session);
        let call = call.ok_or(CommandError::NoCall)?;
        let answer = answer.map(drop_oversized_parts);
        let result = match (&call.result, answer) {
            // A resent command. The recorded answer may lack its body, so only the status is
            // compared.
            (CallResult::Answered(first), Some(answer)) if first.status == answer.status => {
                return Ok(());
            }
            (CallResult::Answered(_), _) => return Err(CommandError::CallFinished),
            (_, Some(answer)) => CallResult::Answered(reduce_to_fit(answer, available)),
            (_, None) => CallResult::Unknown,
        };
        call.result = result;
        self.recorded_bytes += call.recorded_bytes();
        Ok(())
    }

    pub(crate) fn abandon(
        &mut self,
        key: &CallKey,
        session: SessionId,
        attempt: &RequestId,
    ) -> Result<(), CommandError> {
        let is_begun_by = |call: &&Call| (call.session, &call.attempt) == (session, attempt);
        let call = self.calls.get(key).filter(is_begun_by);
        match call.ok_or(CommandError::NoCall)? {
            Call { result: CallResult::Pending, begun_index, .. } => {
                self.order.remove(&begun_index.clone());
                self.remove(key);
                Ok(())
            }
            _ => Err(CommandError::CallFinished),
        }
    }

    fn remove(&mut self, key: &CallKey) {
        let Some(call) = self.calls.remove(key) else { return };
        self.recorded_bytes = self.recorded_bytes.saturating_sub(call.recorded_bytes());
    }
}

fn answer_bytes(answer: &RecordedAnswer) -> usize {
    let headers: usize = answer.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
    headers + answer.body.as_ref().map_or(0, Vec::len)
}

/// Drops the headers and the body of an answer that exceed their size limits.
fn drop_oversized_parts(mut answer: RecordedAnswer) -> RecordedAnswer {
    let mut bytes = 0;
    answer.headers.retain(|(name, value)| {
        bytes += name.len() + value.len();
        bytes <= MAX_RECORDED_HEADER_BYTES
    });
    answer.body = answer.body.filter(|body| body.len() <= MAX_RECORDED_BODY_BYTES);
    answer
}

/// Drops everything but the status if the answer is larger than the available space.
fn reduce_to_fit(answer: RecordedAnswer, available: usize) -> RecordedAnswer {
    match answer_bytes(&answer) <= available {
        true => answer,
        false => RecordedAnswer { status: answer.status, headers: Vec::new(), body: None },
    }
}
