//! Formats of the control log, so that instances of two releases can share it during an upgrade.
//!
//! An instance states the newest format that it reads with each renewal of its session, and not when it
//! opens the session: a leader of an earlier release would write the session without it. The leader
//! raises the format of the log once every replica and every live session can read a newer one, and
//! until then the commands that belong to it are not written. The state keeps the agreed format; it
//! never goes down.
//!
//! Architecture Invariant: a command whose `Command::format` exceeds the agreed format is never
//! appended to the log.

use shallotdrum_types::{ControlFormat, Incarnation};

use crate::Command;

/// Format of releases that do not state one.
pub const INITIAL_FORMAT: ControlFormat = ControlFormat(1);

/// Format from which all instances that own groups take reports of targets themselves.
pub const DIRECT_REPORTS_FORMAT: ControlFormat = ControlFormat(2);

/// Format from which the log decides about departures of targets that their sender does not know.
pub const UNKNOWN_DEPARTURES_FORMAT: ControlFormat = ControlFormat(3);

/// Format from which the log records departures of targets that are not registered.
pub const RECORDED_DEPARTURES_FORMAT: ControlFormat = ControlFormat(4);

/// Format from which route tables may have customers. Earlier releases would serve such a table without
/// checking keys.
pub const CUSTOMERS_FORMAT: ControlFormat = ControlFormat(5);

/// Newest format that this release reads and writes.
pub const NEWEST_FORMAT: ControlFormat = CUSTOMERS_FORMAT;

impl Command {
    /// Lowest format that includes this command.
    pub fn format(&self) -> ControlFormat {
        match self {
            Self::ReportLinks { .. } => ControlFormat(2),
            Self::RemoveTarget { incarnation: Incarnation(0), is_leaving: true, .. } => {
                UNKNOWN_DEPARTURES_FORMAT
            }
            Self::LeaveUnknown { .. } => RECORDED_DEPARTURES_FORMAT,
            Self::PutRoutes { table } if table.customers.is_some() => CUSTOMERS_FORMAT,
            Self::PatchRoutes { delta } if delta.has_customers() => CUSTOMERS_FORMAT,
            Self::RaiseFormat { format } => *format,
            _ => INITIAL_FORMAT,
        }
    }
}
