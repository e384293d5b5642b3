//! Target processes that asked in a response for no more requests.
//!
//! The owner of a group learns of a leaving target through the control log. The entry that received
//! the response acts on it at once, also while it is cut off from the control replicas.

use std::collections::HashSet;

use shallotdrum_types::{Incarnation, TargetId};

/// A target process.
pub(crate) type Process = (TargetId, Incarnation);

/// Processes to which this entry sends no requests.
#[derive(Debug, Default)]
pub(crate) struct WithheldTargets {
    leaving: HashSet<Process>,
}

impl WithheldTargets {
    /// Records that a process leaves; whether this is new.
    pub(crate) fn record_leaving(&mut self, process: Process) -> bool {
        self.leaving.insert(process)
    }

    /// Whether no requests are sent to a process.
    pub(crate) fn contains(&self, process: &Process) -> bool {
        self.leaving.contains(process)
    }

    /// All processes to which no requests are sent.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Process> {
        self.leaving.iter()
    }

    /// Forgets processes that are not current.
    pub(crate) fn expire(&mut self, is_current: impl Fn(&Process) -> bool) {
        self.leaving.retain(is_current);
    }
}
