//! Limits on their requests that targets name in responses to this entry.
//!
//! Each request for a place carries what the entry last saw, so that the owner of the targets knows
//! it as soon as an entry does, and a new owner with the first request.

use std::{collections::HashMap, time::Duration};

use shallotdrum_engine::ObservedLimit;
use shallotdrum_types::{Incarnation, RequestRate, TargetId};
use tokio::time::Instant;

/// Time for which owners are told that a target no longer names a limit. Entries ask for places
/// more often while there is load that the limit could hold back.
const ENDED_TTL: Duration = Duration::from_secs(10);

/// Maximum length of a malformed limit in the log.
const MAX_LOGGED_BYTES: usize = 40;

/// A target process.
type Process = (TargetId, Incarnation);

/// Latest observation of each process that has named a limit.
#[derive(Debug, Default)]
pub(crate) struct TargetLimits {
    observations: HashMap<Process, Observation>,
    /// Latest malformed limit of each process.
    malformed: HashMap<Process, String>,
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    limit: Option<RequestRate>,
    at: Instant,
}

/// What a response changed.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum LimitChange {
    /// The target names another limit, or none.
    Named(Option<RequestRate>),
    /// The target named something else than a limit.
    Malformed(String),
}

impl TargetLimits {
    /// Records what a response says, to a request that was sent at `sent_at`. `is_limited` states
    /// whether the owner applied a limit at that time.
    pub(crate) fn record(
        &mut self,
        process: Process,
        is_limited: bool,
        sent_at: Instant,
        named: Option<Result<RequestRate, String>>,
    ) -> Option<LimitChange> {
        let at = Instant::now();
        let known = self.observations.get(&process).copied();
        let limit = match named {
            Some(Ok(limit)) => Some(limit),
            Some(Err(text)) => {
                let text: String = text.chars().take(MAX_LOGGED_BYTES).collect();
                let is_new = self.malformed.get(&process) != Some(&text);
                self.malformed.insert(process, text.clone());
                return is_new.then_some(LimitChange::Malformed(text));
            }
            None => {
                // A response from before the limit was named does not end it.
                let ends = match known {
                    Some(Observation { limit: Some(_), at }) => sent_at > at,
                    Some(Observation { limit: None, .. }) | None => is_limited,
                };
                if !ends {
                    return None;
                }
                None
            }
        };
        self.observations.insert(process, Observation { limit, at });
        (known.and_then(|known| known.limit) != limit).then_some(LimitChange::Named(limit))
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }

    /// Whether a process is known to name a limit.
    pub(crate) fn is_limited(&self, target: &TargetId, incarnation: Incarnation) -> bool {
        let observation = self.observations.get(&(target.clone(), incarnation));
        observation.is_some_and(|observation| observation.limit.is_some())
    }

    /// Observations of the targets for which `is_included` holds.
    pub(crate) fn observed(&self, is_included: impl Fn(&TargetId) -> bool) -> Vec<ObservedLimit> {
        let included = self.observations.iter().filter(|((target, _), _)| is_included(target));
        included
            .map(|((target, incarnation), observation)| ObservedLimit {
                target: target.clone(),
                incarnation: *incarnation,
                limit: observation.limit,
                age_ms: observation.at.elapsed().as_millis() as u64,
            })
            .collect()
    }

    /// Forgets processes that are not current, and limits that ended long ago.
    pub(crate) fn expire(&mut self, is_current: impl Fn(&Process) -> bool) {
        self.observations.retain(|process, observation| {
            let has_ended = observation.limit.is_none() && observation.at.elapsed() >= ENDED_TTL;
            !has_ended && is_current(process)
        });
        self.malformed.retain(|process, _| is_current(process));
    }
}
