//! Target processes that asked in a response for no more requests.
//!
//! The owner of a group learns of a leaving target through the control log. The entry that received
//! the response acts on it at once, also while it is cut off from the control replicas. A pause
//! concerns only the entry that was refused.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use shallotdrum_types::{Incarnation, TargetId};
use tokio::time::Instant;

/// Longest pause that is kept: a target that asks for more is asked again after this time, in case
/// it recovered.
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// A target process.
pub(crate) type Process = (TargetId, Incarnation);

/// Processes to which this entry sends no requests.
#[derive(Debug, Default)]
pub(crate) struct WithheldTargets {
    leaving: HashSet<Process>,
    /// Ends of the pauses that processes asked for.
    paused: HashMap<Process, Instant>,
}

impl WithheldTargets {
    /// Records that a process leaves; whether this is new.
    pub(crate) fn record_leaving(&mut self, process: Process) -> bool {
        self.leaving.insert(process)
    }

    /// Records that a process asked for a pause; a later one replaces it.
    pub(crate) fn record_pause(&mut self, process: Process, pause: Duration) {
        self.paused.insert(process, Instant::now() + pause.min(MAX_PAUSE));
    }

    /// Whether no requests are sent to a process.
    pub(crate) fn contains(&self, process: &Process) -> bool {
        self.leaving.contains(process)
            || self.paused.get(process).is_some_and(|end| Instant::now() < *end)
    }

    /// All processes to which no requests are sent.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Process> {
        let now = Instant::now();
        let paused = self.paused.iter().filter(move |(_, end)| now < **end);
        self.leaving.iter().chain(paused.map(|(process, _)| process))
    }

    /// Time until the first pause ends.
    pub(crate) fn shortest_pause(&self) -> Option<Duration> {
        let now = Instant::now();
        let left = self.paused.values().filter_map(|end| end.checked_duration_since(now));
        left.filter(|left| !left.is_zero()).min()
    }

    /// Forgets processes that are not current, and pauses that have ended.
    pub(crate) fn expire(&mut self, is_current: impl Fn(&Process) -> bool) {
        let now = Instant::now();
        self.leaving.retain(&is_current);
        self.paused.retain(|process, end| now < *end && is_current(process));
    }
}
