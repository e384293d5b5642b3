//! Announcements of targets, taken by any instance and relayed to the owner.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use shallotdrum_control::{AnnouncedTarget, Command, ControlView, Proposal, Reply};
use shallotdrum_engine::{Announcement, CacheEvents};
use shallotdrum_owner::OwnerService;
use shallotdrum_rpc::{ControlClient, PeerApiClient, Peers, RpcError};
use shallotdrum_types::{Incarnation, RequestError, RequestErrorKind, SessionId, TargetId};

use crate::session::SessionKeeper;

/// Longest wait for an owner; targets want an acknowledgement within a second.
const TELL_TIMEOUT: Duration = Duration::from_millis(300);

/// Announcements of targets.
#[derive(Clone)]
pub(crate) struct Targets {
    pub(crate) view: ControlView,
    pub(crate) client: ControlClient,
    pub(crate) peers: Peers,
    pub(crate) owner: Arc<OwnerService>,
    pub(crate) session: Arc<SessionKeeper>,
}

/// Owner of a target's group.
enum Owner {
    None,
    This,
    Other(SocketAddr),
}

impl Targets {
    /// Registers a new or restarted target and relays its load to the owner.
    pub(crate) async fn announce(&self, announcement: Announcement) -> Result<(), RequestError> {
        let announced = announced_part(&announcement);
        let is_registered = self.view.read(|state| {
            state.target(&announcement.target).is_some_and(|t| t.announced == announced)
        });
        if !is_registered {
            self.propose(Command::RegisterTarget(announced)).await?;
        }
        match self.owner_of(&announcement.target) {
            Owner::None => Ok(()),
            Owner::This => {
                // Not owned any more: the next announcement goes to the new owner.
                let _ = self.owner.announce(&announcement);
                Ok(())
            }
            Owner::Other(addr) => {
                let relayed = match self.peers.get(addr) {
                    Ok(client) => client.target_announce(announcement).await.map_err(Into::into),
                    Err(error) => Err(error),
                };
                relayed.map_err(|e| not_relayed(&e))
            }
        }
    }

    /// Stops new work for a target that still answers what it has.
    pub(crate) async fn drain(&self, announcement: Announcement) -> Result<(), RequestError> {
        let announced = announced_part(&announcement);
        let Announcement { target, incarnation, .. } = announcement;
        self.tell_owner(&target, incarnation).await;
        let registered = self.view.read(|state| {
            let registered = state.target(&target)?;
            (registered.announced.incarnation == incarnation).then_some(registered.draining)
        });
        if registered.is_none() {
            self.propose(Command::RegisterTarget(announced)).await?;
        }
        if registered == Some(true) {
            return Ok(());
        }
        self.propose(Command::DrainTarget { target, drain: true }).await
    }

    /// Stops new work for a target, then removes it.
    pub(crate) async fn leave(
        &self,
        target: TargetId,
        incarnation: Incarnation,
    ) -> Result<(), RequestError> {
        self.tell_owner(&target, incarnation).await;
        self.propose(Command::RemoveTarget { target, incarnation, is_leaving: true }).await
    }

    /// Tells the owner at once that a target takes no new work.
    async fn tell_owner(&self, target: &TargetId, incarnation: Incarnation) {
        match self.owner_of(target) {
            Owner::None => {}
            Owner::This => {
                let _ = self.owner.leave(target, incarnation);
            }
            // If the owner can't be reached, the command that follows reaches it through the log.
            Owner::Other(addr) => {
                if let Ok(client) = self.peers.get(addr) {
                    let told = client.target_leave(target.clone(), incarnation);
                    let _ = tokio::time::timeout(TELL_TIMEOUT, told).await;
                }
            }
        }
    }

    /// Relays cache events to the owner; lost ones are made up for by later ones.
    pub(crate) async fn cache_events(&self, events: CacheEvents) -> Result<(), RequestError> {
        match self.owner_of(&events.target) {
            Owner::None => Ok(()),
            Owner::This => {
                let _ = self.owner.cache_events(&events);
                Ok(())
            }
            Owner::Other(addr) => {
                let relayed = match self.peers.get(addr) {
                    Ok(client) => client.target_cache_events(events).await.map_err(Into::into),
                    Err(error) => Err(error),
                };
                relayed.map_err(|e| not_relayed(&e))
            }
        }
    }

    fn owner_of(&self, target: &TargetId) -> Owner {
        let found: Option<(SessionId, SocketAddr)> = self.view.read(|state| {
            let group = state.group(&state.target(target)?.group)?;
            let session = state.session(group.owner?)?;
            Some((group.owner?, session.info.addrs.rpc))
        });
        match found {
            None => Owner::None,
            Some((session, _)) if Some(session) == self.session.current() => Owner::This,
            Some((_, addr)) => Owner::Other(addr),
        }
    }

    async fn propose(&self, command: Command) -> Result<(), RequestError> {
        match self.client.propose(Proposal::Command(command)).await {
            Ok(Reply::Refused(error)) => {
                Err(RequestError::not_run(RequestErrorKind::InvalidRequest, error))
            }
            Ok(_) => Ok(()),
            Err(error) => Err(RequestError::unknown(RequestErrorKind::NotReady, error)),
        }
    }
}

/// The part of an announcement that the control log keeps.
fn announced_part(announcement: &Announcement) -> AnnouncedTarget {
    AnnouncedTarget {
        target: announcement.target.clone(),
        incarnation: announcement.incarnation,
        addr: announcement.addr,
        pool: announcement.pool.clone(),
        region: announcement.region.clone(),
        zone: announcement.zone.clone(),
        kind: announcement.kind.clone(),
    }
}

fn not_relayed(error: &RpcError) -> RequestError {
    let detail = format!("cannot reach the owner of the target's group: {error}");
    RequestError::unknown(RequestErrorKind::NotReady, detail)
}
