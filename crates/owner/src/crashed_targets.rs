//! Targets whose crash the control log has recorded.
//!
//! A crashed process stays registered until its successor registers or its announcements are overdue.
//! Meanwhile its port refuses connections, and a request that is sent there uses up one of its few sends.
//! If all targets of a group have crashed, requests would use up all of them within some milliseconds,
//! although targets start again within seconds.
//!
//! A crash is detected by a refused connection, so the process may run after all. It is given requests
//! again once it announces itself late enough.

use std::time::Duration;

use shallotdrum_control::ControlState;
use shallotdrum_telemetry::event;
use shallotdrum_types::{Incarnation, TargetId};
use tokio::time::Instant;

use crate::{OwnerService, service::OwnedGroup};

/// Time after which an announcement shows that a process survived; earlier ones may have been sent before
/// the crash. Targets announce themselves every second.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(1);

/// What is known of a crash of a target process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum CrashHold {
    /// No crash is recorded.
    #[default]
    None,
    /// A crash was seen in the control log at this time, and no request is sent to the process.
    Since(Instant),
    /// The process has announced itself since then.
    Survived,
}

impl CrashHold {
    /// Records that the control log knows of a crash; returns whether the process is to be held now.
    fn hold(&mut self, now: Instant) -> bool {
        let is_new = *self == Self::None;
        if is_new {
            *self = Self::Since(now);
        }
        is_new
    }

    /// Records an announcement; returns whether the process is to get requests again.
    fn record_announcement(&mut self, now: Instant) -> bool {
        match *self {
            Self::Since(since) if now >= since + ANNOUNCEMENT_DELAY => {
                *self = Self::Survived;
                true
            }
            _ => false,
        }
    }
}

impl OwnerService {
    /// Holds requests back from the targets of a group whose crash is recorded.
    pub(crate) fn hold_crashed_targets(&self, group: &OwnedGroup) {
        let mut targets = group.targets();
        let now = Instant::now();
        let is_crashed = |state: &ControlState, id: &TargetId, incarnation: Incarnation| {
            state.is_crashed(&(id.clone(), incarnation))
        };
        let crashed: Vec<TargetId> = self.cx.view.read(|state| {
            let crashed = targets.iter().filter(|(id, t)| is_crashed(state, id, t.incarnation));
            crashed.map(|(id, _)| id.clone()).collect()
        });
        for id in crashed {
            let Some(health) = targets.get_mut(&id) else { continue };
            if health.crash.hold(now) {
                event!(self.cx.log, TARGET_HELD;
                    "target" => %id, "incarnation" => health.incarnation.0);
                group.scheduler.set_crashed(&id, true);
            }
        }
    }

    /// Lets a target have requests again if its announcement shows that it survived.
    pub(crate) fn release_survivor(&self, group: &OwnedGroup, id: &TargetId, hold: &mut CrashHold) {
        if hold.record_announcement(Instant::now()) {
            event!(self.cx.log, TARGET_SURVIVED; "target" => %id);
            group.scheduler.set_crashed(id, false);
        }
    }
}
