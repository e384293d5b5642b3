//! What applying commands costs, by kind.

use std::{collections::BTreeMap, fmt, time::Duration};

/// Commands of one kind that were applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ApplyCost {
    /// Number of commands.
    pub commands: u64,
    /// Time that all of them took.
    pub total: Duration,
    /// Time that the slowest one took.
    pub slowest: Duration,
}

/// Commands that were applied, by kind; see `Command::kind`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ApplyCosts(BTreeMap<&'static str, ApplyCost>);

impl ApplyCosts {
    /// Counts a command.
    pub(crate) fn add(&mut self, kind: &'static str, time: Duration) {
        let cost = self.0.entry(kind).or_default();
        cost.commands += 1;
        cost.total += time;
        cost.slowest = cost.slowest.max(time);
    }

    /// Kinds of which commands were applied, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, ApplyCost)> {
        self.0.iter().map(|(kind, cost)| (*kind, *cost))
    }
}

impl fmt::Display for ApplyCosts {
    /// Number and total time of each kind, such as `patch-routes 3 (41 ms), report-crash 512 (968 ms)`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, (kind, cost)) in self.iter().enumerate() {
            let separator = if n == 0 { "" } else { ", " };
            write!(f, "{separator}{kind} {} ({} ms)", cost.commands, cost.total.as_millis())?;
        }
        Ok(())
    }
}
