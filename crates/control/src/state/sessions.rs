//! Sessions of instances, and the instances that operators drain.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use shallotdrum_types::{ControlTimeMs, InstanceId, SessionId};

use crate::{CommandError, InstanceInfo};

/// Live session of a started instance; ended sessions are not stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Session {
    /// Never reused.
    pub id: SessionId,
    /// Instance that opened the session.
    pub info: InstanceInfo,
    /// Control time at which the session was opened.
    pub opened_at: ControlTimeMs,
    /// Set by `Command::DrainSession`, when the process shuts down.
    pub draining: bool,
    /// Whether the instance has lost its links to most targets, so that others should own groups.
    #[serde(default)]
    pub is_cut_off: bool,
}

/// Result of opening a session.
pub(crate) struct OpenedSession {
    pub(crate) session: SessionId,
    /// Previous session of the same instance, which was ended.
    pub(crate) ended: Option<SessionId>,
}

/// Live sessions and drained instances.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Sessions {
    /// Id of the session that was opened last.
    last: SessionId,
    live: BTreeMap<SessionId, Session>,
    /// Instances that operators drain; an entry stays when the session ends.
    drained: BTreeSet<InstanceId>,
}

impl Sessions {
    pub(crate) fn get(&self, id: SessionId) -> Option<&Session> {
        self.live.get(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Session> {
        self.live.values()
    }

    /// Whether any session has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.last.0 != self.live.len() as u64
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
    ) -> Result<OpenedSession, CommandError> {
        let earlier = self.live.values().find(|s| s.info.instance == info.instance);
        let ended = match earlier {
            Some(earlier) if earlier.info == info => {
                return Ok(OpenedSession { session: earlier.id, ended: None });
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
        let session =
            Session { id: self.last, info, opened_at: now, draining: false, is_cut_off: false };
        self.live.insert(self.last, session);
        Ok(OpenedSession { session: self.last, ended })
    }

    pub(crate) fn end(&mut self, id: SessionId) -> Result<(), CommandError> {
        self.live.remove(&id).map(drop).ok_or(CommandError::NoSession(id))
    }

    pub(crate) fn drain_session(&mut self, id: SessionId) -> Result<(), CommandError> {
        let session = self.live.get_mut(&id).ok_or(CommandError::NoSession(id))?;
        session.draining = true;
        Ok(())
    }

    pub(crate) fn set_cut_off(
        &mut self,
        id: SessionId,
        is_cut_off: bool,
    ) -> Result<(), CommandError> {
        let session = self.live.get_mut(&id).ok_or(CommandError::NoSession(id))?;
        session.is_cut_off = is_cut_off;
        Ok(())
    }

    /// Starts or stops draining an instance. Starting requires a live session; stopping also
    /// works for a drained instance without one.
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
