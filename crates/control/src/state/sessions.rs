//! Sessions of instances.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use shallotdrum_types::{ControlTimeMs, InstanceId, SessionId};

use crate::{CommandError, InstanceInfo};

/// Session of a started instance; ended sessions are forgotten.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Session {
    /// Number of the session; never used again.
    pub id: SessionId,
    /// The instance.
    pub info: InstanceInfo,
    /// When the session was opened.
    pub opened_at: ControlTimeMs,
    /// Whether the process is stopping.
    pub draining: bool,
}

/// Result of opening a session.
pub(crate) struct Opened {
    pub(crate) session: SessionId,
    /// Session of the same instance that has ended by it.
    pub(crate) ended: Option<SessionId>,
}

/// Live sessions and drained instances.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Sessions {
    last: SessionId,
    live: BTreeMap<SessionId, Session>,
    drained: BTreeSet<InstanceId>,
}

impl Sessions {
    pub(crate) fn get(&self, id: SessionId) -> Option<&Session> {
        self.live.get(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Session> {
        self.live.values()
    }

    pub(crate) fn drained(&self) -> &BTreeSet<InstanceId> {
        &self.drained
    }

    pub(crate) fn is_draining(&self, session: &Session) -> bool {
        session.draining || self.drained.contains(&session.info.instance)
    }

    /// Opens a session; a resent command of the same process gets the same session.
    pub(crate) fn open(
        &mut self,
        info: InstanceInfo,
        now: ControlTimeMs,
    ) -> Result<Opened, CommandError> {
        let earlier = self.live.values().find(|s| s.info.instance == info.instance);
        let ended = match earlier {
            Some(earlier) if earlier.info == info => {
                return Ok(Opened { session: earlier.id, ended: None });
            }
            Some(earlier) if earlier.info.incarnation > info.incarnation => {
                return Err(CommandError::OldInstance {
                    instance: info.instance,
                    current: earlier.info.incarnation,
                });
            }
            Some(earlier) => Some(earlier.id),
            None => None,
        };
        if let Some(ended) = ended {
            self.live.remove(&ended);
        }
        self.last = self.last.next();
        let session = Session { id: self.last, info, opened_at: now, draining: false };
        self.live.insert(self.last, session);
        Ok(Opened { session: self.last, ended })
    }

    pub(crate) fn end(&mut self, id: SessionId) -> Result<(), CommandError> {
        self.live.remove(&id).map(drop).ok_or(CommandError::NoSession(id))
    }

    pub(crate) fn drain_session(&mut self, id: SessionId) -> Result<(), CommandError> {
        let session = self.live.get_mut(&id).ok_or(CommandError::NoSession(id))?;
        session.draining = true;
        Ok(())
    }

    /// Sets or clears the mark of an instance that has a session; a mark can always be cleared.
    pub(crate) fn drain_instance(
        &mut self,
        instance: InstanceId,
        drain: bool,
    ) -> Result<(), CommandError> {
        let is_live = self.live.values().any(|s| s.info.instance == instance);
        match drain {
            true if is_live => {
                self.drained.insert(instance);
            }
            false if is_live || self.drained.contains(&instance) => {
                self.drained.remove(&instance);
            }
            _ => return Err(CommandError::NoInstance(instance)),
        }
        Ok(())
    }
}
